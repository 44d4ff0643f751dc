//! What a replica keeps, and the rule by which of two versions one holds.

use crate::trials::TrialSet;
use hingestage_rpc::digest;
use hingestage_rpc::messages::{ConfigDocument, ProxyNames, Summary, Update, ZoneDrains};
use hingestage_rpc::trials::TrialRecord;

/// What a replica keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The newest configuration.
    pub config: Option<ConfigDocument>,
    /// The newest order about each zone.
    pub drains: ZoneDrains,
    /// Proxies that take part in common limits; names are only added.
    pub proxies: ProxyNames,
    /// The newest trial of each tenant.
    pub trials: TrialSet,
}

impl State {
    /// What it holds, in short.
    pub fn summary(&self, recovering: bool) -> Summary {
        Summary {
            config: self.config.as_ref().map(|config| config.version),
            drains: self.drains.clone(),
            proxies: self.names_version(),
            trials: self.trials.version(),
            recovering,
        }
    }

    /// Whether an update changes anything. Of two configurations the one with the higher serial holds, of two
    /// under one serial the one with the higher digest: every replica says the same.
    pub fn is_news(&self, update: &Update) -> bool {
        match update {
            Update::Config(config) => self.config.as_ref().is_none_or(|held| config.version > held.version),
            Update::Drain { zone, drain } => self.drains.get(zone).is_none_or(|held| drain > held),
            Update::Proxies(names) => {
                names.iter().any(|(name, settled)| self.proxies.get(name) < Some(settled))
            }
            Update::Trials(records) => records.iter().any(|record| self.trials.is_news(record)),
        }
    }

    /// Takes an update in, where it is news.
    pub fn apply(&mut self, update: Update) {
        if !self.is_news(&update) {
            return;
        }
        match update {
            Update::Config(config) => self.config = Some(config),
            Update::Drain { zone, drain } => drop(self.drains.insert(zone, drain)),
            Update::Proxies(names) => self.add_proxies(names),
            Update::Trials(records) => self.add_trials(records),
        }
    }

    fn add_trials(&mut self, records: Vec<TrialRecord>) {
        for record in records {
            self.trials.apply(record);
        }
    }

    fn add_proxies(&mut self, names: ProxyNames) {
        for (name, settled) in names {
            *self.proxies.entry(name).or_default() |= settled;
        }
    }

    /// Number and digest of the names of proxies.
    pub fn names_version(&self) -> (u64, u64) {
        (self.proxies.len() as u64, names_digest(&self.proxies))
    }

    /// What another replica lacks, by its summary. Of trials everything, where the summary names other ones.
    pub fn missing(&self, theirs: &Summary) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(config) = self.config.as_ref().filter(|config| Some(config.version) > theirs.config) {
            updates.push(Update::Config(config.clone()));
        }
        for (zone, drain) in &self.drains {
            if theirs.drains.get(zone).is_none_or(|held| drain > held) {
                updates.push(Update::Drain { zone: zone.clone(), drain: *drain });
            }
        }
        if theirs.proxies != self.names_version() {
            updates.push(Update::Proxies(self.proxies.clone()));
        }
        if theirs.trials != self.trials.version() && !self.trials.is_empty() {
            updates.push(Update::Trials(self.trials.records().cloned().collect()));
        }
        updates
    }
}

fn names_digest(names: &ProxyNames) -> u64 {
    names
        .iter()
        .fold(0, |sum, (name, settled)| sum ^ digest(name.as_bytes()).rotate_left(u32::from(*settled)))
}
