//! The list of workers: the watch on it, and what each word of membership does here.

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

/// Silence after which a watch is dead: an empty line is due every 2 s.
const SILENT: Duration = Duration::from_millis(4_500);
/// Time to connect to an agent on this machine.
const CONNECT: Duration = Duration::from_secs(1);
/// The longest line; a list of thousands of workers is shorter.
const LINE_MAX: usize = 4 << 20;

/// Who the workers are, and what the gateway does about each word of it.
pub struct Book {
    members: RefCell<Membership>,
    odd: Cell<u64>,
}

impl Book {
    /// Nobody yet.
    pub fn new(sources: Sources) -> Rc<Self> {
        Rc::new(Book { members: RefCell::new(Membership::new(sources)), odd: Cell::new(0) })
    }

    /// Goes by other sources from the next word on.
    pub fn go_by(&self, sources: Sources) {
        self.members.borrow_mut().reconfigure(sources);
    }

    /// Brings pools and decisions to a list. `scope` says what the list covers.
    pub fn apply<P: Platform>(&self, driver: &Rc<Driver<P>>, list: &HostList, scope: ListScope) {
        let change = self.members.borrow_mut().apply_list(list, scope, driver.micros());
        self.carry_out(driver, change);
    }

    /// Brings them to what DNS names.
    pub fn apply_srv<P: Platform>(&self, driver: &Rc<Driver<P>>, addresses: &[Address]) {
        let change = self.members.borrow_mut().apply_dns(addresses, driver.micros());
        self.carry_out(driver, change);
    }

    /// Nobody listens at a worker's address.
    pub fn refused<P: Platform>(&self, driver: &Rc<Driver<P>>, worker: WorkerId) {
        let change = self.members.borrow_mut().connection_refused(worker, driver.micros());
        change.into_iter().for_each(|change| self.carry_out(driver, change));
    }

    /// Ends what has had its time; gives when there is more to do.
    pub fn lapse<P: Platform>(&self, driver: &Rc<Driver<P>>) -> Option<Micros> {
        let change = self.members.borrow_mut().expire(driver.micros());
        change.into_iter().for_each(|change| self.carry_out(driver, change));
        self.members.borrow().next_expiry()
    }

    fn carry_out<P: Platform>(&self, driver: &Rc<Driver<P>>, change: MembershipUpdate) {
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
        change.warnings.iter().for_each(|what| log_sparsely(&driver.platform, &self.odd, what));
        let workers: Vec<_> = change.workers.into_iter().map(|told| told.info).collect();
        driver.update_workers(WorkerList { scope: change.scope, workers });
    }
}

/// The discovery in use, and its successor until that has told its list.
pub struct Watcher<P: Platform> {
    driver: Rc<Driver<P>>,
    book: Rc<Book>,
    told: Box<dyn Fn()>,
    now: RefCell<Option<Followed<P::Task>>>,
    coming: RefCell<Option<Followed<P::Task>>>,
}

/// A discovery that is being followed; no longer once this is dropped.
struct Followed<T: Task> {
    at: SocketAddr,
    task: T,
}

impl<T: Task> Drop for Followed<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<P: Platform> Watcher<P> {
    /// Follows the list at `at` from version `rev` on; calls `told` after each list or change.
    pub fn start(
        driver: Rc<Driver<P>>,
        book: Rc<Book>,
        at: SocketAddr,
        rev: u64,
        told: impl Fn() + 'static,
    ) -> Rc<Self> {
        let (now, coming) = (RefCell::default(), RefCell::default());
        let watcher = Rc::new(Watcher { driver, book, told: Box::new(told), now, coming });
        *watcher.now.borrow_mut() = Some(watcher.follow(at, Some(rev)));
        watcher
    }

    /// Goes over to another discovery. The old one is followed until the new has told its list: with
    /// neither there would be no word of drains in between.
    pub fn go_to(self: &Rc<Self>, at: SocketAddr) {
        drop(self.coming.take());
        if self.now.borrow().as_ref().is_none_or(|now| now.at != at) {
            // Versions are each discovery's own: the new one is asked for all it has.
            *self.coming.borrow_mut() = Some(self.follow(at, None));
        }
    }

