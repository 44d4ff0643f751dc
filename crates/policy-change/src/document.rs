//! Policy document, its canonical text and digest.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Version of the document format. Documents with another version are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// Limits of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Token bucket of the quota: units a second and capacity in units; `None` for no quota.
    pub quota: Option<(f64, f64)>,
    /// Token bucket of the ceiling: units a second, capacity in units, and allowed debt in units.
    pub ceiling: Option<(f64, f64, f64)>,
    /// Relative value of a unit compared with other plans.
    pub worth: f64,
}

/// Retry semantics of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated freely.
    Idempotent,
    /// It must not run twice.
    AtMostOnce,
    /// Workers drop its repeats.
    Deduplicated,
}

impl Effect {
    /// All variants with their names in documents.
    pub const NAMES: [(&str, Effect); 3] = [
        ("idempotent", Effect::Idempotent),
        ("at-most-once", Effect::AtMostOnce),
        ("deduplicated", Effect::Deduplicated),
    ];

    /// Name in documents.
    pub fn name(self) -> &'static str {
        Effect::NAMES.iter().find(|(_, effect)| *effect == self).map_or("", |(name, _)| name)
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target latency; requests answered within it earn their full value.
    pub aim: Duration,
    /// Deadline after which clients give up.
    pub give_up: Duration,
    /// Retry semantics.
    pub effect: Effect,
    /// Maximum attempts of a request.
    pub attempts: u32,
}

/// A temporary plan of an account.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Name of the plan.
    pub plan: String,
    /// Expiry, Unix time in seconds.
    pub until: u64,
}

/// A policy document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version number; must increase with each change.
    pub version: u64,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Accounts without a quota.
    pub exempt: BTreeSet<u64>,
    /// Blocked accounts.
    pub blocked: BTreeSet<u64>,
    /// Temporary plans by account.
    pub overrides: BTreeMap<u64, Override>,
}

/// SHA-256 digest of a document's canonical text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::str::FromStr for Digest {
    type Err = String;

    fn from_str(text: &str) -> Result<Digest, String> {
        let byte = |n: usize| text.get(2 * n..2 * n + 2).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        let bytes: Vec<u8> = (0..32).map_while(byte).collect();
        let whole = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let bytes = bytes.try_into().ok().filter(|_| whole);
        bytes.map(Digest).ok_or_else(|| format!("`{text}` is no digest of 64 hexadecimal digits"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Digest, D::Error> {
        String::deserialize(from)?.parse().map_err(de::Error::custom)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Formats Unix time as an RFC 3339 date.
pub fn date(seconds: u64) -> String {
    let at: SystemTime = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(at).to_string()
}

impl Policy {
    /// Canonical text: sorted, one plan, class or list per line, numbers in their shortest form.
    pub fn text(&self) -> String {
        let mut text = format!("(policy (form {FORMAT_VERSION}) (version {})", self.version);
        for (name, plan) in &self.plans {
            let _ = write!(text, "\n  (plan {}", quoted(name));
            if let Some((rate, burst)) = plan.quota {
                let _ = write!(text, " (quota {rate} {burst})");
            }
            if let Some((rate, depth, slack)) = plan.ceiling {
                let _ = write!(text, " (ceiling {rate} {depth} {slack})");
            }
            let _ = write!(text, " (worth {}))", plan.worth);
        }
        for (name, class) in &self.classes {
            let (aim, give_up) = (class.aim.as_secs_f64(), class.give_up.as_secs_f64());
            let _ = write!(text, "\n  (class {} (aim {aim}) (give-up {give_up})", quoted(name));
            let _ = write!(text, " (effect {}) (attempts {}))", class.effect.name(), class.attempts);
        }
        for (name, accounts) in [("exempt", &self.exempt), ("blocked", &self.blocked)] {
            if !accounts.is_empty() {
                let all: String = accounts.iter().map(|account| format!(" {account}")).collect();
                let _ = write!(text, "\n  ({name}{all})");
            }
        }
        for (account, other) in &self.overrides {
            let (plan, until) = (quoted(&other.plan), date(other.until));
            let _ = write!(text, "\n  (override {account} {plan} (until \"{until}\"))");
        }
        text.push_str(")\n");
        text
    }

    /// Digest of the canonical text.
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.text().as_bytes()).into())
    }
}

/// Quotes a name for the document.
fn quoted(name: &str) -> String {
    format!("\"{}\"", name.replace('\\', "\\\\").replace('"', "\\\""))
}
