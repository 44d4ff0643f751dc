//! Relays between gateways and all that they talk to. Each pair has a relay of its own, to which harm can be
//! done.
//!
//! The gateway's side is read at all times, whatever the link does to the bytes: so the end of a connection
//! and the first byte of a request are seen when the gateway caused them.

use crate::record::Record;
use crate::script::{Harm, Ways};
use bytes_queue::Queue;
use hingestage_platform::{Platform, Tokio};
use hingestage_test_servers::Peer;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Most bytes that wait in one direction of a connection; then the sender is no longer read.
const WAITING_MAX: usize = 1 << 20;
/// A target that can't be reached by then never is.
const CONNECT: Duration = Duration::from_secs(5);
/// Pause where no descriptor is left.
const PAUSE: Duration = Duration::from_millis(20);

/// Listens at a loopback address that nobody has.
pub async fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let error = |e: std::io::Error| format!("no port: {e}");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(error)?;
    let at = listener.local_addr().map_err(error)?;
    Ok((listener, at))
}

/// The link of a gateway to something.
pub struct Link {
    to: SocketAddr,
    /// Where the far end is a worker, its number.
    worker: Option<usize>,
    record: Rc<Record>,
    harm: Cell<Option<Harm>>,
    /// Changes of the link so far, and who waits for the next.
    version: Cell<u64>,
    changed: Notify,
    /// What is told once all goes on again.
    held: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Link {
    /// A link without harm that relays from an address of its own; gives that too.
    ///
    /// # Errors
    /// No port is free.
    pub async fn open(
        to: SocketAddr,
        worker: Option<usize>,
        record: &Rc<Record>,
    ) -> Result<(Rc<Link>, SocketAddr), String> {
        let link = Link::new(to, worker, record.clone());
        let (listener, at) = listen().await?;
        Tokio.spawn(link.clone().run(listener));
        Ok((link, at))
    }

    /// A link without harm.
    pub fn new(to: SocketAddr, worker: Option<usize>, record: Rc<Record>) -> Rc<Link> {
        let (harm, version, changed, held) = Default::default();
        Rc::new(Link { to, worker, record, harm, version, changed, held })
    }

    /// Does harm to it. Gives what undoes it, unless other harm has come since.
    pub fn harm(self: &Rc<Self>, harm: Harm) -> impl FnOnce() + use<> {
        self.set(Some(harm));
        let (link, version) = (self.clone(), self.version.get());
        move || {
            if link.version.get() == version {
                link.set(None);
            }
        }
    }

    fn set(&self, harm: Option<Harm>) {
        self.harm.set(harm);
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
        if harm.is_none() {
            self.held.take().iter().for_each(|tell| tell());
        }
    }

    /// Calls once what is sent to the gateway now has arrived: at once, when the link heals, or never, where
    /// it is lost.
    pub fn arrives(&self, tell: impl Fn() + 'static) {
        match self.harm.get() {
            None => tell(),
            Some(Harm::Silent(Ways::Both | Ways::In) | Harm::Reset) => {}
            Some(_) => self.held.borrow_mut().push(Box::new(tell)),
        }
    }

    async fn changed(&self, since: u64) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.version.get() != since {
                return;
            }
            changed.await;
        }
    }

    /// Relays whatever comes in, for ever.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((near, _)) => {
                    let link = self.clone();
                    Tokio.spawn(async move { link.carry(near).await });
                }
                Err(_) => Tokio.sleep(PAUSE).await,
            }
        }
    }

    fn resets(&self) -> bool {
        self.harm.get() == Some(Harm::Reset)
    }

    async fn carry(self: Rc<Self>, near: TcpStream) {
        let far = match self.resets() {
            true => None,
            false => Tokio.timeout(CONNECT, Tokio.connect(self.to)).await.ok().and_then(Result::ok),
        };
        let Some(far) = far else { return near.reset_on_drop() };
        let _ = near.set_nodelay(true);
        // The worker names the connection by its own port and ours.
        let port = far.local_addr().map_or(0, |at| u64::from(at.port()));
        let id = u64::from(self.to.port()) << 16 | port;
        let conn = Rc::new(Conn {
            id,
            unique: self.worker.map(|worker| self.record.opened(id, worker)),
            fresh: Cell::new(true),
            ended: Cell::new(false),
            lost: Cell::new(false),
            link: self.clone(),
        });
        let _gone = Gone(conn.clone());
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let mut out = Pipe::new(conn.clone(), Way::Out, near_in, far_out);
        let mut back = Pipe::new(conn.clone(), Way::In, far_in, near_out);
        let reset = tokio::select! {
            biased;
            () = conn.broken() => true,
            () = out.run() => false,
            () = back.run() => false,
        };
        if reset {
            // Both ends learn of it in the hard way.
            out.to.as_ref().reset_on_drop();
            back.to.as_ref().reset_on_drop();
        }
        conn.ends();
    }
}

