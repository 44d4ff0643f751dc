//! Pooled connections to workers and the attempts made over them.

use crate::attempt_progress::{count_interim_responses, watch_progress, AttemptProgress};
use crate::body::{BodySource, OutgoingBody, RequestBody};
use crate::log_sparsely;
use crate::protocol::{RequestParts, WorkerProtocol};
use crate::tracked_connection::{ConnectionSlot, TrackedConnection, TrackedIo};
use crate::worker_response::{is_framed, receive_body, ExchangeError, ReceivedBody, ReceivedResponse};
use bytes::Bytes;
use hingestage_platform::{Elapsed, Platform, Stream};
use hingestage_policy::{Outcome, WorkerId};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of idle connections per worker.
const IDLE_CONNECTIONS_MAX: usize = 32;
/// Maximum size of a response head, bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 16 * 1024;
/// Minimum idle time of a connection before reuse. A duplicate response follows the first one immediately; it
/// must arrive before the next request is written, or it would be taken for its response.
const REUSE_DELAY: Duration = Duration::from_millis(2);
/// Maximum time for a connection to become ready again after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(250);
/// Safety margin subtracted from a worker's announced keep-alive timeout: a request on its way must not cross the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// The request is not written after this; no later than the deadline.
    pub begin_by: Instant,
    /// The attempt times out then.
    pub deadline: Instant,
}

/// A worker's successful response.
pub struct WorkerResponse<S: Stream> {
    /// Status.
    pub status: StatusCode,
    /// Headers for the client.
    pub headers: HeaderMap,
    /// Body, unchanged.
    pub body: WorkerResponseBody<S>,
}

/// The body of a successful response.
pub enum WorkerResponseBody<S: Stream> {
    /// A buffered body.
    Buffered(Bytes),
    /// A body that is still being received.
    Streamed(Box<PartialResponse<S>>),
}

/// A response body that is still being received.
pub struct PartialResponse<S: Stream> {
    /// The body.
    pub source: BodySource,
    /// The worker that sends it.
    pub worker: WorkerId,
    conn: Conn<S>,
}

impl<S: Stream> PartialResponse<S> {
    /// The result of an attempt whose streamed response is complete; the connection may be reused.
    pub fn into_result(self) -> AttemptResult<S> {
        AttemptResult { conn: Some(self.conn).filter(|conn| conn.reusable), ..Outcome::Ok.into() }
    }
}

/// Result of an attempt.
pub struct AttemptResult<S: Stream> {
    /// Outcome.
    pub outcome: Outcome,
    /// Actual cost in units, if the worker reported it.
    pub true_units: Option<f64>,
    /// When the first bytes of the response arrived.
    pub first_byte_at: Option<Instant>,
    /// The response, if successful.
    pub served: Option<WorkerResponse<S>>,
    /// The connection, if it may be reused.
    conn: Option<Conn<S>>,
}

impl<S: Stream> From<Outcome> for AttemptResult<S> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, true_units: None, first_byte_at: None, served: None, conn: None }
    }
}

/// A worker connection, idle or with a request in progress.
struct Conn<S: Stream> {
    sender: SendRequest<OutgoingBody>,
    handle: Rc<TrackedConnection<S>>,
    /// The worker process it is connected to.
    process: WorkerProcess,
    idle_since: Instant,
    /// Maximum idle time.
    idle_limit: Duration,
    used: bool,
    /// Whether it may be reused after the current response.
    reusable: bool,
}

impl<S: Stream> Conn<S> {
    /// Whether the worker may be about to close it.
    fn expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.idle_limit
    }
}

/// Identifies a worker process.
#[derive(Clone, Copy, PartialEq, Eq)]
struct WorkerProcess {
    addr: SocketAddr,
    /// Start time, Unix time in milliseconds.
    boot_ms: u64,
}

impl<S: Stream> Drop for Conn<S> {
    fn drop(&mut self) {
        self.handle.close();
    }
}

struct Pool<S: Stream> {
    process: WorkerProcess,
    ready: bool,
    idle: Vec<Conn<S>>,
}

