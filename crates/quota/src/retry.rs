//! Retry budget of one service.

use crate::{seconds, BucketLimit, EvenShare, Micros, ShareMeter, SharedBucket};
use std::collections::VecDeque;

/// Fraction of the ratio that each first attempt earns; the rest covers requests that left the window.
const EARNED_FRACTION: f64 = 0.8;
/// Fraction of the slack that gateways share; the rest covers requests that left the window, and delayed arrivals.
const SHARED_SLACK_FRACTION: f64 = 0.7;
/// Number of time slots for which earned tokens are kept: a quarter of the window.
const EARNED_SLOTS: u64 = 8;
const SLOTS_PER_WINDOW: u64 = 4 * EARNED_SLOTS;
/// Floating-point tolerance for a whole token.
const ROUNDING: f64 = 1e-9;

/// The retry limit: in any window, attempts beyond the first of each request total at most `ratio` times the
/// requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window, µs.
    pub window: Micros,
    /// Additional retries per window, over all gateways.
    pub slack: f64,
}

impl RetryLimit {
    fn slot(&self) -> Micros {
        (self.window / SLOTS_PER_WINDOW).max(1)
    }

    /// A bucket that issues half of the shared slack per window from its depth, and half from its rate.
    fn bucket(&self) -> BucketLimit {
        let half = SHARED_SLACK_FRACTION * self.slack / 2.0;
        BucketLimit { rate: half / seconds(self.window), depth: half, min_capacity: 0.0 }
    }
}

/// Tokens earned in one time slot.
#[derive(Clone, Copy, Debug)]
struct Earned {
    slot: u64,
    tokens: f64,
}

/// Bounds the retries for one service over all gateways.
///
/// Each first attempt earns 0.8 of the ratio, usable by the same gateway within a quarter of the window; in
/// addition, each gateway has its share of 0.7 of the slack in a token bucket. Every attempt beyond the first
/// takes a token, including attempts that a worker rejected and those of a request that was itself a retry.
///
/// # Bound over all gateways
/// Take any window `[s, s + W]`. The buckets issue at most their levels at `s` (half of the shared slack, as
/// all shares total at most one) and their refills within `W` (the other half): `0.7 x slack` in total. Every
/// other token was earned within `[s - W/4, s + W]`, each by a distinct request. Let `R` be the requests that
/// the limit counts (the maximum over this window, the previous one and the one half a window earlier), and `x`
/// those in `[s - W/4, s)`. Earned tokens total at most `0.8 x ratio x (R + x)`. So the total stays within
/// `ratio x R + slack` as long as `0.8 x ratio x x <= 0.2 x ratio x R + 0.3 x slack`: whenever a quarter of a
/// window has at most a quarter of the window's requests, as under an even load, plus `0.375 x slack / ratio`.
/// A load that stops abruptly can exceed this: in the worst case (all `R` came right before `s`, and as many in
/// the window) the total is `1.6 x ratio x R + 0.7 x slack`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    meter: ShareMeter,
    bucket: SharedBucket,
    /// Oldest first.
    earned: VecDeque<Earned>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(now: Micros, limit: RetryLimit) -> RetryBudget {
        let meter = ShareMeter::new(now);
        let bucket = SharedBucket::new(&meter, limit.bucket(), 0.0);
        RetryBudget { limit, meter, bucket, earned: VecDeque::new() }
    }

    /// Records the share held from now on. Must be called at each lease renewal.
    pub fn observe_share(&mut self, now: Micros, even_share: EvenShare) {
        self.meter.observe(now, even_share);
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.expire(now);
        let (slot, tokens) = (now / self.limit.slot(), EARNED_FRACTION * self.limit.ratio);
        match self.earned.back_mut() {
            Some(last) if last.slot == slot => last.tokens += tokens,
            _ => self.earned.push_back(Earned { slot, tokens }),
        }
    }

    /// Takes a token for a retry.
    pub fn try_retry(&mut self, now: Micros, even_share: EvenShare) -> bool {
        self.meter.observe(now, even_share);
        self.expire(now);
        self.take_earned() || self.bucket.try_take(&self.meter, self.limit.bucket()).is_ok()
    }

    fn expire(&mut self, now: Micros) {
        let slot = now / self.limit.slot();
        while self.earned.front().is_some_and(|oldest| oldest.slot + EARNED_SLOTS <= slot) {
            self.earned.pop_front();
        }
    }

    fn take_earned(&mut self) -> bool {
        let total: f64 = self.earned.iter().map(|earned| earned.tokens).sum();
        if total < 1.0 - ROUNDING {
            return false;
        }
        let mut remaining = 1.0;
        for earned in &mut self.earned {
            let taken = earned.tokens.min(remaining);
            earned.tokens -= taken;
            remaining -= taken;
        }
        true
    }
}
