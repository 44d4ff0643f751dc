//! A script played: gateways, workers, discovery, counter and clients in one thread on the virtual clock.

use crate::checker::{Asked, Checker, Figures, Violation};
use crate::executor::{Executor, Host, Nanos};
use crate::net::{address, Links, Net, Sim, Wired};
use crate::script::{Act, AskLine, Fault, Manner, Mend, Micros, Script, PLANS};
use crate::site;
use hingestage_gateway::config::Config;
use hingestage_gateway::driver::gatekeeper;
use hingestage_gateway::gateway::{serve, Reload};
use hingestage_platform::Platform;
use hingestage_standins::client::{self, Ask, Pool};
use hingestage_standins::counter::{self, Counter};
use hingestage_standins::discovery::{Agent, Listed};
use hingestage_standins::worker::{self, Spec, Worker};
use hingestage_standins::{Observer, Seen};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// The gateways have this long to become ready.
const READY: Nanos = 1_200 * MS;
/// After the last fault is mended, service has this long to return to normal.
pub const SETTLES: Nanos = 6 * S;
/// Once no client is left, tables, tasks and descriptors have this long to go back to their floor.
const EMPTIES: Nanos = 5 * S;
/// Pulls that each gateway must serve once service is normal again.
const LAST_ASKS: u64 = 3;
/// A gateway that was told to stop must have ended by then: longest deadline and what `PROTOCOL` adds.
const STOPS: Nanos = 3_200 * MS;
/// How long clients still come to a gateway that was told to stop.
const STILL_COME: Nanos = 300 * MS;

const GATEWAY: Host = 10;
const AGENT: Host = 20;
const COUNTER: Host = 40;
const CLIENTS: Host = 50;
const WORKER: Host = 100;

/// A gateway's life: ends when the gateway does.
pub type Life = Pin<Box<dyn Future<Output = Result<(), String>>>>;

/// Starts a gateway. Tests plant defects by wrapping the decisions or the platform here.
pub type Start = fn(Sim, Config, oneshot::Receiver<()>, mpsc::Receiver<Reload>) -> Life;

/// Starts the gateway as it is served.
pub fn start(sim: Sim, config: Config, stop: oneshot::Receiver<()>, reloads: mpsc::Receiver<Reload>) -> Life {
    let stop = async move {
        let _ = stop.await;
    };
    Box::pin(serve(sim, config, gatekeeper, stop, reloads))
}

/// How to play.
#[derive(Clone, Copy)]
pub struct Options {
    /// Starts a gateway.
    pub start: Start,
    /// Whether to keep a line for everything that is seen.
    pub trace: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options { start, trace: false }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The first rule that was broken.
    pub broken: Option<Violation>,
    /// A hash of everything that was seen and when.
    pub digest: u64,
    /// Events of the world.
    pub steps: u64,
    /// Kinds of faults, and phases that requests were in as these struck: places in `script::kinds()` and
    /// `checker::PHASES`.
    pub reached: BTreeSet<(String, usize)>,
    /// Answers to usual clients, by status.
    pub answers: BTreeMap<u16, usize>,
    /// A line for everything that was seen, where asked for.
    pub trace: Vec<String>,
}

/// A worker's life in this world.
struct Hand {
    worker: Rc<Worker<Sim>>,
    host: Host,
    uid: String,
    boot_ms: u64,
    alive: Cell<bool>,
}

struct Gateway {
    up_at: Cell<Nanos>,
    /// Since when it is told to stop, or 0.
    stopping: Cell<Nanos>,
    alive: Cell<bool>,
    life: Cell<u32>,
    /// Which of its two agents it follows.
    side: Cell<usize>,
    agents: [Rc<Agent<Sim>>; 2],
    agent_up: [Cell<bool>; 2],
    /// By how much later its agent learns of changes.
    late: Cell<Nanos>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    reloads: RefCell<Option<mpsc::Sender<Reload>>>,
    pool: RefCell<Rc<Pool<Sim>>>,
}

