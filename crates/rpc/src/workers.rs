//! What processes say to each other about workers: by service, as a snapshot or as changes.

use crate::messages::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the list of workers: who read it under which fence, and how often. Readers of one fence are told apart,
/// so that one version never stands for two lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkersVersion {
    /// Number of the duty; grows each time it changes hands.
    pub fence: u64,
    /// Which process reads the list under it.
    pub reader: u64,
    /// Number of the list.
    pub number: u64,
}

impl WorkersVersion {
    /// Whether two lists were read by one process under one fence.
    pub fn has_reader_of(&self, other: &WorkersVersion) -> bool {
        (self.fence, self.reader) == (other.fence, other.reader)
    }
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Its id; another at each start.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it stays cold from when this was sent.
    pub cold_left: Millis,
}

/// A service, and the version of its workers that somebody has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHave {
    /// Name of the service.
    pub service: CompactString,
    /// The version; none where nothing is known.
    pub version: Option<WorkersVersion>,
}

/// Which services' workers have changed since some version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceIndex {
    /// The version that this leads up to.
    pub version: WorkersVersion,
    /// Whether all services are named: others are gone.
    pub whole: bool,
    /// Services, each with the version at which its workers last changed.
    pub services: Vec<(CompactString, WorkersVersion)>,
}

/// News of one service's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpdate {
    /// Name of the service.
    pub service: CompactString,
    /// The version that this leads to.
    pub version: WorkersVersion,
    /// What is new.
    pub news: ServiceNews,
}

/// What is new of a service's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceNews {
    /// All workers.
    Snapshot(Vec<WorkerRecord>),
    /// What changed since an earlier version.
    Changes {
        /// The earlier version.
        since: WorkersVersion,
        /// Workers that are new or have changed.
        listed: Vec<WorkerRecord>,
        /// Ids of workers that are gone.
        removed: Vec<CompactString>,
    },
}
