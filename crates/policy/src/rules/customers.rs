//! Customers: their quotas, the box, ceilings, and what the counter tells of all gateways together.

use super::*;

impl Gatekeeper {
    pub(super) fn plan(&self, key: &Key) -> &Plan {
        &self.set.plans[key.0]
    }

    pub(super) fn window(&self, plan: usize) -> f64 {
        let p = &self.set.plans[plan];
        let span = if p.rate > 0.0 { p.burst / p.rate * 1e6 } else { OPEN_WINDOW };
        span.clamp(1e5, WINDOW_MAX)
    }

    /// Finds or makes the customer's entry. A full table gives strangers one strict entry for each plan, so
    /// that a scan of one-time names never evicts those who are boxed.
    pub(super) fn enter(&mut self, plan: usize, customer: CustomerId, set: (u32, u32)) -> Key {
        let mut key = (plan, customer);
        if self.changed > 0 && !self.customers.contains_key(&key) {
            self.move_here(&key);
        }
        if !self.customers.contains_key(&key) && self.customers.len() >= TABLE_MAX {
            key.1 = CustomerId(String::new());
        }
        let p = &self.set.plans[plan];
        let n = f64::from(set.0.max(1));
        let c = self.customers.entry(key.clone()).or_insert_with(|| Customer {
            level: p.burst / n,
            others_rate: p.rate * (1.0 - 1.0 / n),
            // Whatever this gateway's former life drew, it cannot have drawn since it started: the local
            // share is taken as spent at the start, however late the customer shows up.
            // Nor is it known what others drew of a part that was theirs before this view.
            ceiling_at: self.started.max(self.viewed),
            first: set.1,
            changed: self.changed,
            ..Customer::new(&key.1, n, self.now)
        });
        c.gateways = c.gateways.max(n);
        c.seen = self.now;
        self.advance(&key);
        key
    }

    /// A customer that a policy gives another plan takes along what is known of it: one store counts under both.
    fn move_here(&mut self, key: &Key) {
        let of = |plan: usize| (plan, key.1.clone());
        let Some(old) = (0..self.set.plans.len()).map(of).find(|old| self.customers.contains_key(old)) else {
            return;
        };
        self.advance(&old);
        let Some(customer) = self.customers.remove(&old) else { return };
        self.customers.insert(key.clone(), customer);
        if self.unpushed.remove(&old) {
            self.unpushed.insert(key.clone());
        }
        self.requests.values_mut().filter(|r| r.key == old).for_each(|r| r.key = key.clone());
        self.calls.values_mut().filter(|call| call.key == old).for_each(|call| call.key = key.clone());
        self.fit(key);
    }

    /// Fits what is known of a customer to its plan, which was another until now.
    pub(super) fn fit(&mut self, key: &Key) {
        let (now, window) = (self.now, self.window(key.0) as Micros);
        self.customers.entry(key.clone()).and_modify(|c| {
            c.boxed_until = c.boxed_until.min(now + window);
            c.changed = now;
        });
        self.advance(key);
    }

    /// How many gateways a customer's even parts are for, by what this one may use: for its ceiling, and for
    /// its quota, which is no one's to keep.
    pub(super) fn sharers(&self, c: &Customer) -> (f64, f64) {
        let multiple = |view: &LeaseView| view.share_multiple(self.now, c.first, c.gateways as u32);
        let multiple = self.view.as_ref().map_or(1.0, multiple);
        (c.gateways / multiple, c.gateways / multiple.max(1.0))
    }

    /// Brings a customer's slots and stores to the present.
    pub(super) fn advance(&mut self, key: &Key) {
        let (now, window) = (self.now, self.window(key.0));
        let Some((sharers, quota_sharers)) = self.customers.get(key).map(|c| self.sharers(c)) else { return };
        let p = &self.set.plans[key.0];
        let Some(c) = self.customers.get_mut(key) else { return };
        let slot = (now + c.shift) / window as u64;
        if slot != c.slot {
            c.prev = if slot == c.slot + 1 { c.cur } else { Slot::default() };
            // Units to give back belong to the slot that they were taken from.
            (c.cur, c.slot, c.pending, c.predicted) = (Slot::default(), slot, c.pending.max(0.0), 0.0);
        }
        let dt = secs(now - c.at);
        let others = c.others_rate.min(p.rate * (1.0 - OWN_LEAST / quota_sharers));
        // Past a window of silence nothing more is known than a window's use.
        c.predicted = (c.predicted + others * dt).min(others * window / 1e6);
        c.level = (c.level + (p.rate - others) * dt).min(p.burst);
        c.at = now;
        let split = 1.0 - common_part(self.set.counter, c.gateways);
        let depth = (p.ceiling_burst * split + p.ceiling_slack * SLACK_USED) / sharers;
        let fills = self.succeeded.unwrap_or(now).saturating_sub(c.ceiling_at);
        c.ceiling = (c.ceiling + p.ceiling_rate * split / sharers * secs(fills)).min(depth);
        c.ceiling_at = now;
    }

