//! Assembles one gateway and runs it until all requests are answered after a stop.

use crate::admin::Admin;
use crate::config::Config;
use crate::discovery::{Watcher, WorkerDirectory};
use crate::fleet::Fleet;
use crate::policy_follower::PolicyFollower;
use crate::server::{connection_settings, Server};
use crate::sites::Sites;
use crate::srv::{EndpointSink, Follower};
use crate::subsystems::GatewaySubsystems;
use crate::turns::Turns;
use hingestage_dataplane::connections::Connections;
use hingestage_dataplane::driver::{DecisionFactory, Driver};
use hingestage_lifecycle::LifecycleEvent;
use hingestage_membership::{Address, Sources};
use hingestage_operator::Srv;
use hingestage_platform::{Listener, Platform};
use hingestage_policy::{Event, ListScope};
use hingestage_srv::Endpoint;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How long discovery may stay silent before the gateway is ready with its cached list.
const CACHED_LIST_DELAY: Duration = Duration::from_secs(1);
/// Interval of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// A configuration that was read again while running, or the error.
pub type Reload = Result<Config, String>;

/// A command to a running gateway.
pub enum Control {
    /// Applies a reloaded configuration: addresses of discovery and counter, DNS settings, sites. An error changes
    /// nothing.
    Reload(Box<Reload>),
    /// A successor process serves, or has ended.
    Successor(bool),
    /// Finish the accepted requests, then end.
    Stop,
}

/// Serves until `stop` completes and all accepted requests are answered.
///
/// # Errors
/// The listening address can't be bound; the message names the field.
pub async fn serve<P: Platform>(
    platform: P,
    config: Config,
    decide: DecisionFactory,
    stop: impl Future<Output = ()> + 'static,
    mut reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let listener = platform.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let (sender, controls) = mpsc::channel(1);
    let stop_sender = sender.clone();
    platform.spawn(async move {
        while let Some(reload) = reloads.recv().await {
            let _ = sender.send(Control::Reload(Box::new(reload))).await;
        }
    });
    platform.spawn(async move {
        stop.await;
        let _ = stop_sender.send(Control::Stop).await;
    });
    serve_on(platform, config, decide, listener, controls).await
}

