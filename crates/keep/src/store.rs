//! Durable storage of a keeper: vote, log entries and the last snapshot.
//!
//! Votes, acknowledged entries and installed snapshots are on disk before they are acknowledged (`redb`
//! commits with `fsync`). After a failed write the store accepts no more, which stops the node and the
//! process. Writes interrupted by a crash are rolled back.

use crate::kinds::{Entry, Kinds, Number, Place, SnapshotMeta, StorageError};
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
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Everything else by name.
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Page cache, bytes.
const CACHE: usize = 4 << 20;
/// Version of the storage format. Stores with another version are not opened.
const FORM: u32 = 1;

/// Shared handle of a store.
#[derive(Clone)]
pub struct Store {
    base: Arc<Database>,
}

/// A stored snapshot.
#[derive(Serialize, Deserialize)]
pub struct Kept {
    /// Its metadata.
    pub meta: SnapshotMeta,
    /// Serialized state.
    pub state: Vec<u8>,
}

/// How to create a new store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum New {
    /// For an initial keeper, which initializes the cluster.
    Begins,
    /// For a keeper that joins an existing cluster.
    Joins,
}

/// Error of a store operation.
type Fault = Box<dyn std::error::Error + Send + Sync>;

/// Turns panics of redb into errors: it panics on some files damaged by a crash with torn writes.
fn sound(open: impl FnOnce() -> Result<Store, String>) -> Result<Store, String> {
    let opened = catch_unwind(AssertUnwindSafe(open));
    opened.unwrap_or_else(|_| {
        Err("it is damaged: this keeper is lost for good, and one with a new number takes its place (`--join`)".into())
    })
}

impl Store {
    /// Opens the store in a directory, and creates it only where `new` says so: a keeper that has lost its
    /// store could vote twice in a term.
    ///
    /// # Errors
    /// A message with the file and the problem.
    pub fn open(folder: &Path, new: Option<New>) -> Result<Store, String> {
        let file = folder.join("keeper.redb");
        let says = |e: String| format!("{}: {e}", file.display());
        match (file.exists(), new) {
            (false, None) => {
                let what = "there is no store; `--begin` or `--join` makes one, for a keeper that never ran";
                return Err(says(what.into()));
            }
            (true, Some(_)) => {
                return Err(says("there is a store already, so that this keeper has run".into()))
            }
            _ => {}
        }
        let open = || {
            let base = Database::builder().set_cache_size(CACHE).create(&file).map_err(|e| e.to_string())?;
            Store::prepared(base, new).map_err(|e| e.to_string())
        };
        sound(open).map_err(says)
    }

    /// Opens a store on any backend.
    ///
    /// # Errors
    /// The store can't be opened.
    pub fn on(backend: impl StorageBackend, new: Option<New>) -> Result<Store, String> {
        let open = || {
            let base = Database::builder().set_cache_size(CACHE).create_with_backend(backend);
            Store::prepared(base.map_err(|e| e.to_string())?, new).map_err(|e| e.to_string())
        };
        sound(open)
    }

