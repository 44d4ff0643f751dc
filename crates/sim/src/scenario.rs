//! A script drawn from a seed: a small site, its load, and what goes wrong.
//!
//! Each seed draws a family: a kind of world in which some limit binds. Each also draws which kinds of faults
//! may happen at all, few or many (swarm testing): some seeds see much of little, others a little of much.

use crate::net::EPOCH;
use crate::script::*;
use fastrand::Rng;
use hingestage_test_servers::client::RUDE;

/// Part of a script in which clients ask, microseconds.
const LOAD: Micros = 2_400_000;
/// The latest that a fault is mended.
const FAULTS: Micros = 3_200_000;
/// The same in lightly used worlds, which must be calm for a while before they count.
const LIGHT: Micros = 9_000_000;

/// A script as it is drawn.
struct Draft {
    rng: Rng,
    script: Script,
    /// Kinds of faults that may happen.
    kinds: Vec<String>,
}

/// How often a family is drawn, and what draws it.
type Family = (u32, fn(&mut Draft));

/// How often each family is drawn, of all, and what draws it, in the order of [`FAMILIES`].
const DRAWN: [Family; FAMILIES.len()] = [
    (36, Draft::mixed),
    (9, Draft::narrow),
    (2, Draft::crowd),
    (3, Draft::light),
    (1, Draft::wide),
    (10, Draft::connect),
    (9, Draft::keyed),
    (6, Draft::flood),
    (5, Draft::ids),
    (6, Draft::patience),
    (5, Draft::clocks),
    (5, Draft::sockets),
    (3, Draft::lag),
    // Drawn by `srv_scenario` alone: the seeds of before stay what they were.
    (0, Draft::srv),
    // The same, by `sites_scenario`.
    (0, Draft::sites),
];

/// A family's place in [`FAMILIES`].
fn family(rng: &mut Rng) -> usize {
    let mut at = rng.u32(..DRAWN.iter().map(|(weight, _)| weight).sum::<u32>());
    for (place, (weight, _)) in DRAWN.iter().enumerate() {
        if at < *weight {
            return place;
        }
        at -= weight;
    }
    0
}

/// The script of a seed.
pub fn scenario(seed: u64) -> Script {
    let mut rng = Rng::with_seed(seed ^ 0x9e37_79b9_7f4a_7c15);
    let family = family(&mut rng);
    let site = Site { family: FAMILIES[family], ..Site::default() };
    let (gateways, runs_on) = (1 + rng.usize(..4), rng.bool());
    let script =
        Script { seed, gateways, runs_on, exact: false, site, workers: Vec::new(), acts: Vec::new() };
    let kinds = swarm(&mut rng, kinds());
    let mut draft = Draft { rng, script, kinds };
    DRAWN[family].1(&mut draft);
    draft.script.acts.sort_by_key(|(at, _)| *at);
    draft.script
}

/// The script of a seed in which workers come from SRV records.
pub fn srv_scenario(seed: u64) -> Script {
    let mut rng = Rng::with_seed(seed ^ 0x5352_565f_7365_6564);
    let site = Site { family: "srv", ..Site::default() };
    let (gateways, runs_on) = (1 + rng.usize(..4), rng.bool());
    let script =
        Script { seed, gateways, runs_on, exact: false, site, workers: Vec::new(), acts: Vec::new() };
    // A restart under the same name and address is told by no record: it is no part of these worlds.
    let known = kinds().into_iter().filter(|kind| kind != "restart").collect();
    let kinds = swarm(&mut rng, known);
    let mut draft = Draft { rng, script, kinds };
    draft.srv();
    // Whoever replaces workers within a lifetime has been told not to (`docs/on-srv.md`).
    let deploys = draft.script.acts.iter().any(|(_, act)| matches!(act, Act::Fault(Fault::Deploy(..))));
    if let Some((_, ttl)) = draft.script.site.srv.as_mut().filter(|_| deploys) {
        *ttl = (*ttl).min(2);
    }
    draft.script.acts.sort_by_key(|(at, _)| *at);
    draft.script
}

