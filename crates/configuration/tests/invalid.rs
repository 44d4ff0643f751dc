//! Validation errors: one named case for each, with status, code and message.

mod common;

use common::document;
use hingestage_configuration::{Configuration, Invalid};
use serde_json::{json, Value};

fn refuse(pointer: &str, value: Value) -> Invalid {
    let mut changed = document();
    *changed.pointer_mut(pointer).expect("the document has this field") = value;
    parse(&changed).expect_err("the changed document is invalid")
}

fn parse(document: &Value) -> Result<Configuration, Invalid> {
    Configuration::parse(document.to_string().as_bytes())
}

macro_rules! refused {
    ($($name:ident: $pointer:literal = $value:tt => $status:literal, $code:literal, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let invalid = refuse($pointer, json!($value));
            assert_eq!(invalid.status(), $status);
            assert_eq!(invalid.code(), $code);
            assert_eq!(invalid.to_string(), $message);
        }
    )*};
}

refused! {
    shared_key: "/tenants/1/api_keys/0" = "k2" => 422, "shared_key",
        "tenant `two`: `api_keys` has a key of tenant `one`";
    unknown_kind: "/routes/0/kind" = "safe" => 422, "unknown_kind",
        "route `shop`: `kind` is neither `idempotent` nor `mutating`";
    empty_host: "/routes/1/host" = "" => 422, "empty_host", "route `pay`: `host` is empty";
    host_of_a_port_alone: "/routes/1/host" = ":80" => 422, "empty_host", "route `pay`: `host` is empty";
    target_a_minute_past_timeout: "/routes/0/target_time" = "62s" => 422, "target_past_timeout",
        "route `shop`: `target_time` is a minute or more above the timeout";
    weight_below_zero: "/routes/0/split/1/weight" = (-1) => 422, "negative_weight",
        "route `shop`: `split[1].weight` is below 0 or not a number";
    weight_a_little_below_zero: "/routes/0/split/0/weight" = (-1e-9) => 422, "negative_weight",
        "route `shop`: `split[0].weight` is below 0 or not a number";
    weights_of_opposite_sign: "/routes/0/split/1/weight" = (-90) => 422, "negative_weight",
        "route `shop`: `split[1].weight` is below 0 or not a number";
    weights_that_sum_to_zero: "/routes/0/split" = [{"backend": "blue", "weight": 0}] => 422, "no_weight",
        "route `shop`: `split` has weights without a finite sum above 0";
    weights_beyond_any_number: "/routes/0/split" =
        [{"backend": "blue", "weight": 1.7e308}, {"backend": "green", "weight": 1.7e308}] => 422, "no_weight",
        "route `shop`: `split` has weights without a finite sum above 0";
    unknown_backend: "/routes/1/backend" = "grey" => 422, "unknown_backend",
        "route `pay`: `backend` names the unknown backend `grey`";
    unknown_backend_in_split: "/routes/0/split/1/backend" = "grey" => 422, "unknown_backend",
        "route `shop`: `split[1].backend` names the unknown backend `grey`";
    unknown_backend_of_weight_zero: "/routes/0/split/1" = {"backend": "grey", "weight": 0} => 422,
        "unknown_backend", "route `shop`: `split[1].backend` names the unknown backend `grey`";
    empty_split_without_backend: "/routes/0/split" = [] => 422, "no_backend",
        "route `shop`: `split` names no backend, and neither does `backend`";
    null_backend: "/routes/1/backend" = null => 422, "no_backend",
        "route `pay`: `split` names no backend, and neither does `backend`";
    prefix_without_first_slash: "/routes/1/prefix" = "pay/" => 422, "prefix_without_slashes",
        "route `pay`: `prefix` does not begin and end with a slash";
    prefix_without_last_slash: "/routes/1/prefix" = "/pay" => 422, "prefix_without_slashes",
        "route `pay`: `prefix` does not begin and end with a slash";
    duplicate_route: "/routes/1/name" = "shop" => 422, "duplicate_name", "route `shop`: `name` is given twice";
    duplicate_backend: "/backends/1/name" = "blue" => 422, "duplicate_name",
        "backend `blue`: `name` is given twice";
    duplicate_tenant: "/tenants/1/name" = "one" => 422, "duplicate_name", "tenant `one`: `name` is given twice";
    duplicate_host_and_prefix: "/routes/1/prefix" = "/" => 422, "duplicate_prefix",
        "route `pay`: `host` and `prefix` are those of route `shop`";
    no_timeout: "/routes/0/timeout" = "0ms" => 422, "no_timeout", "route `shop`: `timeout` is zero or absent";
    rate_below_zero: "/tenants/0/rate_per_s" = (-1) => 422, "invalid_rate",
        "tenant `one`: `rate_per_s` is below 0 or not a finite number";
    burst_below_zero: "/tenants/0/burst" = (-0.5) => 422, "invalid_rate",
        "tenant `one`: `burst` is below 0 or not a finite number";
    cold_rate_below_zero: "/backends/0/cold_per_s" = (-7) => 422, "invalid_rate",
        "backend `blue`: `cold_per_s` is below 0 or not a finite number";
}

/// Values of the wrong type or format are parse errors.
#[test]
fn unreadable_values() {
    let cases = [
        ("/serial", json!("c")),
        ("/serial", json!("0000000g")),
        ("/serial", json!("+000000c")),
        ("/serial", json!(12)),
        ("/routes", json!({})),
        ("/routes/0/timeout", json!("2000")),
        ("/routes/0/timeout", json!("2m")),
        ("/routes/0/timeout", json!("-2s")),
        ("/routes/0/timeout", json!("infs")),
        ("/routes/0/timeout", json!("1e3ms")),
        ("/routes/0/timeout", json!(".ms")),
        ("/routes/0/split/0/weight", json!("90")),
        ("/routes/0/tries", json!("2")),
    ];
    for (pointer, value) in cases {
        let invalid = refuse(pointer, value.clone());
        assert_eq!(invalid.status(), 400, "{pointer} {value}");
        assert!(invalid.to_string().starts_with("unreadable: "), "{invalid}");
    }
}

#[test]
fn rate_that_is_not_finite() {
    let mut configuration = parse(&document()).unwrap();
    for rate in [f64::NAN, f64::INFINITY] {
        configuration.tenants[0].rate_per_s = rate;
        assert_eq!(configuration.check().unwrap_err().code(), "invalid_rate");
    }
    let text = document().to_string().replace("61", "1e999");
    assert_eq!(Configuration::parse(text.as_bytes()).unwrap_err().status(), 400);
}

#[test]
fn absent_kind_and_timeout() {
    for (field, code) in [("kind", "unknown_kind"), ("timeout", "no_timeout"), ("host", "empty_host")] {
        let mut changed = document();
        changed["routes"][0].as_object_mut().unwrap().remove(field);
        let invalid = parse(&changed).unwrap_err();
        assert_eq!((invalid.status(), invalid.code()), (422, code));
    }
}

#[test]
fn cut_at_every_byte() {
    let text = document().to_string();
    for end in 0..text.len() {
        let invalid = Configuration::parse(&text.as_bytes()[..end]).expect_err("cut short");
        assert_eq!(invalid.status(), 400, "cut at byte {end}");
    }
    assert!(Configuration::parse(text.as_bytes()).is_ok());
}

#[test]
fn bytes_after_the_document() {
    let text = document().to_string();
    assert!(Configuration::parse(format!("{text}\n").as_bytes()).is_ok());
    assert_eq!(Configuration::parse(format!("{text}}}").as_bytes()).unwrap_err().status(), 400);
}
