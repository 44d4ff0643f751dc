//! HTTP server for clients of the relay platform: validates requests and writes responses.

use crate::config::Config;
use crate::decimal;
use crate::relay_dialect::{content_type, REQUEST_ID, REQUEST_TIMEOUT};
use bytes::Bytes;
use hingestage_dataplane::body::{BodyLimits, RequestBody};
use hingestage_dataplane::client::{Client, ClientTimeouts};
use hingestage_dataplane::collect::{CollectError, CollectSettings, Collector};
use hingestage_dataplane::connections::{ConnectionSettings, RequestHandler};
use hingestage_dataplane::driver::{Answer, Driver, IncomingRequest, Ticket, ANSWER_MARGIN};
use hingestage_dataplane::protocol::RequestParts;
use hingestage_dataplane::response_body::ResponseBody;
use hingestage_dataplane::shutdown::Shutdown;
use hingestage_dataplane::workers::WorkerResponse;
use hingestage_lifecycle::{Lifecycle, LifecycleEvent};
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

/// Divisor of the memory limit that gives the memory for request bodies being collected.
const COLLECT_MEMORY_DIVISOR: u64 = 8;
/// The longest body that is collected before the request is sent on, bytes. A collected request does not block a
/// worker while it arrives and can be retried.
const COLLECTED_BODY_MAX: usize = 2 << 20;
/// Limits on the length and the slowness of request bodies.
const BODY_LIMITS: BodyLimits = BodyLimits {
    // No valid request is longer.
    max_bytes: 40 << 20,
    // Slow clients may take 2 s.
    chunk_timeout: Duration::from_millis(2_200),
    // Half the rate of the slowest clients.
    min_bytes_per_s: 32_000.0,
};
/// Timeouts of client connections.
const CLIENT_TIMES: ClientTimeouts = ClientTimeouts {
    first_head_timeout: Duration::from_millis(2_600),
    // Slow clients may take 2 s, and stuck ones must be closed within 3 s.
    header_timeout: Duration::from_millis(2_200),
    idle_timeout: Duration::from_millis(2_200),
    // Socket buffers hold up to half a megabyte, which a slow client reads in eight seconds.
    write_timeout: Duration::from_secs(20),
};
/// Divisor of the limit on descriptors that gives the limit on idle client connections.
const IDLE_DIVISOR: usize = 8;
/// The largest request head, bytes.
const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Limit on a client's request timeout as a multiple of the longest deadline, so that records of requests do not
/// accumulate.
const TIMEOUT_MAX_DEADLINES: u32 = 4;

/// How long after a stop all requests still begin.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Time for the responses to requests that are abandoned at the end of a stop.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// The limits on client connections.
pub fn connection_settings(config: &Config) -> ConnectionSettings {
    ConnectionSettings {
        max_connections: config.clients_max,
        max_idle: config.sockets / IDLE_DIVISOR,
        timeouts: CLIENT_TIMES,
        max_head_bytes: HEAD_BYTES_MAX,
    }
}

/// The HTTP service for clients.
pub struct Server<P: Platform> {
    platform: P,
    driver: Rc<Driver<P>>,
    names: Names,
    effects: Vec<Effect>,
    instances: u32,
    most_units: f64,
    timeout_max: Duration,
    collector: Collector<P>,
    life: RefCell<Lifecycle>,
}

impl<P: Platform> Server<P> {
    /// Creates a server that is not ready yet.
    pub fn new(driver: Rc<Driver<P>>, config: &Config) -> Rc<Self> {
        let collect = CollectSettings {
            limits: BODY_LIMITS,
            body_max_bytes: COLLECTED_BODY_MAX,
            total_max_bytes: (config.memory / COLLECT_MEMORY_DIVISOR) as usize,
        };
        Rc::new(Server {
            collector: Collector::new(driver.platform.clone(), collect),
            platform: driver.platform.clone(),
            driver,
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            instances: config.settings.instances.max(1),
            most_units: config.settings.max_units,
            timeout_max: config.longest_deadline() * TIMEOUT_MAX_DEADLINES,
            life: RefCell::default(),
        })
    }

    /// Applies an event to the state of the server.
    pub fn apply(&self, event: LifecycleEvent) {
        self.life.borrow_mut().apply(self.platform.now(), event);
    }

    /// Whether load balancers should send clients here.
    pub fn wants_clients(&self) -> bool {
        self.life.borrow().accepts_clients() && self.driver.may_start_requests()
    }

    /// The points in time of a stop. Requests that begin up to `STOP_MARGIN` after it have `max_wait` for their answers.
    pub fn stopping(&self, max_wait: Duration) -> Shutdown {
        let (life, now) = (self.life.borrow(), self.platform.now());
        let answer_by = now + STOP_MARGIN + max_wait;
        Shutdown {
            accept_until: life.accept_until().unwrap_or(now),
            // With a successor connections end by their next response or their idle timeout.
            close_idle_at: if life.close_idle() { now } else { answer_by },
            begin_until: now + STOP_MARGIN,
            answer_by,
            deadline: answer_by + LAST_RESPONSE_TIME,
        }
    }

