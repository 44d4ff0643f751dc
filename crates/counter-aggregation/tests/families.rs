//! Random fleets of 5 to 300 gatekeepers in several failure scenarios. Checks after each send that ceilings and cold
//! workers hold fleet-wide, and at the end that quotas are served nearly as by the delayed reference policy.

mod common;
use common::{Fleet, Metrics, Scenario, MS, S};
use fastrand::Rng;

/// Default number of seeds; `HINGESTAGE_FLEETS=FROM..TO` runs others.
const DEFAULT_SEEDS: u64 = 24;
const FAMILIES: [&str; 6] =
    ["calm", "rolling restart", "mass restart", "zone outage", "partition", "scale-up"];

/// Draws the scenario of a seed: its family, its parameters and whether counter calls are aggregated.
fn scenario(seed: u64) -> (&'static str, Scenario, bool) {
    let mut rng = Rng::with_seed(seed ^ 0x66616d);
    let family = FAMILIES[(seed % 6) as usize];
    let n = match rng.u32(..8) {
        0 => 65 + rng.u32(..236),
        1 | 2 => 20 + rng.u32(..45),
        _ => 5 + rng.u32(..20),
    };
    let defaults = Scenario::of(n);
    let mut scenario = Scenario {
        seed,
        seconds: 16,
        workers: 4 + rng.u64(..20),
        accounts: 10 + rng.usize(..40),
        demand: 0.4 + rng.f64(),
        counter_capacity: defaults.counter_capacity * (1.0 + 9.0 * rng.f64()),
        views: rng.u32(..3) > 0,
        ceilings: true,
        ..defaults
    };
    let all: Vec<u32> = (0..n).collect();
    let part = |of: &dyn Fn(u32) -> bool| all.iter().copied().filter(|g| of(*g)).collect::<Vec<u32>>();
    let at = 4 * S + rng.u64(..S);
    match family {
        "rolling restart" => {
            for group in 0..10 {
                let from = at + u64::from(group) * 700 * MS;
                scenario.outages.push((part(&|g| g % 10 == group), from, from + 500 * MS));
            }
            scenario.restarts = (1..=scenario.workers / 2).map(|w| (w, at + w * 300 * MS)).collect();
        }
        "mass restart" => {
            let back = at + 2 * S + rng.u64(..6 * S);
            scenario.outages.push((part(&|g| g % 10 < 7), at, back));
            scenario.restarts = vec![(1, at + S), (2, back)];
        }
        "zone outage" => {
            scenario.outages.push((part(&|g| g % 3 == 1), at, at + 5 * S));
            scenario.restarts = (1..=scenario.workers.div_ceil(3)).map(|w| (w, at + 5 * S)).collect();
        }
        "partition" => {
            scenario.counter_partition = (part(&|g| g % 2 == 1), at, at + 6 * S);
            scenario.counter_outage = (at + 2 * S, at + 4 * S);
            scenario.restarts = vec![(1, at + S)];
        }
        "scale-up" => {
            scenario.outages.push((part(&|g| g % 4 != 0), 0, at));
            scenario.restarts = (1..=scenario.workers * 6 / 10).map(|w| (w, at + w * 400 * MS)).collect();
        }
        _ => {}
    }
    let turns = n <= 64 && rng.bool();
    (family, scenario, turns)
}

/// The seeds to run.
fn seeds() -> std::ops::Range<u64> {
    let requested = std::env::var("HINGESTAGE_FLEETS").unwrap_or_default();
    let (from, to) = requested.split_once("..").unwrap_or_default();
    from.parse().ok().zip(to.parse().ok()).map_or(0..DEFAULT_SEEDS, |(from, to)| from..to)
}

#[test]
fn ceilings_and_cold_workers_hold_fleet_wide_and_quotas_are_served() {
    let (mut sent, mut late) = (0.0, 0.0);
    for seed in seeds() {
        let (family, scenario, turns) = scenario(seed);
        let what = format!(
            "seed {seed}: {family}, {} gateways, {} workers, views {}, turns {turns}",
            scenario.gateways, scenario.workers, scenario.views
        );
        let metrics: Metrics = Fleet::play(&scenario, turns);
        assert!(metrics.ceiling_overdraft <= 4.0, "{what}: {} below a ceiling", metrics.ceiling_overdraft);
        assert!(
            metrics.cold_overload <= 1.0,
            "{what}: a cold worker got {} of the load that overloads it",
            metrics.cold_overload
        );
        assert!(metrics.sent > 0.0, "{what}: nothing was sent");
        (sent, late) = (sent + metrics.sent - metrics.over_quota, late + metrics.delayed_reference.0);
        if std::env::var_os("HINGESTAGE_FLEETS").is_some() {
            println!(
                "{what}: within {:.3} of late {:.3}, beyond {:.3} of {:.3}, below {:.2}, cold {:.2}",
                (metrics.sent - metrics.over_quota) / metrics.requested,
                metrics.delayed_reference.0 / metrics.requested,
                metrics.over_quota / metrics.requested,
                metrics.delayed_reference.1 / metrics.requested,
                metrics.ceiling_overdraft,
                metrics.cold_overload
            );
        }
    }
    assert!(sent >= 0.8 * late, "{} of what the delayed reference policy serves", sent / late);
}

/// Guards the checks above: lease holders that use their own views break a ceiling.
#[test]
fn lease_holders_using_their_own_views_break_a_ceiling() {
    let calm = (0..DEFAULT_SEEDS).map(|n| scenario(6 * n)).filter(|(_, scenario, _)| scenario.gateways <= 24);
    let breaks = |(_, scenario, turns): (&str, Scenario, bool)| {
        Fleet::play(&Scenario { views: true, fault_own_views: true, ..scenario }, turns).ceiling_overdraft
            > 4.0
    };
    assert!(calm.take(4).any(breaks), "the injected fault was not detected");
}
