//! Simulation of keepers and gateways on a virtual clock, with the real Raft library and store on a faulty
//! disk. Depending on the seed, keepers crash with torn writes, run out of disk space, get partitioned and
//! have skewed clocks; gateways crash and pause; changes are proposed, also concurrently, and called off.
//!
//! Invariants: no gateway starts a request under an older version later than the clock error after another
//! started one under a newer version; a reported decision is final and the same for all; once faults stop, the
//! last change takes effect everywhere.

use crate::config::Config;
use crate::disk::Disk;
use crate::kinds::Kinds;
use crate::seat::{settings, Refusal, Seat};
use crate::store::{New, Store};
use fastrand::Rng;
use hingestage_change::desk::{Asked, Proposed, Reply, Report};
use hingestage_change::holder::Holder;
use hingestage_change::keeper::{Answer, Change, Fate, Figures, Micros, Mode, Version};
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
const FIGURES: Figures = Figures { lease: 1_500 * MS, error: 200 * MS };
/// Start of the simulation, Unix time.
const EPOCH: Micros = 1_700_000_000 * S;
/// Time after which no faults are injected and all are repaired.
const CALM: Micros = 14 * S;
const END: Micros = 24 * S;
/// Interval of checking which version each gateway uses.
const STEP: Duration = Duration::from_millis(10);
/// Interval of lease requests, and their timeout: longer than in production, as nothing may depend on it.
const ASK: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_millis(900);
/// Offset of a clock that is out of range: longer than any reply takes.
const ASTRAY: Micros = 3 * S;
const HEARTBEAT: Duration = Duration::from_millis(100);

/// A defect that the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// Disks skip syncs that they acknowledge.
    WordBeforeSync,
    /// A crashed keeper restarts with an empty store.
    ForgetsItsStore,
    /// One keeper's clock is ahead, and the others accept its entries.
    ClockAhead,
    /// One keeper's clock is ahead, and the others reject its entries: no defect.
    ClockAheadGuarded,
    /// A change is reported as decided once a majority of gateways is ready.
    MajorityOfGateways,
    /// A decided change is called off.
    AbortAfterDecision,
    /// A lease starts at the receipt of the reply.
    FromReceipt,
    /// A restarted gateway uses the version of its previous incarnation.
    Believes,
    /// A change takes effect as soon as a gateway learns of the decision.
    AtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Host {
    Keeper(u64),
    Gateway(usize),
    Operator,
}

struct Keeper {
    /// The process, if running. The incarnation distinguishes it from earlier ones.
    seat: Option<Arc<Seat>>,
    life: u32,
    disk: Disk,
    ahead: Micros,
}

struct Gateway {
    holder: Holder,
    mode: Mode,
    life: u64,
    ahead: Micros,
    /// Lag of a clock that is out of range.
    behind: Micros,
    down: bool,
    stalled: Option<Instant>,
    leader: Option<u64>,
    /// Version of its last request.
    last: Option<Version>,
}

struct Inner {
    begun: Instant,
    rng: Rng,
    planted: Planted,
    keepers: BTreeMap<u64, Keeper>,
    gateways: Vec<Gateway>,
    /// Blocked links and until when, and a slow keeper.
    cut: BTreeMap<(Host, Host), Instant>,
    slow: Option<(u64, Instant)>,
    /// First start of a request under each version, and reported decisions.
    begins: BTreeMap<u64, Micros>,
    decided: BTreeMap<u64, (Version, Micros)>,
    /// Ready gateways and called-off versions, for injected defects.
    ready: BTreeMap<u64, BTreeSet<usize>>,
    aborted: BTreeSet<u64>,
    number: u64,
    broken: Option<String>,
    /// Hash of all events: equal for equal runs.
    trace: u64,
    crashes: usize,
    full: usize,
    first: PathBuf,
}

/// Shared handle of the simulation.
#[derive(Clone)]
struct World(Arc<Mutex<Inner>>);

