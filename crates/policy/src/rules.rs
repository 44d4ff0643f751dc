//! All decisions, tables and tuned values. Types, settings, events and actions: `crates/policy/src/api.rs`.
//!
//! Order of the file: tuned values, tables, events, customers and counter, sending and ending, workers.
use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Housekeeping period, µs: short against any aim, long against the clock's resolution.
const TICK: Micros = 10_000;
/// Customers in the table, entries: of the write-up's 100k as many as 32 MB hold with room to spare.
const TABLE_MAX: usize = 20_000;
/// Idle windows before an entry may age out: by then its counts and box have lapsed twice over.
const IDLE_WINDOWS: f64 = 4.0;
/// Longest window, µs: two of them are the longest that a counter keeps a number.
const WINDOW_MAX: f64 = 30e6;
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
/// Weights of a new sample in the learned latency of a class and in a worker's slowness.
const LEARN: (f64, f64) = (0.05, 0.15);
/// Avoidance of a worker for a class that failed there, µs: at the least, and at the most. It lasts until the
/// next of our requests would meet the worker by chance, and doubles with each failure, thrice at the most.
const EJECT_FOR: (f64, f64) = (1e6, 30e6);
/// Failures in a row, of one class, that tell of the worker itself: breaks and spoilt answers come from any.
const IN_A_ROW: u32 = 3;
/// Good answers, one at a time, that make up for one failure.
const STRIKE: u32 = 3;
/// Samples, and µs after which they count a third, at which a worker's own record weighs as much as the mean.
const TRUST: (f64, f64) = (2.0, 10e6);
/// Typical latencies without any answer after which a worker with work out counts as silent.
const SILENT: f64 = 7.0;
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
/// Safety kept at the end of a key window, µs.
const KEY_MARGIN: Micros = 50_000;

