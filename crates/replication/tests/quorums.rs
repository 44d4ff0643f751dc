//! Exhaustive tests of the quorum rules over all subsets of small voter sets.

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
fn read_quorums_intersect_every_decision() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        for decision in subsets(zones.len()).filter(|disks| accepts(&membership, disks, &Disks::new())) {
            let misses_decision = |disks: &Disks| disks.is_disjoint(&decision);
            let read_quorum = subsets(zones.len())
                .find(|disks| misses_decision(disks) && reads(&membership, disks, &Disks::new()));
            assert_eq!(read_quorum, None, "{zones:?}: {decision:?}");
        }
    }
}

#[test]
fn read_quorums_without_lost_disks_find_a_surviving_copy() {
    for zones in LAYOUTS {
        let membership = settled(zones);
        let all = &membership.voters;
        for lost_disks in subsets(zones.len()).filter(|lost_disks| !decides(all, lost_disks, &Disks::new())) {
            for decision in subsets(zones.len()).filter(|disks| accepts(&membership, disks, &Disks::new())) {
                let remaining: Disks = decision.difference(&lost_disks).copied().collect();
                let misses_decision =
                    |disks: &Disks| disks.is_disjoint(&remaining) && disks.is_disjoint(&lost_disks);
                let read_quorum = subsets(zones.len())
                    .find(|disks| misses_decision(disks) && reads(&membership, disks, &lost_disks));
                assert_eq!(read_quorum, None, "{zones:?}: {decision:?} without {lost_disks:?}");
            }
        }
    }
}

#[test]
fn decisions_survive_the_loss_of_a_zone() {
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
fn voter_changes_need_quorums_of_both_sets() {
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
fn all_survivors_stand_in_for_replaced_disks() {
    let old = voters(&["a", "a", "b"]);
    let renewed = [member(0, "a", 11), member(1, "a", 12)];
    let lost_disks = lost(&old, renewed.iter());
    assert_eq!(lost_disks, Disks::from([1, 2]));
    assert!(survives(&old, &Disks::from([3]), &lost_disks));
    assert!(!survives(&old, &Disks::from([3]), &Disks::from([1])), "another survivor was not asked");
    assert!(!survives(&old, &Disks::new(), &lost_disks));
    let spread = voters(&["a", "b", "c"]);
    assert!(!survives(&spread, &Disks::from([3]), &lost_disks), "the lost disks alone are a quorum");
    let change = Membership { epoch: 2, voters: [&renewed[..], &old[2..]].concat(), previous: old };
    assert!(accepts(&change, &Disks::from([3, 11]), &Disks::new()));
    assert!(!accepts(&change, &Disks::from([11, 12]), &Disks::new()), "no survivor has accepted");
}

#[test]
fn unreachable_zone_is_waived_but_a_majority_is_required() {
    let all = voters(&["a", "a", "b"]);
    let unreachable = Disks::from([3]);
    assert!(!decides(&all, &Disks::from([1, 2]), &Disks::new()));
    assert!(decides(&all, &Disks::from([1, 2]), &unreachable));
    assert!(!decides(&all, &Disks::from([1]), &unreachable));
}
