//! The hard cases by name: things that happen at the very same instant, in both orders, and crossings that
//! need exact times. Each way through the network takes 0.5 ms here.

use hingestage_sim::script::Script;
use hingestage_sim::world::{play, Options, Report};

/// Orders of ties tried for each case.
const SEEDS: u64 = 40;

/// Plays a case with many orders of ties; none may break a rule.
fn orders(case: &str) -> Vec<Report> {
    let script: Script =
        format!("hingestage-sim 1\nexact yes\n{case}at 3000 fault nothing\n").parse().unwrap();
    let one = |seed| {
        let report = play(&Script { seed, ..script.clone() }, Options { trace: true, ..Options::default() });
        assert_eq!(report.broken, None, "seed {seed}\n{script}\n{}", report.trace.join("\n"));
        report
    };
    (0..SEEDS).map(one).collect()
}

fn count(report: &Report, what: &str) -> usize {
    report.trace.iter().filter(|line| line.contains(what)).count()
}

/// How often a request of this number came to a worker whole.
fn attempts(report: &Report, request: u64) -> usize {
    count(report, &format!(": {request:016x} whole"))
}

fn closes(line: &str) -> bool {
    line.contains("1000 ends connection 4")
}

fn status(report: &Report, request: u64) -> Option<u16> {
    let start = format!("client: {request:016x} answered ");
    report.trace.iter().find_map(|line| line.split_once(&start)?.1.get(..3)?.parse().ok())
}

const WORKER: &str = "worker 0 cores=2 speed=1 queue=8 cold=no\n";
const TWO: &str = "worker 0 cores=2 speed=1 queue=8 cold=no\nworker 1 cores=2 speed=1 queue=8 cold=no\n";

fn ask(at: &str, class: &str, work: u64, patience: u64, body: usize, manner: &str) -> String {
    let (account, plan) = (1, "ufficio");
    format!(
        "at {at} ask gateway=0 class={class} account={account} plan={plan} units=1 work={work} \
         patience={patience} body={body} {manner}\n"
    )
}

/// The gateway gives a request up 17 ms before its client does; a new connection takes 1 ms and each way to
/// the worker 0.5 ms. The error that would make it try again comes at that very instant.
#[test]
fn a_time_out_on_the_instant_at_which_a_retry_would_start() {
    let case = format!("{TWO}at 1 fault worker 0 error\nat 1 fault worker 1 error\n")
        + &ask("100", "pull", 381, 400, 0, "usual");
    let reports = orders(&case);
    // Given up, the attempt's connection is closed; after its answer it is kept, and the retry makes another.
    let closed =
        |r: &Report| r.trace.iter().take_while(|line| !line.contains("answered")).any(|line| closes(line));
    assert!(reports.iter().any(closed), "the time-out never came first");
    assert!(reports.iter().any(|r| !closed(r)), "the error never did");
    for report in &reports {
        assert!(matches!(status(report, 1), Some(429 | 502 | 504)));
    }
}

/// The last byte of a good answer comes at the instant at which the gateway gives up.
#[test]
fn an_answers_last_byte_and_the_deadline_in_the_same_instant() {
    let reports = orders(&(WORKER.to_owned() + &ask("100", "push", 381, 400, 0, "usual")));
    assert!(reports.iter().any(|r| status(r, 1) == Some(200)), "the answer never came first");
    assert!(reports.iter().any(|r| matches!(status(r, 1), Some(502 | 504))), "the deadline never did");
    reports.iter().for_each(|r| assert_eq!(attempts(r, 1), 1));
}

/// Told of the drain while the connection to the worker is still coming up: nothing may be written there.
#[test]
fn a_drain_notice_before_the_first_byte() {
    let case = WORKER.to_owned() + &ask("100", "push", 50, 2_500, 10, "usual") + "at 100.5 fault deploy 0\n";
    for report in orders(&case) {
        // News takes 1 ms: it comes at 101.5, the connect is over at 102.5.
        assert_eq!(count(&report, "worker 0: a request begins"), 0);
        assert!(matches!(status(&report, 1), Some(200 | 429)));
    }
}

/// Told of the drain while the request is being written, while it runs, and right behind its answer: it is
/// carried to its end, and nothing follows it there.
#[test]
fn a_drain_notice_between_bytes_and_after_the_last() {
    for (at, worked) in [("110", 50), ("160", 50), ("2000", 50), ("100.9", 1)] {
        let case = format!("{WORKER}at 1 fault throttle 0 200000\n")
            + &ask("100", "push", worked, 2_500, 60_000, "usual")
            + &format!("at {at} fault deploy 0\n");
        for report in orders(&case) {
            assert!(matches!(status(&report, 1), Some(200 | 429)), "{at}");
            assert!(attempts(&report, 1) <= 1 + usize::from(status(&report, 1) == Some(200)), "{at}");
        }
    }
}

