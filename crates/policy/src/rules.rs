//! Decision logic of a gateway: constants, state and event handling. Its interface is in
//! `crates/policy/src/api.rs`; customers, requests and workers have modules of their own.
use crate::api::*;
use crate::state::*;
use hingestage_shares::subset_size;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod customers;
mod requests;
mod workers;

/// Housekeeping period, µs: short against any latency target, long against the resolution of the clock.
const TICK: Micros = 10_000;
/// Most customers in the table: as many as 32 MB hold with room to spare.
const CUSTOMERS_MAX: usize = 20_000;
/// Quota windows without a request after which a customer may be dropped: counts and penalty have lapsed.
const IDLE_WINDOWS: f64 = 4.0;
/// Window of plans without a rate, µs.
const DEFAULT_WINDOW: f64 = 10e6;
/// Pending units are reported at once above this share of the remaining quota, and at the latest after this
/// share of a window.
const REPORT_SHARE: f64 = 0.1;
const REPORT_DELAY: f64 = 0.25;
/// Error of the others' use, of the forecast and in largest requests; decisions within it need a fresh total.
const FORECAST_ERROR: f64 = 2.0;
const FORECAST_ERROR_REQUESTS: f64 = 0.5;
/// Age up to which a total counts as fresh, µs: about one call.
const FRESH_TOTAL: Micros = 5_000;
/// Most counter calls in flight: bounds what a silent counter can swallow at once.
const CALLS_MAX: usize = 32;
/// Time between counter calls, µs: initial for all gateways together, shortest, and longest unless twice the
/// last good interval is longer.
const CALL_INTERVAL_START: f64 = 2_000.0;
const CALL_INTERVAL_MIN: f64 = 500.0;
const CALL_INTERVAL_CAP: f64 = 1e5;
/// Factors of the call interval: after a bad call, a good one above the last good interval, and a quick one.
const CALL_BACKOFF: f64 = 1.3;
const CALL_RECOVERY: f64 = 0.7;
const CALL_SPEEDUP: f64 = 0.85;
/// Shares of the call timeout below which an answer is quick, and from which on it is late.
const CALL_QUICK: f64 = 0.125;
const CALL_LATE: f64 = 0.5;
/// Calls that may be saved up, and those of them reserved for calls that decide on a request.
const CALLS_SAVED: f64 = 2.0;
const CALLS_RESERVED: f64 = 1.5;
/// Assumed level, as a share of the burst, at the start of a slot that follows an unread one.
const FIRST_READ_LEVEL: f64 = 0.5;
/// Highest weight of a reported unit.
const UNIT_WEIGHT_MAX: f64 = 4.0;
/// Share of a ceiling's slack in use; the rest covers rounding.
const SLACK_USED: f64 = 0.9;
/// Share of a ceiling that the counter grants, and the gateways from which on it does.
const POOL_SHARE: f64 = 0.6;
const POOL_GATEWAYS: f64 = 5.0;
/// Share of its even part of a rate that a gateway always keeps.
const OWN_SHARE_MIN: f64 = 0.5;
/// Shares of the latency target: longest wait for a worker, and age from which a second copy may be sent.
const HOLD_SHARE: f64 = 0.12;
const HEDGE_SHARE: f64 = 0.75;
/// Retries earned by each first attempt, and default of the largest budget: retries must not pile up.
const RETRY_EARNED: f64 = 0.15;
const RETRY_BUDGET_MAX: f64 = 20.0;
/// Share of the remaining retry budget that one customer may owe.
const RETRY_DEBT_SHARE: f64 = 0.5;
/// Weights of a new sample in the mean latencies and in a worker's slowness.
const LATENCY_WEIGHT: f64 = 0.05;
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Bounds of a worker's avoidance for a class, µs: until chance leads there again, doubled up to three times.
const EJECT_MIN: f64 = 1e6;
const EJECT_MAX: f64 = 30e6;
/// Consecutive failures in one class that speak of the worker: single broken answers come from any.
const FAILURES_MAX: u32 = 3;
/// Strikes added by an ejection; each served attempt takes one back.
const EJECT_STRIKES: u32 = 3;
/// Typical latencies without an answer after which an attempt is lost, and the same at a lost site.
const SILENT_LATENCIES: f64 = 7.0;
const SILENT_LOST_SITE: f64 = 2.0;
/// In-flight limit of one worker over all gateways, requests: initial, bounds, and growth per good answer.
const INFLIGHT_START: f64 = 4.0;
const INFLIGHT_MIN: f64 = 0.9;
const INFLIGHT_MAX: f64 = 96.0;
const INFLIGHT_GROWTH: f64 = 0.15;
/// Factor of the in-flight limit after a slow answer, at most once in ten ticks.
const INFLIGHT_CUT: f64 = 0.92;
/// Send tokens of a gateway whose share of the in-flight limit is below one request: two let a pair
/// through after a pause and bound a burst of all gateways.
const SEND_TOKENS_MAX: f64 = 2.0;
/// Share of the latency target above which an answer is slow and cuts the in-flight limit.
const LATE_SHARE: f64 = 0.8;
/// Multiple of the unloaded latency above which a worker is congested.
const CONGESTED_RATIO: f64 = 2.3;
/// Growth of the unloaded latency with each answer, so that it follows a changed fleet.
const BASELINE_DRIFT: f64 = 1.0001;
/// Factor of the expected wait at workers of other zones.
const CROSS_ZONE: f64 = 1.1;
/// Least number of gateways that share a cold worker, and mean number of cold workers of a gateway. Among
/// more, no share comes to a whole send before the worker is warm; among fewer, a gateway may have none.
const COLD_SHARERS_MIN: u32 = 12;
const COLD_WORKERS_MEAN: u32 = 4;
/// Mean number of workers in a gateway's subset: few, for kept connections; enough to spread and lose some.
const SUBSET_SIZE: u32 = 12;
/// Random picks of a worker before the whole fleet is scanned.
const RANDOM_PICKS: usize = 8;

