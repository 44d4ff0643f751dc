//! Checks the invariants of the control plane from outside the nodes.

use crate::core_node::CoreNode;
use crate::faults::FAULTS_FROM;
use crate::platform::Platform;
use crate::proxy_node::ProxyNode;
use crate::proxy_node::TRIAL_TIMING;
use crate::world::{FAULTS_HEALED_AT, TENANTS};
use crate::{Micros, MILLI, SECOND};
use compact_str::CompactString;
use hingestage_discovery::Catalog;
use hingestage_rpc::messages::{Ballot, ConfigVersion};
use hingestage_rpc::trials::TrialPosition;
use hingestage_rpc::workers::WorkersVersion;
use hingestage_trial::Terms;
use std::collections::BTreeMap;
use std::fmt;

/// Time after an acknowledgement within which proxies must honour a key revocation.
const KEY_REVOCATION_MAX: Micros = 5 * SECOND;
/// Time after the last fault within which configurations are acknowledged again.
const RECOVERY_MAX: Micros = 5 * SECOND;
/// Rounding tolerance of a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The seed of the run.
    pub seed: u64,
    /// Time since the start of the run, in microseconds.
    pub at: Micros,
    /// Description of the violation.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "seed {} at {:.3} s: {}", self.seed, self.at as f64 / SECOND as f64, self.what)
    }
}

/// Drain orders of one zone. Each is sent after the one before has been answered or can't be any more.
#[derive(Default)]
struct DrainOrders {
    sent: Vec<bool>,
    /// The last acknowledged order.
    acknowledged: Option<usize>,
    /// A ballot whose decision includes that order.
    ballot: Ballot,
}

impl DrainOrders {
    /// Whether the zone was last ordered to be drained, as far as that was acknowledged.
    fn in_effect(&self) -> bool {
        self.acknowledged.is_some_and(|order| self.sent[order])
    }

    /// Whether the last acknowledged order or a later one leads to this state.
    fn explain(&self, drained: bool) -> bool {
        let later = self.acknowledged.map_or(0, |order| order + 1);
        drained == self.in_effect() || self.sent[later..].contains(&drained)
    }
}

/// State observed so far, and the checks on it.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    acknowledged: Vec<(Micros, ConfigVersion)>,
    /// The highest serial that any operator has sent.
    highest_sent: u64,
    /// The committed version of each observed serial.
    committed: BTreeMap<u64, ConfigVersion>,
    drains: BTreeMap<&'static str, DrainOrders>,
    /// The workers in each version of a service's list.
    contents: BTreeMap<(CompactString, WorkersVersion), Vec<(CompactString, bool)>>,
    /// The configuration in force at each proxy, and the incarnation of its process.
    config_by_proxy: BTreeMap<CompactString, (u32, Option<ConfigVersion>)>,
    /// When each trial position of a tenant was first in effect at a proxy.
    effective_positions: BTreeMap<(&'static str, TrialPosition), Micros>,
}

impl InvariantChecker {
    /// Records that an operator sent a configuration.
    pub fn sent(&mut self, version: ConfigVersion) {
        self.highest_sent = self.highest_sent.max(version.serial);
    }

    /// Records an acknowledgement. The version is committed if no higher serial was sent.
    pub fn acknowledged(&mut self, now: Micros, version: ConfigVersion) -> Result<(), String> {
        self.acknowledged.push((now, version));
        if version.serial >= self.highest_sent {
            return self.check_committed("an operator", version);
        }
        Ok(())
    }

    /// Checks that a configuration refused for its serial is not the committed one.
    pub fn refused(&self, version: ConfigVersion) -> Result<(), String> {
        match self.committed.get(&version.serial) {
            Some(held) if *held == version => Err(format!("{version:?} holds and is refused")),
            _ => Ok(()),
        }
    }

