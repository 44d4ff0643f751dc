//! Queries every process that any registry or store knows.

use compact_str::CompactString;
use hingestage_rpc::messages::{RegistryAnswer, RegistryRequest, StoreAnswer, StoreRequest};
use hingestage_rpc::status::{
    Explanation, ProxyAnswer, ProxyRequest, ProxyState, RegistryStatus, StoreStatus,
};
use hingestage_rpc::trials::{AuditEntry, TrialView};
use hingestage_rpc::{CallError, Client};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent requests.
const CONCURRENT_REQUESTS_MAX: usize = 64;

/// Process names by address.
pub type Names = BTreeMap<SocketAddr, CompactString>;

/// A process and its answer.
#[derive(Debug, Serialize)]
pub struct Node<State> {
    /// Name of its machine; empty if unknown.
    pub name: CompactString,
    /// RPC address.
    pub addr: SocketAddr,
    /// The answer, if it answered.
    pub state: Option<State>,
    /// The error, if it did not answer.
    pub error: Option<String>,
}

/// The status of all processes of a system.
#[derive(Debug, Serialize)]
pub struct Survey {
    /// Registries.
    pub registries: Vec<Node<RegistryStatus>>,
    /// Stores.
    pub stores: Vec<Node<StoreStatus>>,
    /// Proxies.
    pub proxies: Vec<Node<ProxyState>>,
}

/// Queries the status of all processes.
pub async fn survey(registry: SocketAddr) -> Survey {
    let registries = query_registries(registry).await;
    let stores = query_stores(&registries).await;
    let proxies = query_all(proxy_names(&registries), &ProxyRequest::Status, proxy_state).await;
    Survey { registries, stores, proxies }
}

/// Queries all proxies for a request or a tenant's requests. Also returns the registries' answers, because an
/// unreachable registry may know further proxies.
pub async fn explain(
    registry: SocketAddr,
    id_or_tenant: &str,
) -> (Vec<Node<RegistryStatus>>, Vec<Node<Explanation>>) {
    let registries = query_registries(registry).await;
    let request = ProxyRequest::Explain { id_or_tenant: id_or_tenant.into() };
    let proxies = query_all(proxy_names(&registries), &request, explanation).await;
    (registries, proxies)
}

/// All answers about a tenant's trial.
pub struct TrialSurvey {
    /// Registries.
    pub registries: Vec<Node<RegistryStatus>>,
    /// The audit log of each store.
    pub stores: Vec<Node<Vec<AuditEntry>>>,
    /// The view of each proxy; none if it knows no trial.
    pub proxies: Vec<Node<Option<TrialView>>>,
}

/// Queries all stores and proxies for a tenant's trial.
pub async fn trial(registry: SocketAddr, tenant: &str) -> TrialSurvey {
    let registries = query_registries(registry).await;
    let stores = query_stores(&registries).await;
    let names = stores.into_iter().map(|node| (node.addr, node.name)).collect();
    let request = StoreRequest::TrialAudit { tenant: tenant.into() };
    let stores = query_all(names, &request, trial_audit).await;
    let request = ProxyRequest::Trial { tenant: tenant.into() };
    let proxies = query_all(proxy_names(&registries), &request, trial_view).await;
    TrialSurvey { registries, stores, proxies }
}

async fn query_registries(first: SocketAddr) -> Vec<Node<RegistryStatus>> {
    let first = Names::from([(first, CompactString::default())]);
    let known = |state: &RegistryStatus| {
        let members = state.registries.iter();
        members.map(|member| (member.addr, member.id.node.clone())).collect()
    };
    query_transitively(first, &RegistryRequest::Status, registry_state, known).await
}

async fn query_stores(registries: &[Node<RegistryStatus>]) -> Vec<Node<StoreStatus>> {
    let states = registries.iter().filter_map(|node| node.state.as_ref());
    let first = states.map(|state| (state.store, state.member.id.node.clone())).collect();
    let known = |state: &StoreStatus| {
        let members = state.members.iter();
        members.map(|member| (member.addr, member.name.clone())).collect()
    };
    query_transitively(first, &StoreRequest::Status, store_state, known).await
}

