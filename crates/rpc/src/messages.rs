//! What the processes of the system say to each other.

use crate::digest;
use crate::status::{RegistryStatus, StoreStatus};
use crate::trials::{AuditEntry, TrialNews, TrialRecord, TrialRevision, TrialStep};
use crate::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkersVersion};
use compact_str::CompactString;
use hingestage_configuration::transfer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest document, bytes.
pub const DOCUMENT_MAX: usize = 48 << 20;

/// Milliseconds, a span.
pub type Millis = u64;

/// A version of the configuration: its serial, and a digest that tells two contents under one serial apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The operator's serial.
    pub serial: u64,
    /// Digest of the document.
    pub digest: u64,
}

/// A configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its version.
    pub version: ConfigVersion,
    /// The document, JSON.
    pub json: Vec<u8>,
}

impl ConfigDocument {
    /// A document under a serial.
    pub fn new(serial: u64, json: Vec<u8>) -> ConfigDocument {
        ConfigDocument { version: ConfigVersion { serial, digest: digest(&json) }, json }
    }
}

/// A configuration on its way to a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigTransfer {
    /// Its version.
    pub version: ConfigVersion,
    /// The version that it is a change to; none where it is whole.
    pub base: Option<ConfigVersion>,
    /// The document, or the change, packed.
    pub packed: Vec<u8>,
}

impl ConfigTransfer {
    /// Packs a document, whole or as a change to one that the receiver has.
    pub fn new(document: &ConfigDocument, base: Option<&ConfigDocument>) -> ConfigTransfer {
        let packed = match base {
            Some(base) => transfer::pack_delta(&base.json, &document.json),
            None => transfer::pack(&document.json),
        };
        ConfigTransfer { version: document.version, base: base.map(|base| base.version), packed }
    }

    /// The document, made from the one that the receiver has. None where it is a change to another one, or its
    /// digest is not the version's.
    pub fn unpack(&self, held: Option<&ConfigDocument>) -> Option<ConfigDocument> {
        let json = match self.base {
            None => transfer::unpack(&self.packed, DOCUMENT_MAX),
            Some(base) => {
                let held = held.filter(|held| held.version == base)?;
                transfer::unpack_delta(&held.json, &self.packed, DOCUMENT_MAX)
            }
        };
        let json = json.ok().filter(|json| digest(json) == self.version.digest)?;
        Some(ConfigDocument { version: self.version, json })
    }
}

/// Whether a zone is evacuated, and by which order: the one with the highest number holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ZoneDrain {
    /// Number of the order.
    pub order: u64,
    /// Whether nothing may be sent to the zone's workers.
    pub drained: bool,
}

/// Orders about zones, by zone.
pub type ZoneDrains = BTreeMap<CompactString, ZoneDrain>;
/// Proxies that take part in common limits, by name, and whether each is settled: a proxy may use its part of a
/// limit only once all leases from before its admission are over.
pub type ProxyNames = BTreeMap<CompactString, bool>;

/// Number of a proposal: of two, the higher one holds. No two proposers ever use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Above every round that the proposer has heard of.
    pub round: u64,
    /// The disk of the store that proposes.
    pub proposer: u64,
}

impl Ballot {
    /// Before any proposal.
    pub const ZERO: Ballot = Ballot { round: 0, proposer: 0 };
}

/// A part of what the stores keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The configuration.
    Config(ConfigDocument),
    /// All proxies that take part in common limits.
    Proxies(ProxyNames),
    /// Trials of all tenants.
    Trials(Vec<TrialRecord>),
    /// Trials that are newer than those that the receiver is known to have.
    TrialChanges(Vec<TrialRecord>),
}

/// What a store holds, in short.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The newest configuration.
    pub config: Option<ConfigVersion>,
    /// Orders about zones.
    pub drains: ZoneDrains,
    /// Number and digest of the names of proxies.
    pub proxies: (u64, u64),
    /// Number and digest of the trials.
    pub trials: (u64, u64),
    /// Whether the store has not been told yet what was decided: it speaks for nobody.
    pub recovering: bool,
}

/// A store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreMember {
    /// Name of its machine.
    pub name: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// Where it is called.
    pub addr: SocketAddr,
    /// Drawn when its disk was first used: a store whose disk was lost comes back as another one.
    pub disk: u64,
}

/// Which stores vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Grows with each change of the voters.
    pub epoch: u64,
    /// The stores that vote, by name.
    pub voters: Vec<StoreMember>,
    /// The voters before them, while the change is not settled: quorums of both sets are needed. Else empty.
    pub previous: Vec<StoreMember>,
}

