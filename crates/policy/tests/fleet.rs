//! Many gateways at once: the sum of their decisions, and workers that fail partially.

mod common;
use common::*;
use hingestage_policy::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 300;

fn fleet_settings() -> Settings {
    Settings { instances: GATEWAYS, ..settings() }
}

/// A gatekeeper of the fleet with its own seed.
fn gateway(seed: u64, config: &Settings, workers: &[u64]) -> Harness {
    let config = Settings { me: seed as u32, ..config.clone() };
    let mut s = Harness::new(config.clone(), &[]);
    s.gatekeeper = Gatekeeper::new(config, seed, START);
    (s.timers, s.log) = (Vec::new(), Vec::new());
    s.list(ListScope::Full, workers.iter().map(|id| worker(*id)).collect());
    s
}

/// A request of a customer that uses `gateways` gateways; returns its id.
fn request_via(s: &mut Harness, customer: &str, plan: usize, units: f64, gateways: u32) -> String {
    s.request_count += 1;
    let id = RequestId(format!("r-{}", s.request_count));
    let customer = CustomerId(customer.into());
    let (class, plan) = (Some(ClassId(0)), Some(PlanId(plan)));
    let name = id.0.clone();
    s.event(Event::Request(Request {
        id,
        customer,
        class,
        plan,
        units,
        gateways,
        first: 0,
        time_left: 2 * S,
    }));
    name
}

fn serve_all(s: &mut Harness) {
    while !s.in_flight.is_empty() {
        s.finish_oldest(Outcome::Ok);
    }
}

/// Sends small requests of distinct customers, 20 ms apart, each served at once.
fn request_and_serve(s: &mut Harness, requests: usize) {
    for n in 0..requests {
        s.request(&format!("c{n}"), 0, 0, 0.1);
        s.advance(20 * MS);
        serve_all(s);
    }
}

/// Workers used from send number `from` on.
fn workers_used(s: &Harness, from: usize) -> BTreeSet<u64> {
    s.sends[from..].iter().map(|(_, _, worker)| *worker).collect()
}

#[test]
fn three_hundred_gateways_do_not_overload_a_cold_worker() {
    let config = fleet_settings();
    let mut fleet: Vec<Harness> = (0..u64::from(GATEWAYS)).map(|n| gateway(n, &config, &[1, 2, 3])).collect();
    let mut by_second = BTreeMap::new();
    for step in 0..500u64 {
        for (n, s) in fleet.iter_mut().enumerate() {
            if step == 50 {
                s.list(ListScope::Delta, vec![WorkerInfo { started: Some(s.now), ..worker(4) }]);
            }
            let before = s.sends.len();
            // About two requests a second per gateway, 600 over all warm workers.
            if (step + n as u64).is_multiple_of(25) {
                s.request(&format!("c{n}-{step}"), 0, 0, 0.1);
            }
            s.advance(20 * MS);
            let cold = s.sends[before..].iter().filter(|(_, _, w)| *w == 4).count();
            *by_second.entry(step / 50).or_insert(0usize) += cold;
            if step % 5 == 0 {
                serve_all(s);
            }
        }
    }
    // Answers take up to 100 ms: a one-core worker serves 10 a second when warm, a fifth of that at its
    // start, and overloads above twice its capacity.
    for (second, sent) in &by_second {
        let age = second.saturating_sub(1) as f64;
        let capacity = 10.0 * (0.2 + 0.08 * (age + 1.0));
        assert!((*sent as f64) <= 2.0 * capacity + 2.0, "second {second}: {sent} sent to the cold worker");
    }
    assert!(by_second.values().sum::<usize>() > 10, "the cold worker must get something: {by_second:?}");
}

