//! Worker connections on real sockets: response framing and connection reuse.

use bytes::Bytes;
use hingestage_dataplane::attempt_progress::AttemptProgress;
use hingestage_dataplane::body::RequestBody;
use hingestage_dataplane::protocol::{Classification, RequestParts, WorkerProtocol};
use hingestage_dataplane::workers::{AttemptTimes, WorkerResponse, WorkerResponseBody, Workers};
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
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the minimum idle time before reuse.
const IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);
const WORKER_IDLE: Duration = Duration::from_secs(60);
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";

/// Treats each response below 500 as successful.
#[derive(Default)]
struct TestProtocol {
    headers_observed: Cell<usize>,
}

impl WorkerProtocol for TestProtocol {
    fn write_head(&self, parts: &RequestParts, _worker: WorkerId, _left: Duration, headers: &mut HeaderMap) {
        headers.insert(HOST, HeaderValue::from_static("worker.local"));
        headers.insert("call-id", parts.id.clone());
    }

    fn classify(&self, _parts: &RequestParts, status: StatusCode, _headers: &HeaderMap) -> Classification {
        let outcome = if status.is_server_error() { Outcome::Error } else { Outcome::Ok };
        Classification { outcome, true_units: None }
    }

    fn client_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn observe_headers(&self, _worker: WorkerId, _headers: &HeaderMap) {
        self.headers_observed.set(self.headers_observed.get() + 1);
    }

    fn may_reuse(&self, headers: &HeaderMap) -> bool {
        !headers.contains_key("leave")
    }
}

/// A worker that answers every request alike.
struct Worker {
    answer: &'static str,
    /// Whether it closes each connection after its answer.
    closes: bool,
    connections: Cell<usize>,
    head_texts: RefCell<Vec<String>>,
}

impl Worker {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.set(self.connections.get() + 1);
            tokio::task::spawn_local(self.clone().answer_all(stream));
        }
    }

    /// Closes no connection unless told so, whatever the response says.
    async fn answer_all(self: Rc<Self>, mut stream: TcpStream) {
        let mut head = Vec::new();
        while let Ok(byte) = stream.read_u8().await {
            head.push(byte);
            if head.ends_with(b"\r\n\r\n") {
                self.head_texts.borrow_mut().push(String::from_utf8_lossy(&head).into_owned());
                head.clear();
                let _ = stream.write_all(self.answer.as_bytes()).await;
                if self.closes {
                    return;
                }
            }
        }
    }
}

/// The results of two consecutive requests.
struct Exchanges {
    outcome: Outcome,
    served: Option<WorkerResponse<TcpStream>>,
    /// Connections that the two requests used.
    connections: usize,
    head_texts: Vec<String>,
    headers_observed: usize,
}

fn exchange_twice(method: Method, answer: &'static str) -> Exchanges {
    exchange_twice_with(method, answer, false)
}

fn exchange_twice_with(method: Method, answer: &'static str, closes: bool) -> Exchanges {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, request_twice(method, answer, closes))
}

async fn request_twice(method: Method, answer: &'static str, closes: bool) -> Exchanges {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let worker =
        Rc::new(Worker { answer, closes, connections: Cell::new(0), head_texts: RefCell::default() });
    tokio::task::spawn_local(worker.clone().serve(listener));
    let protocol = Rc::new(TestProtocol::default());
    let workers = Workers::new(Tokio, 8, TIMEOUT, WORKER_IDLE, protocol.clone());
    workers.update(WORKER, at, 1, true);
    let first = request(&workers, &method).await;
    request(&workers, &method).await;
    Exchanges {
        outcome: first.0,
        served: first.1,
        connections: worker.connections.get(),
        head_texts: worker.head_texts.take(),
        headers_observed: protocol.headers_observed.get(),
    }
}

