//! The budget of further attempts for one service.

use crate::{seconds, BucketLimit, Micros, Part, PartMeter, SharedBucket};
use std::collections::VecDeque;

/// What of the ratio each first arrival earns. The rest is for requests that a window doesn't count any longer.
const EARNED: f64 = 0.8;
/// What of the slack the gateways share. The rest is for the same, and for arrivals that take their time.
const SHARED_SLACK: f64 = 0.7;
/// What is earned is kept for a quarter of the window, in so many slots.
const SLOTS: u64 = 8;
const SLOTS_IN_A_WINDOW: u64 = 4 * SLOTS;
/// What a sum of floating-point numbers may lack for a whole token.
const ROUNDING: f64 = 1e-9;

/// The limit of further attempts: arrivals beyond the first of each request come to at most `ratio` times the requests
/// and `slack`, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Further attempts for each request.
    pub ratio: f64,
    /// The length of the window.
    pub window: Micros,
    /// Further attempts in a window besides, for all gateways together.
    pub slack: f64,
}

impl RetryLimit {
    fn slot(&self) -> Micros {
        (self.window / SLOTS_IN_A_WINDOW).max(1)
    }

    /// What a bucket gives out in a window is its depth and what the rate brings: half of the slack each.
    fn bucket(&self) -> BucketLimit {
        let half = SHARED_SLACK * self.slack / 2.0;
        BucketLimit { rate: half / seconds(self.window), depth: half, least_cap: 0.0 }
    }
}

/// Tokens earned in one slot of time.
#[derive(Clone, Copy, Debug)]
struct Earned {
    slot: u64,
    tokens: f64,
}

/// Bounds further attempts for one service over all gateways.
///
/// Each first arrival earns 0.8 of the ratio, to be used by the same gateway within a quarter of the window; besides,
/// each gateway has its part of 0.7 of the slack in a bucket that refills evenly. A token is drawn for every arrival
/// beyond the first: attempts that a worker turned away count, and so do the calls of a run that was itself a repeat.
///
/// # The sum over all gateways
/// Take any window `[s, s + W]`. The buckets give out at most their levels at `s` (half of the shared slack, as all
/// shares come to at most one) and their refills within `W` (the other half): `0.7 x slack` in all.
/// Every other token was earned within `[s - W/4, s + W]`, each by a request of its own. Let `R` be the requests that the
/// rule counts (those in the window, in the one before, or in the one half a window before, whichever are the most), and
/// `x` those in `[s - W/4, s)`. Tokens earned come to at most `0.8 x ratio x (R + x)`. So the sum stays within
/// `ratio x R + slack` as long as `0.8 x ratio x x <= 0.2 x ratio x R + 0.3 x slack`: whenever a quarter of a window has
/// at most a quarter of a window's requests, which an even load has, or that and `0.375 x slack / ratio` requests more.
/// A load that stops all at once can pass this: in the worst case (all `R` came right before `s`, and as many in the
/// window) the sum is `1.6 x ratio x R + 0.7 x slack`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    meter: PartMeter,
    bucket: SharedBucket,
    /// Oldest first.
    earned: VecDeque<Earned>,
}

impl RetryBudget {
    /// An empty budget.
    pub fn new(now: Micros, limit: RetryLimit) -> RetryBudget {
        let meter = PartMeter::new(now);
        let bucket = SharedBucket::new(&meter, limit.bucket(), 0.0);
        RetryBudget { limit, meter, bucket, earned: VecDeque::new() }
    }

    /// Takes in the part that holds from now on. Due at each renewal.
    pub fn observe_part(&mut self, now: Micros, part: Part) {
        self.meter.observe(now, part);
    }

    /// A request arrives for the first time.
    pub fn first(&mut self, now: Micros) {
        self.expire(now);
        let (slot, tokens) = (now / self.limit.slot(), EARNED * self.limit.ratio);
        match self.earned.back_mut() {
            Some(last) if last.slot == slot => last.tokens += tokens,
            _ => self.earned.push_back(Earned { slot, tokens }),
        }
    }

    /// Draws a token for a further attempt.
    pub fn try_further(&mut self, now: Micros, part: Part) -> bool {
        self.meter.observe(now, part);
        self.expire(now);
        self.take_earned() || self.bucket.try_take(&self.meter, self.limit.bucket()).is_ok()
    }

    fn expire(&mut self, now: Micros) {
        let slot = now / self.limit.slot();
        while self.earned.front().is_some_and(|oldest| oldest.slot + SLOTS <= slot) {
            self.earned.pop_front();
        }
    }

    fn take_earned(&mut self) -> bool {
        let all: f64 = self.earned.iter().map(|earned| earned.tokens).sum();
        if all < 1.0 - ROUNDING {
            return false;
        }
        let mut due = 1.0;
        for earned in &mut self.earned {
            let taken = earned.tokens.min(due);
            earned.tokens -= taken;
            due -= taken;
        }
        true
    }
}
