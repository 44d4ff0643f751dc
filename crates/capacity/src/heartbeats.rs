//! Heartbeats of many hollow proxies at one registry: tasks that speak the proxies' protocol and keep nothing.
//!
//! The registry and its store are processes of their own. Heartbeats are measured with the small configuration, so
//! that the figures are those of the watches and of the directory; larger ones are handed to a few proxies.

use crate::fixtures::{self, DocumentSize};
use crate::measure::{median, thread_cpu, Report};
use crate::servers::{Machine, Process, TemporaryDir, REGISTRY, STORE};
use eyre::Result;
use hingestage_node::settings::InnerPort;
use hingestage_registry::directory::{Directory, DirectorySettings};
use hingestage_rpc::messages::{ConfigVersion, Have, ProxyStatus, RegistryAnswer, RegistryRequest, Watched};
use hingestage_rpc::{encoded, Client};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// How long a proxy lets a registry of its region wait for news.
const WAIT: Duration = Duration::from_millis(800);
/// How long an answer may take beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// Pause after a call that failed.
const CALL_PAUSE: Duration = Duration::from_millis(100);
/// Until all proxies have to know each other, and how often that is looked at.
const SETTLES_WITHIN: Duration = Duration::from_secs(30);
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// After that, until proxies are taken into the common limits and nothing changes any more.
const REST: Duration = Duration::from_secs(8);
/// How long the quiet state is watched, and how often.
const WINDOW: Duration = Duration::from_secs(3);
const WINDOWS: usize = 3;
/// How long one change of the directory is watched.
const CHANGE_WINDOW: Duration = Duration::from_secs(5);
/// Time in which a configuration has to be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(17);
const ROUTES: usize = 18;
/// Proxies that a large configuration is handed to.
pub const FEW: usize = 20;

type Registry = Client<RegistryRequest, RegistryAnswer>;

/// What all hollow proxies have counted.
#[derive(Clone, Copy, Default)]
struct Counts {
    answers: u64,
    failures: u64,
    bytes: u64,
}

/// What a hollow proxy shows.
struct Hollow {
    status: RefCell<ProxyStatus>,
    /// Proxies in the directory that it was told last.
    told_of: Cell<usize>,
    /// When it had which configuration.
    config: Cell<Option<(ConfigVersion, Instant)>>,
}

struct Fleet {
    proxies: Vec<Rc<Hollow>>,
    counts: Rc<Cell<Counts>>,
}

/// What the registry and the fleet had used at a moment.
struct Mark {
    at: Instant,
    registry: Duration,
    hollow: Duration,
    counts: Counts,
}

/// Plays so many proxies.
pub async fn play(count: usize) -> Result<()> {
    let report = Report::new("heartbeats", &format!("{count} hollow proxies"));
    let dir = TemporaryDir::new("core")?;
    let machine = Machine::new(&dir, 1, 0)?;
    let _store = machine.start(STORE).await?;
    let registry = machine.start(REGISTRY).await?;
    let size = DocumentSize::of_routes(ROUTES);
    machine.put_config(&fixtures::document(1, size).json).await?;
    let fleet = Fleet::start(count, &machine);
    fleet.settle(&report, &registry).await;
    tokio::time::sleep(REST).await;
    measure_quiet(&report, &fleet, &registry, count).await;
    measure_change(&report, &fleet, &registry).await;
    let document = fixtures::document(2, size);
    let sent_at = Instant::now();
    machine.put_config(&document.json).await?;
    report.seconds("PUT /config, elapsed", sent_at.elapsed().as_secs_f64());
    fleet.measure_spread(&report, document.version, sent_at).await;
    report.bytes("registry's memory", registry.resident());
    Ok(())
}

