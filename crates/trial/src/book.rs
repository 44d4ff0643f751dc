//! The trials that one proxy knows.

use crate::terms::{Level, Terms};
use crate::timeline::{InEffect, Spans, Timeline};
use compact_str::CompactString;
use hingestage_replication::{signed, Freshness, Micros};
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord, TRIALS_MAX};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;
/// The shortest wait that is told, microseconds.
const WAIT_LEAST: Micros = 20 * MILLI;

/// Terms with the version and digest that they are known by.
#[derive(Debug)]
struct KnownTerms {
    position: TrialPosition,
    terms: Rc<Terms>,
}

#[derive(Debug, Default)]
struct Trial {
    timeline: Timeline,
    /// The terms that the timeline names, the newest last.
    terms: Vec<KnownTerms>,
}

/// What holds for a tenant.
#[derive(Clone, Debug)]
pub struct Standing {
    /// The step that is in effect.
    pub position: TrialPosition,
    /// What it leaves of the quota.
    pub level: Level,
    /// The terms.
    pub terms: Rc<Terms>,
}

/// By what a tenant's request is judged.
#[derive(Clone, Debug)]
pub enum Judgement {
    /// By its quota alone.
    NoTrial,
    /// By a step of its trial.
    Trial(Standing),
    /// This proxy can't tell for so long, microseconds: the request goes elsewhere, or comes again.
    Unknown(Micros),
}

/// The trials that one proxy knows.
#[derive(Debug, Default)]
pub struct TrialBook {
    spans: Spans,
    trials: BTreeMap<CompactString, Trial>,
    freshness: Freshness,
}

impl TrialBook {
    /// Nothing is known.
    pub fn new(spans: Spans) -> TrialBook {
        TrialBook { spans, ..TrialBook::default() }
    }

    /// Takes in what a registry told of trials; `told_at` is when the answer came.
    pub fn take(&mut self, told_at: Micros, news: Vec<TrialNews>) {
        for TrialNews { record, age } in news {
            let known_by = signed(told_at).saturating_sub(signed(age.saturating_mul(MILLI)));
            self.take_record(told_at, record, known_by);
        }
    }

    fn take_record(&mut self, now: Micros, record: TrialRecord, known_by: i64) {
        let known = self.trials.get(&record.tenant);
        if !known.is_some_and(|trial| trial.knows_terms_of(&record.position)) {
            let full = known.is_none() && self.trials.len() >= TRIALS_MAX;
            // Registries hand out only what they checked; another build of them might have checked less.
            let Some(terms) = Terms::parse(&record.terms).ok().filter(|_| !full) else { return };
            let trial = self.trials.entry(record.tenant.clone()).or_default();
            trial.terms.push(KnownTerms { position: record.position, terms: Rc::new(terms) });
            trial.terms.sort_unstable_by_key(|known| known.position);
        }
        let Some(trial) = self.trials.get_mut(&record.tenant) else { return };
        trial.timeline.learn(now, record.position, self.freshness, known_by, &self.spans);
    }

    /// Takes in how recent the news is: asked for at `asked_at`, `age` milliseconds old when it was told. Due after
    /// [`TrialBook::take`] with the news of the same answer.
    pub fn take_freshness(&mut self, asked_at: Micros, age: Option<u64>) {
        if let Some(age) = age {
            self.freshness.note(asked_at, age * MILLI);
        }
    }

    /// By what a tenant's request is judged that begins now.
    pub fn judge(&mut self, now: Micros, tenant: &str) -> Judgement {
        let Some(trial) = self.trials.get_mut(tenant) else { return Judgement::NoTrial };
        if now >= self.freshness.lease_until(self.spans.lease) {
            return Judgement::Unknown(WAIT_LEAST);
        }
        match trial.timeline.at(now, &self.spans) {
            InEffect::Untouched => Judgement::NoTrial,
            InEffect::Unknown(until) => Judgement::Unknown((until - now).max(WAIT_LEAST)),
            InEffect::Position(position) => trial.standing(position),
        }
    }

    /// How much longer trial tenants are judged without further news.
    pub fn lease_left(&self, now: Micros) -> Micros {
        self.freshness.lease_until(self.spans.lease).saturating_sub(now)
    }

    /// The highest step known of a tenant's trial, in effect or not.
    pub fn newest(&self, tenant: &str) -> Option<TrialPosition> {
        self.trials.get(tenant)?.timeline.newest()
    }

    /// Tenants with terms.
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

    fn standing(&mut self, position: TrialPosition) -> Judgement {
        // Terms before those in effect are named no more.
        let in_effect = self.terms.iter().position(|known| known.position.has_terms_of(&position));
        self.terms.drain(..in_effect.unwrap_or_default());
        let Some(known) = self.terms.first() else { return Judgement::NoTrial };
        let level = known.terms.level(position.step);
        Judgement::Trial(Standing { position, level, terms: known.terms.clone() })
    }
}
