//! Makes a failing script short: leaves out all that the failure does not need, and makes plain what is left.
//!
//! A candidate counts as failing where it breaks the same rule. Leaving something out moves all later draws of
//! the seed, and with them who comes first of what happens at the same instant: a few other seeds are tried
//! for each candidate before it is given up, and the script carries the one that fails.

use crate::checker::Violation;
use crate::script::{Act, AskLine, Class, Manner, Micros, Script, Site};
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
        shrinker.merge();
        shrinker.fewer_times();
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
        let usual = Site::default();
        let site: [fn(&mut Site, &Site); 7] = [
            |site, usual| *site = usual.clone(),
            |site, usual| site.spread = usual.spread,
            |site, usual| site.connect_timeout = usual.connect_timeout,
            |site, usual| site.sockets = usual.sockets,
            |site, usual| site.lag = usual.lag,
            |site, usual| site.latency = usual.latency,
            |site, usual| site.clocks = usual.clocks.clone(),
        ];
        for change in site {
            self.change(|script| change(&mut script.site, &usual));
        }
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
            |ask| ask.class = Class::Pull,
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

    /// Tells what runs of lines ask through one gateway by one line each, long runs first.
    fn merge(&mut self) {
        for gateway in 0..self.best.gateways {
            let mut size = self.asks(gateway).len();
            while size > 1 {
                let mut at = 0;
                while at + size <= self.asks(gateway).len() {
                    if !self.merge_run(gateway, at, size) {
                        at += size.div_ceil(2);
                    }
                }
                size = size.min(self.asks(gateway).len()).div_ceil(2).min(size - 1);
            }
        }
    }

    /// Lines that ask through a gateway: their places among the acts.
    fn asks(&self, gateway: usize) -> Vec<usize> {
        let through = |act: &Act| matches!(act, Act::Ask(ask) if ask.gateway == gateway);
        let acts = self.best.acts.iter().enumerate();
        acts.filter(|(_, (_, act))| through(act)).map(|(place, _)| place).collect()
    }

    fn merge_run(&mut self, gateway: usize, at: usize, size: usize) -> bool {
        let places = self.asks(gateway)[at..at + size].to_vec();
        let asks: Vec<(Micros, AskLine)> = places
            .iter()
            .filter_map(|place| match &self.best.acts[*place] {
                (at, Act::Ask(ask)) => Some((*at, ask.clone())),
                _ => None,
            })
            .collect();
        let [(from, first), .., (to, last)] = &asks[..] else { return false };
        let count: u64 = asks.iter().map(|(_, ask)| ask.times.0).sum();
        let spans = [(to - from) / count, 1_000, 10_000];
        let mut ways = spans.into_iter().flat_map(|every| [(every, first), (every, last)]);
        ways.any(|(every, like)| {
            let mut candidate = self.best.clone();
            for place in places.iter().rev() {
                candidate.acts.remove(*place);
            }
            let one = AskLine { times: (count, every), ..like.clone() };
            candidate.acts.push((*from, Act::Ask(one)));
            candidate.acts.sort_by_key(|(at, _)| *at);
            self.keeps(candidate)
        })
    }

    /// Lets lines ask less often.
    fn fewer_times(&mut self) {
        for i in 0..self.best.acts.len() {
            for part in [2, 4, 8] {
                self.change(|script| {
                    if let Act::Ask(ask) = &mut script.acts[i].1 {
                        ask.times.0 -= ask.times.0 / part;
                    }
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
