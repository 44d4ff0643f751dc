//! Admission control of one gateway: per-tenant limits in a bounded table.

use crate::bucket::refilled_level;
use crate::hash::{hash_bytes, mix};
use crate::lru::{Handle, LruMap};
use crate::share_meter::MeterReading;
use crate::{
    micros, Adds, BucketLimit, EvenShare, GatewayId, Incarnation, Micros, ShareMeter, SharedBucket,
    SlidingCount, TenantAdd, Totals, SECOND,
};
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};

/// Window of tenants without a rate.
const DEFAULT_WINDOW: Micros = 10 * SECOND;
/// Minimum window, for bursts far smaller than the rate.
const MIN_WINDOW: Micros = SECOND / 10;
/// Maximum window, for rates far smaller than the burst.
const MAX_WINDOW: Micros = 3_600 * SECOND;
/// Maximum number of entries checked for expiry with each request.
const EXPIRY_BATCH: usize = 2;
/// Maximum number of busy entries skipped to find one to evict.
const EVICTION_SCAN: usize = 64;
/// Retry delay if the time of the next token is unknown.
const DEFAULT_RETRY_DELAY: Micros = SECOND / 4;
/// Fraction of the slack withheld from penalized tenants. It is small since tenants within their quota occasionally
/// exceed their burst by chance, and the slack compensates for uneven load between gateways.
const PENALTY_SLACK_RESERVE: f64 = 0.25;
/// Bounds of the retry delay, before jitter.
const MIN_RETRY_DELAY: Micros = SECOND / 100;
const MAX_RETRY_DELAY: Micros = 60 * SECOND;
/// Number of windows after which the counts of other gateways are stale.
const OTHERS_EXPIRY_WINDOWS: Micros = 2;

/// Limits of a [`TenantTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSettings {
    /// Maximum number of tenants.
    pub entries: usize,
    /// Idle time after which a tenant is evicted.
    pub idle: Micros,
    /// Minimum interval between two pushes of counts.
    pub push_interval: Micros,
    /// Maximum number of tenants in one push, over all owners.
    pub push_batch: usize,
}

impl Default for TableSettings {
    fn default() -> TableSettings {
        TableSettings { entries: 100_000, idle: 240 * SECOND, push_interval: SECOND / 4, push_batch: 2_000 }
    }
}

/// A tenant's limits, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimits {
    /// Requests per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst size in requests.
    pub burst: f64,
    /// Requests beyond the burst that the hard bound admits. The penalty threshold does not include them.
    pub slack: f64,
    /// Maximum number of open requests.
    pub open_cap: Option<u32>,
    /// Exempt from the penalty box.
    pub exempt: bool,
    /// Fraction of burst and slack that must remain after a request; otherwise the request is refused.
    pub reserve: f64,
    /// Whether each gateway may accumulate a whole token, however small its share of burst and slack. The total
    /// may then reach one token per gateway.
    pub whole_tokens: bool,
}

impl TenantLimits {
    fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    fn window(&self) -> Micros {
        if self.is_limited() {
            micros(self.burst / self.rate_per_s).clamp(MIN_WINDOW, MAX_WINDOW)
        } else {
            DEFAULT_WINDOW
        }
    }

    /// The count per window above which a tenant is penalized: the burst, or the rate times the window if that
    /// is more.
    fn threshold(&self) -> f64 {
        self.burst.max(self.rate_per_s * crate::seconds(self.window()))
    }

