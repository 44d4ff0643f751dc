//! The shared counter.

use super::*;
use hingestage_test_servers::counter::Mood;

/// Time that a call to the counter takes.
pub(super) const PACE: Duration = Duration::from_micros(700);

impl World {
    pub(super) fn start_counter(&self) {
        let platform = self.net.platform(COUNTER);
        let counter = Counter::new(platform.clone(), PACE);
        *self.counter.borrow_mut() = counter.clone();
        for side in 0..2 {
            let (platform, counter) = (platform.clone(), counter.clone());
            self.executor.spawn(COUNTER, async move {
                if let Ok(listener) = platform.listen(address(COUNTER, site::COUNTER_PORT + side)).await {
                    counter.run(listener).await;
                }
            });
        }
    }

    pub(super) fn counter_turns(&self, way: &str, figure: u64) {
        let counter = self.counter.borrow().clone();
        match way {
            "busy" => counter.set(Mood::Busy),
            "late" => counter.set(Mood::Late(Duration::from_millis(figure))),
            "spoilt" => counter.set(Mood::Spoilt),
            "silent" => counter.set(Mood::Silent),
            "breaks" => counter.set(Mood::Breaks),
            "empty" => counter.forget(),
            _ => self.net.kill(COUNTER),
        }
    }

    pub(super) fn mend_counter(&self) {
        self.counter.borrow().set(Mood::Good);
        if !self.net.listens(address(COUNTER, site::COUNTER_PORT)) {
            self.start_counter();
        }
    }
}
