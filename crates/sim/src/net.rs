//! A simulated network: byte streams with latency, bandwidth, partial reads and writes, backlog, resets,
//! half-open ends, and machines that are cut off.
//!
//! What the ends of a real TCP connection can see is kept: bytes arrive in order and in arbitrary pieces;
//! closing with something unread resets; what arrives at a closed end is answered with a reset; bytes that
//! came before a reset can still be read; a machine that is cut off neither gets nor sends anything, and
//! what was on the way arrives once it is back.

use crate::executor::{current, Executor, Host, Nanos, Sleep, TaskId};
use hingestage_platform::{Datagrams, Listener, Platform, Stream};
use hingestage_test_servers::Peer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that one direction holds between the sender's write and the receiver's read.
const WINDOW: usize = 64 * 1024;
/// Bytes that the system takes at once where there is room.
const SMALL: usize = 2 * 1024;
/// Connections that a listener holds before they are accepted; further ones never come up.
const BACKLOG: usize = 128;

/// How fast things pass.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Least time one way.
    pub latency: Nanos,
    /// What may come on top, drawn for each piece.
    pub jitter: Nanos,
    /// Bytes a second.
    pub bandwidth: u64,
    /// One in so many writes and reads takes only a part; 0 for none.
    pub partial: u64,
}

impl Links {
    /// Each way takes 0.5 ms to the nanosecond and passes everything whole.
    pub fn exact() -> Links {
        Links { latency: 500_000, jitter: 0, bandwidth: u64::MAX, partial: 0 }
    }
}

impl Default for Links {
    fn default() -> Self {
        Links { latency: 150_000, jitter: 100_000, bandwidth: 125_000_000, partial: 8 }
    }
}

/// What the network tells of connections.
#[derive(Clone, Copy, Debug)]
pub enum Wired {
    /// Either end closed or broke it.
    Ended {
        /// Which connection.
        conn: u64,
        /// The machine that ended it.
        by: Host,
    },
}

type Job = Box<dyn FnOnce()>;
/// What a connect has come to, and who waits for it.
type Knocked = (Option<io::Result<End>>, Option<Waker>);
type Hook = Box<dyn Fn(Wired)>;
type LogHook = Box<dyn Fn(Host, String)>;

/// The network of a world. Cheap to clone.
#[derive(Clone)]
pub struct Net(Rc<Inner>);

struct Inner {
    executor: Executor,
    links: Links,
    next: Cell<u64>,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<Ear>>>,
    boxes: RefCell<BTreeMap<SocketAddr, Rc<Mailbox>>>,
    next_port: Cell<u16>,
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    cut: RefCell<BTreeSet<Host>>,
    /// Bytes a second that a machine is held to.
    slow: RefCell<BTreeMap<Host, u64>>,
    /// By how much later connections to a machine come up; none where they never do.
    knocks: RefCell<BTreeMap<Host, Option<Nanos>>>,
    /// Descriptors that a machine has.
    limits: RefCell<BTreeMap<Host, usize>>,
    /// By how much the clock of a machine is off, nanoseconds.
    clocks: RefCell<BTreeMap<Host, i64>>,
    /// What waits for a machine to be back.
    parked: RefCell<Vec<([Host; 2], Job)>>,
    hook: RefCell<Option<Hook>>,
    log: RefCell<Option<LogHook>>,
    /// What machines told last of their tables.
    gauges: RefCell<BTreeMap<(Host, &'static str), usize>>,
}

struct Ear {
    host: Host,
    backlog: RefCell<VecDeque<End>>,
    waker: RefCell<Option<Waker>>,
}

/// Datagrams that came for a socket and were not read.
struct Mailbox {
    host: Host,
    peer: Option<SocketAddr>,
    inbox: RefCell<VecDeque<(Vec<u8>, SocketAddr)>>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Default)]
