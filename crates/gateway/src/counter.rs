//! Client of the shared counter: pipelined calls on one connection, with replies in the same order.

use crate::Backoff;
use bytes::BytesMut;
use hingestage_dataplane::log_sparsely;
use hingestage_platform::{Platform, Stream};
use hingestage_policy::{CounterName, CounterOutcome, Micros};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{oneshot, Notify};

/// Timeout for connecting: a machine that is cut off never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the oldest pending call at which the connection is considered dead. Until then no call is answered.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a ping is sent, well before the counter would close the connection.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the rest of a partial reply, which blocks all replies behind it.
const PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest reply, bytes: a number or a line.
const REPLY_BYTES_MAX: usize = 4096;
/// Maximum number of pending calls; beyond it the connection is closed.
const PENDING_MAX: usize = 4096;

/// A call whose reply is pending.
struct Pending {
    seq: u64,
    request: RequestKind,
    since: Instant,
}

/// The part of the gateway that makes a call. Counter names alone do not identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterCaller {
    /// The decision code.
    Decisions,
    /// The fleet's roll call.
    RollCall,
    /// The turns at the counter, on behalf of several gateways.
    Turns,
}

/// The kind of a pending call.
enum RequestKind {
    Ping,
    /// A call; `None` once it has timed out locally.
    Call(Option<(CounterCaller, CounterName)>),
}

/// One connection to the counter with its pending calls.
struct Connection<P: Platform> {
    platform: P,
    /// `None` once the connection is closed.
    stream: RefCell<Option<P::Stream>>,
    /// Notified when a call could not be written.
    failed: Notify,
    pending: RefCell<VecDeque<Pending>>,
    /// Set once replaced; the connection ends when nothing is pending.
    retired: Cell<bool>,
}

impl<P: Platform> Connection<P> {
    fn new(platform: P, stream: P::Stream) -> Rc<Self> {
        let stream = RefCell::new(Some(stream));
        let (pending, retired) = (RefCell::default(), Cell::new(false));
        Rc::new(Connection { platform, stream, failed: Notify::new(), pending, retired })
    }

    /// Writes a whole call. A full or broken connection is closed; the counter ignores an incomplete last call, so
    /// nothing was added by it.
    fn write(&self, seq: u64, args: &[&str], request: RequestKind) -> bool {
        let mut call = format!("*{}\r\n", args.len());
        for arg in args {
            call.push_str(&format!("${}\r\n{arg}\r\n", arg.len()));
        }
        let mut stream = self.stream.borrow_mut();
        let Some(open) = stream.as_ref() else { return false };
        let has_room = self.pending.borrow().len() < PENDING_MAX;
        if !has_room || !matches!(open.try_write(call.as_bytes()), Ok(n) if n == call.len()) {
            *stream = None;
            self.failed.notify_one();
            return false;
        }
        self.pending.borrow_mut().push_back(Pending { seq, request, since: self.platform.now() });
        true
    }

    /// Times a call out and returns its caller and name. Its reply stays pending and will be dropped, so that later
    /// replies still match their calls.
    fn expire(&self, seq: u64) -> Option<(CounterCaller, CounterName)> {
        match self.pending.borrow_mut().iter_mut().find(|pending| pending.seq == seq)?.request {
            RequestKind::Call(ref mut call) => call.take(),
            RequestKind::Ping => None,
        }
    }
}

/// The read half of a [`Connection`].
struct Reader<'a, P: Platform>(&'a Connection<P>);

impl<P: Platform> AsyncRead for Reader<'_, P> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<std::io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }
}

/// Receives the outcome of each call exactly once.
pub type OnOutcome = Box<dyn Fn(CounterCaller, CounterName, CounterOutcome)>;

