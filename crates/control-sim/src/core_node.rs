//! A core machine: a store and a registry, without their sockets.

use crate::message::{Envelope, Message, NodeId};
use crate::platform::Platform;
use crate::process::Process;
use crate::{Defect, Micros, MILLI, SECOND};
use compact_str::format_compact;
use fastrand::Rng;
use hingestage_discovery::Follower;
use hingestage_registry::admission::{self, Admissions};
use hingestage_registry::directory::{self, Directory};
use hingestage_registry::duty::{self, Duty};
use hingestage_registry::trials::TrialLog;
use hingestage_registry::watch::InForce;
use hingestage_replication::{Replica, State};
use hingestage_rpc::messages::{
    Change, ConfigDocument, ConfigVersion, Have, ProcessId, ProxyStatus, RegistryMember, StoreMember, Update,
    Watched,
};
use hingestage_rpc::trials::TrialRecord;
use hingestage_rpc::workers::{ServiceIndex, WorkersVersion};

/// Ticks between exchanges of stores, meetings of registries, admissions, and reads of the list.
const EXCHANGE_TICKS: u64 = 3;
const MEET_TICKS: u64 = 5;
const ADMIT_TICKS: u64 = 5;
const READ_TICKS: u64 = 9;
/// The same between looks for steps of trials that are due.
const STEP_TICKS: u64 = 3;
/// How long a caller waits for a change to become durable.
const PROPOSE_WAIT: Micros = 850 * MILLI;
/// How long a write takes to reach the disk, where it is acknowledged before.
const LATE_SYNC: Micros = 40 * MILLI;
/// How long an answer about workers is awaited.
const SERVICES_WITHIN: Micros = 600 * MILLI;
/// When a proxy is to tell again.
const WATCH_WITHIN: Micros = 800 * MILLI;

/// What a disk holds.
#[derive(Clone, Default)]
struct Disk {
    state: State,
    members: Vec<StoreMember>,
    /// Whether a store has run on it.
    begun: bool,
    /// Written, and lost where power goes before this moment.
    unsynced: Vec<(Micros, Update)>,
}

impl Disk {
    fn sync(&mut self, now: Micros) {
        let (done, left) = std::mem::take(&mut self.unsynced).into_iter().partition(|(due, _)| *due <= now);
        self.unsynced = left;
        let done: Vec<(Micros, Update)> = done;
        done.into_iter().for_each(|(_, update)| self.state.apply(update));
    }
}

/// A core machine.
pub(crate) struct CoreNode {
    pub process: Process,
    pub member: StoreMember,
    number: NodeId,
    cores: usize,
    defect: Option<Defect>,
    disk: Disk,
    pub replica: Replica,
    in_force: InForce,
    pub duty: Duty,
    pub workers: Follower,
    admissions: Admissions,
    directory: Directory,
    /// Changes that a caller waits for, and until when.
    proposals: Vec<(Micros, Update)>,
    ticks: u64,
}

impl CoreNode {
    pub fn new(number: NodeId, zones: &[&str], defect: Option<Defect>) -> CoreNode {
        let member = store_member(number, zones[number]);
        let members: Vec<StoreMember> =
            zones.iter().enumerate().map(|(number, zone)| store_member(number, zone)).collect();
        let disk = Disk { members: members.clone(), begun: true, ..Disk::default() };
        let replica = Replica::new(member.clone(), State::default(), members, false, Default::default());
        let mut node = CoreNode {
            process: Process::default(),
            duty: Duty::new(registry_member(&member, 0), duty::Figures::default()),
            member,
            number,
            cores: zones.len(),
            defect,
            disk,
            replica,
            in_force: in_force(0, defect),
            workers: Follower::default(),
            admissions: Admissions::new(true, admission_figures(defect)),
            directory: Directory::new(directory::Figures::default()),
            proposals: Vec::new(),
            ticks: 0,
        };
        node.process.start(0);
        node
    }

