//! Sliding-window counter with two slots.

use crate::{seconds, Micros};

/// A count over the last window: the current slot plus the previous one, weighted by its overlap with the
/// window. Slots start on the local clock and need not be aligned between gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlidingCount {
    window: Micros,
    slot_start: Micros,
    current: f32,
    previous: f32,
}

impl SlidingCount {
    /// Creates an empty counter. The window is at least one microsecond.
    pub fn new(now: Micros, window: Micros) -> SlidingCount {
        SlidingCount { window: window.max(1), slot_start: now, current: 0.0, previous: 0.0 }
    }

    /// Length of the window, µs.
    pub fn window(&self) -> Micros {
        self.window
    }

    /// Changes the window; the current count becomes that of the previous slot.
    pub fn set_window(&mut self, now: Micros, window: Micros) {
        let window = window.max(1);
        if window == self.window {
            return;
        }
        let previous = self.count(now) as f32;
        *self = SlidingCount { window, slot_start: now, current: 0.0, previous };
    }

    /// Adds to the count; negative units subtract.
    pub fn add(&mut self, now: Micros, units: f32) {
        self.advance(now);
        self.current += units;
        if self.current < 0.0 {
            self.previous = (self.previous + self.current).max(0.0);
            self.current = 0.0;
        }
    }

    /// The estimated count over the window that ends now.
    pub fn count(&mut self, now: Micros) -> f64 {
        self.advance(now);
        let elapsed = seconds(now.saturating_sub(self.slot_start)) / seconds(self.window);
        f64::from(self.current) + f64::from(self.previous) * (1.0 - elapsed).clamp(0.0, 1.0)
    }

    fn advance(&mut self, now: Micros) {
        let slots = now.saturating_sub(self.slot_start) / self.window;
        if slots == 0 {
            return;
        }
        self.previous = if slots == 1 { self.current } else { 0.0 };
        self.current = 0.0;
        self.slot_start += slots * self.window;
    }
}
