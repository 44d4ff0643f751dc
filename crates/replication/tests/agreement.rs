//! What operators met on their worst days, each brought about: one serial with two contents, replacements without a
//! majority after them, members that were cut off, left, or lost their disks.

mod common;

use common::*;
use hingestage_rpc::messages::{Proposed, Summary};

const DONE: Option<Proposed> = Some(Proposed::Durable);
const TAKEN: Option<Proposed> = Some(Proposed::SerialTaken);

/// Under the rule before, the document with the higher digest won everywhere, and both were acknowledged.
#[test]
fn an_acknowledged_document_is_not_replaced_under_its_serial_by_one_from_beyond_a_cut() {
    for (first, second) in [("x", "y"), ("y", "x")] {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        cluster.cut(&[2]);
        assert_eq!(cluster.propose(0, config(7, first)), DONE);
        assert_eq!(cluster.propose(2, config(7, second)), None);
        cluster.heal();
        cluster.pass(2 * S);
        for number in 0..3 {
            assert_eq!(cluster.held(number), Some(document(7, first).version));
            assert_eq!(cluster.propose(number, config(7, second)), TAKEN, "at {number}");
            assert_eq!(cluster.propose(number, config(7, first)), DONE, "sent again to {number}");
        }
    }
}

#[test]
fn of_two_operators_at_once_under_one_serial_one_is_acknowledged_and_the_other_told_so() {
    for other in [1, 2] {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        let first = cluster.begin_proposal(0, config(7, "x")).expect("room");
        let second = cluster.begin_proposal(other, config(7, "y")).expect("room");
        let mut outcomes = [cluster.await_outcome(0, first), cluster.await_outcome(other, second)]
            .map(|outcome| outcome.expect("nothing is in the way"));
        outcomes.sort_by_key(|outcome| *outcome == Proposed::SerialTaken);
        assert_eq!(outcomes, [Proposed::Durable, Proposed::SerialTaken]);
        cluster.pass(S);
        let held = cluster.held(0);
        assert!((1..3).all(|number| cluster.held(number) == held));
    }
}

#[test]
fn what_a_minority_has_is_never_handed_out_and_a_majority_goes_on_without_it() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    cluster.cut(&[2]);
    assert_eq!(cluster.propose(2, config(7, "alone")), None);
    cluster.pass(20 * S);
    let now = cluster.now;
    let news = cluster.nodes[2].replica.news(now, &Summary::default());
    assert_eq!(news.config.map(|config| config.version.serial), Some(3), "decided before the cut");
    assert!(news.fresh_age > Some(19_000), "and as old as it is");
    assert_eq!(cluster.propose(0, config(5, "")), DONE);
    cluster.heal();
    cluster.pass(2 * S);
    assert!((0..3).all(|number| cluster.held(number) == Some(document(5, "").version)));
}

#[test]
fn a_replica_that_is_cut_off_for_twenty_seconds_answers_nothing_and_serves_within_a_second_after() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    cluster.cut(&[0]);
    for second in 0..20 {
        let now = cluster.now;
        assert!(second < 4 || !cluster.nodes[0].replica.is_in_contact(now));
        assert_eq!(cluster.read(0), None);
        assert_eq!(cluster.propose(0, config(90 + second, "")), None, "neither confirmed nor refused");
    }
    assert_eq!(cluster.propose(1, config(5, "")), DONE);
    cluster.heal();
    cluster.pass(S);
    assert_eq!(cluster.read(0), Some(Some(document(5, "").version)));
    assert_eq!(cluster.propose(0, config(6, "")), DONE);
}

#[test]
fn an_older_serial_that_arrives_again_is_acknowledged_and_changes_nothing() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    assert_eq!(cluster.propose(1, config(9, "")), DONE);
    assert_eq!(cluster.propose(2, config(3, "")), DONE);
    assert_eq!(cluster.propose(2, config(4, "late")), DONE);
    assert_eq!(cluster.read(0), Some(Some(document(9, "").version)));
}

#[test]
fn an_order_about_a_zone_is_not_undone_by_an_earlier_one_that_was_left_beyond_a_cut() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.cut(&[2]);
    assert_eq!(cluster.propose(2, drain("a", true)), None);
    assert_eq!(cluster.propose(0, drain("a", true)), DONE);
    assert_eq!(cluster.propose(1, drain("a", false)), DONE);
    cluster.heal();
    cluster.pass(3 * S);
    for number in 0..3 {
        assert!(!cluster.state(number).drains["a"].drained, "at {number}");
    }
}

