//! Site failure detection by explicit sequences of evidence.

use hingestage_failover::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// Monitor of three sites with four workers each: 0 to 3 at a, 4 to 7 at b, 8 to 11 at c.
struct Fixture {
    monitor: SiteMonitor,
    now: Micros,
    view: View,
}

fn fixture() -> Fixture {
    let mut monitor = SiteMonitor::new(MonitorConfig::default(), &[]);
    for id in 0..12 {
        monitor.upsert_worker(id, ["a", "b", "c"][id as usize / 4], true, None);
    }
    let mut fixture = Fixture { monitor, now: 10 * S, view: View::default() };
    (0..12).for_each(|id| fixture.responds(id));
    fixture
}

impl Fixture {
    fn responds(&mut self, id: u64) {
        self.monitor.attempt_sent(self.now, id);
        self.now += 5 * MS;
        self.monitor.attempt_finished(self.now, id, AttemptEvidence::Responded(5 * MS));
    }

    fn fails(&mut self, id: u64) {
        self.monitor.attempt_sent(self.now, id);
        self.now += MS;
        self.monitor.attempt_finished(self.now, id, AttemptEvidence::Failed);
    }

    fn poll(&mut self) -> View {
        self.view = self.monitor.poll(self.now, &Refused::new()).unwrap_or(self.view.clone());
        self.view.clone()
    }

    /// Advances time, polling every 50 ms.
    fn pass(&mut self, span: Micros) -> View {
        let ends = self.now + span;
        while self.now < ends {
            self.now += 50 * MS;
            self.poll();
        }
        self.poll()
    }

    fn share(&mut self, site: &str) -> f64 {
        self.poll().admission(site).share
    }

    fn status(&self, site: &str) -> SiteStatus {
        self.monitor.explain(self.now).into_iter().find(|(name, ..)| *name == site).unwrap().1
    }

    fn lose(&mut self, site: u64) {
        (0..4).for_each(|n| self.fails(4 * site + n));
        assert_eq!(self.share(["a", "b", "c"][site as usize]), 0.0);
    }

    /// A probe gets a response.
    fn probe_succeeds(&mut self, worker: u64) {
        self.responds(worker);
    }
}

#[test]
fn failures_of_several_workers_without_a_response_lose_the_site() {
    let mut fixture = fixture();
    (4..7).for_each(|id| fixture.fails(id));
    assert_eq!(fixture.share("b"), 1.0, "three failures are not enough");
    fixture.fails(4);
    assert_eq!((fixture.share("a"), fixture.share("b"), fixture.share("c")), (1.0, 0.0, 1.0));
    assert_eq!(fixture.status("b"), SiteStatus::Lost(LossCause::Unresponsive));
}

#[test]
fn bad_workers_among_good_ones_do_not_lose_the_site() {
    let mut fixture = fixture();
    for _ in 0..50 {
        (4..7).for_each(|id| fixture.fails(id));
        fixture.responds(7);
    }
    assert_eq!(fixture.share("b"), 1.0);
    for _ in 0..50 {
        fixture.fails(4);
        fixture.fails(5);
    }
    assert_eq!(fixture.share("b"), 1.0, "two of four, however often");
}

#[test]
fn overdue_attempts_lose_the_site_before_they_end() {
    let mut fixture = fixture();
    for id in [4, 5, 6, 7] {
        fixture.monitor.attempt_sent(fixture.now, id);
    }
    fixture.pass(90 * MS);
    assert_eq!(fixture.share("b"), 1.0);
    fixture.pass(600 * MS);
    assert_eq!(fixture.share("b"), 0.0);
}

#[test]
fn slow_responses_do_not_lose_the_site() {
    let mut fixture = fixture();
    for id in [4, 5, 6, 7] {
        fixture.monitor.attempt_sent(fixture.now, id);
    }
    for n in 0..40 {
        fixture.pass(50 * MS);
        let id = 4 + n % 4;
        fixture.monitor.attempt_finished(fixture.now, id, AttemptEvidence::Responded(200 * MS));
        fixture.monitor.attempt_sent(fixture.now, id);
    }
    assert_eq!(fixture.share("b"), 1.0);
    (0..8).for_each(|n| fixture.responds(n % 4));
    assert_eq!(fixture.status("b"), SiteStatus::Slow);
}

