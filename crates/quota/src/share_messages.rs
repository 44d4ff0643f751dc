//! What the holders of uneven shares and their owner tell each other.

use crate::{Incarnation, Micros};
use serde::{Deserialize, Serialize};

/// The whole of a common limit, in units of shares.
pub const WHOLE: u32 = 1_000_000;

/// One tenure of an owner. A later tenure has a greater one, whoever the owner is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A holder asks for its share to be renewed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// Grows with every report of this run.
    pub sequence: u64,
    /// The latest tenure that the holder has heard of.
    pub term: Term,
    /// The last grant of that tenure that the holder goes by; it goes by none before. 0 for none.
    pub applied: u64,
    /// The units that the holder holds as it reports.
    pub held: u32,
    /// What the holder would use, in any unit that all holders share.
    pub demand: f64,
}

/// An owner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareAnswer {
    /// The report was of an earlier tenure: report again.
    NewTerm(Term),
    /// A share.
    Granted(ShareGrant),
}

/// A share under a lease that began when the report was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The owner's tenure.
    pub term: Term,
    /// Grows with every grant of the tenure.
    pub grant: u64,
    /// The run of the holder that asked.
    pub incarnation: Incarnation,
    /// The report that is answered.
    pub sequence: u64,
    /// The share, out of [`WHOLE`].
    pub units: u32,
    /// How long it holds from the moment the report was sent, on the holder's clock.
    pub lease: Micros,
}
