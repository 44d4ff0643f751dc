//! What a registry makes of what its store tells.

use hingestage_registry::watch::InForce;
use hingestage_rpc::messages::StoreNews;

const S: u64 = 1_000_000;
/// Milliseconds in a second, as ages are told.
const AGE: u64 = 1_000;

fn fresh(age: u64) -> StoreNews {
    StoreNews { fresh_age: Some(age), ..StoreNews::default() }
}

#[test]
fn freshness_counts_from_the_question_also_where_that_is_before_the_start() {
    let mut in_force = InForce::new(1);
    assert_eq!(in_force.freshness.age(S), None);
    in_force.take(S, S, fresh(2 * AGE));
    assert_eq!(in_force.freshness.age(S), Some(2 * S), "the store's news is older than this process");
    in_force.take(3 * S, 3 * S, fresh(2 * AGE));
    assert_eq!(in_force.freshness.age(4 * S), Some(3 * S));
    in_force.take(4 * S, 4 * S, fresh(4 * AGE));
    in_force.take(5 * S, 5 * S, StoreNews::default());
    assert_eq!(in_force.freshness.age(5 * S), Some(4 * S), "older news, or none, takes nothing back");
}
