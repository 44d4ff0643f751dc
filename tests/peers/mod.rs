//! The real program, and small peers for it on loopback sockets: workers, discovery, counter, client.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes on the slowest machine: running into it is a failure.
pub const PATIENCE: Duration = Duration::from_secs(20);
pub const CLIENT: &str = "00000000b4d65521";

/// What a worker does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers: status line and headers without framing, and the body.
    Answer(String, String),
    /// These bytes, then the connection ends.
    RawThenClose(String),
    /// These bytes, and the connection stays.
    Raw(String),
    /// Nothing, for as long as the connection stays open.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK".into(), body.into())
}

/// A message as a peer read it.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one; `None` where the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
        };
        let first_line = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut message = Message { first_line, headers, body: String::new() };
        if message.header("transfer-encoding").is_some() {
            message.body = Message::chunks(from)?;
            return Some(message);
        }
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).unwrap();
        Some(message)
    }
}

impl Message {
    /// A body in chunks, up to its end.
    fn chunks(from: &mut impl BufRead) -> Option<String> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            if length == 0 {
                // Trailers, and the empty line.
                while line.trim_end() != "" {
                    line.clear();
                    from.read_line(&mut line).ok()?;
                }
                return String::from_utf8(body).ok();
            }
            let so_far = body.len();
            body.resize(so_far + length, 0);
            from.read_exact(&mut body[so_far..]).ok()?;
            from.read_line(&mut String::new()).ok()?;
        }
    }
}

/// Something that happened at a worker.
#[derive(Clone, Debug)]
pub enum Seen {
    Request { conn: usize, message: Message },
    Closed { conn: usize },
}

pub struct Worker {
    pub addr: SocketAddr,
    seen: Receiver<Seen>,
    reply: Arc<Mutex<Reply>>,
}

impl Worker {
    pub fn start(reply: Reply) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, seen) = channel();
        let reply = Arc::new(Mutex::new(reply));
        let shared = reply.clone();
        thread::spawn(move || {
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                let (tell, reply) = (tell.clone(), shared.clone());
                thread::spawn(move || Worker::serve(conn, stream, &tell, &reply));
            }
        });
        Worker { addr, seen, reply }
    }

    fn serve(conn: usize, stream: TcpStream, tell: &Sender<Seen>, reply: &Mutex<Reply>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let _ = tell.send(Seen::Request { conn, message });
            let reply = reply.lock().unwrap().clone();
            match reply {
                Reply::Answer(head, body) => {
                    let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    let _ = (&stream).write_all(text.as_bytes());
                }
                Reply::RawThenClose(text) => {
                    let _ = (&stream).write_all(text.as_bytes());
                    break;
                }
                Reply::Raw(text) => drop((&stream).write_all(text.as_bytes())),
                Reply::Silence => {
                    let _ = reader.read(&mut [0]);
                    break;
                }
            }
        }
        // Told only once it is so: whoever waits for the end may rely on it.
        let _ = stream.shutdown(Shutdown::Both);
        let _ = tell.send(Seen::Closed { conn });
    }

    pub fn set(&self, reply: Reply) {
        *self.reply.lock().unwrap() = reply;
    }

    /// Holds all answers back for as long as the guard lives.
    pub fn hold(&self) -> std::sync::MutexGuard<'_, Reply> {
        self.reply.lock().unwrap()
    }

    /// Waits for the end of a connection; false if it takes longer than `time`.
    pub fn closes(&self, conn: usize, time: Duration) -> bool {
        let until = Instant::now() + time;
        while let Some(seen) = self.seen_within(until.saturating_duration_since(Instant::now())) {
            if matches!(seen, Seen::Closed { conn: closed } if closed == conn) {
                return true;
            }
        }
        false
    }

    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("nothing came to the worker")
    }

    /// What comes within a time, if anything does.
    pub fn seen_within(&self, time: Duration) -> Option<Seen> {
        self.seen.recv_timeout(time).ok()
    }

    /// The next request, passing over connections that end.
    pub fn request(&self) -> Message {
        loop {
            if let Seen::Request { message, .. } = self.next() {
                return message;
            }
        }
    }

    /// All that has happened so far and was not asked for yet.
    pub fn rest(&self) -> Vec<Seen> {
        self.seen.try_iter().collect()
    }

    pub fn requests(&self) -> usize {
        self.rest().iter().filter(|seen| matches!(seen, Seen::Request { .. })).count()
    }

    pub fn listed(&self, uid: &str, state: &str) -> Value {
        json!({"uid": uid, "endpoint": self.addr.to_string(), "az": "a", "model": "m", "pod_group": 1,
               "state": state, "capacity_hint": 1.0, "boot_ms": 0})
    }
}

