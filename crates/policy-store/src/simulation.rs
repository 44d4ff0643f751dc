//! Simulation of keepers and gateways on a virtual clock, with the real Raft library and store on a faulty
//! disk. Depending on the seed, keepers crash with torn writes, run out of disk space, get partitioned and
//! have skewed clocks; gateways crash and pause; changes are proposed, also concurrently, and called off.
//!
//! Invariants: no gateway starts a request under an older version later than the clock error after another
//! started one under a newer version; a reported decision is final and the same for all; once faults stop, the
//! last change takes effect everywhere.

use crate::config::Config;
use crate::faulty_disk::Disk;
use crate::node::{raft_settings, CallError, Node};
use crate::raft_types::TypeConfig;
use crate::store::{NewStore, Store};
use fastrand::Rng;
use hingestage_policy_change::lease_holder::LeaseHolder;
use hingestage_policy_change::rollout::{
    Change, ChangeOutcome, LeaseConfig, LeaseReply, Micros, Mode, Version,
};
use hingestage_policy_change::state::{LeaseCall, ProposeRequest, Reply, Report};
use openraft::error::{InstallSnapshotError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::BasicNode;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const LEASE_CONFIG: LeaseConfig = LeaseConfig { lease: 1_500 * MS, clock_error: 200 * MS };
/// Start of the simulation, Unix time.
const EPOCH: Micros = 1_700_000_000 * S;
/// Time after which no faults are injected and all are repaired.
const FAULTS_UNTIL: Micros = 14 * S;
const RUN_UNTIL: Micros = 24 * S;
/// Interval of checking which version each gateway uses.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of lease requests, and their timeout: longer than in production, as nothing may depend on it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Offset of a clock that is out of range: longer than any reply takes.
const OUT_OF_RANGE_LAG: Micros = 3 * S;
const HEARTBEAT: Duration = Duration::from_millis(100);

/// A defect that the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// Disks skip syncs that they acknowledge.
    AckBeforeSync,
    /// A crashed keeper restarts with an empty store.
    LostStore,
    /// One keeper's clock is ahead, and the others accept its entries.
    ClockAhead,
    /// One keeper's clock is ahead, and the others reject its entries: no defect.
    ClockAheadRejected,
    /// A change is reported as decided once a majority of gateways is ready.
    MajorityOfGateways,
    /// A decided change is called off.
    AbortAfterDecision,
    /// A lease starts at the receipt of the reply.
    LeaseFromReceipt,
    /// A restarted gateway uses the version of its previous incarnation.
    VersionKeptOverRestart,
    /// A change takes effect as soon as a gateway learns of the decision.
    ImmediateEffect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Host {
    Keeper(u64),
    Gateway(usize),
    Operator,
}

struct Keeper {
    /// The process, if running. The incarnation distinguishes it from earlier ones.
    node: Option<Arc<Node>>,
    incarnation: u32,
    disk: Disk,
    clock_lead: Micros,
}

struct Gateway {
    holder: LeaseHolder,
    mode: Mode,
    incarnation: u64,
    clock_lead: Micros,
    /// Lag of a clock that is out of range.
    clock_lag: Micros,
    down: bool,
    paused_until: Option<Instant>,
    leader: Option<u64>,
    /// Version of its last request.
    last: Option<Version>,
}

struct SimulationState {
    started: Instant,
    rng: Rng,
    defect: Defect,
    keepers: BTreeMap<u64, Keeper>,
    gateways: Vec<Gateway>,
    /// Blocked links and until when, and a slow keeper.
    cut: BTreeMap<(Host, Host), Instant>,
    slow: Option<(u64, Instant)>,
    /// First start of a request under each version, and reported decisions.
    first_starts: BTreeMap<u64, Micros>,
    decided: BTreeMap<u64, (Version, Micros)>,
    /// Ready gateways and called-off versions, for injected defects.
    ready: BTreeMap<u64, BTreeSet<usize>>,
    aborted: BTreeSet<u64>,
    number: u64,
    violation: Option<String>,
    /// Hash of all events: equal for equal runs.
    trace: u64,
    crashes: usize,
    full_disks: usize,
    first: PathBuf,
}

/// Shared handle of the simulation.
#[derive(Clone)]
struct Simulation(Arc<Mutex<SimulationState>>);

/// A document that differs from others by its version and a blocked account.
fn document(version: u64, blocked: u64) -> String {
    format!(
        "(policy (form 1) (version {version}) (plan \"p\" (quota 10 20)) \
         (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts 6)) (blocked {blocked}))"
    )
}

impl SimulationState {
    fn now(&self) -> Micros {
        EPOCH + self.started.elapsed().as_micros() as Micros
    }

    fn calm(&self) -> bool {
        self.now() >= EPOCH + FAULTS_UNTIL
    }

    fn record(&mut self, what: &str) {
        let mut hasher = DefaultHasher::new();
        (self.trace, self.now(), what).hash(&mut hasher);
        self.trace = hasher.finish();
        if std::env::var_os("HINGESTAGE_KEEPERS_TRACE").is_some() {
            println!("{:>9.3} {what}", (self.now() - EPOCH) as f64 / 1e6);
        }
    }

    fn fail(&mut self, what: String) {
        let at = (self.now() - EPOCH) / MS;
        self.violation.get_or_insert(format!("{what}, at {at} ms"));
    }

    /// Delay of a message; `None` if it is lost.
    fn delay(&mut self, from: Host, to: Host) -> Option<Duration> {
        let now = Instant::now();
        let cut = self.cut.get(&(from, to)).is_some_and(|until| *until > now);
        let defaults = Duration::from_micros(200 + self.rng.u64(..4_000));
        if self.calm() {
            return Some(defaults);
        }
        if cut || self.rng.u32(..60) == 0 {
            return None;
        }
        let is_slow =
            |host: Host| self.slow.is_some_and(|(slow, until)| host == Host::Keeper(slow) && until > now);
        Some(match self.rng.u32(..30) {
            0 => Duration::from_millis(self.rng.u64(..900)),
            _ if is_slow(from) || is_slow(to) => defaults + Duration::from_millis(self.rng.u64(..400)),
            _ => defaults,
        })
    }

    /// Replaces the disk of an ended process by what a crash leaves, so that late writes of that process are
    /// lost.
    fn crash_disk(&mut self, number: u64) {
        let keeper = self.keepers.get_mut(&number).unwrap();
        let left = keeper.disk.crash(&mut self.rng);
        keeper.disk.fail_after(0);
        keeper.disk = left;
    }

    /// The incarnation and node of a running keeper.
    fn node(&self, number: u64) -> Option<(u32, Arc<Node>)> {
        let keeper = &self.keepers[&number];
        keeper.node.clone().map(|node| (keeper.incarnation, node))
    }

    fn is_up(&self, gateway: usize) -> bool {
        let stalls = self.gateways[gateway].paused_until.is_some_and(|until| until > Instant::now());
        !self.gateways[gateway].down && !stalls
    }

    fn clock(&self, gateway: usize) -> Micros {
        self.now() + self.gateways[gateway].clock_lead - self.gateways[gateway].clock_lag
    }

    /// Checks which version each gateway would use for a request now.
    fn check_versions(&mut self) {
        let now = self.now();
        for g in 0..self.gateways.len() {
            if !self.is_up(g) {
                continue;
            }
            let clock = self.clock(g);
            let Some(version) = self.gateways[g].holder.version(clock) else { continue };
            if self.gateways[g].last.replace(version) != Some(version) {
                self.record(&format!("gateway {g} uses version {}", version.number));
            }
            self.first_starts.entry(version.number).or_insert(now);
            let newer = self
                .first_starts
                .range(version.number + 1..)
                .find(|(_, at)| now > **at + LEASE_CONFIG.clock_error);
            if let Some((newer, at)) = newer {
                let (newer, after) = (*newer, (now - at) / MS);
                self.fail(format!("{} began {after} ms after {newer} at gateway {g}", version.number));
            }
        }
    }

    /// Applies injected defects to a reply.
    fn apply_defect(&mut self, g: usize, ready: Option<u64>, mut answer: LeaseReply) -> LeaseReply {
        if let Some(version) = ready {
            self.ready.entry(version).or_default().insert(g);
        }
        match (self.defect, answer.change) {
            (Defect::MajorityOfGateways, Some(Change::Proposed(version))) => {
                let most =
                    self.ready.get(&version.number).is_some_and(|some| 2 * some.len() > self.gateways.len());
                if most {
                    answer.change =
                        Some(Change::Decided(version, answer.keeper_time + 2 * LEASE_CONFIG.clock_error));
                }
            }
            (Defect::AbortAfterDecision, Some(Change::Decided(version, _)))
                if self.aborted.contains(&version.number) =>
            {
                answer.change = None;
            }
            (Defect::ImmediateEffect, Some(Change::Decided(version, _))) => {
                answer.change = Some(Change::Decided(version, self.clock(g)));
            }
            _ => {}
        }
        answer
    }

    /// Delivers a reply to a gateway.
    fn deliver(&mut self, g: usize, answer: LeaseReply) {
        if let (Some(Change::Decided(version, from)), Defect::None | Defect::AckBeforeSync) =
            (answer.change, self.defect)
        {
            let reported = *self.decided.entry(version.number).or_insert((version, from));
            if reported != (version, from) {
                self.fail(format!("gateway {g} hears {version:?} from {from}, another heard {reported:?}"));
            }
        }
        let (clock, mut answer) = (self.clock(g), answer);
        if self.defect == Defect::LeaseFromReceipt {
            (answer.sent_at, answer.keeper_time) = (clock, clock);
        }
        let gateway = &mut self.gateways[g];
        // A reply from a clock too far away is ignored.
        let _ = gateway.holder.handle_reply(clock, answer);
        for version in gateway.holder.missing_versions() {
            gateway.holder.record_applied(version, true);
        }
    }

    fn start_gateway(&mut self, g: usize) {
        let clock = self.clock(g);
        let defect = self.defect;
        let gateway = &mut self.gateways[g];
        (gateway.down, gateway.incarnation) = (false, gateway.incarnation + 1);
        gateway.holder = LeaseHolder::new(&format!("g{g}"), gateway.incarnation, gateway.mode, LEASE_CONFIG);
        if let (Defect::VersionKeptOverRestart, Some(version)) = (defect, gateway.last) {
            let believed = LeaseReply {
                sent_at: clock,
                keeper_time: clock,
                in_force: version,
                change: None,
                leased: true,
            };
            let _ = gateway.holder.handle_reply(clock, believed);
            gateway.holder.record_applied(version, true);
        }
    }

    /// Blocks the links between two sets of hosts, in one or both directions.
    fn cut_between(&mut self, some: &[Host], others: &[Host], both: bool, until: Instant) {
        for (one, other) in some.iter().flat_map(|one| others.iter().map(move |other| (*one, *other))) {
            self.cut.insert((one, other), until);
            if both {
                self.cut.insert((other, one), until);
            }
        }
    }
}

impl Simulation {
    fn lock(&self) -> MutexGuard<'_, SimulationState> {
        self.0.lock().unwrap()
    }

    /// Carries a call to a keeper and the reply back; `None` if either is lost or the keeper is down.
    async fn call_keeper<T, F: Future<Output = T>>(
        &self,
        (from, incarnation): (Host, u32),
        to: u64,
        call: impl FnOnce(Arc<Node>) -> F,
    ) -> Option<T> {
        let lives = |simulation: &Simulation| match from {
            Host::Keeper(number) => simulation.lock().keepers[&number].incarnation == incarnation,
            _ => true,
        };
        let there = self.lock().delay(from, Host::Keeper(to));
        sleep(there?).await;
        if !lives(self) {
            return None;
        }
        let (reached, node) = self.lock().node(to)?;
        let answer = call(node).await;
        let back = {
            let mut inner = self.lock();
            let same = inner.keepers[&to].incarnation == reached && inner.keepers[&to].node.is_some();
            inner.delay(Host::Keeper(to), from).filter(|_| same)
        };
        sleep(back?).await;
        lives(self).then_some(answer)
    }

    /// Starts a keeper on its disk.
    async fn start_keeper(&self, number: u64, new: Option<NewStore>) {
        let (disk, config, mut log, clock_lead) = {
            let mut inner = self.lock();
            let config = config(inner.keepers.len() as u64, number, &inner.first);
            let mut log = raft_settings(&config);
            // Drawn from the seed, so that runs are reproducible.
            log.election_timeout_min += inner.rng.u64(..400);
            log.election_timeout_max = log.election_timeout_min + 1;
            (inner.keepers[&number].disk.clone(), config, log, inner.keepers[&number].clock_lead)
        };
        log.snapshot_policy = openraft::SnapshotPolicy::LogsSinceLast(40);
        log.max_in_snapshot_log_to_keep = 10;
        let loses_store = self.lock().defect == Defect::LostStore && new.is_none();
        let (disk, new) =
            if loses_store { (Disk::default(), Some(NewStore::Bootstrap)) } else { (disk, new) };
        let Ok(store) = Store::with_backend(disk.clone(), new) else {
            // The disk is full at startup: the process ends and is restarted later.
            return self.lock().crash_disk(number);
        };
        let incarnation = {
            let mut inner = self.lock();
            let keeper = inner.keepers.get_mut(&number).unwrap();
            (keeper.incarnation, keeper.disk) = (keeper.incarnation + 1, disk);
            keeper.incarnation
        };
        let clock = self.clone();
        let now = Arc::new(move || clock.lock().now() + clock_lead);
        let network = SimNetwork { simulation: self.clone(), from: number, incarnation };
        let Ok(node) = Node::open(config, log, store, network, now).await else {
            return self.lock().crash_disk(number);
        };
        {
            let mut inner = self.lock();
            inner.record(&format!("keeper {number} starts"));
            inner.keepers.get_mut(&number).unwrap().node = Some(node.clone());
        }
        let simulation = self.clone();
        spawn_local(async move {
            node.failed().await;
            // After a disk failure the process ends and is restarted once there is space.
            if simulation.crash(number, incarnation) {
                simulation.lock().full_disks += 1;
                sleep(Duration::from_millis(700)).await;
                simulation.restart(number, incarnation).await;
            }
        });
    }

    /// Crashes an incarnation of a keeper: none of its messages or writes take effect any more.
    fn crash(&self, number: u64, incarnation: u32) -> bool {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let keeper = inner.keepers.get_mut(&number).unwrap();
        let Some(node) = keeper.node.take_if(|_| keeper.incarnation == incarnation) else { return false };
        keeper.incarnation += 1;
        inner.crash_disk(number);
        inner.crashes += 1;
        inner.record(&format!("keeper {number} crashes"));
        drop(guard);
        spawn_local(async move { drop(node.raft.shutdown().await) });
        true
    }

    /// Restarts a keeper if it is still down since this incarnation.
    async fn restart(&self, number: u64, incarnation: u32) {
        let down = {
            let keeper = &self.lock().keepers[&number];
            keeper.node.is_none() && keeper.incarnation == incarnation + 1
        };
        if down {
            self.start_keeper(number, None).await;
        }
    }

    /// Sends lease requests until the end.
    async fn request_leases(self, g: usize) {
        loop {
            sleep(REQUEST_INTERVAL).await;
            if self.lock().is_up(g) {
                self.request_lease(g).await;
            }
        }
    }

    async fn request_lease(&self, g: usize) {
        let mut asked = BTreeSet::new();
        let (request, incarnation) = {
            let mut inner = self.lock();
            let clock = inner.clock(g);
            (inner.gateways[g].holder.next_request(clock), inner.gateways[g].incarnation)
        };
        loop {
            let next = {
                let mut inner = self.lock();
                let leader = inner.gateways[g].leader.take().filter(|leader| !asked.contains(leader));
                let left: Vec<u64> = inner.keepers.keys().copied().filter(|n| !asked.contains(n)).collect();
                let draw = inner.rng.usize(..left.len().max(1));
                leader.or(left.get(draw).copied())
            };
            let Some(number) = next else { return };
            asked.insert(number);
            let what = LeaseCall { request: request.clone(), lease_config: LEASE_CONFIG };
            let call = self.call_keeper((Host::Gateway(g), 0), number, |node| async move {
                node.request_lease(what).await
            });
            let answer = timeout(REQUEST_TIMEOUT, call).await;
            let mut inner = self.lock();
            if !inner.is_up(g) || inner.gateways[g].incarnation != incarnation {
                return;
            }
            match answer {
                Ok(Some(Ok(Reply::Answer(answer)))) => {
                    inner.gateways[g].leader = Some(number);
                    let answer = inner.apply_defect(g, request.ready, answer);
                    return inner.deliver(g, answer);
                }
                Ok(Some(Err(CallError::NotLeader(leader)))) => inner.gateways[g].leader = leader,
                _ => {}
            }
        }
    }

    /// Retries an operator's call at the leader until there is an answer or the timeout.
    async fn operator_call<T, F: Future<Output = Result<T, CallError>>>(
        &self,
        patience: Duration,
        call: impl Fn(Arc<Node>) -> F,
    ) -> Option<Result<T, String>> {
        let until = Instant::now() + patience;
        let mut hint = None;
        while Instant::now() < until {
            let number = hint.take().unwrap_or_else(|| {
                let mut inner = self.lock();
                let all = inner.keepers.len() as u64;
                inner.rng.u64(..all)
            });
            let send = self.call_keeper((Host::Operator, 0), number, &call);
            match timeout(Duration::from_secs(3), send).await {
                Ok(Some(Ok(done))) => return Some(Ok(done)),
                Ok(Some(Err(CallError::Rejected(_, why)))) => return Some(Err(why)),
                Ok(Some(Err(CallError::NotLeader(leader)))) => hint = leader,
                _ => {}
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    async fn propose(&self, number: u64, blocked: u64, within: Micros, patience: Duration) -> bool {
        let what = ProposeRequest { text: document(number, blocked), at: 0, within, confirmed: false };
        let done = self.operator_call(patience, move |node| {
            let what = what.clone();
            async move { node.propose(what).await }
        });
        let done = done.await;
        self.lock().record(&format!("version {number} is proposed: {done:?}"));
        matches!(done, Some(Ok(_)))
    }

    async fn call_off(&self, number: u64) {
        self.lock().aborted.insert(number);
        let done = self.operator_call(Duration::from_secs(2), move |node| async move {
            node.submit(hingestage_policy_change::state::LogCommand::CallOff(number)).await
        });
        let done = done.await;
        self.lock().record(&format!("version {number} is called off: {done:?}"));
    }

    /// Injects a random fault and repairs it later.
    async fn inject_fault(self) {
        let (kind, keeper, gateway, lasts, more) = {
            let mut inner = self.lock();
            let (keepers, gateways) = (inner.keepers.len() as u64, inner.gateways.len());
            let left = (EPOCH + FAULTS_UNTIL).saturating_sub(inner.now() + 600 * MS).max(50 * MS);
            let lasts = (100 * MS + inner.rng.u64(..3 * S)).min(left);
            let (kind, keeper) = (inner.rng.u32(..16), inner.rng.u64(..keepers));
            (kind, keeper, inner.rng.usize(..gateways), Duration::from_micros(lasts), inner.rng.u64(..))
        };
        let until = Instant::now() + lasts;
        let others = |inner: &SimulationState| -> Vec<Host> {
            let keepers = inner.keepers.keys().filter(|n| **n != keeper).map(|n| Host::Keeper(*n));
            keepers.chain((0..inner.gateways.len()).map(Host::Gateway)).chain([Host::Operator]).collect()
        };
        match kind {
            0..=2 => {
                let incarnation = self.lock().keepers[&keeper].incarnation;
                if self.crash(keeper, incarnation) {
                    sleep(lasts).await;
                    self.restart(keeper, incarnation).await;
                }
            }
            3 | 4 => self.lock().keepers[&keeper].disk.fail_after(more as usize % 40),
            5 => {
                // Like a paused process: no messages to or from it.
                let mut inner = self.lock();
                let others = others(&inner);
                inner.cut_between(&[Host::Keeper(keeper)], &others, true, until);
                inner.record(&format!("keeper {keeper} is cut off"));
            }
            6 => {
                let mut inner = self.lock();
                let others = others(&inner);
                // One direction only.
                match more % 2 {
                    0 => inner.cut_between(&[Host::Keeper(keeper)], &others, false, until),
                    _ => inner.cut_between(&others, &[Host::Keeper(keeper)], false, until),
                }
                inner.record(&format!("keeper {keeper} is cut off one way"));
            }
            7 => self.lock().slow = Some((keeper, until)),
            8 => {
                let mut inner = self.lock();
                let keepers: Vec<Host> = inner.keepers.keys().map(|n| Host::Keeper(*n)).collect();
                inner.cut_between(&[Host::Gateway(gateway)], &keepers, more % 2 == 0, until);
            }
            9 => {
                {
                    let mut inner = self.lock();
                    inner.gateways[gateway].down = true;
                    inner.record(&format!("gateway {gateway} is killed"));
                }
                sleep(lasts).await;
                self.lock().start_gateway(gateway);
            }
            10 => self.lock().gateways[gateway].paused_until = Some(until),
            11 => {
                let number = self.lock().number;
                self.call_off(number).await;
            }
            _ => {
                let number = {
                    let mut inner = self.lock();
                    inner.number += 1;
                    inner.number
                };
                let within = 2 * S + more % (4 * S);
                let first = self.propose(number, 1, within, Duration::from_secs(2));
                if more % 4 == 0 {
                    // A second operator proposes the same number with other contents.
                    tokio::join!(first, self.propose(number, 2, within, Duration::from_secs(2)));
                } else {
                    first.await;
                }
                if more % 3 == 0 {
                    self.call_off(number).await;
                }
            }
        }
    }

    /// Checks the final state after the calm period.
    async fn check_final_state(&self, last: u64) {
        let report: Option<Result<Report, String>> =
            self.operator_call(Duration::from_secs(3), |node| async move { node.status().await }).await;
        let Some(Ok(report)) = report else {
            return self.lock().fail("no keeper reports the version in force".into());
        };
        let mut inner = self.lock();
        if report.in_force.number != last {
            inner.fail(format!("version {} is in force at the end and not {last}", report.in_force.number));
        }
        let fates: BTreeMap<u64, (Version, ChangeOutcome)> =
            report.history.iter().map(|(version, fate)| (version.number, (*version, fate.clone()))).collect();
        for (number, (version, from)) in inner.decided.clone() {
            if fates.get(&number) != Some(&(version, ChangeOutcome::InForce(from))) {
                inner.fail(format!("{number} was reported as decided and ended as {:?}", fates.get(&number)));
            }
        }
        for g in 0..inner.gateways.len() {
            let clock = inner.clock(g);
            let version = inner.gateways[g].holder.version(clock).map(|version| version.number);
            // A gateway whose clock is out of range has no lease, or keeps serving the previous version.
            let out_of_range = inner.gateways[g].clock_lag > 0;
            if version != Some(last) && !out_of_range {
                inner.fail(format!("gateway {g} uses version {version:?} at the end and not {last}"));
            }
        }
    }
}

/// Raft transport of one incarnation of a keeper.
struct SimNetwork {
    simulation: Simulation,
    from: u64,
    incarnation: u32,
}

struct SimConnection {
    simulation: Simulation,
    from: (Host, u32),
    to: u64,
}

impl RaftNetworkFactory<TypeConfig> for SimNetwork {
    type Network = SimConnection;

    async fn new_client(&mut self, target: u64, _node: &BasicNode) -> SimConnection {
        SimConnection {
            simulation: self.simulation.clone(),
            from: (Host::Keeper(self.from), self.incarnation),
            to: target,
        }
    }
}

type Failure<E = openraft::error::Infallible> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl SimConnection {
    /// Calls the Raft node of the other keeper.
    async fn send<A, E: std::error::Error, F>(
        &self,
        option: &RPCOption,
        call: impl FnOnce(Arc<Node>) -> F,
    ) -> Result<A, Failure<E>>
    where
        F: Future<Output = Option<Result<A, RaftError<u64, E>>>>,
    {
        let unreachable = || RPCError::Unreachable(Unreachable::new(&std::io::Error::other("no answer")));
        let carried = timeout(option.hard_ttl(), self.simulation.call_keeper(self.from, self.to, call)).await;
        match carried {
            Ok(Some(Some(answer))) => answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.to, e))),
            Ok(_) => Err(unreachable()),
            Err(_) => Err(unreachable()),
        }
    }
}