/// A document that differs from others by its version and a blocked account.
fn document(version: u64, blocked: u64) -> String {
    format!(
        "(policy (form 1) (version {version}) (plan \"p\" (quota 10 20)) \
         (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts 6)) (blocked {blocked}))"
    )
}

impl Inner {
    fn now(&self) -> Micros {
        EPOCH + self.begun.elapsed().as_micros() as Micros
    }

    fn calm(&self) -> bool {
        self.now() >= EPOCH + CALM
    }

    fn note(&mut self, what: &str) {
        let mut hasher = DefaultHasher::new();
        (self.trace, self.now(), what).hash(&mut hasher);
        self.trace = hasher.finish();
        if std::env::var_os("HINGESTAGE_KEEPERS_TRACE").is_some() {
            println!("{:>9.3} {what}", (self.now() - EPOCH) as f64 / 1e6);
        }
    }

    fn breaks(&mut self, what: String) {
        let at = (self.now() - EPOCH) / MS;
        self.broken.get_or_insert(format!("{what}, at {at} ms"));
    }

    /// Delay of a message; `None` if it is lost.
    fn way(&mut self, from: Host, to: Host) -> Option<Duration> {
        let now = Instant::now();
        let cut = self.cut.get(&(from, to)).is_some_and(|until| *until > now);
        let usual = Duration::from_micros(200 + self.rng.u64(..4_000));
        if self.calm() {
            return Some(usual);
        }
        if cut || self.rng.u32(..60) == 0 {
            return None;
        }
        let crawls =
            |host: Host| self.slow.is_some_and(|(slow, until)| host == Host::Keeper(slow) && until > now);
        Some(match self.rng.u32(..30) {
            0 => Duration::from_millis(self.rng.u64(..900)),
            _ if crawls(from) || crawls(to) => usual + Duration::from_millis(self.rng.u64(..400)),
            _ => usual,
        })
    }

    /// Replaces the disk of an ended process by what a crash leaves, so that late writes of that process are
    /// lost.
    fn leave_disk(&mut self, number: u64) {
        let keeper = self.keepers.get_mut(&number).unwrap();
        let left = keeper.disk.crash(&mut self.rng);
        keeper.disk.fails_after(0);
        keeper.disk = left;
    }

    /// The incarnation and node of a running keeper.
    fn seat(&self, number: u64) -> Option<(u32, Arc<Seat>)> {
        let keeper = &self.keepers[&number];
        keeper.seat.clone().map(|seat| (keeper.life, seat))
    }

    fn up(&self, gateway: usize) -> bool {
        let stalls = self.gateways[gateway].stalled.is_some_and(|until| until > Instant::now());
        !self.gateways[gateway].down && !stalls
    }

    fn clock(&self, gateway: usize) -> Micros {
        self.now() + self.gateways[gateway].ahead - self.gateways[gateway].behind
    }

    /// Checks which version each gateway would use for a request now.
    fn begin_requests(&mut self) {
        let now = self.now();
        for g in 0..self.gateways.len() {
            if !self.up(g) {
                continue;
            }
            let clock = self.clock(g);
            let Some(version) = self.gateways[g].holder.version(clock) else { continue };
            if self.gateways[g].last.replace(version) != Some(version) {
                self.note(&format!("gateway {g} goes by {}", version.number));
            }
            self.begins.entry(version.number).or_insert(now);
            let newer = self.begins.range(version.number + 1..).find(|(_, at)| now > **at + FIGURES.error);
            if let Some((newer, at)) = newer {
                let (newer, after) = (*newer, (now - at) / MS);
                self.breaks(format!("{} began {after} ms after {newer} at gateway {g}", version.number));
            }
        }
    }

