//! Customer quotas, penalties, ceilings and the shared counter.

use super::*;

impl Gatekeeper {
    pub(super) fn plan(&self, key: &Key) -> &Plan {
        &self.settings.plans[key.0]
    }

    pub(super) fn quota_window(&self, plan: usize) -> f64 {
        let p = &self.settings.plans[plan];
        let span = if p.rate > 0.0 { p.burst / p.rate * 1e6 } else { DEFAULT_WINDOW };
        span.clamp(1e5, WINDOW_MAX)
    }

    /// Finds or creates a customer's entry. When the table is full, new customers share one entry per plan,
    /// so that a scan of one-time names evicts no penalized customer.
    pub(super) fn customer_entry(&mut self, plan: usize, customer: CustomerId, via: (u32, u32)) -> Key {
        let mut key = (plan, customer);
        if self.policy_changed_at > 0 && !self.customers.contains_key(&key) {
            self.migrate_customer(&key);
        }
        if !self.customers.contains_key(&key) && self.customers.len() >= CUSTOMERS_MAX {
            key.1 = CustomerId(String::new());
        }
        let p = &self.settings.plans[plan];
        let n = f64::from(via.0.max(1));
        let c = self.customers.entry(key.clone()).or_insert_with(|| Customer {
            level: p.burst / n,
            others_rate: p.rate * (1.0 - 1.0 / n),
            // An earlier process, or gateways that were present before this view, may have used this share:
            // it refills from the start of this process or view.
            ceiling_at: self.started.max(self.view_since),
            first: via.1,
            plan_changed_at: self.policy_changed_at,
            ..Customer::new(&key.1, n, self.now)
        });
        c.gateways = c.gateways.max(n);
        c.last_seen = self.now;
        self.advance(&key);
        key
    }

    /// Moves a customer to another plan together with its recorded use.
    fn migrate_customer(&mut self, key: &Key) {
        let of = |plan: usize| (plan, key.1.clone());
        let mut keys = (0..self.settings.plans.len()).map(of);
        let Some(old) = keys.find(|old| self.customers.contains_key(old)) else { return };
        self.advance(&old);
        let Some(customer) = self.customers.remove(&old) else { return };
        self.customers.insert(key.clone(), customer);
        if self.unreported.remove(&old) {
            self.unreported.insert(key.clone());
        }
        self.requests.values_mut().filter(|r| r.key == old).for_each(|r| r.key = key.clone());
        self.calls.values_mut().filter(|call| call.key == old).for_each(|call| call.key = key.clone());
        self.apply_plan_change(key);
    }

    /// Applies a plan change to a customer's penalty and ceiling pool.
    pub(super) fn apply_plan_change(&mut self, key: &Key) {
        let (now, window) = (self.now, self.quota_window(key.0) as Micros);
        self.customers.entry(key.clone()).and_modify(|c| {
            c.penalty_until = c.penalty_until.min(now + window);
            c.plan_changed_at = now;
        });
        self.advance(key);
    }

    /// Number of gateways that the ceiling and the quota are divided among, according to the view.
    pub(super) fn sharers(&self, c: &Customer) -> (f64, f64) {
        let multiple = |view: &LeaseView| view.share_multiple(self.now, c.first, c.gateways as u32);
        let multiple = self.view.as_ref().map_or(1.0, multiple);
        (c.gateways / multiple, c.gateways / multiple.max(1.0))
    }

    /// Brings a customer's slots and levels up to date.
    pub(super) fn advance(&mut self, key: &Key) {
        let (now, window) = (self.now, self.quota_window(key.0));
        let Some((sharers, quota_sharers)) = self.customers.get(key).map(|c| self.sharers(c)) else { return };
        let p = &self.settings.plans[key.0];
        let Some(c) = self.customers.get_mut(key) else { return };
        let slot = (now + c.slot_offset) / window as u64;
        if slot != c.slot {
            c.previous = if slot == c.slot + 1 { c.current } else { Slot::default() };
            // Units to give back apply only to the slot they were taken from.
            (c.current, c.slot, c.pending, c.forecast) = (Slot::default(), slot, c.pending.max(0.0), 0.0);
        }
        let dt = secs(now - c.updated_at);
        let others = c.others_rate.min(p.rate * (1.0 - OWN_SHARE_MIN / quota_sharers));
        // The forecast covers at most one window.
        c.forecast = (c.forecast + others * dt).min(others * window / 1e6);
        c.level = (c.level + (p.rate - others) * dt).min(p.burst);
        c.updated_at = now;
        let split = 1.0 - pool_share(self.settings.counter, c.gateways);
        let depth = (p.ceiling_burst * split + p.ceiling_slack * SLACK_USED) / sharers;
        let fills = self.successor_since.unwrap_or(now).saturating_sub(c.ceiling_at);
        c.ceiling_level = (c.ceiling_level + p.ceiling_rate * split / sharers * secs(fills)).min(depth);
        c.ceiling_at = now;
    }

