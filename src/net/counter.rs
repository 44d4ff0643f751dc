//! The connection to the counter: calls written one behind another, answers taken in their order.

use crate::net::driver::Driver;
use crate::net::{note, Backoff};
use crate::{CounterName, CounterOutcome, Event, Micros};
use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration, Instant};

/// Time to connect; a machine that is cut off never answers.
const CONNECT: Duration = Duration::from_millis(500);
/// An answer this late means that the connection leads nowhere.
const SILENT: Duration = Duration::from_secs(1);
/// Pause after which an idle connection is asked for a sign of life, well before the counter would close it.
const LISTEN: Duration = Duration::from_secs(1);
/// The longest answer, bytes: a number or a line.
const ANSWER_MAX: usize = 4096;
/// Answers owed at most; past that the connection is given up.
const OWED_MAX: usize = 4096;

/// An answer that the counter owes.
struct Owed {
    seq: u64,
    /// Whose it is; none for a ping, or once our own time-out has ended the call.
    name: Option<CounterName>,
    since: Instant,
}

/// The counter, as one connection to it.
pub struct Counter {
    at: Option<SocketAddr>,
    wait: Duration,
    conn: RefCell<Option<OwnedWriteHalf>>,
    owed: RefCell<VecDeque<Owed>>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl Counter {
    /// Not connected yet; `wait` is how long a call may take.
    pub fn new(at: Option<SocketAddr>, wait: Micros) -> Self {
        let (conn, owed) = (RefCell::default(), RefCell::default());
        let wait = Duration::from_micros(wait);
        Counter { at, wait, conn, owed, next: Cell::new(0), odd: Cell::new(0) }
    }

    /// Adds to a number. The answer, exactly one, comes as an event.
    pub fn call(&self, driver: &Rc<Driver>, name: CounterName, amount: f64, keep: Micros) {
        let keep = keep.div_ceil(1_000).max(1).to_string();
        if !self.write(&["CNT.ADD", &name.0, &amount.to_string(), &keep], Some(name.clone())) {
            return driver.feed(Event::Counter { name, outcome: CounterOutcome::Refused });
        }
        let (driver, seq, wait) = (driver.clone(), self.next.get(), self.wait);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wait).await;
            driver.counter.expire(&driver, seq);
        });
    }

    /// Ends a call whose answer has not come. The answer is still owed and will be dropped: taking it for the
    /// next call's would shift every total to a wrong name.
    fn expire(&self, driver: &Rc<Driver>, seq: u64) {
        let name = self.owed.borrow_mut().iter_mut().find(|owed| owed.seq == seq).and_then(|o| o.name.take());
        if let Some(name) = name {
            driver.feed(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Writes a call whole, or not at all as far as the counter can tell. A full or broken connection is
    /// given up: its last call has not come whole, so that nothing was added by it.
    fn write(&self, words: &[&str], name: Option<CounterName>) -> bool {
        let mut call = format!("*{}\r\n", words.len());
        for word in words {
            call.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        let mut conn = self.conn.borrow_mut();
        let Some(half) = conn.as_ref() else { return false };
        let room = self.owed.borrow().len() < OWED_MAX;
        if !room || !matches!(half.try_write(call.as_bytes()), Ok(n) if n == call.len()) {
            *conn = None;
            return false;
        }
        self.next.set(self.next.get() + 1);
        let owed = Owed { seq: self.next.get(), name, since: Instant::now() };
        self.owed.borrow_mut().push_back(owed);
        true
    }

    /// Keeps a connection for ever. The counter closes one that is idle; that is no failure.
    pub async fn run(&self, driver: Rc<Driver>) {
        let Some(at) = self.at else { return };
        let mut backoff = Backoff::new();
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await {
                let _ = stream.set_nodelay(true);
                let (reader, writer) = stream.into_split();
                *self.conn.borrow_mut() = Some(writer);
                match self.read(&driver, reader).await {
                    Ok(true) => backoff = Backoff::new(),
                    Ok(false) => {}
                    Err(what) => note(&self.odd, format_args!("counter: {what}")),
                }
                self.hang_up(&driver);
            }
            backoff.wait().await;
        }
    }

    /// What was written and not answered may have been added.
    fn hang_up(&self, driver: &Rc<Driver>) {
        *self.conn.borrow_mut() = None;
        let owed = std::mem::take(&mut *self.owed.borrow_mut());
        for name in owed.into_iter().filter_map(|owed| owed.name) {
            driver.feed(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Reads answers until the connection ends; tells whether any came.
    async fn read(&self, driver: &Rc<Driver>, mut from: OwnedReadHalf) -> Result<bool, &'static str> {
        let (mut buffer, mut any) = (BytesMut::new(), false);
        loop {
            let read = timeout(LISTEN, from.read_buf(&mut buffer)).await;
            if self.conn.borrow().is_none() {
                return Err("could not be written to");
            }
            let Ok(read) = read else {
                let oldest = self.owed.borrow().front().map(|owed| owed.since);
                match oldest {
                    Some(since) if since.elapsed() >= SILENT => return Err("fell silent"),
                    None => drop(self.write(&["PING"], None)),
                    Some(_) => {}
                }
                continue;
            };
            // A connection that idles is closed by the counter; that and a reset end it alike.
            match read {
                Ok(0) | Err(_) => return Ok(any),
                Ok(_) => any = true,
            }
            while let Some((frame, ..)) = decode_bytes_mut(&mut buffer).map_err(|_| "no proper answer")? {
                let owed = self.owed.borrow_mut().pop_front().ok_or("an answer to no call")?;
                if let Some(name) = owed.name {
                    let outcome = self.outcome(&frame);
                    driver.feed(Event::Counter { name, outcome });
                }
            }
            if buffer.len() > ANSWER_MAX {
                return Err("an answer too long");
            }
        }
    }

    fn outcome(&self, frame: &BytesFrame) -> CounterOutcome {
        let total = match frame {
            BytesFrame::Error(_) => return CounterOutcome::Refused,
            BytesFrame::BulkString(text) => std::str::from_utf8(text).ok().and_then(|t| t.parse().ok()),
            _ => None,
        };
        match total.filter(|n: &f64| n.is_finite()) {
            Some(total) => CounterOutcome::Total(total),
            None => {
                note(&self.odd, "counter: an answer that is no total");
                CounterOutcome::Timeout
            }
        }
    }
}
