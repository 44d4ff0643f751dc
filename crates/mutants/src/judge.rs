//! Builds a mutant in a copy of the tree, and has seeds, small worlds and tests judge it.

use crate::mutant::Mutant;
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Instant;

/// What came of a mutant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The mutant.
    pub mutant: Mutant,
    /// Of which state of the sources.
    pub tree: String,
    /// What noticed it.
    pub found: Found,
    /// What it said.
    pub says: String,
    /// Seconds that it took.
    pub took: f64,
}

/// What noticed a mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Found {
    /// A seed that broke a rule.
    Seeds,
    /// The small worlds.
    SmallWorlds,
    /// The sums of service over the seeds.
    Service,
    /// The property tests on bytes.
    Bytes,
    /// A test.
    Tests,
    /// It never came to an end.
    Hangs,
    /// It does not build: no mutant.
    Unbuildable,
    /// Its place is not there: no mutant of this state of the sources.
    Misplaced,
    /// Nothing.
    Survived,
}

/// What seeds are worth, as `hingestage-sim` prints it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Part of what was asked inside quotas that was not served.
    pub unserved: f64,
    /// Part of what was asked inside quotas that failed.
    pub failed: f64,
    /// Part of the units sent on that went beyond quotas.
    pub beyond: f64,
}

/// How much worse than the whole code a mutant's service may be without being noticed, as parts of what was
/// asked, asked, and sent: three times what other draws of ties make of the same seeds.
pub const BOUND: Service = Service { unserved: 0.006, failed: 0.003, beyond: 0.006 };

impl Service {
    /// Reads the line that begins with `service:`.
    pub fn read(text: &str) -> Option<Service> {
        let line = text.lines().find_map(|line| line.strip_prefix("service: "))?;
        let numbers: Vec<f64> = line.split(' ').filter_map(|word| word.parse().ok()).collect();
        let [asked, served, failed, sent, beyond] = numbers[..] else { return None };
        let part = |n: f64, of: f64| n / of.max(1.0);
        Some(Service {
            unserved: 1.0 - part(served, asked),
            failed: part(failed, asked),
            beyond: part(beyond, sent),
        })
    }

    /// What of it is worse than `base` by more than [`BOUND`].
    pub fn worse_than(&self, base: &Service) -> Option<String> {
        let parts = [
            ("unserved", self.unserved - base.unserved, BOUND.unserved),
            ("failed", self.failed - base.failed, BOUND.failed),
            ("beyond quotas", self.beyond - base.beyond, BOUND.beyond),
        ];
        let (what, by, _) = parts.into_iter().find(|(_, by, bound)| by > bound)?;
        Some(format!("{what}: {:+.1} of 100", by * 100.0))
    }
}

/// A copy of the tree in which mutants are built, one after another.
pub struct Bench {
    root: PathBuf,
    copy: PathBuf,
    seeds: String,
}

/// Seconds that a build, the seeds, and the tests may take.
const LIMITS: [u32; 3] = [600, 300, 300];

impl Bench {
    /// Copies what git knows of the tree to `copy`.
    ///
    /// # Errors
    /// Something can't be read or written.
    pub fn new(root: &Path, copy: &Path, seeds: &str) -> Result<Bench, String> {
        for file in tracked(root)? {
            let (from, to) = (root.join(&file), copy.join(&file));
            let Ok(text) = fs::read(&from) else { continue };
            // What has not changed stays as it is, so that cargo builds it but once.
            if fs::read(&to).is_ok_and(|there| there == text) {
                continue;
            }
            let folder = to.parent().unwrap_or(copy);
            fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            fs::write(&to, text).map_err(|e| format!("{}: {e}", to.display()))?;
        }
        Ok(Bench { root: root.into(), copy: copy.into(), seeds: seeds.into() })
    }

    /// What the whole code's seeds are worth.
    ///
    /// # Errors
    /// It does not build, or a seed fails without any mutant.
    pub fn base(&self) -> Result<Service, String> {
        let built = self.cargo(0, &["build", "--profile", "seeds", "-p", "hingestage-sim"]);
        if !built.status.success() {
            return Err(format!("the tree does not build: {}", last(&built.stderr)));
        }
        let played = self.sim(&["run", "--seeds", &self.seeds, "--jobs", "1"]);
        match played.status.success() {
            true => Service::read(&text(&played.stdout)).ok_or_else(|| "the seeds tell no service".into()),
            false => Err(format!("seeds fail without any mutant: {}", broken(&played))),
        }
    }

    /// Judges one mutant; the copy is whole again afterwards.
    pub fn judge(&self, mutant: &Mutant, base: &Service, tree: &str) -> Verdict {
        let began = Instant::now();
        let judged = self.with(mutant, || Ok(self.notice(base)));
        let (found, says) = judged.unwrap_or_else(|message| (Found::Misplaced, message));
        let took = began.elapsed().as_secs_f64();
        Verdict { mutant: mutant.clone(), tree: tree.into(), found, says, took }
    }

    /// Does something with a mutant in the copy, which is whole again afterwards.
    ///
    /// # Errors
    /// The mutant can't be made, or what is done with it says so.
    pub fn with<T>(&self, mutant: &Mutant, act: impl FnOnce() -> Result<T, String>) -> Result<T, String> {
        let done = self.change(mutant).and_then(|()| act());
        for edit in &mutant.edits {
            if let Ok(text) = fs::read(self.root.join(&edit.file)) {
                // Where it can't be written the next build says so.
                let _ = fs::write(self.copy.join(&edit.file), text);
            }
        }
        done
    }

