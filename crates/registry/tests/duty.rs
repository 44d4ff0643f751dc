//! Which registry reads the list of workers.

use hingestage_fixtures::registry_member;
use hingestage_registry::duty::{Duty, Figures};
use hingestage_rpc::messages::RegistryMember;
use hingestage_rpc::workers::WorkersVersion;

const S: u64 = 1_000_000;

fn member(name: &str) -> RegistryMember {
    registry_member(name, "a", ([10, 0, 0, 1], 7600).into())
}

/// Two registries that have not heard of each other: the one that comes first and the other.
fn strangers() -> (Duty, Duty) {
    let duty = |name| Duty::new(member(name), Figures::default());
    let (mut one, mut other) = (duty("r1"), duty("r2"));
    one.heard(S, other.me(S));
    if one.read_under(S).is_some() {
        (duty("r1"), other)
    } else {
        other = duty("r1");
        (duty("r2"), other)
    }
}

/// Each hears the other at a moment.
fn hear_each_other(now: u64, one: &mut Duty, other: &mut Duty) {
    one.heard(now, other.me(now));
    other.heard(now, one.me(now));
}

/// A version of a reader that is none of the two.
fn version(fence: u64, number: u64) -> WorkersVersion {
    WorkersVersion { fence, reader: 0, number }
}

/// Fence and number under which a registry reads.
fn reads_under(duty: &mut Duty, now: u64) -> Option<(u64, u64)> {
    duty.read_under(now).map(|version| (version.fence, version.number))
}

#[test]
fn of_two_readers_one_stops_when_they_hear_each_other_and_the_lists_go_on_above_both() {
    let (mut first, mut second) = strangers();
    assert_eq!(reads_under(&mut first, S), Some((1, 1)));
    second.saw(version(1, 4));
    second.saw(version(2, 7));
    assert_eq!(reads_under(&mut second, S), Some((3, 1)), "what it did not read itself is above no fence");
    let read = second.read_under(S).expect("it has the duty");
    second.saw(read);
    hear_each_other(2 * S, &mut first, &mut second);
    first.saw(read);
    assert_eq!(second.read_under(2 * S), None);
    assert_eq!(reads_under(&mut first, 2 * S), Some((4, 1)), "the lower fence takes a higher number");
}

#[test]
fn a_lower_list_that_comes_late_lowers_nothing() {
    let (mut first, _) = strangers();
    first.saw(version(9, 2));
    first.saw(version(3, 50));
    assert_eq!(reads_under(&mut first, S), Some((10, 1)));
}

#[test]
fn two_readers_that_took_the_same_fence_never_give_two_lists_one_version() {
    let (mut first, mut second) = strangers();
    let one = first.read_under(S).expect("it has the duty");
    let other = second.read_under(S).expect("it thinks so, too");
    assert_eq!((one.fence, one.number), (other.fence, other.number));
    assert_ne!(one, other);
    first.saw(one.max(other));
    second.saw(one.max(other));
    let (lower, higher) = if one < other { (&mut first, &mut second) } else { (&mut second, &mut first) };
    assert_eq!(reads_under(higher, S), Some((1, 2)), "its list holds");
    assert_eq!(reads_under(lower, S), Some((2, 1)), "the other goes on above it");
}

#[test]
fn a_reader_goes_on_under_its_fence_with_growing_numbers() {
    let (mut first, _) = strangers();
    for number in 1..5 {
        let next = first.read_under(S * number).expect("it has the duty");
        assert_eq!((next.fence, next.number), (1, number));
        first.saw(next);
    }
}

#[test]
fn a_reader_that_falls_silent_is_replaced_within_its_time() {
    let (mut first, mut second) = strangers();
    hear_each_other(S, &mut first, &mut second);
    let away_after = Figures::default().away_after;
    assert_eq!(second.read_under(S + away_after - 1), None);
    assert!(second.read_under(S + away_after).is_some());
}

#[test]
fn a_reader_whose_calls_fail_leaves_the_duty_at_the_second_failure_and_takes_it_back_after_a_rest() {
    let (mut first, mut second) = strangers();
    hear_each_other(S, &mut first, &mut second);
    first.has_read(S, false);
    assert!(first.me(S).reads_list, "one failure is nothing");
    first.has_read(S, true);
    first.has_read(S, false);
    assert!(first.me(S).reads_list, "failures in a row count");
    first.has_read(S, false);
    hear_each_other(S, &mut first, &mut second);
    assert!(second.read_under(S).is_some());
    assert_eq!(first.read_under(S), None);
    let rested = S + Figures::default().rests_for;
    hear_each_other(rested, &mut first, &mut second);
    assert!(first.read_under(rested).is_some());
    assert_eq!(second.read_under(rested), None);
}

#[test]
fn where_nobody_can_read_somebody_goes_on_trying() {
    let (mut first, mut second) = strangers();
    for duty in [&mut first, &mut second] {
        duty.has_read(S, false);
        duty.has_read(S, false);
    }
    hear_each_other(S, &mut first, &mut second);
    assert!(first.read_under(S).is_some() || second.read_under(S).is_some());
}

#[test]
fn hearsay_keeps_nobody_alive_and_members_are_bounded() {
    let (mut first, mut second) = strangers();
    let figures = Figures::default();
    second.told_of(first.me(S));
    assert!(second.read_under(S).is_some(), "told of, never heard");
    for number in 0..2 * figures.members_max {
        first.heard(S, member(&format!("n{number}")));
        first.told_of(member(&format!("m{number}")));
    }
    assert!(first.members(S).len() <= figures.members_max + 1);
    first.tidy(S + figures.forget_after);
    assert_eq!(first.members(S).len(), 1);
}