/// The script of a seed in which whole sites are lost and return.
pub fn sites_scenario(seed: u64) -> Script {
    let mut rng = Rng::with_seed(seed ^ 0x7369_7465_735f_6f66);
    let site = Site { family: "sites", spread: 3, ..Site::default() };
    let (gateways, runs_on) = ([3, 6, 6, 12, 30][rng.usize(..5)], rng.bool());
    let script =
        Script { seed, gateways, runs_on, exact: false, site, workers: Vec::new(), acts: Vec::new() };
    let kinds = swarm(&mut rng, kinds());
    let mut draft = Draft { rng, script, kinds };
    draft.sites();
    draft.script.acts.sort_by_key(|(at, _)| *at);
    draft.script
}

/// A random part of the kinds: now and then one or two, else a share of them, or all.
fn swarm(rng: &mut Rng, mut kinds: Vec<String>) -> Vec<String> {
    rng.shuffle(&mut kinds);
    let keep = match rng.u32(..4) {
        0 => 1 + rng.usize(..2),
        1 => 3 + rng.usize(..6),
        2 => kinds.len() / 2,
        _ => kinds.len(),
    };
    kinds.truncate(keep);
    kinds
}

impl Draft {
    fn add(&mut self, at: Micros, mut act: Act) {
        if let Act::Ask(AskLine { times: (1, every), .. }) = &mut act {
            *every = 0;
        }
        self.script.acts.push((at, act));
    }

    fn workers(&mut self, count: usize, mut draw: impl FnMut(&mut Rng, &mut WorkerLine)) {
        for number in 0..count {
            let speed = (9 + self.rng.u32(..9)) as f64 / 10.0;
            let (cores, queue) = (2, [2, 8, 64][self.rng.usize(..3)]);
            let cold = self.rng.u32(..8) == 0;
            let mut line = WorkerLine { number, cores, speed, queue, cold, place: (ZONES[0], 0) };
            draw(&mut self.rng, &mut line);
            self.script.workers.push(line);
        }
    }

    /// Worlds with a little of everything, now and then a release morning: much to do, and a fleet that has
    /// just started.
    fn mixed(&mut self) {
        let morning = self.rng.u32(..6) == 0;
        let fleet = if morning { 1 + self.rng.usize(..3) } else { 2 + self.rng.usize(..13) };
        self.workers(fleet, |rng, w| w.cold |= morning && rng.u32(..4) > 0);
        self.asks();
        if morning {
            self.rush();
        }
        self.faults();
    }

    /// Workers of one core with hardly a queue: they turn away at once, and the cold budget alone decides.
    fn narrow(&mut self) {
        let fleet = 1 + self.rng.usize(..4);
        self.workers(fleet, |rng, w| {
            (w.cores, w.queue) = (1, rng.usize(..3));
            w.cold = rng.u32(..4) > 0;
        });
        self.asks();
        self.rush();
        self.faults();
    }

    /// Many gateways before few workers, cold ones among them, and a rush through all of them.
    fn crowd(&mut self) {
        self.script.gateways = [8, 8, 16, 16, 32, 64][self.rng.usize(..6)];
        self.script.site.spread = 2 + self.rng.usize(..3);
        let fleet = 1 + self.rng.usize(..3);
        self.workers(fleet, |rng, w| w.cold = rng.bool());
        let from = self.rng.u64(..LOAD);
        for n in 0..self.script.gateways as u64 * 2 {
            let ask = AskLine { units: 1, manner: Manner::Usual, ..self.one_ask(1 + n) };
            let at = from + self.rng.u64(..300_000);
            let every = 50_000 + self.rng.u64(..100_000);
            let times = (1 + self.rng.u64(..6), every);
            self.add(at, Act::Ask(AskLine { times, ..ask }));
        }
        self.faults();
    }

