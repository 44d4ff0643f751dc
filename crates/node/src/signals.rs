//! Signals that the platform sends.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signals that a program reacts to.
pub struct Signals {
    /// The process is to end in order.
    pub terminate: Signal,
    /// The settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Listens for them from now on.
    ///
    /// # Errors
    /// The system refuses.
    pub fn listen() -> io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }
}