    /// Checks that a read returns at least the newest version acknowledged before it began.
    pub fn read(&mut self, asked_at: Micros, version: Option<ConfigVersion>) -> Result<(), String> {
        let before = self.acknowledged.iter().filter(|(at, _)| *at < asked_at);
        let newest = before.map(|(_, version)| version.serial).max();
        if version.map(|version| version.serial) < newest {
            return Err(format!("{version:?} is read; {newest:?} was acknowledged before the read began"));
        }
        version.map_or(Ok(()), |version| self.check_committed("a reader", version))
    }

    /// Checks that a serial has the same content at every node.
    fn check_committed(&mut self, who: &str, version: ConfigVersion) -> Result<(), String> {
        let held = *self.committed.entry(version.serial).or_insert(version);
        match held == version {
            true => Ok(()),
            false => Err(format!("{who} has {version:?}, others {held:?}")),
        }
    }

    /// Records that an operator sent a drain order; returns the order's number in its zone.
    pub fn drain_sent(&mut self, zone: &'static str, drained: bool) -> usize {
        let orders = self.drains.entry(zone).or_default();
        orders.sent.push(drained);
        orders.sent.len() - 1
    }

    /// Records that a drain order was acknowledged by a store that has decided `ballot`.
    pub fn drain_acknowledged(&mut self, zone: &'static str, order: usize, ballot: Ballot) {
        let orders = self.drains.entry(zone).or_default();
        if orders.acknowledged.is_none_or(|last| last < order) {
            (orders.acknowledged, orders.ballot) = (Some(order), ballot);
        }
    }

