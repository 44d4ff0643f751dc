//! Quota accuracy and counter load of simulated fleets with and without aggregated counter calls, as a table.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Fleet, Metrics, Scenario, S};

fn print(what: &str, scenario: &Scenario) {
    let (mut direct, mut aggregated) = (Metrics::default(), Metrics::default());
    for seed in 1..=3 {
        let scenario = Scenario { seed, ..scenario.clone() };
        for (metrics, aggregate) in [(&mut direct, false), (&mut aggregated, true)] {
            let run = Fleet::play(&scenario, aggregate);
            metrics.requested += run.requested;
            metrics.sent += run.sent;
            metrics.over_quota += run.over_quota;
            metrics.wrongly_refused += run.wrongly_refused;
            metrics.refused_half_unused += run.refused_half_unused;
            metrics.calls += run.calls;
            metrics.batches += run.batches;
        }
    }
    let row = |name: &str, metrics: &Metrics| {
        let part = |units: f64| units / metrics.requested;
        let seconds = (scenario.seconds * 3) as f64;
        println!(
            "| {what}, {name} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} |",
            part(metrics.sent - metrics.over_quota),
            part(metrics.over_quota),
            part(metrics.wrongly_refused),
            part(metrics.refused_half_unused),
            metrics.calls as f64 / seconds,
            metrics.batches as f64 / seconds
        );
    };
    row("alone", &direct);
    row("turns", &aggregated);
}

fn main() {
    println!("| fleet | within | beyond | refused with room | with half unused | calls/s | batches/s |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    for gateways in [5, 20, 60] {
        print(&format!("{gateways} gateways"), &Scenario::of(gateways));
    }
    let scenario = Scenario::of(20);
    print(
        "20, seven in ten killed",
        &Scenario { outages: vec![((0..14).collect(), 5 * S, 15 * S)], ..scenario.clone() },
    );
    print("20, the counter silent", &Scenario { counter_outage: (5 * S, 15 * S), ..scenario.clone() });
    print("20, a sixth of the counter capacity", &Scenario { counter_capacity: 40.0, ..scenario });
}
