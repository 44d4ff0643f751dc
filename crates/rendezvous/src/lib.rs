//! Rendezvous hashing (highest random weight): assigns keys to members.
//!
//! Processes with the same member list agree without communication, and a membership change moves only the keys
//! of the affected member. The hashes are stable across processes and versions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a followed by [`mix`]. Distributes keys evenly, but is not collision-resistant against an attacker.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// The splitmix64 finalizer.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The weight of a member for a key; both are hashes.
pub fn weight(key: u64, member: u64) -> u64 {
    mix(key ^ mix(member))
}

/// The member with the highest weight for a key, or `None` without members.
pub fn owner(key: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    members.into_iter().max_by_key(|member| (weight(key, *member), *member))
}

/// The `count` members with the highest weights for a key, in the order of `members`. `hash` returns a member's
/// hash.
pub fn choose<T>(
    key: u64,
    members: impl IntoIterator<Item = T>,
    hash: impl Fn(&T) -> u64,
    count: usize,
) -> Vec<T> {
    let members: Vec<T> = members.into_iter().collect();
    if members.len() <= count {
        return members;
    }
    let mut weights: Vec<(u64, u64)> =
        members.iter().map(&hash).map(|hash| (weight(key, hash), hash)).collect();
    weights.sort_unstable_by(|one, other| other.cmp(one));
    let Some(threshold) = count.checked_sub(1).map(|last| weights[last]) else { return Vec::new() };
    members.into_iter().filter(|member| (weight(key, hash(member)), hash(member)) >= threshold).collect()
}
