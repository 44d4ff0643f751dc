//! The list of workers at a proxy: its bytes, and what taking it in costs.

use crate::fixtures;
use crate::measure::{resident, seconds_each, thread_cpu, Report, RUNS};
use eyre::Result;
use hingestage_platform::Tokio;
use hingestage_proxy::services::{ServiceKey, Services};
use hingestage_proxy::view::{View, ViewSettings};
use hingestage_rpc::messages::RegistryAnswer;
use hingestage_rpc::{decoded, encoded};
use std::hint::black_box;
use std::rc::Rc;

const SPANS: ViewSettings = ViewSettings {
    zone_return_delay: 2_500_000,
    cold_margin: 300_000,
    key_lease: None,
    share_lease: 11_000_000,
    trials: hingestage_trial::TrialTiming::DEFAULT,
};
/// Workers handled in one run, about.
const HANDLED: usize = 20_000;
/// Lists taken in one run.
const TAKEN: usize = 2;
/// Any moment.
const NOW: u64 = 1_000_000;

/// Plays a list of so many workers. Memory comes first: what was freed before would be used again unseen.
pub fn play(count: usize) -> Result<()> {
    let services = fixtures::services_of(count);
    let report = Report::new("workers", &format!("{count} of {services} services"));
    let mut view = measure_view_memory(&report, count);
    measure_services(&report, services, &mut view, count);
    measure_take(&report, &mut view, count);
    measure_message(&report, count);
    Ok(())
}

fn measure_view_memory(report: &Report, count: usize) -> View {
    let before = resident();
    let mut view = View::new(SPANS);
    view.followed_mut().apply_updates(NOW, fixtures::all_workers(1, count));
    report.bytes("memory of the view", resident().saturating_sub(before));
    view
}

fn measure_services(report: &Report, count: usize, view: &mut View, workers: usize) {
    let settings = Rc::new(fixtures::proxy_settings());
    let services = Services::new(settings, std::time::Instant::now(), Tokio, Rc::default());
    let before = resident();
    let started = thread_cpu();
    for service in 0..count {
        let key = ServiceKey { service: fixtures::service(service), regions: Vec::new() };
        services.get(key, view, NOW);
    }
    report.seconds("Services::get, all services", (thread_cpu() - started).as_secs_f64());
    report.bytes("memory of the services' decisions", resident().saturating_sub(before));
    view.followed_mut().apply_updates(NOW, fixtures::all_workers(2, workers));
    report.seconds("Services::refresh, all services", seconds_each(1, || services.refresh(view, NOW)));
    let changed = fixtures::service(0);
    let refresh = || services.refresh_those(view, NOW, |name| *name == changed);
    report.seconds("Services::refresh_those, one service", seconds_each(1, refresh));
}

fn measure_take(report: &Report, view: &mut View, count: usize) {
    let mut numbers = 3..;
    let take_all = || {
        let updates = fixtures::all_workers(numbers.next().unwrap_or_default(), count);
        black_box(view.followed_mut().apply_updates(NOW, updates));
    };
    report.seconds("Follower::take, all services, and making them", seconds_each(TAKEN, take_all));
    let mut numbers = (3 + (RUNS * TAKEN) as u64)..;
    let take_change = || {
        let update = fixtures::worker_change(numbers.next().unwrap_or_default(), count);
        black_box(view.followed_mut().apply_updates(NOW, vec![update]));
    };
    report.seconds("Follower::take, a change of one worker", seconds_each(TAKEN, take_change));
}

fn measure_message(report: &Report, count: usize) {
    let calls = (HANDLED / count).max(1);
    let change = RegistryAnswer::Services(vec![fixtures::worker_change(2, count)]);
    report.bytes("rpc message, a change of one worker", encoded(&change).len() as u64);
    let one_service: Vec<_> = fixtures::all_workers(1, count).into_iter().take(1).collect();
    let one_service = RegistryAnswer::Services(one_service);
    report.bytes("rpc message, snapshot of one service", encoded(&one_service).len() as u64);
    let answer = RegistryAnswer::Services(fixtures::all_workers(1, count));
    let message = encoded(&answer);
    report.bytes("rpc message, snapshots of all services", message.len() as u64);
    let encode = || {
        black_box(encoded(&answer));
    };
    report.seconds("encoding", seconds_each(calls, encode));
    let decode = || {
        black_box(decoded::<RegistryAnswer>(&message).is_ok());
    };
    report.seconds("decoding", seconds_each(calls, decode));
}
