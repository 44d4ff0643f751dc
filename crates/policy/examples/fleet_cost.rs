//! Measures the time to apply a worker list and a fleet view:
//! `cargo run --release -p hingestage-policy --example fleet_cost`.

use hingestage_policy::{
    Action, Event, Gatekeeper, LeaseView, ListScope, Settings, WorkerId, WorkerInfo, WorkerList,
};
use std::time::{Duration, Instant};

/// Samples per median.
const SAMPLES: usize = 21;

fn settings(gateways: u32) -> Settings {
    Settings { instances: gateways, me: 7, ..Settings::default() }
}

fn list(workers: u64) -> Event {
    let info =
        |n: u64| WorkerInfo { hash: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), ..WorkerInfo::ready(WorkerId(n)) };
    Event::Workers(WorkerList { scope: ListScope::Full, workers: (0..workers).map(info).collect() })
}

/// A view in which seven of ten gateways are absent.
fn view(number: u64, gateways: u32) -> Event {
    let absent = (0..gateways).filter(|n| n % 10 >= 3 && *n != 7).collect();
    Event::Fleet(LeaseView {
        version: number,
        me: 7,
        gateways,
        reserved_fraction: 0.5,
        holds_lease: true,
        absent,
        valid_until: u64::MAX,
    })
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e3
}

fn timed(gatekeeper: &mut Gatekeeper, event: Event) -> Duration {
    let mut actions: Vec<Action> = Vec::new();
    let start = Instant::now();
    gatekeeper.handle(1, event, &mut actions);
    start.elapsed()
}

fn main() {
    println!("gateways x workers   first list   same list   the same with a view   change of view (ms)");
    for (gateways, workers) in [(10, 8), (300, 200), (1_000, 1_000)] {
        let fresh = || Gatekeeper::new(settings(gateways), 1, 0);
        let first = median((0..SAMPLES).map(|_| timed(&mut fresh(), list(workers))).collect());
        let mut gatekeeper = fresh();
        timed(&mut gatekeeper, list(workers));
        let again = median((0..SAMPLES).map(|_| timed(&mut gatekeeper, list(workers))).collect());
        let change =
            median((0..SAMPLES as u64).map(|n| timed(&mut gatekeeper, view(n + 1, gateways))).collect());
        let viewed = median((0..SAMPLES).map(|_| timed(&mut gatekeeper, list(workers))).collect());
        let sizes = format!("{gateways} x {workers}");
        println!("{sizes:<20} {first:>10.3} {again:>11.3} {viewed:>22.3} {change:>16.3}");
    }
}
