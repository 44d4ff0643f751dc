//! Views of the fleet: what a gateway sends on of a plan with a ceiling, as gateways go and come.

mod common;
use common::*;
use hingestage_policy::*;

const GATEWAYS: u32 = 10;
/// Units a second and units of the ceiling.
const CEILING: (f64, f64) = (100.0, 50.0);

fn settings() -> Settings {
    let plan = Plan { ceiling_rate: CEILING.0, ceiling_burst: CEILING.1, ..Plan::default() };
    Settings { instances: GATEWAYS, me: 0, counter: false, plans: vec![plan], ..common::settings() }
}

fn view(number: u64, holds: bool, absent: &[u32], until: Micros) -> Event {
    let absent = absent.iter().copied().collect();
    Event::Fleet(LeaseView {
        version: number,
        me: 0,
        gateways: GATEWAYS,
        reserved_fraction: 0.5,
        holds_lease: holds,
        absent,
        valid_until: until,
    })
}

const FOR_EVER: Micros = Micros::MAX;
const SEVEN: [u32; 7] = [3, 4, 5, 6, 7, 8, 9];

fn ask(s: &mut Stage, customer: &str) -> bool {
    s.named += 1;
    let id = format!("v-{}", s.named);
    s.event(Event::Request(Request {
        id: RequestId(id.clone()),
        customer: CustomerId(customer.into()),
        class: Some(ClassId(2)),
        plan: Some(PlanId(0)),
        units: 1.0,
        gateways: GATEWAYS,
        first: 0,
        time_left: 2 * S,
    }));
    let sent = s.sent(&id) > 0;
    while !s.out.is_empty() {
        s.done(Outcome::Ok);
    }
    s.event(Event::ClientGone(RequestId(id)));
    sent
}

/// Units that get through in so many seconds of a flood.
fn through(s: &mut Stage, seconds: u64) -> f64 {
    let mut sent = 0;
    for _ in 0..seconds * 100 {
        sent += u32::from(ask(s, "flood"));
        s.pass(10 * MS);
    }
    f64::from(sent) / seconds as f64
}

fn about(value: f64, wanted: f64) {
    assert!((value - wanted).abs() <= 0.15 * wanted + 0.3, "{value} where {wanted} is meant");
}

#[test]
fn a_part_follows_the_view() {
    let mut s = Stage::new(settings(), &[1, 2]);
    through(&mut s, 3);
    about(through(&mut s, 10), 10.0);
    s.event(view(1, true, &SEVEN, FOR_EVER));
    about(through(&mut s, 10), 10.0 * (1.0 + 0.5 * 7.0 / 3.0));
    s.event(view(2, true, &[], FOR_EVER));
    through(&mut s, 2);
    about(through(&mut s, 10), 10.0);
    s.event(view(3, false, &[], FOR_EVER));
    through(&mut s, 2);
    about(through(&mut s, 10), 5.0);
}

#[test]
fn a_view_that_is_not_renewed_ends_by_itself() {
    let mut s = Stage::new(settings(), &[1, 2]);
    let until = s.now + 4 * S;
    s.event(view(1, true, &SEVEN, until));
    through(&mut s, 2);
    assert!(through(&mut s, 2) > 18.0);
    through(&mut s, 2);
    about(through(&mut s, 10), 5.0);
}

/// What fills while others' parts may be used is theirs again when the view ends: a store does not keep it.
#[test]
fn what_was_not_used_of_others_parts_is_not_kept() {
    let mut s = Stage::new(settings(), &[1, 2]);
    through(&mut s, 3);
    s.event(view(1, true, &SEVEN, FOR_EVER));
    s.pass(20 * S);
    s.event(view(2, true, &[], FOR_EVER));
    let at_once = (0..100).filter(|_| ask(&mut s, "flood")).count();
    assert!(at_once as f64 <= CEILING.1 / f64::from(GATEWAYS) + 1.0, "{at_once} at once");
}

/// What the gone ones drew for a customer that is new here is not known: its store begins empty.
#[test]
fn a_new_customer_after_a_change_begins_with_nothing() {
    let mut s = Stage::new(settings(), &[1, 2]);
    s.pass(20 * S);
    s.event(view(1, true, &SEVEN, FOR_EVER));
    assert!(!ask(&mut s, "new"));
    s.pass(S);
    assert!(ask(&mut s, "new"));
}

