//! HTTP/1.1 API for operators and for clients looking up proxies.

use crate::server::Registry;
use bytes::Bytes;
use hingestage_configuration::Configuration;
use hingestage_rpc::messages::{Change, ConfigDocument, Proposed, ReadState, StoreAnswer, StoreRequest};
use hingestage_rpc::OpenConnections;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum size of a configuration document.
const CONFIG_BYTES_MAX: usize = 48 << 20;
/// Timeout for a request head, also while a connection is idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 512;
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a read waits for the other stores.
const READ_WAIT: Duration = Duration::from_millis(800);
/// Margin for the store's answer beyond the wait requested of it.
pub(crate) const STORE_CALL_MARGIN: Duration = Duration::from_millis(100);
/// `Retry-After` of 503 responses, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.3");
/// Time for which clients may cache a lookup.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Accepts connections until the registry is told to end.
pub(crate) async fn serve(listener: TcpListener, registry: Rc<Registry>, connections: Rc<OpenConnections>) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = connections.stopped() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) if connections.count() < CONNECTIONS_MAX => {
                let (open, registry, connections) =
                    (connections.open(), registry.clone(), connections.clone());
                spawn_local(async move {
                    serve_connection(stream, registry, &connections).await;
                    drop(open);
                });
            }
            Ok((_, from)) => log::warn!("{from}: too many connections"),
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection. When the registry is told to end, the request that has been read is answered first.
async fn serve_connection(stream: TcpStream, registry: Rc<Registry>, connections: &OpenConnections) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let registry = registry.clone();
        async move { Ok::<_, Infallible>(registry.route(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A protocol error only ends this connection.
    tokio::select! {
        biased;
        ended = connection.as_mut() => return drop(ended),
        () = connections.stopped() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

impl Registry {
    async fn route(self: Rc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        match (method, segments.as_slice()) {
            (Method::PUT, ["config"]) => self.put_config(request).await,
            (Method::GET, ["config"]) => self.get_config().await,
            (Method::POST, ["drain", zone]) => self.drain(zone, true).await,
            (Method::DELETE, ["drain", zone]) => self.drain(zone, false).await,
            (Method::GET, ["lookup"]) => self.lookup(request.uri().query().unwrap_or_default()),
            (Method::PUT, ["trials", tenant]) => self.put_terms(tenant, request).await,
            (Method::GET, ["trials"]) => self.get_trials(),
            (Method::GET, ["trials", tenant]) => self.get_trial(tenant),
            (Method::GET, ["status"]) => json(StatusCode::OK, self.status()),
            (_, ["config"] | ["drain", _] | ["lookup"] | ["status"] | ["trials"] | ["trials", _]) => {
                error(StatusCode::METHOD_NOT_ALLOWED, "method not allowed here")
            }
            _ => error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn put_config(&self, request: Request<Incoming>) -> HttpResponse {
        let body = match read_body(request, CONFIG_BYTES_MAX).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let serial = match Configuration::parse(&body) {
            Ok(configuration) => configuration.serial.0,
            Err(invalid) => {
                let status = StatusCode::from_u16(invalid.status()).unwrap_or(StatusCode::BAD_REQUEST);
                log::info!("configuration refused: {invalid}");
                return error(status, &invalid.to_string());
            }
        };
        let document = ConfigDocument::new(serial, body.to_vec());
        let answer = self.propose(Change::Config(document)).await;
        log::info!("configuration {serial:08x}: {}", answer.status());
        answer
    }

    async fn drain(&self, zone: &str, drained: bool) -> HttpResponse {
        if !self.settings.zones.contains_key(zone) {
            return error(StatusCode::NOT_FOUND, "no such zone");
        }
        let answer = self.propose(Change::Drain { zone: zone.into(), drained }).await;
        log::info!("zone {zone} drained {drained}: {}", answer.status());
        answer
    }

    /// Proposes a change and responds once it is durable.
    async fn propose(&self, change: Change) -> HttpResponse {
        match self.propose_change(change).await {
            Ok(Proposed::Durable) => json(StatusCode::OK, "{}"),
            Ok(Proposed::SerialTaken) => error(
                StatusCode::CONFLICT,
                "another document holds under this serial: read it, and send a higher one",
            ),
            Ok(_) => unavailable("not durable yet"),
            Err(message) => unavailable(&message),
        }
    }

    async fn get_config(&self) -> HttpResponse {
        let request = StoreRequest::Read { wait: READ_WAIT.as_millis() as u64 };
        match self.store.call(&request, READ_WAIT + STORE_CALL_MARGIN).await {
            Ok(StoreAnswer::Read(Some(config), ReadState::Current)) => json(StatusCode::OK, config.json),
            Ok(StoreAnswer::Read(None, ReadState::Current)) => error(StatusCode::NOT_FOUND, "none yet"),
            Ok(_) => unavailable("too few stores answered"),
            Err(failed) => unavailable(&format!("store: {failed}")),
        }
    }

    fn lookup(&self, query: &str) -> HttpResponse {
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value).unwrap_or_default()
        };
        let (zone, region) = (value("zone"), value("region"));
        let addrs = self.directory.borrow().lookup(self.now(), zone, region);
        if addrs.is_empty() {
            return unavailable("no proxy is ready");
        }
        let ttl = LOOKUP_TTL.min(self.settings.bounds.ttl_max);
        let addrs: Vec<String> = addrs.iter().map(ToString::to_string).collect();
        let body = serde_json::json!({ "addrs": addrs, "ttl": format!("{}ms", ttl.as_millis()) });
        json(StatusCode::OK, body.to_string())
    }
}

/// Reads a request body of at most `bytes_max` bytes.
///
/// # Errors
/// The response to send if the body is incomplete, too long or late.
pub(crate) async fn read_body(request: Request<Incoming>, bytes_max: usize) -> Result<Bytes, HttpResponse> {
    let body = Limited::new(request.into_body(), bytes_max).collect();
    match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(error(StatusCode::BAD_REQUEST, "the body can't be read whole")),
        Err(_) => Err(error(StatusCode::REQUEST_TIMEOUT, "the body takes too long")),
    }
}

pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

pub(crate) fn error(status: StatusCode, message: &str) -> HttpResponse {
    json(status, serde_json::json!({ "error": message }).to_string())
}

pub(crate) fn unavailable(message: &str) -> HttpResponse {
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, message);
    answer.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    answer
}
