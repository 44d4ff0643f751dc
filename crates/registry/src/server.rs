//! The registry on sockets.

use crate::admission::{self, Admissions};
use crate::directory::{self, Directory};
use crate::duty::{self, Duty};
use crate::http;
use crate::platform_list;
use crate::watch::InForce;
use eyre::{eyre, Context, Result};
use hingestage_discovery::Follower;
use hingestage_node::settings::InternalPort;
use hingestage_node::{incarnation, Settings, SettingsFile, Signals};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{
    Change, ConfigVersion, Have, ProcessId, Proposed, ProxyStatus, RegistryAddress, RegistryAnswer,
    RegistryMember, RegistryRequest, StoreAnswer, StoreRequest, Watched, ZoneDrains,
};
use hingestage_rpc::workers::{ServiceIndex, WorkerRecord, WorkersVersion};
use hingestage_rpc::{serve as serve_calls, Client, Handler};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How long the store waits for news before it answers.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// How long an answer of another process may take beyond what it was asked to wait.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed.
const CALL_PAUSE: Duration = Duration::from_millis(150);
/// Period at which registries hear each other.
const MEET_PERIOD: Duration = Duration::from_millis(500);
/// The same between regions, where bytes are dear.
const MEET_PERIOD_FAR: Duration = Duration::from_millis(1_000);
/// Period at which the platform's list is read by the one that has the duty.
const READ_PERIOD: Duration = Duration::from_millis(900);
/// How long an answer about workers is awaited before they are asked for again.
const SERVICES_WITHIN: Duration = Duration::from_millis(600);
/// Period of housekeeping.
const TIDY_PERIOD: Duration = Duration::from_millis(500);
/// How long a change may take to become durable before its caller is told to come again.
pub(crate) const PROPOSE_WAIT: Duration = Duration::from_millis(850);

pub(crate) type StoreClient = Client<StoreRequest, StoreAnswer>;
type Peer = Client<RegistryRequest, RegistryAnswer>;

/// The registry.
pub struct Registry {
    pub(crate) settings: Rc<Settings>,
    file: SettingsFile,
    pub(crate) store: StoreClient,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) in_force: RefCell<InForce>,
    pub(crate) duty: RefCell<Duty>,
    /// The workers, as this registry read or was told them.
    pub(crate) workers: RefCell<Follower>,
    /// When they last changed.
    pub(crate) workers_at: Cell<Micros>,
    started: Instant,
    /// Told when something has changed that proxies go by.
    changed: Notify,
    admissions: RefCell<Admissions>,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
}

/// Runs the program until it is told to end.
///
/// # Errors
/// An address can't be had.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let addr = settings.internal_addr(InternalPort::Registry);
    let id = ProcessId { node: settings.node.as_str().into(), incarnation: incarnation() };
    let me = RegistryMember { id: id.clone(), zone: settings.zone.as_str().into(), addr, reads_list: true };
    let registry = Rc::new(Registry {
        store: StoreClient::new(settings.internal_addr(InternalPort::ConfigStore)),
        directory: RefCell::new(Directory::new(directory::Figures::default())),
        in_force: RefCell::new(InForce::new(id.incarnation)),
        workers: RefCell::default(),
        workers_at: Cell::new(0),
        duty: RefCell::new(Duty::new(me, duty::Figures::default())),
        started: Instant::now(),
        changed: Notify::new(),
        admissions: RefCell::new(Admissions::new(settings.bootstrap, admission::Figures::default())),
        peers: RefCell::default(),
        file: SettingsFile::new(settings.clone()),
        settings: settings.clone(),
    });
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("{addr}"))?;
    spawn_local(serve_calls(listener, registry.clone()));
    for (name, at) in [("admin", settings.listen.admin), ("dir", settings.listen.dir)] {
        let at = at.ok_or_else(|| eyre!("settings: `listen.{name}` is missing"))?;
        let listener = TcpListener::bind(at).await.wrap_err_with(|| format!("listen.{name}: {at}"))?;
        spawn_local(http::serve(listener, registry.clone()));
    }
    spawn_local(registry.clone().follow_store());
    spawn_local(registry.clone().read_list());
    spawn_local(registry.clone().meet_others());
    spawn_local(registry.clone().admit_newcomers());
    spawn_local(registry.clone().announce_steps());
    registry.set_first_terms()?;
    spawn_local(registry.clone().tidy());
    signals.terminate.recv().await;
    log::info!("told to end");
    Ok(())
}