    fn hard_bound(&self) -> BucketLimit {
        if self.is_limited() {
            let min_capacity = if self.whole_tokens { 1.0 } else { 0.0 };
            BucketLimit { rate: self.rate_per_s, depth: self.burst + self.slack, min_capacity }
        } else {
            BucketLimit { rate: 0.0, depth: 0.0, min_capacity: 0.0 }
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant is in the penalty box and has used up its share of the rate.
    PenaltyBox,
    /// Too many requests are open for the tenant, or all table entries have open requests.
    OpenCap,
    /// This gateway holds no valid share of the limits.
    NoLease,
    /// This gateway's share of the tenant's limit is used up.
    HardBound,
}

/// The admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent. Its end must be reported by [`TenantTable::record_end`].
    Admitted,
    /// The request must not be sent.
    Refused {
        /// Delay after which a token is expected, with jitter.
        retry_after: Micros,
        /// The reason.
        reason: RefusalReason,
    },
}

/// A refusal without jitter.
struct Refusal {
    wait: Micros,
    reason: RefusalReason,
}

/// The total count of the other gateways, from the owner.
#[derive(Clone, Copy, Debug)]
struct OtherCounts {
    received_at: Micros,
    count: f64,
    /// Change of the count per microsecond.
    slope: f64,
}

#[derive(Clone, Debug)]
struct Tenant {
    count: SlidingCount,
    open: u32,
    last_used: Micros,
    /// End of the penalty.
    penalized_until: Micros,
    /// Time at which the next request is admitted during the penalty.
    next_penalized_admit: Micros,
    bucket: SharedBucket,
    others: Option<OtherCounts>,
    cumulative: u64,
    /// The cumulative count confirmed by the owner.
    confirmed: u64,
    queued: bool,
}

/// Decides on the admission of requests, with a bounded table of tenants.
///
/// A request is counted, then checked against the penalty box, the cap on open requests and this gateway's share
/// of the limit (the hard bound). Refused requests, and those that end without having run, are not counted.
/// Evicting an entry never violates the hard bound: a tenant not in the table starts with the tokens that an
/// empty bucket would have accumulated since the table was created, or since the last use of any evicted entry,
/// and at most its share of the burst.
///
/// Requests are counted at admission: a caller that queues requests asks for admission when it sends them.
#[derive(Clone, Debug)]
pub struct TenantTable {
    settings: TableSettings,
    incarnation: Incarnation,
    meter: ShareMeter,
    tenants: LruMap<Tenant>,
    /// Latest time at which a tenant not in the table may have used tokens.
    evicted_until: MeterReading,
    changed: VecDeque<Handle>,
    sequence: u64,
    pushed_at: Option<Micros>,
}

impl TenantTable {
    /// Creates an empty table for a run that starts now.
    pub fn new(now: Micros, incarnation: Incarnation, settings: TableSettings) -> TenantTable {
        let meter = ShareMeter::new(now);
        TenantTable {
            settings,
            incarnation,
            tenants: LruMap::new(),
            evicted_until: meter.reading(),
            meter,
            changed: VecDeque::new(),
            sequence: 0,
            pushed_at: None,
        }
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a tenant is in the penalty box.
    pub fn is_penalized(&self, now: Micros, tenant: &str) -> bool {
        let entry = self.tenants.find(tenant).and_then(|handle| self.tenants.get(handle));
        entry.is_some_and(|(_, tenant)| now < tenant.penalized_until)
    }

    /// Records the share held from now on. Must be called at each lease renewal, even without requests: tokens
    /// accumulated before an observed expiry are lost.
    pub fn observe_share(&mut self, now: Micros, even_share: EvenShare) {
        self.meter.observe(now, even_share);
    }

    /// Decides whether a request may be sent. `jitter_seed` should differ between requests; it determines the
    /// jitter of the retry delay.
    pub fn admit(
        &mut self,
        now: Micros,
        tenant: &str,
        limits: TenantLimits,
        even_share: EvenShare,
        jitter_seed: u64,
    ) -> Admission {
        self.admit_with(now, tenant, limits, even_share, jitter_seed, 0.0)
    }

    /// Like [`Self::admit`], with tokens `lent` by other gateways for this request.
    pub fn admit_with(
        &mut self,
        now: Micros,
        tenant: &str,
        limits: TenantLimits,
        even_share: EvenShare,
        jitter_seed: u64,
        lent: f64,
    ) -> Admission {
        self.meter.observe(now, even_share);
        self.evict_idle(now);
        let Some(handle) = self.find_or_insert(now, tenant, &limits) else {
            return refused(
                Refusal { wait: DEFAULT_RETRY_DELAY, reason: RefusalReason::OpenCap },
                jitter_seed,
            );
        };
        self.tenants.touch(handle);
        let Some(entry) = self.tenants.get_mut(handle) else { unreachable!("found or inserted above") };
        match entry.check(now, &limits, &self.meter, lent) {
            Ok(()) => {
                entry.cumulative += 1;
                entry.open += 1;
                self.note_changed(handle);
                Admission::Admitted
            }
            Err(refusal) => refused(refusal, jitter_seed),
        }
    }

    /// The missing fraction of a token in a tenant's bucket; `None` if the bucket lacks nothing, or the tenant
    /// is penalized or unknown.
    pub fn missing_tokens(&self, now: Micros, tenant: &str) -> Option<f64> {
        let handle = self.tenants.find(tenant)?;
        let (_, entry) = self.tenants.get(handle)?;
        let penalized = now < entry.penalized_until;
        Some(1.0 - entry.bucket.level()).filter(|lacks| !penalized && *lacks > 0.0)
    }

    /// Lends at most `max` tokens of a tenant to another gateway and returns their number.
    pub fn lend(
        &mut self,
        now: Micros,
        tenant: &str,
        limits: TenantLimits,
        even_share: EvenShare,
        max: f64,
    ) -> f64 {
        self.meter.observe(now, even_share);
        if !limits.is_limited() || self.meter.share() <= 0.0 {
            return 0.0;
        }
        let Some(handle) = self.find_or_insert(now, tenant, &limits) else { return 0.0 };
        let Some(entry) = self.tenants.get_mut(handle) else { return 0.0 };
        entry.last_used = now;
        let lent = entry.bucket.lend(&self.meter, limits.hard_bound(), max);
        self.tenants.touch(handle);
        lent
    }

    /// Records the end of an admitted request. A request that never ran on a worker is refunded.
    pub fn record_end(&mut self, now: Micros, tenant: &str, ran: bool) {
        self.meter.advance(now);
        let Some(handle) = self.tenants.find(tenant) else { return };
        let Some(entry) = self.tenants.get_mut(handle) else { return };
        if entry.open == 0 {
            return;
        }
        entry.last_used = now;
        if ran {
            entry.bucket.settle();
        } else {
            entry.count.add(now, -1.0);
            entry.cumulative -= 1;
            entry.bucket.refund(&self.meter, entry.open);
        }
        entry.open -= 1;
        self.tenants.touch(handle);
        self.note_changed(handle);
    }

    /// Returns the counts that owners have not confirmed, at most once per push interval. Counts are sent again
    /// until a total confirms them.
    pub fn collect_adds(
        &mut self,
        now: Micros,
        owner_of: impl Fn(&str) -> Option<GatewayId>,
    ) -> Vec<(GatewayId, Adds)> {
        if self.pushed_at.is_some_and(|at| now.saturating_sub(at) < self.settings.push_interval) {
            return Vec::new();
        }
        self.pushed_at = Some(now);
        self.sequence += 1;
        let mut by_owner: BTreeMap<GatewayId, Vec<TenantAdd>> = BTreeMap::new();
        self.drop_evicted_changes();
        for _ in 0..self.changed.len().min(self.settings.push_batch) {
            let Some((owner, add)) = self.next_add(now, &owner_of) else { continue };
            by_owner.entry(owner).or_default().push(add);
        }
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        by_owner
            .into_iter()
            .map(|(owner, tenants)| (owner, Adds { incarnation, sequence, tenants }))
            .collect()
    }

    /// Records totals from an owner. The counts of other gateways affect decisions until they are two windows old.
    pub fn apply_totals(&mut self, now: Micros, totals: &Totals) {
        if totals.incarnation != self.incarnation {
            return;
        }
        for total in &totals.tenants {
            let Some(handle) = self.tenants.find(&total.tenant) else { continue };
            let Some(entry) = self.tenants.get_mut(handle) else { continue };
            entry.confirmed = total.counted;
            entry.record_others(now, (total.total - total.yours).max(0.0));
        }
    }

    fn next_add(
        &mut self,
        now: Micros,
        owner_of: &impl Fn(&str) -> Option<GatewayId>,
    ) -> Option<(GatewayId, TenantAdd)> {
        let handle = self.changed.pop_front()?;
        let (name, _) = self.tenants.get(handle)?;
        let name = name.clone();
        let entry = self.tenants.get_mut(handle)?;
        let owner = owner_of(&name);
        // Queued again below until the owner confirms the count.
        entry.queued = false;
        let add = entry.add(now, name);
        if entry.cumulative != entry.confirmed {
            self.note_changed(handle);
        }
        Some((owner?, add))
    }

    /// Removes the handles of evicted entries from the queue.
    fn drop_evicted_changes(&mut self) {
        let tenants = &self.tenants;
        self.changed.retain(|handle| tenants.get(*handle).is_some());
    }

    fn note_changed(&mut self, handle: Handle) {
        let Some(entry) = self.tenants.get_mut(handle) else { return };
        if !entry.queued {
            entry.queued = true;
            self.changed.push_back(handle);
        }
        if self.changed.len() > 2 * self.settings.entries {
            self.drop_evicted_changes();
        }
    }

    fn find_or_insert(&mut self, now: Micros, tenant: &str, limits: &TenantLimits) -> Option<Handle> {
        if let Some(handle) = self.tenants.find(tenant) {
            return Some(handle);
        }
        if self.tenants.len() >= self.settings.entries && !self.evict_one() {
            return None;
        }
        let entry = self.new_tenant(now, limits);
        Some(self.tenants.insert(CompactString::from(tenant), entry))
    }

    /// Creates an entry. Its level is that of a bucket that was empty when the tenant may last have been used,
    /// and at most its share of the burst.
    fn new_tenant(&self, now: Micros, limits: &TenantLimits) -> Tenant {
        let limit = limits.hard_bound();
        let start = BucketLimit { depth: limits.burst, ..limit };
        let level = refilled_level(&self.meter, self.evicted_until, 0.0, start);
        Tenant {
            count: SlidingCount::new(now, limits.window()),
            open: 0,
            last_used: now,
            penalized_until: 0,
            next_penalized_admit: 0,
            bucket: SharedBucket::new(&self.meter, limit, level),
            others: None,
            cumulative: 0,
            confirmed: 0,
            queued: false,
        }
    }

    fn evict_idle(&mut self, now: Micros) {
        for _ in 0..EXPIRY_BATCH {
            let Some(oldest) = self.tenants.oldest() else { return };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return };
            if now.saturating_sub(tenant.last_used) < self.settings.idle {
                return;
            }
            if tenant.open > 0 {
                self.tenants.touch(oldest);
            } else {
                self.evict(oldest);
            }
        }
    }

