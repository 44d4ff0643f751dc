//! A rehearsal as a value: the fleet, its load, what goes wrong and what must hold. Its text form is what
//! `file` reads.

use crate::places::{Loss, Place, NAMES};
use hingestage_test_servers::{counter, site::Plan, worker};
use std::fmt;
use std::time::Duration;

/// Which gateways something happens to.
#[derive(Clone, Debug, PartialEq)]
pub enum Which {
    /// All that there may be, reserve included.
    All,
    /// These.
    Some(Vec<usize>),
    /// So large a share of the first ones, drawn from the seed.
    Share(f64),
}

/// The far end of links.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The shared counter.
    Counter,
    /// Each gateway's agent of discovery.
    Discovery,
    /// These workers; all of them where none is named.
    Workers(Vec<usize>),
    /// The operators' addresses of these gateways, where gateways talk; all of them where none is named.
    Peers(Vec<usize>),
    /// These keepers of the policy; all of them where none is named.
    Keepers(Vec<usize>),
}

/// What is done to a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    /// What is sent is lost. Connections that lost something are reset when the link heals, as by a peer that
    /// has forgotten them.
    Silent(Ways),
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing passes; all goes on when the link heals.
    Hold,
    /// Each way takes so much longer.
    Delay(Duration),
    /// One byte passes in so long.
    Trickle(Duration),
}

/// Which ways of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    /// Both.
    Both,
    /// From the gateway.
    Out,
    /// To the gateway.
    In,
}

/// Which list of workers a gateway starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// That of now.
    Now,
    /// That of the rehearsal's beginning.
    Old,
    /// None.
    Nothing,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL; started again once its time is over.
    Kill(Which),
    /// A new life, of those not running.
    Start(Which, Known),
    /// SIGTERM; started again once its time is over.
    Term(Which),
    /// SIGHUP.
    HangUp(Which),
    /// Operators tell it to drain, and take that back once its time is over.
    Drain(Which),
    /// A new process takes over from the one in service, which is told to end once the new one serves.
    Succeed(Which),
    /// Clocks of the lives that begin from now on are so many seconds ahead.
    Clock(Which, f64),
    /// SIGSTOP, and SIGCONT once its time is over.
    Stall(Which),
    /// Harm to links.
    Links(Which, Target, Harm),
    /// The counter's mood.
    Counter(counter::Mood),
    /// The counter is empty.
    Forget,
    /// A worker's mood.
    Worker(usize, worker::Mood),
    /// A worker drains while a cold successor comes; it is off the list once its time is over.
    Deploy(usize),
    /// Agents of discovery say nothing.
    Mute(Which),
    /// Keepers of the policy are killed, and started again once their time is over.
    KillKeepers(Vec<usize>),
    /// Keepers stand still.
    StallKeepers(Vec<usize>),
    /// Harm to links from keepers to others.
    KeeperLinks(Vec<usize>, Vec<usize>, Harm),
    /// A new version is proposed: to be decided within a time, by somebody who may be killed after another.
    Propose(Duration, Option<Duration>),
    /// An operator declares a gateway gone.
    DeclareGone(usize),
    /// A site is lost, and returns once its time is over.
    Site(usize, Loss),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// After the start.
    pub at: Duration,
    /// What.
    pub fault: Fault,
    /// For how long; for ever where not said.
    pub lasts: Option<Duration>,
}

impl Timed {
    /// When it is over.
    pub fn ends(&self) -> Duration {
        self.at + self.lasts.unwrap_or_default()
    }
}

/// Faults drawn from the seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Drawn {
    /// How many.
    pub count: usize,
    /// They begin and end in this span.
    pub span: (Duration, Duration),
}

/// The fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Gateways at the start.
    pub gateways: usize,
    /// Gateways that may come later.
    pub reserve: usize,
    /// The number that their configuration names.
    pub instances: usize,
    /// Workers.
    pub workers: usize,
    /// Cores of each.
    pub cores: usize,
    /// Requests that wait at each.
    pub queue: usize,
    /// Time that a call to the counter takes.
    pub counter_pace: Duration,
    /// What the operators' files of the gateways say, less the addresses of peers; none without such files.
    pub operator: Option<String>,
    /// Whether gateways are told of each other's operators' address.
    pub peers: bool,
    /// Gateways that bear another's number, and whose, by mistake.
    pub twins: Vec<(usize, usize)>,
    /// The keepers of the policy, where there are any.
    pub keepers: Option<Keepers>,
    /// Sites, where there are several.
    pub sites: Vec<Place>,
    /// Gateways whose clocks are ahead from the start, and by how many seconds.
    pub clocks: Vec<(usize, f64)>,
}

