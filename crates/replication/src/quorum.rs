//! Which sets of stores suffice for what.
//!
//! Invariant *intersection*: any two majorities of one set of voters share a store, so that whoever asks a majority hears of
//! each proposal that was decided before. Invariant *spread*: a proposal is decided by copies in two zones, so that it
//! outlasts the disks of any one zone.

use hingestage_rpc::messages::{Membership, StoreMember};
use std::collections::BTreeSet;

/// A set of disks.
pub type Disks = BTreeSet<u64>;

/// Voters that a majority needs.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether disks hold a majority of some voters.
pub fn has_majority(voters: &[StoreMember], disks: &Disks) -> bool {
    let held = voters.iter().filter(|voter| disks.contains(&voter.disk)).count();
    held >= majority(voters.len())
}

/// Whether disks suffice for a decision among some voters: a majority in more than one zone. Zones whose voters are all
/// `silent` can't be asked for: a loss that has happened is used up.
pub fn decides(voters: &[StoreMember], disks: &Disks, silent: &Disks) -> bool {
    has_majority(voters, disks)
        && (zones(voters, |disk| disks.contains(&disk)) > 1 || {
            let present = |disk| disks.contains(&disk) || !silent.contains(&disk);
            zones(voters, present) < 2
        })
}

/// The voters whose disks are lost: each of these machines has come back with another disk.
pub fn lost<'a>(voters: &[StoreMember], heard: impl Iterator<Item = &'a StoreMember> + Clone) -> Disks {
    let replaced = |voter: &&StoreMember| {
        heard.clone().any(|member| member.name == voter.name && member.disk != voter.disk)
    };
    voters.iter().filter(replaced).map(|voter| voter.disk).collect()
}

/// Whether disks are all that is left of some voters, and each decision left a copy on one of them: those that are lost
/// could not decide by themselves.
pub fn survives(voters: &[StoreMember], disks: &Disks, lost: &Disks) -> bool {
    let mut left = voters.iter().filter(|voter| !lost.contains(&voter.disk)).peekable();
    let alone = decides(voters, lost, &Disks::new());
    !lost.is_empty() && !alone && left.peek().is_some() && left.all(|voter| disks.contains(&voter.disk))
}

/// Whether disks have heard of all that may have been decided by a membership; some of its voters may be lost.
pub fn reads(membership: &Membership, disks: &Disks, lost: &Disks) -> bool {
    let suffices = |voters: &Vec<StoreMember>| {
        voters.is_empty() || has_majority(voters, disks) || survives(voters, disks, lost)
    };
    !membership.voters.is_empty() && suffices(&membership.voters) && suffices(&membership.previous)
}

/// Whether a proposal with this membership is decided once these disks have accepted it. Where it changes the voters, the
/// voters before have to agree too, or all that are left of them where the new ones take the places of lost disks.
pub fn accepts(membership: &Membership, disks: &Disks, silent: &Disks) -> bool {
    let Membership { voters, previous, .. } = membership;
    let lost = lost(previous, voters.iter());
    decides(voters, disks, silent)
        && (previous.is_empty() || decides(previous, disks, silent) || survives(previous, disks, &lost))
}

/// In how many zones those voters are whose disks count.
pub(crate) fn zones(voters: &[StoreMember], counts: impl Fn(u64) -> bool) -> usize {
    let counted = voters.iter().filter(|voter| counts(voter.disk));
    counted.map(|voter| &voter.zone).collect::<BTreeSet<_>>().len()
}
