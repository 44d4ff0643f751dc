//! What a run was worth, seen from outside: not a rule, but what a change may cost without breaking one.
//!
//! Quotas are held as one gateway that saw everything would hold them. Two builds are compared by their sums
//! over the same seeds; one run alone says little.

use crate::asked::Asked;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::AddAssign;

/// A quota's store: what is left in it, and as of when.
type Store = (f64, Nanos);

/// What usual clients asked and got.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// By plan: units a second and units of its quota; none where nothing is turned away for it.
    quotas: Vec<Option<(f64, f64)>>,
    asked_of: BTreeMap<u64, Store>,
    sent_of: BTreeMap<u64, Store>,
    inside: BTreeSet<u64>,
    /// Requests asked inside their accounts' quotas, and of these how many were served.
    pub asked: u64,
    /// See `asked`.
    pub served: u64,
    /// Requests that were neither served nor refused.
    pub failed: u64,
    /// Units sent on by first attempts, and of these how many beyond the quotas.
    pub sent_units: f64,
    /// See `sent_units`.
    pub beyond_units: f64,
}

/// Takes units from an account's store if it holds them.
fn take(stores: &mut BTreeMap<u64, Store>, quota: Option<(f64, f64)>, now: Nanos, asked: &Asked) -> bool {
    let Some((rate, burst)) = quota else { return true };
    let (left, at) = stores.entry(asked.account).or_insert((burst, now));
    *left = (*left + rate * (now - *at) as f64 / 1e9).min(burst);
    *at = now;
    let holds = *left >= asked.units;
    *left -= if holds { asked.units } else { 0.0 };
    holds
}

impl Service {
    /// That of a site with these quotas, by plan.
    pub fn of(quotas: Vec<Option<(f64, f64)>>) -> Service {
        Service { quotas, ..Service::default() }
    }

    fn quota(&self, asked: &Asked) -> Option<(f64, f64)> {
        self.quotas.get(asked.plan).copied().flatten()
    }

    /// A client asks; whether that is inside its quota.
    pub fn ask(&mut self, now: Nanos, asked: &Asked) -> bool {
        let quota = self.quota(asked);
        let inside = take(&mut self.asked_of, quota, now, asked);
        if inside {
            self.asked += 1;
            self.inside.insert(asked.number);
        }
        inside
    }

    /// A client has its answer. What was asked beyond a quota counts for nothing here.
    pub fn answered(&mut self, id: &str, status: u16) {
        self.failed += u64::from(!matches!(status, 200 | 429 | 503));
        let inside = u64::from_str_radix(id, 16).is_ok_and(|number| self.inside.remove(&number));
        self.served += u64::from(inside && status == 200);
    }

    /// A request goes out for the first time.
    pub fn sent(&mut self, now: Nanos, asked: &Asked) {
        self.sent_units += asked.units;
        let quota = self.quota(asked);
        if !take(&mut self.sent_of, quota, now, asked) {
            self.beyond_units += asked.units;
        }
    }
}

impl AddAssign<&Service> for Service {
    /// Sums of many runs; accounts and open requests are each run's own.
    fn add_assign(&mut self, other: &Service) {
        self.asked += other.asked;
        self.served += other.served;
        self.failed += other.failed;
        self.sent_units += other.sent_units;
        self.beyond_units += other.beyond_units;
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Service { asked, served, failed, .. } = self;
        write!(f, "inside quotas {asked} asked, {served} served; {failed} failed; ")?;
        write!(f, "{:.0} units sent on, {:.0} beyond quotas", self.sent_units, self.beyond_units)
    }
}
