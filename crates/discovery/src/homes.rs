//! Which proxy of a zone is the home of a service: the one that gets its updates from a registry and passes them on.
//!
//! Rendezvous hashing over the zone's living proxies names it, so that proxies agree without talk. Where two disagree
//! for a moment, an update takes one hop more or comes from a registry; versions decide what holds, so a home that has
//! lost its duty can't set anyone back and needs no fence.

use crate::Micros;
use compact_str::CompactString;
use hingestage_rendezvous::{hash_bytes, owner};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Another proxy of the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerProxy {
    /// Name of its machine.
    pub name: CompactString,
    /// Where it is called.
    pub addr: SocketAddr,
}

/// Where the updates of a service come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// This proxy is the home: from a registry.
    Me,
    /// From another proxy of the zone.
    Peer(PeerProxy),
}

struct Peer {
    proxy: PeerProxy,
    silent_until: Micros,
}

/// The proxies of one zone, and the homes among them.
pub struct Homes {
    me: u64,
    peers: BTreeMap<u64, Peer>,
}

impl Homes {
    /// This proxy alone, by the name of its machine.
    pub fn new(me: &str) -> Homes {
        Homes { me: hash_bytes(me.as_bytes()), peers: BTreeMap::new() }
    }

    /// Takes in the living proxies of the zone; this one may be among them. Tells whether they are others.
    pub fn take(&mut self, living: impl IntoIterator<Item = PeerProxy>) -> bool {
        let mut old = std::mem::take(&mut self.peers);
        let mut changed = false;
        for proxy in living {
            let number = hash_bytes(proxy.name.as_bytes());
            if number == self.me {
                continue;
            }
            let known = old.remove(&number);
            changed |= known.as_ref().is_none_or(|known| known.proxy != proxy);
            let silent_until = known.map_or(0, |known| known.silent_until);
            self.peers.insert(number, Peer { proxy, silent_until });
        }
        changed || !old.is_empty()
    }

    /// The other proxies of the zone.
    pub fn peers(&self) -> impl Iterator<Item = &PeerProxy> {
        self.peers.values().map(|peer| &peer.proxy)
    }

    /// A proxy has not answered in time: until some moment it is nobody's home as seen from here.
    pub fn silent(&mut self, name: &str, until: Micros) {
        if let Some(peer) = self.peers.get_mut(&hash_bytes(name.as_bytes())) {
            peer.silent_until = peer.silent_until.max(until);
        }
    }

    /// A proxy has answered.
    pub fn answered(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(&hash_bytes(name.as_bytes())) {
            peer.silent_until = 0;
        }
    }

    /// The home of a key, by the name of a service or of what else is passed on.
    pub fn home(&self, now: Micros, key: &str) -> Home {
        let answering = self.peers.iter().filter(|(_, peer)| now >= peer.silent_until);
        let numbers = answering.map(|(number, _)| *number).chain([self.me]);
        let number = owner(hash_bytes(key.as_bytes()), numbers);
        let peer = number.and_then(|number| self.peers.get(&number));
        peer.map_or(Home::Me, |peer| Home::Peer(peer.proxy.clone()))
    }

    /// Whether a proxy is the home of a key.
    pub fn is_home(&self, now: Micros, key: &str, name: &str) -> bool {
        matches!(self.home(now, key), Home::Peer(peer) if peer.name == name)
    }
}
