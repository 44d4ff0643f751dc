//! Tracks the reports of each source and derives worker updates from them.

use crate::hosts::{HostList, Target};
use crate::rule::{judge, ListWord, SrvWord, Verdict};
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
pub struct Located {
    /// Socket address.
    pub at: SocketAddr,
    /// Start time reported by the source, ms; distinguishes successive processes at one address.
    pub life: u64,
}

/// The new state of a worker.
#[derive(Clone, Debug)]
pub struct Told {
    /// The worker as passed to the decision logic.
    pub info: WorkerInfo,
    /// Where to connect; `None` if it is gone or has no address.
    pub place: Option<Located>,
}

/// The result of a source's report.
#[derive(Clone, Debug)]
pub struct Change {
    /// Which workers the update covers.
    pub scope: ListScope,
    /// The updated workers.
    pub workers: Vec<Told>,
    /// Problems to log.
    pub odd: Vec<String>,
}

/// The configured sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// Discovery only.
    List,
    /// DNS, alone or together with discovery.
    Srv {
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
    status: ListWord,
}

/// An address from DNS with its status.
#[derive(Clone, Debug)]
struct DnsAddress {
    address: Address,
    status: SrvWord,
}

/// Assigns worker ids and tracks what each source reports.
#[derive(Debug)]
pub struct Membership {
    sources: Sources,
    ids: HashMap<String, WorkerId>,
    next: u64,
    /// Workers with a location.
    placed: HashSet<WorkerId>,
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
            placed: HashSet::new(),
            listed: BTreeMap::new(),
            dns: BTreeMap::new(),
            answered: false,
        }
    }

    /// Changes the parameters of the DNS source; which sources are configured does not change.
    pub fn go_by(&mut self, sources: Sources) {
        if matches!((self.sources, sources), (Sources::Srv { .. }, Sources::Srv { .. })) {
            self.sources = sources;
        }
    }

    /// Applies a list from discovery that covers `scope`.
    pub fn list(&mut self, list: &HostList, scope: ListScope, now: Micros) -> Change {
        match self.sources {
            Sources::List => self.apply_list_only(list, scope),
            Sources::Srv { grace, .. } => {
                // Expired entries must have no effect even if nothing was processed since.
                self.drop_expired(now, grace);
                let odd = self.record_list(list, scope);
                Change { odd, ..self.merge(scope, now, grace) }
            }
        }
    }

    /// Applies the full set of addresses from DNS.
    pub fn srv(&mut self, addresses: &[Address], now: Micros) -> Change {
        let Sources::Srv { grace, cold_at_start } = self.sources else {
            return Change { scope: ListScope::Delta, workers: Vec::new(), odd: Vec::new() };
        };
        self.drop_expired(now, grace);
        let first = !std::mem::replace(&mut self.answered, true);
        let seen = (!first || cold_at_start).then_some(now);
        let there: HashSet<SocketAddr> = addresses.iter().map(|a| a.at).collect();
        for (_, named) in self.dns.iter_mut().filter(|(at, _)| !there.contains(at)) {
            if let SrvWord::Present(_) = named.status {
                named.status = SrvWord::Vanished(now);
            }
        }
        for address in addresses {
            let status = match self.dns.get(&address.at) {
                // None of its former names is left: another worker has taken over the address.
                Some(former) if !former.address.names.iter().any(|name| address.names.contains(name)) => {
                    SrvWord::Present(Some(now))
                }
                Some(DnsAddress { status: SrvWord::Present(since), .. }) => SrvWord::Present(*since),
                // Reappeared: assume a new process.
                Some(_) => SrvWord::Present(Some(now)),
                None => SrvWord::Present(seen),
            };
            self.dns.insert(address.at, DnsAddress { address: address.clone(), status });
        }
        self.merge(ListScope::Full, now, grace)
    }

    /// Records that a worker's address refuses connections. If no source reports start times, whichever
    /// process listens there next counts as just started.
    pub fn refused(&mut self, id: WorkerId, now: Micros) -> Option<Change> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        let (name, _) = self.ids.iter().find(|(_, known)| **known == id)?;
        // Any other name comes from discovery, which reports start times.
        let at: SocketAddr = name.strip_prefix(SRV_PREFIX)?.parse().ok()?;
        let SrvWord::Present(since) = &mut self.dns.get_mut(&at)?.status else { return None };
        // Refusals come in bursts.
        if since.is_some_and(|at| now < at + REFUSAL_INTERVAL) {
            return None;
        }
        *since = Some(now);
        Some(self.merge(ListScope::Full, now, grace))
    }

    /// When [`Membership::expire`] is next due.
    pub fn wake(&self) -> Option<Micros> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        let ends = self.dns.values().filter_map(|named| match named.status {
            SrvWord::Vanished(since) if self.is_located(&named.address.at) => Some(since + grace),
            _ => None,
        });
        ends.min()
    }

    /// Removes workers whose grace period has ended.
    pub fn lapse(&mut self, now: Micros) -> Option<Change> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        self.wake().is_some_and(|at| at <= now).then(|| self.merge(ListScope::Full, now, grace))
    }

    /// Workers with a location.
    pub fn placed(&self) -> &HashSet<WorkerId> {
        &self.placed
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
            self.ids.retain(|_, id| self.placed.contains(id));
        }
    }

    // ---- discovery only ----

    fn apply_list_only(&mut self, list: &HostList, scope: ListScope) -> Change {
        let mut odd = Vec::new();
        let workers: Vec<Told> =
            list.targets.iter().map(|target| self.convert_target(target, &mut odd)).collect();
        if scope != ListScope::Delta {
            let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
            self.placed.retain(|id| named.contains(id));
        }
        self.drop_old_ids();
        Change { scope, workers, odd }
    }

    fn convert_target(&mut self, target: &Target, odd: &mut Vec<String>) -> Told {
        let id = self.id(&target.uid);
        let mut availability = availability(target);
        let at = address(target, odd);
        let place = at.filter(|_| availability != Availability::Gone);
        match place {
            Some(_) => drop(self.placed.insert(id)),
            None => {
                availability = Availability::Gone;
                self.placed.remove(&id);
            }
        }
        let place = place.map(|at| Located { at, life: target.boot_ms });
        let started = started(target);
        Told { info: info(id, target, availability, started), place }
    }

    // ---- discovery and DNS ----

    fn record_list(&mut self, list: &HostList, scope: ListScope) -> Vec<String> {
        let mut odd = Vec::new();
        if scope != ListScope::Delta {
            let there: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
            for (_, listed) in self.listed.iter_mut().filter(|(uid, _)| !there.contains(uid.as_str())) {
                listed.status = ListWord::Removed;
            }
        }
        for target in &list.targets {
            let at = address(target, &mut odd);
            let former = self.listed.get(&target.uid).and_then(|listed| listed.at);
            let status = match availability(target) {
                Availability::Ready => ListWord::Up(started(target)),
                Availability::Draining => ListWord::Draining(started(target)),
                Availability::Gone => ListWord::Removed,
            };
            // A removal may omit the address.
            let at = at.or(if status == ListWord::Removed { former } else { None });
            self.listed.insert(target.uid.clone(), ListedWorker { target: target.clone(), at, status });
        }
        odd
    }

    /// Addresses whose listed workers have all been removed.
    fn removed_addresses(&self) -> HashSet<SocketAddr> {
        let removed = self.listed.values().filter(|l| l.status == ListWord::Removed);
        let mut at: HashSet<SocketAddr> = removed.filter_map(|l| l.at).collect();
        let there = self.listed.values().filter(|l| l.status != ListWord::Removed);
        for lives in there.filter_map(|l| l.at) {
            at.remove(&lives);
        }
        at
    }

    fn is_located(&self, at: &SocketAddr) -> bool {
        let of_list = self.listed.values().filter(|l| l.at == Some(*at));
        let names = of_list.map(|l| l.target.uid.clone()).chain([srv_name(at)]);
        names.filter_map(|name| self.ids.get(&name)).any(|id| self.placed.contains(id))
    }

    /// All workers, merged from both sources.
    fn merge(&mut self, scope: ListScope, now: Micros, grace: Micros) -> Change {
        let scope = if scope == ListScope::Delta { ListScope::Full } else { scope };
        let mut workers = Vec::new();
        let mut of_list: HashSet<SocketAddr> = HashSet::new();
        let listed: Vec<ListedWorker> = self.listed.values().cloned().collect();
        for listed in &listed {
            let Some(at) = listed.at else { continue };
            if listed.status != ListWord::Removed {
                of_list.insert(at);
            }
            self.adopt_id(&listed.target.uid, &at);
            let srv = self.dns.get(&at);
            let verdict = judge(listed.status, srv.map_or(SrvWord::Silent, |n| n.status), now, grace);
            let tier = srv.map_or(0, |n| n.address.tier);
            let mut told = self.update(&listed.target.uid, &listed.target, at, verdict);
            told.info.tier = tier;
            // The mark must not depend on which source a gateway sees first.
            told.info.mark = fnv(srv_name(&at).as_bytes());
            workers.push(told);
        }
        let removed = self.removed_addresses();
        let named: Vec<DnsAddress> =
            self.dns.values().filter(|n| !of_list.contains(&n.address.at)).cloned().collect();
        for DnsAddress { address, status } in named {
            let list = if removed.contains(&address.at) { ListWord::Removed } else { ListWord::Silent };
            let name = srv_name(&address.at);
            let target =
                Target { uid: name.clone(), capacity_hint: Some(address.size), ..Target::nameless() };
            let mut told = self.update(&name, &target, address.at, judge(list, status, now, grace));
            told.info.tier = address.tier;
            workers.push(told);
        }
        self.drop_expired(now, grace);
        let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
        self.placed.retain(|id| named.contains(id));
        self.drop_old_ids();
        Change { scope, workers, odd: Vec::new() }
    }

    /// Keeps the id of a worker that DNS reported before discovery did.
    fn adopt_id(&mut self, uid: &str, at: &SocketAddr) {
        if !self.ids.contains_key(uid) {
            if let Some(id) = self.ids.remove(&srv_name(at)) {
                self.ids.insert(uid.to_owned(), id);
            }
        }
    }

    fn update(&mut self, name: &str, target: &Target, at: SocketAddr, verdict: Verdict) -> Told {
        let id = self.id(name);
        let (availability, started) = match verdict {
            Verdict::Ready(started) => (Availability::Ready, started),
            Verdict::Draining(started) => (Availability::Draining, started),
            Verdict::Gone => (Availability::Gone, None),
        };
        let place = (availability != Availability::Gone)
            .then_some(Located { at, life: started.map_or(0, |started| started / 1_000) });
        match place {
            Some(_) => drop(self.placed.insert(id)),
            None => drop(self.placed.remove(&id)),
        }
        Told { info: info(id, target, availability, started), place }
    }

    /// Drops expired entries.
    fn drop_expired(&mut self, now: Micros, grace: Micros) {
        let there = self.listed.values().filter(|l| l.status != ListWord::Removed);
        let listed: HashSet<SocketAddr> = there.filter_map(|l| l.at).collect();
        let over = |status: SrvWord| matches!(status, SrvWord::Vanished(since) if now >= since + grace);
        self.dns.retain(|at, named| !over(named.status) || listed.contains(at));
        let named = &self.dns;
        let binds = |l: &ListedWorker| l.at.is_some_and(|at| named.contains_key(&at));
        self.listed.retain(|_, l| l.status != ListWord::Removed || binds(l));
        let removed = self.listed.values().filter(|l| l.status == ListWord::Removed).count();
        if removed > REMEMBERED_REMOVALS_MAX {
            self.listed.retain(|_, l| l.status != ListWord::Removed);
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

fn address(target: &Target, odd: &mut Vec<String>) -> Option<SocketAddr> {
    let parsed = target.endpoint.parse();
    if parsed.is_err() && target.state != "removed" {
        odd.push(format!("discovery: worker {:?} has no valid address", target.uid));
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
        mark: fnv(target.uid.as_bytes()),
        size: target.capacity_hint.filter(|n| n.is_finite() && *n > 0.0).unwrap_or(1.0),
        started,
        tier: 0,
        cold_rate: None,
    }
}
