//! Turns at the counter: for each of its names one gateway looks, and the others ask that one.
//!
//! Without turns each gateway of an account's set calls the counter for itself, and with hundreds of them the
//! counter's calls are used up by looks at the same few names. Here a name has one *looker*, drawn among the
//! living by rendezvous hashing, so that all gateways agree without a word. The others tell it what they add and are
//! told the total. The looker adds up, and calls the counter a few times in a window, however many told it. As names
//! change with each slot of time, so do their lookers: nobody looks for an account for long.
//!
//! [`post`] is the side that tells, [`desk`] the side that is told, [`word`] what passes between them, [`pace`] how
//! often a looker may call. All are values without I/O; time is passed in.
//!
//! Only what counts use of quotas goes this way. What grants from a ceiling asks the counter itself: a total that is
//! too low for a moment costs a quota's price, but would break a ceiling.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod desk;
pub mod pace;
pub mod post;
pub mod word;

use hingestage_policy::{fnv, rendezvous_weight};

pub use hingestage_policy::Micros;

/// The name's looker among some gateways; none among none.
///
/// Of `n` gateways each looks for a name in `n` on the mean, and one that goes or comes moves its own names and no
/// others.
pub fn looker(name: &str, among: impl Iterator<Item = u32>) -> Option<u32> {
    let mark = fnv(name.as_bytes());
    among.min_by_key(|gateway| (rendezvous_weight(mark, *gateway), *gateway))
}

#[cfg(test)]
mod tests {
    use super::looker;

    /// Names of accounts and slots, as the decisions make them.
    fn names() -> Vec<String> {
        (0..6_000).map(|n| format!("acc{}.{}", n % 300, 400_000 + n / 300)).collect()
    }

    #[test]
    fn one_that_goes_moves_its_own_names_and_no_others() {
        for name in names() {
            let before = looker(&name, 0..30).unwrap();
            let after = looker(&name, (0..30).filter(|g| *g != 7)).unwrap();
            assert!(before == after || before == 7, "{name} moved from {before} to {after}");
        }
        assert_eq!(looker("x", 0..0), None);
    }

    #[test]
    fn names_are_even_over_gateways_and_an_account_changes_its_looker_from_slot_to_slot() {
        let mut of = [0usize; 30];
        names().iter().for_each(|name| of[looker(name, 0..30).unwrap() as usize] += 1);
        let (least, most) = (of.iter().min().unwrap(), of.iter().max().unwrap());
        // 200 each on the mean; six standard deviations are 84.
        assert!(*least > 116 && *most < 284, "{of:?}");
        let same = (0..1_000).filter(|slot| {
            let at = |slot: u32| looker(&format!("acc9.{slot}"), 0..30);
            at(*slot) == at(slot + 1)
        });
        assert!(same.count() < 80, "about one in thirty stays");
    }
}
