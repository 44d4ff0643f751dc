//! The decision module in a small world: one or two requests, two workers, the counter, and everything that
//! may happen to them in any order.

use crate::search::SmallWorld;
use hingestage_policy::*;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Debug, Write};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;
/// Clients wait so long.
const PATIENCE: Micros = 400 * MS;
/// A jump of time: some go past a key's window, more of them past all deadlines.
const JUMP: Micros = 130 * MS;
/// So long before a client's time is up its answer is final.
const ANSWER_MARGIN: Micros = 2 * MS;
/// Workers remember keys for so long, and a request has so many attempts at most.
const KEY_WINDOW: Micros = 200 * MS;
const MAX_ATTEMPTS: usize = 3;
/// A cold worker falls over by what it is sent in this time.
const FALL_AFTER: Micros = 1_000 * MS;
/// The ceiling: units a second, and units that its store holds.
const CEILING: (f64, f64) = (0.01, 3.0);
/// How many workers there are.
const WORKERS: u64 = 2;

/// Decisions that can be forked and compared.
pub trait Machine: Decide + Clone + Debug {}
impl<M: Decide + Clone + Debug> Machine for M {}

/// What kind of small world.
#[derive(Clone, Debug)]
pub struct Kind {
    /// How often the effect of its requests may happen.
    pub effect: Effect,
    /// Who drops repeats of keyed ones.
    pub group: DedupGroup,
    /// How many requests there are, one account's.
    pub requests: usize,
    /// Whether two attempts of a request may be out together.
    pub copies: bool,
    /// Whether there is a counter, and the plan has a quota and a ceiling that hold one request.
    pub quota: bool,
    /// Whether the second worker has just started.
    pub cold: bool,
}

impl Kind {
    /// The kinds that are tried, with their names.
    pub fn all() -> Vec<(String, Kind)> {
        let mut all = Vec::new();
        let effects = [
            ("pull", Effect::Idempotent, DedupGroup::All),
            ("push", Effect::AtMostOnce, DedupGroup::All),
            ("keyed by all", Effect::Deduplicated, DedupGroup::All),
            ("keyed by zone", Effect::Deduplicated, DedupGroup::Zone),
            ("keyed by cell", Effect::Deduplicated, DedupGroup::Cell),
        ];
        for (name, effect, group) in effects {
            let plain = Kind { effect, group, requests: 1, copies: false, quota: false, cold: false };
            all.push((name.to_owned(), plain.clone()));
            all.push((format!("{name}, copies"), Kind { copies: true, ..plain.clone() }));
            all.push((format!("{name}, cold"), Kind { cold: true, ..plain.clone() }));
            all.push((format!("two of {name}"), Kind { requests: 2, quota: true, ..plain }));
        }
        let plain = Kind {
            effect: Effect::Idempotent,
            group: DedupGroup::All,
            requests: 2,
            copies: false,
            quota: false,
            cold: false,
        };
        all.push(("pair of pulls".to_owned(), plain));
        all
    }

    /// The settings of this world.
    pub fn settings(&self) -> Settings {
        let mut plan = Plan { over_quota_cost: 1.0, ..Plan::default() };
        if self.quota {
            (plan.ceiling_rate, plan.ceiling_burst) = CEILING;
            (plan.rate, plan.burst) = (1.0, 3.0);
        }
        Settings {
            instances: 1,
            resolution: MS,
            counter: self.quota,
            counter_timeout: 50 * MS,
            max_units: 2.0,
            classes: vec![Class {
                aim: 300 * MS,
                deadline: PATIENCE,
                effect: self.effect,
                group: self.group,
                key_window: KEY_WINDOW,
                attempts: 0,
            }],
            plans: vec![plan],
            limits: Limits {
                max_attempts: MAX_ATTEMPTS,
                second_copies: self.copies,
                hedge: self.copies,
                cancel: true,
                max_retry_after: MS,
                max_retry_budget: 0.0,
                refusals_promise: false,
            },
            rules: WarmUpRules {
                initial_capacity: 0.2,
                warm_up_time: 10_000 * MS,
                overload_multiple: 2.0,
                overload_window: FALL_AFTER,
            },
            ..Settings::default()
        }
    }

    /// Zone and cell of a worker: the two differ in whatever keeps them apart.
    fn place(&self, worker: u64) -> (Zone, u64) {
        match self.group {
            DedupGroup::Zone if worker == 2 => (Zone("b".into()), 0),
            DedupGroup::Cell if worker == 2 => (Zone("a".into()), 1),
            _ => (Zone("a".into()), 0),
        }
    }
}

