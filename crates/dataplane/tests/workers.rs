//! Connections to workers on real sockets: which answers are whole, and which connections serve again.

use bytes::Bytes;
use hingestage_dataplane::body::RequestBody;
use hingestage_dataplane::dialect::{Dialect, Judgement, Parts};
use hingestage_dataplane::workers::{Progress, Served, ServedBody, Times, Workers};
use hingestage_platform::{Platform, Tokio};
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const WORKER: WorkerId = WorkerId(1);
const PATIENCE: Duration = Duration::from_secs(5);
/// A connection rests for a moment before it serves again.
const REST: Duration = Duration::from_millis(20);
const WORKER_IDLE: Duration = Duration::from_secs(60);
const PLAIN: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";

/// Takes each answer below 500 for a good one.
#[derive(Default)]
struct Plain {
    heads_seen: Cell<usize>,
}

impl Dialect for Plain {
    fn write_head(&self, parts: &Parts, _worker: WorkerId, _left: Duration, headers: &mut HeaderMap) {
        headers.insert(HOST, HeaderValue::from_static("worker.local"));
        headers.insert("call-id", parts.id.clone());
    }

    fn judge(&self, _parts: &Parts, status: StatusCode, _headers: &HeaderMap) -> Judgement {
        let outcome = if status.is_server_error() { Outcome::Error } else { Outcome::Ok };
        Judgement { outcome, true_units: None }
    }

    fn passed_on(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn listen(&self, _worker: WorkerId, _headers: &HeaderMap) {
        self.heads_seen.set(self.heads_seen.get() + 1);
    }

    fn may_reuse(&self, headers: &HeaderMap) -> bool {
        !headers.contains_key("leave")
    }
}

/// A worker that gives every request the same answer.
struct Worker {
    answer: &'static str,
    connections: Cell<usize>,
    heads: RefCell<Vec<String>>,
}

impl Worker {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.set(self.connections.get() + 1);
            tokio::task::spawn_local(self.clone().answer_all(stream));
        }
    }

    /// Leaves the connection open whatever the answer says: closing is for the other side here.
    async fn answer_all(self: Rc<Self>, mut stream: TcpStream) {
        let mut head = Vec::new();
        while let Ok(byte) = stream.read_u8().await {
            head.push(byte);
            if head.ends_with(b"\r\n\r\n") {
                self.heads.borrow_mut().push(String::from_utf8_lossy(&head).into_owned());
                head.clear();
                let _ = stream.write_all(self.answer.as_bytes()).await;
            }
        }
    }
}

/// What came of two requests, one after the other.
struct Played {
    outcome: Outcome,
    served: Option<Served<TcpStream>>,
    /// Connections that the two took.
    connections: usize,
    heads: Vec<String>,
    heads_seen: usize,
}

fn play(method: Method, answer: &'static str) -> Played {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, ask_twice(method, answer))
}

async fn ask_twice(method: Method, answer: &'static str) -> Played {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let worker = Rc::new(Worker { answer, connections: Cell::new(0), heads: RefCell::default() });
    tokio::task::spawn_local(worker.clone().serve(listener));
    let dialect = Rc::new(Plain::default());
    let workers = Workers::new(Tokio, 8, PATIENCE, WORKER_IDLE, dialect.clone());
    workers.list(WORKER, at, 1, true);
    let first = ask(&workers, &method).await;
    ask(&workers, &method).await;
    Played {
        outcome: first.0,
        served: first.1,
        connections: worker.connections.get(),
        heads: worker.heads.take(),
        heads_seen: dialect.heads_seen.get(),
    }
}

async fn ask(workers: &Workers<Tokio>, method: &Method) -> (Outcome, Option<Served<TcpStream>>) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("text/plain"));
    let parts = Rc::new(Parts {
        method: method.clone(),
        uri: "/path?query".parse().unwrap(),
        id: HeaderValue::from_static("id-1"),
        headers,
        body: RequestBody::Whole(Bytes::new()),
    });
    let deadline = Tokio.now() + PATIENCE;
    let times = Times { begin_by: deadline, deadline };
    let mut attempted = workers.attempt(WORKER, &parts, times, &Progress::default()).await;
    let ended = (attempted.outcome, attempted.served.take());
    workers.give_back(WORKER, attempted).await;
    Tokio.sleep(REST).await;
    ended
}

fn body(served: Option<Served<TcpStream>>) -> Bytes {
    match served.map(|served| served.body) {
        Some(ServedBody::Whole(bytes)) => bytes,
        _ => panic!("no whole answer"),
    }
}

#[test]
fn a_head_is_written_by_the_dialect_and_a_good_answer_keeps_status_and_headers() {
    let played = play(Method::GET, "HTTP/1.1 404 Not Found\r\nkind: none\r\ncontent-length: 2\r\n\r\nno");
    assert_eq!(played.outcome, Outcome::Ok);
    for line in
        ["GET /path?query HTTP/1.1", "host: worker.local", "call-id: id-1", "content-type: text/plain"]
    {
        assert!(played.heads[0].contains(line), "{line} is missing: {}", played.heads[0]);
    }
    let served = played.served.unwrap();
    assert_eq!(served.status, StatusCode::NOT_FOUND);
    assert_eq!(served.headers["kind"], "none");
    assert_eq!(body(Some(served)), "no");
    assert_eq!((played.connections, played.heads_seen), (1, 2));
}

#[test]
fn an_answer_that_has_no_body_by_rule_is_whole_without_a_length() {
    for (method, answer) in [
        (Method::GET, "HTTP/1.1 204 No Content\r\n\r\n"),
        (Method::GET, "HTTP/1.1 304 Not Modified\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 90000000\r\n\r\n"),
    ] {
        let played = play(method, answer);
        assert_eq!((played.outcome, played.connections), (Outcome::Ok, 1), "{answer:?}");
        assert_eq!(body(played.served), "", "{answer:?}");
    }
}

#[test]
fn a_good_answer_without_a_length_is_spoilt_and_a_bad_one_costs_its_connection() {
    let good = play(Method::GET, "HTTP/1.1 200 OK\r\n\r\nhi");
    assert_eq!((good.outcome, good.connections), (Outcome::Unusable, 2));
    let bad = play(Method::GET, "HTTP/1.1 500 Internal Server Error\r\n\r\nno");
    assert_eq!((bad.outcome, bad.connections), (Outcome::Error, 2));
}

#[test]
fn a_connection_serves_again_unless_worker_or_dialect_says_otherwise() {
    for (answer, connections) in [
        (PLAIN, 1),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi", 2),
        ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nhi", 2),
        ("HTTP/1.1 200 OK\r\nleave: now\r\ncontent-length: 2\r\n\r\nhi", 2),
    ] {
        let played = play(Method::GET, answer);
        assert_eq!((played.outcome, played.connections), (Outcome::Ok, connections), "{answer:?}");
    }
}

#[test]
fn a_connection_idles_no_longer_than_its_worker_says_less_a_second() {
    for (told, connections) in [
        ("timeout=5, max=100", 1),
        ("max=100, Timeout = 60", 1),
        ("timeout=1", 2),
        ("timeout=0", 2),
        ("timeout=soon", 1),
        ("max=100", 1),
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\nKeep-Alive: {told}\r\ncontent-length: 2\r\n\r\nhi");
        let played = play(Method::GET, answer.leak());
        assert_eq!((played.outcome, played.connections), (Outcome::Ok, connections), "{told}");
    }
}
