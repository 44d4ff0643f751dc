//! The proxy put together: serves from its start until all is answered after it is told to end.

use crate::admission::Deferred;
use crate::lending::Loans;
use crate::relay::{self, Relay};
use crate::request_log::RequestLog;
use crate::services::Services;
use crate::trial_counts::TrialCounts;
use crate::view::{Spans, View};
use crate::{control, peers, readiness};
use eyre::{eyre, Context, Result};
use hingestage_dataplane::body::BodyLimits;
use hingestage_dataplane::client::ClientTimes;
use hingestage_dataplane::collect::{CollectSettings, Collector};
use hingestage_dataplane::connections::{ConnectionSettings, Connections, Stopping};
use hingestage_node::settings::InnerPort;
use hingestage_node::{incarnation, Settings, Signals};
use hingestage_platform::Platform;
use hingestage_platform::Tokio;
use hingestage_quota::{Incarnation, TableSettings, TenantTable};
use hingestage_rendezvous::{choose, hash_bytes};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{
    ConfigDocument, ConfigTransfer, ConfigVersion, ProcessId, ProxyStatus, RegistryAddress,
};
use hingestage_rpc::serve as serve_calls;
use hingestage_rpc::status::OutcomeCount;
use hingestage_rpc::workers::ServiceUpdate;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Age of news from the registries up to which a part of a common limit may be used. Registries settle a proxy
/// that is new only when this has passed.
const PART_LEASE: Duration = Duration::from_secs(11);
/// Kept back of the time within which a key that was taken away has to be refused.
const KEY_MARGIN: Duration = Duration::from_millis(500);
/// How long workers of a zone that is taken back wait.
const RETURN_AFTER: Duration = Duration::from_millis(2_500);
/// Added to the time for which a worker is said to stay cold.
const COLD_MARGIN: Duration = Duration::from_millis(300);
/// Registries that are asked often where none is in the region.
const ASKED_OFTEN: usize = 2;
/// Rounds of housekeeping between two lines of counters.
const COUNTERS_EVERY: u64 = 10;
/// Period of housekeeping.
const TIDY_PERIOD: Duration = Duration::from_secs(1);
/// The largest head of a request, bytes.
const HEAD_MAX: usize = 32 * 1024;
/// The longest body, bytes.
const BODY_MAX: u64 = 64 << 20;
/// The longest body that is collected where there is memory for it, bytes.
const COLLECT_MAX: usize = 2 << 20;
/// Part of the memory limit that bodies may take together while they are collected.
const COLLECT_SHARE: usize = 8;
/// Part of the descriptors that clients' connections may take.
const CLIENT_SHARE: usize = 2;
/// Part of the descriptors that connections between two requests may take.
const IDLE_SHARE: usize = 4;
/// How long a client may take over the next piece of a body.
const PIECE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes a second that a client must keep up with.
const SLOWEST: f64 = 8_000.0;
/// How long a client may be silent between two requests, or over a head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a client may take over a head once it has begun.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an answer may stand still because of its reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Kept back of the time between SIGTERM and SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Spreads fetches of one version over time: the next registry is asked only when the one before has had its time.
pub(crate) struct Fetching<V>(Cell<Option<(V, Micros)>>);

impl<V> Default for Fetching<V> {
    fn default() -> Self {
        Fetching(Cell::new(None))
    }
}

impl<V: Copy + Ord> Fetching<V> {
    /// Begins a fetch, unless one of this version or of a newer one has had less than its time.
    ///
    /// # Errors
    /// The time that is left to the fetch under way.
    pub fn begin(&self, version: V, now: Micros, time: Duration) -> Result<(), Duration> {
        let under_way = self.0.get().filter(|(under_way, _)| *under_way >= version);
        let left = under_way.map(|(_, since)| (since + micros(time)).saturating_sub(now)).unwrap_or_default();
        if left > 0 {
            return Err(Duration::from_micros(left));
        }
        self.0.set(Some((version, now)));
        Ok(())
    }
}

/// The proxy.
pub struct Proxy {
    pub(crate) settings: Rc<Settings>,
    pub(crate) platform: Tokio,
    pub(crate) view: RefCell<View>,
    pub(crate) services: Services,
    pub(crate) tenants: RefCell<TenantTable>,
    /// What became of requests, for operators.
    pub(crate) requests: Rc<RequestLog>,
    pub(crate) collector: Collector<Tokio>,
    pub(crate) registries: RefCell<Vec<RegistryAddress>>,
    /// When a registry of this region last answered.
    pub(crate) near_heard_at: Cell<Micros>,
    pub(crate) registries_changed: Notify,
    pub(crate) fetching_config: Fetching<ConfigVersion>,
    pub(crate) relay: Relay,
    /// Where datagrams of other proxies come in.
    pub(crate) peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    pub(crate) loans: Loans,
    pub(crate) deferred: Deferred,
    pub(crate) trial_counts: TrialCounts,
    /// The configuration in force as it was sent: changes are made to it.
    document: RefCell<Option<ConfigDocument>>,
    id: ProcessId,
    http: SocketAddr,
    started: Instant,
    stopping: Cell<bool>,
    /// Told when time alone will make workers usable earlier than was known.
    workers_changed: Notify,
}

