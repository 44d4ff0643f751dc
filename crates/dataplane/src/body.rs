//! Bodies: short ones are held whole, long ones pass through piece by piece, so that a gateway's memory does not
//! go by what its clients and workers send.

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

/// The longest that is held whole in any case, bytes; each attempt can send it anew.
pub const HELD: usize = 64 * 1024;
/// How long the rest of a body is read for nothing, so that its client can read why it was turned away.
const WASTED: Duration = Duration::from_secs(5);

/// How long a request's body may be, and how slowly it may come.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The longest body, bytes.
    pub longest: u64,
    /// How long a body may keep its reader waiting for the next piece.
    pub piece_timeout: Duration,
    /// Bytes a second that a client must keep up with, once it has had `piece_timeout`.
    pub slowest: f64,
}

/// Pieces of a body, joined. Most bodies come in one, which is not copied.
#[derive(Default)]
pub struct Joined {
    first: Bytes,
    more: BytesMut,
}

impl Joined {
    /// Takes the next piece in.
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

    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.first.len().max(self.more.len())
    }

    /// Whether nothing has come.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// All that has come.
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
    /// Held whole.
    Whole(Bytes),
    /// Passing through.
    Flow(Rc<Flow>),
}

impl RequestBody {
    /// Bytes of it that a worker must have at the least before it has all.
    pub fn passed(&self) -> u64 {
        match self {
            RequestBody::Whole(bytes) => bytes.len() as u64,
            RequestBody::Flow(flow) => flow.passed.get(),
        }
    }

    /// Whether all of it has been handed on, and so whether `passed` is its length.
    pub fn over(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Flow(flow) => flow.over.get(),
        }
    }

    /// The side that the HTTP library reads; none where a long body has gone to an earlier attempt.
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

/// The next piece of a body; none after the last.
pub type Piece = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What has been read of a long body and not handed on, and where the rest comes from.
pub struct Source {
    begun: Bytes,
    rest: Incoming,
    /// All of its bytes, where that has been said, and those handed on.
    length: Option<u64>,
    passed: u64,
}

impl Source {
    /// A body of which `begun` has been read.
    pub fn new(begun: Bytes, rest: Incoming, length: Option<u64>) -> Self {
        Source { begun, rest, length, passed: 0 }
    }

    /// What is to come, as far as it has been said.
    pub fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n.saturating_sub(self.passed)))
    }

    /// The next piece, and whether it is the last.
    pub fn poll(&mut self, cx: &mut Context) -> Poll<(Piece, bool)> {
        let frame = match self.begun.is_empty() {
            true => ready!(Pin::new(&mut self.rest).poll_frame(cx)),
            false => Some(Ok(Frame::data(std::mem::take(&mut self.begun)))),
        };
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        self.passed += data.map_or(0, Bytes::len) as u64;
        let over = match &frame {
            None => true,
            Some(frame) => frame.is_ok() && self.rest.is_end_stream(),
        };
        Poll::Ready((frame, over))
    }
}

/// A whole body, whose pieces can't fail, where a long one's can.
pub fn poll_whole(whole: &mut Full<Bytes>, cx: &mut Context) -> Poll<Piece> {
    Pin::new(whole).poll_frame(cx).map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
}

/// A long body that passes through once.
pub struct Flow {
    source: RefCell<Option<Source>>,
    length: Option<u64>,
    /// Bytes handed on, also while the source is.
    passed: Cell<u64>,
    over: Cell<bool>,
    /// Told when it is over, and when what remains of it has been given back.
    changed: Notify,
    limits: BodyLimits,
    /// How long its client waits for the answer, from its last byte on.
    pub patience: Duration,
}

impl Flow {
    /// A body of which `begun` has been read.
    pub fn new(
        begun: Bytes,
        rest: Incoming,
        length: Option<u64>,
        patience: Duration,
        limits: BodyLimits,
    ) -> Rc<Self> {
        let source = RefCell::new(Some(Source::new(begun, rest, length)));
        let (passed, over) = (Cell::new(0), Cell::new(false));
        Rc::new(Flow { source, length, passed, over, changed: Notify::new(), limits, patience })
    }

    /// The longest that it may take to come whole.
    pub fn longest(&self) -> Duration {
        let BodyLimits { longest, piece_timeout, slowest } = self.limits;
        let left = self.length.unwrap_or(longest).min(longest) as f64;
        piece_timeout + Duration::from_secs_f64(left / slowest)
    }

    /// Ends once it is over: true; or once its client has sent nothing for long: false.
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

    /// Reads what remains for nothing: a client that is still sending reads no answer, and closing on it would
    /// throw away the one that it is owed.
    pub async fn waste(self: Rc<Self>, platform: impl Platform) {
        let until = platform.now() + WASTED;
        let mut taken = None;
        while taken.is_none() && !self.over.get() {
            taken = self.source.borrow_mut().take();
            if taken.is_none() && platform.timeout_at(until, self.changed.notified()).await.is_err() {
                return;
            }
        }
        let Some(mut source) = taken else { return };
        let mut wasted = 0;
        while let Ok(Some(Ok(frame))) = platform.timeout_at(until, source.rest.frame()).await {
            wasted += frame.data_ref().map_or(0, Bytes::len) as u64;
            if wasted > self.limits.longest {
                return;
            }
        }
    }
}

/// A request's body as it goes on to a worker.
pub enum Passing {
    /// Held whole.
    Whole(Full<Bytes>),
    /// What passes through.
    Flow {
        /// Where it comes from.
        source: Option<Source>,
        /// What is known of it.
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
