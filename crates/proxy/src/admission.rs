//! Admission of requests by their tenant's quota and, for trial tenants, by the current step of the trial.

use crate::requests::{Refusal, RoutedRequest, RETRY_OTHER_PROXY};
use crate::server::Proxy;
use compact_str::CompactString;
use hingestage_configuration::Tenant;
use hingestage_quota::{Admission, EvenShare, RefusalReason, TenantLimits};
use hingestage_replication::Micros;
use hingestage_rpc::status::RequestOutcome;
use hingestage_rpc::trials::TrialView;
use hingestage_trial::{ActiveStep, Phase, RequestClass, TrialDecision};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of a quota's slack that admission uses; the rest covers errors and tokens in transit between proxies.
const USED_SLACK: f64 = 0.85;
/// Cap of a tenant's open requests over all proxies, as a multiple of what its quota allows. Proxies split the cap by
/// recent counts, which lag, so the factor leaves room for error.
const OPEN_CAP_FACTOR: f64 = 4.0;
/// Minimum cap of a tenant's open requests over all proxies.
const MIN_OPEN_CAP: f64 = 256.0;
/// Fraction of a slowed tenant's burst that ordinary requests leave to those that are refused last.
const ORDINARY_RESERVE: f64 = 0.25;
/// Fraction of a slowed tenant's burst that deferred requests leave to all others.
const DEFERRED_RESERVE: f64 = 0.5;
/// Fraction of a deferred request's time that it may wait for admission. In the second half of the wait it leaves no
/// reserve, so that it is not starved.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Maximum number of deferred requests that wait at the same time.
const MAX_WAITING: usize = 128;
/// Minimum pause between two admission attempts of a deferred request.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Base of the `retry-after` sent once a trial has ended and leaves no share of the quota; jitter is added.
const TRIAL_ENDED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Microseconds per millisecond.
const MILLI: Micros = 1_000;

/// An admitted request. Dropping it returns its slot among the tenant's open requests.
pub(crate) struct Admitted {
    proxy: Rc<Proxy>,
    tenant: CompactString,
    /// Whether a worker may have run it.
    pub ran: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.tenant.is_empty() {
            self.proxy.tenants.borrow_mut().record_end(self.proxy.now(), &self.tenant, self.ran);
        }
    }
}

/// Number of deferred requests that wait for admission.
#[derive(Default)]
pub(crate) struct DeferredRequests(Cell<usize>);

/// The slot of a waiting request, released on drop.
struct WaitingSlot<'a>(&'a DeferredRequests);

impl DeferredRequests {
    /// Takes a slot, or returns `None` if all are taken.
    fn acquire(&self) -> Option<WaitingSlot<'_>> {
        (self.0.get() < MAX_WAITING).then(|| {
            self.0.set(self.0.get() + 1);
            WaitingSlot(self)
        })
    }
}

impl Drop for WaitingSlot<'_> {
    fn drop(&mut self) {
        let WaitingSlot(DeferredRequests(waiting)) = self;
        waiting.set(waiting.get() - 1);
    }
}

/// A tenant's limits for one request.
struct RequestLimits {
    limits: TenantLimits,
    /// The request's class if the tenant has a trial.
    class: Option<RequestClass>,
    /// Whether the trial reduces the quota.
    slowed: bool,
}

/// Result of one admission attempt.
struct Decision {
    /// The request's class if the tenant has a trial; ordinary while the trial's step is unknown.
    class: Option<RequestClass>,
    /// The response to the client if the request is not admitted.
    refusal: Option<Refusal>,
}