/// Runs the program until it is told to end.
///
/// # Errors
/// An address can't be had.
pub async fn serve(settings: Rc<Settings>) -> Result<()> {
    let mut signals = Signals::listen()?;
    let http = settings.listen.http.ok_or_else(|| eyre!("settings: `listen.http` is missing"))?;
    let proxy = Rc::new(Proxy::new(settings.clone(), http));
    let connections = Connections::new(proxy.platform, proxy.clone(), connection_settings(&settings));
    let listener = proxy.platform.listen(http).await.wrap_err_with(|| format!("listen.http: {http}"))?;
    if let Some(at) = settings.listen.readiness {
        let listener = TcpListener::bind(at).await.wrap_err_with(|| format!("listen.readiness: {at}"))?;
        spawn_local(readiness::serve(listener, proxy.clone()));
    }
    peers::start(&proxy).await?;
    let inner = settings.inner(InnerPort::Proxy);
    let calls = TcpListener::bind(inner).await.wrap_err_with(|| format!("{inner}"))?;
    spawn_local(serve_calls(calls, proxy.clone()));
    spawn_local(control::run(proxy.clone()));
    spawn_local(relay::run(proxy.clone()));
    spawn_local(proxy.clone().follow_time());
    spawn_local(proxy.clone().tidy());
    tokio::select! {
        _ = signals.terminate.recv() => {}
        () = connections.accept(&listener) => {}
    }
    log::info!("told to end: {} connections", connections.open());
    proxy.stopping.set(true);
    let now = proxy.platform.now();
    let until = now + settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    let accepts_until = now + settings.bounds.grace / 2;
    connections.stop(listener, Stopping { accepts_until, closes_idle: false, until }).await;
    log::info!("ended with {} connections", connections.open());
    Ok(())
}

fn connection_settings(settings: &Settings) -> ConnectionSettings {
    ConnectionSettings {
        clients_max: settings.limits.max_fds / CLIENT_SHARE,
        idle_max: settings.limits.max_fds / IDLE_SHARE,
        times: ClientTimes {
            first_head_timeout: IDLE_TIMEOUT,
            header_timeout: HEADER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        },
        largest_head: HEAD_MAX,
    }
}

fn collect_settings(settings: &Settings) -> CollectSettings {
    CollectSettings {
        limits: BodyLimits { longest: BODY_MAX, piece_timeout: PIECE_TIMEOUT, slowest: SLOWEST },
        each_max: COLLECT_MAX,
        together_max: (settings.limits.mem_mb as usize * (1 << 20)) / COLLECT_SHARE,
    }
}

