//! The JSON form of discovery's worker list.

use serde::Deserialize;

/// A full list of workers, or the changes since the previous one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct HostList {
    /// Revision.
    pub rev: u64,
    /// Whether this is a full list.
    #[serde(default)]
    pub all: bool,
    /// The listed workers.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// A listed worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Unique id, the same at every gateway for the life of the worker.
    pub uid: String,
    /// Address; may differ between gateways.
    #[serde(default)]
    pub endpoint: String,
    /// Zone.
    #[serde(default)]
    pub az: String,
    /// Workers of one group share idempotency keys.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or `removed`.
    #[serde(default)]
    pub state: String,
    /// Relative capacity.
    pub capacity_hint: Option<f64>,
    /// Last start, Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

impl Target {
    /// A worker of which nothing but the address is known.
    pub fn anonymous() -> Target {
        Target {
            uid: String::new(),
            endpoint: String::new(),
            az: String::new(),
            pod_group: 0,
            state: String::new(),
            capacity_hint: None,
            boot_ms: 0,
        }
    }
}
