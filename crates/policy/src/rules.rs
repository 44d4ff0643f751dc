//! All decisions, tables and tuned values. Types, settings, events and actions: `crates/policy/src/api.rs`.
//!
//! Here: tuned values, tables, events. What follows from them is in `customers`, `requests` and `workers`.
use crate::api::*;
use crate::state::*;
use hingestage_shares::subset_size;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod customers;
mod requests;
mod workers;

/// Housekeeping period, µs: short against any aim, long against the clock's resolution.
const TICK: Micros = 10_000;
/// Customers in the table, entries: of the write-up's 100k as many as 32 MB hold with room to spare.
const TABLE_MAX: usize = 20_000;
/// Idle windows before an entry may age out: by then its counts and box have lapsed twice over.
const IDLE_WINDOWS: f64 = 4.0;
/// Window where a plan has no rate, µs: the write-up's ten seconds.
const OPEN_WINDOW: f64 = 10e6;
/// Part of the headroom left that local units may eat before they are pushed at once.
const PUSH_SHARE: f64 = 0.1;
/// Part of a window after which local units are pushed anyway.
const PUSH_QUIET: f64 = 0.25;
/// How far the others' use may be off its forecast, as a part of it and in largest requests: a decision
/// that could turn within this waits for a fresh total.
const UNSURE: (f64, f64) = (2.0, 0.5);
/// Age up to which a total counts as fresh, µs: about one call.
const FRESH: Micros = 5_000;
/// Calls in flight: bounds what a silent counter can swallow at once.
const CALLS_MAX: usize = 32;
/// Pace of calls at the start, µs between two calls of all gateways together: each keeps its part of it.
const CALL_START: f64 = 2_000.0;
/// What a failed or late call makes of the time between calls, what a good one does while slower than the
/// pace last known to work, and a quick one else; the longest is twice that pace, or this many µs at least.
const CALL_GAP: (f64, f64, f64, f64) = (1.3, 0.7, 0.85, 1e5);
/// Shortest time between calls, µs.
const CALL_LEAST: f64 = 500.0;
/// Parts of a call's time-out within which its answer is quick, and past which it is late.
const CALL_QUICK: (f64, f64) = (0.125, 0.5);
/// Calls saved up while none is wanted, and those of them that a call which decides nothing leaves.
const CALL_SAVED: (f64, f64) = (2.0, 1.5);
/// Part of the burst that a store is taken to hold at the start of a slot when the slot before was not read.
const START_STORE: f64 = 0.5;
/// Most that one unit counted may stand for.
const STANDS_FOR: f64 = 4.0;
/// Part of a ceiling's slack that is used; the rest covers rounding.
const SLACK_USED: f64 = 0.9;
/// Part of a ceiling that is not split evenly but given out by the counter, and the gateways from which on.
const POOL: (f64, f64) = (0.6, 5.0);
/// Largest part of a rate granted to the others by habit is 1 less this share of an even part.
const OWN_LEAST: f64 = 0.5;
/// Part of the aim a request may be held for want of a worker before it is refused.
const HOLD_SHARE: f64 = 0.12;
/// Part of the aim after which a second copy may be sent where that is allowed.
const HEDGE_SHARE: f64 = 0.75;
/// Further attempts earned by each first one, and the most saved up: keeps retries from piling on.
const RETRY_EARN: (f64, f64) = (0.15, 20.0);
/// Part of what is left of that budget which one customer may owe.
const RETRY_PART: f64 = 0.5;
/// Weights of a new sample in the learned latency of a class and in a worker's slowness.
const LEARN: (f64, f64) = (0.05, 0.15);
/// Avoidance of a worker for a class that failed there, µs: at the least, and at the most. It lasts until the
/// next of our requests would meet the worker by chance, and doubles with each failure, thrice at the most.
const EJECT_FOR: (f64, f64) = (1e6, 30e6);
/// Failures in a row, of one class, that tell of the worker itself: breaks and spoilt answers come from any.
const IN_A_ROW: u32 = 3;
/// Good answers, one at a time, that make up for one failure.
const STRIKE: u32 = 3;
/// Typical latencies without any answer after which a worker with work out counts as silent.
const SILENT: f64 = 7.0;
/// The same at a site that is taken for lost.
const SILENT_LOST: f64 = 2.0;
/// In-flight limit of one worker over all gateways, requests: at start, least, most, and growth with a good
/// answer. Each gateway holds its even part, over all workers where it is below one at each; where all of
/// it is below one, by turns.
const INFLIGHT: (f64, f64, f64, f64) = (4.0, 0.9, 96.0, 0.15);
/// What a slow answer leaves of the limit, ten ticks apart at least.
const INFLIGHT_CUT: f64 = 0.92;
/// Turns that a gateway may save up whose part of the in-flight limit is below one request. Each send takes
/// one; they come as fast as the part allows for answers of usual length. Two let a pair through that comes
/// after a pause, and all gateways together can't save up more than two requests each for one rush.
const TURNS_SAVED: f64 = 2.0;
/// Part of the aim past which an answer counts as slow and cuts the in-flight limit.
const LATE_SHARE: f64 = 0.8;
/// Multiple of the unloaded latency past which a worker counts as held full, and the growth of the unloaded
/// latency with each answer, so that a changed fleet is learned anew.
const QUEUED: (f64, f64) = (2.3, 1.0001);
/// How much better a worker of another zone must look.
const CROSS_ZONE: f64 = 1.1;
/// Part of what a one-core worker could be sent without falling over that a cold one is sent.
const COLD_PART: f64 = 1.0;
/// Gateways that a cold worker's sends are shared among at the least, and cold workers that a gateway has a
/// share of on the mean. With a share for each of a hundred, none would come to one whole send before the
/// worker is warm, and all that save one up may send it together; with too few, a gateway might have none.
const COLD_SHARE: (u32, u32) = (12, 4);
/// Workers that a gateway keeps to at the least while they have room, on the mean: few enough to meet each
/// often and on kept connections, enough to spread its work and to lose some.
const NEAR: u32 = 12;
/// Random draws of a worker before all are looked through.
const DRAWS: usize = 8;

