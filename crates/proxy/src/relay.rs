//! Distribution of updates within a zone. Each service, and the configuration, has a home among the zone's proxies: the
//! home fetches updates from a registry, and the others long-poll the home.
//!
//! Registries announce versions to every proxy. A proxy whose home is late fetches from a registry instead, and doesn't
//! use that proxy as a home for a while.

use crate::server::Proxy;
use hingestage_discovery::{neighbors, Home, Homes, PeerProxy};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{ConfigTransfer, ConfigVersion, ProxyStatus};
use hingestage_rpc::status::{ProxyAnswer, ProxyRequest};
use hingestage_rpc::workers::{KnownServiceVersion, ServiceUpdate};
use hingestage_rpc::Client;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// Time for which a proxy that was late with updates is not used as a home.
const LATE_HOME_PENALTY: Duration = Duration::from_secs(3);
/// Key that selects the home of the configuration.
const CONFIG_KEY: &str = "configuration";
/// Long-poll timeout at a home.
const FOLLOW_WAIT: Duration = Duration::from_secs(5);
/// Timeout of a home's answer, in addition to the long poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

type Peer = Client<ProxyRequest, ProxyAnswer>;

/// State of the distribution of updates at this proxy.
pub(crate) struct Relay {
    homes: RefCell<Homes>,
    clients: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    /// The active configuration as received, while this proxy is its home.
    config: RefCell<Option<ConfigTransfer>>,
    /// Notified when the zone's proxies, their homes or the followed services change.
    following_changed: Notify,
    /// Notified when there are updates for followers of this proxy.
    updated: Notify,
}

impl Relay {
    pub(crate) fn new(me: &str) -> Relay {
        Relay {
            homes: RefCell::new(Homes::new(me)),
            clients: RefCell::default(),
            config: RefCell::default(),
            following_changed: Notify::new(),
            updated: Notify::new(),
        }
    }

    /// Updates the zone's proxies from the list of all proxies.
    pub(crate) fn update_peers(&self, peers: &[ProxyStatus], zone: &str) {
        let in_zone = peers.iter().filter(|peer| peer.zone == zone);
        let members = neighbors::zone_members(zone, in_zone, |peer| &peer.id.node);
        let peers = members.into_iter().map(|peer| PeerProxy { name: peer.id.node.clone(), addr: peer.peer });
        if self.homes.borrow_mut().set_live_proxies(peers) {
            let homes = self.homes.borrow();
            let known = |addr: &SocketAddr| homes.peers().any(|peer| peer.addr == *addr);
            self.clients.borrow_mut().retain(|addr, _| known(addr));
            self.following_changed.notify_waiters();
        }
    }

    /// Returns the home of a service, or of the configuration.
    pub(crate) fn home(&self, now: Micros, key: &str) -> Home {
        self.homes.borrow().home(now, key)
    }

    /// Penalizes the home of a service for not having an update that a registry announced.
    pub(crate) fn mark_home_late(&self, now: Micros, key: &str) {
        if let Home::Peer(peer) = self.home(now, key) {
            self.penalize(now, &peer);
        }
    }

    /// Stops using a proxy as a home for [`LATE_HOME_PENALTY`].
    fn penalize(&self, now: Micros, peer: &PeerProxy) {
        log::info!("{} does not pass news on", peer.name);
        self.homes.borrow_mut().mark_unresponsive(&peer.name, now + LATE_HOME_PENALTY.as_micros() as Micros);
        self.following_changed.notify_waiters();
    }

    /// Restarts the long polls after a change of the followed services.
    pub(crate) fn restart_following(&self) {
        self.following_changed.notify_waiters();
    }

    /// Wakes followers of this proxy after an update of services.
    pub(crate) fn notify_followers(&self) {
        self.updated.notify_waiters();
    }

    /// Offers a configuration to the zone's other proxies if this proxy is its home.
    pub(crate) fn offer_config(&self, now: Micros, transfer: ConfigTransfer) {
        let is_home = self.home(now, CONFIG_KEY) == Home::Local;
        *self.config.borrow_mut() = Some(transfer).filter(|_| is_home);
        self.updated.notify_waiters();
    }

    fn client(&self, addr: SocketAddr) -> Rc<Peer> {
        self.clients.borrow_mut().entry(addr).or_insert_with(|| Rc::new(Peer::new(addr))).clone()
    }

