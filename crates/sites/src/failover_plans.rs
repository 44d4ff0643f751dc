//! Failover plans of a gateway, precomputed for every single loss and every pair of losses.

use crate::model::{Load, Sites};
use crate::plan::plan;
use hingestage_failover::{Shares, Tier};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of sites a gateway plans for: 55 plans of a few ms each.
const MAX_SITES: usize = 10;

/// Failover plans for the gateways of one site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlans {
    /// Site names and zones, in the order of the file.
    pub sites: Vec<(String, Vec<String>)>,
    /// Load shares of the gateways' own site, by the set of lost sites.
    pub shares: BTreeMap<BTreeSet<usize>, Shares>,
    /// Fraction of all work that can't be served, by the set of lost sites.
    pub refused: BTreeMap<BTreeSet<usize>, f64>,
    /// Configured requests per second of one gateway, by plan and class: all gateways get an equal part.
    pub rates: BTreeMap<(usize, usize), f64>,
    /// Shedding tiers: plans and classes with their worth per unit of work.
    pub tiers: Vec<Tier>,
}

/// The gateway that plans are made for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayIdentity {
    /// Its number.
    pub number: u32,
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Its zone.
    pub zone: String,
}

impl FailoverPlans {
    /// Makes all plans for a gateway, with the plan and class names of the settings.
    ///
    /// # Errors
    /// A plan or class that the settings do not name, too many sites, or a linear program without a solution.
    pub fn new(
        file: &Sites,
        gateway: &GatewayIdentity,
        plans: &[String],
        classes: &[String],
    ) -> Result<FailoverPlans, String> {
        if file.sites.len() > MAX_SITES {
            let n = file.sites.len();
            return Err(format!("field `sites.site`: {n} are too many for a gateway, {MAX_SITES} at most"));
        }
        let key_of = |load: &Load| -> Result<(usize, usize), String> {
            let place = |kind: &str, names: &[String], name: &str| {
                let found = names.iter().position(|known| known == name);
                found.ok_or_else(|| format!("field `sites.load`: the settings name no {kind} `{name}`"))
            };
            Ok((place("plan", plans, &load.plan)?, place("class", classes, &load.class)?))
        };
        let keys = file.loads.iter().map(key_of).collect::<Result<Vec<_>, _>>()?;
        let mut failover = FailoverPlans {
            sites: file.sites.iter().map(|site| (site.name.clone(), site.zones.clone())).collect(),
            tiers: tiers(file, &keys),
            ..FailoverPlans::default()
        };
        let own = file.home(gateway.number, &gateway.zone).map(|home| &file.sites[home]);
        for (load, key) in file.loads.iter().zip(&keys) {
            *failover.rates.entry(*key).or_default() += load.rate / f64::from(gateway.gateways.max(1));
        }
        for lost in losses(file.sites.len()) {
            let names: Vec<String> = lost.iter().map(|site| file.sites[*site].name.clone()).collect();
            let left = file.without(&names, 1.0);
            let made = plan(&left)?;
            let mut shares = Shares::new();
            let (mut asked, mut refused) = (0.0, 0.0);
            for (placement, key) in made.placements.iter().zip(&keys) {
                let load = &file.loads[placement.load];
                let work = load.rate * work(file, load);
                (asked, refused) = (asked + work, refused + work * placement.refused);
                if own.is_some_and(|own| own.name == load.site) {
                    let all = shares.entry(*key).or_insert_with(|| vec![0.0; file.sites.len()]);
                    placement.shares.iter().for_each(|(place, share)| all[*place] += share);
                }
            }
            failover.shares.insert(lost.clone(), shares);
            failover.refused.insert(lost, if asked > 0.0 { refused / asked } else { 0.0 });
        }
        Ok(failover)
    }
}

/// The empty set, every single site and every pair.
fn losses(sites: usize) -> Vec<BTreeSet<usize>> {
    let single = (0..sites).map(|site| BTreeSet::from([site]));
    let pairs = (0..sites).flat_map(|one| (one + 1..sites).map(move |two| BTreeSet::from([one, two])));
    let some_left = |lost: &BTreeSet<usize>| lost.len() < sites;
    std::iter::once(BTreeSet::new()).chain(single).chain(pairs).filter(some_left).collect()
}

