//! Simulation of a fleet of gatekeepers with a shared counter of bounded capacity, on a virtual clock.
//!
//! Measures how much of each account's quota is served, exceeded or wrongly refused, and the fleet-wide sums for
//! ceilings and cold workers. Runs are deterministic for a seed.
#![allow(dead_code)]

use fastrand::Rng;
use hingestage_counter_aggregation::aggregator::{AddResult, Aggregator, Command};
use hingestage_counter_aggregation::forwarder::{BatchOutcome, CallOutcome, Forwarder, Route};
use hingestage_counter_aggregation::message::{Increment, Reply};
use hingestage_fleet::roll_call::RollCall;
use hingestage_policy::*;
use hingestage_shares::{Lease, LeaseConfig, Voter};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const START: Micros = 1_000 * S;
/// Timeout of a call to the counter.
const TIMEOUT: Micros = 50 * MS;
/// One-way network latency.
const LATENCY: Micros = 400;
/// Service time of a request at a worker of one core.
const SERVICE_TIME: Micros = 50 * MS;
/// Interval between polls of gatekeepers and aggregators.
const POLL_INTERVAL: Micros = 5 * MS;

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub gateways: u32,
    pub accounts: usize,
    /// Quota of each account: units per second, and burst.
    pub quota: (f64, f64),
    /// Mean demand of an account, as a multiple of its quota; every fifth account asks for three times its quota.
    pub demand: f64,
    /// Capacity of the counter, calls per second.
    pub counter_capacity: f64,
    pub seconds: u64,
    /// Gateways that are down: which, from when and until when. Their clients use the others.
    pub outages: Vec<(Vec<u32>, Micros, Micros)>,
    /// Number of workers, and which of them restart when.
    pub workers: u64,
    pub restarts: Vec<(u64, Micros)>,
    /// Gateways that can't reach the counter, from when, and until when.
    pub counter_partition: (Vec<u32>, Micros, Micros),
    /// Whether gateways use fleet views.
    pub views: bool,
    /// Whether every fourth account has a ceiling in place of a quota, and floods.
    pub ceilings: bool,
    /// Injected fault: a lease holder uses its own view in place of its voters'.
    pub fault_own_views: bool,
    /// When the counter does not reply: from and until.
    pub counter_outage: (Micros, Micros),
    pub seed: u64,
}

impl Scenario {
    pub fn of(gateways: u32) -> Scenario {
        Scenario {
            gateways,
            accounts: 40,
            quota: (8.0, 16.0),
            demand: 0.7,
            counter_capacity: 12.0 * f64::from(gateways),
            seconds: 20,
            outages: Vec::new(),
            workers: 10,
            restarts: Vec::new(),
            counter_partition: (Vec::new(), 0, 0),
            views: false,
            ceilings: false,
            fault_own_views: false,
            counter_outage: (0, 0),
            seed: 1,
        }
    }
}

/// Results, in units.
#[derive(Clone, Copy, Debug, Default)]
pub struct Metrics {
    pub requested: f64,
    /// Units forwarded, and those of them beyond the quota.
    pub sent: f64,
    pub over_quota: f64,
    /// Units refused although the quota had room, and although more than half of the burst was unused.
    pub wrongly_refused: f64,
    pub refused_half_unused: f64,
    /// Largest overdraft of an account's ceiling.
    pub ceiling_overdraft: f64,
    /// Largest load of a cold worker, as a fraction of the load that overloads it.
    pub cold_overload: f64,
    /// Units that a policy would forward within and beyond quotas if gateways saw each other's sends half a second
    /// late.
    pub delayed_reference: (f64, f64),
    /// Calls to the counter, and batches between gateways.
    pub calls: u64,
    pub batches: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Requester {
    Local(usize),
    Batch(usize, usize),
}

struct Gateway {
    gatekeeper: Gatekeeper,
    incarnation: u32,
    up: bool,
    forwarder: Forwarder,
    aggregator: Aggregator<Requester>,
    roll: RollCall,
    lease: Lease,
    view: Option<LeaseView>,
}

/// The component that called the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    Decisions,
    Aggregator,
    Roll,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Request(usize),
    Poll(usize),
    Done(usize, u32, String),
    BatchArrives(usize),
    BatchReplied(usize),
    BatchTimeout(usize),
    Counter(usize, u32, Caller, usize),
    Counted(usize, u32, Caller, usize, Option<u64>),
    Outage(usize, bool),
    WorkerRestart(u64),
}

