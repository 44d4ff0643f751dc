//! Message types of the RPC protocol between stores, registries and proxies.

use crate::digest;
use crate::status::{RegistryStatus, StoreStatus};
use crate::trials::{AuditEntry, TrialRecord, TrialRevision, TrialStep, TrialUpdate};
use crate::workers::{KnownServiceVersion, ServiceIndex, ServiceUpdate, WorkersVersion};
use compact_str::CompactString;
use hingestage_configuration::transfer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum length of a configuration document in bytes.
pub const DOCUMENT_MAX: usize = 48 << 20;

/// A duration in milliseconds.
pub type Millis = u64;

/// Version of the configuration. The digest distinguishes different documents with the same serial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Serial chosen by the operator.
    pub serial: u64,
    /// Digest of the document.
    pub digest: u64,
}

/// The operator's configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document as JSON.
    pub json: Vec<u8>,
}

impl ConfigDocument {
    /// Creates a document with the given serial.
    pub fn new(serial: u64, json: Vec<u8>) -> ConfigDocument {
        ConfigDocument { version: ConfigVersion { serial, digest: digest(&json) }, json }
    }
}

/// A configuration in transfer form: complete, or as a change to a version that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigTransfer {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The version that the change applies to; none for a complete document.
    pub base: Option<ConfigVersion>,
    /// The compressed document or change.
    pub packed: Vec<u8>,
}

impl ConfigTransfer {
    /// Packs a document, as a change if a base is given.
    pub fn new(document: &ConfigDocument, base: Option<&ConfigDocument>) -> ConfigTransfer {
        let packed = match base {
            Some(base) => transfer::pack_delta(&base.json, &document.json),
            None => transfer::pack(&document.json),
        };
        ConfigTransfer { version: document.version, base: base.map(|base| base.version), packed }
    }

    /// Unpacks the document using the receiver's current one. Returns none if the base differs or the digest does not
    /// match.
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

/// Whether a zone is evacuated. Of several orders for a zone the one with the highest number wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ZoneDrain {
    /// Order number.
    pub order: u64,
    /// Whether the zone's workers must receive no requests.
    pub drained: bool,
}

/// Evacuation orders by zone.
pub type ZoneDrains = BTreeMap<CompactString, ZoneDrain>;
/// Names of the proxies that share common limits, and whether each is settled: a proxy may use its share of a limit
/// only once all leases granted before its admission have expired.
pub type ProxyNames = BTreeMap<CompactString, bool>;

/// Ballot number of a proposal; the higher ballot wins. Ballots are unique across proposers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than every round that the proposer has seen.
    pub round: u64,
    /// Disk id of the proposing store.
    pub proposer: u64,
}

impl Ballot {
    /// Lower than the ballot of any proposal.
    pub const ZERO: Ballot = Ballot { round: 0, proposer: 0 };
}

/// A part of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The configuration.
    Config(ConfigDocument),
    /// All proxies that share common limits.
    Proxies(ProxyNames),
    /// Trials of all tenants.
    Trials(Vec<TrialRecord>),
    /// Trials newer than those that the receiver is known to have.
    TrialChanges(Vec<TrialRecord>),
}

/// Summary of a store's state: versions and digests of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The newest configuration.
    pub config: Option<ConfigVersion>,
    /// Evacuation orders.
    pub drains: ZoneDrains,
    /// Count and digest of the proxy names.
    pub proxies: (u64, u64),
    /// Count and digest of the trials.
    pub trials: (u64, u64),
    /// Whether the store is still learning the decided state; it must not serve reads.
    pub recovering: bool,
}

/// Identity of a store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreMember {
    /// Name of the machine.
    pub name: CompactString,
    /// Zone of the machine.
    pub zone: CompactString,
    /// RPC address.
    pub addr: SocketAddr,
    /// Random id of the disk, drawn at first use; a store that lost its disk returns with a new id.
    pub disk: u64,
}

/// The set of voting stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Incremented with each change of the voter set.
    pub epoch: u64,
    /// Voters in order of their names.
    pub voters: Vec<StoreMember>,
    /// The previous voters while a change is in progress, when quorums of both sets are required; else empty.
    pub previous: Vec<StoreMember>,
}

/// State sent to another store: the target summary and the parts that the receiver is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Summary of the state after the transfer.
    pub target: Summary,
    /// The voter set.
    pub membership: Membership,
    /// Parts that differ.
    pub parts: Vec<Part>,
}

