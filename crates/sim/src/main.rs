fn main() {
    let from: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let to: u64 = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(10);
    let mut steps = 0;
    let mut answers = std::collections::BTreeMap::<u16, usize>::new();
    for seed in from..to {
        let script = hingestage_sim::scenario::scenario(seed);
        let trace = to == from + 1;
        let options = hingestage_sim::world::Options { trace, ..Default::default() };
        let report = hingestage_sim::world::play(&script, options);
        if trace {
            println!("{script}");
            report.trace.iter().for_each(|l| println!("{l}"));
        }
        steps += report.steps;
        report.answers.iter().for_each(|(s, n)| *answers.entry(*s).or_default() += n);
        if let Some(b) = report.broken {
            println!("seed {seed}: {b:?}");
        }
    }
    println!("{steps} steps {answers:?}");
}
