//! The command: starts everything, shows the table, and judges at the end.

use crate::clients::{is_served, Ask, Client};
use crate::http::call;
use crate::layout::{Layout, ProcessSpec, Program, PLACES};
use crate::operator::{
    put_config, status, Edition, CATALOG_PREFIX, LASTING_KEYS, ORDERS_PREFIX, REMOVED_KEY,
};
use crate::processes::{find_programs, Processes};
use crate::surroundings::Surroundings;
use crate::table::{Observed, Table};
use crate::tally::Tally;
use bytes::Bytes;
use hingestage_platform::{Platform, Tokio};
use hingestage_print::say;
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How long the system may take to come up.
const START_WITHIN: Duration = Duration::from_secs(20);
/// How long a configuration may take to be acknowledged.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(6);
/// How long it may take, once acknowledged, to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
/// How long clients may take to end.
const CLIENTS_END_WITHIN: Duration = Duration::from_secs(8);
/// Period of the table.
const SHOW_PERIOD: Duration = Duration::from_secs(1);
/// Pause between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(50);
/// How long an answer of `/ready` may take.
const READY_WITHIN: Duration = Duration::from_secs(1);
/// Clients in each zone.
const CLIENTS_PER_ZONE: usize = 8;
/// How long processes that were killed stay down.
const DOWN_FOR: Duration = Duration::from_millis(1_500);
/// The loopback network, `127.1.0.x`.
const NETWORK: (u8, u8) = (1, 0);

/// Starts a small system on loopback addresses and sends traffic through it: 3 core machines, 4 proxies, 6
/// workers of 2 services, an operator and clients in 2 zones. Ends with 0 where everything was served.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// How long traffic lasts, seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(6..=86_400))]
    seconds: u64,
    /// Requests a second of all clients together.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=2_000))]
    rate: u32,
    /// Kills a registry, a store and a proxy in the middle, and starts them again.
    #[arg(long)]
    kill: bool,
}

/// Runs the command.
///
/// # Errors
/// The system can't be started, or not everything was served.
pub async fn run(args: Args) -> Result<(), String> {
    let programs = find_programs()?;
    let directory = std::env::temp_dir().join(format!("hingestage-system-{}", std::process::id()));
    let layout = Layout::new(NETWORK.0, NETWORK.1);
    let surroundings = Surroundings::start(&layout).await?;
    let mut processes = Processes::start(programs, directory.clone(), &layout)?;
    let played = tokio::select! {
        played = play(&args, &layout, &surroundings, &mut processes) => played,
        _ = tokio::signal::ctrl_c() => Err("interrupted".to_owned()),
    };
    let in_order = processes.stop().await;
    finish(played, in_order, &directory)
}

/// Removes the directory where all went well, and else names it.
fn finish(played: Result<(), String>, in_order: bool, directory: &Path) -> Result<(), String> {
    let ended = if in_order { Ok(()) } else { Err("a process had to be killed at the end".to_owned()) };
    match played.and(ended) {
        Ok(()) => {
            let _ = std::fs::remove_dir_all(directory);
            Ok(())
        }
        Err(message) => Err(format!("{message}; settings and logs are in {}", directory.display())),
    }
}

/// The system while it is played with.
struct Stage<'a> {
    layout: &'a Layout,
    processes: &'a mut Processes,
    tally: Rc<RefCell<Tally>>,
    table: Table,
    begun: Instant,
    shown: Instant,
}

async fn play(
    args: &Args,
    layout: &Layout,
    surroundings: &Surroundings,
    processes: &mut Processes,
) -> Result<(), String> {
    say!("Starting {} processes on 127.{}.{}.x.", layout.processes().len(), NETWORK.0, NETWORK.1);
    put_config(layout, Edition::First, START_WITHIN).await?;
    wait_until_ready(layout, processes).await?;
    say!("By hand: {}\n", by_hand(layout));
    let tally = Rc::new(RefCell::new(Tally::default()));
    let (stop, open) = Default::default();
    start_clients(args, layout, &tally, &stop, &open);
    let now = Instant::now();
    let mut stage = Stage { layout, processes, tally, table: Table::default(), begun: now, shown: now };
    let killed = stage.traffic(args).await?;
    stop.set(true);
    wait_until(CLIENTS_END_WITHIN, "clients did not end", async || open.get() == 0).await?;
    let change = check_change(layout).await;
    let tally = stage.tally.borrow();
    judge(&tally, surroundings, killed, change)
}

