//! Quota counts, penalties, caps on open requests, the customer table and counter failures.

mod common;
use common::*;
use hingestage_policy::*;
use std::collections::BTreeMap;

fn served(s: &mut Harness, customer: &str, n: usize, units: f64) -> usize {
    let before = s.sends.len();
    for _ in 0..n {
        s.request(customer, 0, 0, units);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
    }
    s.sends.len() - before
}

#[test]
fn new_customer_starts_with_an_even_share_of_the_burst() {
    let mut s = Harness::new(settings(), &[1]);
    // A burst of 20 over two gateways without a total: 10 units, then the penalty.
    assert_eq!(served(&mut s, "ada", 30, 1.0), 10, "an even share of the burst");
    let id = s.request("ada", 0, 0, 1.0);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(wait)) if wait > 0));
}

#[test]
fn total_includes_the_use_through_other_gateways() {
    let mut totals = BTreeMap::new();
    let mut a = Harness::new(settings(), &[1]);
    let mut b = Harness::new(settings(), &[1]);
    let mut sum = 0;
    for _ in 0..40 {
        for s in [&mut a, &mut b] {
            let before = s.sends.len();
            s.request("ada", 0, 0, 1.0);
            s.answer_calls(Counter::Answers, &mut totals);
            while !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
            s.advance(10 * MS);
            s.answer_calls(Counter::Answers, &mut totals);
            sum += s.sends.len() - before;
        }
    }
    // 0.4 s at 10 a second on top of the burst of 20.
    assert!((18..=26).contains(&sum), "{sum} admitted by both");
}

#[test]
fn penalized_customer_is_admitted_as_its_quota_refills() {
    let mut s = Harness::new(settings(), &[1]);
    let mut totals = BTreeMap::new();
    let mut late = 0;
    for round in 0..600 {
        let before = s.sends.len();
        s.request("ada", 0, 0, 1.0);
        s.answer_calls(Counter::Answers, &mut totals);
        s.advance(20 * MS);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
        late += if round >= 300 { s.sends.len() - before } else { 0 };
    }
    // 50 a second requested, 10 a second allowed: about 60 in the last 6 s.
    assert!((50..=66).contains(&late), "{late} admitted over 6 s");
}

#[test]
fn soft_plans_are_exempt_and_open_caps_hold() {
    let mut config = settings();
    config.plans[0].over_quota_value = 2.0;
    let mut s = Harness::new(config.clone(), &[1, 2]);
    assert_eq!(served(&mut s, "ada", 60, 1.0), 60);
    config.plans[0] = Plan { max_open: 4.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut s = Harness::new(config, &[1, 2, 3]);
    let ids: Vec<String> = (0..6).map(|_| s.request("ada", 0, 0, 1.0)).collect();
    let sent = ids.iter().filter(|id| s.sent(id) == 1).count();
    assert_eq!(sent, 2, "an even share of the cap");
}

#[test]
fn refused_calls_are_reported_again_and_late_ones_are_not() {
    for (behaviour, again) in [(Counter::Refuses, true), (Counter::Silent, false)] {
        let mut s = Harness::new(settings(), &[1]);
        s.request("ada", 0, 0, 3.0);
        s.advance(20 * MS);
        assert_eq!(s.calls[0].1, 3.0);
        s.answer_calls(behaviour, &mut BTreeMap::new());
        s.advance(700 * MS);
        let added: f64 = s.calls.iter().map(|(_, amount)| amount).sum();
        assert_eq!(added, if again { 3.0 } else { 0.0 });
    }
}

#[test]
fn units_are_reported_again_after_counter_data_loss() {
    let mut s = Harness::new(settings(), &[1]);
    let mut totals = BTreeMap::new();
    s.request("ada", 0, 0, 3.0);
    s.answer_calls(Counter::Answers, &mut totals);
    totals.clear();
    s.request("ada", 0, 0, 1.0);
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    assert!((totals.values().sum::<f64>() - 4.0).abs() < 1e-6, "{totals:?}");
}

#[test]
fn without_a_counter_each_gateway_keeps_to_about_its_share() {
    let mut s = Harness::new(settings(), &[1]);
    let mut n = 0;
    for _ in 0..1000 {
        n += served(&mut s, "ada", 1, 1.0);
        s.answer_calls(Counter::Silent, &mut BTreeMap::new());
        s.advance(20 * MS);
    }
    // 20 s: an even share is 100 on top of the burst, the whole quota 200.
    assert!((80..=140).contains(&n), "{n} admitted");
}

#[test]
fn calls_to_a_silent_counter_back_off() {
    let mut s = Harness::new(settings(), &[1]);
    let mut calls = 0;
    for n in 0..500 {
        s.request(&format!("c{n}"), 0, 0, 1.0);
        calls += s.calls.len();
        s.answer_calls(Counter::Silent, &mut BTreeMap::new());
        s.advance(10 * MS);
    }
    assert!((20..=70).contains(&calls), "{calls} calls in 5 s");
}

#[test]
fn actual_units_replace_the_estimate() {
    let mut config = settings();
    config.units_estimated = true;
    let mut s = Harness::new(config, &[1]);
    let mut totals = BTreeMap::new();
    let id = s.request("ada", 0, 0, 1.0);
    s.answer_calls(Counter::Answers, &mut totals);
    s.event(Event::AttemptDone(AttemptDone {
        request: RequestId(id),
        attempt: 0,
        outcome: Outcome::Ok,
        latency: 10 * MS,
        closed: true,
        true_units: Some(4.0),
    }));
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    assert!((totals.values().sum::<f64>() - 4.0).abs() < 1e-6, "{totals:?}");
}

#[test]
fn units_of_unsent_requests_are_given_back() {
    let mut s = Harness::new(settings(), &[]);
    let mut totals = BTreeMap::new();
    s.request("ada", 0, 0, 3.0);
    for _ in 0..10 {
        s.answer_calls(Counter::Answers, &mut totals);
        s.advance(200 * MS);
    }
    assert!(totals.values().sum::<f64>().abs() < 1e-6, "{totals:?}");
}

#[test]
fn dropping_a_customer_without_pending_units_is_safe() {
    let mut s = Harness::new(settings(), &[]);
    s.request("ada", 0, 0, 1.0);
    s.answer_calls(Counter::Refuses, &mut BTreeMap::new());
    let id = s.request("bob", 0, 0, 1.0);
    s.calls.clear();
    s.advance(60 * S);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(_))));
}

