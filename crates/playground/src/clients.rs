//! Clients: they ask where to go, send requests, and try again as they are allowed to.

use crate::http::{call, CallError, Connection, Reply};
use crate::layout::{Layout, Place};
use crate::operator::{CATALOG_PREFIX, HOST_NAME, LASTING_KEYS, ORDERS_PREFIX};
use crate::tally::{Outcome, Tally};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a client waits for one request, all tries together.
const PATIENCE: Duration = Duration::from_secs(4);
/// How long one try may take.
pub const TRY_WITHIN: Duration = Duration::from_millis(2_000);
/// How long a registry may take to answer where to go.
const LOOKUP_WITHIN: Duration = Duration::from_secs(1);
/// How long a client holds an answer about where to go.
const HOLD: Duration = Duration::from_secs(1);
/// How long a client avoids a proxy that failed it.
const AVOID: Duration = Duration::from_secs(1);
/// Pause before a further try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Requests on one connection at the most.
const REQUESTS_PER_CONNECTION: u32 = 25;
/// A request in so many changes things.
const MUTATING_EVERY: u64 = 4;
/// Identifies a try.
const ATTEMPT_ID: &str = "X-Hingestage-Attempt-Id";
/// Milliseconds that the client will wait.
const DEADLINE: &str = "X-Hingestage-Deadline-Ms";
/// A worker's seal on an answer.
const SEAL: &str = "x-hingestage-server-seal";
/// A client's key.
const API_KEY: &str = "Api-Key";

/// The answer about where to go.
#[derive(Deserialize)]
struct Addresses {
    addrs: Vec<SocketAddr>,
}

/// A request as clients send it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Whether it changes things, and must not run twice.
    pub mutating: bool,
    /// The path.
    pub path: String,
    /// The tenant's key, where the route asks for one.
    pub key: Option<&'static str>,
}

impl Ask {
    /// Its message, under the id of one try.
    pub fn request(&self, attempt: &str) -> Request<Full<Bytes>> {
        let method = if self.mutating { Method::POST } else { Method::GET };
        let body = if self.mutating { Bytes::from_static(b"one of these, please") } else { Bytes::new() };
        let mut request = Request::builder()
            .method(method)
            .uri(&self.path)
            .header(HOST, HOST_NAME)
            .header(ATTEMPT_ID, attempt)
            .header(DEADLINE, TRY_WITHIN.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header(API_KEY, key);
        }
        request.body(Full::new(body)).expect("every part of a request of these clients is valid")
    }

    /// Sends it to one proxy, once, on a connection of its own.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn send_to(&self, proxy: SocketAddr) -> Result<Reply, CallError> {
        Connection::open(proxy).await?.send(self.request(&attempt_id()), TRY_WITHIN).await
    }
}

/// An id that no other try has.
pub fn attempt_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Whether an answer is a worker's, and whole.
pub fn is_served(reply: &Reply) -> bool {
    reply.status.is_success() && reply.headers.contains_key(SEAL)
}

/// The worker that made an answer.
fn worker_of(reply: &Reply) -> &str {
    let seal = reply.headers.get(SEAL).and_then(|seal| seal.to_str().ok()).unwrap_or_default();
    seal.split('.').next().unwrap_or_default()
}

/// Whether an answer promises that the request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// A client.
pub struct Client {
    place: Place,
    /// Registries, the near ones first.
    directories: Vec<SocketAddr>,
    tally: Rc<RefCell<Tally>>,
    stop: Rc<Cell<bool>>,
    known: Vec<SocketAddr>,
    known_since: Option<Instant>,
    avoided: Vec<(SocketAddr, Instant)>,
    connection: Option<Connection>,
    sent: u32,
    number: u64,
}

impl Client {
    /// One that has asked nothing. It goes on until `stop` is set.
    pub fn new(layout: &Layout, place: Place, tally: Rc<RefCell<Tally>>, stop: Rc<Cell<bool>>) -> Client {
        let mut cores: Vec<_> = layout.cores.iter().collect();
        cores.sort_by_key(|core| core.place != place);
        Client {
            place,
            directories: cores.into_iter().map(|core| core.directory()).collect(),
            tally,
            stop,
            known: Vec::new(),
            known_since: None,
            avoided: Vec::new(),
            connection: None,
            sent: 0,
            number: fastrand::u64(..MUTATING_EVERY),
        }
    }

    /// Sends requests at a steady pace until it is told to stop.
    pub async fn run(mut self, every: Duration) {
        let mut due = Instant::now() + every.mul_f64(fastrand::f64());
        while !self.stop.get() {
            sleep_until(due).await;
            due = (due + every).max(Instant::now());
            let ask = self.next_ask();
            self.ask(&ask).await;
        }
    }

