//! Fleets of real decisions before one counter that bears so many calls a second, with turns and without, with views of the
//! fleet by a roll call and without: what of each account's quota is let through, beyond it, and refused with room left;
//! and after each send the sums that bind all together, ceilings and what a cold worker bears. Time is virtual, a seed is
//! one run.
#![allow(dead_code)]

use fastrand::Rng;
use hingestage_fleet::roll_call::RollCall;
use hingestage_policy::*;
use hingestage_shares::{Lease, LeaseConfig, Voter};
use hingestage_turns::desk::{Desk, Do, Found};
use hingestage_turns::post::{Ending, Post, Route, Word};
use hingestage_turns::word::{Said, Told};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const START: Micros = 1_000 * S;
/// A call to the counter ends after this time.
const WAIT: Micros = 50 * MS;
/// One way between any two.
const WAY: Micros = 400;
/// Time of a request at a worker of one core.
const WORK: Micros = 50 * MS;
/// How often decisions and desks are woken.
const LOOK: Micros = 5 * MS;

/// What a fleet is.
#[derive(Clone, Debug)]
pub struct Scene {
    pub gateways: u32,
    pub accounts: usize,
    /// Units a second that each account's quota allows, and its store.
    pub quota: (f64, f64),
    /// What an account asks for on the mean, as a multiple of its quota; every fifth asks for three times it.
    pub asks: f64,
    /// Calls a second that the counter bears.
    pub bears: f64,
    pub seconds: u64,
    /// Gateways that are killed, from when on, and when they are back; their clients go to the others.
    pub killed: Vec<(Vec<u32>, Micros, Micros)>,
    /// Of how many workers, and which start anew when.
    pub workers: u64,
    pub restarts: Vec<(u64, Micros)>,
    /// Gateways that can't reach the counter, from when to when.
    pub cut: (Vec<u32>, Micros, Micros),
    /// Whether gateways go by views of the fleet.
    pub views: bool,
    /// Whether every fourth account has a ceiling in place of a quota, and floods.
    pub ceilings: bool,
    /// A defect: who holds goes by whom it hears itself, and not by whom its voters list.
    pub own_views: bool,
    /// From when to when the counter is silent.
    pub silent: (Micros, Micros),
    pub seed: u64,
}

impl Scene {
    pub fn of(gateways: u32) -> Scene {
        Scene {
            gateways,
            accounts: 40,
            quota: (8.0, 16.0),
            asks: 0.7,
            bears: 12.0 * f64::from(gateways),
            seconds: 20,
            killed: Vec::new(),
            workers: 10,
            restarts: Vec::new(),
            cut: (Vec::new(), 0, 0),
            views: false,
            ceilings: false,
            own_views: false,
            silent: (0, 0),
            seed: 1,
        }
    }
}

/// What became of it, in units.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub asked: f64,
    /// Sent on, and what of it was beyond the quota.
    pub sent: f64,
    pub beyond: f64,
    /// Refused though the quota had room for it, and though more than half of its store was full.
    pub wronged: f64,
    pub half_unused: f64,
    /// How far the worst account went below nothing of its ceiling.
    pub below: f64,
    /// The most that a cold worker was sent, as a part of what topples it.
    pub toppled: f64,
    /// What gateways would have sent on within quotas, and beyond, that see each other's sends half a second late.
    pub late: (f64, f64),
    /// Calls that the counter had, and words among gateways.
    pub calls: u64,
    pub words: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Asker {
    Own(usize),
    Word(usize, usize),
}

struct Gateway {
    keeper: Gatekeeper,
    life: u32,
    up: bool,
    post: Post,
    desk: Desk<Asker>,
    roll: RollCall,
    lease: Lease,
    view: Option<LeaseView>,
}

/// For whom the counter is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum For {
    Decisions,
    Desk,
    Roll,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Ask(usize),
    Look(usize),
    Done(usize, u32, String),
    Word(usize),
    Answered(usize),
    GivenUp(usize),
    Counter(usize, u32, For, usize),
    Counted(usize, u32, For, usize, Option<u64>),
    Killed(usize, bool),
    Restarts(u64),
}