impl RaftNetwork<TypeConfig> for SimConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failure> {
        let unguarded = self.simulation.lock().defect == Defect::ClockAhead;
        self.send(&option, |node| async move {
            match unguarded {
                true => Some(node.raft.append_entries(rpc).await),
                false => node.append_entries(rpc).await.ok(),
            }
        })
        .await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failure<InstallSnapshotError>> {
        self.send(&option, |node| async move { Some(node.raft.install_snapshot(rpc).await) }).await
    }

    async fn vote(&mut self, rpc: VoteRequest<u64>, option: RPCOption) -> Result<VoteResponse<u64>, Failure> {
        self.send(&option, |node| async move { Some(node.raft.vote(rpc).await) }).await
    }
}

fn config(keepers: u64, number: u64, first: &std::path::Path) -> Config {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    Config {
        number,
        listen: nowhere,
        folder: PathBuf::new(),
        keepers: (0..keepers).map(|number| (number, nowhere)).collect(),
        lease_config: LEASE_CONFIG,
        first: first.to_owned(),
        heartbeat: HEARTBEAT,
    }
}

/// Result of a seed.
#[derive(Debug, Default, PartialEq)]
struct RunResult {
    violation: Option<String>,
    trace: u64,
    changes: usize,
    crashes: usize,
    full_disks: usize,
}