/// The part of a ceiling that the counter gives out, for a customer that comes through so many gateways.
fn common_part(counter: bool, gateways: f64) -> f64 {
    if counter && gateways >= POOL.1 {
        POOL.0
    } else {
        0.0
    }
}

/// The decisions of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Gatekeeper {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    started: Micros,
    /// Since when another process fills this gateway's part of each ceiling.
    succeeded: Option<Micros>,
    /// What is known of the fleet, and since when it says what it does.
    view: Option<LeaseView>,
    viewed: Micros,
    /// What is believed of sites, the last probe of one that was used, and requests that found no worker.
    sites: SitesView,
    probed: u64,
    short: u64,
    /// Whether nothing may begin, and when a policy last took hold.
    barred: bool,
    changed: Micros,
    customers: BTreeMap<Key, Customer>,
    unpushed: BTreeSet<Key>,
    calls: BTreeMap<CounterName, Call>,
    call_gap: f64,
    call_gap_good: f64,
    call_after: f64,
    call_failed: bool,
    counted: f64,
    uncounted: f64,
    workers: BTreeMap<WorkerId, Worker>,
    ready: Vec<WorkerId>,
    /// Those of the ready that this gateway keeps to while they have room; all, where gateways are few.
    near: Vec<WorkerId>,
    /// How many of the ready, the first ones, are of the best tier.
    best: usize,
    requests: BTreeMap<RequestId, Open>,
    held: VecDeque<RequestId>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    typical: Vec<f64>,
    /// Mean latency in parts of the aim, and the lowest it has been, drifting up slowly: without a queue.
    pressure: f64,
    unpressed: f64,
    answers: f64,
    retries: f64,
    /// Mean time between our own sends, µs, and the last of them.
    send_gap: f64,
    sent_at: Micros,
    /// In-flight limit of the mean worker, as learned from all; what is out; when it was last cut.
    limit: f64,
    out: f64,
    cut_at: Micros,
    /// Turns saved up, as of when, and how long a request is usually out, µs.
    turns: f64,
    turns_at: Micros,
    usual: f64,
    aged: Micros,
    ticking: bool,
}

