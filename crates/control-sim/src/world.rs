//! Event loop of a run on a virtual clock.

use crate::core_node::{CoreNode, Layout, UNTRACKED_PROPOSAL};
use crate::faults::{self, Direction, Fault, Size, FAULTS_FROM, FAULTS_UNTIL};
use crate::invariants::{InvariantChecker, Violation};
use crate::message::{Envelope, NodeId};
use crate::platform::Platform;
use crate::process::Process;
use crate::proxy_node::ProxyNode;
use crate::{Defect, Micros, MILLI, SECOND};
use fastrand::Rng;
use hingestage_replication::digest;
use hingestage_rpc::messages::{Change, ConfigDocument, ConfigVersion, Proposed, StoreMember};
use hingestage_rpc::trials::{TrialPosition, TrialRecord};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

const TICK: Micros = 100 * MILLI;
const CHECK_PERIOD: Micros = 50 * MILLI;
/// All faults are over by this time.
pub(crate) const FAULTS_HEALED_AT: Micros = FAULTS_UNTIL + 3 * SECOND;
/// Operators and platform make no changes after this time.
pub(crate) const CHANGES_END_AT: Micros = FAULTS_HEALED_AT + 15 * SECOND;
const RUN_END_AT: Micros = CHANGES_END_AT + 30 * SECOND;
/// How long all core machines must be healthy before another disk may be lost.
const STABLE_AFTER: Micros = 4 * SECOND;
/// Initial wall clock offset, so that the clock can also jump back.
const WALL_OFFSET_INITIAL: Micros = 9 * SECOND;
/// Proxies start within this time.
const START_JITTER_MAX: Micros = 300 * MILLI;
/// One change in this many is made by two operators concurrently.
const RACE_ONE_IN: u32 = 6;
/// Frequencies of resent documents, reads, and drain changes.
const RESEND_ONE_IN: u32 = 4;
const READ_ONE_IN: u32 = 2;
const DRAIN_ONE_IN: u32 = 4;
/// Time between two configurations, and the same where operators repeat orders: a later change would overtake a lost one.
const CHANGE_PAUSE: Range<Micros> = 900 * MILLI..2 * SECOND;
const RARE_CHANGE_PAUSE: Range<Micros> = 4 * SECOND..9 * SECOND;
/// Share of the drawn faults that happen beside lost orders.
const FAULT_BESIDE_ORDERS_ONE_IN: u32 = 4;
/// Time within which a core machine that handles a lost order loses power, and how long it is down.
const LOST_ORDER_MAX: Micros = 150 * MILLI;
const LOST_ORDER_DOWN: Range<Micros> = 1_500 * MILLI..3 * SECOND;
/// Time from a lost order to the one that the operator decides for, and to the next lost order.
const REPEAT_AFTER: Range<Micros> = SECOND..1_400 * MILLI;
const LOST_ORDER_PAUSE: Range<Micros> = 3 * SECOND..6 * SECOND;
/// Zones that operators drain.
const DRAINED_ZONES: [&str; 2] = ["a", "b"];
/// Core machines that can replace others.
const SPARE_CORES: usize = 4;
/// Time between the removal of a machine and the start of its successor, in either order.
const SUCCESSION_GAP: Micros = SECOND;
/// Shutdown timeout of a core machine.
const SHUTDOWN_TIMEOUT: Micros = 2 * SECOND;

/// Tenants with trials.
pub(crate) const TENANTS: [&str; 6] = ["trial-a", "trial-b", "trial-c", "trial-d", "trial-e", "trial-f"];
/// Longest time from setting terms to the trial's end, in milliseconds.
const TRIAL_END_MAX_MS: u64 = 12_000;

enum Event {
    Deliver(Box<Envelope>),
    Tick(NodeId, u32),
    Start(NodeId),
    Fault(Fault),
    /// A new core machine replaces another.
    StartSuccessor {
        core: NodeId,
        successor: NodeId,
    },
    /// A core machine begins its shutdown.
    BeginShutdown(NodeId),
    /// A core machine stops once its handover is complete or the timeout has passed.
    FinishShutdown {
        core: NodeId,
        until: Micros,
    },
    Operator,
    /// An operator changes a zone's order at a core machine that loses power.
    LostOrder,
    /// The operator decides for the order that holds, and sends it again.
    RepeatOrder {
        zone: &'static str,
        drained: bool,
    },
    Terms,
    Platform,
    Check,
}

