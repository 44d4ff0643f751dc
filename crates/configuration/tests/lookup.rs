//! Lookup of routes by host and path, backends by weight, and tenants by key.

mod common;

use common::document;
use hingestage_configuration::{Configuration, KeyTable, Route, RouteTable, Share};
use proptest::prelude::*;

fn configuration() -> Configuration {
    Configuration::parse(document().to_string().as_bytes()).unwrap()
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        ..configuration().routes[0].clone()
    }
}

#[test]
fn route_by_host_and_path() {
    let table = RouteTable::new(&configuration());
    let cases = [
        ("shop.example", "/", Some("shop")),
        ("SHOP.example:8080", "/x", Some("shop")),
        ("shop.example:", "/pay/card", Some("shop")),
        ("shop.example", "/pay/card/", Some("pay")),
        ("shop.example", "/pay/card/7/8", Some("pay")),
        ("shop.example", "/pay/cards/", Some("shop")),
        ("shop.example", "", None),
        ("shop.example", "x", None),
        ("shop.example.", "/", None),
        ("example", "/", None),
        ("", "/", None),
        ("[::1]", "/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn address_in_brackets_keeps_its_colons() {
    let mut configuration = configuration();
    configuration.routes = vec![route("[::1]", "/")];
    let table = RouteTable::new(&configuration);
    assert!(table.find("[::1]", "/").is_some());
    assert!(table.find("[::1]:8080", "/").is_some());
    assert!(table.find("[::2]", "/").is_none());
}

#[test]
fn shares_follow_weights() {
    let shop = &configuration().routes[0];
    let cases = [(0.0, "blue"), (0.899, "blue"), (0.901, "green"), (0.999_999, "green")];
    for (draw, expected) in cases {
        assert_eq!(shop.choose(draw), expected, "draw {draw}");
    }
    assert_eq!(configuration().routes[1].choose(0.5), "green");
}

#[test]
fn split_takes_precedence_over_backend() {
    let mut shop = configuration().routes[0].clone();
    shop.backend = Some("green".into());
    assert_eq!(shop.choose(0.0), "blue");
}

#[test]
fn many_routes_of_one_host() {
    const ROUTES: usize = 24_000;
    let mut configuration = configuration();
    configuration.routes = (0..ROUTES).map(|index| route("a.example", &format!("/r/{index}/"))).collect();
    let table = RouteTable::new(&configuration);
    let start = std::time::Instant::now();
    for route in &configuration.routes {
        assert_eq!(table.find("a.example", &format!("{}x/y", route.prefix)), Some(route));
    }
    println!("{ROUTES} routes found in {:?}", start.elapsed());
    let document = serde_json::to_vec(&configuration).unwrap();
    let start = std::time::Instant::now();
    assert_eq!(Configuration::parse(&document), Ok(configuration));
    println!("a document of {} bytes parsed in {:?}", document.len(), start.elapsed());
}

#[test]
fn tenant_by_key() {
    let mut configuration = configuration();
    configuration.tenants[1].api_keys.push("".into());
    let table = KeyTable::new(&configuration);
    let cases = [("k1", Some(0)), ("k2", Some(0)), ("k3", Some(1)), ("k4", None), ("", None), ("K1", None)];
    for (key, expected) in cases {
        assert_eq!(table.find(key), expected, "key {key}");
    }
}

/// Reference implementation: a scan of all routes.
fn scan<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let matching = configuration.routes.iter().filter(|route| route.host == host);
    matching.filter(|route| path.starts_with(route.prefix.as_str())).max_by_key(|route| route.prefix.len())
}

proptest! {
    #[test]
    fn table_matches_a_linear_scan(
        keys in prop::collection::hash_set(("[ab]\\.example", "/([xy]{0,2}/){0,4}"), 0..20),
        host in "[ab]\\.example",
        path in "/?([xy]{0,2}/){0,5}[xyé]{0,2}",
    ) {
        let mut configuration = configuration();
        configuration.routes = keys.iter().map(|(host, prefix)| route(host, prefix)).collect();
        prop_assert_eq!(configuration.check(), Ok(()));
        let table = RouteTable::new(&configuration);
        prop_assert_eq!(table.find(&host, &path), scan(&configuration, &host, &path));
    }

    #[test]
    fn choices_are_proportional_to_weights(weights in prop::collection::vec(0..50_u32, 1..6)) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let shares = weights.iter().enumerate().map(|(index, weight)| Share {
            backend: index.to_string().into(),
            weight: f64::from(*weight),
        });
        let route = Route { split: shares.collect(), ..configuration().routes[0].clone() };
        let mut chosen = vec![0; weights.len()];
        for step in 0..total {
            let draw = (f64::from(step) + 0.5) / f64::from(total);
            chosen[route.choose(draw).parse::<usize>().unwrap()] += 1;
        }
        prop_assert_eq!(chosen, weights);
    }

    #[test]
    fn share_of_weight_zero_is_never_chosen(
        weights in prop::collection::vec(prop_oneof![Just(0.0), 0.0..1e6_f64], 1..8),
        draw in 0.0..1.0_f64,
    ) {
        prop_assume!(weights.iter().sum::<f64>() > 0.0);
        let shares = weights.iter().enumerate().map(|(index, weight)| Share {
            backend: index.to_string().into(),
            weight: *weight,
        });
        let route = Route { split: shares.collect(), ..configuration().routes[0].clone() };
        let chosen: usize = route.choose(draw).parse().unwrap();
        prop_assert!(weights[chosen] > 0.0);
    }
}
