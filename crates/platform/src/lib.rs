//! The interface between the gateway and its runtime environment.
//!
//! The gateway is generic over [`Platform`] and uses no sockets or clocks of its own. [`Tokio`] is the real
//! implementation; the simulator has one with a virtual clock. Dispatch is static.
//!
//! Points in time are `std::time::Instant`, as the HTTP library requires, but only [`Platform::now`] creates
//! them. Random numbers come from the configured seed; behaviour must not depend on the iteration order of
//! hash tables.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod tokio_platform;

pub use tokio_platform::{Tokio, CLOCK_OFFSET_VARIABLE};

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// Unix time that is read once and then advances with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at `since`, µs.
    unix_micros: u64,
    since: Instant,
}

impl Clock {
    /// Reads the system clock.
    pub fn new(platform: &impl Platform) -> Clock {
        Clock { unix_micros: platform.unix_time().as_micros() as u64, since: platform.now() }
    }

    /// Unix time at `now`, µs.
    pub fn micros(&self, now: Instant) -> u64 {
        self.unix_micros + now.saturating_duration_since(self.since).as_micros() as u64
    }
}

/// The runtime environment: network, time, tasks and a log. Handles are cheap to clone.
pub trait Platform: Clone + 'static {
    /// An established connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A datagram socket.
    type Datagrams: Datagrams;
    /// A future that completes at a point in time.
    type Sleep: Future<Output = ()> + 'static;
    /// The timer type of the HTTP library.
    type Timer: hyper::rt::Timer + Send + Sync + 'static;
    /// A handle on a spawned task.
    type Task: Task;

    /// The current time on a monotonic clock.
    fn now(&self) -> Instant;

    /// Unix time by the system clock, which may jump.
    fn unix_time(&self) -> Duration;

    /// Waits until `at`; completes at once if that is past.
    fn sleep_until(&self, at: Instant) -> Self::Sleep;

    /// A timer for the HTTP library.
    fn timer(&self) -> Self::Timer;

    /// Spawns a task on the current thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a connection, without a timeout: an unreachable host may never answer.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens at an address; port 0 picks a free port.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Binds a datagram socket; port 0 picks a random free port. With `peer`, only datagrams from that peer
    /// are received.
    fn datagrams(
        &self,
        at: SocketAddr,
        peer: Option<SocketAddr>,
    ) -> impl Future<Output = io::Result<Self::Datagrams>>;

    /// Writes a line to the log.
    fn log(&self, line: fmt::Arguments);

    /// Reports the size of a table, for leak detection.
    fn gauge(&self, _table: &'static str, _entries: usize) {}

    /// Waits for a duration.
    fn sleep(&self, span: Duration) -> Self::Sleep {
        self.sleep_until(self.now() + span)
    }

    /// Time elapsed since `at`, or zero if that is in the future.
    fn since(&self, at: Instant) -> Duration {
        self.now().saturating_duration_since(at)
    }

    /// Runs a future until `at`. A future that is ready at the deadline still succeeds.
    fn timeout_at<F: Future>(
        &self,
        at: Instant,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        let sleep = self.sleep_until(at);
        async move {
            tokio::select! {
                biased;
                done = future => Ok(done),
                () = sleep => Err(Elapsed),
            }
        }
    }

    /// Runs a future for at most `span`.
    fn timeout<F: Future>(
        &self,
        span: Duration,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + span, future)
    }
}

/// A connection. Dropping it closes it at once; unread input causes a reset.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Writes as many bytes as fit into the send buffer, or fails with `WouldBlock`.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Whether no unread input or end of stream is pending, according to the operating system; the runtime's
    /// readiness may be stale.
    fn is_quiet(&self) -> bool;
}

/// A listening socket. Dropping it refuses further connections.
pub trait Listener: 'static {
    /// The type of accepted connections.
    type Stream;

    /// Accepts a connection. The listener stays usable after an error.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The address it listens at.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A datagram socket. Dropping it closes it.
pub trait Datagrams: 'static {
    /// Sends a datagram; to the peer, if the socket has one.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<()>>;

    /// Receives a datagram: its length and sender. Longer datagrams are truncated.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// A spawned task. Dropping the handle detaches it.
pub trait Task: 'static {
    /// Aborts the task at its next await point.
    fn abort(&self);
}

/// The error of a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("timed out")
    }
}
