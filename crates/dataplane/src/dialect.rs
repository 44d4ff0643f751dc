//! The words of a platform: what is written to a worker, and what its answers mean.

use crate::body::RequestBody;
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// What goes on to a worker.
pub struct Parts {
    /// The request's method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The id of the request. No two open requests have the same.
    pub id: HeaderValue,
    /// The client's headers that go on unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// How the attempt ended, as far as the head tells. [`Outcome::Ok`] makes the answer one for the client.
    pub outcome: Outcome,
    /// The true units of the request, where the worker told them.
    pub true_units: Option<f64>,
}

/// The headers of a platform between gateway and workers.
pub trait Dialect {
    /// Completes the head of an attempt. `headers` holds what goes on from the client; `left` is the time within
    /// which the worker's answer is of use.
    fn write_head(&self, parts: &Parts, worker: WorkerId, left: Duration, headers: &mut HeaderMap);

    /// Tells what the head of an answer means.
    fn judge(&self, parts: &Parts, status: StatusCode, headers: &HeaderMap) -> Judgement;

    /// The headers of a good answer that go to the client.
    fn passed_on(&self, headers: &HeaderMap) -> HeaderMap;

    /// Sees the head of every answer of a worker, whatever its status.
    fn listen(&self, _worker: WorkerId, _headers: &HeaderMap) {}

    /// Whether the connection that the answer came on may serve again, as far as the dialect is concerned.
    fn may_reuse(&self, _headers: &HeaderMap) -> bool {
        true
    }
}
