//! Client of the keepers: finds the leader, retries, and distinguishes refused calls from those with an
//! unknown outcome.

use crate::http_client::Connection;
use hingestage_policy_change::state::NotLeader;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before retrying after all keepers have failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The keepers refused the call, with the reason; nothing was changed.
    Refused(String),
    /// The proposed change is dangerous and needs confirmation; one reason per line. Nothing was changed.
    NeedsConfirmation(String),
    /// No definite answer arrived in time; the call may have taken effect.
    OutcomeUnknown(String),
}

/// Client for a set of keepers.
pub struct KeeperClient {
    at: BTreeMap<u64, SocketAddr>,
    /// Total time for retries.
    retry_timeout: Duration,
    leader: Option<u64>,
}

impl KeeperClient {
    /// Creates a client for keepers by number, which retries each call for at most `patience`.
    pub fn new(at: BTreeMap<u64, SocketAddr>, retry_timeout: Duration) -> KeeperClient {
        KeeperClient { at, retry_timeout, leader: None }
    }

    /// Calls the keepers until one answers. The call must be idempotent.
    ///
    /// # Errors
    /// The call was refused or needs confirmation, or its outcome is unknown.
    pub async fn ask<A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        what: &impl Serialize,
    ) -> Result<A, CallFailure> {
        let body = serde_json::to_vec(what).map_err(|e| CallFailure::Refused(e.to_string()))?;
        let until = Instant::now() + self.retry_timeout;
        let mut last = "no keeper is the leader".to_owned();
        loop {
            for number in self.call_order() {
                match timeout(
                    CALL_TIMEOUT,
                    Connection::new(self.at[&number]).call(method.clone(), path, body.clone()),
                )
                .await
                {
                    Ok(Ok((StatusCode::OK, answer))) => {
                        self.leader = Some(number);
                        return serde_json::from_slice(&answer)
                            .map_err(|e| CallFailure::OutcomeUnknown(e.to_string()));
                    }
                    Ok(Ok((StatusCode::MISDIRECTED_REQUEST, answer))) => {
                        let not_leader: NotLeader = serde_json::from_slice(&answer).unwrap_or_default();
                        self.leader = not_leader.leader.filter(|leader| *leader != number);
                        if self.leader.is_some() {
                            break;
                        }
                    }
                    Ok(Ok((StatusCode::GATEWAY_TIMEOUT, answer))) => {
                        (self.leader, last) = (None, String::from_utf8_lossy(&answer).into_owned());
                    }
                    Ok(Ok((StatusCode::PRECONDITION_REQUIRED, answer))) => {
                        return Err(CallFailure::NeedsConfirmation(
                            String::from_utf8_lossy(&answer).into_owned(),
                        ));
                    }
                    Ok(Ok((_, answer))) => {
                        return Err(CallFailure::Refused(String::from_utf8_lossy(&answer).into_owned()));
                    }
                    Ok(Err(what)) => (self.leader, last) = (None, what),
                    Err(_) => (self.leader, last) = (None, format!("keeper {number} is silent")),
                }
                if Instant::now() >= until {
                    return Err(CallFailure::OutcomeUnknown(last));
                }
            }
            if Instant::now() >= until {
                return Err(CallFailure::OutcomeUnknown(last));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Keepers in the order to try, the last known leader first.
    fn call_order(&self) -> Vec<u64> {
        let leads = |number: &u64| Some(*number) == self.leader;
        let mut call_order: Vec<u64> = self.at.keys().copied().collect();
        call_order.sort_by_key(|number| !leads(number));
        call_order
    }
}
