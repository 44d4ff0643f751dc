//! Operator calls to a running proxy, on loopback with a fake registry.

use hingestage_fixtures::{own_network, run, worker, workers_version, PLENTY};
use hingestage_node::settings::InternalPort;
use hingestage_node::Settings;
use hingestage_proxy::server;
use hingestage_rpc::messages::{
    ConfigDocument, ConfigTransfer, KnownVersions, RegistryAnswer, RegistryRequest, Watched, ZoneDrain,
};
use hingestage_rpc::status::{
    AttemptOutcome, Explanation, KeyLease, ProxyAnswer, ProxyRequest, ProxyState, RequestOutcome, WorkerGroup,
};
use hingestage_rpc::workers::{ServiceIndex, ServiceUpdate, ServiceUpdateContent, WorkerRecord};
use hingestage_rpc::{serve, Client, Handler};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const DOCUMENT: &str = r#"{"serial": "0000002a", "backends": [{"name": "blue"}], "routes": [
    {"name": "shop", "host": "shop.example", "prefix": "/shop/", "kind": "idempotent", "timeout": "500ms",
     "prio": 1, "backend": "blue"}],
    "tenants": [{"name": "alpha", "api_keys": ["key-alpha"], "rate_per_s": 0},
                {"name": "beta", "api_keys": ["key-beta"], "rate_per_s": 5, "burst": 5}]}"#;

/// A fake registry with one configuration, one worker and one drained zone.
struct Registry {
    /// Whether its answers are fresh.
    fresh: bool,
    worker: SocketAddr,
}

impl Registry {
    fn document() -> ConfigDocument {
        let json = DOCUMENT.as_bytes().to_vec();
        ConfigDocument::new(0x2a, json)
    }

    fn worker(&self) -> WorkerRecord {
        WorkerRecord { addr: self.worker, zone: "north-1".into(), ..worker("w-1", "blue") }
    }
}

impl Handler for Registry {
    type Request = RegistryRequest;
    type Answer = RegistryAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: RegistryRequest) -> RegistryAnswer {
        match request {
            RegistryRequest::FetchConfig { .. } => {
                RegistryAnswer::Config(Some(ConfigTransfer::new(&Self::document(), None)))
            }
            RegistryRequest::FetchServices(_) => {
                let news = ServiceUpdateContent::Snapshot(vec![self.worker()]);
                RegistryAnswer::Services(vec![ServiceUpdate {
                    service: "blue".into(),
                    version: workers_version(1),
                    content: news,
                }])
            }
            RegistryRequest::Watch { have, .. } if have.config.is_none() => {
                let drain = ZoneDrain { order: 1, drained: true };
                let have = KnownVersions {
                    config: Some(Self::document().version),
                    drains: [("south-1".into(), drain)].into(),
                    workers: workers_version(1),
                    workers_seen: workers_version(1),
                    directory: 0,
                    ..KnownVersions::default()
                };
                let fresh_age = self.fresh.then_some(0);
                RegistryAnswer::Watched(Box::new(Watched {
                    have,
                    fresh_age,
                    members: 3,
                    services: ServiceIndex {
                        version: workers_version(1),
                        whole: false,
                        services: vec![("blue".into(), workers_version(1))],
                    },
                    ..Watched::default()
                }))
            }
            // No further updates.
            _ => std::future::pending().await,
        }
    }
}

/// A proxy and its registry, on an address unique to the test.
struct TestProxy {
    http: SocketAddr,
    calls: Client<ProxyRequest, ProxyAnswer>,
}

impl TestProxy {
    async fn start(number: u8, fresh: bool) -> TestProxy {
        let ip = format!("{}.{number}", own_network());
        let text = format!(
            "{{node: edge-1, ip: {ip}, zone: north-1, region: north, zones: {{north-1: north, south-1: south}}, \
             listen: {{http: '{ip}:8200'}}, port_range: [7600, 7615], seeds: ['{ip}:8202']}}"
        );
        let settings = Rc::new(Settings::parse(&text).expect("settings"));
        let registry =
            TcpListener::bind(settings.internal_addr(InternalPort::Registry)).await.expect("a port");
        // Connections to the worker are refused.
        let worker = SocketAddr::new(settings.ip, 9);
        spawn_local(serve(registry, Rc::new(Registry { fresh, worker }), Rc::default()));
        let proxy = TestProxy {
            http: settings.listen.http.expect("an address"),
            calls: Client::new(settings.internal_addr(InternalPort::Proxy)),
        };
        spawn_local(async move { server::serve(settings).await.expect("the proxy runs") });
        while proxy.try_state().await.is_none_or(|state| state.config.is_none()) {
            tokio::task::yield_now().await;
        }
        proxy
    }

