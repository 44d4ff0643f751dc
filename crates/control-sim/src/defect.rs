//! Known defects that can be planted to prove that the checks detect them.

use std::fmt;
use std::str::FromStr;

/// A defect that replaces correct behaviour in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A store acknowledges an update before it is synced to disk.
    AckBeforeSync,
    /// A proxy starts a lease at receipt of the answer instead of when it sent the request.
    LeaseFromReceipt,
    /// Proxies use the wall clock instead of the monotonic clock.
    WallClock,
    /// A store that lost its disk votes under its old disk id.
    EmptyDiskVotes,
    /// A store answers reads without confirming with a quorum.
    ReadWithoutContact,
    /// A configuration is acknowledged although its serial belongs to another document.
    OtherContentAcknowledged,
    /// A store acknowledges a change that leaves its decided state as it is without proposing it.
    AckWithoutProposal,
    /// All readers of the worker list use the same fence, so their versions collide.
    ReaderWithoutFence,
    /// A proxy keeps its share of common limits across a restart.
    ShareKeptAcrossRestart,
    /// A new proxy gets its share immediately, before the lease of the previous shares ends.
    NewProxyAdmittedAtOnce,
    /// Each proxy applies trial steps by its own wall clock.
    StepByLocalClock,
    /// A proxy applies a trial step on receipt, without the delay.
    StepWithoutDelay,
    /// The first trial step is announced as soon as the terms are known, without notice.
    StepWithoutNotice,
    /// A proxy applies the trial steps that it knows after its lease has expired.
    StepWithoutLease,
}

impl Defect {
    /// All defects.
    pub const ALL: [Defect; 14] = [
        Defect::AckBeforeSync,
        Defect::LeaseFromReceipt,
        Defect::WallClock,
        Defect::EmptyDiskVotes,
        Defect::ReadWithoutContact,
        Defect::OtherContentAcknowledged,
        Defect::AckWithoutProposal,
        Defect::ReaderWithoutFence,
        Defect::ShareKeptAcrossRestart,
        Defect::NewProxyAdmittedAtOnce,
        Defect::StepByLocalClock,
        Defect::StepWithoutDelay,
        Defect::StepWithoutNotice,
        Defect::StepWithoutLease,
    ];

    /// Whether the defect can only be detected when operators set trial terms.
    pub fn requires_trials(self) -> bool {
        matches!(
            self,
            Defect::StepByLocalClock
                | Defect::StepWithoutDelay
                | Defect::StepWithoutNotice
                | Defect::StepWithoutLease
        )
    }

    /// Whether the defect can only be detected when operators repeat orders.
    pub fn requires_repeated_orders(self) -> bool {
        self == Defect::AckWithoutProposal
    }

    fn name(self) -> &'static str {
        match self {
            Defect::AckBeforeSync => "ack-before-sync",
            Defect::LeaseFromReceipt => "lease-from-receipt",
            Defect::WallClock => "wall-clock",
            Defect::EmptyDiskVotes => "empty-disk-votes",
            Defect::ReadWithoutContact => "read-without-contact",
            Defect::OtherContentAcknowledged => "other-content-acknowledged",
            Defect::AckWithoutProposal => "ack-without-proposal",
            Defect::ReaderWithoutFence => "duty-without-fence",
            Defect::ShareKeptAcrossRestart => "part-kept-over-restart",
            Defect::NewProxyAdmittedAtOnce => "newcomer-at-once",
            Defect::StepByLocalClock => "step-by-own-clock",
            Defect::StepWithoutDelay => "step-at-once",
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
        named.ok_or_else(|| format!("unknown defect `{text}`"))
    }
}