struct Side {
    inbox: VecDeque<u8>,
    /// The peer has ended its sending, or the connection is broken.
    fin: bool,
    reset: bool,
    /// This end is closed.
    closed: bool,
    shut: bool,
    linger_reset: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Bytes sent from here and not read there.
    unread: usize,
    last_arrival: Nanos,
    sent: u64,
    /// Bytes that came in here while it was open.
    arrived: u64,
    /// When bytes were written, by the offset they end at.
    marks: VecDeque<(u64, Nanos)>,
}

impl Side {
    fn wake(&mut self) {
        [self.reader.take(), self.writer.take()].into_iter().flatten().for_each(Waker::wake);
    }
}

struct Conn {
    id: u64,
    hosts: [Host; 2],
    sides: RefCell<[Side; 2]>,
    ended: Cell<bool>,
    accepted: Cell<Option<Instant>>,
}

/// The address of a machine, inside the loopback range.
pub fn address(host: Host, port: u16) -> SocketAddr {
    let [_, a, b, c] = host.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, c)), port)
}

impl Net {
    /// A network without connections.
    pub fn new(executor: Executor, links: Links) -> Net {
        Net(Rc::new(Inner {
            executor,
            links,
            next: Cell::new(0),
            listeners: RefCell::default(),
            boxes: RefCell::default(),
            next_port: Cell::new(0),
            conns: RefCell::default(),
            cut: RefCell::default(),
            slow: RefCell::default(),
            knocks: RefCell::default(),
            limits: RefCell::default(),
            clocks: RefCell::default(),
            parked: RefCell::default(),
            hook: RefCell::default(),
            log: RefCell::default(),
            gauges: RefCell::default(),
        }))
    }

    /// Who hears of connections that end, and of what machines write to their logs.
    pub fn observe(&self, hook: impl Fn(Wired) + 'static, log: impl Fn(Host, String) + 'static) {
        *self.0.hook.borrow_mut() = Some(Box::new(hook));
        *self.0.log.borrow_mut() = Some(Box::new(log));
    }

    /// What a program on a machine runs on.
    pub fn platform(&self, host: Host) -> Sim {
        Sim { net: self.clone(), host }
    }

    /// Cuts a machine off: nothing reaches it and nothing leaves it.
    pub fn cut(&self, host: Host) {
        self.0.cut.borrow_mut().insert(host);
    }

    /// Joins a machine again: what was on the way arrives now.
    pub fn join(&self, host: Host) {
        self.0.cut.borrow_mut().remove(&host);
        let parked = std::mem::take(&mut *self.0.parked.borrow_mut());
        // At once and in order: on the clock, pieces of one connection might overtake each other.
        for (hosts, job) in parked {
            match self.reaches(hosts) {
                true => job(),
                false => self.0.parked.borrow_mut().push((hosts, job)),
            }
        }
    }

    /// Holds a machine to so many bytes a second, each way; `None` lifts it.
    pub fn throttle(&self, host: Host, bandwidth: Option<u64>) {
        match bandwidth {
            Some(bandwidth) => self.0.slow.borrow_mut().insert(host, bandwidth),
            None => self.0.slow.borrow_mut().remove(&host),
        };
    }

    /// Lets connections to a machine come up so much later, or never; `None` lifts it.
    pub fn delay_connects(&self, host: Host, late: Option<Option<Nanos>>) {
        match late {
            Some(late) => self.0.knocks.borrow_mut().insert(host, late),
            None => self.0.knocks.borrow_mut().remove(&host),
        };
    }

    /// Gives a machine so many descriptors; further ones are refused as a system refuses them.
    pub fn limit_descriptors(&self, host: Host, most: usize) {
        self.0.limits.borrow_mut().insert(host, most);
    }

    /// Puts a machine's clock off.
    pub fn set_clock(&self, host: Host, off: i64) {
        self.0.clocks.borrow_mut().insert(host, off);
    }

