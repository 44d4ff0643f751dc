//! Workers from SRV records: the real program, a scripted name server on loopback, and deploys by records alone.

mod peers;

use hingestage_platform::Tokio;
use hingestage_test_servers::dns::{Dns, Entry, Mood};
use peers::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

const NAME: &str = "_registry._tcp.sala.example.org";

type Job = Box<dyn FnOnce(&Dns<Tokio>) + Send>;

/// A name server on a thread of its own.
struct Server {
    addr: SocketAddr,
    jobs: UnboundedSender<Job>,
}

impl Server {
    fn start(ttl: u32) -> Server {
        // Held from here on, so that no other test takes it.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let (jobs, mut work) = unbounded_channel::<Job>();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let dns = Dns::new(Tokio, NAME, ttl, std::rc::Rc::new(|_, _| {}));
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                tokio::task::spawn_local(dns.clone().run_on(listener));
                while let Some(job) = work.recv().await {
                    job(&dns);
                }
            });
        });
        Server { addr, jobs }
    }

    /// Does something with the server and waits until it is done.
    fn with<T: Send + 'static>(&self, job: impl FnOnce(&Dns<Tokio>) -> T + Send + 'static) -> T {
        let (tell, done) = channel();
        let job: Job = Box::new(move |dns| drop(tell.send(job(dns))));
        self.jobs.send(job).unwrap();
        done.recv_timeout(PATIENCE).unwrap()
    }

    fn zone(&self, workers: &[(&str, SocketAddr, u16)]) {
        let entry = |(name, at, priority): &(&str, SocketAddr, u16)| Entry {
            target: format!("{name}.sala.example.org"),
            port: at.port(),
            priority: *priority,
            weight: 10,
            at: vec![at.ip()],
        };
        let zone: Vec<Entry> = workers.iter().map(entry).collect();
        self.with(move |dns| dns.change(|old| *old = zone));
    }
}

