//! Which workers each open request was sent to.

use crate::dialect::WorkerDialect;
use crate::request_log::RequestLog;
use compact_str::CompactString;
use hingestage_dataplane::hooks::Subsystems;
use hingestage_policy::{Outcome, WorkerId};
use hingestage_rpc::status::{AttemptOutcome, AttemptRecord};
use hyper::header::HeaderValue;
use std::collections::HashMap;
use std::rc::Rc;

/// Attempts that are remembered of one request.
const ATTEMPTS_MAX: usize = 16;

/// Attempts of open requests, by the requests' ids.
#[derive(Default)]
pub struct OpenAttempts(HashMap<HeaderValue, Vec<AttemptRecord>>);

impl OpenAttempts {
    /// Begins to note a request's attempts; false where one with its id is open already.
    pub fn begin(&mut self, id: &HeaderValue) -> bool {
        if self.0.contains_key(id) {
            return false;
        }
        self.0.insert(id.clone(), Vec::new());
        true
    }

    /// Notes an attempt, where its request is open.
    pub fn note(&mut self, id: &HeaderValue, attempt: AttemptRecord) {
        if let Some(attempts) = self.0.get_mut(id).filter(|attempts| attempts.len() < ATTEMPTS_MAX) {
            attempts.push(attempt);
        }
    }

    /// Gives a request's attempts, and forgets them.
    pub fn end(&mut self, id: &HeaderValue) -> Vec<AttemptRecord> {
        self.0.remove(id).unwrap_or_default()
    }

    /// Open requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Notes how attempts of one service end.
pub(crate) struct AttemptObserver {
    log: Rc<RequestLog>,
    dialect: Rc<WorkerDialect>,
}

impl AttemptObserver {
    /// Notes attempts in a log, under the names that workers have in a dialect.
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

/// An outcome as operators are told of it.
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
