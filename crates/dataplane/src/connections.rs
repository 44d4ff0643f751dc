//! Accepts client connections, limits their number and closes idle or stalled ones.

use crate::client::{Client, ClientTimeouts};
use crate::log_sparsely;
use crate::monitored_stream::MonitoredStream;
use crate::shutdown::{Shutdown, ShutdownReport, ShutdownState};
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
/// How long a connection accepted at the end of a shutdown's accepting may take to send its first request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(100);
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests of client connections.
pub trait RequestHandler: 'static {
    /// The body of a response.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static;

    /// Handles a request. The handler calls [`Client::begin_request`] once it has read the request whole, and sets
    /// [`Client::streaming`] where the response body outlives this call; [`Client::record_answer`] then marks
    /// its end. Dropping the future early means that the client has disconnected.
    fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Whether connections are kept alive after a response.
    fn keeps_connections(&self) -> bool;

    /// The response to a request that has not begun and never will, because the server is shutting down.
    fn refused(&self) -> Response<Self::Body>;

    /// The response to a request that has begun and is not finished when the shutdown ends.
    fn abandoned(&self) -> Response<Self::Body>;
}

/// Limits of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of idle connections. Above it responses carry `connection: close`, so that idle clients
    /// do not use up the slots of new ones.
    pub max_idle: usize,
    /// Timeouts of a connection.
    pub timeouts: ClientTimeouts,
    /// Maximum size of a request head, bytes. The HTTP library requires at least 8 KiB.
    pub max_head_bytes: usize,
}

/// The open client connections.
pub struct Connections<P: Platform, A: RequestHandler> {
    platform: P,
    handler: Rc<A>,
    settings: ConnectionSettings,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Notified when a client has been answered or has disconnected.
    released: Rc<Notify>,
    next_id: Cell<u64>,
    problem_count: Cell<u64>,
    shutdown: Rc<ShutdownState>,
    /// Whether connections are closed as soon as they are idle.
    closing_idle: Cell<bool>,
}

impl<P: Platform, A: RequestHandler> Connections<P, A> {
    /// Creates an empty set of connections.
    pub fn new(platform: P, handler: Rc<A>, settings: ConnectionSettings) -> Rc<Self> {
        Rc::new(Connections {
            platform,
            handler,
            settings,
            clients: RefCell::default(),
            released: Rc::default(),
            next_id: Cell::new(0),
            problem_count: Cell::new(0),
            shutdown: Rc::default(),
            closing_idle: Cell::new(false),
        })
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.clients.borrow().len()
    }

    fn is_full(&self) -> bool {
        self.open_count() >= self.settings.max_connections
    }

