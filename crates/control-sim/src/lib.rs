//! Deterministic simulation of the control plane on a virtual clock: stores, registries and proxies without sockets, a
//! network, operators, a platform, and faults drawn from a seed. Invariants are checked from outside the nodes.
//!
//! A seed determines the whole run. A [`Defect`] plants a known fault to prove that the
//! checks detect it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core_node;
mod defect;
mod faults;
mod invariants;
mod message;
mod platform;
mod process;
mod proxy_node;
mod world;

pub use defect::Defect;
pub use invariants::Violation;
pub use world::{run_seed, run_seed_traced, Options, RunSummary};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
