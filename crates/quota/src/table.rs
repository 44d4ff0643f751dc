//! The table of tenants of one gateway.

use crate::bucket::gathered;
use crate::hash::{hash_bytes, mix};
use crate::lru::{Handle, LruMap};
use crate::part::Mark;
use crate::{
    micros, Adds, BucketLimit, GatewayId, Incarnation, Micros, Part, PartMeter, SharedBucket, SlidingCount,
    TenantAdd, Totals, SECOND,
};
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};

/// The window of tenants that have no rate.
const WINDOW_WITHOUT_RATE: Micros = 10 * SECOND;
/// The shortest window: bursts that are far smaller than the rate.
const WINDOW_LEAST: Micros = SECOND / 10;
/// The longest window: rates that are far smaller than the burst.
const WINDOW_MOST: Micros = 3_600 * SECOND;
/// Entries looked at for their age with each request, and busy ones passed over to find one that can go.
const AGED_AT_ONCE: usize = 2;
const PASSED_AT_ONCE: usize = 64;
/// The wait told where nobody knows when there will be a token.
const RETRY_WITHOUT_LEASE: Micros = SECOND / 4;
/// Part of the slack that a boxed tenant has no use of. Tenants within their quota pass their burst by chance now and
/// then, so most of the slack, which evens out what comes to one gateway, is left to them.
const BOX_RESERVE: f64 = 0.25;
/// The shortest and the longest wait told, before it is spread.
const RETRY_LEAST: Micros = SECOND / 100;
const RETRY_MOST: Micros = 60 * SECOND;
/// Windows after which a total read back counts for nothing.
const TOTAL_WINDOWS: Micros = 2;

/// The bounds of a [`TenantTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSettings {
    /// Tenants kept at most.
    pub entries: usize,
    /// A tenant idle for so long is forgotten.
    pub idle: Micros,
    /// The time between two pushes of counts.
    pub push_interval: Micros,
    /// Tenants in one push at most, for all owners together.
    pub push_batch: usize,
}

impl Default for TableSettings {
    fn default() -> TableSettings {
        TableSettings { entries: 100_000, idle: 240 * SECOND, push_interval: SECOND / 4, push_batch: 2_000 }
    }
}

/// A tenant's limits, common to all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimits {
    /// Requests a second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests at once.
    pub burst: f64,
    /// Requests at once beyond the burst that the hard bound lets pass, for all gateways together. The threshold of
    /// the penalty box doesn't know them.
    pub slack: f64,
    /// Requests open at the same time.
    pub open_cap: Option<u32>,
    /// Never enters the penalty box.
    pub exempt: bool,
    /// Part of burst and slack that a request leaves to others of the tenant: it is refused where less would be left.
    pub reserve: f64,
    /// Whether each gateway may gather a whole token, however small its part of burst and slack is. The parts of all
    /// then come to as many tokens as there are gateways.
    pub whole_tokens: bool,
}

impl TenantLimits {
    fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    fn window(&self) -> Micros {
        if self.is_limited() {
            micros(self.burst / self.rate_per_s).clamp(WINDOW_LEAST, WINDOW_MOST)
        } else {
            WINDOW_WITHOUT_RATE
        }
    }

    /// The count over a window beyond which a tenant is a fast refresher: the burst, unless the window is longer than
    /// the burst makes it.
    fn threshold(&self) -> f64 {
        self.burst.max(self.rate_per_s * crate::seconds(self.window()))
    }

