//! Keeper process: a Raft node and its HTTP server.

use crate::config::Config;
use crate::http_client::MAX_BODY_BYTES;
use crate::network::Network;
use crate::node::{bad_request, raft_settings, CallError, Node, WRITE_TIMEOUT};
use crate::store::{NewStore, Store};
use hingestage_platform::{Clock, Platform, Tokio};
use hingestage_policy_change::state::{LogCommand, NotLeader};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{sleep, timeout};

/// Maximum concurrent connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 256;
/// Timeout of idle connections and of reading a request body. Longer than many heartbeats, and short enough
/// that idle clients free their connections soon.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay after a failed `accept`, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How a keeper starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// It has a store already.
    Restart,
    /// It has no store and is one of the initial keepers.
    Bootstrap,
    /// It has no store and joins an existing cluster.
    Join,
}

/// Serves HTTP calls to a node.
struct Server {
    node: Arc<Node>,
    /// One for each connection that may be open.
    permits: Arc<Semaphore>,
    /// Whether connections close once the calls that were read are answered.
    stopping: watch::Sender<bool>,
}

/// Runs a keeper until `stop` completes or its store fails.
///
/// # Errors
/// The keeper can't start, or its store has failed.
pub async fn run(config: Config, start: StartMode, stop: impl Future<Output = ()>) -> Result<(), String> {
    let new = match start {
        StartMode::Restart => None,
        StartMode::Bootstrap => Some(NewStore::Bootstrap),
        StartMode::Join => Some(NewStore::Join),
    };
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|e| format!("field `keeper.folder`: {}: {e}", folder.display()))?;
    let store = Store::open(folder, new).map_err(|e| format!("field `keeper.folder`: {e}"))?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("field `keeper.listen`: {}: {e}", config.listen))?;
    let network = Network { keepers: config.keepers.clone() };
    let clock = Clock::new(&Tokio);
    let raft_config = raft_settings(&config);
    let now = Arc::new(move || clock.micros(Tokio.now()));
    let node = Node::open(config, raft_config, store, network, now).await?;
    let server = Arc::new(Server {
        node: node.clone(),
        permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        stopping: watch::Sender::new(false),
    });
    tracing::info!(number = node.config.number, at = %node.config.listen, "keeps");
    let accepting = tokio::spawn(server.clone().accept(listener));
    let failed = node.clone().failed();
    let ended = tokio::select! {
        () = stop => Ok(()),
        what = failed => Err(what),
    };
    accepting.abort();
    server.finish_calls().await;
    let _ = timeout(WRITE_TIMEOUT, node.raft.shutdown()).await;
    ended
}

impl Server {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    tokio::spawn(async move {
                        server.serve(stream).await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the calls that were read are answered.
    async fn finish_calls(&self) {
        self.stopping.send_replace(true);
        let _ = timeout(WRITE_TIMEOUT, self.permits.acquire_many(MAX_CONNECTIONS as u32)).await;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (activity_tx, mut activity_rx) = mpsc::channel::<()>(1);
        let service = service_fn(|request: Request<Incoming>| {
            let _ = activity_tx.try_send(());
            let server = self.clone();
            async move {
                let mut answer = server.answer(request).await;
                // Close the connection when others are waiting for a permit.
                if server.permits.available_permits() == 0 {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        let mut stopping = self.stopping.subscribe();
        loop {
            // A protocol error or a timeout ends only this connection.
            tokio::select! {
                ended = conn.as_mut() => return drop(ended),
                Some(()) = activity_rx.recv() => {}
                _ = stopping.wait_for(|stopping| *stopping) => break,
                () = sleep(IDLE_TIMEOUT) => return,
            }
        }
        conn.as_mut().graceful_shutdown();
        let _ = timeout(WRITE_TIMEOUT, conn).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = match timeout(IDLE_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            _ => return text(StatusCode::BAD_REQUEST, "incomplete body"),
        };
        let post = head.method == Method::POST;
        let answer = match (post, head.uri.path()) {
            (false, "/up") => return text(StatusCode::OK, "keeps"),
            (true, "/raft/append") => {
                async { ok_json(&self.node.append_entries(parse_json(&body)?).await?) }.await
            }
            (true, "/raft/vote") => async { ok_json(&self.node.raft.vote(parse_json(&body)?).await) }.await,
            (true, "/raft/snapshot") => {
                async { ok_json(&self.node.raft.install_snapshot(parse_json(&body)?).await) }.await
            }
            (true, "/ask") => async { ok_json(&self.node.request_lease(parse_json(&body)?).await?) }.await,
            (true, "/propose") => async { ok_json(&self.node.propose(parse_json(&body)?).await?) }.await,
            (true, "/abort") => self.submit_command(parse_json(&body).map(LogCommand::CallOff)).await,
            (true, "/gone") => self.submit_command(parse_json(&body).map(LogCommand::DeclareGone)).await,
            (true, "/keepers") => {
                async { ok_json(&self.node.change_members(parse_json(&body)?).await?) }.await
            }
            (false, "/status") => async { ok_json(&self.node.status().await?) }.await,
            (false, path) if path.starts_with("/text/") => self.text(&path[6..]),
            _ => Err(CallError::Rejected(StatusCode::NOT_FOUND, "unknown path".into())),
        };
        match answer {
            Ok(answer) => answer,
            Err(CallError::NotLeader(leader)) => {
                let body = serde_json::to_vec(&NotLeader { leader }).unwrap_or_default();
                text(StatusCode::MISDIRECTED_REQUEST, body)
            }
            Err(CallError::OutcomeUnknown(what)) => text(StatusCode::GATEWAY_TIMEOUT, what),
            Err(CallError::Rejected(status, what)) => text(status, what),
        }
    }

    async fn submit_command(
        &self,
        command: Result<LogCommand, CallError>,
    ) -> Result<Response<Full<Bytes>>, CallError> {
        ok_json(&self.node.submit(command?).await?)
    }

    fn text(&self, number: &str) -> Result<Response<Full<Bytes>>, CallError> {
        let number: u64 = number.parse().map_err(|_| bad_request("no number"))?;
        ok_json(&self.node.text(number)?)
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| bad_request(&e.to_string()))
}

fn ok_json(what: &impl Serialize) -> Result<Response<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(what).map_err(|e| CallError::OutcomeUnknown(e.to_string()))?;
    Ok(text(StatusCode::OK, body))
}

fn text(status: StatusCode, what: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(what.into()));
    *answer.status_mut() = status;
    answer
}
