//! Borrowed tokens: late, duplicated, unsolicited and invalid answers must not create tokens.

use hingestage_quota::Borrowing;

#[test]
fn answers_count_once_and_only_from_asked_gateways() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(0, &"acme".into(), 0.9).expect("accepted");
    assert_eq!(borrowing.ask(number, &["one", "two"]), 0.9);
    assert!(!borrowing.record_answer(&"one", number, 0.25));
    assert!(!borrowing.record_answer(&"one", number, 0.25), "duplicate");
    assert!(!borrowing.record_answer(&"three", number, 0.25), "unsolicited");
    assert!(!borrowing.record_answer(&"two", number + 1, 0.25), "another request");
    assert!(borrowing.record_answer(&"two", number, 0.25), "all have answered");
    assert!(!borrowing.has_enough(number));
    assert_eq!(borrowing.ask(number, &["three", "four"]), 0.4);
    assert!(!borrowing.record_answer(&"two", number, 0.25), "late");
    assert!(borrowing.record_answer(&"three", number, 0.5), "enough was lent");
    assert_eq!(borrowing.end(0, number), 1.0);
    assert_eq!(borrowing.end(0, number), 0.0);
    assert!(!borrowing.record_answer(&"four", number, 0.5), "after the end of the request");
}

#[test]
fn invalid_amounts_are_ignored_and_pending_requests_are_bounded() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(0, &"acme".into(), 1.0).expect("accepted");
    borrowing.ask(number, &[1, 2, 3, 4]);
    for (from, lent) in [(1, f64::NAN), (2, -5.0), (3, f64::INFINITY), (4, 9.0)] {
        borrowing.record_answer(&from, number, lent);
    }
    assert_eq!(borrowing.end(0, number), 1.0, "a gateway lends at most one token");
    assert!((0..1_000).filter_map(|_| borrowing.begin(0, &"acme".into(), 1.0)).count() < 100);
}

#[test]
fn exhausted_tenant_is_not_asked_for_again_during_backoff() {
    const MS: u64 = 1_000;
    let mut borrowing = Borrowing::default();
    let (acme, other) = ("acme".into(), "other".into());
    let number = borrowing.begin(0, &acme, 1.0).expect("accepted");
    borrowing.ask(number, &["one"]);
    borrowing.record_answer(&"one", number, 0.9);
    assert_eq!(borrowing.end(30 * MS, number), 0.9);
    assert_eq!(borrowing.begin(31 * MS, &acme, 0.1), None, "a client retries");
    assert_eq!(borrowing.begin(229 * MS, &acme, 0.1), None);
    let number = borrowing.begin(31 * MS, &other, 1.0).expect("another tenant is not in backoff");
    borrowing.ask(number, &["one"]);
    borrowing.record_answer(&"one", number, 1.0);
    assert_eq!(borrowing.end(35 * MS, number), 1.0);
    assert!(borrowing.begin(36 * MS, &other, 1.0).is_some(), "no backoff after success");
    assert!(borrowing.begin(230 * MS, &acme, 0.1).is_some());
}
