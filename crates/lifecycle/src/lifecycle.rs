//! Lifecycle of a gateway: starting, serving, draining, handing over, shutting down.

use std::time::{Duration, Instant};

/// How long new connections are accepted after a stop without a successor, while load balancers notice it.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);

/// A lifecycle event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The workers are known and requests can be served.
    Ready,
    /// Start draining; no effect if already draining.
    Drain,
    /// Stop draining.
    Undrain,
    /// A successor shares the listening socket and is about to serve.
    SuccessorStarts,
    /// The successor has exited.
    SuccessorGone,
    /// Answer all received requests, then exit; irreversible.
    Stop,
}

/// Lifecycle state of a gateway. Times are passed in by the caller.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    ready: bool,
    draining: Option<Instant>,
    stopping: Option<Instant>,
    successor: bool,
}

impl Lifecycle {
    /// Applies an event.
    pub fn apply(&mut self, now: Instant, event: LifecycleEvent) {
        match event {
            LifecycleEvent::Ready => self.ready = true,
            LifecycleEvent::Drain => drop(self.draining.get_or_insert(now)),
            LifecycleEvent::Undrain => self.draining = None,
            LifecycleEvent::SuccessorStarts => self.successor = true,
            LifecycleEvent::SuccessorGone => self.successor = false,
            LifecycleEvent::Stop => drop(self.stopping.get_or_insert(now)),
        }
    }

    /// Whether new clients are accepted.
    pub fn accepts_clients(&self) -> bool {
        self.ready && self.draining.is_none() && self.stopping.is_none()
    }

    /// Whether connections are kept alive after a response. A client that was sent `connection: close` loses
    /// no request; one closed while idle may.
    pub fn keeps_connections(&self) -> bool {
        self.draining.is_none() && self.stopping.is_none()
    }

    /// Until when new connections are accepted; `None` if not stopping. A successor takes over at once,
    /// because both share one accept queue.
    pub fn accept_until(&self) -> Option<Instant> {
        self.stopping.map(|at| if self.successor { at } else { at + ACCEPT_AFTER_STOP })
    }

    /// Whether idle connections are closed without a prior `connection: close`. With a successor there is
    /// time for one more response on each.
    pub fn close_idle(&self) -> bool {
        self.stopping.is_some() && !self.successor
    }

    /// Whether rate limits may refill; not while a successor refills its own.
    pub fn may_refill_limits(&self) -> bool {
        !self.successor
    }

    /// When draining started.
    pub fn draining_since(&self) -> Option<Instant> {
        self.draining
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A lifecycle after these events, one per second, and its start time.
    fn lifecycle_after(events: &[LifecycleEvent]) -> (Lifecycle, Instant) {
        let (mut lifecycle, start) = (Lifecycle::default(), Instant::now());
        for (n, event) in events.iter().enumerate() {
            lifecycle.apply(start + Duration::from_secs(n as u64), *event);
        }
        (lifecycle, start)
    }

    #[test]
    fn clients_are_accepted_from_ready_until_a_drain_or_a_stop() {
        for (events, accepted, kept) in [
            (&[][..], false, true),
            (&[LifecycleEvent::Ready], true, true),
            (&[LifecycleEvent::Drain, LifecycleEvent::Ready], false, false),
            (&[LifecycleEvent::Ready, LifecycleEvent::Drain, LifecycleEvent::Undrain], true, true),
            (&[LifecycleEvent::Ready, LifecycleEvent::SuccessorStarts], true, true),
            (&[LifecycleEvent::Ready, LifecycleEvent::Stop], false, false),
            (
                &[
                    LifecycleEvent::Ready,
                    LifecycleEvent::Drain,
                    LifecycleEvent::Stop,
                    LifecycleEvent::Undrain,
                ],
                false,
                false,
            ),
        ] {
            let (lifecycle, _) = lifecycle_after(events);
            assert_eq!(
                (lifecycle.accepts_clients(), lifecycle.keeps_connections()),
                (accepted, kept),
                "{events:?}"
            );
        }
    }

    #[test]
    fn a_repeated_drain_keeps_its_start_time() {
        let (lifecycle, start) = lifecycle_after(&[LifecycleEvent::Drain, LifecycleEvent::Drain]);
        assert_eq!(lifecycle.draining_since(), Some(start));
    }

    #[test]
    fn without_a_successor_connections_are_still_accepted_for_a_while() {
        let (lifecycle, start) = lifecycle_after(&[LifecycleEvent::Stop]);
        assert_eq!(
            (lifecycle.accept_until(), lifecycle.close_idle()),
            (Some(start + ACCEPT_AFTER_STOP), true)
        );
    }

    #[test]
    fn a_successor_takes_over_at_once_and_its_exit_reverts_that() {
        let (lifecycle, start) = lifecycle_after(&[LifecycleEvent::SuccessorStarts, LifecycleEvent::Stop]);
        let stop = start + Duration::from_secs(1);
        assert_eq!((lifecycle.accept_until(), lifecycle.close_idle()), (Some(stop), false));
        let (lifecycle, _) =
            lifecycle_after(&[LifecycleEvent::SuccessorStarts, LifecycleEvent::SuccessorGone]);
        assert!(lifecycle.may_refill_limits() && lifecycle.accept_until().is_none());
    }
}
