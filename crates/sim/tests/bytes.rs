//! Bytes cut, joined and spoilt, on every side of the gateway: nothing panics, nothing stays behind, nothing is
//! served that no worker made, no second request is found inside a first.
//!
//! Each case is a small world of its own: one gateway as it is served, one worker, discovery and counter. The
//! draws are the same each time; `PROPTEST_CASES=20000 cargo test --release -p hingestage-sim --test bytes`
//! tries more.

use hingestage_gateway::config::Config;
use hingestage_platform::{Listener, Platform};
use hingestage_sim::executor::{Executor, Host, Nanos};
use hingestage_sim::net::{address, Links, Net, Sim};
use hingestage_sim::{site, world};
use hingestage_test_servers::client::Ask;
use hingestage_test_servers::counter::Counter;
use hingestage_test_servers::discovery::{Agent, Listed};
use hingestage_test_servers::worker::{Spec, Worker};
use hingestage_test_servers::{Observer, Reader, Seen};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};

const S: Nanos = 1_000_000_000;
const GATEWAY: Host = 1_000;
const AGENT: Host = 2_000;
const COUNTER: Host = 40;
const CLIENT: Host = 3_000;
const WORKER: Host = 10_000;
/// Time in which a client is owed an end, and some for the way.
const OWED: Nanos = 3 * S + S / 10;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// How bytes are changed.
#[derive(Clone, Debug)]
enum Change {
    Cut(usize),
    Spoil(usize, u8),
    Insert(usize, Vec<u8>),
    Drop(usize, usize),
    Twice(usize, usize),
}

fn change() -> impl Strategy<Value = Change> {
    let word = prop_oneof![
        Just(b"\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"Content-Length: 7\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"Connection: close\r\n".to_vec()),
        Just(b"\0".to_vec()),
        Just(b"99999999999999999999".to_vec()),
        proptest::collection::vec(any::<u8>(), 1..12),
    ];
    let at = || 0usize..2_000;
    prop_oneof![
        at().prop_map(Change::Cut),
        (at(), any::<u8>()).prop_map(|(at, byte)| Change::Spoil(at, byte)),
        (at(), word).prop_map(|(at, word)| Change::Insert(at, word)),
        (at(), 1usize..40).prop_map(|(at, len)| Change::Drop(at, len)),
        (at(), 1usize..200).prop_map(|(at, len)| Change::Twice(at, len)),
    ]
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    proptest::collection::vec(change(), 0..4)
}

/// Places count round the bytes, so that each is as likely.
fn changed(bytes: &[u8], changes: &[Change]) -> Vec<u8> {
    changes.iter().fold(bytes.to_vec(), |mut bytes, change| {
        let len = bytes.len();
        let place = |at: &usize| at % (len + 1);
        match change {
            Change::Cut(at) => bytes.truncate(place(at)),
            Change::Spoil(at, byte) if len > 0 => bytes[at % len] = *byte,
            Change::Spoil(..) => {}
            Change::Insert(at, word) => drop(bytes.splice(place(at)..place(at), word.iter().copied())),
            Change::Drop(at, n) => drop(bytes.drain(place(at)..(place(at) + n).min(len))),
            Change::Twice(at, n) => {
                let part = bytes[place(at)..(place(at) + n).min(len)].to_vec();
                drop(bytes.splice(place(at)..place(at), part));
            }
        }
        bytes
    })
}

/// What answers in a worker's or the counter's place.
type Reply = Rc<dyn Fn(&str) -> Vec<u8>>;

struct Rig {
    executor: Executor,
    net: Net,
    agent: Rc<Agent<Sim>>,
    /// Requests that came to the worker whole: id, and first line.
    came: Rc<RefCell<Vec<(String, String)>>>,
    /// What the client has read.
    read: Rc<RefCell<Vec<u8>>>,
}

