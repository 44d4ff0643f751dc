//! What operators ask the processes of the system, and the states that these tell.

use crate::messages::{ConfigTransfer, ConfigVersion, Millis, ProxyStatus, RegistryMember, StoreMember};
use crate::trials::TrialView;
use crate::workers::{ServiceHave, ServiceUpdate, WorkersVersion};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// What a proxy is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProxyRequest {
    /// Its state.
    Status,
    /// What became of recent requests.
    Explain {
        /// The attempt id of a request, or the name of a tenant.
        id_or_tenant: CompactString,
    },
    /// How it judges a tenant's trial.
    Trial {
        /// Name of the tenant.
        tenant: CompactString,
    },
    /// Another proxy of the zone asks for the workers of services that this proxy is the home of.
    FollowServices {
        /// What it has.
        have: Vec<ServiceHave>,
        /// How long to wait for news.
        wait: Millis,
    },
    /// Another proxy of the zone asks for a configuration.
    FollowConfig {
        /// The version that it has been told of.
        version: ConfigVersion,
        /// What it has.
        have: Option<ConfigVersion>,
        /// How long to wait for it.
        wait: Millis,
    },
}

/// What a proxy answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProxyAnswer {
    /// Its state.
    Status(Box<ProxyState>),
    /// What became of recent requests.
    Explained(Explanation),
    /// How it judges a tenant's trial; none where it knows of none.
    Trial(Option<TrialView>),
    /// The workers of services.
    Services(Vec<ServiceUpdate>),
    /// A configuration that is as new as was asked for; none where this proxy has none in time.
    Config(Option<ConfigTransfer>),
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// A worker's answer was passed on.
    Served,
    /// The tenant asks for more than its quota, over all proxies together, and its rate is used up.
    QuotaPenaltyBox,
    /// The tenant has too many open requests.
    QuotaOpenCap,
    /// This proxy holds no valid part of the tenant's quota.
    QuotaNoLease,
    /// This proxy's part of the tenant's quota is used up.
    QuotaUsedUp,
    /// A step of the tenant's trial leaves no more of its quota.
    TrialSlowed,
    /// The tenant's trial has ended, and leaves nothing to this request.
    TrialEnded,
    /// This proxy has not heard lately enough how far the tenant's trial is.
    TrialUnknown,
    /// No worker could take the request in time; it has not run.
    NoWorker,
    /// This proxy has not heard lately enough which keys were taken away.
    KeysUnchecked,
    /// This proxy has no configuration yet.
    NoConfiguration,
    /// Route and tenant allow no region in common.
    NoRegion,
    /// The client's time was used up before the request could be sent.
    NoTimeLeft,
    /// A request with the same id was open.
    DuplicateId,
    /// The request can't be read, or it is too long or too slow.
    BadRequest,
    /// The configuration has no such route.
    UnknownRoute,
    /// No key, or one that the configuration doesn't have.
    UnknownKey,
    /// A worker failed, and the request may have run.
    Failed,
    /// No worker answered in time, and the request may have run.
    TimedOut,
    /// The client left before there was an answer.
    ClientLeft,
}

impl RequestOutcome {
    /// All of them, in the order of their numbers.
    pub const ALL: [RequestOutcome; 20] = [
        RequestOutcome::Served,
        RequestOutcome::QuotaPenaltyBox,
        RequestOutcome::QuotaOpenCap,
        RequestOutcome::QuotaNoLease,
        RequestOutcome::QuotaUsedUp,
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

    /// Which kind of end this is.
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
            RequestOutcome::QuotaPenaltyBox => "quota: beyond the rate over all proxies",
            RequestOutcome::QuotaOpenCap => "quota: too many open requests",
            RequestOutcome::QuotaNoLease => "quota: this proxy holds no part of it",
            RequestOutcome::QuotaUsedUp => "quota: this proxy's part is used up",
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

/// Kinds of ends of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A worker's answer was passed on.
    Served,
    /// The request has not run.
    Refused,
    /// The request may have run.
    Failed,
}

/// How one attempt at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The worker served it.
    Served,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker turned it away; it has not run.
    TurnedAway,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The answer can't be used; it may have run.
    Unusable,
    /// Called off; it may have run.
    Cancelled,
    /// Not transmitted; it has not run.
    NotSent,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AttemptOutcome::Served => "served",
            AttemptOutcome::Error => "answered with an error",
            AttemptOutcome::TurnedAway => "turned it away",
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
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its attempt id; empty where it had none.
    pub id: CompactString,
    /// How long ago it came.
    pub age: Millis,
    /// Name of its route; empty where it was refused before that was known.
    pub route: CompactString,
    /// Name of its tenant; empty where it has none or was refused before that was known.
    pub tenant: CompactString,
    /// The service that it was for.
    pub service: CompactString,
    /// The workers that it was sent to, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Status of the answer; none where the client left.
    pub status: Option<u16>,
    /// Why.
    pub outcome: RequestOutcome,
}

