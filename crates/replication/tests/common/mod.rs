//! A small system of replicas on a virtual clock, and what it is asked, for the tests.
#![allow(dead_code)]

use hingestage_replication::{Disk, Figures, Micros, Outgoing, Plan, Record, Replica, State};
use hingestage_rpc::messages::{
    Change, ConfigDocument, ConfigVersion, PeerAnswer, PeerRequest, Proposed, StoreMember,
};
use std::collections::BTreeSet;
use std::io;

pub const MILLI: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// How long a message takes, how often a replica looks what is due, and how often replicas compare how far they are.
const DELAY: Micros = 2 * MILLI;
const POLL_PERIOD: Micros = 20 * MILLI;
const EXCHANGE_PERIOD: Micros = 300 * MILLI;
/// How long a caller waits.
pub const WAIT: Micros = 850 * MILLI;
/// Replicas that found a system.
pub const FOUNDERS: usize = 3;

/// A disk in memory.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    pub record: Record,
    /// Whether it refuses to write.
    pub full: bool,
}

impl Disk for MemoryDisk {
    fn write(&mut self, record: &Record) -> io::Result<()> {
        if self.full {
            return Err(io::Error::other("full"));
        }
        self.record = record.clone();
        Ok(())
    }
}

enum Message {
    Request(PeerRequest),
    Answer(Micros, PeerAnswer),
}

struct Wire {
    at: Micros,
    from: usize,
    to: usize,
    /// Life of the process that an answer is for.
    life: Option<u32>,
    /// Life of the sender, and when it asked.
    sender: (u32, Micros),
    message: Message,
}

pub struct Node {
    pub member: StoreMember,
    pub replica: Replica,
    pub disk: MemoryDisk,
    pub up: bool,
    life: u32,
    founds: bool,
}

/// Replicas with a network between them.
pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Node>,
    wires: Vec<Wire>,
    cut: BTreeSet<(usize, usize)>,
    disks: u64,
}

impl Cluster {
    /// One replica in each zone that is named; the first three found the system. It has begun.
    pub fn new(zones: &[&str]) -> Cluster {
        let mut cluster =
            Cluster { now: 0, nodes: Vec::new(), wires: Vec::new(), cut: BTreeSet::new(), disks: 0 };
        for zone in zones {
            cluster.add(zone, true);
        }
        cluster.pass(2 * S);
        cluster
    }

    fn add(&mut self, zone: &str, founds: bool) -> usize {
        let number = self.nodes.len();
        self.disks += 1;
        let member = member(number, zone, self.disks);
        let (replica, disk) = (replica(&member, Record::default(), false), MemoryDisk::default());
        self.nodes.push(Node { member, replica, disk, up: true, life: 0, founds });
        self.begin(number);
        number
    }

    /// A replica that was never there comes into a zone.
    pub fn join(&mut self, zone: &str) -> usize {
        self.add(zone, false)
    }

    fn begin(&mut self, number: usize) {
        let living: Vec<StoreMember> =
            self.nodes.iter().filter(|node| node.up).map(|node| node.member.clone()).collect();
        let node = &mut self.nodes[number];
        node.up = true;
        node.life += 1;
        node.replica = replica(&node.member, node.disk.record.clone(), node.founds);
        let founders: Vec<StoreMember> = (0..FOUNDERS).map(|number| member(number, "", 0)).collect();
        node.replica.told_of(0, if node.founds { &founders } else { &living });
    }

    /// The clock of a replica's process is the system's: nothing here depends on when it began.
    pub fn start(&mut self, number: usize) {
        self.begin(number);
    }

    pub fn stop(&mut self, number: usize) {
        self.nodes[number].up = false;
    }

    /// Stops a replica, whose disk is lost: it will be another one.
    pub fn wipe(&mut self, number: usize) {
        self.stop(number);
        self.disks += 1;
        let node = &mut self.nodes[number];
        node.disk = MemoryDisk::default();
        node.member.disk = self.disks;
        node.founds = false;
    }

    /// Cuts replicas off from all others.
    pub fn cut(&mut self, numbers: &[usize]) {
        for one in numbers {
            for other in (0..self.nodes.len()).filter(|other| !numbers.contains(other)) {
                self.cut.extend([(*one, other), (other, *one)]);
            }
        }
    }

