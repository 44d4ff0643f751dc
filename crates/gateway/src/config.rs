//! What the gateway is told at its start: `RELAY_CONFIG` and the variables beside it, checked.

use crate::relay_dialect::RelayDialect;
use crate::sites::Planned;
use hingestage_dataplane::driver::DriverSettings;
use hingestage_membership::hosts::HostList;
use hingestage_operator::{Fleet, Policy, Srv};
use hingestage_policy::settings::{flatten, settings, Fields, Names};
use hingestage_policy::{Micros, Settings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The configuration as it is written down.
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

/// Of the file, whether it names a discovery of its own.
#[derive(Deserialize)]
struct Named {
    discovery: Option<String>,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
    #[serde(default = "least_memory")]
    memory_mb: u64,
}

/// MB where nothing is said of it: the least that is ever given.
fn least_memory() -> u64 {
    32
}

/// The configuration, checked.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of workers comes from.
    pub discovery: SocketAddr,
    /// The counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// Where operators call, where they may.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The workers as this gateway last had them; may be old.
    pub known: HostList,
    /// The name that workers are also taken from, or alone; from the operators' own file.
    pub srv: Option<Srv>,
    /// How it learns who is there; from the operators' own file.
    pub fleet: Option<Fleet>,
    /// Whose word plans, classes and accounts are gone by; from the operators' own file.
    pub policy: Option<Policy>,
    /// What becomes of the load of sites that are lost; from the operators' own file.
    pub sites: Option<Planned>,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names of classes and plans.
    pub names: Names,
    /// The limit on memory, bytes.
    pub memory: u64,
    /// The limit on descriptors.
    pub sockets: usize,
    /// Most connections of clients, and most to workers: parts of the limit on descriptors.
    pub clients_max: usize,
    /// See `clients_max`.
    pub workers_max: usize,
    /// A connection to a worker not established by then never is.
    pub connect_timeout: Duration,
    /// A worker closes a connection that has been idle for so long.
    pub worker_idle: Duration,
}

/// Descriptors kept back: listener, counter, discovery, runtime, standard streams, and each one's successor;
/// operators' calls, and the offer to a process that replaces this one.
const SPARE_SOCKETS: usize = 32;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. The message of an error names the field.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let text = Config::read(&variable)?;
        Config::parse(&text, variable)
    }

    /// Reads the file again while running. What it names beats `RELAY_DISCOVERY`, which is as old as this
    /// process: a gateway that went by the variable could never be sent elsewhere.
    pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let text = Config::read(&variable)?;
        let named = serde_json::from_str::<Named>(&text).is_ok_and(|file| file.discovery.is_some());
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
            worker_idle_timeout: self.worker_idle,
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
        // Any client on a socket can be told when to come back, whether or not it is known to listen.
        let advice = fields.span_or_zero("limits.maxRetryAfterUs")?;
        settings.limits.max_retry_after = settings.limits.max_retry_after.max(advice);
        for (field, names) in [("services", &names.classes), ("tiersOfService", &names.plans)] {
            if names.is_empty() {
                return Err(fields.error(field, "names none"));
            }
        }
        let span = |field: &str| -> Result<Duration, String> {
            Ok(Duration::from_micros(fields.optional::<Micros>(field)?.filter(|n| *n > 0).unwrap_or(250_000)))
        };
        let sockets = file.limits.sockets;
        if sockets < 2 * SPARE_SOCKETS {
            return Err(format!("configuration: field `limits.sockets`: {sockets} is too few"));
        }
        let share = sockets - SPARE_SOCKETS;
        Ok(Config {
            listen: address("listen", variable("RELAY_LISTEN").or(file.listen))?,
            discovery: address("discovery", variable("RELAY_DISCOVERY").or(file.discovery))?,
            counter: file.counter.map(|at| address("counter", Some(at))).transpose()?,
            admin: variable("RELAY_ADMIN").or(file.admin).map(|at| address("admin", Some(at))).transpose()?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("configuration: field `seed`: `{}` is not hexadecimal", file.seed))?,
            known: file.known,
            srv: None,
            fleet: None,
            policy: None,
            sites: None,
            connect_timeout: span("limits.connectTimeoutUs")?,
            worker_idle: span("limits.connIdleUs")?,
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
