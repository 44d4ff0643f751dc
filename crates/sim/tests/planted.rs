//! The checker bites: defects planted from outside, by wrapping the decisions or the platform of the served
//! gateway, are each found within 2,000 seeds and shrunk to 20 lines or fewer.
//!
//! `cargo test --release -p hingestage-sim --test planted -- --nocapture --test-threads 1` prints the table of
//! `docs/simulation.md`.

use hingestage_gateway::config::Config;
use hingestage_gateway::driver::{gatekeeper, MakeDecisions};
use hingestage_gateway::gateway::{serve, Reload};
use hingestage_platform::{Listener, Platform, Stream};
use hingestage_policy::*;
use hingestage_sim::checker::Violation;
use hingestage_sim::executor::{Sleep, TaskId};
use hingestage_sim::net::{Clock, End, Port, Sim};
use hingestage_sim::scenario::{scenario, srv_scenario};
use hingestage_sim::shrink::shrink;
use hingestage_sim::site;
use hingestage_sim::world::{self, play, Life, Options, Start};
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{mpsc, oneshot};

/// A defect must show within so many seeds, and come to so few lines.
const SEEDS: u64 = 2_000;
const LINES: usize = 20;

/// The first seed on which the defect shows.
fn first(defect: &str, rules: &[&str], options: Options) -> (u64, Violation) {
    // A defect may break another rule first: what is left open also goes out after the final answer.
    let broken = |seed| play(&(options.scenario)(seed), options).broken.filter(|b| rules.contains(&b.rule));
    let found = (0..SEEDS).find_map(|seed| broken(seed).map(|b| (seed, b)));
    found.unwrap_or_else(|| panic!("{defect}: not found in {SEEDS} seeds"))
}

/// Finds the first seed on which the defect shows, shortens its script, and holds the script against the
/// gateway as it is served.
fn caught(defect: &str, rules: &[&str], start: Start) {
    let options = Options { start, ..Options::default() };
    let (seed, broken) = first(defect, rules, options);
    let script = scenario(seed);
    let shrunk = shrink(&script, options, &mut |_, _| {}).expect("it has just failed");
    let (before, after) = (script.lines(), shrunk.script.lines());
    println!("| {defect} | `{}` | {seed} | {before} | {after} |", broken.rule);
    assert!(after <= LINES, "{defect}: {after} lines\n{}", shrunk.script);
    let sound = play(&shrunk.script, Options::default());
    assert_eq!(sound.broken, None, "{defect}: breaks without the defect\n{}", shrunk.script);
    let again = play(&shrunk.script.to_string().parse().unwrap(), options);
    assert_eq!(again.broken, Some(shrunk.broken), "{defect}: the written script fails otherwise");
}

// ---- defects of the decisions ----

type Handle = fn(&mut Gatekeeper, Micros, Event, &mut Vec<Action>);

struct Wrapped(Gatekeeper, Handle);

impl Decide for Wrapped {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        (self.1)(&mut self.0, now, event, out);
    }

    fn pending(&self) -> usize {
        self.0.pending()
    }

    fn avoided(&self) -> usize {
        self.0.avoided()
    }

    fn requests_without_worker(&self) -> u64 {
        self.0.requests_without_worker()
    }
}

fn with(
    decide: MakeDecisions,
) -> impl Fn(Sim, Config, oneshot::Receiver<()>, mpsc::Receiver<Reload>) -> Life {
    move |sim, config, stop, reloads| {
        let stop = async move { drop(stop.await) };
        Box::pin(serve(sim, config, decide, stop, reloads))
    }
}

/// A gateway whose decisions are made by `$make`, a function of settings, seed and time.
macro_rules! decisions {
    ($make:expr) => {{
        fn start(s: Sim, c: Config, stop: oneshot::Receiver<()>, r: mpsc::Receiver<Reload>) -> Life {
            with($make)(s, c, stop, r)
        }
        start
    }};
}

/// A gateway whose events and actions pass through `$handle`.
macro_rules! handling {
    ($handle:expr) => {
        decisions!(|settings, seed, now| { Box::new(Wrapped(Gatekeeper::new(settings, seed, now), $handle)) })
    };
}

#[test]
fn a_push_is_sent_again_after_a_reset() {
    let start = handling!(|inner, now, event, out| {
        let event = match event {
            Event::AttemptDone(done) if done.outcome == Outcome::Reset => {
                Event::AttemptDone(AttemptDone { outcome: Outcome::ConnectFailed, ..done })
            }
            event => event,
        };
        inner.handle(now, event, out);
    });
    caught("a push is sent again after a reset", &["twice"], start);
}

