//! A simulated cluster of replicas on a virtual clock.
#![allow(dead_code)]

use hingestage_replication::{
    Disk, Micros, OutgoingRequest, Record, Replica, ReplicaConfig, State, VoterPolicy,
};
use hingestage_rpc::messages::{
    Change, ConfigDocument, ConfigVersion, PeerAnswer, PeerRequest, Proposed, StoreMember,
};
use std::collections::BTreeSet;
use std::io;

pub const MILLI: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// One-way delay of a message.
const DELAY: Micros = 2 * MILLI;
/// Period at which replicas are polled.
const POLL_PERIOD: Micros = 20 * MILLI;
/// Period at which replicas exchange their ballots and members.
const EXCHANGE_PERIOD: Micros = 300 * MILLI;
/// Timeout of a caller.
pub const CALL_TIMEOUT: Micros = 850 * MILLI;
/// How long contact with a majority counts as recent.
const CONTACT_LEASE: Micros = 2_500 * MILLI;
/// Number of initial voters.
pub const FOUNDERS: usize = 3;

/// A disk in memory.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    pub record: Record,
    /// Whether writes fail.
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

struct Envelope {
    at: Micros,
    from: usize,
    to: usize,
    /// Incarnation that an answer is addressed to.
    incarnation: Option<u32>,
    /// Incarnation of the sender, and when it sent the request.
    sender: (u32, Micros),
    message: Message,
}

pub struct Node {
    pub member: StoreMember,
    pub replica: Replica,
    pub disk: MemoryDisk,
    pub up: bool,
    incarnation: u32,
    is_founder: bool,
}

/// Replicas connected by a simulated network.
pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    blocked: BTreeSet<(usize, usize)>,
    last_disk: u64,
}

impl Cluster {
    /// Whether a majority of the voters confirmed a replica's decided state within the contact lease.
    pub fn has_recent_majority(&self, number: usize) -> bool {
        let as_of = self.nodes[number].replica.current_as_of(self.now);
        as_of.is_some_and(|moment| self.now < moment + CONTACT_LEASE)
    }

