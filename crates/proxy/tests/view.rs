//! What a proxy believes as news comes late, out of order or not at all. Time is given.

use hingestage_proxy::view::{Spans, Usability, View};
use hingestage_rpc::messages::{ConfigDocument, ZoneDrain, ZoneDrains};
use hingestage_rpc::workers::{ServiceNews, ServiceUpdate, WorkerRecord, WorkersVersion};

const S: u64 = 1_000_000;
/// Milliseconds in a second, as ages are told.
const AGE: u64 = 1_000;
const SPANS: Spans = Spans {
    return_after: 2 * S,
    cold_margin: S / 2,
    key_lease: Some(4 * S),
    part_lease: 11 * S,
    trials: hingestage_trial::Spans::DEFAULT,
};

fn document(serial: u64, backend: &str) -> ConfigDocument {
    let backend = format!(r#"{{"name":"{backend}","health_path":"/h","max_conns":9}}"#);
    let json = format!(r#"{{"serial":"{serial:08x}","routes":[],"backends":[{backend}],"limits":{{}}}}"#);
    let json = json.into_bytes();
    ConfigDocument::new(serial, json)
}

fn serial(view: &View) -> Option<u64> {
    view.active().map(|active| active.version.serial)
}

fn drains(order: u64, drained: bool) -> ZoneDrains {
    [("a".into(), ZoneDrain { order, drained })].into()
}

fn worker(id: &str, cold_left: u64) -> WorkerRecord {
    WorkerRecord { cold_left, ..hingestage_fixtures::worker(id, "s") }
}

/// All workers of the service under a version.
fn list(fence: u64, number: u64, workers: &[WorkerRecord]) -> ServiceUpdate {
    let version = WorkersVersion { fence, reader: 1, number };
    ServiceUpdate { service: "s".into(), version, news: ServiceNews::Snapshot(workers.to_vec()) }
}

/// Takes an update in. Tells whether it changed anything.
fn take(view: &mut View, now: u64, update: ServiceUpdate) -> bool {
    !view.followed_mut().apply_updates(now, vec![update]).is_empty()
}

fn usability(view: &View, now: u64) -> Vec<Usability> {
    view.workers(now).map(|(_, usability)| usability).collect()
}

/// A view with configuration 5 and a worker that is warm, as of one second.
fn view() -> View {
    let mut view = View::new(SPANS);
    assert!(view.take_config(&document(5, "one")));
    assert!(take(&mut view, S, list(1, 1, &[worker("i", 0)])));
    view
}

#[test]
fn a_proxy_serves_once_it_has_a_configuration_and_workers() {
    let mut empty = View::new(SPANS);
    assert!(!empty.can_serve());
    take(&mut empty, S, list(1, 1, &[worker("i", 0)]));
    assert!(!empty.can_serve());
    assert!(view().can_serve());
}

#[test]
fn an_older_configuration_never_takes_the_place_of_a_newer_one() {
    let mut view = view();
    assert!(!view.take_config(&document(4, "one")));
    assert!(!view.take_config(&document(5, "one")), "the same again");
    assert!(view.take_config(&document(9, "one")));
    assert!(!view.take_config(&document(5, "one")));
    assert_eq!(serial(&view), Some(9));
}

#[test]
fn two_configurations_under_one_serial_end_alike_in_either_order() {
    let (one, other) = (document(7, "one"), document(7, "other"));
    let (mut forth, mut back) = (View::new(SPANS), View::new(SPANS));
    for document in [&one, &other] {
        forth.take_config(document);
    }
    for document in [&other, &one] {
        back.take_config(document);
    }
    assert_eq!(forth.have(), back.have());
}

#[test]
fn what_cannot_be_read_is_not_in_force() {
    let mut view = view();
    let json = b"{\"serial\":".to_vec();
    let torn = ConfigDocument::new(9, json);
    assert!(!view.take_config(&torn));
    assert_eq!(serial(&view), Some(5));
}

#[test]
fn an_evacuated_zone_gets_nothing_and_one_taken_back_waits() {
    let mut view = view();
    assert!(view.take_drains(2 * S, &drains(1, true)));
    assert_eq!(usability(&view, 2 * S), [Usability::Leaving]);
    assert!(view.take_drains(10 * S, &drains(2, false)));
    assert_eq!(usability(&view, 10 * S), [Usability::Leaving], "its workers may be cold");
    assert_eq!(view.next_change(10 * S), Some(12 * S));
    assert_eq!(usability(&view, 12 * S), [Usability::Ready]);
}

#[test]
fn an_older_order_about_a_zone_changes_nothing() {
    let mut view = view();
    view.take_drains(2 * S, &drains(3, true));
    assert!(!view.take_drains(2 * S, &drains(2, false)));
    assert!(!view.take_drains(2 * S, &drains(3, false)), "of two under one number the evacuation holds");
    assert!(!view.take_drains(2 * S, &ZoneDrains::new()), "nor does silence");
    assert_eq!(usability(&view, 2 * S), [Usability::Leaving]);
}

#[test]
fn an_order_given_twice_does_not_begin_the_wait_anew() {
    let mut view = view();
    view.take_drains(2 * S, &drains(1, true));
    view.take_drains(3 * S, &drains(2, false));
    view.take_drains(4 * S, &drains(4, false));
    assert_eq!(usability(&view, 5 * S), [Usability::Ready]);
}

#[test]
fn a_worker_is_cold_for_as_long_as_was_said_and_a_margin_on_top() {
    let mut view = view();
    take(&mut view, 2 * S, list(1, 2, &[worker("i", 3_000)]));
    assert_eq!(usability(&view, 5 * S), [Usability::Cold]);
    assert_eq!(view.next_change(2 * S), Some(5 * S + SPANS.cold_margin));
    assert_eq!(usability(&view, 5 * S + SPANS.cold_margin), [Usability::Ready]);
    take(&mut view, 6 * S, list(1, 3, &[worker("i", 1_000)]));
    assert_eq!(usability(&view, 6 * S), [Usability::Cold], "it may turn cold again");
    let leaving = WorkerRecord { draining: true, ..worker("i", 1_000) };
    take(&mut view, 6 * S, list(1, 4, &[leaving]));
    assert_eq!(usability(&view, 6 * S), [Usability::Leaving]);
}

#[test]
fn an_older_list_changes_nothing_and_a_higher_fence_holds_whatever_its_number() {
    let mut view = view();
    take(&mut view, S, list(2, 9, &[worker("j", 0)]));
    assert!(!take(&mut view, S, list(1, 50, &[worker("i", 0)])));
    assert!(!take(&mut view, S, list(2, 9, &[])));
    assert!(view.lists("s", "j") && !view.lists("s", "i"));
    assert!(take(&mut view, S, list(3, 1, &[worker("i", 0)])));
    assert!(view.lists("s", "i"));
}

#[test]
fn keys_are_believed_for_their_lease_counted_from_when_the_news_was_asked_for() {
    let mut view = view();
    assert!(!view.keys_hold(S), "nothing has been heard");
    let version = view.have().config;
    view.take_freshness(10 * S, Some(AGE), version);
    assert!(view.keys_hold(13 * S - 1));
    assert!(!view.keys_hold(13 * S), "four seconds after a moment one second before the question");
    view.take_freshness(9 * S, Some(0), version);
    assert!(!view.keys_hold(13 * S), "what was asked earlier and tells no more changes nothing");
    view.take_freshness(12 * S, None, version);
    assert!(!view.keys_hold(13 * S), "no news is no lease");
}

#[test]
fn freshness_counts_only_where_what_it_speaks_of_is_in_force() {
    let mut view = view();
    let newer = document(6, "one");
    view.take_freshness(10 * S, Some(0), Some(newer.version));
    assert!(!view.keys_hold(10 * S), "a key may be gone in the newer one");
    view.take_config(&newer);
    assert!(!view.keys_hold(10 * S), "nor does what was said before count afterwards");
    view.take_freshness(11 * S, Some(0), Some(newer.version));
    assert!(view.keys_hold(11 * S));
    view.take_freshness(12 * S, Some(0), None);
    assert!(view.keys_hold(15 * S), "a registry that knows of none has nothing newer");
}

#[test]
fn a_lease_from_before_a_proxys_start_holds_no_longer_for_that() {
    let mut view = view();
    let version = view.have().config;
    view.take_freshness(S, Some(3 * AGE), version);
    assert!(view.keys_hold(2 * S - 1));
    assert!(!view.keys_hold(2 * S), "four seconds after a moment two seconds before its start");
    let mut view = self::view();
    view.take_freshness(S, Some(6 * AGE), version);
    assert!(!view.keys_hold(S), "it was over before the start");
    assert_eq!(view.freshness().age(S), Some(6 * S));
}

#[test]
fn a_proxy_that_stood_still_for_five_seconds_believes_no_key_until_it_has_asked_again() {
    let mut view = view();
    let version = view.have().config;
    view.take_freshness(10 * S, Some(0), version);
    assert!(view.keys_hold(10 * S));
    let wakes = 15 * S;
    assert!(!view.keys_hold(wakes));
    view.take_freshness(10 * S + 1, Some(0), version);
    assert!(!view.keys_hold(wakes), "the answer to a question from before counts from then");
    assert!(view.part().share(wakes) == 0.0, "and no part was given");
    view.take_freshness(wakes, Some(0), version);
    assert!(view.keys_hold(wakes));
}

#[test]
fn where_revocation_does_not_bind_proxies_that_are_cut_off_keys_hold_without_news() {
    let mut view = View::new(Spans { key_lease: None, ..SPANS });
    view.take_config(&document(5, "one"));
    assert!(view.keys_hold(1_000 * S));
}

#[test]
fn a_part_is_held_once_settled_while_news_is_young_and_never_grows() {
    let mut view = view();
    let version = view.have().config;
    view.take_freshness(10 * S, Some(0), version);
    view.take_members(4, false);
    assert_eq!(view.part().share(10 * S), 0.0, "others may still use parts that leave none for it");
    view.take_members(4, true);
    assert_eq!(view.part().share(10 * S), 0.25);
    assert_eq!(view.part().share(21 * S - 1), 0.25);
    assert_eq!(view.part().share(21 * S), 0.0, "the lease is over");
    view.take_members(3, true);
    assert_eq!(view.part().gateways, 4, "a registry that is behind knows of fewer");
    view.take_members(5, false);
    assert_eq!(view.part().gateways, 5);
}

#[test]
fn a_subscriber_far_behind_takes_the_newest_of_everything_in_one_step() {
    let mut view = view();
    view.take_drains(S, &drains(1, true));
    assert!(view.take_config(&document(4_000, "late")));
    assert!(take(&mut view, 90 * S, list(40, 3, &[worker("k", 0)])));
    assert!(view.take_drains(90 * S, &drains(18, false)));
    assert_eq!(serial(&view), Some(4_000));
    assert_eq!(usability(&view, 90 * S), [Usability::Leaving], "the zone was given back in the meantime");
    assert_eq!(usability(&view, 92 * S), [Usability::Ready]);
}
