//! What is believed of a name, against servers that are good, down, cut short, wrong and malicious.

mod common;

use common::*;
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::{RData, Record, RecordType};
use hingestage_srv::service::RECORDS_MAX;
use hingestage_srv::{Addresses, Endpoint, SrvSettings, Standing, SECOND};

const ABC: [Row; 3] = [("a", 80, 0, 10, 1), ("b", 80, 0, 10, 2), ("c", 80, 0, 10, 3)];
const ABCD: [Row; 4] = [ABC[0], ABC[1], ABC[2], ("d", 80, 0, 10, 4)];

fn warm(settings: SrvSettings) -> World {
    let mut world = World::new(settings);
    world.pass(SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(world.there(), [1, 2, 3, 4]);
    assert_eq!(world.asked.len(), 1, "addresses that come along are not asked for");
    world
}

#[test]
fn a_lifetime_is_met_before_its_end_and_its_bounds_hold() {
    // Told, seconds; and between which the next question comes.
    for (ttl, least, most) in
        [(60, 36, 54), (0, 3, 5), (1 << 31, 3, 5), (u32::MAX, 3, 5), (i32::MAX as u32, 180, 270)]
    {
        let mut world = World::new(settings(1));
        world.until(400 * SECOND, |asked| asked.zone(&ABC, ttl));
        let next = (world.asked[1].0 - world.asked[0].0) / SECOND;
        assert!((least..=most).contains(&next), "lifetime {ttl}: asked again after {next} s");
    }
}

#[test]
fn a_hundred_gateways_answered_together_do_not_ask_together() {
    let mut per_second = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut world = World::seeded(settings(1), seed);
        world.until(62 * SECOND, |asked| asked.zone(&ABC, 60));
        *per_second.entry(world.asked[1].0 / SECOND).or_insert(0) += 1;
    }
    let most = per_second.values().max().unwrap();
    assert!(*most <= 16, "{most} of 100 in one second: {per_second:?}");
}

#[test]
fn a_vanished_record_is_gone_with_the_next_answer_and_a_new_one_there() {
    let mut world = warm(settings(1));
    let next: Vec<Row> = vec![ABCD[0], ABCD[1], ABCD[2], ("e", 80, 0, 10, 5)];
    world.pass(60 * SECOND, |asked| asked.zone(&next, 60));
    assert_eq!(world.there(), [1, 2, 3, 5]);
    assert_eq!(world.believed.len(), 2);
}

#[test]
fn a_rolling_deploy_in_which_every_record_changes_is_followed_step_by_step() {
    let mut world = warm(settings(1));
    for step in 1..=4u8 {
        let zone: Vec<Row> = (step..step + 4)
            .map(|n| (["", "a", "b", "c", "d", "e", "f", "g", "h"][n as usize], 80, 0, 10, n))
            .collect();
        world.pass(60 * SECOND, |asked| asked.zone(&zone, 60));
        assert_eq!(world.there(), (step..step + 4).collect::<Vec<u8>>(), "step {step}");
    }
    assert_eq!(world.service.standing(), Standing::Fresh);
}

#[test]
fn silence_errors_and_nonsense_take_nothing_back_until_the_stated_time() {
    type Way = fn(&Asked) -> Reply;
    let kinds: [(&str, Way); 8] = [
        ("silence", |_| Reply::Nothing),
        ("refused", |_| Reply::Breaks),
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
        let mut world = warm(SrvSettings { stale_for: 600 * SECOND, ..settings(1) });
        world.pass(500 * SECOND, answer);
        assert_eq!(world.there(), [1, 2, 3, 4], "{what}");
        assert!(matches!(world.service.standing(), Standing::Stale { .. }), "{what}");
        assert!(world.noted("4 records held"), "{what}: {:?}", world.notes);
        world.pass(200 * SECOND, answer);
        assert_eq!(world.there(), [0u8; 0], "{what}: past the stated time");
        assert_eq!(world.service.standing(), Standing::GivenUp, "{what}");
        world.pass(40 * SECOND, |asked| asked.zone(&ABC, 60));
        assert_eq!(world.there(), [1, 2, 3], "{what}: a good answer ends it");
    }
}

