//! What became of the last requests, in a ring of a fixed size.

use hingestage_replication::Micros;
use hingestage_rpc::status::RequestRecord;
use std::collections::VecDeque;

/// Requests that are remembered.
pub const REQUESTS_MAX: usize = 2_000;
/// Requests in one answer to an operator.
pub const ANSWER_MAX: usize = 50;
/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// The last requests.
#[derive(Default)]
pub struct RecentRequests {
    /// Each with when it came.
    requests: VecDeque<(Micros, RequestRecord)>,
}

impl RecentRequests {
    /// Takes a request in that came at `arrived_at`, whatever its age says; beyond the bound the oldest is forgotten.
    pub fn push(&mut self, arrived_at: Micros, request: RequestRecord) {
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((arrived_at, request));
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
        let matches = |(_, request): &&(Micros, RequestRecord)| {
            request.id == id_or_tenant || request.tenant == id_or_tenant
        };
        let found = self.requests.iter().rev().filter(matches).take(ANSWER_MAX);
        let aged = |(arrived_at, request): &(Micros, RequestRecord)| RequestRecord {
            age: now.saturating_sub(*arrived_at) / MILLI,
            ..request.clone()
        };
        found.map(aged).collect()
    }
}
