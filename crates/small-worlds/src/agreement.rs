//! Agreement in a small world: three replicas, two orders under one serial or one that repeats what holds after a lost one,
//! and whatever may happen to their messages, processes and disks in any order.

use crate::search::SmallWorld;
use hingestage_replication::{
    Disk, Micros, OutgoingRequest, Record, Replica, ReplicaConfig, State, VoterPolicy,
};
use hingestage_rpc::messages::{
    Ballot, Change, ConfigDocument, ConfigVersion, Membership, PeerAnswer, PeerRequest, Proposed,
    StoreMember, ZoneDrain,
};
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::io;

/// Replicas, each in a zone of its own.
const REPLICAS: usize = 3;
/// Operators, each at a replica of its own.
const OPERATORS: usize = 2;
/// The serial that both operators use.
const SERIAL: u64 = 7;
/// The zone that is drained where an order was lost.
const ZONE: &str = "z1";
/// A jump of time: past the rest after a promise, and not past a round.
const JUMP: Micros = 400_000;
/// Callers wait for longer than anything here takes.
const PATIENCE: Micros = 60_000_000;

/// What may happen besides orders and messages, each so many times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Troubles {
    /// Replicas that are started again.
    pub restarts: u8,
    /// Disks that are lost.
    pub wipes: u8,
    /// Jumps of time.
    pub jumps: u8,
    /// Replicas that come beside those that found the system.
    pub newcomers: u8,
}

/// A fault that is planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Promises are not on disk before they are given.
    PromiseNotOnDisk,
    /// What is accepted is not on disk before that is said.
    AcceptedNotOnDisk,
    /// A replica that lost its disk is taken for the one before.
    LostDiskVotes,
    /// An order that changes nothing is acknowledged without a proposal.
    AckWithoutProposal,
}

/// An order of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Document(ConfigVersion),
    /// Drains [`ZONE`].
    Drain,
}

#[derive(Clone, Debug, Default)]
struct MemoryDisk {
    record: Record,
    defect: Option<Defect>,
}

