//! The store's server: connects the replica to the network, the disk and its clients.

use crate::audit::AuditLog;
use crate::data_dir::{DataDir, Loaded};
use compact_str::CompactString;
use eyre::{eyre, Context, Result};
use hingestage_node::settings::InternalPort;
use hingestage_node::{incarnation, Settings, SettingsFile, Signals};
use hingestage_replication::{
    digest, Micros, OutgoingRequest, Record, Replica, ReplicaConfig, TrialSet, VoterPolicy,
};
use hingestage_rpc::messages::{
    Ballot, Change, PeerAnswer, PeerRequest, Proposed, ReadState, StoreAnswer, StoreMember, StoreRequest,
    Summary,
};
use hingestage_rpc::status::StoreStatus;
use hingestage_rpc::{serve as serve_calls, Client, Handler, OpenConnections};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Period of exchanges with another replica of the same region.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// Period of exchanges between regions, longer to save traffic. Decisions are announced at once.
const FAR_EXCHANGE_PERIOD: Duration = Duration::from_millis(700);
/// Timeout of a request to another replica.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Period of asking the seeds for unknown replicas.
const SEED_PERIOD: Duration = Duration::from_secs(2);
/// Poll period while the replica has pending work.
const BUSY_PERIOD: Duration = Duration::from_millis(40);
/// Poll period otherwise.
const IDLE_PERIOD: Duration = Duration::from_millis(400);
/// Timeout for handing the vote over at shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for answering the last calls at shutdown; changes take most of it.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(950);
/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

type Peer = Client<StoreRequest, StoreAnswer>;

/// Connections to another replica. Exchanges have their own, so that a slow one does not delay a proposal.
struct PeerConnections {
    exchanges: Peer,
    proposals: Peer,
}

/// A running store.
pub struct Store {
    settings: Rc<Settings>,
    replica: RefCell<Replica>,
    data_dir: RefCell<DataDir>,
    audit: AuditLog,
    /// The trials that the audit log already covers.
    audited_trials: RefCell<Rc<TrialSet>>,
    audited_ballot: Cell<Ballot>,
    started: Instant,
    /// Notified after every change of the replica's state.
    changed: Notify,
    /// Notified to start exchanges with all replicas at once.
    exchange_now: Notify,
    /// Notified to poll the replica at once.
    poll_now: Notify,
    connections: RefCell<BTreeMap<CompactString, Rc<PeerConnections>>>,
    /// Connections of the callers of this store.
    callers: Rc<OpenConnections>,
}

/// Runs the store until the process is asked to terminate.
///
/// # Errors
/// The data directory cannot be used or the address cannot be bound.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let dir = settings.data_dir.as_ref().ok_or_else(|| eyre!("settings: `data_dir` is missing"))?;
    let mut data_dir = DataDir::open(dir).wrap_err_with(|| format!("{}", dir.display()))?;
    let replica = load(&settings, &mut data_dir).wrap_err_with(|| format!("{}", dir.display()))?;
    let addr = replica.me().addr;
    let audited = replica.record().state.trials.clone();
    let store = Rc::new(Store {
        settings: settings.clone(),
        replica: RefCell::new(replica),
        data_dir: RefCell::new(data_dir),
        audit: AuditLog::new(dir),
        audited_trials: RefCell::new(audited),
        audited_ballot: Cell::default(),
        started: Instant::now(),
        changed: Notify::new(),
        exchange_now: Notify::new(),
        poll_now: Notify::new(),
        connections: RefCell::default(),
        callers: Rc::default(),
    });
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("{addr}"))?;
    spawn_local(serve_calls(listener, store.clone(), store.callers.clone()));
    spawn_local(discover_members(store.clone(), settings.clone()));
    spawn_local(store.clone().poll_periodically());
    store.start_peers();
    signals.terminate.recv().await;
    log::info!("told to end");
    let handover_time = settings.bounds.shutdown_time().saturating_sub(LAST_ANSWERS_TIMEOUT);
    let _ = tokio::time::timeout(HANDOVER_TIMEOUT.min(handover_time), store.hand_over_vote()).await;
    store.finish_calls().await;
    Ok(())
}

