//! One replica among others whose words are given: what is durable, in force, current.

mod common;

use common::*;
use hingestage_replication::{Figures, Quorum, Replica, State};
use hingestage_rpc::messages::{Change, Summary, Update};

fn hears(replica: &mut Replica, now: u64, number: usize, summary: Summary) {
    replica.heard(now, &format!("s{number}").into(), now, summary);
}

#[test]
fn every_reading_quorum_meets_every_durable_one_and_so_does_a_rebuilding_one_without_the_lost_copy() {
    for replicas in 1..=9 {
        let quorum = Quorum::of(replicas);
        assert!(quorum.durable() * 2 > replicas);
        assert_eq!(quorum.current() + quorum.durable(), replicas + 1, "{replicas}");
        let holders_left = quorum.durable() - 1;
        let others = replicas - 1;
        assert!(holders_left == 0 || quorum.rebuild() + holders_left > others, "{replicas}");
    }
}

#[test]
fn durable_needs_a_majority() {
    let mut replica = first_of(&members(&["a", "b", "c", "d"]));
    replica.adopt(0, config(1));
    hears(&mut replica, 1, 1, summary(&[config(1)]));
    hears(&mut replica, 1, 2, summary(&[]));
    hears(&mut replica, 1, 3, summary(&[]));
    assert!(!replica.is_durable(1, &config(1)), "two of four");
    hears(&mut replica, 2, 2, summary(&[config(2)]));
    assert!(replica.is_durable(2, &config(1)), "what is newer has taken its place");
}

#[test]
fn a_replica_that_does_not_know_the_others_yet_acknowledges_nothing_and_is_not_current() {
    let figures = Figures { members_min: 3, ..Figures::default() };
    let mut lone = Replica::new(member(0, "a"), State::default(), Vec::new(), false, figures);
    lone.adopt(0, config(1));
    assert!(!lone.is_durable(0, &config(1)), "one of three, of whom two are not known");
    assert_eq!(lone.current_as_of(0), None);
    assert!(!lone.is_current_since(0, 0));
}

#[test]
fn durable_needs_a_second_zone_while_two_live_and_a_zone_that_is_lost_is_used_up() {
    let mut replica = first_of(&members(&["a", "a", "b"]));
    replica.adopt(0, config(1));
    hears(&mut replica, 0, 1, summary(&[config(1)]));
    assert!(!replica.is_durable(0, &config(1)), "the other zone has had no time to be heard");
    hears(&mut replica, 0, 2, summary(&[]));
    hears(&mut replica, S, 1, summary(&[config(1)]));
    assert!(!replica.is_durable(S, &config(1)), "both copies are in one zone and the other lives");
    hears(&mut replica, 2 * S, 1, summary(&[config(1)]));
    assert!(replica.is_durable(2 * S, &config(1)), "the other zone has been silent for long");
}

#[test]
fn a_replica_without_its_disk_counts_as_no_copy_and_speaks_for_nobody_until_enough_told_it() {
    let all = members(&["a", "b", "c"]);
    let mut proposer = first_of(&all);
    proposer.adopt(0, config(1));
    hears(&mut proposer, 1, 1, state(&[config(1)]).summary(true));
    assert!(!proposer.is_durable(1, &config(1)), "a recovering replica is no copy");
    assert_eq!(proposer.current_as_of(1), None, "nor does it say that there is nothing newer");
    assert!(!proposer.is_current_since(1, 1));

    let mut wiped = replica(&all, 1, State::default(), true);
    hears(&mut wiped, 5 * S, 0, summary(&[config(1)]));
    hears(&mut wiped, 5 * S, 2, summary(&[config(1)]));
    assert!(wiped.recovering(), "it has not what they have");
    wiped.adopt(5 * S, config(1));
    hears(&mut wiped, 5 * S, 0, summary(&[config(1)]));
    assert!(!wiped.recovering(), "both others have told it, and it has what they have");
}

