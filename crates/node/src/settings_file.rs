//! The settings file of a running process, reloaded when it changes.

use crate::settings::{Settings, SETTINGS_VARIABLE};
use std::cell::RefCell;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

/// Modification time and length, which identify a version of the file.
type FileVersion = (SystemTime, u64);

struct Current {
    settings: Rc<Settings>,
    version: Option<FileVersion>,
}

/// The settings file of a running process.
pub struct SettingsFile {
    path: Option<PathBuf>,
    current: RefCell<Current>,
}

impl SettingsFile {
    /// The file named by [`SETTINGS_VARIABLE`], with the settings that were loaded at startup.
    pub fn new(settings: Rc<Settings>) -> SettingsFile {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        SettingsFile { path, current: RefCell::new(Current { settings, version: None }) }
    }

    /// The file at `path`, with the settings that were loaded at startup.
    pub fn at(path: PathBuf, settings: Rc<Settings>) -> SettingsFile {
        SettingsFile { path: Some(path), current: RefCell::new(Current { settings, version: None }) }
    }

    /// The current settings. The file is read again only if it has changed; if it is invalid, the previous
    /// settings stay in effect.
    pub fn current(&self) -> Rc<Settings> {
        let mut current = self.current.borrow_mut();
        let version = self.version();
        if version.is_none() || version == current.version {
            return current.settings.clone();
        }
        current.version = version;
        match self.path.as_deref().map(Settings::read) {
            Some(Ok(settings)) => current.settings = Rc::new(settings),
            Some(Err(message)) => log::warn!("settings: {message}; keeping the previous settings"),
            None => {}
        }
        current.settings.clone()
    }

    fn version(&self) -> Option<FileVersion> {
        let metadata = fs::metadata(self.path.as_ref()?).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    }
}
