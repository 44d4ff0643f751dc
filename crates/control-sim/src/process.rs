//! Lifecycle and clocks of a simulated process.

use crate::{Micros, MILLI};

/// State and clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Process {
    pub up: bool,
    /// Incarnation; increases with each start.
    pub incarnation: u32,
    pub started: Micros,
    /// The process is paused until this time.
    pub paused_until: Micros,
    /// Offset of the wall clock from the virtual clock.
    pub wall_offset: Micros,
}

impl Process {
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.incarnation += 1;
        self.started = now;
        self.paused_until = 0;
    }

    pub fn stop(&mut self) {
        self.up = false;
    }

    /// Monotonic clock: time since the process started.
    pub fn clock(&self, now: Micros) -> Micros {
        now - self.started
    }

    /// Wall clock in milliseconds.
    pub fn wall_clock_ms(&self, now: Micros) -> u64 {
        (now + self.wall_offset) / MILLI
    }

    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }
}
