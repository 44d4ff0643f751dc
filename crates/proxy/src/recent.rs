//! Bounded history of finished requests.

use hingestage_replication::Micros;
use hingestage_rpc::status::RequestRecord;
use std::collections::VecDeque;

/// Maximum number of requests in the history.
pub const MAX_REQUESTS: usize = 2_000;
/// Maximum number of requests returned by one query.
pub const MAX_RESULTS: usize = 50;
/// Microseconds per millisecond.
const MILLI: Micros = 1_000;

/// The most recent requests.
#[derive(Default)]
pub struct RecentRequests {
    /// Arrival time and record of each request, oldest first.
    requests: VecDeque<(Micros, RequestRecord)>,
}

impl RecentRequests {
    /// Adds a request that arrived at `arrived_at`; its recorded age is ignored. Evicts the oldest if the history is full.
    pub fn push(&mut self, arrived_at: Micros, request: RequestRecord) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((arrived_at, request));
    }

    /// Number of requests in the history.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests with an id or of a tenant, newest first, at most [`MAX_RESULTS`].
    pub fn find(&self, now: Micros, id_or_tenant: &str) -> Vec<RequestRecord> {
        let matches = |(_, request): &&(Micros, RequestRecord)| {
            request.id == id_or_tenant || request.tenant == id_or_tenant
        };
        let found = self.requests.iter().rev().filter(matches).take(MAX_RESULTS);
        let aged = |(arrived_at, request): &(Micros, RequestRecord)| RequestRecord {
            age: now.saturating_sub(*arrived_at) / MILLI,
            ..request.clone()
        };
        found.map(aged).collect()
    }
}
