//! Rehearsals: a fleet of real processes of the program among stand-ins on loopback, a load, and faults between
//! them; recorded first and judged afterwards, from outside.
//!
//! `script`, `file`, `draw`, `front`, `lateness`, `shrink`, `sums` and `judge` are values without I/O; `links`, `process`,
//! `world` and `load` are the world; `run` plays.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod draw;
pub mod file;
pub mod front;
pub mod judge;
mod keepers;
pub mod lateness;
mod links;
mod load;
mod page;
pub mod places;
mod policies;
mod process;
pub mod record;
mod run;
pub mod script;
pub mod shrink;
pub mod sums;
mod world;

pub use process::leash;
pub use run::{run, Args, Outcome};
