//! Routing state of each service: one policy driver per service and set of allowed regions, and the list of workers
//! that it may use.

use crate::attempts::AttemptObserver;
use crate::classes::{Classes, Terms};
use crate::dialect::WorkerDialect;
use crate::request_log::RequestLog;
use crate::view::{Usability, View};
use compact_str::CompactString;
use hingestage_dataplane::driver::{gatekeeper, Driver, DriverSettings};
use hingestage_dataplane::protocol::WorkerProtocol;
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

/// Upper limit of attempts per request, whatever the route allows.
const MAX_ATTEMPTS: usize = 8;
/// Longest `retry-after` that clients honour, microseconds.
const MAX_RETRY_AFTER: Micros = 1_000_000;
/// Timeout for opening a connection to a worker; one that is not established by then never is.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a worker closes a connection.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections to workers may use one in this many file descriptors.
const WORKER_FD_DIVISOR: usize = 2;
/// Maximum number of service keys with routing state.
const MAX_SERVICES: usize = 4_096;
/// Number of proxies assumed until the registries report it.
const INITIAL_PROXY_COUNT: u32 = 16;
/// Fraction of the retry budget's slack that all proxies together may save up.
const PLANNED_RETRY_SLACK: f64 = 0.35;
/// Minimum number of retries that a driver may save up.
const MIN_SAVED_RETRIES: f64 = 1.0;
/// Fraction of a cold worker's request limit that all proxies together may use.
const PLANNED_COLD_LIMIT: f64 = 0.7;
/// Minimum interval between two requests of one proxy to a cold worker, seconds. Above one second, so that a delayed
/// first request doesn't arrive within the same second as the next.
const MIN_COLD_INTERVAL_SECS: f64 = 1.4;
/// Relative capacity that the policy assumes for a cold worker.
const COLD_CAPACITY: f64 = 0.5;
/// Longest time that the policy treats a worker as cold, microseconds.
const MAX_COLD_TIME: Micros = 3_600_000_000;
/// Preference tier of workers in this proxy's zone; lower tiers are preferred.
const TIER_ZONE: u32 = 0;
/// Preference tier of workers in this proxy's region.
const TIER_REGION: u32 = 1;
/// Preference tier of workers in other regions.
const TIER_REMOTE: u32 = 2;

/// A service and the regions whose workers may serve it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey {
    /// Name of the service.
    pub service: CompactString,
    /// Allowed regions, sorted; empty allows all.
    pub regions: Vec<CompactString>,
}

impl ServiceKey {
    /// Restricts a service to the regions that both the route and the tenant allow; an empty list allows all. `None`
    /// if no region is left.
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

/// Routing state of one service key.
pub struct Service {
    /// Admits requests, selects workers and sends attempts.
    pub driver: Rc<Driver<Tokio>>,
    dialect: Rc<WorkerDialect>,
    classes: RefCell<Classes>,
}

impl Service {
    /// Returns the request class for a route's terms, and updates the policy if the set of classes has changed.
    pub fn class_for(&self, terms: Terms) -> ClassId {
        let (class, changed) = self.classes.borrow_mut().find_or_insert(terms);
        if changed {
            let classes = self.classes.borrow().all();
            let terms = hingestage_policy::Terms { classes, plans: vec![Plan::default()] };
            self.driver.handle_event(Event::Terms(Some(terms)));
        }
        class
    }
}

/// Rate limit of a cold worker.
#[derive(Clone, Copy)]
struct ColdStart {
    /// When the worker was first seen cold, on the driver's clock.
    since: Micros,
    /// Requests per second that one driver may send to the worker.
    rate: f64,
}

/// A listed worker.
struct KnownWorker {
    id: WorkerId,
    service: CompactString,
}

/// Routing state of all services.
pub struct Services {
    settings: Rc<Settings>,
    /// Origin of the proxy's clock.
    started: Instant,
    platform: Tokio,
    requests: Rc<RequestLog>,
    services: RefCell<BTreeMap<ServiceKey, Rc<Service>>>,
    /// Workers by the id that they register under.
    workers: RefCell<HashMap<CompactString, KnownWorker>>,
    /// When each cold worker was first seen cold, on the driver's clock.
    cold_since: RefCell<HashMap<WorkerId, Micros>>,
    next_worker_id: Cell<u64>,
    /// Number of proxies that share the limits.
    proxy_count: Cell<u32>,
}

impl Services {
    /// Creates an empty set of services.
    pub fn new(settings: Rc<Settings>, started: Instant, platform: Tokio, requests: Rc<RequestLog>) -> Self {
        Services {
            settings,
            started,
            platform,
            requests,
            services: RefCell::default(),
            workers: RefCell::default(),
            cold_since: RefCell::default(),
            next_worker_id: Cell::new(1),
            proxy_count: Cell::new(INITIAL_PROXY_COUNT),
        }
    }

