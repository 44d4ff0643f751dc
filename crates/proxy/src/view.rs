//! What a proxy knows of the system: configuration, evacuated zones, workers, and how recent all that is.

use compact_str::CompactString;
use hingestage_configuration::{Configuration, KeyTable, RouteTable};
use hingestage_discovery::{Follower, ListedWorker};
use hingestage_quota::Part;
use hingestage_replication::{Freshness, Micros};
use hingestage_rpc::messages::{ConfigDocument, ConfigVersion, Have, ProxyStatus, ZoneDrains};
use hingestage_rpc::trials::{TrialNews, TrialRevision};
use hingestage_rpc::workers::{WorkerRecord, WorkersVersion};
use hingestage_trial::{Judgement, TrialBook};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// Spans that the view goes by.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// After a zone is taken back, its workers wait for so long: they may be cold, and a list that says so has to
    /// come first.
    pub return_after: Micros,
    /// Added to the time for which a worker is said to stay cold.
    pub cold_margin: Micros,
    /// Age of news from the registries up to which keys are believed; none where old news will do.
    pub key_lease: Option<Micros>,
    /// Age of news from the registries up to which a part of a common limit may be used.
    pub part_lease: Micros,
    /// Spans by which steps of trials take effect.
    pub trials: hingestage_trial::Spans,
}

/// A configuration in force.
pub struct Active {
    /// Its version.
    pub version: ConfigVersion,
    /// The document.
    pub configuration: Configuration,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Tenants by key.
    pub keys: KeyTable,
}

/// Whether a worker may get requests, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// It may.
    Ready,
    /// It keeps what it has and gets nothing new.
    Leaving,
    /// It bears little for now.
    Cold,
}

/// What a proxy knows.
pub struct View {
    spans: Spans,
    active: Option<Rc<Active>>,
    drains: ZoneDrains,
    returned_at: BTreeMap<CompactString, Micros>,
    workers: Follower,
    /// The latest moment at which nothing newer than `active` can have been acknowledged.
    freshness: Freshness,
    members: u32,
    settled: bool,
    peers: Vec<ProxyStatus>,
    trials: TrialBook,
}

impl View {
    /// Nothing is known.
    pub fn new(spans: Spans) -> Self {
        View {
            spans,
            active: None,
            drains: ZoneDrains::new(),
            returned_at: BTreeMap::new(),
            workers: Follower::default(),
            freshness: Freshness::default(),
            members: 0,
            settled: false,
            peers: Vec::new(),
            trials: TrialBook::new(spans.trials),
        }
    }

    /// The configuration in force.
    pub fn active(&self) -> Option<&Rc<Active>> {
        self.active.as_ref()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.active.as_ref().map(|active| active.version)
    }

    /// Version up to which all changes of workers are known.
    pub fn workers_version(&self) -> WorkersVersion {
        self.workers.catalog().version()
    }

    /// Workers by service, and what is lacking of them.
    pub fn followed(&self) -> &Follower {
        &self.workers
    }

    /// The same, to be told news.
    pub fn followed_mut(&mut self) -> &mut Follower {
        &mut self.workers
    }

    /// What is known, in short.
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

    /// The other proxies, as last told.
    pub fn peers(&self) -> &[ProxyStatus] {
        &self.peers
    }

    /// Takes in which proxies there are.
    pub fn take_peers(&mut self, peers: Vec<ProxyStatus>) {
        self.peers = peers;
    }

    /// Takes a configuration in, unless the one in force is as new. Tells whether it is in force now.
    pub fn take_config(&mut self, document: &ConfigDocument) -> bool {
        if self.active.as_ref().is_some_and(|active| active.version >= document.version) {
            return false;
        }
        // Registries hand out only what they checked; another build of them might have checked less.
        let Ok(configuration) = Configuration::parse(&document.json) else { return false };
        let routes = RouteTable::new(&configuration);
        let keys = KeyTable::new(&configuration);
        self.active = Some(Rc::new(Active { version: document.version, configuration, routes, keys }));
        true
    }

    /// Takes in which zones are evacuated; of two orders about one zone the later holds. Tells whether anything
    /// changed.
    pub fn take_drains(&mut self, now: Micros, drains: &ZoneDrains) -> bool {
        let mut changed = false;
        for (zone, drain) in drains {
            let held = self.drains.get(zone).copied();
            if held >= Some(*drain) {
                continue;
            }
            let returns = held.is_some_and(|held| held.drained) && !drain.drained;
            if returns {
                self.returned_at.insert(zone.clone(), now);
            }
            self.drains.insert(zone.clone(), *drain);
            changed = true;
        }
        changed
    }