    /// Lets nothing through from one replica to another.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn is_cut(&self) -> bool {
        !self.cut.is_empty()
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += DELAY;
            self.deliver_due();
            for number in 0..self.nodes.len() {
                if self.nodes[number].up && self.now.is_multiple_of(POLL_PERIOD) {
                    self.poll(number);
                }
                if self.nodes[number].up && (self.now + 7 * MILLI * number as u64) % EXCHANGE_PERIOD < DELAY {
                    self.exchange(number);
                }
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Wire>, Vec<Wire>) =
            std::mem::take(&mut self.wires).into_iter().partition(|wire| wire.at <= now);
        self.wires = later;
        due.into_iter().for_each(|wire| self.deliver(wire));
    }

    fn deliver(&mut self, wire: Wire) {
        let node = &mut self.nodes[wire.to];
        let stale = wire.life.is_some_and(|life| life != node.life);
        if !node.up || stale || self.cut.contains(&(wire.from, wire.to)) {
            return;
        }
        match wire.message {
            Message::Request(request) => {
                let answer = node.replica.handle(self.now, request, &mut node.disk);
                let sender = (node.life, 0);
                let message = Message::Answer(wire.sender.1, answer);
                let (from, to, life) = (wire.to, wire.from, Some(wire.sender.0));
                self.wires.push(Wire { at: self.now + DELAY, from, to, life, sender, message });
            }
            Message::Answer(asked_at, answer) => {
                let outgoing = node.replica.answered(self.now, asked_at, answer, &mut node.disk);
                self.send(wire.to, outgoing);
            }
        }
        self.announce(wire.to);
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, request } in outgoing {
            let to = self.nodes.iter().position(|node| node.member.addr == to.addr).expect("a replica");
            let sender = (self.nodes[from].life, self.now);
            let message = Message::Request(request);
            self.wires.push(Wire { at: self.now + DELAY, from, to, life: None, sender, message });
        }
    }

    fn poll(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let outgoing = node.replica.poll(self.now, &mut node.disk);
        self.send(number, outgoing);
        self.announce(number);
    }

    fn announce(&mut self, number: usize) {
        if self.nodes[number].replica.take_announcement() {
            self.exchange(number);
        }
    }

    fn exchange(&mut self, number: usize) {
        let node = &self.nodes[number];
        let members = node.replica.members().into_iter().filter(|member| member.addr != node.member.addr);
        let request = node.replica.exchange();
        let outgoing = members.map(|to| Outgoing { to, request: request.clone() }).collect();
        self.send(number, outgoing);
    }

    /// Asks a replica for a change, and waits as callers do.
    pub fn propose(&mut self, number: usize, change: Change) -> Option<Proposed> {
        let ticket = self.begin_proposal(number, change)?;
        self.await_outcome(number, ticket)
    }

    pub fn begin_proposal(&mut self, number: usize, change: Change) -> Option<u64> {
        self.nodes[number].replica.propose(self.now, change, self.now + WAIT)
    }

    pub fn await_outcome(&mut self, number: usize, ticket: u64) -> Option<Proposed> {
        let until = self.now + WAIT;
        while self.now < until {
            if let Some(outcome) = self.nodes[number].replica.outcome(ticket) {
                return Some(outcome);
            }
            self.pass(POLL_PERIOD);
        }
        self.nodes[number].replica.withdraw(ticket);
        None
    }

    /// Reads the configuration at a replica, as callers do.
    pub fn read(&mut self, number: usize) -> Option<Option<ConfigVersion>> {
        let (since, until) = (self.now, self.now + WAIT);
        self.exchange(number);
        while self.now < until {
            if self.nodes[number].replica.is_current_since(self.now, since) {
                return Some(self.held(number));
            }
            self.pass(POLL_PERIOD);
        }
        None
    }

    /// What a replica knows to be decided.
    pub fn held(&self, number: usize) -> Option<ConfigVersion> {
        self.nodes[number].replica.state().config.as_ref().map(|config| config.version)
    }

    pub fn state(&self, number: usize) -> &State {
        self.nodes[number].replica.state()
    }

    /// Numbers of the replicas that vote, by what one of them holds.
    pub fn voters(&self, number: usize) -> Vec<usize> {
        let voters = &self.nodes[number].replica.membership().voters;
        let place = |voter: &StoreMember| self.nodes.iter().position(|node| node.member == *voter);
        voters.iter().filter_map(place).collect()
    }
}

fn replica(member: &StoreMember, record: Record, founds: bool) -> Replica {
    let founders = (0..FOUNDERS).map(|number| self::member(number, "", 0).addr);
    let founders = if founds { founders.collect() } else { Vec::new() };
    let plan = Plan { voters_min: FOUNDERS, ..Figures::default().plan };
    let seed = member.disk * 7_919;
    Replica::new(member.clone(), record, founders, Figures { plan, ..Figures::default() }, seed)
}

/// A replica's machine: `s0`, and so on.
pub fn member(number: usize, zone: &str, disk: u64) -> StoreMember {
    let addr = format!("10.0.0.{}:7601", number + 1).parse().expect("an address");
    StoreMember { name: format!("s{number}").into(), zone: zone.into(), addr, disk }
}

pub fn document(serial: u64, content: &str) -> ConfigDocument {
    let json = format!("{serial} {content}").into_bytes();
    ConfigDocument::new(serial, json)
}

pub fn config(serial: u64, content: &str) -> Change {
    Change::Config(document(serial, content))
}

pub fn drain(zone: &str, drained: bool) -> Change {
    Change::Drain { zone: zone.into(), drained }
}
