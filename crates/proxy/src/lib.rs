//! The proxy: carries clients' requests to workers, by the configuration in force, within every tenant's quota.
//!
//! [`view`] is what the proxy knows, [`control`] brings it from the registries, [`services`] holds the decisions
//! about each service's workers, [`requests`] answers clients.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod classes;
mod control;
mod dialect;
mod peers;
mod readiness;
mod requests;
pub mod server;
pub mod services;
pub mod view;
