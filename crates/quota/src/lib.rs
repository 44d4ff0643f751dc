//! Distributed rate limits that many gateways enforce together, without I/O.
//!
//! Every gateway holds an [`EvenShare`] of each shared limit under a lease and never admits more than its share
//! ([`SharedBucket`]), so the total stays within the limit even if gateways cannot reach each other. Counts
//! that gateways exchange ([`TenantTable::collect_adds`], [`OwnerTable`]) improve penalty decisions, but no
//! bound depends on them.
//!
//! Time is passed in as [`Micros`] of one monotonic clock. The crate reads no clock, socket or random source.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod borrowing;
mod bucket;
mod cold;
mod hash;
mod lru;
mod messages;
mod owner;
mod retry;
mod share_holder;
mod share_messages;
mod share_meter;
mod share_owner;
mod sliding;
mod table;

pub use borrowing::Borrowing;
pub use bucket::{BucketLimit, SharedBucket};
pub use cold::{ColdBudget, ColdLimit};
pub use hash::owner;
pub use messages::{Adds, GatewayId, Incarnation, TenantAdd, TenantTotal, Totals};
pub use owner::{OwnerSettings, OwnerTable};
pub use retry::{RetryBudget, RetryLimit};
pub use share_holder::ShareHolder;
pub use share_messages::{ShareAnswer, ShareGrant, ShareReport, Term, WHOLE};
pub use share_meter::{EvenShare, ShareMeter};
pub use share_owner::{ShareOwner, ShareSettings};
pub use sliding::SlidingCount;
pub use table::{Admission, RefusalReason, TableSettings, TenantLimits, TenantTable};

/// A point in time or a duration in microseconds, on one monotonic clock.
pub type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: Micros = 1_000_000;

/// Converts a duration to seconds.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Converts seconds to a duration, rounding up and saturating at the bounds of [`Micros`].
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).ceil() as Micros
}
