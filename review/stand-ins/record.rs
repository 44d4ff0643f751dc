//! The record of a run: one line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<BufWriter<File>>> = OnceLock::new();

/// Opens `record.txt` in a folder; time counts from here.
pub fn open(folder: &Path) -> std::io::Result<()> {
    let file = BufWriter::new(File::create(folder.join("record.txt"))?);
    START.get_or_init(Instant::now);
    FILE.get_or_init(|| Mutex::new(file));
    Ok(())
}

/// Seconds since the start.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some(file) = FILE.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", now());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    println!("{:9.4} {text}", now());
    line(text);
}

/// Writes out what is buffered.
pub fn flush() {
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().flush();
    }
}
