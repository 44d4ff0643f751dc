//! What a seed decides: drawn faults, and which gateways a share means.

use crate::places::Loss;
use crate::script::{Drawn, Fault, Harm, Script, Target, Timed, Ways, Which};
use fastrand::Rng;
use hingestage_test_servers::{counter, worker};
use std::time::Duration;

/// A drawn fault lasts between these, seconds.
const LASTS: (f64, f64) = (0.2, 2.5);

/// The script as a seed plays it: nothing is left to be drawn, and every fault names its gateways.
pub fn resolve(script: &Script, seed: u64) -> Script {
    let mut rng = Rng::with_seed(seed);
    let mut resolved = script.clone();
    if let Some(drawn) = resolved.drawn.take() {
        let more = (0..drawn.count).map(|_| one(script, &drawn, &mut rng));
        resolved.faults.extend(more);
    }
    for timed in &mut resolved.faults {
        name_gateways(&mut timed.fault, script, &mut rng);
    }
    resolved.faults.sort_by_key(|timed| timed.at);
    resolved
}

fn name_gateways(fault: &mut Fault, script: &Script, rng: &mut Rng) {
    let which = match fault {
        Fault::Kill(which)
        | Fault::Start(which, _)
        | Fault::Term(which)
        | Fault::HangUp(which)
        | Fault::Succeed(which)
        | Fault::Clock(which, _)
        | Fault::Drain(which) => which,
        Fault::Stall(which) | Fault::Mute(which) | Fault::Links(which, ..) => which,
        Fault::Counter(_) | Fault::Forget | Fault::Worker(..) | Fault::Deploy(_) => return,
        Fault::KillKeepers(_) | Fault::StallKeepers(_) | Fault::KeeperLinks(..) => return,
        Fault::Propose(..) | Fault::DeclareGone(_) | Fault::Site(..) => return,
    };
    *which = match which {
        Which::All => Which::Some((0..script.most_gateways()).collect()),
        Which::Share(share) => Which::Some(some(script.fleet.gateways, *share, rng)),
        Which::Some(_) => return,
    };
}

/// So large a share of the first gateways, in order.
fn some(gateways: usize, share: f64, rng: &mut Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..gateways).collect();
    rng.shuffle(&mut all);
    all.truncate((share * gateways as f64).round() as usize);
    all.sort_unstable();
    all
}

/// A fault of a kind that is drawn, inside the span.
fn one(script: &Script, drawn: &Drawn, rng: &mut Rng) -> Timed {
    let (from, to) = (drawn.span.0.as_secs_f64(), drawn.span.1.as_secs_f64());
    // To milliseconds, so that its text says the same.
    let round = |seconds: f64| Duration::from_millis((seconds * 1e3) as u64);
    let lasts = (LASTS.0 + rng.f64() * (LASTS.1 - LASTS.0)).min(to - from);
    let at = from + rng.f64() * (to - from - lasts);
    let fault = kind(script, rng);
    let for_ever = matches!(fault, Fault::Forget | Fault::HangUp(_));
    Timed { at: round(at), fault, lasts: (!for_ever).then(|| round(lasts)) }
}

fn kind(script: &Script, rng: &mut Rng) -> Fault {
    let gateways = script.fleet.gateways;
    let few = |rng: &mut Rng| {
        let share = [0.1, 0.1, 0.3, 0.7][rng.usize(..4)];
        let some = some(gateways, share, rng);
        Which::Some(if some.is_empty() { vec![rng.usize(..gateways)] } else { some })
    };
    // A seed of a rehearsal without keepers is what it was before there were any.
    if let Some(keepers) = script.fleet.keepers.as_ref().filter(|_| rng.u32(..2) == 0) {
        return of_keepers(keepers.count, few(rng), rng);
    }
    // Nor is one of a rehearsal without sites another than before.
    if !script.fleet.sites.is_empty() && rng.u32(..3) > 0 {
        return Fault::Site(rng.usize(..script.fleet.sites.len()), loss(rng));
    }
    let worker = rng.usize(..script.fleet.workers);
    match rng.u32(..12) {
        0 | 1 => Fault::Kill(few(rng)),
        2 => Fault::Term(few(rng)),
        3 | 4 => Fault::Stall(few(rng)),
        5 => Fault::Links(few(rng), target(script, rng), harm(rng)),
        6 => Fault::Links(Which::All, target(script, rng), harm(rng)),
        7 => Fault::Counter(counter_mood(rng)),
        8 => Fault::Forget,
        9 => Fault::Worker(worker, worker_mood(rng)),
        10 => Fault::Deploy(worker),
        _ => [Fault::Mute(few(rng)), Fault::HangUp(few(rng))][rng.usize(..2)].clone(),
    }
}