impl Registry {
    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Hears from the store on this machine what is in force.
    async fn follow_store(self: Rc<Self>) {
        loop {
            let have = self.in_force.borrow().summary.clone();
            let asked_at = self.now();
            let request = StoreRequest::Watch { have, wait: STORE_WAIT.as_millis() as u64 };
            match self.store.call(&request, STORE_WAIT + ANSWER_WITHIN).await {
                Ok(StoreAnswer::Watched(news)) => {
                    if self.in_force.borrow_mut().take(self.now(), asked_at, *news) {
                        self.changed.notify_waiters();
                    }
                }
                _ => tokio::time::sleep(CALL_PAUSE).await,
            }
        }
    }

    /// Reads the platform's list while this registry has the duty.
    async fn read_list(self: Rc<Self>) {
        // Others are to be heard first.
        tokio::time::sleep(MEET_PERIOD).await;
        loop {
            let cloud = self.file.current().cloud_api.clone();
            let version = self.duty.borrow_mut().read_under(self.now());
            if let (Some(cloud), Some(version)) = (cloud, version) {
                let read = platform_list::read(cloud.addr).await;
                self.duty.borrow_mut().has_read(self.now(), read.is_ok());
                match read {
                    Ok(workers) => self.has_read(version, workers),
                    Err(error) => log::warn!("list of workers: {error}"),
                }
            }
            tokio::time::sleep(READ_PERIOD).await;
        }
    }

    /// A list that says what is known already is not handed out again.
    fn has_read(&self, version: WorkersVersion, workers: Vec<WorkerRecord>) {
        if self.workers.borrow_mut().read(self.now(), version, workers) {
            self.workers_changed();
        }
    }

    fn workers_changed(&self) {
        let version = self.workers.borrow().seen_version();
        self.duty.borrow_mut().saw(version);
        self.workers_at.set(self.now());
        self.changed.notify_waiters();
    }

    /// Gets from another registry what it has newer.
    async fn follow(&self, peer: &Peer, index: &ServiceIndex) {
        let now = self.now();
        self.duty.borrow_mut().saw(index.version);
        self.workers.borrow_mut().told(now, index);
        let until = now + SERVICES_WITHIN.as_micros() as Micros;
        let asked = self.workers.borrow_mut().ask(now, until, |_, _| true);
        if asked.is_empty() {
            return;
        }
        let answer = peer.call(&RegistryRequest::FetchServices(asked.clone()), SERVICES_WITHIN).await;
        if let Ok(RegistryAnswer::Services(updates)) = answer {
            self.workers.borrow_mut().take(self.now(), updates);
            self.workers_changed();
        }
        self.workers.borrow_mut().unanswered(&asked);
    }

    /// Keeps hearing the other registries.
    async fn meet_others(self: Rc<Self>) {
        loop {
            for addr in self.others() {
                if self.peers.borrow().contains_key(&addr) {
                    continue;
                }
                let peer = Rc::new(Peer::new(addr));
                self.peers.borrow_mut().insert(addr, peer.clone());
                spawn_local(self.clone().keep_meeting(peer));
            }
            tokio::time::sleep(MEET_PERIOD).await;
        }
    }

    /// Addresses of other registries: those that are known, and those at the seeds of the present settings.
    fn others(&self) -> Vec<SocketAddr> {
        let me = self.settings.internal_addr(InternalPort::Registry);
        let known = self.duty.borrow().members(self.now()).into_iter().map(|member| member.addr);
        // Between two states of the file what was read at the start holds.
        let current = self.file.current();
        let seeds = current
            .seeds
            .iter()
            .map(|seed| self.settings.internal_addr_at(seed.ip(), InternalPort::Registry));
        known.chain(seeds).filter(|addr| *addr != me).collect()
    }

