//! The workers of one service, the version of that, and its last changes.

use crate::{Micros, MILLI};
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceNews, WorkerRecord, WorkersVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that are kept; one who is further behind gets a snapshot.
pub const CHANGES_KEPT: usize = 16;
/// Milliseconds by which a worker may stay cold longer than was known without this being news.
const COLD_TOLERANCE: u64 = 150;

/// A worker on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// As the platform lists it; `cold_left` says nothing here.
    pub record: WorkerRecord,
    /// Until when it stays cold, as far as was told; none where it is warm.
    pub cold_until: Option<Micros>,
}

impl Listed {
    fn new(now: Micros, mut record: WorkerRecord) -> Listed {
        let cold_left = std::mem::take(&mut record.cold_left);
        let cold_until = (cold_left > 0).then(|| now + cold_left * MILLI);
        Listed { record, cold_until }
    }

    /// Milliseconds for which the worker stays cold, never rounded down.
    fn cold_left(&self, now: Micros) -> u64 {
        self.cold_until.map_or(0, |until| until.saturating_sub(now).div_ceil(MILLI))
    }

    fn record(&self, now: Micros) -> WorkerRecord {
        WorkerRecord { cold_left: self.cold_left(now), ..self.record.clone() }
    }

    /// Whether `later` says nothing new: of a cold worker, that it stays cold no longer than was known.
    fn says(&self, now: Micros, later: &Listed) -> bool {
        let as_cold = later.cold_left(now) <= self.cold_left(now) + COLD_TOLERANCE;
        as_cold && self.record == later.record
    }
}

struct Change {
    since: WorkersVersion,
    ids: Vec<CompactString>,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It holds now.
    Applied,
    /// What is held is as new.
    Stale,
    /// It tells of changes to a version that is not held: a snapshot is needed.
    Gap,
}

/// The workers of one service.
#[derive(Default)]
pub struct ServiceList {
    version: WorkersVersion,
    workers: BTreeMap<CompactString, Listed>,
    changes: VecDeque<Change>,
}

impl ServiceList {
    /// When the workers last changed.
    pub fn version(&self) -> WorkersVersion {
        self.version
    }

    /// All workers, by id.
    pub fn workers(&self) -> impl Iterator<Item = &Listed> {
        self.workers.values()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Whether a worker is on the list.
    pub fn lists(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }

    /// Takes in the platform's list as it was read under a version that is above the one held. Tells whether
    /// anything changed: if nothing has, the version stays. With `anew` it counts as changed in any case, as what is
    /// held may not be what the last reader saw.
    pub fn read(
        &mut self,
        now: Micros,
        version: WorkersVersion,
        records: Vec<WorkerRecord>,
        anew: bool,
    ) -> bool {
        let read: BTreeMap<CompactString, Listed> =
            records.into_iter().map(|record| (record.id.clone(), Listed::new(now, record))).collect();
        let ids = self.changed_ids(now, &read);
        if anew {
            self.replace(version, read);
            return true;
        }
        if ids.is_empty() {
            return false;
        }
        self.workers = read;
        self.note(version, ids);
        true
    }

    fn changed_ids(&self, now: Micros, read: &BTreeMap<CompactString, Listed>) -> Vec<CompactString> {
        let says_less = |(id, listed): &(&CompactString, &Listed)| {
            !self.workers.get(*id).is_some_and(|held| held.says(now, listed))
        };
        let listed = read.iter().filter(says_less).map(|(id, _)| id.clone());
        let removed = self.workers.keys().filter(|id| !read.contains_key(*id)).cloned();
        listed.chain(removed).collect()
    }

    fn note(&mut self, version: WorkersVersion, ids: Vec<CompactString>) {
        self.changes.push_back(Change { since: self.version, ids });
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.version = version;
    }

    fn replace(&mut self, version: WorkersVersion, workers: BTreeMap<CompactString, Listed>) {
        self.workers = workers;
        self.version = version;
        self.changes.clear();
    }

    /// What is new to one who has a version; none where it has all.
    pub fn news(&self, now: Micros, have: Option<WorkersVersion>) -> Option<ServiceNews> {
        if have.unwrap_or_default() >= self.version {
            return None;
        }
        let kept = have.and_then(|have| self.changes_since(now, have));
        Some(kept.unwrap_or_else(|| self.snapshot(now)))
    }

    fn snapshot(&self, now: Micros) -> ServiceNews {
        ServiceNews::Snapshot(self.workers.values().map(|listed| listed.record(now)).collect())
    }

    /// The changes since a version, where all of them are kept.
    fn changes_since(&self, now: Micros, since: WorkersVersion) -> Option<ServiceNews> {
        let first = self.changes.iter().position(|change| change.since == since)?;
        let ids: BTreeSet<&CompactString> =
            self.changes.iter().skip(first).flat_map(|change| &change.ids).collect();
        let mut listed = Vec::new();
        let mut removed = Vec::new();
        for id in ids {
            match self.workers.get(id) {
                Some(worker) => listed.push(worker.record(now)),
                None => removed.push(id.clone()),
            }
        }
        Some(ServiceNews::Changes { since, listed, removed })
    }

    /// Takes in what another process tells.
    pub fn take(&mut self, now: Micros, version: WorkersVersion, news: ServiceNews) -> Taken {
        if version <= self.version {
            return Taken::Stale;
        }
        match news {
            ServiceNews::Snapshot(records) => {
                let listed = records.into_iter().map(|record| (record.id.clone(), Listed::new(now, record)));
                self.replace(version, listed.collect());
                Taken::Applied
            }
            ServiceNews::Changes { since, .. } if since != self.version => Taken::Gap,
            ServiceNews::Changes { listed, removed, .. } => {
                let ids = removed.iter().chain(listed.iter().map(|record| &record.id)).cloned().collect();
                for id in &removed {
                    self.workers.remove(id);
                }
                for record in listed {
                    self.workers.insert(record.id.clone(), Listed::new(now, record));
                }
                self.note(version, ids);
                Taken::Applied
            }
        }
    }
}
