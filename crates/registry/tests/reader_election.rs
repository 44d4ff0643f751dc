//! Election of the registry that reads the list of workers.

use hingestage_fixtures::registry_member;
use hingestage_registry::reader_election::{ElectionSettings, ReaderElection};
use hingestage_rpc::messages::RegistryMember;
use hingestage_rpc::workers::WorkersVersion;

const S: u64 = 1_000_000;

fn member(name: &str) -> RegistryMember {
    registry_member(name, "a", ([10, 0, 0, 1], 7600).into())
}

/// Two registries that don't know of each other, the higher-ranked one first.
fn unacquainted_pair() -> (ReaderElection, ReaderElection) {
    let election = |name| ReaderElection::new(member(name), ElectionSettings::default());
    let (mut one, mut other) = (election("r1"), election("r2"));
    one.record_heartbeat(S, other.local_member(S));
    if one.next_version(S).is_some() {
        (election("r1"), other)
    } else {
        other = election("r1");
        (election("r2"), other)
    }
}

/// Exchanges heartbeats in both directions.
fn exchange_heartbeats(now: u64, one: &mut ReaderElection, other: &mut ReaderElection) {
    one.record_heartbeat(now, other.local_member(now));
    other.record_heartbeat(now, one.local_member(now));
}

/// A version of a third reader.
fn version(fence: u64, number: u64) -> WorkersVersion {
    WorkersVersion { fence, reader: 0, number }
}

/// Fencing number and list number of the next read.
fn next_read(election: &mut ReaderElection, now: u64) -> Option<(u64, u64)> {
    election.next_version(now).map(|version| (version.fence, version.number))
}

#[test]
fn second_reader_stops_on_contact_and_the_first_continues_with_a_higher_fence() {
    let (mut first, mut second) = unacquainted_pair();
    assert_eq!(next_read(&mut first, S), Some((1, 1)));
    second.observe_version(version(1, 4));
    second.observe_version(version(2, 7));
    assert_eq!(next_read(&mut second, S), Some((3, 1)), "versions of other readers raise the fence");
    let read = second.next_version(S).expect("elected");
    second.observe_version(read);
    exchange_heartbeats(2 * S, &mut first, &mut second);
    first.observe_version(read);
    assert_eq!(second.next_version(2 * S), None);
    assert_eq!(next_read(&mut first, 2 * S), Some((4, 1)), "a lower fence is raised above the highest seen");
}

#[test]
fn late_list_with_a_lower_version_does_not_lower_the_fence() {
    let (mut first, _) = unacquainted_pair();
    first.observe_version(version(9, 2));
    first.observe_version(version(3, 50));
    assert_eq!(next_read(&mut first, S), Some((10, 1)));
}

#[test]
fn readers_with_the_same_fence_produce_distinct_versions() {
    let (mut first, mut second) = unacquainted_pair();
    let one = first.next_version(S).expect("elected");
    let other = second.next_version(S).expect("elected without contact");
    assert_eq!((one.fence, one.number), (other.fence, other.number));
    assert_ne!(one, other);
    first.observe_version(one.max(other));
    second.observe_version(one.max(other));
    let (lower, higher) = if one < other { (&mut first, &mut second) } else { (&mut second, &mut first) };
    assert_eq!(next_read(higher, S), Some((1, 2)), "its list wins");
    assert_eq!(next_read(lower, S), Some((2, 1)), "the other takes a higher fence");
}

#[test]
fn reader_keeps_its_fence_and_increments_the_number() {
    let (mut first, _) = unacquainted_pair();
    for number in 1..5 {
        let next = first.next_version(S * number).expect("elected");
        assert_eq!((next.fence, next.number), (1, number));
        first.observe_version(next);
    }
}

#[test]
fn silent_reader_is_replaced_after_the_timeout() {
    let (mut first, mut second) = unacquainted_pair();
    exchange_heartbeats(S, &mut first, &mut second);
    let away_after = ElectionSettings::default().failure_timeout;
    assert_eq!(second.next_version(S + away_after - 1), None);
    assert!(second.next_version(S + away_after).is_some());
}

#[test]
fn reader_steps_down_after_repeated_failures_and_returns_later() {
    let (mut first, mut second) = unacquainted_pair();
    exchange_heartbeats(S, &mut first, &mut second);
    first.record_read(S, false);
    assert!(first.local_member(S).reads_list, "one failure is tolerated");
    first.record_read(S, true);
    first.record_read(S, false);
    assert!(first.local_member(S).reads_list, "only consecutive failures count");
    first.record_read(S, false);
    exchange_heartbeats(S, &mut first, &mut second);
    assert!(second.next_version(S).is_some());
    assert_eq!(first.next_version(S), None);
    let rested = S + ElectionSettings::default().step_down_time;
    exchange_heartbeats(rested, &mut first, &mut second);
    assert!(first.next_version(rested).is_some());
    assert_eq!(second.next_version(rested), None);
}

#[test]
fn some_registry_keeps_reading_when_none_can() {
    let (mut first, mut second) = unacquainted_pair();
    for election in [&mut first, &mut second] {
        election.record_read(S, false);
        election.record_read(S, false);
    }
    exchange_heartbeats(S, &mut first, &mut second);
    assert!(first.next_version(S).is_some() || second.next_version(S).is_some());
}

#[test]
fn registries_known_from_others_are_not_live_and_members_are_bounded() {
    let (mut first, mut second) = unacquainted_pair();
    let settings = ElectionSettings::default();
    second.add_candidate(first.local_member(S));
    assert!(second.next_version(S).is_some(), "no heartbeat has arrived from it");
    for number in 0..2 * settings.members_max {
        first.record_heartbeat(S, member(&format!("n{number}")));
        first.add_candidate(member(&format!("m{number}")));
    }
    assert!(first.members(S).len() <= settings.members_max + 1);
    first.remove_expired(S + settings.expire_after);
    assert_eq!(first.members(S).len(), 1);
}
