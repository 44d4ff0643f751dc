//! Time to compute a plan at 3, 10 and 50 sites, and its gain over the greedy baseline, on random instances.
//!
//! `cargo run --release -p hingestage-sites --example plan_cost`

use hingestage_sites::{greedy, plan, total_worth, Load, Site, Sites};
use std::time::Instant;

/// Random instances per size.
const INSTANCES: u64 = 20;

fn random_sites(count: usize, seed: u64) -> Sites {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sites = Sites::default();
    for n in 0..count {
        let pull = 200.0 + rng.f64() * 600.0;
        let capacity = [("pull".to_owned(), pull), ("push".to_owned(), pull / 3.0)].into();
        let to = (1..count.min(4)).map(|by| format!("s{}", (n + by) % count)).collect();
        let name = format!("s{n}");
        sites.sites.push(Site {
            name: name.clone(),
            workers: 10,
            capacity,
            reserve: 0.1,
            fallbacks: to,
            ..Site::default()
        });
        for (at, class, worth) in
            [("base", "pull", 0.5), ("ente", "pull", 1.4), ("ente", "push", 3.0), ("scuola", "pull", 0.8)]
        {
            let part = if class == "push" { 0.15 } else { 0.25 };
            let rate = pull * part * (0.5 + rng.f64());
            sites.loads.push(Load { site: name.clone(), plan: at.into(), class: class.into(), rate, worth });
        }
    }
    sites
}

fn main() {
    for count in [3, 10, 50] {
        let (mut took, mut more, mut most) = (Vec::new(), 0.0, 0.0f64);
        for seed in 0..INSTANCES {
            let sites = random_sites(count, seed).without(&["s0".to_owned()], 1.0);
            let start = Instant::now();
            let Ok(made) = plan(&sites) else { continue };
            took.push(start.elapsed());
            let fixed = total_worth(&sites, &greedy(&sites));
            let gap = 1.0 - fixed / made.served_worth;
            more += gap / INSTANCES as f64;
            most = most.max(gap);
        }
        took.sort_unstable();
        println!(
            "{count} sites: {:.1} ms in the middle, {:.1} at most; a fixed order serves {:.2}% less, {:.2}% at most",
            took[took.len() / 2].as_secs_f64() * 1e3,
            took[took.len() - 1].as_secs_f64() * 1e3,
            more * 100.0,
            most * 100.0
        );
    }
}
