//! Simulation of rollouts: gateways with skewed clocks in both modes, pauses, restarts and a lossy network,
//! while changes are proposed and called off. No request may start under an older version later than the clock
//! error after one started under a newer version, and once faults stop, changes must complete.

use fastrand::Rng;
use hingestage_policy_change::lease_holder::LeaseHolder;
use hingestage_policy_change::rollout::{
    Change, Command, LeaseConfig, LeaseReply, LeaseRequest, Micros, Mode, Outcome, Rollout, Version,
};
use hingestage_policy_change::Digest;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const LEASE_CONFIG: LeaseConfig = LeaseConfig { lease: 1_500 * MS, clock_error: 200 * MS };
const GATEWAYS: usize = 3;
/// Interval of lease requests.
const REQUEST_INTERVAL: Micros = 300 * MS;
const STEP: Micros = 10 * MS;
const STEPS: usize = 4_000;
/// From this step on there are no faults.
const CALM_FROM_STEP: usize = 3_300;

/// A defect that the simulation must detect.
#[derive(Clone, Copy, PartialEq)]
enum Defect {
    None,
    /// A lease starts at the receipt of the reply, not at the request.
    LeaseFromReceipt,
    /// A change takes effect as soon as it is decided.
    ImmediateEffect,
    /// A restarted gateway uses the version of its previous incarnation.
    VersionKeptOverRestart,
    /// Clocks differ by more than the configured error.
    ClockErrorExceeded,
    /// A gateway in mode `serve` ignores its lease although it is ready for a change.
    ServesWithoutLease,
}

struct Gateway {
    holder: LeaseHolder,
    incarnation: u64,
    mode: Mode,
    /// Lead of its clock over the slowest possible one.
    clock_lead: Micros,
    next_ask: Micros,
    paused_until: Micros,
    dead_until: Option<Micros>,
    /// Version of its last request, which the injected defect reuses after a restart.
    last_version: Option<Version>,
}

enum Message {
    RequestLease(usize, LeaseRequest),
    Answer(usize, u64, LeaseReply),
}

struct Simulation {
    now: Micros,
    step: usize,
    rng: Rng,
    defect: Defect,
    rollout: Rollout,
    keeper_clock_lead: Micros,
    gateways: Vec<Gateway>,
    in_flight: Vec<(Micros, Message)>,
    cut: BTreeMap<(usize, bool), Micros>,
    /// First and last start of a request under each version.
    starts: BTreeMap<u64, (Micros, Micros)>,
    number: u64,
    violation: Option<String>,
    /// Steps at which a running gateway could start no request.
    refused_starts: usize,
}

fn version(number: u64) -> Version {
    Version { number, digest: Digest([number as u8; 32]) }
}