/// Under the rule before, quorums counted all that were ever met: four of six, with three living.
#[test]
fn after_three_replacements_and_one_more_loss_orders_are_acknowledged_and_read() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    let mut newest = 0;
    for serial in 1..=3 {
        assert_eq!(cluster.propose(newest, config(serial, "")), DONE);
        let oldest = serial as usize - 1;
        let zone = cluster.nodes[oldest].member.zone.clone();
        cluster.stop(oldest);
        cluster.pass(S);
        newest = cluster.join(&zone);
        cluster.pass(4 * S);
        assert!(cluster.voters(newest).contains(&newest), "a newcomer counts within `sync_time`");
    }
    assert_eq!(cluster.voters(newest), [3, 4, 5]);
    cluster.stop(3);
    cluster.pass(S);
    assert_eq!(cluster.propose(newest, config(8, "")), DONE);
    assert_eq!(cluster.read(4), Some(Some(document(8, "").version)));
}

#[test]
fn a_loss_right_after_a_planned_replacement_leaves_a_majority_and_all_copies() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    let successor = cluster.join("a");
    cluster.pass(S);
    assert!(!cluster.voters(0).contains(&successor), "it stands by: it is not needed");
    cluster.nodes[0].replica.leave();
    while !cluster.nodes[0].replica.has_left(cluster.now) {
        cluster.pass(20 * MILLI);
    }
    cluster.stop(0);
    cluster.stop(1);
    cluster.pass(S);
    assert_eq!(cluster.voters(successor), [1, 2, 3]);
    assert_eq!(cluster.read(successor), Some(Some(document(1, "").version)));
    assert_eq!(cluster.propose(2, config(2, "")), DONE);
}

#[test]
fn a_member_that_was_replaced_comes_back_with_its_old_disk_and_decides_nothing() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    cluster.stop(0);
    let successor = cluster.join("a");
    cluster.pass(4 * S);
    assert_eq!(cluster.voters(1), [1, 2, successor]);
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    cluster.stop(1);
    cluster.stop(2);
    cluster.start(0);
    cluster.pass(3 * S);
    assert_eq!(cluster.read(0), None, "two of three by its old membership, none of which votes");
    assert_eq!(cluster.propose(0, config(3, "")), None);
    cluster.start(1);
    cluster.start(2);
    cluster.pass(3 * S);
    assert_eq!(cluster.read(0), Some(Some(document(2, "").version)));
    assert_eq!(cluster.voters(0), [1, 2, successor], "it stands by");
}

#[test]
fn a_minority_that_missed_changes_does_not_lead_with_a_member_that_lost_its_disk() {
    for zones in [&["a", "b", "c"][..], &["a", "a", "b"]] {
        let mut cluster = Cluster::new(zones);
        assert_eq!(cluster.propose(0, config(1, "")), DONE);
        cluster.cut(&[2]);
        cluster.pass(3 * S);
        assert_eq!(cluster.propose(0, config(2, "")), DONE);
        cluster.stop(0);
        cluster.wipe(1);
        cluster.heal();
        cluster.start(1);
        cluster.pass(10 * S);
        assert_eq!(cluster.read(2), None, "{zones:?}: one has old state, the other none");
        assert_eq!(cluster.propose(1, config(3, "")), None);
        cluster.start(0);
        cluster.pass(3 * S);
        assert_eq!(cluster.read(2), Some(Some(document(2, "").version)));
        assert_eq!(cluster.propose(1, config(3, "")), DONE);
    }
}

#[test]
fn a_zone_that_lost_its_disks_is_brought_up_by_the_other_one_also_where_that_is_a_minority() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    cluster.wipe(0);
    cluster.wipe(1);
    cluster.stop(2);
    cluster.start(2);
    cluster.pass(2 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None, "those two may be away only");
    cluster.start(0);
    cluster.pass(2 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None, "one of them may be away only");
    cluster.start(1);
    cluster.pass(3 * S);
    assert_eq!(cluster.read(0), Some(Some(document(1, "").version)));
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    assert_eq!(cluster.voters(2), [0, 1, 2]);
}

