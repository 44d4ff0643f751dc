//! All services' workers, and the version of the whole.

use crate::service_list::{Listed, ServiceList, Taken};
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkerRecord, WorkersVersion};
use std::collections::BTreeMap;

/// Services known at the most. Beyond it those without workers are forgotten.
pub const SERVICES_MAX: usize = 4_096;

/// The workers of all services.
#[derive(Default)]
pub struct Catalog {
    version: WorkersVersion,
    /// Those who have less than this can't be told only what changed: services were forgotten since.
    floor: WorkersVersion,
    services: BTreeMap<CompactString, ServiceList>,
}

impl Catalog {
    /// The version of the whole: everything up to it is held.
    pub fn version(&self) -> WorkersVersion {
        self.version
    }

    /// A service's workers.
    pub fn service(&self, name: &str) -> Option<&ServiceList> {
        self.services.get(name)
    }

    /// Names of the services that are known.
    pub fn names(&self) -> impl Iterator<Item = &CompactString> {
        self.services.keys()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &Listed> {
        self.services.values().flat_map(ServiceList::workers)
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(ServiceList::is_empty)
    }

    /// Takes in the platform's list as it was read under a version above the one held. Tells whether anything
    /// changed. From a reader that is new all of it counts as changed.
    pub fn read(&mut self, now: Micros, version: WorkersVersion, records: Vec<WorkerRecord>) -> bool {
        let anew = !version.has_reader_of(&self.version);
        let mut read: BTreeMap<CompactString, Vec<WorkerRecord>> =
            self.services.keys().map(|name| (name.clone(), Vec::new())).collect();
        for record in records {
            read.entry(record.service.clone()).or_default().push(record);
        }
        let mut changed = anew;
        for (name, records) in read {
            changed |= self.services.entry(name).or_default().read(now, version, records, anew);
        }
        if changed {
            self.version = version;
            self.forget_empty();
        }
        changed
    }

    fn forget_empty(&mut self) {
        if self.services.len() > SERVICES_MAX {
            self.services.retain(|_, list| !list.is_empty());
            self.floor = self.version;
        }
    }

    /// Which services' workers have changed since a version.
    pub fn index_since(&self, have: WorkersVersion) -> ServiceIndex {
        if have >= self.version {
            return ServiceIndex { version: self.version, ..ServiceIndex::default() };
        }
        let whole = have < self.floor;
        let newer = self.services.iter().filter(|(_, list)| whole || list.version() > have);
        let services = newer.map(|(name, list)| (name.clone(), list.version())).collect();
        ServiceIndex { version: self.version, whole, services }
    }

    /// Everything up to a version is held now.
    pub(crate) fn advance(&mut self, version: WorkersVersion) {
        self.version = self.version.max(version);
    }

    /// Forgets services that a whole index doesn't name. Whoever follows this process has to be told so, too.
    pub(crate) fn keep_named(&mut self, index: &ServiceIndex) {
        let named = |name: &CompactString| index.services.iter().any(|(other, _)| other == name);
        self.services.retain(|name, _| named(name));
        self.floor = index.version;
    }

    /// What is new to one who has some services' workers. Services that are not known here are left out.
    pub fn news(&self, now: Micros, have: &[ServiceHave]) -> Vec<ServiceUpdate> {
        let news = have.iter().filter_map(|have| {
            let list = self.services.get(&have.service)?;
            let news = list.news(now, have.version)?;
            Some(ServiceUpdate { service: have.service.clone(), version: list.version(), news })
        });
        news.collect()
    }

    /// What is held of a service, to be told to others.
    pub fn have(&self, service: &CompactString) -> ServiceHave {
        let version = self.services.get(service).map(ServiceList::version);
        ServiceHave { service: service.clone(), version }
    }

    pub(crate) fn take(&mut self, now: Micros, update: ServiceUpdate) -> Taken {
        let known = self.services.contains_key(&update.service);
        if !known && self.services.len() >= SERVICES_MAX {
            return Taken::Stale;
        }
        self.services.entry(update.service).or_default().take(now, update.version, update.news)
    }
}
