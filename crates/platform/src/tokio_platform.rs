//! The Tokio implementation: single-threaded, TCP and UDP, system clocks, log on standard error.

use crate::{Datagrams, Listener, Platform, Stream, Task};
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use std::fmt;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::AbortHandle;

/// Environment variable that shifts the system clock by this many seconds, for tests with clock skew.
pub const CLOCK_OFFSET_VARIABLE: &str = "HINGESTAGE_CLOCK_AHEAD";
/// Maximum clock shift, seconds; larger or invalid values are ignored.
const CLOCK_OFFSET_MAX_S: f64 = 3_600.0;

/// Requires a running Tokio runtime with a `LocalSet`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokio;

impl Platform for Tokio {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;
    type Sleep = tokio::time::Sleep;
    type Timer = TokioTimer;
    type Task = AbortHandle;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_s = std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|seconds| seconds.parse().ok());
        let Some(offset_s) = offset_s.filter(|offset_s: &f64| offset_s.abs() <= CLOCK_OFFSET_MAX_S) else {
            return now;
        };
        self.log(format_args!("{CLOCK_OFFSET_VARIABLE}: the system clock is shifted by {offset_s} s"));
        let offset = Duration::from_secs_f64(offset_s.abs());
        if offset_s > 0.0 {
            now + offset
        } else {
            now.saturating_sub(offset)
        }
    }

    fn sleep_until(&self, at: Instant) -> Self::Sleep {
        tokio::time::sleep_until(at.into())
    }

    fn timer(&self) -> Self::Timer {
        TokioTimer::new()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task {
        tokio::task::spawn_local(task).abort_handle()
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        with_nodelay(TcpStream::connect(to).await?)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn datagrams(&self, at: SocketAddr, peer: Option<SocketAddr>) -> io::Result<UdpSocket> {
        let socket = UdpSocket::bind(at).await?;
        if let Some(peer) = peer {
            socket.connect(peer).await?;
        }
        Ok(socket)
    }

    fn log(&self, line: fmt::Arguments) {
        eprintln!("hingestage: {line}");
    }
}

/// Send buffer of an accepted connection, bytes; the kernel doubles it.
const SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Disables Nagle's algorithm: messages are small and must not wait for acknowledgements.
fn with_nodelay(stream: TcpStream) -> io::Result<TcpStream> {
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

impl Stream for TcpStream {
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        TcpStream::try_write(self, bytes)
    }

    fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Datagrams for UdpSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        match self.peer_addr() {
            Ok(_) => UdpSocket::send(self, bytes).await,
            Err(_) => self.send_to(bytes, to).await,
        }
        .map(drop)
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // A large send buffer uses memory and hides whether the peer still reads.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        with_nodelay(stream)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }
}

impl Task for AbortHandle {
    fn abort(&self) {
        AbortHandle::abort(self);
    }
}
