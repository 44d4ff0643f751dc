//! The admin server: one request per connection for operators, kept connections for other gateways.

use crate::fleet::SITES;
use crate::peer_connections;
use crate::server::Server;
use crate::srv::Follower;
use crate::subsystems::GatewaySubsystems;
use bytes::Bytes;
use hingestage_counter_aggregation::message::MAX_MESSAGE_BYTES;
use hingestage_dataplane::driver::Driver;
use hingestage_dataplane::log_sparsely;
use hingestage_fleet::gossip::{GATEWAYS_MAX, MESSAGE_BYTES_MAX};
use hingestage_lifecycle::LifecycleEvent;
use hingestage_platform::{Listener, Platform};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time from accepting a connection to the end of its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls; beyond it the oldest is ended. They use reserved descriptors.
const CALLS_MAX: usize = 12;
/// Maximum number of kept connections from other gateways, two from each; beyond it the oldest is ended.
const PEER_CONNECTIONS_MAX: usize = 2 * GATEWAYS_MAX as usize;
/// Buffer for the head of a request, bytes.
const HEAD_MAX: usize = 8 * 1024;
/// Pause after a failed accept, such as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Timeout for answering the last calls at the end of the process.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_millis(100);

/// A call that has been read; it is answered, or its caller is gone, on drop.
struct UnansweredCall<'a, P: Platform>(&'a Admin<P>);

impl<'a, P: Platform> UnansweredCall<'a, P> {
    fn new(admin: &'a Admin<P>) -> Self {
        admin.unanswered.set(admin.unanswered.get() + 1);
        UnansweredCall(admin)
    }
}

impl<P: Platform> Drop for UnansweredCall<'_, P> {
    fn drop(&mut self) {
        self.0.unanswered.set(self.0.unanswered.get() - 1);
        self.0.answered.notify_waiters();
    }
}

/// The admin server of a gateway.
pub struct Admin<P: Platform> {
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    subsystems: Rc<GatewaySubsystems<P>>,
    /// Running calls by number, each with the signal that ends it.
    calls: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Kept connections of other gateways, likewise.
    peers: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next: Cell<u64>,
    /// Calls that have been read and not answered.
    unanswered: Cell<usize>,
    /// Notified when a call has been answered.
    answered: Notify,
    accept_errors: Cell<u64>,
    /// The SRV follower, if a name is followed.
    follower: RefCell<Option<Rc<Follower<P>>>>,
}

impl<P: Platform> Admin<P> {
    /// Creates a server without calls.
    pub fn new(
        driver: Rc<Driver<P>>,
        server: Rc<Server<P>>,
        subsystems: Rc<GatewaySubsystems<P>>,
    ) -> Rc<Self> {
        let (calls, peers, follower) = (RefCell::default(), RefCell::default(), RefCell::default());
        Rc::new(Admin {
            driver,
            server,
            subsystems,
            calls,
            peers,
            next: Cell::new(0),
            unanswered: Cell::new(0),
            answered: Notify::new(),
            accept_errors: Cell::new(0),
            follower,
        })
    }

    /// Adds the SRV follower to what is shown.
    pub fn set_follower(&self, follower: Rc<Follower<P>>) {
        *self.follower.borrow_mut() = Some(follower);
    }

    /// Waits a short time for the answers to the calls that have been read.
    pub async fn finish_calls(&self) {
        let answered = async {
            loop {
                let answered = self.answered.notified();
                if self.unanswered.get() == 0 {
                    return;
                }
                answered.await;
            }
        };
        let _ = self.driver.platform.timeout(LAST_CALLS_TIMEOUT, answered).await;
    }

