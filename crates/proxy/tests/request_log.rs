//! Counters of requests, and the bounds of what is remembered of them.

use compact_str::{format_compact, CompactString};
use hingestage_proxy::counters::{Counters, TENANTS_MAX};
use hingestage_proxy::recent::{RecentRequests, ANSWER_MAX, REQUESTS_MAX};
use hingestage_proxy::request_log::{RequestLog, ID_MAX};
use hingestage_rpc::status::{
    AttemptOutcome, AttemptRecord, OutcomeCount, OutcomeKind, RequestOutcome, RequestRecord, TenantCounters,
};
use hyper::header::HeaderValue;
use std::rc::Rc;

const ALPHA: CompactString = CompactString::const_new("alpha");
const NOBODY: CompactString = CompactString::const_new("");

fn tenant(number: usize) -> CompactString {
    format_compact!("tenant-{number}")
}

fn ended(number: usize) -> RequestRecord {
    RequestRecord {
        id: format_compact!("id-{number}"),
        age: 0,
        route: "shop".into(),
        tenant: ALPHA,
        service: "blue".into(),
        attempts: Vec::new(),
        status: Some(200),
        outcome: RequestOutcome::Served,
    }
}

fn attempt(worker: &str, outcome: AttemptOutcome) -> AttemptRecord {
    AttemptRecord { worker: worker.into(), outcome }
}

#[test]
fn every_outcome_has_a_counter_of_its_own() {
    for (place, outcome) in RequestOutcome::ALL.into_iter().enumerate() {
        assert_eq!(outcome as usize, place, "{outcome:?}");
        let mut counters = Counters::default();
        counters.request_ended(&NOBODY, outcome);
        assert_eq!(counters.occurred(), [OutcomeCount { outcome, count: 1 }]);
    }
}

#[test]
fn a_tenant_has_counts_by_kind_and_the_reason_of_its_last_refusal() {
    let mut counters = Counters::default();
    for outcome in RequestOutcome::ALL {
        counters.request_ended(&ALPHA, outcome);
    }
    counters.request_ended(&ALPHA, RequestOutcome::QuotaUsedUp);
    counters.request_ended(&ALPHA, RequestOutcome::Served);
    let of_kind = |kind| RequestOutcome::ALL.iter().filter(|outcome| outcome.kind() == kind).count() as u64;
    let expected = TenantCounters {
        served: of_kind(OutcomeKind::Served) + 1,
        refused: of_kind(OutcomeKind::Refused) + 1,
        failed: of_kind(OutcomeKind::Failed),
        last_refusal: Some(RequestOutcome::QuotaUsedUp),
    };
    assert_eq!(counters.tenant("alpha"), Some(&expected));
    assert_eq!(counters.tenant("beta"), None);
}

#[test]
fn a_request_without_a_tenant_is_counted_in_sum_only() {
    let mut counters = Counters::default();
    counters.request_ended(&NOBODY, RequestOutcome::UnknownKey);
    assert_eq!(counters.requests(RequestOutcome::UnknownKey), 1);
    assert_eq!(counters.tenants(), 0);
}

#[test]
fn tenants_are_bounded_and_one_that_is_used_often_is_kept() {
    let mut counters = Counters::default();
    let rounds = 5 * TENANTS_MAX;
    for number in 0..rounds {
        counters.request_ended(&tenant(number), RequestOutcome::Served);
        counters.request_ended(&ALPHA, RequestOutcome::Served);
        assert!(counters.tenants() <= TENANTS_MAX, "{} after {number}", counters.tenants());
    }
    assert_eq!(counters.tenant("alpha").map(|tenant| tenant.served), Some(rounds as u64));
    assert_eq!(counters.tenant(&tenant(0)), None, "forgotten");
    assert!(counters.tenant(&tenant(rounds - 1)).is_some(), "used last");
    assert!(counters.tenant(&tenant(rounds - TENANTS_MAX / 3)).is_some(), "used lately");
    assert_eq!(counters.requests(RequestOutcome::Served), 2 * rounds as u64, "the sum forgets nothing");
}

