//! Which workers there are, by service.
//!
//! One registry reads the platform's list and numbers its versions. Everyone else follows: an [index] says which
//! services have changed, and updates bring their workers, as changes where the sender still keeps them, else as a
//! snapshot. In each zone one proxy is the [home](Homes) of a service: it gets the service's updates from a registry and
//! passes them on to the other proxies of its zone.
//!
//! Time is passed in as [`Micros`] of one steady clock. Nothing here reads a clock, a socket or a random source.
//!
//! [index]: hingestage_rpc::workers::ServiceIndex
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod catalog;
mod follower;
mod homes;
pub mod neighbors;
mod service_list;

pub use catalog::{Catalog, SERVICES_MAX};
pub use follower::Follower;
pub use homes::{Home, Homes, PeerProxy};
pub use service_list::{Listed, ServiceList, Taken, CHANGES_KEPT};

/// A point in time or a span, in microseconds, on one clock that never goes back.
pub type Micros = u64;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;
