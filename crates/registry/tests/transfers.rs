//! Packed configurations: deltas, full documents and eviction.

use hingestage_registry::transfers::Transfers;
use hingestage_rpc::messages::ConfigDocument;

fn document(serial: u64, routes: usize) -> ConfigDocument {
    let routes: Vec<String> = (0..routes).map(|route| format!(r#"{{"name":"r{route}"}}"#)).collect();
    let json = format!(r#"{{"serial":"{serial:08x}","routes":[{}]}}"#, routes.join(",")).into_bytes();
    ConfigDocument::new(serial, json)
}

#[test]
fn receiver_of_a_held_version_gets_a_delta_and_others_the_full_document() {
    let mut transfers = Transfers::default();
    assert!(transfers.newest_for(None).is_none());
    let (first, second) = (document(1, 400), document(2, 401));
    transfers.add(first.clone());
    transfers.add(second.clone());
    let delta = transfers.newest_for(Some(first.version)).expect("a delta").clone();
    assert_eq!(delta.base, Some(first.version));
    assert!(delta.packed.len() < 100, "{}", delta.packed.len());
    assert_eq!(delta.unpack(Some(&first)).as_ref(), Some(&second));
    assert_eq!(delta.unpack(None), None, "delta without its base");
    assert_eq!(delta.unpack(Some(&document(9, 3))), None, "delta applied to another base");
    for have in [None, Some(second.version), Some(document(7, 1).version)] {
        let full = transfers.newest_for(have).expect("a full document");
        assert_eq!((full.base, full.unpack(None).as_ref()), (None, Some(&second)));
    }
}

#[test]
fn older_documents_are_ignored_and_few_are_held() {
    let mut transfers = Transfers::default();
    for serial in 1..=40 {
        transfers.add(document(serial, 3));
        transfers.add(document(serial / 2, 2));
    }
    let newest = document(40, 3);
    let full = transfers.newest_for(Some(document(2, 3).version)).expect("a full document");
    assert_eq!((full.base, full.version), (None, newest.version), "serial 2 has been evicted");
    let delta = transfers.newest_for(Some(document(39, 3).version)).expect("a delta");
    assert_eq!(delta.unpack(Some(&document(39, 3))).as_ref(), Some(&newest));
}

#[test]
fn only_the_previous_large_document_is_held() {
    let mut transfers = Transfers::default();
    // More than 4 MB each.
    let long = |serial| document(serial, 300_000);
    (1..=3).for_each(|serial| transfers.add(long(serial)));
    let base_of = |transfers: &mut Transfers, serial| {
        let have = Some(long(serial).version);
        transfers.newest_for(have).expect("the newest").base.map(|base| base.serial)
    };
    assert_eq!(base_of(&mut transfers, 2), Some(2));
    assert_eq!(base_of(&mut transfers, 1), None);
}

#[test]
fn document_with_a_wrong_digest_is_rejected() {
    let mut transfers = Transfers::default();
    transfers.add(document(1, 9));
    let mut full = transfers.newest_for(None).expect("a full document").clone();
    full.version.digest ^= 1;
    assert_eq!(full.unpack(None), None);
}
