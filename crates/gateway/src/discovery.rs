//! Follows the list of workers at the discovery service, and applies it to the driver.

use crate::Backoff;
use bytes::{Bytes, BytesMut};
use hingestage_dataplane::driver::Driver;
use hingestage_dataplane::log_sparsely;
use hingestage_dataplane::tracked_connection::{ConnectionSlot, TrackedConnection, TrackedIo};
use hingestage_membership::hosts::HostList;
use hingestage_membership::{Address, Membership, MembershipUpdate, Sources, WorkerLocation, WorkerUpdate};
use hingestage_platform::{Platform, Stream, Task};
use hingestage_policy::{Availability, ListScope, Micros, WorkerId, WorkerList};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Silence after which a watch is considered dead; the service sends an empty line every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Timeout for connecting to the agent on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest line, bytes; a list of thousands of workers is shorter.
const LINE_BYTES_MAX: usize = 4 << 20;

/// The known workers; passes each change on to the driver.
pub struct WorkerDirectory {
    members: RefCell<Membership>,
    errors: Cell<u64>,
}

impl WorkerDirectory {
    /// Creates an empty directory.
    pub fn new(sources: Sources) -> Rc<Self> {
        Rc::new(WorkerDirectory { members: RefCell::new(Membership::new(sources)), errors: Cell::new(0) })
    }

    /// Sets the sources of later changes.
    pub fn set_sources(&self, sources: Sources) {
        self.members.borrow_mut().reconfigure(sources);
    }

    /// Applies a list from discovery; `scope` says what the list covers.
    pub fn apply_list<P: Platform>(&self, driver: &Rc<Driver<P>>, apply_list: &HostList, scope: ListScope) {
        let change = self.members.borrow_mut().apply_list(apply_list, scope, driver.micros());
        self.apply(driver, change);
    }

    /// Applies the addresses from DNS.
    pub fn apply_srv<P: Platform>(&self, driver: &Rc<Driver<P>>, addresses: &[Address]) {
        let change = self.members.borrow_mut().apply_dns(addresses, driver.micros());
        self.apply(driver, change);
    }

    /// Handles a refused connection to a worker.
    pub fn connection_refused<P: Platform>(&self, driver: &Rc<Driver<P>>, worker: WorkerId) {
        let change = self.members.borrow_mut().connection_refused(worker, driver.micros());
        change.into_iter().for_each(|change| self.apply(driver, change));
    }

    /// Applies all timeouts that are due; returns the time of the next one.
    pub fn expire<P: Platform>(&self, driver: &Rc<Driver<P>>) -> Option<Micros> {
        let change = self.members.borrow_mut().expire(driver.micros());
        change.into_iter().for_each(|change| self.apply(driver, change));
        self.members.borrow().next_expiry()
    }

    fn apply<P: Platform>(&self, driver: &Rc<Driver<P>>, change: MembershipUpdate) {
        for WorkerUpdate { info, location } in &change.workers {
            match location {
                Some(WorkerLocation { at, started_ms }) => {
                    driver.workers.update(info.id, *at, *started_ms, info.availability == Availability::Ready)
                }
                None => driver.workers.remove(info.id),
            }
        }
        if change.scope != ListScope::Delta {
            driver.workers.retain_workers(self.members.borrow().located());
        }
        change.warnings.iter().for_each(|what| log_sparsely(&driver.platform, &self.errors, what));
        let workers: Vec<_> = change.workers.into_iter().map(|told| told.info).collect();
        driver.update_workers(WorkerList { scope: change.scope, workers });
    }
}

/// Follows the discovery service in use, and its replacement until that has sent its list.
pub struct Watcher<P: Platform> {
    driver: Rc<Driver<P>>,
    directory: Rc<WorkerDirectory>,
    on_update: Box<dyn Fn()>,
    current: RefCell<Option<Watch<P::Task>>>,
    replacement: RefCell<Option<Watch<P::Task>>>,
}

/// A running watch on one address; dropping it ends the watch.
struct Watch<T: Task> {
    at: SocketAddr,
    task: T,
}

impl<T: Task> Drop for Watch<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<P: Platform> Watcher<P> {
    /// Follows the list at `at` from version `rev` on; calls `on_update` after each list or change.
    pub fn start(
        driver: Rc<Driver<P>>,
        directory: Rc<WorkerDirectory>,
        at: SocketAddr,
        rev: u64,
        on_update: impl Fn() + 'static,
    ) -> Rc<Self> {
        let (current, replacement) = (RefCell::default(), RefCell::default());
        let on_update = Box::new(on_update);
        let watcher = Rc::new(Watcher { driver, directory, on_update, current, replacement });
        *watcher.current.borrow_mut() = Some(watcher.follow(at, Some(rev)));
        watcher
    }

    /// Changes the address. The old service is followed until the new one has sent its list, so that no drain is
    /// missed in between.
    pub fn set_address(self: &Rc<Self>, at: SocketAddr) {
        drop(self.replacement.take());
        if self.current.borrow().as_ref().is_none_or(|current| current.at != at) {
            // Versions are local to a service, so the whole list is requested.
            *self.replacement.borrow_mut() = Some(self.follow(at, None));
        }
    }

