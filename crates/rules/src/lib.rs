//! The rules, checked from outside: from what clients, workers and discovery saw, never by asking the program.
//!
//! The simulator and the rehearsals record different worlds, one on a virtual clock and one of real processes;
//! both are held against this one [`checker::Checker`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod asked;
pub mod checker;
pub mod service;

/// Nanoseconds since a run began.
pub type Nanos = u64;

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It may be repeated freely.
    Pull,
    /// It must never run twice.
    Push,
    /// Workers of a group drop its repeats for a time.
    Note,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 3] = [Class::Pull, Class::Push, Class::Note];

    /// Its name in scripts and requests.
    pub fn name(self) -> &'static str {
        match self {
            Class::Pull => "pull",
            Class::Push => "push",
            Class::Note => hingestage_test_servers::site::KEYED,
        }
    }
}
