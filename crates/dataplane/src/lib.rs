//! What carries requests from clients to workers and answers back, without the words of any one platform.
//!
//! Between the two sides: [`driver`] owns the decisions and the open requests, [`hooks`] is what may stand beside it.
//! Workers' side: [`workers`] keeps pooled connections and makes attempts in the words of a [`dialect`].
//! Clients' side: [`connections`] takes clients in, whatever answers them; [`collect`] reads bodies within bounds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body;
pub mod client;
pub mod collect;
pub mod connections;
pub mod dialect;
pub mod driver;
pub mod heads;
pub mod hooks;
pub mod passing;
pub mod wire;
pub mod workers;

use hingestage_platform::Platform;

/// Reports something odd from outside, sparsely: what repeats says so at powers of two only.
pub fn note(platform: &impl Platform, count: &std::cell::Cell<u64>, what: impl std::fmt::Display) {
    count.set(count.get() + 1);
    if count.get().is_power_of_two() {
        platform.log(format_args!("{what} (time {})", count.get()));
    }
}
