//! Conflicting reports of discovery and DNS: named cases, and all short sequences of reports about one
//! worker.

use hingestage_membership::hosts::{HostList, Target};
use hingestage_membership::{Address, Membership, MembershipUpdate, Sources, WorkerUpdate};
use hingestage_policy::{Availability, ListScope, Micros};
use std::collections::HashSet;
use std::net::SocketAddr;

const GRACE: Micros = 30;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn members_with_both_sources() -> Membership {
    Membership::new(Sources::Dns { grace: GRACE, cold_at_start: true })
}

fn target(uid: &str, port: u16, state: &str, boot_ms: u64) -> Target {
    Target {
        uid: uid.into(),
        endpoint: at(port).to_string(),
        state: state.into(),
        boot_ms,
        ..Target::anonymous()
    }
}

fn list(targets: Vec<Target>) -> HostList {
    HostList { rev: 1, all: true, targets }
}

fn named(name: &str, port: u16) -> Address {
    Address { at: at(port), tier: 0, size: 1.0, names: vec![name.into()] }
}

fn of(change: &MembershipUpdate, port: u16) -> Vec<&WorkerUpdate> {
    change.workers.iter().filter(|w| w.location.is_some_and(|p| p.at == at(port))).collect()
}

/// Availability and start of the only worker at a port.
fn one(change: &MembershipUpdate, port: u16) -> Option<(Availability, Option<Micros>)> {
    let there = of(change, port);
    assert!(there.len() <= 1, "{there:?}");
    there.first().map(|w| (w.info.availability, w.info.started))
}

use Availability::{Draining, Ready};

#[test]
fn a_dns_record_does_not_undo_a_drain_from_discovery() {
    let mut members = members_with_both_sources();
    members.apply_list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    members.apply_dns(&[named("w", 1)], 10);
    let update = members.apply_list(&list(vec![target("w", 1, "draining", 5)]), ListScope::Delta, 20);
    assert_eq!(one(&update, 1), Some((Draining, Some(5_000))));
    let update = members.apply_dns(&[], 25);
    assert_eq!(one(&update, 1), Some((Draining, Some(5_000))));
    let update = members.apply_dns(&[named("w", 1)], 30);
    assert_eq!(one(&update, 1), Some((Draining, Some(5_000))), "DNS does not undo the list's drain");
    let update = members.apply_list(&list(vec![target("w", 1, "up", 5)]), ListScope::Delta, 40);
    assert_eq!(one(&update, 1), Some((Ready, Some(5_000))), "discovery revokes its own drain");
}

#[test]
fn a_new_dns_address_starts_when_first_seen() {
    let mut members = members_with_both_sources();
    members.apply_dns(&[named("a", 1)], 10);
    let update = members.apply_dns(&[named("a", 1), named("b", 2)], 50);
    assert_eq!(one(&update, 2), Some((Ready, Some(50))));
    let update = members.apply_dns(&[named("a", 1), named("b", 2)], 90);
    assert_eq!(one(&update, 2), Some((Ready, Some(50))), "repeated records keep the start time");
}

#[test]
fn cold_at_start_decides_on_the_addresses_of_the_first_answer() {
    for (cold_at_start, started) in [(true, Some(10)), (false, None)] {
        let mut members = Membership::new(Sources::Dns { grace: GRACE, cold_at_start });
        let update = members.apply_dns(&[named("a", 1)], 10);
        assert_eq!(one(&update, 1), Some((Ready, started)));
        let update = members.apply_dns(&[named("a", 1), named("b", 2)], 20);
        assert_eq!(one(&update, 2), Some((Ready, Some(20))), "only the first answer");
    }
}

#[test]
fn a_vanished_address_drains_expires_and_returns_as_a_new_worker() {
    let mut members = members_with_both_sources();
    members.apply_dns(&[named("a", 1), named("b", 2)], 10);
    let update = members.apply_dns(&[named("b", 2)], 50);
    assert_eq!(one(&update, 1), Some((Draining, None)));
    assert_eq!(members.next_expiry(), Some(50 + GRACE));
    assert!(members.expire(50 + GRACE - 1).is_none());
    let update = members.expire(50 + GRACE).unwrap();
    assert_eq!(one(&update, 1), None);
    assert_eq!(members.next_expiry(), None);
    let update = members.apply_dns(&[named("a", 1), named("b", 2)], 100);
    assert_eq!(one(&update, 1), Some((Ready, Some(100))));
}

#[test]
fn an_address_that_returns_within_the_grace_period_counts_as_restarted() {
    let mut members = members_with_both_sources();
    members.apply_dns(&[named("a", 1), named("b", 2)], 10);
    members.apply_dns(&[named("b", 2)], 50);
    let update = members.apply_dns(&[named("a", 1), named("b", 2)], 55);
    assert_eq!(one(&update, 1), Some((Ready, Some(55))), "assumed to be another process");
}

