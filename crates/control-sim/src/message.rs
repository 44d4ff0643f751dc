//! What goes between the processes of a simulated system. Requests carry when they were asked, and answers say it again.

use crate::Micros;
use hingestage_rpc::messages::{
    ConfigDocument, Have, ProxyStatus, RegistryMember, StoreMember, Summary, Update, Watched,
};
use hingestage_rpc::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkersVersion};

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

impl Message {
    /// Whether trials are handed over.
    pub fn is_trials(&self) -> bool {
        matches!(self, Message::Replicate { update: Update::Trials(_), .. })
    }
}

/// What is said.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// A store compares what it has with another.
    Exchange {
        asked_at: Micros,
        from: StoreMember,
        summary: Summary,
        members: Vec<StoreMember>,
    },
    Exchanged {
        asked_at: Micros,
        summary: Summary,
        members: Vec<StoreMember>,
    },
    /// A store hands over what another lacks.
    Replicate {
        asked_at: Micros,
        update: Update,
    },
    Replicated {
        asked_at: Micros,
        summary: Summary,
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
        have: Have,
    },
    Watched {
        asked_at: Micros,
        news: Box<Watched>,
    },
    FetchConfig,
    Config(ConfigDocument),
    /// A registry or a home is asked for services' workers.
    FetchServices(Vec<ServiceHave>),
    Services(Vec<ServiceUpdate>),
}
