//! Documents as they travel: whatever is packed comes out, and what is no packed document is refused.

use hingestage_configuration::transfer::{pack, pack_change, unpack, unpack_change, TransferError};
use proptest::prelude::*;

const LONGEST: usize = 1 << 20;

fn route(name: &str) -> String {
    format!(r#"{{"name":"{name}","host":"{name}.example","prefix":"/p/","kind":"idempotent","backend":"b"}}"#)
}

fn document(names: &[String]) -> Vec<u8> {
    let routes: Vec<String> = names.iter().map(|name| route(name)).collect();
    format!(r#"{{"serial":"00000001","routes":[{}],"backends":[{{"name":"b"}}]}}"#, routes.join(","))
        .into_bytes()
}

fn names(numbers: std::ops::Range<usize>) -> Vec<String> {
    numbers.map(|number| format!("r{}", number.wrapping_mul(2_654_435_761) % 1_000_003)).collect()
}

#[test]
fn one_route_among_many_is_a_short_change_and_many_new_ones_pack_well() {
    let few = names(0..1_240);
    let mut more = few.clone();
    more.insert(700, "new".into());
    more.remove(3);
    let (earlier, later) = (document(&few), document(&more));
    let change = pack_change(&earlier, &later);
    assert!(change.len() < 200, "{}", change.len());
    assert_eq!(unpack_change(&earlier, &change, LONGEST), Ok(later.clone()));
    let whole = pack(&later);
    assert!(whole.len() * 5 < later.len(), "{} of {}", whole.len(), later.len());
    assert_eq!(unpack(&whole, LONGEST), Ok(later));
}

#[test]
fn a_change_to_a_longer_document_and_what_would_be_too_long_are_refused() {
    let (short, long) = (document(&names(0..1)), document(&names(0..50)));
    let change = pack_change(&long, &document(&names(1..50)));
    assert_eq!(unpack_change(&short, &change, LONGEST), Err(TransferError::OtherBase));
    assert_eq!(unpack(&pack(&long), long.len() - 1), Err(TransferError::Unreadable));
    assert_eq!(unpack_change(&long, &change, 10), Err(TransferError::Unreadable));
    assert_eq!(unpack(b"no packed document", LONGEST), Err(TransferError::Unreadable));
}

proptest! {
    #[test]
    fn any_two_documents_have_a_change_that_leads_from_one_to_the_other(
        earlier in prop::collection::vec(0usize..12, 0..30),
        later in prop::collection::vec(0usize..12, 0..30),
    ) {
        let text = |numbers: &[usize]| {
            document(&numbers.iter().map(|number| format!("n{number}")).collect::<Vec<_>>())
        };
        let (earlier, later) = (text(&earlier), text(&later));
        let change = pack_change(&earlier, &later);
        prop_assert_eq!(unpack_change(&earlier, &change, LONGEST), Ok(later));
    }

    #[test]
    fn bytes_of_any_kind_never_end_in_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        earlier in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let _ = unpack(&bytes, 1_000);
        let _ = unpack_change(&earlier, &bytes, 1_000);
        let _ = unpack_change(&earlier, &pack(&bytes), 1_000);
        prop_assert_eq!(unpack_change(&earlier, &pack_change(&earlier, &bytes), 1_000), Ok(bytes));
    }
}
