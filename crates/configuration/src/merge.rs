//! Three-way merge of configurations.

use crate::fields::{by_name, changed, Fields, Named};
use crate::model::Configuration;
use crate::{Entry, Invalid, Serial};
use serde_json::Value;
use std::fmt;

/// One of the two sides of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The first changed configuration.
    Ours,
    /// The second changed configuration.
    Theirs,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Ours => Side::Theirs,
            Side::Theirs => Side::Ours,
        }
    }
}

impl fmt::Display for Side {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Side::Ours => "ours",
            Side::Theirs => "theirs",
        })
    }
}

/// A conflict between the two sides of a merge.
#[derive(Clone, Debug, PartialEq)]
pub enum Conflict {
    /// Both sides change the field, to different values.
    Field {
        /// The entry.
        entry: Entry,
        /// Name of the field; `backend` covers `backend` and `split` of a route.
        field: &'static str,
        /// The value of the first side as JSON, with API keys masked.
        ours: Value,
        /// The value of the second side.
        theirs: Value,
    },
    /// One side removes an entry that the other side changes.
    Removed {
        /// The entry.
        entry: Entry,
        /// The side that removes it.
        by: Side,
        /// The fields that the other side changes.
        changed: Vec<&'static str>,
    },
    /// Each side has tenants, but the merge has none, which would disable authentication by key.
    NoTenantLeft,
    /// There is no serial above those of both sides.
    NoSerialLeft,
    /// The merged configuration is invalid.
    Invalid(Invalid),
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Conflict::Field { entry, field, ours, theirs } => {
                write!(formatter, "{entry}: `{field}` is {ours} in ours and {theirs} in theirs")
            }
            Conflict::Removed { entry, by, changed } => {
                let fields = changed.join("`, `");
                write!(formatter, "{entry}: removed in {by}, but {} changes `{fields}`", by.other())
            }
            Conflict::NoTenantLeft => {
                formatter.write_str("tenants: none is left, so no key would be asked for")
            }
            Conflict::NoSerialLeft => formatter.write_str("serial: none is above those of both sides"),
            Conflict::Invalid(invalid) => write!(formatter, "merged: {invalid}"),
        }
    }
}

impl std::error::Error for Conflict {}

/// Merges the changes from `base` to `ours` and from `base` to `theirs`, by entry and field.
///
/// A field changed by one side takes that side's value; a field changed by both must have the same value on both. An
/// entry removed by one side must be unchanged on the other. The result is valid, and its serial follows the higher one
/// of both sides. Entries are in the order of `base`, followed by those added by `ours` and then by `theirs`.
pub fn merge(
    base: &Configuration,
    ours: &Configuration,
    theirs: &Configuration,
) -> Result<Configuration, Vec<Conflict>> {
    let mut merger = Merger::default();
    let merged = Configuration {
        serial: merger.serial(ours.serial, theirs.serial),
        limits: merger.fields(Some(&base.limits), &ours.limits, &theirs.limits),
        routes: merger.entries(&base.routes, &ours.routes, &theirs.routes),
        backends: merger.entries(&base.backends, &ours.backends, &theirs.backends),
        tenants: merger.entries(&base.tenants, &ours.tenants, &theirs.tenants),
    };
    let each_has_tenants = !ours.tenants.is_empty() && !theirs.tenants.is_empty();
    if merger.conflicts.is_empty() && merged.tenants.is_empty() && each_has_tenants {
        merger.conflicts.push(Conflict::NoTenantLeft);
    }
    if !merger.conflicts.is_empty() {
        return Err(merger.conflicts);
    }
    merged.check().map_err(|invalid| vec![Conflict::Invalid(invalid)])?;
    Ok(merged)
}

/// Collects the conflicts of a merge. The merged value is meaningless if there are any.
#[derive(Default)]
struct Merger {
    conflicts: Vec<Conflict>,
}

impl Merger {
    fn serial(&mut self, ours: Serial, theirs: Serial) -> Serial {
        let highest = ours.max(theirs);
        highest.next().unwrap_or_else(|| {
            self.conflicts.push(Conflict::NoSerialLeft);
            highest
        })
    }

    fn entries<T: Named>(&mut self, base: &[T], ours: &[T], theirs: &[T]) -> Vec<T> {
        let (base_by_name, ours_by_name, theirs_by_name) = (by_name(base), by_name(ours), by_name(theirs));
        let added_by_ours = ours.iter().filter(|entry| !base_by_name.contains_key(entry.name()));
        let added_by_theirs = theirs.iter().filter(|entry| {
            !base_by_name.contains_key(entry.name()) && !ours_by_name.contains_key(entry.name())
        });
        let all = base.iter().chain(added_by_ours).chain(added_by_theirs);
        all.filter_map(|entry| {
            let name = entry.name();
            self.entry(
                base_by_name.get(name).copied(),
                ours_by_name.get(name).copied(),
                theirs_by_name.get(name).copied(),
            )
        })
        .collect()
    }

    fn entry<T: Named>(&mut self, base: Option<&T>, ours: Option<&T>, theirs: Option<&T>) -> Option<T> {
        match (base, ours, theirs) {
            (_, Some(ours), Some(theirs)) => Some(self.fields(base, ours, theirs)),
            (Some(base), Some(changed), None) => self.removed(base, changed, Side::Theirs),
            (Some(base), None, Some(changed)) => self.removed(base, changed, Side::Ours),
            (Some(_), None, None) => None,
            (None, ours, theirs) => ours.or(theirs).cloned(),
        }
    }

    fn removed<T: Fields>(&mut self, base: &T, remaining: &T, by: Side) -> Option<T> {
        let changed: Vec<_> = changed(base, remaining).map(|field| field.name).collect();
        if !changed.is_empty() {
            self.conflicts.push(Conflict::Removed { entry: base.entry(), by, changed });
        }
        None
    }

    fn fields<T: Fields>(&mut self, base: Option<&T>, ours: &T, theirs: &T) -> T {
        let mut merged = ours.clone();
        for field in changed(ours, theirs) {
            let unchanged_in = |side: &T| base.is_some_and(|base| (field.same)(base, side));
            if unchanged_in(theirs) {
                continue;
            }
            if unchanged_in(ours) {
                (field.copy)(theirs, &mut merged);
                continue;
            }
            self.conflicts.push(Conflict::Field {
                entry: ours.entry(),
                field: field.name,
                ours: (field.value)(ours),
                theirs: (field.value)(theirs),
            });
        }
        merged
    }
}
