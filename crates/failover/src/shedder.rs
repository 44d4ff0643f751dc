//! Priority load shedding by plan and class.
//!
//! Tiers of plan and class are ordered by the worth of a request per unit of work. The shedding level marks a position
//! on that shedder: tiers below it are refused, and the tier at the level in part.
//!
//! The level starts where the failover plan puts it and then follows measurements: requests without a free worker
//! raise it in proportion to their work, windows without shortage lower it slowly. It is averaged with the levels of
//! other gateways, so that all refuse alike.

use crate::{Micros, Refused};

/// Length of a measurement window, µs: long against a request, short against the loss of a site.
const WINDOW: Micros = 500_000;
/// At or below this fraction of requests without a worker the level falls.
const MAX_SHORTAGE: f64 = 0.02;
/// Largest rise per window, as a fraction of all work.
const MAX_RISE: f64 = 0.25;
/// Fall of the level in the first window without shortage, as a fraction of all work. It starts slowly, since the load
/// that was too high will soon be too high again.
const INITIAL_FALL: f64 = 0.02;
/// Factor on the fall for each further window without shortage: the longer there is none, the faster the fall.
const FALL_GROWTH: f64 = 1.5;
/// Largest fall per window, as a fraction of all work.
const MAX_FALL: f64 = 0.2;
/// Consecutive windows with shortage before requests are refused while no site is lost: a fleet that has just started
/// is short until it has learned the capacity of its workers, which it would never learn from requests it refuses.
const MIN_SHORT_WINDOWS: u32 = 4;
/// Windows with fewer requests are not judged.
const MIN_REQUESTS: f64 = 5.0;
/// Weight of a window in the average work of each tier.
const WORK_WEIGHT: f64 = 0.2;
/// Weight of the other gateways' mean level per window.
const PEER_WEIGHT: f64 = 0.5;
/// Upper bound on the refused fraction of all work: the rest shows whether shedding is still needed.
const MAX_SHED: f64 = 0.95;

/// Requests of one plan and class, which are refused together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Indexes of its plan and class.
    pub key: (usize, usize),
    /// Worth of a request per unit of work; the lowest is refused first.
    pub worth: f64,
    /// Work per request, in any unit that all tiers share.
    pub work: f64,
}

/// Tiers by priority, and the shedding level.
#[derive(Clone, Debug)]
pub struct Shedder {
    tiers: Vec<Tier>,
    /// Average work requested of each tier per window.
    average_work: Vec<f64>,
    /// Requests to each tier in the current window.
    window_requests: Vec<f64>,
    unserved: f64,
    requests: f64,
    window_end: Micros,
    /// Between 0, which refuses nothing, and the number of tiers, which refuses all.
    level: f64,
    /// Sum and number of peer levels received in the current window.
    peer_levels: (f64, u32),
    /// Consecutive windows with shortage, and without.
    streaks: (u32, u32),
}

