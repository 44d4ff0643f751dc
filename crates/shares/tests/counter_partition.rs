//! Partition with the counter as the only common voter: a gateway that restarts on one side must not hold its
//! lease while the other side still relies on heartbeat marks read before the restart.

use hingestage_fleet::roll_call::RollCall;
use hingestage_shares::{Lease, LeaseConfig, LeaseState, Micros, Voter};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const STEP_INTERVAL: Micros = 50_000;
const EPOCH: Micros = 1_000_000 * S;
const FIRST_SIDE: [u32; 2] = [0, 1];
const SECOND_SIDE: [u32; 3] = [2, 3, 4];

fn config() -> LeaseConfig {
    LeaseConfig {
        gateways: 5,
        counter_votes: 2,
        lease: 18 * S / 10,
        absence_timeout: 2 * S,
        warm_up: 2 * S,
        reserved_fraction: 0.5,
    }
}

struct Gateway {
    me: u32,
    roll: RollCall,
    lease: Lease,
    up: bool,
}

fn start(me: u32, now: Micros) -> Gateway {
    Gateway { me, roll: RollCall::new(me, 5, now), lease: Lease::new(me, config()), up: true }
}

/// Faults of gateway 0, which reads the marks late.
struct Faults {
    /// Time span of a stall, relative to the start; on wake-up it reads its slot at once.
    stalled: (Micros, Micros),
    /// Time span in which its calls are lost, relative to the start.
    lost: (Micros, Micros),
    /// Lag of its clock, µs.
    clock_lag: Micros,
    /// Whether the other side received a leave message before the partition.
    leave: LeaveMessage,
}

#[derive(Clone, Copy, PartialEq)]
enum LeaveMessage {
    None,
    /// Valid until a later heartbeat mark.
    Received,
    /// Injected defect: later heartbeat marks do not invalidate it.
    NeverExpires,
}

/// Maximum fraction in use while gateway 2 dies and restarts, and whether any gateway ever held its lease.
fn max_in_use(faults: &Faults) -> (f64, bool) {
    let mut gateways: Vec<Gateway> = (0..5).map(|me| start(me, EPOCH)).collect();
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    let (mut max, mut held) = (0.0f64, false);
    let is_within = |since: Micros, span: (Micros, Micros)| (span.0..span.1).contains(&since);
    for step in 0..45 * S / STEP_INTERVAL {
        let since = step * STEP_INTERVAL;
        let now = EPOCH + since;
        if since == 20 * S {
            gateways[2].up = false;
            let last = gateways[2].roll.stop();
            let last = if faults.leave == LeaveMessage::NeverExpires { u64::MAX - 1 } else { last };
            for gateway in gateways[..2].iter_mut().filter(|_| faults.leave != LeaveMessage::None) {
                if let Some(found) = gateway.roll.set_goodbyes([(2, last)].into()) {
                    gateway.lease.record_ack(now, Voter::Counter, found.issued, found.absent);
                }
            }
        }
        if since == 294 * S / 10 {
            gateways[2] = start(2, now);
        }
        let awake = |gateway: &Gateway| gateway.up && !(gateway.me == 0 && is_within(since, faults.stalled));
        let up: BTreeSet<u32> =
            gateways.iter().filter(|gateway| awake(gateway)).map(|gateway| gateway.me).collect();
        let side_of = |me: u32| if FIRST_SIDE.contains(&me) { &FIRST_SIDE[..] } else { &SECOND_SIDE[..] };
        for gateway in gateways.iter_mut().filter(|gateway| up.contains(&gateway.me)) {
            let clock = now - if gateway.me == 0 { faults.clock_lag } else { 0 };
            for call in gateway.roll.due_calls(clock) {
                let total = totals.entry(call.name.clone()).or_default();
                let lost = gateway.me == 0 && is_within(since, faults.lost);
                *total += if lost { 0.0 } else { call.amount };
                if let Some(found) = gateway.roll.handle_answer(&call.name, Some(*total).filter(|_| !lost)) {
                    gateway.lease.record_ack(clock, Voter::Counter, found.issued, found.absent);
                }
            }
            // Heartbeats pass only within a gateway. Gateways down there have been absent long enough to be listed.
            let unheard = |of: u32| -> BTreeSet<u32> {
                (0..5).filter(|g| !side_of(of).contains(g) || !up.contains(g) && *g != 0).collect()
            };
            for other in
                side_of(gateway.me).iter().filter(|other| **other != gateway.me && up.contains(other))
            {
                gateway.lease.record_ack(clock, Voter::Gateway(*other), clock, unheard(*other));
            }
        }
        let mut sum = 0.0;
        for gateway in gateways.iter_mut().filter(|gateway| up.contains(&gateway.me)) {
            let clock = now - if gateway.me == 0 { faults.clock_lag } else { 0 };
            let unheard = (0..5).filter(|g| !side_of(gateway.me).contains(g)).collect();
            sum += gateway.lease.view(clock, &unheard).share(clock, 0, 5).fraction;
            held |= matches!(gateway.lease.state(clock), LeaseState::Held(_));
        }
        max = max.max(sum);
    }
    (max, held)
}

#[test]
fn late_reader_of_marks_takes_nothing_from_a_restarted_gateway() {
    for stall_steps in 0..40 {
        for lost_s in 0..4 {
            // It wakes up at any time within the slot of the restart or the next one.
            let wakes = 295 * S / 10 + stall_steps * STEP_INTERVAL;
            let faults = Faults {
                stalled: (295 * S / 10, wakes),
                lost: (wakes + S / 10, wakes + S / 10 + lost_s * S),
                clock_lag: 0,
                leave: [LeaveMessage::None, LeaveMessage::Received][stall_steps as usize % 2],
            };
            let (max, held) = max_in_use(&faults);
            assert!(held);
            assert!(
                max <= 1.0 + 1e-9,
                "{max} in use, awake after {} ms, lost for {lost_s} s",
                stall_steps * 50
            );
        }
    }
}

#[test]
fn reader_with_a_lagging_clock_takes_nothing_from_a_restarted_gateway() {
    for clock_lag in 0..19 {
        for stall_steps in 0..40 {
            let clock_lag = clock_lag * STEP_INTERVAL;
            let wakes = 295 * S / 10 + stall_steps * STEP_INTERVAL + clock_lag;
            let faults = Faults {
                stalled: (295 * S / 10 + clock_lag, wakes),
                lost: (wakes + S / 10, wakes + 3 * S),
                clock_lag,
                leave: [LeaveMessage::None, LeaveMessage::Received][stall_steps as usize % 2],
            };
            let (max, held) = max_in_use(&faults);
            assert!(held);
            assert!(
                max <= 1.0 + 1e-9,
                "{max} in use, {clock_lag} us behind, awake after {} ms",
                stall_steps * 50
            );
        }
    }
}

#[test]
fn leave_message_that_never_expires_is_detected() {
    let faults = Faults { stalled: (0, 0), lost: (0, 0), clock_lag: 0, leave: LeaveMessage::NeverExpires };
    let (max, held) = max_in_use(&faults);
    assert!(held && max > 1.0 + 1e-9, "{max} in use");
}
