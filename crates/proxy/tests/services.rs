//! Allowed regions of a service and its request classes.

use compact_str::CompactString;
use hingestage_policy::{ClassId, Effect};
use hingestage_proxy::classes::{Classes, Terms, CLASS_COUNT};
use hingestage_proxy::services::ServiceKey;

fn regions(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|name| CompactString::from(*name)).collect()
}

/// Regions allowed by both a route and a tenant.
fn allowed(route: &[&str], tenant: &[&str]) -> Option<Vec<CompactString>> {
    ServiceKey::within("s", &regions(route), &regions(tenant)).map(|key| key.regions)
}

#[test]
fn allowed_regions_are_the_intersection_of_route_and_tenant_and_empty_means_all() {
    assert_eq!(allowed(&[], &[]), Some(Vec::new()));
    assert_eq!(allowed(&["x"], &[]), Some(regions(&["x"])));
    assert_eq!(allowed(&[], &["y", "x"]), Some(regions(&["x", "y"])));
    assert_eq!(allowed(&["x", "y"], &["y", "z"]), Some(regions(&["y"])));
    assert_eq!(allowed(&["x"], &["y"]), None, "an empty intersection does not mean all regions");
}

#[test]
fn order_and_duplicates_of_regions_do_not_matter() {
    assert_eq!(allowed(&["y", "x", "y"], &[]), allowed(&["x", "y"], &["y", "x", "z"]));
}

fn terms(number: u64) -> Terms {
    Terms { aim: 1_000 * (number + 1), deadline: 2_000_000, effect: Effect::AtMostOnce, attempts: 2 }
}

#[test]
fn equal_terms_share_a_class_and_any_difference_makes_another() {
    let mut classes = Classes::default();
    let first = terms(1);
    assert_eq!(classes.find_or_insert(first), (ClassId(0), true));
    assert_eq!(classes.find_or_insert(first), (ClassId(0), false));
    let others = [
        Terms { effect: Effect::Idempotent, ..first },
        Terms { attempts: 1, ..first },
        Terms { deadline: 1, ..first },
    ];
    for (index, other) in others.into_iter().enumerate() {
        assert_eq!(classes.find_or_insert(other), (ClassId(index + 1), true));
    }
    assert_eq!(classes.all()[0].effect, Effect::AtMostOnce);
    assert_eq!(classes.all()[1].effect, Effect::Idempotent);
}

#[test]
fn least_recently_used_class_is_replaced_at_the_limit() {
    let mut classes = Classes::default();
    for number in 0..CLASS_COUNT as u64 {
        classes.find_or_insert(terms(number));
        assert_eq!(classes.all().len(), CLASS_COUNT, "padded to a fixed number");
    }
    classes.find_or_insert(terms(0));
    let (class, changed) = classes.find_or_insert(terms(99));
    assert_eq!((class, changed), (ClassId(1), true));
    assert_eq!(classes.all()[1].aim, terms(99).aim);
    assert_eq!(classes.find_or_insert(terms(0)), (ClassId(0), false), "recently used");
    assert_eq!(
        classes.find_or_insert(terms(1)),
        (ClassId(2), true),
        "replaces the next least recently used class"
    );
}