/// An operators' file that follows the name at this server, with spans that suit a test.
fn operator(folder: &Folder, server: SocketAddr, more: &str) -> PathBuf {
    let path = folder.0.join("operator.lisp");
    let text = format!(
        "(srv (name \"{NAME}\") (servers \"{server}\") (networks \"127.0.0.0/8\")\n (lifetimes 0.2 60) (timeout 0.3)
          (retry 0.1 0.5) (grace 1) (at-start warm) {more})\n"
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// A gateway that follows the name, and its operators' address.
fn gateway(folder: &Folder, server: &Server, more: &str) -> (Gateway, SocketAddr) {
    let admin = free();
    let nowhere = free();
    let mut config = config(nowhere, &[]);
    config["admin"] = json!(admin.to_string());
    let gateway = Gateway::start_with(&config, &operator(folder, server.addr, more));
    gateway.until_ready();
    (gateway, admin)
}

fn call(admin: SocketAddr, what: &str) -> Message {
    Client::to(admin).expect("the operators' address").ask(&format!("{what} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

fn figures(admin: SocketAddr) -> Value {
    serde_json::from_str(&call(admin, "GET /metrics").body).unwrap()
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn records_alone_name_the_workers_and_changes_arrive_within_a_lifetime() {
    let (server, folder) = (Server::start(1), Folder::new());
    let (one, two) = (Worker::start(ok("one")), Worker::start(ok("two")));
    server.zone(&[("w1", one.addr, 0)]);
    let (gateway, admin) = gateway(&folder, &server, "");
    assert_eq!(gateway.ask(&pull().text()).body, "one");
    let told = figures(admin);
    assert_eq!((&told["srv"]["standing"], &told["srv"]["believed"]), (&json!("fresh"), &json!(1)));
    server.zone(&[("w2", two.addr, 0)]);
    let changed = Instant::now();
    until("the new worker serves", || gateway.ask(&pull().text()).body == "two");
    assert!(changed.elapsed() < Duration::from_secs(3), "{:?}", changed.elapsed());
    one.rest();
    for _ in 0..20 {
        // A new one is cold: it may be too early for another request, but never the old one's turn.
        let answer = gateway.ask(&pull().text());
        assert!(answer.body == "two" || answer.status() == 429, "{answer:?}");
    }
    assert!(one.rest().is_empty());
    let shown = call(admin, "GET /srv").body;
    assert!(shown.contains("w2.sala.example.org.") && shown.contains("gone: w1"), "{shown}");
}

/// All workers replaced one after another, by records alone, under load: every request has one good answer, and
/// nothing new goes to a worker once its record has vanished for a lifetime and the time that a drain has.
#[test]
fn a_deploy_of_all_workers_by_records_loses_nothing() {
    const FLEET: usize = 4;
    /// The pause before a request, and the request.
    const USUAL_REQUEST: Duration = Duration::from_millis(25);
    let (server, folder) = (Server::start(0), Folder::new());
    let old: Vec<Worker> = (0..FLEET).map(|_| Worker::start(ok("old"))).collect();
    let new: Vec<Worker> = (0..FLEET).map(|_| Worker::start(ok("new"))).collect();
    let names: Vec<String> = (0..FLEET).map(|n| format!("w{n}")).collect();
    let fresh: Vec<String> = (0..FLEET).map(|n| format!("v{n}")).collect();
    let zone = |replaced: usize| {
        let new = (0..replaced).map(|n| (fresh[n].as_str(), new[n].addr, 0));
        let old = (replaced..FLEET).map(|n| (names[n].as_str(), old[n].addr, 0));
        new.chain(old).collect::<Vec<_>>()
    };
    server.zone(&zone(0));
    let (gateway, _) = gateway(&folder, &server, "");
    let (mut asked, mut served) = (0, 0);
    let mut ask = |gateway: &Gateway| {
        // Part of what three cold workers and one warm bear, each from an account of its own.
        std::thread::sleep(Duration::from_millis(15));
        let ask = if asked % 4 == 0 { push() } else { pull() };
        let answer = gateway.ask(&Ask { client: format!("{asked:016x}"), ..ask }.text());
        assert!(matches!(answer.status(), 200 | 429), "{answer:?}");
        (asked, served) = (asked + 1, served + usize::from(answer.status() == 200));
        answer
    };
    for replaced in 1..=FLEET {
        server.zone(&zone(replaced));
        // A lifetime of at least 0.2 s, the question, and the drain's own time. Of a request that takes long, as on a
        // machine that stalls, no more counts than requests usually take.
        let mut passed = Duration::ZERO;
        while passed < Duration::from_millis(200 + 500) {
            let begun = Instant::now();
            ask(&gateway);
            passed += begun.elapsed().min(USUAL_REQUEST);
        }
        let gone = &old[replaced - 1];
        gone.rest();
        for _ in 0..10 {
            ask(&gateway);
        }
        assert!(gone.rest().is_empty(), "worker {replaced} got new work after its record vanished");
    }
    until("the new ones serve", || ask(&gateway).body == "new");
    assert!(asked > 60, "{asked}");
    assert!(served * 10 >= asked * 9, "{served} of {asked} served");
}

#[test]
fn a_worse_priority_serves_only_while_the_better_can_not() {
    let (server, folder) = (Server::start(1), Folder::new());
    let (better, worse) = (Worker::start(ok("better")), Worker::start(ok("worse")));
    server.zone(&[("w1", better.addr, 0), ("w2", worse.addr, 10)]);
    let (gateway, _) = gateway(&folder, &server, "");
    for _ in 0..30 {
        assert_eq!(gateway.ask(&pull().text()).body, "better");
    }
    assert!(worse.rest().is_empty());
    server.zone(&[("w2", worse.addr, 10)]);
    until("the worse one serves", || gateway.ask(&pull().text()).body == "worse");
}

#[test]
fn the_last_good_list_serves_while_the_server_is_down_and_an_operator_ends_doubt() {
    let (server, folder) = (Server::start(0), Folder::new());
    let (one, two) = (Worker::start(ok("one")), Worker::start(ok("two")));
    let (three, four) = (Worker::start(ok("three")), Worker::start(ok("four")));
    let all = [("w1", one.addr, 0), ("w2", two.addr, 0), ("w3", three.addr, 0), ("w4", four.addr, 0)];
    server.zone(&all);
    let (gateway, admin) = gateway(&folder, &server, "");
    server.with(|dns| dns.set(Mood::ServFail));
    until("stale", || figures(admin)["srv"]["standing"] == "stale");
    assert_eq!(gateway.ask(&pull().text()).status(), 200);
    server.zone(&all[..1]);
    server.with(|dns| dns.set(Mood::Good));
    until("doubted", || figures(admin)["srv"]["standing"] == "doubted");
    assert_eq!(figures(admin)["srv"]["believed"], 4);
    assert_eq!(call(admin, "GET /srv/accept").status(), 405);
    assert_eq!(call(admin, "POST /srv/accept").status(), 200);
    until("believed", || figures(admin)["srv"]["believed"] == 1);
    assert_eq!(gateway.ask(&pull().text()).body, "one");
}

#[test]
fn a_long_zone_comes_over_tcp_and_bad_servers_are_passed_by() {
    let (server, folder) = (Server::start(60), Folder::new());
    let worker = Worker::start(ok("served"));
    let names: Vec<String> = (0..900).map(|n| format!("w{n}")).collect();
    let zone: Vec<_> = names.iter().map(|name| (name.as_str(), worker.addr, 0)).collect();
    server.zone(&zone);
    // With their addresses they are longer than any message: the server leaves these out.
    let (gateway, admin) = gateway(&folder, &server, "(questions-per-second 5000)");
    assert_eq!(gateway.ask(&pull().text()).body, "served");
    until("all are asked for", || figures(admin)["srv"]["asked"].as_u64() >= Some(902));
    let told = figures(admin);
    assert_eq!((&told["srv"]["over_tcp"], &told["srv"]["believed"]), (&json!(1), &json!(1)), "{told}");
}

#[test]
fn a_bad_file_is_named_at_the_start_and_changes_nothing_in_service() {
    let (server, folder) = (Server::start(0), Folder::new());
    let (one, two) = (Worker::start(ok("one")), Worker::start(ok("two")));
    server.zone(&[("w1", one.addr, 0)]);
    let (gateway, admin) = gateway(&folder, &server, "");
    let path = operator(&folder, server.addr, "(stale-for later)");
    let out = hingestage(&["check", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    let said = text(&out.stderr);
    assert!(
        said.contains("operator.lisp:3:") && said.contains("field `srv.stale-for`: `later` is no number"),
        "{said}"
    );
    let out = hingestage(&["--operator", path.to_str().unwrap()]);
    assert_eq!((out.status.code(), text(&out.stderr) == said), (Some(2), true), "{}", text(&out.stderr));
    gateway.signal("-HUP");
    until("read again", || figures(admin)["reconfig_failed"] == 1);
    assert_eq!(gateway.ask(&pull().text()).body, "one");
    // A good one with another server is gone by.
    let other = Server::start(0);
    other.zone(&[("w2", two.addr, 0)]);
    operator(&folder, other.addr, "");
    gateway.signal("-HUP");
    until("the other server's worker serves", || gateway.ask(&pull().text()).body == "two");
}

#[test]
fn the_command_line_shows_what_would_be_believed() {
    let server = Server::start(60);
    server.zone(&[("w1", "127.0.0.9:80".parse().unwrap(), 3)]);
    let at = server.addr.to_string();
    let out = hingestage(&["srv", NAME, "--server", &at, "--seconds", "1"]);
    let shown = text(&out.stdout);
    assert!(out.status.success());
    for part in
        ["believed: 1 workers", "127.0.0.9:80 priority 3 size 1.00", "fresh", &format!("told by {at}")]
    {
        assert!(shown.contains(part), "{part}: {shown}");
    }
    let out = hingestage(&["srv", "example.org", "--server", &at]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("does not begin with a service"), "{}", text(&out.stderr));
}

fn hingestage(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hingestage")).args(args).env_remove("RELAY_CONFIG").output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}
