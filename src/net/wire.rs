//! A TCP connection that counts what it has written and can be closed at once from outside.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// One of a bounded number of places; free again when dropped.
pub struct Place(Rc<Cell<usize>>);

impl Place {
    /// Takes a place if fewer than `most` are taken.
    pub fn take(taken: &Rc<Cell<usize>>, most: usize) -> Option<Place> {
        (taken.get() < most).then(|| {
            taken.set(taken.get() + 1);
            Place(taken.clone())
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The part of a connection that stays in hand while the HTTP library drives the rest.
pub struct Wire {
    stream: RefCell<Option<(TcpStream, Place)>>,
    written: Cell<u64>,
    driver: RefCell<Option<AbortHandle>>,
}

impl Wire {
    /// Takes a connection in.
    pub fn new(stream: TcpStream, place: Place) -> Rc<Wire> {
        let stream = RefCell::new(Some((stream, place)));
        Rc::new(Wire { stream, written: Cell::new(0), driver: RefCell::new(None) })
    }

    /// Names the task that drives it, which ends with it.
    pub fn driven_by(&self, task: AbortHandle) {
        *self.driver.borrow_mut() = Some(task);
    }

    /// Bytes that the system has taken for sending so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Closes the connection before this returns. Merely ending the tasks round it would leave it open until
    /// they are next run, and a further attempt could meet this one still out.
    pub fn close(&self) {
        drop(self.stream.borrow_mut().take());
        if let Some(task) = self.driver.borrow_mut().take() {
            task.abort();
        }
    }

    fn poll<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some((stream, _)) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = polled {
            self.written.set(self.written.get() + n as u64);
        }
        polled
    }
}

/// The side of a [`Wire`] that the HTTP library reads and writes.
pub struct WireIo(pub Rc<Wire>);

impl Drop for WireIo {
    fn drop(&mut self) {
        // The library is done with it: no descriptor may outlive that.
        drop(self.0.stream.borrow_mut().take());
    }
}

impl AsyncRead for WireIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_read(cx, buf))
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.count(self.0.poll(|stream| stream.poll_write(cx, buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.0.count(self.0.poll(|stream| stream.poll_write_vectored(cx, bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_shutdown(cx))
    }
}
