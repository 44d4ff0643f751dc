//! The settings file of one process (YAML): who it is, where it listens, and the bounds it has to keep.
//!
//! Fields that are not listed here are ignored: later releases of the platform may add some.

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

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    /// File with terms of trials that a registry sets where none have been set, from the command line.
    #[garde(skip)]
    #[serde(skip)]
    pub first_terms: Option<PathBuf>,
    /// Name of the machine; stays the same when its processes are started again.
    #[garde(length(min = 1, max = 128))]
    pub node: String,
    /// Name of the role in the deploy file.
    #[garde(length(max = 128))]
    #[serde(default)]
    pub role: String,
    /// Address of the machine.
    #[garde(skip)]
    pub ip: IpAddr,
    /// Zone of the machine.
    #[garde(length(min = 1, max = 128))]
    pub zone: String,
    /// Region of the machine.
    #[garde(length(min = 1, max = 128))]
    pub region: String,
    /// Region of each zone.
    #[garde(length(max = 10_000))]
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses that are called from outside.
    #[garde(skip)]
    #[serde(default)]
    pub listen: Listen,
    /// First and last port for traffic between processes of the system.
    #[garde(custom(is_range))]
    pub port_range: (u16, u16),
    /// Operators' addresses of some core machines.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[garde(skip)]
    #[serde(default)]
    pub bootstrap: bool,
    /// Limits on what this process may use.
    #[garde(dive)]
    #[serde(default)]
    pub limits: Limits,
    /// Directory on the machine's disk, where it has one.
    #[garde(skip)]
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Period within which processes of the system hear from each other.
    #[garde(skip)]
    #[serde(default = "default_beat", deserialize_with = "duration")]
    pub beat: Duration,
    /// Losses that may happen together without any rule being broken.
    #[garde(skip)]
    #[serde(default)]
    pub tolerate: Tolerate,
    /// Figures of the rules.
    #[garde(skip)]
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's list of workers.
    #[garde(dive)]
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
}

/// Addresses that are called from outside; each role has those that it serves.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// Where clients send requests.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Where the operator calls.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// Where clients ask which proxies there are.
    #[serde(default)]
    pub dir: Option<SocketAddr>,
}

/// Limits on what a process may use.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Limits {
    /// Memory, MB.
    #[garde(range(min = 16))]
    #[serde(default = "default_memory")]
    pub mem_mb: u64,
    /// Open descriptors.
    #[garde(range(min = 64))]
    #[serde(default = "default_descriptors")]
    pub max_fds: usize,
    /// What the machine's link carries, Mbit/s.
    #[garde(range(min = 0.01))]
    #[serde(default = "default_link")]
    pub net_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { mem_mb: default_memory(), max_fds: default_descriptors(), net_mbps: default_link() }
    }
}

/// Losses that may happen together without any rule being broken.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Tolerate {
    /// Machines with a disk.
    #[serde(default)]
    pub machines: usize,
    /// Whole zones.
    #[serde(default)]
    pub zones: usize,
}

/// Figures of the rules. What a settings file leaves out has the value of the first deployments.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Age of undisturbed contact after which time bounds hold for a machine.
    #[serde(deserialize_with = "duration")]
    pub contact: Duration,
    /// Time within which a proper order is acknowledged.
    #[serde(deserialize_with = "duration")]
    pub ack: Duration,
    /// Time within which a worker that leaves gets nothing more.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    #[serde(deserialize_with = "duration")]
    pub grace: Duration,
    /// Time within which an acknowledged configuration is in force.
    #[serde(deserialize_with = "duration")]
    pub apply: Duration,
    /// Whether keys that were taken away bind processes that are cut off, too.
    pub revoke_strict: bool,
    /// Time within which a key that was taken away is refused.
    #[serde(deserialize_with = "duration")]
    pub revoke: Duration,
    /// Further attempts allowed for each request.
    pub retry_ratio: f64,
    /// Span over which further attempts are counted.
    #[serde(deserialize_with = "duration")]
    pub retry_window: Duration,
    /// Further attempts allowed beside the ratio.
    pub retry_slack: f64,
    /// Span over which a tenant's requests are counted.
    #[serde(deserialize_with = "duration")]
    pub quota_window: Duration,
    /// Part of a quota by which it may be exceeded.
    pub quota_excess: f64,
    /// Requests by which a quota may be exceeded.
    pub quota_slack: f64,
    /// Factor on what a cold worker bears in a second.
    pub cold_excess: f64,
    /// Requests in a second beside that factor.
    pub cold_slack: f64,
    /// Time within which an evacuated zone gets nothing more.
    #[serde(deserialize_with = "duration")]
    pub evac: Duration,
    /// The longest time for which clients hold an answer about where to go.
    #[serde(deserialize_with = "duration")]
    pub ttl_max: Duration,
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

/// The platform's list of workers.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct CloudApi {
    /// Where it is asked.
    #[garde(skip)]
    pub addr: SocketAddr,
    /// Calls a second that it accepts from the whole system.
    #[garde(range(min = 0.01))]
    #[serde(default = "default_call_rate")]
    pub rate_per_s: f64,
    /// How far it lags behind the truth.
    #[garde(skip)]
    #[serde(default = "default_lag", deserialize_with = "duration")]
    pub lag: Duration,
}

/// Ports of the system's own traffic, counted from the first of the range, alike on all machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InnerPort {
    /// Registries, on core machines.
    Registry = 0,
    /// Stores of configuration, on core machines.
    ConfigStore = 1,
    /// Proxies, on edge machines.
    Proxy = 2,
}

impl Settings {
    /// Reads and checks the file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// One line that names the file and the field.
    pub fn load() -> Result<Settings, String> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| format!("{SETTINGS_VARIABLE} is not set"))?;
        Settings::read(Path::new(&path))
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line that names the file and the field.
    pub fn read(path: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// One line that names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_norway::from_str(text).map_err(|e| one_line(&e.to_string()))?;
        settings.validate().map_err(|report| one_line(&report.to_string()))?;
        Ok(settings)
    }

    /// The region of a zone, where the platform names it.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// Whether a zone is known to be in another region than this machine.
    pub fn is_far(&self, zone: &str) -> bool {
        self.region_of(zone).is_some_and(|region| region != self.region)
    }

    /// The address for the system's own traffic of a kind of process on this machine.
    pub fn inner(&self, port: InnerPort) -> SocketAddr {
        self.inner_at(self.ip, port)
    }

    /// The same on another machine.
    pub fn inner_at(&self, ip: IpAddr, port: InnerPort) -> SocketAddr {
        SocketAddr::new(ip, self.port_range.0 + port as u16)
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn is_range(range: &(u16, u16), _: &()) -> garde::Result {
    let needed = InnerPort::Proxy as u16;
    match range.1.checked_sub(range.0) {
        Some(more) if more >= needed => Ok(()),
        _ => Err(garde::Error::new("names too few ports")),
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

/// A span of time as the platform writes it: a number, then `ms` or `s`.
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

/// Reads a span from the text itself, so that an error names the field it stands in.
struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = Duration;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a time such as `1500ms` or `2.5s`")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Duration, E> {
        parse_duration(text).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
    }
}