#[test]
fn servfail_for_an_hour_then_an_old_zone() {
    let mut world = warm(SrvSettings { stale_for: 7_200 * SECOND, ..settings(1) });
    world.pass(3_600 * SECOND, |asked| asked.code(ResponseCode::ServFail));
    let tries = world.asked.len();
    assert!((3_600 / 31..3_600 / 5).contains(&tries), "{tries} tries in an hour");
    // The old zone knows three of the four, and one that is long gone: believed, as the last good answer.
    let old: Vec<Row> = vec![ABCD[0], ABCD[1], ("z", 80, 0, 10, 9)];
    world.pass(31 * SECOND, |asked| asked.zone(&old, 60));
    assert_eq!(world.there(), [1, 2, 9]);
}

#[test]
fn nxdomain_after_good_answers_is_doubted_and_then_believed() {
    for unknown in [true, false] {
        let mut world = warm(SrvSettings { shrink_for: 120 * SECOND, ..settings(1) });
        let gone = |asked: &Asked| absent(&mut asked.reply(), unknown, 10);
        world.pass(100 * SECOND, gone);
        assert_eq!(world.there(), [1, 2, 3, 4]);
        assert!(matches!(world.service.standing(), Standing::Doubted { .. }));
        assert!(world.noted("0 of 4 told, doubted"), "{:?}", world.notes);
        world.pass(140 * SECOND, gone);
        assert_eq!(world.there(), [0u8; 0], "told for so long, it is true");
        assert_eq!(world.service.standing(), Standing::Fresh);
    }
}

#[test]
fn an_absurdly_small_answer_takes_nothing_back_but_adds() {
    let mut world = warm(settings(1));
    let few: [Row; 1] = [("e", 80, 0, 10, 5)];
    world.pass(54 * SECOND, |asked| asked.zone(&few, 60));
    assert_eq!(world.there(), [1, 2, 3, 4, 5]);
    world.pass(30 * SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(world.there(), [1, 2, 3, 4], "a whole answer ends the doubt");
    assert_eq!(world.service.standing(), Standing::Fresh);
}

#[test]
fn half_of_what_is_believed_is_not_absurd() {
    let mut world = warm(settings(1));
    world.pass(60 * SECOND, |asked| asked.zone(&ABCD[..2], 60));
    assert_eq!(world.there(), [1, 2]);
}

#[test]
fn an_operator_has_a_small_answer_believed_at_once() {
    let mut world = warm(settings(1));
    let few = |asked: &Asked| asked.zone(&ABCD[..1], 60);
    world.operator(false, few);
    assert_eq!(world.there(), [1, 2, 3, 4]);
    world.operator(true, few);
    assert_eq!(world.there(), [1]);
    assert!(world.noted("asked for by an operator, to be believed"));
}

#[test]
fn a_target_of_the_root_says_that_the_service_is_not_there() {
    let mut world = warm(settings(1));
    let absent = |asked: &Asked| {
        let mut reply = asked.reply();
        let data = hickory_proto::rr::rdata::SRV::new(0, 0, 0, hickory_proto::rr::Name::root());
        reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
        bytes(&reply)
    };
    world.pass(60 * SECOND, absent);
    assert_eq!(world.there(), [0u8; 0], "a word that is meant is believed at once");
}

#[test]
fn records_without_a_port_are_left_out() {
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| asked.zone(&[ABC[0], ("b", 0, 0, 1, 2)], 60));
    assert_eq!(world.there(), [1]);
    assert!(world.noted("1 records without a port"));
}