    /// Whether a machine has no descriptor left. What waits in a backlog has none yet.
    fn exhausted(&self, host: Host) -> bool {
        let most = self.0.limits.borrow().get(&host).copied();
        most.is_some_and(|most| {
            let waiting = |ear: &Rc<Ear>| if ear.host == host { ear.backlog.borrow().len() } else { 0 };
            let waiting: usize = self.0.listeners.borrow().values().map(waiting).sum();
            self.descriptors(host) - waiting >= most
        })
    }

    /// Ends a machine's process: its connections are reset, its listeners gone, its tasks dropped.
    pub fn kill(&self, host: Host) {
        let doomed: Vec<SocketAddr> = {
            let listeners = self.0.listeners.borrow();
            listeners.iter().filter(|(_, ear)| ear.host == host).map(|(at, _)| *at).collect()
        };
        for at in doomed {
            let ear = self.0.listeners.borrow_mut().remove(&at);
            if let Some(ear) = ear {
                let backlog = std::mem::take(&mut *ear.backlog.borrow_mut());
                backlog.iter().for_each(Peer::reset_on_drop);
                drop(backlog);
            }
        }
        let conns: Vec<Rc<Conn>> = self.0.conns.borrow().values().cloned().collect();
        for conn in conns {
            for side in (0..2).filter(|side| conn.hosts[*side] == host) {
                conn.sides.borrow_mut()[side].linger_reset = true;
                self.close(&conn, side);
            }
        }
        self.0.boxes.borrow_mut().retain(|_, mail| mail.host != host);
        self.0.executor.kill(host);
    }

    /// Opens a socket for datagrams on a machine; of the address only the port counts.
    fn open_box(&self, host: Host, port: u16, peer: Option<SocketAddr>) -> io::Result<Mail> {
        if self.exhausted(host) {
            return Err(io::Error::other("no descriptor left"));
        }
        let mut boxes = self.0.boxes.borrow_mut();
        let free = || {
            // As a system hands ports out: none that is in use.
            let next = self.0.next_port.get() % 16_384;
            self.0.next_port.set(next + 1);
            49_152 + next
        };
        let mut at = address(host, if port == 0 { free() } else { port });
        while port == 0 && boxes.contains_key(&at) {
            at = address(host, free());
        }
        if boxes.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let mail = Rc::new(Mailbox { host, peer, inbox: RefCell::default(), waker: RefCell::default() });
        boxes.insert(at, mail.clone());
        Ok(Mail { net: self.clone(), at, mail })
    }

    /// Sends a datagram: whole or not at all, in any order, and never to or from a machine that is cut off.
    fn post(&self, from: SocketAddr, bytes: Vec<u8>, to: SocketAddr) {
        let hosts = [self.host_at(from), self.host_at(to)];
        let net = self.clone();
        self.0.executor.at(self.0.executor.nanos() + self.one_way(), move || {
            let mail = net.0.boxes.borrow().get(&to).cloned();
            let Some(mail) = mail.filter(|_| net.reaches(hosts)) else { return };
            if mail.peer.is_some_and(|peer| peer != from) || mail.inbox.borrow().len() >= BACKLOG {
                return;
            }
            mail.inbox.borrow_mut().push_back((bytes, from));
            let waker = mail.waker.borrow_mut().take();
            waker.into_iter().for_each(Waker::wake);
        });
    }

    /// Ends that a machine holds open, those not yet accepted included.
    pub fn descriptors(&self, host: Host) -> usize {
        let conns = self.0.conns.borrow();
        let open =
            |conn: &Rc<Conn>, side: usize| conn.hosts[side] == host && !conn.sides.borrow()[side].closed;
        let ends = conns.values().map(|c| usize::from(open(c, 0)) + usize::from(open(c, 1))).sum::<usize>();
        let boxes = self.0.boxes.borrow().values().filter(|mail| mail.host == host).count();
        ends + boxes + self.0.listeners.borrow().values().filter(|ear| ear.host == host).count()
    }