    /// Units of the last window, all gateways together, as far as known.
    pub(super) fn count(&self, c: &Customer, window: f64) -> f64 {
        let left = 1.0 - ((self.now + c.shift) % window as u64) as f64 / window;
        let last = (c.prev.mine + c.prev.others) * left;
        c.cur.mine + c.cur.others + last + c.pending + c.flying + c.predicted - c.prepaid
    }

    /// The design's ordinary path: count against the quota, the box, the open cap. `Some` is retry advice.
    pub(super) fn beyond_quota(&mut self, key: &Key, units: f64, prepaid: f64) -> Option<Micros> {
        let (p, window) = (self.plan(key).clone(), self.window(key.0));
        let (now, longest) = (self.now, self.set.limits.max_retry_after);
        let dice = self.rng.f64();
        let count = self.count(self.customers.get(key)?, window) - prepaid + units;
        let (_, sharers) = self.sharers(self.customers.get(key)?);
        let c = self.customers.get_mut(key)?;
        // Soft plans earn more beyond the quota than that costs: exempt.
        if p.over_earns > p.over_cost {
            return None;
        }
        if p.open > 0.0 {
            let (mine, all) = (c.cur.mine + c.prev.mine + c.pending, c.cur.others + c.prev.others);
            let share = if c.known && mine + all > 0.0 { mine / (mine + all) } else { 1.0 / sharers };
            if c.open >= (p.open * share).floor().max(1.0) {
                return Some(longest.min(window as Micros / 4));
            }
        }
        if p.rate <= 0.0 {
            return None;
        }
        let part = p.burst / sharers;
        // Until a total is read the others are taken to use as much as this gateway.
        if count > if c.known { p.burst } else { part.max(units) } {
            c.boxed_until = now + window as Micros;
        }
        if now >= c.boxed_until || c.level >= units {
            return None;
        }
        // Where a part of the burst is less than one request, and no total could be had, what has gathered is
        // rounded at random, so that the expected use stays the share.
        if part < units && dice * units < c.level && !(c.known && now <= c.read_at + FRESH) {
            return None;
        }
        let gain = (p.rate - c.others_rate).max(p.rate / sharers / 2.0);
        Some((((units - c.level) / gain * 1e6) as Micros).min(longest))
    }

    /// Whether a total could turn the decision: the others' use since the last one, or none read yet.
    pub(super) fn unsure(&self, key: &Key, units: f64) -> bool {
        let (Some(c), p) = (self.customers.get(key), self.plan(key)) else { return false };
        let spread = c.predicted * UNSURE.0 + UNSURE.1 * self.set.most_units;
        let near = c.level + c.predicted >= units && c.level < units + spread;
        let open = if c.known { near && self.now > c.read_at + FRESH } else { c.level < units };
        open && self.set.counter && p.rate > 0.0 && p.over_earns <= p.over_cost && !key.1 .0.is_empty()
    }

    /// Takes units from the store, and notes those that the counter has yet to hear of.
    pub(super) fn charge(&mut self, key: &Key, units: f64, unheard: f64) {
        let (now, p) = (self.now, &self.set.plans[key.0]);
        let Some(c) = self.customers.get_mut(key) else { return };
        c.level -= units;
        if unheard != 0.0 {
            c.pending_since = if c.pending == 0.0 { now } else { c.pending_since };
            c.pending += unheard;
            if self.set.counter && (p.rate > 0.0 || p.open > 0.0) && !key.1 .0.is_empty() {
                self.unpushed.insert(key.clone());
            }
        }
    }

    /// Brings all of them to the present, before what they fill by becomes another.
    pub(super) fn advance_all(&mut self) {
        let keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.iter().for_each(|key| self.advance(key));
    }

    /// Whether the pace allows a call now: one that decides on the largest request first, then, from what is
    /// saved up, on smaller ones, and at last one that decides nothing.
    pub(super) fn may_call(&self, asks: f64) -> bool {
        let left = CALL_SAVED.1 * (1.0 - asks / self.set.most_units.max(1.0)).clamp(0.0, 1.0);
        self.calls.len() < CALLS_MAX && self.now as f64 >= self.call_after + left * self.call_gap
    }