/// A direction.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Out,
    In,
}

/// A connection through a link.
struct Conn {
    id: u64,
    /// Its own number, where the far end is a worker.
    unique: Option<u64>,
    /// No byte of a next request has come.
    fresh: Cell<bool>,
    ended: Cell<bool>,
    /// Something sent on it was lost.
    lost: Cell<bool>,
    link: Rc<Link>,
}

impl Conn {
    /// The gateway's side is over.
    fn ends(&self) {
        if let (Some(unique), false) = (self.unique, self.ended.replace(true)) {
            self.link.record.ended(unique);
        }
    }

    fn passes(&self, way: Way, at: Instant) {
        match way {
            Way::In => self.fresh.set(true),
            Way::Out if self.fresh.replace(false) && self.unique.is_some() => {
                self.link.record.begins(self.id, at);
            }
            Way::Out => {}
        }
    }

    /// Waits until the connection must be reset.
    async fn broken(&self) {
        loop {
            let version = self.link.version.get();
            let healed = self.lost.get() && self.link.harm.get().is_none();
            if self.link.resets() || healed {
                return;
            }
            self.link.changed(version).await;
        }
    }
}

/// Takes a connection off the record when its task ends, however it does.
struct Gone(Rc<Conn>);

impl Drop for Gone {
    fn drop(&mut self) {
        self.0.ends();
        self.0.unique.into_iter().for_each(|unique| self.0.link.record.gone(self.0.id, unique));
    }
}

/// One direction of a connection.
struct Pipe {
    conn: Rc<Conn>,
    way: Way,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    queue: Queue,
    open: bool,
    /// The far end takes nothing any more.
    deaf: bool,
}

impl Pipe {
    fn new(conn: Rc<Conn>, way: Way, from: OwnedReadHalf, to: OwnedWriteHalf) -> Pipe {
        Pipe { conn, way, from, to, queue: Queue::default(), open: true, deaf: false }
    }

    /// Passes bytes on until the sender has ended and all that it sent is delivered.
    async fn run(&mut self) {
        let link = self.conn.link.clone();
        loop {
            let version = link.version.get();
            let harm = link.harm.get();
            let now = Tokio.now();
            if self.queue.due(harm, now) == Some(now) {
                self.deliver(harm, now).await;
                continue;
            }
            if !self.open && self.queue.is_empty() {
                return;
            }
            let due = self.queue.due(harm, now);
            let wait = Tokio.sleep_until(due.unwrap_or(now));
            let mut buffer = [0; 16 * 1024];
            tokio::select! {
                biased;
                read = self.from.read(&mut buffer), if self.open && self.queue.len() < WAITING_MAX => {
                    match read {
                        Ok(n) if n > 0 => self.take(&buffer[..n], harm),
                        _ => self.close(),
                    }
                }
                () = wait, if due.is_some() => {}
                () = link.changed(version) => {}
            }
        }
    }

