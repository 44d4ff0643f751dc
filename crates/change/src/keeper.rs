//! Coordinates the rollout of a policy version to all gateways. Deterministic state machine of the replicated
//! log: time comes with each command, from the leader that wrote it.
//!
//! # Rollout
//! 1. Each gateway requests leases periodically. A reply lets it serve until `lease` after the request was sent,
//!    by its own clock; the state records that end.
//! 2. Each reply names the proposed version. A gateway that has fetched and validated it reports readiness with
//!    its next request.
//! 3. Once every gateway is ready, has no lease left, or was declared gone by an operator, the change is *decided*
//!    to take effect at `from`: the maximum clock error after the end of every lease granted so far.
//! 4. Later replies name the decision. A gateway with a lease at `from` or later has sent its request after the
//!    decision and knows it; it switches at `from` by its own clock.
//!
//! # Guarantee
//! **No request starts under the old version later than the maximum clock error after one started under the new
//! version**, for all gateways whose clocks stay within that error and that were not wrongly declared gone. A
//! gateway that knows the decision starts nothing under the old version from `from` on; one that does not know it
//! holds an older lease, which ends before `from` by at least the clock error. Nothing starts under the new
//! version before `from` on any clock.
//!
//! # Unreachable gateways
//! In mode `stop`, a gateway without a lease starts no requests, and the rollout goes on without it. In mode
//! `serve` it keeps serving, so the rollout waits for it until the deadline; but a gateway that has reported
//! readiness keeps to its lease until it learns the outcome.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Microseconds: Unix time or a duration.
pub type Micros = u64;

/// Maximum outcomes in the history.
const MAX_HISTORY: usize = 1_000;
/// Maximum number of gateways.
const MAX_GATEWAYS: usize = 10_000;
/// Gateways in mode `stop` are removed this long after their lease, µs.
const GATEWAY_RETENTION: Micros = 86_400_000_000;
/// Maximum gateways listed in a message.
const MAX_LISTED_NAMES: usize = 8;

/// Joins names, abbreviating long lists.
fn list_names(names: &[String]) -> String {
    let more = names.len().saturating_sub(MAX_LISTED_NAMES);
    let named = names[..names.len() - more].join(", ");
    if more > 0 {
        format!("{named} and {more} more")
    } else {
        named
    }
}

/// What a gateway does after its lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// It starts no more requests.
    Stop,
    /// It keeps serving, unless it has reported readiness for a change.
    Serve,
}

/// Number and digest of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number.
    pub number: u64,
    /// Digest of the canonical text.
    pub digest: Digest,
}

/// Lease settings, which all gateways and keepers must share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Duration of a lease from the time of the request, µs.
    pub lease: Micros,
    /// Maximum difference of any two clocks, µs.
    pub error: Micros,
}

/// A gateway's lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Name of the gateway.
    pub gateway: String,
    /// Incarnation: increases with each start.
    pub life: u64,
    /// Time of sending, by the gateway's clock.
    pub issued: Micros,
    /// Behavior without a lease.
    pub mode: Mode,
    /// Version that the gateway is ready for.
    pub ready: Option<u64>,
    /// Version that the gateway can't apply.
    pub cannot: Option<u64>,
    /// Only checks the clock and requests no lease, since the clock differed too much. Older keepers ignore
    /// this and grant a lease, which the gateway does not use.
    #[serde(default)]
    pub probes: bool,
}

/// A pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Gateways are to get ready for it.
    Proposed(Version),
    /// Takes effect at a time.
    Decided(Version, Micros),
}

impl Change {
    /// The new version.
    pub fn version(&self) -> Version {
        match self {
            Change::Proposed(version) | Change::Decided(version, _) => *version,
        }
    }
}

/// Reply to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Time of sending, copied from the request.
    pub issued: Micros,
    /// The keepers' time. A gateway whose clock differs too much ignores the reply.
    pub told: Micros,
    /// Version in force, until a decided change takes effect.
    pub force: Version,
    /// Pending change.
    pub change: Option<Change>,
    /// Whether a lease is granted; not for probes.
    #[serde(default = "default_leased")]
    pub leased: bool,
}

