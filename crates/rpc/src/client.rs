//! The calling side: one connection to a peer, made when it is needed and again after it broke.

use crate::frame::{self, Frame, FrameError};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// How long a connection may take to come up. A machine without power gives no answer, and the system repeats the
/// first packet only after a second: giving up early and asking anew finds it sooner once it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long written bytes may stay unacknowledged before the system gives a connection up.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);
/// Calls that may wait to be written.
const QUEUE: usize = 256;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up: the peer did not get the call.
    Unreachable,
    /// The connection broke: the peer may have got it.
    Broken,
    /// No answer in time: the peer may have got it.
    Timeout,
    /// The answer can't be read.
    Unreadable,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CallError::Unreachable => "unreachable",
            CallError::Broken => "the connection broke",
            CallError::Timeout => "no answer in time",
            CallError::Unreadable => "an answer that can't be read",
        })
    }
}

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Frame>>>>;

struct Connection {
    queue: mpsc::Sender<Bytes>,
    waiting: Waiting,
    writer: AbortHandle,
    reader: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.writer.abort();
        self.reader.abort();
    }
}

/// A peer that can be called.
pub struct Client<Request, Answer> {
    addr: SocketAddr,
    next: Cell<u64>,
    connection: tokio::sync::Mutex<Option<Rc<Connection>>>,
    messages: PhantomData<(Request, Answer)>,
}

impl<Request: Serialize, Answer: DeserializeOwned> Client<Request, Answer> {
    /// A peer at an address. Nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, next: Cell::new(1), connection: tokio::sync::Mutex::new(None), messages: PhantomData }
    }

    /// Where the peer is.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes a call. A call that is not answered in time ends its connection: the peer may be frozen or cut
    /// off, and the next call is to find out by a new one.
    ///
    /// # Errors
    /// No answer; see [`CallError`].
    pub async fn call(&self, request: &Request, within: Duration) -> Result<Answer, CallError> {
        let connection = self.connected().await?;
        let number = self.next.replace(self.next.get() + 1);
        let (reply, answer) = oneshot::channel();
        connection.waiting.borrow_mut().insert(number, reply);
        if connection.queue.send(Frame::encode(number, request)).await.is_err() {
            self.forget(&connection).await;
            return Err(CallError::Broken);
        }
        match timeout(within, answer).await {
            Ok(Ok(frame)) => frame.decode().map_err(|_| CallError::Unreadable),
            Ok(Err(_)) => {
                self.forget(&connection).await;
                Err(CallError::Broken)
            }
            Err(_) => {
                self.forget(&connection).await;
                Err(CallError::Timeout)
            }
        }
    }

    async fn connected(&self) -> Result<Rc<Connection>, CallError> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_open()) {
            return Ok(connection.clone());
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(CallError::Unreachable) };
        tune(&stream);
        let connection = Rc::new(Connection::start(stream));
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Ends a connection, unless a newer one has taken its place.
    async fn forget(&self, broken: &Rc<Connection>) {
        let mut slot = self.connection.lock().await;
        if slot.as_ref().is_some_and(|current| Rc::ptr_eq(current, broken)) {
            *slot = None;
        }
        broken.waiting.borrow_mut().clear();
    }
}

/// Small messages are sent at once, and a silent peer is noticed.
pub(crate) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
}

impl Connection {
    fn start(stream: TcpStream) -> Connection {
        let (read, write) = stream.into_split();
        let (queue, frames) = mpsc::channel(QUEUE);
        let waiting = Waiting::default();
        let writer = spawn_local(write_frames(write, frames)).abort_handle();
        let reader = spawn_local(read_answers(read, Rc::downgrade(&waiting))).abort_handle();
        Connection { queue, waiting, writer, reader }
    }

    /// Whether a call may be answered here, as far as is known: neither side has ended.
    fn is_open(&self) -> bool {
        !self.queue.is_closed() && !self.reader.is_finished()
    }
}

async fn write_frames(mut write: OwnedWriteHalf, mut frames: mpsc::Receiver<Bytes>) {
    while let Some(frame) = frames.recv().await {
        if frame::write(&mut write, &frame).await.is_err() {
            return;
        }
    }
}

async fn read_answers(mut read: OwnedReadHalf, waiting: Weak<RefCell<HashMap<u64, oneshot::Sender<Frame>>>>) {
    let mut read = tokio::io::BufReader::new(&mut read);
    loop {
        let next = frame::read(&mut read).await;
        let Some(waiting) = waiting.upgrade() else { return };
        match next {
            Ok(frame) => {
                let reply = waiting.borrow_mut().remove(&frame.call);
                // Whoever asked may have given up.
                reply.into_iter().for_each(|reply| drop(reply.send(frame_of(&frame))));
            }
            Err(error) => {
                if !matches!(error, FrameError::Io(_)) {
                    log::warn!("a peer's answer: {error}");
                }
                waiting.borrow_mut().clear();
                return;
            }
        }
    }
}

fn frame_of(frame: &Frame) -> Frame {
    Frame { call: frame.call, body: frame.body.clone() }
}