    /// Applies injected defects to a reply.
    fn spoil(&mut self, g: usize, ready: Option<u64>, mut answer: Answer) -> Answer {
        if let Some(version) = ready {
            self.ready.entry(version).or_default().insert(g);
        }
        match (self.planted, answer.change) {
            (Planted::MajorityOfGateways, Some(Change::Proposed(version))) => {
                let most =
                    self.ready.get(&version.number).is_some_and(|some| 2 * some.len() > self.gateways.len());
                if most {
                    answer.change = Some(Change::Decided(version, answer.told + 2 * FIGURES.error));
                }
            }
            (Planted::AbortAfterDecision, Some(Change::Decided(version, _)))
                if self.aborted.contains(&version.number) =>
            {
                answer.change = None;
            }
            (Planted::AtOnce, Some(Change::Decided(version, _))) => {
                answer.change = Some(Change::Decided(version, self.clock(g)));
            }
            _ => {}
        }
        answer
    }

    /// Delivers a reply to a gateway.
    fn hear(&mut self, g: usize, answer: Answer) {
        if let (Some(Change::Decided(version, from)), Planted::Nothing | Planted::WordBeforeSync) =
            (answer.change, self.planted)
        {
            let told = *self.decided.entry(version.number).or_insert((version, from));
            if told != (version, from) {
                self.breaks(format!("gateway {g} hears {version:?} from {from}, another heard {told:?}"));
            }
        }
        let (clock, mut answer) = (self.clock(g), answer);
        if self.planted == Planted::FromReceipt {
            (answer.issued, answer.told) = (clock, clock);
        }
        let gateway = &mut self.gateways[g];
        // A reply from a clock too far away is ignored.
        let _ = gateway.holder.answered(clock, answer);
        for version in gateway.holder.wanted() {
            gateway.holder.applied(version, true);
        }
    }

