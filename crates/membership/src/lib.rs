//! Who the workers are, without I/O: what each source says of them, since when, and the one rule that joins it.
//!
//! Sources are the list of discovery ([`hosts::HostList`]) and addresses from DNS ([`Address`]). [`rule`] has the
//! rule as a pure function, [`Membership`] applies it and gives what to tell the decisions. With the list alone
//! every word of it is passed on as it is.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hosts;
mod members;
pub mod rule;

pub use members::{Address, Change, Located, Membership, Sources, Told};
pub use rule::{ListWord, SrvWord, Verdict};
