//! The form in which discovery lists workers.

use serde::Deserialize;

/// A list of workers, or what changed of it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct HostList {
    /// Its version.
    pub rev: u64,
    /// Whether it names all workers.
    #[serde(default)]
    pub all: bool,
    /// The workers.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One worker as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The same at every gateway, for as long as the worker lives.
    pub uid: String,
    /// Where it listens; may differ between gateways.
    #[serde(default)]
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Workers of one group share which keys they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or `removed`.
    #[serde(default)]
    pub state: String,
    /// Its size, for comparison with others.
    pub capacity_hint: Option<f64>,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

impl Target {
    /// One of which only the address is known.
    pub fn nameless() -> Target {
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
