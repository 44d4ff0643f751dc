//! Properties of failover plans: they respect capacities and are worth no less than the greedy baseline.

use hingestage_sites::{greedy, parse, plan, total_worth, Plan, Sites};
use proptest::prelude::*;

fn example() -> Sites {
    parse(include_str!("../../../deploy/sites.example.lisp")).unwrap()
}

fn refused(sites: &Sites, plan: &Plan, what: &str, class: &str) -> f64 {
    let of = plan.placements.iter().filter(|placement| {
        let load = &sites.loads[placement.load];
        load.plan == what && load.class == class
    });
    of.map(|placement| placement.refused * sites.loads[placement.load].rate).sum()
}

#[test]
fn without_losses_all_load_is_served_locally() {
    let sites = example();
    let plan = plan(&sites).unwrap();
    assert!((plan.served_worth - plan.requested_worth).abs() < 1e-6);
    for placement in &plan.placements {
        let home = sites.sites.iter().position(|site| site.name == sites.loads[placement.load].site).unwrap();
        assert_eq!(placement.shares.len(), 1);
        assert_eq!((placement.shares[0].0, placement.refused), (home, 0.0));
    }
    assert!(plan.marginal_worth.iter().all(|more| *more == 0.0));
}

#[test]
fn site_loss_refuses_lowest_worth_and_reports_bottlenecks() {
    let sites = example().without(&["a".into()], 1.0);
    let plan = plan(&sites).unwrap();
    assert!(refused(&sites, &plan, "base", "pull") > 50.0);
    assert_eq!(refused(&sites, &plan, "ente", "pull") + refused(&sites, &plan, "ente", "push"), 0.0);
    assert_eq!(plan.used[0], 0.0);
    assert!(plan.used[1] > 0.899 && plan.used[2] > 0.899, "{:?}", plan.used);
    assert!(plan.marginal_worth[1] > 10.0 && plan.marginal_worth[0] == 0.0, "{:?}", plan.marginal_worth);
}

#[test]
fn loads_of_equal_worth_share_the_refusals() {
    let sites = example().without(&["a".into()], 1.2);
    let plan = plan(&sites).unwrap();
    let base = plan.placements.iter().filter(|placement| sites.loads[placement.load].plan == "base");
    let refused: Vec<f64> = base.map(|placement| placement.refused).collect();
    assert!(refused.iter().all(|share| (0.5..0.8).contains(share)), "{refused:?}");
}

#[test]
fn pinned_classes_are_refused_rather_than_moved() {
    let mut sites = example().without(&["a".into()], 0.1);
    sites.pinned_classes.insert("push".into());
    let plan = plan(&sites).unwrap();
    let push = plan.placements.iter().find(|placement| {
        let load = &sites.loads[placement.load];
        load.site == "a" && load.class == "push"
    });
    assert_eq!(push.unwrap().refused, 1.0);
    assert!(plan
        .placements
        .iter()
        .filter(|placement| sites.loads[placement.load].class == "pull")
        .all(|placement| placement.refused == 0.0));
}

#[test]
fn lowest_worth_is_refused_first_as_load_grows() {
    let refusals = Plan::refusals(&example().without(&["b".into()], 1.0)).unwrap();
    let sites = example();
    let first = &sites.loads[refusals[0].load];
    assert_eq!(first.plan, "base");
    assert!(refusals[0].threshold.unwrap() < 1.0, "{refusals:?}");
    let worth: Vec<f64> = refusals.iter().map(|refusal| sites.loads[refusal.load].worth).collect();
    assert!(worth.iter().take(3).all(|worth| *worth == 0.5), "{worth:?}");
}

fn instance() -> impl Strategy<Value = Sites> {
    let site = (proptest::collection::vec(0.0..500.0f64, 3), 0.0..0.5f64, any::<u8>());
    let load = (any::<u8>(), any::<u8>(), 0.0..400.0f64, 0.0..5.0f64);
    let sites = proptest::collection::vec(site, 1..6);
    (sites, proptest::collection::vec(load, 0..25)).prop_map(|(given, loads)| {
        let mut sites = Sites::default();
        let count = given.len();
        for (n, (capacity, reserve, turn)) in given.into_iter().enumerate() {
            let others = (1..count).map(|by| format!("s{}", (n + by) % count));
            let mut to: Vec<String> = others.collect();
            to.rotate_left(usize::from(turn) % count.max(2).saturating_sub(1).max(1));
            to.truncate(usize::from(turn) % count.max(1) + 1);
            let capacity =
                (0..3).map(|class| format!("c{class}")).zip(capacity).filter(|(_, rate)| *rate > 20.0);
            sites.sites.push(hingestage_sites::Site {
                name: format!("s{n}"),
                workers: 3,
                capacity: capacity.collect(),
                reserve,
                fallbacks: to,
                ..Default::default()
            });
        }
        for (n, (site, class, rate, worth)) in loads.into_iter().enumerate() {
            let (site, class) = (format!("s{}", usize::from(site) % count), format!("c{}", class % 3));
            sites.loads.push(hingestage_sites::Load { site, plan: format!("p{n}"), class, rate, worth });
        }
        sites
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn plan_respects_capacity_and_beats_the_greedy_baseline(sites in instance()) {
        let made = plan(&sites).unwrap();
        for (place, used) in made.used.iter().enumerate() {
            prop_assert!(*used <= sites.usable_fraction(place) + 1e-6, "{place}: {used}");
        }
        for placement in &made.placements {
            let places: Vec<usize> = sites.candidates(&sites.loads[placement.load]).iter().map(|(place, _)| *place).collect();
            prop_assert!(placement.shares.iter().all(|(place, _)| places.contains(place)));
            let all: f64 = placement.shares.iter().map(|(_, share)| share).sum::<f64>() + placement.refused;
            prop_assert!((all - 1.0).abs() < 1e-3 || sites.loads[placement.load].rate < 1e-3, "{all}");
        }
        let fixed = total_worth(&sites, &greedy(&sites));
        prop_assert!(made.served_worth >= fixed * (1.0 - 1e-2) - 1e-6, "{} of {fixed}", made.served_worth);
    }

    /// Guards against plans that gain from a loss of capacity.
    #[test]
    fn losing_a_site_never_raises_the_worth(sites in instance()) {
        let all = plan(&sites).unwrap().served_worth;
        let lost = plan(&sites.without(&["s0".into()], 1.0)).unwrap().served_worth;
        prop_assert!(lost <= all * (1.0 + 1e-2) + 1e-6);
    }
}
