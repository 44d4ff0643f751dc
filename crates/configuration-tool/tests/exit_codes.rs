//! Exit codes and output of the `hingestage-config` binary.

use hingestage_fixtures::ToolRun as Run;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

const DOCUMENT: &str = r#"{"serial": "00000001", "backends": [{"name": "blue"}], "routes": [
    {"name": "shop", "host": "shop.example", "prefix": "/", "kind": "mutating", "timeout": "2s", "prio": 1,
     "backend": "blue"}]}"#;

/// Working directory of a test, with variants of the document.
struct Files(PathBuf);

impl Files {
    fn new(test: &str) -> Files {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        let files = Files(directory);
        files.write("base.json", DOCUMENT);
        files.write("slow.json", &DOCUMENT.replace("2s", "3s"));
        files.write("slower.json", &DOCUMENT.replace("2s", "4s"));
        files.write("first.json", &DOCUMENT.replace(r#""prio": 1"#, r#""prio": 0"#));
        files.write("invalid.json", &DOCUMENT.replace("2s", "0s"));
        files.write("cut.json", &DOCUMENT[..DOCUMENT.len() - 1]);
        files
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn run(&self, arguments: &str) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hingestage-config"));
        Run::from(command.current_dir(&self.0).args(arguments.split_whitespace()).output().unwrap())
    }
}

fn expected(code: i32, output: &str, errors: &str) -> Run {
    Run { code: Some(code), output: output.to_owned(), errors: errors.to_owned() }
}

#[test]
fn check() {
    let files = Files::new("check");
    assert_eq!(files.run("check base.json"), expected(0, "", ""));
    let invalid = "invalid.json: route `shop`: `timeout` is zero or absent\n";
    assert_eq!(files.run("check invalid.json"), expected(2, "", invalid));
}

#[test]
fn files_that_cannot_be_read() {
    let files = Files::new("unread");
    for (name, message) in
        [("cut.json", "cut.json: unreadable: EOF"), ("none.json", "none.json: No such file")]
    {
        let run = files.run(&format!("check {name}"));
        assert_eq!((run.code, run.errors.lines().count()), (Some(2), 1), "{run:?}");
        assert!(run.errors.starts_with(message), "{run:?}");
    }
}

#[test]
fn bad_usage() {
    let files = Files::new("usage");
    for arguments in
        ["", "chek base.json", "check", "check base.json more", "diff base.json", "check --x base.json"]
    {
        let run = files.run(arguments);
        assert_eq!((run.code, run.output.as_str()), (Some(2), ""), "{arguments}: {run:?}");
        assert!(!run.errors.is_empty(), "{arguments}");
    }
    let help = files.run("--help");
    assert_eq!((help.code, help.errors.as_str()), (Some(0), ""));
    assert!(help.output.contains("merge"));
}

#[test]
fn diff() {
    let files = Files::new("diff");
    assert_eq!(files.run("diff base.json base.json"), expected(0, "", ""));
    assert_eq!(files.run("diff --json base.json base.json"), expected(0, "[]\n", ""));
    let line = "route `shop`: `timeout` changed from \"2000ms\" to \"3000ms\"\n";
    assert_eq!(files.run("diff base.json slow.json"), expected(1, line, ""));
    let json = files.run("diff base.json slow.json --json");
    let changes: serde_json::Value = serde_json::from_str(&json.output).unwrap();
    assert_eq!(json.code, Some(1));
    assert_eq!((&changes[0]["name"], &changes[0]["field"]), (&"shop".into(), &"timeout".into()));
    assert_eq!(files.run("diff base.json invalid.json").code, Some(2));
}

#[test]
fn merge() {
    let files = Files::new("merge");
    let merged = files.run("merge base.json slow.json first.json");
    assert_eq!((merged.code, merged.errors.as_str()), (Some(0), ""));
    assert_eq!(files.run("merge base.json slow.json first.json --out out.json"), expected(0, "", ""));
    assert_eq!(files.read("out.json"), merged.output);
    let lines = "route `shop`: `timeout` changed from \"2000ms\" to \"3000ms\"\n\
                 route `shop`: `prio` changed from 1 to 0\n";
    assert_eq!(files.run("diff base.json out.json"), expected(1, lines, ""));
    assert!(merged.output.contains("\"serial\": \"00000002\""));
}

#[test]
fn merge_with_conflicts_writes_nothing() {
    let files = Files::new("conflicts");
    files.write("out.json", "as before");
    let conflict =
        "slow.json, slower.json: route `shop`: `timeout` is \"3000ms\" in ours and \"4000ms\" in theirs\n";
    let run = files.run("merge base.json slow.json slower.json --out out.json");
    assert_eq!(run, expected(1, "", conflict));
    assert_eq!(files.read("out.json"), "as before");
    let invalid = files.run("merge base.json slow.json invalid.json --out out.json");
    assert_eq!((invalid.code, files.read("out.json").as_str()), (Some(2), "as before"));
    let unwritable = files.run("merge base.json slow.json first.json --out none/out.json");
    assert_eq!((unwritable.code, unwritable.output.as_str()), (Some(2), ""));
    assert!(unwritable.errors.starts_with("none/out.json: "), "{unwritable:?}");
}