    /// Whether a zone was last ordered to be drained, as far as that was acknowledged.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.drains.get(zone).is_some_and(DrainOrders::in_effect)
    }

    /// Checks that no decision undoes an acknowledged drain order in favour of an earlier one.
    fn check_drains(&self, core: &CoreNode) -> Result<(), String> {
        let (decided, state) = (core.replica.standing().decided, core.replica.state());
        for (zone, orders) in self.drains.iter().filter(|(_, orders)| decided > orders.ballot) {
            let drained = state.drains.get(*zone).is_some_and(|drain| drain.drained);
            if !orders.explain(drained) {
                let name = &core.member.name;
                return Err(format!("{name} has zone {zone} drained {drained}, against the last order"));
            }
        }
        Ok(())
    }

    pub fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }

    /// Checks the invariants that hold at all times.
    pub fn check(
        &mut self,
        now: Micros,
        cores: &[CoreNode],
        proxies: &mut [ProxyNode],
    ) -> Result<(), String> {
        let running = proxies.iter_mut().filter(|proxy| proxy.process.up && !proxy.process.is_paused(now));
        for proxy in running {
            self.check_trials(now, proxy)?;
        }
        let running: Vec<&ProxyNode> = proxies.iter().filter(|proxy| proxy.process.up).collect();
        for proxy in &running {
            self.check_keys(now, proxy)?;
            self.check_no_rollback(proxy)?;
            if let Some(version) = proxy.view.config_version() {
                self.check_committed(&proxy.name, version)?;
            }
            self.check_contents(&proxy.name, proxy.view.followed().catalog())?;
        }
        for core in cores.iter().filter(|core| core.process.up) {
            self.check_drains(core)?;
            self.check_contents(&core.member.name, core.workers.catalog())?;
        }
        check_share_sum(now, &running)
    }

    /// No proxy accepts keys from an outdated configuration, even while it is disconnected.
    fn check_keys(&self, now: Micros, proxy: &ProxyNode) -> Result<(), String> {
        if proxy.process.is_paused(now) || !proxy.view.keys_valid(proxy.clock(now)) {
            return Ok(());
        }
        let binding = self.acknowledged.iter().filter(|(at, _)| *at + KEY_REVOCATION_MAX <= now);
        let newest = binding.map(|(_, version)| *version).max();
        let held = proxy.view.config_version();
        if held < newest {
            return Err(format!("{} accepts keys of {held:?} although {newest:?} is binding", proxy.name));
        }
        Ok(())
    }

    /// Once a trial position is in effect anywhere, no proxy applies an earlier one after the uncertainty has passed. A
    /// tenant without a known trial has its whole quota, as before the first step.
    fn check_trials(&mut self, now: Micros, proxy: &mut ProxyNode) -> Result<(), String> {
        for tenant in TENANTS {
            let Some(position) = proxy.effective_trial_position(now, tenant) else { continue };
            let unknown = position == TrialPosition::default();
            let differs = |other: &TrialPosition| *other > position && (!unknown || other.step > 0);
            let late = |at: &Micros| now > at + TRIAL_TIMING.uncertainty;
            let mut judged = self.effective_positions.iter().filter(|((judged, _), _)| *judged == tenant);
            if let Some(((_, other), at)) = judged.find(|((_, other), at)| differs(other) && late(at)) {
                let ago = (now - at) / MILLI;
                return Err(format!(
                    "{} judges {tenant} by {position:?}; by {other:?} it was judged {ago} ms ago",
                    proxy.name
                ));
            }
            self.effective_positions.entry((tenant, position)).or_insert(now);
        }
        Ok(())
    }

    fn check_no_rollback(&mut self, proxy: &ProxyNode) -> Result<(), String> {
        let held = proxy.view.config_version();
        let now_in_force = (proxy.process.incarnation, held);
        let before = self.config_by_proxy.insert(proxy.name.clone(), now_in_force);
        match before {
            Some((incarnation, version)) if incarnation == proxy.process.incarnation && held < version => {
                Err(format!("{} went back from {version:?} to {held:?}", proxy.name))
            }
            _ => Ok(()),
        }
    }

    /// Checks that one version of a service's workers has the same content at every node.
    fn check_contents(&mut self, node: &CompactString, catalog: &Catalog) -> Result<(), String> {
        for name in catalog.names() {
            let Some(list) = catalog.service(name) else { continue };
            let content: Vec<(CompactString, bool)> =
                list.workers().map(|worker| (worker.record.id.clone(), worker.record.draining)).collect();
            let key = (name.clone(), list.version());
            let first = self.contents.entry(key).or_insert_with(|| content.clone());
            if *first != content {
                let version = list.version();
                return Err(format!("{node} has {content:?} of {name} as {version:?}, others {first:?}"));
            }
        }
        Ok(())
    }

    /// Checks the invariants that hold after the system has recovered from all faults.
    pub fn check_end(
        &self,
        now: Micros,
        cores: &[CoreNode],
        proxies: &mut [ProxyNode],
        platform: &Platform,
    ) -> Result<(), String> {
        check_trials_at_end(now, cores, proxies)?;
        let serials = self.acknowledged.iter().map(|(_, version)| version.serial);
        let newest = serials.max().and_then(|serial| self.committed.get(&serial).copied());
        let active: Vec<&CoreNode> = cores.iter().filter(|core| core.is_active()).collect();
        for core in &active {
            self.check_core_at_end(core, newest)?;
        }
        if !self.acknowledged.iter().any(|(at, _)| *at > FAULTS_HEALED_AT + RECOVERY_MAX) {
            return Err("no configuration was acknowledged after all faults had healed".to_owned());
        }
        check_voters_at_end(&active)?;
        let readers: Vec<&&CoreNode> =
            active.iter().filter(|core| core.reader_election.fence().is_some()).collect();
        if readers.len() != 1 {
            return Err(format!("{} registries read the list", readers.len()));
        }
        let mut shares = 0.0;
        for proxy in &*proxies {
            self.check_proxy_at_end(now, proxy, newest, platform)?;
            shares += proxy.view.limit_share().share(proxy.clock(now));
        }
        if shares < 1.0 - 1e-6 {
            return Err(format!("the shares sum to only {shares} after all faults had healed"));
        }
        Ok(())
    }

    fn check_core_at_end(&self, core: &CoreNode, newest: Option<ConfigVersion>) -> Result<(), String> {
        let (name, state) = (&core.member.name, core.replica.state());
        let held = state.config.as_ref().map(|config| config.version);
        if held < newest {
            return Err(format!("{name} has {held:?}; {newest:?} was acknowledged"));
        }
        if core.replica.is_recovering() {
            return Err(format!("{name} is still recovering"));
        }
        for (zone, orders) in &self.drains {
            let drained = state.drains.get(*zone).is_some_and(|drain| drain.drained);
            if !orders.explain(drained) {
                return Err(format!("{name} has zone {zone} drained {drained}, against the last order"));
            }
        }
        Ok(())
    }

    fn check_proxy_at_end(
        &self,
        now: Micros,
        proxy: &ProxyNode,
        newest: Option<ConfigVersion>,
        platform: &Platform,
    ) -> Result<(), String> {
        let name = &proxy.name;
        if proxy.view.config_version() < newest {
            return Err(format!(
                "{name} has {:?} in force; {newest:?} was acknowledged",
                proxy.view.config_version()
            ));
        }
        if !proxy.view.keys_valid(proxy.clock(now)) {
            return Err(format!("{name} accepts no keys after all faults had healed"));
        }
        let workers = proxy.view.followed().catalog().workers();
        let mut held: Vec<(CompactString, bool)> =
            workers.map(|worker| (worker.record.id.clone(), worker.record.draining)).collect();
        held.sort();
        if held != platform.truth() {
            let followed = proxy.view.followed();
            return Err(format!(
                "{name} has the workers {held:?} up to {:?} (told of {:?}, complete: {}), the platform {:?}",
                followed.catalog().version(),
                followed.announced_version(),
                followed.is_complete(),
                platform.truth()
            ));
        }
        Ok(())
    }
}

