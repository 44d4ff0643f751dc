//! Who reads the platform's list of workers: one registry, under a number that grows with each change of hands.
//!
//! Two registries may read for a moment, each taking the other for dead. Their lists carry their numbers, and
//! the higher one holds everywhere: what two readers cost is calls. Readers that took the same number are told apart by
//! their processes, so that one version never stands for two lists.

use compact_str::CompactString;
use hingestage_replication::{digest, Micros};
use hingestage_rpc::messages::RegistryMember;
use hingestage_rpc::workers::WorkersVersion;
use std::collections::BTreeMap;

/// Figures of the duty.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A registry not heard for so long is taken to be away.
    pub away_after: Micros,
    /// A registry not heard for so long is forgotten.
    pub forget_after: Micros,
    /// Reads that fail in a row before the duty is given up.
    pub failures: u32,
    /// How long one whose reads failed leaves the duty to others.
    pub rests_for: Micros,
    /// Registries known at the most.
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

/// The registries, and whether this one has the duty.
pub struct Duty {
    me: RegistryMember,
    figures: Figures,
    others: BTreeMap<CompactString, Known>,
    /// The highest version seen.
    seen: WorkersVersion,
    /// Number under which this registry reads, while it does.
    fence: Option<u64>,
    failed: u32,
    rests_until: Micros,
}

impl Duty {
    /// Nobody else is known.
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

    /// This registry as it tells of itself.
    pub fn me(&self, now: Micros) -> RegistryMember {
        RegistryMember { reads_list: now >= self.rests_until, ..self.me.clone() }
    }

    /// Another registry has told of itself.
    pub fn heard(&mut self, now: Micros, member: RegistryMember) {
        let full =
            self.others.len() >= self.figures.members_max && !self.others.contains_key(&member.id.node);
        if member.id.node != self.me.id.node && !full {
            self.others.insert(member.id.node.clone(), Known { member, heard_at: now });
        }
    }

    /// Others tell of a registry: it is to be called, and counts as heard once it answers.
    pub fn told_of(&mut self, member: RegistryMember) {
        let full = self.others.len() >= self.figures.members_max;
        if member.id.node != self.me.id.node && !full {
            self.others.entry(member.id.node.clone()).or_insert(Known { member, heard_at: 0 });
        }
    }

    /// Forgets registries not heard for long.
    pub fn tidy(&mut self, now: Micros) {
        let keep = self.figures.forget_after;
        self.others.retain(|_, known| now < known.heard_at + keep);
    }

    /// All registries, this one among them.
    pub fn members(&self, now: Micros) -> Vec<RegistryMember> {
        let others = self.others.values().map(|known| known.member.clone());
        std::iter::once(self.me(now)).chain(others).collect()
    }

    /// A list of this version has been seen.
    pub fn saw(&mut self, version: WorkersVersion) {
        self.seen = self.seen.max(version);
    }

    /// The version under which this registry is to read the list now; none where another has the duty.
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

    /// This process, as lists name it.
    fn reader(&self) -> u64 {
        digest(format!("{} {}", self.me.id.node, self.me.id.incarnation).as_bytes())
    }

    /// Number under which this registry reads the list, while it has the duty.
    pub fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// How a read ended. After some failures the duty is left to others for a while.
    pub fn has_read(&mut self, now: Micros, good: bool) {
        self.failed = if good { 0 } else { self.failed + 1 };
        if self.failed >= self.figures.failures {
            self.failed = 0;
            self.rests_until = now + self.figures.rests_for;
        }
    }

    /// Whether this registry comes first among the living that can read the list; where none can, among all.
    fn is_first(&self, now: Micros) -> bool {
        let living = |known: &&Known| known.heard_at > 0 && now < known.heard_at + self.figures.away_after;
        let able = self.others.values().filter(living).filter(|known| known.member.reads_list);
        let mine = (!self.me(now).reads_list, digest(self.me.id.node.as_bytes()));
        able.map(|known| (false, digest(known.member.id.node.as_bytes()))).all(|other| mine < other)
    }
}
