//! Workers fall silent in the middle of an answer that the proxy is already passing on.

use crate::cluster::{Class, Cluster, CONTACT_S, ZONES};
use crate::http::{self, Connection};
use crate::outside::{self, Operator, Outside, Worker};
use crate::record;
use crate::Verdict;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

const CONFIGURATION: &str = r#"{"serial":"00000007","routes":[{"name":"r-lookup","host":"registry.example","prefix":"/lookup/","kind":"idempotent","timeout":"1000ms","target_time":"500ms","prio":2,"backend":"anagrafe","tries":2,"public":true,"allow_regions":[]}],"backends":[{"name":"anagrafe","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":10.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;
/// `timeout` of the route, and how long after it an answer is due.
const TIMEOUT_S: f64 = 1.0;
const SLACK_S: f64 = 0.5;
/// How long the clients wait: the deadline of `registry-lookup` in the site file.
const DEADLINE: Duration = Duration::from_secs(2);
/// Workers of the service.
const WORKERS: usize = 16;
/// Workers that go dark at once, `share = 0.14` of them, and for how long.
const DARK: usize = 2;
const DARK_S: f64 = 4.5;
/// How often that happens.
const TIMES: usize = 6;
/// Time between two of these, from start to start.
const EVERY_S: f64 = 8.0;
/// Length of an answer: the largest of the site file. It is sent in chunks, most of it in the first.
const ANSWER_BYTES: usize = 9_000;
const FIRST_BYTES: usize = 8_600;
/// Pieces of the rest, and the pause before each.
const PIECES: usize = 4;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// A worker's machine: silent until a moment, in milliseconds of the record.
#[derive(Default)]
struct Power {
    dark_until: AtomicU64,
    life: AtomicU64,
}

impl Power {
    fn is_dark(&self) -> bool {
        record::now() * 1e3 < self.dark_until.load(Ordering::Relaxed) as f64
    }

    /// Waits in silence while it is dark; the connection is gone after that. `life` is that of the connection.
    fn check(&self, life: u64) -> Result<()> {
        while self.is_dark() {
            sleep(Duration::from_millis(20));
        }
        match self.life.load(Ordering::Relaxed) == life {
            true => Ok(()),
            false => Err(Error::from(ErrorKind::ConnectionReset)),
        }
    }
}

fn start_worker(index: usize, worker: Worker, power: Arc<Power>) {
    let listener = TcpListener::bind(worker.addr).expect("a worker's address");
    outside::serve(listener, move |request, connection| {
        let life = power.life.load(Ordering::Relaxed);
        power.check(life)?;
        let id = id_of(index, life);
        if request.word(1) == "/health" {
            return outside::answer(connection, "200 OK", &[format!("X-Hingestage-Worker-Id: {id}")], b"");
        }
        if request.header("x-hingestage-target-worker").is_some_and(|target| target != id) {
            let header = format!("X-Hingestage-Worker-Id: {id}");
            return outside::answer(connection, "421 Misdirected Request", &[header], b"");
        }
        let attempt = request.header("x-hingestage-attempt-id").unwrap_or_default();
        record::line(&format!("worker {id} runs {attempt} {}", request.first_line));
        sleep(Duration::from_millis(20));
        power.check(life)?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Hingestage-Attempt-Id: {attempt}\r\nX-Hingestage-Server-Seal: seal.{id}.{attempt}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.send(head.as_bytes())?;
        send_chunk(connection, FIRST_BYTES)?;
        for _ in 0..PIECES {
            sleep(PIECE_PAUSE);
            power
                .check(life)
                .inspect_err(|_| record::line(&format!("worker {id} is back without {attempt}")))?;
            send_chunk(connection, (ANSWER_BYTES - FIRST_BYTES) / PIECES)?;
        }
        connection.send(b"0\r\n\r\n")
    });
}

fn send_chunk(connection: &mut Connection, bytes: usize) -> Result<()> {
    let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    connection.send(chunk.as_bytes())
}

fn id_of(index: usize, life: u64) -> String {
    format!("i-{index:02}-{life}")
}

/// A request: when it was sent, and when and how it ended.
struct Asked {
    at: f64,
    took: f64,
    end: String,
}

/// Sends a request and reads the whole answer, for as long as the client waits.
fn ask(addr: SocketAddr) -> Asked {
    let attempt = format!("{:016x}", http::random().wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let at = record::now();
    record::line(&format!("client sends {attempt} GET /lookup/a to {addr}"));
    let answer = read_answer(addr, &attempt, at);
    let took = record::now() - at;
    let end = match answer {
        Ok(status) => status.to_string(),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            "no end".to_owned()
        }
        Err(error) => format!("cut: {error}"),
    };
    record::line(&format!("client gets {attempt} {end} after {took:.3} s"));
    Asked { at, took, end }
}