    /// Returns the routing state of a service, created on first use; `None` at the limit of services.
    pub fn get(&self, key: ServiceKey, view: &View, now: Micros) -> Option<Rc<Service>> {
        if let Some(service) = self.services.borrow().get(&key) {
            return Some(service.clone());
        }
        if self.services.borrow().len() >= MAX_SERVICES {
            return None;
        }
        let service = Rc::new(self.create_service());
        self.update_workers(&key, &service, view, now);
        self.services.borrow_mut().insert(key, service.clone());
        Some(service)
    }

    fn create_service(&self) -> Service {
        let dialect = Rc::new(WorkerDialect::default());
        let settings = DriverSettings {
            policy: self.policy_settings(),
            seed: fastrand::u64(..),
            class_names: (0..crate::classes::CLASS_COUNT).map(|class| format!("class-{class}")).collect(),
            max_worker_connections: self.settings.limits.max_fds / WORKER_FD_DIVISOR,
            connect_timeout: CONNECT_TIMEOUT,
            worker_idle_timeout: WORKER_IDLE_TIMEOUT,
            protocol: dialect.clone() as Rc<dyn WorkerProtocol>,
        };
        let observer = Rc::new(AttemptObserver::new(self.requests.clone(), dialect.clone()));
        let driver = Driver::new(self.platform, settings, observer, gatekeeper);
        Service { driver, dialect, classes: RefCell::default() }
    }

    /// Policy settings of a new driver.
    fn policy_settings(&self) -> PolicySettings {
        let instances = self.proxy_count.get().max(1);
        PolicySettings {
            instances,
            // Derived from the node's name, so that proxies spread their choices over workers.
            me: (digest(self.settings.node.as_bytes()) % u64::from(instances)) as u32,
            resolution: 1_000,
            zone: Zone(self.settings.zone.clone()),
            max_units: 1.0,
            classes: Classes::default().all(),
            plans: vec![Plan::default()],
            rules: WarmUpRules {
                initial_capacity: COLD_CAPACITY,
                warm_up_time: MAX_COLD_TIME,
                ..WarmUpRules::default()
            },
            limits: Limits {
                max_attempts: MAX_ATTEMPTS,
                // A worker that is at work may still answer where its copy fails.
                second_copies: true,
                hedge: false,
                cancel: true,
                max_retry_after: MAX_RETRY_AFTER,
                max_retry_budget: self.max_saved_retries(),
                refusals_promise: true,
            },
            ..PolicySettings::default()
        }
    }

    /// Retries that one driver may save up. Divided among the proxies, so that all together stay within the slack
    /// that the retry budget allows beyond its ratio.
    fn max_saved_retries(&self) -> f64 {
        let planned = self.settings.bounds.retry_slack * PLANNED_RETRY_SLACK;
        (planned / f64::from(self.proxy_count.get().max(1))).max(MIN_SAVED_RETRIES)
    }

    /// Sets the number of proxies, for services that are created afterwards.
    pub fn set_proxy_count(&self, proxies: u32) {
        self.proxy_count.set(proxies);
    }

    /// Updates the worker lists of all services from the view.
    pub fn refresh(&self, view: &View, now: Micros) {
        self.refresh_those(view, now, |_| true);
    }

    /// Updates the worker lists of the services that match `changed`.
    pub fn refresh_those(&self, view: &View, now: Micros, changed: impl Fn(&CompactString) -> bool) {
        let services: Vec<(ServiceKey, Rc<Service>)> = {
            let services = self.services.borrow();
            let changed = services.iter().filter(|(key, _)| changed(&key.service));
            changed.map(|(key, service)| (key.clone(), service.clone())).collect()
        };
        for (key, service) in services {
            self.update_workers(&key, &service, view, now);
        }
        self.remove_unlisted(view, changed);
    }

    /// Forgets workers of changed services that are no longer listed.
    fn remove_unlisted(&self, view: &View, changed: impl Fn(&CompactString) -> bool) {
        let mut cold_since = self.cold_since.borrow_mut();
        self.workers.borrow_mut().retain(|id, worker| {
            let listed = !changed(&worker.service) || view.is_listed(&worker.service, id);
            if !listed {
                cold_since.remove(&worker.id);
            }
            listed
        });
    }

