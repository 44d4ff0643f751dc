//! Message types for tenant trials.

use crate::messages::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum number of tenants with trial terms, including tenants whose trial has ended.
pub const TRIALS_MAX: usize = 1_024;
/// Maximum length of trial terms in bytes.
pub const TERMS_BYTES_MAX: usize = 4_096;

/// Progress of a tenant's trial. The higher of two positions wins: ordered by version of the terms, then by step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrialPosition {
    /// The operator's version of the terms.
    pub version: u64,
    /// Digest of the terms; distinguishes different terms with the same version.
    pub digest: u64,
    /// Step number; 0 before the first step.
    pub step: u32,
}

impl TrialPosition {
    /// Whether both positions refer to the same terms.
    pub fn has_same_terms(&self, other: &TrialPosition) -> bool {
        (self.version, self.digest) == (other.version, other.digest)
    }
}

/// A tenant's trial: its terms and its current position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRecord {
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Current position.
    pub position: TrialPosition,
    /// The operator's terms as JSON.
    pub terms: Vec<u8>,
}

/// A durable trial record with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialUpdate {
    /// The record.
    pub record: TrialRecord,
    /// Lower bound of the time since the record was known to be durable, in milliseconds.
    pub age: Millis,
}

/// A step that a trial has to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialStep {
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Position after the step.
    pub position: TrialPosition,
}

/// Request counters of one class of a trial tenant at one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCount {
    /// Requests that passed.
    pub passed: u64,
    /// Requests refused because the current step reduces the quota.
    pub slowed: u64,
    /// Requests refused because the trial has ended.
    pub ended: u64,
    /// Requests refused because the current step is unknown.
    pub unknown: u64,
}

/// A tenant's trial as one proxy sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialView {
    /// The position that the proxy enforces; none if it is unknown.
    pub in_effect: Option<TrialPosition>,
    /// The newest position that the proxy knows.
    pub newest: Option<TrialPosition>,
    /// Remaining lease: time for which the proxy may enforce its position without an update.
    pub lease_left: Millis,
    /// Counters by request class: refused last, ordinary, deferrable.
    pub counts: [TrialCount; 3],
}

/// A trial step in a store's audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The store's wall-clock time, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Position after the step.
    pub position: TrialPosition,
}

/// Revision of the trials handed out by one registry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRevision {
    /// Incarnation of the registry; numbers of different incarnations are not comparable.
    pub incarnation: u64,
    /// Number of the last change.
    pub number: u64,
}
