//! Uneven shares: all holders together never hold more than the whole.

use hingestage_quota::{
    BucketLimit, GatewayId, Incarnation, Micros, ShareAnswer, ShareHolder, ShareMeter, ShareOwner,
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
    /// Delivers one of the reports in flight, which may be delivered again.
    ReportArrives(usize),
    /// Delivers one of the answers in flight, which may be delivered again.
    AnswerArrives(usize),
    /// Delivers a new report and its answer at once.
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

struct Cluster {
    now: Micros,
    holders: Vec<ShareHolder>,
    owner: ShareOwner,
    terms: u64,
    runs: u64,
    /// Newest first.
    reports: Vec<(usize, ShareReport)>,
    answers: Vec<(usize, ShareAnswer)>,
}

impl Cluster {
    fn new() -> Cluster {
        let holders = (0..HOLDERS).map(|_| ShareHolder::new(Incarnation(0))).collect();
        let (reports, answers) = (Vec::new(), Vec::new());
        Cluster { now: S, holders, owner: owner(S, 1), terms: 1, runs: 0, reports, answers }
    }

    /// A holder's clock, with its own origin and a rate that is off by up to one percent.
    fn clock(&self, holder: usize) -> Micros {
        let rate = [1_000, 1_010, 990, 1_005][holder];
        17 * S * holder as u64 + self.now / 1_000 * rate
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(span) => self.now += span,
            Step::Report { holder, demand } => self.report(holder, demand),
            Step::ReportArrives(index) => self.report_arrives(index),
            Step::AnswerArrives(index) => self.answer_arrives(index),
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

    fn report_arrives(&mut self, index: usize) {
        let Some((holder, report)) = self.reports.get(index) else { return };
        let answer = self.owner.receive(self.now, GatewayId(*holder as u64), report);
        let holder = *holder;
        self.answers.splice(0..0, answer.map(|answer| (holder, answer)));
    }

    fn answer_arrives(&mut self, index: usize) {
        if let Some((holder, answer)) = self.answers.get(index) {
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
                self.apply(&Step::RoundTrip { holder, demand });
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
    fn shares_never_exceed_the_whole(steps in prop::collection::vec(step(), 1..200)) {
        let mut cluster = Cluster::new();
        cluster.rounds(7, [1.0; HOLDERS]);
        for step in &steps {
            cluster.apply(step);
            let units = cluster.units();
            prop_assert!(units.iter().sum::<u32>() <= WHOLE, "{units:?} at {}", cluster.now);
        }
    }
}

#[test]
fn shares_follow_demand_with_an_even_minimum() {
    let mut cluster = Cluster::new();
    cluster.rounds(9, [1.0; HOLDERS]);
    assert_eq!(cluster.units(), [250_000; HOLDERS]);
    cluster.rounds(3, [30.0, 10.0, 0.0, 0.0]);
    assert_eq!(cluster.units(), [700_000, 250_000, 25_000, 25_000]);
    cluster.rounds(3, [0.0; HOLDERS]);
    assert_eq!(cluster.units(), [250_000; HOLDERS]);
}

#[test]
fn share_of_a_dead_holder_is_reassigned_after_its_lease() {
    let mut cluster = Cluster::new();
    cluster.rounds(9, [1.0; HOLDERS]);
    for _ in 0..12 {
        cluster.now += S;
        (0..3).for_each(|holder| cluster.apply(&Step::RoundTrip { holder, demand: 1.0 }));
    }
    assert_eq!(cluster.owner.holders(), 3);
    assert!(cluster.units()[..3].iter().all(|units| *units > 333_000));
}

#[test]
fn new_owner_renews_held_shares_and_raises_none_for_one_lease() {
    let mut cluster = Cluster::new();
    cluster.rounds(9, [30.0, 10.0, 0.0, 0.0]);
    let before = cluster.units();
    cluster.apply(&Step::ChangeOwner);
    for _ in 0..5 {
        cluster.rounds(1, [10.0, 30.0, 0.0, 0.0]);
        let units = cluster.units();
        assert!(units[1] <= before[1] && units[1] > 0, "{units:?}");
    }
    cluster.rounds(4, [10.0, 30.0, 0.0, 0.0]);
    assert_eq!(cluster.units(), [250_000, 700_000, 25_000, 25_000]);
}

#[test]
fn owner_grants_nothing_after_its_term() {
    let mut owner = ShareOwner::new(0, Term(1), 10 * S, SETTINGS);
    let report = ShareHolder::new(Incarnation(1)).report(0, 1.0);
    assert!(owner.receive(10 * S - 1, GatewayId(1), &report).is_some());
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_none());
    owner.extend(11 * S);
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_some());
}

/// An owner past its first lease, a holder that knows its term, and an answer not yet delivered.
fn granted() -> (ShareOwner, ShareHolder, ShareAnswer) {
    let (mut owner, mut holder) = (owner(0, 1), ShareHolder::new(Incarnation(1)));
    holder.receive(&ShareAnswer::NewTerm(Term(1)));
    let report = holder.report(10 * S, 1.0);
    let answer = owner.receive(10 * S, GatewayId(1), &report).unwrap();
    assert!(owner.receive(10 * S, GatewayId(1), &report).is_none(), "a duplicate report");
    (owner, holder, answer)
}

#[test]
fn grant_of_an_earlier_term_is_not_applied() {
    let (_, mut holder, answer) = granted();
    let mut changed = holder.clone();
    holder.receive(&answer);
    assert_eq!(holder.units(11 * S), WHOLE);
    changed.receive(&ShareAnswer::NewTerm(Term(2)));
    changed.receive(&answer);
    assert_eq!(changed.units(11 * S), 0);
}

#[test]
fn holder_without_answers_is_charged_its_current_share() {
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
fn growing_share_raises_the_rate_but_not_the_level() {
    let limit = BucketLimit { rate: 10.0, depth: 100.0, min_capacity: 0.0 };
    let mut cluster = Cluster::new();
    let mut meter = ShareMeter::new(0);
    cluster.rounds(9, [0.0, 1.0, 1.0, 1.0]);
    cluster.holders[0].observe(cluster.now, &mut meter);
    let mut bucket = SharedBucket::new(&meter, limit, 100.0);
    let before = bucket.level();
    assert!((before - 2.5).abs() < 1e-9, "{before}");
    cluster.rounds(3, [9.0, 0.0, 0.0, 0.0]);
    cluster.holders[0].observe(cluster.now, &mut meter);
    bucket.refresh(&meter, limit);
    assert!(bucket.level() <= before);
    meter.advance(cluster.now + S);
    bucket.refresh(&meter, limit);
    assert!((bucket.level() - before - 9.25).abs() < 1e-6, "{}", bucket.level());
}

#[test]
fn merged_meter_spans_keep_the_smallest_share() {
    let limit = BucketLimit { rate: 1.0, depth: 1_000.0, min_capacity: 0.0 };
    let mut meter = ShareMeter::new(0);
    meter.observe_share(0, 0.5, 100 * S);
    let mut idle = SharedBucket::new(&meter, limit, 1_000.0);
    for step in 1..=100_u32 {
        meter.observe_share(S * u64::from(step), f64::from(step) / 1_000.0, 1_000 * S);
    }
    idle.refresh(&meter, limit);
    assert!(idle.level() <= 1.0 + 100.0 * 0.1, "{}", idle.level());
}
