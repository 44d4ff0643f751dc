//! A core machine: a store and a registry, without sockets.

use crate::message::{Envelope, Message, NodeId};
use crate::platform::Platform;
use crate::process::Process;
use crate::{Defect, Micros, MILLI, SECOND};
use compact_str::format_compact;
use fastrand::Rng;
use hingestage_discovery::Follower;
use hingestage_registry::admission::{AdmissionSettings, Admissions};
use hingestage_registry::committed::CommittedState;
use hingestage_registry::directory::{Directory, DirectorySettings};
use hingestage_registry::reader_election::{ElectionSettings, ReaderElection};
use hingestage_registry::trials::TrialLog;
use hingestage_replication::{
    Disk as ReplicaDisk, OutgoingRequest, Record, Replica, ReplicaConfig, VoterPolicy,
};
use hingestage_rpc::messages::{
    Change, ConfigVersion, KnownVersions, ProcessId, Proposed, ProxyStatus, RegistryMember, StoreMember,
    Watched,
};
use hingestage_rpc::trials::TrialRecord;
use hingestage_rpc::workers::{ServiceIndex, WorkersVersion};
use std::net::{IpAddr, SocketAddr};

/// Ticks between store exchanges, registry heartbeats, admissions, and reads of the worker list.
const EXCHANGE_TICKS: u64 = 3;
const HEARTBEAT_TICKS: u64 = 5;
const ADMIT_TICKS: u64 = 5;
const READ_TICKS: u64 = 9;
/// Ticks between checks for due trial steps.
const STEP_TICKS: u64 = 3;
/// Timeout for a change to become durable.
const PROPOSE_TIMEOUT: Micros = 850 * MILLI;
/// How long contact with a majority counts as recent, for [`Defect::AckWithoutProposal`].
const CONTACT_LEASE: Micros = 2_500 * MILLI;
/// Delay of a disk sync with [`Defect::AckBeforeSync`].
const SYNC_DELAY: Micros = 40 * MILLI;
/// Timeout of a request for workers.
const SERVICES_TIMEOUT: Micros = 600 * MILLI;
/// Time within which a proxy must send its next watch.
const WATCH_INTERVAL_MAX: Micros = 800 * MILLI;

/// Id of proposals whose outcome is not checked.
pub(crate) const UNTRACKED_PROPOSAL: u64 = 0;
/// Number of founding stores.
const FOUNDERS: usize = 3;

/// Contents of a disk.
#[derive(Clone, Default)]
struct Disk {
    /// Id of the disk; none until a store has started on it.
    number: Option<u64>,
    founder: bool,
    record: Record,
    /// Writes that are lost if power fails before their sync time.
    unsynced: Vec<(Micros, Record)>,
}

impl Disk {
    fn sync(&mut self, now: Micros) {
        while self.unsynced.first().is_some_and(|(due, _)| *due <= now) {
            self.record = self.unsynced.remove(0).1;
        }
    }
}

/// Writes a replica's records to a disk.
struct Writer<'a> {
    disk: &'a mut Disk,
    now: Micros,
    defect: Option<Defect>,
}

impl ReplicaDisk for Writer<'_> {
    fn write(&mut self, record: &Record) -> std::io::Result<()> {
        match self.defect {
            Some(Defect::AckBeforeSync) => self.disk.unsynced.push((self.now + SYNC_DELAY, record.clone())),
            _ => self.disk.record = record.clone(),
        }
        Ok(())
    }
}

/// A proposal whose outcome is pending.
#[derive(Clone, Debug)]
pub(crate) struct PendingProposal {
    pub number: u64,
    pub ticket: u64,
    until: Micros,
}

/// A pending read of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub asked_at: Micros,
    since: Micros,
    until: Micros,
}

/// A simulated core machine.
pub(crate) struct CoreNode {
    pub process: Process,
    pub member: StoreMember,
    number: NodeId,
    cores: usize,
    defect: Option<Defect>,
    disk: Disk,
    pub replica: Replica,
    committed: CommittedState,
    pub reader_election: ReaderElection,
    pub workers: Follower,
    admissions: Admissions,
    directory: Directory,
    proposals: Vec<PendingProposal>,
    /// Outcomes that are known without a proposal, with [`Defect::AckWithoutProposal`].
    unproposed: Vec<(u64, Proposed)>,
    reads: Vec<PendingRead>,
    ticks: u64,
    /// Whether the machine was permanently removed.
    pub retired: bool,
}

