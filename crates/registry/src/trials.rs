//! Durable trials of tenants, their distribution to proxies, and the steps that are due.

use compact_str::CompactString;
use hingestage_replication::{signed, Micros};
use hingestage_rpc::trials::{TrialNews, TrialRecord, TrialRevision, TrialStep};
use hingestage_trial::{due_step, Terms};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;
/// Time from when terms are durable until their first step is announced. The lease on a quota share is shorter, so by
/// then a proxy that has not received the terms holds no share.
pub const NOTICE_PERIOD: Micros = 12_000_000;

/// A durable trial.
struct Trial {
    record: TrialRecord,
    /// Parsed terms; `None` if they were accepted by a build with weaker validation.
    terms: Option<Terms>,
    /// When it became durable; negative if that was before this process started.
    durable_at: i64,
    /// Revision that added it.
    number: u64,
    /// When the tenant's first terms became durable.
    noticed_at: i64,
}

/// All durable trials, with revisions for incremental distribution.
pub struct TrialLog {
    incarnation: u64,
    notice_period: Micros,
    number: u64,
    trials: BTreeMap<CompactString, Trial>,
}

impl TrialLog {
    /// Creates an empty log. `incarnation` identifies this run of the registry; `notice_period` is usually [`NOTICE_PERIOD`].
    pub fn new(incarnation: u64, notice_period: Micros) -> TrialLog {
        TrialLog { incarnation, notice_period, number: 0, trials: BTreeMap::new() }
    }

    /// Applies updates from the store and returns whether any was new.
    pub fn apply(&mut self, now: Micros, news: Vec<TrialNews>) -> bool {
        let number = self.number + 1;
        for TrialNews { record, age } in news {
            let held = self.trials.get(&record.tenant);
            if held.is_some_and(|held| held.record.position >= record.position) {
                continue;
            }
            let durable_at = signed(now) - signed(age * MICROS_PER_MILLI);
            let noticed_at = held.map_or(durable_at, |held| held.noticed_at);
            self.number = number;
            let terms = Terms::parse(&record.terms).ok();
            let known = Trial { record, terms, durable_at, number, noticed_at };
            self.trials.insert(known.record.tenant.clone(), known);
        }
        self.number == number
    }

    /// The current revision.
    pub fn revision(&self) -> TrialRevision {
        TrialRevision { incarnation: self.incarnation, number: self.number }
    }

    /// Whether there are trials that a receiver at revision `theirs` lacks.
    pub fn has_updates_for(&self, theirs: TrialRevision) -> bool {
        let known = if theirs.incarnation == self.incarnation { theirs.number } else { 0 };
        self.number > known
    }

    /// Trials that a receiver at revision `theirs` lacks: all of them if that is of another incarnation.
    pub fn updates_since(&self, now: Micros, theirs: TrialRevision) -> Vec<TrialNews> {
        let known = if theirs.incarnation == self.incarnation { theirs.number } else { 0 };
        let newer = self.trials.values().filter(|trial| trial.number > known);
        newer.map(|trial| TrialNews { record: trial.record.clone(), age: trial.age(now) }).collect()
    }

    /// The trial of a tenant.
    pub fn get(&self, tenant: &str) -> Option<&TrialRecord> {
        self.trials.get(tenant).map(|trial| &trial.record)
    }

    /// All trials, each with the time since it became durable, in milliseconds.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = (&TrialRecord, u64)> {
        self.trials.values().map(move |trial| (&trial.record, trial.age(now)))
    }

    /// Number of tenants with terms.
    pub fn len(&self) -> usize {
        self.trials.len()
    }

    /// Whether no tenant has terms.
    pub fn is_empty(&self) -> bool {
        self.trials.is_empty()
    }

    /// Steps due at `time_of_day`, in milliseconds since the Unix epoch.
    pub fn steps_due(&self, now: Micros, time_of_day: u64) -> Vec<TrialStep> {
        let noticed =
            self.trials.values().filter(|trial| signed(now) >= trial.noticed_at + signed(self.notice_period));
        noticed.filter_map(|trial| due_step(&trial.record, trial.terms.as_ref()?, time_of_day)).collect()
    }
}

impl Trial {
    fn age(&self, now: Micros) -> u64 {
        (signed(now) - self.durable_at).max(0).unsigned_abs() / MICROS_PER_MILLI
    }
}
