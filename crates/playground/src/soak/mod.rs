//! Soak of shutdowns with real processes: series of signals and restarts, drawn from a seed, under clients that use
//! their connections until the process is gone and operators that change the configuration. The verdict rests on what
//! clients, operators and workers saw.

mod clients;
mod orders;
mod shutdowns;
mod verdict;
mod zone_orders;

use crate::http::{CallError, Reply};
use crate::layout::{Layout, FOUR_PLACES};
use crate::operator::{put_config, Edition};
use crate::processes::{find_programs, Processes};
use crate::seeds::Seeds;
use crate::surroundings::{Surroundings, WorkerLoad};
use clients::RequestLog;
use fastrand::Rng;
use hingestage_print::say;
use hingestage_test_servers::service_worker::{AnswerForm, AnswerPart};
use hyper::StatusCode;
use orders::OrderLog;
use shutdowns::{Shutdowns, SoakPlan};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use verdict::Verdict;
use zone_orders::ZoneOrderLog;

/// How long a system may take to come up.
const START_WITHIN: Duration = Duration::from_secs(30);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(3);
/// How long clients and operators may take to end.
const END_WITHIN: Duration = Duration::from_secs(8);
/// How late the soak itself may run. Where it is later, clients and workers are too, and the seed is void.
const LATENESS_MAX: Duration = Duration::from_millis(100);
/// Pause between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// Kept connections of clients to each proxy.
const CONNECTIONS_PER_PROXY: usize = 6;
/// Requests that a worker runs at once.
const WORKER_CAPACITY: usize = 64;
/// How long workers work on a request; a seed has one of these.
const WORK: [Duration; 3] = [Duration::from_millis(5), Duration::from_millis(60), Duration::from_millis(250)];
/// Work of a slow request beyond that of others, and a pause within an answer: longer than any silence that leads to a
/// retry where one may follow.
const EXTRA_WORK: Duration = Duration::from_millis(500);
const PAUSE_IN_ANSWER: Duration = Duration::from_millis(450);
/// Bytes of a long answer, which proxies pass on from its head.
const LONG_ANSWER: usize = 100_000;
/// An answer that pauses in the middle of its body.
const PAUSING: AnswerForm = AnswerForm { pause: PAUSE_IN_ANSWER, ..AnswerForm::PLAIN };
/// The forms of answers, in turn.
const FORMS: [AnswerForm; 13] = [
    AnswerForm::PLAIN,
    PAUSING,
    AnswerForm::PLAIN,
    AnswerForm { has_length: false, ..AnswerForm::PLAIN },
    AnswerForm { extra_bytes: LONG_ANSWER, ..PAUSING },
    AnswerForm::PLAIN,
    AnswerForm { extra_work: EXTRA_WORK, ..AnswerForm::PLAIN },
    AnswerForm::PLAIN,
    AnswerForm { has_length: false, ..PAUSING },
    AnswerForm { pauses_in: AnswerPart::Head, ..PAUSING },
    AnswerForm::PLAIN,
    AnswerForm { extra_bytes: LONG_ANSWER, has_length: false, ..PAUSING },
    AnswerForm::PLAIN,
];
/// The loopback networks are `127.3.x.0`.
const SECOND: u8 = 3;

/// Ends and restarts processes of whole systems in series that overlap, one system for each seed, while clients use their
/// connections until the process is gone. Ends with 0 where every request and order that a process took was answered. A
/// seed in which the soak itself ran late is void.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    seeds: Seeds,
    /// Proxies of each system, beside the six processes of its core.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(2..=80))]
    proxies: u8,
    /// How long signals go on, seconds.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
}

/// Runs the command.
///
/// # Errors
/// A system can't be started, or a request or an order was lost.
pub async fn run(args: Args) -> Result<(), String> {
    let programs = find_programs()?;
    let mut sum = Verdict::default();
    let mut broken = Vec::new();
    let play = |seed: u64| play(programs.clone(), args.proxies, args.seconds, seed);
    let on_end = |seed: u64, played: Result<Verdict, String>| match played {
        Ok(verdict) => {
            say!("seed {seed}: {verdict}");
            broken.extend(verdict.broken.iter().map(|what| format!("seed {seed}: {what}")));
            sum.add(&verdict);
        }
        Err(message) => broken.push(format!("seed {seed}: {message}")),
    };
    args.seeds.play(play, on_end).await;
    say!("{} seeds, {} void: {sum}", sum.judged_seeds + sum.void_seeds, sum.void_seeds);
    match broken.as_slice() {
        [] if sum.judged_seeds == 0 => {
            Err("void: the soak ran late in every seed; play fewer at once".to_owned())
        }
        [] => Ok(()),
        broken => Err(broken.join("\n")),
    }
}

/// How a request or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeEnd {
    /// With a whole answer.
    Answered(StatusCode),
    /// With a closed connection and no whole answer.
    Closed,
    /// With no answer in time.
    Silent,
}