    /// Known units of all gateways in the last window.
    pub(super) fn known_use(&self, c: &Customer, window: f64) -> f64 {
        let left = 1.0 - ((self.now + c.slot_offset) % window as u64) as f64 / window;
        let last = (c.previous.mine + c.previous.others) * left;
        c.current.mine + c.current.others + last + c.pending + c.in_transit + c.forecast - c.prepaid
    }

    /// Checks the quota, the penalty and the cap on open requests. Returns retry advice on refusal.
    pub(super) fn check_quota(&mut self, key: &Key, units: f64, prepaid: f64) -> Option<Micros> {
        let (p, window) = (self.plan(key).clone(), self.quota_window(key.0));
        let (now, longest) = (self.now, self.settings.limits.max_retry_after);
        let random = self.rng.f64();
        let count = self.known_use(self.customers.get(key)?, window) - prepaid + units;
        let (_, sharers) = self.sharers(self.customers.get(key)?);
        let c = self.customers.get_mut(key)?;
        // Exempt: serving beyond this plan's quota earns more than it costs.
        if p.over_quota_value > p.over_quota_cost {
            return None;
        }
        if p.max_open > 0.0 {
            let (mine, all) =
                (c.current.mine + c.previous.mine + c.pending, c.current.others + c.previous.others);
            let share = if c.total_known && mine + all > 0.0 { mine / (mine + all) } else { 1.0 / sharers };
            if c.open_requests >= (p.max_open * share).floor().max(1.0) {
                return Some(longest.min(window as Micros / 4));
            }
        }
        if p.rate <= 0.0 {
            return None;
        }
        let part = p.burst / sharers;
        // Before the first total, other gateways are assumed to use as much as this one.
        if count > if c.total_known { p.burst } else { part.max(units) } {
            c.penalty_until = now + window as Micros;
        }
        if now >= c.penalty_until || c.level >= units {
            return None;
        }
        // With a share below one request and no fresh total, admit at random in proportion to the level, so
        // that the expected use equals the share.
        if part < units && random * units < c.level && !(c.total_known && now <= c.read_at + FRESH_TOTAL) {
            return None;
        }
        let gain = (p.rate - c.others_rate).max(p.rate / sharers / 2.0);
        Some((((units - c.level) / gain * 1e6) as Micros).min(longest))
    }

    /// Whether a fresh total could change the decision.
    pub(super) fn needs_fresh_total(&self, key: &Key, units: f64) -> bool {
        let (Some(c), p) = (self.customers.get(key), self.plan(key)) else { return false };
        let spread = c.forecast * FORECAST_ERROR + FORECAST_ERROR_REQUESTS * self.settings.max_units;
        let near = c.level + c.forecast >= units && c.level < units + spread;
        let open = if c.total_known { near && self.now > c.read_at + FRESH_TOTAL } else { c.level < units };
        let limited = p.rate > 0.0 && p.over_quota_value <= p.over_quota_cost;
        open && self.settings.counter && limited && !key.1 .0.is_empty()
    }

    /// Takes units from the quota and records those that the counter does not know yet.
    pub(super) fn charge(&mut self, key: &Key, units: f64, unheard: f64) {
        let (now, p) = (self.now, &self.settings.plans[key.0]);
        let Some(c) = self.customers.get_mut(key) else { return };
        c.level -= units;
        if unheard != 0.0 {
            c.pending_since = if c.pending == 0.0 { now } else { c.pending_since };
            c.pending += unheard;
            if self.settings.counter && (p.rate > 0.0 || p.max_open > 0.0) && !key.1 .0.is_empty() {
                self.unreported.insert(key.clone());
            }
        }
    }

    /// Updates all customers, before a change of their refill rates.
    pub(super) fn advance_all(&mut self) {
        let keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.iter().for_each(|key| self.advance(key));
    }

    /// Whether a call may start now. Larger requests may use more of the saved calls; reports that decide
    /// nothing leave a reserve.
    pub(super) fn may_start_call(&self, asks: f64) -> bool {
        let left = CALLS_RESERVED * (1.0 - asks / self.settings.max_units.max(1.0)).clamp(0.0, 1.0);
        self.calls.len() < CALLS_MAX && self.now as f64 >= self.next_call + left * self.call_interval
    }