/// Serves on a listener until told to stop and all accepted requests are answered.
///
/// # Errors
/// The admin address can't be bound; the message names the field.
pub async fn serve_on<P: Platform>(
    platform: P,
    config: Config,
    decide: DecisionFactory,
    listener: P::Listener,
    controls: mpsc::Receiver<Control>,
) -> Result<(), String> {
    let bound = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    let counter_timeout = config.settings.counter_timeout;
    let subsystems = GatewaySubsystems::new(platform.clone(), config.counter, counter_timeout);
    let driver = Driver::new(platform.clone(), config.driver_settings(), subsystems.clone(), decide);
    subsystems.driver.get_or_init(|| Rc::downgrade(&driver));
    let server = Server::new(driver.clone(), &config);
    let connections = Connections::new(platform.clone(), server.clone(), connection_settings(&config));
    let sites = Sites::new(&driver, config.sites.clone(), config.settings.instances, &config.settings.rules);
    subsystems.sites.get_or_init(|| sites.clone());
    platform.spawn(sites.clone().run());
    let mut admin = None;
    if let Some(at) = config.admin {
        let listener = platform.listen(at).await.map_err(|e| format!("field `admin`: {at}: {e}"))?;
        let serving = admin.insert(Admin::new(driver.clone(), server.clone(), subsystems.clone())).clone();
        platform.spawn(serving.serve(listener));
    }
    platform.log(format_args!("listening on {bound}"));
    let directory = WorkerDirectory::new(sources(config.srv.as_ref()));
    let follower = config.srv.clone().map(|srv| follow_name(&driver, &server, &directory, srv, config.seed));
    follower.iter().for_each(|follower| admin.iter().for_each(|admin| admin.set_follower(follower.clone())));
    let uses_discovery = config.srv.as_ref().is_none_or(|srv| srv.use_discovery_list);
    let watcher = uses_discovery.then(|| {
        directory.apply_list(&driver, &config.cached_workers, ListScope::Cached);
        Watcher::start(driver.clone(), directory.clone(), config.discovery, config.cached_workers.rev, {
            let server = server.clone();
            move || server.apply(LifecycleEvent::Ready)
        })
    });
    if uses_discovery && !config.cached_workers.targets.is_empty() {
        // While discovery is down, the cached list is used.
        let (server, sleep) = (server.clone(), platform.sleep(CACHED_LIST_DELAY));
        platform.spawn(async move {
            sleep.await;
            server.apply(LifecycleEvent::Ready);
        });
    }
    let (stop_sender, stop) = oneshot::channel();
    let sinks = Sinks { directory, watcher, follower, subsystems: subsystems.clone() };
    platform.spawn(handle_controls(driver.clone(), server.clone(), sinks, controls, stop_sender));
    platform.spawn(subsystems.counter.clone().run());
    if let Some(settings) = config.fleet.clone() {
        let (me, gateways) = (config.settings.me, config.settings.instances.max(1));
        let counter = config.counter.map(|_| subsystems.counter.clone());
        let fleet = Fleet::new(&driver, counter, sites, settings.clone(), (me, gateways));
        subsystems.fleet.get_or_init(|| fleet.clone());
        if settings.turns {
            let counter = subsystems.counter.clone();
            let turns = Turns::new(&driver, counter, &fleet, &settings, (me, gateways), counter_timeout);
            subsystems.turns.get_or_init(|| turns.clone());
            platform.spawn(turns.run());
        }
        platform.spawn(fleet.run());
    }
    if let Some(settings) = config.policy.clone() {
        let policy = PolicyFollower::new(&driver, settings, config.settings.clone(), config.names.clone());
        subsystems.policy.get_or_init(|| policy.clone());
        // No request may begin before a policy is in force.
        driver.handle_event(Event::Terms(None));
        platform.spawn(policy.run());
    }
    platform.spawn(housekeeping(driver.clone(), connections.clone()));
    tokio::select! {
        biased;
        _ = stop => {}
        () = connections.accept(&listener) => {}
    }
    let max_wait = driver.max_wait().map_or(config.longest_deadline(), |l| l.max(config.longest_deadline()));
    let report = connections.stop(listener, server.stopping(max_wait)).await;
    platform.log(format_args!(
        "ended with {} connections, {} requests unanswered, {} abandoned, {} refused",
        report.open_connections, report.unanswered, report.abandoned, report.refused
    ));
    if let Some(fleet) = subsystems.fleet.get() {
        fleet.flush_goodbyes().await;
    }
    if let Some(admin) = admin {
        admin.finish_calls().await;
    }
    Ok(())
}

/// The parts of a gateway that a [`Control`] may change.
struct Sinks<P: Platform> {
    subsystems: Rc<GatewaySubsystems<P>>,
    directory: Rc<WorkerDirectory>,
    watcher: Option<Rc<Watcher<P>>>,
    follower: Option<Rc<Follower<P>>>,
}

fn sources(srv: Option<&Srv>) -> Sources {
    match srv {
        None => Sources::Discovery,
        Some(srv) => Sources::Dns { grace: srv.settings.grace, cold_at_start: srv.cold_at_start },
    }
}

/// Passes addresses from DNS to the directory of workers; the gateway is ready after the first ones.
struct DnsSink<P: Platform> {
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    directory: Rc<WorkerDirectory>,
}

impl<P: Platform> EndpointSink for DnsSink<P> {
    fn replace(&self, endpoints: &[Endpoint]) {
        let address = |e: &Endpoint| Address {
            at: e.at,
            tier: e.priority.into(),
            size: e.size,
            names: e.names.iter().map(ToString::to_string).collect(),
        };
        let addresses: Vec<Address> = endpoints.iter().map(address).collect();
        self.directory.apply_srv(&self.driver, &addresses);
        self.server.apply(LifecycleEvent::Ready);
    }

