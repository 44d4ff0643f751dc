//! Answers to questions for tokens: late, doubled, unasked and senseless ones make no tokens.

use hingestage_quota::Borrowing;

#[test]
fn answers_count_once_and_only_from_those_who_were_asked() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(0.9).expect("room");
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
    assert_eq!(borrowing.end(number), 1.0);
    assert_eq!(borrowing.end(number), 0.0);
    assert!(!borrowing.take(&"four", number, 0.5), "after its end");
}

#[test]
fn senseless_amounts_count_for_nothing_and_requests_that_wait_are_bounded() {
    let mut borrowing = Borrowing::default();
    let number = borrowing.begin(1.0).expect("room");
    borrowing.ask(number, &[1, 2, 3, 4]);
    for (from, lent) in [(1, f64::NAN), (2, -5.0), (3, f64::INFINITY), (4, 9.0)] {
        borrowing.take(&from, number, lent);
    }
    assert_eq!(borrowing.end(number), 1.0, "one token is the most that anybody lends");
    assert!((0..1_000).filter_map(|_| borrowing.begin(1.0)).count() < 100);
}
