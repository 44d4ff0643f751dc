//! Randomized simulation of 6 to 300 site monitors on a virtual clock: three to six sites are lost, partitioned, flap
//! and recover, and some workers are always bad. Checks fleet-wide load during recovery and per-gateway convergence.
//!
//! `HINGESTAGE_FLEETS=0..10000 cargo test --release -p hingestage-failover --test fleets` runs more seeds.

use fastrand::Rng;
use hingestage_failover::*;
use std::ops::Range;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Clock step.
const STEP: Micros = 10 * MS;
/// Latency of a worker's response.
const RESPONSE_TIME: Micros = 8 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum LossKind {
    /// Attempts fail at once.
    Refused,
    /// Attempts get no response; the sender cancels them after a while.
    Silent,
}

#[derive(Clone, Debug)]
struct Loss {
    site: usize,
    span: Range<Micros>,
    kind: LossKind,
    /// Gateways that can't reach the site; all if empty.
    gateways: Vec<usize>,
}

struct Fleet {
    rng: Rng,
    monitors: Vec<SiteMonitor>,
    views: Vec<View>,
    /// Attempts in flight: end time, gateway, worker and result.
    in_flight: Vec<(Micros, usize, u64, AttemptEvidence)>,
    sites: usize,
    workers: usize,
    bad: Vec<bool>,
    losses: Vec<Loss>,
    rate: f64,
    now: Micros,
    bits: u64,
    probed: Vec<u64>,
    /// By gateway and site: number of closures, last share, and when the share was last 1.
    closures: Vec<Vec<(usize, f64, Micros)>>,
    /// Attempts sent to a site more than two seconds after its loss.
    wasted: usize,
    sent: usize,
}

fn zone(site: usize) -> String {
    format!("z{site}")
}

impl Fleet {
    fn random(seed: u64, config: &MonitorConfig) -> Fleet {
        let mut rng = Rng::with_seed(seed);
        let gateways = [6, 12, 40, 300][rng.usize(..4)];
        let (sites, workers) = (rng.usize(3..=6), rng.usize(4..=30));
        // Every gateway knows all workers of each site.
        let monitors = (0..gateways).map(|_| {
            let mut monitor = SiteMonitor::new(config.clone(), &[]);
            for id in 0..sites * workers {
                monitor.upsert_worker(id as u64, &zone(id / workers), true, None);
            }
            monitor
        });
        let monitors: Vec<SiteMonitor> = monitors.collect();
        let bad = (0..sites * workers).map(|_| rng.f64() < 0.125).collect();
        let mut losses = Vec::new();
        let mut at = 4 * S;
        for _ in 0..rng.usize(1..=3) {
            let duration = [S, 2 * S, 5 * S][rng.usize(..3)] + rng.u64(..S);
            let kind = [LossKind::Refused, LossKind::Silent][rng.usize(..2)];
            // The loss affects every second gateway, one, or all.
            let affected = match rng.usize(..4) {
                0 => (0..gateways).step_by(2).collect(),
                1 => vec![rng.usize(..gateways)],
                _ => Vec::new(),
            };
            let site = rng.usize(..sites);
            // Some sites flap.
            for n in 0..[1, 1, 3][rng.usize(..3)] {
                let start = at + n * (duration + S);
                losses.push(Loss { site, span: start..start + duration, kind, gateways: affected.clone() });
            }
            at += rng.u64(..8 * S);
        }
        let n = monitors.len();
        Fleet {
            rate: if n > 100 { 30.0 } else { 60.0 },
            views: vec![View::default(); n],
            in_flight: Vec::new(),
            sites,
            workers,
            bad,
            losses,
            now: S,
            bits: 0,
            probed: vec![0; n],
            closures: vec![vec![(0, 1.0, 0); sites]; n],
            wasted: 0,
            sent: 0,
            monitors,
            rng,
        }
    }