    /// Starts one replica per listed zone and lets the system bootstrap; the first three are the initial voters.
    pub fn new(zones: &[&str]) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            blocked: BTreeSet::new(),
            last_disk: 0,
        };
        for zone in zones {
            cluster.add(zone, true);
        }
        cluster.advance(2 * S);
        cluster
    }

    fn add(&mut self, zone: &str, is_founder: bool) -> usize {
        let number = self.nodes.len();
        self.last_disk += 1;
        let member = member(number, zone, self.last_disk);
        let (replica, disk) = (replica(&member, Record::default(), false), MemoryDisk::default());
        self.nodes.push(Node { member, replica, disk, up: true, incarnation: 0, is_founder });
        self.boot(number);
        number
    }

    /// Adds a new replica with an empty disk.
    pub fn join(&mut self, zone: &str) -> usize {
        self.add(zone, false)
    }

    fn boot(&mut self, number: usize) {
        let running: Vec<StoreMember> =
            self.nodes.iter().filter(|node| node.up).map(|node| node.member.clone()).collect();
        let node = &mut self.nodes[number];
        node.up = true;
        node.incarnation += 1;
        node.replica = replica(&node.member, node.disk.record.clone(), node.is_founder);
        let founders: Vec<StoreMember> = (0..FOUNDERS).map(|number| member(number, "", 0)).collect();
        node.replica.add_known_members(0, if node.is_founder { &founders } else { &running });
    }

    /// Starts a replica from its disk. All processes share the virtual clock.
    pub fn start(&mut self, number: usize) {
        self.boot(number);
    }

    pub fn stop(&mut self, number: usize) {
        self.nodes[number].up = false;
    }

    /// Stops a replica and replaces its disk by an empty one, so that it returns as a new member.
    pub fn wipe(&mut self, number: usize) {
        self.stop(number);
        self.last_disk += 1;
        let node = &mut self.nodes[number];
        node.disk = MemoryDisk::default();
        node.member.disk = self.last_disk;
        node.is_founder = false;
    }

    /// Partitions these replicas from all others.
    pub fn partition(&mut self, numbers: &[usize]) {
        for one in numbers {
            for other in (0..self.nodes.len()).filter(|other| !numbers.contains(other)) {
                self.blocked.extend([(*one, other), (other, *one)]);
            }
        }
    }

    /// Drops all messages from one replica to another.
    pub fn block_one_way(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    pub fn is_partitioned(&self) -> bool {
        !self.blocked.is_empty()
    }

    /// Advances the virtual clock.
    pub fn advance(&mut self, span: Micros) {
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
        let (due, later): (Vec<Envelope>, Vec<Envelope>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|envelope| envelope.at <= now);
        self.in_flight = later;
        due.into_iter().for_each(|envelope| self.deliver(envelope));
    }

    fn deliver(&mut self, envelope: Envelope) {
        let node = &mut self.nodes[envelope.to];
        let stale = envelope.incarnation.is_some_and(|incarnation| incarnation != node.incarnation);
        if !node.up || stale || self.blocked.contains(&(envelope.from, envelope.to)) {
            return;
        }
        match envelope.message {
            Message::Request(request) => {
                let answer = node.replica.handle_request(self.now, request, &mut node.disk);
                let sender = (node.incarnation, 0);
                let message = Message::Answer(envelope.sender.1, answer);
                let (from, to, incarnation) = (envelope.to, envelope.from, Some(envelope.sender.0));
                self.in_flight.push(Envelope {
                    at: self.now + DELAY,
                    from,
                    to,
                    incarnation,
                    sender,
                    message,
                });
            }
            Message::Answer(asked_at, answer) => {
                let outgoing = node.replica.handle_answer(self.now, asked_at, answer, &mut node.disk);
                self.send(envelope.to, outgoing);
            }
        }
        self.announce(envelope.to);
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingRequest>) {
        for OutgoingRequest { to, request } in outgoing {
            let to = self.nodes.iter().position(|node| node.member.addr == to.addr).expect("a replica");
            let sender = (self.nodes[from].incarnation, self.now);
            let message = Message::Request(request);
            self.in_flight.push(Envelope {
                at: self.now + DELAY,
                from,
                to,
                incarnation: None,
                sender,
                message,
            });
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
        let request = node.replica.exchange_request();
        let outgoing = members.map(|to| OutgoingRequest { to, request: request.clone() }).collect();
        self.send(number, outgoing);
    }

    /// Proposes a change and waits for its outcome until the caller's timeout.
    pub fn propose(&mut self, number: usize, change: Change) -> Option<Proposed> {
        let ticket = self.submit(number, change)?;
        self.await_outcome(number, ticket)
    }

    pub fn submit(&mut self, number: usize, change: Change) -> Option<u64> {
        self.nodes[number].replica.propose(change, self.now + CALL_TIMEOUT)
    }

    pub fn await_outcome(&mut self, number: usize, ticket: u64) -> Option<Proposed> {
        let until = self.now + CALL_TIMEOUT;
        while self.now < until {
            if let Some(outcome) = self.nodes[number].replica.take_outcome(ticket) {
                return Some(outcome);
            }
            self.advance(POLL_PERIOD);
        }
        self.nodes[number].replica.withdraw(ticket);
        None
    }

    /// Reads the configuration at a replica; `None` if the read times out.
    pub fn read(&mut self, number: usize) -> Option<Option<ConfigVersion>> {
        let (since, until) = (self.now, self.now + CALL_TIMEOUT);
        self.exchange(number);
        while self.now < until {
            if self.nodes[number].replica.is_current_since(self.now, since) {
                return Some(self.decided_config(number));
            }
            self.advance(POLL_PERIOD);
        }
        None
    }

    /// The decided configuration known at a replica.
    pub fn decided_config(&self, number: usize) -> Option<ConfigVersion> {
        self.nodes[number].replica.state().config.as_ref().map(|config| config.version)
    }

    pub fn state(&self, number: usize) -> &State {
        self.nodes[number].replica.state()
    }

    /// The voters according to one replica.
    pub fn voters(&self, number: usize) -> Vec<usize> {
        let voters = &self.nodes[number].replica.membership().voters;
        let index_of = |voter: &StoreMember| self.nodes.iter().position(|node| node.member == *voter);
        voters.iter().filter_map(index_of).collect()
    }
}

fn replica(member: &StoreMember, record: Record, is_founder: bool) -> Replica {
    let founders = (0..FOUNDERS).map(|number| self::member(number, "", 0).addr);
    let founders = if is_founder { founders.collect() } else { Vec::new() };
    let voter_policy = VoterPolicy { voters_min: FOUNDERS, ..ReplicaConfig::default().voter_policy };
    let seed = member.disk * 7_919;
    Replica::new(
        member.clone(),
        record,
        founders,
        ReplicaConfig { voter_policy, ..ReplicaConfig::default() },
        seed,
    )
}

/// The member on machine `s{number}`.
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
