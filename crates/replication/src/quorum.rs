//! Quorum rules.
//!
//! Invariant *intersection*: any two majorities of one voter set share a store, so a proposer that asks a majority
//! learns of each proposal decided before. Invariant *spread*: a decision needs copies in two zones, so it survives
//! the loss of all disks in one zone.

use hingestage_rpc::messages::{Membership, StoreMember};
use std::collections::BTreeSet;

/// A set of disk identifiers.
pub type Disks = BTreeSet<u64>;

/// Size of a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether the disks include a majority of the voters.
pub fn has_majority(voters: &[StoreMember], disks: &Disks) -> bool {
    let held = voters.iter().filter(|voter| disks.contains(&voter.disk)).count();
    held >= majority(voters.len())
}

/// Whether the disks suffice for a decision: a majority of the voters in more than one zone. The second zone is
/// waived if all voters outside one zone are `unreachable`.
pub fn decides(voters: &[StoreMember], disks: &Disks, unreachable: &Disks) -> bool {
    has_majority(voters, disks)
        && (zones(voters, |disk| disks.contains(&disk)) > 1 || {
            let possible = |disk| disks.contains(&disk) || !unreachable.contains(&disk);
            zones(voters, possible) < 2
        })
}

/// Lost disks of voters: the machine has since answered (`responders`) with another disk.
pub fn lost<'a>(voters: &[StoreMember], responders: impl Iterator<Item = &'a StoreMember> + Clone) -> Disks {
    let replaced = |voter: &&StoreMember| {
        responders.clone().any(|member| member.name == voter.name && member.disk != voter.disk)
    };
    voters.iter().filter(replaced).map(|voter| voter.disk).collect()
}

/// Whether the disks include every voter that is not lost, and hold a copy of each decision because the lost
/// disks alone are no quorum.
pub fn survives(voters: &[StoreMember], disks: &Disks, lost: &Disks) -> bool {
    let mut remaining = voters.iter().filter(|voter| !lost.contains(&voter.disk)).peekable();
    let lost_is_quorum = decides(voters, lost, &Disks::new());
    !lost.is_empty()
        && !lost_is_quorum
        && remaining.peek().is_some()
        && remaining.all(|voter| disks.contains(&voter.disk))
}

/// Whether the disks form a read quorum: together they know every proposal that this membership may have decided,
/// although some of its voters may be lost.
pub fn reads(membership: &Membership, disks: &Disks, lost: &Disks) -> bool {
    let suffices = |voters: &Vec<StoreMember>| {
        voters.is_empty() || has_majority(voters, disks) || survives(voters, disks, lost)
    };
    !membership.voters.is_empty() && suffices(&membership.voters) && suffices(&membership.previous)
}

/// Whether a proposal with this membership is decided once these disks have accepted it. While the voters change,
/// the previous voters must decide too, or all that remain of them if the new ones replace lost disks.
pub fn accepts(membership: &Membership, disks: &Disks, unreachable: &Disks) -> bool {
    let Membership { voters, previous, .. } = membership;
    let lost = lost(previous, voters.iter());
    decides(voters, disks, unreachable)
        && (previous.is_empty() || decides(previous, disks, unreachable) || survives(previous, disks, &lost))
}

/// Number of zones of the voters whose disks satisfy `counts`.
pub(crate) fn zones(voters: &[StoreMember], counts: impl Fn(u64) -> bool) -> usize {
    let counted = voters.iter().filter(|voter| counts(voter.disk));
    counted.map(|voter| &voter.zone).collect::<BTreeSet<_>>().len()
}
