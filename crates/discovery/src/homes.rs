//! Assignment of a home to each service: the proxy of a zone that fetches the service's updates and relays them.
//!
//! Rendezvous hashing over the zone's live proxies selects it without coordination. If proxies disagree for a short
//! time, an update takes one more hop or comes from a registry. Updates are ordered by version, so a former home can't
//! roll anyone back and needs no fencing.

use crate::Micros;
use compact_str::CompactString;
use hingestage_rendezvous::{hash_bytes, owner};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Another proxy of the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerProxy {
    /// Name of the proxy's machine.
    pub name: CompactString,
    /// Address of its peer protocol.
    pub addr: SocketAddr,
}

/// Source of a service's updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// This proxy is the home and uses a registry.
    Local,
    /// Another proxy of the zone is the home.
    Peer(PeerProxy),
}

struct Peer {
    proxy: PeerProxy,
    unresponsive_until: Micros,
}

/// The proxies of a zone, over which homes are assigned.
pub struct Homes {
    me: u64,
    peers: BTreeMap<u64, Peer>,
}

impl Homes {
    /// Creates a zone with only this proxy, given the name of its machine.
    pub fn new(me: &str) -> Homes {
        Homes { me: hash_bytes(me.as_bytes()), peers: BTreeMap::new() }
    }

    /// Replaces the live proxies of the zone, which may include this one. Returns whether they have changed.
    pub fn set_live_proxies(&mut self, living: impl IntoIterator<Item = PeerProxy>) -> bool {
        let mut old = std::mem::take(&mut self.peers);
        let mut changed = false;
        for proxy in living {
            let number = hash_bytes(proxy.name.as_bytes());
            if number == self.me {
                continue;
            }
            let known = old.remove(&number);
            changed |= known.as_ref().is_none_or(|known| known.proxy != proxy);
            let unresponsive_until = known.map_or(0, |known| known.unresponsive_until);
            self.peers.insert(number, Peer { proxy, unresponsive_until });
        }
        changed || !old.is_empty()
    }

    /// The other proxies of the zone.
    pub fn peers(&self) -> impl Iterator<Item = &PeerProxy> {
        self.peers.values().map(|peer| &peer.proxy)
    }

    /// Excludes a proxy that did not answer from being a home until the given time.
    pub fn mark_unresponsive(&mut self, name: &str, until: Micros) {
        if let Some(peer) = self.peers.get_mut(&hash_bytes(name.as_bytes())) {
            peer.unresponsive_until = peer.unresponsive_until.max(until);
        }
    }

    /// Ends the exclusion of a proxy that has answered.
    pub fn mark_responsive(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(&hash_bytes(name.as_bytes())) {
            peer.unresponsive_until = 0;
        }
    }

    /// The home of a key: the name of a service, or of other relayed data.
    pub fn home(&self, now: Micros, key: &str) -> Home {
        let responsive = self.peers.iter().filter(|(_, peer)| now >= peer.unresponsive_until);
        let numbers = responsive.map(|(number, _)| *number).chain([self.me]);
        let number = owner(hash_bytes(key.as_bytes()), numbers);
        let peer = number.and_then(|number| self.peers.get(&number));
        peer.map_or(Home::Local, |peer| Home::Peer(peer.proxy.clone()))
    }

    /// Whether a proxy is the home of a key.
    pub fn is_home(&self, now: Micros, key: &str, name: &str) -> bool {
        matches!(self.home(now, key), Home::Peer(peer) if peer.name == name)
    }
}