/// Placement of the core machines.
pub(crate) struct Layout<'a> {
    /// Zones of all core machines, spares last.
    pub zones: &'a [&'a str],
    /// Number of machines that run from the start.
    pub present: usize,
}

impl CoreNode {
    pub fn new(number: NodeId, layout: &Layout, defect: Option<Defect>) -> CoreNode {
        let member = store_member(number, layout.zones[number], 0);
        let mut node = CoreNode {
            process: Process::default(),
            reader_election: ReaderElection::new(registry_member(&member, 0), ElectionSettings::default()),
            replica: Replica::new(member.clone(), Record::default(), Vec::new(), replica_config(), 1),
            member,
            number,
            cores: layout.zones.len(),
            defect,
            disk: Disk { founder: number < layout.present, ..Disk::default() },
            committed: committed_state(0, defect),
            workers: Follower::default(),
            admissions: Admissions::new(true, admission_settings(defect)),
            directory: Directory::new(DirectorySettings::default()),
            proposals: Vec::new(),
            unproposed: Vec::new(),
            reads: Vec::new(),
            ticks: 0,
            retired: false,
        };
        if number < layout.present {
            node.start(0, &[]);
            node.admissions = Admissions::new(true, admission_settings(defect));
        }
        node
    }

    /// Stops the process and discards unsynced writes.
    pub fn lose_power(&mut self, now: Micros) {
        self.disk.sync(now);
        self.disk.unsynced.clear();
        self.process.stop();
    }

    /// Erases the disk.
    pub fn wipe(&mut self) {
        let number = self.disk.number.filter(|_| self.defect == Some(Defect::EmptyDiskVotes));
        self.disk = Disk { number, ..Disk::default() };
    }

    /// Starts from the disk's contents. `seeds` are the initially known stores.
    pub fn start(&mut self, now: Micros, seeds: &[StoreMember]) {
        self.process.start(now);
        let incarnation = u64::from(self.process.incarnation);
        let number = *self.disk.number.get_or_insert((incarnation << 32) | (self.number as u64 + 1));
        self.member.disk = number;
        let founders = (0..FOUNDERS).map(|number| store_member(number, "", 0).addr);
        let founders = if self.disk.founder { founders.collect() } else { Vec::new() };
        let record = self.disk.record.clone();
        let seed = (incarnation << 8) | (self.number as u64 + 1);
        self.replica = Replica::new(self.member.clone(), record, founders, replica_config(), seed);
        self.replica.add_known_members(0, seeds);
        if self.disk.founder {
            let founders: Vec<StoreMember> =
                (0..FOUNDERS).map(|number| store_member(number, "", 0)).collect();
            self.replica.add_known_members(0, &founders);
        }
        self.committed = committed_state(self.process.incarnation, self.defect);
        let me = registry_member(&self.member, self.process.incarnation);
        self.reader_election = ReaderElection::new(me, ElectionSettings::default());
        self.workers = Follower::default();
        self.admissions = Admissions::new(false, admission_settings(self.defect));
        self.directory = Directory::new(DirectorySettings::default());
        self.proposals.clear();
        self.unproposed.clear();
        self.reads.clear();
    }

    /// Whether the machine runs unpaused or is not part of the system.
    pub fn is_healthy_or_absent(&self, now: Micros) -> bool {
        !self.is_active() || (self.process.up && !self.process.is_paused(now))
    }

    /// Whether the machine has started and was not removed.
    pub fn is_active(&self) -> bool {
        self.process.incarnation > 0 && !self.retired
    }

    /// Assigns the machine to a zone.
    pub fn set_zone(&mut self, zone: &str) {
        self.member.zone = zone.into();
    }

    /// Begins the handover before shutdown.
    pub fn begin_shutdown(&mut self) {
        self.replica.begin_handover();
    }

    pub fn is_shutdown_complete(&self, now: Micros) -> bool {
        self.replica.is_handover_complete(self.process.clock(now))
    }

    fn ask(&self, now: Micros, outgoing: Vec<OutgoingRequest>) -> Vec<Envelope> {
        let asked_at = self.process.clock(now);
        let envelope = |OutgoingRequest { to, request }: OutgoingRequest| {
            self.envelope(node_at(to.addr), None, Message::Store { asked_at, request })
        };
        outgoing.into_iter().map(envelope).collect()
    }

