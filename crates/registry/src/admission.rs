//! Admission of proxies to the shared rate limits.
//!
//! A proxy's name is committed first, so that every share is computed with it. The proxy is *settled*, and may use its
//! own share, once every lease granted without it has expired.

use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::messages::ProxyNames;
use std::collections::BTreeMap;

/// Timing and size limits of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Longest time a proxy may use its share of a limit without contact.
    pub lease: Micros,
    /// Time after a bootstrap in which proxies are settled at once, as no leases exist yet.
    pub bootstrap_window: Micros,
    /// Maximum number of proxies waiting for admission.
    pub pending_max: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings { lease: 12_000_000, bootstrap_window: 6_000_000, pending_max: 8_192 }
    }
}

/// Proxies that this registry has seen and that are not settled yet.
pub struct Admissions {
    settings: AdmissionSettings,
    /// Whether this process started as part of a bootstrap.
    bootstrap: bool,
    /// Each waiting proxy, with the time its name was first seen committed.
    pending: BTreeMap<CompactString, Option<Micros>>,
}

impl Admissions {
    /// Creates an empty set.
    pub fn new(bootstrap: bool, settings: AdmissionSettings) -> Admissions {
        Admissions { settings, bootstrap, pending: BTreeMap::new() }
    }

    /// Records a heartbeat of a proxy; `names` are the committed ones.
    pub fn observe(&mut self, name: &CompactString, names: &ProxyNames) {
        let settled = names.get(name) == Some(&true);
        if !settled && self.pending.len() < self.settings.pending_max {
            self.pending.entry(name.clone()).or_default();
        }
    }

    /// Names to commit now, each with whether that settles the proxy.
    pub fn due_changes(&mut self, now: Micros, names: &ProxyNames) -> ProxyNames {
        let bootstrapping = self.bootstrap && now < self.settings.bootstrap_window;
        self.pending.retain(|name, _| names.get(name) != Some(&true));
        let mut due = ProxyNames::new();
        for (name, seen_at) in &mut self.pending {
            if names.contains_key(name) {
                seen_at.get_or_insert(now);
            }
            let waited = seen_at.is_some_and(|at| now >= at + self.settings.lease);
            if bootstrapping || waited || seen_at.is_none() {
                due.insert(name.clone(), bootstrapping || waited);
            }
        }
        due
    }
}
