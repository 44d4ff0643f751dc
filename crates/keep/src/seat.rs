//! A Raft node of the policy store: batches commands into log entries, enforces the limit on clock differences
//! and serves calls. Network and clock are passed in, so that tests can simulate them.

use crate::config::Config;
use crate::kinds::{Kinds, Raft};
use crate::machine::Machine;
use crate::store::Store;
use hingestage_change::desk::{Asked, Entry, Order, Proposed, Reply, Report, TEXT_MAX};
use hingestage_change::fields::NAME_MAX;
use hingestage_change::keeper::{Micros, Version};
use hingestage_change::{dangers, read, Danger};
use hyper::StatusCode;
use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::network::RaftNetworkFactory;
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse};
use openraft::{BasicNode, EntryPayload, SnapshotPolicy};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Log entries between snapshots.
const SNAPSHOT: (u64, u64) = (2_000, 200);
/// Maximum entries in one append request; each may hold a text of maximum size.
const PAYLOAD: u64 = 32;
/// Maximum commands in one log entry.
const BATCH: usize = 512;
/// Maximum queued commands; further calls are rejected.
const WAITING: usize = 4_096;
/// Timeout of a log write, after which its outcome is unknown.
pub const WRITTEN: Duration = Duration::from_secs(2);
/// Interval of ticks, which advance the state's clock while a change is pending.
const TICK: Duration = Duration::from_millis(100);

/// A queued command and where to send its reply.
type Waiting = (Order, oneshot::Sender<Result<Reply, Refusal>>);

/// Error of a call.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// This keeper does not lead; the leader's number if known.
    Elsewhere(Option<u64>),
    /// The outcome is unknown.
    Unknown(String),
    /// Rejected, with a status and a reason.
    Wrong(StatusCode, String),
}

/// Result of a Raft call.
pub type Word<A> = Result<A, RaftError<u64>>;

/// Clock: monotonic Unix time, µs.
pub type Now = Arc<dyn Fn() -> Micros + Send + Sync>;

/// A running Raft node.
pub struct Seat {
    /// Its configuration.
    pub config: Config,
    now: Now,
    /// Handle of the Raft node.
    pub raft: Raft,
    machine: Machine,
    orders: mpsc::Sender<Waiting>,
}

impl Seat {
    /// Starts a node with a store and a network.
    ///
    /// # Errors
    /// The store can't be read, or the Raft node can't be started.
    pub async fn open(
        config: Config,
        settings: openraft::Config,
        store: Store,
        network: impl RaftNetworkFactory<Kinds>,
        now: Now,
    ) -> Result<Arc<Seat>, String> {
        let begins = store.begins().map_err(|e| e.to_string())?;
        let machine = Machine::open(store.clone()).map_err(|e| e.to_string())?;
        let settings = Arc::new(settings.validate().map_err(|e| e.to_string())?);
        let raft = Raft::new(config.number, settings, network, store, machine.clone()).await;
        let raft = raft.map_err(|e| e.to_string())?;
        if begins && !raft.is_initialized().await.map_err(|e| e.to_string())? {
            // Every initial keeper does this with the same members, so it initializes one cluster.
            let members: BTreeMap<u64, BasicNode> =
                config.keepers.keys().map(|number| (*number, BasicNode::default())).collect();
            if let Err(e) = raft.initialize(members).await {
                tracing::info!("not begun here: {e}");
            }
        }
        let (orders, waiting) = mpsc::channel(WAITING);
        let seat = Arc::new(Seat { config, now, raft, machine, orders });
        tokio::spawn(seat.clone().write(waiting));
        tokio::spawn(seat.clone().tick());
        Ok(seat)
    }

