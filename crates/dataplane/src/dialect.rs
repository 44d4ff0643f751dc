//! The protocol between the gateway and its workers: how a request is written and how a response is
//! classified.

use crate::body::RequestBody;
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// A request to be sent to a worker.
pub struct Parts {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request id, unique among open requests.
    pub id: HeaderValue,
    /// Client headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
}

/// Classification of a response head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// Outcome of the attempt, as far as the head tells. On [`Outcome::Ok`] the response is forwarded to the
    /// client.
    pub outcome: Outcome,
    /// Actual cost of the request in units, if the worker reports it.
    pub true_units: Option<f64>,
}

/// The platform's headers between the gateway and its workers.
pub trait Dialect {
    /// Completes the request headers of an attempt. `headers` holds the forwarded client headers; `left` is
    /// the time within which the response is useful.
    fn write_head(&self, parts: &Parts, worker: WorkerId, left: Duration, headers: &mut HeaderMap);

    /// Classifies a response head.
    fn judge(&self, parts: &Parts, status: StatusCode, headers: &HeaderMap) -> Judgement;

    /// The headers of a successful response that are forwarded to the client.
    fn passed_on(&self, headers: &HeaderMap) -> HeaderMap;

    /// Observes the headers of every response, whatever its status.
    fn listen(&self, _worker: WorkerId, _headers: &HeaderMap) {}

    /// Whether the connection may be reused after this response.
    fn may_reuse(&self, _headers: &HeaderMap) -> bool {
        true
    }
}