/// The list service: each watch gets the lines pushed from its start on, and a sign of life.
pub struct Discovery {
    pub addr: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    pub watches: Arc<AtomicUsize>,
    /// Whether it says anything at all.
    pub speaks: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (lines, watches) = (Arc::new(Mutex::new(Vec::<String>::new())), Arc::new(AtomicUsize::new(0)));
        let speaks = Arc::new(AtomicUsize::new(1));
        let (all, count, voice) = (lines.clone(), watches.clone(), speaks.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (all, count, voice) = (all.clone(), count.clone(), voice.clone());
                thread::spawn(move || Discovery::serve(stream, &all, &count, &voice));
            }
        });
        Discovery { addr, lines, watches, speaks }
    }

    fn serve(stream: TcpStream, lines: &Mutex<Vec<String>>, watches: &AtomicUsize, speaks: &AtomicUsize) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let Some(asked) = Message::read(&mut reader) else { return };
            if asked.first_line.contains("stream=1") {
                break;
            }
            let list = lines.lock().unwrap().last().cloned().unwrap_or_default();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let _ = (&stream).write_all(text.as_bytes());
        }
        // A watch that begins later gets the last list whole, as after a long gap.
        let mut told = lines.lock().unwrap().len().saturating_sub(1);
        watches.fetch_add(1, Ordering::SeqCst);
        let mut head = Some("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned());
        for turn in 0u64.. {
            if speaks.load(Ordering::SeqCst) == 1 {
                let mut text = head.take().unwrap_or_default();
                let all = lines.lock().unwrap();
                for line in &all[told..] {
                    text.push_str(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
                }
                told = all.len();
                if turn % 20 == 0 {
                    text.push_str("1\r\n\n\r\n");
                }
                drop(all);
                if (&stream).write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn say(&self, line: String) {
        self.lines.lock().unwrap().push(line);
    }

    pub fn list(&self, rev: u64, all: bool, targets: &[Value]) {
        self.say(json!({"rev": rev, "all": all, "targets": targets}).to_string());
    }
}

/// The counter service: `answer` gives the reply to a call by its name and number; `None` ends the connection.
pub struct Counter {
    pub addr: SocketAddr,
    pub calls: Receiver<(usize, String)>,
    /// Told of each connection as it comes in.
    pub connected: Receiver<usize>,
}

impl Counter {
    pub fn start(answer: impl Fn(&str, usize) -> Option<String> + Send + Sync + 'static) -> Counter {
        Counter::start_with(move |words, number| answer(&words[1], number))
    }

    /// One that answers by all words of a call: the command, the name, the amount, how long it is kept.
    pub fn start_with(
        answer: impl Fn(&[String], usize) -> Option<String> + Send + Sync + 'static,
    ) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, calls) = channel();
        let (greet, connected) = channel();
        thread::spawn(move || {
            let mut number = 0;
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                let _ = greet.send(conn);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(words) = Counter::read(&mut reader) {
                    let text = if words[0] == "PING" {
                        Some("+PONG\r\n".to_owned())
                    } else {
                        let _ = tell.send((conn, words[1].clone()));
                        number += 1;
                        answer(&words, number - 1)
                    };
                    let Some(text) = text else { break };
                    if (&stream).write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Counter { addr, calls, connected }
    }

    fn read(from: &mut impl BufRead) -> Option<Vec<String>> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
        };
        let words: usize = line()?.strip_prefix('*')?.parse().ok()?;
        (0..words).map(|_| line().and_then(|_| line())).collect()
    }
}

pub fn total(n: f64) -> String {
    let text = n.to_string();
    format!("${}\r\n{text}\r\n", text.len())
}

/// An address that nothing listens at, and that nobody else is given: neither another test of this process, as they
/// are numbered, nor one beside it, as its process has another number. A port that was free when asked for may be
/// any connection's a moment later; these lie below those that the system gives out.
pub fn free() -> SocketAddr {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = u8::try_from(number % 254 + 1).unwrap();
    SocketAddr::from((Ipv4Addr::new(127, 128 | (high & 0x7f), low, host), 21_000 + (number / 254) as u16))
}

/// The configuration of a lone gateway with two classes and two plans.
pub fn config(discovery: SocketAddr, known: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": {
            "instances": 1, "me": 0, "resolutionUs": 1000, "zone": "a", "registryMode": "pushed",
            "familyInfo": {"mayCount": false, "countWaitUs": 50000, "mostUnits": 6, "costAfter": true},
            "limits": {"maxAttempts": 6, "mayCancel": true, "mayDuplicate": false, "retryAfter": true,
                       "maxRetryAfterUs": 500000, "connIdleUs": 30000000, "connectTimeoutUs": 250000},
            "rules": {"coldFrom": 0.22, "coldUs": 14000000, "fallMultiple": 3.0, "tipAfterUs": 1500000},
            "services": [
                {"name": "pull", "aimUs": 600000, "giveUpUs": 1500000, "effect": "idempotent", "group": "all"},
                {"name": "push", "aimUs": 750000, "giveUpUs": 2500000, "effect": "at_most_once", "group": "all"}],
            "tiersOfService": [
                {"name": "large", "rate": 1000.0, "storeSize": 1000.0, "overCost": 1.0},
                {"name": "small", "rate": 1.0, "storeSize": 20.0, "overCost": 1.0}]
        }
    })
}

