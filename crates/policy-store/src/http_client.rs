//! HTTP/1.1 client for JSON calls to keepers and between them.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Maximum size of a body, bytes: a batch of entries with the longest texts, or a full snapshot.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// A client for one address that reuses its connection between calls.
pub struct Connection {
    at: SocketAddr,
    pooled: Option<SendRequest<Full<Bytes>>>,
}

impl Connection {
    /// A client without a connection yet.
    pub fn new(at: SocketAddr) -> Connection {
        Connection { at, pooled: None }
    }

    /// Sends one request. Reconnects first if the pooled connection has closed. A call that is dropped before
    /// it completes drops its connection.
    ///
    /// # Errors
    /// Connection or protocol error; the server may have processed the request.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), String> {
        let error = |e: hyper::Error| format!("{}: {e}", self.at);
        let mut send = match self.pooled.take() {
            Some(mut pooled) => match pooled.ready().await {
                Ok(()) => pooled,
                Err(_) => connect(self.at).await?,
            },
            None => connect(self.at).await?,
        };
        let request = Request::builder().method(method).uri(path).header(HOST, self.at.to_string());
        let request = request.body(Full::from(body)).map_err(|e| format!("{path}: {e}"))?;
        let response = send.send_request(request).await.map_err(error)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|e| format!("{}: {e}", self.at))?.to_bytes();
        self.pooled = Some(send);
        Ok((status, body))
    }
}

async fn connect(at: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(at).await.map_err(|e| format!("{at}: {e}"))?;
    // Requests are small and latency-sensitive.
    let _ = stream.set_nodelay(true);
    let (send, conn) = handshake(TokioIo::new(stream)).await.map_err(|e| format!("{at}: {e}"))?;
    tokio::spawn(conn);
    Ok(send)
}
