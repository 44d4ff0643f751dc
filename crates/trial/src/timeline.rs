//! Determines the step in effect for one tenant at one proxy.
//!
//! A step is *announced* when it becomes durable at some moment `T`, and takes effect `delay` later. Clocks differ,
//! so each proxy bounds `T` on its own monotonic clock:
//!
//! - Upper bound `known_by`: some process knew the step to be durable by then. The bound is passed on as an age,
//!   and ages are only underestimated on the way.
//! - Lower bound `not_before`: up to this moment the proxy had everything durable, without the step (from its
//!   [`Freshness`]).
//!
//! The new step applies from `known_by + delay`, which is never before `T + delay`. The previous step applies until
//! then if the bounds are at most `uncertainty` apart, else until `not_before + delay`. Either applies only while the
//! proxy's data is less than `lease` old. Hence, if `lease` is at most `delay`, the previous step applies to no request
//! that starts after `T + delay + uncertainty`, and the new step to none that starts before `T + delay`: requests
//! that start more than `uncertainty` apart never see the steps in the wrong order.

use hingestage_replication::{signed, Freshness, Micros};
use hingestage_rpc::trials::TrialPosition;

/// Maximum number of announced steps not in effect yet. Beyond it, requests wait until all of them are in effect.
const ANNOUNCED_MAX: usize = 32;

/// Times that determine when steps take effect, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TrialTiming {
    /// Age of the data up to which a proxy evaluates trial tenants.
    pub lease: Micros,
    /// Time from a step's durability to its effect; at least `lease`.
    pub delay: Micros,
    /// Largest distance of a step's bounds at which the previous step applies until the new one does.
    pub uncertainty: Micros,
}

impl TrialTiming {
    /// The values used by the proxies.
    pub const DEFAULT: TrialTiming =
        TrialTiming { lease: 4_500_000, delay: 4_500_000, uncertainty: 2_500_000 };
}

impl Default for TrialTiming {
    fn default() -> Self {
        TrialTiming::DEFAULT
    }
}

/// A known step that is not in effect yet.
#[derive(Clone, Copy, Debug)]
struct Announced {
    position: TrialPosition,
    /// Bounds of the moment at which it became durable, on this process's clock; negative before the process's start.
    not_before: Option<i64>,
    known_by: i64,
}

/// The step in effect at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepInEffect {
    /// No terms are in effect yet.
    NoTerms,
    /// The step at this position.
    Position(TrialPosition),
    /// It cannot be determined before this moment.
    Unknown(Micros),
}

/// The steps of one tenant, as known to one proxy.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    in_effect: Option<TrialPosition>,
    /// Sorted by position, which is the order in which they take effect or are superseded.
    announced: Vec<Announced>,
    /// The step in effect is unknown before this moment, because too many steps were announced at once.
    unknown_until: i64,
}

impl Timeline {
    /// Learns that a step was durable by the moment `known_by`. `freshness` is this proxy's freshness before it learnt
    /// of the step.
    pub fn learn(
        &mut self,
        now: Micros,
        position: TrialPosition,
        freshness: Freshness,
        known_by: i64,
        timing: &TrialTiming,
    ) {
        self.activate_due(now, timing);
        if Some(position) <= self.in_effect {
            return;
        }
        if let Some(known) = self.announced.iter_mut().find(|known| known.position == position) {
            known.known_by = known.known_by.min(known_by);
            return;
        }
        if self.announced.len() >= ANNOUNCED_MAX {
            let until = self.announced.iter().map(|known| known.known_by).max().unwrap_or_default();
            self.unknown_until = until.max(known_by) + signed(timing.delay);
            self.announced.clear();
        }
        self.announced.push(Announced { position, not_before: freshness.moment(), known_by });
        self.announced.sort_unstable_by_key(|known| known.position);
    }

    /// The highest known position.
    pub fn newest_position(&self) -> Option<TrialPosition> {
        self.announced.last().map(|known| known.position).max(self.in_effect)
    }

    /// The step in effect now.
    pub fn step_in_effect(&mut self, now: Micros, timing: &TrialTiming) -> StepInEffect {
        self.activate_due(now, timing);
        let ambiguous = self.announced.iter().filter(|known| known.is_ambiguous(now, timing));
        let known_at = ambiguous.map(|known| known.takes_effect_at(timing)).min();
        if let Some(until) =
            known_at.into_iter().chain([self.unknown_until]).find(|until| signed(now) < *until)
        {
            return StepInEffect::Unknown(until.unsigned_abs());
        }
        self.in_effect.map_or(StepInEffect::NoTerms, StepInEffect::Position)
    }

    /// Puts due steps into effect and drops those that they supersede.
    fn activate_due(&mut self, now: Micros, timing: &TrialTiming) {
        let due = self.announced.iter().filter(|known| signed(now) >= known.takes_effect_at(timing));
        self.in_effect = due.map(|known| known.position).max().max(self.in_effect);
        let in_effect = self.in_effect;
        self.announced.retain(|known| Some(known.position) > in_effect);
    }
}

impl Announced {
    fn takes_effect_at(&self, timing: &TrialTiming) -> i64 {
        self.known_by.saturating_add(signed(timing.delay))
    }

    /// Whether the step may be in effect at another proxy already, for longer than `uncertainty` allows.
    fn is_ambiguous(&self, now: Micros, timing: &TrialTiming) -> bool {
        let Some(not_before) = self.not_before else { return true };
        let far = not_before.saturating_add(signed(timing.uncertainty)) < self.known_by;
        far && signed(now) >= not_before.saturating_add(signed(timing.delay))
    }
}
