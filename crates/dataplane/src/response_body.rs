//! Response bodies on their way to clients: buffered, or streamed from the worker.

use crate::body::{poll_buffered, BodySource, PolledFrame};
use crate::client::Client;
use crate::driver::{Driver, Ticket};
use crate::workers::{PartialResponse, WorkerResponseBody};
use bytes::Bytes;
use hingestage_lifecycle::RequestResult;
use hingestage_platform::Platform;
use hingestage_policy::ClassId;
use http_body_util::Full;
use hyper::body::{Body, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The body of a response to a client.
pub enum ResponseBody<P: Platform> {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A body streamed from a worker.
    Streamed(Box<StreamedResponse<P>>),
}

impl<P: Platform> ResponseBody<P> {
    /// Creates the body of a worker's successful response. A streamed body holds the ticket until it ends.
    pub fn served(
        driver: Rc<Driver<P>>,
        client: Rc<Client>,
        class: ClassId,
        ticket: Ticket<P>,
        body: WorkerResponseBody<P::Stream>,
    ) -> Self {
        match body {
            WorkerResponseBody::Buffered(bytes) => ResponseBody::Buffered(Full::new(bytes)),
            WorkerResponseBody::Streamed(rest) => {
                client.streaming.set(true);
                client.record_progress(driver.platform.now());
                ResponseBody::Streamed(Box::new(StreamedResponse::new(driver, client, class, ticket, *rest)))
            }
        }
    }
}

/// A response streamed from a worker. If dropped early, the client detects the truncation by the missing
/// length or last chunk.
pub struct StreamedResponse<P: Platform> {
    driver: Rc<Driver<P>>,
    client: Rc<Client>,
    class: ClassId,
    /// Keeps the request open for as long as the response is streaming.
    _ticket: Ticket<P>,
    /// `None` once the response has ended.
    rest: Option<PartialResponse<P::Stream>>,
}

impl<P: Platform> StreamedResponse<P> {
    /// Creates a response of which nothing has been forwarded.
    pub fn new(
        driver: Rc<Driver<P>>,
        client: Rc<Client>,
        class: ClassId,
        ticket: Ticket<P>,
        rest: PartialResponse<P::Stream>,
    ) -> Self {
        StreamedResponse { driver, client, class, _ticket: ticket, rest: Some(rest) }
    }

    /// Counts the request and returns the worker connection to its pool.
    fn finish(&mut self) {
        let Some(rest) = self.rest.take() else { return };
        self.driver.metrics.borrow_mut().record_request(self.class.0, RequestResult::Served);
        let (driver, worker) = (self.driver.clone(), rest.worker);
        self.driver.platform.spawn(async move { driver.workers.release(worker, rest.into_result()).await });
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<PolledFrame> {
        let Some(rest) = self.rest.as_mut() else { return Poll::Ready(None) };
        let (frame, complete) = ready!(rest.source.poll(cx));
        if matches!(frame, Some(Ok(_))) {
            self.client.record_progress(self.driver.platform.now());
        }
        if complete {
            self.finish();
        } else if matches!(frame, Some(Err(_))) {
            self.driver.metrics.borrow_mut().record_request(self.class.0, RequestResult::Failed);
            self.rest = None;
        }
        Poll::Ready(frame)
    }
}

impl<P: Platform> Drop for StreamedResponse<P> {
    fn drop(&mut self) {
        self.client.record_answer(self.driver.platform.now());
    }
}

impl<P: Platform> Body for ResponseBody<P> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<PolledFrame> {
        match self.get_mut() {
            ResponseBody::Buffered(buffered) => poll_buffered(buffered, cx),
            ResponseBody::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(buffered) => buffered.is_end_stream(),
            ResponseBody::Streamed(streamed) => streamed.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(buffered) => buffered.size_hint(),
            ResponseBody::Streamed(streamed) => streamed
                .rest
                .as_ref()
                .map_or_else(SizeHint::default, |rest| BodySource::size_hint(&rest.source)),
        }
    }
}

// No field is structurally pinned.
impl<P: Platform> Unpin for ResponseBody<P> {}
