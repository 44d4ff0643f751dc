//! Distribution of updates between running proxies of a zone, on loopback with a fake registry.

use compact_str::{format_compact, CompactString};
use hingestage_discovery::{Home, Homes, PeerProxy};
use hingestage_fixtures::{own_network, proxy_status, run, worker, workers_version, PLENTY};
use hingestage_node::settings::InternalPort;
use hingestage_node::Settings;
use hingestage_proxy::server;
use hingestage_rpc::messages::{
    ConfigDocument, ConfigTransfer, ConfigVersion, KnownVersions, ProxyStatus, RegistryAnswer,
    RegistryRequest, Watched,
};
use hingestage_rpc::status::{ProxyAnswer, ProxyRequest, ProxyState};
use hingestage_rpc::workers::{
    KnownServiceVersion, ServiceIndex, ServiceUpdate, ServiceUpdateContent, WorkerRecord,
};
use hingestage_rpc::{serve, Client, Handler};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

const SERVICES: usize = 8;

fn service(number: usize) -> CompactString {
    format_compact!("service-{number}")
}

fn edge(number: u8) -> CompactString {
    format_compact!("edge-{number}")
}

/// A fake registry that lists all proxies and counts fetches.
struct Registry {
    /// Number of the current workers' version.
    number: Cell<u64>,
    proxies: Vec<ProxyStatus>,
    changed: Notify,
    /// Number of fetches of each service since the last change.
    fetched: RefCell<BTreeMap<CompactString, usize>>,
    configs_fetched: Cell<usize>,
}

