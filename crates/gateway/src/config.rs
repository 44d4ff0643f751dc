//! The configuration of a gateway: the file named by `RELAY_CONFIG` and environment variables, validated.

use crate::relay_dialect::RelayDialect;
use crate::sites::SitePlans;
use hingestage_dataplane::driver::DriverSettings;
use hingestage_membership::hosts::HostList;
use hingestage_operator::{Fleet, Policy, Srv};
use hingestage_policy::settings::{flatten, settings, Fields, Names};
use hingestage_policy::{Micros, Settings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The configuration file.
#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: FileLimits,
    counter: Option<String>,
    admin: Option<String>,
    #[serde(default)]
    known: HostList,
    settings: serde_json::Value,
}

/// The part of the file that tells whether it names a discovery address.
#[derive(Deserialize)]
struct DiscoveryField {
    discovery: Option<String>,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: u64,
}

/// The smallest memory limit that the platform gives, MB.
fn default_memory_mb() -> u64 {
    32
}

/// The validated configuration.
pub struct Config {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service, which lists the workers.
    pub discovery: SocketAddr,
    /// Address of the shared counter, if any.
    pub counter: Option<SocketAddr>,
    /// Address of the admin server, if any.
    pub admin: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Cached list of workers from an earlier run; may be stale.
    pub cached_workers: HostList,
    /// SRV name that supplies workers, beside discovery or alone; from the operator file.
    pub srv: Option<Srv>,
    /// Failure detection within the fleet; from the operator file.
    pub fleet: Option<Fleet>,
    /// Keepers that supply plans, classes and accounts; from the operator file.
    pub policy: Option<Policy>,
    /// Plans for the loss of sites; from the operator file.
    pub sites: Option<SitePlans>,
    /// Settings of the decision code.
    pub settings: Settings,
    /// The names of classes and plans.
    pub names: Names,
    /// Memory limit, bytes.
    pub memory: u64,
    /// Limit on file descriptors.
    pub sockets: usize,
    /// Maximum number of client connections, a part of the limit on descriptors.
    pub clients_max: usize,
    /// Maximum number of connections to workers, likewise.
    pub workers_max: usize,
    /// Timeout for connecting to a worker.
    pub connect_timeout: Duration,
    /// Idle time after which workers close a connection.
    pub worker_idle_timeout: Duration,
}

/// Descriptors reserved for the listener, counter, discovery, runtime and standard streams, and for those of a
/// successor; for admin calls and the handover socket.
const RESERVED_SOCKETS: usize = 32;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Errors name the field.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let text = Config::read(&variable)?;
        Config::parse(&text, variable)
    }

    /// Reads the file again while running. A discovery address in the file overrides `RELAY_DISCOVERY`, which can't
    /// change after the start of the process.
    pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let text = Config::read(&variable)?;
        let named = serde_json::from_str::<DiscoveryField>(&text).is_ok_and(|file| file.discovery.is_some());
        Config::parse(&text, |name| variable(name).filter(|_| !(named && name == "RELAY_DISCOVERY")))
    }

    fn read(variable: &impl Fn(&str) -> Option<String>) -> Result<String, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }

    /// What the driver goes by.
    pub fn driver_settings(&self) -> DriverSettings {
        DriverSettings {
            policy: self.settings.clone(),
            seed: self.seed,
            class_names: self.names.classes.clone(),
            max_worker_connections: self.workers_max,
            connect_timeout: self.connect_timeout,
            worker_idle_timeout: self.worker_idle_timeout,
            protocol: Rc::new(RelayDialect),
        }
    }

    /// Checks a configuration. The message of an error names the field.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        let mut pairs = Vec::new();
        flatten("", &file.settings, &mut pairs);
        let fields = Fields::from_pairs("settings", &pairs);
        let (mut settings, names) = settings(&fields)?;
        // Retry-After may be sent to any client on a socket, whether or not it is known to heed it.
        let retry_after_max = fields.span_or_zero("limits.maxRetryAfterUs")?;
        settings.limits.max_retry_after = settings.limits.max_retry_after.max(retry_after_max);
        for (field, names) in [("services", &names.classes), ("tiersOfService", &names.plans)] {
            if names.is_empty() {
                return Err(fields.error(field, "names none"));
            }
        }
        let span = |field: &str| -> Result<Duration, String> {
            Ok(Duration::from_micros(fields.optional::<Micros>(field)?.filter(|n| *n > 0).unwrap_or(250_000)))
        };
        let sockets = file.limits.sockets;
        if sockets < 2 * RESERVED_SOCKETS {
            return Err(format!("configuration: field `limits.sockets`: {sockets} is too few"));
        }
        let share = sockets - RESERVED_SOCKETS;
        Ok(Config {
            listen: address("listen", variable("RELAY_LISTEN").or(file.listen))?,
            discovery: address("discovery", variable("RELAY_DISCOVERY").or(file.discovery))?,
            counter: file.counter.map(|at| address("counter", Some(at))).transpose()?,
            admin: variable("RELAY_ADMIN").or(file.admin).map(|at| address("admin", Some(at))).transpose()?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("configuration: field `seed`: `{}` is not hexadecimal", file.seed))?,
            cached_workers: file.known,
            srv: None,
            fleet: None,
            policy: None,
            sites: None,
            connect_timeout: span("limits.connectTimeoutUs")?,
            worker_idle_timeout: span("limits.connIdleUs")?,
            settings,
            names,
            memory: file.limits.memory_mb.saturating_mul(1 << 20),
            sockets,
            clients_max: share * 2 / 3,
            workers_max: share / 3,
        })
    }
}

fn address(field: &str, value: Option<String>) -> Result<SocketAddr, String> {
    let value = value.ok_or_else(|| format!("configuration: field `{field}`: missing"))?;
    value
        .parse()
        .map_err(|_| format!("configuration: field `{field}`: `{value}` is not an address with a port"))
}
