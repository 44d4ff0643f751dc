//! The proxy: carries clients' requests to workers, by the configuration in force, within every tenant's quota.
//!
//! [`view`] is what the proxy knows, [`control`] brings it from the registries, [`services`] holds the decisions
//! about each service's workers, [`relay`] passes news on within a zone, [`requests`] answers clients.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
pub mod attempts;
pub mod classes;
mod control;
pub mod counters;
pub mod dialect;
mod lending;
mod operators;
mod peers;
mod readiness;
pub mod recent;
mod relay;
pub mod request_log;
mod requests;
pub mod server;
pub mod services;
mod trial_counts;
pub mod view;
