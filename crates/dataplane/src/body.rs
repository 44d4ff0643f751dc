//! Request and response bodies. Short bodies are buffered, long ones are streamed, so that memory use does
//! not depend on the sizes that clients and workers send.

use bytes::{Bytes, BytesMut};
use hingestage_platform::Platform;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;

/// Bodies up to this size are always buffered whole, bytes. A buffered body can be sent again on a retry.
pub const BUFFERED_MAX: usize = 64 * 1024;
/// How long the unread rest of a rejected request is discarded, so that its client gets to read the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on the size and the pace of request bodies.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length of a body, bytes.
    pub max_bytes: u64,
    /// Maximum time between two chunks of a body.
    pub chunk_timeout: Duration,
    /// Minimum average rate after the first `chunk_timeout`, bytes per second.
    pub min_bytes_per_s: f64,
}

/// Concatenates the chunks of a body. A body that arrives in one chunk is not copied.
#[derive(Default)]
pub struct ChunkBuffer {
    first: Bytes,
    more: BytesMut,
}

impl ChunkBuffer {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.more.is_empty() {
            self.more.extend_from_slice(&self.first);
        }
        self.more.extend_from_slice(&chunk);
    }

    /// Bytes received so far.
    pub fn len(&self) -> usize {
        self.first.len().max(self.more.len())
    }

    /// Whether no bytes have been received.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// Returns the concatenated bytes.
    pub fn into_bytes(self) -> Bytes {
        if self.more.is_empty() {
            self.first
        } else {
            self.more.freeze()
        }
    }
}

/// A request's body.
pub enum RequestBody {
    /// Buffered in memory; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed from the client; can be sent once.
    Streamed(Rc<StreamedBody>),
}

impl RequestBody {
    /// Bytes forwarded so far; the whole length for a buffered body.
    pub fn forwarded(&self) -> u64 {
        match self {
            RequestBody::Buffered(bytes) => bytes.len() as u64,
            RequestBody::Streamed(body) => body.forwarded.get(),
        }
    }

    /// Whether the whole body has been forwarded.
    pub fn is_complete(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => true,
            RequestBody::Streamed(body) => body.complete.get(),
        }
    }

    /// The body for one attempt, or `None` if part of a streamed body has already gone to an earlier attempt.
    pub fn outgoing(&self) -> Option<OutgoingBody> {
        match self {
            RequestBody::Buffered(bytes) => Some(OutgoingBody::Buffered(Full::new(bytes.clone()))),
            RequestBody::Streamed(body) => {
                let source = body.source.borrow_mut().take().filter(|_| body.forwarded.get() == 0);
                source.map(|source| OutgoingBody::Streamed { source: Some(source), body: body.clone() })
            }
        }
    }
}

/// A polled frame of a body; `None` after the last one.
pub type PolledFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A streamed body: the prefix that was read but not yet forwarded, and the remaining input.
pub struct BodySource {
    prefix: Bytes,
    input: Incoming,
    /// Declared length, if any, bytes.
    length: Option<u64>,
    forwarded: u64,
}

impl BodySource {
    /// Creates a source whose first bytes, `prefix`, have already been read.
    pub fn new(prefix: Bytes, input: Incoming, length: Option<u64>) -> Self {
        BodySource { prefix, input, length, forwarded: 0 }
    }

    /// Number of bytes left, if the length is declared.
    pub fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n.saturating_sub(self.forwarded)))
    }

    /// Polls for the next frame. The flag tells whether the body ends with it.
    pub fn poll(&mut self, cx: &mut Context) -> Poll<(PolledFrame, bool)> {
        let frame = match self.prefix.is_empty() {
            true => ready!(Pin::new(&mut self.input).poll_frame(cx)),
            false => Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))),
        };
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        self.forwarded += data.map_or(0, Bytes::len) as u64;
        let complete = match &frame {
            None => true,
            Some(frame) => frame.is_ok() && self.input.is_end_stream(),
        };
        Poll::Ready((frame, complete))
    }
}

/// Polls a buffered body, whose error type is uninhabited, with the error type of streamed ones.
pub fn poll_buffered(body: &mut Full<Bytes>, cx: &mut Context) -> Poll<PolledFrame> {
    Pin::new(body).poll_frame(cx).map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
}

