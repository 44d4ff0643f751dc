//! What stands beside the gateway's driver: counter, fleet, turns at the counter, policy and sites.

use crate::changes::Changes;
use crate::counter::{Asker, Counter};
use crate::fleet::Fleet;
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

/// The subsystems of one gateway. All but the counter are set once the driver is there.
pub struct GatewaySubsystems<P: Platform> {
    /// Whom the counter's answers are told.
    pub driver: OnceCell<Weak<Driver<P>>>,
    /// The counter's side.
    pub counter: Rc<Counter<P>>,
    /// What is known of the fleet, where operators say how.
    pub fleet: OnceCell<Rc<Fleet<P>>>,
    /// Turns at the counter, where operators want them.
    pub turns: OnceCell<Rc<Turns<P>>>,
    /// Whose word is gone by on plans, classes and accounts, where operators say so.
    pub changes: OnceCell<Rc<Changes<P>>>,
    /// What is believed of sites.
    pub sites: OnceCell<Rc<Sites<P>>>,
}

impl<P: Platform> GatewaySubsystems<P> {
    /// With a counter that is not connected yet; `wait` is how long a call to it may take.
    pub fn new(platform: P, counter: Option<SocketAddr>, wait: Micros) -> Rc<Self> {
        Rc::new_cyclic(|this: &Weak<Self>| {
            let this = this.clone();
            let tell = Box::new(move |asker, name, outcome| {
                this.upgrade().into_iter().for_each(|all| all.counted(asker, &name, outcome));
            });
            GatewaySubsystems {
                driver: OnceCell::new(),
                counter: Counter::new(platform, counter, wait, tell),
                fleet: OnceCell::new(),
                turns: OnceCell::new(),
                changes: OnceCell::new(),
                sites: OnceCell::new(),
            }
        })
    }

    /// A call to the counter has ended.
    fn counted(&self, asker: Asker, name: &CounterName, outcome: CounterOutcome) {
        let Some(driver) = self.driver.get().and_then(Weak::upgrade) else { return };
        match asker {
            Asker::Decisions => driver.handle_event(Event::Counter { name: name.clone(), outcome }),
            Asker::Roll => self.fleet.get().into_iter().for_each(|fleet| fleet.counted(name, outcome)),
            Asker::Turns => self.turns.get().into_iter().for_each(|turns| turns.counted(name, outcome)),
        }
    }
}

impl<P: Platform> DriverHooks for GatewaySubsystems<P> {
    /// What is in force at this very instant is looked at first.
    fn on_request_start(&self, now: Micros, request: StartingRequest) -> Option<PlanId> {
        let plan = match self.changes.get() {
            None => Some(request.plan),
            Some(changes) => {
                changes.at(now);
                changes.plan_of(request.customer, request.plan, now)
            }
        };
        self.sites.get().into_iter().for_each(|sites| sites.asks(plan, request.class));
        self.fleet
            .get()
            .into_iter()
            .for_each(|fleet| fleet.clients_come(request.first_gateway, request.gateway_count));
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

    /// Counts by the looker of the name, or at the counter itself.
    fn add_to_counter(&self, name: &CounterName, amount: f64, keep: Micros) -> Option<CounterOutcome> {
        if !self.turns.get().is_some_and(|turns| turns.count(name, amount, keep)) {
            self.counter.call(Asker::Decisions, name.clone(), amount, keep);
        }
        None
    }

    fn may_start_requests(&self) -> bool {
        self.changes.get().is_none_or(|changes| changes.serves())
    }

    fn effect(&self, class: ClassId) -> Option<Effect> {
        self.changes.get().and_then(|changes| changes.effect(class))
    }

    fn max_wait(&self) -> Option<Duration> {
        self.changes.get().and_then(|changes| changes.longest()).map(Duration::from_micros)
    }
}
