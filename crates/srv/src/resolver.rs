//! Resolves questions: server failover with backoff, TCP after truncation, and a rate limit on queries. The caller
//! owns the sockets: it sends each [`Output::Ask`] and reports the result.

use crate::message::{
    encode_query, parse_response, QueryParameters, Question, Records, Response, ALIASES_MAX,
    CLIENT_COOKIE_BYTES,
};
use crate::settings::SrvSettings;
use crate::{backoff, Micros, SECOND};
use fastrand::Rng;
use hickory_proto::rr::Name;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of queries in flight; each uses one reserved socket.
pub const IN_FLIGHT_MAX: usize = 4;
/// Maximum number of queued questions; further ones are rejected and retried by the caller.
pub const WAITING_MAX: usize = 4_096;
/// Mismatched UDP responses to a query after which it is retried over TCP, as a defence against spoofing.
pub const MISMATCHES_MAX: u32 = 8;
/// Maximum length of a response over TCP in bytes.
pub const STREAM_MAX: usize = 65_535;

/// A query to send to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Unique query number.
    pub number: u64,
    /// The server.
    pub server: SocketAddr,
    /// Whether to send it over TCP with a length prefix, or else as a datagram from its own port.
    pub tcp: bool,
    /// The encoded query.
    pub bytes: Vec<u8>,
}

/// An instruction to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a query and report responses until [`Output::Forget`].
    Ask(Ask),
    /// Close the socket of a finished query.
    Forget(u64),
    /// A question is resolved or has failed.
    Done {
        /// The question.
        question: Question,
        /// The result.
        outcome: Outcome,
        /// Index of the server in the settings; the last one tried if all failed.
        server: usize,
    },
}

/// Result of a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Records were found.
    Found(Records),
    /// There are no such records.
    Absent {
        /// Whether the name does not exist (NXDOMAIN).
        unknown: bool,
        /// TTL of the negative response in seconds, if given.
        ttl: Option<u32>,
    },
    /// All servers failed; the error of the last one.
    Failed(String),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queries sent.
    pub asked: u64,
    /// Queries sent over TCP.
    pub tcp: u64,
    /// Queries that timed out.
    pub timeouts: u64,
    /// Responses that did not match their query.
    pub foreign: u64,
    /// Failed queries, including timeouts.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct Server {
    /// Consecutive failures.
    failures: u32,
    /// Tried after the other servers until this time.
    deprioritized_until: Micros,
    cookie: Vec<u8>,
    /// The server does not support EDNS.
    no_edns: bool,
}

/// A queued or in-flight question.
#[derive(Clone, Debug)]
struct Lookup {
    question: Question,
    /// The current name, and the number of CNAME records followed over responses.
    name: Name,
    alias_count: usize,
    /// Minimum TTL of the CNAME records followed, in seconds.
    ttl: u32,
    /// Servers not tried yet, best first; chosen at the first query.
    remaining_servers: Option<VecDeque<usize>>,
    tcp: bool,
    /// Retries at the same server, for example with a cookie, without EDNS or over TCP.
    retries: u32,
}

#[derive(Debug)]
struct InFlight {
    lookup: Lookup,
    server: usize,
    query: QueryParameters,
    deadline: Micros,
    mismatches: u32,
}

/// Resolves questions at the configured servers.
#[derive(Debug)]
pub struct Resolver {
    settings: SrvSettings,
    rng: Rng,
    servers: Vec<Server>,
    waiting: VecDeque<Lookup>,
    in_flight: BTreeMap<u64, InFlight>,
    next_number: u64,
    tokens: f64,
    tokens_at: Micros,
    /// Counters since the start.
    pub counts: Counts,
}

impl Resolver {
    /// Creates a resolver without questions.
    pub fn new(settings: SrvSettings, seed: u64, now: Micros) -> Resolver {
        let mut rng = crate::rng(seed);
        let server = |_: &SocketAddr| Server {
            cookie: (0..CLIENT_COOKIE_BYTES).map(|_| rng.u8(..)).collect(),
            ..Server::default()
        };
        let servers = settings.servers.iter().map(server).collect();
        let tokens = settings.questions.max(1.0);
        let (waiting, in_flight) = (VecDeque::new(), BTreeMap::new());
        let counts = Counts::default();
        Resolver {
            settings,
            rng,
            servers,
            waiting,
            in_flight,
            next_number: 0,
            tokens,
            tokens_at: now,
            counts,
        }
    }

