//! Makes a failing script short: leaves out all that the failure does not need, and makes plain what is left.
//!
//! A candidate counts as failing where it breaks the same rule. Leaving something out moves all later draws of
//! the seed, and with them who comes first of what happens at the same instant: a few other seeds are tried
//! for each candidate before it is given up, and the script carries the one that fails.

use crate::checker::Violation;
use crate::script::{Act, AskLine, Manner, Script};
use crate::world::{play, Options};

/// Seeds tried for each candidate.
const SEEDS: u64 = 6;
/// Plays at most; a script that is not short by then stays as it is.
const PLAYS_MAX: usize = 20_000;

/// What came of shrinking.
pub struct Shrunk {
    /// The short script.
    pub script: Script,
    /// The rule that it breaks.
    pub broken: Violation,
    /// Scripts played on the way.
    pub plays: usize,
}

struct Shrinker<'a> {
    rule: &'static str,
    options: Options,
    best: Script,
    broken: Violation,
    plays: usize,
    progress: &'a mut dyn FnMut(usize, usize),
}

/// Shortens a script that breaks a rule; none where it breaks none. `progress` hears how many scripts were
/// played and how many lines are left.
pub fn shrink(script: &Script, options: Options, progress: &mut dyn FnMut(usize, usize)) -> Option<Shrunk> {
    let options = Options { trace: false, ..options };
    let broken = play(script, options).broken?;
    let rule = broken.rule;
    let mut shrinker = Shrinker { rule, options, best: script.clone(), broken, plays: 1, progress };
    loop {
        let before = shrinker.best.to_string();
        shrinker.drop_acts();
        shrinker.drop_workers();
        shrinker.fewer_gateways();
        shrinker.plainer();
        if shrinker.best.to_string() == before || shrinker.plays >= PLAYS_MAX {
            break;
        }
    }
    let Shrinker { best, broken, plays, .. } = shrinker;
    Some(Shrunk { script: best, broken, plays })
}

impl Shrinker<'_> {
    /// Keeps a candidate if it fails in the same way.
    fn keeps(&mut self, candidate: Script) -> bool {
        for n in 0..SEEDS {
            if self.plays >= PLAYS_MAX {
                return false;
            }
            self.plays += 1;
            let seed = candidate.seed.wrapping_add(n * 1_000_003);
            let tried = Script { seed, ..candidate.clone() };
            if let Some(broken) = play(&tried, self.options).broken.filter(|b| b.rule == self.rule) {
                (self.best, self.broken) = (tried, broken);
                (self.progress)(self.plays, self.best.lines());
                return true;
            }
        }
        false
    }

    /// Leaves out runs of lines, long ones first.
    fn drop_acts(&mut self) {
        let mut size = self.best.acts.len().div_ceil(2);
        while size > 0 {
            let mut at = 0;
            while at < self.best.acts.len() {
                let mut candidate = self.best.clone();
                let end = (at + size).min(candidate.acts.len());
                candidate.acts.drain(at..end);
                if !self.keeps(candidate) {
                    at += size;
                }
            }
            size = if size == 1 { 0 } else { size.div_ceil(2) };
        }
    }

    fn drop_workers(&mut self) {
        let mut at = 0;
        while at < self.best.workers.len() && self.best.workers.len() > 1 {
            let mut candidate = self.best.clone();
            candidate.workers.remove(at);
            if !self.keeps(candidate) {
                at += 1;
            }
        }
    }

    fn fewer_gateways(&mut self) {
        while self.best.gateways > 1 {
            let candidate = Script { gateways: self.best.gateways - 1, ..self.best.clone() };
            if !self.keeps(candidate) {
                break;
            }
        }
    }

    /// Takes the plainest value for whatever may have it.
    fn plainer(&mut self) {
        self.change(|script| script.runs_on = false);
        for i in 0..self.best.workers.len() {
            self.change(|script| script.workers[i].cold = false);
            self.change(|script| script.workers[i].speed = 1.0);
            self.change(|script| script.workers[i].queue = 8);
        }
        let changes: [fn(&mut AskLine); 9] = [
            |ask| ask.manner = Manner::Usual,
            |ask| ask.gateway = 0,
            |ask| ask.body = 0,
            |ask| ask.units = 1,
            |ask| ask.push = false,
            |ask| ask.account = 1,
            |ask| ask.plan = 1,
            |ask| ask.work = 50,
            |ask| ask.patience = 1_500,
        ];
        for i in 0..self.best.acts.len() {
            for change in changes {
                self.change(|script| {
                    if let Act::Ask(ask) = &mut script.acts[i].1 {
                        change(ask);
                    }
                });
            }
            for step in [100_000, 10_000, 1_000] {
                self.change(|script| {
                    script.acts[i].0 -= script.acts[i].0 % step;
                    script.acts.sort_by_key(|(at, _)| *at);
                });
            }
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut Script)) {
        let mut candidate = self.best.clone();
        change(&mut candidate);
        if candidate != self.best {
            self.keeps(candidate);
        }
    }
}