impl Rig {
    fn new(worker: Option<Reply>, counter: Option<Reply>) -> Rig {
        let executor = Executor::new(5);
        let net = Net::new(executor.clone(), Links::default());
        let came: Rc<RefCell<Vec<(String, String)>>> = Rc::default();
        let observer: Observer = Rc::new({
            let came = came.clone();
            move |seen| {
                if let Seen::Whole { message, .. } = seen {
                    let id = message.header("request-id").unwrap_or_default().to_owned();
                    came.borrow_mut().push((id, message.first_line));
                }
            }
        });
        let agent = Agent::new(net.platform(AGENT), 0, observer.clone());
        let endpoint = address(WORKER, site::WORKER_PORT).to_string();
        let (uid, state, zone) = ("w0".to_owned(), "up".to_owned(), "a".to_owned());
        agent.change(Listed { uid, endpoint, state, boot_ms: 0, zone, cell: 0 });
        let rig = Rig { executor, net, agent, came, read: Rc::default() };
        rig.listen(AGENT, site::DISCOVERY_PORT, {
            let agent = rig.agent.clone();
            move |port| async move { agent.run(port).await }
        });
        match counter {
            Some(reply) => rig.scripted(COUNTER, site::COUNTER_PORT, reply),
            None => {
                let counter = Counter::new(rig.net.platform(COUNTER), Duration::from_micros(700));
                rig.listen(COUNTER, site::COUNTER_PORT, move |port| counter.run(port));
            }
        }
        match worker {
            Some(reply) => rig.scripted(WORKER, site::WORKER_PORT, reply),
            None => {
                let spec = Spec {
                    number: 0,
                    cores: 2,
                    queue: 64,
                    speed: 1.0,
                    cold: site::COLD,
                    started: None,
                    runs_on: false,
                    zone: "a",
                    cell: 0,
                };
                let worker = Worker::new(rig.net.platform(WORKER), spec, observer);
                rig.listen(WORKER, site::WORKER_PORT, move |port| worker.run(port));
            }
        }
        rig.serve();
        rig.pass(S);
        rig
    }

