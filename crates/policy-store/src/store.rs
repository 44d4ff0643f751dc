//! Durable storage of a keeper: vote, log entries and the last snapshot.
//!
//! Votes, acknowledged entries and installed snapshots are on disk before they are acknowledged (`redb`
//! commits with `fsync`). After a failed write the store accepts no more, which stops the node and the
//! process. Writes interrupted by a crash are rolled back.

use crate::raft_types::{Entry, KeeperNumber, LogPosition, SnapshotMeta, StorageError, TypeConfig};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    ErrorSubject, ErrorVerb, LogState, OptionalSend, RaftLogId, RaftLogReader, StorageIOError, Vote,
};
use redb::{Database, Durability, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::ops::RangeBounds;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::Arc;

/// Log entries by index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Everything else by name.
const METADATA_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Page cache, bytes.
const CACHE_BYTES: usize = 4 << 20;
/// Version of the storage format. Stores with another version are not opened.
const FORMAT_VERSION: u32 = 1;

/// Shared handle of a store.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
}

/// A stored snapshot.
#[derive(Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Its metadata.
    pub meta: SnapshotMeta,
    /// Serialized state.
    pub state: Vec<u8>,
}

/// How to create a new store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewStore {
    /// For an initial keeper, which initializes the cluster.
    Bootstrap,
    /// For a keeper that joins an existing cluster.
    Join,
}

/// Error of a store operation.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Turns panics of redb into errors: it panics on some files damaged by a crash with torn writes.
fn catch_open_panic(open: impl FnOnce() -> Result<Store, String>) -> Result<Store, String> {
    let opened = catch_unwind(AssertUnwindSafe(open));
    opened.unwrap_or_else(|_| {
        Err("the store is damaged: replace this keeper by one with a new number (`--join`)".into())
    })
}

impl Store {
    /// Opens the store in a directory, and creates it only where `new` says so: a keeper that has lost its
    /// store could vote twice in a term.
    ///
    /// # Errors
    /// A message with the file and the problem.
    pub fn open(folder: &Path, new: Option<NewStore>) -> Result<Store, String> {
        let file = folder.join("keeper.redb");
        let with_path = |e: String| format!("{}: {e}", file.display());
        match (file.exists(), new) {
            (false, None) => {
                let what = "there is no store; `--begin` or `--join` creates one for a new keeper";
                return Err(with_path(what.into()));
            }
            (true, Some(_)) => {
                return Err(with_path("there is a store already: this keeper has run before".into()))
            }
            _ => {}
        }
        let open = || {
            let database =
                Database::builder().set_cache_size(CACHE_BYTES).create(&file).map_err(|e| e.to_string())?;
            Store::initialize(database, new).map_err(|e| e.to_string())
        };
        catch_open_panic(open).map_err(with_path)
    }

    /// Opens a store on any backend.
    ///
    /// # Errors
    /// The store can't be opened.
    pub fn with_backend(backend: impl StorageBackend, new: Option<NewStore>) -> Result<Store, String> {
        let open = || {
            let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
            Store::initialize(database.map_err(|e| e.to_string())?, new).map_err(|e| e.to_string())
        };
        catch_open_panic(open)
    }

