//! Worker selection, health tracking and warm-up.

use super::*;

impl Gatekeeper {
    pub(super) fn on_workers(&mut self, list: WorkerList, actions: &mut Vec<Action>) {
        if list.scope == ListScope::Failed {
            return actions.extend(self.settings.subscribe.then_some(Action::Subscribe));
        }
        if list.scope != ListScope::Delta {
            for w in self.workers.values_mut() {
                w.info.availability = Availability::Gone;
            }
        }
        let health = vec![Health::default(); self.typical_latency.len()];
        let (me, gateways, view) = (self.settings.me, self.settings.instances, self.view.as_ref());
        for info in list.workers {
            // A random initial credit keeps gateways from sending to a new worker at the same time.
            let (credit, credit_at) = (self.rng.f64(), self.now);
            let health = health.clone();
            let base = Worker { slowness: 1.0, health, credit, credit_at, ..Worker::default() };
            let fresh = |info: WorkerInfo| {
                let rank = rank(info.hash, me, 0..gateways);
                let live_rank = live_rank(view, me, info.hash, rank);
                Worker { info, rank, live_rank, ..base }
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
        self.best_tier_len = best;
        self.choose_subset();
        self.release_held(actions);
    }

    /// Selects this gateway's subset of workers by rendezvous hashing: when a gateway goes, those ranked
    /// behind it move up by one and no other pair changes.
    pub(super) fn choose_subset(&mut self) {
        let (workers, gateways) = (self.best_tier_len.max(1) as u32, self.live_gateways());
        let max_rank = (SUBSET_SIZE * gateways).div_ceil(workers).max(self.cold_sharers());
        let near = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.live_rank < max_rank);
        self.subset = self.ready[..self.best_tier_len].iter().filter(near).copied().collect();
    }

    /// Recomputes this gateway's rank at each worker for a new view.
    pub(super) fn rerank_workers(&mut self) {
        let (me, view) = (self.settings.me, self.view.as_ref());
        self.workers.values_mut().for_each(|w| w.live_rank = live_rank(view, me, w.info.hash, w.rank));
        self.choose_subset();
    }

    /// Resets worker health when a lost site returns: the failures were the site's.
    pub(super) fn on_sites(&mut self, view: SitesView, actions: &mut Vec<Action>) {
        let old = std::mem::replace(&mut self.sites, view);
        for w in self.workers.values_mut() {
            let shares = [&old, &self.sites].map(|view| view.admission(&w.info.zone.0).share);
            if shares[0] <= 0.0 && shares[1] > 0.0 {
                let reset = |h: &mut Health| *h = Health { answered_at: h.answered_at, ..Health::default() };
                w.health.iter_mut().for_each(reset);
            }
        }
        self.release_held(actions);
    }

    /// Minimum share of its warm capacity that a worker has at its age.
    pub(super) fn warm_share(&self, w: &Worker, now: Micros) -> f64 {
        let age = w.info.started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let rules = &self.settings.rules;
        let (from, warm) = (rules.initial_capacity, rules.warm_up_time.max(1) as f64);
        (from + (1.0 - from) * age / warm).min(1.0)
    }

    pub(super) fn cold_sharers(&self) -> u32 {
        subset_size(self.settings.instances, self.ready.len() as u32, (COLD_SHARERS_MIN, COLD_WORKERS_MEAN))
    }

    /// Stores each cold worker's current credit, before a change of its refill rate.
    pub(super) fn store_credits(&mut self) {
        let cold = self.workers.iter().filter(|(_, w)| self.warm_share(w, self.now) < 1.0);
        let credits: Vec<(WorkerId, f64)> = cold.map(|(id, w)| (*id, self.cold_credit(w))).collect();
        for (id, credit) in credits {
            self.workers.entry(id).and_modify(|w| (w.credit, w.credit_at) = (credit, self.now));
        }
    }

    /// Unused sends of this gateway to a cold worker. The gateways that share it stay, together, below the
    /// overload point of a one-core worker of its age.
    pub(super) fn cold_credit(&self, w: &Worker) -> f64 {
        let span = self.now.saturating_sub(w.credit_at);
        if let Some(rate) = w.info.cold_rate {
            return (w.credit + rate * secs(span)).min(1.0);
        }
        let few = self.cold_sharers();
        if w.rank >= few {
            return 0.0;
        }
        let typical = self.typical_latency.iter().sum::<f64>() / self.typical_latency.len() as f64 / 1e6;
        let part = cold_multiple(self.view.as_ref(), self.now, w.info.hash, few) / f64::from(few);
        let rate = self.settings.rules.overload_multiple / typical * part;
        (w.credit + rate * self.warm_share(w, self.now - span / 2) * secs(span)).min(1.0)
    }

    /// Updates latencies, the in-flight limit and worker health after an attempt.
    pub(super) fn record(&mut self, id: WorkerId, class: usize, aim: Micros, outcome: Outcome, latency: f64) {
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            return;
        }
        let (now, share) = (self.now, self.inflight_share());
        let used = self.in_flight + 1.0 >= share / 2.0;
        let cold = self.workers.get(&id).map_or(1.0, |w| self.warm_share(w, now));
        let typical = &mut self.typical_latency[class];
        let Some(w) = self.workers.get_mut(&id) else { return };
        (w.slowness, w.samples, w.sampled_at) = (w.slowness_at(now), w.samples_at(now) + 1.0, now);
        let mut slow_down = outcome == Outcome::Full;
        if outcome == Outcome::Ok {
            let h = &mut w.health[class];
            h.strikes = h.strikes.saturating_sub(1);
            if h.strikes == 0 {
                h.avoid_until = now;
            }
            // Normalized to a warm worker.
            let (in_flight_for, latency) = (latency, latency * cold);
            w.slowness += ((latency / *typical).min(10.0) - w.slowness) * SLOWNESS_WEIGHT;
            // Early answers weigh more: they come from workers without queues.
            self.answer_count += 1.0;
            let first = 1.0 / (self.answer_count + 1.0);
            let weight = LATENCY_WEIGHT.max(first);
            self.mean_in_flight +=
                (in_flight_for.clamp(100.0, 2.0 * self.mean_in_flight) - self.mean_in_flight) * weight;
            *typical += (latency.max(100.0) - *typical) * weight;
            // The ratio pools all classes, since each alone has few answers.
            self.latency_ratio += (latency / aim.max(1) as f64 - self.latency_ratio) * weight;
            let least = if first > LATENCY_WEIGHT { f64::MAX } else { self.base_ratio * BASELINE_DRIFT };
            self.base_ratio = least.min(self.latency_ratio);
            let congested = w.slowness * self.latency_ratio > CONGESTED_RATIO * self.base_ratio;
            slow_down = congested || latency > LATE_SHARE * aim as f64;
            if !slow_down && used {
                self.inflight_limit = (self.inflight_limit + INFLIGHT_GROWTH).min(INFLIGHT_MAX);
            }
        }
        // Overfull workers lose most of their speed until their load drops.
        if slow_down && now > self.limit_cut_at + 10 * TICK && cold >= 1.0 {
            (self.inflight_limit, self.limit_cut_at) =
                ((self.inflight_limit * INFLIGHT_CUT).max(INFLIGHT_MIN), now);
        }
        let h = &mut w.health[class];
        h.consecutive_failures = if outcome == Outcome::Ok { 0 } else { h.consecutive_failures + 1 };
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            h.answered_at = now;
        }
        // Rejected with nothing else of ours in flight: it drains or others fill it; the list may tell it late.
        let rejected = outcome == Outcome::Full && w.inflight < 1.0;
        if rejected || (outcome == Outcome::ConnectFailed && h.consecutive_failures > 1) {
            (0..self.typical_latency.len()).for_each(|class| self.strike(id, class));
        } else if h.consecutive_failures >= FAILURES_MAX {
            self.strike(id, class);
        }
    }

    /// Avoids a worker for a class that failed there; two failing classes avoid it for all. A chance failure
    /// costs at least one mean time between sends to that worker.
    pub(super) fn strike(&mut self, id: WorkerId, class_ix: usize) {
        let mean_interval = self.send_interval * self.subset.len().max(1) as f64;
        let Some(h) = self.workers.get_mut(&id).and_then(|w| w.health.get_mut(class_ix)) else { return };
        if self.now >= h.avoid_until {
            let span = EJECT_MIN.max(mean_interval) * f64::from(1u32 << (h.strikes / EJECT_STRIKES).min(3));
            h.avoid_until = self.now + span.min(EJECT_MAX) as Micros;
            h.strikes += EJECT_STRIKES;
        }
    }

    /// Number of listed workers avoided for all classes after failures in two, or in the only one.
    pub fn avoided(&self) -> usize {
        let most = (self.typical_latency.len() - 1).min(2);
        let down = |w: &&Worker| w.health.iter().filter(|h| self.now < h.avoid_until).count() >= most;
        self.ready.iter().filter_map(|id| self.workers.get(id)).filter(down).count()
    }

    /// Expected wait at a worker: its slowness times our attempts in flight there.
    pub(super) fn expected_wait(&self, w: &Worker) -> f64 {
        let zone = if w.info.zone == self.settings.zone { 1.0 } else { CROSS_ZONE };
        w.slowness_at(self.now) * (w.inflight + 1.0) * zone
    }

    /// Picks the better of two random eligible workers, untried ones first. Scans the whole fleet only if
    /// the random picks find none.
    pub(super) fn pick_worker(&mut self, id: &RequestId) -> Option<WorkerId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let from = if self.subset.is_empty() { n } else { self.subset.len() };
        let draws: [usize; RANDOM_PICKS] = std::array::from_fn(|_| self.rng.usize(..from));
        let r = self.requests.get(id)?;
        let tried = |w: &&Worker| r.attempts.iter().any(|a| a.worker == w.info.id);
        let eligible = |w: &&Worker| {
            let limit = self.inflight_limit / w.slowness_at(self.now) / f64::from(self.live_gateways());
            w.inflight < limit.max(1.0) && self.may_send(r, w)
        };
        let near = |i: &usize| self.subset.get(*i).and_then(|id| self.workers.get(id));
        let better = |a: &&Worker, b: &&Worker| self.expected_wait(a).total_cmp(&self.expected_wait(b));
        let prefers = |w: &&Worker| self.sites.prefers(&w.info.zone.0, (r.key.0, r.class_ix), r.bits);
        let drawn = draws.iter().filter_map(near);
        let drawn = drawn.filter(|w| !tried(w) && prefers(w) && self.is_healthy(r, w) && eligible(w));
        if let Some(w) = drawn.take(2).min_by(better) {
            return Some(w.info.id);
        }
        // At most half the fleet is avoided: beyond that the workers are hardly the cause.
        let worker = |i: usize| self.workers.get(&self.ready[i]);
        let all = (0..n).filter_map(|i| worker((draws[0] * n / from + i) % n));
        let mut all: Vec<&Worker> = all.filter(|w| self.site_admits(r, w)).collect();
        // Worse tiers get only what no better one can take.
        all.sort_by_key(|w| (w.info.tier, !prefers(w)));
        let ignore_health = all.iter().filter(|w| !self.is_healthy(r, w)).count() * 2 > all.len();
        let candidates =
            || all.iter().copied().filter(|w| (ignore_health || self.is_healthy(r, w)) && eligible(w));
        let tier = candidates().find(|w| !tried(w)).map_or(0, |w| w.info.tier);
        let new = candidates().filter(|w| !tried(w) && w.info.tier == tier).take(2).min_by(better);
        new.or_else(|| candidates().next()).map(|w| w.info.id)
    }

    /// Whether the worker's site admits this request.
    pub(super) fn site_admits(&self, r: &OpenRequest, w: &Worker) -> bool {
        self.sites.admits(&w.info.zone.0, r.bits, r.may_probe(), self.last_probe)
    }

    /// Whether a worker is fit for this request. After a failure it gets one repeatable request at a time; a
    /// probe of a lost site may go to any of its workers.
    pub(super) fn is_healthy(&self, r: &OpenRequest, w: &Worker) -> bool {
        if self.sites.probes(&w.info.zone.0, self.last_probe) {
            return r.may_probe();
        }
        let avoided = w.health.iter().filter(|h| self.now < h.avoid_until).count();
        let h = &w.health[r.class_ix];
        let trial_ok = h.strikes == 0 || (w.inflight == 0.0 && r.class.effect != Effect::AtMostOnce);
        self.now >= h.avoid_until && avoided < 2 && trial_ok
    }
}
