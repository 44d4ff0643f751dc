//! Tokens that a gateway has asked others for: who has answered, and what came to it.

use crate::Micros;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Requests that wait at once, at the most.
const WAITING_MAX: usize = 64;
/// How long others are not asked for tokens of a tenant of which they had too little, microseconds. Clients that come again
/// would else let each refusal cost two dozen datagrams, and on narrow links the answers would come too late to be used:
/// then tokens are lost, more is refused, and more is asked.
const EXHAUSTED_FOR: Micros = 200_000;
/// Tenants that are remembered so.
const EXHAUSTED_MAX: usize = 10_000;

/// What one request is waiting for.
#[derive(Clone, Debug)]
struct Waiting<P> {
    tenant: CompactString,
    lacking: f64,
    lent: f64,
    /// Those who have not answered.
    asked: Vec<P>,
}

/// Tokens asked for by the requests of one gateway; `P` names another gateway.
///
/// Answers count once, and only from those who were asked: lost and doubled ones cost tokens, and make none.
#[derive(Clone, Debug)]
pub struct Borrowing<P> {
    next: u64,
    waiting: BTreeMap<u64, Waiting<P>>,
    /// Tenants of whose tokens others had too little, and until when they are not asked again.
    exhausted: BTreeMap<CompactString, Micros>,
}

impl<P> Default for Borrowing<P> {
    fn default() -> Self {
        Borrowing { next: 0, waiting: BTreeMap::new(), exhausted: BTreeMap::new() }
    }
}

impl<P: PartialEq + Clone> Borrowing<P> {
    /// A request lacks part of a token. Gives its number; none where too many wait, or others had too little of the
    /// tenant's a moment ago.
    pub fn begin(&mut self, now: Micros, tenant: &CompactString, lacking: f64) -> Option<u64> {
        let exhausted = self.exhausted.get(tenant).is_some_and(|until| now < *until);
        if exhausted || self.waiting.len() >= WAITING_MAX {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.waiting
            .insert(number, Waiting { tenant: tenant.clone(), lacking, lent: 0.0, asked: Vec::new() });
        Some(number)
    }

    /// Others are asked for it from now on; those before are not waited for any longer, and what they still lend is
    /// lost. Gives what is lacking by now.
    pub fn ask(&mut self, number: u64, asked: &[P]) -> f64 {
        let Some(waiting) = self.waiting.get_mut(&number) else { return 0.0 };
        waiting.asked = asked.to_vec();
        (waiting.lacking - waiting.lent).max(0.0)
    }

    /// Takes in what another gateway lent. Tells whether its request need not wait any longer for those it has asked.
    pub fn take(&mut self, from: &P, number: u64, lent: f64) -> bool {
        let Some(waiting) = self.waiting.get_mut(&number) else { return false };
        let Some(place) = waiting.asked.iter().position(|asked| asked == from) else { return false };
        waiting.asked.swap_remove(place);
        if lent.is_finite() {
            waiting.lent += lent.clamp(0.0, 1.0);
        }
        self.is_over(number)
    }

    /// Whether all who were asked have answered, or enough has come.
    pub fn is_over(&self, number: u64) -> bool {
        self.waiting.get(&number).is_none_or(|waiting| waiting.asked.is_empty()) || self.has_enough(number)
    }

    /// Whether enough has come.
    pub fn has_enough(&self, number: u64) -> bool {
        self.waiting.get(&number).is_some_and(|waiting| waiting.lent >= waiting.lacking)
    }

    /// A request waits no longer. Gives what came.
    pub fn end(&mut self, now: Micros, number: u64) -> f64 {
        let Some(Waiting { tenant, lacking, lent, .. }) = self.waiting.remove(&number) else { return 0.0 };
        if lent < lacking {
            self.note_exhausted(now, tenant);
        }
        lent
    }

    fn note_exhausted(&mut self, now: Micros, tenant: CompactString) {
        if self.exhausted.len() >= EXHAUSTED_MAX {
            self.exhausted.retain(|_, until| now < *until);
        }
        if self.exhausted.len() < EXHAUSTED_MAX {
            self.exhausted.insert(tenant, now + EXHAUSTED_FOR);
        }
    }
}
