//! What goes between the processes of a simulated system. Requests carry when they were asked, and answers say it again.

use crate::Micros;
use hingestage_rpc::messages::{
    ConfigDocument, KnownVersions, PeerAnswer, PeerRequest, ProxyStatus, RegistryMember, Watched,
};
use hingestage_rpc::workers::{KnownServiceVersion, ServiceIndex, ServiceUpdate, WorkersVersion};

/// A machine: core machines first, then proxies.
pub(crate) type NodeId = usize;

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    /// Life of the process that an answer is for; a request reaches whatever process is there.
    pub to_life: Option<u32>,
    /// Life of the sender.
    pub from_life: u32,
    pub message: Message,
}

/// What is said.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// A store asks another.
    Store {
        asked_at: Micros,
        request: PeerRequest,
    },
    /// Its answer.
    StoreAnswer {
        asked_at: Micros,
        answer: PeerAnswer,
    },
    /// Registries hear each other.
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
    /// A proxy asks a registry for news.
    Watch {
        asked_at: Micros,
        status: ProxyStatus,
        have: KnownVersions,
    },
    Watched {
        asked_at: Micros,
        news: Box<Watched>,
    },
    FetchConfig,
    Config(ConfigDocument),
    /// A registry or a home is asked for services' workers.
    FetchServices(Vec<KnownServiceVersion>),
    Services(Vec<ServiceUpdate>),
}