async fn request(workers: &Workers<Tokio>, method: &Method) -> (Outcome, Option<WorkerResponse<TcpStream>>) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("text/plain"));
    let parts = Rc::new(RequestParts {
        method: method.clone(),
        uri: "/path?query".parse().unwrap(),
        id: HeaderValue::from_static("id-1"),
        headers,
        body: RequestBody::Buffered(Bytes::new()),
    });
    let deadline = Tokio.now() + TIMEOUT;
    let times = AttemptTimes { begin_by: deadline, deadline };
    let mut attempted = workers.attempt(WORKER, &parts, times, &AttemptProgress::default()).await;
    let ended = (attempted.outcome, attempted.served.take());
    workers.release(WORKER, attempted).await;
    Tokio.sleep(IDLE_BEFORE_REUSE).await;
    ended
}

fn body(served: Option<WorkerResponse<TcpStream>>) -> Bytes {
    match served.map(|served| served.body) {
        Some(WorkerResponseBody::Buffered(bytes)) => bytes,
        _ => panic!("no whole answer"),
    }
}

#[test]
fn the_protocol_writes_the_head_and_a_response_keeps_status_and_headers() {
    let exchanges =
        exchange_twice(Method::GET, "HTTP/1.1 404 Not Found\r\nkind: none\r\ncontent-length: 2\r\n\r\nno");
    assert_eq!(exchanges.outcome, Outcome::Ok);
    for line in
        ["GET /path?query HTTP/1.1", "host: worker.local", "call-id: id-1", "content-type: text/plain"]
    {
        assert!(exchanges.head_texts[0].contains(line), "{line} is missing: {}", exchanges.head_texts[0]);
    }
    let served = exchanges.served.unwrap();
    assert_eq!(served.status, StatusCode::NOT_FOUND);
    assert_eq!(served.headers["kind"], "none");
    assert_eq!(body(Some(served)), "no");
    assert_eq!((exchanges.connections, exchanges.headers_observed), (1, 2));
}

#[test]
fn a_response_that_never_has_a_body_needs_no_length() {
    for (method, answer) in [
        (Method::GET, "HTTP/1.1 204 No Content\r\n\r\n"),
        (Method::GET, "HTTP/1.1 304 Not Modified\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 90000000\r\n\r\n"),
    ] {
        let exchanges = exchange_twice(method, answer);
        assert_eq!((exchanges.outcome, exchanges.connections), (Outcome::Ok, 1), "{answer:?}");
        assert_eq!(body(exchanges.served), "", "{answer:?}");
    }
}

#[test]
fn a_response_without_framing_ends_with_its_connection() {
    let good = exchange_twice_with(Method::GET, "HTTP/1.1 200 OK\r\n\r\nhi", true);
    assert_eq!((good.outcome, good.connections), (Outcome::Ok, 2));
    assert_eq!(body(good.served), "hi");
    let bad = exchange_twice_with(Method::GET, "HTTP/1.1 500 Internal Server Error\r\n\r\nno", true);
    assert_eq!((bad.outcome, bad.connections), (Outcome::Error, 2));
}

#[test]
fn a_connection_is_reused_unless_the_worker_or_the_protocol_forbids_it() {
    for (answer, connections) in [
        (OK_RESPONSE, 1),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi", 2),
        ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nhi", 2),
        ("HTTP/1.1 200 OK\r\nleave: now\r\ncontent-length: 2\r\n\r\nhi", 2),
    ] {
        let exchanges = exchange_twice(Method::GET, answer);
        assert_eq!((exchanges.outcome, exchanges.connections), (Outcome::Ok, connections), "{answer:?}");
    }
}

#[test]
fn keep_alive_timeouts_of_workers_limit_reuse() {
    for (announced, connections) in [
        ("timeout=5, max=100", 1),
        ("max=100, Timeout = 60", 1),
        ("timeout=1", 2),
        ("timeout=0", 2),
        ("timeout=soon", 1),
        ("max=100", 1),
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\nKeep-Alive: {announced}\r\ncontent-length: 2\r\n\r\nhi");
        let exchanges = exchange_twice(Method::GET, answer.leak());
        assert_eq!((exchanges.outcome, exchanges.connections), (Outcome::Ok, connections), "{announced}");
    }
}
