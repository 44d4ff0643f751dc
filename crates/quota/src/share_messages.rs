//! Messages between the holders of uneven shares and their owner.

use crate::{Incarnation, Micros};
use serde::{Deserialize, Serialize};

/// The whole of a shared limit, in units.
pub const WHOLE: u32 = 1_000_000;

/// Identifies one term of ownership. Later terms have greater values, whoever the owner is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A holder's request to renew its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// Incremented with every report of this run.
    pub sequence: u64,
    /// The latest term known to the holder.
    pub term: Term,
    /// The last grant of that term that the holder applied, which replaces all earlier ones; 0 for none.
    pub applied: u64,
    /// The units held at the time of the report.
    pub held: u32,
    /// The holder's demand, in any unit common to all holders.
    pub demand: f64,
}

/// An owner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareAnswer {
    /// The report named an earlier term; the holder must report again.
    NewTerm(Term),
    /// A granted share.
    Granted(ShareGrant),
}

/// A share under a lease that started when the report was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The owner's term.
    pub term: Term,
    /// Incremented with every grant of the term.
    pub grant: u64,
    /// The run of the requesting holder.
    pub incarnation: Incarnation,
    /// The sequence number of the report that is answered.
    pub sequence: u64,
    /// The share, out of [`WHOLE`].
    pub units: u32,
    /// Duration of the lease from the sending of the report, on the holder's clock, µs.
    pub lease: Micros,
}
