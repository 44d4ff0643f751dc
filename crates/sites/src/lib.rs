//! Failover plans for the loss of sites, made in advance: where each load goes, what is refused, in which order and
//! from which load on. Does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod failover_plans;
mod file;
mod greedy;
mod model;
mod page;
mod plan;

pub use failover_plans::{FailoverPlans, GatewayIdentity};
pub use file::{parse, parse_section};
pub use greedy::{greedy, total_worth};
pub use model::{Load, Site, Sites};
pub use page::page;
pub use plan::{plan, Placement, Plan, Refusal};