/// Something that may happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The next request comes.
    Ask,
    /// The attempt of a request that went out as so many ends.
    Done(usize, usize, Outcome),
    /// Its answer has begun and makes no progress.
    Stalls(usize, usize),
    /// The client of a request leaves.
    Leaves(usize),
    /// The gateway is told of a worker.
    Told(u64, Availability),
    /// The counter answers the oldest call.
    Counted(Count),
    /// The next timer fires.
    Next,
    /// Time passes, with all timers in it.
    Jump,
}

/// How the counter answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Count {
    /// With the total of what was added here.
    Own,
    /// With a total far beyond the quota.
    Much,
    /// It does not.
    Silent,
    /// With a refusal.
    Refuses,
}

#[derive(Clone, Debug)]
struct Attempt {
    worker: u64,
    sent: Micros,
    out: bool,
    stalled: bool,
    may_have_run: bool,
}

#[derive(Clone, Debug, Default)]
struct Asked {
    until: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
    gone: bool,
    /// Its attempt was cancelled while the answer is owed, and none has followed.
    given_up: bool,
}

/// The decisions, and all round them that the rules ask about.
#[derive(Clone)]
pub struct World<M> {
    kind: Kind,
    machine: M,
    now: Micros,
    requests: Vec<Asked>,
    told: BTreeMap<u64, Availability>,
    calls: Vec<(CounterName, f64)>,
    added: f64,
    timers: Vec<(Micros, TimerToken)>,
    /// Units sent on, and when the cold worker was sent something.
    units: f64,
    cold_sends: Vec<Micros>,
}

impl<M: Machine> World<M> {
    /// A world in which nothing has happened; `make` gives the decisions.
    pub fn new(kind: Kind, make: impl FnOnce(Settings, u64, Micros) -> M) -> World<M> {
        // Long enough ago for all stores to be full.
        let machine = make(kind.settings(), 7, START - 1_000_000 * MS);
        let mut world = World {
            kind,
            machine,
            now: START,
            requests: Vec::new(),
            told: BTreeMap::new(),
            calls: Vec::new(),
            added: 0.0,
            timers: Vec::new(),
            units: 0.0,
            cold_sends: Vec::new(),
        };
        let workers = (1..=WORKERS).map(|id| world.info(id, Availability::Ready)).collect();
        world.told = (1..=WORKERS).map(|id| (id, Availability::Ready)).collect();
        // A list alone breaks nothing: there is nothing to send yet.
        let _ = world.event(Event::Workers(WorkerList { scope: ListScope::Full, workers }));
        world
    }

