//! A script played: gateways, workers, discovery, counter and clients in one thread on the virtual clock.

mod clients;
mod counter;
mod discovery;
mod dns;
mod gateways;
mod workers;

use crate::asked::Asked;
use crate::checker::{Checker, Figures, Violation};
use crate::executor::{Executor, Host, Nanos};
use crate::net::{address, Links, Net, Sim, Wired};
use crate::scenario::scenario;
use crate::script::{Act, AskLine, Class, Fault, Manner, Mend, Micros, Script, PLANS};
use crate::service::Service;
use crate::site;
use hingestage_gateway::config::Config;
use hingestage_gateway::driver::gatekeeper;
use hingestage_gateway::gateway::{serve, Reload};
use hingestage_platform::Platform;
use hingestage_test_servers::client::Pool;
use hingestage_test_servers::counter::Counter;
use hingestage_test_servers::discovery::{Agent, Listed};
use hingestage_test_servers::dns::Dns;
use hingestage_test_servers::worker::{Keys, Spec, Worker};
use hingestage_test_servers::{Observer, Seen};
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

const COUNTER: Host = 40;
const DNS: Host = 41;
const GATEWAY: Host = 1_000;
const AGENT: Host = 2_000;
const CLIENTS: Host = 3_000;
const WORKER: Host = 10_000;

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
    /// Draws the script of a seed.
    pub scenario: fn(u64) -> Script,
}

impl Default for Options {
    fn default() -> Self {
        Options { start, trace: false, scenario }
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
    /// What it was worth.
    pub service: Service,
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
    /// The keys that each group of workers has seen.
    keys: RefCell<BTreeMap<(&'static str, u64), Keys>>,
    dns: Rc<Dns<Sim>>,
    /// Workers that the name server has told each gateway of and not taken back.
    resolved: RefCell<BTreeMap<usize, BTreeSet<String>>>,
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
    let net = Net::new(executor.clone(), links(script));
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

fn links(script: &Script) -> Links {
    match (script.exact, script.site.latency * 1_000) {
        (true, _) => Links::exact(),
        (_, 0) => Links::default(),
        (_, latency) => Links { latency, jitter: latency / 4, ..Links::default() },
    }
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
            let gateways = (0..script.gateways).map(|g| gateways::gateway(&net, g, &observer)).collect();
            let counter = Counter::new(net.platform(COUNTER), counter::PACE);
            let net_of = net.clone();
            World {
                checker: RefCell::new(Checker::new(figures(script))),
                executor: executor.clone(),
                net,
                options,
                script: script.clone(),
                observer,
                gateways,
                workers: RefCell::default(),
                lives: Cell::new(0),
                keys: RefCell::default(),
                dns: dns::server(&net_of, script, this.clone()),
                resolved: RefCell::default(),
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
        for g in 0..self.gateways.len() {
            let (host, site) = (GATEWAY + g as Host, &self.script.site);
            if site.lag > 0 {
                self.executor.lag(host, site.lag * 1_000);
            }
            if site.sockets.1 > 0 {
                self.net.limit_descriptors(host, site.sockets.1);
            }
        }
        for (g, off) in &self.script.site.clocks {
            self.net.set_clock(GATEWAY + *g as Host, off * MS as i64);
        }
        self.start_counter();
        self.start_dns();
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
                zone: line.place.0,
                cell: line.place.1,
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
        if !self.advance(self.executor.nanos() + 2 * S + LAST_ASKS * self.last_pause()) {
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
        // Questions after names go on for ever, each with a socket.
        let asks = if self.script.site.srv.is_some() { hingestage_srv::resolver::IN_FLIGHT_MAX } else { 0 };
        let (tasks, descriptors) = (tasks + asks, descriptors + asks);
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

    /// One gateway after another, so that the smallest fleet can serve each: what is asked here shows whether
    /// service is normal, not how much a rush may ask.
    fn last_asks(self: &Rc<Self>) {
        let all = self.gateways.len() as u64;
        for g in 0..all {
            for n in 0..LAST_ASKS {
                let world = self.clone();
                let ask = AskLine::plain(0, 1_000 * all + g, 1);
                let ask =
                    AskLine { gateway: if self.script.site.spread == 0 { g as usize } else { 0 }, ..ask };
                let at = self.executor.nanos() + n * self.last_pause() + g * self.last_pause() / all;
                self.executor.at(at, move || world.ask(&ask));
            }
        }
    }

    /// Time between two of the last asks of a gateway: longer where many share a small fleet.
    fn last_pause(&self) -> Nanos {
        S.max(self.gateways.len() as Nanos * 60 * MS)
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
            service: checker.service.clone(),
            trace: std::mem::take(&mut seen.lines),
        }
    }

    // ---- what the script says ----

    fn act(self: &Rc<Self>, act: Act) {
        if !matches!(act, Act::Ask(_)) {
            self.checker.borrow_mut().trouble(self.executor.nanos());
        }
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
            Act::Mend(Mend::Dns) => self.mend_dns(),
        }
    }

    fn go_wrong(self: &Rc<Self>, fault: Fault) {
        let exists = |g: usize| g < self.gateways.len();
        match fault {
            Fault::Worker(n, way, figure) => {
                self.with_worker(n, |_, hand| hand.worker.set(workers::mood(way, figure)))
            }
            Fault::Deploy(n, same) => self.deploy(n, same),
            Fault::Restart(n) => self.restart_worker(n),
            Fault::CutWorker(n) => self.with_worker(n, |_, hand| self.net.cut(hand.host)),
            Fault::Throttle(n, rate) => {
                self.with_worker(n, |_, hand| self.net.throttle(hand.host, Some(rate)))
            }
            Fault::Connect(n, ms) => {
                let late = (ms > 0).then_some(ms * MS);
                self.with_worker(n, |_, hand| self.net.delay_connects(hand.host, Some(late)))
            }
            Fault::SameId(g) if exists(g) => self.same_id(g),
            Fault::Counter(way, figure) => self.counter_turns(way, figure),
            Fault::Dns(way, figure) => self.dns_turns(way, figure),
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

    fn mend_all(&self) {
        let hosts: Vec<Host> = self.workers.borrow().iter().map(|hand| hand.host).collect();
        hosts.iter().for_each(|host| self.mend_worker((host - WORKER) as usize));
        (0..self.gateways.len()).for_each(|g| self.mend_discovery(g));
        self.mend_counter();
        self.mend_dns();
    }
}

fn figures(script: &Script) -> Figures {
    Figures {
        keyed: script.site.keyed.map(|(group, window)| (group, window * MS)),
        light: script.site.family == "light",
        ..Figures::of(&site::PLANS)
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
