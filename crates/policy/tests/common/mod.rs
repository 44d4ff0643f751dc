//! A small stage for the module: settings, events and a counter service kept by the test itself.
#![allow(dead_code)]

use hingestage_policy::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const START: Micros = 1_000_000_000;

pub fn class(effect: Effect, group: DedupGroup) -> Class {
    Class { aim: 500 * MS, deadline: 2 * S, effect, group, key_window: S, attempts: 0 }
}

/// Class 0 repeats freely, 1 is keyed within a cell, 2 must not run twice. Plan 0 has a quota of 10 units a
/// second with a burst of 20, plan 1 the same and a ceiling of twice that.
pub fn settings() -> Settings {
    let plan = Plan { rate: 10.0, burst: 20.0, over_cost: 1.0, ..Plan::default() };
    let ceiling = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ceiling_slack: 4.0, ..plan.clone() };
    Settings {
        instances: 2,
        resolution: 2 * MS,
        counter: true,
        counter_timeout: 50 * MS,
        most_units: 4.0,
        classes: vec![
            class(Effect::Idempotent, DedupGroup::All),
            class(Effect::Deduplicated, DedupGroup::Cell),
            class(Effect::AtMostOnce, DedupGroup::All),
        ],
        plans: vec![plan, ceiling],
        limits: Limits {
            max_attempts: 4,
            second_copies: true,
            cancel: true,
            max_retry_after: S,
            retries_saved: 0.0,
            refusals_promise: false,
        },
        rules: RuleFigures { cold_from: 0.2, cold_for: 10 * S, fall_multiple: 2.0, fall_after: S },
        ..Settings::default()
    }
}

pub fn worker(id: u64) -> WorkerInfo {
    WorkerInfo::ready(WorkerId(id))
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused(Micros),
    Failed,
}

/// How the counter service behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    Answers,
    Silent,
    Refuses,
}

pub struct Out {
    pub request: String,
    pub attempt: usize,
    pub worker: u64,
    pub sent: Micros,
}

/// One gatekeeper, its timers, and the attempts it has out.
pub struct Stage {
    pub keeper: Gatekeeper,
    pub now: Micros,
    pub timers: Vec<(Micros, TimerToken)>,
    pub out: Vec<Out>,
    pub attempts: BTreeMap<String, usize>,
    pub answers: BTreeMap<String, Vec<Answer>>,
    pub sends: Vec<(Micros, String, u64)>,
    pub calls: Vec<(CounterName, f64)>,
    pub log: Vec<Action>,
    pub named: u64,
}

impl Stage {
    pub fn new(settings: Settings, workers: &[u64]) -> Self {
        Stage::with(settings, workers.iter().map(|id| worker(*id)).collect())
    }

    pub fn with(settings: Settings, workers: Vec<WorkerInfo>) -> Self {
        let mut stage = Stage {
            keeper: Gatekeeper::new(settings, 7, START),
            now: START,
            timers: Vec::new(),
            out: Vec::new(),
            attempts: BTreeMap::new(),
            answers: BTreeMap::new(),
            sends: Vec::new(),
            calls: Vec::new(),
            log: Vec::new(),
            named: 0,
        };
        stage.list(ListScope::Full, workers);
        stage
    }

    pub fn list(&mut self, scope: ListScope, workers: Vec<WorkerInfo>) {
        self.event(Event::Workers(WorkerList { scope, workers }));
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.keeper.handle(self.now, event, &mut actions);
        for action in actions {
            match action.clone() {
                Action::Send { request, worker, .. } => {
                    let n = self.attempts.entry(request.0.clone()).or_default();
                    let (attempt, sent) = (*n, self.now);
                    *n += 1;
                    self.sends.push((sent, request.0.clone(), worker.0));
                    self.out.push(Out { request: request.0, attempt, worker: worker.0, sent });
                }
                Action::Refuse { request, retry_after } => {
                    self.answer(&request.0, Answer::Refused(retry_after))
                }
                Action::Fail(request) => self.answer(&request.0, Answer::Failed),
                Action::SetTimer { token, after } => self.timers.push((self.now + after, token)),
                Action::Count { name, amount, .. } => self.calls.push((name, amount)),
                Action::Cancel { .. } | Action::Subscribe => {}
            }
            self.log.push(action);
        }
    }

    fn answer(&mut self, request: &str, answer: Answer) {
        self.answers.entry(request.into()).or_default().push(answer);
    }

    /// A request of the customer; gives its id.
    pub fn ask(&mut self, customer: &str, class: usize, plan: usize, units: f64) -> String {
        self.named += 1;
        let id = format!("r-{}", self.named);
        self.event(Event::Request(Request {
            id: RequestId(id.clone()),
            customer: CustomerId(customer.into()),
            class: Some(ClassId(class)),
            plan: Some(PlanId(plan)),
            units,
            gateways: 2,
            first: 0,
            time_left: 2 * S,
        }));
        id
    }

    pub fn sent(&self, request: &str) -> usize {
        self.attempts.get(request).copied().unwrap_or(0)
    }

    pub fn answer_of(&self, request: &str) -> Option<Answer> {
        self.answers.get(request).and_then(|a| a.first().copied())
    }

    /// Ends the oldest attempt out.
    pub fn done(&mut self, outcome: Outcome) {
        let o = self.out.remove(0);
        self.end(o, outcome);
    }

    pub fn end(&mut self, o: Out, outcome: Outcome) {
        let closed = outcome == Outcome::Ok || self.answers.contains_key(&o.request);
        if outcome == Outcome::Ok && !self.answers.contains_key(&o.request) {
            self.answer(&o.request, Answer::Served);
        }
        self.event(Event::AttemptDone(AttemptDone {
            request: RequestId(o.request),
            attempt: o.attempt,
            outcome,
            latency: self.now - o.sent,
            closed,
            true_units: None,
        }));
    }

    /// Lets time pass, firing timers.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((at, token)) if at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    self.event(Event::Timer(token));
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Answers the calls made so far from the totals given.
    pub fn count(&mut self, service: Counter, totals: &mut BTreeMap<String, f64>) {
        while !self.calls.is_empty() {
            for (name, amount) in std::mem::take(&mut self.calls) {
                let outcome = match service {
                    Counter::Answers => {
                        let total = totals.entry(name.0.clone()).or_default();
                        *total += amount;
                        CounterOutcome::Total(*total)
                    }
                    Counter::Silent => CounterOutcome::Timeout,
                    Counter::Refuses => CounterOutcome::Refused,
                };
                self.event(Event::Counter { name, outcome });
            }
        }
    }
}
