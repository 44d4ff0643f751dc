//! Trials of tenants, as one registry hands them out, and which steps are to be announced.

use compact_str::CompactString;
use hingestage_replication::{signed, Micros};
use hingestage_rpc::trials::{TrialNews, TrialRecord, TrialRevision, TrialStep};
use hingestage_trial::{due_step, Terms};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;
/// How long terms are known to be durable before their first step is announced, microseconds. By then a proxy that has
/// not heard of them holds no part of any quota, as that lease is shorter.
pub const NOTICE: Micros = 12_000_000;

/// A trial that is durable.
struct Known {
    record: TrialRecord,
    /// Its terms; none where another build, which checked less, let them pass.
    terms: Option<Terms>,
    /// When it was known to be durable; below zero where that was before this process began.
    durable_by: i64,
    /// Number of the change that brought it.
    number: u64,
    /// Since when any terms of the tenant are known to have been durable.
    noticed_at: i64,
}

/// All trials that are durable.
pub struct TrialLog {
    incarnation: u64,
    notice: Micros,
    number: u64,
    trials: BTreeMap<CompactString, Known>,
}

impl TrialLog {
    /// None is known. `incarnation` tells this life of the registry from others; `notice` is usually [`NOTICE`].
    pub fn new(incarnation: u64, notice: Micros) -> TrialLog {
        TrialLog { incarnation, notice, number: 0, trials: BTreeMap::new() }
    }

    /// Takes in what the store told now. Tells whether anything is new.
    pub fn take(&mut self, now: Micros, news: Vec<TrialNews>) -> bool {
        let number = self.number + 1;
        for TrialNews { record, age } in news {
            let held = self.trials.get(&record.tenant);
            if held.is_some_and(|held| held.record.position >= record.position) {
                continue;
            }
            let durable_by = signed(now) - signed(age * MILLI);
            let noticed_at = held.map_or(durable_by, |held| held.noticed_at);
            self.number = number;
            let terms = Terms::parse(&record.terms).ok();
            let known = Known { record, terms, durable_by, number, noticed_at };
            self.trials.insert(known.record.tenant.clone(), known);
        }
        self.number == number
    }

    /// What this registry has.
    pub fn revision(&self) -> TrialRevision {
        TrialRevision { incarnation: self.incarnation, number: self.number }
    }

    /// Whether one who was told up to a revision lacks anything.
    pub fn has_news_for(&self, theirs: TrialRevision) -> bool {
        let known = if theirs.incarnation == self.incarnation { theirs.number } else { 0 };
        self.number > known
    }

    /// What one who was told up to a revision lacks: everything, where that was of another life.
    pub fn since(&self, now: Micros, theirs: TrialRevision) -> Vec<TrialNews> {
        let known = if theirs.incarnation == self.incarnation { theirs.number } else { 0 };
        let newer = self.trials.values().filter(|trial| trial.number > known);
        newer.map(|trial| TrialNews { record: trial.record.clone(), age: trial.age(now) }).collect()
    }

    /// A tenant's trial.
    pub fn get(&self, tenant: &str) -> Option<&TrialRecord> {
        self.trials.get(tenant).map(|trial| &trial.record)
    }

    /// All trials, each with the time since it was known to be durable, milliseconds.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = (&TrialRecord, u64)> {
        self.trials.values().map(move |trial| (&trial.record, trial.age(now)))
    }

    /// Tenants with terms.
    pub fn len(&self) -> usize {
        self.trials.len()
    }

    /// Whether no tenant has terms.
    pub fn is_empty(&self) -> bool {
        self.trials.is_empty()
    }

    /// The steps to be announced at a time of day, milliseconds since 1970.
    pub fn steps_due(&self, now: Micros, time_of_day: u64) -> Vec<TrialStep> {
        let noticed =
            self.trials.values().filter(|trial| signed(now) >= trial.noticed_at + signed(self.notice));
        noticed.filter_map(|trial| due_step(&trial.record, trial.terms.as_ref()?, time_of_day)).collect()
    }
}

impl Known {
    fn age(&self, now: Micros) -> u64 {
        (signed(now) - self.durable_by).max(0).unsigned_abs() / MILLI
    }
}
