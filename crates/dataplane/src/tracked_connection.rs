//! A connection that counts its bytes, can be closed from outside, and refuses to write after
//! unsolicited input or too late.

use hingestage_platform::{Stream, Task};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// A slot of a limited number of connections; freed on drop.
pub struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    /// Takes a slot if fewer than `max` are taken.
    pub fn take(taken: &Rc<Cell<usize>>, max: usize) -> Option<ConnectionSlot> {
        (taken.get() < max).then(|| {
            taken.set(taken.get() + 1);
            ConnectionSlot(taken.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The gateway's handle on a connection that the HTTP library drives.
pub struct TrackedConnection<S> {
    stream: RefCell<Option<(S, ConnectionSlot)>>,
    written: Cell<u64>,
    read: Cell<u64>,
    /// Notified on each read.
    read_notify: Notify,
    /// Whether unsolicited input must fail the next write.
    fail_on_input: Cell<bool>,
    /// After this, the next write must fail.
    write_by: Cell<Option<Instant>>,
    now: Box<dyn Fn() -> Instant>,
    task: RefCell<Option<Box<dyn Task>>>,
}

impl<S: Stream> TrackedConnection<S> {
    /// Wraps a connected stream. `now` reads the clock.
    pub fn new(stream: S, place: ConnectionSlot, now: impl Fn() -> Instant + 'static) -> Rc<Self> {
        let stream = RefCell::new(Some((stream, place)));
        Rc::new(TrackedConnection {
            stream,
            written: Cell::new(0),
            read: Cell::new(0),
            read_notify: Notify::new(),
            fail_on_input: Cell::new(false),
            write_by: Cell::new(None),
            now: Box::new(now),
            task: RefCell::new(None),
        })
    }

    /// Sets the task that drives the connection; it is aborted on close.
    pub fn set_driver(&self, task: impl Task) {
        *self.task.borrow_mut() = Some(Box::new(task));
    }

    /// Bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until more than `mark` bytes have been read.
    pub async fn read_past(&self, mark: u64) {
        while self.read.get() <= mark {
            self.read_notify.notified().await;
        }
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read.get()
    }

    /// Makes the next write fail, with nothing written, if any input is pending: unsolicited input would be
    /// taken for the response to the next request. This asks the operating system, because the runtime's
    /// readiness may be stale.
    pub fn fail_on_pending_input(&self) {
        self.fail_on_input.set(true);
    }

    /// Makes the next write fail after `until`, with nothing written. The clock is read right before the write, because
    /// the system may stop the process at any time.
    pub fn write_by(&self, until: Instant) {
        self.write_by.set(Some(until));
    }

    fn check_in_time(&self) -> io::Result<()> {
        match self.write_by.get() {
            Some(until) if (self.now)() > until => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }

    fn check_no_input(&self) -> io::Result<()> {
        let stream = self.stream.borrow();
        let (true, Some((stream, _))) = (self.fail_on_input.replace(false), stream.as_ref()) else {
            return Ok(());
        };
        match stream.is_quiet() {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Closes the socket before returning. Aborting the tasks alone would leave it open until they next run,
    /// and a retry could overlap with this attempt.
    pub fn close(&self) {
        drop(self.stream.borrow_mut().take());
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    fn poll<T>(&self, poll: impl FnOnce(Pin<&mut S>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some((stream, _)) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    fn write(&self, poll: impl FnOnce(Pin<&mut S>) -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.check_no_input()?;
        self.check_in_time()?;
        let polled = self.poll(poll);
        if let Poll::Ready(Ok(n)) = polled {
            self.write_by.set(None);
            self.written.set(self.written.get() + n as u64);
        }
        polled
    }
}

/// The I/O side of a [`TrackedConnection`], used by the HTTP library.
pub struct TrackedIo<S: Stream>(pub Rc<TrackedConnection<S>>);

impl<S: Stream> Drop for TrackedIo<S> {
    fn drop(&mut self) {
        // The HTTP library has finished: free the descriptor at once.
        drop(self.0.stream.borrow_mut().take());
    }
}

impl<S: Stream> AsyncRead for TrackedIo<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.0.poll(|stream| stream.poll_read(cx, buf));
        let read = (buf.filled().len() - before) as u64;
        if read > 0 {
            self.0.read.set(self.0.read.get() + read);
            self.0.read_notify.notify_one();
        }
        polled
    }
}

impl<S: Stream> AsyncWrite for TrackedIo<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.write(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.0.write(|stream| stream.poll_write_vectored(cx, bufs))
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use tokio::net::TcpStream;

    /// Input that the runtime has not noticed yet must still fail the write.
    #[tokio::test]
    async fn a_write_fails_after_unsolicited_input() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let handle =
            TrackedConnection::new(stream, ConnectionSlot::take(&Rc::default(), 1).unwrap(), Instant::now);
        let mut io = TrackedIo(handle.clone());
        let mut buffer = [0; 8];
        // Clears the runtime's read readiness.
        let nothing = poll_fn(|cx| {
            let mut buffer = ReadBuf::new(&mut buffer);
            Poll::Ready(Pin::new(&mut io).poll_read(cx, &mut buffer).is_pending())
        });
        assert!(nothing.await);
        handle.fail_on_pending_input();
        assert_eq!(poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"one")).await.unwrap(), 3);
        std::io::Write::write_all(&mut peer, b"noise").unwrap();
        // Loopback delivers at once; the runtime has not polled in between.
        handle.fail_on_pending_input();
        let written = poll_fn(|cx| Poll::Ready(Pin::new(&mut io).poll_write(cx, b"two"))).await;
        assert!(matches!(written, Poll::Ready(Err(_))));
        assert_eq!(handle.bytes_written(), 3);
    }
}
