//! The verdict on a record: the rules by the checker that the simulator has too, and the sums. No I/O.
//!
//! Real processes on a machine of unknown speed are given what a virtual world need not give: a gateway that
//! stood still was told of workers when it went on; what ends a connection is read in any order with what
//! begins the next; a client's time is longer than it says; what the rehearsal read late was written before.

use crate::lateness::Lateness;
use crate::places::Service;
use crate::policies::{At, Policies, Witness};
use crate::record::{Event, Sample};
use crate::script::{Group, Script};
use crate::sums::{Sums, Try};
use hingestage_rules::asked::Asked;
use hingestage_rules::checker::{Checker, Figures, Violation};
use hingestage_rules::Nanos;
use hingestage_test_servers::site::{self, Plan};
use hingestage_test_servers::Seen;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Reading what ended a connection may be so much later than reading what began another.
const READ_LATE: Duration = Duration::from_millis(50);
/// What was told a gateway this shortly before it stood still it may have read when it went on.
const TOLD_LATE: Duration = Duration::from_millis(200);
/// Longer than this a drain may take by reason of the machine.
const SLOW: Duration = Duration::from_millis(450);
/// Later than this the rehearsal itself was too slow to tell anything.
const LAG_MAX: f64 = 0.4;
/// Where the rehearsal was held up for more than this share of its time, a sum that doesn't hold tells nothing: half of what
/// most of them allow.
const HELD_UP_SHARE_MAX: f64 = 0.05;
/// A life of gateways that nothing can be held against.
const NO_LIFE: u32 = u32::MAX;

/// What came of a run.
pub struct Verdict {
    /// The first rule that was broken, or a crash.
    pub broken: Option<Violation>,
    /// Why the run tells nothing, where it doesn't.
    pub void: Option<String>,
    /// What it came to.
    pub sums: Sums,
    /// What must hold: in words, as measured, and whether it does.
    pub holds: Vec<(String, f64, bool)>,
    /// Units beyond quotas, of how many.
    pub beyond: (f64, f64),
    /// What became of changes of the policy.
    pub policies: Policies,
    /// Faults, as they struck, by time since clients began.
    pub faults: Vec<(Duration, String)>,
    /// When the rehearsal itself was held up.
    pub lateness: Lateness,
    /// Where a rule was broken: what was seen of the request, or of the faults round that time.
    pub history: Vec<String>,
}

impl Verdict {
    /// Whether all is well.
    pub fn holds(&self) -> bool {
        self.broken.is_none() && self.holds.iter().all(|(_, _, kept)| *kept)
    }
}

/// The figures of the rules for plans like these, on a machine of unknown speed.
fn figures(plans: &[Plan]) -> Figures {
    Figures { drain_grace: (site::DRAIN_GRACE + SLOW).as_nanos() as Nanos, ..Figures::of(plans) }
}

/// Judges a record of a script whose clients began at `begun`.
pub fn judge(script: &Script, begun: Instant, entries: &[(Instant, Event)], late: Duration) -> Verdict {
    let mut bench = Bench::new(script, begun, Lateness::of(entries));
    for (at, event) in in_order(entries) {
        bench.take(at, event);
    }
    let mut verdict = bench.verdict(script, late);
    verdict.history = verdict.broken.iter().flat_map(|broken| history(begun, entries, broken)).collect();
    verdict
}

