//! Default trial terms, applied to the tenants with the highest rates when no trial exists yet.

use compact_str::CompactString;
use garde::Validate;
use hingestage_configuration::Configuration;
use hingestage_replication::digest;
use hingestage_rpc::trials::{TrialPosition, TrialRecord};
use hingestage_trial::{InvalidTerms, Terms};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::time::{Duration, UNIX_EPOCH};

/// Version of default terms, below any that an operator sets.
const DEFAULT_TERMS_VERSION: u64 = 1;

/// Contents of the JSON file with the default terms.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FirstTerms {
    /// Number of tenants that get the terms, in descending order of rate.
    #[garde(range(min = 1, max = 100))]
    pub tenants: usize,
    /// Time from setting the terms to the end of the trial, in seconds.
    #[garde(range(min = 1, max = 100_000_000))]
    pub end_in_s: u64,
    /// Terms without `version` and `end`.
    #[garde(skip)]
    pub terms: Map<String, Value>,
}

impl FirstTerms {
    /// Parses and validates the contents of a file.
    ///
    /// # Errors
    /// A description of the first problem.
    pub fn parse(json: &[u8]) -> Result<FirstTerms, String> {
        let first: FirstTerms = serde_json::from_slice(json).map_err(|error| error.to_string())?;
        first.validate().map_err(|report| report.to_string().trim_end().to_owned())?;
        first.terms_ending_at(0).map_err(|error| format!("terms: {error}"))?;
        Ok(first)
    }

    /// The terms as JSON with `end` set, in milliseconds since the Unix epoch.
    fn terms_ending_at(&self, end: u64) -> Result<Vec<u8>, InvalidTerms> {
        let mut terms = self.terms.clone();
        let end = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(end));
        terms.insert("version".to_owned(), DEFAULT_TERMS_VERSION.into());
        terms.insert("end".to_owned(), end.to_string().into());
        let json = Value::from(terms).to_string().into_bytes();
        Terms::parse(&json).map(|_| json)
    }

    /// Trial records to set at `time_of_day`, in milliseconds since the Unix epoch.
    pub fn records(&self, configuration: &Configuration, time_of_day: u64) -> Vec<TrialRecord> {
        let end = time_of_day + self.end_in_s * 1_000;
        let Ok(terms) = self.terms_ending_at(end) else { return Vec::new() };
        let mut tenants: Vec<(f64, &CompactString)> =
            configuration.tenants.iter().map(|tenant| (tenant.rate_per_s, &tenant.name)).collect();
        tenants.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let position = TrialPosition { version: DEFAULT_TERMS_VERSION, digest: digest(&terms), step: 0 };
        let record =
            |tenant: &CompactString| TrialRecord { tenant: tenant.clone(), position, terms: terms.clone() };
        tenants.into_iter().take(self.tenants).map(|(_, tenant)| record(tenant)).collect()
    }
}
