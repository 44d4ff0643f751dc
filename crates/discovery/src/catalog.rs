//! Catalog of all services' workers, with an overall version.

use crate::service_list::{ListedWorker, ServiceList, UpdateOutcome};
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkerRecord, WorkersVersion};
use std::collections::BTreeMap;

/// Maximum number of services; beyond it, services without workers are removed.
pub const SERVICES_MAX: usize = 4_096;

/// The workers of all services.
#[derive(Default)]
pub struct Catalog {
    version: WorkersVersion,
    /// Followers below this version need a complete index, because services have been removed since.
    floor: WorkersVersion,
    services: BTreeMap<CompactString, ServiceList>,
}

impl Catalog {
    /// The overall version; everything up to it is applied.
    pub fn version(&self) -> WorkersVersion {
        self.version
    }

    /// A service's workers.
    pub fn service(&self, name: &str) -> Option<&ServiceList> {
        self.services.get(name)
    }

    /// Names of all known services.
    pub fn names(&self) -> impl Iterator<Item = &CompactString> {
        self.services.keys()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &ListedWorker> {
        self.services.values().flat_map(ServiceList::workers)
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(ServiceList::is_empty)
    }

    /// Applies the platform's list, read as `version`, which is above the current one. Returns whether anything
    /// changed. Everything counts as changed if the reader is a new one.
    pub fn apply_list(&mut self, now: Micros, version: WorkersVersion, records: Vec<WorkerRecord>) -> bool {
        let new_reader = !version.has_reader_of(&self.version);
        let mut records_by_service: BTreeMap<CompactString, Vec<WorkerRecord>> =
            self.services.keys().map(|name| (name.clone(), Vec::new())).collect();
        for record in records {
            records_by_service.entry(record.service.clone()).or_default().push(record);
        }
        let mut changed = new_reader;
        for (name, records) in records_by_service {
            changed |= self.services.entry(name).or_default().apply_list(now, version, records, new_reader);
        }
        if changed {
            self.version = version;
            self.remove_empty_services();
        }
        changed
    }

    fn remove_empty_services(&mut self) {
        if self.services.len() > SERVICES_MAX {
            self.services.retain(|_, list| !list.is_empty());
            self.floor = self.version;
        }
    }

    /// Index of the services that have changed since a version.
    pub fn index_since(&self, have: WorkersVersion) -> ServiceIndex {
        if have >= self.version {
            return ServiceIndex { version: self.version, ..ServiceIndex::default() };
        }
        let whole = have < self.floor;
        let newer = self.services.iter().filter(|(_, list)| whole || list.version() > have);
        let services = newer.map(|(name, list)| (name.clone(), list.version())).collect();
        ServiceIndex { version: self.version, whole, services }
    }

    /// Raises the overall version once everything up to it is applied.
    pub(crate) fn advance(&mut self, version: WorkersVersion) {
        self.version = self.version.max(version);
    }

    /// Removes services that a complete index doesn't name. Followers of this process then need a complete index, too.
    pub(crate) fn retain_indexed(&mut self, index: &ServiceIndex) {
        let indexed = |name: &CompactString| index.services.iter().any(|(other, _)| other == name);
        self.services.retain(|name, _| indexed(name));
        self.floor = index.version;
    }

    /// Updates for a follower that has the given versions. Services that are unknown here are skipped.
    pub fn updates_for(&self, now: Micros, have: &[ServiceHave]) -> Vec<ServiceUpdate> {
        let updates = have.iter().filter_map(|have| {
            let list = self.services.get(&have.service)?;
            let news = list.update_for(now, have.version)?;
            Some(ServiceUpdate { service: have.service.clone(), version: list.version(), news })
        });
        updates.collect()
    }

    /// The version of a service that is held here.
    pub fn have(&self, service: &CompactString) -> ServiceHave {
        let version = self.services.get(service).map(ServiceList::version);
        ServiceHave { service: service.clone(), version }
    }

    pub(crate) fn apply(&mut self, now: Micros, update: ServiceUpdate) -> UpdateOutcome {
        let known = self.services.contains_key(&update.service);
        if !known && self.services.len() >= SERVICES_MAX {
            return UpdateOutcome::Stale;
        }
        self.services.entry(update.service).or_default().apply(now, update.version, update.news)
    }
}
