//! Replicated state of the policy store: the rollout of changes, and the texts of recent versions. Commands
//! are validated by the leader before they are logged, so builds that know different document formats apply
//! the same log to the same state.

use crate::rollout::{
    ChangeOutcome, Command, GatewayStatus, LeaseConfig, LeaseReply, LeaseRequest, Micros, Outcome, Rollout,
    Version,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of stored texts.
const MAX_STORED_TEXTS: usize = 32;
/// Maximum total size of stored texts, bytes.
const MAX_STORED_TEXT_BYTES: usize = 4 << 20;
/// Maximum size of a text, bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of writing, by the leader's clock.
    pub at: Micros,
    /// Commands, applied in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<LogCommand>,
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogCommand {
    /// Initializes the state, unless that is done.
    #[serde(rename = "Begin")]
    Initialize {
        /// Lease settings.
        #[serde(rename = "figures")]
        lease_config: LeaseConfig,
        /// Initial version.
        version: Version,
        /// Its text.
        text: String,
    },
    /// A gateway's lease request, and its lease settings.
    #[serde(rename = "Ask")]
    RequestLease(LeaseRequest, LeaseConfig),
    /// Proposes a version.
    Propose {
        /// The version.
        version: Version,
        /// Its text.
        text: String,
        /// Earliest time to take effect.
        at: Micros,
        /// Time by which it is decided or called off.
        deadline: Micros,
    },
    /// Calls a change off, by version number.
    CallOff(u64),
    /// Declares a gateway gone.
    DeclareGone(String),
    /// Advances the clock.
    Tick,
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a lease request.
    Answer(LeaseReply),
    /// Done, now or before.
    Done,
    /// Refused, with the reason.
    Refused(String),
    /// A later incarnation of the gateway exists.
    Superseded,
    /// The state is not initialized yet: retry.
    #[serde(rename = "NotBegun")]
    NotInitialized,
}

/// A gateway's call to the keepers, answered with a [`Reply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseCall {
    /// The lease request.
    #[serde(rename = "question")]
    pub request: LeaseRequest,
    /// The gateway's lease settings.
    #[serde(rename = "figures")]
    pub lease_config: LeaseConfig,
}

/// An operator's proposal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProposeRequest {
    /// The document.
    pub text: String,
    /// Earliest time to take effect, Unix time in µs; 0 for as soon as possible.
    pub at: Micros,
    /// Called off if not decided within this time, µs.
    pub within: Micros,
    /// Whether to accept a change that is flagged as dangerous.
    #[serde(rename = "despite")]
    pub confirmed: bool,
}

/// Reply of a keeper that does not lead.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NotLeader {
    /// The leader's number, if known.
    pub leader: Option<u64>,
}

/// Status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the last log entry.
    pub now: Micros,
    /// Lease settings.
    #[serde(rename = "figures")]
    pub lease_config: LeaseConfig,
    /// Version in force, until a decided change takes effect.
    #[serde(rename = "force")]
    pub in_force: Version,
    /// Pending change.
    pub change: Option<crate::rollout::Change>,
    /// Gateways by name.
    pub gateways: BTreeMap<String, GatewayStatus>,
    /// Gateways that the proposal waits for.
    pub waits_for: Vec<String>,
    /// Outcomes of changes, the latest last.
    pub history: Vec<(Version, ChangeOutcome)>,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyState {
    #[serde(rename = "keeper")]
    rollout: Option<Rollout>,
    texts: BTreeMap<u64, (Version, String)>,
}