    /// Tables of a machine that had entries when it last told.
    pub fn tables(&self, host: Host) -> Vec<(&'static str, usize)> {
        let gauges = self.0.gauges.borrow();
        gauges
            .iter()
            .filter(|((h, _), n)| *h == host && **n > 0)
            .map(|((_, table), n)| (*table, *n))
            .collect()
    }

    /// Whether a program listens there.
    pub fn listens(&self, at: SocketAddr) -> bool {
        self.0.listeners.borrow().contains_key(&at)
    }

    fn reaches(&self, hosts: [Host; 2]) -> bool {
        !hosts.iter().any(|host| self.0.cut.borrow().contains(host))
    }

    fn bandwidth(&self, hosts: [Host; 2]) -> u64 {
        let slow = self.0.slow.borrow();
        let held = hosts.iter().filter_map(|host| slow.get(host)).min().copied();
        held.unwrap_or(self.0.links.bandwidth).max(1)
    }

    fn one_way(&self) -> Nanos {
        self.0.links.latency + self.0.executor.draw(self.0.links.jitter + 1)
    }

    /// Does a job when a piece arrives, or once both machines are joined again.
    fn deliver_at(&self, at: Nanos, hosts: [Host; 2], job: impl FnOnce() + 'static) {
        let net = self.clone();
        self.0.executor.at(at, move || match net.reaches(hosts) {
            true => job(),
            false => net.0.parked.borrow_mut().push((hosts, Box::new(job))),
        });
    }