    /// Runs the replica's due work.
    fn poll(&mut self, now: Micros) -> Vec<Envelope> {
        let clock = self.process.clock(now);
        let mut writer = Writer { disk: &mut self.disk, now, defect: self.defect };
        let outgoing = self.replica.poll(clock, &mut writer);
        let mut sent = self.ask(now, outgoing);
        if self.replica.take_announcement() {
            sent.extend(self.exchange(now));
        }
        sent
    }

    /// Exchanges progress with all other known stores.
    fn exchange(&self, now: Micros) -> Vec<Envelope> {
        let members = self.replica.members().into_iter().filter(|member| member.name != self.member.name);
        let request = self.replica.exchange_request();
        self.ask(now, members.map(|to| OutgoingRequest { to, request: request.clone() }).collect())
    }

    /// Proposes a change; sends nothing while the replica is recovering.
    pub fn propose(&mut self, now: Micros, number: u64, change: Change) -> Vec<Envelope> {
        if self.replica.is_recovering() {
            return Vec::new();
        }
        let clock = self.process.clock(now);
        if self.defect == Some(Defect::AckWithoutProposal) && self.holds(clock, &change) {
            self.unproposed.push((number, Proposed::Durable));
            return Vec::new();
        }
        if let Some(ticket) = self.replica.propose(change, clock + PROPOSE_TIMEOUT) {
            self.proposals.push(PendingProposal { number, ticket, until: now + PROPOSE_TIMEOUT });
        }
        self.poll(now)
    }

    /// Whether a change leaves the decided state as it is, and a majority has confirmed that state.
    fn holds(&self, clock: Micros, change: &Change) -> bool {
        let mut state = self.replica.state().clone();
        state.apply(change);
        let confirmed = self.replica.current_as_of(clock).is_some_and(|at| clock < at + CONTACT_LEASE);
        confirmed && state == *self.replica.state()
    }

    /// Takes the outcomes of proposals by id, and withdraws those that timed out.
    pub fn take_outcomes(&mut self, now: Micros) -> Vec<(u64, Proposed)> {
        let mut outcomes = std::mem::take(&mut self.unproposed);
        for proposal in std::mem::take(&mut self.proposals) {
            match self.replica.take_outcome(proposal.ticket) {
                Some(outcome) => outcomes.push((proposal.number, outcome)),
                None if now < proposal.until => self.proposals.push(proposal),
                None => self.replica.withdraw(proposal.ticket),
            }
        }
        outcomes
    }

    /// Starts a read of the configuration.
    pub fn read(&mut self, now: Micros) -> Vec<Envelope> {
        let since = self.process.clock(now);
        self.reads.push(PendingRead { asked_at: now, since, until: now + PROPOSE_TIMEOUT });
        self.exchange(now)
    }

    /// Takes the reads that can be answered now, each with its result.
    pub fn take_read_results(&mut self, now: Micros) -> Vec<(PendingRead, Option<ConfigVersion>)> {
        let clock = self.process.clock(now);
        let version = self.replica.state().config.as_ref().map(|config| config.version);
        let skip_quorum = self.defect == Some(Defect::ReadWithoutContact);
        let (current, waiting): (Vec<PendingRead>, Vec<PendingRead>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|read| skip_quorum || self.replica.is_current_since(clock, read.since));
        self.reads = waiting.into_iter().filter(|read| now < read.until).collect();
        current.into_iter().map(|read| (read, version)).collect()
    }

    /// Runs periodic work and returns the messages to send.
    pub fn tick(&mut self, now: Micros, platform: &mut Platform, random: &mut Rng) -> Vec<Envelope> {
        let clock = self.process.clock(now);
        self.ticks += 1;
        self.disk.sync(now);
        let mut sent = self.poll(now);
        let updates = self.replica.updates_for(clock, &self.committed.summary);
        self.committed.apply(clock, clock, updates);
        self.directory.remove_expired(clock);
        self.reader_election.remove_expired(clock);
        if self.ticks.is_multiple_of(EXCHANGE_TICKS) {
            sent.extend(self.exchange(now));
        }
        if self.ticks.is_multiple_of(HEARTBEAT_TICKS) {
            self.broadcast(&mut sent, |node| Message::Meet {
                from: node.reader_election.local_member(clock),
                members: node.reader_election.members(clock),
                workers: node.workers.announced_version(),
                workers_seen: node.workers.seen_version(),
            });
        }
        if self.ticks.is_multiple_of(ADMIT_TICKS) {
            sent.extend(self.admit(now));
        }
        if self.ticks.is_multiple_of(STEP_TICKS) {
            sent.extend(self.announce_steps(now));
        }
        if self.ticks.is_multiple_of(READ_TICKS) && clock > SECOND / 2 {
            self.read_list(now, platform, random);
        }
        sent
    }

