//! Stand-ins for what is outside of the system: the platform's list, workers, clients and the operator.

use crate::cluster::{Class, Cluster, ZONES};
use crate::http::{self, Connection, Message};
use crate::record;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long an operator waits for an answer before it moves to another gatekeeper.
const SILENCE: Duration = Duration::from_secs(1);

/// A worker: the platform's entry.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: usize,
}

/// A request that a worker ran.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub path: String,
    pub zone: usize,
}

/// What the workers of a run share.
#[derive(Clone, Default)]
pub struct Outside {
    pub workers: Arc<Mutex<Vec<Worker>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub stopped: Arc<AtomicBool>,
}

impl Outside {
    /// Starts the platform's list.
    pub fn start_platform(&self, addr: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("the platform's address");
        let workers = self.workers.clone();
        serve(listener, move |request, connection| {
            let entry = |worker: &Worker| {
                let Worker { id, service, addr, zone } = worker;
                let zone = ZONES[*zone].0;
                format!(
                    "{{\"backend\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"serial\":\"v1\",\
                     \"capacity\":2,\"state\":\"ready\",\"cold_left\":\"0ms\",\"id\":\"{id}\"}}"
                )
            };
            let members: Vec<String> = workers.lock().unwrap().iter().map(entry).collect();
            let body = format!("{{\"members\":[{}],\"next_token\":null}}", members.join(","));
            let status = if request.word(1).starts_with("/workers") { "200 OK" } else { "404 Not Found" };
            answer(connection, status, &["Content-Type: application/json".to_owned()], body.as_bytes())
        });
    }

    /// Starts a worker that serves each request after `work`.
    pub fn start_worker(&self, worker: Worker, work: Duration) {
        let listener = TcpListener::bind(worker.addr).expect("a worker's address");
        self.workers.lock().unwrap().push(worker.clone());
        let runs = self.runs.clone();
        serve(listener, move |request, connection| {
            let id = &worker.id;
            if request.word(1) == "/health" {
                return answer(connection, "200 OK", &[format!("X-Hingestage-Worker-Id: {id}")], b"");
            }
            if request.header("x-hingestage-target-worker").is_some_and(|target| target != id) {
                let header = format!("X-Hingestage-Worker-Id: {id}");
                return answer(connection, "421 Misdirected Request", &[header], b"");
            }
            let Some(attempt) = request.header("x-hingestage-attempt-id") else {
                let header = "X-Hingestage-Not-Run: 1".to_owned();
                return answer(connection, "400 Bad Request", &[header], b"");
            };
            let (zone, name) = (worker.zone, ZONES[worker.zone].0);
            let run = Run { at: record::now(), path: request.word(1).to_owned(), zone };
            runs.lock().unwrap().push(run);
            record::line(&format!("worker {id} in {name} runs {attempt} {}", request.first_line));
            thread::sleep(work);
            let headers = [
                format!("X-Hingestage-Attempt-Id: {attempt}"),
                format!("X-Hingestage-Server-Seal: seal.{id}.{attempt}"),
                "X-Hingestage-Worker-Load: 1,0,2".to_owned(),
            ];
            answer(connection, "200 OK", &headers, format!("served by {id}").as_bytes())
        });
    }

    /// Starts two workers of a service in each zone.
    pub fn start_workers(&self, cluster: &Cluster, service: &str, work: Duration) {
        for zone in 0..ZONES.len() {
            for number in 0..2 {
                let addr = cluster.worker(zone, number);
                let worker =
                    Worker { id: format!("i-{zone}{number}"), service: service.to_owned(), addr, zone };
                self.start_worker(worker, work);
            }
        }
    }

