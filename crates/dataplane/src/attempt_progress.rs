//! Progress of an attempt: whether its request may have been received, and whether its response has stalled.

use crate::body::OutgoingBody;
use crate::protocol::RequestParts;
use crate::tracked_connection::TrackedConnection;
use hingestage_platform::{Platform, Stream};
use hingestage_policy::Outcome;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause within a response after which it counts as stalled. Workers are on the same network, and even a slow one
/// mostly keeps writing.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Progress of an attempt, for cancelling it.
pub struct AttemptProgress<S> {
    started: RefCell<Option<StartedRequest<S>>>,
    /// Whether the response has begun and makes no progress.
    stalled: Cell<bool>,
    /// Called when `stalled` changes.
    on_stall: Box<dyn Fn(bool)>,
}

/// A request being written to a connection.
struct StartedRequest<S> {
    handle: Rc<TrackedConnection<S>>,
    before: u64,
    parts: Rc<RequestParts>,
}

impl<S: Stream> StartedRequest<S> {
    /// Whether the worker may have received the whole request: the body is sent, and at least part of a head
    /// before it.
    fn may_be_received(&self) -> bool {
        self.parts.body.is_complete()
            && self.handle.bytes_written() > self.before + self.parts.body.forwarded()
    }
}

impl<S> Default for AttemptProgress<S> {
    fn default() -> Self {
        AttemptProgress::new(|_| {})
    }
}

impl<S> AttemptProgress<S> {
    /// The progress of an attempt that has not begun. `on_stall` is called when its response stalls, and when it
    /// goes on.
    pub fn new(on_stall: impl Fn(bool) + 'static) -> Self {
        AttemptProgress {
            started: RefCell::new(None),
            stalled: Cell::new(false),
            on_stall: Box::new(on_stall),
        }
    }

    /// Records whether the response has stalled; returns whether that is new.
    pub(crate) fn set_stalled(&self, stalled: bool) -> bool {
        let changed = self.stalled.replace(stalled) != stalled;
        if changed {
            (self.on_stall)(stalled);
        }
        changed
    }
}

impl<S: Stream> AttemptProgress<S> {
    /// Whether the attempt still waits for a connection.
    pub fn awaits_connection(&self) -> bool {
        self.started.borrow().is_none()
    }

    /// Whether the worker may have received the whole request.
    pub fn may_be_received(&self) -> bool {
        self.started.borrow().as_ref().is_some_and(StartedRequest::may_be_received)
    }

    /// Closes the attempt's connection and returns whether the worker may have received the whole request.
    pub fn abort(&self) -> bool {
        self.started.borrow_mut().take().is_some_and(|started| {
            started.handle.close();
            started.may_be_received()
        })
    }

    /// Closes the attempt's connection and returns the attempt's outcome.
    pub fn cancel(&self) -> Outcome {
        match (self.abort(), self.stalled.get()) {
            (false, _) => Outcome::NotSent,
            (true, false) => Outcome::Cancelled,
            (true, true) => Outcome::Unusable,
        }
    }

    /// Records that the request may be written from now on.
    pub(crate) fn start(&self, handle: &Rc<TrackedConnection<S>>, used: bool, parts: &Rc<RequestParts>) {
        let (handle, before, parts) = (handle.clone(), handle.bytes_written(), parts.clone());
        if used {
            handle.fail_on_pending_input();
        }
        *self.started.borrow_mut() = Some(StartedRequest { handle, before, parts });
    }
}

/// Counts the interim responses (1xx) to a request.
pub(crate) fn count_interim_responses(request: &mut Request<OutgoingBody>) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    hyper::ext::on_informational(request, move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
    });
    count
}

/// Reports when a response that has started, past `mark` bytes, makes no progress, and when it goes on. Interim
/// responses don't count as a start.
pub(crate) async fn watch_progress<P: Platform>(
    platform: &P,
    handle: &TrackedConnection<P::Stream>,
    mut mark: u64,
    interim: &AtomicUsize,
    first_byte_at: &Cell<Option<Instant>>,
    report: impl Fn(bool),
) -> Infallible {
    let (mut interim_seen, mut stalled) = (0, false);
    loop {
        handle.read_past(mark).await;
        if !stalled {
            first_byte_at.set(Some(platform.now()));
        }
        report(false);
        while handle.bytes_read() > mark {
            mark = handle.bytes_read();
            platform.sleep(STALL_TIMEOUT).await;
        }
        let seen = interim.load(Ordering::Relaxed);
        stalled = seen == interim_seen;
        interim_seen = seen;
        report(stalled);
    }
}
