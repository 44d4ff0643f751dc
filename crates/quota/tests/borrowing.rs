//! Answers to questions for tokens: late, doubled, unasked and senseless ones make no tokens.

use hingestage_quota::Borrowing;

#[test]
fn answers_count_once_and_only_from_those_who_were_asked() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(0, &"acme".into(), 0.9).expect("room");
    assert_eq!(borrowing.ask(number, &["one", "two"]), 0.9);
    assert!(!borrowing.take(&"one", number, 0.25));
    assert!(!borrowing.take(&"one", number, 0.25), "twice");
    assert!(!borrowing.take(&"three", number, 0.25), "unasked");
    assert!(!borrowing.take(&"two", number + 1, 0.25), "of another request");
    assert!(borrowing.take(&"two", number, 0.25), "all have answered");
    assert!(!borrowing.has_enough(number));
    assert_eq!(borrowing.ask(number, &["three", "four"]), 0.4);
    assert!(!borrowing.take(&"two", number, 0.25), "late");
    assert!(borrowing.take(&"three", number, 0.5), "enough has come");
    assert_eq!(borrowing.end(0, number), 1.0);
    assert_eq!(borrowing.end(0, number), 0.0);
    assert!(!borrowing.take(&"four", number, 0.5), "after its end");
}

#[test]
fn senseless_amounts_count_for_nothing_and_requests_that_wait_are_bounded() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(0, &"acme".into(), 1.0).expect("room");
    borrowing.ask(number, &[1, 2, 3, 4]);
    for (from, lent) in [(1, f64::NAN), (2, -5.0), (3, f64::INFINITY), (4, 9.0)] {
        borrowing.take(&from, number, lent);
    }
    assert_eq!(borrowing.end(0, number), 1.0, "one token is the most that anybody lends");
    assert!((0..1_000).filter_map(|_| borrowing.begin(0, &"acme".into(), 1.0)).count() < 100);
}

#[test]
fn others_are_not_asked_again_at_once_for_what_they_have_not() {
    const MS: u64 = 1_000;
    let mut borrowing = Borrowing::default();
    let (acme, other) = ("acme".into(), "other".into());
    let number = borrowing.begin(0, &acme, 1.0).expect("room");
    borrowing.ask(number, &["one"]);
    borrowing.take(&"one", number, 0.9);
    assert_eq!(borrowing.end(30 * MS, number), 0.9);
    assert_eq!(borrowing.begin(31 * MS, &acme, 0.1), None, "its clients come again");
    assert_eq!(borrowing.begin(229 * MS, &acme, 0.1), None);
    let number = borrowing.begin(31 * MS, &other, 1.0).expect("another tenant's tokens are there");
    borrowing.ask(number, &["one"]);
    borrowing.take(&"one", number, 1.0);
    assert_eq!(borrowing.end(35 * MS, number), 1.0);
    assert!(borrowing.begin(36 * MS, &other, 1.0).is_some(), "what was enough may be enough again");
    assert!(borrowing.begin(230 * MS, &acme, 0.1).is_some());
}