    fn follow(self: &Rc<Self>, at: SocketAddr, rev: Option<u64>) -> Followed<P::Task> {
        Followed { at, task: self.driver.platform.spawn(follow(self.clone(), at, rev)) }
    }

    fn told(&self, at: SocketAddr) {
        let arrived = self.coming.borrow().as_ref().is_some_and(|coming| coming.at == at);
        if arrived {
            drop(self.now.replace(self.coming.take()));
        }
        (self.told)();
    }

    fn apply(&self, list: &HostList, scope: ListScope) {
        self.book.apply(&self.driver, list, scope);
    }
}

/// Follows one discovery for ever.
async fn follow<P: Platform>(watcher: Rc<Watcher<P>>, at: SocketAddr, mut rev: Option<u64>) {
    let mut backoff = Backoff::new();
    loop {
        let before = rev;
        match watch(&watcher, at, &mut rev).await {
            Ok(()) => {}
            Err(what) => {
                log_sparsely(&watcher.driver.platform, &watcher.book.odd, format_args!("discovery: {what}"))
            }
        }
        if rev != before {
            backoff = Backoff::new();
        }
        backoff.wait(&watcher.driver.platform).await;
    }
}

/// Closes the connection with the watch on it, however that ends.
struct Closing<S: Stream>(Rc<TrackedConnection<S>>);

impl<S: Stream> Drop for Closing<S> {
    fn drop(&mut self) {
        self.0.close();
    }
}

type Sender = hyper::client::conn::http1::SendRequest<Empty<Bytes>>;

/// One watch, until it ends, falls silent or talks nonsense. A change that could not be read is asked for
/// again: the next watch starts after the last version that was taken in.
async fn watch<P: Platform>(
    watcher: &Watcher<P>,
    at: SocketAddr,
    rev: &mut Option<u64>,
) -> Result<(), String> {
    let platform = &watcher.driver.platform;
    let stream = platform.timeout(CONNECT, platform.connect(at)).await;
    let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
    let place = ConnectionSlot::take(&Rc::default(), 1).ok_or("no place")?;
    let closing = Closing(TrackedConnection::new(stream, place));
    let (mut sender, conn) =
        hyper::client::conn::http1::handshake(TokioIo::new(TrackedIo(closing.0.clone())))
            .await
            .map_err(|e| e.to_string())?;
    closing.0.set_driver(platform.spawn(async move { drop(conn.await) }));
    let from = match *rev {
        Some(from) => from,
        None => {
            let from = read_whole(watcher, &mut sender).await?;
            *rev = Some(from);
            watcher.told(at);
            sender.ready().await.map_err(|e| e.to_string())?;
            from
        }
    };
    read_watch(watcher, at, &mut sender, from, rev).await
}

async fn ask(
    platform: &impl Platform,
    sender: &mut Sender,
    path: &str,
) -> Result<Response<Incoming>, String> {
    let request =
        Request::get(path).header(HOST, "discovery").body(Empty::new()).map_err(|e| e.to_string())?;
    let answer = platform.timeout(SILENT, sender.send_request(request)).await;
    let answer = answer.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(answer),
        other => Err(format!("answered {other}")),
    }
}

/// Takes in the whole list; gives its version.
async fn read_whole<P: Platform>(watcher: &Watcher<P>, sender: &mut Sender) -> Result<u64, String> {
    let platform = &watcher.driver.platform;
    let answer = ask(platform, sender, "/discovery/hosts").await?;
    let body = platform.timeout(SILENT, Limited::new(answer.into_body(), LINE_MAX).collect()).await;
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
    let mut answer = ask(platform, sender, &format!("/discovery/hosts?stream=1&index={from}")).await?;
    let mut buffer = BytesMut::new();
    loop {
        let frame = platform.timeout(SILENT, answer.frame()).await.map_err(|_| "the watch fell silent")?;
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
            watcher.told(at);
        }
        if buffer.len() > LINE_MAX {
            return Err("a line has no end".into());
        }
    }
}
