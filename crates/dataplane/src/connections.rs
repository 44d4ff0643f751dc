//! Clients' connections and their number. What answers the requests on them is a parameter.

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

/// How long a connection on which a request is awaited or has begun to come may be quiet before it makes room for
/// others. One that is slow but goes on stays.
const SAY_SOMETHING: Duration = Duration::from_millis(250);
/// How long a connection may take to end by itself once it has been told to.
const LINGER: Duration = Duration::from_millis(100);
/// How long all places may be taken by requests before the next client is closed on rather than left waiting.
const FULL_TIME: Duration = Duration::from_secs(2);
/// Pause where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What answers the requests on clients' connections.
pub trait Answers: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static;

    /// Answers a request. While one is under way it sets [`Client::busy`], and [`Client::flows`] where its answer
    /// goes on after this returns; the end of such an answer is told by [`Client::answered`]. Dropped early it says
    /// that the client has left.
    fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Whether a connection is kept after an answer.
    fn keeps_connections(&self) -> bool;
}

/// The bounds of clients' connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Most connections.
    pub clients_max: usize,
    /// Most connections between two requests. Past that answers say that the connection ends: a crowd that asks
    /// once and stays would leave no place to those who come next.
    pub idle_max: usize,
    /// How long a client may take over what.
    pub times: ClientTimes,
    /// The largest head of a request, bytes. The HTTP library takes no less than 8 KiB.
    pub largest_head: usize,
}

/// How connections end once the process is told to stop.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// Until when connections are taken in.
    pub accepts_until: Instant,
    /// Whether connections between two requests are closed although their clients were not told.
    pub closes_idle: bool,
    /// Nothing is waited for after this.
    pub until: Instant,
}

/// The connections of clients.
pub struct Connections<P: Platform, A: Answers> {
    platform: P,
    answers: Rc<A>,
    settings: ConnectionSettings,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Told each time a client has been answered or has left.
    left: Rc<Notify>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl<P: Platform, A: Answers> Connections<P, A> {
    /// None yet.
    pub fn new(platform: P, answers: Rc<A>, settings: ConnectionSettings) -> Rc<Self> {
        Rc::new(Connections {
            platform,
            answers,
            settings,
            clients: RefCell::default(),
            left: Rc::default(),
            next: Cell::new(0),
            odd: Cell::new(0),
        })
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.clients.borrow().len()
    }

    fn full(&self) -> bool {
        self.open() >= self.settings.clients_max
    }

    /// Takes connections in for ever. At the limit one that idles makes room, or the next waits in line, but
    /// not for long: it may be one that is owed an end soon.
    pub async fn accept(self: &Rc<Self>, listener: &P::Listener) {
        loop {
            self.make_room().await;
            match listener.accept().await {
                Ok(_) if self.full() => {
                    note(&self.platform, &self.odd, "all places taken by requests: a connection closed")
                }
                Ok(stream) => self.admit(stream),
                // Out of descriptors, or the client has gone already: neither may end the gateway.
                Err(e) => {
                    note(&self.platform, &self.odd, format_args!("accept: {e}"));
                    self.close_an_idle_one();
                    self.platform.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn make_room(&self) {
        let until = self.platform.now() + FULL_TIME;
        while self.full() && self.platform.now() < until {
            let left = self.left.notified();
            self.close_an_idle_one();
            // Looked at anew before long: one that says nothing may have become old enough to go.
            let _ = self.platform.timeout(LINGER, left).await;
        }
    }

    /// Ends connections on which a long answer stands still.
    pub fn close_stuck(&self) {
        let now = self.platform.now();
        self.clients.borrow().values().filter(|client| client.stuck(now)).for_each(|client| client.end(true));
    }

    /// Stops as the deployment expects it, once told to: connections still come for a while and are taken in;
    /// all that was taken is answered; those between requests are closed at once, while there is still someone
    /// to take in a request that crosses the closing. A successor takes new ones, and then those between
    /// requests end with their next answer, or by themselves as always (`idle_timeout`).
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
            let left = self.left.notified();
            let _ = self.platform.timeout_at(stopping.until, left).await;
        }
    }

    fn close_idle(&self, which: impl Fn(&Client) -> bool) {
        let clients = self.clients.borrow();
        clients.values().filter(|c| c.idles() && which(c)).for_each(|c| c.end(false));
    }

    /// Closes the connection that is least worth keeping. Those come first that owe the rest of a request and have
    /// sent nothing in a while: hundreds of silent ones must not push out clients that come back. One that has just
    /// connected stays, its request may be on the way; so does one that writes slowly, but goes on.
    fn close_an_idle_one(&self) {
        let clients = self.clients.borrow();
        let silent = |c: &Client| self.platform.since(c.quiet_since()) > SAY_SOMETHING;
        let idle = clients.values().filter(|c| c.idles() && (c.waits() || silent(c)));
        if let Some(least) = idle.min_by_key(|c| (c.waits(), c.quiet_since())) {
            least.end(true);
        }
    }

    fn idle_ones(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.was_served() && !c.busy.get()).count()
    }

    fn next_number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn admit(self: &Rc<Self>, stream: P::Stream) {
        let (connections, number) = (self.clone(), self.next_number());
        let ConnectionSettings { times, largest_head, .. } = self.settings;
        let client = Client::new(self.platform.now(), times, largest_head, self.left.clone());
        self.clients.borrow_mut().insert(number, client.clone());
        self.platform.spawn(async move {
            connections.serve(stream, &client).await;
            connections.clients.borrow_mut().remove(&number);
            connections.left.notify_one();
        });
    }

    async fn answer(&self, request: Request<Incoming>, client: &Rc<Client>) -> Response<A::Body> {
        let mut answer = self.answers.answer(request, client).await;
        if !self.answers.keeps_connections() || self.idle_ones() >= self.settings.idle_max {
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
            let looked_at = now + self.settings.times.shortest();
            let due = client.overdue_at().unwrap_or(looked_at);
            if due <= now {
                return;
            }
            // A client that misbehaves or leaves ends its own connection and nothing else.
            tokio::select! {
                biased;
                ended = conn.as_mut() => return drop(ended),
                () = client.close.notified() => break,
                // What it is at may change, and with it the time that it has.
                () = self.platform.sleep_until(due.min(looked_at)) => {}
            }
        }
        conn.as_mut().graceful_shutdown();
        // Half a head, or an answer that nobody reads, would hold its place for as long as it pleases.
        let linger = if client.drop.get() { Duration::ZERO } else { LINGER };
        let stuck = client.flows.get() && client.drop.get();
        if self.platform.timeout(linger, conn.as_mut()).await.is_err() && !client.idles() && !stuck {
            let _ = conn.await;
        }
    }
}