struct Queued {
    at: Micros,
    sequence: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Links that drop all messages.
struct Cut {
    from: Vec<NodeId>,
    to: Vec<NodeId>,
    until: Micros,
}

/// A change that an operator requested.
#[derive(Clone, Copy, Debug)]
enum OperatorChange {
    Config(ConfigVersion),
    Drain { zone: &'static str, order: usize, drained: bool },
}

/// A power loss of all core machines.
struct PowerLoss {
    /// Whether the acknowledging machine loses its disk.
    wipe: bool,
    down: Micros,
}

/// Result of a run without violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of events.
    pub events: u64,
    /// Number of acknowledged configurations.
    pub acknowledged: usize,
    /// Digest of the events; equal for equal seeds and options.
    pub digest: u64,
}

struct World {
    now: Micros,
    random: Rng,
    size: Size,
    queue: BinaryHeap<Reverse<Queued>>,
    queued: u64,
    cores: Vec<CoreNode>,
    proxies: Vec<ProxyNode>,
    zones: Vec<usize>,
    cuts: Vec<Cut>,
    platform: Platform,
    invariants: InvariantChecker,
    serial: u64,
    terms_version: u64,
    /// Since when all core machines have been healthy.
    healthy_since: Micros,
    /// Power loss to inject at the next acknowledgement.
    power_loss_after_ack: Option<PowerLoss>,
    /// Whether a disk was lost since all core machines were last healthy for [`STABLE_AFTER`].
    disk_lost: bool,
    /// Requested changes by proposal id.
    operator_changes: BTreeMap<u64, OperatorChange>,
    last_document: Option<ConfigDocument>,
    repeated_orders: bool,
    defect: Option<Defect>,
    events: u64,
    digest: u64,
    trace: TraceSink,
}

/// Receives the time and description of each notable event.
type TraceSink = Box<dyn Fn(Micros, &str)>;

/// Options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// A defect to plant.
    pub defect: Option<Defect>,
    /// Whether operators set trial terms.
    pub trials: bool,
    /// Whether operators repeat drain orders after a lost one, and send few configurations.
    pub repeated_orders: bool,
}

/// Runs the simulation of a seed.
///
/// # Errors
/// Returns the first invariant violation.
pub fn run_seed(seed: u64, options: Options) -> Result<RunSummary, Violation> {
    run_seed_traced(seed, options, |_, _| {})
}

/// Runs the simulation of a seed and reports faults, starts and acknowledgements as they happen.
///
/// # Errors
/// Returns the first invariant violation.
pub fn run_seed_traced(
    seed: u64,
    options: Options,
    trace: impl Fn(Micros, &str) + 'static,
) -> Result<RunSummary, Violation> {
    let mut world = World::new(seed, options, Box::new(trace));
    let result = world.run();
    let summary = RunSummary {
        events: world.events,
        acknowledged: world.invariants.acknowledgements(),
        digest: world.digest,
    };
    result.map(|()| summary).map_err(|what| Violation { seed, at: world.now, what })
}

