//! Endpoints of a name with servers that answer, fail, truncate, answer wrongly or forge responses.

mod common;

use common::*;
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::{RData, Record, RecordType};
use hingestage_srv::service::RECORDS_MAX;
use hingestage_srv::{Addresses, AnswerState, Endpoint, SrvSettings, SECOND};

const ABC: [Row; 3] = [("a", 80, 0, 10, 1), ("b", 80, 0, 10, 2), ("c", 80, 0, 10, 3)];
const ABCD: [Row; 4] = [ABC[0], ABC[1], ABC[2], ("d", 80, 0, 10, 4)];

fn warm(settings: SrvSettings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.advance(SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3, 4]);
    assert_eq!(harness.asked.len(), 1, "no queries for addresses from the additional section");
    harness
}

#[test]
fn records_are_refreshed_before_expiry_within_bounds() {
    // The TTL, and bounds of the time to the next query, in seconds.
    for (ttl, least, most) in
        [(60, 36, 54), (0, 3, 5), (1 << 31, 3, 5), (u32::MAX, 3, 5), (i32::MAX as u32, 180, 270)]
    {
        let mut harness = Harness::new(settings(1));
        harness.advance_to(400 * SECOND, |asked| asked.zone(&ABC, ttl));
        let next = (harness.asked[1].0 - harness.asked[0].0) / SECOND;
        assert!((least..=most).contains(&next), "lifetime {ttl}: asked again after {next} s");
    }
}

#[test]
fn refreshes_of_many_gateways_are_spread() {
    let mut per_second = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut harness = Harness::seeded(settings(1), seed);
        harness.advance_to(62 * SECOND, |asked| asked.zone(&ABC, 60));
        *per_second.entry(harness.asked[1].0 / SECOND).or_insert(0) += 1;
    }
    let most = per_second.values().max().unwrap();
    assert!(*most <= 16, "{most} of 100 in one second: {per_second:?}");
}

#[test]
fn next_answer_adds_and_removes_records() {
    let mut harness = warm(settings(1));
    let next: Vec<Row> = vec![ABCD[0], ABCD[1], ABCD[2], ("e", 80, 0, 10, 5)];
    harness.advance(60 * SECOND, |asked| asked.zone(&next, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3, 5]);
    assert_eq!(harness.published.len(), 2);
}

#[test]
fn rolling_deploy_is_followed_step_by_step() {
    let mut harness = warm(settings(1));
    for step in 1..=4u8 {
        let zone: Vec<Row> = (step..step + 4)
            .map(|n| (["", "a", "b", "c", "d", "e", "f", "g", "h"][n as usize], 80, 0, 10, n))
            .collect();
        harness.advance(60 * SECOND, |asked| asked.zone(&zone, 60));
        assert_eq!(harness.address_bytes(), (step..step + 4).collect::<Vec<u8>>(), "step {step}");
    }
    assert_eq!(harness.service.state(), AnswerState::Fresh);
}

#[test]
fn failures_remove_nothing_until_the_stale_time() {
    type Server = fn(&Asked) -> Reply;
    let kinds: [(&str, Server); 8] = [
        ("silence", |_| Reply::None),
        ("refused", |_| Reply::SocketError),
        ("servfail", |asked| asked.code(ResponseCode::ServFail)),
        ("refusal", |asked| asked.code(ResponseCode::Refused)),
        ("noise", |_| Reply::Bytes(vec![0xff; 40])),
        ("half a head", |_| Reply::Bytes(vec![1, 2, 3])),
        ("wrong number", |asked| {
            let mut reply = asked.reply();
            reply.metadata.id ^= 1;
            reply.add_answer(srv(asked.name(), &("x", 80, 0, 1, 66), 60));
            bytes(&reply)
        }),
        ("a question", |asked| bytes(&asked.message)),
    ];
    for (what, answer) in kinds {
        let mut harness = warm(SrvSettings { stale_for: 600 * SECOND, ..settings(1) });
        harness.advance(500 * SECOND, answer);
        assert_eq!(harness.address_bytes(), [1, 2, 3, 4], "{what}");
        assert!(matches!(harness.service.state(), AnswerState::Stale { .. }), "{what}");
        assert!(harness.has_logged("4 records held"), "{what}: {:?}", harness.logs);
        harness.advance(200 * SECOND, answer);
        assert_eq!(harness.address_bytes(), [0u8; 0], "{what}: past the stale time");
        assert_eq!(harness.service.state(), AnswerState::Expired, "{what}");
        harness.advance(40 * SECOND, |asked| asked.zone(&ABC, 60));
        assert_eq!(harness.address_bytes(), [1, 2, 3], "{what}: a good answer ends it");
    }
}

