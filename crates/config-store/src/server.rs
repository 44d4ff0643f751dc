//! The replica on sockets and a disk.

use crate::audit::Audit;
use crate::files::Files;
use compact_str::CompactString;
use eyre::{eyre, Context, Result};
use hingestage_node::settings::InnerPort;
use hingestage_node::{Settings, SettingsFile, Signals};
use hingestage_replication::{Figures, Micros, Replica};
use hingestage_rpc::messages::{
    Change, ConfigDocument, Proposed, ReadState, StoreAnswer, StoreMember, StoreRequest, Summary, Update,
};
use hingestage_rpc::status::StoreStatus;
use hingestage_rpc::{serve as serve_calls, Client, Handler};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Period at which replicas compare what they have.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// The same between regions, where bytes are dear. What is new goes out at once all the same.
const EXCHANGE_PERIOD_FAR: Duration = Duration::from_millis(700);
/// How long another replica may take to answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
/// How often replicas look for others at the seeds.
const SEED_PERIOD: Duration = Duration::from_secs(2);
/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

type Peer = Client<StoreRequest, StoreAnswer>;

/// A replica on sockets and a disk.
pub struct Store {
    settings: Rc<Settings>,
    replica: RefCell<Replica>,
    files: Files,
    audit: Audit,
    started: Instant,
    /// Told whenever the replica or what it knows of others has changed.
    changed: Notify,
    /// Told when something new is to be handed to the others.
    news: Notify,
    peers: RefCell<BTreeMap<CompactString, Rc<Peer>>>,
}

/// Runs the program until it is told to end.
///
/// # Errors
/// The directory or the address can't be had.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let dir = settings.data_dir.as_ref().ok_or_else(|| eyre!("settings: `data_dir` is missing"))?;
    let files = Files::open(dir).wrap_err_with(|| format!("{}", dir.display()))?;
    let loaded = files.load().wrap_err("reading the disk")?;
    let addr = settings.inner(InnerPort::ConfigStore);
    let me = StoreMember { name: settings.node.as_str().into(), zone: settings.zone.as_str().into(), addr };
    let recovering = !loaded.begun && !settings.bootstrap;
    if recovering {
        log::warn!("the disk is empty and the system has run before: recovering from other stores");
    }
    let serial = loaded.state.config.as_ref().map_or(0, |config| config.version.serial);
    log::info!("configuration {serial:08x} on disk, {} stores known", loaded.members.len());
    let figures = Figures { members_min: seed_machines(&settings), ..Figures::default() };
    let replica = Replica::new(me, loaded.state, loaded.members, recovering, figures);
    let store = Rc::new(Store {
        settings: settings.clone(),
        replica: RefCell::new(replica),
        files,
        audit: Audit::new(dir),
        started: Instant::now(),
        changed: Notify::new(),
        news: Notify::new(),
        peers: RefCell::default(),
    });
    if !recovering {
        store.note_members();
    }
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("{addr}"))?;
    spawn_local(serve_calls(listener, store.clone()));
    spawn_local(find_members(store.clone(), settings.clone()));
    signals.terminate.recv().await;
    log::info!("told to end");
    Ok(())
}

/// Machines among the seeds: each of them has a store.
fn seed_machines(settings: &Settings) -> usize {
    settings.seeds.iter().map(SocketAddr::ip).collect::<BTreeSet<_>>().len()
}

