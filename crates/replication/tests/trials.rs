//! Trials among replicas: which of two terms hold, what is handed over, and when a step is durable.

mod common;

use common::{first_of, members, replica, S};
use hingestage_replication::{Replica, State};
use hingestage_rpc::messages::{Change, Summary, Update};
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TrialStep};

fn terms(tenant: &str, version: u64, digest: u64) -> TrialRecord {
    let position = TrialPosition { version, digest, step: 0 };
    TrialRecord { tenant: tenant.into(), position, terms: format!("{version} {digest}").into_bytes() }
}

fn step_of(record: &TrialRecord, step: u32) -> TrialRecord {
    TrialRecord { position: TrialPosition { step, ..record.position }, ..record.clone() }
}

fn step(record: &TrialRecord, step: u32) -> Change {
    let position = TrialPosition { step, ..record.position };
    Change::TrialSteps(vec![TrialStep { tenant: record.tenant.clone(), position }])
}

/// Takes a change in, as a store does once it is on its disk.
fn take(replica: &mut Replica, now: u64, change: Change) -> Update {
    let update = replica.update_for(change);
    replica.adopt(now, update.clone());
    update
}

fn hears(replica: &mut Replica, now: u64, number: usize, summary: Summary) {
    replica.heard(now, &format!("s{number}").into(), now, summary);
}

fn position(replica: &Replica, tenant: &str) -> Option<TrialPosition> {
    replica.state().trials.get(tenant).map(|record| record.position)
}

/// Hands over from one replica to another whatever that lacks, as an exchange does.
fn exchange(from: &mut Replica, now: u64, number: usize, to: &mut Replica) {
    hears(from, now, number, to.summary());
    for update in from.missing_at(&format!("s{number}").into()) {
        to.adopt(now, update);
    }
    hears(from, now, number, to.summary());
}

#[test]
fn of_two_operators_under_one_version_the_same_one_holds_everywhere() {
    let all = members(&["a", "b", "c"]);
    let (extended, ended) = (terms("t", 2, 20), terms("t", 2, 10));
    let (mut one, mut other) =
        (replica(&all, 0, State::default(), false), replica(&all, 1, State::default(), false));
    take(&mut one, 0, Change::TrialTerms(extended.clone()));
    take(&mut other, 0, Change::TrialTerms(ended.clone()));
    exchange(&mut one, S, 1, &mut other);
    exchange(&mut other, S, 0, &mut one);
    for replica in [&one, &other] {
        assert_eq!(position(replica, "t"), Some(extended.position));
        assert!(!replica.state().trials.has_terms_of("t", &ended.position), "its operator is told so");
    }
}

#[test]
fn the_same_terms_sent_twice_begin_no_trial_anew() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    let record = terms("t", 1, 10);
    take(&mut replica, 0, Change::TrialTerms(record.clone()));
    take(&mut replica, 0, step(&record, 2));
    take(&mut replica, S, Change::TrialTerms(record.clone()));
    assert_eq!(position(&replica, "t").map(|position| position.step), Some(2));
}

#[test]
fn steps_only_go_on_and_only_of_the_terms_that_hold() {
    let mut replica = first_of(&members(&["a", "b", "c"]));
    let (old, new) = (terms("t", 1, 10), terms("t", 2, 5));
    take(&mut replica, 0, Change::TrialTerms(old.clone()));
    take(&mut replica, 0, step(&old, 3));
    // One whose clock is behind, and whose duty has gone to another.
    take(&mut replica, 0, step(&old, 1));
    assert_eq!(position(&replica, "t").map(|position| position.step), Some(3));
    take(&mut replica, 0, Change::TrialTerms(new.clone()));
    take(&mut replica, 0, step(&old, 4));
    assert_eq!(position(&replica, "t"), Some(new.position));
}