#[test]
fn outdated_zone_is_accepted_after_an_hour_of_servfail() {
    let mut harness = warm(SrvSettings { stale_for: 7_200 * SECOND, ..settings(1) });
    harness.advance(3_600 * SECOND, |asked| asked.code(ResponseCode::ServFail));
    let tries = harness.asked.len();
    assert!((3_600 / 31..3_600 / 5).contains(&tries), "{tries} tries in an hour");
    // The outdated zone has two of the four records and one removed long ago; it is accepted as a good answer.
    let old: Vec<Row> = vec![ABCD[0], ABCD[1], ("z", 80, 0, 10, 9)];
    harness.advance(31 * SECOND, |asked| asked.zone(&old, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 9]);
}

#[test]
fn nxdomain_is_accepted_only_after_the_confirmation_time() {
    for unknown in [true, false] {
        let mut harness = warm(SrvSettings { shrink_for: 120 * SECOND, ..settings(1) });
        let gone = |asked: &Asked| absent(&mut asked.reply(), unknown, 10);
        harness.advance(100 * SECOND, gone);
        assert_eq!(harness.address_bytes(), [1, 2, 3, 4]);
        assert!(matches!(harness.service.state(), AnswerState::Unconfirmed { .. }));
        assert!(harness.has_logged("0 of 4 records, doubted"), "{:?}", harness.logs);
        harness.advance(140 * SECOND, gone);
        assert_eq!(harness.address_bytes(), [0u8; 0], "accepted after the confirmation time");
        assert_eq!(harness.service.state(), AnswerState::Fresh);
    }
}

#[test]
fn shrunken_answer_adds_but_does_not_remove() {
    let mut harness = warm(settings(1));
    let few: [Row; 1] = [("e", 80, 0, 10, 5)];
    harness.advance(54 * SECOND, |asked| asked.zone(&few, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3, 4, 5]);
    harness.advance(30 * SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3, 4], "a complete answer is accepted at once");
    assert_eq!(harness.service.state(), AnswerState::Fresh);
}

#[test]
fn answer_with_half_of_the_records_is_accepted() {
    let mut harness = warm(settings(1));
    harness.advance(60 * SECOND, |asked| asked.zone(&ABCD[..2], 60));
    assert_eq!(harness.address_bytes(), [1, 2]);
}

#[test]
fn operator_can_accept_a_shrunken_answer() {
    let mut harness = warm(settings(1));
    let few = |asked: &Asked| asked.zone(&ABCD[..1], 60);
    harness.refresh_by_operator(false, few);
    assert_eq!(harness.address_bytes(), [1, 2, 3, 4]);
    harness.refresh_by_operator(true, few);
    assert_eq!(harness.address_bytes(), [1]);
    assert!(harness.has_logged("asked for by an operator, to be accepted"));
}

#[test]
fn root_target_means_service_unavailable() {
    let mut harness = warm(settings(1));
    let absent = |asked: &Asked| {
        let mut reply = asked.reply();
        let data = hickory_proto::rr::rdata::SRV::new(0, 0, 0, hickory_proto::rr::Name::root());
        reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
        bytes(&reply)
    };
    harness.advance(60 * SECOND, absent);
    assert_eq!(harness.address_bytes(), [0u8; 0], "an explicit denial is accepted at once");
}

#[test]
fn records_without_a_port_are_ignored() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| asked.zone(&[ABC[0], ("b", 0, 0, 1, 2)], 60));
    assert_eq!(harness.address_bytes(), [1]);
    assert!(harness.has_logged("1 records without a port"));
}

