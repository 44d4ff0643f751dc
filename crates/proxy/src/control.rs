//! The link to the registries: one watch at each, answered when there is news.

use crate::server::Proxy;
use hingestage_discovery::Home;
use hingestage_node::settings::InnerPort;
use hingestage_node::SettingsFile;
use hingestage_replication::Micros;
use hingestage_rpc::messages::{ConfigVersion, Have, RegistryAnswer, RegistryRequest, Watched};
use hingestage_rpc::trials::TrialRevision;
use hingestage_rpc::workers::ServiceHave;
use hingestage_rpc::Client;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long a registry waits for news before it answers.
const WATCH_WAIT: Duration = Duration::from_millis(800);
/// The same in other regions, while a registry of this one answers: bytes between regions are dear.
const WATCH_WAIT_FAR: Duration = Duration::from_millis(2_500);
/// How long a registry of this region may be silent before those of others are asked as often.
const NEAR_SILENT: Micros = 1_500_000;
/// How long an answer may take beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// How long an answer about workers is awaited before they are asked for elsewhere.
const SERVICES_HEDGE: Duration = Duration::from_millis(400);
/// How long a home may take with news that a registry has told of.
const HOME_PATIENCE: Duration = Duration::from_millis(200);
/// How long a configuration may take to come, besides its transfer.
const CONFIG_WITHIN: Duration = Duration::from_millis(1_200);
/// How long another registry is not asked for the same one, besides its transfer: the first may have died.
const CONFIG_HEDGE: Duration = Duration::from_millis(250);
/// Part of its link that a proxy takes a transfer to get.
const LINK_SHARE: f64 = 0.25;
/// The longest configuration that is passed on within a zone, bytes: links of proxies are narrow.
const PASSED_ON_MAX: u64 = 16 << 10;
/// Bytes in a million bits.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Pause after a call that failed.
const CALL_PAUSE: Duration = Duration::from_millis(100);
/// Period at which the settings file is read again for other seeds.
const SEED_PERIOD: Duration = Duration::from_secs(2);
/// Registries watched at the most.
const REGISTRIES_MAX: usize = 16;

type Registry = Client<RegistryRequest, RegistryAnswer>;

/// Starts watching registries as they become known.
pub(crate) async fn run(proxy: Rc<Proxy>) {
    let mut watched: BTreeSet<SocketAddr> = BTreeSet::new();
    let file = SettingsFile::new(proxy.settings.clone());
    loop {
        let settings = file.current();
        let seeds = settings.seeds.iter().map(|seed| settings.inner_at(seed.ip(), InnerPort::Registry));
        let known: Vec<SocketAddr> =
            seeds.chain(proxy.registries.borrow().iter().map(|registry| registry.addr)).collect();
        for addr in known {
            if watched.len() < REGISTRIES_MAX && watched.insert(addr) {
                spawn_local(keep_watching(proxy.clone(), Rc::new(Registry::new(addr))));
            }
        }
        let changed = proxy.registries_changed.notified();
        let _ = tokio::time::timeout(SEED_PERIOD, changed).await;
    }
}

async fn keep_watching(proxy: Rc<Proxy>, registry: Rc<Registry>) {
    // Each registry has a directory of its own making.
    let mut directory = 0;
    let mut trials = TrialRevision::default();
    loop {
        let have = Have { directory, trials, ..proxy.view.borrow().have() };
        let asked_at = proxy.now();
        let near = proxy.is_near(registry.addr());
        let near_answers = asked_at < proxy.near_heard_at.get() + NEAR_SILENT;
        let wait = if near || !near_answers { WATCH_WAIT } else { WATCH_WAIT_FAR };
        let request = RegistryRequest::Watch { status: proxy.status(), have, wait: wait.as_millis() as u64 };
        match registry.call(&request, wait + ANSWER_WITHIN).await {
            Ok(RegistryAnswer::Watched(news)) => {
                if near {
                    proxy.near_heard_at.set(proxy.now());
                }
                directory = news.have.directory;
                trials = news.have.trials;
                take(&proxy, &registry, asked_at, *news).await;
            }
            _ => tokio::time::sleep(CALL_PAUSE).await,
        }
    }
}