fn simulation(seed: u64, defect: Defect, first: PathBuf) -> Simulation {
    let mut rng = Rng::with_seed(seed ^ 0x6b65_6570);
    let count = if rng.u32(..4) == 0 { 5 } else { 3 };
    let skips_syncs = defect == Defect::AckBeforeSync;
    let out_of_range = matches!(defect, Defect::ClockAhead | Defect::ClockAheadRejected);
    let keeper = |number: u64, rng: &mut Rng| {
        let disk = Disk::default();
        disk.skips_syncs(skips_syncs);
        let clock_lead = if out_of_range && number == 0 {
            8 * LEASE_CONFIG.clock_error
        } else {
            rng.u64(..=LEASE_CONFIG.clock_error)
        };
        Keeper { node: None, incarnation: 0, disk, clock_lead }
    };
    let keepers = (0..count).map(|number| (number, keeper(number, &mut rng))).collect();
    let gateway = |g: usize, rng: &mut Rng| {
        let mode = if rng.bool() { Mode::Stop } else { Mode::Serve };
        let holder = LeaseHolder::new(&format!("g{g}"), 1, mode, LEASE_CONFIG);
        let clock_lead = rng.u64(..=LEASE_CONFIG.clock_error);
        let clock_lag = if g == 0 && rng.u32(..4) == 0 { OUT_OF_RANGE_LAG } else { 0 };
        // Clocks out of range apply to mode `stop` only: gateways that keep serving would block changes.
        let (mode, holder) = match clock_lag {
            0 => (mode, holder),
            _ => (Mode::Stop, LeaseHolder::new("g0", 1, Mode::Stop, LEASE_CONFIG)),
        };
        Gateway {
            holder,
            mode,
            incarnation: 1,
            clock_lead,
            clock_lag,
            down: false,
            paused_until: None,
            leader: None,
            last: None,
        }
    };
    let gateways = (0..3 + rng.usize(..3)).map(|g| gateway(g, &mut rng)).collect();
    Simulation(Arc::new(Mutex::new(SimulationState {
        started: Instant::now(),
        rng,
        defect,
        keepers,
        gateways,
        cut: BTreeMap::new(),
        slow: None,
        first_starts: BTreeMap::new(),
        decided: BTreeMap::new(),
        ready: BTreeMap::new(),
        aborted: BTreeSet::new(),
        number: 1,
        violation: None,
        trace: 0,
        crashes: 0,
        full_disks: 0,
        first,
    })))
}

