//! Small worlds tried whole: every order of events up to a stated depth, each state once, the rules as
//! invariants after each step. `docs/small-worlds.md` says how to add a state machine.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agreement;
pub mod decisions;
pub mod search;
