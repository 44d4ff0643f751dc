//! Which proxies clients are sent to.

use hingestage_fixtures::proxy_status;
use hingestage_registry::directory::{Directory, Figures};
use hingestage_rpc::messages::{ProcessId, ProxyStatus};
use std::net::SocketAddr;

const S: u64 = 1_000_000;
/// Within what a proxy says that it tells again.
const NEXT: u64 = 700_000;

/// How long a proxy may be silent.
fn silent_after() -> u64 {
    NEXT + Figures::default().late_after
}

fn proxy(number: u8, zone: &str, region: &str) -> ProxyStatus {
    ProxyStatus {
        id: ProcessId { node: format!("p{number}").into(), incarnation: 5 },
        peer: SocketAddr::from(([10, 0, 0, number], 7602)),
        ..proxy_status("", zone, region, SocketAddr::from(([10, 0, 0, number], 80)))
    }
}

fn directory(proxies: &[ProxyStatus]) -> Directory {
    let mut directory = Directory::new(Figures::default());
    for status in proxies {
        assert!(directory.heard(S, status.clone(), NEXT), "a new one is news");
    }
    directory
}

/// The numbers of the proxies that a client in zone `a` of region `x` is sent to.
fn named(directory: &Directory, now: u64) -> Vec<u8> {
    let number = |addr: SocketAddr| match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    directory.lookup(now, "a", "x").into_iter().map(number).collect()
}

#[test]
fn only_ready_proxies_heard_lately_are_named() {
    let mut directory = directory(&[proxy(1, "a", "x"), proxy(2, "a", "x"), proxy(3, "a", "x")]);
    let unready = ProxyStatus { ready: false, ..proxy(2, "a", "x") };
    assert!(directory.heard(S, unready, NEXT), "no longer ready is news");
    directory.heard(2 * S, proxy(1, "a", "x"), NEXT);
    assert_eq!(named(&directory, 2 * S), [1, 3]);
    assert_eq!(named(&directory, S + silent_after()), [1]);
    assert!(
        directory.heard(9 * S, proxy(3, "a", "x"), NEXT),
        "one that was silent and is heard again is news"
    );
    assert!(!directory.heard(9 * S, proxy(3, "a", "x"), NEXT));
}

#[test]
fn a_message_of_an_older_life_changes_nothing() {
    let mut directory = directory(&[proxy(1, "a", "x")]);
    let mut older = ProxyStatus { ready: false, ..proxy(1, "a", "x") };
    older.id.incarnation -= 1;
    let before = directory.version(S, "a");
    assert!(!directory.heard(S + silent_after() - 1, older.clone(), NEXT));
    assert_eq!(directory.version(S, "a"), before);
    assert_eq!(named(&directory, S + silent_after()), [0u8; 0], "nor does it make the newer life heard");
    let mut newer = proxy(1, "a", "x");
    newer.id.incarnation += 1;
    assert!(directory.heard(3 * S, newer, NEXT));
    assert_ne!(directory.version(3 * S, "a"), before);
}

#[test]
fn a_life_begun_by_a_clock_that_was_set_back_counts_once_the_former_is_silent() {
    let mut directory = directory(&[proxy(1, "a", "x")]);
    let mut life = proxy(1, "a", "x");
    life.id.incarnation -= 1;
    assert!(directory.heard(S + silent_after(), life, NEXT));
    assert_eq!(named(&directory, S + silent_after()), [1]);
}

#[test]
fn clients_are_sent_to_their_zone_then_to_their_region_then_anywhere() {
    let all = [proxy(1, "c", "y"), proxy(2, "b", "x"), proxy(3, "a", "x"), proxy(4, "a", "x")];
    assert_eq!(named(&directory(&all), S), [3, 4], "two of the zone are enough");
    assert_eq!(named(&directory(&all[..3]), S), [3, 2], "one is not; it still comes first");
    assert_eq!(named(&directory(&all[..2]), S), [2, 1]);
    assert_eq!(named(&directory(&all[..1]), S), [1]);
}

#[test]
fn answers_and_the_directory_are_bounded_and_the_nearest_are_not_cut_off() {
    let figures = Figures { proxies_max: 100, ..Figures::default() };
    let mut directory = Directory::new(figures);
    for number in 0..99 {
        directory.heard(S, proxy(number, "b", "x"), NEXT);
    }
    directory.heard(S, proxy(200, "a", "x"), NEXT);
    assert!(!directory.heard(S, proxy(201, "a", "x"), NEXT), "no room");
    let answer = named(&directory, S);
    assert_eq!((answer.len(), answer[0]), (figures.answer_max, 200));
    directory.tidy(S + figures.forget_after);
    assert!(directory.heard(S + figures.forget_after, proxy(201, "a", "x"), NEXT), "room again");
}
