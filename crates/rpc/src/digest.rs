//! A digest that is the same in every process and build (FNV-1a, 64 bits, mixed at the end).

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The digest of some bytes. It tells contents apart; it does not resist an attacker.
pub fn digest(bytes: &[u8]) -> u64 {
    let sum = bytes.iter().fold(OFFSET, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(PRIME));
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
