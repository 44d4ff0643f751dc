//! Counts over a sliding window, by two slots.

use crate::{seconds, Micros};

/// A count over the last window: the current slot, and the last slot weighted by the part of it that is still in the
/// window. Slots begin on the clock of whoever counts; nobody has to agree on them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlidingCount {
    window: Micros,
    slot_start: Micros,
    current: f32,
    last: f32,
}

impl SlidingCount {
    /// Nothing counted yet. A window is at least one microsecond long.
    pub fn new(now: Micros, window: Micros) -> SlidingCount {
        SlidingCount { window: window.max(1), slot_start: now, current: 0.0, last: 0.0 }
    }

    /// The window's length.
    pub fn window(&self) -> Micros {
        self.window
    }

    /// Goes on with another window: what is counted now is taken for that of the last slot.
    pub fn set_window(&mut self, now: Micros, window: Micros) {
        let window = window.max(1);
        if window == self.window {
            return;
        }
        let last = self.count(now) as f32;
        *self = SlidingCount { window, slot_start: now, current: 0.0, last };
    }

    /// Adds to the count; a negative number takes back.
    pub fn add(&mut self, now: Micros, units: f32) {
        self.roll(now);
        self.current += units;
        if self.current < 0.0 {
            self.last = (self.last + self.current).max(0.0);
            self.current = 0.0;
        }
    }

    /// The count over the window that ends now.
    pub fn count(&mut self, now: Micros) -> f64 {
        self.roll(now);
        let passed = seconds(now.saturating_sub(self.slot_start)) / seconds(self.window);
        f64::from(self.current) + f64::from(self.last) * (1.0 - passed).clamp(0.0, 1.0)
    }

    fn roll(&mut self, now: Micros) {
        let slots = now.saturating_sub(self.slot_start) / self.window;
        if slots == 0 {
            return;
        }
        self.last = if slots == 1 { self.current } else { 0.0 };
        self.current = 0.0;
        self.slot_start += slots * self.window;
    }
}