/// What became of recent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The requests that match, the newest first.
    pub requests: Vec<RequestRecord>,
    /// The tenant's counters, where its name was asked for.
    pub tenant: Option<TenantCounters>,
}

/// Requests of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCounters {
    /// Served.
    pub served: u64,
    /// Refused: they have not run.
    pub refused: u64,
    /// Failed: they may have run.
    pub failed: u64,
    /// Why the last one was refused that was.
    pub last_refusal: Option<RequestOutcome>,
}

/// How many requests ended in one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// The way.
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
    /// Those that may get requests.
    pub ready: u32,
    /// Those that leave, or whose zone is evacuated or has just been taken back.
    pub leaving: u32,
    /// Those that bear little for now.
    pub cold: u32,
}

impl WorkerGroup {
    /// No workers yet.
    pub fn new(service: &str, zone: &str) -> WorkerGroup {
        WorkerGroup { service: service.into(), zone: zone.into(), ready: 0, leaving: 0, cold: 0 }
    }
}

/// How long keys may be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyLease {
    /// For ever: the settings don't ask for a lease.
    Unlimited,
    /// For so long, without further news.
    Left(Millis),
    /// No longer: requests with a key are refused.
    Expired,
}

/// The state of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyState {
    /// What it tells registries of itself.
    pub status: ProxyStatus,
    /// How long it has run.
    pub uptime: Millis,
    /// The configuration in force.
    pub config: Option<ConfigVersion>,
    /// Age of the latest moment at which nothing newer can have been acknowledged anywhere.
    pub fresh_age: Option<Millis>,
    /// How long keys may be believed.
    pub keys: KeyLease,
    /// How much longer its part of common limits may be used without further news; none where it has none.
    pub part_left: Option<Millis>,
    /// Whether it may have a part of common limits.
    pub settled: bool,
    /// Proxies that take part in common limits.
    pub members: u32,
    /// The list of workers that it goes by.
    pub workers_version: WorkersVersion,
    /// Workers by service and zone.
    pub workers: Vec<WorkerGroup>,
    /// Zones that are evacuated.
    pub drained: Vec<CompactString>,
    /// Names of the proxies that it tells counts to, itself among them.
    pub peers: Vec<CompactString>,
    /// Attempts at workers that have ended.
    pub attempts: u64,
    /// Requests by how they ended, without those ways that have not occurred.
    pub requests: Vec<OutcomeCount>,
}

/// The state of a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryStatus {
    /// What it tells other registries of itself.
    pub member: RegistryMember,
    /// The configuration in force.
    pub config: Option<ConfigVersion>,
    /// Age of the latest moment at which nothing newer can have been acknowledged anywhere.
    pub fresh_age: Option<Millis>,
    /// Number under which it reads the list of workers; none where another has that duty.
    pub fence: Option<u64>,
    /// The list of workers that it hands out.
    pub workers_version: WorkersVersion,
    /// How long ago that list was taken in.
    pub workers_age: Millis,
    /// Workers by service and zone.
    pub workers: Vec<WorkerGroup>,
    /// Zones that are evacuated.
    pub drained: Vec<CompactString>,
    /// Proxies that take part in common limits.
    pub members: u32,
    /// The store that it goes by.
    pub store: SocketAddr,
    /// All registries that it knows, itself among them.
    pub registries: Vec<RegistryMember>,
    /// Proxies heard lately.
    pub proxies: Vec<ProxyStatus>,
}

/// The state of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The store.
    pub member: StoreMember,
    /// All stores that it knows, itself among them.
    pub members: Vec<StoreMember>,
    /// Whether it lost its disk and has not caught up.
    pub recovering: bool,
    /// The newest configuration on its disk.
    pub held: Option<ConfigVersion>,
    /// The configuration that it has in force.
    pub in_force: Option<ConfigVersion>,
    /// Whether the newest configuration on its disk is known to be durable.
    pub durable: bool,
    /// Zones that are evacuated.
    pub drained: Vec<CompactString>,
    /// Proxies that take part in common limits.
    pub proxies: u32,
    /// Age of the latest moment at which nothing newer can have been acknowledged anywhere.
    pub current_age: Option<Millis>,
    /// Number of the set of voters that it knows.
    pub epoch: u64,
    /// Names of the voters.
    pub voters: Vec<CompactString>,
}