/// The state of a store as it goes to another one: what it comes to, and the parts that the other lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// What the state comes to.
    pub target: Summary,
    /// Which stores vote.
    pub membership: Membership,
    /// The parts that differ.
    pub parts: Vec<Part>,
}

/// How far a store is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The proposal that it has on disk.
    pub accepted: Ballot,
    /// The latest proposal that it knows to be decided.
    pub decided: Ballot,
    /// Whether it was told to end.
    pub leaving: bool,
}

/// What stores ask each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// How far are you? This is how far I am.
    Exchange {
        /// Who asks.
        from: StoreMember,
        /// How far it is.
        standing: Standing,
        /// Whom it knows.
        known: Vec<StoreMember>,
    },
    /// Accept nothing below this ballot any more.
    Prepare {
        /// The ballot of a proposal that is to follow.
        ballot: Ballot,
    },
    /// Accept a proposal.
    Accept {
        /// Its ballot.
        ballot: Ballot,
        /// The state that it proposes.
        transfer: Transfer,
    },
    /// Hand over the state of a proposal, or a later one that is decided.
    Fetch {
        /// The proposal.
        ballot: Ballot,
        /// What the asker has.
        have: Summary,
    },
}

/// What stores answer each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To an exchange.
    Exchanged {
        /// Who answers.
        from: StoreMember,
        /// How far it is.
        standing: Standing,
        /// Whom it knows.
        known: Vec<StoreMember>,
    },
    /// Nothing below the ballot will be accepted.
    Promised {
        /// Who promises.
        from: StoreMember,
        /// The ballot.
        ballot: Ballot,
        /// How far it is.
        standing: Standing,
    },
    /// The proposal is on disk.
    Accepted {
        /// Who has accepted it.
        from: StoreMember,
        /// Its ballot.
        ballot: Ballot,
    },
    /// The parts that came do not make up the state; this is what is there.
    Lacks {
        /// Who answers.
        from: StoreMember,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// What it has.
        have: Summary,
    },
    /// A higher ballot has been promised, or another proposal is under way.
    Refused {
        /// Who refuses.
        from: StoreMember,
        /// The ballot that was asked for.
        ballot: Ballot,
        /// The one that was promised.
        promised: Ballot,
    },
    /// A state.
    Fetched {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Whether it is decided.
        decided: bool,
        /// The state.
        transfer: Transfer,
    },
    /// The disk refuses, or there is no such state.
    Failed,
}

/// What a store is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Another store asks.
    Peer(PeerRequest),
    /// A registry asks for a change, and to be told when it is durable.
    Propose {
        /// The change.
        change: Change,
        /// How long to wait for that.
        wait: Millis,
    },
    /// A registry asks for what is newer than what it has.
    Watch {
        /// What it has.
        have: Summary,
        /// How long to wait for news.
        wait: Millis,
    },
    /// A registry asks for the newest configuration anywhere.
    Read {
        /// How long to wait for the other stores.
        wait: Millis,
    },
    /// An operator asks for its state.
    Status,
    /// An operator asks which steps of a tenant's trial were taken.
    TrialAudit {
        /// Name of the tenant.
        tenant: CompactString,
    },
}

/// A change as a registry asks for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    /// A valid configuration.
    Config(ConfigDocument),
    /// Evacuate a zone, or take that back.
    Drain {
        /// The zone.
        zone: CompactString,
        /// Whether it is to be evacuated.
        drained: bool,
    },
    /// Proxies that have been heard of.
    Proxies(ProxyNames),
    /// Valid terms of a tenant's trial.
    TrialTerms(TrialRecord),
    /// Steps of trials that are due.
    TrialSteps(Vec<TrialStep>),
}

/// What a store answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// To another store.
    Peer(PeerAnswer),
    /// What became of a change.
    Proposed(Proposed),
    /// News for a registry.
    Watched(Box<StoreNews>),
    /// The newest configuration, where enough stores could be asked.
    Read(Option<ConfigDocument>, ReadState),
    /// The disk refuses.
    Failed,
    /// To an operator.
    Status(Box<StoreStatus>),
    /// Steps of a tenant's trial, the latest last.
    TrialAudit(Vec<AuditEntry>),
}

