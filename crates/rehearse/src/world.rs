//! The world of a rehearsal: gateways as processes, stand-ins in this one, a relay on each pair between them.

use crate::front::Front;
use crate::keepers::Keepers;
use crate::lateness::{held_up, PULSE};
use crate::links::{listen, Link};
use crate::places::{self, Loss, NAMES};
use crate::process::{Place, Process};
use crate::record::{Event, Record, Sample};
use crate::script::{ahead, Fault, Harm, Known, Script, Target, Timed, Which};
use crate::sums::Spent;
use hingestage_platform::{Platform, Tokio};
use hingestage_test_servers::client::{get, is_up, post, Pool};
use hingestage_test_servers::counter::{self, Counter};
use hingestage_test_servers::discovery::{Agent, Listed};
use hingestage_test_servers::dns::{Dns, Entry};
use hingestage_test_servers::worker::{self, Spec, Worker};
use hingestage_test_servers::{site, Observer, Seen};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A fleet not up by then failed to start.
const UP: Duration = Duration::from_secs(30);
/// How often it is looked whether a gateway is up.
const LOOK: Duration = Duration::from_millis(25);
/// How often figures are read and processes looked after.
const SAMPLE: Duration = Duration::from_millis(50);
/// Samples after which processor times are read again.
const SPENT: u32 = 10;
/// A gateway told to end has ended by then: longest deadline, what it adds, and a slow machine.
const ENDS: Duration = Duration::from_secs(15);
/// After so long a worker that drains turns new requests away.
const DRAINS: Duration = Duration::from_millis(1_500);
/// How long a deploy takes where its script does not say.
const DEPLOY: Duration = Duration::from_secs(4);
/// The name that workers are listed under where gateways follow records, and how long these hold, seconds.
const SERVICE: &str = "_registry._tcp.rehearsal.example.org";
const LIFETIME: u32 = 1;
/// Where keepers listen, each beside the gateway of its number.
const KEEPER_PORT: u16 = 4_000;
/// Gateways in one network of addresses.
const IN_NETWORK: usize = 200;

/// A gateway as the rehearsal holds it.
struct Gateway {
    place: Place,
    process: RefCell<Option<Process>>,
    /// Processes that another has taken over from, and which answer what they hold.
    older: RefCell<Vec<Process>>,
    /// Its end was asked for.
    ending: Cell<bool>,
    stopped: Cell<bool>,
    agent: Rc<Agent<Tokio>>,
    pool: Rc<Pool<Tokio>>,
    counter: Rc<Link>,
    counter_at: SocketAddr,
    discovery: Rc<Link>,
    discovery_at: SocketAddr,
    /// Links to workers, by the worker's number.
    workers: RefCell<BTreeMap<usize, Rc<Link>>>,
    /// Links to other gateways' operators' addresses, by gateway.
    peers: RefCell<BTreeMap<usize, (Rc<Link>, SocketAddr)>>,
}

/// A worker's life.
struct Hand {
    worker: Rc<Worker<Tokio>>,
    /// Its place in the script: a successor has that of the one before.
    slot: usize,
    boot_ms: u64,
}

/// The world.
pub struct World {
    /// The script, with nothing left to be drawn.
    pub script: Script,
    /// What is seen.
    pub record: Rc<Record>,
    /// When clients begin.
    pub begun: Cell<Instant>,
    /// What clients believe.
    pub front: RefCell<Front>,
    gateways: Vec<Gateway>,
    hands: RefCell<Vec<Hand>>,
    counter: Rc<Counter<Tokio>>,
    dns: Rc<Dns<Tokio>>,
    dns_at: SocketAddr,
    keepers: Option<Keepers>,
    folder: PathBuf,
    _lock: std::net::TcpListener,
}

/// Where a rehearsal's gateways listen: a network of loopback addresses that no other rehearsal has.
fn network() -> Result<(u8, std::net::TcpListener), String> {
    let taken = |n: u8| std::net::TcpListener::bind((Ipv4Addr::new(127, n, 255, 254), 2_999)).ok();
    let free = (40..=120).find_map(|n| taken(n).map(|lock| (n, lock)));
    free.ok_or_else(|| "no network of loopback addresses is free".into())
}

