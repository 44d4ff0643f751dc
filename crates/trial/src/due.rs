//! Determines due steps, for the registry that announces them.

use crate::terms::Terms;
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TrialStep};

/// The step of a trial that is due at a Unix time in milliseconds; `None` if it was announced already.
///
/// Steps never move back: a durable step stays even if a clock is later set back or is behind on another machine.
pub fn due_step(record: &TrialRecord, terms: &Terms, unix_millis: u64) -> Option<TrialStep> {
    let step = terms.step_due(unix_millis);
    let is_due = step > record.position.step;
    let position = TrialPosition { step, ..record.position };
    is_due.then(|| TrialStep { tenant: record.tenant.clone(), position })
}
