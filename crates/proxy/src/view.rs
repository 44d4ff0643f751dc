//! A proxy's view of the system: configuration, zone drains, workers, peers, trials, and the age of this data.

use compact_str::CompactString;
use hingestage_configuration::{Configuration, KeyTable, RouteTable};
use hingestage_discovery::{Follower, ListedWorker};
use hingestage_quota::EvenShare;
use hingestage_replication::{Freshness, Micros};
use hingestage_rpc::messages::{ConfigDocument, ConfigVersion, Have, ProxyStatus, ZoneDrains};
use hingestage_rpc::trials::{TrialNews, TrialRevision};
use hingestage_rpc::workers::{WorkerRecord, WorkersVersion};
use hingestage_trial::{TrialDecision, TrialTracker};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Microseconds per millisecond.
const MILLI: Micros = 1_000;

/// Leases and delays that the view applies.
#[derive(Clone, Copy, Debug)]
pub struct ViewSettings {
    /// Delay before a zone's workers get requests after the end of a drain, so that a list that marks cold workers
    /// arrives first.
    pub zone_return_delay: Micros,
    /// Safety margin added to the announced cold time of a worker.
    pub cold_margin: Micros,
    /// Maximum age of the registries' data with which API keys are accepted; `None` for no limit.
    pub key_lease: Option<Micros>,
    /// Maximum age of the registries' data with which a share of a global limit may be used.
    pub share_lease: Micros,
    /// Time settings of trials.
    pub trials: hingestage_trial::TrialTiming,
}

/// The active configuration with its lookup tables.
pub struct Active {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// The parsed document.
    pub configuration: Configuration,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Tenants by key.
    pub keys: KeyTable,
}

/// Whether a worker may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// Gets requests.
    Ready,
    /// Finishes its open requests and gets no new ones.
    Draining,
    /// Recently started; gets requests only at a limited rate.
    Cold,
}

/// A proxy's view of the system.
pub struct View {
    settings: ViewSettings,
    active: Option<Rc<Active>>,
    drains: ZoneDrains,
    /// When the last drain of each zone ended.
    drain_ended_at: BTreeMap<CompactString, Micros>,
    workers: Follower,
    /// Latest time at which no newer configuration than `active` had been acknowledged.
    freshness: Freshness,
    members: u32,
    settled: bool,
    peers: Vec<ProxyStatus>,
    trials: TrialTracker,
}

impl View {
    /// Creates an empty view.
    pub fn new(settings: ViewSettings) -> Self {
        View {
            settings,
            active: None,
            drains: ZoneDrains::new(),
            drain_ended_at: BTreeMap::new(),
            workers: Follower::default(),
            freshness: Freshness::default(),
            members: 0,
            settled: false,
            peers: Vec::new(),
            trials: TrialTracker::new(settings.trials),
        }
    }

    /// The active configuration.
    pub fn active(&self) -> Option<&Rc<Active>> {
        self.active.as_ref()
    }

