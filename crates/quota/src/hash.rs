//! Which gateway keeps the totals of a tenant.

use crate::GatewayId;
use hingestage_rendezvous as rendezvous;
pub(crate) use hingestage_rendezvous::{hash_bytes, mix};

/// The weight of a gateway for a key.
pub(crate) fn weight(key: u64, gateway: GatewayId) -> u64 {
    rendezvous::weight(key, gateway.0)
}

/// The gateway that keeps the totals of a tenant, by rendezvous hashing over the live gateways. When a gateway comes
/// or goes, only tenants of that gateway change hands.
pub fn owner(tenant: &str, gateways: &[GatewayId]) -> Option<GatewayId> {
    let key = hash_bytes(tenant.as_bytes());
    rendezvous::owner(key, gateways.iter().map(|gateway| gateway.0)).map(GatewayId)
}