/// The program under test; ended with the test.
pub struct Gateway {
    child: Child,
    pub addr: SocketAddr,
    folder: Folder,
}

/// A folder of its own; gone with the test.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = Folder(std::env::temp_dir().join(format!("hingestage-{}-{number}", std::process::id())));
        std::fs::create_dir_all(&folder.0).unwrap();
        folder
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn spawn(config: &str, variables: &[(&str, String)]) -> (Child, Folder) {
    let folder = Folder::new();
    let path = folder.0.join("config.json");
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hingestage"));
    for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_ADMIN", "TMPDIR"] {
        command.env_remove(variable);
    }
    command.envs(variables.iter().map(|(name, value)| (name, value)));
    let child = command.env("RELAY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    (child, folder)
}

/// Runs the program on a configuration that it can't take; gives exit code and standard error.
pub fn run_to_end(config: &str) -> (Option<i32>, String) {
    let (child, _folder) = spawn(config, &[]);
    let out = child.wait_with_output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

impl Gateway {
    pub fn start(config: &Value) -> Gateway {
        // The variable stands beside the file, as the deployment has it.
        let discovery = config["discovery"].as_str().unwrap_or_default().to_owned();
        Gateway::launch(config, &[("RELAY_DISCOVERY", discovery)])
    }

    /// Starts a process that may replace another of the same folder and address.
    pub fn start_in(config: &Value, shared: &Folder) -> Gateway {
        Gateway::launch(config, &[("TMPDIR", shared.0.to_str().unwrap().to_owned())])
    }

    /// Starts with an operators' file.
    pub fn start_with(config: &Value, operator: &std::path::Path) -> Gateway {
        Gateway::launch(config, &[("RELAY_OPERATOR", operator.to_str().unwrap().to_owned())])
    }

    fn launch(config: &Value, variables: &[(&str, String)]) -> Gateway {
        let (mut child, folder) = spawn(&config.to_string(), variables);
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut said) = (String::new(), String::new());
        while !line.contains("listening on") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended before it listened: {said}");
            said.push_str(&line);
        }
        let addr = line.trim().rsplit(' ').next().unwrap().parse().expect("the line ends with the address");
        // What follows is drained, so that the program never waits for its log.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Gateway { child, addr, folder }
    }

    /// Starts and waits until requests can be served.
    pub fn ready(config: &Value) -> Gateway {
        let gateway = Gateway::start(config);
        gateway.until_ready();
        gateway
    }

    pub fn until_ready(&self) {
        let until = Instant::now() + PATIENCE;
        while self.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
            assert!(Instant::now() < until, "never ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn connect(&self) -> Client {
        self.try_connect().expect("the gateway takes no connection")
    }

    pub fn try_connect(&self) -> Option<Client> {
        Client::to(self.addr)
    }

    /// One exchange on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        self.connect().ask(request)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Memory that it holds, bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
    }

    /// Replaces the configuration and says so.
    pub fn reconfigure(&self, config: &str) {
        let fresh = self.folder.0.join("fresh.json");
        std::fs::write(&fresh, config).unwrap();
        std::fs::rename(&fresh, self.folder.0.join("config.json")).unwrap();
        self.signal("-HUP");
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the program does not end");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    /// Connects; none where nobody listens.
    pub fn to(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Some(Client { reader: BufReader::new(stream.try_clone().unwrap()), stream })
    }

    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    /// Sends to a peer that may have closed.
    pub fn try_send(&mut self, request: &str) {
        let _ = self.stream.write_all(request.as_bytes());
    }

    /// The next answer, or none where the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// The first line of the next answer, and no more of it.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    pub fn ask(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer().expect("the connection ended without an answer")
    }
}

/// A request as clients send it.
pub struct Ask {
    pub head: String,
    pub class: &'static str,
    pub tier: &'static str,
    pub client: String,
    pub timeout: &'static str,
    pub terms: String,
    pub body: Option<String>,
}

static IDS: AtomicUsize = AtomicUsize::new(0);

pub fn pull() -> Ask {
    Ask {
        head: "GET /pull/v2/image?tag=1".into(),
        class: "pull",
        tier: "large",
        client: CLIENT.into(),
        timeout: "1.500",
        terms: "units=1,spread=1,first=0".into(),
        body: None,
    }
}

pub fn push() -> Ask {
    Ask {
        head: "POST /push/v2/image".into(),
        class: "push",
        timeout: "2.5",
        body: Some("layer".into()),
        ..pull()
    }
}

impl Ask {
    pub fn id(&self) -> String {
        format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst))
    }

    pub fn text(&self) -> String {
        let length =
            self.body.as_ref().map(|b| format!("Content-Length: {}\r\n", b.len())).unwrap_or_default();
        format!(
            "{} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nX-Tier: {}\r\n\
             Cookie: client={}\r\nRequest-Timeout: {}\r\nX-Call-Terms: {}\r\n{length}\r\n{}",
            self.head,
            self.id(),
            self.class,
            self.tier,
            self.client,
            self.timeout,
            self.terms,
            self.body.as_deref().unwrap_or_default()
        )
    }
}
