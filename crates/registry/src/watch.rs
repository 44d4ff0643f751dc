//! What is in force, as the local store tells it, and as it is handed on to proxies.

use crate::transfers::Transfers;
use crate::trials::{TrialLog, NOTICE};
use hingestage_replication::{Freshness, Micros};
use hingestage_rpc::messages::{ConfigTransfer, ConfigVersion, Millis, ProxyNames, StoreNews, Summary};

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;
/// A registry whose store has not been in touch with a majority for so long hands out no configuration.
const CONTACT_LEASE: Micros = 3_000 * MILLI;

/// What is in force.
pub struct InForce {
    /// In short, as the store told it last.
    pub summary: Summary,
    /// The configuration, and those before it, as it is handed out.
    pub configs: Transfers,
    /// Proxies that take part in common limits.
    pub proxies: ProxyNames,
    /// The latest moment at which nothing newer can have been acknowledged anywhere.
    pub freshness: Freshness,
    /// Trials of tenants.
    pub trials: TrialLog,
}

impl InForce {
    /// Nothing is known. `incarnation` tells this life of the registry from others.
    pub fn new(incarnation: u64) -> InForce {
        InForce {
            summary: Summary::default(),
            configs: Transfers::default(),
            proxies: ProxyNames::new(),
            freshness: Freshness::default(),
            trials: TrialLog::new(incarnation, NOTICE),
        }
    }

    /// Takes in what the store told now, when it was asked at `asked_at`. Tells whether anything changed that
    /// proxies go by.
    pub fn take(&mut self, now: Micros, asked_at: Micros, news: StoreNews) -> bool {
        let drains_changed = news.summary.drains != self.summary.drains;
        let config_changed = news.config.is_some();
        if let Some(config) = news.config {
            self.configs.add(config);
        }
        if let Some(proxies) = news.proxies {
            self.proxies = proxies;
        }
        let trials_changed = news.trials.is_some_and(|trials| self.trials.take(now, trials));
        if let Some(age) = news.fresh_age {
            self.freshness.observe(asked_at, age * MILLI);
        }
        self.summary = news.summary;
        self.summary.config = self.configs.newest().map(|config| config.version);
        drains_changed || config_changed || trials_changed
    }

    /// Whether the store was in touch with a majority within the lease. The lease counts from when the store was asked.
    pub fn is_in_contact(&self, now: Micros) -> bool {
        self.freshness.age(now).is_some_and(|age| age < CONTACT_LEASE)
    }

    /// The configuration that proxies may be told of: none while it may be an old one.
    pub fn offered(&self, now: Micros) -> Option<ConfigVersion> {
        self.summary.config.filter(|_| self.is_in_contact(now))
    }

    /// The same for one who has some version, packed.
    pub fn transfer_for(&mut self, now: Micros, have: Option<ConfigVersion>) -> Option<&ConfigTransfer> {
        self.offered(now)?;
        self.configs.newest_for(have)
    }

    /// Age of what is offered, milliseconds. Without an offer it would say that nothing is newer than nothing.
    pub fn fresh_age(&self, now: Micros) -> Option<Millis> {
        let age = self.freshness.age(now).filter(|_| self.is_in_contact(now));
        age.map(|age| age / MILLI + 1)
    }
}
