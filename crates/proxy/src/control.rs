//! The link to the registries: one watch at each, answered when there is news.

use crate::server::Proxy;
use hingestage_node::settings::InnerPort;
use hingestage_node::SettingsFile;
use hingestage_replication::Micros;
use hingestage_rpc::messages::{
    ConfigVersion, Have, RegistryAnswer, RegistryRequest, Watched, WorkersVersion,
};
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
/// How long another registry is not asked for the same list of workers.
const WORKERS_HEDGE: Duration = Duration::from_millis(400);
/// How long a configuration may take to come, besides its transfer.
const CONFIG_WITHIN: Duration = Duration::from_millis(1_200);
/// How long another registry is not asked for the same one, besides its transfer: the first may have died.
const CONFIG_HEDGE: Duration = Duration::from_millis(250);
/// Bytes a second that a transfer is taken to make.
const CONFIG_BYTES_PER_SECOND: f64 = 2e6;
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
    loop {
        let have = Have { directory, ..proxy.view.borrow().have() };
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
                take(&proxy, &registry, asked_at, *news).await;
            }
            _ => tokio::time::sleep(CALL_PAUSE).await,
        }
    }
}

/// Takes news in, and fetches what is newer than what is held.
async fn take(proxy: &Rc<Proxy>, registry: &Rc<Registry>, asked_at: u64, news: Watched) {
    proxy.take_registries(news.registries);
    if let Some(peers) = news.directory {
        proxy.take_peers(peers);
    }
    let mut changed = proxy.view.borrow_mut().take_drains(proxy.now(), &news.have.drains);
    changed |= fetch_workers(proxy, registry, news.have.workers).await;
    if changed {
        proxy.refresh_workers();
    }
    if let Some(version) = news.have.config.filter(|version| is_newer(proxy, *version)) {
        let transfer = Duration::from_secs_f64(news.config_bytes as f64 / CONFIG_BYTES_PER_SECOND);
        let under_way = proxy.fetching_config.begin(version, proxy.now(), CONFIG_HEDGE + transfer);
        match under_way {
            // A large document takes its time: heartbeats go on meanwhile.
            Ok(()) => {
                spawn_local(fetch_config(proxy.clone(), registry.clone(), CONFIG_WITHIN + transfer));
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

async fn fetch_workers(proxy: &Rc<Proxy>, registry: &Registry, version: WorkersVersion) -> bool {
    let is_newer = version > proxy.view.borrow().workers_version();
    if !is_newer || proxy.fetching_workers.begin(version, proxy.now(), WORKERS_HEDGE).is_err() {
        return false;
    }
    match registry.call(&RegistryRequest::FetchWorkers, ANSWER_WITHIN).await {
        Ok(RegistryAnswer::Workers(list)) => proxy.view.borrow_mut().take_workers(proxy.now(), list),
        _ => false,
    }
}

/// Whether a configuration is newer than the one in force here.
fn is_newer(proxy: &Proxy, version: ConfigVersion) -> bool {
    Some(version) > proxy.view.borrow().config_version()
}

async fn fetch_config(proxy: Rc<Proxy>, registry: Rc<Registry>, within: Duration) {
    let answer = registry.call(&RegistryRequest::FetchConfig, within).await;
    if let Ok(RegistryAnswer::Config(Some(document))) = answer {
        proxy.take_config(&document);
    }
}
