//! Whether a request may pass: its tenant's quota, and the step of its trial where it has one.

use crate::requests::{Refusal, Routed, RETRY_ELSEWHERE};
use crate::server::Proxy;
use compact_str::CompactString;
use hingestage_configuration::Tenant;
use hingestage_quota::{Admission, Part, RefusalReason, TenantLimits};
use hingestage_replication::Micros;
use hingestage_rpc::status::RequestOutcome;
use hingestage_rpc::trials::TrialView;
use hingestage_trial::{ActiveStep, Phase, RequestClass, TrialDecision};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of a quota's slack that is planned with; the rest is for error, and for tokens on their way between proxies.
const SLACK_USED: f64 = 0.85;
/// How many times what a tenant within its quota can have open it may have, over all proxies, and the least cap. Each
/// proxy holds a part of it by its share of recent counts, which lags: the cap is for requests that pile up.
const OPEN_CAP_FACTOR: f64 = 4.0;
const OPEN_CAP_LEAST: f64 = 256.0;
/// Part of a slowed tenant's burst that requests which are not refused last leave to those that are.
const RESERVE_OF_ORDINARY: f64 = 0.25;
/// The same of requests that may wait.
const RESERVE_OF_DEFERRED: f64 = 0.5;
/// Part of a deferred request's time in which it may wait; in the second half of that it leaves no reserve any more, so
/// that it is not passed over for ever.
const DEFERRED_SHARE: f64 = 0.6;
/// Deferred requests that wait at a time.
const DEFERRED_MAX: usize = 128;
/// The shortest pause between two tries of a deferred request.
const DEFERRED_PAUSE: Duration = Duration::from_millis(20);
/// Advice to clients of a tenant whose trial has ended with nothing left, before it is spread.
const RETRY_ENDED: Duration = Duration::from_secs(30);

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// A request that its tenant's quota let pass.
pub(crate) struct Admitted {
    proxy: Rc<Proxy>,
    tenant: CompactString,
    /// Whether it may have run.
    pub ran: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.tenant.is_empty() {
            self.proxy.tenants.borrow_mut().ended(self.proxy.now(), &self.tenant, self.ran);
        }
    }
}

/// Deferred requests that wait.
#[derive(Default)]
pub(crate) struct Deferred(Cell<usize>);

/// A deferred request's place, until it is dropped.
struct Waiting<'a>(&'a Deferred);

