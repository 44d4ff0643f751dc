//! Admission of proxies to the shared limits.

use hingestage_registry::admission::{Admissions, Figures};
use hingestage_rpc::messages::ProxyNames;

const S: u64 = 1_000_000;

fn names(entries: &[(&str, bool)]) -> ProxyNames {
    entries.iter().map(|(name, settled)| ((*name).into(), *settled)).collect()
}

#[test]
fn new_proxy_is_named_first_and_settled_one_lease_after_its_name_is_durable() {
    let mut admissions = Admissions::new(false, Figures::default());
    let no_names = ProxyNames::new();
    admissions.heard(&"edge-1".into(), &no_names);
    assert_eq!(admissions.due(S, &no_names), names(&[("edge-1", false)]));
    assert_eq!(admissions.due(2 * S, &no_names), names(&[("edge-1", false)]), "proposed again until durable");
    let durable = names(&[("edge-1", false)]);
    let seen_at = 20 * S;
    assert_eq!(
        admissions.due(seen_at, &durable),
        no_names,
        "the lease counts from when the name was seen durable"
    );
    let lease = Figures::default().lease;
    assert_eq!(admissions.due(seen_at + lease - 1, &durable), no_names);
    assert_eq!(admissions.due(seen_at + lease, &durable), names(&[("edge-1", true)]));
    let settled = names(&[("edge-1", true)]);
    assert_eq!(admissions.due(seen_at + lease, &settled), no_names);
    admissions.heard(&"edge-1".into(), &settled);
    assert_eq!(admissions.due(90 * S, &settled), no_names, "a restarted proxy stays settled");
}

#[test]
fn proxy_is_settled_at_once_only_during_bootstrap() {
    let no_names = ProxyNames::new();
    let figures = Figures::default();
    let mut first = Admissions::new(true, figures);
    first.heard(&"edge-1".into(), &no_names);
    assert_eq!(first.due(figures.first_start - 1, &no_names), names(&[("edge-1", true)]));
    assert_eq!(
        first.due(figures.first_start, &no_names),
        names(&[("edge-1", false)]),
        "the bootstrap window is over"
    );
    let mut later = Admissions::new(false, figures);
    later.heard(&"edge-1".into(), &no_names);
    assert_eq!(later.due(S, &no_names), names(&[("edge-1", false)]));
}

#[test]
fn waiting_proxies_are_bounded() {
    let mut admissions = Admissions::new(false, Figures { newcomers_max: 2, ..Figures::default() });
    for number in 0..9 {
        admissions.heard(&format!("edge-{number}").into(), &ProxyNames::new());
    }
    assert_eq!(admissions.due(S, &ProxyNames::new()).len(), 2);
}
