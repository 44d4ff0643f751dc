//! Request classes of a service: routes with equal terms share one class in the policy.

use hingestage_configuration::{Kind, Route};
use hingestage_policy::{Class, ClassId, Effect};

/// Number of classes per service. The policy keeps statistics for each class, so their number is fixed; further terms
/// replace the least recently used class.
pub const CLASS_COUNT: usize = 16;
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A route's terms of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Target response time, microseconds.
    pub aim: u64,
    /// Request timeout, microseconds.
    pub deadline: u64,
    /// Whether a request is idempotent.
    pub effect: Effect,
    /// Maximum number of attempts per request.
    pub attempts: usize,
}

impl Terms {
    /// Reads the terms of a route.
    pub fn of(route: &Route) -> Terms {
        Terms {
            aim: (route.target_time.as_secs_f64() * MICROS_PER_SECOND) as u64,
            deadline: (route.timeout.as_secs_f64() * MICROS_PER_SECOND) as u64,
            effect: if route.kind == Kind::Idempotent { Effect::Idempotent } else { Effect::AtMostOnce },
            attempts: route.tries.max(1) as usize,
        }
    }

    fn class(self) -> Class {
        Class {
            aim: self.aim.max(1),
            deadline: self.deadline,
            effect: self.effect,
            attempts: self.attempts,
            ..Class::default()
        }
    }
}

#[derive(Clone, Copy)]
struct Slot {
    terms: Terms,
    /// Value of the use counter at the last use.
    last_use: u64,
}

/// The classes of one service, replaced in order of last use.
#[derive(Default)]
pub struct Classes {
    slots: Vec<Slot>,
    /// Number of lookups so far.
    uses: u64,
}

impl Classes {
    /// Returns the class for some terms, and whether the set of classes has changed.
    pub fn find_or_insert(&mut self, terms: Terms) -> (ClassId, bool) {
        self.uses += 1;
        if let Some(index) = self.slots.iter().position(|slot| slot.terms == terms) {
            self.slots[index].last_use = self.uses;
            return (ClassId(index), false);
        }
        let slot = Slot { terms, last_use: self.uses };
        if self.slots.len() < CLASS_COUNT {
            self.slots.push(slot);
            return (ClassId(self.slots.len() - 1), true);
        }
        let oldest = self.slots.iter().enumerate().min_by_key(|(_, slot)| slot.last_use);
        let index = oldest.map_or(0, |(index, _)| index);
        self.slots[index] = slot;
        (ClassId(index), true)
    }

    /// All classes as the policy takes them, padded to [`CLASS_COUNT`].
    pub fn all(&self) -> Vec<Class> {
        let unused = Class { aim: 250_000, deadline: 2_000_000, ..Class::default() };
        let mut classes: Vec<Class> = self.slots.iter().map(|slot| slot.terms.class()).collect();
        classes.resize(CLASS_COUNT, unused);
        classes
    }
}