fn address(network: u8, gateway: usize, port: u16) -> SocketAddr {
    let (net, host) = ((gateway / IN_NETWORK) as u8, (gateway % IN_NETWORK) as u8 + 1);
    SocketAddr::from((Ipv4Addr::new(127, network, net, host), port))
}

impl World {
    /// Puts everything in place and starts the fleet; it is up when this ends.
    pub async fn start(script: Script, program: &Path, folder: &Path) -> Result<Rc<World>, String> {
        let record = Record::new(Instant::now());
        let (network, lock) = network()?;
        let counter = Counter::new(Tokio, script.fleet.counter_pace);
        let (listener, counter_at) = listen().await?;
        Tokio.spawn(counter.clone().run(listener));
        let dns = Dns::new(Tokio, SERVICE, LIFETIME, Rc::new(|_, _| {}));
        let (listener, dns_at) = listen().await?;
        let serving = dns.clone();
        Tokio.spawn(async move { drop(serving.run_on(listener).await) });
        let mut gateways = Vec::new();
        for number in 0..script.most_gateways() {
            let place = place(&script, program, folder, network, number)?;
            gateways.push(Gateway::new(&record, number, place, counter_at).await?);
        }
        let front = Front::new(gateways.len(), script.notices);
        let keepers = match &script.fleet.keepers {
            None => None,
            Some(wanted) => {
                let at = |number| address(network, number, KEEPER_PORT);
                Some(Keepers::start(&script, wanted, program, folder, at, &record).await?)
            }
        };
        let world = Rc::new(World {
            record,
            begun: Cell::new(Instant::now()),
            front: RefCell::new(front),
            gateways,
            hands: RefCell::default(),
            counter,
            dns,
            dns_at,
            keepers,
            folder: folder.to_owned(),
            _lock: lock,
            script,
        });
        world.link_peers().await?;
        for slot in 0..world.script.fleet.workers {
            world.add_worker(slot, false).await?;
        }
        world.save_first_lists();
        for number in 0..world.script.fleet.gateways {
            world.launch(number, Known::Now)?;
        }
        world.wait_until_up().await?;
        Ok(world)
    }

    async fn link_peers(&self) -> Result<(), String> {
        for near in self.gateways.iter().filter(|_| self.script.fleet.peers) {
            for (number, far) in self.gateways.iter().enumerate() {
                let open = Link::open(far.place.admin, None, &self.record).await?;
                near.peers.borrow_mut().insert(number, open);
            }
        }
        Ok(())
    }

    async fn wait_until_up(self: &Rc<Self>) -> Result<(), String> {
        let until = Tokio.now() + UP;
        while !(0..self.script.fleet.gateways).all(|g| self.front.borrow().goes_to(g)) {
            if let Some(what) = self.look_after().first() {
                return Err(what.clone());
            }
            if Tokio.now() > until {
                return Err(format!("the fleet is not up after {} s", UP.as_secs()));
            }
            Tokio.sleep(LOOK).await;
        }
        Ok(())
    }

    /// Time since clients began.
    pub fn now(&self) -> Duration {
        Tokio.now().saturating_duration_since(self.begun.get())
    }

    /// The connections of clients to a gateway.
    pub fn pool(&self, gateway: usize) -> Rc<Pool<Tokio>> {
        self.gateways[gateway].pool.clone()
    }