    /// Takes in what a registry told of trials; `told_at` is when its answer came.
    pub fn take_trials(&mut self, told_at: Micros, news: Vec<TrialNews>) {
        self.trials.take(told_at, news);
    }

    /// By what a request of a tenant is judged that begins now.
    pub fn judge_trial(&mut self, now: Micros, tenant: &str) -> Judgement {
        self.trials.judge(now, tenant)
    }

    /// The trials that are known.
    pub fn trials(&self) -> &TrialBook {
        &self.trials
    }

    /// Takes in how recent the news is: asked for at `asked_at`, and `age` old when it was answered. It counts
    /// only where what it speaks of is in force here; trials of the same answer are taken in before.
    pub fn take_freshness(&mut self, asked_at: Micros, age: Option<u64>, config: Option<ConfigVersion>) {
        self.trials.take_freshness(asked_at, age);
        let up_to_date = self.config_version() >= config;
        if let Some(age) = age.filter(|_| up_to_date) {
            self.freshness.note(asked_at, age * MILLI);
        }
    }

    /// Takes in how many proxies share common limits, and whether this one may use its part.
    pub fn take_members(&mut self, members: u32, settled: bool) {
        self.members = self.members.max(members);
        self.settled |= settled;
    }

    /// All workers, and whether each may get requests now.
    pub fn workers(&self, now: Micros) -> impl Iterator<Item = (&WorkerRecord, Usability)> {
        self.workers.catalog().workers().map(move |listed| (&listed.record, self.usability(now, listed)))
    }

    /// A service's workers, and whether each may get requests now.
    pub fn workers_of(&self, now: Micros, service: &str) -> impl Iterator<Item = (&WorkerRecord, Usability)> {
        let workers = self.workers.catalog().service(service).into_iter().flat_map(|list| list.workers());
        workers.map(move |listed| (&listed.record, self.usability(now, listed)))
    }

    fn usability(&self, now: Micros, listed: &ListedWorker) -> Usability {
        let worker = &listed.record;
        let drained = self.drains.get(&worker.zone).is_some_and(|drain| drain.drained);
        let returned = self.returned_at.get(&worker.zone);
        let returning = returned.is_some_and(|at| now < at + self.spans.return_after);
        if worker.draining || drained || returning {
            return Usability::Leaving;
        }
        if self.cold_until(listed).is_some_and(|until| now < until) {
            Usability::Cold
        } else {
            Usability::Ready
        }
    }

    /// When a worker next becomes usable by mere passing of time.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let returns = self.returned_at.values().map(|at| at + self.spans.return_after);
        let warm = self.workers.catalog().workers().filter_map(|listed| self.cold_until(listed));
        returns.chain(warm).filter(|at| *at > now).min()
    }

    fn cold_until(&self, listed: &ListedWorker) -> Option<Micros> {
        listed.cold_until.map(|until| until + self.spans.cold_margin)
    }

    /// Whether a worker is on the list of its service.
    pub fn lists(&self, service: &str, id: &str) -> bool {
        self.workers.catalog().service(service).is_some_and(|list| list.contains(id))
    }

    /// Whether keys may be believed: none that was taken away long ago can be unknown to this proxy.
    pub fn keys_hold(&self, now: Micros) -> bool {
        self.keys_hold_until().is_none_or(|until| now < until)
    }

    /// Until when keys may be believed without further news; none where they always may.
    pub fn keys_hold_until(&self) -> Option<Micros> {
        let lease = self.spans.key_lease?;
        Some(self.freshness.lease_until(lease))
    }

    /// The latest moment at which nothing newer than what is in force here can have been acknowledged.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Proxies that share common limits, as far as is known.
    pub fn members(&self) -> u32 {
        self.members
    }

    /// Whether this proxy may use its part of common limits.
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// This proxy's part of what all share.
    pub fn part(&self) -> Part {
        let holds = self.settled && self.members > 0;
        let valid_until = if holds { self.freshness.lease_until(self.spans.part_lease) } else { 0 };
        Part { gateways: self.members.max(1), valid_until }
    }

    /// Proxies that share common limits, while this one has a part of them.
    pub fn sharers(&self, now: Micros) -> Option<u32> {
        let part = self.part();
        (now < part.valid_until).then_some(part.gateways)
    }

    /// Whether clients can be served.
    pub fn can_serve(&self) -> bool {
        self.active.is_some() && !self.workers.catalog().is_empty()
    }
}
