//! Reading a worker's response: its framing, and which part of it is buffered.

use crate::body::{BodySource, ChunkBuffer, BUFFERED_MAX};
use crate::protocol::{Classification, RequestParts};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};
use std::error::Error;
use std::io::ErrorKind;

/// Maximum declared length of a response, bytes. No valid response is longer.
const RESPONSE_MAX_BYTES: u64 = 40 << 20;
/// Bytes of a response without a declared length that are buffered before it is streamed. Until then a broken response can
/// still be retried; more buffering would delay the first bytes of a long one.
const UNSIZED_BUFFER_MAX_BYTES: usize = 8 * 1024;

/// A response as read so far.
pub(crate) struct ReceivedResponse {
    pub classification: Classification,
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReceivedBody,
}

/// The body of such a response.
pub(crate) enum ReceivedBody {
    /// Received whole.
    Buffered(Bytes),
    /// Still being received.
    Streamed(BodySource),
}

/// Why a request got no usable response.
pub(crate) enum ExchangeError {
    /// The connection broke.
    Connection,
    /// The response is unusable; the reason.
    Unusable(&'static str),
}

/// Whether a response never has a body (RFC 9110, 6.4.1).
fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Whether the end of a response is known without the end of its connection.
pub(crate) fn is_framed(parts: &RequestParts, status: StatusCode, headers: &HeaderMap) -> bool {
    has_no_body(&parts.method, status)
        || [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name))
}

/// Reads the body of a response. Without framing it ends with its connection: an end in order (FIN) completes it, a
/// reset breaks it.
pub(crate) async fn receive_body(
    parts: &RequestParts,
    status: StatusCode,
    body: Incoming,
) -> Result<ReceivedBody, ExchangeError> {
    if has_no_body(&parts.method, status) {
        return Ok(ReceivedBody::Buffered(Bytes::new()));
    }
    // A declared length above the maximum is not worth waiting for.
    if body.size_hint().lower() > RESPONSE_MAX_BYTES {
        return Err(ExchangeError::Unusable("a response above the maximum size"));
    }
    read_body(body).await
}

/// Buffers a short body; returns a long one as a stream.
async fn read_body(mut body: Incoming) -> Result<ReceivedBody, ExchangeError> {
    let length = body.size_hint().exact();
    // Stream at once, without delaying the first bytes.
    if length.is_some_and(|length| length > BUFFERED_MAX as u64) {
        return Ok(ReceivedBody::Streamed(BodySource::new(Bytes::new(), body, length)));
    }
    let held = if length.is_some() { BUFFERED_MAX } else { UNSIZED_BUFFER_MAX_BYTES };
    let mut joined = ChunkBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match is_framing_error(&e) {
            true => ExchangeError::Unusable("a response that can't be parsed"),
            false => ExchangeError::Connection,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        joined.push(data);
        if joined.len() > held && !body.is_end_stream() {
            return Ok(ReceivedBody::Streamed(BodySource::new(joined.into_bytes(), body, length)));
        }
    }
    Ok(ReceivedBody::Buffered(joined.into_bytes()))
}

/// Whether the chunked framing was invalid, as opposed to a closed connection.
fn is_framing_error(e: &(dyn Error + 'static)) -> bool {
    let cause = e.source().and_then(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData))
}
