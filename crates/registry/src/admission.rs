//! Which proxies are to be taken into common limits.
//!
//! A proxy's name is made durable first, so that all parts are computed with it; it is *settled*, and may use its own
//! part, once every lease that was given without it is over.

use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::messages::ProxyNames;
use std::collections::BTreeMap;

/// Figures of admissions.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Longest time for which a part of a common limit may be used without news.
    pub lease: Micros,
    /// How long after the system's first start proxies are settled at once: nobody holds a lease yet.
    pub first_start: Micros,
    /// Proxies that wait at the most.
    pub newcomers_max: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { lease: 12_000_000, first_start: 6_000_000, newcomers_max: 8_192 }
    }
}

/// Proxies that are not settled, as one registry knows them.
pub struct Admissions {
    figures: Figures,
    /// Whether the system starts for the first time.
    bootstrap: bool,
    /// When the durable names were first seen to have each of them.
    newcomers: BTreeMap<CompactString, Option<Micros>>,
}

impl Admissions {
    /// Nobody waits.
    pub fn new(bootstrap: bool, figures: Figures) -> Admissions {
        Admissions { figures, bootstrap, newcomers: BTreeMap::new() }
    }

    /// A proxy has been heard of; `names` are the durable ones.
    pub fn heard(&mut self, name: &CompactString, names: &ProxyNames) {
        let settled = names.get(name) == Some(&true);
        if !settled && self.newcomers.len() < self.figures.newcomers_max {
            self.newcomers.entry(name.clone()).or_default();
        }
    }

    /// The names to be made durable now, and whether each is settled by that.
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
