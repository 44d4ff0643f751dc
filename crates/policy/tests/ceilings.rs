//! Ceilings over many gateways: the shared pool granted by the counter never exceeds its part.

mod common;
use common::*;
use hingestage_policy::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 13;
/// Units a second requested through each gateway.
const FLOOD: f64 = 60.0;

/// A quota far above the ceiling, so that only the ceiling limits a flood.
fn ceiling_settings(me: u32) -> Settings {
    let mut config = Settings { instances: GATEWAYS, me, units_estimated: false, ..settings() };
    (config.plans[1].rate, config.plans[1].burst) = (1_000.0, 2_000.0);
    config
}

/// Gateways with one counter and with workers that all answer at once.
struct Fleet {
    gatekeepers: Vec<Gatekeeper>,
    totals: BTreeMap<String, f64>,
    now: Micros,
    request_count: u64,
    /// Time and units of each send.
    sent: Vec<(Micros, f64)>,
}

impl Fleet {
    fn new() -> Self {
        let mut gatekeepers: Vec<Gatekeeper> =
            (0..GATEWAYS).map(|me| Gatekeeper::new(ceiling_settings(me), u64::from(me), START)).collect();
        for gatekeeper in &mut gatekeepers {
            let list = WorkerList { scope: ListScope::Full, workers: (1..=20).map(worker).collect() };
            gatekeeper.handle(START, Event::Workers(list), &mut Vec::new());
        }
        // Past the start, when a gateway's own share counts as used.
        Fleet { gatekeepers, totals: BTreeMap::new(), now: START + 4 * S, request_count: 0, sent: Vec::new() }
    }

    fn feed(&mut self, n: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.gatekeepers[n].handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Count { name, amount, .. } => {
                        let total = self.totals.entry(name.0.clone()).or_default();
                        *total += amount;
                        events.push(Event::Counter { name, outcome: CounterOutcome::Total(*total) });
                    }
                    Action::Send { request, .. } => {
                        let units = request.0.rsplit('-').next().and_then(|u| u.parse().ok()).unwrap_or(0.0);
                        self.sent.push((self.now, units));
                        events.push(Event::AttemptDone(AttemptDone {
                            request,
                            attempt: 0,
                            outcome: Outcome::Ok,
                            latency: 10 * MS,
                            closed: true,
                            true_units: None,
                        }));
                    }
                    _ => {}
                }
            }
        }
    }

    /// A request of one customer whose plan has a ceiling.
    fn request(&mut self, n: usize, units: f64) {
        self.request_count += 1;
        self.feed(
            n,
            Event::Request(Request {
                id: RequestId(format!("r-{}-{units}", self.request_count)),
                customer: CustomerId("ente".into()),
                class: Some(ClassId(0)),
                plan: Some(PlanId(1)),
                units,
                gateways: GATEWAYS,
                first: 0,
                time_left: 2 * S,
            }),
        );
        self.feed(n, Event::Timer(TimerToken(0)));
    }

    /// Largest overdraft of a token bucket with the ceiling's rate and burst.
    fn overdraft(&self) -> f64 {
        let plan = &settings().plans[1];
        let (mut level, mut at, mut worst) = (plan.ceiling_burst, self.sent[0].0, 0.0f64);
        for (t, units) in &self.sent {
            level = (level + plan.ceiling_rate * (t - at) as f64 / 1e6).min(plan.ceiling_burst) - units;
            (at, worst) = (*t, worst.max(-level));
        }
        worst
    }
}

/// Sends far more than the ceiling through all gateways.
fn flood(fleet: &mut Fleet, seconds: u64, mut each_step: impl FnMut(&mut Fleet, u64)) {
    for step in 0..seconds * 50 {
        for n in 0..GATEWAYS as usize {
            fleet.request(n, FLOOD / 50.0);
        }
        each_step(fleet, step);
        fleet.now += 20 * MS;
    }
}

/// Guards against shares and pool slots that add up to more than the ceiling.
#[test]
fn flood_through_thirteen_gateways_stays_within_the_ceiling() {
    let mut fleet = Fleet::new();
    flood(&mut fleet, 20, |_, _| {});
    assert!(fleet.overdraft() <= settings().plans[1].ceiling_slack, "{} over the ceiling", fleet.overdraft());
}

/// Guards against granting a slot's pool more than twice after the counter lost its data.
#[test]
fn counter_data_loss_within_a_slot_keeps_the_ceiling() {
    for forget_at in 0..60 {
        let mut fleet = Fleet::new();
        flood(&mut fleet, 4, |fleet, step| {
            if step == 60 + forget_at {
                fleet.totals.clear();
            }
        });
        assert!(
            fleet.overdraft() <= settings().plans[1].ceiling_slack,
            "{forget_at}: {} over the ceiling",
            fleet.overdraft()
        );
    }
}

/// Guards against an even split that starves the only gateway a customer uses: a thirteenth of 20 units a
/// second never passes a request of 4 units.
#[test]
fn single_busy_gateway_gets_more_than_an_even_share() {
    let mut fleet = Fleet::new();
    for _ in 0..80 {
        fleet.request(3, 4.0);
        fleet.now += 500 * MS;
    }
    let sent: f64 = fleet.sent.iter().map(|(_, units)| units).sum();
    // 320 units requested in 40 s at 8 a second, under a ceiling of 20 a second.
    assert!(sent >= 280.0, "{sent} units sent");
}

/// Guards against using units that the counter did not grant.
#[test]
fn exhausted_slot_grants_nothing() {
    let mut fleet = Fleet::new();
    flood(&mut fleet, 3, |fleet, _| {
        fleet.totals.iter_mut().filter(|(name, _)| name.starts_with('^')).for_each(|(_, total)| *total = 1e6);
    });
    let sent: f64 = fleet.sent.iter().map(|(_, units)| units).sum();
    // Own shares: 0.4 of a burst of 40 and of 20 units a second for 7 s, and the first grant of each slot.
    assert!(sent <= 0.4 * (40.0 + 140.0) + 4.0 + 8.0 * 4.0, "{sent} units sent");
}

/// Guards against granting the pool of the old and of the new plan's slots while gateways switch plans at
/// different times.
#[test]
fn plan_changes_do_not_grant_the_pool_twice() {
    for phase in 0..5u64 {
        let mut fleet = Fleet::new();
        for step in 0..1_500u64 {
            // Every 1.5 s, spread over 260 ms: one gateway in each step.
            let (change, gateway) = ((step + phase * 17) / 75, (step + phase * 17) % 75);
            if gateway < GATEWAYS.into() {
                let mut plans = ceiling_settings(0).plans;
                plans[1].ceiling_rate -= change as f64 * 0.05;
                let terms = Terms { classes: ceiling_settings(0).classes, plans };
                fleet.feed(gateway as usize, Event::Terms(Some(terms)));
            }
            (0..GATEWAYS as usize).for_each(|n| fleet.request(n, 1.0));
            fleet.now += 20 * MS;
        }
        assert!(
            fleet.overdraft() <= settings().plans[1].ceiling_slack,
            "{phase}: {} over the ceiling",
            fleet.overdraft()
        );
    }
}
