//! Election of the registry that reads the platform's list of workers, with a fencing number per term.
//!
//! Two registries may both read for a short time when each considers the other dead. Every list carries its reader's
//! fencing number and the highest one wins everywhere, so a second reader only costs extra calls. Readers with the same
//! number are distinguished by process, so that one version never denotes two lists.

use compact_str::CompactString;
use hingestage_replication::{digest, Micros};
use hingestage_rpc::messages::RegistryMember;
use hingestage_rpc::workers::WorkersVersion;
use std::collections::BTreeMap;

/// Timeouts and size limits of the election.
#[derive(Clone, Copy, Debug)]
pub struct ElectionSettings {
    /// Silence after which a registry is considered dead.
    pub failure_timeout: Micros,
    /// Silence after which a registry is removed.
    pub expire_after: Micros,
    /// Consecutive failed reads after which this registry steps down.
    pub failures_max: u32,
    /// Time for which a registry stays out of the election after stepping down.
    pub step_down_time: Micros,
    /// Maximum number of other registries.
    pub members_max: usize,
}

impl Default for ElectionSettings {
    fn default() -> Self {
        ElectionSettings {
            failure_timeout: 2_500_000,
            expire_after: 60_000_000,
            failures_max: 2,
            step_down_time: 3_000_000,
            members_max: 64,
        }
    }
}

struct Peer {
    member: RegistryMember,
    last_heartbeat: Micros,
}

/// The known registries, and whether this one is the reader.
pub struct ReaderElection {
    /// This registry.
    me: RegistryMember,
    settings: ElectionSettings,
    /// The other registries by node name.
    others: BTreeMap<CompactString, Peer>,
    /// Highest list version seen.
    highest_seen: WorkersVersion,
    /// Fencing number of this registry while it is the reader.
    fence: Option<u64>,
    consecutive_failures: u32,
    /// Time until which this registry does not take part.
    stepped_down_until: Micros,
}

impl ReaderElection {
    /// Creates an election in which only this registry takes part.
    pub fn new(me: RegistryMember, settings: ElectionSettings) -> Self {
        ReaderElection {
            me,
            settings,
            others: BTreeMap::new(),
            highest_seen: WorkersVersion::default(),
            fence: None,
            consecutive_failures: 0,
            stepped_down_until: 0,
        }
    }

    /// This registry as announced to others.
    pub fn local_member(&self, now: Micros) -> RegistryMember {
        RegistryMember { reads_list: now >= self.stepped_down_until, ..self.me.clone() }
    }

    /// Records a heartbeat of another registry.
    pub fn record_heartbeat(&mut self, now: Micros, member: RegistryMember) {
        let full =
            self.others.len() >= self.settings.members_max && !self.others.contains_key(&member.id.node);
        if member.id.node != self.me.id.node && !full {
            self.others.insert(member.id.node.clone(), Peer { member, last_heartbeat: now });
        }
    }

    /// Adds a registry named by another one. It is called, and counts as alive only once it answers.
    pub fn add_candidate(&mut self, member: RegistryMember) {
        let full = self.others.len() >= self.settings.members_max;
        if member.id.node != self.me.id.node && !full {
            self.others.entry(member.id.node.clone()).or_insert(Peer { member, last_heartbeat: 0 });
        }
    }

    /// Removes registries that have been silent for too long.
    pub fn remove_expired(&mut self, now: Micros) {
        let expire_after = self.settings.expire_after;
        self.others.retain(|_, peer| now < peer.last_heartbeat + expire_after);
    }

    /// All known registries, including this one.
    pub fn members(&self, now: Micros) -> Vec<RegistryMember> {
        let others = self.others.values().map(|peer| peer.member.clone());
        std::iter::once(self.local_member(now)).chain(others).collect()
    }

    /// Records the version of a list that was seen.
    pub fn observe_version(&mut self, version: WorkersVersion) {
        self.highest_seen = self.highest_seen.max(version);
    }

    /// Version for the next read of the list, or `None` if another registry is the reader.
    pub fn next_version(&mut self, now: Micros) -> Option<WorkersVersion> {
        if !self.ranks_first(now) {
            self.fence = None;
            return None;
        }
        let reader = self.reader_id();
        let fence = match self.fence {
            Some(fence) if (fence, reader) >= (self.highest_seen.fence, self.highest_seen.reader) => fence,
            _ => self.highest_seen.fence + 1,
        };
        self.fence = Some(fence);
        let first = WorkersVersion { fence, reader, number: 1 };
        let number = if self.highest_seen.has_reader_of(&first) { self.highest_seen.number + 1 } else { 1 };
        Some(WorkersVersion { number, ..first })
    }

    /// Identifier of this process in list versions.
    fn reader_id(&self) -> u64 {
        digest(format!("{} {}", self.me.id.node, self.me.id.incarnation).as_bytes())
    }

    /// Fencing number of this registry while it is the reader.
    pub fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Records the result of a read; after repeated failures this registry steps down for a while.
    pub fn record_read(&mut self, now: Micros, succeeded: bool) {
        self.consecutive_failures = if succeeded { 0 } else { self.consecutive_failures + 1 };
        if self.consecutive_failures >= self.settings.failures_max {
            self.consecutive_failures = 0;
            self.stepped_down_until = now + self.settings.step_down_time;
        }
    }

    /// Whether this registry ranks first among the live ones that can read the list. If none can, each elects itself.
    fn ranks_first(&self, now: Micros) -> bool {
        let live = |peer: &&Peer| {
            peer.last_heartbeat > 0 && now < peer.last_heartbeat + self.settings.failure_timeout
        };
        let candidates = self.others.values().filter(live).filter(|peer| peer.member.reads_list);
        let mine = (!self.local_member(now).reads_list, digest(self.me.id.node.as_bytes()));
        candidates.map(|peer| (false, digest(peer.member.id.node.as_bytes()))).all(|other| mine < other)
    }
}