impl Simulation {
    fn new(seed: u64, defect: Defect) -> Simulation {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 31);
        let now = 1_000_000 * MS;
        let max_lead = if defect == Defect::ClockErrorExceeded {
            8 * LEASE_CONFIG.clock_error
        } else {
            LEASE_CONFIG.clock_error
        };
        let mut gateway = |n: usize| {
            let mode = if rng.u64(..2) == 0 { Mode::Stop } else { Mode::Serve };
            let holder = LeaseHolder::new(&format!("g{n}"), 1, mode, LEASE_CONFIG);
            let clock_lead = rng.u64(..max_lead + 1);
            Gateway {
                holder,
                incarnation: 1,
                mode,
                clock_lead,
                next_ask: now,
                paused_until: 0,
                dead_until: None,
                last_version: None,
            }
        };
        let gateways = (0..GATEWAYS).map(&mut gateway).collect();
        let keeper_clock_lead = rng.u64(..LEASE_CONFIG.clock_error + 1);
        Simulation {
            now,
            step: 0,
            rng,
            defect,
            rollout: Rollout::new(LEASE_CONFIG, version(1)),
            keeper_clock_lead,
            gateways,
            in_flight: Vec::new(),
            cut: BTreeMap::new(),
            starts: BTreeMap::new(),
            number: 1,
            violation: None,
            refused_starts: 0,
        }
    }

    fn send(&mut self, gateway: usize, out: bool, what: Message) {
        let calm = self.step >= CALM_FROM_STEP;
        let cut = self.cut.get(&(gateway, out)).is_some_and(|until| *until > self.now);
        if !calm && (cut || self.rng.u64(..20) == 0) {
            return;
        }
        let late = match self.rng.u64(..8) {
            0 if !calm => self.rng.u64(..2_500) * MS,
            _ => self.rng.u64(..40) * MS,
        };
        self.in_flight.push((self.now + late, what));
    }

    fn inject_fault(&mut self) {
        let one = self.rng.u64(..GATEWAYS as u64) as usize;
        let lasts = self.rng.u64(..5_000) * MS;
        match self.rng.u64(..6) {
            0 => drop(self.cut.insert((one, self.rng.u64(..2) == 0), self.now + lasts)),
            1 => self.cut.extend([((one, true), self.now + lasts), ((one, false), self.now + lasts)]),
            2 => self.gateways[one].paused_until = self.now + lasts,
            3 => self.gateways[one].dead_until = Some(self.now + lasts),
            4 => {
                self.number += 1;
                let (now, number) = (self.now + self.keeper_clock_lead, self.number);
                self.rollout.apply(now, Command::Propose(version(number), now, now + 6_000 * MS));
            }
            _ => {
                let (now, number) = (self.now + self.keeper_clock_lead, self.number);
                self.rollout.apply(now, Command::CallOff(number));
            }
        }
    }

    fn run(&mut self) {
        while self.step < STEPS && self.violation.is_none() {
            self.step += 1;
            self.now += STEP;
            if self.step < CALM_FROM_STEP && self.rng.u64(..40) == 0 {
                self.inject_fault();
            }
            if self.step == CALM_FROM_STEP + 300 {
                self.number += 1;
                let now = self.now + self.keeper_clock_lead;
                self.rollout.apply(now, Command::Propose(version(self.number), now, now + 5_000 * MS));
            }
            self.rollout.apply(self.now + self.keeper_clock_lead, Command::Tick);
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
            self.in_flight = later;
            due.into_iter().for_each(|(_, what)| self.deliver(what));
            (0..GATEWAYS).for_each(|n| self.step_gateway(n));
        }
    }

    fn is_running(&self, n: usize) -> bool {
        self.gateways[n].dead_until.is_none()
            && (self.gateways[n].paused_until <= self.now || self.step >= CALM_FROM_STEP)
    }

    fn deliver(&mut self, what: Message) {
        match what {
            Message::RequestLease(n, request) => {
                let now = self.now + self.keeper_clock_lead;
                if let Outcome::Answer(mut answer) =
                    self.rollout.apply(now, Command::RequestLease(request.clone()))
                {
                    if let (Defect::ImmediateEffect, Some(Change::Decided(version, _))) =
                        (self.defect, answer.change)
                    {
                        answer.change = Some(Change::Decided(version, 0));
                    }
                    self.send(n, false, Message::Answer(n, request.incarnation, answer));
                }
            }
            Message::Answer(n, incarnation, _)
                if self.gateways[n].dead_until.is_some() || self.gateways[n].incarnation != incarnation => {}
            Message::Answer(n, incarnation, answer) if !self.is_running(n) => {
                self.in_flight.push((self.gateways[n].paused_until, Message::Answer(n, incarnation, answer)));
            }
            Message::Answer(n, _, mut answer) => {
                let now = self.now;
                let gateway = &mut self.gateways[n];
                if self.defect == Defect::LeaseFromReceipt {
                    answer.sent_at = self.now + gateway.clock_lead;
                    answer.keeper_time = answer.sent_at;
                }
                // A reply from a clock too far away is ignored.
                let _ = gateway.holder.handle_reply(now + gateway.clock_lead, answer);
            }
        }
    }

    fn step_gateway(&mut self, n: usize) {
        let now = self.now;
        let calm = self.step >= CALM_FROM_STEP;
        let gateway = &mut self.gateways[n];
        if gateway.dead_until.is_some_and(|until| until <= now || calm) {
            let known = gateway.last_version;
            (gateway.dead_until, gateway.incarnation) = (None, gateway.incarnation + 1);
            gateway.holder =
                LeaseHolder::new(&format!("g{n}"), gateway.incarnation, gateway.mode, LEASE_CONFIG);
            if let (Defect::VersionKeptOverRestart, Some(version)) = (self.defect, known) {
                let sent_at = now + gateway.clock_lead;
                let believed = LeaseReply {
                    sent_at,
                    keeper_time: sent_at,
                    in_force: version,
                    change: None,
                    leased: true,
                };
                gateway.holder.handle_reply(sent_at, believed).unwrap();
            }
        }
        if !self.is_running(n) {
            return;
        }
        let gateway = &mut self.gateways[n];
        let clock = now + gateway.clock_lead;
        for version in gateway.holder.missing_versions() {
            gateway.holder.record_applied(version, true);
        }
        if gateway.next_ask <= now {
            gateway.next_ask = now + REQUEST_INTERVAL;
            let request = gateway.holder.next_request(clock);
            self.send(n, true, Message::RequestLease(n, request));
        }
        self.start_request(n, clock);
    }

    /// Starts a request at this gateway, if allowed.
    fn start_request(&mut self, n: usize, clock: Micros) {
        let gateway = &self.gateways[n];
        let mut version = gateway.holder.version(clock);
        if self.defect == Defect::ServesWithoutLease && gateway.mode == Mode::Serve && version.is_none() {
            // Uses the last version that was valid, ready or not.
            let mut past = clock;
            while version.is_none() && past + 20_000 * MS > clock {
                past -= 100 * MS;
                version = gateway.holder.version(past);
            }
        }
        let Some(version) = version else {
            self.refused_starts += 1;
            return;
        };
        self.gateways[n].last_version = Some(version);
        let (_, last) = self.starts.entry(version.number).or_insert((self.now, self.now));
        *last = self.now;
        let late = self
            .starts
            .range(version.number + 1..)
            .find(|(_, (first, _))| self.now > first + LEASE_CONFIG.clock_error);
        if let Some((newer, (first, _))) = late {
            let after = (self.now - first) / MS;
            self.violation =
                Some(format!("{} began {after} ms after {newer} at gateway {n}", version.number));
        }
    }
}

