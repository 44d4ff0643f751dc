//! The configuration of the gateways: types, validation and lookup tables.
//!
//! [`Configuration::parse`] parses and validates a JSON document. [`RouteTable`] and [`KeyTable`] find the route and the
//! tenant of a request. [`diff`] compares configurations, [`merge`] is a three-way merge by entry and field, and
//! [`transfer`] compresses documents for distribution. The crate does no I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod diff;
mod fields;
mod invalid;
mod lookup;
mod merge;
mod model;
mod rules;
mod serial;
mod text;
pub mod transfer;

pub use diff::{diff, Change, Difference};
pub use invalid::{Entry, Invalid, Rule};
pub use lookup::{KeyTable, RouteTable};
pub use merge::{merge, Conflict, Side};
pub use model::{Backend, Configuration, Kind, Limits, Route, Share, Tenant};
pub use serial::{InvalidSerial, Serial};
