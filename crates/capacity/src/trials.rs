//! Trials: what judging a request costs a proxy, what a step costs the wire, and memory.

use crate::measure::{resident, seconds_each, Report};
use compact_str::{format_compact, CompactString};
use eyre::Result;
use hingestage_registry::trials::TrialLog;
use hingestage_rpc::encoded;
use hingestage_rpc::trials::{TrialNews, TrialPosition, TrialRecord};
use hingestage_trial::TrialTracker;
use std::hint::black_box;

/// Terms as an operator writes them.
const TERMS: &str = r#"{"version":1,"end":"2026-12-31T12:00:00Z","steps":[{"before_end":"2d","share":0.5},
{"before_end":"6h","share":0.2}],"refused_last":["mutating"],"deferred":["depot-report"],"grace":"10m"}"#;
/// Any moment, and one before the end of the terms.
const NOW: u64 = 600_000_000;
const TIME_OF_DAY: u64 = 1_798_700_000_000;
/// Requests judged in one run.
const JUDGED: usize = 200_000;

fn name(number: usize) -> CompactString {
    format_compact!("tenant-{number:06}")
}

fn record(number: usize, step: u32) -> TrialRecord {
    let position = TrialPosition { version: 1, digest: 1, step };
    TrialRecord { tenant: name(number), position, terms: TERMS.as_bytes().to_vec() }
}

/// Plays so many trials.
pub fn play(count: usize) -> Result<()> {
    let report = Report::new("trials", &format!("{count}"));
    let news = |step| -> Vec<TrialNews> {
        (0..count).map(|number| TrialNews { record: record(number, step), age: 60_000 }).collect()
    };
    let before = resident();
    let mut book = TrialTracker::default();
    book.apply_updates(NOW, news(0));
    book.observe_freshness(NOW, Some(0));
    report.bytes("memory of a proxy's book", resident().saturating_sub(before));
    // Half of the requests are of tenants with trials.
    let names: Vec<CompactString> = (0..2_000).map(|number| name(number * count.max(1) / 1_000)).collect();
    let mut place = 0;
    let judge = || {
        place = (place + 7) % names.len();
        black_box(book.decide(NOW, &names[place]));
    };
    report.seconds("TrialBook::judge", seconds_each(JUDGED, judge));
    let one = encoded(&vec![TrialNews { record: record(1, 1), age: 0 }]);
    report.bytes("a step to one proxy, as sent", one.len() as u64);
    report.bytes("all steps at a proxy's start, as sent", encoded(&news(1)).len() as u64);
    let mut log = TrialLog::new(1, 0);
    log.apply(NOW, news(0));
    let due = || drop(black_box(log.steps_due(NOW, TIME_OF_DAY)));
    report.seconds("TrialLog::steps_due, all trials", seconds_each(1, due));
    Ok(())
}