#[test]
fn a_replica_without_its_disk_is_not_told_by_others_without_theirs_nor_by_too_few() {
    let mut wiped = replica(&members(&["a", "b", "c"]), 0, State::default(), true);
    hears(&mut wiped, 5 * S, 1, summary(&[]));
    hears(&mut wiped, 5 * S, 2, State::default().summary(true));
    assert!(wiped.recovering());
    assert_eq!(wiped.current_as_of(5 * S), None);
    assert!(!wiped.is_current_since(5 * S, 5 * S));
    assert!(!wiped.is_durable(5 * S, &config(1)));
}

#[test]
fn a_zone_that_lost_all_of_its_disks_is_rebuilt_from_the_other_zones_and_from_no_fewer() {
    let all = members(&["a", "a", "b"]);
    let mut wiped = replica(&all, 0, State::default(), true);
    hears(&mut wiped, 5 * S, 1, State::default().summary(true));
    hears(&mut wiped, 5 * S, 2, summary(&[config(1)]));
    assert!(wiped.recovering(), "it has not what the other zone has");
    wiped.adopt(5 * S, config(1));
    hears(&mut wiped, 5 * S, 2, summary(&[config(1)]));
    assert!(!wiped.recovering());

    let mut wiped = replica(&all, 0, state(&[config(1)]), true);
    hears(&mut wiped, 5 * S, 2, summary(&[config(1)]));
    assert!(wiped.recovering(), "the other one of its zone may hold what nobody else has heard of");

    let wide = members(&["a", "a", "b", "c"]);
    let mut wiped = replica(&wide, 0, State::default(), true);
    hears(&mut wiped, 5 * S, 1, State::default().summary(true));
    hears(&mut wiped, 5 * S, 2, summary(&[]));
    assert!(wiped.recovering(), "the durable copy may be in the zone that has not spoken");
}

#[test]
fn one_who_has_other_names_of_proxies_does_not_say_that_nothing_is_newer() {
    let all = members(&["a", "b", "c"]);
    let names = |name: &str| Update::Proxies([(name.into(), false)].into());
    let mut replica = first_of(&all);
    replica.adopt(0, names("edge-1"));
    hears(&mut replica, S, 1, summary(&[names("edge-2")]));
    assert_eq!(replica.current_as_of(2 * S), None, "as many, but not the same");
    hears(&mut replica, S, 2, summary(&[names("edge-1")]));
    assert_eq!(replica.current_as_of(2 * S), Some(S));
}

#[test]
fn what_is_said_unasked_neither_rebuilds_nor_counts_as_a_copy_nor_as_current() {
    let all = members(&["a", "b", "c"]);
    let mut wiped = replica(&all, 0, State::default(), true);
    let mut proposer = first_of(&all);
    proposer.adopt(0, config(1));
    for number in [1, 2] {
        let name = format!("s{number}").into();
        wiped.told(&name, summary(&[]));
        proposer.told(&name, summary(&[config(1)]));
    }
    assert!(wiped.recovering());
    assert!(!proposer.is_durable(0, &config(1)));
    assert_eq!(proposer.current_as_of(0), None);
    assert!(!proposer.is_current_since(0, 0));
}

#[test]
fn a_proposer_that_counted_a_copy_before_its_loss_is_done_when_that_replica_speaks_again() {
    let all = members(&["a", "b", "c", "d", "e"]);
    let mut proposer = first_of(&all);
    proposer.adopt(0, config(1));
    hears(&mut proposer, 0, 1, summary(&[config(1)]));
    let mut wiped = replica(&all, 1, State::default(), true);
    // The wiped replica's clock begins when it starts: here just after it answered the proposer.
    for number in [2, 3, 4] {
        hears(&mut wiped, S / 2, number, summary(&[]));
    }
    let counted = |proposer: &mut Replica, now| {
        hears(proposer, now, 3, summary(&[config(1)]));
        proposer.is_durable(now, &config(1))
    };
    assert!(wiped.recovering() || !counted(&mut proposer, S / 2), "it is counted and knows nothing");
    assert!(!counted(&mut proposer, 4 * S), "a copy that was last seen long ago");
}

