//! What processes say to each other about trial tenants.

use crate::messages::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Tenants with terms of a trial at the most, those whose trial is over included.
pub const TRIALS_MAX: usize = 1_024;
/// The longest terms, bytes.
pub const TERMS_BYTES_MAX: usize = 4_096;

/// Where a tenant's trial stands. Of two positions the higher one holds: newer terms first, then the later step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrialPosition {
    /// The operator's version of the terms.
    pub version: u64,
    /// Digest of the terms: tells two contents under one version apart.
    pub digest: u64,
    /// Number of the step; 0 before the first.
    pub step: u32,
}

impl TrialPosition {
    /// Whether two positions are steps of the same terms.
    pub fn has_terms_of(&self, other: &TrialPosition) -> bool {
        (self.version, self.digest) == (other.version, other.digest)
    }
}

/// A tenant's trial: its terms, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRecord {
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Where the trial stands.
    pub position: TrialPosition,
    /// The terms as the operator sent them, JSON.
    pub terms: Vec<u8>,
}

/// A record, and how long ago it was known to be durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNews {
    /// The record.
    pub record: TrialRecord,
    /// Time since it was known to be durable, at the least.
    pub age: Millis,
}

/// Step that a trial is to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialStep {
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Where the trial is to stand.
    pub position: TrialPosition,
}

/// Requests of one class of a trial tenant that one proxy judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCount {
    /// Let pass.
    pub passed: u64,
    /// Refused as a step leaves no more.
    pub slowed: u64,
    /// Refused as the trial has ended.
    pub ended: u64,
    /// Refused as the step could not be told.
    pub unknown: u64,
}

/// A tenant's trial as one proxy judges it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialView {
    /// The step that is in effect there; none where it can't tell.
    pub in_effect: Option<TrialPosition>,
    /// The newest step that it knows of.
    pub newest: Option<TrialPosition>,
    /// How much longer it may judge without further news.
    pub lease_left: Millis,
    /// Requests that are refused last, ordinary ones, and those that may wait.
    pub counts: [TrialCount; 3],
}

/// A step as a store noted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Time of day at the store, milliseconds since 1970.
    pub at: u64,
    /// Name of the tenant.
    pub tenant: CompactString,
    /// Where its trial stands from then on.
    pub position: TrialPosition,
}

/// Number of the last change of trials that one life of a registry has handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRevision {
    /// Which life of the registry: numbers of another one say nothing.
    pub incarnation: u64,
    /// The number.
    pub number: u64,
}
