//! Replicas of the operator's orders: which version holds, when it is durable, how far back a replica may be.
//!
//! No leader and no log: the highest version holds, and replicas mend each other by comparing what they have.
//! A change is *durable* once a majority of the replicas, in more than one zone where there are several, has it
//! on disk. A replica is *current* as of a moment when so many others said since then that they have nothing
//! newer that any durable change must have been among them. No clock, disk or socket is touched here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod freshness;
mod quorum;
mod replica;
mod state;
mod trials;

pub use freshness::{signed, Freshness};
pub use hingestage_rpc::digest;
pub use quorum::Quorum;
pub use replica::{Figures, Replica};
pub use state::State;
pub use trials::{DurableTrials, TrialChanges, TrialSet, TrialsVersion};

/// A point in time or a span, microseconds, on one process's steady clock.
pub type Micros = u64;