    fn listen<F>(&self, host: Host, port: u16, run: impl FnOnce(<Sim as Platform>::Listener) -> F + 'static)
    where
        F: std::future::Future<Output = ()> + 'static,
    {
        let platform = self.net.platform(host);
        self.executor.spawn(host, async move {
            run(platform.listen(address(host, port)).await.unwrap()).await;
        });
    }

    /// Answers each request, or each call, with the bytes that `reply` gives for its id or its text.
    fn scripted(&self, host: Host, port: u16, reply: Reply) {
        let (platform, came) = (self.net.platform(host), self.came.clone());
        self.listen(host, port, move |listener| async move {
            while let Ok(stream) = listener.accept().await {
                let (reply, came) = (reply.clone(), came.clone());
                platform.spawn(async move {
                    if host == COUNTER {
                        return answer_calls(stream, reply).await;
                    }
                    let mut reader = Reader::new(stream);
                    while let Ok(message) = reader.message().await {
                        let id = message.header("request-id").unwrap_or_default().to_owned();
                        came.borrow_mut().push((id.clone(), message.first_line));
                        if !reader.write(&reply(&id)).await {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn serve(&self) {
        let at = |host, port| address(host, port);
        let text = site::config(
            1,
            0,
            at(GATEWAY, site::GATEWAY_PORT),
            at(AGENT, site::DISCOVERY_PORT),
            at(COUNTER, site::COUNTER_PORT),
            1,
            self.agent.list(),
            &site::Extras::default(),
        );
        let config = Config::parse(&text.to_string(), |_| None).unwrap();
        let platform = self.net.platform(GATEWAY);
        self.executor.spawn(GATEWAY, async move {
            let (_stop, stopped) = oneshot::channel();
            let (_reload, reloads) = mpsc::channel(1);
            let ended = world::start(platform, config, stopped, reloads).await;
            panic!("the gateway ended by itself: {ended:?}");
        });
    }

    fn pass(&self, span: Nanos) {
        let until = self.executor.nanos() + span;
        while self.executor.step(until) {}
    }

    /// Writes bytes on a connection of their own, in pieces, and reads to the end. True where that came.
    fn send(&self, bytes: Vec<u8>, piece: usize) -> Rc<RefCell<bool>> {
        let (platform, read) = (self.net.platform(CLIENT), self.read.clone());
        let over = Rc::new(RefCell::new(false));
        let ended = over.clone();
        self.executor.spawn(CLIENT, async move {
            let Ok(mut stream) = platform.connect(address(GATEWAY, site::GATEWAY_PORT)).await else { return };
            for part in bytes.chunks(piece.max(1)) {
                if stream.write_all(part).await.is_err() {
                    break;
                }
                platform.sleep(Duration::from_micros(300)).await;
            }
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = stream.read(&mut buffer).await {
                read.borrow_mut().extend_from_slice(&buffer[..n]);
            }
            *ended.borrow_mut() = true;
        });
        over
    }

    /// Whatever has come, the gateway still serves, and holds nothing of what is over.
    fn still_serves(self, id: &str) -> Result<(), TestCaseError> {
        self.pass(6 * S);
        prop_assert_eq!(self.executor.take_panics(), vec![]);
        let before = self.read.borrow().len();
        let over = self.send(plain(id, 900).text(), 4_096);
        self.pass(S);
        let read = String::from_utf8_lossy(&self.read.borrow()[before..]).into_owned();
        prop_assert!(read.starts_with("HTTP/1.1 200"), "a usual client was answered `{}`", read);
        self.pass(5 * S);
        prop_assert!(*over.borrow(), "an idle connection was kept for ever");
        prop_assert_eq!(self.executor.take_panics(), vec![]);
        prop_assert_eq!(self.net.tables(GATEWAY), vec![]);
        // Listener, counter, discovery, and connections to the worker that may still rest.
        prop_assert!(self.net.descriptors(GATEWAY) <= 8, "{} descriptors", self.net.descriptors(GATEWAY));
        self.executor.end();
        Ok(())
    }
}

async fn answer_calls(mut stream: <Sim as Platform>::Stream, reply: Reply) {
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        if stream.write_all(&reply(&text)).await.is_err() {
            return;
        }
    }
}

fn plain(id: &str, account: u64) -> Ask {
    Ask {
        id: id.into(),
        class: "pull".into(),
        method: "GET",
        path: "/pull/of/1?work=10&true=1".into(),
        tier: "base".into(),
        account,
        units: 1.0,
        spread: (1, 0),
        patience: Duration::from_millis(900),
        allowance: Duration::ZERO,
        body: Vec::new(),
        manner: Default::default(),
    }
}

/// A push whose body is itself a request.
fn nested() -> Vec<u8> {
    let inner = plain("smuggled00000000", 5).text();
    let path = "/push/of/1?work=10&true=1".into();
    let outer = plain("outer00000000000", 4);
    Ask { class: "push".into(), method: "POST", path, body: inner, ..outer }.text()
}

/// The ids of the requests that a reader finds who takes lengths at their word and stops at whatever is odd.
fn ids_within(mut bytes: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(head)) = request.parse(bytes) else { return ids };
        let all = |name: &str| -> Vec<Vec<u8>> {
            let same = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
            same.map(|h| h.value.to_vec()).collect()
        };
        if !all("transfer-encoding").is_empty() {
            return ids;
        }
        let lengths: Vec<Option<usize>> = all("content-length")
            .iter()
            .map(|value| std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok()))
            .collect();
        let length = match &lengths[..] {
            [] => 0,
            [Some(first), rest @ ..] if rest.iter().all(|n| *n == Some(*first)) => *first,
            _ => return ids,
        };
        ids.extend(all("request-id").iter().map(|id| String::from_utf8_lossy(id).into_owned()));
        if bytes.len() < head + length {
            return ids;
        }
        bytes = &bytes[head + length..];
    }
}

/// The body that an answer has for a reader who takes its length at its word; none where it has no proper one.
fn body_of(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut answer = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = answer.parse(bytes) else { return None };
    let code = answer.code?;
    if (100..200).contains(&code) {
        return body_of(&bytes[head..]);
    }
    let length = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
    let length: usize = std::str::from_utf8(length.value).ok()?.trim().parse().ok()?;
    bytes.get(head..head.checked_add(length)?).map(<[u8]>::to_vec)
}

proptest! {
    #![proptest_config(config())]

    /// Heads and bodies of clients.
    #[test]
    fn no_request_is_found_inside_another(changes in changes(), piece in 1usize..3_000, twice in any::<bool>()) {
        let mut bytes = changed(&nested(), &changes);
        if twice {
            bytes.extend(plain("second0000000000", 6).text());
        }
        let allowed = ids_within(&bytes);
        let rig = Rig::new(None, None);
        // As many pieces as a client may send in its time.
        let over = rig.send(bytes.clone(), piece.max(bytes.len() / 400));
        rig.pass(OWED);
        let answered = !rig.read.borrow().is_empty() || *over.borrow();
        prop_assert!(answered, "neither an error nor a close for {:?}", String::from_utf8_lossy(&bytes));
        for (id, line) in rig.came.borrow().iter() {
            prop_assert!(allowed.contains(id), "`{id}` came to the worker as `{line}`; {allowed:?} were asked");
        }
        rig.still_serves("after00000000000")?;
    }

    /// Answers of workers.
    #[test]
    fn nothing_is_served_that_no_worker_made(changes in changes(), extra in any::<bool>()) {
        let good = move |id: &str| {
            let body = format!("{id} made whole and well");
            let interim = if extra { "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" } else { "" };
            let head = "HTTP/1.1 200 OK\r\nX-Cost-Units: 1\r\nContent-Type: text/plain\r\n";
            format!("{interim}{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
        };
        let spoilt = changed(&good("first00000000000"), &changes);
        let made = body_of(&spoilt);
        let reply: Reply = Rc::new({
            let spoilt = spoilt.clone();
            move |id: &str| if id.starts_with("first") { spoilt.clone() } else { good(id) }
        });
        let rig = Rig::new(Some(reply), None);
        rig.send(plain("first00000000000", 4).text(), 4_096);
        rig.pass(2 * S);
        let read = rig.read.borrow().clone();
        let status = String::from_utf8_lossy(&read).chars().skip(9).take(3).collect::<String>();
        prop_assert!(!read.is_empty(), "no answer to {:?}", String::from_utf8_lossy(&spoilt));
        if status == "200" {
            let chunked = String::from_utf8_lossy(&spoilt).to_ascii_lowercase().contains("chunked");
            prop_assert!(chunked || body_of(&read) == made, "served {:?}", String::from_utf8_lossy(&read));
        }
        rig.still_serves("after00000000000")?;
    }

    /// The counter's replies.
    #[test]
    fn the_counters_replies_stop_nobody(changes in changes(), total in 0u32..3) {
        let good = match total {
            0 => "$1\r\n1\r\n".to_owned(),
            1 => ":1\r\n".to_owned(),
            _ => "-BUSY not now\r\n".to_owned(),
        };
        let spoilt = changed(good.as_bytes(), &changes);
        let rig = Rig::new(None, Some(Rc::new(move |_: &str| spoilt.clone())));
        for n in 0..4 {
            rig.send(plain(&format!("request{n}00000000"), n).text(), 4_096);
            rig.pass(S / 5);
        }
        rig.pass(S);
        // One that is told of a use beyond its quota may be refused.
        let read = String::from_utf8_lossy(&rig.read.borrow()).into_owned();
        prop_assert_eq!(read.matches("HTTP/1.1 200").count() + read.matches("HTTP/1.1 429").count(), 4);
        rig.pass(6 * S);
        prop_assert_eq!(rig.executor.take_panics(), vec![]);
        prop_assert!(rig.net.descriptors(GATEWAY) <= 8);
        rig.executor.end();
    }

    /// Discovery's stream: whatever it says, the last good list holds.
    #[test]
    fn what_discovery_says_stops_nobody(changes in changes(), whole in any::<bool>()) {
        let rig = Rig::new(None, None);
        rig.net.kill(AGENT);
        let (agent, net) = (rig.agent.clone(), rig.net.clone());
        let platform = rig.net.platform(AGENT);
        let mut list = agent.list();
        list["all"] = whole.into();
        list["targets"][0]["state"] = "up".into();
        let text = changed(format!("{list}\n").as_bytes(), &changes);
        rig.listen(AGENT, site::DISCOVERY_PORT, move |listener| async move {
            while let Ok(mut stream) = listener.accept().await {
                let text = text.clone();
                platform.spawn(async move {
                    let mut buffer = [0; 4096];
                    let _ = stream.read(&mut buffer).await;
                    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", text.len());
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(&text).await;
                    let _ = stream.write_all(b"\r\n").await;
                    while let Ok(1..) = stream.read(&mut buffer).await {}
                });
            }
        });
        rig.pass(6 * S);
        prop_assert_eq!(rig.executor.take_panics(), vec![]);
        // Discovery is good again, and tells of the worker anew: from then on all is as before.
        net.kill(AGENT);
        agent.change(agent.changes()[0].clone());
        rig.listen(AGENT, site::DISCOVERY_PORT, move |port| agent.run(port));
        rig.pass(12 * S);
        rig.still_serves("after00000000000")?;
    }

    /// Configuration files.
    #[test]
    fn a_bad_configuration_is_named(changes in changes()) {
        let at = address(1, 1);
        let good = site::config(2, 0, at, at, at, 1, serde_json::json!({"rev": 1}), &site::Extras::default());
        let bytes = changed(good.to_string().as_bytes(), &changes);
        let text = String::from_utf8_lossy(&bytes);
        if let Err(message) = Config::parse(&text, |_| None) {
            let named = ["configuration:", "settings:", "field `"].iter().any(|word| message.contains(word));
            prop_assert!(named && !message.contains('\n'), "`{message}`");
        }
    }
}

/// A good request cut behind each of its bytes, and the connection closed there.
#[test]
fn a_request_cut_at_every_byte_reaches_no_worker() {
    let whole = nested();
    for end in (0..whole.len()).step_by(7) {
        let rig = Rig::new(None, None);
        let (platform, bytes) = (rig.net.platform(CLIENT), whole[..end].to_vec());
        rig.executor.spawn(CLIENT, async move {
            if let Ok(mut stream) = platform.connect(address(GATEWAY, site::GATEWAY_PORT)).await {
                let _ = stream.write_all(&bytes).await;
            }
        });
        rig.pass(S);
        assert_eq!(*rig.came.borrow(), vec![], "cut behind byte {end}");
        assert_eq!(rig.executor.take_panics(), vec![]);
        assert_eq!(rig.net.tables(GATEWAY), vec![]);
        rig.executor.end();
    }
}
