//! What is believed of one name, and why: records with lifetimes, the last good list, doubt about what shrank.
//!
//! A record is taken back by the server that told it, or when its lifetime is over and another server, which
//! answers well, does not have it. Silence, errors and absurdly small answers take nothing back until the stated
//! times are over. `docs/srv.md` has the rules as a table; each of its rows is a test.

use crate::message::{Found, Kind, Question, SrvRecord};
use crate::resolver::{Ask, Counts, Out, Outcome, Resolver};
use crate::settings::{Addresses, SrvSettings};
use crate::{back_off, Micros, SECOND};
use fastrand::Rng;
use hickory_proto::rr::Name;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Records kept of one name; past that those of the worst priority are left out. One takes about 200 bytes.
pub const RECORDS_MAX: usize = 1_024;
/// Addresses kept of one target.
pub const ADDRESSES_MAX: usize = 16;
/// Part of a lifetime after which its end is met with a new question, drawn at random: gateways that were
/// answered together don't ask together again.
const REFRESH: (f64, f64) = (0.6, 0.9);
/// While addresses are still being asked for, what is known of them is told so often, µs.
const TELL_EVERY: Micros = SECOND / 20;
/// How much smaller or larger than the mean a worker may be by its weight.
const SIZES: (f64, f64) = (0.1, 10.0);
/// Changes kept to be shown.
const NOTES_MAX: usize = 32;

/// An address that is believed to be a worker's.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Where it is.
    pub at: SocketAddr,
    /// Less is better.
    pub priority: u16,
    /// Its size among those of its priority, 1 on the mean.
    pub size: f64,
    /// The targets that lead there, in order.
    pub names: Vec<Name>,
}

/// How good what is believed is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing has been heard yet.
    Unheard,
    /// As the last answer says.
    Fresh,
    /// No answer since then; the last good one holds.
    Stale {
        /// Since when nobody answers.
        since: Micros,
    },
    /// Answers since then lack so much of what is believed that they are not.
    Doubted {
        /// Since when.
        since: Micros,
    },
    /// Nobody answered for so long that nothing is believed any more.
    GivenUp,
}

impl Standing {
    /// One word for logs and figures.
    pub fn word(&self) -> &'static str {
        match self {
            Standing::Unheard => "unheard",
            Standing::Fresh => "fresh",
            Standing::Stale { .. } => "stale",
            Standing::Doubted { .. } => "doubted",
            Standing::GivenUp => "given up",
        }
    }
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put a question to a server and tell what comes, until [`Action::Forget`].
    Ask(Ask),
    /// Close the socket of an ask.
    Forget(u64),
    /// These are the workers from now on.
    Believe(Vec<Endpoint>),
    /// A line for the log.
    Note(String),
}

/// What is believed of one record.
#[derive(Clone, Debug)]
struct Held {
    priority: u16,
    weight: u64,
    /// The server that told it last, and until when that holds.
    teller: usize,
    expires: Micros,
}

/// What is believed of one target's addresses of one family.
#[derive(Clone, Debug, Default)]
struct Family {
    addresses: Vec<IpAddr>,
    /// When to ask again; none while that is under way.
    refresh: Option<Micros>,
    /// Since when answers hold none of those believed.
    doubted: Option<Micros>,
    /// Since when nobody answers.
    silent: Option<Micros>,
    fails: u32,
}

type Key = (Name, u16);

/// One name that is followed.
#[derive(Debug)]
pub struct Service {
    settings: SrvSettings,
    resolver: Resolver,
    rng: Rng,
    records: BTreeMap<Key, Held>,
    targets: BTreeMap<Name, BTreeMap<Kind, Family>>,
    standing: Standing,
    /// Which server gave the last good answer.
    server: usize,
    /// When to ask for the records again; none while that is under way.
    refresh: Option<Micros>,
    fails: u32,
    /// When the records were last asked for.
    asked: Micros,
    /// Answers doubted in a row.
    doubts: u32,
    /// An operator believes the next answer whatever it lacks.
    accept: bool,
    believed: Vec<Endpoint>,
    /// Since when there is something to tell.
    changed: Option<Micros>,
    notes: std::collections::VecDeque<(Micros, String)>,
}

