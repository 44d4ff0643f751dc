//! The workers' side: pooled connections, attempts, and what an attempt's end proves.

use crate::net::wire::{Place, Wire, WireIo};
use crate::net::{decimal, note, BODY_MAX};
use crate::{Outcome, WorkerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Duration, Instant};

/// The name under which workers serve.
const SERVICE: &str = "backend.local";
/// Idle connections kept to one worker.
const IDLE_MAX: usize = 32;
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE: Duration = Duration::from_millis(250);

/// What goes on to a worker unchanged.
pub struct Parts {
    /// `GET` or `POST`.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's id for it.
    pub id: HeaderValue,
    /// The client's word on what the body is.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// A worker's whole good answer.
pub struct Served {
    /// The body, unchanged.
    pub body: Bytes,
    /// What it is.
    pub content_type: Option<HeaderValue>,
}

/// The end of an attempt.
pub struct Attempted {
    /// How it ended.
    pub outcome: Outcome,
    /// The true units, if told.
    pub true_units: Option<f64>,
    /// The answer, if good.
    pub served: Option<Served>,
    /// The connection, where it can serve again.
    conn: Option<Conn>,
}

impl From<Outcome> for Attempted {
    fn from(outcome: Outcome) -> Self {
        Attempted { outcome, true_units: None, served: None, conn: None }
    }
}

/// How far an attempt has come, for those who may call it off.
#[derive(Default)]
pub struct Progress {
    wire: RefCell<Option<(Rc<Wire>, u64)>>,
}

impl Progress {
    /// Whether it still waits for a connection.
    pub fn waits(&self) -> bool {
        self.wire.borrow().is_none()
    }

    /// Ends the attempt's connection at once, and tells whether a worker may have the whole request.
    pub fn give_up(&self) -> bool {
        match self.wire.borrow_mut().take() {
            None => false,
            Some((wire, least)) => {
                wire.close();
                wire.written() >= least
            }
        }
    }

    /// From here on the request may be written. Below `least` bytes written it can't be whole.
    fn begin(&self, wire: &Rc<Wire>, parts: &Parts) {
        let least = wire.written() + 1 + parts.body.len() as u64;
        *self.wire.borrow_mut() = Some((wire.clone(), least));
    }
}

/// A connection between two requests.
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<Wire>,
    idle_since: Instant,
    used: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.wire.close();
    }
}

struct Pool {
    addr: SocketAddr,
    boot_ms: u64,
    ready: bool,
    idle: Vec<Conn>,
}

/// Connections to all workers.
pub struct Workers {
    pools: RefCell<HashMap<WorkerId, Pool>>,
    open: Rc<Cell<usize>>,
    most: usize,
    connect_timeout: Duration,
    keep_idle: Duration,
    odd: Cell<u64>,
}

impl Workers {
    /// None known yet. Connections are retired at half the time after which workers close them: a request
    /// that crosses the closing would be a reset, which may have run.
    pub fn new(most: usize, connect_timeout: Duration, worker_idle: Duration) -> Self {
        let (pools, open) = (RefCell::default(), Rc::default());
        Workers { pools, open, most, connect_timeout, keep_idle: worker_idle / 2, odd: Cell::new(0) }
    }

    /// Notes where a worker is, when it started and whether it takes work. Idle connections to one that does
    /// not, or to a former life of it, are closed: a request written to a dead process is a reset, and an
    /// unsafe one would then be failed for nothing.
    pub fn list(&self, id: WorkerId, addr: SocketAddr, boot_ms: u64, ready: bool) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(id).or_insert_with(|| Pool { addr, boot_ms, ready, idle: Vec::new() });
        if (pool.addr, pool.boot_ms) != (addr, boot_ms) || !ready {
            pool.idle.clear();
        }
        (pool.addr, pool.boot_ms, pool.ready) = (addr, boot_ms, ready);
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

    /// Whether the list, as told so far, lets anything new go to this worker.
    pub fn takes_work(&self, id: WorkerId) -> bool {
        self.pools.borrow().get(&id).is_some_and(|pool| pool.ready)
    }

