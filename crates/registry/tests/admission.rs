//! When proxies are taken into common limits, and when they may use their parts.

use hingestage_registry::admission::{Admissions, Figures};
use hingestage_rpc::messages::ProxyNames;

const S: u64 = 1_000_000;

fn names(entries: &[(&str, bool)]) -> ProxyNames {
    entries.iter().map(|(name, settled)| ((*name).into(), *settled)).collect()
}

#[test]
fn a_newcomer_is_named_first_and_settled_a_whole_lease_after_its_name_was_durable() {
    let mut admissions = Admissions::new(false, Figures::default());
    let nobody = ProxyNames::new();
    admissions.heard(&"edge-1".into(), &nobody);
    assert_eq!(admissions.due(S, &nobody), names(&[("edge-1", false)]));
    assert_eq!(admissions.due(2 * S, &nobody), names(&[("edge-1", false)]), "asked again until durable");
    let durable = names(&[("edge-1", false)]);
    let seen_at = 20 * S;
    assert_eq!(admissions.due(seen_at, &durable), nobody, "counted from when it was seen durable");
    let lease = Figures::default().lease;
    assert_eq!(admissions.due(seen_at + lease - 1, &durable), nobody);
    assert_eq!(admissions.due(seen_at + lease, &durable), names(&[("edge-1", true)]));
    let settled = names(&[("edge-1", true)]);
    assert_eq!(admissions.due(seen_at + lease, &settled), nobody);
    admissions.heard(&"edge-1".into(), &settled);
    assert_eq!(admissions.due(90 * S, &settled), nobody, "a restarted proxy keeps its place");
}

#[test]
fn only_at_the_first_start_of_all_is_a_proxy_settled_at_once() {
    let nobody = ProxyNames::new();
    let figures = Figures::default();
    let mut first = Admissions::new(true, figures);
    first.heard(&"edge-1".into(), &nobody);
    assert_eq!(first.due(figures.first_start - 1, &nobody), names(&[("edge-1", true)]));
    assert_eq!(first.due(figures.first_start, &nobody), names(&[("edge-1", false)]), "too late for that");
    let mut later = Admissions::new(false, figures);
    later.heard(&"edge-1".into(), &nobody);
    assert_eq!(later.due(S, &nobody), names(&[("edge-1", false)]));
}

#[test]
fn those_that_wait_are_bounded() {
    let mut admissions = Admissions::new(false, Figures { newcomers_max: 2, ..Figures::default() });
    for number in 0..9 {
        admissions.heard(&format!("edge-{number}").into(), &ProxyNames::new());
    }
    assert_eq!(admissions.due(S, &ProxyNames::new()).len(), 2);
}
