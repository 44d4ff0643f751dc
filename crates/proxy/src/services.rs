//! One driver of the decisions for each service, and for each set of regions that requests to it are bound to.

use crate::attempts::AttemptObserver;
use crate::classes::{Classes, Terms};
use crate::dialect::WorkerDialect;
use crate::request_log::RequestLog;
use crate::view::{Usability, View};
use compact_str::CompactString;
use hingestage_dataplane::dialect::Dialect;
use hingestage_dataplane::driver::{gatekeeper, Driver, DriverSettings};
use hingestage_node::Settings;
use hingestage_platform::Tokio;
use hingestage_policy::{
    Availability, ClassId, Event, Limits, ListScope, Plan, Settings as PolicySettings, WarmUpRules, WorkerId,
    WorkerInfo, WorkerList, Zone,
};
use hingestage_replication::{digest, Micros};
use hingestage_rpc::workers::WorkerRecord;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Attempts that one request may have at the most, whatever its route says.
const ATTEMPTS_MAX: usize = 8;
/// The longest advice to come again that clients follow, microseconds.
const RETRY_AFTER_MAX: Micros = 1_000_000;
/// A connection to a worker not established by then never is.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A worker closes a connection that has been idle for so long.
const WORKER_IDLE: Duration = Duration::from_secs(10);
/// Descriptors that connections to workers may take, as a part of all.
const WORKER_DESCRIPTORS: usize = 2;
/// Services, with regions, that are served at the most.
const SERVICES_MAX: usize = 4_096;
/// Proxies that there are taken to be before that is known.
const PROXIES_UNKNOWN: u32 = 16;
/// Part of the slack of the budget of further attempts that is planned with, and what one proxy has at the least.
const RETRY_SLACK_USED: f64 = 0.35;
const RETRIES_LEAST: f64 = 1.0;
/// Part of what a cold worker may get in a second that all proxies together may come to, one request each.
const COLD_LIMIT_USED: f64 = 0.7;
/// Seconds between two requests of one proxy to a cold worker at the least: more than one, so that two never arrive
/// within one second though the first was held up on its way.
const COLD_PAUSE: f64 = 1.4;
/// What the decisions take the capacity of a cold worker for, and for how long at the most, microseconds.
const COLD_CAPACITY: f64 = 0.5;
const COLD_LONGEST: Micros = 3_600_000_000;
/// The tiers of workers: in this proxy's zone, in its region, elsewhere.
const TIER_ZONE: u32 = 0;
const TIER_REGION: u32 = 1;
const TIER_FAR: u32 = 2;

/// A service, and the regions that requests to it are bound to (none: any).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey {
    /// Name of the service.
    pub service: CompactString,
    /// Regions, sorted; empty where any will do.
    pub regions: Vec<CompactString>,
}

impl ServiceKey {
    /// A service within the regions that both of two lists allow; an empty list allows all. None where nothing
    /// is left.
    pub fn within(service: &str, route: &[CompactString], tenant: &[CompactString]) -> Option<ServiceKey> {
        let mut regions: Vec<CompactString> = match (route, tenant) {
            ([], all) | (all, []) => all.to_vec(),
            (route, tenant) => route.iter().filter(|region| tenant.contains(region)).cloned().collect(),
        };
        if regions.is_empty() && !(route.is_empty() && tenant.is_empty()) {
            return None;
        }
        regions.sort_unstable();
        regions.dedup();
        Some(ServiceKey { service: service.into(), regions })
    }
}

/// The decisions about one service.
pub struct Service {
    /// Carries them out.
    pub driver: Rc<Driver<Tokio>>,
    dialect: Rc<WorkerDialect>,
    classes: RefCell<Classes>,
}

impl Service {
    /// The class for some terms.
    pub fn class(&self, terms: Terms) -> ClassId {
        let (class, changed) = self.classes.borrow_mut().find(terms);
        if changed {
            let classes = self.classes.borrow().all();
            let terms = hingestage_policy::Terms { classes, plans: vec![Plan::default()] };
            self.driver.feed(Event::Terms(Some(terms)));
        }
        class
    }
}

/// How a cold worker may be used.
#[derive(Clone, Copy)]
struct ColdStart {
    /// Since when it has been cold, on the decisions' clock.
    since: Micros,
    /// Requests a second from this proxy and set of decisions.
    rate: f64,
}

/// A worker as the decisions know it.
struct Numbered {
    number: WorkerId,
    service: CompactString,
}