    fn broadcast(&self, sent: &mut Vec<Envelope>, message: impl Fn(&CoreNode) -> Message) {
        for to in (0..self.cores).filter(|to| *to != self.number) {
            sent.push(self.envelope(to, None, message(self)));
        }
    }

    fn envelope(&self, to: NodeId, to_incarnation: Option<u32>, message: Message) -> Envelope {
        Envelope {
            from: self.number,
            to,
            to_incarnation,
            from_incarnation: self.process.incarnation,
            message,
        }
    }

    fn admit(&mut self, now: Micros) -> Vec<Envelope> {
        let names = self.admissions.due_changes(self.process.clock(now), &self.committed.proxies);
        if names.is_empty() {
            return Vec::new();
        }
        self.propose(now, UNTRACKED_PROPOSAL, Change::Proxies(names))
    }

    /// Announces trial steps that are due by this machine's wall clock, if it is the elected reader.
    fn announce_steps(&mut self, now: Micros) -> Vec<Envelope> {
        if self.reader_election.fence().is_none() {
            return Vec::new();
        }
        let steps = self.committed.trials.steps_due(self.process.clock(now), self.process.wall_clock_ms(now));
        if steps.is_empty() {
            return Vec::new();
        }
        self.propose(now, UNTRACKED_PROPOSAL, Change::TrialSteps(steps))
    }

    /// Proposes trial terms.
    pub fn propose_terms(&mut self, now: Micros, record: TrialRecord) -> Vec<Envelope> {
        self.propose(now, UNTRACKED_PROPOSAL, Change::TrialTerms(record))
    }

    fn read_list(&mut self, now: Micros, platform: &mut Platform, random: &mut Rng) {
        let clock = self.process.clock(now);
        let Some(mut version) = self.reader_election.next_version(clock) else { return };
        if self.defect == Some(Defect::ReaderWithoutFence) {
            version = WorkersVersion { fence: 1, reader: 1, number: version.number };
        }
        let read = platform.read(now, random);
        self.reader_election.record_read(clock, read.is_some());
        if let Some(workers) = read {
            self.workers.apply_list(clock, version, workers);
            self.reader_election.observe_version(self.workers.announced_version());
        }
    }

    /// Handles a message and returns the messages to send.
    pub fn deliver(&mut self, now: Micros, envelope: Envelope) -> Vec<Envelope> {
        let clock = self.process.clock(now);
        let (from, incarnation) = (envelope.from, envelope.from_incarnation);
        let answer = match envelope.message {
            Message::Store { asked_at, request } => {
                let mut writer = Writer { disk: &mut self.disk, now, defect: self.defect };
                let answer = self.replica.handle_request(clock, request, &mut writer);
                let mut sent = self.poll(now);
                sent.push(self.envelope(from, Some(incarnation), Message::StoreAnswer { asked_at, answer }));
                return sent;
            }
            Message::StoreAnswer { asked_at, answer } => {
                let mut writer = Writer { disk: &mut self.disk, now, defect: self.defect };
                let outgoing = self.replica.handle_answer(clock, asked_at, answer, &mut writer);
                let mut sent = self.ask(now, outgoing);
                sent.extend(self.poll(now));
                return sent;
            }
            Message::Meet { from, members, workers, workers_seen } => {
                self.record_heartbeat(clock, from, members);
                self.reader_election.observe_version(workers_seen);
                Message::Met {
                    from: self.reader_election.local_member(clock),
                    members: self.reader_election.members(clock),
                    workers: self.workers.catalog().index_since(workers),
                }
            }
            Message::Met { from: member, members, workers } => {
                self.record_heartbeat(clock, member, members);
                return self.apply_index(clock, from, &workers);
            }
            Message::Watch { asked_at, status, have } => {
                Message::Watched { asked_at, update: Box::new(self.watch_answer(clock, status, have)) }
            }
            Message::FetchConfig => match self.committed.configs.newest() {
                Some(document) if self.committed.offered_version(clock).is_some() => {
                    Message::Config(document.clone())
                }
                _ => return Vec::new(),
            },
            Message::FetchServices(have) => {
                Message::Services(self.workers.catalog().updates_for(clock, &have))
            }
            Message::Services(updates) => {
                self.workers.apply_updates(clock, updates);
                self.reader_election.observe_version(self.workers.seen_version());
                return Vec::new();
            }
            Message::Watched { .. } | Message::Config(_) => return Vec::new(),
        };
        vec![self.envelope(from, Some(incarnation), answer)]
    }

