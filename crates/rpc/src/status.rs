//! Message types for operator tools: requests to proxies and the status of each kind of process.

use crate::messages::{ConfigTransfer, ConfigVersion, Millis, ProxyStatus, RegistryMember, StoreMember};
use crate::trials::TrialView;
use crate::workers::{KnownServiceVersion, ServiceUpdate, WorkersVersion};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A request to a proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProxyRequest {
    /// Returns the proxy's state.
    Status,
    /// Returns the outcome of recent requests.
    Explain {
        /// Attempt id of a request, or name of a tenant.
        id_or_tenant: CompactString,
    },
    /// Returns the proxy's view of a tenant's trial.
    Trial {
        /// Name of the tenant.
        tenant: CompactString,
    },
    /// Long-polls for the workers of services that this proxy relays to the other proxies of its zone.
    FollowServices {
        /// Versions that the caller has.
        have: Vec<KnownServiceVersion>,
        /// Maximum wait for a change.
        wait: Millis,
    },
    /// Long-polls for a configuration on behalf of another proxy of the zone.
    FollowConfig {
        /// The version that the caller wants.
        version: ConfigVersion,
        /// The version that the caller has.
        have: Option<ConfigVersion>,
        /// Maximum wait for it.
        wait: Millis,
    },
}

/// A proxy's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProxyAnswer {
    /// The proxy's state.
    Status(Box<ProxyState>),
    /// The outcome of recent requests.
    Explained(Explanation),
    /// The proxy's view of a tenant's trial; none if it knows no trial.
    Trial(Option<TrialView>),
    /// Updates of worker lists.
    Services(Vec<ServiceUpdate>),
    /// A configuration at least as new as requested; none if the wait timed out.
    Config(Option<ConfigTransfer>),
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// A worker's answer was forwarded.
    Served,
    /// The tenant exceeds its quota summed over all proxies, and its penalty rate is exhausted.
    #[serde(rename = "QuotaPenaltyBox")]
    QuotaPenalty,
    /// The tenant has too many open requests.
    #[serde(rename = "QuotaOpenCap")]
    QuotaConcurrency,
    /// This proxy holds no valid lease on a share of the tenant's quota.
    QuotaNoLease,
    /// This proxy's share of the tenant's quota is exhausted.
    #[serde(rename = "QuotaUsedUp")]
    QuotaExhausted,
    /// The current step of the tenant's trial reduces its quota.
    TrialSlowed,
    /// The tenant's trial has ended.
    TrialEnded,
    /// This proxy's information about the tenant's trial has expired.
    TrialUnknown,
    /// No worker accepted the request in time; it has not run.
    NoWorker,
    /// This proxy's information about revoked keys has expired.
    KeysUnchecked,
    /// This proxy has no configuration yet.
    NoConfiguration,
    /// The route and the tenant have no allowed region in common.
    NoRegion,
    /// The client's deadline passed before the request could be sent.
    NoTimeLeft,
    /// A request with the same id is in flight.
    DuplicateId,
    /// The request is malformed, too long or too slow.
    BadRequest,
    /// The configuration has no such route.
    UnknownRoute,
    /// The key is missing or not in the configuration.
    UnknownKey,
    /// A worker failed, and the request may have run.
    Failed,
    /// No worker answered in time, and the request may have run.
    TimedOut,
    /// The client disconnected before the answer.
    ClientLeft,
}

impl RequestOutcome {
    /// All variants in declaration order.
    pub const ALL: [RequestOutcome; 20] = [
        RequestOutcome::Served,
        RequestOutcome::QuotaPenalty,
        RequestOutcome::QuotaConcurrency,
        RequestOutcome::QuotaNoLease,
        RequestOutcome::QuotaExhausted,
        RequestOutcome::TrialSlowed,
        RequestOutcome::TrialEnded,
        RequestOutcome::TrialUnknown,
        RequestOutcome::NoWorker,
        RequestOutcome::KeysUnchecked,
        RequestOutcome::NoConfiguration,
        RequestOutcome::NoRegion,
        RequestOutcome::NoTimeLeft,
        RequestOutcome::DuplicateId,
        RequestOutcome::BadRequest,
        RequestOutcome::UnknownRoute,
        RequestOutcome::UnknownKey,
        RequestOutcome::Failed,
        RequestOutcome::TimedOut,
        RequestOutcome::ClientLeft,
    ];

