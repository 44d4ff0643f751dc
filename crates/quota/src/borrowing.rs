//! Tokens that a gateway has asked others for: who has answered, and what came to it.

use std::collections::BTreeMap;

/// Requests that wait at once, at the most.
const WAITING_MAX: usize = 64;

/// What one request is waiting for.
#[derive(Clone, Debug)]
struct Waiting<P> {
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
}

impl<P> Default for Borrowing<P> {
    fn default() -> Self {
        Borrowing { next: 0, waiting: BTreeMap::new() }
    }
}

impl<P: PartialEq + Clone> Borrowing<P> {
    /// A request lacks part of a token. Gives its number; none where too many wait.
    pub fn begin(&mut self, lacking: f64) -> Option<u64> {
        if self.waiting.len() >= WAITING_MAX {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, Waiting { lacking, lent: 0.0, asked: Vec::new() });
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
    pub fn end(&mut self, number: u64) -> f64 {
        self.waiting.remove(&number).map_or(0.0, |waiting| waiting.lent)
    }
}