    /// Pushes a customer's local units when they are due, or a decision on some `asks`, if the pace allows.
    /// Gives what each unit then stands for at the counter, 0 without a call.
    pub(super) fn push(&mut self, key: &Key, asks: f64, out: &mut Vec<Action>) -> f64 {
        self.advance(key);
        let window = self.window(key.0);
        let Some(c) = self.customers.get(key) else { return 0.0 };
        let waited = (self.now - c.pending_since) as f64 > PUSH_QUIET * window;
        let eats = c.pending > PUSH_SHARE * c.level.max(0.0);
        let name = counter_name(key, c.slot);
        let due = asks > 0.0 || waited || eats;
        if !due || !self.may_call(asks) || self.calls.contains_key(&name) {
            return 0.0;
        }
        let Some(c) = self.customers.get_mut(key) else { return 0.0 };
        // What is counted stands for what no call could carry as well, so that totals are right on the mean.
        let stands_for = (1.0 + self.uncounted / self.counted.max(1e-9)).clamp(1.0, STANDS_FOR);
        self.counted += c.pending.max(0.0);
        let (slot, units, amount) = (c.slot, c.pending, c.pending * stands_for);
        (c.flying, c.pending, c.calls_out) = (c.flying + amount, 0.0, c.calls_out + 1);
        self.unpushed.remove(key);
        let call = Call { key: key.clone(), slot, amount, units, sent: self.now, grant: None };
        self.call(name, call, (2.0 * window) as Micros, out);
        stands_for
    }

    /// Makes a call to the counter, and takes it off the pace.
    pub(super) fn call(&mut self, name: CounterName, call: Call, keep: Micros, out: &mut Vec<Action>) {
        out.push(Action::Count { name: name.clone(), amount: call.amount, keep });
        self.calls.insert(name, call);
        let saved = self.now as f64 - CALL_SAVED.0 * self.call_gap;
        self.call_after = self.call_after.max(saved) + self.call_gap;
    }

