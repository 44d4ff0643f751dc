//! The step that applies at a proxy when updates are late, lost, repeated or known to some proxies only.

use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord};
use hingestage_trial::{Phase, TrialDecision, TrialTiming, TrialTracker};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;
const TIMING: TrialTiming = TrialTiming { lease: 4 * S, delay: 4 * S, uncertainty: 2 * S };
const TERMS: &str = r#"{"version":1,"end":"2026-12-31T12:00:00Z","steps":[{"before_end":"1h","share":0.5}]}"#;

fn record(version: u64, step: u32) -> TrialRecord {
    let position = TrialPosition { version, digest: version, step };
    TrialRecord { tenant: "t".into(), position, terms: TERMS.as_bytes().to_vec() }
}

fn news(version: u64, step: u32, age: u64) -> Vec<TrialNews> {
    vec![TrialNews { record: record(version, step), age }]
}

/// Applies an up-to-date answer of a registry at `now`.
fn receive(tracker: &mut TrialTracker, now: u64, updates: Vec<TrialNews>) {
    tracker.apply_updates(now, updates);
    tracker.observe_freshness(now, Some(0));
}

/// A proxy that has had terms without steps for 19 s.
fn proxy() -> TrialTracker {
    let mut tracker = TrialTracker::new(TIMING);
    receive(&mut tracker, 0, Vec::new());
    receive(&mut tracker, S, news(1, 0, 0));
    for second in 2..=20 {
        receive(&mut tracker, second * S, Vec::new());
    }
    tracker
}

/// The step that applies; `None` if the proxy cannot tell.
fn step(tracker: &mut TrialTracker, now: u64) -> Option<u32> {
    match tracker.decide(now, "t") {
        TrialDecision::NoTrial => Some(0),
        TrialDecision::Unknown(_) => None,
        TrialDecision::Trial(active) => Some(active.position.step),
    }
}

#[test]
fn step_takes_effect_one_delay_after_it_is_durable() {
    let mut tracker = proxy();
    receive(&mut tracker, 20 * S, news(1, 1, 100));
    receive(&mut tracker, 23 * S, Vec::new());
    assert_eq!(step(&mut tracker, 24 * S - 101 * MS), Some(0));
    assert_eq!(step(&mut tracker, 24 * S - 100 * MS), Some(1), "the age counts");
}

#[test]
fn proxies_that_learn_at_different_times_switch_together() {
    let (mut early, mut late) = (proxy(), proxy());
    receive(&mut early, 20 * S, news(1, 1, 0));
    receive(&mut late, 21 * S, news(1, 1, 1_000));
    for tracker in [&mut early, &mut late] {
        receive(tracker, 23 * S, Vec::new());
        assert_eq!(step(tracker, 24 * S - 1), Some(0));
        assert_eq!(step(tracker, 24 * S), Some(1));
    }
}

#[test]
fn partitioned_proxy_stops_applying_the_previous_step() {
    let mut tracker = proxy();
    assert_eq!(step(&mut tracker, 24 * S - 1), Some(0));
    assert_eq!(step(&mut tracker, 24 * S), None, "a step durable at 20 s may be in effect at other proxies");
    // After reconnecting, it learns that the step has been durable for at least 5 s.
    receive(&mut tracker, 26 * S, news(1, 1, 5_000));
    assert_eq!(step(&mut tracker, 26 * S), Some(1));
}

#[test]
fn suspended_proxy_does_not_resume_with_the_previous_step() {
    let mut tracker = proxy();
    receive(&mut tracker, 20 * S, news(1, 1, 0));
    // The clock advanced while the process was suspended.
    assert_eq!(step(&mut tracker, 24 * S), None, "its data is older than the lease");
    receive(&mut tracker, 25 * S, Vec::new());
    assert_eq!(step(&mut tracker, 25 * S), Some(1));
}

#[test]
fn no_step_applies_while_its_time_is_too_uncertain() {
    let mut tracker = proxy();
    // A registry that has just started reports the step with age zero.
    receive(&mut tracker, 23 * S, news(1, 1, 0));
    assert_eq!(step(&mut tracker, 24 * S - 1), Some(0), "it cannot be in effect anywhere before 24 s");
    assert_eq!(step(&mut tracker, 24 * S), None);
    assert!(matches!(tracker.decide(24 * S, "t"), TrialDecision::Unknown(wait) if wait == 3 * S));
    receive(&mut tracker, 26 * S, Vec::new());
    assert_eq!(step(&mut tracker, 27 * S), Some(1));
}

