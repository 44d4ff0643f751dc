//! Shared by all programs: settings file, command line, log, signals and runtime.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod program;
pub mod settings;
mod settings_file;
mod signals;

pub use program::{incarnation, run, unix_millis, Program};
pub use settings::Settings;
pub use settings_file::SettingsFile;
pub use signals::Signals;
