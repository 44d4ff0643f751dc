//! Daily operation of the real program: figures, drains, and a process that replaces another in service.

mod peers;

use peers::*;
use serde_json::{json, Value};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A configuration with an operators' address, and that address.
fn operated(discovery: SocketAddr) -> (Value, SocketAddr) {
    let (mut config, admin) = (config(discovery, &[]), free());
    config["admin"] = json!(admin.to_string());
    (config, admin)
}

fn list(workers: &[&Worker]) -> Discovery {
    let discovery = Discovery::start();
    let listed: Vec<_> = workers.iter().enumerate().map(|(i, w)| w.listed(&format!("w{i}"), "up")).collect();
    discovery.list(2, true, &listed);
    discovery
}

fn call(admin: SocketAddr, what: &str) -> Message {
    let mut client = Client::to(admin).expect("the operators' address takes no connection");
    let answer = client.ask(&format!("{what} HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert!(client.answer().is_none(), "one call a connection");
    answer
}

fn figures(admin: SocketAddr) -> Value {
    let answer = call(admin, "GET /metrics");
    assert_eq!((answer.status(), answer.header("content-type")), (200, Some("application/json")));
    serde_json::from_str(&answer.body).unwrap()
}

fn up(gateway: &Gateway) -> u16 {
    gateway.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status()
}

#[test]
fn each_request_stands_under_one_count() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let (config, admin) = operated(discovery.addr);
    let gateway = Gateway::ready(&config);
    assert_eq!(call(admin, "GET /ready").status(), 200);
    gateway.ask(&pull().text());
    gateway.ask(&push().text());
    worker.set(Reply::Answer("500 Bad".into(), "".into()));
    assert_eq!(gateway.ask(&push().text()).status(), 502);
    // Beyond its quota at once: never sent on.
    let greedy = || Ask { tier: "small", terms: "units=6,spread=1,first=0".into(), ..push() };
    let refused = (0..20).filter(|_| gateway.ask(&greedy().text()).status() == 429).count();
    assert!(refused > 10);
    let told = figures(admin);
    assert_eq!(told["success"], json!({"pull": 1, "push": 1}));
    assert_eq!(told["busy"], json!({"pull": 0, "push": refused}));
    assert_eq!(told["failure"], json!({"pull": 0, "push": 1 + 20 - refused}));
    assert_eq!(told["backend_calls"], json!(worker.requests()));
    assert_eq!((&told["inflight"], &told["hosts_listed"]), (&json!(0), &json!(1)));
}

#[test]
fn what_is_under_way_is_counted_as_it_is() {
    let worker = Worker::start(Reply::Silence);
    let discovery = list(&[&worker]);
    let (config, admin) = operated(discovery.addr);
    let gateway = Gateway::ready(&config);
    let mut client = gateway.connect();
    client.send(&push().text());
    worker.request();
    let told = figures(admin);
    assert_eq!((&told["inflight"], &told["backend_calls"]), (&json!(1), &json!(1)));
}

/// Callers that connect and finish no call must not hold up those who do.
#[test]
fn silent_callers_are_passed_by_and_closed() {
    let discovery = list(&[]);
    let (config, admin) = operated(discovery.addr);
    let _gateway = Gateway::ready(&config);
    let mut silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(admin).unwrap()).collect();
    assert_eq!(call(admin, "GET /ready").status(), 200);
    for stream in &mut silent {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)), "a silent caller is answered");
    }
}

#[test]
fn calls_that_are_none_are_told_so() {
    let discovery = list(&[]);
    let (config, admin) = operated(discovery.addr);
    let _gateway = Gateway::ready(&config);
    for (what, status) in
        [("GET /drain", 405), ("POST /metrics", 405), ("GET /up", 404), ("POST /drain/x", 404)]
    {
        assert_eq!(call(admin, what).status(), status, "{what}");
    }
}

#[test]
fn a_drain_sends_clients_away_without_losing_any_and_has_a_way_back() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let (config, admin) = operated(discovery.addr);
    let gateway = Gateway::ready(&config);
    let (mut busy, mut idle) = (gateway.connect(), gateway.connect());
    assert_eq!(busy.ask(&pull().text()).header("connection"), None);
    idle.ask(&pull().text());
    assert_eq!(call(admin, "POST /drain").status(), 200);
    assert_eq!((up(&gateway), call(admin, "GET /ready").status()), (503, 503));
    // A kept connection serves once more, and says that it ends; new ones are taken in as well.
    let answer = busy.ask(&push().text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(busy.answer().is_none());
    assert_eq!(gateway.ask(&pull().text()).status(), 200);
    // One that idles is not kept until it is killed.
    assert!(idle.answer().is_none());
    assert_eq!(call(admin, "POST /undrain").status(), 200);
    assert_eq!((up(&gateway), call(admin, "GET /ready").status()), (200, 200));
    assert_eq!(gateway.connect().ask(&pull().text()).header("connection"), None);
}

