//! Freshness of the committed state received from the store.

use hingestage_registry::watch::InForce;
use hingestage_rpc::messages::StoreNews;

const S: u64 = 1_000_000;
/// One second in milliseconds, the unit of reported ages.
const SECOND_MS: u64 = 1_000;

fn fresh(age: u64) -> StoreNews {
    StoreNews { fresh_age: Some(age), ..StoreNews::default() }
}

#[test]
fn freshness_counts_from_the_request_even_before_process_start() {
    let mut in_force = InForce::new(1);
    assert_eq!(in_force.freshness.age(S), None);
    in_force.take(S, S, fresh(2 * SECOND_MS));
    assert_eq!(in_force.freshness.age(S), Some(2 * S), "the store's state is older than this process");
    in_force.take(3 * S, 3 * S, fresh(2 * SECOND_MS));
    assert_eq!(in_force.freshness.age(4 * S), Some(3 * S));
    in_force.take(4 * S, 4 * S, fresh(4 * SECOND_MS));
    in_force.take(5 * S, 5 * S, StoreNews::default());
    assert_eq!(in_force.freshness.age(5 * S), Some(4 * S), "older or missing ages don't reduce freshness");
}
