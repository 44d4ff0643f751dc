//! Mutants made from sources and lists. No I/O.

use crate::mutant::{Edit, Family, Mutant, Place};
use serde::Deserialize;

/// The guards as their file has them.
#[derive(Deserialize)]
struct Guards {
    guard: Vec<Guard>,
}

#[derive(Deserialize)]
struct Guard {
    name: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    rehearsals: Vec<String>,
    edit: Vec<Change>,
}

#[derive(Deserialize)]
struct Change {
    file: String,
    find: String,
    with: String,
}

/// Reads `guards.toml`.
///
/// # Errors
/// What is missing or wrong, with its place.
pub fn guards(text: &str) -> Result<Vec<Mutant>, String> {
    let read: Guards = toml::from_str(text).map_err(|e| format!("guards: {e}"))?;
    let edit = |c: Change| Edit { file: c.file, place: Place::Text(c.find), with: c.with };
    let mutant = |g: Guard| Mutant {
        name: g.name,
        family: Family::Guard,
        edits: g.edit.into_iter().map(edit).collect(),
        reason: g.reason,
        rehearsals: g.rehearsals,
    };
    Ok(read.guard.into_iter().map(mutant).collect())
}

/// Each number of each constant of a file, times 4 and divided by 4.
pub fn tuned(file: &str, text: &str) -> Vec<Mutant> {
    let mut mutants = Vec::new();
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let start = at;
        at += line.len();
        let constant = line.trim_start().trim_start_matches("pub ").strip_prefix("const ");
        let Some((name, _)) = constant.and_then(|rest| rest.split_once(':')) else { continue };
        let Some(equals) = line.find('=') else { continue };
        for (n, number) in numbers(&line[equals..]).into_iter().enumerate() {
            let from = start + equals + number.start;
            let (row, column) = place(text, from);
            let span = [row, column, row, column + number.end - number.start];
            for (word, factor) in [("times 4", 4.0), ("divided by 4", 0.25)] {
                let written = &text[from..from + number.end - number.start];
                let Some(with) = scaled(written, factor) else { continue };
                let edits = vec![Edit { file: file.into(), place: Place::Span(span), with }];
                let name = format!("{file}: {name}[{n}] {word}");
                mutants.push(Mutant {
                    name,
                    family: Family::Tuned,
                    edits,
                    reason: String::new(),
                    rehearsals: Vec::new(),
                });
            }
        }
    }
    mutants
}

/// Where numbers stand in a line.
fn numbers(line: &str) -> Vec<std::ops::Range<usize>> {
    let bytes = line.as_bytes();
    let mut found = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let word = at > 0 && (bytes[at - 1].is_ascii_alphanumeric() || bytes[at - 1] == b'_');
        if !bytes[at].is_ascii_digit() || word {
            at += 1;
            continue;
        }
        let more = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_');
        let end = at + bytes[at..].iter().take_while(|b| more(b)).count();
        found.push(at..end);
        at = end;
    }
    found
}

/// A number as written, scaled; none where that changes nothing or it is no plain number.
fn scaled(written: &str, factor: f64) -> Option<String> {
    let plain = written.replace('_', "");
    if plain.contains(['.', 'e']) {
        let value: f64 = plain.parse().ok()?;
        return (value != 0.0).then(|| format!("{:?}", value * factor));
    }
    let value: u64 = plain.parse().ok()?;
    let made = (value as f64 * factor) as u64;
    (made != value).then(|| made.to_string())
}

/// Line and column of a place, from 1.
fn place(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    (line, before.rsplit('\n').next().unwrap_or_default().chars().count() + 1)
}

#[derive(Deserialize)]
struct Listed {
    name: String,
    file: String,
    replacement: String,
    span: Span,
}

#[derive(Deserialize)]
struct Span {
    start: Corner,
    end: Corner,
}

#[derive(Deserialize)]
struct Corner {
    line: usize,
    column: usize,
}

/// Reads what `cargo mutants --list --json` prints.
///
/// # Errors
/// It is not such a list.
pub fn listed(text: &str) -> Result<Vec<Mutant>, String> {
    let all: Vec<Listed> = serde_json::from_str(text).map_err(|e| format!("list of mutants: {e}"))?;
    let mutant = |l: Listed| {
        let place = Place::Span([l.span.start.line, l.span.start.column, l.span.end.line, l.span.end.column]);
        let edits = vec![Edit { file: l.file, place, with: l.replacement }];
        Mutant {
            name: l.name,
            family: Family::Operator,
            edits,
            reason: String::new(),
            rehearsals: Vec::new(),
        }
    };
    Ok(all.into_iter().map(mutant).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_number_of_a_constant_is_scaled_both_ways() {
        let text =
            "/// 7 of them.\nconst A: (f64, u64) = (0.5, 1_000);\nlet x = 3;\npub const N2: usize = 0;\n";
        let made = tuned("f.rs", text);
        let lines: Vec<String> =
            made.iter().map(|m| m.edits[0].apply(text).unwrap().lines().nth(1).unwrap().into()).collect();
        let wanted = ["(2.0, 1_000)", "(0.125, 1_000)", "(0.5, 4000)", "(0.5, 250)"];
        assert_eq!(lines, wanted.map(|w| format!("const A: (f64, u64) = {w};")));
    }

    #[test]
    fn lists_are_read_or_named_bad() {
        let good = r#"[{"name": "a", "file": "f", "replacement": "x", "genre": "FnValue",
            "span": {"start": {"line": 1, "column": 2}, "end": {"line": 1, "column": 4}}}]"#;
        let read = listed(good).unwrap();
        assert_eq!(read[0].edits[0].apply("abcd").unwrap(), "axd");
        assert!(listed("{}").unwrap_err().contains("list of mutants"));
        assert!(guards("[[guard]]\nname = 1").unwrap_err().contains("guards"));
    }
}