impl PolicyState {
    /// Applies an entry and returns one reply per command.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Reply> {
        let replies = entry.commands.iter().map(|order| self.apply_command(entry.at, order)).collect();
        self.prune_texts();
        replies
    }

    fn apply_command(&mut self, now: Micros, order: &LogCommand) -> Reply {
        if let LogCommand::Initialize { lease_config, version, text } = order {
            return self.initialize(*lease_config, *version, text);
        }
        let Some(rollout) = &mut self.rollout else { return Reply::NotInitialized };
        let command = match order {
            LogCommand::RequestLease(request, lease_config) if *lease_config == rollout.lease_config() => {
                Command::RequestLease(request.clone())
            }
            LogCommand::RequestLease(..) => {
                let LeaseConfig { lease, clock_error } = rollout.lease_config();
                let (lease, clock_error) = (lease as f64 / 1e6, clock_error as f64 / 1e6);
                return Reply::Refused(format!(
                    "keepers use a lease of {lease} s and a clock error of {clock_error} s"
                ));
            }
            LogCommand::Propose { version, at, deadline, .. } => Command::Propose(*version, *at, *deadline),
            LogCommand::CallOff(number) => Command::CallOff(*number),
            LogCommand::DeclareGone(gateway) => Command::DeclareGone(gateway.clone()),
            LogCommand::Tick | LogCommand::Initialize { .. } => Command::Tick,
        };
        let outcome = rollout.apply(now, command);
        if let (LogCommand::Propose { version, text, .. }, Outcome::Done) = (order, &outcome) {
            self.texts.entry(version.number).or_insert_with(|| (*version, text.clone()));
        }
        match outcome {
            Outcome::Answer(answer) => Reply::Answer(answer),
            Outcome::Done => Reply::Done,
            Outcome::Refused(why) => Reply::Refused(why),
            Outcome::Superseded => Reply::Superseded,
        }
    }

    /// Initial keepers may all send this command: only the first has an effect.
    fn initialize(&mut self, lease_config: LeaseConfig, version: Version, text: &str) -> Reply {
        if self.rollout.is_none() {
            self.rollout = Some(Rollout::new(lease_config, version));
            self.texts.insert(version.number, (version, text.to_owned()));
        }
        Reply::Done
    }

    /// Drops the oldest texts beyond the limits, except those of the version in force and the pending one.
    fn prune_texts(&mut self) {
        let Some(rollout) = &self.rollout else { return };
        let (in_force, change) = rollout.current();
        let pending = change.map(|change| change.version().number);
        let bytes =
            |texts: &BTreeMap<u64, (Version, String)>| texts.values().map(|(_, t)| t.len()).sum::<usize>();
        while self.texts.len() > MAX_STORED_TEXTS || bytes(&self.texts) > MAX_STORED_TEXT_BYTES {
            let needed = |number: &u64| *number == in_force.number || Some(*number) == pending;
            let Some(oldest) = self.texts.keys().copied().find(|number| !needed(number)) else { return };
            self.texts.remove(&oldest);
        }
    }

    /// Whether the state is initialized.
    pub fn is_initialized(&self) -> bool {
        self.rollout.is_some()
    }

    /// Whether ticks are needed for a pending change.
    pub fn needs_tick(&self) -> bool {
        self.rollout.as_ref().is_some_and(Rollout::needs_tick)
    }

    /// Text of the version in force; `None` before initialization.
    pub fn in_force(&self) -> Option<&str> {
        self.text(self.rollout.as_ref()?.current().0.number)
    }

    /// Text of a version, if stored.
    pub fn text(&self, number: u64) -> Option<&str> {
        self.texts.get(&number).map(|(_, text)| text.as_str())
    }

    /// Status for operators; `None` before initialization.
    pub fn report(&self) -> Option<Report> {
        let rollout = self.rollout.as_ref()?;
        let (in_force, change) = rollout.current();
        Some(Report {
            now: rollout.now(),
            lease_config: rollout.lease_config(),
            in_force,
            change,
            gateways: rollout.gateways().map(|(name, status)| (name.to_owned(), status)).collect(),
            waits_for: rollout.waits_for(),
            history: rollout.history().cloned().collect(),
        })
    }
}

