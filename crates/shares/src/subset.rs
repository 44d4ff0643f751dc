//! Subset sizes: how many gateways share an item that is too small to be split among all of them.

/// The number of gateways, of `all`, that share each of `things`: the smallest `least * 2^k` that gives each gateway a
/// share of `each` items on average. Powers of two keep gateways in agreement while their item counts differ slightly.
pub fn sharers(all: u32, things: u32, (least, each): (u32, u32)) -> u32 {
    let (all, things) = (all.max(1), things.max(1));
    let sizes = std::iter::successors(Some(least.max(1)), |size| size.checked_mul(2));
    let sufficient =
        |size: &u32| *size >= all || u64::from(*size) * u64::from(things) >= u64::from(each) * u64::from(all);
    sizes.take(32).find(sufficient).unwrap_or(all).min(all)
}

#[cfg(test)]
mod tests {
    use super::sharers;

    #[test]
    fn subset_grows_as_the_item_count_falls() {
        for (all, things, expected) in [
            (1, 1, 1),
            (12, 1, 12),
            (100, 60, 12),
            (300, 200, 12),
            (300, 100, 12),
            (300, 99, 24),
            (300, 3, 300),
            (0, 0, 1),
            (u32::MAX, 1, u32::MAX),
        ] {
            assert_eq!(sharers(all, things, (12, 4)), expected, "{all} gateways, {things} items");
        }
    }

    #[test]
    fn average_share_is_reached_and_one_more_item_at_most_halves_the_subset() {
        for all in 1..400 {
            for things in 1..300 {
                let size = sharers(all, things, (12, 4));
                assert!(size == all || size * things >= 4 * all);
                let next = sharers(all, things + 1, (12, 4));
                assert!(next == size || next * 2 == size || size == all, "{all} {things}: {size}, {next}");
            }
        }
    }
}
