//! Fault scenarios: conflicting serials, partitions, replaced members and lost disks.

mod common;

use common::*;
use hingestage_rpc::digest;
use hingestage_rpc::messages::{Change, Proposed, Summary};
use hingestage_rpc::trials::{TrialPosition, TrialRecord};

const DONE: Option<Proposed> = Some(Proposed::Durable);
const SERIAL_TAKEN: Option<Proposed> = Some(Proposed::SerialTaken);

/// Guards against two contents acknowledged under one serial on both sides of a partition.
#[test]
fn acknowledged_document_is_not_replaced_after_a_partition() {
    for (first, second) in [("x", "y"), ("y", "x")] {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        cluster.partition(&[2]);
        assert_eq!(cluster.propose(0, config(7, first)), DONE);
        assert_eq!(cluster.propose(2, config(7, second)), None);
        cluster.heal();
        cluster.advance(2 * S);
        for number in 0..3 {
            assert_eq!(cluster.decided_config(number), Some(document(7, first).version));
            assert_eq!(cluster.propose(number, config(7, second)), SERIAL_TAKEN, "at {number}");
            assert_eq!(cluster.propose(number, config(7, first)), DONE, "sent again to {number}");
        }
    }
}

#[test]
fn concurrent_documents_under_one_serial_have_one_winner() {
    for other in [1, 2] {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        let first = cluster.submit(0, config(7, "x")).expect("the queue is not full");
        let second = cluster.submit(other, config(7, "y")).expect("the queue is not full");
        let mut outcomes = [cluster.await_outcome(0, first), cluster.await_outcome(other, second)]
            .map(|outcome| outcome.expect("no fault is present"));
        outcomes.sort_by_key(|outcome| *outcome == Proposed::SerialTaken);
        assert_eq!(outcomes, [Proposed::Durable, Proposed::SerialTaken]);
        cluster.advance(S);
        let held = cluster.decided_config(0);
        assert!((1..3).all(|number| cluster.decided_config(number) == held));
    }
}

#[test]
fn minority_proposal_is_not_published_and_majority_continues() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    cluster.partition(&[2]);
    assert_eq!(cluster.propose(2, config(7, "alone")), None);
    cluster.advance(20 * S);
    let now = cluster.now;
    let updates = cluster.nodes[2].replica.updates_for(now, &Summary::default());
    assert_eq!(updates.config.map(|config| config.version.serial), Some(3), "decided before the partition");
    assert!(updates.fresh_age > Some(19_000), "its age is reported");
    assert_eq!(cluster.propose(0, config(5, "")), DONE);
    cluster.heal();
    cluster.advance(2 * S);
    assert!((0..3).all(|number| cluster.decided_config(number) == Some(document(5, "").version)));
}

#[test]
fn partitioned_replica_answers_nothing_and_recovers_within_a_second() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    cluster.partition(&[0]);
    for second in 0..20 {
        assert!(second < 4 || !cluster.has_recent_majority(0));
        assert_eq!(cluster.read(0), None);
        assert_eq!(cluster.propose(0, config(90 + second, "")), None, "no outcome without a majority");
    }
    assert_eq!(cluster.propose(1, config(5, "")), DONE);
    cluster.heal();
    cluster.advance(S);
    assert_eq!(cluster.read(0), Some(Some(document(5, "").version)));
    assert_eq!(cluster.propose(0, config(6, "")), DONE);
}

#[test]
fn older_serial_is_acknowledged_without_effect() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(3, "")), DONE);
    assert_eq!(cluster.propose(1, config(9, "")), DONE);
    assert_eq!(cluster.propose(2, config(3, "")), DONE);
    assert_eq!(cluster.propose(2, config(4, "late")), DONE);
    assert_eq!(cluster.read(0), Some(Some(document(9, "").version)));
}

#[test]
fn stale_drain_order_does_not_override_a_newer_one() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.partition(&[2]);
    assert_eq!(cluster.propose(2, drain("a", true)), None);
    assert_eq!(cluster.propose(0, drain("a", true)), DONE);
    assert_eq!(cluster.propose(1, drain("a", false)), DONE);
    cluster.heal();
    cluster.advance(3 * S);
    for number in 0..3 {
        assert!(!cluster.state(number).drains["a"].drained, "at {number}");
    }
}

/// Guards against quorums that still count replaced members.
#[test]
fn replaced_members_do_not_count_toward_quorums() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    let mut newest = 0;
    for serial in 1..=3 {
        assert_eq!(cluster.propose(newest, config(serial, "")), DONE);
        let oldest = serial as usize - 1;
        let zone = cluster.nodes[oldest].member.zone.clone();
        cluster.stop(oldest);
        cluster.advance(S);
        newest = cluster.join(&zone);
        cluster.advance(4 * S);
        assert!(cluster.voters(newest).contains(&newest), "a new member becomes a voter within `sync_time`");
    }
    assert_eq!(cluster.voters(newest), [3, 4, 5]);
    cluster.stop(3);
    cluster.advance(S);
    assert_eq!(cluster.propose(newest, config(8, "")), DONE);
    assert_eq!(cluster.read(4), Some(Some(document(8, "").version)));
}

