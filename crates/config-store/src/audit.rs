//! Which steps of trials this store took in, and when by its time of day: a database beside the files.
//!
//! It tells operators how things came about. What holds is in the files, and a database that can't be used changes nothing
//! of that. It is opened with the first step, so that a system without trials has none.

use eyre::{Result, WrapErr};
use hingestage_node::unix_millis;
use hingestage_rpc::trials::{AuditEntry, TrialRecord};
use redb::{Database, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::cell::OnceCell;
use std::path::{Path, PathBuf};

/// Steps by a number that grows.
const STEPS: TableDefinition<u64, &[u8]> = TableDefinition::new("steps");
const FILE: &str = "trial-audit.redb";
/// Steps that are kept.
const KEPT: u64 = 20_000;
/// Memory for pages, bytes.
const CACHE: usize = 1 << 20;

/// The steps that were taken in.
pub struct Audit {
    path: PathBuf,
    database: OnceCell<Database>,
}

impl Audit {
    /// An audit in a directory. Nothing is read or written yet.
    pub fn new(dir: &Path) -> Audit {
        Audit { path: dir.join(FILE), database: OnceCell::new() }
    }

    fn database(&self) -> Result<&Database> {
        if let Some(database) = self.database.get() {
            return Ok(database);
        }
        let opened = Database::builder().set_cache_size(CACHE).create(&self.path);
        let opened = opened.wrap_err_with(|| format!("{}", self.path.display()))?;
        Ok(self.database.get_or_init(|| opened))
    }

    /// Notes steps that are taken in now. They are on disk once it returns.
    ///
    /// # Errors
    /// The database can't be used.
    pub fn note(&self, records: &[TrialRecord]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let transaction = self.database()?.begin_write()?;
        {
            let mut steps = transaction.open_table(STEPS)?;
            let mut number = steps.last()?.map_or(0, |(number, _)| number.value());
            for record in records {
                number += 1;
                let (tenant, position) = (record.tenant.clone(), record.position);
                let entry = AuditEntry { at: unix_millis(), tenant, position };
                steps.insert(number, serde_json::to_vec(&entry)?.as_slice())?;
            }
            while steps.len()? > KEPT {
                steps.pop_first()?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Steps of a tenant's trial, the latest last.
    ///
    /// # Errors
    /// The database can't be used.
    pub fn of(&self, tenant: &str) -> Result<Vec<AuditEntry>> {
        if !self.path.exists() {
            return Ok(Vec::new());
        }
        let transaction = self.database()?.begin_read()?;
        let steps = transaction.open_table(STEPS)?;
        let mut entries = Vec::new();
        for step in steps.iter()? {
            let (_, value) = step?;
            let entry: AuditEntry = serde_json::from_slice(value.value())?;
            entries.extend(Some(entry).filter(|entry| entry.tenant == tenant));
        }
        Ok(entries)
    }
}
