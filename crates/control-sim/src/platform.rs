//! Simulated platform API that returns its list of workers with a lag.

use crate::world::CHANGES_END_AT;
use crate::{Micros, MILLI};
use compact_str::{format_compact, CompactString};
use fastrand::Rng;
use hingestage_rpc::workers::WorkerRecord;
use std::collections::VecDeque;

const LAG: Micros = 800 * MILLI;
const SERVICES: usize = 3;
const WORKERS_EACH: usize = 4;
/// One read in this many fails.
const FAILS_ONCE_IN: u32 = 12;

/// The platform and the history of its worker list.
pub(crate) struct Platform {
    workers: Vec<WorkerRecord>,
    /// Past and current lists, each with the time of its change.
    history: VecDeque<(Micros, Vec<WorkerRecord>)>,
    started: usize,
}

impl Platform {
    pub fn new() -> Platform {
        let mut platform = Platform { workers: Vec::new(), history: VecDeque::new(), started: 0 };
        for number in 0..SERVICES * WORKERS_EACH {
            let worker = platform.new_worker(format_compact!("service-{}", number % SERVICES));
            platform.workers.push(worker);
        }
        platform.history.push_back((0, platform.workers.clone()));
        platform
    }

    fn new_worker(&mut self, service: CompactString) -> WorkerRecord {
        self.started += 1;
        WorkerRecord {
            id: format_compact!("worker-{}", self.started),
            service,
            addr: "10.9.0.1:80".parse().expect("an address"),
            zone: "a".into(),
            capacity: 2,
            draining: false,
            cold_left: 0,
        }
    }

    /// Starts draining a random worker, or replaces it if it is draining.
    pub fn change(&mut self, now: Micros, random: &mut Rng) {
        let place = random.usize(..self.workers.len());
        if self.workers[place].draining {
            let service = self.workers[place].service.clone();
            self.workers[place] = self.new_worker(service);
        } else {
            self.workers[place].draining = true;
        }
        self.history.push_back((now, self.workers.clone()));
    }

    /// Returns the list as of [`LAG`] ago; none if the call fails.
    pub fn read(&mut self, now: Micros, random: &mut Rng) -> Option<Vec<WorkerRecord>> {
        while self.history.get(1).is_some_and(|(since, _)| since + LAG <= now) {
            self.history.pop_front();
        }
        let fails = now < CHANGES_END_AT && random.u32(..FAILS_ONCE_IN) == 0;
        self.history.front().filter(|_| !fails).map(|(_, workers)| workers.clone())
    }

    /// The current workers without lag: sorted ids, and whether each is draining.
    pub fn truth(&self) -> Vec<(CompactString, bool)> {
        let mut truth: Vec<(CompactString, bool)> =
            self.workers.iter().map(|worker| (worker.id.clone(), worker.draining)).collect();
        truth.sort();
        truth
    }
}