    async fn keep_meeting(self: Rc<Self>, peer: Rc<Peer>) {
        loop {
            let now = self.now();
            let request = RegistryRequest::Meet {
                from: self.duty.borrow().me(now),
                members: self.duty.borrow().members(now),
                workers: self.workers.borrow().told_version(),
                workers_seen: self.workers.borrow().seen_version(),
            };
            if let Ok(RegistryAnswer::Met { from, members, workers }) =
                peer.call(&request, ANSWER_WITHIN).await
            {
                self.met(from, members);
                self.follow(&peer, &workers).await;
            }
            tokio::time::sleep(self.meet_period(peer.addr())).await;
        }
    }

    fn meet_period(&self, addr: SocketAddr) -> Duration {
        let members = self.duty.borrow().members(self.now());
        let member = members.iter().find(|member| member.addr == addr);
        if member.is_some_and(|member| self.settings.is_remote_region(&member.zone)) {
            MEET_PERIOD_FAR
        } else {
            MEET_PERIOD
        }
    }

    fn met(&self, from: RegistryMember, members: Vec<RegistryMember>) {
        let mut duty = self.duty.borrow_mut();
        duty.heard(self.now(), from);
        members.into_iter().for_each(|member| duty.told_of(member));
    }

    /// Takes proxies into common limits.
    async fn admit_newcomers(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TIDY_PERIOD).await;
            let names = self.admissions.borrow_mut().due(self.now(), &self.in_force.borrow().proxies);
            if names.is_empty() {
                continue;
            }
            let change = Change::Proxies(names);
            let request = StoreRequest::Propose { change, wait: PROPOSE_WAIT.as_millis() as u64 };
            let answer = self.store.call(&request, PROPOSE_WAIT + ANSWER_WITHIN).await;
            if !matches!(answer, Ok(StoreAnswer::Proposed(Proposed::Durable))) {
                log::info!("proxies are not taken into common limits yet");
            }
        }
    }

    async fn tidy(self: Rc<Self>) {
        let mut living = 0;
        loop {
            tokio::time::sleep(TIDY_PERIOD).await;
            let now = self.now();
            self.directory.borrow_mut().tidy(now);
            self.duty.borrow_mut().tidy(now);
            let current = self.directory.borrow().living_digest(now);
            if current != living {
                living = current;
                self.changed.notify_waiters();
            }
        }
    }

    /// What this registry has of the state that proxies of a zone go by.
    pub(crate) fn have(&self, zone: &str) -> Have {
        let in_force = self.in_force.borrow();
        Have {
            config: in_force.offered(self.now()),
            drains: in_force.summary.drains.clone(),
            workers: self.workers.borrow().catalog().version(),
            workers_seen: self.workers.borrow().seen_version(),
            directory: self.directory.borrow().version(self.now(), zone),
            trials: in_force.trials.revision(),
        }
    }

    async fn watch(self: Rc<Self>, status: ProxyStatus, theirs: Have, wait: Duration) -> RegistryAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        let (name, zone) = (status.id.node.clone(), status.zone.clone());
        if self.directory.borrow_mut().heard(self.now(), status, wait.as_micros() as Micros) {
            self.changed.notify_waiters();
        }
        // After a restart of all registries only the proxies know how far the numbers of lists have come.
        self.duty.borrow_mut().saw(theirs.workers_seen);
        self.admissions.borrow_mut().heard(&name, &self.in_force.borrow().proxies);
        loop {
            let changed = self.changed.notified();
            let have = self.have(&zone);
            let news = have.config > theirs.config
                || has_newer_drain(&have.drains, &theirs.drains)
                || have.workers > theirs.workers
                || have.directory != theirs.directory
                || self.in_force.borrow().trials.has_news_for(theirs.trials);
            let now = self.now();
            if news || now >= until {
                return RegistryAnswer::Watched(Box::new(self.watched(now, have, &theirs, &name, &zone)));
            }
            let _ = tokio::time::timeout(Duration::from_micros(until - now), changed).await;
        }
    }

    fn watched(&self, now: Micros, have: Have, theirs: &Have, name: &str, zone: &str) -> Watched {
        let config_bytes = if have.config > theirs.config { self.config_bytes(theirs.config) } else { 0 };
        let in_force = self.in_force.borrow();
        let other_directory = have.directory != theirs.directory;
        let directory = self.directory.borrow();
        let neighbors = || directory.neighbors(now, zone).into_iter().cloned().collect();
        Watched {
            config_bytes,
            services: self.workers.borrow().catalog().index_since(theirs.workers),
            directory: other_directory.then(neighbors),
            trials: in_force.trials.since(now, theirs.trials),
            registries: self.registries(now),
            fresh_age: in_force.fresh_age(now),
            members: in_force.proxies.len() as u32,
            settled: in_force.proxies.get(name) == Some(&true),
            have,
        }
    }

    /// Length of the configuration as it would be sent to one who has some version, bytes.
    fn config_bytes(&self, have: Option<ConfigVersion>) -> u64 {
        let mut in_force = self.in_force.borrow_mut();
        in_force.transfer_for(self.now(), have).map_or(0, |transfer| transfer.packed.len() as u64)
    }

    fn registries(&self, now: Micros) -> Vec<RegistryAddress> {
        let members = self.duty.borrow().members(now).into_iter();
        members.map(|member| RegistryAddress { addr: member.addr, zone: member.zone }).collect()
    }

    /// What an operator reads of this registry.
    pub(crate) fn status(&self) -> String {
        let now = self.now();
        let have = self.have(&self.settings.zone);
        let in_force = self.in_force.borrow();
        let living = self.directory.borrow().living(now).count();
        let fresh = in_force.freshness.age(now).map(|age| age / 1_000);
        serde_json::json!({
            "node": self.settings.node,
            "config": have.config.map(|version| format!("{:08x}", version.serial)),
            "drained": have.drains.iter().filter(|(_, drain)| drain.drained).map(|(zone, _)| zone).collect::<Vec<_>>(),
            "workers": self.workers.borrow().catalog().workers().count(),
            "workers_version": [have.workers.fence, have.workers.number],
            "proxies": living,
            "members": in_force.proxies.len(),
            "fresh_ms": fresh,
            "recovering": in_force.summary.recovering,
        })
        .to_string()
    }
}

