//! Hooks through which other subsystems observe and influence a driver.

use hingestage_policy::{
    ClassId, CounterName, CounterOutcome, CustomerId, Effect, ListScope, Micros, Outcome, PlanId, WorkerId,
    WorkerInfo,
};
use hyper::header::HeaderValue;
use std::time::Duration;

/// A request that is about to start.
#[derive(Clone, Copy, Debug)]
pub struct StartingRequest<'a> {
    /// The customer that sent it.
    pub customer: &'a CustomerId,
    /// Its class.
    pub class: ClassId,
    /// The plan it was sent with.
    pub plan: PlanId,
    /// The first of the gateways that serve this customer.
    pub first_gateway: u32,
    /// Number of gateways that serve this customer.
    pub gateway_count: u32,
}

/// Hooks called by a driver; the defaults do nothing. Implementations may pass events to the driver, also
/// from within a hook.
pub trait DriverHooks {
    /// Called when a request starts. Returns the plan to apply, or `None` to refuse it.
    fn on_request_start(&self, _now: Micros, request: StartingRequest) -> Option<PlanId> {
        Some(request.plan)
    }

    /// Called when an attempt with a buffered body is started. Attempts with streamed bodies are reported
    /// only at their end.
    fn on_attempt_start(&self, _now: Micros, _worker: WorkerId) {}

    /// Called when an attempt has ended, with its duration.
    fn on_attempt_end(&self, _now: Micros, _worker: WorkerId, _outcome: Outcome, _took: Duration) {}

    /// Called after [`DriverHooks::on_attempt_end`] with the client's request id.
    fn on_attempt_outcome(&self, _id: &HeaderValue, _worker: WorkerId, _outcome: Outcome) {}

    /// Called with a worker update, before the decision logic receives it.
    fn on_workers_update(&self, _workers: &[WorkerInfo], _scope: ListScope) {}

    /// Adds to a counter shared by all gateways. Returns the outcome if it is known at once; otherwise the
    /// outcome must be passed to the driver later, exactly once. Refused without a counter.
    fn add_to_counter(&self, _name: &CounterName, _amount: f64, _keep: Micros) -> Option<CounterOutcome> {
        Some(CounterOutcome::Refused)
    }

    /// Whether new requests may be started.
    fn may_start_requests(&self) -> bool {
        true
    }

    /// The delivery guarantee of a class, if it overrides the configured one.
    fn effect(&self, _class: ClassId) -> Option<Effect> {
        None
    }

    /// The maximum client wait, if it overrides the configured one.
    fn max_wait(&self) -> Option<Duration> {
        None
    }
}

/// Hooks that do nothing.
pub struct NoHooks;

impl DriverHooks for NoHooks {}
