//! Client connections on real sockets: timeouts and shutdown.

use bytes::Bytes;
use hingestage_dataplane::client::{Client, ClientTimeouts};
use hingestage_dataplane::connections::{ConnectionSettings, Connections, RequestHandler};
use hingestage_dataplane::shutdown::{Shutdown, ShutdownReport};
use hingestage_fixtures::block_on as run;
use hingestage_platform::{Platform, Tokio};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(30);
/// Much longer than `SHORT`, much shorter than `LONG`.
const LATE: Duration = Duration::from_secs(5);
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    first_head_timeout: LONG,
    header_timeout: LONG,
    idle_timeout: LONG,
    write_timeout: LONG,
};
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Answers every request with `ok`, after a delay.
#[derive(Default)]
struct OkHandler {
    delay: Duration,
    /// Time that each request may take.
    timeout: Duration,
    /// Requests received.
    received: Cell<usize>,
    /// Requests after this many take [`LONG`].
    slow_after: Option<usize>,
}

impl RequestHandler for OkHandler {
    type Body = Full<Bytes>;

    async fn handle(
        self: &Rc<Self>,
        _request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> Response<Full<Bytes>> {
        self.received.set(self.received.get() + 1);
        let now = Tokio.now();
        if client.begin_request(now, now + self.timeout).is_none() {
            return self.refused();
        }
        let is_slow = self.slow_after.is_some_and(|requests| self.received.get() > requests);
        Tokio.sleep(if is_slow { LONG } else { self.delay }).await;
        Response::new(Full::from("ok"))
    }

    fn keeps_connections(&self) -> bool {
        true
    }

    fn refused(&self) -> Response<Full<Bytes>> {
        Response::new(Full::from("refused"))
    }

    fn abandoned(&self) -> Response<Full<Bytes>> {
        Response::new(Full::from("abandoned"))
    }
}

struct TestServer {
    connections: Rc<Connections<Tokio, OkHandler>>,
    handler: Rc<OkHandler>,
    listener: TcpListener,
}

impl TestServer {
    async fn new(timeouts: ClientTimeouts) -> TestServer {
        TestServer::with_handler(timeouts, OkHandler::default()).await
    }

    async fn with_handler(timeouts: ClientTimeouts, handler: OkHandler) -> TestServer {
        let settings =
            ConnectionSettings { max_connections: 8, max_idle: 8, timeouts, max_head_bytes: 16 * 1024 };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let handler = Rc::new(handler);
        TestServer { connections: Connections::new(Tokio, handler.clone(), settings), handler, listener }
    }

    /// Accepts connections while `client` runs.
    async fn run_with<T>(&self, client: impl Future<Output = T>) -> T {
        tokio::select! {
            done = client => done,
            () = self.connections.accept(&self.listener) => unreachable!(),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.local_addr().unwrap()).await.unwrap()
    }
}

async fn request(stream: &mut TcpStream) {
    stream.write_all(REQUEST).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"ok") {
        answer.push(stream.read_u8().await.unwrap());
    }
}

/// The time until the server closes the connection.
async fn time_until_closed(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut rest = Vec::new();
    // A reset also ends the connection.
    let _ = tokio::time::timeout(LATE, stream.read_to_end(&mut rest)).await;
    started.elapsed()
}

/// Runs `acts` and checks that the server closes the connection about `SHORT` later.
fn assert_closed_after_short_timeout(timeouts: ClientTimeouts, act: impl AsyncFnOnce(&mut TcpStream)) {
    run(async {
        let server = TestServer::new(timeouts).await;
        let mut stream = server.connect().await;
        let client = async {
            act(&mut stream).await;
            time_until_closed(&mut stream).await
        };
        let took = server.run_with(client).await;
        assert!(took >= SHORT - Duration::from_millis(50) && took < LATE, "{took:?}");
    });
}

#[test]
fn an_idle_connection_is_closed_after_the_idle_timeout() {
    assert_closed_after_short_timeout(ClientTimeouts { idle_timeout: SHORT, ..TIMEOUTS }, async |stream| {
        request(stream).await
    });
}

#[test]
fn the_timeout_of_a_later_head_starts_at_its_first_byte() {
    assert_closed_after_short_timeout(ClientTimeouts { header_timeout: SHORT, ..TIMEOUTS }, async |stream| {
        request(stream).await;
        // Longer than the head timeout, but idle.
        tokio::time::sleep(2 * SHORT).await;
        request(stream).await;
        stream.write_all(b"GET / HT").await.unwrap();
    });
}

#[test]
fn the_timeout_of_the_first_head_starts_at_the_connection() {
    assert_closed_after_short_timeout(ClientTimeouts { first_head_timeout: SHORT, ..TIMEOUTS }, async |_| ());
}

#[test]
fn a_stop_closes_idle_connections_and_returns_when_none_is_left() {
    run(async {
        let server = TestServer::new(TIMEOUTS).await;
        let mut stream = server.connect().await;
        server.run_with(request(&mut stream)).await;
        assert_eq!(server.connections.open_count(), 1);
        let now = Tokio.now();
        let shutdown = Shutdown { close_idle_at: now, ..shutdown(now) };
        let TestServer { connections, listener, .. } = server;
        connections.stop(listener, shutdown).await;
        assert_eq!(connections.open_count(), 0);
        assert!(now.elapsed() < LATE);
        assert!(time_until_closed(&mut stream).await < LATE);
    });
}

