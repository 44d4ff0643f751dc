//! State records and pure helpers of the decision logic in `crates/policy/src/rules.rs`.
use crate::api::*;

/// Units of one counter slot, by this gateway and by the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slot {
    pub mine: f64,
    pub others: f64,
    /// Whether a total of the slot was read.
    pub read: bool,
}

/// Longest quota window, µs: half of the longest time that the counter keeps a number.
pub const WINDOW_MAX: f64 = 30e6;

/// Slot length of a ceiling's shared pool, µs, and the units granted in each slot; `part` is the shared
/// fraction of the ceiling.
///
/// A span of `t` seconds touches fewer than `t / slot + 2` slots. With depth `D`, rate `R` and shared
/// fraction `a`, slots of `D / 3R` with `a * D / 3` units grant less than `a * (R t + 2/3 D)`. One more
/// slot, after a counter that lost its data, stays within `a * (R t + D)`.
pub fn ceiling_pool(plan: &Plan, part: f64) -> (u64, f64) {
    let slot = plan.ceiling_burst / plan.ceiling_rate.max(1e-9) / 3.0 * 1e6;
    (slot.clamp(1e4, WINDOW_MAX) as u64, part * plan.ceiling_burst / 3.0)
}

/// Upper bound of a customer's slot offset, µs.
const SLOT_OFFSET_MAX: u64 = 30_000_000;

/// A customer under one plan: the index of the plan, and the customer.
pub type Key = (usize, CustomerId);

#[derive(Clone, Debug, Default)]
pub struct Customer {
    /// Number of gateways that its requests come through.
    pub gateways: f64,
    /// Index of the first of those gateways.
    pub first: u32,
    /// Offsets this customer's slots, so that customers don't all start one at the same time.
    pub slot_offset: Micros,
    /// Current slot, and the counts of it and of the one before.
    pub slot: u64,
    pub current: Slot,
    pub previous: Slot,
    /// Units not yet reported to the counter.
    pub pending: f64,
    pub pending_since: Micros,
    /// Units in counter calls in flight.
    pub in_transit: f64,
    /// Whether a total was ever read.
    pub total_known: bool,
    /// Quota level, units, as of `updated_at`.
    pub level: f64,
    pub updated_at: Micros,
    /// When the last total was read.
    pub read_at: Micros,
    /// Forecast of the other gateways' units since the last total.
    pub forecast: f64,
    /// Mean rate of the other gateways' use, units a second.
    pub others_rate: f64,
    /// Until when the customer is penalized for exceeding its quota.
    pub penalty_until: Micros,
    /// Level of this gateway's ceiling share, units, as of `ceiling_at`.
    pub ceiling_level: f64,
    pub ceiling_at: Micros,
    /// The slot in which the ceiling's pool was last seen exhausted.
    pub pool_exhausted: u64,
    /// When the customer's plan last changed.
    pub plan_changed_at: Micros,
    /// Admitted requests that have not ended.
    pub open_requests: f64,
    /// Retries beyond those that its requests have earned.
    pub retry_debt: f64,
    pub last_seen: Micros,
    /// Counter calls in flight.
    pub open_calls: u32,
    /// Requests whose decision waits for the answers of these calls.
    pub waiting: Vec<RequestId>,
    /// Units of waiting requests that are already in the counts.
    pub prepaid: f64,
}

impl Customer {
    /// A customer seen for the first time, with requests through `gateways` gateways.
    pub fn new(id: &CustomerId, gateways: f64, now: Micros) -> Customer {
        Customer {
            gateways,
            slot_offset: customer_hash(id) % SLOT_OFFSET_MAX,
            updated_at: now,
            read_at: now,
            ..Customer::default()
        }
    }
}

/// Health of one worker for one class of requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    pub answered_at: Micros,
    pub avoid_until: Micros,
    /// Rises with each ejection and falls with each served attempt.
    pub strikes: u32,
    /// Consecutive attempts that were not served.
    pub consecutive_failures: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub info: WorkerInfo,
    pub inflight: f64,
    /// Mean latency relative to the fleet.
    pub slowness: f64,
    /// Decayed number of samples in `slowness`, and the time of the last one.
    pub samples: f64,
    pub sampled_at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
    /// This gateway's rank among all gateways; see [`rank`].
    pub rank: u32,
    /// Its rank among the live gateways.
    pub live_rank: u32,
}

/// Sample count at which a worker's own record weighs as much as the mean.
const TRUST_SAMPLES: f64 = 2.0;
/// Age at which a sample counts a third, µs.
const SAMPLE_DECAY: f64 = 10e6;

impl Worker {
    /// Sample count, decayed by age.
    pub fn samples_at(&self, now: Micros) -> f64 {
        self.samples * (-(now.saturating_sub(self.sampled_at) as f64) / SAMPLE_DECAY).exp()
    }

