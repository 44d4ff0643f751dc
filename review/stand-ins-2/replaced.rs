//! Core machines are replaced one after the other by new ones at other addresses, as planned work: the new one first,
//! then SIGTERM to the old one. Later a configuration is acknowledged, and clients see which one is obeyed.

use crate::kit::{call, configuration, counted, millis, pause, route, Case, Machine, Outcome, SIGTERM};
use std::time::Duration;

const HOST: &str = "jepu9.example";
const REPLACEMENTS: usize = 16;
/// `sync_time`: a new machine counts as lost that long after its start.
const SYNC_TIME: u64 = 4_000;
const CONTACT: u64 = 5_000;
const APPLY: u64 = 2_500;
const GRACE: Duration = Duration::from_secs(6);

pub fn run(case: &mut Case) -> Outcome<bool> {
    let mut core = vec![
        case.machine("core-1", "kgl-kicukiro", true),
        case.machine("core-2", "kgl-gasabo", true),
        case.machine("core-3", "kgl-kicukiro", true),
    ];
    case.seeds = core.iter().map(Machine::admin).collect();
    let mut edge =
        vec![case.machine("edge-1", "kgl-kicukiro", false), case.machine("edge-2", "huye-ngoma", false)];
    for service in ["before", "after"] {
        case.add_worker(service, "kgl-kicukiro", 2)?;
        case.add_worker(service, "huye-ngoma", 2)?;
    }
    for machine in core.iter_mut().chain(&mut edge) {
        case.start(machine, true)?;
    }
    let routed = |serial, service| {
        configuration(
            serial,
            &[route("stock", HOST, "idempotent", service, 2, 500, 2_000)],
            &["before", "after"],
        )
    };
    case.order(&core.iter().collect::<Vec<_>>(), "PUT", "/config", &routed(1, "before"))?;
    let proxies: Vec<&Machine> = edge.iter().collect();
    case.wait_until_served(&proxies, HOST, "/stock/a")?;
    case.record.say("configuration 1 sends the route to the service `before`, and both proxies serve it");

    if case.trouble {
        for number in 1..=REPLACEMENTS {
            let zone = core[0].zone;
            let mut new = case.machine(&format!("core-{}", number + 3), zone, true);
            case.start(&mut new, false)?;
            pause(SYNC_TIME + 100);
            let mut old = core.remove(0);
            core.push(new);
            case.seeds = core.iter().map(Machine::admin).collect();
            // The settings of all running processes name the present machines as seeds.
            for machine in &core {
                case.write_settings(machine, "registry", false)?;
                case.write_settings(machine, "config-store", false)?;
            }
            for proxy in &proxies {
                case.write_settings(proxy, "proxy", false)?;
            }
            old.signal(SIGTERM);
            let ended = old.processes.iter_mut().all(|process| process.end_within(GRACE));
            let how = if ended { "ends" } else { "is killed after `grace`" };
            case.record.note(format!("machine {} gets SIGTERM, {how} and does not come back", old.name));
        }
        case.record.say(format!("{REPLACEMENTS} core machines were replaced, one at a time"));
        pause(CONTACT + 1_000);
    }
    let order_to: Vec<&Machine> = core.iter().collect();
    let acknowledged = case.order(&order_to, "PUT", "/config", &routed(2, "after"))?;
    case.record.say(format!("configuration 2 (service `after`) is acknowledged at {acknowledged:.3}"));
    pause(APPLY + 500);
    let mut ids = Vec::new();
    for n in 0..40 {
        let (id, _) = case.request(proxies[n % 2].http(), HOST, "GET", "/stock/b", &[], 2_000);
        ids.push(id);
    }
    let services: Vec<String> =
        ids.iter().flat_map(|id| case.outside.run_of(id)).map(|run| run.service).collect();
    case.record.say(format!(
        "40 requests sent later than `apply` after that: run by {}",
        counted(services.iter().map(|service| format!("service `{service}`")))
    ));
    for proxy in &proxies {
        let lines = case.log_of(proxy, "proxy");
        let versions = lines.lines().filter(|line| line.contains("in force")).count();
        case.record.say(format!("{} has put {versions} configurations in force", proxy.name));
    }
    for machine in &core {
        let headers = [];
        let path = format!("/lookup?name={HOST}&region=kigali&zone=kgl-kicukiro");
        let found = call(machine.directory(), "GET", &path, &headers, b"", millis(1_000));
        let status = found.map_or(0, |answer| answer.status());
        case.record
            .say(format!("{}, which runs and can be reached, answers a look-up with {status}", machine.name));
    }
    Ok(!services.iter().any(|service| service == "before"))
}
