//! Long-polls every registry and fetches the configurations and worker lists that it announces.

use crate::server::Proxy;
use hingestage_discovery::Home;
use hingestage_node::settings::InternalPort;
use hingestage_node::SettingsFile;
use hingestage_replication::Micros;
use hingestage_rpc::messages::{ConfigVersion, KnownVersions, RegistryAnswer, RegistryRequest, Watched};
use hingestage_rpc::trials::TrialRevision;
use hingestage_rpc::workers::KnownServiceVersion;
use hingestage_rpc::Client;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Long-poll timeout at registries of this region.
const WATCH_WAIT: Duration = Duration::from_millis(800);
/// Long-poll timeout at remote registries while a nearby one answers; longer, as traffic between regions costs money.
const REMOTE_WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Time without an answer from nearby registries after which remote ones are polled as often, microseconds.
const NEARBY_TIMEOUT: Micros = 1_500_000;
/// Timeout of an answer, in addition to the long poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an unanswered request for worker lists may be repeated at another registry.
const SERVICES_HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Time that a home has to deliver an update after a registry has announced it.
const HOME_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of fetching a configuration, in addition to its transfer time.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before the same configuration is fetched from another registry, in addition to its transfer time: the first
/// registry may have died.
const CONFIG_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Fraction of the proxy's bandwidth assumed to be available to a transfer.
const TRANSFER_BANDWIDTH_SHARE: f64 = 0.25;
/// Maximum size of a configuration that proxies of a zone relay to each other, bytes: their links are narrow.
const MAX_RELAYED_CONFIG_BYTES: u64 = 16 << 10;
/// Bytes per megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the seeds are read again from the settings file.
const SEED_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of watched registries.
const MAX_REGISTRIES: usize = 16;

type Registry = Client<RegistryRequest, RegistryAnswer>;

/// Starts a watch at every registry as it becomes known.
pub(crate) async fn run(proxy: Rc<Proxy>) {
    let mut watched: BTreeSet<SocketAddr> = BTreeSet::new();
    let file = SettingsFile::new(proxy.settings.clone());
    loop {
        let settings = file.current();
        let seeds =
            settings.seeds.iter().map(|seed| settings.internal_addr_at(seed.ip(), InternalPort::Registry));
        let known: Vec<SocketAddr> =
            seeds.chain(proxy.registries.borrow().iter().map(|registry| registry.addr)).collect();
        for addr in known {
            if watched.len() < MAX_REGISTRIES && watched.insert(addr) {
                spawn_local(watch(proxy.clone(), Rc::new(Registry::new(addr))));
            }
        }
        let changed = proxy.registries_changed.notified();
        let _ = tokio::time::timeout(SEED_REFRESH_INTERVAL, changed).await;
    }
}

