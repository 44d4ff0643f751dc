//! Faults that are planted on purpose.

use std::fmt;
use std::str::FromStr;

/// A fault that is planted on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A store says that an update is on its disk before it is.
    AckBeforeSync,
    /// A proxy counts a lease from when the answer came, not from when it asked.
    LeaseFromReceipt,
    /// Proxies go by the time of day.
    WallClock,
    /// A store that lost its disk speaks as if it had had nothing.
    EmptyDiskVotes,
    /// A store answers reads without asking others.
    ReadWithoutContact,
    /// An order under a serial that another document has is acknowledged.
    OtherContentAcknowledged,
    /// All readers of the platform's list number it alike.
    DutyWithoutFence,
    /// A proxy keeps its part of common limits over a restart.
    PartKeptOverRestart,
    /// A new proxy gets its part as soon as its name is known.
    NewcomerAtOnce,
    /// Each proxy takes steps of trials by its own time of day.
    StepByOwnClock,
    /// A proxy takes a step as soon as it hears of it.
    StepAtOnce,
    /// The first step is announced as soon as the terms are known.
    StepWithoutNotice,
    /// A proxy goes by the steps that it knows however old its news is.
    StepWithoutLease,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 13] = [
        Defect::AckBeforeSync,
        Defect::LeaseFromReceipt,
        Defect::WallClock,
        Defect::EmptyDiskVotes,
        Defect::ReadWithoutContact,
        Defect::OtherContentAcknowledged,
        Defect::DutyWithoutFence,
        Defect::PartKeptOverRestart,
        Defect::NewcomerAtOnce,
        Defect::StepByOwnClock,
        Defect::StepAtOnce,
        Defect::StepWithoutNotice,
        Defect::StepWithoutLease,
    ];

    /// Whether it shows only where operators set terms of trials.
    pub fn is_of_trials(self) -> bool {
        matches!(
            self,
            Defect::StepByOwnClock
                | Defect::StepAtOnce
                | Defect::StepWithoutNotice
                | Defect::StepWithoutLease
        )
    }

    fn name(self) -> &'static str {
        match self {
            Defect::AckBeforeSync => "ack-before-sync",
            Defect::LeaseFromReceipt => "lease-from-receipt",
            Defect::WallClock => "wall-clock",
            Defect::EmptyDiskVotes => "empty-disk-votes",
            Defect::ReadWithoutContact => "read-without-contact",
            Defect::OtherContentAcknowledged => "other-content-acknowledged",
            Defect::DutyWithoutFence => "duty-without-fence",
            Defect::PartKeptOverRestart => "part-kept-over-restart",
            Defect::NewcomerAtOnce => "newcomer-at-once",
            Defect::StepByOwnClock => "step-by-own-clock",
            Defect::StepAtOnce => "step-at-once",
            Defect::StepWithoutNotice => "step-without-notice",
            Defect::StepWithoutLease => "step-without-lease",
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Defect {
    type Err = String;

    fn from_str(text: &str) -> Result<Defect, String> {
        let named = Defect::ALL.into_iter().find(|defect| defect.name() == text);
        named.ok_or_else(|| format!("no defect is called `{text}`"))
    }
}
