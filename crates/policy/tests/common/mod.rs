//! Test harness: settings, a gatekeeper with its timers and attempts, and a counter service.
#![allow(dead_code)]

use hingestage_policy::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const START: Micros = 1_000_000_000;

pub fn class(effect: Effect, group: DedupGroup) -> Class {
    Class { aim: 500 * MS, deadline: 2 * S, effect, group, key_window: S, attempts: 0 }
}

/// Class 0 is idempotent, 1 is deduplicated within a cell, 2 must not run twice. Plan 0 has a quota of 10
/// units a second with a burst of 20; plan 1 also has a ceiling of twice that.
pub fn settings() -> Settings {
    let plan = Plan { rate: 10.0, burst: 20.0, over_quota_cost: 1.0, ..Plan::default() };
    let ceiling = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ceiling_slack: 4.0, ..plan.clone() };
    Settings {
        instances: 2,
        resolution: 2 * MS,
        counter: true,
        counter_timeout: 50 * MS,
        max_units: 4.0,
        classes: vec![
            class(Effect::Idempotent, DedupGroup::All),
            class(Effect::Deduplicated, DedupGroup::Cell),
            class(Effect::AtMostOnce, DedupGroup::All),
        ],
        plans: vec![plan, ceiling],
        limits: Limits {
            max_attempts: 4,
            second_copies: true,
            hedge: true,
            cancel: true,
            max_retry_after: S,
            max_retry_budget: 0.0,
            refusals_promise: false,
        },
        rules: WarmUpRules {
            initial_capacity: 0.2,
            warm_up_time: 10 * S,
            overload_multiple: 2.0,
            overload_window: S,
        },
        ..Settings::default()
    }
}

pub fn worker(id: u64) -> WorkerInfo {
    WorkerInfo::ready(WorkerId(id))
}

/// Final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused(Micros),
    Failed,
}

/// Behaviour of the counter service.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    Answers,
    Silent,
    Refuses,
}

pub struct InFlight {
    pub request: String,
    pub attempt: usize,
    pub worker: u64,
    pub sent: Micros,
}

/// A gatekeeper with its timers and attempts in flight.
pub struct Harness {
    pub gatekeeper: Gatekeeper,
    pub now: Micros,
    pub timers: Vec<(Micros, TimerToken)>,
    pub in_flight: Vec<InFlight>,
    pub attempts: BTreeMap<String, usize>,
    pub answers: BTreeMap<String, Vec<Answer>>,
    pub sends: Vec<(Micros, String, u64)>,
    pub calls: Vec<(CounterName, f64)>,
    pub log: Vec<Action>,
    pub request_count: u64,
}

impl Harness {
    pub fn new(settings: Settings, workers: &[u64]) -> Self {
        Harness::with(settings, workers.iter().map(|id| worker(*id)).collect())
    }

    pub fn with(settings: Settings, workers: Vec<WorkerInfo>) -> Self {
        let mut harness = Harness {
            gatekeeper: Gatekeeper::new(settings, 7, START),
            now: START,
            timers: Vec::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            answers: BTreeMap::new(),
            sends: Vec::new(),
            calls: Vec::new(),
            log: Vec::new(),
            request_count: 0,
        };
        harness.list(ListScope::Full, workers);
        harness
    }

    pub fn list(&mut self, scope: ListScope, workers: Vec<WorkerInfo>) {
        self.event(Event::Workers(WorkerList { scope, workers }));
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gatekeeper.handle(self.now, event, &mut actions);
        for action in actions {
            match action.clone() {
                Action::Send { request, worker, .. } => {
                    let n = self.attempts.entry(request.0.clone()).or_default();
                    let (attempt, sent) = (*n, self.now);
                    *n += 1;
                    self.sends.push((sent, request.0.clone(), worker.0));
                    self.in_flight.push(InFlight { request: request.0, attempt, worker: worker.0, sent });
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

    /// Sends a request of the customer and returns its id.
    pub fn request(&mut self, customer: &str, class: usize, plan: usize, units: f64) -> String {
        self.request_count += 1;
        let id = format!("r-{}", self.request_count);
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

    /// Ends the oldest attempt in flight.
    pub fn finish_oldest(&mut self, outcome: Outcome) {
        let o = self.in_flight.remove(0);
        self.finish(o, outcome);
    }

    pub fn finish(&mut self, o: InFlight, outcome: Outcome) {
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

    /// Advances the clock and fires timers.
    pub fn advance(&mut self, span: Micros) {
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

    /// Answers all pending counter calls from `totals`.
    pub fn answer_calls(&mut self, service: Counter, totals: &mut BTreeMap<String, f64>) {
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