#[test]
fn three_hundred_gateways_keep_a_ceiling_without_a_counter() {
    let mut config = fleet_settings();
    config.counter = false;
    config.plans[1] =
        Plan { ceiling_rate: 600.0, ceiling_burst: 1200.0, ceiling_slack: 120.0, ..Plan::default() };
    let mut fleet: Vec<Harness> = (0..u64::from(GATEWAYS)).map(|n| gateway(n, &config, &[1])).collect();
    // Wait until all shares are full.
    fleet.iter_mut().for_each(|s| s.advance(5 * S));
    let (mut level, mut lowest) = (1200.0f64, 1200.0f64);
    for _ in 0..200 {
        level = (level + 600.0 * 0.05).min(1200.0);
        for s in fleet.iter_mut() {
            let before = s.sends.len();
            request_via(s, "ada", 1, 2.0, GATEWAYS);
            serve_all(s);
            s.advance(50 * MS);
            level -= 2.0 * (s.sends.len() - before) as f64;
            serve_all(s);
        }
        lowest = lowest.min(level);
    }
    assert!(lowest >= -120.0, "the level fell to {lowest}");
    assert!(lowest < 100.0, "the test must reach the ceiling: {lowest}");
}

#[test]
fn share_below_one_request_is_decided_by_a_fresh_total() {
    for (already, served) in [(0.0, true), (30.0, false)] {
        let mut s = gateway(5, &fleet_settings(), &[1]);
        s.advance(2 * S);
        let id = request_via(&mut s, "ada", 0, 4.0, 150);
        assert_eq!((s.sent(&id), s.calls.len()), (0, 1), "one call reports and asks");
        let name = s.calls[0].0.clone();
        s.event(Event::Counter { name, outcome: CounterOutcome::Total(already + s.calls[0].1) });
        assert_eq!(s.sent(&id) == 1, served, "{already} of 20 used by others");
        assert_eq!(matches!(s.answer_of(&id), Some(Answer::Refused(_))), !served);
    }
}

#[test]
fn shares_below_one_request_sum_to_the_quota_without_a_counter() {
    let mut config = fleet_settings();
    config.counter = false;
    let mut fleet: Vec<Harness> = (0..100).map(|n| gateway(n, &config, &[1])).collect();
    let mut later = 0.0;
    for second in 0..100u64 {
        for s in fleet.iter_mut() {
            let before = s.sends.len();
            request_via(s, "ada", 0, 2.0, 100);
            serve_all(s);
            s.advance(S);
            later += if second >= 40 { 2.0 * (s.sends.len() - before) as f64 } else { 0.0 };
        }
    }
    // 200 units a second requested, 10 a second allowed: about 600 in 60 s.
    assert!((300.0..=700.0).contains(&later), "{later} units admitted over 60 s");
}

#[test]
fn call_rate_adapts_to_the_counter_and_recovers_after_an_outage() {
    // The counter answers 40 calls in each 100 ms and refuses the rest.
    let config = fleet_settings();
    let mut fleet: Vec<Harness> = (0..u64::from(GATEWAYS)).map(|n| gateway(n, &config, &[1])).collect();
    let (mut asked, mut answered) = (vec![0; 30], vec![0; 30]);
    for step in 0..300u64 {
        let mut room = if (150..200).contains(&step) { 0 } else { 40 };
        for n in 0..fleet.len() {
            // Rotate the order, so that no gateway is always refused.
            let at = (n + 37 * step as usize) % fleet.len();
            let s = &mut fleet[at];
            request_via(s, &format!("c{at}-{step}"), 0, 2.0, 150);
            for (name, amount) in std::mem::take(&mut s.calls) {
                let ok = room > 0;
                room -= i32::from(ok);
                asked[step as usize / 10] += 1;
                answered[step as usize / 10] += i32::from(ok);
                let outcome = if ok { CounterOutcome::Total(amount) } else { CounterOutcome::Refused };
                s.event(Event::Counter { name, outcome });
            }
            serve_all(s);
            s.advance(100 * MS);
        }
    }
    assert!(asked[0] <= 800, "{} calls in the first second", asked[0]);
    for second in [8, 11, 14, 26, 29] {
        assert!(answered[second] >= 200, "second {second}: {} of 400 answered", answered[second]);
        assert!(asked[second] <= 900, "second {second}: {} calls where 400 can be taken", asked[second]);
    }
    assert!(asked[19] <= asked[14], "fewer calls during the outage: {asked:?}");
}

