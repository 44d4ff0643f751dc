//! The replica on sockets and a disk.

use crate::audit::Audit;
use crate::files::{Files, Loaded};
use compact_str::CompactString;
use eyre::{eyre, Context, Result};
use hingestage_node::settings::InternalPort;
use hingestage_node::{incarnation, Settings, SettingsFile, Signals};
use hingestage_replication::{digest, Figures, Micros, Outgoing, Plan, Record, Replica, TrialSet};
use hingestage_rpc::messages::{
    Ballot, Change, PeerAnswer, PeerRequest, Proposed, ReadState, StoreAnswer, StoreMember, StoreRequest,
    Summary,
};
use hingestage_rpc::status::StoreStatus;
use hingestage_rpc::{serve as serve_calls, Client, Handler};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Period at which replicas compare how far they are.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// The same between regions, where bytes are dear. What is new goes out at once all the same.
const EXCHANGE_PERIOD_FAR: Duration = Duration::from_millis(700);
/// How long another replica may take to answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
/// How often replicas look for others at the seeds.
const SEED_PERIOD: Duration = Duration::from_secs(2);
/// How often a replica looks whether anything is due, while a proposal is under way and otherwise.
const BUSY_PERIOD: Duration = Duration::from_millis(40);
const IDLE_PERIOD: Duration = Duration::from_millis(400);
/// How long a store that is told to end may take to hand its vote over.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

type Peer = Client<StoreRequest, StoreAnswer>;

/// Connections to another replica. Comparisons go by one of their own, so that none takes a proposal along when it
/// is late.
struct Link {
    exchanges: Peer,
    proposals: Peer,
}

/// A replica on sockets and a disk.
pub struct Store {
    settings: Rc<Settings>,
    replica: RefCell<Replica>,
    files: RefCell<Files>,
    audit: Audit,
    /// The trials whose steps the audit has.
    audited: RefCell<Rc<TrialSet>>,
    announced: Cell<Ballot>,
    started: Instant,
    /// Told whenever the replica or what it knows of others has changed.
    changed: Notify,
    /// Told when the others are to be asked at once.
    news: Notify,
    /// Told when something may be due.
    due: Notify,
    links: RefCell<BTreeMap<CompactString, Rc<Link>>>,
}

/// Runs the program until it is told to end.
///
/// # Errors
/// The directory or the address can't be had.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let dir = settings.data_dir.as_ref().ok_or_else(|| eyre!("settings: `data_dir` is missing"))?;
    let mut files = Files::open(dir).wrap_err_with(|| format!("{}", dir.display()))?;
    let replica = load(&settings, &mut files).wrap_err_with(|| format!("{}", dir.display()))?;
    let addr = replica.me().addr;
    let audited = replica.record().state.trials.clone();
    let store = Rc::new(Store {
        settings: settings.clone(),
        replica: RefCell::new(replica),
        files: RefCell::new(files),
        audit: Audit::new(dir),
        audited: RefCell::new(audited),
        announced: Cell::default(),
        started: Instant::now(),
        changed: Notify::new(),
        news: Notify::new(),
        due: Notify::new(),
        links: RefCell::default(),
    });
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("{addr}"))?;
    spawn_local(serve_calls(listener, store.clone()));
    spawn_local(find_members(store.clone(), settings.clone()));
    spawn_local(store.clone().drive());
    store.start_peers();
    signals.terminate.recv().await;
    log::info!("told to end");
    let _ = tokio::time::timeout(LEAVE_WITHIN, store.leave()).await;
    Ok(())
}

