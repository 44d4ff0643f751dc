//! Sets of disks that suffice for something, tried whole for small numbers of voters.

mod common;

use common::member;
use hingestage_replication::quorum::{accepts, decides, lost, reads, survives, Disks};
use hingestage_rpc::messages::{Membership, StoreMember};

fn voters(zones: &[&str]) -> Vec<StoreMember> {
    zones.iter().enumerate().map(|(number, zone)| member(number, zone, number as u64 + 1)).collect()
}

fn settled(zones: &[&str]) -> Membership {
    Membership { epoch: 1, voters: voters(zones), previous: Vec::new() }
}

fn subsets(count: usize) -> impl Iterator<Item = Disks> {
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
fn whoever_reads_meets_every_decision() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        for decision in subsets(zones.len()).filter(|disks| accepts(&membership, disks, &Disks::new())) {
            let blind = |disks: &Disks| disks.is_disjoint(&decision);
            let read =
                subsets(zones.len()).find(|disks| blind(disks) && reads(&membership, disks, &Disks::new()));
            assert_eq!(read, None, "{zones:?}: {decision:?}");
        }
    }
}

#[test]
fn whoever_reads_without_lost_disks_meets_every_decision_on_one_that_is_left() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        let all = &membership.voters;
        for gone in subsets(zones.len()).filter(|gone| !decides(all, gone, &Disks::new())) {
            for decision in subsets(zones.len()).filter(|disks| accepts(&membership, disks, &Disks::new())) {
                let left: Disks = decision.difference(&gone).copied().collect();
                let blind = |disks: &Disks| disks.is_disjoint(&left) && disks.is_disjoint(&gone);
                let read =
                    subsets(zones.len()).find(|disks| blind(disks) && reads(&membership, disks, &gone));
                assert_eq!(read, None, "{zones:?}: {decision:?} without {gone:?}");
            }
        }
    }
}

#[test]
fn a_decision_outlasts_the_disks_of_any_zone() {
    for zones in LAYOUTS.iter().filter(|zones| zones.len() > 1) {
        let membership = settled(zones);
        for decision in subsets(zones.len()).filter(|disks| accepts(&membership, disks, &Disks::new())) {
            let held = membership.voters.iter().filter(|voter| decision.contains(&voter.disk));
            let in_zones: std::collections::BTreeSet<_> = held.map(|voter| &voter.zone).collect();
            assert!(in_zones.len() > 1, "{zones:?}: {decision:?}");
        }
    }
}

#[test]
fn a_change_of_voters_needs_both_sets_and_whoever_reads_either_meets_it() {
    let (old, new) = (voters(&["a", "b", "c"]), [&voters(&["a", "b"])[..], &[member(3, "c", 4)]].concat());
    let change = Membership { epoch: 2, voters: new.clone(), previous: old.clone() };
    for decision in subsets(4).filter(|disks| accepts(&change, disks, &Disks::new())) {
        assert!(decides(&old, &decision, &Disks::new()) && decides(&new, &decision, &Disks::new()));
    }
    let without_old: Disks = [1, 4].into();
    assert!(!accepts(&change, &without_old, &Disks::new()), "no majority of the old set");
    let without_new: Disks = [2, 3].into();
    assert!(!accepts(&change, &without_new, &Disks::new()), "no majority of the new set");
    assert!(!reads(&change, &without_old, &Disks::new()));
}

#[test]
fn machines_that_came_back_with_other_disks_are_lost_and_all_that_are_left_stand_for_them() {
    let old = voters(&["a", "a", "b"]);
    let renewed = [member(0, "a", 11), member(1, "a", 12)];
    let gone = lost(&old, renewed.iter());
    assert_eq!(gone, Disks::from([1, 2]));
    assert!(survives(&old, &Disks::from([3]), &gone));
    assert!(!survives(&old, &Disks::from([3]), &Disks::from([1])), "another one is left and not heard");
    assert!(!survives(&old, &Disks::new(), &gone));
    let spread = voters(&["a", "b", "c"]);
    assert!(!survives(&spread, &Disks::from([3]), &gone), "those two could decide by themselves");
    let change = Membership { epoch: 2, voters: [&renewed[..], &old[2..]].concat(), previous: old };
    assert!(accepts(&change, &Disks::from([3, 11]), &Disks::new()));
    assert!(!accepts(&change, &Disks::from([11, 12]), &Disks::new()), "none of those that are left");
}

#[test]
fn a_zone_that_is_away_is_not_asked_for_but_a_majority_is() {
    let all = voters(&["a", "a", "b"]);
    let away = Disks::from([3]);
    assert!(!decides(&all, &Disks::from([1, 2]), &Disks::new()));
    assert!(decides(&all, &Disks::from([1, 2]), &away));
    assert!(!decides(&all, &Disks::from([1]), &away));
}