/// A shutdown that accepts no connections.
fn shutdown(now: Instant) -> Shutdown {
    let at = |millis: u64| now + Duration::from_millis(millis);
    Shutdown {
        accept_until: now,
        close_idle_at: at(800),
        begin_until: at(400),
        answer_by: at(800),
        deadline: at(1_000),
    }
}

/// A server in a thread of its own, whose connections end with its shutdown as those of a process do.
struct ServerThread {
    addr: SocketAddr,
    stop: oneshot::Sender<()>,
    /// Returns the number of requests received after the stop, and what the shutdown left behind.
    thread: JoinHandle<(usize, ShutdownReport)>,
}

impl ServerThread {
    async fn start(handler: fn() -> OkHandler, shutdown: fn(Instant) -> Shutdown) -> ServerThread {
        let (addr_sender, addr) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let serve = async move || {
            let server = TestServer::with_handler(TIMEOUTS, handler()).await;
            addr_sender.send(server.listener.local_addr().unwrap()).unwrap();
            server.run_with(stopped).await.unwrap();
            let received_before = server.handler.received.get();
            let report = server.connections.stop(server.listener, shutdown(Tokio.now())).await;
            (server.handler.received.get() - received_before, report)
        };
        let thread = std::thread::spawn(move || run(serve()));
        ServerThread { addr: addr.await.unwrap(), stop, thread }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.unwrap()
    }

    /// Connections that have each carried a request.
    async fn kept_connections(&self, number: usize) -> Vec<TcpStream> {
        let mut streams = Vec::new();
        for _ in 0..number {
            let mut stream = self.connect().await;
            request(&mut stream).await;
            streams.push(stream);
        }
        streams
    }

    fn join(self) -> (usize, ShutdownReport) {
        self.thread.join().unwrap()
    }
}

/// Sends a request after a pause, and returns the body of the response, or `None` if none came.
async fn response_after(mut stream: TcpStream, pause: Duration) -> Option<String> {
    Tokio.sleep(pause).await;
    let _ = stream.write_all(REQUEST).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(LATE, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8(answer).unwrap();
    answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
}

/// Stops a server and sends a request on each connection in turn, `interval` apart. Returns the responses.
async fn stop_while_requested(
    server: &mut ServerThread,
    streams: Vec<TcpStream>,
    interval: Duration,
) -> Vec<Option<String>> {
    let (stop, _) = oneshot::channel();
    std::mem::replace(&mut server.stop, stop).send(()).unwrap();
    let clients: Vec<_> = streams
        .into_iter()
        .zip(0..)
        .map(|(stream, number)| spawn_local(response_after(stream, interval * number)))
        .collect();
    let mut responses = Vec::new();
    for client in clients {
        responses.push(client.await.unwrap());
    }
    responses
}

#[test]
fn every_request_begun_on_a_kept_connection_during_a_shutdown_is_answered() {
    run(async {
        let handler = || OkHandler {
            delay: Duration::from_millis(200),
            timeout: Duration::from_millis(400),
            ..OkHandler::default()
        };
        let mut server = ServerThread::start(handler, shutdown).await;
        let streams = server.kept_connections(8).await;
        let responses = stop_while_requested(&mut server, streams, Duration::from_millis(140)).await;
        let (received, report) = server.join();
        let answered = responses.iter().flatten().count();
        assert!(received > 0);
        assert_eq!(answered, received, "{responses:?} {report:?}");
        assert!(responses.iter().flatten().all(|body| body != "abandoned"), "{responses:?}");
        assert_eq!((report.unanswered, report.abandoned), (0, 0));
    });
}

#[test]
fn a_late_request_that_could_outlast_the_shutdown_is_refused() {
    run(async {
        let handler = || OkHandler { timeout: LATE, ..OkHandler::default() };
        let mut server = ServerThread::start(handler, shutdown).await;
        let streams = server.kept_connections(3).await;
        let responses = stop_while_requested(&mut server, streams, Duration::from_millis(250)).await;
        let bodies: Vec<_> = responses.iter().map(Option::as_deref).collect();
        assert_eq!(bodies, [Some("ok"), Some("ok"), Some("refused")]);
        assert_eq!(server.join().1.refused, 1);
    });
}

#[test]
fn a_request_that_outlasts_the_shutdown_is_answered_as_failed() {
    run(async {
        let handler = || OkHandler { slow_after: Some(1), timeout: LATE, ..OkHandler::default() };
        let mut server = ServerThread::start(handler, shutdown).await;
        let streams = server.kept_connections(1).await;
        let responses = stop_while_requested(&mut server, streams, Duration::ZERO).await;
        assert_eq!(responses, [Some("abandoned".to_owned())]);
        let (_, report) = server.join();
        assert_eq!((report.unanswered, report.abandoned), (0, 1));
    });
}

#[test]
fn the_first_request_of_a_connection_accepted_last_is_answered() {
    run(async {
        let handler = || OkHandler { timeout: SHORT, ..OkHandler::default() };
        let close_at_once = |now| Shutdown { close_idle_at: now, ..shutdown(now) };
        let mut server = ServerThread::start(handler, close_at_once).await;
        let stream = server.connect().await;
        let responses = stop_while_requested(&mut server, vec![stream], Duration::ZERO).await;
        assert_eq!(responses, [Some("ok".to_owned())]);
    });
}
