//! Workers named by DNS SRV records (RFC 2782), without sockets and clocks.
//!
//! Three values, each of which takes events and gives what is to be done: [`message`] writes questions and reads
//! answers, the [`resolver::Resolver`] gets one question answered by whichever server will, and the
//! [`service::Service`] keeps what is believed of a name: which addresses, since when, and why.
//! `docs/srv.md` says which rules it follows and what was weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod message;
pub mod resolver;
pub mod service;
pub mod settings;

pub use service::{Endpoint, Service, Standing};
pub use settings::{Addresses, Network, SrvSettings};

/// A point in time or a span, microseconds. Points are read off one clock that never goes back.
pub type Micros = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// The wait before the next try at what failed so often in a row: drawn, so that those who failed together don't
/// try together, from a span that doubles up to the longest.
fn back_off(rng: &mut fastrand::Rng, (first, longest): (Micros, Micros), fails: u32) -> Micros {
    let most = first.saturating_mul(1 << fails.min(16)).clamp(first, longest.max(first));
    rng.u64(first..=most)
}

/// A generator whose draws differ from the first one on, also for seeds that lie close together (the finalizer
/// of `splitmix64`).
fn rng(seed: u64) -> fastrand::Rng {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    fastrand::Rng::with_seed(x ^ (x >> 31))
}