/// The work of a request: the fraction of a site that one request per second takes, averaged over sites that serve it.
fn work(file: &Sites, load: &Load) -> f64 {
    let places: Vec<f64> =
        file.sites.iter().filter_map(|site| site.capacity.get(&load.class)).copied().collect();
    places.iter().map(|capacity| 1.0 / capacity).sum::<f64>() / places.len().max(1) as f64
}

fn tiers(file: &Sites, keys: &[(usize, usize)]) -> Vec<Tier> {
    // Sums of worth, work and rate per plan and class.
    let mut sums: BTreeMap<(usize, usize), (f64, f64, f64)> = BTreeMap::new();
    for (load, key) in file.loads.iter().zip(keys) {
        let rate = load.rate.max(f64::MIN_POSITIVE);
        let sum = sums.entry(*key).or_default();
        *sum = (sum.0 + rate * load.worth, sum.1 + rate * work(file, load), sum.2 + rate);
    }
    let tier = |(of, (worth, work, rate)): ((usize, usize), (f64, f64, f64))| Tier {
        key: of,
        worth: worth / work.max(f64::MIN_POSITIVE),
        work: work / rate,
    };
    sums.into_iter().map(tier).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::parse;

    fn example() -> Sites {
        parse(include_str!("../../../deploy/sites.example.lisp")).unwrap()
    }

    fn who(zone: &str) -> GatewayIdentity {
        GatewayIdentity { number: 0, gateways: 4, zone: zone.into() }
    }

    fn names(list: &[&str]) -> Vec<String> {
        list.iter().map(|name| (*name).to_owned()).collect()
    }

    #[test]
    fn every_single_and_double_loss_has_a_plan() {
        let failover =
            FailoverPlans::new(&example(), &who("b"), &names(&["base", "ente"]), &names(&["pull", "push"]))
                .unwrap();
        assert_eq!(failover.shares.len(), 7, "the empty set, three sites and three pairs");
        let none = &failover.shares[&BTreeSet::new()];
        assert!(none.values().all(|shares| shares[1] > 0.99), "nothing lost, nothing leaves: {none:?}");
        assert!(failover.refused[&BTreeSet::new()] < 1e-6);
        let without_b = &failover.shares[&BTreeSet::from([1])];
        assert!(without_b.values().all(|shares| shares[1] == 0.0));
        assert!(without_b[&(1, 1)].iter().sum::<f64>() > 0.99, "no push of ente is refused");
        let pair = failover.refused[&BTreeSet::from([0, 1])];
        assert!(pair > failover.refused[&BTreeSet::from([1])] && pair < 1.0);
    }

    #[test]
    fn lowest_worth_per_work_is_the_lowest_tier() {
        let failover =
            FailoverPlans::new(&example(), &who("a"), &names(&["base", "ente"]), &names(&["pull", "push"]))
                .unwrap();
        let mut tiers = failover.tiers.clone();
        tiers.sort_by(|a, b| a.worth.total_cmp(&b.worth));
        let order: Vec<(usize, usize)> = tiers.iter().map(|tier| tier.key).collect();
        assert_eq!(order[0], (0, 0), "pulls of base first: {tiers:?}");
    }

    #[test]
    fn unknown_plans_and_classes_are_rejected() {
        let of = |plans: &[&str], classes: &[&str]| {
            FailoverPlans::new(&example(), &who("a"), &names(plans), &names(classes)).unwrap_err()
        };
        assert!(of(&["base"], &["pull", "push"]).contains("no plan `ente`"));
        assert!(of(&["base", "ente"], &["pull"]).contains("no class `push`"));
    }

    #[test]
    fn gateway_without_a_site_has_no_shares() {
        let failover =
            FailoverPlans::new(&example(), &who("z"), &names(&["base", "ente"]), &names(&["pull", "push"]))
                .unwrap();
        assert!(failover.shares.values().all(BTreeMap::is_empty));
        assert_eq!(failover.tiers.len(), 3);
        assert_eq!(failover.rates[&(0, 0)], 100.0, "a quarter of all pulls of base");
    }

    #[test]
    fn scaled_load_refuses_more() {
        let (plans, classes) = (names(&["base", "ente"]), names(&["pull", "push"]));
        let lost = BTreeSet::from([1]);
        let of = |file: &Sites| FailoverPlans::new(file, &who("a"), &plans, &classes).unwrap().refused[&lost];
        let doubled = example().scaled(&[(("base".into(), "pull".into()), 2.0)].into());
        assert!(of(&doubled) > of(&example()) + 0.1);
    }
}