    /// Reports a customer's pending units if they are due or `asks` needs a decision, and a call may start.
    /// Returns the weight of each unit at the counter, 0 without a call.
    pub(super) fn report_use(&mut self, key: &Key, asks: f64, actions: &mut Vec<Action>) -> f64 {
        self.advance(key);
        let window = self.quota_window(key.0);
        let Some(c) = self.customers.get(key) else { return 0.0 };
        let waited = (self.now - c.pending_since) as f64 > REPORT_DELAY * window;
        let eats = c.pending > REPORT_SHARE * c.level.max(0.0);
        let name = counter_name(key, c.slot);
        let due = asks > 0.0 || waited || eats;
        if !due || !self.may_start_call(asks) || self.calls.contains_key(&name) {
            return 0.0;
        }
        let Some(c) = self.customers.get_mut(key) else { return 0.0 };
        // Reported units are weighted for dropped ones, so that totals are right on average.
        let weight = (1.0 + self.dropped_units / self.reported_units.max(1e-9)).clamp(1.0, UNIT_WEIGHT_MAX);
        self.reported_units += c.pending.max(0.0);
        let (slot, units, amount) = (c.slot, c.pending, c.pending * weight);
        (c.in_transit, c.pending, c.open_calls) = (c.in_transit + amount, 0.0, c.open_calls + 1);
        self.unreported.remove(key);
        let call = Call { key: key.clone(), slot, amount, units, sent: self.now, grant: None };
        self.start_call(name, call, (2.0 * window) as Micros, actions);
        weight
    }