    /// Version of the active configuration.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.active.as_ref().map(|active| active.version)
    }

    /// Version up to which all worker changes are applied.
    pub fn workers_version(&self) -> WorkersVersion {
        self.workers.catalog().version()
    }

    /// Worker lists by service, and which updates are missing.
    pub fn followed(&self) -> &Follower {
        &self.workers
    }

    /// Worker lists, for updates.
    pub fn followed_mut(&mut self) -> &mut Follower {
        &mut self.workers
    }

    /// Versions of the data held here, as sent to registries.
    pub fn have(&self) -> Have {
        Have {
            config: self.config_version(),
            drains: self.drains.clone(),
            workers: self.workers.announced_version(),
            workers_seen: self.workers.seen_version(),
            directory: 0,
            trials: TrialRevision::default(),
        }
    }

    /// All proxies, as last listed by a registry.
    pub fn peers(&self) -> &[ProxyStatus] {
        &self.peers
    }

    /// Replaces the list of proxies.
    pub fn set_peers(&mut self, peers: Vec<ProxyStatus>) {
        self.peers = peers;
    }

    /// Activates a configuration if it is valid and newer than the active one. Returns whether it was activated.
    pub fn apply_config(&mut self, document: &ConfigDocument) -> bool {
        if self.active.as_ref().is_some_and(|active| active.version >= document.version) {
            return false;
        }
        // Registries validate configurations, but another version of them may validate less.
        let Ok(configuration) = Configuration::parse(&document.json) else { return false };
        let routes = RouteTable::new(&configuration);
        let keys = KeyTable::new(&configuration);
        self.active = Some(Rc::new(Active { version: document.version, configuration, routes, keys }));
        true
    }

    /// Merges zone drains; the later order for a zone wins. Returns whether anything changed.
    pub fn apply_drains(&mut self, now: Micros, drains: &ZoneDrains) -> bool {
        let mut changed = false;
        for (zone, drain) in drains {
            let held = self.drains.get(zone).copied();
            if held >= Some(*drain) {
                continue;
            }
            let drain_ends = held.is_some_and(|held| held.drained) && !drain.drained;
            if drain_ends {
                self.drain_ended_at.insert(zone.clone(), now);
            }
            self.drains.insert(zone.clone(), *drain);
            changed = true;
        }
        changed
    }

    /// Applies trial updates from a registry's answer that was received at `received_at`.
    pub fn apply_trials(&mut self, received_at: Micros, updates: Vec<TrialNews>) {
        self.trials.apply_updates(received_at, updates);
    }

    /// Returns the trial state that applies to a request of a tenant that starts now.
    pub fn evaluate_trial(&mut self, now: Micros, tenant: &str) -> TrialDecision {
        self.trials.decide(now, tenant)
    }

    /// All known trials.
    pub fn trials(&self) -> &TrialTracker {
        &self.trials
    }

    /// Records how fresh an answer is: requested at `asked_at`, with data `age` milliseconds old when it was sent. It
    /// counts only if the answer's configuration is active here. Apply the answer's trials first.
    pub fn apply_freshness(&mut self, asked_at: Micros, age: Option<u64>, config: Option<ConfigVersion>) {
        self.trials.observe_freshness(asked_at, age);
        let up_to_date = self.config_version() >= config;
        if let Some(age) = age.filter(|_| up_to_date) {
            self.freshness.observe(asked_at, age * MILLI);
        }
    }

    /// Updates the number of proxies that share global limits, and whether this one may use its share.
    pub fn apply_members(&mut self, members: u32, settled: bool) {
        self.members = self.members.max(members);
        self.settled |= settled;
    }

    /// All workers with their current usability.
    pub fn workers(&self, now: Micros) -> impl Iterator<Item = (&WorkerRecord, Usability)> {
        self.workers.catalog().workers().map(move |listed| (&listed.record, self.usability(now, listed)))
    }

    /// A service's workers with their current usability.
    pub fn workers_of(&self, now: Micros, service: &str) -> impl Iterator<Item = (&WorkerRecord, Usability)> {
        let workers = self.workers.catalog().service(service).into_iter().flat_map(|list| list.workers());
        workers.map(move |listed| (&listed.record, self.usability(now, listed)))
    }

    fn usability(&self, now: Micros, listed: &ListedWorker) -> Usability {
        let worker = &listed.record;
        let drained = self.drains.get(&worker.zone).is_some_and(|drain| drain.drained);
        let drain_ended = self.drain_ended_at.get(&worker.zone);
        let returning = drain_ended.is_some_and(|at| now < at + self.settings.zone_return_delay);
        if worker.draining || drained || returning {
            return Usability::Draining;
        }
        if self.cold_until(listed).is_some_and(|until| now < until) {
            Usability::Cold
        } else {
            Usability::Ready
        }
    }

    /// Next time at which the usability of a worker changes without an update.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let returns = self.drain_ended_at.values().map(|at| at + self.settings.zone_return_delay);
        let warm = self.workers.catalog().workers().filter_map(|listed| self.cold_until(listed));
        returns.chain(warm).filter(|at| *at > now).min()
    }

    fn cold_until(&self, listed: &ListedWorker) -> Option<Micros> {
        listed.cold_until.map(|until| until + self.settings.cold_margin)
    }

    /// Whether a worker is listed for a service.
    pub fn is_listed(&self, service: &str, id: &str) -> bool {
        self.workers.catalog().service(service).is_some_and(|list| list.contains(id))
    }

    /// Whether API keys may be accepted: the view is fresh enough to include all revocations that must be in effect.
    pub fn keys_valid(&self, now: Micros) -> bool {
        self.keys_valid_until().is_none_or(|until| now < until)
    }

    /// When API keys expire without a fresh answer; `None` for no limit.
    pub fn keys_valid_until(&self) -> Option<Micros> {
        let lease = self.settings.key_lease?;
        Some(self.freshness.lease_expires_at(lease))
    }

    /// Latest time at which no newer configuration than the active one had been acknowledged.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Number of proxies that share global limits.
    pub fn members(&self) -> u32 {
        self.members
    }

    /// Whether registries have settled this proxy, so that it may use its share of global limits.
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// This proxy's share of global limits, and until when it may be used.
    pub fn limit_share(&self) -> EvenShare {
        let valid = self.settled && self.members > 0;
        let valid_until = if valid { self.freshness.lease_expires_at(self.settings.share_lease) } else { 0 };
        EvenShare { gateways: self.members.max(1), valid_until }
    }

    /// Number of proxies that share global limits; `None` while this one has no valid share.
    pub fn sharing_proxies(&self, now: Micros) -> Option<u32> {
        let part = self.limit_share();
        (now < part.valid_until).then_some(part.gateways)
    }

    /// Whether there is a configuration and a worker to serve requests.
    pub fn can_serve(&self) -> bool {
        self.active.is_some() && !self.workers.catalog().is_empty()
    }
}
