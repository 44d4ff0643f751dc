//! Merges the workers reported by discovery and by DNS into one view, without I/O.
//!
//! [`hosts::HostList`] is discovery's list, [`Address`] a DNS record. [`resolve()`] decides on the state of a
//! worker where both report it; [`Membership`] tracks the reports and produces the updates for the decision
//! logic. With discovery alone, its list is passed on unchanged.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hosts;
mod members;
pub mod resolution;

pub use members::{Address, Membership, MembershipUpdate, Sources, WorkerLocation, WorkerUpdate};
pub use resolution::{DnsStatus, ListStatus, WorkerState};