/// Connection pools of all workers.
pub struct Workers<P: Platform> {
    platform: P,
    /// Ordered, so that the choice of a connection to evict is deterministic.
    pools: RefCell<BTreeMap<WorkerId, Pool<P::Stream>>>,
    open: Rc<Cell<usize>>,
    max_connections: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
    protocol: Rc<dyn WorkerProtocol>,
    problem_count: Cell<u64>,
    /// Called with a worker whose address refuses connections.
    on_refused: RefCell<Option<OnRefused>>,
}

type OnRefused = Rc<dyn Fn(WorkerId)>;

impl<P: Platform> Workers<P> {
    /// Creates an empty set. Connections are retired after half of the workers' idle timeout: a request that
    /// crosses the worker's close would be reset and may have been executed.
    pub fn new(
        platform: P,
        max_connections: usize,
        connect_timeout: Duration,
        worker_idle_timeout: Duration,
        protocol: Rc<dyn WorkerProtocol>,
    ) -> Self {
        let (pools, open) = (RefCell::default(), Rc::default());
        let idle_timeout = worker_idle_timeout / 2;
        let (problem_count, on_refused) = (Cell::new(0), RefCell::default());
        Workers {
            platform,
            pools,
            open,
            max_connections,
            connect_timeout,
            idle_timeout,
            protocol,
            problem_count,
            on_refused,
        }
    }

    /// Sets a callback for refused connections.
    pub fn on_connection_refused(&self, callback: impl Fn(WorkerId) + 'static) {
        *self.on_refused.borrow_mut() = Some(Rc::new(callback));
    }

    /// Adds or updates a worker. Its idle connections are closed if it no longer accepts work or was
    /// restarted: a request written to a dead process would be reset and could not be retried if unsafe.
    pub fn update(&self, id: WorkerId, addr: SocketAddr, boot_ms: u64, ready: bool) {
        let (process, mut pools) = (WorkerProcess { addr, boot_ms }, self.pools.borrow_mut());
        // Another worker has taken over this address, so the old connections are stale.
        for (_, former) in pools.iter_mut().filter(|(other, pool)| **other != id && pool.process.addr == addr)
        {
            former.idle.clear();
        }
        let pool = pools.entry(id).or_insert_with(|| Pool { process, ready, idle: Vec::new() });
        if pool.process != process || !ready {
            pool.idle.clear();
        }
        (pool.process, pool.ready) = (process, ready);
    }

    /// Removes a worker.
    pub fn remove(&self, id: WorkerId) {
        self.pools.borrow_mut().remove(&id);
    }

    /// Removes all workers except these.
    pub fn retain_workers(&self, named: &HashSet<WorkerId>) {
        self.pools.borrow_mut().retain(|id, _| named.contains(id));
    }

    /// Whether this worker is known.
    pub fn contains(&self, id: WorkerId) -> bool {
        self.pools.borrow().contains_key(&id)
    }

    /// Number of known workers.
    pub fn count(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Whether this worker accepts new requests.
    pub fn accepts_work(&self, id: WorkerId) -> bool {
        self.pools.borrow().get(&id).is_some_and(|pool| pool.ready)
    }

    /// Closes expired idle connections.
    pub fn retire_idle(&self) {
        let now = self.platform.now();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle.retain(|conn| !conn.expired(now) && !conn.sender.is_closed());
        }
    }

    /// Sends a request once and waits for the response, or for the start of a streamed one.
    pub async fn attempt(
        &self,
        worker: WorkerId,
        parts: &Rc<RequestParts>,
        times: AttemptTimes,
        progress: &AttemptProgress<P::Stream>,
    ) -> AttemptResult<P::Stream> {
        loop {
            let mut conn = match self.acquire(worker, parts, times.begin_by).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            // Connecting may have taken a while; check the worker's current state.
            if !self.accepts_work(worker) || self.platform.now() > times.begin_by {
                return Outcome::NotSent.into();
            }
            let Some(body) = parts.body.outgoing() else { return Outcome::NotSent.into() };
            progress.start(&conn.handle, conn.used, parts);
            conn.handle.write_by(times.begin_by);
            let timeout = self.attempt_timeout(parts, times.deadline);
            let first_byte_at = Cell::new(None);
            let request = self.build_request(worker, parts, body, times.deadline);
            let exchange = self.exchange(worker, &mut conn, parts, request, progress, &first_byte_at);
            let ended = tokio::select! {
                biased;
                ended = exchange => Ok(ended),
                () = timeout => Err(Elapsed),
            };
            if let Ok(Ok(answer)) = ended {
                return AttemptResult {
                    first_byte_at: first_byte_at.get(),
                    ..self.attempt_result(worker, parts, answer, conn)
                };
            }
            let (used, may_be_received) = (conn.used, progress.abort());
            drop(conn);
            match ended {
                // A pooled connection had been closed before anything was written: retry on another one.
                Ok(Err(_)) if used && !may_be_received => continue,
                Ok(Err(_)) if !may_be_received && self.platform.now() > times.begin_by => {
                    return Outcome::NotSent.into()
                }
                _ if !may_be_received => return Outcome::ConnectFailed.into(),
                Ok(Err(ExchangeError::Unusable(what))) => {
                    self.log_problem(worker, what);
                    return Outcome::Unusable.into();
                }
                Ok(_) => return Outcome::Reset.into(),
                Err(_) => return Outcome::Timeout.into(),
            }
        }
    }

