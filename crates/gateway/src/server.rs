//! The clients' side: connections and their number, requests read and checked, answers written.

use crate::config::Config;
use crate::driver::{Answer, Driver, Taken};
use crate::workers::Parts;
use crate::{decimal, note, BODY_MAX};
use bytes::Bytes;
use hingestage_platform::{Listener, Platform};
use hingestage_policy::settings::Names;
use hingestage_policy::{ClassId, CustomerId, Effect, PlanId};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, COOKIE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a client may take over a request's head, or be silent between two requests. Less than the 3 s in
/// which one that never asks properly is owed an end.
const HEAD_TIME: Duration = Duration::from_millis(2_200);
/// How long a client may take over a body.
const BODY_TIME: Duration = Duration::from_millis(2_500);
/// How long a client may leave its answer unread: longer than `HEAD_TIME`, which ends those that merely idle.
const UNREAD_TIME: Duration = Duration::from_secs(4);
/// Age at which a connection that has asked nothing makes room for others first.
const SAY_SOMETHING: Duration = Duration::from_millis(250);
/// How long a connection may take to end by itself once it has been told to.
const LINGER: Duration = Duration::from_millis(100);
/// Part of the descriptors that connections may hold between two requests. Past that answers say that the
/// connection ends: a crowd that asks once and stays would leave no place to those who come next.
const IDLE_SHARE: usize = 8;
/// How long all places may be taken by requests before the next client is closed on rather than left waiting.
const FULL_TIME: Duration = Duration::from_secs(2);
/// The largest head of a request, bytes.
const HEAD_MAX: usize = 16 * 1024;
/// How long new connections are taken in after the call to stop.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
/// Multiple of the longest deadline past which a client's patience counts for nothing: the records of its
/// requests would otherwise be kept for as long as it pleases.
const PATIENCE_MAX: u32 = 4;
/// Pause where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One client's connection, as far as closing it between requests goes.
struct Client {
    /// Whether a request of it has been read whole and not been answered.
    busy: Cell<bool>,
    served: Cell<bool>,
    /// When it connected or was last answered.
    since: Cell<Instant>,
    /// Whether it is to end at once, not by itself.
    drop: Cell<bool>,
    close: Notify,
}

impl Client {
    fn new(now: Instant) -> Rc<Client> {
        let (busy, served, drop) = (Cell::new(false), Cell::new(false), Cell::new(false));
        Rc::new(Client { busy, served, since: Cell::new(now), drop, close: Notify::new() })
    }

    fn end(&self, at_once: bool) {
        self.drop.set(at_once);
        self.close.notify_one();
    }
}

/// The clients' side.
pub struct Server<P: Platform> {
    platform: P,
    driver: Rc<Driver<P>>,
    names: Names,
    effects: Vec<Effect>,
    instances: u32,
    most_units: f64,
    patience_max: Duration,
    clients_max: usize,
    idle_max: usize,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    left: Notify,
    turns: Cell<u64>,
    ready: Cell<bool>,
    stopping: Cell<bool>,
    odd: Cell<u64>,
}

impl<P: Platform> Server<P> {
    /// A server without clients, not ready yet.
    pub fn new(driver: Rc<Driver<P>>, config: &Config) -> Rc<Self> {
        Rc::new(Server {
            platform: driver.platform.clone(),
            driver,
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            instances: config.settings.instances.max(1),
            most_units: config.settings.most_units,
            patience_max: config.longest_deadline() * PATIENCE_MAX,
            clients_max: config.clients_max,
            idle_max: config.sockets / IDLE_SHARE,
            clients: RefCell::default(),
            left: Notify::new(),
            turns: Cell::new(0),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            odd: Cell::new(0),
        })
    }

