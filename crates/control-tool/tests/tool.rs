//! Runs the tool as a process against registries, stores and proxies served by the test.

use hingestage_fixtures::{
    block_on as run, listener, proxy_status, registry_member, store_member, ToolRun as Run,
};
use hingestage_rpc::messages::{
    ConfigVersion, ProxyStatus, RegistryAnswer, RegistryRequest, StoreAnswer, StoreMember, StoreRequest,
};
use hingestage_rpc::status::{
    AttemptOutcome, AttemptRecord, Explanation, KeyLease, OutcomeCount, ProxyAnswer, ProxyRequest,
    ProxyState, RegistryStatus, RequestOutcome, RequestRecord, StoreStatus, TenantCounters, WorkerGroup,
};
use hingestage_rpc::trials::{AuditEntry, TrialCount, TrialPosition, TrialView};
use hingestage_rpc::workers::WorkersVersion;
use hingestage_rpc::{serve, Handler};
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use tokio::task::{spawn_blocking, spawn_local};

const VERSION: Option<ConfigVersion> = Some(ConfigVersion { serial: 0x2a, digest: 1 });
const NEWEST_STEP: TrialPosition = TrialPosition { version: 3, digest: 9, step: 2 };
const LIST_VERSION: WorkersVersion = WorkersVersion { fence: 3, reader: 1, number: 17 };

/// Answers every request with one status.
struct Registry(RegistryStatus);
struct Store(StoreStatus);
struct Proxy(ProxyState, Explanation);

impl Handler for Registry {
    type Request = RegistryRequest;
    type Answer = RegistryAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, _request: RegistryRequest) -> RegistryAnswer {
        RegistryAnswer::Status(Box::new(self.0.clone()))
    }
}

impl Handler for Store {
    type Request = StoreRequest;
    type Answer = StoreAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::TrialAudit { tenant } if tenant == "beta" => {
                StoreAnswer::TrialAudit(vec![AuditEntry { at: 0, tenant, position: NEWEST_STEP }])
            }
            StoreRequest::TrialAudit { .. } => StoreAnswer::TrialAudit(Vec::new()),
            _ => StoreAnswer::Status(Box::new(self.0.clone())),
        }
    }
}

impl Handler for Proxy {
    type Request = ProxyRequest;
    type Answer = ProxyAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: ProxyRequest) -> ProxyAnswer {
        match request {
            ProxyRequest::Status => ProxyAnswer::Status(Box::new(self.0.clone())),
            ProxyRequest::Explain { id_or_tenant } if id_or_tenant == "beta" => {
                ProxyAnswer::Explained(self.1.clone())
            }
            ProxyRequest::Trial { tenant } => ProxyAnswer::Trial((tenant == "beta").then(trial_view)),
            _ => ProxyAnswer::Explained(Explanation::default()),
        }
    }
}

/// The view of a proxy that still enforces the step before the newest one.
fn trial_view() -> TrialView {
    let counts = [
        TrialCount { passed: 7, ..TrialCount::default() },
        TrialCount { slowed: 5, ..TrialCount::default() },
        TrialCount::default(),
    ];
    let in_effect = TrialPosition { step: 1, ..NEWEST_STEP };
    TrialView { in_effect: Some(in_effect), newest: Some(NEWEST_STEP), lease_left: 3_400, counts }
}

fn store_status(name: &str, addr: SocketAddr, members: Vec<StoreMember>) -> StoreStatus {
    StoreStatus {
        member: store_member(name, "north-1", addr),
        members,
        recovering: false,
        held: VERSION,
        in_force: VERSION,
        durable: true,
        drained: Vec::new(),
        proxies: 1,
        current_age: Some(100),
        epoch: 4,
        voters: vec!["core-1".into(), "core-2".into()],
    }
}

fn proxy_state(status: ProxyStatus) -> ProxyState {
    ProxyState {
        status,
        uptime: 60_000,
        config: VERSION,
        fresh_age: Some(300),
        keys: KeyLease::Left(4_200),
        part_left: Some(10_700),
        settled: true,
        members: 1,
        workers_version: LIST_VERSION,
        workers: vec![WorkerGroup { ready: 2, cold: 1, ..WorkerGroup::new("blue", "north-1") }],
        drained: vec!["south-1".into()],
        peers: vec!["edge-1".into()],
        attempts: 12,
        requests: vec![OutcomeCount { outcome: RequestOutcome::Served, count: 11 }],
    }
}

