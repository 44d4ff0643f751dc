//! The search: breadth first, so that what fails is shown by the fewest steps that lead there.

use std::collections::HashSet;
use std::fmt::{self, Debug, Write};

/// A world small enough to be tried whole. Cloning it forks time.
pub trait SmallWorld: Clone {
    /// Something that may happen next.
    type Step: Clone + Debug;

    /// All that may happen next. Whatever is left out is never tried.
    fn steps(&self) -> Vec<Self::Step>;

    /// Lets a step happen.
    ///
    /// # Errors
    /// The rule that it breaks, and how.
    fn take(&mut self, step: &Self::Step) -> Result<(), String>;

    /// Writes all that the future depends on, and nothing else: states that write the same are one. A history
    /// that is written keeps states apart that are alike; a fact left out merges states that are not.
    fn write(&self, to: &mut dyn Write) -> fmt::Result;
}

/// What a search came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tried {
    /// Different states.
    pub states: usize,
    /// Steps taken, to new states and to known ones.
    pub steps: usize,
    /// The longest path, steps.
    pub depth: usize,
}

/// A path to a broken rule.
#[derive(Clone, Debug)]
pub struct Broken<S> {
    /// The steps that lead there, in order.
    pub path: Vec<S>,
    /// The rule and how it was broken.
    pub what: String,
}

impl<S: Debug> fmt::Display for Broken<S> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{}", self.what)?;
        self.path.iter().enumerate().try_for_each(|(n, step)| writeln!(f, "  {}. {step:?}", n + 1))
    }
}

/// Two FNV hashes side by side, of different starts: 128 bits, so that among a billion states two that differ
/// are not likely to be taken for one.
struct Digest(u64, u64);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            self.1 = (self.1 ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        }
        Ok(())
    }
}

fn digest<W: SmallWorld>(world: &W) -> (u64, u64) {
    let mut digest = Digest(0xcbf2_9ce4_8422_2325, 0x2545_f491_4f6c_dd1d);
    // Writing to a hash does not fail; a world that does is a state of its own.
    let _ = world.write(&mut digest);
    (digest.0, digest.1)
}

/// Tries all paths of up to `depth` steps.
///
/// # Errors
/// The shortest path that breaks a rule.
pub fn search<W: SmallWorld>(start: W, depth: usize) -> Result<Tried, Broken<W::Step>> {
    // Each state knows from where and by which step it was reached first; paths are read off backwards.
    let mut known: HashSet<(u64, u64)> = HashSet::from([digest(&start)]);
    let mut came: Vec<(usize, Option<W::Step>)> = vec![(0, None)];
    let mut front = vec![(0, start)];
    let mut tried = Tried { states: 1, ..Tried::default() };
    while tried.depth < depth && !front.is_empty() {
        let mut next = Vec::new();
        for (from, world) in std::mem::take(&mut front) {
            for step in world.steps() {
                let mut then = world.clone();
                tried.steps += 1;
                if let Err(what) = then.take(&step) {
                    let mut path = path(&came, from);
                    path.push(step);
                    return Err(Broken { path, what });
                }
                if known.insert(digest(&then)) {
                    came.push((from, Some(step)));
                    next.push((came.len() - 1, then));
                }
            }
        }
        tried.states = known.len();
        tried.depth += 1;
        front = next;
    }
    Ok(tried)
}

fn path<S: Clone>(came: &[(usize, Option<S>)], mut at: usize) -> Vec<S> {
    let mut path = Vec::new();
    while let Some((from, Some(step))) = came.get(at) {
        path.push(step.clone());
        at = *from;
    }
    path.reverse();
    path
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two counters that may each go up; the sum may not reach a limit.
    #[derive(Clone)]
    struct Pair(u32, u32, u32);

    impl SmallWorld for Pair {
        type Step = bool;

        fn steps(&self) -> Vec<bool> {
            vec![false, true]
        }

        fn take(&mut self, left: &bool) -> Result<(), String> {
            *(if *left { &mut self.0 } else { &mut self.1 }) += 1;
            match self.0 + self.1 < self.2 {
                true => Ok(()),
                false => Err("too many".into()),
            }
        }

        fn write(&self, to: &mut dyn Write) -> fmt::Result {
            write!(to, "{} {}", self.0, self.1)
        }
    }

    #[test]
    fn each_state_is_tried_once_and_the_shortest_path_is_told() {
        // 1 + 2 + 3 + 4 states of up to 3 steps, 2 steps from each of the first 6.
        let tried = search(Pair(0, 0, 9), 3).unwrap();
        assert_eq!(tried, Tried { states: 10, steps: 12, depth: 3 });
        let broken = search(Pair(0, 0, 4), 9).unwrap_err();
        assert_eq!((broken.path.len(), broken.what.as_str()), (4, "too many"));
    }
}
