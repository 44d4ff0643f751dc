//! Storage of a replica's record as files in one directory: content-addressed parts and a manifest that lists them.
//!
//! Parts are written and synced first; then a new manifest is synced and renamed over the old one, and the directory
//! is synced. After a power loss the manifest is either the old or the new one, and its parts exist. A missing, torn
//! or mismatching file is reported as damage, not as an empty disk.

use hingestage_replication::{digest, Disk, Record, State, TrialSet};
use hingestage_rpc::messages::{
    Ballot, ConfigDocument, ConfigVersion, Membership, ProxyNames, StoreMember, Summary,
};
use hingestage_rpc::trials::TrialRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Version of the manifest format.
const FORMAT: u32 = 2;
const MANIFEST: &str = "store.json";
/// Suffix of a manifest that is being written.
const TEMPORARY_SUFFIX: &str = ".new";
/// Suffix of a damaged manifest, kept for diagnosis.
const DAMAGED_SUFFIX: &str = ".damaged";
// Prefixes of part names; the version follows.
const CONFIG_PREFIX: &str = "config-";
const PROXIES_PREFIX: &str = "proxies-";
const TRIALS_PREFIX: &str = "trials-";
/// A file that only the first, unsupported format has.
const FIRST_FORMAT_FILE: &str = "members.json";

/// Lists the parts of a record; stored as JSON after a checksum line.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Manifest {
    format: u32,
    /// The store that owns the directory.
    me: StoreMember,
    /// Whether the store is one of the initial voters.
    founder: bool,
    promised: Ballot,
    accepted: Ballot,
    /// Versions of the parts, and the zone drains.
    summary: Summary,
    membership: Membership,
    /// Digests of the part files by name.
    parts: BTreeMap<String, u64>,
}

/// Contents of the directory at startup.
#[derive(Debug, PartialEq)]
pub enum Loaded {
    /// No store has run here.
    Empty,
    /// A complete record.
    Intact {
        /// The store that owns the directory.
        me: StoreMember,
        /// Whether the store is one of the initial voters.
        founder: bool,
        /// The record.
        record: Box<Record>,
    },
    /// The record is damaged and counts as lost; the text says why.
    Damaged(String),
}

/// Error of a data directory.
#[derive(Debug)]
pub enum DataDirError {
    /// An I/O error.
    Io(io::Error),
    /// The directory has the first, unsupported format.
    FirstFormat,
    /// The directory belongs to another machine.
    Foreign(StoreMember),
}

impl fmt::Display for DataDirError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DataDirError::Io(error) => write!(f, "{error}"),
            DataDirError::FirstFormat => {
                write!(
                    f,
                    "contains {FIRST_FORMAT_FILE} of an unsupported older version: start with an empty directory"
                )
            }
            DataDirError::Foreign(owner) => write!(f, "belongs to machine {}", owner.name),
        }
    }
}

impl std::error::Error for DataDirError {}

impl From<io::Error> for DataDirError {
    fn from(error: io::Error) -> Self {
        DataDirError::Io(error)
    }
}

/// A store's data directory.
#[derive(Debug)]
pub struct DataDir {
    dir: PathBuf,
    me: Option<(StoreMember, bool)>,
    /// Digests of the parts known to be on disk, by file name.
    written: BTreeMap<String, u64>,
}

