//! Tests of the store on a simulated disk with torn writes, a full disk and crashes. Acknowledged writes must
//! survive; the write in progress must be there whole or not at all.

use crate::kinds::{Entry, Kinds, Place, SnapshotMeta};
use crate::machine::Machine;
use crate::store::{Kept, New, Store};
use fastrand::Rng;
use hingestage_change::desk::{Entry as Orders, Order};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, EntryPayload, LogId, RaftLogReader, StorageError, Vote};
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A disk with `skips_syncs` performs one in this many syncs.
const HONEST: u32 = 8;

#[derive(Debug, Default)]
struct Platter {
    /// Contents that survive a crash.
    durable: Vec<u8>,
    /// Contents as read back, including writes that are not synced yet.
    seen: Vec<u8>,
    /// Writes since the last sync.
    pending: Vec<Change>,
    /// Writes that still succeed before the disk is full.
    left: Option<usize>,
    /// Most syncs return success without writing anything.
    lies: bool,
    asked: u32,
}

#[derive(Clone, Debug)]
enum Change {
    Length(usize),
    Write(usize, Vec<u8>),
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(length) => bytes.resize(*length, 0),
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
pub struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter { durable: bytes.clone(), seen: bytes, ..Platter::default() })))
    }

    /// Makes writes fail after this many more.
    pub fn fails_after(&self, changes: usize) {
        self.0.lock().unwrap().left = Some(changes);
    }

    /// Makes writes succeed again.
    pub fn has_room(&self) {
        self.0.lock().unwrap().left = None;
    }

    /// Sets whether most syncs are skipped.
    pub fn lies(&self, lies: bool) {
        self.0.lock().unwrap().lies = lies;
    }

    /// Returns the disk after a crash: all synced writes, and any subset of the others, possibly torn.
    pub fn crash(&self, rng: &mut Rng) -> Disk {
        let platter = self.0.lock().unwrap();
        let mut bytes = platter.durable.clone();
        let pending = if platter.lies { &[][..] } else { &platter.pending };
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
        let left = Disk::holding(bytes);
        left.lies(platter.lies);
        left
    }

    fn change(&self, change: Change) -> Result<(), Error> {
        let mut platter = self.0.lock().unwrap();
        match &mut platter.left {
            Some(0) => return Err(Error::new(ErrorKind::StorageFull, "the disk is full")),
            Some(left) => *left -= 1,
            None => {}
        }
        apply(&mut platter.seen, &change);
        platter.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Error> {
        let platter = self.0.lock().unwrap();
        let bytes = platter.seen.get(offset as usize..offset as usize + len);
        bytes.map(<[u8]>::to_vec).ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(Change::Length(len as usize))
    }

    fn sync_data(&self, _eventual: bool) -> Result<(), Error> {
        let mut platter = self.0.lock().unwrap();
        if platter.left == Some(0) {
            return Err(Error::new(ErrorKind::StorageFull, "the disk is full"));
        }
        platter.asked += 1;
        if !platter.lies || platter.asked.is_multiple_of(HONEST) {
            let pending = std::mem::take(&mut platter.pending);
            pending.iter().for_each(|change| apply(&mut platter.durable, change));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(Change::Write(offset as usize, data.to_vec()))
    }
}

fn place(term: u64, index: u64) -> Place {
    LogId::new(CommittedLeaderId::new(term, 0), index)
}

fn entry(term: u64, index: u64) -> Entry {
    let orders = Orders { at: index, orders: vec![Order::DeclareGone("x".repeat(index as usize % 900))] };
    Entry { log_id: place(term, index), payload: EntryPayload::Normal(orders) }
}

/// Expected contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    vote: Option<(u64, u64)>,
    entries: Vec<(u64, u64)>,
    purged: Option<u64>,
    snapshot: Option<Vec<u8>>,
}

impl Model {
    async fn of(store: &mut Store) -> Model {
        let vote = store.read_vote().await.unwrap().map(|vote| (vote.leader_id.term, vote.leader_id.node_id));
        let entries = store.try_get_log_entries(0..u64::MAX).await.unwrap();
        let entries = entries.iter().map(|entry| (entry.log_id.leader_id.term, entry.log_id.index)).collect();
        let purged = store.get_log_state().await.unwrap().last_purged_log_id.map(|place| place.index);
        Model { vote, entries, purged, snapshot: store.snapshot().unwrap().map(|kept| kept.state) }
    }

    fn next(&self) -> u64 {
        self.entries.last().map(|(_, index)| index + 1).or(self.purged.map(|purged| purged + 1)).unwrap_or(0)
    }
}