impl Registry {
    fn document() -> ConfigDocument {
        let backends: Vec<String> =
            (0..SERVICES).map(|number| format!(r#"{{"name":"{}"}}"#, service(number))).collect();
        let json = format!(r#"{{"serial":"00000001","routes":[],"backends":[{}]}}"#, backends.join(","));
        let json = json.into_bytes();
        ConfigDocument::new(1, json)
    }

    /// Replaces each service's worker.
    fn replace_workers(&self) {
        self.fetched.borrow_mut().clear();
        self.number.set(self.number.get() + 1);
        self.changed.notify_waiters();
    }

    fn index(&self) -> ServiceIndex {
        let version = workers_version(self.number.get());
        let services = (0..SERVICES).map(|number| (service(number), version)).collect();
        ServiceIndex { version, whole: false, services }
    }

    fn update(&self, have: KnownServiceVersion) -> ServiceUpdate {
        let version = workers_version(self.number.get());
        let id = format_compact!("{}-{}", have.service, version.number);
        let worker = WorkerRecord { zone: "north-1".into(), ..worker(&id, &have.service) };
        ServiceUpdate {
            service: have.service,
            version,
            content: ServiceUpdateContent::Snapshot(vec![worker]),
        }
    }
}

impl Handler for Registry {
    type Request = RegistryRequest;
    type Answer = RegistryAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: RegistryRequest) -> RegistryAnswer {
        match request {
            RegistryRequest::FetchConfig { .. } => {
                self.configs_fetched.set(self.configs_fetched.get() + 1);
                RegistryAnswer::Config(Some(ConfigTransfer::new(&Self::document(), None)))
            }
            RegistryRequest::FetchServices(asked) => {
                for have in &asked {
                    *self.fetched.borrow_mut().entry(have.service.clone()).or_default() += 1;
                }
                RegistryAnswer::Services(asked.into_iter().map(|have| self.update(have)).collect())
            }
            RegistryRequest::Watch { have, .. } => {
                loop {
                    let changed = self.changed.notified();
                    if have.workers < workers_version(self.number.get()) {
                        break;
                    }
                    changed.await;
                }
                let config = Some(Self::document().version);
                let have = KnownVersions {
                    config,
                    workers: workers_version(self.number.get()),
                    directory: 1,
                    ..KnownVersions::default()
                };
                RegistryAnswer::Watched(Box::new(Watched {
                    have,
                    directory: Some(self.proxies.clone()),
                    services: self.index(),
                    ..Watched::default()
                }))
            }
            _ => std::future::pending().await,
        }
    }
}

/// Proxies of one zone and their registry.
struct Zone {
    registry: Rc<Registry>,
    proxies: Vec<(JoinHandle<()>, Client<ProxyRequest, ProxyAnswer>)>,
}

impl Zone {
    /// Starts `running` proxies, and `silent` ones that accept calls and never answer.
    async fn start(test: u8, running: u8, silent: u8) -> Zone {
        let network = own_network();
        let ip = |number: u8| format!("{network}.{}", 10 * test + number);
        let seed = ip(0);
        let settings: Vec<Rc<Settings>> = (1..=running + silent)
            .map(|number| {
                let (name, ip) = (edge(number), ip(number));
                let text = format!(
                    "{{node: {name}, ip: {ip}, zone: north-1, region: north, zones: {{north-1: north}}, \
                     listen: {{http: '{ip}:8200'}}, port_range: [7600, 7615], seeds: ['{seed}:8202']}}"
                );
                Rc::new(Settings::parse(&text).expect("settings"))
            })
            .collect();
        let proxies = settings.iter().map(|settings| ProxyStatus {
            http: SocketAddr::new(settings.ip, 8200),
            ..proxy_status(&settings.node, "north-1", "north", settings.internal_addr(InternalPort::Proxy))
        });
        let registry = Rc::new(Registry {
            number: Cell::new(1),
            proxies: proxies.collect(),
            changed: Notify::new(),
            fetched: RefCell::default(),
            configs_fetched: Cell::new(0),
        });
        let seed = settings[0].internal_addr_at(seed.parse().expect("an address"), InternalPort::Registry);
        let listener = TcpListener::bind(seed).await.expect("a port");
        spawn_local(serve(listener, registry.clone(), Rc::default()));
        let (running, silent) = settings.split_at(usize::from(running));
        for settings in silent {
            let listener =
                TcpListener::bind(settings.internal_addr(InternalPort::Proxy)).await.expect("a port");
            spawn_local(serve(listener, Rc::new(Silent), Rc::default()));
        }
        let start = |settings: &Rc<Settings>| {
            let settings = settings.clone();
            let calls = Client::new(settings.internal_addr(InternalPort::Proxy));
            let running = async move { server::serve(settings).await.expect("the proxy runs") };
            (spawn_local(running), calls)
        };
        let zone = Zone { registry, proxies: running.iter().map(start).collect() };
        zone.wait_for_version(1).await;
        zone
    }

    async fn state(&self, proxy: usize) -> Option<ProxyState> {
        match self.proxies[proxy].1.call(&ProxyRequest::Status, PLENTY).await {
            Ok(ProxyAnswer::Status(state)) => Some(*state),
            _ => None,
        }
    }

    /// Waits until all running proxies have a configuration and a version of the workers.
    async fn wait_for_version(&self, number: u64) {
        for proxy in 0..self.proxies.len() {
            while !self.has_version(proxy, number).await {
                assert!(!self.proxies[proxy].0.is_finished(), "the proxy ended");
                tokio::task::yield_now().await;
            }
        }
    }

    async fn has_version(&self, proxy: usize, number: u64) -> bool {
        let state = self.state(proxy).await;
        state.is_some_and(|state| state.workers_version == workers_version(number) && state.config.is_some())
    }

    /// Index of the proxy that is the home of a service.
    fn home(&self, service: &str) -> usize {
        let peers = self.registry.proxies.iter();
        let peers = peers.map(|proxy| PeerProxy { name: proxy.id.node.clone(), addr: proxy.peer });
        let mut homes = Homes::new(&edge(1));
        homes.set_live_proxies(peers);
        let Home::Peer(peer) = homes.home(0, service) else { return 0 };
        let index = self.registry.proxies.iter().position(|proxy| proxy.id.node == peer.name);
        index.expect("a proxy of the zone")
    }
}

#[test]
fn each_service_is_fetched_once_per_zone_and_relayed_by_its_home() {
    run(async {
        let zone = Zone::start(1, 4, 0).await;
        zone.registry.replace_workers();
        zone.wait_for_version(2).await;
        let fetched = zone.registry.fetched.borrow().clone();
        assert_eq!(fetched.len(), SERVICES);
        let repeated: usize = fetched.values().map(|count| count - 1).sum();
        assert_eq!(repeated, 0, "{fetched:?}");
        assert!(zone.registry.configs_fetched.get() < 4, "the configuration is relayed as well");
    });
}

#[test]
fn updates_arrive_after_a_home_is_killed() {
    run(async {
        let mut zone = Zone::start(2, 3, 0).await;
        let killed = zone.home(&service(0));
        // Calls of the other proxies to it fail or time out.
        zone.proxies.remove(killed).0.abort();
        for number in 2..6 {
            zone.registry.replace_workers();
            zone.wait_for_version(number).await;
        }
    });
}

#[test]
fn home_returns_no_configuration_older_than_requested() {
    run(async {
        let zone = Zone::start(4, 1, 0).await;
        let ask = |serial| {
            let version = ConfigVersion { serial, digest: 0 };
            let request = ProxyRequest::FollowConfig { version, have: None, wait: 1 };
            let calls = &zone.proxies[0].1;
            async move { calls.call(&request, PLENTY).await }
        };
        let held = ask(1).await;
        assert!(matches!(held, Ok(ProxyAnswer::Config(Some(_)))), "{held:?}");
        let newer = ask(2).await;
        assert!(matches!(newer, Ok(ProxyAnswer::Config(None))), "{newer:?}");
    });
}

#[test]
fn updates_arrive_while_a_home_does_not_answer() {
    run(async {
        let zone = Zone::start(3, 2, 1).await;
        assert!(
            (0..SERVICES).any(|number| zone.home(&service(number)) == 2),
            "the silent proxy is the home of some service"
        );
        for number in 2..4 {
            zone.registry.replace_workers();
            zone.wait_for_version(number).await;
        }
    });
}

/// Accepts calls and never answers.
struct Silent;

impl Handler for Silent {
    type Request = ProxyRequest;
    type Answer = ProxyAnswer;

    async fn handle(self: Rc<Self>, _from: SocketAddr, _request: ProxyRequest) -> ProxyAnswer {
        std::future::pending().await
    }
}