    fn hard_bound(&self) -> BucketLimit {
        if self.is_limited() {
            let least_cap = if self.whole_tokens { 1.0 } else { 0.0 };
            BucketLimit { rate: self.rate_per_s, depth: self.burst + self.slack, least_cap }
        } else {
            BucketLimit { rate: 0.0, depth: 0.0, least_cap: 0.0 }
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant is in the penalty box, and its rate's part is used up.
    PenaltyBox,
    /// Too many requests are open: the tenant's, or those of all tenants in a table whose every entry is busy.
    OpenCap,
    /// This gateway holds no part of the tenant's limit.
    NoLease,
    /// This gateway's part of the tenant's limit is used up.
    HardBound,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent. [`TenantTable::ended`] is due when it ends.
    Admitted,
    /// The request must not be sent.
    Refused {
        /// When a token is expected.
        retry_after: Micros,
        /// Why.
        reason: RefusalReason,
    },
}

/// A refusal before its wait is spread.
struct Refusal {
    wait: Micros,
    reason: RefusalReason,
}

/// The counts of the other gateways, as read back.
#[derive(Clone, Copy, Debug)]
struct Others {
    read_at: Micros,
    count: f64,
    /// By which the count grows each microsecond.
    slope: f64,
}

#[derive(Clone, Debug)]
struct Tenant {
    count: SlidingCount,
    open: u32,
    last_used: Micros,
    /// In the penalty box before this moment.
    boxed_until: Micros,
    /// The next request that is let pass while in the box.
    boxed_pass_at: Micros,
    bucket: SharedBucket,
    others: Option<Others>,
    cumulative: u64,
    /// What the owner confirmed of the cumulative count.
    confirmed: u64,
    queued: bool,
}

/// A bounded table of tenants, which decides whether a request may pass.
///
/// A request is counted, then judged: by the penalty box, by the open requests, by this gateway's part of the limit
/// (the hard bound). A request that is refused, and one that ends without having run, isn't counted any longer.
/// Every entry can be forgotten without harm to the hard bound: a tenant that isn't in the table has what an empty
/// bucket would have gathered since the table began, or since the last use of any entry that was forgotten, and at most
/// its burst's part.
///
/// Requests are counted when they are admitted: a caller that keeps admitted requests waiting asks when it sends them.
#[derive(Clone, Debug)]
pub struct TenantTable {
    settings: TableSettings,
    incarnation: Incarnation,
    meter: PartMeter,
    tenants: LruMap<Tenant>,
    /// A tenant that isn't in the table may have used its tokens up at this moment, but not later.
    unseen_since: Mark,
    changed: VecDeque<Handle>,
    sequence: u64,
    pushed_at: Option<Micros>,
}

impl TenantTable {
    /// An empty table of a gateway's run that begins now.
    pub fn new(now: Micros, incarnation: Incarnation, settings: TableSettings) -> TenantTable {
        let meter = PartMeter::new(now);
        TenantTable {
            settings,
            incarnation,
            tenants: LruMap::new(),
            unseen_since: meter.mark(),
            meter,
            changed: VecDeque::new(),
            sequence: 0,
            pushed_at: None,
        }
    }

    /// Tenants in the table.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a tenant is in the penalty box.
    pub fn is_boxed(&self, now: Micros, tenant: &str) -> bool {
        let entry = self.tenants.find(tenant).and_then(|handle| self.tenants.get(handle));
        entry.is_some_and(|(_, tenant)| now < tenant.boxed_until)
    }

    /// Takes in the part that holds from now on. Due at each renewal, also when no request comes: tokens gathered
    /// before a lease is known to have ended are lost.
    pub fn observe_part(&mut self, now: Micros, part: Part) {
        self.meter.observe(now, part);
    }

    /// Decides whether a request may be sent. `spread` is anything that differs between requests: it spreads the
    /// moments at which those refused are told to come again.
    pub fn admit(
        &mut self,
        now: Micros,
        tenant: &str,
        limits: TenantLimits,
        part: Part,
        spread: u64,
    ) -> Admission {
        self.admit_with(now, tenant, limits, part, spread, 0.0)
    }

    /// The same, with tokens that other gateways have lent for it.
    pub fn admit_with(
        &mut self,
        now: Micros,
        tenant: &str,
        limits: TenantLimits,
        part: Part,
        spread: u64,
        lent: f64,
    ) -> Admission {
        self.meter.observe(now, part);
        self.age(now);
        let Some(handle) = self.find_or_insert(now, tenant, &limits) else {
            return refused(Refusal { wait: RETRY_WITHOUT_LEASE, reason: RefusalReason::OpenCap }, spread);
        };
        self.tenants.touch(handle);
        let Some(entry) = self.tenants.get_mut(handle) else { unreachable!("just found") };
        match entry.judge(now, &limits, &self.meter, lent) {
            Ok(()) => {
                entry.cumulative += 1;
                entry.open += 1;
                self.note_changed(handle);
                Admission::Admitted
            }
            Err(refusal) => refused(refusal, spread),
        }
    }

    /// What a tenant's bucket lacks of a whole token; none where the tenant is boxed or not known.
    pub fn lacks(&self, now: Micros, tenant: &str) -> Option<f64> {
        let handle = self.tenants.find(tenant)?;
        let (_, entry) = self.tenants.get(handle)?;
        let boxed = now < entry.boxed_until;
        Some(1.0 - entry.bucket.level()).filter(|lacks| !boxed && *lacks > 0.0)
    }

    /// Gives tokens of a tenant away to another gateway that lacks them, at most so many.
    pub fn lend(&mut self, now: Micros, tenant: &str, limits: TenantLimits, part: Part, most: f64) -> f64 {
        self.meter.observe(now, part);
        if !limits.is_limited() || self.meter.share() <= 0.0 {
            return 0.0;
        }
        let Some(handle) = self.find_or_insert(now, tenant, &limits) else { return 0.0 };
        let Some(entry) = self.tenants.get_mut(handle) else { return 0.0 };
        entry.last_used = now;
        let lent = entry.bucket.lend(&self.meter, limits.hard_bound(), most);
        self.tenants.touch(handle);
        lent
    }

    /// An admitted request has ended. One that never ran at a worker is given back.
    pub fn ended(&mut self, now: Micros, tenant: &str, ran: bool) {
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
            entry.bucket.give_back(&self.meter, entry.open);
        }
        entry.open -= 1;
        self.tenants.touch(handle);
        self.note_changed(handle);
    }

    /// The counts that owners may not know yet, once every push interval. Counts are told again until a total that
    /// has them is read back.
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
        self.drop_forgotten_changes();
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

    /// Takes in totals: the counts of the others count in the judgement until they are two windows old.
    pub fn apply_totals(&mut self, now: Micros, totals: &Totals) {
        if totals.incarnation != self.incarnation {
            return;
        }
        for total in &totals.tenants {
            let Some(handle) = self.tenants.find(&total.tenant) else { continue };
            let Some(entry) = self.tenants.get_mut(handle) else { continue };
            entry.confirmed = total.counted;
            entry.read_back(now, (total.total - total.yours).max(0.0));
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
        // What is told now is told again at the next push, until it is confirmed.
        entry.queued = false;
        let add = entry.add(now, name);
        if entry.cumulative != entry.confirmed {
            self.note_changed(handle);
        }
        Some((owner?, add))
    }

    /// Entries that were forgotten leave handles in the queue that lead nowhere.
    fn drop_forgotten_changes(&mut self) {
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
            self.drop_forgotten_changes();
        }
    }

    fn find_or_insert(&mut self, now: Micros, tenant: &str, limits: &TenantLimits) -> Option<Handle> {
        if let Some(handle) = self.tenants.find(tenant) {
            return Some(handle);
        }
        if self.tenants.len() >= self.settings.entries && !self.make_room() {
            return None;
        }
        let entry = self.unseen(now, limits);
        Some(self.tenants.insert(CompactString::from(tenant), entry))
    }

    /// A tenant that wasn't seen before begins with its burst's part, as far as a bucket that was empty when the tenant
    /// may last have been seen would have it.
    fn unseen(&self, now: Micros, limits: &TenantLimits) -> Tenant {
        let limit = limits.hard_bound();
        let start = BucketLimit { depth: limits.burst, ..limit };
        let level = gathered(&self.meter, self.unseen_since, 0.0, start);
        Tenant {
            count: SlidingCount::new(now, limits.window()),
            open: 0,
            last_used: now,
            boxed_until: 0,
            boxed_pass_at: 0,
            bucket: SharedBucket::new(&self.meter, limit, level),
            others: None,
            cumulative: 0,
            confirmed: 0,
            queued: false,
        }
    }

    fn age(&mut self, now: Micros) {
        for _ in 0..AGED_AT_ONCE {
            let Some(oldest) = self.tenants.oldest() else { return };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return };
            if now.saturating_sub(tenant.last_used) < self.settings.idle {
                return;
            }
            if tenant.open > 0 {
                self.tenants.touch(oldest);
            } else {
                self.forget(oldest);
            }
        }
    }

