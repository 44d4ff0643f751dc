//! The workers' side: pooled connections, attempts, and what an attempt's end proves.

use crate::body::{Joined, Passing, RequestBody, Source, HELD};
use crate::dialect::{Dialect, Judgement, Parts};
use crate::note;
use crate::wire::{Place, Wire, WireIo};
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
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle connections kept to one worker.
const IDLE_MAX: usize = 32;
/// The largest head of an answer, bytes.
const HEAD_MAX: usize = 16 * 1024;
/// The longest answer, bytes: what is said to be longer is nonsense.
const LONGEST: u64 = 40 << 20;
/// Bytes of an answer without a length that are held before it is taken for a long one: it may be spoilt, and
/// then another attempt can still be made, but the first bytes of a long one are waited for.
const HELD_CHUNKED: usize = 8 * 1024;
/// How long an answer that has begun may pause: the machines share a room, and a slow one still writes on.
const REST: Duration = Duration::from_millis(300);
/// How long a connection rests after an answer before it carries another request. A worker that sends an
/// answer twice sends the copy right behind; on its way while the next request is written, it would be taken
/// for the answer to that and serve one client with what was made for another.
const RESTED: Duration = Duration::from_millis(2);
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE: Duration = Duration::from_millis(250);
/// Time kept back from the idle time that a worker tells: a request on its way must not cross the closing.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// By when an attempt must have come how far.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Not written at all after this, which is no later than the deadline.
    pub begin_by: Instant,
    /// Given up then.
    pub deadline: Instant,
}

/// A worker's good answer.
pub struct Served<S: Stream> {
    /// The status.
    pub status: StatusCode,
    /// The headers that go to the client.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: ServedBody<S>,
}

/// The body of a good answer.
pub enum ServedBody<S: Stream> {
    /// All of it.
    Whole(Bytes),
    /// What has come so far of a long one, and where the rest comes from.
    Flow(Box<Rest<S>>),
}

/// The rest of a long answer.
pub struct Rest<S: Stream> {
    /// What has come so far and what is to come.
    pub source: Source,
    /// The worker that it comes from.
    pub worker: WorkerId,
    conn: Conn<S>,
}

impl<S: Stream> Rest<S> {
    /// The end of an attempt whose answer has come whole: its connection can serve again.
    pub fn over(self) -> Attempted<S> {
        Attempted { conn: Some(self.conn).filter(|conn| conn.reusable), ..Outcome::Ok.into() }
    }
}

/// The end of an attempt.
pub struct Attempted<S: Stream> {
    /// How it ended.
    pub outcome: Outcome,
    /// The true units, if told.
    pub true_units: Option<f64>,
    /// When the answer's first bytes came, where it did not come in one piece.
    pub heard: Option<Instant>,
    /// The answer, if good.
    pub served: Option<Served<S>>,
    /// The connection, where it can serve again.
    conn: Option<Conn<S>>,
}

impl<S: Stream> From<Outcome> for Attempted<S> {
    fn from(outcome: Outcome) -> Self {
        Attempted { outcome, true_units: None, heard: None, served: None, conn: None }
    }
}

/// How far an attempt has come, for those who may call it off.
pub struct Progress<S> {
    begun: RefCell<Option<Begun<S>>>,
}

/// A request that may have been written to a connection that had so many bytes written before.
struct Begun<S> {
    wire: Rc<Wire<S>>,
    before: u64,
    parts: Rc<Parts>,
}

impl<S: Stream> Begun<S> {
    /// Whether it can be whole at the worker: its body is, and some head before it.
    fn whole(&self) -> bool {
        self.parts.body.over() && self.wire.written() > self.before + self.parts.body.passed()
    }
}

impl<S> Default for Progress<S> {
    fn default() -> Self {
        Progress { begun: RefCell::new(None) }
    }
}

impl<S: Stream> Progress<S> {
    /// Whether it still waits for a connection.
    pub fn waits(&self) -> bool {
        self.begun.borrow().is_none()
    }

    /// Whether a worker may have the whole request by now.
    pub fn came_whole(&self) -> bool {
        self.begun.borrow().as_ref().is_some_and(Begun::whole)
    }

