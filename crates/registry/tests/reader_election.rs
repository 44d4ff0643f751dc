//! Election of the registry that reads the list of workers.

use hingestage_fixtures::registry_member;
use hingestage_registry::duty::{Duty, Figures};
use hingestage_rpc::messages::RegistryMember;
use hingestage_rpc::workers::WorkersVersion;

const S: u64 = 1_000_000;

fn member(name: &str) -> RegistryMember {
    registry_member(name, "a", ([10, 0, 0, 1], 7600).into())
}

/// Two registries that don't know of each other, the higher-ranked one first.
fn unacquainted_pair() -> (Duty, Duty) {
    let election = |name| Duty::new(member(name), Figures::default());
    let (mut one, mut other) = (election("r1"), election("r2"));
    one.heard(S, other.me(S));
    if one.read_under(S).is_some() {
        (election("r1"), other)
    } else {
        other = election("r1");
        (election("r2"), other)
    }
}

/// Exchanges heartbeats in both directions.
fn exchange_heartbeats(now: u64, one: &mut Duty, other: &mut Duty) {
    one.heard(now, other.me(now));
    other.heard(now, one.me(now));
}

/// A version of a third reader.
fn version(fence: u64, number: u64) -> WorkersVersion {
    WorkersVersion { fence, reader: 0, number }
}

/// Fencing number and list number of the next read.
fn next_read(election: &mut Duty, now: u64) -> Option<(u64, u64)> {
    election.read_under(now).map(|version| (version.fence, version.number))
}

#[test]
fn second_reader_stops_on_contact_and_the_first_continues_with_a_higher_fence() {
    let (mut first, mut second) = unacquainted_pair();
    assert_eq!(next_read(&mut first, S), Some((1, 1)));
    second.saw(version(1, 4));
    second.saw(version(2, 7));
    assert_eq!(next_read(&mut second, S), Some((3, 1)), "versions of other readers raise the fence");
    let read = second.read_under(S).expect("elected");
    second.saw(read);
    exchange_heartbeats(2 * S, &mut first, &mut second);
    first.saw(read);
    assert_eq!(second.read_under(2 * S), None);
    assert_eq!(next_read(&mut first, 2 * S), Some((4, 1)), "a lower fence is raised above the highest seen");
}

#[test]
fn late_list_with_a_lower_version_does_not_lower_the_fence() {
    let (mut first, _) = unacquainted_pair();
    first.saw(version(9, 2));
    first.saw(version(3, 50));
    assert_eq!(next_read(&mut first, S), Some((10, 1)));
}

#[test]
fn readers_with_the_same_fence_produce_distinct_versions() {
    let (mut first, mut second) = unacquainted_pair();
    let one = first.read_under(S).expect("elected");
    let other = second.read_under(S).expect("elected without contact");
    assert_eq!((one.fence, one.number), (other.fence, other.number));
    assert_ne!(one, other);
    first.saw(one.max(other));
    second.saw(one.max(other));
    let (lower, higher) = if one < other { (&mut first, &mut second) } else { (&mut second, &mut first) };
    assert_eq!(next_read(higher, S), Some((1, 2)), "its list wins");
    assert_eq!(next_read(lower, S), Some((2, 1)), "the other takes a higher fence");
}

#[test]
fn reader_keeps_its_fence_and_increments_the_number() {
    let (mut first, _) = unacquainted_pair();
    for number in 1..5 {
        let next = first.read_under(S * number).expect("elected");
        assert_eq!((next.fence, next.number), (1, number));
        first.saw(next);
    }
}

#[test]
fn silent_reader_is_replaced_after_the_timeout() {
    let (mut first, mut second) = unacquainted_pair();
    exchange_heartbeats(S, &mut first, &mut second);
    let away_after = Figures::default().away_after;
    assert_eq!(second.read_under(S + away_after - 1), None);
    assert!(second.read_under(S + away_after).is_some());
}

#[test]
fn reader_steps_down_after_repeated_failures_and_returns_after_the_backoff() {
    let (mut first, mut second) = unacquainted_pair();
    exchange_heartbeats(S, &mut first, &mut second);
    first.has_read(S, false);
    assert!(first.me(S).reads_list, "one failure is tolerated");
    first.has_read(S, true);
    first.has_read(S, false);
    assert!(first.me(S).reads_list, "only consecutive failures count");
    first.has_read(S, false);
    exchange_heartbeats(S, &mut first, &mut second);
    assert!(second.read_under(S).is_some());
    assert_eq!(first.read_under(S), None);
    let rested = S + Figures::default().rests_for;
    exchange_heartbeats(rested, &mut first, &mut second);
    assert!(first.read_under(rested).is_some());
    assert_eq!(second.read_under(rested), None);
}

#[test]
fn some_registry_keeps_reading_when_none_can() {
    let (mut first, mut second) = unacquainted_pair();
    for election in [&mut first, &mut second] {
        election.has_read(S, false);
        election.has_read(S, false);
    }
    exchange_heartbeats(S, &mut first, &mut second);
    assert!(first.read_under(S).is_some() || second.read_under(S).is_some());
}

#[test]
fn registries_known_from_others_are_not_live_and_members_are_bounded() {
    let (mut first, mut second) = unacquainted_pair();
    let figures = Figures::default();
    second.told_of(first.me(S));
    assert!(second.read_under(S).is_some(), "no heartbeat has arrived from it");
    for number in 0..2 * figures.members_max {
        first.heard(S, member(&format!("n{number}")));
        first.told_of(member(&format!("m{number}")));
    }
    assert!(first.members(S).len() <= figures.members_max + 1);
    first.tidy(S + figures.forget_after);
    assert_eq!(first.members(S).len(), 1);
}