struct BatchInFlight {
    from: (usize, u32),
    to: usize,
    increments: Vec<Increment>,
    replies: Vec<Option<Reply>>,
    finished: bool,
}

struct Account {
    level: f64,
    at: Micros,
    ceiling: f64,
    /// Reference policy with delayed sight: its view of the bucket, the true level, and sends not yet seen by others
    /// (time, gateway, units).
    delayed_level: f64,
    delayed_true_level: f64,
    undelivered: VecDeque<(Micros, usize, f64)>,
}

/// A worker that restarted during the run, and the times of the requests sent to it since.
#[derive(Default)]
struct Cold {
    started: Micros,
    sent: VecDeque<Micros>,
}

/// Ceiling rate of every fourth account, as a multiple of its quota's rate.
const CEILING_RATE: f64 = 1.5;
/// Ceiling burst, as a multiple of the quota's burst.
const CEILING_BURST: f64 = 2.0;
/// Ceiling slack, units.
const CEILING_SLACK: f64 = 4.0;
/// Capacity of a worker at its start, as a fraction of the whole.
const COLD_FRACTION: f64 = 0.2;
/// Warm-up time of a worker.
const WARM_UP: Micros = 10 * S;
/// Multiple of its capacity that overloads a cold worker.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Time over which the overload is measured.
const OVERLOAD_WINDOW: Micros = S;

pub struct Fleet {
    scenario: Scenario,
    turns: bool,
    rng: Rng,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    gateways: Vec<Gateway>,
    accounts: Vec<Account>,
    cold: BTreeMap<u64, Cold>,
    /// Counter calls by index: name, amount and time to live.
    calls: Vec<Increment>,
    batches: Vec<BatchInFlight>,
    totals: BTreeMap<String, f64>,
    /// When the counter has worked off its queue.
    counter_busy_until: f64,
    last_request_id: u64,
    open: BTreeMap<String, (usize, usize, f64)>,
    pub metrics: Metrics,
}

fn settings(scenario: &Scenario, me: u32) -> Settings {
    let (rate, burst) = scenario.quota;
    let usual = Plan { rate, burst, over_quota_cost: 1.0, ..Plan::default() };
    let ceiling = Plan {
        ceiling_rate: CEILING_RATE * rate,
        ceiling_burst: CEILING_BURST * burst,
        ceiling_slack: CEILING_SLACK,
        // Requests beyond the quota earn their full value: only the ceiling limits them.
        over_quota_value: 1.0,
        over_quota_cost: 0.0,
        ..usual.clone()
    };
    Settings {
        instances: scenario.gateways,
        me,
        resolution: MS,
        counter: true,
        counter_timeout: TIMEOUT,
        max_units: 4.0,
        classes: vec![Class {
            aim: 500 * MS,
            deadline: 2 * S,
            effect: Effect::Idempotent,
            ..Class::default()
        }],
        plans: vec![usual, ceiling],
        limits: Limits {
            max_attempts: 2,
            second_copies: false,
            hedge: false,
            cancel: false,
            max_retry_after: S,
            max_retry_budget: 0.0,
            refusals_promise: false,
        },
        rules: WarmUpRules {
            initial_capacity: COLD_FRACTION,
            warm_up_time: WARM_UP,
            overload_multiple: OVERLOAD_FACTOR,
            overload_window: OVERLOAD_WINDOW,
        },
        ..Settings::default()
    }
}

