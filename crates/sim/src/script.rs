//! A run written down: who is there and what happens when, as short lines that a person can read and change.
//!
//! ```text
//! hingestage-sim 1
//! seed 42
//! gateways 2
//! runs-on no
//! exact no
//! worker 0 cores=2 speed=1.3 queue=8 cold=no
//! at 120.5 ask gateway=0 class=push account=7 plan=base units=2 work=70 patience=1800 body=40 usual
//! at 180 fault worker 0 silent
//! at 900 mend worker 0
//! ```
//!
//! Lines between `exact` and the workers say what the world has otherwise than the usual one: `family`,
//! `spread`, `connect-timeout`, `sockets`, `lag`, `latency`, `keyed` and `clock`; see [`Site`].
//!
//! Times are milliseconds from the moment at which the gateways serve. `seed` orders what happens at the same
//! instant and draws the network's delays; `exact yes` makes each way take 0.5 ms, without a draw. Lines that
//! begin with `#` are comments.

use std::fmt;
use std::str::FromStr;

/// Microseconds from the moment at which the gateways serve.
pub type Micros = u64;

/// The first line of every script.
const HEAD: &str = "hingestage-sim 1";
/// Most gateways of a world.
pub const GATEWAYS_MAX: usize = 100;
/// Most workers of a world.
pub const WORKERS_MAX: usize = 500;

/// The families of worlds that a seed may draw, each with other limits that bind.
pub const FAMILIES: [&str; 15] = [
    "mixed", "narrow", "crowd", "light", "wide", "connect", "keyed", "flood", "ids", "patience", "clocks",
    "sockets", "lag", "srv", "sites",
];
/// The zones that workers may be in.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Which workers may drop each other's repeats.
pub const GROUPS: [&str; 3] = ["all", "zone", "cell"];

/// What a world has otherwise than the usual one.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// What the seed wanted to see bind.
    pub family: &'static str,
    /// Through how many gateways each account comes, from number `account % gateways` on; 0 means all.
    pub spread: usize,
    /// How long gateways wait for a connection to a worker, milliseconds.
    pub connect_timeout: u64,
    /// Descriptors that a gateway is told it may have, and those that its machine has; 0 means no end of them.
    pub sockets: (usize, usize),
    /// What each turn of a task costs a gateway, microseconds: one task at a time, in the order of waking.
    pub lag: u64,
    /// The least time one way through the network, microseconds; 0 means the usual.
    pub latency: u64,
    /// Class `note`, whose repeats workers drop: of which group, and for how long, milliseconds.
    pub keyed: Option<(&'static str, u64)>,
    /// By how much the clocks of gateways are off, milliseconds.
    pub clocks: Vec<(usize, i64)>,
    /// Workers come from SRV records: whether beside the list, and the records' lifetime, seconds.
    pub srv: Option<(bool, u32)>,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            family: FAMILIES[0],
            spread: 0,
            connect_timeout: 250,
            sockets: (256, 0),
            lag: 0,
            latency: 0,
            keyed: None,
            clocks: Vec::new(),
            srv: None,
        }
    }
}

pub use hingestage_rules::Class;

/// Most lines of a script.
const LINES_MAX: usize = 20_000;
/// Most requests of one line.
const TIMES_MAX: usize = 1_000;
/// Latest time of a line.
const AT_MAX: Micros = 60_000_000;

/// A worker at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerLine {
    /// Its number.
    pub number: usize,
    /// Requests that it runs at once.
    pub cores: usize,
    /// Seconds of work that a core does in a second.
    pub speed: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether it starts cold, just before the gateways serve.
    pub cold: bool,
    /// Its zone, and its cell in that; told only where they are not `a` and 0.
    pub place: (&'static str, u64),
}

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Writes at once and waits.
    Usual,
    /// Writes in so many pieces, a millisecond apart.
    Slowly(u64),
    /// Leaves so many microseconds after its last byte.
    Leaves(Micros),
}