#[test]
fn one_that_is_superseded_sends_nothing_on() {
    let mut s = Stage::new(settings(), &[1, 2]);
    s.event(Event::Fleet(LeaseView {
        version: 1,
        me: 0,
        gateways: GATEWAYS,
        reserved_fraction: 0.0,
        holds_lease: false,
        absent: Default::default(),
        valid_until: FOR_EVER,
    }));
    assert_eq!(through(&mut s, 5), 0.0);
}

/// Sends to a worker that has just started, in so many seconds in which everything would go there.
fn cold_sends(s: &mut Stage, seconds: u64) -> f64 {
    let before = s.sends.len();
    for _ in 0..seconds * 50 {
        let id = s.ask("usual", 0, 1, 0.1);
        while !s.out.is_empty() {
            s.done(Outcome::Ok);
        }
        s.event(Event::ClientGone(RequestId(id)));
        s.pass(20 * MS);
    }
    s.sends[before..].iter().filter(|(_, _, worker)| *worker == 3).count() as f64 / seconds as f64
}

/// A gateway of ten before one cold worker, by this view.
fn before_a_cold_worker(view: Option<Event>) -> Stage {
    let mut figures = Settings { ..settings() };
    figures.rules.cold_for = 1_000 * S;
    figures.plans = common::settings().plans;
    (figures.plans[1].rate, figures.plans[1].burst) = (1e6, 1e6);
    (figures.plans[1].ceiling_rate, figures.plans[1].ceiling_burst) = (0.0, 0.0);
    let mut s = Stage::with(figures, vec![WorkerInfo { started: Some(START), ..worker(3) }]);
    view.into_iter().for_each(|view| s.event(view));
    s
}

#[test]
fn a_cold_worker_gets_from_the_living_what_the_gone_have_left_of_theirs() {
    let sends = |view| cold_sends(&mut before_a_cold_worker(view), 60);
    let even = sends(None);
    assert!(even > 0.05, "{even} sends a second");
    let of_even = |view| sends(Some(view)) / even;
    for (what, wanted) in [
        (view(1, true, &[], FOR_EVER), 1.0),
        (view(1, true, &SEVEN, FOR_EVER), 1.0 + 0.5 * 7.0 / 3.0),
        (view(1, false, &[], FOR_EVER), 0.5),
        // One that is not renewed ends by itself, at once here.
        (view(1, true, &SEVEN, START), 0.5),
    ] {
        let named = format!("{what:?}");
        let part = of_even(what);
        assert!(
            (part - wanted).abs() < 0.2 * wanted,
            "{part} of an even part where {wanted} is meant: {named}"
        );
    }
}

/// What has gathered by one view is not counted by the next: a view that comes at the end would else make a pause
/// before it worth twice as much.
#[test]
fn a_credit_fills_by_each_view_for_as_long_as_it_held() {
    let mut s = before_a_cold_worker(Some(view(1, false, &[], FOR_EVER)));
    cold_sends(&mut s, 20);
    let mut twin = before_a_cold_worker(Some(view(1, false, &[], FOR_EVER)));
    cold_sends(&mut twin, 20);
    // Nothing is asked for a while that gathers less than one send by the first view, and more by the second.
    s.pass(S);
    twin.pass(S);
    s.event(view(2, true, &SEVEN, FOR_EVER));
    let (first, same) = (s.sends.len(), twin.sends.len());
    let ask = |s: &mut Stage| drop(s.ask("usual", 0, 1, 0.1));
    ask(&mut s);
    ask(&mut twin);
    assert_eq!(s.sends.len() - first, twin.sends.len() - same);
}

/// A store fills by each view for as long as it held: one that comes at the end does not count for the pause before it.
#[test]
fn a_pause_without_a_quorum_is_worth_what_was_kept_then() {
    let mut s = Stage::new(settings(), &[1, 2]);
    s.event(view(1, false, &[], FOR_EVER));
    through(&mut s, 5);
    // Half of an even part, ten units a second, gathers one unit, and by the next view it would be four.
    s.pass(200 * MS);
    s.event(view(2, true, &SEVEN, FOR_EVER));
    let at_once = (0..10).filter(|_| ask(&mut s, "flood")).count();
    assert!(at_once <= 2, "{at_once} at once of one that has gathered, and less than one that was left");
}
