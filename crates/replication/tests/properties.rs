//! Property tests: random sequences of changes, partitions, restarts, disk losses and replacements.
//!
//! Reads return everything acknowledged before, a serial has one content, and all replicas converge once the faults
//! are repaired.

mod common;

use common::*;
use hingestage_rpc::messages::{Change, ConfigVersion, Proposed};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

/// Time without faults that is needed between two disk losses, in microseconds.
const SYNC_TIME: u64 = 4 * S;
/// Time for all replicas to recover after the last fault, in microseconds.
const RECOVERY_TIME: u64 = 6 * S;

#[derive(Clone, Debug)]
enum Step {
    /// A document under the next serial, or under the current one if `reuse_serial`.
    Configure {
        at: usize,
        content: u8,
        reuse_serial: bool,
    },
    Drain {
        at: usize,
        drained: bool,
    },
    Read(usize),
    Partition(usize),
    BlockOneWay(usize, usize),
    Heal,
    Stop(usize),
    StartAll,
    Wipe(usize),
    Replace(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let any = || 0usize..60;
    prop_oneof![
        8 => (any(), 0..2u8, prop::bool::weighted(0.3))
            .prop_map(|(at, content, reuse_serial)| Step::Configure { at, content, reuse_serial }),
        2 => (any(), prop::bool::ANY).prop_map(|(at, drained)| Step::Drain { at, drained }),
        4 => any().prop_map(Step::Read),
        2 => any().prop_map(Step::Partition),
        1 => (any(), any()).prop_map(|(from, to)| Step::BlockOneWay(from, to)),
        2 => Just(Step::Heal),
        2 => any().prop_map(Step::Stop),
        2 => Just(Step::StartAll),
        2 => any().prop_map(Step::Wipe),
        1 => any().prop_map(Step::Replace),
        5 => prop_oneof![3 => 1..800_000u64, 1 => S..6 * S].prop_map(Step::Advance),
    ]
}

/// What the clients have observed.
#[derive(Default)]
struct Observed {
    serial: u64,
    contents: BTreeMap<u64, ConfigVersion>,
    acknowledged: u64,
    drained: Option<bool>,
    unconfirmed_drains: Vec<bool>,
    healthy_since: u64,
    disk_lost: bool,
    removed: Vec<usize>,
}

impl Observed {
    fn check_content(&mut self, version: ConfigVersion) {
        let held = *self.contents.entry(version.serial).or_insert(version);
        assert_eq!(held, version, "two contents under one serial");
    }
}

fn run(zones: &[&str], steps: &[Step]) {
    let mut cluster = Cluster::new(zones);
    let mut observed = Observed { healthy_since: cluster.now, ..Observed::default() };
    for step in steps {
        apply(&mut cluster, &mut observed, step);
    }
    apply(&mut cluster, &mut observed, &Step::Heal);
    apply(&mut cluster, &mut observed, &Step::StartAll);
    cluster.advance(RECOVERY_TIME);
    observed.serial += 1;
    let last = document(observed.serial, "last");
    let present: Vec<usize> =
        (0..cluster.nodes.len()).filter(|number| !observed.removed.contains(number)).collect();
    assert_eq!(cluster.propose(present[0], Change::Config(last.clone())), Some(Proposed::Durable));
    cluster.advance(S);
    for number in present {
        assert_eq!(cluster.read(number), Some(Some(last.version)), "at {number}");
        let drained = cluster.state(number).drains.get("a").map(|drain| drain.drained);
        let possible = drained == observed.drained
            || observed.unconfirmed_drains.iter().any(|order| drained == Some(*order));
        assert!(possible, "{drained:?} at {number}, {:?} was acknowledged", observed.drained);
    }
}

fn apply(cluster: &mut Cluster, observed: &mut Observed, step: &Step) {
    let count = cluster.nodes.len();
    let usable = |cluster: &Cluster, at: usize| cluster.nodes[at % count].up.then_some(at % count);
    match step {
        Step::Configure { at, content, reuse_serial } => {
            observed.serial += u64::from(!reuse_serial || observed.serial == 0);
            if let Some(at) = usable(cluster, *at) {
                configure(cluster, observed, at, *content);
            }
        }
        Step::Drain { at, drained } => {
            if let Some(at) = usable(cluster, *at) {
                observed.unconfirmed_drains.push(*drained);
                if cluster.propose(at, drain("a", *drained)) == Some(Proposed::Durable) {
                    (observed.drained, observed.unconfirmed_drains) = (Some(*drained), Vec::new());
                }
            }
        }
        Step::Read(at) => {
            if let Some(read) = usable(cluster, *at).and_then(|at| cluster.read(at)) {
                assert!(read.map_or(0, |version| version.serial) >= observed.acknowledged, "{read:?} is old");
                read.into_iter().for_each(|version| observed.check_content(version));
            }
        }
        Step::Partition(at) => cluster.partition(&[at % count]),
        Step::BlockOneWay(from, to) => cluster.block_one_way(from % count, to % count),
        Step::Heal => {
            cluster.heal();
            observed.healthy_since = cluster.now;
        }
        Step::Stop(at) => cluster.stop(at % count),
        Step::StartAll => start_all(cluster, observed),
        Step::Wipe(at) => {
            if may_lose_disk(cluster, observed) && usable(cluster, *at).is_some() {
                cluster.wipe(at % count);
            }
        }
        Step::Replace(at) => {
            if let Some(at) = usable(cluster, *at).filter(|_| may_lose_disk(cluster, observed)) {
                cluster.stop(at);
                observed.removed.push(at);
                let zone = cluster.nodes[at].member.zone.clone();
                cluster.join(&zone);
                observed.healthy_since = cluster.now;
            }
        }
        Step::Advance(span) => cluster.advance(*span),
    }
}

fn configure(cluster: &mut Cluster, observed: &mut Observed, at: usize, content: u8) {
    let document = document(observed.serial, &content.to_string());
    match cluster.propose(at, Change::Config(document.clone())) {
        Some(Proposed::Durable) => {
            observed.check_content(document.version);
            observed.acknowledged = observed.serial;
        }
        Some(Proposed::SerialTaken) => {
            assert_ne!(
                observed.contents.get(&observed.serial),
                Some(&document.version),
                "acknowledged, then refused"
            );
        }
        _ => {}
    }
}

fn start_all(cluster: &mut Cluster, observed: &mut Observed) {
    for number in 0..cluster.nodes.len() {
        if !cluster.nodes[number].up && !observed.removed.contains(&number) {
            cluster.start(number);
            observed.healthy_since = cluster.now;
        }
    }
}

/// Whether another disk may be lost: not until all replicas have been up and connected for `SYNC_TIME`.
fn may_lose_disk(cluster: &Cluster, observed: &mut Observed) -> bool {
    let expected_up = |number: &usize| cluster.nodes[*number].up || observed.removed.contains(number);
    let healthy = (0..cluster.nodes.len()).all(|number| expected_up(&number)) && !cluster.is_partitioned();
    if healthy && cluster.now >= observed.healthy_since + SYNC_TIME {
        observed.disk_lost = false;
    }
    !std::mem::replace(&mut observed.disk_lost, true)
}

fn config_of(cases: u32, seed: u64) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config_of(150, 1))]

    #[test]
    fn three_replicas_in_two_zones_stay_consistent(steps in prop::collection::vec(step(), 5..40)) {
        run(&["a", "a", "b"], &steps);
    }

    #[test]
    fn four_replicas_in_four_zones_stay_consistent(steps in prop::collection::vec(step(), 5..40)) {
        run(&["a", "b", "c", "d"], &steps);
    }
}
