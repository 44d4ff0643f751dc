//! Replication of catalogs with late, duplicate, reordered and missing updates.

use compact_str::CompactString;
use hingestage_discovery::{Catalog, Follower, CHANGE_LOG_MAX};
use hingestage_fixtures::{worker, workers_version as version};
use hingestage_rpc::workers::{ServiceNews, WorkerRecord, WorkersVersion};
use proptest::prelude::*;

const S: u64 = 1_000_000;

/// Requests and applies everything that is new at `from`.
fn catch_up(follower: &mut Follower, now: u64, from: &Catalog) {
    follower.apply_index(now, &from.index_since(follower.announced_version()));
    let asked = follower.next_requests(now, now + S, |_, _| true);
    follower.apply_updates(now, from.updates_for(now, &asked));
    follower.end_request(&asked);
}

fn ids(catalog: &Catalog) -> Vec<CompactString> {
    let mut ids: Vec<CompactString> = catalog.workers().map(|listed| listed.record.id.clone()).collect();
    ids.sort();
    ids
}

#[test]
fn index_names_only_changed_services_and_updates_are_incremental() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a1", "a"), worker("a2", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    assert_eq!(follower.catalog().version(), version(1));
    assert!(!source.apply_list(S, version(2), vec![worker("a1", "a"), worker("a2", "a"), worker("b1", "b")]));
    let leaving = WorkerRecord { draining: true, ..worker("a2", "a") };
    assert!(source.apply_list(S, version(3), vec![worker("a1", "a"), leaving.clone(), worker("b1", "b")]));
    let index = source.index_since(version(1));
    assert_eq!(index.services, [("a".into(), version(3))]);
    assert!(!follower.apply_index(S, &index), "all services were known");
    assert_eq!(follower.catalog().version(), version(1), "announced, not applied");
    let asked = follower.next_requests(S, 2 * S, |_, _| true);
    let updates = source.updates_for(S, &asked);
    let change = ServiceNews::Changes { since: version(1), listed: vec![leaving], removed: Vec::new() };
    assert_eq!(updates[0].news, change);
    assert_eq!(follower.apply_updates(S, updates), ["a"]);
    assert_eq!(follower.catalog().version(), version(3));
}

#[test]
fn follower_behind_the_change_log_gets_a_snapshot() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a0", "a")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    for number in 1..=CHANGE_LOG_MAX as u64 {
        source.apply_list(S, version(1 + number), vec![worker(&format!("a{number}"), "a")]);
    }
    let have = [follower.have(&"a".into())];
    let within = source.updates_for(S, &have).remove(0).news;
    assert!(matches!(within, ServiceNews::Changes { .. }), "the oldest logged change: {within:?}");
    source.apply_list(S, version(90), vec![worker("a90", "a")]);
    let beyond = source.updates_for(S, &have).remove(0).news;
    assert_eq!(beyond, ServiceNews::Snapshot(vec![worker("a90", "a")]));
    catch_up(&mut follower, S, &source);
    assert_eq!(ids(follower.catalog()), ["a90"]);
}

#[test]
fn changes_with_a_gap_are_rejected_and_a_snapshot_is_requested() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a1", "a")]);
    let mut behind = Follower::default();
    catch_up(&mut behind, S, &source);
    let mut ahead = Follower::default();
    source.apply_list(S, version(2), vec![worker("a1", "a"), worker("a2", "a")]);
    catch_up(&mut ahead, S, &source);
    source.apply_list(S, version(3), vec![worker("a2", "a")]);
    let for_ahead = source.updates_for(S, &[ahead.have(&"a".into())]);
    assert!(behind.apply_updates(S, for_ahead).is_empty());
    assert_eq!(ids(behind.catalog()), ["a1"]);
    let asked = behind.next_requests(S, 2 * S, |_, _| true);
    assert_eq!(asked[0].version, None, "incremental changes can't be applied");
    behind.apply_updates(S, source.updates_for(S, &asked));
    assert_eq!(ids(behind.catalog()), ["a2"]);
}

#[test]
fn incomplete_relay_announces_no_version_above_what_it_holds() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut relay = Follower::default();
    catch_up(&mut relay, S, &source);
    source.apply_list(S, version(2), vec![worker("a2", "a"), worker("b2", "b")]);
    relay.apply_index(S, &source.index_since(relay.announced_version()));
    let only_a = relay.next_requests(S, 2 * S, |name, _| name == "a");
    relay.apply_updates(S, source.updates_for(S, &only_a));
    assert!(!relay.is_complete());
    let index = relay.catalog().index_since(version(1));
    assert_eq!((index.version, index.services.len()), (version(1), 0), "followers would skip b forever");
}