#[test]
fn a_push_that_may_have_run_is_refused() {
    let start = handling!(|inner, now, event, out| {
        inner.handle(now, event, out);
        for action in out.iter_mut() {
            if let Action::Fail(request) = action {
                *action = Action::Refuse { request: request.clone(), retry_after: 0 };
            }
        }
    });
    caught("a push that may have run is refused", &["twice"], start);
}

#[test]
fn a_cancelled_attempt_is_left_open() {
    let start = handling!(|inner, now, event, out| {
        inner.handle(now, event, out);
        for n in (0..out.len()).rev() {
            let Action::Cancel { request, attempt } = out[n].clone() else { continue };
            out.remove(n);
            let (outcome, latency) = (Outcome::Cancelled, 1_000);
            let done = AttemptDone { request, attempt, outcome, latency, closed: false, true_units: None };
            inner.handle(now, Event::AttemptDone(done), out);
        }
    });
    caught("a cancelled attempt is left open", &["twice"], start);
}

#[test]
fn every_request_is_sent_twice() {
    let start = handling!(|inner, now, event, out| {
        inner.handle(now, event, out);
        let doubled: Vec<Action> = out.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        out.extend(doubled);
    });
    caught("every request is sent twice", &["twice"], start);
}

#[test]
fn an_answer_is_forgotten() {
    let start = handling!(|inner, now, event, out| {
        inner.handle(now, event, out);
        out.retain(|action| !matches!(action, Action::Fail(_)));
    });
    caught("a failure is never answered", &["lost"], start);
}

#[test]
fn clients_are_believed_to_wait_twice_as_long() {
    let start = handling!(|inner, now, event, out| {
        let event = match event {
            Event::Request(r) => Event::Request(Request { time_left: r.time_left * 2, ..r }),
            event => event,
        };
        inner.handle(now, event, out);
    });
    caught("clients are believed to wait twice as long", &["lost"], start);
}

#[test]
fn a_ceiling_is_forgotten() {
    let start = decisions!(|mut settings: Settings, seed, now| {
        settings.plans.iter_mut().for_each(|plan| {
            (plan.ceiling_rate, plan.rate, plan.burst) = (0.0, 1_000.0, 1_000.0);
        });
        gatekeeper(settings, seed, now)
    });
    caught("quota and ceiling are forgotten", &["ceilings"], start);
}

#[test]
fn each_gateway_takes_the_whole_ceiling_for_itself() {
    let start = handling!(|inner, now, event, out| {
        let event = match event {
            Event::Request(r) => Event::Request(Request { gateways: 1, ..r }),
            event => event,
        };
        inner.handle(now, event, out);
    });
    caught("each gateway takes the whole ceiling for itself", &["ceilings"], start);
}

#[test]
fn what_a_client_has_left_stays_in_a_table() {
    let start = handling!(|inner, now, event, out| match event {
        Event::AttemptDone(done) if done.outcome == Outcome::Cancelled && done.closed => {}
        event => inner.handle(now, event, out),
    });
    caught("what a client has left stays in a table", &["floor", "liveness"], start);
}

#[test]
fn cold_workers_are_taken_for_warm() {
    let start = handling!(|inner, now, event, out| {
        let event = match event {
            Event::Workers(mut list) => {
                list.workers.iter_mut().for_each(|worker| worker.started = None);
                Event::Workers(list)
            }
            event => event,
        };
        inner.handle(now, event, out);
    });
    caught("cold workers are taken for warm", &["cold"], start);
}

/// A gateway whose settings are bent before its decisions read them.
macro_rules! settings {
    ($bend:expr) => {
        decisions!(|mut settings: Settings, seed, now| {
            let bend: fn(&mut Settings) = $bend;
            bend(&mut settings);
            gatekeeper(settings, seed, now)
        })
    };
}

#[test]
fn a_cold_budget_is_four_times_as_large() {
    let start = settings!(|settings| settings.rules.overload_multiple *= 4.0);
    caught("a cold budget is four times as large", &["cold"], start);
}

#[test]
fn a_cold_budget_is_doubled() {
    let start = settings!(|settings| settings.rules.overload_multiple *= 2.0);
    caught("a cold budget is doubled", &["cold"], start);
}

#[test]
fn a_ceilings_slack_is_used_twice_by_each_gateway() {
    let start = settings!(|settings| settings.plans.iter_mut().for_each(|plan| plan.ceiling_slack *= 2.0));
    caught("a ceiling's slack is used twice", &["ceilings"], start);
}

#[test]
fn the_whole_slack_is_used_by_each_gateway() {
    let start = decisions!(|mut settings: Settings, seed, now| {
        let n = f64::from(settings.instances.max(1));
        settings.plans.iter_mut().for_each(|plan| plan.ceiling_slack *= n);
        gatekeeper(settings, seed, now)
    });
    caught("each gateway uses the whole slack", &["ceilings"], start);
}

