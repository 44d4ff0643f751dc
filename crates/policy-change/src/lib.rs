//! Versioned policy documents: plans, classes, and exempt, blocked or overridden accounts. Parses, validates,
//! prints and compares documents, and rolls changes out to gateways with leases. Performs no I/O and reads no
//! clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod diff;
mod document;
pub mod fields;
mod guard;
pub mod lease_holder;
mod read;
pub mod rollout;
pub mod state;

pub use diff::{diff, Difference};
pub use document::{date, Class, Digest, Effect, Override, Plan, Policy};
pub use guard::{dangers, Danger};
pub use read::read;
