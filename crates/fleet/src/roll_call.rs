//! A roll call on the shared counter, which detects absent gateways.
//!
//! Time is divided into slots. In each slot a gateway adds its mark once to the counter name of the slot and reads the
//! names of the previous slot. Marks are powers of two; counter totals are exact to seven digits, so 23 gateways share
//! a name. A fleet of `n` gateways makes `n * (1 + n / 23)` calls per slot, so the slot grows with the fleet to stay
//! below [`CALLS_PER_SECOND_MAX`] per second: 1 s up to 33 gateways, 45 s for 300, 450 s for 1,000.
//!
//! # Margins
//! A mark confirms presence from the start of its slot, however late in the slot the call was issued, because the
//! marks read with it are those of the previous slot. A slot is read after it has ended on the reader's clock; clocks
//! may differ by up to one slot. A mark that lands after its slot was read looks like a miss, so a gateway is absent
//! only after [`MISSES_UNTIL_ABSENT`] consecutive slots without its mark, and its lease must have expired by then, at the earliest
//! `(MISSES_UNTIL_ABSENT - 2)` slots after the slot of its last mark. A gateway that restarts first marks the slot after the one it
//! started in, and its mark is readable one slot later; until then it is still listed as absent.
//!
//! A *goodbye* carries the last slot that its sender may have marked. The sender holds no part any more, so later slots
//! without a mark need not be counted; a later mark belongs to a new incarnation. A goodbye without a slot, from a
//! gateway that takes no part in the roll call, has no effect here.
//!
//! A counter that restarts empty loses marks. A reader ignores slots that lack its own mark, so such a loss costs at
//! most one more false miss: within [`MISSES_UNTIL_ABSENT`] slots the counter may be emptied once if clocks agree, and not at all if
//! they differ by a slot.
//!
//! Adding a mark twice would produce the mark of another gateway. Therefore an incarnation adds its mark once per slot,
//! answered or not, and starts with the slot after that of its start. If two gateways share a number, their marks carry
//! over, each finds its own mark missing, and both ignore the roll call.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Gateways that share a counter name: totals of seven digits hold 23 bits.
pub const GATEWAYS_PER_NAME: u32 = 23;
/// Consecutive slots without a mark after which a gateway is absent.
pub const MISSES_UNTIL_ABSENT: u64 = 4;
/// Limit on the roll-call requests of the whole fleet to the counter, per second.
pub const CALLS_PER_SECOND_MAX: u64 = 100;
/// The shortest slot, µs.
const MIN_SLOT: Micros = 1_000_000;

/// A request to the counter.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The counter name.
    pub name: String,
    /// The amount to add.
    pub amount: f64,
    /// How long the counter keeps the total, µs.
    pub keep: Micros,
}

/// The result of the roll call in one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollCallResult {
    /// Start of the slot whose mark this result confirms: the marks that were read are not newer.
    pub issued: Micros,
    /// Gateways without a mark in the last [`MISSES_UNTIL_ABSENT`] slots.
    pub absent: BTreeSet<u32>,
}

/// The length of a slot for a fleet of this size, µs.
pub fn slot_length(gateways: u32) -> Micros {
    let gateways = u64::from(gateways);
    let calls = gateways * (1 + gateways.div_ceil(u64::from(GATEWAYS_PER_NAME)));
    MIN_SLOT * calls.div_ceil(CALLS_PER_SECOND_MAX).max(1)
}

/// State of the roll call at one gateway.
pub struct RollCall {
    me: u32,
    gateways: u32,
    slot: Micros,
    /// The last slot in which this incarnation made its calls.
    called: u64,
    /// Start of the slot of a mark that is not yet confirmed by a total.
    issued: Option<Micros>,
    /// Start of the slot of a mark that was confirmed but not yet reported.
    confirmed: Option<Micros>,
    /// The slot of the last result and the start of its mark's slot.
    last: Option<(u64, Micros)>,
    /// Set when this incarnation makes no more marks.
    stopped: bool,
    /// Gateways that said goodbye, with the last slot that each may have marked.
    goodbyes: BTreeMap<u32, u64>,
    /// Marks by slot and group, for the last [`MISSES_UNTIL_ABSENT`] slots.
    marks: BTreeMap<u64, BTreeMap<u32, u32>>,
}

