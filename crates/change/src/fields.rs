//! Fields that keepers' files and gateways' share: who the keepers are, and the figures that all go by.

use crate::keeper::{Figures, Micros};
use hingestage_form::Form;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most keepers: more than five make each word slower and no loss likelier to be survived.
const KEEPERS_MAX: usize = 9;
/// Keepers are numbered below this.
const NUMBER_MAX: f64 = 1_000.0;
/// Bounds of a lease, seconds.
const LEASE: (f64, f64) = (0.2, 3_600.0);
/// Bounds of the error of clocks, seconds.
const ERROR: (f64, f64) = (0.001, 60.0);

/// The longest name of a gateway, bytes.
pub const NAME_MAX: usize = 64;

impl Figures {
    /// What is gone by where nothing is said: gateways without word stop after two seconds, and clocks are kept by
    /// the network's time.
    pub fn usual() -> Figures {
        Figures { lease: 2_000_000, error: 250_000 }
    }

    /// Reads the field, if it is one of these.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn field(&mut self, field: &Form, head: &str, name: &str) -> Result<bool, String> {
        let span = |bounds: (f64, f64)| -> Result<Micros, String> {
            Ok((field.only_argument(name)?.number(name, bounds.0, bounds.1)? * 1e6).round() as Micros)
        };
        match head {
            "lease" => self.lease = span(LEASE)?,
            "error" => self.error = span(ERROR)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// What no field shows alone.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn check(&self, section: &Form, name: &str) -> Result<(), String> {
        match self.lease <= 2 * self.error {
            true => Err(section.error(&format!("{name}.lease"), "must be longer than two errors of clocks")),
            false => Ok(()),
        }
    }
}

/// A keeper's number.
///
/// # Errors
/// One message that names the field and its place.
pub fn number(form: &Form, name: &str) -> Result<u64, String> {
    form.integer(name, 0.0, NUMBER_MAX)
}
/// Numbers and addresses of keepers, as `(keepers (1 "127.0.0.1:7001") ...)`; gateways' files have the same.
///
/// # Errors
/// One message that names the field and its place.
pub fn keepers(field: &Form, name: &str) -> Result<BTreeMap<u64, SocketAddr>, String> {
    let mut keepers = BTreeMap::new();
    for form in field.arguments()? {
        let pair = form.items()?;
        let [number, at] = pair.as_slice() else {
            return Err(form.error(name, "a number and an address are wanted"));
        };
        let number = self::number(number, name)?;
        if keepers.insert(number, address(at, name)?).is_some() {
            return Err(form.error(name, &format!("keeper {number} is given twice")));
        }
    }
    match keepers.len() {
        0 => Err(field.error(name, "names none")),
        n if n > KEEPERS_MAX => Err(field.error(name, &format!("{n} are too many, {KEEPERS_MAX} at most"))),
        _ => Ok(keepers),
    }
}

/// An address with a port.
///
/// # Errors
/// One message that names the field and its place.
pub fn address(form: &Form, name: &str) -> Result<SocketAddr, String> {
    let text = form.text(name)?;
    let at: Option<SocketAddr> = text.parse().ok().filter(|at: &SocketAddr| at.port() > 0);
    at.ok_or_else(|| form.error(name, &format!("`{text}` is no address with a port")))
}
