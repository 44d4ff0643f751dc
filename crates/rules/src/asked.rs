//! What clients ask, as the world knows it: the ground of the rules and of the sums of service.

use crate::Class;

/// What a client asks, as the world knows it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Through which gateway, and which life of it.
    pub gateway: usize,
    /// See `gateway`.
    pub life: u32,
    /// Its class: how often its effect may happen.
    pub class: Class,
    /// The account.
    pub account: u64,
    /// The plan.
    pub plan: usize,
    /// Units, as guessed.
    pub units: f64,
    /// Its number, which its id is in hexadecimal.
    pub number: u64,
    /// Method and path as written.
    pub line: String,
    /// The body as written.
    pub body: Vec<u8>,
}
