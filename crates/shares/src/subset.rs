//! Subset sizes: how many gateways share an item that is too small to be split among all of them.

/// The number of gateways, of `gateways`, that share each of `items`: the smallest `min_subset * 2^k` that
/// gives each gateway a share of `items_per_gateway` items on average. Powers of two keep gateways in agreement
/// while their item counts differ slightly.
pub fn subset_size(gateways: u32, items: u32, (min_subset, items_per_gateway): (u32, u32)) -> u32 {
    let (gateways, items) = (gateways.max(1), items.max(1));
    let sizes = std::iter::successors(Some(min_subset.max(1)), |size| size.checked_mul(2));
    let sufficient = |size: &u32| {
        *size >= gateways
            || u64::from(*size) * u64::from(items) >= u64::from(items_per_gateway) * u64::from(gateways)
    };
    sizes.take(32).find(sufficient).unwrap_or(gateways).min(gateways)
}

#[cfg(test)]
mod tests {
    use super::subset_size;

    #[test]
    fn subset_grows_as_the_item_count_falls() {
        for (gateways, items, expected) in [
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
            assert_eq!(subset_size(gateways, items, (12, 4)), expected, "{gateways} gateways, {items} items");
        }
    }

    #[test]
    fn average_share_is_reached_and_one_more_item_at_most_halves_the_subset() {
        for gateways in 1..400 {
            for items in 1..300 {
                let size = subset_size(gateways, items, (12, 4));
                assert!(size == gateways || size * items >= 4 * gateways);
                let next = subset_size(gateways, items + 1, (12, 4));
                assert!(
                    next == size || next * 2 == size || size == gateways,
                    "{gateways} {items}: {size}, {next}"
                );
            }
        }
    }
}
