//! The owner's side: sums the increments that gateways send for a name, replies with totals and calls the counter.
//!
//! A total is the counter's last one plus everything received since. That is exact while a name has one owner that
//! all gateways reach. If a second gateway also acts as owner, or someone calls the counter directly, a total lacks
//! what they added since the last call: at most the use of 1/[`CALLS_PER_WINDOW`] of a window. A crash of the owner
//! loses as much; a clean shutdown flushes first.
//!
//! While the counter is unavailable, the owner replies with the sum of what it received itself, so a quota holds over
//! the fleet from then on.
//!
//! An amount is sent to the counter once. A call without a reply is assumed to have been added; only a refused call
//! is sent again.

use crate::message::Increment;
use crate::pace::Pacer;
use crate::Micros;
use hingestage_policy::CounterOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// Calls to the counter per name and window.
pub const CALLS_PER_WINDOW: Micros = 4;
/// Shortest interval between two calls for one name, µs.
const MIN_CALL_INTERVAL: Micros = 20_000;
/// Longest interval between two calls for one name, µs.
const MAX_CALL_INTERVAL: Micros = 2_000_000;
/// Maximum number of names, of about 400 bytes each; increments for more are declined.
const MAX_NAMES: usize = 4_096;
/// Maximum number of pending requesters.
const MAX_PENDING: usize = 4_096;
/// Maximum number of calls made at shutdown.
const MAX_FLUSH_CALLS: usize = 256;

/// State of one name.
#[derive(Clone, Debug)]
struct Sum {
    /// The counter's last total, plus amounts sent since whose outcome is unknown.
    reported: f64,
    /// Whether the counter ever returned a total.
    known: bool,
    /// Whether a call has finished or its requesters gave up waiting.
    attempted: bool,
    /// Sum of all increments received here.
    received: f64,
    /// Received but not yet sent to the counter.
    unsent: f64,
    /// Amount and start of the call in flight.
    in_flight: Option<(f64, Micros)>,
    /// Start of the last call.
    called: Micros,
    /// Time of the last increment.
    last_received: Micros,
    ttl_ms: u64,
    /// The scheduled next call, if any.
    scheduled: Option<Due>,
    /// Keys of the pending requesters.
    pending: Vec<(Micros, u64)>,
}

/// Priority (0 while a requester waits, else 1) and due time of a call.
type Due = (u8, Micros);

impl Sum {
    fn new(increment: &Increment, now: Micros) -> Sum {
        Sum {
            reported: 0.0,
            known: false,
            attempted: false,
            received: 0.0,
            unsent: 0.0,
            in_flight: None,
            called: 0,
            last_received: now,
            ttl_ms: increment.ttl_ms,
            scheduled: None,
            pending: Vec::new(),
        }
    }

    fn total(&self) -> f64 {
        let in_flight = self.in_flight.map_or(0.0, |(amount, _)| amount);
        if self.known {
            // A counter that lost its state returns less than was received here.
            (self.reported + in_flight + self.unsent).max(self.received)
        } else {
            self.received
        }
    }

    /// Interval between two calls; a value's time to live is two windows.
    fn call_interval(&self) -> Micros {
        (self.ttl_ms * 1_000 / 2 / CALLS_PER_WINDOW).clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
    }

    fn expired(&self, now: Micros) -> bool {
        let over = now >= self.last_received + self.ttl_ms * 1_000;
        over && self.in_flight.is_none() && self.pending.is_empty()
    }
}

/// Result of adding an increment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddResult {
    /// The total, including this increment.
    Total(f64),
    /// The reply follows from a later call, within half of the counter's timeout.
    Pending,
    /// Not added: this gateway is draining or full.
    Declined,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<A> {
    /// Call the counter.
    CallCounter {
        /// Counter name.
        name: String,
        /// Amount to add.
        amount: f64,
        /// Time to live of a new counter value, ms.
        ttl_ms: u64,
    },
    /// Send a requester its total.
    Reply(A, f64),
}

/// Sums of the names that this gateway owns.
pub struct Aggregator<A> {
    sums: BTreeMap<String, Sum>,
    /// Scheduled calls, the most urgent first.
    scheduled: BTreeSet<(Due, String)>,
    /// Pending requesters and their names, by deadline.
    pending: BTreeMap<(Micros, u64), (A, String)>,
    next_key: u64,
    pacer: Pacer,
    timeout: Micros,
    draining: bool,
}

impl<A> Aggregator<A> {
    /// Creates an empty aggregator in a fleet of `gateways`; a call to the counter times out after `timeout`.
    pub fn new(gateways: u32, timeout: Micros) -> Aggregator<A> {
        Aggregator {
            sums: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            pending: BTreeMap::new(),
            next_key: 0,
            pacer: Pacer::new(gateways, timeout),
            timeout,
            draining: false,
        }
    }

