//! Trials as a replica keeps them, and which of them are durable since when.

use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::digest;
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord, TrialStep, TRIALS_MAX};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// Number and digest of a set of trials.
pub type TrialsVersion = (u64, u64);

/// The newest trial of each tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrialSet {
    records: BTreeMap<CompactString, TrialRecord>,
    digest: u64,
}

impl FromIterator<TrialRecord> for TrialSet {
    fn from_iter<I: IntoIterator<Item = TrialRecord>>(records: I) -> Self {
        let mut set = TrialSet::default();
        for record in records {
            set.apply(record);
        }
        set
    }
}

impl TrialSet {
    /// All trials, by tenant.
    pub fn records(&self) -> impl Iterator<Item = &TrialRecord> {
        self.records.values()
    }

    /// A tenant's trial.
    pub fn get(&self, tenant: &str) -> Option<&TrialRecord> {
        self.records.get(tenant)
    }

    /// Whether no tenant has terms.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number and digest: equal for equal sets.
    pub fn version(&self) -> TrialsVersion {
        (self.records.len() as u64, self.digest)
    }

    /// Whether a record is newer than what is kept of its tenant. How many tenants there are is bounded where terms are
    /// proposed: replicas that refused each other's records would never agree.
    pub fn is_news(&self, record: &TrialRecord) -> bool {
        self.records.get(&record.tenant).is_none_or(|held| record.position > held.position)
    }

    /// Those of some records that are news.
    pub fn news_of(&self, records: &[TrialRecord]) -> Vec<TrialRecord> {
        records.iter().filter(|record| self.is_news(record)).cloned().collect()
    }

    /// Whether there is room for a tenant's terms.
    pub fn has_room_for(&self, tenant: &str) -> bool {
        self.records.len() < TRIALS_MAX || self.records.contains_key(tenant)
    }

    /// Takes a record in, where it is news.
    pub fn apply(&mut self, record: TrialRecord) -> bool {
        if !self.is_news(&record) {
            return false;
        }
        self.digest ^= digest_of(&record);
        if let Some(replaced) = self.records.insert(record.tenant.clone(), record) {
            self.digest ^= digest_of(&replaced);
        }
        true
    }

    /// The record of new terms; the one that is kept where that is newer, or is the same and further on.
    pub fn record_for_terms(&self, new: TrialRecord) -> TrialRecord {
        let held = self.records.get(&new.tenant).filter(|held| held.position >= new.position);
        held.cloned().unwrap_or(new)
    }

    /// The records of steps, of those whose terms are kept and not as far.
    pub fn records_for_steps(&self, steps: Vec<TrialStep>) -> Vec<TrialRecord> {
        let record = |step: TrialStep| {
            let held = self.records.get(&step.tenant)?;
            let further = step.position.has_terms_of(&held.position) && step.position > held.position;
            further.then(|| TrialRecord { position: step.position, ..held.clone() })
        };
        steps.into_iter().filter_map(record).collect()
    }

    /// Whether the terms that a position names hold for a tenant, and no others in their place.
    pub fn has_terms_of(&self, tenant: &str, position: &TrialPosition) -> bool {
        self.get(tenant).is_some_and(|held| held.position.has_terms_of(position))
    }
}

fn digest_of(record: &TrialRecord) -> u64 {
    let TrialPosition { version, digest: terms, step } = record.position;
    digest(format!("{} {version} {terms} {step}", record.tenant).as_bytes())
}

/// Trials that are durable, and since when that is known.
#[derive(Clone, Debug, Default)]
pub struct DurableTrials {
    set: TrialSet,
    known_at: BTreeMap<CompactString, Micros>,
}

impl DurableTrials {
    /// Number and digest of the set.
    pub fn version(&self) -> TrialsVersion {
        self.set.version()
    }

    /// All of a set is durable.
    pub fn take(&mut self, now: Micros, set: &TrialSet) {
        for record in set.records() {
            if self.set.apply(record.clone()) {
                self.known_at.insert(record.tenant.clone(), now);
            }
        }
    }

    /// All of them, each with the time since it was known.
    pub fn news(&self, now: Micros) -> Vec<TrialNews> {
        let age = |tenant: &CompactString| {
            let known_at = self.known_at.get(tenant).copied().unwrap_or(now);
            now.saturating_sub(known_at) / MILLI
        };
        self.set
            .records()
            .map(|record| TrialNews { record: record.clone(), age: age(&record.tenant) })
            .collect()
    }
}
