//! A small change to the source, and how it is applied. No I/O.

use serde::{Deserialize, Serialize};

/// A mutant: the whole tree with a few places changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mutant {
    /// Tells it from others, and says what it does.
    pub name: String,
    /// Where it comes from.
    pub family: Family,
    /// What is changed, in order.
    pub edits: Vec<Edit>,
    /// What is known of one that nothing notices.
    #[serde(default)]
    pub reason: String,
    /// Rehearsals of real processes that are to find it, by the names of their files.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rehearsals: Vec<String>,
}

/// Where a mutant comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Family {
    /// A guard taken out, alone or together with its twin: `guards.toml`.
    Guard,
    /// A tuned value, times 4 or divided by 4.
    Tuned,
    /// One of cargo-mutants' own.
    Operator,
}

/// A change to one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The file, from the root of the repository.
    pub file: String,
    /// What stands there.
    pub place: Place,
    /// What stands there instead.
    pub with: String,
}

/// What a change replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// A text that occurs exactly once.
    Text(String),
    /// From a line and column up to another, both counted from 1 in characters.
    Span([usize; 4]),
}

impl Edit {
    /// The text with the change made.
    ///
    /// # Errors
    /// The place is not there, or not only once: the change was written for another state of the source.
    pub fn apply(&self, text: &str) -> Result<String, String> {
        let (from, to) = match &self.place {
            Place::Text(what) => {
                let found: Vec<usize> = text.match_indices(what.as_str()).map(|(at, _)| at).collect();
                let [at] = found[..] else {
                    return Err(format!("{}: {} times `{}`, not once", self.file, found.len(), what));
                };
                (at, at + what.len())
            }
            Place::Span([line, column, end_line, end_column]) => {
                let missing = || format!("{}: no place {line}:{column}", self.file);
                let from = offset(text, *line, *column).ok_or_else(missing)?;
                (from, offset(text, *end_line, *end_column).filter(|to| *to >= from).ok_or_else(missing)?)
            }
        };
        Ok(format!("{}{}{}", &text[..from], self.with, &text[to..]))
    }
}

/// Where a line and column lie, in bytes.
fn offset(text: &str, line: usize, column: usize) -> Option<usize> {
    let mut start = 0;
    for (n, found) in text.split_inclusive('\n').enumerate() {
        if n + 1 == line {
            let mut places = found.char_indices().map(|(at, _)| at).chain([found.len()]);
            return places.nth(column.checked_sub(1)?).map(|at| start + at);
        }
        start += found.len();
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn edit(place: Place) -> Edit {
        Edit { file: "f".into(), place, with: "X".into() }
    }

    #[test]
    fn a_change_is_made_where_it_belongs_or_not_at_all() {
        let text = "one two\nthree two é four\n";
        for (place, becomes) in [
            (Place::Text("three".into()), Ok("one two\nX two é four\n")),
            (Place::Span([2, 7, 2, 10]), Ok("one two\nthree X é four\n")),
            (Place::Span([2, 11, 2, 12]), Ok("one two\nthree two X four\n")),
            (Place::Text("two".into()), Err("2 times `two`")),
            (Place::Text("five".into()), Err("0 times `five`")),
            (Place::Span([9, 1, 9, 2]), Err("no place 9:1")),
            (Place::Span([2, 7, 1, 1]), Err("no place 2:7")),
        ] {
            match (edit(place.clone()).apply(text), becomes) {
                (Ok(made), Ok(becomes)) => assert_eq!(made, becomes),
                (Err(said), Err(part)) => assert!(said.contains(part), "{place:?}: {said}"),
                (made, _) => panic!("{place:?}: {made:?}"),
            }
        }
    }
}