impl Shedder {
    /// Creates a shedder that refuses nothing.
    pub fn new(mut tiers: Vec<Tier>) -> Shedder {
        tiers.sort_by(|a, b| a.worth.total_cmp(&b.worth).then(a.key.cmp(&b.key)));
        let none = vec![0.0; tiers.len()];
        Shedder {
            tiers,
            average_work: none.clone(),
            window_requests: none,
            unserved: 0.0,
            requests: 0.0,
            window_end: 0,
            level: 0.0,
            peer_levels: (0.0, 0),
            streaks: (0, 0),
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, key: (usize, usize)) {
        self.requests += 1.0;
        if let Some(tier) = self.tiers.iter().position(|tier| tier.key == key) {
            self.window_requests[tier] += 1.0;
        }
    }

    /// Records requests that found no free worker in time.
    pub fn record_unserved(&mut self, requests: u64) {
        self.unserved += requests as f64;
    }

    /// Records the level of another gateway.
    pub fn record_peer_level(&mut self, level: f64) {
        if (0.0..=self.tiers.len() as f64).contains(&level) {
            self.peer_levels = (self.peer_levels.0 + level, self.peer_levels.1 + 1);
        }
    }

    /// The current level; `None` without tiers.
    pub fn level(&self) -> Option<f64> {
        (!self.tiers.is_empty()).then_some(self.level)
    }

    /// Raises the level to refuse at least this fraction of all work, as a failover plan demands; never lowers it.
    pub fn raise_to(&mut self, fraction: f64) {
        self.level = self.level.max(self.above(0.0, fraction.clamp(0.0, MAX_SHED) * self.total_work()));
    }

    /// Advances time; moves the level at the end of a window. `troubled` says that a site is lost or recovering.
    pub fn poll(&mut self, now: Micros, troubled: bool) {
        if now < self.window_end {
            return;
        }
        // A window that was polled late is not judged.
        let usable = self.window_end > 0 && now < self.window_end + WINDOW;
        self.window_end = now + WINDOW;
        for ((average, requests), tier) in
            self.average_work.iter_mut().zip(&mut self.window_requests).zip(&self.tiers)
        {
            let work = std::mem::take(requests) * tier.work;
            let weight = if *average == 0.0 { 1.0 } else { WORK_WEIGHT };
            *average += (work - *average) * weight;
        }
        let (unserved, requests) = (std::mem::take(&mut self.unserved), std::mem::take(&mut self.requests));
        let peers = std::mem::take(&mut self.peer_levels);
        if requests < MIN_REQUESTS {
            self.level = self.lowered_level();
        } else if usable {
            self.level = self.moved_level(unserved / requests, troubled);
        }
        if peers.1 > 0 {
            self.level += (peers.0 / f64::from(peers.1) - self.level) * PEER_WEIGHT;
        }
    }

    fn moved_level(&mut self, shortage: f64, troubled: bool) -> f64 {
        if shortage <= MAX_SHORTAGE {
            return self.lowered_level();
        }
        self.streaks = (self.streaks.0 + 1, 0);
        // Shedding that has begun goes on even without a lost site.
        if !troubled && self.level <= 0.0 && self.streaks.0 < MIN_SHORT_WINDOWS {
            return self.level;
        }
        let work = self.total_work();
        self.above(self.level, shortage.min(MAX_RISE) * work).min(self.above(0.0, MAX_SHED * work))
    }

    fn lowered_level(&mut self) -> f64 {
        let fall = INITIAL_FALL * FALL_GROWTH.powi(self.streaks.1.min(20) as i32);
        self.streaks = (0, self.streaks.1.saturating_add(1));
        self.below(self.level, fall.min(MAX_FALL) * self.total_work())
    }

    fn total_work(&self) -> f64 {
        self.average_work.iter().sum()
    }

    /// The level that has this much more work below it.
    fn above(&self, from: f64, mut work: f64) -> f64 {
        let mut level = from;
        while level < self.tiers.len() as f64 && work > 1e-9 {
            let tier = level as usize;
            let left = (tier as f64 + 1.0 - level) * self.average_work[tier];
            if left > work {
                return level + work / self.average_work[tier];
            }
            (level, work) = (tier as f64 + 1.0, work - left);
        }
        // Tiers without requests have no work.
        level
    }

    /// The level that has this much less work below it.
    fn below(&self, from: f64, mut work: f64) -> f64 {
        let mut level = from;
        while level > 0.0 {
            let tier = (level.ceil() as usize).saturating_sub(1);
            let under = (level - tier as f64) * self.average_work[tier];
            if under > work {
                return level - work / self.average_work[tier];
            }
            (level, work) = (tier as f64, work - under);
        }
        0.0
    }

    /// The refused fraction of each plan's and class's accounts.
    pub fn refused(&self) -> Refused {
        let part = |(n, tier): (usize, &Tier)| (tier.key, (self.level - n as f64).clamp(0.0, 1.0));
        self.tiers.iter().enumerate().map(part).filter(|(_, part)| *part > 0.0).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BASE: (usize, usize) = (0, 0);
    const ENTE: (usize, usize) = (1, 0);
    const PUSH: (usize, usize) = (1, 1);

    fn shedder() -> Shedder {
        let tier = |key, worth, work| Tier { key, worth, work };
        Shedder::new(vec![tier(PUSH, 3.0, 3.0), tier(ENTE, 1.4, 1.0), tier(BASE, 0.5, 1.0)])
    }

    /// Runs a window with these requests per tier, `unserved` of which find no worker.
    fn window(shedder: &mut Shedder, n: &mut u64, load: [(usize, (usize, usize)); 3], unserved: u64) {
        for (count, key) in load {
            (0..count).for_each(|_| shedder.record_request(key));
        }
        shedder.record_unserved(unserved);
        *n += 1;
        shedder.poll(*n * WINDOW, true);
    }

    const NORMAL_LOAD: [(usize, (usize, usize)); 3] = [(100, BASE), (100, ENTE), (20, PUSH)];

    #[test]
    fn lowest_worth_is_refused_first() {
        let (mut shedder, mut n) = (shedder(), 0);
        (0..3).for_each(|_| window(&mut shedder, &mut n, NORMAL_LOAD, 0));
        assert_eq!(shedder.level(), Some(0.0));
        window(&mut shedder, &mut n, NORMAL_LOAD, 33);
        let refused = shedder.refused();
        // 33 of 220 requests found no worker: that fraction of 260 units of work is 39 of base's 100.
        assert!((refused[&BASE] - 0.39).abs() < 0.01, "{refused:?}");
        assert!(!refused.contains_key(&ENTE) && !refused.contains_key(&PUSH));
        (0..3).for_each(|_| window(&mut shedder, &mut n, NORMAL_LOAD, 60));
        let refused = shedder.refused();
        assert_eq!(refused[&BASE], 1.0);
        assert!(refused[&ENTE] > 0.5 && refused[&ENTE] <= 1.0, "{refused:?}");
    }

    #[test]
    fn tiers_are_admitted_again_in_reverse_order() {
        let (mut shedder, mut n) = (shedder(), 0);
        window(&mut shedder, &mut n, NORMAL_LOAD, 0);
        shedder.raise_to(0.6);
        let at = |shedder: &Shedder| {
            (shedder.refused().get(&BASE).copied(), shedder.refused().get(&ENTE).copied())
        };
        assert!(at(&shedder).0 == Some(1.0) && at(&shedder).1.is_some());
        let mut seen = Vec::new();
        while shedder.level > 0.0 {
            window(&mut shedder, &mut n, NORMAL_LOAD, 0);
            seen.push(at(&shedder));
        }
        let first_base = seen.iter().position(|(base, _)| *base != Some(1.0)).unwrap();
        let last_ente = seen.iter().rposition(|(_, ente)| ente.is_some()).unwrap();
        assert!(last_ente < first_base, "ente is fully admitted before any of base");
        assert!((5..=10).contains(&seen.len()), "0.6 of the work at a growing speed: {}", seen.len());
    }

    #[test]
    fn planned_level_applies_at_once_and_never_lowers() {
        let (mut shedder, mut n) = (shedder(), 0);
        window(&mut shedder, &mut n, NORMAL_LOAD, 0);
        shedder.raise_to(100.0 / 260.0);
        assert!((shedder.level - 1.0).abs() < 1e-6);
        shedder.raise_to(0.1);
        assert!((shedder.level - 1.0).abs() < 1e-6);
    }

    #[test]
    fn some_requests_are_always_admitted() {
        let (mut shedder, mut n) = (shedder(), 0);
        (0..50).for_each(|_| window(&mut shedder, &mut n, NORMAL_LOAD, 200));
        let push = shedder.refused()[&PUSH];
        assert!(push < 1.0 && push > 0.7, "{push}");
    }

    #[test]
    fn levels_of_gateways_converge() {
        let mut all = [shedder(), shedder(), shedder()];
        let mut n = [0; 3];
        (0..3).for_each(|g| window(&mut all[g], &mut n[g], NORMAL_LOAD, 0));
        all[0].raise_to(0.5);
        for _ in 0..6 {
            let levels: Vec<f64> = all.iter().map(|shedder| shedder.level).collect();
            for g in 0..3 {
                levels
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other != g)
                    .for_each(|(_, l)| all[g].record_peer_level(*l));
                window(&mut all[g], &mut n[g], NORMAL_LOAD, 6);
            }
        }
        let levels: Vec<f64> = all.iter().map(|shedder| shedder.level).collect();
        let (least, most) = levels.iter().fold((f64::MAX, 0.0f64), |(a, b), l| (a.min(*l), b.max(*l)));
        assert!(most - least < 0.05 && least > 0.2, "{levels:?}");
        all[0].record_peer_level(99.0);
        all[0].record_peer_level(f64::NAN);
        assert_eq!(all[0].peer_levels.1, 0, "levels out of range are ignored");
    }

    #[test]
    fn short_shortage_refuses_nothing_while_no_site_is_lost() {
        let (mut shedder, mut n) = (shedder(), 0);
        let mut run_window = |shedder: &mut Shedder, unserved: u64| {
            NORMAL_LOAD
                .iter()
                .for_each(|(count, key)| (0..*count).for_each(|_| shedder.record_request(*key)));
            shedder.record_unserved(unserved);
            n += 1;
            shedder.poll(n * WINDOW, false);
        };
        run_window(&mut shedder, 0);
        (0..3).for_each(|_| run_window(&mut shedder, 60));
        assert_eq!(shedder.level(), Some(0.0), "for a second and a half");
        run_window(&mut shedder, 0);
        (0..3).for_each(|_| run_window(&mut shedder, 60));
        assert_eq!(shedder.level(), Some(0.0), "the windows must be consecutive");
        run_window(&mut shedder, 60);
        assert!(shedder.level > 0.5, "a lasting shortage is an overload");
    }

    #[test]
    fn shedder_without_tiers_or_requests_refuses_nothing() {
        let mut none = Shedder::new(Vec::new());
        none.record_request(BASE);
        none.raise_to(0.5);
        none.poll(1, true);
        none.poll(WINDOW + 1, true);
        assert!(none.refused().is_empty() && none.level().is_none());
        let mut idle = shedder();
        (0..20).for_each(|n| idle.poll(n * WINDOW, true));
        idle.raise_to(0.5);
        (20..60).for_each(|n| idle.poll(n * WINDOW, true));
        assert_eq!(idle.level(), Some(0.0));
    }
}
