//! Headers sent to workers and the classification of their responses.

use bytes::Bytes;
use hingestage_dataplane::body::RequestBody;
use hingestage_dataplane::dialect::{Dialect, Parts};
use hingestage_policy::{Outcome, WorkerId};
use hingestage_proxy::dialect::{drop_hop_by_hop, WorkerDialect};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use std::time::Duration;

const ID: (&str, &str) = ("x-hingestage-attempt-id", "9c41");
const OTHER_ID: (&str, &str) = ("x-hingestage-attempt-id", "9c42");
const SEAL: (&str, &str) = ("x-hingestage-server-seal", "3e1b.07");
const NOT_RUN: (&str, &str) = ("x-hingestage-not-run", "full");

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let header = |(name, value): &(&str, &str)| {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        (name, HeaderValue::from_str(value).expect("a value"))
    };
    let mut headers = HeaderMap::new();
    for (name, value) in pairs.iter().map(header) {
        headers.append(name, value);
    }
    headers
}

fn parts() -> Parts {
    Parts {
        method: Method::POST,
        uri: "/a/b?c=d".parse().expect("a path"),
        id: HeaderValue::from_static(ID.1),
        headers: HeaderMap::new(),
        body: RequestBody::Whole(Bytes::new()),
    }
}

fn outcome(status: u16, answer: &[(&str, &str)]) -> Outcome {
    let status = StatusCode::from_u16(status).expect("a status");
    WorkerDialect::default().judge(&parts(), status, &headers(answer)).outcome
}

fn names(headers: &HeaderMap) -> Vec<&str> {
    let mut names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    names
}

#[test]
fn success_requires_seal_and_id_and_no_content_encoding() {
    assert_eq!(outcome(200, &[ID, SEAL]), Outcome::Ok);
    assert_eq!(outcome(204, &[ID, SEAL]), Outcome::Ok);
    assert_eq!(outcome(200, &[ID]), Outcome::Unusable, "no seal");
    assert_eq!(outcome(200, &[SEAL]), Outcome::Unusable, "no id");
    assert_eq!(outcome(200, &[ID, SEAL, ("content-encoding", "gzip")]), Outcome::Unusable);
}

#[test]
fn response_to_another_request_is_unusable() {
    assert_eq!(outcome(200, &[OTHER_ID, SEAL]), Outcome::Unusable);
    assert_eq!(outcome(503, &[OTHER_ID, NOT_RUN]), Outcome::Unusable, "this one may have run");
    assert_eq!(outcome(421, &[OTHER_ID]), Outcome::Unusable);
}

#[test]
fn only_421_and_the_not_run_header_mean_that_a_request_has_not_run() {
    for status in [400, 429, 503] {
        assert_eq!(outcome(status, &[ID, NOT_RUN]), Outcome::Full, "{status}");
        assert_eq!(outcome(status, &[ID]), Outcome::Error, "{status} without the header");
    }
    assert_eq!(outcome(421, &[ID]), Outcome::Full);
    assert_eq!(outcome(500, &[ID, SEAL]), Outcome::Error);
    assert_eq!(outcome(504, &[ID]), Outcome::Error);
}

#[test]
fn connection_is_not_reused_after_a_response_without_id() {
    let dialect = WorkerDialect::default();
    assert!(dialect.may_reuse(&headers(&[ID])));
    assert!(!dialect.may_reuse(&headers(&[SEAL])));
}

#[test]
fn request_head_carries_id_remaining_time_and_target_worker() {
    let dialect = WorkerDialect::default();
    dialect.insert(WorkerId(1), &"i-1".into());
    dialect.insert(WorkerId(2), &"i-2".into());
    dialect.retain(|worker| worker == WorkerId(1));
    let head = |worker| {
        let mut head = headers(&[("x-hingestage-deadline-ms", "999999"), OTHER_ID]);
        dialect.write_head(&parts(), worker, Duration::from_micros(1_999_900), &mut head);
        head
    };
    let known = head(WorkerId(1));
    assert_eq!(known["x-hingestage-attempt-id"], ID.1);
    assert_eq!(known["x-hingestage-deadline-ms"], "1999", "rounded down");
    assert_eq!(known["x-hingestage-target-worker"], "i-1");
    assert!(!head(WorkerId(2)).contains_key("x-hingestage-target-worker"), "removed from the dialect");
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut head = headers(&[
        ("connection", "close, X-Private"),
        ("connection", "X-Other"),
        ("x-private", "1"),
        ("x-other", "1"),
        ("keep-alive", "5"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("proxy-authorization", "x"),
        ("x-kept", "1"),
    ]);
    drop_hop_by_hop(&mut head);
    assert_eq!(names(&head), ["x-kept"]);
}

#[test]
fn internal_headers_are_not_passed_on_to_clients() {
    let answer = [
        ID,
        SEAL,
        ("x-hingestage-worker-load", "3,0,8"),
        ("x-hingestage-target-worker", "i-1"),
        ("content-length", "5"),
        ("connection", "close"),
        ("content-type", "text/plain"),
    ];
    let passed = WorkerDialect::default().passed_on(&headers(&answer));
    assert_eq!(names(&passed), ["content-type", ID.0, SEAL.0]);
}
