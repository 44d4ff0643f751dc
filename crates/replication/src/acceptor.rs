//! The acceptor: what a store has promised and accepted, on disk before it is said.
//!
//! Invariant *promise*: once a ballot is promised, nothing below it is accepted. Invariant *disk first*: an answer leaves
//! only once what it says is on disk; where the disk refuses, nothing has changed.

use crate::state::State;
use crate::Micros;
use hingestage_rpc::messages::{Ballot, PeerAnswer, Standing, StoreMember, Transfer};
use std::io;

/// How long another proposer's ballot is refused after a promise, so that proposals don't overtake each other for ever.
const PROMISE_REST: Micros = 350_000;

/// What a store has on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// No proposal below this ballot is accepted.
    pub promised: Ballot,
    /// Ballot of the proposal that was accepted last.
    pub accepted: Ballot,
    /// The state that it proposed.
    pub state: State,
}

/// Where a record is made durable.
pub trait Disk {
    /// Makes a record durable in place of the one before. Where it fails, either may be found after a restart.
    ///
    /// # Errors
    /// The disk refuses.
    fn write(&mut self, record: &Record) -> io::Result<()>;
}

/// The acceptor.
#[derive(Clone, Debug)]
pub struct Acceptor {
    me: StoreMember,
    record: Record,
    /// When the promise was made that no proposal has followed yet.
    promised_at: Option<Micros>,
}

impl Acceptor {
    /// An acceptor with what its disk held.
    pub fn new(me: StoreMember, record: Record) -> Acceptor {
        Acceptor { me, record, promised_at: None }
    }

    /// What is on disk.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The state before any proposal, the same for all founders of a system.
    pub fn found(&mut self, state: State) {
        self.record.state = state;
    }

    /// Promises a ballot, unless a higher one was promised or another proposal is under way.
    pub fn prepare(
        &mut self,
        now: Micros,
        ballot: Ballot,
        standing: Standing,
        disk: &mut impl Disk,
    ) -> PeerAnswer {
        let promised = self.record.promised;
        let other_under_way = promised.proposer != ballot.proposer
            && self.promised_at.is_some_and(|at| now < at + PROMISE_REST);
        if ballot <= promised || other_under_way {
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

    /// A proposer has given its round up: others need not wait for it.
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
        let Some(state) = self.record.state.with(transfer) else {
            return PeerAnswer::Lacks { from: self.me.clone(), ballot, have: self.record.state.summary() };
        };
        self.take(Record { promised: ballot, accepted: ballot, state }, disk)
    }

    /// Takes in a proposal that is decided. It may be below what was promised: whoever got that promise hears of the
    /// proposal from those who decided it.
    pub fn learn(&mut self, ballot: Ballot, state: State, disk: &mut impl Disk) -> bool {
        if ballot <= self.record.accepted {
            return false;
        }
        let promised = self.record.promised.max(ballot);
        let answer = self.take(Record { promised, accepted: ballot, state }, disk);
        matches!(answer, PeerAnswer::Accepted { .. })
    }

    fn take(&mut self, record: Record, disk: &mut impl Disk) -> PeerAnswer {
        if disk.write(&record).is_err() {
            return PeerAnswer::Failed;
        }
        self.record = record;
        self.promised_at = None;
        PeerAnswer::Accepted { from: self.me.clone(), ballot: self.record.accepted }
    }
}
