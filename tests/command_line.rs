//! The command line: the laboratory serves, and what can't be run says so.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hingestage")).args(args).env_remove("RELAY_CONFIG").output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Runs the laboratory; gives what it showed, and how many requests it served by then.
fn laboratory(args: &[&str]) -> (String, u64) {
    let out = run(&[&["lab", "--calm"], args].concat());
    let shown = text(&out.stdout);
    assert!(out.status.success(), "{shown}{}", text(&out.stderr));
    let last = shown.lines().rfind(|line| line.contains("served (200)")).unwrap();
    let served = last.split_whitespace().nth(2).unwrap().parse().unwrap();
    (shown, served)
}

#[test]
fn the_laboratory_serves_and_shows_a_request_to_send_by_hand() {
    let (shown, served) = laboratory(&["--seconds", "3"]);
    assert!(shown.contains("curl -i 'http://127.0.0.1:"), "{shown}");
    assert!(served > 20, "{shown}");
    assert!(shown.contains("w9"), "{shown}");
}

#[test]
fn the_laboratory_serves_workers_from_records_too() {
    let (shown, served) = laboratory(&["--seconds", "2", "--srv"]);
    assert!(shown.contains("hingestage srv _registry._tcp.sala.example.org --server 127.0.0.1:"), "{shown}");
    assert!(served > 20, "{shown}");
}

#[test]
fn bad_arguments_are_named_and_end_with_2() {
    for (args, says) in [
        (vec!["lab", "--seconds", "0"], "--seconds"),
        (vec!["lab", "--listen", "192.0.2.1:80"], "not a loopback address"),
        (vec!["dance"], "dance"),
    ] {
        let out = run(&args);
        assert_eq!(out.status.code(), Some(2));
        assert!(text(&out.stderr).contains(says), "{}", text(&out.stderr));
    }
}

#[test]
fn without_a_subcommand_it_is_the_gatekeeper() {
    let out = run(&[]);
    assert_eq!(out.status.code(), Some(1));
    assert!(text(&out.stderr).contains("RELAY_CONFIG is not set"));
}
