//! The settings file (YAML) of a process: its identity, its addresses and its limits.
//!
//! Unknown fields are ignored, for compatibility with later releases of the platform.

use garde::Validate;
use serde::de::{Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "HINGESTAGE_SETTINGS";

/// Safety margin subtracted from the time between SIGTERM and SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    /// File with initial trial terms, from the command line; a registry applies it if none are set.
    #[garde(skip)]
    #[serde(skip)]
    pub first_terms: Option<PathBuf>,
    /// Host name; stable across restarts.
    #[garde(length(min = 1, max = 128))]
    pub node: String,
    /// Role in the deploy file.
    #[garde(length(max = 128))]
    #[serde(default)]
    pub role: String,
    /// Address of the host.
    #[garde(skip)]
    pub ip: IpAddr,
    /// Zone of the host.
    #[garde(length(min = 1, max = 128))]
    pub zone: String,
    /// Region of the host.
    #[garde(length(min = 1, max = 128))]
    pub region: String,
    /// Region of each zone.
    #[garde(length(max = 10_000))]
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Externally reachable addresses.
    #[garde(skip)]
    #[serde(default)]
    pub listen: Listen,
    /// First and last port for internal traffic.
    #[garde(custom(validate_port_range))]
    pub port_range: (u16, u16),
    /// Operator-provided addresses of some core nodes.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[garde(skip)]
    #[serde(default)]
    pub bootstrap: bool,
    /// Resource limits.
    #[garde(dive)]
    #[serde(default)]
    pub limits: Limits,
    /// Persistent data directory, if the host has a disk.
    #[garde(skip)]
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Heartbeat interval between processes.
    #[garde(skip)]
    #[serde(default = "default_beat", deserialize_with = "duration")]
    pub beat: Duration,
    /// Simultaneous failures to tolerate.
    #[garde(skip)]
    #[serde(default)]
    pub tolerate: Tolerate,
    /// Deadlines and limits that the system must meet.
    #[garde(skip)]
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's worker list API.
    #[garde(dive)]
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
}

/// Externally reachable addresses; each role serves some of them.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// Client requests.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Readiness probe.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Operator API.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// Directory of proxies for clients.
    #[serde(default)]
    pub dir: Option<SocketAddr>,
}

/// Resource limits of a process.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Limits {
    /// Memory, MB.
    #[garde(range(min = 16))]
    #[serde(default = "default_memory")]
    pub mem_mb: u64,
    /// File descriptors.
    #[garde(range(min = 64))]
    #[serde(default = "default_descriptors")]
    pub max_fds: usize,
    /// Network bandwidth, Mbit/s.
    #[garde(range(min = 0.01))]
    #[serde(default = "default_link")]
    pub net_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { mem_mb: default_memory(), max_fds: default_descriptors(), net_mbps: default_link() }
    }
}

/// Simultaneous failures to tolerate.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Tolerate {
    /// Core nodes.
    #[serde(default)]
    pub machines: usize,
    /// Zones.
    #[serde(default)]
    pub zones: usize,
}

/// Deadlines and limits that the system must meet. The defaults are those of the first deployments.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Duration of uninterrupted contact after which the deadlines apply to a host.
    #[serde(deserialize_with = "duration")]
    pub contact: Duration,
    /// Deadline for acknowledging a valid order.
    #[serde(deserialize_with = "duration")]
    pub ack: Duration,
    /// Deadline for the last request to a draining worker.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    #[serde(deserialize_with = "duration")]
    pub grace: Duration,
    /// Deadline for applying an acknowledged configuration.
    #[serde(deserialize_with = "duration")]
    pub apply: Duration,
    /// Whether revocations also bind partitioned processes.
    pub revoke_strict: bool,
    /// Deadline for rejecting a revoked key.
    #[serde(deserialize_with = "duration")]
    pub revoke: Duration,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    #[serde(deserialize_with = "duration")]
    pub retry_window: Duration,
    /// Retries allowed on top of the ratio.
    pub retry_slack: f64,
    /// Window over which a tenant's requests are counted.
    #[serde(deserialize_with = "duration")]
    pub quota_window: Duration,
    /// Fraction by which a quota may be exceeded.
    pub quota_excess: f64,
    /// Requests by which a quota may be exceeded.
    pub quota_slack: f64,
    /// Tolerance factor on the rate of a cold worker.
    pub cold_excess: f64,
    /// Requests per second on top of that factor.
    pub cold_slack: f64,
    /// Deadline for the last request to an evacuated zone.
    #[serde(deserialize_with = "duration")]
    pub evac: Duration,
    /// Maximum time for which clients cache a directory answer.
    #[serde(deserialize_with = "duration")]
    pub ttl_max: Duration,
}

