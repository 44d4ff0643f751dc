//! The classes of requests to one service, as the decisions know them: routes that ask for the same share one.

use hingestage_configuration::{Kind, Route};
use hingestage_policy::{Class, ClassId, Effect};

/// Classes of one service. The decisions keep figures for each, so there are only so many; where routes ask for
/// more kinds of service, the one not used for longest is replaced.
pub const CLASSES: usize = 16;
/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// What a route asks of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time within which an answer earns its full worth, microseconds.
    pub aim: u64,
    /// The longest that a request is held, microseconds.
    pub deadline: u64,
    /// What may be repeated.
    pub effect: Effect,
    /// Workers that one request may be sent to.
    pub attempts: usize,
}

impl Terms {
    /// What a route asks.
    pub fn of(route: &Route) -> Terms {
        Terms {
            aim: (route.target_time.as_secs_f64() * SECOND) as u64,
            deadline: (route.timeout.as_secs_f64() * SECOND) as u64,
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
    used: u64,
}

/// The classes of one service.
#[derive(Default)]
pub struct Classes {
    slots: Vec<Slot>,
    uses: u64,
}

impl Classes {
    /// The class for some terms, and whether the classes are others now.
    pub fn find(&mut self, terms: Terms) -> (ClassId, bool) {
        self.uses += 1;
        if let Some(place) = self.slots.iter().position(|slot| slot.terms == terms) {
            self.slots[place].used = self.uses;
            return (ClassId(place), false);
        }
        let slot = Slot { terms, used: self.uses };
        if self.slots.len() < CLASSES {
            self.slots.push(slot);
            return (ClassId(self.slots.len() - 1), true);
        }
        let oldest = self.slots.iter().enumerate().min_by_key(|(_, slot)| slot.used);
        let place = oldest.map_or(0, |(place, _)| place);
        self.slots[place] = slot;
        (ClassId(place), true)
    }

    /// All classes as the decisions take them: always as many.
    pub fn all(&self) -> Vec<Class> {
        let unused = Class { aim: 250_000, deadline: 2_000_000, ..Class::default() };
        let mut classes: Vec<Class> = self.slots.iter().map(|slot| slot.terms.class()).collect();
        classes.resize(CLASSES, unused);
        classes
    }
}
