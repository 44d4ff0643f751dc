//! The connection to the counter: calls written one behind another, answers taken in their order.

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

/// Time to connect; a machine that is cut off never answers.
const CONNECT: Duration = Duration::from_millis(500);
/// An answer this late means that the connection leads nowhere; until then all calls go unanswered.
const SILENT: Duration = Duration::from_millis(500);
/// Pause after which an idle connection is asked for a sign of life, well before the counter would close it.
const LISTEN: Duration = Duration::from_millis(250);
/// Time for the rest of an answer that has begun; all others wait behind it.
const REST: Duration = Duration::from_millis(100);
/// The longest answer, bytes: a number or a line.
const ANSWER_MAX: usize = 4096;
/// Answers owed at most; past that the connection is given up.
const OWED_MAX: usize = 4096;

/// An answer that the counter owes.
struct Owed {
    seq: u64,
    question: Question,
    since: Instant,
}

/// For whom a call is made. Names may be alike: what one counts, another may count as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// The decisions.
    Decisions,
    /// The fleet's roll call.
    Roll,
    /// Other gateways, for whom this one looks.
    Turns,
}

/// What was asked.
enum Question {
    Ping,
    /// A call, until our own time-out has ended it.
    Call(Option<(Asker, CounterName)>),
}

/// One connection to the counter, with the answers owed on it.
struct Line<P: Platform> {
    platform: P,
    /// None once it has been given up.
    stream: RefCell<Option<P::Stream>>,
    /// Told once a call could not be written.
    failed: Notify,
    owed: RefCell<VecDeque<Owed>>,
    /// Takes no more calls; over once it owes nothing.
    retired: Cell<bool>,
}

impl<P: Platform> Line<P> {
    fn new(platform: P, stream: P::Stream) -> Rc<Self> {
        let stream = RefCell::new(Some(stream));
        let (owed, retired) = (RefCell::default(), Cell::new(false));
        Rc::new(Line { platform, stream, failed: Notify::new(), owed, retired })
    }

    /// Writes a call whole, or not at all as far as the counter can tell. A full or broken connection is
    /// given up: its last call has not come whole, so that nothing was added by it.
    fn write(&self, seq: u64, words: &[&str], question: Question) -> bool {
        let mut call = format!("*{}\r\n", words.len());
        for word in words {
            call.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        let mut stream = self.stream.borrow_mut();
        let Some(open) = stream.as_ref() else { return false };
        let room = self.owed.borrow().len() < OWED_MAX;
        if !room || !matches!(open.try_write(call.as_bytes()), Ok(n) if n == call.len()) {
            *stream = None;
            self.failed.notify_one();
            return false;
        }
        self.owed.borrow_mut().push_back(Owed { seq, question, since: self.platform.now() });
        true
    }

    /// Ends a call whose answer has not come; gives its name. The answer is still owed and will be dropped:
    /// taking it for the next call's would shift every total to a wrong name.
    fn expire(&self, seq: u64) -> Option<(Asker, CounterName)> {
        match self.owed.borrow_mut().iter_mut().find(|owed| owed.seq == seq)?.question {
            Question::Call(ref mut call) => call.take(),
            Question::Ping => None,
        }
    }
}

/// The side of a [`Line`] that is read.
struct Reader<'a, P: Platform>(&'a Line<P>);

impl<P: Platform> AsyncRead for Reader<'_, P> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<std::io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }
}

/// Who hears how a call ended: exactly once for each call.
pub type Tell = Box<dyn Fn(Asker, CounterName, CounterOutcome)>;