#[test]
fn worker_failing_one_class_is_avoided_for_that_class_only() {
    for silent in [false, true] {
        let mut s = Harness::new(settings(), &[1, 2, 3]);
        let mut at_bad = [0, 0];
        for step in 0..600u64 {
            let class = (step % 2) as usize * 2;
            let before = s.sends.len();
            s.request(&format!("c{step}"), class, 0, 1.0);
            for (_, _, w) in &s.sends[before..] {
                at_bad[class / 2] += usize::from(*w == 1 && step >= 200);
            }
            s.advance(20 * MS);
            // Class 0 fails at worker 1; odd requests are of class 2 there and are served.
            let fails = |o: &InFlight| o.worker == 1 && o.request.ends_with(['1', '3', '5', '7', '9']);
            for o in std::mem::take(&mut s.in_flight) {
                match (fails(&o), silent && s.answer_of(&o.request).is_none()) {
                    (true, true) => s.in_flight.push(o),
                    (true, false) => s.finish(o, if silent { Outcome::Cancelled } else { Outcome::Error }),
                    (false, _) => s.finish(o, Outcome::Ok),
                }
            }
        }
        assert!(at_bad[0] <= 20, "{} of the failing class sent there, silent: {silent}", at_bad[0]);
        assert!(at_bad[1] >= 30, "{} of the other class sent there, silent: {silent}", at_bad[1]);
    }
}

#[test]
fn lost_answers_neither_eject_the_fleet_nor_repeat_effects() {
    // Every fifth answer is lost; the keyed class stays within its cell and window.
    let cell = |id: u64| WorkerInfo { cell: id % 3, ..worker(id) };
    let mut s = Harness::with(settings(), (1..=9).map(cell).collect());
    let mut class_of = BTreeMap::new();
    for step in 0..900u64 {
        let class = (step % 3) as usize;
        class_of.insert(s.request(&format!("c{step}"), class, 0, 1.0), class);
        s.advance(20 * MS);
        let (due, rest) = std::mem::take(&mut s.in_flight).into_iter().partition(|o: &InFlight| {
            let n = o.request.trim_start_matches("r-").parse::<u64>().unwrap();
            !(n + o.attempt as u64).is_multiple_of(5)
        });
        s.in_flight = rest;
        let due: Vec<InFlight> = due;
        due.into_iter().for_each(|o| s.finish(o, Outcome::Ok));
    }
    let mut used: Vec<u64> = s.sends[s.sends.len() - 200..].iter().map(|(_, _, w)| *w).collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() >= 5, "only workers {used:?} are used");
    for (id, class) in &class_of {
        let sends: Vec<&(Micros, String, u64)> = s.sends.iter().filter(|(_, other, _)| other == id).collect();
        match class {
            1 => assert!(sends.iter().all(|x| x.2 % 3 == sends[0].2 % 3 && x.0 < sends[0].0 + S)),
            2 => assert!(sends.len() <= 1, "{id} may have run and was sent again"),
            _ => {}
        }
    }
    let refused = class_of.keys().filter(|id| matches!(s.answer_of(id), Some(Answer::Refused(_)))).count();
    assert!(refused <= 20, "{refused} of 900 refused");
}

/// Three workers with two cores and 50 ms a request, shared by a hundred gateways.
struct SharedWorkers {
    fleet: Vec<Harness>,
    /// When each core of each worker is free.
    cores: [[Micros; 2]; 3],
    served: usize,
    refused: usize,
    held: u64,
    steps: u64,
}

impl SharedWorkers {
    fn new() -> SharedWorkers {
        let mut config = settings();
        (config.instances, config.counter, config.plans[0].rate) = (100, false, 0.0);
        config.plans[0].burst = 0.0;
        let fleet = (0..100).map(|n| gateway(n, &config, &[0, 1, 2])).collect();
        SharedWorkers { fleet, cores: [[START; 2]; 3], served: 0, refused: 0, held: 0, steps: 0 }
    }

