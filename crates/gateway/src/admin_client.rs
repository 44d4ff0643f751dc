//! HTTP client for one request on a connection of its own, to admin servers and keepers.

use bytes::Bytes;
use hingestage_platform::Platform;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;

/// Sends a request; `None` if anything fails or the response body is longer than `body_max` bytes.
pub async fn request<P: Platform>(
    platform: &P,
    at: SocketAddr,
    call: (Method, &str),
    body: String,
    body_max: usize,
) -> Option<(StatusCode, Bytes)> {
    let (status, _, body) = request_with_header(platform, at, call, body, body_max, None).await?;
    Some((status, body))
}

/// Like [`request`] with one more request header; also returns the response headers.
pub async fn request_with_header<P: Platform>(
    platform: &P,
    at: SocketAddr,
    call: (Method, &str),
    body: String,
    body_max: usize,
    header: Option<(&'static str, String)>,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let stream = platform.connect(at).await.ok()?;
    let (mut send, conn) = handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()?;
    let request = Request::builder().method(call.0).uri(call.1).header(HOST, at.to_string());
    let request = header.into_iter().fold(request, |request, (name, value)| request.header(name, value));
    let request = request.body(Full::from(body)).ok()?;
    let answer = async move {
        let response = send.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        Some((head.status, head.headers, Limited::new(body, body_max).collect().await.ok()?.to_bytes()))
    };
    // The connection may end together with the last byte of the response, so both are awaited.
    let (answer, _) = tokio::join!(answer, conn);
    answer
}
