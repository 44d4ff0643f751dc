//! What the configuration is handed out as.

use hingestage_registry::transfers::Transfers;
use hingestage_rpc::messages::ConfigDocument;

fn document(serial: u64, routes: usize) -> ConfigDocument {
    let routes: Vec<String> = (0..routes).map(|route| format!(r#"{{"name":"r{route}"}}"#)).collect();
    let json = format!(r#"{{"serial":"{serial:08x}","routes":[{}]}}"#, routes.join(",")).into_bytes();
    ConfigDocument::new(serial, json)
}

#[test]
fn one_who_has_a_version_that_is_kept_gets_the_change_and_anyone_else_the_whole() {
    let mut transfers = Transfers::default();
    assert!(transfers.newest_for(None).is_none());
    let (first, second) = (document(1, 400), document(2, 401));
    transfers.add(first.clone());
    transfers.add(second.clone());
    let change = transfers.newest_for(Some(first.version)).expect("a change").clone();
    assert_eq!(change.base, Some(first.version));
    assert!(change.packed.len() < 100, "{}", change.packed.len());
    assert_eq!(change.unpack(Some(&first)).as_ref(), Some(&second));
    assert_eq!(change.unpack(None), None, "a change to nothing");
    assert_eq!(change.unpack(Some(&document(9, 3))), None, "a change to another one");
    for have in [None, Some(second.version), Some(document(7, 1).version)] {
        let whole = transfers.newest_for(have).expect("the whole");
        assert_eq!((whole.base, whole.unpack(None).as_ref()), (None, Some(&second)));
    }
}

#[test]
fn an_older_one_that_comes_late_changes_nothing_and_few_are_kept() {
    let mut transfers = Transfers::default();
    for serial in 1..=40 {
        transfers.add(document(serial, 3));
        transfers.add(document(serial / 2, 2));
    }
    let newest = document(40, 3);
    let whole = transfers.newest_for(Some(document(2, 3).version)).expect("the whole");
    assert_eq!((whole.base, whole.version), (None, newest.version), "2 is not kept any more");
    let change = transfers.newest_for(Some(document(39, 3).version)).expect("a change");
    assert_eq!(change.unpack(Some(&document(39, 3))).as_ref(), Some(&newest));
}

#[test]
fn of_long_documents_the_one_before_is_kept_and_no_more() {
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
fn bytes_that_came_out_wrong_are_no_document() {
    let mut transfers = Transfers::default();
    transfers.add(document(1, 9));
    let mut whole = transfers.newest_for(None).expect("the whole").clone();
    whole.version.digest ^= 1;
    assert_eq!(whole.unpack(None), None);
}
