//! A Raft node of the policy store: batches commands into log entries, enforces the limit on clock differences
//! and serves calls. Network and clock are passed in, so that tests can simulate them.

use crate::config::Config;
use crate::raft_types::{Raft, TypeConfig};
use crate::state_machine::PolicyStateMachine;
use crate::store::Store;
use hingestage_policy_change::fields::NAME_MAX;
use hingestage_policy_change::rollout::{Micros, Version};
use hingestage_policy_change::state::{
    Entry, LeaseCall, LogCommand, ProposeRequest, Reply, Report, MAX_TEXT_BYTES,
};
use hingestage_policy_change::{dangers, read, Danger};
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
const SNAPSHOT_INTERVAL: u64 = 2_000;
/// Log entries retained behind a snapshot for slow followers.
const RETAINED_ENTRIES: u64 = 200;
/// Maximum entries in one append request; each may hold a text of maximum size.
const MAX_APPEND_ENTRIES: u64 = 32;
/// Maximum commands in one log entry.
const MAX_BATCH: usize = 512;
/// Maximum queued commands; further calls are rejected.
const QUEUE_CAPACITY: usize = 4_096;
/// Timeout of a log write, after which its outcome is unknown.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of ticks, which advance the state's clock while a change is pending.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A queued command and where to send its reply.
type QueuedCommand = (LogCommand, oneshot::Sender<Result<Reply, CallError>>);

/// Error of a call.
#[derive(Clone, Debug)]
pub enum CallError {
    /// This keeper does not lead; the leader's number if known.
    NotLeader(Option<u64>),
    /// The outcome is unknown.
    OutcomeUnknown(String),
    /// Rejected, with a status and a reason.
    Rejected(StatusCode, String),
}

/// Result of a Raft call.
pub type RaftResult<A> = Result<A, RaftError<u64>>;

/// Clock: monotonic Unix time, µs.
pub type TimeSource = Arc<dyn Fn() -> Micros + Send + Sync>;

/// A running Raft node.
pub struct Node {
    /// Its configuration.
    pub config: Config,
    now: TimeSource,
    /// Handle of the Raft node.
    pub raft: Raft,
    state_machine: PolicyStateMachine,
    commands: mpsc::Sender<QueuedCommand>,
}

impl Node {
    /// Starts a node with a store and a network.
    ///
    /// # Errors
    /// The store can't be read, or the Raft node can't be started.
    pub async fn open(
        config: Config,
        raft_config: openraft::Config,
        store: Store,
        network: impl RaftNetworkFactory<TypeConfig>,
        now: TimeSource,
    ) -> Result<Arc<Node>, String> {
        let bootstraps = store.bootstraps().map_err(|e| e.to_string())?;
        let state_machine = PolicyStateMachine::open(store.clone()).map_err(|e| e.to_string())?;
        let raft_config = Arc::new(raft_config.validate().map_err(|e| e.to_string())?);
        let raft = Raft::new(config.number, raft_config, network, store, state_machine.clone()).await;
        let raft = raft.map_err(|e| e.to_string())?;
        if bootstraps && !raft.is_initialized().await.map_err(|e| e.to_string())? {
            // Every initial keeper does this with the same members, so it initializes one cluster.
            let members: BTreeMap<u64, BasicNode> =
                config.keepers.keys().map(|number| (*number, BasicNode::default())).collect();
            if let Err(e) = raft.initialize(members).await {
                tracing::info!("the cluster is not initialized by this keeper: {e}");
            }
        }
        let (commands, waiting) = mpsc::channel(QUEUE_CAPACITY);
        let node = Arc::new(Node { config, now, raft, state_machine, commands });
        tokio::spawn(node.clone().run_writer(waiting));
        tokio::spawn(node.clone().run_ticker());
        Ok(node)
    }

