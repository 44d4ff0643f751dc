//! Uneven shares: what all holders go by never comes to more than the whole.

use hingestage_quota::{
    BucketLimit, GatewayId, Incarnation, Micros, PartMeter, ShareAnswer, ShareHolder, ShareOwner,
    ShareReport, ShareSettings, SharedBucket, Term, WHOLE,
};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const HOLDERS: usize = 4;
const SETTINGS: ShareSettings = ShareSettings { lease: 5 * S, margin: S / 10 };

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    Report {
        holder: usize,
        demand: f64,
    },
    /// One of the reports under way arrives. It stays under way, and may arrive again.
    ReportArrives(usize),
    /// One of the answers under way arrives. It stays under way, too.
    AnswerArrives(usize),
    /// A report arrives at once, and so does its answer.
    RoundTrip {
        holder: usize,
        demand: f64,
    },
    Restart(usize),
    ChangeOwner,
}

fn step() -> impl Strategy<Value = Step> {
    let holder = 0..HOLDERS;
    let demand = prop_oneof![Just(0.0), 0.0..100.0];
    prop_oneof![
        4 => (1..2 * S).prop_map(Step::Wait),
        3 => (holder.clone(), demand.clone()).prop_map(|(holder, demand)| Step::Report { holder, demand }),
        4 => (0_usize..12).prop_map(Step::ReportArrives),
        4 => (0_usize..12).prop_map(Step::AnswerArrives),
        8 => (holder.clone(), demand).prop_map(|(holder, demand)| Step::RoundTrip { holder, demand }),
        1 => holder.prop_map(Step::Restart),
        1 => Just(Step::ChangeOwner),
    ]
}

struct World {
    now: Micros,
    holders: Vec<ShareHolder>,
    owner: ShareOwner,
    terms: u64,
    runs: u64,
    /// Latest first.
    reports: Vec<(usize, ShareReport)>,
    answers: Vec<(usize, ShareAnswer)>,
}

impl World {
    fn new() -> World {
        let holders = (0..HOLDERS).map(|_| ShareHolder::new(Incarnation(0))).collect();
        let (reports, answers) = (Vec::new(), Vec::new());
        World { now: S, holders, owner: owner(S, 1), terms: 1, runs: 0, reports, answers }
    }

    /// A holder's clock: each has its own origin and its own rate, up to one percent off.
    fn clock(&self, holder: usize) -> Micros {
        let rate = [1_000, 1_010, 990, 1_005][holder];
        17 * S * holder as u64 + self.now / 1_000 * rate
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Wait(span) => self.now += span,
            Step::Report { holder, demand } => self.report(holder, demand),
            Step::ReportArrives(which) => self.report_arrives(which),
            Step::AnswerArrives(which) => self.answer_arrives(which),
            Step::RoundTrip { holder, demand } => {
                self.report(holder, demand);
                self.report_arrives(0);
                self.answer_arrives(0);
            }
            Step::Restart(holder) => {
                self.runs += 1;
                self.holders[holder] = ShareHolder::new(Incarnation(self.runs));
            }
            Step::ChangeOwner => {
                self.terms += 1;
                self.owner = owner(self.now, self.terms);
            }
        }
    }

    fn report(&mut self, holder: usize, demand: f64) {
        let clock = self.clock(holder);
        let report = self.holders[holder].report(clock, demand);
        self.reports.insert(0, (holder, report));
    }

    fn report_arrives(&mut self, which: usize) {
        let Some((holder, report)) = self.reports.get(which) else { return };
        let answer = self.owner.receive(self.now, GatewayId(*holder as u64), report);
        let holder = *holder;
        self.answers.splice(0..0, answer.map(|answer| (holder, answer)));
    }

    fn answer_arrives(&mut self, which: usize) {
        if let Some((holder, answer)) = self.answers.get(which) {
            self.holders[*holder].receive(answer);
        }
    }

    fn units(&self) -> Vec<u32> {
        (0..HOLDERS).map(|holder| self.holders[holder].units(self.clock(holder))).collect()
    }

    fn rounds(&mut self, rounds: usize, demands: [f64; HOLDERS]) {
        for _ in 0..rounds {
            self.now += S;
            for (holder, demand) in demands.into_iter().enumerate() {
                self.play(&Step::RoundTrip { holder, demand });
            }
        }
    }
}

fn owner(now: Micros, term: u64) -> ShareOwner {
    ShareOwner::new(now, Term(term), Micros::MAX, SETTINGS)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn shares_never_come_to_more_than_the_whole(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        world.rounds(7, [1.0; HOLDERS]);
        for step in &steps {
            world.play(step);
            let units = world.units();
            prop_assert!(units.iter().sum::<u32>() <= WHOLE, "{units:?} at {}", world.now);
        }
    }
}

#[test]
fn shares_follow_demand_and_leave_a_little_for_all() {
    let mut world = World::new();
    world.rounds(9, [1.0; HOLDERS]);
    assert_eq!(world.units(), [250_000; HOLDERS]);
    world.rounds(3, [30.0, 10.0, 0.0, 0.0]);
    assert_eq!(world.units(), [700_000, 250_000, 25_000, 25_000]);
    world.rounds(3, [0.0; HOLDERS]);
    assert_eq!(world.units(), [250_000; HOLDERS]);
}

