//! How recent the news is that a process has.

use crate::Micros;

/// The latest moment at which nothing newer than what a process has can have been acknowledged anywhere.
///
/// It is kept on the process's own steady clock, which begins at zero with the process; the moment may lie before
/// that, where what was told to a process that has just started was old already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    moment: Option<i64>,
}

impl Freshness {
    /// Takes in news that was `age` old when it was told, asked for at `asked_at`. Older news takes nothing back.
    pub fn note(&mut self, asked_at: Micros, age: Micros) {
        let moment = signed(asked_at).saturating_sub(signed(age));
        self.moment = self.moment.max(Some(moment));
    }

    /// The moment on the process's own clock, microseconds; below zero where it lies before the start.
    pub fn moment(&self) -> Option<i64> {
        self.moment
    }

    /// How old the news is; none where there is none.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        let age = signed(now).saturating_sub(self.moment?);
        Some(u64::try_from(age).unwrap_or_default())
    }

    /// When a lease that counts from the moment is over: at zero where there is no news, or it was over already when
    /// the process started.
    pub fn lease_until(&self, lease: Micros) -> Micros {
        let until = self.moment.map_or(0, |moment| moment.saturating_add(signed(lease)));
        u64::try_from(until).unwrap_or_default()
    }
}

/// A moment or span as a number that can lie before a process's start.
pub fn signed(micros: Micros) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
