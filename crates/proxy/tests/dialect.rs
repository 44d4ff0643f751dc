//! What goes to a worker, and what its answers are taken for.

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
fn a_success_counts_only_with_its_seal_its_id_and_no_encoding() {
    assert_eq!(outcome(200, &[ID, SEAL]), Outcome::Ok);
    assert_eq!(outcome(204, &[ID, SEAL]), Outcome::Ok);
    assert_eq!(outcome(200, &[ID]), Outcome::Unusable, "no seal");
    assert_eq!(outcome(200, &[SEAL]), Outcome::Unusable, "no id");
    assert_eq!(outcome(200, &[ID, SEAL, ("content-encoding", "gzip")]), Outcome::Unusable);
}

#[test]
fn an_answer_to_another_request_says_nothing_of_this_one() {
    assert_eq!(outcome(200, &[OTHER_ID, SEAL]), Outcome::Unusable);
    assert_eq!(outcome(503, &[OTHER_ID, NOT_RUN]), Outcome::Unusable, "this one may have run");
    assert_eq!(outcome(421, &[OTHER_ID]), Outcome::Unusable);
}

#[test]
fn only_a_421_and_not_run_say_that_a_request_has_not_run() {
    for status in [400, 429, 503] {
        assert_eq!(outcome(status, &[ID, NOT_RUN]), Outcome::Full, "{status}");
        assert_eq!(outcome(status, &[ID]), Outcome::Error, "{status} without the word");
    }
    assert_eq!(outcome(421, &[ID]), Outcome::Full);
    assert_eq!(outcome(500, &[ID, SEAL]), Outcome::Error);
    assert_eq!(outcome(504, &[ID]), Outcome::Error);
}

#[test]
fn a_connection_whose_answer_carries_no_id_is_not_used_again() {
    let dialect = WorkerDialect::default();
    assert!(dialect.may_reuse(&headers(&[ID])));
    assert!(!dialect.may_reuse(&headers(&[SEAL])));
}

#[test]
fn a_worker_is_told_the_id_what_time_is_left_and_that_it_is_meant() {
    let dialect = WorkerDialect::default();
    dialect.name(WorkerId(1), &"i-1".into());
    dialect.name(WorkerId(2), &"i-2".into());
    dialect.keep_only(|worker| worker == WorkerId(1));
    let head = |worker| {
        let mut head = headers(&[("x-hingestage-deadline-ms", "999999"), OTHER_ID]);
        dialect.write_head(&parts(), worker, Duration::from_micros(1_999_900), &mut head);
        head
    };
    let named = head(WorkerId(1));
    assert_eq!(named["x-hingestage-attempt-id"], ID.1);
    assert_eq!(named["x-hingestage-deadline-ms"], "1999", "never more than is left");
    assert_eq!(named["x-hingestage-target-worker"], "i-1");
    assert!(!head(WorkerId(2)).contains_key("x-hingestage-target-worker"), "it is gone");
}

#[test]
fn headers_of_one_connection_go_no_further() {
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
fn clients_get_the_seal_and_the_id_and_nothing_that_is_for_proxies() {
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
