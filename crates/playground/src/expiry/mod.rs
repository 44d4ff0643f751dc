//! Expiries of a trial with real processes: eight proxies in four zones of two regions, three core machines, faults drawn
//! from a seed, and a verdict by what clients and workers saw.

mod faults;
mod judge;
mod traffic;

use crate::layout::{Layout, FOUR_PLACES};
use crate::operator::{put_config, put_terms, Edition};
use crate::processes::{find_programs, Processes};
use crate::seeds::Seeds;
use crate::surroundings::Surroundings;
use fastrand::Rng;
use faults::Fault;
use hingestage_print::say;
use judge::Verdict;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::time::{sleep_until, Instant};
use traffic::Traffic;

/// Proxies of each system.
const PROXIES: u8 = 8;
/// How long a system may take to come up.
const START_WITHIN: Duration = Duration::from_secs(20);
/// How long terms may take to be acknowledged, with core machines down meanwhile.
const TERMS_WITHIN: Duration = Duration::from_secs(12);
/// From the terms on: the two steps, the end, and the end of the grace. The first step is announced 12 s after the terms.
const FIRST_STEP: Duration = Duration::from_secs(12);
const SECOND_STEP: Duration = Duration::from_secs(15);
const END: Duration = Duration::from_secs(18);
const GRACE: Duration = Duration::from_secs(4);
/// From the terms on: when the tenant pays, and when its clients stop. Where the whole core is killed, the notice of the
/// terms begins anew.
const PAID: Duration = Duration::from_secs(42);
const STOP: Duration = Duration::from_secs(53);
/// When faults may begin.
const FAULTS_FROM: Duration = Duration::from_secs(9);
const FAULTS_UNTIL: Duration = Duration::from_secs(30);
/// The loopback networks are `127.2.x.0`.
const SECOND: u8 = 2;

/// Plays expiries of a trial with real processes, one for each seed, with faults between them. Ends with 0 where nothing was
/// doubled or lost and no answer came under an older step than others gave before.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    seeds: Seeds,
}

/// Runs the command.
///
/// # Errors
/// A system can't be started, or a rule was broken.
pub async fn run(args: Args) -> Result<(), String> {
    let programs = find_programs()?;
    let mut sum = Verdict::default();
    let mut broken = Vec::new();
    let first = args.seeds.from;
    let play = |seed: u64| play(programs.clone(), network_of(seed - first), seed);
    let on_end = |seed: u64, played: Result<Verdict, String>| match played {
        Ok(verdict) => {
            say!("seed {seed}: {verdict}");
            broken.extend(verdict.broken.first().map(|what| format!("seed {seed}: {what}")));
            sum.add(&verdict);
        }
        Err(message) => broken.push(format!("seed {seed}: {message}")),
    };
    args.seeds.play(play, on_end).await;
    say!("{sum}");
    say!("refused of what was asked, by proxy, while slowed: {}", sum.shares_text());
    match broken.as_slice() {
        [] => Ok(()),
        broken => Err(broken.join("\n")),
    }
}

/// The third number of a seed's addresses. Lists of workers are served until the command ends, so each seed has its own.
fn network_of(number: u64) -> u8 {
    (number % 256) as u8
}

/// Plays one seed.
async fn play(programs: PathBuf, network: u8, seed: u64) -> Result<Verdict, String> {
    let layout = Layout::of(SECOND, network, &FOUR_PLACES, PROXIES);
    let directory = std::env::temp_dir().join(format!("hingestage-expiry-{}-{network}", std::process::id()));
    let surroundings = Surroundings::start(&layout).await?;
    let mut processes = Processes::start(programs, directory.clone(), &layout)?;
    let traffic = Rc::new(Traffic::new(&layout));
    let played = expire(&layout, &mut processes, &traffic, &surroundings, seed).await;
    traffic.stop().await;
    let in_order = processes.stop().await;
    surroundings.end_all().await;
    let trouble = played?;
    if !in_order {
        return Err("a process had to be killed at the end".to_owned());
    }
    let mut verdict = judge::judge(&traffic, &surroundings);
    verdict.trouble = trouble;
    if verdict.broken.is_empty() {
        let _ = std::fs::remove_dir_all(directory);
    }
    Ok(verdict)
}

/// Terms whose end lies so long after now.
fn terms(version: u64, end: Duration) -> String {
    let end_at = humantime::format_rfc3339_millis(SystemTime::now() + end);
    let before = |step: Duration| humantime::format_duration(END - step).to_string();
    serde_json::json!({
        "version": version,
        "end": end_at.to_string(),
        "steps": [
            { "before_end": before(FIRST_STEP), "share": 0.6 },
            { "before_end": before(SECOND_STEP), "share": 0.3 },
        ],
        "refused_last": ["mutating"],
        "deferred": ["reports"],
        "grace": humantime::format_duration(GRACE).to_string(),
    })
    .to_string()
}

/// Lets a trial run out under faults, and the tenant pay in the end.
async fn expire(
    layout: &Layout,
    processes: &mut Processes,
    traffic: &Rc<Traffic>,
    surroundings: &Surroundings,
    seed: u64,
) -> Result<String, String> {
    let mut random = Rng::with_seed(seed);
    put_config(layout, Edition::First, START_WITHIN).await?;
    traffic.wait_until_served(START_WITHIN).await?;
    let operator = random.usize(..layout.cores.len());
    put_terms(layout, operator, &terms(1, END), TERMS_WITHIN).await?;
    let begun = Instant::now();
    traffic.start();
    let at = random.u64(FAULTS_FROM.as_millis() as u64..FAULTS_UNTIL.as_millis() as u64);
    let fault = Fault::draw(&mut random, layout);
    sleep_until(begun + Duration::from_millis(at)).await;
    fault.strike(layout, processes, traffic, surroundings).await?;
    sleep_until(begun + PAID).await;
    let paid = put_terms(layout, operator, r#"{"version":9}"#, TERMS_WITHIN).await?;
    sleep_until((begun + STOP).max(Instant::now() + (STOP - PAID))).await;
    match paid {
        true => Ok(format!("{} at {:.1} s", fault.name(), at as f64 / 1e3)),
        false => Err("other terms hold than those of version 9".to_owned()),
    }
}