impl DataDir {
    /// Opens a data directory, creating it if missing.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn open(dir: &Path) -> io::Result<DataDir> {
        fs::create_dir_all(dir)?;
        Ok(DataDir { dir: dir.to_path_buf(), me: None, written: BTreeMap::new() })
    }

    /// Loads the record of the store on machine `node`. A damaged manifest is renamed and kept.
    ///
    /// # Errors
    /// The directory cannot be read, belongs to another machine, or has the first format.
    pub fn load(&mut self, node: &str) -> Result<Loaded, DataDirError> {
        let names = self.file_names()?;
        if !names.contains(MANIFEST) {
            return classify_without_manifest(&names);
        }
        match self.read_record() {
            Ok((manifest, _)) if manifest.me.name != node => Err(DataDirError::Foreign(manifest.me)),
            Ok((manifest, record)) => {
                let (me, founder) = (manifest.me, manifest.founder);
                self.me = Some((me.clone(), founder));
                self.written = manifest.parts;
                self.remove_leftovers(&names);
                Ok(Loaded::Intact { me, founder, record: Box::new(record) })
            }
            Err(why) => {
                fs::rename(self.dir.join(MANIFEST), self.dir.join(format!("{MANIFEST}{DAMAGED_SUFFIX}")))?;
                self.sync_dir()?;
                Ok(Loaded::Damaged(why))
            }
        }
    }

    /// Initializes the directory for a new store with an empty record.
    ///
    /// # Errors
    /// The write fails.
    pub fn initialize(&mut self, me: &StoreMember, founder: bool) -> io::Result<()> {
        self.me = Some((me.clone(), founder));
        self.write(&Record::default())
    }

    fn file_names(&self) -> io::Result<BTreeSet<String>> {
        let entries: io::Result<Vec<fs::DirEntry>> = fs::read_dir(&self.dir)?.collect();
        Ok(entries?.into_iter().filter_map(|entry| entry.file_name().into_string().ok()).collect())
    }

    fn read_record(&self) -> Result<(Manifest, Record), String> {
        let bytes = self.read(MANIFEST)?;
        let manifest = parse_manifest(&bytes).ok_or_else(|| format!("{MANIFEST} is damaged"))?;
        let state = self.read_state(&manifest)?;
        let record = Record { promised: manifest.promised, accepted: manifest.accepted, state };
        Ok((manifest, record))
    }

    fn read_state(&self, manifest: &Manifest) -> Result<State, String> {
        let Summary { config, drains, proxies, trials, .. } = manifest.summary.clone();
        let mut state = State { drains, membership: manifest.membership.clone(), ..State::default() };
        if let Some(version) = config {
            let json = self.read_part(manifest, &config_name(version))?;
            state.config = Some(Rc::new(ConfigDocument { version, json }));
        }
        if proxies.0 > 0 {
            let names: ProxyNames = self.read_json(manifest, &version_name(PROXIES_PREFIX, proxies))?;
            state.proxies = Rc::new(names);
        }
        if trials.0 > 0 {
            let records: Vec<TrialRecord> = self.read_json(manifest, &version_name(TRIALS_PREFIX, trials))?;
            state.trials = Rc::new(records.into_iter().collect::<TrialSet>());
        }
        match state.summary() == manifest.summary {
            true => Ok(state),
            false => Err("a part does not match the manifest".to_owned()),
        }
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        fs::read(self.dir.join(name)).map_err(|error| format!("{name}: {error}"))
    }

    /// Reads a part file and checks its digest against the manifest.
    fn read_part(&self, manifest: &Manifest, name: &str) -> Result<Vec<u8>, String> {
        let bytes = self.read(name)?;
        match manifest.parts.get(name) == Some(&digest(&bytes)) {
            true => Ok(bytes),
            false => Err(format!("{name} is damaged")),
        }
    }

    fn read_json<T: serde::de::DeserializeOwned>(
        &self,
        manifest: &Manifest,
        name: &str,
    ) -> Result<T, String> {
        serde_json::from_slice(&self.read_part(manifest, name)?).map_err(|error| format!("{name}: {error}"))
    }

    /// Writes the parts of a state that are not on disk yet.
    fn write_parts(&mut self, state: &State) -> io::Result<()> {
        let mut wrote = false;
        for name in part_names(state) {
            if !self.written.contains_key(&name) {
                let bytes = part_bytes(state, &name)?;
                self.write_synced(&name, &bytes)?;
                self.written.insert(name, digest(&bytes));
                wrote = true;
            }
        }
        if wrote {
            self.sync_dir()?;
        }
        Ok(())
    }

    fn parts_of(&self, state: &State) -> BTreeMap<String, u64> {
        let names = part_names(state).into_iter();
        names.filter_map(|name| self.written.get(&name).map(|digest| (name, *digest))).collect()
    }

    fn write_manifest(&self, record: &Record) -> io::Result<()> {
        let (me, founder) =
            self.me.clone().ok_or_else(|| io::Error::other("the data directory is not initialized"))?;
        let manifest = Manifest {
            format: FORMAT,
            me,
            founder,
            promised: record.promised,
            accepted: record.accepted,
            summary: record.state.summary(),
            membership: record.state.membership.clone(),
            parts: self.parts_of(&record.state),
        };
        let json = serde_json::to_vec(&manifest)?;
        let temporary = format!("{MANIFEST}{TEMPORARY_SUFFIX}");
        let contents = [format!("{:016x}\n", digest(&json)).as_bytes(), &json].concat();
        self.write_synced(&temporary, &contents)?;
        fs::rename(self.dir.join(temporary), self.dir.join(MANIFEST))?;
        self.sync_dir()
    }

    /// Removes parts that were written without a manifest following; they may be incomplete.
    fn remove_leftovers(&self, names: &BTreeSet<String>) {
        let leftover = names.iter().filter(|name| is_part(name) && !self.written.contains_key(*name));
        for name in leftover {
            let _ = fs::remove_file(self.dir.join(name));
        }
    }

    /// Removes parts that the current manifest does not list.
    fn remove_old_parts(&mut self, state: &State) {
        let needed: BTreeSet<String> = part_names(state).into_iter().collect();
        let old: Vec<String> = self.written.keys().filter(|name| !needed.contains(*name)).cloned().collect();
        for name in old {
            // A leftover file is harmless.
            let _ = fs::remove_file(self.dir.join(&name));
            self.written.remove(&name);
        }
    }

    fn write_synced(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.dir.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn sync_dir(&self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}

impl Disk for DataDir {
    fn write(&mut self, record: &Record) -> io::Result<()> {
        self.write_parts(&record.state)?;
        self.write_manifest(record)?;
        self.remove_old_parts(&record.state);
        Ok(())
    }
}

/// Classifies a directory without a manifest.
fn classify_without_manifest(names: &BTreeSet<String>) -> Result<Loaded, DataDirError> {
    if names.contains(FIRST_FORMAT_FILE) {
        return Err(DataDirError::FirstFormat);
    }
    match names.iter().any(|name| is_part(name)) {
        true => Ok(Loaded::Damaged(format!("{MANIFEST} is missing"))),
        false => Ok(Loaded::Empty),
    }
}

fn parse_manifest(bytes: &[u8]) -> Option<Manifest> {
    let at = bytes.iter().position(|byte| *byte == b'\n')?;
    let (checksum, json) = (std::str::from_utf8(&bytes[..at]).ok()?, &bytes[at + 1..]);
    let manifest: Manifest = serde_json::from_slice(json).ok()?;
    let valid = checksum == format!("{:016x}", digest(json)) && manifest.format == FORMAT;
    valid.then_some(manifest)
}

/// File names of a state's parts.
fn part_names(state: &State) -> Vec<String> {
    let config = state.config.as_ref().map(|config| config_name(config.version));
    let proxies = (!state.proxies.is_empty()).then(|| version_name(PROXIES_PREFIX, state.proxies_version()));
    let trials = (!state.trials.is_empty()).then(|| version_name(TRIALS_PREFIX, state.trials.version()));
    config.into_iter().chain(proxies).chain(trials).collect()
}

fn part_bytes(state: &State, name: &str) -> io::Result<Vec<u8>> {
    if name.starts_with(CONFIG_PREFIX) {
        return Ok(state.config.as_ref().map(|config| config.json.clone()).unwrap_or_default());
    }
    if name.starts_with(PROXIES_PREFIX) {
        return Ok(serde_json::to_vec(state.proxies.as_ref())?);
    }
    let records: Vec<&TrialRecord> = state.trials.records().collect();
    Ok(serde_json::to_vec(&records)?)
}

fn is_part(name: &str) -> bool {
    [CONFIG_PREFIX, PROXIES_PREFIX, TRIALS_PREFIX].iter().any(|prefix| name.starts_with(prefix))
}

fn config_name(version: ConfigVersion) -> String {
    format!("{CONFIG_PREFIX}{:08x}-{:016x}.json", version.serial, version.digest)
}

fn version_name(prefix: &str, (count, digest): (u64, u64)) -> String {
    format!("{prefix}{count}-{digest:016x}.json")
}