    /// The machine has lost power; what is not on its disk is gone.
    pub fn lose_power(&mut self, now: Micros) {
        self.disk.sync(now);
        self.disk.unsynced.clear();
        self.process.stop();
    }

    /// Its disk is lost as well.
    pub fn wipe(&mut self) {
        self.disk = Disk::default();
    }

    /// Starts on what the disk holds.
    pub fn start(&mut self, now: Micros) {
        self.process.start(now);
        let recovering = !self.disk.begun && self.defect != Some(Defect::EmptyDiskVotes);
        let (state, members) = (self.disk.state.clone(), self.disk.members.clone());
        self.replica = Replica::new(self.member.clone(), state, members, recovering, Default::default());
        self.in_force = in_force(self.process.life, self.defect);
        let me = registry_member(&self.member, self.process.life);
        self.duty = Duty::new(me, duty::Figures::default());
        self.workers = Follower::default();
        self.admissions = Admissions::new(false, admission_figures(self.defect));
        self.directory = Directory::new(directory::Figures::default());
        self.proposals.clear();
    }

    pub fn is_whole(&self, now: Micros) -> bool {
        self.process.up && !self.process.is_frozen(now) && !self.replica.recovering()
    }

    fn take_in(&mut self, now: Micros, update: Update) {
        if !self.replica.is_news(&update) {
            return;
        }
        if self.defect == Some(Defect::AckBeforeSync) {
            self.disk.unsynced.push((now + LATE_SYNC, update.clone()));
        } else {
            self.disk.state.apply(update.clone());
        }
        self.replica.adopt(self.process.clock(now), update);
    }

    /// An operator hands a configuration over.
    pub fn propose(&mut self, now: Micros, document: ConfigDocument) {
        if self.replica.recovering() {
            return;
        }
        let update = self.replica.update_for(Change::Config(document));
        self.take_in(now, update.clone());
        self.proposals.push((now + PROPOSE_WAIT, update));
    }

    /// Versions that this machine acknowledges now.
    pub fn acknowledged(&mut self, now: Micros) -> Vec<ConfigVersion> {
        let clock = self.process.clock(now);
        let replica = &self.replica;
        let (durable, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.proposals)
            .into_iter()
            .partition(|(_, update)| replica.is_durable(clock, update));
        self.proposals = waiting.into_iter().filter(|(until, _)| now < *until).collect();
        let versions = durable.into_iter().filter_map(|(_, update)| match update {
            Update::Config(document) => Some(document.version),
            _ => None,
        });
        versions.collect()
    }

    /// A moment has passed.
    pub fn tick(&mut self, now: Micros, platform: &mut Platform, random: &mut Rng) -> Vec<Envelope> {
        let clock = self.process.clock(now);
        self.ticks += 1;
        self.disk.sync(now);
        if !self.replica.recovering() {
            self.disk.begun = true;
            self.disk.members = self.replica.members();
        }
        let news = self.replica.news(clock, &self.in_force.summary);
        self.in_force.take(clock, clock, news);
        self.directory.tidy(clock);
        self.duty.tidy(clock);
        let mut sent = Vec::new();
        if self.ticks.is_multiple_of(EXCHANGE_TICKS) {
            self.to_other_cores(&mut sent, |node| Message::Exchange {
                asked_at: clock,
                from: node.member.clone(),
                summary: node.replica.summary(),
                members: node.replica.members(),
            });
        }
        if self.ticks.is_multiple_of(MEET_TICKS) {
            self.to_other_cores(&mut sent, |node| Message::Meet {
                from: node.duty.me(clock),
                members: node.duty.members(clock),
                workers: node.workers.told_version(),
                workers_seen: node.workers.seen_version(),
            });
        }
        if self.ticks.is_multiple_of(ADMIT_TICKS) {
            self.admit(now);
        }
        if self.ticks.is_multiple_of(STEP_TICKS) {
            self.announce_steps(now);
        }
        if self.ticks.is_multiple_of(READ_TICKS) && clock > SECOND / 2 {
            self.read_list(now, platform, random);
        }
        sent
    }