#[test]
fn nothing_is_kept_back_for_the_way_of_an_answer() {
    let start = handling!(|inner, now, event, out| {
        let event = match event {
            Event::Request(r) => Event::Request(Request { time_left: r.time_left + 15_000, ..r }),
            event => event,
        };
        inner.handle(now, event, out);
    });
    caught("nothing is kept back for the way of an answer", &["lost"], start);
}

#[test]
fn groups_of_workers_are_taken_for_one() {
    let start =
        settings!(|settings| settings.classes.iter_mut().for_each(|class| class.group = DedupGroup::All));
    caught("groups of workers are taken for one", &["twice"], start);
}

#[test]
fn a_key_is_believed_to_be_remembered_for_ever() {
    let start =
        settings!(|settings| settings.classes.iter_mut().for_each(|class| class.key_window = 60_000_000));
    caught("a key is believed to be remembered for ever", &["twice"], start);
}

#[test]
fn a_repeat_is_written_however_late_its_connection_is() {
    let start = handling!(|inner, now, event, out| {
        inner.handle(now, event, out);
        for action in out.iter_mut() {
            if let Action::Send { timeout, begin_within, .. } = action {
                *begin_within = *timeout;
            }
        }
    });
    caught("a repeat is written however late its connection is", &["twice"], start);
}

// ---- defects of the platform ----

/// How a platform is bent.
#[derive(Clone, Copy, PartialEq)]
enum Bend {
    /// Discovery's word on drains reads as if all were up.
    Drains,
    /// Answers to clients are written twice.
    Answers,
    /// What a worker answers names the request before.
    Ids,
    /// What workers' connections still hold when they are dropped stays open.
    Leak,
}

#[derive(Clone)]
struct Bent {
    sim: Sim,
    bend: Bend,
    /// The id that a worker's last answer named.
    last: Rc<RefCell<Option<Vec<u8>>>>,
}

struct BentStream {
    inner: Option<End>,
    to: Option<SocketAddr>,
    by: Bent,
}

struct BentPort(Port, Bent);

impl BentStream {
    fn inner(&mut self) -> Pin<&mut End> {
        Pin::new(self.inner.as_mut().expect("there until it is dropped"))
    }

    fn leads_to(&self, port: u16) -> bool {
        self.to.is_some_and(|to| to.port() == port)
    }

    /// Changes what has been read; its length stays.
    fn bend(&self, read: &mut [u8]) {
        match self.by.bend {
            Bend::Drains if self.leads_to(site::DISCOVERY_PORT) => {
                replace(read, b"\"draining\"", b"\"up\"      ")
            }
            Bend::Ids if self.leads_to(site::WORKER_PORT) => {
                let Some(at) = find(read, b" run by ").filter(|at| *at >= 16) else { return };
                let id = read[at - 16..at].to_vec();
                if let Some(last) = self.by.last.borrow_mut().replace(id) {
                    read[at - 16..at].copy_from_slice(&last);
                }
            }
            _ => {}
        }
    }
}

fn find(text: &[u8], what: &[u8]) -> Option<usize> {
    text.windows(what.len()).position(|part| part == what)
}

fn replace(text: &mut [u8], what: &[u8], by: &[u8]) {
    while let Some(at) = find(text, what) {
        text[at..at + what.len()].copy_from_slice(by);
    }
}

impl Drop for BentStream {
    fn drop(&mut self) {
        if self.by.bend == Bend::Leak && self.leads_to(site::WORKER_PORT) {
            std::mem::forget(self.inner.take());
        }
    }
}

impl AsyncRead for BentStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.inner().poll_read(cx, buf);
        self.bend(&mut buf.filled_mut()[before..]);
        polled
    }
}

impl AsyncWrite for BentStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = self.inner().poll_write(cx, bytes);
        if self.by.bend == Bend::Answers && self.to.is_none() && bytes.starts_with(b"HTTP/1.1 200") {
            let _ = self.inner().try_write(bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(cx)
    }
}

impl Stream for BentStream {
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.inner.as_ref().expect("there until it is dropped").try_write(bytes)
    }

    fn is_quiet(&self) -> bool {
        self.inner.as_ref().expect("there until it is dropped").is_quiet()
    }
}

impl Listener for BentPort {
    type Stream = BentStream;

