//! A worker: cores, a queue, a cold start, answers good and spoilt.

use crate::site::KEYED;
use crate::{End, Observer, Peer, Reader, Seen};
use hingestage_platform::{Listener, Platform};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its number, by which it is told from others.
    pub number: usize,
    /// Requests that it runs at once.
    pub cores: usize,
    /// Requests that may wait for a core; further ones are turned away.
    pub queue: usize,
    /// Work that a core does in a second, seconds.
    pub speed: f64,
    /// Share of its capacity that it starts with, and the time until it has all of it.
    pub cold: (f64, Duration),
    /// When it started cold; none for one that is warm.
    pub started: Option<Instant>,
    /// Whether it runs on what its caller has given up.
    pub runs_on: bool,
    /// Its zone.
    pub zone: &'static str,
    /// Its cell, of those in its zone.
    pub cell: u64,
}

/// The keys that a group of workers has seen, each until when it is remembered.
pub type Keys = Rc<RefCell<BTreeMap<String, Instant>>>;

impl Spec {
    /// The share of its capacity that it has at an instant.
    pub fn share(&self, now: Instant) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_duration_since(started).as_secs_f64();
        (self.cold.0 + (1.0 - self.cold.0) * age / self.cold.1.as_secs_f64().max(1e-9)).min(1.0)
    }
}

/// How a worker behaves for the time being.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// As it should.
    #[default]
    Good,
    /// Takes requests and answers none.
    Silent,
    /// Resets the connection once so many bytes of its answer are written.
    ResetAnswer(usize),
    /// Resets the connection once so many bytes of a request have come.
    ResetAsked(usize),
    /// Writes its answer byte by byte, with this pause between two.
    Trickle(Duration),
    /// Works slower, by this factor.
    Slower(f64),
    /// Answers with bytes that are no answer.
    Noise,
    /// Answers with a head that doesn't end.
    EndlessHead,
    /// Says that its body is longer than it is.
    WrongLength,
    /// Says that its body has 3 GB, and keeps sending.
    Huge,
    /// Sends its answer twice.
    Twice,
    /// Sends noise right behind its answer.
    NoiseBehind,
    /// Sends 1xx answers ahead.
    Interim,
    /// Answers with an error, having run.
    Error,
    /// Turns everything away.
    Full,
    /// Brings figures that can't be read along.
    Figures,
    /// Closes the connection after each answer.
    Closes,
}

/// Most that a worker sends of an answer without an end, bytes.
const ENDLESS: usize = 512 * 1024;

/// Most work of a request, seconds, whatever it says of itself.
const LONGEST_WORK: f64 = 3_600.0;

/// A worker process.
pub struct Worker<P> {
    platform: P,
    spec: Spec,
    mood: Cell<Mood>,
    draining: Cell<bool>,
    cores: Semaphore,
    waiting: Cell<usize>,
    answers: Cell<u64>,
    served: Cell<u64>,
    /// Whose repeats it drops, and for how long a key is remembered.
    keys: RefCell<Option<(Keys, Duration)>>,
    observer: Observer,
}

