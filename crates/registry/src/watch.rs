//! What is in force, as the local store tells it, and as it is handed on to proxies.

use crate::transfers::Transfers;
use hingestage_replication::{Freshness, Micros};
use hingestage_rpc::messages::{ProxyNames, StoreNews, Summary};

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// What is in force.
#[derive(Default)]
pub struct InForce {
    /// In short, as the store told it last.
    pub summary: Summary,
    /// The configuration, and those before it, as it is handed out.
    pub configs: Transfers,
    /// Proxies that take part in common limits.
    pub proxies: ProxyNames,
    /// The latest moment at which nothing newer can have been acknowledged anywhere.
    pub freshness: Freshness,
}

impl InForce {
    /// Takes in what the store told when it was asked at `asked_at`. Tells whether anything changed that
    /// proxies go by.
    pub fn take(&mut self, asked_at: Micros, news: StoreNews) -> bool {
        let drains_changed = news.summary.drains != self.summary.drains;
        let config_changed = news.config.is_some();
        if let Some(config) = news.config {
            self.configs.add(config);
        }
        if let Some(proxies) = news.proxies {
            self.proxies = proxies;
        }
        if let Some(age) = news.fresh_age {
            self.freshness.note(asked_at, age * MILLI);
        }
        self.summary = news.summary;
        self.summary.config = self.configs.newest().map(|config| config.version);
        drains_changed || config_changed
    }
}