    /// Many gateways that ask now and then before a fleet that idles: each pull must be served.
    fn light(&mut self) {
        self.script.gateways = [4, 8, 16, 32, 64][self.rng.usize(..5)];
        self.script.site.spread = 2;
        let fleet = 2 + self.rng.usize(..2);
        self.workers(fleet, |_, w| (w.cold, w.queue, w.speed) = (false, 64, w.speed.max(1.2)));
        // At most half of what two workers can do, and each account and gateway not more than 0.6 a second. The
        // work is short: a gateway has one request out where its part of the limit is less, and a second is
        // not held for long, so that a pair of which the first meets a cold worker may be refused by right.
        let every = 3_200_000u64;
        for n in 0..self.script.gateways as u64 {
            let (at, account) = (self.rng.u64(..every), n);
            let twice = self.rng.bool();
            let ask = AskLine { work: 10 + self.rng.u64(..20), ..AskLine::plain(0, account, 1) };
            self.add(at, Act::Ask(AskLine { times: (LIGHT / every, every), ..ask.clone() }));
            if twice {
                let at = at + self.rng.u64(..100_000);
                self.add(at, Act::Ask(AskLine { times: (LIGHT / every, every), ..ask }));
            }
        }
        let (at, worker) = (self.rng.u64(..LOAD), self.rng.usize(..fleet));
        let same_address = self.rng.bool();
        match self.rng.u32(..3) {
            0 => self.add(at, Act::Fault(Fault::Deploy(worker, same_address))),
            1 => self.add(at, Act::Fault(Fault::Restart(worker))),
            _ => {
                self.add(at, Act::Fault(Fault::Worker(worker, "slower", 12)));
                let until = at + self.rng.u64(20_000..400_000);
                self.add(until, Act::Mend(Mend::Worker(worker)));
            }
        }
        self.add(LIGHT + 300_000, Act::Fault(Fault::Nothing));
    }

    /// Two gateways before very many workers.
    fn wide(&mut self) {
        self.script.gateways = 2;
        let fleet = [60, 150, 300, 500][self.rng.usize(..4)];
        self.workers(fleet, |_, _| {});
        self.asks();
        self.faults();
    }

    /// Connections that come up late or never, while workers drain, go and start again.
    fn connect(&mut self) {
        let fleet = 2 + self.rng.usize(..4);
        self.script.site.connect_timeout = [100, 250, 1_000, 2_000][self.rng.usize(..4)];
        self.workers(fleet, |_, _| {});
        self.asks();
        for _ in 0..1 + self.rng.usize(..3) {
            let (worker, at) = (self.rng.usize(..fleet), self.rng.u64(..LOAD));
            let late = [0, 100, 300, 700, 1_200][self.rng.usize(..5)];
            self.add(at, Act::Fault(Fault::Connect(worker, late)));
            let then = at + self.rng.u64(..late.max(300) * 1_000);
            let what = match self.rng.u32(..4) {
                0 => Fault::Deploy(worker, true),
                1 => Fault::Restart(worker),
                _ => Fault::Deploy(worker, false),
            };
            self.add(then, Act::Fault(what));
            self.add(FAULTS, Act::Mend(Mend::Worker(worker)));
        }
        self.faults();
    }

    /// Notes, whose repeats workers of a group drop for a time.
    fn keyed(&mut self) {
        let fleet = 2 + self.rng.usize(..6);
        let window = [60, 150, 400, 1_500][self.rng.usize(..4)];
        self.script.site.keyed = Some((GROUPS[self.rng.usize(..3)], window));
        self.workers(fleet, |rng, w| w.place = (ZONES[rng.usize(..2)], rng.u64(..2)));
        self.asks();
        for (_, act) in &mut self.script.acts {
            if let Act::Ask(ask) = act {
                let note = self.rng.u32(..4) > 0;
                ask.class = if note { Class::Note } else { ask.class };
            }
        }
        if self.rng.bool() {
            // A connection that comes up late carries a repeat whose key may be forgotten by then.
            let (worker, late) = (self.rng.usize(..fleet), 50 + self.rng.u64(..400));
            self.script.site.connect_timeout = 1_000;
            self.add(0, Act::Fault(Fault::Connect(worker, late)));
            self.add(FAULTS, Act::Mend(Mend::Worker(worker)));
        }
        // What makes further attempts of them.
        for _ in 0..1 + self.rng.usize(..4) {
            let (worker, at) = (self.rng.usize(..fleet), self.rng.u64(..LOAD));
            let ways = ["error", "reset-answer", "reset-asked", "noise", "silent", "full", "wrong-length"];
            let way = ways[self.rng.usize(..ways.len())];
            let figure = if way.starts_with("reset") { 1 + self.rng.u64(..110) } else { 0 };
            self.add(at, Act::Fault(Fault::Worker(worker, way, figure)));
            let until = at + self.rng.u64(100_000..900_000);
            self.add(until, Act::Mend(Mend::Worker(worker)));
        }
        self.faults();
    }

