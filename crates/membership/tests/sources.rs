//! Sources that disagree: the hard cases by name, and every order of few words about one worker, tried whole.

use hingestage_membership::hosts::{HostList, Target};
use hingestage_membership::{Address, Change, Membership, Sources, Told};
use hingestage_policy::{Availability, ListScope, Micros};
use std::collections::HashSet;
use std::net::SocketAddr;

const GRACE: Micros = 30;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn both() -> Membership {
    Membership::new(Sources::Srv { grace: GRACE, cold_at_start: true })
}

fn target(uid: &str, port: u16, state: &str, boot_ms: u64) -> Target {
    Target {
        uid: uid.into(),
        endpoint: at(port).to_string(),
        state: state.into(),
        boot_ms,
        ..Target::nameless()
    }
}

fn list(targets: Vec<Target>) -> HostList {
    HostList { rev: 1, all: true, targets }
}

fn named(name: &str, port: u16) -> Address {
    Address { at: at(port), tier: 0, size: 1.0, names: vec![name.into()] }
}

fn of(change: &Change, port: u16) -> Vec<&Told> {
    change.workers.iter().filter(|w| w.place.is_some_and(|p| p.at == at(port))).collect()
}

/// The one worker at a port: whether it takes work, and its start.
fn one(change: &Change, port: u16) -> Option<(Availability, Option<Micros>)> {
    let there = of(change, port);
    assert!(there.len() <= 1, "{there:?}");
    there.first().map(|w| (w.info.availability, w.info.started))
}

use Availability::{Draining, Ready};

#[test]
fn a_record_drops_a_node_that_was_told_to_drain_and_comes_back() {
    let mut members = both();
    members.list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    members.srv(&[named("w", 1)], 10);
    let told = members.list(&list(vec![target("w", 1, "draining", 5)]), ListScope::Delta, 20);
    assert_eq!(one(&told, 1), Some((Draining, Some(5_000))));
    let told = members.srv(&[], 25);
    assert_eq!(one(&told, 1), Some((Draining, Some(5_000))));
    let told = members.srv(&[named("w", 1)], 30);
    assert_eq!(one(&told, 1), Some((Draining, Some(5_000))), "DNS does not undo the list's drain");
    let told = members.list(&list(vec![target("w", 1, "up", 5)]), ListScope::Delta, 40);
    assert_eq!(one(&told, 1), Some((Ready, Some(5_000))), "who told it takes it back");
}

#[test]
fn a_new_node_is_cold_from_first_sight_and_stays_the_same() {
    let mut members = both();
    members.srv(&[named("a", 1)], 10);
    let told = members.srv(&[named("a", 1), named("b", 2)], 50);
    assert_eq!(one(&told, 2), Some((Ready, Some(50))));
    let told = members.srv(&[named("a", 1), named("b", 2)], 90);
    assert_eq!(one(&told, 2), Some((Ready, Some(50))), "seen again is not started again");
}

#[test]
fn what_the_first_answer_names_is_cold_or_warm_as_the_operator_says() {
    for (cold_at_start, started) in [(true, Some(10)), (false, None)] {
        let mut members = Membership::new(Sources::Srv { grace: GRACE, cold_at_start });
        let told = members.srv(&[named("a", 1)], 10);
        assert_eq!(one(&told, 1), Some((Ready, started)));
        let told = members.srv(&[named("a", 1), named("b", 2)], 20);
        assert_eq!(one(&told, 2), Some((Ready, Some(20))), "only the first answer");
    }
}

#[test]
fn a_vanished_node_drains_ends_with_the_grace_and_is_new_when_it_comes_back() {
    let mut members = both();
    members.srv(&[named("a", 1), named("b", 2)], 10);
    let told = members.srv(&[named("b", 2)], 50);
    assert_eq!(one(&told, 1), Some((Draining, None)));
    assert_eq!(members.wake(), Some(50 + GRACE));
    assert!(members.lapse(50 + GRACE - 1).is_none());
    let told = members.lapse(50 + GRACE).unwrap();
    assert_eq!(one(&told, 1), None);
    assert_eq!(members.wake(), None);
    let told = members.srv(&[named("a", 1), named("b", 2)], 100);
    assert_eq!(one(&told, 1), Some((Ready, Some(100))));
}

#[test]
fn back_within_the_grace_is_a_new_life_too() {
    let mut members = both();
    members.srv(&[named("a", 1), named("b", 2)], 10);
    members.srv(&[named("b", 2)], 50);
    let told = members.srv(&[named("a", 1), named("b", 2)], 55);
    assert_eq!(one(&told, 1), Some((Ready, Some(55))), "nobody says that it is the process of before");
}