#[test]
fn a_truncated_answer_is_asked_for_over_tcp_of_the_same_server() {
    let mut world = World::new(settings(2));
    world.pass(SECOND, |asked| {
        let mut reply = asked.reply();
        reply.metadata.truncation = true;
        if asked.tcp {
            asked.zone(&ABC, 60)
        } else {
            bytes(&reply)
        }
    });
    assert_eq!(world.there(), [1, 2, 3]);
    let asked: Vec<_> = world.asked.iter().map(|a| (a.1, a.2)).collect();
    assert_eq!(asked, [(server(1), false), (server(1), true)]);
}

#[test]
fn truncated_and_tcp_refused_hung_or_cut_means_the_next_server() {
    let ways: [fn(&Asked) -> Reply; 3] = [
        |_| Reply::Breaks,
        |_| Reply::Nothing,
        |asked| match asked.zone(&ABC, 60) {
            Reply::Bytes(whole) => Reply::Bytes(whole[..whole.len() / 2].to_vec()),
            other => other,
        },
    ];
    for way in ways {
        let mut world = World::new(settings(2));
        world.pass(3 * SECOND, |asked| {
            let mut reply = asked.reply();
            reply.metadata.truncation = true;
            match (asked.server == server(1), asked.tcp) {
                (true, true) => way(asked),
                (true, false) => bytes(&reply),
                (false, _) => asked.zone(&ABC, 60),
            }
        });
        assert_eq!(world.there(), [1, 2, 3]);
    }
}

#[test]
fn an_answer_cut_in_the_middle_of_a_record_that_says_so_is_truncated() {
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| match (asked.tcp, asked.zone(&ABC, 60)) {
        (false, Reply::Bytes(mut whole)) => {
            whole.truncate(whole.len() - 9);
            whole[2] |= 0x02;
            Reply::Bytes(whole)
        }
        (_, whole) => whole,
    });
    assert_eq!(world.there(), [1, 2, 3]);
}

#[test]
fn answers_to_something_else_are_dropped_and_guessing_ends_in_tcp() {
    let mut world = World::new(settings(1));
    let mut forged = 0;
    // One socket, many datagrams: the world gives one answer a question, so the guesses come by ticks.
    world.pass(4 * SECOND, |asked| {
        forged += 1;
        let mut reply = asked.reply();
        reply.queries[0].name = name("_other._tcp.example.org");
        reply.add_answer(srv(asked.name(), &("x", 80, 0, 1, 66), 60));
        bytes(&reply)
    });
    assert!(forged > 0);
    assert_eq!(world.there(), [0u8; 0]);
    assert_eq!(world.service.counts().foreign, forged);
}

#[test]
fn only_addresses_that_belong_to_the_question_come_along() {
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| {
        if asked.kind() != RecordType::SRV {
            return asked.zone(&ABC[..1], 60);
        }
        let mut reply = asked.reply();
        reply.add_answer(srv(asked.name(), &ABC[0], 60));
        let data = hickory_proto::rr::rdata::SRV::new(0, 1, 80, name("w.elsewhere.example.net"));
        reply.add_answer(Record::from_rdata(asked.name().clone(), 60, RData::SRV(data)));
        // No target; and a target, but under a zone that nobody asked about.
        reply.add_additional(address(&name("www.sala.example.org"), 66, 60));
        reply.add_additional(address(&name("w.elsewhere.example.net"), 67, 60));
        bytes(&reply)
    });
    assert_eq!(world.there(), [1]);
    let asked: Vec<String> = world.asked.iter().map(|a| a.3.to_string()).collect();
    assert!(asked.contains(&"w.elsewhere.example.net.".to_owned()), "asked for by itself: {asked:?}");
}

