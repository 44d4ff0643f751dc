//! Workers that answer slowly or in an unusual form: an answer that may still come isn't given up while its time lasts,
//! unless another attempt follows.

use bytes::Bytes;
use hingestage_dataplane::body::{BodySource, RequestBody};
use hingestage_dataplane::driver::{gatekeeper, Answer, Driver, DriverSettings, IncomingRequest};
use hingestage_dataplane::hooks::NoHooks;
use hingestage_dataplane::protocol::{Classification, RequestParts, WorkerProtocol};
use hingestage_dataplane::workers::WorkerResponseBody;
use hingestage_fixtures::block_on;
use hingestage_platform::{Platform, Tokio};
use hingestage_policy::{
    Class, ClassId, CustomerId, Effect, Limits, ListScope, Outcome, Plan, PlanId, Settings, WorkerId,
    WorkerInfo, WorkerList,
};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, StatusCode};
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that the client waits.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
const TARGET_TIME: Duration = Duration::from_secs(1);
/// Longer than the pause after which an answer counts as stalled.
const PAUSE: Duration = Duration::from_millis(450);
const SHORT_PAUSE: Duration = Duration::from_millis(50);
/// More than is buffered of an answer without a length.
const LONG_LENGTH: usize = 20_000;
/// An answer of another worker is there long before a stalled one times out.
const SOON: Duration = Duration::from_millis(900);
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

/// What a worker does with each request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(&'static str),
    /// Writes [`long`].
    WriteLong,
    Pause(Duration),
    /// Keeps the connection open for the next request.
    Keep,
    /// Holds the connection open without another byte.
    Hang,
    /// Resets the connection; otherwise it ends in order.
    Reset,
}

type Script = &'static [Step];

/// A pause right after the head, then the rest.
const PAUSES: Script = &[Step::Write(OK_HEAD), Step::Pause(PAUSE), Step::Write("hi"), Step::Keep];
/// A head and nothing more.
const STALLS: Script = &[Step::Write(OK_HEAD), Step::Hang];
/// An answer that ends with its connection, whole or reset.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const UNFRAMED: Script = &[
    Step::Write(UNFRAMED_HEAD),
    Step::Pause(SHORT_PAUSE),
    Step::Write("h"),
    Step::Pause(PAUSE),
    Step::Write("i"),
];
const UNFRAMED_RESET: Script =
    &[Step::Write(UNFRAMED_HEAD), Step::Write("h"), Step::Pause(SHORT_PAUSE), Step::Reset];
const UNFRAMED_LONG: Script =
    &[Step::Write(UNFRAMED_HEAD), Step::WriteLong, Step::Pause(SHORT_PAUSE), Step::Write("end")];
const UNFRAMED_LONG_RESET: Script =
    &[Step::Write(UNFRAMED_HEAD), Step::WriteLong, Step::Pause(SHORT_PAUSE), Step::Reset];
/// A failure at once.
const FAILS: Script =
    &[Step::Write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n"), Step::Keep];
const ANSWERS: Script = &[Step::Write(OK_HEAD), Step::Write("hi"), Step::Keep];

struct TestProtocol;

impl WorkerProtocol for TestProtocol {
    fn write_head(&self, _parts: &RequestParts, _worker: WorkerId, _left: Duration, headers: &mut HeaderMap) {
        headers.insert(HOST, HeaderValue::from_static("worker.local"));
    }

    fn classify(&self, _parts: &RequestParts, status: StatusCode, _headers: &HeaderMap) -> Classification {
        let outcome = if status.is_success() { Outcome::Ok } else { Outcome::Error };
        Classification { outcome, true_units: None }
    }

    fn client_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }
}

