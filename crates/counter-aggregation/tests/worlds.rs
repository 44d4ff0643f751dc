//! Randomized fault tests of forwarders and aggregators: lost, late and refused messages, gateway crashes, stalls and
//! restarts, and a counter that does not reply, refuses or loses its state.
//!
//! Checks that each call of a live gateway ends once and in time, that no amount is added twice, and that no owner
//! reports more than was counted.

use fastrand::Rng;
use hingestage_counter_aggregation::aggregator::{AddResult, Aggregator, Command};
use hingestage_counter_aggregation::forwarder::{BatchOutcome, CallOutcome, Forwarder, Route};
use hingestage_counter_aggregation::message::{Increment, Reply};
use hingestage_policy::CounterOutcome;
use std::collections::BinaryHeap;

type Micros = u64;
const MS: Micros = 1_000;
const TIMEOUT: Micros = 50 * MS;
/// Time in which calls are made and faults injected.
const LOAD_TIME: Micros = 3_000 * MS;
/// Counter names of one time slot, which outlasts a run.
const NAMES: [&str; 3] = ["acc1.7", "acc2.7", "acc3.7"];
const KEEP_MS: u64 = 4_000;

/// A fault injected to check that the assertions detect it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Increments that may have been delivered are sent to the counter again.
    ResendIncrement,
    /// Amounts that the counter may have added are sent again.
    ResendAmount,
    /// Each gateway acts as owner of every name.
    NoOwner,
}

/// The requester of a total: a local call, or a position in a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Requester {
    Local(usize),
    Batch(usize, usize),
}

struct Gateway {
    incarnation: u32,
    up: bool,
    stalled_until: Micros,
    forwarder: Forwarder,
    aggregator: Aggregator<Requester>,
}

/// A call made on behalf of a gateway's policy.
struct Call {
    by: (usize, u32),
    name: usize,
    amount: f64,
    at: Micros,
    ended: Option<CallOutcome>,
}

/// A batch in flight and its replies so far.
struct BatchInFlight {
    from: (usize, u32),
    to: usize,
    increments: Vec<Increment>,
    replies: Vec<Option<Reply>>,
    finished: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Request,
    InjectFault,
    Poll(usize),
    BatchArrives(usize),
    BatchTimeout(usize),
    BatchReplied(usize),
    /// Gateway and incarnation, name, bits of the amount, and the policy's call, if it is for one.
    Counter((usize, u32), usize, u64, Option<usize>),
    Counted((usize, u32), usize, u64, Option<usize>, u8),
}

