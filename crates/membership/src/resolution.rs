//! Resolves conflicting reports about a worker. `docs/srv.md` documents the table that [`resolve`]
//! implements.

use hingestage_policy::Micros;

/// What discovery reports about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// Never listed.
    Unknown,
    /// Accepts work; last start, unless long ago.
    Up(Option<Micros>),
    /// Draining; last start, unless long ago.
    Draining(Option<Micros>),
    /// Removed.
    Removed,
}

/// What DNS reports about an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DnsStatus {
    /// Never seen.
    Unknown,
    /// Present; since when, if that counts as a start.
    Present(Option<Micros>),
    /// Disappeared at this time.
    Vanished(Micros),
}

/// The resolved state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts work; start time, if known.
    Ready(Option<Micros>),
    /// Draining; start time, if known.
    Draining(Option<Micros>),
    /// Not in service.
    Gone,
}

/// Resolves the reports of both sources:
///
/// | discovery | DNS: unknown | DNS: present | DNS: vanished, within the grace period | after it |
/// | --- | --- | --- | --- | --- |
/// | unknown | gone | ready, started when first seen | draining | gone |
/// | up | ready, start as listed | ready, start as listed | draining | gone |
/// | draining | draining | draining | draining | gone |
/// | removed | gone | gone | gone | gone |
///
/// A drain or a removal by one source holds until that source revokes it, whatever the other reports. A reported
/// start time takes precedence over a guessed one.
pub fn resolve(list: ListStatus, srv: DnsStatus, now: Micros, grace: Micros) -> WorkerState {
    let reported = match list {
        ListStatus::Up(started) | ListStatus::Draining(started) => started,
        ListStatus::Unknown | ListStatus::Removed => None,
    };
    match (list, srv) {
        (ListStatus::Removed, _) | (ListStatus::Unknown, DnsStatus::Unknown) => WorkerState::Gone,
        (_, DnsStatus::Vanished(since)) if now >= since.saturating_add(grace) => WorkerState::Gone,
        (_, DnsStatus::Vanished(_)) | (ListStatus::Draining(_), _) => WorkerState::Draining(reported),
        (ListStatus::Unknown, DnsStatus::Present(seen)) => WorkerState::Ready(seen),
        (ListStatus::Up(_), _) => WorkerState::Ready(reported),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Micros = 30;

    /// Covers every row of the table in `docs/srv.md`.
    #[test]
    fn resolves_every_row_of_the_table() {
        use {DnsStatus as S, ListStatus as L, WorkerState as W};
        let (boot, seen) = (Some(7), Some(90));
        let rows = [
            (L::Unknown, S::Unknown, W::Gone),
            (L::Unknown, S::Present(seen), W::Ready(seen)),
            (L::Unknown, S::Present(None), W::Ready(None)),
            (L::Unknown, S::Vanished(80), W::Draining(None)),
            (L::Unknown, S::Vanished(70), W::Gone),
            (L::Up(boot), S::Unknown, W::Ready(boot)),
            (L::Up(boot), S::Present(seen), W::Ready(boot)),
            (L::Up(None), S::Present(seen), W::Ready(None)),
            (L::Up(boot), S::Vanished(80), W::Draining(boot)),
            (L::Up(boot), S::Vanished(70), W::Gone),
            (L::Draining(boot), S::Unknown, W::Draining(boot)),
            (L::Draining(boot), S::Present(seen), W::Draining(boot)),
            (L::Draining(boot), S::Vanished(80), W::Draining(boot)),
            (L::Draining(boot), S::Vanished(70), W::Gone),
            (L::Removed, S::Unknown, W::Gone),
            (L::Removed, S::Present(seen), W::Gone),
            (L::Removed, S::Vanished(80), W::Gone),
            (L::Removed, S::Vanished(70), W::Gone),
        ];
        for (list, srv, state) in rows {
            assert_eq!(resolve(list, srv, 100, GRACE), state, "{list:?} {srv:?}");
        }
    }
}