#[test]
fn disks_that_are_lost_in_two_zones_are_more_than_can_be_borne_and_nothing_is_made_up() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    for number in [0, 1] {
        cluster.wipe(number);
        cluster.start(number);
    }
    cluster.pass(10 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None);
    assert_eq!(cluster.read(0), None);
}

#[test]
fn copies_stand_in_two_zones_while_two_live_and_a_zone_that_is_away_is_not_waited_for_long() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    cluster.cut(&[2]);
    assert_eq!(cluster.propose(0, config(1, "")), None, "the other zone may be late only");
    cluster.pass(2 * S);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
}

#[test]
fn a_replica_that_stands_by_takes_the_place_of_one_that_is_away_which_then_stands_by() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    assert_eq!(cluster.voters(0), [0, 1, 2]);
    cluster.stop(1);
    cluster.pass(4 * S);
    assert_eq!(cluster.voters(0), [0, 2, 3]);
    cluster.stop(0);
    assert_eq!(cluster.propose(3, config(1, "")), DONE, "two of three vote");
    cluster.start(1);
    cluster.start(0);
    cluster.pass(5 * S);
    assert_eq!(cluster.held(1), Some(document(1, "").version));
    assert_eq!(cluster.voters(1).len(), 3);
}

#[test]
fn a_member_that_was_away_for_a_thousand_changes_catches_up_within_a_second() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.stop(2);
    for serial in 1..=1_000 {
        assert_eq!(cluster.propose(serial as usize % 2, config(serial, "")), DONE);
    }
    cluster.start(2);
    cluster.pass(S);
    assert_eq!(cluster.held(2), Some(document(1_000, "").version));
    assert_eq!(cluster.propose(2, config(1_001, "")), DONE);
}

#[test]
fn all_that_was_acknowledged_is_read_after_all_processes_and_one_disk_are_lost_at_once() {
    for wiped in 0..3 {
        let mut cluster = Cluster::new(&["a", "a", "b"]);
        assert_eq!(cluster.propose(wiped, config(7, "")), DONE);
        (0..3).for_each(|number| cluster.stop(number));
        cluster.wipe(wiped);
        (0..3).for_each(|number| cluster.start(number));
        cluster.pass(4 * S);
        for number in 0..3 {
            assert_eq!(cluster.read(number), Some(Some(document(7, "").version)), "{wiped} {number}");
        }
    }
}

#[test]
fn a_change_that_one_replica_accepted_is_completed_or_void_but_never_both() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let ticket = cluster.begin_proposal(0, config(7, "x")).expect("room");
    // Until it is on the first disk, and on its way to the others.
    while cluster.nodes[0].disk.record.state.config.is_none() {
        cluster.pass(2 * MILLI);
    }
    cluster.stop(0);
    cluster.cut(&[0]);
    let _ = ticket;
    cluster.pass(2 * S);
    let outcome = cluster.propose(1, config(7, "y"));
    assert!(outcome == DONE || outcome == TAKEN);
    cluster.heal();
    cluster.start(0);
    cluster.pass(2 * S);
    let held = cluster.read(0).expect("nothing is in the way");
    assert_eq!(held == Some(document(7, "y").version), outcome == DONE);
    assert!((0..3).all(|number| cluster.held(number) == held));
}

#[test]
fn a_full_disk_promises_and_accepts_nothing_and_holds_nobody_up() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.nodes[0].disk.full = true;
    assert_eq!(cluster.propose(0, config(1, "")), None, "its own disk refuses");
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    assert_eq!(cluster.nodes[0].disk.record.state.config, None);
    cluster.nodes[0].disk.full = false;
    cluster.pass(2 * S);
    assert_eq!(cluster.read(0), Some(Some(document(2, "").version)));
}

#[test]
fn contact_counts_from_when_it_was_asked_for() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let now = cluster.now;
    let moment = cluster.nodes[0].replica.current_as_of(now).expect("contact");
    assert!(moment < now, "an answer tells of the moment at which it was asked for, at the latest");
    cluster.cut(&[0]);
    cluster.pass(3 * S);
    let later = cluster.nodes[0].replica.current_as_of(cluster.now).expect("contact once");
    assert!(later <= now + 4 * MILLI);
    assert!(!cluster.nodes[0].replica.is_in_contact(cluster.now));
}
