//! Which workers may get a request, and which classes of requests a service tells apart.

use compact_str::CompactString;
use hingestage_policy::{ClassId, Effect};
use hingestage_proxy::classes::{Classes, Terms, CLASSES};
use hingestage_proxy::services::ServiceKey;

fn regions(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|name| CompactString::from(*name)).collect()
}

/// The regions left for a route and a tenant.
fn left(route: &[&str], tenant: &[&str]) -> Option<Vec<CompactString>> {
    ServiceKey::within("s", &regions(route), &regions(tenant)).map(|key| key.regions)
}

#[test]
fn regions_of_route_and_tenant_both_bind_and_an_empty_list_binds_nothing() {
    assert_eq!(left(&[], &[]), Some(Vec::new()));
    assert_eq!(left(&["x"], &[]), Some(regions(&["x"])));
    assert_eq!(left(&[], &["y", "x"]), Some(regions(&["x", "y"])));
    assert_eq!(left(&["x", "y"], &["y", "z"]), Some(regions(&["y"])));
    assert_eq!(left(&["x"], &["y"]), None, "no region is left: not the same as all");
}

#[test]
fn one_set_of_regions_is_one_key_however_it_is_written() {
    assert_eq!(left(&["y", "x", "y"], &[]), left(&["x", "y"], &["y", "x", "z"]));
}

fn terms(number: u64) -> Terms {
    Terms { aim: 1_000 * (number + 1), deadline: 2_000_000, effect: Effect::AtMostOnce, attempts: 2 }
}

#[test]
fn routes_that_ask_for_the_same_share_a_class_and_any_difference_makes_another() {
    let mut classes = Classes::default();
    let first = terms(1);
    assert_eq!(classes.find(first), (ClassId(0), true));
    assert_eq!(classes.find(first), (ClassId(0), false));
    let others = [
        Terms { effect: Effect::Idempotent, ..first },
        Terms { attempts: 1, ..first },
        Terms { deadline: 1, ..first },
    ];
    for (place, other) in others.into_iter().enumerate() {
        assert_eq!(classes.find(other), (ClassId(place + 1), true));
    }
    assert_eq!(classes.all()[0].effect, Effect::AtMostOnce);
    assert_eq!(classes.all()[1].effect, Effect::Idempotent);
}

#[test]
fn beyond_the_bound_the_class_not_used_for_longest_gives_way() {
    let mut classes = Classes::default();
    for number in 0..CLASSES as u64 {
        classes.find(terms(number));
        assert_eq!(classes.all().len(), CLASSES, "always as many");
    }
    classes.find(terms(0));
    let (place, changed) = classes.find(terms(99));
    assert_eq!((place, changed), (ClassId(1), true));
    assert_eq!(classes.all()[1].aim, terms(99).aim);
    assert_eq!(classes.find(terms(0)), (ClassId(0), false), "used since, and kept");
    assert_eq!(classes.find(terms(1)), (ClassId(2), true), "asked for again, in another's place");
}
