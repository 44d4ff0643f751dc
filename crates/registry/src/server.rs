//! The registry server: peer protocol, store watch, worker list and admission loops.

use crate::admission::{AdmissionSettings, Admissions};
use crate::committed::CommittedState;
use crate::directory::{Directory, DirectorySettings};
use crate::http;
use crate::platform_list;
use crate::reader_election::{ElectionSettings, ReaderElection};
use eyre::{eyre, Context, Result};
use hingestage_discovery::Follower;
use hingestage_node::settings::InternalPort;
use hingestage_node::{incarnation, Settings, SettingsFile, Signals};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{
    Change, ConfigVersion, KnownVersions, ProcessId, Proposed, ProxyStatus, RegistryAddress, RegistryAnswer,
    RegistryMember, RegistryRequest, StoreAnswer, StoreRequest, Watched, ZoneDrains,
};
use hingestage_rpc::workers::{ServiceIndex, WorkerRecord, WorkersVersion};
use hingestage_rpc::{serve as serve_calls, Client, Handler, OpenConnections};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Long-poll wait of a watch on the local store.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Timeout of calls to other processes, in addition to the wait requested of them.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after a failed call.
const CALL_BACKOFF: Duration = Duration::from_millis(150);
/// Heartbeat period between registries.
const PEER_HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Heartbeat period between registries of different regions, where traffic is expensive.
const REMOTE_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Period at which the elected reader reads the platform's list.
const LIST_READ_PERIOD: Duration = Duration::from_millis(900);
/// Timeout of a request for services' workers.
const SERVICES_TIMEOUT: Duration = Duration::from_millis(600);
/// Period of admission and of the removal of expired entries.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(500);
/// Time a change may take to become durable before its caller is asked to retry.
pub(crate) const PROPOSE_WAIT: Duration = Duration::from_millis(850);

pub(crate) type StoreClient = Client<StoreRequest, StoreAnswer>;
type Peer = Client<RegistryRequest, RegistryAnswer>;

/// State of a running registry.
pub struct Registry {
    pub(crate) settings: Rc<Settings>,
    file: SettingsFile,
    pub(crate) store: StoreClient,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) committed: RefCell<CommittedState>,
    pub(crate) election: RefCell<ReaderElection>,
    /// Workers, as read from the platform or received from other registries.
    pub(crate) workers: RefCell<Follower>,
    /// When the workers last changed.
    pub(crate) workers_at: Cell<Micros>,
    started: Instant,
    /// Notified when state that proxies watch has changed.
    changed: Notify,
    admissions: RefCell<Admissions>,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    /// Connections of other processes.
    calls: Rc<OpenConnections>,
    /// Connections of operators and of clients, one entry for each HTTP listener.
    http: [Rc<OpenConnections>; 2],
}

/// Runs the registry until it is terminated.
///
/// # Errors
/// The settings are incomplete or an address can't be bound.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let addr = settings.internal_addr(InternalPort::Registry);
    let id = ProcessId { node: settings.node.as_str().into(), incarnation: incarnation() };
    let me = RegistryMember { id: id.clone(), zone: settings.zone.as_str().into(), addr, reads_list: true };
    let registry = Rc::new(Registry {
        store: StoreClient::new(settings.internal_addr(InternalPort::ConfigStore)),
        directory: RefCell::new(Directory::new(DirectorySettings::default())),
        committed: RefCell::new(CommittedState::new(id.incarnation)),
        workers: RefCell::default(),
        workers_at: Cell::new(0),
        election: RefCell::new(ReaderElection::new(me, ElectionSettings::default())),
        started: Instant::now(),
        changed: Notify::new(),
        admissions: RefCell::new(Admissions::new(settings.bootstrap, AdmissionSettings::default())),
        peers: RefCell::default(),
        calls: Rc::default(),
        http: Default::default(),
        file: SettingsFile::new(settings.clone()),
        settings: settings.clone(),
    });
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("{addr}"))?;
    spawn_local(serve_calls(listener, registry.clone(), registry.calls.clone()));
    let http = [("admin", settings.listen.admin), ("dir", settings.listen.dir)];
    for ((name, at), connections) in http.into_iter().zip(&registry.http) {
        let at = at.ok_or_else(|| eyre!("settings: `listen.{name}` is missing"))?;
        let listener = TcpListener::bind(at).await.wrap_err_with(|| format!("listen.{name}: {at}"))?;
        spawn_local(http::serve(listener, registry.clone(), connections.clone()));
    }
    spawn_local(registry.clone().follow_store());
    spawn_local(registry.clone().read_list());
    spawn_local(registry.clone().contact_peers());
    spawn_local(registry.clone().admit_proxies());
    spawn_local(registry.clone().announce_steps());
    registry.set_first_terms()?;
    spawn_local(registry.clone().remove_expired());
    signals.terminate.recv().await;
    registry.finish(settings.bounds.shutdown_time()).await;
    Ok(())
}

