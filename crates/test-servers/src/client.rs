//! Clients: the usual ones, with a pool of connections each, and those that behave badly.

use crate::{End, Message, Observer, Peer, Reader, Seen};
use hingestage_platform::{Platform, Stream};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How a usual client writes, and whether it stays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Manner {
    /// At once, and waits until its time is up.
    #[default]
    Usual,
    /// In pieces of so many bytes with a pause between.
    Slowly(usize, Duration),
    /// Leaves this long after its last byte.
    Leaves(Duration),
}

/// A request as a client makes it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id, new with every request.
    pub id: String,
    /// Its class, first part of the path.
    pub class: String,
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The plan.
    pub tier: String,
    /// The account, a number below 2^33.
    pub account: u64,
    /// Units that it takes.
    pub units: f64,
    /// Through how many gateways the account comes, and the first of them.
    pub spread: (u32, u32),
    /// How long the client says that it waits.
    pub patience: Duration,
    /// How much longer it does: for a machine so slow that time itself tells little.
    pub allowance: Duration,
    /// The body.
    pub body: Vec<u8>,
    /// How it is written.
    pub manner: Manner,
}

impl Ask {
    /// The bytes of the request.
    pub fn text(&self) -> Vec<u8> {
        let length = match self.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", self.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nX-Tier: {}\r\n\
             Cookie: client={:016x}\r\nRequest-Timeout: {:.3}\r\n{length}\
             X-Call-Terms: units={},spread={},first={}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.class,
            self.tier,
            self.account,
            self.patience.as_secs_f64(),
            self.units,
            self.spread.0,
            self.spread.1
        );
        let mut text = head.into_bytes();
        text.extend_from_slice(&self.body);
        text
    }
}

/// How soon after the first byte of a request its connection must be taken in to count as taken in at once.
const AT_ONCE: Duration = Duration::from_millis(10);

struct Line<S> {
    reader: Reader<S>,
    written: u64,
    used: bool,
}

/// Connections of usual clients to one gateway.
pub struct Pool<P: Platform> {
    platform: P,
    to: SocketAddr,
    idle: RefCell<Vec<Line<P::Stream>>>,
    observer: Observer,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answer(Message),
    /// With a connection that ended, or none to be had.
    Broken,
    /// Its time was up, or it left.
    Left,
}

enum Heard {
    Message(Result<Message, End>),
    Late,
    Gone,
}

impl<P: Platform> Pool<P>
where
    P::Stream: Peer,
{
    /// A pool without connections.
    pub fn new(platform: P, to: SocketAddr, observer: Observer) -> Rc<Self> {
        Rc::new(Pool { platform, to, idle: RefCell::default(), observer })
    }

    /// Asks once, and once more where a kept connection turns out to be closed before the request was taken.
    pub async fn ask(&self, ask: &Ask) -> Ended {
        let kept = self.kept().await;
        let used = kept.is_some();
        match self.ask_on(kept, ask).await {
            // The gateway closed it between two requests; it has not read this one.
            (Ended::Broken, false) if used => self.ask_on(None, ask).await.0,
            (ended, _) => ended,
        }
    }

    /// Closes the connections that idle; tells of bytes that nobody asked for.
    pub async fn close(&self) {
        while let Some(line) = self.kept().await {
            drop(line);
        }
    }

    async fn kept(&self) -> Option<Line<P::Stream>> {
        loop {
            let mut line = self.idle.borrow_mut().pop()?;
            if line.reader.has_more() {
                (self.observer)(Seen::Unasked { conn: line.reader.id().unwrap_or_default() });
                continue;
            }
            if line.reader.stream.is_quiet() {
                return Some(line);
            }
            if line.reader.begin().await.is_ok() {
                (self.observer)(Seen::Unasked { conn: line.reader.id().unwrap_or_default() });
            }
        }
    }

    /// Asks on a connection; also tells whether the request may have been taken in.
    async fn ask_on(&self, line: Option<Line<P::Stream>>, ask: &Ask) -> (Ended, bool) {
        let mut line = match line {
            Some(line) => line,
            None => {
                let connect = self.platform.connect(self.to);
                match self.platform.timeout(ask.patience + ask.allowance, connect).await {
                    Ok(Ok(stream)) => Line { reader: Reader::new(stream), written: 0, used: false },
                    _ => return (Ended::Broken, false),
                }
            }
        };
        let id = ask.id.clone();
        let text = ask.text();
        let end = line.written + text.len() as u64;
        let asked = self.platform.now();
        (self.observer)(Seen::Asking { id: id.clone() });
        let written = write(&self.platform, &mut line.reader, &text, ask.manner).await;
        line.written = end;
        if written {
            (self.observer)(Seen::Asked { id: id.clone(), conn: line.reader.id().unwrap_or_default() });
        }
        let owed = ask.patience + ask.allowance;
        let stays = match ask.manner {
            Manner::Leaves(after) => after.min(owed),
            _ => owed,
        };
        let timer = self.platform.sleep(stays);
        let heard = tokio::select! {
            biased;
            message = line.reader.message() => Heard::Message(message),
            () = timer => if stays == owed { Heard::Late } else { Heard::Gone },
        };
        match heard {
            Heard::Message(Ok(message)) => {
                let retry_after = message.header("retry-after").and_then(|value| value.parse().ok());
                let (status, body) = (message.status(), message.body.clone());
                (self.observer)(Seen::Answered { id, status, body, retry_after });
                line.used = true;
                if !message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    self.idle.borrow_mut().push(line);
                }
                (Ended::Answer(message), true)
            }
            Heard::Message(Err(_)) => {
                // What was never accepted nobody has taken in, though the machine may have all of it.
                let accepted = line.reader.stream.accepted_at().is_some();
                let taken = line.reader.stream.delivered().map(|n| n >= end && written && accepted);
                (self.observer)(Seen::Unanswered { id, taken, first: !line.used });
                (Ended::Broken, taken.unwrap_or(false))
            }
            Heard::Late | Heard::Gone => {
                let accepted = line.reader.stream.accepted_at().is_some_and(|at| at <= asked + AT_ONCE);
                (self.observer)(Seen::Left { id, late: matches!(heard, Heard::Late), accepted });
                (Ended::Left, true)
            }
        }
    }
}

