//! The replicated set of trials, and the time since each is known to be durable.

use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::digest;
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord, TrialStep, TRIALS_MAX};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

/// Count and digest of a set of trials.
pub type TrialsVersion = (u64, u64);

/// The latest trial of each tenant.
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
    /// All trials, ordered by tenant.
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

    /// Count and digest, equal for equal sets.
    pub fn version(&self) -> TrialsVersion {
        (self.records.len() as u64, self.digest)
    }

    /// Whether a record is newer than the tenant's current one. The number of tenants is limited when terms are
    /// proposed, not here: replicas that refused each other's records would never converge.
    pub fn is_newer(&self, record: &TrialRecord) -> bool {
        self.records.get(&record.tenant).is_none_or(|held| record.position > held.position)
    }

    /// The records that are newer than the current ones.
    pub fn newer_records(&self, records: &[TrialRecord]) -> Vec<TrialRecord> {
        records.iter().filter(|record| self.is_newer(record)).cloned().collect()
    }

    /// Whether the tenant has a trial already or the set is not full.
    pub fn has_room_for(&self, tenant: &str) -> bool {
        self.records.len() < TRIALS_MAX || self.records.contains_key(tenant)
    }

    /// Inserts a record if it is newer; returns whether it was.
    pub fn apply(&mut self, record: TrialRecord) -> bool {
        if !self.is_newer(&record) {
            return false;
        }
        self.digest ^= digest_of(&record);
        if let Some(replaced) = self.records.insert(record.tenant.clone(), record) {
            self.digest ^= digest_of(&replaced);
        }
        true
    }

    /// The record to hold after new terms are proposed: the current one if its position is at least as high.
    pub fn record_for_terms(&self, new: TrialRecord) -> TrialRecord {
        let held = self.records.get(&new.tenant).filter(|held| held.position >= new.position);
        held.cloned().unwrap_or(new)
    }

    /// Records for those steps that advance the current terms of their tenant.
    pub fn records_for_steps(&self, steps: Vec<TrialStep>) -> Vec<TrialRecord> {
        let record = |step: TrialStep| {
            let held = self.records.get(&step.tenant)?;
            let further = step.position.has_terms_of(&held.position) && step.position > held.position;
            further.then(|| TrialRecord { position: step.position, ..held.clone() })
        };
        steps.into_iter().filter_map(record).collect()
    }

    /// Whether the tenant's current terms are those that the position names.
    pub fn has_terms_of(&self, tenant: &str, position: &TrialPosition) -> bool {
        self.get(tenant).is_some_and(|held| held.position.has_terms_of(position))
    }
}

fn digest_of(record: &TrialRecord) -> u64 {
    let TrialPosition { version, digest: terms, step } = record.position;
    digest(format!("{} {version} {terms} {step}", record.tenant).as_bytes())
}

/// The durable trials, with the time at which each was known to be durable.
#[derive(Clone, Debug, Default)]
pub struct DurableTrials {
    set: TrialSet,
    known_at: BTreeMap<CompactString, Micros>,
}

impl DurableTrials {
    /// Count and digest of the set.
    pub fn version(&self) -> TrialsVersion {
        self.set.version()
    }

    /// Adds all records of a durable set.
    pub fn update(&mut self, now: Micros, set: &TrialSet) {
        for record in set.records() {
            if self.set.apply(record.clone()) {
                self.known_at.insert(record.tenant.clone(), now);
            }
        }
    }

    /// All trials, each with its age in milliseconds since it was known to be durable.
    pub fn records_with_age(&self, now: Micros) -> Vec<TrialNews> {
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
