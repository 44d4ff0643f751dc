//! The acceptor: the ballots that a store has promised and accepted.
//!
//! Invariant *promise*: once a ballot is promised, no proposal below it is accepted. Invariant *disk first*: an
//! answer is returned only once what it says is durable; if the write fails, nothing has changed.

use crate::state::State;
use crate::Micros;
use hingestage_rpc::messages::{Ballot, PeerAnswer, Standing, StoreMember, Transfer};
use std::io;

/// How long ballots of other proposers are refused after a promise, in microseconds. Prevents livelock between
/// competing proposers.
const PROMISE_HOLD: Micros = 350_000;

/// The durable state of an acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Proposals below this ballot are refused.
    pub promised: Ballot,
    /// Ballot of the last accepted proposal.
    pub accepted: Ballot,
    /// State of the last accepted proposal.
    pub state: State,
}

/// Durable storage for a record.
pub trait Disk {
    /// Durably replaces the stored record. After an error, a restart may find either record.
    ///
    /// # Errors
    /// The write fails.
    fn write(&mut self, record: &Record) -> io::Result<()>;
}

/// The acceptor of one store.
#[derive(Clone, Debug)]
pub struct Acceptor {
    me: StoreMember,
    record: Record,
    /// When the latest promise was made, until a proposal follows it.
    promised_at: Option<Micros>,
}

impl Acceptor {
    /// Creates an acceptor from its stored record.
    pub fn new(me: StoreMember, record: Record) -> Acceptor {
        Acceptor { me, record, promised_at: None }
    }

    /// The durable record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Sets the initial state, which is the same for all founders.
    pub fn bootstrap(&mut self, state: State) {
        self.record.state = state;
    }

    /// Promises a ballot, unless one at least as high was promised or another proposer's round is in progress.
    pub fn prepare(
        &mut self,
        now: Micros,
        ballot: Ballot,
        standing: Standing,
        disk: &mut impl Disk,
    ) -> PeerAnswer {
        let promised = self.record.promised;
        let other_in_progress = promised.proposer != ballot.proposer
            && self.promised_at.is_some_and(|at| now < at + PROMISE_HOLD);
        if ballot <= promised || other_in_progress {
            return PeerAnswer::Refused { from: self.me.clone(), ballot, promised };
        }
        let record = Record { promised: ballot, ..self.record.clone() };
        if disk.write(&record).is_err() {
            return PeerAnswer::Failed;
        }
        self.record = record;
        self.promised_at = Some(now);
        PeerAnswer::Promised { from: self.me.clone(), ballot, standing }
    }

    /// Ends the hold for an abandoned round, so that other proposers need not wait.
    pub fn release(&mut self, ballot: Ballot) {
        if self.record.promised == ballot {
            self.promised_at = None;
        }
    }

    /// Accepts a proposal, unless a higher ballot was promised.
    pub fn accept(&mut self, ballot: Ballot, transfer: Transfer, disk: &mut impl Disk) -> PeerAnswer {
        let promised = self.record.promised;
        if ballot < promised {
            return PeerAnswer::Refused { from: self.me.clone(), ballot, promised };
        }
        if ballot == self.record.accepted {
            return PeerAnswer::Accepted { from: self.me.clone(), ballot };
        }
        let Some(state) = self.record.state.with_transfer(transfer) else {
            return PeerAnswer::Lacks { from: self.me.clone(), ballot, have: self.record.state.summary() };
        };
        self.store(Record { promised: ballot, accepted: ballot, state }, disk)
    }

    /// Stores a decided proposal; returns whether it is durable. It may be below the promised ballot: the promise's
    /// proposer learns of the decision from the quorum that made it.
    pub fn learn(&mut self, ballot: Ballot, state: State, disk: &mut impl Disk) -> bool {
        if ballot <= self.record.accepted {
            return false;
        }
        let promised = self.record.promised.max(ballot);
        let answer = self.store(Record { promised, accepted: ballot, state }, disk);
        matches!(answer, PeerAnswer::Accepted { .. })
    }

    fn store(&mut self, record: Record, disk: &mut impl Disk) -> PeerAnswer {
        if disk.write(&record).is_err() {
            return PeerAnswer::Failed;
        }
        self.record = record;
        self.promised_at = None;
        PeerAnswer::Accepted { from: self.me.clone(), ballot: self.record.accepted }
    }
}
