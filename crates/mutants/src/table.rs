//! What was found by what, as the table of the docs.

use crate::judge::{Found, Verdict};
use crate::mutant::Family;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The words of each kind of verdict, in the order of the table's columns.
const COLUMNS: [(Found, &str); 7] = [
    (Found::Seeds, "seeds"),
    (Found::SmallWorlds, "small worlds"),
    (Found::Service, "service"),
    (Found::Bytes, "bytes"),
    (Found::Tests, "tests"),
    (Found::Hangs, "no end"),
    (Found::Survived, "survived"),
];

/// The table, and a list of those that survived with what is known of them.
pub fn table(verdicts: &[Verdict]) -> String {
    let mut counts: BTreeMap<(Family, Found), usize> = BTreeMap::new();
    for v in verdicts {
        *counts.entry((v.mutant.family, v.found)).or_default() += 1;
    }
    let mut out = String::from("| mutants | judged |");
    COLUMNS.iter().for_each(|(_, word)| out += &format!(" {word} |"));
    out += &format!("\n| --- |{}\n", " ---: |".repeat(COLUMNS.len() + 1));
    for (family, word) in
        [(Family::Guard, "guards"), (Family::Tuned, "tuned values"), (Family::Operator, "cargo-mutants")]
    {
        let count = |found: Found| counts.get(&(family, found)).copied().unwrap_or(0);
        let judged: usize = COLUMNS.iter().map(|(found, _)| count(*found)).sum();
        let _ = write!(out, "| {word} | {judged} |");
        COLUMNS.iter().for_each(|(found, _)| out += &format!(" {} |", count(*found)));
        out.push('\n');
    }
    out += "\nSurvived:\n\n";
    for v in verdicts.iter().filter(|v| v.found == Found::Survived) {
        let reason =
            if v.mutant.reason.is_empty() { "no reason known: to be caught" } else { &v.mutant.reason };
        let _ = writeln!(out, "- {}: {reason}", v.mutant.name);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mutant::Mutant;

    #[test]
    fn each_verdict_is_counted_where_it_belongs() {
        let verdict = |name: &str, family, found| Verdict {
            mutant: Mutant {
                name: name.into(),
                family,
                edits: Vec::new(),
                reason: String::new(),
                rehearsals: Vec::new(),
            },
            tree: String::new(),
            found,
            says: String::new(),
            took: 1.0,
        };
        let said = table(&[
            verdict("a", Family::Guard, Found::Seeds),
            verdict("b", Family::Guard, Found::Survived),
            verdict("c", Family::Tuned, Found::Unbuildable),
        ]);
        assert!(said.contains("| guards | 2 | 1 | 0 | 0 | 0 | 0 | 0 | 1 |"), "{said}");
        assert!(said.contains("| tuned values | 0 |"), "{said}");
        assert!(said.contains("- b: no reason known"), "{said}");
    }
}
