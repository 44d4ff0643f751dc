//! Counters of requests by outcome, in total and per tenant.

use compact_str::CompactString;
use hingestage_rpc::status::{OutcomeCount, OutcomeKind, RequestOutcome, TenantCounters};
use std::collections::HashMap;

/// Maximum number of tenants with counters of their own.
pub const MAX_TENANTS: usize = 1_000;
/// Maximum number of tenants in each generation of the table.
const GENERATION_SIZE: usize = MAX_TENANTS / 2;

/// Counters since the start of the process.
#[derive(Default)]
pub struct Counters {
    outcomes: [u64; RequestOutcome::ALL.len()],
    attempts: u64,
    tenants: TenantTable,
}

impl Counters {
    /// Counts a finished request; `tenant` is empty if the request has none.
    pub fn request_ended(&mut self, tenant: &CompactString, outcome: RequestOutcome) {
        self.outcomes[outcome as usize] += 1;
        if tenant.is_empty() {
            return;
        }
        let counters = self.tenants.entry(tenant);
        match outcome.kind() {
            OutcomeKind::Served => counters.served += 1,
            OutcomeKind::Failed => counters.failed += 1,
            OutcomeKind::Refused => {
                counters.refused += 1;
                counters.last_refusal = Some(outcome);
            }
        }
    }

    /// Counts a finished attempt at a worker.
    pub fn attempt_ended(&mut self) {
        self.attempts += 1;
    }

    /// Number of finished attempts.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Number of requests with an outcome.
    pub fn requests(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    /// Counts of all outcomes that have occurred.
    pub fn nonzero(&self) -> Vec<OutcomeCount> {
        let counts =
            RequestOutcome::ALL.map(|outcome| OutcomeCount { outcome, count: self.requests(outcome) });
        counts.into_iter().filter(|entry| entry.count > 0).collect()
    }

    /// Counters of a tenant; `None` if it is unknown or was evicted.
    pub fn tenant(&self, name: &str) -> Option<&TenantCounters> {
        self.tenants.get(name)
    }

    /// Number of tenants with counters of their own.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }
}

/// Counters of recently used tenants in two generations. A full young generation replaces the old one, which evicts
/// tenants that were not used since the last replacement.
#[derive(Default)]
struct TenantTable {
    young: HashMap<CompactString, TenantCounters>,
    old: HashMap<CompactString, TenantCounters>,
}

impl TenantTable {
    /// Returns a tenant's counters from the young generation, moved or created there if needed.
    fn entry(&mut self, name: &CompactString) -> &mut TenantCounters {
        if !self.young.contains_key(name) {
            let counters = self.old.remove(name).unwrap_or_default();
            if self.young.len() >= GENERATION_SIZE {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(name.clone(), counters);
        }
        self.young.entry(name.clone()).or_default()
    }

    fn get(&self, name: &str) -> Option<&TenantCounters> {
        self.young.get(name).or_else(|| self.old.get(name))
    }

    fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
