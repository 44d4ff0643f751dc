//! Requests of this gateway to borrow tokens from others.

use crate::Micros;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Maximum number of pending borrow requests.
const MAX_PENDING: usize = 64;
/// Backoff after other gateways lacked tokens of a tenant, µs. Without it, client retries would cause a burst
/// of datagrams for each refusal, and on slow links the answers would arrive too late to be used: tokens
/// would be lost, more requests refused, and more tokens asked for.
const EXHAUSTED_BACKOFF: Micros = 200_000;
/// Maximum number of tenants in backoff.
const MAX_EXHAUSTED: usize = 10_000;

/// A pending borrow request.
#[derive(Clone, Debug)]
struct Pending<P> {
    tenant: CompactString,
    lacking: f64,
    lent: f64,
    /// Gateways that have not answered yet.
    asked: Vec<P>,
}

/// Pending borrow requests of one gateway; `P` identifies another gateway.
///
/// Each answer counts once, and only from a gateway that was asked: lost or duplicated answers never create tokens.
#[derive(Clone, Debug)]
pub struct Borrowing<P> {
    next: u64,
    pending: BTreeMap<u64, Pending<P>>,
    /// Tenants whose tokens other gateways lacked, with the end of the backoff.
    exhausted: BTreeMap<CompactString, Micros>,
}

impl<P> Default for Borrowing<P> {
    fn default() -> Self {
        Borrowing { next: 0, pending: BTreeMap::new(), exhausted: BTreeMap::new() }
    }
}

impl<P: PartialEq + Clone> Borrowing<P> {
    /// Starts a borrow request for the fraction of a token that is lacking and returns its number, or `None` if too
    /// many requests are pending or the tenant is in backoff.
    pub fn begin(&mut self, now: Micros, tenant: &CompactString, lacking: f64) -> Option<u64> {
        let exhausted = self.exhausted.get(tenant).is_some_and(|until| now < *until);
        if exhausted || self.pending.len() >= MAX_PENDING {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.pending
            .insert(number, Pending { tenant: tenant.clone(), lacking, lent: 0.0, asked: Vec::new() });
        Some(number)
    }

    /// Replaces the gateways that are asked; later answers of the previous ones are discarded. Returns the
    /// amount that is still lacking.
    pub fn ask(&mut self, number: u64, asked: &[P]) -> f64 {
        let Some(pending) = self.pending.get_mut(&number) else { return 0.0 };
        pending.asked = asked.to_vec();
        (pending.lacking - pending.lent).max(0.0)
    }

    /// Records the answer of another gateway. Returns whether the request is complete.
    pub fn record_answer(&mut self, from: &P, number: u64, lent: f64) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else { return false };
        let Some(index) = pending.asked.iter().position(|asked| asked == from) else { return false };
        pending.asked.swap_remove(index);
        if lent.is_finite() {
            pending.lent += lent.clamp(0.0, 1.0);
        }
        self.is_complete(number)
    }

    /// Whether all asked gateways have answered, or enough tokens were lent.
    pub fn is_complete(&self, number: u64) -> bool {
        self.pending.get(&number).is_none_or(|pending| pending.asked.is_empty()) || self.has_enough(number)
    }

    /// Whether enough tokens were lent.
    pub fn has_enough(&self, number: u64) -> bool {
        self.pending.get(&number).is_some_and(|pending| pending.lent >= pending.lacking)
    }

    /// Ends a request and returns the tokens lent to it. Too few tokens put the tenant into backoff.
    pub fn end(&mut self, now: Micros, number: u64) -> f64 {
        let Some(Pending { tenant, lacking, lent, .. }) = self.pending.remove(&number) else { return 0.0 };
        if lent < lacking {
            self.start_backoff(now, tenant);
        }
        lent
    }

    fn start_backoff(&mut self, now: Micros, tenant: CompactString) {
        if self.exhausted.len() >= MAX_EXHAUSTED {
            self.exhausted.retain(|_, until| now < *until);
        }
        if self.exhausted.len() < MAX_EXHAUSTED {
            self.exhausted.insert(tenant, now + EXHAUSTED_BACKOFF);
        }
    }
}