    /// The class of this outcome.
    pub fn kind(self) -> OutcomeKind {
        match self {
            RequestOutcome::Served => OutcomeKind::Served,
            RequestOutcome::Failed | RequestOutcome::TimedOut | RequestOutcome::ClientLeft => {
                OutcomeKind::Failed
            }
            _ => OutcomeKind::Refused,
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RequestOutcome::Served => "served",
            RequestOutcome::QuotaPenalty => "quota: beyond the rate over all proxies",
            RequestOutcome::QuotaConcurrency => "quota: too many open requests",
            RequestOutcome::QuotaNoLease => "quota: this proxy holds no part of it",
            RequestOutcome::QuotaExhausted => "quota: this proxy's part is used up",
            RequestOutcome::TrialSlowed => "trial: slowed",
            RequestOutcome::TrialEnded => "trial: ended",
            RequestOutcome::TrialUnknown => "trial: can't be judged",
            RequestOutcome::NoWorker => "no worker could take it in time",
            RequestOutcome::KeysUnchecked => "keys can't be checked",
            RequestOutcome::NoConfiguration => "no configuration yet",
            RequestOutcome::NoRegion => "no region may serve it",
            RequestOutcome::NoTimeLeft => "no time left",
            RequestOutcome::DuplicateId => "the same id is open",
            RequestOutcome::BadRequest => "bad request",
            RequestOutcome::UnknownRoute => "unknown route",
            RequestOutcome::UnknownKey => "unknown key",
            RequestOutcome::Failed => "failed",
            RequestOutcome::TimedOut => "no answer in time",
            RequestOutcome::ClientLeft => "the client left",
        })
    }
}

/// Classes of request outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A worker's answer was forwarded.
    Served,
    /// The request has not run.
    Refused,
    /// The request may have run.
    Failed,
}

/// Outcome of one attempt at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The worker served the request.
    Served,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker rejected the request; it has not run.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// The connection could not be established; the request has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The answer is invalid; the request may have run.
    Unusable,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The request was not sent; it has not run.
    NotSent,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AttemptOutcome::Served => "served",
            AttemptOutcome::Error => "answered with an error",
            AttemptOutcome::Rejected => "turned it away",
            AttemptOutcome::TimedOut => "no answer in time",
            AttemptOutcome::ConnectFailed => "no connection",
            AttemptOutcome::Reset => "connection broke",
            AttemptOutcome::Unusable => "unusable answer",
            AttemptOutcome::Cancelled => "called off",
            AttemptOutcome::NotSent => "not sent",
        })
    }
}

/// An attempt at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the worker.
    pub worker: CompactString,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Attempt id; empty if it had none.
    pub id: CompactString,
    /// Time since its arrival, in milliseconds.
    pub age: Millis,
    /// Name of its route; empty if it was refused before routing.
    pub route: CompactString,
    /// Name of its tenant; empty if it has none or was refused before authentication.
    pub tenant: CompactString,
    /// Name of its service.
    pub service: CompactString,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// HTTP status of the answer; none if the client disconnected.
    pub status: Option<u16>,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Outcomes of recent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Matching requests, newest first.
    pub requests: Vec<RequestRecord>,
    /// The tenant's counters, if a tenant's name was given.
    pub tenant: Option<TenantCounters>,
}

/// Request counters of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCounters {
    /// Requests served.
    pub served: u64,
    /// Requests refused; they have not run.
    pub refused: u64,
    /// Requests failed; they may have run.
    pub failed: u64,
    /// Reason of the last refusal.
    pub last_refusal: Option<RequestOutcome>,
}

/// Number of requests with one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// Requests since the start of the process.
    pub count: u64,
}

