//! The operator file: settings beyond those that the platform provides.
//!
//! The file consists of sections as S-expressions, such as `(srv (name "_registry._tcp.example.org") ...)`. Each field
//! is a list that begins with its name. An invalid file is rejected as a whole, with an error that names field, line
//! and column. `deploy/operator.example.lisp` shows all fields.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod policy;
mod srv;

pub use fleet::Fleet;
pub use hingestage_sites::Sites;
pub use policy::Policy;
pub use srv::Srv;

use std::path::Path;

/// Contents of the operator file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Worker discovery through SRV records.
    pub srv: Option<Srv>,
    /// Fleet membership and quota shares.
    pub fleet: Option<Fleet>,
    /// Source of plans, classes and accounts; the configuration if not set.
    pub policy: Option<Policy>,
    /// Sites, and how their load is redistributed after the loss of one.
    pub sites: Option<Sites>,
}

impl Operator {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// A message with the file, the field and its position.
    pub fn load(path: &Path) -> Result<Operator, String> {
        hingestage_s_expression::load(path, Operator::parse)
    }

    /// Validates the text of a file.
    ///
    /// # Errors
    /// A message with the field and its position.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let whole = hingestage_s_expression::read(text)?;
        let mut operator = Operator::default();
        for section in whole.items()? {
            match section.head()?.as_str() {
                "srv" if operator.srv.is_some() => return Err(section.error("srv", "given twice")),
                "srv" => operator.srv = Some(srv::read(&section)?),
                "fleet" if operator.fleet.is_some() => return Err(section.error("fleet", "given twice")),
                "fleet" => operator.fleet = Some(fleet::read(&section)?),
                "policy" if operator.policy.is_some() => return Err(section.error("policy", "given twice")),
                "policy" => operator.policy = Some(policy::read(&section)?),
                "sites" if operator.sites.is_some() => return Err(section.error("sites", "given twice")),
                "sites" => operator.sites = Some(hingestage_sites::parse_section(&section)?),
                other => {
                    let what = "no such section; there are `srv`, `fleet`, `policy` and `sites`";
                    return Err(section.error(other, what));
                }
            }
        }
        Ok(operator)
    }
}
