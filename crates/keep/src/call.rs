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
pub const BODY_MAX: usize = 64 << 20;

/// A client for one address that reuses its connection between calls.
pub struct Way {
    at: SocketAddr,
    pooled: Option<SendRequest<Full<Bytes>>>,
}

impl Way {
    /// A client without a connection yet.
    pub fn new(at: SocketAddr) -> Way {
        Way { at, pooled: None }
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
        let answer = send.send_request(request).await.map_err(error)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), BODY_MAX).collect().await;
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
