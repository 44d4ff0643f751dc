//! By which step one tenant is judged at one proxy.
//!
//! A step is *announced*: it becomes durable at some moment `T`, and takes effect `delay` later. No two clocks agree on
//! `T`, so each proxy bounds it on its own steady clock:
//!
//! - `T` is not after the moment at which somebody knew the step to be durable: that moment is passed on as an age, and
//!   ages only shrink on their way (`known_by`);
//! - `T` is not before the moment up to which this proxy knew all that was durable when it had not heard of the step
//!   (`not_before`, from its [`Freshness`]).
//!
//! A request is judged by a step from `known_by + delay` on, which is never before `T + delay`. By the step before it is
//! judged until then where both bounds are less than `uncertainty` apart, else until `not_before + delay`; and always
//! only with news that is less than `lease` old. So where `lease` is at most `delay`, no request that begins later
//! than `T + delay + uncertainty` is judged by the step before at any proxy, and none that begins before `T + delay`
//! by the new one: two requests that begin more than `uncertainty` apart are never judged in the wrong order.

use hingestage_replication::{signed, Freshness, Micros};
use hingestage_rpc::trials::TrialPosition;

/// Steps that are announced and not in effect, at the most. Where there are more, the tenant waits for the last.
const ANNOUNCED_MAX: usize = 32;

/// Spans by which steps take effect, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// Age of news up to which a trial tenant is judged at all.
    pub lease: Micros,
    /// Time between the moment at which a step is durable and its effect; not below `lease`.
    pub delay: Micros,
    /// How far apart the bounds of a step's moment may be for the step before to be used up to the later one.
    pub uncertainty: Micros,
}

impl Spans {
    /// As the proxies go by.
    pub const DEFAULT: Spans = Spans { lease: 4_500_000, delay: 4_500_000, uncertainty: 2_500_000 };
}

impl Default for Spans {
    fn default() -> Self {
        Spans::DEFAULT
    }
}

/// A step that is known.
#[derive(Clone, Copy, Debug)]
struct Announced {
    position: TrialPosition,
    /// Bounds of the moment at which it became durable, on this process's clock; they may lie before its start.
    not_before: Option<i64>,
    known_by: i64,
}

/// What a tenant is judged by at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InEffect {
    /// No terms are in effect yet.
    Untouched,
    /// A step.
    Position(TrialPosition),
    /// It can't be told before this moment.
    Unknown(Micros),
}

/// The steps of one tenant, as one proxy knows them.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    in_effect: Option<TrialPosition>,
    /// By position, which is also the order in which they take effect or are overtaken.
    announced: Vec<Announced>,
    /// Nothing is known before this moment: too many steps were announced at once.
    unknown_until: i64,
}

impl Timeline {
    /// Takes in that a step was durable by a moment. `freshness` is how far this proxy knew everything before it heard.
    pub fn learn(
        &mut self,
        now: Micros,
        position: TrialPosition,
        freshness: Freshness,
        known_by: i64,
        spans: &Spans,
    ) {
        self.settle(now, spans);
        if Some(position) <= self.in_effect {
            return;
        }
        if let Some(known) = self.announced.iter_mut().find(|known| known.position == position) {
            known.known_by = known.known_by.min(known_by);
            return;
        }
        if self.announced.len() >= ANNOUNCED_MAX {
            let until = self.announced.iter().map(|known| known.known_by).max().unwrap_or_default();
            self.unknown_until = until.max(known_by) + signed(spans.delay);
            self.announced.clear();
        }
        self.announced.push(Announced { position, not_before: freshness.moment(), known_by });
        self.announced.sort_unstable_by_key(|known| known.position);
    }

    /// The highest step that is known.
    pub fn newest(&self) -> Option<TrialPosition> {
        self.announced.last().map(|known| known.position).max(self.in_effect)
    }

    /// What the tenant is judged by now.
    pub fn at(&mut self, now: Micros, spans: &Spans) -> InEffect {
        self.settle(now, spans);
        let doubts = self.announced.iter().filter(|known| known.is_doubtful(now, spans));
        let known_at = doubts.map(|known| known.takes_effect_at(spans)).min();
        if let Some(until) =
            known_at.into_iter().chain([self.unknown_until]).find(|until| signed(now) < *until)
        {
            return InEffect::Unknown(until.unsigned_abs());
        }
        self.in_effect.map_or(InEffect::Untouched, InEffect::Position)
    }

    /// Steps whose time has come take effect, and those that they overtake are forgotten.
    fn settle(&mut self, now: Micros, spans: &Spans) {
        let due = self.announced.iter().filter(|known| signed(now) >= known.takes_effect_at(spans));
        self.in_effect = due.map(|known| known.position).max().max(self.in_effect);
        let in_effect = self.in_effect;
        self.announced.retain(|known| Some(known.position) > in_effect);
    }
}

impl Announced {
    fn takes_effect_at(&self, spans: &Spans) -> i64 {
        self.known_by.saturating_add(signed(spans.delay))
    }

    /// Whether the step may be in effect elsewhere and isn't here, for longer than is allowed.
    fn is_doubtful(&self, now: Micros, spans: &Spans) -> bool {
        let Some(not_before) = self.not_before else { return true };
        let far = not_before.saturating_add(signed(spans.uncertainty)) < self.known_by;
        far && signed(now) >= not_before.saturating_add(signed(spans.delay))
    }
}