    /// Drops the routing state of services for which `configured` is false.
    pub fn retain(&self, configured: impl Fn(&str) -> bool) {
        self.services.borrow_mut().retain(|key, _| configured(&key.service));
    }

    /// Closes connections to workers that have been idle too long.
    pub fn retire_idle(&self) {
        self.services.borrow().values().for_each(|service| service.driver.workers.retire_idle());
    }

    /// Time on the proxy's clock.
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Returns a worker's id within this process, assigned on first use.
    fn worker_id(&self, worker: &WorkerRecord) -> WorkerId {
        let mut workers = self.workers.borrow_mut();
        let known = workers.entry(worker.id.clone()).or_insert_with(|| {
            let id = WorkerId(self.next_worker_id.replace(self.next_worker_id.get() + 1));
            KnownWorker { id, service: worker.service.clone() }
        });
        known.id
    }

    /// Passes the eligible workers of a service to its driver, and drops all others.
    fn update_workers(&self, key: &ServiceKey, service: &Service, view: &View, now: Micros) {
        let mut infos = Vec::new();
        let mut listed = HashSet::new();
        for (worker, usability) in
            view.workers_of(now, &key.service).filter(|(worker, _)| self.is_eligible(key, worker))
        {
            let id = self.worker_id(worker);
            let cold = self.cold_start(service, id, usability, worker, view);
            let ready = usability == Usability::Ready || cold.is_some();
            service.dialect.insert(id, &worker.id);
            service.driver.workers.update(id, worker.addr, id.0, ready);
            listed.insert(id);
            infos.push(self.worker_info(id, worker, ready, cold));
        }
        service.driver.workers.retain_workers(&listed);
        service.dialect.retain(|worker| listed.contains(&worker));
        service.driver.update_workers(WorkerList { scope: ListScope::Full, workers: infos });
    }

    /// Returns the rate limit for a cold worker, or `None` if the worker must not get requests as a cold one. Every
    /// driver of every proxy sends one request per interval, and the interval keeps their sum below the worker's
    /// limit. With too many senders for that, the worker gets no requests until it is warm.
    fn cold_start(
        &self,
        service: &Service,
        id: WorkerId,
        usability: Usability,
        worker: &WorkerRecord,
        view: &View,
    ) -> Option<ColdStart> {
        if usability != Usability::Cold {
            self.cold_since.borrow_mut().remove(&id);
            return None;
        }
        let proxies = view.sharing_proxies(self.now())?;
        let backend = view.active()?.configuration.backends.iter().find(|b| b.name == worker.service)?;
        let bounds = &self.settings.bounds;
        let limit = backend.cold_per_s * bounds.cold_excess + bounds.cold_slack;
        let senders = f64::from(proxies) * self.driver_count(&worker.service) as f64;
        if senders > limit * PLANNED_COLD_LIMIT || backend.cold_per_s <= 0.0 {
            return None;
        }
        let since = *self.cold_since.borrow_mut().entry(id).or_insert_with(|| service.driver.micros());
        let interval = MIN_COLD_INTERVAL_SECS * (senders / backend.cold_per_s).max(1.0);
        Some(ColdStart { since, rate: 1.0 / interval })
    }

    /// Number of drivers for one service, one per set of regions.
    fn driver_count(&self, service: &str) -> usize {
        let services = self.services.borrow();
        services.keys().filter(|key| key.service == service).count().max(1)
    }

    /// Whether a worker belongs to a service and to one of its allowed regions.
    fn is_eligible(&self, key: &ServiceKey, worker: &WorkerRecord) -> bool {
        let region = self.settings.region_of(&worker.zone);
        let allowed = |region: &str| key.regions.iter().any(|allowed| allowed == region);
        worker.service == key.service && (key.regions.is_empty() || region.is_some_and(allowed))
    }

    /// Preference tier of a worker: nearer ones come first, as traffic between zones and regions costs money.
    fn tier(&self, worker: &WorkerRecord) -> u32 {
        if worker.zone == self.settings.zone {
            TIER_ZONE
        } else if self.settings.region_of(&worker.zone) == Some(&self.settings.region) {
            TIER_REGION
        } else {
            TIER_REMOTE
        }
    }

    /// Describes a worker to the policy.
    fn worker_info(
        &self,
        id: WorkerId,
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
            ..WorkerInfo::ready(id)
        }
    }
}
