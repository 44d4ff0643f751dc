//! Stable hashes: the same in every process and every version.

use crate::GatewayId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mix.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// The finalizer of splitmix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The weight of a gateway for a key.
pub(crate) fn weight(key: u64, gateway: GatewayId) -> u64 {
    mix(key ^ mix(gateway.0))
}

/// The gateway that keeps the totals of a tenant, by rendezvous hashing over the live gateways. When a gateway comes
/// or goes, only tenants of that gateway change hands.
pub fn owner(tenant: &str, gateways: &[GatewayId]) -> Option<GatewayId> {
    let key = hash_bytes(tenant.as_bytes());
    gateways.iter().copied().max_by_key(|gateway| (weight(key, *gateway), *gateway))
}
