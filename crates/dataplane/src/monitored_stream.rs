//! A stream wrapper that records the raw head of the current request and the activity of a client connection.
//!
//! The HTTP library drops a `Content-Length` that accompanies a `Transfer-Encoding` (RFC 9112, 6.3), which
//! would hide an attempt at request smuggling. The raw head is therefore kept until its request is answered.

use hingestage_platform::Platform;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The raw head of the current request.
pub struct RequestHead {
    /// Maximum size recorded, bytes. The HTTP library rejects larger heads.
    max_bytes: usize,
    bytes: Vec<u8>,
    complete: bool,
    started: Option<Instant>,
}

impl RequestHead {
    /// Capacity kept between two requests, bytes.
    const RESERVED_BYTES: usize = 1024;

    /// Creates an empty head that records at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        RequestHead { max_bytes, bytes: Vec::new(), complete: false, started: None }
    }

    /// Records received bytes up to the empty line that ends the head.
    pub fn push(&mut self, now: Instant, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.started.get_or_insert(now);
        }
        for byte in bytes {
            if self.complete || self.bytes.len() >= self.max_bytes {
                return;
            }
            self.bytes.push(*byte);
            self.complete = self.bytes.ends_with(b"\r\n\r\n") || self.bytes.ends_with(b"\n\n");
        }
    }

    /// Prepares for the next request.
    pub fn reset(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(Self::RESERVED_BYTES);
        (self.complete, self.started) = (false, None);
    }

    /// When the first byte of an incomplete head arrived; `None` between requests and once the head is
    /// complete.
    pub fn reading_since(&self) -> Option<Instant> {
        self.started.filter(|_| !self.complete)
    }

    /// Whether the head is complete.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether this is the complete head of the request with this id in the header `id_name`, and has no
    /// `Content-Length`. A pipelined head is not recorded, so this returns false for it.
    pub fn lacks_content_length(&self, id_name: &str, id: &[u8]) -> bool {
        let mut lines = self.bytes.split(|b| *b == b'\n').map(|line| line.split_at(name_length(line)));
        let named = |line: &[u8], name: &[u8]| line.trim_ascii().eq_ignore_ascii_case(name);
        let same = lines.clone().any(|(name, value)| {
            named(name, id_name.as_bytes()) && value.get(1..).is_some_and(|value| value.trim_ascii() == id)
        });
        self.complete && same && !lines.any(|(name, _)| named(name, b"content-length"))
    }
}

fn name_length(line: &[u8]) -> usize {
    line.iter().position(|b| *b == b':').unwrap_or(line.len())
}

/// Observed transport state of a client connection.
pub struct TransportState {
    /// The head of the current request.
    pub head: RefCell<RequestHead>,
    /// Since when writes have been blocked by the client; `None` if they are not. The connection is not idle
    /// meanwhile: closing it would truncate the response.
    pub blocked_since: Cell<Option<Instant>>,
    /// When bytes were last received.
    pub last_read: Cell<Option<Instant>>,
}

impl TransportState {
    /// Creates the state of a new connection; `max_head_bytes` limits the recorded head.
    pub fn new(max_head_bytes: usize) -> Self {
        let head = RefCell::new(RequestHead::new(max_head_bytes));
        TransportState { head, blocked_since: Cell::new(None), last_read: Cell::new(None) }
    }

    fn record_write<T>(&self, now: impl FnOnce() -> Instant, polled: Poll<T>) -> Poll<T> {
        let since = self.blocked_since.get();
        self.blocked_since.set(if polled.is_pending() { since.or_else(|| Some(now())) } else { None });
        polled
    }
}

/// A client stream that records its activity.
pub struct MonitoredStream<P: Platform> {
    platform: P,
    stream: P::Stream,
    state: Rc<TransportState>,
}

impl<P: Platform> MonitoredStream<P> {
    /// Wraps a stream.
    pub fn new(platform: P, stream: P::Stream, state: Rc<TransportState>) -> Self {
        MonitoredStream { platform, stream, state }
    }
}

impl<P: Platform> AsyncRead for MonitoredStream<P> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = self.platform.now();
            self.state.last_read.set(Some(now));
            self.state.head.borrow_mut().push(now, &buf.filled()[before..]);
        }
        polled
    }
}

// No field is structurally pinned.
impl<P: Platform> Unpin for MonitoredStream<P> {}

impl<P: Platform> AsyncWrite for MonitoredStream<P> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.state.record_write(|| self.platform.now(), polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.state.record_write(|| self.platform.now(), polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_BYTES: usize = 16 * 1024;

    fn lacks_content_length(text: &str) -> bool {
        let mut head = RequestHead::new(MAX_BYTES);
        // The result must not depend on how the head is split.
        text.as_bytes().chunks(3).for_each(|piece| head.push(Instant::now(), piece));
        head.lacks_content_length("request-id", b"r-1")
    }

    #[test]
    fn only_complete_heads_of_this_request_can_lack_a_length() {
        for (text, lacks_length) in [
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n", true),
            ("POST /p HTTP/1.1\nrequest-id:r-1\n\n", true),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\ncontent-LENGTH : 5\r\n\r\n", false),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-2\r\n\r\n", false),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\n", false),
            ("5\r\nhello\r\n0\r\n\r\nRequest-Id: r-1\r\n\r\n", false),
        ] {
            assert_eq!(lacks_content_length(text), lacks_length, "{text:?}");
        }
    }

    #[test]
    fn the_recorded_head_is_bounded() {
        let mut head = RequestHead::new(MAX_BYTES);
        (0..100).for_each(|_| head.push(Instant::now(), &[b'x'; 1000]));
        assert_eq!(head.bytes.len(), MAX_BYTES);
        head.reset();
        assert!(head.bytes.capacity() <= RequestHead::RESERVED_BYTES);
    }
}
