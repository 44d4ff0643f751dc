//! What each source says of each worker, and what the decisions are told of it.

use crate::hosts::{HostList, Target};
use crate::rule::{judge, ListWord, SrvWord, Verdict};
use hingestage_policy::{fnv, Availability, ListScope, Micros, WorkerId, WorkerInfo, Zone};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Ids kept, of workers listed and gone; past that those gone are forgotten.
const IDS_MAX: usize = 1_000;
/// Workers that the list took away and whose addresses DNS still names, kept so that the list's word holds.
const REMOVED_MAX: usize = 4_096;

/// Refused connections to one worker that lie closer together than this are one, µs.
const REFUSED_EVERY: Micros = 1_000_000;

/// An address that DNS names.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// Where the worker is.
    pub at: SocketAddr,
    /// Less is better.
    pub tier: u32,
    /// Its size, 1 on the mean.
    pub size: f64,
    /// The names that lead there.
    pub names: Vec<String>,
}

/// Where connections to a worker lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Located {
    /// Its address.
    pub at: SocketAddr,
    /// When it last started, as its source tells it; tells one life at an address from the next.
    pub life: u64,
}

/// A worker as it is to be held from now on.
#[derive(Clone, Debug)]
pub struct Told {
    /// What the decisions go by.
    pub info: WorkerInfo,
    /// Where it is; none where it is no more, or nowhere.
    pub place: Option<Located>,
}

/// What follows from a word of a source.
#[derive(Clone, Debug)]
pub struct Change {
    /// What it covers.
    pub scope: ListScope,
    /// The workers that it names.
    pub workers: Vec<Told>,
    /// What is odd about it, to be noted.
    pub odd: Vec<String>,
}

/// Which sources there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The list alone.
    List,
    /// DNS, alone or beside the list.
    Srv {
        /// How long a worker may finish what it has once its record has vanished, µs.
        grace: Micros,
        /// Whether workers that the first answer names are taken for cold.
        cold_at_start: bool,
    },
}

/// A worker as the list names it.
#[derive(Clone, Debug)]
struct Listed {
    target: Target,
    at: Option<SocketAddr>,
    word: ListWord,
}

/// An address as DNS names it.
#[derive(Clone, Debug)]
struct Named {
    address: Address,
    word: SrvWord,
}

/// Which worker is which, and what is said of each.
#[derive(Debug)]
pub struct Membership {
    sources: Sources,
    ids: HashMap<String, WorkerId>,
    next: u64,
    /// Workers that have a place.
    placed: HashSet<WorkerId>,
    /// By `uid`; with DNS only.
    listed: BTreeMap<String, Listed>,
    /// By address; with DNS only.
    named: BTreeMap<SocketAddr, Named>,
    /// Whether DNS has answered at all.
    answered: bool,
}

impl Membership {
    /// Nobody yet.
    pub fn new(sources: Sources) -> Membership {
        Membership {
            sources,
            ids: HashMap::new(),
            next: 0,
            placed: HashSet::new(),
            listed: BTreeMap::new(),
            named: BTreeMap::new(),
            answered: false,
        }
    }

    /// Goes by other figures from now on; which sources there are stays as it was.
    pub fn go_by(&mut self, sources: Sources) {
        if matches!((self.sources, sources), (Sources::Srv { .. }, Sources::Srv { .. })) {
            self.sources = sources;
        }
    }

    /// Takes in a list. `scope` says what it covers.
    pub fn list(&mut self, list: &HostList, scope: ListScope, now: Micros) -> Change {
        match self.sources {
            Sources::List => self.pass_on(list, scope),
            Sources::Srv { grace, .. } => {
                // What binds nothing any more must not bind because nobody looked in between.
                self.forget(now, grace);
                let odd = self.take_list(list, scope);
                Change { odd, ..self.joined(scope, now, grace) }
            }
        }
    }

    /// Takes in all addresses that DNS names.
    pub fn srv(&mut self, addresses: &[Address], now: Micros) -> Change {
        let Sources::Srv { grace, cold_at_start } = self.sources else {
            return Change { scope: ListScope::Delta, workers: Vec::new(), odd: Vec::new() };
        };
        self.forget(now, grace);
        let first = !std::mem::replace(&mut self.answered, true);
        let seen = (!first || cold_at_start).then_some(now);
        let there: HashSet<SocketAddr> = addresses.iter().map(|a| a.at).collect();
        for (_, named) in self.named.iter_mut().filter(|(at, _)| !there.contains(at)) {
            if let SrvWord::Present(_) = named.word {
                named.word = SrvWord::Vanished(now);
            }
        }
        for address in addresses {
            let word = match self.named.get(&address.at) {
                // Under none of its names any more: another worker has taken the address over.
                Some(former) if !former.address.names.iter().any(|name| address.names.contains(name)) => {
                    SrvWord::Present(Some(now))
                }
                Some(Named { word: SrvWord::Present(since), .. }) => SrvWord::Present(*since),
                // Back after it had vanished: whether it is the same process nobody tells, so it is not.
                Some(_) => SrvWord::Present(Some(now)),
                None => SrvWord::Present(seen),
            };
            self.named.insert(address.at, Named { address: address.clone(), word });
        }
        self.joined(ListScope::Full, now, grace)
    }

