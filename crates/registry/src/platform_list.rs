//! Client for the platform's paginated list of workers.

use bytes::Bytes;
use compact_str::CompactString;
use hingestage_node::settings::parse_duration;
use hingestage_rpc::workers::WorkerRecord;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Timeout for connecting, and for each page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of pages of one list.
const PAGES_MAX: usize = 2_000;
/// Maximum size of one page.
const PAGE_BYTES_MAX: usize = 4 << 20;

/// Error reading the list.
#[derive(Debug)]
pub enum ListError {
    /// The platform did not answer in time.
    Timeout,
    /// The connection failed.
    Connection(String),
    /// A status other than 200, such as 429 when rate limited.
    Status(u16),
    /// The answer could not be parsed.
    Unreadable(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListError::Timeout => f.write_str("no answer in time"),
            ListError::Connection(error) => write!(f, "connection: {error}"),
            ListError::Status(status) => write!(f, "status {status}"),
            ListError::Unreadable(error) => write!(f, "an answer that can't be read: {error}"),
        }
    }
}

#[derive(Deserialize)]
struct Page {
    members: Vec<Listed>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Deserialize)]
struct Listed {
    id: CompactString,
    backend: CompactString,
    addr: SocketAddr,
    zone: CompactString,
    #[serde(default = "default_capacity")]
    capacity: u32,
    #[serde(default)]
    state: CompactString,
    #[serde(default)]
    cold_left: CompactString,
}

fn default_capacity() -> u32 {
    1
}

impl From<Listed> for WorkerRecord {
    fn from(listed: Listed) -> Self {
        let cold_left = parse_duration(&listed.cold_left).unwrap_or_default();
        WorkerRecord {
            id: listed.id,
            service: listed.backend,
            addr: listed.addr,
            zone: listed.zone,
            capacity: listed.capacity,
            draining: listed.state != "ready",
            cold_left: cold_left.as_millis() as u64,
        }
    }
}

/// Reads the whole list on one connection. If a worker appears on two pages because the list changed during the
/// read, the later entry wins.
///
/// # Errors
/// Any page failed; a partial list is never returned.
pub async fn read(addr: SocketAddr) -> Result<Vec<WorkerRecord>, ListError> {
    let stream = timeout(PAGE_TIMEOUT, TcpStream::connect(addr)).await.map_err(|_| ListError::Timeout)?;
    let stream = stream.map_err(|e| ListError::Connection(e.to_string()))?;
    let _ = stream.set_nodelay(true);
    let connected = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = connected.map_err(|e| ListError::Connection(e.to_string()))?;
    let task = spawn_local(async move { drop(connection.await) }).abort_handle();
    let list = read_pages(&mut sender, addr).await;
    task.abort();
    list
}

async fn read_pages(
    sender: &mut http1::SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
) -> Result<Vec<WorkerRecord>, ListError> {
    let mut workers: std::collections::BTreeMap<CompactString, WorkerRecord> = Default::default();
    let mut token: Option<String> = None;
    for _ in 0..PAGES_MAX {
        let page = timeout(PAGE_TIMEOUT, read_page(sender, addr, token.as_deref())).await;
        let page = page.map_err(|_| ListError::Timeout)??;
        let records = page.members.into_iter().map(WorkerRecord::from);
        workers.extend(records.map(|worker| (worker.id.clone(), worker)));
        match page.next_token.filter(|token| !token.is_empty()) {
            Some(next) => token = Some(next),
            None => return Ok(workers.into_values().collect()),
        }
    }
    Err(ListError::Unreadable("too many pages".into()))
}

async fn read_page(
    sender: &mut http1::SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
    token: Option<&str>,
) -> Result<Page, ListError> {
    let uri = token.map_or_else(|| "/workers".to_owned(), |token| format!("/workers?page_token={token}"));
    let request = Request::get(uri).header(HOST, addr.to_string()).body(Empty::new());
    let request = request.map_err(|e| ListError::Unreadable(e.to_string()))?;
    sender.ready().await.map_err(|e| ListError::Connection(e.to_string()))?;
    let answer = sender.send_request(request).await.map_err(|e| ListError::Connection(e.to_string()))?;
    let status = answer.status().as_u16();
    if status != 200 {
        return Err(ListError::Status(status));
    }
    let body = Limited::new(answer.into_body(), PAGE_BYTES_MAX).collect().await;
    let body = body.map_err(|e| ListError::Connection(e.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| ListError::Unreadable(e.to_string()))
}
