//! Random days of few replicas: cuts, restarts, lost disks, replacements and orders in any order. Whatever was
//! acknowledged is read wherever a replica answers a read, one serial has one content, and once nothing is in the way
//! all hold the same.

mod common;

use common::*;
use hingestage_rpc::messages::{Change, ConfigVersion, Proposed};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

/// How long all have to be whole before the next disk is lost.
const SYNC_TIME: u64 = 4 * S;
const SERVES_WITHIN: u64 = 6 * S;

#[derive(Clone, Debug)]
enum Step {
    /// An operator's document under the next serial, or where `again` under the one before.
    Configure {
        at: usize,
        content: u8,
        again: bool,
    },
    Drain {
        at: usize,
        drained: bool,
    },
    Read(usize),
    Cut(usize),
    CutOneWay(usize, usize),
    Heal,
    Stop(usize),
    StartAll,
    Wipe(usize),
    Replace(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let any = || 0usize..60;
    prop_oneof![
        8 => (any(), 0..2u8, prop::bool::weighted(0.3))
            .prop_map(|(at, content, again)| Step::Configure { at, content, again }),
        2 => (any(), prop::bool::ANY).prop_map(|(at, drained)| Step::Drain { at, drained }),
        4 => any().prop_map(Step::Read),
        2 => any().prop_map(Step::Cut),
        1 => (any(), any()).prop_map(|(from, to)| Step::CutOneWay(from, to)),
        2 => Just(Step::Heal),
        2 => any().prop_map(Step::Stop),
        2 => Just(Step::StartAll),
        2 => any().prop_map(Step::Wipe),
        1 => any().prop_map(Step::Replace),
        5 => prop_oneof![3 => 1..800_000u64, 1 => S..6 * S].prop_map(Step::Pass),
    ]
}

/// What was seen from outside.
#[derive(Default)]
struct Seen {
    serial: u64,
    contents: BTreeMap<u64, ConfigVersion>,
    acknowledged: u64,
    drained: Option<bool>,
    drained_since: Vec<bool>,
    whole_since: u64,
    disk_lost: bool,
    gone: Vec<usize>,
}

impl Seen {
    fn holds(&mut self, version: ConfigVersion) {
        let held = *self.contents.entry(version.serial).or_insert(version);
        assert_eq!(held, version, "two contents under one serial");
    }
}

fn play(zones: &[&str], steps: &[Step]) {
    let mut cluster = Cluster::new(zones);
    let mut seen = Seen { whole_since: cluster.now, ..Seen::default() };
    for step in steps {
        take(&mut cluster, &mut seen, step);
    }
    take(&mut cluster, &mut seen, &Step::Heal);
    take(&mut cluster, &mut seen, &Step::StartAll);
    cluster.pass(SERVES_WITHIN);
    seen.serial += 1;
    let last = document(seen.serial, "last");
    let there: Vec<usize> = (0..cluster.nodes.len()).filter(|number| !seen.gone.contains(number)).collect();
    assert_eq!(cluster.propose(there[0], Change::Config(last.clone())), Some(Proposed::Durable));
    cluster.pass(S);
    for number in there {
        assert_eq!(cluster.read(number), Some(Some(last.version)), "at {number}");
        let drained = cluster.state(number).drains.get("a").map(|drain| drain.drained);
        let possible =
            drained == seen.drained || seen.drained_since.iter().any(|order| drained == Some(*order));
        assert!(possible, "{drained:?} at {number}, {:?} was acknowledged", seen.drained);
    }
}

fn take(cluster: &mut Cluster, seen: &mut Seen, step: &Step) {
    let count = cluster.nodes.len();
    let usable = |cluster: &Cluster, at: usize| cluster.nodes[at % count].up.then_some(at % count);
    match step {
        Step::Configure { at, content, again } => {
            seen.serial += u64::from(!again || seen.serial == 0);
            if let Some(at) = usable(cluster, *at) {
                configure(cluster, seen, at, *content);
            }
        }
        Step::Drain { at, drained } => {
            if let Some(at) = usable(cluster, *at) {
                seen.drained_since.push(*drained);
                if cluster.propose(at, drain("a", *drained)) == Some(Proposed::Durable) {
                    (seen.drained, seen.drained_since) = (Some(*drained), Vec::new());
                }
            }
        }
        Step::Read(at) => {
            if let Some(read) = usable(cluster, *at).and_then(|at| cluster.read(at)) {
                assert!(read.map_or(0, |version| version.serial) >= seen.acknowledged, "{read:?} is old");
                read.into_iter().for_each(|version| seen.holds(version));
            }
        }
        Step::Cut(at) => cluster.cut(&[at % count]),
        Step::CutOneWay(from, to) => cluster.cut_one_way(from % count, to % count),
        Step::Heal => {
            cluster.heal();
            seen.whole_since = cluster.now;
        }
        Step::Stop(at) => cluster.stop(at % count),
        Step::StartAll => start_all(cluster, seen),
        Step::Wipe(at) => {
            if may_lose_disk(cluster, seen) && usable(cluster, *at).is_some() {
                cluster.wipe(at % count);
            }
        }
        Step::Replace(at) => {
            if let Some(at) = usable(cluster, *at).filter(|_| may_lose_disk(cluster, seen)) {
                cluster.stop(at);
                seen.gone.push(at);
                let zone = cluster.nodes[at].member.zone.clone();
                cluster.join(&zone);
                seen.whole_since = cluster.now;
            }
        }
        Step::Pass(span) => cluster.pass(*span),
    }
}

fn configure(cluster: &mut Cluster, seen: &mut Seen, at: usize, content: u8) {
    let document = document(seen.serial, &content.to_string());
    match cluster.propose(at, Change::Config(document.clone())) {
        Some(Proposed::Durable) => {
            seen.holds(document.version);
            seen.acknowledged = seen.serial;
        }
        Some(Proposed::SerialTaken) => {
            assert_ne!(
                seen.contents.get(&seen.serial),
                Some(&document.version),
                "acknowledged, then refused"
            );
        }
        _ => {}
    }
}

fn start_all(cluster: &mut Cluster, seen: &mut Seen) {
    for number in 0..cluster.nodes.len() {
        if !cluster.nodes[number].up && !seen.gone.contains(&number) {
            cluster.start(number);
            seen.whole_since = cluster.now;
        }
    }
}

/// One disk at a time, and the next one only after all were there for long.
fn may_lose_disk(cluster: &Cluster, seen: &mut Seen) -> bool {
    let there = |number: &usize| cluster.nodes[*number].up || seen.gone.contains(number);
    let whole = (0..cluster.nodes.len()).all(|number| there(&number)) && !cluster.is_cut();
    if whole && cluster.now >= seen.whole_since + SYNC_TIME {
        seen.disk_lost = false;
    }
    !std::mem::replace(&mut seen.disk_lost, true)
}

fn config_of(cases: u32, seed: u64) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config_of(150, 1))]

    #[test]
    fn days_of_three_replicas_in_two_zones(steps in prop::collection::vec(step(), 5..40)) {
        play(&["a", "a", "b"], &steps);
    }

    #[test]
    fn days_of_four_replicas_in_four_zones(steps in prop::collection::vec(step(), 5..40)) {
        play(&["a", "b", "c", "d"], &steps);
    }
}
