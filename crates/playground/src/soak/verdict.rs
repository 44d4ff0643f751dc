//! The verdict on a soak, by what clients, operators and workers saw.

use super::clients::{RequestLog, SentRequest};
use super::orders::{Order, OrderLog, SentOrder};
use super::shutdowns::{Shutdown, Shutdowns};
use super::zone_orders::ZoneOrderLog;
use super::{ExchangeEnd, GRACE};
use crate::clients::{promises_not_run, TRY_WITHIN};
use crate::layout::Program;
use hingestage_test_servers::service_worker::Run;
use hyper::StatusCode;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// What was sent so long before a connection closes has been read.
const READ_WITHIN: Duration = Duration::from_millis(200);
/// What was sent so long before SIGTERM has been read.
const READ_BEFORE_SIGNAL: Duration = Duration::from_millis(50);
/// How long before SIGKILL a process answers what is left.
const LAST_ANSWERS: Duration = Duration::from_millis(500);
/// How much earlier than a request's deadline its answer may say that time is up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// What became of the requests and orders of one soak or more.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    served: u64,
    refused: u64,
    /// Answered at their deadline.
    late: u64,
    /// Sent as their connection closed, and not read.
    crossed: u64,
    /// Connections that closed while idle.
    closed_idle: u64,
    orders: u64,
    orders_crossed: u64,
    acknowledged: Option<u32>,
    /// Orders for zones that were sent to a store that died.
    lost_orders: u64,
    shutdowns: u64,
    second_signals: u64,
    /// Seeds that were judged.
    pub judged_seeds: u64,
    /// Seeds in which the soak itself ran late.
    pub void_seeds: u64,
    /// How late the soak itself ran, where that made the seed void.
    late_by: Option<Duration>,
    /// Rules that were broken.
    pub broken: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(late_by) = self.late_by {
            return write!(f, "void: the soak itself ran {late_by:?} late");
        }
        write!(
            f,
            "{} requests served, {} refused, {} late, {} unread at a close, {} connections closed idle; {} orders \
             answered, {} unread, {} lost with a store; {} shutdowns, {} with a second signal; {} rules broken",
            self.served,
            self.refused,
            self.late,
            self.crossed,
            self.closed_idle,
            self.orders,
            self.orders_crossed,
            self.lost_orders,
            self.shutdowns,
            self.second_signals,
            self.broken.len()
        )
    }
}

/// Counts of runs by the request's id.
type RunCounts<'a> = HashMap<&'a str, u32>;

impl Verdict {
    /// Judges one soak.
    pub fn judge(requests: &RequestLog, runs: &[Run], orders: &OrderLog, shutdowns: &Shutdowns) -> Verdict {
        let mut verdict =
            Verdict { closed_idle: requests.closed_idle, judged_seeds: 1, ..Verdict::default() };
        let mut counts = RunCounts::new();
        runs.iter().for_each(|run| *counts.entry(run.attempt.as_str()).or_default() += 1);
        requests.requests.iter().for_each(|request| verdict.judge_request(request, &counts, shutdowns));
        orders.orders.iter().for_each(|order| verdict.judge_order(order, shutdowns));
        shutdowns.all.iter().for_each(|shutdown| verdict.judge_shutdown(shutdown));
        verdict.broken.extend(shutdowns.unasked.iter().cloned());
        verdict
    }

    /// Drops all that was counted, as clients and workers ran late themselves.
    pub fn make_void(&mut self, late_by: Duration) {
        *self = Verdict { void_seeds: 1, late_by: Some(late_by), ..Verdict::default() };
    }

    /// Adds the counts of another soak.
    pub fn add(&mut self, other: &Verdict) {
        self.served += other.served;
        self.refused += other.refused;
        self.late += other.late;
        self.crossed += other.crossed;
        self.closed_idle += other.closed_idle;
        self.orders += other.orders;
        self.orders_crossed += other.orders_crossed;
        self.lost_orders += other.lost_orders;
        self.shutdowns += other.shutdowns;
        self.second_signals += other.second_signals;
        self.judged_seeds += other.judged_seeds;
        self.void_seeds += other.void_seeds;
        self.broken.extend(other.broken.iter().cloned());
    }

    /// Checks the configuration that was read in the end against the acknowledged ones.
    pub fn check_read_back(&mut self, read_back: Option<u32>) {
        if read_back < self.acknowledged {
            self.broken.push(format!(
                "configuration {:08x} was acknowledged, and {read_back:08x?} is read back",
                self.acknowledged.unwrap_or_default()
            ));
        }
    }

    /// Judges whether the last acknowledged order for a zone held, whatever was lost before it.
    pub fn judge_zone_orders(&mut self, orders: &ZoneOrderLog) {
        self.lost_orders += orders.lost;
        self.broken.extend(orders.broken.iter().cloned());
    }

