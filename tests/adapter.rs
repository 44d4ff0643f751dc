//! The adapter on wire text.

use std::io::Write;
use std::process::{Command, Stdio};

const LAUNCH: &str = "LAUNCH\tgatekeeper=0\trandomSeed=5\tinstances=2\tme=0\tresolutionUs=2000\tzone=a\t\
    familyInfo.mayCount=true\tfamilyInfo.countWaitUs=50000\tfamilyInfo.mostUnits=4\tfamilyInfo.costAfter=false\t\
    limits.maxAttempts=4\tlimits.mayCancel=true\tlimits.mayDuplicate=true\tlimits.retryAfter=true\t\
    limits.maxRetryAfterUs=1000000\trules.coldFrom=0.2\trules.coldUs=10000000\trules.fallMultiple=2.0\t\
    rules.tipAfterUs=1000000\tregistryMode=pushed\tsome.newThing=7\tservices.count=1\tservices.0.name=read\t\
    services.0.aimUs=500000\tservices.0.giveUpUs=2000000\tservices.0.effect=idempotent\tservices.0.group=all\t\
    tiersOfService.count=1\ttiersOfService.0.name=small\ttiersOfService.0.rate=10\ttiersOfService.0.storeSize=20\t\
    tiersOfService.0.overCost=1.0";
const LIST: &str = "FLEET\tgatekeeper=0\tscope=3\tstamp=1\titems=1\n\
    ROW\tavailability=1\ttype=std\tblock=0\tzone=a\tworker=77\tpowerHint=1";
const DEMAND: &str = "DEMAND\tgatekeeper=0\tticket=r-1\tcaller=c-1\ttype=read\twidth=2\tquotaUnits=1\t\
    graceUs=900000\tcontract=small\tfirstDoor=1\tunheardOf=1";

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hingestage-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A child that has given up closes its input; the write may then fail.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

fn batch(turn: u32, lines: &[&str]) -> String {
    format!("MARK\tnowUs={}\tturn={turn}\n{}\nGO\n", 1_000_000 * u64::from(turn), lines.join("\n"))
}

#[test]
fn a_request_is_sent_counted_and_ended() {
    let tick = "WAKE\tgatekeeper=0\tnonce=0";
    let done = "RESOLVED\tgatekeeper=0\tticket=r-1\tn=0\tworker=77\tstatus=GOOD\tlatencyUs=5000\tterminal=1\tseenUse=3";
    let (ok, out, err) = run(&[batch(1, &[LAUNCH, LIST, DEMAND]), batch(2, &[tick, done])].concat());
    assert!(ok, "{err}");
    assert!(out.contains("TRY\tgatekeeper=0\tticket=r-1\ttimeoutUs=900000\tworker=77\n"), "{out}");
    assert!(out.contains("TALLY\tgatekeeper=0\tcounter=c-1."), "{out}");
    assert!(out.contains("DONE\tturn=1\n") && out.ends_with("DONE\tturn=2\n"), "{out}");
}

#[test]
fn empty_batches_restarts_and_unused_events_are_taken() {
    let empty = "MARK\tnowUs=5\tturn=1\nGO\n\nMARK\tnowUs=6\tturn=2\nGO\n";
    assert_eq!(run(empty), (true, "DONE\tturn=1\nDONE\tturn=2\n".into(), String::new()));
    let stop = "TEARDOWN\tgatekeeper=0";
    let note = "NOTE_FROM\tgatekeeper=0\tby=1\traw=zz";
    let probe = "HEALTH_RESULT\tgatekeeper=0\tworker=77\tstatus=GOOD\tlatencyUs=9";
    let none = "FLEET\tgatekeeper=0\tscope=1\tstamp=2\titems=0";
    let (ok, out, err) = run(&batch(1, &[LAUNCH, LIST, stop, LAUNCH, LIST, note, probe, none, DEMAND]));
    assert!(ok && !out.contains("TRY") && !out.contains("INTERNAL_ERROR"), "{out}{err}");
}

#[test]
fn malformed_lines_are_named_and_end_the_program() {
    let bad_number = DEMAND.replace("graceUs=900000", "graceUs=soon");
    let missing = DEMAND.replace("caller=c-1\t", "");
    let bad_word = "RESOLVED\tgatekeeper=0\tticket=r-1\tn=0\tworker=77\tstatus=MAYBE";
    let no_effect = LAUNCH.replace("effect=idempotent", "effect=perhaps");
    for (lines, place, field) in [
        (vec![LAUNCH, LIST, &bad_number], "line 5", "graceUs"),
        (vec![LAUNCH, LIST, &missing], "line 5", "caller"),
        (vec![LAUNCH, LIST, bad_word], "line 5", "status"),
        (vec![&no_effect], "line 2", "services.0.effect"),
        (vec!["WHAT\tgatekeeper=0"], "line 2", "gatekeeper"),
        (vec![LAUNCH, "WHAT\tgatekeeper=0"], "line 3", "name"),
        (vec![LAUNCH, "GONE\tgatekeeper"], "line 3", "gatekeeper"),
        (vec![LAUNCH, "COUNTED\tgatekeeper=0\tcounter=x\tstatus=GOOD\treading=NaN"], "line 3", "reading"),
    ] {
        let (ok, out, err) = run(&batch(1, &lines));
        assert!(!ok && out.is_empty(), "{out}");
        assert!(err.contains(place) && err.contains(field), "{err}");
    }
    let (ok, _, err) = run("MARK\tnowUs=1\tturn=1\n");
    assert!(!ok && err.contains("inside a batch"), "{err}");
}
