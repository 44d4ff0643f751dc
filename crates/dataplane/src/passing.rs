//! Response bodies on their way to clients: buffered, or streamed from the worker.

use crate::body::{poll_whole, Piece, Source};
use crate::client::Client;
use crate::driver::{Driver, Ticket};
use crate::workers::{Rest, ServedBody};
use bytes::Bytes;
use hingestage_operate::Ending;
use hingestage_platform::Platform;
use hingestage_policy::ClassId;
use http_body_util::Full;
use hyper::body::{Body, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The body of a response to a client.
pub enum Written<P: Platform> {
    /// A buffered body.
    Whole(Full<Bytes>),
    /// A body streamed from a worker.
    Flow(Box<Passed<P>>),
}

impl<P: Platform> Written<P> {
    /// Creates the body of a worker's successful response. A streamed body holds the ticket until it ends.
    pub fn served(
        driver: Rc<Driver<P>>,
        client: Rc<Client>,
        class: ClassId,
        ticket: Ticket<P>,
        body: ServedBody<P::Stream>,
    ) -> Self {
        match body {
            ServedBody::Whole(bytes) => Written::Whole(Full::new(bytes)),
            ServedBody::Flow(rest) => {
                client.flows.set(true);
                client.moves(driver.platform.now());
                Written::Flow(Box::new(Passed::new(driver, client, class, ticket, *rest)))
            }
        }
    }
}

/// A response streamed from a worker. If dropped early, the client detects the truncation by the missing
/// length or last chunk.
pub struct Passed<P: Platform> {
    driver: Rc<Driver<P>>,
    client: Rc<Client>,
    class: ClassId,
    /// Keeps the request open for as long as the response is streaming.
    _ticket: Ticket<P>,
    /// `None` once the response has ended.
    rest: Option<Rest<P::Stream>>,
}

impl<P: Platform> Passed<P> {
    /// Creates a response of which nothing has been forwarded.
    pub fn new(
        driver: Rc<Driver<P>>,
        client: Rc<Client>,
        class: ClassId,
        ticket: Ticket<P>,
        rest: Rest<P::Stream>,
    ) -> Self {
        Passed { driver, client, class, _ticket: ticket, rest: Some(rest) }
    }

    /// Counts the request and returns the worker connection to its pool.
    fn finish(&mut self) {
        let Some(rest) = self.rest.take() else { return };
        self.driver.figures.borrow_mut().ended(self.class.0, Ending::Served);
        let (driver, worker) = (self.driver.clone(), rest.worker);
        self.driver.platform.spawn(async move { driver.workers.give_back(worker, rest.over()).await });
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Piece> {
        let Some(rest) = self.rest.as_mut() else { return Poll::Ready(None) };
        let (frame, complete) = ready!(rest.source.poll(cx));
        if matches!(frame, Some(Ok(_))) {
            self.client.moves(self.driver.platform.now());
        }
        if complete {
            self.finish();
        } else if matches!(frame, Some(Err(_))) {
            self.driver.figures.borrow_mut().ended(self.class.0, Ending::Failed);
            self.rest = None;
        }
        Poll::Ready(frame)
    }
}

impl<P: Platform> Drop for Passed<P> {
    fn drop(&mut self) {
        self.client.answered(self.driver.platform.now());
    }
}

impl<P: Platform> Body for Written<P> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Piece> {
        match self.get_mut() {
            Written::Whole(whole) => poll_whole(whole, cx),
            Written::Flow(passed) => passed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Written::Whole(whole) => whole.is_end_stream(),
            Written::Flow(passed) => passed.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Written::Whole(whole) => whole.size_hint(),
            Written::Flow(passed) => {
                passed.rest.as_ref().map_or_else(SizeHint::default, |rest| Source::size_hint(&rest.source))
            }
        }
    }
}

// No field is structurally pinned.
impl<P: Platform> Unpin for Written<P> {}