    /// Forgets the entry used least recently that has no open requests. Busy ones count as used now.
    fn make_room(&mut self) -> bool {
        for _ in 0..PASSED_AT_ONCE {
            let Some(oldest) = self.tenants.oldest() else { return false };
            let Some((_, tenant)) = self.tenants.get(oldest) else { return false };
            if tenant.open == 0 {
                self.forget(oldest);
                return true;
            }
            self.tenants.touch(oldest);
        }
        false
    }

    fn forget(&mut self, handle: Handle) {
        let Some(tenant) = self.tenants.remove(handle) else { return };
        let used = tenant.bucket.used();
        if used.at > self.unseen_since.at {
            self.unseen_since = used;
        }
    }
}

impl Tenant {
    fn judge(
        &mut self,
        now: Micros,
        limits: &TenantLimits,
        meter: &PartMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        self.last_used = now;
        self.count.set_window(now, limits.window());
        self.count.add(now, 1.0);
        let judged = self.judge_counted(now, limits, meter, lent);
        if judged.is_err() {
            self.count.add(now, -1.0);
        }
        judged
    }

    fn judge_counted(
        &mut self,
        now: Micros,
        limits: &TenantLimits,
        meter: &PartMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        if limits.is_limited() && meter.share() <= 0.0 && lent < 1.0 {
            return Err(Refusal { wait: RETRY_WITHOUT_LEASE, reason: RefusalReason::NoLease });
        }
        self.judge_speed(now, limits);
        let boxed = now < self.boxed_until && !limits.exempt;
        if boxed && now < self.boxed_pass_at && !self.quota_allows(limits, meter) {
            let wait = self.boxed_pass_at.min(self.boxed_until) - now;
            return Err(Refusal { wait, reason: RefusalReason::PenaltyBox });
        }
        self.judge_open(now, limits, meter)?;
        self.judge_hard_bound(limits, meter, lent)?;
        if boxed {
            self.boxed_pass_at = now.saturating_add(micros(1.0 / (limits.rate_per_s * meter.share())));
        }
        Ok(())
    }