/// A request of a usual client.
#[derive(Clone, Debug, PartialEq)]
pub struct AskLine {
    /// Through which gateway; the front goes to another where that is not up.
    pub gateway: usize,
    /// Its class.
    pub class: Class,
    /// The account.
    pub account: u64,
    /// The plan, a place in [`PLANS`].
    pub plan: usize,
    /// Units, as guessed.
    pub units: u64,
    /// Work, milliseconds.
    pub work: u64,
    /// How long the client waits, milliseconds.
    pub patience: u64,
    /// Bytes of a push's body.
    pub body: usize,
    /// How it behaves.
    pub manner: Manner,
    /// How often it asks, each time anew, and the time between two of them.
    pub times: (u64, Micros),
}

impl AskLine {
    /// A small pull, asked once.
    pub fn plain(gateway: usize, account: u64, plan: usize) -> AskLine {
        let (manner, times) = (Manner::Usual, (1, 0));
        let (class, units, work, patience, body) = (Class::Pull, 1, 20, 1_500, 0);
        AskLine { gateway, class, account, plan, units, work, patience, body, manner, times }
    }
}

/// The plans of the site.
pub const PLANS: [&str; 4] = ["base", "ufficio", "ente", "scuola"];

/// Something that goes wrong, or is changed on purpose.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A worker behaves in one of the ways of [`WORKER_WAYS`], with a figure where the way takes one.
    Worker(usize, &'static str, u64),
    /// A worker drains and goes; a cold successor under another name takes its place, at the same address or
    /// at one of its own.
    Deploy(usize, bool),
    /// A worker's process dies and starts again under its name, cold.
    Restart(usize),
    /// A worker's machine is cut off.
    CutWorker(usize),
    /// A worker's machine passes only so many bytes a second.
    Throttle(usize, u64),
    /// Connections to a worker's machine come up so much later, milliseconds; 0 means never.
    Connect(usize, u64),
    /// A client sends the id of a request that is open at the same gateway.
    SameId(usize),
    /// The agent of a gateway falls silent.
    Dead(usize),
    /// The agent of a gateway writes a line of nonsense.
    Babble(usize),
    /// The agent of a gateway tells its news so much later, milliseconds.
    Late(usize, u64),
    /// The counter behaves in one of the ways of [`COUNTER_WAYS`], with a figure where the way takes one.
    Counter(&'static str, u64),
    /// A gateway's process is killed; it starts anew after so many milliseconds.
    Kill(usize, u64),
    /// A gateway is told to stop; it starts anew once it has ended.
    Term(usize),
    /// A gateway reads its configuration again: a good one with other addresses, or a bad one.
    Reload(usize, bool),
    /// The name server behaves in one of the ways of [`DNS_WAYS`], with a figure where the way takes one.
    Dns(&'static str, u64),
    /// A client behaves badly, in one of the ways of the stand-in clients.
    Rude(usize, &'static str),
    /// Nothing goes wrong: a last line that keeps the world from being mended before.
    Nothing,
}

/// Ways in which a worker may behave badly.
pub const WORKER_WAYS: [&str; 16] = [
    "silent",
    "reset-answer",
    "reset-asked",
    "trickle",
    "slower",
    "noise",
    "endless-head",
    "wrong-length",
    "huge",
    "twice",
    "noise-behind",
    "interim",
    "error",
    "full",
    "figures",
    "closes",
];

/// Ways in which the counter may behave badly.
pub const COUNTER_WAYS: [&str; 7] = ["busy", "late", "spoilt", "silent", "breaks", "gone", "empty"];

/// Ways in which the name server may behave badly.
pub const DNS_WAYS: [&str; 18] = [
    "late",
    "lost",
    "silent",
    "servfail",
    "unknown",
    "empty",
    "shrunk",
    "truncated",
    "truncated-hangs",
    "truncated-cut",
    "wrong-id",
    "wrong-question",
    "forged",
    "alias-loop",
    "alias",
    "pointer-loop",
    "plain",
    "bare",
];

/// The names of all kinds of faults, as the table of what was reached has them.
pub fn kinds() -> Vec<String> {
    let workers = WORKER_WAYS.iter().map(|way| format!("worker {way}"));
    let counters = COUNTER_WAYS.iter().map(|way| format!("counter {way}"));
    let others = [
        "deploy",
        "take-over",
        "restart",
        "cut",
        "throttle",
        "connect slow",
        "connect hangs",
        "same-id",
        "discovery dead",
        "discovery babble",
        "discovery late",
        "kill",
        "term",
        "reload",
        "reload-bad",
    ];
    let rude = hingestage_test_servers::client::RUDE.iter().map(|what| format!("rude {what}"));
    workers.chain(counters).chain(others.iter().map(|s| s.to_string())).chain(rude).collect()
}

impl Fault {
    /// Its kind, one of [`kinds`].
    pub fn kind(&self) -> String {
        match self {
            Fault::Worker(_, way, _) => format!("worker {way}"),
            Fault::Deploy(_, false) => "deploy".into(),
            Fault::Deploy(_, true) => "take-over".into(),
            Fault::Restart(_) => "restart".into(),
            Fault::CutWorker(_) => "cut".into(),
            Fault::Throttle(..) => "throttle".into(),
            Fault::Connect(_, 0) => "connect hangs".into(),
            Fault::Connect(..) => "connect slow".into(),
            Fault::SameId(_) => "same-id".into(),
            Fault::Dead(_) => "discovery dead".into(),
            Fault::Babble(_) => "discovery babble".into(),
            Fault::Late(..) => "discovery late".into(),
            Fault::Counter(way, _) => format!("counter {way}"),
            Fault::Kill(..) => "kill".into(),
            Fault::Term(_) => "term".into(),
            Fault::Reload(_, true) => "reload".into(),
            Fault::Reload(_, false) => "reload-bad".into(),
            Fault::Dns(way, _) => format!("dns {way}"),
            Fault::Rude(_, what) => format!("rude {what}"),
            Fault::Nothing => "nothing".into(),
        }
    }
}

/// What is set right again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mend {
    /// A worker, in all respects.
    Worker(usize),
    /// The agent of a gateway.
    Discovery(usize),
    /// The counter.
    Counter,
    /// The name server.
    Dns,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A client asks.
    Ask(AskLine),
    /// Something goes wrong.
    Fault(Fault),
    /// Something is set right.
    Mend(Mend),
}

/// A run, written down.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Orders ties and draws the network's delays.
    pub seed: u64,
    /// How many gateways there are.
    pub gateways: usize,
    /// Whether workers run on what their callers have given up.
    pub runs_on: bool,
    /// Whether each way through the network takes 0.5 ms to the nanosecond, whole, and news 1 ms.
    pub exact: bool,
    /// What is otherwise than usual.
    pub site: Site,
    /// The workers at the start.
    pub workers: Vec<WorkerLine>,
    /// What happens and when, in order of time.
    pub acts: Vec<(Micros, Act)>,
}

impl Script {
    /// Lines that say something.
    pub fn lines(&self) -> usize {
        5 + self.site.to_string().lines().count() + self.workers.len() + self.acts.len()
    }
}

fn millis(at: Micros) -> String {
    match at % 1_000 {
        0 => format!("{}", at / 1_000),
        rest => format!("{}.{:03}", at / 1_000, rest).trim_end_matches('0').to_owned(),
    }
}

impl fmt::Display for AskLine {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "ask gateway={} class={} account={} plan={} units={} work={} patience={} body={} ",
            self.gateway,
            self.class.name(),
            self.account,
            PLANS[self.plan],
            self.units,
            self.work,
            self.patience,
            self.body,
        )?;
        match self.manner {
            Manner::Usual => write!(f, "usual"),
            Manner::Slowly(pieces) => write!(f, "slowly={pieces}"),
            Manner::Leaves(after) => write!(f, "leaves={}", millis(after)),
        }?;
        match self.times {
            (1, _) => Ok(()),
            (times, every) => write!(f, " times={times} every={}", millis(every)),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Worker(n, way, 0) => write!(f, "worker {n} {way}"),
            Fault::Worker(n, way, figure) => write!(f, "worker {n} {way} {figure}"),
            Fault::Deploy(n, false) => write!(f, "deploy {n}"),
            Fault::Deploy(n, true) => write!(f, "take-over {n}"),
            Fault::Restart(n) => write!(f, "restart {n}"),
            Fault::CutWorker(n) => write!(f, "cut {n}"),
            Fault::Throttle(n, rate) => write!(f, "throttle {n} {rate}"),
            Fault::Connect(n, ms) => write!(f, "connect {n} {ms}"),
            Fault::SameId(g) => write!(f, "same-id {g}"),
            Fault::Dead(g) => write!(f, "discovery {g} dead"),
            Fault::Babble(g) => write!(f, "discovery {g} babble"),
            Fault::Late(g, by) => write!(f, "discovery {g} late {by}"),
            Fault::Counter(way, 0) => write!(f, "counter {way}"),
            Fault::Counter(way, figure) => write!(f, "counter {way} {figure}"),
            Fault::Kill(g, back) => write!(f, "kill {g} {back}"),
            Fault::Term(g) => write!(f, "term {g}"),
            Fault::Reload(g, true) => write!(f, "reload {g}"),
            Fault::Reload(g, false) => write!(f, "reload-bad {g}"),
            Fault::Dns(way, 0) => write!(f, "dns {way}"),
            Fault::Dns(way, figure) => write!(f, "dns {way} {figure}"),
            Fault::Rude(g, what) => write!(f, "rude {g} {what}"),
            Fault::Nothing => write!(f, "nothing"),
        }
    }
}