impl ExchangeEnd {
    /// The end of what was sent; `None` if it was not sent.
    fn of(exchange: Result<Reply, CallError>) -> Option<ExchangeEnd> {
        match exchange {
            Ok(reply) => Some(ExchangeEnd::Answered(reply.status)),
            Err(CallError::Broken) => Some(ExchangeEnd::Closed),
            Err(CallError::Timeout) => Some(ExchangeEnd::Silent),
            Err(CallError::NotSent) => None,
        }
    }
}

/// What goes on in a system while its processes are ended and restarted.
struct Soak {
    layout: Layout,
    processes: RefCell<Processes>,
    surroundings: Rc<Surroundings>,
    requests: RefCell<RequestLog>,
    orders: RefCell<OrderLog>,
    shutdowns: RefCell<Shutdowns>,
    zone_orders: RefCell<ZoneOrderLog>,
    /// Held while processes of a core machine end and start again, so that the others can serve.
    core_change: Mutex<()>,
    /// Set when clients and operators are to end.
    stop: Cell<bool>,
    /// Clients and operators that have not ended.
    open: Cell<usize>,
    /// The longest time by which the soak itself ran late.
    lateness: Cell<Duration>,
}

impl Soak {
    /// Runs a client or an operator, and counts it until its end.
    fn spawn_user(self: &Rc<Self>, user: impl Future<Output = ()> + 'static) {
        let soak = self.clone();
        self.open.set(self.open.get() + 1);
        spawn_local(async move {
            user.await;
            soak.open.set(soak.open.get() - 1);
        });
    }

    /// Watches how late the soak itself runs.
    async fn watch_lateness(self: Rc<Self>) {
        while !self.stop.get() {
            let due = Instant::now() + LOOK;
            sleep_until(due).await;
            self.lateness.set(self.lateness.get().max(due.elapsed()));
        }
    }

    async fn stop_users(&self) -> Result<(), String> {
        self.stop.set(true);
        let until = Instant::now() + END_WITHIN;
        while self.open.get() > 0 {
            if Instant::now() >= until {
                return Err("clients or operators did not end".to_owned());
            }
            sleep(LOOK).await;
        }
        Ok(())
    }
}

/// Plays one seed.
async fn play(programs: PathBuf, proxies: u8, seconds: u64, seed: u64) -> Result<Verdict, String> {
    let mut random = Rng::with_seed(seed);
    // Lists of workers are served until the command ends, so each seed has its own network.
    let network = (seed % 256) as u8;
    let mut layout = Layout::of(SECOND, network, &FOUR_PLACES, proxies);
    layout.grace = GRACE;
    let directory = std::env::temp_dir().join(format!("hingestage-soak-{}-{network}", std::process::id()));
    let work = WORK[random.usize(..WORK.len())];
    let load = WorkerLoad { work, capacity: WORKER_CAPACITY, forms: &FORMS };
    let surroundings = Surroundings::start_with(&layout, load).await?;
    let processes = Processes::start(programs, directory.clone(), &layout)?;
    let soak = Rc::new(Soak {
        layout,
        processes: RefCell::new(processes),
        surroundings,
        requests: RefCell::default(),
        orders: RefCell::default(),
        shutdowns: RefCell::default(),
        zone_orders: RefCell::default(),
        core_change: Mutex::default(),
        stop: Cell::new(false),
        open: Cell::new(0),
        lateness: Cell::default(),
    });
    put_config(&soak.layout, Edition::First, START_WITHIN).await?;
    clients::wait_until_served(&soak, START_WITHIN).await?;
    soak.spawn_user(soak.clone().watch_lateness());
    clients::start(&soak, CONNECTIONS_PER_PROXY);
    orders::start(&soak);
    soak.spawn_user(zone_orders::run(soak.clone(), random.fork()));
    shutdowns::play(&soak, SoakPlan::draw(&mut random, Duration::from_secs(seconds))).await;
    soak.stop_users().await?;
    let read_back = orders::read_back(&soak).await;
    end(soak, read_back, &directory).await
}

/// Ends all processes and judges.
async fn end(soak: Rc<Soak>, read_back: Option<u32>, directory: &Path) -> Result<Verdict, String> {
    let soak = Rc::into_inner(soak).ok_or("a task of the soak did not end")?;
    let lateness = soak.lateness.get();
    let mut processes = soak.processes.into_inner();
    let ended = processes.ended();
    let in_order = processes.stop().await;
    soak.surroundings.end_all().await;
    let runs = &soak.surroundings.log.borrow().runs;
    let mut verdict = Verdict::judge(
        &soak.requests.into_inner(),
        runs,
        &soak.orders.into_inner(),
        &soak.shutdowns.into_inner(),
    );
    verdict.check_read_back(read_back);
    verdict.judge_zone_orders(&soak.zone_orders.into_inner());
    verdict.broken.extend(ended);
    if !in_order {
        verdict.broken.push("a process had to be killed at the end".to_owned());
    }
    if lateness > LATENESS_MAX {
        verdict.make_void(lateness);
    }
    if verdict.broken.is_empty() {
        let _ = std::fs::remove_dir_all(directory);
    } else {
        say!("settings and logs are in {}", directory.display());
    }
    Ok(verdict)
}
