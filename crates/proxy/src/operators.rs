//! Calls to this proxy: operators ask for its state and what became of recent requests, other proxies of the zone follow
//! it.

use crate::server::Proxy;
use crate::view::{Usability, View};
use compact_str::CompactString;
use hingestage_replication::Micros;
use hingestage_rpc::status::{KeyLease, ProxyAnswer, ProxyRequest, ProxyState, WorkerGroup};
use hingestage_rpc::Handler;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Microseconds in a millisecond.
const MILLI: Micros = 1_000;

impl Handler for Proxy {
    type Request = ProxyRequest;
    type Answer = ProxyAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: ProxyRequest) -> ProxyAnswer {
        match request {
            ProxyRequest::Status => ProxyAnswer::Status(Box::new(self.state())),
            ProxyRequest::FollowServices { have, wait } => {
                ProxyAnswer::Services(self.services_for(have, Duration::from_millis(wait)).await)
            }
            ProxyRequest::FollowConfig { version, have, wait } => {
                ProxyAnswer::Config(self.config_for(version, have, Duration::from_millis(wait)).await)
            }
            ProxyRequest::Trial { tenant } => ProxyAnswer::Trial(self.trial_view(&tenant)),
            ProxyRequest::Explain { id_or_tenant } => {
                ProxyAnswer::Explained(self.requests.explain(self.now(), &id_or_tenant))
            }
        }
    }
}

impl Proxy {
    fn state(&self) -> ProxyState {
        let now = self.now();
        let view = self.view.borrow();
        let have = view.have();
        let part = view.part();
        let counters = self.requests.counters();
        let drained = have.drains.iter().filter(|(_, drain)| drain.drained);
        ProxyState {
            status: self.status(),
            uptime: now / MILLI,
            config: have.config,
            fresh_age: view.freshness().age(now).map(|age| age / MILLI),
            keys: key_lease(&view, now),
            part_left: part.valid_until.checked_sub(now).filter(|left| *left > 0).map(|left| left / MILLI),
            settled: view.settled(),
            members: view.members(),
            workers_version: view.workers_version(),
            workers: group(&view, now),
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            peers: view.peers().iter().map(|peer| peer.id.node.clone()).collect(),
            attempts: counters.attempts(),
            requests: counters.occurred(),
        }
    }
}

fn key_lease(view: &View, now: Micros) -> KeyLease {
    match view.keys_hold_until() {
        None => KeyLease::Unlimited,
        Some(until) if now < until => KeyLease::Left((until - now) / MILLI),
        Some(_) => KeyLease::Expired,
    }
}

fn group(view: &View, now: Micros) -> Vec<WorkerGroup> {
    let mut groups: BTreeMap<(CompactString, CompactString), WorkerGroup> = BTreeMap::new();
    for (worker, usability) in view.workers(now) {
        let key = (worker.service.clone(), worker.zone.clone());
        let group = groups.entry(key).or_insert_with(|| WorkerGroup::new(&worker.service, &worker.zone));
        match usability {
            Usability::Ready => group.ready += 1,
            Usability::Leaving => group.leaving += 1,
            Usability::Cold => group.cold += 1,
        }
    }
    groups.into_values().collect()
}
