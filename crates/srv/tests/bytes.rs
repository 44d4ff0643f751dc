//! Bytes from the wire, spoilt in every way: nothing panics, nothing unbounded is kept, and what is not an answer
//! to the question changes nothing. `PROPTEST_CASES=100000 cargo test --release -p hingestage-srv --test bytes`
//! tries more; the draws are the same each time.

mod common;

use common::*;
use hingestage_srv::message::{ask, read, Kind, Question, Read, Stamp};
use hingestage_srv::service::RECORDS_MAX;
use hingestage_srv::{SrvSettings, SECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
    let (rng_seed, failure_persistence) = (RngSeed::Fixed(20_261_201), None);
    ProptestConfig { cases, rng_seed, failure_persistence, ..ProptestConfig::default() }
}

fn question() -> Question {
    Question { name: name(NAME), kind: Kind::Srv }
}

#[derive(Clone, Debug)]
enum Change {
    Cut(usize),
    Spoil(usize, u8),
    Insert(usize, Vec<u8>),
    Twice(usize, usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        any::<usize>().prop_map(Change::Cut),
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Change::Spoil(at, byte)),
        (any::<usize>(), proptest::collection::vec(any::<u8>(), 1..12))
            .prop_map(|(at, b)| Change::Insert(at, b)),
        // Pointers are what compression goes by.
        (any::<usize>(), any::<u8>()).prop_map(|(at, to)| Change::Insert(at, vec![0xc0, to])),
        (any::<usize>(), 1..60usize).prop_map(|(at, length)| Change::Twice(at, length)),
    ]
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    let len = bytes.len().max(1);
    match change {
        Change::Cut(at) => bytes.truncate(at % len),
        Change::Spoil(at, byte) => {
            if let Some(place) = bytes.get_mut(at % len) {
                *place = *byte;
            }
        }
        Change::Insert(at, more) => {
            let at = at % len.min(bytes.len() + 1);
            bytes.splice(at..at, more.iter().copied());
        }
        Change::Twice(at, length) => {
            let at = at % len;
            let piece = bytes[at.min(bytes.len())..(at + length).min(bytes.len())].to_vec();
            bytes.extend(piece);
        }
    }
}

fn rows() -> impl Strategy<Value = Vec<Row>> {
    let names = ["a", "b", "c", "d", "e"];
    let row = (0..names.len(), any::<u16>(), any::<u16>(), any::<u16>(), any::<u8>())
        .prop_map(move |(n, port, priority, weight, last)| (names[n], port, priority, weight, last));
    proptest::collection::vec(row, 0..12)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn noise_is_no_answer(bytes in proptest::collection::vec(any::<u8>(), 0..600), id in any::<u16>()) {
        let stamp = Stamp { id, extended: true, cookie: vec![7; 8] };
        let mut cookie = Vec::new();
        let read = read(&bytes, &question(), &stamp, &mut cookie);
        prop_assert!(!matches!(read, Read::Found(_) | Read::Leads(..)), "{:?}", read);
        prop_assert!(cookie.len() <= 40);
    }

    #[test]
    fn a_spoilt_answer_is_bounded_and_never_panics(
        rows in rows(), ttl in any::<u32>(), changes in proptest::collection::vec(change(), 0..6),
    ) {
        let mut world = World::new(SrvSettings { networks: vec!["127.0.0.0/8".parse().unwrap()], ..settings(1) });
        world.pass(SECOND / 2, |asked| match asked.zone(&rows, ttl) {
            Reply::Bytes(mut bytes) => {
                changes.iter().for_each(|change| apply(&mut bytes, change));
                Reply::Bytes(bytes)
            }
            other => other,
        });
        for endpoint in world.service.believed() {
            prop_assert!(endpoint.at.ip().is_loopback() && endpoint.at.port() > 0);
            prop_assert!((0.1..=10.0).contains(&endpoint.size));
        }
        prop_assert!(world.service.believed().len() <= RECORDS_MAX * 16);
        prop_assert!(world.asked.len() < 200, "{} questions in half a second", world.asked.len());
    }

    #[test]
    fn what_follows_noise_is_served_as_if_there_had_been_none(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let rows: [Row; 2] = [("a", 80, 0, 10, 1), ("b", 80, 0, 10, 2)];
        let mut world = World::new(settings(1));
        world.pass(SECOND, |asked| asked.zone(&rows, 5));
        world.pass(20 * SECOND, |_| Reply::Bytes(bytes.clone()));
        prop_assert_eq!(world.there(), [1, 2]);
        world.pass(31 * SECOND, |asked| asked.zone(&rows[..1], 5));
        prop_assert_eq!(world.there(), [1]);
    }

    #[test]
    fn every_question_is_read_as_it_was_asked(id in any::<u16>(), extended in any::<bool>()) {
        let stamp = Stamp { id, extended, cookie: vec![3; 8] };
        let message = hickory_proto::op::Message::from_vec(&ask(&question(), &stamp)).unwrap();
        prop_assert_eq!(message.metadata.id, id);
        prop_assert_eq!(message.edns.is_some(), extended);
        prop_assert_eq!(&message.queries[0].name, &name(NAME));
    }
}
