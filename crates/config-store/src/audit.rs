//! Audit log of trial steps: which steps this store learnt of, and when by its wall clock.
//!
//! The log is for operators only: replication does not depend on it, so a failing database affects nothing else. The
//! database is created with the first step.

use eyre::{Result, WrapErr};
use hingestage_node::time_of_day;
use hingestage_rpc::trials::{AuditEntry, TrialRecord};
use redb::{Database, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::cell::OnceCell;
use std::path::{Path, PathBuf};

/// Entries as JSON by sequence number.
const STEPS: TableDefinition<u64, &[u8]> = TableDefinition::new("steps");
const FILE_NAME: &str = "trial-audit.redb";
/// Maximum number of entries; the oldest are removed.
const ENTRIES_MAX: u64 = 20_000;
/// Size of the page cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;

/// The audit log.
pub struct AuditLog {
    path: PathBuf,
    database: OnceCell<Database>,
}

impl AuditLog {
    /// Creates an audit log in a directory. Nothing is read or written yet.
    pub fn new(dir: &Path) -> AuditLog {
        AuditLog { path: dir.join(FILE_NAME), database: OnceCell::new() }
    }

    fn database(&self) -> Result<&Database> {
        if let Some(database) = self.database.get() {
            return Ok(database);
        }
        let opened = Database::builder().set_cache_size(CACHE_BYTES).create(&self.path);
        let opened = opened.wrap_err_with(|| format!("{}", self.path.display()))?;
        Ok(self.database.get_or_init(|| opened))
    }

    /// Appends the steps of these records with the current time; they are durable once this returns.
    ///
    /// # Errors
    /// The database cannot be opened or written.
    pub fn append(&self, records: &[TrialRecord]) -> Result<()> {
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
                let entry = AuditEntry { at: time_of_day(), tenant, position };
                steps.insert(number, serde_json::to_vec(&entry)?.as_slice())?;
            }
            while steps.len()? > ENTRIES_MAX {
                steps.pop_first()?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Steps of a tenant's trial, oldest first.
    ///
    /// # Errors
    /// The database cannot be opened or read.
    pub fn entries_for(&self, tenant: &str) -> Result<Vec<AuditEntry>> {
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