    /// A ceiling that is small, and a flood against it through all gateways, for many refills.
    fn flood(&mut self) {
        let fleet = 6 + self.rng.usize(..6);
        self.workers(fleet, |_, w| (w.cold, w.queue) = (false, 64));
        self.asks();
        // In waves, with a pause in which all stores fill up, or without end.
        let (waves, span) = if self.rng.bool() { (2, 300_000) } else { (1, 4_000_000) };
        let (first, pause) = (2_300_000 + self.rng.u64(..800_000), 3_600_000 + self.rng.u64(..900_000));
        for gateway in 0..self.script.gateways {
            let units = if self.rng.bool() { 1 } else { 1 + self.rng.u64(..6) };
            let ask = AskLine { gateway, units, work: 5, ..AskLine::plain(gateway, 3, 3) };
            for wave in 0..waves {
                let every = span / (40 + self.rng.u64(..160));
                let at = if waves == 1 { 0 } else { first + wave * pause } + self.rng.u64(..100_000);
                self.add(at, Act::Ask(AskLine { times: (span / every, every), ..ask.clone() }));
            }
        }
        self.faults();
    }

    /// Clients that send an id which is open elsewhere.
    fn ids(&mut self) {
        let fleet = 2 + self.rng.usize(..6);
        self.workers(fleet, |_, _| {});
        self.asks();
        for _ in 0..2 + self.rng.usize(..8) {
            let (at, gateway) = (self.moment(), self.rng.usize(..self.script.gateways));
            self.add(at + 3_000, Act::Fault(Fault::SameId(gateway)));
        }
        self.faults();
    }

    /// Clients that wait so briefly that the time kept back for the way decides.
    fn patience(&mut self) {
        let fleet = 2 + self.rng.usize(..6);
        self.script.site.latency = [0, 1_000, 3_000, 5_000][self.rng.usize(..4)];
        self.workers(fleet, |_, _| {});
        self.asks();
        for (_, act) in &mut self.script.acts {
            if let Act::Ask(ask) = act {
                ask.patience = 20 + self.rng.u64(..130);
                ask.manner = Manner::Usual;
            }
        }
        self.faults();
    }

    /// Clocks of gateways apart, and what is asked falls round the end of a slot of the counter.
    fn clocks(&mut self) {
        let fleet = 4 + self.rng.usize(..8);
        self.workers(fleet, |_, _| {});
        for gateway in 0..self.script.gateways {
            let off = self.rng.i64(-400..=400);
            self.script.site.clocks.push((gateway, off));
        }
        self.asks();
        let account = 50 + self.rng.u64(..6);
        let end = slot_end(account, 2_000_000);
        for gateway in 0..self.script.gateways {
            let ask = AskLine { gateway, manner: Manner::Usual, ..self.one_ask(account) };
            let at = (end + self.rng.u64(..40_000)).saturating_sub(20_000);
            let times = (4 + self.rng.u64(..20), 500 + self.rng.u64(..10_000));
            self.add(at, Act::Ask(AskLine { times, ..ask }));
        }
        self.faults();
    }

    /// A machine with fewer descriptors than the gateway is told of: accepts and connects fail.
    fn sockets(&mut self) {
        let fleet = 2 + self.rng.usize(..8);
        let told = [64, 96, 128][self.rng.usize(..3)];
        let real = [0, told - 24, 16, 24][self.rng.usize(..4)];
        self.script.site.sockets = (told, real);
        self.workers(fleet, |_, _| {});
        self.asks();
        self.rush();
        self.faults();
    }

    /// A loop that lags: each turn of a task takes its time.
    fn lag(&mut self) {
        let fleet = 2 + self.rng.usize(..6);
        self.script.site.lag = 5 + self.rng.u64(..40);
        self.workers(fleet, |_, _| {});
        self.asks();
        self.faults();
    }