/// Loads the replica from disk, or creates a new one.
fn load(settings: &Settings, data_dir: &mut DataDir) -> Result<Replica> {
    let addr = settings.internal_addr(InternalPort::ConfigStore);
    let loaded = data_dir.load(&settings.node)?;
    let (me, founder, record) = match loaded {
        Loaded::Intact { me, founder, record } => {
            (StoreMember { addr, zone: settings.zone.as_str().into(), ..me }, founder, *record)
        }
        Loaded::Empty => {
            (initialize(settings, data_dir, settings.bootstrap)?, settings.bootstrap, Record::default())
        }
        Loaded::Damaged(why) => {
            log::error!("the disk is damaged ({why}): its contents count as lost");
            (initialize(settings, data_dir, false)?, false, Record::default())
        }
    };
    if record.accepted == Ballot::ZERO && !founder {
        log::warn!("the disk is empty and the system has run before: recovering from other stores");
    }
    let serial = record.state.config.as_ref().map_or(0, |config| config.version.serial);
    let membership = &record.state.membership;
    log::info!(
        "configuration {serial:08x} on disk, epoch {} with {} voters",
        membership.epoch,
        membership.voters.len()
    );
    let founders = if founder { seed_stores(settings) } else { Vec::new() };
    let tolerated = settings.tolerate.machines;
    let voter_policy = VoterPolicy {
        voters_min: (2 * tolerated + 1).max(seed_stores(settings).len()),
        ..ReplicaConfig::default().voter_policy
    };
    let seed = incarnation() ^ me.disk;
    Ok(Replica::new(me, record, founders, ReplicaConfig { voter_policy, ..ReplicaConfig::default() }, seed))
}

/// Initializes the data directory for a new store.
fn initialize(settings: &Settings, data_dir: &mut DataDir, founder: bool) -> Result<StoreMember> {
    let addr = settings.internal_addr(InternalPort::ConfigStore);
    let disk = incarnation() ^ digest(settings.node.as_bytes());
    let (name, zone) = (settings.node.as_str().into(), settings.zone.as_str().into());
    let me = StoreMember { name, zone, addr, disk };
    data_dir.initialize(&me, founder)?;
    Ok(me)
}

/// Addresses of the stores on the seed machines.
fn seed_stores(settings: &Settings) -> Vec<SocketAddr> {
    let machines: BTreeSet<_> = settings.seeds.iter().map(SocketAddr::ip).collect();
    machines.into_iter().map(|ip| settings.internal_addr_at(ip, InternalPort::ConfigStore)).collect()
}

/// Periodically asks seeds that are not known as replicas yet. Rereads the settings file, since seeds may change.
async fn discover_members(store: Rc<Store>, settings: Rc<Settings>) {
    let file = SettingsFile::new(settings);
    loop {
        let current = file.current();
        for seed in &current.seeds {
            let addr = current.internal_addr_at(seed.ip(), InternalPort::ConfigStore);
            let known = store.replica.borrow().members().iter().any(|member| member.addr == addr);
            if !known {
                let (store, peer) = (store.clone(), Peer::new(addr));
                spawn_local(async move { store.exchange(&peer).await });
            }
        }
        store.start_peers();
        tokio::time::sleep(SEED_PERIOD).await;
    }
}

impl Store {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Starts an exchange task for each new replica and stops those of removed ones.
    fn start_peers(self: &Rc<Self>) {
        let members = self.replica.borrow().members();
        let me = self.replica.borrow().me().name.clone();
        self.connections.borrow_mut().retain(|name, _| members.iter().any(|member| member.name == *name));
        for member in members.into_iter().filter(|member| member.name != me) {
            let same = |connection: &Rc<PeerConnections>| connection.exchanges.addr() == member.addr;
            if self.connections.borrow().get(&member.name).is_some_and(same) {
                continue;
            }
            let connection = Rc::new(PeerConnections {
                exchanges: Peer::new(member.addr),
                proposals: Peer::new(member.addr),
            });
            self.connections.borrow_mut().insert(member.name.clone(), connection.clone());
            let store = self.clone();
            spawn_local(async move { store.exchange_periodically(member, connection).await });
        }
    }

    async fn exchange_periodically(self: Rc<Self>, member: StoreMember, connection: Rc<PeerConnections>) {
        loop {
            let current = self
                .connections
                .borrow()
                .get(&member.name)
                .is_some_and(|current| Rc::ptr_eq(current, &connection));
            if !current {
                return;
            }
            let requested = self.exchange_now.notified();
            self.exchange(&connection.exchanges).await;
            let _ = tokio::time::timeout(self.exchange_period(&member), requested).await;
        }
    }