impl Bounds {
    /// How long a process may take to end after SIGTERM.
    pub fn shutdown_time(&self) -> Duration {
        self.grace.saturating_sub(GRACE_MARGIN)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact: Duration::from_secs(4),
            ack: Duration::from_secs(6),
            drain: Duration::from_millis(2_500),
            grace: Duration::from_secs(6),
            apply: Duration::from_millis(2_500),
            revoke_strict: true,
            revoke: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
            quota_window: Duration::from_secs(5),
            quota_excess: 0.1,
            quota_slack: 20.0,
            cold_excess: 1.5,
            cold_slack: 5.0,
            evac: Duration::from_secs(5),
            ttl_max: Duration::from_secs(5),
        }
    }
}

/// The platform's worker list API.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct CloudApi {
    /// Address.
    #[garde(skip)]
    pub addr: SocketAddr,
    /// Accepted calls per second, shared by the whole system.
    #[garde(range(min = 0.01))]
    #[serde(default = "default_call_rate")]
    pub rate_per_s: f64,
    /// Maximum staleness of the list.
    #[garde(skip)]
    #[serde(default = "default_lag", deserialize_with = "duration")]
    pub lag: Duration,
}

/// Ports of internal services, as offsets into the port range; the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// Registry, on core nodes.
    Registry = 0,
    /// Configuration store, on core nodes.
    ConfigStore = 1,
    /// Proxy, on edge nodes.
    Proxy = 2,
}

impl Settings {
    /// Reads and validates the file named by [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    ///
    /// One line that names the file and the field.
    pub fn load() -> Result<Settings, String> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| format!("{SETTINGS_VARIABLE} is not set"))?;
        Settings::read(Path::new(&path))
    }

    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// One line that names the file and the field.
    pub fn read(path: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// One line that names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_norway::from_str(text).map_err(|e| join_lines(&e.to_string()))?;
        settings.validate().map_err(|report| join_lines(&report.to_string()))?;
        Ok(settings)
    }

    /// The region of a zone, if known.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// Whether a zone is known to be in another region than this host.
    pub fn is_remote_region(&self, zone: &str) -> bool {
        self.region_of(zone).is_some_and(|region| region != self.region)
    }

    /// Address of an internal service on this host.
    pub fn internal_addr(&self, port: InternalPort) -> SocketAddr {
        self.internal_addr_at(self.ip, port)
    }

    /// Address of an internal service on another host.
    pub fn internal_addr_at(&self, ip: IpAddr, port: InternalPort) -> SocketAddr {
        SocketAddr::new(ip, self.port_range.0 + port as u16)
    }
}

fn join_lines(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn validate_port_range(range: &(u16, u16), _: &()) -> garde::Result {
    let needed = InternalPort::Proxy as u16;
    match range.1.checked_sub(range.0) {
        Some(more) if more >= needed => Ok(()),
        _ => Err(garde::Error::new("has too few ports")),
    }
}

fn default_beat() -> Duration {
    Duration::from_millis(1_500)
}

fn default_lag() -> Duration {
    Duration::from_secs(1)
}

fn default_call_rate() -> f64 {
    10.0
}

fn default_memory() -> u64 {
    256
}

fn default_link() -> f64 {
    100.0
}

fn default_descriptors() -> usize {
    1_024
}

/// Parses a duration: a number followed by `ms` or `s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

fn duration<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    source.deserialize_str(DurationVisitor)
}

/// Deserializes a duration from its text, so that errors name the field.
struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = Duration;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a duration such as `1500ms` or `2.5s`")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Duration, E> {
        parse_duration(text).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
    }
}
