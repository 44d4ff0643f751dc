//! Gateway upgrades with two processes, and streamed request bodies.

mod common;

use common::*;
use hingestage_policy::*;

/// Units of customer `ada` that a process admits in one round; each attempt ends at once.
fn admit_round(harness: &mut Harness) -> f64 {
    let before = harness.sends.len();
    harness.request("ada", 0, 1, 4.0);
    harness.advance(10 * MS);
    let sent = harness.sends.len() - before;
    while !harness.in_flight.is_empty() {
        harness.finish_oldest(Outcome::Ok);
    }
    4.0 * sent as f64
}

/// Units used by two flooded processes of one gateway, and the gateway's share of the ceiling in that time;
/// `informed` is whether the older process learned of its successor.
fn overlap(informed: bool) -> (f64, f64) {
    let mut config = settings();
    config.counter = false;
    (config.plans[1].rate, config.plans[1].burst) = (1000.0, 100_000.0);
    let mut old = Harness::new(config.clone(), &[1]);
    old.request("ada", 0, 1, 0.1);
    old.advance(5 * S);
    if informed {
        old.event(Event::Successor(true));
    }
    let mut new = Harness { now: old.now, ..Harness::new(config.clone(), &[]) };
    new.gatekeeper = Gatekeeper::new(config, 11, new.now);
    new.list(ListScope::Cached, vec![worker(1)]);
    let began = old.now;
    let mut used = 0.0;
    for _ in 0..600 {
        used += admit_round(&mut old) + admit_round(&mut new);
    }
    let seconds = (old.now - began) as f64 / 1e6;
    // Half of the burst, slack and rate, for two gateways.
    (used, (40.0 + 4.0) / 2.0 + 10.0 * seconds)
}

#[test]
fn two_processes_of_a_gateway_share_its_part_of_a_ceiling() {
    let (used, part) = overlap(true);
    assert!(used <= part, "{used} units of {part}");
    assert!(used > 0.8 * part, "the test must reach the ceiling: {used} of {part}");
    let (used, part) = overlap(false);
    assert!(used > part, "the test must notice a missing event: {used} of {part}");
}

/// Guards against a gateway that stays blocked, or grants the same units again, after its successor ended.
#[test]
fn ceiling_share_refills_after_the_successor_ended() {
    let mut config = settings();
    config.counter = false;
    (config.plans[1].rate, config.plans[1].burst) = (1000.0, 100_000.0);
    let mut harness = Harness::new(config, &[1]);
    let drain = |harness: &mut Harness| (0..20).map(|_| admit_round(harness)).sum::<f64>();
    drain(&mut harness);
    harness.event(Event::Successor(true));
    harness.advance(3 * S);
    assert_eq!(drain(&mut harness), 0.0);
    harness.event(Event::Successor(false));
    assert_eq!(admit_round(&mut harness), 0.0, "units that the successor may have used are granted again");
    harness.advance(S);
    assert!(drain(&mut harness) > 0.0);
}

/// Guards against counting upload time as a worker's silence.
#[test]
fn worker_is_not_avoided_during_an_upload() {
    let avoided_after = |uploading: bool| {
        let mut harness = Harness::new(settings(), &[1, 2]);
        let id = harness.request("ada", 2, 0, 1.0);
        assert_eq!(harness.sent(&id), 1);
        if uploading {
            harness.event(Event::Uploading { request: RequestId(id.clone()), over: false });
        }
        harness.advance(1_900 * MS);
        if uploading {
            harness.event(Event::Uploading { request: RequestId(id), over: true });
        }
        harness.request("bob", 0, 0, 1.0);
        harness.advance(MS);
        let suspect = harness.sends[0].2;
        let sent = harness.sends.len();
        (0..30).for_each(|n| drop(harness.request(&format!("c{n}"), 2, 0, 1.0)));
        harness.sends[sent..].iter().filter(|(_, _, to)| *to == suspect).count()
    };
    assert_eq!(avoided_after(false), 0, "the test must notice silence");
    assert!(avoided_after(true) > 0, "avoided during an upload");
}
