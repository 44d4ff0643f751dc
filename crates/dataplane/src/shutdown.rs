//! Shutdown of a server: which requests still begin, and when the last ones are answered.
//!
//! A request that begins is answered before the process ends. So a request begins only if the shutdown leaves it the
//! time it may take; others are refused, and their clients may repeat them elsewhere.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The points in time of a shutdown, in this order except for `close_idle_at`.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// New connections are accepted until then.
    pub accept_until: Instant,
    /// Connections that are idle then, or become so later, are closed without a prior `connection: close`.
    pub close_idle_at: Instant,
    /// Until then all requests begin; later only those whose deadline is not after `answer_by`.
    pub begin_until: Instant,
    /// Requests that are unanswered then are answered as failed.
    pub answer_by: Instant,
    /// The shutdown ends then even if connections are still open.
    pub deadline: Instant,
}

/// What a shutdown left behind, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Connections that were still open.
    pub open_connections: usize,
    /// Requests without a complete response.
    pub unanswered: usize,
    /// Requests answered as failed because the shutdown ended.
    pub abandoned: usize,
    /// Requests refused because the shutdown left them too little time.
    pub refused: usize,
    /// Requests received since the start of the shutdown.
    pub received: usize,
    /// When the last of them was received, from the start of the shutdown.
    pub last_received_after: Option<Duration>,
}

/// The state of a server's shutdown, shared by its connections.
#[derive(Default)]
pub struct ShutdownState {
    started: Cell<Option<(Instant, Shutdown)>>,
    is_abandoned: Cell<bool>,
    /// Notified when requests are abandoned.
    abandoned_notify: Notify,
    abandoned: Cell<usize>,
    refused: Cell<usize>,
    received: Cell<usize>,
    last_received_at: Cell<Option<Instant>>,
}

impl ShutdownState {
    /// Starts the shutdown.
    pub fn begin(&self, now: Instant, shutdown: Shutdown) {
        self.started.set(Some((now, shutdown)));
    }

    /// Counts a request whose head has been received.
    pub fn count_received(&self, now: Instant) {
        if self.started.get().is_some() {
            self.received.set(self.received.get() + 1);
            self.last_received_at.set(Some(now));
        }
    }

    /// The time by which a request with this deadline will be answered; `None` if it must not begin.
    pub fn answer_time(&self, now: Instant, deadline: Instant) -> Option<Instant> {
        let Some((_, shutdown)) = self.started.get() else { return Some(deadline) };
        if now < shutdown.begin_until || deadline <= shutdown.answer_by {
            return Some(deadline.min(shutdown.answer_by));
        }
        self.refused.set(self.refused.get() + 1);
        None
    }

    /// Ends the wait for requests that are still unanswered.
    pub fn abandon_requests(&self) {
        self.is_abandoned.set(true);
        self.abandoned_notify.notify_waiters();
    }

    /// Waits until requests are abandoned.
    pub async fn requests_abandoned(&self) {
        let notified = self.abandoned_notify.notified();
        if !self.is_abandoned.get() {
            notified.await;
        }
        self.abandoned.set(self.abandoned.get() + 1);
    }

    /// What the shutdown leaves behind.
    pub fn report(&self, open_connections: usize, unanswered: usize) -> ShutdownReport {
        let since = |at: Instant| Some(at.saturating_duration_since(self.started.get()?.0));
        ShutdownReport {
            open_connections,
            unanswered,
            abandoned: self.abandoned.get(),
            refused: self.refused.get(),
            received: self.received.get(),
            last_received_after: self.last_received_at.get().and_then(since),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn a_late_request_begins_only_if_it_ends_before_the_shutdown() {
        let (state, start) = (ShutdownState::default(), Instant::now());
        let at = |seconds: u32| start + seconds * SECOND;
        assert_eq!(state.answer_time(start, at(60)), Some(at(60)), "no shutdown");
        state.begin(
            start,
            Shutdown {
                accept_until: at(2),
                close_idle_at: at(2),
                begin_until: at(3),
                answer_by: at(5),
                deadline: at(6),
            },
        );
        for (now, deadline, answered) in
            [(1, 4, Some(4)), (1, 60, Some(5)), (3, 5, Some(5)), (3, 6, None), (4, 5, Some(5)), (5, 8, None)]
        {
            assert_eq!(state.answer_time(at(now), at(deadline)), answered.map(at), "{now} {deadline}");
        }
        assert_eq!(state.report(0, 0).refused, 2);
    }
}
