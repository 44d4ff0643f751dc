//! Property tests with malformed responses: no panic, bounded state, and no effect of unrelated messages. The seed is
//! fixed; `PROPTEST_CASES=100000 cargo test --release -p hingestage-srv --test bytes` runs more cases.

mod common;

use common::*;
use hingestage_srv::message::{
    encode_query, parse_response, QueryParameters, Question, RecordKind, Response,
};
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
    Question { name: name(NAME), kind: RecordKind::Srv }
}

#[derive(Clone, Debug)]
enum Mutation {
    Truncate(usize),
    Overwrite(usize, u8),
    Insert(usize, Vec<u8>),
    Repeat(usize, usize),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        any::<usize>().prop_map(Mutation::Truncate),
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Overwrite(at, byte)),
        (any::<usize>(), proptest::collection::vec(any::<u8>(), 1..12))
            .prop_map(|(at, b)| Mutation::Insert(at, b)),
        // A compression pointer.
        (any::<usize>(), any::<u8>()).prop_map(|(at, to)| Mutation::Insert(at, vec![0xc0, to])),
        (any::<usize>(), 1..60usize).prop_map(|(at, length)| Mutation::Repeat(at, length)),
    ]
}

fn apply(bytes: &mut Vec<u8>, mutation: &Mutation) {
    let len = bytes.len().max(1);
    match mutation {
        Mutation::Truncate(at) => bytes.truncate(at % len),
        Mutation::Overwrite(at, byte) => {
            if let Some(place) = bytes.get_mut(at % len) {
                *place = *byte;
            }
        }
        Mutation::Insert(at, more) => {
            let at = at % len.min(bytes.len() + 1);
            bytes.splice(at..at, more.iter().copied());
        }
        Mutation::Repeat(at, length) => {
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
    fn noise_is_not_parsed_as_an_answer(bytes in proptest::collection::vec(any::<u8>(), 0..600), id in any::<u16>()) {
        let query = QueryParameters { id, edns: true, cookie: vec![7; 8] };
        let mut cookie = Vec::new();
        let response = parse_response(&bytes, &question(), &query, &mut cookie);
        prop_assert!(!matches!(response, Response::Found(_) | Response::Alias(..)), "{:?}", response);
        prop_assert!(cookie.len() <= 40);
    }

    #[test]
    fn mutated_answers_never_panic_and_state_stays_bounded(
        rows in rows(), ttl in any::<u32>(), mutations in proptest::collection::vec(mutation(), 0..6),
    ) {
        let mut harness = Harness::new(SrvSettings { networks: vec!["127.0.0.0/8".parse().unwrap()], ..settings(1) });
        harness.advance(SECOND / 2, |asked| match asked.zone(&rows, ttl) {
            Reply::Bytes(mut bytes) => {
                mutations.iter().for_each(|mutation| apply(&mut bytes, mutation));
                Reply::Bytes(bytes)
            }
            other => other,
        });
        for endpoint in harness.service.endpoints() {
            prop_assert!(endpoint.at.ip().is_loopback() && endpoint.at.port() > 0);
            prop_assert!((0.1..=10.0).contains(&endpoint.size));
        }
        prop_assert!(harness.service.endpoints().len() <= RECORDS_MAX * 16);
        prop_assert!(harness.asked.len() < 200, "{} questions in half a second", harness.asked.len());
    }

    #[test]
    fn noise_does_not_affect_later_answers(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let rows: [Row; 2] = [("a", 80, 0, 10, 1), ("b", 80, 0, 10, 2)];
        let mut harness = Harness::new(settings(1));
        harness.advance(SECOND, |asked| asked.zone(&rows, 5));
        harness.advance(20 * SECOND, |_| Reply::Bytes(bytes.clone()));
        prop_assert_eq!(harness.address_bytes(), [1, 2]);
        harness.advance(31 * SECOND, |asked| asked.zone(&rows[..1], 5));
        prop_assert_eq!(harness.address_bytes(), [1]);
    }

    #[test]
    fn encoded_queries_decode_to_the_same_question(id in any::<u16>(), edns in any::<bool>()) {
        let query = QueryParameters { id, edns, cookie: vec![3; 8] };
        let message = hickory_proto::op::Message::from_vec(&encode_query(&question(), &query)).unwrap();
        prop_assert_eq!(message.metadata.id, id);
        prop_assert_eq!(message.edns.is_some(), edns);
        prop_assert_eq!(&message.queries[0].name, &name(NAME));
    }
}
