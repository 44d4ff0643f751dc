//! What operators ask of a gateway in service, decided without input or output.
//!
//! [`Life`] says whether clients are wanted and what becomes of their connections while a gateway drains, hands
//! on to a successor or stops; [`Figures`] count what became of requests. Both are plain values: the gateway's
//! sockets stand round them (`crates/gateway`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod figures;
mod life;

pub use figures::{Ending, Figures, Gauges, SrvFigures};
pub use life::{Life, Told};