    fn record_heartbeat(&mut self, clock: Micros, from: RegistryMember, members: Vec<RegistryMember>) {
        self.reader_election.record_heartbeat(clock, from);
        members.into_iter().for_each(|member| self.reader_election.add_candidate(member));
    }

    fn apply_index(&mut self, clock: Micros, from: NodeId, index: &ServiceIndex) -> Vec<Envelope> {
        self.reader_election.observe_version(index.version);
        self.workers.apply_index(clock, index);
        let asked = self.workers.next_requests(clock, clock + SERVICES_TIMEOUT, |_, _| true);
        if asked.is_empty() {
            return Vec::new();
        }
        vec![self.envelope(from, None, Message::FetchServices(asked))]
    }

    fn watch_answer(&mut self, clock: Micros, status: ProxyStatus, theirs: KnownVersions) -> Watched {
        let (name, zone) = (status.id.node.clone(), status.zone.clone());
        self.directory.heard(clock, status, WATCH_INTERVAL_MAX);
        self.reader_election.observe_version(theirs.workers_seen);
        self.admissions.observe(&name, &self.committed.proxies);
        let summary = &self.committed.summary;
        Watched {
            have: KnownVersions {
                config: self.committed.offered_version(clock),
                drains: summary.drains.clone(),
                workers: self.workers.catalog().version(),
                workers_seen: self.workers.seen_version(),
                directory: 0,
                trials: self.committed.trials.revision(),
            },
            trials: self.committed.trials.updates_since(clock, theirs.trials),
            services: self.workers.catalog().index_since(theirs.workers),
            directory: Some(self.directory.neighbors(clock, &zone).into_iter().cloned().collect()),
            fresh_age: self.committed.fresh_age(clock),
            members: self.committed.proxies.len() as u32,
            settled: self.committed.proxies.get(&name) == Some(&true),
            ..Watched::default()
        }
    }
}

fn committed_state(incarnation: u32, defect: Option<Defect>) -> CommittedState {
    let mut committed = CommittedState::new(incarnation.into());
    if defect == Some(Defect::StepWithoutNotice) {
        committed.trials = TrialLog::new(incarnation.into(), 0);
    }
    committed
}

fn admission_settings(defect: Option<Defect>) -> AdmissionSettings {
    let defaults = AdmissionSettings::default();
    let lease = if defect == Some(Defect::NewProxyAdmittedAtOnce) { 0 } else { defaults.lease };
    AdmissionSettings { lease, ..defaults }
}

pub(crate) fn core_name(number: NodeId) -> compact_str::CompactString {
    format_compact!("core-{number}")
}

/// Returns the index of the machine with a store's address.
fn node_at(addr: SocketAddr) -> NodeId {
    match addr.ip() {
        IpAddr::V4(ip) => ip.octets()[3].into(),
        IpAddr::V6(_) => NodeId::MAX,
    }
}

fn store_member(number: NodeId, zone: &str, disk: u64) -> StoreMember {
    let addr = ([10, 0, 0, number as u8], 7_601).into();
    StoreMember { name: core_name(number), zone: zone.into(), addr, disk }
}

fn replica_config() -> ReplicaConfig {
    let voter_policy = VoterPolicy { voters_min: FOUNDERS, ..ReplicaConfig::default().voter_policy };
    ReplicaConfig { voter_policy, ..ReplicaConfig::default() }
}

fn registry_member(store: &StoreMember, incarnation: u32) -> RegistryMember {
    let id = ProcessId { node: store.name.clone(), incarnation: u64::from(incarnation) };
    RegistryMember { id, zone: store.zone.clone(), addr: store.addr, reads_list: true }
}