    fn info(&self, id: u64, availability: Availability) -> WorkerInfo {
        let (zone, cell) = self.kind.place(id);
        let started = (self.kind.cold && id == 2).then_some(START);
        WorkerInfo { availability, zone, cell, started, ..WorkerInfo::ready(WorkerId(id)) }
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.machine.handle(self.now, event, &mut actions);
            for action in actions {
                events.extend(self.act(action)?);
            }
        }
        match self.requests.iter().position(|asked| asked.given_up) {
            Some(n) => Err(format!("given up: request {n} was cancelled and nothing followed")),
            None => Ok(()),
        }
    }

    /// Does what the decisions want, as a gateway does, and holds it against the rules.
    fn act(&mut self, action: Action) -> Result<Option<Event>, String> {
        match action {
            Action::Send { request, worker, .. } => self.send(place(&request)?, worker.0)?,
            Action::Cancel { request, attempt } => return self.cancel(place(&request)?, attempt),
            Action::Refuse { request, .. } => self.answer(place(&request)?, true)?,
            Action::Fail(request) => self.answer(place(&request)?, false)?,
            Action::SetTimer { token, after } => {
                self.timers.push((self.now + after, token));
                self.timers.sort();
            }
            Action::Count { name, amount, .. } => {
                self.added += amount;
                self.calls.push((name, amount));
            }
            Action::Subscribe => {}
        }
        Ok(None)
    }

    fn send(&mut self, n: usize, worker: u64) -> Result<(), String> {
        let kind = self.kind.clone();
        let asked = self.requests.get(n).ok_or("lost: something was sent that nobody asked")?;
        let ran: Vec<&Attempt> = asked.attempts.iter().filter(|a| a.may_have_run).collect();
        let rule = |broken: bool, what: &str| match broken {
            true => Err(format!("{what}: request {n}, attempt {}", asked.attempts.len())),
            false => Ok(()),
        };
        rule(asked.answered || asked.gone, "lost: sent after its end")?;
        rule(self.now >= asked.until, "lost: sent after its time")?;
        rule(asked.attempts.len() >= MAX_ATTEMPTS, "lost: too many attempts")?;
        rule(!kind.copies && asked.attempts.iter().any(|a| a.out), "twice: two attempts out at once")?;
        rule(
            kind.effect == Effect::AtMostOnce && !ran.is_empty(),
            "twice: sent again though it may have run",
        )?;
        if kind.effect == Effect::Deduplicated {
            let foreign = ran.iter().any(|a| kind.place(a.worker) != kind.place(worker));
            rule(foreign, "twice: sent to a worker that can't know its key")?;
            let forgotten = ran.first().is_some_and(|a| self.now > a.sent + KEY_WINDOW);
            rule(forgotten, "twice: sent when its key was forgotten")?;
        }
        rule(self.told.get(&worker) != Some(&Availability::Ready), "drains: sent to one that takes no work")?;
        if asked.attempts.is_empty() {
            self.units += 2.0;
            let spare = CEILING.1 + CEILING.0 * (self.now - START) as f64 / 1e6 + 1e-6;
            if kind.quota && self.units > spare {
                return Err(format!("ceilings: {} units sent on, {spare} allowed", self.units));
            }
        }
        if kind.cold && worker == 2 {
            self.cold_sends.retain(|at| self.now - at < FALL_AFTER);
            self.cold_sends.push(self.now);
            // A core that does one of the usual requests in 75 ms has a fifth of that now, and may be sent
            // twice as much over a second; the first may come at once.
            if self.cold_sends.len() > 7 {
                return Err(format!("cold: {} sent in a second", self.cold_sends.len()));
            }
        }
        let attempt = Attempt { worker, sent: self.now, out: true, stalled: false, may_have_run: true };
        self.requests[n].attempts.push(attempt);
        self.requests[n].given_up = false;
        Ok(())
    }

    fn cancel(&mut self, n: usize, attempt: usize) -> Result<Option<Event>, String> {
        let Some(asked) = self.requests.get_mut(n) else { return Ok(None) };
        let Some(found) = asked.attempts.get_mut(attempt).filter(|a| a.out) else { return Ok(None) };
        found.out = false;
        let time_left = self.now + ANSWER_MARGIN < asked.until;
        asked.given_up = time_left && !asked.answered && !asked.gone;
        Ok(Some(self.done(n, attempt, Outcome::Cancelled)))
    }

    fn done(&self, n: usize, attempt: usize, outcome: Outcome) -> Event {
        let asked = &self.requests[n];
        let closed = asked.answered || asked.gone;
        let latency = self.now - asked.attempts[attempt].sent;
        let request = RequestId(n.to_string());
        Event::AttemptDone(AttemptDone { request, attempt, outcome, latency, closed, true_units: None })
    }

    fn answer(&mut self, n: usize, refused: bool) -> Result<(), String> {
        let (effect, group) = (self.kind.effect, self.kind.group);
        let asked = self.requests.get_mut(n).ok_or("lost: an answer to what nobody asked")?;
        if asked.answered || asked.gone {
            return Err(format!("lost: request {n} was answered twice"));
        }
        let ran = asked.attempts.iter().any(|a| a.may_have_run);
        let harmless = match effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || group == DedupGroup::All,
            Effect::AtMostOnce => !ran,
        };
        if refused && !harmless {
            return Err(format!("twice: request {n} was refused though it may have run"));
        }
        asked.answered = true;
        Ok(())
    }

    /// Fires all timers up to an instant; nothing may be owed past its time.
    fn pass(&mut self, until: Micros) -> Result<(), String> {
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= until) {
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.event(Event::Timer(token))?;
        }
        self.now = self.now.max(until);
        let late = |r: &Asked| !r.answered && !r.gone && self.now >= r.until;
        match self.requests.iter().position(late) {
            Some(n) => Err(format!("lost: request {n} had no answer when its time was up")),
            None => self.at_rest(),
        }
    }

    /// Once nothing is open, and time enough has passed for the counter, no table holds anything.
    fn at_rest(&self) -> Result<(), String> {
        let open = self.requests.iter().any(|r| {
            let over = r.answered || r.gone;
            !over || r.attempts.iter().any(|a| a.out) || self.now < r.until + 100 * MS
        });
        let counting = !self.calls.is_empty() || self.kind.quota;
        match open || counting || self.requests.is_empty() || self.machine.pending() == 0 {
            true => Ok(()),
            false => Err(format!("floor: {} entries are left with nothing open", self.machine.pending())),
        }
    }

    fn finish(&mut self, n: usize, attempt: usize, outcome: Outcome) -> Result<(), String> {
        let asked = &mut self.requests[n];
        let a = &mut asked.attempts[attempt];
        a.out = false;
        let never = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        a.may_have_run = !never;
        if outcome == Outcome::Ok && !asked.answered && !asked.gone {
            asked.answered = true;
        }
        let event = self.done(n, attempt, outcome);
        self.event(event)
    }

    fn count(&mut self, how: Count) -> Result<(), String> {
        let (name, _) = self.calls.remove(0);
        let outcome = match how {
            Count::Own => CounterOutcome::Total(self.added),
            Count::Much => CounterOutcome::Total(self.added + 50.0),
            Count::Silent => CounterOutcome::Timeout,
            Count::Refuses => CounterOutcome::Refused,
        };
        self.event(Event::Counter { name, outcome })
    }

    fn ask(&mut self) -> Result<(), String> {
        let n = self.requests.len();
        self.requests.push(Asked { until: self.now + PATIENCE, ..Asked::default() });
        self.event(Event::Request(Request {
            id: RequestId(n.to_string()),
            customer: CustomerId("a".into()),
            class: Some(ClassId(0)),
            plan: Some(PlanId(0)),
            units: 2.0,
            gateways: 1,
            first: 0,
            time_left: PATIENCE,
        }))
    }
}