#[test]
fn another_name_at_the_same_address_counts_as_restarted() {
    let mut members = members_with_both_sources();
    members.apply_dns(&[named("a", 1)], 10);
    let update = members.apply_dns(&[named("a2", 1)], 50);
    assert_eq!(one(&update, 1), Some((Ready, Some(50))));
    let two = Address { names: vec!["a2".into(), "a3".into()], ..named("", 1) };
    let update = members.apply_dns(&[two], 60);
    assert_eq!(one(&update, 1), Some((Ready, Some(50))), "an additional name keeps the worker");
}

#[test]
fn a_refused_connection_resets_the_start_time() {
    let mut members = members_with_both_sources();
    let update = members.apply_dns(&[named("a", 1)], 10);
    let id = of(&update, 1)[0].info.id;
    let update = members.connection_refused(id, 5_000_000).unwrap();
    assert_eq!(one(&update, 1), Some((Ready, Some(5_000_000))));
    assert!(members.connection_refused(id, 5_500_000).is_none(), "refusals within the interval count once");
    assert!(members.connection_refused(id, 6_000_000).is_some());
    // Discovery reports start times itself.
    let mut members = members_with_both_sources();
    let update = members.apply_list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    let id = of(&update, 1)[0].info.id;
    assert!(members.connection_refused(id, 5_000_000).is_none());
}

#[test]
fn workers_known_to_one_source_only_are_merged() {
    let mut members = members_with_both_sources();
    members.apply_list(&list(vec![target("w1", 1, "up", 5), target("w2", 2, "up", 6)]), ListScope::Full, 10);
    let update = members.apply_dns(&[named("c", 3), named("d", 4)], 20);
    assert_eq!(update.workers.iter().filter(|w| w.location.is_some()).count(), 4);
    assert_eq!(one(&update, 1), Some((Ready, Some(5_000))));
    assert_eq!(one(&update, 3), Some((Ready, Some(20))));
}

#[test]
fn a_worker_keeps_its_id_when_discovery_reports_it_after_dns() {
    let mut members = members_with_both_sources();
    let before = members.apply_dns(&[named("a", 1)], 10);
    let update = members.apply_list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 20);
    assert_eq!(of(&before, 1)[0].info.id, of(&update, 1)[0].info.id);
    assert_eq!(
        of(&before, 1)[0].info.hash,
        of(&update, 1)[0].info.hash,
        "the hash does not depend on the source"
    );
    // A successor at the same address is another worker.
    let update = members.apply_list(&list(vec![target("w2", 1, "up", 50)]), ListScope::Full, 60);
    assert_ne!(of(&before, 1)[0].info.id, of(&update, 1)[0].info.id);
    assert_eq!(one(&update, 1), Some((Ready, Some(50_000))));
}

#[test]
fn a_removal_by_discovery_holds_while_dns_still_has_the_address() {
    let mut members = members_with_both_sources();
    members.apply_list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    members.apply_dns(&[named("w", 1)], 10);
    let update = members.apply_list(&list(vec![]), ListScope::Full, 20);
    assert_eq!(one(&update, 1), None);
    let update = members.apply_dns(&[named("w", 1)], 5_000_000);
    assert_eq!(one(&update, 1), None, "removals do not expire while DNS has the address");
    let update = members.apply_list(&list(vec![target("w2", 1, "up", 70)]), ListScope::Delta, 5_000_001);
    assert_eq!(one(&update, 1), Some((Ready, Some(70_000))), "discovery lists a successor");
    // Once DNS has dropped the address too, the removal is forgotten.
    members.apply_list(&list(vec![]), ListScope::Full, 5_000_002);
    members.apply_dns(&[], 5_000_003);
    members.expire(5_000_003 + GRACE);
    let update = members.apply_dns(&[named("w", 1)], 6_000_000);
    assert_eq!(one(&update, 1), Some((Ready, Some(6_000_000))));
}

#[test]
fn tables_are_bounded_and_shrink() {
    let mut members = members_with_both_sources();
    for round in 0..50u64 {
        let addresses: Vec<Address> =
            (0..200).map(|n| named(&format!("r{round}n{n}"), (round * 200 + n) as u16 + 1)).collect();
        members.apply_dns(&addresses, round * 100);
        members.apply_list(
            &list((0..200).map(|n| target(&format!("r{round}u{n}"), 20_000 + n, "up", 1)).collect()),
            ListScope::Full,
            round * 100,
        );
        members.expire(round * 100 + GRACE);
    }
    let (named, listed, ids) = members.sizes();
    assert!(named <= 400 && listed <= 400 && ids <= 1_400, "{named} {listed} {ids}");
}

// ---- all short sequences of reports ----

#[derive(Clone, Copy, Debug)]
enum Report {
    ListUp,
    ListRestart,
    ListDrain,
    ListRemove,
    ListAbsent,
    Srv,
    SrvOtherName,
    SrvAbsent,
    Wait,
}

