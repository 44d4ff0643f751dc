//! The part of every common limit that one gateway holds, and what it has come to over time.

use crate::{seconds, Micros};
use std::collections::VecDeque;

/// One gateway's even part of every common limit, under a lease.
///
/// Whoever grants parts sees to it that the shares that are valid at any moment never come to more than one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part is one of so many. None at all for 0.
    pub gateways: u32,
    /// From this moment on the part is nothing.
    pub valid_until: Micros,
}

impl Part {
    /// No part of anything.
    pub const NONE: Part = Part { gateways: 0, valid_until: 0 };

    /// The share of the whole at a moment: 0 once the lease has ended.
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

/// Ended spans that a meter remembers. Beyond, the two oldest become one with the smaller share.
const SPANS: usize = 64;

/// A moment, and what a meter had earned by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mark {
    pub(crate) at: Micros,
    pub(crate) earned: f64,
}

/// A span of constant share that has ended.
#[derive(Clone, Copy, Debug)]
struct Span {
    end: Mark,
    share: f64,
}

/// Follows the part that a gateway holds, so that buckets which are used rarely can be brought up to date exactly:
/// they ask for the integral of the share since their last use, and for the smallest share since then.
///
/// A renewal has to be observed before the lease ends: what happened after the end of the last lease known is taken
/// for nothing held.
#[derive(Clone, Debug)]
pub struct PartMeter {
    valid_until: Micros,
    at: Micros,
    share: f64,
    earned: f64,
    /// Spans whose share is smaller than that of every later one, oldest first.
    lowest: VecDeque<Span>,
}

impl PartMeter {
    /// Begins without a part.
    pub fn new(now: Micros) -> PartMeter {
        PartMeter { valid_until: 0, at: now, share: 0.0, earned: 0.0, lowest: VecDeque::new() }
    }

    /// Takes in the part that holds from now on.
    pub fn observe(&mut self, now: Micros, part: Part) {
        self.observe_share(now, part.leased_share(), part.valid_until);
    }

    /// Takes in any share of the whole that holds from now on, until its lease ends.
    pub fn observe_share(&mut self, now: Micros, share: f64, valid_until: Micros) {
        self.advance(now);
        self.valid_until = valid_until;
        let share = if self.at < valid_until { share } else { 0.0 };
        if share != self.share {
            self.change(self.at, share);
        }
    }

    /// Moves on to a moment with the part known.
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

    /// The moment that the meter has come to.
    pub fn now(&self) -> Micros {
        self.at
    }

    /// The share held now.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The integral of the share held since the start, in seconds of the whole.
    pub fn earned(&self) -> f64 {
        self.earned
    }

    /// The smallest share held at any time since a moment.
    pub fn lowest_since(&self, moment: Micros) -> f64 {
        self.lowest_from(self.first_after(moment))
    }

    /// Now, and what has been earned until now.
    pub(crate) fn mark(&self) -> Mark {
        Mark { at: self.at, earned: self.earned }
    }

    /// The ends of low shares after a moment, each with the smallest share held since then.
    pub(crate) fn ends_after(&self, moment: Micros) -> impl Iterator<Item = (Mark, f64)> + '_ {
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
        let end = Mark { at, earned: self.earned };
        while self.lowest.back().is_some_and(|span| span.share >= self.share) {
            self.lowest.pop_back();
        }
        self.lowest.push_back(Span { end, share: self.share });
        self.share = share;
        if self.lowest.len() > SPANS {
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