fn place(request: &RequestId) -> Result<usize, String> {
    request.0.parse().map_err(|_| format!("lost: an action for `{}`, which nobody asked", request.0))
}

/// How an attempt may end. Time-outs come with the time.
const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Reset,
    Outcome::Unusable,
    Outcome::ConnectFailed,
    Outcome::NotSent,
];

impl<M: Machine> SmallWorld for World<M> {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.requests.len() < self.kind.requests {
            steps.push(Step::Ask);
        }
        for (n, asked) in self.requests.iter().enumerate() {
            for (attempt, sent) in asked.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                steps.extend(OUTCOMES.map(|outcome| Step::Done(n, attempt, outcome)));
                steps.extend((!sent.stalled).then_some(Step::Stalls(n, attempt)));
            }
            if !asked.answered && !asked.gone {
                steps.push(Step::Leaves(n));
            }
        }
        for (worker, told) in &self.told {
            use Availability::*;
            let turns: &[Availability] = match told {
                Ready => &[Draining, Gone],
                Draining => &[Gone, Ready],
                Gone => &[Ready],
            };
            steps.extend(turns.iter().map(|to| Step::Told(*worker, *to)));
        }
        if !self.calls.is_empty() {
            steps.extend([Count::Own, Count::Much, Count::Silent, Count::Refuses].map(Step::Counted));
        }
        // Without a request time changes nothing that matters here.
        if !self.requests.is_empty() {
            steps.extend([Step::Next, Step::Jump]);
        }
        steps
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Ask => self.ask(),
            Step::Done(n, attempt, outcome) => self.finish(n, attempt, outcome),
            Step::Stalls(n, attempt) => {
                self.requests[n].attempts[attempt].stalled = true;
                let request = RequestId(n.to_string());
                self.event(Event::Stalled { request, attempt, stalled: true })
            }
            Step::Leaves(n) => {
                self.requests[n].gone = true;
                self.event(Event::ClientGone(RequestId(n.to_string())))
            }
            Step::Told(worker, to) => {
                self.told.insert(worker, to);
                let workers = vec![self.info(worker, to)];
                self.event(Event::Workers(WorkerList { scope: ListScope::Delta, workers }))
            }
            Step::Counted(how) => self.count(how),
            Step::Next => match self.timers.first().copied() {
                Some((at, _)) => self.pass(at),
                None => Ok(()),
            },
            Step::Jump => self.pass(self.now + JUMP),
        }
    }

    fn write(&self, to: &mut dyn Write) -> fmt::Result {
        write!(to, "{:?} {} {:?} ", self.machine, self.now, self.requests)?;
        write!(to, "{:?} {:?} {} ", self.told, self.calls, self.added)?;
        write!(to, "{:?} {} {:?}", self.timers, self.units, self.cold_sends)
    }
}
