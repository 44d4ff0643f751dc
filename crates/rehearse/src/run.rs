//! Plays rehearsals and tells what came of them.

use crate::draw::resolve;
use crate::file::read;
use crate::judge::{judge, Verdict};
use crate::load::Load;
use crate::page::{page, summary};
use crate::script::Script;
use crate::shrink::Shrink;
use crate::world::World;
use hingestage_platform::{Platform, Tokio};
use hingestage_print::say;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::json;
use std::fs;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Clients that wait at the end have their answer by then.
const LAST_ANSWERS: Duration = Duration::from_secs(8);

/// Plays a fleet of real processes of this program among stand-ins, with faults between them. Ends with 0 where
/// all holds, 1 where a rule or a sum is broken, 2 where the file is at fault and 3 where the machine was too
/// slow for the run to tell anything.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The rehearsal; see `docs/on-rehearsals.md`.
    file: PathBuf,
    /// Draws what the file leaves to the seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays so many seeds, one after the other from `--seed`, until one fails.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// Looks for the shortest script that still fails, and prints its faults.
    #[arg(long)]
    shrink: bool,
    /// Keeps folders and logs of the gateways, and says where.
    #[arg(long)]
    keep_logs: bool,
    /// Writes the sums of each quarter of a second here, a line of JSON each.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes a page with plots here.
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Plays with this program instead of this one: for comparisons with an earlier version.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All holds.
    Holds,
    /// Something does not.
    Broken(String),
    /// The file or the command line is at fault.
    Asked(String),
    /// The run tells nothing.
    Void(String),
}

/// Runs the subcommand.
pub async fn run(args: Args) -> Outcome {
    let script = match hingestage_s_expression::load(&args.file, read) {
        Ok(script) => script,
        Err(message) => return Outcome::Asked(message),
    };
    more_descriptors();
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else {
        return Outcome::Broken("no signals".into());
    };
    tokio::select! {
        biased;
        outcome = play_all(&args, &script) => outcome,
        // Processes end with this one, and the folder goes with what holds it.
        _ = interrupt.recv() => Outcome::Broken("interrupted".into()),
    }
}

/// A rehearsal holds a relay for each pair: as many descriptors as the system lets it have.
fn more_descriptors() {
    let now = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: now.maximum, maximum: now.maximum });
}

async fn play_all(args: &Args, script: &Script) -> Outcome {
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let resolved = resolve(script, seed);
        let verdict = match play(args, &resolved, seed).await {
            Ok(verdict) => verdict,
            Err(message) => return Outcome::Broken(message),
        };
        if let Err(message) = tell(args, &resolved, seed, &verdict) {
            return Outcome::Broken(message);
        }
        if let Some(why) = verdict.void {
            return Outcome::Void(why);
        }
        if !verdict.holds() {
            if args.shrink {
                shorten(args, resolved, seed).await;
            }
            return Outcome::Broken(format!("seed {seed}: {}", summary(&verdict)));
        }
    }
    Outcome::Holds
}

/// A folder that goes when its holder does.
struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
    fn new(keep: bool, seed: u64) -> Result<Folder, String> {
        let name = format!("hingestage-rehearsal-{}-{seed}-{:08x}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder { path, keep })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        match self.keep {
            true => say!("logs: {}", self.path.display()),
            false => drop(fs::remove_dir_all(&self.path)),
        }
    }
}

/// Plays one script from its start to its verdict.
async fn play(args: &Args, script: &Script, seed: u64) -> Result<Verdict, String> {
    let own = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let program = args.program.clone().unwrap_or(own);
    let folder = Folder::new(args.keep_logs, seed)?;
    let world = World::start(script.clone(), &program, &folder.path).await?;
    let load = Load::new(world.clone(), seed);
    world.begun.set(Tokio.now());
    load.run();
    let watch = Tokio.spawn(world.clone().watch_lateness());
    let sampler = Tokio.spawn(world.clone().sample());
    for timed in script.faults.clone() {
        Tokio.spawn(world.clone().play(timed));
    }
    show_progress(script, &world, &load).await;
    let until = Tokio.now() + LAST_ANSWERS;
    while load.out() > 0 && Tokio.now() < until {
        Tokio.sleep(Duration::from_millis(20)).await;
    }
    sampler.abort();
    watch.abort();
    world.end().await;
    let entries = world.record.take();
    Ok(judge(script, world.begun.get(), &entries, load.late()))
}

/// Waits until clients stop; on a terminal it tells how far things are.
async fn show_progress(script: &Script, world: &Rc<World>, load: &Load) {
    let shown = std::io::stderr().is_terminal();
    let ends = world.begun.get() + script.lasts;
    while Tokio.now() < ends {
        Tokio.sleep_until(ends.min(Tokio.now() + Duration::from_secs(1))).await;
        if shown {
            let left = ends.saturating_duration_since(Tokio.now()).as_secs();
            let _ = write!(
                std::io::stderr(),
                "\r{}: {left} s left, {} gateways run, {} clients wait, {} calls to the counter   ",
                script.name,
                world.running(),
                load.out(),
                world.calls()
            );
        }
    }
    if shown {
        let _ = writeln!(std::io::stderr());
    }
}