    /// Says from now on that requests can be served.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Takes connections in for ever. At the limit one that idles makes room, or the next waits in line, but
    /// not for long: it may be one that is owed an end soon.
    pub async fn accept(self: &Rc<Self>, listener: &P::Listener) {
        loop {
            let until = self.platform.now() + FULL_TIME;
            while self.clients.borrow().len() >= self.clients_max && self.platform.now() < until {
                let left = self.left.notified();
                self.close_an_idle_one();
                // Looked at anew before long: one that says nothing may have become old enough to go.
                let _ = self.platform.timeout(LINGER, left).await;
            }
            match listener.accept().await {
                Ok(_) if self.clients.borrow().len() >= self.clients_max => {
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

    /// Ends connections whose clients do not read what they asked for.
    pub fn close_stuck(&self) {
        let clients = self.clients.borrow();
        let stuck =
            clients.values().filter(|c| !c.busy.get() && self.platform.since(c.since.get()) > UNREAD_TIME);
        stuck.for_each(|client| client.end(true));
    }

    /// Stops as the deployment expects it: connections still come for a while and are taken in; all that was
    /// taken is answered; those between requests are closed at once, while there is still someone to take in
    /// a request that crosses the closing.
    pub async fn stop(self: &Rc<Self>, listener: P::Listener, longest: Duration) {
        self.stopping.set(true);
        let until = self.platform.now() + longest;
        self.close_idle(|client| client.served.get());
        let _ = self.platform.timeout(STILL_ACCEPT, self.accept(&listener)).await;
        drop(listener);
        self.close_idle(|_| true);
        while !self.clients.borrow().is_empty() && self.platform.now() < until {
            let left = self.left.notified();
            let _ = self.platform.timeout_at(until, left).await;
        }
    }

    fn close_idle(&self, which: impl Fn(&Client) -> bool) {
        let clients = self.clients.borrow();
        clients.values().filter(|c| !c.busy.get() && which(c)).for_each(|c| c.end(false));
    }

    /// Closes the connection that is least worth keeping. Those come first that have asked nothing in a while:
    /// hundreds of silent ones must not push out clients that come back. One that has just connected stays:
    /// its request may be on the way.
    fn close_an_idle_one(&self) {
        let clients = self.clients.borrow();
        let silent = |c: &Client| !c.served.get() && self.platform.since(c.since.get()) > SAY_SOMETHING;
        let idle = clients.values().filter(|c| !c.busy.get() && (c.served.get() || silent(c)));
        if let Some(least) = idle.min_by_key(|c| (c.served.get(), c.since.get())) {
            least.end(true);
        }
    }

    fn idle_ones(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.served.get() && !c.busy.get()).count()
    }

    fn turn(&self) -> u64 {
        self.turns.set(self.turns.get() + 1);
        self.turns.get()
    }

    fn admit(self: &Rc<Self>, stream: P::Stream) {
        let (server, number, client) = (self.clone(), self.turn(), Client::new(self.platform.now()));
        self.clients.borrow_mut().insert(number, client.clone());
        self.platform.spawn(async move {
            server.serve(stream, &client).await;
            server.clients.borrow_mut().remove(&number);
            server.left.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, stream: P::Stream, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let mut answer = server.answer(request, &client).await;
                if server.stopping.get() || server.idle_ones() >= server.idle_max {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                client.busy.set(false);
                client.served.set(true);
                client.since.set(server.platform.now());
                // At the limit `accept` may have found none that idles: now there is one.
                server.left.notify_one();
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .timer(self.platform.timer())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MAX)
            .serve_connection(TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        // A client that misbehaves or leaves ends its own connection and nothing else.
        tokio::select! {
            biased;
            ended = conn.as_mut() => return drop(ended),
            () = client.close.notified() => conn.as_mut().graceful_shutdown(),
        }
        // Half a head, or an answer that nobody reads, would hold its place for as long as it pleases.
        let linger = if client.drop.get() { Duration::ZERO } else { LINGER };
        if self.platform.timeout(linger, conn.as_mut()).await.is_err() && client.busy.get() {
            let _ = conn.await;
        }
    }

    async fn answer(self: &Rc<Self>, request: Request<Incoming>, client: &Client) -> Response<Full<Bytes>> {
        if request.uri().path() == "/up" && request.method() == Method::GET {
            let up = self.ready.get() && !self.stopping.get();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        // The first request is owed its end by the time of the connection, not of its own head.
        let begun = if client.served.get() { self.platform.now() } else { client.since.get() };
        let taken = match self.read(request, begun + BODY_TIME).await {
            Ok(taken) => taken,
            Err(bad) => return refuse(bad),
        };
        client.busy.set(true);
        // The ticket ends with this call: dropped early it says that the client has left.
        let Some((_ticket, answer)) = self.driver.take(taken) else {
            return refuse((StatusCode::CONFLICT, "a request with this Request-Id is open"));
        };
        match answer.await {
            Ok(answer) => respond(answer),
            Err(_) => plain(StatusCode::BAD_GATEWAY, "no answer"),
        }
    }

    /// Reads a request whole. Nothing that is malformed goes any further.
    async fn read(&self, request: Request<Incoming>, until: Instant) -> Result<Taken, Bad> {
        let (head, body) = request.into_parts();
        // The library hides a `Content-Length` beside it, so that the two can't be told to agree: a second
        // request may be hidden in the body. Bodies are short, and clients know their length.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err((StatusCode::LENGTH_REQUIRED, "a body needs a Content-Length and nothing else"));
        }
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let class_name = header(&head.headers, "request-class")?;
        let class = place(&self.names.classes, class_name).ok_or(bad("unknown class"))?;
        let plan = place(&self.names.plans, header(&head.headers, "x-tier")?).ok_or(bad("unknown plan"))?;
        if head.uri.path().split('/').nth(1) != Some(class_name) {
            return Err(bad("path and class differ"));
        }
        let safe = self.effects.get(class) == Some(&Effect::Idempotent);
        if head.method != if safe { Method::GET } else { Method::POST } {
            return Err(bad("method and class differ"));
        }
        let customer = customer(&head.headers)?;
        let (units, gateways) = terms(header(&head.headers, "x-call-terms")?, self.instances)?;
        // One huge figure in a usual customer's name would box it for a window.
        if self.most_units > 0.0 && units > self.most_units {
            return Err(bad("more units than any request has"));
        }
        let patience = decimal(header(&head.headers, "request-timeout")?);
        let patience = patience.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let patience = patience.ok_or(bad("bad Request-Timeout"))?;
        header(&head.headers, "request-id")?;
        let id = head.headers.get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let body = if body.is_end_stream() { Bytes::new() } else { self.read_body(body, until).await? };
        if safe && !body.is_empty() {
            return Err(bad("a body where none belongs"));
        }
        Ok(Taken {
            customer,
            class: ClassId(class),
            plan: PlanId(plan),
            units,
            gateways,
            // The request's last byte has just been read.
            until: self.platform.now() + patience.min(self.patience_max),
            parts: Parts {
                method: head.method,
                uri: uri.ok_or(bad("bad path"))?,
                id,
                content_type: head.headers.get(CONTENT_TYPE).cloned(),
                body,
            },
        })
    }

    async fn read_body(&self, body: Incoming, until: Instant) -> Result<Bytes, Bad> {
        let read = self.platform.timeout_at(until, Limited::new(body, BODY_MAX).collect()).await;
        match read.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body takes too long"))? {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large")),
            Err(_) => Err(bad("bad framing")),
        }
    }
}

type Bad = (StatusCode, &'static str);

fn bad(what: &'static str) -> Bad {
    (StatusCode::BAD_REQUEST, what)
}

/// A header that must be there once, as text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next().and_then(|value| value.to_str().ok()), values.next()) {
        (Some(value), None) if !value.is_empty() => Ok(value),
        _ => Err(bad("a header is missing or bad")),
    }
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The customer: the cookie `client`, 16 hexadecimal digits below 2^33.
fn customer(headers: &HeaderMap) -> Result<CustomerId, Bad> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut clients =
        cookies.flat_map(|value| value.split(';')).filter_map(|c| c.trim().strip_prefix("client="));
    let (Some(client), None) = (clients.next(), clients.next()) else { return Err(bad("no client")) };
    let digits = client.len() == 16 && client.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(client, 16) {
        Ok(number) if digits && number < 1 << 33 => Ok(CustomerId(format!("{number:x}"))),
        _ => Err(bad("bad client")),
    }
}

/// Units and number of gateways, from `units=2,spread=3,first=1`. A term named twice is no term.
fn terms(text: &str, instances: u32) -> Result<(f64, u32), Bad> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for term in text.split(',') {
        let fresh = match term.trim().split_once('=') {
            Some(("units", value)) => units.replace(decimal(value)).is_none(),
            Some(("spread", value)) => spread.replace(whole(value, 1..=instances)).is_none(),
            Some(("first", value)) => first.replace(whole(value, 0..=instances - 1)).is_none(),
            other => other.is_some(),
        };
        if !fresh {
            return Err(bad("bad X-Call-Terms"));
        }
    }
    match (units.flatten(), spread.flatten(), first.is_none_or(|first| first.is_some())) {
        (Some(units), Some(spread), true) => Ok((units, spread)),
        _ => Err(bad("bad X-Call-Terms")),
    }
}

fn whole(text: &str, within: std::ops::RangeInclusive<u32>) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && within.contains(n))
}

fn refuse((status, what): Bad) -> Response<Full<Bytes>> {
    let mut answer = plain(status, what);
    // What is left of it on the connection can't be told from a next request.
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn plain(status: StatusCode, what: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(what.as_bytes())));
    *response.status_mut() = status;
    response
}

fn respond(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            if let Some(value) = served.content_type {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            response
        }
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless");
            let value = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e6));
            if let (Ok(value), true) = (value, wait > 0) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed { late: true } => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Answer::Failed { late: false } => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}