    /// Takes bytes for sending; gives how many.
    fn write(&self, conn: &Rc<Conn>, side: usize, bytes: &[u8]) -> io::Result<usize> {
        let mut sides = conn.sides.borrow_mut();
        let own = &mut sides[side];
        if own.reset || own.closed || own.shut {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let room = WINDOW.saturating_sub(own.unread);
        if room == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let mut n = bytes.len().min(room);
        // The system takes what is small whole.
        if n > SMALL && self.chance(self.0.links.partial) {
            n = SMALL + self.0.executor.draw((n - SMALL) as u64) as usize;
        }
        own.unread += n;
        own.sent += n as u64;
        let now = self.0.executor.nanos();
        own.marks.push_back((own.sent, now));
        let mut rest = &bytes[..n];
        while !rest.is_empty() {
            let split = rest.len() > 1 && self.chance(self.0.links.partial);
            let len = if split { 1 + self.0.executor.draw(rest.len() as u64) as usize } else { rest.len() };
            let piece = rest[..len].to_vec();
            rest = &rest[len..];
            let takes = (len as u64).saturating_mul(1_000_000_000) / self.bandwidth(conn.hosts);
            // Never at the instant of the piece before: it might overtake that.
            let at = (now + self.one_way() + takes).max(own.last_arrival + takes.max(1));
            own.last_arrival = at;
            let (net, conn) = (self.clone(), conn.clone());
            self.deliver_at(at, conn.hosts, move || net.arrive(&conn, 1 - side, &piece));
        }
        Ok(n)
    }

    fn chance(&self, one_in: u64) -> bool {
        one_in > 0 && self.0.executor.draw(one_in) == 0
    }

    fn arrive(&self, conn: &Rc<Conn>, side: usize, piece: &[u8]) {
        let mut sides = conn.sides.borrow_mut();
        let own = &mut sides[side];
        if own.closed {
            drop(sides);
            return self.send_reset(conn, side);
        }
        own.inbox.extend(piece);
        own.arrived += piece.len() as u64;
        if let Some(waker) = own.reader.take() {
            waker.wake();
        }
    }

    fn read(&self, conn: &Rc<Conn>, side: usize, buf: &mut ReadBuf) -> io::Result<usize> {
        let mut sides = conn.sides.borrow_mut();
        let own = &mut sides[side];
        let mut n = own.inbox.len().min(buf.remaining());
        if n == 0 {
            return match (own.reset, own.fin || own.closed) {
                (true, _) => Err(io::ErrorKind::ConnectionReset.into()),
                (_, true) => Ok(0),
                _ => Err(io::ErrorKind::WouldBlock.into()),
            };
        }
        if n > 1 && self.chance(self.0.links.partial) {
            n = 1 + self.0.executor.draw(n as u64) as usize;
        }
        for byte in own.inbox.drain(..n) {
            buf.put_slice(&[byte]);
        }
        let peer = &mut sides[1 - side];
        peer.unread -= n;
        if let Some(waker) = peer.writer.take() {
            waker.wake();
        }
        Ok(n)
    }

    /// Ends the sending of one side, behind what it has sent.
    fn shut(&self, conn: &Rc<Conn>, side: usize) {
        let mut sides = conn.sides.borrow_mut();
        let own = &mut sides[side];
        if own.shut || own.reset {
            return;
        }
        own.shut = true;
        // Behind the last byte: at the same instant it might overtake that.
        let at = (own.last_arrival + 1).max(self.0.executor.nanos() + self.one_way());
        own.last_arrival = at;
        let shared = conn.clone();
        self.deliver_at(at, conn.hosts, move || {
            let mut sides = shared.sides.borrow_mut();
            sides[1 - side].fin = true;
            if let Some(waker) = sides[1 - side].reader.take() {
                waker.wake();
            }
        });
    }

    fn send_reset(&self, conn: &Rc<Conn>, side: usize) {
        let last = conn.sides.borrow()[side].last_arrival;
        let at = (last + 1).max(self.0.executor.nanos() + self.one_way());
        let shared = conn.clone();
        self.deliver_at(at, conn.hosts, move || {
            let peer = &mut shared.sides.borrow_mut()[1 - side];
            peer.reset = true;
            peer.wake();
        });
    }

    fn close(&self, conn: &Rc<Conn>, side: usize) {
        let resets = {
            let own = &mut conn.sides.borrow_mut()[side];
            if own.closed {
                return;
            }
            own.closed = true;
            own.wake();
            (own.linger_reset || !own.inbox.is_empty()) && !own.reset
        };
        if resets {
            self.send_reset(conn, side);
        } else {
            self.shut(conn, side);
        }
        if !conn.ended.replace(true) {
            if let Some(hook) = self.0.hook.borrow().as_ref() {
                hook(Wired::Ended { conn: conn.id, by: conn.hosts[side] });
            }
        }
        if conn.sides.borrow().iter().all(|side| side.closed) {
            self.0.conns.borrow_mut().remove(&conn.id);
        }
    }

    async fn connect(&self, from: Host, to: SocketAddr) -> io::Result<End> {
        let outcome: Rc<RefCell<Knocked>> = Rc::default();
        let (net, told) = (self.clone(), outcome.clone());
        let there = self.host_at(to);
        if self.exhausted(from) {
            return Err(io::Error::other("no descriptor left"));
        }
        let late = self.0.knocks.borrow().get(&there).copied().unwrap_or(Some(0));
        let Some(late) = late else { return std::future::pending().await };
        self.deliver_at(self.0.executor.nanos() + self.one_way() + late, [from, there], move || {
            let Some(reply) = net.knock(from, to) else { return };
            net.deliver_at(net.0.executor.nanos() + net.one_way(), [from, there], move || {
                let mut told = told.borrow_mut();
                told.0 = Some(reply);
                if let Some(waker) = told.1.take() {
                    waker.wake();
                }
            });
        });
        poll_fn(|cx| {
            let mut outcome = outcome.borrow_mut();
            match outcome.0.take() {
                Some(reply) => Poll::Ready(reply),
                None => {
                    outcome.1 = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn host_at(&self, at: SocketAddr) -> Host {
        match at.ip() {
            IpAddr::V4(ip) => u32::from_be_bytes(ip.octets()) & 0x00ff_ffff,
            IpAddr::V6(_) => 0,
        }
    }

    /// A call at a listener: an end of a new connection, a refusal, or no answer where the backlog is full.
    fn knock(&self, from: Host, to: SocketAddr) -> Option<io::Result<End>> {
        let Some(ear) = self.0.listeners.borrow().get(&to).cloned() else {
            return Some(Err(io::ErrorKind::ConnectionRefused.into()));
        };
        if ear.backlog.borrow().len() >= BACKLOG {
            return None;
        }
        self.0.next.set(self.0.next.get() + 1);
        let id = self.0.next.get();
        let (hosts, sides) = ([from, ear.host], RefCell::default());
        let conn = Rc::new(Conn { id, hosts, sides, ended: Cell::new(false), accepted: Cell::new(None) });
        self.0.conns.borrow_mut().insert(id, conn.clone());
        let end = |side| End { net: self.clone(), conn: conn.clone(), side };
        ear.backlog.borrow_mut().push_back(end(1));
        if let Some(waker) = ear.waker.borrow_mut().take() {
            waker.wake();
        }
        Some(Ok(end(0)))
    }
}

/// One end of a connection. Dropping it closes it.
pub struct End {
    net: Net,
    conn: Rc<Conn>,
    side: usize,
}

impl End {
    fn pend<T>(
        &self,
        cx: &Context,
        done: io::Result<T>,
        waker: impl FnOnce(&mut Side) -> &mut Option<Waker>,
    ) -> Poll<io::Result<T>> {
        match done {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                *waker(&mut self.conn.sides.borrow_mut()[self.side]) = Some(cx.waker().clone());
                Poll::Pending
            }
            done => Poll::Ready(done),
        }
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.net.close(&self.conn, self.side);
    }
}

impl AsyncRead for End {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let done = self.net.read(&self.conn, self.side, buf).map(drop);
        self.pend(cx, done, |side| &mut side.reader)
    }
}

impl AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = self.net.write(&self.conn, self.side, bytes);
        self.pend(cx, done, |side| &mut side.writer)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.net.shut(&self.conn, self.side);
        Poll::Ready(Ok(()))
    }
}

impl Stream for End {
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.net.write(&self.conn, self.side, bytes)
    }

    fn is_quiet(&self) -> bool {
        let own = &self.conn.sides.borrow()[self.side];
        own.inbox.is_empty() && !own.fin && !own.reset
    }
}

impl Peer for End {
    fn reset_on_drop(&self) {
        self.conn.sides.borrow_mut()[self.side].linger_reset = true;
    }