    async fn accept(&self) -> io::Result<BentStream> {
        let inner = Some(self.0.accept().await?);
        Ok(BentStream { inner, to: None, by: self.1.clone() })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Platform for Bent {
    type Stream = BentStream;
    type Listener = BentPort;
    type Datagrams = <Sim as Platform>::Datagrams;
    type Sleep = Sleep;
    type Timer = Clock;
    type Task = TaskId;

    fn now(&self) -> Instant {
        self.sim.now()
    }

    fn unix_time(&self) -> Duration {
        self.sim.unix_time()
    }

    fn sleep_until(&self, at: Instant) -> Sleep {
        self.sim.sleep_until(at)
    }

    fn timer(&self) -> Clock {
        self.sim.timer()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskId {
        self.sim.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<BentStream> {
        let inner = Some(self.sim.connect(to).await?);
        Ok(BentStream { inner, to: Some(to), by: self.clone() })
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BentPort> {
        Ok(BentPort(self.sim.listen(at).await?, self.clone()))
    }

    async fn datagrams(&self, at: SocketAddr, peer: Option<SocketAddr>) -> io::Result<Self::Datagrams> {
        self.sim.datagrams(at, peer).await
    }

    fn gauge(&self, table: &'static str, entries: usize) {
        self.sim.gauge(table, entries);
    }

    fn log(&self, line: fmt::Arguments) {
        self.sim.log(line);
    }
}

/// A gateway on a platform that is bent.
macro_rules! bent {
    ($bend:expr) => {{
        fn start(s: Sim, c: Config, stop: oneshot::Receiver<()>, r: mpsc::Receiver<Reload>) -> Life {
            let bent = Bent { sim: s, bend: $bend, last: Rc::default() };
            let stop = async move { drop(stop.await) };
            Box::pin(serve(bent, c, gatekeeper, stop, r))
        }
        start
    }};
}

#[test]
fn drains_are_ignored() {
    caught("drains are ignored", &["drains"], bent!(Bend::Drains));
}

#[test]
fn a_second_answer_follows_the_first() {
    caught("a second answer follows the first", &["lost", "mixed-up"], bent!(Bend::Answers));
}

#[test]
fn answers_go_to_the_wrong_request() {
    caught("answers go to the wrong request", &["mixed-up"], bent!(Bend::Ids));
}

#[test]
fn connections_to_workers_are_never_closed() {
    caught("connections to workers are never closed", &["floor", "twice"], bent!(Bend::Leak));
}

// ---- defects of the life round it ----

#[test]
fn a_stop_loses_what_was_taken() {
    fn start(sim: Sim, c: Config, stop: oneshot::Receiver<()>, r: mpsc::Receiver<Reload>) -> Life {
        let (told, told_too) = (oneshot::channel(), sim.clone());
        let served = world::start(sim, c, told.1, r);
        Box::pin(async move {
            tokio::select! {
                biased;
                ended = served => ended,
                () = async {
                    drop(stop.await);
                    told_too.sleep(Duration::from_millis(20)).await;
                } => {
                    drop(told.0);
                    Ok(())
                }
            }
        })
    }
    caught("a stop loses what was taken", &["lost"], start);
}

#[test]
fn a_reload_ends_the_program() {
    fn start(sim: Sim, c: Config, stop: oneshot::Receiver<()>, mut r: mpsc::Receiver<Reload>) -> Life {
        let (_keep, never) = mpsc::channel(1);
        let served = world::start(sim, c, stop, never);
        Box::pin(async move {
            let _keep = _keep;
            tokio::select! {
                biased;
                ended = served => ended,
                Some(_) = r.recv() => Err("ended by SIGHUP".into()),
            }
        })
    }
    caught("a reload ends the program", &["crash"], start);
}

// ---- defects of the source of workers ----

/// As `caught`, in worlds whose workers come from records.
fn caught_by_records(defect: &str, rules: &[&str], start: Start) {
    let options = Options { start, scenario: srv_scenario, ..Options::default() };
    let (seed, broken) = first(defect, rules, options);
    let sound = play(&srv_scenario(seed), Options::default());
    assert_eq!(sound.broken, None, "{defect}: breaks without the defect");
    println!("| {defect} | `{}` | {seed} |", broken.rule);
}

/// Starts a gateway that follows its name by other settings.
macro_rules! follows {
    ($change:expr) => {{
        fn start(sim: Sim, mut c: Config, stop: oneshot::Receiver<()>, r: mpsc::Receiver<Reload>) -> Life {
            c.srv.iter_mut().for_each($change);
            world::start(sim, c, stop, r)
        }
        start
    }};
}

#[test]
fn a_lifetime_is_ignored() {
    let start = follows!(|srv| srv.settings.lifetimes = (3_600_000_000, 3_600_000_000));
    caught_by_records("a lifetime is ignored", &["liveness"], start);
}

#[test]
fn a_vanished_record_means_nothing() {
    // Whatever vanishes is doubted, for ever.
    let start = follows!(|srv| (srv.settings.shrink_to, srv.settings.shrink_for) = (9.0, 3_600_000_000));
    caught_by_records("a vanished record means nothing", &["drains", "liveness"], start);
}

#[test]
fn new_records_are_taken_for_warm() {
    let start = follows!(|srv| srv.cold_at_start = false);
    caught_by_records("records of the first answer are taken for warm", &["cold"], start);
}