fn start_worker(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            std::thread::spawn(move || serve(stream, script));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, script: Script) {
    // The kernel resets a connection that is closed with unread input: the last byte of the request.
    let resets = matches!(script.last(), Some(Step::Reset));
    let end: &[u8] = if resets { b"\r\n\r" } else { b"\r\n\r\n" };
    while read_until(&mut stream, end) {
        for step in script {
            match step {
                Step::Write(text) => drop(stream.write_all(text.as_bytes())),
                Step::WriteLong => drop(stream.write_all(long().as_bytes())),
                Step::Pause(pause) => std::thread::sleep(*pause),
                Step::Keep | Step::Reset => {}
                Step::Hang => drop(read_until(&mut stream, end)),
            }
        }
        if !matches!(script.last(), Some(Step::Keep)) {
            return;
        }
    }
}

/// Reads a request up to these bytes; false at the end of the connection.
fn read_until(stream: &mut TcpStream, end: &[u8]) -> bool {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
        if head.ends_with(end) {
            return true;
        }
    }
    false
}

/// A route's terms.
#[derive(Clone, Copy, Debug)]
struct Terms {
    effect: Effect,
    attempts: usize,
    /// Whether a copy is sent to another worker in place of a cancellation.
    copies: bool,
}

const ONCE: Terms = Terms { effect: Effect::AtMostOnce, attempts: 2, copies: false };
const REPEATABLE: Terms = Terms { effect: Effect::Idempotent, attempts: 2, copies: false };
const COPIED: Terms = Terms { copies: true, ..REPEATABLE };
const LAST_ATTEMPT: Terms = Terms { attempts: 1, ..REPEATABLE };

fn settings(terms: Terms) -> DriverSettings {
    let class = Class {
        aim: TARGET_TIME.as_micros() as u64,
        deadline: REQUEST_TIMEOUT.as_micros() as u64,
        effect: terms.effect,
        attempts: terms.attempts,
        ..Class::default()
    };
    let limits = Limits {
        max_attempts: 8,
        second_copies: terms.copies,
        cancel: true,
        refusals_promise: true,
        ..Limits::default()
    };
    DriverSettings {
        policy: Settings {
            instances: 1,
            limits,
            classes: vec![class],
            plans: vec![Plan::default()],
            ..Settings::default()
        },
        seed: 1,
        class_names: vec!["call".into()],
        max_worker_connections: 8,
        connect_timeout: REQUEST_TIMEOUT,
        worker_idle_timeout: Duration::from_secs(60),
        protocol: Rc::new(TestProtocol),
    }
}

/// What the client gets.
#[derive(Debug, PartialEq)]
enum Got {
    Served(String),
    /// The answer began and was broken off.
    BrokenOff,
    /// Refused or failed.
    NotServed,
}

/// Sends one request to the first of some workers, the only one that is listed until the request has been sent.
/// Returns what the client gets and when.
async fn request(terms: Terms, scripts: &[Script]) -> (Got, Duration) {
    let driver = Driver::new(Tokio, settings(terms), Rc::new(NoHooks), gatekeeper);
    for (n, script) in scripts.iter().enumerate() {
        let id = WorkerId(n as u64 + 1);
        driver.workers.update(id, start_worker(script), 1, true);
    }
    let listed = |count: u64| WorkerList {
        scope: ListScope::Full,
        workers: (1..=count).map(|id| WorkerInfo::ready(WorkerId(id))).collect(),
    };
    driver.update_workers(listed(1));
    let start = Instant::now();
    let incoming = IncomingRequest {
        customer: CustomerId("customer".into()),
        class: ClassId(0),
        plan: PlanId(0),
        units: 1.0,
        gateway_count: 1,
        first_gateway: 0,
        deadline: Tokio.now() + REQUEST_TIMEOUT,
        parts: RequestParts {
            method: Method::GET,
            uri: "/".parse().unwrap(),
            id: HeaderValue::from_static("1"),
            headers: HeaderMap::new(),
            body: RequestBody::Buffered(Bytes::new()),
        },
    };
    let (ticket, answer) = driver.admit(incoming).unwrap();
    driver.update_workers(listed(scripts.len() as u64));
    let got = match answer.await {
        Ok(Answer::Served(served)) => match served.body {
            WorkerResponseBody::Buffered(body) => Got::Served(String::from_utf8(body.to_vec()).unwrap()),
            WorkerResponseBody::Streamed(mut rest) => collect(&mut rest.source).await,
        },
        _ => Got::NotServed,
    };
    let took = start.elapsed();
    drop(ticket);
    (got, took)
}