    fn start_gateway(&mut self, g: usize) {
        let clock = self.clock(g);
        let planted = self.planted;
        let gateway = &mut self.gateways[g];
        (gateway.down, gateway.life) = (false, gateway.life + 1);
        gateway.holder = Holder::new(&format!("g{g}"), gateway.life, gateway.mode, FIGURES);
        if let (Planted::Believes, Some(version)) = (planted, gateway.last) {
            let believed = Answer { issued: clock, told: clock, force: version, change: None, leased: true };
            let _ = gateway.holder.answered(clock, believed);
            gateway.holder.applied(version, true);
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

impl World {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }

    /// Carries a call to a keeper and the reply back; `None` if either is lost or the keeper is down.
    async fn carry<T, F: Future<Output = T>>(
        &self,
        (from, life): (Host, u32),
        to: u64,
        call: impl FnOnce(Arc<Seat>) -> F,
    ) -> Option<T> {
        let lives = |world: &World| match from {
            Host::Keeper(number) => world.lock().keepers[&number].life == life,
            _ => true,
        };
        let there = self.lock().way(from, Host::Keeper(to));
        sleep(there?).await;
        if !lives(self) {
            return None;
        }
        let (reached, seat) = self.lock().seat(to)?;
        let answer = call(seat).await;
        let back = {
            let mut inner = self.lock();
            let same = inner.keepers[&to].life == reached && inner.keepers[&to].seat.is_some();
            inner.way(Host::Keeper(to), from).filter(|_| same)
        };
        sleep(back?).await;
        lives(self).then_some(answer)
    }

    /// Starts a keeper on its disk.
    async fn start_keeper(&self, number: u64, new: Option<New>) {
        let (disk, config, mut log, ahead) = {
            let mut inner = self.lock();
            let config = config(inner.keepers.len() as u64, number, &inner.first);
            let mut log = settings(&config);
            // Drawn from the seed, so that runs are reproducible.
            log.election_timeout_min += inner.rng.u64(..400);
            log.election_timeout_max = log.election_timeout_min + 1;
            (inner.keepers[&number].disk.clone(), config, log, inner.keepers[&number].ahead)
        };
        log.snapshot_policy = openraft::SnapshotPolicy::LogsSinceLast(40);
        log.max_in_snapshot_log_to_keep = 10;
        let forgets = self.lock().planted == Planted::ForgetsItsStore && new.is_none();
        let (disk, new) = if forgets { (Disk::default(), Some(New::Begins)) } else { (disk, new) };
        let Ok(store) = Store::on(disk.clone(), new) else {
            // The disk is full at startup: the process ends and is restarted later.
            return self.lock().leave_disk(number);
        };
        let life = {
            let mut inner = self.lock();
            let keeper = inner.keepers.get_mut(&number).unwrap();
            (keeper.life, keeper.disk) = (keeper.life + 1, disk);
            keeper.life
        };
        let clock = self.clone();
        let now = Arc::new(move || clock.lock().now() + ahead);
        let ways = Ways { world: self.clone(), from: number, life };
        let Ok(seat) = Seat::open(config, log, store, ways, now).await else {
            return self.lock().leave_disk(number);
        };
        {
            let mut inner = self.lock();
            inner.note(&format!("keeper {number} starts"));
            inner.keepers.get_mut(&number).unwrap().seat = Some(seat.clone());
        }
        let world = self.clone();
        spawn_local(async move {
            seat.failed().await;
            // After a disk failure the process ends and is restarted once there is space.
            if world.crash(number, life) {
                world.lock().full += 1;
                sleep(Duration::from_millis(700)).await;
                world.revive(number, life).await;
            }
        });
    }

    /// Crashes an incarnation of a keeper: none of its messages or writes take effect any more.
    fn crash(&self, number: u64, life: u32) -> bool {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let keeper = inner.keepers.get_mut(&number).unwrap();
        let Some(seat) = keeper.seat.take_if(|_| keeper.life == life) else { return false };
        keeper.life += 1;
        inner.leave_disk(number);
        inner.crashes += 1;
        inner.note(&format!("keeper {number} crashes"));
        drop(guard);
        spawn_local(async move { drop(seat.raft.shutdown().await) });
        true
    }

    /// Restarts a keeper if it is still down since this incarnation.
    async fn revive(&self, number: u64, life: u32) {
        let down = {
            let keeper = &self.lock().keepers[&number];
            keeper.seat.is_none() && keeper.life == life + 1
        };
        if down {
            self.start_keeper(number, None).await;
        }
    }

    /// Sends lease requests until the end.
    async fn ask_on(self, g: usize) {
        loop {
            sleep(ASK).await;
            if self.lock().up(g) {
                self.ask(g).await;
            }
        }
    }

    async fn ask(&self, g: usize) {
        let mut asked = BTreeSet::new();
        let (question, life) = {
            let mut inner = self.lock();
            let clock = inner.clock(g);
            (inner.gateways[g].holder.question(clock), inner.gateways[g].life)
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
            let what = Asked { question: question.clone(), figures: FIGURES };
            let call = self.carry((Host::Gateway(g), 0), number, |seat| async move { seat.ask(what).await });
            let answer = timeout(PATIENCE, call).await;
            let mut inner = self.lock();
            if !inner.up(g) || inner.gateways[g].life != life {
                return;
            }
            match answer {
                Ok(Some(Ok(Reply::Answer(answer)))) => {
                    inner.gateways[g].leader = Some(number);
                    let answer = inner.spoil(g, question.ready, answer);
                    return inner.hear(g, answer);
                }
                Ok(Some(Err(Refusal::Elsewhere(leader)))) => inner.gateways[g].leader = leader,
                _ => {}
            }
        }
    }

    /// Retries an operator's call at the leader until there is an answer or the timeout.
    async fn operate<T, F: Future<Output = Result<T, Refusal>>>(
        &self,
        patience: Duration,
        call: impl Fn(Arc<Seat>) -> F,
    ) -> Option<Result<T, String>> {
        let until = Instant::now() + patience;
        let mut hint = None;
        while Instant::now() < until {
            let number = hint.take().unwrap_or_else(|| {
                let mut inner = self.lock();
                let all = inner.keepers.len() as u64;
                inner.rng.u64(..all)
            });
            let word = self.carry((Host::Operator, 0), number, &call);
            match timeout(Duration::from_secs(3), word).await {
                Ok(Some(Ok(done))) => return Some(Ok(done)),
                Ok(Some(Err(Refusal::Wrong(_, why)))) => return Some(Err(why)),
                Ok(Some(Err(Refusal::Elsewhere(leader)))) => hint = leader,
                _ => {}
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    async fn propose(&self, number: u64, blocked: u64, within: Micros, patience: Duration) -> bool {
        let what = Proposed { text: document(number, blocked), at: 0, within, despite: false };
        let done = self.operate(patience, move |seat| {
            let what = what.clone();
            async move { seat.propose(what).await }
        });
        let done = done.await;
        self.lock().note(&format!("version {number} is proposed: {done:?}"));
        matches!(done, Some(Ok(_)))
    }

    async fn call_off(&self, number: u64) {
        self.lock().aborted.insert(number);
        let done = self.operate(Duration::from_secs(2), move |seat| async move {
            seat.order(hingestage_change::desk::Order::CallOff(number)).await
        });
        let done = done.await;
        self.lock().note(&format!("version {number} is called off: {done:?}"));
    }

    /// Injects a random fault and repairs it later.
    async fn fault(self) {
        let (kind, keeper, gateway, lasts, more) = {
            let mut inner = self.lock();
            let (keepers, gateways) = (inner.keepers.len() as u64, inner.gateways.len());
            let left = (EPOCH + CALM).saturating_sub(inner.now() + 600 * MS).max(50 * MS);
            let lasts = (100 * MS + inner.rng.u64(..3 * S)).min(left);
            let (kind, keeper) = (inner.rng.u32(..16), inner.rng.u64(..keepers));
            (kind, keeper, inner.rng.usize(..gateways), Duration::from_micros(lasts), inner.rng.u64(..))
        };
        let until = Instant::now() + lasts;
        let others = |inner: &Inner| -> Vec<Host> {
            let keepers = inner.keepers.keys().filter(|n| **n != keeper).map(|n| Host::Keeper(*n));
            keepers.chain((0..inner.gateways.len()).map(Host::Gateway)).chain([Host::Operator]).collect()
        };
        match kind {
            0..=2 => {
                let life = self.lock().keepers[&keeper].life;
                if self.crash(keeper, life) {
                    sleep(lasts).await;
                    self.revive(keeper, life).await;
                }
            }
            3 | 4 => self.lock().keepers[&keeper].disk.fails_after(more as usize % 40),
            5 => {
                // Like a paused process: no messages to or from it.
                let mut inner = self.lock();
                let others = others(&inner);
                inner.cut_between(&[Host::Keeper(keeper)], &others, true, until);
                inner.note(&format!("keeper {keeper} is cut off"));
            }
            6 => {
                let mut inner = self.lock();
                let others = others(&inner);
                // One direction only.
                match more % 2 {
                    0 => inner.cut_between(&[Host::Keeper(keeper)], &others, false, until),
                    _ => inner.cut_between(&others, &[Host::Keeper(keeper)], false, until),
                }
                inner.note(&format!("keeper {keeper} is cut off one way"));
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
                    inner.note(&format!("gateway {gateway} is killed"));
                }
                sleep(lasts).await;
                self.lock().start_gateway(gateway);
            }
            10 => self.lock().gateways[gateway].stalled = Some(until),
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
    async fn judge_end(&self, last: u64) {
        let report: Option<Result<Report, String>> =
            self.operate(Duration::from_secs(3), |seat| async move { seat.status().await }).await;
        let Some(Ok(report)) = report else {
            return self.lock().breaks("no keeper tells what is in force".into());
        };
        let mut inner = self.lock();
        if report.force.number != last {
            inner.breaks(format!("version {} is in force at the end and not {last}", report.force.number));
        }
        let fates: BTreeMap<u64, (Version, Fate)> =
            report.history.iter().map(|(version, fate)| (version.number, (*version, fate.clone()))).collect();
        for (number, (version, from)) in inner.decided.clone() {
            if fates.get(&number) != Some(&(version, Fate::InForce(from))) {
                inner.breaks(format!("{number} was told as decided and ended as {:?}", fates.get(&number)));
            }
        }
        for g in 0..inner.gateways.len() {
            let clock = inner.clock(g);
            let goes_by = inner.gateways[g].holder.version(clock).map(|version| version.number);
            // A gateway whose clock is out of range has no lease, or keeps serving the previous version.
            let astray = inner.gateways[g].behind > 0;
            if goes_by != Some(last) && !astray {
                inner.breaks(format!("gateway {g} goes by {goes_by:?} at the end and not {last}"));
            }
        }
    }
}

/// Raft transport of one incarnation of a keeper.
struct Ways {
    world: World,
    from: u64,
    life: u32,
}

struct Way {
    world: World,
    from: (Host, u32),
    to: u64,
}

impl RaftNetworkFactory<Kinds> for Ways {
    type Network = Way;

    async fn new_client(&mut self, target: u64, _node: &BasicNode) -> Way {
        Way { world: self.world.clone(), from: (Host::Keeper(self.from), self.life), to: target }
    }
}

type Failure<E = openraft::error::Infallible> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl Way {
    /// Calls the Raft node of the other keeper.
    async fn word<A, E: std::error::Error, F>(
        &self,
        option: &RPCOption,
        call: impl FnOnce(Arc<Seat>) -> F,
    ) -> Result<A, Failure<E>>
    where
        F: Future<Output = Option<Result<A, RaftError<u64, E>>>>,
    {
        let unreachable = || RPCError::Unreachable(Unreachable::new(&std::io::Error::other("no answer")));
        let carried = timeout(option.hard_ttl(), self.world.carry(self.from, self.to, call)).await;
        match carried {
            Ok(Some(Some(answer))) => answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.to, e))),
            Ok(_) => Err(unreachable()),
            Err(_) => Err(unreachable()),
        }
    }
}

impl RaftNetwork<Kinds> for Way {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Kinds>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failure> {
        let unguarded = self.world.lock().planted == Planted::ClockAhead;
        self.word(&option, |seat| async move {
            match unguarded {
                true => Some(seat.raft.append_entries(rpc).await),
                false => seat.append(rpc).await.ok(),
            }
        })
        .await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Kinds>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failure<InstallSnapshotError>> {
        self.word(&option, |seat| async move { Some(seat.raft.install_snapshot(rpc).await) }).await
    }

    async fn vote(&mut self, rpc: VoteRequest<u64>, option: RPCOption) -> Result<VoteResponse<u64>, Failure> {
        self.word(&option, |seat| async move { Some(seat.raft.vote(rpc).await) }).await
    }
}

fn config(keepers: u64, number: u64, first: &std::path::Path) -> Config {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    Config {
        number,
        listen: nowhere,
        folder: PathBuf::new(),
        keepers: (0..keepers).map(|number| (number, nowhere)).collect(),
        figures: FIGURES,
        first: first.to_owned(),
        heartbeat: HEARTBEAT,
    }
}

/// Result of a seed.
#[derive(Debug, Default, PartialEq)]
struct Came {
    broken: Option<String>,
    trace: u64,
    changes: usize,
    crashes: usize,
    full: usize,
}

fn world(seed: u64, planted: Planted, first: PathBuf) -> World {
    let mut rng = Rng::with_seed(seed ^ 0x6b65_6570);
    let count = if rng.u32(..4) == 0 { 5 } else { 3 };
    let lies = planted == Planted::WordBeforeSync;
    let astray = matches!(planted, Planted::ClockAhead | Planted::ClockAheadGuarded);
    let keeper = |number: u64, rng: &mut Rng| {
        let disk = Disk::default();
        disk.lies(lies);
        let ahead = if astray && number == 0 { 8 * FIGURES.error } else { rng.u64(..=FIGURES.error) };
        Keeper { seat: None, life: 0, disk, ahead }
    };
    let keepers = (0..count).map(|number| (number, keeper(number, &mut rng))).collect();
    let gateway = |g: usize, rng: &mut Rng| {
        let mode = if rng.bool() { Mode::Stop } else { Mode::Serve };
        let holder = Holder::new(&format!("g{g}"), 1, mode, FIGURES);
        let ahead = rng.u64(..=FIGURES.error);
        let behind = if g == 0 && rng.u32(..4) == 0 { ASTRAY } else { 0 };
        // Clocks out of range apply to mode `stop` only: gateways that keep serving would block changes.
        let (mode, holder) = match behind {
            0 => (mode, holder),
            _ => (Mode::Stop, Holder::new("g0", 1, Mode::Stop, FIGURES)),
        };
        Gateway { holder, mode, life: 1, ahead, behind, down: false, stalled: None, leader: None, last: None }
    };
    let gateways = (0..3 + rng.usize(..3)).map(|g| gateway(g, &mut rng)).collect();
    World(Arc::new(Mutex::new(Inner {
        begun: Instant::now(),
        rng,
        planted,
        keepers,
        gateways,
        cut: BTreeMap::new(),
        slow: None,
        begins: BTreeMap::new(),
        decided: BTreeMap::new(),
        ready: BTreeMap::new(),
        aborted: BTreeSet::new(),
        number: 1,
        broken: None,
        trace: 0,
        crashes: 0,
        full: 0,
        first,
    })))
}

async fn run(seed: u64, planted: Planted, first: PathBuf) -> Came {
    let world = world(seed, planted, first);
    let (keepers, gateways) = {
        let inner = world.lock();
        (inner.keepers.len() as u64, inner.gateways.len())
    };
    for number in 0..keepers {
        world.start_keeper(number, Some(New::Begins)).await;
    }
    for g in 0..gateways {
        spawn_local(world.clone().ask_on(g));
    }
    let ends = |inner: &Inner| inner.broken.is_some() || inner.now() >= EPOCH + END;
    let (mut next, mut last) = (EPOCH + 2 * S, None);
    loop {
        sleep(STEP).await;
        let (now, calm, strikes) = {
            let mut inner = world.lock();
            inner.begin_requests();
            if ends(&inner) {
                break;
            }
            let (now, calm) = (inner.now(), inner.calm());
            let strikes = !calm && now >= next && now + S < EPOCH + CALM;
            if strikes {
                next = now + 50 * MS + inner.rng.u64(..1_200 * MS);
            }
            (now, calm, strikes)
        };
        if strikes {
            spawn_local(world.clone().fault());
        }
        if calm && last.is_none() {
            world.mend();
            // Earlier proposals are decided or called off by their deadline.
            if now >= EPOCH + CALM + 3 * S {
                let number = {
                    let mut inner = world.lock();
                    inner.number += 1;
                    inner.number
                };
                last = Some(number);
                let world = world.clone();
                spawn_local(async move {
                    while !world.propose(number, 1, 5 * S, Duration::from_secs(2)).await {
                        sleep(Duration::from_millis(200)).await;
                    }
                });
            }
        }
    }
    if world.lock().broken.is_none() {
        world.judge_end(last.unwrap_or_default()).await;
    }
    let came = {
        let inner = world.lock();
        let changes = inner.begins.len().saturating_sub(1);
        Came {
            broken: inner.broken.clone(),
            trace: inner.trace,
            changes,
            crashes: inner.crashes,
            full: inner.full,
        }
    };
    let seats: Vec<Arc<Seat>> = world.lock().keepers.values().filter_map(|k| k.seat.clone()).collect();
    for seat in seats {
        let _ = timeout(Duration::from_secs(1), seat.raft.shutdown()).await;
    }
    came
}

impl World {
    /// Repairs all faults: disks have space, all hosts are up.
    fn mend(&self) {
        let down: Vec<(u64, u32)> = {
            let mut inner = self.lock();
            for g in 0..inner.gateways.len() {
                if inner.gateways[g].down {
                    inner.start_gateway(g);
                }
            }
            inner.keepers.values().for_each(|keeper| keeper.disk.has_room());
            let down = inner.keepers.iter().filter(|(_, keeper)| keeper.seat.is_none());
            down.map(|(number, keeper)| (*number, keeper.life)).collect()
        };
        for (number, life) in down {
            let world = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs(1)).await;
                world.revive(number, life.wrapping_sub(1)).await;
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

fn play(seed: u64, planted: Planted) -> Came {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, run(seed, planted, first_file()))
}

/// Seeds to run; the environment variable overrides them, as in `0..10000`.
fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("HINGESTAGE_KEEPERS_SEEDS").unwrap_or_default();
    let (from, to) = asked.split_once("..").unwrap_or_default();
    from.parse().ok().zip(to.parse().ok()).map_or(0..24, |(from, to)| from..to)
}

/// Runs seeds in parallel and returns their results.
fn play_all(seeds: std::ops::Range<u64>, planted: Planted) -> Vec<(u64, Came)> {
    first_file();
    let queue = Mutex::new(seeds);
    let came = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let next = queue.lock().unwrap().next();
                let Some(seed) = next else { return };
                let played = std::panic::catch_unwind(|| play(seed, planted));
                let panicked = Came { broken: Some("panicked".into()), ..Came::default() };
                let one = (seed, played.unwrap_or(panicked));
                came.lock().unwrap().push(one);
            });
        }
    });
    let mut came = came.into_inner().unwrap();
    came.sort_by_key(|(seed, _)| *seed);
    came
}