fn proxy_names(registries: &[Node<RegistryStatus>]) -> Names {
    let states = registries.iter().filter_map(|node| node.state.as_ref());
    let proxies = states.flat_map(|state| &state.proxies);
    proxies.map(|proxy| (proxy.peer, proxy.id.node.clone())).collect()
}

/// Queries processes, then those that they know, until no new process is found.
async fn query_transitively<Request, Answer, State>(
    first: Names,
    request: &Request,
    extract: fn(Answer) -> Option<State>,
    known: impl Fn(&State) -> Names,
) -> Vec<Node<State>>
where
    Request: Clone + Serialize + 'static,
    Answer: DeserializeOwned + 'static,
    State: 'static,
{
    let mut nodes: Vec<Node<State>> = Vec::new();
    let mut names = first.clone();
    let mut next = first;
    while !next.is_empty() {
        let answered = query_all(next, request, extract).await;
        for state in answered.iter().filter_map(|node| node.state.as_ref()) {
            names.extend(known(state));
        }
        nodes.extend(answered);
        let is_new = |addr: &SocketAddr| nodes.iter().all(|node| node.addr != *addr);
        next =
            names.iter().filter(|(addr, _)| is_new(addr)).map(|(addr, name)| (*addr, name.clone())).collect();
    }
    for node in &mut nodes {
        node.name = names.get(&node.addr).cloned().unwrap_or_default();
    }
    nodes.sort_by(|a, b| (&a.name, a.addr).cmp(&(&b.name, b.addr)));
    nodes
}

/// Queries processes with bounded concurrency.
async fn query_all<Request, Answer, State>(
    names: Names,
    request: &Request,
    extract: fn(Answer) -> Option<State>,
) -> Vec<Node<State>>
where
    Request: Clone + Serialize + 'static,
    Answer: DeserializeOwned + 'static,
    State: 'static,
{
    let all: Vec<(SocketAddr, CompactString)> = names.into_iter().collect();
    let mut nodes = Vec::with_capacity(all.len());
    for chunk in all.chunks(CONCURRENT_REQUESTS_MAX) {
        let answered: Vec<_> = chunk
            .iter()
            .map(|(addr, name)| spawn_local(query(*addr, name.clone(), request.clone(), extract)))
            .collect();
        for node in answered {
            nodes.extend(node.await);
        }
    }
    nodes
}

async fn query<Request: Serialize, Answer: DeserializeOwned, State>(
    addr: SocketAddr,
    name: CompactString,
    request: Request,
    extract: fn(Answer) -> Option<State>,
) -> Node<State> {
    let answer = Client::<Request, Answer>::new(addr).call(&request, REQUEST_TIMEOUT).await;
    match answer.and_then(|answer| extract(answer).ok_or(CallError::Unreadable)) {
        Ok(state) => Node { name, addr, state: Some(state), error: None },
        Err(error) => Node { name, addr, state: None, error: Some(error.to_string()) },
    }
}

fn registry_state(answer: RegistryAnswer) -> Option<RegistryStatus> {
    match answer {
        RegistryAnswer::Status(state) => Some(*state),
        _ => None,
    }
}

fn store_state(answer: StoreAnswer) -> Option<StoreStatus> {
    match answer {
        StoreAnswer::Status(state) => Some(*state),
        _ => None,
    }
}

fn proxy_state(answer: ProxyAnswer) -> Option<ProxyState> {
    match answer {
        ProxyAnswer::Status(state) => Some(*state),
        _ => None,
    }
}

fn explanation(answer: ProxyAnswer) -> Option<Explanation> {
    match answer {
        ProxyAnswer::Explained(explanation) => Some(explanation),
        _ => None,
    }
}

fn trial_audit(answer: StoreAnswer) -> Option<Vec<AuditEntry>> {
    match answer {
        StoreAnswer::TrialAudit(entries) => Some(entries),
        _ => None,
    }
}

fn trial_view(answer: ProxyAnswer) -> Option<Option<TrialView>> {
    match answer {
        ProxyAnswer::Trial(view) => Some(view),
        _ => None,
    }
}
