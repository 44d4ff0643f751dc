//! Tests of the store on a simulated disk with torn writes, a full disk and crashes. Acknowledged writes must
//! survive; the write in progress must be there whole or not at all.

use crate::raft_types::{Entry, LogPosition, SnapshotMeta, TypeConfig};
use crate::state_machine::PolicyStateMachine;
use crate::store::{NewStore, Store, StoredSnapshot};
use fastrand::Rng;
use hingestage_policy_change::state::{Entry as CommandBatch, LogCommand};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, EntryPayload, LogId, RaftLogReader, StorageError, Vote};
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A disk with `skips_syncs` performs one in this many syncs.
const SYNC_EVERY: u32 = 8;

#[derive(Debug, Default)]
struct DiskState {
    /// Contents that survive a crash.
    durable: Vec<u8>,
    /// Contents as read back, including writes that are not synced yet.
    contents: Vec<u8>,
    /// Writes since the last sync.
    pending: Vec<Change>,
    /// Writes that still succeed before the disk is full.
    writes_left: Option<usize>,
    /// Most syncs return success without writing anything.
    skips_syncs: bool,
    syncs: u32,
}

#[derive(Clone, Debug)]
enum Change {
    Resize(usize),
    Write(usize, Vec<u8>),
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Resize(length) => bytes.resize(*length, 0),
        Change::Write(at, data) => {
            let end = at + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at..end].copy_from_slice(data);
        }
    }
}

/// A simulated disk whose contents can be read after a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn with_contents(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            durable: bytes.clone(),
            contents: bytes,
            ..DiskState::default()
        })))
    }

    /// Makes writes fail after this many more.
    pub fn fail_after(&self, changes: usize) {
        self.0.lock().unwrap().writes_left = Some(changes);
    }

    /// Makes writes succeed again.
    pub fn clear_failure(&self) {
        self.0.lock().unwrap().writes_left = None;
    }

    /// Sets whether most syncs are skipped.
    pub fn skips_syncs(&self, skips_syncs: bool) {
        self.0.lock().unwrap().skips_syncs = skips_syncs;
    }

    /// Returns the disk after a crash: all synced writes, and any subset of the others, possibly torn.
    pub fn crash(&self, rng: &mut Rng) -> Disk {
        let state = self.0.lock().unwrap();
        let mut bytes = state.durable.clone();
        let pending = if state.skips_syncs { &[][..] } else { &state.pending };
        for change in pending {
            match (rng.u32(..3), change) {
                (0, _) => {}
                (1, Change::Write(at, data)) => {
                    let torn = data[..rng.usize(..=data.len())].to_vec();
                    apply(&mut bytes, &Change::Write(*at, torn));
                }
                _ => apply(&mut bytes, change),
            }
        }
        let left = Disk::with_contents(bytes);
        left.skips_syncs(state.skips_syncs);
        left
    }

    fn change(&self, change: Change) -> Result<(), Error> {
        let mut state = self.0.lock().unwrap();
        match &mut state.writes_left {
            Some(0) => return Err(Error::new(ErrorKind::StorageFull, "the disk is full")),
            Some(left) => *left -= 1,
            None => {}
        }
        apply(&mut state.contents, &change);
        state.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().unwrap().contents.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Error> {
        let state = self.0.lock().unwrap();
        let bytes = state.contents.get(offset as usize..offset as usize + len);
        bytes.map(<[u8]>::to_vec).ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(Change::Resize(len as usize))
    }

    fn sync_data(&self, _eventual: bool) -> Result<(), Error> {
        let mut state = self.0.lock().unwrap();
        if state.writes_left == Some(0) {
            return Err(Error::new(ErrorKind::StorageFull, "the disk is full"));
        }
        state.syncs += 1;
        if !state.skips_syncs || state.syncs.is_multiple_of(SYNC_EVERY) {
            let pending = std::mem::take(&mut state.pending);
            pending.iter().for_each(|change| apply(&mut state.durable, change));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(Change::Write(offset as usize, data.to_vec()))
    }
}

fn log_id(term: u64, index: u64) -> LogPosition {
    LogId::new(CommittedLeaderId::new(term, 0), index)
}

fn entry(term: u64, index: u64) -> Entry {
    let commands =
        CommandBatch { at: index, commands: vec![LogCommand::DeclareGone("x".repeat(index as usize % 900))] };
    Entry { log_id: log_id(term, index), payload: EntryPayload::Normal(commands) }
}

/// Expected contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
struct ExpectedState {
    vote: Option<(u64, u64)>,
    entries: Vec<(u64, u64)>,
    purged: Option<u64>,
    snapshot: Option<Vec<u8>>,
}

impl ExpectedState {
    async fn of(store: &mut Store) -> ExpectedState {
        let vote = store.read_vote().await.unwrap().map(|vote| (vote.leader_id.term, vote.leader_id.node_id));
        let entries = store.try_get_log_entries(0..u64::MAX).await.unwrap();
        let entries = entries.iter().map(|entry| (entry.log_id.leader_id.term, entry.log_id.index)).collect();
        let purged = store.get_log_state().await.unwrap().last_purged_log_id.map(|log_id| log_id.index);
        ExpectedState {
            vote,
            entries,
            purged,
            snapshot: store.snapshot().unwrap().map(|snapshot| snapshot.state),
        }
    }

    fn next(&self) -> u64 {
        self.entries.last().map(|(_, index)| index + 1).or(self.purged.map(|purged| purged + 1)).unwrap_or(0)
    }
}

/// Performs a random operation. Returns the contents expected if it succeeds, and whether it did.
async fn random_operation(
    store: &mut Store,
    model: &ExpectedState,
    rng: &mut Rng,
    n: u64,
) -> (ExpectedState, bool) {
    let mut after = model.clone();
    let done = match rng.u32(..8) {
        0 => {
            after.vote = Some((n, n % 3));
            store.save_vote(&Vote::new(n, n % 3)).await
        }
        1 => {
            let state = vec![n as u8; rng.usize(1..9_000)];
            after.snapshot = Some(state.clone());
            store.save_snapshot(&StoredSnapshot { meta: SnapshotMeta::default(), state })
        }
        2 if model.entries.len() > 4 => {
            let (term, index) = model.entries[model.entries.len() - 2];
            after.entries.truncate(model.entries.len() - 2);
            store.truncate(log_id(term, index)).await
        }
        3 if model.entries.len() > 4 => {
            let (term, index) = model.entries[1];
            after.entries.drain(..2);
            after.purged = Some(index);
            store.purge(log_id(term, index)).await
        }
        4 => store.save_committed(Some(log_id(n, model.next()))).await,
        _ => {
            let first = model.next();
            let new: Vec<u64> = (first..first + rng.u64(1..4)).collect();
            after.entries.extend(new.iter().map(|index| (n, *index)));
            store.blocking_append(new.into_iter().map(|index| entry(n, index)).collect::<Vec<_>>()).await
        }
    };
    (after, done.is_ok())
}

/// Runs random operations until the disk fails. Returns the expected contents before and after the operation
/// that failed.
async fn run_until_failure(
    disk: &Disk,
    changes: usize,
    rng: &mut Rng,
) -> Option<(ExpectedState, ExpectedState)> {
    let mut store = Store::with_backend(disk.clone(), Some(NewStore::Bootstrap)).unwrap();
    disk.fail_after(changes);
    let mut model = ExpectedState::default();
    for n in 1..60 {
        let (after, done) = random_operation(&mut store, &model, rng, n).await;
        if !done {
            return Some((model, after));
        }
        model = after;
    }
    None
}

#[tokio::test]
async fn acknowledged_writes_survive_a_crash_at_any_write() {
    let mut failed = 0;
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let (disk, changes) = (Disk::default(), rng.usize(..200));
        let Some((before, after)) = run_until_failure(&disk, changes, &mut rng).await else { continue };
        failed += 1;
        for _ in 0..3 {
            let mut store = Store::with_backend(disk.crash(&mut rng), None).unwrap();
            let found = ExpectedState::of(&mut store).await;
            assert!(
                found == before || found == after,
                "seed {seed}: {found:?}\nbefore {before:?}\nafter {after:?}"
            );
            assert!(store.bootstraps().unwrap());
        }
    }
    assert!(failed > 200, "{failed} runs met a failing disk");
}