/// Until when an attempt of a request may begin: a keyed one that may have run, only while its key is known.
fn begin_by(r: &Open) -> Micros {
    let ran = r.attempts.iter().find(|a| a.may_have_run && r.class.effect == Effect::Deduplicated);
    let known = ran.map(|first| (first.sent + r.class.key_window).saturating_sub(KEY_MARGIN));
    known.map_or(r.deadline, |known| known.min(r.deadline))
}

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
            retries: RETRY_EARN.1 / 2.0,
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

    fn instances(&self) -> f64 {
        f64::from(self.set.instances.max(1))
    }

    // ---- customers, their quotas and the counter ----

    fn plan(&self, key: &Key) -> &Plan {
        &self.set.plans[key.0]
    }

    fn window(&self, plan: usize) -> f64 {
        let p = &self.set.plans[plan];
        let span = if p.rate > 0.0 { p.burst / p.rate * 1e6 } else { OPEN_WINDOW };
        span.clamp(1e5, WINDOW_MAX)
    }

    /// Finds or makes the customer's entry. A full table gives strangers one strict entry for each plan, so
    /// that a scan of one-time names never evicts those who are boxed.
    fn enter(&mut self, plan: usize, customer: CustomerId, gateways: u32) -> Key {
        let mut key = (plan, customer);
        if !self.customers.contains_key(&key) && self.customers.len() >= TABLE_MAX {
            key.1 = CustomerId(String::new());
        }
        let p = &self.set.plans[plan];
        let n = f64::from(gateways.max(1));
        let c = self.customers.entry(key.clone()).or_insert_with(|| Customer {
            level: p.burst / n,
            others_rate: p.rate * (1.0 - 1.0 / n),
            // Whatever this gateway's former life drew, it cannot have drawn since it started: the local
            // share is taken as spent at the start, however late the customer shows up.
            ceiling_at: self.started,
            ..Customer::new(&key.1, n, self.now)
        });
        c.gateways = c.gateways.max(n);
        c.seen = self.now;
        self.advance(&key);
        key
    }

    /// Brings a customer's slots and stores to the present.
    fn advance(&mut self, key: &Key) {
        let (now, window) = (self.now, self.window(key.0));
        let p = &self.set.plans[key.0];
        let Some(c) = self.customers.get_mut(key) else { return };
        let slot = (now + c.shift) / window as u64;
        if slot != c.slot {
            c.prev = if slot == c.slot + 1 { c.cur } else { Slot::default() };
            // Units to give back belong to the slot that they were taken from.
            (c.cur, c.slot, c.pending, c.predicted) = (Slot::default(), slot, c.pending.max(0.0), 0.0);
        }
        let dt = secs(now - c.at);
        let others = c.others_rate.min(p.rate * (1.0 - OWN_LEAST / c.gateways));
        // Past a window of silence nothing more is known than a window's use.
        c.predicted = (c.predicted + others * dt).min(others * window / 1e6);
        c.level = (c.level + (p.rate - others) * dt).min(p.burst);
        c.at = now;
        let split = 1.0 - common_part(self.set.counter, c.gateways);
        let depth = (p.ceiling_burst * split + p.ceiling_slack * SLACK_USED) / c.gateways;
        let fills = self.succeeded.unwrap_or(now).saturating_sub(c.ceiling_at);
        c.ceiling = (c.ceiling + p.ceiling_rate * split / c.gateways * secs(fills)).min(depth);
        c.ceiling_at = now;
    }

    /// Units of the last window, all gateways together, as far as known.
    fn count(&self, c: &Customer, window: f64) -> f64 {
        let left = 1.0 - ((self.now + c.shift) % window as u64) as f64 / window;
        let last = (c.prev.mine + c.prev.others) * left;
        c.cur.mine + c.cur.others + last + c.pending + c.flying + c.predicted - c.prepaid
    }

    /// The design's ordinary path: count against the quota, the box, the open cap. `Some` is retry advice.
    fn beyond_quota(&mut self, key: &Key, units: f64, prepaid: f64) -> Option<Micros> {
        let (p, window) = (self.plan(key).clone(), self.window(key.0));
        let (now, longest) = (self.now, self.set.limits.max_retry_after);
        let dice = self.rng.f64();
        let count = self.count(self.customers.get(key)?, window) - prepaid + units;
        let c = self.customers.get_mut(key)?;
        // Soft plans earn more beyond the quota than that costs: exempt.
        if p.over_earns > p.over_cost {
            return None;
        }
        if p.open > 0.0 {
            let (mine, all) = (c.cur.mine + c.prev.mine + c.pending, c.cur.others + c.prev.others);
            let share = if c.known && mine + all > 0.0 { mine / (mine + all) } else { 1.0 / c.gateways };
            if c.open >= (p.open * share).floor().max(1.0) {
                return Some(longest.min(window as Micros / 4));
            }
        }
        if p.rate <= 0.0 {
            return None;
        }
        let part = p.burst / c.gateways;
        // Until a total is read the others are taken to use as much as this gateway.
        if count > if c.known { p.burst } else { part.max(units) } {
            c.boxed_until = now + window as Micros;
        }
        if now >= c.boxed_until || c.level >= units {
            return None;
        }
        // Where a part of the burst is less than one request, and no total could be had, what has gathered is
        // rounded at random, so that the expected use stays the share.
        if part < units && dice * units < c.level && !(c.known && now <= c.read_at + FRESH) {
            return None;
        }
        let gain = (p.rate - c.others_rate).max(p.rate / c.gateways / 2.0);
        Some((((units - c.level) / gain * 1e6) as Micros).min(longest))
    }

    /// Whether a total could turn the decision: the others' use since the last one, or none read yet.
    fn unsure(&self, key: &Key, units: f64) -> bool {
        let (Some(c), p) = (self.customers.get(key), self.plan(key)) else { return false };
        let spread = c.predicted * UNSURE.0 + UNSURE.1 * self.set.most_units;
        let near = c.level + c.predicted >= units && c.level < units + spread;
        let open = if c.known { near && self.now > c.read_at + FRESH } else { c.level < units };
        open && self.set.counter && p.rate > 0.0 && p.over_earns <= p.over_cost && !key.1 .0.is_empty()
    }

    /// Takes units from the store, and notes those that the counter has yet to hear of.
    fn charge(&mut self, key: &Key, units: f64, unheard: f64) {
        let (now, p) = (self.now, &self.set.plans[key.0]);
        let Some(c) = self.customers.get_mut(key) else { return };
        c.level -= units;
        if unheard != 0.0 {
            c.pending_since = if c.pending == 0.0 { now } else { c.pending_since };
            c.pending += unheard;
            if self.set.counter && (p.rate > 0.0 || p.open > 0.0) && !key.1 .0.is_empty() {
                self.unpushed.insert(key.clone());
            }
        }
    }

    /// Whether the pace allows a call now: one that decides on the largest request first, then, from what is
    /// saved up, on smaller ones, and at last one that decides nothing.
    fn may_call(&self, asks: f64) -> bool {
        let left = CALL_SAVED.1 * (1.0 - asks / self.set.most_units.max(1.0)).clamp(0.0, 1.0);
        self.calls.len() < CALLS_MAX && self.now as f64 >= self.call_after + left * self.call_gap
    }

    /// Pushes a customer's local units when they are due, or a decision on some `asks`, if the pace allows.
    /// Gives what each unit then stands for at the counter, 0 without a call.
    fn push(&mut self, key: &Key, asks: f64, out: &mut Vec<Action>) -> f64 {
        self.advance(key);
        let window = self.window(key.0);
        let Some(c) = self.customers.get(key) else { return 0.0 };
        let waited = (self.now - c.pending_since) as f64 > PUSH_QUIET * window;
        let eats = c.pending > PUSH_SHARE * c.level.max(0.0);
        let name = counter_name(key, c.slot);
        let due = asks > 0.0 || waited || eats;
        if !due || !self.may_call(asks) || self.calls.contains_key(&name) {
            return 0.0;
        }
        let Some(c) = self.customers.get_mut(key) else { return 0.0 };
        // What is counted stands for what no call could carry as well, so that totals are right on the mean.
        let stands_for = (1.0 + self.uncounted / self.counted.max(1e-9)).clamp(1.0, STANDS_FOR);
        self.counted += c.pending.max(0.0);
        let (slot, units, amount) = (c.slot, c.pending, c.pending * stands_for);
        (c.flying, c.pending, c.calls_out) = (c.flying + amount, 0.0, c.calls_out + 1);
        self.unpushed.remove(key);
        let call = Call { key: key.clone(), slot, amount, units, sent: self.now, grant: None };
        self.call(name, call, (2.0 * window) as Micros, out);
        stands_for
    }

    /// Makes a call to the counter, and takes it off the pace.
    fn call(&mut self, name: CounterName, call: Call, keep: Micros, out: &mut Vec<Action>) {
        out.push(Action::Count { name: name.clone(), amount: call.amount, keep });
        self.calls.insert(name, call);
        let saved = self.now as f64 - CALL_SAVED.0 * self.call_gap;
        self.call_after = self.call_after.max(saved) + self.call_gap;
    }

    /// The length of a slot of a ceiling's common part, µs, and the units that are given out in each.
    ///
    /// Any span `t` touches fewer than `t / slot + 2` slots. With `D` the ceiling's depth, `R` its rate and
    /// `a` the part of both that is common, slots of `D / 2R` with `a * D / 3` units each give out less than
    /// `a * (2/3 R t + 2/3 D)` in it, and one slot's units once more where a counter that forgot is met:
    /// never more than the common part's own `a * (R t + D)`.
    fn pool(&self, plan: usize) -> (u64, f64) {
        let p = &self.set.plans[plan];
        let slot = p.ceiling_burst / p.ceiling_rate.max(1e-9) / 2.0 * 1e6;
        (slot.clamp(1e4, WINDOW_MAX) as u64, POOL.0 * p.ceiling_burst / 3.0)
    }

    /// Asks the counter for a request's units from the common part of its ceiling where this gateway's own
    /// part is short: of many, an even part is less than what the busiest need, or than one request.
    fn ask_ceiling(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id).filter(|r| r.attempts.is_empty() && !r.granted) else { return };
        let (Some(c), (len, _)) = (self.customers.get(&r.key), self.pool(r.key.0)) else { return };
        let slot = (self.now + c.shift) / len;
        let short = self.plan(&r.key).ceiling_rate > 0.0 && c.ceiling < r.units && c.pool_empty != slot;
        let common = common_part(self.set.counter, c.gateways) > 0.0 && !r.key.1 .0.is_empty();
        if !short || !common || !self.may_call(r.units) {
            return;
        }
        let name = CounterName(format!("^{}", counter_name(&r.key, slot).0));
        if !self.calls.contains_key(&name) {
            let (key, amount, grant) = (r.key.clone(), r.units, Some(id.clone()));
            let call = Call { key, slot, amount, units: amount, sent: self.now, grant };
            self.call(name, call, 2 * len, out);
        }
    }

    /// Granted only where the total says that the slot's units are not given out. A late or lost answer
    /// grants nothing, nor does one to a request that has gone on or ended: units once added stay taken.
    fn on_grant(&mut self, id: &RequestId, slot: u64, outcome: CounterOutcome, out: &mut Vec<Action>) {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return };
        let (len, most) = self.pool(key.0);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let current = (self.now + c.shift) / len == slot;
        match outcome {
            CounterOutcome::Total(total) if total <= most && current => {
                self.requests.entry(id.clone()).and_modify(|r| r.granted = r.attempts.is_empty());
            }
            CounterOutcome::Total(_) => c.pool_empty = slot,
            _ => {}
        }
        self.release_held(out);
    }

    /// The pace of calls is what all gateways together find to succeed: slower after each failure or late
    /// answer, quickly back to the pace that was good before an outage, faster while answers are quick.
    fn pace(&mut self, ok: bool, took: Micros) {
        let part = took as f64 / self.set.counter_timeout.max(1) as f64;
        let good = ok && part < CALL_QUICK.1;
        if !good {
            self.call_gap = (self.call_gap * CALL_GAP.0).min(CALL_GAP.3.max(2.0 * self.call_gap_good));
            if !self.call_failed {
                self.call_gap_good = self.call_gap;
            }
        } else if self.call_gap > self.call_gap_good {
            self.call_gap = (self.call_gap * CALL_GAP.1).max(self.call_gap_good);
        } else if part < CALL_QUICK.0 {
            self.call_gap = (self.call_gap * CALL_GAP.2).max(CALL_LEAST);
            self.call_gap_good = self.call_gap;
        }
        self.call_failed = !good;
    }

    fn on_counter(&mut self, name: CounterName, outcome: CounterOutcome, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&name) else { return };
        let (key, ok) = (call.key, matches!(outcome, CounterOutcome::Total(n) if n.is_finite()));
        self.pace(ok, self.now - call.sent);
        if let Some(id) = call.grant {
            return self.on_grant(&id, call.slot, outcome, out);
        }
        self.advance(&key);
        let (window, burst, rate) = (self.window(key.0), self.plan(&key).burst, self.plan(&key).rate);
        let count_floor = if self.set.settles { -self.set.most_units } else { 0.0 };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.flying -= call.amount;
        c.calls_out = c.calls_out.saturating_sub(1);
        let age = c.slot.wrapping_sub(call.slot);
        let refused = outcome == CounterOutcome::Refused;
        let mut lost = if refused { call.units } else { 0.0 };
        if !refused && age <= 1 {
            // A late call may have landed. Taking it as landed never counts a unit twice; if it did not land,
            // a total below our own adds gives it away later, and it is added again then.
            let seen_before = c.prev.read;
            let s = if age == 0 { &mut c.cur } else { &mut c.prev };
            s.mine += call.amount;
            if let (CounterOutcome::Total(total), true) = (outcome, ok) {
                let others = total - s.mine;
                if others < -1e-3 * (1.0 + s.mine) {
                    // The counter came back empty (or a late add never landed): add our part again.
                    lost = -others;
                    s.mine += others;
                }
                let news = (others - s.others).max(0.0);
                s.others += news;
                let mut dt = secs(self.now - c.read_at).max(1e-3);
                c.level = if c.known { c.level + c.predicted - news } else { burst };
                if age == 0 && !(c.known && (s.read || seen_before)) {
                    // The first look at this slot: the store is taken to have been half full at its start.
                    let span = secs((self.now + c.shift) % window as u64);
                    let used = s.others + s.mine - c.prepaid;
                    c.level = c.level.min(START_STORE * burst + rate * span - used);
                    dt = dt.min(span).max(1e-3);
                }
                s.read = true;
                let weight = 1.0 - (-dt * 1e6 / window).exp();
                c.others_rate += (news / dt - c.others_rate) * weight;
                c.level = c.level.max(count_floor).min(burst);
                (c.known, c.predicted, c.read_at) = (true, 0.0, self.now);
            }
        }
        c.pending += lost;
        if c.pending != 0.0 {
            self.unpushed.insert(key.clone());
        }
        if c.calls_out == 0 {
            for id in std::mem::take(&mut c.waiting) {
                self.admit(&id, out);
            }
        }
        self.release_held(out);
    }

    /// Forgets customers that are idle, out of the box and whose ceiling share is full again, and units that
    /// no call could carry within their window.
    fn age_out(&mut self) {
        let (now, windows) =
            (self.now, (0..self.set.plans.len()).map(|i| self.window(i)).collect::<Vec<f64>>());
        (self.counted, self.uncounted) = (self.counted * 0.9, self.uncounted * 0.9);
        self.customers.retain(|key, c| {
            let (p, window) = (&self.set.plans[key.0], windows[key.0]);
            let past = c.pending != 0.0 && (now - c.pending_since) as f64 > window;
            self.uncounted += if past { c.pending.max(0.0) } else { 0.0 };
            c.pending = if past { 0.0 } else { c.pending };
            let refill = (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate.max(1e-9) * 1e6;
            let idle = if p.ceiling_rate > 0.0 { refill } else { 0.0 }.max(IDLE_WINDOWS * window);
            let busy = c.open > 0.0 || c.calls_out > 0 || now <= c.boxed_until || c.pending != 0.0;
            let keep = busy || (now - c.seen) as f64 <= idle;
            if past || !keep {
                self.unpushed.remove(key);
            }
            keep
        });
    }

    // ---- requests: taken, sent, ended ----

    fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        let unknown = Class { aim: r.time_left / 2, deadline: r.time_left, ..Class::default() };
        let known = r.class.and_then(|c| self.set.classes.get(c.0).map(|class| (c.0, class.clone())));
        let (class_ix, class) = known.unwrap_or((self.set.classes.len(), unknown));
        let margin = 2 * self.set.resolution.max(1);
        let plan = r.plan.filter(|p| p.0 < self.set.plans.len());
        let (Some(plan), true) = (plan, r.time_left > margin) else {
            // A plan nobody described allows nothing; no time left allows nothing either.
            out.push(Action::Refuse { request: r.id, retry_after: 0 });
            return;
        };
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        let key = self.enter(plan.0, r.customer, r.gateways);
        let (arrived, deadline) = (self.now, self.now + r.time_left);
        let id = r.id.clone();
        let open = Open { key: key.clone(), class, class_ix, units, arrived, deadline, ..Open::default() };
        self.requests.insert(r.id.clone(), open);
        self.timers.insert(self.next_timer, r.id.clone());
        out.push(Action::SetTimer { token: TimerToken(self.next_timer), after: r.time_left - margin });
        self.next_timer += 1;
        // A close decision waits for a fresh total, unless no call may go out now. Its units go along: one
        // call counts and asks; they are given back with a later call if it is turned away.
        if self.unsure(&key, units) {
            self.customers.entry(key.clone()).and_modify(|c| c.pending += units);
            let stands_for = self.push(&key, units, out);
            if let (Some(c), Some(r)) = (self.customers.get_mut(&key), self.requests.get_mut(&id)) {
                r.prepaid = units * stands_for;
                c.prepaid += r.prepaid;
                c.pending -= if stands_for > 0.0 { 0.0 } else { units };
                if c.calls_out > 0 {
                    return c.waiting.push(id);
                }
            }
        }
        self.admit(&id, out);
    }

    /// Charges a request and sends it on, or turns it away when its customer is beyond the quota.
    fn admit(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.charged) else { return };
        let (key, units, prepaid, closed) = (r.key.clone(), r.units, r.prepaid, r.closed);
        self.customers.entry(key.clone()).and_modify(|c| c.prepaid -= prepaid);
        let beyond = if closed { Some(0) } else { self.beyond_quota(&key, units, prepaid) };
        if let Some(wait) = beyond {
            self.charge(&key, 0.0, if prepaid > 0.0 { -units } else { 0.0 });
            return self.finish(id, Ending::TurnedAway(wait), out);
        }
        self.requests.entry(id.clone()).and_modify(|r| r.charged = true);
        self.customers.entry(key.clone()).and_modify(|c| c.open += 1.0);
        self.charge(&key, units, if prepaid > 0.0 { 0.0 } else { units });
        self.dispatch_or_hold(id, out);
    }

    /// Every guard that a send must pass: the request's end, its effect, drains, cold workers, ceilings.
    fn may_send(&self, r: &Open, w: &Worker) -> bool {
        let tries_left = r.attempts.len() < self.set.limits.max_attempts;
        if r.closed || r.streaming || self.now >= r.deadline || !tries_left {
            return false;
        }
        if w.info.availability != Availability::Ready
            || (self.coldness(w, self.now) < 1.0 && self.credit(w) < 1.0)
        {
            return false;
        }
        if r.attempts.iter().any(|a| a.out) && !self.set.limits.second_copies {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.may_have_run).peekable();
        let effect_ok = match (r.class.effect, ran.peek()) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(_)) => {
                self.now < begin_by(r)
                    && ran.all(|a| match r.class.group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => a.zone == w.info.zone,
                        DedupGroup::Cell => a.zone == w.info.zone && a.cell == w.info.cell,
                    })
            }
        };
        let p = self.plan(&r.key);
        let ceiling_ok = p.ceiling_rate <= 0.0
            || !r.attempts.is_empty()
            || r.granted
            || self.customers.get(&r.key).is_some_and(|c| c.ceiling >= r.units);
        effect_ok && ceiling_ok
    }

    /// What all workers may have in hand, an even part of it.
    fn room(&self) -> f64 {
        self.limit * self.ready.len() as f64 / self.instances()
    }

    /// Turns saved up by now. No single answer, however slow, holds them up: what they go by is learned from
    /// many, and an idle gateway always has one.
    fn turns_by_now(&self, room: f64) -> f64 {
        let gained = (self.now - self.turns_at) as f64 * room / self.usual;
        (self.turns + gained).min(TURNS_SAVED)
    }

    /// Sends a request to the best worker that its guards allow. The only place that sends.
    fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) -> bool {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return false };
        let room = self.room();
        let turns = self.turns_by_now(room);
        if self.out >= room.max(1.0) || (room < 1.0 && turns < 1.0) {
            return false;
        }
        self.advance(&key);
        let Some(worker) = self.pick(id) else {
            self.ask_ceiling(id, out);
            return false;
        };
        let credit = self.workers.get(&worker).map_or(0.0, |w| self.credit(w));
        let (Some(r), Some(w)) = (self.requests.get_mut(id), self.workers.get_mut(&worker)) else {
            return false;
        };
        if r.attempts.is_empty() {
            self.retries = (self.retries + RETRY_EARN.0).min(RETRY_EARN.1);
            let units = if r.granted { 0.0 } else { r.units };
            self.customers.entry(r.key.clone()).and_modify(|c| c.ceiling -= units);
        }
        (self.turns, self.turns_at) = ((turns - 1.0).max(0.0), self.now);
        self.send_gap += ((self.now - self.sent_at) as f64 - self.send_gap) * LEARN.0;
        (self.sent_at, self.out) = (self.now, self.out + 1.0);
        w.inflight += 1.0;
        (w.credit, w.credit_at) = (credit - 1.0, self.now);
        r.held = false;
        let timeout = r.deadline - self.now;
        let begin_within = begin_by(r).saturating_sub(self.now);
        r.attempts.push(Attempt::new(&w.info, self.now));
        out.push(Action::Send { request: id.clone(), worker, timeout, begin_within });
        true
    }

    fn dispatch_or_hold(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        if !self.dispatch(id, out) {
            if let Some(r) = self.requests.get_mut(id).filter(|r| !r.held) {
                r.held = true;
                self.held.push_back(id.clone());
            }
        }
    }

    /// Held requests go out as workers get room, the newest first: in a long overload a queue served in order
    /// hands every place to the class that may wait longest, and serves it late. The old are refused early.
    fn release_held(&mut self, out: &mut Vec<Action>) {
        let mut waiting = VecDeque::new();
        while let Some(id) = self.held.pop_back() {
            let Some(r) = self.requests.get(&id).filter(|r| r.held && !r.closed) else { continue };
            let hold = (r.class.aim as f64 * HOLD_SHARE) as Micros;
            let since = if r.attempts.is_empty() { r.arrived } else { r.arrived + hold };
            if self.now > since + hold {
                let wait = self.rng.u64(hold / 2..=hold.max(1)).min(self.set.limits.max_retry_after);
                self.finish(&id, Ending::TurnedAway(wait), out);
            } else if !self.dispatch(&id, out) {
                waiting.push_front(id);
            }
        }
        self.held = waiting;
    }

    fn on_done(&mut self, done: AttemptDone, out: &mut Vec<Action>) {
        let (id, outcome) = (&done.request, done.outcome);
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(a) = r.attempts.get_mut(done.attempt).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        let (worker, sent) = (a.worker, a.sent);
        let (class_ix, key, units, aim) = (r.class_ix, r.key.clone(), r.units, r.class.aim);
        // Until its answer began: neither a body on its way there nor an answer written slowly is its work.
        let latency = done.latency.min(self.now - sent) as f64;
        self.learn(worker, class_ix, aim, outcome, latency);
        if let (Some(n), Outcome::Ok) = (done.true_units.filter(|n| n.is_finite()), outcome) {
            self.advance(&key);
            self.charge(&key, n - units, n - units);
        }
        let Some(r) = self.requests.get_mut(id) else { return };
        if done.closed || r.closed || (outcome == Outcome::Ok && !r.streaming) {
            self.finish(id, Ending::Answered, out);
        } else if !r.attempts.iter().any(|a| a.out) {
            self.try_again(id, outcome, out);
        }
        self.release_held(out);
    }

    /// Another attempt where budget and time allow one, else the end.
    fn try_again(&mut self, id: &RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let barred = r.streaming || (ran && r.class.effect == Effect::AtMostOnce);
        let room = r.attempts.len() < self.set.limits.max_attempts && self.now < r.arrived + r.class.aim;
        // A worker that can't be reached has had no work of it: another attempt elsewhere piles nothing on.
        let costs = if outcome == Outcome::ConnectFailed { 0.0 } else { 1.0 };
        if !barred && room && self.retries >= costs {
            self.retries -= costs;
            self.dispatch_or_hold(id, out);
        } else {
            self.finish(id, Ending::TurnedAway(0), out);
        }
    }

    /// The only place that ends a request. A refusal says that trying again is harmless, so it becomes a
    /// failure wherever an attempt may have had its effect.
    fn finish(&mut self, id: &RequestId, ending: Ending, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let was_open = !r.closed;
        r.closed = true;
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let harmless = match r.class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || r.class.group == DedupGroup::All,
            Effect::AtMostOnce => !ran,
        };
        let (charged, never_sent) = (r.charged, r.attempts.is_empty());
        let (key, units) = (r.key.clone(), r.units);
        if was_open {
            match ending {
                Ending::Answered => {}
                Ending::TurnedAway(wait) if harmless => {
                    out.push(Action::Refuse { request: id.clone(), retry_after: wait })
                }
                Ending::TurnedAway(_) | Ending::Failed => out.push(Action::Fail(id.clone())),
            }
            if self.set.limits.cancel && !r.streaming {
                for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                    out.push(Action::Cancel { request: id.clone(), attempt: n });
                }
            }
        }
        if !r.attempts.iter().any(|a| a.out) {
            self.requests.remove(id);
        }
        if was_open && charged {
            self.customers.entry(key.clone()).and_modify(|c| c.open -= 1.0);
            if never_sent {
                // Quotas count what is sent on; this never was.
                self.charge(&key, -units, -units);
            }
        }
    }

    /// Second copies for requests whose attempt is lost or takes too much of the aim; where copies are not
    /// allowed, the lost attempt is called off first.
    fn watch_requests(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.closed).map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(r) = self.requests.get_mut(&id).filter(|r| !r.uploading) else { continue };
            let class_ix = r.class_ix;
            let mut running = r.attempts.iter_mut().enumerate().filter(|(_, a)| a.out);
            let (Some((n, a)), None) = (running.next(), running.next()) else { continue };
            let age = (self.now - a.sent) as f64;
            // Lost: no answer in several typical latencies, nor any other of its class from that worker.
            let health = self.workers.get(&a.worker).map(|w| (w.health[class_ix].answered, w.slow));
            let (answered, slow) = health.unwrap_or((0, 1.0));
            let lost = age > SILENT * slow.clamp(1.0, 2.0) * self.typical[class_ix] && answered <= a.sent;
            let first = lost && !a.suspected;
            a.suspected |= lost;
            let worker = a.worker;
            let barred = r.streaming || r.class.effect == Effect::AtMostOnce;
            let late = self.now > r.arrived + r.class.aim;
            let overdue = age > HEDGE_SHARE * r.class.aim as f64;
            if first {
                self.strike(worker, class_ix);
            }
            if barred || late || self.retries < 1.0 || !(lost || overdue) {
                continue;
            }
            if self.set.limits.second_copies {
                if self.dispatch(&id, out) {
                    self.retries -= 1.0;
                }
            } else if lost && self.set.limits.cancel {
                out.push(Action::Cancel { request: id, attempt: n });
            }
        }
    }

    // ---- workers: choice, health, cold starts ----

    fn on_workers(&mut self, list: WorkerList, out: &mut Vec<Action>) {
        if list.scope == ListScope::Failed {
            return out.extend(self.set.subscribe.then_some(Action::Subscribe));
        }
        if list.scope != ListScope::Delta {
            for w in self.workers.values_mut() {
                w.info.availability = Availability::Gone;
            }
        }
        let health = vec![Health::default(); self.typical.len()];
        let (me, gateways) = (self.set.me, self.set.instances);
        for info in list.workers {
            // Hundreds of gateways hear of a start together; a random first credit keeps them out of step.
            let (credit, credit_at) = (self.rng.f64(), self.now);
            let health = health.clone();
            let fresh = |info: WorkerInfo| {
                let place = place(info.mark, me, gateways);
                Worker { info, slow: 1.0, health, credit, credit_at, place, ..Worker::default() }
            };
            match self.workers.get_mut(&info.id) {
                Some(w) if w.info.started == info.started => w.info = info,
                Some(w) => *w = Worker { inflight: w.inflight, ..fresh(info) },
                None => drop(self.workers.insert(info.id, fresh(info))),
            }
        }
        self.workers.retain(|_, w| w.info.availability != Availability::Gone || w.inflight > 0.0);
        let ready = self.workers.values().filter(|w| w.info.availability == Availability::Ready);
        let mut ready: Vec<(u32, WorkerId)> = ready.map(|w| (w.info.tier, w.info.id)).collect();
        ready.sort_by_key(|(tier, _)| *tier);
        let best = ready.partition_point(|(tier, _)| ready.first().is_some_and(|(least, _)| tier == least));
        self.ready = ready.into_iter().map(|(_, id)| id).collect();
        // Each worker is near to so many gateways that each gateway has its number of near ones on the mean.
        let (workers, gateways) = (best.max(1) as u32, self.set.instances.max(1));
        let wide = (NEAR * gateways).div_ceil(workers).max(self.cold_gateways());
        let near = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.place < wide);
        self.near = self.ready[..best].iter().filter(near).copied().collect();
        self.release_held(out);
    }

    /// The share of its capacity that a worker has at the least.
    fn coldness(&self, w: &Worker, now: Micros) -> f64 {
        let age = w.info.started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let (from, warm) = (self.set.rules.cold_from, self.set.rules.cold_for.max(1) as f64);
        (from + (1.0 - from) * age / warm).min(1.0)
    }

    /// Gateways that share a cold worker. In steps of two, so that gateways agree while their lists differ.
    fn cold_gateways(&self) -> u32 {
        let (all, workers) = (self.set.instances.max(1), self.ready.len().max(1) as u32);
        let steps = std::iter::successors(Some(COLD_SHARE.0), |few| Some(few * 2));
        let enough = |few: &u32| *few >= all || few * workers >= COLD_SHARE.1 * all;
        steps.take(32).find(enough).unwrap_or(all).min(all)
    }

    /// Sends that a cold worker may have had from us and did not: at a rate that its few gateways together
    /// may send even if it has one core and the least capacity of its age, whatever the traffic or the fleet.
    fn credit(&self, w: &Worker) -> f64 {
        let few = self.cold_gateways();
        if w.place >= few {
            return 0.0;
        }
        let typical = self.typical.iter().sum::<f64>() / self.typical.len() as f64 / 1e6;
        let rate = COLD_PART * self.set.rules.fall_multiple / typical / f64::from(few);
        let span = self.now.saturating_sub(w.credit_at);
        (w.credit + rate * self.coldness(w, self.now - span / 2) * secs(span)).min(1.0)
    }

    /// Answers behind a worker's record, less by their age.
    fn samples(&self, w: &Worker) -> f64 {
        w.samples * (-(self.now.saturating_sub(w.at) as f64) / TRUST.1).exp()
    }

    /// A worker's slowness, drawn to the mean where few or old answers speak for it.
    fn slow_of(&self, w: &Worker) -> f64 {
        1.0 + (w.slow - 1.0) * self.samples(w) / (self.samples(w) + TRUST.0)
    }

    fn learn(&mut self, id: WorkerId, class_ix: usize, aim: Micros, outcome: Outcome, latency: f64) {
        self.out = (self.out - 1.0).max(0.0);
        let (now, room) = (self.now, self.room());
        let Some(w) = self.workers.get(&id) else { return };
        let (cold, slow) = (self.coldness(w, now), self.slow_of(w));
        let samples = self.samples(w);
        let used = self.out + 1.0 >= room / 2.0;
        let typical = &mut self.typical[class_ix];
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.inflight = (w.inflight - 1.0).max(0.0);
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            return;
        }
        (w.slow, w.samples, w.at) = (slow, samples + 1.0, now);
        let mut slow_down = outcome == Outcome::Full;
        if outcome == Outcome::Ok {
            let h = &mut w.health[class_ix];
            h.strikes = h.strikes.saturating_sub(1);
            if h.strikes == 0 {
                h.avoid_until = now;
            }
            // What a warm worker would have taken.
            let (out_for, latency) = (latency, latency * cold);
            w.slow += ((latency / *typical).min(10.0) - w.slow) * LEARN.1;
            // The first answers weigh more: they come from workers without queues.
            self.answers += 1.0;
            let first = 1.0 / (self.answers + 1.0);
            self.usual += (out_for.clamp(100.0, 2.0 * self.usual) - self.usual) * LEARN.0.max(first);
            *typical += (latency.max(100.0) - *typical) * LEARN.0.max(first);
            // In parts of the aim all classes tell together of pressure, which few answers of each could not.
            self.pressure += (latency / aim.max(1) as f64 - self.pressure) * LEARN.0.max(first);
            let least = if first > LEARN.0 { f64::MAX } else { self.unpressed * QUEUED.1 };
            self.unpressed = least.min(self.pressure);
            let queued = w.slow * self.pressure > QUEUED.0 * self.unpressed;
            slow_down = queued || latency > LATE_SHARE * aim as f64;
            if !slow_down && used {
                self.limit = (self.limit + INFLIGHT.3).min(INFLIGHT.2);
            }
        }
        // Workers held full lose most of their speed, and stay slow until they are left more alone.
        if slow_down && now > self.cut_at + 10 * TICK && cold >= 1.0 {
            (self.limit, self.cut_at) = ((self.limit * INFLIGHT_CUT).max(INFLIGHT.1), now);
        }
        let h = &mut w.health[class_ix];
        h.fails = if outcome == Outcome::Ok { 0 } else { h.fails + 1 };
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            h.answered = now;
        }
        // Turned away where nothing else of ours is out: it drains or is crowded by others, which a late list
        // or our own record would not tell for long.
        let closed = outcome == Outcome::Full && w.inflight < 1.0;
        if closed || (outcome == Outcome::ConnectFailed && h.fails > 1) {
            (0..self.typical.len()).for_each(|class| self.strike(id, class));
        } else if h.fails >= IN_A_ROW {
            self.strike(id, class_ix);
        }
    }

    /// A worker that failed a class is avoided for it; one that fails two, for all. It covers fast failures,
    /// silence and workers that fail one class only. Harm: a chance failure costs one worker for a meeting.
    fn strike(&mut self, id: WorkerId, class_ix: usize) {
        let meeting = self.send_gap * self.near.len().max(1) as f64;
        let now = self.now;
        let Some(h) = self.workers.get_mut(&id).and_then(|w| w.health.get_mut(class_ix)) else { return };
        if now >= h.avoid_until {
            let span = EJECT_FOR.0.max(meeting) * f64::from(1u32 << (h.strikes / STRIKE).min(3));
            h.avoid_until = now + span.min(EJECT_FOR.1) as Micros;
            h.strikes += STRIKE;
        }
    }

    /// Listed workers that get nothing for what they did: those that failed two classes, or the only one.
    pub fn avoided(&self) -> usize {
        let most = (self.typical.len() - 1).min(2);
        let down = |w: &&Worker| w.health.iter().filter(|h| self.now < h.avoid_until).count() >= most;
        self.ready.iter().filter_map(|id| self.workers.get(id)).filter(down).count()
    }

    /// The wait to expect at a worker: its learned slowness times what we have there.
    fn expected(&self, w: &Worker) -> f64 {
        let zone = if w.info.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
        self.slow_of(w) * (w.inflight + 1.0) * zone
    }

    /// The better of two random workers that the request may go to, not yet tried if possible. All are looked
    /// through only where a few draws find none.
    fn pick(&mut self, id: &RequestId) -> Option<WorkerId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let from = if self.near.is_empty() { n } else { self.near.len() };
        let draws: [usize; DRAWS] = std::array::from_fn(|_| self.rng.usize(..from));
        let r = self.requests.get(id)?;
        let tried = |w: &&Worker| r.attempts.iter().any(|a| a.worker == w.info.id);
        let fit = |w: &&Worker| {
            w.inflight < (self.limit / self.slow_of(w) / self.instances()).max(1.0) && self.may_send(r, w)
        };
        let near = |i: &usize| self.near.get(*i).and_then(|id| self.workers.get(id));
        let better = |a: &&Worker, b: &&Worker| self.expected(a).total_cmp(&self.expected(b));
        let drawn = draws.iter().filter_map(near).filter(|w| !tried(w) && self.healthy(r, w) && fit(w));
        if let Some(w) = drawn.take(2).min_by(better) {
            return Some(w.info.id);
        }
        // At most half the fleet is avoided on our own evidence: past that the trouble is not theirs.
        let worker = |i: usize| self.workers.get(&self.ready[i]);
        let mut all: Vec<&Worker> = (0..n).filter_map(|i| worker((draws[0] * n / from + i) % n)).collect();
        // A worse tier is for what no worker of a better one can take: those are gone, avoided or full.
        all.sort_by_key(|w| w.info.tier);
        let most = all.iter().filter(|w| !self.healthy(r, w)).count() * 2 > n;
        let fits = || all.iter().copied().filter(|w| (most || self.healthy(r, w)) && fit(w));
        let tier = fits().find(|w| !tried(w)).map_or(0, |w| w.info.tier);
        let new = fits().filter(|w| !tried(w) && w.info.tier == tier).take(2).min_by(better);
        new.or_else(|| fits().next()).map(|w| w.info.id)
    }

    /// Avoided workers get nothing; one on trial gets one repeatable request at a time.
    fn healthy(&self, r: &Open, w: &Worker) -> bool {
        let avoided = w.health.iter().filter(|h| self.now < h.avoid_until).count();
        let h = &w.health[r.class_ix];
        let trial_ok = h.strikes == 0 || (w.inflight == 0.0 && r.class.effect != Effect::AtMostOnce);
        self.now >= h.avoid_until && avoided < 2 && trial_ok
    }
}