/// The replica that the disk holds, or a new one.
fn load(settings: &Settings, files: &mut Files) -> Result<Replica> {
    let addr = settings.internal_addr(InternalPort::ConfigStore);
    let loaded = files.load(&settings.node)?;
    let (me, founder, record) = match loaded {
        Loaded::Whole { me, founder, record } => {
            (StoreMember { addr, zone: settings.zone.as_str().into(), ..me }, founder, *record)
        }
        Loaded::Empty => (begin(settings, files, settings.bootstrap)?, settings.bootstrap, Record::default()),
        Loaded::Damaged(why) => {
            log::error!("the disk is damaged ({why}): its contents count as lost");
            (begin(settings, files, false)?, false, Record::default())
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
    let plan =
        Plan { voters_min: (2 * tolerated + 1).max(seed_stores(settings).len()), ..Figures::default().plan };
    let seed = incarnation() ^ me.disk;
    Ok(Replica::new(me, record, founders, Figures { plan, ..Figures::default() }, seed))
}

/// A store whose disk is empty is a new one.
fn begin(settings: &Settings, files: &mut Files, founder: bool) -> Result<StoreMember> {
    let addr = settings.internal_addr(InternalPort::ConfigStore);
    let disk = incarnation() ^ digest(settings.node.as_bytes());
    let (name, zone) = (settings.node.as_str().into(), settings.zone.as_str().into());
    let me = StoreMember { name, zone, addr, disk };
    files.begin(&me, founder)?;
    Ok(me)
}

/// Addresses of the stores at the seeds: each of these machines has one.
fn seed_stores(settings: &Settings) -> Vec<SocketAddr> {
    let machines: BTreeSet<_> = settings.seeds.iter().map(SocketAddr::ip).collect();
    machines.into_iter().map(|ip| settings.internal_addr_at(ip, InternalPort::ConfigStore)).collect()
}

/// Asks the seeds for replicas that are not known yet. The settings file is read again: seeds change.
async fn find_members(store: Rc<Store>, settings: Rc<Settings>) {
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

    /// Keeps an exchange going with every replica that is known.
    fn start_peers(self: &Rc<Self>) {
        let members = self.replica.borrow().members();
        let me = self.replica.borrow().me().name.clone();
        self.links.borrow_mut().retain(|name, _| members.iter().any(|member| member.name == *name));
        for member in members.into_iter().filter(|member| member.name != me) {
            let same = |link: &Rc<Link>| link.exchanges.addr() == member.addr;
            if self.links.borrow().get(&member.name).is_some_and(same) {
                continue;
            }
            let link = Rc::new(Link { exchanges: Peer::new(member.addr), proposals: Peer::new(member.addr) });
            self.links.borrow_mut().insert(member.name.clone(), link.clone());
            let store = self.clone();
            spawn_local(async move { store.keep_exchanging(member, link).await });
        }
    }

    async fn keep_exchanging(self: Rc<Self>, member: StoreMember, link: Rc<Link>) {
        loop {
            let current =
                self.links.borrow().get(&member.name).is_some_and(|current| Rc::ptr_eq(current, &link));
            if !current {
                return;
            }
            let news = self.news.notified();
            self.exchange(&link.exchanges).await;
            let _ = tokio::time::timeout(self.exchange_period(&member), news).await;
        }
    }

    fn exchange_period(&self, member: &StoreMember) -> Duration {
        if self.settings.is_remote_region(&member.zone) {
            EXCHANGE_PERIOD_FAR
        } else {
            EXCHANGE_PERIOD
        }
    }

    /// Compares how far both are.
    async fn exchange(self: &Rc<Self>, peer: &Peer) {
        let request = self.replica.borrow().exchange();
        self.ask(peer, request).await;
    }

    /// Asks another replica, and takes its answer in.
    async fn ask(self: &Rc<Self>, peer: &Peer, request: PeerRequest) {
        let asked_at = self.now();
        let answer = peer.call(&StoreRequest::Peer(request), ANSWER_WITHIN).await;
        if let Ok(StoreAnswer::Peer(answer)) = answer {
            let known = self.replica.borrow().members().len();
            let outgoing = {
                let (mut replica, mut files) = (self.replica.borrow_mut(), self.files.borrow_mut());
                replica.answered(self.now(), asked_at, answer, &mut *files)
            };
            self.send(outgoing);
            self.note_changes();
            if self.replica.borrow().members().len() != known {
                self.start_peers();
            }
        }
    }

    /// Sends requests, each by itself.
    fn send(self: &Rc<Self>, outgoing: Vec<Outgoing>) {
        for Outgoing { to, request } in outgoing {
            let known = self.links.borrow().get(&to.name).cloned();
            let link = known.filter(|link| link.proposals.addr() == to.addr);
            let store = self.clone();
            spawn_local(async move {
                match link {
                    Some(link) => store.ask(&link.proposals, request).await,
                    None => store.ask(&Peer::new(to.addr), request).await,
                }
            });
        }
    }

    fn poll(self: &Rc<Self>) {
        let outgoing = {
            let (mut replica, mut files) = (self.replica.borrow_mut(), self.files.borrow_mut());
            replica.poll(self.now(), &mut *files)
        };
        self.send(outgoing);
        self.note_changes();
    }

    /// Does what is due as time passes.
    async fn drive(self: Rc<Self>) {
        loop {
            let due = self.due.notified();
            self.poll();
            let busy = self.replica.borrow().is_busy();
            let period = if busy { BUSY_PERIOD } else { IDLE_PERIOD };
            let _ = tokio::time::timeout(period, due).await;
        }
    }

    /// Tells those who wait, and the audit, what has changed.
    fn note_changes(&self) {
        self.changed.notify_waiters();
        let (decided, trials) = {
            let replica = self.replica.borrow();
            (replica.standing().decided, replica.state().trials.clone())
        };
        if self.replica.borrow_mut().take_announcement() {
            self.news.notify_waiters();
        }
        if self.announced.replace(decided) == decided {
            return;
        }
        let before = self.audited.replace(trials.clone());
        if before.version() == trials.version() {
            return;
        }
        let records: Vec<_> = trials.records().cloned().collect();
        if let Err(error) = self.audit.note(&before.news_of(&records)) {
            // What holds is in the files; the audit only tells how it came about.
            log::error!("audit: {error}");
        }
    }

    /// Hands the vote over where another store stands by.
    async fn leave(self: &Rc<Self>) {
        self.replica.borrow_mut().leave();
        while !self.replica.borrow().has_left(self.now()) {
            self.due.notify_waiters();
            tokio::time::sleep(BUSY_PERIOD).await;
        }
    }

    async fn propose(self: Rc<Self>, change: Change, wait: Duration) -> StoreAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        if self.replica.borrow().recovering() {
            return StoreAnswer::Proposed(Proposed::Pending);
        }
        let ticket = self.replica.borrow_mut().propose(self.now(), change, until);
        let Some(ticket) = ticket else { return StoreAnswer::Proposed(Proposed::Pending) };
        self.poll();
        self.due.notify_waiters();
        loop {
            let changed = self.changed.notified();
            if let Some(outcome) = self.replica.borrow_mut().outcome(ticket) {
                return StoreAnswer::Proposed(outcome);
            }
            if self.now() >= until || !self.wait_until(changed, until).await {
                self.replica.borrow_mut().withdraw(ticket);
                return StoreAnswer::Proposed(Proposed::Pending);
            }
        }
    }

    /// Waits for a notification; false where the time is up first.
    async fn wait_until(&self, changed: impl std::future::Future<Output = ()>, until: Micros) -> bool {
        let left = Duration::from_micros(until.saturating_sub(self.now()));
        tokio::time::timeout(left, changed).await.is_ok()
    }

    async fn watch(self: Rc<Self>, have: Summary, wait: Duration) -> StoreAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        loop {
            let changed = self.changed.notified();
            let news = self.replica.borrow_mut().news(self.now(), &have);
            let is_news = news.config.is_some()
                || news.proxies.is_some()
                || news.trials.is_some()
                || news.summary.drains != have.drains;
            if is_news || self.now() >= until {
                return StoreAnswer::Watched(Box::new(news));
            }
            let _ = self.wait_until(changed, until).await;
        }
    }

    async fn read(self: Rc<Self>, wait: Duration) -> StoreAnswer {
        let (asked_at, until) = (self.now(), self.now() + wait.as_micros() as Micros);
        self.news.notify_waiters();
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

    /// What an operator is told of this store.
    fn status(&self) -> StoreStatus {
        let now = self.now();
        let replica = self.replica.borrow();
        let (state, standing) = (replica.state(), replica.standing());
        let drained = state.drains.iter().filter(|(_, drain)| drain.drained);
        let membership = replica.membership();
        StoreStatus {
            member: replica.me().clone(),
            members: replica.members(),
            recovering: replica.recovering(),
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
            let (mut replica, mut files) = (self.replica.borrow_mut(), self.files.borrow_mut());
            replica.handle(self.now(), request, &mut *files)
        };
        if matches!(answer, PeerAnswer::Failed) {
            log::error!("another store's request failed here");
        }
        if self.replica.borrow().is_busy() {
            self.due.notify_waiters();
        }
        self.note_changes();
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
                StoreAnswer::TrialAudit(self.audit.of(&tenant).unwrap_or_else(|error| {
                    log::error!("audit: {error}");
                    Vec::new()
                }))
            }
            StoreRequest::Status => StoreAnswer::Status(Box::new(self.status())),
        }
    }
}
