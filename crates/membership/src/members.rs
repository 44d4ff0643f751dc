//! Tracks the reports of each source and derives worker updates from them.

use crate::hosts::{HostList, Target};
use crate::resolution::{resolve, DnsStatus, ListStatus, WorkerState};
use hingestage_policy::{fnv, Availability, ListScope, Micros, WorkerId, WorkerInfo, Zone};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Maximum number of remembered ids; above it those of removed workers are forgotten.
const REMEMBERED_IDS_MAX: usize = 1_000;
/// Maximum number of removed workers that are remembered because DNS still has their address.
const REMEMBERED_REMOVALS_MAX: usize = 4_096;

/// Refused connections to a worker within this interval count once, µs.
const REFUSAL_INTERVAL: Micros = 1_000_000;

/// An address from DNS.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// Socket address.
    pub at: SocketAddr,
    /// Priority tier; lower is preferred.
    pub tier: u32,
    /// Relative capacity; 1 is average.
    pub size: f64,
    /// The host names that resolve to it.
    pub names: Vec<String>,
}

/// Where to connect to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLocation {
    /// Socket address.
    pub at: SocketAddr,
    /// Start time reported by the source, ms; distinguishes successive processes at one address.
    pub started_ms: u64,
}

/// The new state of a worker.
#[derive(Clone, Debug)]
pub struct WorkerUpdate {
    /// The worker as passed to the decision logic.
    pub info: WorkerInfo,
    /// Where to connect; `None` if it is gone or has no address.
    pub location: Option<WorkerLocation>,
}

/// The result of a source's report.
#[derive(Clone, Debug)]
pub struct MembershipUpdate {
    /// Which workers the update covers.
    pub scope: ListScope,
    /// The updated workers.
    pub workers: Vec<WorkerUpdate>,
    /// Problems to log.
    pub warnings: Vec<String>,
}

/// The configured sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// Discovery only.
    Discovery,
    /// DNS, alone or together with discovery.
    Dns {
        /// How long a worker drains after its record has disappeared, µs.
        grace: Micros,
        /// Whether workers of the first answer are treated as just started.
        cold_at_start: bool,
    },
}

/// A worker from discovery's list.
#[derive(Clone, Debug)]
struct ListedWorker {
    target: Target,
    at: Option<SocketAddr>,
    status: ListStatus,
}

/// An address from DNS with its status.
#[derive(Clone, Debug)]
struct DnsAddress {
    address: Address,
    status: DnsStatus,
}

/// Assigns worker ids and tracks what each source reports.
#[derive(Debug)]
pub struct Membership {
    sources: Sources,
    ids: HashMap<String, WorkerId>,
    next: u64,
    /// Workers with a location.
    located: HashSet<WorkerId>,
    /// By `uid`; unused without DNS.
    listed: BTreeMap<String, ListedWorker>,
    /// By address; unused without DNS.
    dns: BTreeMap<SocketAddr, DnsAddress>,
    /// Whether DNS has answered yet.
    answered: bool,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(sources: Sources) -> Membership {
        Membership {
            sources,
            ids: HashMap::new(),
            next: 0,
            located: HashSet::new(),
            listed: BTreeMap::new(),
            dns: BTreeMap::new(),
            answered: false,
        }
    }

    /// Changes the parameters of the DNS source; which sources are configured does not change.
    pub fn reconfigure(&mut self, sources: Sources) {
        if matches!((self.sources, sources), (Sources::Dns { .. }, Sources::Dns { .. })) {
            self.sources = sources;
        }
    }

    /// Applies a list from discovery that covers `scope`.
    pub fn apply_list(&mut self, list: &HostList, scope: ListScope, now: Micros) -> MembershipUpdate {
        match self.sources {
            Sources::Discovery => self.apply_list_only(list, scope),
            Sources::Dns { grace, .. } => {
                // Expired entries must have no effect even if nothing was processed since.
                self.drop_expired(now, grace);
                let warnings = self.record_list(list, scope);
                MembershipUpdate { warnings, ..self.merge(scope, now, grace) }
            }
        }
    }

