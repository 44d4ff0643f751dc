//! What it costs to learn of workers from records: the same deploys and loads by the list and by DNS, and what
//! the first answer is best taken for, as sums over seeds.
//!
//! ```text
//! cargo run --profile seeds -p hingestage-sim --example by_records -- 400
//! ```

use hingestage_gateway::config::Config;
use hingestage_gateway::gateway::Reload;
use hingestage_sim::net::Sim;
use hingestage_sim::scenario::srv_scenario;
use hingestage_sim::script::{Act, Fault, Script};
use hingestage_sim::service::Service;
use hingestage_sim::world::{self, play, Life, Options, Start};
use tokio::sync::{mpsc, oneshot};

/// Which acts of a script are played beside its asks.
type Keep = fn(&Fault) -> bool;

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(200);
    println!("| what happens | workers from | first answer | inside quotas | served | ratio | failed | rule broken |");
    println!("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    let deploys: Keep = |fault| matches!(fault, Fault::Deploy(..));
    let restarts: Keep = |fault| matches!(fault, Fault::Kill(..) | Fault::Term(_));
    for (what, keep) in [("deploys", deploys), ("gateways restart", restarts)] {
        let (base, _) = sum(seeds, keep, None, world::start);
        row(what, "the list", "-", &base, &base, 0);
        for ttl in [1, 5, 30] {
            if ttl > 1 && what != "deploys" {
                continue;
            }
            let (cold, broken) = sum(seeds, keep, Some(ttl), world::start);
            row(what, &format!("records of {ttl} s"), "cold", &cold, &base, broken);
        }
        let (warm, broken) = sum(seeds, keep, Some(1), warm);
        row(what, "records of 1 s", "warm", &warm, &base, broken);
    }
}

fn row(what: &str, from: &str, first: &str, service: &Service, base: &Service, broken: usize) {
    let share = |s: &Service| s.served as f64 / s.asked.max(1) as f64;
    let ratio = share(service) / share(base);
    let Service { asked, served, failed, .. } = service;
    println!("| {what} | {from} | {first} | {asked} | {served} | {ratio:.3} | {failed} | {broken} |");
}

/// A gateway that takes the workers of its first answer for warm.
fn warm(sim: Sim, mut c: Config, stop: oneshot::Receiver<()>, r: mpsc::Receiver<Reload>) -> Life {
    c.srv.iter_mut().for_each(|srv| srv.cold_at_start = false);
    world::start(sim, c, stop, r)
}

/// Sums over all seeds whose script has such a fault, and how many broke a rule.
fn sum(seeds: u64, keep: Keep, ttl: Option<u32>, start: Start) -> (Service, usize) {
    let (mut service, mut broken) = (Service::default(), 0);
    for seed in 0..seeds {
        let mut script: Script = srv_scenario(seed);
        script.acts.retain(|(_, act)| match act {
            Act::Ask(_) => true,
            Act::Fault(fault) => keep(fault) || *fault == Fault::Nothing,
            Act::Mend(_) => false,
        });
        if !script.acts.iter().any(|(_, act)| matches!(act, Act::Fault(fault) if keep(fault))) {
            continue;
        }
        script.site.srv = ttl.map(|ttl| (false, ttl));
        let report = play(&script, Options { start, ..Options::default() });
        service += &report.service;
        broken += usize::from(report.broken.is_some());
    }
    (service, broken)
}
