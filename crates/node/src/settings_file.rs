//! The settings file of a running process, which may change with a signal or without one.

use crate::settings::{Settings, SETTINGS_VARIABLE};
use std::cell::RefCell;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

/// What tells whether a file has changed.
type Stamp = (SystemTime, u64);

struct Current {
    settings: Rc<Settings>,
    stamp: Option<Stamp>,
}

/// The settings file of a running process.
pub struct SettingsFile {
    path: Option<PathBuf>,
    current: RefCell<Current>,
}

impl SettingsFile {
    /// The file that [`SETTINGS_VARIABLE`] names, of which these settings were read at the start.
    pub fn new(settings: Rc<Settings>) -> SettingsFile {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        SettingsFile { path, current: RefCell::new(Current { settings, stamp: None }) }
    }

    /// A named file, of which these settings were read at the start.
    pub fn at(path: PathBuf, settings: Rc<Settings>) -> SettingsFile {
        SettingsFile { path: Some(path), current: RefCell::new(Current { settings, stamp: None }) }
    }

    /// The settings as the file has them now. It is read again only where it has changed; while it can't be used,
    /// those of before hold.
    pub fn current(&self) -> Rc<Settings> {
        let mut current = self.current.borrow_mut();
        let stamp = self.stamp();
        if stamp.is_none() || stamp == current.stamp {
            return current.settings.clone();
        }
        current.stamp = stamp;
        match self.path.as_deref().map(Settings::read) {
            Some(Ok(settings)) => current.settings = Rc::new(settings),
            Some(Err(message)) => log::warn!("settings: {message}; those of before hold"),
            None => {}
        }
        current.settings.clone()
    }

    fn stamp(&self) -> Option<Stamp> {
        let metadata = fs::metadata(self.path.as_ref()?).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    }
}
