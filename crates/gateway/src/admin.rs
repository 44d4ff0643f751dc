//! The operators' address: one call a connection, answered at once however busy the clients' side is.

use crate::fleet::SITES;
use crate::lane;
use crate::server::Server;
use crate::srv::Follower;
use crate::subsystems::GatewaySubsystems;
use bytes::Bytes;
use hingestage_dataplane::driver::Driver;
use hingestage_dataplane::log_sparsely;
use hingestage_fleet::table::{GATEWAYS_MAX, MESSAGE_MAX};
use hingestage_operate::LifecycleEvent;
use hingestage_platform::{Listener, Platform};
use hingestage_turns::message::MAX_MESSAGE_BYTES;
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

/// How long a caller may take from connecting to having read its answer.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Calls at once; past that the oldest makes room. They come out of the descriptors kept back.
const CALLS_MAX: usize = 12;
/// Connections on which other gateways tell what they count; past that the oldest makes room. Each other gateway keeps
/// two at the most, while words pass.
const LANES_MAX: usize = 2 * GATEWAYS_MAX as usize;
/// The largest head of a call, bytes.
const HEAD_MAX: usize = 8 * 1024;
/// Pause where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The operators' side.
pub struct Admin<P: Platform> {
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    subsystems: Rc<GatewaySubsystems<P>>,
    /// Calls that go on, by number, each with what ends it.
    calls: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Connections of other gateways that stay, in the same way.
    lanes: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next: Cell<u64>,
    odd: Cell<u64>,
    /// The name that is followed, where one is.
    follower: RefCell<Option<Rc<Follower<P>>>>,
}

impl<P: Platform> Admin<P> {
    /// Nobody calls yet.
    pub fn new(
        driver: Rc<Driver<P>>,
        server: Rc<Server<P>>,
        subsystems: Rc<GatewaySubsystems<P>>,
    ) -> Rc<Self> {
        let (next, odd) = (Cell::new(0), Cell::new(0));
        let (calls, lanes, follower) = (RefCell::default(), RefCell::default(), RefCell::default());
        Rc::new(Admin { driver, server, subsystems, calls, lanes, next, odd, follower })
    }

    /// Shows a name that is followed, too.
    pub fn show(&self, follower: Rc<Follower<P>>) {
        *self.follower.borrow_mut() = Some(follower);
    }

