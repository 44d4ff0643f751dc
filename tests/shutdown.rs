//! Ends of the real program under clients that use their connections until it is gone: by SIGTERM, with a successor or
//! without, with a second signal, a drain or a reload meanwhile.

mod peers;

use peers::*;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of the configuration.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2_500);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_millis(3_200);
/// What was sent so long before its connection closed has been read.
const READ_WITHIN: Duration = Duration::from_millis(200);
/// How much earlier than its deadline a request may be told that time is up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// How long clients go on after the end of the process.
const AFTER_END: Duration = Duration::from_millis(300);
/// Clients of a gateway.
const CLIENTS: u64 = 24;
/// Seeds that are played at a time.
const AT_ONCE: usize = 4;
/// The environment variable with the range of seeds, `FROM..TO`.
const SEEDS_VARIABLE: &str = "HINGESTAGE_SHUTDOWN_SEEDS";

/// A worker that answers each request after the delay that its path names, and notes which it has run.
struct SlowWorker {
    addr: SocketAddr,
    ran: Arc<Mutex<HashSet<String>>>,
}

impl SlowWorker {
    fn start() -> SlowWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, ran) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(HashSet::new())));
        let log = ran.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = log.clone();
                thread::spawn(move || SlowWorker::serve(stream, &log));
            }
        });
        SlowWorker { addr, ran }
    }

    fn serve(stream: TcpStream, ran: &Mutex<HashSet<String>>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            ran.lock().unwrap().insert(message.header("request-id").unwrap_or_default().to_owned());
            let path = message.first_line.split(' ').nth(1).unwrap_or_default();
            let delay = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or_default();
            thread::sleep(Duration::from_millis(delay));
            if (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").is_err() {
                return;
            }
        }
    }

    fn listed(&self) -> Value {
        json!({"uid": "w0", "endpoint": self.addr.to_string(), "az": "a", "model": "m", "pod_group": 1,
               "state": "up", "capacity_hint": 1.0, "boot_ms": 0})
    }
}

/// A request and how it ended.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    sent: Instant,
    ended: Instant,
    timeout: Duration,
    /// The status of the answer; `None` if the connection closed without one.
    status: Option<u16>,
}

/// A gateway with a worker and its discovery.
struct Stage {
    worker: SlowWorker,
    _discovery: Discovery,
    config: Value,
    shared: Folder,
}

impl Stage {
    fn new() -> Stage {
        let (worker, discovery) = (SlowWorker::start(), Discovery::start());
        discovery.list(2, true, &[worker.listed()]);
        let mut config = config(discovery.addr, &[]);
        config["listen"] = json!(free().to_string());
        Stage { worker, _discovery: discovery, config, shared: Folder::new() }
    }

    /// Starts a process with an operators' address of its own, and waits until it is ready.
    fn start(&self) -> (Gateway, SocketAddr) {
        let (mut config, admin) = (self.config.clone(), free());
        config["admin"] = json!(admin.to_string());
        let gateway = Gateway::start_in(&config, &self.shared);
        let until = Instant::now() + PATIENCE;
        while operate(admin, "GET /ready") != Some(200) {
            assert!(Instant::now() < until, "never ready");
            thread::sleep(Duration::from_millis(10));
        }
        (gateway, admin)
    }

    /// What is wrong with how these requests ended at a gateway that got SIGTERM.
    fn judge(&self, requests: &[Sent], signalled_at: Instant) -> Vec<String> {
        let ran = self.worker.ran.lock().unwrap();
        let wrong = requests.iter().filter_map(|request| {
            let ran = ran.contains(&request.id);
            let took = request.ended - request.sent;
            let is_last = request.ended >= signalled_at + LONGEST_DEADLINE;
            let wrong = match request.status {
                Some(200) => None,
                Some(429) if ran => Some("ran, and was refused"),
                Some(429) => None,
                Some(504) if is_last => None,
                Some(502 | 504) if took + DEADLINE_MARGIN >= request.timeout => None,
                Some(_) => Some("failed, though its worker answers"),
                None if ran => Some("ran, and its connection closed with no answer"),
                None if took >= READ_WITHIN => Some("was read, and its connection closed with no answer"),
                None => None,
            };
            let after = request.sent.saturating_duration_since(signalled_at);
            wrong.map(|wrong| {
                format!("{wrong}: {:?} after {took:?}, sent {after:?} after SIGTERM", request.status)
            })
        });
        wrong.collect()
    }
}

/// Calls the operators' address; `None` if no answer comes.
fn operate(admin: SocketAddr, what: &str) -> Option<u16> {
    let mut client = Client::to(admin)?;
    client.try_send(&format!("{what} HTTP/1.1\r\nHost: x\r\n\r\n"));
    client.answer().map(|answer| answer.status())
}