#[test]
fn evidence_reports_the_response_rate() {
    let mut fixture = fixture();
    for _ in 0..400 {
        fixture.responds(4);
        fixture.pass(50 * MS);
    }
    let (_, _, evidence) = fixture.monitor.explain(fixture.now).swap_remove(1);
    assert!(evidence.contains("18.") || evidence.contains("19."), "one in 55 ms: {evidence}");
}

#[test]
fn quick_cancellations_are_no_evidence() {
    let mut fixture = fixture();
    for _ in 0..20 {
        for id in 4..8 {
            fixture.monitor.attempt_sent(fixture.now, id);
            fixture.now += MS;
            fixture.monitor.attempt_finished(fixture.now, id, AttemptEvidence::Inconclusive);
        }
    }
    fixture.pass(S);
    assert_eq!(fixture.share("b"), 1.0);
}

#[test]
fn cancellations_after_a_long_wait_count_as_failures() {
    let mut fixture = fixture();
    for id in [4, 5, 6, 7] {
        fixture.monitor.attempt_sent(fixture.now, id);
        fixture.now += 150 * MS;
        fixture.monitor.attempt_finished(fixture.now, id, AttemptEvidence::Inconclusive);
    }
    assert_eq!(fixture.share("b"), 0.0);
}

#[test]
fn losing_every_site_closes_none() {
    let mut fixture = fixture();
    (0..2).for_each(|site| fixture.lose(site));
    (8..12).for_each(|id| fixture.fails(id));
    assert_eq!((fixture.share("a"), fixture.share("b"), fixture.share("c")), (1.0, 1.0, 1.0));
    fixture.responds(9);
    assert_eq!(
        (fixture.share("a"), fixture.share("c")),
        (0.0, 1.0),
        "one responding site is enough to close the others"
    );
}

#[test]
fn the_only_site_is_never_closed() {
    let mut monitor = SiteMonitor::new(MonitorConfig::default(), &[]);
    (0..4).for_each(|id| monitor.upsert_worker(id, "", true, None));
    let mut fixture = Fixture { monitor, now: S, view: View::default() };
    (0..4).for_each(|id| fixture.fails(id));
    assert_eq!(fixture.share(""), 1.0);
    fixture.pass(3 * S);
    fixture.responds(0);
    assert_eq!(fixture.share(""), 1.0, "nor ramped up: there is no other site");
}

#[test]
fn recovering_sites_admit_all_until_one_is_healthy() {
    let mut fixture = fixture();
    (0..12).for_each(|id| fixture.fails(id));
    fixture.pass(3 * S);
    fixture.responds(0);
    assert_eq!((fixture.share("a"), fixture.share("b"), fixture.share("c")), (1.0, 0.0, 0.0));
    fixture.responds(4);
    assert_eq!((fixture.share("a"), fixture.share("b")), (1.0, 1.0));
    while fixture.status("a") != SiteStatus::Healthy {
        fixture.responds(0);
        fixture.pass(50 * MS);
    }
    assert_eq!(fixture.share("a"), 1.0);
    assert!(fixture.share("b") < 1.0, "one is healthy: the other ramps up");
}

#[test]
fn lost_site_is_probed_at_the_configured_interval() {
    let mut fixture = fixture();
    fixture.lose(1);
    assert!(fixture.poll().probe("b").is_none(), "not at once");
    let mut numbers = BTreeSet::new();
    for _ in 0..40 {
        fixture.now += 50 * MS;
        numbers.extend(fixture.poll().probe("b"));
    }
    assert!((7..=8).contains(&numbers.len()), "one in 250 ms for 2 s: {numbers:?}");
}

#[test]
fn brief_loss_restores_all_load_at_once() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(500 * MS);
    fixture.probe_succeeds(4);
    assert_eq!(fixture.share("b"), 1.0);
}

