//! Pooled connections to workers and the attempts made over them.

use crate::body::{BodySource, ChunkBuffer, OutgoingBody, RequestBody, BUFFERED_MAX};
use crate::log_sparsely;
use crate::protocol::{Classification, RequestParts, WorkerProtocol};
use crate::tracked_connection::{ConnectionSlot, TrackedConnection, TrackedIo};
use bytes::Bytes;
use hingestage_platform::{Elapsed, Platform, Stream};
use hingestage_policy::{Outcome, WorkerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of idle connections per worker.
const IDLE_CONNECTIONS_MAX: usize = 32;
/// Maximum size of a response head, bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 16 * 1024;
/// Maximum declared length of a response, bytes. No valid response is longer.
const RESPONSE_MAX_BYTES: u64 = 40 << 20;
/// Bytes of a response without a declared length that are buffered before it is streamed. Until then a broken response can
/// still be retried; more buffering would delay the first bytes of a long one.
const UNSIZED_BUFFER_MAX_BYTES: usize = 8 * 1024;
/// Pause within a response after which it counts as stalled. Workers are on the same network, and even a slow one
/// mostly keeps writing.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
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

/// Progress of an attempt, for cancelling it.
pub struct AttemptProgress<S> {
    started: RefCell<Option<StartedRequest<S>>>,
    /// Whether the response has begun and makes no progress.
    stalled: Cell<bool>,
    /// Called when `stalled` changes.
    on_stall: Box<dyn Fn(bool)>,
}

/// A request being written to a connection.
struct StartedRequest<S> {
    handle: Rc<TrackedConnection<S>>,
    before: u64,
    parts: Rc<RequestParts>,
}

impl<S: Stream> StartedRequest<S> {
    /// Whether the worker may have received the whole request: the body is sent, and at least part of a head
    /// before it.
    fn may_be_received(&self) -> bool {
        self.parts.body.is_complete()
            && self.handle.bytes_written() > self.before + self.parts.body.forwarded()
    }
}

impl<S> Default for AttemptProgress<S> {
    fn default() -> Self {
        AttemptProgress::new(|_| {})
    }
}

impl<S> AttemptProgress<S> {
    /// The progress of an attempt that has not begun. `on_stall` is called when its response stalls, and when it
    /// goes on.
    pub fn new(on_stall: impl Fn(bool) + 'static) -> Self {
        AttemptProgress {
            started: RefCell::new(None),
            stalled: Cell::new(false),
            on_stall: Box::new(on_stall),
        }
    }

    /// Records whether the response has stalled; returns whether that is new.
    fn set_stalled(&self, stalled: bool) -> bool {
        let changed = self.stalled.replace(stalled) != stalled;
        if changed {
            (self.on_stall)(stalled);
        }
        changed
    }
}

impl<S: Stream> AttemptProgress<S> {
    /// Whether the attempt still waits for a connection.
    pub fn awaits_connection(&self) -> bool {
        self.started.borrow().is_none()
    }

    /// Whether the worker may have received the whole request.
    pub fn may_be_received(&self) -> bool {
        self.started.borrow().as_ref().is_some_and(StartedRequest::may_be_received)
    }

    /// Closes the attempt's connection and returns whether the worker may have received the whole request.
    pub fn abort(&self) -> bool {
        self.started.borrow_mut().take().is_some_and(|started| {
            started.handle.close();
            started.may_be_received()
        })
    }

    /// Closes the attempt's connection and returns the attempt's outcome.
    pub fn cancel(&self) -> Outcome {
        match (self.abort(), self.stalled.get()) {
            (false, _) => Outcome::NotSent,
            (true, false) => Outcome::Cancelled,
            (true, true) => Outcome::Unusable,
        }
    }

    /// Records that the request may be written from now on.
    fn start(&self, handle: &Rc<TrackedConnection<S>>, used: bool, parts: &Rc<RequestParts>) {
        let (handle, before, parts) = (handle.clone(), handle.bytes_written(), parts.clone());
        if used {
            handle.fail_on_pending_input();
        }
        *self.started.borrow_mut() = Some(StartedRequest { handle, before, parts });
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

/// A response as read so far.
struct ReceivedResponse {
    classification: Classification,
    status: StatusCode,
    headers: HeaderMap,
    body: ReceivedBody,
}

enum ReceivedBody {
    Buffered(Bytes),
    /// Still being received.
    Streamed(BodySource),
}

enum ExchangeError {
    Connection,
    /// The response is unusable; the reason.
    Unusable(&'static str),
}

/// The idle timeout announced by a worker: `Keep-Alive: timeout=5`, seconds.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all("keep-alive").iter().filter_map(|value| value.to_str().ok());
    let mut parameters = values.flat_map(|value| value.split(',')).filter_map(|one| one.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Whether a response never has a body (RFC 9110, 6.4.1).
fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Whether the end of a response is known without the end of its connection.
fn is_framed(parts: &RequestParts, status: StatusCode, headers: &HeaderMap) -> bool {
    has_no_body(&parts.method, status)
        || [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name))
}

/// Reads the body of a response. Without framing it ends with its connection: an end in order (FIN) completes it, a
/// reset breaks it.
async fn receive_body(
    parts: &RequestParts,
    status: StatusCode,
    body: Incoming,
) -> Result<ReceivedBody, ExchangeError> {
    if has_no_body(&parts.method, status) {
        return Ok(ReceivedBody::Buffered(Bytes::new()));
    }
    // A declared length above the maximum is not worth waiting for.
    if body.size_hint().lower() > RESPONSE_MAX_BYTES {
        return Err(ExchangeError::Unusable("a response above the maximum size"));
    }
    read_body(body).await
}

/// Buffers a short body; returns a long one as a stream.
async fn read_body(mut body: Incoming) -> Result<ReceivedBody, ExchangeError> {
    let length = body.size_hint().exact();
    // Stream at once, without delaying the first bytes.
    if length.is_some_and(|length| length > BUFFERED_MAX as u64) {
        return Ok(ReceivedBody::Streamed(BodySource::new(Bytes::new(), body, length)));
    }
    let held = if length.is_some() { BUFFERED_MAX } else { UNSIZED_BUFFER_MAX_BYTES };
    let mut joined = ChunkBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match is_framing_error(&e) {
            true => ExchangeError::Unusable("a response that can't be parsed"),
            false => ExchangeError::Connection,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        joined.push(data);
        if joined.len() > held && !body.is_end_stream() {
            return Ok(ReceivedBody::Streamed(BodySource::new(joined.into_bytes(), body, length)));
        }
    }
    Ok(ReceivedBody::Buffered(joined.into_bytes()))
}

/// Whether the chunked framing was invalid, as opposed to a closed connection.
fn is_framing_error(e: &(dyn Error + 'static)) -> bool {
    let cause = e.source().and_then(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData))
}

/// Counts the interim responses (1xx) to a request.
fn count_interim_responses(request: &mut Request<OutgoingBody>) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    hyper::ext::on_informational(request, move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
    });
    count
}

/// Reports when a response that has started, past `mark` bytes, makes no progress, and when it goes on. Interim
/// responses don't count as a start.
async fn watch_progress<P: Platform>(
    platform: &P,
    handle: &TrackedConnection<P::Stream>,
    mut mark: u64,
    interim: &AtomicUsize,
    first_byte_at: &Cell<Option<Instant>>,
    report: impl Fn(bool),
) -> Infallible {
    let (mut interim_seen, mut stalled) = (0, false);
    loop {
        handle.read_past(mark).await;
        if !stalled {
            first_byte_at.set(Some(platform.now()));
        }
        report(false);
        while handle.bytes_read() > mark {
            mark = handle.bytes_read();
            platform.sleep(STALL_TIMEOUT).await;
        }
        let seen = interim.load(Ordering::Relaxed);
        stalled = seen == interim_seen;
        interim_seen = seen;
        report(stalled);
    }
}
