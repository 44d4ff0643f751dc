//! The trials known to one proxy, and the step that applies to each tenant.

use crate::terms::{QuotaLevel, Terms};
use crate::timeline::{StepInEffect, Timeline, TrialTiming};
use compact_str::CompactString;
use hingestage_replication::{signed, Freshness, Micros};
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord, TRIALS_MAX};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;
/// Shortest retry delay, in microseconds.
const RETRY_DELAY_MIN: Micros = 20 * MILLI;

/// Parsed terms with their version and digest.
#[derive(Debug)]
struct KnownTerms {
    position: TrialPosition,
    terms: Rc<Terms>,
}

/// The trial of one tenant.
#[derive(Debug, Default)]
struct Trial {
    timeline: Timeline,
    /// Terms of the positions in the timeline, newest last.
    terms: Vec<KnownTerms>,
}

/// The step in effect for a tenant.
#[derive(Clone, Debug)]
pub struct ActiveStep {
    /// Position of the step.
    pub position: TrialPosition,
    /// The part of the quota that it leaves.
    pub level: QuotaLevel,
    /// The terms it belongs to.
    pub terms: Rc<Terms>,
}

/// What applies to a tenant's request.
#[derive(Clone, Debug)]
pub enum TrialDecision {
    /// The quota alone; no trial is in effect.
    NoTrial,
    /// A step of the trial.
    Trial(ActiveStep),
    /// This proxy cannot tell for this many microseconds: the request goes to another proxy or is retried.
    Unknown(Micros),
}

/// The trials known to one proxy.
#[derive(Debug, Default)]
pub struct TrialTracker {
    timing: TrialTiming,
    trials: BTreeMap<CompactString, Trial>,
    freshness: Freshness,
}

impl TrialTracker {
    /// Creates a tracker without trials.
    pub fn new(timing: TrialTiming) -> TrialTracker {
        TrialTracker { timing, ..TrialTracker::default() }
    }

    /// Applies trial records from a registry's answer that arrived at `received_at`.
    pub fn apply_updates(&mut self, received_at: Micros, updates: Vec<TrialNews>) {
        for TrialNews { record, age } in updates {
            let known_by = signed(received_at).saturating_sub(signed(age.saturating_mul(MILLI)));
            self.apply_record(received_at, record, known_by);
        }
    }

    fn apply_record(&mut self, now: Micros, record: TrialRecord, known_by: i64) {
        let known = self.trials.get(&record.tenant);
        if !known.is_some_and(|trial| trial.knows_terms_of(&record.position)) {
            let full = known.is_none() && self.trials.len() >= TRIALS_MAX;
            // Registries validate terms, but one of another version might accept terms that this one does not.
            let Some(terms) = Terms::parse(&record.terms).ok().filter(|_| !full) else { return };
            let trial = self.trials.entry(record.tenant.clone()).or_default();
            trial.terms.push(KnownTerms { position: record.position, terms: Rc::new(terms) });
            trial.terms.sort_unstable_by_key(|known| known.position);
        }
        let Some(trial) = self.trials.get_mut(&record.tenant) else { return };
        trial.timeline.learn(now, record.position, self.freshness, known_by, &self.timing);
    }

    /// Records that an answer to a request sent at `asked_at` had data `age` milliseconds old. Call it after
    /// [`TrialTracker::apply_updates`] with the records of the same answer.
    pub fn observe_freshness(&mut self, asked_at: Micros, age: Option<u64>) {
        if let Some(age) = age {
            self.freshness.observe(asked_at, age * MILLI);
        }
    }

    /// What applies to a tenant's request that starts now.
    pub fn decide(&mut self, now: Micros, tenant: &str) -> TrialDecision {
        let Some(trial) = self.trials.get_mut(tenant) else { return TrialDecision::NoTrial };
        if now >= self.freshness.lease_expires_at(self.timing.lease) {
            return TrialDecision::Unknown(RETRY_DELAY_MIN);
        }
        match trial.timeline.step_in_effect(now, &self.timing) {
            StepInEffect::NoTerms => TrialDecision::NoTrial,
            StepInEffect::Unknown(until) => TrialDecision::Unknown((until - now).max(RETRY_DELAY_MIN)),
            StepInEffect::Position(position) => trial.decision_at(position),
        }
    }

    /// Time left until trial tenants can no longer be evaluated without a new answer.
    pub fn lease_left(&self, now: Micros) -> Micros {
        self.freshness.lease_expires_at(self.timing.lease).saturating_sub(now)
    }

    /// The highest known position of a tenant's trial, in effect or not.
    pub fn newest_position(&self, tenant: &str) -> Option<TrialPosition> {
        self.trials.get(tenant)?.timeline.newest_position()
    }

    /// Number of tenants with terms.
    pub fn len(&self) -> usize {
        self.trials.len()
    }

    /// Whether no tenant has terms.
    pub fn is_empty(&self) -> bool {
        self.trials.is_empty()
    }
}

impl Trial {
    fn knows_terms_of(&self, position: &TrialPosition) -> bool {
        self.terms.iter().any(|known| known.position.has_terms_of(position))
    }

    fn decision_at(&mut self, position: TrialPosition) -> TrialDecision {
        // Terms older than those in effect are no longer needed.
        let in_effect = self.terms.iter().position(|known| known.position.has_terms_of(&position));
        self.terms.drain(..in_effect.unwrap_or_default());
        let Some(known) = self.terms.first() else { return TrialDecision::NoTrial };
        let level = known.terms.level(position.step);
        TrialDecision::Trial(ActiveStep { position, level, terms: known.terms.clone() })
    }
}
