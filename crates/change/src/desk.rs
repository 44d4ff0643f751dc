//! Replicated state of the policy store: the rollout of changes, and the texts of recent versions. Commands
//! are validated by the leader before they are logged, so builds that know different document formats apply
//! the same log to the same state.

use crate::keeper::{Answer, Command, Fate, Figures, Keeper, Micros, Outcome, Question, Stand, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of stored texts.
const MAX_STORED_TEXTS: usize = 32;
/// Maximum total size of stored texts, bytes.
const MAX_STORED_TEXT_BYTES: usize = 4 << 20;
/// Maximum size of a text, bytes.
pub const TEXT_MAX: usize = 1 << 20;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of writing, by the leader's clock.
    pub at: Micros,
    /// Commands, applied in this order.
    pub orders: Vec<Order>,
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Initializes the state, unless that is done.
    Begin {
        /// Lease settings.
        figures: Figures,
        /// Initial version.
        version: Version,
        /// Its text.
        text: String,
    },
    /// A gateway's lease request, and its lease settings.
    Ask(Question, Figures),
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
    Answer(Answer),
    /// Done, now or before.
    Done,
    /// Refused, with the reason.
    Refused(String),
    /// A later incarnation of the gateway exists.
    Superseded,
    /// The state is not initialized yet: retry.
    NotBegun,
}

/// A gateway's call to the keepers, answered with a [`Reply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    /// The lease request.
    pub question: Question,
    /// The gateway's lease settings.
    pub figures: Figures,
}

/// An operator's proposal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proposed {
    /// The document.
    pub text: String,
    /// Earliest time to take effect, Unix time in µs; 0 for as soon as possible.
    pub at: Micros,
    /// Called off if not decided within this time, µs.
    pub within: Micros,
    /// Whether to accept a change that is flagged as dangerous.
    pub despite: bool,
}

/// Answer of a keeper that does not lead.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The leader's number, if known.
    pub leader: Option<u64>,
}

/// Status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the last log entry.
    pub now: Micros,
    /// Lease settings.
    pub figures: Figures,
    /// Version in force, until a decided change takes effect.
    pub force: Version,
    /// Pending change.
    pub change: Option<crate::keeper::Change>,
    /// Gateways by name.
    pub gateways: BTreeMap<String, Stand>,
    /// Gateways that the proposal waits for.
    pub waits_for: Vec<String>,
    /// Outcomes of changes, the latest last.
    pub history: Vec<(Version, Fate)>,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desk {
    keeper: Option<Keeper>,
    texts: BTreeMap<u64, (Version, String)>,
}

