//! Random exchanges among replicas, with words lost, late and out of order, restarts and wiped disks: whatever
//! was acknowledged is in force wherever a replica claims to be current, and survives one disk and all processes.

mod common;

use common::*;
use compact_str::CompactString;
use hingestage_replication::{Micros, Replica, State};
use hingestage_rpc::messages::{Change, StoreMember, Summary, Update};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const ZONE: &str = "a";
/// How long all have to have spoken before the next disk is lost.
const SYNC_TIME: Micros = 4 * S;

#[derive(Clone, Debug)]
enum Step {
    Configure(usize),
    Drain(usize, bool),
    Ask(usize, usize),
    Deliver(usize),
    Lose(usize),
    Pass(Micros),
    Restart(usize),
    Wipe(usize),
    Read(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let any = || 0usize..60;
    prop_oneof![
        2 => any().prop_map(Step::Configure),
        1 => (any(), prop::bool::ANY).prop_map(|(at, drained)| Step::Drain(at, drained)),
        10 => (any(), any()).prop_map(|(from, to)| Step::Ask(from, to)),
        20 => any().prop_map(Step::Deliver),
        2 => any().prop_map(Step::Lose),
        3 => prop_oneof![3 => 1..400_000u64, 1 => 1..5 * S].prop_map(Step::Pass),
        1 => any().prop_map(Step::Restart),
        1 => any().prop_map(Step::Wipe),
        2 => any().prop_map(Step::Read),
    ]
}

#[derive(Clone, Debug)]
enum Said {
    /// A replica asks, and tells what it has.
    Exchange,
    /// A replica hands over an update.
    Replicate(Update),
    /// The answer to either.
    Answer,
}

#[derive(Clone, Debug)]
struct Word {
    from: usize,
    to: usize,
    /// The life of the process that asked, and when by its clock.
    life: usize,
    asked_at: Micros,
    summary: Summary,
    said: Said,
}

struct Node {
    replica: Replica,
    started: Micros,
    life: usize,
    whole_since: Micros,
    /// Changes that a caller waits for.
    proposed: Vec<Update>,
    /// Reads under way: when they began, and what had been acknowledged by then.
    reads: Vec<(Micros, State)>,
    in_force: Option<u64>,
}

struct World {
    now: Micros,
    members: Vec<StoreMember>,
    nodes: Vec<Node>,
    words: Vec<Word>,
    /// What has been acknowledged, and when.
    acknowledged: Vec<(Micros, Update)>,
    serial: u64,
}

impl World {
    fn new(replicas: usize) -> World {
        let zones = ["a", "b", "b", "c", "a"];
        let members = members(&zones[..replicas]);
        let start = |number| Node {
            replica: replica(&members, number, State::default(), false),
            started: 0,
            life: 0,
            whole_since: 0,
            proposed: Vec::new(),
            reads: Vec::new(),
            in_force: None,
        };
        let nodes = (0..replicas).map(start).collect();
        World { now: 0, members, nodes, words: Vec::new(), acknowledged: Vec::new(), serial: 0 }
    }

    fn clock(&self, at: usize) -> Micros {
        self.now - self.nodes[at].started
    }

    fn name(&self, at: usize) -> CompactString {
        self.members[at].name.clone()
    }

    fn play(&mut self, step: &Step) {
        let count = self.nodes.len();
        let place = |number: usize, of: usize| if of == 0 { None } else { Some(number % of) };
        match step {
            Step::Configure(at) => self.configure(at % count),
            Step::Drain(at, drained) => {
                let change = Change::Drain { zone: ZONE.into(), drained: *drained };
                self.propose(at % count, &change);
            }
            Step::Ask(from, to) => self.ask(from % count, to % count),
            Step::Deliver(number) => {
                if let Some(number) = place(*number, self.words.len()) {
                    let word = self.words.remove(number);
                    self.deliver(word);
                }
            }
            Step::Lose(number) => {
                place(*number, self.words.len()).map(|number| self.words.remove(number));
            }
            Step::Pass(span) => self.now += span,
            Step::Restart(at) => self.restart(at % count, false),
            Step::Wipe(at) => self.wipe(at % count),
            Step::Read(at) => {
                let acknowledged = self.acknowledged_before(self.now + 1);
                let began = self.clock(at % count);
                self.nodes[at % count].reads.push((began, acknowledged));
            }
        }
        self.now += 1;
        self.check();
    }

    fn configure(&mut self, at: usize) {
        self.serial += 1;
        self.propose(at, &Change::Config(document(self.serial, "")));
    }

    fn propose(&mut self, at: usize, change: &Change) {
        let now = self.clock(at);
        let node = &mut self.nodes[at];
        if node.replica.recovering() {
            return;
        }
        let update = node.replica.update_for(change.clone());
        node.replica.adopt(now, update.clone());
        node.proposed.push(update);
    }

    fn ask(&mut self, from: usize, to: usize) {
        if from != to {
            self.send(from, to, Said::Exchange);
        }
    }

    fn send(&mut self, from: usize, to: usize, said: Said) {
        let node = &self.nodes[from];
        let (life, asked_at, summary) = (node.life, self.clock(from), node.replica.summary());
        self.words.push(Word { from, to, life, asked_at, summary, said });
    }