    fn close(&mut self) {
        self.open = false;
        if self.way == Way::Out {
            self.conn.ends();
        }
    }

    fn take(&mut self, bytes: &[u8], harm: Option<Harm>) {
        let now = Tokio.now();
        self.conn.passes(self.way, now);
        let lost = match harm {
            Some(Harm::Silent(Ways::Both)) => true,
            Some(Harm::Silent(Ways::Out)) => self.way == Way::Out,
            Some(Harm::Silent(Ways::In)) => self.way == Way::In,
            _ => false,
        };
        match lost {
            true => self.conn.lost.set(true),
            false => self.queue.push(bytes, now),
        }
    }

    async fn deliver(&mut self, harm: Option<Harm>, now: Instant) {
        let bytes = self.queue.pop(harm, now);
        if !self.deaf {
            self.deaf = self.to.write_all(&bytes).await.is_err();
        }
    }
}

/// Bytes on their way.
mod bytes_queue {
    use crate::script::Harm;
    use std::collections::VecDeque;
    use std::time::Instant;

    /// Chunks with the time at which they came.
    #[derive(Default)]
    pub struct Queue {
        chunks: VecDeque<(Instant, VecDeque<u8>)>,
        bytes: usize,
        /// When one last left.
        left: Option<Instant>,
    }

    impl Queue {
        pub fn len(&self) -> usize {
            self.bytes
        }

        pub fn is_empty(&self) -> bool {
            self.chunks.is_empty()
        }

        pub fn push(&mut self, bytes: &[u8], now: Instant) {
            self.bytes += bytes.len();
            self.chunks.push_back((now, bytes.iter().copied().collect()));
        }

        /// When the next bytes may leave: at once, later, or not before the link changes.
        pub fn due(&self, harm: Option<Harm>, now: Instant) -> Option<Instant> {
            let (came, _) = self.chunks.front()?;
            match harm {
                Some(Harm::Hold) => None,
                Some(Harm::Delay(by)) => Some((*came + by).max(now)),
                Some(Harm::Trickle(gap)) => Some(self.left.map_or(now, |left| (left + gap).max(now))),
                _ => Some(now),
            }
        }

        /// The bytes that leave now.
        pub fn pop(&mut self, harm: Option<Harm>, now: Instant) -> Vec<u8> {
            self.left = Some(now);
            let Some((_, front)) = self.chunks.front_mut() else { return Vec::new() };
            let most = if let Some(Harm::Trickle(_)) = harm { 1 } else { front.len() };
            let bytes: Vec<u8> = front.drain(..most.min(front.len())).collect();
            if front.is_empty() {
                self.chunks.pop_front();
            }
            self.bytes -= bytes.len();
            bytes
        }
    }

    #[cfg(test)]
    mod tests {
        use super::*;
        use std::time::Duration;

        const MS: Duration = Duration::from_millis(1);

        #[test]
        fn harm_says_when_bytes_leave_and_how_many() {
            let now = Instant::now();
            let mut queue = Queue::default();
            assert_eq!(queue.due(None, now), None);
            queue.push(b"abc", now);
            assert_eq!(queue.due(None, now), Some(now));
            assert_eq!(queue.due(Some(Harm::Hold), now + MS), None);
            assert_eq!(queue.due(Some(Harm::Delay(5 * MS)), now + MS), Some(now + 5 * MS));
            assert_eq!(queue.due(Some(Harm::Delay(5 * MS)), now + 9 * MS), Some(now + 9 * MS));
            let trickle = Some(Harm::Trickle(2 * MS));
            assert_eq!(queue.pop(trickle, now), b"a");
            assert_eq!(queue.due(trickle, now), Some(now + 2 * MS));
            assert_eq!((queue.pop(None, now), queue.len(), queue.is_empty()), (b"bc".to_vec(), 0, true));
        }
    }
}
