//! What became of the last requests, in a ring of a fixed size.

use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::status::{AttemptRecord, RequestOutcome, RequestRecord};
use std::collections::VecDeque;

/// Requests that are remembered.
pub const REQUESTS_MAX: usize = 2_000;
/// Requests in one answer to an operator.
pub const ANSWER_MAX: usize = 50;
/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// What became of one request.
#[derive(Clone, Debug)]
pub struct EndedRequest {
    /// Its attempt id; empty where it had none.
    pub id: CompactString,
    /// When it came.
    pub arrived_at: Micros,
    /// Name of its route.
    pub route: CompactString,
    /// Name of its tenant.
    pub tenant: CompactString,
    /// The service that it was for.
    pub service: CompactString,
    /// The workers that it was sent to.
    pub attempts: Vec<AttemptRecord>,
    /// Status of the answer; none where the client left.
    pub status: Option<u16>,
    /// How it ended.
    pub outcome: RequestOutcome,
}

impl EndedRequest {
    fn record(&self, now: Micros) -> RequestRecord {
        RequestRecord {
            id: self.id.clone(),
            age: now.saturating_sub(self.arrived_at) / MILLI,
            route: self.route.clone(),
            tenant: self.tenant.clone(),
            service: self.service.clone(),
            attempts: self.attempts.clone(),
            status: self.status,
            outcome: self.outcome,
        }
    }
}

/// The last requests.
#[derive(Default)]
pub struct RecentRequests {
    requests: VecDeque<EndedRequest>,
}

impl RecentRequests {
    /// Takes a request in; beyond the bound the oldest is forgotten.
    pub fn push(&mut self, request: EndedRequest) {
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The requests with an id or of a tenant, the newest first, at most [`ANSWER_MAX`].
    pub fn find(&self, now: Micros, id_or_tenant: &str) -> Vec<RequestRecord> {
        let matches = |request: &&EndedRequest| request.id == id_or_tenant || request.tenant == id_or_tenant;
        let found = self.requests.iter().rev().filter(matches).take(ANSWER_MAX);
        found.map(|request| request.record(now)).collect()
    }
}