/// Progress of a store in the replication protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Ballot of the proposal on disk.
    pub accepted: Ballot,
    /// Ballot of the latest proposal known to be decided.
    pub decided: Ballot,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// A request from one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges progress and known members.
    Exchange {
        /// The sender.
        from: StoreMember,
        /// Progress of the sender.
        standing: Standing,
        /// Stores known to the sender.
        known: Vec<StoreMember>,
    },
    /// Asks for a promise to accept no lower ballot (phase 1).
    Prepare {
        /// Ballot of the proposal to follow.
        ballot: Ballot,
    },
    /// Asks to accept a proposal (phase 2).
    Accept {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// The proposed state.
        transfer: Transfer,
    },
    /// Asks for the state of a proposal, or for a later decided state.
    Fetch {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Summary of the requester's state.
        have: Summary,
    },
}

/// A store's answer to another store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answer to [`PeerRequest::Exchange`].
    Exchanged {
        /// The responder.
        from: StoreMember,
        /// Progress of the sender.
        standing: Standing,
        /// Stores known to the sender.
        known: Vec<StoreMember>,
    },
    /// Promises to accept no lower ballot.
    Promised {
        /// The responder.
        from: StoreMember,
        /// The promised ballot.
        ballot: Ballot,
        /// Progress of the sender.
        standing: Standing,
    },
    /// The proposal was accepted and written to disk.
    Accepted {
        /// The responder.
        from: StoreMember,
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// The received parts do not complete the proposed state; reports what the responder has.
    Lacks {
        /// The responder.
        from: StoreMember,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Summary of the responder's state.
        have: Summary,
    },
    /// A higher ballot was promised, or another proposal is in progress.
    Refused {
        /// The responder.
        from: StoreMember,
        /// The requested ballot.
        ballot: Ballot,
        /// The promised ballot.
        promised: Ballot,
    },
    /// Answer to [`PeerRequest::Fetch`].
    Fetched {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Whether the proposal is decided.
        decided: bool,
        /// The state.
        transfer: Transfer,
    },
    /// A disk write failed, or there is no such state.
    Failed,
}

/// A request to a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    /// A request from another store.
    Peer(PeerRequest),
    /// Proposes a change and waits until it is durable.
    Propose {
        /// The change.
        change: Change,
        /// Maximum wait for durability.
        wait: Millis,
    },
    /// Long-polls for changes to the caller's state.
    Watch {
        /// Summary of the caller's state.
        have: Summary,
        /// Maximum wait for a change.
        wait: Millis,
    },
    /// Reads the newest configuration from a quorum.
    Read {
        /// Maximum wait for the other stores.
        wait: Millis,
    },
    /// Returns the process's status to an operator.
    Status,
    /// Returns the audit log of a tenant's trial to an operator.
    TrialAudit {
        /// Name of the tenant.
        tenant: CompactString,
    },
}

/// A change proposed by a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    /// A validated configuration.
    Config(ConfigDocument),
    /// Evacuates or restores a zone.
    Drain {
        /// The zone.
        zone: CompactString,
        /// Whether to evacuate it.
        drained: bool,
    },
    /// Proxies seen by the registry.
    Proxies(ProxyNames),
    /// Validated terms of a tenant's trial.
    TrialTerms(TrialRecord),
    /// Trial steps that are due.
    TrialSteps(Vec<TrialStep>),
}

/// A store's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// Answer to another store.
    Peer(PeerAnswer),
    /// Result of a proposed change.
    Proposed(Proposed),
    /// Changes for a registry.
    Watched(Box<StoreUpdate>),
    /// The newest configuration, and whether a quorum answered.
    Read(Option<ConfigDocument>, ReadState),
    /// A disk write failed.
    Failed,
    /// The process's status.
    Status(Box<StoreStatus>),
    /// Steps of a tenant's trial, oldest first.
    TrialAudit(Vec<AuditEntry>),
}

/// Whether a read reached a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadState {
    /// A quorum answered; nothing newer has been acknowledged.
    Current,
    /// No quorum answered.
    Unknown,
}

/// Result of a proposed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposed {
    /// The change, or a newer one, is durable on a quorum.
    Durable,
    /// Durability is not known yet.
    Pending,
    /// Another document already uses the serial.
    SerialTaken,
    /// Superseded by other terms of the trial.
    Overtaken,
    /// The maximum number of trials is reached.
    Full,
}