impl Proxy {
    /// Admits a request under its tenant's quota. A deferred request that is over the quota is retried for a fraction
    /// of the time until `until`.
    ///
    /// # Errors
    /// The response to the client if the request is refused.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        routed: &RoutedRequest,
        until: Instant,
    ) -> Result<Admitted, Refusal> {
        let admitted = || Admitted { proxy: self.clone(), tenant: routed.tenant_name(), ran: false };
        let Some(tenant) = routed.tenant() else { return Ok(admitted()) };
        let began = Instant::now();
        let time = until.saturating_duration_since(began).mul_f64(MAX_WAIT_FRACTION);
        let mut waiting = None;
        loop {
            let leaves_reserve = began.elapsed() < time / 2;
            let Decision { class, refusal } = self.try_admit(tenant, routed, leaves_reserve).await;
            let Some(refusal) = refusal else {
                self.count_trial_request(tenant, class, None);
                return Ok(admitted());
            };
            let may_wait =
                class == Some(RequestClass::Deferred) && refusal.status == StatusCode::TOO_MANY_REQUESTS;
            let pause = refusal.retry_after.unwrap_or(MIN_RETRY_PAUSE).max(MIN_RETRY_PAUSE);
            if may_wait && waiting.is_none() {
                waiting = self.deferred.acquire();
            }
            // Refuses at once if there is no time for another attempt.
            if !may_wait || waiting.is_none() || began.elapsed() + pause >= time {
                self.count_trial_request(tenant, class, Some(refusal.outcome));
                return Err(refusal);
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn count_trial_request(
        &self,
        tenant: &Tenant,
        class: Option<RequestClass>,
        refused: Option<RequestOutcome>,
    ) {
        if let Some(class) = class {
            self.trial_counts.record(&tenant.name, class, refused);
        }
    }

    /// Makes one admission attempt. Borrows tokens of other proxies if this proxy's share of the quota is used up.
    async fn try_admit(
        self: &Rc<Self>,
        tenant: &Tenant,
        routed: &RoutedRequest,
        leaves_reserve: bool,
    ) -> Decision {
        let part = self.view.borrow().limit_share();
        let RequestLimits { limits, class, slowed } =
            match self.limits_for(tenant, routed, part, leaves_reserve) {
                Ok(limits) => limits,
                Err(decision) => return decision,
            };
        let mut admission = self.take_token(tenant, limits, part, 0.0);
        if matches!(admission, Admission::Refused { reason: RefusalReason::HardBound, .. }) {
            let lent = self.borrow_tokens(&tenant.name).await;
            if lent > 0.0 {
                admission = self.take_token(tenant, limits, part, lent);
            }
        }
        let Admission::Refused { retry_after, reason } = admission else {
            return Decision { class, refusal: None };
        };
        let message = if slowed { "the tenant's trial is running out" } else { "beyond the tenant's quota" };
        let outcome = if slowed { RequestOutcome::TrialSlowed } else { quota_outcome(reason) };
        let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, message, outcome);
        Decision { class, refusal: Some(refusal.retry_after(Duration::from_micros(retry_after))) }
    }

    /// Takes a token from the tenant's bucket, plus `lent` tokens of other proxies.
    fn take_token(&self, tenant: &Tenant, limits: TenantLimits, part: EvenShare, lent: f64) -> Admission {
        let spread = fastrand::u64(..);
        self.tenants.borrow_mut().admit_with(self.now(), &tenant.name, limits, part, spread, lent)
    }

    /// Returns the limits for one request, or the refusal if its trial leaves none.
    fn limits_for(
        &self,
        tenant: &Tenant,
        routed: &RoutedRequest,
        part: EvenShare,
        leaves_reserve: bool,
    ) -> Result<RequestLimits, Decision> {
        let quota = self.quota_of(tenant, part);
        let open_cap = open_cap(tenant, routed.route.timeout);
        match self.view.borrow_mut().evaluate_trial(self.now(), &tenant.name) {
            TrialDecision::NoTrial => {
                let limits = TenantLimits { open_cap, ..quota };
                Ok(RequestLimits { limits, class: None, slowed: false })
            }
            TrialDecision::Unknown(wait) => {
                let message = "the tenant's trial can't be judged for now";
                let unknown =
                    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, message, RequestOutcome::TrialUnknown);
                let refusal = unknown.retry_after(RETRY_OTHER_PROXY.max(Duration::from_micros(wait)));
                Err(Decision { class: Some(RequestClass::Ordinary), refusal: Some(refusal) })
            }
            TrialDecision::Trial(standing) => {
                let class = standing.terms.class_of(&routed.route.name, routed.route.kind.as_str());
                let slowed = standing.level.phase != Phase::Full;
                match under_trial(&standing, quota, class, leaves_reserve) {
                    Some(limits) => {
                        let limits = TenantLimits { open_cap, ..limits };
                        Ok(RequestLimits { limits, class: Some(class), slowed })
                    }
                    None => Err(Decision { class: Some(class), refusal: Some(trial_ended()) }),
                }
            }
        }
    }

    /// State of a tenant's trial at this proxy, for operators.
    pub(crate) fn trial_view(&self, tenant: &str) -> Option<TrialView> {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let newest = view.trials().newest_position(tenant)?;
        let lease_left = view.trials().lease_left(now) / MILLI;
        let in_effect = match view.evaluate_trial(now, tenant) {
            TrialDecision::Trial(standing) => Some(standing.position),
            TrialDecision::NoTrial | TrialDecision::Unknown(_) => None,
        };
        Some(TrialView { in_effect, newest: Some(newest), lease_left, counts: self.trial_counts.of(tenant) })
    }

    /// Limits within which a tenant's tokens may be lent to other proxies; `None` if nothing may be lent.
    pub(crate) fn lending_limits(&self, tenant: &Tenant, part: EvenShare) -> Option<TenantLimits> {
        let quota = self.quota_of(tenant, part);
        match self.view.borrow_mut().evaluate_trial(self.now(), &tenant.name) {
            TrialDecision::NoTrial => Some(quota),
            TrialDecision::Unknown(_) => None,
            TrialDecision::Trial(standing) => under_trial(&standing, quota, RequestClass::RefusedLast, false),
        }
    }

    /// A tenant's quota over all proxies, from the configuration.
    fn quota_of(&self, tenant: &Tenant, part: EvenShare) -> TenantLimits {
        let bounds = &self.settings.bounds;
        let window = bounds.quota_window.as_secs_f64();
        let excess = bounds.quota_excess * (tenant.rate_per_s * window + tenant.burst) + bounds.quota_slack;
        let slack = excess * USED_SLACK;
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

/// Reduces a quota to what a trial's step leaves for a class of requests; `None` if it leaves nothing. All classes use
/// one bucket, sized for the class that is refused last; the other classes leave a reserve in it.
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
        RequestClass::Ordinary => beyond.max(ORDINARY_RESERVE),
        RequestClass::Deferred if leaves_reserve => beyond.max(DEFERRED_RESERVE),
        RequestClass::Deferred => beyond,
    };
    let bucket_share = level.share_of_last;
    Some(TenantLimits {
        rate_per_s: quota.rate_per_s * bucket_share,
        burst: quota.burst * bucket_share,
        slack: quota.slack * bucket_share,
        reserve,
        ..quota
    })
}