fn of_keepers(count: usize, few: Which, rng: &mut Rng) -> Fault {
    let mut all: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut all);
    // One, often; a majority, sometimes.
    let some = all[..[1, 1, 1, count / 2 + 1][rng.usize(..4)].min(count)].to_vec();
    let others = all[1..].to_vec();
    match rng.u32(..6) {
        0 => Fault::KillKeepers(some),
        1 => Fault::StallKeepers(some),
        2 if count > 1 => Fault::KeeperLinks(vec![all[0]], others, harm(rng)),
        3 if count > 1 => Fault::KeeperLinks(others, vec![all[0]], harm(rng)),
        _ => Fault::Links(few, Target::Keepers(some), harm(rng)),
    }
}

fn loss(rng: &mut Rng) -> Loss {
    match rng.u32(..6) {
        0 => Loss::Killed,
        1 => Loss::Stalled,
        2 => Loss::Unlisted,
        _ => Loss::Cut(harm(rng)),
    }
}

fn target(script: &Script, rng: &mut Rng) -> Target {
    let kinds = if script.fleet.peers { 4 } else { 3 };
    match rng.u32(..kinds) {
        0 => Target::Counter,
        1 => Target::Discovery,
        2 => Target::Workers(vec![rng.usize(..script.fleet.workers)]),
        _ => Target::Peers(Vec::new()),
    }
}

fn harm(rng: &mut Rng) -> Harm {
    match rng.u32(..7) {
        0 => Harm::Silent(Ways::Both),
        1 => Harm::Silent(Ways::Out),
        2 => Harm::Silent(Ways::In),
        3 => Harm::Reset,
        4 => Harm::Hold,
        5 => Harm::Delay(Duration::from_millis(rng.u64(5..200))),
        _ => Harm::Trickle(Duration::from_millis(rng.u64(1..4))),
    }
}

fn counter_mood(rng: &mut Rng) -> counter::Mood {
    use counter::Mood;
    match rng.u32(..5) {
        0 => Mood::Busy,
        1 => Mood::Late(Duration::from_millis(rng.u64(10..400))),
        2 => Mood::Spoilt,
        3 => Mood::Silent,
        _ => Mood::Breaks,
    }
}

fn worker_mood(rng: &mut Rng) -> worker::Mood {
    use worker::Mood;
    [Mood::Silent, Mood::Noise, Mood::Error, Mood::Full, Mood::Closes, Mood::Slower(8.0)][rng.usize(..6)]
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::read;

    const FILE: &str = "(rehearsal (name \"x\") (seconds 30) (fleet (gateways 10) (workers 4)) (accounts) \
                        (at 2 (kill (gateways (share 0.7))) (for 2)) (drawn 40 3 20))";

    #[test]
    fn a_seed_is_a_script_whose_text_is_read_again_as_the_same() {
        let script = read(FILE).unwrap();
        for seed in 0..200 {
            let resolved = resolve(&script, seed);
            assert_eq!(resolved, resolve(&script, seed));
            assert_eq!(resolved.faults.len(), 41);
            for timed in &resolved.faults {
                let text = format!("(rehearsal (name \"x\") (seconds 30) (fleet (gateways 10) (workers 4)) (accounts) {timed})");
                assert_eq!(read(&text).unwrap().faults, vec![timed.clone()], "{timed}");
            }
        }
    }

    #[test]
    fn losses_of_sites_are_drawn_where_there_are_sites_and_read_again_as_the_same() {
        let sites = "(fleet (gateways 2) (workers 2) (site a (gateways 0) (workers 0)) (site b (gateways 1) (workers 1)))";
        let file = |more: &str| format!("(rehearsal (name x) (seconds 30) {sites} (accounts) {more})");
        let script = read(&file("(drawn 20 3 20)")).unwrap();
        let faults: Vec<Timed> = (0..20).flat_map(|seed| resolve(&script, seed).faults).collect();
        let lost = |timed: &&Timed| matches!(timed.fault, Fault::Site(..));
        assert!(faults.iter().filter(lost).count() > 200);
        for timed in faults.iter().filter(lost) {
            assert_eq!(read(&file(&timed.to_string())).unwrap().faults, vec![timed.clone()], "{timed}");
        }
    }

    #[test]
    fn a_share_is_of_the_gateways_at_the_start_and_another_one_with_another_seed() {
        let script = read(FILE).unwrap();
        let killed = |seed| match &resolve(&script, seed).faults[0].fault {
            Fault::Kill(Which::Some(some)) => some.clone(),
            other => panic!("{other}"),
        };
        assert!((0..50).all(|seed| killed(seed).len() == 7));
        assert!((0..50).any(|seed| killed(seed) != killed(0)));
    }

    #[test]
    fn drawn_faults_are_over_when_their_span_is() {
        let script = read(FILE).unwrap();
        for seed in 0..200 {
            let drawn = &resolve(&script, seed).faults;
            assert!(drawn.iter().skip(1).all(|timed| timed.ends() <= Duration::from_secs(20)));
        }
    }
}
