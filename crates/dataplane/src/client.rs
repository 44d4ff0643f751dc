//! State of one client connection, shared by the server and a response that is still streaming.

use crate::body::StreamedBody;
use crate::monitored_stream::TransportState;
use crate::shutdown::ShutdownState;
use hingestage_platform::Platform;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Timeouts of a client connection.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// From the connection to the end of the first request head.
    pub first_head_timeout: Duration,
    /// From the first byte of a later request head to its end. The HTTP library's own timeout starts at the
    /// previous response and would include the idle time.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests.
    pub idle_timeout: Duration,
    /// Maximum time without progress of a response: at any time where its client does not read, and after the
    /// time of its request where its worker is silent.
    pub write_timeout: Duration,
}

impl ClientTimeouts {
    /// The shortest of them, used as the interval of the timeout checks.
    pub fn shortest(&self) -> Duration {
        let later = self.header_timeout.min(self.idle_timeout).min(self.write_timeout);
        self.first_head_timeout.min(later)
    }
}

/// State of one client connection.
pub struct Client {
    timeouts: ClientTimeouts,
    /// Whether a request has been received whole and not yet answered.
    pub(crate) busy: Cell<bool>,
    /// Whether the head of a request has been received and its response has not ended.
    handling: Cell<bool>,
    served: Cell<bool>,
    /// Time of the connection, of the last response or of its last progress.
    last_activity: Cell<Instant>,
    /// When the time of the current request is over.
    answer_by: Cell<Instant>,
    /// Whether to close at once instead of gracefully.
    pub close_now: Cell<bool>,
    /// Whether a streamed response is in progress.
    pub streaming: Cell<bool>,
    /// Whether the rest of an answered request is being discarded.
    pub discarding: Cell<bool>,
    /// Asks the server to close the connection.
    pub close_signal: Notify,
    /// Transport state observed by the connection's stream wrapper.
    pub transport: Rc<TransportState>,
    /// Notified when any client of the server has been answered or has disconnected.
    released: Rc<Notify>,
    shutdown: Rc<ShutdownState>,
}

impl Client {
    /// Creates the state of a new connection. `released` is notified after each response; `max_head_bytes` is
    /// the maximum size of a request head.
    pub fn new(
        now: Instant,
        timeouts: ClientTimeouts,
        max_head_bytes: usize,
        released: Rc<Notify>,
        shutdown: Rc<ShutdownState>,
    ) -> Rc<Client> {
        let (busy, served, close_now) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (last_activity, streaming, discarding) = (Cell::new(now), Cell::new(false), Cell::new(false));
        let (close_signal, transport) = (Notify::new(), Rc::new(TransportState::new(max_head_bytes)));
        Rc::new(Client {
            timeouts,
            busy,
            handling: Cell::new(false),
            served,
            last_activity,
            answer_by: Cell::new(now),
            close_now,
            streaming,
            discarding,
            close_signal,
            transport,
            released,
            shutdown,
        })
    }

    /// Whether no request is in progress and no output is blocked.
    pub fn is_idle(&self) -> bool {
        !self.busy.get() && self.transport.blocked_since.get().is_none()
    }

    /// Marks the receipt of a request's head.
    pub(crate) fn begin_handling(&self, now: Instant) {
        self.handling.set(true);
        self.shutdown.count_received(now);
    }

    /// Begins a request that has been received whole, and returns the time by which it must be answered. `None` if the
    /// server is shutting down and the request must be refused.
    pub fn begin_request(&self, now: Instant, deadline: Instant) -> Option<Instant> {
        let answer_time = self.shutdown.answer_time(now, deadline)?;
        self.busy.set(true);
        self.answer_by.set(answer_time);
        Some(answer_time)
    }

    /// Whether a request is owed a response, or the end of one.
    pub fn in_request(&self) -> bool {
        self.handling.get() || self.transport.blocked_since.get().is_some()
    }

    /// Whether no byte of a request has arrived since the connection or the last response.
    pub fn awaits_request(&self) -> bool {
        let head = self.transport.head.borrow();
        let in_progress = self.in_request() || self.streaming.get() || self.discarding.get();
        !in_progress && head.reading_since().is_none() && !head.is_complete()
    }

    /// Whether at least one request has been answered and no byte of the next one has arrived.
    pub fn awaits_next_request(&self) -> bool {
        let head = self.transport.head.borrow();
        self.served.get() && head.reading_since().is_none() && !head.is_complete()
    }

