//! Follower of other processes' catalogs: announced versions, missing services and pending requests.

use crate::catalog::Catalog;
use crate::service_list::UpdateOutcome;
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkerRecord, WorkersVersion};
use std::collections::BTreeMap;

/// A service that is newer at another process.
struct Wanted {
    version: WorkersVersion,
    /// When the newer version was first announced.
    since: Micros,
    /// Deadline of the pending request; 0 without one.
    pending_until: Micros,
    /// Whether incremental changes can't be applied to what is held.
    needs_snapshot: bool,
}

/// A catalog that replicates others.
#[derive(Default)]
pub struct Follower {
    catalog: Catalog,
    wanted: BTreeMap<CompactString, Wanted>,
    /// Highest version announced by an index.
    announced: WorkersVersion,
    /// Highest version seen in any update; a home may be ahead of the announced version.
    seen: WorkersVersion,
}

impl Follower {
    /// The replicated catalog.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Highest announced version; an index needs to name only newer services.
    pub fn announced_version(&self) -> WorkersVersion {
        self.announced
    }

    /// Highest version seen in any message. A reader of the platform's list has to use higher ones, because a list
    /// is never replaced by one of a lower version.
    pub fn seen_version(&self) -> WorkersVersion {
        self.seen.max(self.announced)
    }

    /// Whether everything announced has been applied.
    pub fn is_complete(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Names of all services that are held or missing.
    pub fn names(&self) -> impl Iterator<Item = &CompactString> {
        let only_wanted = self.wanted.keys().filter(|name| self.catalog.service(name).is_none());
        self.catalog.names().chain(only_wanted)
    }

    /// Applies the platform's list, read by this process. Returns whether anything changed.
    pub fn apply_list(&mut self, now: Micros, version: WorkersVersion, records: Vec<WorkerRecord>) -> bool {
        if version <= self.announced {
            return false;
        }
        let changed = self.catalog.apply_list(now, version, records);
        if changed {
            self.wanted.clear();
            self.announced = version;
        }
        changed
    }

    /// Applies an index of newer services. Returns whether it names a service that was unknown.
    pub fn apply_index(&mut self, now: Micros, index: &ServiceIndex) -> bool {
        if index.version <= self.announced {
            return false;
        }
        if index.whole {
            self.catalog.retain_indexed(index);
            self.wanted.retain(|name, _| index.services.iter().any(|(other, _)| other == name));
        }
        let mut unknown = false;
        for (name, version) in &index.services {
            unknown |= self.catalog.service(name).is_none() && !self.wanted.contains_key(name);
            self.mark_wanted(now, name, *version);
        }
        self.announced = index.version;
        self.advance_if_complete();
        unknown
    }

    fn mark_wanted(&mut self, now: Micros, name: &CompactString, version: WorkersVersion) {
        if self.catalog.service(name).is_some_and(|list| list.version() >= version) {
            return;
        }
        let first = Wanted { version, since: now, pending_until: 0, needs_snapshot: false };
        let wanted = self.wanted.entry(name.clone()).or_insert(first);
        wanted.version = wanted.version.max(version);
    }

    fn advance_if_complete(&mut self) {
        if self.wanted.is_empty() {
            self.catalog.advance(self.announced);
        }
    }

    /// Services to request now: those without a pending request for which `due` holds, given the name and the time
    /// since the newer version was announced. The requests are pending until `until`.
    pub fn next_requests(
        &mut self,
        now: Micros,
        until: Micros,
        due: impl Fn(&CompactString, Micros) -> bool,
    ) -> Vec<ServiceHave> {
        let mut names = Vec::new();
        for (name, wanted) in &mut self.wanted {
            if now >= wanted.pending_until && due(name, now - wanted.since) {
                wanted.pending_until = until;
                names.push(name.clone());
            }
        }
        names.iter().map(|name| self.have(name)).collect()
    }

    /// Ends a request; services that the answer didn't bring up to date may be requested again.
    pub fn end_request(&mut self, requested: &[ServiceHave]) {
        for have in requested {
            if let Some(wanted) = self.wanted.get_mut(&have.service) {
                wanted.pending_until = 0;
            }
        }
    }

    /// The version of a service to request updates from; none if a snapshot is needed.
    pub fn have(&self, name: &CompactString) -> ServiceHave {
        let needs_snapshot = self.wanted.get(name).is_some_and(|wanted| wanted.needs_snapshot);
        let have = self.catalog.have(name);
        ServiceHave { version: have.version.filter(|_| !needs_snapshot), ..have }
    }

    /// Applies updates from a registry or a home. Returns the services that have changed.
    pub fn apply_updates(&mut self, now: Micros, updates: Vec<ServiceUpdate>) -> Vec<CompactString> {
        let mut changed = Vec::new();
        for update in updates {
            let (name, version) = (update.service.clone(), update.version);
            self.seen = self.seen.max(version);
            match self.catalog.apply(now, update) {
                UpdateOutcome::Applied => {
                    self.wanted.retain(|wanted, entry| *wanted != name || entry.version > version);
                    changed.push(name);
                }
                UpdateOutcome::Stale => {}
                UpdateOutcome::Gap => {
                    self.mark_wanted(now, &name, version);
                    if let Some(wanted) = self.wanted.get_mut(&name) {
                        wanted.needs_snapshot = true;
                        wanted.pending_until = 0;
                    }
                }
            }
        }
        self.advance_if_complete();
        changed
    }
}
