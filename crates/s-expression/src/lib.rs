//! Parses S-expression files and reports errors with field, line and column. Used for the operator file and the files
//! of rehearsals.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use lexpr::datum::{Datum, Ref};
use lexpr::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Maximum nesting depth; bounds the recursion of the parser.
const DEPTH_MAX: usize = 32;
/// Maximum file size in bytes.
const FILE_BYTES_MAX: usize = 1 << 20;

/// A parsed file.
pub struct Document(Datum);

/// An expression and its position.
#[derive(Clone, Copy)]
pub struct Form<'a>(Ref<'a>);

/// Reads a file and parses its text with `read`; errors are prefixed with the file name.
pub fn load<T>(file: &Path, read: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read(&text).map_err(|e| format!("{}:{e}", file.display()))
}

/// Parses a text as a list of sections.
pub fn read(text: &str) -> Result<Document, String> {
    if text.len() > FILE_BYTES_MAX {
        return Err(format!(" larger than {FILE_BYTES_MAX} bytes"));
    }
    check_depth(text)?;
    // The text is wrapped in a list; its opening line is subtracted from positions.
    let wrapped = format!("(\n{text}\n)");
    let datum = lexpr::datum::from_str(&wrapped).map_err(|e| match e.location() {
        Some(at) => format!("{}:{}: {e}", at.line().saturating_sub(1), at.column()),
        None => format!(" {e}"),
    })?;
    Ok(Document(datum))
}

/// Rejects deeply nested text before parsing, because the parser is recursive.
fn check_depth(text: &str) -> Result<(), String> {
    let (mut depth, mut quoted, mut escaped, mut comment) = (0usize, false, false, false);
    for (n, line) in text.lines().enumerate() {
        for c in line.chars() {
            match c {
                _ if comment => {}
                _ if escaped => escaped = false,
                '\\' if quoted => escaped = true,
                '"' => quoted = !quoted,
                _ if quoted => {}
                ';' => comment = true,
                '(' | '[' => depth += 1,
                ')' | ']' => depth = depth.saturating_sub(1),
                // Quotation characters nest as well.
                '\'' | '`' | ',' => depth += 1,
                _ => {}
            }
            if depth > DEPTH_MAX {
                return Err(format!("{}: nested more than {DEPTH_MAX} deep", n + 1));
            }
        }
        comment = false;
    }
    Ok(())
}

/// Iterates over fields as key, qualified name (`section.field`) and expression. Reports a repeated field as an error
/// unless it is listed in `repeatable`.
pub fn unique_fields<'f, 'a>(
    fields: &'f [Form<'a>],
    section: &'static str,
    repeatable: &'static [&str],
) -> impl Iterator<Item = Result<(String, String, Form<'a>), String>> + use<'f, 'a> {
    let mut seen = BTreeSet::new();
    fields.iter().map(move |field| {
        let head = field.head()?;
        let name = format!("{section}.{head}");
        if !repeatable.contains(&head.as_str()) && !seen.insert(head.clone()) {
            return Err(field.error(&name, "given twice"));
        }
        Ok((head, name, *field))
    })
}

impl Document {
    /// The only section, which must have the given name.
    pub fn only_section(&self, name: &str) -> Result<Form<'_>, String> {
        let sections = self.items()?;
        let [section] = sections.as_slice() else {
            return Err(format!(" field `{name}`: one is wanted, {} are given", sections.len()));
        };
        match section.head()? {
            head if head == name => Ok(*section),
            head => Err(section.error(&head, &format!("the file begins with `{name}`"))),
        }
    }

    /// All sections.
    pub fn items(&self) -> Result<Vec<Form<'_>>, String> {
        Form(self.0.as_ref()).items()
    }
}

impl<'a> Form<'a> {
    /// Line and column of its start, counted from 1.
    pub fn position(&self) -> (usize, usize) {
        let start = self.0.span().start();
        (start.line().saturating_sub(1), start.column() + 1)
    }

    /// Formats an error about a field with the position of this expression.
    pub fn error(&self, field: &str, what: &str) -> String {
        let (line, column) = self.position();
        format!("{line}:{column}: field `{field}`: {what}")
    }

    /// The elements of a list.
    pub fn items(&self) -> Result<Vec<Form<'a>>, String> {
        let list = matches!(self.0.value(), Value::Null) || self.0.value().is_list();
        let items = self.0.list_iter().filter(|_| list);
        let items = items.ok_or_else(|| self.error(&self.0.value().to_string(), "a list is wanted here"))?;
        Ok(items.map(Form).collect())
    }

    /// The symbol at the start of a list.
    pub fn head(&self) -> Result<String, String> {
        let first = self.items()?.first().and_then(|first| first.0.value().as_symbol().map(str::to_owned));
        first.ok_or_else(|| {
            self.error(&self.0.value().to_string(), "a list that begins with a name is wanted here")
        })
    }

    /// The elements after the leading symbol.
    pub fn arguments(&self) -> Result<Vec<Form<'a>>, String> {
        Ok(self.items()?.split_off(1))
    }

    /// The only element after the leading symbol.
    pub fn only_argument(&self, field: &str) -> Result<Form<'a>, String> {
        match self.arguments()?.as_slice() {
            [one] => Ok(*one),
            other => Err(self.error(field, &format!("one value is wanted, {} are given", other.len()))),
        }
    }

    /// A string or symbol.
    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        let value = self.0.value();
        let text = value.as_str().or_else(|| value.as_symbol());
        text.ok_or_else(|| self.error(field, &format!("`{value}` is no text")))
    }

    /// A number within inclusive bounds.
    pub fn number(&self, field: &str, min: f64, max: f64) -> Result<f64, String> {
        let value = self.0.value();
        let number = value.as_f64().filter(|n| n.is_finite());
        let number = number.ok_or_else(|| self.error(field, &format!("`{value}` is no number")))?;
        match (min..=max).contains(&number) {
            true => Ok(number),
            false => Err(self.error(field, &format!("{number} is not between {min} and {max}"))),
        }
    }

    /// An integer within inclusive bounds.
    pub fn integer(&self, field: &str, min: f64, max: f64) -> Result<u64, String> {
        let number = self.number(field, min, max)?;
        match number.fract() == 0.0 {
            true => Ok(number as u64),
            false => Err(self.error(field, &format!("{number} is no whole number"))),
        }
    }

    /// A boolean, written `yes` or `no`.
    pub fn flag(&self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(field, &format!("`{other}` is neither yes nor no"))),
        }
    }
}
