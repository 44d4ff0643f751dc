//! The owner that deals out uneven shares of one common limit.

use crate::{GatewayId, Incarnation, Micros, ShareAnswer, ShareGrant, ShareReport, Term, WHOLE};
use std::collections::BTreeMap;

/// Of the whole, one in so many units is dealt out evenly whatever the demand.
const EVEN: u32 = 10;
/// Leases of silence after which a holder is forgotten.
const SILENT_LEASES: Micros = 2;
/// Grants to one holder that are told apart. Beyond, the two oldest count as one with the greater share.
const OUTSTANDING: usize = 16;

/// The leases of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// How long a share holds on the holder's clock. The same for all owners of one limit.
    pub lease: Micros,
    /// How much longer the owner takes it to hold: by as much may clocks drift apart within a lease.
    pub margin: Micros,
}

/// A grant that its holder may go by.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    grant: u64,
    units: u32,
    until: Micros,
}

#[derive(Clone, Debug)]
struct Holder {
    incarnation: Incarnation,
    sequence: u64,
    demand: f64,
    heard_at: Micros,
    /// Oldest first.
    outstanding: Vec<Outstanding>,
}

/// Deals out shares of one common limit by demand.
///
/// # The sum
/// A holder counts with the greatest share of all the grants that it may still go by: those whose lease isn't over, from
/// the last one on that it said it applied. No grant is above the whole less what all others count with. A grant that
/// is lost holds nobody up for longer than its lease; a smaller share frees its units once the holder says that it goes
/// by it.
///
/// # Change of owner
/// Two owners must never deal out at one time: a tenure ends at `owned_until`, which is extended by whoever assigns owners,
/// and the next one begins later, with a greater [`Term`]. It doesn't know what was granted, so for one lease it raises
/// nothing: it grants no more than a holder reports to hold. Such a report must name the new tenure, which makes sure that
/// it was sent after the last one had ended: what a holder held then, nobody else has been granted.
#[derive(Clone, Debug)]
pub struct ShareOwner {
    settings: ShareSettings,
    term: Term,
    owned_until: Micros,
    raises_from: Micros,
    grants: u64,
    holders: BTreeMap<GatewayId, Holder>,
}

impl ShareOwner {
    /// An owner whose tenure begins now.
    pub fn new(now: Micros, term: Term, owned_until: Micros, settings: ShareSettings) -> ShareOwner {
        let raises_from = now + settings.lease + settings.margin;
        ShareOwner { settings, term, owned_until, raises_from, grants: 0, holders: BTreeMap::new() }
    }

    /// The tenure goes on until a later moment.
    pub fn extend(&mut self, owned_until: Micros) {
        self.owned_until = self.owned_until.max(owned_until);
    }

    /// Holders known.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Answers a report. There is no answer to reports that come late, nor after the tenure.
    pub fn receive(&mut self, now: Micros, from: GatewayId, report: &ShareReport) -> Option<ShareAnswer> {
        if now >= self.owned_until {
            return None;
        }
        if report.term != self.term {
            return (report.term < self.term).then_some(ShareAnswer::NewTerm(self.term));
        }
        self.expire(now);
        self.hear(now, from, report).then_some(())?;
        let units = self.target(from).min(self.most(now, from, report));
        self.grants += 1;
        let holder = self.holders.get_mut(&from)?;
        let until = now + self.settings.lease + self.settings.margin;
        holder.grant(Outstanding { grant: self.grants, units, until });
        Some(ShareAnswer::Granted(ShareGrant {
            term: self.term,
            grant: self.grants,
            incarnation: report.incarnation,
            sequence: report.sequence,
            units,
            lease: self.settings.lease,
        }))
    }

    fn expire(&mut self, now: Micros) {
        let silence = SILENT_LEASES * (self.settings.lease + self.settings.margin);
        for holder in self.holders.values_mut() {
            holder.outstanding.retain(|outstanding| now < outstanding.until);
        }
        self.holders.retain(|_, holder| now < holder.heard_at + silence || !holder.outstanding.is_empty());
    }

    /// Takes in a report, unless it comes after a later one.
    fn hear(&mut self, now: Micros, from: GatewayId, report: &ShareReport) -> bool {
        let holder = self.holders.entry(from).or_insert_with(|| Holder {
            incarnation: report.incarnation,
            sequence: 0,
            demand: 0.0,
            heard_at: now,
            outstanding: Vec::new(),
        });
        if (report.incarnation, report.sequence) <= (holder.incarnation, holder.sequence) {
            return false;
        }
        if report.incarnation > holder.incarnation {
            // The run before has ended, and what it held with it.
            holder.incarnation = report.incarnation;
            holder.outstanding.clear();
        }
        holder.sequence = report.sequence;
        holder.demand = report.demand.max(0.0);
        holder.heard_at = now;
        holder.outstanding.retain(|outstanding| outstanding.grant >= report.applied);
        true
    }

    /// A holder's share by its demand.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn target(&self, holder: GatewayId) -> u32 {
        let count = u32::try_from(self.holders.len()).unwrap_or(WHOLE).max(1);
        let all: f64 = self.holders.values().map(|holder| holder.demand).sum();
        let demand = self.holders.get(&holder).map_or(0.0, |holder| holder.demand);
        if all <= 0.0 {
            return WHOLE / count;
        }
        let even = WHOLE / EVEN / count;
        let by_demand = f64::from(WHOLE - even * count) * (demand / all);
        even + by_demand as u32
    }

    /// The most that a holder may be granted now.
    fn most(&self, now: Micros, holder: GatewayId, report: &ShareReport) -> u32 {
        if now < self.raises_from {
            return report.held;
        }
        let others = self.holders.iter().filter(|(other, _)| **other != holder);
        let taken: u32 = others.map(|(_, other)| other.counts_with()).sum();
        WHOLE.saturating_sub(taken)
    }
}

impl Holder {
    fn counts_with(&self) -> u32 {
        self.outstanding.iter().map(|outstanding| outstanding.units).max().unwrap_or(0)
    }

    fn grant(&mut self, grant: Outstanding) {
        if self.outstanding.len() == OUTSTANDING {
            let oldest = self.outstanding.remove(0);
            let next = &mut self.outstanding[0];
            next.units = next.units.max(oldest.units);
        }
        self.outstanding.push(grant);
    }
}
