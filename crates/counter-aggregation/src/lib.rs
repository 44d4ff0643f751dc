//! Aggregation of counter calls: each counter name has one owner, and the other gateways send it their increments.
//!
//! If every gateway called the counter for itself, a large fleet would spend the counter's capacity on the same few
//! names. Instead rendezvous hashing over the live gateways gives each name one *owner*. The others forward their
//! increments to it and receive the total. The owner calls the counter a few times per window, regardless of how
//! many gateways send to it. Names include a time slot, so ownership of an account's name moves with each slot.
//!
//! [`forwarder`] is the sending side, [`aggregator`] the owner's side, [`message`] the text format between them and
//! [`pace`] the rate limit of an owner's calls. None of them does I/O; time is passed in.
//!
//! Only counts of quota use take this path. Grants from a ceiling ask the counter itself, since a total that is
//! briefly too low would break the ceiling.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod aggregator;
pub mod forwarder;
pub mod message;
pub mod pace;

use hingestage_policy::{fnv, rendezvous_weight};

pub use hingestage_policy::Micros;

/// The owner of a name among the candidates, by rendezvous hashing; `None` if there are none.
///
/// With `n` gateways each owns about 1/`n` of the names, and one that joins or leaves moves only its own names.
pub fn owner(name: &str, candidates: impl Iterator<Item = u32>) -> Option<u32> {
    let hash = fnv(name.as_bytes());
    candidates.min_by_key(|gateway| (rendezvous_weight(hash, *gateway), *gateway))
}

#[cfg(test)]
mod tests {
    use super::owner;

    /// Counter names as the policy makes them: account and time slot.
    fn names() -> Vec<String> {
        (0..6_000).map(|n| format!("acc{}.{}", n % 300, 400_000 + n / 300)).collect()
    }

    #[test]
    fn removing_a_gateway_moves_only_its_names() {
        for name in names() {
            let before = owner(&name, 0..30).unwrap();
            let after = owner(&name, (0..30).filter(|g| *g != 7)).unwrap();
            assert!(before == after || before == 7, "{name} moved from {before} to {after}");
        }
        assert_eq!(owner("x", 0..0), None);
    }

    #[test]
    fn ownership_is_balanced_and_moves_with_each_slot() {
        let mut owned = [0usize; 30];
        names().iter().for_each(|name| owned[owner(name, 0..30).unwrap() as usize] += 1);
        let (min, max) = (owned.iter().min().unwrap(), owned.iter().max().unwrap());
        // 200 each on the mean; six standard deviations are 84.
        assert!(*min > 116 && *max < 284, "{owned:?}");
        let same = (0..1_000).filter(|slot| {
            let at = |slot: u32| owner(&format!("acc9.{slot}"), 0..30);
            at(*slot) == at(slot + 1)
        });
        assert!(same.count() < 80, "about one in thirty keeps its owner");
    }
}
