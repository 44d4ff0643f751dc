//! Which proxies a proxy knows: those of its zone, and the few that count for all.
//!
//! Rendezvous hashing names both sets, so that registries and proxies agree on them without talk, and a fleet of any
//! size costs each proxy the same.

use hingestage_rendezvous::{choose, hash_bytes};

/// Proxies that keep the totals of tenants, over the whole fleet, at the most.
pub const COUNTERS_MAX: usize = 64;
/// Other proxies of its zone that a proxy knows at the most.
pub const ZONE_MAX: usize = 64;

const COUNTERS_KEY: &[u8] = b"counters";

/// The proxies that keep the totals of tenants. It takes the whole fleet, or any part that has these in it.
pub fn counters<T>(proxies: impl IntoIterator<Item = T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    choose(hash_bytes(COUNTERS_KEY), proxies, |proxy| hash_bytes(name(proxy).as_bytes()), COUNTERS_MAX)
}

/// The proxies of a zone that know each other, and among which the homes of services are.
pub fn zone_members<T>(
    zone: &str,
    proxies: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    choose(hash_bytes(zone.as_bytes()), proxies, |proxy| hash_bytes(name(proxy).as_bytes()), ZONE_MAX)
}
