//! Merges of changes, one a file: edits of the common document that make `base`, then edits of that which
//! make `ours` and `theirs`, and either the edits that make the merged configuration or the conflicts.

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

/// Sets the value at each pointer; `null` removes it, and a last part `-` adds to a list.
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

fn merges_as_told(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_slice(&std::fs::read(path)?)?;
    let document = edit(&document(), &case.base);
    let base = parse(&document);
    let (ours, theirs) = (parse(&edit(&document, &case.ours)), parse(&edit(&document, &case.theirs)));
    let result = merge(&base, &ours, &theirs);
    let turned_round = merge(&base, &theirs, &ours);
    let Some(edits) = case.merged else {
        let told: Vec<String> = result.unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(told, case.conflicts);
        assert_eq!(turned_round.unwrap_err().len(), told.len());
        return Ok(());
    };
    let merged = result.expect("no conflict");
    assert_eq!(merged, parse(&edit(&document, &edits)));
    let turned_round = turned_round.expect("no conflict");
    assert_eq!((diff(&merged, &turned_round), turned_round.serial), (vec![], merged.serial));
    Ok(())
}

datatest_stable::harness! {
    { test = merges_as_told, root = "tests/merge", pattern = r"\.json$" },
}
