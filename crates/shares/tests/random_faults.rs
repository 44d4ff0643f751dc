//! Randomized fault injection on small fleets: lost, delayed and reordered messages, one-way partitions,
//! stalls, kills and restarts. The total in use must never exceed the whole. Injected defects verify that the
//! faults suffice to find them.

use fastrand::Rng;
use hingestage_fleet::gossip::{GossipTable, Message};
use hingestage_fleet::roll_call::RollCall;
use hingestage_shares::{Lease, LeaseConfig, LeaseState, Micros, Voter};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
/// Four heartbeats to other gateways are sent in this interval.
const HEARTBEAT_ROUND: Micros = 250 * MS;
const CONFIG: LeaseConfig = LeaseConfig {
    gateways: 5,
    counter_votes: 2,
    lease: 1_800 * MS,
    absence_timeout: 2_000 * MS,
    warm_up: 2_000 * MS,
    reserved_fraction: 0.5,
};

/// An injected defect that the simulation must detect.
#[derive(Clone, Copy, PartialEq)]
enum Defect {
    None,
    /// A share is taken over before its lease expires.
    EarlyTakeover,
    /// A new gateway uses its whole share without warm-up.
    NoWarmUp,
    /// A restarted instance inherits the contacts of the previous one, which may still run.
    ContactsSurviveRestart,
    /// A minority of votes suffices for the lease.
    SmallQuorum,
    /// A gateway ignores which gateways its voters have heard.
    IgnoreVoterLists,
    /// A leaving gateway keeps its lease until it ends.
    HoldAfterLeave,
}

struct Gateway {
    /// Gateway number. Equals its index, except for a duplicate process.
    me: u32,
    table: GossipTable,
    roll: RollCall,
    lease: Lease,
    next_heartbeat: Micros,
    /// End of a stall, during which incoming messages are queued.
    stalled_until: Micros,
    /// Time of the restart, if it is down.
    down_until: Option<Micros>,
    /// After a leave message: the time of the shutdown and the downtime.
    shutdown: Option<(Micros, Micros)>,
    /// Fraction of the whole in use.
    in_use: f64,
}

/// A message in flight.
enum Envelope {
    Heartbeat { to: usize, from: usize, issued: Micros, life: u64, message: Message },
    Ack { to: usize, from: usize, issued: Micros, life: u64, message: Message },
    Increment { from: usize, life: u64, name: String, amount: f64 },
    Total { to: usize, life: u64, name: String, total: f64 },
}

/// Index of the counter as a network node.
const COUNTER: usize = 99;

struct Simulation {
    now: Micros,
    rng: Rng,
    defect: Defect,
    gateways: Vec<Gateway>,
    totals: BTreeMap<String, f64>,
    in_flight: Vec<(Micros, Envelope)>,
    /// Broken one-way links, with the time of their repair.
    broken_links: BTreeMap<(usize, usize), Micros>,
    instances: u64,
    max: f64,
    took_over: bool,
    duplicates: bool,
}

fn config(defect: Defect) -> LeaseConfig {
    match defect {
        Defect::NoWarmUp => LeaseConfig { warm_up: 0, ..CONFIG },
        _ => CONFIG,
    }
}

fn absence_timeout(defect: Defect) -> Micros {
    match defect {
        Defect::EarlyTakeover => 500 * MS,
        _ => CONFIG.absence_timeout,
    }
}

