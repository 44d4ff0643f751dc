//! Merge cases in files. Edits of the common document give `base`; edits of `base` give `ours`, `theirs` and either the
//! expected merge or the expected conflicts.

mod common;

use common::document;
use hingestage_configuration::{diff, merge, Configuration};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::path::Path;

type Edits = Map<String, Value>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(default)]
    base: Edits,
    ours: Edits,
    theirs: Edits,
    merged: Option<Edits>,
    #[serde(default)]
    conflicts: Vec<String>,
}

/// Sets the value at each JSON pointer; `null` removes it, and a final `-` appends to a list.
fn edit(document: &Value, edits: &Edits) -> Value {
    let mut edited = document.clone();
    for (pointer, value) in edits {
        let (parent, last) = pointer.trim_end_matches('/').rsplit_once('/').unwrap();
        match edited.pointer_mut(parent).unwrap() {
            Value::Array(list) if last == "-" => list.push(value.clone()),
            Value::Array(list) if value.is_null() => drop(list.remove(last.parse().unwrap())),
            Value::Array(list) => list[last.parse::<usize>().unwrap()] = value.clone(),
            Value::Object(object) if value.is_null() => drop(object.remove(last)),
            other => other[last] = value.clone(),
        }
    }
    edited
}

fn parse(document: &Value) -> Configuration {
    Configuration::parse(document.to_string().as_bytes()).expect("a valid document")
}

fn merge_matches_the_case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_slice(&std::fs::read(path)?)?;
    let document = edit(&document(), &case.base);
    let base = parse(&document);
    let (ours, theirs) = (parse(&edit(&document, &case.ours)), parse(&edit(&document, &case.theirs)));
    let result = merge(&base, &ours, &theirs);
    let swapped = merge(&base, &theirs, &ours);
    let Some(edits) = case.merged else {
        let messages: Vec<String> = result.unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(messages, case.conflicts);
        assert_eq!(swapped.unwrap_err().len(), messages.len());
        return Ok(());
    };
    let merged = result.expect("no conflict");
    assert_eq!(merged, parse(&edit(&document, &edits)));
    let swapped = swapped.expect("no conflict");
    assert_eq!((diff(&merged, &swapped), swapped.serial), (vec![], merged.serial));
    Ok(())
}

datatest_stable::harness! {
    { test = merge_matches_the_case, root = "tests/merge", pattern = r"\.json$" },
}
