//! An operator that evacuates a zone and takes this back, also at stores that die while they handle an order.

use super::shutdowns::DOWN_MAX;
use super::{Soak, LOOK};
use crate::http::call;
use crate::layout::{Machine, ProcessSpec, Program, FOUR_PLACES};
use crate::operator::status;
use bytes::Bytes;
use fastrand::Rng;
use hyper::{Method, StatusCode};
use rustix::process::{kill_process, Pid, Signal};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, Instant};

/// The zone: others have workers of its services as well.
const ZONE: &str = FOUR_PLACES[0].zone;
/// How long an operator waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// The file in which a store keeps its record.
const RECORD_FILE: &str = "store.json";
/// Writes of a store that proposes an order: its promise, then the proposal, before it is sent.
const WRITES_OF_PROPOSAL: u32 = 2;
/// Within so long of a lost order its store dies, and the pause between two looks at its file.
const DIES_WITHIN: Duration = Duration::from_millis(300);
const FILE_LOOK: Duration = Duration::from_micros(50);
/// How long an order that is sent again and again may take.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(6);
/// How long all registries may take to show what was acknowledged.
const SHOWN_WITHIN: Duration = Duration::from_secs(6);
/// How long changes that are under way when others are paused may go on.
const CHANGES_END_WITHIN: Duration = Duration::from_millis(300);
/// How long after its start a store may find an order on its disk and complete it.
const COMPLETED_WITHIN: Duration = Duration::from_secs(2);
/// The longest pause between two orders.
const PAUSE: Duration = Duration::from_secs(1);

/// What became of the orders.
#[derive(Debug, Default)]
pub struct ZoneOrderLog {
    /// Orders without a clear answer from a store that died.
    pub lost: u64,
    /// Rules that were broken.
    pub broken: Vec<String>,
}

/// Sends orders until the soak ends.
pub async fn run(soak: Rc<Soak>, mut random: Rng) {
    while !soak.stop.get() {
        let drained = random.bool();
        let core = random.usize(..soak.layout.cores.len());
        if !order_until_acknowledged(&soak, core, drained).await {
            return;
        }
        if random.bool() {
            lose_order(&soak, &mut random, core, drained).await;
        } else {
            check_shown(&soak, drained).await;
        }
        sleep(PAUSE.mul_f64(random.f64())).await;
    }
}

/// Sends an order to one core machine once; returns whether it was acknowledged.
async fn order(core: &Machine, drained: bool) -> bool {
    let method = if drained { Method::POST } else { Method::DELETE };
    let reply = call(core.admin(), method, &format!("/drain/{ZONE}"), Bytes::new(), ANSWER_WITHIN).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}

/// Sends an order to one core machine after another until it is acknowledged. Returns false where the soak ends before.
async fn order_until_acknowledged(soak: &Soak, first: usize, drained: bool) -> bool {
    let until = Instant::now() + ACKNOWLEDGED_WITHIN;
    for core in soak.layout.cores.iter().cycle().skip(first) {
        if order(core, drained).await {
            return true;
        }
        if soak.stop.get() {
            return false;
        }
        if Instant::now() >= until {
            break;
        }
        sleep(LOOK).await;
    }
    report(soak, format!("zone {ZONE} drained {drained}: not acknowledged within {ACKNOWLEDGED_WITHIN:?}"));
    false
}

/// Sends the opposite order to a core machine whose store dies meanwhile, then, at another one, the order that held. Checks
/// that this one still holds once the store is back.
async fn lose_order(soak: &Rc<Soak>, random: &mut Rng, number: usize, drained: bool) {
    let _change = soak.core_change.lock().await;
    let core = soak.layout.cores[number].clone();
    let store = ProcessSpec { program: Program::ConfigStore, machine: core.clone() };
    let (pid, data_dir) = (soak.processes.borrow().pid(&store), soak.processes.borrow().data_dir(&store));
    let (Some(pid), Some(data_dir)) = (pid, data_dir) else { return };
    soak.orders.borrow_mut().changes_paused = true;
    sleep(CHANGES_END_WITHIN).await;
    let stopped = spawn_blocking(move || stop_at_proposal(&data_dir.join(RECORD_FILE), pid));
    let lost = spawn_local(async move { order(&core, !drained).await });
    let _ = stopped.await;
    soak.processes.borrow_mut().kill(&store);
    let acknowledged = lost.await.unwrap_or(false);
    soak.zone_orders.borrow_mut().lost += u64::from(!acknowledged);
    let holds = if acknowledged { !drained } else { drained };
    order_until_acknowledged(soak, number + 1, holds).await;
    sleep(DOWN_MAX.mul_f64(random.f64())).await;
    if let Err(error) = soak.processes.borrow_mut().restart(&store) {
        report(soak, error);
    }
    sleep(COMPLETED_WITHIN).await;
    check_shown(soak, holds).await;
    soak.orders.borrow_mut().changes_paused = false;
}

/// Stops a store that has written a proposal, and has sent it to no other where this is soon enough.
fn stop_at_proposal(record: &Path, pid: Pid) {
    let until = Instant::now() + DIES_WITHIN;
    let (mut last, mut writes) = (written_at(record), 0);
    while writes < WRITES_OF_PROPOSAL && Instant::now() < until {
        let now = written_at(record);
        writes += u32::from(now.is_some() && now != last);
        last = now.or(last);
        std::thread::sleep(FILE_LOOK);
    }
    let _ = kill_process(pid, Signal::STOP);
}

/// Identifies a file as it was last written.
fn written_at(file: &Path) -> Option<(u64, i64)> {
    let metadata = file.metadata().ok()?;
    Some((metadata.ino(), metadata.mtime_nsec()))
}

/// Checks that registries come to show an order that was acknowledged, with none after it.
async fn check_shown(soak: &Soak, drained: bool) {
    let until = Instant::now() + SHOWN_WITHIN;
    while Instant::now() < until {
        if soak.stop.get() || is_shown(soak, drained).await {
            return;
        }
        sleep(LOOK).await;
    }
    report(soak, format!("zone {ZONE} drained {drained} was acknowledged, and registries show it otherwise"));
}

/// Whether most registries answer, and all that do show an order.
async fn is_shown(soak: &Soak, drained: bool) -> bool {
    let mut answers = 0;
    for core in &soak.layout.cores {
        let Ok(status) = status(core).await else { continue };
        answers += 1;
        if status.drained.iter().any(|zone| zone == ZONE) != drained {
            return false;
        }
    }
    2 * answers > soak.layout.cores.len()
}

fn report(soak: &Soak, broken: String) {
    soak.zone_orders.borrow_mut().broken.push(broken);
}
