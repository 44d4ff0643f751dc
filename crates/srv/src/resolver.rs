//! Gets one question answered by whichever server will: tries, back-offs, TCP after what was cut, and a budget of
//! questions a second. Sockets are the caller's: it sends what [`Out::Ask`] says and tells what came of it.

use crate::message::{ask, read, Found, Question, Read, Stamp, ALIASES_MAX, COOKIE};
use crate::settings::SrvSettings;
use crate::{back_off, Micros, SECOND};
use fastrand::Rng;
use hickory_proto::rr::Name;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Questions on their way at once: each is a socket out of the few that are kept back.
pub const FLYING_MAX: usize = 4;
/// Questions that wait for their turn; past that none is taken, and who asks tries again later.
pub const WAITING_MAX: usize = 4_096;
/// Answers to something else after which a question goes over TCP: somebody guesses.
pub const FOREIGN_MAX: u32 = 8;
/// Bytes of the longest answer over TCP that is read: a thousand records, names of full length and addresses.
pub const STREAM_MAX: usize = 65_535;

/// A question to be put to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its number; never given twice.
    pub number: u64,
    /// To whom.
    pub server: SocketAddr,
    /// Over TCP, with the length before it, or as one datagram from a port of its own.
    pub tcp: bool,
    /// The question.
    pub bytes: Vec<u8>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Put this to a server and tell what comes, until [`Out::Forget`].
    Ask(Ask),
    /// Close the socket of an ask: it is over.
    Forget(u64),
    /// A question is answered.
    Done {
        /// Which.
        question: Question,
        /// How.
        outcome: Outcome,
        /// By which server, by its place in the settings; the last one asked where none answered.
        server: usize,
    },
}

/// How a question ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This is it.
    Found(Found),
    /// There is none.
    Absent {
        /// Whether the name itself is unknown.
        unknown: bool,
        /// For how long, seconds, where told.
        ttl: Option<u32>,
    },
    /// No server said anything of use; what the last one did.
    Failed(String),
}

/// Figures since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Questions sent.
    pub asked: u64,
    /// Of these, over TCP.
    pub tcp: u64,
    /// Without an answer in time.
    pub timeouts: u64,
    /// Answers that did not belong to their question.
    pub foreign: u64,
    /// Other failures.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct Server {
    /// Failures since the last answer.
    fails: u32,
    /// Asked last of all until then.
    quiet_until: Micros,
    cookie: Vec<u8>,
    /// It knows no extensions.
    plain: bool,
}

/// A question that waits or is on its way.
#[derive(Clone, Debug)]
struct Lookup {
    question: Question,
    /// The name it has led to so far, and how often it was led on.
    name: Name,
    leads: usize,
    /// The least lifetime of the aliases on the way, seconds.
    ttl: u32,
    /// Servers not tried yet, best first, chosen when it is first put.
    left: Option<VecDeque<usize>>,
    tcp: bool,
    /// Whether it was put again for a cookie or without extensions: once each is enough.
    again: u32,
}

#[derive(Debug)]
struct Flying {
    lookup: Lookup,
    server: usize,
    stamp: Stamp,
    until: Micros,
    foreign: u32,
}

/// Asks servers.
#[derive(Debug)]
pub struct Resolver {
    settings: SrvSettings,
    rng: Rng,
    servers: Vec<Server>,
    waiting: VecDeque<Lookup>,
    flying: BTreeMap<u64, Flying>,
    next: u64,
    tokens: f64,
    tokens_at: Micros,
    /// What has happened so far.
    pub counts: Counts,
}

impl Resolver {
    /// One that has asked nothing.
    pub fn new(settings: SrvSettings, seed: u64, now: Micros) -> Resolver {
        let mut rng = crate::rng(seed);
        let server = |_: &SocketAddr| Server {
            cookie: (0..COOKIE).map(|_| rng.u8(..)).collect(),
            ..Server::default()
        };
        let servers = settings.servers.iter().map(server).collect();
        let tokens = settings.questions.max(1.0);
        let (waiting, flying) = (VecDeque::new(), BTreeMap::new());
        let counts = Counts::default();
        Resolver { settings, rng, servers, waiting, flying, next: 0, tokens, tokens_at: now, counts }
    }

