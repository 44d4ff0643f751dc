//! The proxy forwards clients' requests to workers according to the active configuration and each tenant's quota.
//!
//! [`control`] watches the registries and [`relay`] distributes updates within a zone; both update the [`view`].
//! [`services`] selects workers, [`admission`] enforces quotas, and [`requests`] handles each request.
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