    /// Queues a question unless it is already queued or in flight. Returns false if the queue is full.
    pub fn enqueue(&mut self, question: Question) -> bool {
        let same = |lookup: &Lookup| lookup.question == question;
        if self.in_flight.values().any(|f| same(&f.lookup)) || self.waiting.iter().any(same) {
            return true;
        }
        if self.waiting.len() >= WAITING_MAX {
            return false;
        }
        let name = question.name.clone();
        let lookup = Lookup {
            question,
            name,
            alias_count: 0,
            ttl: u32::MAX,
            remaining_servers: None,
            tcp: false,
            retries: 0,
        };
        self.waiting.push_back(lookup);
        true
    }

    /// Whether no question is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// The latest time for the next call of [`Resolver::tick`].
    pub fn next_wakeup(&self) -> Option<Micros> {
        let timeout = self.in_flight.values().map(|f| f.deadline).min();
        let token =
            (!self.waiting.is_empty() && self.in_flight.len() < IN_FLIGHT_MAX).then(|| self.next_token_at());
        timeout.into_iter().chain(token).min()
    }

    /// When the token bucket allows the next query.
    fn next_token_at(&self) -> Micros {
        let missing = (1.0 - self.tokens).max(0.0) / self.settings.questions.max(0.01);
        self.tokens_at + (missing * SECOND as f64).ceil() as Micros
    }