    fn id(&self) -> Option<u64> {
        Some(self.conn.id)
    }

    fn accepted_at(&self) -> Option<Instant> {
        self.conn.accepted.get()
    }

    fn delivered(&self) -> Option<u64> {
        Some(self.conn.sides.borrow()[1 - self.side].arrived)
    }

    fn written_at(&self, offset: u64) -> Option<Instant> {
        let peer = &mut self.conn.sides.borrow_mut()[1 - self.side];
        while peer.marks.front().is_some_and(|(end, _)| *end < offset) {
            peer.marks.pop_front();
        }
        let at = peer.marks.front().map(|(_, at)| *at)?;
        let executor = &self.net.0.executor;
        Some(executor.instant() - Duration::from_nanos(executor.nanos() - at))
    }
}

/// Where connections come in.
pub struct Port {
    net: Net,
    at: SocketAddr,
    ear: Rc<Ear>,
}

impl Drop for Port {
    fn drop(&mut self) {
        let mut listeners = self.net.0.listeners.borrow_mut();
        if listeners.get(&self.at).is_some_and(|ear| Rc::ptr_eq(ear, &self.ear)) {
            listeners.remove(&self.at);
        }
        drop(listeners);
        let backlog = std::mem::take(&mut *self.ear.backlog.borrow_mut());
        // The system resets what nobody accepted.
        backlog.iter().for_each(Peer::reset_on_drop);
        drop(backlog);
    }
}

impl Listener for Port {
    type Stream = End;

