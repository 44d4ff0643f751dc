//! The workers of a zone fall silent while they send long answers. The route's `timeout` passes.

use crate::kit::{configuration, pause, route, Case, Machine, Outcome, Void};
use std::thread;

const HOST: &str = "jepu9.example";
const ZONE: &str = "kgl-gasabo";
const TIMEOUT: u64 = 2_000;
/// Clients wait longer than the route's `timeout`.
const DEADLINE: u64 = 8_000;
const REQUESTS: usize = 16;

pub fn run(case: &mut Case) -> Outcome<bool> {
    let mut core = vec![
        case.machine("core-1", "kgl-kicukiro", true),
        case.machine("core-2", "kgl-gasabo", true),
        case.machine("core-3", "kgl-kicukiro", true),
    ];
    case.seeds = core.iter().map(Machine::admin).collect();
    let mut edge = vec![case.machine("edge-1", ZONE, false), case.machine("edge-2", "kgl-kicukiro", false)];
    for _ in 0..8 {
        case.add_worker("desk", ZONE, 2)?;
    }
    for _ in 0..4 {
        case.add_worker("desk", "kgl-kicukiro", 2)?;
    }
    for machine in core.iter_mut().chain(&mut edge) {
        case.start(machine, true)?;
    }
    let config = configuration(1, &[route("stock", HOST, "idempotent", "desk", 2, 500, TIMEOUT)], &["desk"]);
    case.order(&core.iter().collect::<Vec<_>>(), "PUT", "/config", &config)?;
    let proxies: Vec<&Machine> = edge.iter().collect();
    case.wait_until_served(&proxies, HOST, "/stock/a")?;
    for _ in 0..60 {
        let _ =
            case.request(edge[0].http(), HOST, "GET", "/stock/b", &[("X-Work-Ms", "20".to_owned())], TIMEOUT);
    }
    // Longer than `contact` since the start.
    pause(5_000);
    let shape = [("X-Body-Kb", "100".to_owned()), ("X-Rest-Ms", "400".to_owned())];
    let answers = thread::scope(|scope| {
        let (case, edge, shape) = (&*case, &edge, &shape);
        let open: Vec<_> = (0..REQUESTS)
            .map(|_| {
                pause(10);
                scope.spawn(move || {
                    let sent = case.record.now();
                    let (id, answer) = case.request(edge[0].http(), HOST, "GET", "/stock/c", shape, DEADLINE);
                    (id, answer.map_err(|error| error.kind()), case.record.now() - sent)
                })
            })
            .collect();
        pause(150);
        if case.trouble {
            *case.outside.dark.lock().unwrap() = Some(ZONE.to_owned());
            case.record.say(format!("the workers of zone {ZONE} fall silent"));
        }
        open.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    });
    let timeout = TIMEOUT as f64 / 1e3;
    let lasted: Vec<_> = answers.iter().filter(|(.., took)| *took > timeout).collect();
    let unanswered = lasted.iter().filter(|(.., took)| *took > timeout + 0.5).count();
    for (id, answer, took) in &answers {
        let text = match answer {
            Ok(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
            Err(kind) => format!("no whole answer ({kind})"),
        };
        case.record.say(format!("{id}: {text} after {took:.3} s"));
    }
    case.record.say(format!(
        "{} of {REQUESTS} requests lasted longer than the route's timeout of {timeout:.1} s; {unanswered} of these had no \
         final answer 0.5 s after it",
        lasted.len()
    ));
    if case.trouble && lasted.len() < 8 {
        return Err(Void("too few requests were open when the workers fell silent".to_owned()));
    }
    Ok(!(lasted.len() >= 8 && unanswered >= 8 && unanswered * 4 > lasted.len()))
}
