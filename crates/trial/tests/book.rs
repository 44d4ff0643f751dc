//! By which step proxies judge a tenant, when news is late, lost, doubled, or known to some of them only.

use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord};
use hingestage_trial::{Judgement, Phase, Spans, TrialBook};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;
const SPANS: Spans = Spans { lease: 4 * S, delay: 4 * S, uncertainty: 2 * S };
const TERMS: &str = r#"{"version":1,"end":"2026-12-31T12:00:00Z","steps":[{"before_end":"1h","share":0.5}]}"#;

fn record(version: u64, step: u32) -> TrialRecord {
    let position = TrialPosition { version, digest: version, step };
    TrialRecord { tenant: "t".into(), position, terms: TERMS.as_bytes().to_vec() }
}

fn news(version: u64, step: u32, age: u64) -> Vec<TrialNews> {
    vec![TrialNews { record: record(version, step), age }]
}

/// A proxy that hears a registry now, whose news is as fresh as the question.
fn hears(book: &mut TrialBook, now: u64, news: Vec<TrialNews>) {
    book.take(now, news);
    book.take_freshness(now, Some(0));
}

/// A proxy that has known terms without steps for long.
fn proxy() -> TrialBook {
    let mut book = TrialBook::new(SPANS);
    hears(&mut book, 0, Vec::new());
    hears(&mut book, S, news(1, 0, 0));
    for second in 2..=20 {
        hears(&mut book, second * S, Vec::new());
    }
    book
}

/// The step by which it judges; none where it can't tell.
fn step(book: &mut TrialBook, now: u64) -> Option<u32> {
    match book.judge(now, "t") {
        Judgement::NoTrial => Some(0),
        Judgement::Unknown(_) => None,
        Judgement::Trial(standing) => Some(standing.position.step),
    }
}

#[test]
fn a_step_takes_effect_a_delay_after_it_was_durable() {
    let mut book = proxy();
    hears(&mut book, 20 * S, news(1, 1, 100));
    hears(&mut book, 23 * S, Vec::new());
    assert_eq!(step(&mut book, 24 * S - 101 * MS), Some(0));
    assert_eq!(step(&mut book, 24 * S - 100 * MS), Some(1), "the age counts");
}

#[test]
fn proxies_that_hear_at_different_times_change_over_together() {
    let (mut early, mut late) = (proxy(), proxy());
    hears(&mut early, 20 * S, news(1, 1, 0));
    hears(&mut late, 21 * S, news(1, 1, 1_000));
    for book in [&mut early, &mut late] {
        hears(book, 23 * S, Vec::new());
        assert_eq!(step(book, 24 * S - 1), Some(0));
        assert_eq!(step(book, 24 * S), Some(1));
    }
}

#[test]
fn a_proxy_that_is_cut_off_judges_nobody_by_the_step_before() {
    let mut book = proxy();
    assert_eq!(step(&mut book, 24 * S - 1), Some(0));
    assert_eq!(
        step(&mut book, 24 * S),
        None,
        "by now a step that was durable at 20 s is in effect elsewhere"
    );
    // Back in touch it hears of the step. It does not know how long that was durable before its age says.
    hears(&mut book, 26 * S, news(1, 1, 5_000));
    assert_eq!(step(&mut book, 26 * S), Some(1));
}

#[test]
fn a_proxy_frozen_over_a_step_does_not_wake_with_the_step_before() {
    let mut book = proxy();
    hears(&mut book, 20 * S, news(1, 1, 0));
    // Its clock went on while it stood still.
    assert_eq!(step(&mut book, 24 * S), None, "its news is too old for anything");
    hears(&mut book, 25 * S, Vec::new());
    assert_eq!(step(&mut book, 25 * S), Some(1));
}

#[test]
fn where_the_moment_of_a_step_is_not_known_well_enough_nobody_is_judged() {
    let mut book = proxy();
    // The registry that tells of it can't say how long it has been durable: it was started a moment ago.
    hears(&mut book, 23 * S, news(1, 1, 0));
    assert_eq!(step(&mut book, 24 * S - 1), Some(0), "nowhere before 24 s is it in effect");
    assert_eq!(step(&mut book, 24 * S), None);
    assert!(matches!(book.judge(24 * S, "t"), Judgement::Unknown(wait) if wait == 3 * S));
    hears(&mut book, 26 * S, Vec::new());
    assert_eq!(step(&mut book, 27 * S), Some(1));
}