struct World {
    executor: Executor,
    net: Net,
    options: Options,
    script: Script,
    checker: RefCell<Checker>,
    observer: Observer,
    gateways: Vec<Gateway>,
    workers: RefCell<Vec<Hand>>,
    /// Lives of workers after those of the start.
    lives: Cell<usize>,
    counter: RefCell<Rc<Counter<Sim>>>,
    counter_side: Cell<u16>,
    requests: Cell<u64>,
    clients_out: Cell<usize>,
    reached: RefCell<BTreeSet<(String, usize)>>,
    /// Tasks and descriptors of a gateway at rest.
    floor: Cell<(usize, usize)>,
}

/// Plays a script from its first line to the end of what follows from it.
pub fn play(script: &Script, options: Options) -> Report {
    let executor = Executor::new(script.seed);
    let net = Net::new(executor.clone(), if script.exact { Links::exact() } else { Links::default() });
    let seen = Rc::new(RefCell::new(Digest::new(options.trace)));
    let world = World::new(executor.clone(), net, script, options, &seen);
    world.begin();
    let ends = world.schedule();
    let over = world.advance(ends);
    if over {
        world.finish();
    }
    let report = world.report(&seen);
    executor.end();
    report
}

impl World {
    fn new(
        executor: Executor,
        net: Net,
        script: &Script,
        options: Options,
        seen: &Rc<RefCell<Digest>>,
    ) -> Rc<World> {
        Rc::new_cyclic(|this: &std::rc::Weak<World>| {
            let observer: Observer = Rc::new({
                let (this, seen, executor) = (this.clone(), seen.clone(), executor.clone());
                move |what: Seen| {
                    seen.borrow_mut().take(executor.nanos(), || line(&what));
                    if let Some(world) = this.upgrade() {
                        let nanos = |at| world.executor.nanos_of(at);
                        world.checker.borrow_mut().observe(world.executor.nanos(), &what, nanos);
                    }
                }
            });
            net.observe(
                {
                    let (this, seen, executor) = (this.clone(), seen.clone(), executor.clone());
                    move |Wired::Ended { conn, by }| {
                        seen.borrow_mut().take(executor.nanos(), || format!("{by} ends connection {conn}"));
                        if let Some(world) = this.upgrade() {
                            world.checker.borrow_mut().conn_ended(conn);
                        }
                    }
                },
                {
                    let (seen, executor) = (seen.clone(), executor.clone());
                    move |host, text| {
                        seen.borrow_mut().take(executor.nanos(), || format!("log of {host}: {text}"));
                    }
                },
            );
            let gateways = (0..script.gateways).map(|g| gateway(&net, g, &observer)).collect();
            let counter = Counter::new(net.platform(COUNTER), COUNTER_PACE);
            World {
                checker: RefCell::new(Checker::new(figures())),
                executor: executor.clone(),
                net,
                options,
                script: script.clone(),
                observer,
                gateways,
                workers: RefCell::default(),
                lives: Cell::new(0),
                counter: RefCell::new(counter),
                counter_side: Cell::new(0),
                requests: Cell::new(0),
                clients_out: Cell::new(0),
                reached: RefCell::default(),
                floor: Cell::new((0, 0)),
            }
        })
    }

    fn begin(self: &Rc<Self>) {
        self.start_counter();
        for line in self.script.workers.clone() {
            let host = WORKER + line.number as Host;
            let spec = Spec {
                number: line.number,
                cores: line.cores,
                queue: line.queue,
                speed: line.speed,
                cold: site::COLD,
                started: line.cold.then(|| self.executor.instant()),
                runs_on: self.script.runs_on,
            };
            self.start_worker(spec, host, format!("w{}", line.number));
        }
        for g in 0..self.gateways.len() {
            self.start_agent(g, 0);
            self.start_gateway(g);
        }
    }

    /// Puts all that the script says on the clock; gives the time by which it is over.
    fn schedule(self: &Rc<Self>) -> Nanos {
        let mut last: Micros = 0;
        for (at, act) in self.script.acts.clone() {
            let (times, every) = if let Act::Ask(ask) = &act { ask.times } else { (1, 0) };
            for n in 0..times {
                let (world, act) = (self.clone(), act.clone());
                self.executor.at(READY + (at + n * every) * 1_000, move || world.act(act));
            }
            last = last.max(at + times * every);
        }
        READY + last * 1_000 + S / 10
    }

