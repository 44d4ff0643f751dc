//! Policy changes: new requests, open requests and recorded use.

mod common;
use common::*;
use hingestage_policy::*;
use std::collections::BTreeMap;

/// Two plans with quotas and without ceilings.
fn settings() -> Settings {
    let mut settings = common::settings();
    settings.plans[1] = Plan { rate: 12.0, ..settings.plans[0].clone() };
    settings
}

fn terms(change: impl FnOnce(&mut Terms)) -> Event {
    let mut terms = Terms { classes: settings().classes, plans: settings().plans };
    change(&mut terms);
    Event::Terms(Some(terms))
}

/// Units admitted for a customer in one burst.
fn admit_burst(harness: &mut Harness, customer: &str, plan: usize) -> usize {
    let mut sent = 0;
    for _ in 0..100 {
        let id = harness.request(customer, 0, plan, 1.0);
        harness.answer_calls(Counter::Answers, &mut BTreeMap::new());
        sent += usize::from(harness.sent(&id) > 0);
        while !harness.in_flight.is_empty() {
            harness.finish_oldest(Outcome::Ok);
        }
    }
    sent
}

#[test]
fn without_a_policy_new_requests_are_refused_and_open_ones_go_on() {
    let mut harness = Harness::new(settings(), &[1, 2]);
    let held = harness.request("a", 0, 0, 1.0);
    assert_eq!(harness.sent(&held), 1);
    harness.event(Event::Terms(None));
    let turned = harness.request("a", 0, 0, 1.0);
    assert_eq!(harness.sent(&turned), 0);
    assert!(
        matches!(harness.answer_of(&turned), Some(Answer::Refused(after)) if (S / 2..=S).contains(&after))
    );
    harness.finish_oldest(Outcome::Full);
    assert_eq!(harness.sent(&held), 2, "it is retried");
    harness.finish_oldest(Outcome::Ok);
    assert_eq!(harness.answer_of(&held), Some(Answer::Served));
    harness.event(terms(|_| {}));
    let begins = harness.request("a", 0, 0, 1.0);
    assert_eq!(harness.sent(&begins), 1);
}

#[test]
fn open_request_keeps_its_class_across_a_change() {
    let mut harness = Harness::new(settings(), &[1, 2, 3]);
    let before = harness.request("a", 0, 0, 1.0);
    harness.event(terms(|terms| terms.classes[0].attempts = 1));
    let after = harness.request("a", 0, 0, 1.0);
    for request in [&before, &after] {
        let at = harness.in_flight.iter().position(|out| out.request == *request).unwrap();
        let out = harness.in_flight.remove(at);
        harness.finish(out, Outcome::Full);
    }
    assert_eq!((harness.sent(&before), harness.sent(&after)), (2, 1));
}

#[test]
fn recorded_use_survives_a_rate_change() {
    let fresh = admit_burst(&mut Harness::new(settings(), &[1]), "a", 0);
    assert!(fresh >= 10, "{fresh}");
    for plan in [10.0, 11.0, 30.0] {
        let mut harness = Harness::new(settings(), &[1]);
        admit_burst(&mut harness, "a", 0);
        harness.event(terms(|terms| terms.plans[0].rate = plan));
        let more = admit_burst(&mut harness, "a", 0);
        assert!(more <= 2, "{more} more at {plan} a second");
        harness.advance(2 * S);
        assert!(admit_burst(&mut harness, "a", 0) > 2, "the quota refills");
    }
}

#[test]
fn lowered_burst_leaves_no_debt() {
    let mut harness = Harness::new(settings(), &[1]);
    harness.request("a", 0, 0, 1.0);
    harness.event(terms(|terms| terms.plans[0].burst = 4.0));
    assert!(admit_burst(&mut harness, "a", 0) <= 4);
    harness.advance(3 * S);
    assert!(admit_burst(&mut harness, "a", 0) >= 2, "the quota refills up to the new burst");
}

#[test]
fn recorded_use_moves_with_the_customer_to_another_plan() {
    let mut harness = Harness::new(settings(), &[1]);
    harness.event(terms(|_| {}));
    admit_burst(&mut harness, "a", 0);
    let moved = admit_burst(&mut harness, "a", 1);
    assert!(moved <= 2, "{moved} units of an empty quota");
    assert!(admit_burst(&mut harness, "b", 1) >= 10, "another customer has its own quota");
    let back = admit_burst(&mut harness, "a", 0);
    assert!(back <= 2, "{back} after the move back");
}

#[test]
fn open_requests_move_with_the_customer_to_another_plan() {
    let mut harness = Harness::new(settings(), &[1, 2]);
    harness.event(terms(|terms| terms.plans.iter_mut().for_each(|plan| plan.max_open = 2.0)));
    let first = harness.request("a", 0, 0, 1.0);
    let second = harness.request("a", 0, 1, 1.0);
    let third = harness.request("a", 0, 1, 1.0);
    assert_eq!(
        (harness.sent(&first), harness.sent(&second), harness.sent(&third)),
        (1, 0, 0),
        "an even share of a cap of two is one"
    );
    harness.finish_oldest(Outcome::Ok);
    let fourth = harness.request("a", 0, 1, 1.0);
    assert_eq!(harness.sent(&fourth), 1, "the first request, of the other plan, ended and made room");
    harness.finish_oldest(Outcome::Ok);
    harness.advance(10 * S);
    harness.answer_calls(Counter::Answers, &mut BTreeMap::new());
    assert_eq!(harness.gatekeeper.pending(), 0);
}