    /// Completes with the reason once the Raft node has failed.
    pub async fn failed(self: Arc<Self>) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(e) = &metrics.borrow().running_state {
                return format!("the log takes no more: {e}");
            }
            if metrics.changed().await.is_err() {
                return "the log has ended".into();
            }
        }
    }

    /// Current time by this keeper's clock.
    pub fn now(&self) -> Micros {
        (self.now)()
    }

    fn leads(&self) -> bool {
        self.raft.metrics().borrow().current_leader == Some(self.config.number)
    }

    /// Writes queued commands. All that arrive during a write go into the next entry, so entries are limited
    /// by the disk rather than by calls.
    async fn write(self: Arc<Self>, mut waiting: mpsc::Receiver<Waiting>) {
        let mut batch = Vec::new();
        while waiting.recv_many(&mut batch, BATCH).await > 0 {
            let (orders, replies): (Vec<Order>, Vec<_>) = batch.drain(..).unzip();
            let entry = Entry { at: self.now(), orders };
            let written = timeout(WRITTEN, self.raft.client_write(entry)).await;
            let refusal = match written {
                Ok(Ok(done)) => {
                    for (reply, to) in done.data.into_iter().zip(replies) {
                        let _ = to.send(Ok(reply));
                    }
                    continue;
                }
                Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(elsewhere)))) => {
                    Refusal::Elsewhere(elsewhere.leader_id)
                }
                Ok(Err(e)) => Refusal::Unknown(e.to_string()),
                Err(_) => Refusal::Unknown("not written in time; it may be yet".into()),
            };
            for to in replies {
                let _ = to.send(Err(refusal.clone()));
            }
        }
    }

    /// Writes a command and returns its reply; a command that was refused is an error.
    ///
    /// # Errors
    /// The command was refused, or its outcome is unknown.
    pub async fn order(&self, order: Order) -> Result<Reply, Refusal> {
        let (to, reply) = oneshot::channel();
        if self.orders.try_send((order, to)).is_err() {
            return Err(Refusal::Unknown("too much waits to be written".into()));
        }
        let reply = reply.await.unwrap_or_else(|_| Err(Refusal::Unknown("the keeper ends".into())));
        match reply? {
            Reply::NotBegun => Err(not_begun()),
            Reply::Refused(why) => Err(Refusal::Wrong(StatusCode::CONFLICT, why)),
            Reply::Superseded => Err(Refusal::Wrong(StatusCode::GONE, "a later life has asked".into())),
            reply => Ok(reply),
        }
    }

    /// Initializes the state if needed, and writes ticks while a change is pending.
    async fn tick(self: Arc<Self>) {
        loop {
            sleep(TICK).await;
            if !self.leads() {
                continue;
            }
            let (begun, waits) = self.machine.look(|desk| (desk.has_begun(), desk.waits()));
            if !begun {
                match self.first() {
                    Ok(order) => drop(self.order(order).await),
                    Err(what) => tracing::error!("the log can't begin: {what}"),
                }
            } else if waits {
                let _ = self.order(Order::Tick).await;
            }
        }
    }

    fn first(&self) -> Result<Order, String> {
        let policy = hingestage_form::load(&self.config.first, read)?;
        let version = Version { number: policy.version, digest: policy.digest() };
        Ok(Order::Begin { figures: self.config.figures, version, text: policy.text() })
    }

    /// Rejects entries whose timestamp is ahead of this clock by more than the allowed clock error: they would
    /// expire leases early. A leader thus needs a majority of keepers whose clocks agree with its own.
    ///
    /// # Errors
    /// An entry's timestamp is too far ahead.
    pub async fn append(
        &self,
        word: AppendEntriesRequest<Kinds>,
    ) -> Result<Word<AppendEntriesResponse<u64>>, Refusal> {
        let latest = self.now() + self.config.figures.error;
        let ahead = |entry: &crate::kinds::Entry| match &entry.payload {
            EntryPayload::Normal(entry) => entry.at > latest,
            _ => false,
        };
        if word.entries.iter().any(ahead) {
            tracing::error!(
                "the clock of the keeper that leads is ahead of this one's by more than clocks may be"
            );
            return Err(Refusal::Wrong(StatusCode::CONFLICT, "your clock is ahead".into()));
        }
        Ok(self.raft.append_entries(word).await)
    }

    /// Serves a gateway's lease request.
    ///
    /// # Errors
    /// The request is invalid, refused or not served here.
    pub async fn ask(&self, asked: Asked) -> Result<Reply, Refusal> {
        if !(1..=NAME_MAX).contains(&asked.question.gateway.len()) {
            return Err(wrong(&format!("a gateway's name has 1 to {NAME_MAX} bytes")));
        }
        self.order(Order::Ask(asked.question, asked.figures)).await
    }

    /// Validates and proposes a policy document. Only the leader parses it, so other keepers may run builds
    /// that know other formats.
    ///
    /// # Errors
    /// The document is invalid or dangerous, the proposal is refused, or its outcome is unknown.
    pub async fn propose(&self, proposed: Proposed) -> Result<Version, Refusal> {
        if proposed.text.len() > TEXT_MAX {
            return Err(wrong("the document is too long"));
        }
        let policy = read(&proposed.text).map_err(|e| wrong(&e))?;
        self.up_to_date().await?;
        let before = self.machine.look(|desk| desk.in_force().and_then(|text| read(text).ok()));
        let before = before.ok_or_else(not_begun)?;
        // The log itself rejects version numbers that do not increase.
        let slip = |danger: &Danger| !matches!(danger, Danger::Version(..));
        let dangers: Vec<Danger> = dangers(&before, &policy).into_iter().filter(slip).collect();
        if !dangers.is_empty() && !proposed.despite {
            let all: Vec<String> = dangers.iter().map(ToString::to_string).collect();
            return Err(Refusal::Wrong(StatusCode::PRECONDITION_REQUIRED, all.join("\n")));
        }
        let version = Version { number: policy.version, digest: policy.digest() };
        let deadline = self.now() + proposed.within;
        let order = Order::Propose { version, text: policy.text(), at: proposed.at, deadline };
        self.order(order).await?;
        Ok(version)
    }

    /// Changes the membership; new keepers catch up first.
    ///
    /// # Errors
    /// A keeper is not configured here, or the membership can't be changed now.
    pub async fn keepers(&self, numbers: BTreeSet<u64>) -> Result<(), Refusal> {
        if let Some(stranger) = numbers.iter().find(|number| !self.config.keepers.contains_key(number)) {
            return Err(wrong(&format!("keeper {stranger} is not in the file of the keeper that leads")));
        }
        let elsewhere = |e: RaftError<u64, ClientWriteError<u64, BasicNode>>| match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => Refusal::Elsewhere(to.leader_id),
            // A new leader sees the previous change as in progress: retry.
            RaftError::APIError(ClientWriteError::ChangeMembershipError(
                e @ ChangeMembershipError::InProgress(_),
            )) => Refusal::Unknown(e.to_string()),
            RaftError::APIError(e) => Refusal::Wrong(StatusCode::CONFLICT, e.to_string()),
            e => Refusal::Unknown(e.to_string()),
        };
        let known: Vec<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().map(|(number, _)| *number).collect()
        };
        for number in numbers.iter().filter(|number| !known.contains(number)) {
            self.raft.add_learner(*number, BasicNode::default(), true).await.map_err(elsewhere)?;
        }
        self.raft.change_membership(numbers, false).await.map_err(elsewhere)?;
        Ok(())
    }

    /// Waits until all entries committed before this call are applied here.
    async fn up_to_date(&self) -> Result<(), Refusal> {
        match timeout(WRITTEN, self.raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(RaftError::APIError(openraft::error::CheckIsLeaderError::ForwardToLeader(to)))) => {
                Err(Refusal::Elsewhere(to.leader_id))
            }
            Ok(Err(e)) => Err(Refusal::Unknown(e.to_string())),
            Err(_) => Err(Refusal::Unknown("no majority of keepers answers".into())),
        }
    }

    /// Status for operators.
    ///
    /// # Errors
    /// This keeper does not lead, or no majority answers.
    pub async fn status(&self) -> Result<Report, Refusal> {
        self.up_to_date().await?;
        self.machine.look(|desk| desk.report()).ok_or_else(not_begun)
    }

    /// The text of a version. Any keeper may serve it, as callers verify the digest.
    ///
    /// # Errors
    /// No such version is stored here.
    pub fn text(&self, number: u64) -> Result<String, Refusal> {
        let found = self.machine.look(|desk| desk.text(number).map(str::to_owned));
        let missing = || Refusal::Wrong(StatusCode::NOT_FOUND, "no such version is kept here".into());
        found.ok_or_else(missing)
    }
}

/// Raft settings of a keeper.
pub fn settings(config: &Config) -> openraft::Config {
    let heartbeat = config.heartbeat.as_millis() as u64;
    openraft::Config {
        cluster_name: "hingestage".into(),
        heartbeat_interval: heartbeat,
        election_timeout_min: 4 * heartbeat,
        election_timeout_max: 8 * heartbeat,
        max_payload_entries: PAYLOAD,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT.0),
        max_in_snapshot_log_to_keep: SNAPSHOT.1,
        ..openraft::Config::default()
    }
}

/// An error for an invalid call.
pub fn wrong(what: &str) -> Refusal {
    Refusal::Wrong(StatusCode::BAD_REQUEST, what.to_owned())
}

fn not_begun() -> Refusal {
    Refusal::Unknown("nothing has begun yet".into())
}