    /// Adds an increment and returns the total if it is known.
    pub fn add(&mut self, now: Micros, requester: A, increment: &Increment) -> AddResult {
        let full = self.sums.len() >= MAX_NAMES && !self.sums.contains_key(&increment.name);
        if self.draining || full || self.pending.len() >= MAX_PENDING {
            return AddResult::Declined;
        }
        let sum = self.sums.entry(increment.name.clone()).or_insert_with(|| Sum::new(increment, now));
        sum.received += increment.amount;
        sum.unsent += increment.amount;
        sum.last_received = now;
        let (known, total) = (sum.known || sum.attempted, sum.total());
        if !known {
            self.next_key += 1;
            let key = (now + self.timeout / 2, self.next_key);
            sum.pending.push(key);
            self.pending.insert(key, (requester, increment.name.clone()));
        }
        self.schedule(now, &increment.name);
        if known {
            AddResult::Total(total)
        } else {
            AddResult::Pending
        }
    }

    /// Schedules the next call for a name unless one is in flight; immediately if a requester waits.
    fn schedule(&mut self, now: Micros, name: &str) {
        let Some(sum) = self.sums.get_mut(name).filter(|sum| sum.in_flight.is_none()) else { return };
        let next = match sum.attempted {
            false => (0, now),
            true => (1, now.max(sum.called + sum.call_interval())),
        };
        // A name whose requesters have given up drops to the lower priority.
        let keep =
            sum.scheduled.is_some_and(|due_call| due_call <= next && (due_call.0 == 1 || !sum.attempted));
        if !keep {
            let before = sum.scheduled.replace(next);
            if let Some(before) = before {
                self.scheduled.remove(&(before, name.to_owned()));
            }
            self.scheduled.insert((next, name.to_owned()));
        }
    }

