//! Pool of HTTP connections to the admin servers of other gateways.

use bytes::Bytes;
use hingestage_platform::Platform;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of idle connections to one gateway.
const IDLE_MAX: usize = 2;
/// Idle time after which a connection is closed. The server waits twice as long, so that it closes none in use.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Divisor of a request's timeout that gives the timeout for connecting. A request that waits longer was never sent.
const CONNECT_TIMEOUT_DIVISOR: u32 = 4;

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The request was not sent.
    NotSent,
    /// The request may have been received.
    Unanswered,
}

struct Idle {
    send: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections to other gateways by their numbers.
pub struct PeerConnections<P: Platform> {
    platform: P,
    peers: BTreeMap<u32, SocketAddr>,
    idle: RefCell<BTreeMap<u32, Vec<Idle>>>,
}

impl<P: Platform> PeerConnections<P> {
    /// Creates a pool for these gateways, without connections.
    pub fn new(platform: P, peers: BTreeMap<u32, SocketAddr>) -> Self {
        PeerConnections { platform, peers, idle: RefCell::default() }
    }

    /// Posts a text, and returns the body of a response with status 200.
    ///
    /// # Errors
    /// Whether the request may have been received.
    pub async fn post(
        &self,
        to: u32,
        path: &str,
        text: String,
        body_max: usize,
        timeout: Duration,
    ) -> Result<String, PeerError> {
        let at = *self.peers.get(&to).ok_or(PeerError::NotSent)?;
        let mut send = match self.take(to) {
            Some(send) => send,
            None => match self.platform.timeout(timeout / CONNECT_TIMEOUT_DIVISOR, self.connect(at)).await {
                Ok(Some(send)) => send,
                _ => return Err(PeerError::NotSent),
            },
        };
        let request = Request::builder().method(Method::POST).uri(path).header(HOST, at.to_string());
        let request = request.body(Full::from(text)).map_err(|_| PeerError::NotSent)?;
        let answer = async {
            let (head, body) = send.send_request(request).await.ok()?.into_parts();
            let body = Limited::new(body, body_max).collect().await.ok()?.to_bytes();
            let text = String::from_utf8(body.to_vec()).ok()?;
            (head.status == StatusCode::OK).then_some(text)
        };
        let answer =
            self.platform.timeout(timeout, answer).await.ok().flatten().ok_or(PeerError::Unanswered)?;
        self.give_back(to, send);
        Ok(answer)
    }

    async fn connect(&self, at: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let stream = self.platform.connect(at).await.ok()?;
        let (mut send, conn) = handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()?;
        self.platform.spawn(async move {
            // Errors show where the connection is used.
            let _ = conn.await;
        });
        send.ready().await.ok()?;
        Some(send)
    }

    /// Takes the most recently used idle connection that is still open.
    fn take(&self, to: u32) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let open = idle.get_mut(&to)?;
        open.retain(|one| one.send.is_ready() && self.platform.since(one.since) < IDLE_TIMEOUT);
        Some(open.pop()?.send)
    }

    fn give_back(&self, to: u32, send: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let open = idle.entry(to).or_default();
        if open.len() < IDLE_MAX && !send.is_closed() {
            open.push(Idle { send, since: self.platform.now() });
        }
    }

    /// Closes connections that have been idle for long.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, open| {
            open.retain(|one| !one.send.is_closed() && self.platform.since(one.since) < IDLE_TIMEOUT);
            !open.is_empty()
        });
    }
}