/// Client of the shared counter.
pub struct Counter<P: Platform> {
    platform: P,
    on_outcome: OnOutcome,
    at: Cell<Option<SocketAddr>>,
    moved: Notify,
    timeout: Duration,
    connection: RefCell<Option<Rc<Connection<P>>>>,
    last_seq: Cell<u64>,
    errors: Cell<u64>,
}

impl<P: Platform> Counter<P> {
    /// Creates a client that is not connected yet; calls end after `timeout`.
    pub fn new(platform: P, at: Option<SocketAddr>, timeout: Micros, on_outcome: OnOutcome) -> Rc<Self> {
        let (at, moved, connection) = (Cell::new(at), Notify::new(), RefCell::default());
        let timeout = Duration::from_micros(timeout);
        let (last_seq, errors) = (Cell::new(0), Cell::new(0));
        Rc::new(Counter { platform, on_outcome, at, moved, timeout, connection, last_seq, errors })
    }

    /// Changes the address. The old connection is used until there is a new one, and then still delivers its pending
    /// replies.
    pub fn set_address(&self, at: SocketAddr) {
        if self.at.replace(Some(at)) != Some(at) {
            self.moved.notify_one();
        }
    }

    /// Adds to a counter. Its outcome is passed to `on_outcome` exactly once.
    pub fn call(self: &Rc<Self>, caller: CounterCaller, name: CounterName, amount: f64, keep: Micros) {
        let keep = keep.div_ceil(1_000).max(1).to_string();
        let args = ["CNT.ADD", &name.0, &amount.to_string(), &keep];
        let connection = self.connection.borrow().clone();
        let (seq, request) = (self.next_seq(), RequestKind::Call(Some((caller, name.clone()))));
        let Some(connection) = connection.filter(|open| open.write(seq, &args, request)) else {
            return (self.on_outcome)(caller, name, CounterOutcome::Refused);
        };
        let (counter, sleep) = (self.clone(), self.platform.sleep(self.timeout));
        self.platform.spawn(async move {
            sleep.await;
            if let Some((caller, name)) = connection.expire(seq) {
                (counter.on_outcome)(caller, name, CounterOutcome::Timeout);
            }
        });
    }

    fn next_seq(&self) -> u64 {
        self.last_seq.set(self.last_seq.get() + 1);
        self.last_seq.get()
    }

    /// Keeps a connection open forever. The counter closes idle connections, which is not a failure.
    pub async fn run(self: Rc<Self>) {
        let mut backoff = Backoff::new();
        loop {
            let Some(at) = self.at.get() else { return };
            if let Ok(Ok(stream)) = self.platform.timeout(CONNECT_TIMEOUT, self.platform.connect(at)).await {
                let connection = Connection::new(self.platform.clone(), stream);
                if let Some(old) = self.connection.replace(Some(connection.clone())) {
                    old.retired.set(true);
                }
                let (ended, end) = oneshot::channel();
                let drive = drive(self.clone(), connection);
                self.platform.spawn(async move {
                    // The receiver is gone if the address has changed.
                    let _ = ended.send(drive.await);
                });
                tokio::select! {
                    biased;
                    () = self.moved.notified() => backoff = Backoff::new(),
                    served = end => {
                        // A connection that has served is replaced at once.
                        if served.unwrap_or(false) {
                            backoff = Backoff::new();
                            continue;
                        }
                    }
                }
                if self.at.get() != Some(at) {
                    continue;
                }
            }
            tokio::select! {
                biased;
                () = self.moved.notified() => backoff = Backoff::new(),
                () = backoff.wait(&self.platform) => {}
            }
        }
    }

    /// Closes a connection. Pending calls may have been executed: they time out and are never repeated.
    fn close(&self, connection: &Rc<Connection<P>>) {
        *connection.stream.borrow_mut() = None;
        let current = self.connection.borrow().as_ref().is_some_and(|now| Rc::ptr_eq(now, connection));
        if current {
            *self.connection.borrow_mut() = None;
        }
        let pending = std::mem::take(&mut *connection.pending.borrow_mut());
        for pending in pending {
            if let RequestKind::Call(Some((caller, name))) = pending.request {
                (self.on_outcome)(caller, name, CounterOutcome::Timeout);
            }
        }
    }