/// Asks the seeds for replicas that are not known yet. The settings file is read again: seeds change.
async fn find_members(store: Rc<Store>, settings: Rc<Settings>) {
    let file = SettingsFile::new(settings);
    loop {
        let current = file.current();
        for seed in &current.seeds {
            let addr = current.inner_at(seed.ip(), InnerPort::ConfigStore);
            let known = store.replica.borrow().members().iter().any(|member| member.addr == addr);
            if !known {
                let (store, peer) = (store.clone(), Peer::new(addr));
                spawn_local(async move { store.exchange(&peer, None).await });
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
        for member in members.into_iter().filter(|member| member.name != me) {
            let same = |peer: &Rc<Peer>| peer.addr() == member.addr;
            if self.peers.borrow().get(&member.name).is_some_and(same) {
                continue;
            }
            let peer = Rc::new(Peer::new(member.addr));
            self.peers.borrow_mut().insert(member.name.clone(), peer.clone());
            let store = self.clone();
            spawn_local(async move { store.keep_exchanging(member.name, peer).await });
        }
    }

    async fn keep_exchanging(self: Rc<Self>, name: CompactString, peer: Rc<Peer>) {
        loop {
            let current = self.peers.borrow().get(&name).is_some_and(|current| Rc::ptr_eq(current, &peer));
            if !current {
                return;
            }
            let news = self.news.notified();
            self.exchange(&peer, Some(&name)).await;
            self.hand_over(&peer, &name).await;
            let _ = tokio::time::timeout(self.exchange_period(&name), news).await;
        }
    }

    fn exchange_period(&self, name: &CompactString) -> Duration {
        let members = self.replica.borrow().members();
        let member = members.iter().find(|member| member.name == *name);
        if member.is_some_and(|member| self.settings.is_far(&member.zone)) {
            EXCHANGE_PERIOD_FAR
        } else {
            EXCHANGE_PERIOD
        }
    }

    /// Compares what both have.
    async fn exchange(self: &Rc<Self>, peer: &Peer, name: Option<&CompactString>) {
        let asked_at = self.now();
        let request = {
            let replica = self.replica.borrow();
            let (from, summary) = (replica.me().clone(), replica.summary());
            StoreRequest::Exchange { from, summary, members: replica.members() }
        };
        let Ok(StoreAnswer::Exchanged { summary, members }) = peer.call(&request, ANSWER_WITHIN).await else {
            return;
        };
        let at = members.iter().find(|member| member.addr == peer.addr()).map(|member| member.name.clone());
        self.meet(members);
        if let Some(name) = name.or(at.as_ref()) {
            self.heard(name, asked_at, summary);
        }
    }

    /// Hands over what another replica lacks.
    async fn hand_over(self: &Rc<Self>, peer: &Peer, name: &CompactString) {
        let missing = self.replica.borrow().missing_at(name);
        for update in missing {
            let asked_at = self.now();
            let answer = peer.call(&StoreRequest::Replicate(update), ANSWER_WITHIN).await;
            let Ok(StoreAnswer::Replicated(summary)) = answer else { return };
            self.heard(name, asked_at, summary);
        }
    }

    fn heard(&self, name: &CompactString, asked_at: Micros, summary: Summary) {
        let now = self.now();
        let was_recovering = self.replica.borrow().recovering();
        self.replica.borrow_mut().heard(now, name, asked_at, summary);
        if was_recovering && !self.replica.borrow().recovering() {
            log::info!("recovered");
            self.note_members();
        }
        self.changed.notify_waiters();
    }

    fn meet(self: &Rc<Self>, members: Vec<StoreMember>) {
        if self.replica.borrow_mut().meet(members) {
            log::info!("{} stores known", self.replica.borrow().members().len());
            if !self.replica.borrow().recovering() {
                self.note_members();
            }
            self.start_peers();
        }
    }

    fn note_members(&self) {
        if let Err(error) = self.files.write_members(&self.replica.borrow().members()) {
            log::error!("disk: {error}");
        }
    }

    /// Writes an update to disk and takes it in; false where the disk refuses.
    fn take_in(&self, update: Update) -> bool {
        if !self.replica.borrow().is_news(&update) {
            return true;
        }
        let mut after = self.replica.borrow().state().clone();
        after.apply(update.clone());
        if let Err(error) = self.files.write(&update, &after) {
            log::error!("disk: {error}");
            return false;
        }
        if let Update::Trials(records) = &update {
            let news = self.replica.borrow().state().trials.news_of(records);
            if let Err(error) = self.audit.note(&news) {
                // What holds is in the files; the audit only tells how it came about.
                log::error!("audit: {error}");
            }
        }
        self.replica.borrow_mut().adopt(self.now(), update);
        self.changed.notify_waiters();
        self.news.notify_waiters();
        true
    }

    async fn propose(self: Rc<Self>, change: Change, wait: Duration) -> StoreAnswer {
        let until = self.now() + wait.as_micros() as Micros;
        if self.replica.borrow().recovering() {
            return StoreAnswer::Proposed(Proposed::Pending);
        }
        let terms = match &change {
            Change::TrialTerms(asked) => Some((asked.tenant.clone(), asked.position)),
            _ => None,
        };
        if terms
            .as_ref()
            .is_some_and(|(tenant, _)| !self.replica.borrow().state().trials.has_room_for(tenant))
        {
            return StoreAnswer::Proposed(Proposed::Full);
        }
        let update = self.replica.borrow().update_for(change);
        if !self.take_in(update.clone()) {
            return StoreAnswer::Failed;
        }
        loop {
            let changed = self.changed.notified();
            let now = self.now();
            if self.replica.borrow().is_durable(now, &update) {
                let replica = self.replica.borrow();
                let trials = &replica.state().trials;
                let holds = terms.is_none_or(|(tenant, position)| trials.has_terms_of(&tenant, &position));
                return StoreAnswer::Proposed(if holds { Proposed::Durable } else { Proposed::Overtaken });
            }
            if now >= until || !self.wait_until(changed, until).await {
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
        StoreAnswer::Read(self.replica.borrow().state().config.clone(), state)
    }

    /// What an operator is told of this store.
    fn status(&self) -> StoreStatus {
        let now = self.now();
        let mut replica = self.replica.borrow_mut();
        replica.refresh(now);
        let state = replica.state();
        let drained = state.drains.iter().filter(|(_, drain)| drain.drained);
        let is_durable = |config: &ConfigDocument| replica.is_durable(now, &Update::Config(config.clone()));
        StoreStatus {
            member: replica.me().clone(),
            members: replica.members(),
            recovering: replica.recovering(),
            held: state.config.as_ref().map(|config| config.version),
            in_force: replica.in_force().map(|config| config.version),
            durable: state.config.as_ref().is_some_and(is_durable),
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            proxies: state.proxies.len() as u32,
            current_age: replica.current_as_of(now).map(|at| now.saturating_sub(at) / MILLI),
        }
    }
}

impl Handler for Store {
    type Request = StoreRequest;
    type Answer = StoreAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::Exchange { from, summary, mut members } => {
                members.push(from.clone());
                self.meet(members);
                // When it was said is not known here: it tells nothing of the present.
                self.replica.borrow_mut().told(&from.name, summary);
                self.changed.notify_waiters();
                let replica = self.replica.borrow();
                StoreAnswer::Exchanged { summary: replica.summary(), members: replica.members() }
            }
            StoreRequest::Replicate(update) => match self.take_in(update) {
                true => StoreAnswer::Replicated(self.replica.borrow().summary()),
                false => StoreAnswer::Failed,
            },
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
