//! Operators' calls about trials, and the steps that the registry with the duty announces.

use crate::first_terms::FirstTerms;
use crate::http::{come_again, error, json, read_body, Answer, STORE_SPARE};
use crate::server::{Registry, PROPOSE_WAIT};
use bytes::Bytes;
use eyre::{eyre, WrapErr};
use hingestage_configuration::Configuration;
use hingestage_node::unix_millis;
use hingestage_replication::digest;
use hingestage_rpc::messages::{Change, Proposed, StoreAnswer, StoreRequest};
use hingestage_rpc::trials::{TrialPosition, TrialRecord, TERMS_BYTES_MAX};
use hingestage_trial::{Phase, Terms};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// Period at which steps that are due are looked for.
const STEP_PERIOD: Duration = Duration::from_millis(250);
/// Pause after a step did not become durable.
const STEP_PAUSE: Duration = Duration::from_millis(500);

/// A trial as operators read it.
#[derive(Serialize)]
struct TrialState<'a> {
    tenant: &'a str,
    version: u64,
    step: u32,
    steps: u32,
    phase: String,
    share: f64,
    share_of_last: f64,
    /// Time since the step was known to be durable; it takes effect a fixed time after that.
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
    /// Takes terms in: `PUT /trials/TENANT`.
    pub(crate) async fn put_terms(&self, tenant: &str, request: Request<Incoming>) -> Answer {
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

    async fn propose_terms(&self, tenant: &str, terms: &Terms, json_terms: &Bytes) -> Answer {
        let position = TrialPosition { version: terms.version, digest: digest(json_terms), step: 0 };
        let record = TrialRecord { tenant: tenant.into(), position, terms: json_terms.to_vec() };
        match self.propose_change(Change::TrialTerms(record)).await {
            Ok(Proposed::Durable) => json(StatusCode::OK, "{}"),
            Ok(Proposed::Overtaken) => {
                error(StatusCode::CONFLICT, "other terms hold: read them, and send a higher version")
            }
            Ok(Proposed::Full) => error(StatusCode::INSUFFICIENT_STORAGE, "no room for one more trial"),
            Ok(Proposed::Pending | Proposed::SerialTaken) => come_again("not durable yet"),
            Err(message) => come_again(&message),
        }
    }

    /// `GET /trials`.
    pub(crate) fn get_trials(&self) -> Answer {
        let in_force = self.in_force.borrow();
        let trials: Vec<TrialState> =
            in_force.trials.all(self.now()).filter_map(|(record, age)| TrialState::of(record, age)).collect();
        json(StatusCode::OK, serde_json::json!({ "trials": trials }).to_string())
    }

    /// `GET /trials/TENANT`.
    pub(crate) fn get_trial(&self, tenant: &str) -> Answer {
        let in_force = self.in_force.borrow();
        let mut trials = in_force.trials.all(self.now());
        let state = trials.find(|(record, _)| record.tenant == tenant);
        match state.and_then(|(record, age)| TrialState::of(record, age)) {
            Some(state) => json(StatusCode::OK, serde_json::json!(state).to_string()),
            None => error(StatusCode::NOT_FOUND, "no terms for this tenant"),
        }
    }

    /// Sets terms from a file once a configuration is in force, where no trial is known by then.
    ///
    /// # Errors
    /// The file can't be read or used.
    pub(crate) fn set_first_terms(self: &Rc<Self>) -> eyre::Result<()> {
        let Some(path) = &self.settings.first_terms else { return Ok(()) };
        let json = std::fs::read(path).wrap_err_with(|| format!("{}", path.display()))?;
        let first = FirstTerms::parse(&json).map_err(|error| eyre!("{}: {error}", path.display()))?;
        tokio::task::spawn_local(self.clone().keep_first_terms(first));
        Ok(())
    }

    async fn keep_first_terms(self: Rc<Self>, first: FirstTerms) {
        while self.in_force.borrow().trials.is_empty() {
            tokio::time::sleep(STEP_PAUSE).await;
            let records = self.first_records(&first).unwrap_or_default();
            for record in records {
                log::info!("trial of {}: first terms", record.tenant);
                let _ = self.propose_change(Change::TrialTerms(record)).await;
            }
        }
    }

    /// The records of first terms, where this registry has the duty and a configuration.
    fn first_records(&self, first: &FirstTerms) -> Option<Vec<TrialRecord>> {
        self.duty.borrow().fence()?;
        let in_force = self.in_force.borrow();
        let document = in_force.configs.newest()?;
        let configuration = Configuration::parse(&document.json).ok()?;
        Some(first.records(&configuration, unix_millis()))
    }

    /// Announces steps that are due, while this registry has the duty of reading the platform's list.
    pub(crate) async fn announce_steps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STEP_PERIOD).await;
            if self.duty.borrow().fence().is_none() || self.in_force.borrow().trials.is_empty() {
                continue;
            }
            let steps = self.in_force.borrow().trials.steps_due(self.now(), unix_millis());
            if steps.is_empty() {
                continue;
            }
            for step in &steps {
                log::info!("trial of {}: step {} is due", step.tenant, step.position.step);
            }
            if self.propose_change(Change::TrialSteps(steps)).await != Ok(Proposed::Durable) {
                tokio::time::sleep(STEP_PAUSE).await;
            }
        }
    }

    /// Asks the store on this machine for a change.
    ///
    /// # Errors
    /// Why nothing is known of it.
    pub(crate) async fn propose_change(&self, change: Change) -> Result<Proposed, String> {
        let request = StoreRequest::Propose { change, wait: PROPOSE_WAIT.as_millis() as u64 };
        match self.store.call(&request, PROPOSE_WAIT + STORE_SPARE).await {
            Ok(StoreAnswer::Proposed(proposed)) => Ok(proposed),
            Ok(_) => Err("the disk refuses".to_owned()),
            Err(failed) => Err(format!("store: {failed}")),
        }
    }
}
