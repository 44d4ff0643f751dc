//! A change of policy with keepers as processes: what operators see, and what keepers do when they are lost, stalled
//! and asked by two at once. Gateways are played by the test where the case is the keepers'.

mod peers;

use hingestage_policy_change::rollout::{Change, LeaseConfig, LeaseRequest, Micros, Mode, Version};
use hingestage_policy_change::state::{LeaseCall, ProposeRequest};
use hingestage_policy_store::client::{CallFailure, KeeperClient};
use hyper::Method;
use peers::free;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Instant};

/// Longer than anything here takes on the slowest machine.
const PATIENCE: Duration = Duration::from_secs(40);
const FIGURES: LeaseConfig = LeaseConfig { lease: 1_000_000, clock_error: 100_000 };
/// For cases in which a gateway must keep its lease however slow the machine is.
const LONG_LEASE: LeaseConfig = LeaseConfig { lease: 10_000_000, ..FIGURES };

/// The exit code of a command of which it is not known what became.
const UNKNOWN: i32 = 5;
/// Between two questions of a gateway.
const PAUSE: Duration = Duration::from_millis(50);

const DOCUMENT: &str = "(policy (form 1) (version 1) (plan \"p\" (quota 40 60))
  (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts 2)))";

fn document(version: u64, quota: u64) -> String {
    DOCUMENT
        .replace("(version 1)", &format!("(version {version})"))
        .replace("(quota 40", &format!("(quota {quota}"))
}

/// Keepers in a folder of their own.
struct Set {
    folder: PathBuf,
    lease_config: LeaseConfig,
    at: BTreeMap<u64, SocketAddr>,
    running: BTreeMap<u64, Child>,
}

impl Set {
    fn new(name: &str, count: u64) -> Set {
        Set::with(FIGURES, name, count)
    }

    fn with(lease_config: LeaseConfig, name: &str, count: u64) -> Set {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("changes-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let at: BTreeMap<u64, SocketAddr> = (0..count).map(|number| (number, free())).collect();
        fs::write(folder.join("first.lisp"), DOCUMENT).unwrap();
        let mut set = Set { folder, lease_config, at, running: BTreeMap::new() };
        (0..count).for_each(|number| set.start(number, &["--begin"]));
        set
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn start(&mut self, number: u64, how: &[&str]) {
        let all: String = self.at.iter().map(|(n, at)| format!(" ({n} \"{at}\")")).collect();
        let folder = self.folder.display().to_string();
        let seconds = |span: Micros| span as f64 / 1e6;
        let (lease, error) = (seconds(self.lease_config.lease), seconds(self.lease_config.clock_error));
        let text = format!(
            "(keeper (number {number}) (folder \"{folder}/k{number}\") (first \"{folder}/first.lisp\")
              (keepers{all}) (lease {lease}) (error {error}) (heartbeat 0.05))"
        );
        let file = self.file(&format!("keeper-{number}.lisp"), &text);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{number}")))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hingestage"))
            .args(["keep", &file])
            .args(how)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.running.insert(number, child.unwrap());
    }

    fn kill(&mut self, number: u64) {
        let mut child = self.running.remove(&number).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn signal(&self, number: u64, signal: &str) {
        let id = self.running[&number].id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn client(&self) -> KeeperClient {
        KeeperClient::new(self.at.clone(), PATIENCE)
    }

    fn command(&self, args: &[&str]) -> Command {
        let named: Vec<String> = self.at.iter().map(|(n, at)| format!("{n}={at}")).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hingestage"));
        command.arg("policy").args(args).env("HINGESTAGE_KEEPERS", named.join(","));
        command
    }

    async fn says(&self, args: &[&str]) -> (i32, String) {
        let mut command = self.command(args);
        let output: Output = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
        let said = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap(), String::from_utf8(said).unwrap())
    }

    async fn status(&self) -> Value {
        self.client().ask(Method::GET, "/status", &()).await.unwrap()
    }
}

