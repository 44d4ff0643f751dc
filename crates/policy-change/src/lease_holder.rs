//! The gateway's side of a rollout: holds the lease and determines the version for new requests, if any.
//!
//! Nothing is carried over from an earlier process: a new gateway serves nothing before its first reply.

use crate::rollout::{Change, LeaseConfig, LeaseReply, LeaseRequest, Micros, Mode, Version};

/// Lease state of one gateway process.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    gateway: String,
    incarnation: u64,
    mode: Mode,
    lease_config: LeaseConfig,
    last: Option<LeaseReply>,
    /// Versions that are validated and ready for use; at most two.
    applied: Vec<Version>,
    rejected: Option<u64>,
    /// Time of the first request that reported readiness for a change whose outcome is unknown.
    ready_since: Option<Micros>,
    /// The clock differed too much from the keepers' at the last reply. Until it agrees again, requests only
    /// probe the time, so that no change waits for an unused lease.
    clock_out_of_range: bool,
}

impl LeaseHolder {
    /// Creates the state of a gateway that has had no reply.
    pub fn new(gateway: &str, incarnation: u64, mode: Mode, lease_config: LeaseConfig) -> LeaseHolder {
        let gateway = gateway.to_owned();
        let (last, applied, rejected, ready_since, clock_out_of_range) =
            (None, Vec::new(), None, None, false);
        LeaseHolder {
            gateway,
            incarnation,
            mode,
            lease_config,
            last,
            applied,
            rejected,
            ready_since,
            clock_out_of_range,
        }
    }

    /// Starts a new incarnation within the same process. Replies are discarded, applied versions are not.
    pub fn restart(&mut self, now: Micros) {
        let incarnation = now.max(self.incarnation + 1);
        let applied = std::mem::take(&mut self.applied);
        *self = LeaseHolder {
            applied,
            ..LeaseHolder::new(&self.gateway, incarnation, self.mode, self.lease_config)
        };
    }

    /// Returns the next lease request.
    pub fn next_request(&mut self, now: Micros) -> LeaseRequest {
        let proposed = self.proposed();
        let ready = proposed.filter(|version| !self.clock_out_of_range && self.applied.contains(version));
        let ready = ready.map(|version| version.number);
        if ready.is_some() {
            self.ready_since.get_or_insert(now);
        }
        let (gateway, incarnation, mode, rejected) =
            (self.gateway.clone(), self.incarnation, self.mode, self.rejected);
        LeaseRequest {
            gateway,
            incarnation,
            sent_at: now,
            mode,
            ready,
            rejected,
            probe_only: self.clock_out_of_range,
        }
    }

    fn proposed(&self) -> Option<Version> {
        self.last?.change.map(|change| change.version())
    }

    /// Handles a reply. Replies to requests older than the last answered one are ignored.
    ///
    /// # Errors
    /// The keepers' clock differs by more than the allowed error, so the reply is not used. Returns the
    /// minimum difference in µs, positive if the keepers are ahead.
    pub fn handle_reply(&mut self, now: Micros, answer: LeaseReply) -> Result<(), i64> {
        let error = self.lease_config.clock_error;
        // The keepers' timestamp lies between sending the request and now.
        self.clock_out_of_range = true;
        if answer.keeper_time > now.saturating_add(error) {
            return Err((answer.keeper_time - now) as i64);
        }
        if answer.keeper_time.saturating_add(error) < answer.sent_at {
            return Err(-((answer.sent_at - answer.keeper_time) as i64));
        }
        self.clock_out_of_range = false;
        if answer.leased {
            self.accept_reply(answer);
        }
        Ok(())
    }

    fn accept_reply(&mut self, answer: LeaseReply) {
        if self.last.is_some_and(|last| answer.sent_at < last.sent_at) {
            return;
        }
        // An older request may have been answered before the change was proposed.
        if answer.change.is_none() && self.ready_since.is_some_and(|at| answer.sent_at >= at) {
            self.ready_since = None;
        }
        self.last = Some(answer);
    }

    /// Versions to fetch, validate and apply.
    pub fn missing_versions(&self) -> Vec<Version> {
        let Some(last) = self.last else { return Vec::new() };
        let named = [Some(last.in_force), self.proposed()];
        named.into_iter().flatten().filter(|version| !self.applied.contains(version)).collect()
    }

