//! The sums of further attempts and of sends to cold workers over many gateways.

mod common;

use common::{Grants, ROUNDING};
use hingestage_quota::{ColdBudget, ColdLimit, GatewayId, Micros, Part, RetryBudget, RetryLimit};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const GATEWAYS: usize = 4;
const RETRY: RetryLimit = RetryLimit { ratio: 0.2, window: 10 * S, slack: 40.0 };
/// Ten and a half sends a second.
const COLD: ColdLimit = ColdLimit { per_s: 5.0, excess: 1.5, slack: 3.0 };
const LASTING: Micros = 100_000 * S;

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    Grant {
        gateway: usize,
        gateways: u32,
        lease: Micros,
    },
    Restart(usize),
    /// First arrivals, for budgets of further attempts.
    First {
        gateway: usize,
        requests: usize,
    },
    Use {
        gateway: usize,
        times: usize,
    },
}

fn step(longest: Micros) -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    prop_oneof![
        5 => (1..longest).prop_map(Step::Wait),
        4 => (gateway.clone(), 1..=GATEWAYS as u32, S / 2..20 * S)
            .prop_map(|(gateway, gateways, lease)| Step::Grant { gateway, gateways, lease }),
        1 => gateway.clone().prop_map(Step::Restart),
        2 => (gateway.clone(), 1_usize..60).prop_map(|(gateway, requests)| Step::First { gateway, requests }),
        6 => (gateway, 1_usize..30).prop_map(|(gateway, times)| Step::Use { gateway, times }),
    ]
}

/// When first arrivals and uses happened.
#[derive(Default)]
struct Played {
    first: Vec<Micros>,
    used: Vec<Micros>,
}

/// Plays steps with budgets of one kind.
fn play<B>(
    steps: &[Step],
    new: impl Fn(Micros) -> B,
    observe: impl Fn(&mut B, Micros, Part),
    first: impl Fn(&mut B, Micros),
    draw: impl Fn(&mut B, Micros, Part, usize) -> bool,
) -> Played {
    let (mut now, mut played, mut grants) = (30 * S, Played::default(), Grants::none(GATEWAYS));
    let mut budgets: Vec<B> = (0..GATEWAYS).map(|_| new(0)).collect();
    for step in steps {
        match *step {
            Step::Wait(span) => now += span,
            Step::Grant { gateway, gateways, lease } => {
                let part = Part { gateways, valid_until: now + lease };
                if grants.grant(now, gateway, part) {
                    observe(&mut budgets[gateway], now, part);
                }
            }
            Step::Restart(gateway) => budgets[gateway] = new(now),
            Step::First { gateway, requests } => {
                (0..requests).for_each(|_| first(&mut budgets[gateway], now));
                played.first.extend(std::iter::repeat_n(now, requests));
            }
            Step::Use { gateway, times } => {
                let part = grants.0[gateway];
                let drawn = (0..times).filter(|_| draw(&mut budgets[gateway], now, part, gateway)).count();
                played.used.extend(std::iter::repeat_n(now, drawn));
            }
        }
    }
    played
}

fn count(times: &[Micros], from: Micros, until: Micros) -> f64 {
    times.iter().filter(|at| (from..until).contains(*at)).count() as f64
}

fn retry_budget(now: Micros) -> RetryBudget {
    RetryBudget::new(now, RETRY)
}

fn cold_budget(now: Micros) -> ColdBudget {
    ColdBudget::new(now, COLD)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// The proof's statement, for every window that begins with a further attempt.
    #[test]
    fn further_attempts_of_all_gateways_stay_within_what_was_earned_and_the_slack(
        steps in prop::collection::vec(step(3 * S), 1..150),
    ) {
        let draw = |budget: &mut RetryBudget, now, part, _| budget.try_further(now, part);
        let played = play(&steps, retry_budget, RetryBudget::observe_part, RetryBudget::first, draw);
        for from in &played.used {
            let until = from + RETRY.window;
            let earned = 0.8 * RETRY.ratio * count(&played.first, from - RETRY.window / 4, until);
            let further = count(&played.used, *from, until);
            prop_assert!(further <= earned + 0.7 * RETRY.slack + ROUNDING, "{further} > {earned} + slack");
        }
    }

    #[test]
    fn sends_of_all_gateways_stay_within_the_limit_of_every_second(
        steps in prop::collection::vec(step(S), 1..150),
    ) {
        let draw = |budget: &mut ColdBudget, now, part, gateway: usize| {
            budget.try_send(now, part, GatewayId(gateway as u64), "worker")
        };
        let played = play(&steps, cold_budget, ColdBudget::observe_part, |_, _| (), draw);
        for from in &played.used {
            prop_assert!(count(&played.used, *from, from + S) <= 10.0);
        }
    }
}

