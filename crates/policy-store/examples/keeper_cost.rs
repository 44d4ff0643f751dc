//! Measures the cost of three keepers in this process: writes many versions, then serves lease requests of
//! many gateways. `cargo run --release -p hingestage-policy-store --features measurements --example keeper_cost
//! [GATEWAYS] [VERSIONS]`

use hingestage_policy_change::rollout::{LeaseConfig, LeaseRequest, Micros, Mode};
use hingestage_policy_change::state::{LeaseCall, ProposeRequest};
use hingestage_policy_store::client::KeeperClient;
use hingestage_policy_store::config::Config;
use hingestage_policy_store::http_client::Connection;
use hingestage_policy_store::{run, StartMode};
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::sleep;

const LEASE_MICROS: Micros = 2_000_000;
/// Interval of a gateway's lease requests: an eighth of a lease.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Duration of the lease requests.
const REQUEST_PHASE: Duration = Duration::from_secs(8);

fn unix() -> Micros {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

fn document(version: u64) -> String {
    format!(
        "(policy (form 1) (version {version}) (plan \"p\" (quota {} 60))
           (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent)))",
        40 + version % 2
    )
}

/// Resident memory of this process in bytes, and its CPU time in seconds.
fn used() -> (u64, f64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/self/{name}")).unwrap_or_default();
    let pages: u64 = read("statm").split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (pages * 4096, (ticks(11) + ticks(12)) / 100.0)
}

async fn gateway(number: usize, at: SocketAddr, until: Instant) -> Vec<Duration> {
    let mut way = Connection::new(at);
    let mut took = Vec::new();
    sleep(REQUEST_INTERVAL.mul_f64((number % 97) as f64 / 97.0)).await;
    while Instant::now() < until {
        let gateway = format!("n{number}");
        let request = LeaseRequest {
            gateway,
            incarnation: 1,
            sent_at: unix(),
            mode: Mode::Stop,
            ready: None,
            rejected: None,
            probe_only: false,
        };
        let asked =
            LeaseCall { request, lease_config: LeaseConfig { lease: LEASE_MICROS, clock_error: 250_000 } };
        let begun = Instant::now();
        let body = serde_json::to_vec(&asked).unwrap_or_default();
        if let Ok((StatusCode::OK, _)) = way.call(Method::POST, "/ask", body).await {
            took.push(begun.elapsed());
        }
        sleep(REQUEST_INTERVAL.saturating_sub(begun.elapsed())).await;
    }
    took
}

fn size(folder: &Path) -> u64 {
    std::fs::metadata(folder.join("keeper.redb")).map_or(0, |file| file.len())
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let (gateways, versions) =
        (given.first().copied().unwrap_or(300), given.get(1).copied().unwrap_or(10_000));
    let folder = std::env::temp_dir().join(format!("hingestage-keeper-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("first.lisp"), document(1)).expect("a file");
    let held: Vec<TcpListener> = (0..3).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
    let at: BTreeMap<u64, SocketAddr> = (0..).zip(held.iter().filter_map(|l| l.local_addr().ok())).collect();
    drop(held);
    for number in 0..3u64 {
        let all: String = at.iter().map(|(n, at)| format!(" ({n} \"{at}\")")).collect();
        let own = folder.join(format!("k{number}"));
        let text = format!(
            "(keeper (number {number}) (folder \"{}\") (first \"{}/first.lisp\") (keepers{all}))",
            own.display(),
            folder.display()
        );
        let config = Config::parse(&text).expect("a good file");
        tokio::spawn(async move { run(config, StartMode::Bootstrap, std::future::pending()).await });
    }
    let mut client = KeeperClient::new(at.clone(), Duration::from_secs(20));
    let _: Value = client.ask(Method::GET, "/status", &()).await.expect("keepers");
    // Before any gateway is known, so that no proposal is decided.
    let begun = Instant::now();
    for version in 2..versions as u64 + 2 {
        let proposed = ProposeRequest { text: document(version), at: 0, within: 60_000_000, confirmed: true };
        let done: Result<Value, _> = client.ask(Method::POST, "/propose", &proposed).await;
        done.expect("proposed");
        let done: Result<Value, _> = client.ask(Method::POST, "/abort", &version).await;
        done.expect("called off");
    }
    let disks: Vec<u64> = (0..3).map(|n| size(&folder.join(format!("k{n}"))) >> 10).collect();
    println!(
        "{versions} versions in {:.1} s: {} MB for three keepers, stores of {disks:?} KB",
        begun.elapsed().as_secs_f64(),
        used().0 >> 20
    );
    let mut leads = at[&0];
    for own in at.values() {
        let only = BTreeMap::from([(0, *own)]);
        if KeeperClient::new(only, Duration::ZERO).ask::<Value>(Method::GET, "/status", &()).await.is_ok() {
            leads = *own;
        }
    }
    let (before, until) = (used(), Instant::now() + REQUEST_PHASE);
    let asking: Vec<_> = (0..gateways).map(|n| tokio::spawn(gateway(n, leads, until))).collect();
    let mut took = Vec::new();
    for one in asking {
        took.extend(one.await.unwrap_or_default());
    }
    took.sort_unstable();
    let after = used();
    let part = |of: f64| took.get((took.len() as f64 * of) as usize).map_or(0.0, |t| t.as_secs_f64() * 1e3);
    println!(
        "{gateways} gateways: {:.0} answers a second, {:.1} ms middle, {:.1} ms in a hundred, {:.1} at most",
        took.len() as f64 / REQUEST_PHASE.as_secs_f64(),
        part(0.5),
        part(0.99),
        part(0.999_999)
    );
    println!(
        "  {:.0} % of a core for three keepers and all gateways' calls, {} MB",
        (after.1 - before.1) / REQUEST_PHASE.as_secs_f64() * 100.0,
        after.0 >> 20
    );
    let _ = std::fs::remove_dir_all(&folder);
}