/// The client leaves at the instant at which its answer arrives, and while its attempt is being called off.
#[test]
fn a_cancel_crosses_the_answer() {
    for (left, work) in [("53", 50), ("52.5", 50), ("52", 50), ("51.5", 50)] {
        let case = WORKER.to_owned()
            + &ask("100", "push", work, 2_500, 0, &format!("leaves={left}"))
            + &ask("300", "push", work, 2_500, 0, "usual");
        let reports = orders(&case);
        reports.iter().for_each(|r| assert_eq!((attempts(r, 1), status(r, 2)), (1, Some(200))));
        if left == "53" {
            assert!(reports.iter().any(|r| status(r, 1).is_none()), "the client never left first");
            assert!(reports.iter().any(|r| status(r, 1).is_some()), "the answer never came first");
        }
    }
}

/// A machine is cut off and its worker starts again under its old id; the gateway learns of the new start
/// while the connection to the old one is still open on its side.
#[test]
fn a_worker_is_back_under_its_old_id_while_its_old_connection_is_open() {
    let case = WORKER.to_owned()
        + &ask("100", "pull", 20, 1_500, 0, "usual")
        + "at 200 fault cut 0\nat 210 fault restart 0\n"
        + &ask("400", "push", 20, 2_500, 0, "usual")
        + "at 450 mend worker 0\n"
        + &ask("1500", "push", 20, 2_500, 0, "usual");
    for report in orders(&case) {
        assert_eq!((status(&report, 1), status(&report, 3)), (Some(200), Some(200)));
        assert!(attempts(&report, 2) <= 1);
    }
}

/// Answers of the counter come after their calls were given up, and after the line was: taken for the next
/// call's they would box an account that is far inside its quota.
#[test]
fn a_counters_late_answer_after_its_line_was_given_up() {
    for late in [49, 50, 51, 499, 500, 501, 700] {
        let mut case = format!("gateways 2\n{TWO}at 50 fault counter late {late}\n");
        for n in 0..40 {
            let (account, units) = if n % 4 == 0 { (1, 1) } else { (50, 6) };
            let at = 100 + n * 40;
            case += &format!(
                "at {at} ask gateway={} class=pull account={account} plan=ufficio units={units} work=20 \
                 patience=1500 body=0 usual\n",
                n % 2
            );
        }
        let script: Script =
            format!("hingestage-sim 1\nexact yes\n{case}at 3000 fault nothing\n").parse().unwrap();
        for seed in 0..8 {
            let report =
                play(&Script { seed, ..script.clone() }, Options { trace: true, ..Options::default() });
            assert_eq!(report.broken, None, "late {late}, seed {seed}");
            let refused = (0..10).filter(|n| status(&report, n * 4 + 1) != Some(200)).count();
            assert_eq!(refused, 0, "late {late}, seed {seed}: an account inside its quota was refused");
        }
    }
}

/// The gateway's machine has accepted the connection, nothing has come on it, and the gateway is told to stop.
#[test]
fn a_stop_between_accept_and_first_byte() {
    // Accepted at 100.5, first byte at 101.5.
    for at in ["100.5", "101", "101.5", "102"] {
        let case = WORKER.to_owned()
            + &ask("100", "push", 50, 2_500, 10, "usual")
            + &format!("at {at} fault term 0\n");
        for report in orders(&case) {
            assert_eq!((status(&report, 1), attempts(&report, 1)), (Some(200), 1), "told to stop at {at}");
        }
    }
}

/// Two gateways with much to send and hardly anything but a cold worker to send it to.
#[test]
fn two_gateways_together_push_a_cold_worker_to_its_budget() {
    let mut case = "gateways 2\nworker 0 cores=2 speed=1 queue=64 cold=yes\n".to_owned();
    for n in 0..160 {
        case += &format!(
            "at {} ask gateway={} class=pull account={} plan=ente units=1 work=70 patience=1500 body=0 usual\n",
            10 + n * 12,
            n % 2,
            n % 9
        );
    }
    for report in orders(&case) {
        // 0.22 of two cores, 3 times over, for 2 s: at least a third of that is asked of it.
        assert!(count(&report, "whole on") >= 12, "{} came to it", count(&report, "whole on"));
    }
}