/// Older keepers grant a lease with every reply.
fn default_leased() -> bool {
    true
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Decided, to take effect at this time.
    InForce(Micros),
    /// Called off, with the reason.
    CalledOff(String),
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Requests a lease.
    Ask(Question),
    /// Proposes a version: version, earliest time to take effect, deadline of the decision.
    Propose(Version, Micros, Micros),
    /// Calls a change off, by version number.
    CallOff(u64),
    /// Declares that a gateway is gone and starts no requests.
    DeclareGone(String),
    /// Advances the clock.
    Tick,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Reply to a lease request.
    Answer(Answer),
    /// Done, now or before: proposals are idempotent.
    Done,
    /// Refused, with the reason.
    Refused(String),
    /// A later incarnation of the gateway exists: another process has replaced it, or it must start anew.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct GatewayRecord {
    life: u64,
    mode: Mode,
    /// End of its latest lease, by its own clock.
    until: Micros,
    ready: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Proposal {
    version: Version,
    at: Micros,
    deadline: Micros,
}

/// Status of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stand {
    /// Behavior without a lease.
    pub mode: Mode,
    /// Time of its last request.
    pub asked: Micros,
    /// The end of its lease.
    pub until: Micros,
    /// Whether its lease has ended on any clock.
    pub over: bool,
    /// Whether it is ready for the pending change.
    pub ready: bool,
}

/// State of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    figures: Figures,
    now: Micros,
    force: Version,
    proposal: Option<Proposal>,
    decided: Option<(Version, Micros)>,
    gateways: BTreeMap<String, GatewayRecord>,
    history: VecDeque<(Version, Fate)>,
}

impl Keeper {
    /// Creates a state with an initial version and no gateways.
    pub fn new(figures: Figures, force: Version) -> Keeper {
        let (gateways, history) = (BTreeMap::new(), VecDeque::new());
        Keeper { figures, now: 0, force, proposal: None, decided: None, gateways, history }
    }

    /// Applies a command written at `now`. Time never goes back, even if leaders' clocks differ.
    pub fn apply(&mut self, now: Micros, command: Command) -> Outcome {
        self.now = self.now.max(now);
        let outcome = match command {
            Command::Ask(question) => self.ask(&question),
            Command::Propose(version, at, deadline) => self.propose(version, at, deadline),
            Command::CallOff(number) => match self.proposal.as_ref().map(|p| p.version.number) {
                Some(pending) if pending == number => {
                    self.call_off("an operator called it off");
                    Outcome::Done
                }
                _ => self.abort_outcome(number),
            },
            Command::DeclareGone(gateway) => match self.gateways.remove(gateway.as_str()) {
                Some(_) => Outcome::Done,
                None => Outcome::Refused(format!("gateway {gateway} is not known")),
            },
            Command::Tick => Outcome::Done,
        };
        self.advance();
        outcome
    }

    /// The version in force and the pending change.
    pub fn standing(&self) -> (Version, Option<Change>) {
        (self.force, self.change())
    }

    /// Outcomes of changes, the latest last.
    pub fn history(&self) -> impl Iterator<Item = &(Version, Fate)> {
        self.history.iter()
    }

    /// Gateways that the proposal waits for.
    pub fn waits_for(&self) -> Vec<String> {
        let Some(proposal) = &self.proposal else { return Vec::new() };
        let waits =
            |known: &GatewayRecord| known.ready != Some(proposal.version.number) && !self.lease_ended(known);
        self.gateways.iter().filter(|(_, known)| waits(known)).map(|(gateway, _)| gateway.clone()).collect()
    }

    /// Status of each gateway.
    pub fn gateways(&self) -> impl Iterator<Item = (&str, Stand)> {
        let pending = self.proposal.as_ref().map(|proposal| proposal.version.number);
        let lease = self.figures.lease;
        self.gateways.iter().map(move |(name, known)| {
            let ready = pending.is_some() && known.ready == pending;
            let (asked, until) = (known.until.saturating_sub(lease), known.until);
            (name.as_str(), Stand { mode: known.mode, asked, until, over: self.lease_ended(known), ready })
        })
    }

    /// Lease settings.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Time of the last command.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Whether the passing of time alone can change the state.
    pub fn waits(&self) -> bool {
        self.proposal.is_some() || self.decided.is_some()
    }

    /// Whether a gateway's lease has ended on any clock.
    fn lease_ended(&self, known: &GatewayRecord) -> bool {
        known.mode == Mode::Stop && known.until.saturating_add(self.figures.error) <= self.now
    }

    fn change(&self) -> Option<Change> {
        let proposed = self.proposal.as_ref().map(|p| Change::Proposed(p.version));
        self.decided.map(|(version, from)| Change::Decided(version, from)).or(proposed)
    }