/// Whether the other side has closed an idle connection.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Requests of one client, on connections that it uses until they close.
fn run_client(addr: SocketAddr, mut random: fastrand::Rng, stop: &AtomicBool) -> Vec<Sent> {
    let mut requests = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(addr) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while !stop.load(Ordering::SeqCst) && !is_closed(&stream) {
            let (text, id, timeout) = draw_request(&mut random);
            let sent = Instant::now();
            if (&stream).write_all(text.as_bytes()).is_err() {
                break;
            }
            let status = Message::read(&mut reader).map(|answer| answer.status());
            requests.push(Sent { id, sent, ended: Instant::now(), timeout, status });
            if status.is_none() {
                break;
            }
            thread::sleep(Duration::from_millis(random.u64(..2_300)));
        }
    }
    requests
}

/// A request, its id and its timeout; the path tells its worker how long to work.
fn draw_request(random: &mut fastrand::Rng) -> (String, String, Duration) {
    let delay = if random.u8(..4) == 0 { random.u64(..2_000) } else { random.u64(..60) };
    let (timeout, millis) = [("0.5", 500), ("1.5", 1_500), ("2.5", 2_500), ("9", 9_000)][random.usize(..4)];
    let ask = match random.bool() {
        true => Ask { head: format!("GET /pull/{delay}"), timeout, ..pull() },
        false => Ask { head: format!("POST /push/{delay}"), timeout, ..push() },
    };
    let text = ask.text();
    let id = text.split("Request-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap().to_owned();
    (text, id, Duration::from_millis(millis))
}

/// Ends a gateway in a way drawn from the seed, and returns what was wrong.
fn play(seed: u64) -> Vec<String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let stage = Stage::new();
    let (mut gateway, admin) = stage.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (addr, random, stop) = (gateway.addr, random.fork(), stop.clone());
            thread::spawn(move || run_client(addr, random, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(random.u64(200..1_500)));
    if random.u8(..3) == 0 {
        assert_eq!(operate(admin, "POST /drain"), Some(200));
        thread::sleep(Duration::from_millis(random.u64(..1_000)));
    }
    let successor = random.bool().then(|| stage.start());
    if random.bool() {
        gateway.signal("-HUP");
    }
    let signalled_at = Instant::now();
    gateway.terminate();
    for signal in ["-TERM", "-HUP"] {
        if random.bool() {
            thread::sleep(Duration::from_millis(random.u64(..400)));
            gateway.signal(signal);
        }
    }
    assert_eq!(gateway.exit_code(), Some(0));
    let took = signalled_at.elapsed();
    thread::sleep(AFTER_END);
    stop.store(true, Ordering::SeqCst);
    let requests: Vec<Sent> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    drop(successor);
    assert!(requests.iter().any(|request| request.status == Some(200)), "seed {seed}: nothing was served");
    let mut wrong = stage.judge(&requests, signalled_at);
    if took > GRACE {
        wrong.push(format!("ended {took:?} after SIGTERM"));
    }
    wrong.iter().map(|wrong| format!("seed {seed}: {wrong}")).collect()
}

/// The seeds to play: a few, or those that the environment names.
fn seeds() -> std::ops::Range<u64> {
    let named = std::env::var(SEEDS_VARIABLE).ok();
    let range = named.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(0..8, |(from, to)| from.parse().unwrap()..to.parse().unwrap())
}

#[test]
fn nothing_that_a_gateway_has_taken_is_lost_however_it_ends() {
    let seeds: Vec<u64> = seeds().collect();
    let mut wrong = Vec::new();
    for some in seeds.chunks(AT_ONCE) {
        let spawn = |seed: u64| (seed, thread::spawn(move || play(seed)));
        let played: Vec<_> = some.iter().copied().map(spawn).collect();
        for (seed, played) in played {
            wrong.extend(played.join().unwrap_or_else(|_| vec![format!("seed {seed}: panicked")]));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_request_whose_worker_is_silent_is_answered_when_the_gateway_ends() {
    let worker = Worker::start(Reply::Silence);
    let discovery = Discovery::start();
    discovery.list(2, true, &[worker.listed("w0", "up")]);
    let mut gateway = Gateway::ready(&config(discovery.addr, &[]));
    let mut client = gateway.connect();
    client.send(&Ask { timeout: "9", ..push() }.text());
    worker.request();
    gateway.terminate();
    assert_eq!(client.answer().expect("an answer").status(), 504);
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test]
fn a_late_request_at_a_gateway_with_a_successor_is_answered() {
    let stage = Stage::new();
    let (mut old, _) = stage.start();
    let mut kept = old.connect();
    assert_eq!(kept.ask(&pull().text()).status(), 200);
    let _successor = stage.start();
    old.terminate();
    // Within the idle timeout, so that the connection is still open.
    thread::sleep(Duration::from_millis(1_800));
    // Works for longer than the old process has left.
    let late = Ask { head: "POST /push/2000".into(), timeout: "2.5", ..push() };
    let answer = kept.ask(&late.text());
    assert!([200, 429].contains(&answer.status()), "{answer:?}");
    assert_eq!(old.exit_code(), Some(0));
}