    fn expire(&self) -> Option<Duration> {
        let at = self.directory.expire(&self.driver)?;
        Some(Duration::from_micros(at.saturating_sub(self.driver.micros())))
    }
}

fn follow_name<P: Platform>(
    driver: &Rc<Driver<P>>,
    server: &Rc<Server<P>>,
    directory: &Rc<WorkerDirectory>,
    srv: Srv,
    seed: u64,
) -> Rc<Follower<P>> {
    let sink = DnsSink { driver: driver.clone(), server: server.clone(), directory: directory.clone() };
    let follower = Follower::start(driver.platform.clone(), srv.settings, seed, Box::new(sink));
    let (weak_driver, directory, weak_follower) =
        (Rc::downgrade(driver), directory.clone(), Rc::downgrade(&follower));
    driver.workers.on_connection_refused(move |worker| {
        weak_driver.upgrade().into_iter().for_each(|driver| directory.connection_refused(&driver, worker));
        weak_follower.upgrade().into_iter().for_each(|follower| follower.suspect());
    });
    follower
}

async fn housekeeping<P: Platform>(driver: Rc<Driver<P>>, connections: Rc<Connections<P, Server<P>>>) {
    loop {
        driver.platform.sleep(HOUSEKEEPING_INTERVAL).await;
        driver.workers.retire_idle();
        driver.report_gauges();
        connections.close_stalled();
    }
}

/// Handles commands, also while stopping.
async fn handle_controls<P: Platform>(
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    sinks: Sinks<P>,
    mut controls: mpsc::Receiver<Control>,
    stop: oneshot::Sender<()>,
) {
    let (mut stop, subsystems) = (Some(stop), &sinks.subsystems);
    while let Some(control) = controls.recv().await {
        match control {
            Control::Reload(reload) => apply_reload(&driver, &sinks, *reload),
            Control::Successor(serves) => {
                driver.platform.log(format_args!("successor {}", if serves { "starts" } else { "is gone" }));
                server.apply(if serves {
                    LifecycleEvent::SuccessorStarts
                } else {
                    LifecycleEvent::SuccessorGone
                });
                driver.handle_event(Event::Successor(serves));
                subsystems.policy.get().into_iter().for_each(|policy| policy.set_successor(serves));
            }
            Control::Stop => {
                server.apply(LifecycleEvent::Stop);
                subsystems.fleet.get().into_iter().for_each(|fleet| fleet.goodbye());
                subsystems.turns.get().into_iter().for_each(|turns| turns.leave());
                drop(stop.take());
            }
        }
    }
    // The sender is gone: serve on without commands.
    std::future::pending::<()>().await;
}

/// Applies a reloaded configuration.
fn apply_reload<P: Platform>(driver: &Rc<Driver<P>>, sinks: &Sinks<P>, reload: Reload) {
    driver.metrics.borrow_mut().record_reload(reload.is_ok());
    match reload {
        Ok(config) => {
            driver.platform.log(format_args!("configuration reloaded"));
            sinks.watcher.iter().for_each(|watcher| watcher.set_address(config.discovery));
            match (&sinks.follower, config.srv) {
                (Some(follower), Some(srv)) if srv.use_discovery_list == sinks.watcher.is_some() => {
                    sinks.directory.set_sources(sources(Some(&srv)));
                    follower.set_settings(srv.settings);
                }
                (None, None) => {}
                _ => driver
                    .platform
                    .log(format_args!("other sources of workers need a restart; the old ones stay in use")),
            }
            if let Some(at) = config.counter {
                sinks.subsystems.counter.set_address(at);
            }
            sinks.subsystems.sites.get().into_iter().for_each(|sites| sites.set_plans(config.sites.clone()));
        }
        Err(message) => driver.platform.log(format_args!("the old configuration stays: {message}")),
    }
}