    fn exchange_period(&self, member: &StoreMember) -> Duration {
        if self.settings.is_remote_region(&member.zone) {
            FAR_EXCHANGE_PERIOD
        } else {
            EXCHANGE_PERIOD
        }
    }

    /// Exchanges ballots and known members with a replica.
    async fn exchange(self: &Rc<Self>, peer: &Peer) {
        let request = self.replica.borrow().exchange_request();
        self.ask(peer, request).await;
    }

    /// Sends a request to another replica and handles its answer.
    async fn ask(self: &Rc<Self>, peer: &Peer, request: PeerRequest) {
        let asked_at = self.now();
        let answer = peer.call(&StoreRequest::Peer(request), PEER_TIMEOUT).await;
        if let Ok(StoreAnswer::Peer(answer)) = answer {
            let known = self.replica.borrow().members().len();
            let outgoing = {
                let (mut replica, mut data_dir) = (self.replica.borrow_mut(), self.data_dir.borrow_mut());
                replica.handle_answer(self.now(), asked_at, answer, &mut *data_dir)
            };
            self.send(outgoing);
            self.publish_changes();
            if self.replica.borrow().members().len() != known {
                self.start_peers();
            }
        }
    }

    /// Sends requests concurrently.
    fn send(self: &Rc<Self>, outgoing: Vec<OutgoingRequest>) {
        for OutgoingRequest { to, request } in outgoing {
            let known = self.connections.borrow().get(&to.name).cloned();
            let connection = known.filter(|connection| connection.proposals.addr() == to.addr);
            let store = self.clone();
            spawn_local(async move {
                match connection {
                    Some(connection) => store.ask(&connection.proposals, request).await,
                    None => store.ask(&Peer::new(to.addr), request).await,
                }
            });
        }
    }

    fn poll(self: &Rc<Self>) {
        let outgoing = {
            let (mut replica, mut data_dir) = (self.replica.borrow_mut(), self.data_dir.borrow_mut());
            replica.poll(self.now(), &mut *data_dir)
        };
        self.send(outgoing);
        self.publish_changes();
    }

    /// Polls the replica periodically.
    async fn poll_periodically(self: Rc<Self>) {
        loop {
            let requested = self.poll_now.notified();
            self.poll();
            let busy = self.replica.borrow().has_pending_work();
            let period = if busy { BUSY_PERIOD } else { IDLE_PERIOD };
            let _ = tokio::time::timeout(period, requested).await;
        }
    }

    /// Wakes waiting clients, announces new decisions, and updates the audit log.
    fn publish_changes(&self) {
        self.changed.notify_waiters();
        let (decided, trials) = {
            let replica = self.replica.borrow();
            (replica.standing().decided, replica.state().trials.clone())
        };
        if self.replica.borrow_mut().take_announcement() {
            self.exchange_now.notify_waiters();
        }
        if self.audited_ballot.replace(decided) == decided {
            return;
        }
        let before = self.audited_trials.replace(trials.clone());
        if before.version() == trials.version() {
            return;
        }
        let records: Vec<_> = trials.records().cloned().collect();
        if let Err(error) = self.audit.append(&before.newer_records(&records)) {
            // The audit log is informational: the trials themselves are stored with the record.
            log::error!("audit: {error}");
        }
    }

    /// Answers the calls that have been received.
    async fn finish_calls(&self) {
        self.callers.stop();
        self.changed.notify_waiters();
        if !self.callers.all_closed(LAST_ANSWERS_TIMEOUT).await {
            log::warn!("ended with {} connections", self.callers.count());
        }
    }

    /// Hands the vote over to a standby store, if there is one.
    async fn hand_over_vote(self: &Rc<Self>) {
        self.replica.borrow_mut().begin_handover();
        while !self.replica.borrow().is_handover_complete(self.now()) {
            self.poll_now.notify_waiters();
            tokio::time::sleep(BUSY_PERIOD).await;
        }
    }