/// Hands a configuration with so many routes to some proxies.
pub async fn play_document(routes: usize, proxies: usize) -> Result<()> {
    let report = Report::new("documents", &format!("{routes} routes, {proxies} hollow proxies"));
    let dir = TemporaryDir::new("core")?;
    let machine = Machine::new(&dir, 1, 0)?;
    let store = machine.start(STORE).await?;
    let registry = machine.start(REGISTRY).await?;
    machine.put_config(&fixtures::document(1, DocumentSize::of_routes(ROUTES)).json).await?;
    let fleet = Fleet::start(proxies, &machine);
    tokio::time::sleep(REST).await;
    let document = fixtures::document(2, DocumentSize::of_routes(routes));
    let before = fleet.mark(&registry);
    let (store_before, sent_at) = (store.cpu(), Instant::now());
    let taken = machine.put_config(&document.json).await;
    report.row("PUT /config acknowledged in 17 s", f64::from(u8::from(taken.is_ok())), "(1: yes)");
    report.seconds("PUT /config, elapsed", sent_at.elapsed().as_secs_f64());
    fleet.measure_spread(&report, document.version, sent_at).await;
    let after = fleet.mark(&registry);
    report.seconds("registry's processor for it", (after.registry - before.registry).as_secs_f64());
    report.seconds("store's processor for it", (store.cpu() - store_before).as_secs_f64());
    let failed = after.counts.failures - before.counts.failures;
    report.row("calls that failed meanwhile", failed as f64, "calls");
    report.bytes("registry's memory", registry.resident());
    report.bytes("store's memory", store.resident());
    Ok(())
}

impl Fleet {
    fn start(count: usize, machine: &Machine) -> Fleet {
        let counts = Rc::new(Cell::new(Counts::default()));
        let addr = machine.addr(InnerPort::Registry);
        let proxies = (0..count).map(|number| {
            let proxy = Rc::new(Hollow {
                status: RefCell::new(fixtures::proxy_status(number)),
                told_of: Cell::new(0),
                config: Cell::new(None),
            });
            spawn_local(proxy.clone().watch(Registry::new(addr), counts.clone()));
            proxy
        });
        Fleet { proxies: proxies.collect(), counts }
    }

    fn mark(&self, registry: &Process) -> Mark {
        Mark { at: Instant::now(), registry: registry.cpu(), hollow: thread_cpu(), counts: self.counts.get() }
    }

