//! The decisions keep the rules in all small worlds, and defects planted round them are found there.

use hingestage_policy::*;
use hingestage_small_worlds::decisions::{Kind, World};
use hingestage_small_worlds::search::search;

/// Steps in a row. By hand: `cargo run --release -p hingestage-small-worlds -- --depth 7`.
const DEPTH: usize = 5;

#[test]
fn no_order_of_events_breaks_a_rule() {
    for (name, kind) in Kind::all() {
        let tried =
            search(World::new(kind, Gatekeeper::new), DEPTH).unwrap_or_else(|b| panic!("{name}: {b}"));
        assert!(tried.states > 2_000, "{name}: only {} states, something is never reached", tried.states);
    }
}

type Bend = fn(&mut Gatekeeper, Micros, Event, &mut Vec<Action>);

#[derive(Clone, Debug)]
struct Wrapped(Gatekeeper, Bend);

impl Decide for Wrapped {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        (self.1)(&mut self.0, now, event, out);
    }

    fn pending(&self) -> usize {
        self.0.pending()
    }

    fn avoided(&self) -> usize {
        self.0.avoided()
    }

    fn requests_without_worker(&self) -> u64 {
        self.0.requests_without_worker()
    }
}

/// The rule that a defect breaks in the worlds whose name begins so, and by how many steps.
fn caught(worlds: &str, rule: &str, settings: fn(&mut Settings), bend: Bend) {
    let all = Kind::all().into_iter().filter(|(name, _)| name.starts_with(worlds));
    let found = all.filter_map(|(name, kind)| {
        let make = |mut figures: Settings, seed, now| {
            settings(&mut figures);
            Wrapped(Gatekeeper::new(figures, seed, now), bend)
        };
        search(World::new(kind, make), DEPTH + 1).err().map(|broken| (name, broken))
    });
    let found: Vec<_> = found.collect();
    assert!(!found.is_empty(), "`{rule}` is not broken in any world `{worlds}`");
    for (name, broken) in &found {
        assert!(broken.what.starts_with(rule), "{name}: {broken}");
        println!("{rule}: {name}, {} steps", broken.path.len());
    }
}

const WHOLE: Bend = |inner, now, event, out| inner.handle(now, event, out);

fn as_is(_: &mut Settings) {}

#[test]
fn an_attempt_that_may_have_run_taken_for_one_that_never_did() {
    caught("push", "twice", as_is, |inner, now, event, out| {
        let event = match event {
            Event::AttemptDone(done) if done.outcome == Outcome::Reset => {
                Event::AttemptDone(AttemptDone { outcome: Outcome::ConnectFailed, ..done })
            }
            event => event,
        };
        inner.handle(now, event, out);
    });
}

#[test]
fn a_failure_told_as_a_refusal() {
    let bend: Bend = |inner, now, event, out| {
        inner.handle(now, event, out);
        for action in out.iter_mut() {
            if let Action::Fail(request) = action {
                *action = Action::Refuse { request: request.clone(), retry_after: 0 };
            }
        }
    };
    caught("push", "twice", as_is, bend);
    caught("keyed by cell", "twice", as_is, bend);
}

#[test]
fn answers_forgotten_or_given_twice() {
    caught("p", "lost", as_is, |inner, now, event, out| {
        inner.handle(now, event, out);
        out.retain(|action| !matches!(action, Action::Fail(_)));
    });
    caught("p", "lost", as_is, |inner, now, event, out| {
        inner.handle(now, event, out);
        let again: Vec<Action> = out.iter().filter(|a| matches!(a, Action::Refuse { .. })).cloned().collect();
        out.extend(again);
    });
}

#[test]
fn a_stalled_answer_given_up_though_nothing_follows() {
    let bend: Bend = |inner, now, event, out| {
        if let Event::Stalled { request, attempt, .. } = &event {
            out.push(Action::Cancel { request: request.clone(), attempt: *attempt });
        }
        inner.handle(now, event, out);
    };
    caught("push", "given up", as_is, bend);
}

#[test]
fn word_of_drains_passed_over() {
    caught("p", "drains", as_is, |inner, now, event, out| {
        let event = match event {
            Event::Workers(mut list) => {
                list.workers.iter_mut().for_each(|w| w.availability = Availability::Ready);
                Event::Workers(list)
            }
            event => event,
        };
        inner.handle(now, event, out);
    });
}

#[test]
fn keys_groups_copies_and_ceilings_misread() {
    let forever: fn(&mut Settings) = |s| s.classes[0].key_window = 60_000_000;
    caught("keyed by all", "twice: sent when", forever, WHOLE);
    let one: fn(&mut Settings) = |s| s.classes[0].group = DedupGroup::All;
    caught("keyed by zone", "twice", one, WHOLE);
    caught("keyed by cell", "twice", one, WHOLE);
    let none: fn(&mut Settings) = |s| {
        s.plans[0].rate = 0.0;
        s.plans[0].ceiling_rate = 0.0;
    };
    caught("two of pull", "ceilings", none, WHOLE);
    let copies: fn(&mut Settings) = |s| (s.limits.second_copies, s.limits.hedge) = (true, true);
    caught("pull", "twice: two", copies, WHOLE);
}
