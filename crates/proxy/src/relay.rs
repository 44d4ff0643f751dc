//! News within a zone: each service, and the configuration, has a home among the zone's proxies. The home gets news from a
//! registry; the others follow it.
//!
//! Registries still tell every proxy which versions there are. A home that is late with them is passed over: the news
//! comes from the registry, and the home has lost its duties for a while as seen from here.

use crate::server::Proxy;
use hingestage_discovery::{neighbors, Home, Homes, PeerProxy};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{ConfigTransfer, ConfigVersion, ProxyStatus};
use hingestage_rpc::status::{ProxyAnswer, ProxyRequest};
use hingestage_rpc::workers::{ServiceHave, ServiceUpdate};
use hingestage_rpc::Client;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// For how long a proxy that was too late with news is no home.
const HOME_SILENT: Duration = Duration::from_secs(3);
/// What the home of the configuration in a zone goes by.
const CONFIGURATION: &str = "configuration";
/// How long a home waits for news before it answers.
const FOLLOW_WAIT: Duration = Duration::from_secs(5);
/// How long its answer may take beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

type Peer = Client<ProxyRequest, ProxyAnswer>;

/// This proxy's part in passing news on.
pub(crate) struct Relay {
    homes: RefCell<Homes>,
    clients: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    /// The configuration in force as it came, while this proxy is its home.
    config: RefCell<Option<ConfigTransfer>>,
    /// Told when the proxies of the zone, or the services to follow, are others.
    follows_others: Notify,
    /// Told when there is news for those that follow this proxy.
    news: Notify,
}

