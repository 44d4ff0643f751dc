//! A gateway that holds an uneven share.

use crate::{Incarnation, Micros, PartMeter, ShareAnswer, ShareGrant, ShareReport, Term, WHOLE};
use std::collections::VecDeque;

/// Reports whose answers are still waited for.
const PENDING: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Micros,
}

/// Holds a share of one common limit, granted by an owner under a lease.
///
/// The lease begins when the report that asked for it was sent, so it ends here before it ends at the owner, whatever
/// the way took. Once the answer to a later report has been applied, that to an earlier one never is.
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
    /// A holder that begins with nothing.
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

    /// The units held: none once the lease has ended.
    pub fn units(&self, now: Micros) -> u32 {
        if now < self.valid_until {
            self.units
        } else {
            0
        }
    }

    /// Tells a meter what is held.
    pub fn observe(&self, now: Micros, meter: &mut PartMeter) {
        meter.observe_share(now, f64::from(self.units) / f64::from(WHOLE), self.valid_until);
    }

    /// Asks for a share. Due several times within a lease.
    pub fn report(&mut self, now: Micros, demand: f64) -> ShareReport {
        self.sequence += 1;
        if self.pending.len() == PENDING {
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

    /// Takes in an owner's answer.
    pub fn receive(&mut self, answer: &ShareAnswer) {
        match answer {
            ShareAnswer::NewTerm(term) => self.enter(*term),
            ShareAnswer::Granted(grant) => self.apply(grant),
        }
    }

    /// What is held stays held until its lease ends, or a grant of the new tenure takes its place.
    fn enter(&mut self, term: Term) {
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
