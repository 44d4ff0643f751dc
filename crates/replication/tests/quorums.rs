//! Exhaustive tests of the quorum rules over all subsets of small voter sets.

mod common;

use common::member;
use hingestage_replication::quorum::{
    includes_all_survivors, is_accept_quorum, is_decision_quorum, is_read_quorum, lost_disks, DiskSet,
};
use hingestage_rpc::messages::{Membership, StoreMember};

fn voters(zones: &[&str]) -> Vec<StoreMember> {
    zones.iter().enumerate().map(|(number, zone)| member(number, zone, number as u64 + 1)).collect()
}

fn settled(zones: &[&str]) -> Membership {
    Membership { epoch: 1, voters: voters(zones), previous: Vec::new() }
}

fn subsets(count: usize) -> impl Iterator<Item = DiskSet> {
    (0u32..1 << count)
        .map(move |bits| (0..count).filter(|bit| bits >> bit & 1 == 1).map(|bit| bit as u64 + 1).collect())
}

const LAYOUTS: [&[&str]; 6] = [
    &["a"],
    &["a", "a", "b"],
    &["a", "b", "c"],
    &["a", "b", "c", "d"],
    &["a", "a", "b", "b", "c"],
    &["a", "b", "c", "d", "e"],
];

#[test]
fn read_quorums_intersect_every_decision() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        for decision in
            subsets(zones.len()).filter(|disks| is_accept_quorum(&membership, disks, &DiskSet::new()))
        {
            let misses_decision = |disks: &DiskSet| disks.is_disjoint(&decision);
            let read_quorum = subsets(zones.len())
                .find(|disks| misses_decision(disks) && is_read_quorum(&membership, disks, &DiskSet::new()));
            assert_eq!(read_quorum, None, "{zones:?}: {decision:?}");
        }
    }
}

#[test]
fn read_quorums_without_lost_disks_find_a_surviving_copy() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        let all = &membership.voters;
        for lost in subsets(zones.len()).filter(|lost| !is_decision_quorum(all, lost, &DiskSet::new())) {
            for decision in
                subsets(zones.len()).filter(|disks| is_accept_quorum(&membership, disks, &DiskSet::new()))
            {
                let remaining: DiskSet = decision.difference(&lost).copied().collect();
                let misses_decision =
                    |disks: &DiskSet| disks.is_disjoint(&remaining) && disks.is_disjoint(&lost);
                let read_quorum = subsets(zones.len())
                    .find(|disks| misses_decision(disks) && is_read_quorum(&membership, disks, &lost));
                assert_eq!(read_quorum, None, "{zones:?}: {decision:?} without {lost:?}");
            }
        }
    }
}

#[test]
fn decisions_survive_the_loss_of_a_zone() {
    for zones in LAYOUTS.iter().filter(|zones| zones.len() > 1) {
        let membership = settled(zones);
        for decision in
            subsets(zones.len()).filter(|disks| is_accept_quorum(&membership, disks, &DiskSet::new()))
        {
            let held = membership.voters.iter().filter(|voter| decision.contains(&voter.disk));
            let in_zones: std::collections::BTreeSet<_> = held.map(|voter| &voter.zone).collect();
            assert!(in_zones.len() > 1, "{zones:?}: {decision:?}");
        }
    }
}

#[test]
fn voter_changes_need_quorums_of_both_sets() {
    let (old, new) = (voters(&["a", "b", "c"]), [&voters(&["a", "b"])[..], &[member(3, "c", 4)]].concat());
    let change = Membership { epoch: 2, voters: new.clone(), previous: old.clone() };
    for decision in subsets(4).filter(|disks| is_accept_quorum(&change, disks, &DiskSet::new())) {
        assert!(
            is_decision_quorum(&old, &decision, &DiskSet::new())
                && is_decision_quorum(&new, &decision, &DiskSet::new())
        );
    }
    let without_old: DiskSet = [1, 4].into();
    assert!(!is_accept_quorum(&change, &without_old, &DiskSet::new()), "no majority of the old set");
    let without_new: DiskSet = [2, 3].into();
    assert!(!is_accept_quorum(&change, &without_new, &DiskSet::new()), "no majority of the new set");
    assert!(!is_read_quorum(&change, &without_old, &DiskSet::new()));
}

#[test]
fn all_survivors_stand_in_for_replaced_disks() {
    let old = voters(&["a", "a", "b"]);
    let renewed = [member(0, "a", 11), member(1, "a", 12)];
    let lost = lost_disks(&old, renewed.iter());
    assert_eq!(lost, DiskSet::from([1, 2]));
    assert!(includes_all_survivors(&old, &DiskSet::from([3]), &lost));
    assert!(
        !includes_all_survivors(&old, &DiskSet::from([3]), &DiskSet::from([1])),
        "another survivor was not asked"
    );
    assert!(!includes_all_survivors(&old, &DiskSet::new(), &lost));
    let spread = voters(&["a", "b", "c"]);
    assert!(
        !includes_all_survivors(&spread, &DiskSet::from([3]), &lost),
        "the lost disks alone are a quorum"
    );
    let change = Membership { epoch: 2, voters: [&renewed[..], &old[2..]].concat(), previous: old };
    assert!(is_accept_quorum(&change, &DiskSet::from([3, 11]), &DiskSet::new()));
    assert!(
        !is_accept_quorum(&change, &DiskSet::from([11, 12]), &DiskSet::new()),
        "no survivor has accepted"
    );
}

#[test]
fn unreachable_zone_is_waived_but_a_majority_is_required() {
    let all = voters(&["a", "a", "b"]);
    let unreachable = DiskSet::from([3]);
    assert!(!is_decision_quorum(&all, &DiskSet::from([1, 2]), &DiskSet::new()));
    assert!(is_decision_quorum(&all, &DiskSet::from([1, 2]), &unreachable));
    assert!(!is_decision_quorum(&all, &DiskSet::from([1]), &unreachable));
}