#[test]
fn an_even_load_stays_within_the_rule_however_eager_the_further_attempts() {
    let part = Part { gateways: GATEWAYS as u32, valid_until: LASTING };
    let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| retry_budget(0)).collect();
    let (mut first, mut further) = (Vec::new(), Vec::new());
    for tick in 0..6_000_u64 {
        let now = tick * S / 100;
        for budget in &mut budgets {
            budget.observe_part(now, part);
            budget.first(now);
            first.push(now);
            // Nothing for a while, then all that can be had.
            while tick % 1_500 > 700 && budget.try_further(now, part) {
                further.push(now);
            }
        }
    }
    for from in (30 * S..50 * S).step_by(S as usize / 10) {
        let until = from + RETRY.window;
        let allowed = RETRY.ratio * count(&first, from, until) + RETRY.slack;
        assert!(count(&further, from, until) <= allowed);
    }
    assert!(further.len() > 2_000, "{}", further.len());
}

#[test]
fn what_was_earned_is_kept_for_a_quarter_of_the_window() {
    let drawn = |later: Micros| {
        let mut budget = retry_budget(0);
        (0..10).for_each(|_| budget.first(60 * S));
        (0..5).filter(|_| budget.try_further(60 * S + later, Part::NONE)).count()
    };
    assert_eq!((drawn(0), drawn(2 * S), drawn(2 * S + S / 2)), (1, 1, 0));
}

#[test]
fn slack_that_comes_to_less_than_a_token_is_not_drawn() {
    let drawn = |gateways: u32| {
        let part = Part { gateways, valid_until: LASTING };
        let mut budget = retry_budget(0);
        budget.observe_part(0, part);
        (0..30).filter(|_| budget.try_further(60 * S, part)).count()
    };
    assert_eq!((drawn(1), drawn(4), drawn(14), drawn(15)), (14, 3, 1, 0));
}

/// Sends that so many gateways try at once, and again half a second and one second later.
fn dealt(gateways: u64, worker: &str) -> [usize; 3] {
    let list: Vec<GatewayId> = (0..gateways).map(GatewayId).collect();
    let part = Part { gateways: gateways as u32, valid_until: LASTING };
    let mut budgets: Vec<ColdBudget> = list.iter().map(|_| cold_budget(0)).collect();
    for budget in &mut budgets {
        budget.observe_part(0, part);
        budget.observe_gateways(0, &list);
    }
    let mut send = |now| {
        let all = list.iter().zip(&mut budgets).flat_map(|(gateway, budget)| {
            (0..3).map(|_| budget.try_send(now, part, *gateway, worker)).collect::<Vec<_>>()
        });
        all.filter(|sent| *sent).count()
    };
    assert_eq!(send(S - 1), 0, "a gateway that just started may have sent before");
    [send(2 * S), send(2 * S + S / 2), send(3 * S)]
}

#[test]
fn few_sends_are_dealt_out_to_as_many_gateways() {
    assert_eq!(dealt(5, "worker"), [10, 0, 10], "two each");
    assert_eq!(dealt(7, "worker"), [7, 0, 7], "one each");
    assert_eq!(dealt(40, "worker"), [10, 0, 10], "ten that have one");
    assert_eq!(dealt(40, "other"), [10, 0, 10]);
}

#[test]
fn a_list_that_is_new_or_of_another_part_deals_nothing_out() {
    let list: Vec<GatewayId> = (0..11).map(GatewayId).collect();
    let part = Part { gateways: 11, valid_until: LASTING };
    let sent = |list: &[GatewayId], listed_at: Micros, now: Micros| {
        let workers = (0..50).map(|number| format!("worker-{number}"));
        let mut budget = cold_budget(0);
        budget.observe_part(0, part);
        budget.observe_gateways(listed_at, list);
        workers.filter(|worker| budget.try_send(now, part, GatewayId(3), worker)).count()
    };
    assert!((35..50).contains(&sent(&list, 0, 9 * S)), "ten of eleven");
    assert_eq!(sent(&list, 8 * S + 1, 9 * S), 0);
    assert_eq!(sent(&list[1..], 0, 9 * S), 0);
}