fn explanation() -> Explanation {
    let attempt = |worker: &str, outcome| AttemptRecord { worker: worker.into(), outcome };
    let request = RequestRecord {
        id: "9c41".into(),
        age: 12_300,
        route: "shop".into(),
        tenant: "beta".into(),
        service: "blue".into(),
        attempts: vec![attempt("w-1", AttemptOutcome::ConnectFailed), attempt("w-2", AttemptOutcome::Served)],
        status: Some(200),
        outcome: RequestOutcome::Served,
    };
    let last_refusal = Some(RequestOutcome::QuotaExhausted);
    Explanation {
        requests: vec![request],
        tenant: Some(TenantCounters { served: 11, refused: 2, failed: 0, last_refusal }),
    }
}

/// Two registries, two stores and one proxy. The tool is given the first registry's address; only the first store
/// knows the second one.
struct System {
    registry: SocketAddr,
    second_registry: SocketAddr,
    second_store: SocketAddr,
    proxy: SocketAddr,
}

/// Fault injected into the system.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    RecoveringStore,
    NoProxy,
    NoSecondRegistry,
    ExpiredKeys,
}

impl System {
    async fn start(fault: Fault) -> System {
        let [first, second, store_1, store_2, proxy] =
            [listener().await, listener().await, listener().await, listener().await, listener().await];
        let system =
            System { registry: first.1, second_registry: second.1, second_store: store_2.1, proxy: proxy.1 };
        let members = vec![
            registry_member("core-1", "north-1", first.1),
            registry_member("core-2", "north-1", second.1),
        ];
        let status = RegistryStatus {
            member: members[0].clone(),
            config: VERSION,
            fresh_age: Some(200),
            fence: Some(3),
            workers_version: LIST_VERSION,
            workers_age: 800,
            workers: vec![WorkerGroup { ready: 3, ..WorkerGroup::new("blue", "north-1") }],
            drained: Vec::new(),
            members: 1,
            store: store_1.1,
            registries: members.clone(),
            proxies: vec![proxy_status("edge-1", "north-1", "north", proxy.1)],
        };
        let other = RegistryStatus { member: members[1].clone(), fence: None, ..status.clone() };
        spawn_local(serve(first.0, Rc::new(Registry(status)), Rc::default()));
        if fault != Fault::NoSecondRegistry {
            spawn_local(serve(second.0, Rc::new(Registry(other)), Rc::default()));
        }
        let stores =
            vec![store_member("core-1", "north-1", store_1.1), store_member("core-2", "north-1", store_2.1)];
        let store = store_status("core-1", store_1.1, stores.clone());
        let recovering = fault == Fault::RecoveringStore;
        let other = StoreStatus { recovering, ..store_status("core-2", store_2.1, stores) };
        spawn_local(serve(store_1.0, Rc::new(Store(store)), Rc::default()));
        spawn_local(serve(store_2.0, Rc::new(Store(other)), Rc::default()));
        let mut state = proxy_state(proxy_status("edge-1", "north-1", "north", proxy.1));
        if fault == Fault::ExpiredKeys {
            state.keys = KeyLease::Expired;
        }
        if fault != Fault::NoProxy {
            spawn_local(serve(proxy.0, Rc::new(Proxy(state, explanation())), Rc::default()));
        }
        system
    }
}

async fn tool(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hingestage-ctl"));
    command.args(arguments);
    spawn_blocking(move || Run::from(command.output().expect("the tool runs"))).await.expect("an end")
}

async fn status(system: &System) -> Run {
    tool(&["status", "--registry", &system.registry.to_string()]).await
}

async fn explain(system: &System, id_or_tenant: &str) -> Run {
    tool(&["explain", id_or_tenant, "--registry", &system.registry.to_string()]).await
}

#[test]
fn status_prints_one_line_per_known_process() {
    run(async {
        let system = System::start(Fault::None).await;
        let run = status(&system).await;
        let System { registry, second_registry, second_store, proxy } = system;
        let lines: Vec<&str> = run.output.lines().collect();
        assert_eq!((run.code, run.errors.as_str(), lines.len()), (Some(0), "", 5), "{}", run.output);
        let tail = "list 3.17 of 0.8s  proxies 1  limits 1  workers north-1:3 ready";
        let head = "zone north-1  version 0000002a  fresh 0.2s";
        let reader = "reads the list under fence 3";
        assert_eq!(lines[0], format!("registry core-1 {registry}  {head}  {reader}  {tail}"));
        let other = "leaves the list to another";
        assert_eq!(lines[1], format!("registry core-2 {second_registry}  {head}  {other}  {tail}"));
        let store =
            "zone north-1  version 0000002a (on disk 0000002a, durable)  current 0.1s  epoch 4  votes 2 of 2  limits 1";
        assert_eq!(lines[3], format!("store core-2 {second_store}  {store}"));
        let known =
            "zone north-1  version 0000002a  fresh 0.3s  keys hold for 4.2s  part 1/1 for 10.7s  peers 1";
        let workers = "workers north-1:2 ready/1 cold  evacuated south-1";
        let counts = "attempts 12  requests 11 served";
        assert_eq!(lines[4], format!("proxy edge-1 {proxy}  {known}  {workers}  {counts}"));
    });
}