#[test]
fn the_share_of_a_holder_that_died_is_dealt_out_after_its_lease() {
    let mut world = World::new();
    world.rounds(9, [1.0; HOLDERS]);
    for _ in 0..12 {
        world.now += S;
        (0..3).for_each(|holder| world.play(&Step::RoundTrip { holder, demand: 1.0 }));
    }
    assert_eq!(world.owner.holders(), 3);
    assert!(world.units()[..3].iter().all(|units| *units > 333_000));
}

#[test]
fn an_owner_that_is_new_renews_what_is_held_and_raises_nothing_for_a_lease() {
    let mut world = World::new();
    world.rounds(9, [30.0, 10.0, 0.0, 0.0]);
    let before = world.units();
    world.play(&Step::ChangeOwner);
    for _ in 0..5 {
        world.rounds(1, [10.0, 30.0, 0.0, 0.0]);
        let units = world.units();
        assert!(units[1] <= before[1] && units[1] > 0, "{units:?}");
    }
    world.rounds(4, [10.0, 30.0, 0.0, 0.0]);
    assert_eq!(world.units(), [250_000, 700_000, 25_000, 25_000]);
}

#[test]
fn an_owner_grants_nothing_after_its_tenure() {
    let mut owner = ShareOwner::new(0, Term(1), 10 * S, SETTINGS);
    let report = ShareHolder::new(Incarnation(1)).report(0, 1.0);
    assert!(owner.receive(10 * S - 1, GatewayId(1), &report).is_some());
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_none());
    owner.extend(11 * S);
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_some());
}

/// An owner that has been there for a lease, a holder that knows it, and an answer that the holder hasn't heard.
fn granted() -> (ShareOwner, ShareHolder, ShareAnswer) {
    let (mut owner, mut holder) = (owner(0, 1), ShareHolder::new(Incarnation(1)));
    holder.receive(&ShareAnswer::NewTerm(Term(1)));
    let report = holder.report(10 * S, 1.0);
    let answer = owner.receive(10 * S, GatewayId(1), &report).unwrap();
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_none(), "a report that comes twice");
    (owner, holder, answer)
}

#[test]
fn a_grant_of_an_earlier_tenure_is_not_applied() {
    let (_, mut holder, answer) = granted();
    let mut changed = holder.clone();
    holder.receive(&answer);
    assert_eq!(holder.units(11 * S), WHOLE);
    changed.receive(&ShareAnswer::NewTerm(Term(2)));
    changed.receive(&answer);
    assert_eq!(changed.units(11 * S), 0);
}

#[test]
fn a_holder_that_hears_no_answers_counts_with_what_it_has() {
    let (mut owner, mut holder, answer) = granted();
    holder.receive(&answer);
    let mut other = ShareHolder::new(Incarnation(1));
    other.receive(&ShareAnswer::NewTerm(Term(1)));
    for tenth in 101..140 {
        let now = tenth * S / 10;
        owner.receive(now, GatewayId(1), &holder.report(now, 0.0));
        let answer = owner.receive(now, GatewayId(2), &other.report(now, 1.0)).unwrap();
        other.receive(&answer);
        assert_eq!(holder.units(now) + other.units(now), WHOLE);
    }
}

#[test]
fn a_share_that_grows_raises_the_rate_but_not_the_level() {
    let limit = BucketLimit { rate: 10.0, depth: 100.0, least_cap: 0.0 };
    let mut world = World::new();
    let mut meter = PartMeter::new(0);
    world.rounds(9, [0.0, 1.0, 1.0, 1.0]);
    world.holders[0].observe(world.now, &mut meter);
    let mut bucket = SharedBucket::new(&meter, limit, 100.0);
    let before = bucket.level();
    assert!((before - 2.5).abs() < 1e-9, "{before}");
    world.rounds(3, [9.0, 0.0, 0.0, 0.0]);
    world.holders[0].observe(world.now, &mut meter);
    bucket.refresh(&meter, limit);
    assert!(bucket.level() <= before);
    meter.advance(world.now + S);
    bucket.refresh(&meter, limit);
    assert!((bucket.level() - before - 9.25).abs() < 1e-6, "{}", bucket.level());
}

#[test]
fn a_meter_that_has_to_forget_shares_keeps_the_smallest() {
    let limit = BucketLimit { rate: 1.0, depth: 1_000.0, least_cap: 0.0 };
    let mut meter = PartMeter::new(0);
    meter.observe_share(0, 0.5, 100 * S);
    let mut rare = SharedBucket::new(&meter, limit, 1_000.0);
    for step in 1..=100_u32 {
        meter.observe_share(S * u64::from(step), f64::from(step) / 1_000.0, 1_000 * S);
    }
    rare.refresh(&meter, limit);
    assert!(rare.level() <= 1.0 + 100.0 * 0.1, "{}", rare.level());
}
