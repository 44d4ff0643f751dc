//! Accepts client connections, limits their number and closes idle or stalled ones.

use crate::client::{Client, ClientTimes};
use crate::heads::Headed;
use crate::note;
use bytes::Bytes;
use hingestage_platform::{Listener, Platform};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Silence after which a connection that owes a request may be closed to make room for others. Slow but
/// active connections are kept.
const SILENCE_MAX: Duration = Duration::from_millis(250);
/// Time for a connection to finish a graceful close.
const GRACEFUL_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long new connections wait in the backlog while all slots serve requests; after that they are closed.
const FULL_WAIT_MAX: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests of client connections.
pub trait Answers: 'static {
    /// The body of a response.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static;

    /// Handles a request. The handler sets [`Client::busy`] while a request is in progress, and
    /// [`Client::streaming`] where the response body outlives this call; [`Client::record_answer`] then marks
    /// its end. Dropping the future early means that the client has disconnected.
    fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Whether connections are kept alive after a response.
    fn keeps_connections(&self) -> bool;
}

/// Limits of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Maximum number of connections.
    pub clients_max: usize,
    /// Maximum number of idle connections. Above it responses carry `connection: close`, so that idle clients
    /// do not use up the slots of new ones.
    pub idle_max: usize,
    /// Timeouts of a connection.
    pub times: ClientTimes,
    /// Maximum size of a request head, bytes. The HTTP library requires at least 8 KiB.
    pub largest_head: usize,
}

/// How connections are closed during shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// New connections are accepted until then.
    pub accepts_until: Instant,
    /// Whether idle connections are closed without a prior `connection: close`.
    pub closes_idle: bool,
    /// The shutdown ends then even if connections are still open.
    pub until: Instant,
}

/// The open client connections.
pub struct Connections<P: Platform, A: Answers> {
    platform: P,
    answers: Rc<A>,
    settings: ConnectionSettings,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Notified when a client has been answered or has disconnected.
    released: Rc<Notify>,
    next_id: Cell<u64>,
    problem_count: Cell<u64>,
}