    /// Accepts connections forever. At the limit an idle connection is closed to make room; otherwise the
    /// next one waits in the backlog for a limited time.
    pub async fn accept(self: &Rc<Self>, listener: &P::Listener) {
        loop {
            self.wait_for_slot().await;
            match listener.accept().await {
                Ok(_) if self.is_full() => log_sparsely(
                    &self.platform,
                    &self.problem_count,
                    "connection limit reached: connection closed",
                ),
                Ok(stream) => self.spawn_connection(stream),
                // Descriptors are exhausted, or the client has already disconnected: neither may stop the
                // gateway.
                Err(e) => {
                    log_sparsely(&self.platform, &self.problem_count, format_args!("accept: {e}"));
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
    pub fn close_stalled(&self) {
        let now = self.platform.now();
        self.clients
            .borrow()
            .values()
            .filter(|client| client.is_stalled(now))
            .for_each(|client| client.close(true));
    }

    /// Shuts down: every request that has begun gets a response, by `answer_by` at the latest. Returns at the
    /// deadline, or once no connection is open.
    pub async fn stop(self: &Rc<Self>, listener: P::Listener, shutdown: Shutdown) -> ShutdownReport {
        let Shutdown { accept_until, close_idle_at, answer_by, deadline, .. } = shutdown;
        self.shutdown.begin(self.platform.now(), shutdown);
        if close_idle_at < accept_until {
            let _ = self.platform.timeout_at(close_idle_at, self.accept(&listener)).await;
            self.close_idle(Client::was_served);
        }
        let _ = self.platform.timeout_at(accept_until, self.accept(&listener)).await;
        drop(listener);
        self.wait_until_closed(close_idle_at.max(accept_until + FIRST_REQUEST_WAIT).min(answer_by)).await;
        self.closing_idle.set(true);
        self.wait_until_closed(answer_by).await;
        self.shutdown.abandon_requests();
        self.wait_until_closed(deadline).await;
        let unanswered = self.clients.borrow().values().filter(|client| client.in_request()).count();
        self.shutdown.report(self.open_count(), unanswered)
    }

    /// Waits until no connection is open, at most until `until`.
    async fn wait_until_closed(&self, until: Instant) {
        while self.open_count() > 0 && self.platform.now() < until {
            let released = self.released.notified();
            if self.closing_idle.get() {
                self.close_idle(|_| true);
            }
            let _ = self.platform.timeout_at(until, released).await;
        }
    }

    /// Closes connections on which no byte of a request has arrived since the last response. A request that crosses
    /// the close is not read.
    fn close_idle(&self, which: impl Fn(&Client) -> bool) {
        let clients = self.clients.borrow();
        clients.values().filter(|c| c.awaits_request() && which(c)).for_each(|c| c.close(false));
    }

    /// Closes the least valuable idle connection. Silent connections with a partial request go first, so that
    /// they can't displace returning clients. New connections and slow but active ones are kept.
    fn evict_idle(&self) {
        let clients = self.clients.borrow();
        let silent = |c: &Client| self.platform.since(c.quiet_since()) > SILENCE_MAX;
        let idle = clients.values().filter(|c| c.is_idle() && (c.awaits_next_request() || silent(c)));
        if let Some(evicted) = idle.min_by_key(|c| (c.awaits_next_request(), c.quiet_since())) {
            evicted.close(true);
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
        let ConnectionSettings { timeouts, max_head_bytes, .. } = self.settings;
        let (released, shutdown) = (self.released.clone(), self.shutdown.clone());
        let client = Client::new(self.platform.now(), timeouts, max_head_bytes, released, shutdown);
        self.clients.borrow_mut().insert(id, client.clone());
        self.platform.spawn(async move {
            connections.serve(stream, &client).await;
            connections.clients.borrow_mut().remove(&id);
            connections.released.notify_one();
        });
    }

    async fn respond(&self, request: Request<Incoming>, client: &Rc<Client>) -> Response<A::Body> {
        client.begin_handling(self.platform.now());
        let mut response = tokio::select! {
            biased;
            response = self.handler.handle(request, client) => response,
            () = self.shutdown.requests_abandoned() => match client.busy.get() {
                true => self.handler.abandoned(),
                false => self.handler.refused(),
            },
        };
        if !self.handler.keeps_connections() || self.idle_count() >= self.settings.max_idle {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if !client.streaming.get() {
            client.record_answer(self.platform.now());
        }
        response
    }

    async fn serve(self: &Rc<Self>, stream: P::Stream, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let (connections, client) = (self.clone(), client.clone());
            async move { Ok::<_, Infallible>(connections.respond(request, &client).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        let conn = builder.max_buf_size(self.settings.max_head_bytes).serve_connection(
            TokioIo::new(MonitoredStream::new(self.platform.clone(), stream, client.transport.clone())),
            service,
        );
        let mut conn = std::pin::pin!(conn);
        loop {
            let now = self.platform.now();
            let next_check = now + self.settings.timeouts.shortest();
            let due = client.deadline().unwrap_or(next_check);
            if due <= now {
                return;
            }
            // A client error ends only its own connection.
            tokio::select! {
                biased;
                ended = conn.as_mut() => return drop(ended),
                () = client.close_signal.notified() => break,
                // The connection's state, and with it its deadline, may have changed.
                () = self.platform.sleep_until(due.min(next_check)) => {}
            }
        }
        conn.as_mut().graceful_shutdown();
        // A partial request head or an unread response must not hold the slot indefinitely.
        let close_timeout = if client.close_now.get() { Duration::ZERO } else { GRACEFUL_CLOSE_TIMEOUT };
        let stalled = client.streaming.get() && client.close_now.get();
        let in_request = || !client.is_idle() || (client.in_request() && !client.close_now.get());
        if self.platform.timeout(close_timeout, conn.as_mut()).await.is_err() && in_request() && !stalled {
            let _ = conn.await;
        }
    }
}