    /// Wants a question answered. One that waits already is not taken twice; false where too many wait.
    pub fn want(&mut self, question: Question) -> bool {
        let same = |lookup: &Lookup| lookup.question == question;
        if self.flying.values().any(|f| same(&f.lookup)) || self.waiting.iter().any(same) {
            return true;
        }
        if self.waiting.len() >= WAITING_MAX {
            return false;
        }
        let name = question.name.clone();
        let lookup = Lookup { question, name, leads: 0, ttl: u32::MAX, left: None, tcp: false, again: 0 };
        self.waiting.push_back(lookup);
        true
    }

    /// Whether nothing waits and nothing is on its way.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty() && self.flying.is_empty()
    }

    /// When to call [`Resolver::tick`] at the latest.
    pub fn wake(&self) -> Option<Micros> {
        let lapses = self.flying.values().map(|f| f.until).min();
        let turn = (!self.waiting.is_empty() && self.flying.len() < FLYING_MAX).then(|| self.next_turn());
        lapses.into_iter().chain(turn).min()
    }

    /// When the budget lets the next question out.
    fn next_turn(&self) -> Micros {
        let short = (1.0 - self.tokens).max(0.0) / self.settings.questions.max(0.01);
        self.tokens_at + (short * SECOND as f64).ceil() as Micros
    }

    /// Takes in that time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>) {
        let lapsed: Vec<u64> = self.flying.iter().filter(|(_, f)| f.until <= now).map(|(n, _)| *n).collect();
        for number in lapsed {
            self.counts.timeouts += 1;
            self.failed(number, "no answer in time", now, out);
        }
        self.put(now, out);
    }

    /// Takes in bytes that came for an ask.
    pub fn heard(&mut self, number: u64, bytes: &[u8], now: Micros, out: &mut Vec<Out>) {
        let Some(flying) = self.flying.get_mut(&number) else { return };
        let asked = Question { name: flying.lookup.name.clone(), kind: flying.lookup.question.kind };
        let server = &mut self.servers[flying.server];
        let plain_before = server.plain;
        match read(bytes, &asked, &flying.stamp, &mut server.cookie) {
            Read::Foreign(_) => {
                self.counts.foreign += 1;
                flying.foreign += 1;
                let (tcp, many) = (flying.lookup.tcp, flying.foreign >= FOREIGN_MAX);
                match (tcp, many) {
                    // Nobody else has a part in a connection: that server talks nonsense.
                    (true, _) => self.failed(number, "answered something else", now, out),
                    (false, true) => self.again(number, now, out, |lookup, _| lookup.tcp = true),
                    (false, false) => {}
                }
            }
            Read::Truncated if flying.lookup.tcp => self.failed(number, "cut over TCP as well", now, out),
            Read::Truncated => self.again(number, now, out, |lookup, _| lookup.tcp = true),
            Read::Plain if !plain_before => self.again(number, now, out, |_, server| server.plain = true),
            Read::Plain => self.failed(number, "knows no such question", now, out),
            Read::Cookie => self.again(number, now, out, |_, _| {}),
            Read::Leads(to, ttl) => self.led_on(number, to, ttl, now, out),
            Read::Failed(what) => self.failed(number, &what, now, out),
            Read::Absent { unknown, ttl } => {
                self.done(number, Outcome::Absent { unknown, ttl }, now, out);
            }
            Read::Found(mut found) => {
                found.ttl = found.ttl.min(flying.lookup.ttl);
                self.done(number, Outcome::Found(found), now, out);
            }
        }
    }

    /// Takes in that an ask can't be answered: no connection, an end in the middle, an error of the system.
    pub fn broke(&mut self, number: u64, what: &str, now: Micros, out: &mut Vec<Out>) {
        self.failed(number, what, now, out);
    }

    /// Puts the same question to the same server in another way; what would go on for ever ends there.
    fn again(
        &mut self,
        number: u64,
        now: Micros,
        out: &mut Vec<Out>,
        change: impl FnOnce(&mut Lookup, &mut Server),
    ) {
        const AGAIN_MAX: u32 = 3;
        if self.flying.get(&number).is_none_or(|f| f.lookup.again >= AGAIN_MAX) {
            return self.failed(number, "wants it put differently each time", now, out);
        }
        let Some(mut flying) = self.land(number, out) else { return };
        flying.lookup.again += 1;
        change(&mut flying.lookup, &mut self.servers[flying.server]);
        flying.lookup.left.get_or_insert_default().push_front(flying.server);
        self.waiting.push_front(flying.lookup);
        self.put(now, out);
    }

    fn led_on(&mut self, number: u64, to: Name, ttl: u32, now: Micros, out: &mut Vec<Out>) {
        let Some(mut flying) = self.land(number, out) else { return };
        self.servers[flying.server].fails = 0;
        flying.lookup.leads += 1;
        if flying.lookup.leads > ALIASES_MAX {
            let (question, server) = (flying.lookup.question, flying.server);
            let outcome = Outcome::Failed("its names lead on and on".into());
            out.push(Out::Done { question, outcome, server });
            return self.put(now, out);
        }
        (flying.lookup.name, flying.lookup.tcp) = (to, false);
        flying.lookup.ttl = flying.lookup.ttl.min(ttl);
        flying.lookup.left = None;
        self.waiting.push_front(flying.lookup);
        self.put(now, out);
    }

    fn done(&mut self, number: u64, outcome: Outcome, now: Micros, out: &mut Vec<Out>) {
        let Some(flying) = self.land(number, out) else { return };
        let server = &mut self.servers[flying.server];
        (server.fails, server.quiet_until) = (0, 0);
        out.push(Out::Done { question: flying.lookup.question, outcome, server: flying.server });
        self.put(now, out);
    }

    /// One server did not answer: it is asked last for a while, and the next one now.
    fn failed(&mut self, number: u64, what: &str, now: Micros, out: &mut Vec<Out>) {
        let Some(mut flying) = self.land(number, out) else { return };
        self.counts.failed += 1;
        let server = &mut self.servers[flying.server];
        server.fails = server.fails.saturating_add(1);
        server.quiet_until = now + back_off(&mut self.rng, self.settings.retry, server.fails);
        if flying.lookup.left.as_ref().is_some_and(|left| !left.is_empty()) {
            (flying.lookup.tcp, flying.lookup.again) = (false, 0);
            self.waiting.push_front(flying.lookup);
        } else {
            let who = self.settings.servers.get(flying.server).map(|at| at.to_string()).unwrap_or_default();
            let outcome = Outcome::Failed(format!("{who}: {what}"));
            out.push(Out::Done { question: flying.lookup.question, outcome, server: flying.server });
        }
        self.put(now, out);
    }

    fn land(&mut self, number: u64, out: &mut Vec<Out>) -> Option<Flying> {
        let flying = self.flying.remove(&number)?;
        out.push(Out::Forget(number));
        Some(flying)
    }

    /// Lets out what the budget allows.
    fn put(&mut self, now: Micros, out: &mut Vec<Out>) {
        let rate = self.settings.questions.max(0.01);
        let since = now.saturating_sub(self.tokens_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + since * rate).min(rate.max(1.0));
        self.tokens_at = self.tokens_at.max(now);
        while self.flying.len() < FLYING_MAX && self.tokens >= 1.0 {
            let Some(lookup) = self.waiting.pop_front() else { return };
            self.put_one(lookup, now, out);
        }
    }

    fn put_one(&mut self, mut lookup: Lookup, now: Micros, out: &mut Vec<Out>) {
        let order = || self.order(now);
        let left = lookup.left.get_or_insert_with(order);
        let Some(server) = left.pop_front() else {
            let outcome = Outcome::Failed("there is no server to ask".into());
            return out.push(Out::Done { question: lookup.question, outcome, server: 0 });
        };
        let of = &self.servers[server];
        let stamp = Stamp { id: self.rng.u16(..), extended: !of.plain, cookie: of.cookie.clone() };
        let question = Question { name: lookup.name.clone(), kind: lookup.question.kind };
        self.tokens -= 1.0;
        self.next += 1;
        self.counts.asked += 1;
        self.counts.tcp += u64::from(lookup.tcp);
        out.push(Out::Ask(Ask {
            number: self.next,
            server: self.settings.servers[server],
            tcp: lookup.tcp,
            bytes: ask(&question, &stamp),
        }));
        let until = now + self.settings.timeout;
        self.flying.insert(self.next, Flying { lookup, server, stamp, until, foreign: 0 });
    }

    /// The servers as they are tried: in the order of the settings, those that failed lately last. One order
    /// for all, so that servers which disagree are not believed by turns.
    fn order(&self, now: Micros) -> VecDeque<usize> {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.sort_by_key(|n| {
            let quiet = self.servers[*n].quiet_until;
            (quiet > now, if quiet > now { quiet } else { 0 }, *n)
        });
        order.into()
    }
}
