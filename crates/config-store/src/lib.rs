//! The store of configuration: replicas of the operator's orders as plain files, mended by comparing versions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod files;
pub mod server;