struct Passing {
    from: (usize, u32),
    to: usize,
    told: Vec<Told>,
    said: Vec<Option<Said>>,
    over: bool,
}

struct Account {
    level: f64,
    at: Micros,
    ceiling: f64,
    /// The store as gateways that see late make it, what it is in truth, and what others do not see yet: when, whose.
    late: f64,
    late_truth: f64,
    unseen: VecDeque<(Micros, usize, f64)>,
}

/// A worker that has started in the run, and what it was sent since.
#[derive(Default)]
struct Cold {
    started: Micros,
    sent: VecDeque<Micros>,
}

/// Rate, store and slack of the ceiling of every fourth account, as multiples of its quota, and units.
const CEILING: (f64, f64, f64) = (1.5, 2.0, 4.0);
/// A new worker's least part of its capacity, and how long it takes to be warm.
const WARMS: (f64, Micros) = (0.2, 10 * S);
/// What topples a cold worker: this multiple of its capacity, over this time.
const FALLS: (f64, Micros) = (2.0, S);

pub struct Fleet {
    scene: Scene,
    turns: bool,
    rng: Rng,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Ev)>>,
    gateways: Vec<Gateway>,
    accounts: Vec<Account>,
    cold: BTreeMap<u64, Cold>,
    /// Calls on their way: name, amount, time to keep.
    calls: Vec<Told>,
    words: Vec<Passing>,
    totals: BTreeMap<String, f64>,
    /// When the counter is through with what it has.
    busy_until: f64,
    named: u64,
    open: BTreeMap<String, (usize, usize, f64)>,
    pub sum: Sum,
}

fn settings(scene: &Scene, me: u32) -> Settings {
    let (rate, burst) = scene.quota;
    let usual = Plan { rate, burst, over_quota_cost: 1.0, ..Plan::default() };
    let ceiling = Plan {
        ceiling_rate: CEILING.0 * rate,
        ceiling_burst: CEILING.1 * burst,
        ceiling_slack: CEILING.2,
        // Beyond the quota it earns all: the ceiling alone holds it.
        over_quota_value: 1.0,
        over_quota_cost: 0.0,
        ..usual.clone()
    };
    Settings {
        instances: scene.gateways,
        me,
        resolution: MS,
        counter: true,
        counter_timeout: WAIT,
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
            cancel: false,
            max_retry_after: S,
            max_retry_budget: 0.0,
            refusals_promise: false,
        },
        rules: WarmUpRules {
            initial_capacity: WARMS.0,
            warm_up_time: WARMS.1,
            overload_multiple: FALLS.0,
            overload_window: FALLS.1,
        },
        ..Settings::default()
    }
}