    fn to_other_cores(&self, sent: &mut Vec<Envelope>, message: impl Fn(&CoreNode) -> Message) {
        for to in (0..self.cores).filter(|to| *to != self.number) {
            sent.push(self.envelope(to, None, message(self)));
        }
    }

    fn envelope(&self, to: NodeId, to_life: Option<u32>, message: Message) -> Envelope {
        Envelope { from: self.number, to, to_life, from_life: self.process.life, message }
    }

    fn admit(&mut self, now: Micros) {
        let names = self.admissions.due(self.process.clock(now), &self.in_force.proxies);
        if !names.is_empty() && !self.replica.recovering() {
            let update = self.replica.update_for(Change::Proxies(names));
            self.take_in(now, update);
        }
    }

    /// Announces steps of trials that are due by this machine's time of day, where it has the duty.
    fn announce_steps(&mut self, now: Micros) {
        if self.duty.fence().is_none() || self.replica.recovering() {
            return;
        }
        let steps = self.in_force.trials.steps_due(self.process.clock(now), self.process.time_of_day(now));
        if !steps.is_empty() {
            let update = self.replica.update_for(Change::TrialSteps(steps));
            self.take_in(now, update);
        }
    }

    /// An operator hands terms of a trial over.
    pub fn propose_terms(&mut self, now: Micros, record: TrialRecord) {
        if !self.replica.recovering() {
            let update = self.replica.update_for(Change::TrialTerms(record));
            self.take_in(now, update);
        }
    }

    fn read_list(&mut self, now: Micros, platform: &mut Platform, random: &mut Rng) {
        let clock = self.process.clock(now);
        let Some(mut version) = self.duty.read_under(clock) else { return };
        if self.defect == Some(Defect::DutyWithoutFence) {
            version = WorkersVersion { fence: 1, reader: 1, number: version.number };
        }
        let read = platform.read(now, random);
        self.duty.has_read(clock, read.is_some());
        if let Some(workers) = read {
            self.workers.read(clock, version, workers);
            self.duty.saw(self.workers.told_version());
        }
    }

    /// A message has come.
    pub fn deliver(&mut self, now: Micros, envelope: Envelope) -> Vec<Envelope> {
        let clock = self.process.clock(now);
        let (from, life) = (envelope.from, envelope.from_life);
        let answer = match envelope.message {
            Message::Exchange { asked_at, from, summary, mut members } => {
                let name = from.name.clone();
                members.push(from);
                self.replica.meet(members);
                self.replica.told(&name, summary);
                let (summary, members) = (self.replica.summary(), self.replica.members());
                Message::Exchanged { asked_at, summary, members }
            }
            Message::Replicate { asked_at, update } => {
                self.take_in(now, update);
                Message::Replicated { asked_at, summary: self.replica.summary() }
            }
            Message::Exchanged { asked_at, summary, members } => {
                self.replica.meet(members);
                return self.heard_store(clock, from, asked_at, summary);
            }
            Message::Replicated { asked_at, summary } => {
                // Trials that are still missing there go out after the next exchange: the other side may have more of
                // them, and would be handed the same again with each answer.
                let mut sent = self.heard_store(clock, from, asked_at, summary);
                sent.retain(|envelope| !envelope.message.is_trials());
                return sent;
            }
            Message::Meet { from, members, workers, workers_seen } => {
                self.met(clock, from, members);
                self.duty.saw(workers_seen);
                Message::Met {
                    from: self.duty.me(clock),
                    members: self.duty.members(clock),
                    workers: self.workers.catalog().index_since(workers),
                }
            }
            Message::Met { from: member, members, workers } => {
                self.met(clock, member, members);
                return self.follow(clock, from, &workers);
            }
            Message::Watch { asked_at, status, have } => {
                Message::Watched { asked_at, news: Box::new(self.watched(clock, status, have)) }
            }
            Message::FetchConfig => match self.in_force.configs.newest() {
                Some(document) => Message::Config(document.clone()),
                None => return Vec::new(),
            },
            Message::FetchServices(have) => Message::Services(self.workers.catalog().news(clock, &have)),
            Message::Services(updates) => {
                self.workers.take(clock, updates);
                self.duty.saw(self.workers.seen_version());
                return Vec::new();
            }
            Message::Watched { .. } | Message::Config(_) => return Vec::new(),
        };
        vec![self.envelope(from, Some(life), answer)]
    }

