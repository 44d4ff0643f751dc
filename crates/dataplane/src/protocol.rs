//! The protocol between the gateway and its workers: how a request is written and how a response is
//! classified.

use crate::body::RequestBody;
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// A request to be sent to a worker.
pub struct RequestParts {
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
pub struct Classification {
    /// Outcome of the attempt, as far as the head tells. On [`Outcome::Ok`] the response is forwarded to the
    /// client.
    pub outcome: Outcome,
    /// Actual cost of the request in units, if the worker reports it.
    pub true_units: Option<f64>,
}

/// The platform's headers between the gateway and its workers.
pub trait WorkerProtocol {
    /// Completes the request headers of an attempt. `headers` holds the forwarded client headers; `left` is
    /// the time within which the response is useful.
    fn write_head(&self, parts: &RequestParts, worker: WorkerId, left: Duration, headers: &mut HeaderMap);

    /// Classifies a response head.
    fn classify(&self, parts: &RequestParts, status: StatusCode, headers: &HeaderMap) -> Classification;

    /// The headers of a successful response that are forwarded to the client.
    fn client_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Observes the headers of every response, whatever its status.
    fn observe_headers(&self, _worker: WorkerId, _headers: &HeaderMap) {}

    /// Whether the connection may be reused after this response.
    fn may_reuse(&self, _headers: &HeaderMap) -> bool {
        true
    }
}
