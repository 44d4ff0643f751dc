//! Raft transport between keepers over HTTP.

use crate::http_client::Connection;
use crate::raft_types::{KeeperNumber, TypeConfig};
use hyper::{Method, StatusCode};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::BasicNode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;

/// Addresses of the keepers, from this keeper's configuration.
pub struct Network {
    /// Addresses by keeper number.
    pub keepers: BTreeMap<KeeperNumber, SocketAddr>,
}

/// Connection to one keeper.
pub struct Peer {
    number: KeeperNumber,
    connection: Option<Connection>,
}

impl RaftNetworkFactory<TypeConfig> for Network {
    type Network = Peer;

    async fn new_client(&mut self, target: KeeperNumber, _node: &BasicNode) -> Peer {
        Peer { number: target, connection: self.keepers.get(&target).copied().map(Connection::new) }
    }
}

type Failure<E = openraft::error::Infallible> = RPCError<KeeperNumber, BasicNode, RaftError<KeeperNumber, E>>;

impl Peer {
    async fn send<Q, A, E>(&mut self, path: &str, request: &Q, option: &RPCOption) -> Result<A, Failure<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        let unreachable =
            |what: String| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(what)));
        let Some(connection) = &mut self.connection else {
            return Err(unreachable(format!("keeper {} is not in this keeper's file", self.number)));
        };
        let body = serde_json::to_vec(request).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
        let answer = tokio::time::timeout(option.hard_ttl(), connection.call(Method::POST, path, body)).await;
        let (status, body) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(what)) => return Err(unreachable(what)),
            Err(_) => return Err(unreachable(format!("keeper {} is silent", self.number))),
        };
        if status != StatusCode::OK {
            return Err(unreachable(format!("keeper {}: {}", self.number, String::from_utf8_lossy(&body))));
        }
        let answer: Result<A, RaftError<KeeperNumber, E>> =
            serde_json::from_slice(&body).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
        answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.number, e)))
    }
}

impl RaftNetwork<TypeConfig> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<KeeperNumber>, Failure> {
        self.send("/raft/append", &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<KeeperNumber>, Failure<InstallSnapshotError>> {
        self.send("/raft/snapshot", &rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<KeeperNumber>,
        option: RPCOption,
    ) -> Result<VoteResponse<KeeperNumber>, Failure> {
        self.send("/raft/vote", &rpc, &option).await
    }
}
