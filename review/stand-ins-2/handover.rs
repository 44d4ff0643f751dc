//! A core machine is replaced as planned work: the new one first, then SIGTERM to the old one. At that moment another core
//! machine loses power; it comes back with an empty disk.

use crate::kit::{call, configuration, millis, pause, route, Case, Machine, Outcome, Void, SIGTERM};
use std::fs;
use std::time::Duration;

const HOST: &str = "jepu9.example";
/// `sync_time`: a new machine counts as lost that long after its start.
const SYNC_TIME: u64 = 4_000;
/// `for_s` of `after_ack_wipe`.
const AWAY: u64 = 3_000;
const GRACE: Duration = Duration::from_secs(6);
/// Longer than `recover` (15 s), and than `ack`, `sync_time` and `contact`.
const PATIENCE: f64 = 20.0;
/// Deployments one after the other, each from empty disks, until one has lost its configuration.
const DEPLOYMENTS: usize = 8;

/// One deployment: replaces core-1 by core-4, with or without the loss of core-2. Returns whether the configuration can be
/// read back, of which the outcome shows within some seconds.
fn attempt(case: &mut Case, number: usize, patience: f64) -> Outcome<bool> {
    let name = |machine: usize| format!("core-{machine}-{number}");
    let mut core = vec![
        case.machine(&name(1), "kgl-kicukiro", true),
        case.machine(&name(2), "kgl-gasabo", true),
        case.machine(&name(3), "kgl-kicukiro", true),
    ];
    case.seeds = core.iter().map(Machine::admin).collect();
    for machine in &mut core {
        case.start(machine, true)?;
    }
    let config = |serial| {
        configuration(serial, &[route("stock", HOST, "idempotent", "desk", 2, 500, 2_000)], &["desk"])
    };
    let acknowledged = case.order(&core.iter().collect::<Vec<_>>(), "PUT", "/config", &config(7))?;
    case.record.say(format!("deployment {number}: configuration 7 is acknowledged at {acknowledged:.3}"));
    let mut new = case.machine(&name(4), "kgl-kicukiro", true);
    case.start(&mut new, false)?;
    case.record.note("core-4 is started, to take the place of core-1");
    pause(SYNC_TIME + 100);
    if case.trouble {
        core[1].kill();
        case.record.note("core-2 loses power");
    }
    core[0].signal(SIGTERM);
    case.record.note("core-1 gets SIGTERM");
    let mut old = core.remove(0);
    let ended = old.processes.iter_mut().all(|process| process.end_within(GRACE));
    case.record.note(if ended { "core-1 has ended by itself" } else { "core-1 was killed after `grace`" });
    core.push(new);
    case.seeds = core.iter().map(Machine::admin).collect();
    for machine in &core {
        case.write_settings(machine, "registry", false)?;
        case.write_settings(machine, "config-store", false)?;
    }
    if case.trouble {
        pause(AWAY);
        let disk = case.data_dir(&core[0]);
        fs::remove_dir_all(disk).map_err(|error| Void(error.to_string()))?;
        case.start(&mut core[0], false)?;
        case.record.note("core-2 is started again, with an empty disk");
    }
    // The operator reads the configuration back, again and again, from each machine.
    let since = case.record.now();
    let mut asked = 0;
    while case.record.now() < since + patience {
        for machine in &core {
            asked += 1;
            let answer = call(machine.admin(), "GET", "/config", &[], b"", millis(1_500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            case.record.note(format!("operator: GET /config from {}: {status}", machine.name));
            if answer.is_ok_and(|answer| status == 200 && answer.body == config(7).as_bytes()) {
                return Ok(true);
            }
        }
        pause(300);
    }
    let status = case.order_once(&core[2], "PUT", "/config", &config(8)).unwrap_or_default();
    case.record.say(format!(
        "for {:.1} s after all are back none of {asked} reads gives configuration 7 back; a new configuration gets {status}",
        case.record.now() - since
    ));
    Ok(false)
}

pub fn run(case: &mut Case) -> Outcome<bool> {
    for number in 1..=DEPLOYMENTS {
        if !attempt(case, number, PATIENCE)? {
            return Ok(false);
        }
        case.record.say("configuration 7 is read back");
    }
    Ok(true)
}
