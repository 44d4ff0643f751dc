//! Validation errors.

use compact_str::CompactString;
use serde::Serialize;
use std::fmt;

const BAD_REQUEST: u16 = 400;
const UNPROCESSABLE_CONTENT: u16 = 422;

/// An entry of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(tag = "entry", content = "name", rename_all = "lowercase")]
pub enum Entry {
    /// The route with this name.
    Route(CompactString),
    /// The backend with this name.
    Backend(CompactString),
    /// The tenant with this name.
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

/// A validation rule for one field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A host must not be empty.
    EmptyHost,
    /// A prefix must begin and end with a slash.
    PrefixWithoutSlashes,
    /// A kind must be known.
    UnknownKind,
    /// A timeout must be positive.
    NoTimeout,
    /// A target time must exceed the timeout by less than a minute.
    TargetPastTimeout,
    /// A route must have a backend or a split.
    NoBackend,
    /// A weight must be at least 0.
    NegativeWeight,
    /// The weights of a route must have a finite, positive sum.
    NoWeight,
    /// A rate must be finite and at least 0.
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

    /// A stable, machine-readable code.
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

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The document is truncated, is not JSON, or has a value of the wrong type.
    Unreadable {
        /// The reason, with line and column.
        reason: String,
    },
    /// A field violates a rule.
    Field {
        /// The entry.
        entry: Entry,
        /// Path of the field, with list indexes.
        field: String,
        /// The violated rule.
        rule: Rule,
    },
    /// Two entries of the same type have the same name.
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
    /// A route names a backend that does not exist.
    UnknownBackend {
        /// The route.
        route: CompactString,
        /// Path of the field, with list indexes.
        field: String,
        /// The name of the missing backend.
        backend: CompactString,
    },
    /// Two tenants have the same API key. The key is secret and not included.
    SharedKey {
        /// The first tenant.
        first: CompactString,
        /// The second tenant.
        second: CompactString,
    },
}

impl Invalid {
    /// HTTP status of the response to such a document.
    pub fn status(&self) -> u16 {
        match self {
            Invalid::Unreadable { .. } => BAD_REQUEST,
            _ => UNPROCESSABLE_CONTENT,
        }
    }

    /// A stable, machine-readable code.
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