struct World {
    rng: Rng,
    now: Micros,
    order: u64,
    events: BinaryHeap<std::cmp::Reverse<(Micros, u64, SimEvent)>>,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    batches: Vec<BatchInFlight>,
    counter: [f64; 3],
    /// The counter's mode: 0 working, 1 adding without a reply, 2 refusing.
    counter_mode: u8,
    lossy: bool,
    fault: Fault,
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let mut rng = Rng::with_seed(seed);
        let n = 2 + rng.usize(..5);
        let gateways = (0..n).map(|me| new_gateway(me, n, 0)).collect();
        let lossy = rng.bool();
        let mut world = World {
            rng,
            now: 1_000 * MS,
            order: 0,
            events: BinaryHeap::new(),
            gateways,
            calls: Vec::new(),
            batches: Vec::new(),
            counter: [0.0; 3],
            counter_mode: 0,
            lossy,
            fault,
        };
        for _ in 0..200 {
            let at = world.rng.u64(..LOAD_TIME);
            world.after(at, SimEvent::Request);
        }
        for _ in 0..world.rng.usize(..10) {
            let at = world.rng.u64(..LOAD_TIME);
            world.after(at, SimEvent::InjectFault);
        }
        (0..n).for_each(|gateway| world.after(5 * MS, SimEvent::Poll(gateway)));
        world
    }

    fn after(&mut self, span: Micros, event: SimEvent) {
        self.order += 1;
        self.events.push(std::cmp::Reverse((self.now + span, self.order, event)));
    }

    fn called(&self, name: usize) -> f64 {
        self.calls.iter().filter(|call| call.name == name).map(|call| call.amount).sum()
    }

    fn serves(&self, gateway: usize) -> bool {
        self.gateways[gateway].up && self.now >= self.gateways[gateway].stalled_until
    }

    fn run(&mut self) {
        let end = self.now + LOAD_TIME + 1_500 * MS;
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.step(event);
            for name in 0..NAMES.len() {
                let (has, most) = (self.counter[name], self.called(name));
                assert!(has <= most + 1e-6, "{} of {most} units in the counter", has);
            }
        }
        for call in &self.calls {
            let gateway = &self.gateways[call.by.0];
            if gateway.up && gateway.incarnation == call.by.1 {
                assert!(call.ended.is_some(), "a call of {} at {} has no end", call.by.0, call.at);
            }
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request => self.request(),
            SimEvent::InjectFault => self.inject_fault(),
            SimEvent::Poll(gateway) => {
                if self.serves(gateway) {
                    let mut commands = Vec::new();
                    self.gateways[gateway].aggregator.poll(self.now, &mut commands);
                    self.run_commands(gateway, commands);
                }
                self.after(5 * MS, SimEvent::Poll(gateway));
            }
            SimEvent::BatchArrives(batch) => self.arrives(batch),
            SimEvent::BatchTimeout(batch) => self.batch_done(batch, BatchOutcome::NoReply),
            SimEvent::BatchReplied(batch) => {
                let replies = self.batches[batch].replies.iter().map(|reply| reply.unwrap()).collect();
                self.batch_done(batch, BatchOutcome::Replied(replies));
            }
            SimEvent::Counter(by, name, bits, own) => self.at_counter(by, name, bits, own),
            SimEvent::Counted(by, name, bits, own, mode) => self.counted(by, name, bits, own, mode),
        }
    }

    fn request(&mut self) {
        let by = self.rng.usize(..self.gateways.len());
        if !self.serves(by) {
            return;
        }
        let name = self.rng.usize(..NAMES.len());
        // Amounts are unique, so that an increment identifies its call.
        let amount = self.rng.u64(..8) as f64 + self.calls.len() as f64 / 1_024.0;
        let incarnation = self.gateways[by].incarnation;
        self.calls.push(Call { by: (by, incarnation), name, amount, at: self.now, ended: None });
        let call = self.calls.len() - 1;
        let increment = Increment { name: NAMES[name].into(), amount, ttl_ms: KEEP_MS };
        let living: Vec<bool> = self.gateways.iter().map(|g| g.up || self.rng.bool()).collect();
        let no_owner = self.fault == Fault::NoOwner;
        let route =
            self.gateways[by].forwarder.route(self.now, &increment, |g| !no_owner && living[g as usize]);
        match route {
            Route::Counter => self.count(by, name, amount, Some(call)),
            Route::Local => {
                let found = self.gateways[by].aggregator.add(self.now, Requester::Local(call), &increment);
                self.found(call, by, found);
            }
            Route::Peer(to) => self.send(by, to as usize),
        }
    }

    fn found(&mut self, call: usize, by: usize, found: AddResult) {
        match found {
            AddResult::Total(total) => self.end(call, CallOutcome::Total(total)),
            AddResult::Pending => {}
            AddResult::Declined => {
                let (name, amount) = (self.calls[call].name, self.calls[call].amount);
                self.count(by, name, amount, Some(call));
            }
        }
    }

    /// Sends all batches that the in-flight limit permits.
    fn send(&mut self, by: usize, to: usize) {
        while let Some(increments) = self.gateways[by].forwarder.next_batch(to as u32) {
            let replies = vec![None; increments.len()];
            let from = (by, self.gateways[by].incarnation);
            self.batches.push(BatchInFlight { from, to, increments, replies, finished: false });
            let batch = self.batches.len() - 1;
            let lost = self.lossy && self.rng.u32(..12) == 0;
            if !self.gateways[to].up {
                self.batch_done(batch, BatchOutcome::NotSent);
                continue;
            }
            let (late, takes) = (self.lossy && self.rng.u32(..20) == 0, self.rng.u64(..4 * MS));
            if !lost {
                self.after(if late { takes * 20 } else { takes }, SimEvent::BatchArrives(batch));
            }
            self.after(TIMEOUT, SimEvent::BatchTimeout(batch));
        }
    }

    fn arrives(&mut self, batch: usize) {
        let to = self.batches[batch].to;
        if !self.gateways[to].up {
            return;
        }
        if !self.serves(to) {
            let stall_left = self.gateways[to].stalled_until - self.now;
            return self.after(stall_left, SimEvent::BatchArrives(batch));
        }
        for (place, increment) in self.batches[batch].increments.clone().iter().enumerate() {
            match self.gateways[to].aggregator.add(self.now, Requester::Batch(batch, place), increment) {
                AddResult::Total(total) => self.reply(batch, place, Reply::Total(total)),
                AddResult::Pending => {}
                AddResult::Declined => self.reply(batch, place, Reply::Declined),
            }
        }
    }

    fn reply(&mut self, batch: usize, place: usize, reply: Reply) {
        if let Reply::Total(total) = reply {
            let name =
                NAMES.iter().position(|name| *name == self.batches[batch].increments[place].name).unwrap();
            assert!(total <= self.called(name) + 1e-6, "{total} reported of {}", self.called(name));
        }
        self.batches[batch].replies[place] = Some(reply);
        let lost = self.lossy && self.rng.u32(..12) == 0;
        if self.batches[batch].replies.iter().all(Option::is_some) && !lost {
            let takes = self.rng.u64(..4 * MS);
            self.after(takes, SimEvent::BatchReplied(batch));
        }
    }

    fn call_of(&self, increment: &Increment) -> usize {
        self.calls
            .iter()
            .position(|call| call.amount == increment.amount)
            .expect("every increment belongs to a call")
    }

    /// Remaining stall of a gateway, if it is stalled.
    fn stall_left(&self, gateway: usize) -> Option<Micros> {
        self.gateways[gateway].stalled_until.checked_sub(self.now).filter(|span| *span > 0)
    }

    fn batch_done(&mut self, batch: usize, outcome: BatchOutcome) {
        let (from, incarnation) = self.batches[batch].from;
        if let Some(stall_left) = self.stall_left(from) {
            let again = if outcome == BatchOutcome::NoReply {
                SimEvent::BatchTimeout(batch)
            } else {
                SimEvent::BatchReplied(batch)
            };
            return self.after(stall_left, again);
        }
        if std::mem::replace(&mut self.batches[batch].finished, true)
            || self.gateways[from].incarnation != incarnation
        {
            return;
        }
        if !self.gateways[from].up {
            return;
        }
        let (to, increments) = (self.batches[batch].to, self.batches[batch].increments.clone());
        let ended = self.gateways[from].forwarder.batch_finished(self.now, to as u32, increments, outcome);
        for (increment, outcome) in ended {
            let (call, amount) = (self.call_of(&increment), increment.amount);
            let name = self.calls[call].name;
            match outcome {
                CallOutcome::Counter => self.count(from, name, amount, Some(call)),
                CallOutcome::Timeout if self.fault == Fault::ResendIncrement => {
                    self.count(from, name, amount, Some(call))
                }
                other => self.end(call, other),
            }
        }
        self.send(from, to);
    }

    fn end(&mut self, call: usize, outcome: CallOutcome) {
        let one = &mut self.calls[call];
        assert_eq!(one.ended, None, "a call ended twice");
        let stalled = self.gateways[one.by.0].stalled_until > one.at;
        // Connecting to the owner, its reply, and the fallback to the counter may each take the timeout.
        assert!(
            stalled || self.now <= one.at + 3 * TIMEOUT + 5 * MS,
            "a call ended after {} ms",
            (self.now - one.at) / MS
        );
        one.ended = Some(outcome);
    }

    fn count(&mut self, by: usize, name: usize, amount: f64, own: Option<usize>) {
        let takes = self.rng.u64(..3 * MS);
        let incarnation = self.gateways[by].incarnation;
        self.after(takes, SimEvent::Counter((by, incarnation), name, amount.to_bits(), own));
    }

    fn at_counter(&mut self, by: (usize, u32), name: usize, bits: u64, own: Option<usize>) {
        let mode = self.counter_mode;
        if mode != 2 {
            self.counter[name] += f64::from_bits(bits);
        }
        let total = self.counter[name].to_bits();
        let takes = if mode == 1 { TIMEOUT } else { self.rng.u64(..3 * MS) };
        let bits = if mode == 0 { total } else { bits };
        self.after(takes, SimEvent::Counted(by, name, bits, own, mode));
    }

    fn counted(
        &mut self,
        (by, incarnation): (usize, u32),
        name: usize,
        bits: u64,
        own: Option<usize>,
        mode: u8,
    ) {
        if !self.gateways[by].up || self.gateways[by].incarnation != incarnation {
            return;
        }
        if let Some(stall_left) = self.stall_left(by) {
            return self.after(stall_left, SimEvent::Counted((by, incarnation), name, bits, own, mode));
        }
        let outcome = match mode {
            0 => CounterOutcome::Total(f64::from_bits(bits)),
            1 if self.fault == Fault::ResendAmount => CounterOutcome::Refused,
            1 => CounterOutcome::Timeout,
            _ => CounterOutcome::Refused,
        };
        if let Some(call) = own {
            let outcome = if let CounterOutcome::Total(total) = outcome {
                CallOutcome::Total(total)
            } else {
                CallOutcome::Timeout
            };
            return self.end(call, outcome);
        }
        let mut commands = Vec::new();
        self.gateways[by].aggregator.call_finished(self.now, NAMES[name], outcome, &mut commands);
        self.run_commands(by, commands);
    }

    fn run_commands(&mut self, by: usize, commands: Vec<Command<Requester>>) {
        for command in commands {
            match command {
                Command::CallCounter { name, amount, .. } => {
                    let name = NAMES.iter().position(|n| **n == name).unwrap();
                    self.count(by, name, amount, None);
                }
                Command::Reply(Requester::Local(call), total) => self.end(call, CallOutcome::Total(total)),
                Command::Reply(Requester::Batch(batch, place), total) => {
                    self.reply(batch, place, Reply::Total(total))
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let (n, gateway) = (self.gateways.len(), self.rng.usize(..self.gateways.len()));
        match self.rng.u32(..7) {
            5 => self.gateways[gateway].stalled_until = self.now + self.rng.u64(..400 * MS),
            0 => self.gateways[gateway].up = false,
            1 => self.gateways[gateway] = new_gateway(gateway, n, self.gateways[gateway].incarnation + 1),
            2 => self.counter_mode = self.rng.u8(..3),
            3 => self.counter_mode = 0,
            4 if self.serves(gateway) => {
                let last = self.gateways[gateway].aggregator.drain(self.now);
                self.run_commands(gateway, last);
            }
            _ => {
                self.counter = [0.0; 3];
            }
        }
    }
}

fn new_gateway(me: usize, n: usize, incarnation: u32) -> Gateway {
    Gateway {
        incarnation,
        up: true,
        stalled_until: 0,
        forwarder: Forwarder::new(me as u32, 0..n as u32),
        aggregator: Aggregator::new(1, TIMEOUT),
    }
}

fn seeds() -> u64 {
    std::env::var("HINGESTAGE_WORLDS").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

/// Number of seeds whose run fails an assertion.
fn failing_seeds(fault: Fault, seeds: u64) -> usize {
    let breaks = |seed: &u64| {
        let played = std::panic::catch_unwind(|| World::new(*seed, fault).run());
        played.is_err()
    };
    (0..seeds).filter(breaks).count()
}

#[test]
fn calls_end_once_and_no_amount_is_added_twice() {
    (0..seeds()).for_each(|seed| World::new(seed, Fault::None).run());
}

#[test]
fn resent_increments_and_amounts_are_detected() {
    assert!(failing_seeds(Fault::ResendIncrement, 60) > 0, "resending increments was not detected");
    assert!(failing_seeds(Fault::ResendAmount, 60) > 0, "resending amounts was not detected");
}

/// The last total reported for each name in a run without faults, as a fraction of what was counted.
fn final_totals(fault: Fault) -> Vec<f64> {
    let mut totals = Vec::new();
    for seed in 0..40 {
        let mut world = World::new(seed, fault);
        world.lossy = false;
        world.events.retain(|std::cmp::Reverse((_, _, event))| *event != SimEvent::InjectFault);
        world.run();
        for name in 0..NAMES.len() {
            let last = world.calls.iter().rfind(|call| call.name == name).unwrap();
            if let Some(CallOutcome::Total(total)) = last.ended {
                totals.push(total / world.called(name));
            }
        }
    }
    totals
}

#[test]
fn totals_are_accurate_without_faults() {
    let totals = final_totals(Fault::None);
    let least = totals.iter().copied().fold(1.0, f64::min);
    // Calls made at nearly the same time may reach the owner in another order.
    assert!(least > 0.85, "{least}");
    let exact = totals.iter().filter(|part| **part > 0.999).count();
    assert!(exact * 2 > totals.len(), "{exact} of {}", totals.len());
    let alone = final_totals(Fault::NoOwner).iter().copied().fold(1.0, f64::min);
    assert!(alone < 0.85, "without owners totals still reach {alone}: the check above is too weak");
}