    /// Records whether a fetched version can be applied.
    pub fn record_applied(&mut self, version: Version, can: bool) {
        if !can {
            self.rejected = Some(version.number);
            return;
        }
        self.applied.retain(|known| *known != version);
        self.applied.push(version);
        // The version in force and the next one; older contents only return under a new number.
        if self.applied.len() > 2 {
            self.applied.remove(0);
        }
    }

    /// Time of the next possible change of `version`, if no reply arrives.
    pub fn next_change_at(&self, now: Micros) -> Micros {
        let Some(last) = self.last else { return Micros::MAX };
        let lease = last.sent_at.saturating_add(self.lease_config.lease);
        let from = if let Some(Change::Decided(_, from)) = last.change { from } else { Micros::MAX };
        [lease, from].into_iter().filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// Last reply, for status output.
    pub fn last(&self) -> Option<LeaseReply> {
        self.last
    }

    /// Version for requests that start now; `None` if none may start.
    pub fn version(&self, now: Micros) -> Option<Version> {
        let last = self.last?;
        let leased = now < last.sent_at + self.lease_config.lease;
        // In mode `serve`, the lease binds while a change's outcome is unknown.
        let serves_without_lease =
            self.mode == Mode::Serve && last.change.is_none() && self.ready_since.is_none();
        if !leased && !serves_without_lease {
            return None;
        }
        let version = match last.change {
            Some(Change::Decided(version, from)) if now >= from => version,
            _ => last.in_force,
        };
        Some(version).filter(|version| self.applied.contains(version))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rollout::tests::{version, LEASE_CONFIG, S};

    fn holder(mode: Mode) -> LeaseHolder {
        let mut holder = LeaseHolder::new("g3", 1, mode, LEASE_CONFIG);
        assert_eq!(holder.version(0), None, "nothing begins before an answer");
        holder.accept_reply(LeaseReply {
            sent_at: S,
            keeper_time: S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(holder.version(S), None, "nor before the version is applied");
        holder.record_applied(version(1), true);
        holder
    }

    /// A reply while a change is proposed.
    fn proposed(sent_at: Micros) -> LeaseReply {
        LeaseReply {
            sent_at,
            keeper_time: sent_at,
            in_force: version(1),
            change: Some(Change::Proposed(version(2))),
            leased: true,
        }
    }

    fn number(holder: &LeaseHolder, now: Micros) -> Option<u64> {
        holder.version(now).map(|version| version.number)
    }

    #[test]
    fn behavior_without_a_lease_depends_on_the_mode() {
        let (stops, serves) = (holder(Mode::Stop), holder(Mode::Serve));
        assert_eq!((number(&stops, 3 * S - 1), number(&stops, 3 * S)), (Some(1), None));
        assert_eq!((number(&serves, 3 * S - 1), number(&serves, 30 * S)), (Some(1), Some(1)));
    }

    #[test]
    fn a_decided_change_takes_effect_at_its_time() {
        let mut holder = holder(Mode::Stop);
        holder.accept_reply(proposed(2 * S));
        assert_eq!((holder.missing_versions(), holder.next_request(2 * S).ready), (vec![version(2)], None));
        holder.record_applied(version(2), true);
        assert_eq!(holder.next_request(2 * S).ready, Some(2));
        let change = Some(Change::Decided(version(2), 4 * S));
        holder.accept_reply(LeaseReply {
            sent_at: 3 * S,
            keeper_time: 3 * S,
            in_force: version(1),
            change,
            leased: true,
        });
        assert_eq!((number(&holder, 4 * S - 1), number(&holder, 4 * S)), (Some(1), Some(2)));
        assert_eq!(number(&holder, 5 * S), None, "its lease is over");
    }

    #[test]
    fn a_clock_out_of_range_only_probes_until_it_agrees_again() {
        let mut holder = LeaseHolder::new("g3", 1, Mode::Stop, LEASE_CONFIG);
        holder.record_applied(version(1), true);
        let answer = |sent_at, keeper_time, leased| LeaseReply {
            sent_at,
            keeper_time,
            in_force: version(1),
            change: None,
            leased,
        };
        assert!(!holder.next_request(S).probe_only);
        assert!(holder.handle_reply(S, answer(S, 3 * S, true)).is_err(), "the keepers are two seconds ahead");
        let probe = holder.next_request(2 * S);
        assert!(probe.probe_only && probe.ready.is_none());
        assert_eq!(holder.handle_reply(2 * S, answer(2 * S, 2 * S, false)), Ok(()));
        assert_eq!(number(&holder, 2 * S), None, "no lease came with it");
        assert!(!holder.next_request(2 * S).probe_only);
        assert_eq!(holder.handle_reply(3 * S, answer(3 * S, 3 * S, true)), Ok(()));
        // A late reply to the probe grants nothing.
        assert_eq!(holder.handle_reply(4 * S, answer(4 * S, 4 * S, false)), Ok(()));
        assert_eq!((number(&holder, 5 * S - 1), number(&holder, 5 * S)), (Some(1), None));
    }

    #[test]
    fn mode_serve_keeps_to_its_lease_while_a_change_is_pending() {
        let mut holder = holder(Mode::Serve);
        holder.accept_reply(proposed(2 * S));
        assert_eq!((number(&holder, 4 * S - 1), number(&holder, 4 * S)), (Some(1), None));
        holder.accept_reply(LeaseReply {
            sent_at: 5 * S,
            keeper_time: 5 * S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(number(&holder, 50 * S), Some(1));
    }

    #[test]
    fn a_reply_to_a_request_before_readiness_does_not_clear_it() {
        let mut holder = holder(Mode::Serve);
        holder.accept_reply(proposed(2 * S));
        holder.record_applied(version(2), true);
        assert_eq!(holder.next_request(4 * S).ready, Some(2));
        // Sent before readiness was reported, and delayed.
        holder.accept_reply(LeaseReply {
            sent_at: 3 * S,
            keeper_time: 3 * S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(number(&holder, 6 * S), None);
        holder.accept_reply(LeaseReply {
            sent_at: 4 * S,
            keeper_time: 4 * S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(number(&holder, 60 * S), Some(1));
    }

    #[test]
    fn a_rejected_version_is_reported_and_older_replies_are_ignored() {
        let mut holder = holder(Mode::Stop);
        holder.accept_reply(proposed(3 * S));
        holder.record_applied(version(2), false);
        assert_eq!(holder.next_request(3 * S).rejected, Some(2));
        holder.accept_reply(LeaseReply {
            sent_at: 2 * S,
            keeper_time: 2 * S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(holder.next_request(3 * S).rejected, Some(2));
        assert!(holder.proposed().is_some());
    }

    #[test]
    fn a_reply_from_a_clock_too_far_away_is_an_error() {
        let mut holder = LeaseHolder::new("g3", 1, Mode::Stop, LEASE_CONFIG);
        holder.record_applied(version(1), true);
        let answer = |keeper_time| LeaseReply {
            sent_at: 5 * S,
            keeper_time,
            in_force: version(1),
            change: None,
            leased: true,
        };
        assert_eq!(holder.handle_reply(6 * S, answer(6 * S + S / 5)), Err((S / 5) as i64));
        assert_eq!(holder.handle_reply(6 * S, answer(5 * S - S / 5)), Err(-((S / 5) as i64)));
        assert_eq!(number(&holder, 6 * S), None);
        assert_eq!(holder.handle_reply(6 * S, answer(6 * S + S / 10)), Ok(()));
        assert_eq!(number(&holder, 6 * S), Some(1));
    }

    #[test]
    fn the_next_possible_change_of_the_version_is_known() {
        let mut holder = holder(Mode::Stop);
        assert_eq!(holder.next_change_at(S), 3 * S, "the lease");
        let change = Some(Change::Decided(version(2), 5 * S / 2));
        holder.accept_reply(LeaseReply {
            sent_at: 2 * S,
            keeper_time: 2 * S,
            in_force: version(1),
            change,
            leased: true,
        });
        assert_eq!(holder.next_change_at(2 * S), 5 * S / 2, "the instant");
        assert_eq!((holder.next_change_at(5 * S / 2), holder.next_change_at(4 * S)), (4 * S, Micros::MAX));
    }

    #[test]
    fn a_restart_is_a_later_incarnation_without_a_lease() {
        let mut holder = holder(Mode::Serve);
        holder.restart(S);
        assert_eq!((number(&holder, S), holder.last()), (None, None));
        assert_eq!(holder.next_request(S).incarnation, S);
        holder.restart(S / 2);
        assert_eq!(holder.next_request(S).incarnation, S + 1, "later, whatever the clock says");
        holder.accept_reply(LeaseReply {
            sent_at: S,
            keeper_time: S,
            in_force: version(1),
            change: None,
            leased: true,
        });
        assert_eq!(number(&holder, S), Some(1), "what it had applied it still has");
    }
}
