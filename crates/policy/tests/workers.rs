//! Worker selection, health, in-flight limits and retries.

mod common;
use common::*;
use hingestage_policy::*;

/// Ends every attempt that has been in flight for its worker's `time`; `None` never ends.
fn serve(s: &mut Harness, time: impl Fn(u64) -> Option<Micros>, outcome: impl Fn(u64) -> Outcome) {
    let (due, rest) = std::mem::take(&mut s.in_flight)
        .into_iter()
        .partition(|o: &InFlight| time(o.worker).is_some_and(|t| s.now >= o.sent + t));
    s.in_flight = rest;
    for o in due {
        let outcome = outcome(o.worker);
        s.finish(o, outcome);
    }
}

#[test]
fn slow_workers_get_fewer_concurrent_requests() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let mut out = Vec::new();
    for step in 0..1500u64 {
        s.request(&format!("c{step}"), 2, 0, 1.0);
        s.advance(10 * MS);
        let slow = step > 500;
        serve(&mut s, |_| Some(if slow { 200 * MS } else { 50 * MS }), |_| Outcome::Ok);
        out.push(s.in_flight.len());
    }
    assert!(out[450..500].iter().all(|n| *n >= 4), "a fast fleet serves all of 100 a second");
    assert!(out[1400..].iter().all(|n| *n <= 3), "{:?}", &out[1400..]);
}

#[test]
fn held_requests_go_newest_first_and_old_ones_are_refused_early() {
    let mut s = Harness::new(settings(), &[1]);
    let ids: Vec<String> = (0..6).map(|n| s.request(&format!("c{n}"), 2, 0, 1.0)).collect();
    let sent = |s: &Harness| ids.iter().filter(|id| s.sent(id) > 0).count();
    let first = sent(&s);
    assert!(first < 6, "the in-flight limit holds some back");
    s.advance(50 * MS);
    s.finish_oldest(Outcome::Ok);
    assert_eq!(s.sent(&ids[5]), 1, "the newest is dispatched first");
    s.advance(250 * MS);
    assert!(matches!(s.answer_of(&ids[first]), Some(Answer::Refused(_))));
}

#[test]
fn failing_worker_is_avoided_and_retried_rarely() {
    let mut s = Harness::new(settings(), &[1, 2, 3]);
    for step in 0..600u64 {
        if step == 300 {
            s.sends.clear();
        }
        s.request(&format!("c{step}"), (step % 3) as usize, 0, 1.0);
        s.advance(20 * MS);
        serve(&mut s, |_| Some(20 * MS), |w| if w == 1 { Outcome::Error } else { Outcome::Ok });
    }
    let at_bad: Vec<&String> = s.sends.iter().filter(|(_, _, w)| *w == 1).map(|(_, id, _)| id).collect();
    assert!(at_bad.len() <= 6, "{} sent in 6 s", at_bad.len());
}

#[test]
fn silent_worker_is_avoided_and_its_requests_move() {
    for second_copies in [true, false] {
        let mut config = settings();
        config.limits.second_copies = second_copies;
        let mut s = Harness::new(config, &[1, 2, 3]);
        let mut late = 0;
        for step in 0..400u64 {
            let before = s.sends.len();
            s.request(&format!("c{step}"), 0, 0, 1.0);
            s.advance(20 * MS);
            serve(&mut s, |w| (w != 1 || step < 100).then_some(30 * MS), |_| Outcome::Ok);
            let cancelled: Vec<String> = s
                .log
                .drain(..)
                .filter_map(|a| match a {
                    Action::Cancel { request, .. } => Some(request.0),
                    _ => None,
                })
                .collect();
            let (cancelled_attempts, rest) = std::mem::take(&mut s.in_flight)
                .into_iter()
                .partition(|o: &InFlight| cancelled.contains(&o.request));
            s.in_flight = rest;
            let cancelled_attempts: Vec<InFlight> = cancelled_attempts;
            cancelled_attempts.into_iter().for_each(|o| s.finish(o, Outcome::Cancelled));
            late += if step > 200 { s.sends[before..].iter().filter(|(_, _, w)| *w == 1).count() } else { 0 };
        }
        let lost = (1..=380).filter(|n| s.answer_of(&format!("r-{n}")) != Some(Answer::Served)).count();
        assert!(lost <= 1, "{lost} of 380 not served, copies: {second_copies}");
        assert!(late <= 40, "{late} sent to the silent worker");
    }
}

