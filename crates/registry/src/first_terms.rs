//! Terms of trials that a registry sets where none have been set: for the largest tenants of the configuration, with an
//! end that lies so long after that.

use compact_str::CompactString;
use garde::Validate;
use hingestage_configuration::Configuration;
use hingestage_replication::digest;
use hingestage_rpc::trials::{TrialPosition, TrialRecord};
use hingestage_trial::{InvalidTerms, Terms};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::time::{Duration, UNIX_EPOCH};

/// Version of terms that are set so: any that an operator sets are higher.
const VERSION: u64 = 1;

/// The file, JSON.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FirstTerms {
    /// How many tenants, from the one with the largest rate.
    #[garde(range(min = 1, max = 100))]
    pub tenants: usize,
    /// How long after terms are set the trial ends, seconds.
    #[garde(range(min = 1, max = 100_000_000))]
    pub end_in_s: u64,
    /// Terms without version and end.
    #[garde(skip)]
    pub terms: Map<String, Value>,
}

impl FirstTerms {
    /// Reads and checks a file's contents.
    ///
    /// # Errors
    /// What is wrong.
    pub fn parse(json: &[u8]) -> Result<FirstTerms, String> {
        let first: FirstTerms = serde_json::from_slice(json).map_err(|error| error.to_string())?;
        first.validate().map_err(|report| report.to_string().trim_end().to_owned())?;
        first.terms_ending_at(0).map_err(|error| format!("terms: {error}"))?;
        Ok(first)
    }

    /// The terms with an end, milliseconds since 1970.
    fn terms_ending_at(&self, end: u64) -> Result<Vec<u8>, InvalidTerms> {
        let mut terms = self.terms.clone();
        let end = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(end));
        terms.insert("version".to_owned(), VERSION.into());
        terms.insert("end".to_owned(), end.to_string().into());
        let json = Value::from(terms).to_string().into_bytes();
        Terms::parse(&json).map(|_| json)
    }

    /// The trials to be set at a time of day, milliseconds since 1970.
    pub fn records(&self, configuration: &Configuration, time_of_day: u64) -> Vec<TrialRecord> {
        let end = time_of_day + self.end_in_s * 1_000;
        let Ok(terms) = self.terms_ending_at(end) else { return Vec::new() };
        let mut tenants: Vec<(f64, &CompactString)> =
            configuration.tenants.iter().map(|tenant| (tenant.rate_per_s, &tenant.name)).collect();
        tenants.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let position = TrialPosition { version: VERSION, digest: digest(&terms), step: 0 };
        let record =
            |tenant: &CompactString| TrialRecord { tenant: tenant.clone(), position, terms: terms.clone() };
        tenants.into_iter().take(self.tenants).map(|(_, tenant)| record(tenant)).collect()
    }
}
