//! The counter: adds to named numbers, in RESP2, in all its moods.

use crate::Peer;
use bytes::BytesMut;
use hingestage_platform::{Listener, Platform};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The longest call, bytes.
const CALL_MAX: usize = 4096;
/// Names kept at most; past that those that ended are dropped.
const NAMES_MAX: usize = 100_000;

/// How the counter behaves for the time being.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// As it should.
    #[default]
    Good,
    /// Turns all calls away.
    Busy,
    /// Adds, and answers this much later.
    Late(Duration),
    /// Adds, and answers with what is no number.
    Spoilt,
    /// Adds, and never answers.
    Silent,
    /// Ends each connection at its first call, which it has added.
    Breaks,
}

/// The counter process.
pub struct Counter<P> {
    platform: P,
    mood: Cell<Mood>,
    /// Time that a call takes.
    pace: Duration,
    totals: RefCell<BTreeMap<String, (f64, Instant)>>,
    calls: Cell<u64>,
}

impl<P: Platform> Counter<P>
where
    P::Stream: Peer,
{
    /// One that has counted nothing; each call takes `pace`.
    pub fn new(platform: P, pace: Duration) -> Rc<Self> {
        let (mood, totals, calls) = (Cell::default(), RefCell::default(), Cell::new(0));
        Rc::new(Counter { platform, mood, pace, totals, calls })
    }

    /// How it behaves from now on.
    pub fn set(&self, mood: Mood) {
        self.mood.set(mood);
    }

    /// Forgets all that it has counted, as an empty replacement.
    pub fn forget(&self) {
        self.totals.borrow_mut().clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Serves until its task is ended.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        while let Ok(stream) = listener.accept().await {
            let counter = self.clone();
            self.platform.spawn(async move { counter.serve(stream).await });
        }
    }

    async fn serve(&self, mut stream: P::Stream) {
        let mut buffer = BytesMut::new();
        loop {
            match decode_bytes_mut(&mut buffer) {
                Ok(Some((call, ..))) => {
                    let Some(answer) = self.answer(&call).await else { return };
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Ok(None) if buffer.len() <= CALL_MAX => {
                    if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                        return;
                    }
                }
                _ => return,
            }
        }
    }

    /// The answer to a call; none where the connection is to end.
    async fn answer(&self, call: &BytesFrame) -> Option<String> {
        let words = words(call)?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let ["CNT.ADD", name, amount, keep] = words[..] else {
            return Some(if words.first() == Some(&"PING") { "+PONG\r\n" } else { "+OK\r\n" }.into());
        };
        let (Ok(amount), Ok(keep)) = (amount.parse::<f64>(), keep.parse::<u64>()) else {
            return Some("-ERR no number\r\n".into());
        };
        self.calls.set(self.calls.get() + 1);
        self.platform.sleep(self.pace).await;
        if self.mood.get() == Mood::Busy {
            return Some("-BUSY not now\r\n".into());
        }
        let total = self.add(name, amount, Duration::from_millis(keep.clamp(1, 60_000)));
        match self.mood.get() {
            Mood::Late(by) => self.platform.sleep(by).await,
            Mood::Spoilt => return Some("$5\r\nwords\r\n".into()),
            Mood::Silent => return Some(String::new()),
            Mood::Breaks => return None,
            Mood::Good | Mood::Busy => {}
        }
        let text = total.to_string();
        Some(format!("${}\r\n{text}\r\n", text.len()))
    }

    fn add(&self, name: &str, amount: f64, keep: Duration) -> f64 {
        let now = self.platform.now();
        let mut totals = self.totals.borrow_mut();
        if totals.len() > NAMES_MAX {
            totals.retain(|_, (_, until)| *until > now);
        }
        let entry = totals.entry(name.to_owned()).or_insert((0.0, now + keep));
        if entry.1 <= now {
            *entry = (0.0, now + keep);
        }
        entry.0 += amount;
        entry.0
    }
}

fn words(call: &BytesFrame) -> Option<Vec<String>> {
    let BytesFrame::Array(frames) = call else { return None };
    let word = |frame: &BytesFrame| match frame {
        BytesFrame::BulkString(bytes) => String::from_utf8(bytes.to_vec()).ok(),
        _ => None,
    };
    frames.iter().map(word).collect()
}
