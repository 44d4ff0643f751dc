//! Counts of requests by how they ended, in sum and by tenant.

use compact_str::CompactString;
use hingestage_rpc::status::{OutcomeCount, OutcomeKind, RequestOutcome, TenantCounters};
use std::collections::HashMap;

/// Tenants that are counted apart at the most.
pub const TENANTS_MAX: usize = 1_000;
/// Tenants in each of the two generations.
const GENERATION: usize = TENANTS_MAX / 2;

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    outcomes: [u64; RequestOutcome::ALL.len()],
    attempts: u64,
    tenants: TenantTable,
}

impl Counters {
    /// A request ended. `tenant` is empty where it has none.
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

    /// An attempt at a worker ended.
    pub fn attempt_ended(&mut self) {
        self.attempts += 1;
    }

    /// Attempts that have ended.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Requests that ended in one way.
    pub fn requests(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    /// Requests by how they ended, without ways that have not occurred.
    pub fn occurred(&self) -> Vec<OutcomeCount> {
        let counts =
            RequestOutcome::ALL.map(|outcome| OutcomeCount { outcome, count: self.requests(outcome) });
        counts.into_iter().filter(|entry| entry.count > 0).collect()
    }

    /// The counters of a tenant, unless they were forgotten.
    pub fn tenant(&self, name: &str) -> Option<&TenantCounters> {
        self.tenants.get(name)
    }

    /// Tenants that are counted apart.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }
}

/// Counters of the tenants used last, in two generations: once the young one is full it becomes the old one, and
/// tenants that were not used since the last change are forgotten.
#[derive(Default)]
struct TenantTable {
    young: HashMap<CompactString, TenantCounters>,
    old: HashMap<CompactString, TenantCounters>,
}

impl TenantTable {
    fn entry(&mut self, name: &CompactString) -> &mut TenantCounters {
        if !self.young.contains_key(name) {
            let counters = self.old.remove(name).unwrap_or_default();
            if self.young.len() >= GENERATION {
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
