//! Common limits that many gateways keep together, without I/O.
//!
//! Every gateway holds a [`Part`] of each common limit under a lease, and never gives out more than its part
//! ([`SharedBucket`]). The sum therefore holds whether the gateways can reach each other or not. Counts that the
//! gateways tell each other ([`TenantTable::collect_adds`], [`OwnerTable`]) sharpen the judgement of tenants, but
//! no bound depends on them.
//!
//! Time is passed in as [`Micros`] of one steady clock. Nothing here reads a clock, a socket or a random source.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod borrowing;
mod bucket;
mod cold;
mod hash;
mod lru;
mod messages;
mod owner;
mod part;
mod retry;
mod share_holder;
mod share_messages;
mod share_owner;
mod sliding;
mod table;

pub use borrowing::Borrowing;
pub use bucket::{BucketLimit, SharedBucket};
pub use cold::{ColdBudget, ColdLimit};
pub use hash::owner;
pub use messages::{Adds, GatewayId, Incarnation, TenantAdd, TenantTotal, Totals};
pub use owner::{OwnerSettings, OwnerTable};
pub use part::{Part, PartMeter};
pub use retry::{RetryBudget, RetryLimit};
pub use share_holder::ShareHolder;
pub use share_messages::{ShareAnswer, ShareGrant, ShareReport, Term, WHOLE};
pub use share_owner::{ShareOwner, ShareSettings};
pub use sliding::SlidingCount;
pub use table::{Admission, RefusalReason, TableSettings, TenantLimits, TenantTable};

/// A point in time or a span, in microseconds, on one clock that never goes back.
pub type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: Micros = 1_000_000;

/// A span in seconds.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// A span of so many seconds; what can't be expressed becomes the longest span.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).ceil() as Micros
}