/// Workers of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerGroup {
    /// The service.
    pub service: CompactString,
    /// The zone.
    pub zone: CompactString,
    /// Workers that may receive requests.
    pub ready: u32,
    /// Workers that are draining, or whose zone is evacuated or was restored recently.
    pub leaving: u32,
    /// Workers in warm-up.
    pub cold: u32,
}

impl WorkerGroup {
    /// A group without workers.
    pub fn new(service: &str, zone: &str) -> WorkerGroup {
        WorkerGroup { service: service.into(), zone: zone.into(), ready: 0, leaving: 0, cold: 0 }
    }
}

/// Remaining lease on the list of valid keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyLease {
    /// The settings require no lease.
    Unlimited,
    /// Time left without an update, in milliseconds.
    Left(Millis),
    /// The lease has expired; requests with a key are refused.
    Expired,
}

/// The state of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyState {
    /// The status that it reports to registries.
    pub status: ProxyStatus,
    /// Time since its start, in milliseconds.
    pub uptime: Millis,
    /// The configuration in force.
    pub config: Option<ConfigVersion>,
    /// Time since this state was last known to be the newest acknowledged one, in milliseconds.
    pub fresh_age: Option<Millis>,
    /// Remaining lease on the list of valid keys.
    pub keys: KeyLease,
    /// Remaining lease on its share of common limits, in milliseconds; none if it has no share.
    pub part_left: Option<Millis>,
    /// Whether it may hold a share of common limits.
    pub settled: bool,
    /// Number of proxies that share common limits.
    pub members: u32,
    /// Version of the worker list in use.
    pub workers_version: WorkersVersion,
    /// Workers by service and zone.
    pub workers: Vec<WorkerGroup>,
    /// Evacuated zones.
    pub drained: Vec<CompactString>,
    /// Names of the proxies that it exchanges counters with, including itself.
    pub peers: Vec<CompactString>,
    /// Completed attempts at workers.
    pub attempts: u64,
    /// Requests by outcome; outcomes that did not occur are omitted.
    pub requests: Vec<OutcomeCount>,
}

/// The state of a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryStatus {
    /// The status that it reports to other registries.
    pub member: RegistryMember,
    /// The configuration in force.
    pub config: Option<ConfigVersion>,
    /// Time since this state was last known to be the newest acknowledged one, in milliseconds.
    pub fresh_age: Option<Millis>,
    /// Fencing token with which it reads the worker list; none if another registry is the reader.
    pub fence: Option<u64>,
    /// Version of the worker list that it hands out.
    pub workers_version: WorkersVersion,
    /// Time since that list was accepted, in milliseconds.
    pub workers_age: Millis,
    /// Workers by service and zone.
    pub workers: Vec<WorkerGroup>,
    /// Evacuated zones.
    pub drained: Vec<CompactString>,
    /// Number of proxies that share common limits.
    pub members: u32,
    /// The store that it follows.
    pub store: SocketAddr,
    /// All known registries, including itself.
    pub registries: Vec<RegistryMember>,
    /// Proxies with a recent heartbeat.
    pub proxies: Vec<ProxyStatus>,
}

/// The state of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The store's identity.
    pub member: StoreMember,
    /// All known stores, including itself.
    pub members: Vec<StoreMember>,
    /// Whether it lost its disk and has not caught up yet.
    pub recovering: bool,
    /// The newest configuration on its disk.
    pub held: Option<ConfigVersion>,
    /// The configuration in force at this store.
    pub in_force: Option<ConfigVersion>,
    /// Whether the newest configuration on its disk is known to be durable.
    pub durable: bool,
    /// Evacuated zones.
    pub drained: Vec<CompactString>,
    /// Number of proxies that share common limits.
    pub proxies: u32,
    /// Time since this state was last known to be the newest acknowledged one, in milliseconds.
    pub current_age: Option<Millis>,
    /// Epoch of its voter set.
    pub epoch: u64,
    /// Names of the voters.
    pub voters: Vec<CompactString>,
}
