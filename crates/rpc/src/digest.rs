//! A 64-bit FNV-1a hash with a final mixing step; stable across processes and builds.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes to tell contents apart. Not cryptographic.
pub fn digest(bytes: &[u8]) -> u64 {
    let sum = bytes.iter().fold(FNV_OFFSET, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
