//! Bounds on retries and on requests to cold workers over many gateways.

mod common;

use common::{Grants, ROUNDING};
use hingestage_quota::{ColdBudget, ColdLimit, EvenShare, GatewayId, Micros, RetryBudget, RetryLimit};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const GATEWAYS: usize = 4;
const RETRY: RetryLimit = RetryLimit { ratio: 0.2, window: 10 * S, slack: 40.0 };
/// 10.5 requests per second.
const COLD: ColdLimit = ColdLimit { per_s: 5.0, excess: 1.5, slack: 3.0 };
const FAR_FUTURE: Micros = 100_000 * S;

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    Grant {
        gateway: usize,
        gateways: u32,
        lease: Micros,
    },
    Restart(usize),
    /// First attempts, for retry budgets.
    First {
        gateway: usize,
        requests: usize,
    },
    Use {
        gateway: usize,
        times: usize,
    },
}

fn step(max_wait: Micros) -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    prop_oneof![
        5 => (1..max_wait).prop_map(Step::Wait),
        4 => (gateway.clone(), 1..=GATEWAYS as u32, S / 2..20 * S)
            .prop_map(|(gateway, gateways, lease)| Step::Grant { gateway, gateways, lease }),
        1 => gateway.clone().prop_map(Step::Restart),
        2 => (gateway.clone(), 1_usize..60).prop_map(|(gateway, requests)| Step::First { gateway, requests }),
        6 => (gateway, 1_usize..30).prop_map(|(gateway, times)| Step::Use { gateway, times }),
    ]
}

/// Times of first attempts and uses.
#[derive(Default)]
struct History {
    first: Vec<Micros>,
    used: Vec<Micros>,
}

/// Runs steps with budgets of one kind.
fn run<B>(
    steps: &[Step],
    new: impl Fn(Micros) -> B,
    observe: impl Fn(&mut B, Micros, EvenShare),
    first: impl Fn(&mut B, Micros),
    take: impl Fn(&mut B, Micros, EvenShare, usize) -> bool,
) -> History {
    let (mut now, mut history, mut grants) = (30 * S, History::default(), Grants::none(GATEWAYS));
    let mut budgets: Vec<B> = (0..GATEWAYS).map(|_| new(0)).collect();
    for step in steps {
        match *step {
            Step::Wait(span) => now += span,
            Step::Grant { gateway, gateways, lease } => {
                let part = EvenShare { gateways, valid_until: now + lease };
                if grants.grant(now, gateway, part) {
                    observe(&mut budgets[gateway], now, part);
                }
            }
            Step::Restart(gateway) => budgets[gateway] = new(now),
            Step::First { gateway, requests } => {
                (0..requests).for_each(|_| first(&mut budgets[gateway], now));
                history.first.extend(std::iter::repeat_n(now, requests));
            }
            Step::Use { gateway, times } => {
                let part = grants.0[gateway];
                let taken = (0..times).filter(|_| take(&mut budgets[gateway], now, part, gateway)).count();
                history.used.extend(std::iter::repeat_n(now, taken));
            }
        }
    }
    history
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

    /// The documented bound, for every window that begins with a retry.
    #[test]
    fn retries_of_all_gateways_stay_within_earned_tokens_and_slack(
        steps in prop::collection::vec(step(3 * S), 1..150),
    ) {
        let take = |budget: &mut RetryBudget, now, part, _| budget.try_retry(now, part);
        let history = run(&steps, retry_budget, RetryBudget::observe_share, RetryBudget::record_first_attempt, take);
        for from in &history.used {
            let until = from + RETRY.window;
            let earned = 0.8 * RETRY.ratio * count(&history.first, from - RETRY.window / 4, until);
            let further = count(&history.used, *from, until);
            prop_assert!(further <= earned + 0.7 * RETRY.slack + ROUNDING, "{further} > {earned} + slack");
        }
    }

    #[test]
    fn cold_requests_of_all_gateways_stay_within_the_limit_in_every_second(
        steps in prop::collection::vec(step(S), 1..150),
    ) {
        let take = |budget: &mut ColdBudget, now, part, gateway: usize| {
            budget.try_send(now, part, GatewayId(gateway as u64), "worker")
        };
        let history = run(&steps, cold_budget, ColdBudget::observe_share, |_, _| (), take);
        for from in &history.used {
            prop_assert!(count(&history.used, *from, from + S) <= 10.0);
        }
    }
}