/// Guards against avoiding workers after a single failure, which any worker may have: all work would move to
/// the few without one.
#[test]
fn single_failure_does_not_eject_a_worker() {
    for outcome in [Outcome::Unusable, Outcome::Reset, Outcome::Error, Outcome::ConnectFailed] {
        let mut s = Harness::new(settings(), &[1, 2]);
        let failed = std::cell::Cell::new(false);
        let round = |s: &mut Harness, fails: bool| {
            s.request("ada", 0, 0, 0.0);
            s.advance(5 * MS);
            let end = |w| if fails && w == 1 && !failed.replace(true) { outcome } else { Outcome::Ok };
            serve(s, |_| Some(5 * MS), end);
        };
        (0..100).for_each(|_| round(&mut s, false));
        (0..50).for_each(|_| round(&mut s, true));
        assert!(failed.get(), "nothing went to worker 1");
        // A quarter of a second: shorter than the shortest avoidance.
        s.sends.clear();
        (0..50).for_each(|_| round(&mut s, false));
        let sent = s.sends.iter().filter(|(_, _, w)| *w == 1).count();
        assert!(sent >= 5, "{outcome:?}: {sent} of 50 sent after one failure");
    }
}

/// Guards against taking a slow answer, at seven times the typical latency, for silence.
#[test]
fn slow_answer_is_not_cancelled() {
    let mut config = settings();
    config.limits.second_copies = false;
    let mut s = Harness::new(config, &[1, 2]);
    for step in 0..100u64 {
        s.request(&format!("c{step}"), 0, 0, 1.0);
        s.advance(30 * MS);
        s.finish_oldest(Outcome::Ok);
    }
    s.log.clear();
    s.request("late", 0, 0, 1.0);
    s.advance(180 * MS);
    assert!(
        !s.log.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "cancelled after six times the typical"
    );
}

/// Guards against one failing customer using up the retry budget of all.
#[test]
fn failing_customer_leaves_retry_budget_to_others() {
    let mut s = Harness::new(settings(), &[1, 2, 3, 4]);
    for _ in 0..60 {
        s.request("flood", 2, 0, 1.0);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Full);
        }
        s.advance(5 * MS);
    }
    let again = s.sends.len();
    s.advance(2 * S);
    let usual = s.request("usual", 2, 0, 1.0);
    s.finish_oldest(Outcome::Full);
    s.advance(100 * MS);
    assert!(s.sent(&usual) >= 2, "its first failure is retried, after {again} sends of the other");
}

/// A repeatable class whose usual answers take 30 ms, served often enough to be known.
fn known_latency(settings: Settings, workers: &[u64]) -> Harness {
    let mut s = Harness::new(settings, workers);
    for step in 0..100u64 {
        s.request(&format!("c{step}"), 0, 0, 1.0);
        s.advance(30 * MS);
        s.finish_oldest(Outcome::Ok);
    }
    s.log.clear();
    s
}

/// Settings in which an attempt must be cancelled before another one is sent.
fn one_at_a_time() -> Settings {
    let mut settings = settings();
    settings.limits.second_copies = false;
    settings.limits.refusals_promise = true;
    settings
}

fn cancelled(s: &Harness) -> Vec<String> {
    let cancelled = s.log.iter().filter_map(|action| match action {
        Action::Cancel { request, .. } => Some(request.0.clone()),
        _ => None,
    });
    cancelled.collect()
}

/// Guards against a 502 in place of a slow answer: a request's last attempt was cancelled for its silence, though
/// nothing could follow it.
#[test]
fn silent_last_attempt_is_not_given_up() {
    let mut settings = one_at_a_time();
    settings.classes[0].attempts = 1;
    let mut s = known_latency(settings, &[1, 2]);
    let slow = s.request("slow", 0, 0, 1.0);
    s.advance(450 * MS);
    assert_eq!(cancelled(&s), [""; 0], "nothing can follow");
    s.finish_oldest(Outcome::Ok);
    assert_eq!(s.answer_of(&slow), Some(Answer::Served));
}

/// Guards against giving up an attempt while no worker could take the request.
#[test]
fn silent_attempt_is_kept_until_another_worker_can_take_its_request() {
    let mut s = known_latency(one_at_a_time(), &[1, 2]);
    let slow = s.request("slow", 0, 0, 1.0);
    let other = if s.in_flight[0].worker == 1 { 2 } else { 1 };
    let draining = |id| WorkerInfo { availability: Availability::Draining, ..worker(id) };
    s.list(ListScope::Delta, vec![draining(1), draining(2)]);
    s.advance(300 * MS);
    assert_eq!(cancelled(&s), [""; 0], "no worker takes requests");
    s.list(ListScope::Delta, vec![worker(other)]);
    s.advance(20 * MS);
    assert_eq!(cancelled(&s), [slow.as_str()]);
    s.finish_oldest(Outcome::Cancelled);
    assert_eq!((s.sent(&slow), s.in_flight[0].worker), (2, other));
}