    /// Ends the attempt's connection at once, and tells whether a worker may have the whole request.
    pub fn give_up(&self) -> bool {
        self.begun.borrow_mut().take().is_some_and(|begun| {
            begun.wire.close();
            begun.whole()
        })
    }

    /// From here on the request may be written.
    fn begin(&self, wire: &Rc<Wire<S>>, used: bool, parts: &Rc<Parts>) {
        let (wire, before, parts) = (wire.clone(), wire.written(), parts.clone());
        if used {
            wire.expect_silence();
        }
        *self.begun.borrow_mut() = Some(Begun { wire, before, parts });
    }
}

/// A connection between two requests.
struct Conn<S: Stream> {
    sender: SendRequest<Passing>,
    wire: Rc<Wire<S>>,
    /// Where it leads, and to which life of the worker.
    life: Life,
    idle_since: Instant,
    /// How long it may stay idle.
    idle_limit: Duration,
    used: bool,
    /// Whether it may serve again after the answer that it carries.
    reusable: bool,
}

impl<S: Stream> Conn<S> {
    /// Whether it has been idle for so long that the worker may be about to close it.
    fn expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.idle_limit
    }
}

/// Address and start of a worker.
type Life = (SocketAddr, u64);

impl<S: Stream> Drop for Conn<S> {
    fn drop(&mut self) {
        self.wire.close();
    }
}

struct Pool<S: Stream> {
    life: Life,
    ready: bool,
    idle: Vec<Conn<S>>,
}

/// Connections to all workers.
pub struct Workers<P: Platform> {
    platform: P,
    /// In order: whose idle connection makes room must not hang on a table's random keys.
    pools: RefCell<BTreeMap<WorkerId, Pool<P::Stream>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    connect_timeout: Duration,
    keep_idle: Duration,
    dialect: Rc<dyn Dialect>,
    odd: Cell<u64>,
    /// Who wants to know that nobody listens at a worker's address.
    on_refused: RefCell<Option<OnRefused>>,
}

type OnRefused = Rc<dyn Fn(WorkerId)>;

impl<P: Platform> Workers<P> {
    /// None known yet. Connections are retired at half the time after which workers close them: a request
    /// that crosses the closing would be a reset, which may have run.
    pub fn new(
        platform: P,
        most: usize,
        connect_timeout: Duration,
        worker_idle: Duration,
        dialect: Rc<dyn Dialect>,
    ) -> Self {
        let (pools, open) = (RefCell::default(), Rc::default());
        let keep_idle = worker_idle / 2;
        let (odd, on_refused) = (Cell::new(0), RefCell::default());
        Workers { platform, pools, open, most, connect_timeout, keep_idle, dialect, odd, on_refused }
    }

    /// Tells somebody from now on when nobody listens at a worker's address.
    pub fn tell_refused(&self, tell: impl Fn(WorkerId) + 'static) {
        *self.on_refused.borrow_mut() = Some(Rc::new(tell));
    }

    /// Notes where a worker is, when it started and whether it takes work. Idle connections to one that does
    /// not, or to a former life of it, are closed: a request written to a dead process is a reset, and an
    /// unsafe one would then be failed for nothing.
    pub fn list(&self, id: WorkerId, addr: SocketAddr, boot_ms: u64, ready: bool) {
        let (life, mut pools) = ((addr, boot_ms), self.pools.borrow_mut());
        // Where a new worker has taken an address over, connections of the old one lead nowhere.
        for (_, former) in pools.iter_mut().filter(|(other, pool)| **other != id && pool.life.0 == addr) {
            former.idle.clear();
        }
        let pool = pools.entry(id).or_insert_with(|| Pool { life, ready, idle: Vec::new() });
        if pool.life != life || !ready {
            pool.idle.clear();
        }
        (pool.life, pool.ready) = (life, ready);
    }

    /// Forgets a worker.
    pub fn unlist(&self, id: WorkerId) {
        self.pools.borrow_mut().remove(&id);
    }

    /// Forgets all workers but these.
    pub fn keep_only(&self, named: &HashSet<WorkerId>) {
        self.pools.borrow_mut().retain(|id, _| named.contains(id));
    }

