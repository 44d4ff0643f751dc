//! What becomes of requests, for operators: counters, and the fates of the last ones.

use crate::attempts::OpenAttempts;
use crate::counters::Counters;
use crate::recent::RecentRequests;
use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::status::{AttemptRecord, Explanation, RequestOutcome, RequestRecord};
use hyper::header::HeaderValue;
use std::cell::{Ref, RefCell};
use std::rc::Rc;

/// Characters of an attempt id that are remembered.
pub const ID_MAX: usize = 64;

/// Counters, and the fates of the last requests.
#[derive(Default)]
pub struct RequestLog {
    counters: RefCell<Counters>,
    recent: RefCell<RecentRequests>,
    open: RefCell<OpenAttempts>,
}

impl RequestLog {
    /// A request has come.
    pub fn begin(self: &Rc<Self>, now: Micros, id: Option<&HeaderValue>) -> TrackedRequest {
        let ended = RequestRecord {
            id: id.map(short_id).unwrap_or_default(),
            age: 0,
            route: CompactString::default(),
            tenant: CompactString::default(),
            service: CompactString::default(),
            attempts: Vec::new(),
            status: None,
            outcome: RequestOutcome::ClientLeft,
        };
        TrackedRequest { log: self.clone(), arrived_at: now, ended: Some(ended), sent_as: None }
    }

    /// An attempt at a worker ended.
    pub fn attempt_ended(&self, id: &HeaderValue, attempt: AttemptRecord) {
        self.counters.borrow_mut().attempt_ended();
        self.open.borrow_mut().note(id, attempt);
    }

    /// The counters.
    pub fn counters(&self) -> Ref<'_, Counters> {
        self.counters.borrow()
    }

    /// Requests whose attempts are being noted.
    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// What became of a request or of a tenant's requests.
    pub fn explain(&self, now: Micros, id_or_tenant: &str) -> Explanation {
        // Ids are remembered up to a length.
        let short = id_or_tenant.get(..ID_MAX).unwrap_or(id_or_tenant);
        Explanation {
            requests: self.recent.borrow().find(now, short),
            tenant: self.counters.borrow().tenant(id_or_tenant).cloned(),
        }
    }

    fn ended(&self, arrived_at: Micros, request: RequestRecord) {
        self.counters.borrow_mut().request_ended(&request.tenant, request.outcome);
        self.recent.borrow_mut().push(arrived_at, request);
    }
}

/// An id as it is remembered. It is copied: the header shares its memory with all that was read of the connection.
fn short_id(id: &HeaderValue) -> CompactString {
    let bytes = &id.as_bytes()[..id.len().min(ID_MAX)];
    CompactString::from_utf8_lossy(bytes)
}

/// A request until its end. Dropped without an answer it counts as one whose client left.
pub struct TrackedRequest {
    log: Rc<RequestLog>,
    arrived_at: Micros,
    ended: Option<RequestRecord>,
    /// The id under which its attempts are noted.
    sent_as: Option<HeaderValue>,
}

impl TrackedRequest {
    /// Its route and tenant are known.
    pub fn routed(&mut self, route: &CompactString, tenant: &CompactString) {
        if let Some(ended) = &mut self.ended {
            ended.route = route.clone();
            ended.tenant = tenant.clone();
        }
    }

    /// Its service is known.
    pub fn bound_for(&mut self, service: &CompactString) {
        if let Some(ended) = &mut self.ended {
            ended.service = service.clone();
        }
    }

    /// It goes to workers from now on.
    pub fn sending(&mut self, id: &HeaderValue) {
        if self.log.open.borrow_mut().begin(id) {
            self.sent_as = Some(id.clone());
        }
    }

    /// It is answered.
    pub fn answered(mut self, status: u16, outcome: RequestOutcome) {
        if let Some(ended) = &mut self.ended {
            ended.status = Some(status);
            ended.outcome = outcome;
        }
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        let Some(mut ended) = self.ended.take() else { return };
        if let Some(id) = &self.sent_as {
            ended.attempts = self.log.open.borrow_mut().end(id);
        }
        self.log.ended(self.arrived_at, ended);
    }
}
