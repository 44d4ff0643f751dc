//! Records of the attempts that each open request made at workers.

use crate::dialect::WorkerDialect;
use crate::request_log::RequestLog;
use compact_str::CompactString;
use hingestage_dataplane::hooks::Subsystems;
use hingestage_policy::{Outcome, WorkerId};
use hingestage_rpc::status::{AttemptOutcome, AttemptRecord};
use hyper::header::HeaderValue;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of attempts recorded per request.
const MAX_RECORDED_ATTEMPTS: usize = 16;

/// Attempts of open requests, by request id.
#[derive(Default)]
pub struct OpenAttempts(HashMap<HeaderValue, Vec<AttemptRecord>>);

impl OpenAttempts {
    /// Starts recording a request's attempts; returns false if a request with this id is already open.
    pub fn begin(&mut self, id: &HeaderValue) -> bool {
        if self.0.contains_key(id) {
            return false;
        }
        self.0.insert(id.clone(), Vec::new());
        true
    }

    /// Records an attempt if its request is still open.
    pub fn record(&mut self, id: &HeaderValue, attempt: AttemptRecord) {
        if let Some(attempts) = self.0.get_mut(id).filter(|attempts| attempts.len() < MAX_RECORDED_ATTEMPTS) {
            attempts.push(attempt);
        }
    }

    /// Stops recording a request and returns its attempts.
    pub fn end(&mut self, id: &HeaderValue) -> Vec<AttemptRecord> {
        self.0.remove(id).unwrap_or_default()
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Records how a service's attempts end in the request log.
pub(crate) struct AttemptObserver {
    log: Rc<RequestLog>,
    dialect: Rc<WorkerDialect>,
}

impl AttemptObserver {
    /// Creates an observer that names workers by the ids held in `dialect`.
    pub fn new(log: Rc<RequestLog>, dialect: Rc<WorkerDialect>) -> Self {
        AttemptObserver { log, dialect }
    }

    fn worker_name(&self, worker: WorkerId) -> CompactString {
        let id = self.dialect.id(worker);
        id.and_then(|id| id.to_str().map(CompactString::from).ok()).unwrap_or_default()
    }
}

impl Subsystems for AttemptObserver {
    fn attempt_ended(&self, id: &HeaderValue, worker: WorkerId, outcome: Outcome) {
        let worker = self.worker_name(worker);
        self.log.attempt_ended(id, AttemptRecord { worker, outcome: attempt_outcome(outcome) });
    }
}

/// Maps a policy outcome to the one that operators see.
pub fn attempt_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Ok => AttemptOutcome::Served,
        Outcome::Error => AttemptOutcome::Error,
        Outcome::Full => AttemptOutcome::TurnedAway,
        Outcome::Timeout => AttemptOutcome::TimedOut,
        Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
        Outcome::Reset => AttemptOutcome::Reset,
        Outcome::Unusable => AttemptOutcome::Unusable,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::NotSent => AttemptOutcome::NotSent,
    }
}
