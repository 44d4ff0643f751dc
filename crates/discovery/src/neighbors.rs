//! Selection of the proxies that a proxy connects to: members of its zone and the counters of the fleet.
//!
//! Rendezvous hashing selects both sets without coordination. Their sizes are bounded, whatever the size of the fleet.

use hingestage_rendezvous::{choose, hash_bytes};

/// Maximum number of proxies in the fleet that keep the totals of tenants.
pub const COUNTERS_MAX: usize = 64;
/// Maximum number of proxies of a zone that know each other.
pub const ZONE_MAX: usize = 64;

const COUNTERS_KEY: &[u8] = b"counters";

/// Selects the proxies that keep the totals of tenants, from the fleet or any subset that contains them.
pub fn counters<T>(proxies: impl IntoIterator<Item = T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    choose(hash_bytes(COUNTERS_KEY), proxies, |proxy| hash_bytes(name(proxy).as_bytes()), COUNTERS_MAX)
}

/// Selects the proxies of a zone that know each other and act as homes of services.
pub fn zone_members<T>(
    zone: &str,
    proxies: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    choose(hash_bytes(zone.as_bytes()), proxies, |proxy| hash_bytes(name(proxy).as_bytes()), ZONE_MAX)
}