    /// Evicts the least recently used entry without open requests. Busy entries are marked as used.
    fn evict_one(&mut self) -> bool {
        for _ in 0..EVICTION_SCAN {
            let Some(oldest) = self.tenants.oldest() else { return false };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return false };
            if tenant.open == 0 {
                self.evict(oldest);
                return true;
            }
            self.tenants.touch(oldest);
        }
        false
    }

    fn evict(&mut self, handle: Handle) {
        let Some(tenant) = self.tenants.remove(handle) else { return };
        let last_used = tenant.bucket.last_used();
        if last_used.at > self.evicted_until.at {
            self.evicted_until = last_used;
        }
    }
}

impl Tenant {
    fn check(
        &mut self,
        now: Micros,
        limits: &TenantLimits,
        meter: &ShareMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        self.last_used = now;
        self.count.set_window(now, limits.window());
        self.count.add(now, 1.0);
        let result = self.check_counted(now, limits, meter, lent);
        if result.is_err() {
            self.count.add(now, -1.0);
        }
        result
    }

    fn check_counted(
        &mut self,
        now: Micros,
        limits: &TenantLimits,
        meter: &ShareMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        if limits.is_limited() && meter.share() <= 0.0 && lent < 1.0 {
            return Err(Refusal { wait: DEFAULT_RETRY_DELAY, reason: RefusalReason::NoLease });
        }
        self.update_penalty(now, limits);
        let penalized = now < self.penalized_until && !limits.exempt;
        if penalized && now < self.next_penalized_admit && !self.quota_allows(limits, meter) {
            let wait = self.next_penalized_admit.min(self.penalized_until) - now;
            return Err(Refusal { wait, reason: RefusalReason::PenaltyBox });
        }
        self.check_open_cap(now, limits, meter)?;
        self.check_hard_bound(limits, meter, lent)?;
        if penalized {
            self.next_penalized_admit = now.saturating_add(micros(1.0 / (limits.rate_per_s * meter.share())));
        }
        Ok(())
    }