    /// Whether the quota still allows a request of a boxed tenant: tokens are left beyond a part of the slack's. A part
    /// of the burst that is less than one token has all of the slack's to be whole.
    fn quota_allows(&mut self, limits: &TenantLimits, meter: &PartMeter) -> bool {
        self.bucket.refresh(meter, limits.hard_bound());
        let whole = limits.burst * meter.share() >= 1.0;
        let reserve = if whole { limits.slack * meter.share() * BOX_RESERVE } else { 0.0 };
        self.bucket.level() >= 1.0 + reserve
    }

    /// A tenant whose count has passed the threshold is boxed for one window.
    fn judge_speed(&mut self, now: Micros, limits: &TenantLimits) {
        if limits.exempt || !limits.is_limited() {
            self.boxed_until = 0;
            return;
        }
        let count = self.count.count(now) + self.count_of_others(now);
        if count > limits.threshold() && now >= self.boxed_until {
            self.boxed_until = now + limits.window();
            self.boxed_pass_at = self.boxed_pass_at.max(now);
        }
    }

    fn judge_open(&mut self, now: Micros, limits: &TenantLimits, meter: &PartMeter) -> Result<(), Refusal> {
        let Some(cap) = limits.open_cap else { return Ok(()) };
        let part = f64::from(cap) * self.share_of_counts(now, meter);
        if f64::from(self.open) + 1.0 > part.max(1.0) {
            return Err(Refusal { wait: RETRY_WITHOUT_LEASE, reason: RefusalReason::OpenCap });
        }
        Ok(())
    }

