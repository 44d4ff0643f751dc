//! Counters of trial tenants' requests by class and admission result.

use compact_str::CompactString;
use hingestage_rpc::status::RequestOutcome;
use hingestage_rpc::trials::{TrialCount, TRIALS_MAX};
use hingestage_trial::RequestClass;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Counters since the start of the process.
#[derive(Default)]
pub(crate) struct TrialCounts(RefCell<BTreeMap<CompactString, [TrialCount; 3]>>);

impl TrialCounts {
    /// Counts a request of a trial tenant as admitted, or as refused with an outcome.
    pub fn record(&self, tenant: &CompactString, class: RequestClass, refused: Option<RequestOutcome>) {
        let mut tenants = self.0.borrow_mut();
        if tenants.len() >= TRIALS_MAX && !tenants.contains_key(tenant) {
            return;
        }
        let count = &mut tenants.entry(tenant.clone()).or_default()[class as usize];
        match refused {
            None => count.passed += 1,
            Some(RequestOutcome::TrialEnded) => count.ended += 1,
            Some(RequestOutcome::TrialUnknown) => count.unknown += 1,
            Some(_) => count.slowed += 1,
        }
    }

    /// Counters of a tenant, by class.
    pub fn of(&self, tenant: &str) -> [TrialCount; 3] {
        self.0.borrow().get(tenant).copied().unwrap_or_default()
    }
}
