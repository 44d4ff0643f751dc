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
pub struct LeaseConfig {
    /// Duration of a lease from the time of the request, µs.
    pub lease: Micros,
    /// Maximum difference of any two clocks, µs.
    #[serde(rename = "error")]
    pub clock_error: Micros,
}

/// A gateway's lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the gateway.
    pub gateway: String,
    /// Incarnation: increases with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of sending, by the gateway's clock.
    #[serde(rename = "issued")]
    pub sent_at: Micros,
    /// Behavior without a lease.
    pub mode: Mode,
    /// Version that the gateway is ready for.
    pub ready: Option<u64>,
    /// Version that the gateway can't apply.
    #[serde(rename = "cannot")]
    pub rejected: Option<u64>,
    /// Only checks the clock and requests no lease, since the clock differed too much. Older keepers ignore
    /// this and grant a lease, which the gateway does not use.
    #[serde(default, rename = "probes")]
    pub probe_only: bool,
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
pub struct LeaseReply {
    /// Time of sending, copied from the request.
    #[serde(rename = "issued")]
    pub sent_at: Micros,
    /// The keepers' time. A gateway whose clock differs too much ignores the reply.
    #[serde(rename = "told")]
    pub keeper_time: Micros,
    /// Version in force, until a decided change takes effect.
    #[serde(rename = "force")]
    pub in_force: Version,
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
pub enum ChangeOutcome {
    /// Decided, to take effect at this time.
    InForce(Micros),
    /// Called off, with the reason.
    CalledOff(String),
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Requests a lease.
    #[serde(rename = "Ask")]
    RequestLease(LeaseRequest),
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
    Answer(LeaseReply),
    /// Done, now or before: proposals are idempotent.
    Done,
    /// Refused, with the reason.
    Refused(String),
    /// A later incarnation of the gateway exists: another process has replaced it, or it must start anew.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct GatewayRecord {
    #[serde(rename = "life")]
    incarnation: u64,
    mode: Mode,
    /// End of its latest lease, by its own clock.
    #[serde(rename = "until")]
    lease_end: Micros,
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
pub struct GatewayStatus {
    /// Behavior without a lease.
    pub mode: Mode,
    /// Time of its last request.
    #[serde(rename = "asked")]
    pub last_request: Micros,
    /// The end of its lease.
    #[serde(rename = "until")]
    pub lease_end: Micros,
    /// Whether its lease has ended on any clock.
    #[serde(rename = "over")]
    pub lease_ended: bool,
    /// Whether it is ready for the pending change.
    pub ready: bool,
}

/// State of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    #[serde(rename = "figures")]
    lease_config: LeaseConfig,
    now: Micros,
    #[serde(rename = "force")]
    in_force: Version,
    proposal: Option<Proposal>,
    decided: Option<(Version, Micros)>,
    gateways: BTreeMap<String, GatewayRecord>,
    history: VecDeque<(Version, ChangeOutcome)>,
}

impl Rollout {
    /// Creates a state with an initial version and no gateways.
    pub fn new(lease_config: LeaseConfig, in_force: Version) -> Rollout {
        let (gateways, history) = (BTreeMap::new(), VecDeque::new());
        Rollout { lease_config, now: 0, in_force, proposal: None, decided: None, gateways, history }
    }

