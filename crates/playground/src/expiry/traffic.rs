//! Requests of the tenant whose trial runs out, and what came of each try.

use crate::clients::{attempt_id, is_served, Ask};
use crate::http::{CallError, Connection};
use crate::layout::{Layout, ProcessSpec, Program};
use crate::operator::{CATALOG_PREFIX, ORDERS_PREFIX, REPORTS_PREFIX, TRIAL_KEY, TRIAL_RATE};
use hyper::header::RETRY_AFTER;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// Tries a second over all proxies, of the quota.
const DEMAND: f64 = 0.9;
/// Of so many tries one must not be repeated, and one is a report.
const MUTATING_EVERY: u64 = 4;
const REPORT_EVERY: u64 = 10;
/// How long one try may take.
const TRY_WITHIN: Duration = Duration::from_millis(2_500);
/// How long a report is tried again.
const REPORT_PATIENCE: Duration = Duration::from_secs(60);
/// Shortest and longest pause before a report is tried again.
const REPORT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Pause between two looks at whether all proxies serve.
const LOOK: Duration = Duration::from_millis(50);

/// What a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// May be repeated.
    Lookup,
    /// Must not run twice, and is refused last.
    Order,
    /// May wait.
    Report,
}

/// What a try ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Served,
    /// Refused by a step before the end.
    Slowed,
    /// Refused as the trial has ended.
    Ended,
    /// Refused as the step could not be told, or for another reason that promises that it has not run.
    Refused,
    /// Nothing is known of it.
    Unknown,
}

/// One try.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub id: String,
    pub kind: Kind,
    /// Place of the proxy.
    pub proxy: usize,
    pub begun: Instant,
    pub end: End,
}

/// All requests of the tenant.
pub(super) struct Traffic {
    proxies: Vec<SocketAddr>,
    names: Vec<String>,
    pub tries: RefCell<Vec<Try>>,
    /// Reports that were asked for, and those that arrived.
    pub reports: Cell<(u64, u64)>,
    /// Places of proxies that were killed or stood still.
    pub disturbed: RefCell<BTreeSet<usize>>,
    /// Whether two operators set terms at once.
    pub operators_race: Cell<bool>,
    stopping: Cell<bool>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Traffic {
    pub fn new(layout: &Layout) -> Traffic {
        Traffic {
            proxies: layout.proxies.iter().map(|proxy| proxy.http()).collect(),
            names: layout.proxies.iter().map(|proxy| proxy.name.clone()).collect(),
            tries: RefCell::default(),
            reports: Cell::default(),
            disturbed: RefCell::default(),
            operators_race: Cell::default(),
            stopping: Cell::default(),
            tasks: RefCell::default(),
        }
    }

    /// Notes which proxies a fault strikes.
    pub fn disturbed(&self, specs: &[ProcessSpec]) {
        let proxies = specs.iter().filter(|spec| spec.program == Program::Proxy);
        let places = proxies.filter_map(|spec| self.names.iter().position(|name| *name == spec.machine.name));
        self.disturbed.borrow_mut().extend(places);
    }

    /// Notes that answers of workers get lost: of requests that must not be repeated nothing may be known, wherever.
    pub fn answers_lost(&self) {
        self.disturbed.borrow_mut().extend(0..self.proxies.len());
    }

    /// Waits until every proxy has served the tenant.
    pub async fn wait_until_served(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        for proxy in &self.proxies {
            let ask = Ask { mutating: false, path: CATALOG_PREFIX.to_owned(), key: Some(TRIAL_KEY) };
            while !ask.send_to(*proxy).await.is_ok_and(|reply| is_served(&reply)) {
                if Instant::now() >= until {
                    return Err(format!("{proxy} does not serve"));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Sends the same to every proxy from now on.
    pub fn start(self: &Rc<Self>) {
        let every = Duration::from_secs_f64(self.proxies.len() as f64 / (f64::from(TRIAL_RATE) * DEMAND));
        for place in 0..self.proxies.len() {
            let traffic = self.clone();
            let task = spawn_local(async move {
                for number in 0u64.. {
                    // Evenly, but not in step with each other.
                    sleep(every.mul_f64(0.5 + fastrand::f64())).await;
                    if traffic.stopping.get() {
                        return;
                    }
                    let traffic = traffic.clone();
                    let asking = spawn_local(async move { traffic.ask(place, number).await });
                    drop(asking);
                }
            });
            self.tasks.borrow_mut().push(task);
        }
    }

    /// Ends all that goes on.
    pub async fn stop(&self) {
        self.stopping.set(true);
        sleep(TRY_WITHIN).await;
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    async fn ask(&self, place: usize, number: u64) {
        if number % REPORT_EVERY == 1 {
            return self.report(place, number).await;
        }
        let mutating = number.is_multiple_of(MUTATING_EVERY);
        let (kind, prefix) =
            if mutating { (Kind::Order, ORDERS_PREFIX) } else { (Kind::Lookup, CATALOG_PREFIX) };
        self.attempt(place, kind, &format!("{prefix}{number}")).await;
    }

    /// A report is asked for until it arrives, at one proxy after another.
    async fn report(&self, place: usize, number: u64) {
        let (asked, arrived) = self.reports.get();
        self.reports.set((asked + 1, arrived));
        let until = Instant::now() + REPORT_PATIENCE;
        let mut place = place;
        while Instant::now() < until {
            let (end, wait) = self.attempt(place, Kind::Report, &format!("{REPORTS_PREFIX}{number}")).await;
            if end == End::Served {
                let (asked, arrived) = self.reports.get();
                return self.reports.set((asked, arrived + 1));
            }
            sleep(wait.clamp(REPORT_PAUSE.0, REPORT_PAUSE.1)).await;
            place = (place + 1) % self.proxies.len();
        }
    }

    /// One try. Gives how it ended, and when to come again.
    async fn attempt(&self, place: usize, kind: Kind, path: &str) -> (End, Duration) {
        let (id, begun) = (attempt_id(), Instant::now());
        let ask = Ask { mutating: kind == Kind::Order, path: path.to_owned(), key: Some(TRIAL_KEY) };
        let mut wait = Duration::ZERO;
        let sent = async {
            let mut connection = Connection::open(self.proxies[place]).await?;
            connection.send(ask.request(&id), TRY_WITHIN).await
        };
        let end = match timeout(TRY_WITHIN, sent).await.unwrap_or(Err(CallError::Timeout)) {
            Ok(reply) if is_served(&reply) => End::Served,
            Ok(reply) => {
                let told = reply.headers.get(RETRY_AFTER).and_then(|wait| wait.to_str().ok()?.parse().ok());
                wait = told.and_then(|told| Duration::try_from_secs_f64(told).ok()).unwrap_or_default();
                end_of(reply.status, &reply.body)
            }
            Err(CallError::NotSent) => End::Refused,
            Err(_) => End::Unknown,
        };
        self.tries.borrow_mut().push(Try { id, kind, proxy: place, begun, end });
        (end, wait)
    }
}

/// The end that an answer of a proxy's own stands for.
fn end_of(status: StatusCode, body: &[u8]) -> End {
    match (status, body) {
        (StatusCode::TOO_MANY_REQUESTS, b"the tenant's trial has ended") => End::Ended,
        (StatusCode::TOO_MANY_REQUESTS, b"the tenant's trial is running out") => End::Slowed,
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => End::Refused,
        _ => End::Unknown,
    }
}
