//! One page with plots: time lines with the faults marked, service by gateway, fairness over accounts.

use crate::judge::Verdict;
use crate::script::Script;
use crate::sums::{Share, BUCKET};
use hingestage_plot::{draw, escape, Line, BLACK, BLUE, GREEN, RED};

/// The page of a run.
///
/// # Errors
/// A plot can't be drawn; the message says why.
pub fn page(script: &Script, seed: u64, verdict: &Verdict) -> Result<String, String> {
    let buckets = &verdict.sums.buckets;
    let a_second = 1.0 / BUCKET.as_secs_f64();
    let over_time = |value: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        (0..buckets.len()).map(|n| (n as f64 * BUCKET.as_secs_f64(), value(n))).collect()
    };
    let service = vec![
        ("asked", BLACK, over_time(&|n| buckets[n].asked as f64 * a_second)),
        ("served", GREEN, over_time(&|n| buckets[n].served as f64 * a_second)),
        ("refused", BLUE, over_time(&|n| buckets[n].refused as f64 * a_second)),
        ("failed", RED, over_time(&|n| buckets[n].failed as f64 * a_second)),
    ];
    let counter = vec![
        ("calls", BLACK, over_time(&|n| buckets[n].calls as f64 * a_second)),
        ("connections", BLUE, over_time(&|n| buckets[n].connections as f64)),
    ];
    let mut plots = vec![
        plot(script, verdict, "requests a second, by when they were asked", &service)?,
        plot(script, verdict, "calls to the counter a second, and most connections of a worker", &counter)?,
    ];
    if let Some((account, units)) = busiest(verdict) {
        let plan = script.accounts().find(|(n, _)| *n == account).and_then(|(_, g)| script.plans.get(g.plan));
        let rate = plan.map_or(0.0, |plan| plan.rate);
        let lines =
            vec![("units", BLACK, over_time(&|n| units[n] * a_second)), ("quota", RED, over_time(&|_| rate))];
        plots.push(plot(script, verdict, &format!("units a second of account {account}"), &lines)?);
    }
    plots.push(shares("served share inside quotas, by gateway", verdict.sums.gateways.values())?);
    plots.push(shares("served share inside quotas, by account", verdict.sums.accounts.values())?);
    let name = escape(&script.name);
    let rows: String = verdict
        .holds
        .iter()
        .map(|(what, value, kept)| {
            format!(
                "<tr><td>{}</td><td>{value:.3}</td><td>{}</td></tr>\n",
                escape(what),
                if *kept { "holds" } else { "does not hold" }
            )
        })
        .collect();
    let faults: String = verdict
        .faults
        .iter()
        .map(|(at, what)| format!("<li>{:.2} s: <code>{}</code></li>\n", at.as_secs_f64(), escape(what)))
        .collect();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\n<h1>{name}, seed {seed}</h1>\n\
         <p>{}</p>\n<table>{rows}</table>\n{}\n<h2>What went wrong</h2>\n<ul>{faults}</ul></html>\n",
        escape(&summary(verdict)),
        plots.join("\n")
    ))
}

/// The verdict in a line.
pub fn summary(verdict: &Verdict) -> String {
    match (&verdict.void, &verdict.broken) {
        (Some(why), _) => format!("void: {why}"),
        (_, Some(broken)) => {
            format!("broken: {} at {:.3} s: {}", broken.rule, broken.at as f64 / 1e9, broken.what)
        }
        _ if verdict.holds() => "all holds".into(),
        _ => "a sum does not hold".into(),
    }
}

/// The account with the most units sent.
fn busiest(verdict: &Verdict) -> Option<(u64, &Vec<f64>)> {
    let sum = |units: &Vec<f64>| units.iter().sum::<f64>();
    let most = verdict.sums.units.iter().max_by(|a, b| sum(a.1).total_cmp(&sum(b.1)));
    most.map(|(account, units)| (*account, units))
}

fn plot(script: &Script, verdict: &Verdict, title: &str, lines: &[Line]) -> Result<String, String> {
    let marks: Vec<f64> = verdict.faults.iter().map(|(at, _)| at.as_secs_f64()).collect();
    draw(title, script.lasts.as_secs_f64(), &marks, lines)
}

/// Shares in ascending order, so that a flat line is a fair one.
fn shares<'a>(title: &str, shares: impl Iterator<Item = &'a Share>) -> Result<String, String> {
    let mut values: Vec<f64> =
        shares.map(|(served, asked)| *served as f64 / (*asked).max(1) as f64).collect();
    values.sort_by(f64::total_cmp);
    let points = values.iter().enumerate().map(|(n, value)| (n as f64, *value)).collect();
    draw(title, values.len().max(2) as f64 - 1.0, &[], &[("share", BLACK, points)])
}
