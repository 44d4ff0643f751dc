//! Greedy baseline that [`crate::plan`] is compared with: loads in order of worth per capacity, each to its first site
//! with room.

use crate::model::{Load, Sites};

/// Total worth served per second by an assignment.
pub fn total_worth(sites: &Sites, served: &[Vec<(usize, f64)>]) -> f64 {
    let of = |(load, parts): (&Load, &Vec<(usize, f64)>)| {
        parts.iter().map(|(_, rate)| rate).sum::<f64>() * load.worth
    };
    sites.loads.iter().zip(served).map(of).sum()
}

/// Assigns loads greedily: for each load, pairs of site and requests per second.
pub fn greedy(sites: &Sites) -> Vec<Vec<(usize, f64)>> {
    let mut free: Vec<f64> = (0..sites.sites.len()).map(|site| sites.usable_fraction(site)).collect();
    let mut order: Vec<usize> = (0..sites.loads.len()).collect();
    let value = |load: &Load| {
        let first = sites.candidates(load).first().map_or(f64::MAX, |(_, share)| *share);
        load.worth / first
    };
    order.sort_by(|a, b| value(&sites.loads[*b]).total_cmp(&value(&sites.loads[*a])));
    let mut served = vec![Vec::new(); sites.loads.len()];
    for load in order {
        let mut left = sites.loads[load].rate;
        for (site, share) in sites.candidates(&sites.loads[load]) {
            let rate = left.min(free[site] / share).max(0.0);
            if rate > 0.0 {
                free[site] -= rate * share;
                left -= rate;
                served[load].push((site, rate));
            }
        }
    }
    served
}