impl Disk for MemoryDisk {
    fn write(&mut self, record: &Record) -> io::Result<()> {
        let before = std::mem::replace(&mut self.record, record.clone());
        match self.defect {
            Some(Defect::PromiseNotOnDisk) => self.record.promised = before.promised,
            Some(Defect::AcceptedNotOnDisk) => {
                (self.record.accepted, self.record.state) = (before.accepted, before.state);
            }
            _ => {}
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Node {
    member: StoreMember,
    replica: Replica,
    disk: MemoryDisk,
    life: u8,
}

#[derive(Clone, Debug)]
enum Message {
    Request(PeerRequest),
    Answer(PeerAnswer),
}

#[derive(Clone, Debug)]
struct Wire {
    from: usize,
    to: usize,
    /// Life of the process that asked.
    life: u8,
    asked_at: Micros,
    message: Message,
}

/// Something that may happen next.
#[derive(Clone, Debug)]
pub enum Step {
    /// A message arrives; messages that never do are lost.
    Deliver(usize),
    /// A replica is started again on its disk.
    Restart(usize),
    /// A replica is started again without it.
    Wipe(usize),
    /// Time passes.
    Jump,
}

/// The world.
#[derive(Clone)]
pub struct World {
    now: Micros,
    nodes: Vec<Node>,
    wires: Vec<Wire>,
    /// Orders that are under way: replica, ticket, order.
    orders: Vec<(usize, u64, Order)>,
    acknowledged: Option<ConfigVersion>,
    /// The ballot decided at the replica that acknowledged the drain.
    drain_acknowledged: Option<Ballot>,
    troubles: Troubles,
    defect: Option<Defect>,
    disks: u64,
}

impl World {
    /// Three replicas that have agreed on their membership; the first two of them have just been handed the orders.
    pub fn new(troubles: Troubles, defect: Option<Defect>) -> World {
        let mut world = World::agreed(State::default(), troubles, defect);
        (0..OPERATORS).for_each(|operator| world.propose_document(operator));
        world
    }

    /// A zone is drained. An order that takes this back has come no further than the disk of the first replica, which
    /// was started again. The second one has just been told to drain the zone.
    ///
    /// # Panics
    /// The order is not on that disk.
    pub fn after_lost_order(troubles: Troubles, defect: Option<Defect>) -> World {
        let drains = [(ZONE.into(), ZoneDrain { order: 1, drained: true })].into();
        let mut world = World::agreed(State { drains, ..State::default() }, troubles, defect);
        world.submit(0, Change::Drain { zone: ZONE.into(), drained: false });
        let decided = world.nodes[0].replica.standing().decided;
        // A promise is asked of the second replica, and comes back.
        world.deliver(0);
        world.deliver(world.wires.len() - 1);
        assert!(world.nodes[0].disk.record.accepted > decided, "the order is not on the disk");
        world.wires.clear();
        world.restart(0);
        world.now += JUMP;
        world.propose_drain(1);
        world
    }

    /// Replicas that have agreed on a state and on their membership.
    fn agreed(state: State, troubles: Troubles, defect: Option<Defect>) -> World {
        let members: Vec<StoreMember> = (0..REPLICAS + usize::from(troubles.newcomers))
            .map(|number| member(number, number as u64 + 1))
            .collect();
        let voters = members[..REPLICAS].to_vec();
        let state = State { membership: Membership { epoch: 1, voters, previous: Vec::new() }, ..state };
        let first = Ballot { round: 1, proposer: 1 };
        let record = Record { promised: first, accepted: first, state };
        let node = |member: &StoreMember| {
            let votes = member.disk <= REPLICAS as u64;
            let record = if votes { record.clone() } else { Record::default() };
            let replica = replica(member, record.clone());
            Node { member: member.clone(), replica, disk: MemoryDisk { record, defect }, life: 0 }
        };
        let nodes: Vec<Node> = members.iter().map(node).collect();
        let disks = nodes.len() as u64;
        let mut world = World {
            now: 0,
            nodes,
            wires: Vec::new(),
            orders: Vec::new(),
            acknowledged: None,
            drain_acknowledged: None,
            troubles,
            defect,
            disks,
        };
        world.meet();
        world
    }

    /// All have heard of each other once: the first proposal is known to be decided.
    fn meet(&mut self) {
        for from in 0..self.nodes.len() {
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                let request = self.nodes[from].replica.exchange_request();
                let asked = &mut self.nodes[to];
                let answer = asked.replica.handle_request(self.now, request, &mut asked.disk);
                let asker = &mut self.nodes[from];
                let outgoing = asker.replica.handle_answer(self.now, self.now, answer, &mut asker.disk);
                self.send(from, outgoing);
            }
        }
        self.wires.clear();
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingRequest>) {
        let (life, asked_at) = (self.nodes[from].life, self.now);
        for OutgoingRequest { to, request } in outgoing {
            let to = self.nodes.iter().position(|node| node.member.addr == to.addr);
            let message = Message::Request(request);
            self.wires.extend(to.map(|to| Wire { from, to, life, asked_at, message }));
        }
    }

    fn propose_document(&mut self, operator: usize) {
        let document = ConfigDocument::new(SERIAL, vec![operator as u8]);
        let order = Order::Document(document.version);
        let ticket = self.submit(operator, Change::Config(document));
        self.orders.extend(ticket.map(|ticket| (operator, ticket, order)));
    }

    fn propose_drain(&mut self, operator: usize) {
        if self.defect == Some(Defect::AckWithoutProposal) {
            return self.acknowledge_drain(operator);
        }
        let ticket = self.submit(operator, Change::Drain { zone: ZONE.into(), drained: true });
        self.orders.extend(ticket.map(|ticket| (operator, ticket, Order::Drain)));
    }

    fn submit(&mut self, number: usize, change: Change) -> Option<u64> {
        let ticket = self.nodes[number].replica.propose(change, self.now + PATIENCE);
        self.poll(number);
        ticket
    }

    fn poll(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let outgoing = node.replica.poll(self.now, &mut node.disk);
        self.send(number, outgoing);
    }

    fn deliver(&mut self, place: usize) {
        let wire = self.wires.remove(place);
        let node = &mut self.nodes[wire.to];
        match wire.message {
            Message::Request(request) => {
                let answer = node.replica.handle_request(self.now, request, &mut node.disk);
                let message = Message::Answer(answer);
                self.wires.push(Wire { from: wire.to, to: wire.from, message, ..wire });
            }
            Message::Answer(answer) if wire.life == node.life => {
                let outgoing = node.replica.handle_answer(self.now, wire.asked_at, answer, &mut node.disk);
                self.send(wire.to, outgoing);
            }
            Message::Answer(_) => {}
        }
    }

    fn restart(&mut self, number: usize) {
        self.orders.retain(|(at, ..)| *at != number);
        let node = &mut self.nodes[number];
        node.life += 1;
        node.replica = replica(&node.member, node.disk.record.clone());
    }

    fn wipe(&mut self, number: usize) {
        self.disks += 1;
        let node = &mut self.nodes[number];
        node.disk = MemoryDisk { defect: self.defect, ..MemoryDisk::default() };
        if self.defect == Some(Defect::LostDiskVotes) {
            let membership = node.replica.membership().clone();
            node.disk.record.state = State { membership, ..State::default() };
        } else {
            node.member.disk = self.disks;
        }
        self.restart(number);
    }

    /// Time passes, and replicas that can reach each other compare how far they are.
    fn jump(&mut self) {
        self.now += JUMP;
        (0..self.nodes.len()).for_each(|number| self.poll(number));
    }

    fn note_outcomes(&mut self) -> Result<(), String> {
        for (number, ticket, order) in std::mem::take(&mut self.orders) {
            match (self.nodes[number].replica.take_outcome(ticket), order) {
                (None, _) => self.orders.push((number, ticket, order)),
                (Some(Proposed::Durable), Order::Document(version)) => self.acknowledge(version)?,
                (Some(Proposed::Durable), Order::Drain) => self.acknowledge_drain(number),
                (Some(_), Order::Document(version)) if self.acknowledged == Some(version) => {
                    return Err(format!("{version:?} was acknowledged and is refused"));
                }
                (Some(_), _) => {}
            }
        }
        Ok(())
    }

    fn acknowledge_drain(&mut self, number: usize) {
        self.drain_acknowledged = Some(self.nodes[number].replica.standing().decided);
    }

    /// No decision after the acknowledged drain takes it back.
    fn check_drain(&self) -> Result<(), String> {
        let Some(acknowledged) = self.drain_acknowledged else { return Ok(()) };
        let later = self.nodes.iter().filter(|node| node.replica.standing().decided > acknowledged);
        let undone = later.into_iter().find(|node| !node.replica.state().drains[ZONE].drained);
        match undone {
            Some(node) => Err(format!("the drain was acknowledged; {} takes it back", node.member.name)),
            None => Ok(()),
        }
    }

    fn acknowledge(&mut self, version: ConfigVersion) -> Result<(), String> {
        match self.acknowledged.replace(version).filter(|other| *other != version) {
            Some(other) => Err(format!("{other:?} and {version:?} are acknowledged under one serial")),
            None => Ok(()),
        }
    }

    /// Whatever any replica takes for decided is one document, the one that was acknowledged.
    fn check(&self) -> Result<(), String> {
        let decided = |node: &Node| node.replica.state().config.as_ref().map(|config| config.version);
        let all: Vec<ConfigVersion> =
            self.nodes.iter().filter_map(decided).chain(self.acknowledged).collect();
        match all.iter().find(|version| **version != all[0]) {
            Some(other) => Err(format!("{:?} and {other:?} are both decided", all[0])),
            None => Ok(()),
        }
    }
}

impl SmallWorld for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.wires.len()).map(Step::Deliver).collect();
        if self.troubles.jumps > 0 {
            steps.push(Step::Jump);
        }
        if self.troubles.restarts > 0 {
            steps.extend((0..REPLICAS).map(Step::Restart));
        }
        if self.troubles.wipes > 0 {
            steps.extend((0..REPLICAS).map(Step::Wipe));
        }
        steps
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Deliver(place) => self.deliver(*place),
            Step::Restart(number) => {
                self.troubles.restarts -= 1;
                self.restart(*number);
            }
            Step::Wipe(number) => {
                self.troubles.wipes -= 1;
                self.wipe(*number);
            }
            Step::Jump => {
                self.troubles.jumps -= 1;
                self.jump();
            }
        }
        self.note_outcomes()?;
        self.check_drain()?;
        self.check()
    }

    fn write(&self, to: &mut dyn Write) -> fmt::Result {
        write!(to, "{} {:?} {:?} {:?}", self.now, self.orders, self.acknowledged, self.troubles)?;
        write!(to, " {:?}", self.drain_acknowledged)?;
        for node in &self.nodes {
            write!(to, "{} {:?}", node.life, node.replica)?;
            if self.defect.is_some() {
                write!(to, "{:?}", node.disk.record)?;
            }
        }
        // The order in which messages were sent tells nothing.
        let mut wires = BTreeMap::new();
        for wire in &self.wires {
            *wires.entry(format!("{wire:?}")).or_insert(0) += 1;
        }
        write!(to, "{wires:?}")
    }
}

fn replica(member: &StoreMember, record: Record) -> Replica {
    let voter_policy = VoterPolicy { voters_min: REPLICAS, ..ReplicaConfig::default().voter_policy };
    Replica::new(
        member.clone(),
        record,
        Vec::new(),
        ReplicaConfig { voter_policy, ..ReplicaConfig::default() },
        member.disk,
    )
}

fn member(number: usize, disk: u64) -> StoreMember {
    let addr = ([10, 0, 0, number as u8 + 1], 7_601).into();
    StoreMember { name: format!("s{number}").into(), zone: format!("z{number}").into(), addr, disk }
}