    /// Advances by 5 ms. `asks` says whether a gateway gets a request, `worked` how long one takes.
    fn step(&mut self, asks: impl Fn(usize, u64) -> bool, worked: impl Fn(u64) -> Micros) {
        let step = self.steps;
        self.steps += 1;
        for n in 0..self.fleet.len() {
            let s = &mut self.fleet[n];
            if asks(n, step) {
                let (known, id) = (s.sends.len(), request_via(s, &format!("c{n}"), 0, 0.0, 2));
                self.refused += usize::from(s.answer_of(&id).is_some());
                self.begin(n, known, &worked);
            }
            let s = &mut self.fleet[n];
            let (known, answered) = (s.sends.len(), s.answers.len());
            s.advance(5 * MS);
            self.refused += s.answers.len() - answered;
            self.begin(n, known, &worked);
            let s = &mut self.fleet[n];
            let done: Vec<InFlight> = std::mem::take(&mut s.in_flight);
            for o in done {
                // Until its answer is due, `sent` holds the due time.
                if s.now >= o.sent {
                    self.served += 1;
                    let out =
                        InFlight { sent: s.sends.iter().rev().find(|x| x.1 == o.request).unwrap().0, ..o };
                    s.finish(out, Outcome::Ok);
                } else {
                    s.in_flight.push(o);
                }
            }
            self.held += s.in_flight.len() as u64;
        }
    }

    /// Assigns new sends to cores and stores in `sent` when their answers are due.
    fn begin(&mut self, n: usize, known: usize, worked: &impl Fn(u64) -> Micros) {
        let s = &mut self.fleet[n];
        for (at, id, worker) in s.sends[known..].iter().cloned() {
            let core = self.cores[worker as usize].iter_mut().min().unwrap();
            *core = (*core).max(at) + worked(worker);
            let due = *core;
            s.in_flight.iter_mut().filter(|o| o.request == id).for_each(|o| o.sent = due);
        }
    }
}

/// Guards against one slow answer blocking a gateway whose share of the in-flight limit is below one
/// request.
#[test]
fn hundred_gateways_serve_everything_on_three_idle_workers() {
    let mut shared = SharedWorkers::new();
    // Each gateway gets a pair of requests every 3 s: 67 a second, of a capacity of 120. One answer in 97
    // takes 1.2 s.
    let slow = std::cell::Cell::new(0u64);
    for _ in 0..6_000 {
        let asks = |n: usize, step: u64| matches!((step + 6 * n as u64) % 600, 0 | 3);
        shared.step(asks, |_| {
            slow.set(slow.get() + 1);
            if slow.get().is_multiple_of(97) {
                1_200 * MS
            } else {
                25 * MS
            }
        });
    }
    let all = shared.served + shared.refused;
    println!("idle: {} of {all} refused", shared.refused);
    assert!(all >= 1_900, "{all} asked");
    assert!(shared.refused * 100 <= all, "{} of {all} refused by an idle fleet", shared.refused);
}

/// Guards against exceeding the in-flight limit at ten times the workers' capacity.
#[test]
fn hundred_gateways_keep_the_inflight_limit_in_a_flood() {
    let mut shared = SharedWorkers::new();
    let mut held = Vec::new();
    for second in 0..40 {
        (shared.held, shared.served, shared.refused) = (0, 0, 0);
        for _ in 0..200 {
            shared.step(|n, step| (step + n as u64).is_multiple_of(16), |_| 50 * MS);
        }
        held.push(shared.held / 200);
        println!(
            "second {second}: {} out, {} served, {} refused",
            shared.held / 200,
            shared.served,
            shared.refused
        );
    }
    let late = held[10..].iter().sum::<u64>() / 30;
    assert!(late <= 24, "{late} out on the mean, at six cores: {held:?}");
    assert!(shared.served >= 90, "{} served in the last second, of 120 possible", shared.served);
}

/// Guards against a hundred gateways that each use all workers, with a connection to each and too few
/// answers to learn from.
#[test]
fn subsets_are_small_and_balanced() {
    let config = Settings { instances: 100, ..settings() };
    let workers: Vec<u64> = (1..=60).collect();
    let mut near: BTreeMap<u64, usize> = BTreeMap::new();
    for n in 0..100 {
        let mut s = gateway(n, &config, &workers);
        request_and_serve(&mut s, 200);
        let mine = workers_used(&s, 0);
        assert!((3..=24).contains(&mine.len()), "gateway {n} used {} workers", mine.len());
        mine.iter().for_each(|w| *near.entry(*w).or_default() += 1);
    }
    assert_eq!(near.len(), 60, "a worker is in no subset");
    assert!(near.values().all(|gateways| *gateways <= 20), "{near:?}");
}

