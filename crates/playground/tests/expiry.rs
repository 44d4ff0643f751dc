//! A trial that is ended at once, and paid, in a small whole system: all proxies change over together.

#[allow(dead_code)]
mod support;

use hingestage_platform::{Platform, Tokio};
use hingestage_playground::clients::{attempt_id, Ask};
use hingestage_playground::http::Connection;
use hingestage_playground::operator::{put_terms, CATALOG_PREFIX, ORDERS_PREFIX, TRIAL_KEY};
use hyper::header::RETRY_AFTER;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{block_on, serves, until, START_WITHIN};

/// Time for a step: a notice of 12 s before the first of a tenant, then 4.5 s until it is in effect.
const STEP_WITHIN: Duration = Duration::from_secs(25);
/// Requests that begin further apart are never judged by steps in the wrong order.
const APART: Duration = Duration::from_millis(2_500);
/// How long one answer may take.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// What a proxy says once a trial has ended with nothing left.
const ENDED_TEXT: &[u8] = b"the tenant's trial has ended";
/// Between two rounds of questions, so that the quota is not used up.
const PACE: Duration = Duration::from_millis(60);
const ENDED: &str = r#"{"version":1,"end":"2026-01-01T00:00:00Z"}"#;
const PAID: &str = r#"{"version":2}"#;
const WRONG: &str = r#"{"version":3,"end":"2026-01-01T00:00:00Z","after_end":2}"#;

/// Whether an answer says that the trial has ended; none where it says nothing of it.
async fn is_ended(proxy: SocketAddr, ask: &Ask, refused: &mut Vec<String>) -> Option<bool> {
    let id = attempt_id();
    let mut connection = Connection::open(proxy).await.ok()?;
    let reply = connection.send(ask.request(&id), ANSWER_WITHIN).await.ok()?;
    match reply.status.as_u16() {
        200 => Some(false),
        status @ (429 | 503) => {
            assert!(reply.headers.contains_key(RETRY_AFTER), "{reply:?}");
            refused.push(id);
            // The rate of the test may be beyond a proxy's part of the quota for a moment.
            (status == 429 && reply.body == ENDED_TEXT).then_some(true)
        }
        _ => panic!("{reply:?}"),
    }
}

/// Asks all proxies in turns until each has changed over. Gives for how long they disagreed.
async fn change_over(proxies: &[SocketAddr], ask: &Ask, ended: bool, refused: &mut Vec<String>) -> Duration {
    let until = Instant::now() + STEP_WITHIN;
    let (mut first, mut last) = (None, None);
    let mut after = vec![false; proxies.len()];
    while !after.iter().all(|after| *after) {
        assert!(Instant::now() < until, "after {STEP_WITHIN:?} not all proxies have changed over: {after:?}");
        for (place, proxy) in proxies.iter().enumerate() {
            let begun = Instant::now();
            match is_ended(*proxy, ask, refused).await {
                Some(now) if now == ended => {
                    first.get_or_insert(begun);
                    after[place] = true;
                }
                Some(_) => {
                    assert!(!after[place], "{proxy} went back");
                    last = Some(begun);
                }
                None => {}
            }
        }
        Tokio.sleep(PACE).await;
    }
    match (first, last) {
        (Some(first), Some(last)) => last.saturating_duration_since(first),
        _ => Duration::ZERO,
    }
}

#[test]
fn a_trial_ends_and_is_paid_at_one_moment_for_all_proxies() {
    block_on(async {
        let (layout, surroundings, _threads) = support::start_system().await;
        let proxies: Vec<SocketAddr> = layout.proxies.iter().map(|proxy| proxy.http()).collect();
        let lookup = Ask { mutating: false, path: CATALOG_PREFIX.to_owned(), key: Some(TRIAL_KEY) };
        let order = Ask { mutating: true, path: ORDERS_PREFIX.to_owned(), key: Some(TRIAL_KEY) };
        for proxy in &proxies {
            until("a proxy serves", START_WITHIN, async || serves(*proxy, &lookup).await).await;
        }
        let mut refused = Vec::new();
        assert!(put_terms(&layout, 0, ENDED, START_WITHIN).await.unwrap());
        let disagreed = change_over(&proxies, &lookup, true, &mut refused).await;
        assert!(disagreed <= APART, "proxies disagreed for {disagreed:?}");
        assert_eq!(is_ended(proxies[0], &order, &mut refused).await, Some(true));
        assert!(!refused.is_empty());
        assert!(put_terms(&layout, 1, WRONG, START_WITHIN).await.is_err());
        assert!(put_terms(&layout, 1, PAID, START_WITHIN).await.unwrap());
        assert!(!put_terms(&layout, 2, ENDED, START_WITHIN).await.unwrap(), "version 2 holds");
        let disagreed = change_over(&proxies, &order, false, &mut refused).await;
        assert!(disagreed <= APART, "proxies disagreed for {disagreed:?}");
        let log = surroundings.log.borrow();
        let ran: Vec<_> = log.runs.iter().filter(|run| refused.contains(&run.attempt)).collect();
        assert!(ran.is_empty(), "refused, and ran: {ran:?}");
    });
}
