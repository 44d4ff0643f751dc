//! Leases granted as whoever grants parts has to: the shares that are valid come to at most one.

use hingestage_quota::{Micros, Part};

/// What sums of floating-point numbers may be off by.
pub const ROUNDING: f64 = 1e-6;

/// The parts that gateways hold, whether they remember them or not.
pub struct Grants(pub Vec<Part>);

impl Grants {
    /// No gateway holds anything.
    pub fn none(gateways: usize) -> Grants {
        Grants(vec![Part::NONE; gateways])
    }

    /// Grants a part in place of the former one, where the others leave room for it.
    pub fn grant(&mut self, now: Micros, gateway: usize, part: Part) -> bool {
        let others = self.0.iter().enumerate().filter(|(other, _)| *other != gateway);
        let taken: f64 = others.map(|(_, other)| other.share(now)).sum();
        let room = taken + part.share(now) <= 1.0 + ROUNDING / 100.0;
        if room {
            self.0[gateway] = part;
        }
        room
    }
}