impl Simulation {
    fn new(seed: u64, defect: Defect, duplicates: bool) -> Simulation {
        let mut sim = Simulation {
            now: 1_000_000 * MS,
            rng: Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 77),
            defect,
            gateways: Vec::new(),
            totals: BTreeMap::new(),
            in_flight: Vec::new(),
            broken_links: BTreeMap::new(),
            instances: 0,
            max: 0.0,
            took_over: false,
            duplicates,
        };
        for me in 0..CONFIG.gateways {
            let gateway = sim.start(me);
            sim.gateways.push(gateway);
        }
        sim
    }

    fn start(&mut self, me: u32) -> Gateway {
        self.instances += 1;
        Gateway {
            me,
            table: GossipTable::new(me, self.instances, CONFIG.gateways, absence_timeout(self.defect)),
            roll: RollCall::new(me, CONFIG.gateways, self.now),
            lease: Lease::new(me, config(self.defect)),
            next_heartbeat: self.now,
            stalled_until: 0,
            down_until: None,
            shutdown: None,
            in_use: 0.0,
        }
    }

    /// Sends a message that may be lost or delayed.
    fn send(&mut self, from: usize, to: usize, message: Envelope) {
        let broken = self.broken_links.get(&(from, to)).is_some_and(|until| *until > self.now);
        if broken || self.rng.u64(..50) == 0 {
            return;
        }
        let delay = match self.rng.u64(..20) {
            0 => self.rng.u64(..2_500) * MS,
            _ => self.rng.u64(..30) * MS,
        };
        self.in_flight.push((self.now + delay, message));
    }

    fn inject_fault(&mut self) {
        let all = self.gateways.len();
        let one = self.rng.u64(..all as u64) as usize;
        let other = [self.rng.u64(..all as u64) as usize, COUNTER][usize::from(self.rng.u64(..4) == 0)];
        let duration = self.rng.u64(..8_000) * MS;
        match self.rng.u64(..10) {
            0 | 1 => drop(self.broken_links.insert((one, other), self.now + duration)),
            2 => drop(self.broken_links.insert((other, one), self.now + duration)),
            3 => (0..all).chain([COUNTER]).for_each(|to| {
                self.broken_links.insert((one, to), self.now + duration);
                self.broken_links.insert((to, one), self.now + duration);
            }),
            // Partition between two sides of the fleet.
            4 => {
                let side = self.rng.u64(..1 << all);
                let of = |n: usize| side >> n & 1;
                for (a, b) in (0..all).flat_map(|a| (0..all).map(move |b| (a, b))) {
                    if of(a) != of(b) {
                        self.broken_links.insert((a, b), self.now + duration);
                    }
                }
            }
            5 => self.broken_links.extend((0..all).map(|n| ((n, COUNTER), self.now + duration))),
            6 => self.gateways[one].stalled_until = self.now + duration,
            7 => self.totals.clear(),
            8 if self.duplicates && all == CONFIG.gateways as usize => self.start_duplicate(one),
            8 | 9 if self.rng.bool() && self.awake(one) => self.leave(one, duration),
            _ => self.gateways[one].down_until = Some(self.now + duration),
        }
    }

    fn leave(&mut self, one: usize, duration: Micros) {
        let ends = self.now + self.rng.u64(..3_000) * MS;
        let gateway = &mut self.gateways[one];
        let last_slot = gateway.roll.stop();
        gateway.table.leave(Some(last_slot));
        if self.defect != Defect::HoldAfterLeave {
            gateway.lease.release();
        }
        gateway.shutdown.get_or_insert((ends, duration));
    }

    /// Starts a second process with the same number while the first still runs or is stalled.
    fn start_duplicate(&mut self, one: usize) {
        let mut duplicate = self.start(one as u32);
        if self.defect == Defect::ContactsSurviveRestart {
            duplicate.lease = self.gateways[one].lease.clone();
        }
        self.gateways.push(duplicate);
    }

    fn step(&mut self) {
        self.now += 10 * MS;
        if self.rng.u64(..40) == 0 {
            self.inject_fault();
        }
        for me in 0..self.gateways.len() {
            self.restart_if_due(me);
        }
        let now = self.now;
        let (due, ahead): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = ahead;
        due.into_iter().for_each(|(_, message)| self.arrive(message));
        for me in 0..self.gateways.len() {
            if self.awake(me) {
                self.act(me);
            }
        }
        self.check();
    }

    fn awake(&self, me: usize) -> bool {
        self.gateways[me].down_until.is_none() && self.gateways[me].stalled_until <= self.now
    }

    fn restart_if_due(&mut self, me: usize) {
        let ended = self.gateways[me].shutdown.filter(|(ends, _)| *ends <= self.now);
        if let (Some((ends, duration)), None) = (ended, self.gateways[me].down_until) {
            self.gateways[me].down_until = Some(ends + duration);
        }
        if self.gateways[me].down_until.is_some_and(|until| until <= self.now) {
            let number = self.gateways[me].me;
            self.gateways[me] = self.start(number);
        }
    }

    fn act(&mut self, me: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[me];
        if gateway.table.superseded() {
            gateway.lease.supersede();
        }
        if gateway.next_heartbeat <= now {
            gateway.next_heartbeat = now + HEARTBEAT_ROUND / 4;
            let number = gateway.table.next_peer(now).unwrap_or_default();
            let message = gateway.table.next_message(now);
            let life = message.incarnation;
            // With duplicate processes, either one may receive the message.
            let of_number: Vec<usize> =
                (0..self.gateways.len()).filter(|n| self.gateways[*n].me == number).collect();
            let to = of_number[self.rng.u64(..of_number.len() as u64) as usize];
            self.send(me, to, Envelope::Heartbeat { to, from: me, issued: now, life, message });
        }
        let gateway = &mut self.gateways[me];
        let goodbyes = gateway.table.goodbyes();
        if let Some(found) = gateway.roll.set_goodbyes(goodbyes) {
            gateway.lease.record_ack(now, Voter::Counter, found.issued, found.absent);
        }
        let (calls, life) = (gateway.roll.due_calls(now), gateway.table.next_message(now).incarnation);
        for call in calls {
            self.send(
                me,
                COUNTER,
                Envelope::Increment { from: me, life, name: call.name, amount: call.amount },
            );
        }
    }

    fn arrive(&mut self, message: Envelope) {
        let now = self.now;
        match message {
            Envelope::Heartbeat { to, from, issued, life, message } if self.awake(to) => {
                let gateway = &mut self.gateways[to];
                gateway.table.apply(now, &message);
                let answer = gateway.table.next_message(now);
                self.send(to, from, Envelope::Ack { to: from, from: to, issued, life, message: answer });
            }
            Envelope::Ack { to, from, issued, life, message } if self.awake(to) => {
                let (defect, of) = (self.defect, self.gateways[from].me);
                let gateway = &mut self.gateways[to];
                // Answers to a previous instance are dropped.
                if gateway.table.next_message(now).incarnation != life {
                    return;
                }
                gateway.table.apply(now, &message);
                let absent = match defect {
                    Defect::IgnoreVoterLists => (0..CONFIG.gateways).collect(),
                    _ => message.absent,
                };
                let voter = Voter::Gateway(of);
                gateway.lease.record_ack(now, voter, issued, absent);
            }
            Envelope::Increment { from, life, name, amount } => {
                let total = self.totals.entry(name.clone()).or_default();
                *total += amount;
                let total = *total;
                self.send(COUNTER, from, Envelope::Total { to: from, life, name, total });
            }
            Envelope::Total { to, life, name, total } if self.awake(to) => {
                let defect = self.defect;
                let gateway = &mut self.gateways[to];
                if gateway.table.next_message(now).incarnation != life {
                    return;
                }
                if let Some(found) = gateway.roll.handle_answer(&name, Some(total)) {
                    let absent = match defect {
                        Defect::IgnoreVoterLists => (0..CONFIG.gateways).collect(),
                        _ => found.absent,
                    };
                    gateway.lease.record_ack(now, Voter::Counter, found.issued, absent);
                }
            }
            // Messages to a stalled gateway are delivered when it resumes.
            Envelope::Heartbeat { to, .. } | Envelope::Ack { to, .. } | Envelope::Total { to, .. } => {
                let stalled = self.gateways[to].stalled_until;
                if self.gateways[to].down_until.is_none() && stalled > now {
                    self.in_flight.push((stalled, message));
                }
            }
        }
    }

    /// Updates the maximum usage. Stalled and dead gateways use nothing; shares are computed at each use.
    fn check(&mut self) {
        let mut sums = [0.0; 3];
        for me in 0..self.gateways.len() {
            let awake = self.awake(me);
            let (now, defect) = (self.now, self.defect);
            let gateway = &mut self.gateways[me];
            gateway.in_use = 0.0;
            if !awake {
                continue;
            }
            let unheard = gateway.table.absent(now);
            let view = gateway.lease.view(now, &unheard);
            let share = view.share(now, 0, CONFIG.gateways).fraction;
            // Sets of two gateways and of one.
            sums[1] += view.share(now, 3, 2).fraction;
            sums[2] += view.share(now, 1, 1).fraction;
            let minority = matches!(gateway.lease.state(now), LeaseState::NotHeld(votes) if votes >= 2);
            gateway.in_use = match defect {
                Defect::SmallQuorum if minority => {
                    let gone = unheard.len() as f64;
                    0.2 * (1.0 + CONFIG.reserved_fraction * gone / (f64::from(CONFIG.gateways) - gone))
                }
                _ => share,
            };
            self.took_over |= share > 0.2 + 1e-9;
            sums[0] += gateway.in_use;
        }
        // The bound with duplicate processes does not apply to small sets.
        let sets = if self.duplicates { &sums[..1] } else { &sums[..] };
        self.max = sets.iter().copied().fold(self.max, f64::max);
    }
}

