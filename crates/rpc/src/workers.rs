//! Message types for worker lists, sent per service as a snapshot or as changes.

use crate::messages::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the worker list: fencing token, reader and sequence number. The reader distinguishes processes with the
/// same fencing token, so that a version never identifies two different lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkersVersion {
    /// Fencing token of the reader role; grows with each change of the reader.
    pub fence: u64,
    /// The process that read the list.
    pub reader: u64,
    /// Sequence number of the list.
    pub number: u64,
}

impl WorkersVersion {
    /// Whether both lists were read by the same process with the same fencing token.
    pub fn has_same_reader(&self, other: &WorkersVersion) -> bool {
        (self.fence, self.reader) == (other.fence, other.reader)
    }
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Worker id; changes with each start.
    pub id: CompactString,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Zone that it runs in.
    pub zone: CompactString,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining warm-up time at the time of sending, in milliseconds.
    pub cold_left: Millis,
}

/// A service and the version of its worker list that the sender has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownServiceVersion {
    /// Name of the service.
    pub service: CompactString,
    /// The version; none if the list is unknown.
    pub version: Option<WorkersVersion>,
}

/// Services whose workers changed since an earlier version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceIndex {
    /// The version that this index brings the receiver to.
    pub version: WorkersVersion,
    /// Whether the index is complete: services not listed no longer exist.
    pub whole: bool,
    /// Services, each with the version of its last change.
    pub services: Vec<(CompactString, WorkersVersion)>,
}

/// An update of one service's worker list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpdate {
    /// Name of the service.
    pub service: CompactString,
    /// The version after the update.
    pub version: WorkersVersion,
    /// The snapshot or the changes.
    #[serde(rename = "news")]
    pub content: ServiceUpdateContent,
}

/// Content of an update of a service's worker list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceUpdateContent {
    /// The complete list.
    Snapshot(Vec<WorkerRecord>),
    /// Changes since an earlier version.
    Changes {
        /// The version that the changes apply to.
        since: WorkersVersion,
        /// Added or changed workers.
        listed: Vec<WorkerRecord>,
        /// Ids of removed workers.
        removed: Vec<CompactString>,
    },
}