#[test]
fn retries_under_an_even_load_stay_within_the_limit() {
    let part = EvenShare { gateways: GATEWAYS as u32, valid_until: FAR_FUTURE };
    let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| retry_budget(0)).collect();
    let (mut first, mut further) = (Vec::new(), Vec::new());
    for tick in 0..6_000_u64 {
        let now = tick * S / 100;
        for budget in &mut budgets {
            budget.observe_share(now, part);
            budget.record_first_attempt(now);
            first.push(now);
            // Phases without retries alternate with phases that take every available token.
            while tick % 1_500 > 700 && budget.try_retry(now, part) {
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
fn earned_tokens_expire_after_a_quarter_of_the_window() {
    let taken = |later: Micros| {
        let mut budget = retry_budget(0);
        (0..10).for_each(|_| budget.record_first_attempt(60 * S));
        (0..5).filter(|_| budget.try_retry(60 * S + later, EvenShare::NONE)).count()
    };
    assert_eq!((taken(0), taken(2 * S), taken(2 * S + S / 2)), (1, 1, 0));
}

#[test]
fn slack_below_one_token_is_not_used() {
    let taken = |gateways: u32| {
        let part = EvenShare { gateways, valid_until: FAR_FUTURE };
        let mut budget = retry_budget(0);
        budget.observe_share(0, part);
        (0..30).filter(|_| budget.try_retry(60 * S, part)).count()
    };
    assert_eq!((taken(1), taken(4), taken(14), taken(15)), (14, 3, 1, 0));
}

/// Numbers of requests sent by `gateways` gateways that all try at once, then 0.5 s and 1 s later.
fn sent_by(gateways: u64, worker: &str) -> [usize; 3] {
    let list: Vec<GatewayId> = (0..gateways).map(GatewayId).collect();
    let part = EvenShare { gateways: gateways as u32, valid_until: FAR_FUTURE };
    let mut budgets: Vec<ColdBudget> = list.iter().map(|_| cold_budget(0)).collect();
    for budget in &mut budgets {
        budget.observe_share(0, part);
        budget.observe_gateways(0, &list);
    }
    let mut send = |now| {
        let all = list.iter().zip(&mut budgets).flat_map(|(gateway, budget)| {
            (0..3).map(|_| budget.try_send(now, part, *gateway, worker)).collect::<Vec<_>>()
        });
        all.filter(|sent| *sent).count()
    };
    assert_eq!(send(S - 1), 0, "the previous run may have sent within the last second");
    [send(2 * S), send(2 * S + S / 2), send(3 * S)]
}

#[test]
fn scarce_requests_go_to_selected_gateways() {
    assert_eq!(sent_by(5, "worker"), [10, 0, 10], "two each");
    assert_eq!(sent_by(7, "worker"), [7, 0, 7], "one each");
    assert_eq!(sent_by(40, "worker"), [10, 0, 10], "ten selected gateways");
    assert_eq!(sent_by(40, "other"), [10, 0, 10]);
}

#[test]
fn no_gateway_is_selected_by_a_new_or_mismatching_list() {
    let list: Vec<GatewayId> = (0..11).map(GatewayId).collect();
    let part = EvenShare { gateways: 11, valid_until: FAR_FUTURE };
    let sent = |list: &[GatewayId], listed_at: Micros, now: Micros| {
        let workers = (0..50).map(|number| format!("worker-{number}"));
        let mut budget = cold_budget(0);
        budget.observe_share(0, part);
        budget.observe_gateways(listed_at, list);
        workers.filter(|worker| budget.try_send(now, part, GatewayId(3), worker)).count()
    };
    assert!((35..50).contains(&sent(&list, 0, 9 * S)), "ten of eleven gateways are selected");
    assert_eq!(sent(&list, 8 * S + 1, 9 * S), 0);
    assert_eq!(sent(&list[1..], 0, 9 * S), 0);
}
