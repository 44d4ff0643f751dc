//! The control plane on a virtual clock: the cores of stores, registries and proxies, a network between them, an
//! operator, a platform, and faults drawn from a seed. The rules are checked from outside, by what each proxy would do.
//!
//! What runs here is the programs' own code without its sockets. A seed is one run. [`Defect`]s plant known faults, to
//! show that the checks notice them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core_node;
mod defect;
mod faults;
mod judge;
mod message;
mod platform;
mod process;
mod proxy_node;
mod world;

pub use defect::Defect;
pub use judge::Broken;
pub use world::{play, play_and_tell, Options, Played};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