    /// Runs until an instant; false where a rule is broken before.
    fn advance(&self, until: Nanos) -> bool {
        loop {
            let stepped = self.executor.step(until);
            for (host, text) in self.executor.take_panics() {
                let what = format!("machine {host} panicked: {text}");
                self.checker.borrow_mut().break_rule("crash", self.executor.nanos(), what);
            }
            if self.checker.borrow().broken().is_some() {
                return false;
            }
            if !stepped {
                return true;
            }
        }
    }

    /// After the faults: everything is answered, service is normal, and nothing is left over.
    fn finish(self: &Rc<Self>) {
        self.mend_all();
        let now = self.executor.nanos();
        if !self.advance(now + SETTLES) {
            return;
        }
        let left = self.clients_out.get();
        if left > 0 {
            let what = format!("{left} clients still wait long after the faults");
            return self.checker.borrow_mut().break_rule("lost", self.executor.nanos(), what);
        }
        self.checker.borrow_mut().must_serve = true;
        self.last_asks();
        if !self.advance(self.executor.nanos() + 5 * S) {
            return;
        }
        if self.clients_out.get() > 0 {
            let what = "the last asks were not answered".to_owned();
            return self.checker.borrow_mut().break_rule("liveness", self.executor.nanos(), what);
        }
        for gateway in &self.gateways {
            let pool = gateway.pool.borrow().clone();
            self.executor.spawn(CLIENTS, async move { pool.close().await });
        }
        if self.advance(self.executor.nanos() + EMPTIES) {
            self.check_floor();
        }
    }

    fn check_floor(&self) {
        let (tasks, descriptors) = self.floor.get();
        for g in 0..self.gateways.len() {
            let host = GATEWAY + g as Host;
            let now = (self.executor.tasks_of(host), self.net.descriptors(host));
            let tables = self.net.tables(host);
            if !tables.is_empty() {
                let what = format!("gateway {g} still holds {tables:?} with no client left");
                self.checker.borrow_mut().break_rule("floor", self.executor.nanos(), what);
            }
            if now.0 > tasks || now.1 > descriptors {
                let what = format!(
                    "gateway {g} has {} tasks and {} descriptors left, {tasks} and {descriptors} at rest",
                    now.0, now.1
                );
                self.checker.borrow_mut().break_rule("floor", self.executor.nanos(), what);
            }
        }
    }

    fn last_asks(self: &Rc<Self>) {
        for g in 0..self.gateways.len() {
            for n in 0..LAST_ASKS {
                let world = self.clone();
                let ask = AskLine::plain(g, 1_000 + g as u64, 1);
                let at = self.executor.nanos() + n * S;
                self.executor.at(at, move || world.ask(&ask));
            }
        }
    }

    fn report(&self, seen: &Rc<RefCell<Digest>>) -> Report {
        let mut seen = seen.borrow_mut();
        let checker = self.checker.borrow();
        seen.take(self.executor.nanos(), || format!("{:?} {:?}", checker.broken(), checker.answers));
        Report {
            broken: checker.broken().cloned(),
            digest: seen.hash,
            steps: self.executor.steps(),
            reached: self.reached.borrow().clone(),
            answers: checker.answers.clone(),
            trace: std::mem::take(&mut seen.lines),
        }
    }

    // ---- gateways ----

    fn start_gateway(self: &Rc<Self>, g: usize) {
        let gateway = &self.gateways[g];
        let host = GATEWAY + g as Host;
        let life = self.checker.borrow_mut().gateway_starts(g);
        let agent = gateway.agents[gateway.side.get()].clone();
        for listed in agent.changes() {
            let (uid, state, boot_ms) = (listed.uid, listed.state, listed.boot_ms);
            (self.observer)(Seen::Told { gateway: g, uid, state, boot_ms });
        }
        let seed = self.script.seed.wrapping_add(g as u64 * 7_919 + u64::from(life));
        let config = match self.config(g, seed) {
            Ok(config) => config,
            Err(what) => return self.checker.borrow_mut().break_rule("crash", self.executor.nanos(), what),
        };
        let (stop, stopped) = oneshot::channel();
        let (reload, reloads) = mpsc::channel(1);
        (*gateway.stop.borrow_mut(), *gateway.reloads.borrow_mut()) = (Some(stop), Some(reload));
        gateway.life.set(life);
        gateway.alive.set(true);
        gateway.stopping.set(0);
        gateway.up_at.set(self.executor.nanos() + READY - S / 10);
        *gateway.pool.borrow_mut() = Pool::new(
            self.net.platform(CLIENTS + g as Host),
            address(host, site::GATEWAY_PORT),
            self.observer.clone(),
        );
        let served = (self.options.start)(self.net.platform(host), config, stopped, reloads);
        let world = self.clone();
        self.executor.spawn(host, async move {
            let ended = served.await;
            let then = world.executor.nanos();
            let again = world.clone();
            // The process ends outside of its own task.
            world.executor.at(then, move || again.gateway_ended(g, life, ended));
        });
        let world = self.clone();
        self.executor.at(self.executor.nanos() + READY - S / 20, move || {
            let rest = (world.executor.tasks_of(host), world.net.descriptors(host));
            if world.floor.get() == (0, 0) {
                world.floor.set(rest);
            }
        });
    }

