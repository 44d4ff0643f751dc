//! Processes of the program, which end with the rehearsal, however that ends.

use rustix::process::{getppid, kill_process, set_parent_process_death_signal, Pid, Signal};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Becomes the program: a step of its own between a rehearsal and each of its processes, which asks the system
/// to kill it when the rehearsal is gone, even by SIGKILL. Returns only with a failure.
pub fn leash(parent: u32, program: &Path, args: &[OsString]) -> String {
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return format!("no death signal: {e}");
    }
    // The rehearsal may have ended before the signal was asked for.
    if getppid().map(|pid| pid.as_raw_nonzero().get() as u32) != Some(parent) {
        return "the rehearsal is gone".into();
    }
    format!("{}: {}", program.display(), Command::new(program).args(args).exec())
}

/// What a gateway's process is started with.
pub struct Place {
    /// The program.
    pub program: PathBuf,
    /// Its folder: configuration, log, temporary files.
    pub folder: PathBuf,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its operators call.
    pub admin: SocketAddr,
    /// Its operators' file, where it has one.
    pub operator: Option<PathBuf>,
    /// How far ahead the clock of a life is that begins now, seconds.
    pub clock: Cell<f64>,
    /// Lives that took over from another while it served.
    pub successions: Cell<u16>,
}

/// What leads a process's clock astray.
pub fn astray(ahead: f64) -> Vec<(&'static str, String)> {
    if ahead == 0.0 {
        return Vec::new();
    }
    vec![(hingestage_platform::CLOCK_OFFSET_VARIABLE, ahead.to_string())]
}

/// A running process.
pub struct Process {
    child: Child,
}

impl Place {
    /// Its configuration file.
    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Where operators call the newest of its lives: two that overlap can't have one address.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.admin.ip(), self.admin.port() + self.successions.get())
    }

    /// Starts a process in it.
    pub fn start(&self) -> Result<Process, String> {
        let mut env = vec![
            ("RELAY_CONFIG", self.config().display().to_string()),
            ("RELAY_LISTEN", self.listen.to_string()),
            ("RELAY_ADMIN", self.admin().to_string()),
        ];
        env.extend(self.operator.iter().map(|file| ("RELAY_OPERATOR", file.display().to_string())));
        env.extend(astray(self.clock.get()));
        spawn(&self.program, &self.folder, &[], &env)
    }

    /// The last lines of its log.
    pub fn last_words(&self) -> String {
        last_words(&self.folder)
    }
}

/// Starts the program in a folder, where its log is. It ends with this process.
pub fn spawn(
    program: &Path,
    folder: &Path,
    args: &[String],
    env: &[(&str, String)],
) -> Result<Process, String> {
    let error = |e: std::io::Error| format!("{}: {e}", folder.display());
    let log = File::options().create(true).append(true).open(folder.join("log")).map_err(error)?;
    let told = log.try_clone().map_err(error)?;
    let leash = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let mut command = Command::new(leash);
    command
        .arg("leash")
        .arg(std::process::id().to_string())
        .arg(program)
        .args(args)
        .env_remove("RELAY_OPERATOR")
        .envs(env.iter().map(|(name, value)| (name, value)))
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(told)
        .stderr(log);
    Ok(Process { child: command.spawn().map_err(error)? })
}

/// The processor time that a line of `/proc/PID/stat` tells (proc(5), fields 14 and 15, in hundredths of a second).
fn processor_time(stat: &str) -> Option<Duration> {
    // The name before them may have spaces, and ends with the last bracket.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?;
    Some(Duration::from_millis(10 * ticks))
}

/// The last lines of the log in a folder.
pub fn last_words(folder: &Path) -> String {
    let log = fs::read(folder.join("log")).unwrap_or_default();
    let text = String::from_utf8_lossy(&log);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(4)..].join(" | ")
}

impl Process {
    /// Sends it a signal. One that has ended is sent nothing.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Notes how much processor time it has had, by its number: what is read last of one that ends is what it had.
    pub fn spent(&self, into: &mut BTreeMap<u32, Duration>) {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        into.extend(processor_time(&stat).map(|spent| (self.child.id(), spent)));
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn processor_time_is_read_whatever_a_program_is_called() {
        let stat = "77 (a b) c) S 1 77 77 0 -1 4194304 500 0 0 0 120 35 0 0 20 0 1 0 100 0 0";
        assert_eq!(processor_time(stat), Some(Duration::from_millis(1_550)));
        assert_eq!(processor_time(""), None);
        assert_eq!(processor_time("77 (x) S 1 2 3"), None);
    }
}