    fn next_ask(&mut self) -> Ask {
        self.number += 1;
        let mutating = self.number.is_multiple_of(MUTATING_EVERY);
        let prefix = if mutating { ORDERS_PREFIX } else { CATALOG_PREFIX };
        let key = LASTING_KEYS[fastrand::usize(..LASTING_KEYS.len())];
        Ask { mutating, path: format!("{prefix}{}", self.number % 1_000), key: Some(key) }
    }

    /// Sends a request, again where that is allowed, and notes what came of it.
    pub async fn ask(&mut self, ask: &Ask) -> Outcome {
        let until = Instant::now() + PATIENCE;
        let outcome = loop {
            match self.try_once(ask).await {
                Some(outcome) => break outcome,
                None if Instant::now() >= until => break Outcome::Failed,
                None => sleep(RETRY_PAUSE).await,
            }
        };
        let mut tally = self.tally.borrow_mut();
        match outcome {
            Outcome::Served => tally.served += 1,
            Outcome::Failed => tally.failed += 1,
            // Noted where the connection broke.
            Outcome::Unknown => {}
        }
        outcome
    }

    /// One try; none where another is allowed.
    async fn try_once(&mut self, ask: &Ask) -> Option<Outcome> {
        self.look_up().await;
        self.connect().await;
        let mut connection = self.connection.take()?;
        let proxy = connection.addr();
        let begun = Instant::now();
        let answer = connection.send(ask.request(&attempt_id()), TRY_WITHIN).await;
        match answer {
            Ok(reply) if is_served(&reply) => {
                let mut tally = self.tally.borrow_mut();
                let tally = tally.proxies.entry(proxy).or_default();
                tally.note_served(begun.elapsed(), worker_of(&reply));
                self.connection = Some(connection);
                Some(Outcome::Served)
            }
            Ok(reply) if promises_not_run(reply.status) => {
                self.note_refused(proxy);
                let wait = reply.headers.get(RETRY_AFTER).and_then(|wait| wait.to_str().ok()?.parse().ok());
                let wait = wait.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
                sleep(wait.unwrap_or_default().min(PATIENCE / 3)).await;
                None
            }
            Ok(reply) => {
                self.note_failed(proxy, format!("{proxy}: {} for {}", reply.status, ask.path));
                // What comes back as an error of the client's own is not tried again.
                let final_status = reply.status.is_client_error();
                (ask.mutating || final_status).then_some(Outcome::Failed)
            }
            Err(CallError::NotSent) => None,
            Err(error) => {
                self.note_failed(proxy, format!("{proxy}: {error} for {}", ask.path));
                self.avoided.push((proxy, Instant::now() + AVOID));
                if ask.mutating {
                    *self.tally.borrow_mut().unknown.entry(proxy).or_default() += 1;
                }
                ask.mutating.then_some(Outcome::Unknown)
            }
        }
    }

    fn note_refused(&self, proxy: SocketAddr) {
        self.tally.borrow_mut().proxies.entry(proxy).or_default().refused += 1;
    }

    fn note_failed(&self, proxy: SocketAddr, what: String) {
        let mut tally = self.tally.borrow_mut();
        tally.proxies.entry(proxy).or_default().failed += 1;
        tally.last_failure = Some(what);
    }

    /// Asks registries where to go, where the last answer is too old. An old one holds where none answers.
    async fn look_up(&mut self) {
        if self.known_since.is_some_and(|since| since.elapsed() < HOLD) {
            return;
        }
        let Place { zone, region } = self.place;
        let path = format!("/lookup?name={HOST_NAME}&region={region}&zone={zone}");
        for directory in &self.directories {
            let reply = call(*directory, Method::GET, &path, Bytes::new(), LOOKUP_WITHIN).await;
            let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK);
            let answer = reply.and_then(|reply| serde_json::from_slice::<Addresses>(&reply.body).ok());
            if let Some(answer) = answer.filter(|answer| !answer.addrs.is_empty()) {
                self.known = answer.addrs;
                self.known_since = Some(Instant::now());
                return;
            }
        }
    }

    /// Sees to a connection to a proxy that is known and did not fail lately.
    async fn connect(&mut self) {
        let now = Instant::now();
        self.avoided.retain(|(_, until)| *until > now);
        let held = self.connection.take();
        let usable = |connection: &Connection| {
            connection.is_open()
                && self.sent < REQUESTS_PER_CONNECTION
                && self.known.contains(&connection.addr())
        };
        if let Some(connection) = held.filter(usable) {
            self.connection = Some(connection);
            self.sent += 1;
            return;
        }
        let avoided = |addr: &SocketAddr| self.avoided.iter().any(|(avoided, _)| avoided == addr);
        let choices: Vec<SocketAddr> = self.known.iter().copied().filter(|addr| !avoided(addr)).collect();
        let choices = if choices.is_empty() { self.known.clone() } else { choices };
        let Some(chosen) = fastrand::choice(choices) else { return };
        self.sent = 1;
        match Connection::open(chosen).await {
            Ok(connection) => self.connection = Some(connection),
            Err(_) => self.avoided.push((chosen, now + AVOID)),
        }
    }
}
