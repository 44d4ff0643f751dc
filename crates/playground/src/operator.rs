//! The operator: two configurations, and the calls that bring them to the registries.

use crate::http::{call, CallError};
use crate::layout::{Layout, Machine};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The host that clients name.
pub const HOST_NAME: &str = "shop.example";
/// The service that answers what may be repeated.
pub const CATALOG: &str = "catalog";
/// The service that changes things.
pub const ORDERS: &str = "orders";
/// Paths of the routes.
pub const CATALOG_PREFIX: &str = "/catalog/";
/// The same for requests that change things.
pub const ORDERS_PREFIX: &str = "/orders/";
/// The same for reports, which may wait.
pub const REPORTS_PREFIX: &str = "/reports/";
/// The tenant whose trial runs out, its key, and its requests a second.
pub const TRIAL_TENANT: &str = "gamma";
/// See [`TRIAL_TENANT`].
pub const TRIAL_KEY: &str = "key-of-gamma-1";
/// See [`TRIAL_TENANT`].
pub const TRIAL_RATE: u32 = 120;
/// The route that only the changed configuration has.
pub const OFFERS_PREFIX: &str = "/offers/";
/// Keys that both configurations have, one of each tenant.
pub const LASTING_KEYS: [&str; 2] = ["key-of-alpha-1", "key-of-beta-1"];
/// Names of the tenants of those.
pub const TENANTS: [&str; 2] = ["alpha", "beta"];
/// A key that the changed configuration has no more.
pub const REMOVED_KEY: &str = "key-of-beta-2";

/// How long one call may take.
const CALL_WITHIN: Duration = Duration::from_secs(1);
/// Pause between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// A configuration that the operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Edition {
    /// The first.
    First = 1,
    /// With a route more and a key less.
    Changed = 2,
}

impl Edition {
    /// All of them, in order.
    pub const ALL: [Edition; 2] = [Edition::First, Edition::Changed];

    /// Its version as it is written.
    pub fn serial(self) -> String {
        format!("{:08x}", self as u32)
    }

    /// A path that is routed only while this one is in force.
    pub fn probe_path(self) -> String {
        format!("/probe/{}/", self.serial())
    }

    /// The document.
    pub fn document(self) -> Bytes {
        self.document_under(self as u32)
    }

    /// The document under another serial.
    pub fn document_under(self, serial: u32) -> Bytes {
        let probe = self.probe_path();
        let mut routes = vec![
            route("catalog", CATALOG_PREFIX, CATALOG, "idempotent", false),
            route("orders", ORDERS_PREFIX, ORDERS, "mutating", false),
            route("reports", REPORTS_PREFIX, CATALOG, "idempotent", false),
            route("probe", &probe, CATALOG, "idempotent", true),
        ];
        let mut beta_keys = vec![LASTING_KEYS[1]];
        match self {
            Edition::First => beta_keys.push(REMOVED_KEY),
            Edition::Changed => routes.push(route("offers", OFFERS_PREFIX, CATALOG, "idempotent", false)),
        }
        let document = json!({
            "serial": format!("{serial:08x}"),
            "routes": routes,
            "backends": [backend(CATALOG), backend(ORDERS)],
            "tenants": [
                { "name": TENANTS[0], "api_keys": [LASTING_KEYS[0]], "prio": 0, "rate_per_s": 0 },
                { "name": TENANTS[1], "api_keys": beta_keys, "prio": 1, "rate_per_s": 5_000, "burst": 5_000 },
                { "name": TRIAL_TENANT, "api_keys": [TRIAL_KEY], "prio": 1, "rate_per_s": TRIAL_RATE, "burst": TRIAL_RATE },
            ],
        });
        Bytes::from(document.to_string())
    }
}

fn route(name: &str, prefix: &str, backend: &str, kind: &str, public: bool) -> Value {
    json!({
        "name": name, "host": HOST_NAME, "prefix": prefix, "backend": backend, "kind": kind, "public": public,
        "timeout": "2000ms", "target_time": "500ms", "tries": 2, "prio": 1,
    })
}

fn backend(name: &str) -> Value {
    json!({
        "name": name, "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false,
        "cold_start": "0ms", "cold_per_s": 0,
    })
}

/// What a registry tells of itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RegistryStatus {
    /// The configuration in force.
    #[serde(default)]
    pub config: Option<String>,
    /// Workers known.
    #[serde(default)]
    pub workers: usize,
    /// Proxies heard.
    #[serde(default)]
    pub proxies: usize,
    /// Zones that are evacuated.
    #[serde(default)]
    pub drained: Vec<String>,
}

/// Sends a configuration to one registry after another until one acknowledges it.
///
/// # Errors
/// It is refused, or none acknowledges it in time.
pub async fn put_config(layout: &Layout, edition: Edition, within: Duration) -> Result<(), String> {
    let until = Instant::now() + within;
    let mut last = String::from("nobody was asked");
    for core in layout.cores.iter().cycle() {
        let reply = call(core.admin(), Method::PUT, "/config", edition.document(), CALL_WITHIN).await;
        last = match reply {
            Ok(reply) if reply.status == StatusCode::OK => return Ok(()),
            Ok(reply) if reply.status == StatusCode::BAD_REQUEST => {
                return Err(format!("configuration refused: {}", String::from_utf8_lossy(&reply.body)));
            }
            Ok(reply) => format!("{}: {}", core.name, reply.status),
            Err(error) => format!("{}: {error}", core.name),
        };
        if Instant::now() >= until {
            break;
        }
        sleep(CALL_PAUSE).await;
    }
    Err(format!("configuration {} was not acknowledged: {last}", edition.serial()))
}

/// Asks a registry for its state.
///
/// # Errors
/// It doesn't answer.
pub async fn status(core: &Machine) -> Result<RegistryStatus, CallError> {
    let reply = call(core.admin(), Method::GET, "/status", Bytes::new(), CALL_WITHIN).await?;
    serde_json::from_slice(&reply.body).map_err(|_| CallError::Broken)
}

/// Sends terms of the trial to one registry after another, beginning with one, until one acknowledges them or says that
/// others hold. Tells whether these hold.
///
/// # Errors
/// They are refused, or none answers in time.
pub async fn put_terms(layout: &Layout, first: usize, terms: &str, within: Duration) -> Result<bool, String> {
    let until = Instant::now() + within;
    let path = format!("/trials/{TRIAL_TENANT}");
    for core in layout.cores.iter().cycle().skip(first) {
        let body = Bytes::copy_from_slice(terms.as_bytes());
        match call(core.admin(), Method::PUT, &path, body, CALL_WITHIN).await.map(|reply| reply.status) {
            Ok(StatusCode::OK) => return Ok(true),
            Ok(StatusCode::CONFLICT) => return Ok(false),
            Ok(status) if status.is_client_error() => return Err(format!("terms refused: {status}")),
            _ => {}
        }
        if Instant::now() >= until {
            break;
        }
        sleep(CALL_PAUSE).await;
    }
    Err("terms were not acknowledged".to_owned())
}
