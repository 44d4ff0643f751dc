//! The data plane: forwards requests from clients to workers and returns the responses, independent of the
//! platform's protocol.
//!
//! [`driver`] runs the decision logic and owns the open requests; [`hooks`] lets other subsystems take part.
//! On the worker side, [`workers`] pools connections and makes attempts over a [`protocol`];
//! [`attempt_progress`] tells how far one has come. On the client side, [`connections`] accepts clients,
//! [`collect`] reads request bodies and [`shutdown`] ends it all in order.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt_progress;
pub mod body;
pub mod client;
pub mod collect;
pub mod connections;
pub mod driver;
pub mod hooks;
pub mod monitored_stream;
pub mod protocol;
pub mod response_body;
pub mod shutdown;
pub mod tracked_connection;
mod worker_response;
pub mod workers;

use hingestage_platform::Platform;

/// Logs a recurring problem, at occurrences that are powers of two only.
pub fn log_sparsely(platform: &impl Platform, count: &std::cell::Cell<u64>, what: impl std::fmt::Display) {
    count.set(count.get() + 1);
    if count.get().is_power_of_two() {
        platform.log(format_args!("{what} (time {})", count.get()));
    }
}