#[test]
fn aliases_are_followed_inside_an_answer_and_over_answers_and_not_in_a_circle() {
    let (a, b) = (name("a.example.org"), name("b.example.org"));
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| {
        let mut reply = asked.reply();
        if *asked.name() == name(NAME) {
            reply.add_answer(alias(asked.name(), &a, 20));
            reply.add_answer(alias(&a, &b, 300));
            return bytes(&reply);
        }
        asked.zone(&ABC, 60)
    });
    assert_eq!(world.there(), [1, 2, 3]);
    let mut next = 0;
    world.pass(20 * SECOND, |asked| {
        next += 1;
        asked.zone(&ABC, 60)
    });
    assert!(next > 0, "the alias's lifetime of 20 s is the least and counts");

    let mut world = World::new(settings(1));
    world.pass(SECOND / 2, |asked| {
        let mut reply = asked.reply();
        reply
            .add_answer(alias(asked.name(), &a, 60))
            .add_answer(alias(&a, &b, 60))
            .add_answer(alias(&b, &a, 60));
        bytes(&reply)
    });
    assert!(world.noted("lead in a circle"), "{:?}", world.notes);

    // Each answer leads on to one more name, for ever.
    let mut world = World::new(settings(1));
    world.pass(SECOND / 2, |asked| {
        let mut reply = asked.reply();
        let next = name(&format!("n{}.example.org", asked.name().to_string().len()));
        let next = if next == *asked.name() { name("m.example.org") } else { next };
        reply.add_answer(alias(asked.name(), &next, 60));
        bytes(&reply)
    });
    assert!(world.asked.len() <= 10, "{}", world.asked.len());
}

#[test]
fn compression_pointers_in_a_circle_are_an_answer_that_fails() {
    let mut world = World::new(settings(1));
    world.pass(SECOND / 2, |asked| {
        let Reply::Bytes(mut reply) = bytes(&asked.reply()) else { return Reply::Nothing };
        reply[7] = 1;
        let here = reply.len() as u16;
        reply.extend_from_slice(&(0xc000 | here).to_be_bytes());
        reply.extend_from_slice(&[0, 33, 0, 1, 0, 0, 0, 60, 0, 7, 0, 0, 0, 0, 0, 80, 0]);
        Reply::Bytes(reply)
    });
    assert!(world.noted("not readable"), "{:?}", world.notes);
}

#[test]
fn a_server_without_extensions_is_asked_without() {
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| match asked.message.edns {
        Some(_) => asked.code(ResponseCode::FormErr),
        None => asked.zone(&ABC, 60),
    });
    assert_eq!(world.there(), [1, 2, 3]);
    assert_eq!(world.asked.len(), 2);
}

#[test]
fn two_names_at_one_address_are_one_worker_as_large_as_both() {
    let mut world = World::new(settings(1));
    let rows: [Row; 3] = [("a", 80, 5, 30, 1), ("a2", 80, 2, 10, 1), ("b", 80, 2, 10, 2)];
    world.pass(SECOND, |asked| asked.zone(&rows, 60));
    let Endpoint { priority, size, names, .. } = &world.service.believed()[0];
    assert_eq!((world.there(), *priority, *size, names.len()), (vec![1, 2], 2, 2.0, 2));
}

#[test]
fn weights_are_sizes_and_none_at_all_is_no_preference() {
    let sizes = |rows: &[Row]| {
        let mut world = World::new(settings(1));
        world.pass(SECOND, |asked| asked.zone(rows, 60));
        world.service.believed().iter().map(|e| e.size).collect::<Vec<_>>()
    };
    assert_eq!(sizes(&[("a", 80, 0, 30, 1), ("b", 80, 0, 10, 2)]), [1.5, 0.5]);
    assert_eq!(sizes(&[("a", 80, 0, 0, 1), ("b", 80, 0, 0, 2)]), [1.0, 1.0]);
    // A weight of 0 among others is next to nothing (RFC 2782), but not nothing.
    assert_eq!(sizes(&[("a", 80, 0, 0, 1), ("b", 80, 0, 10, 2)])[0], 0.1);
    // Each priority has its own mean.
    assert_eq!(sizes(&[("a", 80, 0, 1, 1), ("b", 80, 1, 999, 2)]), [1.0, 1.0]);
}

