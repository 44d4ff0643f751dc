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

/// Number of the last change of trials that one life of a registry has handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRevision {
    /// Which life of the registry: numbers of another one say nothing.
    pub incarnation: u64,
    /// The number.
    pub number: u64,
}
