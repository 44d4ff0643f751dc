//! The rule where sources disagree. `docs/srv.md` has it as a table; [`judge`] is that table.

use hingestage_policy::Micros;

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListWord {
    /// Nothing: it never named it.
    Silent,
    /// It takes work; when it last started, where that is not long ago.
    Up(Option<Micros>),
    /// It finishes what it has.
    Draining(Option<Micros>),
    /// It is no more.
    Removed,
}

/// What DNS says of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SrvWord {
    /// Nothing: no record ever led there.
    Silent,
    /// A record leads there; since when, where that counts as a start.
    Present(Option<Micros>),
    /// A record did, until then.
    Vanished(Micros),
}

/// What is to be held of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes work, and started then.
    Ready(Option<Micros>),
    /// It finishes what it has.
    Draining(Option<Micros>),
    /// It is no worker.
    Gone,
}

/// Joins what both sources say:
///
/// | the list | DNS: silent | DNS: present | DNS: vanished, within the grace | and past it |
/// | --- | --- | --- | --- | --- |
/// | silent | gone | ready, started when first seen | draining | gone |
/// | up | ready, as the list says | ready, as the list says | draining | gone |
/// | draining | draining | draining | draining | gone |
/// | removed | gone | gone | gone | gone |
///
/// A drain or an end that one source tells holds until that source takes it back, whatever the other says. A
/// start that is told beats one that is guessed.
pub fn judge(list: ListWord, srv: SrvWord, now: Micros, grace: Micros) -> Verdict {
    let told = match list {
        ListWord::Up(started) | ListWord::Draining(started) => started,
        ListWord::Silent | ListWord::Removed => None,
    };
    match (list, srv) {
        (ListWord::Removed, _) | (ListWord::Silent, SrvWord::Silent) => Verdict::Gone,
        (_, SrvWord::Vanished(since)) if now >= since.saturating_add(grace) => Verdict::Gone,
        (_, SrvWord::Vanished(_)) | (ListWord::Draining(_), _) => Verdict::Draining(told),
        (ListWord::Silent, SrvWord::Present(seen)) => Verdict::Ready(seen),
        (ListWord::Up(_), _) => Verdict::Ready(told),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Micros = 30;

    /// Each row of the table in `docs/srv.md`.
    #[test]
    fn every_row_of_the_table() {
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
