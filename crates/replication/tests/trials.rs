//! Replication of trials: conflicting terms, steps, transfers and freshness.

mod common;

use common::*;
use hingestage_replication::State;
use hingestage_rpc::messages::{Change, Part, Proposed, Summary, Transfer};
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TrialStep, TRIALS_MAX};

const DONE: Option<Proposed> = Some(Proposed::Durable);

fn terms(tenant: &str, version: u64, digest: u64) -> TrialRecord {
    let position = TrialPosition { version, digest, step: 0 };
    TrialRecord { tenant: tenant.into(), position, terms: format!("{version} {digest}").into_bytes() }
}

fn step(record: &TrialRecord, step: u32) -> Change {
    let position = TrialPosition { step, ..record.position };
    Change::TrialSteps(vec![TrialStep { tenant: record.tenant.clone(), position }])
}

fn position(cluster: &Cluster, number: usize, tenant: &str) -> Option<TrialPosition> {
    cluster.state(number).trials.get(tenant).map(|record| record.position)
}

/// Steps published to a registry without any data, each with its age in milliseconds.
fn published_steps(cluster: &mut Cluster, number: usize) -> Vec<(u32, u64)> {
    let now = cluster.now;
    let updates =
        cluster.nodes[number].replica.updates_for(now, &Summary::default()).trials.unwrap_or_default();
    let stepped = updates.into_iter().filter(|news| news.record.position.step > 0);
    stepped.map(|news| (news.record.position.step, news.age)).collect()
}

#[test]
fn concurrent_terms_under_one_version_converge() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let (extended, ended) = (terms("t", 2, 20), terms("t", 2, 10));
    let first = cluster.submit(0, Change::TrialTerms(extended.clone())).expect("the queue is not full");
    let second = cluster.submit(1, Change::TrialTerms(ended.clone())).expect("the queue is not full");
    let of_extended = cluster.await_outcome(0, first).expect("no fault is present");
    let of_ended = cluster.await_outcome(1, second).expect("no fault is present");
    cluster.advance(S);
    let held = position(&cluster, 0, "t").expect("terms");
    assert!((1..3).all(|number| position(&cluster, number, "t") == Some(held)));
    assert_eq!(held, extended.position, "the higher digest wins, whichever came first");
    assert_eq!(of_extended, Proposed::Durable);
    assert!(matches!(of_ended, Proposed::Durable | Proposed::Overtaken));
    let again = cluster.propose(2, Change::TrialTerms(ended));
    assert_eq!(again, Some(Proposed::Overtaken));
}

#[test]
fn repeated_terms_do_not_restart_a_trial() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(0, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&record, 2)), DONE);
    assert_eq!(cluster.propose(2, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(position(&cluster, 2, "t").map(|position| position.step), Some(2));
}

#[test]
fn steps_advance_only_for_current_terms() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let (old, new) = (terms("t", 1, 10), terms("t", 2, 5));
    assert_eq!(cluster.propose(0, Change::TrialTerms(old.clone())), DONE);
    assert_eq!(cluster.propose(0, step(&old, 3)), DONE);
    // A step proposed late by a registry with a slow clock.
    assert_eq!(cluster.propose(1, step(&old, 1)), DONE);
    cluster.advance(S);
    assert_eq!(position(&cluster, 1, "t").map(|position| position.step), Some(3));
    assert_eq!(cluster.propose(0, Change::TrialTerms(new.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&old, 4)), DONE);
    cluster.advance(S);
    assert_eq!(position(&cluster, 1, "t"), Some(new.position));
}

#[test]
fn undecided_step_is_not_published_until_completed() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    // Only the store on the proposer's machine accepts the step, and both stop.
    cluster.partition(&[0]);
    assert_eq!(cluster.propose(0, step(&record, 1)), None);
    assert!(published_steps(&mut cluster, 0).is_empty());
    cluster.stop(0);
    assert!(published_steps(&mut cluster, 1).is_empty());
    assert_eq!(cluster.propose(1, step(&record, 1)), DONE);
    assert_eq!(published_steps(&mut cluster, 1).len(), 1);
    // The store restarts with the same step accepted.
    cluster.heal();
    cluster.start(0);
    cluster.advance(2 * S);
    assert_eq!(cluster.state(0).trials, cluster.state(1).trials);
    let (step, age) = published_steps(&mut cluster, 1)[0];
    assert!(step == 1 && age >= 2_000, "known to be durable for {age} ms");
}

#[test]
fn freshness_stops_while_a_step_is_undecided() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    cluster.advance(S);
    let before = cluster.now;
    cluster.partition(&[0]);
    assert_eq!(cluster.propose(0, step(&record, 1)), None);
    cluster.advance(S);
    assert!(cluster.nodes[0].replica.current_as_of(cluster.now) <= Some(before + 4 * MILLI));
    cluster.heal();
    cluster.advance(2 * S);
    assert!(cluster.has_recent_majority(0));
}

#[test]
fn only_trials_beyond_the_tenant_limit_are_refused() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let names = (0..TRIALS_MAX).map(|number| format!("t{number}"));
    let mut state = cluster.state(0).clone();
    for name in names {
        assert_eq!(state.apply(&Change::TrialTerms(terms(&name, 1, 1))), Proposed::Durable);
    }
    assert_eq!(state.apply(&Change::TrialTerms(terms("one-more", 1, 1))), Proposed::Full);
    assert_eq!(state.apply(&Change::TrialTerms(terms("t0", 2, 1))), Proposed::Durable);
    assert_eq!(cluster.propose(0, config(1, "")), DONE);
}

#[test]
fn transfers_hold_changed_trials_or_all_for_an_unknown_base() {
    let mut before = State::default();
    for number in 0..30 {
        before.apply(&Change::TrialTerms(terms(&format!("t-{number}"), 1, 1)));
    }
    let mut after = before.clone();
    after.apply(&step(&terms("t-3", 1, 1), 1));
    let lengths = |transfer: &Transfer| -> Vec<usize> {
        let lengths = transfer.parts.iter().map(|part| match part {
            Part::Trials(records) | Part::TrialChanges(records) => records.len(),
            _ => 0,
        });
        lengths.collect()
    };
    let changes = after.transfer_from(&before);
    assert_eq!(lengths(&changes), [1]);
    assert_eq!(before.with_transfer(changes.clone()), Some(after.clone()));
    assert_eq!(State::default().with_transfer(changes), None, "changes do not apply to another base");
    let whole = after.transfer(&Summary::default());
    assert_eq!(lengths(&whole), [30]);
    assert_eq!(State::default().with_transfer(whole), Some(after));
}

#[test]
fn wiped_replica_answers_no_reads_before_it_has_recovered() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&record, 2)), DONE);
    cluster.wipe(0);
    cluster.start(0);
    assert!(cluster.nodes[0].replica.is_recovering());
    assert_eq!(cluster.nodes[0].replica.current_as_of(cluster.now), None);
    cluster.advance(2 * S);
    assert!(!cluster.nodes[0].replica.is_recovering());
    assert_eq!(position(&cluster, 0, "t").map(|position| position.step), Some(2));
}