async fn run(seed: u64, defect: Defect, first: PathBuf) -> RunResult {
    let simulation = simulation(seed, defect, first);
    let (keepers, gateways) = {
        let inner = simulation.lock();
        (inner.keepers.len() as u64, inner.gateways.len())
    };
    for number in 0..keepers {
        simulation.start_keeper(number, Some(NewStore::Bootstrap)).await;
    }
    for g in 0..gateways {
        spawn_local(simulation.clone().request_leases(g));
    }
    let ends = |inner: &SimulationState| inner.violation.is_some() || inner.now() >= EPOCH + RUN_UNTIL;
    let (mut next, mut last) = (EPOCH + 2 * S, None);
    loop {
        sleep(CHECK_INTERVAL).await;
        let (now, calm, inject) = {
            let mut inner = simulation.lock();
            inner.check_versions();
            if ends(&inner) {
                break;
            }
            let (now, calm) = (inner.now(), inner.calm());
            let inject = !calm && now >= next && now + S < EPOCH + FAULTS_UNTIL;
            if inject {
                next = now + 50 * MS + inner.rng.u64(..1_200 * MS);
            }
            (now, calm, inject)
        };
        if inject {
            spawn_local(simulation.clone().inject_fault());
        }
        if calm && last.is_none() {
            simulation.repair_all();
            // Earlier proposals are decided or called off by their deadline.
            if now >= EPOCH + FAULTS_UNTIL + 3 * S {
                let number = {
                    let mut inner = simulation.lock();
                    inner.number += 1;
                    inner.number
                };
                last = Some(number);
                let simulation = simulation.clone();
                spawn_local(async move {
                    while !simulation.propose(number, 1, 5 * S, Duration::from_secs(2)).await {
                        sleep(Duration::from_millis(200)).await;
                    }
                });
            }
        }
    }
    if simulation.lock().violation.is_none() {
        simulation.check_final_state(last.unwrap_or_default()).await;
    }
    let result = {
        let inner = simulation.lock();
        let changes = inner.first_starts.len().saturating_sub(1);
        RunResult {
            violation: inner.violation.clone(),
            trace: inner.trace,
            changes,
            crashes: inner.crashes,
            full_disks: inner.full_disks,
        }
    };
    let seats: Vec<Arc<Node>> = simulation.lock().keepers.values().filter_map(|k| k.node.clone()).collect();
    for node in seats {
        let _ = timeout(Duration::from_secs(1), node.raft.shutdown()).await;
    }
    result
}

