//! Formats statuses as lines of text.

use crate::health::Health;
use crate::survey::{Node, Survey};
use compact_str::CompactString;
use hingestage_rpc::messages::{ConfigVersion, Millis};
use hingestage_rpc::status::{
    Explanation, KeyLease, ProxyState, RegistryStatus, RequestRecord, StoreStatus, TenantCounters,
    WorkerGroup,
};
use hingestage_rpc::trials::{AuditEntry, TrialCount, TrialPosition, TrialView};
use std::collections::BTreeMap;
use std::time::{Duration, UNIX_EPOCH};

/// One line per process.
pub fn survey(survey: &Survey) -> Vec<String> {
    let registries = survey.registries.iter().map(|node| node_line("registry", node, registry));
    let stores = survey.stores.iter().map(|node| node_line("store", node, store));
    let proxies = survey.proxies.iter().map(|node| node_line("proxy", node, proxy));
    registries.chain(stores).chain(proxies).collect()
}

/// A proxy's records of a request or tenant: the tenant's counters, then one line per request.
pub fn explanation(proxy: &str, id_or_tenant: &str, explanation: &Explanation) -> Vec<String> {
    let tenant =
        explanation.tenant.iter().map(|tenant| format!("{proxy}  {}", tenant_counters(id_or_tenant, tenant)));
    let requests = explanation.requests.iter().map(|request| format!("{proxy}  {}", request_record(request)));
    tenant.chain(requests).collect()
}

/// An entry of a store's trial audit log.
pub fn audit_entry(store: &str, entry: &AuditEntry) -> String {
    let at = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(entry.at));
    format!("{store}  {at}  {}", position(Some(entry.position)))
}

/// A proxy's view of a trial.
pub fn trial_view(proxy: &str, view: &TrialView) -> String {
    let names = ["refused last", "ordinary", "deferred"];
    let counts = names.iter().zip(&view.counts).map(|(name, count)| {
        let TrialCount { passed, slowed, ended, unknown } = count;
        format!("{name}: {passed} passed, {slowed} slowed, {ended} ended, {unknown} can't be judged")
    });
    format!(
        "{proxy}  in effect {}  newest {}  lease {}  {}",
        position(view.in_effect),
        position(view.newest),
        age(Some(view.lease_left)),
        counts.collect::<Vec<_>>().join("; "),
    )
}

fn position(position: Option<TrialPosition>) -> String {
    position
        .map_or("none".to_owned(), |position| format!("version {} step {}", position.version, position.step))
}

fn node_line<State: Health>(kind: &str, node: &Node<State>, text: fn(&State) -> String) -> String {
    let name = if node.name.is_empty() { "?" } else { node.name.as_str() };
    let state = node.state.as_ref().map(text).unwrap_or_default();
    let problem = node.problem().map(|problem| format!("  PROBLEM: {problem}")).unwrap_or_default();
    format!("{kind} {name} {}{state}{problem}", node.addr)
}

fn registry(state: &RegistryStatus) -> String {
    let reader = match state.fence {
        Some(fence) => format!("reads the list under fence {fence}"),
        None => "leaves the list to another".to_owned(),
    };
    format!(
        "  zone {}  version {}  fresh {}  {reader}  list {}.{} of {}  proxies {}  limits {}  workers {}{}",
        state.member.zone,
        version(state.config),
        age(state.fresh_age),
        state.workers_version.fence,
        state.workers_version.number,
        age(Some(state.workers_age)),
        state.proxies.len(),
        state.members,
        workers(&state.workers),
        drained(&state.drained),
    )
}

fn store(state: &StoreStatus) -> String {
    format!(
        "  zone {}  version {} (on disk {}{})  current {}  epoch {}  votes {} of {}{}  limits {}{}",
        state.member.zone,
        version(state.in_force),
        version(state.held),
        if state.durable { ", durable" } else { "" },
        age(state.current_age),
        state.epoch,
        state.voters.len(),
        state.members.len(),
        if state.voters.contains(&state.member.name) { "" } else { ", stands by" },
        state.proxies,
        drained(&state.drained),
    )
}

fn proxy(state: &ProxyState) -> String {
    let keys = match state.keys {
        KeyLease::Unlimited => "without limit".to_owned(),
        KeyLease::Left(left) => format!("for {}", age(Some(left))),
        KeyLease::Expired => "no more".to_owned(),
    };
    let requests: Vec<String> =
        state.requests.iter().map(|entry| format!("{} {}", entry.count, entry.outcome)).collect();
    format!(
        "  zone {}  version {}  fresh {}  keys hold {keys}  part 1/{} for {}{}  peers {}  workers {}{}  \
         attempts {}  requests {}",
        state.status.zone,
        version(state.config),
        age(state.fresh_age),
        state.members,
        age(state.part_left),
        if state.settled { "" } else { " (not settled)" },
        state.peers.len(),
        workers(&state.workers),
        drained(&state.drained),
        state.attempts,
        or_none(requests.join(", ")),
    )
}

fn tenant_counters(name: &str, tenant: &TenantCounters) -> String {
    let last = tenant.last_refusal.map(|reason| format!(" (the last: {reason})")).unwrap_or_default();
    format!(
        "tenant {name}: {} served, {} refused{last}, {} failed",
        tenant.served, tenant.refused, tenant.failed
    )
}

fn request_record(request: &RequestRecord) -> String {
    let status = request.status.map_or("no answer".to_owned(), |status| status.to_string());
    let attempts: Vec<String> =
        request.attempts.iter().map(|attempt| format!("{} ({})", attempt.worker, attempt.outcome)).collect();
    format!(
        "{} ago  id {}  route {}  tenant {}  service {}  {status}: {}  sent to {}",
        age(Some(request.age)),
        or_none(request.id.to_string()),
        or_none(request.route.to_string()),
        or_none(request.tenant.to_string()),
        or_none(request.service.to_string()),
        request.outcome,
        or_none(attempts.join(", ")),
    )
}

fn version(version: Option<ConfigVersion>) -> String {
    version.map_or("none".to_owned(), |version| format!("{:08x}", version.serial))
}

fn age(age: Option<Millis>) -> String {
    age.map_or("none".to_owned(), |age| format!("{:.1}s", age as f64 / 1e3))
}

fn or_none(text: String) -> String {
    if text.is_empty() {
        "-".to_owned()
    } else {
        text
    }
}

/// Worker counts by zone, summed over all services.
fn workers(groups: &[WorkerGroup]) -> String {
    let mut zones: BTreeMap<&CompactString, [u32; 3]> = BTreeMap::new();
    for group in groups {
        let [ready, leaving, cold] = zones.entry(&group.zone).or_default();
        *ready += group.ready;
        *leaving += group.leaving;
        *cold += group.cold;
    }
    let zones = zones.into_iter().map(|(zone, [ready, leaving, cold])| {
        let leaving = if leaving > 0 { format!("/{leaving} leaving") } else { String::new() };
        let cold = if cold > 0 { format!("/{cold} cold") } else { String::new() };
        format!("{zone}:{ready} ready{leaving}{cold}")
    });
    or_none(zones.collect::<Vec<_>>().join(","))
}

fn drained(zones: &[CompactString]) -> String {
    match zones {
        [] => String::new(),
        zones => format!("  evacuated {}", zones.join(",")),
    }
}
