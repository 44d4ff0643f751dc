//! What a store knows of the others.

use crate::quorum::{self, Disks};
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::messages::{Ballot, Membership, Standing, StoreMember};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a store answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub standing: Standing,
    /// When it was asked.
    pub asked_at: Micros,
}

/// Another store.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: StoreMember,
    /// Its latest answer; none where others have told of it only.
    pub heard: Option<Heard>,
}

/// The other stores, by the names of their machines.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    me: StoreMember,
    away_after: Micros,
    peers_max: usize,
    peers: BTreeMap<CompactString, Peer>,
    /// Since when a majority of the voters has been heard without a pause.
    in_contact_since: Option<Micros>,
}

impl Peers {
    pub fn new(me: StoreMember, away_after: Micros, peers_max: usize) -> Peers {
        Peers { me, away_after, peers_max, peers: BTreeMap::new(), in_contact_since: None }
    }

    /// Others tell of stores. A store that speaks for itself is believed first. Tells whether any was new.
    pub fn told_of(&mut self, now: Micros, members: &[StoreMember]) -> bool {
        let mut new = false;
        for member in members {
            let known = self.peers.get(&member.name);
            let full = known.is_none() && self.peers.len() >= self.peers_max;
            let speaks = known.is_some_and(|peer| self.is_heard(now, peer));
            let same = known.is_some_and(|peer| peer.member == *member);
            if member.name == self.me.name || full || speaks || same {
                continue;
            }
            self.peers.insert(member.name.clone(), Peer { member: member.clone(), heard: None });
            new = true;
        }
        new
    }

    /// A store has answered what it was asked at a moment. An answer to an older question than the latest replaces
    /// nothing. Tells whether the store is a new one.
    pub fn heard(&mut self, asked_at: Micros, member: &StoreMember, standing: Standing) -> bool {
        if member.name == self.me.name {
            return false;
        }
        let known = self.peers.get(&member.name);
        let new = known.is_none_or(|peer| peer.member != *member);
        if new && known.is_none() && self.peers.len() >= self.peers_max {
            return false;
        }
        let later = known.and_then(|peer| peer.heard).is_none_or(|heard| heard.asked_at <= asked_at);
        if later {
            let heard = Some(Heard { standing, asked_at });
            self.peers.insert(member.name.clone(), Peer { member: member.clone(), heard });
        }
        new && later
    }

    /// Forgets stores that neither vote nor were heard for long.
    pub fn forget(&mut self, now: Micros, membership: &Membership, keep: Micros) {
        let votes = |member: &StoreMember| membership.voters.iter().any(|voter| voter.name == member.name);
        self.peers.retain(|_, peer| {
            votes(&peer.member) || peer.heard.is_none_or(|heard| now < heard.asked_at + keep)
        });
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values()
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn at(&self, addr: SocketAddr) -> Option<&Peer> {
        self.peers.values().find(|peer| peer.member.addr == addr)
    }

    /// All stores that are known, this one among them.
    pub fn members(&self) -> Vec<StoreMember> {
        let mut all: Vec<StoreMember> = self.peers.values().map(|peer| peer.member.clone()).collect();
        all.push(self.me.clone());
        all
    }

    /// Records of machines that have spoken for themselves.
    pub fn speakers(&self) -> impl Iterator<Item = &StoreMember> + Clone {
        let spoke = self.peers.values().filter(|peer| peer.heard.is_some());
        spoke.map(|peer| &peer.member).chain(std::iter::once(&self.me))
    }

    fn is_heard(&self, now: Micros, peer: &Peer) -> bool {
        peer.heard.is_some_and(|heard| now < heard.asked_at + self.away_after)
    }

    /// Whether this very disk was heard lately.
    pub fn is_present(&self, now: Micros, member: &StoreMember) -> bool {
        let peer = self.peers.get(&member.name);
        *member == self.me || peer.is_some_and(|peer| peer.member == *member && self.is_heard(now, peer))
    }

    /// Notes whether a majority of the voters is heard.
    pub fn watch_contact(&mut self, now: Micros, membership: &Membership) {
        let present = membership.voters.iter().filter(|voter| self.is_present(now, voter));
        let present: Disks = present.map(|voter| voter.disk).collect();
        let contact = quorum::has_majority(&membership.voters, &present) && !membership.voters.is_empty();
        self.in_contact_since = contact.then(|| self.in_contact_since.unwrap_or(now));
    }

    /// The voters that are away: not heard for long, while a majority has been heard all the time. After a freeze or
    /// a cut nobody counts as away until that time has passed again.
    pub fn silent(&self, now: Micros, voters: &[StoreMember], after: Micros) -> Disks {
        let judged = self.in_contact_since.is_some_and(|since| now >= since + after);
        let is_silent = |voter: &&StoreMember| {
            let heard = self.peers.get(&voter.name).filter(|peer| peer.member == **voter);
            let heard_at = heard.and_then(|peer| peer.heard).map_or(0, |heard| heard.asked_at);
            **voter != self.me && now >= heard_at + after
        };
        voters.iter().filter(is_silent).filter(|_| judged).map(|voter| voter.disk).collect()
    }

    /// Disks that say they have accepted just this proposal.
    pub fn holders(&self, ballot: Ballot) -> Disks {
        let holds = |peer: &&Peer| peer.heard.is_some_and(|heard| heard.standing.accepted == ballot);
        self.peers.values().filter(holds).map(|peer| peer.member.disk).collect()
    }
}
