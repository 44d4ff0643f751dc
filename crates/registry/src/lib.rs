//! The registry: serves the operator API and client lookups, tracks proxies by heartbeat, reads the platform's list of
//! workers, and distributes the committed state to proxies.
//!
//! It holds soft state only. Operators' changes are durable in the stores; the rest is rebuilt from heartbeats and the
//! platform's list.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod committed;
pub mod directory;
pub mod first_terms;
mod http;
pub mod platform_list;
pub mod reader_election;
pub mod server;
mod status;
pub mod transfers;
mod trial_handlers;
pub mod trials;