/// redb panics on some damaged files; opening such a store must return an error instead.
#[test]
fn a_panic_of_the_database_while_opening_is_an_error() {
    #[derive(Debug)]
    struct PanickingBackend;
    impl StorageBackend for PanickingBackend {
        fn len(&self) -> Result<u64, Error> {
            panic!("no such page")
        }

        fn read(&self, _: u64, _: usize) -> Result<Vec<u8>, Error> {
            panic!("no such page")
        }

        fn set_len(&self, _: u64) -> Result<(), Error> {
            panic!("no such page")
        }

        fn sync_data(&self, _: bool) -> Result<(), Error> {
            panic!("no such page")
        }

        fn write(&self, _: u64, _: &[u8]) -> Result<(), Error> {
            panic!("no such page")
        }
    }
    let opened = Store::with_backend(PanickingBackend, None).map(drop);
    assert!(opened.unwrap_err().contains("--join"));
}

#[tokio::test]
async fn a_store_rejects_writes_after_a_failure() {
    let mut rng = Rng::with_seed(7);
    let disk = Disk::default();
    let mut store = Store::with_backend(disk.clone(), Some(NewStore::Join)).unwrap();
    store.save_vote(&Vote::new(1, 0)).await.unwrap();
    disk.fail_after(0);
    assert!(store.save_vote(&Vote::new(2, 0)).await.is_err());
    // Writes succeed again, but after a failed write the contents of the disk are unknown.
    disk.0.lock().unwrap().writes_left = None;
    assert!(store.save_vote(&Vote::new(3, 0)).await.is_err());
    let mut again = Store::with_backend(disk.crash(&mut rng), None).unwrap();
    assert_eq!(again.read_vote().await.unwrap(), Some(Vote::new(1, 0)));
    assert!(!again.bootstraps().unwrap());
}

#[test]
fn a_store_is_created_only_where_asked_and_never_overwritten() {
    let folder = std::env::temp_dir().join(format!(
        "hingestage-policy-store-{}-{:x}",
        std::process::id(),
        fastrand::u64(..)
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let opened = |new| Store::open(&folder, new).map(drop);
    assert!(opened(None).unwrap_err().contains("there is no store"));
    assert_eq!(opened(Some(NewStore::Bootstrap)), Ok(()));
    assert!(opened(Some(NewStore::Bootstrap)).unwrap_err().contains("there is a store already"));
    assert_eq!(opened(None), Ok(()));
    std::fs::write(folder.join("keeper.redb"), b"something else").unwrap();
    assert!(opened(None).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}

struct Builder;

impl StoreBuilder<TypeConfig, Store, PolicyStateMachine> for Builder {
    async fn build(&self) -> Result<((), Store, PolicyStateMachine), StorageError<u64>> {
        let store = Store::with_backend(Disk::default(), Some(NewStore::Bootstrap)).unwrap();
        Ok(((), store.clone(), PolicyStateMachine::open(store)?))
    }
}

/// Runs openraft's own test suite for storage implementations.
#[test]
fn the_store_passes_the_raft_storage_suite() {
    Suite::test_all(Builder).unwrap();
}
