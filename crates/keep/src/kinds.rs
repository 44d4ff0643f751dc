//! Type parameters of the Raft library.

use hingestage_change::desk::{Entry as Orders, Reply};
use openraft::{BasicNode, TokioRuntime};
use std::io::Cursor;

/// Replies to the commands of an entry, in their order.
pub type Replies = Vec<Reply>;
/// Raft node id: the number of a keeper.
pub type Number = u64;

openraft::declare_raft_types!(
    /// Entries hold batches of commands and return their replies. Addresses come from each keeper's
    /// configuration, not from the log, so nodes carry an id only.
    pub Kinds:
        D = Orders,
        R = Replies,
        NodeId = Number,
        Node = BasicNode,
        Entry = openraft::Entry<Kinds>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = TokioRuntime,
);

/// Entry of the log, with its id.
pub type Entry = openraft::Entry<Kinds>;
/// Id of a log entry: term and index.
pub type Place = openraft::LogId<Number>;
/// Error of the store.
pub type StorageError = openraft::StorageError<Number>;
/// Handle of the running Raft node.
pub type Raft = openraft::Raft<Kinds>;
/// Membership as stored in the log.
pub type Membership = openraft::StoredMembership<Number, BasicNode>;
/// Metadata of a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<Number, BasicNode>;
/// Snapshot of the state.
pub type Snapshot = openraft::Snapshot<Kinds>;