    async fn propose(self: Rc<Self>, change: Change, wait: Duration) -> StoreAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        if self.replica.borrow().is_recovering() {
            return StoreAnswer::Proposed(Proposed::Pending);
        }
        let ticket = self.replica.borrow_mut().propose(change, until);
        let Some(ticket) = ticket else { return StoreAnswer::Proposed(Proposed::Pending) };
        self.poll();
        self.poll_now.notify_waiters();
        loop {
            let changed = self.changed.notified();
            if let Some(outcome) = self.replica.borrow_mut().take_outcome(ticket) {
                return StoreAnswer::Proposed(outcome);
            }
            if self.now() >= until || !self.wait_until(changed, until).await {
                self.replica.borrow_mut().withdraw(ticket);
                return StoreAnswer::Proposed(Proposed::Pending);
            }
        }
    }

    /// Waits for a notification; returns false if the deadline passes first.
    async fn wait_until(&self, changed: impl std::future::Future<Output = ()>, until: Micros) -> bool {
        let left = Duration::from_micros(until.saturating_sub(self.now()));
        tokio::time::timeout(left, changed).await.is_ok()
    }

    async fn watch(self: Rc<Self>, have: Summary, wait: Duration) -> StoreAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        loop {
            let changed = self.changed.notified();
            let updates = self.replica.borrow_mut().updates_for(self.now(), &have);
            let has_changes = updates.config.is_some()
                || updates.proxies.is_some()
                || updates.trials.is_some()
                || updates.summary.drains != have.drains;
            if has_changes || self.now() >= until || self.callers.is_stopping() {
                return StoreAnswer::Watched(Box::new(updates));
            }
            let _ = self.wait_until(changed, until).await;
        }
    }

    async fn read(self: Rc<Self>, wait: Duration) -> StoreAnswer {
        let (asked_at, until) = (self.now(), self.now() + wait.as_micros() as Micros);
        self.exchange_now.notify_waiters();
        let mut current = false;
        while !current && self.now() < until {
            let changed = self.changed.notified();
            current = self.replica.borrow().is_current_since(self.now(), asked_at);
            if !current {
                self.wait_until(changed, until).await;
            }
        }
        let state = if current { ReadState::Current } else { ReadState::Unknown };
        let config = self.replica.borrow().state().config.clone();
        StoreAnswer::Read(config.map(|config| config.as_ref().clone()), state)
    }

    /// The status report for operators.
    fn status(&self) -> StoreStatus {
        let now = self.now();
        let replica = self.replica.borrow();
        let (state, standing) = (replica.state(), replica.standing());
        let drained = state.drains.iter().filter(|(_, drain)| drain.drained);
        let membership = replica.membership();
        StoreStatus {
            member: replica.me().clone(),
            members: replica.members(),
            recovering: replica.is_recovering(),
            held: replica.record().state.config.as_ref().map(|config| config.version),
            in_force: state.config.as_ref().map(|config| config.version),
            durable: state.config.is_some() && standing.accepted == standing.decided,
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            proxies: state.proxies.len() as u32,
            current_age: replica.current_as_of(now).map(|at| now.saturating_sub(at) / MILLI),
            epoch: membership.epoch,
            voters: membership.voters.iter().map(|voter| voter.name.clone()).collect(),
        }
    }

    fn answer_peer(self: &Rc<Self>, request: PeerRequest) -> PeerAnswer {
        let known = self.replica.borrow().members().len();
        let answer = {
            let (mut replica, mut data_dir) = (self.replica.borrow_mut(), self.data_dir.borrow_mut());
            replica.handle_request(self.now(), request, &mut *data_dir)
        };
        if matches!(answer, PeerAnswer::Failed) {
            log::error!("another store's request failed here");
        }
        if self.replica.borrow().has_pending_work() {
            self.poll_now.notify_waiters();
        }
        self.publish_changes();
        if self.replica.borrow().members().len() != known {
            self.start_peers();
        }
        answer
    }
}

impl Handler for Store {
    type Request = StoreRequest;
    type Answer = StoreAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::Peer(request) => StoreAnswer::Peer(self.answer_peer(request)),
            StoreRequest::Propose { change, wait } => self.propose(change, Duration::from_millis(wait)).await,
            StoreRequest::Watch { have, wait } => self.watch(have, Duration::from_millis(wait)).await,
            StoreRequest::Read { wait } => self.read(Duration::from_millis(wait)).await,
            StoreRequest::TrialAudit { tenant } => {
                StoreAnswer::TrialAudit(self.audit.entries_for(&tenant).unwrap_or_else(|error| {
                    log::error!("audit: {error}");
                    Vec::new()
                }))
            }
            StoreRequest::Status => StoreAnswer::Status(Box::new(self.status())),
        }
    }
}