#[test]
fn two_servers_that_disagree_for_ever_are_not_believed_by_turns() {
    let mut world = World::new(settings(2));
    let mine =
        |asked: &Asked| asked.zone(if asked.server == server(1) { &ABCD[..2] } else { &ABCD[2..] }, 60);
    world.pass(600 * SECOND, mine);
    assert_eq!(world.there(), [1, 2]);
    assert_eq!(world.believed.len(), 1, "one server is asked while it answers");
    // The first falls silent: what it told lives on for its lifetime beside what the other tells.
    let fallen = |asked: &Asked| if asked.server == server(1) { Reply::Nothing } else { mine(asked) };
    world.pass(58 * SECOND, fallen);
    let joined = world.believed.iter().any(|(_, all)| all.len() == 4);
    assert!(joined, "{:?}", world.believed);
    world.pass(70 * SECOND, fallen);
    assert_eq!(world.there(), [3, 4], "its lifetime is over, and the one that answers has them not");
}

#[test]
fn a_name_outside_of_the_networks_is_refused() {
    let networks = vec!["127.0.1.0/30".parse().unwrap()];
    let mut world = World::new(SrvSettings { networks, ..settings(1) });
    world.pass(SECOND, |asked| asked.zone(&ABCD, 60));
    assert_eq!(world.there(), [1, 2, 3]);
    assert!(world.noted("d.sala.example.org.: addresses outside"), "{:?}", world.notes);
}

#[test]
fn addresses_that_do_not_come_along_are_asked_for_in_the_families_wanted() {
    for (addresses, kinds) in [
        (Addresses::V4, vec![RecordType::A]),
        (Addresses::V6, vec![RecordType::AAAA]),
        (Addresses::Both, vec![RecordType::A, RecordType::AAAA]),
    ] {
        let mut world = World::new(SrvSettings { addresses, ..settings(1) });
        world.pass(SECOND, |asked| {
            let mut reply = asked.reply();
            match asked.kind() {
                RecordType::SRV => drop(reply.add_answer(srv(asked.name(), &ABC[0], 60))),
                RecordType::A => drop(reply.add_answer(address(asked.name(), 1, 60))),
                _ => drop(reply.add_answer(address6(asked.name(), 60))),
            }
            bytes(&reply)
        });
        let asked: Vec<RecordType> = world.asked.iter().skip(1).map(|a| a.4).collect();
        assert_eq!(asked, kinds);
        assert_eq!(world.there().len(), kinds.len());
    }
}

#[test]
fn an_address_that_can_not_be_had_any_more_is_kept_like_the_records() {
    let mut world = World::new(settings(1));
    let bare = |asked: &Asked, ttl: u32| {
        let mut reply = asked.reply();
        match asked.kind() {
            RecordType::SRV => drop(reply.add_answer(srv(asked.name(), &ABC[0], 300))),
            _ => drop(reply.add_answer(address(asked.name(), 1, ttl))),
        }
        bytes(&reply)
    };
    world.pass(SECOND, |asked| bare(asked, 5));
    let failing = |asked: &Asked| match asked.kind() {
        RecordType::SRV => bare(asked, 5),
        _ => asked.code(ResponseCode::ServFail),
    };
    world.pass(120 * SECOND, failing);
    assert_eq!(world.there(), [1]);
    // Told that there is none: doubted for a minute, then believed.
    let none = |asked: &Asked| match asked.kind() {
        RecordType::SRV => bare(asked, 5),
        _ => absent(&mut asked.reply(), false, 5),
    };
    world.pass(50 * SECOND, none);
    assert_eq!(world.there(), [1]);
    world.pass(60 * SECOND, none);
    assert_eq!(world.there(), [0u8; 0]);
}

