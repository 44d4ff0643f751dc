//! A gateway of two processes, and bodies that come in while they go out.

mod common;

use common::*;
use hingestage_policy::*;

/// Units of account `ada` that a process lets through in a round; each attempt ends at once.
fn let_through(stage: &mut Stage) -> f64 {
    let before = stage.sends.len();
    stage.ask("ada", 0, 1, 4.0);
    stage.pass(10 * MS);
    let sent = stage.sends.len() - before;
    while !stage.out.is_empty() {
        stage.done(Outcome::Ok);
    }
    4.0 * sent as f64
}

/// The highest use of the account by two processes of one gateway, each flooded, the older one told of the other
/// or not; and the gateway's part of the ceiling that they may use in that time.
fn overlap(told: bool) -> (f64, f64) {
    let mut figures = settings();
    figures.counter = false;
    (figures.plans[1].rate, figures.plans[1].burst) = (1000.0, 100_000.0);
    let mut old = Stage::new(figures.clone(), &[1]);
    old.ask("ada", 0, 1, 0.1);
    old.pass(5 * S);
    if told {
        old.event(Event::Successor(true));
    }
    let mut new = Stage { now: old.now, ..Stage::new(figures.clone(), &[]) };
    new.keeper = Gatekeeper::new(figures, 11, new.now);
    new.list(ListScope::Cached, vec![worker(1)]);
    let began = old.now;
    let mut used = 0.0;
    for _ in 0..600 {
        used += let_through(&mut old) + let_through(&mut new);
    }
    let seconds = (old.now - began) as f64 / 1e6;
    // Half of the depth, of the slack and of the rate: there are two gateways.
    (used, (40.0 + 4.0) / 2.0 + 10.0 * seconds)
}

#[test]
fn two_processes_of_one_gateway_keep_its_part_of_a_ceiling() {
    let (used, part) = overlap(true);
    assert!(used <= part, "{used} units of {part}");
    assert!(used > 0.8 * part, "the test must press against the ceiling: {used} of {part}");
    let (used, part) = overlap(false);
    assert!(used > part, "nothing would be noticed: {used} of {part}");
}

/// A successor that ends leaves its predecessor to go on, without what would have gathered meanwhile.
#[test]
fn a_gateway_whose_successor_is_gone_fills_its_part_again() {
    let mut figures = settings();
    figures.counter = false;
    (figures.plans[1].rate, figures.plans[1].burst) = (1000.0, 100_000.0);
    let mut stage = Stage::new(figures, &[1]);
    let drain = |stage: &mut Stage| (0..20).map(|_| let_through(stage)).sum::<f64>();
    drain(&mut stage);
    stage.event(Event::Successor(true));
    stage.pass(3 * S);
    assert_eq!(drain(&mut stage), 0.0);
    stage.event(Event::Successor(false));
    assert_eq!(let_through(&mut stage), 0.0, "what the other may have drawn is granted again");
    stage.pass(S);
    assert!(drain(&mut stage) > 0.0);
}

/// A body on its way says nothing of the worker that waits for it.
#[test]
fn a_worker_is_not_taken_for_silent_while_a_body_comes_in() {
    let avoided_after = |uploading: bool| {
        let mut stage = Stage::new(settings(), &[1, 2]);
        let id = stage.ask("ada", 2, 0, 1.0);
        assert_eq!(stage.sent(&id), 1);
        if uploading {
            stage.event(Event::Uploading { request: RequestId(id.clone()), over: false });
        }
        stage.pass(1_900 * MS);
        if uploading {
            stage.event(Event::Uploading { request: RequestId(id), over: true });
        }
        stage.ask("bob", 0, 0, 1.0);
        stage.pass(MS);
        let suspect = stage.sends[0].2;
        let sent = stage.sends.len();
        (0..30).for_each(|n| drop(stage.ask(&format!("c{n}"), 2, 0, 1.0)));
        stage.sends[sent..].iter().filter(|(_, _, to)| *to == suspect).count()
    };
    assert_eq!(avoided_after(false), 0, "silence goes unnoticed");
    assert!(avoided_after(true) > 0, "avoided for a body that is on its way");
}
