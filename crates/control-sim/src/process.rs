//! The life of a simulated process.

use crate::{Micros, MILLI};

/// Whether a process runs, since when, and by which clock it goes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Process {
    pub up: bool,
    /// Grows with each start.
    pub life: u32,
    pub started: Micros,
    /// Until when it stands still.
    pub frozen_until: Micros,
    /// What its time of day is ahead of what it was.
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

    /// Its steady clock.
    pub fn clock(&self, now: Micros) -> Micros {
        now - self.started
    }

    /// Its time of day, milliseconds.
    pub fn time_of_day(&self, now: Micros) -> u64 {
        (now + self.wall_ahead) / MILLI
    }

    pub fn is_frozen(&self, now: Micros) -> bool {
        now < self.frozen_until
    }
}
