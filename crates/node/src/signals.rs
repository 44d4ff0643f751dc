//! Process signals.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signals that a program handles.
pub struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGHUP: the settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// The handlers can't be installed.
    pub fn listen() -> io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }
}
