//! Tracks how recent a process's replicated data is.

use crate::Micros;

/// The latest moment up to which a process has everything that was acknowledged anywhere.
///
/// Measured on the process's monotonic clock, which starts at zero. The moment is negative if it lies before the
/// start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    moment: Option<i64>,
}

impl Freshness {
    /// Records an answer to a request sent at `asked_at` whose data was `age` old. The moment never moves back.
    pub fn observe(&mut self, asked_at: Micros, age: Micros) {
        let moment = signed(asked_at).saturating_sub(signed(age));
        self.moment = self.moment.max(Some(moment));
    }

    /// The moment on the process's clock, in microseconds; negative before the start, `None` without any data.
    pub fn moment(&self) -> Option<i64> {
        self.moment
    }

    /// Age of the data; `None` without any data.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        let age = signed(now).saturating_sub(self.moment?);
        Some(u64::try_from(age).unwrap_or_default())
    }

    /// When a lease counted from the moment expires; zero without any data, or if it expired before the process
    /// started.
    pub fn lease_expires_at(&self, lease: Micros) -> Micros {
        let until = self.moment.map_or(0, |moment| moment.saturating_add(signed(lease)));
        u64::try_from(until).unwrap_or_default()
    }
}

/// Converts a time to a signed number, so that moments before the process's start can be expressed.
pub fn signed(micros: Micros) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