    /// Asks the counter for a request's units from the common part of its ceiling where this gateway's own
    /// part is short: of many, an even part is less than what the busiest need, or than one request.
    pub(super) fn ask_ceiling(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id).filter(|r| r.attempts.is_empty() && !r.granted) else { return };
        let (Some(c), (len, _)) = (self.customers.get(&r.key), pool(self.plan(&r.key), POOL.0)) else {
            return;
        };
        let slot = (self.now + c.shift) / len;
        let short = self.plan(&r.key).ceiling_rate > 0.0 && c.ceiling < r.units && c.pool_empty != slot;
        let common = common_part(self.set.counter, c.gateways) > 0.0 && !r.key.1 .0.is_empty();
        // Slots of a plan from before were given out as well: until clocks less than a slot apart have all
        // passed the change and a slot more, both together could be beyond `a * (R t + D)`.
        let common = common && slot > (c.changed + c.shift) / len + 1;
        if !short || !common || !self.may_call(r.units) {
            return;
        }
        let name = CounterName(format!("^{}", counter_name(&r.key, slot).0));
        if !self.calls.contains_key(&name) {
            let (key, amount, grant) = (r.key.clone(), r.units, Some(id.clone()));
            let call = Call { key, slot, amount, units: amount, sent: self.now, grant };
            self.call(name, call, 2 * len, out);
        }
    }

    /// Granted only where the total says that the slot's units are not given out. A late or lost answer
    /// grants nothing, nor does one to a request that has gone on or ended: units once added stay taken.
    pub(super) fn on_grant(
        &mut self,
        id: &RequestId,
        slot: u64,
        outcome: CounterOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return };
        let (len, most) = pool(self.plan(&key), POOL.0);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let current = (self.now + c.shift) / len == slot;
        match outcome {
            CounterOutcome::Total(total) if total <= most && current => {
                self.requests.entry(id.clone()).and_modify(|r| r.granted = r.attempts.is_empty());
            }
            CounterOutcome::Total(_) => c.pool_empty = slot,
            _ => {}
        }
        self.release_held(out);
    }

    /// The pace of calls is what all gateways together find to succeed: slower after each failure or late
    /// answer, quickly back to the pace that was good before an outage, faster while answers are quick.
    pub(super) fn pace(&mut self, ok: bool, took: Micros) {
        let part = took as f64 / self.set.counter_timeout.max(1) as f64;
        let good = ok && part < CALL_QUICK.1;
        if !good {
            self.call_gap = (self.call_gap * CALL_GAP.0).min(CALL_GAP.3.max(2.0 * self.call_gap_good));
            if !self.call_failed {
                self.call_gap_good = self.call_gap;
            }
        } else if self.call_gap > self.call_gap_good {
            self.call_gap = (self.call_gap * CALL_GAP.1).max(self.call_gap_good);
        } else if part < CALL_QUICK.0 {
            self.call_gap = (self.call_gap * CALL_GAP.2).max(CALL_LEAST);
            self.call_gap_good = self.call_gap;
        }
        self.call_failed = !good;
    }

    pub(super) fn on_counter(&mut self, name: CounterName, outcome: CounterOutcome, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&name) else { return };
        let (key, ok) = (call.key, matches!(outcome, CounterOutcome::Total(n) if n.is_finite()));
        self.pace(ok, self.now - call.sent);
        if let Some(id) = call.grant {
            return self.on_grant(&id, call.slot, outcome, out);
        }
        self.advance(&key);
        let (window, burst, rate) = (self.window(key.0), self.plan(&key).burst, self.plan(&key).rate);
        let count_floor = if self.set.settles { -self.set.most_units } else { 0.0 };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.flying -= call.amount;
        c.calls_out = c.calls_out.saturating_sub(1);
        let age = c.slot.wrapping_sub(call.slot);
        let refused = outcome == CounterOutcome::Refused;
        let mut lost = if refused { call.units } else { 0.0 };
        if !refused && age <= 1 {
            // A late call may have landed. Taking it as landed never counts a unit twice; if it did not land,
            // a total below our own adds gives it away later, and it is added again then.
            let seen_before = c.prev.read;
            let s = if age == 0 { &mut c.cur } else { &mut c.prev };
            s.mine += call.amount;
            if let (CounterOutcome::Total(total), true) = (outcome, ok) {
                let others = total - s.mine;
                if others < -1e-3 * (1.0 + s.mine) {
                    // The counter came back empty (or a late add never landed): add our part again.
                    lost = -others;
                    s.mine += others;
                }
                let news = (others - s.others).max(0.0);
                s.others += news;
                let mut dt = secs(self.now - c.read_at).max(1e-3);
                c.level = if c.known { c.level + c.predicted - news } else { burst };
                if age == 0 && !(c.known && (s.read || seen_before)) {
                    // The first look at this slot: the store is taken to have been half full at its start.
                    let span = secs((self.now + c.shift) % window as u64);
                    let used = s.others + s.mine - c.prepaid;
                    c.level = c.level.min(START_STORE * burst + rate * span - used);
                    dt = dt.min(span).max(1e-3);
                }
                s.read = true;
                let weight = 1.0 - (-dt * 1e6 / window).exp();
                c.others_rate += (news / dt - c.others_rate) * weight;
                c.level = c.level.max(count_floor).min(burst);
                (c.known, c.predicted, c.read_at) = (true, 0.0, self.now);
            }
        }
        c.pending += lost;
        if c.pending != 0.0 {
            self.unpushed.insert(key.clone());
        }
        if c.calls_out == 0 {
            for id in std::mem::take(&mut c.waiting) {
                self.admit(&id, out);
            }
        }
        self.release_held(out);
    }

    /// Forgets customers that are idle, out of the box and whose ceiling share is full again, and units that
    /// no call could carry within their window.
    pub(super) fn age_out(&mut self) {
        let (now, windows) =
            (self.now, (0..self.set.plans.len()).map(|i| self.window(i)).collect::<Vec<f64>>());
        (self.counted, self.uncounted) = (self.counted * 0.9, self.uncounted * 0.9);
        self.customers.retain(|key, c| {
            let (p, window) = (&self.set.plans[key.0], windows[key.0]);
            let past = c.pending != 0.0 && (now - c.pending_since) as f64 > window;
            self.uncounted += if past { c.pending.max(0.0) } else { 0.0 };
            c.pending = if past { 0.0 } else { c.pending };
            let refill = (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate.max(1e-9) * 1e6;
            let idle = if p.ceiling_rate > 0.0 { refill } else { 0.0 }.max(IDLE_WINDOWS * window);
            let busy = c.open > 0.0 || c.calls_out > 0 || now <= c.boxed_until || c.pending != 0.0;
            let keep = busy || (now - c.seen) as f64 <= idle;
            if past || !keep {
                self.unpushed.remove(key);
            }
            keep
        });
    }
}
