//! Requests: taken, sent on, tried again, ended. What may be sent and who answers is decided here and once.

use super::*;

impl Gatekeeper {
    pub(super) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        if self.barred {
            let longest = self.set.limits.max_retry_after;
            let retry_after = self.rng.u64(longest / 2..=longest);
            return out.push(Action::Refuse { request: r.id, retry_after });
        }
        let unknown = Class { aim: r.time_left / 2, deadline: r.time_left, ..Class::default() };
        let known = r.class.and_then(|c| self.set.classes.get(c.0).map(|class| (c.0, class.clone())));
        let (class_ix, class) = known.unwrap_or((self.set.classes.len(), unknown));
        let margin = 2 * self.set.resolution.max(1);
        let plan = r.plan.filter(|p| p.0 < self.set.plans.len());
        let (Some(plan), true) = (plan, r.time_left > margin) else {
            // A plan nobody described allows nothing; no time left allows nothing either.
            out.push(Action::Refuse { request: r.id, retry_after: 0 });
            return;
        };
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        let key = self.enter(plan.0, r.customer, (r.gateways, r.first));
        let (arrived, deadline) = (self.now, self.now + r.time_left);
        let id = r.id.clone();
        let (key_of, bits) = (key.clone(), fnv(id.0.as_bytes()));
        let open = Open { key: key_of, bits, class, class_ix, units, arrived, deadline, ..Open::default() };
        self.requests.insert(r.id.clone(), open);
        self.timers.insert(self.next_timer, r.id.clone());
        out.push(Action::SetTimer { token: TimerToken(self.next_timer), after: r.time_left - margin });
        self.next_timer += 1;
        // A close decision waits for a fresh total, unless no call may go out now. Its units go along: one
        // call counts and asks; they are given back with a later call if it is turned away.
        if self.unsure(&key, units) {
            self.customers.entry(key.clone()).and_modify(|c| c.pending += units);
            let stands_for = self.push(&key, units, out);
            if let (Some(c), Some(r)) = (self.customers.get_mut(&key), self.requests.get_mut(&id)) {
                r.prepaid = units * stands_for;
                c.prepaid += r.prepaid;
                c.pending -= if stands_for > 0.0 { 0.0 } else { units };
                if c.calls_out > 0 {
                    return c.waiting.push(id);
                }
            }
        }
        self.admit(&id, out);
    }

    /// Charges a request and sends it on, or turns it away when its customer is beyond the quota.
    pub(super) fn admit(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.charged) else { return };
        let (key, units, prepaid, closed) = (r.key.clone(), r.units, r.prepaid, r.closed);
        let class_ix = r.class_ix;
        self.customers.entry(key.clone()).and_modify(|c| c.prepaid -= prepaid);
        let beyond = if closed { Some(0) } else { self.beyond_quota(&key, units, prepaid) };
        // Where what is left can't serve all, those who are refused first are so before they cost anything.
        let longest = self.set.limits.max_retry_after;
        let first = beyond.is_none() && self.sites.refuses((key.0, class_ix), hash(&key.1), self.now);
        let spread = if first { Some(self.rng.u64(longest / 2..=longest)) } else { None };
        if let Some(wait) = beyond.or(spread) {
            self.charge(&key, 0.0, if prepaid > 0.0 { -units } else { 0.0 });
            return self.finish(id, Ending::TurnedAway(wait), out);
        }
        self.requests.entry(id.clone()).and_modify(|r| r.charged = true);
        self.customers.entry(key.clone()).and_modify(|c| c.open += 1.0);
        self.charge(&key, units, if prepaid > 0.0 { 0.0 } else { units });
        self.dispatch_or_hold(id, out);
    }

    /// Attempts that a request may have.
    fn tries(&self, r: &Open) -> usize {
        let most = self.set.limits.max_attempts;
        if r.class.attempts > 0 {
            r.class.attempts.min(most)
        } else {
            most
        }
    }

    /// Every guard that a send must pass: the request's end, its effect, drains, cold workers, ceilings.
    pub(super) fn may_send(&self, r: &Open, w: &Worker) -> bool {
        let tries_left = r.attempts.len() < self.tries(r);
        if r.closed || r.streaming || self.now >= r.deadline || !tries_left {
            return false;
        }
        if w.info.availability != Availability::Ready
            || (self.coldness(w, self.now) < 1.0 && self.credit(w) < 1.0)
            || !self.admits(r, w)
        {
            return false;
        }
        if r.attempts.iter().any(|a| a.out) && !self.set.limits.second_copies {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.may_have_run).peekable();
        let effect_ok = match (r.class.effect, ran.peek()) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(_)) => {
                self.now < r.begin_by()
                    && ran.all(|a| match r.class.group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => a.zone == w.info.zone,
                        DedupGroup::Cell => a.zone == w.info.zone && a.cell == w.info.cell,
                    })
            }
        };
        let p = self.plan(&r.key);
        let ceiling_ok = p.ceiling_rate <= 0.0
            || !r.attempts.is_empty()
            || r.granted
            || self.customers.get(&r.key).is_some_and(|c| c.ceiling >= r.units);
        effect_ok && ceiling_ok
    }

    /// What all workers may have in hand, an even part of it.
    pub(super) fn room(&self) -> f64 {
        self.limit * self.ready.len() as f64 / f64::from(self.living())
    }

    /// Turns saved up by now. No single answer, however slow, holds them up: what they go by is learned from
    /// many, and an idle gateway always has one.
    pub(super) fn turns_by_now(&self, room: f64) -> f64 {
        let gained = (self.now - self.turns_at) as f64 * room / self.usual;
        (self.turns + gained).min(TURNS_SAVED)
    }

    /// Sends a request to the best worker that its guards allow. The only place that sends.
    pub(super) fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) -> bool {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return false };
        let room = self.room();
        let turns = self.turns_by_now(room);
        if self.out >= room.max(1.0) || (room < 1.0 && turns < 1.0) {
            return false;
        }
        self.advance(&key);
        let Some(worker) = self.pick(id) else {
            self.ask_ceiling(id, out);
            return false;
        };
        let credit = self.workers.get(&worker).map_or(0.0, |w| self.credit(w));
        let (Some(r), Some(w)) = (self.requests.get_mut(id), self.workers.get_mut(&worker)) else {
            return false;
        };
        if r.attempts.is_empty() {
            self.retries = (self.retries + RETRY_EARN.0).min(self.set.limits.retries_saved(RETRY_EARN.1));
            let units = if r.granted { 0.0 } else { r.units };
            self.customers.entry(r.key.clone()).and_modify(|c| {
                c.ceiling -= units;
                c.retried = (c.retried - RETRY_EARN.0).max(0.0);
            });
        }
        (self.turns, self.turns_at) = ((turns - 1.0).max(0.0), self.now);
        self.send_gap += ((self.now - self.sent_at) as f64 - self.send_gap) * LEARN.0;
        (self.sent_at, self.out) = (self.now, self.out + 1.0);
        w.inflight += 1.0;
        (w.credit, w.credit_at) = (credit - 1.0, self.now);
        self.probed = self.probed.max(self.sites.probe(&w.info.zone.0).unwrap_or(0));
        r.held = false;
        let timeout = r.deadline - self.now;
        let begin_within = r.begin_by().saturating_sub(self.now);
        r.attempts.push(Attempt::new(&w.info, self.now));
        out.push(Action::Send { request: id.clone(), worker, timeout, begin_within });
        true
    }

    pub(super) fn dispatch_or_hold(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        if !self.dispatch(id, out) {
            if let Some(r) = self.requests.get_mut(id).filter(|r| !r.held) {
                r.held = true;
                self.held.push_back(id.clone());
            }
        }
    }

    /// Held requests go out as workers get room, the newest first: in a long overload a queue served in order
    /// hands every place to the class that may wait longest, and serves it late. The old are refused early.
    pub(super) fn release_held(&mut self, out: &mut Vec<Action>) {
        let mut waiting = VecDeque::new();
        while let Some(id) = self.held.pop_back() {
            let Some(r) = self.requests.get(&id).filter(|r| r.held && !r.closed) else { continue };
            let hold = (r.class.aim as f64 * HOLD_SHARE) as Micros;
            let since = if r.attempts.is_empty() { r.arrived } else { r.arrived + hold };
            if self.now > since + hold {
                let wait = self.rng.u64(hold / 2..=hold.max(1)).min(self.set.limits.max_retry_after);
                self.short += 1;
                self.finish(&id, Ending::TurnedAway(wait), out);
            } else if !self.dispatch(&id, out) {
                waiting.push_front(id);
            }
        }
        self.held = waiting;
    }

    pub(super) fn on_done(&mut self, done: AttemptDone, out: &mut Vec<Action>) {
        let (id, outcome) = (&done.request, done.outcome);
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(a) = r.attempts.get_mut(done.attempt).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        let (worker, sent) = (a.worker, a.sent);
        let (class_ix, key, units, aim) = (r.class_ix, r.key.clone(), r.units, r.class.aim);
        // Until its answer began: neither a body on its way there nor an answer written slowly is its work.
        let latency = done.latency.min(self.now - sent) as f64;
        self.learn(worker, class_ix, aim, outcome, latency);
        if let (Some(n), Outcome::Ok) = (done.true_units.filter(|n| n.is_finite()), outcome) {
            self.advance(&key);
            self.charge(&key, n - units, n - units);
        }
        let Some(r) = self.requests.get_mut(id) else { return };
        if done.closed || r.closed || (outcome == Outcome::Ok && !r.streaming) {
            self.finish(id, Ending::Answered, out);
        } else if !r.attempts.iter().any(|a| a.out) {
            self.try_again(id, outcome, out);
        }
        self.release_held(out);
    }

    /// Another attempt where budget and time allow one, else the end.
    pub(super) fn try_again(&mut self, id: &RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let barred = r.streaming || (ran && r.class.effect == Effect::AtMostOnce);
        let room = r.attempts.len() < self.tries(r) && self.now < r.arrived + r.class.aim;
        // A worker that can't be reached has had no work of it: another attempt elsewhere piles nothing on.
        let costs = if outcome == Outcome::ConnectFailed { 0.0 } else { 1.0 };
        let key = r.key.clone();
        if !barred && room && self.may_retry(&key, costs) {
            self.retry(&key, costs);
            self.dispatch_or_hold(id, out);
        } else {
            self.finish(id, Ending::TurnedAway(0), out);
        }
    }

    /// Whether the budget of further attempts has as much for this customer: of what is left it may owe a part
    /// (dynamic thresholds), so that one whose requests all fail leaves some to the others.
    fn may_retry(&self, key: &Key, costs: f64) -> bool {
        let owed = self.customers.get(key).map_or(0.0, |c| c.retried);
        self.retries >= costs && (costs == 0.0 || owed + costs <= (self.retries * RETRY_PART).max(1.0))
    }

    fn retry(&mut self, key: &Key, costs: f64) {
        self.retries -= costs;
        self.customers.entry(key.clone()).and_modify(|c| c.retried += costs);
    }

    /// The only place that ends a request. A refusal says that trying again is harmless, so it becomes a
    /// failure wherever an attempt may have had its effect.
    pub(super) fn finish(&mut self, id: &RequestId, ending: Ending, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let was_open = !r.closed;
        r.closed = true;
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let harmless = match r.class.effect {
            Effect::Idempotent => !ran || !self.set.limits.refusals_promise,
            Effect::Deduplicated => !ran || r.class.group == DedupGroup::All,
            Effect::AtMostOnce => !ran,
        };
        let (charged, never_sent) = (r.charged, r.attempts.is_empty());
        let (key, units) = (r.key.clone(), r.units);
        if was_open {
            match ending {
                Ending::Answered => {}
                Ending::TurnedAway(wait) if harmless => {
                    out.push(Action::Refuse { request: id.clone(), retry_after: wait })
                }
                Ending::TurnedAway(_) | Ending::Failed => out.push(Action::Fail(id.clone())),
            }
            if self.set.limits.cancel && !r.streaming {
                for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                    out.push(Action::Cancel { request: id.clone(), attempt: n });
                }
            }
        }
        if !r.attempts.iter().any(|a| a.out) {
            self.requests.remove(id);
        }
        if was_open && charged {
            self.customers.entry(key.clone()).and_modify(|c| c.open -= 1.0);
            if never_sent {
                // Quotas count what is sent on; this never was.
                self.charge(&key, -units, -units);
            }
        }
    }

    /// Second copies for requests whose attempt is lost or takes too much of the aim; where copies are not
    /// allowed, the lost attempt is called off first.
    pub(super) fn watch_requests(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.closed).map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(r) = self.requests.get_mut(&id).filter(|r| !r.uploading) else { continue };
            let class_ix = r.class_ix;
            let mut running = r.attempts.iter_mut().enumerate().filter(|(_, a)| a.out);
            let (Some((n, a)), None) = (running.next(), running.next()) else { continue };
            let age = (self.now - a.sent) as f64;
            // Lost: no answer in several typical latencies, nor any other of its class from that worker.
            let health = self.workers.get(&a.worker).map(|w| (w.health[class_ix].answered, w.slow));
            let (answered, slow) = health.unwrap_or((0, 1.0));
            // What is in hand at a site that is lost waits no longer for it than a usual answer might take.
            let silent = if self.sites.admission(&a.zone.0).share > 0.0 { SILENT } else { SILENT_LOST };
            let lost = age > silent * slow.clamp(1.0, 2.0) * self.typical[class_ix] && answered <= a.sent;
            let first = lost && !a.suspected;
            a.suspected |= lost;
            let worker = a.worker;
            let barred = r.streaming || r.class.effect == Effect::AtMostOnce;
            let late = self.now > r.arrived + r.class.aim;
            let key = r.key.clone();
            let overdue = age > HEDGE_SHARE * r.class.aim as f64;
            if first {
                self.strike(worker, class_ix);
            }
            if barred || late || !(lost || overdue) || !self.may_retry(&key, 1.0) {
                continue;
            }
            if self.set.limits.second_copies {
                if self.dispatch(&id, out) {
                    self.retry(&key, 1.0);
                }
            } else if lost && self.set.limits.cancel {
                out.push(Action::Cancel { request: id, attempt: n });
            }
        }
    }
}