/// Runs one simulation. Returns the maximum fraction in use and whether any share was taken over.
fn run(seed: u64, defect: Defect, duplicates: bool) -> (f64, bool) {
    let mut sim = Simulation::new(seed, defect, duplicates);
    for _ in 0..4_000 {
        sim.step();
        if sim.max > bound(duplicates) {
            break;
        }
    }
    (sim.max, sim.took_over)
}

/// The allowed fraction in use. With duplicate processes, it includes the older one's reserved fraction.
fn bound(duplicates: bool) -> f64 {
    let reserve = CONFIG.reserved_fraction / f64::from(CONFIG.gateways);
    1.0 + 1e-9 + if duplicates { reserve } else { 0.0 }
}

#[test]
fn shares_never_exceed_the_whole_under_random_faults() {
    let runs: Vec<(f64, bool)> = (0..1_000).map(|seed| run(seed, Defect::None, false)).collect();
    let violations: Vec<usize> = (0..runs.len()).filter(|n| runs[*n].0 > bound(false)).collect();
    assert!(violations.is_empty(), "seeds {violations:?}");
    let took_over = runs.iter().filter(|(_, took_over)| *took_over).count();
    assert!(took_over > 500, "shares are taken over in only {took_over} runs");
    assert!(runs.iter().any(|(max, _)| *max > 1.0 - 1e-9), "the whole is never fully in use");
}