    fn deliver(&mut self, word: Word) {
        let (from, to) = (word.from, word.to);
        let (now, name) = (self.clock(to), self.name(from));
        let known = self.members.clone();
        let replica = &mut self.nodes[to].replica;
        match word.said {
            Said::Exchange => {
                replica.meet(known);
                replica.told(&name, word.summary);
            }
            Said::Replicate(update) => replica.adopt(now, update),
            Said::Answer => return self.take_answer(word, now),
        }
        let summary = self.nodes[to].replica.summary();
        self.words.push(Word { from: to, to: from, summary, said: Said::Answer, ..word });
    }

    fn take_answer(&mut self, word: Word, now: Micros) {
        let (name, known) = (self.name(word.from), self.members.clone());
        let node = &mut self.nodes[word.to];
        if node.life != word.life {
            return;
        }
        node.replica.meet(known);
        node.replica.heard(now, &name, word.asked_at, word.summary);
        for update in node.replica.missing_at(&name) {
            self.send(word.to, word.from, Said::Replicate(update));
        }
    }

    fn restart(&mut self, at: usize, wiped: bool) {
        let node = &mut self.nodes[at];
        let recovering = wiped || node.replica.recovering();
        let state = if wiped { State::default() } else { node.replica.state().clone() };
        let members = if recovering { &self.members[at..=at] } else { &self.members[..] };
        let me = self.members[at].clone();
        node.replica = Replica::new(me, state, members.to_vec(), recovering, Default::default());
        (node.started, node.life) = (self.now, node.life + 1);
        node.proposed.clear();
        node.reads.clear();
        node.in_force = None;
    }

    /// One disk at a time: the next one only after all have been whole for a while.
    fn wipe(&mut self, at: usize) {
        let now = self.now;
        let whole = |node: &Node| !node.replica.recovering() && now >= node.whole_since + SYNC_TIME;
        if self.nodes.iter().all(whole) {
            self.restart(at, true);
        }
    }

    fn acknowledged_before(&self, moment: Micros) -> State {
        let before = self.acknowledged.iter().filter(|(at, _)| *at < moment);
        state(&before.map(|(_, update)| update.clone()).collect::<Vec<_>>())
    }

    /// Acknowledges what is durable, and holds every claim against what has been acknowledged.
    fn check(&mut self) {
        for at in 0..self.nodes.len() {
            let now = self.clock(at);
            let node = &mut self.nodes[at];
            node.replica.refresh(now);
            if node.replica.recovering() {
                node.whole_since = self.now;
            }
            let replica = &node.replica;
            let proposed = std::mem::take(&mut node.proposed);
            let (durable, waiting): (Vec<Update>, Vec<Update>) =
                proposed.into_iter().partition(|update| replica.is_durable(now, update));
            node.proposed = waiting;
            self.acknowledged.extend(durable.into_iter().map(|update| (self.now, update)));
        }
        (0..self.nodes.len()).for_each(|at| self.check_node(at));
    }

    fn check_node(&mut self, at: usize) {
        let now = self.clock(at);
        let started = self.nodes[at].started;
        let claimed = self.nodes[at].replica.current_as_of(now);
        let before_claim = claimed.map(|moment| self.acknowledged_before(started + moment));
        let node = &mut self.nodes[at];
        let replica = &node.replica;
        let serial = serial_in_force(replica);
        assert!(serial >= node.in_force, "s{at} went back from {:?} to {serial:?}", node.in_force);
        node.in_force = serial;
        if let Some(before) = before_claim {
            assert!(
                serial >= serial_of(&before) && replica.state().drains.get(ZONE) >= before.drains.get(ZONE),
                "s{at} claims to be current as of {claimed:?} with {serial:?} in force"
            );
        }
        node.reads.retain(|(began, acknowledged)| {
            let current = replica.is_current_since(now, *began);
            let held = replica.state().config.as_ref().map(|config| config.version);
            let expected = acknowledged.config.as_ref().map(|config| config.version);
            assert!(!current || held >= expected, "s{at} reads {held:?}, acknowledged was {expected:?}");
            !current
        });
    }

    /// All power is lost and one disk with it; then everything gets through.
    fn close(&mut self, wiped: usize) {
        if self.nodes.iter().any(|node| node.replica.recovering()) {
            return;
        }
        self.words.clear();
        let count = self.nodes.len();
        (0..count).for_each(|at| self.restart(at, at == wiped % count));
        for _ in 0..30 {
            let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
            pairs.for_each(|(from, to)| self.ask(from, to));
            while !self.words.is_empty() {
                let word = self.words.remove(0);
                self.deliver(word);
            }
            self.now += S / 4;
            self.check();
        }
        let everything = self.acknowledged_before(Micros::MAX);
        for node in &self.nodes {
            assert!(!node.replica.recovering(), "a replica never speaks again");
            let state = node.replica.state();
            assert!(serial_of(state) >= serial_of(&everything), "an acknowledged configuration is lost");
            assert!(state.drains.get(ZONE) >= everything.drains.get(ZONE), "an acknowledged order is lost");
        }
    }
}

fn serial_of(state: &State) -> Option<u64> {
    state.config.as_ref().map(|config| config.version.serial)
}

fn config_of_runs() -> Config {
    Config { cases: 3_000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config_of_runs())]

    #[test]
    fn what_was_acknowledged_is_held_by_all_that_claim_to_be_current_and_outlives_a_disk(
        replicas in 3usize..=5,
        steps in prop::collection::vec(step(), 1..120),
        wiped in 0usize..60,
    ) {
        let mut world = World::new(replicas);
        steps.iter().for_each(|step| world.play(step));
        world.close(wiped);
    }
}
