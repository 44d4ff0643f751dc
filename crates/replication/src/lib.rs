//! Replicas of the operator's orders: agreement on one state, who votes, how far back a replica may be.
//!
//! No leader and no log: the state is a register that is changed by compare-and-set under ballots (`docs/agreement.md`).
//! A change is *decided* once a majority of the voters, in more than one zone where there are several, has it on disk. A
//! replica is *current* as of a moment when a majority of the voters, asked since then, had nothing newer. No clock, disk
//! or socket is touched here.
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
pub use planner::Plan;
pub use replica::{Figures, Outgoing, Replica};
pub use state::State;
pub use trials::{DurableTrials, TrialSet, TrialsVersion};

/// A point in time or a span, microseconds, on one process's steady clock.
pub type Micros = u64;