    fn follow(self: &Rc<Self>, at: SocketAddr, rev: Option<u64>) -> Watch<P::Task> {
        Watch { at, task: self.driver.platform.spawn(follow(self.clone(), at, rev)) }
    }

    fn updated(&self, at: SocketAddr) {
        let replaced = self.replacement.borrow().as_ref().is_some_and(|replacement| replacement.at == at);
        if replaced {
            drop(self.current.replace(self.replacement.take()));
        }
        (self.on_update)();
    }

    fn apply(&self, list: &HostList, scope: ListScope) {
        self.directory.apply_list(&self.driver, list, scope);
    }
}

/// Follows one address forever.
async fn follow<P: Platform>(watcher: Rc<Watcher<P>>, at: SocketAddr, mut rev: Option<u64>) {
    let mut backoff = Backoff::new();
    loop {
        let before = rev;
        match watch(&watcher, at, &mut rev).await {
            Ok(()) => {}
            Err(what) => log_sparsely(
                &watcher.driver.platform,
                &watcher.directory.errors,
                format_args!("discovery: {what}"),
            ),
        }
        if rev != before {
            backoff = Backoff::new();
        }
        backoff.wait(&watcher.driver.platform).await;
    }
}

/// Closes the connection of a watch when dropped.
struct CloseOnDrop<S: Stream>(Rc<TrackedConnection<S>>);

impl<S: Stream> Drop for CloseOnDrop<S> {
    fn drop(&mut self) {
        self.0.close();
    }
}

type Sender = hyper::client::conn::http1::SendRequest<Empty<Bytes>>;

/// Runs one watch until it ends, falls silent or sends a malformed line. The next watch starts after the last version
/// that was applied, so an unreadable change is requested again.
async fn watch<P: Platform>(
    watcher: &Watcher<P>,
    at: SocketAddr,
    rev: &mut Option<u64>,
) -> Result<(), String> {
    let platform = &watcher.driver.platform;
    let stream = platform.timeout(CONNECT_TIMEOUT, platform.connect(at)).await;
    let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
    let place = ConnectionSlot::take(&Rc::default(), 1).ok_or("no place")?;
    let clock = platform.clone();
    let guard = CloseOnDrop(TrackedConnection::new(stream, place, move || clock.now()));
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(TrackedIo(guard.0.clone())))
        .await
        .map_err(|e| e.to_string())?;
    guard.0.set_driver(platform.spawn(async move { drop(conn.await) }));
    let from = match *rev {
        Some(from) => from,
        None => {
            let from = read_whole(watcher, &mut sender).await?;
            *rev = Some(from);
            watcher.updated(at);
            sender.ready().await.map_err(|e| e.to_string())?;
            from
        }
    };
    read_watch(watcher, at, &mut sender, from, rev).await
}

async fn get(
    platform: &impl Platform,
    sender: &mut Sender,
    path: &str,
) -> Result<Response<Incoming>, String> {
    let request =
        Request::get(path).header(HOST, "discovery").body(Empty::new()).map_err(|e| e.to_string())?;
    let answer = platform.timeout(SILENCE_TIMEOUT, sender.send_request(request)).await;
    let answer = answer.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(answer),
        other => Err(format!("answered {other}")),
    }
}

/// Reads and applies the whole list; returns its version.
async fn read_whole<P: Platform>(watcher: &Watcher<P>, sender: &mut Sender) -> Result<u64, String> {
    let platform = &watcher.driver.platform;
    let answer = get(platform, sender, "/discovery/hosts").await?;
    let body =
        platform.timeout(SILENCE_TIMEOUT, Limited::new(answer.into_body(), LINE_BYTES_MAX).collect()).await;
    let body = body.map_err(|_| "half a list")?.map_err(|e| e.to_string())?.to_bytes();
    let list: HostList = serde_json::from_slice(&body).map_err(|e| format!("the list: {e}"))?;
    watcher.apply(&list, ListScope::Full);
    Ok(list.rev)
}

async fn read_watch<P: Platform>(
    watcher: &Watcher<P>,
    at: SocketAddr,
    sender: &mut Sender,
    from: u64,
    rev: &mut Option<u64>,
) -> Result<(), String> {
    let platform = &watcher.driver.platform;
    let mut answer = get(platform, sender, &format!("/discovery/hosts?stream=1&index={from}")).await?;
    let mut buffer = BytesMut::new();
    loop {
        let frame =
            platform.timeout(SILENCE_TIMEOUT, answer.frame()).await.map_err(|_| "the watch fell silent")?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list: HostList = serde_json::from_slice(&line).map_err(|e| format!("a line: {e}"))?;
            watcher.apply(&list, if list.all { ListScope::Full } else { ListScope::Delta });
            *rev = Some(list.rev);
            watcher.updated(at);
        }
        if buffer.len() > LINE_BYTES_MAX {
            return Err("a line has no end".into());
        }
    }
}