    /// Whether a penalized tenant still has a token beyond the withheld slack. Nothing is withheld if the share
    /// of the burst is below one token.
    fn quota_allows(&mut self, limits: &TenantLimits, meter: &ShareMeter) -> bool {
        self.bucket.refresh(meter, limits.hard_bound());
        let has_whole_token = limits.burst * meter.share() >= 1.0;
        let reserve =
            if has_whole_token { limits.slack * meter.share() * PENALTY_SLACK_RESERVE } else { 0.0 };
        self.bucket.level() >= 1.0 + reserve
    }

    /// Penalizes a tenant for one window if its count exceeds the threshold.
    fn update_penalty(&mut self, now: Micros, limits: &TenantLimits) {
        if limits.exempt || !limits.is_limited() {
            self.penalized_until = 0;
            return;
        }
        let count = self.count.count(now) + self.count_of_others(now);
        if count > limits.threshold() && now >= self.penalized_until {
            self.penalized_until = now + limits.window();
            self.next_penalized_admit = self.next_penalized_admit.max(now);
        }
    }

    fn check_open_cap(
        &mut self,
        now: Micros,
        limits: &TenantLimits,
        meter: &ShareMeter,
    ) -> Result<(), Refusal> {
        let Some(cap) = limits.open_cap else { return Ok(()) };
        let local_cap = f64::from(cap) * self.share_of_counts(now, meter);
        if f64::from(self.open) + 1.0 > local_cap.max(1.0) {
            return Err(Refusal { wait: DEFAULT_RETRY_DELAY, reason: RefusalReason::OpenCap });
        }
        Ok(())
    }

