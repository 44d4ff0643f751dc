//! Gateways that take turns at the counter: real programs, words among them, and faults between.

mod peers;

use peers::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Two gateways with turns, before a counter that adds.
struct Fleet {
    admins: Vec<SocketAddr>,
    folder: Folder,
    discovery: Discovery,
    counter: Counter,
    calls: Arc<Mutex<Vec<(String, f64)>>>,
}

impl Fleet {
    fn new(answers: bool) -> Fleet {
        let discovery = Discovery::start();
        discovery.list(2, true, &[]);
        let calls = Arc::new(Mutex::new(Vec::<(String, f64)>::new()));
        let seen = calls.clone();
        let counter = Counter::start_with(move |words, _| {
            let mut calls = seen.lock().unwrap();
            calls.push((words[1].clone(), words[2].parse().unwrap()));
            let sum = calls.iter().filter(|(name, _)| *name == words[1]).map(|(_, n)| n).sum();
            answers.then(|| total(sum))
        });
        let admins = (0..2).map(|_| free()).collect();
        Fleet { admins, folder: Folder::new(), discovery, counter, calls }
    }

    fn start(&self, me: usize) -> Gateway {
        let mut config = config(self.discovery.addr, &[]);
        config["admin"] = json!(self.admins[me].to_string());
        config["counter"] = json!(self.counter.addr.to_string());
        config["settings"]["familyInfo"]["mayCount"] = json!(true);
        config["settings"]["instances"] = json!(2);
        config["settings"]["me"] = json!(me);
        let path = self.folder.0.join(format!("operator-{me}.lisp"));
        let (other, at) = (1 - me, self.admins[1 - me]);
        let text =
            format!("(fleet (turns yes) (lease 0.5) (absent 0.7) (settles 0.7) (peer {other} \"{at}\"))");
        std::fs::write(&path, text).unwrap();
        Gateway::start_with(&config, &path)
    }

