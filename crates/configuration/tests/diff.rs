//! Differences between configurations, and their consistency with merges.

mod common;

use common::document;
use hingestage_configuration::{diff, merge, Configuration, Serial, Share};
use proptest::prelude::*;
use std::time::Duration;

fn configuration() -> Configuration {
    Configuration::parse(document().to_string().as_bytes()).unwrap()
}

#[test]
fn all_kinds_of_changes_are_reported() {
    let old = configuration();
    let mut new = old.clone();
    new.serial = Serial(99);
    new.limits.idle_timeout = Duration::from_micros(1500);
    new.routes[0].split = vec![Share { backend: "blue".into(), weight: 0.5 }];
    new.routes[1].name = "paid\n".into();
    new.backends[1].cold_per_s = 2.0;
    new.tenants[1].api_keys.push("tnfzs989anu6wsjnbanf".into());
    let changes = diff(&old, &new);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "limits: `idle_timeout` changed from \"15000ms\" to \"1.5ms\"",
            "route `shop`: `backend` changed from [{\"backend\":\"blue\",\"weight\":90},\
             {\"backend\":\"green\",\"weight\":10}] to [{\"backend\":\"blue\",\"weight\":0.5}]",
            "route `pay`: removed",
            "route `paid\\n`: added",
            "backend `green`: `cold_per_s` changed from 0 to 2",
            "tenant `two`: `api_keys` changed from [\"…\"] to [\"…\",\"tnfz…\"]",
        ]
    );
    let json = serde_json::to_value(&changes).unwrap();
    assert_eq!(json[2], serde_json::json!({"entry": "route", "name": "pay", "change": "removed"}));
    assert_eq!(
        json[4],
        serde_json::json!({"entry": "backend", "name": "green", "change": "changed",
                           "field": "cold_per_s", "old": 0, "new": 2})
    );
}

/// Configurations with few edits, which often affect the same field.
fn changed() -> impl Strategy<Value = Configuration> {
    let edits = prop::collection::vec((0..8_u32, 0..3_u32), 0..4);
    edits.prop_map(|edits| edits.into_iter().fold(configuration(), edit))
}

fn edit(mut configuration: Configuration, (target, value): (u32, u32)) -> Configuration {
    let number = f64::from(value);
    match target {
        0 => configuration.routes.truncate(value as usize),
        1 => configuration.tenants.truncate(value as usize),
        2 => configuration.routes.iter_mut().for_each(|route| route.prio = value),
        3 => configuration.routes.iter_mut().for_each(|route| route.split.truncate(value as usize + 1)),
        4 => configuration.tenants.iter_mut().for_each(|tenant| tenant.burst = number),
        5 => configuration.backends[0].cold_per_s = number,
        6 => configuration.limits.max_body_bytes = u64::from(value),
        _ => configuration.serial = Serial(u64::from(value)),
    }
    configuration
}

proptest! {
    #[test]
    fn configuration_has_no_differences_from_itself(configuration in changed()) {
        prop_assert_eq!(diff(&configuration, &configuration), vec![]);
    }

    #[test]
    fn merge_with_an_unchanged_side_gives_the_other_side(base in changed(), side in changed()) {
        for merged in [merge(&base, &side, &base), merge(&base, &base, &side), merge(&base, &side, &side)] {
            let merged = merged.expect("at most one side differs from the other");
            prop_assert_eq!(diff(&side, &merged), vec![]);
            prop_assert!(merged.serial > side.serial);
        }
    }

    #[test]
    fn merge_is_symmetric(base in changed(), ours in changed(), theirs in changed()) {
        match (merge(&base, &ours, &theirs), merge(&base, &theirs, &ours)) {
            (Ok(one), Ok(other)) => {
                prop_assert_eq!(diff(&one, &other), vec![]);
                prop_assert_eq!(one.check(), Ok(()));
                prop_assert_eq!(one.serial, ours.serial.max(theirs.serial).next().unwrap());
            }
            (Err(one), Err(other)) => prop_assert_eq!(one.len(), other.len()),
            (one, other) => prop_assert!(false, "{:?} but {:?}", one, other),
        }
    }

    #[test]
    fn merge_preserves_every_change(base in changed(), ours in changed(), theirs in changed()) {
        if let Ok(merged) = merge(&base, &ours, &theirs) {
            let of_merged = diff(&base, &merged);
            for change in diff(&base, &ours).into_iter().chain(diff(&base, &theirs)) {
                prop_assert!(of_merged.contains(&change), "{} is lost", change);
            }
        }
    }
}
