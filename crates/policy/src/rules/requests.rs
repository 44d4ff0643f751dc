//! Request admission, dispatch, retries and completion.

use super::*;

impl Gatekeeper {
    pub(super) fn on_request(&mut self, r: Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        if self.no_policy {
            let longest = self.settings.limits.max_retry_after;
            let retry_after = self.rng.u64(longest / 2..=longest);
            return actions.push(Action::Refuse { request: r.id, retry_after });
        }
        let unknown = Class { aim: r.time_left / 2, deadline: r.time_left, ..Class::default() };
        let known = r.class.and_then(|c| self.settings.classes.get(c.0).map(|class| (c.0, class.clone())));
        let (class_ix, class) = known.unwrap_or((self.settings.classes.len(), unknown));
        let margin = 2 * self.settings.resolution.max(1);
        let plan = r.plan.filter(|p| p.0 < self.settings.plans.len());
        let (Some(plan), true) = (plan, r.time_left > margin) else {
            // Unknown plans allow nothing, and no time is left otherwise.
            return actions.push(Action::Refuse { request: r.id, retry_after: 0 });
        };
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        let key = self.customer_entry(plan.0, r.customer, (r.gateways, r.first));
        let id = r.id.clone();
        let open = OpenRequest::new(&id, self.now, r.time_left);
        self.requests.insert(id.clone(), OpenRequest { key: key.clone(), class, class_ix, units, ..open });
        self.timers.insert(self.next_timer, r.id.clone());
        actions.push(Action::SetTimer { token: TimerToken(self.next_timer), after: r.time_left - margin });
        self.next_timer += 1;
        // A close decision waits for a fresh total if a call may start. The call also reports the units; a
        // later call gives them back if the request is refused.
        if self.needs_fresh_total(&key, units) {
            self.customers.entry(key.clone()).and_modify(|c| c.pending += units);
            let weight = self.report_use(&key, units, actions);
            if let (Some(c), Some(r)) = (self.customers.get_mut(&key), self.requests.get_mut(&id)) {
                r.prepaid = units * weight;
                c.prepaid += r.prepaid;
                c.pending -= if weight > 0.0 { 0.0 } else { units };
                if c.open_calls > 0 {
                    return c.waiting.push(id);
                }
            }
        }
        self.admit(&id, actions);
    }