impl RollCall {
    /// Creates the state of a new incarnation.
    pub fn new(me: u32, gateways: u32, now: Micros) -> RollCall {
        let slot = slot_length(gateways);
        RollCall {
            me,
            gateways,
            slot,
            called: now / slot,
            issued: None,
            confirmed: None,
            last: None,
            stopped: false,
            goodbyes: BTreeMap::new(),
            marks: BTreeMap::new(),
        }
    }

    /// The length of a slot, µs.
    pub fn slot_length(&self) -> Micros {
        self.slot
    }

    /// Number of counter names per slot.
    fn groups(&self) -> u32 {
        self.gateways.div_ceil(GATEWAYS_PER_NAME).max(1)
    }

    fn name(slot: u64, group: u32) -> String {
        format!("~{slot:x}.{group}")
    }

    /// The calls of the current slot, unless they were already made; `now` is Unix time.
    pub fn due_calls(&mut self, now: Micros) -> Vec<Call> {
        let slot = now / self.slot;
        if slot <= self.called || self.stopped {
            return Vec::new();
        }
        self.called = slot;
        // The marks to be read are those of the previous slot, however late in this slot the call is issued.
        (self.issued, self.confirmed) = (Some(slot * self.slot), None);
        self.marks.retain(|marked, _| marked + MISSES_UNTIL_ABSENT >= slot);
        let keep = self.slot * (MISSES_UNTIL_ABSENT + 2);
        let mark = f64::from(1u32 << (self.me % GATEWAYS_PER_NAME));
        let mut calls =
            vec![Call { name: RollCall::name(slot, self.me / GATEWAYS_PER_NAME), amount: mark, keep }];
        let reads =
            (0..self.groups()).map(|group| Call { name: RollCall::name(slot - 1, group), amount: 0.0, keep });
        calls.extend(reads);
        calls
    }

    /// Handles the answer to a call, `None` if it failed. Returns a result once all calls of a slot are answered.
    pub fn handle_answer(&mut self, name: &str, total: Option<f64>) -> Option<RollCallResult> {
        let (slot, group) = name.strip_prefix('~')?.split_once('.')?;
        let (slot, group) = (u64::from_str_radix(slot, 16).ok()?, group.parse::<u32>().ok()?);
        let marks = total.filter(|total| *total >= 0.0 && *total < f64::from(1u32 << GATEWAYS_PER_NAME));
        let marks = marks.map(|total| total as u32);
        if slot == self.called {
            let own = 1 << (self.me % GATEWAYS_PER_NAME);
            let counted = marks.is_some_and(|marks| marks & own != 0);
            self.confirmed = self.issued.take().filter(|_| counted);
        } else if slot + 1 == self.called {
            self.marks.entry(slot).or_default().extend(marks.map(|marks| (group, marks)));
        }
        let found = self.evaluate(self.confirmed);
        if let Some(found) = &found {
            (self.last, self.confirmed) = (Some((self.called, found.issued)), None);
        }
        found
    }

    /// Stops marking. Returns the last slot that this incarnation may have marked.
    pub fn stop(&mut self) -> u64 {
        self.stopped = true;
        self.called
    }

    /// Replaces the known goodbyes, each with the last slot that its sender may have marked. Returns a new result if
    /// they changed and the current slot already has one.
    pub fn set_goodbyes(&mut self, goodbyes: BTreeMap<u32, u64>) -> Option<RollCallResult> {
        if self.goodbyes == goodbyes {
            return None;
        }
        self.goodbyes = goodbyes;
        let (_, issued) = self.last.filter(|(slot, _)| *slot == self.called)?;
        self.evaluate(Some(issued))
    }

