//! What stands beside a driver: hears what happens, and has a say in what begins.

use hingestage_policy::{
    ClassId, CounterName, CounterOutcome, CustomerId, Effect, ListScope, Micros, Outcome, PlanId, WorkerId,
    WorkerInfo,
};
use hyper::header::HeaderValue;
use std::time::Duration;

/// A request that is about to begin.
#[derive(Clone, Copy, Debug)]
pub struct Beginning<'a> {
    /// Whose it is.
    pub customer: &'a CustomerId,
    /// Its class.
    pub class: ClassId,
    /// The plan that it comes with.
    pub plan: PlanId,
    /// The first of the gateways that the customer's requests come through, and their number.
    pub first: u32,
    /// See `first`.
    pub gateways: u32,
}

/// The subsystems beside a driver. Each method does nothing unless it is written anew; what they want of the decisions
/// they feed to the driver, also from within a method.
pub trait Subsystems {
    /// A request begins: gives the plan that it begins under; none where its customer is refused.
    fn begins(&self, _now: Micros, request: Beginning) -> Option<PlanId> {
        Some(request.plan)
    }

    /// An attempt whose body is held whole goes out. One whose body passes through is told of at its end only.
    fn sent(&self, _now: Micros, _worker: WorkerId) {}

    /// An attempt ended after so long.
    fn ended(&self, _now: Micros, _worker: WorkerId, _outcome: Outcome, _took: Duration) {}

    /// An attempt of the request with this id of its client ended; told after [`Subsystems::ended`].
    fn attempt_ended(&self, _id: &HeaderValue, _worker: WorkerId, _outcome: Outcome) {}

    /// News of the workers, before the decisions hear of them.
    fn listed(&self, _workers: &[WorkerInfo], _scope: ListScope) {}

    /// Adds to a number that all gateways share. Gives the outcome where it is known at once; otherwise it is fed to
    /// the driver later, exactly once. Without a counter it is refused.
    fn count(&self, _name: &CounterName, _amount: f64, _keep: Micros) -> Option<CounterOutcome> {
        Some(CounterOutcome::Refused)
    }

    /// Whether anything may begin.
    fn may_begin(&self) -> bool {
        true
    }

    /// How often the effect of a class may happen, where other than the configuration's settings say so.
    fn effect(&self, _class: ClassId) -> Option<Effect> {
        None
    }

    /// The longest that a client may wait, where other than the configuration's settings say so.
    fn longest(&self) -> Option<Duration> {
        None
    }
}

/// A driver that stands alone.
pub struct NoSubsystems;

impl Subsystems for NoSubsystems {}