    /// Takes in that nobody listens at a worker's address. Where no source tells starts, whoever listens there
    /// next has just started.
    pub fn refused(&mut self, id: WorkerId, now: Micros) -> Option<Change> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        let (name, _) = self.ids.iter().find(|(_, known)| **known == id)?;
        // Another name is the list's, which tells starts itself.
        let at: SocketAddr = name.strip_prefix(SRV_NAME)?.parse().ok()?;
        let SrvWord::Present(since) = &mut self.named.get_mut(&at)?.word else { return None };
        // Refusals come in swarms; one a second tells as much.
        if since.is_some_and(|at| now < at + REFUSED_EVERY) {
            return None;
        }
        *since = Some(now);
        Some(self.joined(ListScope::Full, now, grace))
    }

    /// When [`Membership::lapse`] has something to do.
    pub fn wake(&self) -> Option<Micros> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        let ends = self.named.values().filter_map(|named| match named.word {
            SrvWord::Vanished(since) if self.placed_at(&named.address.at) => Some(since + grace),
            _ => None,
        });
        ends.min()
    }

    /// Takes in that time has passed: graces end.
    pub fn lapse(&mut self, now: Micros) -> Option<Change> {
        let Sources::Srv { grace, .. } = self.sources else { return None };
        self.wake().is_some_and(|at| at <= now).then(|| self.joined(ListScope::Full, now, grace))
    }

    /// Workers that have a place.
    pub fn placed(&self) -> &HashSet<WorkerId> {
        &self.placed
    }

    /// How many addresses, listed workers and ids are kept.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.named.len(), self.listed.len(), self.ids.len())
    }

    fn id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.next += 1;
        self.ids.insert(name.to_owned(), WorkerId(self.next));
        WorkerId(self.next)
    }

    /// A worker that comes back keeps its id; only a fleet's many former lives are forgotten.
    fn forget_ids(&mut self) {
        if self.ids.len() > IDS_MAX {
            self.ids.retain(|_, id| self.placed.contains(id));
        }
    }

    // ---- the list alone ----

    fn pass_on(&mut self, list: &HostList, scope: ListScope) -> Change {
        let mut odd = Vec::new();
        let workers: Vec<Told> = list.targets.iter().map(|target| self.pass_one(target, &mut odd)).collect();
        if scope != ListScope::Delta {
            let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
            self.placed.retain(|id| named.contains(id));
        }
        self.forget_ids();
        Change { scope, workers, odd }
    }

    fn pass_one(&mut self, target: &Target, odd: &mut Vec<String>) -> Told {
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

    // ---- both ----

    fn take_list(&mut self, list: &HostList, scope: ListScope) -> Vec<String> {
        let mut odd = Vec::new();
        if scope != ListScope::Delta {
            let there: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
            for (_, listed) in self.listed.iter_mut().filter(|(uid, _)| !there.contains(uid.as_str())) {
                listed.word = ListWord::Removed;
            }
        }
        for target in &list.targets {
            let at = address(target, &mut odd);
            let former = self.listed.get(&target.uid).and_then(|listed| listed.at);
            let word = match availability(target) {
                Availability::Ready => ListWord::Up(started(target)),
                Availability::Draining => ListWord::Draining(started(target)),
                Availability::Gone => ListWord::Removed,
            };
            // One that is removed need not say where it was.
            let at = at.or(if word == ListWord::Removed { former } else { None });
            self.listed.insert(target.uid.clone(), Listed { target: target.clone(), at, word });
        }
        odd
    }

    /// What the list says of an address where none of its workers is up or drains.
    fn removed_at(&self) -> HashSet<SocketAddr> {
        let removed = self.listed.values().filter(|l| l.word == ListWord::Removed);
        let mut at: HashSet<SocketAddr> = removed.filter_map(|l| l.at).collect();
        let there = self.listed.values().filter(|l| l.word != ListWord::Removed);
        for lives in there.filter_map(|l| l.at) {
            at.remove(&lives);
        }
        at
    }

    fn placed_at(&self, at: &SocketAddr) -> bool {
        let of_list = self.listed.values().filter(|l| l.at == Some(*at));
        let names = of_list.map(|l| l.target.uid.clone()).chain([srv_name(at)]);
        names.filter_map(|name| self.ids.get(&name)).any(|id| self.placed.contains(id))
    }

    /// All workers as both sources together have them.
    fn joined(&mut self, scope: ListScope, now: Micros, grace: Micros) -> Change {
        let scope = if scope == ListScope::Delta { ListScope::Full } else { scope };
        let mut workers = Vec::new();
        let mut of_list: HashSet<SocketAddr> = HashSet::new();
        let listed: Vec<Listed> = self.listed.values().cloned().collect();
        for listed in &listed {
            let Some(at) = listed.at else { continue };
            if listed.word != ListWord::Removed {
                of_list.insert(at);
            }
            self.rename(&listed.target.uid, &at);
            let srv = self.named.get(&at);
            let verdict = judge(listed.word, srv.map_or(SrvWord::Silent, |n| n.word), now, grace);
            let tier = srv.map_or(0, |n| n.address.tier);
            let mut told = self.tell(&listed.target.uid, &listed.target, at, verdict);
            told.info.tier = tier;
            // Gateways may learn of a worker from either source first: its place must not hang on which.
            told.info.hash = fnv(srv_name(&at).as_bytes());
            workers.push(told);
        }
        let removed = self.removed_at();
        let named: Vec<Named> =
            self.named.values().filter(|n| !of_list.contains(&n.address.at)).cloned().collect();
        for Named { address, word } in named {
            let list = if removed.contains(&address.at) { ListWord::Removed } else { ListWord::Silent };
            let name = srv_name(&address.at);
            let target =
                Target { uid: name.clone(), capacity_hint: Some(address.size), ..Target::nameless() };
            let mut told = self.tell(&name, &target, address.at, judge(list, word, now, grace));
            told.info.tier = address.tier;
            workers.push(told);
        }
        self.forget(now, grace);
        let named: HashSet<WorkerId> = workers.iter().map(|w| w.info.id).collect();
        self.placed.retain(|id| named.contains(id));
        self.forget_ids();
        Change { scope, workers, odd: Vec::new() }
    }

    /// A worker that DNS told of first and the list names now is the same worker.
    fn rename(&mut self, uid: &str, at: &SocketAddr) {
        if !self.ids.contains_key(uid) {
            if let Some(id) = self.ids.remove(&srv_name(at)) {
                self.ids.insert(uid.to_owned(), id);
            }
        }
    }

    fn tell(&mut self, name: &str, target: &Target, at: SocketAddr, verdict: Verdict) -> Told {
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

    /// Words that bind nothing any more.
    fn forget(&mut self, now: Micros, grace: Micros) {
        let there = self.listed.values().filter(|l| l.word != ListWord::Removed);
        let listed: HashSet<SocketAddr> = there.filter_map(|l| l.at).collect();
        let over = |word: SrvWord| matches!(word, SrvWord::Vanished(since) if now >= since + grace);
        self.named.retain(|at, named| !over(named.word) || listed.contains(at));
        let named = &self.named;
        let binds = |l: &Listed| l.at.is_some_and(|at| named.contains_key(&at));
        self.listed.retain(|_, l| l.word != ListWord::Removed || binds(l));
        let removed = self.listed.values().filter(|l| l.word == ListWord::Removed).count();
        if removed > REMOVED_MAX {
            self.listed.retain(|_, l| l.word != ListWord::Removed);
        }
    }
}

/// What the names of workers that DNS alone knows begin with.
const SRV_NAME: &str = "srv:";

/// The name of a worker that DNS alone knows.
fn srv_name(at: &SocketAddr) -> String {
    format!("{SRV_NAME}{at}")
}

fn availability(target: &Target) -> Availability {
    match target.state.as_str() {
        "up" => Availability::Ready,
        "removed" => Availability::Gone,
        // A word nobody has described is no leave to send.
        _ => Availability::Draining,
    }
}

fn address(target: &Target, odd: &mut Vec<String>) -> Option<SocketAddr> {
    let parsed = target.endpoint.parse();
    if parsed.is_err() && target.state != "removed" {
        odd.push(format!("discovery: worker {:?} has no address", target.uid));
    }
    parsed.ok()
}

/// The gateway's clock counts Unix time too, so that all gateways agree on a start.
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
