//! Assignment of homes, and selection of neighbors and counters.

use compact_str::{format_compact, CompactString};
use hingestage_discovery::neighbors::{counters, zone_members, COUNTERS_MAX, ZONE_MAX};
use hingestage_discovery::{Home, Homes, PeerProxy};

const S: u64 = 1_000_000;

fn proxy(number: usize) -> PeerProxy {
    let addr = format!("10.0.0.{number}:7602").parse().expect("an address");
    PeerProxy { name: format_compact!("edge-{number}"), addr }
}

/// Homes as seen by proxy `me` with the given zone members.
fn homes(me: usize, of: &[usize]) -> Homes {
    let mut homes = Homes::new(&proxy(me).name);
    homes.set_live_proxies(of.iter().map(|number| proxy(*number)));
    homes
}

fn home_of(homes: &Homes, me: usize, now: u64, key: &str) -> CompactString {
    match homes.home(now, key) {
        Home::Local => proxy(me).name,
        Home::Peer(peer) => peer.name,
    }
}

#[test]
fn all_proxies_of_a_zone_agree_on_evenly_spread_homes() {
    let zone: Vec<usize> = (1..=5).collect();
    let mut services_of = [0; 6];
    for service in 0..500 {
        let key = format!("service-{service}");
        let chosen: Vec<CompactString> =
            zone.iter().map(|me| home_of(&homes(*me, &zone), *me, S, &key)).collect();
        assert!(chosen.iter().all(|name| *name == chosen[0]), "{chosen:?}");
        let home = zone.iter().find(|number| proxy(**number).name == chosen[0]).expect("one of the zone");
        services_of[*home] += 1;
    }
    assert!(services_of[1..].iter().all(|count| (60..140).contains(count)), "{services_of:?}");
}

#[test]
fn only_the_services_of_a_lost_home_are_reassigned() {
    let (all, left) = (homes(1, &[1, 2, 3, 4]), homes(1, &[1, 2, 4]));
    for service in 0..200 {
        let key = format!("service-{service}");
        let before = home_of(&all, 1, S, &key);
        if before != proxy(3).name {
            assert_eq!(home_of(&left, 1, S, &key), before);
        }
    }
}

#[test]
fn unresponsive_home_is_skipped_until_its_timeout_or_answer() {
    let mut homes = homes(1, &[1, 2]);
    let key = (0..).map(|number| format!("s{number}")).find(|key| homes.is_home(S, key, "edge-2"));
    let key = key.expect("one of them");
    homes.mark_unresponsive("edge-2", 4 * S);
    assert_eq!(homes.home(4 * S - 1, &key), Home::Local);
    assert!(homes.is_home(4 * S, &key, "edge-2"));
    homes.mark_unresponsive("edge-2", 9 * S);
    assert!(!homes.set_live_proxies([proxy(1), proxy(2)]), "the same members are no change");
    assert_eq!(homes.home(5 * S, &key), Home::Local, "membership is no answer");
    homes.mark_responsive("edge-2");
    assert!(homes.is_home(5 * S, &key, "edge-2"));
}

#[test]
fn single_proxy_is_home_of_all_services_and_membership_changes_are_reported() {
    let mut homes = Homes::new("edge-1");
    assert_eq!(homes.home(S, "s"), Home::Local);
    assert!(!homes.set_live_proxies([proxy(1)]));
    assert!(homes.set_live_proxies([proxy(1), proxy(2)]));
    let moved = PeerProxy { addr: proxy(9).addr, ..proxy(2) };
    assert!(homes.set_live_proxies([proxy(1), moved]));
    assert!(homes.set_live_proxies([proxy(1)]));
    assert_eq!(homes.peers().count(), 0);
}

#[test]
fn counters_selected_from_a_subset_match_those_of_the_fleet() {
    let fleet: Vec<String> = (0..3_600).map(|number| format!("edge-{number}")).collect();
    let all = counters(&fleet, |name| name);
    assert_eq!(all.len(), COUNTERS_MAX);
    let zone: Vec<&String> = fleet.iter().step_by(79).collect();
    let known: Vec<&String> = zone.into_iter().chain(all.iter().copied()).collect();
    let mut again = counters(known, |name| name);
    again.sort();
    again.dedup();
    let mut all_sorted = all.clone();
    all_sorted.sort();
    assert_eq!(again, all_sorted);
    let without_one: Vec<&String> = fleet.iter().filter(|name| *name != all[0]).collect();
    let after = counters(without_one, |name| name);
    assert_eq!(all.iter().filter(|name| after.contains(name)).count(), COUNTERS_MAX - 1);
}

#[test]
fn small_zones_are_fully_connected_and_large_ones_bounded() {
    let few: Vec<String> = (0..11).map(|number| format!("edge-{number}")).collect();
    assert_eq!(counters(&few, |name| name).len(), 11);
    let many: Vec<String> = (0..200).map(|number| format!("edge-{number}")).collect();
    assert_eq!(zone_members("a", &many, |name| name).len(), ZONE_MAX);
}
