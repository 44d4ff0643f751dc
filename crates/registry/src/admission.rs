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
pub struct Figures {
    /// Longest time a proxy may use its share of a limit without contact.
    pub lease: Micros,
    /// Time after a bootstrap in which proxies are settled at once, as no leases exist yet.
    pub first_start: Micros,
    /// Maximum number of proxies waiting for admission.
    pub newcomers_max: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { lease: 12_000_000, first_start: 6_000_000, newcomers_max: 8_192 }
    }
}

/// Proxies that this registry has seen and that are not settled yet.
pub struct Admissions {
    figures: Figures,
    /// Whether this process started as part of a bootstrap.
    bootstrap: bool,
    /// Each waiting proxy, with the time its name was first seen committed.
    newcomers: BTreeMap<CompactString, Option<Micros>>,
}

impl Admissions {
    /// Creates an empty set.
    pub fn new(bootstrap: bool, figures: Figures) -> Admissions {
        Admissions { figures, bootstrap, newcomers: BTreeMap::new() }
    }

    /// Records a heartbeat of a proxy; `names` are the committed ones.
    pub fn heard(&mut self, name: &CompactString, names: &ProxyNames) {
        let settled = names.get(name) == Some(&true);
        if !settled && self.newcomers.len() < self.figures.newcomers_max {
            self.newcomers.entry(name.clone()).or_default();
        }
    }

    /// Names to commit now, each with whether that settles the proxy.
    pub fn due(&mut self, now: Micros, names: &ProxyNames) -> ProxyNames {
        let first_start = self.bootstrap && now < self.figures.first_start;
        self.newcomers.retain(|name, _| names.get(name) != Some(&true));
        let mut due = ProxyNames::new();
        for (name, seen_at) in &mut self.newcomers {
            if names.contains_key(name) {
                seen_at.get_or_insert(now);
            }
            let waited = seen_at.is_some_and(|at| now >= at + self.figures.lease);
            if first_start || waited || seen_at.is_none() {
                due.insert(name.clone(), first_start || waited);
            }
        }
        due
    }
}