impl Simulation {
    /// Repairs all faults: disks have space, all hosts are up.
    fn repair_all(&self) {
        let down: Vec<(u64, u32)> = {
            let mut inner = self.lock();
            for g in 0..inner.gateways.len() {
                if inner.gateways[g].down {
                    inner.start_gateway(g);
                }
            }
            inner.keepers.values().for_each(|keeper| keeper.disk.clear_failure());
            let down = inner.keepers.iter().filter(|(_, keeper)| keeper.node.is_none());
            down.map(|(number, keeper)| (*number, keeper.incarnation)).collect()
        };
        for (number, incarnation) in down {
            let simulation = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs(1)).await;
                simulation.restart(number, incarnation.wrapping_sub(1)).await;
            });
        }
    }
}

/// File of the initial version, shared by all seeds of this process.
fn first_file() -> PathBuf {
    let file = std::env::temp_dir().join(format!("hingestage-keepers-{}.lisp", std::process::id()));
    if !file.exists() {
        std::fs::write(&file, document(1, 1)).unwrap();
    }
    file
}

fn run_seed(seed: u64, defect: Defect) -> RunResult {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, run(seed, defect, first_file()))
}

/// Seeds to run; the environment variable overrides them, as in `0..10000`.
fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("HINGESTAGE_KEEPERS_SEEDS").unwrap_or_default();
    let (from, to) = asked.split_once("..").unwrap_or_default();
    from.parse().ok().zip(to.parse().ok()).map_or(0..24, |(from, to)| from..to)
}