    fn initialize(database: Database, new: Option<NewStore>) -> Result<Store, BoxError> {
        let store = Store { database: Arc::new(database) };
        let write = store.database.begin_write()?;
        write.open_table(LOG_TABLE)?;
        {
            let mut metadata = write.open_table(METADATA_TABLE)?;
            let known =
                metadata.get("form")?.map(|form| serde_json::from_slice::<u32>(form.value())).transpose()?;
            match known {
                Some(FORMAT_VERSION) => {}
                Some(other) => {
                    return Err(format!(
                        "storage format {other} is not supported, this build supports {FORMAT_VERSION}"
                    )
                    .into())
                }
                None => drop(metadata.insert("form", serde_json::to_vec(&FORMAT_VERSION)?.as_slice())?),
            }
            if let Some(new) = new {
                let bootstraps = new == NewStore::Bootstrap;
                metadata.insert("begins", serde_json::to_vec(&bootstraps)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(store)
    }

    fn read_value<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, BoxError> {
        let metadata = self.database.begin_read()?.open_table(METADATA_TABLE)?;
        let found = metadata.get(name)?.map(|value| serde_json::from_slice(value.value())).transpose()?;
        Ok(found)
    }

    fn write_value(
        &self,
        name: &str,
        value: &impl Serialize,
        durability: Durability,
    ) -> Result<(), BoxError> {
        let mut write = self.database.begin_write()?;
        write.set_durability(durability);
        write.open_table(METADATA_TABLE)?.insert(name, serde_json::to_vec(value)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    /// Whether the keeper is one of the initial ones.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn bootstraps(&self) -> Result<bool, StorageError> {
        let bootstraps: Option<bool> =
            self.read_value("begins").map_err(|e| storage_error(ErrorSubject::Store, ErrorVerb::Read, e))?;
        Ok(bootstraps.unwrap_or(false))
    }

    /// The last snapshot.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn snapshot(&self) -> Result<Option<StoredSnapshot>, StorageError> {
        self.read_value("snapshot").map_err(|e| storage_error(ErrorSubject::Store, ErrorVerb::Read, e))
    }

    /// Replaces the stored snapshot.
    ///
    /// # Errors
    /// The store can't be written.
    pub fn save_snapshot(&self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        let done = self.write_value("snapshot", snapshot, Durability::Immediate);
        done.map_err(|e| storage_error(ErrorSubject::Store, ErrorVerb::Write, e))
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry>, BoxError> {
        let log = self.database.begin_read()?.open_table(LOG_TABLE)?;
        let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
        let mut entries = Vec::new();
        for entry in log.range::<u64>(bounds)? {
            entries.push(serde_json::from_slice(entry?.1.value())?);
        }
        Ok(entries)
    }

    fn write_entries(&self, entries: impl IntoIterator<Item = Entry>) -> Result<(), BoxError> {
        let write = self.database.begin_write()?;
        {
            let mut log = write.open_table(LOG_TABLE)?;
            for entry in entries {
                log.insert(entry.get_log_id().index, serde_json::to_vec(&entry)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    fn remove_entries(
        &self,
        range: impl RangeBounds<u64>,
        purged: Option<LogPosition>,
    ) -> Result<(), BoxError> {
        let write = self.database.begin_write()?;
        {
            let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
            write.open_table(LOG_TABLE)?.retain_in::<u64, _>(bounds, |_, _| false)?;
            if let Some(position) = purged {
                write
                    .open_table(METADATA_TABLE)?
                    .insert("purged", serde_json::to_vec(&position)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    fn log_state(&self) -> Result<LogState<TypeConfig>, BoxError> {
        let purged: Option<LogPosition> = self.read_value("purged")?;
        let log = self.database.begin_read()?.open_table(LOG_TABLE)?;
        let last =
            log.last()?.map(|(_, entry)| serde_json::from_slice::<Entry>(entry.value())).transpose()?;
        let last_log_id = last.map(|entry| *entry.get_log_id()).or(purged);
        Ok(LogState { last_purged_log_id: purged, last_log_id })
    }
}

fn storage_error(subject: ErrorSubject<KeeperNumber>, verb: ErrorVerb, e: BoxError) -> StorageError {
    StorageIOError::new(subject, verb, openraft::AnyError::error(e)).into()
}

fn read_error(e: BoxError) -> StorageError {
    storage_error(ErrorSubject::Logs, ErrorVerb::Read, e)
}

fn write_error(e: BoxError) -> StorageError {
    storage_error(ErrorSubject::Logs, ErrorVerb::Write, e)
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry>, StorageError> {
        self.entries(range).map_err(read_error)
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError> {
        self.log_state().map_err(read_error)
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<KeeperNumber>) -> Result<(), StorageError> {
        let done = self.write_value("vote", vote, Durability::Immediate);
        done.map_err(|e| storage_error(ErrorSubject::Vote, ErrorVerb::Write, e))
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<KeeperNumber>>, StorageError> {
        self.read_value("vote").map_err(|e| storage_error(ErrorSubject::Vote, ErrorVerb::Read, e))
    }

    /// Not durable: an outdated value only means that more entries are replayed.
    async fn save_committed(&mut self, committed: Option<LogPosition>) -> Result<(), StorageError> {
        self.write_value("committed", &committed, Durability::None).map_err(write_error)
    }

    async fn read_committed(&mut self) -> Result<Option<LogPosition>, StorageError> {
        Ok(self.read_value::<Option<LogPosition>>("committed").map_err(read_error)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        // Acknowledged once the commit has returned, with an error if it failed.
        let done = self.write_entries(entries);
        callback.log_io_completed(match &done {
            Ok(()) => Ok(()),
            Err(e) => Err(std::io::Error::other(e.to_string())),
        });
        done.map_err(write_error)
    }

    async fn truncate(&mut self, position: LogPosition) -> Result<(), StorageError> {
        self.remove_entries(position.index.., None).map_err(write_error)
    }

    async fn purge(&mut self, position: LogPosition) -> Result<(), StorageError> {
        self.remove_entries(..=position.index, Some(position)).map_err(write_error)
    }
}
