//! Handling of one client request: routing, authentication, admission, dispatch to a worker, and the response.

use crate::admission::Admitted;
use crate::classes::Terms;
use crate::dialect::{drop_hop_by_hop, API_KEY, ATTEMPT_ID, DEADLINE, TARGET_WORKER, TENANT};
use crate::request_log::TrackedRequest;
use crate::server::Proxy;
use crate::services::ServiceKey;
use crate::view::Active;
use bytes::Bytes;
use compact_str::CompactString;
use hingestage_configuration::{Route, Tenant};
use hingestage_dataplane::body::RequestBody;
use hingestage_dataplane::client::Client;
use hingestage_dataplane::collect::CollectError;
use hingestage_dataplane::connections::RequestHandler;
use hingestage_dataplane::driver::{Answer, IncomingRequest};
use hingestage_dataplane::protocol::RequestParts;
use hingestage_dataplane::response_body::ResponseBody;
use hingestage_platform::Platform;
use hingestage_platform::Tokio;
use hingestage_policy::{CustomerId, PlanId};
use hingestage_rpc::status::RequestOutcome;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, RETRY_AFTER,
};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Minimum `retry-after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// `retry-after` of refusals that only concern this proxy; a retry may reach another one.
pub(crate) const RETRY_OTHER_PROXY: Duration = Duration::from_millis(50);
/// Request timeout of clients that don't send a deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Minimum remaining time to start a request.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The response to a request that must not begin any more. It has not run.
const SHUTTING_DOWN: Refusal = Refusal {
    status: StatusCode::SERVICE_UNAVAILABLE,
    message: "shutting down",
    outcome: RequestOutcome::NoTimeLeft,
    retry_after: Some(RETRY_OTHER_PROXY),
    close_connection: true,
};

type Reply = Response<ResponseBody<Tokio>>;

/// An error response of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    pub status: StatusCode,
    message: &'static str,
    pub outcome: RequestOutcome,
    pub retry_after: Option<Duration>,
    /// Whether to close the connection, as an unread rest of the request could be taken for the next one.
    close_connection: bool,
}

impl Refusal {
    pub const fn new(status: StatusCode, message: &'static str, outcome: RequestOutcome) -> Refusal {
        Refusal { status, message, outcome, retry_after: None, close_connection: false }
    }

    /// Sets `retry-after`.
    pub fn retry_after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait.max(MIN_RETRY_AFTER)), ..self }
    }

    /// Closes the connection after the response.
    const fn closing(self) -> Refusal {
        Refusal { close_connection: true, ..self }
    }
}

/// The route and the tenant of a request.
pub(crate) struct RoutedRequest {
    active: Rc<Active>,
    pub route: Route,
    /// Index of the tenant in the configuration, if the route requires one.
    tenant: Option<usize>,
}

impl RoutedRequest {
    pub fn tenant(&self) -> Option<&Tenant> {
        self.tenant.and_then(|index| self.active.configuration.tenants.get(index))
    }

    pub fn tenant_name(&self) -> CompactString {
        self.tenant().map(|tenant| tenant.name.clone()).unwrap_or_default()
    }
}

impl RequestHandler for Proxy {
    type Body = ResponseBody<Tokio>;

    async fn handle(self: &Rc<Self>, request: Request<Incoming>, client: &Rc<Client>) -> Reply {
        let id = single_header(request.headers(), &ATTEMPT_ID);
        let mut tracked = self.requests.begin(self.now(), id);
        match self.serve_request(request, client, &mut tracked).await {
            Ok(reply) => {
                tracked.answered(reply.status().as_u16(), RequestOutcome::Served);
                reply
            }
            Err(refusal) => {
                tracked.answered(refusal.status.as_u16(), refusal.outcome);
                respond(refusal)
            }
        }
    }

    fn keeps_connections(&self) -> bool {
        !self.is_stopping()
    }

    fn refused(&self) -> Reply {
        respond(SHUTTING_DOWN)
    }

    fn abandoned(&self) -> Reply {
        respond(
            Refusal::new(StatusCode::GATEWAY_TIMEOUT, "shutting down", RequestOutcome::TimedOut).closing(),
        )
    }
}

impl Proxy {
    async fn serve_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<Client>,
        tracked: &mut TrackedRequest,
    ) -> Result<Reply, Refusal> {
        let arrived = self.platform.now();
        let (head, body) = request.into_parts();
        let routed = self.route(&head.headers, head.uri.path(), tracked)?;
        let id = single_header(&head.headers, &ATTEMPT_ID)
            .ok_or(
                Refusal::new(StatusCode::BAD_REQUEST, "no attempt id", RequestOutcome::BadRequest).closing(),
            )?
            .clone();
        let timeout = client_timeout(&head.headers).min(routed.route.timeout);
        let until = arrived + timeout;
        if self.collector.is_too_long(&body) {
            return Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
                RequestOutcome::BadRequest,
            )
            .closing());
        }
        let body = self.collector.read(body, timeout).await.map_err(|error| match error {
            CollectError::TooSlow => Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body takes too long",
                RequestOutcome::BadRequest,
            )
            .closing(),
            CollectError::BadFraming => {
                Refusal::new(StatusCode::BAD_REQUEST, "bad framing", RequestOutcome::BadRequest).closing()
            }
        })?;
        let now = self.platform.now();
        let until = client.begin_request(now, until).ok_or(SHUTTING_DOWN)?;
        if until <= now + MIN_TIME_LEFT {
            return Err(Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no time left",
                RequestOutcome::NoTimeLeft,
            )
            .retry_after(MIN_RETRY_AFTER));
        }
        // Routes again, as the configuration may have changed while the body was read.
        let routed = self.route(&head.headers, head.uri.path(), tracked).unwrap_or(routed);
        tracked.set_route(&routed.route.name, &routed.tenant_name());
        let service = self.service_for(&routed, tracked)?;
        let mut admitted = self.admit(&routed, until).await?;
        let tenant = routed.tenant_name();
        let class = service.class_for(Terms::of(&routed.route));
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let uri = uri.ok_or(Refusal::new(StatusCode::BAD_REQUEST, "bad path", RequestOutcome::BadRequest))?;
        let flow = match &body {
            RequestBody::Streamed(flow) => Some(flow.clone()),
            RequestBody::Buffered(_) => None,
        };
        let taken = IncomingRequest {
            customer: CustomerId(tenant.to_string()),
            class,
            plan: PlanId(0),
            units: 1.0,
            gateway_count: 1,
            first_gateway: 0,
            deadline: until,
            parts: RequestParts {
                method: head.method,
                uri,
                id,
                headers: forwarded_headers(head.headers, &tenant),
                body,
            },
        };
        tracked.start_attempts(&taken.parts.id);
        let Some((ticket, answer)) = service.driver.admit(taken) else {
            return Err(Refusal::new(
                StatusCode::CONFLICT,
                "a request with this id is open",
                RequestOutcome::DuplicateId,
            ));
        };
        admitted.ran = true;
        let answer = answer.await;
        if let Some(flow) = flow {
            client.discard_rest(&self.platform, flow);
        }
        self.finish(answer.ok(), admitted, &service.driver, class, ticket, client)
    }

    /// Turns the driver's answer into the response to the client.
    fn finish(
        &self,
        answer: Option<Answer<tokio::net::TcpStream>>,
        mut admitted: Admitted,
        driver: &Rc<hingestage_dataplane::driver::Driver<Tokio>>,
        class: hingestage_policy::ClassId,
        ticket: hingestage_dataplane::driver::Ticket<Tokio>,
        client: &Rc<Client>,
    ) -> Result<Reply, Refusal> {
        match answer {
            Some(Answer::Served(served)) => {
                let body = ResponseBody::served(driver.clone(), client.clone(), class, ticket, served.body);
                let mut reply = Response::new(body);
                *reply.status_mut() = served.status;
                *reply.headers_mut() = served.headers;
                Ok(reply)
            }
            Some(Answer::Refused(wait)) => {
                admitted.ran = false;
                let refusal = Refusal::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "refused: the request has not run",
                    RequestOutcome::NoWorker,
                );
                Err(refusal.retry_after(Duration::from_micros(wait)))
            }
            Some(Answer::Failed { timed_out: true }) => {
                Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time", RequestOutcome::TimedOut))
            }
            _ => Err(Refusal::new(StatusCode::BAD_GATEWAY, "failed", RequestOutcome::Failed)),
        }
    }

    /// Finds a request's route and tenant in the active configuration.
    fn route(
        &self,
        headers: &HeaderMap,
        path: &str,
        tracked: &mut TrackedRequest,
    ) -> Result<RoutedRequest, Refusal> {
        let active = self.view.borrow().active().cloned();
        let active = active.ok_or(
            Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration yet",
                RequestOutcome::NoConfiguration,
            )
            .retry_after(RETRY_OTHER_PROXY),
        )?;
        let host = single_header(headers, &HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let route = active.routes.find(host, path).cloned();
        let route = route.ok_or(
            Refusal::new(StatusCode::NOT_FOUND, "no such route", RequestOutcome::UnknownRoute).closing(),
        )?;
        tracked.set_route(&route.name, &CompactString::default());
        let tenant = self.authenticate(&active, &route, headers)?;
        let routed = RoutedRequest { active, route, tenant };
        tracked.set_route(&routed.route.name, &routed.tenant_name());
        Ok(routed)
    }

    /// Finds the tenant by its API key; `None` if the route doesn't require one.
    fn authenticate(
        &self,
        active: &Active,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<usize>, Refusal> {
        if route.public || active.configuration.tenants.is_empty() {
            return Ok(None);
        }
        let unknown =
            Refusal::new(StatusCode::UNAUTHORIZED, "no key that is known", RequestOutcome::UnknownKey)
                .closing();
        let key = single_header(headers, &API_KEY).and_then(|value| value.to_str().ok()).ok_or(unknown)?;
        if !self.view.borrow().keys_valid(self.now()) {
            let unchecked = Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "keys can't be checked for now",
                RequestOutcome::KeysUnchecked,
            );
            return Err(unchecked.retry_after(RETRY_OTHER_PROXY).closing());
        }
        active.keys.find(key).map(Some).ok_or(unknown)
    }

    /// Selects the service of a request, and its routing state for the allowed regions.
    fn service_for(
        &self,
        routed: &RoutedRequest,
        tracked: &mut TrackedRequest,
    ) -> Result<Rc<crate::services::Service>, Refusal> {
        let tenant_regions = routed.tenant().map_or(&[][..], |tenant| &tenant.allow_regions);
        let name = routed.route.choose(fastrand::f64());
        tracked.set_service(&CompactString::from(name));
        let no_region = Refusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no region may serve this",
            RequestOutcome::NoRegion,
        )
        .retry_after(RETRY_OTHER_PROXY);
        let key = ServiceKey::within(name, &routed.route.allow_regions, tenant_regions).ok_or(no_region)?;
        self.services.get(key, &self.view.borrow(), self.now()).ok_or(no_region)
    }
}

/// Returns a header's value if it occurs exactly once and is not empty.
fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|value| values.next().is_none() && !value.is_empty())
}

/// Returns the timeout that the client sent, or the default.
fn client_timeout(headers: &HeaderMap) -> Duration {
    let text = single_header(headers, &DEADLINE).and_then(|value| value.to_str().ok());
    let millis: Option<f64> = text.and_then(|text| text.trim().parse().ok());
    let timeout = millis.and_then(|millis| Duration::try_from_secs_f64(millis / 1e3).ok());
    timeout.unwrap_or(DEFAULT_DEADLINE)
}

/// Returns the headers to forward to a worker: without hop-by-hop headers, the API key and headers that only the proxy
/// sets, and with the tenant's name.
fn forwarded_headers(mut headers: HeaderMap, tenant: &str) -> HeaderMap {
    drop_hop_by_hop(&mut headers);
    for name in [API_KEY, TENANT, TARGET_WORKER, ATTEMPT_ID, DEADLINE, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    if let Some(value) = Some(tenant).filter(|tenant| !tenant.is_empty()) {
        headers.extend(HeaderValue::from_str(value).map(|value| (TENANT, value)));
    }
    headers
}

fn respond(refusal: Refusal) -> Reply {
    let body = Full::new(Bytes::from_static(refusal.message.as_bytes()));
    let mut response = Response::new(ResponseBody::Buffered(body));
    *response.status_mut() = refusal.status;
    if let Some(wait) = refusal.retry_after {
        let seconds = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()));
        response.headers_mut().extend(seconds.map(|seconds| (RETRY_AFTER, seconds)));
    }
    if refusal.close_connection {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
