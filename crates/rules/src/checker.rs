//! The rules, checked from outside: from what clients, workers and discovery saw, never from the gateway.
//!
//! A value without I/O. It is told everything at the instant at which it happens; the first rule that is
//! broken is kept with its time. Names of rules are those of the briefs, and `crash`, `mixed-up`, `bad-client`,
//! `liveness` and `floor` beside them.

use crate::asked::Asked;
use crate::service::Service;
use crate::{Class, Nanos};
use hingestage_test_servers::site::{self, Plan};
use hingestage_test_servers::worker::{parameter, Spec};
use hingestage_test_servers::{Message, Seen};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

const MS: Nanos = 1_000_000;
/// Each time limit of the rules is this much longer on sockets.
const LONGER: Nanos = 50 * MS;
/// A ceiling's slack is wider by what its rate gives in this time on sockets.
const CEILING_WIDER: f64 = 0.150;

/// The figures of the rules, as the settings have them.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Work may go on to a draining worker for so long after the gateway was told.
    pub drain_grace: Nanos,
    /// A cold worker falls over when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... over this time.
    pub fall_after: Nanos,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// By plan: rate, depth and slack of the ceiling, units a second and units; none without one.
    pub ceilings: Vec<Option<(f64, f64, f64)>>,
    /// By plan: rate and depth of the quota, units a second and units; none where it turns nothing away.
    pub quotas: Vec<Option<(f64, f64)>>,
    /// Which workers drop repeats of notes (`all`, `zone` or `cell`), and for how long.
    pub keyed: Option<(&'static str, Nanos)>,
    /// Whether the world is so lightly used that refusing a pull is wrong: see [`Checker::check_idle`].
    pub light: bool,
}

