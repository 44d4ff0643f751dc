//! Assignment of tenants to the gateways that aggregate their counts.

use crate::GatewayId;
use hingestage_rendezvous as rendezvous;
pub(crate) use hingestage_rendezvous::{hash_bytes, mix};

/// The rendezvous weight of a gateway for a key.
pub(crate) fn weight(key: u64, gateway: GatewayId) -> u64 {
    rendezvous::weight(key, gateway.0)
}

/// The gateway that aggregates a tenant's counts, by rendezvous hashing over the live gateways. A membership change
/// moves only the tenants of the affected gateway.
pub fn owner(tenant: &str, gateways: &[GatewayId]) -> Option<GatewayId> {
    let key = hash_bytes(tenant.as_bytes());
    rendezvous::owner(key, gateways.iter().map(|gateway| gateway.0)).map(GatewayId)
}