    /// Where a gateway listens.
    pub fn at(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].place.listen
    }

    /// Calls that the counter has had.
    pub fn calls(&self) -> u64 {
        self.counter.calls()
    }

    /// Gateways that run.
    pub fn running(&self) -> usize {
        self.gateways.iter().filter(|g| g.process.borrow().is_some()).count()
    }

    fn launch(self: &Rc<Self>, number: usize, known: Known) -> Result<(), String> {
        let gateway = &self.gateways[number];
        if gateway.process.borrow().is_some() {
            return Ok(());
        }
        let told = self.write_files(number, known)?;
        self.record.note(Event::Starts(number, told));
        *gateway.process.borrow_mut() = Some(gateway.place.start()?);
        gateway.ending.set(false);
        gateway.stopped.set(false);
        self.watch_for(number);
        Ok(())
    }

    /// A new process takes over from the one in service: it gets the listening socket from it, and once it serves
    /// the older one is told to end.
    async fn succeed(self: &Rc<Self>, number: usize) -> Result<(), String> {
        let gateway = &self.gateways[number];
        let told = self.write_files(number, Known::Now)?;
        gateway.place.successions.set(gateway.place.successions.get() + 1);
        let new = gateway.place.start()?;
        self.record.note(Event::Succeeds(number, told));
        let until = Tokio.now() + UP;
        while !is_ready(gateway.place.admin()).await {
            if Tokio.now() > until {
                return Err(format!("gateway {number}'s successor is not ready after {} s", UP.as_secs()));
            }
            Tokio.sleep(LOOK).await;
        }
        if let Some(older) = gateway.process.replace(Some(new)) {
            older.signal(Signal::TERM);
            gateway.older.borrow_mut().push(older);
        }
        Ok(())
    }

    /// Writes what a life that begins now reads; gives what it knows of workers.
    fn write_files(&self, number: usize, known: Known) -> Result<Vec<(String, String, u64)>, String> {
        let gateway = &self.gateways[number];
        let list = match known {
            Known::Now => gateway.agent.list(),
            Known::Old => serde_json::from_str(&self.first_list(number)?).map_err(|e| e.to_string())?,
            Known::Nothing => serde_json::json!({"rev": 0, "all": true, "targets": []}),
        };
        let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
        let targets = list["targets"].as_array().cloned().unwrap_or_default();
        let told =
            targets.iter().map(|t| (text(&t["uid"]), text(&t["state"]), t["boot_ms"].as_u64().unwrap_or(0)));
        let told = told.collect();
        let mut config = site::config(
            self.script.fleet.instances,
            self.script.fleet.number(number),
            gateway.place.listen,
            gateway.discovery_at,
            gateway.counter_at,
            number as u64 + 1,
            list,
            &site::Extras::default(),
        );
        config["settings"]["zone"] = self.zone(|place| place.gateways.contains(&number)).into();
        config["settings"]["tiersOfService"] = site::plans(&self.script.plans);
        let written = fs::write(gateway.place.config(), config.to_string());
        written.map_err(|e| format!("{}: {e}", gateway.place.config().display()))?;
        self.write_operator(number)?;
        Ok(told)
    }

    /// The zone of a site: its name.
    fn zone(&self, has: impl Fn(&places::Place) -> bool) -> &'static str {
        NAMES[places::of(&self.script.fleet.sites, has)]
    }

    fn write_operator(&self, number: usize) -> Result<(), String> {
        let gateway = &self.gateways[number];
        let Some(file) = &gateway.place.operator else { return Ok(()) };
        let mut text = self.script.fleet.operator.clone().unwrap_or_default();
        text.extend(self.keepers.iter().map(|keepers| keepers.section(number)));
        let peers = gateway.peers.borrow();
        let (fleet, own) = (&self.script.fleet, self.script.fleet.number(number));
        let peers = peers.iter().filter(|(peer, _)| **peer != own && fleet.number(**peer) == **peer);
        let peers: String = peers.map(|(peer, (_, at))| format!(" (peer {peer} \"{at}\")")).collect();
        let text = text.replace("@peers", &peers).replace("@service", &format!("\"{SERVICE}\""));
        let text = text.replace("@dns", &format!("\"{}\"", self.dns_at));
        fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Tells clients once a gateway can serve.
    fn watch_for(self: &Rc<Self>, number: usize) {
        let world = self.clone();
        Tokio.spawn(async move {
            let gateway = &world.gateways[number];
            let until = Tokio.now() + UP;
            while Tokio.now() < until && !gateway.ending.get() && gateway.process.borrow().is_some() {
                let up = Tokio.timeout(Duration::from_secs(1), is_up(Tokio, gateway.place.listen)).await;
                if up == Ok(true) {
                    return world.front.borrow_mut().is_up(number);
                }
                Tokio.sleep(LOOK).await;
            }
        });
    }

    fn list_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("first-list-{number}.json"))
    }

    fn first_list(&self, number: usize) -> Result<String, String> {
        fs::read_to_string(self.list_file(number)).map_err(|e| format!("the first list: {e}"))
    }

    fn save_first_lists(&self) {
        for (number, gateway) in self.gateways.iter().enumerate() {
            let _ = fs::write(self.list_file(number), gateway.agent.list().to_string());
        }
    }

    async fn add_worker(&self, slot: usize, cold: bool) -> Result<usize, String> {
        let number = self.hands.borrow().len();
        let (listener, at) = listen().await?;
        let spec = Spec {
            number,
            cores: self.script.fleet.cores,
            queue: self.script.fleet.queue,
            speed: 1.0,
            cold: site::COLD,
            started: cold.then(|| Tokio.now()),
            runs_on: true,
            zone: self.zone(|place| place.workers.contains(&slot)),
            cell: 0,
        };
        let boot_ms = if cold { Tokio.unix_time().as_millis() as u64 } else { 0 };
        self.record.note(Event::Worker(format!("w{number}"), boot_ms, spec.clone()));
        let record = self.record.clone();
        let worker = Worker::new(Tokio, spec, Rc::new(move |seen| record.see(seen)));
        Tokio.spawn(worker.clone().run(listener));
        self.hands.borrow_mut().push(Hand { worker, slot, boot_ms });
        // Records are the same for all: those who follow them share a link.
        let (_, near) = Link::open(at, Some(number), &self.record).await?;
        let (target, priority, weight) = (format!("w{number}.rehearsal.example.org"), 0, 10);
        self.dns.change(|zone| {
            zone.push(Entry { target, port: near.port(), priority, weight, at: vec![near.ip()] });
        });
        for gateway in &self.gateways {
            let (link, near) = Link::open(at, Some(number), &self.record).await?;
            gateway.workers.borrow_mut().insert(number, link);
            self.list(gateway, number, near, "up");
        }
        Ok(number)
    }

    fn list(&self, gateway: &Gateway, number: usize, at: SocketAddr, state: &str) {
        let boot_ms = self.hands.borrow()[number].boot_ms;
        let (uid, endpoint) = (format!("w{number}"), at.to_string());
        let state = state.to_owned();
        let zone = self.hands.borrow()[number].worker.spec().zone.to_owned();
        gateway.agent.change(Listed { uid, endpoint, state, boot_ms, zone, cell: 0 });
    }

    fn tell_all(&self, number: usize, state: &str) {
        let target = format!("w{number}.rehearsal.example.org");
        self.dns.change(|zone| zone.retain(|entry| entry.target != target));
        for gateway in &self.gateways {
            let uid = format!("w{number}");
            let last = gateway.agent.changes().into_iter().rev().find(|listed| listed.uid == uid);
            last.into_iter()
                .for_each(|listed| gateway.agent.change(Listed { state: state.into(), ..listed }));
        }
    }

    /// The worker that has a place of the script now.
    fn of_slot(&self, slot: usize) -> usize {
        let hands = self.hands.borrow();
        hands.iter().rposition(|hand| hand.slot == slot).unwrap_or(slot)
    }

    /// Does what goes wrong at its time, and mends it.
    pub async fn play(self: Rc<Self>, timed: Timed) {
        Tokio.sleep_until(self.begun.get() + timed.at).await;
        self.record.note(Event::Fault(timed.to_string()));
        if let Err(what) = self.strike(&timed).await {
            self.record.note(Event::Crash(usize::MAX, what));
        }
    }

    async fn strike(self: &Rc<Self>, timed: &Timed) -> Result<(), String> {
        let ends = self.begun.get() + timed.ends();
        match &timed.fault {
            Fault::Kill(which) => {
                let killed = self.each(which, |g| self.kill(g));
                self.restart(killed, timed.lasts.map(|_| ends)).await?;
            }
            Fault::Term(which) => {
                let told = self.each(which, |g| self.term(g));
                self.restart(told, timed.lasts.map(|_| ends)).await?;
            }
            Fault::Start(which, known) => {
                for number in self.some(which) {
                    self.launch(number, *known)?;
                }
            }
            Fault::HangUp(which) => drop(self.each(which, |g| self.signal(g, Signal::HUP))),
            Fault::Drain(which) => {
                // Clients go by what it says of itself, as those of an operator's balancer would.
                let told = self.each(which, |g| self.front.borrow_mut().goes(self.now(), g));
                for number in &told {
                    self.operate(*number, "/drain").await?;
                }
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    for number in told {
                        self.operate(number, "/undrain").await?;
                        self.watch_for(number);
                    }
                }
            }
            Fault::Succeed(which) => {
                for number in self.each(which, |_| {}) {
                    self.succeed(number).await?;
                }
            }
            Fault::Clock(which, ahead) => {
                self.some(which).into_iter().for_each(|g| self.gateways[g].place.clock.set(*ahead));
            }
            Fault::Stall(which) => {
                let stopped = self.each(which, |g| self.stop(g));
                Tokio.sleep_until(ends).await;
                stopped.into_iter().for_each(|g| self.go_on(g));
            }
            Fault::Links(which, target, harm) => {
                self.harm(which, target, *harm, timed.lasts.map(|_| ends)).await
            }
            Fault::Counter(mood) => {
                self.counter.set(*mood);
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    self.counter.set(counter::Mood::Good);
                }
            }
            Fault::Forget => self.counter.forget(),
            Fault::Worker(slot, mood) => {
                let worker = self.hands.borrow()[self.of_slot(*slot)].worker.clone();
                worker.set(*mood);
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    worker.set(worker::Mood::Good);
                }
            }
            Fault::Deploy(slot) => self.deploy(*slot, timed.lasts.unwrap_or(DEPLOY)).await?,
            Fault::Site(site, loss) => {
                self.lose(*site, *loss, timed.lasts.map(|_| ends)).await?;
            }
            Fault::KillKeepers(_)
            | Fault::StallKeepers(_)
            | Fault::KeeperLinks(..)
            | Fault::Propose(..)
            | Fault::DeclareGone(_) => {
                if let Some(keepers) = &self.keepers {
                    keepers.strike(&self.script, timed, ends, &self.record).await?;
                }
            }
            Fault::Mute(which) => {
                let muted = self.some(which);
                muted.iter().for_each(|g| self.gateways[*g].agent.speak(false));
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    muted.iter().for_each(|g| self.gateways[*g].agent.speak(true));
                }
            }
        }
        Ok(())
    }

    fn some(&self, which: &Which) -> Vec<usize> {
        match which {
            Which::Some(some) => some.clone(),
            // Resolved before: see `draw`.
            Which::All | Which::Share(_) => (0..self.gateways.len()).collect(),
        }
    }

    /// Does something to each of them that runs; gives those.
    fn each(&self, which: &Which, act: impl Fn(usize)) -> Vec<usize> {
        let runs =
            |g: &usize| self.gateways[*g].process.borrow().is_some() && !self.gateways[*g].ending.get();
        let some: Vec<usize> = self.some(which).into_iter().filter(runs).collect();
        some.iter().for_each(|g| act(*g));
        some
    }

    /// What an operator calls at a gateway's own address. One that does not run is told nothing.
    async fn operate(&self, number: usize, call: &str) -> Result<(), String> {
        if self.gateways[number].process.borrow().is_none() {
            return Ok(());
        }
        let said = Tokio.timeout(UP, post(Tokio, self.gateways[number].place.admin(), call)).await;
        match said {
            Ok(true) => Ok(()),
            _ => Err(format!("gateway {number} does not answer {call}")),
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.gateways[number].process.borrow().iter().for_each(|process| process.signal(signal));
    }

    fn kill(&self, number: usize) {
        // Noted first: what its end causes comes after.
        self.record.note(Event::Killed(number));
        if let Some(mut process) = self.gateways[number].process.take() {
            process.kill();
        }
        self.front.borrow_mut().goes(self.now(), number);
    }

    fn term(&self, number: usize) {
        self.record.note(Event::Terms(number));
        let gateway = &self.gateways[number];
        gateway.ending.set(true);
        if gateway.stopped.replace(false) {
            self.signal(number, Signal::CONT);
        }
        self.signal(number, Signal::TERM);
        self.front.borrow_mut().goes(self.now(), number);
    }

    fn stop(&self, number: usize) {
        self.record.note(Event::Stops(number));
        self.gateways[number].stopped.set(true);
        self.signal(number, Signal::STOP);
        self.front.borrow_mut().goes(self.now(), number);
    }

    fn go_on(self: &Rc<Self>, number: usize) {
        if self.gateways[number].stopped.replace(false) {
            self.signal(number, Signal::CONT);
            self.record.note(Event::GoesOn(number));
            self.watch_for(number);
        }
    }

    async fn restart(self: &Rc<Self>, some: Vec<usize>, at: Option<Instant>) -> Result<(), String> {
        let Some(at) = at else { return Ok(()) };
        Tokio.sleep_until(at).await;
        self.record.note(Event::Fault(format!(
            "gateways{} start again",
            some.iter().map(|g| format!(" {g}")).collect::<String>()
        )));
        for number in some {
            // One told to end may still be answering.
            let until = Tokio.now() + ENDS;
            while self.gateways[number].process.borrow().is_some() && self.gateways[number].ending.get() {
                if Tokio.now() > until {
                    return Err(format!("gateway {number} does not end"));
                }
                Tokio.sleep(LOOK).await;
            }
            self.launch(number, Known::Now)?;
        }
        Ok(())
    }

    async fn harm(&self, which: &Which, target: &Target, harm: Harm, until: Option<Instant>) {
        let mut undo = Vec::new();
        for number in self.some(which) {
            for link in self.links(number, target) {
                undo.push(link.harm(harm));
            }
        }
        if let Some(until) = until {
            Tokio.sleep_until(until).await;
            undo.into_iter().for_each(|undo| undo());
        }
    }

    fn links(&self, number: usize, target: &Target) -> Vec<Rc<Link>> {
        let gateway = &self.gateways[number];
        match target {
            Target::Counter => vec![gateway.counter.clone()],
            Target::Discovery => vec![gateway.discovery.clone()],
            Target::Workers(some) => {
                let hands = self.hands.borrow();
                let named = |n: &usize| some.is_empty() || some.contains(&hands[*n].slot);
                gateway
                    .workers
                    .borrow()
                    .iter()
                    .filter(|(n, _)| named(n))
                    .map(|(_, link)| link.clone())
                    .collect()
            }
            Target::Keepers(some) => {
                self.keepers.as_ref().map_or(Vec::new(), |keepers| keepers.of_gateway(number, some))
            }
            Target::Peers(some) => {
                let named = |n: &usize| some.is_empty() || some.contains(n);
                let peers = gateway.peers.borrow();
                peers.iter().filter(|(n, _)| named(n)).map(|(_, (link, _))| link.clone()).collect()
            }
        }
    }

    /// Loses a site, and lets it return once its time is over.
    async fn lose(self: &Rc<Self>, site: usize, loss: Loss, until: Option<Instant>) -> Result<(), String> {
        let place = self.script.fleet.sites[site].clone();
        let own = Which::Some(place.gateways.clone());
        let others: Vec<usize> =
            (0..self.gateways.len()).filter(|gateway| !place.gateways.contains(gateway)).collect();
        let slots = |inside: bool| -> Vec<usize> {
            (0..self.script.fleet.workers).filter(|slot| place.workers.contains(slot) == inside).collect()
        };
        let everybody = Which::All;
        let mut undo: Vec<Box<dyn FnOnce()>> = Vec::new();
        let mut harm = |which: &Which, target: Target, harm: Harm| {
            let links = self.some(which).into_iter().flat_map(|gateway| self.links(gateway, &target));
            links.for_each(|link| undo.push(Box::new(link.harm(harm))));
        };
        let gone = match loss {
            Loss::Killed => {
                harm(&everybody, Target::Workers(place.workers.clone()), Harm::Reset);
                self.each(&own, |g| self.kill(g))
            }
            Loss::Stalled => {
                harm(&everybody, Target::Workers(place.workers.clone()), Harm::Hold);
                self.each(&own, |g| self.stop(g))
            }
            Loss::Cut(how) => {
                let outside = Which::Some(others.clone());
                harm(&outside, Target::Workers(slots(true)), how);
                harm(&outside, Target::Peers(place.gateways.clone()), how);
                harm(&own, Target::Workers(slots(false)), how);
                harm(&own, Target::Peers(others), how);
                harm(if place.counter { &outside } else { &own }, Target::Counter, how);
                Vec::new()
            }
            Loss::Unlisted => Vec::new(),
        };
        if place.counter && matches!(loss, Loss::Killed | Loss::Stalled) {
            harm(&everybody, Target::Counter, Harm::Silent(crate::script::Ways::Both));
        }
        if loss == Loss::Unlisted {
            place.workers.iter().for_each(|slot| self.tell_all(self.of_slot(*slot), "draining"));
        }
        let Some(until) = until else { return Ok(()) };
        Tokio.sleep_until(until).await;
        if loss == Loss::Killed {
            for slot in &place.workers {
                self.tell_all(self.of_slot(*slot), "removed");
                self.add_worker(*slot, true).await?;
            }
            if place.counter {
                self.counter.forget();
            }
        }
        undo.into_iter().for_each(|undo| undo());
        match loss {
            Loss::Killed => self.restart(gone, Some(until)).await?,
            Loss::Stalled => gone.into_iter().for_each(|gateway| self.go_on(gateway)),
            Loss::Unlisted => place.workers.iter().for_each(|slot| self.tell_all(self.of_slot(*slot), "up")),
            Loss::Cut(_) => {}
        }
        Ok(())
    }

    async fn deploy(self: &Rc<Self>, slot: usize, lasts: Duration) -> Result<(), String> {
        let (old, begun) = (self.of_slot(slot), Tokio.now());
        self.tell_all(old, "draining");
        self.add_worker(slot, true).await?;
        Tokio.sleep_until(begun + DRAINS.min(lasts)).await;
        self.hands.borrow()[old].worker.drain();
        Tokio.sleep_until(begun + lasts).await;
        self.tell_all(old, "removed");
        Ok(())
    }

    /// Looks after processes; names those that ended unasked.
    fn look_after(&self) -> Vec<String> {
        let mut crashed = self.keepers.as_ref().map_or(Vec::new(), Keepers::look_after);
        for what in &crashed {
            self.record.note(Event::Crash(usize::MAX, what.clone()));
        }
        for (number, gateway) in self.gateways.iter().enumerate() {
            let mut older = gateway.older.take();
            for status in older.iter_mut().filter_map(Process::ended).filter(|status| !status.success()) {
                let what = format!("gateway {number} was succeeded and ended with {status}");
                self.record.note(Event::Crash(number, what.clone()));
                crashed.push(what);
            }
            older.retain_mut(|process| process.ended().is_none());
            *gateway.older.borrow_mut() = older;
            let ended = gateway.process.borrow_mut().as_mut().and_then(Process::ended);
            let Some(status) = ended else { continue };
            drop(gateway.process.take());
            if !gateway.ending.get() || !status.success() {
                let what = format!("gateway {number} ended with {status}: {}", gateway.place.last_words());
                self.record.note(Event::Crash(number, what.clone()));
                crashed.push(what);
            }
        }
        crashed
    }

    /// Checks that this process runs in time, for ever.
    pub async fn watch_lateness(self: Rc<Self>) {
        loop {
            let due = Tokio.now() + PULSE;
            Tokio.sleep_until(due).await;
            held_up(due, Tokio.now()).into_iter().for_each(|event| self.record.note(event));
        }
    }

    /// Reads figures now and then, for ever.
    pub async fn sample(self: Rc<Self>) {
        let mut due = Tokio.now();
        let (mut gateways, mut keepers, mut spent) = (BTreeMap::new(), BTreeMap::new(), Spent::default());
        for n in 0u32.. {
            due += SAMPLE;
            Tokio.sleep_until(due).await;
            let lag = Tokio.since(due).as_secs_f64();
            due = due.max(Tokio.now() - SAMPLE);
            self.front.borrow_mut().at(self.now());
            self.look_after();
            if n.is_multiple_of(SPENT) {
                let running =
                    self.gateways.iter().map(|gateway| (gateway.process.borrow(), gateway.older.borrow()));
                running
                    .for_each(|(new, older)| new.iter().chain(&*older).for_each(|p| p.spent(&mut gateways)));
                self.keepers.iter().for_each(|all| all.spent(&mut keepers));
                spent = Spent { gateways: gateways.values().sum(), keepers: keepers.values().sum() };
            }
            let (calls, connections) = (self.counter.calls(), self.record.connections());
            self.record.note(Event::Sample(Sample { calls, connections, lag, spent }));
        }
    }

    /// Ends the fleet as operators do, and notes whoever does not end.
    pub async fn end(&self) {
        if let Some(keepers) = &self.keepers {
            let unix = Tokio.unix_time().saturating_sub(Tokio.since(self.begun.get()));
            self.record.note(match keepers.policies(unix).await {
                Ok(policies) => Event::Policies(policies),
                Err(what) => Event::Crash(usize::MAX, what),
            });
        }
        self.each(&Which::All, |g| self.term(g));
        let until = Tokio.now() + ENDS;
        let older = || self.gateways.iter().any(|gateway| !gateway.older.borrow().is_empty());
        while (self.running() > 0 || older()) && Tokio.now() < until {
            Tokio.sleep(LOOK).await;
            self.look_after();
        }
        for (number, gateway) in self.gateways.iter().enumerate() {
            if gateway.process.take().is_some() || !gateway.older.take().is_empty() {
                self.record
                    .note(Event::Crash(number, format!("gateway {number} was told to end and did not")));
            }
        }
    }
}