/// Two processes with one listening socket: whoever connects while one replaces the other is served.
#[test]
fn a_process_is_replaced_without_a_connection_refused() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let (mut config, admin) = operated(discovery.addr);
    config["listen"] = json!(free().to_string());
    let shared = Folder::new();
    let mut old = Gateway::start_in(&config, &shared);
    old.until_ready();
    let mut kept = old.connect();
    kept.ask(&pull().text());
    for _ in 0..2 {
        let admin = free();
        config["admin"] = json!(admin.to_string());
        let new = Gateway::start_in(&config, &shared);
        assert_eq!(new.addr, old.addr);
        let until = Instant::now() + PATIENCE;
        while call(admin, "GET /ready").status() != 200 {
            assert!(Instant::now() < until, "the new process is never ready");
        }
        old.terminate();
        let until = Instant::now() + Duration::from_millis(700);
        while Instant::now() < until {
            assert_eq!(new.ask(&pull().text()).status(), 200);
            // Well within the quota: as fast as it goes it would not be.
            std::thread::sleep(Duration::from_millis(5));
        }
        // The old process still serves who is connected to it, and sends them on.
        let answer = kept.ask(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert_eq!(old.exit_code(), Some(0));
        old = new;
        kept = old.connect();
        kept.ask(&pull().text());
    }
    assert!(TcpStream::connect(admin).is_err(), "the first process has left its second address");
}

/// Whoever lies in the shared folder at the place of an offer must not be believed, nor keep it from starting.
#[test]
fn what_a_killed_process_left_is_no_predecessor() {
    let discovery = list(&[]);
    let (mut config, _) = operated(discovery.addr);
    config["listen"] = json!(free().to_string());
    let shared = Folder::new();
    let old = Gateway::start_in(&config, &shared);
    old.until_ready();
    old.signal("-KILL");
    drop(old);
    Gateway::start_in(&config, &shared).until_ready();
}

/// After the call to stop, with nobody to take over, the address must be refused, not left with a queue that
/// nobody accepts from.
#[test]
fn without_a_successor_the_address_is_given_up() {
    let discovery = list(&[]);
    let (mut config, _) = operated(discovery.addr);
    config["listen"] = json!(free().to_string());
    let shared = Folder::new();
    let mut gateway = Gateway::start_in(&config, &shared);
    gateway.until_ready();
    gateway.terminate();
    let until = Instant::now() + PATIENCE;
    while gateway.try_connect().is_some() {
        assert!(Instant::now() < until, "still takes connections");
    }
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test]
fn a_bad_second_address_is_named() {
    let mut config = config(free(), &[]);
    config["admin"] = json!("here");
    let (code, message) = run_to_end(&config.to_string());
    assert_eq!(code, Some(1));
    assert!(message.contains("`admin`"), "{message}");
}

/// A body that would not fit: far longer than what is held, and than what a connection holds on its way.
const LONG: usize = 5 << 20;

fn long(seed: u8) -> String {
    (0..LONG).map(|n| char::from(b'a' + ((n / 7 + n / 4096) as u8 ^ seed) % 26)).collect()
}

#[test]
fn long_bodies_pass_both_ways_unchanged() {
    let worker = Worker::start(Reply::Answer("200 OK".into(), long(1)));
    let discovery = list(&[&worker]);
    let (config, admin) = operated(discovery.addr);
    let gateway = Gateway::ready(&config);
    let mut client = gateway.connect();
    for body in [long(2), "x".repeat(300_000)] {
        let ask = Ask { body: Some(body.clone()), ..push() };
        let answer = client.ask(&ask.text());
        assert_eq!((answer.status(), answer.body == long(1)), (200, true));
        assert!(worker.request().body == body);
    }
    assert_eq!(figures(admin)["success"]["push"], json!(2));
    assert_eq!(figures(admin)["inflight"], json!(0));
}