#[test]
fn a_thousand_records_are_taken_and_past_the_bound_the_worst_left_out() {
    let mut world = World::new(SrvSettings { questions: 10_000.0, ..settings(1) });
    let all = RECORDS_MAX as u16 + 200;
    world.pass(5 * SECOND, |asked| {
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
    assert_eq!(world.service.believed().len(), RECORDS_MAX, "{:?} {:?}", world.notes, world.service.counts());
    let better = world.service.believed().iter().filter(|e| e.priority == 0).count();
    assert_eq!(better, 1_000, "those of the better priority are all there");
    assert!(world.believed.len() < 30, "{} words for one answer", world.believed.len());
}

#[test]
fn questions_keep_to_their_budget() {
    let mut world = World::new(SrvSettings { questions: 10.0, ..settings(1) });
    world.pass(10 * SECOND, |asked| {
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
    assert!((95..=111).contains(&world.asked.len()), "{} questions in 10 s", world.asked.len());
}

#[test]
fn a_worker_that_is_not_there_has_the_records_asked_for_early_and_seldom() {
    let mut world = warm(settings(1));
    world.pass(10 * SECOND, |asked| asked.zone(&ABCD, 60));
    for _ in 0..200 {
        world.service.suspect(world.now);
        world.pass(SECOND / 10, |asked| asked.zone(&ABC, 60));
    }
    assert_eq!(world.there(), [1, 2, 3]);
    let asked = world.asked.len() - 1;
    assert!((4..=5).contains(&asked), "{asked} questions in 20 s of suspicion, one in 5 s at most");
}

#[test]
fn a_start_that_meets_an_empty_zone_does_not_wait_for_its_lifetime() {
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| absent(&mut asked.reply(), true, 300));
    assert_eq!(world.service.standing(), Standing::Fresh);
    world.pass(31 * SECOND, |asked| asked.zone(&ABC, 60));
    assert_eq!(world.there(), [1, 2, 3]);
}

#[test]
fn a_clock_that_steps_back_loses_nothing_and_stops_nothing() {
    let mut world = warm(settings(1));
    world.pass(30 * SECOND, |asked| asked.zone(&ABCD, 60));
    let asked = world.asked.len();
    world.now = SECOND / 2;
    world.pass(200 * SECOND, |asked| asked.zone(&ABC, 60));
    assert_eq!(world.there(), [1, 2, 3]);
    assert!(world.asked.len() > asked, "it asks on");
}

#[test]
fn a_cookie_goes_back_to_its_server_and_another_one_is_foreign() {
    use hickory_proto::op::Edns;
    use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
    let cookie = |asked: &Asked| match asked.message.edns.as_ref().and_then(|e| e.option(EdnsCode::Cookie)) {
        Some(EdnsOption::Unknown(_, bytes)) => bytes.clone(),
        _ => Vec::new(),
    };
    let with = |asked: &Asked, rows: &[Row], cookie: Vec<u8>| {
        let Reply::Bytes(bytes) = asked.zone(rows, 5) else { return Reply::Nothing };
        let mut message = hickory_proto::op::Message::from_vec(&bytes).unwrap();
        let mut edns = Edns::new();
        edns.options_mut().insert(EdnsOption::Unknown(10, cookie));
        message.set_edns(edns);
        common::bytes(&message)
    };
    let mut world = World::new(settings(1));
    world.pass(SECOND, |asked| with(asked, &ABC, [cookie(asked), vec![9; 8]].concat()));
    assert_eq!(world.there(), [1, 2, 3]);
    let mut given = Vec::new();
    world.pass(5 * SECOND, |asked| {
        given = cookie(asked);
        // Somebody who does not see the question has to guess the cookie too.
        with(asked, &ABCD, vec![0; 16])
    });
    assert_eq!(given[8..], [9; 8], "the server's part comes back to it");
    assert_eq!(world.there(), [1, 2, 3]);
    assert!(world.service.counts().foreign > 0);
}

#[test]
fn it_explains_what_it_believes() {
    let world = warm(settings(1));
    let text = world.service.explain(world.now);
    for part in [
        "_r._tcp.sala.example.org. fresh",
        "a.sala.example.org.:80 priority 0 weight 10: 127.0.1.1",
        "told by 127.0.0.1:53",
    ] {
        assert!(text.contains(part), "{text}");
    }
}
