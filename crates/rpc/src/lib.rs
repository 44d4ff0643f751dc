//! RPC between the processes of the system: message types, framing, client and server.
//!
//! A call is one request and one answer; a connection multiplexes many calls. A server may delay an answer until
//! there is a change to report (long polling).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod digest;
mod frame;
pub mod messages;
mod open_connections;
mod server;
pub mod status;
pub mod trials;
pub mod workers;

pub use client::{CallError, Client};
pub use digest::digest;
pub use frame::{decoded, encoded, FrameError, PROTOCOL_VERSION};
pub use open_connections::{OpenConnection, OpenConnections};
pub use server::{serve, Handler};
