//! The list of workers: its form, the watch on it, and the book of who is where.

use crate::net::driver::Driver;
use crate::net::wire::{Place, Wire, WireIo};
use crate::net::{note, Backoff};
use crate::{Availability, Event, ListScope, WorkerId, WorkerInfo, WorkerList, Zone};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};

/// Silence after which a watch is dead: an empty line is due every 2 s.
const SILENT: Duration = Duration::from_millis(4_500);
/// Time to connect to an agent on this machine.
const CONNECT: Duration = Duration::from_secs(1);
/// The longest line; a list of thousands of workers is shorter.
const LINE_MAX: usize = 4 << 20;

/// Ids kept of workers that are no longer listed.
const IDS_MAX: usize = 10_000;

/// A list of workers, or what changed of it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct HostList {
    /// Its version.
    pub rev: u64,
    /// Whether it names all workers.
    #[serde(default)]
    pub all: bool,
    /// The workers.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One worker as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: u64,
    #[serde(default)]
    state: String,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: u64,
}

/// Which worker is which: `uid`s as the ids that the decisions go by, never given twice.
#[derive(Default)]
pub struct Book {
    ids: RefCell<HashMap<String, WorkerId>>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl Book {
    fn id(&self, uid: &str) -> WorkerId {
        *self.ids.borrow_mut().entry(uid.to_owned()).or_insert_with(|| {
            self.next.set(self.next.get() + 1);
            WorkerId(self.next.get())
        })
    }

    /// Brings pools and decisions to a list. `scope` says what the list covers.
    pub fn apply(&self, driver: &Rc<Driver>, list: &HostList, scope: ListScope) {
        let workers: Vec<WorkerInfo> = list.targets.iter().map(|t| self.worker(driver, t)).collect();
        let named: HashSet<WorkerId> = workers.iter().map(|w| w.id).collect();
        if scope != ListScope::Delta {
            driver.workers.keep_only(&named);
        }
        // A worker that comes back keeps its id; only a fleet's many former lives are forgotten.
        if self.ids.borrow().len() > IDS_MAX {
            self.ids.borrow_mut().retain(|_, id| driver.workers.lists(*id));
        }
        driver.feed(Event::Workers(WorkerList { scope, workers }));
        driver.recall_unwritten();
    }

    fn worker(&self, driver: &Driver, target: &Target) -> WorkerInfo {
        let id = self.id(&target.uid);
        let mut availability = match target.state.as_str() {
            "up" => Availability::Ready,
            "removed" => Availability::Gone,
            // A word nobody has described is no leave to send.
            _ => Availability::Draining,
        };
        match target.endpoint.parse::<SocketAddr>() {
            Ok(addr) if availability != Availability::Gone => {
                driver.workers.list(id, addr, target.boot_ms, availability == Availability::Ready)
            }
            parsed => {
                if parsed.is_err() && availability != Availability::Gone {
                    note(&self.odd, format_args!("discovery: worker {:?} has no address", target.uid));
                }
                availability = Availability::Gone;
                driver.workers.unlist(id);
            }
        }
        WorkerInfo {
            id,
            availability,
            zone: Zone(target.az.clone()),
            cell: target.pod_group,
            size: target.capacity_hint.filter(|n| n.is_finite() && *n > 0.0).unwrap_or(1.0),
            // The gateway's clock counts Unix time too, so that all gateways agree on a start.
            started: (target.boot_ms > 0).then(|| target.boot_ms.saturating_mul(1_000)),
        }
    }
}

/// Follows the list for ever; calls `told` after each list or change.
pub async fn follow(driver: Rc<Driver>, book: Book, at: SocketAddr, rev: u64, told: impl Fn()) {
    let (mut rev, mut backoff) = (rev, Backoff::new());
    loop {
        let before = rev;
        match watch(&driver, &book, at, &mut rev, &told).await {
            Ok(()) => {}
            Err(what) => note(&book.odd, format_args!("discovery: {what}")),
        }
        if rev != before {
            backoff = Backoff::new();
        }
        backoff.wait().await;
    }
}

/// One watch, until it ends, falls silent or talks nonsense. A change that could not be read is asked for
/// again: the next watch starts after the last version that was taken in.
async fn watch(
    driver: &Rc<Driver>,
    book: &Book,
    at: SocketAddr,
    rev: &mut u64,
    told: &impl Fn(),
) -> Result<(), String> {
    let stream = timeout(CONNECT, TcpStream::connect(at)).await;
    let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
    let place = Place::take(&Rc::default(), 1).ok_or("no place")?;
    let wire = Wire::new(stream, place);
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(WireIo(wire.clone())))
        .await
        .map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move { drop(conn.await) });
    wire.driven_by(task.abort_handle());
    let read = read_watch(driver, book, &mut sender, rev, told).await;
    wire.close();
    read
}

async fn read_watch(
    driver: &Rc<Driver>,
    book: &Book,
    sender: &mut hyper::client::conn::http1::SendRequest<Empty<Bytes>>,
    rev: &mut u64,
    told: &impl Fn(),
) -> Result<(), String> {
    let request = Request::get(format!("/discovery/hosts?stream=1&index={rev}"))
        .header(HOST, "discovery")
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let answer = timeout(SILENT, sender.send_request(request)).await;
    let mut answer = answer.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    let mut buffer = BytesMut::new();
    loop {
        let frame = timeout(SILENT, answer.frame()).await.map_err(|_| "the watch fell silent")?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list: HostList = serde_json::from_slice(&line).map_err(|e| format!("a line: {e}"))?;
            let scope = if list.all { ListScope::Full } else { ListScope::Delta };
            book.apply(driver, &list, scope);
            *rev = list.rev;
            told();
        }
        if buffer.len() > LINE_MAX {
            return Err("a line has no end".into());
        }
    }
}
