//! Workers: which is chosen, what is learned of each, and how cold ones are kept upright.

use super::*;

impl Gatekeeper {
    pub(super) fn on_workers(&mut self, list: WorkerList, out: &mut Vec<Action>) {
        if list.scope == ListScope::Failed {
            return out.extend(self.set.subscribe.then_some(Action::Subscribe));
        }
        if list.scope != ListScope::Delta {
            for w in self.workers.values_mut() {
                w.info.availability = Availability::Gone;
            }
        }
        let health = vec![Health::default(); self.typical.len()];
        let (me, gateways, view) = (self.set.me, self.set.instances, self.view.as_ref());
        for info in list.workers {
            // Hundreds of gateways hear of a start together; a random first credit keeps them out of step.
            let (credit, credit_at) = (self.rng.f64(), self.now);
            let health = health.clone();
            let fresh = |info: WorkerInfo| {
                let place = place(info.mark, me, 0..gateways);
                let near = near_place(view, me, info.mark, place);
                Worker { info, slow: 1.0, health, credit, credit_at, place, near, ..Worker::default() }
            };
            match self.workers.get_mut(&info.id) {
                Some(w) if w.info.started == info.started => w.info = info,
                Some(w) => *w = Worker { inflight: w.inflight, ..fresh(info) },
                None => drop(self.workers.insert(info.id, fresh(info))),
            }
        }
        self.workers.retain(|_, w| w.info.availability != Availability::Gone || w.inflight > 0.0);
        let ready = self.workers.values().filter(|w| w.info.availability == Availability::Ready);
        let mut ready: Vec<(u32, WorkerId)> = ready.map(|w| (w.info.tier, w.info.id)).collect();
        ready.sort_by_key(|(tier, _)| *tier);
        let best = ready.partition_point(|(tier, _)| ready.first().is_some_and(|(least, _)| tier == least));
        self.ready = ready.into_iter().map(|(_, id)| id).collect();
        self.best = best;
        self.choose_near();
        self.release_held(out);
    }

