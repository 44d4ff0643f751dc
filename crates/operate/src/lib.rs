//! Lifecycle and metrics of a gateway, without I/O.
//!
//! [`Lifecycle`] decides whether clients are accepted and how connections end while a gateway drains, hands
//! over to a successor or shuts down; [`Metrics`] counts requests by result.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod figures;
mod life;

pub use figures::{Ending, Figures, Gauges, SrvFigures};
pub use life::{Life, Told};