    /// Completes with the reason once the Raft node has failed.
    pub async fn failed(self: Arc<Self>) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(e) = &metrics.borrow().running_state {
                return format!("the Raft node has failed: {e}");
            }
            if metrics.changed().await.is_err() {
                return "the Raft node has stopped".into();
            }
        }
    }

    /// Current time by this keeper's clock.
    pub fn now(&self) -> Micros {
        (self.now)()
    }

    fn is_leader(&self) -> bool {
        self.raft.metrics().borrow().current_leader == Some(self.config.number)
    }

    /// Writes queued commands. All that arrive during a write go into the next entry, so entries are limited
    /// by the disk rather than by calls.
    async fn run_writer(self: Arc<Self>, mut waiting: mpsc::Receiver<QueuedCommand>) {
        let mut batch = Vec::new();
        while waiting.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let (commands, replies): (Vec<LogCommand>, Vec<_>) = batch.drain(..).unzip();
            let entry = Entry { at: self.now(), commands };
            let written = timeout(WRITE_TIMEOUT, self.raft.client_write(entry)).await;
            let error = match written {
                Ok(Ok(done)) => {
                    for (reply, to) in done.data.into_iter().zip(replies) {
                        let _ = to.send(Ok(reply));
                    }
                    continue;
                }
                Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(forward)))) => {
                    CallError::NotLeader(forward.leader_id)
                }
                Ok(Err(e)) => CallError::OutcomeUnknown(e.to_string()),
                Err(_) => CallError::OutcomeUnknown("the write timed out; it may still take effect".into()),
            };
            for to in replies {
                let _ = to.send(Err(error.clone()));
            }
        }
    }

    /// Writes a command and returns its reply; a command that was refused is an error.
    ///
    /// # Errors
    /// The command was refused, or its outcome is unknown.
    pub async fn submit(&self, command: LogCommand) -> Result<Reply, CallError> {
        let (to, reply) = oneshot::channel();
        if self.commands.try_send((command, to)).is_err() {
            return Err(CallError::OutcomeUnknown("the write queue is full".into()));
        }
        let reply = reply
            .await
            .unwrap_or_else(|_| Err(CallError::OutcomeUnknown("the keeper is shutting down".into())));
        match reply? {
            Reply::NotInitialized => Err(not_initialized()),
            Reply::Refused(why) => Err(CallError::Rejected(StatusCode::CONFLICT, why)),
            Reply::Superseded => Err(CallError::Rejected(
                StatusCode::GONE,
                "a later incarnation of the gateway is known".into(),
            )),
            reply => Ok(reply),
        }
    }

    /// Initializes the state if needed, and writes ticks while a change is pending.
    async fn run_ticker(self: Arc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            if !self.is_leader() {
                continue;
            }
            let (begun, needs_tick) =
                self.state_machine.with_state(|state| (state.is_initialized(), state.needs_tick()));
            if !begun {
                match self.initial_command() {
                    Ok(command) => drop(self.submit(command).await),
                    Err(what) => tracing::error!("can't initialize the state: {what}"),
                }
            } else if needs_tick {
                let _ = self.submit(LogCommand::Tick).await;
            }
        }
    }

    fn initial_command(&self) -> Result<LogCommand, String> {
        let policy = hingestage_s_expression::load(&self.config.first, read)?;
        let version = Version { number: policy.version, digest: policy.digest() };
        Ok(LogCommand::Initialize { lease_config: self.config.lease_config, version, text: policy.text() })
    }

    /// Rejects entries whose timestamp is ahead of this clock by more than the allowed clock error: they would
    /// expire leases early. A leader thus needs a majority of keepers whose clocks agree with its own.
    ///
    /// # Errors
    /// An entry's timestamp is too far ahead.
    pub async fn append_entries(
        &self,
        request: AppendEntriesRequest<TypeConfig>,
    ) -> Result<RaftResult<AppendEntriesResponse<u64>>, CallError> {
        let latest = self.now() + self.config.lease_config.clock_error;
        let ahead = |entry: &crate::raft_types::Entry| match &entry.payload {
            EntryPayload::Normal(entry) => entry.at > latest,
            _ => false,
        };
        if request.entries.iter().any(ahead) {
            tracing::error!(
                "the leader's clock is ahead of this keeper's by more than the allowed clock error"
            );
            return Err(CallError::Rejected(StatusCode::CONFLICT, "the leader's clock is ahead".into()));
        }
        Ok(self.raft.append_entries(request).await)
    }

    /// Serves a gateway's lease request.
    ///
    /// # Errors
    /// The request is invalid, refused or not served here.
    pub async fn request_lease(&self, asked: LeaseCall) -> Result<Reply, CallError> {
        if !(1..=NAME_MAX).contains(&asked.request.gateway.len()) {
            return Err(bad_request(&format!("a gateway's name has 1 to {NAME_MAX} bytes")));
        }
        self.submit(LogCommand::RequestLease(asked.request, asked.lease_config)).await
    }

    /// Validates and proposes a policy document. Only the leader parses it, so other keepers may run builds
    /// that know other formats.
    ///
    /// # Errors
    /// The document is invalid or dangerous, the proposal is refused, or its outcome is unknown.
    pub async fn propose(&self, proposed: ProposeRequest) -> Result<Version, CallError> {
        if proposed.text.len() > MAX_TEXT_BYTES {
            return Err(bad_request("the document is too long"));
        }
        let policy = read(&proposed.text).map_err(|e| bad_request(&e))?;
        self.ensure_up_to_date().await?;
        let before = self.state_machine.with_state(|state| state.in_force().and_then(|text| read(text).ok()));
        let before = before.ok_or_else(not_initialized)?;
        // The log itself rejects version numbers that do not increase.
        let needs_confirmation = |danger: &Danger| !matches!(danger, Danger::VersionNotIncreasing(..));
        let dangers: Vec<Danger> = dangers(&before, &policy).into_iter().filter(needs_confirmation).collect();
        if !dangers.is_empty() && !proposed.confirmed {
            let all: Vec<String> = dangers.iter().map(ToString::to_string).collect();
            return Err(CallError::Rejected(StatusCode::PRECONDITION_REQUIRED, all.join("\n")));
        }
        let version = Version { number: policy.version, digest: policy.digest() };
        let deadline = self.now() + proposed.within;
        let command = LogCommand::Propose { version, text: policy.text(), at: proposed.at, deadline };
        self.submit(command).await?;
        Ok(version)
    }

    /// Changes the membership; new keepers catch up first.
    ///
    /// # Errors
    /// A keeper is not configured here, or the membership can't be changed now.
    pub async fn change_members(&self, numbers: BTreeSet<u64>) -> Result<(), CallError> {
        if let Some(unknown) = numbers.iter().find(|number| !self.config.keepers.contains_key(number)) {
            return Err(bad_request(&format!("keeper {unknown} is not in the leader's configuration")));
        }
        let to_call_error = |e: RaftError<u64, ClientWriteError<u64, BasicNode>>| match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => CallError::NotLeader(to.leader_id),
            // A new leader sees the previous change as in progress: retry.
            RaftError::APIError(ClientWriteError::ChangeMembershipError(
                e @ ChangeMembershipError::InProgress(_),
            )) => CallError::OutcomeUnknown(e.to_string()),
            RaftError::APIError(e) => CallError::Rejected(StatusCode::CONFLICT, e.to_string()),
            e => CallError::OutcomeUnknown(e.to_string()),
        };
        let known: Vec<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().map(|(number, _)| *number).collect()
        };
        for number in numbers.iter().filter(|number| !known.contains(number)) {
            self.raft.add_learner(*number, BasicNode::default(), true).await.map_err(to_call_error)?;
        }
        self.raft.change_membership(numbers, false).await.map_err(to_call_error)?;
        Ok(())
    }

    /// Waits until all entries committed before this call are applied here.
    async fn ensure_up_to_date(&self) -> Result<(), CallError> {
        match timeout(WRITE_TIMEOUT, self.raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(RaftError::APIError(openraft::error::CheckIsLeaderError::ForwardToLeader(to)))) => {
                Err(CallError::NotLeader(to.leader_id))
            }
            Ok(Err(e)) => Err(CallError::OutcomeUnknown(e.to_string())),
            Err(_) => Err(CallError::OutcomeUnknown("no majority of keepers responds".into())),
        }
    }

    /// Status for operators.
    ///
    /// # Errors
    /// This keeper does not lead, or no majority answers.
    pub async fn status(&self) -> Result<Report, CallError> {
        self.ensure_up_to_date().await?;
        self.state_machine.with_state(|state| state.report()).ok_or_else(not_initialized)
    }

    /// The text of a version. Any keeper may serve it, as callers verify the digest.
    ///
    /// # Errors
    /// No such version is stored here.
    pub fn text(&self, number: u64) -> Result<String, CallError> {
        let found = self.state_machine.with_state(|state| state.text(number).map(str::to_owned));
        let missing = || CallError::Rejected(StatusCode::NOT_FOUND, "this keeper has no such version".into());
        found.ok_or_else(missing)
    }
}

/// Raft settings of a keeper.
pub fn raft_settings(config: &Config) -> openraft::Config {
    let heartbeat = config.heartbeat.as_millis() as u64;
    openraft::Config {
        cluster_name: "hingestage".into(),
        heartbeat_interval: heartbeat,
        election_timeout_min: 4 * heartbeat,
        election_timeout_max: 8 * heartbeat,
        max_payload_entries: MAX_APPEND_ENTRIES,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL),
        max_in_snapshot_log_to_keep: RETAINED_ENTRIES,
        ..openraft::Config::default()
    }
}

/// An error for an invalid call.
pub fn bad_request(what: &str) -> CallError {
    CallError::Rejected(StatusCode::BAD_REQUEST, what.to_owned())
}

fn not_initialized() -> CallError {
    CallError::OutcomeUnknown("the policy store is not initialized yet".into())
}