    /// Accepts connections forever.
    pub async fn serve(self: Rc<Self>, listener: P::Listener) {
        let platform = self.driver.platform.clone();
        loop {
            match listener.accept().await {
                Ok(stream) => self.admit(stream),
                Err(e) => {
                    log_sparsely(&platform, &self.accept_errors, format_args!("admin: accept: {e}"));
                    platform.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: P::Stream) {
        self.next.set(self.next.get() + 1);
        let (number, end) = (self.next.get(), Rc::new(Notify::new()));
        // Silent callers must not keep others out.
        admit_to(&self.calls, CALLS_MAX, number, &end);
        let admin = self.clone();
        self.driver.platform.spawn(async move {
            // Extended while another gateway uses the connection.
            let deadline = Cell::new(admin.driver.platform.now() + CALL_TIMEOUT);
            tokio::select! {
                biased;
                () = end.notified() => {}
                () = admin.wait_until(&deadline) => {}
                () = admin.handle_connection(stream, &deadline, (number, &end)) => {}
            }
            admin.calls.borrow_mut().remove(&number);
            admin.peers.borrow_mut().remove(&number);
        });
    }

    /// Waits for a deadline that may be extended meanwhile.
    async fn wait_until(&self, deadline: &Cell<Instant>) {
        let platform = &self.driver.platform;
        while platform.now() < deadline.get() {
            platform.sleep_until(deadline.get()).await;
        }
    }

    async fn handle_connection(
        self: &Rc<Self>,
        stream: P::Stream,
        deadline: &Cell<Instant>,
        call: (u64, &Rc<Notify>),
    ) {
        let service = service_fn(|request: Request<Incoming>| async move {
            let post = request.method() == Method::POST;
            let _unanswered = UnansweredCall::new(self);
            let answer = match request.uri().path() {
                "/turns" if post => {
                    self.keep_open(deadline, call);
                    self.count_for_peer(request).await
                }
                "/fleet" if post => close_after(self.gossip(request).await),
                _ => close_after(self.answer(&request)),
            };
            Ok::<_, Infallible>(answer)
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .serve_connection(TokioIo::new(stream), service);
        let _ = conn.await;
    }

    /// Moves a connection of another gateway out of the limit on calls, and keeps it open until it is idle for long.
    fn keep_open(&self, deadline: &Cell<Instant>, (number, end): (u64, &Rc<Notify>)) {
        deadline.set(self.driver.platform.now() + 2 * peer_connections::IDLE_TIMEOUT);
        if self.calls.borrow_mut().remove(&number).is_some() {
            admit_to(&self.peers, PEER_CONNECTIONS_MAX, number, end);
        }
    }

    /// `POST /turns`: counts for another gateway under names that this one owns.
    async fn count_for_peer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(turns) = self.subsystems.turns.get() else {
            return text(StatusCode::NOT_FOUND, "no turns are taken here");
        };
        let Ok(message) = body(request, MAX_MESSAGE_BYTES).await else {
            return text(StatusCode::BAD_REQUEST, "no word");
        };
        match turns.answer(&message).await {
            Ok(answer) => text(StatusCode::OK, answer),
            Err(what) => text(StatusCode::BAD_REQUEST, what),
        }
    }

    /// `POST /fleet`: a gossip message of another gateway.
    async fn gossip(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(fleet) = self.subsystems.fleet.get() else { return no_fleet() };
        let site_report = request.headers().get(SITES).cloned();
        let message = body(request, MESSAGE_BYTES_MAX).await;
        let Ok(message) = message else { return text(StatusCode::BAD_REQUEST, "no message") };
        match fleet.answer(&message, site_report.as_ref()) {
            Ok(answer) => {
                let mut answer = text(StatusCode::OK, answer);
                let own = fleet.site_report().and_then(|own| HeaderValue::from_str(&own).ok());
                own.into_iter().for_each(|own| drop(answer.headers_mut().insert(SITES, own)));
                answer
            }
            Err(what) => text(StatusCode::BAD_REQUEST, what),
        }
    }

    fn answer<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
        let post = request.method() == Method::POST;
        match request.uri().path() {
            "/ready" | "/metrics" if ![Method::GET, Method::HEAD].contains(request.method()) => {
                wrong_method("GET")
            }
            "/drain" | "/undrain" if !post => wrong_method("POST"),
            "/ready" if self.server.wants_clients() => text(StatusCode::OK, "ready"),
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            "/metrics" => {
                let srv = self.follower.borrow().as_ref().map(|follower| follower.figures());
                let mut answer = text(StatusCode::OK, self.driver.metrics_json(srv));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            path if path.starts_with("/srv") => self.answer_srv(path, post),
            "/fleet" => {
                let (fleet, turns) = (self.subsystems.fleet.get(), self.subsystems.turns.get());
                let turns = turns.map_or_else(String::new, |turns| turns.explain());
                fleet.map_or_else(no_fleet, |fleet| text(StatusCode::OK, fleet.explain() + &turns))
            }
            "/policy" => {
                let policy = self.subsystems.policy.get();
                let none = || text(StatusCode::NOT_FOUND, "the configuration's policy is gone by");
                policy.map_or_else(none, |policy| text(StatusCode::OK, policy.explain()))
            }
            "/sites" => {
                let sites = self.subsystems.sites.get();
                text(
                    StatusCode::OK,
                    sites.map_or_else(String::new, |sites| sites.explain(self.driver.micros())),
                )
            }
            path if path.starts_with("/sites/") && !post => wrong_method("POST"),
            path if path.starts_with("/sites/") => self.declare(path),
            "/drain" => self.apply(LifecycleEvent::Drain, "draining"),
            "/undrain" => self.apply(LifecycleEvent::Undrain, "serving"),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// `GET /srv`, `POST /srv/refresh` and `POST /srv/accept`.
    fn answer_srv(&self, path: &str, post: bool) -> Response<Full<Bytes>> {
        let follower = self.follower.borrow();
        match (path, follower.as_ref()) {
            ("/srv" | "/srv/refresh" | "/srv/accept", None) => {
                text(StatusCode::NOT_FOUND, "no name is followed")
            }
            ("/srv", Some(_)) if post => wrong_method("GET"),
            ("/srv", Some(follower)) => text(StatusCode::OK, follower.explain()),
            ("/srv/refresh" | "/srv/accept", Some(_)) if !post => wrong_method("POST"),
            ("/srv/refresh" | "/srv/accept", Some(follower)) => {
                self.driver.platform.log(format_args!("admin request: {path}"));
                follower.ask_now(path == "/srv/accept");
                text(StatusCode::OK, "asked")
            }
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// `POST /sites/SITE/lost`, `well`, `hold` or `nothing`.
    fn declare(&self, path: &str) -> Response<Full<Bytes>> {
        let mut parts = path.trim_start_matches("/sites/").split('/');
        let (Some(site), Some(what), None) = (parts.next(), parts.next(), parts.next()) else {
            return text(StatusCode::NOT_FOUND, "no such call");
        };
        let Some(sites) = self.subsystems.sites.get() else {
            return text(StatusCode::NOT_FOUND, "no such call");
        };
        match sites.declare(site, what) {
            Ok(()) => {
                self.driver.platform.log(format_args!("admin request: site `{site}`: {what}"));
                text(StatusCode::OK, "declared")
            }
            Err(why) => text(StatusCode::BAD_REQUEST, why),
        }
    }

    fn apply(&self, what: LifecycleEvent, state: &'static str) -> Response<Full<Bytes>> {
        self.driver.platform.log(format_args!("admin request: {state}"));
        self.server.apply(what);
        text(StatusCode::OK, state)
    }
}

/// Registers a call; at the limit the oldest one is ended.
fn admit_to(calls: &RefCell<BTreeMap<u64, Rc<Notify>>>, limit: usize, number: u64, end: &Rc<Notify>) {
    let mut calls = calls.borrow_mut();
    if calls.len() >= limit {
        calls.pop_first().into_iter().for_each(|(_, oldest)| oldest.notify_one());
    }
    calls.insert(number, end.clone());
}

/// Reads a body of up to `limit` bytes as text.
async fn body(request: Request<Incoming>, limit: usize) -> Result<String, ()> {
    let body = Limited::new(request.into_body(), limit).collect().await.map_err(|_| ())?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

/// Closes the connection after this response.
fn close_after(mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn text(status: StatusCode, what: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(what.into()));
    *answer.status_mut() = status;
    answer
}

fn no_fleet() -> Response<Full<Bytes>> {
    text(StatusCode::NOT_FOUND, "nothing is said of a fleet")
}

fn wrong_method(method: &'static str) -> Response<Full<Bytes>> {
    let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "another method");
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}
