//! Trials among replicas: which of two terms hold, and what is handed out when.

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

/// Steps that a registry which knows nothing is told, each with its age.
fn handed_out(cluster: &mut Cluster, number: usize) -> Vec<(u32, u64)> {
    let now = cluster.now;
    let news = cluster.nodes[number].replica.news(now, &Summary::default()).trials.unwrap_or_default();
    let stepped = news.into_iter().filter(|news| news.record.position.step > 0);
    stepped.map(|news| (news.record.position.step, news.age)).collect()
}

#[test]
fn of_two_operators_under_one_version_the_same_terms_hold_everywhere_and_both_are_told() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let (extended, ended) = (terms("t", 2, 20), terms("t", 2, 10));
    let first = cluster.begin_proposal(0, Change::TrialTerms(extended.clone())).expect("room");
    let second = cluster.begin_proposal(1, Change::TrialTerms(ended.clone())).expect("room");
    let of_extended = cluster.await_outcome(0, first).expect("nothing is in the way");
    let of_ended = cluster.await_outcome(1, second).expect("nothing is in the way");
    cluster.pass(S);
    let held = position(&cluster, 0, "t").expect("terms");
    assert!((1..3).all(|number| position(&cluster, number, "t") == Some(held)));
    assert_eq!(held, extended.position, "terms with the higher digest follow, whichever came first");
    assert_eq!(of_extended, Proposed::Durable);
    assert!(matches!(of_ended, Proposed::Durable | Proposed::Overtaken));
    let again = cluster.propose(2, Change::TrialTerms(ended));
    assert_eq!(again, Some(Proposed::Overtaken));
}

#[test]
fn the_same_terms_sent_twice_begin_no_trial_anew() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(0, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&record, 2)), DONE);
    assert_eq!(cluster.propose(2, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(position(&cluster, 2, "t").map(|position| position.step), Some(2));
}

#[test]
fn steps_only_go_on_and_only_of_the_terms_that_hold() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let (old, new) = (terms("t", 1, 10), terms("t", 2, 5));
    assert_eq!(cluster.propose(0, Change::TrialTerms(old.clone())), DONE);
    assert_eq!(cluster.propose(0, step(&old, 3)), DONE);
    // One whose clock is behind, and whose duty has gone to another.
    assert_eq!(cluster.propose(1, step(&old, 1)), DONE);
    cluster.pass(S);
    assert_eq!(position(&cluster, 1, "t").map(|position| position.step), Some(3));
    assert_eq!(cluster.propose(0, Change::TrialTerms(new.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&old, 4)), DONE);
    cluster.pass(S);
    assert_eq!(position(&cluster, 1, "t"), Some(new.position));
}

#[test]
fn a_step_whose_announcer_died_half_way_is_taken_up_and_nobody_hears_of_it_before_it_is_decided() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    // The store on the announcer's machine has the step, and is gone with it.
    cluster.cut(&[0]);
    assert_eq!(cluster.propose(0, step(&record, 1)), None);
    assert!(handed_out(&mut cluster, 0).is_empty());
    cluster.stop(0);
    assert!(handed_out(&mut cluster, 1).is_empty());
    assert_eq!(cluster.propose(1, step(&record, 1)), DONE);
    assert_eq!(handed_out(&mut cluster, 1).len(), 1);
    // It comes back with the same step: nothing changes.
    cluster.heal();
    cluster.start(0);
    cluster.pass(2 * S);
    assert_eq!(cluster.state(0).trials, cluster.state(1).trials);
    let (step, age) = handed_out(&mut cluster, 1)[0];
    assert!(step == 1 && age >= 2_000, "known to be durable for {age} ms");
}

#[test]
fn news_is_not_fresh_while_a_step_is_undecided_on_a_majority() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    cluster.pass(S);
    let before = cluster.now;
    cluster.cut(&[0]);
    assert_eq!(cluster.propose(0, step(&record, 1)), None);
    cluster.pass(S);
    assert!(cluster.nodes[0].replica.current_as_of(cluster.now) <= Some(before + 4 * MILLI));
    cluster.heal();
    cluster.pass(2 * S);
    assert!(cluster.nodes[0].replica.is_in_contact(cluster.now));
}

#[test]
fn trials_of_more_tenants_than_there_is_room_for_are_refused_and_nothing_else_is() {
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
fn only_what_has_changed_is_handed_over_and_everything_where_that_is_not_known() {
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
    assert_eq!(before.with(changes.clone()), Some(after.clone()));
    assert_eq!(State::default().with(changes), None, "they lead nowhere from another state");
    let whole = after.transfer(&Summary::default());
    assert_eq!(lengths(&whole), [30]);
    assert_eq!(State::default().with(whole), Some(after));
}

#[test]
fn a_wiped_replica_does_not_speak_before_it_has_the_trials_of_the_others() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    assert_eq!(cluster.propose(1, Change::TrialTerms(record.clone())), DONE);
    assert_eq!(cluster.propose(1, step(&record, 2)), DONE);
    cluster.wipe(0);
    cluster.start(0);
    assert!(cluster.nodes[0].replica.recovering());
    assert_eq!(cluster.nodes[0].replica.current_as_of(cluster.now), None);
    cluster.pass(2 * S);
    assert!(!cluster.nodes[0].replica.recovering());
    assert_eq!(position(&cluster, 0, "t").map(|position| position.step), Some(2));
}
