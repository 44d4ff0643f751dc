//! The agent of discovery on a gateway's machine: it tells at once what it knows, or nothing while it is down.

use crate::{Observer, Peer, Reader, Seen};
use hingestage_platform::{Listener, Platform};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// While nothing changes, an empty line comes so often.
const ALIVE: Duration = Duration::from_secs(2);

/// A worker as listed.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: String,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
    /// Its zone.
    pub zone: String,
    /// Workers of one cell share which keys they have seen.
    pub cell: u64,
}

impl Listed {
    /// In the form of the protocol.
    pub fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "m", "pod_group": self.cell,
               "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// The agent of one gateway.
pub struct Agent<P> {
    platform: P,
    gateway: usize,
    /// What it has been told, in order; a version is a place in it.
    changes: RefCell<Vec<Listed>>,
    /// How often it had reason to look again, and who wants to know. Not tokio's `watch`: that wakes its
    /// waiters in a random order.
    version: Cell<u64>,
    news: Notify,
    /// Whether it says anything.
    speaks: Cell<bool>,
    /// Whether its next line is nonsense.
    babbles: Cell<bool>,
    observer: Observer,
}

impl<P: Platform> Agent<P>
where
    P::Stream: Peer,
{
    /// One that knows nothing yet.
    pub fn new(platform: P, gateway: usize, observer: Observer) -> Rc<Self> {
        let (changes, speaks, babbles) = (RefCell::default(), Cell::new(true), Cell::new(false));
        let (version, news) = (Cell::new(0), Notify::new());
        Rc::new(Agent { platform, gateway, changes, version, news, speaks, babbles, observer })
    }

    /// Takes in a change.
    pub fn change(&self, listed: Listed) {
        self.changes.borrow_mut().push(listed);
        self.stir();
    }

    /// Whether it says anything from now on.
    pub fn speak(&self, speaks: bool) {
        self.speaks.set(speaks);
        self.stir();
    }

    /// Makes its next line nonsense.
    pub fn babble(&self) {
        self.babbles.set(true);
        self.stir();
    }

    /// All that it has been told, in order.
    pub fn changes(&self) -> Vec<Listed> {
        self.changes.borrow().clone()
    }

    /// The list as it knows it, in the form of the protocol.
    pub fn list(&self) -> Value {
        let mut latest: BTreeMap<String, Listed> = BTreeMap::new();
        let changes = self.changes.borrow();
        changes.iter().for_each(|c| drop(latest.insert(c.uid.clone(), c.clone())));
        let there: Vec<Value> = latest.values().filter(|l| l.state != "removed").map(Listed::json).collect();
        json!({"rev": changes.len(), "all": true, "targets": there})
    }

    /// Serves until its task is ended.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        while let Ok(stream) = listener.accept().await {
            let agent = self.clone();
            self.platform.spawn(async move { agent.serve(stream).await });
        }
    }

    fn stir(&self) {
        self.version.set(self.version.get() + 1);
        self.news.notify_waiters();
    }

    async fn changed(&self, since: u64) {
        loop {
            let mut news = std::pin::pin!(self.news.notified());
            news.as_mut().enable();
            if self.version.get() != since {
                return;
            }
            news.await;
        }
    }

    async fn until_it_speaks(&self) {
        while !self.speaks.get() {
            self.changed(self.version.get()).await;
        }
    }

    async fn serve(&self, stream: P::Stream) {
        let mut reader = Reader::new(stream);
        while let Ok(asked) = reader.message().await {
            self.until_it_speaks().await;
            let path = asked.path().to_owned();
            if path.contains("stream=1") {
                let from = path.split_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
                return self.watch(reader, from).await;
            }
            let list = self.list().to_string();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if !reader.write(text.as_bytes()).await {
                return;
            }
            self.told(self.changes.borrow().iter());
        }
    }

    fn told<'a>(&self, changes: impl Iterator<Item = &'a Listed>) {
        for listed in changes {
            let (uid, state) = (listed.uid.clone(), listed.state.clone());
            (self.observer)(Seen::Told { gateway: self.gateway, uid, state, boot_ms: listed.boot_ms });
        }
    }

    async fn watch(&self, mut reader: Reader<P::Stream>, from: usize) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !reader.write(head.as_bytes()).await {
            return;
        }
        let mut told = from;
        // One that has seen more than there is comes from another discovery: it gets the whole list.
        if from > self.changes.borrow().len() {
            told = self.changes.borrow().len();
            if !line(&mut reader, &self.list().to_string()).await {
                return;
            }
            self.told(self.changes.borrow().iter());
        }
        loop {
            self.until_it_speaks().await;
            let version = self.version.get();
            if self.babbles.replace(false) {
                line(&mut reader, "{\"rev\": nonsense").await;
                return;
            }
            let fresh: Vec<Listed> = self.changes.borrow()[told..].to_vec();
            if !fresh.is_empty() {
                told += fresh.len();
                let targets: Vec<Value> = fresh.iter().map(Listed::json).collect();
                let text = json!({"rev": told, "all": false, "targets": targets}).to_string();
                if !line(&mut reader, &text).await {
                    return;
                }
                self.told(fresh.iter());
            }
            let wait = self.platform.sleep(ALIVE);
            let goes_on = tokio::select! {
                biased;
                () = reader.ended() => return,
                () = self.changed(version) => true,
                () = wait => !self.speaks.get() || line(&mut reader, "").await,
            };
            if !goes_on {
                return;
            }
        }
    }
}

/// Writes one line as a chunk.
async fn line<S: Peer>(reader: &mut Reader<S>, text: &str) -> bool {
    reader.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
