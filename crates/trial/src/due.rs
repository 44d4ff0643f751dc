//! Which steps are to be announced, as the one registry that has the duty decides it.

use crate::terms::Terms;
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TrialStep};

/// The steps that are due at a time of day, milliseconds since 1970, of trials whose terms are known long enough.
///
/// A step is decided once: what is durable is never taken back, whatever clocks say later or elsewhere.
pub fn due_steps<'a>(records: impl Iterator<Item = &'a TrialRecord>, time_of_day: u64) -> Vec<TrialStep> {
    records.filter_map(|record| due_step(record, time_of_day)).collect()
}

fn due_step(record: &TrialRecord, time_of_day: u64) -> Option<TrialStep> {
    let terms = Terms::parse(&record.terms).ok()?;
    let step = terms.step_due(time_of_day);
    let due = step > record.position.step;
    let position = TrialPosition { step, ..record.position };
    due.then(|| TrialStep { tenant: record.tenant.clone(), position })
}
