//! Messages with which gateways exchange their counts.

use crate::Micros;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Identifies a gateway across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u64);

/// Identifies one run of a gateway. Later runs have greater values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The changed counts of one gateway, sent to one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adds {
    /// The run of the sender.
    pub incarnation: Incarnation,
    /// Incremented with every push of this run.
    pub sequence: u64,
    /// Tenants with counts that the owner has not confirmed.
    pub tenants: Vec<TenantAdd>,
}

/// One gateway's count of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantAdd {
    /// The tenant.
    pub tenant: CompactString,
    /// Requests since the run began, excluding refunded ones.
    pub cumulative: u64,
    /// Requests within the last window, used if the owner has no earlier count.
    pub recent: u32,
    /// Open requests.
    pub open: u32,
    /// Length of the window, µs.
    pub window: Micros,
}

/// The answer to [`Adds`]: totals over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// The run of the push that is answered.
    pub incarnation: Incarnation,
    /// The sequence number of the push that is answered.
    pub sequence: u64,
    /// One total for each tenant of the push.
    pub tenants: Vec<TenantTotal>,
}

/// A tenant's count over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant.
    pub tenant: CompactString,
    /// The requesting gateway's cumulative count that the owner has recorded.
    pub counted: u64,
    /// The sliding-window count over all gateways.
    pub total: f64,
    /// The requesting gateway's portion of `total`.
    pub yours: f64,
    /// Open requests over all gateways.
    pub open: u32,
    /// Number of gateways that contributed within about one window.
    pub gateways: u32,
}
