//! Replicated policy store. Each server ("keeper") holds a Raft log (`openraft`) on disk (`redb`) that is
//! applied to the state in `hingestage_change`; gateways and operators call it over HTTP with JSON.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
// The error types that openraft prescribes for storage are large.
#![allow(clippy::result_large_err)]

pub mod call;
pub mod client;
pub mod config;
#[cfg(test)]
mod disk;
mod kinds;
mod machine;
mod network;
mod seat;
mod service;
mod store;
#[cfg(test)]
mod world;

pub use service::{run, Start};
pub use store::{New, Store};