    /// Whether the list names this worker.
    pub fn lists(&self, id: WorkerId) -> bool {
        self.pools.borrow().contains_key(&id)
    }

    /// Workers on the list.
    pub fn listed(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Whether the list, as told so far, lets anything new go to this worker.
    pub fn takes_work(&self, id: WorkerId) -> bool {
        self.pools.borrow().get(&id).is_some_and(|pool| pool.ready)
    }

    /// Closes connections that have been idle for long.
    pub fn retire_idle(&self) {
        let now = self.platform.now();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle.retain(|conn| !conn.expired(now) && !conn.sender.is_closed());
        }
    }

    /// Sends a request once and waits for its whole answer.
    pub async fn attempt(
        &self,
        worker: WorkerId,
        parts: &Rc<Parts>,
        times: Times,
        progress: &Progress<P::Stream>,
    ) -> Attempted<P::Stream> {
        loop {
            let mut conn = match self.connection(worker, parts, times.begin_by).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            // The connection may have taken its time: the list of now decides, not that of the send.
            if !self.takes_work(worker) || self.platform.now() > times.begin_by {
                return Outcome::NotSent.into();
            }
            let Some(body) = parts.body.open() else { return Outcome::NotSent.into() };
            progress.begin(&conn.wire, conn.used, parts);
            let limit = self.limit(parts, times.deadline);
            let heard = Cell::new(None);
            let exchange = self.exchange(worker, &mut conn, parts, body, times.deadline, &heard);
            let ended = tokio::select! {
                biased;
                ended = exchange => Ok(ended),
                () = limit => Err(Elapsed),
            };
            if let Ok(Ok(answer)) = ended {
                return Attempted { heard: heard.get(), ..self.attempted(worker, answer, conn) };
            }
            let (used, whole) = (conn.used, progress.give_up());
            drop(conn);
            match ended {
                // A kept connection turned out to be closed before anything was written: that was no attempt.
                Ok(Err(_)) if used && !whole => continue,
                _ if !whole => return Outcome::ConnectFailed.into(),
                Ok(Err(Broken::Spoilt(what))) => {
                    note(&self.platform, &self.odd, format_args!("worker {}: {what}", worker.0));
                    return Outcome::Unusable.into();
                }
                Ok(_) => return Outcome::Reset.into(),
                Err(_) => return Outcome::Timeout.into(),
            }
        }
    }

    /// Writes a request and reads its answer. An answer that begins and does not go on has been spoilt: the rest
    /// will never come, and the time that is left is better spent on another attempt.
    async fn exchange(
        &self,
        worker: WorkerId,
        conn: &mut Conn<P::Stream>,
        parts: &Parts,
        body: Passing,
        deadline: Instant,
        heard: &Cell<Option<Instant>>,
    ) -> Result<Answer, Broken> {
        let skipped = Arc::new(AtomicUsize::new(0));
        let left = match &parts.body {
            RequestBody::Whole(_) => deadline.saturating_duration_since(self.platform.now()),
            RequestBody::Flow(flow) => flow.patience,
        };
        let request = self.request(worker, parts, body, left, skipped.clone());
        let (wire, mark) = (conn.wire.clone(), conn.wire.read());
        tokio::select! {
            biased;
            answer = self.read_answer(worker, parts, &mut conn.sender, request) => answer,
            () = stalled(&self.platform, &wire, mark, &skipped, heard) => {
                Err(Broken::Spoilt("an answer without an end"))
            }
        }
    }

    /// What goes on to a worker. `skipped` counts the interim answers (1xx) ahead of the final one.
    fn request(
        &self,
        worker: WorkerId,
        parts: &Parts,
        body: Passing,
        left: Duration,
        skipped: Arc<AtomicUsize>,
    ) -> Request<Passing> {
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts.uri.clone();
        *request.headers_mut() = parts.headers.clone();
        self.dialect.write_head(parts, worker, left, request.headers_mut());
        hyper::ext::on_informational(&mut request, move |_| {
            skipped.fetch_add(1, Ordering::Relaxed);
        });
        request
    }