    /// Lists the absent gateways, if the previous slot was read whole.
    fn evaluate(&self, issued: Option<Micros>) -> Option<RollCallResult> {
        let has_mark = |groups: &BTreeMap<u32, u32>, gateway: u32| {
            groups
                .get(&(gateway / GATEWAYS_PER_NAME))
                .is_some_and(|marks| marks & (1 << (gateway % GATEWAYS_PER_NAME)) != 0)
        };
        // A slot without this gateway's mark was lost by the counter or predates this incarnation; it is ignored.
        let complete = |slot: u64| {
            self.marks
                .get(&slot)
                .filter(|groups| groups.len() as u32 == self.groups() && has_mark(groups, self.me))
        };
        complete(self.called.checked_sub(1)?)?;
        let issued = issued?;
        // A slot that could not be read is not a miss.
        let present = |gateway: u32, slot: u64| complete(slot).is_none_or(|groups| has_mark(groups, gateway));
        // After a goodbye only slots after the sender's last mark count: a mark there is a new incarnation's.
        let misses = self.called.saturating_sub(MISSES_UNTIL_ABSENT);
        let from = |gateway: &u32| self.goodbyes.get(gateway).map_or(misses, |last| misses.max(last + 1));
        let absent = |gateway: &u32| {
            *gateway != self.me && (from(gateway)..self.called).all(|slot| !present(*gateway, slot))
        };
        Some(RollCallResult { issued, absent: (0..self.gateways).filter(absent).collect() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    /// A counter and the gateways that call it.
    struct Fleet {
        totals: BTreeMap<String, f64>,
        rolls: Vec<RollCall>,
    }

    impl Fleet {
        fn new(gateways: u32) -> Fleet {
            let rolls = (0..gateways).map(|me| RollCall::new(me, gateways, 0)).collect();
            Fleet { totals: BTreeMap::new(), rolls }
        }

        /// Runs one slot in which all but `gone` call; returns the result of each.
        fn run_slot(&mut self, slot: u64, gone: &[usize]) -> Vec<Option<RollCallResult>> {
            let mut found = vec![None; self.rolls.len()];
            for (n, roll) in self.rolls.iter_mut().enumerate().filter(|(n, _)| !gone.contains(n)) {
                for call in roll.due_calls(slot * roll.slot_length() + n as u64) {
                    let total = self.totals.entry(call.name.clone()).or_default();
                    *total += call.amount;
                    found[n] = roll.handle_answer(&call.name, Some(*total)).or(found[n].take());
                }
            }
            found
        }
    }

    #[test]
    fn gateway_is_absent_after_four_missed_slots_and_present_with_its_next_mark() {
        let mut fleet = Fleet::new(40);
        (1..6).for_each(|slot| drop(fleet.run_slot(slot, &[])));
        for slot in 6..10 {
            let found = fleet.run_slot(slot, &[3, 30]);
            assert!(found[0].as_ref().unwrap().absent.is_empty(), "slot {slot}");
        }
        let found = fleet.run_slot(10, &[3, 30]);
        for of in [0, 22, 23, 39] {
            let issued = 10 * fleet.rolls[0].slot_length();
            assert_eq!(found[of], Some(RollCallResult { issued, absent: [3, 30].into() }));
        }
        fleet.run_slot(11, &[30]);
        assert_eq!(fleet.run_slot(12, &[30])[5].as_ref().unwrap().absent, [30].into());
    }

    #[test]
    fn unanswered_and_incomplete_slots_are_ignored() {
        let mut roll = RollCall::new(0, 2, 0);
        assert!(roll.due_calls(SECOND / 2).is_empty(), "marking starts with the slot after the start");
        for slot in 1..9 {
            let calls = roll.due_calls(slot * SECOND);
            assert_eq!(calls.len(), 2);
            assert!(roll.due_calls(slot * SECOND + 1).is_empty(), "one mark a slot, answered or not");
            assert_eq!(roll.handle_answer(&calls[0].name, None), None);
            assert_eq!(roll.handle_answer(&calls[1].name, Some(1.0)), None);
        }
        // The first slot that is answered: the other gateway has no mark in it.
        let calls = roll.due_calls(9 * SECOND);
        roll.handle_answer(&calls[0].name, Some(1.0));
        assert_eq!(roll.handle_answer(&calls[1].name, Some(1.0)).unwrap().absent, [1].into());
        // A slot that lost the reader's own mark is ignored.
        let calls = roll.due_calls(10 * SECOND);
        roll.handle_answer(&calls[0].name, Some(1.0));
        assert_eq!(roll.handle_answer(&calls[1].name, Some(0.0)), None);
        // A slot that could not be read is not a miss.
        let calls = roll.due_calls(11 * SECOND);
        roll.handle_answer(&calls[0].name, Some(1.0));
        assert_eq!(roll.handle_answer(&calls[1].name, None), None);
        let calls = roll.due_calls(12 * SECOND);
        roll.handle_answer(&calls[0].name, Some(1.0));
        assert_eq!(roll.handle_answer(&calls[1].name, Some(1.0)).unwrap().absent, BTreeSet::new());
    }

    #[test]
    fn goodbye_makes_a_gateway_absent_at_once_until_its_next_incarnation_marks() {
        let mut fleet = Fleet::new(3);
        (1..6).for_each(|slot| drop(fleet.run_slot(slot, &[])));
        assert_eq!(fleet.rolls[2].stop(), 5);
        assert!(fleet.rolls[2].due_calls(6 * SECOND).is_empty(), "no marks after leaving");
        let absent = |found: Option<RollCallResult>| found.unwrap().absent;
        assert_eq!(
            absent(fleet.rolls[0].set_goodbyes([(2, 5)].into())),
            [2].into(),
            "in the slot of its last mark"
        );
        assert_eq!(fleet.rolls[0].set_goodbyes([(2, 5)].into()), None, "no change");
        assert_eq!(absent(fleet.run_slot(6, &[2])[0].clone()), [2].into());
        fleet.rolls[2] = RollCall::new(2, 3, 6 * SECOND);
        assert_eq!(
            absent(fleet.run_slot(7, &[])[0].clone()),
            [2].into(),
            "the new mark is read one slot later"
        );
        assert_eq!(absent(fleet.run_slot(8, &[])[0].clone()), BTreeSet::new());
        assert_eq!(
            absent(fleet.run_slot(9, &[2])[0].clone()),
            BTreeSet::new(),
            "a goodbye applies to one incarnation"
        );
        assert_eq!(absent(fleet.rolls[0].set_goodbyes(BTreeMap::new())), BTreeSet::new());
    }

    #[test]
    fn gateways_with_the_same_number_get_no_result() {
        let mut fleet = Fleet::new(3);
        fleet.rolls.push(RollCall::new(1, 3, 0));
        let found = fleet.run_slot(1, &[]);
        assert_eq!(found[3], None, "a doubled mark carries over to another bit");
    }

    #[test]
    fn invalid_answers_and_answers_to_other_slots_are_ignored() {
        let mut roll = RollCall::new(0, 2, 0);
        let calls = roll.due_calls(5 * SECOND);
        for name in ["~", "~x.0", "~1.0", "abc", "~5", "~5.99"] {
            assert_eq!(roll.handle_answer(name, Some(1.0)), None, "{name}");
        }
        for total in [-1.0, 1e9, f64::NAN] {
            assert_eq!(roll.handle_answer(&calls[0].name, Some(total)), None);
            assert_eq!(roll.handle_answer(&calls[1].name, Some(total)), None);
        }
    }

    #[test]
    fn slot_length_limits_the_call_rate_of_the_fleet() {
        for (gateways, seconds) in [(1, 1), (10, 1), (40, 2), (300, 45), (1_000, 450)] {
            let slot = slot_length(gateways);
            let calls = u64::from(gateways) * (1 + u64::from(gateways.div_ceil(GATEWAYS_PER_NAME)));
            assert!(calls * SECOND <= CALLS_PER_SECOND_MAX * slot, "{gateways}");
            assert_eq!(slot / SECOND, seconds, "{gateways}");
        }
    }
}