/// Whether any order is newer than the one that the other side has. Where the other side has the newer ones there
/// is nothing to tell it.
fn has_newer_drain(ours: &ZoneDrains, theirs: &ZoneDrains) -> bool {
    ours.iter().any(|(zone, drain)| theirs.get(zone) < Some(drain))
}

impl Handler for Registry {
    type Request = RegistryRequest;
    type Answer = RegistryAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: RegistryRequest) -> RegistryAnswer {
        match request {
            RegistryRequest::Watch { status, have, wait } => {
                self.watch(status, have, Duration::from_millis(wait)).await
            }
            RegistryRequest::Meet { from, members, workers, workers_seen } => {
                self.met(from, members);
                self.duty.borrow_mut().saw(workers_seen);
                let now = self.now();
                RegistryAnswer::Met {
                    from: self.duty.borrow().me(now),
                    members: self.duty.borrow().members(now),
                    workers: self.workers.borrow().catalog().index_since(workers),
                }
            }
            RegistryRequest::FetchConfig { have } => {
                RegistryAnswer::Config(self.in_force.borrow_mut().transfer_for(self.now(), have).cloned())
            }
            RegistryRequest::FetchServices(have) => {
                RegistryAnswer::Services(self.workers.borrow().catalog().news(self.now(), &have))
            }
            RegistryRequest::Status => RegistryAnswer::Status(Box::new(self.state())),
        }
    }
}