    fn config(&self, g: usize, seed: u64) -> Result<Config, String> {
        let gateway = &self.gateways[g];
        let side = gateway.side.get();
        let agent = address(AGENT + (g * 2 + side) as Host, site::DISCOVERY_PORT);
        let counter = address(COUNTER, site::COUNTER_PORT + self.counter_side.get());
        let listen = address(GATEWAY + g as Host, site::GATEWAY_PORT);
        let known = gateway.agents[side].list();
        let text = site::config(self.gateways.len(), g, listen, agent, counter, seed, known);
        Config::parse(&text.to_string(), |_| None)
    }

    fn gateway_ended(self: &Rc<Self>, g: usize, life: u32, ended: Result<(), String>) {
        let gateway = &self.gateways[g];
        if gateway.life.get() != life || !gateway.alive.get() {
            return;
        }
        if gateway.stopping.get() == 0 || ended.is_err() {
            let what = format!("gateway {g} ended by itself: {ended:?}");
            return self.checker.borrow_mut().break_rule("crash", self.executor.nanos(), what);
        }
        gateway.alive.set(false);
        self.net.kill(GATEWAY + g as Host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + S / 5, move || world.start_gateway(g));
    }

    fn kill_gateway(self: &Rc<Self>, g: usize, back: Nanos) {
        let gateway = &self.gateways[g];
        if !gateway.alive.replace(false) {
            return;
        }
        self.checker.borrow_mut().gateway_killed(g);
        self.net.kill(GATEWAY + g as Host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + back, move || world.start_gateway(g));
    }

    fn stop_gateway(self: &Rc<Self>, g: usize) {
        let gateway = &self.gateways[g];
        if !gateway.alive.get() || gateway.stopping.get() > 0 {
            return;
        }
        gateway.stopping.set(self.executor.nanos());
        if let Some(stop) = gateway.stop.borrow_mut().take() {
            let _ = stop.send(());
        }
        let (world, life) = (self.clone(), gateway.life.get());
        self.executor.at(self.executor.nanos() + STOPS, move || {
            let gateway = &world.gateways[g];
            if gateway.alive.get() && gateway.life.get() == life {
                let what = format!("gateway {g} goes on long after it was told to stop");
                world.checker.borrow_mut().break_rule("lost", world.executor.nanos(), what);
            }
        });
    }

    /// Sends a gateway to its other agent and to the counter's other address, or gives it a bad file.
    fn reload(self: &Rc<Self>, g: usize, good: bool) {
        let gateway = &self.gateways[g];
        if !gateway.alive.get() || self.executor.nanos() < gateway.up_at.get() {
            return;
        }
        let reload = if good {
            let old = gateway.side.get();
            gateway.side.set(1 - old);
            self.start_agent(g, 1 - old);
            let world = self.clone();
            self.executor.at(self.executor.nanos() + 1_500 * MS, move || world.stop_agent(g, old));
            self.counter_side.set(1 - self.counter_side.get());
            self.config(g, 1)
        } else {
            Err("configuration: field `seed`: missing".to_owned())
        };
        if let Some(reloads) = gateway.reloads.borrow().as_ref() {
            let _ = reloads.try_send(reload);
        }
    }

    // ---- discovery ----

