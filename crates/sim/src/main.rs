//! `hingestage-sim`: plays seeds and scripts, shortens what fails.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use hingestage_print::say;
use hingestage_sim::campaign::{self, Campaign};
use hingestage_sim::scenario::{scenario, sites_scenario, srv_scenario};
use hingestage_sim::script::Script;
use hingestage_sim::shrink::shrink;
use hingestage_sim::world::{play, Options, Report};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Plays whole mornings of the gateway on a virtual clock, against faults drawn from seeds, and checks every
/// rule after each step.
#[derive(Parser)]
#[command(name = "hingestage-sim", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a range of seeds, or one; prints what was reached, a digest, and `N passed, N failed`.
    Run {
        /// Seeds from the first up to, and without, the last: `0..10000`.
        #[arg(long, value_parser = range)]
        #[arg(required_unless_present_any = ["seed", "lasts"], conflicts_with_all = ["seed", "lasts"])]
        seeds: Option<Range<u64>>,
        /// A single seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Fresh seeds for so long: `90s`, `10m`, `2h`. They begin at the present second, so that no two runs
        /// play the same.
        #[arg(long = "for", value_parser = span, conflicts_with = "seed")]
        lasts: Option<Duration>,
        /// Worlds in which workers come from SRV records.
        #[arg(long)]
        srv: bool,
        /// Worlds in which whole sites are lost and return.
        #[arg(long, conflicts_with = "srv")]
        sites: bool,
        /// Threads; as many as there are cores where it is left out.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: Option<u16>,
        /// Begins no further seed once one has broken a rule.
        #[arg(long, conflicts_with = "seed")]
        until_broken: bool,
        /// Prints the script and everything that is seen. With --seed only.
        #[arg(long, conflicts_with_all = ["seeds", "lasts"])]
        trace: bool,
    },
    /// Shortens the script of a seed, or of a file, that breaks a rule.
    Shrink {
        /// The seed.
        #[arg(long, required_unless_present = "file", conflicts_with = "file")]
        seed: Option<u64>,
        /// A script.
        #[arg(long)]
        file: Option<PathBuf>,
        /// The seed's world is one in which workers come from SRV records.
        #[arg(long, conflicts_with = "file")]
        srv: bool,
        /// The seed's world is one in which whole sites are lost.
        #[arg(long, conflicts_with_all = ["file", "srv"])]
        sites: bool,
        /// Where to write the short script.
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Plays a script.
    Replay {
        /// The script.
        file: PathBuf,
        /// Prints everything that is seen.
        #[arg(long)]
        trace: bool,
    },
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let bad = || format!("`{text}` is no range of seeds such as 0..10000");
    let (from, to) = text.split_once("..").ok_or_else(bad)?;
    let (from, to) = (from.parse().map_err(|_| bad())?, to.parse().map_err(|_| bad())?);
    match from < to {
        true => Ok(from..to),
        false => Err(format!("`{text}` holds no seed")),
    }
}

fn span(text: &str) -> Result<Duration, String> {
    let bad = || format!("`{text}` is no span such as 90s, 10m or 2h");
    let (number, unit) = text.split_at(text.len() - usize::from(!text.is_empty()));
    let unit = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        _ => return Err(bad()),
    };
    let number: u64 = number.parse().ok().filter(|n| (1..=100_000).contains(n)).ok_or_else(bad)?;
    Ok(Duration::from_secs(number * unit))
}

/// Seeds that no earlier run has played: a million for each second since 1970.
fn fresh() -> Range<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_secs() * 1_000_000..u64::MAX
}

