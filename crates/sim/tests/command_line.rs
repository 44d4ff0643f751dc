//! The simulator's command line: a range of seeds, a script, and messages for what can't be played.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hingestage-sim")).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn digest(args: &[&str]) -> String {
    let out = run(args);
    let text = text(&out.stdout);
    assert!(out.status.success(), "{text}");
    text.lines().find(|line| line.starts_with("digest")).unwrap().to_owned()
}

#[test]
fn a_range_of_seeds_is_the_same_with_any_number_of_threads() {
    let one = digest(&["run", "--seeds", "0..24", "--jobs", "1"]);
    assert_eq!(one, digest(&["run", "--seeds", "0..24", "--jobs", "1"]));
    assert_eq!(one, digest(&["run", "--seeds", "0..24", "--jobs", "4"]));
    assert_ne!(one, digest(&["run", "--seeds", "1..25", "--jobs", "4"]));
}

#[test]
fn the_last_line_counts() {
    let out = run(&["run", "--seeds", "3..6"]);
    assert_eq!(text(&out.stdout).lines().last(), Some("3 passed, 0 failed"));
    assert!(text(&out.stdout).contains("| worker silent"));
}

#[test]
fn a_trace_holds_a_script_that_replays_alone() {
    let out = text(&run(&["run", "--seed", "5", "--trace"]).stdout);
    let script: Vec<&str> = out.lines().take_while(|line| !line.is_empty()).collect();
    let file = std::env::temp_dir().join(format!("hingestage-sim-{}.script", std::process::id()));
    std::fs::write(&file, script.join("\n")).unwrap();
    let replayed = text(&run(&["replay", file.to_str().unwrap()]).stdout);
    std::fs::remove_file(&file).unwrap();
    let digest = |text: &str| text.lines().find(|line| line.starts_with("digest")).map(str::to_owned);
    assert_eq!(digest(&replayed), digest(&out));
    assert!(digest(&out).is_some());
}

#[test]
fn what_cannot_be_played_is_named_and_ends_with_2() {
    let bad = std::env::temp_dir().join(format!("hingestage-sim-bad-{}.script", std::process::id()));
    std::fs::write(&bad, "hingestage-sim 1\nat 5 fault worker 0 dancing\n").unwrap();
    let bad = bad.to_str().unwrap();
    for (args, says) in [
        (vec!["run", "--seeds", "5..5"], "holds no seed"),
        (vec!["run", "--seeds", "all"], "no range of seeds"),
        (vec!["run"], "--seeds"),
        (vec!["run", "--seeds", "0..9", "--jobs", "0"], "--jobs"),
        (vec!["replay", "/nowhere/at/all"], "/nowhere/at/all"),
        (vec!["replay", bad], "line 2: `dancing` is no way of a worker"),
        (vec!["shrink", "--seed", "1", "-o", "/tmp/never"], "breaks no rule"),
    ] {
        let out = run(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(text(&out.stderr).contains(says), "{args:?}: {}", text(&out.stderr));
    }
    std::fs::remove_file(bad).unwrap();
}
