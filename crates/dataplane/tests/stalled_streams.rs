//! Streamed responses without progress: when their connections are closed.

use hingestage_dataplane::client::{Client, ClientTimeouts};
use std::rc::Rc;
use std::time::{Duration, Instant};

const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    first_head_timeout: Duration::from_secs(3),
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(3),
    write_timeout: WRITE_TIMEOUT,
};
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MOMENT: Duration = Duration::from_millis(1);

/// A client whose request has so much time, and whose response is being streamed since `now`.
fn streaming(now: Instant, time: Duration) -> Rc<Client> {
    let client = Client::new(now, TIMEOUTS, MAX_HEAD_BYTES, Rc::default(), Rc::default());
    assert_eq!(client.begin_request(now, now + time), Some(now + time));
    client.streaming.set(true);
    client
}

/// Guards against a streamed response that is broken off for its worker's silence while its request has time.
#[test]
fn a_silent_worker_is_waited_for_until_the_time_of_its_request_is_over() {
    let now = Instant::now();
    let client = streaming(now, 2 * WRITE_TIMEOUT);
    let over = now + 2 * WRITE_TIMEOUT;
    assert!(!client.is_stalled(over - MOMENT), "its time lasts");
    assert!(client.is_stalled(over), "its time is over");
    client.record_progress(over);
    assert!(!client.is_stalled(over + WRITE_TIMEOUT), "it has just gone on");
}

#[test]
fn a_response_whose_time_is_over_may_make_no_progress_for_the_write_timeout() {
    let now = Instant::now();
    let client = streaming(now, WRITE_TIMEOUT / 2);
    assert!(!client.is_stalled(now + WRITE_TIMEOUT));
    assert!(client.is_stalled(now + WRITE_TIMEOUT + MOMENT));
}
