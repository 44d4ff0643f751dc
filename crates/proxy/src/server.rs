//! The proxy process: shared state, startup, background tasks and graceful shutdown.

use crate::admission::DeferredRequests;
use crate::lending::TokenBorrowing;
use crate::relay::{self, Relay};
use crate::request_log::RequestLog;
use crate::services::Services;
use crate::trial_counts::TrialCounts;
use crate::view::{View, ViewSettings};
use crate::{control, peers, readiness};
use eyre::{eyre, Context, Result};
use hingestage_dataplane::body::BodyLimits;
use hingestage_dataplane::client::ClientTimeouts;
use hingestage_dataplane::collect::{CollectSettings, Collector};
use hingestage_dataplane::connections::{ConnectionSettings, Connections};
use hingestage_dataplane::shutdown::{Shutdown, ShutdownReport};
use hingestage_node::settings::{Bounds, InternalPort};
use hingestage_node::{incarnation, Settings, Signals};
use hingestage_platform::Platform;
use hingestage_platform::Tokio;
use hingestage_quota::{Incarnation, TableSettings, TenantTable};
use hingestage_rendezvous::{choose, hash_bytes};
use hingestage_replication::Micros;
use hingestage_rpc::messages::{
    ConfigDocument, ConfigTransfer, ConfigVersion, ProcessId, ProxyStatus, RegistryAddress,
};
use hingestage_rpc::status::OutcomeCount;
use hingestage_rpc::workers::ServiceUpdate;
use hingestage_rpc::{serve as serve_calls, OpenConnections};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Maximum age of the registries' data with which a share of a global limit may be used. Registries settle a new proxy
/// only after this time.
const SHARE_LEASE: Duration = Duration::from_secs(11);
/// Safety margin subtracted from the time within which a revoked key must be refused.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Delay before workers of a zone get requests after the end of its evacuation.
const ZONE_RETURN_DELAY: Duration = Duration::from_millis(2_500);
/// Safety margin added to the announced cold time of a worker.
const COLD_MARGIN: Duration = Duration::from_millis(300);
/// Number of registries polled often if none is in this region.
const NEARBY_REGISTRIES: usize = 2;
/// Number of maintenance rounds between two log lines of counters.
const ROUNDS_PER_COUNTER_LOG: u64 = 10;
/// Interval of maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a request's head, bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum size of a request's body, bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Maximum size of a body that is buffered, memory permitting, bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 2 << 20;
/// Buffered bodies may use one in this many bytes of the memory limit.
const BUFFER_MEMORY_DIVISOR: usize = 8;
/// Clients' connections may use one in this many file descriptors.
const CLIENT_FD_DIVISOR: usize = 2;
/// Idle connections may use one in this many file descriptors.
const IDLE_FD_DIVISOR: usize = 4;
/// Timeout for the next chunk of a body.
const BODY_CHUNK_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum rate at which a client must send a body, bytes per second.
const MIN_BODY_RATE: f64 = 8_000.0;
/// Timeout of an idle connection, between requests and before the first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for reading a request's head after its first byte.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a response whose reader makes no progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for answering the last calls of operators and of other proxies.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the first request of the connections accepted last, before idle connections are closed.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);
/// Time for the responses to requests that are abandoned at the end of a shutdown.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Prevents concurrent fetches of one version: another fetch starts only after the timeout of the one before.
pub(crate) struct FetchGuard<V>(Cell<Option<(V, Micros)>>);

impl<V> Default for FetchGuard<V> {
    fn default() -> Self {
        FetchGuard(Cell::new(None))
    }
}

