//! Raft state machine. It lives in memory; after a restart it is rebuilt from the last snapshot and the log
//! after it.

use crate::kinds::{Entry, Kinds, Membership, Place, Replies, Snapshot, SnapshotMeta, StorageError};
use crate::store::{Kept, Store};
use hingestage_change::desk::Desk;
use openraft::storage::RaftStateMachine;
use openraft::{AnyError, BasicNode, EntryPayload, OptionalSend, RaftSnapshotBuilder, StorageIOError};
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Applied {
    desk: Desk,
    last: Option<Place>,
    membership: Membership,
}

/// Shared handle of the state machine.
#[derive(Clone)]
pub struct Machine {
    store: Store,
    applied: Arc<Mutex<Applied>>,
}

impl Machine {
    /// Restores the state from the last snapshot.
    ///
    /// # Errors
    /// The store or its snapshot can't be read.
    pub fn open(store: Store) -> Result<Machine, StorageError> {
        let machine = Machine { store, applied: Arc::default() };
        if let Some(kept) = machine.store.snapshot()? {
            machine.take(&kept.meta, &kept.state)?;
        }
        Ok(machine)
    }

    fn applied(&self) -> MutexGuard<'_, Applied> {
        // A panic while the lock was held ends the process.
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state under the lock.
    pub fn look<T>(&self, at: impl FnOnce(&Desk) -> T) -> T {
        at(&self.applied().desk)
    }

    fn take(&self, meta: &SnapshotMeta, state: &[u8]) -> Result<(), StorageError> {
        let desk = serde_json::from_slice(state);
        let desk =
            desk.map_err(|e| StorageIOError::read_snapshot(Some(meta.signature()), AnyError::new(&e)))?;
        *self.applied() = Applied { desk, last: meta.last_log_id, membership: meta.last_membership.clone() };
        Ok(())
    }
}

impl RaftSnapshotBuilder<Kinds> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot, StorageError> {
        let (state, last, membership) = {
            let applied = self.applied();
            let state = serde_json::to_vec(&applied.desk);
            (
                state.map_err(|e| StorageIOError::write_snapshot(None, AnyError::new(&e)))?,
                applied.last,
                applied.membership.clone(),
            )
        };
        let snapshot_id =
            last.map_or_else(|| "0".to_owned(), |last| format!("{}-{}", last.leader_id, last.index));
        let meta = SnapshotMeta { last_log_id: last, last_membership: membership, snapshot_id };
        self.store.keep(&Kept { meta: meta.clone(), state: state.clone() })?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(state)) })
    }
}

impl RaftStateMachine<Kinds> for Machine {
    type SnapshotBuilder = Machine;

    async fn applied_state(&mut self) -> Result<(Option<Place>, Membership), StorageError> {
        let applied = self.applied();
        Ok((applied.last, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Replies>, StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = self.applied();
        let mut replies = Vec::new();
        for entry in entries {
            applied.last = Some(entry.log_id);
            replies.push(match entry.payload {
                EntryPayload::Blank => Vec::new(),
                EntryPayload::Normal(orders) => applied.desk.apply(&orders),
                EntryPayload::Membership(membership) => {
                    applied.membership = Membership::new(Some(entry.log_id), membership);
                    Vec::new()
                }
            });
        }
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Machine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &openraft::SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let state = snapshot.into_inner();
        // Persist first: openraft may purge the log once this returns.
        self.store.keep(&Kept { meta: meta.clone(), state: state.clone() })?;
        self.take(meta, &state)
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot>, StorageError> {
        let kept = self.store.snapshot()?;
        Ok(kept.map(|kept| Snapshot { meta: kept.meta, snapshot: Box::new(Cursor::new(kept.state)) }))
    }
}