#[test]
fn a_step_whose_announcer_died_half_way_is_taken_up_and_is_durable_once() {
    let all = members(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    let begun = State { trials: [record.clone()].into_iter().collect(), ..State::default() };
    let mut stores: Vec<Replica> = (0..3).map(|number| replica(&all, number, begun.clone(), false)).collect();
    // The store on the announcer's machine has the step, and is gone with it.
    take(&mut stores[0], 10 * S, step(&record, 1));
    let (survivor, third) = stores[1..].split_at_mut(1);
    let update = take(&mut survivor[0], 12 * S, step(&record, 1));
    assert!(!survivor[0].is_durable(12 * S, &update));
    assert!(handed_out(&mut survivor[0], 12 * S).is_empty(), "nobody hears of it before");
    exchange(&mut survivor[0], 13 * S, 2, &mut third[0]);
    assert!(survivor[0].is_durable(13 * S, &update));
    assert_eq!(handed_out(&mut survivor[0], 14 * S), [(1, 1_000)], "known to be durable for a second");
    // The first store comes back with the same step: nothing changes.
    let mut first = stores.remove(0);
    hears(&mut stores[0], 15 * S, 0, first.summary());
    hears(&mut first, 15 * S, 1, stores[0].summary());
    assert_eq!(first.state().trials, stores[0].state().trials);
    assert_eq!(handed_out(&mut stores[0], 16 * S), [(1, 3_000)]);
}

/// Steps that a registry which knows nothing is told, each with its age.
fn handed_out(replica: &mut Replica, now: u64) -> Vec<(u32, u64)> {
    let news = replica.news(now, &Summary::default()).trials.unwrap_or_default();
    let stepped = news.into_iter().filter(|news| news.record.position.step > 0);
    stepped.map(|news| (news.record.position.step, news.age)).collect()
}

#[test]
fn news_is_not_fresh_while_a_step_is_undecided() {
    let all = members(&["a", "b", "c"]);
    let record = terms("t", 1, 10);
    let mut replica = first_of(&all);
    hears(&mut replica, 9 * S, 1, Summary::default());
    assert_eq!(replica.current_as_of(10 * S), Some(9 * S));
    take(&mut replica, 10 * S, Change::TrialTerms(record.clone()));
    // One other replica that has not heard of the terms speaks only for itself.
    assert_eq!(replica.current_as_of(10 * S), None);
    let mut theirs = State::default();
    theirs.apply(Update::Trials(vec![record]));
    hears(&mut replica, 11 * S, 1, theirs.summary(false));
    assert_eq!(replica.current_as_of(11 * S), Some(11 * S), "durable, and so in force here");
}

#[test]
fn only_what_has_changed_is_handed_over_and_everything_where_that_is_not_known() {
    let all = members(&["a", "b", "c"]);
    let mut replica = first_of(&all);
    for number in 0..30 {
        take(&mut replica, 0, Change::TrialTerms(terms(&format!("t-{number}"), 1, 1)));
    }
    let before = replica.summary();
    take(&mut replica, S, step(&terms("t-3", 1, 1), 1));
    let lengths = |updates: Vec<Update>| -> Vec<usize> {
        let lengths = updates.into_iter().map(|update| match update {
            Update::Trials(records) => records.len(),
            _ => 0,
        });
        lengths.collect()
    };
    hears(&mut replica, 2 * S, 1, before);
    assert_eq!(lengths(replica.missing_at(&"s1".into())), [1]);
    hears(&mut replica, 3 * S, 1, Summary::default());
    assert_eq!(lengths(replica.missing_at(&"s1".into())), [30]);
}

#[test]
fn a_wiped_replica_does_not_speak_before_it_has_the_trials_of_the_others() {
    let all = members(&["a", "b", "c"]);
    let record = step_of(&terms("t", 1, 10), 2);
    let mut theirs = State::default();
    theirs.apply(Update::Trials(vec![record.clone()]));
    let mut wiped = replica(&all, 0, State::default(), true);
    for number in [1, 2] {
        hears(&mut wiped, 5 * S, number, theirs.summary(false));
    }
    assert!(wiped.recovering());
    wiped.adopt(5 * S, Update::Trials(vec![record]));
    for number in [1, 2] {
        hears(&mut wiped, 6 * S, number, theirs.summary(false));
    }
    assert!(!wiped.recovering());
}
