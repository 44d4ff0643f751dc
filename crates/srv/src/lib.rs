//! Worker discovery through DNS SRV records (RFC 2782), as state machines without sockets or clocks.
//!
//! [`message`] encodes queries and parses responses, [`resolver::Resolver`] resolves a question using several
//! servers, and [`service::Service`] maintains the endpoints of a name. `docs/srv.md` describes the rules.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod message;
pub mod resolver;
pub mod service;
pub mod settings;

pub use service::{AnswerState, Endpoint, Service};
pub use settings::{Addresses, Network, SrvSettings};

/// A point in time on a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Exponential backoff with jitter: a random delay between the first bound and a limit that doubles with each failure
/// up to the second bound.
fn backoff(rng: &mut fastrand::Rng, (min, max): (Micros, Micros), failures: u32) -> Micros {
    let limit = min.saturating_mul(1 << failures.min(16)).clamp(min, max.max(min));
    rng.u64(min..=limit)
}

/// Creates a generator; mixes the seed (`splitmix64` finalizer) so that adjacent seeds give unrelated sequences.
fn rng(seed: u64) -> fastrand::Rng {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    fastrand::Rng::with_seed(x ^ (x >> 31))
}
