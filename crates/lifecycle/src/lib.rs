//! Lifecycle and metrics of a gateway, without I/O.
//!
//! [`Lifecycle`] decides whether clients are accepted and how connections end while a gateway drains, hands
//! over to a successor or shuts down; [`Metrics`] counts requests by result.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lifecycle;
mod metrics;

pub use lifecycle::{Lifecycle, LifecycleEvent};
pub use metrics::{Gauges, Metrics, RequestResult, SrvMetrics};