impl Desk {
    /// Applies an entry and returns one reply per command.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Reply> {
        let replies = entry.orders.iter().map(|order| self.apply_command(entry.at, order)).collect();
        self.prune_texts();
        replies
    }

    fn apply_command(&mut self, now: Micros, order: &Order) -> Reply {
        if let Order::Begin { figures, version, text } = order {
            return self.initialize(*figures, *version, text);
        }
        let Some(keeper) = &mut self.keeper else { return Reply::NotBegun };
        let command = match order {
            Order::Ask(question, figures) if *figures == keeper.figures() => Command::Ask(question.clone()),
            Order::Ask(..) => {
                let Figures { lease, error } = keeper.figures();
                let (lease, error) = (lease as f64 / 1e6, error as f64 / 1e6);
                return Reply::Refused(format!(
                    "keepers use a lease of {lease} s and a clock error of {error} s"
                ));
            }
            Order::Propose { version, at, deadline, .. } => Command::Propose(*version, *at, *deadline),
            Order::CallOff(number) => Command::CallOff(*number),
            Order::DeclareGone(gateway) => Command::DeclareGone(gateway.clone()),
            Order::Tick | Order::Begin { .. } => Command::Tick,
        };
        let outcome = keeper.apply(now, command);
        if let (Order::Propose { version, text, .. }, Outcome::Done) = (order, &outcome) {
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
    fn initialize(&mut self, figures: Figures, version: Version, text: &str) -> Reply {
        if self.keeper.is_none() {
            self.keeper = Some(Keeper::new(figures, version));
            self.texts.insert(version.number, (version, text.to_owned()));
        }
        Reply::Done
    }

    /// Drops the oldest texts beyond the limits, except those of the version in force and the pending one.
    fn prune_texts(&mut self) {
        let Some(keeper) = &self.keeper else { return };
        let (force, change) = keeper.standing();
        let pending = change.map(|change| change.version().number);
        let bytes =
            |texts: &BTreeMap<u64, (Version, String)>| texts.values().map(|(_, t)| t.len()).sum::<usize>();
        while self.texts.len() > MAX_STORED_TEXTS || bytes(&self.texts) > MAX_STORED_TEXT_BYTES {
            let needed = |number: &u64| *number == force.number || Some(*number) == pending;
            let Some(oldest) = self.texts.keys().copied().find(|number| !needed(number)) else { return };
            self.texts.remove(&oldest);
        }
    }

    /// Whether the state is initialized.
    pub fn has_begun(&self) -> bool {
        self.keeper.is_some()
    }

    /// Whether ticks are needed for a pending change.
    pub fn waits(&self) -> bool {
        self.keeper.as_ref().is_some_and(Keeper::waits)
    }

    /// Text of the version in force; `None` before initialization.
    pub fn in_force(&self) -> Option<&str> {
        self.text(self.keeper.as_ref()?.standing().0.number)
    }

    /// Text of a version, if stored.
    pub fn text(&self, number: u64) -> Option<&str> {
        self.texts.get(&number).map(|(_, text)| text.as_str())
    }

    /// Status for operators; `None` before initialization.
    pub fn report(&self) -> Option<Report> {
        let keeper = self.keeper.as_ref()?;
        let (force, change) = keeper.standing();
        Some(Report {
            now: keeper.now(),
            figures: keeper.figures(),
            force,
            change,
            gateways: keeper.gateways().map(|(name, stand)| (name.to_owned(), stand)).collect(),
            waits_for: keeper.waits_for(),
            history: keeper.history().cloned().collect(),
        })
    }
}

impl Report {
    /// Outcome of a version; `None` while it is pending or if unknown.
    pub fn fate(&self, version: Version) -> Option<&Fate> {
        let of = self.history.iter().rev().find(|(known, _)| *known == version);
        of.map(|(_, fate)| fate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keeper::tests::{version, FIGURES, S};
    use crate::keeper::Mode;

    fn initialize() -> Order {
        Order::Begin { figures: FIGURES, version: version(1), text: "one".into() }
    }

    fn apply(desk: &mut Desk, at: Micros, order: Order) -> Reply {
        desk.apply(&Entry { at, orders: vec![order] }).remove(0)
    }

    fn propose(desk: &mut Desk, at: Micros, number: u64, text: &str) -> Reply {
        let text = text.to_owned();
        apply(desk, at, Order::Propose { version: version(number), text, at, deadline: at + 9 * S })
    }

    fn ask(at: Micros, ready: Option<u64>) -> Order {
        let gateway = "g0".to_owned();
        let question =
            Question { gateway, life: 1, issued: at, mode: Mode::Stop, ready, cannot: None, probes: false };
        Order::Ask(question, FIGURES)
    }

    #[test]
    fn only_the_first_initialization_has_an_effect() {
        let mut desk = Desk::default();
        assert_eq!(apply(&mut desk, S, ask(S, None)), Reply::NotBegun);
        assert_eq!(apply(&mut desk, S, initialize()), Reply::Done);
        let other = Order::Begin { figures: FIGURES, version: version(9), text: "nine".into() };
        assert_eq!(apply(&mut desk, S, other), Reply::Done);
        assert_eq!((desk.text(1), desk.text(9)), (Some("one"), None));
        assert!(matches!(apply(&mut desk, S, ask(S, None)), Reply::Answer(_)));
    }

    #[test]
    fn a_request_with_other_lease_settings_is_refused_with_the_expected_ones() {
        let mut desk = Desk::default();
        apply(&mut desk, S, initialize());
        let Order::Ask(question, _) = ask(S, None) else { unreachable!() };
        let other = Figures { lease: 9 * S, ..FIGURES };
        let reply = apply(&mut desk, S, Order::Ask(question, other));
        assert!(matches!(&reply, Reply::Refused(why) if why.contains("a lease of 2 s")), "{reply:?}");
    }

    #[test]
    fn pruning_keeps_the_texts_in_force_and_pending() {
        let mut desk = Desk::default();
        apply(&mut desk, S, initialize());
        let long = "x".repeat(TEXT_MAX);
        for number in 2..60 {
            let now = number * 20 * S;
            assert_eq!(propose(&mut desk, now, number, &long), Reply::Done);
            apply(&mut desk, now, Order::CallOff(number));
        }
        let kept: Vec<u64> = desk.texts.keys().copied().collect();
        assert_eq!((kept.len(), kept[0], kept[kept.len() - 1]), (4, 1, 59), "that in force stays: {kept:?}");
        assert!(matches!(propose(&mut desk, 2_000 * S, 59, "other"), Reply::Refused(_)));
        assert_eq!(desk.text(59).map(str::len), Some(TEXT_MAX), "a number has one text");
    }

    #[test]
    fn state_survives_serialization() {
        let mut desk = Desk::default();
        apply(&mut desk, S, initialize());
        propose(&mut desk, S, 2, "two");
        apply(&mut desk, S, ask(S, Some(2)));
        let again: Desk = serde_json::from_str(&serde_json::to_string(&desk).unwrap()).unwrap();
        assert_eq!(again, desk);
        let report = again.report().unwrap();
        assert!(matches!(report.fate(version(2)), Some(Fate::InForce(_))), "{report:?}");
        assert_eq!((report.waits_for.len(), report.gateways["g0"].over), (0, false));
    }
}
