//! Rehearsals as tests play them: few at once, and again where the machine was too busy to tell anything.
#![allow(dead_code)]

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Condvar, Mutex, PoisonError};

/// A run on a machine too busy to tell anything is played again, so often.
const VOID_RUNS: usize = 4;

/// Rehearsals that are played at once: one keeps two fifths of a core busy. Two leave room on two cores, and four leave
/// half of eight to whatever is done beside.
fn at_once() -> usize {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    (cores / 2).clamp(2, 6)
}

static PLAYED: Mutex<usize> = Mutex::new(0);
static OVER: Condvar = Condvar::new();

/// A rehearsal's turn, until it is dropped.
pub struct Turn;

/// Waits for room for one more rehearsal: each has a fleet.
pub fn turn() -> Turn {
    let played = PLAYED.lock().unwrap_or_else(PoisonError::into_inner);
    let full = |played: &mut usize| *played >= at_once();
    *OVER.wait_while(played, full).unwrap_or_else(PoisonError::into_inner) += 1;
    Turn
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYED.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        OVER.notify_one();
    }
}

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_hingestage"))
}

/// A file of this test's own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

pub fn shipped(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/rehearsals").join(name)
}

/// Plays a file until a run tells something.
pub fn play(file: &PathBuf, more: &[&str]) -> Output {
    let _turn = turn();
    for _ in 0..VOID_RUNS {
        let output = program().arg("rehearse").arg(file).args(more).output().unwrap();
        if output.status.code() != Some(3) {
            return output;
        }
    }
    panic!("this machine is too busy for a rehearsal");
}

pub fn holds(file: &PathBuf, more: &[&str]) -> String {
    let output = play(file, more);
    let said = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (said(&output.stdout), said(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "{out}\n{err}");
    out
}
