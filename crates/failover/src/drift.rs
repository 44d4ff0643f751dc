//! Detects when the measured load has moved far enough from the planned load, for long enough, to recompute the
//! failover plans, and gives the factor for each plan's and class's load.

use crate::Micros;
use std::collections::BTreeMap;

/// Time constant of the load average, µs.
const AVERAGING_WINDOW_US: f64 = 10e6;
/// Shortest interval that a rate is measured over, µs.
const MIN_SAMPLE_US: f64 = 500_000.0;
/// Ratio between measured and planned load from which on it has drifted.
const DRIFT_RATIO: f64 = 1.25;
/// Minimum duration of a drift, µs: shorter bursts are ignored.
const MIN_DRIFT_TIME: Micros = 10_000_000;
/// Minimum interval between two replans, µs.
const MIN_REPLAN_INTERVAL: Micros = 15_000_000;
/// Rates below this are too low to judge, requests per second.
const MIN_RATE: f64 = 0.5;
/// Bound of the load factor in either direction.
const MAX_FACTOR: f64 = 10.0;

/// Compares this gateway's load with the load that plans were made for.
#[derive(Clone, Debug)]
pub struct LoadDrift {
    /// Configured requests per second of this gateway, by plan and class.
    configured: BTreeMap<(usize, usize), f64>,
    /// Measured requests per second.
    measured: BTreeMap<(usize, usize), f64>,
    requests: BTreeMap<(usize, usize), u32>,
    /// Factors on the configured load that the current plans were made for.
    planned: BTreeMap<(usize, usize), f64>,
    started: Micros,
    last_poll: Micros,
    drifting_since: Option<Micros>,
    replanned: Micros,
}

impl LoadDrift {
    /// Creates a detector for the configured loads of this gateway.
    pub fn new(configured: BTreeMap<(usize, usize), f64>, now: Micros) -> LoadDrift {
        let planned = configured.keys().map(|key| (*key, 1.0)).collect();
        let (measured, requests) = (BTreeMap::new(), BTreeMap::new());
        LoadDrift {
            configured,
            measured,
            requests,
            planned,
            started: now,
            last_poll: now,
            drifting_since: None,
            replanned: now,
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, key: (usize, usize)) {
        if self.configured.contains_key(&key) {
            *self.requests.entry(key).or_default() += 1;
        }
    }

    /// Advances time; returns the load factors to replan for when a replan is due.
    pub fn poll(&mut self, now: Micros) -> Option<BTreeMap<(usize, usize), f64>> {
        let span = now.saturating_sub(self.last_poll) as f64;
        if span < MIN_SAMPLE_US {
            return None;
        }
        self.last_poll = now;
        let weight = 1.0 - (-span / AVERAGING_WINDOW_US).exp();
        for key in self.configured.keys() {
            let rate = f64::from(self.requests.remove(key).unwrap_or(0)) * 1e6 / span;
            let known = self.measured.entry(*key).or_insert(rate);
            *known += (rate - *known) * weight;
        }
        // The average is unreliable during the first window.
        if (now.saturating_sub(self.started) as f64) < AVERAGING_WINDOW_US {
            return None;
        }
        let factors: BTreeMap<(usize, usize), f64> =
            self.configured.keys().map(|key| (*key, self.factor(*key))).collect();
        let drifted = factors.iter().any(|(key, factor)| {
            let planned = self.planned[key];
            *factor > planned * DRIFT_RATIO || *factor < planned / DRIFT_RATIO
        });
        self.drifting_since = if drifted { self.drifting_since.or(Some(now)) } else { None };
        let due = self.drifting_since.is_some_and(|since| now >= since + MIN_DRIFT_TIME)
            && now >= self.replanned + MIN_REPLAN_INTERVAL;
        due.then(|| {
            (self.planned, self.replanned, self.drifting_since) = (factors.clone(), now, None);
            factors
        })
    }

    fn factor(&self, key: (usize, usize)) -> f64 {
        let (configured, measured) = (self.configured[&key], self.measured.get(&key).copied().unwrap_or(0.0));
        match configured < MIN_RATE && measured < MIN_RATE {
            true => self.planned[&key],
            false => (measured / configured.max(1e-9)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BASE: (usize, usize) = (0, 0);
    const PUSH: (usize, usize) = (1, 1);

    fn drift() -> LoadDrift {
        LoadDrift::new([(BASE, 10.0), (PUSH, 0.2)].into(), 0)
    }

    /// Runs some seconds at a rate; returns when plans were due, and for which factor.
    fn pass(drift: &mut LoadDrift, now: &mut Micros, seconds: u64, rate: u32) -> Vec<(u64, f64)> {
        let mut replanned = Vec::new();
        for _ in 0..seconds {
            *now += 1_000_000;
            (0..rate).for_each(|_| drift.record_request(BASE));
            drift.record_request((9, 9));
            replanned.extend(drift.poll(*now).map(|factors| (*now / 1_000_000, factors[&BASE])));
        }
        replanned
    }

    #[test]
    fn expected_load_and_bursts_cause_no_replan() {
        let (mut drift, mut now) = (drift(), 0);
        assert!(pass(&mut drift, &mut now, 60, 11).is_empty());
        assert!(pass(&mut drift, &mut now, 3, 25).is_empty());
        assert!(pass(&mut drift, &mut now, 60, 10).is_empty());
    }

    #[test]
    fn lasting_drift_causes_a_replan_and_then_no_more() {
        let (mut drift, mut now) = (drift(), 0);
        pass(&mut drift, &mut now, 30, 10);
        let replanned = pass(&mut drift, &mut now, 120, 20);
        assert!((1..=3).contains(&replanned.len()), "{replanned:?}");
        let (at, last) = *replanned.last().unwrap();
        assert!(at < 80 && last > 1.7 && last <= 2.0, "{replanned:?}");
        assert!(pass(&mut drift, &mut now, 60, 20).is_empty());
        assert!(!pass(&mut drift, &mut now, 120, 0).is_empty(), "a lower load is a drift as well");
        assert!(drift.planned[&BASE] >= 1.0 / MAX_FACTOR);
    }

    #[test]
    fn rates_too_low_to_judge_keep_their_factor() {
        let (mut drift, mut now) = (drift(), 0);
        pass(&mut drift, &mut now, 30, 10);
        pass(&mut drift, &mut now, 120, 20);
        assert_eq!(drift.planned[&PUSH], 1.0);
    }

    #[test]
    fn replans_keep_the_minimum_interval() {
        let (mut drift, mut now) = (drift(), 0);
        let mut replanned = Vec::new();
        for n in 0..40 {
            replanned.extend(pass(&mut drift, &mut now, 8, if n % 2 == 0 { 40 } else { 2 }));
        }
        assert!(replanned.windows(2).all(|two| two[1].0 - two[0].0 >= 15), "{replanned:?}");
    }
}