/// Refusal for a tenant whose trial has ended and leaves no share of the quota.
fn trial_ended() -> Refusal {
    let refusal = Refusal::new(
        StatusCode::TOO_MANY_REQUESTS,
        "the tenant's trial has ended",
        RequestOutcome::TrialEnded,
    );
    refusal.retry_after(TRIAL_ENDED_RETRY_AFTER.mul_f64(1.0 + fastrand::f64() / 2.0))
}

/// Maps a quota's refusal reason to the outcome that operators see.
fn quota_outcome(reason: RefusalReason) -> RequestOutcome {
    match reason {
        RefusalReason::PenaltyBox => RequestOutcome::QuotaPenaltyBox,
        RefusalReason::OpenCap => RequestOutcome::QuotaOpenCap,
        RefusalReason::NoLease => RequestOutcome::QuotaNoLease,
        RefusalReason::HardBound => RequestOutcome::QuotaUsedUp,
    }
}

/// Cap of a tenant's open requests over all proxies, from its quota and the route's timeout; `None` without a quota.
fn open_cap(tenant: &Tenant, timeout: Duration) -> Option<u32> {
    let within_quota = tenant.rate_per_s * timeout.as_secs_f64() + tenant.burst;
    let cap = (OPEN_CAP_FACTOR * within_quota).max(MIN_OPEN_CAP);
    (tenant.rate_per_s > 0.0).then_some(cap as u32)
}