#[test]
fn load_ramps_up_in_steps() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(3 * S);
    let mut seen = vec![0.0];
    fixture.probe_succeeds(4);
    let start = fixture.now;
    while fixture.share("b") < 1.0 {
        fixture.responds(5);
        let share = fixture.share("b");
        if *seen.last().unwrap() != share {
            seen.push(share);
        }
        fixture.pass(20 * MS);
    }
    assert_eq!(seen, [0.0, 0.125, 0.25, 0.5, 1.0]);
    assert!(fixture.now - start >= 1_500 * MS, "three steps of half a second at the least");
    assert_eq!(fixture.status("b"), SiteStatus::Healthy);
}

#[test]
fn failing_ramp_steps_go_back_and_lose_the_site() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(3 * S);
    fixture.probe_succeeds(4);
    fixture.responds(4);
    fixture.pass(600 * MS);
    assert_eq!(fixture.share("b"), 0.25);
    let half_bad = |fixture: &mut Fixture| {
        for _ in 0..4 {
            fixture.fails(4);
            fixture.fails(5);
            fixture.responds(6);
        }
        fixture.pass(600 * MS);
    };
    half_bad(&mut fixture);
    assert_eq!(fixture.share("b"), 0.125);
    half_bad(&mut fixture);
    assert_eq!(fixture.share("b"), 0.0);
}

#[test]
fn persistently_bad_workers_slow_the_ramp_without_ending_it() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(3 * S);
    fixture.probe_succeeds(4);
    let start = fixture.now;
    while fixture.share("b") < 1.0 {
        fixture.fails(5);
        (0..2).for_each(|_| fixture.responds(4));
        fixture.pass(50 * MS);
        assert!(fixture.now < start + 20 * S);
    }
    assert!(fixture.now > start + 5 * S, "three steps of two seconds");
}

#[test]
fn ramp_does_not_advance_without_attempts() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(3 * S);
    fixture.probe_succeeds(4);
    fixture.responds(4);
    fixture.pass(600 * MS);
    fixture.pass(10 * S);
    assert_eq!(fixture.share("b"), 0.25);
}

#[test]
fn flapping_site_backs_off_up_to_a_bound() {
    let mut fixture = fixture();
    let mut waits = Vec::new();
    for _ in 0..10 {
        fixture.lose(1);
        let lost = fixture.now;
        while fixture.poll().probe("b").is_none() {
            fixture.now += 50 * MS;
        }
        waits.push((fixture.now - lost) / MS);
        fixture.pass(1_500 * MS);
        fixture.probe_succeeds(4);
    }
    assert!(waits.windows(2).all(|two| two[0] <= two[1]), "{waits:?}");
    assert!(waits[0] <= 300 && (450..=550).contains(&waits[1]) && waits[3] >= 1_900, "{waits:?}");
    assert!(*waits.iter().max().unwrap() <= 30_050, "{waits:?}");
    while fixture.share("b") < 1.0 {
        fixture.responds(4);
        fixture.pass(100 * MS);
    }
    fixture.pass(61 * S);
    fixture.lose(1);
    let lost = fixture.now;
    while fixture.poll().probe("b").is_none() {
        fixture.now += 50 * MS;
    }
    assert!(fixture.now - lost <= 300 * MS, "a long healthy time resets the backoff");
}

#[test]
fn unlisted_site_is_lost_and_probed_at_once_when_listed_again() {
    let mut fixture = fixture();
    (4..8).for_each(|id| fixture.monitor.upsert_worker(id, "b", false, None));
    assert_eq!((fixture.share("b"), fixture.status("b")), (0.0, SiteStatus::Lost(LossCause::Unlisted)));
    fixture.pass(5 * S);
    assert!(fixture.poll().probe("b").is_none());
    let restarted = Some(fixture.now);
    (4..8).for_each(|id| fixture.monitor.upsert_worker(id, "b", true, restarted));
    assert!(fixture.poll().probe("b").is_some());
    assert_eq!(fixture.status("b"), SiteStatus::Lost(LossCause::Unresponsive));
    fixture.probe_succeeds(4);
    assert_eq!(fixture.share("b"), 0.125, "restarted workers get the initial share, however short the loss");
}

