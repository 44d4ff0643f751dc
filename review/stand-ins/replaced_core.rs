//! The core machines are replaced one after the other, each by one at a new address. The proxies stay.

use crate::cluster::{Class, Cluster, CONTACT_S, SIGTERM};
use crate::http;
use crate::outside::{Operator, Outside};
use crate::record;
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

/// Core machines at a time, one in each zone.
const CORES: usize = 3;
/// Machines that are replaced, one after the other.
const REPLACED: usize = 16;
/// A new machine counts as lost for this long after its start (`sync_time`), so that the next one starts after it.
const SYNC_S: f64 = 4.0;
/// `apply` of the settings.
const APPLY_S: f64 = 3.0;

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"registry.example\",\"prefix\":\"{prefix}\",\"kind\":\"idempotent\",\
         \"timeout\":\"2000ms\",\"target_time\":\"300ms\",\"prio\":2,\"backend\":\"anagrafe\",\"tries\":2,\
         \"public\":true,\"allow_regions\":[]}}"
    )
}

fn configuration(serial: &str, routes: &[String]) -> String {
    format!(
        "{{\"serial\":\"{serial}\",\"routes\":[{}],\"backends\":[{{\"name\":\"anagrafe\",\"health_path\":\"/health\",\
         \"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":10.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\
         \"idle_timeout\":\"15000ms\"}}}}",
        routes.join(",")
    )
}

fn wait_until(at: f64) {
    sleep(Duration::from_secs_f64((at - record::now()).max(0.0)));
}

pub fn run(trouble: bool) -> Verdict {
    let outside = Outside::default();
    let mut cluster = Cluster::new(CORES, 1);
    outside.start_platform(cluster.platform());
    outside.start_workers(&cluster, "anagrafe", Duration::from_millis(20));
    cluster.start_all();
    let verdict = play(&mut cluster, &outside, trouble);
    outside.stopped.store(true, Ordering::Relaxed);
    cluster.end();
    verdict
}

fn play(cluster: &mut Cluster, outside: &Outside, trouble: bool) -> Verdict {
    let first = configuration("00000007", &[route("r-lookup", "/lookup/"), route("r-dropped", "/dropped/")]);
    if Operator::new(cluster).order("PUT", "/config", &first, 0, 15.0).is_none() {
        return Verdict::CouldNotRun("the first configuration is not acknowledged".to_owned());
    }
    if !cluster.wait_until_ready(10.0) {
        return Verdict::CouldNotRun("not every proxy gets ready".to_owned());
    }
    wait_until(record::now() + 2.0);
    let mut leaving: Vec<usize> = Vec::new();
    for number in 0..REPLACED {
        let began = record::now();
        if trouble {
            // The new one first, then SIGTERM for the old one, once the new one has had its time.
            let seeds: Vec<usize> =
                cluster.running_cores().into_iter().filter(|core| !leaving.contains(core)).collect();
            let new = cluster.add_core(number % CORES);
            record::say(&format!("{} is started, number {}", cluster.machines[new].name, number + 1));
            cluster.start_machine(new, &seeds[..CORES], false);
            wait_until(began + SYNC_S);
            let old = seeds[0];
            cluster.signal(old, None, SIGTERM);
            leaving.push(old);
            leaving.retain(|core| !cluster.has_ended(*core));
        } else {
            wait_until(began + SYNC_S);
        }
    }
    // The last one ends within `grace`.
    let until = record::now() + 6.0;
    while !leaving.is_empty() {
        leaving.retain(|core| !cluster.has_ended(*core));
        if record::now() > until {
            return Verdict::CouldNotRun("an old machine does not end".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    wait_until(record::now() + CONTACT_S + 1.0);

    let second = configuration("00000008", &[route("r-lookup", "/lookup/"), route("r-added", "/added/")]);
    let Some(acknowledged) = Operator::new(cluster).order("PUT", "/config", &second, 0, 8.0) else {
        return Verdict::CouldNotRun("the second configuration is not acknowledged".to_owned());
    };
    wait_until(acknowledged + APPLY_S + 0.5);
    let (mut asked, mut older) = (0, 0);
    for _ in 0..10 {
        for edge in cluster.of(Class::Edge) {
            for (path, newest) in [("/dropped/a", 404), ("/added/a", 200)] {
                let attempt = format!("{:016x}", http::random().wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let head = format!(
                    "GET {path} HTTP/1.1\r\nHost: registry.example\r\nX-Hingestage-Attempt-Id: {attempt}\r\n\
                     X-Hingestage-Deadline-Ms: 2000\r\n"
                );
                let answer = http::call(cluster.http(edge), &head, b"", Duration::from_secs(2));
                let status = answer.map_or(0, |answer| answer.status());
                let name = &cluster.machines[edge].name;
                record::line(&format!("client sends {attempt} GET {path} to {name} and gets {status}"));
                // Only what an older version allows counts: the dropped route runs, the added one is not found.
                asked += 1;
                older += usize::from((newest, status) == (404, 200) || (newest, status) == (200, 404));
            }
        }
        sleep(Duration::from_millis(400));
    }
    let runs = outside.runs.lock().unwrap();
    let late = acknowledged + APPLY_S;
    let dropped = runs.iter().filter(|run| run.path.starts_with("/dropped/") && run.at > late).count();
    record::say(&format!(
        "version 8 was acknowledged at {acknowledged:.3}; of {asked} requests sent more than {APPLY_S} s after it, {older} \
         were handled as only version 7 allows; workers ran {dropped} on the dropped route"
    ));
    if older > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