#[test]
fn truncated_answer_is_retried_over_tcp_at_the_same_server() {
    let mut harness = Harness::new(settings(2));
    harness.advance(SECOND, |asked| {
        let mut reply = asked.reply();
        reply.metadata.truncation = true;
        if asked.tcp {
            asked.zone(&ABC, 60)
        } else {
            bytes(&reply)
        }
    });
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    let asked: Vec<_> = harness.asked.iter().map(|a| (a.1, a.2)).collect();
    assert_eq!(asked, [(server(1), false), (server(1), true)]);
}

#[test]
fn tcp_failure_after_truncation_fails_over() {
    let failures: [fn(&Asked) -> Reply; 3] = [
        |_| Reply::SocketError,
        |_| Reply::None,
        |asked| match asked.zone(&ABC, 60) {
            Reply::Bytes(whole) => Reply::Bytes(whole[..whole.len() / 2].to_vec()),
            other => other,
        },
    ];
    for failure in failures {
        let mut harness = Harness::new(settings(2));
        harness.advance(3 * SECOND, |asked| {
            let mut reply = asked.reply();
            reply.metadata.truncation = true;
            match (asked.server == server(1), asked.tcp) {
                (true, true) => failure(asked),
                (true, false) => bytes(&reply),
                (false, _) => asked.zone(&ABC, 60),
            }
        });
        assert_eq!(harness.address_bytes(), [1, 2, 3]);
    }
}

#[test]
fn answer_cut_within_a_record_is_treated_as_truncated() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| match (asked.tcp, asked.zone(&ABC, 60)) {
        (false, Reply::Bytes(mut whole)) => {
            whole.truncate(whole.len() - 9);
            whole[2] |= 0x02;
            Reply::Bytes(whole)
        }
        (_, whole) => whole,
    });
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
}

#[test]
fn mismatched_answers_are_dropped_and_counted() {
    let mut harness = Harness::new(settings(1));
    let mut forged = 0;
    // The harness gives one response per query, so the forged responses arrive over several ticks.
    harness.advance(4 * SECOND, |asked| {
        forged += 1;
        let mut reply = asked.reply();
        reply.queries[0].name = name("_other._tcp.example.org");
        reply.add_answer(srv(asked.name(), &("x", 80, 0, 1, 66), 60));
        bytes(&reply)
    });
    assert!(forged > 0);
    assert_eq!(harness.address_bytes(), [0u8; 0]);
    assert_eq!(harness.service.counts().foreign, forged);
}

#[test]
fn additional_addresses_outside_the_queried_zone_are_ignored() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| {
        if asked.kind() != RecordType::SRV {
            return asked.zone(&ABC[..1], 60);
        }
        let mut reply = asked.reply();
        reply.add_answer(srv(asked.name(), &ABC[0], 60));
        let data = hickory_proto::rr::rdata::SRV::new(0, 1, 80, name("w.elsewhere.example.net"));
        reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
        // An address of no target, and one of a target outside the queried zone.
        reply.add_additional(address(&name("www.sala.example.org"), 66, 60));
        reply.add_additional(address(&name("w.elsewhere.example.net"), 67, 60));
        bytes(&reply)
    });
    assert_eq!(harness.address_bytes(), [1]);
    let asked: Vec<String> = harness.asked.iter().map(|a| a.3.to_string()).collect();
    assert!(asked.contains(&"w.elsewhere.example.net.".to_owned()), "queried separately: {asked:?}");
}