/// Guards against a 502 in place of a slow answer: its attempt was given up for a worker that could not be reached,
/// which used up the last try of the route.
#[test]
fn attempt_that_reaches_no_worker_is_followed_by_another() {
    let mut settings = one_at_a_time();
    settings.classes[0].attempts = 2;
    let mut s = known_latency(settings, &[1, 2, 3]);
    let slow = s.request("slow", 0, 0, 1.0);
    s.advance(300 * MS);
    assert_eq!(cancelled(&s), [slow.as_str()]);
    s.finish_oldest(Outcome::Cancelled);
    for unreached in [Outcome::ConnectFailed, Outcome::NotSent] {
        let sent = s.sent(&slow);
        s.finish_oldest(unreached);
        assert_eq!((s.sent(&slow), s.answer_of(&slow)), (sent + 1, None), "after {unreached:?}");
    }
    s.finish_oldest(Outcome::Error);
    assert_eq!((s.sent(&slow), s.answer_of(&slow)), (4, Some(Answer::Failed)), "both tries are used up");
}

/// Guards against lost attempts that fill all places until their time is up, so that nothing is sent in their place.
#[test]
fn copy_takes_the_place_of_a_lost_attempt() {
    let mut settings = settings();
    (settings.limits.hedge, settings.instances) = (false, 8);
    let mut s = known_latency(settings, &[1, 2, 3, 4]);
    let ids: Vec<String> = (0..12).map(|n| s.request(&format!("slow{n}"), 0, 0, 1.0)).collect();
    let places = s.in_flight.len();
    assert!((1..ids.len()).contains(&places), "{places} of {} were sent at once", ids.len());
    s.advance(300 * MS);
    let copies = ids.iter().filter(|id| s.sent(id) == 2).count();
    assert!((1..=places).contains(&copies), "{copies} copies for {places} lost attempts");
    assert_eq!(cancelled(&s), [""; 0]);
}

/// Guards against a copy for the worker that is at work on the request.
#[test]
fn copy_goes_to_another_worker_and_leaves_the_silent_one_at_work() {
    let mut settings = settings();
    settings.limits.hedge = false;
    let mut s = known_latency(settings, &[1]);
    let slow = s.request("slow", 0, 0, 1.0);
    s.advance(300 * MS);
    assert_eq!(s.sent(&slow), 1, "no other worker can take it");
    s.list(ListScope::Delta, vec![worker(2)]);
    s.advance(20 * MS);
    assert_eq!((s.sent(&slow), s.in_flight[1].worker), (2, 2));
    let copy = s.in_flight.remove(1);
    s.finish(copy, Outcome::Full);
    assert_eq!((cancelled(&s).len(), s.answer_of(&slow)), (0, None), "the first worker is at work");
    s.finish_oldest(Outcome::Ok);
    assert_eq!(s.answer_of(&slow), Some(Answer::Served));
}

/// Guards against giving up an answer that has begun, to ask the same worker for it again.
#[test]
fn stalled_answer_is_not_given_up_for_the_same_worker() {
    let mut s = known_latency(one_at_a_time(), &[1]);
    let slow = s.request("slow", 0, 0, 1.0);
    s.advance(20 * MS);
    s.event(Event::Stalled { request: RequestId(slow.clone()), attempt: 0, stalled: true });
    s.advance(100 * MS);
    assert_eq!(cancelled(&s), [""; 0], "no other worker can take it");
    s.list(ListScope::Delta, vec![worker(2)]);
    s.advance(20 * MS);
    assert_eq!(cancelled(&s), [slow.as_str()]);
    s.finish_oldest(Outcome::Unusable);
    assert_eq!((s.sent(&slow), s.in_flight[0].worker), (2, 2));
}

/// Guards against giving up several attempts at once for the one retry that each of them saw in the budget.
#[test]
fn of_several_silent_attempts_each_that_is_given_up_is_sent_again() {
    let mut settings = one_at_a_time();
    settings.limits.max_retry_budget = 1.0;
    let mut s = known_latency(settings, &[1, 2, 3]);
    let ids: Vec<String> = (0..6).map(|n| s.request(&format!("slow{n}"), 0, 0, 1.0)).collect();
    let mut given_up = 0;
    for _ in 0..40 {
        s.advance(10 * MS);
        for id in std::mem::take(&mut s.log).iter().filter_map(|action| match action {
            Action::Cancel { request, .. } => Some(request.0.clone()),
            _ => None,
        }) {
            let place = s.in_flight.iter().position(|o| o.request == id).unwrap();
            let (attempt, sent) = (s.in_flight.remove(place), s.sent(&id));
            s.finish(attempt, Outcome::Cancelled);
            assert_eq!(s.sent(&id), sent + 1, "{id} was given up and not sent again");
            given_up += 1;
        }
    }
    assert!(given_up > 0, "nothing was given up");
    assert!(ids.iter().all(|id| s.answer_of(id).is_none()));
}

/// Guards against giving up a request whose body is streamed from the client and can't be sent twice.
#[test]
fn silent_attempt_with_a_streamed_body_is_not_given_up() {
    let mut s = known_latency(one_at_a_time(), &[1, 2]);
    let slow = RequestId(s.request("slow", 0, 0, 1.0));
    for over in [false, true] {
        s.event(Event::Uploading { request: slow.clone(), over });
    }
    s.advance(450 * MS);
    assert_eq!(cancelled(&s), [""; 0], "its body is gone");
}
