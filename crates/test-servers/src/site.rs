//! A site for gateways to be tried on: figures like those of the registry, the start-up of workers and the
//! windows of quotas shortened so that seconds show what days would.

use serde_json::{json, Value};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

/// Where gateways listen.
pub const GATEWAY_PORT: u16 = 3000;
/// Where agents of discovery listen.
pub const DISCOVERY_PORT: u16 = 8500;
/// Where the counter listens, and at the next port as well.
pub const COUNTER_PORT: u16 = 6400;
/// Where workers listen.
pub const WORKER_PORT: u16 = 4000;
/// Share of its capacity that a worker starts with, and the time until it is warm.
pub const COLD: (f64, Duration) = (0.22, Duration::from_secs(6));
/// A cold worker falls over when sent more than this multiple of what it can do ...
pub const FALL_MULTIPLE: f64 = 3.0;
/// ... for so long.
pub const FALL_AFTER: Duration = Duration::from_millis(1_500);
/// Nothing new goes to a worker later than this after the gateway was told that it drains.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Attempts that a request may have.
pub const MAX_ATTEMPTS: usize = 6;
/// Most units of a request.
pub const MOST_UNITS: f64 = 6.0;

/// A plan: quota in units a second and units, and ceiling.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: Cow<'static, str>,
    /// Units a second that fill the quota's store.
    pub rate: f64,
    /// Units that it holds.
    pub burst: f64,
    /// Units a second that fill the ceiling's store; 0 for none.
    pub ceiling_rate: f64,
    /// Units that it holds.
    pub ceiling_depth: f64,
    /// How far below nothing it may go.
    pub ceiling_slack: f64,
    /// Whether the quota is soft: what goes beyond it earns more than it costs, so that the ceiling alone binds.
    pub soft: bool,
}

/// The plans.
pub const PLANS: [Plan; 4] = [
    Plan {
        name: Cow::Borrowed("base"),
        rate: 8.0,
        burst: 16.0,
        ceiling_rate: 0.0,
        ceiling_depth: 0.0,
        ceiling_slack: 0.0,
        soft: false,
    },
    Plan {
        name: Cow::Borrowed("ufficio"),
        rate: 10.0,
        burst: 20.0,
        ceiling_rate: 0.0,
        ceiling_depth: 0.0,
        ceiling_slack: 0.0,
        soft: false,
    },
    Plan {
        name: Cow::Borrowed("ente"),
        rate: 20.0,
        burst: 24.0,
        ceiling_rate: 36.0,
        ceiling_depth: 44.0,
        ceiling_slack: 6.0,
        soft: false,
    },
    // A ceiling that is small against its slack, under a quota that turns nothing away.
    Plan {
        name: Cow::Borrowed("scuola"),
        rate: 6.0,
        burst: 12.0,
        ceiling_rate: 9.0,
        ceiling_depth: 24.0,
        ceiling_slack: 6.0,
        soft: true,
    },
];

/// The name of the class whose repeats workers drop, where there is one.
pub const KEYED: &str = "note";

/// What a site may have otherwise than the usual one.
#[derive(Clone, Debug, PartialEq)]
pub struct Extras {
    /// How long a gateway waits for a connection to a worker.
    pub connect_timeout: Duration,
    /// Descriptors that a gateway is told it may have.
    pub sockets: usize,
    /// A class more, [`KEYED`]: which workers drop its repeats (`all`, `zone` or `cell`), and for how long.
    pub keyed: Option<(&'static str, Duration)>,
}

impl Default for Extras {
    fn default() -> Self {
        Extras { connect_timeout: Duration::from_millis(250), sockets: 256, keyed: None }
    }
}

/// The configuration of one gateway.
#[allow(clippy::too_many_arguments)]
pub fn config(
    instances: usize,
    me: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: SocketAddr,
    seed: u64,
    known: Value,
    extras: &Extras,
) -> Value {
    let micros = |span: Duration| span.as_micros() as u64;
    let mut classes = vec![
        json!({"name": "pull", "aimUs": 600_000, "giveUpUs": 1_500_000, "effect": "idempotent",
               "group": "all"}),
        json!({"name": "push", "aimUs": 750_000, "giveUpUs": 2_500_000, "effect": "at_most_once",
               "group": "all"}),
    ];
    classes.extend(extras.keyed.map(|(group, window)| {
        json!({"name": KEYED, "aimUs": 750_000, "giveUpUs": 2_500_000, "effect": "deduplicated",
               "group": group, "keyTtlUs": micros(window)})
    }));
    json!({
        "name": format!("n{me}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "counter": counter.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": extras.sockets},
        "known": known,
        "settings": {
            "instances": instances, "me": me, "resolutionUs": 1000, "zone": "a", "registryMode": "pushed",
            "familyInfo": {"mayCount": true, "countWaitUs": 50_000, "mostUnits": MOST_UNITS, "costAfter": true},
            "limits": {"maxAttempts": MAX_ATTEMPTS, "mayCancel": true, "mayDuplicate": false,
                       "retryAfter": true, "maxRetryAfterUs": 500_000, "connIdleUs": 4_000_000,
                       "connectTimeoutUs": micros(extras.connect_timeout)},
            "rules": {"coldFrom": COLD.0, "coldUs": micros(COLD.1), "fallMultiple": FALL_MULTIPLE,
                      "tipAfterUs": micros(FALL_AFTER)},
            "services": classes,
            "tiersOfService": plans(&PLANS)
        }
    })
}

/// Plans as the settings have them.
pub fn plans(plans: &[Plan]) -> Value {
    plans.iter().map(plan).collect()
}

fn plan(plan: &Plan) -> Value {
    json!({"name": plan.name, "rate": plan.rate, "storeSize": plan.burst, "hardRate": plan.ceiling_rate,
           "capDepth": plan.ceiling_depth, "ceilingSlack": plan.ceiling_slack,
           "beyondEarns": if plan.soft { 1.0 } else { 0.0 }, "overCost": if plan.soft { 0.0 } else { 1.0 }})
}
