//! The platform's list of workers: pages of JSON over HTTP, with a bound on calls.

use crate::{End, Peer, Reader};
use hingestage_platform::{Listener, Platform};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Workers on one page.
const PAGE: usize = 4;

/// A worker as the list names it.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// Whether it is about to end.
    pub draining: bool,
}

impl ListedWorker {
    fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.id,
            "backend": self.service,
            "addr": self.addr.to_string(),
            "zone": self.zone,
            "serial": "v1",
            "capacity": self.capacity,
            "state": if self.draining { "draining" } else { "ready" },
            "cold_left": "0ms",
        })
    }
}

/// The list and its server.
pub struct WorkerListServer<P> {
    platform: P,
    workers: RefCell<Vec<ListedWorker>>,
    calls_per_s: f64,
    /// Calls that may come at once, and when that was reckoned.
    allowance: Cell<(f64, Instant)>,
    refused: Cell<u64>,
}

impl<P: Platform> WorkerListServer<P>
where
    P::Stream: Peer,
{
    /// An empty list that takes so many calls a second, and a second's worth of them at once.
    pub fn new(platform: P, calls_per_s: f64) -> Rc<Self> {
        let allowance = Cell::new((calls_per_s, platform.now()));
        let (workers, refused) = Default::default();
        Rc::new(WorkerListServer { platform, workers, calls_per_s, allowance, refused })
    }

    /// Replaces the list.
    pub fn set(&self, workers: Vec<ListedWorker>) {
        *self.workers.borrow_mut() = workers;
    }

    /// The list.
    pub fn workers(&self) -> Vec<ListedWorker> {
        self.workers.borrow().clone()
    }

    /// Calls that were beyond the bound.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Serves until its task is ended.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        while let Ok(stream) = listener.accept().await {
            let server = self.clone();
            self.platform.spawn(async move {
                let mut reader = Reader::new(stream);
                while server.serve_one(&mut reader).await.is_ok() {}
            });
        }
    }

    async fn serve_one(&self, reader: &mut Reader<P::Stream>) -> Result<(), End> {
        let message = reader.message().await?;
        let (path, query) = message.path().split_once('?').unwrap_or((message.path(), ""));
        let (status, body) = if path != "/workers" {
            ("404 Not Found", String::new())
        } else if !self.takes_call() {
            ("429 Too Many Requests", String::new())
        } else {
            ("200 OK", self.page(query))
        };
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        match reader.write(text.as_bytes()).await {
            true => Ok(()),
            false => Err(End::Broken),
        }
    }

    fn takes_call(&self) -> bool {
        let (left, since) = self.allowance.get();
        let now = self.platform.now();
        let earned =
            now.saturating_duration_since(since).max(Duration::ZERO).as_secs_f64() * self.calls_per_s;
        let left = (left + earned).min(self.calls_per_s.max(1.0));
        let takes = left >= 1.0;
        self.allowance.set((if takes { left - 1.0 } else { left }, now));
        if !takes {
            self.refused.set(self.refused.get() + 1);
        }
        takes
    }

    fn page(&self, query: &str) -> String {
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let from: usize = value("page_token").and_then(|token| token.parse().ok()).unwrap_or(0);
        let workers = self.workers.borrow();
        let zone = value("zone");
        let wanted = workers.iter().filter(|worker| zone.is_none_or(|zone| worker.zone == zone));
        let wanted: Vec<serde_json::Value> = wanted.map(ListedWorker::json).collect();
        let to = (from + PAGE).min(wanted.len());
        let next = (to < wanted.len()).then(|| to.to_string());
        let members = wanted.get(from..to).unwrap_or_default();
        serde_json::json!({ "members": members, "next_token": next }).to_string()
    }
}