impl World {
    fn new(seed: u64, options: Options, trace: TraceSink) -> World {
        let defect = options.defect;
        let mut random = Rng::with_seed(seed);
        // Two layouts: three core machines in two zones, and four in as many.
        let core_zones: &[&str] = if random.bool() { &["a", "a", "b"] } else { &["a", "b", "c", "d"] };
        let zones = 2 + random.usize(..3);
        let present_cores = core_zones.len();
        let core_zones: Vec<&str> = core_zones.iter().copied().chain(["a"; SPARE_CORES]).collect();
        let size = Size {
            cores: core_zones.len(),
            present_cores,
            proxies: 3 + random.usize(..5),
            joining: random.usize(..3),
            zones,
        };
        let names = ["a", "b", "c", "d"];
        let layout = Layout { zones: &core_zones, present: present_cores };
        let cores = (0..size.cores).map(|number| CoreNode::new(number, &layout, defect)).collect();
        let proxies = (size.cores..size.nodes())
            .map(|number| ProxyNode::new(number, size.cores, names[number % zones], defect))
            .collect();
        let zone_of_core = |zone: &&str| names.iter().position(|name| name == zone).unwrap_or_default();
        let zones_of_cores = core_zones.iter().map(zone_of_core);
        let zones_of_proxies = (size.cores..size.nodes()).map(|number| number % zones);
        let mut world = World {
            now: 0,
            zones: zones_of_cores.chain(zones_of_proxies).collect(),
            size,
            queue: BinaryHeap::new(),
            queued: 0,
            cores,
            proxies,
            cuts: Vec::new(),
            platform: Platform::new(),
            invariants: InvariantChecker::default(),
            serial: 0,
            terms_version: 1,
            healthy_since: 0,
            power_loss_after_ack: None,
            disk_lost: false,
            operator_changes: BTreeMap::new(),
            last_document: None,
            repeated_orders: options.repeated_orders,
            defect,
            events: 0,
            digest: 0,
            trace,
            random,
        };
        world.schedule_initial_events();
        if options.trials {
            world.push(3 * SECOND, Event::Terms);
        }
        if options.repeated_orders {
            world.push(FAULTS_FROM, Event::LostOrder);
        }
        world
    }