impl<V: Copy + Ord> FetchGuard<V> {
    /// Starts a fetch, unless one of this or a later version is within `timeout` of its start.
    ///
    /// # Errors
    /// The remaining time of the fetch in progress.
    pub fn begin(&self, version: V, now: Micros, timeout: Duration) -> Result<(), Duration> {
        let in_progress = self.0.get().filter(|(fetched, _)| *fetched >= version);
        let left =
            in_progress.map(|(_, since)| (since + micros(timeout)).saturating_sub(now)).unwrap_or_default();
        if left > 0 {
            return Err(Duration::from_micros(left));
        }
        self.0.set(Some((version, now)));
        Ok(())
    }
}

/// Shared state of the proxy.
pub struct Proxy {
    pub(crate) settings: Rc<Settings>,
    pub(crate) platform: Tokio,
    pub(crate) view: RefCell<View>,
    pub(crate) services: Services,
    pub(crate) tenants: RefCell<TenantTable>,
    /// Request counters and history, for operators.
    pub(crate) requests: Rc<RequestLog>,
    pub(crate) collector: Collector<Tokio>,
    pub(crate) registries: RefCell<Vec<RegistryAddress>>,
    /// When a nearby registry last answered.
    pub(crate) nearby_answered_at: Cell<Micros>,
    pub(crate) registries_changed: Notify,
    pub(crate) config_fetches: FetchGuard<ConfigVersion>,
    pub(crate) relay: Relay,
    /// Socket for datagrams between proxies.
    pub(crate) peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    pub(crate) borrowing: TokenBorrowing,
    pub(crate) deferred: DeferredRequests,
    pub(crate) trial_counts: TrialCounts,
    /// Connections of operators and of other proxies.
    pub(crate) call_connections: Rc<OpenConnections>,
    /// The active configuration as received; deltas apply to it.
    document: RefCell<Option<ConfigDocument>>,
    id: ProcessId,
    http: SocketAddr,
    started: Instant,
    stopping: Cell<bool>,
    /// Notified when workers change, which may move the next change of usability by time.
    workers_changed: Notify,
}

/// Runs the proxy until SIGTERM and the end of the graceful shutdown.
///
/// # Errors
/// A missing setting, or an address that can't be bound.
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
    let inner = settings.internal_addr(InternalPort::Proxy);
    let calls = TcpListener::bind(inner).await.wrap_err_with(|| format!("{inner}"))?;
    spawn_local(serve_calls(calls, proxy.clone(), proxy.call_connections.clone()));
    spawn_local(control::run(proxy.clone()));
    spawn_local(relay::run(proxy.clone()));
    spawn_local(proxy.clone().refresh_on_time());
    spawn_local(proxy.clone().run_maintenance());
    tokio::select! {
        _ = signals.terminate.recv() => {}
        () = connections.accept(&listener) => {}
    }
    log::info!("told to end: {} connections", connections.open_count());
    proxy.stopping.set(true);
    let report = connections.stop(listener, shutdown(proxy.platform.now(), &settings.bounds)).await;
    log_end(report);
    proxy.finish_calls().await;
    Ok(())
}

/// The points in time of a shutdown that is followed by SIGKILL. Requests begin in the first half of the time until then; those
/// whose time ends before the process may begin later.
fn shutdown(now: Instant, bounds: &Bounds) -> Shutdown {
    let half = bounds.grace / 2;
    let deadline = bounds.shutdown_time();
    Shutdown {
        accept_until: now + half.saturating_sub(FIRST_REQUEST_TIME),
        close_idle_at: now + half,
        begin_until: now + half,
        answer_by: now + deadline.saturating_sub(LAST_RESPONSE_TIME),
        deadline: now + deadline,
    }
}

fn log_end(report: ShutdownReport) {
    let last = report.last_received_after.map_or_else(String::new, |after| {
        format!(", the last {:.3} s after the signal", after.as_secs_f64())
    });
    log::info!(
        "ended with {} connections, {} requests unanswered, {} abandoned; since the signal {} refused of {} received{last}",
        report.open_connections,
        report.unanswered,
        report.abandoned,
        report.refused,
        report.received
    );
}

