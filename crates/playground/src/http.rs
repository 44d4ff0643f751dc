//! Calls over HTTP/1.1, each with a time limit.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent.
    NotSent,
    /// The connection broke after the request was sent, or part of it.
    Broken,
    /// No answer in time.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CallError::NotSent => "the request was not sent",
            CallError::Broken => "the connection broke",
            CallError::Timeout => "no answer in time",
        })
    }
}

/// A connection on which requests are sent one after another.
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// Nobody listens, or not in time.
    pub async fn open(addr: SocketAddr) -> Result<Connection, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(CallError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { addr, sender, task })
    }

    /// The other side.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether another request may be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads its answer whole.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Reply, CallError> {
        timeout(within, self.exchange(request)).await.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        self.sender.ready().await.map_err(|_| CallError::NotSent)?;
        let answer = self.sender.send_request(request).await;
        let answer =
            answer.map_err(|e| if e.is_canceled() { CallError::NotSent } else { CallError::Broken })?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Broken)?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Makes one call on a connection of its own.
///
/// # Errors
/// No whole answer came.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Result<Reply, CallError> {
    let request = Request::builder().method(method).uri(path).header(HOST, addr.to_string());
    let request = request.body(Full::new(body)).map_err(|_| CallError::NotSent)?;
    Connection::open(addr).await?.send(request, within).await
}