    async fn read_answer(
        &self,
        worker: WorkerId,
        parts: &Parts,
        sender: &mut SendRequest<Passing>,
        request: Request<Passing>,
    ) -> Result<Answer, Broken> {
        let answer: Response<Incoming> =
            sender.send_request(request).await.map_err(|e| match e.is_parse() {
                true => Broken::Spoilt("an answer that can't be read"),
                false => Broken::Connection,
            })?;
        let (head, body) = answer.into_parts();
        let (status, headers) = (head.status, head.headers);
        self.dialect.listen(worker, &headers);
        let judgement = self.dialect.judge(parts, status, &headers);
        let body = answer_body(parts, status, &headers, judgement.outcome, body).await?;
        Ok(Answer { judgement, status, headers, body })
    }

    /// The end of an attempt that was answered. One whose answer has no end of its own is read no further, and
    /// its connection not kept.
    fn attempted(&self, worker: WorkerId, answer: Answer, mut conn: Conn<P::Stream>) -> Attempted<P::Stream> {
        let Answer { judgement, status, headers, body } = answer;
        conn.reusable = self.dialect.may_reuse(&headers);
        if let Some(told) = told_idle(&headers) {
            conn.idle_limit = self.keep_idle.min(told.saturating_sub(IDLE_MARGIN));
        }
        let (body, conn) = match body {
            AnswerBody::Whole(bytes) => (Some(ServedBody::Whole(bytes)), Some(conn)),
            AnswerBody::Flow(source) => {
                (Some(ServedBody::Flow(Box::new(Rest { source, worker, conn }))), None)
            }
            AnswerBody::Endless => (None, None),
        };
        let body = body.filter(|_| judgement.outcome == Outcome::Ok);
        let served = body.map(|body| Served { status, headers: self.dialect.passed_on(&headers), body });
        Attempted {
            outcome: judgement.outcome,
            true_units: judgement.true_units,
            heard: None,
            served,
            conn: conn.filter(|conn| conn.reusable),
        }
    }

    /// Ends when an attempt has taken too long. A long body's time counts from its last byte.
    async fn limit(&self, parts: &Parts, deadline: Instant) {
        match &parts.body {
            RequestBody::Whole(_) => self.platform.sleep_until(deadline).await,
            RequestBody::Flow(flow) => {
                if flow.ends(&self.platform).await {
                    self.platform.sleep(flow.patience).await;
                }
            }
        }
    }

