//! Committed state received from the local store, as it is offered to proxies.

use crate::transfers::Transfers;
use crate::trials::{TrialLog, NOTICE_PERIOD};
use hingestage_replication::{Freshness, Micros};
use hingestage_rpc::messages::{ConfigTransfer, ConfigVersion, Millis, ProxyNames, StoreNews, Summary};

const MICROS_PER_MILLI: Micros = 1_000;
/// Time without contact between the store and a majority after which no configuration is offered.
const CONTACT_LEASE: Micros = 3_000 * MICROS_PER_MILLI;

/// Committed state as last received from the store.
pub struct CommittedState {
    /// Summary last received from the store.
    pub summary: Summary,
    /// The current configuration and earlier ones, packed for distribution.
    pub configs: Transfers,
    /// Proxies that share the common limits.
    pub proxies: ProxyNames,
    /// Latest time at which nothing newer can have been acknowledged anywhere.
    pub freshness: Freshness,
    /// Trials of tenants.
    pub trials: TrialLog,
}

impl CommittedState {
    /// Creates an empty state. `incarnation` identifies this run of the registry.
    pub fn new(incarnation: u64) -> CommittedState {
        CommittedState {
            summary: Summary::default(),
            configs: Transfers::default(),
            proxies: ProxyNames::new(),
            freshness: Freshness::default(),
            trials: TrialLog::new(incarnation, NOTICE_PERIOD),
        }
    }

    /// Applies the store's answer to a request sent at `asked_at`. Returns whether state that proxies watch has
    /// changed.
    pub fn apply(&mut self, now: Micros, asked_at: Micros, news: StoreNews) -> bool {
        let drains_changed = news.summary.drains != self.summary.drains;
        let config_changed = news.config.is_some();
        if let Some(config) = news.config {
            self.configs.add(config);
        }
        if let Some(proxies) = news.proxies {
            self.proxies = proxies;
        }
        let trials_changed = news.trials.is_some_and(|trials| self.trials.apply(now, trials));
        if let Some(age) = news.fresh_age {
            self.freshness.observe(asked_at, age * MICROS_PER_MILLI);
        }
        self.summary = news.summary;
        self.summary.config = self.configs.newest().map(|config| config.version);
        drains_changed || config_changed || trials_changed
    }

    /// Whether the store was in contact with a majority within the lease, which counts from the request to the store.
    pub fn has_majority_contact(&self, now: Micros) -> bool {
        self.freshness.age(now).is_some_and(|age| age < CONTACT_LEASE)
    }

    /// Version of the configuration offered to proxies; `None` while it may be outdated.
    pub fn offered_version(&self, now: Micros) -> Option<ConfigVersion> {
        self.summary.config.filter(|_| self.has_majority_contact(now))
    }

    /// The offered configuration, packed for a receiver that has version `have`.
    pub fn transfer_for(&mut self, now: Micros, have: Option<ConfigVersion>) -> Option<&ConfigTransfer> {
        self.offered_version(now)?;
        self.configs.newest_for(have)
    }

    /// Age of the offered state in milliseconds, rounded up; `None` if nothing is offered.
    pub fn fresh_age(&self, now: Micros) -> Option<Millis> {
        let age = self.freshness.age(now).filter(|_| self.has_majority_contact(now));
        age.map(|age| age / MICROS_PER_MILLI + 1)
    }
}
