//! RPC handler of the proxy: status and explanations for operators, and updates for other proxies of the zone.

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

/// Microseconds per millisecond.
const MILLI: Micros = 1_000;

impl Handler for Proxy {
    type Request = ProxyRequest;
    type Answer = ProxyAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: ProxyRequest) -> ProxyAnswer {
        match request {
            ProxyRequest::Status => ProxyAnswer::Status(Box::new(self.state())),
            ProxyRequest::FollowServices { have, wait } => {
                ProxyAnswer::Services(self.service_updates(have, Duration::from_millis(wait)).await)
            }
            ProxyRequest::FollowConfig { version, have, wait } => {
                ProxyAnswer::Config(self.config_update(version, have, Duration::from_millis(wait)).await)
            }
            ProxyRequest::Trial { tenant } => ProxyAnswer::Trial(self.trial_view(&tenant)),
            ProxyRequest::Explain { id_or_tenant } => {
                ProxyAnswer::Explained(self.requests.explain(self.now(), &id_or_tenant))
            }
        }
    }
}

impl Proxy {
    /// State of this proxy, for operators.
    fn state(&self) -> ProxyState {
        let now = self.now();
        let view = self.view.borrow();
        let have = view.have();
        let part = view.limit_share();
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
            workers: worker_groups(&view, now),
            drained: drained.map(|(zone, _)| zone.clone()).collect(),
            peers: view.peers().iter().map(|peer| peer.id.node.clone()).collect(),
            attempts: counters.attempts(),
            requests: counters.nonzero(),
        }
    }
}

/// Remaining time for which API keys may be checked without fresh data.
fn key_lease(view: &View, now: Micros) -> KeyLease {
    match view.keys_valid_until() {
        None => KeyLease::Unlimited,
        Some(until) if now < until => KeyLease::Left((until - now) / MILLI),
        Some(_) => KeyLease::Expired,
    }
}

/// Counts workers by service, zone and usability.
fn worker_groups(view: &View, now: Micros) -> Vec<WorkerGroup> {
    let mut groups: BTreeMap<(CompactString, CompactString), WorkerGroup> = BTreeMap::new();
    for (worker, usability) in view.workers(now) {
        let key = (worker.service.clone(), worker.zone.clone());
        let group = groups.entry(key).or_insert_with(|| WorkerGroup::new(&worker.service, &worker.zone));
        match usability {
            Usability::Ready => group.ready += 1,
            Usability::Draining => group.leaving += 1,
            Usability::Cold => group.cold += 1,
        }
    }
    groups.into_values().collect()
}
