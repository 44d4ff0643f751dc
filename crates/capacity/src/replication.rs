//! Exchanges among stores: the processor time of real processes, and the bytes of their messages.

use crate::fixtures;
use crate::measure::{median, seconds_each, Report};
use crate::servers::{Machine, Process, TemporaryDir, STORE};
use eyre::Result;
use hingestage_replication::{Record, Replica, ReplicaConfig, State, TrialSet};
use hingestage_rpc::encoded;
use hingestage_rpc::messages::{Membership, PeerAnswer, StoreAnswer, StoreMember, StoreRequest, ZoneDrain};
use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;

/// Until the stores know each other.
const SETTLE: Duration = Duration::from_secs(3);
/// How long their processor time is watched, and how often.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOWS: usize = 3;
/// Names of proxies kept by the stores.
const NAMES: [usize; 3] = [9, 360, 3_600];
/// Calls in one run.
const CALLS: usize = 200;

/// Plays so many stores.
pub async fn play(count: usize) -> Result<()> {
    let report = Report::new("replication", &format!("{count} stores"));
    measure_messages(&report, count);
    let dir = TemporaryDir::new("stores")?;
    let mut stores = Vec::new();
    for number in 0..count {
        // All of one region: the shorter of the two periods.
        let machine = Machine::new(&dir, number as u8 + 1, 0)?;
        stores.push(machine.start(STORE).await?);
    }
    tokio::time::sleep(SETTLE).await;
    let mut shares = Vec::new();
    for _ in 0..WINDOWS {
        let before = total_cpu(&stores);
        tokio::time::sleep(WINDOW).await;
        shares.push((total_cpu(&stores) - before).as_secs_f64() / WINDOW.as_secs_f64() / count as f64);
    }
    report.row("a store's processor, none busy", median(&mut shares) * 100.0, "% of a core");
    let mut memory: Vec<f64> = stores.iter().map(|store| store.resident() as f64).collect();
    report.bytes("a store's memory", median(&mut memory) as u64);
    Ok(())
}

fn total_cpu(stores: &[Process]) -> Duration {
    stores.iter().map(Process::cpu).sum()
}

fn measure_messages(report: &Report, count: usize) {
    let plain = exchange_bytes(&replica(count, 9, 0));
    report.bytes("Exchange and its answer, no zone ever drained", plain);
    let drained = exchange_bytes(&replica(count, 9, fixtures::ZONES));
    report.bytes("the same, orders about all 79 zones", drained);
    for names in NAMES {
        let replica = replica(count, names, fixtures::ZONES);
        let cpu = seconds_each(CALLS, || drop(black_box(replica.record().state.summary())));
        report.seconds(&format!("Replica::summary, {names} proxies"), cpu);
    }
}

fn exchange_bytes(replica: &Replica) -> u64 {
    let request = StoreRequest::Peer(replica.exchange_request());
    let (from, standing, known) = (replica.me().clone(), replica.standing(), replica.members());
    let answer = StoreAnswer::Peer(PeerAnswer::Exchanged { from, standing, known });
    (encoded(&request).len() + encoded(&answer).len()) as u64
}

fn replica(stores: usize, proxies: usize, zones: usize) -> Replica {
    let voters: Vec<StoreMember> = (0..stores).map(fixtures::store_member).collect();
    let me = voters[0].clone();
    let order = ZoneDrain { order: 1, drained: false };
    let names = (0..proxies).map(|number| (fixtures::proxy_status(number).id.node, true));
    let state = State {
        config: Some(Rc::new(fixtures::document(1, fixtures::DocumentSize::of_routes(18)))),
        drains: (0..zones).map(|number| (fixtures::zone(number), order)).collect(),
        proxies: Rc::new(names.collect()),
        trials: Rc::new(TrialSet::default()),
        membership: Membership { epoch: 1, voters, previous: Vec::new() },
    };
    Replica::new(me, Record { state, ..Record::default() }, Vec::new(), ReplicaConfig::default(), 1)
}
