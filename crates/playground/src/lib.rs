//! A whole small system on loopback addresses: three core machines, four proxies, workers and their list, an
//! operator and clients. For whoever wants to see the system work before reading about it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod expiry;
pub mod http;
pub mod layout;
pub mod operator;
pub mod processes;
mod run;
mod seeds;
pub mod soak;
pub mod surroundings;
mod table;
pub mod tally;

pub use run::{run, Args};