/// All services.
pub struct Services {
    settings: Rc<Settings>,
    /// The proxy's clock counts from here.
    started: Instant,
    platform: Tokio,
    requests: Rc<RequestLog>,
    services: RefCell<BTreeMap<ServiceKey, Rc<Service>>>,
    /// Workers by id.
    numbers: RefCell<HashMap<CompactString, Numbered>>,
    /// Since when each cold worker has been, on the decisions' clock.
    cold_since: RefCell<HashMap<WorkerId, Micros>>,
    next: Cell<u64>,
    /// How many proxies there are.
    proxies: Cell<u32>,
}

impl Services {
    /// None is known.
    pub fn new(settings: Rc<Settings>, started: Instant, platform: Tokio, requests: Rc<RequestLog>) -> Self {
        Services {
            settings,
            started,
            platform,
            requests,
            services: RefCell::default(),
            numbers: RefCell::default(),
            cold_since: RefCell::default(),
            next: Cell::new(1),
            proxies: Cell::new(PROXIES_UNKNOWN),
        }
    }

    /// The decisions about a service, made when it is first asked for.
    pub fn get(&self, key: ServiceKey, view: &View, now: Micros) -> Option<Rc<Service>> {
        if let Some(service) = self.services.borrow().get(&key) {
            return Some(service.clone());
        }
        if self.services.borrow().len() >= SERVICES_MAX {
            return None;
        }
        let service = Rc::new(self.make());
        self.feed_workers(&key, &service, view, now);
        self.services.borrow_mut().insert(key, service.clone());
        Some(service)
    }

    fn make(&self) -> Service {
        let dialect = Rc::new(WorkerDialect::default());
        let settings = DriverSettings {
            policy: self.policy(),
            seed: fastrand::u64(..),
            class_names: (0..crate::classes::CLASSES).map(|class| format!("class-{class}")).collect(),
            workers_max: self.settings.limits.max_fds / WORKER_DESCRIPTORS,
            connect_timeout: CONNECT_TIMEOUT,
            worker_idle: WORKER_IDLE,
            dialect: dialect.clone() as Rc<dyn Dialect>,
        };
        let observer = Rc::new(AttemptObserver::new(self.requests.clone(), dialect.clone()));
        let driver = Driver::new(self.platform, settings, observer, gatekeeper);
        Service { driver, dialect, classes: RefCell::default() }
    }

    fn policy(&self) -> PolicySettings {
        let instances = self.proxies.get().max(1);
        PolicySettings {
            instances,
            // Any number below that will do, as long as proxies have different ones: it spreads them over workers.
            me: (digest(self.settings.node.as_bytes()) % u64::from(instances)) as u32,
            resolution: 1_000,
            zone: Zone(self.settings.zone.clone()),
            max_units: 1.0,
            classes: Classes::default().all(),
            plans: vec![Plan::default()],
            rules: WarmUpRules {
                initial_capacity: COLD_CAPACITY,
                warm_up_time: COLD_LONGEST,
                ..WarmUpRules::default()
            },
            limits: Limits {
                max_attempts: ATTEMPTS_MAX,
                second_copies: false,
                cancel: true,
                max_retry_after: RETRY_AFTER_MAX,
                max_retry_budget: self.retries_saved(),
                refusals_promise: true,
            },
            ..PolicySettings::default()
        }
    }

    /// Further attempts that one set of decisions may save up: all proxies' together stay within the slack that
    /// the rules leave beside the ratio, for each service and the sets of regions that it is asked for in.
    fn retries_saved(&self) -> f64 {
        let planned = self.settings.bounds.retry_slack * RETRY_SLACK_USED;
        (planned / f64::from(self.proxies.get().max(1))).max(RETRIES_LEAST)
    }

    /// Notes how many proxies there are, for services that are made from now on.
    pub fn set_proxies(&self, proxies: u32) {
        self.proxies.set(proxies);
    }

    /// Brings all services' workers up to date.
    pub fn refresh(&self, view: &View, now: Micros) {
        self.refresh_those(view, now, |_| true);
    }

    /// Brings the workers of some services up to date.
    pub fn refresh_those(&self, view: &View, now: Micros, changed: impl Fn(&CompactString) -> bool) {
        let services: Vec<(ServiceKey, Rc<Service>)> = {
            let services = self.services.borrow();
            let changed = services.iter().filter(|(key, _)| changed(&key.service));
            changed.map(|(key, service)| (key.clone(), service.clone())).collect()
        };
        for (key, service) in services {
            self.feed_workers(&key, &service, view, now);
        }
        self.forget_unlisted(view, changed);
    }

