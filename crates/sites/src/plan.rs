//! Failover plan by a linear program: maximizes the worth served; among equal solutions load stays at its site or goes
//! to the first of its alternatives.

use crate::model::Sites;
use good_lp::{constraint, microlp, variables, Expression, Solution, SolverModel, Variable};
use std::collections::BTreeMap;

/// Cost of each further alternative, as a fraction of a request's worth; less than any difference in worth.
const DISTANCE_COST: f64 = 1e-4;
/// Slices per load. Each is worth less than the one before, so that of loads with equal worth none is refused entirely
/// while another is served entirely.
const SLICES: usize = 10;
/// Decrease in worth from slice to slice, as a fraction.
const SLICE_DISCOUNT: f64 = 1e-3;
/// Shares below this are rounding errors.
const EPSILON: f64 = 1e-6;
/// Bisection steps in the search for a load's refusal threshold.
const BISECTION_STEPS: usize = 24;
/// Highest load factor that is searched.
const MAX_LOAD_FACTOR: f64 = 16.0;

/// Placement of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Index of the load.
    pub load: usize,
    /// Shares of the load, by site.
    pub shares: Vec<(usize, f64)>,
    /// The share that is refused.
    pub refused: f64,
}

/// The load factor from which on a load is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Index of the load.
    pub load: usize,
    /// Factor on the configured load from which on some of it is refused; `None` if above the highest that is searched.
    pub threshold: Option<f64>,
}

/// Placement of all loads.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Placement of each load.
    pub placements: Vec<Placement>,
    /// Worth per second that is served.
    pub served_worth: f64,
    /// Worth per second that is requested.
    pub requested_worth: f64,
    /// Used fraction of each site.
    pub used: Vec<f64>,
    /// Worth per second that one more worker at each site would add; 0 if the site is not full.
    pub marginal_worth: Vec<f64>,
}

/// Computes the plan.
///
/// # Errors
/// The linear program has no solution, because an input is not a finite number.
pub fn plan(sites: &Sites) -> Result<Plan, String> {
    let (placements, served_worth) = solve(sites)?;
    let mut used = vec![0.0; sites.sites.len()];
    for placement in &placements {
        let load = &sites.loads[placement.load];
        for (site, share) in sites.candidates(load) {
            let served = placement.shares.iter().find(|(at, _)| *at == site).map_or(0.0, |(_, of)| *of);
            used[site] += served * load.rate * share;
        }
    }
    let mut marginal_worth = vec![0.0; sites.sites.len()];
    for (index, site) in sites.sites.iter().enumerate() {
        if site.workers > 0 && used[index] > sites.usable_fraction(index) - EPSILON.sqrt() {
            let mut larger = sites.clone();
            let factor = (site.workers + 1) as f64 / site.workers as f64;
            larger.sites[index].capacity.values_mut().for_each(|capacity| *capacity *= factor);
            marginal_worth[index] = (solve(&larger)?.1 - served_worth).max(0.0);
        }
    }
    let requested_worth = sites.loads.iter().map(|load| load.rate * load.worth).sum();
    Ok(Plan { placements, served_worth, requested_worth, used, marginal_worth })
}

/// Placements, and the worth served per second.
fn solve(sites: &Sites) -> Result<(Vec<Placement>, f64), String> {
    let mut variables = variables!();
    let mut flows: Vec<Vec<(usize, f64, Variable)>> = Vec::new();
    for load in &sites.loads {
        let places = sites.candidates(load);
        let flow = places
            .into_iter()
            .map(|(site, share)| (site, share, variables.add(good_lp::variable().min(0.0))));
        flows.push(flow.collect());
    }
    let mut objective = Expression::from(0.0);
    let mut slices: Vec<Vec<Variable>> = Vec::new();
    for load in &sites.loads {
        let slice = load.rate / SLICES as f64;
        let all: Vec<Variable> =
            (0..SLICES).map(|_| variables.add(good_lp::variable().min(0.0).max(slice))).collect();
        for (n, served) in all.iter().enumerate() {
            objective += load.worth.max(EPSILON) * (1.0 - SLICE_DISCOUNT * n as f64) * *served;
        }
        slices.push(all);
    }
    for (load, flow) in sites.loads.iter().zip(&flows) {
        for (rank, (_, _, rate)) in flow.iter().enumerate() {
            objective += -load.worth.max(EPSILON) * DISTANCE_COST * rank as f64 * *rate;
        }
    }
    let mut model = variables.maximise(objective).using(microlp);
    for (flow, slices) in flows.iter().zip(&slices) {
        let all: Expression = flow.iter().map(|(_, _, rate)| Expression::from(*rate)).sum();
        let served: Expression = slices.iter().map(|slice| Expression::from(*slice)).sum();
        model = model.with(constraint!(all == served));
    }
    for site in 0..sites.sites.len() {
        let here = flows.iter().flatten().filter(|(at, ..)| *at == site);
        let all: Expression = here.map(|(_, share, rate)| *share * *rate).sum();
        model = model.with(constraint!(all <= sites.usable_fraction(site)));
    }
    let solution = model.solve().map_err(|e| e.to_string())?;
    let mut worth = 0.0;
    let mut placements = Vec::new();
    for (index, (load, flow)) in sites.loads.iter().zip(&flows).enumerate() {
        let rate = load.rate.max(f64::MIN_POSITIVE);
        let shares =
            flow.iter().map(|(site, _, flow)| (*site, (solution.value(*flow) / rate).clamp(0.0, 1.0)));
        let shares: Vec<(usize, f64)> = shares.filter(|(_, share)| *share > EPSILON).collect();
        let served: f64 = shares.iter().map(|(_, share)| share).sum();
        worth += served * load.rate * load.worth;
        let refused = if served > 1.0 - EPSILON || load.rate == 0.0 { 0.0 } else { 1.0 - served };
        placements.push(Placement { load: index, shares, refused });
    }
    Ok((placements, worth))
}

impl Plan {
    /// The refusal threshold of each load, lowest first.
    ///
    /// # Errors
    /// As [`plan`].
    pub fn refusals(sites: &Sites) -> Result<Vec<Refusal>, String> {
        // One solution covers all loads, and their searches begin alike.
        let mut refused_by_factor: BTreeMap<u64, Vec<bool>> = BTreeMap::new();
        let mut refused = |factor: f64, load: usize| -> Result<bool, String> {
            if let Some(known) = refused_by_factor.get(&factor.to_bits()) {
                return Ok(known[load]);
            }
            let (placements, _) = solve(&sites.without(&[], factor))?;
            let all: Vec<bool> =
                placements.iter().map(|placement| placement.refused > EPSILON.sqrt()).collect();
            let found = all[load];
            refused_by_factor.insert(factor.to_bits(), all);
            Ok(found)
        };
        let mut refusals = Vec::new();
        for load in 0..sites.loads.len() {
            let refused_at_all = refused(MAX_LOAD_FACTOR, load)?;
            let (mut low, mut high) = (0.0, MAX_LOAD_FACTOR);
            for _ in 0..BISECTION_STEPS * usize::from(refused_at_all) {
                let mid = (low + high) / 2.0;
                match refused(mid, load)? {
                    true => high = mid,
                    false => low = mid,
                }
            }
            refusals.push(Refusal { load, threshold: refused_at_all.then_some(high) });
        }
        refusals.sort_by(|a, b| a.threshold.unwrap_or(f64::MAX).total_cmp(&b.threshold.unwrap_or(f64::MAX)));
        Ok(refusals)
    }
}