/// The share of a ceiling that the counter grants to a customer of so many gateways.
fn pool_share(counter: bool, gateways: f64) -> f64 {
    if counter && gateways >= POOL_GATEWAYS {
        POOL_SHARE
    } else {
        0.0
    }
}

/// The decision state machine of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Gatekeeper {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    started: Micros,
    /// When a successor process took over filling this gateway's share of each ceiling.
    successor_since: Option<Micros>,
    /// The current fleet view, and when its content last changed.
    view: Option<LeaseView>,
    view_since: Micros,
    /// Site admission, the last probe used, and the number of requests that found no worker.
    sites: SitesView,
    last_probe: u64,
    no_worker: u64,
    /// Whether no policy is in force, and when a policy last took effect.
    no_policy: bool,
    policy_changed_at: Micros,
    customers: BTreeMap<Key, Customer>,
    unreported: BTreeSet<Key>,
    calls: BTreeMap<CounterName, Call>,
    /// Time between counter calls, µs, its last good value, and the earliest time of the next call.
    call_interval: f64,
    good_call_interval: f64,
    next_call: f64,
    last_call_failed: bool,
    /// Units reported to the counter, and units dropped for want of a call; both decay.
    reported_units: f64,
    dropped_units: f64,
    workers: BTreeMap<WorkerId, Worker>,
    ready: Vec<WorkerId>,
    /// The ready workers that this gateway prefers: a deterministic subset, or all in a small fleet.
    subset: Vec<WorkerId>,
    /// Number of workers of the best tier; they come first in `ready`.
    best_tier_len: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    held: VecDeque<RequestId>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    typical_latency: Vec<f64>,
    /// Mean latency as a ratio of the latency target, and its slowly rising minimum (no queueing).
    latency_ratio: f64,
    base_ratio: f64,
    answer_count: f64,
    retry_budget: f64,
    /// Mean time between sends of this gateway, µs, and the last send.
    send_interval: f64,
    sent_at: Micros,
    /// In-flight limit per worker, attempts in flight, and when the limit was last cut.
    inflight_limit: f64,
    in_flight: f64,
    limit_cut_at: Micros,
    /// Send tokens and when they were last updated; mean time that a request is in flight, µs.
    send_tokens: f64,
    send_tokens_at: Micros,
    mean_in_flight: f64,
    aged_at: Micros,
    tick_scheduled: bool,
}