    /// Charges a request and dispatches it, or refuses it if its customer is over quota.
    pub(super) fn admit(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.charged) else { return };
        let (key, units, prepaid, closed) = (r.key.clone(), r.units, r.prepaid, r.closed);
        let class_ix = r.class_ix;
        self.customers.entry(key.clone()).and_modify(|c| c.prepaid -= prepaid);
        let beyond = if closed { Some(0) } else { self.check_quota(&key, units, prepaid) };
        // Load shedding during a site failure comes before any cost.
        let longest = self.settings.limits.max_retry_after;
        let shed = beyond.is_none() && self.sites.refuses((key.0, class_ix), customer_hash(&key.1), self.now);
        let spread = if shed { Some(self.rng.u64(longest / 2..=longest)) } else { None };
        if let Some(wait) = beyond.or(spread) {
            self.charge(&key, 0.0, if prepaid > 0.0 { -units } else { 0.0 });
            return self.finish(id, Ending::Refused(wait), actions);
        }
        self.requests.entry(id.clone()).and_modify(|r| r.charged = true);
        self.customers.entry(key.clone()).and_modify(|c| c.open_requests += 1.0);
        self.charge(&key, units, if prepaid > 0.0 { 0.0 } else { units });
        self.dispatch_or_hold(id, actions);
    }

    /// Whether a request may be sent to some worker: its time, its attempts and its effect allow it.
    fn may_attempt(&self, r: &OpenRequest) -> bool {
        let ended = r.closed || r.streaming || self.now >= r.deadline;
        let limit = self.settings.limits.max_attempts;
        let tries = if r.class.attempts > 0 { r.class.attempts } else { limit };
        let tries_left = r.attempts.len() < limit && r.workers_reached() < tries;
        let once = r.streamed_body || r.class.effect == Effect::AtMostOnce;
        !ended && tries_left && !(once && r.may_have_run())
    }

    /// Checks everything that a send must satisfy: the request, its keys, drain, warm-up and ceiling.
    pub(super) fn may_send(&self, r: &OpenRequest, w: &Worker) -> bool {
        let warm = self.warm_share(w, self.now) >= 1.0 || self.cold_credit(w) >= 1.0;
        let available = w.info.availability == Availability::Ready && warm && self.site_admits(r, w);
        let copies = self.settings.limits.second_copies;
        let excludes = |a: &Attempt| a.in_flight && (a.worker == w.info.id || (a.counted && !copies));
        if !available || r.attempts.iter().any(excludes) || !self.may_attempt(r) {
            return false;
        }
        let p = self.plan(&r.key);
        let ceiling_ok = p.ceiling_rate <= 0.0
            || !r.attempts.is_empty()
            || r.granted
            || self.customers.get(&r.key).is_some_and(|c| c.ceiling_level >= r.units);
        ceiling_ok && self.now < r.begin_by() && r.shares_keys_with(&w.info)
    }

    /// This gateway's even share of the fleet's in-flight limit.
    pub(super) fn inflight_share(&self) -> f64 {
        self.inflight_limit * self.ready.len() as f64 / f64::from(self.live_gateways())
    }

    /// Current send tokens. They refill by the mean time in flight, so that one slow answer blocks nothing.
    pub(super) fn current_send_tokens(&self, share: f64) -> f64 {
        let gained = (self.now - self.send_tokens_at) as f64 * share / self.mean_in_flight;
        (self.send_tokens + gained).min(SEND_TOKENS_MAX)
    }

    /// Whether another send stays within this gateway's share of the in-flight limit.
    fn has_send_capacity(&self) -> bool {
        let share = self.inflight_share();
        self.in_flight < share.max(1.0) && (share >= 1.0 || self.current_send_tokens(share) >= 1.0)
    }

    /// Sends a request to the best eligible worker. This is the only place that sends.
    pub(super) fn dispatch(&mut self, id: &RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return false };
        if !self.has_send_capacity() {
            return false;
        }
        let tokens = self.current_send_tokens(self.inflight_share());
        self.advance(&key);
        let Some(worker) = self.pick_worker(id) else {
            self.request_grant(id, actions);
            return false;
        };
        let credit = self.workers.get(&worker).map_or(0.0, |w| self.cold_credit(w));
        let Some(r) = self.requests.get_mut(id) else { return false };
        let Some(w) = self.workers.get_mut(&worker) else { return false };
        if r.attempts.is_empty() {
            self.retry_budget = (self.retry_budget + RETRY_EARNED)
                .min(self.settings.limits.max_retry_budget(RETRY_BUDGET_MAX));
            let units = if r.granted { 0.0 } else { r.units };
            self.customers.entry(r.key.clone()).and_modify(|c| {
                c.ceiling_level -= units;
                c.retry_debt = (c.retry_debt - RETRY_EARNED).max(0.0);
            });
        }
        (self.send_tokens, self.send_tokens_at) = ((tokens - 1.0).max(0.0), self.now);
        self.send_interval += ((self.now - self.sent_at) as f64 - self.send_interval) * LATENCY_WEIGHT;
        self.sent_at = self.now;
        (w.credit, w.credit_at) = (credit - 1.0, self.now);
        self.last_probe = self.last_probe.max(self.sites.probe(&w.info.zone.0).unwrap_or(0));
        r.held = false;
        let timeout = r.deadline - self.now;
        let begin_within = r.begin_by().saturating_sub(self.now);
        r.attempts.push(Attempt::new(&w.info, self.now));
        let attempt = r.attempts.len() - 1;
        self.set_counted(id, attempt, true);
        actions.push(Action::Send { request: id.clone(), worker, timeout, begin_within });
        true
    }

    pub(super) fn dispatch_or_hold(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        if !self.dispatch(id, actions) {
            if let Some(r) = self.requests.get_mut(id).filter(|r| !r.held) {
                r.held = true;
                self.held.push_back(id.clone());
            }
        }
    }

    /// Dispatches held requests newest first: in order of arrival, a long overload gives every place to the
    /// class that may wait longest, and serves it late. Requests held too long are refused.
    pub(super) fn release_held(&mut self, actions: &mut Vec<Action>) {
        let mut waiting = VecDeque::new();
        while let Some(id) = self.held.pop_back() {
            let Some(r) = self.requests.get(&id).filter(|r| r.held && !r.closed) else { continue };
            let hold = (r.class.aim as f64 * HOLD_SHARE) as Micros;
            let since = if r.attempts.is_empty() { r.arrived } else { r.arrived + hold };
            if self.now > since + hold {
                let wait = self.rng.u64(hold / 2..=hold.max(1)).min(self.settings.limits.max_retry_after);
                self.no_worker += 1;
                self.finish(&id, Ending::Refused(wait), actions);
            } else if !self.dispatch(&id, actions) {
                waiting.push_front(id);
            }
        }
        self.held = waiting;
    }

    pub(super) fn on_done(&mut self, done: AttemptDone, actions: &mut Vec<Action>) {
        let (id, outcome) = (&done.request, done.outcome);
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(a) = r.attempts.get_mut(done.attempt).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_reached = !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        a.may_have_run = a.may_have_reached && outcome != Outcome::Full;
        let (worker, sent) = (a.worker, a.sent);
        let (class_ix, key, units, aim) = (r.class_ix, r.key.clone(), r.units, r.class.aim);
        let replaced = std::mem::take(&mut r.replacing);
        self.set_counted(id, done.attempt, false);
        // Excludes the upload of the body and the streaming of the answer: neither is the worker's work.
        let latency = done.latency.min(self.now - sent) as f64;
        self.record(worker, class_ix, aim, outcome, latency);
        if let (Some(n), Outcome::Ok) = (done.true_units.filter(|n| n.is_finite()), outcome) {
            self.advance(&key);
            self.charge(&key, n - units, n - units);
        }
        let Some(r) = self.requests.get_mut(id) else { return };
        if done.closed || r.closed || (outcome == Outcome::Ok && !r.streaming) {
            self.finish(id, Ending::Answered, actions);
        } else if !r.is_in_flight() {
            // An unreachable worker did no work, so the retry is free.
            let costs = if outcome == Outcome::ConnectFailed { 0.0 } else { 1.0 };
            if replaced || self.may_repeat(id, costs) {
                self.charge_retry(id, costs);
                self.dispatch_or_hold(id, actions);
            } else {
                self.finish(id, Ending::Refused(0), actions);
            }
        }
        if replaced {
            self.check_overdue(actions);
        }
        self.release_held(actions);
    }

    /// Whether the request, its latency target and the retry budget allow another attempt. A customer's debt is
    /// limited to a part of the remaining budget (dynamic thresholds), so that one failing customer can't
    /// exhaust it.
    fn may_repeat(&self, id: &RequestId, costs: f64) -> bool {
        let Some(r) = self.requests.get(id) else { return false };
        let in_time = self.now < r.arrived + r.class.aim;
        let owed = self.customers.get(&r.key).map_or(0.0, |c| c.retry_debt);
        let debt_max = (self.retry_budget * RETRY_DEBT_SHARE).max(1.0);
        let affordable = self.retry_budget >= costs && (costs == 0.0 || owed + costs <= debt_max);
        in_time && affordable && self.may_attempt(r)
    }

    fn charge_retry(&mut self, id: &RequestId, costs: f64) {
        let Some(r) = self.requests.get(id) else { return };
        self.retry_budget -= costs;
        self.customers.entry(r.key.clone()).and_modify(|c| c.retry_debt += costs);
    }

    /// Ends a request; the only place that does. A refusal means that a retry is harmless, so it becomes a
    /// failure if an attempt may have taken effect.
    pub(super) fn finish(&mut self, id: &RequestId, ending: Ending, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let was_open = !std::mem::replace(&mut r.closed, true);
        let harmless = !r.may_have_run()
            || match r.class.effect {
                Effect::Idempotent => !self.settings.limits.refusals_promise,
                Effect::Deduplicated => r.class.group == DedupGroup::All,
                Effect::AtMostOnce => false,
            };
        let (charged, never_sent) = (r.charged, r.attempts.is_empty());
        let (key, units) = (r.key.clone(), r.units);
        if was_open {
            match ending {
                Ending::Answered => {}
                Ending::Refused(wait) if harmless => {
                    actions.push(Action::Refuse { request: id.clone(), retry_after: wait })
                }
                Ending::Refused(_) | Ending::Failed => actions.push(Action::Fail(id.clone())),
            }
            if self.settings.limits.cancel && !r.streaming {
                for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
                    actions.push(Action::Cancel { request: id.clone(), attempt: n });
                }
            }
        }
        if !r.is_in_flight() {
            self.requests.remove(id);
        }
        if was_open && charged {
            self.customers.entry(key.clone()).and_modify(|c| c.open_requests -= 1.0);
            if never_sent {
                // Quotas count only requests that were sent.
                self.charge(&key, -units, -units);
            }
        }
    }

    /// Sends a copy of each request whose attempt is lost, stalled or late. Where copies are not allowed, its
    /// attempt is cancelled first, but only if another one can follow: until then the worker may still answer.
    /// One at a time, as the next may need the same place.
    pub(super) fn check_overdue(&mut self, actions: &mut Vec<Action>) {
        let overdue = self.find_overdue();
        let pending = self.requests.values().any(|r| r.replacing && !r.streaming);
        let (copies, cancel) = (self.settings.limits.second_copies, self.settings.limits.cancel && !pending);
        for (id, attempt) in overdue {
            let repeatable = self.may_repeat(&id, 1.0);
            // The next attempt takes the place of a lost one; a late one is at work.
            self.set_counted(&id, attempt, self.settings.limits.hedges());
            if repeatable && copies && self.dispatch(&id, actions) {
                self.charge_retry(&id, 1.0);
                continue;
            }
            let follows = repeatable && !copies && cancel && self.has_send_capacity();
            let follows = follows && self.pick_worker(&id).is_some();
            self.set_counted(&id, attempt, true);
            if follows {
                self.requests.entry(id.clone()).and_modify(|r| r.replacing = true);
                return actions.push(Action::Cancel { request: id, attempt });
            }
        }
    }

    /// Finds the only attempts of their requests that are lost, stalled or overdue. Workers that lost one are
    /// avoided from now on.
    fn find_overdue(&mut self) -> Vec<(RequestId, usize)> {
        let (mut found, mut lost_at) = (Vec::new(), Vec::new());
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| !(r.closed || r.uploading)) {
            let mut running = r.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight);
            let (Some((n, a)), None) = (running.next(), running.next()) else { continue };
            let age = (self.now - a.sent) as f64;
            // Lost: no answer for several typical latencies, nor any other of this class from this worker.
            let health = self.workers.get(&a.worker).map(|w| (w.health[r.class_ix].answered_at, w.slowness));
            let (answered, slow) = health.unwrap_or((0, 1.0));
            // At a lost site the wait is no longer than a usual answer may take.
            let site_open = self.sites.admission(&a.zone.0).share > 0.0;
            let silent = if site_open { SILENT_LATENCIES } else { SILENT_LOST_SITE };
            let silence_max = silent * slow.clamp(1.0, 2.0) * self.typical_latency[r.class_ix];
            let lost = age > silence_max && answered <= a.sent;
            if lost && !std::mem::replace(&mut a.suspected_lost, true) {
                lost_at.push((a.worker, r.class_ix));
            }
            let overdue = self.settings.limits.hedges() && age > HEDGE_SHARE * r.class.aim as f64;
            if lost || a.stalled || overdue {
                found.push((id.clone(), n));
            }
        }
        lost_at.iter().for_each(|(worker, class_ix)| self.strike(*worker, *class_ix));
        found
    }

    /// Counts an attempt among those in flight, or no longer.
    fn set_counted(&mut self, id: &RequestId, attempt: usize, counted: bool) {
        let Some(a) = self.requests.get_mut(id).and_then(|r| r.attempts.get_mut(attempt)) else { return };
        if std::mem::replace(&mut a.counted, counted) != counted {
            let change = if counted { 1.0 } else { -1.0 };
            self.in_flight = (self.in_flight + change).max(0.0);
            self.workers.entry(a.worker).and_modify(|w| w.inflight = (w.inflight + change).max(0.0));
        }
    }
}