/// What was seen of the request that a broken rule names, as it was read.
fn history(begun: Instant, entries: &[(Instant, Event)], broken: &Violation) -> Vec<String> {
    let id = broken.what.split([' ', ',', ':']).next().unwrap_or_default();
    let of = |seen: &Seen| match seen {
        Seen::Whole { conn, message, .. } if message.header("request-id") == Some(id) => Some(*conn),
        _ => None,
    };
    let conns: BTreeSet<u64> = entries
        .iter()
        .filter_map(|(_, event)| if let Event::Seen(seen) = event { of(seen) } else { None })
        .collect();
    let ms = |at: Instant| match at.checked_duration_since(begun) {
        Some(after) => after.as_secs_f64() * 1e3,
        None => -begun.saturating_duration_since(at).as_secs_f64() * 1e3,
    };
    let line = |(at, event): &(Instant, Event)| {
        let text = match event {
            Event::Asks(of, asked) if of == id => format!("asks {} at gateway {}", asked.line, asked.gateway),
            Event::Seen(Seen::Whole { worker, conn, began, .. }) if conns.contains(conn) => {
                format!("a request is whole at worker {worker} on {conn}, begun at {:.1}", ms(*began))
            }
            Event::Seen(seen) if tells_of(seen, id, &conns) => format!("{seen:?}"),
            Event::ConnEnded(conn) if conns.contains(conn) => format!("the gateway's side of {conn} is over"),
            Event::Fault(text) => text.clone(),
            Event::Stops(gateway) => format!("gateway {gateway} stands still"),
            Event::GoesOn(gateway) => format!("gateway {gateway} goes on"),
            Event::HeldUp { since } => format!("the rehearsal itself was held up since {:.1}", ms(*since)),
            _ => return None,
        };
        Some(format!("{:>10.1} {text}", ms(*at)))
    };
    entries.iter().filter_map(line).collect()
}

fn tells_of(seen: &Seen, wanted: &str, conns: &BTreeSet<u64>) -> bool {
    match seen {
        Seen::Asking { id } | Seen::Asked { id, .. } | Seen::Answered { id, .. } => id == wanted,
        Seen::Unanswered { id, .. } | Seen::Left { id, .. } | Seen::Ran { id, .. } => id == wanted,
        Seen::Began { conn, .. } | Seen::Answering { conn } | Seen::Wrote { conn, .. } => {
            conns.contains(conn)
        }
        _ => false,
    }
}

/// Events by when the gateway caused them, as far as that is known: a request counts from its first byte, the
/// end of a connection from shortly before it was read, but not before what had come on it.
fn in_order(entries: &[(Instant, Event)]) -> Vec<(Instant, &Event)> {
    let mut last_on: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut sorted = Vec::with_capacity(entries.len());
    for (at, event) in entries {
        let caused = match event {
            Event::Seen(Seen::Whole { conn, began, .. }) => {
                last_on.insert(*conn, *began);
                *began
            }
            Event::ConnEnded(conn) => {
                let early = at.checked_sub(READ_LATE).unwrap_or(*at);
                last_on.get(conn).map_or(early, |last| early.max(*last))
            }
            _ => *at,
        };
        sorted.push((caused, event));
    }
    sorted.sort_by_key(|(at, _)| *at);
    sorted
}

/// A worker's state as told to a gateway, when, and its start.
type Told = (String, Instant, u64);

struct Bench {
    begun: Instant,
    lateness: Lateness,
    checker: Checker,
    lives: BTreeMap<usize, u32>,
    closing: BTreeSet<usize>,
    stopped: BTreeMap<usize, Instant>,
    told: BTreeMap<(usize, String), Told>,
    /// Requests that clients mean to make.
    meant: BTreeMap<String, Asked>,
    tries: BTreeMap<String, Try>,
    sums: Sums,
    last: Sample,
    lag: f64,
    faults: Vec<(Duration, String)>,
    crash: Option<Violation>,
    /// The accounts that tell versions apart, and their requests.
    witnesses: Option<(u64, u64)>,
    witnessed: BTreeMap<String, Witnessed>,
    policies: Policies,
}

/// A request of an account that tells versions apart.
struct Witnessed {
    account: u64,
    asked: At,
    began_by: Option<At>,
    served: bool,
}

impl Bench {
    fn new(script: &Script, begun: Instant, lateness: Lateness) -> Bench {
        Bench {
            begun,
            lateness,
            checker: Checker::new(figures(&script.plans)),
            lives: BTreeMap::new(),
            closing: BTreeSet::new(),
            stopped: BTreeMap::new(),
            told: BTreeMap::new(),
            meant: BTreeMap::new(),
            tries: BTreeMap::new(),
            sums: Sums::new(script.lasts),
            last: Sample::default(),
            lag: 0.0,
            faults: Vec::new(),
            crash: None,
            witnesses: script.witnesses(),
            witnessed: BTreeMap::new(),
            policies: Policies::default(),
        }
    }

