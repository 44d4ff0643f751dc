//! The proxy's view when updates come late, out of order or not at all. Uses simulated time.

use hingestage_proxy::view::{Usability, View, ViewSettings};
use hingestage_rpc::messages::{ConfigDocument, ZoneDrain, ZoneDrains};
use hingestage_rpc::workers::{ServiceNews, ServiceUpdate, WorkerRecord, WorkersVersion};

/// Microseconds per second.
const S: u64 = 1_000_000;
/// Milliseconds per second, the unit of ages.
const AGE_S: u64 = 1_000;
const SETTINGS: ViewSettings = ViewSettings {
    zone_return_delay: 2 * S,
    cold_margin: S / 2,
    key_lease: Some(4 * S),
    share_lease: 11 * S,
    trials: hingestage_trial::TrialTiming::DEFAULT,
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

/// A snapshot of the service's workers under a version.
fn snapshot(fence: u64, number: u64, workers: &[WorkerRecord]) -> ServiceUpdate {
    let version = WorkersVersion { fence, reader: 1, number };
    ServiceUpdate { service: "s".into(), version, news: ServiceNews::Snapshot(workers.to_vec()) }
}

/// Applies an update. Returns whether it changed anything.
fn apply(view: &mut View, now: u64, update: ServiceUpdate) -> bool {
    !view.followed_mut().apply_updates(now, vec![update]).is_empty()
}

fn usability(view: &View, now: u64) -> Vec<Usability> {
    view.workers(now).map(|(_, usability)| usability).collect()
}

/// A view with configuration 5 and a warm worker, as of one second.
fn view() -> View {
    let mut view = View::new(SETTINGS);
    assert!(view.apply_config(&document(5, "one")));
    assert!(apply(&mut view, S, snapshot(1, 1, &[worker("i", 0)])));
    view
}

#[test]
fn serving_requires_a_configuration_and_workers() {
    let mut empty = View::new(SETTINGS);
    assert!(!empty.can_serve());
    apply(&mut empty, S, snapshot(1, 1, &[worker("i", 0)]));
    assert!(!empty.can_serve());
    assert!(view().can_serve());
}

#[test]
fn older_configuration_does_not_replace_a_newer_one() {
    let mut view = view();
    assert!(!view.apply_config(&document(4, "one")));
    assert!(!view.apply_config(&document(5, "one")), "the same again");
    assert!(view.apply_config(&document(9, "one")));
    assert!(!view.apply_config(&document(5, "one")));
    assert_eq!(serial(&view), Some(9));
}

#[test]
fn configurations_with_equal_serials_converge_in_either_order() {
    let (one, other) = (document(7, "one"), document(7, "other"));
    let (mut forth, mut back) = (View::new(SETTINGS), View::new(SETTINGS));
    for document in [&one, &other] {
        forth.apply_config(document);
    }
    for document in [&other, &one] {
        back.apply_config(document);
    }
    assert_eq!(forth.have(), back.have());
}

#[test]
fn invalid_configuration_is_not_activated() {
    let mut view = view();
    let json = b"{\"serial\":".to_vec();
    let torn = ConfigDocument::new(9, json);
    assert!(!view.apply_config(&torn));
    assert_eq!(serial(&view), Some(5));
}

#[test]
fn drained_zone_gets_no_requests_until_some_time_after_the_drain_ends() {
    let mut view = view();
    assert!(view.apply_drains(2 * S, &drains(1, true)));
    assert_eq!(usability(&view, 2 * S), [Usability::Draining]);
    assert!(view.apply_drains(10 * S, &drains(2, false)));
    assert_eq!(usability(&view, 10 * S), [Usability::Draining], "its workers may be cold");
    assert_eq!(view.next_change(10 * S), Some(12 * S));
    assert_eq!(usability(&view, 12 * S), [Usability::Ready]);
}

#[test]
fn older_drain_order_is_ignored() {
    let mut view = view();
    view.apply_drains(2 * S, &drains(3, true));
    assert!(!view.apply_drains(2 * S, &drains(2, false)));
    assert!(
        !view.apply_drains(2 * S, &drains(3, false)),
        "of two orders with the same number the drain wins"
    );
    assert!(!view.apply_drains(2 * S, &ZoneDrains::new()), "an empty list ends no drain");
    assert_eq!(usability(&view, 2 * S), [Usability::Draining]);
}

#[test]
fn repeated_end_of_a_drain_does_not_restart_the_delay() {
    let mut view = view();
    view.apply_drains(2 * S, &drains(1, true));
    view.apply_drains(3 * S, &drains(2, false));
    view.apply_drains(4 * S, &drains(4, false));
    assert_eq!(usability(&view, 5 * S), [Usability::Ready]);
}

#[test]
fn worker_is_cold_for_the_announced_time_plus_a_margin() {
    let mut view = view();
    apply(&mut view, 2 * S, snapshot(1, 2, &[worker("i", 3_000)]));
    assert_eq!(usability(&view, 5 * S), [Usability::Cold]);
    assert_eq!(view.next_change(2 * S), Some(5 * S + SETTINGS.cold_margin));
    assert_eq!(usability(&view, 5 * S + SETTINGS.cold_margin), [Usability::Ready]);
    apply(&mut view, 6 * S, snapshot(1, 3, &[worker("i", 1_000)]));
    assert_eq!(usability(&view, 6 * S), [Usability::Cold], "a warm worker may become cold again");
    let draining = WorkerRecord { draining: true, ..worker("i", 1_000) };
    apply(&mut view, 6 * S, snapshot(1, 4, &[draining]));
    assert_eq!(usability(&view, 6 * S), [Usability::Draining]);
}

#[test]
fn older_worker_list_is_ignored_and_a_higher_fence_wins_over_any_number() {
    let mut view = view();
    apply(&mut view, S, snapshot(2, 9, &[worker("j", 0)]));
    assert!(!apply(&mut view, S, snapshot(1, 50, &[worker("i", 0)])));
    assert!(!apply(&mut view, S, snapshot(2, 9, &[])));
    assert!(view.is_listed("s", "j") && !view.is_listed("s", "i"));
    assert!(apply(&mut view, S, snapshot(3, 1, &[worker("i", 0)])));
    assert!(view.is_listed("s", "i"));
}

#[test]
fn key_lease_counts_from_the_time_of_the_request() {
    let mut view = view();
    assert!(!view.keys_valid(S), "no answer yet");
    let version = view.have().config;
    view.apply_freshness(10 * S, Some(AGE_S), version);
    assert!(view.keys_valid(13 * S - 1));
    assert!(!view.keys_valid(13 * S), "four seconds after the data's time, one second before the request");
    view.apply_freshness(9 * S, Some(0), version);
    assert!(!view.keys_valid(13 * S), "an earlier request with no newer data changes nothing");
    view.apply_freshness(12 * S, None, version);
    assert!(!view.keys_valid(13 * S), "an answer without an age extends no lease");
}

#[test]
fn freshness_counts_only_if_its_configuration_is_active() {
    let mut view = view();
    let newer = document(6, "one");
    view.apply_freshness(10 * S, Some(0), Some(newer.version));
    assert!(!view.keys_valid(10 * S), "the newer configuration may revoke a key");
    view.apply_config(&newer);
    assert!(!view.keys_valid(10 * S), "an earlier answer does not count after activation");
    view.apply_freshness(11 * S, Some(0), Some(newer.version));
    assert!(view.keys_valid(11 * S));
    view.apply_freshness(12 * S, Some(0), None);
    assert!(view.keys_valid(15 * S), "a registry without a configuration has nothing newer");
}

#[test]
fn lease_from_before_the_start_is_not_extended() {
    let mut view = view();
    let version = view.have().config;
    view.apply_freshness(S, Some(3 * AGE_S), version);
    assert!(view.keys_valid(2 * S - 1));
    assert!(!view.keys_valid(2 * S), "four seconds after the data's time, two seconds before the start");
    let mut view = self::view();
    view.apply_freshness(S, Some(6 * AGE_S), version);
    assert!(!view.keys_valid(S), "expired before the start");
    assert_eq!(view.freshness().age(S), Some(6 * S));
}

#[test]
fn keys_are_invalid_after_a_five_second_pause_until_a_new_request() {
    let mut view = view();
    let version = view.have().config;
    view.apply_freshness(10 * S, Some(0), version);
    assert!(view.keys_valid(10 * S));
    let resumed = 15 * S;
    assert!(!view.keys_valid(resumed));
    view.apply_freshness(10 * S + 1, Some(0), version);
    assert!(!view.keys_valid(resumed), "an answer counts from the time of its request");
    assert!(view.limit_share().share(resumed) == 0.0, "no share was granted");
    view.apply_freshness(resumed, Some(0), version);
    assert!(view.keys_valid(resumed));
}

#[test]
fn keys_stay_valid_without_fresh_data_if_no_lease_is_set() {
    let mut view = View::new(ViewSettings { key_lease: None, ..SETTINGS });
    view.apply_config(&document(5, "one"));
    assert!(view.keys_valid(1_000 * S));
}

#[test]
fn share_requires_settled_and_fresh_data_and_never_grows() {
    let mut view = view();
    let version = view.have().config;
    view.apply_freshness(10 * S, Some(0), version);
    view.apply_members(4, false);
    assert_eq!(view.limit_share().share(10 * S), 0.0, "the other proxies may still use the whole limit");
    view.apply_members(4, true);
    assert_eq!(view.limit_share().share(10 * S), 0.25);
    assert_eq!(view.limit_share().share(21 * S - 1), 0.25);
    assert_eq!(view.limit_share().share(21 * S), 0.0, "the lease has expired");
    view.apply_members(3, true);
    assert_eq!(view.limit_share().gateways, 4, "a registry that lags behind reports fewer proxies");
    view.apply_members(5, false);
    assert_eq!(view.limit_share().gateways, 5);
}

#[test]
fn proxy_far_behind_catches_up_in_one_step() {
    let mut view = view();
    view.apply_drains(S, &drains(1, true));
    assert!(view.apply_config(&document(4_000, "late")));
    assert!(apply(&mut view, 90 * S, snapshot(40, 3, &[worker("k", 0)])));
    assert!(view.apply_drains(90 * S, &drains(18, false)));
    assert_eq!(serial(&view), Some(4_000));
    assert_eq!(usability(&view, 90 * S), [Usability::Draining], "the drain ended in the meantime");
    assert_eq!(usability(&view, 92 * S), [Usability::Ready]);
}
