//! The workers: their lives, moods and successors.

use super::*;
use hingestage_test_servers::worker::Mood;

impl World {
    pub(super) fn unix_ms(&self) -> u64 {
        self.net.platform(0).unix_time().as_millis() as u64
    }

    pub(super) fn start_worker(self: &Rc<Self>, spec: Spec, host: Host, uid: String) {
        let boot_ms = if spec.started.is_some() { self.unix_ms() } else { 0 };
        let platform = self.net.platform(host);
        let worker = Worker::new(platform.clone(), spec.clone(), self.observer.clone());
        if let Some((group, window)) = self.script.site.keyed {
            let shared = match group {
                "all" => ("", 0),
                "zone" => (spec.zone, 0),
                _ => (spec.zone, spec.cell),
            };
            let keys = self.keys.borrow_mut().entry(shared).or_default().clone();
            worker.remember(keys, Duration::from_millis(window));
        }
        let (zone, cell) = (spec.zone.to_owned(), spec.cell);
        self.checker.borrow_mut().worker(&uid, boot_ms, spec);
        let at = address(host, site::WORKER_PORT);
        let running = worker.clone();
        self.executor.spawn(host, async move {
            if let Ok(listener) = platform.listen(at).await {
                running.run(listener).await;
            }
        });
        let (endpoint, state) = (at.to_string(), "up".into());
        self.list(Listed { uid: uid.clone(), endpoint, state, boot_ms, zone, cell });
        self.workers.borrow_mut().push(Hand { worker, host, uid, boot_ms, alive: Cell::new(true) });
    }

    /// The life in which the worker that began as `number` is now.
    pub(super) fn with_worker(&self, number: usize, job: impl FnOnce(usize, &Hand)) {
        let workers = self.workers.borrow();
        let host = WORKER + number as Host;
        let found = workers.iter().enumerate().rev().find(|(_, w)| w.host == host && w.alive.get());
        if let Some((place, hand)) = found {
            job(place, hand);
        }
    }

    pub(super) fn successor(&self, hand: &Hand) -> Spec {
        self.lives.set(self.lives.get() + 1);
        let number = self.lives.get() + crate::script::WORKERS_MAX;
        Spec { number, started: Some(self.executor.instant()), ..hand.worker.spec().clone() }
    }

    pub(super) fn say(self: &Rc<Self>, hand: &Hand, state: &str) {
        let endpoint = address(hand.host, site::WORKER_PORT).to_string();
        let (uid, boot_ms) = (hand.uid.clone(), hand.boot_ms);
        let (zone, cell) = (hand.worker.spec().zone.to_owned(), hand.worker.spec().cell);
        self.list(Listed { uid, endpoint, state: state.into(), boot_ms, zone, cell });
    }

    /// A worker is drained and replaced by a cold one.
    pub(super) fn deploy(self: &Rc<Self>, number: usize, same_address: bool) {
        let mut place = None;
        self.with_worker(number, |at, hand| {
            self.say(hand, "draining");
            place = Some(at);
        });
        let Some(place) = place else { return };
        if !same_address {
            let hand = &self.workers.borrow()[place];
            let spec = self.successor(hand);
            let (uid, host) = (format!("w{}", spec.number), WORKER + spec.number as Host);
            let world = self.clone();
            self.executor.at(self.executor.nanos(), move || world.start_worker(spec, host, uid));
        }
        let world = self.clone();
        let drains = self.executor.nanos() + 700 * MS;
        self.executor.at(drains, move || world.workers.borrow()[place].worker.drain());
        let world = self.clone();
        self.executor.at(drains + 500 * MS, move || world.end_worker(place, same_address));
    }

    /// Ends a drained worker once it has finished what it has.
    pub(super) fn end_worker(self: &Rc<Self>, place: usize, same_address: bool) {
        let (host, spec) = {
            let hand = &self.workers.borrow()[place];
            if !hand.alive.get() {
                return;
            }
            if hand.worker.held() > 0 && hand.worker.mood() != Mood::Silent {
                let world = self.clone();
                let later = self.executor.nanos() + 50 * MS;
                return self.executor.at(later, move || world.end_worker(place, same_address));
            }
            hand.alive.set(false);
            self.say(hand, "removed");
            (hand.host, self.successor(hand))
        };
        self.net.kill(host);
        if same_address {
            let uid = format!("w{}", spec.number);
            self.start_worker(spec, host, uid);
        }
    }

    pub(super) fn restart_worker(self: &Rc<Self>, number: usize) {
        let mut found = None;
        self.with_worker(number, |_, hand| {
            hand.alive.set(false);
            found = Some((hand.host, hand.uid.clone(), self.successor(hand)));
        });
        let Some((host, uid, spec)) = found else { return };
        self.net.kill(host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + 100 * MS, move || {
            let started = Some(world.executor.instant());
            world.start_worker(Spec { started, ..spec }, host, uid);
        });
    }

    pub(super) fn mend_worker(&self, number: usize) {
        self.with_worker(number, |_, hand| {
            hand.worker.set(Mood::Good);
            self.net.join(hand.host);
            self.net.delay_connects(hand.host, None);
            self.net.throttle(hand.host, None);
        });
    }
}

pub(super) fn mood(way: &str, figure: u64) -> Mood {
    match way {
        "silent" => Mood::Silent,
        "reset-answer" => Mood::ResetAnswer(figure as usize),
        "reset-asked" => Mood::ResetAsked(figure as usize),
        "trickle" => Mood::Trickle(Duration::from_millis(figure)),
        "slower" => Mood::Slower(figure as f64),
        "noise" => Mood::Noise,
        "endless-head" => Mood::EndlessHead,
        "wrong-length" => Mood::WrongLength,
        "huge" => Mood::Huge,
        "twice" => Mood::Twice,
        "noise-behind" => Mood::NoiseBehind,
        "interim" => Mood::Interim,
        "error" => Mood::Error,
        "full" => Mood::Full,
        "figures" => Mood::Figures,
        "closes" => Mood::Closes,
        _ => Mood::Good,
    }
}
