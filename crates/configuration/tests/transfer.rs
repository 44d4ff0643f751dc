//! Round trips of packed documents and deltas, and rejection of invalid input.

use hingestage_configuration::transfer::{pack, pack_delta, unpack, unpack_delta, TransferError};
use proptest::prelude::*;

const BYTES_MAX: usize = 1 << 20;

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
fn delta_of_one_route_is_small_and_documents_compress_well() {
    let few = names(0..1_240);
    let mut more = few.clone();
    more.insert(700, "new".into());
    more.remove(3);
    let (base, document_bytes) = (document(&few), document(&more));
    let delta = pack_delta(&base, &document_bytes);
    assert!(delta.len() < 200, "{}", delta.len());
    assert_eq!(unpack_delta(&base, &delta, BYTES_MAX), Ok(document_bytes.clone()));
    let whole = pack(&document_bytes);
    assert!(whole.len() * 5 < document_bytes.len(), "{} of {}", whole.len(), document_bytes.len());
    assert_eq!(unpack(&whole, BYTES_MAX), Ok(document_bytes));
}

#[test]
fn delta_with_a_wrong_base_and_oversized_documents_are_rejected() {
    let (short, long) = (document(&names(0..1)), document(&names(0..50)));
    let delta = pack_delta(&long, &document(&names(1..50)));
    assert_eq!(unpack_delta(&short, &delta, BYTES_MAX), Err(TransferError::WrongBase));
    assert_eq!(unpack(&pack(&long), long.len() - 1), Err(TransferError::Unreadable));
    assert_eq!(unpack_delta(&long, &delta, 10), Err(TransferError::Unreadable));
    assert_eq!(unpack(b"no packed document", BYTES_MAX), Err(TransferError::Unreadable));
}

proptest! {
    #[test]
    fn delta_between_any_two_documents_round_trips(
        base in prop::collection::vec(0usize..12, 0..30),
        document_bytes in prop::collection::vec(0usize..12, 0..30),
    ) {
        let text = |numbers: &[usize]| {
            document(&numbers.iter().map(|number| format!("n{number}")).collect::<Vec<_>>())
        };
        let (base, document_bytes) = (text(&base), text(&document_bytes));
        let delta = pack_delta(&base, &document_bytes);
        prop_assert_eq!(unpack_delta(&base, &delta, BYTES_MAX), Ok(document_bytes));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        base in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let _ = unpack(&bytes, 1_000);
        let _ = unpack_delta(&base, &bytes, 1_000);
        let _ = unpack_delta(&base, &pack(&bytes), 1_000);
        prop_assert_eq!(unpack_delta(&base, &pack_delta(&base, &bytes), 1_000), Ok(bytes));
    }
}