/// Keepers, and what all go by.
#[derive(Clone, Debug, PartialEq)]
pub struct Keepers {
    /// How many.
    pub count: usize,
    /// Whether gateways serve on whose lease is over.
    pub serve: bool,
    /// How long a lease is.
    pub lease: Duration,
    /// Most that clocks differ.
    pub error: Duration,
    /// Keepers whose clocks are ahead, and by how many seconds.
    pub clocks: Vec<(usize, f64)>,
}

/// How far ahead a gateway's or a keeper's clock is by such a list, seconds: who is not on it has a right one.
pub fn ahead(clocks: &[(usize, f64)], of: usize) -> f64 {
    clocks.iter().find(|(named, _)| *named == of).map_or(0.0, |(_, by)| *by)
}

impl Fleet {
    /// The number that a gateway bears.
    pub fn number(&self, gateway: usize) -> usize {
        self.twins.iter().find(|(twin, _)| *twin == gateway).map_or(gateway, |(_, number)| *number)
    }
}

/// Accounts of one plan that ask alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// How many.
    pub count: usize,
    /// Place of their plan.
    pub plan: usize,
    /// Through how many gateways they come; 0 for all at the start.
    pub spread: usize,
    /// Requests a second of all of them together.
    pub rate: f64,
    /// Most units of a request.
    pub units: u64,
    /// Share of pushes.
    pub pushes: f64,
    /// Work of a request, least and most, milliseconds.
    pub work: (u64, u64),
    /// When they ask.
    pub span: (Duration, Duration),
    /// Whether they tell versions apart: the first account is blocked in odd ones, the second in even ones.
    pub witness: bool,
    /// What a pull and a push are worth that are served.
    pub worth: (f64, f64),
    /// How often a client that is refused comes again, when it was told to.
    pub again: usize,
}

/// Something that must hold of the sums, besides the rules, which always must.
#[derive(Clone, Debug, PartialEq)]
pub enum Hold {
    /// Of requests inside quotas asked in this span, at least this share is served.
    Served(f64, Duration, Duration),
    /// Units sent on of one account a second of this span, as multiples of its quota: least and most.
    Through(u64, Duration, Duration, f64, f64),
    /// Jain's index of the served share over gateways is at least this.
    FairGateways(f64),
    /// Jain's index of the served share over accounts is at least this.
    FairAccounts(f64),
    /// Most calls to the counter in any second.
    Calls(f64),
    /// Most connections of a worker at once.
    Connections(f64),
    /// Of the pairs of gateway and worker at work in the second span, at most this share was not in the first.
    NewPairs(f64, (Duration, Duration), (Duration, Duration)),
    /// Of requests inside quotas, at least this share of what is served else is served while a policy changes.
    Goodput(f64),
    /// The slowest hundredth of served requests waits at most so many seconds more while a policy changes.
    Waits(f64),
    /// At least so many changes were in force.
    Changes(usize),
    /// The last version that was proposed is in force at the end.
    LastChange,
    /// What is served in this span is worth at least this part of what could be served.
    Worth(f64, Duration, Duration),
    /// At most this part of what is asked in this span is refused beside service of what is worth less.
    Inversions(f64, Duration, Duration),
    /// At least this part of an account's requests of two seconds in this span comes to the same.
    Steady(f64, Duration, Duration),
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long clients ask.
    pub lasts: Duration,
    /// The fleet.
    pub fleet: Fleet,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Accounts.
    pub groups: Vec<Group>,
    /// How long it takes clients to notice that a gateway is gone.
    pub notices: Duration,
    /// What goes wrong, by time.
    pub faults: Vec<Timed>,
    /// What goes wrong besides, from the seed.
    pub drawn: Option<Drawn>,
    /// What must hold.
    pub holds: Vec<Hold>,
}

impl Script {
    /// All gateways that there may be.
    pub fn most_gateways(&self) -> usize {
        self.fleet.gateways + self.fleet.reserve
    }

    /// The accounts that tell versions apart: who is blocked in odd ones, and who in even ones.
    pub fn witnesses(&self) -> Option<(u64, u64)> {
        let mut found = self.accounts().filter(|(_, group)| group.witness).map(|(account, _)| account);
        Some((found.next()?, found.next()?))
    }

    /// Each account's number and group, in order of numbers from 1.
    pub fn accounts(&self) -> impl Iterator<Item = (u64, &Group)> {
        (1..).zip(self.groups.iter().flat_map(|group| std::iter::repeat_n(group, group.count)))
    }
}

impl fmt::Display for Which {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Which::All => f.write_str("(gateways all)"),
            Which::Share(share) => write!(f, "(gateways (share {share}))"),
            Which::Some(some) => write!(f, "(gateways{})", numbers(some)),
        }
    }
}

