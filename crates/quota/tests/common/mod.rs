//! A grantor of shares that keeps the valid shares at one or less in total.

use hingestage_quota::{EvenShare, Micros};

/// Floating-point tolerance of sums.
pub const ROUNDING: f64 = 1e-6;

/// Parts granted to gateways, including those that a restarted gateway no longer knows.
pub struct Grants(pub Vec<EvenShare>);

impl Grants {
    /// No grants.
    pub fn none(gateways: usize) -> Grants {
        Grants(vec![EvenShare::NONE; gateways])
    }

    /// Replaces a gateway's share, if the total stays at one or less. Returns whether it was granted.
    pub fn grant(&mut self, now: Micros, gateway: usize, part: EvenShare) -> bool {
        let others = self.0.iter().enumerate().filter(|(other, _)| *other != gateway);
        let taken: f64 = others.map(|(_, other)| other.share(now)).sum();
        let fits = taken + part.share(now) <= 1.0 + ROUNDING / 100.0;
        if fits {
            self.0[gateway] = part;
        }
        fits
    }
}