    fn schedule_initial_events(&mut self) {
        for core in 0..self.size.present_cores {
            let at = self.random.u64(..TICK);
            self.push(at, Event::Tick(core, self.cores[core].process.incarnation));
        }
        for proxy in self.size.cores..self.size.cores + self.size.proxies {
            let at = self.random.u64(..START_JITTER_MAX);
            self.push(at, Event::Start(proxy));
        }
        for node in 0..self.size.nodes() {
            self.process_mut(node).wall_offset = WALL_OFFSET_INITIAL;
        }
        for (at, fault) in faults::draw(&mut self.random, &self.size) {
            let joins = matches!(fault, Fault::Join { .. });
            if joins || !self.repeated_orders || self.random.u32(..FAULT_BESIDE_ORDERS_ONE_IN) == 0 {
                self.push(at, Event::Fault(fault));
            }
        }
        self.push(SECOND, Event::Operator);
        self.push(2 * SECOND, Event::Platform);
        self.push(0, Event::Check);
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse(Queued { at, sequence: self.queued, event }));
    }

    fn process(&self, node: NodeId) -> &Process {
        match node.checked_sub(self.size.cores) {
            Some(proxy) => &self.proxies[proxy].process,
            None => &self.cores[node].process,
        }
    }

    fn process_mut(&mut self, node: NodeId) -> &mut Process {
        match node.checked_sub(self.size.cores) {
            Some(proxy) => &mut self.proxies[proxy].process,
            None => &mut self.cores[node].process,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > RUN_END_AT {
                break;
            }
            self.now = next.at;
            self.events += 1;
            self.digest = digest(&[self.digest, self.now, self.queued].map(u64::to_le_bytes).concat());
            self.handle_event(next.event)?;
        }
        self.invariants.check_end(self.now, &self.cores, &mut self.proxies, &self.platform)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Deliver(envelope) => return self.deliver(*envelope),
            Event::Tick(node, incarnation) => return self.tick(node, incarnation),
            Event::Start(node) => self.start(node),
            Event::StartSuccessor { core, successor } => self.start_successor(core, successor),
            Event::BeginShutdown(core) => self.begin_shutdown(core),
            Event::FinishShutdown { core, until } => self.finish_shutdown(core, until),
            Event::Fault(fault) => self.inject_fault(fault),
            Event::Operator => self.run_operator(),
            Event::LostOrder => self.send_lost_order(),
            Event::RepeatOrder { zone, drained } => self.send_drain(zone, drained),
            Event::Terms => self.set_terms(),
            Event::Platform => self.change_platform(),
            Event::Check => {
                self.update_healthy_since();
                self.push(self.now + CHECK_PERIOD, Event::Check);
                return self.invariants.check(self.now, &self.cores, &mut self.proxies);
            }
        }
        Ok(())
    }

    fn deliver(&mut self, envelope: Envelope) -> Result<(), String> {
        let process = *self.process(envelope.to);
        if !process.up
            || envelope.to_incarnation.is_some_and(|incarnation| incarnation != process.incarnation)
            || self.is_cut(&envelope)
        {
            return Ok(());
        }
        if process.is_paused(self.now) {
            self.push(process.paused_until, Event::Deliver(Box::new(envelope)));
            return Ok(());
        }
        let sent = match envelope.to.checked_sub(self.size.cores) {
            Some(proxy) => self.proxies[proxy].deliver(self.now, envelope),
            None => self.cores[envelope.to].deliver(self.now, envelope),
        };
        self.send(sent);
        self.check_outcomes()
    }

    fn is_cut(&self, envelope: &Envelope) -> bool {
        let cuts = self.cuts.iter().filter(|cut| self.now < cut.until);
        cuts.into_iter().any(|cut| cut.from.contains(&envelope.from) && cut.to.contains(&envelope.to))
    }

    fn send(&mut self, sent: Vec<Envelope>) {
        for envelope in sent {
            if !self.is_cut(&envelope) {
                let near = self.zones[envelope.from] == self.zones[envelope.to];
                let delay = if near { MILLI..3 * MILLI } else { 2 * MILLI..60 * MILLI };
                let at = self.now + self.random.u64(delay);
                self.push(at, Event::Deliver(Box::new(envelope)));
            }
        }
    }

    fn tick(&mut self, node: NodeId, incarnation: u32) -> Result<(), String> {
        let process = *self.process(node);
        if !process.up || process.incarnation != incarnation {
            return Ok(());
        }
        if process.is_paused(self.now) {
            self.push(process.paused_until, Event::Tick(node, incarnation));
            return Ok(());
        }
        let sent = match node.checked_sub(self.size.cores) {
            Some(proxy) => self.proxies[proxy].tick(self.now, &mut self.random),
            None => self.cores[node].tick(self.now, &mut self.platform, &mut self.random),
        };
        self.send(sent);
        self.push(self.now + TICK, Event::Tick(node, incarnation));
        self.check_outcomes()
    }

    fn start(&mut self, node: NodeId) {
        let gone = node < self.size.cores && self.cores[node].retired;
        if self.process(node).up || gone {
            return;
        }
        let seeds = self.seeds();
        match node.checked_sub(self.size.cores) {
            Some(proxy) => self.proxies[proxy].start(self.now),
            None => self.cores[node].start(self.now, &seeds),
        }
        let incarnation = self.process(node).incarnation;
        (self.trace)(self.now, &format!("machine {node} starts, life {incarnation}"));
        self.push(self.now + MILLI, Event::Tick(node, incarnation));
    }

    fn update_healthy_since(&mut self) {
        let cut = self.cuts.iter().any(|cut| {
            let core = |node: &NodeId| *node < self.size.cores;
            self.now < cut.until && cut.from.iter().chain(&cut.to).any(core)
        });
        if cut || !self.cores.iter().all(|core| core.is_healthy_or_absent(self.now)) {
            self.healthy_since = self.now;
        }
        if self.is_stable() {
            self.disk_lost = false;
        }
    }

    fn is_stable(&self) -> bool {
        self.now >= self.healthy_since + STABLE_AFTER
    }

    /// Permanently removes a core machine and starts a successor.
    fn replace(&mut self, core: NodeId, planned: bool) {
        let successor = (0..self.size.cores).find(|spare| self.cores[*spare].process.incarnation == 0);
        let Some(successor) = successor else { return };
        if self.disk_lost || !self.cores[core].is_active() || !self.is_stable() {
            return;
        }
        self.disk_lost = true;
        if planned {
            self.start_successor(core, successor);
            self.push(self.now + SUCCESSION_GAP, Event::BeginShutdown(core));
        } else {
            self.push(self.now + SUCCESSION_GAP, Event::StartSuccessor { core, successor });
            self.retire(core);
        }
    }

    fn start_successor(&mut self, core: NodeId, successor: NodeId) {
        let zone = self.cores[core].member.zone.clone();
        self.cores[successor].set_zone(&zone);
        self.zones[successor] = self.zones[core];
        self.start(successor);
        self.healthy_since = self.now;
    }

    fn begin_shutdown(&mut self, core: NodeId) {
        if self.cores[core].process.up {
            self.cores[core].begin_shutdown();
        }
        self.push(self.now + TICK, Event::FinishShutdown { core, until: self.now + SHUTDOWN_TIMEOUT });
    }

    fn finish_shutdown(&mut self, core: NodeId, until: Micros) {
        if self.now < until && self.cores[core].process.up && !self.cores[core].is_shutdown_complete(self.now)
        {
            return self.push(self.now + TICK, Event::FinishShutdown { core, until });
        }
        self.retire(core);
    }

    fn retire(&mut self, core: NodeId) {
        (self.trace)(self.now, &format!("core-{core} is gone for good"));
        self.cores[core].process.stop();
        self.cores[core].retired = true;
        self.healthy_since = self.now;
    }

    /// Picks up to three running stores.
    fn seeds(&mut self) -> Vec<StoreMember> {
        let running = self.cores.iter().filter(|core| core.process.up);
        let mut members: Vec<StoreMember> = running.map(|core| core.member.clone()).collect();
        self.random.shuffle(&mut members);
        members.truncate(3);
        members
    }

    fn check_outcomes(&mut self) -> Result<(), String> {
        for core in 0..self.size.cores {
            if !self.cores[core].process.up || self.cores[core].process.is_paused(self.now) {
                continue;
            }
            for (read, version) in self.cores[core].take_read_results(self.now) {
                self.invariants.read(read.asked_at, version)?;
            }
            for (number, outcome) in self.cores[core].take_outcomes(self.now) {
                self.check_outcome(core, number, outcome)?;
            }
        }
        Ok(())
    }

    fn check_outcome(&mut self, core: NodeId, number: u64, outcome: Proposed) -> Result<(), String> {
        let Some(requested) = self.operator_changes.get(&number).copied() else { return Ok(()) };
        let accept_taken = self.defect == Some(Defect::OtherContentAcknowledged);
        match (requested, outcome) {
            (OperatorChange::Config(version), Proposed::SerialTaken) if !accept_taken => {
                self.invariants.refused(version)
            }
            (OperatorChange::Config(version), Proposed::Durable | Proposed::SerialTaken) => {
                (self.trace)(self.now, &format!("core-{core} acknowledges {version:?}"));
                self.invariants.acknowledged(self.now, version)?;
                if let Some(PowerLoss { wipe, down }) = self.power_loss_after_ack.take() {
                    let wiped = wipe.then_some(core);
                    self.lose_cores((0..self.size.cores).collect(), wiped, down);
                }
                Ok(())
            }
            (OperatorChange::Drain { zone, order, drained }, Proposed::Durable) => {
                (self.trace)(self.now, &format!("core-{core} acknowledges drain {zone} {drained}"));
                let ballot = self.cores[core].replica.standing().decided;
                self.invariants.drain_acknowledged(zone, order, ballot);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Cuts the power of core machines, and wipes the disk of one if no other disk was lost recently.
    fn lose_cores(&mut self, nodes: Vec<NodeId>, wiped: Option<NodeId>, down: Micros) {
        self.lose_power(nodes, down);
        if let Some(core) = wiped.filter(|core| !self.disk_lost && self.cores[*core].is_active()) {
            self.disk_lost = true;
            self.cores[core].wipe();
        }
    }

    fn lose_power(&mut self, nodes: Vec<NodeId>, down: Micros) {
        for node in nodes {
            if !self.process(node).up {
                continue;
            }
            match node.checked_sub(self.size.cores) {
                Some(proxy) => self.proxies[proxy].process.stop(),
                None => self.cores[node].lose_power(self.now),
            }
            self.push((self.now + down).min(FAULTS_HEALED_AT), Event::Start(node));
        }
        self.update_healthy_since();
    }

    fn inject_fault(&mut self, fault: Fault) {
        let (now, cores) = (self.now, self.size.cores);
        (self.trace)(now, &format!("{fault:?}"));
        match fault {
            Fault::Power { nodes, down } => self.lose_power(nodes, down),
            Fault::Wipe { core, all, down } => {
                let nodes = if all { (0..cores).collect() } else { vec![core] };
                self.lose_cores(nodes, Some(core), down);
            }
            Fault::WipeZone { zone, down } => self.wipe_zone(zone, down),
            Fault::PowerAfterAck { wipe, down } => self.power_loss_after_ack = Some(PowerLoss { wipe, down }),
            Fault::Freeze { node, lasts } => {
                self.process_mut(node).paused_until = (now + lasts).min(FAULTS_HEALED_AT);
            }
            Fault::Cut { nodes, others, direction, lasts } => {
                let until = (now + lasts).min(FAULTS_HEALED_AT);
                if direction != Direction::Inward {
                    self.cuts.push(Cut { from: nodes.clone(), to: others.clone(), until });
                }
                if direction != Direction::Outward {
                    self.cuts.push(Cut { from: others, to: nodes, until });
                }
                self.update_healthy_since();
            }
            Fault::Clock { node, to } => self.process_mut(node).wall_offset = to,
            Fault::Join { proxy } => self.start(proxy),
            Fault::Replace { core, planned } => self.replace(core, planned),
        }
    }

    fn wipe_zone(&mut self, zone: usize, down: Micros) {
        let active = |core: &NodeId| self.zones[*core] == zone && self.cores[*core].is_active();
        let nodes: Vec<NodeId> = (0..self.size.cores).filter(active).collect();
        if self.is_stable() && !self.disk_lost {
            self.disk_lost = true;
            self.lose_power(nodes.clone(), down);
            nodes.into_iter().for_each(|core| self.cores[core].wipe());
        }
    }

    fn run_operator(&mut self) {
        self.serial += self.random.u64(1..4);
        let races = self.random.u32(..RACE_ONE_IN) == 0;
        for content in 0..=u8::from(races) {
            self.send_document(document(self.serial, content));
        }
        if let Some(again) = self.last_document.clone().filter(|_| self.random.u32(..RESEND_ONE_IN) == 0) {
            self.send_document(again);
        }
        if !self.repeated_orders && self.random.u32(..DRAIN_ONE_IN) == 0 {
            let zone = DRAINED_ZONES[self.random.usize(..DRAINED_ZONES.len())];
            let drained = self.random.bool();
            self.send_drain(zone, drained);
        }
        if self.random.u32(..READ_ONE_IN) == 0 {
            if let Some(core) = self.reachable_core() {
                let sent = self.cores[core].read(self.now);
                self.send(sent);
            }
        }
        let rare = self.repeated_orders && self.now < FAULTS_HEALED_AT;
        let pause = if rare { RARE_CHANGE_PAUSE } else { CHANGE_PAUSE };
        let next = self.now + self.random.u64(pause);
        if next < CHANGES_END_AT {
            self.push(next, Event::Operator);
        }
    }

    fn send_drain(&mut self, zone: &'static str, drained: bool) {
        if let Some(core) = self.reachable_core() {
            self.send_drain_to(core, zone, drained);
        }
    }

    fn send_drain_to(&mut self, core: NodeId, zone: &'static str, drained: bool) {
        let order = self.invariants.drain_sent(zone, drained);
        let requested = OperatorChange::Drain { zone, order, drained };
        self.send_change_to(core, requested, Change::Drain { zone: zone.into(), drained });
    }

    /// Sends an order to a core machine that loses power while it handles it. The operator then decides for the order that
    /// was acknowledged before, and sends that one again.
    fn send_lost_order(&mut self) {
        let zone = DRAINED_ZONES[self.random.usize(..DRAINED_ZONES.len())];
        let drained = self.invariants.is_drained(zone);
        if let Some(core) = self.reachable_core() {
            self.send_drain_to(core, zone, !drained);
            let down = self.random.u64(LOST_ORDER_DOWN);
            let at = self.now + self.random.u64(MILLI..LOST_ORDER_MAX);
            self.push(at, Event::Fault(Fault::Power { nodes: vec![core], down }));
            // Its messages on the way are lost with it, so that a proposal may stay on its own disk.
            let others = (0..self.size.cores).filter(|other| *other != core).collect();
            let (nodes, direction, lasts) = (vec![core], Direction::Outward, LOST_ORDER_MAX);
            self.push(at, Event::Fault(Fault::Cut { nodes, others, direction, lasts }));
        }
        let at = self.now + self.random.u64(REPEAT_AFTER);
        self.push(at, Event::RepeatOrder { zone, drained });
        let next = self.now + self.random.u64(LOST_ORDER_PAUSE);
        if next < FAULTS_UNTIL {
            self.push(next, Event::LostOrder);
        }
    }

    /// Sends a document to a random core machine.
    fn send_document(&mut self, document: ConfigDocument) {
        self.invariants.sent(document.version);
        self.last_document = Some(document.clone());
        self.send_change(OperatorChange::Config(document.version), Change::Config(document));
    }

    fn send_change(&mut self, requested: OperatorChange, change: Change) {
        if let Some(core) = self.reachable_core() {
            self.send_change_to(core, requested, change);
        }
    }

    fn send_change_to(&mut self, core: NodeId, requested: OperatorChange, change: Change) {
        let number = UNTRACKED_PROPOSAL + 1 + self.operator_changes.len() as u64;
        self.operator_changes.insert(number, requested);
        (self.trace)(self.now, &format!("core-{core} is asked for {requested:?}"));
        let sent = self.cores[core].propose(self.now, number, change);
        self.send(sent);
    }

    /// Picks a random active core machine; none if it is down or paused.
    fn reachable_core(&mut self) -> Option<NodeId> {
        let active: Vec<NodeId> = (0..self.size.cores).filter(|core| self.cores[*core].is_active()).collect();
        let core = active[self.random.usize(..active.len())];
        let process = self.cores[core].process;
        (process.up && !process.is_paused(self.now)).then_some(core)
    }

    /// Sets random trial terms, sometimes by two operators concurrently.
    fn set_terms(&mut self) {
        self.terms_version += u64::from(self.random.u32(..RACE_ONE_IN) > 0);
        let operators = 1 + usize::from(self.random.u32(..RACE_ONE_IN) == 0);
        for _ in 0..operators {
            let tenant = TENANTS[self.random.usize(..TENANTS.len())];
            let record = terms(tenant, self.terms_version, self.now, &mut self.random);
            if let Some(core) = self.reachable_core() {
                (self.trace)(
                    self.now,
                    &format!("terms of {tenant} to core-{core}: {}", String::from_utf8_lossy(&record.terms)),
                );
                let sent = self.cores[core].propose_terms(self.now, record);
                self.send(sent);
            }
        }
        let next = self.now + self.random.u64(SECOND..7 * SECOND);
        if next < FAULTS_UNTIL {
            self.push(next, Event::Terms);
        }
    }

    fn change_platform(&mut self) {
        self.platform.change(self.now, &mut self.random);
        let next = self.now + self.random.u64(200 * MILLI..3 * SECOND);
        if next < CHANGES_END_AT {
            self.push(next, Event::Platform);
        }
    }
}

fn document(serial: u64, content: u8) -> ConfigDocument {
    let backend = format!(r#"{{"name":"service-{content}","health_path":"/h","max_conns":9}}"#);
    let json = format!(r#"{{"serial":"{serial:08x}","routes":[],"backends":[{backend}],"limits":{{}}}}"#);
    let json = json.into_bytes();
    ConfigDocument::new(serial, json)
}

/// Builds trial terms with an end by the unskewed wall clock, or without an end.
fn terms(tenant: &str, version: u64, now: Micros, random: &mut Rng) -> TrialRecord {
    let ends_at = (now + WALL_OFFSET_INITIAL) / MILLI + random.u64(..TRIAL_END_MAX_MS);
    let end = format!(
        r#""1970-01-01T00:{:02}:{:02}.{:03}Z""#,
        ends_at / 60_000,
        ends_at / 1_000 % 60,
        ends_at % 1_000
    );
    let end = if random.u32(..5) == 0 { "null".to_owned() } else { end };
    let steps = r#"[{"before_end":"4s","share":0.5},{"before_end":"2s","share":0.2}]"#;
    let terms = format!(r#"{{"version":{version},"end":{end},"steps":{steps},"grace":"1s"}}"#).into_bytes();
    TrialRecord {
        tenant: tenant.into(),
        position: TrialPosition { version, digest: digest(&terms), step: 0 },
        terms,
    }
}
