//! `hingestage-mutants`: breaks the served code on purpose, and says what notices.
#![forbid(unsafe_code)]

mod judge;
mod mutant;
mod operators;
mod rehearsals;
mod table;

use clap::{Parser, Subcommand};
use hingestage_print::{put, say};
use judge::{Bench, Found, Verdict};
use mutant::{Family, Mutant};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::fs;
use std::hash::{Hash, Hasher};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc;
use std::sync::Mutex;

/// Breaks the served code on purpose, one small change at a time, and says what notices: seeds of the
/// simulator, small worlds, the sums of service, tests. What has been judged is kept and not judged again.
#[derive(Parser)]
#[command(name = "hingestage-mutants", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Judges mutants that have no verdict yet for this state of the sources.
    Run {
        /// The guards of `crates/mutants/guards.toml`.
        #[arg(long)]
        guards: bool,
        /// Tuned values of the decisions, times 4 and divided by 4.
        #[arg(long)]
        tuned: bool,
        /// What `cargo mutants --list --json` printed.
        #[arg(long)]
        list: Option<PathBuf>,
        /// Only those whose name contains this.
        #[arg(long)]
        only: Option<String>,
        /// Only one in so many, for a sample.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
        one_in: u64,
        /// Seeds that each is held against.
        #[arg(long, default_value = "0..2000")]
        seeds: String,
        /// How many are judged side by side, each in a copy of the tree with a build of its own.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
        jobs: u16,
    },
    /// Has programs with planted defects play rehearsals of real processes: those guards that name some.
    Rehearse {
        /// Only those whose name contains this.
        #[arg(long)]
        only: Option<String>,
        /// Seeds of each rehearsal.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
    },
    /// Prints all verdicts as the table of the docs.
    Table,
}

/// Where copies of the tree and verdicts are kept.
const WORK: &str = "target/mutants";
/// The sources that mutants are made of, and those that judge them.
const TREE: [&str; 7] = [
    "crates/policy/src",
    "crates/dataplane/src",
    "crates/gateway/src",
    "crates/sim/src",
    "crates/test-servers/src",
    "crates/platform/src",
    "crates/small-worlds",
];

fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Run { guards, tuned, list, only, one_in, seeds, jobs } => {
            chosen(guards, tuned, list.as_deref(), only.as_deref(), one_in)
                .and_then(|mutants| run(mutants, &seeds, jobs))
        }
        Command::Rehearse { only, seeds } => {
            chosen(true, false, None, only.as_deref(), 1).and_then(|mutants| rehearse(&mutants, seeds))
        }
        Command::Table => ledger().map(|verdicts| put!("{}", table::table(&verdicts))),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hingestage-mutants: {message}");
            ExitCode::from(2)
        }
    }
}

fn rehearse(mutants: &[Mutant], seeds: u64) -> Result<(), String> {
    let root = std::env::current_dir().map_err(|e| e.to_string())?;
    let work = root.join(WORK);
    fs::create_dir_all(&work).map_err(|e| format!("{WORK}: {e}"))?;
    rehearsals::run(&root, &work, mutants, seeds)
}

fn read(path: &Path) -> Result<String, String> {
    fs::read_to_string(path)
        .map_err(|e| format!("{}: {e}; run it from the root of the repository", path.display()))
}

fn chosen(
    guards: bool,
    tuned: bool,
    list: Option<&Path>,
    only: Option<&str>,
    one_in: u64,
) -> Result<Vec<Mutant>, String> {
    if !guards && !tuned && list.is_none() {
        return Err("nothing to judge: name --guards, --tuned or --list FILE".into());
    }
    let mut mutants = Vec::new();
    if guards {
        mutants.extend(operators::guards(&read(Path::new("crates/mutants/guards.toml"))?)?);
    }
    if tuned {
        let file = "crates/policy/src/rules.rs";
        mutants.extend(operators::tuned(file, &read(Path::new(file))?));
    }
    if let Some(list) = list {
        mutants.extend(operators::listed(&read(list)?)?);
    }
    mutants.retain(|m| only.is_none_or(|part| m.name.contains(part)));
    // By name, so that a sample is the same each time and goes through all files.
    mutants.retain(|m| m.family != Family::Operator || hash(&m.name) % one_in == 0);
    Ok(mutants)
}

