//! Fleet views: the ceiling share of a gateway as other gateways go and come.

mod common;
use common::*;
use hingestage_policy::*;

const GATEWAYS: u32 = 10;
/// Refill rate of the ceiling, units a second, and its burst, units.
const CEILING_RATE: f64 = 100.0;
const CEILING_BURST: f64 = 50.0;

fn settings() -> Settings {
    let plan = Plan { ceiling_rate: CEILING_RATE, ceiling_burst: CEILING_BURST, ..Plan::default() };
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

const FOREVER: Micros = Micros::MAX;
const SEVEN_ABSENT: [u32; 7] = [3, 4, 5, 6, 7, 8, 9];

fn admitted(s: &mut Harness, customer: &str) -> bool {
    s.request_count += 1;
    let id = format!("v-{}", s.request_count);
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
    while !s.in_flight.is_empty() {
        s.finish_oldest(Outcome::Ok);
    }
    s.event(Event::ClientGone(RequestId(id)));
    sent
}

/// Units a second admitted during a flood.
fn admitted_rate(s: &mut Harness, seconds: u64) -> f64 {
    let mut sent = 0;
    for _ in 0..seconds * 100 {
        sent += u32::from(admitted(s, "flood"));
        s.advance(10 * MS);
    }
    f64::from(sent) / seconds as f64
}

fn assert_near(value: f64, wanted: f64) {
    assert!((value - wanted).abs() <= 0.15 * wanted + 0.3, "{value} where {wanted} is expected");
}

#[test]
fn ceiling_share_follows_the_view() {
    let mut s = Harness::new(settings(), &[1, 2]);
    admitted_rate(&mut s, 3);
    assert_near(admitted_rate(&mut s, 10), 10.0);
    s.event(view(1, true, &SEVEN_ABSENT, FOREVER));
    assert_near(admitted_rate(&mut s, 10), 10.0 * (1.0 + 0.5 * 7.0 / 3.0));
    s.event(view(2, true, &[], FOREVER));
    admitted_rate(&mut s, 2);
    assert_near(admitted_rate(&mut s, 10), 10.0);
    s.event(view(3, false, &[], FOREVER));
    admitted_rate(&mut s, 2);
    assert_near(admitted_rate(&mut s, 10), 5.0);
}

#[test]
fn view_expires_unless_renewed() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let until = s.now + 4 * S;
    s.event(view(1, true, &SEVEN_ABSENT, until));
    admitted_rate(&mut s, 2);
    assert!(admitted_rate(&mut s, 2) > 18.0);
    admitted_rate(&mut s, 2);
    assert_near(admitted_rate(&mut s, 10), 5.0);
}

/// Guards against keeping units that refilled while other gateways' shares were in use.
#[test]
fn unused_shares_of_others_are_not_kept() {
    let mut s = Harness::new(settings(), &[1, 2]);
    admitted_rate(&mut s, 3);
    s.event(view(1, true, &SEVEN_ABSENT, FOREVER));
    s.advance(20 * S);
    s.event(view(2, true, &[], FOREVER));
    let at_once = (0..100).filter(|_| admitted(&mut s, "flood")).count();
    assert!(at_once as f64 <= CEILING_BURST / f64::from(GATEWAYS) + 1.0, "{at_once} at once");
}

/// Guards against a full level for a customer that is new after a view change: what absent gateways used is
/// unknown.
#[test]
fn new_customer_after_a_view_change_starts_empty() {
    let mut s = Harness::new(settings(), &[1, 2]);
    s.advance(20 * S);
    s.event(view(1, true, &SEVEN_ABSENT, FOREVER));
    assert!(!admitted(&mut s, "new"));
    s.advance(S);
    assert!(admitted(&mut s, "new"));
}