#[test]
fn two_configurations_under_one_serial_converge_alike_in_either_order() {
    let (one, other) = (Update::Config(document(7, "x")), Update::Config(document(7, "y")));
    let forth = state(&[one.clone(), other.clone()]);
    let back = state(&[other, one]);
    assert_eq!(forth, back);
    assert_eq!(forth.missing(&back.summary(false)), Vec::new());
}

#[test]
fn older_after_newer_changes_nothing() {
    let names = |settled| Update::Proxies([("p".into(), settled)].into());
    let updates = [config(3), drain("a", 2, false), names(true)];
    let newest = state(&updates);
    let mut later = newest.clone();
    for older in [config(2), drain("a", 1, true), names(false)] {
        assert!(!later.is_news(&older));
        later.apply(older);
    }
    assert_eq!(later, newest);
}

#[test]
fn orders_from_two_sides_of_a_cut_converge_and_the_next_one_is_above_both() {
    let (left, right) = (drain("a", 1, true), drain("a", 1, false));
    assert_eq!(state(&[left.clone(), right.clone()]), state(&[right.clone(), left.clone()]));
    let mut replica = first_of(&members(&["a", "b", "c"]));
    replica.adopt(0, right);
    hears(&mut replica, 1, 1, summary(&[left]));
    let undrain = Change::Drain { zone: "a".into(), drained: false };
    assert_eq!(replica.update_for(undrain), drain("a", 2, false));
    let again = Change::Drain { zone: "a".into(), drained: true };
    assert_eq!(replica.update_for(again), drain("a", 1, true), "what holds already needs no new order");
}

#[test]
fn an_order_that_a_contrary_one_has_overtaken_is_not_acknowledged() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    let stale = replica.update_for(Change::Drain { zone: "a".into(), drained: true });
    replica.adopt(0, stale.clone());
    for number in [1, 2] {
        hears(&mut replica, 1, number, summary(&[drain("a", 2, false)]));
    }
    assert!(!replica.is_durable(1, &stale), "the zone is not drained anywhere else");
    replica.adopt(2, drain("a", 2, false));
    assert!(!replica.is_durable(2, &stale), "nor here any more");
    let anew = replica.update_for(Change::Drain { zone: "a".into(), drained: true });
    assert_eq!(anew, drain("a", 3, true));
}

#[test]
fn a_configuration_is_in_force_once_durable_or_old_enough_and_never_goes_back() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    replica.adopt(0, config(1));
    assert_eq!(serial_in_force(&replica), None);
    hears(&mut replica, 1, 1, summary(&[config(1)]));
    assert_eq!(serial_in_force(&replica), Some(1));
    replica.adopt(S, config(5));
    replica.adopt(S, config(4));
    assert_eq!(serial_in_force(&replica), Some(1));
    replica.refresh(S + 1_500_000);
    assert_eq!(serial_in_force(&replica), Some(5), "it may be in force elsewhere by now");
}

#[test]
fn a_word_that_comes_late_takes_nothing_back() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    hears(&mut replica, 2 * S, 1, summary(&[config(1)]));
    // Said before the answer above, but on another connection; and an answer to an older question.
    replica.told(&"s1".into(), summary(&[]));
    replica.heard(2 * S, &"s1".into(), S, summary(&[]));
    assert!(!replica.is_current_since(2 * S, 2 * S), "that replica has said that there is something newer");
    assert_eq!(replica.current_as_of(2 * S), None);
}

#[test]
fn a_read_is_current_only_by_answers_asked_for_since_it_began() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    hears(&mut replica, S, 1, summary(&[]));
    assert!(!replica.is_current_since(2 * S, 2 * S));
    assert_eq!(replica.current_as_of(2 * S), Some(S));
    hears(&mut replica, 3 * S, 2, summary(&[config(1)]));
    assert!(!replica.is_current_since(3 * S, 2 * S), "that one has something newer");
    assert_eq!(replica.current_as_of(3 * S), Some(S));
    replica.adopt(3 * S, config(1));
    assert!(replica.is_current_since(3 * S, 2 * S));
}
