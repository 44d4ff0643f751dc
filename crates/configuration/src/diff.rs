//! Differences between two configurations.

use crate::fields::{by_name, changed, Fields, Named};
use crate::model::Configuration;
use crate::Entry;
use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The entry that differs.
    #[serde(flatten)]
    pub entry: Entry,
    /// How it differs.
    #[serde(flatten)]
    pub difference: Difference,
}

/// How an entry differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Difference {
    /// Only the new configuration has the entry.
    Added,
    /// Only the old configuration has the entry.
    Removed,
    /// Both have the entry, and one field differs.
    Changed {
        /// Name of the field; `backend` covers `backend` and `split` of a route.
        field: &'static str,
        /// The old value as JSON, with API keys masked.
        old: Value,
        /// The new value.
        new: Value,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match &self.difference {
            Difference::Added => write!(formatter, "{entry}: added"),
            Difference::Removed => write!(formatter, "{entry}: removed"),
            Difference::Changed { field, old, new } => {
                write!(formatter, "{entry}: `{field}` changed from {old} to {new}")
            }
        }
    }
}

/// Returns the differences between two valid configurations: limits, then routes, backends and tenants, with the
/// removed and changed entries in the old order before the added ones in the new order. Serials and the order of
/// entries are not compared.
pub fn diff(old: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_fields(&old.limits, &new.limits, &mut changes);
    diff_entries(&old.routes, &new.routes, &mut changes);
    diff_entries(&old.backends, &new.backends, &mut changes);
    diff_entries(&old.tenants, &new.tenants, &mut changes);
    changes
}

fn diff_entries<T: Named>(old: &[T], new: &[T], changes: &mut Vec<Change>) {
    let (old_by_name, new_by_name) = (by_name(old), by_name(new));
    for entry in old {
        match new_by_name.get(entry.name()) {
            Some(counterpart) => diff_fields(entry, counterpart, changes),
            None => changes.push(Change { entry: entry.entry(), difference: Difference::Removed }),
        }
    }
    let added = new.iter().filter(|entry| !old_by_name.contains_key(entry.name()));
    changes.extend(added.map(|entry| Change { entry: entry.entry(), difference: Difference::Added }));
}

fn diff_fields<T: Fields>(old: &T, new: &T, changes: &mut Vec<Change>) {
    for field in changed(old, new) {
        let (old_value, new_value) = ((field.value)(old), (field.value)(new));
        let difference = Difference::Changed { field: field.name, old: old_value, new: new_value };
        changes.push(Change { entry: new.entry(), difference });
    }
}
