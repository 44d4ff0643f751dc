//! Parsing of valid documents, and round trips through JSON.

mod common;

use common::document;
use hingestage_configuration::{Configuration, Kind, Limits, Serial};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::time::Duration;

fn parse(document: &Value) -> Configuration {
    Configuration::parse(document.to_string().as_bytes()).expect("a valid document")
}

#[test]
fn fields_are_parsed() {
    let configuration = parse(&document());
    assert_eq!(configuration.serial, Serial(12));
    let [shop, pay] = &configuration.routes[..] else { panic!("two routes") };
    assert_eq!((&shop.kind, &pay.kind), (&Kind::Idempotent, &Kind::Mutating));
    assert_eq!((shop.timeout, pay.timeout), (Duration::from_secs(2), Duration::from_millis(1500)));
    assert_eq!((shop.target_time, pay.target_time), (Duration::from_millis(500), Duration::ZERO));
    assert_eq!((shop.tries, pay.tries, pay.public), (2, 1, true));
    assert_eq!(configuration.backends[0].cold_per_s, 7.1);
    assert_eq!(configuration.tenants[0].burst, 0.5);
}

#[test]
fn absent_and_null_parts_have_defaults() {
    let bare = parse(&json!({"serial": "00000001", "routes": [], "backends": []}));
    let null = parse(
        &json!({"serial": "00000001", "routes": null, "backends": [], "limits": null, "tenants": null, "new": 1}),
    );
    assert_eq!(bare, null);
    assert_eq!(bare.limits, Limits::default());
    assert!(bare.tenants.is_empty());
}

#[test]
fn target_time_just_below_a_minute_past_timeout_is_valid() {
    let mut changed = document();
    changed["routes"][0]["target_time"] = json!("61.999s");
    parse(&changed);
}

#[test]
fn one_zero_weight_is_valid() {
    let mut changed = document();
    changed["routes"][0]["split"][0]["weight"] = json!(0);
    let configuration = parse(&changed);
    assert_eq!(configuration.routes[0].choose(0.0), "green");
}

#[test]
fn configuration_round_trips() {
    let configuration = parse(&document());
    let written = serde_json::to_value(&configuration).unwrap();
    assert_eq!(written["routes"][0]["split"], document()["routes"][0]["split"]);
    assert_eq!(written["routes"][1]["timeout"], "1500ms");
    assert_eq!(parse(&written), configuration);
}

proptest! {
    #[test]
    fn serial_round_trips(number in 0..=0xffff_ffff_u64) {
        let text = Serial(number).to_string();
        prop_assert_eq!(text.len(), 8);
        prop_assert_eq!(text.parse(), Ok(Serial(number)));
    }

    #[test]
    fn serials_sort_like_their_text(one in 0..=0xffff_ffff_u64, other in 0..=0xffff_ffff_u64) {
        let (one, other) = (Serial(one), Serial(other));
        prop_assert_eq!(one.cmp(&other), one.to_string().cmp(&other.to_string()));
    }

    #[test]
    fn duration_round_trips(millis in 1..100_000_000_u64, fraction in 0..1000_u64) {
        let mut configuration = parse(&document());
        configuration.routes[0].timeout = Duration::from_micros(millis * 1000 + fraction);
        let written = serde_json::to_value(&configuration).unwrap();
        prop_assert_eq!(parse(&written), configuration);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Configuration::parse(&bytes).is_err());
    }

    #[test]
    fn changed_byte_does_not_panic(position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = document().to_string().into_bytes();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        if let Ok(configuration) = Configuration::parse(&bytes) {
            prop_assert_eq!(configuration.check(), Ok(()));
        }
    }
}