    /// Three sites under a steady load: one, two or all are lost in one of the ways that a machine can be, by all of
    /// their workers within some milliseconds, and return; some come and go.
    fn sites(&mut self) {
        let fleet = 3 * (2 + self.rng.usize(..3));
        self.workers(fleet, |_, w| (w.place, w.cold) = ((ZONES[w.number % 3], 0), false));
        self.asks();
        for account in 0..self.script.gateways as u64 * 2 {
            let (at, every) = (self.rng.u64(..200_000), 60_000 + self.rng.u64(..200_000));
            let ask = AskLine { units: 1, manner: Manner::Usual, ..self.one_ask(200 + account) };
            self.add(at, Act::Ask(AskLine { times: (LIGHT / every, every), ..ask }));
        }
        for _ in 0..1 + self.rng.usize(..3) {
            let (site, lasts) = (self.rng.usize(..3), 200_000 + self.rng.u64(..1_800_000));
            let (way, times) = (self.rng.u32(..5), [1, 1, 1, 3][self.rng.usize(..4)]);
            let begins = 300_000 + self.rng.u64(..LOAD);
            for n in 0..times {
                self.lose_site(site, begins + n * (lasts + 300_000), lasts, way);
            }
        }
        self.faults();
        self.add(LIGHT + 300_000, Act::Fault(Fault::Nothing));
    }

    fn lose_site(&mut self, site: usize, at: Micros, lasts: Micros, way: u32) {
        for worker in (0..self.script.workers.len()).filter(|worker| worker % 3 == site) {
            let at = at + self.rng.u64(..20_000);
            let fault = match way {
                0 => Fault::Restart(worker),
                1 => Fault::Worker(worker, "silent", 0),
                2 => Fault::Connect(worker, 0),
                _ => Fault::CutWorker(worker),
            };
            let mends = way != 0;
            self.add(at, Act::Fault(fault));
            if mends {
                self.add(at + lasts, Act::Mend(Mend::Worker(worker)));
            }
        }
    }

    /// Workers from SRV records, alone or beside the list, through deploys and whatever befalls a name server.
    fn srv(&mut self) {
        if self.rng.u32(..8) == 0 {
            self.script.gateways = [8, 16][self.rng.usize(..2)];
            self.script.site.spread = 2;
        }
        self.script.site.srv = Some((self.rng.u32(..3) == 0, [0, 1, 1, 2, 60][self.rng.usize(..5)]));
        // Now and then so few and so slow that the cold budget alone decides.
        let narrow = self.rng.u32(..4) == 0;
        let fleet = if narrow { 1 + self.rng.usize(..4) } else { 3 + self.rng.usize(..8) };
        self.workers(fleet, |rng, w| {
            (w.cold, w.queue) = (rng.u32(..3) == 0, [8, 64][rng.usize(..2)]);
            if narrow {
                (w.cold, w.cores, w.queue) = (rng.u32(..4) > 0, 1, rng.usize(..3));
            }
        });
        self.asks();
        if narrow || self.rng.bool() {
            self.rush();
        }
        // A deploy of everything by records alone, one worker after another.
        if self.rng.u32(..3) == 0 {
            let (from, step) = (self.rng.u64(..500_000), 50_000 + self.rng.u64(..300_000));
            for n in 0..fleet {
                let same_address = self.rng.bool();
                self.add(from + n as u64 * step, Act::Fault(Fault::Deploy(n, same_address)));
            }
        }
        for _ in 0..self.rng.usize(..4) {
            let way = DNS_WAYS[self.rng.usize(..DNS_WAYS.len())];
            let figure = match way {
                "late" => 1 + self.rng.u64(..500),
                "lost" => 2 + self.rng.u64(..3),
                _ => 0,
            };
            let at = self.rng.u64(..LOAD);
            self.add(at, Act::Fault(Fault::Dns(way, figure)));
            let until = at + self.rng.u64(50_000..2_500_000);
            self.add(until.min(FAULTS), Act::Mend(Mend::Dns));
        }
        self.faults();
    }

