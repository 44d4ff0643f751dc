//! What an operator is told of a registry.

use crate::server::Registry;
use compact_str::CompactString;
use hingestage_discovery::Listed;
use hingestage_node::settings::InternalPort;
use hingestage_replication::Micros;
use hingestage_rpc::messages::ZoneDrains;
use hingestage_rpc::status::{RegistryStatus, WorkerGroup};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

impl Registry {
    /// The registry's state.
    pub(crate) fn state(&self) -> RegistryStatus {
        let now = self.now();
        let have = self.have(&self.settings.zone);
        let in_force = self.in_force.borrow();
        let duty = self.duty.borrow();
        let drained = have.drains.iter().filter(|(_, drain)| drain.drained);
        RegistryStatus {
            member: duty.me(now),
            config: have.config,
            fresh_age: in_force.freshness.age(now).map(|age| age / MILLI),
            fence: duty.fence(),
            workers_version: have.workers,
            workers_age: now.saturating_sub(self.workers_at.get()) / MILLI,
            workers: group(now, self.workers.borrow().catalog().workers(), &have.drains),
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            members: in_force.proxies.len() as u32,
            store: self.settings.internal_addr(InternalPort::ConfigStore),
            registries: duty.members(now),
            proxies: self.directory.borrow().living(now).cloned().collect(),
        }
    }
}

/// Counts workers by service and zone, as the list tells of them.
fn group<'a>(
    now: Micros,
    workers: impl Iterator<Item = &'a Listed>,
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