/// The counter, wherever it is.
pub struct Counter<P: Platform> {
    platform: P,
    tell: Tell,
    at: Cell<Option<SocketAddr>>,
    moved: Notify,
    wait: Duration,
    line: RefCell<Option<Rc<Line<P>>>>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl<P: Platform> Counter<P> {
    /// Not connected yet; `wait` is how long a call may take.
    pub fn new(platform: P, at: Option<SocketAddr>, wait: Micros, tell: Tell) -> Rc<Self> {
        let (at, moved, line) = (Cell::new(at), Notify::new(), RefCell::default());
        let wait = Duration::from_micros(wait);
        Rc::new(Counter { platform, tell, at, moved, wait, line, next: Cell::new(0), odd: Cell::new(0) })
    }

    /// Goes over to another address. The old connection is used until there is a new one, and then still
    /// gives the answers that it owes.
    pub fn go_to(&self, at: SocketAddr) {
        if self.at.replace(Some(at)) != Some(at) {
            self.moved.notify_one();
        }
    }

    /// Adds to a number. The answer, exactly one, comes as an event.
    pub fn call(self: &Rc<Self>, asker: Asker, name: CounterName, amount: f64, keep: Micros) {
        let keep = keep.div_ceil(1_000).max(1).to_string();
        let words = ["CNT.ADD", &name.0, &amount.to_string(), &keep];
        let line = self.line.borrow().clone();
        let (seq, question) = (self.seq(), Question::Call(Some((asker, name.clone()))));
        let Some(line) = line.filter(|line| line.write(seq, &words, question)) else {
            return (self.tell)(asker, name, CounterOutcome::Refused);
        };
        let (counter, sleep) = (self.clone(), self.platform.sleep(self.wait));
        self.platform.spawn(async move {
            sleep.await;
            if let Some((asker, name)) = line.expire(seq) {
                (counter.tell)(asker, name, CounterOutcome::Timeout);
            }
        });
    }

    fn seq(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Keeps a connection for ever. The counter closes one that is idle; that is no failure.
    pub async fn run(self: Rc<Self>) {
        let mut backoff = Backoff::new();
        loop {
            let Some(at) = self.at.get() else { return };
            if let Ok(Ok(stream)) = self.platform.timeout(CONNECT, self.platform.connect(at)).await {
                let line = Line::new(self.platform.clone(), stream);
                if let Some(old) = self.line.replace(Some(line.clone())) {
                    old.retired.set(true);
                }
                let (ended, listening) = oneshot::channel();
                let listen = listen(self.clone(), line);
                self.platform.spawn(async move {
                    // Nobody waits for it any more where the counter has moved.
                    let _ = ended.send(listen.await);
                });
                tokio::select! {
                    biased;
                    () = self.moved.notified() => backoff = Backoff::new(),
                    any = listening => {
                        // One that has served is replaced at once: until then no call can be made.
                        if any.unwrap_or(false) {
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

    /// What was written and not answered may have been added: it counts as added and is never added again.
    fn hang_up(&self, line: &Rc<Line<P>>) {
        *line.stream.borrow_mut() = None;
        let current = self.line.borrow().as_ref().is_some_and(|now| Rc::ptr_eq(now, line));
        if current {
            *self.line.borrow_mut() = None;
        }
        let owed = std::mem::take(&mut *line.owed.borrow_mut());
        for owed in owed {
            if let Question::Call(Some((asker, name))) = owed.question {
                (self.tell)(asker, name, CounterOutcome::Timeout);
            }
        }
    }

    /// Reads answers until the connection ends; notes in `any` whether any came.
    async fn read(&self, line: &Line<P>, any: &mut bool) -> Result<(), &'static str> {
        let mut from = Reader(line);
        let mut buffer = BytesMut::new();
        loop {
            if line.retired.get() && line.owed.borrow().is_empty() {
                return Ok(());
            }
            let half = !buffer.is_empty();
            let wait = self.platform.sleep(if half { REST } else { LISTEN });
            let read = tokio::select! {
                biased;
                () = line.failed.notified() => return Err("could not be written to"),
                read = from.read_buf(&mut buffer) => Some(read),
                () = wait => None,
            };
            let Some(read) = read else {
                if half {
                    return Err("half an answer");
                }
                let oldest = line.owed.borrow().front().map(|owed| owed.since);
                match oldest {
                    Some(since) if self.platform.since(since) >= SILENT => return Err("fell silent"),
                    None => drop(line.write(self.seq(), &["PING"], Question::Ping)),
                    Some(_) => {}
                }
                continue;
            };
            // A connection that idles is closed by the counter; that and a reset end it alike.
            if !matches!(read, Ok(n) if n > 0) {
                return Ok(());
            }
            *any = true;
            while let Some((frame, ..)) = decode_bytes_mut(&mut buffer).map_err(|_| "no proper answer")? {
                let owed = line.owed.borrow_mut().pop_front().ok_or("an answer to no call")?;
                self.take_in(owed.question, &frame)?;
            }
            if buffer.len() > ANSWER_MAX {
                return Err("an answer too long");
            }
        }
    }

    /// Takes in one answer. One that fits no question ends the connection: whatever comes after it may belong
    /// to another call, and a total told of the wrong customer boxes it.
    fn take_in(&self, question: Question, frame: &BytesFrame) -> Result<(), &'static str> {
        let (call, outcome) = match (question, frame) {
            (Question::Ping, BytesFrame::SimpleString(_) | BytesFrame::Error(_)) => return Ok(()),
            (Question::Ping, _) => return Err("no answer to a ping"),
            (Question::Call(call), frame) => (call, outcome(frame)),
        };
        if let Some((asker, name)) = call {
            (self.tell)(asker, name, outcome.unwrap_or(CounterOutcome::Timeout));
        }
        outcome.map(drop).ok_or("an answer that is no total")
    }
}

/// Reads a connection to its end, and settles what it still owes. Tells whether it has served.
async fn listen<P: Platform>(counter: Rc<Counter<P>>, line: Rc<Line<P>>) -> bool {
    let mut any = false;
    if let Err(what) = counter.read(&line, &mut any).await {
        log_sparsely(&counter.platform, &counter.odd, format_args!("counter: {what}"));
    }
    counter.hang_up(&line);
    any
}

/// What an answer to a call says; none where it says nothing that can be read.
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
