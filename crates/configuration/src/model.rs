//! The types of a configuration, as they are written in its JSON document.

use crate::rules;
use crate::text::{duration, empty_as_none, null_as_default, number};
use crate::Serial;
use compact_str::CompactString;
use garde::Validate;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version.
    pub serial: Serial,
    /// Where requests go.
    #[serde(deserialize_with = "null_as_default")]
    pub routes: Vec<Route>,
    /// The services that routes name.
    #[serde(deserialize_with = "null_as_default")]
    pub backends: Vec<Backend>,
    /// Bounds on what clients may send.
    #[serde(default, deserialize_with = "null_as_default")]
    pub limits: Limits,
    /// The tenants. With none, requests need no key.
    #[serde(default, deserialize_with = "null_as_default", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// Whether a request may run more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    #[default]
    Mutating,
    /// A text that names no kind; the check refuses it.
    Unknown(CompactString),
}

const IDEMPOTENT: &str = "idempotent";
const MUTATING: &str = "mutating";

impl Kind {
    /// The kind as it is written in a document.
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

fn one_try() -> u32 {
    1
}

fn http1() -> CompactString {
    CompactString::const_new("h1")
}

/// A route: which requests it takes, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Route {
    /// The name, unique among routes.
    pub name: CompactString,
    /// The host that requests name, in any case of letters.
    #[serde(default)]
    #[garde(custom(rules::host))]
    pub host: CompactString,
    /// The beginning of the paths it takes; begins and ends with a slash.
    #[serde(default)]
    #[garde(custom(rules::prefix))]
    pub prefix: CompactString,
    /// Whether its requests may run more than once.
    #[serde(default = "missing_kind")]
    #[garde(custom(rules::kind))]
    pub kind: Kind,
    /// The longest time a request may be held.
    #[serde(default, with = "duration")]
    #[garde(custom(rules::timeout))]
    pub timeout: Duration,
    /// The time within which an answer has its full worth; zero if none is given.
    #[serde(default, with = "duration")]
    #[garde(custom(rules::target_time(&self.timeout)))]
    pub target_time: Duration,
    /// The rank of its requests; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The one service of the route, if it has no split.
    #[serde(default, deserialize_with = "empty_as_none", skip_serializing_if = "Option::is_none")]
    pub backend: Option<CompactString>,
    /// Services that share the requests by weight; takes precedence over `backend`.
    #[serde(default, deserialize_with = "null_as_default", skip_serializing_if = "Vec::is_empty")]
    #[garde(dive, custom(rules::split(&self.backend)))]
    pub split: Vec<Share>,
    /// The largest number of workers that one attempt may be sent to.
    #[serde(default = "one_try")]
    pub tries: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// The only regions that may serve the route; empty for any.
    #[serde(default, deserialize_with = "null_as_default")]
    pub allow_regions: Vec<CompactString>,
}

/// One service of a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Share {
    /// The name of the service.
    pub backend: CompactString,
    /// Its weight beside the others of the route.
    #[serde(with = "number")]
    #[garde(custom(rules::weight))]
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Backend {
    /// The name, unique among backends.
    pub name: CompactString,
    /// The path of its health check.
    #[serde(default)]
    pub health_path: CompactString,
    /// The connections that one worker takes from all gateways together; 0 for no bound.
    #[serde(default)]
    pub max_conns: u32,
    /// The protocol that its workers speak.
    #[serde(default = "http1")]
    pub protocol: CompactString,
    /// Whether its workers are reached by TLS.
    #[serde(default)]
    pub tls: bool,
    /// How long a worker is cold after its start.
    #[serde(default, with = "duration")]
    pub cold_start: Duration,
    /// The requests a second that a cold worker bears; 0 for no bound.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub cold_per_s: f64,
}

/// Bounds on what a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest head of a request.
    pub max_header_bytes: u64,
    /// The largest body of a request.
    pub max_body_bytes: u64,
    /// The longest time that a head may take to arrive.
    #[serde(with = "duration")]
    pub header_timeout: Duration,
    /// The longest time that a connection may stay idle.
    #[serde(with = "duration")]
    pub idle_timeout: Duration,
}

const DEFAULT_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_BODY_BYTES: u64 = 64 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: DEFAULT_HEADER_BYTES,
            max_body_bytes: DEFAULT_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A tenant, known by the keys of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Tenant {
    /// The name, unique among tenants.
    pub name: CompactString,
    /// Its keys; no other tenant may have one of them.
    #[serde(default, deserialize_with = "null_as_default")]
    pub api_keys: Vec<CompactString>,
    /// The rank of its requests, in place of the route's; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The requests a second over all gateways; 0 for no limit.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub rate_per_s: f64,
    /// The requests allowed on top of the rate.
    #[serde(default, with = "number")]
    #[garde(custom(rules::rate))]
    pub burst: f64,
    /// The only regions that may serve the tenant; empty for any.
    #[serde(default, deserialize_with = "null_as_default")]
    pub allow_regions: Vec<CompactString>,
}

impl Route {
    /// The service for one request, chosen by weight; `draw` is uniform in `[0, 1)`.
    pub fn choose(&self, draw: f64) -> &str {
        let total: f64 = self.split.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        let mut chosen = self.backend.as_deref().unwrap_or_default();
        for share in self.split.iter().filter(|share| share.weight > 0.0) {
            chosen = &share.backend;
            if left < share.weight {
                break;
            }
            left -= share.weight;
        }
        chosen
    }
}
