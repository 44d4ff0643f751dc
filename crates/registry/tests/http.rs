//! HTTP API and peer protocol of a registry with three stores on loopback.

use hingestage_fixtures::{block_on, proxy_status};
use hingestage_node::Settings;
use hingestage_registry::server as registry;
use hingestage_rpc::messages::{Have, RegistryAnswer, RegistryRequest, Watched};
use hingestage_rpc::workers::WorkersVersion;
use hingestage_rpc::Client;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const STORES: u8 = 3;
const ADMIN_PORT: u16 = 18_200;
const DIR_PORT: u16 = 18_204;
const FIRST_INNER_PORT: u16 = 17_600;
/// Maximum number of attempts until a call is answered definitely.
const CALLS_MAX: usize = 30;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Core machines, each on a loopback address of its own.
struct Core {
    network: u8,
    disks: PathBuf,
}

impl Drop for Core {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.disks);
    }
}

impl Core {
    fn new() -> Core {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let network = NEXT.fetch_add(1, Ordering::Relaxed);
        let disks = std::env::temp_dir().join(format!("registry-{}-{network}", std::process::id()));
        Core { network, disks }
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, machine)
    }

    fn settings(&self, machine: u8, platform: Option<SocketAddr>) -> Rc<Settings> {
        let ip = self.ip(machine);
        let seeds: Vec<String> =
            (1..=STORES).map(|seed| format!("'{}:{ADMIN_PORT}'", self.ip(seed))).collect();
        let disk = self.disks.join(machine.to_string());
        let mut text = format!(
            "node: core-{machine}\nip: {ip}\nzone: zone-{machine}\nregion: x\n\
             zones: {{zone-1: x, zone-2: x, zone-3: x}}\n\
             listen: {{admin: '{ip}:{ADMIN_PORT}', dir: '{ip}:{DIR_PORT}'}}\n\
             port_range: [{FIRST_INNER_PORT}, 17610]\nseeds: [{}]\n\
             bootstrap: true\ndata_dir: {}\n",
            seeds.join(", "),
            disk.display()
        );
        if let Some(addr) = platform {
            text += &format!("cloud_api: {{addr: '{addr}'}}\n");
        }
        Rc::new(Settings::parse(&text).expect("the settings"))
    }

    fn start_store(&self, machine: u8) {
        let serving = hingestage_config_store::server::serve(self.settings(machine, None));
        spawn_local(async move { serving.await.expect("the store") });
    }

    fn start_registry(&self, platform: Option<SocketAddr>) {
        let serving = registry::serve(self.settings(1, platform));
        spawn_local(async move { serving.await.expect("the registry") });
    }

    async fn connect(&self, port: u16) -> TcpStream {
        loop {
            match TcpStream::connect((self.ip(1), port)).await {
                Ok(stream) => return stream,
                // The listeners are not bound yet.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Sends a raw request and reads the answer until the connection ends.
    async fn send(&self, port: u16, request: &str) -> Answer {
        let mut stream = self.connect(port).await;
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        Answer::read(&String::from_utf8_lossy(&answer))
    }

    async fn call(&self, method: &str, path: &str, body: &str) -> Answer {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\n");
        let length = body.len();
        self.send(ADMIN_PORT, &format!("{head}Content-Length: {length}\r\n\r\n{body}")).await
    }

    /// Repeats a call while the answer is 503.
    async fn call_until_available(&self, method: &str, path: &str, body: &str) -> Answer {
        let mut answer = self.call(method, path, body).await;
        for _ in 1..CALLS_MAX {
            if answer.status != 503 {
                break;
            }
            answer = self.call(method, path, body).await;
        }
        answer
    }

    async fn put(&self, body: &str) -> u16 {
        self.call_until_available("PUT", "/config", body).await.status
    }

    async fn config(&self) -> String {
        self.call_until_available("GET", "/config", "").await.body
    }
}

#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
}

impl Answer {
    /// Parses an answer; the status is 0 if the connection ended without one.
    fn read(text: &str) -> Answer {
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        Answer { status, body: body.to_owned() }
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Core) -> F) {
    block_on(test(Core::new()));
}

fn start(core: &Core) {
    (1..=STORES).for_each(|machine| core.start_store(machine));
    core.start_registry(None);
}

fn config(serial: u32, backend: &str) -> String {
    format!(
        r#"{{"serial":"{serial:08x}","routes":[],"backends":[{{"name":"{backend}","health_path":"/h","max_conns":9}}],"limits":{{}}}}"#
    )
}

#[test]
fn configuration_is_read_back_unchanged_and_replaced_only_by_a_newer_one() {
    run(|core| async move {
        start(&core);
        let (sent, newer) = (config(7, "one"), config(9, "three"));
        assert_eq!(core.put(&sent).await, 200);
        assert_eq!(core.config().await, sent);
        assert_eq!(core.put(&sent).await, 200, "sent again after the acknowledgement");
        assert_eq!(core.put(&config(6, "older")).await, 200, "an older serial is acknowledged");
        assert_eq!(
            core.put(&config(7, "other")).await,
            409,
            "another document under the same serial is refused"
        );
        assert_eq!(core.config().await, sent, "neither changes the configuration");
        assert_eq!(core.put(&newer).await, 200);
        assert_eq!(core.config().await, newer);
    });
}

#[test]
fn invalid_or_truncated_configuration_is_refused_without_effect() {
    run(|core| async move {
        start(&core);
        let sent = config(7, "one");
        assert_eq!(core.put(&sent).await, 200);
        let cut = &config(8, "two")[..40];
        assert_eq!(core.call("PUT", "/config", cut).await.status, 400, "truncated document");
        let shared = config(8, "two").replace(
            r#""limits":{}"#,
            r#""limits":{},"tenants":[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}]"#,
        );
        assert_eq!(core.call("PUT", "/config", &shared).await.status, 422, "key shared by two tenants");
        let mut stream = core.connect(ADMIN_PORT).await;
        let head = "PUT /config HTTP/1.1\r\nHost: core\r\nContent-Length: 900\r\n\r\n";
        stream.write_all(format!("{head}{}", config(8, "two")).as_bytes()).await.expect("sent");
        stream.shutdown().await.expect("ended");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert_ne!(Answer::read(&String::from_utf8_lossy(&answer)).status, 200, "truncated body");
        assert_eq!(core.config().await, sent);
    });
}

#[test]
fn requests_are_routed_by_method_and_path() {
    run(|core| async move {
        start(&core);
        assert_eq!(core.call_until_available("GET", "/config", "").await.status, 404, "no configuration yet");
        for (method, path, status) in [
            ("POST", "/drain/nowhere", 404),
            ("PUT", "/drain/zone-1", 405),
            ("DELETE", "/config", 405),
            ("POST", "/lookup", 405),
            ("GET", "/drain", 404),
            ("GET", "/drain/zone-1/more", 404),
            ("GET", "/nothing", 404),
        ] {
            assert_eq!(core.call(method, path, "").await.status, status, "{method} {path}");
        }
        for method in ["POST", "POST", "DELETE", "DELETE"] {
            assert_eq!(core.call_until_available(method, "/drain/zone-2", "").await.status, 200, "{method}");
        }
        let lookup = core.call("GET", "/lookup?name=h&region=x&zone=zone-1", "").await;
        assert_eq!(lookup.status, 503, "no proxy is ready");
    });
}

#[test]
fn nothing_is_acknowledged_without_a_majority_of_stores() {
    run(|core| async move {
        start(&core);
        assert_eq!(core.put(&config(1, "one")).await, 200);
        let isolated = Core::new();
        // A copy of a store's disk whose two other members don't run.
        let (from, to) = (core.disks.join("1"), isolated.disks.join("1"));
        std::fs::create_dir_all(&to).expect("a directory");
        for entry in std::fs::read_dir(from).expect("the disk") {
            let path = entry.expect("a file").path();
            let name = path.file_name().expect("a name").to_owned();
            let text = std::fs::read_to_string(&path).expect("a file");
            let moved = text.replace(&format!("127.77.{}.", core.network), "127.78.0.");
            std::fs::write(to.join(name), with_checksum(moved)).expect("a file");
        }
        isolated.start_store(1);
        isolated.start_registry(None);
        assert_eq!(isolated.call("PUT", "/config", &config(2, "two")).await.status, 503);
        assert_eq!(isolated.call("GET", "/config", "").await.status, 503);
    });
}

/// Recomputes the checksum of an edited manifest; returns other files unchanged.
fn with_checksum(text: String) -> String {
    match text.split_once('\n') {
        Some((checksum, json)) if checksum.len() == 16 => {
            format!("{:016x}\n{json}", hingestage_rpc::digest(json.as_bytes()))
        }
        _ => text,
    }
}

/// Serves an empty list of workers.
async fn platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            let body = r#"{"members":[],"next_token":null}"#;
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}

