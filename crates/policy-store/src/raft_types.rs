//! Type parameters of the Raft library.

use hingestage_policy_change::state::{Entry as CommandBatch, Reply};
use openraft::{BasicNode, TokioRuntime};
use std::io::Cursor;

/// Replies to the commands of an entry, in their order.
pub type Replies = Vec<Reply>;
/// Raft node id: the number of a keeper.
pub type KeeperNumber = u64;

openraft::declare_raft_types!(
    /// Entries hold batches of commands and return their replies. Addresses come from each keeper's
    /// configuration, not from the log, so nodes carry an id only.
    pub TypeConfig:
        D = CommandBatch,
        R = Replies,
        NodeId = KeeperNumber,
        Node = BasicNode,
        Entry = openraft::Entry<TypeConfig>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = TokioRuntime,
);

/// Entry of the log, with its id.
pub type Entry = openraft::Entry<TypeConfig>;
/// Id of a log entry: term and index.
pub type LogPosition = openraft::LogId<KeeperNumber>;
/// Error of the store.
pub type StorageError = openraft::StorageError<KeeperNumber>;
/// Handle of the running Raft node.
pub type Raft = openraft::Raft<TypeConfig>;
/// Membership as stored in the log.
pub type Membership = openraft::StoredMembership<KeeperNumber, BasicNode>;
/// Metadata of a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<KeeperNumber, BasicNode>;
/// Snapshot of the state.
pub type Snapshot = openraft::Snapshot<TypeConfig>;