#[test]
fn earliest_known_durability_of_a_step_counts() {
    let mut tracker = proxy();
    receive(&mut tracker, 23 * S, news(1, 1, 0));
    receive(&mut tracker, 23 * S, news(1, 1, 2_500));
    assert_eq!(step(&mut tracker, 24 * S + 499 * MS), Some(0));
    assert_eq!(step(&mut tracker, 24 * S + 500 * MS), Some(1));
    // A repeated answer with a later bound changes nothing.
    receive(&mut tracker, 25 * S, news(1, 1, 0));
    assert_eq!(step(&mut tracker, 25 * S), Some(1));
}

#[test]
fn proxy_that_starts_during_a_step_waits_until_the_step_is_certain() {
    let mut tracker = TrialTracker::new(TIMING);
    receive(&mut tracker, 0, news(1, 1, 1_000));
    receive(&mut tracker, S, Vec::new());
    assert_eq!(step(&mut tracker, S), None, "it cannot know which step applies at other proxies");
    receive(&mut tracker, 3 * S, Vec::new());
    assert_eq!(step(&mut tracker, 3 * S), Some(1));
    // A proxy that starts long after the step knows at once.
    let mut tracker = TrialTracker::new(TIMING);
    receive(&mut tracker, 0, news(1, 1, 60_000));
    assert_eq!(step(&mut tracker, 0), Some(1));
}

#[test]
fn newer_terms_supersede_a_pending_step() {
    let mut tracker = proxy();
    receive(&mut tracker, 20 * S, news(1, 1, 0));
    receive(&mut tracker, 21 * S, news(2, 0, 0));
    receive(&mut tracker, 24 * S, Vec::new());
    assert_eq!(step(&mut tracker, 24 * S), Some(1), "the step takes effect first, as at every proxy");
    assert_eq!(step(&mut tracker, 25 * S), Some(0));
    let TrialDecision::Trial(active) = tracker.decide(25 * S, "t") else { panic!("a trial") };
    assert_eq!((active.position.version, active.level.phase), (2, Phase::Full));
    // The step of the previous terms arrives again.
    receive(&mut tracker, 26 * S, news(1, 1, 0));
    assert_eq!(step(&mut tracker, 26 * S), Some(0));
}

#[test]
fn too_many_pending_steps_wait_for_the_last() {
    let mut tracker = proxy();
    for version in 2..=40 {
        receive(&mut tracker, 20 * S, news(version, 0, 0));
    }
    receive(&mut tracker, 23 * S, Vec::new());
    assert_eq!(step(&mut tracker, 23 * S), None);
    receive(&mut tracker, 24 * S, Vec::new());
    assert_eq!(step(&mut tracker, 24 * S), Some(0));
    let TrialDecision::Trial(active) = tracker.decide(24 * S, "t") else { panic!("a trial") };
    assert_eq!(active.position.version, 40);
}

#[test]
fn two_hundred_trials_end_together() {
    let mut tracker = TrialTracker::new(TIMING);
    let all = |step: u32, age: u64| -> Vec<TrialNews> {
        let tenant = |number: u64| TrialRecord { tenant: format!("t-{number}").into(), ..record(1, step) };
        (0..200).map(|number| TrialNews { record: tenant(number), age: age + number }).collect()
    };
    receive(&mut tracker, 0, all(0, 0));
    for second in 1..=20 {
        receive(&mut tracker, second * S, Vec::new());
    }
    receive(&mut tracker, 20 * S, all(3, 0));
    receive(&mut tracker, 23 * S, Vec::new());
    let mut ended = |now: u64| {
        let is_ended = |decision: TrialDecision| matches!(decision, TrialDecision::Trial(active) if active.position.step == 3);
        (0..200).filter(|number| is_ended(tracker.decide(now, &format!("t-{number}")))).count()
    };
    assert_eq!((ended(24 * S - 200 * MS), ended(24 * S)), (0, 200));
}

#[test]
fn unreadable_terms_and_unknown_tenants_are_no_trial() {
    let mut tracker = proxy();
    let unreadable = TrialRecord { tenant: "u".into(), terms: b"{".to_vec(), ..record(1, 1) };
    receive(&mut tracker, 20 * S, vec![TrialNews { record: unreadable, age: 60_000 }]);
    assert!(matches!(tracker.decide(20 * S, "u"), TrialDecision::NoTrial));
    assert!(matches!(tracker.decide(20 * S, "v"), TrialDecision::NoTrial));
    assert_eq!(tracker.len(), 1);
}