fn hash(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// Tells one state of the sources from another.
fn state() -> Result<String, String> {
    let mut files = Vec::new();
    for folder in TREE {
        walk(Path::new(folder), &mut files)?;
    }
    files.sort();
    let mut all = Vec::new();
    for file in files {
        all.push((file.clone(), read(&file)?));
    }
    Ok(format!("{:016x}", hash(&all)))
}

fn walk(folder: &Path, files: &mut Vec<PathBuf>) -> Result<(), String> {
    let Ok(entries) = fs::read_dir(folder) else { return Ok(()) };
    for entry in entries {
        let path = entry.map_err(|e| format!("{}: {e}", folder.display()))?.path();
        match path.is_dir() {
            true => walk(&path, files)?,
            false => files.push(path),
        }
    }
    Ok(())
}

fn ledger_file() -> PathBuf {
    Path::new(WORK).join("verdicts.jsonl")
}

/// All verdicts on this state of the sources. A last line that was cut off is passed over.
fn ledger() -> Result<Vec<Verdict>, String> {
    let tree = state()?;
    let text = fs::read_to_string(ledger_file()).unwrap_or_default();
    let verdicts = text.lines().filter_map(|line| serde_json::from_str::<Verdict>(line).ok());
    Ok(verdicts.filter(|v| v.tree == tree).collect())
}

fn run(mutants: Vec<Mutant>, seeds: &str, jobs: u16) -> Result<(), String> {
    let tree = state()?;
    let judged: HashSet<String> = ledger()?.into_iter().map(|v| v.mutant.name).collect();
    let due: Vec<Mutant> = mutants.into_iter().filter(|m| !judged.contains(&m.name)).collect();
    eprintln!("{} to judge, {} judged before", due.len(), judged.len());
    let root = std::env::current_dir().map_err(|e| e.to_string())?;
    fs::create_dir_all(WORK).map_err(|e| format!("{WORK}: {e}"))?;
    let bench = |n: u16| Bench::new(&root, &root.join(WORK).join(format!("copy-{n}")), seeds);
    let first = bench(0)?;
    eprintln!("the whole code first, for comparison");
    let base = first.base()?;
    eprintln!("{base:?}");
    let mut file = fs::OpenOptions::new().create(true).append(true).open(ledger_file());
    let (all, queue) = (due.len(), Mutex::new(due.into_iter()));
    std::thread::scope(|scope| {
        let (tell, told) = mpsc::channel();
        for n in 0..jobs {
            let (tell, queue, tree, bench) = (tell.clone(), &queue, &tree, &bench);
            scope.spawn(move || {
                let Ok(bench) = bench(n) else { return };
                loop {
                    let next = queue.lock().ok().and_then(|mut queue| queue.next());
                    let Some(mutant) = next else { return };
                    if tell.send(bench.judge(&mutant, &base, tree)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        for (n, verdict) in told.into_iter().enumerate() {
            say(n + 1, all, &verdict);
            let line = serde_json::to_string(&verdict).map_err(|e| e.to_string())?;
            let file = file.as_mut().map_err(|e| format!("{}: {e}", ledger_file().display()))?;
            writeln!(file, "{line}").map_err(|e| format!("{}: {e}", ledger_file().display()))?;
        }
        Ok(())
    })
}

fn say(n: usize, all: usize, v: &Verdict) {
    let mark = if v.found == Found::Survived { "SURVIVED" } else { "" };
    say!("{n}/{all} {:?} {mark} {:.0} s: {}: {}", v.found, v.took, v.mutant.name, v.says);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whoever changes a guarded place must bring its mutant along.
    #[test]
    fn every_guard_is_where_its_mutant_looks() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let guards = operators::guards(&read(&root.join("crates/mutants/guards.toml")).unwrap()).unwrap();
        assert!(guards.len() > 30);
        for guard in guards {
            let mut texts = std::collections::BTreeMap::new();
            for name in &guard.rehearsals {
                let file = root.join(format!("deploy/rehearsals/{name}.lisp"));
                assert!(file.exists(), "{}: there is no rehearsal {name}", guard.name);
            }
            for edit in &guard.edits {
                let path = root.join(&edit.file);
                let text = texts.entry(path.clone()).or_insert_with(|| read(&path).unwrap());
                *text = edit.apply(text).unwrap_or_else(|e| panic!("{}: {e}", guard.name));
            }
        }
    }

    #[test]
    fn service_of_nothing_is_no_worse() {
        assert_eq!(judge::Service::default().worse_than(&judge::Service::default()), None);
    }
}