fn place(
    script: &Script,
    program: &Path,
    folder: &Path,
    network: u8,
    number: usize,
) -> Result<Place, String> {
    let own = folder.join(format!("g{number}"));
    fs::create_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
    let wanted = script.fleet.operator.is_some() || script.fleet.keepers.is_some();
    let operator = wanted.then(|| own.join("operator.lisp"));
    Ok(Place {
        program: program.to_owned(),
        folder: own,
        listen: address(network, number, site::GATEWAY_PORT),
        admin: address(network, number, site::GATEWAY_PORT + 1),
        operator,
        clock: Cell::new(ahead(&script.fleet.clocks, number)),
        successions: Cell::new(0),
    })
}

/// Whether a gateway says at its operators' address that it serves.
async fn is_ready(admin: SocketAddr) -> bool {
    Tokio.timeout(Duration::from_secs(1), get(Tokio, admin, "/ready")).await == Ok(true)
}

impl Gateway {
    async fn new(
        record: &Rc<Record>,
        number: usize,
        place: Place,
        counter: SocketAddr,
    ) -> Result<Gateway, String> {
        let (listener, agent_at) = listen().await?;
        let (discovery, discovery_at) = Link::open(agent_at, None, record).await?;
        // What the agent has written counts as told once it has come through.
        let (told, way) = (record.clone(), Rc::downgrade(&discovery));
        let observer: Observer = Rc::new(move |seen: Seen| {
            let record = told.clone();
            way.upgrade().into_iter().for_each(|link| {
                let (record, seen) = (record.clone(), seen.clone());
                link.arrives(move || record.see(seen.clone()));
            });
        });
        let agent = Agent::new(Tokio, number, observer);
        Tokio.spawn(agent.clone().run(listener));
        let (counter, counter_at) = Link::open(counter, None, record).await?;
        let seen = record.clone();
        let pool = Pool::new(Tokio, place.listen, Rc::new(move |what| seen.see(what)));
        Ok(Gateway {
            place,
            process: RefCell::default(),
            older: RefCell::default(),
            ending: Cell::new(false),
            stopped: Cell::new(false),
            agent,
            pool,
            counter,
            counter_at,
            discovery,
            discovery_at,
            workers: RefCell::default(),
            peers: RefCell::default(),
        })
    }
}