/// Takes news in, and fetches what is newer than what is held.
async fn take(proxy: &Rc<Proxy>, registry: &Rc<Registry>, asked_at: u64, news: Watched) {
    proxy.view.borrow_mut().take_trials(proxy.now(), news.trials);
    proxy.take_registries(news.registries);
    if let Some(peers) = news.directory {
        proxy.take_peers(peers);
    }
    if proxy.view.borrow_mut().take_drains(proxy.now(), &news.have.drains) {
        proxy.refresh_workers();
    }
    if proxy.view.borrow_mut().followed_mut().apply_index(proxy.now(), &news.services) {
        proxy.relay.asks_anew();
    }
    if !proxy.view.borrow().followed().is_complete() {
        spawn_local(fetch_services(proxy.clone(), registry.clone()));
    }
    if let Some(version) = news.have.config.filter(|version| is_newer(proxy, *version)) {
        let transfer = transfer_time(proxy, news.config_bytes);
        let time = HOME_PATIENCE + CONFIG_HEDGE + transfer;
        let under_way = proxy.fetching_config.begin(version, proxy.now(), time);
        match under_way {
            // A large document takes its time: heartbeats go on meanwhile.
            Ok(()) => {
                let passed_on = news.config_bytes <= PASSED_ON_MAX;
                spawn_local(fetch_config(proxy.clone(), registry.clone(), version, transfer, passed_on));
            }
            Err(left) => tokio::time::sleep(left.min(CONFIG_HEDGE)).await,
        }
    }
    {
        let mut view = proxy.view.borrow_mut();
        view.take_freshness(asked_at, news.fresh_age, news.have.config);
        view.take_members(news.members, news.settled);
    }
    proxy.part_changed();
}

/// Gets the workers of services that this proxy is the home of at once, and those that another home is late with
/// after a moment.
async fn fetch_services(proxy: Rc<Proxy>, registry: Rc<Registry>) {
    let ours = |name: &str| proxy.relay.home(proxy.now(), name) == Home::Local;
    fetch_due(&proxy, &registry, |name, _| ours(name)).await;
    tokio::time::sleep(HOME_PATIENCE).await;
    let patience = HOME_PATIENCE.as_micros() as Micros;
    let late = fetch_due(&proxy, &registry, |_, waited| waited >= patience).await;
    for have in late {
        proxy.relay.home_is_late(proxy.now(), &have.service);
    }
}

/// Gets what is due from a registry. Tells what that was.
async fn fetch_due(
    proxy: &Proxy,
    registry: &Registry,
    due: impl Fn(&str, Micros) -> bool,
) -> Vec<ServiceHave> {
    let now = proxy.now();
    let until = now + SERVICES_HEDGE.as_micros() as Micros;
    let asked =
        proxy.view.borrow_mut().followed_mut().next_requests(now, until, |name, waited| due(name, waited));
    if asked.is_empty() {
        return asked;
    }
    let answer = registry.call(&RegistryRequest::FetchServices(asked.clone()), ANSWER_WITHIN).await;
    if let Ok(RegistryAnswer::Services(updates)) = answer {
        proxy.take_services(updates);
    }
    proxy.view.borrow_mut().followed_mut().end_request(&asked);
    asked
}

/// Whether a configuration is newer than the one in force here.
fn is_newer(proxy: &Proxy, version: ConfigVersion) -> bool {
    Some(version) > proxy.view.borrow().config_version()
}

/// Gets a configuration from its home in this zone, or where that is late from a registry.
async fn fetch_config(
    proxy: Rc<Proxy>,
    registry: Rc<Registry>,
    version: ConfigVersion,
    transfer: Duration,
    passed_on: bool,
) {
    if passed_on && proxy.relay.follow_config(&proxy, version, HOME_PATIENCE + transfer).await {
        return;
    }
    let have = proxy.view.borrow().config_version();
    // Where a change doesn't lead to the version that it is for, the whole does.
    for have in [have, None] {
        let request = RegistryRequest::FetchConfig { have };
        match registry.call(&request, CONFIG_WITHIN + transfer).await {
            Ok(RegistryAnswer::Config(Some(transfer))) => proxy.take_config(transfer),
            _ => return,
        }
        if !is_newer(&proxy, version) {
            return;
        }
    }
}

/// How long so many bytes may take on this proxy's link, beside its requests.
fn transfer_time(proxy: &Proxy, bytes: u64) -> Duration {
    let bytes_per_second = proxy.settings.limits.net_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
    Duration::from_secs_f64(bytes as f64 / bytes_per_second)
}
