//! When the rehearsal's own process was held up by the machine. No I/O.
//!
//! All clients, relays and workers are tasks of one process. When the machine doesn't run it for a while, it reads late, and
//! in any order, what gateways have written meanwhile.

use crate::record::Event;
use std::time::{Duration, Instant};

/// How often the process checks that it runs.
pub const PULSE: Duration = Duration::from_millis(10);
/// A pulse that is later than this was held up.
const LATE_MIN: Duration = Duration::from_millis(10);
/// After being held up, the process works through what has come meanwhile: relays accept, connect and read in turns.
const CATCHING_UP: Duration = Duration::from_millis(50);

/// Spans in which the process was held up, in order, each with the time it takes to catch up.
#[derive(Debug, Default)]
pub struct Lateness {
    spans: Vec<Span>,
    /// How often the process was held up.
    pub times: usize,
    /// For how long, all in all.
    pub total: Duration,
    /// For how long at most.
    pub longest: Duration,
}

#[derive(Debug)]
struct Span {
    since: Instant,
    until: Instant,
}

impl Lateness {
    /// The spans of a record, in which pulses have noted them.
    pub fn of(entries: &[(Instant, Event)]) -> Lateness {
        let mut lateness = Lateness::default();
        for (at, event) in entries {
            if let Event::HeldUp { since } = event {
                lateness.add(*since, *at);
            }
        }
        lateness
    }

    /// Adds a time of being held up. One that begins before the process has caught up with the last continues its span.
    fn add(&mut self, since: Instant, until: Instant) {
        let lasted = until.saturating_duration_since(since);
        self.times += 1;
        self.total += lasted;
        self.longest = self.longest.max(lasted);
        let until = until + CATCHING_UP;
        match self.spans.last_mut() {
            Some(last) if since <= last.until => last.until = until,
            _ => self.spans.push(Span { since, until }),
        }
    }

    /// How long before it was read, at most, something may have been written because the process was held up.
    pub fn read_delay(&self, read_at: Instant) -> Duration {
        let after = self.spans.partition_point(|span| span.since <= read_at);
        let span = after.checked_sub(1).and_then(|before| self.spans.get(before));
        span.filter(|span| read_at <= span.until).map_or(Duration::ZERO, |span| read_at - span.since)
    }
}

/// What a pulse that was due at `due` and came at `now` tells: held up since the pulse before, if it is late.
pub fn held_up(due: Instant, now: Instant) -> Option<Event> {
    let late = now.saturating_duration_since(due) > LATE_MIN;
    late.then(|| Event::HeldUp { since: due.checked_sub(PULSE).unwrap_or(due) })
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn only_a_late_pulse_tells_of_being_held_up() {
        let due = Instant::now() + PULSE;
        assert!(held_up(due, due + LATE_MIN).is_none());
        let told = held_up(due, due + LATE_MIN + MS);
        assert!(matches!(told, Some(Event::HeldUp { since }) if since == due - PULSE), "{told:?}");
    }

    #[test]
    fn what_is_read_until_the_process_has_caught_up_may_have_been_written_since_it_was_held_up() {
        let start = Instant::now();
        let at = |ms: u32| start + ms * MS;
        let held = |since: u32, until: u32| (at(until), Event::HeldUp { since: at(since) });
        // The second begins while the process still catches up with the first, the third doesn't.
        let lateness = Lateness::of(&[held(100, 400), held(420, 500), held(900, 950)]);
        for (read_at, delay) in [(99, 0), (100, 0), (400, 300), (550, 450), (551, 0), (960, 60), (1_001, 0)] {
            assert_eq!(lateness.read_delay(at(read_at)), delay * MS, "read at {read_at} ms");
        }
        assert_eq!((lateness.times, lateness.total, lateness.longest), (3, 430 * MS, 300 * MS));
    }
}