    /// Takes a connection back once it is ready for another request.
    pub async fn give_back(&self, worker: WorkerId, attempted: Attempted<P::Stream>) {
        let Some(mut conn) = attempted.conn else { return };
        if !matches!(self.platform.timeout(SETTLE, conn.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        (conn.idle_since, conn.used) = (self.platform.now(), true);
        if let Some(pool) = self.pools.borrow_mut().get_mut(&worker) {
            // Not to the pool of another life: there it would be taken for a connection to that.
            if pool.ready && pool.life == conn.life && pool.idle.len() < IDLE_MAX {
                pool.idle.push(conn);
            }
        }
    }

    /// A kept connection, the last used first among those that have rested, or a new one.
    /// A long body goes out on a new one: it can be sent only once, also where nothing of it has arrived.
    async fn connection(
        &self,
        worker: WorkerId,
        parts: &Parts,
        until: Instant,
    ) -> Result<Conn<P::Stream>, Outcome> {
        let life = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.get_mut(&worker).filter(|pool| pool.ready).ok_or(Outcome::NotSent)?;
            let now = self.platform.now();
            let rested = |conn: &Conn<_>| now.saturating_duration_since(conn.idle_since) >= RESTED;
            let kept = matches!(parts.body, RequestBody::Whole(_));
            while let Some(place) = pool.idle.iter().rposition(rested).filter(|_| kept) {
                let conn = pool.idle.remove(place);
                if !conn.expired(now) && conn.sender.is_ready() {
                    return Ok(conn);
                }
            }
            pool.life
        };
        let place = Place::take(&self.open, self.most).or_else(|| {
            self.close_an_idle_one();
            Place::take(&self.open, self.most)
        });
        let place = place.ok_or(Outcome::NotSent)?;
        // A machine that is cut off says nothing: the time-out is ours.
        let until = until.min(self.platform.now() + self.connect_timeout);
        let connected = self.platform.timeout_at(until, self.platform.connect(life.0)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            failed => {
                let refused = matches!(failed, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
                let tell = self.on_refused.borrow().clone().filter(|_| refused);
                tell.into_iter().for_each(|tell| tell(worker));
                return Err(Outcome::ConnectFailed);
            }
        };
        let wire = Wire::new(stream, place);
        let io = TokioIo::new(WireIo(wire.clone()));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(io)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let task = self.platform.spawn(async move {
            // How it ends is told to the attempt that it carries.
            let _ = driver.await;
        });
        wire.driven_by(task);
        let (idle_since, idle_limit) = (self.platform.now(), self.keep_idle);
        Ok(Conn { sender, wire, life, idle_since, idle_limit, used: false, reusable: true })
    }

    fn close_an_idle_one(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(pool) = oldest {
            pool.idle.remove(0);
        }
    }
}

/// An answer as far as it has been read.
struct Answer {
    judgement: Judgement,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
}

enum AnswerBody {
    Whole(Bytes),
    /// A long one.
    Flow(Source),
    /// One that is read no further.
    Endless,
}

enum Broken {
    Connection,
    /// An answer came that is of no use, and why.
    Spoilt(&'static str),
}

/// The idle time that a worker tells: `Keep-Alive: timeout=5`, seconds.
fn told_idle(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all("keep-alive").iter().filter_map(|value| value.to_str().ok());
    let mut parameters = values.flat_map(|value| value.split(',')).filter_map(|one| one.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Whether an answer has no body whatever its headers say (RFC 9110, 6.4.1).
fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Reads the body that belongs to a head.
async fn answer_body(
    parts: &Parts,
    status: StatusCode,
    headers: &HeaderMap,
    outcome: Outcome,
    body: Incoming,
) -> Result<AnswerBody, Broken> {
    if has_no_body(&parts.method, status) {
        return Ok(AnswerBody::Whole(Bytes::new()));
    }
    // Said to be too long, it is not worth waiting for.
    if body.size_hint().lower() > LONGEST {
        return Err(Broken::Spoilt("an answer too large"));
    }
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name));
    // Without a length it would end where the connection does, and might be cut there without a sign.
    match (framed, outcome) {
        (true, _) => read_body(body).await,
        (false, Outcome::Ok) => Err(Broken::Spoilt("an answer without a length")),
        (false, _) => Ok(AnswerBody::Endless),
    }
}

/// Reads a body whole, or so far that it turns out to be a long one.
async fn read_body(mut body: Incoming) -> Result<AnswerBody, Broken> {
    let length = body.size_hint().exact();
    // A client waits for the first bytes of a long one, so nothing of it is held back.
    if length.is_some_and(|length| length > HELD as u64) {
        return Ok(AnswerBody::Flow(Source::new(Bytes::new(), body, length)));
    }
    let held = if length.is_some() { HELD } else { HELD_CHUNKED };
    let mut joined = Joined::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match bad_framing(&e) {
            true => Broken::Spoilt("an answer that can't be read"),
            false => Broken::Connection,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        joined.push(data);
        if joined.len() > held && !body.is_end_stream() {
            return Ok(AnswerBody::Flow(Source::new(joined.whole(), body, length)));
        }
    }
    Ok(AnswerBody::Whole(joined.whole()))
}

/// Whether a body's chunks made no sense, as against a connection that ended.
fn bad_framing(e: &(dyn Error + 'static)) -> bool {
    let cause = e.source().and_then(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData))
}

/// Ends when an answer has begun, past `mark` bytes, and does not go on. Interim answers are no beginning: the
/// final one comes when it is ready.
async fn stalled<P: Platform>(
    platform: &P,
    wire: &Wire<P::Stream>,
    mut mark: u64,
    skipped: &AtomicUsize,
    heard: &Cell<Option<Instant>>,
) {
    let mut passed_over = 0;
    loop {
        wire.read_past(mark).await;
        heard.set(Some(platform.now()));
        let mut seen = 0;
        while wire.read() > seen {
            seen = wire.read();
            platform.sleep(REST).await;
        }
        let interim = skipped.load(Ordering::Relaxed);
        if interim == passed_over {
            return;
        }
        (passed_over, mark) = (interim, wire.read());
    }
}