/// State of a streamed request body, shared by its reader and the attempt that sends it.
pub struct StreamedBody {
    source: RefCell<Option<BodySource>>,
    length: Option<u64>,
    /// Bytes forwarded, also while an attempt holds the source.
    forwarded: Cell<u64>,
    complete: Cell<bool>,
    /// Notified on each forwarded frame and when an attempt returns the source.
    changed: Notify,
    limits: BodyLimits,
    /// How long the client waits for the answer after the last byte of its request.
    pub answer_timeout: Duration,
}

impl StreamedBody {
    /// Creates a body whose first bytes, `prefix`, have already been read.
    pub fn new(
        prefix: Bytes,
        input: Incoming,
        length: Option<u64>,
        answer_timeout: Duration,
        limits: BodyLimits,
    ) -> Rc<Self> {
        let source = RefCell::new(Some(BodySource::new(prefix, input, length)));
        let (forwarded, complete) = (Cell::new(0), Cell::new(false));
        Rc::new(StreamedBody {
            source,
            length,
            forwarded,
            complete,
            changed: Notify::new(),
            limits,
            answer_timeout,
        })
    }

    /// Upper bound on the time the whole body may take to arrive.
    pub fn max_duration(&self) -> Duration {
        let BodyLimits { max_bytes, chunk_timeout, min_bytes_per_s } = self.limits;
        let left = self.length.unwrap_or(max_bytes).min(max_bytes) as f64;
        chunk_timeout + Duration::from_secs_f64(left / min_bytes_per_s)
    }

    /// Waits until the whole body has been forwarded. Returns false if the client stalls.
    pub async fn wait_until_sent(&self, platform: &impl Platform) -> bool {
        loop {
            let before = self.forwarded.get();
            if self.complete.get() {
                return true;
            }
            let waited = platform.timeout(2 * self.limits.chunk_timeout, self.changed.notified()).await;
            if waited.is_err() && self.forwarded.get() == before {
                return false;
            }
        }
    }

    /// Reads and discards the rest of the body. A client that is still sending does not read the answer, and
    /// closing the connection would reset it before the answer arrives.
    pub async fn discard_rest(self: Rc<Self>, platform: impl Platform) {
        let until = platform.now() + DISCARD_TIMEOUT;
        let mut taken = None;
        while taken.is_none() && !self.complete.get() {
            taken = self.source.borrow_mut().take();
            if taken.is_none() && platform.timeout_at(until, self.changed.notified()).await.is_err() {
                return;
            }
        }
        let Some(mut source) = taken else { return };
        let mut discarded = 0;
        while let Ok(Some(Ok(frame))) = platform.timeout_at(until, source.input.frame()).await {
            discarded += frame.data_ref().map_or(0, Bytes::len) as u64;
            if discarded > self.limits.max_bytes {
                return;
            }
        }
    }
}

/// A request body as sent to a worker.
pub enum OutgoingBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A streamed body.
    Streamed {
        /// The input; returned to `body` on drop.
        source: Option<BodySource>,
        /// The shared state.
        body: Rc<StreamedBody>,
    },
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<PolledFrame> {
        match self.get_mut() {
            OutgoingBody::Buffered(body) => poll_buffered(body, cx),
            OutgoingBody::Streamed { source: None, .. } => Poll::Ready(None),
            OutgoingBody::Streamed { source: Some(source), body } => {
                let (frame, complete) = ready!(source.poll(cx));
                body.forwarded.set(source.forwarded);
                body.complete.set(complete);
                body.changed.notify_waiters();
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(body) => body.is_end_stream(),
            OutgoingBody::Streamed { body, source } => source.is_none() || body.complete.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(body) => body.size_hint(),
            OutgoingBody::Streamed { source, .. } => {
                source.as_ref().map_or_else(SizeHint::default, BodySource::size_hint)
            }
        }
    }
}

impl Drop for OutgoingBody {
    fn drop(&mut self) {
        if let OutgoingBody::Streamed { source, body } = self {
            *body.source.borrow_mut() = source.take();
            body.changed.notify_waiters();
        }
    }
}
