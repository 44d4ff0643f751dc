//! Versioned list of one service's workers, with a bounded log of recent changes.

use crate::{Micros, MICROS_PER_MILLI};
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceNews, WorkerRecord, WorkersVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of the change log; a follower further behind gets a snapshot.
pub const CHANGE_LOG_MAX: usize = 16;
/// Increase of the remaining cold time that does not count as a change.
const COLD_TOLERANCE_MS: u64 = 150;

/// A worker on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// The platform's entry, with `cold_left` cleared.
    pub record: WorkerRecord,
    /// End of the warm-up; `None` if the worker is warm.
    pub cold_until: Option<Micros>,
}

impl ListedWorker {
    fn new(now: Micros, mut record: WorkerRecord) -> ListedWorker {
        let cold_left = std::mem::take(&mut record.cold_left);
        let cold_until = (cold_left > 0).then(|| now + cold_left * MICROS_PER_MILLI);
        ListedWorker { record, cold_until }
    }

    /// Remaining warm-up time in milliseconds, rounded up.
    fn cold_left(&self, now: Micros) -> u64 {
        self.cold_until.map_or(0, |until| until.saturating_sub(now).div_ceil(MICROS_PER_MILLI))
    }

    fn record(&self, now: Micros) -> WorkerRecord {
        WorkerRecord { cold_left: self.cold_left(now), ..self.record.clone() }
    }

    /// Whether `later` is no change: the record is equal and the warm-up isn't extended beyond the tolerance.
    fn covers(&self, now: Micros, later: &ListedWorker) -> bool {
        let not_extended = later.cold_left(now) <= self.cold_left(now) + COLD_TOLERANCE_MS;
        not_extended && self.record == later.record
    }
}

/// An entry of the change log.
struct Change {
    /// Version before the change.
    since: WorkersVersion,
    /// Workers that were added, changed or removed.
    ids: Vec<CompactString>,
}

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied.
    Applied,
    /// The list is already at this version or a newer one.
    Stale,
    /// The changes start at a version that is not held; a snapshot is needed.
    Gap,
}

/// The workers of one service.
#[derive(Default)]
pub struct ServiceList {
    version: WorkersVersion,
    workers: BTreeMap<CompactString, ListedWorker>,
    changes: VecDeque<Change>,
}

impl ServiceList {
    /// Version of the last change.
    pub fn version(&self) -> WorkersVersion {
        self.version
    }

    /// All workers, by id.
    pub fn workers(&self) -> impl Iterator<Item = &ListedWorker> {
        self.workers.values()
    }

    /// Whether the service has no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Whether a worker is on the list.
    pub fn contains(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }

    /// Applies the service's workers from the platform's list, read as `version`, which is above the current one.
    /// Returns whether anything changed; otherwise the version stays. With `new_reader` everything counts as
    /// changed, because the previous reader may have published another list than the one held here.
    pub fn apply_list(
        &mut self,
        now: Micros,
        version: WorkersVersion,
        records: Vec<WorkerRecord>,
        new_reader: bool,
    ) -> bool {
        let workers: BTreeMap<CompactString, ListedWorker> =
            records.into_iter().map(|record| (record.id.clone(), ListedWorker::new(now, record))).collect();
        let ids = self.changed_ids(now, &workers);
        if new_reader {
            self.replace(version, workers);
            return true;
        }
        if ids.is_empty() {
            return false;
        }
        self.workers = workers;
        self.log_change(version, ids);
        true
    }

    fn changed_ids(
        &self,
        now: Micros,
        workers: &BTreeMap<CompactString, ListedWorker>,
    ) -> Vec<CompactString> {
        let is_changed = |(id, listed): &(&CompactString, &ListedWorker)| {
            !self.workers.get(*id).is_some_and(|held| held.covers(now, listed))
        };
        let listed = workers.iter().filter(is_changed).map(|(id, _)| id.clone());
        let removed = self.workers.keys().filter(|id| !workers.contains_key(*id)).cloned();
        listed.chain(removed).collect()
    }

    fn log_change(&mut self, version: WorkersVersion, ids: Vec<CompactString>) {
        self.changes.push_back(Change { since: self.version, ids });
        if self.changes.len() > CHANGE_LOG_MAX {
            self.changes.pop_front();
        }
        self.version = version;
    }

    fn replace(&mut self, version: WorkersVersion, workers: BTreeMap<CompactString, ListedWorker>) {
        self.workers = workers;
        self.version = version;
        self.changes.clear();
    }

    /// Update for a follower at version `have`; `None` if it is up to date.
    pub fn update_for(&self, now: Micros, have: Option<WorkersVersion>) -> Option<ServiceNews> {
        if have.unwrap_or_default() >= self.version {
            return None;
        }
        let changes = have.and_then(|have| self.changes_since(now, have));
        Some(changes.unwrap_or_else(|| self.snapshot(now)))
    }

    fn snapshot(&self, now: Micros) -> ServiceNews {
        ServiceNews::Snapshot(self.workers.values().map(|listed| listed.record(now)).collect())
    }

    /// Changes since a version, if the log reaches back to it.
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

    /// Applies an update from another process.
    pub fn apply(&mut self, now: Micros, version: WorkersVersion, news: ServiceNews) -> UpdateOutcome {
        if version <= self.version {
            return UpdateOutcome::Stale;
        }
        match news {
            ServiceNews::Snapshot(records) => {
                let listed =
                    records.into_iter().map(|record| (record.id.clone(), ListedWorker::new(now, record)));
                self.replace(version, listed.collect());
                UpdateOutcome::Applied
            }
            ServiceNews::Changes { since, .. } if since != self.version => UpdateOutcome::Gap,
            ServiceNews::Changes { listed, removed, .. } => {
                let ids = removed.iter().chain(listed.iter().map(|record| &record.id)).cloned().collect();
                for id in &removed {
                    self.workers.remove(id);
                }
                for record in listed {
                    self.workers.insert(record.id.clone(), ListedWorker::new(now, record));
                }
                self.log_change(version, ids);
                UpdateOutcome::Applied
            }
        }
    }
}
