//! The signals of a soak: which processes are ended and restarted, when, and in which order.

use super::{Soak, GRACE};
use crate::layout::{ProcessSpec, Program};
use fastrand::Rng;
use rustix::process::Signal;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

/// Pause between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);
/// How long after `GRACE` the end of a process may be noticed on a busy machine.
const LATE: Duration = Duration::from_millis(500);
/// Intervals between two proxies of a rolling restart.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(50);
const LONGEST_INTERVAL: Duration = Duration::from_millis(600);
/// How long a process stays down at the most.
pub(super) const DOWN_MAX: Duration = Duration::from_millis(800);
/// The longest pause before a process is told to end.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// The end of a process.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// The process.
    pub process: ProcessSpec,
    /// When it got SIGTERM.
    pub signalled_at: Instant,
    /// Whether it had to be killed.
    pub killed: bool,
    /// Whether it got a second SIGTERM.
    pub second_signal: bool,
}

/// Ends of processes, as they were seen.
#[derive(Debug, Default)]
pub struct Shutdowns {
    /// All of them.
    pub all: Vec<Shutdown>,
    /// Processes that ended with no signal.
    pub unasked: Vec<String>,
}

/// The order in which proxies are ended.
#[derive(Clone, Copy, Debug)]
enum Pattern {
    /// One after another, at intervals; a second series begins before the first is over.
    Rolling {
        /// Between two proxies.
        interval: Duration,
        /// Between the beginnings of two series.
        next_series: Duration,
    },
    /// Each at times of its own.
    Scattered,
}

/// What a seed does to a system.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    pattern: Pattern,
    lasts: Duration,
    random: Rng,
}

impl SoakPlan {
    /// Draws a plan whose signals go on for `lasts`.
    pub fn draw(random: &mut Rng, lasts: Duration) -> SoakPlan {
        let pattern = match random.bool() {
            true => Pattern::Rolling {
                interval: draw_duration(random, SHORTEST_INTERVAL, LONGEST_INTERVAL),
                next_series: draw_duration(random, lasts / 8, lasts / 2),
            },
            false => Pattern::Scattered,
        };
        SoakPlan { pattern, lasts, random: random.fork() }
    }
}

fn draw_duration(random: &mut Rng, from: Duration, to: Duration) -> Duration {
    from + to.saturating_sub(from).mul_f64(random.f64())
}

/// Ends and restarts processes until the plan is over and all of them run.
pub async fn play(soak: &Rc<Soak>, plan: SoakPlan) {
    let SoakPlan { pattern, lasts, mut random } = plan;
    let until = Instant::now() + lasts;
    let proxies = processes_of(soak, Program::Proxy);
    let mut tasks = vec![spawn_local(shut_down_cores(soak.clone(), random.fork(), until))];
    tasks.push(spawn_local(hang_up(soak.clone(), random.fork(), until)));
    match pattern {
        Pattern::Scattered => tasks.extend(proxies.into_iter().map(|proxy| {
            let (soak, random) = (soak.clone(), random.fork());
            spawn_local(shut_down_at_times(soak, proxy, random, until))
        })),
        Pattern::Rolling { interval, next_series } => {
            let mut starts_at = Instant::now();
            while starts_at < until {
                tasks.extend(roll(soak, &proxies, &mut random, (starts_at, interval, until)));
                starts_at += next_series;
            }
        }
    }
    for task in tasks {
        let _ = task.await;
    }
}

fn processes_of(soak: &Soak, program: Program) -> Vec<ProcessSpec> {
    soak.layout.processes().into_iter().filter(|process| process.program == program).collect()
}

/// A rolling restart: each proxy in turn, whether or not the one before has come back.
fn roll(
    soak: &Rc<Soak>,
    proxies: &[ProcessSpec],
    random: &mut Rng,
    (starts_at, interval, until): (Instant, Duration, Instant),
) -> Vec<JoinHandle<()>> {
    let mut order = proxies.to_vec();
    random.shuffle(&mut order);
    let times = (0..).map(|number| starts_at + interval * number);
    let due = order.into_iter().zip(times).filter(|(_, at)| *at < until);
    due.map(|(proxy, at)| {
        let (soak, mut random) = (soak.clone(), random.fork());
        spawn_local(async move {
            sleep_until(at).await;
            restart(&soak, &proxy, &mut random).await;
        })
    })
    .collect()
}

async fn shut_down_at_times(soak: Rc<Soak>, process: ProcessSpec, mut random: Rng, until: Instant) {
    loop {
        sleep(PAUSE_MAX.mul_f64(random.f64())).await;
        if Instant::now() >= until {
            return;
        }
        restart(&soak, &process, &mut random).await;
    }
}

/// Ends processes of one core machine after another, so that the others can serve.
async fn shut_down_cores(soak: Rc<Soak>, mut random: Rng, until: Instant) {
    loop {
        sleep(PAUSE_MAX.mul_f64(random.f64())).await;
        if Instant::now() >= until {
            return;
        }
        let _change = soak.core_change.lock().await;
        let machine = soak.layout.cores[random.usize(..soak.layout.cores.len())].clone();
        let programs: &[Program] = match random.u8(..3) {
            0 => &[Program::Registry],
            1 => &[Program::ConfigStore],
            _ => &[Program::ConfigStore, Program::Registry],
        };
        let ends = programs.iter().map(|program| {
            let process = ProcessSpec { program: *program, machine: machine.clone() };
            let (soak, mut random) = (soak.clone(), random.fork());
            spawn_local(async move { restart(&soak, &process, &mut random).await })
        });
        for end in ends.collect::<Vec<_>>() {
            let _ = end.await;
        }
    }
}

/// Sends SIGHUP to processes at any time, also while they end.
async fn hang_up(soak: Rc<Soak>, mut random: Rng, until: Instant) {
    let processes = soak.layout.processes();
    while Instant::now() < until {
        sleep(LONGEST_INTERVAL.mul_f64(random.f64())).await;
        let process = &processes[random.usize(..processes.len())];
        // One that has just started can't take signals yet.
        if soak.processes.borrow().age(process).is_some_and(|age| age > DOWN_MAX) {
            soak.processes.borrow().signal(process, Signal::HUP);
        }
    }
}

/// Tells a process to end, at times twice, and starts it again once it has. Does nothing where it is down or ending.
async fn restart(soak: &Soak, process: &ProcessSpec, random: &mut Rng) {
    if !soak.processes.borrow_mut().begin_end(process) {
        return;
    }
    let signalled_at = Instant::now();
    let second = random.bool().then(|| signalled_at + GRACE.mul_f64(random.f64()));
    let mut second_signal = false;
    let killed = loop {
        if soak.processes.borrow_mut().has_ended(process) {
            break false;
        }
        if Instant::now() >= signalled_at + GRACE + LATE {
            soak.processes.borrow_mut().kill(process);
            break true;
        }
        if second.is_some_and(|second| Instant::now() >= second) && !second_signal {
            soak.processes.borrow().signal(process, Signal::TERM);
            second_signal = true;
        }
        sleep(LOOK).await;
    };
    let shutdown = Shutdown { process: process.clone(), signalled_at, killed, second_signal };
    soak.shutdowns.borrow_mut().all.push(shutdown);
    sleep(DOWN_MAX.mul_f64(random.f64())).await;
    if let Err(error) = soak.processes.borrow_mut().restart(process) {
        soak.shutdowns.borrow_mut().unasked.push(error);
    }
}