/// Long-polls one registry without end.
async fn watch(proxy: Rc<Proxy>, registry: Rc<Registry>) {
    // Directory and trial revisions are specific to each registry.
    let mut directory = 0;
    let mut trials = TrialRevision::default();
    loop {
        let have = KnownVersions { directory, trials, ..proxy.view.borrow().have() };
        let asked_at = proxy.now();
        let nearby = proxy.is_nearby(registry.addr());
        let nearby_answers = asked_at < proxy.nearby_answered_at.get() + NEARBY_TIMEOUT;
        let wait = if nearby || !nearby_answers { WATCH_WAIT } else { REMOTE_WATCH_WAIT };
        let request = RegistryRequest::Watch { status: proxy.status(), have, wait: wait.as_millis() as u64 };
        match registry.call(&request, wait + ANSWER_TIMEOUT).await {
            Ok(RegistryAnswer::Watched(update)) => {
                if nearby {
                    proxy.nearby_answered_at.set(proxy.now());
                }
                directory = update.have.directory;
                trials = update.have.trials;
                apply_update(&proxy, &registry, asked_at, *update).await;
            }
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Applies a registry's update, and fetches what it announces beyond the local state.
async fn apply_update(proxy: &Rc<Proxy>, registry: &Rc<Registry>, asked_at: u64, update: Watched) {
    proxy.view.borrow_mut().apply_trials(proxy.now(), update.trials);
    proxy.update_registries(update.registries);
    if let Some(peers) = update.directory {
        proxy.update_peers(peers);
    }
    if proxy.view.borrow_mut().apply_drains(proxy.now(), &update.have.drains) {
        proxy.refresh_workers();
    }
    if proxy.view.borrow_mut().followed_mut().apply_index(proxy.now(), &update.services) {
        proxy.relay.restart_following();
    }
    if !proxy.view.borrow().followed().is_complete() {
        spawn_local(fetch_services(proxy.clone(), registry.clone()));
    }
    if let Some(version) = update.have.config.filter(|version| is_newer(proxy, *version)) {
        let transfer = transfer_time(proxy, update.config_bytes);
        let timeout = HOME_TIMEOUT + CONFIG_HEDGE_DELAY + transfer;
        let fetch = proxy.config_fetches.begin(version, proxy.now(), timeout);
        match fetch {
            // Runs in the background, so that heartbeats continue during a large transfer.
            Ok(()) => {
                let relayed = update.config_bytes <= MAX_RELAYED_CONFIG_BYTES;
                spawn_local(fetch_config(proxy.clone(), registry.clone(), version, transfer, relayed));
            }
            Err(left) => tokio::time::sleep(left.min(CONFIG_HEDGE_DELAY)).await,
        }
    }
    {
        let mut view = proxy.view.borrow_mut();
        view.apply_freshness(asked_at, update.fresh_age, update.have.config);
        view.apply_members(update.members, update.settled);
    }
    proxy.update_limit_share();
}

/// Fetches the worker lists of services that this proxy is the home of, and after [`HOME_TIMEOUT`] those that another
/// home has not delivered.
async fn fetch_services(proxy: Rc<Proxy>, registry: Rc<Registry>) {
    let is_home = |name: &str| proxy.relay.home(proxy.now(), name) == Home::Local;
    fetch_due(&proxy, &registry, |name, _| is_home(name)).await;
    tokio::time::sleep(HOME_TIMEOUT).await;
    let timeout = HOME_TIMEOUT.as_micros() as Micros;
    let late = fetch_due(&proxy, &registry, |_, waited| waited >= timeout).await;
    for have in late {
        proxy.relay.mark_home_late(proxy.now(), &have.service);
    }
}

/// Fetches the worker lists of the services that are due from a registry. Returns what was requested.
async fn fetch_due(
    proxy: &Proxy,
    registry: &Registry,
    due: impl Fn(&str, Micros) -> bool,
) -> Vec<KnownServiceVersion> {
    let now = proxy.now();
    let until = now + SERVICES_HEDGE_DELAY.as_micros() as Micros;
    let asked =
        proxy.view.borrow_mut().followed_mut().next_requests(now, until, |name, waited| due(name, waited));
    if asked.is_empty() {
        return asked;
    }
    let answer = registry.call(&RegistryRequest::FetchServices(asked.clone()), ANSWER_TIMEOUT).await;
    if let Ok(RegistryAnswer::Services(updates)) = answer {
        proxy.apply_services(updates);
    }
    proxy.view.borrow_mut().followed_mut().end_request(&asked);
    asked
}

/// Whether a configuration is newer than the active one.
fn is_newer(proxy: &Proxy, version: ConfigVersion) -> bool {
    Some(version) > proxy.view.borrow().config_version()
}

/// Fetches a configuration from its home in this zone, or from a registry if the home doesn't deliver it.
async fn fetch_config(
    proxy: Rc<Proxy>,
    registry: Rc<Registry>,
    version: ConfigVersion,
    transfer: Duration,
    relayed: bool,
) {
    if relayed && proxy.relay.fetch_config_from_home(&proxy, version, HOME_TIMEOUT + transfer).await {
        return;
    }
    let have = proxy.view.borrow().config_version();
    // Falls back to the whole document if the delta doesn't lead to the expected version.
    for have in [have, None] {
        let request = RegistryRequest::FetchConfig { have };
        match registry.call(&request, CONFIG_TIMEOUT + transfer).await {
            Ok(RegistryAnswer::Config(Some(transfer))) => proxy.apply_config(transfer),
            _ => return,
        }
        if !is_newer(&proxy, version) {
            return;
        }
    }
}

/// Estimated transfer time on this proxy's link, next to its request traffic.
fn transfer_time(proxy: &Proxy, bytes: u64) -> Duration {
    let bytes_per_second = proxy.settings.limits.net_mbps * BYTES_PER_MEGABIT * TRANSFER_BANDWIDTH_SHARE;
    Duration::from_secs_f64(bytes as f64 / bytes_per_second)
}