impl Figures {
    /// Those of a usual site with these plans.
    pub fn of(plans: &[Plan]) -> Figures {
        let ceiling = |plan: &Plan| {
            (plan.ceiling_rate > 0.0).then_some((plan.ceiling_rate, plan.ceiling_depth, plan.ceiling_slack))
        };
        let quota = |plan: &Plan| (!plan.soft).then_some((plan.rate, plan.burst));
        Figures {
            drain_grace: site::DRAIN_GRACE.as_nanos() as Nanos,
            fall_multiple: site::FALL_MULTIPLE,
            fall_after: site::FALL_AFTER.as_nanos() as Nanos,
            max_attempts: site::MAX_ATTEMPTS,
            ceilings: plans.iter().map(ceiling).collect(),
            quotas: plans.iter().map(quota).collect(),
            keyed: None,
            light: false,
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: &'static str,
    /// When it showed.
    pub at: Nanos,
    /// What happened.
    pub what: String,
}

struct Attempt {
    conn: u64,
    /// When its first byte was written, and the zone and cell of its worker.
    began: Nanos,
    place: (&'static str, u64),
    /// Its connection has ended or its answer is written.
    over: bool,
    /// It was answered as never begun.
    never: bool,
    answering: bool,
    wrote: bool,
}

struct Request {
    asked: Asked,
    state: Client,
    /// The moment at which the client had its answer or left.
    over_at: Option<Nanos>,
    attempts: Vec<Attempt>,
    runs: usize,
    made: Vec<Vec<u8>>,
    asked_at: Nanos,
    /// Another client has sent its id again, and whether that was taken in once this one had ended: what
    /// comes of it then is no second effect of this one.
    copied: bool,
    reused: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Client {
    Begins,
    Writes,
    Waits,
    Over,
}

/// One life of a worker.
struct Worker {
    uid: String,
    boot_ms: u64,
    spec: Spec,
    /// Work sent to it while cold: when, and seconds of it.
    sent: VecDeque<(Instant, f64)>,
}

/// What a gateway was told of a worker.
#[derive(Clone, Copy, Default)]
struct Told {
    /// Since when it takes no work.
    unfit_since: Option<Nanos>,
    boot_ms: u64,
}

/// What happens to a request, from outside, in the order in which it passes through.
pub const PHASES: [&str; 6] = ["arriving", "taken", "sending", "running", "answering", "returning"];

/// The checker of one run.
pub struct Checker {
    figures: Figures,
    requests: BTreeMap<String, Request>,
    workers: BTreeMap<usize, Worker>,
    told: BTreeMap<(usize, String), Told>,
    lives: BTreeMap<usize, u32>,
    /// Connections to workers on which a request has begun and is not whole.
    beginning: BTreeSet<u64>,
    /// The last request of each connection to a worker.
    carries: BTreeMap<u64, String>,
    /// Connections that have ended: what still arrives on one is out no more.
    ended: BTreeSet<u64>,
    /// What is left in the ceiling's store of each account, and as of when.
    stores: BTreeMap<u64, (f64, Nanos)>,
    broken: Option<Violation>,
    /// Answers of each status to usual clients.
    pub answers: BTreeMap<u16, usize>,
    /// Whether requests are in the last stretch, where each must be served.
    pub must_serve: bool,
    /// What the run was worth, for comparisons.
    pub service: Service,
    /// When something last went wrong or was mended.
    troubled: Nanos,
    /// When accounts and gateways were last asked by usual clients, in a lightly used world.
    asked: BTreeMap<(bool, u64), VecDeque<Nanos>>,
    /// See [`Checker::read_up_to`].
    read_delay: Nanos,
}

/// Time without a fault after which a lightly used world must serve each pull: longer than discovery's news,
/// a connect that hangs, and the avoidance of a worker that failed.
const CALM: Nanos = 3_000 * MS;
/// Pulls that a gateway or an account must be served within the calm time.
const CALM_ASKS: usize = 2;

impl Checker {
    /// One that has seen nothing.
    pub fn new(figures: Figures) -> Checker {
        let service = Service::of(figures.quotas.clone());
        Checker {
            figures,
            requests: BTreeMap::new(),
            workers: BTreeMap::new(),
            told: BTreeMap::new(),
            lives: BTreeMap::new(),
            beginning: BTreeSet::new(),
            carries: BTreeMap::new(),
            ended: BTreeSet::new(),
            stores: BTreeMap::new(),
            broken: None,
            answers: BTreeMap::new(),
            must_serve: false,
            service,
            troubled: 0,
            asked: BTreeMap::new(),
            read_delay: 0,
        }
    }

    /// The first rule that was broken, if any was.
    pub fn broken(&self) -> Option<&Violation> {
        self.broken.as_ref()
    }

    /// Notes a broken rule; only the first counts.
    pub fn break_rule(&mut self, rule: &'static str, at: Nanos, what: String) {
        self.broken.get_or_insert(Violation { rule, at, what });
    }

    /// Tells that the first byte of an attempt may be read up to `delay` after it was written, because whoever reads it
    /// was held up. Holds until it is told otherwise.
    pub fn read_up_to(&mut self, delay: Nanos) {
        self.read_delay = delay;
    }

    /// Notes what a client is about to ask; whether that is inside its quota.
    pub fn ask(&mut self, now: Nanos, id: &str, asked: Asked) -> bool {
        let inside = self.service.ask(now, &asked);
        for key in [(false, asked.account), (true, asked.gateway as u64)] {
            let times = self.asked.entry(key).or_default();
            times.push_back(now);
            while times.front().is_some_and(|at| at + CALM < now) {
                times.pop_front();
            }
        }
        let (attempts, made) = (Vec::new(), Vec::new());
        let (state, over_at, runs) = (Client::Begins, None, 0);
        let (copied, reused) = (false, false);
        let request = Request { asked, state, over_at, attempts, runs, made, asked_at: now, copied, reused };
        self.requests.insert(id.to_owned(), request);
        inside
    }

    /// Notes a worker's life.
    pub fn worker(&mut self, uid: &str, boot_ms: u64, spec: Spec) {
        let worker = Worker { uid: uid.to_owned(), boot_ms, spec, sent: VecDeque::new() };
        self.workers.insert(worker.spec.number, worker);
    }

    /// Notes that a gateway starts anew; what it knows at its start comes as `Told`.
    pub fn gateway_starts(&mut self, gateway: usize) -> u32 {
        self.told.retain(|(g, _), _| *g != gateway);
        let life = self.lives.entry(gateway).or_default();
        *life += 1;
        *life
    }

    /// Notes that a gateway was killed: whatever it held is the client's to retry.
    pub fn gateway_killed(&mut self, gateway: usize) {
        *self.lives.entry(gateway).or_default() += 1;
    }

    /// The phases in which requests are at present, as places in [`PHASES`].
    pub fn phases(&self) -> BTreeSet<usize> {
        let mut phases = BTreeSet::new();
        if !self.beginning.is_empty() {
            phases.insert(2);
        }
        for request in self.requests.values() {
            match (request.state, request.attempts.last()) {
                (Client::Writes, _) => phases.insert(0),
                (Client::Waits, None) => phases.insert(1),
                (Client::Waits, Some(a)) if a.wrote => phases.insert(5),
                (Client::Waits, Some(a)) if a.answering => phases.insert(4),
                (Client::Waits, Some(a)) if !a.over => phases.insert(3),
                _ => false,
            };
        }
        phases
    }

    /// Takes in something that was seen. `nanos` gives the time of a point.
    pub fn observe(&mut self, now: Nanos, seen: &Seen, nanos: impl Fn(Instant) -> Nanos) {
        match seen {
            Seen::Asking { id } => self.client(id, |r| r.state = Client::Writes),
            Seen::Asked { id, .. } => self.client(id, |r| r.state = Client::Waits),
            Seen::Answered { id, status, body, .. } => self.answered(now, id, *status, body),
            Seen::Unanswered { id, taken, .. } => self.unanswered(now, id, *taken),
            Seen::Left { id, late, accepted } => self.left(now, id, *late && *accepted),
            Seen::Unasked { conn } => {
                self.break_rule("lost", now, format!("a second answer on connection {conn}"))
            }
            Seen::Rebuked { what, status, late } => self.rebuked(now, what, *status, *late),
            Seen::Began { conn, .. } => drop(self.beginning.insert(*conn)),
            Seen::Whole { worker, conn, message, began } => {
                self.beginning.remove(conn);
                self.whole(now, *worker, *conn, message, (nanos(*began), *began));
            }
            Seen::Ran { id, .. } => self.ran(now, id),
            Seen::Made { id, body } => self.client(id, |r| r.made.push(body.clone())),
            Seen::Answering { conn } => self.attempt(*conn, |a| a.answering = true),
            Seen::Wrote { conn, never, .. } => self.attempt(*conn, |a| {
                (a.over, a.never, a.wrote) = (true, *never, true);
            }),
            Seen::Told { gateway, uid, state, boot_ms } => {
                let told = self.told.entry((*gateway, uid.clone())).or_default();
                told.boot_ms = *boot_ms;
                match state.as_str() {
                    "up" => told.unfit_since = None,
                    _ => drop(told.unfit_since.get_or_insert(now)),
                }
            }
        }
    }

    /// Takes in the end of a connection.
    pub fn conn_ended(&mut self, conn: u64) {
        self.beginning.remove(&conn);
        self.attempt(conn, |a| a.over = true);
        self.carries.remove(&conn);
        self.ended.insert(conn);
    }

    /// Notes that something goes wrong or is mended.
    pub fn trouble(&mut self, now: Nanos) {
        self.troubled = now;
    }

    /// A request that waits at a gateway and runs or is about to, if there is one: its id.
    pub fn open_at(&self, gateway: usize) -> Option<String> {
        let open = |r: &Request| {
            r.asked.gateway == gateway
                && r.state == Client::Waits
                && r.attempts.last().is_some_and(|a| !a.over && !a.answering)
        };
        self.requests.iter().find(|(_, r)| open(r)).map(|(id, _)| id.clone())
    }

    /// Notes that a client is about to send the id of another's request again.
    pub fn copies(&mut self, id: &str) {
        self.client(id, |r| r.copied = true);
    }

    /// Notes that a client is done with a request, however it ended.
    pub fn done(&mut self, id: &str) {
        self.client(id, |r| r.state = Client::Over);
    }

    fn client(&mut self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(id) {
            change(request);
        }
    }

    fn attempt(&mut self, conn: u64, change: impl FnOnce(&mut Attempt)) {
        let Some(id) = self.carries.get(&conn) else { return };
        let attempts = self.requests.get_mut(id).map(|r| &mut r.attempts);
        if let Some(attempt) = attempts.and_then(|all| all.iter_mut().rev().find(|a| a.conn == conn)) {
            change(attempt);
        }
    }

    fn over(&mut self, now: Nanos, id: &str) {
        self.client(id, |r| (r.state, r.over_at) = (Client::Over, Some(now)));
    }

    fn answered(&mut self, now: Nanos, id: &str, status: u16, body: &[u8]) {
        *self.answers.entry(status).or_default() += 1;
        self.over(now, id);
        let Some(request) = self.requests.get(id) else { return };
        let may_have_run = request.attempts.iter().any(|a| !a.never);
        let everywhere = self.figures.keyed.is_some_and(|(group, _)| group == "all");
        let harmless = match request.asked.class {
            Class::Pull => true,
            Class::Push => !may_have_run,
            Class::Note => !may_have_run || everywhere,
        };
        let (attempts, asked_at) = (request.attempts.len(), request.asked_at);
        let asked = request.asked.clone();
        let made = request.made.iter().any(|made| made == body);
        match status {
            200 if !made => {
                let body = String::from_utf8_lossy(body).into_owned();
                self.break_rule("mixed-up", now, format!("{id} was served `{body}`, made for another"));
            }
            429 | 503 if !harmless => {
                self.break_rule("twice", now, format!("{id} was refused after {attempts} attempts"))
            }
            200 | 429 | 503 | 502 | 504 => {}
            _ => self.break_rule("lost", now, format!("{id}, a proper request, was answered {status}")),
        }
        self.service.answered(id, status);
        self.check_idle(now, id, status, asked_at, &asked);
        if self.must_serve && status != 200 {
            self.break_rule("liveness", now, format!("{id} was answered {status} long after the faults"));
        }
    }

    /// In a lightly used world with nothing wrong for a while, a pull of one that asks now and then is served.
    fn check_idle(&mut self, now: Nanos, id: &str, status: u16, asked_at: Nanos, asked: &Asked) {
        let calm = self.figures.light && asked_at > self.troubled + CALM;
        if !calm || status != 429 || asked.class != Class::Pull {
            return;
        }
        let often = |key| self.asked.get(&key).is_some_and(|times: &VecDeque<_>| times.len() > CALM_ASKS);
        if !often((false, asked.account)) && !often((true, asked.gateway as u64)) {
            self.break_rule("idle", now, format!("{id} was refused before an idle fleet"));
        }
    }

    fn alive_since(&self, asked: &Asked) -> bool {
        self.lives.get(&asked.gateway) == Some(&asked.life)
    }

    fn unanswered(&mut self, now: Nanos, id: &str, taken: Option<bool>) {
        let Some(request) = self.requests.get(id) else { return };
        let alive = self.alive_since(&request.asked);
        // One that crossed the closing of a kept connection was never read and is sent again.
        if taken == Some(true) {
            self.over(now, id);
        }
        if taken == Some(true) && alive {
            self.break_rule("lost", now, format!("{id} was taken, and its connection ended unanswered"));
        }
    }

    fn left(&mut self, now: Nanos, id: &str, late: bool) {
        let Some(request) = self.requests.get(id) else { return };
        let alive = self.alive_since(&request.asked);
        self.over(now, id);
        if late && alive {
            self.break_rule("lost", now, format!("{id} had no answer when its client's time was up"));
        }
    }

    fn rebuked(&mut self, now: Nanos, what: &str, status: Option<u16>, late: bool) {
        if late {
            self.break_rule("bad-client", now, format!("`{what}` got neither an error nor a close in time"));
        } else if status.is_some_and(|status| status < 400) {
            self.break_rule("bad-client", now, format!("`{what}` was answered {status:?}"));
        }
    }

    fn ran(&mut self, now: Nanos, id: &str) {
        self.client(id, |r| r.runs += 1);
        // Of notes their sending tells: one that was long on its way may run again by nature.
        let twice = |r: &Request| r.asked.class == Class::Push && r.runs > 1 && !r.reused;
        if self.requests.get(id).is_some_and(twice) {
            self.break_rule("twice", now, format!("{id}, a push, ran twice"));
        }
    }

    /// An attempt has come to a worker whole.
    fn whole(&mut self, now: Nanos, worker: usize, conn: u64, message: &Message, began: (Nanos, Instant)) {
        let id = message.header("request-id").unwrap_or_default().to_owned();
        let Some(request) = self.requests.get_mut(&id) else {
            return self.break_rule("mixed-up", now, format!("request `{id}`, which no client sent"));
        };
        if request.copied && message.first_line != request.asked.line {
            request.reused = true;
            // Whatever the gateway has ended, it has read its answer or closed its connection.
            if request.attempts.iter().any(|a| !a.over && !a.answering) {
                self.break_rule("twice", now, format!("{id} was taken in a second time while it was open"));
            }
            return;
        }
        let asked = request.asked.clone();
        let place = self.workers.get(&worker).map_or(("", 0), |w| (w.spec.zone, w.spec.cell));
        let keyed = self.figures.keyed.unwrap_or(("all", Nanos::MAX));
        let foreign = request.attempts.iter().filter(|a| !a.never).any(|a| match keyed.0 {
            "all" => false,
            "zone" => a.place.0 != place.0,
            _ => a.place != place,
        });
        let first_began = request.attempts.iter().filter(|a| !a.never).map(|a| a.began).min();
        let last = first_began.map(|first| first.saturating_add(keyed.1).saturating_add(LONGER));
        // What is long on its way can't be held against the gateway.
        let forgotten = last.is_some_and(|last| began.0 > last);
        let same = message.first_line == asked.line && message.body == asked.body;
        let (out, ran) =
            (request.attempts.iter().any(|a| !a.over), request.attempts.iter().any(|a| !a.never));
        let first = request.attempts.is_empty();
        let after = request.over_at.filter(|over| began.0 > over + LONGER + self.read_delay);
        let over = self.ended.contains(&conn);
        let (never, answering, wrote) = (false, false, false);
        request.attempts.push(Attempt { conn, began: began.0, place, over, never, answering, wrote });
        let attempts = request.attempts.len();
        self.carries.insert(conn, id.clone());
        if !same {
            self.break_rule("mixed-up", now, format!("{id} came to worker {worker} changed"));
        }
        // What arrives on a connection that has ended was given up before the one that is out now.
        if out && !over {
            self.break_rule("twice", now, format!("{id} has two attempts out at once"));
        }
        if asked.class == Class::Push && ran {
            self.break_rule("twice", now, format!("{id}, a push that may have run, was sent again"));
        }
        if asked.class == Class::Note && foreign {
            self.break_rule("twice", now, format!("{id}, a note, was sent to a worker that can't know it"));
        }
        if asked.class == Class::Note && forgotten {
            self.break_rule("twice", now, format!("{id}, a note, was sent when its key was forgotten"));
        }
        if attempts > self.figures.max_attempts {
            self.break_rule("lost", now, format!("{id} had {attempts} attempts"));
        }
        if after.is_some() {
            self.break_rule("lost", now, format!("{id} was sent on after its final answer"));
        }
        self.check_drain(now, &asked, worker, &id, began.0);
        self.check_cold(now, &asked, worker, message, began.1);
        if first {
            self.service.sent(now, &asked);
            self.check_ceiling(now, &asked, &id);
        }
    }

    fn check_drain(&mut self, now: Nanos, asked: &Asked, worker: usize, id: &str, began: Nanos) {
        let Some(life) = self.workers.get(&worker) else { return };
        let told = self.told.get(&(asked.gateway, life.uid.clone())).copied().unwrap_or_default();
        let grace = self.figures.drain_grace + LONGER;
        if let Some(since) = told.unfit_since.filter(|since| began > since + grace) {
            let late = (began - since) / MS;
            let what =
                format!("{id} went to worker {worker} {late} ms after gateway {} was told", asked.gateway);
            self.break_rule("drains", now, what);
        }
    }

    /// Work sent to a cold worker, against what it can do. What comes from a gateway that was not told of
    /// this start yet can't be held against it.
    fn check_cold(&mut self, now: Nanos, asked: &Asked, worker: usize, message: &Message, at: Instant) {
        let Some(life) = self.workers.get_mut(&worker) else { return };
        let told = self.told.get(&(asked.gateway, life.uid.clone())).copied().unwrap_or_default();
        if told.boot_ms != life.boot_ms || life.spec.share(at) >= 1.0 {
            return;
        }
        let work = parameter(message.path(), "work").unwrap_or(0.0) / 1e3;
        life.sent.push_back((at, work));
        let window = std::time::Duration::from_nanos(self.figures.fall_after);
        while life.sent.front().is_some_and(|(sent, _)| at.saturating_duration_since(*sent) > window) {
            life.sent.pop_front();
        }
        let sent: f64 = life.sent.iter().map(|(_, work)| work).sum();
        // What it can do grows by the time: as at the middle of the window.
        let share = life.spec.share(at - window / 2).max(life.spec.cold.0);
        let can = life.spec.cores as f64 * life.spec.speed * share * window.as_secs_f64();
        if sent > self.figures.fall_multiple * can {
            let what =
                format!("cold worker {worker} was sent {sent:.2} s of work where it can do {can:.2} s");
            self.break_rule("cold", now, what);
        }
    }

    fn check_ceiling(&mut self, now: Nanos, asked: &Asked, id: &str) {
        let Some(Some((rate, depth, slack))) = self.figures.ceilings.get(asked.plan).copied() else { return };
        let (store, at) = self.stores.entry(asked.account).or_insert((depth, now));
        *store = (*store + rate * (now - *at) as f64 / 1e9).min(depth) - asked.units;
        *at = now;
        let (left, least) = (*store, -(slack + rate * CEILING_WIDER) - 1e-6);
        if left < least {
            let account = asked.account;
            let what =
                format!("{id}: account {account} is {:.1} units past its ceiling and slack", least - left);
            self.break_rule("ceilings", now, what);
        }
    }
}
