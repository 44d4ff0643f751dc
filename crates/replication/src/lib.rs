//! Replication of the operator's configuration: consensus on one state, membership of voters, and read freshness.
//!
//! The state is a register changed by compare-and-set under ballots, with no leader and no log
//! (`docs/agreement.md`). A change is *decided* once a majority of the voters has it on disk, in more than one zone
//! where there are several. A replica is *current* as of a moment if a majority of the voters, asked at or after it,
//! had nothing newer. The crate does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod freshness;
mod peers;
mod planner;
mod proposer;
pub mod quorum;
mod replica;
mod state;
mod trials;

pub use acceptor::{Disk, Record};
pub use freshness::{signed, Freshness};
pub use hingestage_rpc::digest;
pub use planner::VoterPolicy;
pub use replica::{OutgoingRequest, Replica, ReplicaConfig};
pub use state::State;
pub use trials::{DurableTrials, TrialSet, TrialsVersion};

/// A point in time or a duration in microseconds, on one process's monotonic clock.
pub type Micros = u64;