    fn start_agent(self: &Rc<Self>, g: usize, side: usize) {
        if self.gateways[g].agent_up[side].replace(true) {
            return;
        }
        let platform = self.net.platform(AGENT + (g * 2 + side) as Host);
        let agent = self.gateways[g].agents[side].clone();
        let at = address(AGENT + (g * 2 + side) as Host, site::DISCOVERY_PORT);
        self.executor.spawn(AGENT + (g * 2 + side) as Host, async move {
            if let Ok(listener) = platform.listen(at).await {
                agent.run(listener).await;
            }
        });
    }

    fn stop_agent(&self, g: usize, side: usize) {
        let gateway = &self.gateways[g];
        if gateway.side.get() != side && gateway.agent_up[side].replace(false) {
            self.net.kill(AGENT + (g * 2 + side) as Host);
        }
    }

    /// Lets discovery know of a worker: each gateway's agent hears of it in its own time.
    fn list(self: &Rc<Self>, listed: Listed) {
        for g in 0..self.gateways.len() {
            let (world, listed) = (self.clone(), listed.clone());
            // At the start all is known at once.
            let takes = match self.executor.nanos() < READY / 2 {
                true => 0,
                false if self.script.exact => self.gateways[g].late.get() + MS,
                false => self.gateways[g].late.get() + MS + self.executor.draw(200 * MS),
            };
            let job = move || world.gateways[g].agents.iter().for_each(|agent| agent.change(listed.clone()));
            match takes {
                0 => job(),
                takes => self.executor.at(self.executor.nanos() + takes, job),
            }
        }
    }

    // ---- workers ----

    fn unix_ms(&self) -> u64 {
        self.net.platform(0).unix_time().as_millis() as u64
    }

    fn start_worker(self: &Rc<Self>, spec: Spec, host: Host, uid: String) {
        let boot_ms = if spec.started.is_some() { self.unix_ms() } else { 0 };
        let platform = self.net.platform(host);
        let worker = Worker::new(platform.clone(), spec.clone(), self.observer.clone());
        self.checker.borrow_mut().worker(&uid, boot_ms, spec);
        let at = address(host, site::WORKER_PORT);
        let running = worker.clone();
        self.executor.spawn(host, async move {
            if let Ok(listener) = platform.listen(at).await {
                running.run(listener).await;
            }
        });
        self.list(Listed { uid: uid.clone(), endpoint: at.to_string(), state: "up".into(), boot_ms });
        self.workers.borrow_mut().push(Hand { worker, host, uid, boot_ms, alive: Cell::new(true) });
    }

    /// The life in which the worker that began as `number` is now.
    fn with_worker(&self, number: usize, job: impl FnOnce(usize, &Hand)) {
        let workers = self.workers.borrow();
        let host = WORKER + number as Host;
        let found = workers.iter().enumerate().rev().find(|(_, w)| w.host == host && w.alive.get());
        if let Some((place, hand)) = found {
            job(place, hand);
        }
    }

    fn successor(&self, hand: &Hand) -> Spec {
        self.lives.set(self.lives.get() + 1);
        let number = self.lives.get() + crate::script::WORKERS_MAX;
        Spec { number, started: Some(self.executor.instant()), ..hand.worker.spec().clone() }
    }

    fn say(self: &Rc<Self>, hand: &Hand, state: &str) {
        let endpoint = address(hand.host, site::WORKER_PORT).to_string();
        let (uid, boot_ms) = (hand.uid.clone(), hand.boot_ms);
        self.list(Listed { uid, endpoint, state: state.into(), boot_ms });
    }

    /// A worker is drained and replaced by a cold one.
    fn deploy(self: &Rc<Self>, number: usize, same_address: bool) {
        let mut place = None;
        self.with_worker(number, |at, hand| {
            self.say(hand, "draining");
            place = Some(at);
        });
        let Some(place) = place else { return };
        if !same_address {
            let hand = &self.workers.borrow()[place];
            let spec = self.successor(hand);
            let (uid, host) = (format!("w{}", spec.number), WORKER + spec.number as Host);
            let world = self.clone();
            self.executor.at(self.executor.nanos(), move || world.start_worker(spec, host, uid));
        }
        let world = self.clone();
        let drains = self.executor.nanos() + 700 * MS;
        self.executor.at(drains, move || world.workers.borrow()[place].worker.drain());
        let world = self.clone();
        self.executor.at(drains + 500 * MS, move || world.end_worker(place, same_address));
    }

