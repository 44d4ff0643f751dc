//! Holder of an uneven share of a limit.

use crate::{Incarnation, Micros, ShareAnswer, ShareGrant, ShareMeter, ShareReport, Term, WHOLE};
use std::collections::VecDeque;

/// Maximum number of unanswered reports.
const MAX_PENDING: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Micros,
}

/// Holds a share of one shared limit, granted by an owner under a lease.
///
/// The lease starts when the requesting report is sent, so it expires here before it expires at the owner,
/// whatever the network delay. Once the answer to a report has been applied, answers to earlier ones are
/// ignored.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    incarnation: Incarnation,
    sequence: u64,
    pending: VecDeque<Pending>,
    term: Term,
    applied: u64,
    units: u32,
    valid_until: Micros,
}

impl ShareHolder {
    /// Creates a holder without a share.
    pub fn new(incarnation: Incarnation) -> ShareHolder {
        ShareHolder {
            incarnation,
            sequence: 0,
            pending: VecDeque::new(),
            term: Term(0),
            applied: 0,
            units: 0,
            valid_until: 0,
        }
    }

    /// The units held; 0 once the lease has expired.
    pub fn units(&self, now: Micros) -> u32 {
        if now < self.valid_until {
            self.units
        } else {
            0
        }
    }

    /// Reports the held share to a meter.
    pub fn observe(&self, now: Micros, meter: &mut ShareMeter) {
        meter.observe_share(now, f64::from(self.units) / f64::from(WHOLE), self.valid_until);
    }

    /// Creates a report that requests a share. Must be called several times within a lease.
    pub fn report(&mut self, now: Micros, demand: f64) -> ShareReport {
        self.sequence += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending { sequence: self.sequence, sent_at: now });
        ShareReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            term: self.term,
            applied: self.applied,
            held: self.units(now),
            demand,
        }
    }

    /// Processes an owner's answer.
    pub fn receive(&mut self, answer: &ShareAnswer) {
        match answer {
            ShareAnswer::NewTerm(term) => self.advance_term(*term),
            ShareAnswer::Granted(grant) => self.apply(grant),
        }
    }

    /// Switches to a newer term. The held share stays valid until its lease expires or a grant of the new term
    /// replaces it.
    fn advance_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.applied = 0;
        }
    }

    fn apply(&mut self, grant: &ShareGrant) {
        if grant.incarnation != self.incarnation || grant.term != self.term {
            return;
        }
        let answered = self.pending.iter().find(|pending| pending.sequence == grant.sequence);
        let Some(sent_at) = answered.map(|pending| pending.sent_at) else { return };
        self.pending.retain(|pending| pending.sequence > grant.sequence);
        self.applied = grant.grant;
        self.units = grant.units;
        self.valid_until = sent_at + grant.lease;
    }
}
