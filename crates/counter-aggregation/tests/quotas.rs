//! Compares quota enforcement of a simulated fleet with and without aggregated counter calls.

mod common;
use common::{Fleet, Metrics, Scenario, S};

fn run_both(scenario: &Scenario) -> (Metrics, Metrics) {
    (Fleet::play(scenario, false), Fleet::play(scenario, true))
}

#[test]
fn runs_are_deterministic_for_a_seed() {
    let scenario = Scenario { seconds: 4, ..Scenario::of(6) };
    let (first, second) = (Fleet::play(&scenario, true), Fleet::play(&scenario, true));
    assert_eq!((first.sent, first.calls, first.batches), (second.sent, second.calls, second.batches));
}

/// Guards against owners with less accurate totals than direct calls, and against as many counter calls.
#[test]
fn aggregation_refuses_fewer_and_calls_the_counter_less() {
    let scenario = Scenario { seconds: 12, counter_capacity: 40.0, ..Scenario::of(20) };
    let (direct, aggregated) = run_both(&scenario);
    assert!(aggregated.refused_half_unused * 2.0 < direct.refused_half_unused, "{aggregated:?} {direct:?}");
    assert!(aggregated.calls * 2 < direct.calls, "{aggregated:?} {direct:?}");
    assert!(aggregated.over_quota < 0.06 * aggregated.requested, "{aggregated:?}");
}

#[test]
fn quotas_hold_during_counter_and_gateway_outages() {
    let scenario = Scenario { seconds: 15, ..Scenario::of(10) };
    for degraded in [
        Scenario { counter_outage: (4 * S, 12 * S), ..scenario.clone() },
        Scenario { outages: vec![((0..7).collect(), 4 * S, 9 * S)], ..scenario.clone() },
        Scenario {
            counter_outage: (4 * S, 12 * S),
            outages: vec![((0..7).collect(), 5 * S, 9 * S)],
            ..scenario.clone()
        },
    ] {
        let (direct, aggregated) = run_both(&degraded);
        assert!(aggregated.over_quota < 0.1 * aggregated.requested, "{degraded:?}: {aggregated:?}");
        assert!(aggregated.refused_half_unused < 0.12 * aggregated.requested, "{degraded:?}: {aggregated:?}");
        assert!(
            aggregated.refused_half_unused < direct.refused_half_unused,
            "{degraded:?}: {aggregated:?} {direct:?}"
        );
    }
}