/// Whether a read reached enough stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadState {
    /// Nothing newer has been acknowledged.
    Current,
    /// Too few stores answered.
    Unknown,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposed {
    /// It outlasts any loss that is to be borne, or something newer does.
    Durable,
    /// Not known yet.
    Pending,
    /// Another document holds under the same serial.
    SerialTaken,
    /// Other terms of a trial hold in its place.
    Overtaken,
    /// There is no room for the trial of one more tenant.
    Full,
}

/// What a store tells a registry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreNews {
    /// What is in force, in short.
    pub summary: Summary,
    /// The configuration in force, where it is newer.
    pub config: Option<ConfigDocument>,
    /// The names of proxies, where they are others.
    pub proxies: Option<ProxyNames>,
    /// The trials that are durable, where they are others.
    pub trials: Option<Vec<TrialNews>>,
    /// Age of the latest moment at which nothing newer can have been acknowledged anywhere.
    pub fresh_age: Option<Millis>,
}

/// One life of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of its machine.
    pub node: CompactString,
    /// Grows with each start.
    pub incarnation: u64,
}

/// What a proxy tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Which process.
    pub id: ProcessId,
    /// Its zone.
    pub zone: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Where clients reach it.
    pub http: SocketAddr,
    /// Where other proxies reach it.
    pub peer: SocketAddr,
    /// Whether clients are to be sent there.
    pub ready: bool,
}

/// What a proxy or registry has of the state that registries hand out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// The configuration.
    pub config: Option<ConfigVersion>,
    /// Orders about zones.
    pub drains: ZoneDrains,
    /// The list of workers, as far as it was told of it.
    pub workers: WorkersVersion,
    /// The highest version that it has of any service's workers.
    pub workers_seen: WorkersVersion,
    /// Digest of the directory of proxies.
    pub directory: u64,
    /// Trials, as far as the registry told of them.
    pub trials: TrialRevision,
}

/// A registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryMember {
    /// Which process.
    pub id: ProcessId,
    /// Its zone.
    pub zone: CompactString,
    /// Where it is called.
    pub addr: SocketAddr,
    /// Whether the platform answers it.
    pub reads_list: bool,
}

/// Where a registry is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegistryAddress {
    /// Where it is called.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
}

/// What a registry is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RegistryRequest {
    /// A proxy's heartbeat: answered at once where there is news, else after a while.
    Watch {
        /// Who asks.
        status: ProxyStatus,
        /// What it has.
        have: Have,
        /// How long to wait for news.
        wait: Millis,
    },
    /// Another registry's heartbeat.
    Meet {
        /// Who asks.
        from: RegistryMember,
        /// Whom it knows.
        members: Vec<RegistryMember>,
        /// The list of workers, as far as it was told of it.
        workers: WorkersVersion,
        /// The highest version that it has of any service's workers.
        workers_seen: WorkersVersion,
    },
    /// The configuration in force.
    FetchConfig {
        /// What the asker has.
        have: Option<ConfigVersion>,
    },
    /// The workers of some services, where they are newer than what the asker has.
    FetchServices(Vec<ServiceHave>),
    /// An operator asks for its state.
    Status,
}

/// What a registry answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RegistryAnswer {
    /// To a proxy.
    Watched(Box<Watched>),
    /// To a registry.
    Met {
        /// Who answers.
        from: RegistryMember,
        /// Whom it knows.
        members: Vec<RegistryMember>,
        /// Which services' workers are newer than what the asker has.
        workers: ServiceIndex,
    },
    /// The configuration in force, where there is one.
    Config(Option<ConfigTransfer>),
    /// The workers of services.
    Services(Vec<ServiceUpdate>),
    /// To an operator.
    Status(Box<RegistryStatus>),
}

/// What a registry tells a proxy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Watched {
    /// What the registry has: the proxy fetches what is newer.
    pub have: Have,
    /// Length of the configuration as it would be sent to the proxy, bytes: how long a fetch may take goes by it.
    pub config_bytes: u64,
    /// Which services' workers are newer than what the proxy has.
    pub services: ServiceIndex,
    /// The proxies that the asker is to know, where they are others.
    pub directory: Option<Vec<ProxyStatus>>,
    /// Trials that are newer than what the asker has.
    pub trials: Vec<TrialNews>,
    /// All registries.
    pub registries: Vec<RegistryAddress>,
    /// Age of the latest moment at which nothing newer can have been acknowledged anywhere.
    pub fresh_age: Option<Millis>,
    /// Proxies that take part in common limits.
    pub members: u32,
    /// Whether the asking proxy is one of them, and settled.
    pub settled: bool,
}
