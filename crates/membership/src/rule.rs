//! Resolves conflicting reports about a worker. `docs/srv.md` documents the table that [`resolve`]
//! implements.

use hingestage_policy::Micros;

/// What discovery reports about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListWord {
    /// Never listed.
    Silent,
    /// Accepts work; last start, unless long ago.
    Up(Option<Micros>),
    /// Draining; last start, unless long ago.
    Draining(Option<Micros>),
    /// Removed.
    Removed,
}

/// What DNS reports about an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SrvWord {
    /// Never seen.
    Silent,
    /// Present; since when, if that counts as a start.
    Present(Option<Micros>),
    /// Disappeared at this time.
    Vanished(Micros),
}

/// The resolved state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
pub fn judge(list: ListWord, srv: SrvWord, now: Micros, grace: Micros) -> Verdict {
    let reported = match list {
        ListWord::Up(started) | ListWord::Draining(started) => started,
        ListWord::Silent | ListWord::Removed => None,
    };
    match (list, srv) {
        (ListWord::Removed, _) | (ListWord::Silent, SrvWord::Silent) => Verdict::Gone,
        (_, SrvWord::Vanished(since)) if now >= since.saturating_add(grace) => Verdict::Gone,
        (_, SrvWord::Vanished(_)) | (ListWord::Draining(_), _) => Verdict::Draining(reported),
        (ListWord::Silent, SrvWord::Present(seen)) => Verdict::Ready(seen),
        (ListWord::Up(_), _) => Verdict::Ready(reported),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Micros = 30;

    /// Covers every row of the table in `docs/srv.md`.
    #[test]
    fn resolves_every_row_of_the_table() {
        use {ListWord as L, SrvWord as S, Verdict as V};
        let (boot, seen) = (Some(7), Some(90));
        let rows = [
            (L::Silent, S::Silent, V::Gone),
            (L::Silent, S::Present(seen), V::Ready(seen)),
            (L::Silent, S::Present(None), V::Ready(None)),
            (L::Silent, S::Vanished(80), V::Draining(None)),
            (L::Silent, S::Vanished(70), V::Gone),
            (L::Up(boot), S::Silent, V::Ready(boot)),
            (L::Up(boot), S::Present(seen), V::Ready(boot)),
            (L::Up(None), S::Present(seen), V::Ready(None)),
            (L::Up(boot), S::Vanished(80), V::Draining(boot)),
            (L::Up(boot), S::Vanished(70), V::Gone),
            (L::Draining(boot), S::Silent, V::Draining(boot)),
            (L::Draining(boot), S::Present(seen), V::Draining(boot)),
            (L::Draining(boot), S::Vanished(80), V::Draining(boot)),
            (L::Draining(boot), S::Vanished(70), V::Gone),
            (L::Removed, S::Silent, V::Gone),
            (L::Removed, S::Present(seen), V::Gone),
            (L::Removed, S::Vanished(80), V::Gone),
            (L::Removed, S::Vanished(70), V::Gone),
        ];
        for (list, srv, verdict) in rows {
            assert_eq!(judge(list, srv, 100, GRACE), verdict, "{list:?} {srv:?}");
        }
    }
}
