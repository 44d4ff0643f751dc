//! Failure detection among the gateways of a fleet.
//!
//! [`gossip`] holds the state of a gossip protocol between the admin addresses of configured peers. [`roll_call`] is a roll
//! call on the shared counter, where many gateways share one counter name. Both are free of I/O; time is passed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod gossip;
pub mod roll_call;

/// A point in time or a duration in microseconds, on a monotonic clock.
pub type Micros = u64;