impl Gatekeeper {
    /// Creates a gatekeeper with no history.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        // Initial estimate: a quarter of the latency target.
        let mut typical: Vec<_> = settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1.0)).collect();
        typical.push(100_000.0);
        let mean_in_flight = typical.iter().copied().fold(f64::MAX, f64::min);
        let n = f64::from(settings.instances.max(1));
        let mut rng = fastrand::Rng::with_seed(seed);
        let retry_budget = settings.limits.max_retry_budget(RETRY_BUDGET_MAX) / 2.0;
        Gatekeeper {
            settings,
            // Gateways that start together must not call the counter together.
            next_call: now as f64 + rng.f64() * n * CALL_INTERVAL_START,
            rng,
            now,
            started: now,
            aged_at: now,
            sent_at: now,
            send_tokens: SEND_TOKENS_MAX,
            send_tokens_at: now,
            mean_in_flight,
            next_timer: 1,
            typical_latency: typical,
            retry_budget,
            call_interval: n * CALL_INTERVAL_START,
            good_call_interval: n * CALL_INTERVAL_START,
            inflight_limit: INFLIGHT_START,
            ..Gatekeeper::default()
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.next_timer == 1 {
            self.next_timer = 2;
            actions.extend(self.settings.subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::Workers(list) => self.on_workers(list, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer(TimerToken(0)) => self.on_tick(actions),
            Event::Timer(TimerToken(n)) => {
                let id = self.timers.remove(&n).unwrap_or_default();
                self.finish(&id, Ending::Failed, actions);
            }
            Event::AttemptDone(done) => self.on_done(done, actions),
            Event::StreamStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::Uploading { request, over } => {
                self.requests.entry(request).and_modify(|r| {
                    (r.uploading, r.streamed_body) = (!over, true);
                    r.attempts.iter_mut().filter(|a| a.in_flight).for_each(|a| a.sent = now.max(a.sent));
                });
            }
            Event::Stalled { request, attempt, stalled } => {
                self.requests.entry(request).and_modify(|r| r.set_stalled(attempt, stalled));
            }
            Event::ClientGone(id) => self.finish(&id, Ending::Answered, actions),
            Event::Counter { name, outcome } => self.on_counter(name, outcome, actions),
            Event::Successor(true) => self.successor_since = self.successor_since.or(Some(self.now)),
            Event::Successor(false) => {
                // The successor's use is unknown, so ceilings refill from now, as after a start.
                (self.successor_since, self.started) = (None, self.now);
                self.customers.values_mut().for_each(|c| c.ceiling_at = self.now);
            }
            Event::Fleet(view) => self.on_fleet(view, actions),
            Event::Terms(terms) => self.on_terms(terms, actions),
            Event::Sites(view) => self.on_sites(view, actions),
        }
        // The tick runs only while there is work for it.
        let idle = self.requests.is_empty() && self.unreported.is_empty();
        if !(self.tick_scheduled || idle) {
            self.tick_scheduled = true;
            actions.push(Action::SetTimer { token: TimerToken(0), after: TICK });
        }
    }

    /// Number of unfinished requests, calls, timers and unreported customers; 0 when idle.
    pub fn pending(&self) -> usize {
        self.requests.len() + self.calls.len() + self.timers.len() + self.unreported.len()
    }

    /// Number of requests that found no worker in time since the start.
    pub fn requests_without_worker(&self) -> u64 {
        self.no_worker
    }

    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.tick_scheduled = false;
        self.check_overdue(actions);
        self.release_held(actions);
        // When calls are scarce, customers with the largest unreported share of their quota go first.
        if self.may_start_call(0.0) {
            let part = |key: &Key| match self.customers.get(key) {
                Some(c) if c.open_calls == 0 => c.pending.abs() / self.plan(key).burst.max(1e-9),
                _ => 0.0,
            };
            let mut due: Vec<(f64, Key)> = self.unreported.iter().map(|k| (part(k), k.clone())).collect();
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, key) in due {
                if self.may_start_call(0.0) {
                    self.report_use(&key, 0.0, actions);
                }
            }
        }
        if self.now > self.aged_at + 100 * TICK {
            self.aged_at = self.now;
            self.age_out();
        }
    }

    /// Number of gateways not known to be absent.
    fn live_gateways(&self) -> u32 {
        self.view.as_ref().map_or(self.settings.instances, |view| view.live_gateways().count() as u32).max(1)
    }

    /// Applies a new policy. Quota levels carry over, capped at the new burst, and refill at the new rate;
    /// penalties end within the new window.
    fn on_terms(&mut self, terms: Option<Terms>, actions: &mut Vec<Action>) {
        self.no_policy = terms.is_none();
        let Some(terms) = terms else { return };
        self.advance_all();
        let old = std::mem::replace(&mut self.settings.plans, terms.plans);
        self.settings.classes = terms.classes;
        self.policy_changed_at = self.now;
        let other = |key: &&Key| old.get(key.0) != self.settings.plans.get(key.0);
        let others: Vec<Key> = self.customers.keys().filter(other).cloned().collect();
        others.iter().for_each(|key| self.apply_plan_change(key));
        self.release_held(actions);
    }

    /// Switches to a new fleet view after refilling all levels by the old one.
    fn on_fleet(&mut self, view: LeaseView, actions: &mut Vec<Action>) {
        let renewed = self.view.as_ref().is_some_and(|v| v.same_version(&view) && self.now < v.valid_until);
        if !renewed {
            self.advance_all();
            self.store_credits();
            self.view_since = self.now;
        }
        self.view = Some(view);
        if !renewed {
            self.rerank_workers();
            self.release_held(actions);
        }
    }
}
