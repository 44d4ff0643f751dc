//! The shortest script that still fails: faults are left out as long as the rest breaks the same rule.

use crate::script::{Script, Timed};

/// Most runs that are spent on it.
pub const RUNS_MAX: usize = 40;

/// What to try next, and what is known: a value without I/O that is told what came of each try.
pub struct Shrink {
    script: Script,
    /// How many faults are left out at once, and from where.
    size: usize,
    from: usize,
    runs: usize,
}

impl Shrink {
    /// Begins with a script that fails.
    pub fn new(script: Script) -> Shrink {
        let size = script.faults.len().div_ceil(2);
        Shrink { script, size, from: 0, runs: 0 }
    }

    /// The shortest so far.
    pub fn best(&self) -> &Script {
        &self.script
    }

    /// The next one to try; none when nothing is left to leave out.
    pub fn next_try(&mut self) -> Option<Script> {
        loop {
            if self.size == 0 || self.runs >= RUNS_MAX || self.script.faults.is_empty() {
                return None;
            }
            if self.from < self.script.faults.len() {
                self.runs += 1;
                return Some(Script { faults: self.without(), ..self.script.clone() });
            }
            self.from = 0;
            self.size = if self.size == 1 { 0 } else { self.size.div_ceil(2) };
        }
    }

    fn without(&self) -> Vec<Timed> {
        let left_out = self.from..self.from + self.size;
        let faults = self.script.faults.iter().enumerate();
        faults.filter(|(n, _)| !left_out.contains(n)).map(|(_, timed)| timed.clone()).collect()
    }

    /// What came of the last try.
    pub fn came(&mut self, fails: bool) {
        match fails {
            true => self.script.faults = self.without(),
            false => self.from += self.size,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::read;

    /// Shrinks a script of `n` faults that fails while it has all of `needed`.
    fn shrunk(n: usize, needed: &[usize]) -> (Vec<usize>, usize) {
        let faults: String = (0..n).map(|n| format!("(at {n} (kill (gateways 0)))")).collect();
        let text = format!("(rehearsal (name x) (seconds 900) (fleet (gateways 1)) (accounts) {faults})");
        let mut shrink = Shrink::new(read(&text).unwrap());
        let ats = |script: &Script| -> Vec<usize> {
            script.faults.iter().map(|t| t.at.as_secs() as usize).collect()
        };
        let mut tries = 0;
        while let Some(script) = shrink.next_try() {
            tries += 1;
            let has = ats(&script);
            shrink.came(needed.iter().all(|n| has.contains(n)));
        }
        (ats(shrink.best()), tries)
    }

    #[test]
    fn what_is_not_needed_is_left_out() {
        assert_eq!(shrunk(16, &[11]).0, [11]);
        assert_eq!(shrunk(9, &[0, 8]).0, [0, 8]);
        assert_eq!(shrunk(5, &[0, 1, 2, 3, 4]).0, [0, 1, 2, 3, 4]);
        assert_eq!(shrunk(3, &[]).0, Vec::<usize>::new());
    }

    #[test]
    fn it_ends_after_a_bounded_number_of_runs() {
        let all: Vec<usize> = (0..200).collect();
        assert_eq!(shrunk(200, &all).1, RUNS_MAX);
    }
}