impl Fleet {
    pub fn play(scenario: &Scenario, turns: bool) -> Metrics {
        let rng = Rng::with_seed(scenario.seed);
        let account = |_| Account {
            level: scenario.quota.1,
            at: START,
            ceiling: CEILING_BURST * scenario.quota.1,
            delayed_level: scenario.quota.1,
            delayed_true_level: scenario.quota.1,
            undelivered: VecDeque::new(),
        };
        let accounts = (0..scenario.accounts).map(account).collect();
        let mut fleet = Fleet {
            scenario: scenario.clone(),
            turns,
            rng,
            now: START,
            order: 0,
            events: BinaryHeap::new(),
            gateways: Vec::new(),
            accounts,
            cold: BTreeMap::new(),
            calls: Vec::new(),
            batches: Vec::new(),
            totals: BTreeMap::new(),
            counter_busy_until: START as f64,
            last_request_id: 0,
            open: BTreeMap::new(),
            metrics: Metrics::default(),
        };
        fleet.gateways = (0..scenario.gateways).map(|me| fleet.new_gateway(me, 0)).collect();
        for account in 0..scenario.accounts {
            fleet.schedule_request(account);
        }
        for gateway in 0..scenario.gateways as usize {
            let spread = fleet.rng.u64(..POLL_INTERVAL);
            fleet.after(spread, SimEvent::Poll(gateway));
        }
        for (n, (_, from, until)) in scenario.outages.iter().enumerate() {
            fleet.after(*from, SimEvent::Outage(n, true));
            fleet.after(*until, SimEvent::Outage(n, false));
        }
        for (worker, at) in &scenario.restarts {
            fleet.after(*at, SimEvent::WorkerRestart(*worker));
        }
        let end = START + scenario.seconds * S;
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.step(event);
        }
        fleet.metrics
    }

    fn new_gateway(&self, me: u32, incarnation: u32) -> Gateway {
        let seed = self.scenario.seed * 1_000 + u64::from(me) + u64::from(incarnation) * 77;
        let mut gatekeeper = Gatekeeper::new(settings(&self.scenario, me), seed, self.now);
        let workers = (1..=self.scenario.workers).map(|id| self.listed(id)).collect();
        let list = WorkerList { scope: ListScope::Full, workers };
        gatekeeper.handle(self.now, Event::Workers(list), &mut Vec::new());
        let forwarder = Forwarder::new(me, 0..self.scenario.gateways);
        let n = self.scenario.gateways;
        let roll = RollCall::new(me, n, self.now);
        let scale = roll.slot_length() / S;
        let config = LeaseConfig {
            gateways: n,
            counter_votes: n - 1,
            lease: 18 * S / 10 * scale,
            absence_timeout: 2 * S * scale,
            warm_up: 2 * S * scale,
            reserved_fraction: 0.5,
        };
        let (aggregator, lease) = (Aggregator::new(n, TIMEOUT), Lease::new(me, config));
        Gateway { gatekeeper, incarnation, up: true, forwarder, aggregator, roll, lease, view: None }
    }

    fn listed(&self, id: u64) -> WorkerInfo {
        let started = self.cold.get(&id).map(|cold| cold.started);
        WorkerInfo { started, hash: fnv(&id.to_le_bytes()), ..WorkerInfo::ready(WorkerId(id)) }
    }

    /// Restarts a worker and notifies all live gateways.
    fn restart_worker(&mut self, id: u64) {
        self.cold.insert(id, Cold { started: self.now, sent: VecDeque::new() });
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].up {
                let list = WorkerList { scope: ListScope::Delta, workers: vec![self.listed(id)] };
                self.handle_event(gateway, Event::Workers(list));
            }
        }
    }

    /// Marks the roll at the counter and feeds changed views to the gatekeeper. Gateways see each other only by the
    /// roll.
    fn update_view(&mut self, by: usize) {
        if !self.scenario.views {
            return;
        }
        for call in self.gateways[by].roll.due_calls(self.now) {
            let increment = Increment { name: call.name, amount: call.amount, ttl_ms: call.keep / 1_000 };
            self.call(by, increment, Caller::Roll);
        }
        let unheard: BTreeSet<u32> = (0..self.scenario.gateways).collect();
        let mut view = self.gateways[by].lease.view(self.now, &unheard);
        if self.scenario.fault_own_views {
            let absent = unheard.into_iter().filter(|g| *g != by as u32).collect();
            view = LeaseView { absent, ..view };
        }
        if self.gateways[by].view.replace(view.clone()) != Some(view.clone()) {
            self.handle_event(by, Event::Fleet(view));
        }
    }

    fn after(&mut self, span: Micros, event: SimEvent) {
        self.order += 1;
        self.events.push(Reverse((self.now + span, self.order, event)));
    }

    /// Schedules an account's next request; requests come in bursts.
    fn schedule_request(&mut self, account: usize) {
        let floods = account.is_multiple_of(5) || self.ceiling(account);
        let demand = if floods { 3.0 } else { self.scenario.demand };
        let mean = 2.0 / (demand * self.scenario.quota.0) * 1e6;
        let clump = self.rng.u32(..3) > 0;
        let span = -self.rng.f64().max(1e-9).ln() * if clump { mean * 0.3 } else { mean * 2.4 };
        self.after(span as Micros, SimEvent::Request(account));
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request(account) => {
                self.request(account);
                self.schedule_request(account);
            }
            SimEvent::Poll(gateway) => {
                if self.gateways[gateway].up {
                    self.update_view(gateway);
                    self.handle_event(gateway, Event::Timer(TimerToken(0)));
                    let mut commands = Vec::new();
                    self.gateways[gateway].aggregator.poll(self.now, &mut commands);
                    self.run_commands(gateway, commands);
                }
                self.after(POLL_INTERVAL, SimEvent::Poll(gateway));
            }
            SimEvent::Done(gateway, incarnation, request) => {
                if self.is_incarnation(gateway, incarnation) {
                    let done = AttemptDone {
                        request: RequestId(request),
                        attempt: 0,
                        outcome: Outcome::Ok,
                        latency: SERVICE_TIME,
                        closed: true,
                        true_units: None,
                    };
                    self.handle_event(gateway, Event::AttemptDone(done));
                }
            }
            SimEvent::BatchArrives(batch) => self.arrives(batch),
            SimEvent::BatchReplied(batch) => {
                let replies = self.batches[batch].replies.iter().flatten().copied().collect();
                self.batch_done(batch, BatchOutcome::Replied(replies));
            }
            SimEvent::BatchTimeout(batch) => self.batch_done(batch, BatchOutcome::NoReply),
            SimEvent::Counter(by, incarnation, caller, call) => {
                self.at_counter(by, incarnation, caller, call)
            }
            SimEvent::Counted(by, incarnation, caller, call, total) => {
                self.counted(by, incarnation, caller, call, total)
            }
            SimEvent::Outage(which, down) => self.kill(which, down),
            SimEvent::WorkerRestart(worker) => self.restart_worker(worker),
        }
    }

    fn kill(&mut self, which: usize, down: bool) {
        for gateway in self.scenario.outages[which].0.clone() {
            let incarnation = self.gateways[gateway as usize].incarnation + 1;
            self.gateways[gateway as usize] = self.new_gateway(gateway, incarnation);
            self.gateways[gateway as usize].up = !down;
        }
    }

    fn is_incarnation(&self, gateway: usize, incarnation: u32) -> bool {
        self.gateways[gateway].up && self.gateways[gateway].incarnation == incarnation
    }

    /// Whether an account's plan has a ceiling in place of a quota.
    fn ceiling(&self, account: usize) -> bool {
        self.scenario.ceilings && account.is_multiple_of(4)
    }

    fn request(&mut self, account: usize) {
        let up: Vec<usize> = (0..self.gateways.len()).filter(|g| self.gateways[*g].up).collect();
        if up.is_empty() {
            return;
        }
        let gateway = up[self.rng.usize(..up.len())];
        let units = 1.0 + self.rng.u64(..3) as f64;
        self.last_request_id += 1;
        let id = format!("{}", self.last_request_id);
        self.metrics.requested += if self.ceiling(account) { 0.0 } else { units };
        self.open.insert(id.clone(), (account, gateway, units));
        self.handle_event(
            gateway,
            Event::Request(Request {
                id: RequestId(id),
                customer: CustomerId(format!("acc{account}")),
                class: Some(ClassId(0)),
                plan: Some(PlanId(usize::from(self.ceiling(account)))),
                units,
                gateways: self.scenario.gateways,
                first: 0,
                time_left: 2 * S,
            }),
        );
    }

    fn handle_event(&mut self, gateway: usize, event: Event) {
        let mut out = Vec::new();
        self.gateways[gateway].gatekeeper.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, worker, .. } => {
                    self.judge_outcome(&request.0, true);
                    self.check_cold_load(worker.0);
                    let incarnation = self.gateways[gateway].incarnation;
                    self.after(SERVICE_TIME, SimEvent::Done(gateway, incarnation, request.0));
                }
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    self.judge_outcome(&request.0, false)
                }
                Action::Count { name, amount, keep } => {
                    let increment = Increment { name: name.0, amount, ttl_ms: keep / 1_000 };
                    self.count(gateway, increment);
                }
                _ => {}
            }
        }
    }

    /// Judges an outcome by one exact token bucket per account.
    fn judge_outcome(&mut self, request: &str, sent: bool) {
        let Some((account, gateway, units)) = self.open.remove(request) else { return };
        if self.ceiling(account) {
            return if sent {
                self.check_ceiling(account, units)
            };
        }
        let (rate, burst) = self.scenario.quota;
        let store = &mut self.accounts[account];
        store.level = (store.level + rate * (self.now - store.at) as f64 / 1e6).min(burst);
        let before = std::mem::replace(&mut store.at, self.now);
        let filled = rate * (self.now - before) as f64 / 1e6;
        self.metrics.delayed_reference = delayed_reference(
            store,
            burst,
            filled,
            (self.now, gateway, units),
            self.metrics.delayed_reference,
        );
        if sent {
            self.metrics.sent += units;
            // Units beyond the quota do not use up tokens.
            let within = units.min(store.level.max(0.0));
            self.metrics.over_quota += units - within;
            store.level -= within;
        } else if store.level >= units {
            self.metrics.wrongly_refused += units;
            self.metrics.refused_half_unused += if store.level > burst / 2.0 { units } else { 0.0 };
        }
    }

    fn check_ceiling(&mut self, account: usize, units: f64) {
        let (rate, burst) = self.scenario.quota;
        let store = &mut self.accounts[account];
        let span = self.now - std::mem::replace(&mut store.at, self.now);
        let filled = CEILING_RATE * rate * span as f64 / 1e6;
        store.ceiling = (store.ceiling + filled).min(CEILING_BURST * burst) - units;
        self.metrics.ceiling_overdraft = self.metrics.ceiling_overdraft.max(-store.ceiling);
    }

    /// Compares a cold worker's recent load with what overloads it.
    fn check_cold_load(&mut self, worker: u64) {
        let Some(cold) = self.cold.get_mut(&worker) else { return };
        let age = self.now - cold.started;
        if age >= WARM_UP {
            return;
        }
        cold.sent.push_back(self.now);
        while cold.sent.front().is_some_and(|at| at + OVERLOAD_WINDOW <= self.now) {
            cold.sent.pop_front();
        }
        let capacity =
            1e6 / SERVICE_TIME as f64 * (COLD_FRACTION + (1.0 - COLD_FRACTION) * age as f64 / WARM_UP as f64);
        let allowed = capacity * OVERLOAD_FACTOR * OVERLOAD_WINDOW as f64 / 1e6;
        let overload = allowed + 3.0 * allowed.sqrt() + 3.0;
        self.metrics.cold_overload = self.metrics.cold_overload.max(cold.sent.len() as f64 / overload);
    }

    fn count(&mut self, by: usize, increment: Increment) {
        if !self.turns {
            return self.call(by, increment, Caller::Decisions);
        }
        let up: Vec<bool> = self.gateways.iter().map(|g| g.up).collect();
        let route = self.gateways[by].forwarder.route(self.now, &increment, |g| up[g as usize]);
        match route {
            Route::Counter => self.call(by, increment, Caller::Decisions),
            Route::Peer(to) => self.send_batches(by, to as usize),
            Route::Local => {
                self.calls.push(increment.clone());
                let requester = Requester::Local(self.calls.len() - 1);
                match self.gateways[by].aggregator.add(self.now, requester, &increment) {
                    AddResult::Total(total) => self.deliver(by, increment.name, CounterOutcome::Total(total)),
                    AddResult::Pending => {}
                    AddResult::Declined => self.call(by, increment, Caller::Decisions),
                }
            }
        }
    }

    fn deliver(&mut self, by: usize, name: String, outcome: CounterOutcome) {
        self.handle_event(by, Event::Counter { name: CounterName(name), outcome });
    }

    fn send_batches(&mut self, by: usize, to: usize) {
        while let Some(increments) = self.gateways[by].forwarder.next_batch(to as u32) {
            let (from, replies) = ((by, self.gateways[by].incarnation), vec![None; increments.len()]);
            self.batches.push(BatchInFlight { from, to, increments, replies, finished: false });
            self.metrics.batches += 1;
            let batch = self.batches.len() - 1;
            if self.gateways[to].up {
                self.after(LATENCY, SimEvent::BatchArrives(batch));
                self.after(TIMEOUT, SimEvent::BatchTimeout(batch));
            } else {
                self.batch_done(batch, BatchOutcome::NotSent);
            }
        }
    }

    fn arrives(&mut self, batch: usize) {
        let to = self.batches[batch].to;
        if !self.gateways[to].up {
            return;
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
        self.batches[batch].replies[place] = Some(reply);
        if self.batches[batch].replies.iter().all(Option::is_some) {
            self.after(LATENCY, SimEvent::BatchReplied(batch));
        }
    }

    fn batch_done(&mut self, batch: usize, outcome: BatchOutcome) {
        let ((from, incarnation), to) = (self.batches[batch].from, self.batches[batch].to);
        if std::mem::replace(&mut self.batches[batch].finished, true)
            || !self.is_incarnation(from, incarnation)
        {
            return;
        }
        let increments = std::mem::take(&mut self.batches[batch].increments);
        for (increment, call_outcome) in
            self.gateways[from].forwarder.batch_finished(self.now, to as u32, increments, outcome)
        {
            match call_outcome {
                CallOutcome::Total(total) => self.deliver(from, increment.name, CounterOutcome::Total(total)),
                CallOutcome::Timeout => self.deliver(from, increment.name, CounterOutcome::Timeout),
                CallOutcome::Counter => self.call(from, increment, Caller::Decisions),
            }
        }
        self.send_batches(from, to);
    }

    fn call(&mut self, by: usize, increment: Increment, caller: Caller) {
        self.calls.push(increment);
        let (incarnation, call) = (self.gateways[by].incarnation, self.calls.len() - 1);
        self.after(LATENCY, SimEvent::Counter(by, incarnation, caller, call));
    }

    /// The counter serves calls in order and does not reply to one that would wait past the timeout.
    fn at_counter(&mut self, by: usize, incarnation: u32, caller: Caller, call: usize) {
        let since = self.now - START;
        let (gateways, from, until) = &self.scenario.counter_partition;
        if gateways.contains(&(by as u32)) && (*from..*until).contains(&since) {
            return self.after(TIMEOUT, SimEvent::Counted(by, incarnation, caller, call, None));
        }
        self.metrics.calls += 1;
        if (self.scenario.counter_outage.0..self.scenario.counter_outage.1).contains(&since) {
            return self.after(TIMEOUT, SimEvent::Counted(by, incarnation, caller, call, None));
        }
        let now = self.now as f64;
        self.counter_busy_until = self.counter_busy_until.max(now) + 1e6 / self.scenario.counter_capacity;
        let waits = (self.counter_busy_until - now) as Micros;
        let increment = &self.calls[call];
        let total = self.totals.entry(increment.name.clone()).or_default();
        *total += increment.amount;
        let total = total.to_bits();
        match waits > TIMEOUT {
            // The amount is added, but the reply comes too late.
            true => {
                self.counter_busy_until = self.counter_busy_until.min(now + 2.0 * TIMEOUT as f64);
                self.after(TIMEOUT, SimEvent::Counted(by, incarnation, caller, call, None));
            }
            false => {
                self.after(waits + LATENCY, SimEvent::Counted(by, incarnation, caller, call, Some(total)))
            }
        }
    }

    fn counted(&mut self, by: usize, incarnation: u32, caller: Caller, call: usize, total: Option<u64>) {
        if !self.is_incarnation(by, incarnation) {
            return;
        }
        let outcome =
            total.map_or(CounterOutcome::Timeout, |bits| CounterOutcome::Total(f64::from_bits(bits)));
        let name = self.calls[call].name.clone();
        match caller {
            Caller::Decisions => return self.deliver(by, name, outcome),
            Caller::Roll => {
                let gateway = &mut self.gateways[by];
                if let Some(found) = gateway.roll.handle_answer(&name, total.map(f64::from_bits)) {
                    gateway.lease.record_ack(self.now, Voter::Counter, found.issued, found.absent);
                }
                return;
            }
            Caller::Aggregator => {}
        }
        let mut commands = Vec::new();
        self.gateways[by].aggregator.call_finished(self.now, &name, outcome, &mut commands);
        self.run_commands(by, commands);
    }

    fn run_commands(&mut self, by: usize, commands: Vec<Command<Requester>>) {
        for command in commands {
            match command {
                Command::CallCounter { name, amount, ttl_ms } => {
                    self.call(by, Increment { name, amount, ttl_ms }, Caller::Aggregator)
                }
                Command::Reply(Requester::Local(call), total) => {
                    let name = self.calls[call].name.clone();
                    self.deliver(by, name, CounterOutcome::Total(total));
                }
                Command::Reply(Requester::Batch(batch, place), total) => {
                    self.reply(batch, place, Reply::Total(total))
                }
            }
        }
    }
}

/// Reference policy: gateways see their own sends at once and those of others half a second late. Returns the units
/// forwarded within and beyond quotas.
fn delayed_reference(
    store: &mut Account,
    burst: f64,
    filled: f64,
    (now, gateway, units): (Micros, usize, f64),
    (within, beyond): (f64, f64),
) -> (f64, f64) {
    store.delayed_level = (store.delayed_level + filled).min(burst);
    store.delayed_true_level = (store.delayed_true_level + filled).min(burst);
    while store.undelivered.front().is_some_and(|(at, ..)| *at + S / 2 <= now) {
        store.delayed_level -= store.undelivered.pop_front().map_or(0.0, |(.., units)| units);
    }
    let own: f64 =
        store.undelivered.iter().filter(|(_, of, _)| *of == gateway).map(|(.., units)| units).sum();
    if store.delayed_level - own < units {
        return (within, beyond);
    }
    store.undelivered.push_back((now, gateway, units));
    let inside = units.min(store.delayed_true_level.max(0.0));
    store.delayed_true_level -= inside;
    (within + inside, beyond + units - inside)
}
