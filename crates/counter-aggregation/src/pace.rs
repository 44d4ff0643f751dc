//! Adaptive pacing of an owner's calls to the counter.
//!
//! The interval grows after failures and late replies and shrinks while replies are quick.

use crate::Micros;

/// Calls per second that the whole fleet starts with.
const INITIAL_FLEET_CALLS_PER_S: f64 = 500.0;
/// Shortest interval between two calls, µs.
const MIN_INTERVAL_US: f64 = 500.0;
/// Longest interval between two calls, µs.
const MAX_INTERVAL_US: f64 = 500_000.0;
/// Factor on the interval after a failed or late call.
const SLOW_DOWN: f64 = 1.5;
/// Factor on the interval after a quick call.
const SPEED_UP: f64 = 0.9;
/// Fraction of the timeout below which a reply is quick.
const QUICK_FRACTION: f64 = 0.125;
/// Fraction of the timeout from which on a reply is late.
const LATE_FRACTION: f64 = 0.5;
/// Calls that may be made in a burst after an idle time.
const MAX_BURST: f64 = 4.0;

/// Limits the rate of calls to the counter.
#[derive(Clone, Debug)]
pub struct Pacer {
    interval: f64,
    next: f64,
    timeout: Micros,
}

impl Pacer {
    /// Starts at this gateway's part of the fleet's initial rate. `timeout` is the counter's, µs.
    pub fn new(gateways: u32, timeout: Micros) -> Pacer {
        let interval = f64::from(gateways.max(1)) / INITIAL_FLEET_CALLS_PER_S * 1e6;
        Pacer {
            interval: interval.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US),
            next: 0.0,
            timeout: timeout.max(1),
        }
    }

    /// Takes a permit for a call where one is available.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        let now = now as f64;
        if now < self.next {
            return false;
        }
        self.next = self.next.max(now - MAX_BURST * self.interval) + self.interval;
        true
    }

    /// Adjusts the interval after a call that took `took`; `ok` if it returned a total.
    pub fn record(&mut self, ok: bool, took: Micros) {
        let fraction = took as f64 / self.timeout as f64;
        if !ok || fraction >= LATE_FRACTION {
            self.interval = (self.interval * SLOW_DOWN).min(MAX_INTERVAL_US);
        } else if fraction < QUICK_FRACTION {
            self.interval = (self.interval * SPEED_UP).max(MIN_INTERVAL_US);
        }
    }

    /// Current interval between two calls, µs.
    pub fn interval(&self) -> f64 {
        self.interval
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn initial_rate_depends_on_fleet_size_and_bursts_are_bounded() {
        let mut pacer = Pacer::new(300, 50_000);
        assert_eq!(pacer.interval(), 500_000.0, "clamped to the longest interval");
        let mut few = Pacer::new(5, 50_000);
        let calls = (0..1_000u64).filter(|ms| few.try_acquire(1_000_000 + ms * 1_000)).count();
        assert!((100..=105).contains(&calls), "{calls} calls in a second, 100 and a burst");
        assert!(pacer.try_acquire(9_000_000) && pacer.try_acquire(9_000_000));
    }

    #[test]
    fn interval_grows_on_failure_and_shrinks_on_quick_replies() {
        let mut pacer = Pacer::new(10, 50_000);
        let start = pacer.interval();
        pacer.record(false, 1_000);
        pacer.record(true, 30_000);
        assert_eq!(pacer.interval(), start * 2.25);
        pacer.record(true, 10_000);
        assert_eq!(pacer.interval(), start * 2.25, "neither quick nor late");
        (0..500).for_each(|_| pacer.record(true, 1_000));
        assert_eq!(pacer.interval(), 500.0);
        (0..500).for_each(|_| pacer.record(false, 0));
        assert_eq!(pacer.interval(), 500_000.0);
    }
}
