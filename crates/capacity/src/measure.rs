//! Processor time, memory, and the lines of the table.

use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::Duration;

/// Runs of which the median is told.
pub const RUNS: usize = 5;
/// Bytes of a page of memory.
const PAGE: u64 = 4_096;
const NANOS_PER_SECOND: f64 = 1e9;

/// Processor time that this thread has used.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Processor time that the first thread of a process has used: the programs have one. It is brought up to date when
/// the thread stops running, and every few milliseconds.
pub fn process_cpu(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Resident bytes of this process.
pub fn resident() -> u64 {
    resident_at("/proc/self/statm")
}

/// Resident bytes of another process.
pub fn process_resident(pid: u32) -> u64 {
    resident_at(&format!("/proc/{pid}/statm"))
}

fn resident_at(path: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let pages: Option<u64> = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or_default() * PAGE
}

/// Processor seconds of one call, the median of several runs of `calls` calls each.
pub fn seconds_each(calls: usize, mut call: impl FnMut()) -> f64 {
    let mut runs: Vec<f64> = (0..RUNS)
        .map(|_| {
            let before = thread_cpu();
            (0..calls).for_each(|_| call());
            (thread_cpu() - before).as_secs_f64() / calls as f64
        })
        .collect();
    median(&mut runs)
}

/// The median; 0 of nothing.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Rows of one case.
pub struct Report {
    case: String,
}

impl Report {
    /// Rows of a section at a size.
    pub fn new(section: &str, size: &str) -> Report {
        Report { case: format!("{section}: {size}") }
    }

    /// One row.
    pub fn row(&self, figure: &str, value: f64, unit: &str) {
        println!("{:<52} {figure:<52} {value:>14.3} {unit}", self.case);
    }

    /// A span, in the unit that reads best.
    pub fn seconds(&self, figure: &str, seconds: f64) {
        let nanos = seconds * NANOS_PER_SECOND;
        match nanos {
            ..1e3 => self.row(figure, nanos, "ns"),
            ..1e6 => self.row(figure, nanos / 1e3, "us"),
            ..1e9 => self.row(figure, nanos / 1e6, "ms"),
            _ => self.row(figure, seconds, "s"),
        }
    }

    /// A number of bytes.
    pub fn bytes(&self, figure: &str, bytes: u64) {
        self.row(figure, bytes as f64, "bytes");
    }
}

/// How busy the machine is.
pub fn print_load(when: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    println!("load of the machine {when}, {processors} processors: {}", load.trim());
}
