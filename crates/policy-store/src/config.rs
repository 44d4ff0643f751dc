//! Configuration file of a keeper: `(keeper (number 1) (folder "...") (keepers (1 "127.0.0.1:7001") ...)
//! ...)`.

use hingestage_policy_change::fields::{parse_address, parse_keeper_number, parse_keepers};
use hingestage_policy_change::rollout::LeaseConfig;
use hingestage_s_expression::{unique_fields, Form};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Allowed heartbeat intervals, seconds.
const HEARTBEAT_SECONDS: RangeInclusive<f64> = 0.01..=10.0;

/// Validated configuration of a keeper.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of this keeper.
    pub number: u64,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Directory of the store.
    pub folder: PathBuf,
    /// Addresses of all keepers, including this one.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Lease settings, the same for all keepers and gateways.
    pub lease_config: LeaseConfig,
    /// Path of the initial policy document.
    pub first: PathBuf,
    /// Interval of the leader's heartbeats. Followers start an election after four to eight intervals without
    /// one.
    pub heartbeat: Duration,
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// One message that names the file, the field and its place.
    pub fn load(path: &Path) -> Result<Config, String> {
        hingestage_s_expression::load(path, Config::parse)
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn parse(text: &str) -> Result<Config, String> {
        let parsed = hingestage_s_expression::read(text)?;
        let section = &parsed.only_section("keeper")?;
        let mut partial = PartialConfig::default();
        for field in unique_fields(&section.arguments()?, "keeper", &[]) {
            let (head, name, field) = field?;
            partial.parse_field(&field, &head, &name)?;
        }
        partial.finish(section)
    }
}

/// Fields parsed so far.
struct PartialConfig {
    number: Option<u64>,
    listen: Option<SocketAddr>,
    folder: Option<PathBuf>,
    keepers: BTreeMap<u64, SocketAddr>,
    lease_config: LeaseConfig,
    first: Option<PathBuf>,
    heartbeat: Duration,
}

impl Default for PartialConfig {
    fn default() -> PartialConfig {
        let (heartbeat, keepers, lease_config) =
            (Duration::from_millis(100), BTreeMap::new(), LeaseConfig::defaults());
        PartialConfig {
            number: None,
            listen: None,
            folder: None,
            keepers,
            lease_config,
            first: None,
            heartbeat,
        }
    }
}

impl PartialConfig {
    fn parse_field(&mut self, field: &Form, head: &str, name: &str) -> Result<(), String> {
        match head {
            "number" => self.number = Some(parse_keeper_number(&field.only_argument(name)?, name)?),
            "listen" => self.listen = Some(parse_address(&field.only_argument(name)?, name)?),
            "folder" => self.folder = Some(field.only_argument(name)?.text(name)?.into()),
            "first" => self.first = Some(field.only_argument(name)?.text(name)?.into()),
            "keepers" => self.keepers = parse_keepers(field, name)?,
            "heartbeat" => {
                let seconds = field.only_argument(name)?.number(
                    name,
                    *HEARTBEAT_SECONDS.start(),
                    *HEARTBEAT_SECONDS.end(),
                )?;
                self.heartbeat = Duration::from_secs_f64(seconds);
            }
            _ if self.lease_config.parse_field(field, head, name)? => {}
            _ => return Err(field.error(name, "no such field")),
        }
        Ok(())
    }

    fn finish(self, section: &Form) -> Result<Config, String> {
        let missing = |field: &str| section.error(&format!("keeper.{field}"), "missing");
        let number = self.number.ok_or_else(|| missing("number"))?;
        let folder = self.folder.ok_or_else(|| missing("folder"))?;
        let first = self.first.ok_or_else(|| missing("first"))?;
        let own = self.keepers.get(&number).copied();
        let own = own
            .ok_or_else(|| section.error("keeper.keepers", &format!("keeper {number} itself is missing")))?;
        let (listen, lease_config, heartbeat) =
            (self.listen.unwrap_or(own), self.lease_config, self.heartbeat);
        lease_config.validate(section, "keeper")?;
        Ok(Config { number, listen, folder, keepers: self.keepers, lease_config, first, heartbeat })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_CONFIG: &str = "(keeper (number 1) (folder \"/var/lib/x\") (first \"policy.lisp\")
      (keepers (0 \"127.0.0.1:7000\") (1 \"127.0.0.1:7001\") (2 \"127.0.0.1:7002\")))";

    #[test]
    fn every_field_is_read() {
        let more = VALID_CONFIG.replace(
            "(number 1)",
            "(number 1) (listen \"127.0.0.1:9\") (lease 3) (error 0.1) (heartbeat 0.2)",
        );
        let config = Config::parse(&more).unwrap();
        assert_eq!((config.number, config.listen.port(), config.keepers.len()), (1, 9, 3));
        assert_eq!(config.lease_config, LeaseConfig { lease: 3_000_000, clock_error: 100_000 });
        assert_eq!(config.heartbeat, Duration::from_millis(200));
        assert_eq!(
            Config::parse(VALID_CONFIG).unwrap().listen.port(),
            7001,
            "where others reach it, unless said"
        );
    }

    #[test]
    fn the_shipped_example_is_valid() {
        let text = include_str!("../../../deploy/keeper.example.lisp");
        assert_eq!(Config::parse(text).unwrap().keepers.len(), 3);
    }

    #[test]
    fn errors_name_the_field_and_position() {
        let with = |from: &str, to: &str| VALID_CONFIG.replace(from, to);
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