#[test]
fn new_reader_republishes_all_services() {
    let mut old = Follower::default();
    old.apply_list(S, version(5), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, old.catalog());
    // The next reader holds an older list and reads one without b's worker.
    let mut next = Follower::default();
    next.apply_list(S, version(2), vec![worker("b1", "b")]);
    let takeover = WorkersVersion { fence: 2, reader: 9, number: 1 };
    assert!(next.apply_list(S, takeover, vec![worker("a1", "a")]));
    catch_up(&mut follower, S, next.catalog());
    assert_eq!(ids(follower.catalog()), ["a1"]);
    assert_eq!(follower.catalog().version(), takeover);
    assert!(
        !old.apply_list(S, version(6), vec![worker("a1", "a"), worker("b1", "b")]) || takeover > version(6)
    );
    catch_up(&mut follower, S, old.catalog());
    assert_eq!(ids(follower.catalog()), ["a1"], "the former reader does not roll back followers");
}

#[test]
fn versions_relayed_by_a_home_count_as_seen() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    let ahead = WorkersVersion { fence: 9, reader: 3, number: 1 };
    source.apply_list(S, ahead, vec![worker("a2", "a"), worker("b2", "b")]);
    follower.apply_updates(S, source.updates_for(S, &[follower.have(&"a".into())]));
    assert_eq!(follower.announced_version(), version(1), "b is not announced yet");
    assert_eq!(follower.seen_version(), ahead, "new lists need a higher version");
}

#[test]
fn relaying_does_not_extend_the_warm_up_of_a_worker() {
    let cold = WorkerRecord { cold_left: 5_000, ..worker("a1", "a") };
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![cold.clone()]);
    let mut relay = Follower::default();
    catch_up(&mut relay, 3 * S, &source);
    let mut last = Follower::default();
    // Each process has a clock of its own.
    let of_relay = relay.catalog().updates_for(4 * S, &[last.have(&"a".into())]);
    let ServiceNews::Snapshot(records) = &of_relay[0].news else { panic!("{of_relay:?}") };
    assert_eq!(records[0].cold_left, 2_000);
    last.apply_updates(100 * S, of_relay);
    let until = last.catalog().workers().next().and_then(|listed| listed.cold_until);
    assert_eq!(until, Some(102 * S));
    let later = WorkerRecord { cold_left: 2_000, ..cold.clone() };
    assert!(!source.apply_list(4 * S, version(2), vec![later]), "the known warm-up is no change");
    assert!(source.apply_list(4 * S, version(3), vec![cold]), "a longer warm-up is a change");
}

#[test]
fn pending_request_is_repeated_only_after_its_deadline_or_without_an_answer() {
    let mut source = Catalog::default();
    source.apply_list(S, version(1), vec![worker("a1", "a")]);
    let mut follower = Follower::default();
    assert!(follower.apply_index(S, &source.index_since(follower.announced_version())), "an unknown service");
    assert!(follower.next_requests(S, 2 * S, |_, waited| waited > 0).is_empty(), "not due");
    let asked = follower.next_requests(S, 2 * S, |_, _| true);
    assert_eq!(asked.len(), 1);
    assert!(follower.next_requests(S + 1, 3 * S, |_, _| true).is_empty(), "request pending");
    follower.end_request(&asked);
    assert_eq!(follower.next_requests(S + 1, 2 * S, |_, _| true).len(), 1);
    assert_eq!(follower.next_requests(2 * S, 3 * S, |_, waited| waited == S).len(), 1);
}

proptest! {
    /// All followers converge to the source, in whatever order they exchange updates.
    #[test]
    fn followers_converge_to_the_source(
        lists in prop::collection::vec(prop::collection::vec((0u8..6, 0u8..3, any::<bool>()), 0..8), 1..30),
        hops in prop::collection::vec((0usize..4, 0usize..4), 0..120),
    ) {
        let mut source = Follower::default();
        let mut others: Vec<Follower> = (0..4).map(|_| Follower::default()).collect();
        let mut hops = hops.into_iter();
        for (number, list) in lists.iter().enumerate() {
            let records = list.iter().map(|(id, service, draining)| WorkerRecord {
                draining: *draining,
                ..worker(&format!("{service}-{id}"), &format!("s{service}"))
            });
            source.apply_list(S, version(number as u64 + 1), records.collect());
            for (to, from) in hops.by_ref().take(4) {
                if from == to {
                    catch_up(&mut others[to], S, source.catalog());
                    continue;
                }
                // A home relays services at whatever version it holds.
                let names: Vec<CompactString> = others[from].names().cloned().collect();
                let have: Vec<_> = names.iter().map(|name| others[to].have(name)).collect();
                let updates = others[from].catalog().updates_for(S, &have);
                others[to].apply_updates(S, updates);
            }
        }
        for follower in &mut others {
            catch_up(follower, S, source.catalog());
            catch_up(follower, S, source.catalog());
            prop_assert!(follower.is_complete());
            let held: Vec<_> = follower.catalog().workers().collect();
            let expected: Vec<_> = source.catalog().workers().collect();
            prop_assert_eq!(held, expected);
        }
    }
}
