//! A proxy gets SIGTERM while a worker is at work on a request that it has taken.

use crate::kit::{configuration, pause, route, Case, Machine, Outcome, SIGTERM};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";
const TIMEOUT: u64 = 2_000;
const REQUESTS: usize = 4;

struct Shape {
    kind: &'static str,
    method: &'static str,
    tries: u32,
    /// Requests before the SIGTERM, and how long a worker takes for one.
    usual: usize,
    usual_work: u64,
    /// The requests that are open at the SIGTERM: the headers that shape them at the worker.
    headers: &'static [(&'static str, u64)],
}

/// Repeatable requests of 30 ms, and some of 450 ms.
pub fn search(case: &mut Case) -> Outcome<bool> {
    run(
        case,
        &Shape {
            kind: "idempotent",
            method: "GET",
            tries: 1,
            usual: 120,
            usual_work: 30,
            headers: &[("X-Work-Ms", 450)],
        },
    )
}

/// Requests that may run once, whose worker pauses 450 ms within its answer.
pub fn answer(case: &mut Case) -> Outcome<bool> {
    run(
        case,
        &Shape {
            kind: "mutating",
            method: "POST",
            tries: 2,
            usual: 20,
            usual_work: 30,
            headers: &[("X-Rest-Ms", 450)],
        },
    )
}

/// Requests that may run once, whose worker sends an answer without a length: its end is that of the connection. It works
/// 150 ms before the answer and 100 ms within it.
pub fn unframed(case: &mut Case) -> Outcome<bool> {
    run(
        case,
        &Shape {
            kind: "mutating",
            method: "POST",
            tries: 2,
            usual: 20,
            usual_work: 30,
            headers: &[("X-Work-Ms", 150), ("X-Rest-Ms", 100), ("X-Unframed", 1)],
        },
    )
}

fn run(case: &mut Case, shape: &Shape) -> Outcome<bool> {
    let mut core = vec![
        case.machine("core-1", "kgl-kicukiro", true),
        case.machine("core-2", "kgl-gasabo", true),
        case.machine("core-3", "kgl-kicukiro", true),
    ];
    case.seeds = core.iter().map(Machine::admin).collect();
    let mut edge =
        vec![case.machine("edge-1", "kgl-kicukiro", false), case.machine("edge-2", "kgl-gasabo", false)];
    for zone in ["kgl-kicukiro", "kgl-kicukiro", "kgl-gasabo", "kgl-gasabo"] {
        case.add_worker("desk", zone, 2)?;
    }
    for machine in core.iter_mut().chain(&mut edge) {
        case.start(machine, true)?;
    }
    let config =
        configuration(1, &[route("stock", HOST, shape.kind, "desk", shape.tries, 500, TIMEOUT)], &["desk"]);
    case.order(&core.iter().collect::<Vec<_>>(), "PUT", "/config", &config)?;
    let proxies: Vec<&Machine> = edge.iter().collect();
    for proxy in &proxies {
        let until = Instant::now() + Duration::from_secs(20);
        while case
            .request(proxy.http(), HOST, shape.method, "/stock/a", &[], 1_000)
            .1
            .map_or(0, |a| a.status())
            != 200
        {
            if Instant::now() > until {
                return Err(crate::kit::Void(format!("{} does not serve", proxy.name)));
            }
            pause(200);
        }
    }
    // Longer than `contact` without any change.
    let usual = [("X-Work-Ms", shape.usual_work.to_string())];
    for _ in 0..shape.usual {
        let _ = case.request(edge[0].http(), HOST, shape.method, "/stock/b", &usual, TIMEOUT);
        pause(20);
    }
    pause(2_000);
    let shaped: Vec<(&str, String)> =
        shape.headers.iter().map(|(name, value)| (*name, value.to_string())).collect();
    let (terminated, answers) = thread::scope(|scope| {
        let (case, edge, shaped) = (&*case, &edge, &shaped);
        let open: Vec<_> = (0..REQUESTS)
            .map(|_| {
                scope.spawn(move || {
                    let (id, answer) =
                        case.request(edge[0].http(), HOST, shape.method, "/stock/c", shaped, TIMEOUT);
                    (id, answer.map_or(0, |answer| answer.status()), case.record.now())
                })
            })
            .collect();
        pause(60);
        let terminated = case.record.now();
        if case.trouble {
            edge[0].signal(SIGTERM);
            case.record.note("edge-1 gets SIGTERM");
        }
        (terminated, open.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>())
    });
    if case.trouble {
        case.record.say(format!("edge-1 gets SIGTERM at {terminated:.3}"));
    }
    pause(1_000);
    let mut lost = 0;
    for (id, status, answered) in &answers {
        for run in case.outside.run_of(id) {
            let worked = run.began < *answered && run.ended.is_none_or(|ended| ended > *answered);
            let broken_off = worked && (*status == 0 || matches!(status, 500 | 502 | 504));
            case.record.say(format!(
                "{id}: at work at {} from {:.3}; the client gets {status} at {answered:.3}{}",
                run.worker,
                run.began,
                if broken_off { ", while the worker is at work" } else { "" }
            ));
            // After the SIGTERM, and long before the deadline and half of `grace`.
            lost += usize::from(broken_off && *answered > terminated && *answered < run.began + 1.5);
        }
    }
    case.record
        .say(format!("{lost} of {REQUESTS} requests were broken off while their worker was at work on them"));
    Ok(!case.trouble || lost == 0)
}
