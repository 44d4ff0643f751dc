//! Replicated policy store. Each server ("keeper") holds a Raft log (`openraft`) on disk (`redb`) that is
//! applied to the state in `hingestage_policy_change`; gateways and operators call it over HTTP with JSON.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
// The error types that openraft prescribes for storage are large.
#![allow(clippy::result_large_err)]

pub mod client;
pub mod config;
#[cfg(test)]
mod faulty_disk;
pub mod http_client;
mod network;
mod node;
mod raft_types;
mod service;
#[cfg(test)]
mod simulation;
mod state_machine;
mod store;

pub use service::{run, StartMode};
pub use store::{NewStore, Store};