    fn check_hard_bound(
        &mut self,
        limits: &TenantLimits,
        meter: &ShareMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        if let Some(wait) = self.wait_for_reserve(limits, meter, lent) {
            return Err(Refusal { wait, reason: RefusalReason::HardBound });
        }
        let taken = self.bucket.try_take_with(meter, limits.hard_bound(), lent);
        if !limits.is_limited() {
            return Ok(());
        }
        taken.map_err(|wait| Refusal {
            wait: wait.unwrap_or(MAX_RETRY_DELAY),
            reason: RefusalReason::HardBound,
        })
    }

    /// The time until a token is available beyond the reserve; `None` if it is available now. Unused lent
    /// tokens are lost.
    fn wait_for_reserve(&mut self, limits: &TenantLimits, meter: &ShareMeter, lent: f64) -> Option<Micros> {
        let share = meter.share();
        if limits.reserve <= 0.0 || !limits.is_limited() || share <= 0.0 {
            return None;
        }
        self.bucket.refresh(meter, limits.hard_bound());
        let required = 1.0 + limits.reserve * (limits.burst + limits.slack) * share;
        let lacking = required - self.bucket.level() - lent;
        (lacking > 0.0).then(|| micros(lacking / (limits.rate_per_s * share)))
    }

    /// This gateway's share of the tenant's recent requests: by counts if those of other gateways are known,
    /// otherwise by the share held.
    fn share_of_counts(&mut self, now: Micros, meter: &ShareMeter) -> f64 {
        let local = self.count.count(now);
        if self.fresh_others(now).is_none() {
            return meter.share();
        }
        local / (local + self.count_of_others(now)).max(1.0)
    }

    fn fresh_others(&self, now: Micros) -> Option<OtherCounts> {
        let max_age = self.count.window().saturating_mul(OTHERS_EXPIRY_WINDOWS);
        self.others.filter(|others| now.saturating_sub(others.received_at) < max_age)
    }

    /// The count of other gateways, extrapolated from the last two totals by at most one window and a factor of
    /// two.
    #[allow(clippy::cast_precision_loss)]
    fn count_of_others(&self, now: Micros) -> f64 {
        let Some(others) = self.fresh_others(now) else { return 0.0 };
        let elapsed = now.saturating_sub(others.received_at).min(self.count.window());
        (others.count + others.slope * elapsed as f64).clamp(0.0, others.count * 2.0)
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_others(&mut self, now: Micros, count: f64) {
        let previous = self.fresh_others(now).filter(|others| others.received_at < now);
        let slope =
            previous.map_or(0.0, |last| (count - last.count) / now.saturating_sub(last.received_at) as f64);
        self.others = Some(OtherCounts { received_at: now, count, slope });
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn add(&mut self, now: Micros, tenant: CompactString) -> TenantAdd {
        let recent = self.count.count(now).round() as u32;
        let window = self.count.window();
        TenantAdd { tenant, cumulative: self.cumulative, recent, open: self.open, window }
    }
}

fn refused(refusal: Refusal, jitter_seed: u64) -> Admission {
    let wait = refusal.wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let retry_after = wait + mix(hash_bytes(&jitter_seed.to_le_bytes())) % (wait / 2 + 1);
    Admission::Refused { retry_after, reason: refusal.reason }
}
