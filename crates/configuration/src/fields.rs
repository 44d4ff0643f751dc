//! The fields of each sort of entry, as values that can be compared and copied one by one.

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

/// An entry whose fields are compared one by one.
pub(crate) trait Fields: Clone + Serialize + 'static {
    /// All fields but the name.
    const FIELDS: &'static [Field<Self>];

    /// The entry as it is told to operators.
    fn entry(&self) -> Entry;
}

/// An entry that is found by its name.
pub(crate) trait Named: Fields {
    fn name(&self) -> &str;
}

/// Entries by their names.
pub(crate) fn by_name<T: Named>(entries: &[T]) -> HashMap<&str, &T> {
    entries.iter().map(|entry| (entry.name(), entry)).collect()
}

/// The fields in which two entries differ.
pub(crate) fn changed<'a, T: Fields>(
    old: &'a T,
    new: &'a T,
) -> impl Iterator<Item = &'static Field<T>> + use<'a, T> {
    T::FIELDS.iter().filter(|field| !(field.same)(old, new))
}

fn written<T: Serialize>(entry: &T, field: &str) -> Value {
    let mut object = serde_json::to_value(entry).expect("an entry is written as JSON");
    object[field].take()
}

/// Implements `Fields`. The pattern that takes the entry apart names every field, so that a field which is
/// added to the type can't be forgotten here.
macro_rules! fields {
    ($type:ident, $entry:expr, apart: { $($apart:ident),* }, plain: { $($plain:ident),* }, $($other:expr),*) => {
        impl Fields for $type {
            const FIELDS: &'static [Field<Self>] = &[
                $(Field {
                    name: stringify!($plain),
                    same: |one, other| one.$plain == other.$plain,
                    copy: |from, into| into.$plain = from.$plain.clone(),
                    value: |entry| written(entry, stringify!($plain)),
                },)*
                $($other),*
            ];

            fn entry(&self) -> Entry {
                let $type { $($apart: _,)* $($plain: _),* } = self;
                $entry(self)
            }
        }
    };
}

fields!(
    Route,
    |route: &Route| Entry::Route(route.name.clone()),
    apart: { name, backend, split },
    plain: { host, prefix, kind, timeout, target_time, prio, tries, public, allow_regions },
    DESTINATION
);

fields!(
    Backend,
    |backend: &Backend| Entry::Backend(backend.name.clone()),
    apart: { name },
    plain: { health_path, max_conns, protocol, tls, cold_start, cold_per_s },
);

fields!(
    Tenant,
    |tenant: &Tenant| Entry::Tenant(tenant.name.clone()),
    apart: { name, api_keys },
    plain: { prio, rate_per_s, burst, allow_regions },
    API_KEYS
);

fields!(
    Limits,
    |_: &Limits| Entry::Limits,
    apart: {},
    plain: { max_header_bytes, max_body_bytes, header_timeout, idle_timeout },
);

/// Where a route leads, be it by `backend` or by `split`: one field, since each takes the place of the other.
const DESTINATION: Field<Route> = Field {
    name: "backend",
    same: |one, other| one.backend == other.backend && one.split == other.split,
    copy: |from, into| {
        into.backend = from.backend.clone();
        into.split = from.split.clone();
    },
    value: |route| {
        let field = if route.split.is_empty() { "backend" } else { "split" };
        written(route, field)
    },
};

/// The keys of a tenant. They are secret, and told by their beginnings.
const API_KEYS: Field<Tenant> = Field {
    name: "api_keys",
    same: |one, other| one.api_keys == other.api_keys,
    copy: |from, into| into.api_keys = from.api_keys.clone(),
    value: |tenant| tenant.api_keys.iter().map(|key| Value::String(masked(key))).collect(),
};

const SHORTEST_SHOWN_KEY: usize = 16;
const SHOWN_CHARACTERS: usize = 4;

fn masked(key: &CompactString) -> String {
    let shown = if key.len() < SHORTEST_SHOWN_KEY { 0 } else { SHOWN_CHARACTERS };
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
