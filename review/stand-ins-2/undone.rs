//! A zone is evacuated. The order that takes this back is sent to one core machine, which dies before it answers. The
//! operator then confirms the evacuation at another machine, which acknowledges it. Later the dead machine is back.

use crate::kit::{
    configuration, counted, millis, pause, route, Case, Machine, Outcome, Stop, Void, SIGCONT, SIGKILL,
    SIGSTOP,
};
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::thread;
use std::time::Instant;

const HOST: &str = "jepu9.example";
const ZONE: &str = "kgl-gasabo";
const ORDER: &str = "/drain/kgl-gasabo";
const TRIES: usize = 100;
/// `for_s` of `node_kill`: how long the machine stays away.
const AWAY: u64 = 3_500;
const CONTACT: f64 = 5.0;
const EVAC: f64 = 5.0;

/// Number of the last ballot that a store has accepted, as its disk has it.
fn accepted(case: &Case, machine: &Machine) -> u64 {
    let text = fs::read(case.data_dir(machine).join("store.json")).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let rest = text.split_once("\"accepted\":{\"round\":").map_or("", |(_, rest)| rest);
    rest.split(',').next().and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// Which version of its record a store has on disk.
fn version(case: &Case, machine: &Machine) -> (u64, i64) {
    let found = fs::metadata(case.data_dir(machine).join("store.json"));
    found.map_or((0, 0), |found| (found.ino(), found.mtime_nsec()))
}

/// Sends the order to the first machine and kills it at a moment at which its own disk has the change and no other does:
/// a store writes its promise first, then the change, and only then sends the change. Returns whether that moment was
/// met; otherwise the order has been carried out.
fn kill_within(case: &Case, core: &mut [Machine]) -> bool {
    let (first, others) = core.split_at_mut(1);
    let first = &mut first[0];
    let hit = thread::scope(|scope| {
        let target = &*first;
        let started = Instant::now();
        let mut held = version(case, target);
        scope.spawn(move || case.order_once(target, "DELETE", ORDER, ""));
        let mut writes = 0;
        while writes < 2 && started.elapsed() < millis(1_000) {
            let now = version(case, target);
            writes += u32::from(now != held);
            held = now;
        }
        target.signal(SIGSTOP);
        // What has left the stopped machine arrives.
        pause(50);
        let others_have = others.iter().map(|other| accepted(case, other)).max().unwrap_or_default();
        let hit = accepted(case, target) > others_have;
        if hit {
            target.signal(SIGKILL);
        }
        target.signal(SIGCONT);
        hit
    });
    if hit {
        first.kill();
    }
    hit
}

pub fn run(case: &mut Case) -> Outcome<bool> {
    let mut core = vec![
        case.machine("core-1", "kgl-kicukiro", true),
        case.machine("core-2", "kgl-gasabo", true),
        case.machine("core-3", "kgl-kicukiro", true),
    ];
    case.seeds = core.iter().map(Machine::admin).collect();
    let mut edge = vec![case.machine("edge-1", "kgl-kicukiro", false), case.machine("edge-2", ZONE, false)];
    for zone in ["kgl-kicukiro", ZONE] {
        case.add_worker("desk", zone, 2)?;
        case.add_worker("desk", zone, 2)?;
    }
    for machine in core.iter_mut().chain(&mut edge) {
        case.start(machine, true)?;
    }
    let config = configuration(1, &[route("stock", HOST, "idempotent", "desk", 2, 500, 2_000)], &["desk"]);
    case.order(&core.iter().collect::<Vec<_>>(), "PUT", "/config", &config)?;
    let proxies: Vec<&Machine> = edge.iter().collect();
    case.wait_until_served(&proxies, HOST, "/stock/a")?;
    let evacuated = case.order(&[&core[1]], "POST", ORDER, "")?;
    case.record.say(format!("zone {ZONE} is evacuated: acknowledged at {evacuated:.3}"));
    pause(1_000);

    let mut killed = false;
    if case.trouble {
        for attempt in 1..=TRIES {
            killed = kill_within(case, &mut core);
            if killed {
                case.record.say(format!(
                    "the order that takes the evacuation back is sent to core-1, which is killed before it answers (try {attempt})"
                ));
                break;
            }
            pause(150);
            case.order(&[&core[1]], "POST", ORDER, "")?;
        }
        if !killed {
            return Err(Void("the moment to kill core-1 was not met".to_owned()));
        }
    } else {
        case.order(&[&core[0]], "DELETE", ORDER, "")?;
    }
    let confirmed = case.order(&[&core[1], &core[2]], "POST", ORDER, "")?;
    case.record.say(format!(
        "the operator keeps the zone evacuated: acknowledged at {confirmed:.3}; no order follows"
    ));

    let stop = Stop::default();
    let back = thread::scope(|scope| -> Outcome<f64> {
        for proxy in &proxies {
            let (case, stop) = (&*case, stop.clone());
            let work = [("X-Work-Ms", "10".to_owned())];
            scope.spawn(move || {
                while !stop.is_set() {
                    let _ = case.request(proxy.http(), HOST, "GET", "/stock/b", &work, 2_000);
                    pause(60);
                }
            });
        }
        pause(AWAY);
        let started = if killed { case.start(&mut core[0], false) } else { Ok(()) };
        let back = case.record.now();
        pause(14_000);
        stop.set();
        started.map(|()| back)
    })?;
    if killed {
        case.record.say(format!("core-1 is started again at {back:.3}, with its disk"));
    }
    let bound = (confirmed + EVAC).max(back + CONTACT);
    let runs = case.outside.runs.lock().unwrap().clone();
    let early =
        runs.iter().filter(|run| run.zone == ZONE && run.began > confirmed + 1.0 && run.began < back).count();
    case.record.say(format!("requests in {ZONE} from 1 s after the acknowledgement until then: {early}"));
    let judged: Vec<_> = runs.iter().filter(|run| run.began > bound).collect();
    case.record.say(format!(
        "requests later than {bound:.3} (`evac` past the acknowledgement, `contact` past the start): {}",
        counted(judged.iter().map(|run| format!("in {}", run.zone)))
    ));
    Ok(!judged.iter().any(|run| run.zone == ZONE))
}