    /// Applies the full set of addresses from DNS.
    pub fn apply_dns(&mut self, addresses: &[Address], now: Micros) -> MembershipUpdate {
        let Sources::Dns { grace, cold_at_start } = self.sources else {
            return MembershipUpdate { scope: ListScope::Delta, workers: Vec::new(), warnings: Vec::new() };
        };
        self.drop_expired(now, grace);
        let first = !std::mem::replace(&mut self.answered, true);
        let seen = (!first || cold_at_start).then_some(now);
        let present: HashSet<SocketAddr> = addresses.iter().map(|a| a.at).collect();
        for (_, named) in self.dns.iter_mut().filter(|(at, _)| !present.contains(at)) {
            if let DnsStatus::Present(_) = named.status {
                named.status = DnsStatus::Vanished(now);
            }
        }
        for address in addresses {
            let status = match self.dns.get(&address.at) {
                // None of its former names is left: another worker has taken over the address.
                Some(former) if !former.address.names.iter().any(|name| address.names.contains(name)) => {
                    DnsStatus::Present(Some(now))
                }
                Some(DnsAddress { status: DnsStatus::Present(since), .. }) => DnsStatus::Present(*since),
                // Reappeared: assume a new process.
                Some(_) => DnsStatus::Present(Some(now)),
                None => DnsStatus::Present(seen),
            };
            self.dns.insert(address.at, DnsAddress { address: address.clone(), status });
        }
        self.merge(ListScope::Full, now, grace)
    }

    /// Records that a worker's address refuses connections. If no source reports start times, whichever
    /// process listens there next counts as just started.
    pub fn connection_refused(&mut self, id: WorkerId, now: Micros) -> Option<MembershipUpdate> {
        let Sources::Dns { grace, .. } = self.sources else { return None };
        let (name, _) = self.ids.iter().find(|(_, known)| **known == id)?;
        // Any other name comes from discovery, which reports start times.
        let at: SocketAddr = name.strip_prefix(SRV_PREFIX)?.parse().ok()?;
        let DnsStatus::Present(since) = &mut self.dns.get_mut(&at)?.status else { return None };
        // Refusals come in bursts.
        if since.is_some_and(|at| now < at + REFUSAL_INTERVAL) {
            return None;
        }
        *since = Some(now);
        Some(self.merge(ListScope::Full, now, grace))
    }

    /// When [`Membership::expire`] is next due.
    pub fn next_expiry(&self) -> Option<Micros> {
        let Sources::Dns { grace, .. } = self.sources else { return None };
        let ends = self.dns.values().filter_map(|named| match named.status {
            DnsStatus::Vanished(since) if self.is_located(&named.address.at) => Some(since + grace),
            _ => None,
        });
        ends.min()
    }

    /// Removes workers whose grace period has ended.
    pub fn expire(&mut self, now: Micros) -> Option<MembershipUpdate> {
        let Sources::Dns { grace, .. } = self.sources else { return None };
        self.next_expiry().is_some_and(|at| at <= now).then(|| self.merge(ListScope::Full, now, grace))
    }

    /// Workers with a location.
    pub fn located(&self) -> &HashSet<WorkerId> {
        &self.located
    }

