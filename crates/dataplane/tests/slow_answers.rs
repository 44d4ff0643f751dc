//! Workers that answer slowly or in an unusual form: an answer that may still come isn't given up while its time lasts,
//! unless another attempt follows.

use bytes::Bytes;
use hingestage_dataplane::body::RequestBody;
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
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that the client waits.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
const TARGET_TIME: Duration = Duration::from_secs(1);
/// Longer than the pause after which an answer counts as stalled.
const PAUSE: Duration = Duration::from_millis(450);
/// An answer of another worker is there long before a stalled one times out.
const SOON: Duration = Duration::from_millis(900);
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

/// What a worker does with each request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(&'static str),
    Pause(Duration),
    /// Keeps the connection open for the next request.
    Keep,
    /// Holds the connection open without another byte.
    Hang,
}

type Script = &'static [Step];

/// A pause right after the head, then the rest.
const PAUSES: Script = &[Step::Write(OK_HEAD), Step::Pause(PAUSE), Step::Write("hi"), Step::Keep];
/// A head and nothing more.
const STALLS: Script = &[Step::Write(OK_HEAD), Step::Hang];
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
    while read_head(&mut stream) {
        for step in script {
            match step {
                Step::Write(text) => drop(stream.write_all(text.as_bytes())),
                Step::Pause(pause) => std::thread::sleep(*pause),
                Step::Keep => {}
                Step::Hang => drop(read_head(&mut stream)),
            }
        }
        if !matches!(script.last(), Some(Step::Keep)) {
            return;
        }
    }
}

/// Reads a request; false at the end of the connection.
fn read_head(stream: &mut TcpStream) -> bool {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
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
}

const ONCE: Terms = Terms { effect: Effect::AtMostOnce, attempts: 2 };
const REPEATABLE: Terms = Terms { effect: Effect::Idempotent, attempts: 2 };
const LAST_ATTEMPT: Terms = Terms { effect: Effect::Idempotent, attempts: 1 };

fn settings(terms: Terms) -> DriverSettings {
    let class = Class {
        aim: TARGET_TIME.as_micros() as u64,
        deadline: REQUEST_TIMEOUT.as_micros() as u64,
        effect: terms.effect,
        attempts: terms.attempts,
        ..Class::default()
    };
    let limits = Limits { max_attempts: 8, cancel: true, refusals_promise: true, ..Limits::default() };
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
            WorkerResponseBody::Streamed(_) => panic!("a short answer is buffered"),
        },
        _ => Got::NotServed,
    };
    let took = start.elapsed();
    drop(ticket);
    (got, took)
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

#[test]
fn a_stalled_answer_ends_with_the_time_of_its_request() {
    let (got, took) = block_on(request(ONCE, &[STALLS, ANSWERS]));
    assert_eq!(got, Got::NotServed);
    assert!(took > TARGET_TIME && took < 2 * REQUEST_TIMEOUT, "answered after {took:?}");
}