impl<P: Platform, A: Answers> Connections<P, A> {
    /// Creates an empty set of connections.
    pub fn new(platform: P, answers: Rc<A>, settings: ConnectionSettings) -> Rc<Self> {
        Rc::new(Connections {
            platform,
            answers,
            settings,
            clients: RefCell::default(),
            released: Rc::default(),
            next_id: Cell::new(0),
            problem_count: Cell::new(0),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.clients.borrow().len()
    }

    fn is_full(&self) -> bool {
        self.open() >= self.settings.clients_max
    }

    /// Accepts connections forever. At the limit an idle connection is closed to make room; otherwise the
    /// next one waits in the backlog for a limited time.
    pub async fn accept(self: &Rc<Self>, listener: &P::Listener) {
        loop {
            self.wait_for_slot().await;
            match listener.accept().await {
                Ok(_) if self.is_full() => {
                    note(&self.platform, &self.problem_count, "connection limit reached: connection closed")
                }
                Ok(stream) => self.spawn_connection(stream),
                // Descriptors are exhausted, or the client has already disconnected: neither may stop the
                // gateway.
                Err(e) => {
                    note(&self.platform, &self.problem_count, format_args!("accept: {e}"));
                    self.evict_idle();
                    self.platform.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn wait_for_slot(&self) {
        let until = self.platform.now() + FULL_WAIT_MAX;
        while self.is_full() && self.platform.now() < until {
            let released = self.released.notified();
            self.evict_idle();
            // Retry soon: a silent connection may have become eligible for closing.
            let _ = self.platform.timeout(GRACEFUL_CLOSE_TIMEOUT, released).await;
        }
    }

    /// Closes connections whose streamed response is stalled.
    pub fn close_stuck(&self) {
        let now = self.platform.now();
        self.clients.borrow().values().filter(|client| client.stuck(now)).for_each(|client| client.end(true));
    }

    /// Shuts down: keeps accepting for a while, answers all received requests and closes idle connections at
    /// once, while new connections can still be accepted for requests that cross the close. With a successor,
    /// idle connections end after their next response or by `idle_timeout` instead.
    pub async fn stop(self: &Rc<Self>, listener: P::Listener, stopping: Stopping) {
        if stopping.closes_idle {
            self.close_idle(|client| client.was_served());
        }
        let _ = self.platform.timeout_at(stopping.accepts_until, self.accept(&listener)).await;
        drop(listener);
        if stopping.closes_idle {
            self.close_idle(|_| true);
        }
        while self.open() > 0 && self.platform.now() < stopping.until {
            let released = self.released.notified();
            let _ = self.platform.timeout_at(stopping.until, released).await;
        }
    }

    fn close_idle(&self, which: impl Fn(&Client) -> bool) {
        let clients = self.clients.borrow();
        clients.values().filter(|c| c.idles() && which(c)).for_each(|c| c.end(false));
    }

    /// Closes the least valuable idle connection. Silent connections with a partial request go first, so that
    /// they can't displace returning clients. New connections and slow but active ones are kept.
    fn evict_idle(&self) {
        let clients = self.clients.borrow();
        let silent = |c: &Client| self.platform.since(c.quiet_since()) > SILENCE_MAX;
        let idle = clients.values().filter(|c| c.idles() && (c.waits() || silent(c)));
        if let Some(evicted) = idle.min_by_key(|c| (c.waits(), c.quiet_since())) {
            evicted.end(true);
        }
    }

    fn idle_count(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.was_served() && !c.busy.get()).count()
    }

    fn next_client_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    fn spawn_connection(self: &Rc<Self>, stream: P::Stream) {
        let (connections, id) = (self.clone(), self.next_client_id());
        let ConnectionSettings { times, largest_head, .. } = self.settings;
        let client = Client::new(self.platform.now(), times, largest_head, self.released.clone());
        self.clients.borrow_mut().insert(id, client.clone());
        self.platform.spawn(async move {
            connections.serve(stream, &client).await;
            connections.clients.borrow_mut().remove(&id);
            connections.released.notify_one();
        });
    }

    async fn answer(&self, request: Request<Incoming>, client: &Rc<Client>) -> Response<A::Body> {
        let mut answer = self.answers.answer(request, client).await;
        if !self.answers.keeps_connections() || self.idle_count() >= self.settings.idle_max {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if !client.flows.get() {
            client.answered(self.platform.now());
        }
        answer
    }

    async fn serve(self: &Rc<Self>, stream: P::Stream, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let (connections, client) = (self.clone(), client.clone());
            async move { Ok::<_, Infallible>(connections.answer(request, &client).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        let conn = builder.max_buf_size(self.settings.largest_head).serve_connection(
            TokioIo::new(Headed::new(self.platform.clone(), stream, client.kept.clone())),
            service,
        );
        let mut conn = std::pin::pin!(conn);
        loop {
            let now = self.platform.now();
            let next_check = now + self.settings.times.shortest();
            let due = client.overdue_at().unwrap_or(next_check);
            if due <= now {
                return;
            }
            // A client error ends only its own connection.
            tokio::select! {
                biased;
                ended = conn.as_mut() => return drop(ended),
                () = client.close.notified() => break,
                // The connection's state, and with it its deadline, may have changed.
                () = self.platform.sleep_until(due.min(next_check)) => {}
            }
        }
        conn.as_mut().graceful_shutdown();
        // A partial request head or an unread response must not hold the slot indefinitely.
        let close_timeout = if client.drop.get() { Duration::ZERO } else { GRACEFUL_CLOSE_TIMEOUT };
        let stuck = client.flows.get() && client.drop.get();
        if self.platform.timeout(close_timeout, conn.as_mut()).await.is_err() && !client.idles() && !stuck {
            let _ = conn.await;
        }
    }
}
