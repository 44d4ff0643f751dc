//! Owner that grants uneven shares of one shared limit.

use crate::{GatewayId, Incarnation, Micros, ShareAnswer, ShareGrant, ShareReport, Term, WHOLE};
use std::collections::BTreeMap;

/// One unit in this many is divided evenly, whatever the demand.
const EVEN_DIVISOR: u32 = 10;
/// Number of lease durations without a report after which a holder is evicted.
const HOLDER_EXPIRY_LEASES: Micros = 2;
/// Maximum number of outstanding grants per holder. Beyond it, the two oldest are merged with the greater share.
const MAX_OUTSTANDING: usize = 16;

/// Lease parameters of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// Duration of a lease on the holder's clock, µs. Must be the same for all owners of one limit.
    pub lease: Micros,
    /// Additional time for which the owner counts a lease, to allow for clock drift, µs.
    pub margin: Micros,
}

/// A grant that its holder may still use.
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
    last_report_at: Micros,
    /// Oldest first.
    outstanding: Vec<Outstanding>,
}

/// Grants shares of one shared limit by demand.
///
/// # Safety
/// A holder is charged the greatest share among the grants that it may still use: those with an unexpired
/// lease, starting with the last one that it reported as applied. A grant never exceeds the whole minus what
/// all others are charged. A lost grant blocks its units no longer than its lease; a smaller share frees units
/// once the holder reports it as applied.
///
/// # Change of owner
/// Two owners must never grant at the same time: a term ends at `owned_until`, which the assigner of owners
/// extends, and the next term starts later with a greater [`Term`]. A new owner does not know earlier grants,
/// so for one lease it raises no share: it grants at most what a holder reports to hold. Such a report must
/// name the new term, which proves that it was sent after the previous term ended: what the holder held then
/// was granted to no one else.
#[derive(Clone, Debug)]
pub struct ShareOwner {
    settings: ShareSettings,
    term: Term,
    owned_until: Micros,
    raise_from: Micros,
    grants: u64,
    holders: BTreeMap<GatewayId, Holder>,
}

impl ShareOwner {
    /// Creates an owner whose term starts now.
    pub fn new(now: Micros, term: Term, owned_until: Micros, settings: ShareSettings) -> ShareOwner {
        let raise_from = now + settings.lease + settings.margin;
        ShareOwner { settings, term, owned_until, raise_from, grants: 0, holders: BTreeMap::new() }
    }

    /// Extends the term.
    pub fn extend(&mut self, owned_until: Micros) {
        self.owned_until = self.owned_until.max(owned_until);
    }

    /// Number of known holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Answers a report. Returns `None` for outdated reports and after the term.
    pub fn receive(&mut self, now: Micros, from: GatewayId, report: &ShareReport) -> Option<ShareAnswer> {
        if now >= self.owned_until {
            return None;
        }
        if report.term != self.term {
            return (report.term < self.term).then_some(ShareAnswer::NewTerm(self.term));
        }
        self.expire(now);
        self.record_report(now, from, report).then_some(())?;
        let units = self.target(from).min(self.max_grant(now, from, report));
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
        let silence = HOLDER_EXPIRY_LEASES * (self.settings.lease + self.settings.margin);
        for holder in self.holders.values_mut() {
            holder.outstanding.retain(|outstanding| now < outstanding.until);
        }
        self.holders
            .retain(|_, holder| now < holder.last_report_at + silence || !holder.outstanding.is_empty());
    }

    /// Records a report, unless a later one was received before.
    fn record_report(&mut self, now: Micros, from: GatewayId, report: &ShareReport) -> bool {
        let holder = self.holders.entry(from).or_insert_with(|| Holder {
            incarnation: report.incarnation,
            sequence: 0,
            demand: 0.0,
            last_report_at: now,
            outstanding: Vec::new(),
        });
        if (report.incarnation, report.sequence) <= (holder.incarnation, holder.sequence) {
            return false;
        }
        if report.incarnation > holder.incarnation {
            // The previous run has ended and holds nothing.
            holder.incarnation = report.incarnation;
            holder.outstanding.clear();
        }
        holder.sequence = report.sequence;
        holder.demand = report.demand.max(0.0);
        holder.last_report_at = now;
        holder.outstanding.retain(|outstanding| outstanding.grant >= report.applied);
        true
    }

    /// A holder's share in proportion to its demand.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn target(&self, holder: GatewayId) -> u32 {
        let count = u32::try_from(self.holders.len()).unwrap_or(WHOLE).max(1);
        let total: f64 = self.holders.values().map(|holder| holder.demand).sum();
        let demand = self.holders.get(&holder).map_or(0.0, |holder| holder.demand);
        if total <= 0.0 {
            return WHOLE / count;
        }
        let even = WHOLE / EVEN_DIVISOR / count;
        let by_demand = f64::from(WHOLE - even * count) * (demand / total);
        even + by_demand as u32
    }

    /// The maximum that may be granted to a holder now.
    fn max_grant(&self, now: Micros, holder: GatewayId, report: &ShareReport) -> u32 {
        if now < self.raise_from {
            return report.held;
        }
        let others = self.holders.iter().filter(|(other, _)| **other != holder);
        let charged: u32 = others.map(|(_, other)| other.charged_units()).sum();
        WHOLE.saturating_sub(charged)
    }
}

impl Holder {
    fn charged_units(&self) -> u32 {
        self.outstanding.iter().map(|outstanding| outstanding.units).max().unwrap_or(0)
    }

    fn grant(&mut self, grant: Outstanding) {
        if self.outstanding.len() == MAX_OUTSTANDING {
            let oldest = self.outstanding.remove(0);
            let next = &mut self.outstanding[0];
            next.units = next.units.max(oldest.units);
        }
        self.outstanding.push(grant);
    }
}