    fn judge_request(&mut self, request: &SentRequest, runs: &RunCounts, shutdowns: &Shutdowns) {
        let ran = runs.get(request.attempt.as_str()).copied().unwrap_or_default();
        let took = request.ended - request.sent;
        let is_proxy = |shutdown: &&Shutdown| {
            shutdown.process.program == Program::Proxy && shutdown.process.machine.http() == request.proxy
        };
        let signalled_at = last_signal_before(shutdowns.all.iter().filter(is_proxy), request.ended);
        let broken = match request.end {
            _ if request.mutating && ran > 1 => Some("ran more than once"),
            ExchangeEnd::Answered(status) if status.is_success() && !request.whole => {
                Some("got a part of its worker's answer for the whole")
            }
            ExchangeEnd::Answered(status) if status.is_success() => {
                self.served += 1;
                None
            }
            ExchangeEnd::Answered(status) if promises_not_run(status) => {
                self.refused += 1;
                (ran > 0).then_some("ran, and was answered with the promise that it has not")
            }
            ExchangeEnd::Answered(status) if is_time_up(status, request, signalled_at) => {
                self.late += 1;
                None
            }
            ExchangeEnd::Answered(_) => Some("failed, though its worker answers"),
            ExchangeEnd::Closed if ran > 0 => Some("ran, and its connection closed with no answer"),
            ExchangeEnd::Closed if was_read(request.sent, request.ended, signalled_at) => {
                Some("was read, and its connection closed with no answer")
            }
            ExchangeEnd::Closed => {
                self.crossed += 1;
                None
            }
            ExchangeEnd::Silent => Some("got no answer"),
        };
        if let Some(broken) = broken {
            let kind = if request.mutating { "mutating" } else { "repeatable" };
            self.broken.push(format!(
                "a {kind} request {broken}: {:?} by {} after {took:?}, {}",
                request.end,
                request.proxy,
                sent_after(request.sent, signalled_at)
            ));
        }
    }

    fn judge_order(&mut self, sent: &SentOrder, shutdowns: &Shutdowns) {
        let is_registry = |shutdown: &&Shutdown| {
            shutdown.process.program == Program::Registry && shutdown.process.machine.name == sent.machine
        };
        let signalled_at = last_signal_before(shutdowns.all.iter().filter(is_registry), sent.ended);
        let broken = match sent.end {
            ExchangeEnd::Answered(status) if status.is_client_error() && status != StatusCode::CONFLICT => {
                Some("was refused")
            }
            ExchangeEnd::Answered(status) => {
                self.orders += 1;
                if let (Order::Change(serial), StatusCode::OK) = (sent.order, status) {
                    self.acknowledged = self.acknowledged.max(Some(serial));
                }
                None
            }
            ExchangeEnd::Closed if was_read(sent.sent, sent.ended, signalled_at) => {
                Some("was read, and its connection closed with no answer")
            }
            ExchangeEnd::Closed => {
                self.orders_crossed += 1;
                None
            }
            ExchangeEnd::Silent => Some("got no answer"),
        };
        if let Some(broken) = broken {
            let took = sent.ended - sent.sent;
            self.broken.push(format!(
                "{} {broken}: {:?} by {} after {took:?}, {}",
                sent.order,
                sent.end,
                sent.machine,
                sent_after(sent.sent, signalled_at)
            ));
        }
    }

    fn judge_shutdown(&mut self, shutdown: &Shutdown) {
        self.shutdowns += 1;
        self.second_signals += u64::from(shutdown.second_signal);
        if shutdown.killed {
            self.broken.push(format!("{} had not ended when its time was up", shutdown.process));
        }
    }
}

/// When a process was last told to end, up to a point in time.
fn last_signal_before<'a>(shutdowns: impl Iterator<Item = &'a Shutdown>, at: Instant) -> Option<Instant> {
    shutdowns.map(|shutdown| shutdown.signalled_at).filter(|signalled_at| *signalled_at <= at).max()
}

/// Whether a message must have been read: it was sent long enough before the close, or before the signal that led to it.
fn was_read(sent: Instant, closed: Instant, signalled_at: Option<Instant>) -> bool {
    let before_signal = signalled_at.is_some_and(|signalled_at| sent + READ_BEFORE_SIGNAL <= signalled_at);
    before_signal || sent + READ_WITHIN <= closed
}

/// Whether an answer says that time is up, at the request's deadline or when the process answers for the last time.
fn is_time_up(status: StatusCode, request: &SentRequest, signalled_at: Option<Instant>) -> bool {
    let deadline = request.ended - request.sent + DEADLINE_MARGIN >= TRY_WITHIN;
    let last = signalled_at
        .is_some_and(|signalled_at| request.ended + DEADLINE_MARGIN >= signalled_at + GRACE - LAST_ANSWERS);
    let says_so = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT].contains(&status);
    says_so && (deadline || last)
}

fn sent_after(sent: Instant, signalled_at: Option<Instant>) -> String {
    match signalled_at {
        Some(signalled_at) if signalled_at <= sent => format!("sent {:?} after SIGTERM", sent - signalled_at),
        Some(signalled_at) => format!("sent {:?} before SIGTERM", signalled_at - sent),
        None => "with no signal".to_owned(),
    }
}