fn by_hand(layout: &Layout) -> String {
    let proxy = layout.proxies[0].http();
    format!(
        "curl -i http://{proxy}{CATALOG_PREFIX}1 -H 'Host: {}' -H 'Api-Key: {}' -H 'X-Hingestage-Attempt-Id: 1'",
        crate::operator::HOST_NAME,
        LASTING_KEYS[0]
    )
}

async fn wait_until(
    within: Duration,
    what: &str,
    mut holds: impl AsyncFnMut() -> bool,
) -> Result<(), String> {
    let until = Instant::now() + within;
    while !holds().await {
        if Instant::now() >= until {
            return Err(what.to_owned());
        }
        sleep(LOOK).await;
    }
    Ok(())
}

/// Waits until all proxies are ready and serve both tenants.
async fn wait_until_ready(layout: &Layout, processes: &mut Processes) -> Result<(), String> {
    for proxy in &layout.proxies {
        let what = format!("{} is not ready after {START_WITHIN:?}", proxy.name);
        wait_until(START_WITHIN, &what, async || {
            let reply = call(proxy.readiness(), Method::GET, "/ready", Bytes::new(), READY_WITHIN).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await?;
        for key in LASTING_KEYS {
            let ask = Ask { mutating: false, path: CATALOG_PREFIX.to_owned(), key: Some(key) };
            let what = format!("{} does not serve after {START_WITHIN:?}", proxy.name);
            let serves = async || ask.send_to(proxy.http()).await.is_ok_and(|reply| is_served(&reply));
            wait_until(START_WITHIN, &what, serves).await?;
        }
    }
    processes.ended().map_or(Ok(()), Err)
}

fn start_clients(
    args: &Args,
    layout: &Layout,
    tally: &Rc<RefCell<Tally>>,
    stop: &Rc<Cell<bool>>,
    open: &Rc<Cell<usize>>,
) {
    let clients = CLIENTS_PER_ZONE * PLACES.len();
    let every = Duration::from_secs(1) * clients as u32 / args.rate;
    for place in PLACES.iter().flat_map(|place| [*place; CLIENTS_PER_ZONE]) {
        let client = Client::new(layout, place, tally.clone(), stop.clone());
        let open = open.clone();
        open.set(open.get() + 1);
        Tokio.spawn(async move {
            client.run(every).await;
            open.set(open.get() - 1);
        });
    }
}

/// What happens to the system, in order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Event {
    Kill,
    Restart,
    Change,
}

impl Stage<'_> {
    /// Lets traffic run, and gives the address of the proxy that was killed.
    async fn traffic(&mut self, args: &Args) -> Result<Option<SocketAddr>, String> {
        let lasts = Duration::from_secs(args.seconds);
        let mut events = vec![(lasts * 2 / 3, Event::Change)];
        if args.kill {
            events.insert(0, (lasts / 3, Event::Kill));
            events.insert(1, (lasts / 3 + DOWN_FOR, Event::Restart));
        }
        let victims = self.victims();
        let end = self.begun + lasts;
        while Instant::now() < end {
            let next_event = events.first().map_or(end, |(at, _)| self.begun + *at);
            let next_show = self.shown + SHOW_PERIOD;
            sleep_until(next_show.min(next_event).min(end)).await;
            if let Some(message) = self.processes.ended() {
                return Err(message);
            }
            if Instant::now() >= next_event && !events.is_empty() {
                let (_, event) = events.remove(0);
                self.happen(event, &victims).await?;
            }
            if Instant::now() >= next_show {
                self.show().await;
            }
        }
        self.show().await;
        Ok(args.kill.then(|| self.layout.proxies[0].http()))
    }

    /// One process of each program, on three machines.
    fn victims(&self) -> [ProcessSpec; 3] {
        let on =
            |program, machine: &crate::layout::Machine| ProcessSpec { program, machine: machine.clone() };
        [
            on(Program::Registry, &self.layout.cores[0]),
            on(Program::ConfigStore, &self.layout.cores[1]),
            on(Program::Proxy, &self.layout.proxies[0]),
        ]
    }

    async fn happen(&mut self, event: Event, victims: &[ProcessSpec; 3]) -> Result<(), String> {
        let at = self.begun.elapsed().as_secs_f64();
        let names = victims.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        match event {
            Event::Kill => {
                victims.iter().for_each(|victim| self.processes.kill(victim));
                self.table.note(format!("{at:.1} s: killed {names}"));
            }
            Event::Restart => {
                for victim in victims {
                    self.processes.restart(victim)?;
                }
                self.table.note(format!("{at:.1} s: started them again"));
            }
            Event::Change => {
                put_config(self.layout, Edition::Changed, ACKNOWLEDGED_WITHIN).await?;
                self.table.note(format!("{at:.1} s: the operator changed the configuration"));
            }
        }
        Ok(())
    }

    async fn show(&mut self) {
        let mut registries = Vec::new();
        for core in &self.layout.cores {
            registries.push((core.name.clone(), status(core).await.ok()));
        }
        let mut in_force = BTreeMap::new();
        for proxy in &self.layout.proxies {
            if let Some(edition) = edition_at(proxy.http()).await {
                in_force.insert(proxy.http(), edition.serial());
            }
        }
        let (elapsed, since_last) = (self.begun.elapsed(), self.shown.elapsed());
        self.shown = Instant::now();
        let observed = Observed { elapsed, since_last, in_force, registries };
        let text = self.table.show(self.layout, &self.tally.borrow(), &observed);
        let clear = if std::io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
        say!("{clear}{text}");
    }
}

