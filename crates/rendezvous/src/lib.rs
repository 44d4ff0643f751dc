//! Rendezvous hashing (highest random weight): which members a key belongs to.
//!
//! Every process that knows the same members names the same ones, without talk. When a member comes or goes, only
//! the keys of that member change hands. The hashes are stable: the same in every process and every version.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mix. It spreads keys evenly; it does not resist an attacker.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// The finalizer of splitmix64.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The weight of a member for a key, both hashed.
pub fn weight(key: u64, member: u64) -> u64 {
    mix(key ^ mix(member))
}

/// The member that a key belongs to; none where there are no members.
pub fn owner(key: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    members.into_iter().max_by_key(|member| (weight(key, *member), *member))
}

/// The members that a key belongs to, at the most `count`, in the order that they were given in. `number` gives a
/// member's hash.
pub fn choose<T>(
    key: u64,
    members: impl IntoIterator<Item = T>,
    number: impl Fn(&T) -> u64,
    count: usize,
) -> Vec<T> {
    let members: Vec<T> = members.into_iter().collect();
    if members.len() <= count {
        return members;
    }
    let mut weights: Vec<(u64, u64)> =
        members.iter().map(&number).map(|number| (weight(key, number), number)).collect();
    weights.sort_unstable_by(|one, other| other.cmp(one));
    let Some(least) = count.checked_sub(1).map(|last| weights[last]) else { return Vec::new() };
    members.into_iter().filter(|member| (weight(key, number(member)), number(member)) >= least).collect()
}