    /// Pushes all actions that are due by `now`.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Command<A>>) {
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= now) {
            let (key, (requester, name)) = entry.remove_entry();
            let Some(sum) = self.sums.get_mut(&name) else { continue };
            sum.pending.retain(|one| *one != key);
            // The call is late: later requesters do not wait for it.
            sum.attempted = true;
            out.push(Command::Reply(requester, sum.total()));
            self.schedule(now, &name);
        }
        // The set orders by priority; lower priorities may not be due yet.
        let due = |call: &Due| call.1 <= now;
        while let Some((_, name)) = self.scheduled.iter().find(|(call, _)| due(call)).cloned() {
            if !self.pacer.try_acquire(now) {
                break;
            }
            out.extend(self.call(now, &name));
        }
    }

    fn call(&mut self, now: Micros, name: &str) -> Option<Command<A>> {
        let sum = self.sums.get_mut(name)?;
        let due_call = sum.scheduled.take()?;
        self.scheduled.remove(&(due_call, name.to_owned()));
        let amount = std::mem::take(&mut sum.unsent);
        (sum.in_flight, sum.called) = (Some((amount, now)), now);
        Some(Command::CallCounter { name: name.to_owned(), amount, ttl_ms: sum.ttl_ms })
    }

    /// Handles the outcome of a call to the counter.
    pub fn call_finished(
        &mut self,
        now: Micros,
        name: &str,
        outcome: CounterOutcome,
        out: &mut Vec<Command<A>>,
    ) {
        let Some(sum) = self.sums.get_mut(name) else { return };
        let Some((amount, sent)) = sum.in_flight.take() else { return };
        let total = match outcome {
            CounterOutcome::Total(total) => Some(total).filter(|total| total.is_finite()),
            _ => None,
        };
        match (total, outcome) {
            (Some(total), _) => (sum.reported, sum.known) = (total, true),
            (None, CounterOutcome::Refused) => sum.unsent += amount,
            (None, _) => sum.reported += amount,
        }
        sum.attempted = true;
        for key in std::mem::take(&mut sum.pending) {
            let requester = self.pending.remove(&key);
            out.extend(requester.map(|(requester, _)| Command::Reply(requester, sum.total())));
        }
        let has_unsent = sum.unsent != 0.0;
        self.pacer.record(total.is_some(), now.saturating_sub(sent));
        if has_unsent {
            self.schedule(now, name);
        }
    }

    /// Stops owning names and returns the calls that flush unsent amounts, the largest first.
    pub fn drain(&mut self, now: Micros) -> Vec<Command<A>> {
        self.draining = true;
        let unsent_sums = self.sums.iter().filter(|(_, sum)| sum.unsent != 0.0 && sum.scheduled.is_some());
        let mut amounts: Vec<(f64, String)> =
            unsent_sums.map(|(name, s)| (s.unsent.abs(), name.clone())).collect();
        amounts.sort_by(|a, b| b.0.total_cmp(&a.0));
        amounts.iter().take(MAX_FLUSH_CALLS).filter_map(|(_, name)| self.call(now, name)).collect()
    }

    /// Removes names that received nothing for the time to live of their values.
    pub fn evict_expired(&mut self, now: Micros) {
        let scheduled = &mut self.scheduled;
        self.sums.retain(|name, sum| {
            let expired = sum.expired(now);
            if let (true, Some(call)) = (expired, sum.scheduled) {
                scheduled.remove(&(call, name.clone()));
            }
            !expired
        });
    }

    /// Whether no call is scheduled and no requester is pending.
    pub fn is_idle(&self) -> bool {
        self.scheduled.is_empty() && self.pending.is_empty()
    }

    /// Number of owned names, and the interval between two calls, µs.
    pub fn stats(&self) -> (usize, f64) {
        (self.sums.len(), self.pacer.interval())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use CounterOutcome::{Refused, Timeout, Total};

    const MS: Micros = 1_000;
    const S: Micros = 1_000_000;
    const WAIT: Micros = 50 * MS;

    /// An aggregator whose pacing does not limit the tests.
    fn aggregator() -> Aggregator<u32> {
        Aggregator::new(1, WAIT)
    }

    fn increment(amount: f64) -> Increment {
        Increment { name: "a.1".into(), amount, ttl_ms: 8_000 }
    }

    fn due(aggregator: &mut Aggregator<u32>, now: Micros) -> Vec<Command<u32>> {
        let mut out = Vec::new();
        aggregator.poll(now, &mut out);
        out
    }

    fn counted(aggregator: &mut Aggregator<u32>, now: Micros, outcome: CounterOutcome) -> Vec<Command<u32>> {
        let mut out = Vec::new();
        aggregator.call_finished(now, "a.1", outcome, &mut out);
        out
    }

    fn count(amount: f64) -> Command<u32> {
        Command::CallCounter { name: "a.1".into(), amount, ttl_ms: 8_000 }
    }

    #[test]
    fn first_requesters_share_a_call_and_later_ones_get_totals_at_once() {
        let mut aggregator = aggregator();
        assert_eq!(aggregator.add(S, 1, &increment(2.0)), AddResult::Pending);
        assert_eq!(due(&mut aggregator, S), [count(2.0)]);
        assert_eq!(aggregator.add(S + MS, 2, &increment(3.0)), AddResult::Pending);
        assert_eq!(due(&mut aggregator, S + 2 * MS), [], "one call for a name at once");
        assert_eq!(
            counted(&mut aggregator, S + 3 * MS, Total(12.0)),
            [Command::Reply(1, 15.0), Command::Reply(2, 15.0)]
        );
        assert_eq!(aggregator.add(S + 4 * MS, 3, &increment(1.0)), AddResult::Total(16.0));
        assert_eq!(due(&mut aggregator, S + 900 * MS), [], "a quarter of a window has to pass");
        assert_eq!(due(&mut aggregator, 2 * S), [count(4.0)]);
        assert_eq!(
            aggregator.add(2 * S, 3, &increment(1.0)),
            AddResult::Total(17.0),
            "the amount in flight counts"
        );
        assert_eq!(counted(&mut aggregator, 2 * S + MS, Total(40.0)), []);
        assert_eq!(
            aggregator.add(2 * S + MS, 1, &increment(0.0)),
            AddResult::Total(41.0),
            "amounts of other gateways count"
        );
    }

    #[test]
    fn call_rate_does_not_depend_on_the_number_of_increments() {
        let mut aggregator = aggregator();
        let (mut calls, mut sum) = (0, 0.0);
        for ms in 0..4_000 {
            let now = S + ms * MS;
            for requester in 0..5 {
                aggregator.add(now, requester, &increment(0.5));
            }
            for one in due(&mut aggregator, now) {
                if let Command::CallCounter { amount, .. } = one {
                    (calls, sum) = (calls + 1, sum + amount);
                    counted(&mut aggregator, now, Total(sum));
                }
            }
        }
        assert!((4..=5).contains(&calls), "{calls} calls for 20,000 increments");
        assert_eq!(aggregator.add(6 * S, 1, &increment(0.0)), AddResult::Total(10_000.0));
    }

    #[test]
    fn unavailable_counter_delays_only_the_first_requesters() {
        let mut aggregator = aggregator();
        assert_eq!(aggregator.add(S, 1, &increment(2.0)), AddResult::Pending);
        assert_eq!(due(&mut aggregator, S), [count(2.0)]);
        assert_eq!(due(&mut aggregator, S + 24 * MS), []);
        assert_eq!(due(&mut aggregator, S + 25 * MS), [Command::Reply(1, 2.0)], "half of the timeout");
        assert_eq!(aggregator.add(S + 26 * MS, 2, &increment(5.0)), AddResult::Total(7.0));
        assert_eq!(counted(&mut aggregator, S + 50 * MS, Timeout), []);
        assert_eq!(aggregator.add(S + 60 * MS, 3, &increment(1.0)), AddResult::Total(8.0));
        assert_eq!(
            due(&mut aggregator, 2 * S),
            [count(6.0)],
            "an amount that may have been added is not sent again"
        );
    }

    #[test]
    fn refused_amounts_are_sent_again_after_the_interval() {
        let mut aggregator = aggregator();
        aggregator.add(S, 1, &increment(2.0));
        assert_eq!(due(&mut aggregator, S), [count(2.0)]);
        assert_eq!(counted(&mut aggregator, S + MS, Refused), [Command::Reply(1, 2.0)]);
        assert_eq!(due(&mut aggregator, S + 2 * MS), []);
        assert_eq!(due(&mut aggregator, 2 * S), [count(2.0)]);
        assert_eq!(counted(&mut aggregator, 2 * S + MS, Total(f64::NAN)), [], "NaN is no total");
        assert_eq!(aggregator.add(2 * S + MS, 1, &increment(0.0)), AddResult::Total(2.0));
    }

    #[test]
    fn totals_never_fall_below_received_amounts_after_counter_reset() {
        let mut aggregator = aggregator();
        aggregator.add(S, 1, &increment(30.0));
        due(&mut aggregator, S);
        counted(&mut aggregator, S + MS, Total(80.0));
        assert_eq!(aggregator.add(S + 2 * MS, 1, &increment(1.0)), AddResult::Total(81.0));
        due(&mut aggregator, 2 * S);
        counted(&mut aggregator, 2 * S, Total(1.0));
        assert_eq!(aggregator.add(2 * S, 1, &increment(0.0)), AddResult::Total(31.0));
        assert_eq!(
            aggregator.add(2 * S, 1, &increment(-1.0)),
            AddResult::Total(30.0),
            "returned units reduce the total"
        );
    }

    #[test]
    fn draining_flushes_largest_amounts_first_and_declines_new_ones() {
        let mut aggregator = aggregator();
        for (name, amount) in [("a", 1.0), ("b", 7.0), ("c", 0.0)] {
            let increment = Increment { name: name.into(), amount, ttl_ms: 8_000 };
            aggregator.add(S, 1, &increment);
        }
        let last = aggregator.drain(S);
        let of = |one: &Command<u32>| match one {
            Command::CallCounter { name, amount, .. } => (name.clone(), *amount),
            Command::Reply(..) => panic!("no reply is due"),
        };
        assert_eq!(last.iter().map(of).collect::<Vec<_>>(), [("b".into(), 7.0), ("a".into(), 1.0)]);
        assert_eq!(aggregator.add(S, 1, &increment(1.0)), AddResult::Declined);
        let mut out = Vec::new();
        aggregator.call_finished(S + MS, "b", Total(9.0), &mut out);
        assert_eq!(out, [Command::Reply(1, 9.0)], "pending requesters still get replies");
    }

    #[test]
    fn expired_names_are_evicted_and_excess_names_are_declined() {
        let mut aggregator = aggregator();
        for n in 0..MAX_NAMES {
            let increment = Increment { name: format!("n{n}"), amount: 1.0, ttl_ms: 8_000 };
            assert_eq!(aggregator.add(S, 1, &increment), AddResult::Pending);
            // Lets the requester time out, which keeps the number pending below its limit.
            due(&mut aggregator, S + 25 * MS);
        }
        assert_eq!(aggregator.add(S, 1, &increment(1.0)), AddResult::Declined);
        due(&mut aggregator, S + WAIT);
        aggregator.evict_expired(S + 7 * S);
        assert_eq!(aggregator.stats().0, MAX_NAMES);
        aggregator.evict_expired(S + 8 * S);
        assert!(aggregator.stats().0 < 200, "names with a call in flight stay");
        assert!(aggregator.is_idle());
        assert_eq!(aggregator.add(10 * S, 1, &increment(1.0)), AddResult::Pending);
    }

    #[test]
    fn names_with_pending_requesters_are_called_first() {
        let mut aggregator: Aggregator<u32> = Aggregator::new(200, WAIT);
        for n in 0..9 {
            aggregator.add(S, n, &Increment { name: format!("old{n}"), amount: 1.0, ttl_ms: 8_000 });
        }
        due(&mut aggregator, S + 25 * MS);
        aggregator.add(3 * S, 9, &Increment { name: "zz".into(), amount: 1.0, ttl_ms: 8_000 });
        let called = due(&mut aggregator, 3 * S);
        let Some(Command::CallCounter { name, .. }) = called.first() else { panic!("{called:?}") };
        assert_eq!(name, "zz");
    }
}