    /// Part of what the fleet can do, now and then more than all of it.
    fn asks(&mut self) {
        let capacity: f64 = self.script.workers.iter().map(|w| w.cores as f64 * w.speed).sum();
        let part = [0.15, 0.3, 0.5, 1.2][self.rng.usize(..4)];
        let each = 0.05;
        let count = ((capacity * part * LOAD as f64 / 1e6 / each) as usize).clamp(12, 150);
        let accounts = 1 + self.rng.u64(..12);
        for _ in 0..count {
            let at = self.rng.u64(..LOAD);
            let account = 1 + self.rng.u64(..accounts);
            let ask = self.one_ask(account);
            self.add(at, Act::Ask(ask));
        }
        if self.rng.u32(..3) == 0 {
            // One account floods, through all gateways.
            let (from, account) = (self.rng.u64(..LOAD / 2), 50 + self.rng.u64(..2) * 3);
            let times = (self.rng.u64(5..40), self.rng.u64(500..15_000));
            for gateway in 0..self.script.gateways {
                let ask = self.one_ask(account);
                self.add(from, Act::Ask(AskLine { gateway, times, ..ask }));
            }
        }
    }

    /// Departments that fetch the same update through all gateways, inside their quotas.
    fn rush(&mut self) {
        for gateway in 0..self.script.gateways {
            for account in [100, 101, 103] {
                let ask = self.one_ask(account);
                let ask = AskLine { gateway, class: Class::Pull, units: 1, work: 70, ..ask };
                let every = 20_000 + self.rng.u64(..20_000);
                let (at, times) = (self.rng.u64(..200_000), 20 + self.rng.u64(..20));
                self.add(at, Act::Ask(AskLine { times: (times, every), ..ask }));
            }
        }
    }

    fn one_ask(&mut self, account: u64) -> AskLine {
        let rng = &mut self.rng;
        let push = rng.u32(..4) == 0;
        let manner = match rng.u32(..16) {
            0 => Manner::Slowly(2 + rng.u64(..20)),
            1 => Manner::Leaves(rng.u64(..150_000)),
            _ => Manner::Usual,
        };
        let whole = if push { 2_500 } else { 1_500 };
        AskLine {
            gateway: rng.usize(..self.script.gateways),
            class: if push { Class::Push } else { Class::Pull },
            account,
            plan: (account % 3) as usize,
            units: 1 + rng.u64(..6) / 2,
            work: 20 + rng.u64(..60),
            patience: whole / 2 + rng.u64(..=whole / 2),
            body: if !push { 0 } else { [40, 1_000, 60_000][rng.usize(..3)] },
            manner,
            times: (1, 0),
        }
    }

    /// A time at which something is likely to be under way: shortly after some request was asked.
    fn moment(&mut self) -> Micros {
        let asks = self.script.acts.iter().filter(|(_, act)| matches!(act, Act::Ask(_)));
        let asked: Vec<Micros> = asks.map(|(at, _)| *at).collect();
        let rng = &mut self.rng;
        let Some(at) = asked.get(rng.usize(..asked.len().max(1))) else { return rng.u64(..LOAD) };
        at + match rng.u32(..4) {
            0 => rng.u64(..600),
            1 => rng.u64(..3_000),
            _ => rng.u64(..120_000),
        }
    }

    /// Few faults of many kinds, or many of few.
    fn faults(&mut self) {
        let most = if self.kinds.len() <= 2 { 9 } else { 5 };
        for _ in 0..1 + self.rng.usize(..most) {
            self.fault();
        }
    }

    fn fault(&mut self) {
        let at = self.moment().min(LOAD);
        let rng = &mut self.rng;
        let until = at + rng.u64(20_000..(FAULTS - at).max(20_001));
        let (worker, gateway) = (rng.usize(..self.script.workers.len()), rng.usize(..self.script.gateways));
        let kind = &self.kinds[rng.usize(..self.kinds.len())];
        let (fault, mend) = drawn(rng, kind, worker, gateway);
        self.add(at, Act::Fault(fault));
        if let Some(mend) = mend {
            self.add(until, Act::Mend(mend));
        }
    }
}