#[test]
fn restarted_workers_do_not_inherit_overdue_attempts() {
    let mut fixture = fixture();
    (4..8).for_each(|id| fixture.monitor.attempt_sent(fixture.now, id));
    let restarted = Some(fixture.now);
    (4..8).for_each(|id| fixture.monitor.upsert_worker(id, "b", true, restarted));
    fixture.pass(S);
    assert_eq!((fixture.share("b"), fixture.status("b")), (1.0, SiteStatus::WarmingUp));
}

#[test]
fn site_that_peers_reach_is_reported_as_cut_off() {
    let mut fixture = fixture();
    fixture.lose(1);
    fixture.pass(S);
    fixture.monitor.record_peer_response(2, "b", fixture.now - 2 * S);
    assert_eq!(
        fixture.status("b"),
        SiteStatus::Lost(LossCause::Unresponsive),
        "they reached it before it was lost"
    );
    fixture.monitor.record_peer_response(2, "b", fixture.now);
    fixture.monitor.record_peer_response(2, "nowhere", fixture.now);
    assert_eq!(fixture.status("b"), SiteStatus::CutOff);
    assert_eq!(fixture.share("b"), 0.0, "a site that only peers reach is closed as well");
}

#[test]
fn operator_overrides_outrank_evidence() {
    let mut fixture = fixture();
    let declare =
        |fixture: &mut Fixture, value| fixture.monitor.set_override(fixture.now, "b", value).unwrap();
    declare(&mut fixture, Some(Override::Lost));
    fixture.responds(4);
    fixture.pass(5 * S);
    assert_eq!((fixture.share("b"), fixture.status("b")), (0.0, SiteStatus::Lost(LossCause::Declared)));
    assert!(fixture.poll().probe("b").is_none());
    declare(&mut fixture, None);
    fixture.pass(300 * MS);
    fixture.probe_succeeds(4);
    declare(&mut fixture, Some(Override::Hold));
    let share_on_hold = fixture.share("b");
    for _ in 0..20 {
        fixture.responds(4);
        fixture.pass(100 * MS);
    }
    assert_eq!(fixture.share("b"), share_on_hold);
    declare(&mut fixture, Some(Override::Healthy));
    (0..20).for_each(|n| fixture.fails(4 + n % 4));
    assert_eq!(fixture.share("b"), 1.0);
    assert!(fixture.monitor.set_override(fixture.now, "z", None).unwrap_err().contains("no site `z`"));
}

#[test]
fn failover_plan_applies_to_exactly_its_lost_sites() {
    let mut fixture = fixture();
    let shares = |to: [f64; 3]| -> Shares { [((0, 0), to.to_vec())].into() };
    let mut shares_by_loss = BTreeMap::new();
    shares_by_loss.insert(BTreeSet::from([1]), shares([1.0, 0.0, 0.0]));
    fixture.monitor.set_shares(shares_by_loss);
    assert!(fixture.poll().prefers("c", (0, 0), 5));
    fixture.lose(1);
    let view = fixture.poll();
    assert!(view.prefers("a", (0, 0), 5) && !view.prefers("c", (0, 0), 5));
    assert_eq!(fixture.monitor.lost_sites(), [1].into());
    fixture.lose(2);
    assert!(fixture.poll().prefers("a", (0, 0), 5), "no plan for this pair");
}

#[test]
fn removed_workers_are_forgotten_and_tables_are_bounded() {
    let mut fixture = fixture();
    fixture.monitor.retain_workers(&(0..4).collect());
    (4..8).for_each(|id| fixture.fails(id));
    assert_eq!(fixture.status("b"), SiteStatus::Healthy, "unknown workers are no evidence");
    let mut many = SiteMonitor::new(MonitorConfig::default(), &[]);
    for id in 0..10_000 {
        many.upsert_worker(id, &format!("z{}", id % 200), true, None);
    }
    assert_eq!(many.explain(0).len(), 64);
}