    /// Writes a request and reads its response. A response that stalls is reported and may still be completed.
    async fn exchange(
        &self,
        worker: WorkerId,
        conn: &mut Conn<P::Stream>,
        parts: &RequestParts,
        mut request: Request<OutgoingBody>,
        progress: &AttemptProgress<P::Stream>,
        first_byte_at: &Cell<Option<Instant>>,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let interim = count_interim_responses(&mut request);
        let (handle, mark) = (conn.handle.clone(), conn.handle.bytes_read());
        let report = |stalled| {
            if progress.set_stalled(stalled) && stalled {
                self.log_problem(worker, "a response that stalls");
            }
        };
        tokio::select! {
            biased;
            answer = self.read_response(worker, parts, &mut conn.sender, request) => answer,
            never = watch_progress(&self.platform, &handle, mark, &interim, first_byte_at, report) => match never {},
        }
    }

    fn log_problem(&self, worker: WorkerId, problem: &str) {
        log_sparsely(&self.platform, &self.problem_count, format_args!("worker {}: {problem}", worker.0));
    }

    /// Builds the request to a worker.
    fn build_request(
        &self,
        worker: WorkerId,
        parts: &RequestParts,
        body: OutgoingBody,
        deadline: Instant,
    ) -> Request<OutgoingBody> {
        let left = match &parts.body {
            RequestBody::Buffered(_) => deadline.saturating_duration_since(self.platform.now()),
            RequestBody::Streamed(body) => body.answer_timeout,
        };
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts.uri.clone();
        *request.headers_mut() = parts.headers.clone();
        self.protocol.write_head(parts, worker, left, request.headers_mut());
        request
    }

    async fn read_response(
        &self,
        worker: WorkerId,
        parts: &RequestParts,
        sender: &mut SendRequest<OutgoingBody>,
        request: Request<OutgoingBody>,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let answer: Response<Incoming> =
            sender.send_request(request).await.map_err(|e| match e.is_parse() {
                true => ExchangeError::Unusable("a response that can't be parsed"),
                false => ExchangeError::Connection,
            })?;
        let (head, body) = answer.into_parts();
        let (status, headers) = (head.status, head.headers);
        self.protocol.observe_headers(worker, &headers);
        let classification = self.protocol.classify(parts, status, &headers);
        let body = receive_body(parts, status, body).await?;
        Ok(ReceivedResponse { classification, status, headers, body })
    }

    /// The result of an answered attempt. A connection whose end is the end of the response is not reused.
    fn attempt_result(
        &self,
        worker: WorkerId,
        parts: &RequestParts,
        answer: ReceivedResponse,
        mut conn: Conn<P::Stream>,
    ) -> AttemptResult<P::Stream> {
        let ReceivedResponse { classification, status, headers, body } = answer;
        conn.reusable = is_framed(parts, status, &headers) && self.protocol.may_reuse(&headers);
        if let Some(announced) = announced_idle_timeout(&headers) {
            conn.idle_limit = self.idle_timeout.min(announced.saturating_sub(KEEP_ALIVE_MARGIN));
        }
        let (body, conn) = match body {
            ReceivedBody::Buffered(bytes) => (Some(WorkerResponseBody::Buffered(bytes)), Some(conn)),
            ReceivedBody::Streamed(source) => {
                (Some(WorkerResponseBody::Streamed(Box::new(PartialResponse { source, worker, conn }))), None)
            }
        };
        let body = body.filter(|_| classification.outcome == Outcome::Ok);
        let served =
            body.map(|body| WorkerResponse { status, headers: self.protocol.client_headers(&headers), body });
        AttemptResult {
            outcome: classification.outcome,
            true_units: classification.true_units,
            first_byte_at: None,
            served,
            conn: conn.filter(|conn| conn.reusable),
        }
    }

