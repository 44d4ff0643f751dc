//! Lifecycle and clocks of a simulated process.

use crate::{Micros, MILLI};

/// State and clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Process {
    pub up: bool,
    /// Incarnation; increases with each start.
    pub life: u32,
    pub started: Micros,
    /// The process is paused until this time.
    pub frozen_until: Micros,
    /// Offset of the wall clock from the virtual clock.
    pub wall_ahead: Micros,
}

impl Process {
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.life += 1;
        self.started = now;
        self.frozen_until = 0;
    }

    pub fn stop(&mut self) {
        self.up = false;
    }

    /// Monotonic clock: time since the process started.
    pub fn clock(&self, now: Micros) -> Micros {
        now - self.started
    }

    /// Wall clock in milliseconds.
    pub fn time_of_day(&self, now: Micros) -> u64 {
        (now + self.wall_ahead) / MILLI
    }

    pub fn is_frozen(&self, now: Micros) -> bool {
        now < self.frozen_until
    }
}