    fn prepared(base: Database, new: Option<New>) -> Result<Store, Fault> {
        let store = Store { base: Arc::new(base) };
        let write = store.base.begin_write()?;
        write.open_table(LOG)?;
        {
            let mut facts = write.open_table(FACTS)?;
            let known =
                facts.get("form")?.map(|form| serde_json::from_slice::<u32>(form.value())).transpose()?;
            match known {
                Some(FORM) => {}
                Some(other) => return Err(format!("its form is {other}, this build knows {FORM}").into()),
                None => drop(facts.insert("form", serde_json::to_vec(&FORM)?.as_slice())?),
            }
            if let Some(new) = new {
                let begins = new == New::Begins;
                facts.insert("begins", serde_json::to_vec(&begins)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(store)
    }

    fn fact<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Fault> {
        let facts = self.base.begin_read()?.open_table(FACTS)?;
        let found = facts.get(name)?.map(|fact| serde_json::from_slice(fact.value())).transpose()?;
        Ok(found)
    }

    fn put(&self, name: &str, fact: &impl Serialize, durability: Durability) -> Result<(), Fault> {
        let mut write = self.base.begin_write()?;
        write.set_durability(durability);
        write.open_table(FACTS)?.insert(name, serde_json::to_vec(fact)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    /// Whether the keeper is one of the initial ones.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn begins(&self) -> Result<bool, StorageError> {
        let begins: Option<bool> =
            self.fact("begins").map_err(|e| error(ErrorSubject::Store, ErrorVerb::Read, e))?;
        Ok(begins.unwrap_or(false))
    }

    /// The last snapshot.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn snapshot(&self) -> Result<Option<Kept>, StorageError> {
        self.fact("snapshot").map_err(|e| error(ErrorSubject::Store, ErrorVerb::Read, e))
    }

    /// Replaces the stored snapshot.
    ///
    /// # Errors
    /// The store can't be written.
    pub fn keep(&self, kept: &Kept) -> Result<(), StorageError> {
        let done = self.put("snapshot", kept, Durability::Immediate);
        done.map_err(|e| error(ErrorSubject::Store, ErrorVerb::Write, e))
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry>, Fault> {
        let log = self.base.begin_read()?.open_table(LOG)?;
        let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
        let mut entries = Vec::new();
        for entry in log.range::<u64>(bounds)? {
            entries.push(serde_json::from_slice(entry?.1.value())?);
        }
        Ok(entries)
    }

    fn write_entries(&self, entries: impl IntoIterator<Item = Entry>) -> Result<(), Fault> {
        let write = self.base.begin_write()?;
        {
            let mut log = write.open_table(LOG)?;
            for entry in entries {
                log.insert(entry.get_log_id().index, serde_json::to_vec(&entry)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    fn cut(&self, range: impl RangeBounds<u64>, purged: Option<Place>) -> Result<(), Fault> {
        let write = self.base.begin_write()?;
        {
            let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
            write.open_table(LOG)?.retain_in::<u64, _>(bounds, |_, _| false)?;
            if let Some(place) = purged {
                write.open_table(FACTS)?.insert("purged", serde_json::to_vec(&place)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    fn state(&self) -> Result<LogState<Kinds>, Fault> {
        let purged: Option<Place> = self.fact("purged")?;
        let log = self.base.begin_read()?.open_table(LOG)?;
        let last =
            log.last()?.map(|(_, entry)| serde_json::from_slice::<Entry>(entry.value())).transpose()?;
        let last_log_id = last.map(|entry| *entry.get_log_id()).or(purged);
        Ok(LogState { last_purged_log_id: purged, last_log_id })
    }
}

fn error(subject: ErrorSubject<Number>, verb: ErrorVerb, e: Fault) -> StorageError {
    StorageIOError::new(subject, verb, openraft::AnyError::error(e)).into()
}

fn read(e: Fault) -> StorageError {
    error(ErrorSubject::Logs, ErrorVerb::Read, e)
}

fn write(e: Fault) -> StorageError {
    error(ErrorSubject::Logs, ErrorVerb::Write, e)
}

impl RaftLogReader<Kinds> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry>, StorageError> {
        self.entries(range).map_err(read)
    }
}

impl RaftLogStorage<Kinds> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Kinds>, StorageError> {
        self.state().map_err(read)
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<Number>) -> Result<(), StorageError> {
        let done = self.put("vote", vote, Durability::Immediate);
        done.map_err(|e| error(ErrorSubject::Vote, ErrorVerb::Write, e))
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<Number>>, StorageError> {
        self.fact("vote").map_err(|e| error(ErrorSubject::Vote, ErrorVerb::Read, e))
    }

    /// Not durable: an outdated value only means that more entries are replayed.
    async fn save_committed(&mut self, committed: Option<Place>) -> Result<(), StorageError> {
        self.put("committed", &committed, Durability::None).map_err(write)
    }

    async fn read_committed(&mut self) -> Result<Option<Place>, StorageError> {
        Ok(self.fact::<Option<Place>>("committed").map_err(read)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Kinds>) -> Result<(), StorageError>
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
        done.map_err(write)
    }

    async fn truncate(&mut self, place: Place) -> Result<(), StorageError> {
        self.cut(place.index.., None).map_err(write)
    }

    async fn purge(&mut self, place: Place) -> Result<(), StorageError> {
        self.cut(..=place.index, Some(place)).map_err(write)
    }
}