    /// Each worker is near to so many living gateways that each has its number of near ones on the mean. When
    /// a gateway goes, those behind it move up by one place, and no other pair changes.
    pub(super) fn choose_near(&mut self) {
        let (workers, gateways) = (self.best.max(1) as u32, self.living());
        let wide = (NEAR * gateways).div_ceil(workers).max(self.cold_gateways());
        let near = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.near < wide);
        self.near = self.ready[..self.best].iter().filter(near).copied().collect();
    }

    /// Finds this gateway's place before each worker anew, for another view.
    pub(super) fn place_all(&mut self) {
        let (me, view) = (self.set.me, self.view.as_ref());
        self.workers.values_mut().for_each(|w| w.near = near_place(view, me, w.info.mark, w.place));
        self.choose_near();
    }

    /// Workers of a site that was lost are judged anew as it returns: what they failed at was the site.
    pub(super) fn on_sites(&mut self, view: SitesView, out: &mut Vec<Action>) {
        let old = std::mem::replace(&mut self.sites, view);
        for w in self.workers.values_mut() {
            let shares = [&old, &self.sites].map(|view| view.admission(&w.info.zone.0).share);
            if shares[0] <= 0.0 && shares[1] > 0.0 {
                w.health.iter_mut().for_each(|h| *h = Health { answered: h.answered, ..Health::default() });
            }
        }
        self.release_held(out);
    }

    /// The share of its capacity that a worker has at the least.
    pub(super) fn coldness(&self, w: &Worker, now: Micros) -> f64 {
        let age = w.info.started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let (from, warm) = (self.set.rules.cold_from, self.set.rules.cold_for.max(1) as f64);
        (from + (1.0 - from) * age / warm).min(1.0)
    }

    /// Gateways that share a cold worker.
    pub(super) fn cold_gateways(&self) -> u32 {
        subset_size(self.set.instances, self.ready.len() as u32, COLD_SHARE)
    }

    /// Notes what each worker's credit is, before it comes to fill by something else.
    pub(super) fn settle_credits(&mut self) {
        let cold = self.workers.iter().filter(|(_, w)| self.coldness(w, self.now) < 1.0);
        let credits: Vec<(WorkerId, f64)> = cold.map(|(id, w)| (*id, self.credit(w))).collect();
        for (id, credit) in credits {
            self.workers.entry(id).and_modify(|w| (w.credit, w.credit_at) = (credit, self.now));
        }
    }

    /// Sends that a cold worker may have had from us and did not: at a rate that its few gateways together
    /// may send even if it has one core and the least capacity of its age, whatever the traffic or the fleet.
    pub(super) fn credit(&self, w: &Worker) -> f64 {
        let span = self.now.saturating_sub(w.credit_at);
        if let Some(rate) = w.info.cold_rate {
            return (w.credit + rate * secs(span)).min(1.0);
        }
        let few = self.cold_gateways();
        if w.place >= few {
            return 0.0;
        }
        let typical = self.typical.iter().sum::<f64>() / self.typical.len() as f64 / 1e6;
        let part = cold_multiple(self.view.as_ref(), self.now, w.info.mark, few) / f64::from(few);
        let rate = COLD_PART * self.set.rules.fall_multiple / typical * part;
        (w.credit + rate * self.coldness(w, self.now - span / 2) * secs(span)).min(1.0)
    }

    pub(super) fn learn(
        &mut self,
        id: WorkerId,
        class_ix: usize,
        aim: Micros,
        outcome: Outcome,
        latency: f64,
    ) {
        self.out = (self.out - 1.0).max(0.0);
        let (now, room) = (self.now, self.room());
        let Some(w) = self.workers.get(&id) else { return };
        let (cold, slow) = (self.coldness(w, now), w.slow_by(now));
        let samples = w.samples_by(now);
        let used = self.out + 1.0 >= room / 2.0;
        let typical = &mut self.typical[class_ix];
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.inflight = (w.inflight - 1.0).max(0.0);
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            return;
        }
        (w.slow, w.samples, w.at) = (slow, samples + 1.0, now);
        let mut slow_down = outcome == Outcome::Full;
        if outcome == Outcome::Ok {
            let h = &mut w.health[class_ix];
            h.strikes = h.strikes.saturating_sub(1);
            if h.strikes == 0 {
                h.avoid_until = now;
            }
            // What a warm worker would have taken.
            let (out_for, latency) = (latency, latency * cold);
            w.slow += ((latency / *typical).min(10.0) - w.slow) * LEARN.1;
            // The first answers weigh more: they come from workers without queues.
            self.answers += 1.0;
            let first = 1.0 / (self.answers + 1.0);
            self.usual += (out_for.clamp(100.0, 2.0 * self.usual) - self.usual) * LEARN.0.max(first);
            *typical += (latency.max(100.0) - *typical) * LEARN.0.max(first);
            // In parts of the aim all classes tell together of pressure, which few answers of each could not.
            self.pressure += (latency / aim.max(1) as f64 - self.pressure) * LEARN.0.max(first);
            let least = if first > LEARN.0 { f64::MAX } else { self.unpressed * QUEUED.1 };
            self.unpressed = least.min(self.pressure);
            let queued = w.slow * self.pressure > QUEUED.0 * self.unpressed;
            slow_down = queued || latency > LATE_SHARE * aim as f64;
            if !slow_down && used {
                self.limit = (self.limit + INFLIGHT.3).min(INFLIGHT.2);
            }
        }
        // Workers held full lose most of their speed, and stay slow until they are left more alone.
        if slow_down && now > self.cut_at + 10 * TICK && cold >= 1.0 {
            (self.limit, self.cut_at) = ((self.limit * INFLIGHT_CUT).max(INFLIGHT.1), now);
        }
        let h = &mut w.health[class_ix];
        h.fails = if outcome == Outcome::Ok { 0 } else { h.fails + 1 };
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            h.answered = now;
        }
        // Turned away where nothing else of ours is out: it drains or is crowded by others, which a late list
        // or our own record would not tell for long.
        let closed = outcome == Outcome::Full && w.inflight < 1.0;
        if closed || (outcome == Outcome::ConnectFailed && h.fails > 1) {
            (0..self.typical.len()).for_each(|class| self.strike(id, class));
        } else if h.fails >= IN_A_ROW {
            self.strike(id, class_ix);
        }
    }

    /// A worker that failed a class is avoided for it; one that fails two, for all. It covers fast failures,
    /// silence and workers that fail one class only. Harm: a chance failure costs one worker for a meeting.
    pub(super) fn strike(&mut self, id: WorkerId, class_ix: usize) {
        let meeting = self.send_gap * self.near.len().max(1) as f64;
        let now = self.now;
        let Some(h) = self.workers.get_mut(&id).and_then(|w| w.health.get_mut(class_ix)) else { return };
        if now >= h.avoid_until {
            let span = EJECT_FOR.0.max(meeting) * f64::from(1u32 << (h.strikes / STRIKE).min(3));
            h.avoid_until = now + span.min(EJECT_FOR.1) as Micros;
            h.strikes += STRIKE;
        }
    }

    /// Listed workers that get nothing for what they did: those that failed two classes, or the only one.
    pub fn avoided(&self) -> usize {
        let most = (self.typical.len() - 1).min(2);
        let down = |w: &&Worker| w.health.iter().filter(|h| self.now < h.avoid_until).count() >= most;
        self.ready.iter().filter_map(|id| self.workers.get(id)).filter(down).count()
    }

    /// The wait to expect at a worker: its learned slowness times what we have there.
    pub(super) fn expected(&self, w: &Worker) -> f64 {
        let zone = if w.info.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
        w.slow_by(self.now) * (w.inflight + 1.0) * zone
    }

    /// The better of two random workers that the request may go to, not yet tried if possible. All are looked
    /// through only where a few draws find none.
    pub(super) fn pick(&mut self, id: &RequestId) -> Option<WorkerId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let from = if self.near.is_empty() { n } else { self.near.len() };
        let draws: [usize; DRAWS] = std::array::from_fn(|_| self.rng.usize(..from));
        let r = self.requests.get(id)?;
        let tried = |w: &&Worker| r.attempts.iter().any(|a| a.worker == w.info.id);
        let fit = |w: &&Worker| {
            w.inflight < (self.limit / w.slow_by(self.now) / f64::from(self.living())).max(1.0)
                && self.may_send(r, w)
        };
        let near = |i: &usize| self.near.get(*i).and_then(|id| self.workers.get(id));
        let better = |a: &&Worker, b: &&Worker| self.expected(a).total_cmp(&self.expected(b));
        let prefers = |w: &&Worker| self.sites.prefers(&w.info.zone.0, (r.key.0, r.class_ix), r.bits);
        let drawn = draws.iter().filter_map(near);
        let drawn = drawn.filter(|w| !tried(w) && prefers(w) && self.healthy(r, w) && fit(w));
        if let Some(w) = drawn.take(2).min_by(better) {
            return Some(w.info.id);
        }
        // At most half the fleet is avoided on our own evidence: past that the trouble is not theirs.
        let worker = |i: usize| self.workers.get(&self.ready[i]);
        let all = (0..n).filter_map(|i| worker((draws[0] * n / from + i) % n));
        let mut all: Vec<&Worker> = all.filter(|w| self.admits(r, w)).collect();
        // A worse tier is for what no worker of a better one can take: those are gone, avoided or full.
        all.sort_by_key(|w| (w.info.tier, !prefers(w)));
        let most = all.iter().filter(|w| !self.healthy(r, w)).count() * 2 > all.len();
        let fits = || all.iter().copied().filter(|w| (most || self.healthy(r, w)) && fit(w));
        let tier = fits().find(|w| !tried(w)).map_or(0, |w| w.info.tier);
        let new = fits().filter(|w| !tried(w) && w.info.tier == tier).take(2).min_by(better);
        new.or_else(|| fits().next()).map(|w| w.info.id)
    }

    /// Whether what is believed of a worker's site lets a request go there.
    pub(super) fn admits(&self, r: &Open, w: &Worker) -> bool {
        self.sites.admits(&w.info.zone.0, r.bits, r.may_probe(), self.probed)
    }

    /// Avoided workers get nothing; one on trial gets one repeatable request at a time. A probe of a lost site
    /// goes to any of its workers.
    pub(super) fn healthy(&self, r: &Open, w: &Worker) -> bool {
        if self.sites.probes(&w.info.zone.0, self.probed) {
            return r.may_probe();
        }
        let avoided = w.health.iter().filter(|h| self.now < h.avoid_until).count();
        let h = &w.health[r.class_ix];
        let trial_ok = h.strikes == 0 || (w.inflight == 0.0 && r.class.effect != Effect::AtMostOnce);
        self.now >= h.avoid_until && avoided < 2 && trial_ok
    }
}