/// A fault of a kind, and what mends it.
fn drawn(rng: &mut Rng, kind: &str, worker: usize, gateway: usize) -> (Fault, Option<Mend>) {
    let (mends, tells) = (Some(Mend::Worker(worker)), Some(Mend::Discovery(gateway)));
    match kind.split_once(' ').unwrap_or((kind, "")) {
        ("worker", way) => {
            let way = WORKER_WAYS.iter().find(|w| **w == way).copied().unwrap_or("silent");
            let figure = match way {
                "reset-answer" => 1 + rng.u64(..110),
                "reset-asked" => 1 + rng.u64(..400),
                "trickle" => 1 + rng.u64(..5),
                "slower" => 2 + rng.u64(..6),
                _ => 0,
            };
            (Fault::Worker(worker, way, figure), mends)
        }
        ("counter", way) => {
            let way = COUNTER_WAYS.iter().find(|w| **w == way).copied().unwrap_or("busy");
            let figure = if way == "late" { 1 + rng.u64(..120) } else { 0 };
            (Fault::Counter(way, figure), Some(Mend::Counter))
        }
        ("connect", "hangs") => (Fault::Connect(worker, 0), mends),
        ("connect", _) => (Fault::Connect(worker, 20 + rng.u64(..600)), mends),
        ("discovery", "babble") => (Fault::Babble(gateway), None),
        ("discovery", "late") => (Fault::Late(gateway, 50 + rng.u64(..1_500)), tells),
        ("discovery", _) => (Fault::Dead(gateway), tells),
        ("rude", what) => {
            let what = RUDE.iter().find(|w| **w == what).copied().unwrap_or("noise");
            (Fault::Rude(gateway, what), None)
        }
        ("deploy", _) => (Fault::Deploy(worker, false), None),
        ("take-over", _) => (Fault::Deploy(worker, true), None),
        ("restart", _) => (Fault::Restart(worker), None),
        ("cut", _) => (Fault::CutWorker(worker), mends),
        ("throttle", _) => (Fault::Throttle(worker, 20_000 + rng.u64(..400_000)), mends),
        ("same-id", _) => (Fault::SameId(gateway), None),
        ("kill", _) => (Fault::Kill(gateway, 50 + rng.u64(..600)), None),
        ("term", _) => (Fault::Term(gateway), None),
        (word, _) => (Fault::Reload(gateway, word == "reload"), None),
    }
}

/// The end of a slot of the counter for an account's name, in a script's time: slots of all accounts are
/// moved by a hash of their names. What is asked there matters most; nothing hangs on hitting it.
fn slot_end(account: u64, window: u64) -> Micros {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let shift = format!("{account:x}").bytes().fold(0xcbf2_9ce4_8422_2325, mix) % 30_000_000;
    let served = EPOCH.as_micros() as u64 + 1_200_000;
    window - (served + shift) % window
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    #[test]
    fn every_family_and_kind_of_fault_is_drawn() {
        let scripts: Vec<Script> = (0..2_000).map(scenario).collect();
        let families: BTreeSet<&str> = scripts.iter().map(|s| s.site.family).collect();
        let has_weight = |place: usize| (DRAWN[place].0 > 0).then_some(FAMILIES[place]);
        assert_eq!(families, (0..FAMILIES.len()).filter_map(has_weight).collect());
        let of_dns = (0..500).map(srv_scenario).flat_map(|s| s.acts).filter_map(|(_, act)| match act {
            Act::Fault(Fault::Dns(way, _)) => Some(way),
            _ => None,
        });
        assert_eq!(of_dns.collect::<BTreeSet<_>>().len(), DNS_WAYS.len());
        let drawn = scripts.iter().flat_map(|s| &s.acts).filter_map(|(_, act)| match act {
            Act::Fault(fault) => Some(fault.kind()),
            _ => None,
        });
        let drawn: BTreeSet<String> = drawn.collect();
        kinds().iter().for_each(|kind| assert!(drawn.contains(kind), "{kind} is never drawn"));
        assert!(scripts.iter().any(|s| s.gateways >= 64), "no crowd of gateways");
        assert!(scripts.iter().any(|s| s.workers.len() >= 500), "no wide fleet");
    }
}