    fn judge_hard_bound(
        &mut self,
        limits: &TenantLimits,
        meter: &PartMeter,
        lent: f64,
    ) -> Result<(), Refusal> {
        if let Some(wait) = self.wait_for_reserve(limits, meter, lent) {
            return Err(Refusal { wait, reason: RefusalReason::HardBound });
        }
        let taken = self.bucket.try_take_with(meter, limits.hard_bound(), lent);
        if !limits.is_limited() {
            return Ok(());
        }
        taken.map_err(|wait| Refusal { wait: wait.unwrap_or(RETRY_MOST), reason: RefusalReason::HardBound })
    }

    /// How long it takes until a token is there beside what the request leaves to others; none where it is. What was
    /// lent and isn't used is lost.
    fn wait_for_reserve(&mut self, limits: &TenantLimits, meter: &PartMeter, lent: f64) -> Option<Micros> {
        let share = meter.share();
        if limits.reserve <= 0.0 || !limits.is_limited() || share <= 0.0 {
            return None;
        }
        self.bucket.refresh(meter, limits.hard_bound());
        let wanted = 1.0 + limits.reserve * (limits.burst + limits.slack) * share;
        let lacking = wanted - self.bucket.level() - lent;
        (lacking > 0.0).then(|| micros(lacking / (limits.rate_per_s * share)))
    }

    /// This gateway's share of the tenant's recent requests: by counts where those of the others are known, else by
    /// the part held.
    fn share_of_counts(&mut self, now: Micros, meter: &PartMeter) -> f64 {
        let mine = self.count.count(now);
        if self.fresh_others(now).is_none() {
            return meter.share();
        }
        mine / (mine + self.count_of_others(now)).max(1.0)
    }

    fn fresh_others(&self, now: Micros) -> Option<Others> {
        let old = self.count.window().saturating_mul(TOTAL_WINDOWS);
        self.others.filter(|others| now.saturating_sub(others.read_at) < old)
    }

    /// The count of the others, predicted from the last two totals: for a window at most, and to no more than twice.
    #[allow(clippy::cast_precision_loss)]
    fn count_of_others(&self, now: Micros) -> f64 {
        let Some(others) = self.fresh_others(now) else { return 0.0 };
        let passed = now.saturating_sub(others.read_at).min(self.count.window());
        (others.count + others.slope * passed as f64).clamp(0.0, others.count * 2.0)
    }

    #[allow(clippy::cast_precision_loss)]
    fn read_back(&mut self, now: Micros, count: f64) {
        let before = self.fresh_others(now).filter(|others| others.read_at < now);
        let slope =
            before.map_or(0.0, |before| (count - before.count) / now.saturating_sub(before.read_at) as f64);
        self.others = Some(Others { read_at: now, count, slope });
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn add(&mut self, now: Micros, tenant: CompactString) -> TenantAdd {
        let recent = self.count.count(now).round() as u32;
        let window = self.count.window();
        TenantAdd { tenant, cumulative: self.cumulative, recent, open: self.open, window }
    }
}

fn refused(refusal: Refusal, spread: u64) -> Admission {
    let wait = refusal.wait.clamp(RETRY_LEAST, RETRY_MOST);
    let retry_after = wait + mix(hash_bytes(&spread.to_le_bytes())) % (wait / 2 + 1);
    Admission::Refused { retry_after, reason: refusal.reason }
}