/// In chunks nobody says how long it is: it is collected where it is short, and goes on in chunks where not.
#[test]
fn chunked_requests_are_taken_like_any_others() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    let mut client = gateway.connect();
    for body in ["short".to_owned(), "y".repeat(200_000)] {
        let head = Ask { body: None, ..push() }.text();
        let chunks: String = body
            .as_bytes()
            .chunks(70_000)
            .map(|chunk| format!("{:x};ext=1\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).unwrap()))
            .collect();
        let text = format!(
            "{}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\nX-Trailer: 1\r\n\r\n",
            head.trim_end()
        );
        assert_eq!(client.ask(&text).status(), 200);
        assert_eq!(worker.request().body, body);
    }
}

/// A client that sends slowly but goes on is waited for; its time counts from its last byte.
#[test]
fn a_slow_body_is_waited_for() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    let text = Ask { body: Some("z".repeat(200_000)), timeout: "0.9", ..push() }.text();
    let mut client = gateway.connect();
    let begun = Instant::now();
    for piece in text.as_bytes().chunks(12_800) {
        client.send(std::str::from_utf8(piece).unwrap());
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(client.answer().expect("cut off").status(), 200);
    assert!(begun.elapsed() > Duration::from_millis(2_900), "slower than what it used to be given");
    assert_eq!(worker.request().body.len(), 200_000);
}

/// Turned away while it still sends, a client gets to read why, and its connection goes on.
#[test]
fn a_long_request_that_is_turned_away_learns_why() {
    let worker = Worker::start(Reply::Answer("503 Full\r\nNot-Started: 1".into(), "no".into()));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    let greedy = |body| Ask { tier: "small", terms: "units=6,spread=1,first=0".into(), body, ..push() };
    (0..10).for_each(|_| drop(gateway.ask(&greedy(None).text())));
    let mut client = gateway.connect();
    for _ in 0..3 {
        let answer = client.ask(&greedy(Some(long(3))).text());
        assert_eq!(answer.status(), 429);
    }
    // Its body has gone to a worker that did not want it: refused or failed, but told so.
    let answer = client.ask(&Ask { body: Some(long(4)), ..push() }.text());
    assert!(matches!(answer.status(), 429 | 502), "{}", answer.first_line);
}

/// A worker that goes away in the middle of a long answer: the client can tell that it is not whole.
#[test]
fn a_long_answer_that_breaks_off_is_seen_to() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{}", "h".repeat(LONG / 2));
    let worker = Worker::start(Reply::RawThenClose(head));
    let discovery = list(&[&worker]);
    let (config, admin) = operated(discovery.addr);
    let gateway = Gateway::ready(&config);
    let mut client = gateway.connect();
    client.send(&pull().text());
    assert!(client.answer().is_none(), "half an answer taken for whole");
    assert_eq!(figures(admin)["failure"]["pull"], json!(1));
}

/// Clients that ask for long answers and do not read them hold no memory of the gateway's.
#[test]
fn unread_long_answers_take_little_memory() {
    let worker = Worker::start(Reply::Answer("200 OK".into(), long(5)));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    let mut unread: Vec<Client> = (0..30).map(|_| gateway.connect()).collect();
    for client in &mut unread {
        client.send(&pull().text());
        assert!(client.line().starts_with("HTTP/1.1 200"));
    }
    assert_eq!(gateway.ask(&pull().text()).status(), 200);
    // Thirty of 5 MB would be 150.
    assert!(gateway.memory() < 40 << 20, "{} bytes", gateway.memory());
}

/// A worker that begins a long answer and goes on slowly: the client has its first bytes at once.
#[test]
fn a_long_answer_begins_when_the_worker_begins_it() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\nfirst");
    let worker = Worker::start(Reply::Raw(head));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    let mut client = gateway.connect();
    client.send(&pull().text());
    // The rest never comes: only an answer passed on at once gives this line.
    assert!(client.line().starts_with("HTTP/1.1 200"));
}

/// Silent for a while and then slow over a head: neither alone is too long.
#[test]
fn a_client_that_pauses_and_then_writes_slowly_is_served() {
    const PAUSE: Duration = Duration::from_millis(1_300);
    /// Well within the 2.2 s after which either pause may end the connection.
    const ALLOWED: Duration = Duration::from_millis(1_900);
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let gateway = Gateway::ready(&config(discovery.addr, &[]));
    // Where the machine stalls, a pause is longer than it was meant, and what becomes of it tells nothing.
    let told = (0..8).any(|_| {
        let mut client = gateway.connect();
        client.ask(&pull().text());
        let silent_since = Instant::now();
        std::thread::sleep(PAUSE);
        let text = pull().text();
        let (begin, end) = text.split_at(text.len() / 2);
        client.try_send(begin);
        let (silent, writes_since) = (silent_since.elapsed(), Instant::now());
        std::thread::sleep(PAUSE);
        client.try_send(end);
        let writes = writes_since.elapsed();
        let answer = client.answer();
        let as_meant = silent < ALLOWED && writes < ALLOWED;
        assert!(!as_meant || answer.is_some_and(|answer| answer.status() == 200), "{silent:?}, {writes:?}");
        as_meant
    });
    assert!(told, "the machine is too busy for pauses of {PAUSE:?}");
}

/// Hundreds connect and finish no request, and each true request comes on a new connection, some slowly: those that
/// go on are let finish, those that are quiet make room.
#[test]
fn a_slow_client_among_many_that_say_nothing_is_served() {
    let worker = Worker::start(ok("served"));
    let discovery = list(&[&worker]);
    let mut config = config(discovery.addr, &[]);
    config["limits"]["sockets"] = 70.into();
    let gateway = Gateway::ready(&config);
    let served = (0..3).any(|_| {
        let mut crowd: Vec<Client> = Vec::new();
        let mut slow = gateway.connect();
        let text = pull().text();
        for piece in text.as_bytes().chunks(text.len() / 15) {
            slow.try_send(std::str::from_utf8(piece).unwrap());
            for _ in 0..8 {
                let mut one = gateway.connect();
                one.try_send("GET /pull/x HTTP/1.1\r\nHost:");
                crowd.push(one);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        slow.answer().is_some_and(|answer| answer.status() == 200)
    });
    assert!(served, "cut off among silent ones");
}