impl fmt::Display for Site {
    /// A line for each value that is not the usual one.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let usual = Site::default();
        let numbers = [
            ("spread", self.spread as u64, usual.spread as u64),
            ("connect-timeout", self.connect_timeout, usual.connect_timeout),
            ("lag", self.lag, usual.lag),
            ("latency", self.latency, usual.latency),
        ];
        if self.family != usual.family {
            writeln!(f, "family {}", self.family)?;
        }
        for (name, value, _) in numbers.iter().filter(|(_, value, usual)| value != usual) {
            writeln!(f, "{name} {value}")?;
        }
        if self.sockets != usual.sockets {
            writeln!(f, "sockets {} {}", self.sockets.0, self.sockets.1)?;
        }
        if let Some((group, window)) = self.keyed {
            writeln!(f, "keyed {group} {window}")?;
        }
        if let Some((beside, ttl)) = self.srv {
            writeln!(f, "srv beside={} ttl={ttl}", if beside { "yes" } else { "no" })?;
        }
        self.clocks.iter().try_for_each(|(gateway, off)| writeln!(f, "clock {gateway} {off}"))
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let word = |yes| if yes { "yes" } else { "no" };
        writeln!(f, "{HEAD}\nseed {}\ngateways {}", self.seed, self.gateways)?;
        writeln!(f, "runs-on {}\nexact {}", word(self.runs_on), word(self.exact))?;
        write!(f, "{}", self.site)?;
        for w in &self.workers {
            let (cold, speed) = (word(w.cold), w.speed);
            let (number, cores, queue) = (w.number, w.cores, w.queue);
            write!(f, "worker {number} cores={cores} speed={speed} queue={queue} cold={cold}")?;
            match w.place {
                ("a", 0) => writeln!(f)?,
                (zone, cell) => writeln!(f, " zone={zone} cell={cell}")?,
            }
        }
        for (at, act) in &self.acts {
            let at = millis(*at);
            match act {
                Act::Ask(ask) => writeln!(f, "at {at} {ask}")?,
                Act::Fault(fault) => writeln!(f, "at {at} fault {fault}")?,
                Act::Mend(Mend::Worker(n)) => writeln!(f, "at {at} mend worker {n}")?,
                Act::Mend(Mend::Discovery(g)) => writeln!(f, "at {at} mend discovery {g}")?,
                Act::Mend(Mend::Counter) => writeln!(f, "at {at} mend counter")?,
                Act::Mend(Mend::Dns) => writeln!(f, "at {at} mend dns")?,
            }
        }
        Ok(())
    }
}

