//! Chooses the next set of voters.
//!
//! Invariant *fencing*: a store that lost its disk is a new member and replaces the old one by a membership change,
//! after which the old one's vote does not count. The voter set never shrinks below the configured minimum.

use crate::peers::{Peer, Peers};
use crate::quorum::{count_zones, DiskSet};
use crate::Micros;
use hingestage_rpc::messages::{Membership, Standing, StoreMember};

/// Timeouts and sizes for choosing voters.
#[derive(Clone, Copy, Debug)]
pub struct VoterPolicy {
    /// A voter unreachable for this long is replaced by a standby store, if there is one.
    pub replace_after: Micros,
    /// A voter unreachable for this long is removed if there are more than `voters_min`.
    pub remove_after: Micros,
    /// Minimum number of voters, once that many stores exist.
    pub voters_min: usize,
}

/// Computes membership changes from what one replica knows of the others.
pub(crate) struct Planner<'a> {
    pub policy: VoterPolicy,
    pub now: Micros,
    pub me: &'a StoreMember,
    pub standing: Standing,
    pub peers: &'a Peers,
}

impl Planner<'_> {
    /// The next membership; `None` if no change is needed or one is in progress.
    pub fn next_membership(&self, membership: &Membership) -> Option<Membership> {
        if !membership.previous.is_empty() || membership.voters.is_empty() {
            return None;
        }
        let voters = &membership.voters;
        let next = self
            .with_new_disks(voters)
            .or_else(|| self.without_leaving(voters))
            .or_else(|| self.without_unreachable(voters))
            .or_else(|| self.enlarged(voters))
            .or_else(|| self.reduced(voters))?;
        Some(Membership { epoch: membership.epoch + 1, voters: sorted(next), previous: voters.clone() })
    }

    /// Replaces voters whose machines came back with another disk.
    fn with_new_disks(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let renewed = |voter: &StoreMember| {
            let mut responders = self.peers.responders();
            responders.find(|member| member.name == voter.name).unwrap_or(voter).clone()
        };
        let next: Vec<StoreMember> = voters.iter().map(renewed).collect();
        (next != voters).then_some(next)
    }

    /// Replaces a voter that is shutting down by a standby store, or removes it if it is not needed.
    fn without_leaving(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let leaving: DiskSet =
            voters.iter().filter(|voter| self.is_leaving(voter)).map(|voter| voter.disk).collect();
        let first = voters.iter().find(|voter| leaving.contains(&voter.disk))?;
        let spare = voters.len() > self.policy.voters_min;
        self.replace_one(voters, &leaving).or_else(|| spare.then(|| without(voters, first)))
    }

    fn is_leaving(&self, member: &StoreMember) -> bool {
        if member == self.me {
            return self.standing.leaving;
        }
        let peer = self.peers.get(&member.name).filter(|peer| peer.member == *member);
        peer.and_then(|peer| peer.last_answer).is_some_and(|answer| answer.standing.leaving)
    }

    /// Replaces an unreachable voter by a standby store.
    fn without_unreachable(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        self.replace_one(voters, &self.peers.unreachable(self.now, voters, self.policy.replace_after))
    }

    /// Replaces one of the `outgoing` voters by a standby store, preferably one of the same zone.
    fn replace_one(&self, voters: &[StoreMember], outgoing: &DiskSet) -> Option<Vec<StoreMember>> {
        let candidates = self.standbys(voters);
        let outgoing = voters.iter().filter(|voter| outgoing.contains(&voter.disk));
        let mut pairs: Vec<(&StoreMember, &StoreMember)> =
            outgoing.flat_map(|voter| candidates.iter().map(move |candidate| (voter, candidate))).collect();
        pairs.sort_by_key(|(voter, candidate)| voter.zone != candidate.zone);
        pairs.into_iter().find_map(|(voter, candidate)| replaced(voters, voter, candidate))
    }

    /// Adds one standby store if there are too few voters or an even number of them, else two at once.
    fn enlarged(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let mut candidates = self.standbys(voters);
        let wanted =
            if voters.len().is_multiple_of(2) || voters.len() < self.policy.voters_min { 1 } else { 2 };
        if candidates.len() < wanted {
            return None;
        }
        candidates.sort_by_key(|candidate| voters.iter().any(|voter| voter.zone == candidate.zone));
        Some(voters.iter().cloned().chain(candidates.into_iter().take(wanted)).collect())
    }

    /// Removes a voter that was unreachable for long, if there are more than needed.
    fn reduced(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let unreachable = self.peers.unreachable(self.now, voters, self.policy.remove_after);
        let first = voters.iter().find(|voter| unreachable.contains(&voter.disk))?;
        let spare = voters.len() > self.policy.voters_min;
        spare.then(|| without(voters, first))
    }

    /// Standby stores: reachable non-voters that have accepted at least what this store knows to be decided.
    fn standbys(&self, voters: &[StoreMember]) -> Vec<StoreMember> {
        let holds = |peer: &&Peer| {
            let answer = peer.last_answer.filter(|_| self.peers.is_reachable(self.now, &peer.member));
            let usable = |standing: Standing| standing.accepted >= self.standing.decided && !standing.leaving;
            answer.is_some_and(|answer| usable(answer.standing))
        };
        let votes = |name: &str| voters.iter().any(|voter| voter.name == name);
        let others = self.peers.iter().filter(holds).map(|peer| peer.member.clone());
        let this_store = (!self.standing.leaving).then(|| self.me.clone());
        others.chain(this_store).filter(|member| !votes(&member.name)).collect()
    }
}

fn replaced(voters: &[StoreMember], old: &StoreMember, new: &StoreMember) -> Option<Vec<StoreMember>> {
    let next: Vec<StoreMember> =
        voters.iter().map(|voter| if voter == old { new.clone() } else { voter.clone() }).collect();
    let enough = count_zones(&next, |_| true) >= count_zones(voters, |_| true).min(2);
    enough.then_some(next)
}

fn without(voters: &[StoreMember], gone: &StoreMember) -> Vec<StoreMember> {
    voters.iter().filter(|voter| *voter != gone).cloned().collect()
}

fn sorted(mut voters: Vec<StoreMember>) -> Vec<StoreMember> {
    voters.sort();
    voters
}
