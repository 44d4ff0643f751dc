//! The programs as child processes, each with its settings file and log in a directory of its own.

use crate::layout::{Layout, ProcessSpec, Program};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The environment variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "HINGESTAGE_SETTINGS";
/// How long processes may take to end in order.
const END_WITHIN: Duration = Duration::from_secs(7);
/// Pause between two looks at whether they have.
const LOOK: Duration = Duration::from_millis(20);
/// The subcommand that ties a program to the life of this process.
const LEASH: &str = "leash";

/// Finds the programs beside this one.
///
/// # Errors
/// One is not there; the message says how to build it.
pub fn find_programs() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let directory = own.parent().unwrap_or(Path::new(".")).to_owned();
    let missing: Vec<&str> = Program::ALL
        .iter()
        .map(|program| program.file_name())
        .filter(|name| !directory.join(name).is_file())
        .collect();
    if missing.is_empty() {
        return Ok(directory);
    }
    let release = if directory.ends_with("release") { " --release" } else { "" };
    Err(format!(
        "not built: {} in {}; build with `cargo build{release} -p hingestage-proxy -p hingestage-registry \
         -p hingestage-config-store`",
        missing.join(", "),
        directory.display()
    ))
}

struct Running {
    spec: ProcessSpec,
    child: Child,
    started: Instant,
    /// Whether it has been told to end.
    ending: bool,
}

impl Running {
    fn is(&self, spec: &ProcessSpec) -> bool {
        self.spec.program == spec.program && self.spec.machine.name == spec.machine.name
    }

    fn pid(&self) -> Option<Pid> {
        i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
    }

    fn signal(&self, signal: Signal) {
        let _ = self.pid().map(|pid| kill_process(pid, signal));
    }
}

/// The processes of a system. They are killed when this is dropped, and when this process ends.
pub struct Processes {
    programs: PathBuf,
    directory: PathBuf,
    layout: Layout,
    running: Vec<Running>,
}

impl Processes {
    /// Starts all processes of a layout for the first time.
    ///
    /// # Errors
    /// A file can't be written or a program not be started.
    pub fn start(programs: PathBuf, directory: PathBuf, layout: &Layout) -> Result<Processes, String> {
        fs::create_dir_all(&directory).map_err(|e| format!("{}: {e}", directory.display()))?;
        let mut processes = Processes { programs, directory, layout: layout.clone(), running: Vec::new() };
        for spec in layout.processes() {
            processes.launch(&spec, true)?;
        }
        Ok(processes)
    }

    /// Starts one process again.
    ///
    /// # Errors
    /// A file can't be written or the program not be started.
    pub fn restart(&mut self, spec: &ProcessSpec) -> Result<(), String> {
        self.launch(spec, false)
    }

    fn launch(&mut self, spec: &ProcessSpec, bootstrap: bool) -> Result<(), String> {
        let text = self.layout.settings(spec, &self.directory, bootstrap)?;
        let child = self.spawn(spec, &text).map_err(|e| format!("{spec}: {e}"))?;
        self.running.push(Running { spec: spec.clone(), child, started: Instant::now(), ending: false });
        Ok(())
    }

    fn spawn(&self, spec: &ProcessSpec, settings: &str) -> io::Result<Child> {
        if let Some(data_dir) = self.data_dir(spec) {
            fs::create_dir_all(data_dir)?;
        }
        let name = format!("{}-{}", spec.machine.name, spec.program.file_name());
        let path = self.directory.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log =
            File::options().create(true).append(true).open(self.directory.join(format!("{name}.log")))?;
        Command::new(std::env::current_exe()?)
            .arg(LEASH)
            .arg(std::process::id().to_string())
            .arg(self.programs.join(spec.program.file_name()))
            .env(SETTINGS_VARIABLE, path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Lets a process stand still, or go on.
    pub fn freeze(&self, spec: &ProcessSpec, stands_still: bool) {
        self.signal(spec, if stands_still { Signal::STOP } else { Signal::CONT });
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, spec: &ProcessSpec, signal: Signal) {
        self.running.iter().filter(|running| running.is(spec)).for_each(|running| running.signal(signal));
    }

    /// The id of a process that runs.
    pub fn pid(&self, spec: &ProcessSpec) -> Option<Pid> {
        self.running.iter().find(|running| running.is(spec)).and_then(Running::pid)
    }

    /// Where a process keeps its files.
    pub fn data_dir(&self, spec: &ProcessSpec) -> Option<PathBuf> {
        self.layout.data_dir(spec, &self.directory)
    }

    /// How long ago a process that runs was started.
    pub fn age(&self, spec: &ProcessSpec) -> Option<Duration> {
        self.running.iter().find(|running| running.is(spec)).map(|running| running.started.elapsed())
    }

    /// Tells a process to end; returns whether it runs and had not been told before.
    pub fn begin_end(&mut self, spec: &ProcessSpec) -> bool {
        let running = self.running.iter_mut().find(|running| running.is(spec) && !running.ending);
        let Some(running) = running else { return false };
        running.ending = true;
        running.signal(Signal::TERM);
        true
    }

    /// Whether a process has ended; one that has is forgotten.
    pub fn has_ended(&mut self, spec: &ProcessSpec) -> bool {
        self.running.retain_mut(|running| !running.is(spec) || matches!(running.child.try_wait(), Ok(None)));
        !self.running.iter().any(|running| running.is(spec))
    }

    /// Kills a process without notice.
    pub fn kill(&mut self, spec: &ProcessSpec) {
        let Some(place) = self.running.iter().position(|running| running.is(spec)) else { return };
        let mut running = self.running.remove(place);
        let _ = running.child.kill();
        let _ = running.child.wait();
    }

    /// A process that has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.running.iter_mut().find_map(|running| {
            let status = running.child.try_wait().ok().flatten()?;
            Some(format!("{} ended by itself: {status}", running.spec))
        })
    }

    /// Tells all to end, and kills those that don't in time. Tells whether none had to be killed.
    pub async fn stop(mut self) -> bool {
        self.running.iter().for_each(|running| running.signal(Signal::TERM));
        let until = Instant::now() + END_WITHIN;
        while !self.running.is_empty() && Instant::now() < until {
            self.running.retain_mut(|running| matches!(running.child.try_wait(), Ok(None)));
            sleep(LOOK).await;
        }
        self.running.is_empty()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for running in &mut self.running {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}