#[test]
fn alias_chains_are_followed_and_bounded() {
    let (a, b) = (name("a.example.org"), name("b.example.org"));
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| {
        let mut reply = asked.reply();
        if *asked.name() == name(NAME) {
            reply.add_answer(alias(asked.name(), &a, 20));
            reply.add_answer(alias(&a, &b, 300));
            return bytes(&reply);
        }
        asked.zone(&ABC, 60)
    });
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    let mut next = 0;
    harness.advance(20 * SECOND, |asked| {
        next += 1;
        asked.zone(&ABC, 60)
    });
    assert!(next > 0, "the alias's TTL of 20 s is the minimum and applies");

    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND / 2, |asked| {
        let mut reply = asked.reply();
        reply
            .add_answer(alias(asked.name(), &a, 60))
            .add_answer(alias(&a, &b, 60))
            .add_answer(alias(&b, &a, 60));
        bytes(&reply)
    });
    assert!(harness.has_logged("CNAME loop"), "{:?}", harness.logs);

    // An endless CNAME chain, one record per response.
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND / 2, |asked| {
        let mut reply = asked.reply();
        let next = name(&format!("n{}.example.org", asked.name().to_string().len()));
        let next = if next == *asked.name() { name("m.example.org") } else { next };
        reply.add_answer(alias(asked.name(), &next, 60));
        bytes(&reply)
    });
    assert!(harness.asked.len() <= 10, "{}", harness.asked.len());
}

#[test]
fn compression_pointer_loop_is_a_failure() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND / 2, |asked| {
        let Reply::Bytes(mut reply) = bytes(&asked.reply()) else { return Reply::None };
        reply[7] = 1;
        let here = reply.len() as u16;
        reply.extend_from_slice(&(0xc000 | here).to_be_bytes());
        reply.extend_from_slice(&[0, 33, 0, 1, 0, 0, 0, 60, 0, 7, 0, 0, 0, 0, 0, 80, 0]);
        Reply::Bytes(reply)
    });
    assert!(harness.has_logged("not readable"), "{:?}", harness.logs);
}

#[test]
fn server_without_edns_is_queried_without_it() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| match asked.message.edns {
        Some(_) => asked.code(ResponseCode::FormErr),
        None => asked.zone(&ABC, 60),
    });
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    assert_eq!(harness.asked.len(), 2);
}

#[test]
fn targets_with_one_address_are_merged() {
    let mut harness = Harness::new(settings(1));
    let rows: [Row; 3] = [("a", 80, 5, 30, 1), ("a2", 80, 2, 10, 1), ("b", 80, 2, 10, 2)];
    harness.advance(SECOND, |asked| asked.zone(&rows, 60));
    let Endpoint { priority, size, names, .. } = &harness.service.endpoints()[0];
    assert_eq!((harness.address_bytes(), *priority, *size, names.len()), (vec![1, 2], 2, 2.0, 2));
}

#[test]
fn weights_are_normalized_to_sizes() {
    let sizes = |rows: &[Row]| {
        let mut harness = Harness::new(settings(1));
        harness.advance(SECOND, |asked| asked.zone(rows, 60));
        harness.service.endpoints().iter().map(|e| e.size).collect::<Vec<_>>()
    };
    assert_eq!(sizes(&[("a", 80, 0, 30, 1), ("b", 80, 0, 10, 2)]), [1.5, 0.5]);
    assert_eq!(sizes(&[("a", 80, 0, 0, 1), ("b", 80, 0, 0, 2)]), [1.0, 1.0]);
    // A weight of 0 among others gives the minimum size (RFC 2782).
    assert_eq!(sizes(&[("a", 80, 0, 0, 1), ("b", 80, 0, 10, 2)])[0], 0.1);
    // Each priority has its own mean.
    assert_eq!(sizes(&[("a", 80, 0, 1, 1), ("b", 80, 1, 999, 2)]), [1.0, 1.0]);
}

#[test]
fn disagreeing_servers_do_not_cause_flapping() {
    let mut harness = Harness::new(settings(2));
    let mine =
        |asked: &Asked| asked.zone(if asked.server == server(1) { &ABCD[..2] } else { &ABCD[2..] }, 60);
    harness.advance(600 * SECOND, mine);
    assert_eq!(harness.address_bytes(), [1, 2]);
    assert_eq!(harness.published.len(), 1, "one server is queried while it responds");
    // The first server fails: its records stay for their lifetime beside those of the second.
    let fallen = |asked: &Asked| if asked.server == server(1) { Reply::None } else { mine(asked) };
    harness.advance(58 * SECOND, fallen);
    let joined = harness.published.iter().any(|(_, all)| all.len() == 4);
    assert!(joined, "{:?}", harness.published);
    harness.advance(70 * SECOND, fallen);
    assert_eq!(harness.address_bytes(), [3, 4], "expired, and absent from the responding server");
}

