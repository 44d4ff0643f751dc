//! Asks every process of the system that any registry or store knows.

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

/// How long one answer may take.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Processes that are asked at a time.
const AT_A_TIME: usize = 64;

/// Names of processes by address.
pub type Names = BTreeMap<SocketAddr, CompactString>;

/// A process, and what it answered.
#[derive(Debug, Serialize)]
pub struct Node<State> {
    /// Name of its machine, where it is known.
    pub name: CompactString,
    /// Where it is asked.
    pub addr: SocketAddr,
    /// What it answered.
    pub state: Option<State>,
    /// Why it did not.
    pub error: Option<String>,
}

/// The state of a whole system.
#[derive(Debug, Serialize)]
pub struct Survey {
    /// Registries.
    pub registries: Vec<Node<RegistryStatus>>,
    /// Stores.
    pub stores: Vec<Node<StoreStatus>>,
    /// Proxies.
    pub proxies: Vec<Node<ProxyState>>,
}

/// Asks all processes for their states.
pub async fn survey(registry: SocketAddr) -> Survey {
    let registries = ask_registries(registry).await;
    let stores = ask_stores(&registries).await;
    let proxies = ask_all(proxy_names(&registries), &ProxyRequest::Status, proxy_state).await;
    Survey { registries, stores, proxies }
}

/// Asks all proxies what became of a request or of a tenant's requests. Gives the registries' answers as well: a
/// registry that does not answer may know proxies that no other knows.
pub async fn explain(
    registry: SocketAddr,
    id_or_tenant: &str,
) -> (Vec<Node<RegistryStatus>>, Vec<Node<Explanation>>) {
    let registries = ask_registries(registry).await;
    let request = ProxyRequest::Explain { id_or_tenant: id_or_tenant.into() };
    let proxies = ask_all(proxy_names(&registries), &request, explanation).await;
    (registries, proxies)
}

/// What is known of a tenant's trial.
pub struct TrialSurvey {
    /// Registries.
    pub registries: Vec<Node<RegistryStatus>>,
    /// Steps that each store took in.
    pub stores: Vec<Node<Vec<AuditEntry>>>,
    /// How each proxy judges it; none where it knows of none.
    pub proxies: Vec<Node<Option<TrialView>>>,
}

/// Asks all stores and proxies about a tenant's trial.
pub async fn trial(registry: SocketAddr, tenant: &str) -> TrialSurvey {
    let registries = ask_registries(registry).await;
    let stores = ask_stores(&registries).await;
    let names = stores.into_iter().map(|node| (node.addr, node.name)).collect();
    let request = StoreRequest::TrialAudit { tenant: tenant.into() };
    let stores = ask_all(names, &request, trial_audit).await;
    let request = ProxyRequest::Trial { tenant: tenant.into() };
    let proxies = ask_all(proxy_names(&registries), &request, trial_view).await;
    TrialSurvey { registries, stores, proxies }
}

async fn ask_registries(first: SocketAddr) -> Vec<Node<RegistryStatus>> {
    let first = Names::from([(first, CompactString::default())]);
    let known = |state: &RegistryStatus| {
        let members = state.registries.iter();
        members.map(|member| (member.addr, member.id.node.clone())).collect()
    };
    ask_and_follow(first, &RegistryRequest::Status, registry_state, known).await
}

async fn ask_stores(registries: &[Node<RegistryStatus>]) -> Vec<Node<StoreStatus>> {
    let states = registries.iter().filter_map(|node| node.state.as_ref());
    let first = states.map(|state| (state.store, state.member.id.node.clone())).collect();
    let known = |state: &StoreStatus| {
        let members = state.members.iter();
        members.map(|member| (member.addr, member.name.clone())).collect()
    };
    ask_and_follow(first, &StoreRequest::Status, store_state, known).await
}

fn proxy_names(registries: &[Node<RegistryStatus>]) -> Names {
    let states = registries.iter().filter_map(|node| node.state.as_ref());
    let proxies = states.flat_map(|state| &state.proxies);
    proxies.map(|proxy| (proxy.peer, proxy.id.node.clone())).collect()
}

/// Asks some processes, then those that they know, until all have been asked.
async fn ask_and_follow<Request, Answer, State>(
    first: Names,
    request: &Request,
    state_of: fn(Answer) -> Option<State>,
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
        let asked = ask_all(next, request, state_of).await;
        for state in asked.iter().filter_map(|node| node.state.as_ref()) {
            names.extend(known(state));
        }
        nodes.extend(asked);
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

/// Asks processes, some at a time.
async fn ask_all<Request, Answer, State>(
    names: Names,
    request: &Request,
    state_of: fn(Answer) -> Option<State>,
) -> Vec<Node<State>>
where
    Request: Clone + Serialize + 'static,
    Answer: DeserializeOwned + 'static,
    State: 'static,
{
    let all: Vec<(SocketAddr, CompactString)> = names.into_iter().collect();
    let mut nodes = Vec::with_capacity(all.len());
    for some in all.chunks(AT_A_TIME) {
        let asked: Vec<_> = some
            .iter()
            .map(|(addr, name)| spawn_local(ask(*addr, name.clone(), request.clone(), state_of)))
            .collect();
        for node in asked {
            nodes.extend(node.await);
        }
    }
    nodes
}

async fn ask<Request: Serialize, Answer: DeserializeOwned, State>(
    addr: SocketAddr,
    name: CompactString,
    request: Request,
    state_of: fn(Answer) -> Option<State>,
) -> Node<State> {
    let answer = Client::<Request, Answer>::new(addr).call(&request, ANSWER_WITHIN).await;
    match answer.and_then(|answer| state_of(answer).ok_or(CallError::Unreadable)) {
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