    /// Takes calls for ever.
    pub async fn serve(self: Rc<Self>, listener: P::Listener) {
        let platform = self.driver.platform.clone();
        loop {
            match listener.accept().await {
                Ok(stream) => self.admit(stream),
                Err(e) => {
                    log_sparsely(&platform, &self.odd, format_args!("admin: accept: {e}"));
                    platform.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: P::Stream) {
        self.next.set(self.next.get() + 1);
        let (number, end) = (self.next.get(), Rc::new(Notify::new()));
        // Callers that connect and say nothing must not keep out those who do.
        admit_to(&self.calls, CALLS_MAX, number, &end);
        let admin = self.clone();
        self.driver.platform.spawn(async move {
            // Until when the caller may go on; later where it is a gateway whose words pass.
            let until = Cell::new(admin.driver.platform.now() + CALL_TIME);
            tokio::select! {
                biased;
                () = end.notified() => {}
                () = admin.past(&until) => {}
                // A caller that misbehaves or leaves ends its own call and nothing else.
                () = admin.call(stream, &until, (number, &end)) => {}
            }
            admin.calls.borrow_mut().remove(&number);
            admin.lanes.borrow_mut().remove(&number);
        });
    }

    /// Waits until then, however often it is put off.
    async fn past(&self, until: &Cell<Instant>) {
        let platform = &self.driver.platform;
        while platform.now() < until.get() {
            platform.sleep_until(until.get()).await;
        }
    }

    async fn call(self: &Rc<Self>, stream: P::Stream, until: &Cell<Instant>, me: (u64, &Rc<Notify>)) {
        let service = service_fn(|request: Request<Incoming>| async move {
            let post = request.method() == Method::POST;
            let answer = match request.uri().path() {
                "/turns" if post => {
                    self.stays(until, me);
                    self.count(request).await
                }
                "/fleet" if post => last(self.hear(request).await),
                _ => last(self.answer(&request)),
            };
            Ok::<_, Infallible>(answer)
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .serve_connection(TokioIo::new(stream), service);
        let _ = conn.await;
    }

    /// A connection on which another gateway's words pass keeps out no operator, and stays until it rests for long.
    fn stays(&self, until: &Cell<Instant>, (number, end): (u64, &Rc<Notify>)) {
        until.set(self.driver.platform.now() + 2 * lane::REST);
        if self.calls.borrow_mut().remove(&number).is_some() {
            admit_to(&self.lanes, LANES_MAX, number, end);
        }
    }

    /// What another gateway counts, for which this one looks.
    async fn count(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(turns) = self.subsystems.turns.get() else {
            return text(StatusCode::NOT_FOUND, "no turns are taken here");
        };
        let Ok(word) = body(request, MAX_MESSAGE_BYTES).await else {
            return text(StatusCode::BAD_REQUEST, "no word");
        };
        match turns.answer(&word).await {
            Ok(answer) => text(StatusCode::OK, answer),
            Err(what) => text(StatusCode::BAD_REQUEST, what),
        }
    }

    /// Another gateway's word.
    async fn hear(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(fleet) = self.subsystems.fleet.get() else { return no_fleet() };
        let of_sites = request.headers().get(SITES).cloned();
        let word = body(request, MESSAGE_MAX).await;
        let Ok(word) = word else { return text(StatusCode::BAD_REQUEST, "no message") };
        match fleet.answer(&word, of_sites.as_ref()) {
            Ok(answer) => {
                let mut answer = text(StatusCode::OK, answer);
                let own = fleet.of_sites().and_then(|own| HeaderValue::from_str(&own).ok());
                own.into_iter().for_each(|own| drop(answer.headers_mut().insert(SITES, own)));
                answer
            }
            Err(what) => text(StatusCode::BAD_REQUEST, what),
        }
    }

    fn answer<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
        let post = request.method() == Method::POST;
        match request.uri().path() {
            "/ready" | "/metrics" if ![Method::GET, Method::HEAD].contains(request.method()) => not("GET"),
            "/drain" | "/undrain" if !post => not("POST"),
            "/ready" if self.server.wants_clients() => text(StatusCode::OK, "ready"),
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            "/metrics" => {
                let srv = self.follower.borrow().as_ref().map(|follower| follower.figures());
                let mut answer = text(StatusCode::OK, self.driver.metrics_json(srv));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            path if path.starts_with("/srv") => self.of_srv(path, post),
            "/fleet" => {
                let (fleet, turns) = (self.subsystems.fleet.get(), self.subsystems.turns.get());
                let turns = turns.map_or_else(String::new, |turns| turns.explain());
                fleet.map_or_else(no_fleet, |fleet| text(StatusCode::OK, fleet.explain() + &turns))
            }
            "/policy" => {
                let changes = self.subsystems.changes.get();
                let none = || text(StatusCode::NOT_FOUND, "the configuration's policy is gone by");
                changes.map_or_else(none, |changes| text(StatusCode::OK, changes.explain()))
            }
            "/sites" => {
                let sites = self.subsystems.sites.get();
                text(
                    StatusCode::OK,
                    sites.map_or_else(String::new, |sites| sites.explain(self.driver.micros())),
                )
            }
            path if path.starts_with("/sites/") && !post => not("POST"),
            path if path.starts_with("/sites/") => self.declare(path),
            "/drain" => self.tell(LifecycleEvent::Drain, "draining"),
            "/undrain" => self.tell(LifecycleEvent::Undrain, "serving"),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// `GET /srv`, `POST /srv/refresh` and `POST /srv/accept`.
    fn of_srv(&self, path: &str, post: bool) -> Response<Full<Bytes>> {
        let follower = self.follower.borrow();
        match (path, follower.as_ref()) {
            ("/srv" | "/srv/refresh" | "/srv/accept", None) => {
                text(StatusCode::NOT_FOUND, "no name is followed")
            }
            ("/srv", Some(_)) if post => not("GET"),
            ("/srv", Some(follower)) => text(StatusCode::OK, follower.explain()),
            ("/srv/refresh" | "/srv/accept", Some(_)) if !post => not("POST"),
            ("/srv/refresh" | "/srv/accept", Some(follower)) => {
                self.driver.platform.log(format_args!("told by an operator: {path}"));
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
                self.driver.platform.log(format_args!("told by an operator: site `{site}`: {what}"));
                text(StatusCode::OK, "declared")
            }
            Err(why) => text(StatusCode::BAD_REQUEST, why),
        }
    }

    fn tell(&self, what: LifecycleEvent, word: &'static str) -> Response<Full<Bytes>> {
        self.driver.platform.log(format_args!("told by an operator: {word}"));
        self.server.told(what);
        text(StatusCode::OK, word)
    }
}

/// Takes a call in; past the most, the oldest makes room.
fn admit_to(calls: &RefCell<BTreeMap<u64, Rc<Notify>>>, most: usize, number: u64, end: &Rc<Notify>) {
    let mut calls = calls.borrow_mut();
    if calls.len() >= most {
        calls.pop_first().into_iter().for_each(|(_, oldest)| oldest.notify_one());
    }
    calls.insert(number, end.clone());
}

/// A body of so many bytes at the most, as text.
async fn body(request: Request<Incoming>, most: usize) -> Result<String, ()> {
    let body = Limited::new(request.into_body(), most).collect().await.map_err(|_| ())?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

/// The one answer of a connection.
fn last(mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
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

fn not(method: &'static str) -> Response<Full<Bytes>> {
    let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "another method");
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}
