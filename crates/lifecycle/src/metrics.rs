//! Request metrics of a gateway.

use serde::Serialize;
use std::collections::BTreeMap;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Answered by a worker.
    Served,
    /// Refused without side effects; safe to retry.
    Refused,
    /// Failed; a worker may have executed it.
    Failed,
}

/// Counters since the start of the process. Requests whose client disconnected early are not counted.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<String>,
    /// By class: served, refused, failed.
    ended: Vec<[u64; 3]>,
    attempts: u64,
    reloads: (u64, u64),
}

/// Current values, measured by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Open requests.
    pub inflight: usize,
    /// Attempts in progress whose request was fully sent.
    pub attempts_in_flight: usize,
    /// Workers known from discovery.
    pub hosts_listed: usize,
    /// Known workers that are currently avoided.
    pub hosts_down: usize,
    /// Metrics of the DNS source, if configured.
    pub srv: Option<SrvMetrics>,
}

/// Metrics of a DNS source.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SrvMetrics {
    /// State of the records, as one word.
    pub standing: &'static str,
    /// Addresses currently in use.
    pub believed: usize,
    /// Queries sent.
    pub asked: u64,
    /// Queries sent over TCP.
    pub over_tcp: u64,
    /// Queries that timed out.
    pub timeouts: u64,
    /// Answers that did not match a query.
    pub foreign: u64,
    /// Queries answered with an error.
    pub failed: u64,
}

#[derive(Serialize)]
struct Report<'a> {
    success: BTreeMap<&'a str, u64>,
    busy: BTreeMap<&'a str, u64>,
    failure: BTreeMap<&'a str, u64>,
    backend_calls: u64,
    inflight: usize,
    hosts_listed: usize,
    hosts_down: usize,
    reconfig_ok: u64,
    reconfig_failed: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    srv: Option<SrvMetrics>,
}

impl Metrics {
    /// All counters at 0, for classes with these names.
    pub fn new(classes: &[String]) -> Self {
        Metrics { classes: classes.to_vec(), ended: vec![[0; 3]; classes.len()], ..Metrics::default() }
    }

    /// Counts a finished request of a class; ignores classes out of range.
    pub fn record_request(&mut self, class: usize, result: RequestResult) {
        if let Some(counts) = self.ended.get_mut(class) {
            counts[result as usize] += 1;
        }
    }

    /// Counts a finished attempt.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Counts a configuration reload and whether it succeeded.
    pub fn record_reload(&mut self, good: bool) {
        let (ok, failed) = &mut self.reloads;
        *(if good { ok } else { failed }) += 1;
    }

    /// All metrics as a JSON object.
    pub fn json(&self, now: Gauges) -> String {
        let by_class = |result: RequestResult| {
            let counts = self.ended.iter().map(|counts| counts[result as usize]);
            self.classes.iter().map(String::as_str).zip(counts).collect()
        };
        let report = Report {
            success: by_class(RequestResult::Served),
            busy: by_class(RequestResult::Refused),
            failure: by_class(RequestResult::Failed),
            backend_calls: self.attempts + now.attempts_in_flight as u64,
            inflight: now.inflight,
            hosts_listed: now.hosts_listed,
            hosts_down: now.hosts_down,
            reconfig_ok: self.reloads.0,
            reconfig_failed: self.reloads.1,
            srv: now.srv,
        };
        // Plain names and numbers always serialize.
        serde_json::to_string(&report).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_counted_by_class_and_result() {
        let mut metrics = Metrics::new(&["pull".into(), "push".into()]);
        for (class, result) in [
            (0, RequestResult::Served),
            (0, RequestResult::Served),
            (1, RequestResult::Refused),
            (1, RequestResult::Failed),
            (2, RequestResult::Served),
        ] {
            metrics.record_request(class, result);
        }
        metrics.record_attempt();
        metrics.record_reload(true);
        metrics.record_reload(false);
        let report = metrics.json(Gauges {
            inflight: 4,
            attempts_in_flight: 2,
            hosts_listed: 9,
            hosts_down: 1,
            srv: None,
        });
        assert_eq!(
            report,
            r#"{"success":{"pull":2,"push":0},"busy":{"pull":0,"push":1},"failure":{"pull":0,"push":1},"backend_calls":3,"inflight":4,"hosts_listed":9,"hosts_down":1,"reconfig_ok":1,"reconfig_failed":1}"#
        );
    }
}