#[test]
fn another_registry_may_know_better_since_when_a_step_is_durable() {
    let mut book = proxy();
    hears(&mut book, 23 * S, news(1, 1, 0));
    hears(&mut book, 23 * S, news(1, 1, 2_500));
    assert_eq!(step(&mut book, 24 * S + 499 * MS), Some(0));
    assert_eq!(step(&mut book, 24 * S + 500 * MS), Some(1));
    // The same once more, and worse, changes nothing.
    hears(&mut book, 25 * S, news(1, 1, 0));
    assert_eq!(step(&mut book, 25 * S), Some(1));
}

#[test]
fn a_proxy_that_starts_during_a_step_waits_until_it_can_tell() {
    let mut book = TrialBook::new(SPANS);
    hears(&mut book, 0, news(1, 1, 1_000));
    hears(&mut book, S, Vec::new());
    assert_eq!(step(&mut book, S), None, "by which step others judge now it can't know");
    hears(&mut book, 3 * S, Vec::new());
    assert_eq!(step(&mut book, 3 * S), Some(1));
    // One that starts long after knows at once.
    let mut book = TrialBook::new(SPANS);
    hears(&mut book, 0, news(1, 1, 60_000));
    assert_eq!(step(&mut book, 0), Some(1));
}

#[test]
fn newer_terms_overtake_a_step_that_has_not_begun() {
    let mut book = proxy();
    hears(&mut book, 20 * S, news(1, 1, 0));
    hears(&mut book, 21 * S, news(2, 0, 0));
    hears(&mut book, 24 * S, Vec::new());
    assert_eq!(step(&mut book, 24 * S), Some(1), "the step begins first, as everywhere");
    assert_eq!(step(&mut book, 25 * S), Some(0));
    let Judgement::Trial(standing) = book.judge(25 * S, "t") else { panic!("a trial") };
    assert_eq!((standing.position.version, standing.level.phase), (2, Phase::Full));
    // The step of the terms before comes once more.
    hears(&mut book, 26 * S, news(1, 1, 0));
    assert_eq!(step(&mut book, 26 * S), Some(0));
}

#[test]
fn more_steps_at_once_than_are_kept_let_the_tenant_wait_for_the_last() {
    let mut book = proxy();
    for version in 2..=40 {
        hears(&mut book, 20 * S, news(version, 0, 0));
    }
    hears(&mut book, 23 * S, Vec::new());
    assert_eq!(step(&mut book, 23 * S), None);
    hears(&mut book, 24 * S, Vec::new());
    assert_eq!(step(&mut book, 24 * S), Some(0));
    let Judgement::Trial(standing) = book.judge(24 * S, "t") else { panic!("a trial") };
    assert_eq!(standing.position.version, 40);
}

#[test]
fn two_hundred_trials_that_end_in_one_second_end_together() {
    let mut book = TrialBook::new(SPANS);
    let all = |step: u32, age: u64| -> Vec<TrialNews> {
        let tenant = |number: u64| TrialRecord { tenant: format!("t-{number}").into(), ..record(1, step) };
        (0..200).map(|number| TrialNews { record: tenant(number), age: age + number }).collect()
    };
    hears(&mut book, 0, all(0, 0));
    for second in 1..=20 {
        hears(&mut book, second * S, Vec::new());
    }
    hears(&mut book, 20 * S, all(3, 0));
    hears(&mut book, 23 * S, Vec::new());
    let mut ended = |now: u64| {
        let is_ended =
            |judged: Judgement| matches!(judged, Judgement::Trial(standing) if standing.position.step == 3);
        (0..200).filter(|number| is_ended(book.judge(now, &format!("t-{number}")))).count()
    };
    assert_eq!((ended(24 * S - 200 * MS), ended(24 * S)), (0, 200));
}

#[test]
fn terms_that_can_t_be_read_and_tenants_without_any_change_nothing() {
    let mut book = proxy();
    let unreadable = TrialRecord { tenant: "u".into(), terms: b"{".to_vec(), ..record(1, 1) };
    hears(&mut book, 20 * S, vec![TrialNews { record: unreadable, age: 60_000 }]);
    assert!(matches!(book.judge(20 * S, "u"), Judgement::NoTrial));
    assert!(matches!(book.judge(20 * S, "v"), Judgement::NoTrial));
    assert_eq!(book.len(), 1);
}