    fn span(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.begun)
    }

    /// Microseconds since clients began.
    fn at(&self, at: Instant) -> At {
        let after = at.saturating_duration_since(self.begun).as_micros() as At;
        after - self.begun.saturating_duration_since(at).as_micros() as At
    }

    fn nanos(&self, at: Instant) -> Nanos {
        self.span(at).as_nanos() as Nanos
    }

    fn take(&mut self, at: Instant, event: &Event) {
        let now = self.nanos(at);
        match event {
            Event::Seen(seen) => self.see(at, seen),
            Event::Asks(id, asked) => drop(self.meant.insert(id.clone(), asked.clone())),
            Event::Worker(uid, boot_ms, spec) => self.checker.worker(uid, *boot_ms, spec.clone()),
            Event::Starts(gateway, known) => self.starts(at, *gateway, known),
            Event::Killed(gateway) => self.new_life(*gateway),
            Event::Terms(gateway) => drop(self.closing.insert(*gateway)),
            Event::Succeeds(gateway, known) => self.knows(at, *gateway, known),
            Event::Stops(gateway) => {
                self.new_life(*gateway);
                self.stopped.insert(*gateway, at);
            }
            Event::GoesOn(gateway) => self.goes_on(at, *gateway),
            Event::ConnEnded(conn) => self.checker.conn_ended(*conn),
            Event::Crash(_, what) => {
                let violation = Violation { rule: "crash", at: now, what: what.clone() };
                self.crash.get_or_insert(violation);
            }
            Event::Fault(text) => self.faults.push((self.span(at), text.clone())),
            Event::Sample(sample) => self.sample(at, sample),
            Event::HeldUp { .. } => {}
            Event::Policies(policies) => self.policies = policies.clone(),
        }
    }

    /// What a gateway holds now is not held against it.
    fn new_life(&mut self, gateway: usize) {
        *self.lives.entry(gateway).or_default() += 1;
        self.checker.gateway_killed(gateway);
    }

    fn starts(&mut self, at: Instant, gateway: usize, known: &[(String, String, u64)]) {
        let life = self.checker.gateway_starts(gateway);
        self.lives.insert(gateway, life);
        self.closing.remove(&gateway);
        self.stopped.remove(&gateway);
        self.told.retain(|(of, _), _| *of != gateway);
        self.knows(at, gateway, known);
    }

    /// A process of a gateway begins with what it knows of workers.
    fn knows(&mut self, at: Instant, gateway: usize, known: &[(String, String, u64)]) {
        for (uid, state, boot_ms) in known {
            self.tell(at, gateway, uid, state, *boot_ms);
        }
    }

    fn tell(&mut self, at: Instant, gateway: usize, uid: &str, state: &str, boot_ms: u64) {
        self.told.insert((gateway, uid.to_owned()), (state.to_owned(), at, boot_ms));
        let (uid, state) = (uid.to_owned(), state.to_owned());
        let told = Seen::Told { gateway, uid, state, boot_ms };
        self.checker.observe(self.nanos(at), &told, |_| 0);
    }

    /// What it was told while it stood still, or right before, it reads now.
    fn goes_on(&mut self, at: Instant, gateway: usize) {
        self.new_life(gateway);
        let Some(stopped) = self.stopped.remove(&gateway) else { return };
        let since = stopped.checked_sub(TOLD_LATE).unwrap_or(stopped);
        let read: Vec<(String, Told)> = self
            .told
            .iter()
            .filter(|((of, _), (_, told, _))| *of == gateway && *told >= since)
            .map(|((_, uid), told)| (uid.clone(), told.clone()))
            .collect();
        for (uid, (state, _, boot_ms)) in read {
            self.tell(at, gateway, &uid, "up", boot_ms);
            self.tell(at, gateway, &uid, &state, boot_ms);
        }
    }

    fn see(&mut self, at: Instant, seen: &Seen) {
        let mut seen = seen.clone();
        match &mut seen {
            Seen::Asking { id } => self.asks(at, &id.clone()),
            Seen::Unanswered { taken, first, .. } => {
                // Real sockets don't tell. One that crossed the closing of a kept connection is asked again.
                *taken = taken.or(Some(*first));
            }
            Seen::Answered { id, status, .. } => {
                self.witnessed.entry(id.clone()).and_modify(|one| one.served = *status == 200);
                let answered = self.span(at);
                self.tries.entry(id.clone()).and_modify(|one| {
                    (one.status, one.took) = (Some(*status), Some(answered.saturating_sub(one.at)));
                });
            }
            Seen::Whole { worker, message, began, .. } => {
                self.checker.read_up_to(self.lateness.read_delay(*began).as_nanos() as Nanos);
                let id = message.header("request-id").unwrap_or_default().to_owned();
                let (sent, arrived) = (self.span(at), self.at(at));
                self.witnessed
                    .entry(id.clone())
                    .and_modify(|one| one.began_by = one.began_by.or(Some(arrived)));
                self.tries.entry(id).and_modify(|one| {
                    (one.sent, one.worker) = (one.sent.or(Some(sent)), one.worker.or(Some(*worker)));
                });
            }
            Seen::Told { gateway, uid, state, boot_ms } => {
                return self.tell(at, *gateway, uid, state, *boot_ms);
            }
            _ => {}
        }
        let begun = self.begun;
        let nanos = |at: Instant| at.saturating_duration_since(begun).as_nanos() as Nanos;
        self.checker.observe(nanos(at), &seen, nanos);
    }

    fn asks(&mut self, at: Instant, id: &str) {
        // Asked a second time, on another connection: one request all the same.
        let Some(mut asked) = self.meant.remove(id) else { return };
        let closing = self.closing.contains(&asked.gateway);
        asked.life = if closing { NO_LIFE } else { self.lives.get(&asked.gateway).copied().unwrap_or(0) };
        let inside = self.checker.ask(self.nanos(at), id, asked.clone());
        if let Some((odd, even)) = self.witnesses {
            let account = asked.account;
            if account == odd || account == even {
                let asked = self.at(at);
                let one = Witnessed { account, asked, began_by: None, served: false };
                self.witnessed.insert(id.to_owned(), one);
                // Refused as often as not, it tells nothing of service.
                return;
            }
        }
        let at = self.span(at);
        self.tries.insert(
            id.to_owned(),
            Try { asked, at, inside, status: None, sent: None, worker: None, took: None },
        );
    }

    fn sample(&mut self, at: Instant, sample: &Sample) {
        let most = sample.connections.values().max().copied().unwrap_or(0);
        let calls = sample.calls.saturating_sub(self.last.calls);
        self.sums.sample(self.span(at), calls, most);
        self.lag = self.lag.max(sample.lag);
        self.sums.spent = sample.spent;
        self.last = sample.clone();
    }

    fn verdict(mut self, script: &Script, late: Duration) -> Verdict {
        self.tries.values().for_each(|one| self.sums.take(one));
        let groups: BTreeMap<u64, &Group> = script.accounts().collect();
        let mut service = Service::new(script);
        for one in self.tries.values() {
            groups.get(&one.asked.account).into_iter().for_each(|group| service.take(group, one));
        }
        self.sums.service = service;
        self.sums.changing = self.policies.changing();
        let lag = self.lag.max(late.as_secs_f64());
        let odd = self.witnesses.map(|(odd, _)| odd);
        let witness = |(id, one): (&String, &Witnessed)| {
            let blocked_in_odd = Some(one.account) == odd;
            let began_by = one.began_by.filter(|_| one.served)?;
            Some(Witness { id: id.clone(), blocked_in_odd, asked: one.asked, began_by })
        };
        let witnesses: Vec<Witness> = self.witnessed.iter().filter_map(witness).collect();
        self.sums.changes = (self.policies.seen(&witnesses), self.policies.holds_last());
        let holds: Vec<_> = script.holds.iter().map(|hold| self.sums.measure(script, hold)).collect();
        let error = script.fleet.keepers.as_ref().map_or(Duration::ZERO, |keepers| keepers.error);
        let policy = self.policies.broken(&witnesses, error).filter(|_| !self.policies.in_force.is_empty());
        let policy =
            policy.map(|(at, what)| Violation { rule: "policy", at: at.max(0) as Nanos * 1_000, what });
        let broken = self.checker.broken().cloned();
        let broken = match (broken, policy) {
            (Some(rule), Some(policy)) => Some(if rule.at <= policy.at { rule } else { policy }),
            (rule, policy) => rule.or(policy),
        };
        let broken = match (broken, self.crash) {
            (Some(rule), Some(crash)) => Some(if rule.at <= crash.at { rule } else { crash }),
            (rule, crash) => rule.or(crash),
        };
        let sum_fails = holds.iter().any(|(_, _, kept)| !kept);
        let (held_up, lasts) = (self.lateness.total.as_secs_f64(), script.lasts.as_secs_f64());
        let void = if lag > LAG_MAX {
            Some(format!("the rehearsal itself was {lag:.2} s late"))
        } else if sum_fails && broken.is_none() && held_up > HELD_UP_SHARE_MAX * lasts {
            Some(format!("the rehearsal itself was held up for {held_up:.2} s"))
        } else {
            None
        };
        let beyond = (self.checker.service.beyond_units, self.checker.service.sent_units);
        let (policies, faults) = (self.policies, self.faults);
        let (sums, lateness, history) = (self.sums, self.lateness, Vec::new());
        Verdict { broken, void, sums, holds, beyond, policies, faults, lateness, history }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::read;
    use hingestage_rules::Class;
    use hingestage_test_servers::worker::Spec;
    use hingestage_test_servers::Message;

    const FILE: &str = "(rehearsal (name x) (seconds 20) (fleet (gateways 2) (workers 1)) \
                        (plan (name p) (quota 10 10) (ceiling 10 10 2)) (accounts (plan p)))";

    /// A record as it is written by hand.
    struct Hand {
        begun: Instant,
        entries: Vec<(Instant, Event)>,
    }

    fn hand() -> Hand {
        let mut hand = Hand { begun: Instant::now() + Duration::from_secs(1), entries: Vec::new() };
        let spec = Spec {
            number: 0,
            cores: 1,
            queue: 9,
            speed: 1.0,
            cold: site::COLD,
            started: None,
            runs_on: true,
            zone: "a",
            cell: 0,
        };
        hand.at(0, Event::Worker("w0".into(), 0, spec));
        hand.at(0, Event::Starts(0, vec![("w0".into(), "up".into(), 0)]));
        hand
    }

    impl Hand {
        fn point(&self, ms: u64) -> Instant {
            self.begun + Duration::from_millis(ms)
        }

        fn at(&mut self, ms: u64, event: Event) {
            let at = self.point(ms);
            self.entries.push((at, event));
        }

        fn seen(&mut self, ms: u64, seen: Seen) {
            self.at(ms, Event::Seen(seen));
        }

        fn asks(&mut self, ms: u64, id: &str, class: Class, units: f64) {
            let asked = Asked {
                gateway: 0,
                life: 0,
                class,
                account: 7,
                plan: 0,
                units,
                number: u64::from_str_radix(id, 16).unwrap(),
                line: "GET /x?work=1".into(),
                body: Vec::new(),
            };
            self.at(ms, Event::Asks(id.into(), asked));
            self.seen(ms, Seen::Asking { id: id.into() });
            self.seen(ms, Seen::Asked { id: id.into(), conn: 1 });
        }

        fn whole(&mut self, ms: u64, began: u64, id: &str, conn: u64) {
            let headers = vec![("request-id".to_owned(), id.to_owned())];
            let message = Message { first_line: "GET /x?work=1".into(), headers, body: Vec::new() };
            self.seen(ms, Seen::Whole { worker: 0, conn, message, began: self.point(began) });
        }

        fn answered(&mut self, ms: u64, id: &str, conn: u64) {
            self.seen(ms, Seen::Made { id: id.into(), body: b"it".to_vec() });
            self.seen(ms, Seen::Wrote { worker: 0, conn, never: false });
            self.seen(
                ms,
                Seen::Answered { id: id.into(), status: 200, body: b"it".to_vec(), retry_after: None },
            );
        }

        fn refused(&mut self, ms: u64, id: &str) {
            let (id, body, retry_after) = (id.into(), Vec::new(), None);
            self.seen(ms, Seen::Answered { id, status: 429, body, retry_after });
        }

        fn held_up(&mut self, since: u64, until: u64) {
            let since = self.point(since);
            self.at(until, Event::HeldUp { since });
        }

        fn told(&mut self, ms: u64, state: &str) {
            let (uid, state) = ("w0".to_owned(), state.to_owned());
            self.seen(ms, Seen::Told { gateway: 0, uid, state, boot_ms: 0 });
        }

        fn verdict(&self) -> Verdict {
            judge(&read(FILE).unwrap(), self.begun, &self.entries, Duration::ZERO)
        }

        fn rule(&self) -> Option<&'static str> {
            self.verdict().broken.map(|broken| broken.rule)
        }
    }

    fn unanswered(id: &str, first: bool) -> Seen {
        Seen::Unanswered { id: id.into(), taken: None, first }
    }

    #[test]
    fn a_request_served_breaks_nothing_and_counts() {
        let mut hand = hand();
        hand.asks(10, "1", Class::Pull, 2.0);
        hand.whole(12, 11, "1", 5);
        hand.answered(20, "1", 5);
        let verdict = hand.verdict();
        assert_eq!(verdict.broken, None);
        assert_eq!((verdict.sums.buckets[0].served, verdict.sums.buckets[0].units), (1, 2.0));
        assert_eq!(verdict.beyond, (0.0, 2.0));
    }

    #[test]
    fn a_connection_that_ends_unanswered_is_a_lost_request_unless_its_gateway_was_killed() {
        let mut lost = hand();
        lost.asks(10, "1", Class::Pull, 1.0);
        lost.seen(30, unanswered("1", true));
        assert_eq!(lost.rule(), Some("lost"));
        let mut killed = hand();
        killed.asks(10, "1", Class::Pull, 1.0);
        killed.at(20, Event::Killed(0));
        killed.seen(30, unanswered("1", true));
        assert_eq!(killed.rule(), None);
    }

    #[test]
    fn one_told_to_end_answers_what_it_has_and_nothing_that_comes_then() {
        let mut held = hand();
        held.asks(10, "1", Class::Pull, 1.0);
        held.at(20, Event::Terms(0));
        held.seen(30, unanswered("1", true));
        assert_eq!(held.rule(), Some("lost"));
        let mut came = hand();
        came.at(20, Event::Terms(0));
        came.asks(25, "1", Class::Pull, 1.0);
        came.seen(30, unanswered("1", true));
        assert_eq!(came.rule(), None);
    }

    #[test]
    fn what_crossed_the_end_of_a_kept_connection_is_asked_again() {
        let mut hand = hand();
        hand.asks(10, "1", Class::Pull, 1.0);
        hand.seen(11, unanswered("1", false));
        hand.seen(12, Seen::Asking { id: "1".into() });
        hand.whole(13, 12, "1", 5);
        hand.answered(14, "1", 5);
        assert_eq!(hand.rule(), None);
        assert_eq!(hand.verdict().sums.buckets[0].asked, 1);
    }

    #[test]
    fn an_attempt_counts_from_its_first_byte_and_one_whose_end_was_read_late_is_over() {
        let mut hand = hand();
        hand.asks(10, "1", Class::Pull, 1.0);
        hand.whole(12, 11, "1", 5);
        // The gateway closed before it sent again; both were read in one go, in the other order.
        hand.whole(100, 99, "1", 6);
        hand.at(101, Event::ConnEnded(5));
        hand.answered(110, "1", 6);
        assert_eq!(hand.rule(), None);
    }

    #[test]
    fn two_attempts_at_once_are_found() {
        let mut hand = hand();
        hand.asks(10, "1", Class::Pull, 1.0);
        hand.whole(12, 11, "1", 5);
        hand.whole(100, 99, "1", 6);
        hand.at(400, Event::ConnEnded(5));
        assert_eq!(hand.rule(), Some("twice"));
    }

    #[test]
    fn a_push_sent_again_is_found_though_its_first_connection_broke() {
        let mut hand = hand();
        hand.asks(10, "1", Class::Push, 1.0);
        hand.whole(12, 11, "1", 5);
        hand.at(60, Event::ConnEnded(5));
        hand.whole(200, 199, "1", 6);
        assert_eq!(hand.rule(), Some("twice"));
    }

    #[test]
    fn what_is_sent_on_after_its_answer_is_found_unless_the_rehearsal_was_held_up_meanwhile() {
        // Asked, held up, and what had come meanwhile read in turns: the answer first, then what was sent before it.
        let read_at = |ms: u64, spans: &[(u64, u64)]| {
            let mut hand = hand();
            hand.asks(10, "1", Class::Pull, 1.0);
            spans.iter().for_each(|(since, until)| hand.held_up(*since, *until));
            hand.refused(505, "1");
            hand.whole(ms + 1, ms, "1", 5);
            hand.rule()
        };
        assert_eq!(read_at(570, &[(20, 430), (440, 500), (508, 568)]), None);
        assert_eq!(read_at(570, &[]), Some("lost"));
        assert_eq!(read_at(570, &[(20, 430)]), Some("lost"), "it had caught up");
        assert_eq!(read_at(600, &[(560, 598)]), Some("lost"), "sent after it had read the answer");
        assert_eq!(read_at(700, &[(20, 430), (440, 500), (508, 568)]), Some("lost"), "it had caught up");
    }

    #[test]
    fn a_sum_that_fails_tells_nothing_where_the_rehearsal_was_held_up_for_long_but_a_rule_does() {
        let file = |least: f64| {
            let holds = format!("(holds (served {least} 0 20)))");
            read(&format!("{}{holds}", FILE.strip_suffix(')').unwrap())).unwrap()
        };
        let held_up_for = |ms: u64| {
            let mut hand = hand();
            (0..ms / 100).for_each(|n| hand.held_up(n * 500, n * 500 + 100));
            hand.asks(10, "1", Class::Pull, 1.0);
            hand.refused(20, "1");
            hand
        };
        let judged = |hand: &Hand, least: f64| {
            let verdict = judge(&file(least), hand.begun, &hand.entries, Duration::ZERO);
            (verdict.void.is_some(), verdict.holds())
        };
        assert_eq!(judged(&held_up_for(1_000), 0.5), (false, false));
        let mut long = held_up_for(1_100);
        assert_eq!((judged(&long, 0.5), judged(&long, 0.0)), ((true, false), (false, true)));
        long.asks(30, "2", Class::Pull, 1.0);
        long.seen(50, unanswered("2", true));
        assert_eq!(judged(&long, 0.5), (false, false));
    }

    #[test]
    fn a_ceiling_is_kept_by_when_gateways_sent_and_not_by_when_it_arrived() {
        // Ten units a second that arrive together after a stall are within it; sent together they aren't.
        let mut late = hand();
        let mut burst = hand();
        for n in 1..=40u64 {
            let id = format!("{n:x}");
            late.asks(n * 100, &id, Class::Pull, 1.0);
            late.whole(4_100, n * 100, &id, n);
            burst.asks(n * 10, &id, Class::Pull, 1.0);
            burst.whole(4_100, n * 10, &id, n);
        }
        assert_eq!((late.rule(), burst.rule()), (None, Some("ceilings")));
    }

    #[test]
    fn work_for_a_drained_worker_is_found_and_a_gateway_that_stood_still_is_told_when_it_goes_on() {
        let sent = |hand: &mut Hand, at: u64| {
            hand.asks(at, "1", Class::Pull, 1.0);
            hand.whole(at + 2, at + 1, "1", 5);
        };
        let mut drained = hand();
        drained.told(10, "draining");
        sent(&mut drained, 2_000);
        assert_eq!(drained.rule(), Some("drains"));
        let mut stood = hand();
        stood.told(10, "draining");
        stood.at(20, Event::Stops(0));
        stood.at(1_990, Event::GoesOn(0));
        sent(&mut stood, 2_000);
        assert_eq!(stood.rule(), None);
        let mut long_before = hand();
        long_before.told(10, "draining");
        long_before.at(1_000, Event::Stops(0));
        long_before.at(1_990, Event::GoesOn(0));
        sent(&mut long_before, 2_000);
        assert_eq!(long_before.rule(), Some("drains"));
    }

    #[test]
    fn a_crash_is_broken_whatever_else_holds_and_a_late_rehearsal_is_void() {
        let mut crash = hand();
        crash.at(10, Event::Crash(0, "gateway 0 ended".into()));
        assert_eq!(crash.rule(), Some("crash"));
        let mut late = hand();
        let (calls, connections) = (5, BTreeMap::new());
        late.at(10, Event::Sample(Sample { calls, connections, lag: 2.0, ..Sample::default() }));
        let verdict = late.verdict();
        assert!(verdict.void.is_some() && verdict.broken.is_none());
        assert_eq!(verdict.sums.buckets[0].calls, 5);
    }
}
