//! Section `policy` of the operator file: where a gateway obtains its policy.

use hingestage_policy_change::fields::{parse_keepers, NAME_MAX};
use hingestage_policy_change::rollout::{LeaseConfig, Mode};
use hingestage_s_expression::{unique_fields, Form};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings of the policy source.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Keeper addresses by number.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Unique name of this gateway at the keepers.
    pub name: String,
    /// Behaviour after the lease has expired.
    pub mode: Mode,
    /// Lease settings shared by all gateways and keepers.
    pub figures: LeaseConfig,
}

/// Reads the section.
pub fn read(section: &Form) -> Result<Policy, String> {
    let (mut addresses, mut own_name, mut mode, mut figures) =
        (None, None, Mode::Stop, LeaseConfig::defaults());
    for field in unique_fields(&section.arguments()?, "policy", &[]) {
        let (head, name, field) = field?;
        match head.as_str() {
            "keepers" => addresses = Some(parse_keepers(&field, &name)?),
            "name" => own_name = Some(self::name(&field, &name)?),
            "mode" => {
                let one = field.only_argument(&name)?;
                mode = match one.text(&name)? {
                    "stop" => Mode::Stop,
                    "serve" => Mode::Serve,
                    other => return Err(one.error(&name, &format!("`{other}` is neither stop nor serve"))),
                }
            }
            _ if figures.parse_field(&field, &head, &name)? => {}
            _ => return Err(field.error(&name, "no such field")),
        }
    }
    figures.validate(section, "policy")?;
    let missing = |field: &str| section.error(&format!("policy.{field}"), "missing");
    let keepers = addresses.ok_or_else(|| missing("keepers"))?;
    Ok(Policy { keepers, name: own_name.ok_or_else(|| missing("name"))?, mode, figures })
}

fn name(field: &Form, name: &str) -> Result<String, String> {
    let one = field.only_argument(name)?;
    match one.text(name)? {
        text if (1..=NAME_MAX).contains(&text.len()) => Ok(text.to_owned()),
        text => Err(one.error(name, &format!("a name of {} bytes; 1 to {NAME_MAX} are wanted", text.len()))),
    }
}

#[cfg(test)]
mod tests {
    use crate::Operator;
    use hingestage_policy_change::rollout::{LeaseConfig, Mode};

    #[test]
    fn all_fields_are_read() {
        let text =
            "(policy (keepers (0 \"127.0.0.1:7000\") (1 \"127.0.0.1:7001\")) (name \"n12\") (mode serve)
                     (lease 3) (error 0.1))";
        let policy = Operator::parse(text).unwrap().policy.unwrap();
        assert_eq!((policy.keepers.len(), policy.name.as_str(), policy.mode), (2, "n12", Mode::Serve));
        assert_eq!(policy.figures, LeaseConfig { lease: 3_000_000, clock_error: 100_000 });
    }

    #[test]
    fn errors_name_the_field_and_position() {
        let usual = "(policy (keepers (0 \"127.0.0.1:7000\")) (name \"n\"))";
        for (from, to, wanted) in [
            ("(name \"n\")", "(name \"n\") (colour 1)", "1:51: field `policy.colour`: no such field"),
            ("(name \"n\")", "(name \"n\") (name \"n\")", "field `policy.name`: given twice"),
            ("(name \"n\")", "(name \"\")", "field `policy.name`: a name of 0 bytes"),
            ("(name \"n\")", "", "field `policy.name`: missing"),
            ("(keepers (0 \"127.0.0.1:7000\"))", "", "field `policy.keepers`: missing"),
            ("(0 \"127.0.0.1:7000\")", "", "field `policy.keepers`: names none"),
            ("(name \"n\")", "(name \"n\") (mode rest)", "`rest` is neither stop nor serve"),
            ("(name \"n\")", "(name \"n\") (lease 0.3) (error 0.2)", "field `policy.lease`: must be longer"),
        ] {
            let error = Operator::parse(&usual.replace(from, to)).unwrap_err();
            assert!(error.contains(wanted), "{error}, wanted: {wanted}");
        }
    }
}