/// Seconds to a tenth of a millisecond, as a file has them.
fn seconds(span: Duration) -> f64 {
    span.as_micros().div_euclid(100) as f64 / 1e4
}

fn numbers(some: &[usize]) -> String {
    some.iter().map(|n| format!(" {n}")).collect()
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Target::Counter => f.write_str("counter"),
            Target::Discovery => f.write_str("discovery"),
            Target::Workers(some) => write!(f, "(workers{})", numbers(some)),
            Target::Peers(some) => write!(f, "(peers{})", numbers(some)),
            Target::Keepers(some) => write!(f, "(keepers{})", numbers(some)),
        }
    }
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Harm::Silent(Ways::Both) => f.write_str("(silent both)"),
            Harm::Silent(Ways::Out) => f.write_str("(silent out)"),
            Harm::Silent(Ways::In) => f.write_str("(silent in)"),
            Harm::Reset => f.write_str("(reset)"),
            Harm::Hold => f.write_str("(hold)"),
            Harm::Delay(by) => write!(f, "(delay {})", seconds(*by)),
            Harm::Trickle(gap) => write!(f, "(trickle {})", seconds(*gap)),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Kill(which) => write!(f, "(kill {which})"),
            Fault::Start(which, Known::Now) => write!(f, "(start {which})"),
            Fault::Start(which, Known::Old) => write!(f, "(start {which} (known old))"),
            Fault::Start(which, Known::Nothing) => write!(f, "(start {which} (known nothing))"),
            Fault::Term(which) => write!(f, "(term {which})"),
            Fault::HangUp(which) => write!(f, "(hang-up {which})"),
            Fault::Drain(which) => write!(f, "(drain {which})"),
            Fault::Succeed(which) => write!(f, "(succeed {which})"),
            Fault::Clock(which, ahead) => write!(f, "(clock {which} {ahead})"),
            Fault::Stall(which) => write!(f, "(stall {which})"),
            Fault::Links(which, target, harm) => write!(f, "(links {which} {target} {harm})"),
            Fault::Counter(mood) => write!(f, "(counter {})", counter_mood(*mood)),
            Fault::Forget => f.write_str("(counter forgets)"),
            Fault::Worker(worker, mood) => write!(f, "(worker {worker} {})", worker_mood(*mood)),
            Fault::Deploy(worker) => write!(f, "(deploy {worker})"),
            Fault::Mute(which) => write!(f, "(mute {which})"),
            Fault::KillKeepers(some) => write!(f, "(kill (keepers{}))", numbers(some)),
            Fault::StallKeepers(some) => write!(f, "(stall (keepers{}))", numbers(some)),
            Fault::KeeperLinks(from, to, harm) => {
                write!(f, "(links (keepers{}) (keepers{}) {harm})", numbers(from), numbers(to))
            }
            Fault::Propose(deadline, None) => write!(f, "(propose (deadline {}))", seconds(*deadline)),
            Fault::Propose(deadline, Some(killed)) => {
                write!(f, "(propose (deadline {}) (killed {}))", seconds(*deadline), seconds(*killed))
            }
            Fault::Site(site, loss) => write!(f, "(site {} {loss})", NAMES[*site]),
            Fault::DeclareGone(gateway) => write!(f, "(declare-gone {gateway})"),
        }
    }
}

impl fmt::Display for Timed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(at {} {}", seconds(self.at), self.fault)?;
        self.lasts.map_or(Ok(()), |lasts| write!(f, " (for {})", seconds(lasts)))?;
        f.write_str(")")
    }
}

fn counter_mood(mood: counter::Mood) -> String {
    match mood {
        counter::Mood::Good => "good".into(),
        counter::Mood::Busy => "busy".into(),
        counter::Mood::Late(by) => format!("(late {})", seconds(by)),
        counter::Mood::Spoilt => "spoilt".into(),
        counter::Mood::Silent => "silent".into(),
        counter::Mood::Breaks => "breaks".into(),
    }
}

/// The moods of workers that a file may name, less those with a figure.
pub const WORKER_MOODS: [(&str, worker::Mood); 8] = [
    ("good", worker::Mood::Good),
    ("silent", worker::Mood::Silent),
    ("noise", worker::Mood::Noise),
    ("error", worker::Mood::Error),
    ("full", worker::Mood::Full),
    ("closes", worker::Mood::Closes),
    ("twice", worker::Mood::Twice),
    ("wrong-length", worker::Mood::WrongLength),
];

fn worker_mood(mood: worker::Mood) -> String {
    match (mood, WORKER_MOODS.iter().find(|(_, named)| *named == mood)) {
        (worker::Mood::Slower(factor), _) => format!("(slower {factor})"),
        (_, Some((name, _))) => (*name).into(),
        // No file can name it, so that none has it.
        (_, None) => "good".into(),
    }
}