    /// Ends a drained worker once it has finished what it has.
    fn end_worker(self: &Rc<Self>, place: usize, same_address: bool) {
        let (host, spec) = {
            let hand = &self.workers.borrow()[place];
            if !hand.alive.get() {
                return;
            }
            if hand.worker.held() > 0 && hand.worker.mood() != worker::Mood::Silent {
                let world = self.clone();
                let later = self.executor.nanos() + 50 * MS;
                return self.executor.at(later, move || world.end_worker(place, same_address));
            }
            hand.alive.set(false);
            self.say(hand, "removed");
            (hand.host, self.successor(hand))
        };
        self.net.kill(host);
        if same_address {
            let uid = format!("w{}", spec.number);
            self.start_worker(spec, host, uid);
        }
    }

    fn restart_worker(self: &Rc<Self>, number: usize) {
        let mut found = None;
        self.with_worker(number, |_, hand| {
            hand.alive.set(false);
            found = Some((hand.host, hand.uid.clone(), self.successor(hand)));
        });
        let Some((host, uid, spec)) = found else { return };
        self.net.kill(host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + 100 * MS, move || {
            let started = Some(world.executor.instant());
            world.start_worker(Spec { started, ..spec }, host, uid);
        });
    }

    // ---- the counter ----

    fn start_counter(&self) {
        let platform = self.net.platform(COUNTER);
        let counter = Counter::new(platform.clone(), COUNTER_PACE);
        *self.counter.borrow_mut() = counter.clone();
        for side in 0..2 {
            let (platform, counter) = (platform.clone(), counter.clone());
            self.executor.spawn(COUNTER, async move {
                if let Ok(listener) = platform.listen(address(COUNTER, site::COUNTER_PORT + side)).await {
                    counter.run(listener).await;
                }
            });
        }
    }

    fn counter_turns(&self, way: &str, figure: u64) {
        let counter = self.counter.borrow().clone();
        match way {
            "busy" => counter.set(counter::Mood::Busy),
            "late" => counter.set(counter::Mood::Late(Duration::from_millis(figure))),
            "spoilt" => counter.set(counter::Mood::Spoilt),
            "silent" => counter.set(counter::Mood::Silent),
            "breaks" => counter.set(counter::Mood::Breaks),
            "empty" => counter.forget(),
            _ => self.net.kill(COUNTER),
        }
    }

    // ---- what the script says ----

    fn act(self: &Rc<Self>, act: Act) {
        match act {
            Act::Ask(ask) => self.ask(&ask),
            Act::Fault(fault) => {
                let phases = self.checker.borrow().phases();
                self.reached.borrow_mut().extend(phases.into_iter().map(|phase| (fault.kind(), phase)));
                self.go_wrong(fault);
            }
            Act::Mend(Mend::Worker(n)) => self.mend_worker(n),
            Act::Mend(Mend::Discovery(g)) => self.mend_discovery(g),
            Act::Mend(Mend::Counter) => self.mend_counter(),
        }
    }

    fn go_wrong(self: &Rc<Self>, fault: Fault) {
        let exists = |g: usize| g < self.gateways.len();
        match fault {
            Fault::Worker(n, way, figure) => {
                self.with_worker(n, |_, hand| hand.worker.set(mood(way, figure)))
            }
            Fault::Deploy(n, same) => self.deploy(n, same),
            Fault::Restart(n) => self.restart_worker(n),
            Fault::CutWorker(n) => self.with_worker(n, |_, hand| self.net.cut(hand.host)),
            Fault::Throttle(n, rate) => {
                self.with_worker(n, |_, hand| self.net.throttle(hand.host, Some(rate)))
            }
            Fault::Counter(way, figure) => self.counter_turns(way, figure),
            Fault::Dead(g) if exists(g) => self.gateways[g].agents.iter().for_each(|a| a.speak(false)),
            Fault::Babble(g) if exists(g) => self.gateways[g].agents.iter().for_each(|a| a.babble()),
            Fault::Late(g, by) if exists(g) => self.gateways[g].late.set(by * MS),
            Fault::Kill(g, back) if exists(g) => self.kill_gateway(g, back * MS),
            Fault::Term(g) if exists(g) => self.stop_gateway(g),
            Fault::Reload(g, good) if exists(g) => self.reload(g, good),
            Fault::Rude(g, what) if exists(g) => self.rude(g, what),
            _ => {}
        }
    }

