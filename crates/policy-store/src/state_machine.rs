//! Raft state machine. It lives in memory; after a restart it is rebuilt from the last snapshot and the log
//! after it.

use crate::raft_types::{
    Entry, LogPosition, Membership, Replies, Snapshot, SnapshotMeta, StorageError, TypeConfig,
};
use crate::store::{Store, StoredSnapshot};
use hingestage_policy_change::state::PolicyState;
use openraft::storage::RaftStateMachine;
use openraft::{AnyError, BasicNode, EntryPayload, OptionalSend, RaftSnapshotBuilder, StorageIOError};
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Applied {
    state: PolicyState,
    last_applied: Option<LogPosition>,
    membership: Membership,
}

/// Shared handle of the state machine.
#[derive(Clone)]
pub struct PolicyStateMachine {
    store: Store,
    applied: Arc<Mutex<Applied>>,
}

impl PolicyStateMachine {
    /// Restores the state from the last snapshot.
    ///
    /// # Errors
    /// The store or its snapshot can't be read.
    pub fn open(store: Store) -> Result<PolicyStateMachine, StorageError> {
        let state_machine = PolicyStateMachine { store, applied: Arc::default() };
        if let Some(stored) = state_machine.store.snapshot()? {
            state_machine.restore(&stored.meta, &stored.state)?;
        }
        Ok(state_machine)
    }

    fn applied(&self) -> MutexGuard<'_, Applied> {
        // A panic while the lock was held ends the process.
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state under the lock.
    pub fn with_state<T>(&self, at: impl FnOnce(&PolicyState) -> T) -> T {
        at(&self.applied().state)
    }

    fn restore(&self, meta: &SnapshotMeta, state: &[u8]) -> Result<(), StorageError> {
        let state = serde_json::from_slice(state);
        let state =
            state.map_err(|e| StorageIOError::read_snapshot(Some(meta.signature()), AnyError::new(&e)))?;
        *self.applied() =
            Applied { state, last_applied: meta.last_log_id, membership: meta.last_membership.clone() };
        Ok(())
    }
}

impl RaftSnapshotBuilder<TypeConfig> for PolicyStateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot, StorageError> {
        let (state, last_applied, membership) = {
            let applied = self.applied();
            let state = serde_json::to_vec(&applied.state);
            (
                state.map_err(|e| StorageIOError::write_snapshot(None, AnyError::new(&e)))?,
                applied.last_applied,
                applied.membership.clone(),
            )
        };
        let snapshot_id = last_applied.map_or_else(
            || "0".to_owned(),
            |last_applied| format!("{}-{}", last_applied.leader_id, last_applied.index),
        );
        let meta = SnapshotMeta { last_log_id: last_applied, last_membership: membership, snapshot_id };
        self.store.save_snapshot(&StoredSnapshot { meta: meta.clone(), state: state.clone() })?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(state)) })
    }
}

impl RaftStateMachine<TypeConfig> for PolicyStateMachine {
    type SnapshotBuilder = PolicyStateMachine;

    async fn applied_state(&mut self) -> Result<(Option<LogPosition>, Membership), StorageError> {
        let applied = self.applied();
        Ok((applied.last_applied, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Replies>, StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = self.applied();
        let mut replies = Vec::new();
        for entry in entries {
            applied.last_applied = Some(entry.log_id);
            replies.push(match entry.payload {
                EntryPayload::Blank => Vec::new(),
                EntryPayload::Normal(orders) => applied.state.apply(&orders),
                EntryPayload::Membership(membership) => {
                    applied.membership = Membership::new(Some(entry.log_id), membership);
                    Vec::new()
                }
            });
        }
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> PolicyStateMachine {
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
        self.store.save_snapshot(&StoredSnapshot { meta: meta.clone(), state: state.clone() })?;
        self.restore(meta, &state)
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot>, StorageError> {
        let stored = self.store.snapshot()?;
        Ok(stored.map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.state)) }))
    }
}