impl<P: Platform> Worker<P>
where
    P::Stream: Peer,
{
    /// One that behaves and has heard nothing.
    pub fn new(platform: P, spec: Spec, observer: Observer) -> Rc<Self> {
        let cores = Semaphore::new(spec.cores.max(1));
        Rc::new(Worker {
            platform,
            spec,
            mood: Cell::default(),
            draining: Cell::new(false),
            cores,
            waiting: Cell::new(0),
            answers: Cell::new(0),
            served: Cell::new(0),
            keys: RefCell::default(),
            observer,
        })
    }

    /// What it is.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// How it behaves from now on.
    pub fn set(&self, mood: Mood) {
        self.mood.set(mood);
    }

    /// How it behaves.
    pub fn mood(&self) -> Mood {
        self.mood.get()
    }

    /// Lets it drop repeats of keyed requests together with all that share `keys`.
    pub fn remember(&self, keys: Keys, window: Duration) {
        *self.keys.borrow_mut() = Some((keys, window));
    }

    /// Whether its group has seen this keyed request before; if it `runs` now, it has from now on.
    fn repeated(&self, id: &str, query: &str, runs: bool) -> bool {
        let class = query.split('/').nth(1);
        let keys = self.keys.borrow();
        let Some((keys, window)) = keys.as_ref().filter(|_| class == Some(KEYED)) else { return false };
        let (now, mut keys) = (self.platform.now(), keys.borrow_mut());
        keys.retain(|_, until| *until > now);
        let known = keys.contains_key(id);
        if runs {
            keys.entry(id.to_owned()).or_insert(now + *window);
        }
        known
    }

    /// Turns new requests away from now on, and finishes what it has.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Good answers so far.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Requests that run or wait.
    pub fn held(&self) -> usize {
        self.waiting.get() + self.spec.cores.max(1) - self.cores.available_permits()
    }

    /// Serves until its task is ended.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        while let Ok(stream) = listener.accept().await {
            let worker = self.clone();
            self.platform.spawn(async move { worker.serve(stream).await });
        }
    }

    async fn serve(&self, stream: P::Stream) {
        let mut reader = Reader::new(stream);
        // Reset before it was taken: nobody could tell whose request is on it.
        if reader.id().is_none() {
            return;
        }
        while self.serve_one(&mut reader).await.is_ok() {}
    }

    async fn serve_one(&self, reader: &mut Reader<P::Stream>) -> Result<(), End> {
        reader.begin().await?;
        let (worker, conn) = (self.spec.number, reader.id().unwrap_or_default());
        let written = reader.stream.written_at(reader.passed() + 1);
        let began = written.unwrap_or_else(|| self.platform.now());
        (self.observer)(Seen::Began { worker, conn, at: began });
        if let Mood::ResetAsked(after) = self.mood.get() {
            reader.bytes(after).await?;
            reader.stream.reset_on_drop();
            return Err(End::Broken);
        }
        let message = match reader.message().await {
            Err(End::Nonsense) => {
                self.plain(reader, "400 Bad Request", "").await;
                return Err(End::Nonsense);
            }
            read => read?,
        };
        let id = message.header("request-id").unwrap_or_default().to_owned();
        let query = message.path().to_owned();
        (self.observer)(Seen::Whole { worker, conn, message, began });
        if id.is_empty() {
            self.plain(reader, "404 Not Found", "").await;
            return Ok(());
        }
        self.work(reader, &id, &query).await
    }

    async fn work(&self, reader: &mut Reader<P::Stream>, id: &str, query: &str) -> Result<(), End> {
        let full = self.waiting.get() >= self.spec.queue && self.cores.available_permits() == 0;
        match self.mood.get() {
            Mood::Silent => {
                reader.ended().await;
                return Err(End::Closed);
            }
            _ if full || self.draining.get() || self.mood.get() == Mood::Full => {
                self.plain(reader, "503 Service Unavailable", "Not-Started: 1\r\n").await;
                return Ok(());
            }
            _ => {}
        }
        // A repeat is known by its coming, however long it waits then.
        let repeated = self.repeated(id, query, false);
        let _core = {
            let _waits = Waits::new(&self.waiting);
            tokio::select! {
                biased;
                core = self.cores.acquire() => core.map_err(|_| End::Closed)?,
                // What waits for a core is dropped once its caller has gone.
                () = reader.ended() => return Err(End::Closed),
            }
        };
        if repeated || self.repeated(id, query, true) {
            return self.answer(reader, id, query).await;
        }
        (self.observer)(Seen::Ran { worker: self.spec.number, id: id.to_owned() });
        let slower = if let Mood::Slower(factor) = self.mood.get() { factor } else { 1.0 };
        let work = (parameter(query, "work").unwrap_or(10.0) / 1e3 * slower).clamp(0.0, LONGEST_WORK);
        let time = work / self.spec.speed.max(1e-3) / self.spec.share(self.platform.now());
        let mut done = std::pin::pin!(self.platform.sleep(Duration::from_secs_f64(time)));
        let gone = tokio::select! {
            biased;
            () = done.as_mut() => false,
            () = reader.ended() => true,
        };
        if gone {
            if self.spec.runs_on {
                done.await;
            }
            return Err(End::Closed);
        }
        self.answer(reader, id, query).await
    }

    async fn plain(&self, reader: &mut Reader<P::Stream>, status: &str, headers: &str) {
        let (worker, conn) = (self.spec.number, reader.id().unwrap_or_default());
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n");
        (self.observer)(Seen::Answering { conn });
        if reader.write(text.as_bytes()).await {
            (self.observer)(Seen::Wrote { worker, conn, never: headers.starts_with("Not-Started") });
        }
    }

    /// Writes the answer to a request that has run, spoilt as the mood has it.
    async fn answer(&self, reader: &mut Reader<P::Stream>, id: &str, query: &str) -> Result<(), End> {
        let (worker, conn) = (self.spec.number, reader.id().unwrap_or_default());
        let mood = self.mood.get();
        if mood == Mood::Error {
            self.plain(reader, "500 Internal Server Error", "").await;
            return Ok(());
        }
        self.answers.set(self.answers.get() + 1);
        let body = format!("{id} run by {worker} as its {}", self.answers.get());
        let length = body.len() + if mood == Mood::WrongLength { 40 } else { 0 };
        let mut head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n");
        if let Some(units) = parameter(query, "true") {
            head.push_str(&format!("X-Cost-Units: {units}\r\n"));
        }
        match mood {
            Mood::Figures => head.push_str("X-RateLimit-Used: lots\r\nServer-Load: util=\r\n"),
            Mood::Closes => head.push_str("Connection: close\r\n"),
            _ => {}
        }
        let whole = format!("{head}\r\n{body}");
        (self.observer)(Seen::Answering { conn });
        let spoilt = match mood {
            Mood::Noise => Some("what is this\r\n\r\n".repeat(4)),
            Mood::EndlessHead => Some(format!("{head}X-Long: {}", "x".repeat(ENDLESS))),
            Mood::Huge => {
                Some(format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(ENDLESS)))
            }
            Mood::WrongLength => Some(whole.clone()),
            Mood::ResetAnswer(after) => Some(whole[..after.min(whole.len())].to_owned()),
            _ => None,
        };
        if let Some(spoilt) = spoilt {
            if spoilt == whole && mood != Mood::WrongLength {
                // Reset right behind its last byte, it may arrive all the same.
                (self.observer)(Seen::Made { id: id.to_owned(), body: body.clone().into_bytes() });
            }
            reader.write(spoilt.as_bytes()).await;
            if let Mood::ResetAnswer(_) = mood {
                reader.stream.reset_on_drop();
                return Err(End::Broken);
            }
            // Of no further use, and open until the other side closes it.
            reader.ended().await;
            return Err(End::Closed);
        }
        (self.observer)(Seen::Made { id: id.to_owned(), body: body.clone().into_bytes() });
        if mood == Mood::Interim {
            reader.write(b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n").await;
        }
        let written = if let Mood::Trickle(gap) = mood {
            let mut written = true;
            for byte in whole.as_bytes() {
                written = written && reader.write(std::slice::from_ref(byte)).await;
                self.platform.sleep(gap).await;
            }
            written
        } else {
            reader.write(whole.as_bytes()).await
        };
        if written {
            self.served.set(self.served.get() + 1);
            (self.observer)(Seen::Wrote { worker, conn, never: false });
        }
        match mood {
            Mood::Twice => drop(reader.write(whole.as_bytes()).await),
            Mood::NoiseBehind => drop(reader.write(b"\r\nnoise behind\r\n\r\n").await),
            Mood::Closes => return Err(End::Closed),
            _ => {}
        }
        Ok(())
    }
}

/// Counts one that waits, for as long as it lives.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waits(count)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A number from the query of a path.
pub fn parameter(path: &str, name: &str) -> Option<f64> {
    let query = path.split_once('?')?.1;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok().filter(|n: &f64| n.is_finite())
}
