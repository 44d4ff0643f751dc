//! Quorum rules.
//!
//! Invariant *intersection*: any two majorities of one voter set share a store, so a proposer that asks a majority
//! learns of each proposal decided before. Invariant *spread*: a decision needs copies in two zones, so it survives
//! the loss of all disks in one zone.

use hingestage_rpc::messages::{Membership, StoreMember};
use std::collections::BTreeSet;

/// A set of disk identifiers.
pub type DiskSet = BTreeSet<u64>;

/// Size of a majority.
pub fn majority_size(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether the disks include a majority of the voters.
pub fn has_majority(voters: &[StoreMember], disks: &DiskSet) -> bool {
    let held = voters.iter().filter(|voter| disks.contains(&voter.disk)).count();
    held >= majority_size(voters.len())
}

/// Whether the disks suffice for a decision: a majority of the voters in more than one zone. The second zone is
/// waived if all voters outside one zone are `unreachable`.
pub fn is_decision_quorum(voters: &[StoreMember], disks: &DiskSet, unreachable: &DiskSet) -> bool {
    has_majority(voters, disks)
        && (count_zones(voters, |disk| disks.contains(&disk)) > 1 || {
            let possible = |disk| disks.contains(&disk) || !unreachable.contains(&disk);
            count_zones(voters, possible) < 2
        })
}

/// Lost disks of voters: the machine has since answered (`responders`) with another disk.
pub fn lost_disks<'a>(
    voters: &[StoreMember],
    responders: impl Iterator<Item = &'a StoreMember> + Clone,
) -> DiskSet {
    let replaced = |voter: &&StoreMember| {
        responders.clone().any(|member| member.name == voter.name && member.disk != voter.disk)
    };
    voters.iter().filter(replaced).map(|voter| voter.disk).collect()
}

/// Whether the disks include every voter that is not lost, and hold a copy of each decision because the lost
/// disks alone are no quorum.
pub fn includes_all_survivors(voters: &[StoreMember], disks: &DiskSet, lost: &DiskSet) -> bool {
    let mut remaining = voters.iter().filter(|voter| !lost.contains(&voter.disk)).peekable();
    let lost_is_quorum = is_decision_quorum(voters, lost, &DiskSet::new());
    !lost.is_empty()
        && !lost_is_quorum
        && remaining.peek().is_some()
        && remaining.all(|voter| disks.contains(&voter.disk))
}

/// Whether the disks form a read quorum: together they know every proposal that this membership may have decided,
/// although some of its voters may be lost.
pub fn is_read_quorum(membership: &Membership, disks: &DiskSet, lost: &DiskSet) -> bool {
    let suffices = |voters: &Vec<StoreMember>| {
        voters.is_empty() || has_majority(voters, disks) || includes_all_survivors(voters, disks, lost)
    };
    !membership.voters.is_empty() && suffices(&membership.voters) && suffices(&membership.previous)
}

/// Whether a proposal with this membership is decided once these disks have accepted it. While the voters change,
/// the previous voters must decide too, or all that remain of them if the new ones replace lost disks.
pub fn is_accept_quorum(membership: &Membership, disks: &DiskSet, unreachable: &DiskSet) -> bool {
    let Membership { voters, previous, .. } = membership;
    let lost = lost_disks(previous, voters.iter());
    is_decision_quorum(voters, disks, unreachable)
        && (previous.is_empty()
            || is_decision_quorum(previous, disks, unreachable)
            || includes_all_survivors(previous, disks, &lost))
}

/// Number of zones of the voters whose disks satisfy `counts`.
pub(crate) fn count_zones(voters: &[StoreMember], counts: impl Fn(u64) -> bool) -> usize {
    let counted = voters.iter().filter(|voter| counts(voter.disk));
    counted.map(|voter| &voter.zone).collect::<BTreeSet<_>>().len()
}