#[test]
fn duplicate_process_exceeds_the_whole_by_at_most_its_reserve() {
    let runs: Vec<f64> = (0..1_000).map(|seed| run(seed, Defect::None, true).0).collect();
    let violations: Vec<usize> = (0..runs.len()).filter(|n| runs[*n] > bound(true)).collect();
    assert!(violations.is_empty(), "seeds {violations:?}");
    assert!(runs.iter().any(|max| *max > bound(false)), "no run exceeds the whole by duplicates");
}

fn assert_detected(defect: Defect, duplicates: bool) {
    assert!((0..1_000).any(|seed| run(seed, defect, duplicates).0 > bound(duplicates)));
}

#[test]
fn early_takeover_is_detected() {
    assert_detected(Defect::EarlyTakeover, false);
}

#[test]
fn missing_warm_up_is_detected() {
    assert_detected(Defect::NoWarmUp, false);
}

#[test]
fn contacts_kept_across_a_restart_are_detected() {
    assert_detected(Defect::ContactsSurviveRestart, true);
}

#[test]
fn minority_quorum_is_detected() {
    assert_detected(Defect::SmallQuorum, false);
}

#[test]
fn lease_held_after_leaving_is_detected() {
    assert_detected(Defect::HoldAfterLeave, false);
}

#[test]
fn ignored_voter_lists_are_detected() {
    assert_detected(Defect::IgnoreVoterLists, false);
}