async fn watch(client: &Client<RegistryRequest, RegistryAnswer>, have: &Have, wait: u64) -> Watched {
    let status = proxy_status("p", "zone-1", "x", ([10, 0, 0, 9], 80).into());
    let request = RegistryRequest::Watch { status, have: have.clone(), wait };
    match client.call(&request, CALL_TIMEOUT).await {
        Ok(RegistryAnswer::Watched(news)) => *news,
        other => panic!("{other:?}"),
    }
}

#[test]
fn list_versions_after_a_restart_of_all_registries_exceed_those_of_proxies() {
    run(|core| async move {
        core.start_store(1);
        core.start_registry(Some(platform().await));
        drop(core.connect(ADMIN_PORT).await);
        let client = Client::new(SocketAddr::from((core.ip(1), FIRST_INNER_PORT)));
        let workers_seen = WorkersVersion { fence: 7, reader: 1, number: 300 };
        let mut have = Have { workers_seen, ..Have::default() };
        for _ in 0..CALLS_MAX {
            let news = watch(&client, &have, 1_000).await;
            if news.have.workers > workers_seen {
                return;
            }
            have.directory = news.have.directory;
        }
        panic!("no list above {workers_seen:?}");
    });
}

#[test]
fn watch_of_a_proxy_with_newer_drains_waits_for_changes() {
    run(|core| async move {
        start(&core);
        drop(core.connect(ADMIN_PORT).await);
        let client = Client::new(SocketAddr::from((core.ip(1), FIRST_INNER_PORT)));
        let drain = hingestage_rpc::messages::ZoneDrain { order: 3, drained: true };
        let mut have = Have { drains: [("zone-1".into(), drain)].into(), ..Have::default() };
        // The registry receives a drain only once it is acknowledged.
        assert_eq!(core.call_until_available("POST", "/drain/zone-1", "").await.status, 200);
        let mut theirs = watch(&client, &have, 0).await.have;
        for _ in 0..CALLS_MAX {
            if !theirs.drains.is_empty() {
                break;
            }
            theirs = watch(&client, &Have::default(), 100).await.have;
        }
        assert!(!theirs.drains.is_empty(), "the registry has received the drain");
        have.directory = theirs.directory;
        let started = std::time::Instant::now();
        watch(&client, &have, 200).await;
        assert!(started.elapsed() >= Duration::from_millis(200), "answered early without a change");
    });
}