fn run_seed(seed: u64, defect: Defect) -> Simulation {
    let mut simulation = Simulation::new(seed, defect);
    simulation.run();
    simulation
}

/// Number of seeds; the environment variable overrides it.
fn seed_count() -> u64 {
    std::env::var("HINGESTAGE_WORLDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000)
}

#[test]
fn old_versions_end_within_the_clock_error_and_changes_complete() {
    let (mut changes, mut refused_starts) = (0, 0);
    for seed in 0..seed_count() {
        let simulation = run_seed(seed, Defect::None);
        assert_eq!(simulation.violation, None, "seed {seed}");
        let (in_force, change) = simulation.rollout.current();
        assert_eq!(
            (in_force, change),
            (version(simulation.number), None),
            "seed {seed}: the last change takes hold"
        );
        for gateway in &simulation.gateways {
            let clock = simulation.now + gateway.clock_lead;
            assert_eq!(gateway.holder.version(clock), Some(in_force), "seed {seed}: everywhere");
        }
        changes += simulation.starts.len() - 1;
        refused_starts += simulation.refused_starts;
    }
    assert!(changes > 2_000, "changes take hold among the faults as well: {changes}");
    assert!(refused_starts > 0);
}

fn assert_detected(defect: Defect) {
    assert!((0..1_000).any(|seed| run_seed(seed, defect).violation.is_some()));
}

#[test]
fn a_lease_from_receipt_is_detected() {
    assert_detected(Defect::LeaseFromReceipt);
}

#[test]
fn a_change_without_delay_is_detected() {
    assert_detected(Defect::ImmediateEffect);
}

#[test]
fn a_version_kept_over_a_restart_is_detected() {
    assert_detected(Defect::VersionKeptOverRestart);
}

#[test]
fn excessive_clock_error_is_detected() {
    assert_detected(Defect::ClockErrorExceeded);
}

#[test]
fn serving_without_a_lease_is_detected() {
    assert_detected(Defect::ServesWithoutLease);
}