impl Drop for Set {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn unix() -> Micros {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_micros() as Micros
}

/// What a gateway is answered, in short.
#[derive(Debug, PartialEq)]
struct Word {
    in_force: u64,
    change: Option<Change>,
}

/// Asks as a gateway does.
async fn ask(
    client: &mut KeeperClient,
    gateway: &str,
    ready: Option<u64>,
    rejected: Option<u64>,
) -> Result<Word, CallFailure> {
    ask_with(FIGURES, client, gateway, ready, rejected).await
}

/// Asks as a gateway with these figures does.
async fn ask_with(
    lease_config: LeaseConfig,
    client: &mut KeeperClient,
    gateway: &str,
    ready: Option<u64>,
    rejected: Option<u64>,
) -> Result<Word, CallFailure> {
    let gateway = gateway.to_owned();
    let request = LeaseRequest {
        gateway,
        incarnation: 1,
        sent_at: unix(),
        mode: Mode::Stop,
        ready,
        rejected,
        probe_only: false,
    };
    let answer: Value = client.ask(Method::POST, "/ask", &LeaseCall { request, lease_config }).await?;
    let change = serde_json::from_value(answer["Answer"]["change"].clone()).unwrap();
    Ok(Word { in_force: answer["Answer"]["force"]["number"].as_u64().unwrap(), change })
}

async fn propose(client: &mut KeeperClient, text: String, within: u64) -> Result<Version, CallFailure> {
    let proposed = ProposeRequest { text, at: 0, within: within * 1_000_000, confirmed: false };
    client.ask(Method::POST, "/propose", &proposed).await
}

/// A gateway that is ready for whatever is proposed, until a version is in force. Gives the versions that it was told
/// are in force, in their order.
async fn follow(set: &Set, gateway: &str, until: u64) -> Vec<u64> {
    let (mut client, begun) = (set.client(), Instant::now());
    let (mut ready, mut in_force) = (None, Vec::new());
    while begun.elapsed() < PATIENCE {
        let word = ask_with(set.lease_config, &mut client, gateway, ready, None).await.unwrap();
        in_force.push(word.in_force);
        in_force.dedup();
        if word.in_force >= until {
            return in_force;
        }
        ready = word.change.map(|change| change.version().number).or(ready);
        sleep(PAUSE).await;
    }
    panic!("version {until} is not in force");
}

#[tokio::test]
async fn what_operators_ask_ends_with_what_became_of_it() {
    let set = Set::with(LONG_LEASE, "codes", 3);
    let mut client = set.client();
    ask_with(LONG_LEASE, &mut client, "n1", None, None).await.unwrap();
    let (code, said) = set.says(&["status"]).await;
    assert_eq!(code, 0, "{said}");
    assert!(said.contains("in force: version 1") && said.contains("n1 (stop): serves"), "{said}");
    let slip = set.file("slip.lisp", &document(2, 0));
    let (code, said) = set.says(&["propose", &slip]).await;
    assert_eq!(code, 3, "{said}");
    assert!(said.contains("wants a word more"), "{said}");
    let bad = set.file("bad.lisp", "(policy (form 1) (version x))");
    assert_eq!(set.says(&["propose", &bad]).await.0, 2);
    let second = set.file("second.lisp", &document(2, 50));
    // A gateway asks until the operator is answered, and is never ready.
    let args = ["propose", &second, "--wait", "--deadline", "1.5"];
    let called_off = {
        let operator = set.says(&args);
        tokio::pin!(operator);
        loop {
            let word = ask_with(LONG_LEASE, &mut client, "n1", None, None).await.unwrap();
            assert_eq!(word.in_force, 1, "called off, and in force");
            if let Ok(ended) = timeout(PAUSE, &mut operator).await {
                break ended;
            }
        }
    };
    assert_eq!(called_off.0, 4, "{}", called_off.1);
    assert!(called_off.1.contains("0 of 1 ready; waits for n1"), "{}", called_off.1);
    let third = set.file("third.lisp", &document(3, 50));
    let args = ["propose", &third, "--wait"];
    let (done, in_force) = tokio::join!(set.says(&args), follow(&set, "n1", 3));
    assert_eq!(in_force, [1, 3], "version 2 was called off");
    assert_eq!(done.0, 0, "{}", done.1);
    assert!(done.1.contains("in force everywhere"), "{}", done.1);
    let (code, said) = set.says(&["history"]).await;
    assert_eq!(code, 0);
    assert!(said.contains("version 2: called off") && said.contains("version 3: in force from"), "{said}");
    assert!(set.says(&["history", "--text", "3"]).await.1.contains("(quota 50 60)"));
    assert_eq!(set.says(&["abort", "3"]).await.0, 1, "it is decided");
    assert_eq!(set.says(&["declare-gone", "n9"]).await.0, 1, "nobody knows it");
    assert_eq!(set.says(&["declare-gone", "n1"]).await.0, 0);
    let other = set.file("other.lisp", &document(3, 60));
    let (code, said) = set.says(&["propose", &other]).await;
    assert_eq!(code, 1, "the same number with other contents: {said}");
}

/// The other end of it: what a gateway that stops without a lease is not ready for goes on without it, once its lease is
/// over. It is in force then, and nobody is told that it was called off.
#[tokio::test]
async fn a_change_goes_on_without_a_gateway_whose_lease_is_over() {
    let set = Set::new("lapsed", 3);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    let second = set.file("second.lisp", &document(2, 50));
    let (code, said) = set.says(&["propose", &second, "--wait", "--deadline", "30"]).await;
    assert_eq!(code, 0, "{said}");
    assert!(said.contains("in force everywhere"), "{said}");
    let (_, history) = set.says(&["history"]).await;
    assert!(history.contains("version 2: in force from") && !history.contains("called off"), "{history}");
    assert_eq!(ask(&mut client, "n1", None, None).await.unwrap().in_force, 2);
}

#[tokio::test]
async fn keepers_that_cannot_be_asked_leave_it_unknown_and_no_keepers_are_named_so() {
    let mut set = Set::new("unknown", 1);
    set.status().await;
    set.kill(0);
    let file = set.file("second.lisp", &document(2, 50));
    let (code, said) = set.says(&["propose", &file]).await;
    assert_eq!(code, UNKNOWN, "{said}");
    let mut command = set.command(&["status"]);
    let output = command.env_remove("HINGESTAGE_KEEPERS").output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[tokio::test]
async fn of_two_proposers_at_once_one_wins_and_the_other_is_told() {
    let set = Set::with(LONG_LEASE, "two", 3);
    let (mut one, mut other) = (set.client(), set.client());
    ask_with(LONG_LEASE, &mut one, "n1", None, None).await.unwrap();
    let (first, second) =
        tokio::join!(propose(&mut one, document(2, 50), 20), propose(&mut other, document(2, 60), 20));
    let refused = |outcome: &Result<Version, CallFailure>| matches!(outcome, Err(CallFailure::Refused(_)));
    assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
    assert!(refused(&first) || refused(&second));
    let winner = first.or(second).unwrap();
    // The same once more is the same change.
    let quota = if set.status().await["change"]["Proposed"]["digest"] == serde_json::json!(winner.digest) {
        ""
    } else {
        "?"
    };
    assert_eq!(quota, "", "the one that was told so is under way");
    follow(&set, "n1", 2).await;
}

/// Once decided, an abort is refused; aborted, it is never in force.
#[tokio::test]
async fn of_an_abort_and_a_decision_one_comes_first() {
    let set = Set::new("abort", 3);
    let mut client = set.client();
    for version in 2..8 {
        ask(&mut client, "n1", None, None).await.unwrap();
        propose(&mut client, document(version, 40 + version), 20).await.unwrap();
        let (mut gateway, mut operator) = (set.client(), set.client());
        let (asked, aborted) = tokio::join!(
            ask(&mut gateway, "n1", Some(version), None),
            operator.ask::<Value>(Method::POST, "/abort", &version)
        );
        asked.unwrap();
        let history = set.status().await["history"].clone();
        let fate = history.as_array().unwrap().iter().find(|change| change[0]["number"] == version).unwrap();
        assert_eq!(aborted.is_ok(), fate[1].get("CalledOff").is_some(), "{aborted:?} {fate}");
        if aborted.is_err() {
            follow(&set, "n1", version).await;
        }
    }
}

#[tokio::test]
async fn one_that_cannot_apply_it_calls_it_off_everywhere() {
    let set = Set::with(LONG_LEASE, "cannot", 3);
    let mut client = set.client();
    ask_with(LONG_LEASE, &mut client, "n1", None, None).await.unwrap();
    ask_with(LONG_LEASE, &mut client, "n2", None, None).await.unwrap();
    propose(&mut client, document(2, 50), 20).await.unwrap();
    ask_with(LONG_LEASE, &mut client, "n1", Some(2), None).await.unwrap();
    let word = ask_with(LONG_LEASE, &mut client, "n2", None, Some(2)).await.unwrap();
    assert_eq!(word, Word { in_force: 1, change: None });
    assert!(set.says(&["history"]).await.1.contains("gateway n2 can't apply version 2"));
}

#[tokio::test]
async fn a_change_outlives_the_loss_of_any_keeper_at_any_step() {
    let mut set = Set::new("loss", 3);
    let mut version = 1;
    for lost in 0..3 {
        for step in 0..2 {
            version += 1;
            let mut client = set.client();
            ask(&mut client, "n1", None, None).await.unwrap();
            if step == 0 {
                set.kill(lost);
            }
            propose(&mut client, document(version, 40 + version), 30).await.unwrap();
            if step == 1 {
                set.kill(lost);
            }
            follow(&set, "n1", version).await;
            set.start(lost, &[]);
        }
    }
    let history = set.status().await["history"].clone();
    let in_force = history.as_array().unwrap().iter().filter(|change| change[1].get("InForce").is_some());
    assert_eq!(in_force.count(), 6);
}

#[tokio::test]
async fn without_a_majority_nothing_changes_and_nobody_is_given_word() {
    let mut set = Set::new("majority", 5);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    (0..3).for_each(|number| set.kill(number));
    let mut hasty = KeeperClient::new(set.at.clone(), Duration::from_secs(3));
    assert!(matches!(ask(&mut hasty, "n1", None, None).await, Err(CallFailure::OutcomeUnknown(_))));
    assert!(matches!(propose(&mut hasty, document(2, 50), 30).await, Err(CallFailure::OutcomeUnknown(_))));
    set.start(1, &[]);
    propose(&mut client, document(2, 50), 30).await.unwrap();
    follow(&set, "n1", 2).await;
}

/// Stopped past an election and awake again, the one that led must not go by what it believed.
#[tokio::test]
async fn a_keeper_that_stood_still_past_an_election_gives_no_word_of_its_old_belief() {
    let set = Set::new("stall", 3);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    let leader = leader(&set).await;
    set.signal(leader, "-STOP");
    propose(&mut client, document(2, 50), 30).await.unwrap();
    follow(&set, "n1", 2).await;
    set.signal(leader, "-CONT");
    let own = BTreeMap::from([(leader, set.at[&leader])]);
    // It knows better, or says that another leads, or that it does not know.
    match ask(&mut KeeperClient::new(own, Duration::from_secs(1)), "n1", None, None).await {
        Ok(word) => assert_eq!(word.in_force, 2),
        Err(failed) => assert!(matches!(failed, CallFailure::OutcomeUnknown(_)), "{failed:?}"),
    }
    assert_eq!(ask(&mut client, "n1", None, None).await.unwrap().in_force, 2);
}

/// The keeper that answers a question itself.
async fn leader(set: &Set) -> u64 {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        for (number, at) in &set.at {
            let own = BTreeMap::from([(*number, *at)]);
            if ask(&mut KeeperClient::new(own, Duration::ZERO), "n1", None, None).await.is_ok() {
                return *number;
            }
        }
    }
    panic!("no keeper leads");
}

#[tokio::test]
async fn a_keeper_that_lost_its_store_does_not_start_as_if_it_had_never_voted() {
    let mut set = Set::new("store", 3);
    set.status().await;
    set.kill(2);
    fs::remove_dir_all(set.folder.join("k2")).unwrap();
    set.start(2, &[]);
    let mut child = set.running.remove(&2).unwrap();
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert_eq!(status.code(), Some(1));
    assert!(fs::read_to_string(set.folder.join("log-2")).unwrap().contains("there is no store"));
}

#[tokio::test]
async fn a_clock_that_is_ahead_is_told_so_and_other_figures_as_well() {
    let set = Set::new("clock", 1);
    let mut client = set.client();
    let request = |sent_at| LeaseRequest {
        gateway: "n1".into(),
        incarnation: 1,
        sent_at,
        mode: Mode::Stop,
        ready: None,
        rejected: None,
        probe_only: false,
    };
    let asked = LeaseCall { request: request(unix() + 5_000_000), lease_config: FIGURES };
    let ahead: Result<Value, CallFailure> = client.ask(Method::POST, "/ask", &asked).await;
    assert!(matches!(&ahead, Err(CallFailure::Refused(why)) if why.contains("ahead")), "{ahead:?}");
    let asked =
        LeaseCall { request: request(unix()), lease_config: LeaseConfig { lease: 9_000_000, ..FIGURES } };
    let other: Result<Value, CallFailure> = client.ask(Method::POST, "/ask", &asked).await;
    assert!(matches!(&other, Err(CallFailure::Refused(why)) if why.contains("a lease of 1 s")), "{other:?}");
}

/// Whatever is sent to a keeper, it goes on.
#[tokio::test]
async fn what_is_malformed_is_answered_so_and_ends_nothing() {
    let set = Set::new("malformed", 1);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    for path in [
        "/ask",
        "/propose",
        "/abort",
        "/gone",
        "/keepers",
        "/raft/append",
        "/raft/vote",
        "/raft/snapshot",
        "/x",
    ] {
        for body in [serde_json::json!("?"), serde_json::json!({"text": 1}), serde_json::json!([[[]]])] {
            let answer: Result<Value, CallFailure> = client.ask(Method::POST, path, &body).await;
            let doubted = matches!(answer, Err(CallFailure::Refused(_)));
            assert!(doubted, "{path} {body}: {answer:?}");
        }
    }
    ask(&mut client, "n1", None, None).await.unwrap();
}

#[tokio::test]
async fn a_keeper_lost_for_good_is_replaced_by_a_new_one() {
    let mut set = Set::new("replace", 3);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    set.kill(2);
    // A fourth takes its place: first in everybody's file, then as a process, then in the log.
    set.at.insert(3, free());
    for number in 0..2 {
        set.kill(number);
        set.start(number, &[]);
    }
    set.start(3, &["--join"]);
    // On a machine that stalls keepers elect again, and what became of it is unknown for longer than the command waits: an
    // operator says it once more.
    let begun = Instant::now();
    let (code, said) = loop {
        let (code, said) = set.says(&["keepers", "0", "1", "3"]).await;
        if code != UNKNOWN || begun.elapsed() > PATIENCE {
            break (code, said);
        }
    };
    assert_eq!(code, 0, "{said}");
    set.kill(0);
    let mut client = set.client();
    propose(&mut client, document(2, 50), 30).await.unwrap();
    follow(&set, "n1", 2).await;
}

/// Kept connections are places: with as many as there are, whoever comes next must have one soon.
#[tokio::test]
async fn connections_that_are_kept_and_say_nothing_keep_nobody_out() {
    let set = Set::new("crowd", 1);
    let mut client = set.client();
    ask(&mut client, "n1", None, None).await.unwrap();
    let silent: Vec<_> = (0..300).map(|_| std::net::TcpStream::connect(set.at[&0]).unwrap()).collect();
    let mut next = KeeperClient::new(set.at.clone(), Duration::from_secs(9));
    ask(&mut next, "n1", None, None).await.unwrap();
    drop(silent);
    // And those who ask on connections that they keep come in turn.
    let asking: Vec<_> = (0..300)
        .map(|n| {
            let at = set.at[&0];
            tokio::spawn(async move {
                let mut way = hingestage_policy_store::http_client::Connection::new(at);
                for _ in 0..3 {
                    let gateway = format!("g{n}");
                    let request = LeaseRequest {
                        gateway,
                        incarnation: 1,
                        sent_at: unix(),
                        mode: Mode::Stop,
                        ready: None,
                        rejected: None,
                        probe_only: false,
                    };
                    let asked = serde_json::to_vec(&LeaseCall { request, lease_config: FIGURES }).unwrap();
                    let call = way.call(Method::POST, "/ask", asked);
                    let answer = tokio::time::timeout(Duration::from_secs(20), call).await;
                    assert!(answer.is_ok_and(|answer| answer.is_ok_and(|(status, _)| status == 200)));
                }
                // It keeps its connection to the end.
                sleep(Duration::from_millis(200)).await;
            })
        })
        .collect();
    for one in asking {
        one.await.unwrap();
    }
}

#[tokio::test]
async fn a_call_that_a_keeper_is_reading_is_answered_before_it_ends() {
    let mut set = Set::new("stopped", 1);
    ask(&mut set.client(), "n1", None, None).await.unwrap();
    let mut call = tokio::net::TcpStream::connect(set.at[&0]).await.unwrap();
    let (head, body) = ("POST /propose HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n", "{}");
    call.write_all(head.as_bytes()).await.unwrap();
    // The head has been read once a later call is answered.
    ask(&mut set.client(), "n1", None, None).await.unwrap();
    set.signal(0, "-TERM");
    sleep(PAUSE).await;
    call.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    timeout(PATIENCE, call.read_to_string(&mut answer)).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    assert!(set.running.remove(&0).unwrap().wait().unwrap().success());
}