/// Guards against reshuffled subsets: a removed worker must not move the other 59.
#[test]
fn removing_a_worker_leaves_other_subset_members_in_place() {
    let config = Settings { instances: 100, ..settings() };
    for n in 0..20 {
        let mut s = gateway(n, &config, &(1..=60).collect::<Vec<u64>>());
        request_and_serve(&mut s, 200);
        let before = workers_used(&s, 0);
        let sends = s.sends.len();
        s.list(ListScope::Full, (2..=60).map(worker).collect());
        request_and_serve(&mut s, 200);
        let after = workers_used(&s, sends);
        // The fleet shrinks by one in sixty: any other worker may enter one more gateway's subset.
        let kept = before.iter().filter(|w| **w != 1 && after.contains(w)).count();
        assert!(kept + 2 >= before.len(), "{kept} of {} kept", before.len());
        assert!(after.len() <= before.len() + 3, "{} then {}", before.len(), after.len());
    }
}

/// Guards against cold shares too small for a single send: twelve of a hundred gateways share a cold worker
/// and stay within its budget.
#[test]
fn few_of_a_hundred_gateways_share_a_cold_worker() {
    let config = Settings { instances: 100, ..settings() };
    let workers: Vec<u64> = (1..=60).collect();
    let mut fleet: Vec<Harness> = (0..100).map(|n| gateway(n, &config, &workers)).collect();
    let (mut senders, mut sends) = (0, 0);
    for s in fleet.iter_mut() {
        s.list(ListScope::Delta, vec![WorkerInfo { started: Some(s.now), ..worker(61) }]);
        let before = s.sends.len();
        request_and_serve(s, 300);
        let cold = s.sends[before..].iter().filter(|(_, _, w)| *w == 61).count();
        senders += usize::from(cold > 0);
        sends += cold;
    }
    assert!((6..=12).contains(&senders), "{senders} gateways");
    // Six seconds at a fifth to two thirds of its warm capacity, of which twice as much may be sent.
    assert!((6..=100).contains(&sends), "{sends} sends");
}

/// Guards against gateways without a share of any worker when a whole small fleet has just started.
#[test]
fn every_gateway_sends_when_a_small_fleet_is_cold() {
    let config = Settings { instances: 100, ..settings() };
    for n in 0..100 {
        let mut s = gateway(n, &config, &[]);
        let cold = |id| WorkerInfo { started: Some(START), ..worker(id) };
        s.list(ListScope::Full, (1..=3).map(cold).collect());
        request_and_serve(&mut s, 500);
        assert!(!s.sends.is_empty(), "gateway {n} sent nothing in ten seconds");
    }
}

/// Guards against sending to a draining worker that is still listed as ready: a rejection of our only
/// request shows it.
#[test]
fn worker_rejecting_our_only_request_is_avoided() {
    let mut s = gateway(1, &settings(), &[1, 2, 3, 4]);
    s.request("a", 0, 0, 0.1);
    let closed = s.sends[0].2;
    s.finish_oldest(Outcome::Full);
    serve_all(&mut s);
    request_and_serve(&mut s, 40);
    assert!(s.sends.len() > 40);
    assert!(s.sends[1..].iter().all(|(_, _, w)| *w != closed), "sent to {closed} again");
}

/// Guards against spending the retry budget on unreachable workers, which have done no work.
#[test]
fn retries_after_failed_connections_are_free() {
    let mut s = gateway(1, &settings(), &(1..=20).collect::<Vec<u64>>());
    for step in 0..20 {
        s.request(&format!("c{step}"), 0, 0, 0.1);
        for _ in 0..3 {
            assert!(!s.in_flight.is_empty(), "request {step} was not retried");
            s.finish_oldest(Outcome::ConnectFailed);
        }
        serve_all(&mut s);
        s.advance(500 * MS);
    }
    assert_eq!(s.sends.len(), 80);
}