#[test]
fn loss_right_after_a_handover_keeps_a_majority_and_all_data() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    let successor = cluster.join("a");
    cluster.advance(S);
    assert!(!cluster.voters(0).contains(&successor), "an unneeded member stays on standby");
    cluster.nodes[0].replica.begin_handover();
    while !cluster.nodes[0].replica.is_handover_complete(cluster.now) {
        cluster.advance(20 * MILLI);
    }
    cluster.stop(0);
    cluster.stop(1);
    cluster.advance(S);
    assert_eq!(cluster.voters(successor), [1, 2, 3]);
    assert_eq!(cluster.read(successor), Some(Some(document(1, "").version)));
    assert_eq!(cluster.propose(2, config(2, "")), DONE);
}

#[test]
fn replaced_member_with_its_old_disk_decides_nothing() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    cluster.stop(0);
    let successor = cluster.join("a");
    cluster.advance(4 * S);
    assert_eq!(cluster.voters(1), [1, 2, successor]);
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    cluster.stop(1);
    cluster.stop(2);
    cluster.start(0);
    cluster.advance(3 * S);
    assert_eq!(cluster.read(0), None, "a majority of its old membership, which no longer votes");
    assert_eq!(cluster.propose(0, config(3, "")), None);
    cluster.start(1);
    cluster.start(2);
    cluster.advance(3 * S);
    assert_eq!(cluster.read(0), Some(Some(document(2, "").version)));
    assert_eq!(cluster.voters(0), [1, 2, successor], "it stays on standby");
}

#[test]
fn stale_minority_and_wiped_member_form_no_quorum() {
    for zones in [&["a", "b", "c"][..], &["a", "a", "b"]] {
        let mut cluster = Cluster::new(zones);
        assert_eq!(cluster.propose(0, config(1, "")), DONE);
        cluster.partition(&[2]);
        cluster.advance(3 * S);
        assert_eq!(cluster.propose(0, config(2, "")), DONE);
        cluster.stop(0);
        cluster.wipe(1);
        cluster.heal();
        cluster.start(1);
        cluster.advance(10 * S);
        assert_eq!(cluster.read(2), None, "{zones:?}: one has stale state, the other none");
        assert_eq!(cluster.propose(1, config(3, "")), None);
        cluster.start(0);
        cluster.advance(3 * S);
        assert_eq!(cluster.read(2), Some(Some(document(2, "").version)));
        assert_eq!(cluster.propose(1, config(3, "")), DONE);
    }
}

#[test]
fn zone_with_lost_disks_recovers_from_a_surviving_minority() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    cluster.wipe(0);
    cluster.wipe(1);
    cluster.stop(2);
    cluster.start(2);
    cluster.advance(2 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None, "both wiped members may only be unreachable");
    cluster.start(0);
    cluster.advance(2 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None, "one of them may only be unreachable");
    cluster.start(1);
    cluster.advance(3 * S);
    assert_eq!(cluster.read(0), Some(Some(document(1, "").version)));
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    assert_eq!(cluster.voters(2), [0, 1, 2]);
}

#[test]
fn disks_lost_in_two_zones_block_reads_and_writes() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
    for number in [0, 1] {
        cluster.wipe(number);
        cluster.start(number);
    }
    cluster.advance(10 * S);
    assert_eq!(cluster.propose(2, config(2, "")), None);
    assert_eq!(cluster.read(0), None);
}

#[test]
fn unreachable_zone_delays_a_decision_only_until_its_timeout() {
    let mut cluster = Cluster::new(&["a", "a", "b"]);
    cluster.partition(&[2]);
    assert_eq!(cluster.propose(0, config(1, "")), None, "the other zone may only be slow");
    cluster.advance(2 * S);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
}

#[test]
fn standby_replaces_an_unreachable_voter() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    assert_eq!(cluster.voters(0), [0, 1, 2]);
    cluster.stop(1);
    cluster.advance(4 * S);
    assert_eq!(cluster.voters(0), [0, 2, 3]);
    cluster.stop(0);
    assert_eq!(cluster.propose(3, config(1, "")), DONE, "two of three vote");
    cluster.start(1);
    cluster.start(0);
    cluster.advance(5 * S);
    assert_eq!(cluster.decided_config(1), Some(document(1, "").version));
    assert_eq!(cluster.voters(1).len(), 3);
}

