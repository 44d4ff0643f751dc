//! One client's connection as its server and an answer that passes through both see it.

use crate::body::Flow;
use crate::heads::Kept;
use hingestage_platform::Platform;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a client may take over what.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimes {
    /// From connecting to the end of the first head.
    pub first_head_timeout: Duration,
    /// From the first byte of a later head to its end. The library's own time would count from the last answer on,
    /// and cut off who was silent a while first.
    pub header_timeout: Duration,
    /// Silent between two requests.
    pub idle_timeout: Duration,
    /// How long an answer may stand still, because of either side, before both are let go.
    pub write_timeout: Duration,
}

impl ClientTimes {
    /// The shortest of them: looked at so often, no connection outlives its time.
    pub fn shortest(&self) -> Duration {
        let later = self.header_timeout.min(self.idle_timeout).min(self.write_timeout);
        self.first_head_timeout.min(later)
    }
}

/// One client's connection, as far as closing it goes.
pub struct Client {
    times: ClientTimes,
    /// Whether a request of it has been read whole and not been answered.
    pub busy: Cell<bool>,
    served: Cell<bool>,
    /// When it connected or was last answered.
    since: Cell<Instant>,
    /// Whether it is to end at once, not by itself.
    pub drop: Cell<bool>,
    /// Whether a long answer passes through.
    pub flows: Cell<bool>,
    /// Whether the rest of a request that has been answered still comes in.
    pub wastes: Cell<bool>,
    /// Told to close it.
    pub close: Notify,
    /// What its connection is known to hold.
    pub kept: Rc<Kept>,
    /// Told each time one of the server's clients has been answered or has left.
    left: Rc<Notify>,
}

impl Client {
    /// One that has just connected. `left` is told each time a client has been answered; `largest_head` is the
    /// largest head of a request, bytes.
    pub fn new(now: Instant, times: ClientTimes, largest_head: usize, left: Rc<Notify>) -> Rc<Client> {
        let (busy, served, drop) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (since, flows, wastes) = (Cell::new(now), Cell::new(false), Cell::new(false));
        let (close, kept) = (Notify::new(), Rc::new(Kept::new(largest_head)));
        Rc::new(Client { times, busy, served, since, drop, flows, wastes, close, kept, left })
    }

    /// Whether nothing is under way on it in either direction, as far as it is known.
    pub fn idles(&self) -> bool {
        !self.busy.get() && self.kept.blocked.get().is_none()
    }

    /// Whether it has been served and has not begun to ask again.
    pub fn waits(&self) -> bool {
        let head = self.kept.head.borrow();
        self.served.get() && head.reading_since().is_none() && !head.is_whole()
    }

    /// Since when nothing has come from it, or gone to it.
    pub fn quiet_since(&self) -> Instant {
        self.kept.heard.get().map_or(self.since.get(), |heard| heard.max(self.since.get()))
    }

    /// When it has taken too long over a head, has been silent too long, or leaves its answer unread; none while
    /// it has a request.
    pub fn overdue_at(&self) -> Option<Instant> {
        let head = self.kept.head.borrow();
        if let Some(blocked) = self.kept.blocked.get() {
            return Some(blocked + self.times.write_timeout);
        }
        let asks = self.busy.get() || self.flows.get() || self.wastes.get() || head.is_whole();
        let since = self.since.get();
        let due = match self.served.get() {
            true => match head.reading_since() {
                Some(began) => began + self.times.header_timeout,
                None => since + self.times.idle_timeout,
            },
            false => since + self.times.first_head_timeout,
        };
        (!asks).then_some(due)
    }

    /// Whether a long answer has stood still for too long.
    pub fn stuck(&self, now: Instant) -> bool {
        self.flows.get() && now.saturating_duration_since(self.since.get()) > self.times.write_timeout
    }

    /// Reads what remains of a request that has been answered, which is no idling.
    pub fn waste_rest<P: Platform>(self: &Rc<Self>, platform: &P, flow: Rc<Flow>) {
        let (client, clock) = (self.clone(), platform.clone());
        self.wastes.set(true);
        platform.spawn(async move {
            flow.waste(clock.clone()).await;
            client.wastes.set(false);
            client.moves(clock.now());
            client.kept.head.borrow_mut().next();
        });
    }

    /// Whether it has been answered at all.
    pub fn was_served(&self) -> bool {
        self.served.get()
    }

    /// Something of a long answer has passed.
    pub fn moves(&self, now: Instant) {
        self.since.set(now);
    }

    /// Ends it: between two requests, or at once.
    pub fn end(&self, at_once: bool) {
        self.drop.set(at_once);
        self.close.notify_one();
    }

    /// A request of it has been answered.
    pub fn answered(&self, now: Instant) {
        self.busy.set(false);
        self.flows.set(false);
        self.served.set(true);
        self.since.set(now);
        self.kept.head.borrow_mut().next();
        // At the limit `accept` may have found none that idles: now there is one.
        self.left.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMES: ClientTimes = ClientTimes {
        first_head_timeout: Duration::from_millis(2_600),
        header_timeout: Duration::from_millis(2_200),
        idle_timeout: Duration::from_millis(2_200),
        write_timeout: Duration::from_secs(20),
    };
    const LARGEST_HEAD: usize = 16 * 1024;

    /// The end of a long answer may lie in the library's hands while its client reads slowly: it is neither idle
    /// nor silent then, and closing on it would cut the answer off.
    #[test]
    fn a_client_that_has_not_taken_its_answer_does_not_idle() {
        let now = Instant::now();
        let client = Client::new(now, TIMES, LARGEST_HEAD, Rc::default());
        client.served.set(true);
        assert_eq!((client.idles(), client.overdue_at()), (true, Some(now + TIMES.idle_timeout)));
        client.kept.blocked.set(Some(now));
        assert_eq!((client.idles(), client.overdue_at()), (false, Some(now + TIMES.write_timeout)));
        client.kept.blocked.set(None);
        client.busy.set(true);
        assert_eq!((client.idles(), client.overdue_at()), (false, None));
    }

    /// Silent and then slow over a head is not too long; from the connecting on it is.
    #[test]
    fn a_heads_time_counts_from_its_first_byte_once_a_client_has_been_served() {
        let (now, pause) = (Instant::now(), Duration::from_secs(2));
        let client = Client::new(now, TIMES, LARGEST_HEAD, Rc::default());
        client.kept.head.borrow_mut().saw(now + pause, b"GET ");
        assert_eq!(client.overdue_at(), Some(now + TIMES.first_head_timeout));
        client.served.set(true);
        assert_eq!(client.overdue_at(), Some(now + pause + TIMES.header_timeout));
        client.kept.head.borrow_mut().saw(now + pause, b"/ HTTP/1.1\r\n\r\n");
        assert_eq!(client.overdue_at(), None);
    }
}
