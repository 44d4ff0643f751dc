//! Which steps are to be announced, as the one registry that has the duty decides it.

use crate::terms::Terms;
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TrialStep};

/// The step of a trial that is due at a time of day, milliseconds since 1970; none where it has been announced.
///
/// A step is decided once: what is durable is never taken back, whatever clocks say later or elsewhere.
pub fn due_step(record: &TrialRecord, terms: &Terms, time_of_day: u64) -> Option<TrialStep> {
    let step = terms.step_due(time_of_day);
    let due = step > record.position.step;
    let position = TrialPosition { step, ..record.position };
    due.then(|| TrialStep { tenant: record.tenant.clone(), position })
}