impl Deferred {
    fn begin(&self) -> Option<Waiting<'_>> {
        (self.0.get() < DEFERRED_MAX).then(|| {
            self.0.set(self.0.get() + 1);
            Waiting(self)
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Waiting(Deferred(waiting)) = self;
        waiting.set(waiting.get() - 1);
    }
}

/// A tenant's limits as they hold for one request.
struct Limits {
    limits: TenantLimits,
    /// Its class, where the tenant has a trial.
    class: Option<RequestClass>,
    slowed: bool,
}

/// What became of a request when it was judged once.
struct Judged {
    /// Its class, where the tenant has a trial. One whose step can't be told counts as ordinary.
    class: Option<RequestClass>,
    /// The final answer, where it may not pass.
    refusal: Option<Refusal>,
}

impl Proxy {
    /// Takes a request into its tenant's quota, until what is given is dropped. One that is deferred waits for its turn
    /// in a part of the time until `until`.
    ///
    /// # Errors
    /// The final answer.
    pub(crate) async fn admit(self: &Rc<Self>, routed: &Routed, until: Instant) -> Result<Admitted, Refusal> {
        let admitted = || Admitted { proxy: self.clone(), tenant: routed.tenant_name(), ran: false };
        let Some(tenant) = routed.tenant() else { return Ok(admitted()) };
        let began = Instant::now();
        let time = until.saturating_duration_since(began).mul_f64(DEFERRED_SHARE);
        let mut waiting = None;
        loop {
            let leaves_reserve = began.elapsed() < time / 2;
            let Judged { class, refusal } = self.judge(tenant, routed, leaves_reserve).await;
            let Some(refusal) = refusal else {
                self.note_trial(tenant, class, None);
                return Ok(admitted());
            };
            let may_wait =
                class == Some(RequestClass::Deferred) && refusal.status == StatusCode::TOO_MANY_REQUESTS;
            let pause = refusal.retry_after.unwrap_or(DEFERRED_PAUSE).max(DEFERRED_PAUSE);
            if may_wait && waiting.is_none() {
                waiting = self.deferred.begin();
            }
            // One that has no chance left is answered at once.
            if !may_wait || waiting.is_none() || began.elapsed() + pause >= time {
                self.note_trial(tenant, class, Some(refusal.outcome));
                return Err(refusal);
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn note_trial(&self, tenant: &Tenant, class: Option<RequestClass>, refused: Option<RequestOutcome>) {
        if let Some(class) = class {
            self.trial_counts.note(&tenant.name, class, refused);
        }
    }

    /// Judges a request once, with tokens of other proxies where this one's part is used up.
    async fn judge(self: &Rc<Self>, tenant: &Tenant, routed: &Routed, leaves_reserve: bool) -> Judged {
        let part = self.view.borrow().part();
        let Limits { limits, class, slowed } = match self.limits_for(tenant, routed, part, leaves_reserve) {
            Ok(limits) => limits,
            Err(judged) => return judged,
        };
        let mut admission = self.ask_table(tenant, limits, part, 0.0);
        if matches!(admission, Admission::Refused { reason: RefusalReason::HardBound, .. }) {
            let lent = self.borrow_tokens(&tenant.name).await;
            if lent > 0.0 {
                admission = self.ask_table(tenant, limits, part, lent);
            }
        }
        let Admission::Refused { retry_after, reason } = admission else {
            return Judged { class, refusal: None };
        };
        let message = if slowed { "the tenant's trial is running out" } else { "beyond the tenant's quota" };
        let outcome = if slowed { RequestOutcome::TrialSlowed } else { quota_outcome(reason) };
        let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, message, outcome);
        Judged { class, refusal: Some(refusal.after(Duration::from_micros(retry_after))) }
    }

    fn ask_table(&self, tenant: &Tenant, limits: TenantLimits, part: Part, lent: f64) -> Admission {
        let spread = fastrand::u64(..);
        self.tenants.borrow_mut().admit_with(self.now(), &tenant.name, limits, part, spread, lent)
    }

    /// The limits for one request.
    fn limits_for(
        &self,
        tenant: &Tenant,
        routed: &Routed,
        part: Part,
        leaves_reserve: bool,
    ) -> Result<Limits, Judged> {
        let quota = self.quota_of(tenant, part);
        let open_cap = open_cap(tenant, routed.route.timeout);
        match self.view.borrow_mut().judge_trial(self.now(), &tenant.name) {
            TrialDecision::NoTrial => {
                let limits = TenantLimits { open_cap, ..quota };
                Ok(Limits { limits, class: None, slowed: false })
            }
            TrialDecision::Unknown(wait) => {
                let message = "the tenant's trial can't be judged for now";
                let unknown =
                    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, message, RequestOutcome::TrialUnknown);
                let refusal = unknown.after(RETRY_ELSEWHERE.max(Duration::from_micros(wait)));
                Err(Judged { class: Some(RequestClass::Ordinary), refusal: Some(refusal) })
            }
            TrialDecision::Trial(standing) => {
                let class = standing.terms.class_of(&routed.route.name, routed.route.kind.as_str());
                let slowed = standing.level.phase != Phase::Full;
                match under_trial(&standing, quota, class, leaves_reserve) {
                    Some(limits) => {
                        let limits = TenantLimits { open_cap, ..limits };
                        Ok(Limits { limits, class: Some(class), slowed })
                    }
                    None => Err(Judged { class: Some(class), refusal: Some(trial_ended()) }),
                }
            }
        }
    }

    /// How this proxy judges a tenant's trial, as operators are told.
    pub(crate) fn trial_view(&self, tenant: &str) -> Option<TrialView> {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let newest = view.trials().newest_position(tenant)?;
        let lease_left = view.trials().lease_left(now) / MILLI;
        let in_effect = match view.judge_trial(now, tenant) {
            TrialDecision::Trial(standing) => Some(standing.position),
            TrialDecision::NoTrial | TrialDecision::Unknown(_) => None,
        };
        Some(TrialView { in_effect, newest: Some(newest), lease_left, counts: self.trial_counts.of(tenant) })
    }

    /// What may be lent of a tenant's quota now; none where that can't be judged.
    pub(crate) fn lendable(&self, tenant: &Tenant, part: Part) -> Option<TenantLimits> {
        let quota = self.quota_of(tenant, part);
        match self.view.borrow_mut().judge_trial(self.now(), &tenant.name) {
            TrialDecision::NoTrial => Some(quota),
            TrialDecision::Unknown(_) => None,
            TrialDecision::Trial(standing) => under_trial(&standing, quota, RequestClass::RefusedLast, false),
        }
    }

    /// A tenant's quota, as all proxies share it.
    fn quota_of(&self, tenant: &Tenant, part: Part) -> TenantLimits {
        let bounds = &self.settings.bounds;
        let window = bounds.quota_window.as_secs_f64();
        let excess = bounds.quota_excess * (tenant.rate_per_s * window + tenant.burst) + bounds.quota_slack;
        let slack = excess * SLACK_USED;
        TenantLimits {
            rate_per_s: tenant.rate_per_s,
            burst: tenant.burst,
            slack,
            open_cap: None,
            exempt: false,
            reserve: 0.0,
            whole_tokens: tenant.burst + slack >= f64::from(part.gateways),
        }
    }
}

/// What a step leaves of a quota to requests of a class; none where it leaves nothing. All classes draw on one bucket,
/// of the share of those that are refused last, and the others leave a reserve in it.
fn under_trial(
    standing: &ActiveStep,
    quota: TenantLimits,
    class: RequestClass,
    leaves_reserve: bool,
) -> Option<TenantLimits> {
    let level = standing.level;
    if level.phase == Phase::Full {
        return Some(quota);
    }
    let share = if class == RequestClass::RefusedLast { level.share_of_last } else { level.share };
    if share <= 0.0 {
        return None;
    }
    let beyond = 1.0 - level.share / level.share_of_last;
    let reserve = match class {
        RequestClass::RefusedLast => 0.0,
        RequestClass::Ordinary if standing.terms.refused_last.is_empty() => beyond,
        RequestClass::Ordinary => beyond.max(RESERVE_OF_ORDINARY),
        RequestClass::Deferred if leaves_reserve => beyond.max(RESERVE_OF_DEFERRED),
        RequestClass::Deferred => beyond,
    };
    let whole = level.share_of_last;
    Some(TenantLimits {
        rate_per_s: quota.rate_per_s * whole,
        burst: quota.burst * whole,
        slack: quota.slack * whole,
        reserve,
        ..quota
    })
}

/// The answer to a tenant whose trial has ended with nothing left.
fn trial_ended() -> Refusal {
    let refusal = Refusal::new(
        StatusCode::TOO_MANY_REQUESTS,
        "the tenant's trial has ended",
        RequestOutcome::TrialEnded,
    );
    refusal.after(RETRY_ENDED.mul_f64(1.0 + fastrand::f64() / 2.0))
}

/// A quota's refusal as operators are told of it.
fn quota_outcome(reason: RefusalReason) -> RequestOutcome {
    match reason {
        RefusalReason::PenaltyBox => RequestOutcome::QuotaPenaltyBox,
        RefusalReason::OpenCap => RequestOutcome::QuotaOpenCap,
        RefusalReason::NoLease => RequestOutcome::QuotaNoLease,
        RefusalReason::HardBound => RequestOutcome::QuotaUsedUp,
    }
}

/// Requests that a tenant may have open over all proxies: by its quota and the longest that a request lasts. None where
/// the tenant has no quota.
fn open_cap(tenant: &Tenant, timeout: Duration) -> Option<u32> {
    let within_quota = tenant.rate_per_s * timeout.as_secs_f64() + tenant.burst;
    let cap = (OPEN_CAP_FACTOR * within_quota).max(OPEN_CAP_LEAST);
    (tenant.rate_per_s > 0.0).then_some(cap as u32)
}
