//! Which stores are to vote next.
//!
//! Invariant *fencing*: a store whose disk was lost is another one, and takes the old one's place by a change of
//! membership; the old one's vote counts no more. There are never fewer voters than losses to be borne ask for.

use crate::peers::{Peer, Peers};
use crate::quorum::{zones, Disks};
use crate::Micros;
use hingestage_rpc::messages::{Membership, Standing, StoreMember};

/// Periods and sizes by which voters are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// A voter not heard for so long is replaced where a store stands by.
    pub replace_after: Micros,
    /// A voter not heard for so long is removed where there are more than needed.
    pub remove_after: Micros,
    /// Voters that there are at the least, once as many stores are there.
    pub voters_min: usize,
}

/// What the planner goes by.
pub(crate) struct Planner<'a> {
    pub plan: Plan,
    pub now: Micros,
    pub me: &'a StoreMember,
    pub standing: Standing,
    pub peers: &'a Peers,
}

impl Planner<'_> {
    /// The voters that are to follow; none where those that vote are right.
    pub fn next(&self, membership: &Membership) -> Option<Membership> {
        if !membership.previous.is_empty() || membership.voters.is_empty() {
            return None;
        }
        let voters = &membership.voters;
        let next = self
            .with_new_disks(voters)
            .or_else(|| self.without_leaving(voters))
            .or_else(|| self.without_silent(voters))
            .or_else(|| self.grown(voters))
            .or_else(|| self.shrunk(voters))?;
        Some(Membership { epoch: membership.epoch + 1, voters: sorted(next), previous: voters.clone() })
    }

    /// Machines that came back with another disk take their own places.
    fn with_new_disks(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let renewed = |voter: &StoreMember| {
            let mut speakers = self.peers.speakers();
            speakers.find(|member| member.name == voter.name).unwrap_or(voter).clone()
        };
        let next: Vec<StoreMember> = voters.iter().map(renewed).collect();
        (next != voters).then_some(next)
    }

    /// A store that is told to end hands its place over, or leaves where it is not needed.
    fn without_leaving(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let leaving: Disks =
            voters.iter().filter(|voter| self.leaves(voter)).map(|voter| voter.disk).collect();
        let first = voters.iter().find(|voter| leaving.contains(&voter.disk))?;
        let spare = voters.len() > self.plan.voters_min;
        self.handed_over(voters, &leaving).or_else(|| spare.then(|| without(voters, first)))
    }

    fn leaves(&self, member: &StoreMember) -> bool {
        if member == self.me {
            return self.standing.leaving;
        }
        let peer = self.peers.get(&member.name).filter(|peer| peer.member == *member);
        peer.and_then(|peer| peer.heard).is_some_and(|heard| heard.standing.leaving)
    }

    /// A store that stands by takes the place of a voter that is away.
    fn without_silent(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        self.handed_over(voters, &self.peers.silent(self.now, voters, self.plan.replace_after))
    }

    /// A store that stands by takes the place of one of some voters, one of the same zone first.
    fn handed_over(&self, voters: &[StoreMember], going: &Disks) -> Option<Vec<StoreMember>> {
        let candidates = self.standing_by(voters);
        let going = voters.iter().filter(|voter| going.contains(&voter.disk));
        let mut pairs: Vec<(&StoreMember, &StoreMember)> =
            going.flat_map(|voter| candidates.iter().map(move |candidate| (voter, candidate))).collect();
        pairs.sort_by_key(|(voter, candidate)| voter.zone != candidate.zone);
        pairs.into_iter().find_map(|(voter, candidate)| replaced(voters, voter, candidate))
    }

    /// Stores that stand by vote too where there are too few voters, or an even number of them, or for two more.
    fn grown(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let mut candidates = self.standing_by(voters);
        let wanted =
            if voters.len().is_multiple_of(2) || voters.len() < self.plan.voters_min { 1 } else { 2 };
        if candidates.len() < wanted {
            return None;
        }
        candidates.sort_by_key(|candidate| voters.iter().any(|voter| voter.zone == candidate.zone));
        Some(voters.iter().cloned().chain(candidates.into_iter().take(wanted)).collect())
    }

    /// Voters that are away for long go where there are more than needed.
    fn shrunk(&self, voters: &[StoreMember]) -> Option<Vec<StoreMember>> {
        let silent = self.peers.silent(self.now, voters, self.plan.remove_after);
        let first = voters.iter().find(|voter| silent.contains(&voter.disk))?;
        let spare = voters.len() > self.plan.voters_min;
        spare.then(|| without(voters, first))
    }

    /// Stores that don't vote, are present and hold what was decided.
    fn standing_by(&self, voters: &[StoreMember]) -> Vec<StoreMember> {
        let holds = |peer: &&Peer| {
            let heard = peer.heard.filter(|_| self.peers.is_present(self.now, &peer.member));
            let usable = |standing: Standing| standing.accepted >= self.standing.decided && !standing.leaving;
            heard.is_some_and(|heard| usable(heard.standing))
        };
        let votes = |name: &str| voters.iter().any(|voter| voter.name == name);
        let others = self.peers.iter().filter(holds).map(|peer| peer.member.clone());
        let mine = (!self.standing.leaving).then(|| self.me.clone());
        others.chain(mine).filter(|member| !votes(&member.name)).collect()
    }
}

fn replaced(voters: &[StoreMember], old: &StoreMember, new: &StoreMember) -> Option<Vec<StoreMember>> {
    let next: Vec<StoreMember> =
        voters.iter().map(|voter| if voter == old { new.clone() } else { voter.clone() }).collect();
    let enough = zones(&next, |_| true) >= zones(voters, |_| true).min(2);
    enough.then_some(next)
}

fn without(voters: &[StoreMember], gone: &StoreMember) -> Vec<StoreMember> {
    voters.iter().filter(|voter| *voter != gone).cloned().collect()
}

fn sorted(mut voters: Vec<StoreMember>) -> Vec<StoreMember> {
    voters.sort();
    voters
}
