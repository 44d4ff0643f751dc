//! A keeper's file: `(keeper (number 1) (folder "...") (keepers (1 "127.0.0.1:7001") ...) ...)`.

use hingestage_change::fields::{address, keepers, number};
use hingestage_change::keeper::Figures;
use hingestage_form::{unique_fields, Form};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bounds of the time between two words of the keeper that leads, seconds.
const HEARTBEAT: (f64, f64) = (0.01, 10.0);

/// A keeper's configuration, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its number.
    pub number: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its store is.
    pub folder: PathBuf,
    /// All keepers, itself among them, and how it reaches them.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// What all go by, gateways too.
    pub figures: Figures,
    /// The file of the first version.
    pub first: PathBuf,
    /// Time between two words of the keeper that leads. Others vote after four to eight of them without one.
    pub heartbeat: Duration,
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One message that names the file, the field and its place.
    pub fn load(path: &Path) -> Result<Config, String> {
        hingestage_form::load(path, Config::parse)
    }

    /// Checks a file's text.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn parse(text: &str) -> Result<Config, String> {
        let whole = hingestage_form::read(text)?;
        let section = &whole.only_section("keeper")?;
        let mut read = Read::default();
        for field in unique_fields(&section.arguments()?, "keeper", &[]) {
            let (head, name, field) = field?;
            read.field(&field, &head, &name)?;
        }
        read.whole(section)
    }
}

/// What has been read so far.
struct Read {
    number: Option<u64>,
    listen: Option<SocketAddr>,
    folder: Option<PathBuf>,
    keepers: BTreeMap<u64, SocketAddr>,
    figures: Figures,
    first: Option<PathBuf>,
    heartbeat: Duration,
}

impl Default for Read {
    fn default() -> Read {
        let (heartbeat, keepers, figures) = (Duration::from_millis(100), BTreeMap::new(), Figures::usual());
        Read { number: None, listen: None, folder: None, keepers, figures, first: None, heartbeat }
    }
}

impl Read {
    fn field(&mut self, field: &Form, head: &str, name: &str) -> Result<(), String> {
        match head {
            "number" => self.number = Some(number(&field.only_argument(name)?, name)?),
            "listen" => self.listen = Some(address(&field.only_argument(name)?, name)?),
            "folder" => self.folder = Some(field.only_argument(name)?.text(name)?.into()),
            "first" => self.first = Some(field.only_argument(name)?.text(name)?.into()),
            "keepers" => self.keepers = keepers(field, name)?,
            "heartbeat" => {
                let seconds = field.only_argument(name)?.number(name, HEARTBEAT.0, HEARTBEAT.1)?;
                self.heartbeat = Duration::from_secs_f64(seconds);
            }
            _ if self.figures.field(field, head, name)? => {}
            _ => return Err(field.error(name, "no such field")),
        }
        Ok(())
    }

    fn whole(self, section: &Form) -> Result<Config, String> {
        let missing = |field: &str| section.error(&format!("keeper.{field}"), "missing");
        let number = self.number.ok_or_else(|| missing("number"))?;
        let folder = self.folder.ok_or_else(|| missing("folder"))?;
        let first = self.first.ok_or_else(|| missing("first"))?;
        let own = self.keepers.get(&number).copied();
        let own = own
            .ok_or_else(|| section.error("keeper.keepers", &format!("keeper {number} itself is missing")))?;
        let (listen, figures, heartbeat) = (self.listen.unwrap_or(own), self.figures, self.heartbeat);
        figures.check(section, "keeper")?;
        Ok(Config { number, listen, folder, keepers: self.keepers, figures, first, heartbeat })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const USUAL: &str = "(keeper (number 1) (folder \"/var/lib/x\") (first \"policy.lisp\")
      (keepers (0 \"127.0.0.1:7000\") (1 \"127.0.0.1:7001\") (2 \"127.0.0.1:7002\")))";

    #[test]
    fn every_field_is_read() {
        let more = USUAL.replace(
            "(number 1)",
            "(number 1) (listen \"127.0.0.1:9\") (lease 3) (error 0.1) (heartbeat 0.2)",
        );
        let config = Config::parse(&more).unwrap();
        assert_eq!((config.number, config.listen.port(), config.keepers.len()), (1, 9, 3));
        assert_eq!(config.figures, Figures { lease: 3_000_000, error: 100_000 });
        assert_eq!(config.heartbeat, Duration::from_millis(200));
        assert_eq!(Config::parse(USUAL).unwrap().listen.port(), 7001, "where others reach it, unless said");
    }

    #[test]
    fn the_shipped_example_is_good() {
        let text = include_str!("../../../deploy/keeper.example.lisp");
        assert_eq!(Config::parse(text).unwrap().keepers.len(), 3);
    }

    #[test]
    fn every_fault_is_named_with_its_field_and_place() {
        let with = |from: &str, to: &str| USUAL.replace(from, to);
        for (text, wanted) in [
            (with("(number 1)", "(number 1) (colour 1)"), "1:20: field `keeper.colour`: no such field"),
            (with("(number 1)", "(number 1) (number 1)"), "field `keeper.number`: given twice"),
            (with("(number 1)", ""), "field `keeper.number`: missing"),
            (with("(number 1)", "(number 7)"), "field `keeper.keepers`: keeper 7 itself is missing"),
            (with("(folder \"/var/lib/x\")", ""), "field `keeper.folder`: missing"),
            (with("(first \"policy.lisp\")", ""), "field `keeper.first`: missing"),
            (with("(0 \"127.0.0.1:7000\")", "(1 \"127.0.0.1:7000\")"), "keeper 1 is given twice"),
            (with("(0 \"127.0.0.1:7000\")", "(0)"), "a number and an address are wanted"),
            (with("127.0.0.1:7000", "there"), "`there` is no address with a port"),
            (with("(number 1)", "(number 1) (lease 0.1)"), "field `keeper.lease`: 0.1 is not between"),
            (with("(number 1)", "(number 1) (lease 1) (error 0.5)"), "field `keeper.lease`: must be longer"),
            (with("(number 1)", "(number 1) (heartbeat 0)"), "field `keeper.heartbeat`: 0 is not between"),
            ("(fleet)".into(), "the file begins with `keeper`"),
            (String::new(), "one is wanted, 0 are given"),
        ] {
            let error = Config::parse(&text).unwrap_err();
            assert!(error.contains(wanted), "{text}\n  {error}\n  wanted: {wanted}");
        }
    }
}
