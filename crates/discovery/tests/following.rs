//! What followers hold as updates come late, twice, out of order or with gaps. Time is given.

use compact_str::CompactString;
use hingestage_discovery::{Catalog, Follower, CHANGES_KEPT};
use hingestage_fixtures::{worker, workers_version as version};
use hingestage_rpc::workers::{ServiceNews, WorkerRecord, WorkersVersion};
use proptest::prelude::*;

const S: u64 = 1_000_000;

/// Everything that is new is asked for and comes at once.
fn catch_up(follower: &mut Follower, now: u64, from: &Catalog) {
    follower.told(now, &from.index_since(follower.told_version()));
    let asked = follower.ask(now, now + S, |_, _| true);
    follower.take(now, from.news(now, &asked));
    follower.unanswered(&asked);
}

fn ids(catalog: &Catalog) -> Vec<CompactString> {
    let mut ids: Vec<CompactString> = catalog.workers().map(|listed| listed.record.id.clone()).collect();
    ids.sort();
    ids
}

#[test]
fn only_services_that_changed_are_named_and_one_change_is_told_as_a_change() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a1", "a"), worker("a2", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    assert_eq!(follower.catalog().version(), version(1));
    assert!(!source.read(S, version(2), vec![worker("a1", "a"), worker("a2", "a"), worker("b1", "b")]));
    let leaving = WorkerRecord { draining: true, ..worker("a2", "a") };
    assert!(source.read(S, version(3), vec![worker("a1", "a"), leaving.clone(), worker("b1", "b")]));
    let index = source.index_since(version(1));
    assert_eq!(index.services, [("a".into(), version(3))]);
    assert!(!follower.told(S, &index), "no service that was not known");
    assert_eq!(follower.catalog().version(), version(1), "told of, not held");
    let asked = follower.ask(S, 2 * S, |_, _| true);
    let updates = source.news(S, &asked);
    let change = ServiceNews::Changes { since: version(1), listed: vec![leaving], removed: Vec::new() };
    assert_eq!(updates[0].news, change);
    assert_eq!(follower.take(S, updates), ["a"]);
    assert_eq!(follower.catalog().version(), version(3));
}

#[test]
fn a_subscriber_behind_by_more_than_what_is_kept_gets_a_snapshot() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a0", "a")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    for number in 1..=CHANGES_KEPT as u64 {
        source.read(S, version(1 + number), vec![worker(&format!("a{number}"), "a")]);
    }
    let have = [follower.have(&"a".into())];
    let within = source.news(S, &have).remove(0).news;
    assert!(matches!(within, ServiceNews::Changes { .. }), "the last that is kept: {within:?}");
    source.read(S, version(90), vec![worker("a90", "a")]);
    let beyond = source.news(S, &have).remove(0).news;
    assert_eq!(beyond, ServiceNews::Snapshot(vec![worker("a90", "a")]));
    catch_up(&mut follower, S, &source);
    assert_eq!(ids(follower.catalog()), ["a90"]);
}

#[test]
fn changes_to_a_version_that_is_not_held_change_nothing_and_a_snapshot_is_asked_for() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a1", "a")]);
    let mut behind = Follower::default();
    catch_up(&mut behind, S, &source);
    let mut ahead = Follower::default();
    source.read(S, version(2), vec![worker("a1", "a"), worker("a2", "a")]);
    catch_up(&mut ahead, S, &source);
    source.read(S, version(3), vec![worker("a2", "a")]);
    let for_ahead = source.news(S, &[ahead.have(&"a".into())]);
    assert!(behind.take(S, for_ahead).is_empty());
    assert_eq!(ids(behind.catalog()), ["a1"]);
    let asked = behind.ask(S, 2 * S, |_, _| true);
    assert_eq!(asked[0].version, None, "changes won't do");
    behind.take(S, source.news(S, &asked));
    assert_eq!(ids(behind.catalog()), ["a2"]);
}

#[test]
fn what_is_behind_passes_on_no_version_above_what_it_holds() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut relay = Follower::default();
    catch_up(&mut relay, S, &source);
    source.read(S, version(2), vec![worker("a2", "a"), worker("b2", "b")]);
    relay.told(S, &source.index_since(relay.told_version()));
    let only_a = relay.ask(S, 2 * S, |name, _| name == "a");
    relay.take(S, source.news(S, &only_a));
    assert!(!relay.is_complete());
    let index = relay.catalog().index_since(version(1));
    assert_eq!((index.version, index.services.len()), (version(1), 0), "b would be passed over for ever");
}