    /// The longest request timeout of a client.
    fn timeout_max(&self) -> Duration {
        self.driver.max_wait().map_or(self.timeout_max, |max_wait| max_wait * TIMEOUT_MAX_DEADLINES)
    }

    /// Validates the head of a request and reads its body.
    async fn read(&self, request: Request<Incoming>, client: &Client) -> Result<IncomingRequest, Refusal> {
        let (head, body) = request.into_parts();
        let id = head.headers.get(REQUEST_ID);
        // hyper drops a `Content-Length` beside `Transfer-Encoding`, so a smuggled request could not be detected.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            let transport = client.transport.head.borrow();
            let no_length = id.is_some_and(|id| transport.lacks_content_length(REQUEST_ID, id.as_bytes()));
            if !no_length {
                return Err((StatusCode::LENGTH_REQUIRED, "a body needs one length and nothing else"));
            }
        }
        if self.collector.is_too_long(&body) {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let class_name = header(&head.headers, "request-class")?;
        let class = index_of(&self.names.classes, class_name).ok_or(bad("unknown class"))?;
        let plan =
            index_of(&self.names.plans, header(&head.headers, "x-tier")?).ok_or(bad("unknown plan"))?;
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
        // One forged huge number would put a customer into the penalty box.
        if self.most_units > 0.0 && units > self.most_units {
            return Err(bad("more units than any request has"));
        }
        let timeout = decimal(header(&head.headers, REQUEST_TIMEOUT)?);
        let timeout = timeout.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let timeout = timeout.ok_or(bad("bad Request-Timeout"))?;
        header(&head.headers, REQUEST_ID)?;
        let id = head.headers.get(REQUEST_ID).cloned().ok_or(bad("no Request-Id"))?;
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let timeout = timeout.min(self.timeout_max());
        let body = self
            .collector
            .read(body, timeout.saturating_sub(ANSWER_MARGIN))
            .await
            .map_err(collect_failure)?;
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
            // The timeout starts with the last byte of the request, which may still be arriving.
            deadline: self.platform.now() + upload + timeout,
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
            return error_response(answer);
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
        let mut taken = match self.read(request, client).await {
            Ok(taken) => taken,
            Err(refusal) => return refuse(refusal),
        };
        let Some(answer_time) = client.begin_request(self.platform.now(), taken.deadline) else {
            return self.refused();
        };
        taken.deadline = answer_time;
        let flow = match &taken.parts.body {
            RequestBody::Streamed(flow) => Some(flow.clone()),
            RequestBody::Buffered(_) => None,
        };
        let class = taken.class;
        // Dropping the ticket before the answer means that the client has left.
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

    fn refused(&self) -> Response<ResponseBody<P>> {
        refuse((StatusCode::TOO_MANY_REQUESTS, "shutting down: trying again is harmless"))
    }

    fn abandoned(&self) -> Response<ResponseBody<P>> {
        plain(StatusCode::GATEWAY_TIMEOUT, "shutting down")
    }
}

/// Status and message of a refused request.
type Refusal = (StatusCode, &'static str);

fn bad(message: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, message)
}

fn collect_failure(error: CollectError) -> Refusal {
    match error {
        CollectError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body takes too long"),
        CollectError::BadFraming => bad("bad framing"),
    }
}

/// The text of a header that must be present exactly once.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next().and_then(|value| value.to_str().ok()), values.next()) {
        (Some(value), None) if !value.is_empty() => Ok(value),
        _ => Err(bad("a header is missing or bad")),
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The customer from the cookie `client`: 16 hexadecimal digits below 2^33.
fn customer(headers: &HeaderMap) -> Result<CustomerId, Refusal> {
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

/// Parses `units=2,spread=3,first=1` into units, number of gateways and the first gateway. Duplicates are errors.
fn terms(text: &str, instances: u32) -> Result<(f64, u32, u32), Refusal> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for term in text.split(',') {
        let valid = match term.trim().split_once('=') {
            Some(("units", value)) => units.replace(decimal(value)).is_none(),
            Some(("spread", value)) => spread.replace(integer(value, 1..=instances)).is_none(),
            Some(("first", value)) => first.replace(integer(value, 0..=instances - 1)).is_none(),
            other => other.is_some(),
        };
        if !valid {
            return Err(bad("bad X-Call-Terms"));
        }
    }
    match (units.flatten(), spread.flatten(), first.unwrap_or(Some(0))) {
        (Some(units), Some(spread), Some(first)) => Ok((units, spread, first)),
        _ => Err(bad("bad X-Call-Terms")),
    }
}

fn integer(text: &str, range: std::ops::RangeInclusive<u32>) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && range.contains(n))
}

fn refuse<P: Platform>((status, message): Refusal) -> Response<ResponseBody<P>> {
    let mut answer = plain(status, message);
    // The rest of the body can't be told from a next request.
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn plain<P: Platform>(status: StatusCode, message: &'static str) -> Response<ResponseBody<P>> {
    let mut response =
        Response::new(ResponseBody::Buffered(Full::new(Bytes::from_static(message.as_bytes()))));
    *response.status_mut() = status;
    response
}

fn error_response<P: Platform>(answer: Answer<P::Stream>) -> Response<ResponseBody<P>> {
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
