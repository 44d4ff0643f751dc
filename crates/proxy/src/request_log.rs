//! Request log for operators: counters and the history of recent requests.

use crate::attempts::OpenAttempts;
use crate::counters::Counters;
use crate::recent::RecentRequests;
use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::status::{AttemptRecord, Explanation, RequestOutcome, RequestRecord};
use hyper::header::HeaderValue;
use std::cell::{Ref, RefCell};
use std::rc::Rc;

/// Attempt ids are truncated to this length, bytes.
pub const MAX_ID_LEN: usize = 64;

/// Counters and the history of recent requests.
#[derive(Default)]
pub struct RequestLog {
    counters: RefCell<Counters>,
    recent: RefCell<RecentRequests>,
    open: RefCell<OpenAttempts>,
}

impl RequestLog {
    /// Starts tracking a request.
    pub fn begin(self: &Rc<Self>, now: Micros, id: Option<&HeaderValue>) -> TrackedRequest {
        let record = RequestRecord {
            id: id.map(short_id).unwrap_or_default(),
            age: 0,
            route: CompactString::default(),
            tenant: CompactString::default(),
            service: CompactString::default(),
            attempts: Vec::new(),
            status: None,
            outcome: RequestOutcome::ClientLeft,
        };
        TrackedRequest { log: self.clone(), arrived_at: now, record: Some(record), attempts_id: None }
    }

    /// Records a finished attempt at a worker.
    pub fn attempt_ended(&self, id: &HeaderValue, attempt: AttemptRecord) {
        self.counters.borrow_mut().attempt_ended();
        self.open.borrow_mut().record(id, attempt);
    }

    /// The counters.
    pub fn counters(&self) -> Ref<'_, Counters> {
        self.counters.borrow()
    }

    /// Number of requests whose attempts are being recorded.
    pub fn open_requests(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the records of a request or of a tenant's requests, and the tenant's counters.
    pub fn explain(&self, now: Micros, id_or_tenant: &str) -> Explanation {
        let short = id_or_tenant.get(..MAX_ID_LEN).unwrap_or(id_or_tenant);
        Explanation {
            requests: self.recent.borrow().find(now, short),
            tenant: self.counters.borrow().tenant(id_or_tenant).cloned(),
        }
    }

    fn record(&self, arrived_at: Micros, request: RequestRecord) {
        self.counters.borrow_mut().request_ended(&request.tenant, request.outcome);
        self.recent.borrow_mut().push(arrived_at, request);
    }
}

/// Copies and truncates an id; a header value would keep the connection's whole read buffer alive.
fn short_id(id: &HeaderValue) -> CompactString {
    let bytes = &id.as_bytes()[..id.len().min(MAX_ID_LEN)];
    CompactString::from_utf8_lossy(bytes)
}

/// A request until its end. If it is dropped without an answer, its outcome is `ClientLeft`.
pub struct TrackedRequest {
    log: Rc<RequestLog>,
    arrived_at: Micros,
    record: Option<RequestRecord>,
    /// The id under which its attempts are recorded.
    attempts_id: Option<HeaderValue>,
}

impl TrackedRequest {
    /// Sets the route and the tenant.
    pub fn set_route(&mut self, route: &CompactString, tenant: &CompactString) {
        if let Some(record) = &mut self.record {
            record.route = route.clone();
            record.tenant = tenant.clone();
        }
    }

    /// Sets the service.
    pub fn set_service(&mut self, service: &CompactString) {
        if let Some(record) = &mut self.record {
            record.service = service.clone();
        }
    }

    /// Starts recording the request's attempts.
    pub fn start_attempts(&mut self, id: &HeaderValue) {
        if self.log.open.borrow_mut().begin(id) {
            self.attempts_id = Some(id.clone());
        }
    }

    /// Finishes the request with a response status and an outcome.
    pub fn answered(mut self, status: u16, outcome: RequestOutcome) {
        if let Some(record) = &mut self.record {
            record.status = Some(status);
            record.outcome = outcome;
        }
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        let Some(mut record) = self.record.take() else { return };
        if let Some(id) = &self.attempts_id {
            record.attempts = self.log.open.borrow_mut().end(id);
        }
        self.log.record(self.arrived_at, record);
    }
}