fn connection_settings(settings: &Settings) -> ConnectionSettings {
    ConnectionSettings {
        max_connections: settings.limits.max_fds / CLIENT_FD_DIVISOR,
        max_idle: settings.limits.max_fds / IDLE_FD_DIVISOR,
        timeouts: ClientTimeouts {
            first_head_timeout: IDLE_TIMEOUT,
            header_timeout: HEADER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        },
        max_head_bytes: MAX_HEAD_BYTES,
    }
}

fn collect_settings(settings: &Settings) -> CollectSettings {
    CollectSettings {
        limits: BodyLimits {
            max_bytes: MAX_BODY_BYTES,
            chunk_timeout: BODY_CHUNK_TIMEOUT,
            min_bytes_per_s: MIN_BODY_RATE,
        },
        body_max_bytes: MAX_BUFFERED_BODY_BYTES,
        total_max_bytes: (settings.limits.mem_mb as usize * (1 << 20)) / BUFFER_MEMORY_DIVISOR,
    }
}

fn table_settings() -> TableSettings {
    TableSettings { push_interval: micros(peers::PUSH_INTERVAL) / 2, ..TableSettings::default() }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

impl Proxy {
    fn new(settings: Rc<Settings>, http: SocketAddr) -> Proxy {
        let bounds = &settings.bounds;
        let key_lease = bounds.revoke_strict.then(|| micros(bounds.revoke.saturating_sub(KEY_LEASE_MARGIN)));
        let view_settings = ViewSettings {
            zone_return_delay: micros(ZONE_RETURN_DELAY),
            cold_margin: micros(COLD_MARGIN),
            key_lease,
            share_lease: micros(SHARE_LEASE),
            trials: hingestage_trial::TrialTiming::default(),
        };
        let started = Instant::now();
        let incarnation = incarnation();
        let requests: Rc<RequestLog> = Rc::default();
        Proxy {
            platform: Tokio,
            view: RefCell::new(View::new(view_settings)),
            services: Services::new(settings.clone(), started, Tokio, requests.clone()),
            requests,
            tenants: RefCell::new(TenantTable::new(0, Incarnation(incarnation), table_settings())),
            collector: Collector::new(Tokio, collect_settings(&settings)),
            registries: RefCell::default(),
            nearby_answered_at: Cell::new(0),
            registries_changed: Notify::new(),
            config_fetches: FetchGuard::default(),
            relay: Relay::new(&settings.node),
            peer_socket: RefCell::default(),
            borrowing: TokenBorrowing::default(),
            deferred: DeferredRequests::default(),
            trial_counts: TrialCounts::default(),
            call_connections: Rc::default(),
            document: RefCell::default(),
            id: ProcessId { node: settings.node.as_str().into(), incarnation },
            http,
            started,
            stopping: Cell::new(false),
            workers_changed: Notify::new(),
            settings,
        }
    }

    /// Answers the calls of operators and of other proxies that have been received.
    async fn finish_calls(&self) {
        self.call_connections.stop();
        self.relay.notify_followers();
        self.call_connections.all_closed(LAST_CALLS_TIMEOUT).await;
    }

    /// Microseconds since the start of the process.
    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Whether the proxy accepts clients' requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.borrow().can_serve()
    }

    /// This proxy's status, as sent to registries.
    pub(crate) fn status(&self) -> ProxyStatus {
        ProxyStatus {
            id: self.id.clone(),
            zone: self.settings.zone.as_str().into(),
            region: self.settings.region.as_str().into(),
            http: self.http,
            peer: self.settings.internal_addr(InternalPort::Proxy),
            ready: self.is_ready(),
        }
    }

    /// Updates the list of registries.
    pub(crate) fn update_registries(&self, mut registries: Vec<RegistryAddress>) {
        registries.sort_unstable();
        let mut known = self.registries.borrow_mut();
        if *known != registries {
            *known = registries;
            self.registries_changed.notify_waiters();
        }
    }

    /// Whether this proxy polls a registry often: those of its region, or a few others if there are none, and those
    /// that are not listed yet.
    pub(crate) fn is_nearby(&self, addr: SocketAddr) -> bool {
        let registries = self.registries.borrow();
        if !registries.iter().any(|registry| registry.addr == addr) {
            return true;
        }
        let mut nearby: Vec<&RegistryAddress> =
            registries.iter().filter(|registry| !self.settings.is_remote_region(&registry.zone)).collect();
        if nearby.is_empty() {
            let number = |registry: &&RegistryAddress| hash_bytes(registry.addr.to_string().as_bytes());
            nearby = choose(
                hash_bytes(self.settings.node.as_bytes()),
                registries.iter(),
                number,
                NEARBY_REGISTRIES,
            );
        }
        nearby.iter().any(|registry| registry.addr == addr)
    }

    /// Updates the list of proxies.
    pub(crate) fn update_peers(&self, peers: Vec<ProxyStatus>) {
        self.relay.update_peers(&peers, &self.settings.zone);
        self.view.borrow_mut().set_peers(peers);
    }

    /// Applies a configuration if it is newer than the active one. A transfer that can't be unpacked, such as a delta
    /// to another base version, is dropped; the next watch reports the version held here, so it is sent again.
    pub(crate) fn apply_config(&self, transfer: ConfigTransfer) {
        let document = transfer.unpack(self.document.borrow().as_ref());
        let Some(document) = document else {
            log::warn!("configuration {:08x} can't be unpacked", transfer.version.serial);
            return;
        };
        if !self.view.borrow_mut().apply_config(&document) {
            return;
        }
        log::info!("configuration {:08x} in force", document.version.serial);
        if let Some(active) = self.view.borrow().active() {
            let backends = &active.configuration.backends;
            self.services.retain(|name| backends.iter().any(|backend| backend.name == name));
        }
        *self.document.borrow_mut() = Some(document);
        self.relay.offer_config(self.now(), transfer);
    }

    /// Applies updates of worker lists.
    pub(crate) fn apply_services(&self, updates: Vec<ServiceUpdate>) {
        let changed = self.view.borrow_mut().followed_mut().apply_updates(self.now(), updates);
        if changed.is_empty() {
            return;
        }
        self.services.refresh_those(&self.view.borrow(), self.now(), |name| changed.contains(name));
        self.workers_changed.notify_waiters();
        self.relay.notify_followers();
    }

    /// Updates the worker lists of all services after a change of the view.
    pub(crate) fn refresh_workers(&self) {
        self.services.refresh(&self.view.borrow(), self.now());
        self.workers_changed.notify_waiters();
    }

    /// Passes this proxy's share of global limits on to services and quotas.
    pub(crate) fn update_limit_share(&self) {
        let part = self.view.borrow().limit_share();
        if part.valid_until > 0 {
            self.services.set_proxy_count(part.gateways);
        }
        self.tenants.borrow_mut().observe_share(self.now(), part);
    }

    /// Updates worker lists whenever workers become usable by the passing of time.
    async fn refresh_on_time(self: Rc<Self>) {
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

    /// Closes idle connections and logs counters periodically.
    async fn run_maintenance(self: Rc<Self>) {
        let mut logged = Vec::new();
        for round in 1u64.. {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            self.services.retire_idle();
            if round.is_multiple_of(ROUNDS_PER_COUNTER_LOG) {
                self.log_counters(&mut logged);
            }
        }
    }

    /// Logs request counters if they have changed since they were last logged.
    fn log_counters(&self, logged: &mut Vec<OutcomeCount>) {
        let counts = self.requests.counters().nonzero();
        if counts != *logged {
            let texts: Vec<String> =
                counts.iter().map(|entry| format!("{} {}", entry.count, entry.outcome)).collect();
            log::info!("requests: {}", texts.join(", "));
            *logged = counts;
        }
    }
}