    /// Builds the program as the copy is now.
    ///
    /// # Errors
    /// It does not build.
    pub fn build_program(&self) -> Result<PathBuf, String> {
        let built =
            self.cargo(0, &["build", "--profile", "seeds", "-p", "hingestage", "--bin", "hingestage"]);
        match built.status.success() {
            true => Ok(self.copy.join("target/seeds/hingestage")),
            false => Err(format!("it does not build: {}", last(&built.stderr))),
        }
    }

    fn change(&self, mutant: &Mutant) -> Result<(), String> {
        for edit in &mutant.edits {
            let path = self.copy.join(&edit.file);
            let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", edit.file))?;
            fs::write(&path, edit.apply(&text)?).map_err(|e| format!("{}: {e}", edit.file))?;
        }
        Ok(())
    }

    fn notice(&self, base: &Service) -> (Found, String) {
        let built = self.cargo(0, &["build", "--profile", "seeds", "-p", "hingestage-sim"]);
        if !built.status.success() {
            return (Found::Unbuildable, last(&built.stderr));
        }
        let played = self.sim(&["run", "--seeds", &self.seeds, "--jobs", "1", "--until-broken"]);
        if hung(&played) {
            return (Found::Hangs, "the seeds do not end".into());
        }
        if !played.status.success() {
            return (Found::Seeds, broken(&played));
        }
        let worth = Service::read(&text(&played.stdout)).unwrap_or_default();
        if let Some(worse) = worth.worse_than(base) {
            return (Found::Service, worse);
        }
        for (found, packages) in [
            (Found::SmallWorlds, &["-p", "hingestage-small-worlds"][..]),
            (Found::SmallWorlds, &["-p", "hingestage-membership"][..]),
            (Found::Tests, &["-p", "hingestage-srv", "-p", "hingestage-operator"][..]),
            (Found::Tests, &["-p", "hingestage-failover", "-p", "hingestage-sites"][..]),
            (Found::Bytes, &["-p", "hingestage-sim", "--test", "bytes"][..]),
            (Found::Tests, &["-p", "hingestage-sim", "--test", "hard_cases", "--test", "scripts"][..]),
            (Found::Tests, &["-p", "hingestage-policy", "-p", "hingestage-dataplane"][..]),
            (Found::Tests, &["-p", "hingestage-gateway", "-p", "hingestage"][..]),
        ] {
            let mut words = vec!["test", "--profile", "seeds", "-q"];
            words.extend(packages);
            let tested = self.cargo(2, &words);
            if hung(&tested) {
                return (Found::Hangs, "the tests do not end".into());
            }
            if !tested.status.success() {
                return (found, failed_test(&tested));
            }
        }
        (Found::Survived, String::new())
    }

    fn cargo(&self, limit: usize, words: &[&str]) -> Output {
        let mut all = vec!["cargo"];
        all.extend(words);
        all.push("--offline");
        self.run(limit, &all)
    }

    fn sim(&self, words: &[&str]) -> Output {
        let binary = self.copy.join("target/seeds/hingestage-sim");
        let binary = binary.to_string_lossy().into_owned();
        let mut all = vec![binary.as_str()];
        all.extend(words);
        self.run(1, &all)
    }

    /// Runs a command under coreutils' `timeout`, which ends all that the command has started.
    fn run(&self, limit: usize, words: &[&str]) -> Output {
        let ran = Command::new("timeout")
            .args(["-k", "5", &LIMITS[limit].to_string()])
            .args(words)
            .current_dir(&self.copy)
            .env("CARGO_TARGET_DIR", self.copy.join("target"))
            .output();
        ran.unwrap_or_else(|e| Output {
            status: Default::default(),
            stdout: Vec::new(),
            stderr: format!("{words:?}: {e}").into_bytes(),
        })
    }
}

/// Files that git knows, and new ones that it does not ignore.
fn tracked(root: &Path) -> Result<Vec<String>, String> {
    let words = ["ls-files", "--cached", "--others", "--exclude-standard"];
    let listed = Command::new("git").args(words).current_dir(root).output();
    let listed = listed.map_err(|e| format!("git: {e}"))?;
    let files = text(&listed.stdout).lines().map(str::to_owned).collect();
    Ok(files)
}

fn hung(output: &Output) -> bool {
    output.status.code() == Some(124) || output.status.code() == Some(137)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn last(bytes: &[u8]) -> String {
    let all = text(bytes);
    let error = all.lines().find(|line| line.starts_with("error"));
    error.or(all.lines().last()).unwrap_or_default().to_owned()
}

/// The first seed that broke a rule, and which.
fn broken(output: &Output) -> String {
    let all = text(&output.stdout);
    let line = all.lines().find(|line| line.starts_with("seed "));
    line.map_or_else(|| last(&output.stderr), |line| line.chars().take(120).collect())
}

/// The name of a test that failed.
fn failed_test(output: &Output) -> String {
    let all = text(&output.stdout);
    let name = all.lines().find_map(|line| line.strip_suffix(" --- FAILED"));
    name.map_or_else(|| last(&output.stderr), |name| format!("`{name}`"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn service_is_read_and_compared() {
        let line = "x\nservice: inside quotas 1000 asked, 900 served; 20 failed; 500 units sent on, 10 beyond quotas\n";
        let read = Service::read(line).unwrap();
        assert!((read.unserved - 0.1).abs() < 1e-9 && (read.failed - 0.02).abs() < 1e-9);
        assert_eq!(read.worse_than(&read), None);
        let worse = Service { beyond: read.beyond + 0.01, ..read };
        assert_eq!(worse.worse_than(&read), Some("beyond quotas: +1.0 of 100".into()));
        assert_eq!(read.worse_than(&worse), None);
    }
}
