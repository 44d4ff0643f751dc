//! The headers of the relay platform: `Request-Id`, `Request-Timeout`, `Not-Started`, `X-Cost-Units`.

use crate::decimal;
use hingestage_dataplane::protocol::{Classification, RequestParts, WorkerProtocol};
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::StatusCode;
use std::time::Duration;

/// Host name in requests to workers.
const WORKER_HOST: &str = "backend.local";
/// Identifies a request, both from clients and to workers.
pub const REQUEST_ID: &str = "request-id";
/// Seconds left until the response is useless, both from clients and to workers.
pub const REQUEST_TIMEOUT: &str = "request-timeout";
/// Set to `1` by a worker that refused a request before running any of it.
const NOT_STARTED: &str = "not-started";
/// The actual cost of a request that ran, in units.
const COST_UNITS: &str = "x-cost-units";

/// The dialect of the relay platform.
pub struct RelayDialect;

impl WorkerProtocol for RelayDialect {
    fn write_head(&self, parts: &RequestParts, _worker: WorkerId, left: Duration, headers: &mut HeaderMap) {
        let passed = std::mem::take(headers);
        headers.insert(HOST, HeaderValue::from_static(WORKER_HOST));
        headers.insert(REQUEST_ID, parts.id.clone());
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
            headers.insert(REQUEST_TIMEOUT, value);
        }
        headers.extend(passed);
    }

    fn classify(&self, _parts: &RequestParts, status: StatusCode, headers: &HeaderMap) -> Classification {
        let not_started = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
        let outcome = match status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => Outcome::Full,
            // Without `Not-Started` the request may have run.
            _ => Outcome::Error,
        };
        let cost = headers.get(COST_UNITS).filter(|_| outcome == Outcome::Ok);
        let true_units = cost.and_then(|value| decimal(value.to_str().ok()?));
        Classification { outcome, true_units }
    }

    fn client_headers(&self, headers: &HeaderMap) -> HeaderMap {
        content_type(headers)
    }
}

/// The `Content-Type` of these headers, the only one that is passed through.
pub fn content_type(headers: &HeaderMap) -> HeaderMap {
    headers.get(CONTENT_TYPE).map(|value| (CONTENT_TYPE, value.clone())).into_iter().collect()
}
