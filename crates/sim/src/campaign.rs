//! Many seeds: played on several threads, counted in the order of the seeds.

use crate::checker::{Violation, PHASES};
use crate::script::kinds;
use crate::service::Service;
use crate::world::{play, Options};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

/// What came of many seeds.
#[derive(Clone, Debug, Default)]
pub struct Campaign {
    /// Seeds on which no rule was broken.
    pub passed: u64,
    /// The others, in order, and what was broken.
    pub failed: Vec<(u64, Violation)>,
    /// A hash of all runs in the order of their seeds.
    pub digest: u64,
    /// Events of all worlds.
    pub steps: u64,
    /// How often a kind of fault struck while a request was in a phase, in runs.
    pub reached: BTreeMap<(String, usize), u64>,
    /// Answers to usual clients, by status.
    pub answers: BTreeMap<u16, usize>,
    /// What all of it was worth.
    pub service: Service,
    /// Runs of each family.
    pub families: BTreeMap<&'static str, u64>,
}

/// Plays all seeds on so many threads; `progress` hears of each seed that is done. The result is the same
/// for any number of threads.
///
/// With `until` no seed is begun after that, with `until_broken` none after one has broken a rule; those begun
/// by then are played to their end.
pub fn run(
    seeds: Range<u64>,
    until: Option<Instant>,
    until_broken: bool,
    jobs: usize,
    options: Options,
    mut progress: impl FnMut(u64),
) -> Campaign {
    let (next, enough) = (AtomicU64::new(seeds.start), AtomicBool::new(false));
    let mut digests = BTreeMap::new();
    let mut campaign = Campaign::default();
    std::thread::scope(|scope| {
        let (tell, told) = mpsc::sync_channel(1_024);
        for _ in 0..jobs.max(1) {
            let (tell, next, enough, end) = (tell.clone(), &next, &enough, seeds.end);
            scope.spawn(move || loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                let over = until.is_some_and(|until| Instant::now() >= until);
                if seed >= end || over || enough.load(Ordering::Relaxed) {
                    return;
                }
                let script = (options.scenario)(seed);
                let report = play(&script, options);
                if until_broken && report.broken.is_some() {
                    enough.store(true, Ordering::Relaxed);
                }
                if tell.send((seed, script.site.family, report)).is_err() {
                    return;
                }
            });
        }
        drop(tell);
        for (done, (seed, family, report)) in told.into_iter().enumerate() {
            digests.insert(seed, report.digest);
            campaign.steps += report.steps;
            campaign.service += &report.service;
            *campaign.families.entry(family).or_default() += 1;
            report.reached.into_iter().for_each(|cell| *campaign.reached.entry(cell).or_default() += 1);
            report.answers.iter().for_each(|(s, n)| *campaign.answers.entry(*s).or_default() += n);
            match report.broken {
                Some(broken) => campaign.failed.push((seed, broken)),
                None => campaign.passed += 1,
            }
            progress(done as u64 + 1);
        }
    });
    campaign.failed.sort_by_key(|(seed, _)| *seed);
    let mix = |hash: u64, digest: &u64| (hash.rotate_left(5) ^ digest).wrapping_mul(0x0100_0000_01b3);
    campaign.digest = digests.values().fold(0xcbf2_9ce4_8422_2325, mix);
    campaign
}

impl Campaign {
    /// Faults and phases that no run has reached.
    pub fn unreached(&self) -> Vec<String> {
        let cells = kinds().into_iter().flat_map(|kind| (0..PHASES.len()).map(move |p| (kind.clone(), p)));
        let missing = cells.filter(|cell| !self.reached.contains_key(cell));
        missing.map(|(kind, phase)| format!("{kind} while {}", PHASES[phase])).collect()
    }
}

impl fmt::Display for Campaign {
    /// The table of faults and phases: in how many runs each fault struck while a request was in each phase.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "| {:22} |", "fault struck while")?;
        PHASES.iter().try_for_each(|phase| write!(f, " {phase:>9} |"))?;
        write!(f, "\n| {} |", "-".repeat(22))?;
        PHASES.iter().try_for_each(|_| write!(f, " {}: |", "-".repeat(8)))?;
        for kind in kinds() {
            write!(f, "\n| {kind:22} |")?;
            for phase in 0..PHASES.len() {
                let n = self.reached.get(&(kind.clone(), phase)).copied().unwrap_or(0);
                write!(f, " {n:>9} |")?;
            }
        }
        Ok(())
    }
}
