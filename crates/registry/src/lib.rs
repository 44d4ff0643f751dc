//! The registry: takes the calls of operators and of clients that ask where to go, hears the proxies, reads the
//! platform's list of workers, and hands out what is in force.
//!
//! All that it knows is soft: the stores keep the operator's orders, proxies and the platform tell the rest again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod directory;
pub mod duty;
pub mod first_terms;
mod http;
pub mod platform_list;
pub mod server;
mod state;
pub mod transfers;
mod trial_calls;
pub mod trials;
pub mod watch;