impl Relay {
    pub(crate) fn new(me: &str) -> Relay {
        Relay {
            homes: RefCell::new(Homes::new(me)),
            clients: RefCell::default(),
            config: RefCell::default(),
            follows_others: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Takes in which proxies there are.
    pub(crate) fn take_peers(&self, peers: &[ProxyStatus], zone: &str) {
        let of_zone = peers.iter().filter(|peer| peer.zone == zone);
        let members = neighbors::zone_members(zone, of_zone, |peer| &peer.id.node);
        let living =
            members.into_iter().map(|peer| PeerProxy { name: peer.id.node.clone(), addr: peer.peer });
        if self.homes.borrow_mut().set_live_proxies(living) {
            let homes = self.homes.borrow();
            let known = |addr: &SocketAddr| homes.peers().any(|peer| peer.addr == *addr);
            self.clients.borrow_mut().retain(|addr, _| known(addr));
            self.follows_others.notify_waiters();
        }
    }

    /// Where news of a service, or of the configuration, comes from.
    pub(crate) fn home(&self, now: Micros, key: &str) -> Home {
        self.homes.borrow().home(now, key)
    }

    /// The home of a service did not have what a registry told of.
    pub(crate) fn home_is_late(&self, now: Micros, key: &str) {
        if let Home::Peer(peer) = self.home(now, key) {
            self.silent(now, &peer);
        }
    }

    fn silent(&self, now: Micros, peer: &PeerProxy) {
        log::info!("{} does not pass news on", peer.name);
        self.homes.borrow_mut().mark_unresponsive(&peer.name, now + HOME_SILENT.as_micros() as Micros);
        self.follows_others.notify_waiters();
    }

    /// There are other services to follow.
    pub(crate) fn asks_anew(&self) {
        self.follows_others.notify_waiters();
    }

    /// There is news of services for those that follow this proxy.
    pub(crate) fn services_changed(&self) {
        self.news.notify_waiters();
    }

    /// Keeps the configuration for the others of the zone, where this proxy is its home.
    pub(crate) fn pass_config_on(&self, now: Micros, transfer: ConfigTransfer) {
        let is_home = self.home(now, CONFIGURATION) == Home::Local;
        *self.config.borrow_mut() = Some(transfer).filter(|_| is_home);
        self.news.notify_waiters();
    }

    fn client(&self, addr: SocketAddr) -> Rc<Peer> {
        self.clients.borrow_mut().entry(addr).or_insert_with(|| Rc::new(Peer::new(addr))).clone()
    }

    /// Gets a configuration from its home in this zone. Tells whether it came.
    pub(crate) async fn follow_config(
        &self,
        proxy: &Proxy,
        version: ConfigVersion,
        within: Duration,
    ) -> bool {
        let Home::Peer(home) = self.home(proxy.now(), CONFIGURATION) else { return false };
        let have = proxy.view.borrow().config_version();
        let request = ProxyRequest::FollowConfig { version, have, wait: within.as_millis() as u64 };
        match self.client(home.addr).call(&request, within).await {
            Ok(ProxyAnswer::Config(Some(transfer))) => {
                proxy.take_config(transfer);
                proxy.view.borrow().config_version() >= Some(version)
            }
            // It knows of another home, or has a change to another version.
            Ok(_) => false,
            Err(_) => {
                self.silent(proxy.now(), &home);
                false
            }
        }
    }
}

/// Follows each other proxy of the zone in what it is the home of.
pub(crate) async fn run(proxy: Rc<Proxy>) {
    let mut followed: BTreeMap<PeerProxy, AbortHandle> = BTreeMap::new();
    loop {
        let changed = proxy.relay.follows_others.notified();
        let peers: BTreeSet<PeerProxy> = proxy.relay.homes.borrow().peers().cloned().collect();
        followed.retain(|peer, task| {
            let stays = peers.contains(peer);
            if !stays {
                task.abort();
            }
            stays
        });
        for peer in peers {
            let follow = || spawn_local(follow(proxy.clone(), peer.clone())).abort_handle();
            followed.entry(peer.clone()).or_insert_with(follow);
        }
        changed.await;
    }
}

async fn follow(proxy: Rc<Proxy>, peer: PeerProxy) {
    loop {
        let changed = proxy.relay.follows_others.notified();
        let have = proxy.followed_from(&peer);
        if have.is_empty() {
            // A home that was late is one again after a while.
            let _ = tokio::time::timeout(HOME_SILENT, changed).await;
            continue;
        }
        let client = proxy.relay.client(peer.addr);
        let request = ProxyRequest::FollowServices { have, wait: FOLLOW_WAIT.as_millis() as u64 };
        tokio::select! {
            answer = client.call(&request, FOLLOW_WAIT + ANSWER_WITHIN) => match answer {
                Ok(ProxyAnswer::Services(updates)) => {
                    proxy.relay.homes.borrow_mut().mark_responsive(&peer.name);
                    proxy.take_services(updates);
                }
                _ => proxy.relay.silent(proxy.now(), &peer),
            },
            () = changed => {}
        }
    }
}

impl Proxy {
    /// The services that another proxy is the home of, with what is held of them.
    fn followed_from(&self, peer: &PeerProxy) -> Vec<ServiceHave> {
        let now = self.now();
        let homes = self.relay.homes.borrow();
        let view = self.view.borrow();
        let names = view.followed().names().filter(|name| homes.is_home(now, name, &peer.name));
        names.map(|name| view.followed().have(name)).collect()
    }

    /// News of services for another proxy, as soon as there is any or the wait is over.
    pub(crate) async fn services_for(&self, have: Vec<ServiceHave>, wait: Duration) -> Vec<ServiceUpdate> {
        let until = tokio::time::Instant::now() + wait.min(FOLLOW_WAIT);
        loop {
            let changed = self.relay.news.notified();
            let news = self.view.borrow().followed().catalog().updates_for(self.now(), &have);
            if !news.is_empty() || tokio::time::timeout_at(until, changed).await.is_err() {
                return news;
            }
        }
    }

    /// A configuration for another proxy, once this one has it. None where the wait is over, this proxy is not the
    /// home, or what it has is a change to another version than the asker's.
    pub(crate) async fn config_for(
        &self,
        version: ConfigVersion,
        have: Option<ConfigVersion>,
        wait: Duration,
    ) -> Option<ConfigTransfer> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.relay.news.notified();
            let config = self.relay.config.borrow().clone();
            if let Some(config) = config.filter(|config| config.version >= version) {
                return Some(config).filter(|config| config.base.is_none() || config.base == have);
            }
            let in_force = self.view.borrow().config_version() >= Some(version);
            let is_home = self.relay.home(self.now(), CONFIGURATION) == Home::Local;
            if in_force || !is_home || tokio::time::timeout_at(until, changed).await.is_err() {
                return None;
            }
        }
    }
}
