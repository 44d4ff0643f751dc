//! Clients' connections on real sockets, whatever answers them: each time that a client has is kept to.

use bytes::Bytes;
use hingestage_dataplane::client::{Client, ClientTimes};
use hingestage_dataplane::connections::{Answers, ConnectionSettings, Connections, Stopping};
use hingestage_fixtures::block_on as run;
use hingestage_platform::{Platform, Tokio};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(30);
/// Far past `SHORT`, and far from `LONG`.
const LATE: Duration = Duration::from_secs(5);
const TIMES: ClientTimes =
    ClientTimes { first_head_timeout: LONG, header_timeout: LONG, idle_timeout: LONG, write_timeout: LONG };
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Answers each request with `ok`.
struct Ok200;

impl Answers for Ok200 {
    type Body = Full<Bytes>;

    async fn answer(
        self: &Rc<Self>,
        _request: Request<Incoming>,
        _client: &Rc<Client>,
    ) -> Response<Full<Bytes>> {
        Response::new(Full::from("ok"))
    }

    fn keeps_connections(&self) -> bool {
        true
    }
}

struct Served {
    connections: Rc<Connections<Tokio, Ok200>>,
    listener: TcpListener,
}

impl Served {
    async fn new(times: ClientTimes) -> Served {
        let settings = ConnectionSettings { clients_max: 8, idle_max: 8, times, largest_head: 16 * 1024 };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Served { connections: Connections::new(Tokio, Rc::new(Ok200), settings), listener }
    }

    /// Takes connections in for as long as a client acts.
    async fn during<T>(&self, client: impl Future<Output = T>) -> T {
        tokio::select! {
            done = client => done,
            () = self.connections.accept(&self.listener) => unreachable!(),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.local_addr().unwrap()).await.unwrap()
    }
}

async fn ask(stream: &mut TcpStream) {
    stream.write_all(REQUEST).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"ok") {
        answer.push(stream.read_u8().await.unwrap());
    }
}

/// The time until the other side closes.
async fn closed_after(stream: &mut TcpStream) -> Duration {
    let begun = Instant::now();
    let mut rest = Vec::new();
    // A reset is an end as well.
    let _ = tokio::time::timeout(LATE, stream.read_to_end(&mut rest)).await;
    begun.elapsed()
}

/// A client acts, and is closed on `SHORT` after it was last allowed to be silent.
fn is_closed_after_a_short_time(times: ClientTimes, acts: impl AsyncFnOnce(&mut TcpStream)) {
    run(async {
        let served = Served::new(times).await;
        let mut stream = served.connect().await;
        let acting = async {
            acts(&mut stream).await;
            closed_after(&mut stream).await
        };
        let took = served.during(acting).await;
        assert!(took >= SHORT - Duration::from_millis(50) && took < LATE, "{took:?}");
    });
}

#[test]
fn a_served_client_may_idle_for_its_time_and_no_longer() {
    is_closed_after_a_short_time(ClientTimes { idle_timeout: SHORT, ..TIMES }, async |stream| {
        ask(stream).await
    });
}

#[test]
fn a_later_head_has_its_own_time_from_its_first_byte_on_however_long_a_client_may_idle() {
    is_closed_after_a_short_time(ClientTimes { header_timeout: SHORT, ..TIMES }, async |stream| {
        ask(stream).await;
        // Silent for longer than a head may take: that is idling, and allowed.
        tokio::time::sleep(2 * SHORT).await;
        ask(stream).await;
        stream.write_all(b"GET / HT").await.unwrap();
    });
}

#[test]
fn a_first_head_has_its_time_from_the_connection_on() {
    is_closed_after_a_short_time(ClientTimes { first_head_timeout: SHORT, ..TIMES }, async |_| ());
}

#[test]
fn a_stop_closes_what_idles_and_ends_once_all_are_gone() {
    run(async {
        let served = Served::new(TIMES).await;
        let mut stream = served.connect().await;
        served.during(ask(&mut stream)).await;
        assert_eq!(served.connections.open(), 1);
        let now = Tokio.now();
        let stopping = Stopping { accepts_until: now, closes_idle: true, until: now + LATE };
        let Served { connections, listener } = served;
        connections.stop(listener, stopping).await;
        assert_eq!(connections.open(), 0);
        assert!(now.elapsed() < LATE);
        assert!(closed_after(&mut stream).await < LATE);
    });
}