fn read_answer(addr: SocketAddr, attempt: &str, at: f64) -> Result<u16> {
    let mut connection = Connection::connect(addr, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(DEADLINE))?;
    let head = format!(
        "GET /lookup/a HTTP/1.1\r\nHost: registry.example\r\nX-Hingestage-Attempt-Id: {attempt}\r\n\
         X-Hingestage-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    connection.send(head.as_bytes())?;
    connection.read_until(at + DEADLINE.as_secs_f64()).map(|answer| answer.status())
}

pub fn run(trouble: bool) -> Verdict {
    let outside = Outside::default();
    let mut cluster = Cluster::new(3, 1);
    outside.start_platform(cluster.platform());
    let powers: Vec<Arc<Power>> = (0..WORKERS).map(|_| Arc::default()).collect();
    for (index, power) in powers.iter().enumerate() {
        let (zone, number) = (index % ZONES.len(), index / ZONES.len());
        let (id, addr) = (id_of(index, 0), cluster.worker(zone, number));
        let worker = Worker { id, service: "anagrafe".to_owned(), addr, zone };
        outside.workers.lock().unwrap().push(worker.clone());
        start_worker(index, worker, power.clone());
    }
    cluster.start_all();
    let verdict = play(&cluster, &outside, &powers, trouble);
    outside.stopped.store(true, Ordering::Relaxed);
    cluster.end();
    verdict
}

fn play(cluster: &Cluster, outside: &Outside, powers: &[Arc<Power>], trouble: bool) -> Verdict {
    if Operator::new(cluster).order("PUT", "/config", CONFIGURATION, 0, 15.0).is_none() {
        return Verdict::CouldNotRun("the first configuration is not acknowledged".to_owned());
    }
    if !cluster.wait_until_ready(10.0) {
        return Verdict::CouldNotRun("not every proxy gets ready".to_owned());
    }
    sleep(Duration::from_secs_f64(CONTACT_S + 1.0));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let stopped: Arc<AtomicBool> = outside.stopped.clone();
    let edges: Vec<SocketAddr> = cluster.of(Class::Edge).into_iter().map(|edge| cluster.http(edge)).collect();
    for client in 0..32 {
        let (asked, stopped, addr) = (asked.clone(), stopped.clone(), edges[client % edges.len()]);
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let one = ask(addr);
                asked.lock().unwrap().push(one);
                sleep(Duration::from_millis(100));
            }
        });
    }
    let traffic_from = record::now();
    sleep(Duration::from_secs(3));
    for time in 0..TIMES {
        let began = record::now();
        for number in 0..DARK {
            let index = (time * DARK + number) % WORKERS;
            if trouble {
                let power = &powers[index];
                // Its processes are gone: what it was working on does not go on.
                power.dark_until.store(((began + DARK_S) * 1e3) as u64, Ordering::Relaxed);
                let life = power.life.fetch_add(1, Ordering::Relaxed) + 1;
                record::say(&format!("worker {} is without power for {DARK_S} s", id_of(index, life - 1)));
            }
        }
        sleep(Duration::from_secs_f64(DARK_S));
        if trouble {
            // It comes back as a new worker at its old address.
            for number in 0..DARK {
                let index = (time * DARK + number) % WORKERS;
                let id = id_of(index, powers[index].life.load(Ordering::Relaxed));
                outside.workers.lock().unwrap()[index].id = id;
            }
        }
        sleep(Duration::from_secs_f64((began + EVERY_S - record::now()).max(0.0)));
    }
    let asked = asked.lock().unwrap();
    let served = asked.iter().filter(|one| one.end == "200").count();
    let long = asked.iter().filter(|one| one.took > TIMEOUT_S).count();
    let late = asked.iter().filter(|one| one.took > TIMEOUT_S + SLACK_S).count();
    let without = asked.iter().filter(|one| one.end == "no end").count();
    let last = asked.iter().map(|one| one.at).fold(traffic_from, f64::max);
    record::say(&format!(
        "{} requests until {last:.1}, {served} served; {long} lasted longer than the route's timeout of {TIMEOUT_S} s, \
         {late} of them had no final answer {SLACK_S} s after it, and {without} none when the client left",
        asked.len()
    ));
    match (served, late) {
        (0, _) => Verdict::CouldNotRun("no request was served".to_owned()),
        (_, late) if late >= 8 && late * 4 > long => Verdict::Broken,
        _ => Verdict::Held,
    }
}