/// Update of a registry by its store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Summary of the state in force.
    pub summary: Summary,
    /// The configuration in force, if newer than the caller's.
    pub config: Option<ConfigDocument>,
    /// The proxy names, if changed.
    pub proxies: Option<ProxyNames>,
    /// The durable trials, if changed.
    pub trials: Option<Vec<TrialUpdate>>,
    /// Time since this state was last known to be the newest acknowledged one, in milliseconds.
    pub fresh_age: Option<Millis>,
}

/// Identity of one run of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the machine.
    pub node: CompactString,
    /// Increases with each start.
    pub incarnation: u64,
}

/// Status of a proxy, as it reports it in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Process id.
    pub id: ProcessId,
    /// Zone of the machine.
    pub zone: CompactString,
    /// Region of the machine.
    pub region: CompactString,
    /// HTTP address for clients.
    pub http: SocketAddr,
    /// RPC address for other proxies.
    pub peer: SocketAddr,
    /// Whether it accepts client traffic.
    pub ready: bool,
}

/// Versions of the state that a proxy or registry has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// The configuration.
    pub config: Option<ConfigVersion>,
    /// Evacuation orders.
    pub drains: ZoneDrains,
    /// Version of the worker list announced to it.
    pub workers: WorkersVersion,
    /// Highest version among the worker lists that it has.
    pub workers_seen: WorkersVersion,
    /// Digest of the proxy directory.
    pub directory: u64,
    /// Last trial revision received from the registry.
    pub trials: TrialRevision,
}

/// Status of a registry, as it reports it to other registries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryMember {
    /// Process id.
    pub id: ProcessId,
    /// Zone of the machine.
    pub zone: CompactString,
    /// RPC address.
    pub addr: SocketAddr,
    /// Whether it can read the worker list from the platform.
    pub reads_list: bool,
}

/// Address of a registry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegistryAddress {
    /// RPC address.
    pub addr: SocketAddr,
    /// Zone of the machine.
    pub zone: CompactString,
}

/// A request to a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RegistryRequest {
    /// A proxy's heartbeat, which long-polls for changes.
    Watch {
        /// Status of the proxy.
        status: ProxyStatus,
        /// Versions that it has.
        have: KnownVersions,
        /// Maximum wait for a change.
        wait: Millis,
    },
    /// Heartbeat of another registry.
    #[serde(rename = "Meet")]
    Gossip {
        /// The sender.
        from: RegistryMember,
        /// Registries known to the sender.
        members: Vec<RegistryMember>,
        /// Version of the worker list announced to it.
        workers: WorkersVersion,
        /// Highest version among the worker lists that it has.
        workers_seen: WorkersVersion,
    },
    /// Fetches the configuration in force.
    FetchConfig {
        /// The caller's version.
        have: Option<ConfigVersion>,
    },
    /// Fetches the workers of services that are newer than the given versions.
    FetchServices(Vec<KnownServiceVersion>),
    /// Returns the process's status to an operator.
    Status,
}

/// A registry's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RegistryAnswer {
    /// Answer to a proxy's heartbeat.
    Watched(Box<Watched>),
    /// Answer to a registry's heartbeat.
    #[serde(rename = "Met")]
    GossipReply {
        /// The responder.
        from: RegistryMember,
        /// Registries known to the sender.
        members: Vec<RegistryMember>,
        /// Services whose workers are newer than the caller's.
        workers: ServiceIndex,
    },
    /// The configuration in force, if there is one.
    Config(Option<ConfigTransfer>),
    /// Updates of worker lists.
    Services(Vec<ServiceUpdate>),
    /// The process's status.
    Status(Box<RegistryStatus>),
}

/// Answer to a proxy's heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Watched {
    /// The registry's versions; the proxy fetches whatever is newer.
    pub have: KnownVersions,
    /// Transfer size of the configuration in bytes, from which the proxy derives its fetch timeout.
    pub config_bytes: u64,
    /// Services whose workers are newer than the proxy's.
    pub services: ServiceIndex,
    /// The proxy directory, if changed.
    pub directory: Option<Vec<ProxyStatus>>,
    /// Trials newer than the proxy's.
    pub trials: Vec<TrialUpdate>,
    /// All registries.
    pub registries: Vec<RegistryAddress>,
    /// Time since this state was last known to be the newest acknowledged one, in milliseconds.
    pub fresh_age: Option<Millis>,
    /// Number of proxies that share common limits.
    pub members: u32,
    /// Whether the calling proxy is a settled member.
    pub settled: bool,
}
