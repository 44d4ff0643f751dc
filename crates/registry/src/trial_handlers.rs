//! HTTP handlers for trials, and the loops that set default terms and announce due steps.

use crate::first_terms::FirstTerms;
use crate::http::{error, json, read_body, unavailable, HttpResponse, STORE_CALL_MARGIN};
use crate::server::{Registry, PROPOSE_WAIT};
use bytes::Bytes;
use eyre::{eyre, WrapErr};
use hingestage_configuration::Configuration;
use hingestage_node::time_of_day;
use hingestage_replication::digest;
use hingestage_rpc::messages::{Change, Proposed, StoreAnswer, StoreRequest};
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TERMS_BYTES_MAX};
use hingestage_trial::{Phase, Terms};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// Period of the check for due steps.
const STEP_PERIOD: Duration = Duration::from_millis(250);
/// Pause between attempts to commit default terms or steps.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// JSON form of a trial in responses.
#[derive(Serialize)]
struct TrialState<'a> {
    tenant: &'a str,
    version: u64,
    step: u32,
    steps: u32,
    phase: String,
    share: f64,
    share_of_last: f64,
    /// Time since the step became durable; it takes effect a fixed time later.
    durable_for_ms: u64,
    terms: serde_json::Value,
}

impl<'a> TrialState<'a> {
    fn of(record: &'a TrialRecord, age: u64) -> Option<TrialState<'a>> {
        let terms = Terms::parse(&record.terms).ok()?;
        let level = terms.level(record.position.step);
        Some(TrialState {
            tenant: &record.tenant,
            version: record.position.version,
            step: record.position.step,
            steps: terms.last_step(),
            phase: phase_text(level.phase),
            share: level.share,
            share_of_last: level.share_of_last,
            durable_for_ms: age,
            terms: serde_json::from_slice(&record.terms).ok()?,
        })
    }
}

fn phase_text(phase: Phase) -> String {
    match phase {
        Phase::Full => "full".to_owned(),
        Phase::Slowed(step) => format!("slowed {step}"),
        Phase::Grace => "grace".to_owned(),
        Phase::Ended => "ended".to_owned(),
    }
}

impl Registry {
    /// `PUT /trials/TENANT`.
    pub(crate) async fn put_terms(&self, tenant: &str, request: Request<Incoming>) -> HttpResponse {
        let body = match read_body(request, TERMS_BYTES_MAX).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let terms = match Terms::parse(&body) {
            Ok(terms) => terms,
            Err(invalid) => return error(StatusCode::UNPROCESSABLE_ENTITY, &format!("terms: {invalid}")),
        };
        let answer = self.propose_terms(tenant, &terms, &body).await;
        log::info!("trial of {tenant}, version {}: {}", terms.version, answer.status());
        answer
    }

    async fn propose_terms(&self, tenant: &str, terms: &Terms, json_terms: &Bytes) -> HttpResponse {
        let position = TrialPosition { version: terms.version, digest: digest(json_terms), step: 0 };
        let record = TrialRecord { tenant: tenant.into(), position, terms: json_terms.to_vec() };
        match self.propose_change(Change::TrialTerms(record)).await {
            Ok(Proposed::Durable) => json(StatusCode::OK, "{}"),
            Ok(Proposed::Overtaken) => {
                error(StatusCode::CONFLICT, "other terms hold: read them, and send a higher version")
            }
            Ok(Proposed::Full) => error(StatusCode::INSUFFICIENT_STORAGE, "no room for one more trial"),
            Ok(Proposed::Pending | Proposed::SerialTaken) => unavailable("not durable yet"),
            Err(message) => unavailable(&message),
        }
    }

    /// `GET /trials`.
    pub(crate) fn get_trials(&self) -> HttpResponse {
        let committed = self.committed.borrow();
        let trials: Vec<TrialState> = committed
            .trials
            .all(self.now())
            .filter_map(|(record, age)| TrialState::of(record, age))
            .collect();
        json(StatusCode::OK, serde_json::json!({ "trials": trials }).to_string())
    }

    /// `GET /trials/TENANT`.
    pub(crate) fn get_trial(&self, tenant: &str) -> HttpResponse {
        let committed = self.committed.borrow();
        let mut trials = committed.trials.all(self.now());
        let state = trials.find(|(record, _)| record.tenant == tenant);
        match state.and_then(|(record, age)| TrialState::of(record, age)) {
            Some(state) => json(StatusCode::OK, serde_json::json!(state).to_string()),
            None => error(StatusCode::NOT_FOUND, "no terms for this tenant"),
        }
    }

    /// Starts setting the default terms of the settings, if any, for as long as no trial exists.
    ///
    /// # Errors
    /// The file can't be read or is invalid.
    pub(crate) fn set_first_terms(self: &Rc<Self>) -> eyre::Result<()> {
        let Some(path) = &self.settings.first_terms else { return Ok(()) };
        let json = std::fs::read(path).wrap_err_with(|| format!("{}", path.display()))?;
        let first = FirstTerms::parse(&json).map_err(|error| eyre!("{}: {error}", path.display()))?;
        tokio::task::spawn_local(self.clone().propose_first_terms(first));
        Ok(())
    }

    async fn propose_first_terms(self: Rc<Self>, first: FirstTerms) {
        while self.committed.borrow().trials.is_empty() {
            tokio::time::sleep(RETRY_PAUSE).await;
            let records = self.first_records(&first).unwrap_or_default();
            for record in records {
                log::info!("trial of {}: first terms", record.tenant);
                let _ = self.propose_change(Change::TrialTerms(record)).await;
            }
        }
    }

    /// Records of the default terms, if this registry is the elected reader and has a configuration.
    fn first_records(&self, first: &FirstTerms) -> Option<Vec<TrialRecord>> {
        self.election.borrow().fence()?;
        let committed = self.committed.borrow();
        let document = committed.configs.newest()?;
        let configuration = Configuration::parse(&document.json).ok()?;
        Some(first.records(&configuration, time_of_day()))
    }

    /// Proposes due steps while this registry is the elected reader.
    pub(crate) async fn announce_steps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STEP_PERIOD).await;
            if self.election.borrow().fence().is_none() || self.committed.borrow().trials.is_empty() {
                continue;
            }
            let steps = self.committed.borrow().trials.steps_due(self.now(), time_of_day());
            if steps.is_empty() {
                continue;
            }
            for step in &steps {
                log::info!("trial of {}: step {} is due", step.tenant, step.position.step);
            }
            if self.propose_change(Change::TrialSteps(steps)).await != Ok(Proposed::Durable) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Proposes a change to the store on this machine.
    ///
    /// # Errors
    /// A description of the failure; the outcome of the change is then unknown.
    pub(crate) async fn propose_change(&self, change: Change) -> Result<Proposed, String> {
        let request = StoreRequest::Propose { change, wait: PROPOSE_WAIT.as_millis() as u64 };
        match self.store.call(&request, PROPOSE_WAIT + STORE_CALL_MARGIN).await {
            Ok(StoreAnswer::Proposed(proposed)) => Ok(proposed),
            Ok(_) => Err("the disk refuses".to_owned()),
            Err(failed) => Err(format!("store: {failed}")),
        }
    }
}