impl Service {
    /// A name of which nothing is known; asked for at the first [`Service::tick`].
    pub fn new(settings: SrvSettings, seed: u64, now: Micros) -> Service {
        Service {
            resolver: Resolver::new(settings.clone(), seed, now),
            rng: crate::rng(!seed),
            settings,
            records: BTreeMap::new(),
            targets: BTreeMap::new(),
            standing: Standing::Unheard,
            server: 0,
            refresh: Some(now),
            fails: 0,
            asked: now,
            doubts: 0,
            accept: false,
            believed: Vec::new(),
            changed: None,
            notes: std::collections::VecDeque::new(),
        }
    }

    /// How good what is believed is.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// What is believed, as last told.
    pub fn believed(&self) -> &[Endpoint] {
        &self.believed
    }

    /// Figures of the questions.
    pub fn counts(&self) -> Counts {
        self.resolver.counts
    }

    /// What it goes by.
    pub fn settings(&self) -> &SrvSettings {
        &self.settings
    }

    /// When to call [`Service::tick`] at the latest.
    pub fn wake(&self) -> Option<Micros> {
        let asks = !self.silent();
        let families = self.targets.values().flat_map(|of| of.values()).filter(|_| asks);
        let told = self.changed.map(|at| at + TELL_EVERY);
        let ends = match self.standing {
            Standing::Stale { since } => Some(since + self.settings.stale_for),
            Standing::Fresh => {
                self.records.values().filter(|r| r.teller != self.server).map(|r| r.expires).min()
            }
            _ => None,
        };
        let own = [self.refresh, told, ends, self.resolver.wake()];
        families.filter_map(|f| f.refresh).chain(own.into_iter().flatten()).min()
    }

    /// Whether nobody answers for the name itself: then nobody is asked for the rest either.
    fn silent(&self) -> bool {
        matches!(self.standing, Standing::Stale { .. })
    }

    /// Whether some addresses are to be asked for now.
    fn due(&self, now: Micros) -> bool {
        let mut families = self.targets.values().flat_map(|of| of.values());
        !self.silent() && families.any(|f| f.refresh.is_some_and(|at| at <= now))
    }

