//! The gateway on connections: carries events to the one [`hingestage_policy::Gatekeeper`] and its actions out.

pub mod admin;
mod ask;
mod changes;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod gateway;
mod lane;
pub mod relay_dialect;
pub mod server;
pub mod sites;
pub mod srv;
mod subsystems;
pub mod turns;

pub use hingestage_dataplane::driver;
use hingestage_platform::Platform;
use std::time::Duration;

/// A plain decimal number above 0, and nothing else: a sign, an exponent or a word is no amount of anything.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && *n > 0.0)
}

/// Waits between tries at a peer that may be down: doubling, so that it is neither flooded nor missed.
pub struct Backoff(Duration);

impl Backoff {
    const FIRST: Duration = Duration::from_millis(50);
    const LONGEST: Duration = Duration::from_secs(1);

    /// Starts with the shortest wait.
    pub fn new() -> Self {
        Backoff(Self::FIRST)
    }

    /// Waits, the longer the more often in a row.
    pub async fn wait(&mut self, platform: &impl Platform) {
        platform.sleep(self.0).await;
        self.0 = (self.0 * 2).min(Self::LONGEST);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff::new()
    }
}