#[test]
fn json_status_contains_all_processes() {
    run(async {
        let system = System::start(Fault::None).await;
        let run = tool(&["status", "--registry", &system.registry.to_string(), "--json"]).await;
        assert_eq!(run.code, Some(0), "{}", run.errors);
        let json: serde_json::Value = serde_json::from_str(&run.output).expect("JSON");
        let count = |kind: &str| json[kind].as_array().map_or(0, Vec::len);
        assert_eq!([count("registries"), count("stores"), count("proxies")], [2, 2, 1]);
        assert_eq!(json["proxies"][0]["state"]["requests"][0]["count"], 11);
    });
}

#[test]
fn problem_is_printed_on_its_line_and_sets_the_exit_code() {
    run(async {
        let faults = [
            (Fault::RecoveringStore, "store core-2", "PROBLEM: recovering"),
            (Fault::ExpiredKeys, "proxy edge-1", "PROBLEM: refuses keys"),
        ];
        for (fault, node, problem) in faults {
            let run = status(&System::start(fault).await).await;
            let with_problem: Vec<&str> =
                run.output.lines().filter(|line| line.contains("PROBLEM")).collect();
            let [line] = with_problem.as_slice() else { panic!("{}", run.output) };
            assert!(line.starts_with(node) && line.ends_with(problem), "{line}");
            assert_eq!(run.code, Some(1));
        }
    });
}

#[test]
fn unreachable_process_is_printed_with_its_name() {
    run(async {
        for (fault, node) in [(Fault::NoProxy, "proxy edge-1"), (Fault::NoSecondRegistry, "registry core-2")]
        {
            let run = status(&System::start(fault).await).await;
            assert_eq!((run.code, run.output.lines().count()), (Some(1), 5), "{}", run.output);
            let line = run.output.lines().find(|line| line.contains("PROBLEM")).expect("a problem");
            assert!(line.starts_with(node), "{line}");
        }
        let (listener, addr) = listener().await;
        drop(listener);
        let run = tool(&["status", "--registry", &addr.to_string()]).await;
        assert_eq!(run.code, Some(1));
        assert_eq!(run.output, format!("registry ? {addr}  PROBLEM: unreachable\n"));
    });
}

#[test]
fn explain_prints_tenant_counters_and_attempts() {
    run(async {
        let run = explain(&System::start(Fault::None).await, "beta").await;
        let counts =
            "tenant beta: 11 served, 2 refused (the last: quota: this proxy's part is used up), 0 failed";
        let request = "12.3s ago  id 9c41  route shop  tenant beta  service blue  200: served  \
                       sent to w-1 (no connection), w-2 (served)";
        assert_eq!(run.output, format!("edge-1  {counts}\nedge-1  {request}\n"));
        assert_eq!((run.code, run.errors.as_str()), (Some(0), ""));
    });
}

#[test]
fn explain_exits_with_1_if_nothing_is_found_or_a_process_is_unreachable() {
    run(async {
        let run = explain(&System::start(Fault::None).await, "gamma").await;
        assert_eq!((run.code, run.output.as_str()), (Some(1), ""));
        assert_eq!(run.errors, "nothing is remembered of gamma\n");
        let run = explain(&System::start(Fault::NoSecondRegistry).await, "beta").await;
        assert_eq!((run.code, run.output.lines().count()), (Some(1), 2));
        assert!(run.errors.starts_with("registry core-2"), "{}", run.errors);
    });
}

#[test]
fn trial_prints_audit_entries_and_proxy_views() {
    run(async {
        let system = System::start(Fault::None).await;
        let registry = system.registry.to_string();
        let run = tool(&["trial", "beta", "--registry", &registry]).await;
        assert_eq!(run.code, Some(0), "{run:?}");
        assert!(run.output.contains("1970-01-01T00:00:00.000Z  version 3 step 2"), "{}", run.output);
        let proxy = "in effect version 3 step 1  newest version 3 step 2  lease 3.4s  refused last: 7 passed";
        assert!(run.output.contains(proxy), "{}", run.output);
        assert!(run.output.contains("ordinary: 0 passed, 5 slowed"), "{}", run.output);
        let run = tool(&["trial", "alpha", "--registry", &registry]).await;
        assert_eq!(run.code, Some(1), "{run:?}");
    });
}

#[test]
fn invalid_usage_exits_with_2() {
    run(async {
        for arguments in
            [&["status"][..], &["explain", "--registry", "127.0.0.1:1"], &["status", "--registry", "x"]]
        {
            assert_eq!(tool(arguments).await.code, Some(2), "{arguments:?}");
        }
    });
}
