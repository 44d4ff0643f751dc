//! RPC client: one connection per peer, opened on demand and reopened after a failure.

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

/// Connect timeout. Shorter than the kernel's one-second SYN retransmission, so that a restarted machine is found
/// sooner by a new attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that written bytes may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Encoded calls that may wait to be written.
const WRITE_QUEUE_MAX: usize = 256;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established: the peer did not receive the call.
    Unreachable,
    /// The connection broke: the peer may have received the call.
    Broken,
    /// The call timed out: the peer may have received it.
    Timeout,
    /// The answer can't be decoded.
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

/// Calls without an answer yet, by call number.
type PendingCalls = RefCell<HashMap<u64, oneshot::Sender<Frame>>>;

struct Connection {
    queue: mpsc::Sender<Bytes>,
    pending: Rc<PendingCalls>,
    writer: AbortHandle,
    reader: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.writer.abort();
        self.reader.abort();
    }
}

/// Client for one peer.
pub struct Client<Request, Answer> {
    addr: SocketAddr,
    next_call: Cell<u64>,
    connection: tokio::sync::Mutex<Option<Rc<Connection>>>,
    messages: PhantomData<(Request, Answer)>,
}

impl<Request: Serialize, Answer: DeserializeOwned> Client<Request, Answer> {
    /// Creates a client without connecting.
    pub fn new(addr: SocketAddr) -> Self {
        Client {
            addr,
            next_call: Cell::new(1),
            connection: tokio::sync::Mutex::new(None),
            messages: PhantomData,
        }
    }

    /// The peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for its answer. A timeout closes the connection, because the peer may be frozen or
    /// partitioned; the next call connects again.
    ///
    /// # Errors
    /// The call failed; see [`CallError`].
    pub async fn call(&self, request: &Request, within: Duration) -> Result<Answer, CallError> {
        let connection = self.connect_or_reuse().await?;
        let number = self.next_call.replace(self.next_call.get() + 1);
        let (reply, answer) = oneshot::channel();
        connection.pending.borrow_mut().insert(number, reply);
        if connection.queue.send(Frame::encode(number, request)).await.is_err() {
            self.discard(&connection).await;
            return Err(CallError::Broken);
        }
        match timeout(within, answer).await {
            Ok(Ok(frame)) => frame.decode().map_err(|_| CallError::Unreadable),
            Ok(Err(_)) => {
                self.discard(&connection).await;
                Err(CallError::Broken)
            }
            Err(_) => {
                self.discard(&connection).await;
                Err(CallError::Timeout)
            }
        }
    }

    async fn connect_or_reuse(&self) -> Result<Rc<Connection>, CallError> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_open()) {
            return Ok(connection.clone());
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(CallError::Unreachable) };
        set_socket_options(&stream);
        let connection = Rc::new(Connection::start(stream));
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Fails the pending calls of a broken connection and drops it from the slot, unless it was already replaced.
    async fn discard(&self, broken: &Rc<Connection>) {
        let mut slot = self.connection.lock().await;
        if slot.as_ref().is_some_and(|current| Rc::ptr_eq(current, broken)) {
            *slot = None;
        }
        broken.pending.borrow_mut().clear();
    }
}

/// Disables Nagle's algorithm and sets the timeout for unacknowledged data.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

impl Connection {
    fn start(stream: TcpStream) -> Connection {
        let (read, write) = stream.into_split();
        let (queue, frames) = mpsc::channel(WRITE_QUEUE_MAX);
        let pending = Rc::<PendingCalls>::default();
        let writer = spawn_local(write_frames(write, frames)).abort_handle();
        let reader = spawn_local(read_answers(read, Rc::downgrade(&pending))).abort_handle();
        Connection { queue, pending, writer, reader }
    }

    /// Whether both the reader and the writer task are still running.
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

async fn read_answers(mut read: OwnedReadHalf, pending: Weak<PendingCalls>) {
    let mut read = tokio::io::BufReader::new(&mut read);
    loop {
        let next = frame::read(&mut read).await;
        let Some(pending) = pending.upgrade() else { return };
        match next {
            Ok(frame) => {
                let reply = pending.borrow_mut().remove(&frame.call);
                // The caller may have timed out.
                reply.into_iter().for_each(|reply| drop(reply.send(copy_frame(&frame))));
            }
            Err(error) => {
                if !matches!(error, FrameError::Io(_)) {
                    log::warn!("a peer's answer: {error}");
                }
                pending.borrow_mut().clear();
                return;
            }
        }
    }
}

fn copy_frame(frame: &Frame) -> Frame {
    Frame { call: frame.call, body: frame.body.clone() }
}