    fn heard_store(
        &mut self,
        clock: Micros,
        from: NodeId,
        asked_at: Micros,
        summary: hingestage_rpc::messages::Summary,
    ) -> Vec<Envelope> {
        let name = core_name(from);
        self.replica.heard(clock, &name, asked_at, summary);
        let missing = self.replica.missing_at(&name).into_iter();
        missing
            .map(|update| self.envelope(from, None, Message::Replicate { asked_at: clock, update }))
            .collect()
    }

    fn met(&mut self, clock: Micros, from: RegistryMember, members: Vec<RegistryMember>) {
        self.duty.heard(clock, from);
        members.into_iter().for_each(|member| self.duty.told_of(member));
    }

    fn follow(&mut self, clock: Micros, from: NodeId, index: &ServiceIndex) -> Vec<Envelope> {
        self.duty.saw(index.version);
        self.workers.told(clock, index);
        let asked = self.workers.ask(clock, clock + SERVICES_WITHIN, |_, _| true);
        if asked.is_empty() {
            return Vec::new();
        }
        vec![self.envelope(from, None, Message::FetchServices(asked))]
    }

    fn watched(&mut self, clock: Micros, status: ProxyStatus, theirs: Have) -> Watched {
        let (name, zone) = (status.id.node.clone(), status.zone.clone());
        self.directory.heard(clock, status, WATCH_WITHIN);
        self.duty.saw(theirs.workers_seen);
        self.admissions.heard(&name, &self.in_force.proxies);
        let freshness = self.in_force.freshness;
        let summary = &self.in_force.summary;
        Watched {
            have: Have {
                config: summary.config,
                drains: summary.drains.clone(),
                workers: self.workers.catalog().version(),
                workers_seen: self.workers.seen_version(),
                directory: 0,
                trials: self.in_force.trials.revision(),
            },
            trials: self.in_force.trials.since(clock, theirs.trials),
            services: self.workers.catalog().index_since(theirs.workers),
            directory: Some(self.directory.neighbors(clock, &zone).into_iter().cloned().collect()),
            fresh_age: freshness.age(clock).map(|age| age / MILLI + 1),
            members: self.in_force.proxies.len() as u32,
            settled: self.in_force.proxies.get(&name) == Some(&true),
            ..Watched::default()
        }
    }
}

fn in_force(life: u32, defect: Option<Defect>) -> InForce {
    let mut in_force = InForce::new(life.into());
    if defect == Some(Defect::StepWithoutNotice) {
        in_force.trials = TrialLog::new(life.into(), 0);
    }
    in_force
}

fn admission_figures(defect: Option<Defect>) -> admission::Figures {
    let figures = admission::Figures::default();
    let lease = if defect == Some(Defect::NewcomerAtOnce) { 0 } else { figures.lease };
    admission::Figures { lease, ..figures }
}

pub(crate) fn core_name(number: NodeId) -> compact_str::CompactString {
    format_compact!("core-{number}")
}

fn store_member(number: NodeId, zone: &str) -> StoreMember {
    let addr = ([10, 0, 0, number as u8], 7_601).into();
    StoreMember { name: core_name(number), zone: zone.into(), addr }
}

fn registry_member(store: &StoreMember, life: u32) -> RegistryMember {
    let id = ProcessId { node: store.name.clone(), incarnation: u64::from(life) };
    RegistryMember { id, zone: store.zone.clone(), addr: store.addr, reads_list: true }
}
