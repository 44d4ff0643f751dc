//! Types of the configuration and their JSON representation.

use crate::rules;
use crate::text::{duration, empty_as_none, null_as_default, number};
use crate::Serial;
use compact_str::CompactString;
use garde::Validate;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// A configuration of the gateways.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; the highest one wins.
    pub serial: Serial,
    /// Routes of requests to services.
    #[serde(deserialize_with = "null_as_default")]
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    #[serde(deserialize_with = "null_as_default")]
    pub backends: Vec<Backend>,
    /// Limits on requests and connections of clients.
    #[serde(default, deserialize_with = "null_as_default")]
    pub limits: Limits,
    /// Tenants; if empty, requests need no API key.
    #[serde(default, deserialize_with = "null_as_default", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// Whether requests may be executed more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once per client attempt.
    #[default]
    Mutating,
    /// An unknown kind, rejected by validation.
    Unknown(CompactString),
}

const IDEMPOTENT: &str = "idempotent";
const MUTATING: &str = "mutating";

impl Kind {
    /// The JSON representation.
    pub fn as_str(&self) -> &str {
        match self {
            Kind::Idempotent => IDEMPOTENT,
            Kind::Mutating => MUTATING,
            Kind::Unknown(text) => text,
        }
    }
}

impl Serialize for Kind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Kind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        Ok(match text.as_str() {
            IDEMPOTENT => Kind::Idempotent,
            MUTATING => Kind::Mutating,
            _ => Kind::Unknown(text),
        })
    }
}

fn missing_kind() -> Kind {
    Kind::Unknown(CompactString::default())
}

fn default_tries() -> u32 {
    1
}

fn default_protocol() -> CompactString {
    CompactString::const_new("h1")
}

/// A rule that matches requests and defines how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Route {
    /// Name, unique among routes.
    pub name: CompactString,
    /// Host of matching requests, case-insensitive.
    #[serde(default)]
    #[garde(custom(rules::host))]
    pub host: CompactString,
    /// Path prefix of matching requests; begins and ends with a slash.
    #[serde(default)]
    #[garde(custom(rules::prefix))]
    pub prefix: CompactString,
    /// Whether requests may be executed more than once.
    #[serde(default = "missing_kind")]
    #[garde(custom(rules::kind))]
    pub kind: Kind,
    /// Maximum duration of a request.
    #[serde(default, with = "duration")]
    #[garde(custom(rules::timeout))]
    pub timeout: Duration,
    /// Response time up to which a response has its full value; zero if unset.
    #[serde(default, with = "duration")]
    #[garde(custom(rules::target_time(&self.timeout)))]
    pub target_time: Duration,
    /// Priority of requests; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The service of the route, unless it has a split.
    #[serde(default, deserialize_with = "empty_as_none", skip_serializing_if = "Option::is_none")]
    pub backend: Option<CompactString>,
    /// Services that share the requests by weight; overrides `backend`.
    #[serde(default, deserialize_with = "null_as_default", skip_serializing_if = "Vec::is_empty")]
    #[garde(dive, custom(rules::split(&self.backend)))]
    pub split: Vec<Share>,
    /// Maximum number of workers that one attempt may be sent to.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// Regions that may serve the route; empty for any.
    #[serde(default, deserialize_with = "null_as_default")]
    pub allow_regions: Vec<CompactString>,
}

/// One service of a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Share {
    /// Name of the service.
    pub backend: CompactString,
    /// Weight relative to the other services of the route.
    #[serde(with = "number")]
    #[garde(custom(rules::weight))]
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Backend {
    /// Name, unique among backends.
    pub name: CompactString,
    /// Path of the health check.
    #[serde(default)]
    pub health_path: CompactString,
    /// Maximum number of connections to one worker from all gateways together; 0 for no limit.
    #[serde(default)]
    pub max_conns: u32,
    /// Protocol of the workers.
    #[serde(default = "default_protocol")]
    pub protocol: CompactString,
    /// Whether connections to workers use TLS.
    #[serde(default)]
    pub tls: bool,
    /// Warm-up time of a worker after its start.
    #[serde(default, with = "duration")]
    pub cold_start: Duration,
    /// Maximum requests per second to a worker that is warming up; 0 for no limit.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub cold_per_s: f64,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head.
    #[serde(with = "duration")]
    pub header_timeout: Duration,
    /// Timeout of idle connections.
    #[serde(with = "duration")]
    pub idle_timeout: Duration,
}

const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A tenant, identified by the API keys of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Tenant {
    /// Name, unique among tenants.
    pub name: CompactString,
    /// API keys, unique among tenants.
    #[serde(default, deserialize_with = "null_as_default")]
    pub api_keys: Vec<CompactString>,
    /// Priority of requests, overriding the route's; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// Requests per second over all gateways; 0 for no limit.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub rate_per_s: f64,
    /// Burst size on top of the rate.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub burst: f64,
    /// Regions that may serve the tenant; empty for any.
    #[serde(default, deserialize_with = "null_as_default")]
    pub allow_regions: Vec<CompactString>,
}

impl Route {
    /// Chooses the service for one request by weight; `draw` is uniform in `[0, 1)`.
    pub fn choose(&self, draw: f64) -> &str {
        let total: f64 = self.split.iter().map(|share| share.weight).sum();
        let mut remaining = draw * total;
        let mut chosen = self.backend.as_deref().unwrap_or_default();
        for share in self.split.iter().filter(|share| share.weight > 0.0) {
            chosen = &share.backend;
            if remaining < share.weight {
                break;
            }
            remaining -= share.weight;
        }
        chosen
    }
}
