//! Parsing and validation of terms, and due steps.

use hingestage_trial::{Phase, RequestClass, Terms};
use std::time::Duration;

const TERMS: &str = r#"{
    "version": 3,
    "end": "2026-12-31T12:00:00Z",
    "steps": [{"before_end": "2d", "share": 0.5}, {"before_end": "6h", "share": 0.2}],
    "refused_last": ["mutating"],
    "deferred": ["depot-report"],
    "grace": "10s",
    "after_end": 0.05
}"#;
/// The end of the trial in Unix milliseconds.
const END: u64 = 1_798_718_400_000;
const HOUR: u64 = 3_600_000;

fn terms() -> Terms {
    Terms::parse(TERMS.as_bytes()).unwrap()
}

#[test]
fn valid_terms_are_parsed() {
    let terms = terms();
    assert_eq!((terms.version, terms.end, terms.grace), (3, Some(END), Duration::from_secs(10)));
    assert_eq!(terms.last_step(), 4);
}

#[test]
fn steps_are_due_in_order() {
    let terms = terms();
    let due = [
        (END - 49 * HOUR, 0),
        (END - 48 * HOUR, 1),
        (END - 6 * HOUR - 1, 1),
        (END - 6 * HOUR, 2),
        (END, 3),
        (END + 9_999, 3),
        (END + 10_000, 4),
        (u64::MAX, 4),
    ];
    for (unix_millis, step) in due {
        assert_eq!(terms.step_due(unix_millis), step, "{unix_millis}");
    }
}

#[test]
fn levels_follow_the_steps() {
    let terms = terms();
    let levels = [
        (Phase::Full, 1.0, 1.0),
        (Phase::Slowed(1), 0.5, 0.5),
        (Phase::Slowed(2), 0.2, 0.2),
        (Phase::Grace, 0.05, 0.2),
        (Phase::Ended, 0.05, 0.05),
        (Phase::Ended, 0.05, 0.05),
    ];
    for (step, (phase, share, share_of_last)) in (0..).zip(levels) {
        let level = terms.level(step);
        assert_eq!((level.phase, level.share, level.share_of_last), (phase, share, share_of_last));
    }
}

#[test]
fn terms_without_an_end_have_no_steps() {
    let paid = Terms::parse(br#"{"version": 4}"#).unwrap();
    assert_eq!((paid.last_step(), paid.step_due(u64::MAX)), (0, 0));
    assert_eq!(paid.level(2).phase, Phase::Full);
}

#[test]
fn classes_match_route_names_and_kinds() {
    let terms = terms();
    assert_eq!(terms.class_of("fee-payment", "mutating"), RequestClass::RefusedLast);
    assert_eq!(terms.class_of("depot-report", "idempotent"), RequestClass::Deferred);
    assert_eq!(terms.class_of("stock-lookup", "idempotent"), RequestClass::Ordinary);
}

/// Guards against errors that do not name the invalid field.
#[test]
fn invalid_terms_are_refused_with_the_field_name() {
    let cases = [
        (r#""version": 3"#, r#""version": 0"#, "version"),
        (r#""version": 3"#, r#""versoin": 3"#, "versoin"),
        (r#"2026-12-31T12:00:00Z"#, "soon", "end: `soon`"),
        (r#""before_end": "6h""#, r#""before_end": "3d""#, "steps: a step begins no later"),
        (r#""share": 0.2"#, r#""share": 0.7"#, "steps: a step leaves more"),
        (r#""share": 0.5"#, r#""share": 1.5"#, "steps[0].share"),
        (r#""after_end": 0.05"#, r#""after_end": -1"#, "after_end"),
        (r#"["depot-report"]"#, r#"["mutating"]"#, "deferred: `mutating` is refused last"),
    ];
    for (field, replaced, named) in cases {
        let text = TERMS.replace(field, replaced);
        assert_ne!(text, TERMS, "{field}");
        let refused = Terms::parse(text.as_bytes()).unwrap_err().to_string();
        assert!(refused.contains(named), "{replaced}: {refused}");
    }
    let long = format!("{}{}", TERMS, " ".repeat(5_000));
    assert!(Terms::parse(long.as_bytes()).is_err());
    assert!(Terms::parse(&TERMS.as_bytes()[..60]).is_err(), "truncated");
}
