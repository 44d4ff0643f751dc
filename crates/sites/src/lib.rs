//! Failover plans for the loss of sites, made in advance: where each load goes, what is refused, in which order and
//! from which load on. Does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ahead;
mod file;
mod greedy;
mod model;
mod page;
mod plan;

pub use ahead::{Ahead, Who};
pub use file::{read, read_section};
pub use greedy::{greedy, worth};
pub use model::{Load, Site, Sites};
pub use page::page;
pub use plan::{plan, Part, Plan, Refusal};