    fn forget_unlisted(&self, view: &View, changed: impl Fn(&CompactString) -> bool) {
        let mut cold_since = self.cold_since.borrow_mut();
        self.numbers.borrow_mut().retain(|id, worker| {
            let listed = !changed(&worker.service) || view.lists(&worker.service, id);
            if !listed {
                cold_since.remove(&worker.number);
            }
            listed
        });
    }

    /// Forgets services that no configuration names any more.
    pub fn keep_only(&self, named: impl Fn(&str) -> bool) {
        self.services.borrow_mut().retain(|key, _| named(&key.service));
    }

    /// Closes connections to workers that have been idle for long.
    pub fn retire_idle(&self) {
        self.services.borrow().values().for_each(|service| service.driver.workers.retire_idle());
    }

    fn micros(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn number(&self, worker: &WorkerRecord) -> WorkerId {
        let mut numbers = self.numbers.borrow_mut();
        let numbered = numbers.entry(worker.id.clone()).or_insert_with(|| {
            let number = WorkerId(self.next.replace(self.next.get() + 1));
            Numbered { number, service: worker.service.clone() }
        });
        numbered.number
    }

    fn feed_workers(&self, key: &ServiceKey, service: &Service, view: &View, now: Micros) {
        let mut infos = Vec::new();
        let mut named = HashSet::new();
        for (worker, usability) in
            view.workers_of(now, &key.service).filter(|(worker, _)| self.serves(key, worker))
        {
            let number = self.number(worker);
            let cold = self.cold_start(service, number, usability, worker, view);
            let ready = usability == Usability::Ready || cold.is_some();
            service.dialect.name(number, &worker.id);
            service.driver.workers.list(number, worker.addr, number.0, ready);
            named.insert(number);
            infos.push(self.info(number, worker, ready, cold));
        }
        service.driver.workers.keep_only(&named);
        service.dialect.keep_only(|worker| named.contains(&worker));
        service.driver.list_workers(WorkerList { scope: ListScope::Full, workers: infos });
    }

    /// How a cold worker may be used. All proxies know how cold it is, each sends it one request at a time, and so
    /// seldom that all together stay below what it bears; where they are too many for that, none sends it any.
    fn cold_start(
        &self,
        service: &Service,
        number: WorkerId,
        usability: Usability,
        worker: &WorkerRecord,
        view: &View,
    ) -> Option<ColdStart> {
        if usability != Usability::Cold {
            self.cold_since.borrow_mut().remove(&number);
            return None;
        }
        let proxies = view.sharers(self.micros())?;
        let backend = view.active()?.configuration.backends.iter().find(|b| b.name == worker.service)?;
        let bounds = &self.settings.bounds;
        let limit = backend.cold_per_s * bounds.cold_excess + bounds.cold_slack;
        let senders = f64::from(proxies) * self.sets_of(&worker.service) as f64;
        if senders > limit * COLD_LIMIT_USED || backend.cold_per_s <= 0.0 {
            return None;
        }
        let since = *self.cold_since.borrow_mut().entry(number).or_insert_with(|| service.driver.micros());
        let pause = COLD_PAUSE * (senders / backend.cold_per_s).max(1.0);
        Some(ColdStart { since, rate: 1.0 / pause })
    }

    /// Sets of decisions about one service.
    fn sets_of(&self, service: &str) -> usize {
        let services = self.services.borrow();
        services.keys().filter(|key| key.service == service).count().max(1)
    }

    /// Whether a worker may get a service's requests at all.
    fn serves(&self, key: &ServiceKey, worker: &WorkerRecord) -> bool {
        let region = self.settings.region_of(&worker.zone);
        let allowed = |region: &str| key.regions.iter().any(|allowed| allowed == region);
        worker.service == key.service && (key.regions.is_empty() || region.is_some_and(allowed))
    }

    /// Nearer workers come first: bytes between zones and regions cost.
    fn tier(&self, worker: &WorkerRecord) -> u32 {
        if worker.zone == self.settings.zone {
            TIER_ZONE
        } else if self.settings.region_of(&worker.zone) == Some(&self.settings.region) {
            TIER_REGION
        } else {
            TIER_FAR
        }
    }

    fn info(
        &self,
        number: WorkerId,
        worker: &WorkerRecord,
        ready: bool,
        cold: Option<ColdStart>,
    ) -> WorkerInfo {
        WorkerInfo {
            availability: if ready { Availability::Ready } else { Availability::Draining },
            zone: Zone(worker.zone.to_string()),
            hash: digest(worker.id.as_bytes()),
            size: f64::from(worker.capacity),
            tier: self.tier(worker),
            started: cold.map(|cold| cold.since),
            cold_rate: cold.map(|cold| cold.rate),
            ..WorkerInfo::ready(number)
        }
    }
}
