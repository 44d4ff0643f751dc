//! Client connections on real sockets: timeouts and shutdown.

use bytes::Bytes;
use hingestage_dataplane::client::{Client, ClientTimeouts};
use hingestage_dataplane::connections::{ConnectionSettings, Connections, RequestHandler, Shutdown};
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
    /// Requests whose handling has begun.
    begun: Cell<usize>,
}

impl RequestHandler for OkHandler {
    type Body = Full<Bytes>;

    async fn handle(
        self: &Rc<Self>,
        _request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> Response<Full<Bytes>> {
        self.begun.set(self.begun.get() + 1);
        client.busy.set(true);
        Tokio.sleep(self.delay).await;
        Response::new(Full::from("ok"))
    }

    fn keeps_connections(&self) -> bool {
        true
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
        let shutdown = Shutdown { accept_until: now, close_idle: true, deadline: now + LATE };
        let TestServer { connections, listener, .. } = server;
        connections.stop(listener, shutdown).await;
        assert_eq!(connections.open_count(), 0);
        assert!(now.elapsed() < LATE);
        assert!(time_until_closed(&mut stream).await < LATE);
    });
}

/// A server in a thread of its own, whose connections end with its shutdown as those of a process do.
struct ServerThread {
    addr: SocketAddr,
    stop: oneshot::Sender<()>,
    /// Returns the number of requests whose handling began after the stop.
    thread: JoinHandle<usize>,
}

impl ServerThread {
    async fn start(handler_delay: Duration, shutdown: fn(Instant) -> Shutdown) -> ServerThread {
        let (addr_sender, addr) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let serve = async move || {
            let handler = OkHandler { delay: handler_delay, ..OkHandler::default() };
            let server = TestServer::with_handler(TIMEOUTS, handler).await;
            addr_sender.send(server.listener.local_addr().unwrap()).unwrap();
            server.run_with(stopped).await.unwrap();
            let begun_before = server.handler.begun.get();
            server.connections.stop(server.listener, shutdown(Tokio.now())).await;
            server.handler.begun.get() - begun_before
        };
        let thread = std::thread::spawn(move || run(serve()));
        ServerThread { addr: addr.await.unwrap(), stop, thread }
    }
}

/// Sends a request after a pause, and returns whether a complete answer came.
async fn is_answered_after(mut stream: TcpStream, pause: Duration) -> bool {
    Tokio.sleep(pause).await;
    let _ = stream.write_all(REQUEST).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(LATE, stream.read_to_end(&mut answer)).await;
    answer.ends_with(b"ok")
}

#[test]
fn every_request_begun_on_a_kept_connection_during_a_shutdown_is_answered() {
    run(async {
        let delay = Duration::from_millis(200);
        let server = ServerThread::start(delay, |now| Shutdown {
            accept_until: now,
            close_idle: false,
            deadline: now + Duration::from_secs(1),
        })
        .await;
        let mut streams = Vec::new();
        for _ in 0..8 {
            let mut stream = TcpStream::connect(server.addr).await.unwrap();
            request(&mut stream).await;
            streams.push(stream);
        }
        server.stop.send(()).unwrap();
        let pause = Duration::from_millis(140);
        let clients = streams
            .into_iter()
            .zip(0..)
            .map(|(stream, number)| spawn_local(is_answered_after(stream, pause * number)));
        let clients: Vec<_> = clients.collect();
        let mut answered = 0;
        for client in clients {
            answered += usize::from(client.await.unwrap());
        }
        let begun = server.thread.join().unwrap();
        assert!(begun > 0);
        assert_eq!(answered, begun);
    });
}