    async fn accept(&self) -> io::Result<End> {
        poll_fn(|cx| {
            // As the system has it: what can't be accepted for want of a descriptor stays in the backlog.
            if !self.ear.backlog.borrow().is_empty() && self.net.exhausted(self.ear.host) {
                return Poll::Ready(Err(io::Error::other("no descriptor left")));
            }
            match self.ear.backlog.borrow_mut().pop_front() {
                Some(end) => {
                    end.conn.accepted.set(Some(self.net.0.executor.instant()));
                    Poll::Ready(Ok(end))
                }
                None => {
                    *self.ear.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

/// A socket for datagrams.
pub struct Mail {
    net: Net,
    at: SocketAddr,
    mail: Rc<Mailbox>,
}

impl Drop for Mail {
    fn drop(&mut self) {
        let mut boxes = self.net.0.boxes.borrow_mut();
        if boxes.get(&self.at).is_some_and(|mail| Rc::ptr_eq(mail, &self.mail)) {
            boxes.remove(&self.at);
        }
    }
}

impl Datagrams for Mail {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.net.post(self.at, bytes.to_vec(), to);
        Ok(())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| match self.mail.inbox.borrow_mut().pop_front() {
            Some((bytes, from)) => {
                let length = bytes.len().min(buffer.len());
                buffer[..length].copy_from_slice(&bytes[..length]);
                Poll::Ready(Ok((length, from)))
            }
            None => {
                *self.mail.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// The simulated platform, as one machine has it.
#[derive(Clone)]
pub struct Sim {
    net: Net,
    host: Host,
}

/// The world's clock, for the HTTP library.
#[derive(Clone, Copy, Debug)]
pub struct Clock;

impl hyper::rt::Timer for Clock {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep_until(current().instant() + span)
    }

    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep::until(at))
    }

    fn now(&self) -> Instant {
        current().instant()
    }
}

/// Unix time at which all worlds begin: any would do.
pub const EPOCH: Duration = Duration::from_secs(1_790_000_000);

impl Platform for Sim {
    type Stream = End;
    type Listener = Port;
    type Datagrams = Mail;
    type Sleep = Sleep;
    type Timer = Clock;
    type Task = TaskId;

    fn now(&self) -> Instant {
        self.net.0.executor.instant()
    }

    fn unix_time(&self) -> Duration {
        let off = self.net.0.clocks.borrow().get(&self.host).copied().unwrap_or(0);
        EPOCH + Duration::from_nanos(self.net.0.executor.nanos().saturating_add_signed(off))
    }

    fn sleep_until(&self, at: Instant) -> Sleep {
        Sleep::until(at)
    }

    fn timer(&self) -> Clock {
        Clock
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskId {
        self.net.0.executor.spawn(self.host, task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<End> {
        self.net.connect(self.host, to).await
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<Port> {
        let ear = Rc::new(Ear { host: self.host, backlog: RefCell::default(), waker: RefCell::default() });
        let mut listeners = self.net.0.listeners.borrow_mut();
        if listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        listeners.insert(at, ear.clone());
        Ok(Port { net: self.net.clone(), at, ear })
    }

    async fn datagrams(&self, at: SocketAddr, peer: Option<SocketAddr>) -> io::Result<Mail> {
        self.net.open_box(self.host, at.port(), peer)
    }

    fn gauge(&self, table: &'static str, entries: usize) {
        self.net.0.gauges.borrow_mut().insert((self.host, table), entries);
    }

    fn log(&self, line: fmt::Arguments) {
        if let Some(log) = self.net.0.log.borrow().as_ref() {
            log(self.host, line.to_string());
        }
    }
}