async fn write<P: Platform>(platform: &P, reader: &mut Reader<P::Stream>, text: &[u8], manner: Manner) -> bool
where
    P::Stream: Peer,
{
    let Manner::Slowly(piece, gap) = manner else { return reader.write(text).await };
    for (n, part) in text.chunks(piece.max(1)).enumerate() {
        if n > 0 {
            platform.sleep(gap).await;
        }
        if !reader.write(part).await {
            return false;
        }
    }
    true
}

/// Whether a gateway says that it can serve.
pub async fn is_up<P: Platform>(platform: P, at: SocketAddr) -> bool
where
    P::Stream: Peer,
{
    said_well(platform, at, "GET /up").await
}

/// Gets something, as operators do. Whether it was answered with 200.
pub async fn get<P: Platform>(platform: P, at: SocketAddr, path: &str) -> bool
where
    P::Stream: Peer,
{
    said_well(platform, at, &format!("GET {path}")).await
}

/// Posts an empty call, such as operators make. Whether it was answered with 200.
pub async fn post<P: Platform>(platform: P, at: SocketAddr, path: &str) -> bool
where
    P::Stream: Peer,
{
    said_well(platform, at, &format!("POST {path}")).await
}

async fn said_well<P: Platform>(platform: P, at: SocketAddr, call: &str) -> bool
where
    P::Stream: Peer,
{
    let Ok(stream) = platform.connect(at).await else { return false };
    let mut reader = Reader::new(stream);
    let request = format!("{call} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n\r\n");
    reader.write(request.as_bytes()).await
        && reader.message().await.is_ok_and(|answer| answer.status() == 200)
}

/// Ways to behave badly.
pub const RUDE: [&str; 12] = [
    "silent",
    "noise",
    "half-head",
    "endless-head",
    "half-body",
    "huge-body",
    "negative-length",
    "both-framings",
    "unknown-class",
    "bad-units",
    "no-id",
    "hundreds",
];
/// How long one that behaves badly waits for its error or close.
const OWED: Duration = Duration::from_secs(3);
/// The same where it has tens of MB to send.
const OWED_LONG: Duration = Duration::from_secs(6);
/// Most that one writes, bytes.
const RUDE_MAX: usize = 4 << 20;

/// Behaves badly in one of the ways of [`RUDE`], and tells what came of it. `usual` is a good request of the
/// same site, whose id no other client uses.
pub async fn rude<P: Platform>(
    platform: P,
    to: SocketAddr,
    what: &'static str,
    usual: Ask,
    observer: Observer,
) where
    P::Stream: Peer,
{
    let Ok(Ok(stream)) = platform.timeout(OWED, platform.connect(to)).await else { return };
    let mut reader = Reader::new(stream);
    let begun = platform.now();
    let owed = if what == "huge-body" { OWED_LONG } else { OWED };
    let until = platform.now() + owed;
    let text = rude_text(what, &usual);
    let mut status = None;
    let ended = platform
        .timeout_at(until, async {
            // Whoever keeps writing reads too: an error may come first.
            for part in text.chunks(16 * 1024) {
                if !reader.write(part).await {
                    return;
                }
            }
            while let Ok(message) = reader.message().await {
                status = Some(message.status());
                if message.status() >= 400 {
                    return;
                }
            }
        })
        .await;
    // What stood in line for a descriptor is owed nothing by the time of its connect.
    let accepted = reader.stream.accepted_at().is_some_and(|at| at <= begun + AT_ONCE);
    observer(Seen::Rebuked { what, status, late: ended.is_err() && accepted });
}

fn rude_text(what: &str, usual: &Ask) -> Vec<u8> {
    let good = String::from_utf8_lossy(&usual.text()).into_owned();
    let post = good.replace("X-Call-Terms", "Content-Length: 60000000\r\nX-Call-Terms");
    let text = match what {
        "silent" => String::new(),
        "noise" => "\u{1}\u{2}what is this\r\n\r\n".repeat(3),
        "half-head" => good[..good.len() / 2].to_owned(),
        "endless-head" => {
            good.trim_end().to_owned() + "\r\n" + &"X-More: and more\r\n".repeat(RUDE_MAX / 16 / 18)
        }
        "half-body" => good.replace("X-Call-Terms", "Content-Length: 100\r\nX-Call-Terms") + "half of it",
        "huge-body" => post + &"x".repeat(RUDE_MAX),
        "negative-length" => good.replace("X-Call-Terms", "Content-Length: -5\r\nX-Call-Terms"),
        "both-framings" => {
            let hidden = good.replace(&usual.id, "smuggled00000000");
            let outer = good
                .replace("X-Call-Terms", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\nX-Call-Terms");
            format!("{outer}0\r\n\r\n{hidden}")
        }
        "unknown-class" => good.replace("Request-Class: ", "Request-Class: un"),
        "bad-units" => good.replace("units=", "units=-"),
        "no-id" => good.replace("Request-Id:", "X-Nothing:"),
        _ => good.replace("Cookie: client=", "Cookie: client=zz").repeat(200),
    };
    text.into_bytes()
}