    /// Handles timeouts and sends queued questions.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let timed_out: Vec<u64> =
            self.in_flight.iter().filter(|(_, f)| f.deadline <= now).map(|(n, _)| *n).collect();
        for number in timed_out {
            self.counts.timeouts += 1;
            self.fail_over(number, "no answer in time", now, out);
        }
        self.send_queued(now, out);
    }

    /// Handles a response to a query.
    pub fn on_response(&mut self, number: u64, bytes: &[u8], now: Micros, out: &mut Vec<Output>) {
        let Some(in_flight) = self.in_flight.get_mut(&number) else { return };
        let asked = Question { name: in_flight.lookup.name.clone(), kind: in_flight.lookup.question.kind };
        let server = &mut self.servers[in_flight.server];
        let without_edns = server.no_edns;
        match parse_response(bytes, &asked, &in_flight.query, &mut server.cookie) {
            Response::Mismatch(_) => {
                self.counts.foreign += 1;
                in_flight.mismatches += 1;
                let (tcp, many) = (in_flight.lookup.tcp, in_flight.mismatches >= MISMATCHES_MAX);
                match (tcp, many) {
                    // A TCP response cannot be spoofed: the server itself is faulty.
                    (true, _) => self.fail_over(number, "mismatched response over TCP", now, out),
                    (false, true) => self.retry_same_server(number, now, out, |lookup, _| lookup.tcp = true),
                    (false, false) => {}
                }
            }
            Response::Truncated if in_flight.lookup.tcp => {
                self.fail_over(number, "truncated over TCP", now, out)
            }
            Response::Truncated => self.retry_same_server(number, now, out, |lookup, _| lookup.tcp = true),
            Response::NoEdns if !without_edns => {
                self.retry_same_server(number, now, out, |_, server| server.no_edns = true)
            }
            Response::NoEdns => self.fail_over(number, "query not supported", now, out),
            Response::BadCookie => self.retry_same_server(number, now, out, |_, _| {}),
            Response::Alias(to, ttl) => self.follow_alias(number, to, ttl, now, out),
            Response::Failed(what) => self.fail_over(number, &what, now, out),
            Response::Absent { unknown, ttl } => {
                self.complete(number, Outcome::Absent { unknown, ttl }, now, out);
            }
            Response::Found(mut found) => {
                found.ttl = found.ttl.min(in_flight.lookup.ttl);
                self.complete(number, Outcome::Found(found), now, out);
            }
        }
    }

    /// Handles the failure of a query's socket.
    pub fn on_failure(&mut self, number: u64, what: &str, now: Micros, out: &mut Vec<Output>) {
        self.fail_over(number, what, now, out);
    }

    /// Retries at the same server with changed options, a bounded number of times.
    fn retry_same_server(
        &mut self,
        number: u64,
        now: Micros,
        out: &mut Vec<Output>,
        change: impl FnOnce(&mut Lookup, &mut Server),
    ) {
        const RETRIES_MAX: u32 = 3;
        if self.in_flight.get(&number).is_none_or(|f| f.lookup.retries >= RETRIES_MAX) {
            return self.fail_over(number, "too many retries with other options", now, out);
        }
        let Some(mut in_flight) = self.remove_in_flight(number, out) else { return };
        in_flight.lookup.retries += 1;
        change(&mut in_flight.lookup, &mut self.servers[in_flight.server]);
        in_flight.lookup.remaining_servers.get_or_insert_default().push_front(in_flight.server);
        self.waiting.push_front(in_flight.lookup);
        self.send_queued(now, out);
    }

    fn follow_alias(&mut self, number: u64, to: Name, ttl: u32, now: Micros, out: &mut Vec<Output>) {
        let Some(mut in_flight) = self.remove_in_flight(number, out) else { return };
        self.servers[in_flight.server].failures = 0;
        in_flight.lookup.alias_count += 1;
        if in_flight.lookup.alias_count > ALIASES_MAX {
            let (question, server) = (in_flight.lookup.question, in_flight.server);
            let outcome = Outcome::Failed("CNAME chain too long".into());
            out.push(Output::Done { question, outcome, server });
            return self.send_queued(now, out);
        }
        (in_flight.lookup.name, in_flight.lookup.tcp) = (to, false);
        in_flight.lookup.ttl = in_flight.lookup.ttl.min(ttl);
        in_flight.lookup.remaining_servers = None;
        self.waiting.push_front(in_flight.lookup);
        self.send_queued(now, out);
    }

    fn complete(&mut self, number: u64, outcome: Outcome, now: Micros, out: &mut Vec<Output>) {
        let Some(in_flight) = self.remove_in_flight(number, out) else { return };
        let server = &mut self.servers[in_flight.server];
        (server.failures, server.deprioritized_until) = (0, 0);
        out.push(Output::Done { question: in_flight.lookup.question, outcome, server: in_flight.server });
        self.send_queued(now, out);
    }

    /// Backs off from the failed server and tries the next one.
    fn fail_over(&mut self, number: u64, what: &str, now: Micros, out: &mut Vec<Output>) {
        let Some(mut in_flight) = self.remove_in_flight(number, out) else { return };
        self.counts.failed += 1;
        let server = &mut self.servers[in_flight.server];
        server.failures = server.failures.saturating_add(1);
        server.deprioritized_until = now + backoff(&mut self.rng, self.settings.retry, server.failures);
        if in_flight.lookup.remaining_servers.as_ref().is_some_and(|remaining| !remaining.is_empty()) {
            (in_flight.lookup.tcp, in_flight.lookup.retries) = (false, 0);
            self.waiting.push_front(in_flight.lookup);
        } else {
            let who =
                self.settings.servers.get(in_flight.server).map(|at| at.to_string()).unwrap_or_default();
            let outcome = Outcome::Failed(format!("{who}: {what}"));
            out.push(Output::Done { question: in_flight.lookup.question, outcome, server: in_flight.server });
        }
        self.send_queued(now, out);
    }

    fn remove_in_flight(&mut self, number: u64, out: &mut Vec<Output>) -> Option<InFlight> {
        let in_flight = self.in_flight.remove(&number)?;
        out.push(Output::Forget(number));
        Some(in_flight)
    }

    /// Sends queued questions as far as the rate limit allows.
    fn send_queued(&mut self, now: Micros, out: &mut Vec<Output>) {
        let rate = self.settings.questions.max(0.01);
        let elapsed = now.saturating_sub(self.tokens_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
        self.tokens_at = self.tokens_at.max(now);
        while self.in_flight.len() < IN_FLIGHT_MAX && self.tokens >= 1.0 {
            let Some(lookup) = self.waiting.pop_front() else { return };
            self.send_one(lookup, now, out);
        }
    }

    fn send_one(&mut self, mut lookup: Lookup, now: Micros, out: &mut Vec<Output>) {
        let order = || self.server_order(now);
        let remaining = lookup.remaining_servers.get_or_insert_with(order);
        let Some(server) = remaining.pop_front() else {
            let outcome = Outcome::Failed("no server configured".into());
            return out.push(Output::Done { question: lookup.question, outcome, server: 0 });
        };
        let of = &self.servers[server];
        let query = QueryParameters { id: self.rng.u16(..), edns: !of.no_edns, cookie: of.cookie.clone() };
        let question = Question { name: lookup.name.clone(), kind: lookup.question.kind };
        self.tokens -= 1.0;
        self.next_number += 1;
        self.counts.asked += 1;
        self.counts.tcp += u64::from(lookup.tcp);
        out.push(Output::Ask(Ask {
            number: self.next_number,
            server: self.settings.servers[server],
            tcp: lookup.tcp,
            bytes: encode_query(&question, &query),
        }));
        let deadline = now + self.settings.timeout;
        self.in_flight.insert(self.next_number, InFlight { lookup, server, query, deadline, mismatches: 0 });
    }

    /// Server order: as configured, recently failed ones last. A fixed order avoids alternating between servers that
    /// disagree.
    fn server_order(&self, now: Micros) -> VecDeque<usize> {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.sort_by_key(|n| {
            let until = self.servers[*n].deprioritized_until;
            (until > now, if until > now { until } else { 0 }, *n)
        });
        order.into()
    }
}