/// The configuration in force at a proxy, told by which probe is routed there.
async fn edition_at(proxy: SocketAddr) -> Option<Edition> {
    for edition in Edition::ALL.into_iter().rev() {
        let ask = Ask { mutating: false, path: edition.probe_path(), key: None };
        let reply = ask.send_to(proxy).await.ok()?;
        if is_served(&reply) {
            return Some(edition);
        }
    }
    None
}

/// The changed configuration is in force at every proxy, and the removed key is refused there.
async fn check_change(layout: &Layout) -> Result<(), String> {
    let removed = Ask { mutating: false, path: CATALOG_PREFIX.to_owned(), key: Some(REMOVED_KEY) };
    for proxy in &layout.proxies {
        let at = proxy.http();
        let what = format!("the changed configuration is not in force at {}", proxy.name);
        let changed = async || edition_at(at).await == Some(Edition::Changed);
        wait_until(IN_FORCE_WITHIN, &what, changed).await?;
        let what = format!("a removed key is not refused at {}", proxy.name);
        let refused =
            async || removed.send_to(at).await.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED);
        wait_until(IN_FORCE_WITHIN, &what, refused).await?;
    }
    Ok(())
}

/// Tries of requests that change things that ran more than once.
fn second_runs(surroundings: &Surroundings) -> usize {
    let log = surroundings.log.borrow();
    let mut seen = BTreeSet::new();
    let orders = log.runs.iter().filter(|run| run.path.starts_with(ORDERS_PREFIX));
    orders.filter(|run| !seen.insert(run.attempt.as_str())).count()
}

/// Prints the summary. Of requests that change things, those that were under way at a proxy that was killed are
/// nobody's fault: their clients may not repeat them.
fn judge(
    tally: &Tally,
    surroundings: &Surroundings,
    killed: Option<SocketAddr>,
    change: Result<(), String>,
) -> Result<(), String> {
    let with_killed: u64 = killed.and_then(|proxy| tally.unknown.get(&proxy).copied()).unwrap_or(0);
    let unknown = tally.unknown_total() - with_killed;
    let second_runs = second_runs(surroundings);
    say!("served {}, failed {}, outcome unknown {unknown}", tally.served, tally.failed);
    if killed.is_some() {
        say!("under way at the proxy that was killed, and not repeatable: {with_killed}");
    }
    say!("requests that ran twice though they must not: {second_runs}");
    say!("changed configuration in force everywhere, removed key refused: {}", change.is_ok());
    change?;
    let all_served = tally.served > 0 && tally.failed == 0 && unknown == 0;
    if !all_served {
        return Err(format!("not everything was served: {}", tally.last_failure.as_deref().unwrap_or("-")));
    }
    match second_runs {
        0 => Ok(()),
        _ => Err("a request that changes things ran twice".into()),
    }
}
