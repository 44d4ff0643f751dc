//! The share of every shared limit that one gateway holds, and its integral over time.

use crate::{seconds, Micros};
use std::collections::VecDeque;

/// One gateway's even share of every shared limit, under a lease.
///
/// The grantor ensures that the valid shares never total more than one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvenShare {
    /// Number of gateways that the limits are divided among; 0 for no share.
    pub gateways: u32,
    /// Expiry of the lease.
    pub valid_until: Micros,
}

impl EvenShare {
    /// No share.
    pub const NONE: EvenShare = EvenShare { gateways: 0, valid_until: 0 };

    /// The fraction of the whole at `now`; 0 once the lease has expired.
    pub fn share(&self, now: Micros) -> f64 {
        if now < self.valid_until {
            self.leased_share()
        } else {
            0.0
        }
    }

    fn leased_share(&self) -> f64 {
        if self.gateways > 0 {
            1.0 / f64::from(self.gateways)
        } else {
            0.0
        }
    }
}

/// Maximum number of past spans in a meter. Beyond it, the two oldest are merged with the smaller share.
const MAX_SPANS: usize = 64;

/// A point in time with the meter's integral up to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MeterReading {
    pub(crate) at: Micros,
    pub(crate) earned: f64,
}

/// A past span of constant share.
#[derive(Clone, Copy, Debug)]
struct Span {
    end: MeterReading,
    share: f64,
}

/// Tracks the share that a gateway holds, so that rarely used buckets can be refilled exactly: they query the
/// integral of the share and the smallest share since their last use.
///
/// A renewal must be observed before the lease expires; from the expiry of the last known lease on, no share is
/// held.
#[derive(Clone, Debug)]
pub struct ShareMeter {
    valid_until: Micros,
    at: Micros,
    share: f64,
    earned: f64,
    /// Spans whose share is smaller than that of every later one, oldest first.
    lowest: VecDeque<Span>,
}

impl ShareMeter {
    /// Creates a meter without a share.
    pub fn new(now: Micros) -> ShareMeter {
        ShareMeter { valid_until: 0, at: now, share: 0.0, earned: 0.0, lowest: VecDeque::new() }
    }

    /// Records the share held from now on.
    pub fn observe(&mut self, now: Micros, even_share: EvenShare) {
        self.observe_share(now, even_share.leased_share(), even_share.valid_until);
    }

    /// Records an arbitrary share held from now on, until its lease expires.
    pub fn observe_share(&mut self, now: Micros, share: f64, valid_until: Micros) {
        self.advance(now);
        self.valid_until = valid_until;
        let share = if self.at < valid_until { share } else { 0.0 };
        if share != self.share {
            self.change(self.at, share);
        }
    }

    /// Advances the meter to `now` with the current share.
    pub fn advance(&mut self, now: Micros) {
        if now <= self.at {
            return;
        }
        let held_until = self.valid_until.clamp(self.at, now);
        self.earned += self.share * seconds(held_until - self.at);
        if self.share > 0.0 && self.valid_until <= now {
            self.change(held_until, 0.0);
        }
        self.at = now;
    }

    /// The time that the meter has advanced to.
    pub fn now(&self) -> Micros {
        self.at
    }

    /// The current share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The integral of the share since the start, in seconds of the whole.
    pub fn earned(&self) -> f64 {
        self.earned
    }

    /// The smallest share held since `moment`.
    pub fn lowest_since(&self, moment: Micros) -> f64 {
        self.lowest_from(self.first_after(moment))
    }

    /// The current reading.
    pub(crate) fn reading(&self) -> MeterReading {
        MeterReading { at: self.at, earned: self.earned }
    }

    /// The ends of spans with a low share after `moment`, each with the smallest share held since.
    pub(crate) fn ends_after(&self, moment: Micros) -> impl Iterator<Item = (MeterReading, f64)> + '_ {
        let first = self.first_after(moment);
        (first..self.lowest.len()).map(|index| (self.lowest[index].end, self.lowest_from(index + 1)))
    }

    fn first_after(&self, moment: Micros) -> usize {
        self.lowest.partition_point(|span| span.end.at <= moment)
    }

    fn lowest_from(&self, index: usize) -> f64 {
        self.lowest.get(index).map_or(self.share, |span| span.share.min(self.share))
    }

    fn change(&mut self, at: Micros, share: f64) {
        let end = MeterReading { at, earned: self.earned };
        while self.lowest.back().is_some_and(|span| span.share >= self.share) {
            self.lowest.pop_back();
        }
        self.lowest.push_back(Span { end, share: self.share });
        self.share = share;
        if self.lowest.len() > MAX_SPANS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.lowest.pop_front() {
            if let Some(next) = self.lowest.front_mut() {
                next.share = oldest.share;
            }
        }
    }
}
