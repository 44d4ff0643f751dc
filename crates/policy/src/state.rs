//! Records that the decisions in `crates/policy/src/rules.rs` keep, and helpers without a choice in them.
use crate::api::*;

/// One customer's own and others' units in one slot, as the counter has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slot {
    pub mine: f64,
    pub others: f64,
    pub read: bool,
}

/// Longest window, µs: two of them are the longest that a counter keeps a number.
pub const WINDOW_MAX: f64 = 30e6;

/// The length of a slot of a ceiling's common part, µs, and the units that are given out in each; `part` is how much of
/// the ceiling is common.
///
/// Any span `t` touches fewer than `t / slot + 2` slots. With `D` the ceiling's depth, `R` its rate and
/// `a` the part of both that is common, slots of `D / 3R` with `a * D / 3` units each give out less than
/// `a * (R t + 2/3 D)` in it, and one slot's units once more where a counter that forgot is met:
/// never more than the common part's own `a * (R t + D)`.
pub fn pool(plan: &Plan, part: f64) -> (u64, f64) {
    let slot = plan.ceiling_burst / plan.ceiling_rate.max(1e-9) / 3.0 * 1e6;
    (slot.clamp(1e4, WINDOW_MAX) as u64, part * plan.ceiling_burst / 3.0)
}

/// Slots are moved by less than the longest window, µs.
const SHIFT_MAX: u64 = 30_000_000;

pub type Key = (usize, CustomerId);

#[derive(Clone, Debug, Default)]
pub struct Customer {
    pub gateways: f64,
    pub first: u32,
    /// Moves this customer's slots, so that not all customers start one at the same time.
    pub shift: Micros,
    pub slot: u64,
    pub cur: Slot,
    pub prev: Slot,
    pub pending: f64,
    pub pending_since: Micros,
    pub flying: f64,
    pub known: bool,
    pub level: f64,
    pub at: Micros,
    pub read_at: Micros,
    pub predicted: f64,
    pub others_rate: f64,
    pub boxed_until: Micros,
    pub ceiling: f64,
    pub ceiling_at: Micros,
    /// The slot whose common part of the ceiling is known to be given out.
    pub pool_empty: u64,
    /// When its plan last became another, or changed.
    pub changed: Micros,
    pub open: f64,
    /// Further attempts that it had beyond what its requests have earned since.
    pub retried: f64,
    pub seen: Micros,
    /// Calls to the counter in flight, the requests whose decision waits for their answers, and the units of
    /// these that are in the counts already.
    pub calls_out: u32,
    pub waiting: Vec<RequestId>,
    pub prepaid: f64,
}

impl Customer {
    /// One that comes through so many gateways and is seen for the first time.
    pub fn new(id: &CustomerId, gateways: f64, now: Micros) -> Customer {
        Customer { gateways, shift: hash(id) % SHIFT_MAX, at: now, read_at: now, ..Customer::default() }
    }
}

/// What one class of requests met at one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    pub answered: Micros,
    pub avoid_until: Micros,
    pub strikes: u32,
    /// Attempts in a row that were not served.
    pub fails: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub info: WorkerInfo,
    pub inflight: f64,
    pub slow: f64,
    /// Samples behind the above, and the time of the last.
    pub samples: f64,
    pub at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
    /// This gateway's place among all before it; see [`place`].
    pub place: u32,
    /// The same among the living.
    pub near: u32,
}

/// Samples, and µs after which they count a third, at which a worker's own record weighs as much as the mean.
const TRUST: (f64, f64) = (2.0, 10e6);

impl Worker {
    /// Answers behind its record, less by their age.
    pub fn samples_by(&self, now: Micros) -> f64 {
        self.samples * (-(now.saturating_sub(self.at) as f64) / TRUST.1).exp()
    }