    fn lost(&self, gateway: usize, site: usize) -> Option<&Loss> {
        let here = |loss: &&Loss| {
            loss.site == site
                && loss.span.contains(&self.now)
                && (loss.gateways.is_empty() || loss.gateways.contains(&gateway))
        };
        self.losses.iter().find(here)
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, gateway, worker, evidence) in due {
            self.monitors[gateway].attempt_finished(now, worker, evidence);
        }
        for gateway in 0..self.monitors.len() {
            if self.rng.f64() < self.rate * STEP as f64 / S as f64 {
                self.send_request(gateway);
            }
            if now.is_multiple_of(50 * MS) {
                self.poll(gateway);
            }
        }
    }

    fn poll(&mut self, gateway: usize) {
        if let Some(view) = self.monitors[gateway].poll(self.now, &Refused::new()) {
            self.views[gateway] = view;
        }
        for site in 0..self.sites {
            let share = self.views[gateway].admission(&zone(site)).share;
            let (times, last, last_full) = &mut self.closures[gateway][site];
            *times += usize::from(share == 0.0 && *last > 0.0);
            *last = share;
            *last_full = if share >= 1.0 { self.now } else { *last_full };
        }
    }

    fn send_request(&mut self, gateway: usize) {
        self.bits += 1;
        for _ in 0..3 {
            let worker = self.rng.u64(..(self.sites * self.workers) as u64);
            let site = worker as usize / self.workers;
            let (zone, view) = (zone(site), &self.views[gateway]);
            if !view.admits(&zone, self.bits, true, self.probed[gateway]) {
                continue;
            }
            self.probed[gateway] = self.probed[gateway].max(view.probe(&zone).unwrap_or(0));
            self.send(gateway, site, worker);
            return;
        }
    }

    fn send(&mut self, gateway: usize, site: usize, worker: u64) {
        self.sent += 1;
        self.monitors[gateway].attempt_sent(self.now, worker);
        let lost = self.lost(gateway, site).cloned();
        let well_into_loss = lost.as_ref().is_some_and(|loss| self.now > loss.span.start + 2 * S);
        self.wasted += usize::from(well_into_loss);
        let bad = self.bad[worker as usize] && self.rng.bool();
        let end = match lost.map(|loss| loss.kind).or(bad.then_some(LossKind::Refused)) {
            Some(LossKind::Refused) => (self.now + MS, AttemptEvidence::Failed),
            // Cancelled after some usual latencies, as the policy does.
            Some(LossKind::Silent) => (self.now + 200 * MS, AttemptEvidence::Inconclusive),
            None => (self.now + RESPONSE_TIME, AttemptEvidence::Responded(RESPONSE_TIME)),
        };
        self.in_flight.push((end.0, gateway, worker, end.1));
    }

    fn end_of_losses(&self) -> Micros {
        self.losses.iter().map(|loss| loss.span.end).max().unwrap_or(0)
    }
}

