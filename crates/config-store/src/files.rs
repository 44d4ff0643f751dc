//! The state as plain files in one directory, each written whole: a new file, synced, renamed over the old one,
//! and the directory synced. After a loss of power each file is the old one or the new one.

use hingestage_replication::{digest, State};
use hingestage_rpc::messages::{ConfigDocument, ConfigVersion, ProxyNames, StoreMember, Update, ZoneDrains};
use hingestage_rpc::trials::TrialRecord;
use serde::{de::DeserializeOwned, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Prefix of the names of configurations; serial and digest follow.
const CONFIG_PREFIX: &str = "config-";
const DRAINS: &str = "drains.json";
const PROXIES: &str = "proxies.json";
const TRIALS: &str = "trials.json";
const MEMBERS: &str = "members.json";
/// Suffix of a file that is being written.
const UNFINISHED: &str = ".new";
/// Configurations kept beside the newest.
const OLD_CONFIGS: usize = 2;

/// What the directory held at the start.
#[derive(Debug, Default, PartialEq)]
pub struct Loaded {
    /// The state.
    pub state: State,
    /// The replicas known.
    pub members: Vec<StoreMember>,
    /// Whether a replica has ever begun here.
    pub begun: bool,
}

/// The directory.
#[derive(Clone, Debug)]
pub struct Files {
    dir: PathBuf,
}

impl Files {
    /// Files in a directory, which is made where it is missing.
    ///
    /// # Errors
    /// The directory can't be made.
    pub fn open(dir: &Path) -> io::Result<Files> {
        fs::create_dir_all(dir)?;
        Ok(Files { dir: dir.to_path_buf() })
    }

    /// Reads what is there. A file that can't be read whole is passed over: it was never acknowledged.
    ///
    /// # Errors
    /// The directory can't be read.
    pub fn load(&self) -> io::Result<Loaded> {
        let members: Option<Vec<StoreMember>> = self.read_json(MEMBERS);
        let state = State {
            config: self.newest_config()?,
            drains: self.read_json::<ZoneDrains>(DRAINS).unwrap_or_default(),
            proxies: self.read_json::<ProxyNames>(PROXIES).unwrap_or_default(),
            trials: self.read_json::<Vec<TrialRecord>>(TRIALS).into_iter().flatten().collect(),
        };
        // A replica that recovers writes updates first and its members once it has recovered.
        let begun = members.is_some();
        Ok(Loaded { state, members: members.unwrap_or_default(), begun })
    }

    /// Makes an update durable. `after` is the state with the update in it.
    ///
    /// # Errors
    /// The disk refuses: the update may or may not be there after a restart.
    pub fn write(&self, update: &Update, after: &State) -> io::Result<()> {
        match update {
            Update::Config(config) => self.write_config(config),
            Update::Drain { .. } => self.write_json(DRAINS, &after.drains),
            Update::Proxies(_) => self.write_json(PROXIES, &after.proxies),
            Update::Trials(_) => {
                let records: Vec<&TrialRecord> = after.trials.records().collect();
                self.write_json(TRIALS, &records)
            }
        }
    }

    /// Notes which replicas there are.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn write_members(&self, members: &[StoreMember]) -> io::Result<()> {
        self.write_json(MEMBERS, &members)
    }

    fn write_config(&self, config: &ConfigDocument) -> io::Result<()> {
        self.write_file(&config_name(config.version), &config.json)?;
        self.forget_old_configs()
    }

    fn forget_old_configs(&self) -> io::Result<()> {
        let mut versions = self.config_versions()?;
        versions.sort_unstable_by(|a, b| b.cmp(a));
        for version in versions.into_iter().skip(1 + OLD_CONFIGS) {
            fs::remove_file(self.dir.join(config_name(version)))?;
        }
        Ok(())
    }

    fn config_versions(&self) -> io::Result<Vec<ConfigVersion>> {
        let mut versions = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            let name = entry?.file_name();
            versions.extend(name.to_str().and_then(version_of));
        }
        Ok(versions)
    }

    fn newest_config(&self) -> io::Result<Option<ConfigDocument>> {
        let mut versions = self.config_versions()?;
        versions.sort_unstable_by(|a, b| b.cmp(a));
        let whole = |version: ConfigVersion| {
            let json = fs::read(self.dir.join(config_name(version))).ok()?;
            (digest(&json) == version.digest).then_some(ConfigDocument { version, json })
        };
        Ok(versions.into_iter().find_map(whole))
    }

    fn read_json<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        let bytes = fs::read(self.dir.join(name)).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    fn write_json<T: Serialize>(&self, name: &str, value: &T) -> io::Result<()> {
        let bytes = serde_json::to_vec(value)?;
        self.write_file(name, &bytes)
    }

    fn write_file(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let unfinished = self.dir.join(format!("{name}{UNFINISHED}"));
        let mut file = File::create(&unfinished)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        drop(file);
        fs::rename(&unfinished, self.dir.join(name))?;
        File::open(&self.dir)?.sync_all()
    }
}

fn config_name(version: ConfigVersion) -> String {
    format!("{CONFIG_PREFIX}{:08x}-{:016x}.json", version.serial, version.digest)
}

fn version_of(name: &str) -> Option<ConfigVersion> {
    let (serial, digest) = name.strip_prefix(CONFIG_PREFIX)?.strip_suffix(".json")?.split_once('-')?;
    let serial = u64::from_str_radix(serial, 16).ok()?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    Some(ConfigVersion { serial, digest })
}