    /// Slowness, shrunk towards 1 for few or old samples.
    pub fn slowness_at(&self, now: Micros) -> f64 {
        let samples = self.samples_at(now);
        1.0 + (self.slowness - 1.0) * samples / (samples + TRUST_SAMPLES)
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub zone: Zone,
    pub cell: u64,
    pub sent: Micros,
    pub in_flight: bool,
    /// Whether it takes a place of the in-flight limit: a lost one leaves its place to the attempt that follows.
    pub counted: bool,
    pub suspected_lost: bool,
    /// Whether its answer has begun and makes no progress.
    pub stalled: bool,
    /// False once the outcome proves that its worker never got it.
    pub may_have_reached: bool,
    /// False once the outcome proves that it never ran.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt sent now; until its outcome is known it may have run.
    pub fn new(to: &WorkerInfo, sent: Micros) -> Attempt {
        Attempt {
            worker: to.id,
            zone: to.zone.clone(),
            cell: to.cell,
            sent,
            in_flight: true,
            counted: false,
            suspected_lost: false,
            stalled: false,
            may_have_reached: true,
            may_have_run: true,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct OpenRequest {
    pub key: Key,
    /// Hash of the request id, the same for all its attempts.
    pub bits: u64,
    pub class: Class,
    pub class_ix: usize,
    pub units: f64,
    pub arrived: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub charged: bool,
    /// Units reported to the counter before the decision.
    pub prepaid: f64,
    pub held: bool,
    /// Whether its units were granted from the ceiling's shared pool.
    pub granted: bool,
    pub closed: bool,
    pub streaming: bool,
    /// Whether the body is still being sent, so that no worker can have begun.
    pub uploading: bool,
    /// Whether the body is streamed from the client, and so can't be sent twice.
    pub streamed_body: bool,
    /// Whether its attempt was cancelled so that another one follows.
    pub replacing: bool,
}

/// Safety margin before the end of a key window, µs.
const KEY_MARGIN: Micros = 50_000;

impl OpenRequest {
    /// A request that arrives now, with no attempt yet.
    pub fn new(id: &RequestId, now: Micros, time_left: Micros) -> OpenRequest {
        let (bits, deadline) = (fnv(id.0.as_bytes()), now + time_left);
        OpenRequest { bits, arrived: now, deadline, ..OpenRequest::default() }
    }

    /// Latest start of another attempt: a keyed request that may have run must start within its key window.
    pub fn begin_by(&self) -> Micros {
        let keyed = self.class.effect == Effect::Deduplicated;
        let ran = self.attempts.iter().find(|a| a.may_have_run && keyed);
        let known = ran.map(|first| (first.sent + self.class.key_window).saturating_sub(KEY_MARGIN));
        known.map_or(self.deadline, |known| known.min(self.deadline))
    }

    /// Whether a worker may have run it.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Number of attempts that may have reached their worker.
    pub fn workers_reached(&self) -> usize {
        self.attempts.iter().filter(|a| a.may_have_reached).count()
    }

    /// Whether a worker knows the keys of all workers that may have run it, if it has a key.
    pub fn shares_keys_with(&self, worker: &WorkerInfo) -> bool {
        let same_group = |a: &Attempt| match self.class.group {
            _ if self.class.effect != Effect::Deduplicated => true,
            DedupGroup::All => true,
            DedupGroup::Zone => a.zone == worker.zone,
            DedupGroup::Cell => a.zone == worker.zone && a.cell == worker.cell,
        };
        self.attempts.iter().filter(|a| a.may_have_run).all(same_group)
    }

    /// Records whether an attempt's answer has stalled.
    pub fn set_stalled(&mut self, attempt: usize, stalled: bool) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.stalled = stalled;
        }
    }

    /// Whether it may probe a lost site: it must be repeatable and not yet sent.
    pub fn may_probe(&self) -> bool {
        self.class.effect == Effect::Idempotent && self.attempts.is_empty()
    }
}

/// How a request ends.
pub enum Ending {
    /// With retry advice.
    Refused(Micros),
    Failed,
    Answered,
}

/// A counter call in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: Key,
    pub slot: u64,
    /// Weighted units sent to the counter.
    pub amount: f64,
    /// The same units without weight.
    pub units: f64,
    pub sent: Micros,
    /// The request that asks for a ceiling grant; `None` for a usage report.
    pub grant: Option<RequestId>,
}

pub fn secs(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Counter name of a customer's slot, the same at every gateway. Long names are hashed.
pub fn counter_name(key: &Key, slot: u64) -> CounterName {
    let name = &key.1 .0;
    if name.len() <= 40 {
        return CounterName(format!("{name}.{slot}"));
    }
    CounterName(format!("~{:016x}.{slot}", customer_hash(&key.1)))
}

/// FNV-1a hash of a customer, the same at every gateway.
pub fn customer_hash(customer: &CustomerId) -> u64 {
    fnv(customer.0.as_bytes())
}

/// 64-bit FNV-1a hash.
pub fn fnv(bytes: &[u8]) -> u64 {
    let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100000001b3);
    bytes.iter().fold(0xcbf29ce484222325, mix)
}

/// Rendezvous weight of a gateway for the hash of a worker or counter name: the finalizer of `splitmix64`.
pub fn rendezvous_weight(hash: u64, gateway: u32) -> u64 {
    let mut x = hash ^ u64::from(gateway).wrapping_add(1).wrapping_mul(0x9e3779b97f4a7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}

/// Rank of gateway `me` at a worker by rendezvous hashing: all gateways agree on the order, and a worker
/// that comes or goes leaves the other workers' orders unchanged.
pub fn rank(hash: u64, me: u32, gateways: impl Iterator<Item = u32>) -> u32 {
    let mine = (rendezvous_weight(hash, me), me);
    gateways.filter(|other| (rendezvous_weight(hash, *other), *other) < mine).count() as u32
}

/// Multiple of its even share of a cold worker's sends that a gateway may use, given how many of the `few`
/// gateways ranked first there are absent.
pub fn cold_multiple(view: Option<&LeaseView>, now: Micros, hash: u64, few: u32) -> f64 {
    let Some(view) = view else { return 1.0 };
    if view.absent.is_empty() {
        return view.share_multiple_of_set(now, true, few, 0);
    }
    let mut order: Vec<(u64, u32)> =
        (0..view.gateways).map(|other| (rendezvous_weight(hash, other), other)).collect();
    let few = order.len().min(few as usize);
    if few > 0 && few < order.len() {
        order.select_nth_unstable(few - 1);
    }
    let gone = order[..few].iter().filter(|(_, other)| view.absent.contains(other)).count() as u32;
    view.share_multiple_of_set(now, true, few as u32, gone)
}

/// Rank among the live gateways; `rank_of_all` if none is known to be absent.
pub fn live_rank(view: Option<&LeaseView>, me: u32, hash: u64, rank_of_all: u32) -> u32 {
    let some_gone = view.filter(|view| !view.absent.is_empty());
    some_gone.map_or(rank_of_all, |view| rank(hash, me, view.live_gateways()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const WORKERS: u64 = 200;
    /// Gateways in whose subset each worker is.
    const SUBSET_GATEWAYS: u32 = 18;

    /// The live gateways ranked first at each worker.
    fn subsets(living: &[u32]) -> Vec<Vec<u32>> {
        let to = |worker: u64| {
            let hash = fnv(format!("w{worker}").as_bytes());
            let rank_of = |me: &u32| rank(hash, *me, living.iter().copied());
            living.iter().copied().filter(|me| rank_of(me) < SUBSET_GATEWAYS).collect()
        };
        (0..WORKERS).map(to).collect()
    }

    fn moved(before: &[Vec<u32>], after: &[Vec<u32>]) -> usize {
        let new = |(a, b): (&Vec<u32>, &Vec<u32>)| b.iter().filter(|gateway| !a.contains(gateway)).count();
        before.iter().zip(after).map(new).sum()
    }

    #[test]
    fn removing_a_gateway_moves_only_its_own_pairs() {
        let all: Vec<u32> = (0..300).collect();
        let (before, pairs) = (subsets(&all), WORKERS as usize * SUBSET_GATEWAYS as usize);
        for gone in [0, 17, 299] {
            let living: Vec<u32> = all.iter().copied().filter(|gateway| *gateway != gone).collect();
            let after = subsets(&living);
            let own = before.iter().filter(|gateways| gateways.contains(&gone)).count();
            assert_eq!(moved(&before, &after), own, "gateway {gone}");
            // With 300 gateways one has a three-hundredth on average.
            assert!(own * 300 < 3 * pairs, "gateway {gone} had {own} of {pairs} pairs");
        }
    }

    #[test]
    fn subsets_stay_even_after_losing_seventy_percent_of_gateways() {
        let living: Vec<u32> = (0..300).filter(|gateway| gateway % 10 < 3).collect();
        let subsets = subsets(&living);
        assert!(subsets.iter().all(|gateways| gateways.len() == SUBSET_GATEWAYS as usize));
        let of = |gateway: &u32| subsets.iter().filter(|gateways| gateways.contains(gateway)).count();
        let most = living.iter().map(of).max().unwrap() as f64;
        let mean = f64::from(SUBSET_GATEWAYS) * WORKERS as f64 / living.len() as f64;
        assert!(most < 1.5 * mean, "the largest has {most}, the mean is {mean}");
    }
}