    async fn try_state(&self) -> Option<ProxyState> {
        match self.calls.call(&ProxyRequest::Status, PLENTY).await {
            Ok(ProxyAnswer::Status(state)) => Some(*state),
            _ => None,
        }
    }

    async fn state(&self) -> ProxyState {
        self.try_state().await.expect("a state")
    }

    /// Waits until the proxy counts a registry's answer as fresh, once the configuration is active.
    async fn wait_until_fresh(&self) {
        while self.state().await.fresh_age.is_none() {
            tokio::task::yield_now().await;
        }
    }

    async fn explain(&self, id_or_tenant: &str) -> Explanation {
        let request = ProxyRequest::Explain { id_or_tenant: id_or_tenant.into() };
        match self.calls.call(&request, PLENTY).await {
            Ok(ProxyAnswer::Explained(explanation)) => explanation,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a request and returns the response status.
    async fn get(&self, path: &str, id: &str, key: &str) -> u16 {
        let mut stream = TcpStream::connect(self.http).await.expect("a connection");
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: shop.example\r\napi-key: {key}\r\nconnection: close\r\n\
             x-hingestage-attempt-id: {id}\r\nx-hingestage-deadline-ms: 400\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }

    /// Sends a request and returns its status and its recorded outcome.
    async fn outcome(&self, path: &str, id: &str, key: &str) -> (u16, RequestOutcome) {
        let status = self.get(path, id, key).await;
        let explained = self.explain(id).await;
        let [record] = explained.requests.as_slice() else { panic!("{explained:?}") };
        assert_eq!(record.status, Some(status));
        (status, record.outcome)
    }
}

#[test]
fn status_reports_the_proxys_view() {
    run(async {
        let proxy = TestProxy::start(1, true).await;
        let state = proxy.state().await;
        assert_eq!(state.status.id.node, "edge-1");
        assert_eq!(state.config, Some(Registry::document().version));
        assert_eq!(state.workers_version, workers_version(1));
        let group = WorkerGroup { ready: 1, ..WorkerGroup::new("blue", "north-1") };
        assert_eq!(state.workers, [group]);
        assert_eq!(state.drained, ["south-1"]);
        assert_eq!((state.members, state.settled, state.part_left), (3, false, None));
        assert_eq!((state.attempts, state.requests.len()), (0, 0));
    });
}

#[test]
fn key_lease_counts_from_a_fresh_answer_of_the_registry() {
    run(async {
        let proxy = TestProxy::start(2, true).await;
        proxy.wait_until_fresh().await;
        assert!(matches!(proxy.state().await.keys, KeyLease::Left(left) if left <= 4_500));
    });
}

#[test]
fn requests_with_a_key_are_refused_without_fresh_data() {
    run(async {
        let proxy = TestProxy::start(3, false).await;
        let state = proxy.state().await;
        assert_eq!((state.keys, state.fresh_age), (KeyLease::Expired, None));
        assert_eq!(proxy.outcome("/shop/1", "id-1", "key-alpha").await, (503, RequestOutcome::KeysUnchecked));
        assert_eq!(proxy.outcome("/other", "id-2", "key-alpha").await, (404, RequestOutcome::UnknownRoute));
    });
}

#[test]
fn refusals_and_attempts_are_counted_and_found_by_id_and_tenant() {
    run(async {
        let proxy = TestProxy::start(4, true).await;
        proxy.wait_until_fresh().await;
        assert_eq!(proxy.outcome("/shop/1", "id-1", "key-gone").await, (401, RequestOutcome::UnknownKey));
        assert_eq!(proxy.outcome("/shop/1", "id-2", "key-beta").await, (429, RequestOutcome::QuotaNoLease));
        assert_eq!(proxy.outcome("/shop/1", "id-3", "key-alpha").await, (503, RequestOutcome::NoWorker));
        let beta = proxy.explain("beta").await;
        let counters = beta.tenant.expect("counters");
        assert_eq!((counters.refused, counters.last_refusal), (1, Some(RequestOutcome::QuotaNoLease)));
        let alpha = &proxy.explain("alpha").await.requests[0];
        assert_eq!((&*alpha.id, &*alpha.route, &*alpha.service), ("id-3", "shop", "blue"));
        let failed = |attempt: &hingestage_rpc::status::AttemptRecord| {
            attempt.worker == "w-1" && attempt.outcome == AttemptOutcome::ConnectFailed
        };
        assert!(!alpha.attempts.is_empty() && alpha.attempts.iter().all(failed), "{alpha:?}");
        let state = proxy.state().await;
        assert_eq!(state.attempts, alpha.attempts.len() as u64);
        assert_eq!(state.requests.iter().map(|entry| entry.count).sum::<u64>(), 3);
        assert_eq!(proxy.explain("id-9").await, Explanation::default());
    });
}
