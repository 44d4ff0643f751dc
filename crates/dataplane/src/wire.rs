//! A connection that counts what passes, can be closed at once from outside, and writes nothing new
//! where something unasked has come in.

use hingestage_platform::{Stream, Task};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

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
pub struct Wire<S> {
    stream: RefCell<Option<(S, Place)>>,
    written: Cell<u64>,
    read: Cell<u64>,
    /// Told of whatever has been read.
    heard: Notify,
    /// Whether nothing may have come in by the time of the next write.
    silent: Cell<bool>,
    driver: RefCell<Option<Box<dyn Task>>>,
}

impl<S: Stream> Wire<S> {
    /// Takes a connection in.
    pub fn new(stream: S, place: Place) -> Rc<Self> {
        let stream = RefCell::new(Some((stream, place)));
        Rc::new(Wire {
            stream,
            written: Cell::new(0),
            read: Cell::new(0),
            heard: Notify::new(),
            silent: Cell::new(false),
            driver: RefCell::new(None),
        })
    }

    /// Names the task that drives it, which ends with it.
    pub fn driven_by(&self, task: impl Task) {
        *self.driver.borrow_mut() = Some(Box::new(task));
    }

    /// Bytes that the system has taken for sending so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until more than `mark` bytes have been read.
    pub async fn read_past(&self, mark: u64) {
        while self.read.get() <= mark {
            self.heard.notified().await;
        }
    }

    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Lets the next write fail, with nothing written, if anything can be read by then. What has come in
    /// unasked would be taken for the answer to what is written next. The system itself is asked: the
    /// runtime knows only what it was told when it last waited.
    pub fn expect_silence(&self) {
        self.silent.set(true);
    }

    fn check_silence(&self) -> io::Result<()> {
        let stream = self.stream.borrow();
        let (true, Some((stream, _))) = (self.silent.replace(false), stream.as_ref()) else { return Ok(()) };
        match stream.is_quiet() {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Closes the connection before this returns. Merely ending the tasks round it would leave it open until
    /// they are next run, and a further attempt could meet this one still out.
    pub fn close(&self) {
        drop(self.stream.borrow_mut().take());
        if let Some(task) = self.driver.borrow_mut().take() {
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
        self.check_silence()?;
        let polled = self.poll(poll);
        if let Poll::Ready(Ok(n)) = polled {
            self.written.set(self.written.get() + n as u64);
        }
        polled
    }
}

/// The side of a [`Wire`] that the HTTP library reads and writes.
pub struct WireIo<S: Stream>(pub Rc<Wire<S>>);

impl<S: Stream> Drop for WireIo<S> {
    fn drop(&mut self) {
        // The library is done with it: no descriptor may outlive that.
        drop(self.0.stream.borrow_mut().take());
    }
}

impl<S: Stream> AsyncRead for WireIo<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.0.poll(|stream| stream.poll_read(cx, buf));
        let read = (buf.filled().len() - before) as u64;
        if read > 0 {
            self.0.read.set(self.0.read.get() + read);
            self.0.heard.notify_one();
        }
        polled
    }
}

impl<S: Stream> AsyncWrite for WireIo<S> {
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

    /// What has come in and the runtime has not noticed yet must stop a write all the same.
    #[tokio::test]
    async fn nothing_is_written_where_something_unasked_has_come_in() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let wire = Wire::new(stream, Place::take(&Rc::default(), 1).unwrap());
        let mut io = WireIo(wire.clone());
        let mut buffer = [0; 8];
        // The runtime learns that there is nothing to read.
        let nothing = poll_fn(|cx| {
            let mut buffer = ReadBuf::new(&mut buffer);
            Poll::Ready(Pin::new(&mut io).poll_read(cx, &mut buffer).is_pending())
        });
        assert!(nothing.await);
        wire.expect_silence();
        assert_eq!(poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"one")).await.unwrap(), 3);
        std::io::Write::write_all(&mut peer, b"noise").unwrap();
        // Over loopback it has arrived; no turn of the runtime's loop lies in between.
        wire.expect_silence();
        let written = poll_fn(|cx| Poll::Ready(Pin::new(&mut io).poll_write(cx, b"two"))).await;
        assert!(matches!(written, Poll::Ready(Err(_))));
        assert_eq!(wire.written(), 3);
    }
}