    /// Takes in that time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.refresh.is_some_and(|at| at <= now) {
            let question = Question { name: self.settings.name.clone(), kind: Kind::Srv };
            self.refresh = (!self.resolver.want(question)).then(|| now + self.settings.retry.0);
            self.asked = now;
        }
        let asks = !self.silent();
        for (name, families) in self.targets.iter_mut().filter(|_| asks) {
            for (kind, family) in families.iter_mut().filter(|(_, f)| f.refresh.is_some_and(|at| at <= now)) {
                let question = Question { name: name.clone(), kind: *kind };
                family.refresh = (!self.resolver.want(question)).then(|| now + self.settings.retry.0);
            }
        }
        let mut outs = Vec::new();
        self.resolver.tick(now, &mut outs);
        self.lapse(now, out);
        self.follow(outs, now, out);
    }

    /// Takes in bytes that came for an ask.
    pub fn heard(&mut self, ask: u64, bytes: &[u8], now: Micros, out: &mut Vec<Action>) {
        let mut outs = Vec::new();
        self.resolver.heard(ask, bytes, now, &mut outs);
        self.follow(outs, now, out);
    }

    /// Takes in that an ask can't be answered.
    pub fn broke(&mut self, ask: u64, what: &str, now: Micros, out: &mut Vec<Action>) {
        let mut outs = Vec::new();
        self.resolver.broke(ask, what, now, &mut outs);
        self.follow(outs, now, out);
    }

    /// An operator wants it asked for now. With `accept` the answer is believed whatever it lacks.
    pub fn ask_now(&mut self, accept: bool, now: Micros, out: &mut Vec<Action>) {
        self.accept |= accept;
        self.refresh = Some(now);
        self.note(
            now,
            format!("asked for by an operator{}", if accept { ", to be believed" } else { "" }),
            out,
        );
        self.tick(now, out);
    }

    /// A worker turned out not to be where a record says: the records may have changed before their time. Asked
    /// for no more often than after the least lifetime, whatever a fleet that is down makes of it.
    pub fn suspect(&mut self, now: Micros) {
        let soonest = (self.asked + self.settings.lifetimes.0).max(now);
        if matches!(self.standing, Standing::Fresh) {
            self.refresh = self.refresh.map(|at| at.min(soonest));
        }
    }

    fn follow(&mut self, outs: Vec<Out>, now: Micros, out: &mut Vec<Action>) {
        for one in outs {
            match one {
                Out::Ask(ask) => out.push(Action::Ask(ask)),
                Out::Forget(ask) => out.push(Action::Forget(ask)),
                Out::Done { question, outcome, server } if question.kind == Kind::Srv => {
                    self.on_records(outcome, server, now, out);
                }
                Out::Done { question, outcome, .. } => self.on_addresses(&question, outcome, now, out),
            }
        }
        // What the answers ask for goes out in the same step.
        if self.due(now) {
            return self.tick(now, out);
        }
        self.tell(now, out);
    }

    // ---- records ----

    fn on_records(&mut self, outcome: Outcome, server: usize, now: Micros, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Failed(what) => {
                self.fails = self.fails.saturating_add(1);
                self.refresh = Some(self.later(self.fails, now));
                if matches!(self.standing, Standing::Unheard | Standing::Fresh | Standing::Doubted { .. }) {
                    self.note(now, format!("no answer: {what}; {} records held", self.records.len()), out);
                }
                if matches!(self.standing, Standing::Fresh | Standing::Doubted { .. }) {
                    self.standing = Standing::Stale { since: now };
                }
            }
            Outcome::Absent { unknown, ttl } => {
                let lasts = self.settings.lifetime(ttl.unwrap_or(0));
                let what = if unknown { "no such name" } else { "no records" };
                self.on_answer(Vec::new(), lasts, server, what, now, out);
            }
            Outcome::Found(found) => {
                let lasts = self.settings.lifetime(found.ttl);
                let Found { records, along, .. } = found;
                // One record whose target is the root says that there is decidedly no such service.
                let none = matches!(records.as_slice(), [one] if one.target.is_root());
                self.accept |= none;
                let records = if none { Vec::new() } else { records };
                let what = if none { "the service is decidedly not there" } else { "records" };
                self.on_answer(records, lasts, server, what, now, out);
                self.on_along(along, now);
            }
        }
    }

    fn on_answer(
        &mut self,
        records: Vec<SrvRecord>,
        lasts: Micros,
        server: usize,
        what: &str,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let told = self.usable(records, now, out);
        (self.fails, self.server) = (0, server);
        let lasting = self.refreshed(lasts, now);
        let doubt = self.doubt(told.len(), now);
        let (before, accept) = (self.standing, std::mem::take(&mut self.accept));
        let expires = now + lasts;
        let mut new = Vec::new();
        for (key, (priority, weight)) in &told {
            let held = Held { priority: *priority, weight: *weight, teller: server, expires };
            if self.records.insert(key.clone(), held).is_none() {
                new.push(key.clone());
            }
        }
        self.note_keys("new", &new, now, out);
        match doubt {
            Some((since, false)) if !accept => {
                self.standing = Standing::Doubted { since };
                // Asked again soon, so that it ends as soon as it may.
                self.doubts = self.doubts.saturating_add(1);
                self.refresh = Some(lasting.min(self.later(self.doubts, now)));
                if !matches!(before, Standing::Doubted { .. }) {
                    let (some, all) = (told.len(), self.records.len());
                    self.note(now, format!("{what}: {some} of {all} told, doubted"), out);
                }
            }
            _ => {
                self.standing = Standing::Fresh;
                // With no worker at all nothing is gained by waiting: asked again as what failed is.
                self.doubts = if told.is_empty() { self.doubts.saturating_add(1) } else { 0 };
                let soon = self.later(self.doubts, now);
                self.refresh = Some(if told.is_empty() { lasting.min(soon) } else { lasting });
                if !matches!(before, Standing::Fresh) {
                    self.note(now, format!("{what}: {} believed", told.len()), out);
                }
                // A doubt that is over, or an operator's word, ends what any server told before.
                let all = accept || doubt.is_some();
                self.take_back(
                    |key, held| !told.contains_key(key) && (all || held.teller == server),
                    now,
                    out,
                );
            }
        }
        self.align(now);
    }

    /// Records as they can be used: one for each target and port, those with a port, a target and room.
    fn usable(
        &mut self,
        records: Vec<SrvRecord>,
        now: Micros,
        out: &mut Vec<Action>,
    ) -> BTreeMap<Key, (u16, u64)> {
        let all = records.len();
        let mut usable: Vec<SrvRecord> =
            records.into_iter().filter(|r| r.port > 0 && !r.target.is_root()).collect();
        if usable.len() < all {
            self.note(now, format!("{} records without a port or target left out", all - usable.len()), out);
        }
        usable.sort_by(|a, b| (a.priority, &a.target, a.port).cmp(&(b.priority, &b.target, b.port)));
        let mut told: BTreeMap<Key, (u16, u64)> = BTreeMap::new();
        for record in usable {
            let (key, weight) = ((record.target, record.port), u64::from(record.weight));
            let room = told.len() < RECORDS_MAX;
            match told.get_mut(&key) {
                // Given twice: the better priority, and the sizes together.
                Some((_, sum)) => *sum += weight,
                None if room => drop(told.insert(key, (record.priority, weight))),
                None => {}
            }
        }
        told
    }

    /// Since when an answer with so many records is doubted, and whether for long enough; none where it is not.
    fn doubt(&self, told: usize, now: Micros) -> Option<(Micros, bool)> {
        let held = self.records.len();
        if held == 0 || told as f64 >= self.settings.shrink_to * held as f64 {
            return None;
        }
        let since = match self.standing {
            Standing::Doubted { since } => since,
            _ => now,
        };
        Some((since, now >= since + self.settings.shrink_for))
    }

    fn take_back(&mut self, mut gone: impl FnMut(&Key, &Held) -> bool, now: Micros, out: &mut Vec<Action>) {
        let lost: Vec<Key> =
            self.records.iter().filter(|(key, held)| gone(key, held)).map(|(key, _)| key.clone()).collect();
        self.records.retain(|key, _| lost.binary_search(key).is_err());
        self.note_keys("gone", &lost, now, out);
    }

    /// One line for all records of one change, the first of them by name.
    fn note_keys(&mut self, what: &str, keys: &[Key], now: Micros, out: &mut Vec<Action>) {
        const SHOWN: usize = 4;
        if keys.is_empty() {
            return;
        }
        let shown: Vec<String> =
            keys.iter().take(SHOWN).map(|(name, port)| format!("{name}:{port}")).collect();
        let more =
            if keys.len() > SHOWN { format!(" and {} more", keys.len() - SHOWN) } else { String::new() };
        self.note(now, format!("{what}: {}{more}", shown.join(" ")), out);
    }

    /// What ends by time alone.
    fn lapse(&mut self, now: Micros, out: &mut Vec<Action>) {
        match self.standing {
            Standing::Stale { since } if now >= since + self.settings.stale_for => {
                self.note(now, "nobody answered for too long: nothing is believed any more".into(), out);
                self.standing = Standing::GivenUp;
                self.take_back(|_, _| true, now, out);
                self.align(now);
            }
            // Told by a server that does not answer any more, and not by the one that does.
            Standing::Fresh => {
                let server = self.server;
                let before = self.records.len();
                self.take_back(|_, held| held.teller != server && held.expires <= now, now, out);
                if self.records.len() != before {
                    self.align(now);
                }
            }
            _ => {}
        }
    }

    // ---- addresses ----

    fn kinds(&self) -> &'static [Kind] {
        match self.settings.addresses {
            Addresses::V4 => &[Kind::A],
            Addresses::V6 => &[Kind::Aaaa],
            Addresses::Both => &[Kind::A, Kind::Aaaa],
        }
    }

    /// Brings the targets to the records: new ones are asked for, old ones forgotten.
    fn align(&mut self, now: Micros) {
        let kinds = self.kinds();
        let wanted: std::collections::BTreeSet<Name> =
            self.records.keys().map(|(name, _)| name.clone()).collect();
        self.targets.retain(|name, _| wanted.contains(name));
        for name in wanted {
            let fresh = || {
                let family = || Family { refresh: Some(now), ..Family::default() };
                kinds.iter().map(|kind| (*kind, family())).collect()
            };
            self.targets.entry(name).or_insert_with(fresh);
        }
        self.changed.get_or_insert(now);
    }

    /// Addresses that came along need not be asked for.
    fn on_along(&mut self, along: Vec<(Name, IpAddr, u32)>, now: Micros) {
        let mut told: BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)> = BTreeMap::new();
        for (name, at, ttl) in along {
            let kind = if at.is_ipv4() { Kind::A } else { Kind::Aaaa };
            let (addresses, least) = told.entry((name, kind)).or_insert((Vec::new(), u32::MAX));
            addresses.push(at);
            *least = (*least).min(ttl);
        }
        for ((name, kind), (addresses, ttl)) in told {
            let allowed = self.allowed(addresses);
            // At its end: by then they have come along once more, where all is well.
            let refresh = now + self.settings.lifetime(ttl);
            let Some(family) = self.targets.get_mut(&name).and_then(|of| of.get_mut(&kind)) else { continue };
            if allowed.is_empty() {
                continue;
            }
            *family = Family { addresses: allowed, refresh: Some(refresh), ..Family::default() };
            self.changed.get_or_insert(now);
        }
    }

    fn allowed(&self, addresses: Vec<IpAddr>) -> Vec<IpAddr> {
        let mut allowed: Vec<IpAddr> = addresses.into_iter().filter(|at| self.settings.allows(*at)).collect();
        allowed.sort();
        allowed.dedup();
        allowed.truncate(ADDRESSES_MAX);
        allowed
    }

    fn on_addresses(&mut self, question: &Question, outcome: Outcome, now: Micros, out: &mut Vec<Action>) {
        let (stale_for, shrink_for) = (self.settings.stale_for, self.settings.shrink_for);
        let of = self.targets.get(&question.name).and_then(|of| of.get(&question.kind));
        // Its record may be gone by now.
        let Some(mut family) = of.cloned() else { return };
        let before = family.addresses.clone();
        match outcome {
            Outcome::Found(found) => {
                let told = found.addresses.len();
                let allowed = self.allowed(found.addresses);
                if allowed.len() < told.min(ADDRESSES_MAX) {
                    self.note(
                        now,
                        format!("{}: addresses outside of the networks refused", question.name),
                        out,
                    );
                }
                let refresh = Some(self.refreshed(self.settings.lifetime(found.ttl), now));
                family = Family { addresses: allowed, refresh, ..Family::default() };
            }
            Outcome::Absent { ttl, .. } => {
                let lasts = self.settings.lifetime(ttl.unwrap_or(0));
                let since = *family.doubted.get_or_insert(now);
                (family.fails, family.silent) = (0, None);
                let mut refresh = self.refreshed(lasts, now);
                if now >= since + shrink_for {
                    family.addresses.clear();
                } else if !family.addresses.is_empty() {
                    refresh = refresh.min((since + shrink_for).max(now + self.settings.retry.0));
                }
                family.refresh = Some(refresh);
            }
            Outcome::Failed(what) => {
                let since = *family.silent.get_or_insert(now);
                family.fails = family.fails.saturating_add(1);
                // A server that is down fails all of them: one line says so.
                let others = self.targets.values().flat_map(|of| of.values()).any(|f| f.fails > 0);
                if family.fails == 1 && !others {
                    self.note(now, format!("{}: {what}", question.name), out);
                }
                if now >= since + stale_for {
                    family.addresses.clear();
                }
                family.refresh = Some(self.later(family.fails, now));
            }
        }
        if family.addresses != before {
            self.changed.get_or_insert(now);
        }
        if let Some(of) = self.targets.get_mut(&question.name) {
            of.insert(question.kind, family);
        }
    }

    // ---- times ----

    /// When to ask again for what holds for so long.
    fn refreshed(&mut self, lasts: Micros, now: Micros) -> Micros {
        let part = REFRESH.0 + (REFRESH.1 - REFRESH.0) * self.rng.f64();
        now + ((lasts as f64 * part) as Micros).max(1)
    }

    /// When to ask again for what failed so often in a row.
    fn later(&mut self, fails: u32, now: Micros) -> Micros {
        now + back_off(&mut self.rng, self.settings.retry, fails)
    }

    // ---- what is told ----

    /// Tells of changes: at once where nothing is being asked for, else every while.
    fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(since) = self.changed else { return };
        if !self.resolver.idle() && now < since + TELL_EVERY {
            return;
        }
        self.changed = None;
        let endpoints = self.endpoints();
        if endpoints != self.believed {
            self.believed.clone_from(&endpoints);
            out.push(Action::Believe(endpoints));
        }
    }

    /// The addresses known of a target, of all families.
    fn addresses(&self, target: &Name) -> impl Iterator<Item = IpAddr> + '_ {
        let families = self.targets.get(target).into_iter().flat_map(|of| of.values());
        families.flat_map(|family| family.addresses.iter().copied())
    }

    /// Records and addresses joined. Two names at one address are one worker, as large as both.
    fn endpoints(&self) -> Vec<Endpoint> {
        let mut sums: BTreeMap<u16, (u64, u64)> = BTreeMap::new();
        for held in self.records.values() {
            let (sum, count) = sums.entry(held.priority).or_default();
            (*sum, *count) = (*sum + held.weight, *count + 1);
        }
        let mut joined: BTreeMap<SocketAddr, Endpoint> = BTreeMap::new();
        for ((target, port), held) in &self.records {
            let addresses: Vec<IpAddr> = self.addresses(target).collect();
            let (sum, count) = sums.get(&held.priority).copied().unwrap_or((0, 1));
            // Weights of nothing everywhere mean no preference.
            let size = if sum == 0 { 1.0 } else { held.weight as f64 * count as f64 / sum as f64 };
            for ip in &addresses {
                let at = SocketAddr::new(*ip, *port);
                let fresh = || Endpoint { at, priority: held.priority, size: 0.0, names: Vec::new() };
                let one = joined.entry(at).or_insert_with(fresh);
                one.priority = one.priority.min(held.priority);
                one.size += size / addresses.len() as f64;
                one.names.push(target.clone());
            }
        }
        let bounded = |one: Endpoint| Endpoint { size: one.size.clamp(SIZES.0, SIZES.1), ..one };
        joined.into_values().map(bounded).collect()
    }

    fn note(&mut self, now: Micros, what: String, out: &mut Vec<Action>) {
        if self.notes.len() >= NOTES_MAX {
            self.notes.pop_front();
        }
        self.notes.push_back((now, what.clone()));
        out.push(Action::Note(what));
    }

    /// What is believed and why, for a person to read.
    pub fn explain(&self, now: Micros) -> String {
        let ago = |at: Micros| now.saturating_sub(at) as f64 / SECOND as f64;
        let mut text = format!("{} {}\n", self.settings.name, self.standing.word());
        let left = |at: Micros| at.saturating_sub(now) as f64 / SECOND as f64;
        let next = self.refresh.map_or("under way".into(), |at| format!("in {:.1} s", left(at)));
        let counts = self.resolver.counts;
        text += &format!(
            "  next question {next}; {} asked, {} over TCP, {} without an answer, {} foreign\n",
            counts.asked, counts.tcp, counts.timeouts, counts.foreign
        );
        for ((target, port), held) in &self.records {
            let addresses: Vec<String> = self.addresses(target).map(|at| at.to_string()).collect();
            let who = self.settings.servers.get(held.teller).map(ToString::to_string).unwrap_or_default();
            let at = if addresses.is_empty() { "no address".into() } else { addresses.join(" ") };
            text += &format!(
                "  {target}:{port} priority {} weight {}: {at} (told by {who}, {:.0} s left)\n",
                held.priority,
                held.weight,
                left(held.expires)
            );
        }
        for (at, what) in &self.notes {
            text += &format!("  {:.1} s ago: {what}\n", ago(*at));
        }
        text
    }
}