    fn ask(&mut self, question: &Question) -> Outcome {
        let has_capacity =
            self.gateways.len() < MAX_GATEWAYS || self.gateways.contains_key(&question.gateway);
        if !has_capacity {
            return Outcome::Refused("too many gateways".into());
        }
        if self.gateways.get(&question.gateway).is_some_and(|known| known.life > question.life) {
            return Outcome::Superseded;
        }
        let pending = self.proposal.as_ref().map(|proposal| proposal.version.number);
        if let (Some(number), true) = (pending, question.cannot.is_some() && question.cannot == pending) {
            self.call_off(&format!("gateway {} can't apply version {number}", question.gateway));
        }
        if question.issued > self.now.saturating_add(self.figures.error) {
            return Outcome::Refused(format!(
                "the clock of gateway {} is {} ms ahead",
                question.gateway,
                (question.issued - self.now) / 1_000
            ));
        }
        if question.probes {
            // No lease, so that no change waits for it.
            return Outcome::Answer(self.answer(question));
        }
        let until = question.issued.saturating_add(self.figures.lease);
        let known = GatewayRecord { life: question.life, mode: question.mode, until, ready: question.ready };
        let entry = self.gateways.entry(question.gateway.clone()).or_insert(known.clone());
        // Requests may arrive out of order: keep the latest lease end, and readiness once reported.
        let ready = entry.ready.filter(|_| entry.life == question.life).max(question.ready);
        *entry = GatewayRecord { until: entry.until.max(until), ready, ..known };
        Outcome::Answer(self.answer(question))
    }

    fn answer(&self, question: &Question) -> Answer {
        let (force, change) = (self.force, self.change());
        Answer { issued: question.issued, told: self.now, force, change, leased: !question.probes }
    }

    fn propose(&mut self, version: Version, at: Micros, deadline: Micros) -> Outcome {
        if let Some(same) = self.proposal.as_ref().filter(|p| p.version.number == version.number) {
            return match same.version == version {
                true => Outcome::Done,
                false => {
                    Outcome::Refused(format!("version {} is proposed with other contents", version.number))
                }
            };
        }
        if self.proposal.is_some() || self.decided.is_some() {
            return Outcome::Refused("another change is under way".into());
        }
        if version == self.force {
            return Outcome::Done;
        }
        if version.number <= self.highest_version() {
            return Outcome::Refused(format!(
                "version {} does not follow {}",
                version.number,
                self.highest_version()
            ));
        }
        if deadline <= self.now {
            return Outcome::Refused("its deadline has passed".into());
        }
        self.proposal = Some(Proposal { version, at, deadline });
        Outcome::Done
    }

    /// Highest version number ever used, even if called off: a number never has two contents.
    fn highest_version(&self) -> u64 {
        let given = self.history.iter().map(|(version, _)| version.number).max();
        given.unwrap_or(0).max(self.force.number)
    }

    fn abort_outcome(&self, number: u64) -> Outcome {
        match self.history.iter().rev().find(|(version, _)| version.number == number) {
            Some((_, Fate::CalledOff(_))) => Outcome::Done,
            Some((_, Fate::InForce(from))) => Outcome::Refused(format!("decided for {from}")),
            None => Outcome::Refused(format!("version {number} was not proposed")),
        }
    }

