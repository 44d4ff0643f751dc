//! Raft transport between keepers over HTTP.

use crate::call::Way;
use crate::kinds::{Kinds, Number};
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
    pub keepers: BTreeMap<Number, SocketAddr>,
}

/// Connection to one keeper.
pub struct To {
    number: Number,
    way: Option<Way>,
}

impl RaftNetworkFactory<Kinds> for Network {
    type Network = To;

    async fn new_client(&mut self, target: Number, _node: &BasicNode) -> To {
        To { number: target, way: self.keepers.get(&target).copied().map(Way::new) }
    }
}

type Failure<E = openraft::error::Infallible> = RPCError<Number, BasicNode, RaftError<Number, E>>;

impl To {
    async fn word<Q, A, E>(&mut self, path: &str, word: &Q, option: &RPCOption) -> Result<A, Failure<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        let unreachable =
            |what: String| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(what)));
        let Some(way) = &mut self.way else {
            return Err(unreachable(format!("keeper {} is not in this keeper's file", self.number)));
        };
        let body = serde_json::to_vec(word).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
        let answer = tokio::time::timeout(option.hard_ttl(), way.call(Method::POST, path, body)).await;
        let (status, body) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(what)) => return Err(unreachable(what)),
            Err(_) => return Err(unreachable(format!("keeper {} is silent", self.number))),
        };
        if status != StatusCode::OK {
            return Err(unreachable(format!("keeper {}: {}", self.number, String::from_utf8_lossy(&body))));
        }
        let answer: Result<A, RaftError<Number, E>> =
            serde_json::from_slice(&body).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
        answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.number, e)))
    }
}

impl RaftNetwork<Kinds> for To {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Kinds>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<Number>, Failure> {
        self.word("/raft/append", &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Kinds>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<Number>, Failure<InstallSnapshotError>> {
        self.word("/raft/snapshot", &rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<Number>,
        option: RPCOption,
    ) -> Result<VoteResponse<Number>, Failure> {
        self.word("/raft/vote", &rpc, &option).await
    }
}
