//! What became of the requests of trial tenants, by class.

use compact_str::CompactString;
use hingestage_rpc::status::RequestOutcome;
use hingestage_rpc::trials::{TrialCount, TRIALS_MAX};
use hingestage_trial::RequestClass;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Counts since the start of the process.
#[derive(Default)]
pub(crate) struct TrialCounts(RefCell<BTreeMap<CompactString, [TrialCount; 3]>>);

impl TrialCounts {
    /// A request of a trial tenant was let pass, or refused for some reason.
    pub fn note(&self, tenant: &CompactString, class: RequestClass, refused: Option<RequestOutcome>) {
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

    /// A tenant's counts.
    pub fn of(&self, tenant: &str) -> [TrialCount; 3] {
        self.0.borrow().get(tenant).copied().unwrap_or_default()
    }
}