    /// Reads replies until the connection ends; sets `served` once any data arrives.
    async fn read(&self, connection: &Connection<P>, served: &mut bool) -> Result<(), &'static str> {
        let mut reader = Reader(connection);
        let mut buffer = BytesMut::new();
        loop {
            if connection.retired.get() && connection.pending.borrow().is_empty() {
                return Ok(());
            }
            let partial = !buffer.is_empty();
            let wait = self.platform.sleep(if partial { PARTIAL_REPLY_TIMEOUT } else { PING_INTERVAL });
            let read = tokio::select! {
                biased;
                () = connection.failed.notified() => return Err("could not be written to"),
                read = reader.read_buf(&mut buffer) => Some(read),
                () = wait => None,
            };
            let Some(read) = read else {
                if partial {
                    return Err("half an answer");
                }
                let oldest = connection.pending.borrow().front().map(|pending| pending.since);
                match oldest {
                    Some(since) if self.platform.since(since) >= REPLY_TIMEOUT => return Err("fell silent"),
                    None => drop(connection.write(self.next_seq(), &["PING"], RequestKind::Ping)),
                    Some(_) => {}
                }
                continue;
            };
            // The counter closes idle connections; that and a reset are handled alike.
            if !matches!(read, Ok(n) if n > 0) {
                return Ok(());
            }
            *served = true;
            while let Some((frame, ..)) = decode_bytes_mut(&mut buffer).map_err(|_| "malformed reply")? {
                let pending = connection.pending.borrow_mut().pop_front().ok_or("a reply to no call")?;
                self.handle_reply(pending.request, &frame)?;
            }
            if buffer.len() > REPLY_BYTES_MAX {
                return Err("a reply is too long");
            }
        }
    }

    /// Handles one reply. A reply of the wrong kind ends the connection: later replies may belong to other calls, and a
    /// total credited to the wrong customer would put it into the penalty box.
    fn handle_reply(&self, request: RequestKind, frame: &BytesFrame) -> Result<(), &'static str> {
        let (call, outcome) = match (request, frame) {
            (RequestKind::Ping, BytesFrame::SimpleString(_) | BytesFrame::Error(_)) => return Ok(()),
            (RequestKind::Ping, _) => return Err("no reply to a ping"),
            (RequestKind::Call(call), frame) => (call, outcome(frame)),
        };
        if let Some((caller, name)) = call {
            (self.on_outcome)(caller, name, outcome.unwrap_or(CounterOutcome::Timeout));
        }
        outcome.map(drop).ok_or("a reply without a total")
    }
}

/// Reads a connection to its end and settles its pending calls. Returns whether any data was received.
async fn drive<P: Platform>(counter: Rc<Counter<P>>, connection: Rc<Connection<P>>) -> bool {
    let mut served = false;
    if let Err(what) = counter.read(&connection, &mut served).await {
        log_sparsely(&counter.platform, &counter.errors, format_args!("counter: {what}"));
    }
    counter.close(&connection);
    served
}

/// The outcome that a reply to a call carries; `None` if it can't be read.
fn outcome(frame: &BytesFrame) -> Option<CounterOutcome> {
    let text = match frame {
        BytesFrame::Error(text) if text.starts_with("BUSY") || text.starts_with("ERR") => {
            return Some(CounterOutcome::Refused)
        }
        BytesFrame::Integer(total) => return Some(CounterOutcome::Total(*total as f64)),
        BytesFrame::BulkString(text) | BytesFrame::SimpleString(text) => text,
        _ => return None,
    };
    let total = std::str::from_utf8(text).ok()?.parse().ok().filter(|n: &f64| n.is_finite());
    total.map(CounterOutcome::Total)
}