#[test]
fn another_name_at_the_same_address_is_a_new_life() {
    let mut members = both();
    members.srv(&[named("a", 1)], 10);
    let told = members.srv(&[named("a2", 1)], 50);
    assert_eq!(one(&told, 1), Some((Ready, Some(50))));
    let two = Address { names: vec!["a2".into(), "a3".into()], ..named("", 1) };
    let told = members.srv(&[two], 60);
    assert_eq!(one(&told, 1), Some((Ready, Some(50))), "one name more is not another worker");
}

#[test]
fn a_refused_connection_proves_that_whoever_answers_next_is_new() {
    let mut members = both();
    let told = members.srv(&[named("a", 1)], 10);
    let id = of(&told, 1)[0].info.id;
    let told = members.refused(id, 5_000_000).unwrap();
    assert_eq!(one(&told, 1), Some((Ready, Some(5_000_000))));
    assert!(members.refused(id, 5_500_000).is_none(), "refusals come in swarms");
    assert!(members.refused(id, 6_000_000).is_some());
    // Where the list tells starts, it knows better.
    let mut members = both();
    let told = members.list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    let id = of(&told, 1)[0].info.id;
    assert!(members.refused(id, 5_000_000).is_none());
}

#[test]
fn the_list_and_dns_each_know_half_of_the_fleet() {
    let mut members = both();
    members.list(&list(vec![target("w1", 1, "up", 5), target("w2", 2, "up", 6)]), ListScope::Full, 10);
    let told = members.srv(&[named("c", 3), named("d", 4)], 20);
    assert_eq!(told.workers.iter().filter(|w| w.place.is_some()).count(), 4);
    assert_eq!(one(&told, 1), Some((Ready, Some(5_000))));
    assert_eq!(one(&told, 3), Some((Ready, Some(20))));
}

#[test]
fn a_worker_known_to_dns_first_keeps_its_id_when_the_list_names_it() {
    let mut members = both();
    let before = members.srv(&[named("a", 1)], 10);
    let told = members.list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 20);
    assert_eq!(of(&before, 1)[0].info.id, of(&told, 1)[0].info.id);
    assert_eq!(of(&before, 1)[0].info.hash, of(&told, 1)[0].info.hash, "gateways draw alike for it");
    // Its successor at the address is another worker.
    let told = members.list(&list(vec![target("w2", 1, "up", 50)]), ListScope::Full, 60);
    assert_ne!(of(&before, 1)[0].info.id, of(&told, 1)[0].info.id);
    assert_eq!(one(&told, 1), Some((Ready, Some(50_000))));
}

#[test]
fn the_lists_removal_holds_while_dns_still_names_the_address() {
    let mut members = both();
    members.list(&list(vec![target("w", 1, "up", 5)]), ListScope::Full, 10);
    members.srv(&[named("w", 1)], 10);
    let told = members.list(&list(vec![]), ListScope::Full, 20);
    assert_eq!(one(&told, 1), None);
    let told = members.srv(&[named("w", 1)], 5_000_000);
    assert_eq!(one(&told, 1), None, "however long ago");
    let told = members.list(&list(vec![target("w2", 1, "up", 70)]), ListScope::Delta, 5_000_001);
    assert_eq!(one(&told, 1), Some((Ready, Some(70_000))), "the list names a successor there");
    // Once DNS has dropped it too, nothing is left to hold.
    members.list(&list(vec![]), ListScope::Full, 5_000_002);
    members.srv(&[], 5_000_003);
    members.lapse(5_000_003 + GRACE);
    let told = members.srv(&[named("w", 1)], 6_000_000);
    assert_eq!(one(&told, 1), Some((Ready, Some(6_000_000))));
}

#[test]
fn tables_are_bounded_and_shrink() {
    let mut members = both();
    for round in 0..50u64 {
        let addresses: Vec<Address> =
            (0..200).map(|n| named(&format!("r{round}n{n}"), (round * 200 + n) as u16 + 1)).collect();
        members.srv(&addresses, round * 100);
        members.list(
            &list((0..200).map(|n| target(&format!("r{round}u{n}"), 20_000 + n, "up", 1)).collect()),
            ListScope::Full,
            round * 100,
        );
        members.lapse(round * 100 + GRACE);
    }
    let (named, listed, ids) = members.sizes();
    assert!(named <= 400 && listed <= 400 && ids <= 1_400, "{named} {listed} {ids}");
}

// ---- every order of few words ----

#[derive(Clone, Copy, Debug)]
enum Word {
    ListUp,
    ListNewLife,
    ListDrains,
    ListRemoves,
    ListWithout,
    Srv,
    SrvOther,
    SrvWithout,
    Wait,
}

const WORDS: [Word; 9] = [
    Word::ListUp,
    Word::ListNewLife,
    Word::ListDrains,
    Word::ListRemoves,
    Word::ListWithout,
    Word::Srv,
    Word::SrvOther,
    Word::SrvWithout,
    Word::Wait,
];