/// All voters are active, and they are more than half of the active stores.
fn check_voters_at_end(active: &[&CoreNode]) -> Result<(), String> {
    let membership = active.iter().map(|core| &core.replica.state().membership).max_by_key(|m| m.epoch);
    let voters = membership.map(|membership| membership.voters.as_slice()).unwrap_or_default();
    let gone = voters.iter().find(|voter| !active.iter().any(|core| core.member == **voter));
    match gone {
        Some(gone) => Err(format!("{} is a voter but not active", gone.name)),
        None if voters.len() * 2 <= active.len() => Err(format!("{} of {} vote", voters.len(), active.len())),
        None => Ok(()),
    }
}

/// All proxies apply the last step of the terms, and all stores hold the same terms.
fn check_trials_at_end(now: Micros, cores: &[CoreNode], proxies: &mut [ProxyNode]) -> Result<(), String> {
    for tenant in TENANTS {
        let mut active = cores.iter().filter(|core| core.is_active());
        let held = active.next().and_then(|core| core.replica.state().trials.get(tenant));
        if let Some(other) = active.find(|core| core.replica.state().trials.get(tenant) != held) {
            return Err(format!("{} has other terms of {tenant} than others", other.member.name));
        }
        let Some(record) = held else { continue };
        let last = Terms::parse(&record.terms).map(|terms| terms.last_step()).unwrap_or_default();
        if record.position.step != last {
            return Err(format!(
                "the trial of {tenant} stands at {:?}, with nothing in the way",
                record.position
            ));
        }
        for proxy in proxies.iter_mut() {
            let judged = proxy.effective_trial_position(now, tenant);
            if judged != Some(record.position) {
                return Err(format!(
                    "{} judges {tenant} by {judged:?}, all have {:?}",
                    proxy.name, record.position
                ));
            }
        }
    }
    Ok(())
}

/// The shares of common limits never exceed the whole.
fn check_share_sum(now: Micros, running: &[&ProxyNode]) -> Result<(), String> {
    if now < FAULTS_FROM {
        return Ok(());
    }
    let shares: Vec<(&CompactString, f64)> =
        running.iter().map(|proxy| (&proxy.name, proxy.view.limit_share().share(proxy.clock(now)))).collect();
    let sum: f64 = shares.iter().map(|(_, share)| share).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        return Err(format!("shares sum to {sum}: {shares:?}"));
    }
    Ok(())
}
