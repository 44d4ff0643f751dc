//! Table of the other replicas: addresses, latest answers and reachability.

use crate::quorum::{self, DiskSet};
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::messages::{Ballot, Membership, Standing, StoreMember};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The latest answer of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastAnswer {
    pub standing: Standing,
    /// When the request was sent.
    pub asked_at: Micros,
}

/// Another replica.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: StoreMember,
    /// Its latest answer; `None` if it is only known from others.
    pub last_answer: Option<LastAnswer>,
}

/// The other replicas by machine name.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    me: StoreMember,
    unreachable_after: Micros,
    peers_max: usize,
    peers: BTreeMap<CompactString, Peer>,
    /// Since when a majority of the voters has been reachable without interruption.
    in_contact_since: Option<Micros>,
}

impl Peers {
    pub fn new(me: StoreMember, unreachable_after: Micros, peers_max: usize) -> Peers {
        Peers { me, unreachable_after, peers_max, peers: BTreeMap::new(), in_contact_since: None }
    }

    /// Adds replicas reported by others; returns whether any was new. A reachable peer's own record takes precedence.
    pub fn add_members(&mut self, now: Micros, members: &[StoreMember]) -> bool {
        let mut new = false;
        for member in members {
            let known = self.peers.get(&member.name);
            let full = known.is_none() && self.peers.len() >= self.peers_max;
            let answers = known.is_some_and(|peer| self.answered_recently(now, peer));
            let same = known.is_some_and(|peer| peer.member == *member);
            if member.name == self.me.name || full || answers || same {
                continue;
            }
            self.peers.insert(member.name.clone(), Peer { member: member.clone(), last_answer: None });
            new = true;
        }
        new
    }

    /// Records a peer's answer to a request sent at `asked_at`, unless a later request was answered before. Returns
    /// whether the peer is new.
    pub fn record_answer(&mut self, asked_at: Micros, member: &StoreMember, standing: Standing) -> bool {
        if member.name == self.me.name {
            return false;
        }
        let known = self.peers.get(&member.name);
        let new = known.is_none_or(|peer| peer.member != *member);
        if new && known.is_none() && self.peers.len() >= self.peers_max {
            return false;
        }
        let later = known.and_then(|peer| peer.last_answer).is_none_or(|answer| answer.asked_at <= asked_at);
        if later {
            let last_answer = Some(LastAnswer { standing, asked_at });
            self.peers.insert(member.name.clone(), Peer { member: member.clone(), last_answer });
        }
        new && later
    }

    /// Removes peers that do not vote and have not answered for `keep`.
    pub fn forget(&mut self, now: Micros, membership: &Membership, keep: Micros) {
        let votes = |member: &StoreMember| membership.voters.iter().any(|voter| voter.name == member.name);
        self.peers.retain(|_, peer| {
            votes(&peer.member) || peer.last_answer.is_none_or(|answer| now < answer.asked_at + keep)
        });
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values()
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn by_addr(&self, addr: SocketAddr) -> Option<&Peer> {
        self.peers.values().find(|peer| peer.member.addr == addr)
    }

    /// All known replicas, including this one.
    pub fn members(&self) -> Vec<StoreMember> {
        let mut all: Vec<StoreMember> = self.peers.values().map(|peer| peer.member.clone()).collect();
        all.push(self.me.clone());
        all
    }

    /// Replicas that have answered themselves, including this one.
    pub fn responders(&self) -> impl Iterator<Item = &StoreMember> + Clone {
        let responders = self.peers.values().filter(|peer| peer.last_answer.is_some());
        responders.map(|peer| &peer.member).chain(std::iter::once(&self.me))
    }

    fn answered_recently(&self, now: Micros, peer: &Peer) -> bool {
        peer.last_answer.is_some_and(|answer| now < answer.asked_at + self.unreachable_after)
    }

    /// Whether this replica, with this disk, has answered recently.
    pub fn is_reachable(&self, now: Micros, member: &StoreMember) -> bool {
        let peer = self.peers.get(&member.name);
        *member == self.me
            || peer.is_some_and(|peer| peer.member == *member && self.answered_recently(now, peer))
    }

    /// Updates since when a majority of the voters has been reachable.
    pub fn update_contact(&mut self, now: Micros, membership: &Membership) {
        let reachable = membership.voters.iter().filter(|voter| self.is_reachable(now, voter));
        let reachable: DiskSet = reachable.map(|voter| voter.disk).collect();
        let contact = quorum::has_majority(&membership.voters, &reachable) && !membership.voters.is_empty();
        self.in_contact_since = contact.then(|| self.in_contact_since.unwrap_or(now));
    }

    /// Voters that have not answered for `after` while a majority was reachable all that time. After a pause of this
    /// process or a partition no voter counts as unreachable until that time has passed again.
    pub fn unreachable(&self, now: Micros, voters: &[StoreMember], after: Micros) -> DiskSet {
        let in_contact = self.in_contact_since.is_some_and(|since| now >= since + after);
        let is_unreachable = |voter: &&StoreMember| {
            let peer = self.peers.get(&voter.name).filter(|peer| peer.member == **voter);
            let answered_at = peer.and_then(|peer| peer.last_answer).map_or(0, |answer| answer.asked_at);
            **voter != self.me && now >= answered_at + after
        };
        voters.iter().filter(is_unreachable).filter(|_| in_contact).map(|voter| voter.disk).collect()
    }

    /// Disks of peers that report this ballot as their last accepted proposal.
    pub fn acceptors_of(&self, ballot: Ballot) -> DiskSet {
        let holds = |peer: &&Peer| peer.last_answer.is_some_and(|answer| answer.standing.accepted == ballot);
        self.peers.values().filter(holds).map(|peer| peer.member.disk).collect()
    }
}
