//! What a list of workers and a change of view cost one gateway, beside the same list without a view:
//! `cargo run --release -p hingestage-policy --example fleet_cost`.

use hingestage_policy::{
    Action, Event, Gatekeeper, LeaseView, ListScope, Settings, WorkerId, WorkerInfo, WorkerList,
};
use std::time::{Duration, Instant};

/// Each figure is the middle one of so many.
const TIMES: usize = 21;

fn settings(gateways: u32) -> Settings {
    Settings { instances: gateways, me: 7, ..Settings::default() }
}

fn list(workers: u64) -> Event {
    let info =
        |n: u64| WorkerInfo { mark: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), ..WorkerInfo::ready(WorkerId(n)) };
    Event::Workers(WorkerList { scope: ListScope::Full, workers: (0..workers).map(info).collect() })
}

/// Seven in ten are gone.
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

fn middle(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e3
}

fn timed(keeper: &mut Gatekeeper, event: Event) -> Duration {
    let mut out: Vec<Action> = Vec::new();
    let begun = Instant::now();
    keeper.handle(1, event, &mut out);
    begun.elapsed()
}

fn main() {
    println!("gateways x workers   first list   same list   the same with a view   change of view (ms)");
    for (gateways, workers) in [(10, 8), (300, 200), (1_000, 1_000)] {
        let fresh = || Gatekeeper::new(settings(gateways), 1, 0);
        let first = middle((0..TIMES).map(|_| timed(&mut fresh(), list(workers))).collect());
        let mut keeper = fresh();
        timed(&mut keeper, list(workers));
        let again = middle((0..TIMES).map(|_| timed(&mut keeper, list(workers))).collect());
        let change = middle((0..TIMES as u64).map(|n| timed(&mut keeper, view(n + 1, gateways))).collect());
        let viewed = middle((0..TIMES).map(|_| timed(&mut keeper, list(workers))).collect());
        let sizes = format!("{gateways} x {workers}");
        println!("{sizes:<20} {first:>10.3} {again:>11.3} {viewed:>22.3} {change:>16.3}");
    }
}