    /// Waits until every proxy was told of all.
    async fn settle(&self, report: &Report, registry: &Process) {
        let before = self.mark(registry);
        let mut directory = Directory::new(DirectorySettings::default());
        for proxy in &self.proxies {
            directory.heard(0, proxy.status.borrow().clone(), 0);
        }
        let knows_all = |proxy: &Rc<Hollow>| {
            proxy.told_of.get() == directory.neighbors(0, &proxy.status.borrow().zone).len()
        };
        while before.at.elapsed() < SETTLES_WITHIN && !self.proxies.iter().all(knows_all) {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        let after = self.mark(registry);
        let knowing = self.proxies.iter().filter(|proxy| knows_all(proxy)).count();
        report.row("start: proxies that know all their neighbors", knowing as f64, "proxies");
        report.seconds("start: until then, 30 s at the most", before.at.elapsed().as_secs_f64());
        report.seconds("start: registry's processor", (after.registry - before.registry).as_secs_f64());
        report.bytes("start: bytes handed out and taken in", after.counts.bytes - before.counts.bytes);
    }

    /// Waits until every proxy has a configuration, and tells when they got it.
    async fn measure_spread(&self, report: &Report, version: ConfigVersion, sent_at: Instant) {
        let had_at = |proxy: &Rc<Hollow>| {
            let (held, at) = proxy.config.get()?;
            (held >= version).then(|| (at - sent_at).as_secs_f64())
        };
        let mut times = Vec::new();
        while sent_at.elapsed() < IN_FORCE_WITHIN && times.len() < self.proxies.len() {
            tokio::time::sleep(LOOK_PERIOD).await;
            times = self.proxies.iter().filter_map(had_at).collect();
        }
        report.row("new configuration: proxies that got it in 17 s", times.len() as f64, "proxies");
        report.seconds("new configuration: median", median(&mut times));
        report.seconds("new configuration: last of those", times.last().copied().unwrap_or_default());
    }
}

async fn measure_quiet(report: &Report, fleet: &Fleet, registry: &Process, count: usize) {
    let (mut shares, mut each, mut bytes, mut hollow) = (vec![], vec![], vec![], vec![]);
    let failures = fleet.counts.get().failures;
    for _ in 0..WINDOWS {
        let before = fleet.mark(registry);
        tokio::time::sleep(WINDOW).await;
        let after = fleet.mark(registry);
        let elapsed = (after.at - before.at).as_secs_f64();
        let cpu = (after.registry - before.registry).as_secs_f64();
        let answers = (after.counts.answers - before.counts.answers).max(1);
        shares.push(cpu / elapsed);
        each.push(cpu / answers as f64);
        bytes.push((after.counts.bytes - before.counts.bytes) as f64 / elapsed / count as f64);
        hollow.push((after.hollow - before.hollow).as_secs_f64() / elapsed);
    }
    report.row("quiet: registry's processor", median(&mut shares) * 100.0, "% of a core");
    report.seconds("quiet: registry's processor a heartbeat", median(&mut each));
    report.row("quiet: bytes a proxy, both ways", median(&mut bytes), "bytes/s");
    report.row("quiet: processor of all hollow proxies", median(&mut hollow) * 100.0, "% of a core");
    let failed = fleet.counts.get().failures - failures;
    report.row("quiet: calls that failed in 9 s", failed as f64, "calls");
}

/// One proxy takes itself out: every other one is told the directory anew.
async fn measure_change(report: &Report, fleet: &Fleet, registry: &Process) {
    let before = fleet.mark(registry);
    fleet.proxies[0].status.borrow_mut().ready = false;
    tokio::time::sleep(CHANGE_WINDOW).await;
    let after = fleet.mark(registry);
    let cpu = (after.registry - before.registry).as_secs_f64();
    report.seconds("one proxy not ready: registry's processor in 5 s", cpu);
    report.bytes("one proxy not ready: bytes in 5 s, all proxies", after.counts.bytes - before.counts.bytes);
    let answers = after.counts.answers - before.counts.answers;
    report.row("one proxy not ready: answers in 5 s", answers as f64, "answers");
}

impl Hollow {
    async fn watch(self: Rc<Self>, registry: Registry, counts: Rc<Cell<Counts>>) {
        let mut have = Have::default();
        loop {
            let status = self.status.borrow().clone();
            let wait = WAIT.as_millis() as u64;
            let request = RegistryRequest::Watch { status, have: have.clone(), wait };
            let Some(RegistryAnswer::Watched(news)) =
                call(&registry, &request, WAIT + ANSWER_WITHIN, &counts).await
            else {
                tokio::time::sleep(CALL_PAUSE).await;
                continue;
            };
            self.take(&registry, &mut have, *news, &counts).await;
        }
    }

    async fn take(&self, registry: &Registry, have: &mut Have, news: Watched, counts: &Rc<Cell<Counts>>) {
        if let Some(directory) = &news.directory {
            self.told_of.set(directory.len());
        }
        if news.have.config > have.config {
            if let Some(RegistryAnswer::Config(Some(document))) =
                call(registry, &RegistryRequest::FetchConfig { have: have.config }, ANSWER_WITHIN, counts)
                    .await
            {
                have.config = Some(document.version);
                self.config.set(Some((document.version, Instant::now())));
            }
        }
        *have = Have { config: have.config, ..news.have };
    }
}

async fn call(
    registry: &Registry,
    request: &RegistryRequest,
    within: Duration,
    counts: &Rc<Cell<Counts>>,
) -> Option<RegistryAnswer> {
    let answer = registry.call(request, within).await.ok();
    let mut counted = counts.get();
    match &answer {
        Some(answer) => {
            counted.answers += 1;
            counted.bytes += (encoded(request).len() + encoded(answer).len()) as u64;
        }
        None => counted.failures += 1,
    }
    counts.set(counted);
    answer
}
