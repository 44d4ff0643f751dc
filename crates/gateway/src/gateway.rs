//! One gateway put together: serves from its start until all is answered after the call to stop.

use crate::admin::Admin;
use crate::changes::Changes;
use crate::config::Config;
use crate::discovery::{Book, Watcher};
use crate::fleet::Fleet;
use crate::server::{connection_settings, Server};
use crate::sites::Sites;
use crate::srv::{Follower, Hears};
use crate::subsystems::GatewaySubsystems;
use crate::turns::Turns;
use hingestage_dataplane::connections::Connections;
use hingestage_dataplane::driver::{DecisionFactory, Driver};
use hingestage_membership::{Address, Sources};
use hingestage_operate::LifecycleEvent;
use hingestage_operator::Srv;
use hingestage_platform::{Listener, Platform};
use hingestage_policy::{Event, ListScope};
use hingestage_srv::Endpoint;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Past the longest deadline after the call to stop nothing can be owed any more.
const STOP_SPARE: Duration = Duration::from_millis(600);
/// How long discovery may stay silent before the list of an earlier life is gone by.
const KNOWN_WILL_DO: Duration = Duration::from_secs(1);
/// Period of housekeeping.
const TIDY: Duration = Duration::from_secs(1);

/// A configuration read again while running, or why it could not be.
pub type Reload = Result<Config, String>;

/// What a gateway is told from outside while it serves.
pub enum Control {
    /// The configuration, read again: where discovery and counter are from now on. What could not be read
    /// changes nothing.
    Reload(Box<Reload>),
    /// Another process serves in this one's place as well, or has ended.
    Successor(bool),
    /// Answer what was taken, and end.
    Stop,
}

/// Serves until `stop` ends, and then until nothing is owed any more.
///
/// # Errors
/// The listening address can't be had; the message names the field.
pub async fn serve<P: Platform>(
    platform: P,
    config: Config,
    decide: DecisionFactory,
    stop: impl Future<Output = ()> + 'static,
    mut reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let listener = platform.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let (tell, controls) = mpsc::channel(1);
    let tell_stop = tell.clone();
    platform.spawn(async move {
        while let Some(reload) = reloads.recv().await {
            let _ = tell.send(Control::Reload(Box::new(reload))).await;
        }
    });
    platform.spawn(async move {
        stop.await;
        let _ = tell_stop.send(Control::Stop).await;
    });
    serve_on(platform, config, decide, listener, controls).await
}

/// Serves on a listener until told to stop, and then until nothing is owed any more.
///
/// # Errors
/// The operators' address can't be had; the message names the field.
pub async fn serve_on<P: Platform>(
    platform: P,
    config: Config,
    decide: DecisionFactory,
    listener: P::Listener,
    controls: mpsc::Receiver<Control>,
) -> Result<(), String> {
    let bound = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    let wait = config.settings.counter_timeout;
    let subsystems = GatewaySubsystems::new(platform.clone(), config.counter, wait);
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
    let book = Book::new(sources(config.srv.as_ref()));
    let follower = config.srv.clone().map(|srv| follow_name(&driver, &server, &book, srv, config.seed));
    follower.iter().for_each(|follower| admin.iter().for_each(|admin| admin.show(follower.clone())));
    let listed = config.srv.as_ref().is_none_or(|srv| srv.beside_list);
    let watcher = listed.then(|| {
        book.apply(&driver, &config.known, ListScope::Cached);
        Watcher::start(driver.clone(), book.clone(), config.discovery, config.known.rev, {
            let server = server.clone();
            move || server.told(LifecycleEvent::Ready)
        })
    });
    if listed && !config.known.targets.is_empty() {
        // While discovery is down the list of before is all there is, and serves well enough.
        let (server, sleep) = (server.clone(), platform.sleep(KNOWN_WILL_DO));
        platform.spawn(async move {
            sleep.await;
            server.told(LifecycleEvent::Ready);
        });
    }
    let (tell_stop, stop) = oneshot::channel();
    let sources = Followed { book, watcher, follower, subsystems: subsystems.clone() };
    platform.spawn(follow(driver.clone(), server.clone(), sources, controls, tell_stop));
    platform.spawn(subsystems.counter.clone().run());
    if let Some(figures) = config.fleet.clone() {
        let (me, gateways) = (config.settings.me, config.settings.instances.max(1));
        let counter = config.counter.map(|_| subsystems.counter.clone());
        let fleet = Fleet::new(&driver, counter, sites, figures.clone(), (me, gateways));
        subsystems.fleet.get_or_init(|| fleet.clone());
        if figures.turns {
            let counter = subsystems.counter.clone();
            let turns = Turns::new(&driver, counter, &fleet, &figures, (me, gateways), wait);
            subsystems.turns.get_or_init(|| turns.clone());
            platform.spawn(turns.run());
        }
        platform.spawn(fleet.run());
    }
    if let Some(figures) = config.policy.clone() {
        let changes = Changes::new(&driver, figures, config.settings.clone(), config.names.clone());
        subsystems.changes.get_or_init(|| changes.clone());
        // Before anything can come in.
        driver.handle_event(Event::Terms(None));
        platform.spawn(changes.run());
    }
    platform.spawn(tidy(driver.clone(), connections.clone()));
    tokio::select! {
        biased;
        _ = stop => {}
        () = connections.accept(&listener) => {}
    }
    let longest = driver.max_wait().map_or(config.longest_deadline(), |l| l.max(config.longest_deadline()));
    connections.stop(listener, server.stopping(longest + STOP_SPARE)).await;
    if let Some(fleet) = subsystems.fleet.get() {
        fleet.last_words().await;
    }
    Ok(())
}