    /// Completes when the attempt times out. The timeout of a streamed request counts from its last byte.
    async fn attempt_timeout(&self, parts: &RequestParts, deadline: Instant) {
        match &parts.body {
            RequestBody::Buffered(_) => self.platform.sleep_until(deadline).await,
            RequestBody::Streamed(body) => {
                if body.wait_until_sent(&self.platform).await {
                    self.platform.sleep(body.answer_timeout).await;
                }
            }
        }
    }

    /// Returns a connection to its pool once it is ready for another request.
    pub async fn release(&self, worker: WorkerId, attempted: AttemptResult<P::Stream>) {
        let Some(mut conn) = attempted.conn else { return };
        if !matches!(self.platform.timeout(READY_TIMEOUT, conn.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        (conn.idle_since, conn.used) = (self.platform.now(), true);
        if let Some(pool) = self.pools.borrow_mut().get_mut(&worker) {
            // Only to the pool of the same worker process.
            if pool.ready && pool.process == conn.process && pool.idle.len() < IDLE_CONNECTIONS_MAX {
                pool.idle.push(conn);
            }
        }
    }

    /// Takes the most recently used pooled connection that has rested, or opens a new one. Streamed requests
    /// use new connections, because they can't be retried if the pooled one turns out to be closed.
    async fn acquire(
        &self,
        worker: WorkerId,
        parts: &RequestParts,
        until: Instant,
    ) -> Result<Conn<P::Stream>, Outcome> {
        let process = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.get_mut(&worker).filter(|pool| pool.ready).ok_or(Outcome::NotSent)?;
            let now = self.platform.now();
            let rested = |conn: &Conn<_>| now.saturating_duration_since(conn.idle_since) >= REUSE_DELAY;
            let may_reuse = matches!(parts.body, RequestBody::Buffered(_));
            while let Some(place) = pool.idle.iter().rposition(rested).filter(|_| may_reuse) {
                let conn = pool.idle.remove(place);
                if !conn.expired(now) && conn.sender.is_ready() {
                    return Ok(conn);
                }
            }
            pool.process
        };
        let place = ConnectionSlot::take(&self.open, self.max_connections).or_else(|| {
            self.evict_idle();
            ConnectionSlot::take(&self.open, self.max_connections)
        });
        let place = place.ok_or(Outcome::NotSent)?;
        // An unreachable host may never answer the connect.
        let until = until.min(self.platform.now() + self.connect_timeout);
        let connected = self.platform.timeout_at(until, self.platform.connect(process.addr)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            failed => {
                let refused = matches!(failed, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
                let callback = self.on_refused.borrow().clone().filter(|_| refused);
                callback.into_iter().for_each(|callback| callback(worker));
                return Err(Outcome::ConnectFailed);
            }
        };
        let clock = self.platform.clone();
        let handle = TrackedConnection::new(stream, place, move || clock.now());
        let io = TokioIo::new(TrackedIo(handle.clone()));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_MAX_BYTES)
            .handshake(io)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let task = self.platform.spawn(async move {
            // Errors are reported to the attempt on this connection.
            let _ = driver.await;
        });
        handle.set_driver(task);
        let (idle_since, idle_limit) = (self.platform.now(), self.idle_timeout);
        Ok(Conn { sender, handle, process, idle_since, idle_limit, used: false, reusable: true })
    }

    fn evict_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(pool) = oldest {
            pool.idle.remove(0);
        }
    }
}

/// The idle timeout announced by a worker: `Keep-Alive: timeout=5`, seconds.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all("keep-alive").iter().filter_map(|value| value.to_str().ok());
    let mut parameters = values.flat_map(|value| value.split(',')).filter_map(|one| one.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
