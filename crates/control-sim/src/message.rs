//! Messages between simulated processes. Answers echo the send time of their request.

use crate::Micros;
use hingestage_rpc::messages::{
    ConfigDocument, KnownVersions, PeerAnswer, PeerRequest, ProxyStatus, RegistryMember, Watched,
};
use hingestage_rpc::workers::{KnownServiceVersion, ServiceIndex, ServiceUpdate, WorkersVersion};

/// Index of a machine: core machines first, then proxies.
pub(crate) type NodeId = usize;

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    /// Incarnation that an answer is addressed to; none for requests, which any incarnation accepts.
    pub to_incarnation: Option<u32>,
    /// Incarnation of the sender.
    pub from_incarnation: u32,
    pub message: Message,
}

/// Requests and answers of stores, registries and proxies.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// A request between stores.
    Store {
        asked_at: Micros,
        request: PeerRequest,
    },
    /// The answer of a store.
    StoreAnswer {
        asked_at: Micros,
        answer: PeerAnswer,
    },
    /// Heartbeat between registries.
    Meet {
        from: RegistryMember,
        members: Vec<RegistryMember>,
        workers: WorkersVersion,
        workers_seen: WorkersVersion,
    },
    Met {
        from: RegistryMember,
        members: Vec<RegistryMember>,
        workers: ServiceIndex,
    },
    /// A proxy asks a registry for updates.
    Watch {
        asked_at: Micros,
        status: ProxyStatus,
        have: KnownVersions,
    },
    Watched {
        asked_at: Micros,
        update: Box<Watched>,
    },
    FetchConfig,
    Config(ConfigDocument),
    /// Asks a registry or a home proxy for the workers of services.
    FetchServices(Vec<KnownServiceVersion>),
    Services(Vec<ServiceUpdate>),
}