/// What follows what the gateway is told from outside.
struct Followed<P: Platform> {
    subsystems: Rc<GatewaySubsystems<P>>,
    book: Rc<Book>,
    watcher: Option<Rc<Watcher<P>>>,
    follower: Option<Rc<Follower<P>>>,
}

fn sources(srv: Option<&Srv>) -> Sources {
    match srv {
        None => Sources::Discovery,
        Some(srv) => Sources::Dns { grace: srv.settings.grace, cold_at_start: srv.cold_at_start },
    }
}

/// What DNS says goes into the book, and the gateway is ready once it has said anything.
struct ToBook<P: Platform> {
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    book: Rc<Book>,
}

impl<P: Platform> Hears for ToBook<P> {
    fn believe(&self, endpoints: &[Endpoint]) {
        let address = |e: &Endpoint| Address {
            at: e.at,
            tier: e.priority.into(),
            size: e.size,
            names: e.names.iter().map(ToString::to_string).collect(),
        };
        let addresses: Vec<Address> = endpoints.iter().map(address).collect();
        self.book.apply_srv(&self.driver, &addresses);
        self.server.told(LifecycleEvent::Ready);
    }

    fn lapse(&self) -> Option<Duration> {
        let at = self.book.lapse(&self.driver)?;
        Some(Duration::from_micros(at.saturating_sub(self.driver.micros())))
    }
}

fn follow_name<P: Platform>(
    driver: &Rc<Driver<P>>,
    server: &Rc<Server<P>>,
    book: &Rc<Book>,
    srv: Srv,
    seed: u64,
) -> Rc<Follower<P>> {
    let hears = ToBook { driver: driver.clone(), server: server.clone(), book: book.clone() };
    let follower = Follower::start(driver.platform.clone(), srv.settings, seed, Box::new(hears));
    let (weak, seen, asks) = (Rc::downgrade(driver), book.clone(), Rc::downgrade(&follower));
    driver.workers.on_connection_refused(move |worker| {
        weak.upgrade().into_iter().for_each(|driver| seen.refused(&driver, worker));
        asks.upgrade().into_iter().for_each(|follower| follower.suspect());
    });
    follower
}

async fn tidy<P: Platform>(driver: Rc<Driver<P>>, connections: Rc<Connections<P, Server<P>>>) {
    loop {
        driver.platform.sleep(TIDY).await;
        driver.workers.retire_idle();
        driver.report_gauges();
        connections.close_stalled();
    }
}

/// Takes in what it is told, while stopping as well.
async fn follow<P: Platform>(
    driver: Rc<Driver<P>>,
    server: Rc<Server<P>>,
    sources: Followed<P>,
    mut controls: mpsc::Receiver<Control>,
    stop: oneshot::Sender<()>,
) {
    let (mut stop, subsystems) = (Some(stop), &sources.subsystems);
    while let Some(control) = controls.recv().await {
        match control {
            Control::Reload(reload) => go_where(&driver, &sources, *reload),
            Control::Successor(serves) => {
                driver.platform.log(format_args!("successor {}", if serves { "starts" } else { "is gone" }));
                server.told(if serves {
                    LifecycleEvent::SuccessorStarts
                } else {
                    LifecycleEvent::SuccessorGone
                });
                driver.handle_event(Event::Successor(serves));
                subsystems.changes.get().into_iter().for_each(|changes| changes.successor(serves));
            }
            Control::Stop => {
                server.told(LifecycleEvent::Stop);
                subsystems.fleet.get().into_iter().for_each(|fleet| fleet.goodbye());
                subsystems.turns.get().into_iter().for_each(|turns| turns.leave());
                drop(stop.take());
            }
        }
    }
    // Whoever held the other end is gone, and nothing can be told any more: serve on.
    std::future::pending::<()>().await;
}

/// Goes where the file sends it now.
fn go_where<P: Platform>(driver: &Rc<Driver<P>>, sources: &Followed<P>, reload: Reload) {
    driver.metrics.borrow_mut().record_reload(reload.is_ok());
    match reload {
        Ok(config) => {
            driver.platform.log(format_args!("configuration read again"));
            sources.watcher.iter().for_each(|watcher| watcher.go_to(config.discovery));
            match (&sources.follower, config.srv) {
                (Some(follower), Some(srv)) if srv.beside_list == sources.watcher.is_some() => {
                    sources.book.go_by(self::sources(Some(&srv)));
                    follower.go_by(srv.settings);
                }
                (None, None) => {}
                _ => driver
                    .platform
                    .log(format_args!("other sources of workers take a restart; the old ones stay")),
            }
            if let Some(at) = config.counter {
                sources.subsystems.counter.go_to(at);
            }
            sources.subsystems.sites.get().into_iter().for_each(|sites| sites.go_by(config.sites.clone()));
        }
        Err(message) => driver.platform.log(format_args!("the old configuration stays: {message}")),
    }
}