/// Performs a random operation. Returns the contents expected if it succeeds, and whether it did.
async fn step(store: &mut Store, model: &Model, rng: &mut Rng, n: u64) -> (Model, bool) {
    let mut after = model.clone();
    let done = match rng.u32(..8) {
        0 => {
            after.vote = Some((n, n % 3));
            store.save_vote(&Vote::new(n, n % 3)).await
        }
        1 => {
            let state = vec![n as u8; rng.usize(1..9_000)];
            after.snapshot = Some(state.clone());
            store.keep(&Kept { meta: SnapshotMeta::default(), state })
        }
        2 if model.entries.len() > 4 => {
            let (term, index) = model.entries[model.entries.len() - 2];
            after.entries.truncate(model.entries.len() - 2);
            store.truncate(place(term, index)).await
        }
        3 if model.entries.len() > 4 => {
            let (term, index) = model.entries[1];
            after.entries.drain(..2);
            after.purged = Some(index);
            store.purge(place(term, index)).await
        }
        4 => store.save_committed(Some(place(n, model.next()))).await,
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
async fn until_it_fails(disk: &Disk, changes: usize, rng: &mut Rng) -> Option<(Model, Model)> {
    let mut store = Store::on(disk.clone(), Some(New::Begins)).unwrap();
    disk.fails_after(changes);
    let mut model = Model::default();
    for n in 1..60 {
        let (after, done) = step(&mut store, &model, rng, n).await;
        if !done {
            return Some((model, after));
        }
        model = after;
    }
    None
}

#[tokio::test]
async fn what_was_promised_outlives_a_crash_at_any_write() {
    let mut failed = 0;
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let (disk, changes) = (Disk::default(), rng.usize(..200));
        let Some((before, after)) = until_it_fails(&disk, changes, &mut rng).await else { continue };
        failed += 1;
        for _ in 0..3 {
            let mut store = Store::on(disk.crash(&mut rng), None).unwrap();
            let found = Model::of(&mut store).await;
            assert!(
                found == before || found == after,
                "seed {seed}: {found:?}\nbefore {before:?}\nafter {after:?}"
            );
            assert!(store.begins().unwrap());
        }
    }
    assert!(failed > 200, "{failed} runs met a failing disk");
}

/// redb panics on some damaged files; opening such a store must return an error instead.
#[test]
fn a_store_that_its_library_cannot_bear_is_damaged_and_no_panic() {
    #[derive(Debug)]
    struct Unbearable;
    impl StorageBackend for Unbearable {
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
    let opened = Store::on(Unbearable, None).map(drop);
    assert!(opened.unwrap_err().contains("--join"));
}

#[tokio::test]
async fn a_store_that_failed_once_takes_nothing_more() {
    let mut rng = Rng::with_seed(7);
    let disk = Disk::default();
    let mut store = Store::on(disk.clone(), Some(New::Joins)).unwrap();
    store.save_vote(&Vote::new(1, 0)).await.unwrap();
    disk.fails_after(0);
    assert!(store.save_vote(&Vote::new(2, 0)).await.is_err());
    // Writes succeed again, but after a failed write the contents of the disk are unknown.
    disk.0.lock().unwrap().left = None;
    assert!(store.save_vote(&Vote::new(3, 0)).await.is_err());
    let mut again = Store::on(disk.crash(&mut rng), None).unwrap();
    assert_eq!(again.read_vote().await.unwrap(), Some(Vote::new(1, 0)));
    assert!(!again.begins().unwrap());
}

#[test]
fn a_folder_with_a_store_is_no_new_one_and_one_without_is_no_old_one() {
    let folder =
        std::env::temp_dir().join(format!("hingestage-keep-{}-{:x}", std::process::id(), fastrand::u64(..)));
    std::fs::create_dir_all(&folder).unwrap();
    let opened = |new| Store::open(&folder, new).map(drop);
    assert!(opened(None).unwrap_err().contains("there is no store"));
    assert_eq!(opened(Some(New::Begins)), Ok(()));
    assert!(opened(Some(New::Begins)).unwrap_err().contains("there is a store already"));
    assert_eq!(opened(None), Ok(()));
    std::fs::write(folder.join("keeper.redb"), b"something else").unwrap();
    assert!(opened(None).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}

struct Builder;

impl StoreBuilder<Kinds, Store, Machine> for Builder {
    async fn build(&self) -> Result<((), Store, Machine), StorageError<u64>> {
        let store = Store::on(Disk::default(), Some(New::Begins)).unwrap();
        Ok(((), store.clone(), Machine::open(store)?))
    }
}

/// Runs openraft's own test suite for storage implementations.
#[test]
fn the_store_is_what_the_log_wants() {
    Suite::test_all(Builder).unwrap();
}