#[test]
fn addresses_outside_the_networks_are_rejected() {
    let networks = vec!["127.0.1.0/30".parse().unwrap()];
    let mut harness = Harness::new(SrvSettings { networks, ..settings(1) });
    harness.advance(SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    assert!(harness.has_logged("d.sala.example.org.: addresses outside"), "{:?}", harness.logs);
}

#[test]
fn missing_addresses_are_queried_in_the_configured_families() {
    for (addresses, kinds) in [
        (Addresses::V4, vec![RecordType::A]),
        (Addresses::V6, vec![RecordType::AAAA]),
        (Addresses::Both, vec![RecordType::A, RecordType::AAAA]),
    ] {
        let mut harness = Harness::new(SrvSettings { addresses, ..settings(1) });
        harness.advance(SECOND, |asked| {
            let mut reply = asked.reply();
            match asked.kind() {
                RecordType::SRV => drop(reply.add_answer(srv(asked.name(), &ABC[0], 60))),
                RecordType::A => drop(reply.add_answer(address(asked.name(), 1, 60))),
                _ => drop(reply.add_answer(address6(asked.name(), 60))),
            }
            bytes(&reply)
        });
        let asked: Vec<RecordType> = harness.asked.iter().skip(1).map(|a| a.4).collect();
        assert_eq!(asked, kinds);
        assert_eq!(harness.address_bytes().len(), kinds.len());
    }
}

#[test]
fn addresses_survive_failures_like_records() {
    let mut harness = Harness::new(settings(1));
    let bare = |asked: &Asked, ttl: u32| {
        let mut reply = asked.reply();
        match asked.kind() {
            RecordType::SRV => drop(reply.add_answer(srv(asked.name(), &ABC[0], 300))),
            _ => drop(reply.add_answer(address(asked.name(), 1, ttl))),
        }
        bytes(&reply)
    };
    harness.advance(SECOND, |asked| bare(asked, 5));
    let failing = |asked: &Asked| match asked.kind() {
        RecordType::SRV => bare(asked, 5),
        _ => asked.code(ResponseCode::ServFail),
    };
    harness.advance(120 * SECOND, failing);
    assert_eq!(harness.address_bytes(), [1]);
    // A negative answer: doubted for a minute, then accepted.
    let none = |asked: &Asked| match asked.kind() {
        RecordType::SRV => bare(asked, 5),
        _ => absent(&mut asked.reply(), false, 5),
    };
    harness.advance(50 * SECOND, none);
    assert_eq!(harness.address_bytes(), [1]);
    harness.advance(60 * SECOND, none);
    assert_eq!(harness.address_bytes(), [0u8; 0]);
}

#[test]
fn records_beyond_the_limit_are_dropped_by_priority() {
    let mut harness = Harness::new(SrvSettings { questions: 10_000.0, ..settings(1) });
    let all = RECORDS_MAX as u16 + 200;
    harness.advance(5 * SECOND, |asked| {
        let mut reply = asked.reply();
        match asked.kind() {
            RecordType::SRV if !asked.tcp => reply.metadata.truncation = true,
            RecordType::SRV => {
                for n in 0..all {
                    let data =
                        hickory_proto::rr::rdata::SRV::new(n / 1_000, 1, 80, name(&format!("w{n}.sala")));
                    reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
                }
            }
            _ => {
                let n: u16 = asked.name().to_string().split('.').next().unwrap()[1..].parse().unwrap();
                let [high, low] = n.to_be_bytes();
                let at = RData::A(hickory_proto::rr::rdata::A([127, 9, high, low].into()));
                reply.add_answer(Record::from_rdata(asked.name().clone(), 60, at));
            }
        }
        bytes(&reply)
    });
    assert_eq!(
        harness.service.endpoints().len(),
        RECORDS_MAX,
        "{:?} {:?}",
        harness.logs,
        harness.service.counts()
    );
    let better = harness.service.endpoints().iter().filter(|e| e.priority == 0).count();
    assert_eq!(better, 1_000, "all records of the better priority are kept");
    assert!(harness.published.len() < 30, "{} updates for one answer", harness.published.len());
}

#[test]
fn queries_are_rate_limited() {
    let mut harness = Harness::new(SrvSettings { questions: 10.0, ..settings(1) });
    harness.advance(10 * SECOND, |asked| {
        let mut reply = asked.reply();
        match asked.kind() {
            RecordType::SRV => {
                for n in 0..200u16 {
                    let data = hickory_proto::rr::rdata::SRV::new(0, 1, 80, target(&format!("w{n}")));
                    reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
                }
            }
            _ => drop(reply.add_answer(address(asked.name(), 1, 60))),
        }
        bytes(&reply)
    });
    assert!((95..=111).contains(&harness.asked.len()), "{} questions in 10 s", harness.asked.len());
}

#[test]
fn suspected_worker_triggers_bounded_refreshes() {
    let mut harness = warm(settings(1));
    harness.advance(10 * SECOND, |asked| asked.zone(&ABCD, 60));
    for _ in 0..200 {
        harness.service.suspect(harness.now);
        harness.advance(SECOND / 10, |asked| asked.zone(&ABC, 60));
    }
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    let asked = harness.asked.len() - 1;
    assert!((4..=5).contains(&asked), "{asked} queries in 20 s, at most one in 5 s expected");
}

#[test]
fn empty_zone_at_start_is_retried_before_its_lifetime() {
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| absent(&mut asked.reply(), true, 300));
    assert_eq!(harness.service.state(), AnswerState::Fresh);
    harness.advance(31 * SECOND, |asked| asked.zone(&ABC, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
}

#[test]
fn backward_clock_step_keeps_records_and_refreshes() {
    let mut harness = warm(settings(1));
    harness.advance(30 * SECOND, |asked| asked.zone(&ABCD, 60));
    let asked = harness.asked.len();
    harness.now = SECOND / 2;
    harness.advance(200 * SECOND, |asked| asked.zone(&ABC, 60));
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    assert!(harness.asked.len() > asked, "it keeps querying");
}

#[test]
fn server_cookie_is_returned_and_wrong_cookie_is_rejected() {
    use hickory_proto::op::Edns;
    use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
    let cookie = |asked: &Asked| match asked.message.edns.as_ref().and_then(|e| e.option(EdnsCode::Cookie)) {
        Some(EdnsOption::Unknown(_, bytes)) => bytes.clone(),
        _ => Vec::new(),
    };
    let with = |asked: &Asked, rows: &[Row], cookie: Vec<u8>| {
        let Reply::Bytes(bytes) = asked.zone(rows, 5) else { return Reply::None };
        let mut message = hickory_proto::op::Message::from_vec(&bytes).unwrap();
        let mut edns = Edns::new();
        edns.options_mut().insert(EdnsOption::Unknown(10, cookie));
        message.set_edns(edns);
        common::bytes(&message)
    };
    let mut harness = Harness::new(settings(1));
    harness.advance(SECOND, |asked| with(asked, &ABC, [cookie(asked), vec![9; 8]].concat()));
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    let mut given = Vec::new();
    harness.advance(5 * SECOND, |asked| {
        given = cookie(asked);
        // An off-path attacker also has to guess the cookie.
        with(asked, &ABCD, vec![0; 16])
    });
    assert_eq!(given[8..], [9; 8], "the server cookie is returned");
    assert_eq!(harness.address_bytes(), [1, 2, 3]);
    assert!(harness.service.counts().foreign > 0);
}

#[test]
fn explain_lists_records_with_their_source() {
    let harness = warm(settings(1));
    let text = harness.service.explain(harness.now);
    for part in [
        "_r._tcp.sala.example.org. fresh",
        "a.sala.example.org.:80 priority 0 weight 10: 127.0.1.1",
        "told by 127.0.0.1:53",
    ] {
        assert!(text.contains(part), "{text}");
    }
}