    /// Number of tracked addresses, listed workers and ids.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.dns.len(), self.listed.len(), self.ids.len())
    }

    fn id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.next += 1;
        self.ids.insert(name.to_owned(), WorkerId(self.next));
        WorkerId(self.next)
    }

    /// Ids of removed workers are kept in case they return, up to a limit.
    fn drop_old_ids(&mut self) {
        if self.ids.len() > REMEMBERED_IDS_MAX {
            self.ids.retain(|_, id| self.located.contains(id));
        }
    }

    // ---- discovery only ----

    fn apply_list_only(&mut self, list: &HostList, scope: ListScope) -> MembershipUpdate {
        let mut warnings = Vec::new();
        let workers: Vec<WorkerUpdate> =
            list.targets.iter().map(|target| self.convert_target(target, &mut warnings)).collect();
        if scope != ListScope::Delta {
            let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
            self.located.retain(|id| named.contains(id));
        }
        self.drop_old_ids();
        MembershipUpdate { scope, workers, warnings }
    }

    fn convert_target(&mut self, target: &Target, warnings: &mut Vec<String>) -> WorkerUpdate {
        let id = self.id(&target.uid);
        let mut availability = availability(target);
        let at = address(target, warnings);
        let location = at.filter(|_| availability != Availability::Gone);
        match location {
            Some(_) => drop(self.located.insert(id)),
            None => {
                availability = Availability::Gone;
                self.located.remove(&id);
            }
        }
        let location = location.map(|at| WorkerLocation { at, started_ms: target.boot_ms });
        let started = started(target);
        WorkerUpdate { info: info(id, target, availability, started), location }
    }

    // ---- discovery and DNS ----

    fn record_list(&mut self, list: &HostList, scope: ListScope) -> Vec<String> {
        let mut warnings = Vec::new();
        if scope != ListScope::Delta {
            let present: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
            for (_, listed) in self.listed.iter_mut().filter(|(uid, _)| !present.contains(uid.as_str())) {
                listed.status = ListStatus::Removed;
            }
        }
        for target in &list.targets {
            let at = address(target, &mut warnings);
            let former = self.listed.get(&target.uid).and_then(|listed| listed.at);
            let status = match availability(target) {
                Availability::Ready => ListStatus::Up(started(target)),
                Availability::Draining => ListStatus::Draining(started(target)),
                Availability::Gone => ListStatus::Removed,
            };
            // A removal may omit the address.
            let at = at.or(if status == ListStatus::Removed { former } else { None });
            self.listed.insert(target.uid.clone(), ListedWorker { target: target.clone(), at, status });
        }
        warnings
    }

    /// Addresses whose listed workers have all been removed.
    fn removed_addresses(&self) -> HashSet<SocketAddr> {
        let removed = self.listed.values().filter(|l| l.status == ListStatus::Removed);
        let mut at: HashSet<SocketAddr> = removed.filter_map(|l| l.at).collect();
        let present = self.listed.values().filter(|l| l.status != ListStatus::Removed);
        for lives in present.filter_map(|l| l.at) {
            at.remove(&lives);
        }
        at
    }

    fn is_located(&self, at: &SocketAddr) -> bool {
        let of_list = self.listed.values().filter(|l| l.at == Some(*at));
        let names = of_list.map(|l| l.target.uid.clone()).chain([srv_name(at)]);
        names.filter_map(|name| self.ids.get(&name)).any(|id| self.located.contains(id))
    }

    /// All workers, merged from both sources.
    fn merge(&mut self, scope: ListScope, now: Micros, grace: Micros) -> MembershipUpdate {
        let scope = if scope == ListScope::Delta { ListScope::Full } else { scope };
        let mut workers = Vec::new();
        let mut of_list: HashSet<SocketAddr> = HashSet::new();
        let listed: Vec<ListedWorker> = self.listed.values().cloned().collect();
        for listed in &listed {
            let Some(at) = listed.at else { continue };
            if listed.status != ListStatus::Removed {
                of_list.insert(at);
            }
            self.adopt_id(&listed.target.uid, &at);
            let srv = self.dns.get(&at);
            let state = resolve(listed.status, srv.map_or(DnsStatus::Unknown, |n| n.status), now, grace);
            let tier = srv.map_or(0, |n| n.address.tier);
            let mut update = self.update(&listed.target.uid, &listed.target, at, state);
            update.info.tier = tier;
            // The hash must not depend on which source a gateway sees first.
            update.info.hash = fnv(srv_name(&at).as_bytes());
            workers.push(update);
        }
        let removed = self.removed_addresses();
        let named: Vec<DnsAddress> =
            self.dns.values().filter(|n| !of_list.contains(&n.address.at)).cloned().collect();
        for DnsAddress { address, status } in named {
            let list = if removed.contains(&address.at) { ListStatus::Removed } else { ListStatus::Unknown };
            let name = srv_name(&address.at);
            let target =
                Target { uid: name.clone(), capacity_hint: Some(address.size), ..Target::anonymous() };
            let mut update = self.update(&name, &target, address.at, resolve(list, status, now, grace));
            update.info.tier = address.tier;
            workers.push(update);
        }
        self.drop_expired(now, grace);
        let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
        self.located.retain(|id| named.contains(id));
        self.drop_old_ids();
        MembershipUpdate { scope, workers, warnings: Vec::new() }
    }

    /// Keeps the id of a worker that DNS reported before discovery did.
    fn adopt_id(&mut self, uid: &str, at: &SocketAddr) {
        if !self.ids.contains_key(uid) {
            if let Some(id) = self.ids.remove(&srv_name(at)) {
                self.ids.insert(uid.to_owned(), id);
            }
        }
    }

    fn update(&mut self, name: &str, target: &Target, at: SocketAddr, state: WorkerState) -> WorkerUpdate {
        let id = self.id(name);
        let (availability, started) = match state {
            WorkerState::Ready(started) => (Availability::Ready, started),
            WorkerState::Draining(started) => (Availability::Draining, started),
            WorkerState::Gone => (Availability::Gone, None),
        };
        let location = (availability != Availability::Gone)
            .then_some(WorkerLocation { at, started_ms: started.map_or(0, |started| started / 1_000) });
        match location {
            Some(_) => drop(self.located.insert(id)),
            None => drop(self.located.remove(&id)),
        }
        WorkerUpdate { info: info(id, target, availability, started), location }
    }

    /// Drops expired entries.
    fn drop_expired(&mut self, now: Micros, grace: Micros) {
        let present = self.listed.values().filter(|l| l.status != ListStatus::Removed);
        let listed: HashSet<SocketAddr> = present.filter_map(|l| l.at).collect();
        let over = |status: DnsStatus| matches!(status, DnsStatus::Vanished(since) if now >= since + grace);
        self.dns.retain(|at, named| !over(named.status) || listed.contains(at));
        let named = &self.dns;
        let binds = |l: &ListedWorker| l.at.is_some_and(|at| named.contains_key(&at));
        self.listed.retain(|_, l| l.status != ListStatus::Removed || binds(l));
        let removed = self.listed.values().filter(|l| l.status == ListStatus::Removed).count();
        if removed > REMEMBERED_REMOVALS_MAX {
            self.listed.retain(|_, l| l.status != ListStatus::Removed);
        }
    }
}

