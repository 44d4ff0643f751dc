//! The configuration that operators send to the gateways: its types, its check, and its lookup tables.
//!
//! [`Configuration::parse`] reads a JSON document and refuses one that is [`Invalid`]. [`RouteTable`] and
//! [`KeyTable`] answer, for each request, which route and which tenant it belongs to. [`diff`] and
//! [`merge`] compare configurations and join changes by entry and field; [`transfer`] packs documents for their way to
//! the gateways. The crate does no I/O.
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