#[test]
fn member_catches_up_on_a_thousand_changes_within_a_second() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.stop(2);
    for serial in 1..=1_000 {
        assert_eq!(cluster.propose(serial as usize % 2, config(serial, "")), DONE);
    }
    cluster.start(2);
    cluster.advance(S);
    assert_eq!(cluster.decided_config(2), Some(document(1_000, "").version));
    assert_eq!(cluster.propose(2, config(1_001, "")), DONE);
}

#[test]
fn acknowledged_document_survives_a_full_restart_with_one_lost_disk() {
    for wiped in 0..3 {
        let mut cluster = Cluster::new(&["a", "a", "b"]);
        assert_eq!(cluster.propose(wiped, config(7, "")), DONE);
        (0..3).for_each(|number| cluster.stop(number));
        cluster.wipe(wiped);
        (0..3).for_each(|number| cluster.start(number));
        cluster.advance(4 * S);
        for number in 0..3 {
            assert_eq!(cluster.read(number), Some(Some(document(7, "").version)), "{wiped} {number}");
        }
    }
}

#[test]
fn change_accepted_by_one_replica_is_completed_or_discarded() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let ticket = cluster.submit(0, config(7, "x")).expect("the queue is not full");
    // Wait until the proposal is on the first disk and in flight to the others.
    while cluster.nodes[0].disk.record.state.config.is_none() {
        cluster.advance(2 * MILLI);
    }
    cluster.stop(0);
    cluster.partition(&[0]);
    let _ = ticket;
    cluster.advance(2 * S);
    let outcome = cluster.propose(1, config(7, "y"));
    assert!(outcome == DONE || outcome == SERIAL_TAKEN);
    cluster.heal();
    cluster.start(0);
    cluster.advance(2 * S);
    let held = cluster.read(0).expect("no fault is present");
    assert_eq!(held == Some(document(7, "y").version), outcome == DONE);
    assert!((0..3).all(|number| cluster.decided_config(number) == held));
}

fn trial_terms(version: u64) -> Change {
    let terms = format!("terms {version}").into_bytes();
    let position = TrialPosition { version, digest: digest(&terms), step: 0 };
    Change::TrialTerms(TrialRecord { tenant: "tenant".into(), position, terms })
}

/// Leaves a change on the disk of replica 0 alone: it stops once it has accepted its own proposal, before another has.
fn leave_unacknowledged(cluster: &mut Cluster, change: Change) {
    cluster.submit(0, change).expect("the queue is not full");
    let decided = cluster.nodes[0].replica.standing().decided;
    while cluster.nodes[0].disk.record.accepted <= decided {
        cluster.advance(2 * MILLI);
    }
    cluster.partition(&[0]);
    cluster.stop(0);
    cluster.advance(S);
    cluster.heal();
}

/// Guards against an acknowledgement without a write: an order that left the state as it was didn't overtake an earlier
/// one that nobody had acknowledged, and was undone once the store with that one came back.
#[test]
fn order_that_changes_nothing_overtakes_an_earlier_unacknowledged_one() {
    let names = |names: &[&str]| Change::Proxies(names.iter().map(|name| ((*name).into(), true)).collect());
    let cases = [
        (drain("b", true), drain("b", false)),
        (config(5, "kept"), config(7, "never acknowledged")),
        (names(&["p-1"]), names(&["p-1", "p-2"])),
        (trial_terms(1), trial_terms(2)),
    ];
    for (order, earlier) in cases {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        assert_eq!(cluster.propose(1, order.clone()), DONE);
        leave_unacknowledged(&mut cluster, earlier);
        assert_eq!(cluster.propose(1, order.clone()), DONE, "{order:?} again");
        let acknowledged = cluster.state(1).summary();
        cluster.start(0);
        cluster.advance(3 * S);
        for number in 0..3 {
            assert_eq!(cluster.state(number).summary(), acknowledged, "{order:?} at {number}");
        }
    }
}

#[test]
fn full_disk_promises_and_accepts_nothing_and_does_not_block_others() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.nodes[0].disk.full = true;
    assert_eq!(cluster.propose(0, config(1, "")), None, "its own disk fails");
    assert_eq!(cluster.propose(1, config(2, "")), DONE);
    assert_eq!(cluster.nodes[0].disk.record.state.config, None);
    cluster.nodes[0].disk.full = false;
    cluster.advance(2 * S);
    assert_eq!(cluster.read(0), Some(Some(document(2, "").version)));
}

#[test]
fn contact_counts_from_the_time_of_the_request() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let now = cluster.now;
    let moment = cluster.nodes[0].replica.current_as_of(now).expect("contact");
    assert!(moment < now, "an answer counts from its request at the latest");
    cluster.partition(&[0]);
    cluster.advance(3 * S);
    let later = cluster.nodes[0].replica.current_as_of(cluster.now).expect("earlier contact");
    assert!(later <= now + 4 * MILLI);
    assert!(!cluster.has_recent_majority(0));
}
