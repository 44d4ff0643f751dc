//! Service discovery: versioned lists of workers by service, and their replication.
//!
//! One registry reads the platform's list and assigns versions. All other processes follow: an [index] names the
//! services that have changed, and updates carry their workers, as incremental changes if the sender still has them and
//! as a snapshot otherwise. In each zone one proxy is the [home](Homes) of a service: it fetches the service's updates
//! from a registry and relays them to the other proxies of the zone.
//!
//! The crate does no I/O and reads no clock; time is passed in as [`Micros`].
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
pub use service_list::{ListedWorker, ServiceList, UpdateOutcome, CHANGE_LOG_MAX};

/// A time on a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

const MICROS_PER_MILLI: Micros = 1_000;
