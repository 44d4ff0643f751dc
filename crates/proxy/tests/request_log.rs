//! Request counters, the request history and their limits.

use compact_str::{format_compact, CompactString};
use hingestage_proxy::counters::{Counters, MAX_TENANTS};
use hingestage_proxy::recent::{RecentRequests, MAX_REQUESTS, MAX_RESULTS};
use hingestage_proxy::request_log::{RequestLog, MAX_ID_LEN};
use hingestage_rpc::status::{
    AttemptOutcome, AttemptRecord, OutcomeCount, OutcomeKind, RequestOutcome, RequestRecord, TenantCounters,
};
use hyper::header::HeaderValue;
use std::rc::Rc;

const ALPHA: CompactString = CompactString::const_new("alpha");
const NO_TENANT: CompactString = CompactString::const_new("");

fn tenant(number: usize) -> CompactString {
    format_compact!("tenant-{number}")
}

fn record(number: usize) -> RequestRecord {
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
fn every_outcome_has_its_own_counter() {
    for (index, outcome) in RequestOutcome::ALL.into_iter().enumerate() {
        assert_eq!(outcome as usize, index, "{outcome:?}");
        let mut counters = Counters::default();
        counters.request_ended(&NO_TENANT, outcome);
        assert_eq!(counters.nonzero(), [OutcomeCount { outcome, count: 1 }]);
    }
}

#[test]
fn tenant_counters_group_outcomes_by_kind_and_keep_the_last_refusal() {
    let mut counters = Counters::default();
    for outcome in RequestOutcome::ALL {
        counters.request_ended(&ALPHA, outcome);
    }
    counters.request_ended(&ALPHA, RequestOutcome::QuotaExhausted);
    counters.request_ended(&ALPHA, RequestOutcome::Served);
    let of_kind = |kind| RequestOutcome::ALL.iter().filter(|outcome| outcome.kind() == kind).count() as u64;
    let expected = TenantCounters {
        served: of_kind(OutcomeKind::Served) + 1,
        refused: of_kind(OutcomeKind::Refused) + 1,
        failed: of_kind(OutcomeKind::Failed),
        last_refusal: Some(RequestOutcome::QuotaExhausted),
    };
    assert_eq!(counters.tenant("alpha"), Some(&expected));
    assert_eq!(counters.tenant("beta"), None);
}

#[test]
fn request_without_a_tenant_counts_only_in_the_total() {
    let mut counters = Counters::default();
    counters.request_ended(&NO_TENANT, RequestOutcome::UnknownKey);
    assert_eq!(counters.requests(RequestOutcome::UnknownKey), 1);
    assert_eq!(counters.tenant_count(), 0);
}

#[test]
fn tenant_table_is_bounded_and_evicts_unused_tenants() {
    let mut counters = Counters::default();
    let rounds = 5 * MAX_TENANTS;
    for number in 0..rounds {
        counters.request_ended(&tenant(number), RequestOutcome::Served);
        counters.request_ended(&ALPHA, RequestOutcome::Served);
        assert!(counters.tenant_count() <= MAX_TENANTS, "{} after {number}", counters.tenant_count());
    }
    assert_eq!(counters.tenant("alpha").map(|tenant| tenant.served), Some(rounds as u64));
    assert_eq!(counters.tenant(&tenant(0)), None, "evicted");
    assert!(counters.tenant(&tenant(rounds - 1)).is_some(), "the last one");
    assert!(counters.tenant(&tenant(rounds - MAX_TENANTS / 3)).is_some(), "recently used");
    assert_eq!(
        counters.requests(RequestOutcome::Served),
        2 * rounds as u64,
        "the total includes evicted tenants"
    );
}

#[test]
fn history_is_bounded_and_queries_return_newest_first() {
    let mut recent = RecentRequests::default();
    for number in 0..MAX_REQUESTS + 1 {
        recent.push(number as u64 * 1_000, record(number));
    }
    assert_eq!(recent.len(), MAX_REQUESTS);
    let now = (MAX_REQUESTS as u64 + 10) * 1_000;
    assert_eq!(recent.find(now, "id-0"), [], "the oldest is evicted");
    let first = &recent.find(now, "id-1")[0];
    assert_eq!((first.age, first.status), (MAX_REQUESTS as u64 + 9, Some(200)));
    let of_tenant = recent.find(now, "alpha");
    assert_eq!(of_tenant.len(), MAX_RESULTS);
    assert_eq!(of_tenant[0].id, format_compact!("id-{MAX_REQUESTS}"));
    assert!(of_tenant.windows(2).all(|pair| pair[0].age < pair[1].age));
    assert_eq!(recent.find(now, "beta"), []);
}

#[test]
fn finished_request_is_recorded_with_its_attempts_and_response() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut request = log.begin(5_000, Some(&id));
    request.set_route(&"shop".into(), &ALPHA);
    request.set_service(&"blue".into());
    request.start_attempts(&id);
    log.attempt_ended(&id, attempt("w-1", AttemptOutcome::ConnectFailed));
    log.attempt_ended(&id, attempt("w-2", AttemptOutcome::Served));
    request.answered(200, RequestOutcome::Served);
    // A cancelled attempt may end after the response.
    log.attempt_ended(&id, attempt("w-3", AttemptOutcome::Cancelled));
    let explained = log.explain(9_000, "9c41");
    let [record] = explained.requests.as_slice() else { panic!("{explained:?}") };
    assert_eq!((record.age, record.status, record.outcome), (4, Some(200), RequestOutcome::Served));
    assert_eq!((&*record.route, &*record.tenant, &*record.service), ("shop", "alpha", "blue"));
    let expected = [attempt("w-1", AttemptOutcome::ConnectFailed), attempt("w-2", AttemptOutcome::Served)];
    assert_eq!(record.attempts, expected);
    assert_eq!((log.counters().attempts(), log.open_requests()), (3, 0));
}

#[test]
fn duplicate_of_an_open_request_does_not_change_its_attempts() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut first = log.begin(0, Some(&id));
    first.start_attempts(&id);
    log.attempt_ended(&id, attempt("w-1", AttemptOutcome::Served));
    let mut second = log.begin(1_000, Some(&id));
    second.start_attempts(&id);
    second.answered(409, RequestOutcome::DuplicateId);
    first.answered(200, RequestOutcome::Served);
    let attempts: Vec<usize> =
        log.explain(2_000, "9c41").requests.iter().map(|record| record.attempts.len()).collect();
    assert_eq!(attempts, [1, 0], "newest first: the first request ended last");
}

#[test]
fn request_dropped_without_an_answer_counts_as_client_left() {
    let log = Rc::new(RequestLog::default());
    let id = HeaderValue::from_static("9c41");
    let mut request = log.begin(0, Some(&id));
    request.start_attempts(&id);
    drop(request);
    let record = &log.explain(0, "9c41").requests[0];
    assert_eq!((record.status, record.outcome), (None, RequestOutcome::ClientLeft));
    assert_eq!((log.counters().requests(RequestOutcome::ClientLeft), log.open_requests()), (1, 0));
}

#[test]
fn long_id_is_truncated_and_still_found() {
    let log = Rc::new(RequestLog::default());
    let text = "x".repeat(MAX_ID_LEN * 3);
    let id = HeaderValue::from_str(&text).expect("a value");
    log.begin(0, Some(&id)).answered(404, RequestOutcome::UnknownRoute);
    let explained = log.explain(0, &text);
    assert_eq!(explained.requests[0].id.len(), MAX_ID_LEN);
}
