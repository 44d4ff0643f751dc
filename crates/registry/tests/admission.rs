//! Admission of proxies to the shared limits.

use hingestage_registry::admission::{AdmissionSettings, Admissions};
use hingestage_rpc::messages::ProxyNames;

const S: u64 = 1_000_000;

fn names(entries: &[(&str, bool)]) -> ProxyNames {
    entries.iter().map(|(name, settled)| ((*name).into(), *settled)).collect()
}

#[test]
fn new_proxy_is_named_first_and_settled_one_lease_after_its_name_is_durable() {
    let mut admissions = Admissions::new(false, AdmissionSettings::default());
    let no_names = ProxyNames::new();
    admissions.observe(&"edge-1".into(), &no_names);
    assert_eq!(admissions.due_changes(S, &no_names), names(&[("edge-1", false)]));
    assert_eq!(
        admissions.due_changes(2 * S, &no_names),
        names(&[("edge-1", false)]),
        "proposed again until durable"
    );
    let durable = names(&[("edge-1", false)]);
    let seen_at = 20 * S;
    assert_eq!(
        admissions.due_changes(seen_at, &durable),
        no_names,
        "the lease counts from when the name was seen durable"
    );
    let lease = AdmissionSettings::default().lease;
    assert_eq!(admissions.due_changes(seen_at + lease - 1, &durable), no_names);
    assert_eq!(admissions.due_changes(seen_at + lease, &durable), names(&[("edge-1", true)]));
    let settled = names(&[("edge-1", true)]);
    assert_eq!(admissions.due_changes(seen_at + lease, &settled), no_names);
    admissions.observe(&"edge-1".into(), &settled);
    assert_eq!(admissions.due_changes(90 * S, &settled), no_names, "a restarted proxy stays settled");
}

#[test]
fn proxy_is_settled_at_once_only_during_bootstrap() {
    let no_names = ProxyNames::new();
    let settings = AdmissionSettings::default();
    let mut first = Admissions::new(true, settings);
    first.observe(&"edge-1".into(), &no_names);
    assert_eq!(first.due_changes(settings.bootstrap_window - 1, &no_names), names(&[("edge-1", true)]));
    assert_eq!(
        first.due_changes(settings.bootstrap_window, &no_names),
        names(&[("edge-1", false)]),
        "the bootstrap window is over"
    );
    let mut later = Admissions::new(false, settings);
    later.observe(&"edge-1".into(), &no_names);
    assert_eq!(later.due_changes(S, &no_names), names(&[("edge-1", false)]));
}

#[test]
fn waiting_proxies_are_bounded() {
    let mut admissions =
        Admissions::new(false, AdmissionSettings { pending_max: 2, ..AdmissionSettings::default() });
    for number in 0..9 {
        admissions.observe(&format!("edge-{number}").into(), &ProxyNames::new());
    }
    assert_eq!(admissions.due_changes(S, &ProxyNames::new()).len(), 2);
}
