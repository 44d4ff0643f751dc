//! Registry status for operators.

use crate::server::Registry;
use compact_str::CompactString;
use hingestage_discovery::ListedWorker;
use hingestage_node::settings::InnerPort;
use hingestage_replication::Micros;
use hingestage_rpc::messages::ZoneDrains;
use hingestage_rpc::status::{RegistryStatus, WorkerGroup};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;

impl Registry {
    /// The status of this registry.
    pub(crate) fn registry_status(&self) -> RegistryStatus {
        let now = self.now();
        let have = self.have(&self.settings.zone);
        let committed = self.committed.borrow();
        let election = self.election.borrow();
        let drained = have.drains.iter().filter(|(_, drain)| drain.drained);
        RegistryStatus {
            member: election.local_member(now),
            config: have.config,
            fresh_age: committed.freshness.age(now).map(|age| age / MICROS_PER_MILLI),
            fence: election.fence(),
            workers_version: have.workers,
            workers_age: now.saturating_sub(self.workers_at.get()) / MICROS_PER_MILLI,
            workers: group_workers(now, self.workers.borrow().catalog().workers(), &have.drains),
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            members: committed.proxies.len() as u32,
            store: self.settings.inner(InnerPort::ConfigStore),
            registries: election.members(now),
            proxies: self.directory.borrow().live_proxies(now).cloned().collect(),
        }
    }
}

/// Counts workers by service, zone and state.
fn group_workers<'a>(
    now: Micros,
    workers: impl Iterator<Item = &'a ListedWorker>,
    drains: &ZoneDrains,
) -> Vec<WorkerGroup> {
    let mut groups: BTreeMap<(CompactString, CompactString), WorkerGroup> = BTreeMap::new();
    for listed in workers {
        let worker = &listed.record;
        let key = (worker.service.clone(), worker.zone.clone());
        let group = groups.entry(key).or_insert_with(|| WorkerGroup::new(&worker.service, &worker.zone));
        let drained = drains.get(&worker.zone).is_some_and(|drain| drain.drained);
        if worker.draining || drained {
            group.leaving += 1;
        } else if listed.cold_until.is_some_and(|until| now < until) {
            group.cold += 1;
        } else {
            group.ready += 1;
        }
    }
    groups.into_values().collect()
}
