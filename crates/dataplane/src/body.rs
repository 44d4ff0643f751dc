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
pub const HELD: usize = 64 * 1024;
/// How long the unread rest of a rejected request is discarded, so that its client gets to read the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on the size and the pace of request bodies.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length of a body, bytes.
    pub longest: u64,
    /// Maximum time between two chunks of a body.
    pub piece_timeout: Duration,
    /// Minimum average rate after the first `chunk_timeout`, bytes per second.
    pub slowest: f64,
}

/// Concatenates the chunks of a body. A body that arrives in one chunk is not copied.
#[derive(Default)]
pub struct Joined {
    first: Bytes,
    more: BytesMut,
}

impl Joined {
    /// Appends a chunk.
    pub fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.more.is_empty() {
            self.more.extend_from_slice(&self.first);
        }
        self.more.extend_from_slice(&piece);
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
    pub fn whole(self) -> Bytes {
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
    Whole(Bytes),
    /// Streamed from the client; can be sent once.
    Flow(Rc<Flow>),
}

impl RequestBody {
    /// Bytes forwarded so far; the whole length for a buffered body.
    pub fn passed(&self) -> u64 {
        match self {
            RequestBody::Whole(bytes) => bytes.len() as u64,
            RequestBody::Flow(flow) => flow.passed.get(),
        }
    }

    /// Whether the whole body has been forwarded.
    pub fn over(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Flow(flow) => flow.over.get(),
        }
    }

    /// The body for one attempt, or `None` if part of a streamed body has already gone to an earlier attempt.
    pub fn open(&self) -> Option<Passing> {
        match self {
            RequestBody::Whole(bytes) => Some(Passing::Whole(Full::new(bytes.clone()))),
            RequestBody::Flow(flow) => {
                let source = flow.source.borrow_mut().take().filter(|_| flow.passed.get() == 0);
                source.map(|source| Passing::Flow { source: Some(source), flow: flow.clone() })
            }
        }
    }
}

/// A polled frame of a body; `None` after the last one.
pub type Piece = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A streamed body: the prefix that was read but not yet forwarded, and the remaining input.
pub struct Source {
    prefix: Bytes,
    input: Incoming,
    /// Declared length, if any, bytes.
    length: Option<u64>,
    passed: u64,
}

impl Source {
    /// Creates a source whose first bytes, `prefix`, have already been read.
    pub fn new(prefix: Bytes, input: Incoming, length: Option<u64>) -> Self {
        Source { prefix, input, length, passed: 0 }
    }

    /// Number of bytes left, if the length is declared.
    pub fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n.saturating_sub(self.passed)))
    }

    /// Polls for the next frame. The flag tells whether the body ends with it.
    pub fn poll(&mut self, cx: &mut Context) -> Poll<(Piece, bool)> {
        let frame = match self.prefix.is_empty() {
            true => ready!(Pin::new(&mut self.input).poll_frame(cx)),
            false => Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))),
        };
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        self.passed += data.map_or(0, Bytes::len) as u64;
        let over = match &frame {
            None => true,
            Some(frame) => frame.is_ok() && self.input.is_end_stream(),
        };
        Poll::Ready((frame, over))
    }
}

/// Polls a buffered body, whose error type is uninhabited, with the error type of streamed ones.
pub fn poll_whole(whole: &mut Full<Bytes>, cx: &mut Context) -> Poll<Piece> {
    Pin::new(whole).poll_frame(cx).map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
}

/// State of a streamed request body, shared by its reader and the attempt that sends it.
pub struct Flow {
    source: RefCell<Option<Source>>,
    length: Option<u64>,
    /// Bytes forwarded, also while an attempt holds the source.
    passed: Cell<u64>,
    over: Cell<bool>,
    /// Notified on each forwarded frame and when an attempt returns the source.
    changed: Notify,
    limits: BodyLimits,
    /// How long the client waits for the answer after the last byte of its request.
    pub patience: Duration,
}

impl Flow {
    /// Creates a body whose first bytes, `prefix`, have already been read.
    pub fn new(
        prefix: Bytes,
        input: Incoming,
        length: Option<u64>,
        patience: Duration,
        limits: BodyLimits,
    ) -> Rc<Self> {
        let source = RefCell::new(Some(Source::new(prefix, input, length)));
        let (passed, over) = (Cell::new(0), Cell::new(false));
        Rc::new(Flow { source, length, passed, over, changed: Notify::new(), limits, patience })
    }

    /// Upper bound on the time the whole body may take to arrive.
    pub fn longest(&self) -> Duration {
        let BodyLimits { longest, piece_timeout, slowest } = self.limits;
        let left = self.length.unwrap_or(longest).min(longest) as f64;
        piece_timeout + Duration::from_secs_f64(left / slowest)
    }

    /// Waits until the whole body has been forwarded. Returns false if the client stalls.
    pub async fn ends(&self, platform: &impl Platform) -> bool {
        loop {
            let before = self.passed.get();
            if self.over.get() {
                return true;
            }
            let waited = platform.timeout(2 * self.limits.piece_timeout, self.changed.notified()).await;
            if waited.is_err() && self.passed.get() == before {
                return false;
            }
        }
    }

    /// Reads and discards the rest of the body. A client that is still sending does not read the answer, and
    /// closing the connection would reset it before the answer arrives.
    pub async fn waste(self: Rc<Self>, platform: impl Platform) {
        let until = platform.now() + DISCARD_TIMEOUT;
        let mut taken = None;
        while taken.is_none() && !self.over.get() {
            taken = self.source.borrow_mut().take();
            if taken.is_none() && platform.timeout_at(until, self.changed.notified()).await.is_err() {
                return;
            }
        }
        let Some(mut source) = taken else { return };
        let mut discarded = 0;
        while let Ok(Some(Ok(frame))) = platform.timeout_at(until, source.input.frame()).await {
            discarded += frame.data_ref().map_or(0, Bytes::len) as u64;
            if discarded > self.limits.longest {
                return;
            }
        }
    }
}

/// A request body as sent to a worker.
pub enum Passing {
    /// A buffered body.
    Whole(Full<Bytes>),
    /// A streamed body.
    Flow {
        /// The input; returned to `body` on drop.
        source: Option<Source>,
        /// The shared state.
        flow: Rc<Flow>,
    },
}

impl Body for Passing {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Piece> {
        match self.get_mut() {
            Passing::Whole(whole) => poll_whole(whole, cx),
            Passing::Flow { source: None, .. } => Poll::Ready(None),
            Passing::Flow { source: Some(source), flow } => {
                let (frame, over) = ready!(source.poll(cx));
                flow.passed.set(source.passed);
                flow.over.set(over);
                flow.changed.notify_waiters();
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Passing::Whole(whole) => whole.is_end_stream(),
            Passing::Flow { flow, source } => source.is_none() || flow.over.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Passing::Whole(whole) => whole.size_hint(),
            Passing::Flow { source, .. } => source.as_ref().map_or_else(SizeHint::default, Source::size_hint),
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if let Passing::Flow { source, flow } = self {
            *flow.source.borrow_mut() = source.take();
            flow.changed.notify_waiters();
        }
    }
}