fn number<T: FromStr>(word: &str, what: &str) -> Result<T, String> {
    word.parse().map_err(|_| format!("`{word}` is no proper {what}"))
}

fn below(word: &str, what: &str, limit: usize) -> Result<usize, String> {
    let n: usize = number(word, what)?;
    if n >= limit {
        return Err(format!("{what} `{n}` is not below {limit}"));
    }
    Ok(n)
}

fn time(word: &str) -> Result<Micros, String> {
    let bad = || format!("`{word}` is no time in milliseconds");
    let plain = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let ms: f64 = word.parse().ok().filter(|_| plain).ok_or_else(bad)?;
    let at = (ms * 1_000.0).round() as Micros;
    if at > AT_MAX {
        return Err(format!("`{word}` is past the latest time, {} ms", AT_MAX / 1_000));
    }
    Ok(at)
}

fn one_of(word: &str, words: &[&'static str], what: &str) -> Result<&'static str, String> {
    words.iter().find(|w| **w == word).copied().ok_or_else(|| format!("`{word}` is no {what}"))
}

fn yes(word: &str) -> Result<bool, String> {
    match word {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{word}` is neither yes nor no")),
    }
}

/// The values of `key=value` words, in the order of the keys.
fn values<'a, const N: usize>(words: &[&'a str], keys: [&str; N]) -> Result<[&'a str; N], String> {
    let mut found = [""; N];
    for (i, key) in keys.iter().enumerate() {
        let value = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
        found[i] = value.ok_or_else(|| format!("field `{key}` is missing"))?;
    }
    Ok(found)
}

impl Fault {
    fn parse(words: &[&str]) -> Result<Fault, String> {
        let worker = |word: &str| below(word, "worker", 1_000);
        let gateway = |word: &str| below(word, "gateway", GATEWAYS_MAX);
        let figure = |word: &str| number::<u64>(word, "figure");
        Ok(match words {
            ["worker", n, way] => Fault::Worker(worker(n)?, one_of(way, &WORKER_WAYS, "way of a worker")?, 0),
            ["worker", n, way, fig] => {
                Fault::Worker(worker(n)?, one_of(way, &WORKER_WAYS, "way of a worker")?, figure(fig)?)
            }
            ["deploy", n] => Fault::Deploy(worker(n)?, false),
            ["take-over", n] => Fault::Deploy(worker(n)?, true),
            ["restart", n] => Fault::Restart(worker(n)?),
            ["cut", n] => Fault::CutWorker(worker(n)?),
            ["throttle", n, rate] => Fault::Throttle(worker(n)?, figure(rate)?),
            ["connect", n, ms] => Fault::Connect(worker(n)?, figure(ms)?),
            ["same-id", g] => Fault::SameId(gateway(g)?),
            ["discovery", g, "dead"] => Fault::Dead(gateway(g)?),
            ["discovery", g, "babble"] => Fault::Babble(gateway(g)?),
            ["discovery", g, "late", by] => Fault::Late(gateway(g)?, figure(by)?),
            ["counter", way] => Fault::Counter(one_of(way, &COUNTER_WAYS, "way of the counter")?, 0),
            ["counter", way, fig] => {
                Fault::Counter(one_of(way, &COUNTER_WAYS, "way of the counter")?, figure(fig)?)
            }
            ["dns", way] => Fault::Dns(one_of(way, &DNS_WAYS, "way of the name server")?, 0),
            ["dns", way, fig] => Fault::Dns(one_of(way, &DNS_WAYS, "way of the name server")?, figure(fig)?),
            ["kill", g, back] => Fault::Kill(gateway(g)?, figure(back)?),
            ["term", g] => Fault::Term(gateway(g)?),
            ["reload", g] => Fault::Reload(gateway(g)?, true),
            ["reload-bad", g] => Fault::Reload(gateway(g)?, false),
            ["rude", g, what] => Fault::Rude(
                gateway(g)?,
                one_of(what, &hingestage_test_servers::client::RUDE, "way to behave badly")?,
            ),
            ["nothing"] => Fault::Nothing,
            _ => return Err(format!("`{}` is no fault", words.join(" "))),
        })
    }
}

fn ask(words: &[&str]) -> Result<AskLine, String> {
    let keys = ["gateway", "class", "account", "plan", "units", "work", "patience", "body"];
    let [gateway, class, account, plan, units, work, patience, body] = values(words, keys)?;
    let (words, times) = match words {
        [rest @ .., times, every] if times.starts_with("times=") => {
            let [times, every] = values(&[times, every], ["times", "every"])?;
            (rest, (below(times, "number of times", TIMES_MAX + 1)?.max(1) as u64, time(every)?))
        }
        _ => (words, (1, 0)),
    };
    let manner = match words.last().copied().unwrap_or_default() {
        "usual" => Manner::Usual,
        word => match word.split_once('=') {
            Some(("slowly", pieces)) => Manner::Slowly(number(pieces, "number of pieces")?),
            Some(("leaves", after)) => Manner::Leaves(time(after)?),
            _ => return Err(format!("`{word}` is no manner of a client")),
        },
    };
    let plan = PLANS.iter().position(|name| *name == plan);
    Ok(AskLine {
        gateway: below(gateway, "gateway", GATEWAYS_MAX)?,
        class: Class::ALL.into_iter().find(|c| c.name() == class).ok_or(format!("`{class}` is no class"))?,
        account: number(account, "account")?,
        plan: plan.ok_or("no such plan")?,
        units: number(units, "number of units")?,
        work: number(work, "work in milliseconds")?,
        patience: number(patience, "patience in milliseconds")?,
        body: below(body, "length of a body", 64 * 1024)?,
        manner,
        times,
    })
}

/// Zone and cell, where a worker's line ends with them.
fn place<'a, 'b>(words: &'a [&'b str]) -> Result<(&'a [&'b str], (&'static str, u64)), String> {
    match words {
        [rest @ .., zone, cell] if zone.starts_with("zone=") => {
            let [zone, cell] = values(&[zone, cell], ["zone", "cell"])?;
            Ok((rest, (one_of(zone, &ZONES, "zone")?, number(cell, "cell")?)))
        }
        _ => Ok((words, (ZONES[0], 0))),
    }
}

fn act(words: &[&str]) -> Result<Act, String> {
    Ok(match words {
        ["ask", rest @ ..] => Act::Ask(ask(rest)?),
        ["fault", rest @ ..] => Act::Fault(Fault::parse(rest)?),
        ["mend", "worker", n] => Act::Mend(Mend::Worker(below(n, "worker", 1_000)?)),
        ["mend", "discovery", g] => Act::Mend(Mend::Discovery(below(g, "gateway", GATEWAYS_MAX)?)),
        ["mend", "counter"] => Act::Mend(Mend::Counter),
        ["mend", "dns"] => Act::Mend(Mend::Dns),
        _ => return Err(format!("`{}` says nothing known", words.join(" "))),
    })
}

impl FromStr for Script {
    type Err = String;

    /// Reads a script; the message of an error names the line.
    fn from_str(text: &str) -> Result<Script, String> {
        let mut lines = text.lines().enumerate().map(|(n, line)| (n + 1, line.trim()));
        let mut lines = lines.by_ref().filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        match lines.next() {
            Some((_, HEAD)) => {}
            Some((n, line)) => return Err(format!("line {n}: `{HEAD}` expected, not `{line}`")),
            None => return Err(format!("an empty script; its first line is `{HEAD}`")),
        }
        let mut script = Script {
            seed: 0,
            gateways: 1,
            runs_on: false,
            exact: false,
            site: Site::default(),
            workers: Vec::new(),
            acts: Vec::new(),
        };
        for (count, (n, line)) in lines.enumerate() {
            if count > LINES_MAX {
                return Err(format!("line {n}: more than {LINES_MAX} lines"));
            }
            script
                .take(&line.split_whitespace().collect::<Vec<_>>())
                .map_err(|e| format!("line {n}: {e}"))?;
        }
        script.acts.sort_by_key(|(at, _)| *at);
        Ok(script)
    }
}

impl Script {
    fn take(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            ["seed", seed] => self.seed = number(seed, "seed")?,
            ["gateways", n] => {
                self.gateways = below(n, "number of gateways", GATEWAYS_MAX + 1)?.max(1);
            }
            ["runs-on", word] => self.runs_on = yes(word)?,
            ["exact", word] => self.exact = yes(word)?,
            ["family", name] => self.site.family = one_of(name, &FAMILIES, "family")?,
            ["spread", n] => self.site.spread = below(n, "spread", GATEWAYS_MAX + 1)?,
            ["connect-timeout", ms] => {
                self.site.connect_timeout = below(ms, "connect time-out", 60_001)?.max(1) as u64;
            }
            ["lag", us] => self.site.lag = below(us, "lag", 100_001)? as u64,
            ["latency", us] => self.site.latency = below(us, "latency", 100_001)? as u64,
            ["sockets", told, real] => {
                let told = below(told, "number of sockets", 65_537)?.max(64);
                self.site.sockets = (told, below(real, "number of sockets", 65_537)?);
            }
            ["keyed", group, ms] => {
                let window = below(ms, "key window", 60_001)? as u64;
                self.site.keyed = Some((one_of(group, &GROUPS, "group of workers")?, window));
            }
            ["clock", g, off] => {
                let off = number::<i64>(off, "time in milliseconds")?.clamp(-60_000, 60_000);
                self.site.clocks.push((below(g, "gateway", GATEWAYS_MAX)?, off));
            }
            ["srv", rest @ ..] => {
                let [beside, ttl] = values(rest, ["beside", "ttl"])?;
                self.site.srv = Some((yes(beside)?, below(ttl, "lifetime in seconds", 86_401)? as u32));
            }
            ["worker", n, rest @ ..] => {
                let (rest, place) = place(rest)?;
                let [cores, speed, queue, cold] = values(rest, ["cores", "speed", "queue", "cold"])?;
                let speed: f64 = number(speed, "speed")?;
                if !(0.01..=100.0).contains(&speed) {
                    return Err(format!("speed `{speed}` is not within 0.01 to 100"));
                }
                self.workers.push(WorkerLine {
                    number: below(n, "worker", WORKERS_MAX)?,
                    cores: below(cores, "number of cores", 65)?.max(1),
                    speed,
                    queue: below(queue, "length of a queue", 10_000)?,
                    cold: yes(cold)?,
                    place,
                });
            }
            ["at", at, rest @ ..] => self.acts.push((time(at)?, act(rest)?)),
            _ => return Err(format!("`{}` says nothing known", words.join(" "))),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{scenario, srv_scenario};

    #[test]
    fn what_is_written_is_read_again() {
        for script in (0..200).map(scenario).chain((0..200).map(srv_scenario)) {
            let text = script.to_string();
            assert_eq!(text.parse::<Script>().map_err(|e| format!("{e}\n{text}")), Ok(script));
        }
    }

    #[test]
    fn a_bad_script_is_named_by_its_line() {
        for (text, says) in [
            ("", "empty script"),
            ("hingestage-sim 2\n", "line 1: `hingestage-sim 1` expected"),
            ("hingestage-sim 1\n\nseed x", "line 3: `x` is no proper seed"),
            ("hingestage-sim 1\ngateways 999", "line 2: number of gateways"),
            ("hingestage-sim 1\n# ok\nworker 0 cores=2 speed=NaN queue=1 cold=no", "line 3: speed"),
            ("hingestage-sim 1\nworker 0 cores=2 speed=1", "field `queue` is missing"),
            ("hingestage-sim 1\nat soon fault nothing", "no time in milliseconds"),
            ("hingestage-sim 1\nat 1e9 fault nothing", "no time in milliseconds"),
            ("hingestage-sim 1\nat 999999 fault nothing", "past the latest time"),
            ("hingestage-sim 1\nat 1 fault worker 0 dancing", "`dancing` is no way of a worker"),
            ("hingestage-sim 1\nat 1 ask gateway=0", "field `class` is missing"),
            ("hingestage-sim 1\nfamily odd", "`odd` is no family"),
            ("hingestage-sim 1\nkeyed some 5", "`some` is no group of workers"),
            ("hingestage-sim 1\nclock 0 soon", "`soon` is no proper time"),
            ("hingestage-sim 1\nhello", "`hello` says nothing known"),
        ] {
            let said = text.parse::<Script>().unwrap_err();
            assert!(said.contains(says), "{text:?}: {said}");
        }
    }
}
