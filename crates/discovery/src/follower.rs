//! One that follows another's catalog: what it was told of, what it still lacks, and when it asked for that.

use crate::catalog::Catalog;
use crate::service_list::Taken;
use crate::Micros;
use compact_str::CompactString;
use hingestage_rpc::workers::{ServiceHave, ServiceIndex, ServiceUpdate, WorkerRecord, WorkersVersion};
use std::collections::BTreeMap;

/// A service whose workers are newer somewhere than here.
struct Wanted {
    version: WorkersVersion,
    /// Since when it is known to be newer.
    since: Micros,
    /// Until when an answer is awaited.
    asked_until: Micros,
    /// Whether changes to what is held can't bring it up to date.
    needs_snapshot: bool,
}

/// A catalog that follows others.
#[derive(Default)]
pub struct Follower {
    catalog: Catalog,
    wanted: BTreeMap<CompactString, Wanted>,
    /// The highest version that this process was told of.
    told: WorkersVersion,
    /// The highest version that it has seen of anything: a home may be ahead of what was told.
    seen: WorkersVersion,
}

impl Follower {
    /// What is held.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The highest version that this process was told of: others need only name what is newer.
    pub fn told_version(&self) -> WorkersVersion {
        self.told
    }

    /// The highest version that this process has seen: whoever numbers lists has to go on above it, as what is held
    /// is never replaced by a lower one.
    pub fn seen_version(&self) -> WorkersVersion {
        self.seen.max(self.told)
    }

    /// Whether everything that this process was told of is held.
    pub fn is_complete(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Names of all services that are held or wanted.
    pub fn names(&self) -> impl Iterator<Item = &CompactString> {
        let only_wanted = self.wanted.keys().filter(|name| self.catalog.service(name).is_none());
        self.catalog.names().chain(only_wanted)
    }

    /// Takes in the platform's list, read by this process. Tells whether anything changed.
    pub fn read(&mut self, now: Micros, version: WorkersVersion, records: Vec<WorkerRecord>) -> bool {
        if version <= self.told {
            return false;
        }
        let changed = self.catalog.read(now, version, records);
        if changed {
            self.wanted.clear();
            self.told = version;
        }
        changed
    }

    /// Takes in which services are newer somewhere. Tells whether a service is among them that was not known.
    pub fn told(&mut self, now: Micros, index: &ServiceIndex) -> bool {
        if index.version <= self.told {
            return false;
        }
        if index.whole {
            self.catalog.keep_named(index);
            self.wanted.retain(|name, _| index.services.iter().any(|(other, _)| other == name));
        }
        let mut unknown = false;
        for (name, version) in &index.services {
            unknown |= self.catalog.service(name).is_none() && !self.wanted.contains_key(name);
            self.want(now, name, *version);
        }
        self.told = index.version;
        self.settle();
        unknown
    }

    fn want(&mut self, now: Micros, name: &CompactString, version: WorkersVersion) {
        if self.catalog.service(name).is_some_and(|list| list.version() >= version) {
            return;
        }
        let first = Wanted { version, since: now, asked_until: 0, needs_snapshot: false };
        let wanted = self.wanted.entry(name.clone()).or_insert(first);
        wanted.version = wanted.version.max(version);
    }

    fn settle(&mut self) {
        if self.wanted.is_empty() {
            self.catalog.advance(self.told);
        }
    }

    /// What to ask for now: services of which nothing is awaited, and for which `due` holds, given the name and how
    /// long they have been wanted. An answer is awaited until `until`.
    pub fn ask(
        &mut self,
        now: Micros,
        until: Micros,
        due: impl Fn(&CompactString, Micros) -> bool,
    ) -> Vec<ServiceHave> {
        let mut asked = Vec::new();
        for (name, wanted) in &mut self.wanted {
            if now >= wanted.asked_until && due(name, now - wanted.since) {
                wanted.asked_until = until;
                asked.push(name.clone());
            }
        }
        asked.iter().map(|name| self.have(name)).collect()
    }

    /// The question has ended: what no answer brought may be asked again.
    pub fn unanswered(&mut self, asked: &[ServiceHave]) {
        for have in asked {
            if let Some(wanted) = self.wanted.get_mut(&have.service) {
                wanted.asked_until = 0;
            }
        }
    }

    /// What is held of a service, as it is told to those who are asked for it.
    pub fn have(&self, name: &CompactString) -> ServiceHave {
        let needs_snapshot = self.wanted.get(name).is_some_and(|wanted| wanted.needs_snapshot);
        let have = self.catalog.have(name);
        ServiceHave { version: have.version.filter(|_| !needs_snapshot), ..have }
    }

    /// Takes in updates, from a registry or a home. Tells which services have changed.
    pub fn take(&mut self, now: Micros, updates: Vec<ServiceUpdate>) -> Vec<CompactString> {
        let mut changed = Vec::new();
        for update in updates {
            let (name, version) = (update.service.clone(), update.version);
            self.seen = self.seen.max(version);
            match self.catalog.take(now, update) {
                Taken::Applied => {
                    self.wanted.retain(|wanted, entry| *wanted != name || entry.version > version);
                    changed.push(name);
                }
                Taken::Stale => {}
                Taken::Gap => {
                    self.want(now, &name, version);
                    if let Some(wanted) = self.wanted.get_mut(&name) {
                        wanted.needs_snapshot = true;
                        wanted.asked_until = 0;
                    }
                }
            }
        }
        self.settle();
        changed
    }
}