    /// What a gateway answers to a word, once the counter's side is up.
    fn says(&self, me: usize, word: &str) -> Message {
        let request =
            format!("POST /turns HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{word}", word.len());
        Client::to(self.admins[me]).expect("the operators' address takes no connection").ask(&request)
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_looker_adds_up_what_it_is_told_and_calls_the_counter_for_all() {
    let fleet = Fleet::new(true);
    let _gateway = fleet.start(0);
    until("the counter is never called", || {
        fleet.says(0, "turns-1 1\nup.1 0 8000\n").status() == 200 && !fleet.calls.lock().unwrap().is_empty()
    });
    // One call at once, and one more for each two seconds that the machine took over all that follows.
    let begun = Instant::now();
    let due = || 1 + (begun.elapsed().as_secs_f64() / 2.0) as usize;
    let first = fleet.says(0, "turns-1 1\na.1 2.5 60000\nb.1 1 60000\n");
    assert_eq!((first.status(), first.body.as_str()), (200, "turns-1 said\ntotal 2.5\ntotal 1\n"));
    for n in 1..=20 {
        let body = fleet.says(0, "turns-1 1\na.1 1 60000\n").body;
        assert_eq!(body, format!("turns-1 said\ntotal {}\n", 2.5 + f64::from(n)));
    }
    let of_a = |calls: &[(String, f64)]| calls.iter().filter(|(name, _)| name == "a.1").count();
    let called = of_a(&fleet.calls.lock().unwrap());
    let took = begun.elapsed();
    assert!((1..=due()).contains(&called), "the next call is due after two seconds: {called} in {took:?}");
    until("what was told never comes to the counter", || {
        let calls = fleet.calls.lock().unwrap();
        calls.iter().filter(|(name, _)| name == "a.1").map(|(_, n)| n).sum::<f64>() == 22.5
    });
    let called = of_a(&fleet.calls.lock().unwrap());
    assert!((2..=due()).contains(&called), "{called} calls in {:?}", begun.elapsed());
}

#[test]
fn a_looker_whose_counter_is_silent_answers_with_what_it_was_told() {
    let fleet = Fleet::new(false);
    let _gateway = fleet.start(0);
    until("a gateway without a counter tells nobody", || {
        fleet.says(0, "turns-1 1\na.1 0 60000\n").body == "turns-1 said\ntotal 0\n"
    });
    assert_eq!(fleet.says(0, "turns-1 1\na.1 4 60000\n").body, "turns-1 said\ntotal 4\n");
    assert_eq!(fleet.says(0, "turns-1 1\na.1 1 60000\n").body, "turns-1 said\ntotal 5\n");
}

#[test]
fn words_pass_on_one_connection_and_what_is_no_word_ends_nothing() {
    let fleet = Fleet::new(false);
    let _gateway = fleet.start(0);
    let ask = |client: &mut Client, word: &str| {
        client
            .ask(&format!("POST /turns HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{word}", word.len()))
    };
    let mut client = Client::to(fleet.admins[0]).unwrap();
    let mut told = 0;
    for word in ["", "turns-1 x\n", "turns-1 1\na NaN 1\n", "turns-2 1\n"] {
        assert_eq!(ask(&mut client, word).status(), 400, "{word}");
        told += 1;
        let answer = ask(&mut client, &format!("turns-1 1\na.{told} {told} 9000\n"));
        assert_eq!(answer.body, format!("turns-1 said\ntotal {told}\n"));
    }
    let mut operator = Client::to(fleet.admins[0]).unwrap();
    let says = operator.ask("GET /fleet HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(says.body.contains("turns: looks for 4 names"), "{}", says.body);
    assert_eq!(says.header("connection"), Some("close"), "operators have one call a connection");
    assert_eq!(ask(&mut client, "turns-1 1\na.4 1 9000\n").body, "turns-1 said\ntotal 5\n");
}

#[test]
fn connections_that_stay_keep_out_no_operator() {
    let fleet = Fleet::new(false);
    let _gateway = fleet.start(0);
    let ready = || {
        let mut operator = Client::to(fleet.admins[0]).unwrap();
        operator.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status()
    };
    until("it is never ready", || ready() == 200);
    let word = "turns-1 1\na.1 1 9000\n";
    let request = format!("POST /turns HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{word}", word.len());
    // More than the calls of operators that are taken at once.
    let mut lanes: Vec<Client> = Vec::new();
    for _ in 0..20 {
        let mut lane = Client::to(fleet.admins[0]).unwrap();
        assert_eq!(lane.ask(&request).status(), 200);
        lanes.push(lane);
    }
    assert_eq!(ready(), 200);
    let again: Vec<u16> = lanes.iter_mut().map(|lane| lane.ask(&request).status()).collect();
    assert_eq!(again, [200; 20], "and operators end none of them");
}

#[test]
fn one_that_ends_sends_what_it_was_told_to_the_counter() {
    let fleet = Fleet::new(true);
    let mut gateway = fleet.start(0);
    until("the counter is never called", || {
        fleet.says(0, "turns-1 1\na.1 1 60000\n").status() == 200 && !fleet.calls.lock().unwrap().is_empty()
    });
    let told = |body: &str| body.trim().rsplit(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap();
    let last = told(&fleet.says(0, "turns-1 1\na.1 7 60000\n").body);
    gateway.terminate();
    assert_eq!(gateway.exit_code(), Some(0));
    let calls = fleet.calls.lock().unwrap();
    assert_eq!(calls.iter().map(|(_, n)| n).sum::<f64>(), last);
}

#[test]
fn without_the_field_no_turns_are_taken() {
    let discovery = Discovery::start();
    discovery.list(2, true, &[]);
    let admin = free();
    let mut config = config(discovery.addr, &[]);
    config["admin"] = json!(admin.to_string());
    let _gateway = Gateway::start(&config);
    let answer =
        Client::to(admin).unwrap().ask("POST /turns HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(answer.status(), 404);
}