    /// Its slowness, drawn to the mean where few or old answers speak for it.
    pub fn slow_by(&self, now: Micros) -> f64 {
        let samples = self.samples_by(now);
        1.0 + (self.slow - 1.0) * samples / (samples + TRUST.0)
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub zone: Zone,
    pub cell: u64,
    pub sent: Micros,
    pub out: bool,
    pub suspected: bool,
    /// False once the outcome proves that it never ran.
    pub may_have_run: bool,
}

impl Attempt {
    /// One that goes out now; until its outcome is known it may have run.
    pub fn new(to: &WorkerInfo, sent: Micros) -> Attempt {
        let (worker, zone, cell) = (to.id, to.zone.clone(), to.cell);
        Attempt { worker, zone, cell, sent, out: true, suspected: false, may_have_run: true }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Open {
    pub key: Key,
    /// Bits of its own, the same for all of its attempts.
    pub bits: u64,
    pub class: Class,
    pub class_ix: usize,
    pub units: f64,
    pub arrived: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub charged: bool,
    /// What the counter has been told of it before its decision.
    pub prepaid: f64,
    pub held: bool,
    /// Its units were granted from the common part of its customer's ceiling.
    pub granted: bool,
    pub closed: bool,
    pub streaming: bool,
    /// Its body has not gone out whole yet: no worker can have begun it.
    pub uploading: bool,
}

/// Safety kept at the end of a key window, µs.
const KEY_MARGIN: Micros = 50_000;

impl Open {
    /// Until when an attempt may begin: of a keyed request that may have run, only while its key is known.
    pub fn begin_by(&self) -> Micros {
        let keyed = self.class.effect == Effect::Deduplicated;
        let ran = self.attempts.iter().find(|a| a.may_have_run && keyed);
        let known = ran.map(|first| (first.sent + self.class.key_window).saturating_sub(KEY_MARGIN));
        known.map_or(self.deadline, |known| known.min(self.deadline))
    }

    /// Whether it may ask a site that may be lost: it can be asked elsewhere after.
    pub fn may_probe(&self) -> bool {
        self.class.effect == Effect::Idempotent && self.attempts.is_empty()
    }
}

pub enum Ending {
    TurnedAway(Micros),
    Failed,
    Answered,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub key: Key,
    pub slot: u64,
    pub amount: f64,
    pub units: f64,
    pub sent: Micros,
    /// The request that it asks a part of the ceiling for; none where it counts use.
    pub grant: Option<RequestId>,
}

pub fn secs(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// The same name at every gateway: customer and slot. Long names are cut and told apart by a hash.
pub fn counter_name(key: &Key, slot: u64) -> CounterName {
    let name = &key.1 .0;
    if name.len() <= 40 {
        return CounterName(format!("{name}.{slot}"));
    }
    CounterName(format!("~{:016x}.{slot}", hash(&key.1)))
}

/// FNV, the same at every gateway.
pub fn hash(customer: &CustomerId) -> u64 {
    fnv(customer.0.as_bytes())
}

/// FNV-1a of some bytes.
pub fn fnv(bytes: &[u8]) -> u64 {
    let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100000001b3);
    bytes.iter().fold(0xcbf29ce484222325, mix)
}

/// A number for one gateway before what bears the mark, a worker or a name of the counter: the same wherever it is
/// drawn (the finalizer of `splitmix64`).
pub fn draw(mark: u64, gateway: u32) -> u64 {
    let mut x = mark ^ u64::from(gateway).wrapping_add(1).wrapping_mul(0x9e3779b97f4a7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}

/// This gateway's place among all before one worker, by rendezvous hashing: all gateways agree on the order
/// without a word between them, and a worker that comes or goes changes nothing for the others.
pub fn place(mark: u64, me: u32, gateways: impl Iterator<Item = u32>) -> u32 {
    let mine = (draw(mark, me), me);
    gateways.filter(|other| (draw(mark, *other), *other) < mine).count() as u32
}

/// What a gateway may use of its even part of a cold worker's sends, as a multiple: one of the `few` that come first
/// before the worker, of whom some are gone.
pub fn cold_multiple(view: Option<&LeaseView>, now: Micros, mark: u64, few: u32) -> f64 {
    let Some(view) = view else { return 1.0 };
    if view.absent.is_empty() {
        return view.share_multiple_of_set(now, true, few, 0);
    }
    let mut order: Vec<(u64, u32)> = (0..view.gateways).map(|other| (draw(mark, other), other)).collect();
    let few = order.len().min(few as usize);
    if few > 0 && few < order.len() {
        order.select_nth_unstable(few - 1);
    }
    let gone = order[..few].iter().filter(|(_, other)| view.absent.contains(other)).count() as u32;
    view.share_multiple_of_set(now, true, few as u32, gone)
}

/// This gateway's place before a worker among the living: that among all, where nobody is known to be gone.
pub fn near_place(view: Option<&LeaseView>, me: u32, mark: u64, among_all: u32) -> u32 {
    let some_gone = view.filter(|view| !view.absent.is_empty());
    some_gone.map_or(among_all, |view| place(mark, me, view.live_gateways()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const WORKERS: u64 = 200;
    /// Gateways that a worker is near to.
    const WIDE: u32 = 18;

    /// The gateways near to each worker, of those that live.
    fn near(living: &[u32]) -> Vec<Vec<u32>> {
        let to = |worker: u64| {
            let mark = fnv(format!("w{worker}").as_bytes());
            let place = |me: &u32| place(mark, *me, living.iter().copied());
            living.iter().copied().filter(|me| place(me) < WIDE).collect()
        };
        (0..WORKERS).map(to).collect()
    }

    fn moved(before: &[Vec<u32>], after: &[Vec<u32>]) -> usize {
        let new = |(a, b): (&Vec<u32>, &Vec<u32>)| b.iter().filter(|gateway| !a.contains(gateway)).count();
        before.iter().zip(after).map(new).sum()
    }

    #[test]
    fn one_gateway_that_goes_moves_its_own_pairs_and_no_others() {
        let all: Vec<u32> = (0..300).collect();
        let (before, pairs) = (near(&all), WORKERS as usize * WIDE as usize);
        for gone in [0, 17, 299] {
            let living: Vec<u32> = all.iter().copied().filter(|gateway| *gateway != gone).collect();
            let after = near(&living);
            let own = before.iter().filter(|near| near.contains(&gone)).count();
            assert_eq!(moved(&before, &after), own, "gateway {gone}");
            // Of 300 gateways one has a three hundredth on the mean.
            assert!(own * 300 < 3 * pairs, "gateway {gone} had {own} of {pairs} pairs");
        }
    }

    #[test]
    fn every_worker_has_as_many_after_seven_in_ten_are_gone_and_gateways_are_even() {
        let living: Vec<u32> = (0..300).filter(|gateway| gateway % 10 < 3).collect();
        let near = near(&living);
        assert!(near.iter().all(|gateways| gateways.len() == WIDE as usize));
        let of = |gateway: &u32| near.iter().filter(|gateways| gateways.contains(gateway)).count();
        let most = living.iter().map(of).max().unwrap() as f64;
        let mean = f64::from(WIDE) * WORKERS as f64 / living.len() as f64;
        assert!(most < 1.5 * mean, "the largest has {most}, the mean is {mean}");
    }
}
