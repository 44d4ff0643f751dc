//! Mutants before rehearsals: a program with a defect plays a fleet of real processes, and the rehearsal says whether
//! that shows. What lasts for a moment only is for small worlds; this tells which defects show between processes.

use crate::judge::Bench;
use crate::mutant::Mutant;
use hingestage_print::say;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A machine too busy to tell anything is given so many more runs.
const VOID_RUNS: usize = 3;

/// How a rehearsal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Ended {
    Holds,
    Broken(String),
    Void,
}

/// What was made of a mutant.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// A rehearsal of this name and seed found it, and said so.
    Found(String, u64, String),
    /// All held that were no void runs: so many.
    Survived(usize),
}

/// Has each mutant that names rehearsals play them, so many seeds of each, after the whole program has.
///
/// # Errors
/// Something does not build, or a rehearsal does not hold with the whole program.
pub fn run(root: &Path, work: &Path, mutants: &[Mutant], seeds: u64) -> Result<(), String> {
    let bench = Bench::new(root, &work.join("copy-rehearsals"), "0..1")?;
    let whole = program(&bench, work, "whole")?;
    let mut names: Vec<&String> = mutants.iter().flat_map(|mutant| &mutant.rehearsals).collect();
    names.sort();
    names.dedup();
    for name in names {
        match judge(root, &whole, &whole, std::slice::from_ref(name), seeds) {
            Verdict::Found(name, seed, what) => {
                return Err(format!("{name}, seed {seed}, whole program: {what}"))
            }
            Verdict::Survived(runs) => say!("{name}: holds with the whole program, {runs} runs"),
        }
    }
    for mutant in mutants.iter().filter(|mutant| !mutant.rehearsals.is_empty()) {
        let judged = bench.with(mutant, || {
            let broken = program(&bench, work, "broken")?;
            Ok(judge(root, &whole, &broken, &mutant.rehearsals, seeds))
        });
        match judged {
            Ok(Verdict::Found(name, seed, what)) => {
                say!("found: {}\n  by {name}, seed {seed}: {what}", mutant.name);
            }
            Ok(Verdict::Survived(runs)) => say!("NOT FOUND by {runs} runs: {}", mutant.name),
            Err(what) => say!("no mutant: {}: {what}", mutant.name),
        }
    }
    Ok(())
}

/// Builds the program as the copy of the tree is now, and keeps it under a name.
fn program(bench: &Bench, work: &Path, name: &str) -> Result<PathBuf, String> {
    let built = bench.build_program()?;
    let kept = work.join(format!("hingestage-{name}"));
    // Written elsewhere and renamed: a process may still run what was there.
    let new = work.join(format!("hingestage-{name}.new"));
    fs::copy(&built, &new).map_err(|e| format!("{}: {e}", built.display()))?;
    fs::rename(&new, &kept).map_err(|e| format!("{}: {e}", kept.display()))?;
    Ok(kept)
}

fn judge(root: &Path, harness: &Path, program: &Path, names: &[String], seeds: u64) -> Verdict {
    let mut held = 0;
    for seed in 1..=seeds {
        for name in names {
            let mut tries = (0..=VOID_RUNS).map(|_| play(root, harness, program, name, seed));
            match tries.find(|ended| *ended != Ended::Void) {
                Some(Ended::Broken(what)) => return Verdict::Found(name.clone(), seed, what),
                Some(_) => held += 1,
                None => {}
            }
        }
    }
    Verdict::Survived(held)
}

fn play(root: &Path, harness: &Path, program: &Path, name: &str, seed: u64) -> Ended {
    let file = root.join("deploy/rehearsals").join(format!("{name}.lisp"));
    let played = Command::new(harness)
        .arg("rehearse")
        .arg(file)
        .args(["--seed", &seed.to_string(), "--program"])
        .arg(program)
        .output();
    match played {
        Ok(output) => ended(output.status.code(), &String::from_utf8_lossy(&output.stdout)),
        Err(e) => Ended::Broken(e.to_string()),
    }
}

/// What a rehearsal's exit code says, and the first line that tells what is wrong.
fn ended(code: Option<i32>, said: &str) -> Ended {
    match code {
        Some(0) => Ended::Holds,
        Some(3) => Ended::Void,
        _ => {
            let tells = |line: &&str| line.contains("broken:") || line.contains("DOES NOT HOLD");
            let line = said.lines().find(tells).or(said.lines().last()).unwrap_or_default();
            Ended::Broken(line.trim().to_owned())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rehearsal_tells_by_its_code_and_first_bad_line() {
        let said = "x, seed 1: a sum does not hold\n  holds: a: 1\n  DOES NOT HOLD: b: 0.2\n";
        assert_eq!(ended(Some(0), said), Ended::Holds);
        assert_eq!(ended(Some(3), said), Ended::Void);
        assert_eq!(ended(Some(1), said), Ended::Broken("DOES NOT HOLD: b: 0.2".into()));
        let broken = "x, seed 1: broken: ceilings at 3 s\n";
        assert_eq!(ended(Some(1), broken), Ended::Broken(broken.trim().into()));
        assert_eq!(ended(None, ""), Ended::Broken(String::new()));
    }
}