    /// Starts a counter call and advances the call schedule.
    fn start_call(&mut self, name: CounterName, call: Call, keep: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Count { name: name.clone(), amount: call.amount, keep });
        self.calls.insert(name, call);
        let saved = self.now as f64 - CALLS_SAVED * self.call_interval;
        self.next_call = self.next_call.max(saved) + self.call_interval;
    }

    /// Requests a grant from the ceiling's shared pool if this gateway's own share is too small.
    pub(super) fn request_grant(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id).filter(|r| r.attempts.is_empty() && !r.granted) else { return };
        let (len, _) = ceiling_pool(self.plan(&r.key), POOL_SHARE);
        let Some(c) = self.customers.get(&r.key) else { return };
        let slot = (self.now + c.slot_offset) / len;
        let short =
            self.plan(&r.key).ceiling_rate > 0.0 && c.ceiling_level < r.units && c.pool_exhausted != slot;
        let common = pool_share(self.settings.counter, c.gateways) > 0.0 && !r.key.1 .0.is_empty();
        // Slots of the previous plan may have been granted too: wait until all clocks, less than a slot
        // apart, are past the change and one more slot.
        let common = common && slot > (c.plan_changed_at + c.slot_offset) / len + 1;
        if !short || !common || !self.may_start_call(r.units) {
            return;
        }
        let name = CounterName(format!("^{}", counter_name(&r.key, slot).0));
        if !self.calls.contains_key(&name) {
            let (key, amount, grant) = (r.key.clone(), r.units, Some(id.clone()));
            let call = Call { key, slot, amount, units: amount, sent: self.now, grant };
            self.start_call(name, call, 2 * len, actions);
        }
    }

    /// Handles the answer to a grant. Only an on-time total within the pool grants; units once added stay
    /// taken, also if the request has ended.
    fn on_grant(&mut self, id: &RequestId, slot: u64, reply: CounterOutcome, actions: &mut Vec<Action>) {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return };
        let (len, most) = ceiling_pool(self.plan(&key), POOL_SHARE);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let current = (self.now + c.slot_offset) / len == slot;
        match reply {
            CounterOutcome::Total(total) if total <= most && current => {
                self.requests.entry(id.clone()).and_modify(|r| r.granted = r.attempts.is_empty());
            }
            CounterOutcome::Total(_) => c.pool_exhausted = slot,
            _ => {}
        }
        self.release_held(actions);
    }

    /// Adapts the call interval: backs off after failed or late calls, returns quickly to the last good
    /// interval after an outage, and shortens while answers are quick.
    pub(super) fn adjust_call_interval(&mut self, ok: bool, took: Micros) {
        let part = took as f64 / self.settings.counter_timeout.max(1) as f64;
        let good = ok && part < CALL_LATE;
        if !good {
            self.call_interval =
                (self.call_interval * CALL_BACKOFF).min(CALL_INTERVAL_CAP.max(2.0 * self.good_call_interval));
            if !self.last_call_failed {
                self.good_call_interval = self.call_interval;
            }
        } else if self.call_interval > self.good_call_interval {
            self.call_interval = (self.call_interval * CALL_RECOVERY).max(self.good_call_interval);
        } else if part < CALL_QUICK {
            self.call_interval = (self.call_interval * CALL_SPEEDUP).max(CALL_INTERVAL_MIN);
            self.good_call_interval = self.call_interval;
        }
        self.last_call_failed = !good;
    }

    pub(super) fn on_counter(&mut self, name: CounterName, reply: CounterOutcome, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&name) else { return };
        let (key, ok) = (call.key, matches!(reply, CounterOutcome::Total(n) if n.is_finite()));
        self.adjust_call_interval(ok, self.now - call.sent);
        if let Some(id) = call.grant {
            return self.on_grant(&id, call.slot, reply, actions);
        }
        self.advance(&key);
        let (window, burst, rate) = (self.quota_window(key.0), self.plan(&key).burst, self.plan(&key).rate);
        let count_floor = if self.settings.units_estimated { -self.settings.max_units } else { 0.0 };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.in_transit -= call.amount;
        c.open_calls = c.open_calls.saturating_sub(1);
        let age = c.slot.wrapping_sub(call.slot);
        let refused = reply == CounterOutcome::Refused;
        let mut lost = if refused { call.units } else { 0.0 };
        if !refused && age <= 1 {
            // A late call is assumed to have landed. If it did not, a later total below our own sum shows
            // it, and the units are added again.
            let seen_before = c.previous.read;
            let s = if age == 0 { &mut c.current } else { &mut c.previous };
            s.mine += call.amount;
            if let (CounterOutcome::Total(total), true) = (reply, ok) {
                let others = total - s.mine;
                if others < -1e-3 * (1.0 + s.mine) {
                    // The counter lost our units: report them again.
                    lost = -others;
                    s.mine += others;
                }
                let news = (others - s.others).max(0.0);
                s.others += news;
                let mut dt = secs(self.now - c.read_at).max(1e-3);
                c.level = if c.total_known { c.level + c.forecast - news } else { burst };
                if age == 0 && !(c.total_known && (s.read || seen_before)) {
                    // First read of this slot: the level at its start is assumed to be `FIRST_READ_LEVEL`.
                    let span = secs((self.now + c.slot_offset) % window as u64);
                    let used = s.others + s.mine - c.prepaid;
                    c.level = c.level.min(FIRST_READ_LEVEL * burst + rate * span - used);
                    dt = dt.min(span).max(1e-3);
                }
                s.read = true;
                let weight = 1.0 - (-dt * 1e6 / window).exp();
                c.others_rate += (news / dt - c.others_rate) * weight;
                c.level = c.level.max(count_floor).min(burst);
                (c.total_known, c.forecast, c.read_at) = (true, 0.0, self.now);
            }
        }
        c.pending += lost;
        if c.pending != 0.0 {
            self.unreported.insert(key.clone());
        }
        if c.open_calls == 0 {
            for id in std::mem::take(&mut c.waiting) {
                self.admit(&id, actions);
            }
        }
        self.release_held(actions);
    }

    /// Drops idle customers without a penalty whose ceiling share is full, and pending units that could not
    /// be reported within their window.
    pub(super) fn age_out(&mut self) {
        let (now, windows) =
            (self.now, (0..self.settings.plans.len()).map(|i| self.quota_window(i)).collect::<Vec<f64>>());
        (self.reported_units, self.dropped_units) = (self.reported_units * 0.9, self.dropped_units * 0.9);
        self.customers.retain(|key, c| {
            let (p, window) = (&self.settings.plans[key.0], windows[key.0]);
            let past = c.pending != 0.0 && (now - c.pending_since) as f64 > window;
            self.dropped_units += if past { c.pending.max(0.0) } else { 0.0 };
            c.pending = if past { 0.0 } else { c.pending };
            let refill = (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate.max(1e-9) * 1e6;
            let idle = if p.ceiling_rate > 0.0 { refill } else { 0.0 }.max(IDLE_WINDOWS * window);
            let busy =
                c.open_requests > 0.0 || c.open_calls > 0 || now <= c.penalty_until || c.pending != 0.0;
            let keep = busy || (now - c.last_seen) as f64 <= idle;
            if past || !keep {
                self.unreported.remove(key);
            }
            keep
        });
    }
}
