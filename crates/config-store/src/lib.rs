//! The configuration store: a replica of the operator's configuration with file storage, networking and an audit log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod data_dir;
pub mod server;
