//! The subsystems that the gateway's driver calls: counter, fleet, turns at the counter, policy and sites.

use crate::counter::{Counter, CounterCaller};
use crate::fleet::Fleet;
use crate::policy_follower::PolicyFollower;
use crate::sites::Sites;
use crate::turns::Turns;
use hingestage_dataplane::driver::Driver;
use hingestage_dataplane::hooks::{DriverHooks, StartingRequest};
use hingestage_platform::Platform;
use hingestage_policy::{
    ClassId, CounterName, CounterOutcome, Effect, Event, ListScope, Micros, Outcome, PlanId, WorkerId,
    WorkerInfo,
};
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The subsystems of one gateway. All but the counter are set after the driver is created.
pub struct GatewaySubsystems<P: Platform> {
    /// The driver, which receives the counter's outcomes.
    pub driver: OnceCell<Weak<Driver<P>>>,
    /// Client of the shared counter.
    pub counter: Rc<Counter<P>>,
    /// Failure detection in the fleet, if configured.
    pub fleet: OnceCell<Rc<Fleet<P>>>,
    /// Turns at the counter, if configured.
    pub turns: OnceCell<Rc<Turns<P>>>,
    /// The policy from the keepers, if configured.
    pub policy: OnceCell<Rc<PolicyFollower<P>>>,
    /// Failure detection and failover of sites.
    pub sites: OnceCell<Rc<Sites<P>>>,
}

impl<P: Platform> GatewaySubsystems<P> {
    /// Creates the counter client, which is not connected yet; its calls end after `counter_timeout`.
    pub fn new(platform: P, counter: Option<SocketAddr>, counter_timeout: Micros) -> Rc<Self> {
        Rc::new_cyclic(|this: &Weak<Self>| {
            let this = this.clone();
            let on_outcome = Box::new(move |caller, name, outcome| {
                this.upgrade().into_iter().for_each(|all| all.counter_outcome(caller, &name, outcome));
            });
            GatewaySubsystems {
                driver: OnceCell::new(),
                counter: Counter::new(platform, counter, counter_timeout, on_outcome),
                fleet: OnceCell::new(),
                turns: OnceCell::new(),
                policy: OnceCell::new(),
                sites: OnceCell::new(),
            }
        })
    }

    /// Passes the outcome of a call on to the part that made it.
    fn counter_outcome(&self, caller: CounterCaller, name: &CounterName, outcome: CounterOutcome) {
        let Some(driver) = self.driver.get().and_then(Weak::upgrade) else { return };
        match caller {
            CounterCaller::Decisions => driver.handle_event(Event::Counter { name: name.clone(), outcome }),
            CounterCaller::RollCall => {
                self.fleet.get().into_iter().for_each(|fleet| fleet.handle_outcome(name, outcome))
            }
            CounterCaller::Turns => {
                self.turns.get().into_iter().for_each(|turns| turns.handle_outcome(name, outcome))
            }
        }
    }
}

impl<P: Platform> DriverHooks for GatewaySubsystems<P> {
    /// Brings the policy in force up to date first.
    fn on_request_start(&self, now: Micros, request: StartingRequest) -> Option<PlanId> {
        let plan = match self.policy.get() {
            None => Some(request.plan),
            Some(policy) => {
                policy.refresh_if_due(now);
                policy.plan_of(request.customer, request.plan, now)
            }
        };
        self.sites.get().into_iter().for_each(|sites| sites.count_request(plan, request.class));
        self.fleet
            .get()
            .into_iter()
            .for_each(|fleet| fleet.client_arrived(request.first_gateway, request.gateway_count));
        plan
    }

    fn on_attempt_start(&self, now: Micros, worker: WorkerId) {
        self.sites.get().into_iter().for_each(|sites| sites.sent(now, worker));
    }

    fn on_attempt_end(&self, now: Micros, worker: WorkerId, outcome: Outcome, took: Duration) {
        self.sites.get().into_iter().for_each(|sites| sites.ended(now, worker, outcome, took));
    }

    fn on_workers_update(&self, workers: &[WorkerInfo], scope: ListScope) {
        self.sites.get().into_iter().for_each(|sites| sites.listed(workers, scope));
    }

    /// Counts through the gateway that owns the name, or at the counter directly.
    fn add_to_counter(&self, name: &CounterName, amount: f64, keep: Micros) -> Option<CounterOutcome> {
        if !self.turns.get().is_some_and(|turns| turns.count(name, amount, keep)) {
            self.counter.call(CounterCaller::Decisions, name.clone(), amount, keep);
        }
        None
    }

    fn may_start_requests(&self) -> bool {
        self.policy.get().is_none_or(|policy| policy.has_policy())
    }

    fn effect(&self, class: ClassId) -> Option<Effect> {
        self.policy.get().and_then(|policy| policy.effect(class))
    }

    fn max_wait(&self) -> Option<Duration> {
        self.policy.get().and_then(|policy| policy.max_wait()).map(Duration::from_micros)
    }
}
