//! File input and output.

use eyre::WrapErr;
use hingestage_configuration::Configuration;
use std::fs;
use std::io::{self, Write};
use std::path::Path;

/// Reads and validates a configuration; errors start with the file name.
pub fn read(path: &Path) -> eyre::Result<Configuration> {
    let bytes = fs::read(path).wrap_err_with(|| path.display().to_string())?;
    Configuration::parse(&bytes).wrap_err_with(|| path.display().to_string())
}

/// Writes text to a file, or to standard output if no path is given.
pub fn write(path: Option<&Path>, text: &str) -> eyre::Result<()> {
    match path {
        Some(path) => fs::write(path, text).wrap_err_with(|| path.display().to_string()),
        None => io::stdout().write_all(text.as_bytes()).wrap_err("standard output"),
    }
}