/// Tells of a verdict on the terminal and in the files that were asked for.
fn tell(args: &Args, script: &Script, seed: u64, verdict: &Verdict) -> Result<(), String> {
    let sums = &verdict.sums;
    let all = sums
        .buckets
        .iter()
        .fold((0, 0, 0, 0), |(a, s, r, f), b| (a + b.asked, s + b.served, r + b.refused, f + b.failed));
    say!("{}, seed {seed}: {}", script.name, summary(verdict));
    say!("  {} asked, {} served, {} refused, {} failed", all.0, all.1, all.2, all.3);
    say!("  {:.0} units sent on, {:.0} of them beyond quotas", verdict.beyond.1, verdict.beyond.0);
    say!(
        "  Jain's index {:.3} over gateways, {:.3} over accounts; at most {} calls in a second, {} connections of a worker",
        sums.fair_gateways(),
        sums.fair_accounts(),
        sums.most_calls(),
        sums.most_connections()
    );
    say!(
        "  processor time {:.2} s of gateways, {:.2} ms a request, {:.2} s of keepers",
        sums.spent.gateways.as_secs_f64(),
        sums.cpu_a_request(),
        sums.spent.keepers.as_secs_f64()
    );
    let lateness = &verdict.lateness;
    say!(
        "  the rehearsal itself was held up {} times, {:.2} s in all, {:.2} s at most",
        lateness.times,
        lateness.total.as_secs_f64(),
        lateness.longest.as_secs_f64()
    );
    if let Some((changing, calm)) = sums.waits() {
        say!(
            "  the slowest hundredth waits {:.0} ms while a policy changes, {:.0} ms else; served {:.3} times as much",
            changing.as_secs_f64() * 1e3,
            calm.as_secs_f64() * 1e3,
            sums.goodput()
        );
    }
    if let Some((middle, longest)) = verdict.policies.took() {
        let (changes, proposals) = (verdict.policies.in_force.len() - 1, verdict.policies.proposals.len());
        say!("  {changes} of {proposals} changes in force, {middle:.2} s after they were proposed, {longest:.2} at most");
    }
    sums.service.recoveries().iter().for_each(|line| say!("  {line}"));
    for (what, value, kept) in &verdict.holds {
        say!("  {} {what}: {value:.3}", if *kept { "holds:" } else { "DOES NOT HOLD:" });
    }
    verdict.history.iter().for_each(|line| say!("  {line}"));
    if let Some(file) = &args.page {
        write_file(file, &page(script, seed, verdict)?)?;
    }
    if let Some(file) = &args.json {
        write_file(file, &lines(script, seed, verdict))?;
    }
    Ok(())
}

fn write_file(file: &Path, text: &str) -> Result<(), String> {
    fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

/// The sums, a line of JSON each.
fn lines(script: &Script, seed: u64, verdict: &Verdict) -> String {
    let mut lines = vec![json!({"rehearsal": script.name, "seed": seed, "verdict": summary(verdict)})];
    for (at, what) in &verdict.faults {
        lines.push(json!({"at": at.as_secs_f64(), "fault": what}));
    }
    for (n, bucket) in verdict.sums.buckets.iter().enumerate() {
        lines.push(json!({
            "at": n as f64 * crate::sums::BUCKET.as_secs_f64(), "asked": bucket.asked, "served": bucket.served,
            "refused": bucket.refused, "failed": bucket.failed, "units": bucket.units,
            "counter_calls": bucket.calls, "worker_connections": bucket.connections,
        }));
    }
    for (gateway, (served, asked)) in &verdict.sums.gateways {
        lines.push(json!({"gateway": gateway, "asked_inside_quota": asked, "served": served}));
    }
    for (account, (served, asked)) in &verdict.sums.accounts {
        lines.push(json!({"account": account, "asked_inside_quota": asked, "served": served}));
    }
    for (what, value, kept) in &verdict.holds {
        lines.push(json!({"must_hold": what, "value": value, "holds": kept}));
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// Looks for the shortest script that still fails.
async fn shorten(args: &Args, script: Script, seed: u64) {
    let mut shrink = Shrink::new(script);
    while let Some(next) = shrink.next_try() {
        let verdict = play(args, &next, seed).await;
        let fails = verdict.is_ok_and(|verdict| verdict.void.is_none() && !verdict.holds());
        say!("  {} faults: {}", next.faults.len(), if fails { "fails too" } else { "holds" });
        shrink.came(fails);
    }
    say!("the shortest that fails:");
    shrink.best().faults.iter().for_each(|timed| say!("  {timed}"));
}
