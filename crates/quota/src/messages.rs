//! What gateways tell each other of their counts.

use crate::Micros;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A gateway, the same over its restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u64);

/// One run of a gateway. A later run of the same gateway has a greater one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The counts of one gateway that changed, for one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adds {
    /// The run of the gateway that counts.
    pub incarnation: Incarnation,
    /// Grows with every push of this run.
    pub sequence: u64,
    /// The tenants whose counts the owner may not know yet.
    pub tenants: Vec<TenantAdd>,
}

/// One gateway's count of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantAdd {
    /// The tenant.
    pub tenant: CompactString,
    /// Requests since the run began, without those given back.
    pub cumulative: u64,
    /// Requests within the last window: what counts where the owner doesn't know what came before.
    pub recent: u32,
    /// Requests that are open now.
    pub open: u32,
    /// The window's length.
    pub window: Micros,
}

/// The answer to [`Adds`]: what all gateways together come to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// The run that is answered.
    pub incarnation: Incarnation,
    /// The push that is answered.
    pub sequence: u64,
    /// One for each tenant of the push.
    pub tenants: Vec<TenantTotal>,
}

/// A tenant's count over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant.
    pub tenant: CompactString,
    /// The cumulative count of the gateway asking, as far as the owner knows it.
    pub counted: u64,
    /// The sliding count of all gateways.
    pub total: f64,
    /// What of it is from the gateway asking.
    pub yours: f64,
    /// Requests open at all gateways.
    pub open: u32,
    /// Gateways that contributed within about a window.
    pub gateways: u32,
}
