//! The figures of a gateway: what became of its requests, counted once each.

use serde::Serialize;
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a worker's answer.
    Served,
    /// Turned away: trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
}

/// Counts since the start of the process. They only grow; what ended after its client had left is not in them.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    classes: Vec<String>,
    /// By class: served, refused, failed.
    ended: Vec<[u64; 3]>,
    attempts: u64,
    reloads: (u64, u64),
}

/// What is true at the moment, counted by whoever holds it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub inflight: usize,
    /// Attempts written whole to workers that have not ended.
    pub attempts_out: usize,
    /// Workers on discovery's list.
    pub hosts_listed: usize,
    /// Those of them that get nothing for what they did.
    pub hosts_down: usize,
    /// Of the name that workers are taken from, where one is followed.
    pub srv: Option<SrvFigures>,
}

/// What is believed of a name, and what it took to know.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SrvFigures {
    /// One word on how good it is.
    pub standing: &'static str,
    /// Addresses believed.
    pub believed: usize,
    /// Questions sent.
    pub asked: u64,
    /// Of these, over TCP.
    pub over_tcp: u64,
    /// Without an answer in time.
    pub timeouts: u64,
    /// Answers that did not belong to their question.
    pub foreign: u64,
    /// Questions that a server failed.
    pub failed: u64,
}

#[derive(Serialize)]
struct Told<'a> {
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
    srv: Option<SrvFigures>,
}

impl Figures {
    /// All at 0, for classes of these names.
    pub fn new(classes: &[String]) -> Self {
        Figures { classes: classes.to_vec(), ended: vec![[0; 3]; classes.len()], ..Figures::default() }
    }

    /// Counts the end of a request of a class; one that is out of range counts nowhere.
    pub fn ended(&mut self, class: usize, how: Ending) {
        if let Some(counts) = self.ended.get_mut(class) {
            counts[how as usize] += 1;
        }
    }

    /// Counts an attempt that came whole to a worker, at its end.
    pub fn attempted(&mut self) {
        self.attempts += 1;
    }

    /// Counts a configuration read again while serving, good or bad.
    pub fn reloaded(&mut self, good: bool) {
        let (ok, failed) = &mut self.reloads;
        *(if good { ok } else { failed }) += 1;
    }

    /// All figures as one JSON object.
    pub fn json(&self, now: Gauges) -> String {
        let by_class = |how: Ending| {
            let counts = self.ended.iter().map(|counts| counts[how as usize]);
            self.classes.iter().map(String::as_str).zip(counts).collect()
        };
        let told = Told {
            success: by_class(Ending::Served),
            busy: by_class(Ending::Refused),
            failure: by_class(Ending::Failed),
            backend_calls: self.attempts + now.attempts_out as u64,
            inflight: now.inflight,
            hosts_listed: now.hosts_listed,
            hosts_down: now.hosts_down,
            reconfig_ok: self.reloads.0,
            reconfig_failed: self.reloads.1,
            srv: now.srv,
        };
        // Names and numbers only: there is nothing in it that could not be written.
        serde_json::to_string(&told).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_stands_under_its_class_and_one_count() {
        let mut figures = Figures::new(&["pull".into(), "push".into()]);
        for (class, how) in [
            (0, Ending::Served),
            (0, Ending::Served),
            (1, Ending::Refused),
            (1, Ending::Failed),
            (2, Ending::Served),
        ] {
            figures.ended(class, how);
        }
        figures.attempted();
        figures.reloaded(true);
        figures.reloaded(false);
        let told =
            figures.json(Gauges { inflight: 4, attempts_out: 2, hosts_listed: 9, hosts_down: 1, srv: None });
        assert_eq!(
            told,
            r#"{"success":{"pull":2,"push":0},"busy":{"pull":0,"push":1},"failure":{"pull":0,"push":1},"backend_calls":3,"inflight":4,"hosts_listed":9,"hosts_down":1,"reconfig_ok":1,"reconfig_failed":1}"#
        );
    }
}
