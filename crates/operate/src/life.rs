//! Lifecycle of a gateway: starting, serving, draining, handing over, shutting down.

use std::time::{Duration, Instant};

/// How long new connections are accepted after a stop without a successor, while load balancers notice it.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);

/// A lifecycle event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
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
pub struct Life {
    ready: bool,
    draining: Option<Instant>,
    stopping: Option<Instant>,
    successor: bool,
}

impl Life {
    /// Applies an event.
    pub fn told(&mut self, now: Instant, event: Told) {
        match event {
            Told::Ready => self.ready = true,
            Told::Drain => drop(self.draining.get_or_insert(now)),
            Told::Undrain => self.draining = None,
            Told::SuccessorStarts => self.successor = true,
            Told::SuccessorGone => self.successor = false,
            Told::Stop => drop(self.stopping.get_or_insert(now)),
        }
    }

    /// Whether new clients are accepted.
    pub fn wants_clients(&self) -> bool {
        self.ready && self.draining.is_none() && self.stopping.is_none()
    }

    /// Whether connections are kept alive after a response. A client that was sent `connection: close` loses
    /// no request; one closed while idle may.
    pub fn keeps_connections(&self) -> bool {
        self.draining.is_none() && self.stopping.is_none()
    }

    /// Until when new connections are accepted; `None` if not stopping. A successor takes over at once,
    /// because both share one accept queue.
    pub fn accepts_until(&self) -> Option<Instant> {
        self.stopping.map(|at| if self.successor { at } else { at + ACCEPT_AFTER_STOP })
    }

    /// Whether idle connections are closed without a prior `connection: close`. With a successor there is
    /// time for one more response on each.
    pub fn closes_idle(&self) -> bool {
        self.stopping.is_some() && !self.successor
    }

    /// Whether rate limits may refill; not while a successor refills its own.
    pub fn fills_ceilings(&self) -> bool {
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
    fn lifecycle_after(told: &[Told]) -> (Life, Instant) {
        let (mut life, start) = (Life::default(), Instant::now());
        for (n, event) in told.iter().enumerate() {
            life.told(start + Duration::from_secs(n as u64), *event);
        }
        (life, start)
    }

    #[test]
    fn clients_are_accepted_from_ready_until_a_drain_or_a_stop() {
        for (told, wanted, kept) in [
            (&[][..], false, true),
            (&[Told::Ready], true, true),
            (&[Told::Drain, Told::Ready], false, false),
            (&[Told::Ready, Told::Drain, Told::Undrain], true, true),
            (&[Told::Ready, Told::SuccessorStarts], true, true),
            (&[Told::Ready, Told::Stop], false, false),
            (&[Told::Ready, Told::Drain, Told::Stop, Told::Undrain], false, false),
        ] {
            let (life, _) = lifecycle_after(told);
            assert_eq!((life.wants_clients(), life.keeps_connections()), (wanted, kept), "{told:?}");
        }
    }

    #[test]
    fn a_repeated_drain_keeps_its_start_time() {
        let (life, start) = lifecycle_after(&[Told::Drain, Told::Drain]);
        assert_eq!(life.draining_since(), Some(start));
    }

    #[test]
    fn without_a_successor_connections_are_still_accepted_for_a_while() {
        let (life, start) = lifecycle_after(&[Told::Stop]);
        assert_eq!((life.accepts_until(), life.closes_idle()), (Some(start + ACCEPT_AFTER_STOP), true));
    }

    #[test]
    fn a_successor_takes_over_at_once_and_its_exit_reverts_that() {
        let (life, start) = lifecycle_after(&[Told::SuccessorStarts, Told::Stop]);
        let stop = start + Duration::from_secs(1);
        assert_eq!((life.accepts_until(), life.closes_idle()), (Some(stop), false));
        let (life, _) = lifecycle_after(&[Told::SuccessorStarts, Told::SuccessorGone]);
        assert!(life.fills_ceilings() && life.accepts_until().is_none());
    }
}