#[test]
fn the_ring_keeps_the_last_requests_and_answers_with_the_newest_first() {
    let mut recent = RecentRequests::default();
    for number in 0..REQUESTS_MAX + 1 {
        recent.push(number as u64 * 1_000, ended(number));
    }
    assert_eq!(recent.len(), REQUESTS_MAX);
    let now = (REQUESTS_MAX as u64 + 10) * 1_000;
    assert_eq!(recent.find(now, "id-0"), [], "the oldest has gone");
    let first = &recent.find(now, "id-1")[0];
    assert_eq!((first.age, first.status), (REQUESTS_MAX as u64 + 9, Some(200)));
    let of_tenant = recent.find(now, "alpha");
    assert_eq!(of_tenant.len(), ANSWER_MAX);
    assert_eq!(of_tenant[0].id, format_compact!("id-{REQUESTS_MAX}"));
    assert!(of_tenant.windows(2).all(|pair| pair[0].age < pair[1].age));
    assert_eq!(recent.find(now, "beta"), []);
}

#[test]
fn a_request_is_remembered_with_its_attempts_and_its_answer() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut request = log.begin(5_000, Some(&id));
    request.routed(&"shop".into(), &ALPHA);
    request.bound_for(&"blue".into());
    request.sending(&id);
    log.attempt_ended(&id, attempt("w-1", AttemptOutcome::ConnectFailed));
    log.attempt_ended(&id, attempt("w-2", AttemptOutcome::Served));
    request.answered(200, RequestOutcome::Served);
    // An attempt that was called off may end after the answer.
    log.attempt_ended(&id, attempt("w-3", AttemptOutcome::Cancelled));
    let explained = log.explain(9_000, "9c41");
    let [record] = explained.requests.as_slice() else { panic!("{explained:?}") };
    assert_eq!((record.age, record.status, record.outcome), (4, Some(200), RequestOutcome::Served));
    assert_eq!((&*record.route, &*record.tenant, &*record.service), ("shop", "alpha", "blue"));
    let expected = [attempt("w-1", AttemptOutcome::ConnectFailed), attempt("w-2", AttemptOutcome::Served)];
    assert_eq!(record.attempts, expected);
    assert_eq!((log.counters().attempts(), log.open()), (3, 0));
}

#[test]
fn a_second_request_with_an_open_id_leaves_the_first_ones_attempts_alone() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut first = log.begin(0, Some(&id));
    first.sending(&id);
    log.attempt_ended(&id, attempt("w-1", AttemptOutcome::Served));
    let mut second = log.begin(1_000, Some(&id));
    second.sending(&id);
    second.answered(409, RequestOutcome::DuplicateId);
    first.answered(200, RequestOutcome::Served);
    let attempts: Vec<usize> =
        log.explain(2_000, "9c41").requests.iter().map(|record| record.attempts.len()).collect();
    assert_eq!(attempts, [1, 0], "the first one ended last");
}

#[test]
fn a_request_dropped_without_an_answer_is_one_whose_client_left() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut request = log.begin(0, Some(&id));
    request.sending(&id);
    drop(request);
    let record = &log.explain(0, "9c41").requests[0];
    assert_eq!((record.status, record.outcome), (None, RequestOutcome::ClientLeft));
    assert_eq!((log.counters().requests(RequestOutcome::ClientLeft), log.open()), (1, 0));
}

#[test]
fn a_long_id_is_cut_and_found_all_the_same() {
    let log = Rc::new(RequestLog::default());
    let text = "x".repeat(ID_MAX * 3);
    let id = HeaderValue::from_str(&text).expect("a value");
    log.begin(0, Some(&id)).answered(404, RequestOutcome::UnknownRoute);
    let explained = log.explain(0, &text);
    assert_eq!(explained.requests[0].id.len(), ID_MAX);
}
