//! The whole gateway in a simulated world: one thread, a virtual clock, faults from seeds.
//!
//! A [`script::Script`] says who is there and what happens; [`scenario::scenario`] draws one from a seed;
//! [`world::play`] plays it, with the served code unchanged; the [`checker::Checker`] holds what clients,
//! workers and discovery saw against the rules. `docs/simulation.md` says how to read a failure.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod campaign;
pub mod executor;
pub mod net;
pub mod scenario;
pub mod script;
pub mod shrink;
pub use hingestage_rules::{asked, checker, service};
pub use hingestage_test_servers::site;
pub mod world;
