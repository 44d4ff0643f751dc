//! Freshness of the committed state received from the store.

use hingestage_registry::committed::CommittedState;
use hingestage_rpc::messages::StoreNews;

const S: u64 = 1_000_000;
/// One second in milliseconds, the unit of reported ages.
const SECOND_MS: u64 = 1_000;

fn fresh(age: u64) -> StoreNews {
    StoreNews { fresh_age: Some(age), ..StoreNews::default() }
}

#[test]
fn freshness_counts_from_the_request_even_before_process_start() {
    let mut committed = CommittedState::new(1);
    assert_eq!(committed.freshness.age(S), None);
    committed.apply(S, S, fresh(2 * SECOND_MS));
    assert_eq!(committed.freshness.age(S), Some(2 * S), "the store's state is older than this process");
    committed.apply(3 * S, 3 * S, fresh(2 * SECOND_MS));
    assert_eq!(committed.freshness.age(4 * S), Some(3 * S));
    committed.apply(4 * S, 4 * S, fresh(4 * SECOND_MS));
    committed.apply(5 * S, 5 * S, StoreNews::default());
    assert_eq!(committed.freshness.age(5 * S), Some(4 * S), "older or missing ages don't reduce freshness");
}
