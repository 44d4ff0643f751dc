//! An order of the operator that waited at a frozen machine is carried out when the machine wakes, after newer
//! orders were acknowledged.

use crate::cluster::{Cluster, CONTACT_S, EVAC_S, SIGCONT, SIGSTOP, ZONES};
use crate::outside::{Operator, Outside};
use crate::record;
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

const CONFIGURATION: &str = r#"{"serial":"00000007","routes":[{"name":"r-lookup","host":"registry.example","prefix":"/lookup/","kind":"idempotent","timeout":"2000ms","target_time":"300ms","prio":2,"backend":"anagrafe","tries":2,"public":true,"allow_regions":[]}],"backends":[{"name":"anagrafe","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":10.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;
/// The zone that is evacuated.
const ZONE: usize = 3;
/// How long the machine stands still: at most the 3.5 s of the site file.
const FREEZE_S: f64 = 3.3;

fn wait_until(at: f64) {
    sleep(Duration::from_secs_f64((at - record::now()).max(0.0)));
}

pub fn run(trouble: bool) -> Verdict {
    let outside = Outside::default();
    let mut cluster = Cluster::new(4, 2);
    outside.start_platform(cluster.platform());
    outside.start_workers(&cluster, "anagrafe", Duration::from_millis(20));
    cluster.start_all();
    let verdict = play(&cluster, &outside, trouble);
    outside.stopped.store(true, Ordering::Relaxed);
    cluster.end();
    verdict
}

fn play(cluster: &Cluster, outside: &Outside, trouble: bool) -> Verdict {
    let operator = Operator::new(cluster);
    let zone = ZONES[ZONE].0;
    let path = format!("/drain/{zone}");
    if operator.order("PUT", "/config", CONFIGURATION, 0, 15.0).is_none() {
        return Verdict::CouldNotRun("the first configuration is not acknowledged".to_owned());
    }
    if !cluster.wait_until_ready(10.0) {
        return Verdict::CouldNotRun("not every proxy gets ready".to_owned());
    }
    for client in 0..8 {
        let pause = Duration::from_millis(100);
        outside.start_client(cluster, client % ZONES.len(), "registry.example", "/lookup/a", pause);
    }
    // The other processes of the core have met, and every proxy is in touch.
    wait_until(record::now() + CONTACT_S + 2.0);
    if operator.order("POST", &path, "", 1, 6.0).is_none() {
        return Verdict::CouldNotRun("the evacuation is not acknowledged".to_owned());
    }
    wait_until(record::now() + EVAC_S + 1.0);

    // One core machine stands still. The operator happens to send the next order there first.
    let frozen = cluster.core_in("cl-palazzo");
    let frozen_at = record::now();
    if trouble {
        cluster.signal(frozen, Some("config-store"), SIGSTOP);
    }
    sleep(Duration::from_millis(200));
    if operator.order("DELETE", &path, "", 0, 6.0).is_none() {
        return Verdict::CouldNotRun("the end of the evacuation is not acknowledged".to_owned());
    }
    // The zone turns out not to be well yet: it is evacuated again.
    sleep(Duration::from_millis(500));
    let Some(acknowledged) = operator.order("POST", &path, "", 1, 6.0) else {
        return Verdict::CouldNotRun("the second evacuation is not acknowledged".to_owned());
    };
    wait_until(frozen_at + FREEZE_S);
    if trouble {
        cluster.signal(frozen, Some("config-store"), SIGCONT);
    }
    let woken = record::now();
    if trouble && woken - frozen_at > 3.5 {
        return Verdict::CouldNotRun("the machine stood still for longer than the pages allow".to_owned());
    }

    // Nothing more is ordered. From here on every machine is in touch, and the evacuation binds.
    let binds = (acknowledged + EVAC_S).max(woken + CONTACT_S);
    wait_until(binds + 15.0);
    let runs = outside.runs.lock().unwrap();
    let late = runs.iter().filter(|run| run.zone == ZONE && run.at > binds).count();
    let served = runs.iter().filter(|run| run.at > binds).count();
    record::say(&format!(
        "the evacuation of {zone} was acknowledged at {acknowledged:.3} and binds all machines from {binds:.3}; \
         after that {late} of {served} requests ran there"
    ));
    match (late, served) {
        (_, 0) => Verdict::CouldNotRun("no request was served".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