async fn collect(source: &mut BodySource) -> Got {
    let mut text = Vec::new();
    loop {
        match poll_fn(|cx| source.poll(cx)).await {
            (Some(Ok(frame)), _) => text.extend_from_slice(frame.data_ref().unwrap()),
            (Some(Err(_)), _) => return Got::BrokenOff,
            (None, _) => return Got::Served(String::from_utf8(text).unwrap()),
        }
    }
}

fn long() -> String {
    "x".repeat(LONG_LENGTH)
}

fn served(text: &str) -> Got {
    Got::Served(text.into())
}

/// Guards against a 502 in place of an answer that pauses: the attempt was ended as broken, though the request must not
/// be sent again.
#[test]
fn a_pause_within_the_answer_is_waited_for_where_no_other_attempt_may_follow() {
    for terms in [ONCE, LAST_ATTEMPT] {
        let (got, took) = block_on(request(terms, &[PAUSES, ANSWERS]));
        assert_eq!(got, served("hi"), "{terms:?}");
        assert!(took >= PAUSE, "{terms:?}: answered after {took:?}");
    }
}

#[test]
fn a_stalled_answer_is_replaced_where_another_attempt_may_follow() {
    let (got, took) = block_on(request(REPEATABLE, &[STALLS, ANSWERS]));
    assert_eq!(got, served("hi"));
    assert!(took < SOON, "answered after {took:?}");
}

/// Guards against a 502 in place of an answer that pauses: its attempt was given up for one that fails or stalls.
#[test]
fn a_stalled_answer_that_goes_on_counts_whatever_its_copy_does() {
    for copy in [FAILS, STALLS] {
        let (got, took) = block_on(request(COPIED, &[PAUSES, copy]));
        assert_eq!(got, served("hi"), "{copy:?}");
        assert!(took >= PAUSE && took < SOON, "{copy:?}: answered after {took:?}");
    }
    let (got, took) = block_on(request(COPIED, &[STALLS, ANSWERS]));
    assert_eq!((got, took < SOON), (served("hi"), true), "by the copy after {took:?}");
}

#[test]
fn a_stalled_answer_ends_with_the_time_of_its_request() {
    let (got, took) = block_on(request(ONCE, &[STALLS, ANSWERS]));
    assert_eq!(got, Got::NotServed);
    assert!(took > TARGET_TIME && took < 2 * REQUEST_TIMEOUT, "answered after {took:?}");
}

/// Guards against a 502 in place of an answer without a length: it was refused at its head, while the worker was at work.
#[test]
fn an_answer_without_a_length_is_complete_when_its_connection_ends_in_order() {
    for terms in [ONCE, LAST_ATTEMPT, REPEATABLE] {
        let (got, _) = block_on(request(terms, &[UNFRAMED]));
        assert_eq!(got, served("hi"), "{terms:?}");
    }
    let (got, _) = block_on(request(ONCE, &[UNFRAMED_LONG]));
    assert_eq!(got, served(&format!("{}end", long())));
}

/// Guards against a part of an answer that is taken for the whole.
#[test]
fn an_answer_without_a_length_is_not_complete_when_its_connection_is_reset() {
    let (got, _) = block_on(request(ONCE, &[UNFRAMED_RESET, ANSWERS]));
    assert_eq!(got, Got::NotServed);
    let (got, _) = block_on(request(REPEATABLE, &[UNFRAMED_RESET, ANSWERS]));
    assert_eq!(got, served("hi"), "by the other worker");
    let (got, _) = block_on(request(REPEATABLE, &[UNFRAMED_LONG_RESET, ANSWERS]));
    assert_eq!(got, Got::BrokenOff, "streamed");
}
