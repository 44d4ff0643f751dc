//! Configurations in files.

use eyre::WrapErr;
use hingestage_configuration::Configuration;
use std::fs;
use std::io::{self, Write};
use std::path::Path;

/// Reads and checks a configuration; an error begins with the name of the file.
pub fn read(path: &Path) -> eyre::Result<Configuration> {
    let bytes = fs::read(path).wrap_err_with(|| path.display().to_string())?;
    Configuration::parse(&bytes).wrap_err_with(|| path.display().to_string())
}

/// Writes a text to a file, or to the standard output if there is none.
pub fn write(path: Option<&Path>, text: &str) -> eyre::Result<()> {
    match path {
        Some(path) => fs::write(path, text).wrap_err_with(|| path.display().to_string()),
        None => io::stdout().write_all(text.as_bytes()).wrap_err("standard output"),
    }
}
