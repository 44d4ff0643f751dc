//! Field descriptors of each entry type, for comparing and copying single fields.

use crate::model::{Backend, Limits, Route, Tenant};
use crate::Entry;
use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use std::collections::HashMap;

/// One field of an entry of type `T`.
pub(crate) struct Field<T> {
    pub(crate) name: &'static str,
    pub(crate) same: fn(&T, &T) -> bool,
    pub(crate) copy: fn(from: &T, into: &mut T),
    pub(crate) value: fn(&T) -> Value,
}

/// An entry with field descriptors.
pub(crate) trait Fields: Clone + Serialize + 'static {
    /// All fields except the name.
    const FIELDS: &'static [Field<Self>];

    /// The entry as reported to operators.
    fn entry(&self) -> Entry;
}

/// An entry identified by its name.
pub(crate) trait Named: Fields {
    fn name(&self) -> &str;
}

/// Indexes entries by name.
pub(crate) fn by_name<T: Named>(entries: &[T]) -> HashMap<&str, &T> {
    entries.iter().map(|entry| (entry.name(), entry)).collect()
}

/// Fields in which two entries differ.
pub(crate) fn changed<'a, T: Fields>(
    old: &'a T,
    new: &'a T,
) -> impl Iterator<Item = &'static Field<T>> + use<'a, T> {
    T::FIELDS.iter().filter(|field| !(field.same)(old, new))
}

fn json_value<T: Serialize>(entry: &T, field: &str) -> Value {
    let mut object = serde_json::to_value(entry).expect("entries serialize to JSON");
    object[field].take()
}

/// Implements `Fields`. The exhaustive destructuring makes the build fail when a field of the type is missing here.
/// `separate` fields are excluded or have a descriptor of their own.
macro_rules! fields {
    ($type:ident, $entry:expr, separate: { $($separate:ident),* }, plain: { $($plain:ident),* }, $($other:expr),*) => {
        impl Fields for $type {
            const FIELDS: &'static [Field<Self>] = &[
                $(Field {
                    name: stringify!($plain),
                    same: |one, other| one.$plain == other.$plain,
                    copy: |from, into| into.$plain = from.$plain.clone(),
                    value: |entry| json_value(entry, stringify!($plain)),
                },)*
                $($other),*
            ];

            fn entry(&self) -> Entry {
                let $type { $($separate: _,)* $($plain: _),* } = self;
                $entry(self)
            }
        }
    };
}

fields!(
    Route,
    |route: &Route| Entry::Route(route.name.clone()),
    separate: { name, backend, split },
    plain: { host, prefix, kind, timeout, target_time, prio, tries, public, allow_regions },
    DESTINATION
);

fields!(
    Backend,
    |backend: &Backend| Entry::Backend(backend.name.clone()),
    separate: { name },
    plain: { health_path, max_conns, protocol, tls, cold_start, cold_per_s },
);

fields!(
    Tenant,
    |tenant: &Tenant| Entry::Tenant(tenant.name.clone()),
    separate: { name, api_keys },
    plain: { prio, rate_per_s, burst, allow_regions },
    API_KEYS
);

fields!(
    Limits,
    |_: &Limits| Entry::Limits,
    separate: {},
    plain: { max_header_bytes, max_body_bytes, header_timeout, idle_timeout },
);

/// The destination of a route: `backend` or `split`, treated as one field because either replaces the other.
const DESTINATION: Field<Route> = Field {
    name: "backend",
    same: |one, other| one.backend == other.backend && one.split == other.split,
    copy: |from, into| {
        into.backend = from.backend.clone();
        into.split = from.split.clone();
    },
    value: |route| {
        let field = if route.split.is_empty() { "backend" } else { "split" };
        json_value(route, field)
    },
};

/// The API keys of a tenant, masked because they are secret.
const API_KEYS: Field<Tenant> = Field {
    name: "api_keys",
    same: |one, other| one.api_keys == other.api_keys,
    copy: |from, into| into.api_keys = from.api_keys.clone(),
    value: |tenant| tenant.api_keys.iter().map(|key| Value::String(masked(key))).collect(),
};

/// Minimum length in bytes of a key whose prefix is shown.
const MASK_PREFIX_KEY_MIN: usize = 16;
/// Number of characters shown of such a key.
const MASK_PREFIX_CHARS: usize = 4;

fn masked(key: &CompactString) -> String {
    let shown = if key.len() < MASK_PREFIX_KEY_MIN { 0 } else { MASK_PREFIX_CHARS };
    let mut masked: String = key.chars().take(shown).collect();
    masked.push('…');
    masked
}

macro_rules! named {
    ($($type:ident),*) => {$(
        impl Named for $type {
            fn name(&self) -> &str {
                &self.name
            }
        }
    )*};
}

named!(Route, Backend, Tenant);