    /// Starts a client that sends a request every `pause`, each on a new connection to an address that the directory
    /// names, until the run is stopped.
    pub fn start_client(&self, cluster: &Cluster, zone: usize, host: &str, path: &str, pause: Duration) {
        let mut directories = cluster.of(Class::Core);
        directories.sort_by_key(|core| cluster.machines[*core].zone != zone);
        let directories: Vec<SocketAddr> =
            directories.into_iter().take(3).map(|core| cluster.directory(core)).collect();
        let (host, path, stopped) = (host.to_owned(), path.to_owned(), self.stopped.clone());
        thread::spawn(move || {
            let mut known: Vec<SocketAddr> = Vec::new();
            let mut looked_up_at = -10.0;
            while !stopped.load(Ordering::Relaxed) {
                if record::now() > looked_up_at + 2.0 {
                    let found = directories.iter().find_map(|directory| look_up(*directory, &host, zone));
                    known = found.unwrap_or(known);
                    looked_up_at = record::now();
                }
                if let Some(addr) = known.get(http::random() as usize % known.len().max(1)) {
                    let attempt = format!("{:016x}", http::random().wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    record::line(&format!("client sends {attempt} GET {path} to {addr}"));
                    let head = format!(
                        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Hingestage-Attempt-Id: {attempt}\r\n\
                         X-Hingestage-Deadline-Ms: 2000\r\n"
                    );
                    let text = match http::call(*addr, &head, b"", Duration::from_secs(2)) {
                        Ok(answer) => answer.status().to_string(),
                        Err(error) => error.to_string(),
                    };
                    record::line(&format!("client gets {attempt} {text}"));
                }
                thread::sleep(pause);
            }
        });
    }
}

fn look_up(directory: SocketAddr, host: &str, zone: usize) -> Option<Vec<SocketAddr>> {
    let (zone, region) = ZONES[zone];
    let head = format!("GET /lookup?name={host}&region={region}&zone={zone} HTTP/1.1\r\nHost: directory\r\n");
    let answer = http::call(directory, &head, b"", SILENCE).ok().filter(|answer| answer.status() == 200)?;
    let body = String::from_utf8(answer.body).ok()?;
    let list = body.split_once("\"addrs\":[")?.1.split_once(']')?.0.to_owned();
    Some(list.split(',').filter_map(|text| text.trim_matches('"').parse().ok()).collect())
}

/// Serves each connection in a thread of its own, one request after the other.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut Connection) -> std::io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read() {
                    if handle(&request, &mut connection).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes an answer with a length.
pub fn answer(
    connection: &mut Connection,
    status: &str,
    headers: &[String],
    body: &[u8],
) -> std::io::Result<()> {
    let headers: String = headers.iter().map(|header| format!("{header}\r\n")).collect();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let bytes = [head.as_bytes(), body].concat();
    connection.send(&bytes)
}

/// The operator: sends an order until it is acknowledged, to one gatekeeper after the other.
pub struct Operator {
    pub gatekeepers: Vec<(String, SocketAddr)>,
}

impl Operator {
    pub fn new(cluster: &Cluster) -> Operator {
        let named = |core: usize| (cluster.machines[core].name.clone(), cluster.admin(core));
        Operator { gatekeepers: cluster.running_cores().into_iter().map(named).collect() }
    }

    /// Sends an order, first to the gatekeeper `first`. Returns when it was acknowledged, or `None` after `for_s`.
    pub fn order(&self, method: &str, path: &str, body: &str, first: usize, for_s: f64) -> Option<f64> {
        let (began, mut pause) = (record::now(), Duration::from_millis(50));
        let mut at = first;
        while record::now() < began + for_s {
            let (name, addr) = &self.gatekeepers[at % self.gatekeepers.len()];
            record::say(&format!("operator sends {method} {path} to {name}"));
            let head =
                format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n");
            match http::call(*addr, &head, body.as_bytes(), SILENCE) {
                Ok(answer) => {
                    record::say(&format!(
                        "operator gets {} for {method} {path} from {name}",
                        answer.status()
                    ));
                    if (200..300).contains(&answer.status()) {
                        return Some(record::now());
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    record::say(&format!(
                        "operator gets no answer from {name} within a second and closes the connection"
                    ));
                }
                Err(error) => record::say(&format!("operator gets {error} from {name}")),
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
            at += 1;
        }
        None
    }
}