    fn record_outcome(&mut self, version: Version, fate: Fate) {
        self.history.push_back((version, fate));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn call_off(&mut self, why: &str) {
        if let Some(proposal) = self.proposal.take() {
            self.record_outcome(proposal.version, Fate::CalledOff(why.to_owned()));
        }
    }

    /// Decides the proposal or calls it off, and puts a decided version in force when due.
    fn advance(&mut self) {
        if let Some((version, _)) = self.decided.filter(|(_, from)| from + self.figures.error <= self.now) {
            (self.force, self.decided) = (version, None);
        }
        let now = self.now;
        let expired = |known: &GatewayRecord| {
            known.mode == Mode::Stop && known.until.saturating_add(GATEWAY_RETENTION) <= now
        };
        self.gateways.retain(|_, known| !expired(known));
        let Some(proposal) = self.proposal.clone() else { return };
        if self.waits_for().is_empty() && !self.gateways.is_empty() {
            let last = self.gateways.values().map(|known| known.until).max().unwrap_or(0);
            let from = proposal.at.max(self.now).max(last) + self.figures.error;
            self.decided = Some((proposal.version, from));
            self.proposal = None;
            self.record_outcome(proposal.version, Fate::InForce(from));
        } else if proposal.deadline <= self.now {
            let waits = self.waits_for();
            let why = match waits.is_empty() {
                true => "no gateway has asked by the deadline".to_owned(),
                false => format!("not ready by the deadline: {}", list_names(&waits)),
            };
            self.call_off(&why);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub const S: Micros = 1_000_000;
    pub const FIGURES: Figures = Figures { lease: 2 * S, error: S / 10 };

    pub fn version(number: u64) -> Version {
        Version { number, digest: Digest([number as u8; 32]) }
    }

    fn keeper() -> Keeper {
        Keeper::new(FIGURES, version(1))
    }

    fn question(gateway: &str, issued: Micros, ready: Option<u64>) -> Question {
        Question {
            gateway: gateway.to_owned(),
            life: 1,
            issued,
            mode: Mode::Stop,
            ready,
            cannot: None,
            probes: false,
        }
    }

    fn ask(keeper: &mut Keeper, now: Micros, question: Question) -> Answer {
        match keeper.apply(now, Command::Ask(question)) {
            Outcome::Answer(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn propose(keeper: &mut Keeper, now: Micros, number: u64) -> Outcome {
        keeper.apply(now, Command::Propose(version(number), 0, now + 10 * S))
    }

    #[test]
    fn a_change_takes_effect_after_every_granted_lease() {
        let mut keeper = keeper();
        ask(&mut keeper, S, question("g0", S, None));
        ask(&mut keeper, S, question("g1", S, None));
        assert_eq!(propose(&mut keeper, 2 * S, 2), Outcome::Done);
        let answer = ask(&mut keeper, 2 * S, question("g0", 2 * S, None));
        assert_eq!(answer.change, Some(Change::Proposed(version(2))));
        ask(&mut keeper, 5 * S / 2, question("g0", 5 * S / 2, Some(2)));
        assert_eq!(keeper.waits_for(), ["g1"]);
        let answer = ask(&mut keeper, 11 * S / 4, question("g1", 11 * S / 4, Some(2)));
        assert_eq!(answer.change, Some(Change::Proposed(version(2))), "this lease was given before");
        let from = 19 * S / 4 + S / 10;
        assert_eq!(keeper.standing(), (version(1), Some(Change::Decided(version(2), from))));
        keeper.apply(from + S / 10, Command::Tick);
        assert_eq!(keeper.standing(), (version(2), None));
    }

    #[test]
    fn a_probe_does_not_block_a_change() {
        let mut keeper = keeper();
        ask(&mut keeper, S, question("g0", S, None));
        ask(&mut keeper, S, question("g1", S, None));
        propose(&mut keeper, 2 * S, 2);
        for at in 4..9 {
            ask(&mut keeper, at * S / 2, question("g0", at * S / 2, Some(2)));
            let answer =
                ask(&mut keeper, at * S / 2, Question { probes: true, ..question("g1", at * S / 2, None) });
            assert!(!answer.leased);
        }
        let (_, change) = keeper.standing();
        assert!(matches!(change, Some(Change::Decided(..))), "its lease of 1 s ended at 3 s: {change:?}");
    }

    #[test]
    fn an_unreachable_gateway_blocks_a_change_only_as_long_as_it_may_serve() {
        for (mode, decided) in [(Mode::Stop, true), (Mode::Serve, false)] {
            let mut keeper = keeper();
            ask(&mut keeper, S, Question { mode, ..question("g1", S, None) });
            propose(&mut keeper, S, 2);
            ask(&mut keeper, 2 * S, question("g0", 2 * S, Some(2)));
            keeper.apply(3 * S + S / 10 - 1, Command::Tick);
            assert_eq!(keeper.waits_for(), ["g1"]);
            ask(&mut keeper, 3 * S + S / 10, question("g0", 3 * S, Some(2)));
            let (_, change) = keeper.standing();
            assert_eq!(matches!(change, Some(Change::Decided(..))), decided, "{mode:?}");
            keeper.apply(12 * S, Command::Tick);
            let fates: Vec<bool> =
                keeper.history().map(|(_, fate)| matches!(fate, Fate::InForce(_))).collect();
            assert_eq!(fates, [decided], "{mode:?}");
        }
    }

    #[test]
    fn a_gateway_declared_gone_does_not_block_a_change() {
        let mut keeper = keeper();
        ask(&mut keeper, S, Question { mode: Mode::Serve, ..question("g1", S, None) });
        propose(&mut keeper, S, 2);
        ask(&mut keeper, 2 * S, question("g0", 2 * S, Some(2)));
        assert_eq!(keeper.apply(2 * S, Command::DeclareGone("g1".into())), Outcome::Done);
        assert!(matches!(keeper.standing().1, Some(Change::Decided(..))));
        assert!(matches!(keeper.apply(2 * S, Command::DeclareGone("g9".into())), Outcome::Refused(_)));
    }

    #[test]
    fn a_gateway_that_cannot_apply_a_version_calls_it_off() {
        let mut keeper = keeper();
        propose(&mut keeper, S, 2);
        ask(&mut keeper, 2 * S, Question { cannot: Some(7), ..question("g0", 2 * S, None) });
        assert!(keeper.standing().1.is_some(), "another version is not this one");
        let answer = ask(&mut keeper, 2 * S, Question { cannot: Some(2), ..question("g0", 2 * S, None) });
        assert_eq!(answer.change, None);
        assert!(matches!(keeper.history().last(), Some((_, Fate::CalledOff(_)))));
    }

    #[test]
    fn proposals_are_idempotent_and_version_numbers_are_never_reused() {
        let mut keeper = keeper();
        ask(&mut keeper, S, question("g0", S, None));
        assert_eq!(propose(&mut keeper, S, 3), Outcome::Done);
        assert_eq!(propose(&mut keeper, S, 3), Outcome::Done);
        let other = Version { digest: Digest([9; 32]), ..version(3) };
        assert!(matches!(keeper.apply(S, Command::Propose(other, 0, 9 * S)), Outcome::Refused(_)));
        assert!(matches!(propose(&mut keeper, S, 4), Outcome::Refused(_)), "one change at a time");
        assert_eq!(keeper.apply(S, Command::CallOff(3)), Outcome::Done);
        assert_eq!(keeper.apply(S, Command::CallOff(3)), Outcome::Done);
        assert!(matches!(propose(&mut keeper, S, 3), Outcome::Refused(_)), "its number is used up");
        assert!(matches!(propose(&mut keeper, S, 1), Outcome::Done), "it is in force");
        assert_eq!(propose(&mut keeper, S, 4), Outcome::Done, "the version before, under a new number");
        ask(&mut keeper, 2 * S, question("g0", 2 * S, Some(4)));
        assert!(matches!(keeper.apply(2 * S, Command::CallOff(4)), Outcome::Refused(_)), "it is decided");
        assert!(matches!(keeper.apply(2 * S, Command::CallOff(77)), Outcome::Refused(_)));
    }

    #[test]
    fn an_earlier_incarnation_is_superseded_and_a_later_one_is_not_ready() {
        let mut keeper = keeper();
        propose(&mut keeper, S, 2);
        ask(&mut keeper, S, question("g1", S, None));
        ask(&mut keeper, S, question("g0", S, Some(2)));
        ask(&mut keeper, 2 * S, Question { life: 2, ..question("g0", 2 * S, None) });
        assert_eq!(keeper.waits_for(), ["g0", "g1"]);
        let old = keeper.apply(2 * S, Command::Ask(question("g0", 2 * S, Some(2))));
        assert_eq!(old, Outcome::Superseded);
    }

    #[test]
    fn time_never_goes_back_between_commands() {
        let mut keeper = keeper();
        ask(&mut keeper, 9 * S, question("g0", 9 * S, None));
        assert!(matches!(keeper.apply(S, Command::Propose(version(2), 0, 5 * S)), Outcome::Refused(_)));
    }

    #[test]
    fn a_clock_ahead_is_refused_and_a_silent_gateway_expires() {
        let mut keeper = keeper();
        let ahead = keeper.apply(S, Command::Ask(question("g0", 2 * S, None)));
        assert!(matches!(&ahead, Outcome::Refused(why) if why.contains("1000 ms ahead")), "{ahead:?}");
        ask(&mut keeper, 2 * S, question("g0", 2 * S, None));
        ask(&mut keeper, 2 * S, Question { mode: Mode::Serve, ..question("g1", 2 * S, None) });
        keeper.apply(2 * S + 2 * GATEWAY_RETENTION, Command::Tick);
        let left: Vec<&str> = keeper.gateways().map(|(name, _)| name).collect();
        assert_eq!(left, ["g1"], "one that serves on may still be serving");
    }
}