/// Runs seeds in parallel and returns their results.
fn run_seeds(seeds: std::ops::Range<u64>, defect: Defect) -> Vec<(u64, RunResult)> {
    first_file();
    let queue = Mutex::new(seeds);
    let result = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let next = queue.lock().unwrap().next();
                let Some(seed) = next else { return };
                let played = std::panic::catch_unwind(|| run_seed(seed, defect));
                let panicked = RunResult { violation: Some("panicked".into()), ..RunResult::default() };
                let one = (seed, played.unwrap_or(panicked));
                result.lock().unwrap().push(one);
            });
        }
    });
    let mut result = result.into_inner().unwrap();
    result.sort_by_key(|(seed, _)| *seed);
    result
}

#[test]
fn changes_are_atomic_and_complete_despite_faults() {
    let all = run_seeds(seeds(), Defect::None);
    let bad: Vec<String> = all
        .iter()
        .filter_map(|(seed, result)| Some(format!("seed {seed}: {}", result.violation.as_ref()?)))
        .collect();
    assert!(bad.is_empty(), "{} of {}: {:#?}", bad.len(), all.len(), &bad[..bad.len().min(8)]);
    let sum = |of: &dyn Fn(&RunResult) -> usize| all.iter().map(|(_, result)| of(result)).sum::<usize>();
    let (changes, crashes, full_disks) = (sum(&|c| c.changes), sum(&|c| c.crashes), sum(&|c| c.full_disks));
    println!(
        "{} seeds: {changes} changes in force, {crashes} keepers crashed, {full_disks} of them by their disks",
        all.len()
    );
    assert!(changes > all.len() && crashes > all.len() && full_disks > 0);
}

