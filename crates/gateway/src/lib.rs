//! The gateway process: connects clients, workers, the counter and other gateways to the decision code in
//! [`hingestage_policy::Gatekeeper`].

pub mod admin;
mod admin_client;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod gateway;
mod peer_connections;
mod policy_follower;
pub mod relay_dialect;
pub mod server;
pub mod sites;
pub mod srv;
mod subsystems;
pub mod turns;

pub use hingestage_dataplane::driver;
use hingestage_platform::Platform;
use std::time::Duration;

/// Parses a positive plain decimal number, without sign or exponent.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && *n > 0.0)
}

/// Exponential backoff between attempts to reach a peer.
pub struct Backoff(Duration);

impl Backoff {
    const MIN: Duration = Duration::from_millis(50);
    const MAX: Duration = Duration::from_secs(1);

    /// Starts with the shortest delay.
    pub fn new() -> Self {
        Backoff(Self::MIN)
    }

    /// Waits for the current delay, and doubles it up to the maximum.
    pub async fn wait(&mut self, platform: &impl Platform) {
        platform.sleep(self.0).await;
        self.0 = (self.0 * 2).min(Self::MAX);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff::new()
    }
}
