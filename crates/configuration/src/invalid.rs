//! Why a configuration is refused.

use compact_str::CompactString;
use serde::Serialize;
use std::fmt;

const BAD_REQUEST: u16 = 400;
const UNPROCESSABLE_CONTENT: u16 = 422;

/// An entry of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(tag = "entry", content = "name", rename_all = "lowercase")]
pub enum Entry {
    /// The route of this name.
    Route(CompactString),
    /// The backend of this name.
    Backend(CompactString),
    /// The tenant of this name.
    Tenant(CompactString),
    /// The limits.
    Limits,
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Entry::Route(name) => write!(formatter, "route `{}`", name.escape_debug()),
            Entry::Backend(name) => write!(formatter, "backend `{}`", name.escape_debug()),
            Entry::Tenant(name) => write!(formatter, "tenant `{}`", name.escape_debug()),
            Entry::Limits => formatter.write_str("limits"),
        }
    }
}

/// A rule for the value of one field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A host is not empty.
    EmptyHost,
    /// A prefix begins and ends with a slash.
    PrefixWithoutSlashes,
    /// A kind is one of those that are known.
    UnknownKind,
    /// A timeout is above zero.
    NoTimeout,
    /// A target time is less than a minute above the timeout.
    TargetPastTimeout,
    /// A route has a backend or a split.
    NoBackend,
    /// A weight is a number of 0 or more.
    NegativeWeight,
    /// The weights of a route have a finite sum above 0.
    NoWeight,
    /// A rate is a finite number of 0 or more.
    InvalidRate,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 9] = [
        Rule::EmptyHost,
        Rule::PrefixWithoutSlashes,
        Rule::UnknownKind,
        Rule::NoTimeout,
        Rule::TargetPastTimeout,
        Rule::NoBackend,
        Rule::NegativeWeight,
        Rule::NoWeight,
        Rule::InvalidRate,
    ];

    /// A short name for machines.
    pub fn code(self) -> &'static str {
        match self {
            Rule::EmptyHost => "empty_host",
            Rule::PrefixWithoutSlashes => "prefix_without_slashes",
            Rule::UnknownKind => "unknown_kind",
            Rule::NoTimeout => "no_timeout",
            Rule::TargetPastTimeout => "target_past_timeout",
            Rule::NoBackend => "no_backend",
            Rule::NegativeWeight => "negative_weight",
            Rule::NoWeight => "no_weight",
            Rule::InvalidRate => "invalid_rate",
        }
    }

    pub(crate) fn from_code(code: &str) -> Option<Rule> {
        Rule::ALL.into_iter().find(|rule| rule.code() == code)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::EmptyHost => "is empty",
            Rule::PrefixWithoutSlashes => "does not begin and end with a slash",
            Rule::UnknownKind => "is neither `idempotent` nor `mutating`",
            Rule::NoTimeout => "is zero or absent",
            Rule::TargetPastTimeout => "is a minute or more above the timeout",
            Rule::NoBackend => "names no backend, and neither does `backend`",
            Rule::NegativeWeight => "is below 0 or not a number",
            Rule::NoWeight => "has weights without a finite sum above 0",
            Rule::InvalidRate => "is below 0 or not a finite number",
        })
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The document is cut short, is not JSON, or has a value of another type than its field.
    Unreadable {
        /// The reason, with line and column.
        reason: String,
    },
    /// The value of a field breaks a rule.
    Field {
        /// The entry.
        entry: Entry,
        /// The field, with its place in a list.
        field: String,
        /// The broken rule.
        rule: Rule,
    },
    /// Two entries of the same sort have one name.
    DuplicateName {
        /// The entry.
        entry: Entry,
    },
    /// Two routes have the same host and prefix.
    DuplicatePrefix {
        /// The first route.
        first: CompactString,
        /// The second route.
        second: CompactString,
    },
    /// A route names a backend that the configuration doesn't have.
    UnknownBackend {
        /// The route.
        route: CompactString,
        /// The field, with its place in a list.
        field: String,
        /// The name it gives.
        backend: CompactString,
    },
    /// Two tenants have the same key. The key is secret and isn't told.
    SharedKey {
        /// The first tenant.
        first: CompactString,
        /// The second tenant.
        second: CompactString,
    },
}

impl Invalid {
    /// The HTTP status that answers the document.
    pub fn status(&self) -> u16 {
        match self {
            Invalid::Unreadable { .. } => BAD_REQUEST,
            _ => UNPROCESSABLE_CONTENT,
        }
    }

    /// A short name for machines.
    pub fn code(&self) -> &'static str {
        match self {
            Invalid::Unreadable { .. } => "unreadable",
            Invalid::Field { rule, .. } => rule.code(),
            Invalid::DuplicateName { .. } => "duplicate_name",
            Invalid::DuplicatePrefix { .. } => "duplicate_prefix",
            Invalid::UnknownBackend { .. } => "unknown_backend",
            Invalid::SharedKey { .. } => "shared_key",
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Unreadable { reason } => write!(formatter, "unreadable: {reason}"),
            Invalid::Field { entry, field, rule } => write!(formatter, "{entry}: `{field}` {rule}"),
            Invalid::DuplicateName { entry } => write!(formatter, "{entry}: `name` is given twice"),
            Invalid::DuplicatePrefix { first, second } => {
                let (first, second) = (Entry::Route(first.clone()), Entry::Route(second.clone()));
                write!(formatter, "{second}: `host` and `prefix` are those of {first}")
            }
            Invalid::UnknownBackend { route, field, backend } => {
                let (route, backend) = (Entry::Route(route.clone()), backend.escape_debug());
                write!(formatter, "{route}: `{field}` names the unknown backend `{backend}`")
            }
            Invalid::SharedKey { first, second } => {
                let (first, second) = (Entry::Tenant(first.clone()), Entry::Tenant(second.clone()));
                write!(formatter, "{second}: `api_keys` has a key of {first}")
            }
        }
    }
}

impl std::error::Error for Invalid {}