impl Fleet {
    pub fn play(scene: &Scene, turns: bool) -> Sum {
        let rng = Rng::with_seed(scene.seed);
        let account = |_| Account {
            level: scene.quota.1,
            at: START,
            ceiling: CEILING.1 * scene.quota.1,
            late: scene.quota.1,
            late_truth: scene.quota.1,
            unseen: VecDeque::new(),
        };
        let accounts = (0..scene.accounts).map(account).collect();
        let mut fleet = Fleet {
            scene: scene.clone(),
            turns,
            rng,
            now: START,
            order: 0,
            events: BinaryHeap::new(),
            gateways: Vec::new(),
            accounts,
            cold: BTreeMap::new(),
            calls: Vec::new(),
            words: Vec::new(),
            totals: BTreeMap::new(),
            busy_until: START as f64,
            named: 0,
            open: BTreeMap::new(),
            sum: Sum::default(),
        };
        fleet.gateways = (0..scene.gateways).map(|me| fleet.fresh(me, 0)).collect();
        for account in 0..scene.accounts {
            fleet.next_ask(account);
        }
        for gateway in 0..scene.gateways as usize {
            let spread = fleet.rng.u64(..LOOK);
            fleet.after(spread, Ev::Look(gateway));
        }
        for (n, (_, from, until)) in scene.killed.iter().enumerate() {
            fleet.after(*from, Ev::Killed(n, true));
            fleet.after(*until, Ev::Killed(n, false));
        }
        for (worker, at) in &scene.restarts {
            fleet.after(*at, Ev::Restarts(*worker));
        }
        let end = START + scene.seconds * S;
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.step(event);
        }
        fleet.sum
    }

    fn fresh(&self, me: u32, life: u32) -> Gateway {
        let seed = self.scene.seed * 1_000 + u64::from(me) + u64::from(life) * 77;
        let mut keeper = Gatekeeper::new(settings(&self.scene, me), seed, self.now);
        let workers = (1..=self.scene.workers).map(|id| self.listed(id)).collect();
        let list = WorkerList { scope: ListScope::Full, workers };
        keeper.handle(self.now, Event::Workers(list), &mut Vec::new());
        let post = Post::new(me, 0..self.scene.gateways);
        let n = self.scene.gateways;
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
        let (desk, lease) = (Desk::new(n, WAIT), Lease::new(me, config));
        Gateway { keeper, life, up: true, post, desk, roll, lease, view: None }
    }

    fn listed(&self, id: u64) -> WorkerInfo {
        let started = self.cold.get(&id).map(|cold| cold.started);
        WorkerInfo { started, hash: fnv(&id.to_le_bytes()), ..WorkerInfo::ready(WorkerId(id)) }
    }

    /// A worker starts anew, and all that live are told at once.
    fn restarts(&mut self, id: u64) {
        self.cold.insert(id, Cold { started: self.now, sent: VecDeque::new() });
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].up {
                let list = WorkerList { scope: ListScope::Delta, workers: vec![self.listed(id)] };
                self.feed(gateway, Event::Workers(list));
            }
        }
    }

    /// Calls the roll, and tells the decisions of a new view. Nothing is heard of others but by the roll.
    fn look_round(&mut self, by: usize) {
        if !self.scene.views {
            return;
        }
        for call in self.gateways[by].roll.due_calls(self.now) {
            let told = Told { name: call.name, amount: call.amount, keep_ms: call.keep / 1_000 };
            self.call(by, told, For::Roll);
        }
        let unheard: BTreeSet<u32> = (0..self.scene.gateways).collect();
        let mut view = self.gateways[by].lease.view(self.now, &unheard);
        if self.scene.own_views {
            let absent = unheard.into_iter().filter(|g| *g != by as u32).collect();
            view = LeaseView { absent, ..view };
        }
        if self.gateways[by].view.replace(view.clone()) != Some(view.clone()) {
            self.feed(by, Event::Fleet(view));
        }
    }

    fn after(&mut self, span: Micros, event: Ev) {
        self.order += 1;
        self.events.push(Reverse((self.now + span, self.order, event)));
    }

    /// Requests come in clumps: a few at once, then a pause.
    fn next_ask(&mut self, account: usize) {
        let floods = account.is_multiple_of(5) || self.ceiling(account);
        let asks = if floods { 3.0 } else { self.scene.asks };
        let mean = 2.0 / (asks * self.scene.quota.0) * 1e6;
        let clump = self.rng.u32(..3) > 0;
        let span = -self.rng.f64().max(1e-9).ln() * if clump { mean * 0.3 } else { mean * 2.4 };
        self.after(span as Micros, Ev::Ask(account));
    }

    fn step(&mut self, event: Ev) {
        match event {
            Ev::Ask(account) => {
                self.ask(account);
                self.next_ask(account);
            }
            Ev::Look(gateway) => {
                if self.gateways[gateway].up {
                    self.look_round(gateway);
                    self.feed(gateway, Event::Timer(TimerToken(0)));
                    let mut wanted = Vec::new();
                    self.gateways[gateway].desk.due(self.now, &mut wanted);
                    self.carry_out(gateway, wanted);
                }
                self.after(LOOK, Ev::Look(gateway));
            }
            Ev::Done(gateway, life, request) => {
                if self.lives(gateway, life) {
                    let done = AttemptDone {
                        request: RequestId(request),
                        attempt: 0,
                        outcome: Outcome::Ok,
                        latency: WORK,
                        closed: true,
                        true_units: None,
                    };
                    self.feed(gateway, Event::AttemptDone(done));
                }
            }
            Ev::Word(word) => self.arrives(word),
            Ev::Answered(word) => {
                let said = self.words[word].said.iter().flatten().copied().collect();
                self.word_ended(word, Word::Answered(said));
            }
            Ev::GivenUp(word) => self.word_ended(word, Word::Unanswered),
            Ev::Counter(by, life, own, call) => self.at_counter(by, life, own, call),
            Ev::Counted(by, life, own, call, total) => self.counted(by, life, own, call, total),
            Ev::Killed(which, down) => self.kill(which, down),
            Ev::Restarts(worker) => self.restarts(worker),
        }
    }

    fn kill(&mut self, which: usize, down: bool) {
        for gateway in self.scene.killed[which].0.clone() {
            let life = self.gateways[gateway as usize].life + 1;
            self.gateways[gateway as usize] = self.fresh(gateway, life);
            self.gateways[gateway as usize].up = !down;
        }
    }

    fn lives(&self, gateway: usize, life: u32) -> bool {
        self.gateways[gateway].up && self.gateways[gateway].life == life
    }

    /// Whether an account's plan has a ceiling, and no quota that it is held to.
    fn ceiling(&self, account: usize) -> bool {
        self.scene.ceilings && account.is_multiple_of(4)
    }

    fn ask(&mut self, account: usize) {
        let up: Vec<usize> = (0..self.gateways.len()).filter(|g| self.gateways[*g].up).collect();
        if up.is_empty() {
            return;
        }
        let gateway = up[self.rng.usize(..up.len())];
        let units = 1.0 + self.rng.u64(..3) as f64;
        self.named += 1;
        let id = format!("{}", self.named);
        self.sum.asked += if self.ceiling(account) { 0.0 } else { units };
        self.open.insert(id.clone(), (account, gateway, units));
        self.feed(
            gateway,
            Event::Request(Request {
                id: RequestId(id),
                customer: CustomerId(format!("acc{account}")),
                class: Some(ClassId(0)),
                plan: Some(PlanId(usize::from(self.ceiling(account)))),
                units,
                gateways: self.scene.gateways,
                first: 0,
                time_left: 2 * S,
            }),
        );
    }

    fn feed(&mut self, gateway: usize, event: Event) {
        let mut out = Vec::new();
        self.gateways[gateway].keeper.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, worker, .. } => {
                    self.judge(&request.0, true);
                    self.judge_cold(worker.0);
                    let life = self.gateways[gateway].life;
                    self.after(WORK, Ev::Done(gateway, life, request.0));
                }
                Action::Refuse { request, .. } | Action::Fail(request) => self.judge(&request.0, false),
                Action::Count { name, amount, keep } => {
                    let told = Told { name: name.0, amount, keep_ms: keep / 1_000 };
                    self.count(gateway, told);
                }
                _ => {}
            }
        }
    }

    /// One store for each account, with sight of all.
    fn judge(&mut self, request: &str, sent: bool) {
        let Some((account, gateway, units)) = self.open.remove(request) else { return };
        if self.ceiling(account) {
            return if sent {
                self.judge_ceiling(account, units)
            };
        }
        let (rate, burst) = self.scene.quota;
        let store = &mut self.accounts[account];
        store.level = (store.level + rate * (self.now - store.at) as f64 / 1e6).min(burst);
        let before = std::mem::replace(&mut store.at, self.now);
        let filled = rate * (self.now - before) as f64 / 1e6;
        self.sum.late = see_late(store, burst, filled, (self.now, gateway, units), self.sum.late);
        if sent {
            self.sum.sent += units;
            // What goes beyond is not taken from what may come within.
            let within = units.min(store.level.max(0.0));
            self.sum.beyond += units - within;
            store.level -= within;
        } else if store.level >= units {
            self.sum.wronged += units;
            self.sum.half_unused += if store.level > burst / 2.0 { units } else { 0.0 };
        }
    }

    fn judge_ceiling(&mut self, account: usize, units: f64) {
        let (rate, burst) = self.scene.quota;
        let store = &mut self.accounts[account];
        let span = self.now - std::mem::replace(&mut store.at, self.now);
        let filled = CEILING.0 * rate * span as f64 / 1e6;
        store.ceiling = (store.ceiling + filled).min(CEILING.1 * burst) - units;
        self.sum.below = self.sum.below.max(-store.ceiling);
    }

    /// A cold worker's sends of the last while, against what topples it.
    fn judge_cold(&mut self, worker: u64) {
        let Some(cold) = self.cold.get_mut(&worker) else { return };
        let age = self.now - cold.started;
        if age >= WARMS.1 {
            return;
        }
        cold.sent.push_back(self.now);
        while cold.sent.front().is_some_and(|at| at + FALLS.1 <= self.now) {
            cold.sent.pop_front();
        }
        let capacity = 1e6 / WORK as f64 * (WARMS.0 + (1.0 - WARMS.0) * age as f64 / WARMS.1 as f64);
        let may = capacity * FALLS.0 * FALLS.1 as f64 / 1e6;
        let topples = may + 3.0 * may.sqrt() + 3.0;
        self.sum.toppled = self.sum.toppled.max(cold.sent.len() as f64 / topples);
    }

    fn count(&mut self, by: usize, told: Told) {
        if !self.turns {
            return self.call(by, told, For::Decisions);
        }
        let up: Vec<bool> = self.gateways.iter().map(|g| g.up).collect();
        let route = self.gateways[by].post.route(self.now, &told, |g| up[g as usize]);
        match route {
            Route::Counter => self.call(by, told, For::Decisions),
            Route::To(to) => self.send_words(by, to as usize),
            Route::Here => {
                self.calls.push(told.clone());
                let asker = Asker::Own(self.calls.len() - 1);
                match self.gateways[by].desk.told(self.now, asker, &told) {
                    Found::Total(total) => self.own(by, told.name, CounterOutcome::Total(total)),
                    Found::Later => {}
                    Found::Elsewhere => self.call(by, told, For::Decisions),
                }
            }
        }
    }

    fn own(&mut self, by: usize, name: String, outcome: CounterOutcome) {
        self.feed(by, Event::Counter { name: CounterName(name), outcome });
    }

    fn send_words(&mut self, by: usize, to: usize) {
        while let Some(told) = self.gateways[by].post.word(to as u32) {
            let (from, said) = ((by, self.gateways[by].life), vec![None; told.len()]);
            self.words.push(Passing { from, to, told, said, over: false });
            self.sum.words += 1;
            let word = self.words.len() - 1;
            if self.gateways[to].up {
                self.after(WAY, Ev::Word(word));
                self.after(WAIT, Ev::GivenUp(word));
            } else {
                self.word_ended(word, Word::NeverSent);
            }
        }
    }

    fn arrives(&mut self, word: usize) {
        let to = self.words[word].to;
        if !self.gateways[to].up {
            return;
        }
        for (place, told) in self.words[word].told.clone().iter().enumerate() {
            match self.gateways[to].desk.told(self.now, Asker::Word(word, place), told) {
                Found::Total(total) => self.say(word, place, Said::Total(total)),
                Found::Later => {}
                Found::Elsewhere => self.say(word, place, Said::Elsewhere),
            }
        }
    }

    fn say(&mut self, word: usize, place: usize, said: Said) {
        self.words[word].said[place] = Some(said);
        if self.words[word].said.iter().all(Option::is_some) {
            self.after(WAY, Ev::Answered(word));
        }
    }

    fn word_ended(&mut self, word: usize, how: Word) {
        let ((from, life), to) = (self.words[word].from, self.words[word].to);
        if std::mem::replace(&mut self.words[word].over, true) || !self.lives(from, life) {
            return;
        }
        let told = std::mem::take(&mut self.words[word].told);
        for (told, ending) in self.gateways[from].post.ended(self.now, to as u32, told, how) {
            match ending {
                Ending::Total(total) => self.own(from, told.name, CounterOutcome::Total(total)),
                Ending::Timeout => self.own(from, told.name, CounterOutcome::Timeout),
                Ending::Counter => self.call(from, told, For::Decisions),
            }
        }
        self.send_words(from, to);
    }

    fn call(&mut self, by: usize, told: Told, own: For) {
        self.calls.push(told);
        let (life, call) = (self.gateways[by].life, self.calls.len() - 1);
        self.after(WAY, Ev::Counter(by, life, own, call));
    }

    /// The counter takes calls in their order; one that would wait for too long is turned away.
    fn at_counter(&mut self, by: usize, life: u32, own: For, call: usize) {
        let since = self.now - START;
        let (cut, from, until) = &self.scene.cut;
        if cut.contains(&(by as u32)) && (*from..*until).contains(&since) {
            return self.after(WAIT, Ev::Counted(by, life, own, call, None));
        }
        self.sum.calls += 1;
        if (self.scene.silent.0..self.scene.silent.1).contains(&since) {
            return self.after(WAIT, Ev::Counted(by, life, own, call, None));
        }
        let now = self.now as f64;
        self.busy_until = self.busy_until.max(now) + 1e6 / self.scene.bears;
        let waits = (self.busy_until - now) as Micros;
        let told = &self.calls[call];
        let total = self.totals.entry(told.name.clone()).or_default();
        *total += told.amount;
        let total = total.to_bits();
        match waits > WAIT {
            // It comes to be added, and its answer comes too late.
            true => {
                self.busy_until = self.busy_until.min(now + 2.0 * WAIT as f64);
                self.after(WAIT, Ev::Counted(by, life, own, call, None));
            }
            false => self.after(waits + WAY, Ev::Counted(by, life, own, call, Some(total))),
        }
    }

    fn counted(&mut self, by: usize, life: u32, own: For, call: usize, total: Option<u64>) {
        if !self.lives(by, life) {
            return;
        }
        let outcome =
            total.map_or(CounterOutcome::Timeout, |bits| CounterOutcome::Total(f64::from_bits(bits)));
        let name = self.calls[call].name.clone();
        match own {
            For::Decisions => return self.own(by, name, outcome),
            For::Roll => {
                let gateway = &mut self.gateways[by];
                if let Some(found) = gateway.roll.handle_answer(&name, total.map(f64::from_bits)) {
                    gateway.lease.record_ack(self.now, Voter::Counter, found.issued, found.absent);
                }
                return;
            }
            For::Desk => {}
        }
        let mut wanted = Vec::new();
        self.gateways[by].desk.counted(self.now, &name, outcome, &mut wanted);
        self.carry_out(by, wanted);
    }

    fn carry_out(&mut self, by: usize, wanted: Vec<Do<Asker>>) {
        for one in wanted {
            match one {
                Do::Count { name, amount, keep_ms } => {
                    self.call(by, Told { name, amount, keep_ms }, For::Desk)
                }
                Do::Say(Asker::Own(call), total) => {
                    let name = self.calls[call].name.clone();
                    self.own(by, name, CounterOutcome::Total(total));
                }
                Do::Say(Asker::Word(word, place), total) => self.say(word, place, Said::Total(total)),
            }
        }
    }
}

/// Gateways that each see their own sends at once and those of others half a second late: what they send on within
/// quotas and beyond.
fn see_late(
    store: &mut Account,
    burst: f64,
    filled: f64,
    (now, gateway, units): (Micros, usize, f64),
    (within, beyond): (f64, f64),
) -> (f64, f64) {
    store.late = (store.late + filled).min(burst);
    store.late_truth = (store.late_truth + filled).min(burst);
    while store.unseen.front().is_some_and(|(at, ..)| *at + S / 2 <= now) {
        store.late -= store.unseen.pop_front().map_or(0.0, |(.., units)| units);
    }
    let own: f64 = store.unseen.iter().filter(|(_, of, _)| *of == gateway).map(|(.., units)| units).sum();
    if store.late - own < units {
        return (within, beyond);
    }
    store.unseen.push_back((now, gateway, units));
    let inside = units.min(store.late_truth.max(0.0));
    store.late_truth -= inside;
    (within + inside, beyond + units - inside)
}