impl Gatekeeper {
    /// A gatekeeper without any memory.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        // A quarter of the aim is what a fleet worth having needs; learned from the first answers on.
        let mut typical: Vec<f64> = settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1.0)).collect();
        typical.push(100_000.0);
        let usual = typical.iter().copied().fold(f64::MAX, f64::min);
        let n = f64::from(settings.instances.max(1));
        let mut rng = fastrand::Rng::with_seed(seed);
        let retries = settings.limits.retries_saved(RETRY_EARN.1) / 2.0;
        Gatekeeper {
            set: settings,
            // Gateways that start together do not call together.
            call_after: now as f64 + rng.f64() * n * CALL_START,
            rng,
            now,
            started: now,
            aged: now,
            sent_at: now,
            turns: TURNS_SAVED,
            turns_at: now,
            usual,
            next_timer: 1,
            typical,
            retries,
            call_gap: n * CALL_START,
            call_gap_good: n * CALL_START,
            limit: INFLIGHT.0,
            ..Gatekeeper::default()
        }
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.next_timer == 1 {
            self.next_timer = 2;
            out.extend(self.set.subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::Workers(list) => self.on_workers(list, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Timer(TimerToken(0)) => self.on_tick(out),
            Event::Timer(TimerToken(n)) => {
                let id = self.timers.remove(&n).unwrap_or_default();
                self.finish(&id, Ending::Failed, out);
            }
            Event::AttemptDone(done) => self.on_done(done, out),
            Event::StreamStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::Uploading { request, over } => {
                self.requests.entry(request).and_modify(|r| {
                    r.uploading = !over;
                    r.attempts.iter_mut().filter(|a| a.out).for_each(|a| a.sent = now.max(a.sent));
                });
            }
            Event::ClientGone(id) => self.finish(&id, Ending::Answered, out),
            Event::Counter { name, outcome } => self.on_counter(name, outcome, out),
            Event::Successor(true) => self.succeeded = self.succeeded.or(Some(self.now)),
            Event::Successor(false) => {
                // What the other drew is not known: as after a start, nothing has gathered meanwhile.
                (self.succeeded, self.started) = (None, self.now);
                self.customers.values_mut().for_each(|c| c.ceiling_at = self.now);
            }
            Event::Fleet(view) => self.on_fleet(view, out),
            Event::Terms(terms) => self.on_terms(terms, out),
            Event::Sites(view) => self.on_sites(view, out),
        }
        // Ticks only while something waits for one.
        let idle = self.requests.is_empty() && self.unpushed.is_empty();
        if !(self.ticking || idle) {
            self.ticking = true;
            out.push(Action::SetTimer { token: TimerToken(0), after: TICK });
        }
    }

    /// Requests, calls and timers that are not over: none at rest.
    pub fn pending(&self) -> usize {
        self.requests.len() + self.calls.len() + self.timers.len() + self.unpushed.len()
    }

    /// Requests that found no worker in time, since the start.
    pub fn short(&self) -> u64 {
        self.short
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.ticking = false;
        self.watch_requests(out);
        self.release_held(out);
        // Where calls are scarce, those go first whose local units are most of their quota.
        if self.may_call(0.0) {
            let part = |key: &Key| match self.customers.get(key) {
                Some(c) if c.calls_out == 0 => c.pending.abs() / self.plan(key).burst.max(1e-9),
                _ => 0.0,
            };
            let mut due: Vec<(f64, Key)> = self.unpushed.iter().map(|key| (part(key), key.clone())).collect();
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, key) in due {
                if self.may_call(0.0) {
                    self.push(&key, 0.0, out);
                }
            }
        }
        if self.now > self.aged + 100 * TICK {
            self.aged = self.now;
            self.age_out();
        }
    }

    /// Gateways that are not known to be gone.
    fn living(&self) -> u32 {
        self.view.as_ref().map_or(self.set.instances, |view| view.live_gateways().count() as u32).max(1)
    }

    /// What is in a store stays in it as far as the new one has room, which fills at its own rate from here
    /// on: what was used before a change is used, nothing lowered leaves a debt, nothing raised comes as a
    /// flood. A box ends within the new window.
    fn on_terms(&mut self, terms: Option<Terms>, out: &mut Vec<Action>) {
        self.barred = terms.is_none();
        let Some(terms) = terms else { return };
        self.advance_all();
        let old = std::mem::replace(&mut self.set.plans, terms.plans);
        self.set.classes = terms.classes;
        self.changed = self.now;
        let other = |key: &&Key| old.get(key.0) != self.set.plans.get(key.0);
        let others: Vec<Key> = self.customers.keys().filter(other).cloned().collect();
        others.iter().for_each(|key| self.fit(key));
        self.release_held(out);
    }

    /// Stores have filled by the view that held until now; from here on they fill by the new one.
    fn on_fleet(&mut self, view: LeaseView, out: &mut Vec<Action>) {
        let goes_on =
            self.view.as_ref().is_some_and(|old| old.same_version(&view) && self.now < old.valid_until);
        if !goes_on {
            self.advance_all();
            self.settle_credits();
            self.viewed = self.now;
        }
        self.view = Some(view);
        if !goes_on {
            self.place_all();
            self.release_held(out);
        }
    }
}
