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
pub struct Figures {
    /// Silence after which a registry is considered dead.
    pub away_after: Micros,
    /// Silence after which a registry is removed.
    pub forget_after: Micros,
    /// Consecutive failed reads after which this registry steps down.
    pub failures: u32,
    /// Time for which a registry stays out of the election after stepping down.
    pub rests_for: Micros,
    /// Maximum number of other registries.
    pub members_max: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            away_after: 2_500_000,
            forget_after: 60_000_000,
            failures: 2,
            rests_for: 3_000_000,
            members_max: 64,
        }
    }
}

struct Known {
    member: RegistryMember,
    heard_at: Micros,
}

/// The known registries, and whether this one is the reader.
pub struct Duty {
    me: RegistryMember,
    figures: Figures,
    others: BTreeMap<CompactString, Known>,
    /// Highest list version seen.
    seen: WorkersVersion,
    /// Fencing number of this registry while it is the reader.
    fence: Option<u64>,
    failed: u32,
    rests_until: Micros,
}

impl Duty {
    /// Creates an election in which only this registry takes part.
    pub fn new(me: RegistryMember, figures: Figures) -> Self {
        Duty {
            me,
            figures,
            others: BTreeMap::new(),
            seen: WorkersVersion::default(),
            fence: None,
            failed: 0,
            rests_until: 0,
        }
    }

    /// This registry as announced to others.
    pub fn me(&self, now: Micros) -> RegistryMember {
        RegistryMember { reads_list: now >= self.rests_until, ..self.me.clone() }
    }

    /// Records a heartbeat of another registry.
    pub fn heard(&mut self, now: Micros, member: RegistryMember) {
        let full =
            self.others.len() >= self.figures.members_max && !self.others.contains_key(&member.id.node);
        if member.id.node != self.me.id.node && !full {
            self.others.insert(member.id.node.clone(), Known { member, heard_at: now });
        }
    }

    /// Adds a registry named by another one. It is called, and counts as alive only once it answers.
    pub fn told_of(&mut self, member: RegistryMember) {
        let full = self.others.len() >= self.figures.members_max;
        if member.id.node != self.me.id.node && !full {
            self.others.entry(member.id.node.clone()).or_insert(Known { member, heard_at: 0 });
        }
    }

    /// Removes registries that have been silent for too long.
    pub fn tidy(&mut self, now: Micros) {
        let forget_after = self.figures.forget_after;
        self.others.retain(|_, known| now < known.heard_at + forget_after);
    }

    /// All known registries, including this one.
    pub fn members(&self, now: Micros) -> Vec<RegistryMember> {
        let others = self.others.values().map(|known| known.member.clone());
        std::iter::once(self.me(now)).chain(others).collect()
    }

    /// Records the version of a list that was seen.
    pub fn saw(&mut self, version: WorkersVersion) {
        self.seen = self.seen.max(version);
    }

    /// Version for the next read of the list, or `None` if another registry is the reader.
    pub fn read_under(&mut self, now: Micros) -> Option<WorkersVersion> {
        if !self.is_first(now) {
            self.fence = None;
            return None;
        }
        let reader = self.reader();
        let fence = match self.fence {
            Some(fence) if (fence, reader) >= (self.seen.fence, self.seen.reader) => fence,
            _ => self.seen.fence + 1,
        };
        self.fence = Some(fence);
        let first = WorkersVersion { fence, reader, number: 1 };
        let number = if self.seen.has_reader_of(&first) { self.seen.number + 1 } else { 1 };
        Some(WorkersVersion { number, ..first })
    }

    /// Identifier of this process in list versions.
    fn reader(&self) -> u64 {
        digest(format!("{} {}", self.me.id.node, self.me.id.incarnation).as_bytes())
    }

    /// Fencing number of this registry while it is the reader.
    pub fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Records the result of a read; after repeated failures this registry steps down for a while.
    pub fn has_read(&mut self, now: Micros, good: bool) {
        self.failed = if good { 0 } else { self.failed + 1 };
        if self.failed >= self.figures.failures {
            self.failed = 0;
            self.rests_until = now + self.figures.rests_for;
        }
    }

    /// Whether this registry ranks first among the live ones that can read the list. If none can, each elects itself.
    fn is_first(&self, now: Micros) -> bool {
        let living = |known: &&Known| known.heard_at > 0 && now < known.heard_at + self.figures.away_after;
        let able = self.others.values().filter(living).filter(|known| known.member.reads_list);
        let mine = (!self.me(now).reads_list, digest(self.me.id.node.as_bytes()));
        able.map(|known| (false, digest(known.member.id.node.as_bytes()))).all(|other| mine < other)
    }
}