    /// Applies a command written at `now`. Time never goes back, even if leaders' clocks differ.
    pub fn apply(&mut self, now: Micros, command: Command) -> Outcome {
        self.now = self.now.max(now);
        let outcome = match command {
            Command::RequestLease(request) => self.ask(&request),
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
    pub fn current(&self) -> (Version, Option<Change>) {
        (self.in_force, self.change())
    }

    /// Outcomes of changes, the latest last.
    pub fn history(&self) -> impl Iterator<Item = &(Version, ChangeOutcome)> {
        self.history.iter()
    }

    /// Gateways that the proposal waits for.
    pub fn waits_for(&self) -> Vec<String> {
        let Some(proposal) = &self.proposal else { return Vec::new() };
        let needs_tick =
            |known: &GatewayRecord| known.ready != Some(proposal.version.number) && !self.lease_ended(known);
        self.gateways
            .iter()
            .filter(|(_, known)| needs_tick(known))
            .map(|(gateway, _)| gateway.clone())
            .collect()
    }

    /// Status of each gateway.
    pub fn gateways(&self) -> impl Iterator<Item = (&str, GatewayStatus)> {
        let pending = self.proposal.as_ref().map(|proposal| proposal.version.number);
        let lease = self.lease_config.lease;
        self.gateways.iter().map(move |(name, known)| {
            let ready = pending.is_some() && known.ready == pending;
            let (last_request, lease_end) = (known.lease_end.saturating_sub(lease), known.lease_end);
            (
                name.as_str(),
                GatewayStatus {
                    mode: known.mode,
                    last_request,
                    lease_end,
                    lease_ended: self.lease_ended(known),
                    ready,
                },
            )
        })
    }

    /// Lease settings.
    pub fn lease_config(&self) -> LeaseConfig {
        self.lease_config
    }

    /// Time of the last command.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Whether the passing of time alone can change the state.
    pub fn needs_tick(&self) -> bool {
        self.proposal.is_some() || self.decided.is_some()
    }

    /// Whether a gateway's lease has ended on any clock.
    fn lease_ended(&self, known: &GatewayRecord) -> bool {
        known.mode == Mode::Stop && known.lease_end.saturating_add(self.lease_config.clock_error) <= self.now
    }

    fn change(&self) -> Option<Change> {
        let proposed = self.proposal.as_ref().map(|p| Change::Proposed(p.version));
        self.decided.map(|(version, from)| Change::Decided(version, from)).or(proposed)
    }

    fn ask(&mut self, request: &LeaseRequest) -> Outcome {
        let has_capacity = self.gateways.len() < MAX_GATEWAYS || self.gateways.contains_key(&request.gateway);
        if !has_capacity {
            return Outcome::Refused("too many gateways".into());
        }
        if self.gateways.get(&request.gateway).is_some_and(|known| known.incarnation > request.incarnation) {
            return Outcome::Superseded;
        }
        let pending = self.proposal.as_ref().map(|proposal| proposal.version.number);
        if let (Some(number), true) = (pending, request.rejected.is_some() && request.rejected == pending) {
            self.call_off(&format!("gateway {} can't apply version {number}", request.gateway));
        }
        if request.sent_at > self.now.saturating_add(self.lease_config.clock_error) {
            return Outcome::Refused(format!(
                "the clock of gateway {} is {} ms ahead",
                request.gateway,
                (request.sent_at - self.now) / 1_000
            ));
        }
        if request.probe_only {
            // No lease, so that no change waits for it.
            return Outcome::Answer(self.answer(request));
        }
        let lease_end = request.sent_at.saturating_add(self.lease_config.lease);
        let known = GatewayRecord {
            incarnation: request.incarnation,
            mode: request.mode,
            lease_end,
            ready: request.ready,
        };
        let entry = self.gateways.entry(request.gateway.clone()).or_insert(known.clone());
        // Requests may arrive out of order: keep the latest lease end, and readiness once reported.
        let ready = entry.ready.filter(|_| entry.incarnation == request.incarnation).max(request.ready);
        *entry = GatewayRecord { lease_end: entry.lease_end.max(lease_end), ready, ..known };
        Outcome::Answer(self.answer(request))
    }

    fn answer(&self, request: &LeaseRequest) -> LeaseReply {
        let (in_force, change) = (self.in_force, self.change());
        LeaseReply {
            sent_at: request.sent_at,
            keeper_time: self.now,
            in_force,
            change,
            leased: !request.probe_only,
        }
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
        if version == self.in_force {
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
        given.unwrap_or(0).max(self.in_force.number)
    }

    fn abort_outcome(&self, number: u64) -> Outcome {
        match self.history.iter().rev().find(|(version, _)| version.number == number) {
            Some((_, ChangeOutcome::CalledOff(_))) => Outcome::Done,
            Some((_, ChangeOutcome::InForce(from))) => Outcome::Refused(format!("decided for {from}")),
            None => Outcome::Refused(format!("version {number} was not proposed")),
        }
    }

    fn record_outcome(&mut self, version: Version, fate: ChangeOutcome) {
        self.history.push_back((version, fate));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn call_off(&mut self, why: &str) {
        if let Some(proposal) = self.proposal.take() {
            self.record_outcome(proposal.version, ChangeOutcome::CalledOff(why.to_owned()));
        }
    }

    /// Decides the proposal or calls it off, and puts a decided version in force when due.
    fn advance(&mut self) {
        if let Some((version, _)) =
            self.decided.filter(|(_, from)| from + self.lease_config.clock_error <= self.now)
        {
            (self.in_force, self.decided) = (version, None);
        }
        let now = self.now;
        let expired = |known: &GatewayRecord| {
            known.mode == Mode::Stop && known.lease_end.saturating_add(GATEWAY_RETENTION) <= now
        };
        self.gateways.retain(|_, known| !expired(known));
        let Some(proposal) = self.proposal.clone() else { return };
        if self.waits_for().is_empty() && !self.gateways.is_empty() {
            let last = self.gateways.values().map(|known| known.lease_end).max().unwrap_or(0);
            let from = proposal.at.max(self.now).max(last) + self.lease_config.clock_error;
            self.decided = Some((proposal.version, from));
            self.proposal = None;
            self.record_outcome(proposal.version, ChangeOutcome::InForce(from));
        } else if proposal.deadline <= self.now {
            let needs_tick = self.waits_for();
            let why = match needs_tick.is_empty() {
                true => "no gateway has asked by the deadline".to_owned(),
                false => format!("not ready by the deadline: {}", list_names(&needs_tick)),
            };
            self.call_off(&why);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub const S: Micros = 1_000_000;
    pub const LEASE_CONFIG: LeaseConfig = LeaseConfig { lease: 2 * S, clock_error: S / 10 };

    pub fn version(number: u64) -> Version {
        Version { number, digest: Digest([number as u8; 32]) }
    }

    fn rollout() -> Rollout {
        Rollout::new(LEASE_CONFIG, version(1))
    }

    fn request(gateway: &str, sent_at: Micros, ready: Option<u64>) -> LeaseRequest {
        LeaseRequest {
            gateway: gateway.to_owned(),
            incarnation: 1,
            sent_at,
            mode: Mode::Stop,
            ready,
            rejected: None,
            probe_only: false,
        }
    }

    fn ask(rollout: &mut Rollout, now: Micros, request: LeaseRequest) -> LeaseReply {
        match rollout.apply(now, Command::RequestLease(request)) {
            Outcome::Answer(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn propose(rollout: &mut Rollout, now: Micros, number: u64) -> Outcome {
        rollout.apply(now, Command::Propose(version(number), 0, now + 10 * S))
    }

    #[test]
    fn a_change_takes_effect_after_every_granted_lease() {
        let mut rollout = rollout();
        ask(&mut rollout, S, request("g0", S, None));
        ask(&mut rollout, S, request("g1", S, None));
        assert_eq!(propose(&mut rollout, 2 * S, 2), Outcome::Done);
        let answer = ask(&mut rollout, 2 * S, request("g0", 2 * S, None));
        assert_eq!(answer.change, Some(Change::Proposed(version(2))));
        ask(&mut rollout, 5 * S / 2, request("g0", 5 * S / 2, Some(2)));
        assert_eq!(rollout.waits_for(), ["g1"]);
        let answer = ask(&mut rollout, 11 * S / 4, request("g1", 11 * S / 4, Some(2)));
        assert_eq!(answer.change, Some(Change::Proposed(version(2))), "this lease was given before");
        let from = 19 * S / 4 + S / 10;
        assert_eq!(rollout.current(), (version(1), Some(Change::Decided(version(2), from))));
        rollout.apply(from + S / 10, Command::Tick);
        assert_eq!(rollout.current(), (version(2), None));
    }

    #[test]
    fn a_probe_does_not_block_a_change() {
        let mut rollout = rollout();
        ask(&mut rollout, S, request("g0", S, None));
        ask(&mut rollout, S, request("g1", S, None));
        propose(&mut rollout, 2 * S, 2);
        for at in 4..9 {
            ask(&mut rollout, at * S / 2, request("g0", at * S / 2, Some(2)));
            let answer = ask(
                &mut rollout,
                at * S / 2,
                LeaseRequest { probe_only: true, ..request("g1", at * S / 2, None) },
            );
            assert!(!answer.leased);
        }
        let (_, change) = rollout.current();
        assert!(matches!(change, Some(Change::Decided(..))), "its lease of 1 s ended at 3 s: {change:?}");
    }

    #[test]
    fn an_unreachable_gateway_blocks_a_change_only_as_long_as_it_may_serve() {
        for (mode, decided) in [(Mode::Stop, true), (Mode::Serve, false)] {
            let mut rollout = rollout();
            ask(&mut rollout, S, LeaseRequest { mode, ..request("g1", S, None) });
            propose(&mut rollout, S, 2);
            ask(&mut rollout, 2 * S, request("g0", 2 * S, Some(2)));
            rollout.apply(3 * S + S / 10 - 1, Command::Tick);
            assert_eq!(rollout.waits_for(), ["g1"]);
            ask(&mut rollout, 3 * S + S / 10, request("g0", 3 * S, Some(2)));
            let (_, change) = rollout.current();
            assert_eq!(matches!(change, Some(Change::Decided(..))), decided, "{mode:?}");
            rollout.apply(12 * S, Command::Tick);
            let fates: Vec<bool> =
                rollout.history().map(|(_, fate)| matches!(fate, ChangeOutcome::InForce(_))).collect();
            assert_eq!(fates, [decided], "{mode:?}");
        }
    }

    #[test]
    fn a_gateway_declared_gone_does_not_block_a_change() {
        let mut rollout = rollout();
        ask(&mut rollout, S, LeaseRequest { mode: Mode::Serve, ..request("g1", S, None) });
        propose(&mut rollout, S, 2);
        ask(&mut rollout, 2 * S, request("g0", 2 * S, Some(2)));
        assert_eq!(rollout.apply(2 * S, Command::DeclareGone("g1".into())), Outcome::Done);
        assert!(matches!(rollout.current().1, Some(Change::Decided(..))));
        assert!(matches!(rollout.apply(2 * S, Command::DeclareGone("g9".into())), Outcome::Refused(_)));
    }

    #[test]
    fn a_gateway_that_cannot_apply_a_version_calls_it_off() {
        let mut rollout = rollout();
        propose(&mut rollout, S, 2);
        ask(&mut rollout, 2 * S, LeaseRequest { rejected: Some(7), ..request("g0", 2 * S, None) });
        assert!(rollout.current().1.is_some(), "another version is not this one");
        let answer =
            ask(&mut rollout, 2 * S, LeaseRequest { rejected: Some(2), ..request("g0", 2 * S, None) });
        assert_eq!(answer.change, None);
        assert!(matches!(rollout.history().last(), Some((_, ChangeOutcome::CalledOff(_)))));
    }

    #[test]
    fn proposals_are_idempotent_and_version_numbers_are_never_reused() {
        let mut rollout = rollout();
        ask(&mut rollout, S, request("g0", S, None));
        assert_eq!(propose(&mut rollout, S, 3), Outcome::Done);
        assert_eq!(propose(&mut rollout, S, 3), Outcome::Done);
        let other = Version { digest: Digest([9; 32]), ..version(3) };
        assert!(matches!(rollout.apply(S, Command::Propose(other, 0, 9 * S)), Outcome::Refused(_)));
        assert!(matches!(propose(&mut rollout, S, 4), Outcome::Refused(_)), "one change at a time");
        assert_eq!(rollout.apply(S, Command::CallOff(3)), Outcome::Done);
        assert_eq!(rollout.apply(S, Command::CallOff(3)), Outcome::Done);
        assert!(matches!(propose(&mut rollout, S, 3), Outcome::Refused(_)), "its number is used up");
        assert!(matches!(propose(&mut rollout, S, 1), Outcome::Done), "it is in force");
        assert_eq!(propose(&mut rollout, S, 4), Outcome::Done, "the version before, under a new number");
        ask(&mut rollout, 2 * S, request("g0", 2 * S, Some(4)));
        assert!(matches!(rollout.apply(2 * S, Command::CallOff(4)), Outcome::Refused(_)), "it is decided");
        assert!(matches!(rollout.apply(2 * S, Command::CallOff(77)), Outcome::Refused(_)));
    }

    #[test]
    fn an_earlier_incarnation_is_superseded_and_a_later_one_is_not_ready() {
        let mut rollout = rollout();
        propose(&mut rollout, S, 2);
        ask(&mut rollout, S, request("g1", S, None));
        ask(&mut rollout, S, request("g0", S, Some(2)));
        ask(&mut rollout, 2 * S, LeaseRequest { incarnation: 2, ..request("g0", 2 * S, None) });
        assert_eq!(rollout.waits_for(), ["g0", "g1"]);
        let old = rollout.apply(2 * S, Command::RequestLease(request("g0", 2 * S, Some(2))));
        assert_eq!(old, Outcome::Superseded);
    }

    #[test]
    fn time_never_goes_back_between_commands() {
        let mut rollout = rollout();
        ask(&mut rollout, 9 * S, request("g0", 9 * S, None));
        assert!(matches!(rollout.apply(S, Command::Propose(version(2), 0, 5 * S)), Outcome::Refused(_)));
    }

    #[test]
    fn a_clock_ahead_is_refused_and_a_silent_gateway_expires() {
        let mut rollout = rollout();
        let ahead = rollout.apply(S, Command::RequestLease(request("g0", 2 * S, None)));
        assert!(matches!(&ahead, Outcome::Refused(why) if why.contains("1000 ms ahead")), "{ahead:?}");
        ask(&mut rollout, 2 * S, request("g0", 2 * S, None));
        ask(&mut rollout, 2 * S, LeaseRequest { mode: Mode::Serve, ..request("g1", 2 * S, None) });
        rollout.apply(2 * S + 2 * GATEWAY_RETENTION, Command::Tick);
        let left: Vec<&str> = rollout.gateways().map(|(name, _)| name).collect();
        assert_eq!(left, ["g1"], "one that serves on may still be serving");
    }
}