#[test]
fn a_change_takes_hold_everywhere_or_nowhere_whatever_becomes_of_keepers_and_disks() {
    let all = play_all(seeds(), Planted::Nothing);
    let bad: Vec<String> = all
        .iter()
        .filter_map(|(seed, came)| Some(format!("seed {seed}: {}", came.broken.as_ref()?)))
        .collect();
    assert!(bad.is_empty(), "{} of {}: {:#?}", bad.len(), all.len(), &bad[..bad.len().min(8)]);
    let sum = |of: &dyn Fn(&Came) -> usize| all.iter().map(|(_, came)| of(came)).sum::<usize>();
    let (changes, crashes, full) = (sum(&|c| c.changes), sum(&|c| c.crashes), sum(&|c| c.full));
    println!(
        "{} seeds: {changes} changes in force, {crashes} keepers crashed, {full} of them by their disks",
        all.len()
    );
    assert!(changes > all.len() && crashes > all.len() && full > 0);
}

#[test]
fn a_seed_is_one_run() {
    for seed in 0..3 {
        assert_eq!(play(seed, Planted::Nothing), play(seed, Planted::Nothing), "seed {seed}");
    }
}

#[test]
fn a_keeper_whose_clock_is_ahead_changes_nothing() {
    for (seed, came) in play_all(0..8, Planted::ClockAheadGuarded) {
        assert_eq!(came.broken, None, "seed {seed}");
    }
}