    fn mend_worker(&self, number: usize) {
        self.with_worker(number, |_, hand| {
            hand.worker.set(worker::Mood::Good);
            self.net.join(hand.host);
            self.net.throttle(hand.host, None);
        });
    }

    fn mend_discovery(&self, g: usize) {
        if let Some(gateway) = self.gateways.get(g) {
            gateway.late.set(0);
            gateway.agents.iter().for_each(|agent| agent.speak(true));
        }
    }

    fn mend_counter(&self) {
        self.counter.borrow().set(counter::Mood::Good);
        if !self.net.listens(address(COUNTER, site::COUNTER_PORT)) {
            self.start_counter();
        }
    }

    fn mend_all(&self) {
        let hosts: Vec<Host> = self.workers.borrow().iter().map(|hand| hand.host).collect();
        hosts.iter().for_each(|host| self.mend_worker((host - WORKER) as usize));
        (0..self.gateways.len()).for_each(|g| self.mend_discovery(g));
        self.mend_counter();
    }

    // ---- clients ----

    /// The gateway that the front deals a request to: the one meant, else the next that is up.
    fn front(&self, meant: usize) -> Option<usize> {
        let (n, now) = (self.gateways.len(), self.executor.nanos());
        let up = |g: &usize| {
            let gateway = &self.gateways[*g];
            let stopping = gateway.stopping.get();
            gateway.alive.get()
                && now >= gateway.up_at.get()
                && (stopping == 0 || now < stopping + STILL_COME)
        };
        (0..n).map(|i| (meant + i) % n).find(up)
    }

    fn next_ask(&self, line: &AskLine, gateway: usize) -> Ask {
        self.requests.set(self.requests.get() + 1);
        let class = if line.push { "push" } else { "pull" };
        let number = self.requests.get();
        Ask {
            id: format!("{number:016x}"),
            class: class.into(),
            method: if line.push { "POST" } else { "GET" },
            path: format!("/{class}/of/{}?work={}&true={}", line.account, line.work, line.units),
            tier: PLANS[line.plan].into(),
            account: line.account,
            units: line.units as f64,
            spread: (self.gateways.len() as u32, 0),
            patience: Duration::from_millis(line.patience),
            body: format!("{number:x} of {gateway} ").into_bytes().repeat(line.body / 8 + 1),
            manner: match line.manner {
                Manner::Usual => client::Manner::Usual,
                Manner::Slowly(pieces) => {
                    let piece = (400 + line.body) / pieces.max(1) as usize + 1;
                    client::Manner::Slowly(piece, Duration::from_millis(1))
                }
                Manner::Leaves(after) => client::Manner::Leaves(Duration::from_micros(after)),
            },
        }
    }

    fn ask(self: &Rc<Self>, line: &AskLine) {
        let Some(g) = self.front(line.gateway) else { return };
        let mut ask = self.next_ask(line, g);
        if line.push {
            ask.body.truncate(line.body);
        } else {
            ask.body.clear();
        }
        let asked = Asked {
            gateway: g,
            life: self.gateways[g].life.get(),
            push: line.push,
            account: line.account,
            plan: line.plan,
            units: ask.units,
            line: format!("{} {}", ask.method, ask.path),
            body: ask.body.clone(),
        };
        self.checker.borrow_mut().ask(&ask.id, asked);
        let (pool, world) = (self.gateways[g].pool.borrow().clone(), self.clone());
        self.clients_out.set(self.clients_out.get() + 1);
        self.executor.spawn(CLIENTS + g as Host, async move {
            pool.ask(&ask).await;
            world.checker.borrow_mut().done(&ask.id);
            world.clients_out.set(world.clients_out.get() - 1);
        });
    }

