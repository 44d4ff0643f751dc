//! Calls between the processes of the system: typed messages, framing, connections.
//!
//! A call is one request and one answer; many can be under way on one connection. A server may take its time
//! with an answer (a watch), so news needs no second kind of message.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod digest;
mod frame;
pub mod messages;
mod server;
pub mod status;
pub mod trials;
pub mod workers;

pub use client::{CallError, Client};
pub use digest::digest;
pub use frame::{decoded, encoded, FrameError, PROTOCOL_VERSION};
pub use server::{serve, Handler};