#[test]
fn scan_of_one_time_customers_evicts_no_penalized_customer() {
    let mut config = settings();
    config.counter = false;
    let mut s = Harness::new(config, &[1]);
    served(&mut s, "mallory", 40, 1.0);
    for n in 0..100_050 {
        s.event(Event::Request(Request {
            id: RequestId(format!("scan-{n}")),
            customer: CustomerId(format!("scan-{n}")),
            class: Some(ClassId(0)),
            plan: Some(PlanId(0)),
            units: 1.0,
            gateways: 2,
            first: 0,
            time_left: 2 * S,
        }));
        if let Some(o) = s.in_flight.pop() {
            s.finish(o, Outcome::Ok);
        }
        s.timers.clear();
        s.log.clear();
    }
    let id = s.request("mallory", 0, 0, 4.0);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(_))), "still penalized");
    let admitted = (0..200).filter(|n| served(&mut s, &format!("late-{n}"), 1, 1.0) == 1).count();
    assert!(admitted <= 20, "new customers share one entry: {admitted} admitted");
}

#[test]
fn unknown_plans_and_expired_requests_are_refused_and_odd_values_are_safe() {
    let mut s = Harness::new(settings(), &[1]);
    let odd = |id: &str, plan, class, units, time_left| {
        let (id, customer) = (RequestId(id.into()), CustomerId("ada".into()));
        Event::Request(Request { id, customer, class, plan, units, gateways: 0, first: 0, time_left })
    };
    s.event(odd("a", None, Some(ClassId(0)), 1.0, S));
    s.event(odd("b", Some(PlanId(99)), Some(ClassId(0)), 1.0, S));
    s.event(odd("c", Some(PlanId(0)), Some(ClassId(0)), 1.0, 0));
    s.event(odd("d", Some(PlanId(0)), None, f64::NAN, S));
    s.event(odd("e", Some(PlanId(0)), Some(ClassId(77)), -1.0, S));
    for id in ["a", "b", "c"] {
        assert_eq!(s.answer_of(id), Some(Answer::Refused(0)));
    }
    assert_eq!((s.sent("d"), s.sent("e")), (1, 1));
    // A request of an unknown class must not run twice.
    s.finish_oldest(Outcome::Error);
    assert_eq!((s.sent("d"), s.answer_of("d")), (1, Some(Answer::Failed)));
}

/// Guards against losing quota at slot boundaries: a customer over its quota must still get all of it.
#[test]
fn quota_level_carries_over_between_slots() {
    let mut s = Harness::new(settings(), &[1, 2, 3, 4]);
    let (mut totals, mut let_in) = (BTreeMap::new(), 0.0);
    for round in 0..400u64 {
        // 16 units a second on average, in bursts, with a quota of 10 a second.
        for _ in 0..if round % 25 < 5 { 8 } else { 0 } {
            let before = s.sends.len();
            s.request("ada", 0, 0, 2.0);
            s.answer_calls(Counter::Answers, &mut totals);
            while !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
            let_in += if round >= 100 { 2.0 * (s.sends.len() - before) as f64 } else { 0.0 };
            s.advance(10 * MS);
            s.answer_calls(Counter::Answers, &mut totals);
        }
        s.advance(if round % 25 < 5 { 120 * MS } else { 200 * MS });
        s.answer_calls(Counter::Answers, &mut totals);
    }
    assert!(let_in >= 330.0, "{let_in} units admitted, of 360 that the quota allows");
}
