//! Proxy directory: heartbeats, expiry and client lookups.

use hingestage_fixtures::proxy_status;
use hingestage_registry::directory::{Directory, DirectorySettings};
use hingestage_rpc::messages::{ProcessId, ProxyStatus};
use std::net::SocketAddr;

const S: u64 = 1_000_000;
/// Announced time until the next heartbeat.
const HEARTBEAT_PERIOD: u64 = 700_000;

/// Silence after which a proxy is no longer live.
fn expiry() -> u64 {
    HEARTBEAT_PERIOD + DirectorySettings::default().heartbeat_grace
}

fn proxy(number: u8, zone: &str, region: &str) -> ProxyStatus {
    ProxyStatus {
        id: ProcessId { node: format!("p{number}").into(), incarnation: 5 },
        peer: SocketAddr::from(([10, 0, 0, number], 7602)),
        ..proxy_status("", zone, region, SocketAddr::from(([10, 0, 0, number], 80)))
    }
}

fn directory(proxies: &[ProxyStatus]) -> Directory {
    let mut directory = Directory::new(DirectorySettings::default());
    for status in proxies {
        assert!(directory.heard(S, status.clone(), HEARTBEAT_PERIOD), "a new proxy is a change");
    }
    directory
}

/// Numbers of the proxies returned to a client in zone `a` of region `x`.
fn lookup_numbers(directory: &Directory, now: u64) -> Vec<u8> {
    let number = |addr: SocketAddr| match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    directory.lookup(now, "a", "x").into_iter().map(number).collect()
}

#[test]
fn only_live_ready_proxies_are_returned() {
    let mut directory = directory(&[proxy(1, "a", "x"), proxy(2, "a", "x"), proxy(3, "a", "x")]);
    let unready = ProxyStatus { ready: false, ..proxy(2, "a", "x") };
    assert!(directory.heard(S, unready, HEARTBEAT_PERIOD), "loss of readiness is a change");
    directory.heard(2 * S, proxy(1, "a", "x"), HEARTBEAT_PERIOD);
    assert_eq!(lookup_numbers(&directory, 2 * S), [1, 3]);
    assert_eq!(lookup_numbers(&directory, S + expiry()), [1]);
    assert!(
        directory.heard(9 * S, proxy(3, "a", "x"), HEARTBEAT_PERIOD),
        "a heartbeat after a silence is a change"
    );
    assert!(!directory.heard(9 * S, proxy(3, "a", "x"), HEARTBEAT_PERIOD));
}

#[test]
fn heartbeat_of_an_older_incarnation_is_ignored() {
    let mut directory = directory(&[proxy(1, "a", "x")]);
    let mut older = ProxyStatus { ready: false, ..proxy(1, "a", "x") };
    older.id.incarnation -= 1;
    let before = directory.version(S, "a");
    assert!(!directory.heard(S + expiry() - 1, older.clone(), HEARTBEAT_PERIOD));
    assert_eq!(directory.version(S, "a"), before);
    assert_eq!(
        lookup_numbers(&directory, S + expiry()),
        [0u8; 0],
        "it does not extend the newer incarnation either"
    );
    let mut newer = proxy(1, "a", "x");
    newer.id.incarnation += 1;
    assert!(directory.heard(3 * S, newer, HEARTBEAT_PERIOD));
    assert_ne!(directory.version(3 * S, "a"), before);
}

#[test]
fn incarnation_with_a_lower_number_is_accepted_once_the_former_is_silent() {
    let mut directory = directory(&[proxy(1, "a", "x")]);
    let mut restarted = proxy(1, "a", "x");
    restarted.id.incarnation -= 1;
    assert!(directory.heard(S + expiry(), restarted, HEARTBEAT_PERIOD));
    assert_eq!(lookup_numbers(&directory, S + expiry()), [1]);
}

#[test]
fn lookup_prefers_the_zone_then_the_region_then_any_proxy() {
    let all = [proxy(1, "c", "y"), proxy(2, "b", "x"), proxy(3, "a", "x"), proxy(4, "a", "x")];
    assert_eq!(lookup_numbers(&directory(&all), S), [3, 4], "two of the zone are enough");
    assert_eq!(lookup_numbers(&directory(&all[..3]), S), [3, 2], "one is not; it still comes first");
    assert_eq!(lookup_numbers(&directory(&all[..2]), S), [2, 1]);
    assert_eq!(lookup_numbers(&directory(&all[..1]), S), [1]);
}

#[test]
fn directory_and_answers_are_bounded_and_keep_the_nearest() {
    let settings = DirectorySettings { proxies_max: 100, ..DirectorySettings::default() };
    let mut directory = Directory::new(settings);
    for number in 0..99 {
        directory.heard(S, proxy(number, "b", "x"), HEARTBEAT_PERIOD);
    }
    directory.heard(S, proxy(200, "a", "x"), HEARTBEAT_PERIOD);
    assert!(!directory.heard(S, proxy(201, "a", "x"), HEARTBEAT_PERIOD), "the directory is full");
    let answer = lookup_numbers(&directory, S);
    assert_eq!((answer.len(), answer[0]), (settings.answer_max, 200));
    directory.remove_expired(S + settings.expire_after);
    assert!(
        directory.heard(S + settings.expire_after, proxy(201, "a", "x"), HEARTBEAT_PERIOD),
        "expired entries free space"
    );
}
