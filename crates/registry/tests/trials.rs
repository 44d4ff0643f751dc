//! Distribution of trials, due steps, and default terms.

use hingestage_configuration::Configuration;
use hingestage_registry::first_terms::FirstTerms;
use hingestage_registry::trials::{TrialLog, NOTICE_PERIOD};
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord, TrialRevision};

const S: u64 = 1_000_000;
const TERMS: &str =
    r#"{"version":1,"end":"1970-01-01T01:00:00Z","steps":[{"before_end":"60s","share":0.5}]}"#;
/// End of the trial, in milliseconds since the Unix epoch.
const END: u64 = 3_600_000;

fn news(tenant: &str, step: u32, age: u64) -> TrialNews {
    let position = TrialPosition { version: 1, digest: 1, step };
    TrialNews {
        record: TrialRecord { tenant: tenant.into(), position, terms: TERMS.as_bytes().to_vec() },
        age,
    }
}

fn steps_due(log: &TrialLog, now: u64, time_of_day: u64) -> Vec<u32> {
    log.steps_due(now, time_of_day).iter().map(|step| step.position.step).collect()
}

#[test]
fn first_step_is_not_due_before_the_notice_period_ends() {
    let mut log = TrialLog::new(1, NOTICE_PERIOD);
    log.apply(S, vec![news("t", 0, 0)]);
    assert!(steps_due(&log, S + NOTICE_PERIOD - 1, END).is_empty());
    assert_eq!(steps_due(&log, S + NOTICE_PERIOD, END), [3], "steps that fell due meanwhile are merged");
    // A restarted registry uses the age reported by its store.
    let mut log = TrialLog::new(2, NOTICE_PERIOD);
    log.apply(S, vec![news("t", 0, 11_000)]);
    assert!(steps_due(&log, 2 * S - 1, END).is_empty());
    assert_eq!(steps_due(&log, 2 * S, END), [3]);
}

#[test]
fn decided_step_is_not_repeated_after_a_clock_change() {
    let mut log = TrialLog::new(1, NOTICE_PERIOD);
    log.apply(0, vec![news("t", 0, 0)]);
    let clock_ahead = END + 5_000;
    assert_eq!(steps_due(&log, 20 * S, clock_ahead), [3]);
    log.apply(20 * S, vec![news("t", 3, 0)]);
    // The clock is set back, or another registry with a correct clock is elected.
    assert!(steps_due(&log, 21 * S, END - 61_000).is_empty());
    assert!(steps_due(&log, 21 * S, END + 5_000).is_empty());
}

#[test]
fn restarted_registry_sends_all_trials_with_ages_from_the_store() {
    let mut log = TrialLog::new(1, NOTICE_PERIOD);
    assert!(log.apply(10 * S, vec![news("t", 1, 4_000)]));
    assert!(!log.apply(11 * S, vec![news("t", 1, 0), news("t", 0, 0)]), "already known");
    let revision = log.revision();
    assert!(!log.has_updates_for(revision));
    assert!(log.has_updates_for(TrialRevision::default()));
    assert!(
        log.has_updates_for(TrialRevision { incarnation: 7, ..revision }),
        "revisions of another incarnation are not comparable"
    );
    assert_eq!(log.updates_since(12 * S, TrialRevision::default()), [news("t", 1, 6_000)]);
    // The age reaches back to before this process started.
    let mut restarted = TrialLog::new(2, NOTICE_PERIOD);
    restarted.apply(S, vec![news("t", 1, 60_000)]);
    assert_eq!(restarted.updates_since(2 * S, revision), [news("t", 1, 61_000)]);
}

#[test]
fn only_newer_trials_are_sent() {
    let mut log = TrialLog::new(1, NOTICE_PERIOD);
    log.apply(0, vec![news("a", 0, 0), news("b", 0, 0)]);
    let revision = log.revision();
    log.apply(S, vec![news("a", 0, 0), news("b", 1, 0)]);
    let tenants: Vec<String> =
        log.updates_since(S, revision).into_iter().map(|news| news.record.tenant.to_string()).collect();
    assert_eq!(tenants, ["b"]);
}

#[test]
fn first_terms_apply_to_the_tenants_with_the_highest_rates() {
    let first = br#"{"tenants":2,"end_in_s":30,"terms":{"steps":[{"before_end":"8s","share":0.5}]}}"#;
    let first = FirstTerms::parse(first).unwrap();
    let tenant = |name: &str, rate: u32| {
        format!(r#"{{"name":"{name}","api_keys":["{name}"],"rate_per_s":{rate},"burst":9}}"#)
    };
    let tenants = [tenant("small", 5), tenant("large", 90), tenant("middle", 50)].join(",");
    let json =
        format!(r#"{{"serial":"00000001","routes":[],"backends":[],"limits":{{}},"tenants":[{tenants}]}}"#);
    let configuration = Configuration::parse(json.as_bytes()).unwrap();
    let records = first.records(&configuration, 1_000_000);
    let names: Vec<&str> = records.iter().map(|record| record.tenant.as_str()).collect();
    assert_eq!(names, ["large", "middle"]);
    let terms = hingestage_trial::Terms::parse(&records[0].terms).unwrap();
    assert_eq!((terms.version, terms.end), (1, Some(1_030_000)));
    for wrong in [
        &b"{}"[..],
        br#"{"tenants":0,"end_in_s":1,"terms":{}}"#,
        br#"{"tenants":1,"end_in_s":1,"terms":{"steps":3}}"#,
    ] {
        assert!(FirstTerms::parse(wrong).is_err());
    }
}