fn main() -> ExitCode {
    // A gateway's panic is a finding, told with its seed; the usual message would only get lost among others.
    std::panic::set_hook(Box::new(|_| {}));
    let done = match Args::parse().command {
        Command::Run { seeds: Some(seeds), jobs, until_broken, srv, sites, .. } => {
            Ok(run(seeds, None, until_broken, jobs, drawn(srv, sites)))
        }
        Command::Run { lasts: Some(lasts), jobs, until_broken, srv, sites, .. } => {
            Ok(run(fresh(), Some(lasts), until_broken, jobs, drawn(srv, sites)))
        }
        Command::Run { seed, trace, srv, sites, .. } => Ok(one(&drawn(srv, sites)(seed.unwrap_or(0)), trace)),
        Command::Shrink { seed, file, srv, sites, output } => shorten(seed, file, drawn(srv, sites), &output),
        Command::Replay { file, trace } => read(&file).map(|script| one(&script, trace)),
    };
    match done {
        Ok(code) => code,
        Err(message) => {
            eprintln!("hingestage-sim: {message}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    text.parse().map_err(|e| format!("{}: {e}", file.display()))
}

/// What draws the script of a seed.
type Draw = fn(u64) -> Script;

fn drawn(srv: bool, sites: bool) -> Draw {
    match (srv, sites) {
        (true, _) => srv_scenario,
        (_, true) => sites_scenario,
        _ => scenario,
    }
}

fn run(
    seeds: Range<u64>,
    lasts: Option<Duration>,
    until_broken: bool,
    jobs: Option<u16>,
    scenario: Draw,
) -> ExitCode {
    let jobs = jobs.map_or_else(|| std::thread::available_parallelism().map_or(1, usize::from), usize::from);
    let (all, began) = (seeds.end - seeds.start, Instant::now());
    let mut said = began;
    let until = lasts.map(|lasts| began + lasts);
    let options = Options { scenario, ..Options::default() };
    let campaign = campaign::run(seeds, until, until_broken, jobs, options, |done| {
        if said.elapsed().as_secs() >= 2 {
            said = Instant::now();
            let of = if lasts.is_some() { String::new() } else { format!(" of {all}") };
            eprintln!("{done}{of} seeds, {:.0} a second", done as f64 / began.elapsed().as_secs_f64());
        }
    });
    let played = campaign.passed + campaign.failed.len() as u64;
    print(&campaign, played as f64 / began.elapsed().as_secs_f64());
    ExitCode::from(u8::from(!campaign.failed.is_empty()))
}

fn print(campaign: &Campaign, pace: f64) {
    say!("{campaign}\n");
    let unreached = campaign.unreached();
    if !unreached.is_empty() {
        say!("not reached: {}", unreached.join(", "));
    }
    let answers: Vec<String> = campaign.answers.iter().map(|(s, n)| format!("{n} times {s}")).collect();
    say!("answers to usual clients: {}", answers.join(", "));
    say!("service: {}", campaign.service);
    let families: Vec<String> = campaign.families.iter().map(|(f, n)| format!("{f} {n}")).collect();
    say!("worlds: {}", families.join(", "));
    say!("{} events, {pace:.0} seeds a second", campaign.steps);
    say!("digest {:016x}", campaign.digest);
    for (seed, broken) in &campaign.failed {
        say!("seed {seed} breaks `{}`: {}", broken.rule, broken.what);
        say!("  hingestage-sim run --seed {seed} --trace");
        say!("  hingestage-sim shrink --seed {seed} -o seed-{seed}.script");
    }
    say!("{} passed, {} failed", campaign.passed, campaign.failed.len());
}

fn one(script: &Script, trace: bool) -> ExitCode {
    let report = play(script, Options { trace, ..Options::default() });
    if trace {
        say!("{script}");
        report.trace.iter().for_each(|line| say!("{line}"));
    }
    say(&report);
    ExitCode::from(u8::from(report.broken.is_some()))
}

fn say(report: &Report) {
    say!("digest {:016x}", report.digest);
    if let Some(broken) = &report.broken {
        say!("`{}` broken: {}", broken.rule, broken.what);
    }
    say!("{} passed, {} failed", u8::from(report.broken.is_none()), u8::from(report.broken.is_some()));
}

fn shorten(
    seed: Option<u64>,
    file: Option<PathBuf>,
    scenario: Draw,
    output: &Path,
) -> Result<ExitCode, String> {
    let script = match (seed, file) {
        (_, Some(file)) => read(&file)?,
        (seed, None) => scenario(seed.unwrap_or(0)),
    };
    let mut said = Instant::now();
    let shrunk = shrink(&script, Options::default(), &mut |plays, lines| {
        if said.elapsed().as_secs() >= 1 {
            said = Instant::now();
            eprintln!("{plays} scripts played, {lines} lines left");
        }
    });
    let shrunk = shrunk.ok_or("it breaks no rule; there is nothing to shorten")?;
    std::fs::write(output, shrunk.script.to_string()).map_err(|e| format!("{}: {e}", output.display()))?;
    say!("{} lines before, {} now: {}", script.lines(), shrunk.script.lines(), output.display());
    say!("`{}` broken: {}", shrunk.broken.rule, shrunk.broken.what);
    Ok(ExitCode::SUCCESS)
}
