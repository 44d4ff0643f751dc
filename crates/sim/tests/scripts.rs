//! Every script of `tests/scripts` is a failure that was mended, or a hard case: none may break a rule again.
//! Each is played with the order of ties that its seed gives, and with others.

use hingestage_sim::script::Script;
use hingestage_sim::world::{play, Options};
use std::path::PathBuf;

/// Seeds for ties that each script is played with.
const SEEDS: u64 = 64;

fn scripts() -> Vec<(PathBuf, Script)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scripts");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    let read = |file: PathBuf| {
        let script = std::fs::read_to_string(&file).unwrap().parse();
        (file.clone(), script.unwrap_or_else(|e| panic!("{}: {e}", file.display())))
    };
    files.into_iter().map(read).collect()
}

#[test]
fn no_script_breaks_a_rule() {
    let scripts = scripts();
    assert!(!scripts.is_empty());
    for (file, script) in scripts {
        for n in 0..SEEDS {
            let seed = script.seed.wrapping_add(n);
            let report = play(&Script { seed, ..script.clone() }, Options::default());
            assert_eq!(report.broken, None, "{} with seed {seed}", file.display());
        }
    }
}
