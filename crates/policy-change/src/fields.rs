//! Configuration fields that keepers and gateways share: keeper addresses and lease settings.

use crate::rollout::{LeaseConfig, Micros};
use hingestage_s_expression::Form;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum number of keepers; more would slow down writes without improving availability.
const KEEPERS_MAX: usize = 9;
/// Maximum keeper number.
const MAX_KEEPER_NUMBER: f64 = 1_000.0;
/// Allowed lease durations, seconds.
const LEASE_SECONDS: RangeInclusive<f64> = 0.2..=3_600.0;
/// Allowed clock errors, seconds.
const CLOCK_ERROR_SECONDS: RangeInclusive<f64> = 0.001..=60.0;

/// Maximum length of a gateway's name, bytes.
pub const NAME_MAX: usize = 64;

impl LeaseConfig {
    /// Defaults: a lease of two seconds, and a clock error within the accuracy of NTP.
    pub fn defaults() -> LeaseConfig {
        LeaseConfig { lease: 2_000_000, clock_error: 250_000 }
    }

    /// Parses the field if it belongs to these settings; returns whether it does.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn parse_field(&mut self, field: &Form, head: &str, name: &str) -> Result<bool, String> {
        let parse_micros = |bounds: RangeInclusive<f64>| -> Result<Micros, String> {
            Ok((field.only_argument(name)?.number(name, *bounds.start(), *bounds.end())? * 1e6).round()
                as Micros)
        };
        match head {
            "lease" => self.lease = parse_micros(LEASE_SECONDS)?,
            "error" => self.clock_error = parse_micros(CLOCK_ERROR_SECONDS)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Checks that the settings fit together.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn validate(&self, section: &Form, name: &str) -> Result<(), String> {
        match self.lease <= 2 * self.clock_error {
            true => Err(section.error(&format!("{name}.lease"), "must be longer than two errors of clocks")),
            false => Ok(()),
        }
    }
}

/// Parses the number of a keeper.
///
/// # Errors
/// One message that names the field and its place.
pub fn parse_keeper_number(form: &Form, name: &str) -> Result<u64, String> {
    form.integer(name, 0.0, MAX_KEEPER_NUMBER)
}

/// Parses keeper numbers and addresses, as in `(keepers (1 "127.0.0.1:7001") ...)`.
///
/// # Errors
/// One message that names the field and its place.
pub fn parse_keepers(field: &Form, name: &str) -> Result<BTreeMap<u64, SocketAddr>, String> {
    let mut keepers = BTreeMap::new();
    for form in field.arguments()? {
        let pair = form.items()?;
        let [number, at] = pair.as_slice() else {
            return Err(form.error(name, "a number and an address are wanted"));
        };
        let number = parse_keeper_number(number, name)?;
        if keepers.insert(number, parse_address(at, name)?).is_some() {
            return Err(form.error(name, &format!("keeper {number} is given twice")));
        }
    }
    match keepers.len() {
        0 => Err(field.error(name, "names none")),
        n if n > KEEPERS_MAX => Err(field.error(name, &format!("{n} are too many, {KEEPERS_MAX} at most"))),
        _ => Ok(keepers),
    }
}

/// Parses an address with a non-zero port.
///
/// # Errors
/// One message that names the field and its place.
pub fn parse_address(form: &Form, name: &str) -> Result<SocketAddr, String> {
    let text = form.text(name)?;
    let at: Option<SocketAddr> = text.parse().ok().filter(|at: &SocketAddr| at.port() > 0);
    at.ok_or_else(|| form.error(name, &format!("`{text}` is no address with a port")))
}
