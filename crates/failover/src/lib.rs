//! Detects failures of whole sites, ramps load back up when a site recovers, and decides which requests to shed while
//! the remaining capacity is too small.
//!
//! [`SiteMonitor`] turns evidence from attempts, worker lists, other gateways and operators into a [`View`] that the
//! policy applies. [`Shedder`] decides what is refused. `docs/sites.md` explains both. Nothing here does I/O or reads
//! a clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drift;
mod monitor;
mod report;
mod shedder;
mod view;

pub use drift::LoadDrift;
pub use monitor::{AttemptEvidence, LossCause, MonitorConfig, Override, SiteMonitor, SiteStatus};
pub use report::SiteReport;
pub use shedder::{Shedder, Tier};
pub use view::{Admission, Probe, Refused, Shares, View};

/// A point in time or a duration, in microseconds of one monotonic clock.
pub type Micros = u64;

/// Maps bits to a number in [0, 1), identically on every gateway (the finalizer of `splitmix64`).
pub(crate) fn unit(bits: u64) -> f64 {
    let mut x = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