fn table_settings() -> TableSettings {
    TableSettings { push_interval: micros(peers::PUSH_PERIOD) / 2, ..TableSettings::default() }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

impl Proxy {
    fn new(settings: Rc<Settings>, http: SocketAddr) -> Proxy {
        let bounds = &settings.bounds;
        let key_lease = bounds.revoke_strict.then(|| micros(bounds.revoke.saturating_sub(KEY_MARGIN)));
        let spans = Spans {
            return_after: micros(RETURN_AFTER),
            cold_margin: micros(COLD_MARGIN),
            key_lease,
            part_lease: micros(PART_LEASE),
            trials: hingestage_trial::Spans::default(),
        };
        let started = Instant::now();
        let incarnation = incarnation();
        let requests: Rc<RequestLog> = Rc::default();
        Proxy {
            platform: Tokio,
            view: RefCell::new(View::new(spans)),
            services: Services::new(settings.clone(), started, Tokio, requests.clone()),
            requests,
            tenants: RefCell::new(TenantTable::new(0, Incarnation(incarnation), table_settings())),
            collector: Collector::new(Tokio, collect_settings(&settings)),
            registries: RefCell::default(),
            near_heard_at: Cell::new(0),
            registries_changed: Notify::new(),
            fetching_config: Fetching::default(),
            relay: Relay::new(&settings.node),
            peer_socket: RefCell::default(),
            loans: Loans::default(),
            deferred: Deferred::default(),
            trial_counts: TrialCounts::default(),
            document: RefCell::default(),
            id: ProcessId { node: settings.node.as_str().into(), incarnation },
            http,
            started,
            stopping: Cell::new(false),
            workers_changed: Notify::new(),
            settings,
        }
    }

    /// Microseconds since the start.
    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Whether the process has been told to end.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Whether clients are to be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.borrow().can_serve()
    }

    /// What this proxy tells registries of itself.
    pub(crate) fn status(&self) -> ProxyStatus {
        ProxyStatus {
            id: self.id.clone(),
            zone: self.settings.zone.as_str().into(),
            region: self.settings.region.as_str().into(),
            http: self.http,
            peer: self.settings.inner(InnerPort::Proxy),
            ready: self.is_ready(),
        }
    }

    /// Takes in which registries there are.
    pub(crate) fn take_registries(&self, mut registries: Vec<RegistryAddress>) {
        registries.sort_unstable();
        let mut known = self.registries.borrow_mut();
        if *known != registries {
            *known = registries;
            self.registries_changed.notify_waiters();
        }
    }

    /// Whether a registry is one of those that this proxy asks often: those of its region, or a few where there is
    /// none. One that is not known yet is asked often.
    pub(crate) fn is_near(&self, addr: SocketAddr) -> bool {
        let registries = self.registries.borrow();
        if !registries.iter().any(|registry| registry.addr == addr) {
            return true;
        }
        let mut often: Vec<&RegistryAddress> =
            registries.iter().filter(|registry| !self.settings.is_far(&registry.zone)).collect();
        if often.is_empty() {
            let number = |registry: &&RegistryAddress| hash_bytes(registry.addr.to_string().as_bytes());
            often = choose(hash_bytes(self.settings.node.as_bytes()), registries.iter(), number, ASKED_OFTEN);
        }
        often.iter().any(|registry| registry.addr == addr)
    }

    pub(crate) fn take_peers(&self, peers: Vec<ProxyStatus>) {
        self.relay.take_peers(&peers, &self.settings.zone);
        self.view.borrow_mut().take_peers(peers);
    }

    /// Takes in a configuration. One that is a change to another than the one held, or that came out wrong, is
    /// fetched again: the next question says what is held.
    pub(crate) fn take_config(&self, transfer: ConfigTransfer) {
        let document = transfer.unpack(self.document.borrow().as_ref());
        let Some(document) = document else {
            log::warn!("configuration {:08x} can't be unpacked", transfer.version.serial);
            return;
        };
        if !self.view.borrow_mut().take_config(&document) {
            return;
        }
        log::info!("configuration {:08x} in force", document.version.serial);
        if let Some(active) = self.view.borrow().active() {
            let backends = &active.configuration.backends;
            self.services.keep_only(|name| backends.iter().any(|backend| backend.name == name));
        }
        *self.document.borrow_mut() = Some(document);
        self.relay.pass_config_on(self.now(), transfer);
    }

    /// Takes in news of services' workers.
    pub(crate) fn take_services(&self, updates: Vec<ServiceUpdate>) {
        let changed = self.view.borrow_mut().followed_mut().apply_updates(self.now(), updates);
        if changed.is_empty() {
            return;
        }
        self.services.refresh_those(&self.view.borrow(), self.now(), |name| changed.contains(name));
        self.workers_changed.notify_waiters();
        self.relay.services_changed();
    }

    /// Tells all services of workers that came, left or changed.
    pub(crate) fn refresh_workers(&self) {
        self.services.refresh(&self.view.borrow(), self.now());
        self.workers_changed.notify_waiters();
    }

    /// Notes this proxy's part of common limits.
    pub(crate) fn part_changed(&self) {
        let part = self.view.borrow().part();
        if part.valid_until > 0 {
            self.services.set_proxies(part.gateways);
        }
        self.tenants.borrow_mut().observe_part(self.now(), part);
    }

    /// Workers become usable as time passes.
    async fn follow_time(self: Rc<Self>) {
        loop {
            let changed = self.workers_changed.notified();
            let next = self.view.borrow().next_change(self.now());
            match next {
                None => changed.await,
                Some(at) => {
                    let wait = Duration::from_micros(at.saturating_sub(self.now()));
                    if tokio::time::timeout(wait, changed).await.is_err() {
                        self.services.refresh(&self.view.borrow(), self.now());
                    }
                }
            }
        }
    }

    async fn tidy(self: Rc<Self>) {
        let mut logged = Vec::new();
        for round in 1u64.. {
            tokio::time::sleep(TIDY_PERIOD).await;
            self.services.retire_idle();
            if round.is_multiple_of(COUNTERS_EVERY) {
                self.log_counters(&mut logged);
            }
        }
    }

    /// Writes what became of requests since the start, where that has changed.
    fn log_counters(&self, logged: &mut Vec<OutcomeCount>) {
        let counts = self.requests.counters().occurred();
        if counts != *logged {
            let texts: Vec<String> =
                counts.iter().map(|entry| format!("{} {}", entry.count, entry.outcome)).collect();
            log::info!("requests: {}", texts.join(", "));
            *logged = counts;
        }
    }
}