    /// Fetches a configuration from its home in this zone. Returns whether that version or a later one is active.
    pub(crate) async fn fetch_config_from_home(
        &self,
        proxy: &Proxy,
        version: ConfigVersion,
        timeout: Duration,
    ) -> bool {
        let Home::Peer(home) = self.home(proxy.now(), CONFIG_KEY) else { return false };
        let have = proxy.view.borrow().config_version();
        let request = ProxyRequest::FollowConfig { version, have, wait: timeout.as_millis() as u64 };
        match self.client(home.addr).call(&request, timeout).await {
            Ok(ProxyAnswer::Config(Some(transfer))) => {
                proxy.apply_config(transfer);
                proxy.view.borrow().config_version() >= Some(version)
            }
            // The peer is not the home by its own view, or its delta is for another base version.
            Ok(_) => false,
            Err(_) => {
                self.penalize(proxy.now(), &home);
                false
            }
        }
    }
}

/// Long-polls each other proxy of the zone for the services that it is the home of.
pub(crate) async fn run(proxy: Rc<Proxy>) {
    let mut followed: BTreeMap<PeerProxy, AbortHandle> = BTreeMap::new();
    loop {
        let changed = proxy.relay.following_changed.notified();
        let peers: BTreeSet<PeerProxy> = proxy.relay.homes.borrow().peers().cloned().collect();
        followed.retain(|peer, task| {
            let known = peers.contains(peer);
            if !known {
                task.abort();
            }
            known
        });
        for peer in peers {
            let follow = || spawn_local(follow(proxy.clone(), peer.clone())).abort_handle();
            followed.entry(peer.clone()).or_insert_with(follow);
        }
        changed.await;
    }
}

/// Long-polls one proxy without end.
async fn follow(proxy: Rc<Proxy>, peer: PeerProxy) {
    loop {
        let changed = proxy.relay.following_changed.notified();
        let have = proxy.services_followed_at(&peer);
        if have.is_empty() {
            // Checks again later, as a late home is used again after its penalty.
            let _ = tokio::time::timeout(LATE_HOME_PENALTY, changed).await;
            continue;
        }
        let client = proxy.relay.client(peer.addr);
        let request = ProxyRequest::FollowServices { have, wait: FOLLOW_WAIT.as_millis() as u64 };
        tokio::select! {
            answer = client.call(&request, FOLLOW_WAIT + ANSWER_TIMEOUT) => match answer {
                Ok(ProxyAnswer::Services(updates)) => {
                    proxy.relay.homes.borrow_mut().mark_responsive(&peer.name);
                    proxy.apply_services(updates);
                }
                _ => proxy.relay.penalize(proxy.now(), &peer),
            },
            () = changed => {}
        }
    }
}

impl Proxy {
    /// Returns the services that another proxy is the home of, with the versions held here.
    fn services_followed_at(&self, peer: &PeerProxy) -> Vec<KnownServiceVersion> {
        let now = self.now();
        let homes = self.relay.homes.borrow();
        let view = self.view.borrow();
        let names = view.followed().names().filter(|name| homes.is_home(now, name, &peer.name));
        names.map(|name| view.followed().have(name)).collect()
    }

    /// Returns updates of services for another proxy; waits until there are any or the wait is over.
    pub(crate) async fn service_updates(
        &self,
        have: Vec<KnownServiceVersion>,
        wait: Duration,
    ) -> Vec<ServiceUpdate> {
        let until = tokio::time::Instant::now() + wait.min(FOLLOW_WAIT);
        loop {
            let changed = self.relay.updated.notified();
            let updates = self.view.borrow().followed().catalog().updates_for(self.now(), &have);
            let is_last = !updates.is_empty() || self.call_connections.is_stopping();
            if is_last || tokio::time::timeout_at(until, changed).await.is_err() {
                return updates;
            }
        }
    }

    /// Returns a configuration for another proxy once this one has it. `None` if the wait is over, this proxy is not
    /// the home, or it holds a delta to another base version than the caller's.
    pub(crate) async fn config_update(
        &self,
        version: ConfigVersion,
        have: Option<ConfigVersion>,
        wait: Duration,
    ) -> Option<ConfigTransfer> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.relay.updated.notified();
            let config = self.relay.config.borrow().clone();
            if let Some(config) = config.filter(|config| config.version >= version) {
                return Some(config).filter(|config| config.base.is_none() || config.base == have);
            }
            let is_active = self.view.borrow().config_version() >= Some(version);
            let is_home = self.relay.home(self.now(), CONFIG_KEY) == Home::Local;
            let is_last = is_active || !is_home || self.call_connections.is_stopping();
            if is_last || tokio::time::timeout_at(until, changed).await.is_err() {
                return None;
            }
        }
    }
}