/// Asserts that some seed detects the defect.
fn is_found(planted: Planted, within: u64) {
    let found = (0..within).step_by(8).any(|from| {
        let all = play_all(from..from + 8, planted);
        let first = all.into_iter().find_map(|(seed, came)| came.broken.map(|what| (seed, what)));
        first.inspect(|(seed, what)| println!("{planted:?}: seed {seed}: {what}")).is_some()
    });
    assert!(found, "{planted:?} was not found by {within} seeds");
}

#[test]
fn a_word_given_before_it_is_on_the_disk_is_found() {
    is_found(Planted::WordBeforeSync, 64);
}

#[test]
fn a_keeper_that_forgets_its_store_is_found() {
    is_found(Planted::ForgetsItsStore, 64);
}

#[test]
fn a_clock_that_is_ahead_and_believed_is_found() {
    is_found(Planted::ClockAhead, 64);
}

#[test]
fn a_change_decided_by_most_gateways_is_found() {
    is_found(Planted::MajorityOfGateways, 64);
}

#[test]
fn an_abort_after_the_decision_is_found() {
    is_found(Planted::AbortAfterDecision, 64);
}

#[test]
fn a_lease_that_counts_from_its_receipt_is_found() {
    is_found(Planted::FromReceipt, 64);
}

#[test]
fn a_version_believed_over_a_restart_is_found() {
    is_found(Planted::Believes, 64);
}

#[test]
fn a_change_in_force_when_it_is_heard_of_is_found() {
    is_found(Planted::AtOnce, 64);
}
