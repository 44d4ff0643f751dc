//! Keeper process: a Raft node and its HTTP server.

use crate::call::BODY_MAX;
use crate::config::Config;
use crate::network::Network;
use crate::seat::{settings, wrong, Refusal, Seat, WRITTEN};
use crate::store::{New, Store};
use hingestage_change::desk::{Elsewhere, Order};
use hingestage_platform::{Clock, Platform, Tokio};
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
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Maximum concurrent connections; further ones wait to be accepted.
const CALLS: usize = 256;
/// Timeout of idle connections and of reading a request body. Longer than many heartbeats, and short enough
/// that idle clients free their connections soon.
const QUIET: Duration = Duration::from_secs(4);
/// Delay after a failed `accept`, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How a keeper starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It has a store already.
    Again,
    /// It has no store and is one of the initial keepers.
    Begin,
    /// It has no store and joins an existing cluster.
    Join,
}

/// Serves HTTP calls to a node.
struct Keeper {
    seat: Arc<Seat>,
}

/// Runs a keeper until `stop` completes or its store fails.
///
/// # Errors
/// The keeper can't start, or its store has failed.
pub async fn run(config: Config, start: Start, stop: impl Future<Output = ()>) -> Result<(), String> {
    let new = match start {
        Start::Again => None,
        Start::Begin => Some(New::Begins),
        Start::Join => Some(New::Joins),
    };
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|e| format!("field `keeper.folder`: {}: {e}", folder.display()))?;
    let store = Store::open(folder, new).map_err(|e| format!("field `keeper.folder`: {e}"))?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("field `keeper.listen`: {}: {e}", config.listen))?;
    let network = Network { keepers: config.keepers.clone() };
    let clock = Clock::new(&Tokio);
    let settings = settings(&config);
    let now = Arc::new(move || clock.micros(Tokio.now()));
    let seat = Seat::open(config, settings, store, network, now).await?;
    let keeper = Arc::new(Keeper { seat: seat.clone() });
    tracing::info!(number = seat.config.number, at = %seat.config.listen, "keeps");
    let accepting = tokio::spawn(keeper.accept(listener));
    let failed = seat.clone().failed();
    let ended = tokio::select! {
        () = stop => Ok(()),
        what = failed => Err(what),
    };
    accepting.abort();
    let _ = timeout(WRITTEN, seat.raft.shutdown()).await;
    ended
}

impl Keeper {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(CALLS));
        loop {
            let Ok(place) = room.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let keeper = self.clone();
                    let places = room.clone();
                    tokio::spawn(async move {
                        keeper.serve(stream, &places).await;
                        drop(place);
                    });
                }
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, places: &Semaphore) {
        let _ = stream.set_nodelay(true);
        let (heard, mut hears) = mpsc::channel::<()>(1);
        let service = service_fn(|request: Request<Incoming>| {
            let _ = heard.try_send(());
            let keeper = self.clone();
            async move {
                let mut answer = keeper.answer(request).await;
                // Close the connection when others are waiting for a permit.
                if places.available_permits() == 0 {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        loop {
            // A protocol error or a timeout ends only this connection.
            tokio::select! {
                ended = conn.as_mut() => return drop(ended),
                Some(()) = hears.recv() => {}
                () = sleep(QUIET) => return,
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = match timeout(QUIET, Limited::new(body, BODY_MAX).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            _ => return text(StatusCode::BAD_REQUEST, "no whole body"),
        };
        let post = head.method == Method::POST;
        let answer = match (post, head.uri.path()) {
            (false, "/up") => return text(StatusCode::OK, "keeps"),
            (true, "/raft/append") => async { done(&self.seat.append(json(&body)?).await?) }.await,
            (true, "/raft/vote") => async { done(&self.seat.raft.vote(json(&body)?).await) }.await,
            (true, "/raft/snapshot") => {
                async { done(&self.seat.raft.install_snapshot(json(&body)?).await) }.await
            }
            (true, "/ask") => async { done(&self.seat.ask(json(&body)?).await?) }.await,
            (true, "/propose") => async { done(&self.seat.propose(json(&body)?).await?) }.await,
            (true, "/abort") => self.told(json(&body).map(Order::CallOff)).await,
            (true, "/gone") => self.told(json(&body).map(Order::DeclareGone)).await,
            (true, "/keepers") => async { done(&self.seat.keepers(json(&body)?).await?) }.await,
            (false, "/status") => async { done(&self.seat.status().await?) }.await,
            (false, path) if path.starts_with("/text/") => self.text(&path[6..]),
            _ => Err(Refusal::Wrong(StatusCode::NOT_FOUND, "no such call".into())),
        };
        match answer {
            Ok(answer) => answer,
            Err(Refusal::Elsewhere(leader)) => {
                let body = serde_json::to_vec(&Elsewhere { leader }).unwrap_or_default();
                text(StatusCode::MISDIRECTED_REQUEST, body)
            }
            Err(Refusal::Unknown(what)) => text(StatusCode::GATEWAY_TIMEOUT, what),
            Err(Refusal::Wrong(status, what)) => text(status, what),
        }
    }

    async fn told(&self, order: Result<Order, Refusal>) -> Result<Response<Full<Bytes>>, Refusal> {
        done(&self.seat.order(order?).await?)
    }

    fn text(&self, number: &str) -> Result<Response<Full<Bytes>>, Refusal> {
        let number: u64 = number.parse().map_err(|_| wrong("no number"))?;
        done(&self.seat.text(number)?)
    }
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| wrong(&e.to_string()))
}

fn done(what: &impl Serialize) -> Result<Response<Full<Bytes>>, Refusal> {
    let body = serde_json::to_vec(what).map_err(|e| Refusal::Unknown(e.to_string()))?;
    Ok(text(StatusCode::OK, body))
}

fn text(status: StatusCode, what: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(what.into()));
    *answer.status_mut() = status;
    answer
}
