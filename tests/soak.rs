//! Soak of shutdowns with real processes, a few seeds of it: `hingestage soak`.

use std::process::Command;

#[test]
fn nothing_that_a_process_has_taken_is_lost_when_processes_end_in_series() {
    let soak = ["soak", "--seeds", "12", "--at-once", "3", "--seconds", "10"];
    let run = Command::new(env!("CARGO_BIN_EXE_hingestage")).args(soak).output().unwrap();
    let output = String::from_utf8(run.stdout).unwrap();
    let errors = String::from_utf8(run.stderr).unwrap();
    assert!(run.status.success(), "{output}{errors}");
    println!("{output}");
}