impl Registry {
    /// Answers what has been received, then closes all connections.
    async fn finish(&self, within: Duration) {
        let servers = || self.http.iter().chain([&self.calls]);
        let open_count = || servers().map(|connections| connections.count()).sum::<usize>();
        log::info!("told to end: {} connections", open_count());
        servers().for_each(|connections| connections.stop());
        self.changed.notify_waiters();
        let all_closed = async {
            for connections in servers() {
                connections.all_closed(within).await;
            }
        };
        let _ = tokio::time::timeout(within, all_closed).await;
        if open_count() > 0 {
            log::warn!("ended with {} connections", open_count());
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Watches the store on this machine for committed state.
    async fn follow_store(self: Rc<Self>) {
        loop {
            let have = self.committed.borrow().summary.clone();
            let asked_at = self.now();
            let request = StoreRequest::Watch { have, wait: STORE_WAIT.as_millis() as u64 };
            match self.store.call(&request, STORE_WAIT + CALL_TIMEOUT).await {
                Ok(StoreAnswer::Watched(news)) => {
                    if self.committed.borrow_mut().apply(self.now(), asked_at, *news) {
                        self.changed.notify_waiters();
                    }
                }
                _ => tokio::time::sleep(CALL_BACKOFF).await,
            }
        }
    }

    /// Reads the platform's list while this registry is the elected reader.
    async fn read_list(self: Rc<Self>) {
        // Heartbeats of the other registries have to arrive before the first election.
        tokio::time::sleep(PEER_HEARTBEAT_PERIOD).await;
        loop {
            let cloud = self.file.current().cloud_api.clone();
            let version = self.election.borrow_mut().next_version(self.now());
            if let (Some(cloud), Some(version)) = (cloud, version) {
                let read = platform_list::read(cloud.addr).await;
                self.election.borrow_mut().record_read(self.now(), read.is_ok());
                match read {
                    Ok(workers) => self.apply_list(version, workers),
                    Err(error) => log::warn!("list of workers: {error}"),
                }
            }
            tokio::time::sleep(LIST_READ_PERIOD).await;
        }
    }

    /// Applies a list that was read, and notifies watchers if it differs from the known one.
    fn apply_list(&self, version: WorkersVersion, workers: Vec<WorkerRecord>) {
        if self.workers.borrow_mut().apply_list(self.now(), version, workers) {
            self.workers_changed();
        }
    }

    fn workers_changed(&self) {
        let version = self.workers.borrow().seen_version();
        self.election.borrow_mut().observe_version(version);
        self.workers_at.set(self.now());
        self.changed.notify_waiters();
    }

    /// Fetches the services that are newer at another registry.
    async fn fetch_updates(&self, peer: &Peer, index: &ServiceIndex) {
        let now = self.now();
        self.election.borrow_mut().observe_version(index.version);
        self.workers.borrow_mut().apply_index(now, index);
        let until = now + SERVICES_TIMEOUT.as_micros() as Micros;
        let asked = self.workers.borrow_mut().next_requests(now, until, |_, _| true);
        if asked.is_empty() {
            return;
        }
        let answer = peer.call(&RegistryRequest::FetchServices(asked.clone()), SERVICES_TIMEOUT).await;
        if let Ok(RegistryAnswer::Services(updates)) = answer {
            self.workers.borrow_mut().apply_updates(self.now(), updates);
            self.workers_changed();
        }
        self.workers.borrow_mut().end_request(&asked);
    }

    /// Starts a heartbeat loop for each other registry that becomes known.
    async fn contact_peers(self: Rc<Self>) {
        loop {
            for addr in self.peer_addrs() {
                if self.peers.borrow().contains_key(&addr) {
                    continue;
                }
                let peer = Rc::new(Peer::new(addr));
                self.peers.borrow_mut().insert(addr, peer.clone());
                spawn_local(self.clone().send_heartbeats(peer));
            }
            tokio::time::sleep(PEER_HEARTBEAT_PERIOD).await;
        }
    }

    /// Addresses of the other registries: known ones and the seeds of the current settings.
    fn peer_addrs(&self) -> Vec<SocketAddr> {
        let me = self.settings.internal_addr(InternalPort::Registry);
        let known = self.election.borrow().members(self.now()).into_iter().map(|member| member.addr);
        // Seeds are reloaded from the settings file, which falls back to its last valid state.
        let current = self.file.current();
        let seeds = current
            .seeds
            .iter()
            .map(|seed| self.settings.internal_addr_at(seed.ip(), InternalPort::Registry));
        known.chain(seeds).filter(|addr| *addr != me).collect()
    }

    async fn send_heartbeats(self: Rc<Self>, peer: Rc<Peer>) {
        loop {
            let now = self.now();
            let request = RegistryRequest::Gossip {
                from: self.election.borrow().local_member(now),
                members: self.election.borrow().members(now),
                workers: self.workers.borrow().announced_version(),
                workers_seen: self.workers.borrow().seen_version(),
            };
            if let Ok(RegistryAnswer::GossipReply { from, members, workers }) =
                peer.call(&request, CALL_TIMEOUT).await
            {
                self.record_peers(from, members);
                self.fetch_updates(&peer, &workers).await;
            }
            tokio::time::sleep(self.heartbeat_period(peer.addr())).await;
        }
    }

    fn heartbeat_period(&self, addr: SocketAddr) -> Duration {
        let members = self.election.borrow().members(self.now());
        let member = members.iter().find(|member| member.addr == addr);
        if member.is_some_and(|member| self.settings.is_remote_region(&member.zone)) {
            REMOTE_HEARTBEAT_PERIOD
        } else {
            PEER_HEARTBEAT_PERIOD
        }
    }

    fn record_peers(&self, from: RegistryMember, members: Vec<RegistryMember>) {
        let mut election = self.election.borrow_mut();
        election.record_heartbeat(self.now(), from);
        members.into_iter().for_each(|member| election.add_candidate(member));
    }

    /// Admits new proxies to the shared limits.
    async fn admit_proxies(self: Rc<Self>) {
        loop {
            tokio::time::sleep(MAINTENANCE_PERIOD).await;
            let names =
                self.admissions.borrow_mut().due_changes(self.now(), &self.committed.borrow().proxies);
            if names.is_empty() {
                continue;
            }
            let change = Change::Proxies(names);
            let request = StoreRequest::Propose { change, wait: PROPOSE_WAIT.as_millis() as u64 };
            let answer = self.store.call(&request, PROPOSE_WAIT + CALL_TIMEOUT).await;
            if !matches!(answer, Ok(StoreAnswer::Proposed(Proposed::Durable))) {
                log::info!("proxies are not taken into common limits yet");
            }
        }
    }

    /// Removes expired proxies and registries, and notifies watchers when proxies have gone.
    async fn remove_expired(self: Rc<Self>) {
        let mut last_digest = 0;
        loop {
            tokio::time::sleep(MAINTENANCE_PERIOD).await;
            let now = self.now();
            self.directory.borrow_mut().remove_expired(now);
            self.election.borrow_mut().remove_expired(now);
            let current = self.directory.borrow().live_digest(now);
            if current != last_digest {
                last_digest = current;
                self.changed.notify_waiters();
            }
        }
    }

    /// Versions of the state that this registry offers to proxies of a zone.
    pub(crate) fn have(&self, zone: &str) -> KnownVersions {
        let committed = self.committed.borrow();
        KnownVersions {
            config: committed.offered_version(self.now()),
            drains: committed.summary.drains.clone(),
            workers: self.workers.borrow().catalog().version(),
            workers_seen: self.workers.borrow().seen_version(),
            directory: self.directory.borrow().version(self.now(), zone),
            trials: committed.trials.revision(),
        }
    }

    async fn watch(
        self: Rc<Self>,
        status: ProxyStatus,
        theirs: KnownVersions,
        wait: Duration,
    ) -> RegistryAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        let (name, zone) = (status.id.node.clone(), status.zone.clone());
        if self.directory.borrow_mut().heard(self.now(), status, wait.as_micros() as Micros) {
            self.changed.notify_waiters();
        }
        // After a restart of all registries only the proxies know the highest list version.
        self.election.borrow_mut().observe_version(theirs.workers_seen);
        self.admissions.borrow_mut().observe(&name, &self.committed.borrow().proxies);
        loop {
            let changed = self.changed.notified();
            let have = self.have(&zone);
            let has_news = have.config > theirs.config
                || has_newer_drain(&have.drains, &theirs.drains)
                || have.workers > theirs.workers
                || have.directory != theirs.directory
                || self.committed.borrow().trials.has_updates_for(theirs.trials);
            let now = self.now();
            if has_news || now >= until || self.calls.is_stopping() {
                return RegistryAnswer::Watched(Box::new(self.watched(now, have, &theirs, &name, &zone)));
            }
            let _ = tokio::time::timeout(Duration::from_micros(until - now), changed).await;
        }
    }

    fn watched(
        &self,
        now: Micros,
        have: KnownVersions,
        theirs: &KnownVersions,
        name: &str,
        zone: &str,
    ) -> Watched {
        let config_bytes = if have.config > theirs.config { self.config_bytes(theirs.config) } else { 0 };
        let committed = self.committed.borrow();
        let other_directory = have.directory != theirs.directory;
        let directory = self.directory.borrow();
        let neighbors = || directory.neighbors(now, zone).into_iter().cloned().collect();
        Watched {
            config_bytes,
            services: self.workers.borrow().catalog().index_since(theirs.workers),
            directory: other_directory.then(neighbors),
            trials: committed.trials.updates_since(now, theirs.trials),
            registries: self.registries(now),
            fresh_age: committed.fresh_age(now),
            members: committed.proxies.len() as u32,
            settled: committed.proxies.get(name) == Some(&true),
            have,
        }
    }

    /// Size in bytes of the configuration as sent to a proxy that has the given version.
    fn config_bytes(&self, have: Option<ConfigVersion>) -> u64 {
        let mut committed = self.committed.borrow_mut();
        committed.transfer_for(self.now(), have).map_or(0, |transfer| transfer.packed.len() as u64)
    }

    fn registries(&self, now: Micros) -> Vec<RegistryAddress> {
        let members = self.election.borrow().members(now).into_iter();
        members.map(|member| RegistryAddress { addr: member.addr, zone: member.zone }).collect()
    }

    /// JSON body of `GET /status`.
    pub(crate) fn status(&self) -> String {
        let now = self.now();
        let have = self.have(&self.settings.zone);
        let committed = self.committed.borrow();
        let proxy_count = self.directory.borrow().live_proxies(now).count();
        let fresh = committed.freshness.age(now).map(|age| age / 1_000);
        serde_json::json!({
            "node": self.settings.node,
            "config": have.config.map(|version| format!("{:08x}", version.serial)),
            "drained": have.drains.iter().filter(|(_, drain)| drain.drained).map(|(zone, _)| zone).collect::<Vec<_>>(),
            "workers": self.workers.borrow().catalog().workers().count(),
            "workers_version": [have.workers.fence, have.workers.number],
            "proxies": proxy_count,
            "members": committed.proxies.len(),
            "fresh_ms": fresh,
            "recovering": committed.summary.recovering,
        })
        .to_string()
    }
}

/// Whether any of our zone drains is newer than the peer's. Drains that are newer at the peer don't count.
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
            RegistryRequest::Gossip { from, members, workers, workers_seen } => {
                self.record_peers(from, members);
                self.election.borrow_mut().observe_version(workers_seen);
                let now = self.now();
                RegistryAnswer::GossipReply {
                    from: self.election.borrow().local_member(now),
                    members: self.election.borrow().members(now),
                    workers: self.workers.borrow().catalog().index_since(workers),
                }
            }
            RegistryRequest::FetchConfig { have } => {
                RegistryAnswer::Config(self.committed.borrow_mut().transfer_for(self.now(), have).cloned())
            }
            RegistryRequest::FetchServices(have) => {
                RegistryAnswer::Services(self.workers.borrow().catalog().updates_for(self.now(), &have))
            }
            RegistryRequest::Status => RegistryAnswer::Status(Box::new(self.registry_status())),
        }
    }
}