impl Report {
    /// Outcome of a version; `None` while it is pending or if unknown.
    pub fn outcome(&self, version: Version) -> Option<&ChangeOutcome> {
        let of = self.history.iter().rev().find(|(known, _)| *known == version);
        of.map(|(_, outcome)| outcome)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rollout::tests::{version, LEASE_CONFIG, S};
    use crate::rollout::Mode;

    fn initialize() -> LogCommand {
        LogCommand::Initialize { lease_config: LEASE_CONFIG, version: version(1), text: "one".into() }
    }

    fn apply(state: &mut PolicyState, at: Micros, order: LogCommand) -> Reply {
        state.apply(&Entry { at, commands: vec![order] }).remove(0)
    }

    fn propose(state: &mut PolicyState, at: Micros, number: u64, text: &str) -> Reply {
        let text = text.to_owned();
        apply(state, at, LogCommand::Propose { version: version(number), text, at, deadline: at + 9 * S })
    }

    fn ask(at: Micros, ready: Option<u64>) -> LogCommand {
        let gateway = "g0".to_owned();
        let request = LeaseRequest {
            gateway,
            incarnation: 1,
            sent_at: at,
            mode: Mode::Stop,
            ready,
            rejected: None,
            probe_only: false,
        };
        LogCommand::RequestLease(request, LEASE_CONFIG)
    }

    #[test]
    fn only_the_first_initialization_has_an_effect() {
        let mut state = PolicyState::default();
        assert_eq!(apply(&mut state, S, ask(S, None)), Reply::NotInitialized);
        assert_eq!(apply(&mut state, S, initialize()), Reply::Done);
        let other =
            LogCommand::Initialize { lease_config: LEASE_CONFIG, version: version(9), text: "nine".into() };
        assert_eq!(apply(&mut state, S, other), Reply::Done);
        assert_eq!((state.text(1), state.text(9)), (Some("one"), None));
        assert!(matches!(apply(&mut state, S, ask(S, None)), Reply::Answer(_)));
    }

    #[test]
    fn a_request_with_other_lease_settings_is_refused_with_the_expected_ones() {
        let mut state = PolicyState::default();
        apply(&mut state, S, initialize());
        let LogCommand::RequestLease(request, _) = ask(S, None) else { unreachable!() };
        let other = LeaseConfig { lease: 9 * S, ..LEASE_CONFIG };
        let reply = apply(&mut state, S, LogCommand::RequestLease(request, other));
        assert!(matches!(&reply, Reply::Refused(why) if why.contains("a lease of 2 s")), "{reply:?}");
    }

    #[test]
    fn pruning_keeps_the_texts_in_force_and_pending() {
        let mut state = PolicyState::default();
        apply(&mut state, S, initialize());
        let long = "x".repeat(MAX_TEXT_BYTES);
        for number in 2..60 {
            let now = number * 20 * S;
            assert_eq!(propose(&mut state, now, number, &long), Reply::Done);
            apply(&mut state, now, LogCommand::CallOff(number));
        }
        let stored: Vec<u64> = state.texts.keys().copied().collect();
        assert_eq!(
            (stored.len(), stored[0], stored[stored.len() - 1]),
            (4, 1, 59),
            "that in force stays: {stored:?}"
        );
        assert!(matches!(propose(&mut state, 2_000 * S, 59, "other"), Reply::Refused(_)));
        assert_eq!(state.text(59).map(str::len), Some(MAX_TEXT_BYTES), "a number has one text");
    }

    #[test]
    fn state_survives_serialization() {
        let mut state = PolicyState::default();
        apply(&mut state, S, initialize());
        propose(&mut state, S, 2, "two");
        apply(&mut state, S, ask(S, Some(2)));
        let again: PolicyState = serde_json::from_str(&serde_json::to_string(&state).unwrap()).unwrap();
        assert_eq!(again, state);
        let report = again.report().unwrap();
        assert!(matches!(report.outcome(version(2)), Some(ChangeOutcome::InForce(_))), "{report:?}");
        assert_eq!((report.waits_for.len(), report.gateways["g0"].lease_ended), (0, false));
    }
}