/// What a person with the table in hand expects, kept apart from the code under test.
#[derive(Clone, Default)]
struct Expected {
    list: Option<(&'static str, u64)>,
    record: Option<(&'static str, Micros)>,
    vanished: Option<Micros>,
}

impl Expected {
    fn take(&mut self, word: Word, now: Micros) {
        let boot = self.list.map_or(1, |(_, boot)| boot);
        match word {
            Word::ListUp => self.list = Some(("up", boot)),
            Word::ListNewLife => self.list = Some(("up", boot + 1)),
            Word::ListDrains => self.list = Some(("draining", boot)),
            Word::ListRemoves => self.list = Some(("removed", boot)),
            // Absence is a removal of what was named before, and nothing else.
            Word::ListWithout => self.list = self.list.map(|(_, boot)| ("removed", boot)),
            Word::Srv | Word::SrvOther => {
                let name = if let Word::Srv = word { "a" } else { "b" };
                let same = self.record.filter(|(known, _)| *known == name && self.vanished.is_none());
                self.record = Some(same.unwrap_or((name, now)));
                self.vanished = None;
            }
            Word::SrvWithout => {
                self.vanished = self.vanished.or(self.record.map(|_| now));
            }
            Word::Wait => {}
        }
    }

    fn verdict(&self, now: Micros) -> Option<(Availability, Option<Micros>)> {
        let past = self.vanished.is_some_and(|at| now >= at + GRACE);
        let list = self.list.filter(|(state, _)| *state != "removed");
        match (self.list, self.record) {
            (Some(("removed", _)), _) | (None, None) => None,
            _ if past => None,
            _ => {
                let draining = self.vanished.is_some() || list.is_some_and(|(state, _)| state == "draining");
                let seen = self.record.filter(|_| list.is_none() && !draining).map(|(_, at)| at);
                let started = list.map(|(_, boot)| boot * 1_000).or(seen);
                Some((if draining { Draining } else { Ready }, started))
            }
        }
    }
}

/// Both forget what binds nothing any more: a removal once DNS has dropped the address, a record past its grace
/// once the list does not name it.
fn forget(expected: &mut Expected, now: Micros) {
    let past = expected.vanished.is_some_and(|at| now >= at + GRACE);
    let named = expected.list.is_some_and(|(state, _)| state != "removed");
    if past && !named {
        // Kept while the list's removal still stands beside it, so that both go together.
        (expected.record, expected.vanished) = (None, None);
    }
    if expected.record.is_none() && expected.list.is_some_and(|(state, _)| state == "removed") {
        expected.list = None;
    }
}

fn play(words: &[Word]) -> Result<(), String> {
    let (mut members, mut expected, mut now) = (both(), Expected::default(), 1_000);
    for (n, word) in words.iter().enumerate() {
        now += 10;
        forget(&mut expected, now);
        expected.take(*word, now);
        let boot = expected.list.map_or(1, |(_, boot)| boot);
        let delta = |members: &mut Membership, state: &str| {
            members.list(&list(vec![target("w", 1, state, boot)]), ListScope::Delta, now)
        };
        let change = match word {
            Word::ListUp | Word::ListNewLife => Some(delta(&mut members, "up")),
            Word::ListDrains => Some(delta(&mut members, "draining")),
            Word::ListRemoves => Some(delta(&mut members, "removed")),
            Word::ListWithout => Some(members.list(&list(vec![]), ListScope::Full, now)),
            Word::Srv => Some(members.srv(&[named("a", 1)], now)),
            Word::SrvOther => Some(members.srv(&[named("b", 1)], now)),
            Word::SrvWithout => Some(members.srv(&[], now)),
            Word::Wait => {
                now += GRACE;
                members.lapse(now)
            }
        };
        if let Some(change) = change {
            let placed: HashSet<_> =
                change.workers.iter().filter(|w| w.place.is_some()).map(|w| w.info.id).collect();
            let (told, wanted) = (one(&change, 1), expected.verdict(now));
            if told != wanted || placed != *members.placed() {
                return Err(format!("{:?}: told {told:?}, wanted {wanted:?}", &words[..=n]));
            }
        }
        forget(&mut expected, now);
    }
    Ok(())
}

#[test]
fn every_order_of_six_words_keeps_to_the_table() {
    let mut tried = 0;
    for length in 1..=6u32 {
        for n in 0..WORDS.len().pow(length) {
            let words: Vec<Word> =
                (0..length).map(|place| WORDS[n / WORDS.len().pow(place) % WORDS.len()]).collect();
            if let Err(what) = play(&words) {
                panic!("{what}");
            }
            tried += 1;
        }
    }
    assert_eq!(tried, 9 + 81 + 729 + 6_561 + 59_049 + 531_441);
}
