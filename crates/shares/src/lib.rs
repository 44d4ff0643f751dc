//! Quorum-based leases on shares of a common resource.
//!
//! Each gateway of a fixed number owns a share. When an owner can no longer be using its share, the others may take
//! over a part of it; the total in use never exceeds the whole, however stale each gateway's view is. [`Lease`]
//! implements the protocol; the `lease` module documents its proof. The crate is free of I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lease;
mod subset;

pub use lease::{Lease, LeaseConfig, LeaseState, LeaseView, Share, Voter};
pub use subset::subset_size;

/// A point in time or a duration in microseconds, on one monotonic clock.
pub type Micros = u64;