#[test]
fn runs_are_reproducible() {
    for seed in 0..3 {
        assert_eq!(run_seed(seed, Defect::None), run_seed(seed, Defect::None), "seed {seed}");
    }
}

#[test]
fn a_keeper_with_a_clock_ahead_is_harmless() {
    for (seed, result) in run_seeds(0..8, Defect::ClockAheadRejected) {
        assert_eq!(result.violation, None, "seed {seed}");
    }
}

/// Asserts that some seed detects the defect.
fn assert_detected(defect: Defect, within: u64) {
    let found = (0..within).step_by(8).any(|from| {
        let all = run_seeds(from..from + 8, defect);
        let first = all.into_iter().find_map(|(seed, result)| result.violation.map(|what| (seed, what)));
        first.inspect(|(seed, what)| println!("{defect:?}: seed {seed}: {what}")).is_some()
    });
    assert!(found, "{defect:?} was not found by {within} seeds");
}

#[test]
fn an_acknowledgement_before_sync_is_detected() {
    assert_detected(Defect::AckBeforeSync, 64);
}

#[test]
fn a_lost_store_is_detected() {
    assert_detected(Defect::LostStore, 64);
}

#[test]
fn an_accepted_clock_ahead_is_detected() {
    assert_detected(Defect::ClockAhead, 64);
}

#[test]
fn a_decision_by_a_majority_of_gateways_is_detected() {
    assert_detected(Defect::MajorityOfGateways, 64);
}

#[test]
fn an_abort_after_the_decision_is_detected() {
    assert_detected(Defect::AbortAfterDecision, 64);
}

#[test]
fn a_lease_from_receipt_is_detected() {
    assert_detected(Defect::LeaseFromReceipt, 64);
}

#[test]
fn a_version_kept_over_a_restart_is_detected() {
    assert_detected(Defect::VersionKeptOverRestart, 64);
}

#[test]
fn a_change_without_delay_is_detected() {
    assert_detected(Defect::ImmediateEffect, 64);
}