#[test]
fn superseded_gateway_sends_nothing() {
    let mut s = Harness::new(settings(), &[1, 2]);
    s.event(Event::Fleet(LeaseView {
        version: 1,
        me: 0,
        gateways: GATEWAYS,
        reserved_fraction: 0.0,
        holds_lease: false,
        absent: Default::default(),
        valid_until: FOREVER,
    }));
    assert_eq!(admitted_rate(&mut s, 5), 0.0);
}

/// Sends a second to a cold worker while it is the only one.
fn cold_sends(s: &mut Harness, seconds: u64) -> f64 {
    let before = s.sends.len();
    for _ in 0..seconds * 50 {
        let id = s.request("usual", 0, 1, 0.1);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
        s.event(Event::ClientGone(RequestId(id)));
        s.advance(20 * MS);
    }
    s.sends[before..].iter().filter(|(_, _, worker)| *worker == 3).count() as f64 / seconds as f64
}

/// One of ten gateways with one cold worker, under this view.
fn with_cold_worker(view: Option<Event>) -> Harness {
    let mut config = Settings { ..settings() };
    config.rules.warm_up_time = 1_000 * S;
    config.plans = common::settings().plans;
    (config.plans[1].rate, config.plans[1].burst) = (1e6, 1e6);
    (config.plans[1].ceiling_rate, config.plans[1].ceiling_burst) = (0.0, 0.0);
    let mut s = Harness::with(config, vec![WorkerInfo { started: Some(START), ..worker(3) }]);
    view.into_iter().for_each(|view| s.event(view));
    s
}

#[test]
fn live_gateways_use_absent_shares_of_a_cold_worker() {
    let sends = |view| cold_sends(&mut with_cold_worker(view), 60);
    let even = sends(None);
    assert!(even > 0.05, "{even} sends a second");
    let of_even = |view| sends(Some(view)) / even;
    for (what, wanted) in [
        (view(1, true, &[], FOREVER), 1.0),
        (view(1, true, &SEVEN_ABSENT, FOREVER), 1.0 + 0.5 * 7.0 / 3.0),
        (view(1, false, &[], FOREVER), 0.5),
        // An expired view counts as one without a quorum.
        (view(1, true, &SEVEN_ABSENT, START), 0.5),
    ] {
        let named = format!("{what:?}");
        let part = of_even(what);
        assert!(
            (part - wanted).abs() < 0.2 * wanted,
            "{part} of an even part where {wanted} is expected: {named}"
        );
    }
}

/// Guards against applying a new view to time before it: it would make a pause worth twice as much.
#[test]
fn cold_credit_refills_by_the_view_of_its_time() {
    let mut s = with_cold_worker(Some(view(1, false, &[], FOREVER)));
    cold_sends(&mut s, 20);
    let mut twin = with_cold_worker(Some(view(1, false, &[], FOREVER)));
    cold_sends(&mut twin, 20);
    // A pause that gathers less than one send under the first view and more under the second.
    s.advance(S);
    twin.advance(S);
    s.event(view(2, true, &SEVEN_ABSENT, FOREVER));
    let (first, same) = (s.sends.len(), twin.sends.len());
    let ask = |s: &mut Harness| drop(s.request("usual", 0, 1, 0.1));
    ask(&mut s);
    ask(&mut twin);
    assert_eq!(s.sends.len() - first, twin.sends.len() - same);
}

/// Guards against refilling a ceiling by the new view for time before it.
#[test]
fn ceiling_refills_by_the_view_of_its_time() {
    let mut s = Harness::new(settings(), &[1, 2]);
    s.event(view(1, false, &[], FOREVER));
    admitted_rate(&mut s, 5);
    // Half of an even share of ten units a second gathers one unit; under the next view it would be four.
    s.advance(200 * MS);
    s.event(view(2, true, &SEVEN_ABSENT, FOREVER));
    let at_once = (0..10).filter(|_| admitted(&mut s, "flood")).count();
    assert!(at_once <= 2, "{at_once} at once, of about one refilled unit and a rest below one");
}
