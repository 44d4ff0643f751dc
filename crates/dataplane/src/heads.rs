//! A client's connection that remembers the head of the request being read, as it came.
//!
//! The HTTP library drops a `Content-Length` that stands beside a `Transfer-Encoding` (RFC 9112, 6.3), and then
//! nothing tells whether a second request hides in the body. So heads are kept until their request is answered.

use hingestage_platform::Platform;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The head being read, bounded by what the library takes for one.
pub struct Head {
    /// The largest head kept, bytes. The library refuses larger ones.
    largest: usize,
    bytes: Vec<u8>,
    whole: bool,
    began: Option<Instant>,
}

impl Head {
    /// Space kept for the next head.
    const KEPT: usize = 1024;

    /// Nothing has come yet. Of heads over `largest` bytes the rest is not kept.
    pub fn new(largest: usize) -> Self {
        Head { largest, bytes: Vec::new(), whole: false, began: None }
    }

    /// Takes in what has come: of a head, up to its empty line.
    pub fn saw(&mut self, now: Instant, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.began.get_or_insert(now);
        }
        for byte in bytes {
            if self.whole || self.bytes.len() >= self.largest {
                return;
            }
            self.bytes.push(*byte);
            self.whole = self.bytes.ends_with(b"\r\n\r\n") || self.bytes.ends_with(b"\n\n");
        }
    }

    /// The request has been answered: what comes next is another head.
    pub fn next(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(Self::KEPT);
        (self.whole, self.began) = (false, None);
    }

    /// Since when a head is being read: none between two requests, and once it is whole.
    pub fn reading_since(&self) -> Option<Instant> {
        self.began.filter(|_| !self.whole)
    }

    /// Whether it has come whole.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Whether this is the head of a request with that id in the header `id_name`, and names no length. A head that
    /// came together with the request before it was not kept, and nothing is known of it.
    pub fn names_no_length(&self, id_name: &str, id: &[u8]) -> bool {
        let mut lines = self.bytes.split(|b| *b == b'\n').map(|line| line.split_at(colon(line)));
        let named = |line: &[u8], name: &[u8]| line.trim_ascii().eq_ignore_ascii_case(name);
        let same = lines.clone().any(|(name, value)| {
            named(name, id_name.as_bytes()) && value.get(1..).is_some_and(|value| value.trim_ascii() == id)
        });
        self.whole && same && !lines.any(|(name, _)| named(name, b"content-length"))
    }
}

fn colon(line: &[u8]) -> usize {
    line.iter().position(|b| *b == b':').unwrap_or(line.len())
}

/// What is kept of a client's connection.
pub struct Kept {
    /// The head being read.
    pub head: RefCell<Head>,
    /// Since when the client has had no room for what is written to it; none where it takes all. Until that has
    /// gone the connection does not idle, though its answer has left our hands: closing would cut off the end.
    pub blocked: Cell<Option<Instant>>,
    /// When anything last came from the client.
    pub heard: Cell<Option<Instant>>,
}

impl Kept {
    /// Nothing has come yet. `largest_head` is the largest head that is kept, bytes.
    pub fn new(largest_head: usize) -> Self {
        let head = RefCell::new(Head::new(largest_head));
        Kept { head, blocked: Cell::new(None), heard: Cell::new(None) }
    }

    fn wrote<T>(&self, now: impl FnOnce() -> Instant, polled: Poll<T>) -> Poll<T> {
        let since = self.blocked.get();
        self.blocked.set(if polled.is_pending() { since.or_else(|| Some(now())) } else { None });
        polled
    }
}

/// A connection whose heads are kept.
pub struct Headed<P: Platform> {
    platform: P,
    stream: P::Stream,
    kept: Rc<Kept>,
}

impl<P: Platform> Headed<P> {
    /// Keeps the heads that come on a connection.
    pub fn new(platform: P, stream: P::Stream, kept: Rc<Kept>) -> Self {
        Headed { platform, stream, kept }
    }
}

impl<P: Platform> AsyncRead for Headed<P> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = self.platform.now();
            self.kept.heard.set(Some(now));
            self.kept.head.borrow_mut().saw(now, &buf.filled()[before..]);
        }
        polled
    }
}

// Nothing in it is pinned in place.
impl<P: Platform> Unpin for Headed<P> {}

impl<P: Platform> AsyncWrite for Headed<P> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.kept.wrote(|| self.platform.now(), polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.kept.wrote(|| self.platform.now(), polled)
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

    const LARGEST: usize = 16 * 1024;

    fn knows(text: &str) -> bool {
        let mut head = Head::new(LARGEST);
        // Piece by piece or at once is the same.
        text.as_bytes().chunks(3).for_each(|piece| head.saw(Instant::now(), piece));
        head.names_no_length("request-id", b"r-1")
    }

    #[test]
    fn only_a_whole_head_of_this_request_without_a_length_is_trusted() {
        for (text, trusted) in [
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n", true),
            ("POST /p HTTP/1.1\nrequest-id:r-1\n\n", true),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\ncontent-LENGTH : 5\r\n\r\n", false),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-2\r\n\r\n", false),
            ("POST /p HTTP/1.1\r\nRequest-Id: r-1\r\n", false),
            ("5\r\nhello\r\n0\r\n\r\nRequest-Id: r-1\r\n\r\n", false),
        ] {
            assert_eq!(knows(text), trusted, "{text:?}");
        }
    }

    #[test]
    fn a_head_without_end_takes_no_more_than_its_bound() {
        let mut head = Head::new(LARGEST);
        (0..100).for_each(|_| head.saw(Instant::now(), &[b'x'; 1000]));
        assert_eq!(head.bytes.len(), LARGEST);
        head.next();
        assert!(head.bytes.capacity() <= Head::KEPT);
    }
}