const REPORTS: [Report; 9] = [
    Report::ListUp,
    Report::ListRestart,
    Report::ListDrain,
    Report::ListRemove,
    Report::ListAbsent,
    Report::Srv,
    Report::SrvOtherName,
    Report::SrvAbsent,
    Report::Wait,
];

/// An independent model of the table.
#[derive(Clone, Default)]
struct Expected {
    list: Option<(&'static str, u64)>,
    record: Option<(&'static str, Micros)>,
    vanished: Option<Micros>,
}

impl Expected {
    fn record(&mut self, report: Report, now: Micros) {
        let boot = self.list.map_or(1, |(_, boot)| boot);
        match report {
            Report::ListUp => self.list = Some(("up", boot)),
            Report::ListRestart => self.list = Some(("up", boot + 1)),
            Report::ListDrain => self.list = Some(("draining", boot)),
            Report::ListRemove => self.list = Some(("removed", boot)),
            // Absence removes a worker that was listed before.
            Report::ListAbsent => self.list = self.list.map(|(_, boot)| ("removed", boot)),
            Report::Srv | Report::SrvOtherName => {
                let name = if let Report::Srv = report { "a" } else { "b" };
                let same = self.record.filter(|(known, _)| *known == name && self.vanished.is_none());
                self.record = Some(same.unwrap_or((name, now)));
                self.vanished = None;
            }
            Report::SrvAbsent => {
                self.vanished = self.vanished.or(self.record.map(|_| now));
            }
            Report::Wait => {}
        }
    }

    fn expected_state(&self, now: Micros) -> Option<(Availability, Option<Micros>)> {
        let expired = self.vanished.is_some_and(|at| now >= at + GRACE);
        let list = self.list.filter(|(state, _)| *state != "removed");
        match (self.list, self.record) {
            (Some(("removed", _)), _) | (None, None) => None,
            _ if expired => None,
            _ => {
                let draining = self.vanished.is_some() || list.is_some_and(|(state, _)| state == "draining");
                let seen = self.record.filter(|_| list.is_none() && !draining).map(|(_, at)| at);
                let started = list.map(|(_, boot)| boot * 1_000).or(seen);
                Some((if draining { Draining } else { Ready }, started))
            }
        }
    }
}

/// Model of the expiry of entries: removals once DNS has dropped the address, and records past their grace
/// period once the worker is not listed.
fn forget(expected: &mut Expected, now: Micros) {
    let expired = expected.vanished.is_some_and(|at| now >= at + GRACE);
    let named = expected.list.is_some_and(|(state, _)| state != "removed");
    if expired && !named {
        // Both expire together while the removal is in place.
        (expected.record, expected.vanished) = (None, None);
    }
    if expected.record.is_none() && expected.list.is_some_and(|(state, _)| state == "removed") {
        expected.list = None;
    }
}

fn run_sequence(reports: &[Report]) -> Result<(), String> {
    let (mut members, mut expected, mut now) = (members_with_both_sources(), Expected::default(), 1_000);
    for (n, report) in reports.iter().enumerate() {
        now += 10;
        forget(&mut expected, now);
        expected.record(*report, now);
        let boot = expected.list.map_or(1, |(_, boot)| boot);
        let delta = |members: &mut Membership, state: &str| {
            members.apply_list(&list(vec![target("w", 1, state, boot)]), ListScope::Delta, now)
        };
        let change = match report {
            Report::ListUp | Report::ListRestart => Some(delta(&mut members, "up")),
            Report::ListDrain => Some(delta(&mut members, "draining")),
            Report::ListRemove => Some(delta(&mut members, "removed")),
            Report::ListAbsent => Some(members.apply_list(&list(vec![]), ListScope::Full, now)),
            Report::Srv => Some(members.apply_dns(&[named("a", 1)], now)),
            Report::SrvOtherName => Some(members.apply_dns(&[named("b", 1)], now)),
            Report::SrvAbsent => Some(members.apply_dns(&[], now)),
            Report::Wait => {
                now += GRACE;
                members.expire(now)
            }
        };
        if let Some(change) = change {
            let located: HashSet<_> =
                change.workers.iter().filter(|w| w.location.is_some()).map(|w| w.info.id).collect();
            let (update, wanted) = (one(&change, 1), expected.expected_state(now));
            if update != wanted || located != *members.located() {
                return Err(format!("{:?}: update {update:?}, wanted {wanted:?}", &reports[..=n]));
            }
        }
        forget(&mut expected, now);
    }
    Ok(())
}

#[test]
fn all_sequences_of_up_to_six_reports_match_the_table() {
    let mut count = 0;
    for length in 1..=6u32 {
        for n in 0..REPORTS.len().pow(length) {
            let reports: Vec<Report> =
                (0..length).map(|place| REPORTS[n / REPORTS.len().pow(place) % REPORTS.len()]).collect();
            if let Err(what) = run_sequence(&reports) {
                panic!("{what}");
            }
            count += 1;
        }
    }
    assert_eq!(count, 9 + 81 + 729 + 6_561 + 59_049 + 531_441);
}