#[test]
fn a_reader_that_is_new_tells_everything_anew() {
    let mut old = Follower::default();
    old.read(S, version(5), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, old.catalog());
    // The next reader has an older list, and reads one without b's worker.
    let mut next = Follower::default();
    next.read(S, version(2), vec![worker("b1", "b")]);
    let taken_over = WorkersVersion { fence: 2, reader: 9, number: 1 };
    assert!(next.read(S, taken_over, vec![worker("a1", "a")]));
    catch_up(&mut follower, S, next.catalog());
    assert_eq!(ids(follower.catalog()), ["a1"]);
    assert_eq!(follower.catalog().version(), taken_over);
    assert!(!old.read(S, version(6), vec![worker("a1", "a"), worker("b1", "b")]) || taken_over > version(6));
    catch_up(&mut follower, S, old.catalog());
    assert_eq!(ids(follower.catalog()), ["a1"], "the reader before sets nobody back");
}

#[test]
fn what_a_home_passed_on_counts_as_seen_though_nobody_told_of_it() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a1", "a"), worker("b1", "b")]);
    let mut follower = Follower::default();
    catch_up(&mut follower, S, &source);
    let ahead = WorkersVersion { fence: 9, reader: 3, number: 1 };
    source.read(S, ahead, vec![worker("a2", "a"), worker("b2", "b")]);
    follower.take(S, source.news(S, &[follower.have(&"a".into())]));
    assert_eq!(follower.told_version(), version(1), "b is still to be named");
    assert_eq!(follower.seen_version(), ahead, "lists have to go on above it");
}

#[test]
fn a_cold_worker_stays_cold_no_longer_for_each_hand_that_the_news_goes_through() {
    let cold = WorkerRecord { cold_left: 5_000, ..worker("a1", "a") };
    let mut source = Catalog::default();
    source.read(S, version(1), vec![cold.clone()]);
    let mut relay = Follower::default();
    catch_up(&mut relay, 3 * S, &source);
    let mut last = Follower::default();
    // Clocks count from each process's start.
    let of_relay = relay.catalog().news(4 * S, &[last.have(&"a".into())]);
    let ServiceNews::Snapshot(records) = &of_relay[0].news else { panic!("{of_relay:?}") };
    assert_eq!(records[0].cold_left, 2_000);
    last.take(100 * S, of_relay);
    let until = last.catalog().workers().next().and_then(|listed| listed.cold_until);
    assert_eq!(until, Some(102 * S));
    let later = WorkerRecord { cold_left: 2_000, ..cold.clone() };
    assert!(!source.read(4 * S, version(2), vec![later]), "as cold as was known is no news");
    assert!(source.read(4 * S, version(3), vec![cold]), "colder is");
}

#[test]
fn what_was_asked_is_asked_again_only_after_its_time_or_without_an_answer() {
    let mut source = Catalog::default();
    source.read(S, version(1), vec![worker("a1", "a")]);
    let mut follower = Follower::default();
    assert!(follower.told(S, &source.index_since(follower.told_version())), "an unknown service");
    assert!(follower.ask(S, 2 * S, |_, waited| waited > 0).is_empty(), "not due");
    let asked = follower.ask(S, 2 * S, |_, _| true);
    assert_eq!(asked.len(), 1);
    assert!(follower.ask(S + 1, 3 * S, |_, _| true).is_empty(), "under way");
    follower.unanswered(&asked);
    assert_eq!(follower.ask(S + 1, 2 * S, |_, _| true).len(), 1);
    assert_eq!(follower.ask(2 * S, 3 * S, |_, waited| waited == S).len(), 1);
}

proptest! {
    /// However news goes about between a source and relays that follow each other, all end alike.
    #[test]
    fn followers_end_with_what_the_source_has(
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
            source.read(S, version(number as u64 + 1), records.collect());
            for (to, from) in hops.by_ref().take(4) {
                if from == to {
                    catch_up(&mut others[to], S, source.catalog());
                    continue;
                }
                // A home passes services on, whatever version it has.
                let names: Vec<CompactString> = others[from].names().cloned().collect();
                let have: Vec<_> = names.iter().map(|name| others[to].have(name)).collect();
                let updates = others[from].catalog().news(S, &have);
                others[to].take(S, updates);
            }
        }
        for follower in &mut others {
            catch_up(follower, S, source.catalog());
            catch_up(follower, S, source.catalog());
            prop_assert!(follower.is_complete());
            let held: Vec<_> = follower.catalog().workers().collect();
            let there: Vec<_> = source.catalog().workers().collect();
            prop_assert_eq!(held, there);
        }
    }
}