/// Runs a seed and returns the first violated check.
fn play(seed: u64, config: &MonitorConfig) -> Result<(), String> {
    let mut fleet = Fleet::random(seed, config);
    let losses_end = fleet.end_of_losses();
    let ends = losses_end + 45 * S;
    let mut previous: Vec<(Micros, f64)> = vec![(0, 0.0); fleet.sites];
    while fleet.now < ends {
        fleet.step();
        for (site, previous) in previous.iter_mut().enumerate() {
            // The sum of shares at most doubles per ramp step, unless the loss was too brief for a ramp.
            let shares: f64 = (0..fleet.monitors.len()).map(|g| fleet.closures[g][site].1).sum();
            let all = fleet.monitors.len() as f64;
            let lost_long = fleet.losses.iter().any(|loss| {
                loss.site == site
                    && loss.gateways.is_empty()
                    && loss.span.end - loss.span.start > 2 * S
                    && fleet.now >= loss.span.end
                    && fleet.now < loss.span.end + 400 * MS
            });
            if lost_long && shares > 0.55 * all && previous.1 < 0.2 * all {
                return Err(format!("site {site} gets {shares:.1} of {all} at once, {} ms", fleet.now / MS));
            }
            if fleet.now >= previous.0 + 500 * MS {
                *previous = (fleet.now, shares);
            }
        }
        let nowhere = |sites: &Vec<(usize, f64, Micros)>| sites.iter().all(|(_, share, _)| *share < 1.0);
        if let Some(gateway) = fleet.closures.iter().position(nowhere) {
            return Err(format!("gateway {gateway} has no fully open site at {} ms", fleet.now / MS));
        }
    }
    let mut false_closures = 0;
    for (gateway, sites) in fleet.closures.iter().enumerate() {
        for (site, (times, _, last_full)) in sites.iter().enumerate() {
            // With a backoff of up to 30 s, a false loss right before the end may still last.
            if *last_full + 34 * S < fleet.now {
                let evidence = fleet.monitors[gateway].explain(fleet.now).swap_remove(site);
                return Err(format!("gateway {gateway}: {evidence:?} long after the last loss"));
            }
            let losses = fleet.losses.iter().filter(|loss| loss.site == site).count();
            // Probes in flight may end a loss early, and bad workers alone may cause a false one now and then.
            if *times > 3 * losses + 6 {
                return Err(format!(
                    "gateway {gateway}: site {site} was closed {times} times for {losses} losses"
                ));
            }
            let bad = fleet.bad[site * fleet.workers..][..fleet.workers].iter().filter(|bad| **bad).count();
            // Sites with a third or more bad workers may be lost at any time.
            false_closures += if losses == 0 && 3 * bad < fleet.workers { *times } else { 0 };
        }
    }
    let pairs = fleet.monitors.len() * fleet.sites;
    if false_closures * 4 > pairs {
        return Err(format!("{false_closures} sites were closed without a loss, of {pairs}"));
    }
    // Two seconds into a loss only probes go there: one per gateway in 250 ms.
    let probes = |loss: &Loss| {
        let gateways = if loss.gateways.is_empty() { fleet.monitors.len() } else { loss.gateways.len() };
        gateways as f64 * (loss.span.end - loss.span.start).saturating_sub(2 * S) as f64 / 250e3
    };
    let probes: f64 = fleet.losses.iter().map(probes).sum();
    if fleet.wasted as f64 > probes + 0.01 * fleet.sent as f64 {
        return Err(format!("{} of {} went to sites lost for two seconds", fleet.wasted, fleet.sent));
    }
    Ok(())
}

fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("HINGESTAGE_FLEETS") else { return usual };
    let (from, to) = text.split_once("..").expect("HINGESTAGE_FLEETS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn fleets_leave_lost_sites_and_ramp_back_up() {
    for seed in seeds(0..25) {
        if let Err(what) = play(seed, &MonitorConfig::default()) {
            panic!("seed {seed}: {what}");
        }
    }
}

/// The first seed that violates a check with these settings.
fn first_violation(config: &MonitorConfig) -> Option<(u64, String)> {
    (0..20).find_map(|seed| play(seed, config).err().map(|what| (seed, what)))
}

#[test]
fn recovery_without_a_ramp_is_detected() {
    let (_, what) =
        first_violation(&MonitorConfig { initial_share: 1.0, ..MonitorConfig::default() }).unwrap();
    assert!(what.contains("at once"), "{what}");
}

#[test]
fn missing_probes_are_detected() {
    let (_, what) =
        first_violation(&MonitorConfig { probe_interval: 3_600 * S, ..MonitorConfig::default() }).unwrap();
    assert!(what.contains("long after the last loss"), "{what}");
}

#[test]
fn unlimited_probing_is_detected() {
    let config =
        MonitorConfig { probe_interval: 0, min_backoff: 0, max_backoff: 0, ..MonitorConfig::default() };
    // Any response ends a loss: sites are closed again and again, or get all load back at once.
    assert!(first_violation(&config).is_some());
}