    fn rude(self: &Rc<Self>, g: usize, what: &'static str) {
        let Some(g) = self.front(g) else { return };
        let ask = self.next_ask(&AskLine::plain(g, 77, 0), g);
        let ask = Ask { body: Vec::new(), ..ask };
        let host = CLIENTS + g as Host;
        let platform = self.net.platform(host);
        let to = address(GATEWAY + g as Host, site::GATEWAY_PORT);
        let (observer, life, world) = (self.observer.clone(), self.gateways[g].life.get(), self.clone());
        let heard: Observer = Rc::new(move |seen: Seen| {
            // One that was killed owes nothing.
            if world.gateways[g].life.get() == life && world.gateways[g].alive.get() {
                observer(seen);
            }
        });
        self.executor.spawn(host, client::rude(platform, to, what, ask, heard));
    }
}

/// Time that a call to the counter takes.
const COUNTER_PACE: Duration = Duration::from_micros(700);

fn gateway(net: &Net, g: usize, observer: &Observer) -> Gateway {
    let agent = |side: usize| Agent::new(net.platform(AGENT + (g * 2 + side) as Host), g, observer.clone());
    let to = address(GATEWAY + g as Host, site::GATEWAY_PORT);
    Gateway {
        up_at: Cell::new(0),
        stopping: Cell::new(0),
        alive: Cell::new(false),
        life: Cell::new(0),
        side: Cell::new(0),
        agents: [agent(0), agent(1)],
        agent_up: Default::default(),
        late: Cell::new(0),
        stop: RefCell::default(),
        reloads: RefCell::default(),
        pool: RefCell::new(Pool::new(net.platform(CLIENTS + g as Host), to, observer.clone())),
    }
}

fn figures() -> Figures {
    let ceiling = |plan: &site::Plan| {
        (plan.ceiling_rate > 0.0).then_some((plan.ceiling_rate, plan.ceiling_depth, plan.ceiling_slack))
    };
    Figures {
        drain_grace: site::DRAIN_GRACE.as_nanos() as Nanos,
        fall_multiple: site::FALL_MULTIPLE,
        fall_after: site::FALL_AFTER.as_nanos() as Nanos,
        max_attempts: site::MAX_ATTEMPTS,
        ceilings: site::PLANS.iter().map(ceiling).collect(),
    }
}

fn mood(way: &str, figure: u64) -> worker::Mood {
    use worker::Mood;
    match way {
        "silent" => Mood::Silent,
        "reset-answer" => Mood::ResetAnswer(figure as usize),
        "reset-asked" => Mood::ResetAsked(figure as usize),
        "trickle" => Mood::Trickle(Duration::from_millis(figure)),
        "slower" => Mood::Slower(figure as f64),
        "noise" => Mood::Noise,
        "endless-head" => Mood::EndlessHead,
        "wrong-length" => Mood::WrongLength,
        "huge" => Mood::Huge,
        "twice" => Mood::Twice,
        "noise-behind" => Mood::NoiseBehind,
        "interim" => Mood::Interim,
        "error" => Mood::Error,
        "full" => Mood::Full,
        "figures" => Mood::Figures,
        "closes" => Mood::Closes,
        _ => Mood::Good,
    }
}

/// Everything that was seen, as one number, and as lines where wanted.
struct Digest {
    hash: u64,
    trace: bool,
    lines: Vec<String>,
}

impl Digest {
    fn new(trace: bool) -> Digest {
        Digest { hash: 0xcbf2_9ce4_8422_2325, trace, lines: Vec::new() }
    }

    fn take(&mut self, at: Nanos, text: impl FnOnce() -> String) {
        let text = format!("{:>10.3} {}", at as f64 / 1e6 - READY as f64 / 1e6, text());
        let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.hash = text.bytes().fold(self.hash, mix);
        if self.trace {
            self.lines.push(text);
        }
    }
}

/// What was seen as a line, without points in time that mean nothing outside of this run.
fn line(seen: &Seen) -> String {
    match seen {
        Seen::Began { worker, conn, .. } => format!("worker {worker}: a request begins on {conn}"),
        Seen::Whole { worker, conn, message, .. } => {
            let id = message.header("request-id").unwrap_or_default();
            format!("worker {worker}: {id} whole on {conn}: {}", message.first_line)
        }
        Seen::Answered { id, status, body, retry_after } => {
            format!("client: {id} answered {status} `{}` {retry_after:?}", String::from_utf8_lossy(body))
        }
        Seen::Made { id, body } => format!("worker made for {id}: `{}`", String::from_utf8_lossy(body)),
        other => format!("{other:?}"),
    }
}
