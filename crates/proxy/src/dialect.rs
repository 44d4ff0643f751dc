//! HTTP headers exchanged with workers, and how worker responses are classified.

use compact_str::CompactString;
use hingestage_dataplane::dialect::{Dialect, Judgement, Parts};
use hingestage_policy::{Outcome, WorkerId};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING,
};
use hyper::StatusCode;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies one attempt of a client.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-hingestage-attempt-id");
/// Remaining time, milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-hingestage-deadline-ms");
/// Name of the tenant; set by the proxy, never accepted from clients.
pub const TENANT: HeaderName = HeaderName::from_static("x-hingestage-tenant");
/// The client's API key.
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// Id of the addressed worker; any other worker refuses the request.
pub const TARGET_WORKER: HeaderName = HeaderName::from_static("x-hingestage-target-worker");
/// Set by a worker that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-hingestage-not-run");
/// Integrity seal that a worker puts on a response.
const SEAL: HeaderName = HeaderName::from_static("x-hingestage-server-seal");
/// The worker's load; not passed on to clients.
const LOAD: HeaderName = HeaderName::from_static("x-hingestage-worker-load");

/// Hop-by-hop headers.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Writes request headers for workers and classifies their responses.
#[derive(Default)]
pub struct WorkerDialect {
    /// Ids that workers register under, by their number in the policy.
    ids: RefCell<HashMap<WorkerId, HeaderValue>>,
}

impl WorkerDialect {
    /// Sets a worker's id.
    pub fn insert(&self, worker: WorkerId, id: &CompactString) {
        if let Ok(value) = HeaderValue::from_str(id) {
            self.ids.borrow_mut().insert(worker, value);
        }
    }

    /// Returns a worker's id.
    pub fn id(&self, worker: WorkerId) -> Option<HeaderValue> {
        self.ids.borrow().get(&worker).cloned()
    }

    /// Removes all workers for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(WorkerId) -> bool) {
        self.ids.borrow_mut().retain(|worker, _| keep(*worker));
    }
}

impl Dialect for WorkerDialect {
    fn write_head(&self, parts: &Parts, worker: WorkerId, left: Duration, headers: &mut HeaderMap) {
        headers.insert(ATTEMPT_ID, parts.id.clone());
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
        if let Some(id) = self.ids.borrow().get(&worker) {
            headers.insert(TARGET_WORKER, id.clone());
        }
    }

    fn judge(&self, parts: &Parts, status: StatusCode, headers: &HeaderMap) -> Judgement {
        // The connection may still hold a surplus response to an earlier request.
        let same_id = headers.get(ATTEMPT_ID).is_none_or(|id| *id == parts.id);
        let outcome = if !same_id {
            Outcome::Unusable
        } else if status.is_success() {
            let intact = headers.contains_key(SEAL) && !headers.contains_key(CONTENT_ENCODING);
            if intact && headers.contains_key(ATTEMPT_ID) {
                Outcome::Ok
            } else {
                Outcome::Unusable
            }
        } else if headers.contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
            Outcome::Full
        } else {
            Outcome::Error
        };
        Judgement { outcome, true_units: None }
    }

    fn passed_on(&self, headers: &HeaderMap) -> HeaderMap {
        let mut passed = headers.clone();
        drop_hop_by_hop(&mut passed);
        for name in [CONTENT_LENGTH, TRANSFER_ENCODING, LOAD, TARGET_WORKER] {
            passed.remove(name);
        }
        passed
    }

    fn may_reuse(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(ATTEMPT_ID)
    }
}