/// Prefix of the names of workers known only from DNS.
const SRV_PREFIX: &str = "srv:";

/// Name of a worker known only from DNS.
fn srv_name(at: &SocketAddr) -> String {
    format!("{SRV_PREFIX}{at}")
}

fn availability(target: &Target) -> Availability {
    match target.state.as_str() {
        "up" => Availability::Ready,
        "removed" => Availability::Gone,
        // Unknown states must not receive requests.
        _ => Availability::Draining,
    }
}

fn address(target: &Target, warnings: &mut Vec<String>) -> Option<SocketAddr> {
    let parsed = target.endpoint.parse();
    if parsed.is_err() && target.state != "removed" {
        warnings.push(format!("discovery: worker {:?} has no valid address", target.uid));
    }
    parsed.ok()
}

/// Start time on the gateways' common clock, Unix time in µs.
fn started(target: &Target) -> Option<Micros> {
    (target.boot_ms > 0).then(|| target.boot_ms.saturating_mul(1_000))
}

fn info(id: WorkerId, target: &Target, availability: Availability, started: Option<Micros>) -> WorkerInfo {
    WorkerInfo {
        id,
        availability,
        zone: Zone(target.az.clone()),
        cell: target.pod_group,
        hash: fnv(target.uid.as_bytes()),
        size: target.capacity_hint.filter(|n| n.is_finite() && *n > 0.0).unwrap_or(1.0),
        started,
        tier: 0,
        cold_rate: None,
    }
}