    /// Time of the last activity in either direction.
    pub fn quiet_since(&self) -> Instant {
        self.transport
            .last_read
            .get()
            .map_or(self.last_activity.get(), |last_read| last_read.max(self.last_activity.get()))
    }

    /// When the connection times out: on a slow request head, on idleness or on unread output. `None` while a
    /// request is being processed.
    pub fn deadline(&self) -> Option<Instant> {
        let head = self.transport.head.borrow();
        if let Some(blocked_since) = self.transport.blocked_since.get() {
            return Some(blocked_since + self.timeouts.write_timeout);
        }
        let has_request =
            self.busy.get() || self.streaming.get() || self.discarding.get() || head.is_complete();
        let last_activity = self.last_activity.get();
        let due = match self.served.get() {
            true => match head.reading_since() {
                Some(began) => began + self.timeouts.header_timeout,
                None => last_activity + self.timeouts.idle_timeout,
            },
            false => last_activity + self.timeouts.first_head_timeout,
        };
        (!has_request).then_some(due)
    }

    /// Whether a streamed response has made no progress within the write timeout, and the time of its request is
    /// over. Until then a silent worker may go on.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_activity.get());
        self.streaming.get() && silence > self.timeouts.write_timeout && now >= self.answer_by.get()
    }

    /// Discards the rest of an answered request in a task of its own. The connection is not idle meanwhile.
    pub fn discard_rest<P: Platform>(self: &Rc<Self>, platform: &P, body: Rc<StreamedBody>) {
        let (client, clock) = (self.clone(), platform.clone());
        self.discarding.set(true);
        platform.spawn(async move {
            body.discard_rest(clock.clone()).await;
            client.discarding.set(false);
            client.record_progress(clock.now());
            client.transport.head.borrow_mut().reset();
        });
    }

    /// Whether any request has been answered.
    pub fn was_served(&self) -> bool {
        self.served.get()
    }

    /// Records progress of a streamed response.
    pub fn record_progress(&self, now: Instant) {
        self.last_activity.set(now);
    }

    /// Closes the connection, after the current request or at once.
    pub fn close(&self, at_once: bool) {
        self.close_now.set(at_once);
        self.close_signal.notify_one();
    }

    /// Records the end of a response.
    pub fn record_answer(&self, now: Instant) {
        self.busy.set(false);
        self.handling.set(false);
        self.streaming.set(false);
        self.served.set(true);
        self.last_activity.set(now);
        self.transport.head.borrow_mut().reset();
        // At the connection limit `accept` may be waiting for an idle connection to close.
        self.released.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMES: ClientTimeouts = ClientTimeouts {
        first_head_timeout: Duration::from_millis(2_600),
        header_timeout: Duration::from_millis(2_200),
        idle_timeout: Duration::from_millis(2_200),
        write_timeout: Duration::from_secs(20),
    };
    const MAX_HEAD_BYTES: usize = 16 * 1024;

    /// Closing while the end of a streamed response is still buffered would truncate it.
    #[test]
    fn a_connection_with_blocked_output_is_not_idle() {
        let now = Instant::now();
        let client = Client::new(now, TIMES, MAX_HEAD_BYTES, Rc::default(), Rc::default());
        client.served.set(true);
        assert_eq!((client.is_idle(), client.deadline()), (true, Some(now + TIMES.idle_timeout)));
        client.transport.blocked_since.set(Some(now));
        assert_eq!((client.is_idle(), client.deadline()), (false, Some(now + TIMES.write_timeout)));
        client.transport.blocked_since.set(None);
        client.busy.set(true);
        assert_eq!((client.is_idle(), client.deadline()), (false, None));
    }

    /// The idle time between two requests must not count towards the head timeout.
    #[test]
    fn a_later_head_timeout_starts_at_its_first_byte() {
        let (now, pause) = (Instant::now(), Duration::from_secs(2));
        let client = Client::new(now, TIMES, MAX_HEAD_BYTES, Rc::default(), Rc::default());
        client.transport.head.borrow_mut().push(now + pause, b"GET ");
        assert_eq!(client.deadline(), Some(now + TIMES.first_head_timeout));
        client.served.set(true);
        assert_eq!(client.deadline(), Some(now + pause + TIMES.header_timeout));
        client.transport.head.borrow_mut().push(now + pause, b"/ HTTP/1.1\r\n\r\n");
        assert_eq!(client.deadline(), None);
    }
}