    /// Closes connections that have been idle for long.
    pub fn retire_idle(&self) {
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle.retain(|conn| conn.idle_since.elapsed() < self.keep_idle && !conn.sender.is_closed());
        }
    }

    /// Sends a request once and waits for its whole answer.
    pub async fn attempt(
        &self,
        worker: WorkerId,
        parts: &Parts,
        deadline: Instant,
        progress: &Progress,
    ) -> Attempted {
        loop {
            let mut conn = match self.connection(worker, deadline).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            // The connection may have taken its time: the list of now decides, not that of the send.
            if !self.takes_work(worker) {
                return Outcome::NotSent.into();
            }
            progress.begin(&conn.wire, parts);
            let exchange = exchange(&mut conn.sender, parts, deadline);
            let ended = timeout_at(deadline, exchange).await;
            if let Ok(Ok(answer)) = ended {
                return self.judge(answer, conn);
            }
            let (used, whole) = (conn.used, progress.give_up());
            drop(conn);
            match ended {
                // A kept connection turned out to be closed before anything was written: that was no attempt.
                Ok(Err(_)) if used && !whole => continue,
                _ if !whole => return Outcome::ConnectFailed.into(),
                Ok(Err(Broken::TooLarge)) => {
                    note(&self.odd, format_args!("worker {}: answer too large", worker.0));
                    return Outcome::Error.into();
                }
                Ok(_) => return Outcome::Reset.into(),
                Err(_) => return Outcome::Timeout.into(),
            }
        }
    }

    /// Takes a connection back once it is ready for another request.
    pub async fn give_back(&self, worker: WorkerId, attempted: Attempted) {
        let Some(mut conn) = attempted.conn else { return };
        if !matches!(timeout(SETTLE, conn.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        (conn.idle_since, conn.used) = (Instant::now(), true);
        if let Some(pool) = self.pools.borrow_mut().get_mut(&worker) {
            if pool.ready && pool.idle.len() < IDLE_MAX {
                pool.idle.push(conn);
            }
        }
    }

    /// A kept connection, the last used first, or a new one.
    async fn connection(&self, worker: WorkerId, deadline: Instant) -> Result<Conn, Outcome> {
        let addr = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.get_mut(&worker).filter(|pool| pool.ready).ok_or(Outcome::NotSent)?;
            while let Some(conn) = pool.idle.pop() {
                if conn.idle_since.elapsed() < self.keep_idle && conn.sender.is_ready() {
                    return Ok(conn);
                }
            }
            pool.addr
        };
        let place = Place::take(&self.open, self.most).or_else(|| {
            self.close_an_idle_one();
            Place::take(&self.open, self.most)
        });
        let place = place.ok_or(Outcome::NotSent)?;
        // A machine that is cut off says nothing: the time-out is ours.
        let until = deadline.min(Instant::now() + self.connect_timeout);
        let connected = timeout_at(until, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(Outcome::ConnectFailed) };
        let _ = stream.set_nodelay(true);
        let wire = Wire::new(stream, place);
        let io = TokioIo::new(WireIo(wire.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(|_| Outcome::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // How it ends is told to the attempt that it carries.
            let _ = driver.await;
        });
        wire.driven_by(task.abort_handle());
        Ok(Conn { sender, wire, idle_since: Instant::now(), used: false })
    }

    fn close_an_idle_one(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(pool) = oldest {
            pool.idle.remove(0);
        }
    }

    /// What a whole answer says.
    fn judge(&self, (status, headers, body): Answer, conn: Conn) -> Attempted {
        let not_started = headers.get("not-started").is_some_and(|value| value == "1");
        let outcome = match status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => Outcome::Full,
            // Without the word that it never began, it may have run.
            _ => Outcome::Error,
        };
        let good = outcome == Outcome::Ok;
        let served = good.then(|| Served { body, content_type: headers.get(CONTENT_TYPE).cloned() });
        let true_units = headers.get("x-cost-units").filter(|_| good).and_then(|v| decimal(v.to_str().ok()?));
        Attempted { outcome, true_units, served, conn: Some(conn) }
    }
}

type Answer = (StatusCode, HeaderMap, Bytes);

enum Broken {
    Connection,
    TooLarge,
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    parts: &Parts,
    deadline: Instant,
) -> Result<Answer, Broken> {
    let mut request = Request::new(Full::new(parts.body.clone()));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(SERVICE));
    headers.insert("request-id", parts.id.clone());
    let left = deadline.saturating_duration_since(Instant::now());
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
        headers.insert("request-timeout", value);
    }
    if let Some(value) = &parts.content_type {
        headers.insert(CONTENT_TYPE, value.clone());
    }
    let answer: Response<Incoming> = sender.send_request(request).await.map_err(|_| Broken::Connection)?;
    let (head, body) = answer.into_parts();
    match Limited::new(body, BODY_MAX).collect().await {
        Ok(body) => Ok((head.status, head.headers, body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Broken::TooLarge),
        Err(_) => Err(Broken::Connection),
    }
}
