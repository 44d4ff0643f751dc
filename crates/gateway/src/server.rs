//! Clients' requests as the relay platform words them: read and checked, and their answers written.

use crate::config::Config;
use crate::decimal;
use crate::relay_dialect::{content_type, REQUEST_ID, REQUEST_TIMEOUT};
use bytes::Bytes;
use hingestage_dataplane::body::{BodyLimits, RequestBody};
use hingestage_dataplane::client::{Client, ClientTimeouts};
use hingestage_dataplane::collect::{CollectError, CollectSettings, Collector};
use hingestage_dataplane::connections::{ConnectionSettings, RequestHandler, Shutdown};
use hingestage_dataplane::driver::{Answer, Driver, IncomingRequest, Ticket, ANSWER_MARGIN};
use hingestage_dataplane::protocol::RequestParts;
use hingestage_dataplane::response_body::ResponseBody;
use hingestage_dataplane::workers::WorkerResponse;
use hingestage_operate::{Lifecycle, LifecycleEvent};
use hingestage_platform::Platform;
use hingestage_policy::settings::Names;
use hingestage_policy::{ClassId, CustomerId, Effect, PlanId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, COOKIE, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Part of the memory limit that bodies of up to `COLLECTED` may take together while they come in.
const COLLECT_SHARE: u64 = 8;
/// The longest body that is collected where there is memory for it, bytes: a request that is sent on when its
/// body is whole holds no worker up, and can be sent again.
const COLLECTED: usize = 2 << 20;
/// How long a request's body may be, and how slowly it may come.
const BODY_LIMITS: BodyLimits = BodyLimits {
    // What is said to be longer is nonsense.
    max_bytes: 40 << 20,
    // More than the 2 s that a slow one may take.
    chunk_timeout: Duration::from_millis(2_200),
    // Half of what the slowest sends.
    min_bytes_per_s: 32_000.0,
};
/// How long clients may take over what.
const CLIENT_TIMES: ClientTimeouts = ClientTimeouts {
    first_head_timeout: Duration::from_millis(2_600),
    // Less than the 3 s in which one that never asks properly is owed an end, more than the 2 s of a slow one.
    header_timeout: Duration::from_millis(2_200),
    idle_timeout: Duration::from_millis(2_200),
    // The system takes up to half a megabyte ahead of a client, which a slow one reads in eight seconds.
    write_timeout: Duration::from_secs(20),
};
/// Part of the descriptors that connections may hold between two requests.
const IDLE_SHARE: usize = 8;
/// The largest head of a request, bytes.
const HEAD_MAX: usize = 16 * 1024;
/// Multiple of the longest deadline past which a client's patience counts for nothing: the records of its
/// requests would otherwise be kept for as long as it pleases.
const PATIENCE_MAX: u32 = 4;

/// The bounds of clients' connections.
pub fn connection_settings(config: &Config) -> ConnectionSettings {
    ConnectionSettings {
        max_connections: config.clients_max,
        max_idle: config.sockets / IDLE_SHARE,
        timeouts: CLIENT_TIMES,
        max_head_bytes: HEAD_MAX,
    }
}

/// Reads and answers clients' requests.
pub struct Server<P: Platform> {
    platform: P,
    driver: Rc<Driver<P>>,
    names: Names,
    effects: Vec<Effect>,
    instances: u32,
    most_units: f64,
    patience_max: Duration,
    collector: Collector<P>,
    life: RefCell<Lifecycle>,
}

impl<P: Platform> Server<P> {
    /// A server that is not ready yet.
    pub fn new(driver: Rc<Driver<P>>, config: &Config) -> Rc<Self> {
        let collect = CollectSettings {
            limits: BODY_LIMITS,
            body_max_bytes: COLLECTED,
            total_max_bytes: (config.memory / COLLECT_SHARE) as usize,
        };
        Rc::new(Server {
            collector: Collector::new(driver.platform.clone(), collect),
            platform: driver.platform.clone(),
            driver,
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            instances: config.settings.instances.max(1),
            most_units: config.settings.max_units,
            patience_max: config.longest_deadline() * PATIENCE_MAX,
            life: RefCell::default(),
        })
    }

    /// Takes in what this gateway is told of its own life.
    pub fn told(&self, what: LifecycleEvent) {
        self.life.borrow_mut().apply(self.platform.now(), what);
    }

    /// Whether clients are to be sent here.
    pub fn wants_clients(&self) -> bool {
        self.life.borrow().accepts_clients() && self.driver.may_start_requests()
    }

    /// How the connections end. Nothing is waited for once `longest` is over.
    pub fn stopping(&self, longest: Duration) -> Shutdown {
        let (life, now) = (self.life.borrow(), self.platform.now());
        Shutdown {
            accept_until: life.accept_until().unwrap_or(now),
            close_idle: life.close_idle(),
            deadline: now + longest,
        }
    }

    /// The longest that a client may wait.
    fn patience_max(&self) -> Duration {
        self.driver.max_wait().map_or(self.patience_max, |longest| longest * PATIENCE_MAX)
    }

    /// Reads a request whole. Nothing that is malformed goes any further.
    async fn read(&self, request: Request<Incoming>, client: &Client) -> Result<IncomingRequest, Bad> {
        let (head, body) = request.into_parts();
        let id = head.headers.get(REQUEST_ID);
        // The library hides a `Content-Length` beside it, so that the two can't be told to agree: a second
        // request may be hidden in the body.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            let kept = client.transport.head.borrow();
            let known = id.is_some_and(|id| kept.lacks_content_length(REQUEST_ID, id.as_bytes()));
            if !known {
                return Err((StatusCode::LENGTH_REQUIRED, "a body needs one length and nothing else"));
            }
        }
        if self.collector.is_too_long(&body) {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let class_name = header(&head.headers, "request-class")?;
        let class = place(&self.names.classes, class_name).ok_or(bad("unknown class"))?;
        let plan = place(&self.names.plans, header(&head.headers, "x-tier")?).ok_or(bad("unknown plan"))?;
        if head.uri.path().split('/').nth(1) != Some(class_name) {
            return Err(bad("path and class differ"));
        }
        let effect = self.driver.effect(ClassId(class)).or(self.effects.get(class).copied());
        let safe = effect == Some(Effect::Idempotent);
        if head.method != if safe { Method::GET } else { Method::POST } {
            return Err(bad("method and class differ"));
        }
        let customer = customer(&head.headers)?;
        let (units, gateways, first) = terms(header(&head.headers, "x-call-terms")?, self.instances)?;
        // One huge figure in a usual customer's name would box it for a window.
        if self.most_units > 0.0 && units > self.most_units {
            return Err(bad("more units than any request has"));
        }
        let patience = decimal(header(&head.headers, REQUEST_TIMEOUT)?);
        let patience = patience.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let patience = patience.ok_or(bad("bad Request-Timeout"))?;
        header(&head.headers, REQUEST_ID)?;
        let id = head.headers.get(REQUEST_ID).cloned().ok_or(bad("no Request-Id"))?;
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let patience = patience.min(self.patience_max());
        let body = self.collector.read(body, patience.saturating_sub(ANSWER_MARGIN)).await.map_err(unread)?;
        if safe && !(body.is_complete() && body.forwarded() == 0) {
            return Err(bad("a body where none belongs"));
        }
        let upload = match &body {
            RequestBody::Buffered(_) => Duration::ZERO,
            RequestBody::Streamed(flow) => flow.max_duration(),
        };
        Ok(IncomingRequest {
            customer,
            class: ClassId(class),
            plan: PlanId(plan),
            units,
            gateway_count: gateways,
            first_gateway: first,
            // The request's last byte has just been read, or will be after so long.
            deadline: self.platform.now() + upload + patience,
            parts: RequestParts {
                method: head.method,
                uri: uri.ok_or(bad("bad path"))?,
                id,
                headers: content_type(&head.headers),
                body,
            },
        })
    }

    fn respond(
        &self,
        answer: Answer<P::Stream>,
        class: ClassId,
        ticket: Ticket<P>,
        client: &Rc<Client>,
    ) -> Response<ResponseBody<P>> {
        let Answer::Served(WorkerResponse { status, headers, body }) = answer else {
            return turned_away(answer);
        };
        let body = ResponseBody::served(self.driver.clone(), client.clone(), class, ticket, body);
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

impl<P: Platform> RequestHandler for Server<P> {
    type Body = ResponseBody<P>;

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<Client>,
    ) -> Response<ResponseBody<P>> {
        if request.uri().path() == "/up" && request.method() == Method::GET {
            let up = if self.wants_clients() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return plain(up, "");
        }
        let taken = match self.read(request, client).await {
            Ok(taken) => taken,
            Err(bad) => return refuse(bad),
        };
        let flow = match &taken.parts.body {
            RequestBody::Streamed(flow) => Some(flow.clone()),
            RequestBody::Buffered(_) => None,
        };
        client.busy.set(true);
        let class = taken.class;
        // The ticket ends with this call: dropped early it says that the client has left.
        let Some((ticket, answer)) = self.driver.admit(taken) else {
            return refuse((StatusCode::CONFLICT, "a request with this Request-Id is open"));
        };
        let answer = answer.await;
        if let Some(flow) = flow {
            client.discard_rest(&self.platform, flow);
        }
        match answer {
            Ok(answer) => self.respond(answer, class, ticket, client),
            Err(_) => plain(StatusCode::BAD_GATEWAY, "no answer"),
        }
    }

    fn keeps_connections(&self) -> bool {
        self.life.borrow().keeps_connections()
    }
}

type Bad = (StatusCode, &'static str);

fn bad(what: &'static str) -> Bad {
    (StatusCode::BAD_REQUEST, what)
}

fn unread(error: CollectError) -> Bad {
    match error {
        CollectError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body takes too long"),
        CollectError::BadFraming => bad("bad framing"),
    }
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

/// Units, number of gateways and the first of them, from `units=2,spread=3,first=1`. A term named twice is no term.
fn terms(text: &str, instances: u32) -> Result<(f64, u32, u32), Bad> {
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
    match (units.flatten(), spread.flatten(), first.unwrap_or(Some(0))) {
        (Some(units), Some(spread), Some(first)) => Ok((units, spread, first)),
        _ => Err(bad("bad X-Call-Terms")),
    }
}

fn whole(text: &str, within: std::ops::RangeInclusive<u32>) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && within.contains(n))
}

fn refuse<P: Platform>((status, what): Bad) -> Response<ResponseBody<P>> {
    let mut answer = plain(status, what);
    // What is left of it on the connection can't be told from a next request.
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn plain<P: Platform>(status: StatusCode, what: &'static str) -> Response<ResponseBody<P>> {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(Bytes::from_static(what.as_bytes()))));
    *response.status_mut() = status;
    response
}

fn turned_away<P: Platform>(answer: Answer<P::Stream>) -> Response<ResponseBody<P>> {
    match answer {
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless");
            let value = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e6));
            if let (Ok(value), true) = (value, wait > 0) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed { timed_out: true } => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Answer::Failed { timed_out: false } | Answer::Served(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}
