//! The operators' own file: what this program can do beyond what the platform configures.
//!
//! It holds sections as S-expressions, `(srv (name "_registry._tcp.example.org") ...)`. Each field is a list that
//! begins with its name. Whatever is wrong is one message with field, line and column, and nothing of the file
//! is used. `deploy/operator.example.lisp` has all fields.
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

/// Everything that the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Workers taken from SRV records.
    pub srv: Option<Srv>,
    /// Who is there, and parts that follow from it.
    pub fleet: Option<Fleet>,
    /// Whose word is gone by on plans, classes and accounts; the configuration's where not said.
    pub policy: Option<Policy>,
    /// Sites, and what becomes of their load when one is lost.
    pub sites: Option<Sites>,
}

impl Operator {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One message that names the file, the field and its place.
    pub fn load(path: &Path) -> Result<Operator, String> {
        hingestage_form::load(path, Operator::parse)
    }

    /// Checks a file's text.
    ///
    /// # Errors
    /// One message that names the field and its place.
    pub fn parse(text: &str) -> Result<Operator, String> {
        // One list round all sections, on a line of its own so that columns stay what they are.
        let whole = hingestage_form::read(text)?;
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
